#include "serve/dispatch-int.h"

#include <stdlib.h>

/** Prompt length assumed for a request that doesn't state one: about the mean
    of those that do. */
#define DEFAULT_PROMPT_TOKENS 1000.0

struct dsp_req *
dsp_find_request (const struct dsp *d, uint64_t id)
{
  struct dsp_req *q = d->buckets[id & (d->nbuckets - 1)];

  while (q && q->id != id)
    q = q->hash_next;
  return q;
}

struct dsp_req *
dsp_find_attempt (const struct dsp *d, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = dsp_find_request (d, id);

  return q && q->endpoint && q->attempt == attempt ? q : NULL;
}

static void
grow_buckets (struct dsp *d)
{
  size_t size = 2 * d->nbuckets;
  struct dsp_req **grown = xcalloc (size, sizeof *grown);

  for (struct dsp_req *q = d->open_list; q; q = q->next)
    {
      q->hash_next = grown[q->id & (size - 1)];
      grown[q->id & (size - 1)] = q;
    }
  free (d->buckets);
  d->buckets = grown;
  d->nbuckets = size;
}

struct dsp_req *
dsp_add_request (struct dsp *d, const struct dsp_request *in)
{
  struct dsp_req *q = xcalloc (1, sizeof *q);
  const struct tbl_route *r = in->route;

  if (d->open_count >= d->nbuckets)
    grow_buckets (d);
  q->id = in->id;
  q->config = tbl_ref (in->config);
  q->route = r;
  q->priority = in->priority;
  q->arrived_at = d->now;
  q->goal_at = d->now - in->waited_ms + r->latency_goal_ms;
  q->deadline = in->deadline;
  q->prompt_tokens
      = in->prompt_tokens > 0 ? in->prompt_tokens : DEFAULT_PROMPT_TOKENS;
  q->poison_ids = (struct psn_request){ in->digest, in->parts, in->nparts };
  q->poison_ids.parts = psn_copy_parts (&q->poison_ids);
  q->retryable = tbl_is_retryable (r);
  q->proxied = in->proxied;
  q->max_attempts = in->proxied ? 1 : r->max_attempts;
  q->state = DSP_S_RECEIVED;
  q->pool = dsp_get_pool (d, in->service->name, in->model);
  q->hash_next = d->buckets[q->id & (d->nbuckets - 1)];
  d->buckets[q->id & (d->nbuckets - 1)] = q;
  q->next = d->open_list;
  if (q->next)
    q->next->prev = q;
  d->open_list = q;
  d->open_count++;
  return q;
}

void
dsp_free_request (struct dsp *d, struct dsp_req *q)
{
  struct dsp_req **at = &d->buckets[q->id & (d->nbuckets - 1)];

  while (*at != q)
    at = &(*at)->hash_next;
  *at = q->hash_next;
  if (q->prev)
    q->prev->next = q->next;
  else
    d->open_list = q->next;
  if (q->next)
    q->next->prev = q->prev;
  tbl_unref (q->config);
  free ((void *)q->poison_ids.parts);
  free (q);
  d->open_count--;
}
