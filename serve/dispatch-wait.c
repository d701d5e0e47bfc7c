#include "serve/dispatch-int.h"

/** Priorities sent to backend servers: of resumed streams, and the lowest
    of all other requests. */
#define PRIORITY_URGENT 0
#define PRIORITY_LAST 8

void
dsp_enqueue (struct dsp *d, struct dsp_req *q, bool front)
{
  struct dsp_pool *p = q->pool;

  q->queued = true;
  q->queued_at = d->now;
  q->before = front ? NULL : p->last;
  q->after = front ? p->first : NULL;
  if (q->before)
    q->before->after = q;
  else
    p->first = q;
  if (q->after)
    q->after->before = q;
  else
    p->last = q;
  p->waiting++;
}

void
dsp_dequeue (struct dsp_req *q)
{
  struct dsp_pool *p = q->pool;

  if (!q->queued)
    return;
  q->queued = false;
  if (q->before)
    q->before->after = q->after;
  else
    p->first = q->after;
  if (q->after)
    q->after->before = q->before;
  else
    p->last = q->before;
  q->before = q->after = NULL;
  p->waiting--;
}

/** Whether it would miss its latency goal if it were sent now. */
static bool
is_late (const struct dsp *d, const struct dsp_req *q)
{
  return d->now + (clk_ms)q->pool->begin_ms >= q->goal;
}

/**
 * Order of the queue. Requests that can still meet their latency goal come
 * before those that can't: a late response loses little by further waiting,
 * while a request delayed by it would lose most of its value. Then by
 * priority, then by arrival.
 */
static bool
goes_before (const struct dsp *d, const struct dsp_req *a,
             const struct dsp_req *b)
{
  bool late_a = is_late (d, a) && !a->passing;
  bool late_b = is_late (d, b) && !b->passing;

  if (late_a != late_b)
    return !late_a;
  if (a->passing != b->passing)
    return a->passing;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->arrived < b->arrived;
}

/** The queued request that comes first. @param without_tried skip requests
    that have failed at an endpoint before */
static struct dsp_req *
next_waiting (const struct dsp *d, const struct dsp_pool *p,
              bool without_tried)
{
  struct dsp_req *best = NULL;

  for (struct dsp_req *q = p->first; q; q = q->after)
    if (!(without_tried && q->ntried) && (!best || goes_before (d, q, best)))
      best = q;
  return best;
}

static unsigned
server_priority (const struct dsp_req *q)
{
  unsigned p = q->priority + 1;

  if (q->passing)
    return PRIORITY_URGENT;
  return p < PRIORITY_LAST ? p : PRIORITY_LAST;
}

static void
dispatch (struct dsp *d, struct dsp_req *q, struct dsp_server *s)
{
  struct dsp_action *a;

  dsp_dequeue (q);
  dsp_step (q, DSP_X_CONNECT);
  q->server = s;
  q->attempt++;
  q->begun = q->error = false;
  s->own++;
  dsp_limit_take (d, s);
  dsp_prompt_sent (d, q);
  if (s->ejected_until || s->stalled)
    s->probing = q->probe = true;
  a = dsp_act (d, DSP_ACT_SEND, q);
  a->addr = s->addr;
  a->server = str_from (s->id);
  a->left_ms = q->deadline - d->now;
  /* The peer may have closed an idle connection, or the connection may be
     dead without notice. A request that can't be retried must not be sent
     on one. */
  a->fresh = !q->repeatable;
  a->resume = q->passing;
  a->priority = server_priority (q);
}

void
dsp_pump (struct dsp *d, struct dsp_pool *p)
{
  struct dsp_req *q;
  bool without_tried = false;

  while ((q = next_waiting (d, p, without_tried)) != NULL)
    {
      struct dsp_server *s = dsp_choose (d, p, q);
      if (s)
        dispatch (d, q, s);
      else if (q->ntried == 0 || without_tried)
        return;
      else
        without_tried = true; /* the free endpoints may suit other requests */
    }
}
