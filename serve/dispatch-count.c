#include "serve/dispatch-int.h"

#include <math.h>

/*
 * Number of requests at each endpoint, as far as this node can know it when it
 * chooses one: its own requests, those that the other nodes have reported, and
 * what the servers report in their responses.
 */

/** Mean age of the other nodes' counts when they arrive: a node counts its
   load every 100 ms, and in a large fleet another node sums the loads every
    100 ms. */
#define COUNT_DELAY_MS 50.0
/** A server's report is used for this time: the nodes' counts that arrive
    meanwhile are older. */
#define REPORT_MAX_AGE_MS ((clk_ms)150)
/** Largest random part of a request that is added to a count, so that chance
    decides between equal counts; less than the penalty for another zone. */
#define TIE_BREAK 0.1

/**
 * Whether the counts of the other nodes say anything of the present.  After
 * the duration of a request, most of the requests counted have ended.  If all
 * nodes went by the same old counts, all would choose the same endpoint until
 * the next ones.  The counts are therefore used for a part of the choices
 * only, which falls with their age.
 */
static bool
uses_peer_counts (struct dsp *d, const struct dsp_pool *p)
{
  double age = (double)(d->now - d->peer_loads_at) + COUNT_DELAY_MS;

  return p->mean_response_ms <= 0
         || rng_unit (&d->rng) < exp (-age / p->mean_response_ms);
}

/** The report of the server, and the requests that this node has sent since.
 */
static uint32_t
reported (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  int64_t n = (int64_t)s->reported + s->own_requests - s->own_when_reported;

  if (d->now - s->reported_at > REPORT_MAX_AGE_MS || n < 0)
    return 0;
  return (uint32_t)n;
}

void
dsp_count_requests (struct dsp *d, struct dsp_pool *p)
{
  double peers = 0, capacity = 0, mean;
  bool chance, use_peers;

  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i]->listed)
      {
        peers += p->endpoints[i]->peer_requests;
        capacity += p->endpoints[i]->capacity;
      }
  mean = capacity > 0 ? peers / capacity : 0;
  /* Requests of models last for seconds, and their counts are good. */
  chance = !p->model[0] && p->n > 1 && peers > 0;
  use_peers = !chance || uses_peer_counts (d, p);
  for (size_t i = 0; i < p->n; i++)
    {
      struct dsp_endpoint_state *s = p->endpoints[i];
      uint32_t n = p->n > 1 ? reported (d, s) : 0;
      s->counted
          = s->own_requests
            + (use_peers ? s->peer_requests : (uint32_t)(mean * s->capacity));
      s->counted = n > s->counted ? n : s->counted;
      s->tie_break = chance ? TIE_BREAK * rng_unit (&d->rng) : 0;
    }
}

void
dsp_response_load (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
                   unsigned running, unsigned waiting)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q || q->endpoint->is_proxy)
    return;
  q->endpoint->reported = running + waiting;
  q->endpoint->own_when_reported = q->endpoint->own_requests;
  q->endpoint->reported_at = now;
}
