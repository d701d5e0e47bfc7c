#include "builtin/stub.h"

#include <string.h>

bool
stub_cached (const struct stub *s, uint32_t prefix)
{
  for (size_t i = 0; i < s->cached; i++)
    if (s->cache[i] == prefix)
      return true;
  return false;
}

/** Put the prefix in front; the last falls out when there is no room. */
static void
cache_touch (struct stub *s, uint32_t prefix)
{
  size_t at = 0;
  while (at < s->cached && s->cache[at] != prefix)
    at++;
  if (at == s->cached && s->cached < STUB_CACHE)
    s->cached++;
  if (at == STUB_CACHE)
    at--;
  memmove (s->cache + 1, s->cache, at * sizeof s->cache[0]);
  s->cache[0] = prefix;
}

static double
token_ms (const struct stub *s)
{
  return s->slow * (STUB_TOKEN_MS + STUB_TOKEN_SLOT_MS * s->running);
}

static double
prefill_ms (const struct stub *s, const struct wl_request *q, bool hit)
{
  double tokens = q->prompt + (hit ? 0 : q->prefix_tokens);
  return s->slow * tokens / STUB_PREFILL_PER_MS;
}

double
stub_first_ms (const struct stub *s, double now, const struct wl_request *q)
{
  double wait = s->prefill_free > now ? s->prefill_free - now : 0;
  return wait + prefill_ms (s, q, stub_cached (s, q->prefix)) + token_ms (s);
}

static void
start (struct stub *s, double now, struct stub_job *job,
       stub_started_fn started, void *ctx)
{
  const struct wl_request *q = job->request;
  s->running++;
  job->started = true;
  job->hit = stub_cached (s, q->prefix);
  double begin = s->prefill_free > now ? s->prefill_free : now;
  s->prefill_free = begin + prefill_ms (s, q, job->hit);
  cache_touch (s, q->prefix);
  job->first_at = s->prefill_free + token_ms (s);
  job->done_at = job->first_at + (q->output - 1) * token_ms (s);
  started (ctx, job);
}

void
stub_arrive (struct stub *s, double now, struct stub_job *job,
             stub_started_fn started, void *ctx)
{
  job->next = NULL;
  job->stub = s;
  s->load += job->request->cost;
  job->here = true;
  if (s->running < STUB_SLOTS)
    {
      start (s, now, job, started, ctx);
      return;
    }
  if (s->tail)
    s->tail->next = job;
  else
    s->head = job;
  s->tail = job;
}

static void
unqueue (struct stub *s, struct stub_job *job)
{
  struct stub_job **at = &s->head, *before = NULL;
  while (*at && *at != job)
    {
      before = *at;
      at = &(*at)->next;
    }
  if (!*at)
    return;
  *at = job->next;
  if (s->tail == job)
    s->tail = before;
}

void
stub_leave (struct stub *s, double now, struct stub_job *job,
            stub_started_fn started, void *ctx)
{
  if (job->over)
    return;
  job->over = true;
  if (!job->here)
    return;
  s->load -= job->request->cost;
  if (!job->started)
    {
      unqueue (s, job);
      return;
    }
  s->running--;
  while (s->head && s->running < STUB_SLOTS && !s->lost)
    {
      struct stub_job *next = s->head;
      s->head = next->next;
      if (!s->head)
        s->tail = NULL;
      start (s, now, next, started, ctx);
    }
}

double
stub_service_ms (const struct workload *w)
{
  double tokens = w->prompt + 0.6 * w->prefix;
  return tokens / STUB_PREFILL_PER_MS
         + w->output * (STUB_TOKEN_MS + STUB_TOKEN_SLOT_MS * 0.9 * STUB_SLOTS);
}
