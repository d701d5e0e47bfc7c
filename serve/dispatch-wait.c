#include "serve/dispatch-int.h"

/** Priorities sent to backend servers, which serve 0 first: resumed streams
    get 0, other requests 1 to 8. */
#define PRIORITY_RESUMED 0
#define PRIORITY_LOWEST 8

void
dsp_enqueue (struct dsp *d, struct dsp_req *q, bool front)
{
  struct dsp_pool *p = q->pool;

  q->queued = true;
  q->queued_at = d->now;
  q->queue_prev = front ? NULL : p->queue_tail;
  q->queue_next = front ? p->queue_head : NULL;
  if (q->queue_prev)
    q->queue_prev->queue_next = q;
  else
    p->queue_head = q;
  if (q->queue_next)
    q->queue_next->queue_prev = q;
  else
    p->queue_tail = q;
}

void
dsp_dequeue (struct dsp_req *q)
{
  struct dsp_pool *p = q->pool;

  if (!q->queued)
    return;
  q->queued = false;
  if (q->queue_prev)
    q->queue_prev->queue_next = q->queue_next;
  else
    p->queue_head = q->queue_next;
  if (q->queue_next)
    q->queue_next->queue_prev = q->queue_prev;
  else
    p->queue_tail = q->queue_prev;
  q->queue_prev = q->queue_next = NULL;
}

/** Whether the request would miss its latency goal if it were sent now. */
static bool
would_miss_goal (const struct dsp *d, const struct dsp_req *q)
{
  return d->now + (clk_ms)q->pool->mean_first_event_ms >= q->goal_at;
}

/**
 * Order of the queue. Resumed streams and requests that can still meet their
 * latency goal come before requests that would miss it: a response that is
 * late already loses little value by waiting longer, whereas one that becomes
 * late loses most of it. Within the first group, resumed streams come first,
 * and of these the ones that have no attempt left: a hedged stream may go on
 * at its primary. Otherwise the order is by priority, then by arrival.
 */
static bool
comes_first (const struct dsp *d, const struct dsp_req *a,
             const struct dsp_req *b)
{
  bool misses_a = would_miss_goal (d, a) && !a->partly_forwarded;
  bool misses_b = would_miss_goal (d, b) && !b->partly_forwarded;

  if (misses_a != misses_b)
    return !misses_a;
  if (a->partly_forwarded != b->partly_forwarded)
    return a->partly_forwarded;
  if (dsp_is_hedged (a) != dsp_is_hedged (b))
    return dsp_is_hedged (b);
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->arrived_at < b->arrived_at;
}

/** Queued requests that are considered.  One that has failed at the free
    endpoints must not hold up those that may use them. */
enum scope
{
  ALL,
  NOT_HEDGED, /**< hedged ones may stay in the queue until their deadline */
  NEW         /**< without a failed attempt */
};

static bool
is_in_scope (const struct dsp_req *q, enum scope scope)
{
  if (scope == NEW)
    return q->nfailed_endpoints == 0;
  return scope == ALL || !dsp_is_hedged (q);
}

/** The queued request that comes first. */
static struct dsp_req *
next_queued (const struct dsp *d, const struct dsp_pool *p, enum scope scope)
{
  struct dsp_req *best = NULL;

  for (struct dsp_req *q = p->queue_head; q; q = q->queue_next)
    if (is_in_scope (q, scope) && (!best || comes_first (d, q, best)))
      best = q;
  return best;
}

static unsigned
server_priority (const struct dsp_req *q)
{
  unsigned p = q->priority + 1;

  if (q->partly_forwarded)
    return PRIORITY_RESUMED;
  return p < PRIORITY_LOWEST ? p : PRIORITY_LOWEST;
}

static void
start_attempt (struct dsp *d, struct dsp_req *q, struct dsp_endpoint_state *s)
{
  struct dsp_action *a;

  dsp_dequeue (q);
  dsp_transition (q, DSP_EVENT_CONNECT);
  q->endpoint = s;
  q->attempt = ++q->last_attempt;
  q->streaming = false;
  s->own_requests++;
  q->permit_expires_at = dsp_limit_use_permit (d, s);
  dsp_load_prompt_sent (d, q);
  if (s->ejected_until || s->stalled)
    s->trial_in_flight = q->is_trial = true;
  a = dsp_add_action (d, DSP_ACT_SEND, q);
  a->addr = s->addr;
  a->proxy = s->is_proxy;
  a->server = str_from (s->server);
  a->duration_ms = q->deadline - d->now;
  /* The backend server may have closed an idle connection, or the connection
     may be dead without notice. A request that can't be retried is therefore
     sent on a new one. */
  a->new_connection = !q->retryable;
  a->resume = q->partly_forwarded;
  a->priority = server_priority (q);
}

void
dsp_send_queued (struct dsp *d, struct dsp_pool *p)
{
  struct dsp_req *q;
  enum scope scope = ALL;

  while ((q = next_queued (d, p, scope)) != NULL)
    {
      struct dsp_endpoint_state *s = dsp_choose_endpoint (d, p, q);
      if (s && dsp_is_hedged (q) && !dsp_hedge_may_start (d, q))
        continue;
      if (s)
        start_attempt (d, q, s);
      else if (q->nfailed_endpoints == 0)
        return;
      else
        scope = dsp_is_hedged (q) ? NOT_HEDGED : NEW;
    }
}
