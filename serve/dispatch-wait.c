#include "serve/dispatch-int.h"

/** Priorities at backend servers: of streams that go on there after a pause,
    and the last of all others. */
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

/** Whether it can't meet its goal any more, begun now. */
static bool
is_late (const struct dsp *d, const struct dsp_req *q)
{
  return d->now + (clk_ms)q->pool->begin_ms >= q->goal;
}

/**
 * Those that can still meet their goal go before those that can't: an answer
 * that is late anyway loses nothing by waiting, and one that waits behind it
 * loses most of its worth.  Then the more urgent, then the elder.
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

/** The next waiting request that @p skip does not mark. */
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
  /* An idle connection may have been closed or gone silent unseen; what can't
     be sent twice must not be the one to find out. */
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
        without_tried = true; /* what is left may do for others */
    }
}
