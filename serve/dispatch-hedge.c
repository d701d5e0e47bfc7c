#include "serve/dispatch-int.h"

/*
 * Hedged requests.  An endpoint that sends nothing may have failed, or may go
 * on a second later; what it has begun can't be told from here.  A suspected
 * attempt, the primary, is therefore kept open while the request gets another
 * attempt, the hedge, at another endpoint.  The one that makes progress first
 * is kept, and only then the other is canceled.  Nothing of the hedge is
 * forwarded while the primary is open, so that the client never receives
 * events of both.
 *
 * If there is no retry in the budget, no attempt left or no other endpoint,
 * the request goes on at its primary.  Here silence alone ends no request
 * before its deadline.
 */

bool
dsp_is_hedged (const struct dsp_req *q)
{
  return q->primary.endpoint != NULL;
}

struct dsp_req *
dsp_find_primary (const struct dsp *d, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = dsp_find_request (d, id);

  return q && dsp_is_hedged (q) && q->primary.attempt == attempt ? q : NULL;
}

struct dsp_endpoint_state *
dsp_attempt_endpoint (const struct dsp *d, uint64_t id, unsigned attempt)
{
  const struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  if (q)
    return q->endpoint;
  q = dsp_find_primary (d, id, attempt);
  return q ? q->primary.endpoint : NULL;
}

/** Makes the current attempt the primary. */
static void
set_aside (struct dsp_req *q)
{
  dsp_stop_awaiting_first_event (q);
  q->primary = (struct dsp_primary){ .endpoint = q->endpoint,
                                     .attempt = q->attempt,
                                     .sent_at = q->sent_at,
                                     .last_data_at = q->last_data_at,
                                     .first_event_at = q->first_event_at,
                                     .streaming = q->streaming,
                                     .success_response = q->success_response,
                                     .is_trial = q->is_trial };
  q->endpoint = NULL;
  q->streaming = q->is_trial = q->success_response = false;
}

static void
restore (struct dsp_req *q)
{
  const struct dsp_primary *p = &q->primary;

  q->endpoint = p->endpoint;
  q->attempt = p->attempt;
  q->sent_at = p->sent_at;
  q->last_data_at = p->last_data_at;
  q->first_event_at = p->first_event_at;
  q->streaming = p->streaming;
  q->success_response = p->success_response;
  q->is_trial = p->is_trial;
  q->awaits_first_event = !p->streaming;
  q->primary = (struct dsp_primary){ 0 };
}

/** Whether the budget has denied the request a retry, and still has none.  A
    denial counts once for each request, not once for each check. */
static bool
is_denied_again (struct dsp *d, const struct dsp_req *q)
{
  return q->hedge_denied && !dsp_budget_has_retry (d, q->pool);
}

void
dsp_hedge (struct dsp *d, struct dsp_req *q)
{
  /* When the list of failed endpoints is full, the next one would be
     forgotten, and tried again at once. */
  if (dsp_is_hedged (q) || q->nfailed_endpoints == DSP_FAILED_ENDPOINTS_MAX)
    return;
  q->no_retry = dsp_may_retry (d, q);
  if (q->no_retry == DSP_RETRY_ALLOWED && is_denied_again (d, q))
    q->no_retry = DSP_RETRY_BUDGET;
  if (q->no_retry == DSP_RETRY_ALLOWED && !dsp_any_alternative (d, q))
    q->no_retry = DSP_RETRY_NO_ENDPOINT;
  if (q->no_retry != DSP_RETRY_ALLOWED)
    return;
  dsp_record_failed_endpoint (q);
  set_aside (q);
  dsp_transition (q, DSP_EVENT_RETRY);
  dsp_enqueue (d, q, true);
}

bool
dsp_hedge_may_start (struct dsp *d, struct dsp_req *q)
{
  q->hedge_denied
      = !q->retry_unused
        && (is_denied_again (d, q) || !dsp_budget_take_retry (d, q->pool));
  if (q->hedge_denied)
    {
      q->no_retry = DSP_RETRY_BUDGET;
      dsp_keep_primary (d, q, DSP_CANCEL_FAILED);
      return false;
    }
  q->retry_unused = true;
  d->stats.hedged++;
  return true;
}

void
dsp_keep_primary (struct dsp *d, struct dsp_req *q, enum dsp_cancel_reason why)
{
  dsp_cancel_attempt (d, q, why);
  dsp_dequeue (q);
  restore (q);
  dsp_transition (q, DSP_EVENT_KEEP);
  /* The state before is not kept: it follows from whether this attempt has had
     an event, and so is being forwarded. */
  if (q->streaming)
    dsp_transition (q, DSP_EVENT_PASS);
}

void
dsp_primary_progress (struct dsp *d, struct dsp_req *q)
{
  d->stats.hedges_unneeded += q->endpoint != NULL;
  dsp_keep_primary (d, q, DSP_CANCEL_OTHER_ANSWERED);
}

void
dsp_drop_primary (struct dsp *d, struct dsp_req *q, enum dsp_cancel_reason why)
{
  struct dsp_primary *p = &q->primary;
  struct dsp_action *a;

  if (!dsp_is_hedged (q))
    return;
  a = dsp_add_action (d, DSP_ACT_CANCEL, q);
  a->attempt = p->attempt;
  a->cancel_reason = why;
  a->silence.silent_ms = d->now - p->last_data_at;
  p->endpoint->own_streaming -= p->streaming;
  p->endpoint->own_requests--;
  if (p->is_trial)
    p->endpoint->trial_in_flight = false;
  *p = (struct dsp_primary){ 0 };
}

/* --- events of a primary ------------------------------------------------- */

struct dsp_req *
dsp_primary_head (struct dsp *d, struct dsp_req *q,
                  enum dsp_response_head head)
{
  struct dsp_endpoint_state *s;

  if (!q)
    return NULL;
  s = q->primary.endpoint;
  q->primary.last_data_at = s->last_data_at = d->now;
  dsp_path_heard (d, s);
  if (head == DSP_RESPONSE_OK)
    {
      dsp_server_answered (d, s, q->primary.sent_at);
      q->primary.success_response = true;
      return NULL;
    }
  if (head == DSP_RESPONSE_FINAL)
    dsp_primary_progress (d, q);
  else if (q->queued)
    dsp_keep_primary (d, q, DSP_CANCEL_FAILED);
  if (!dsp_is_hedged (q))
    return q;
  if (head == DSP_RESPONSE_ERROR && !s->is_proxy)
    dsp_health_failure (d, s);
  if (head == DSP_RESPONSE_NOT_EXECUTED)
    dsp_mark_full (d, s);
  dsp_drop_primary (d, q, DSP_CANCEL_FAILED);
  return NULL;
}

struct dsp_req *
dsp_primary_data (struct dsp *d, struct dsp_req *q, bool event)
{
  struct dsp_endpoint_state *s;

  if (!q)
    return NULL;
  if (event)
    {
      dsp_primary_progress (d, q);
      return q;
    }
  s = q->primary.endpoint;
  q->primary.last_data_at = s->last_data_at = d->now;
  dsp_path_heard (d, s);
  s->stalled = false;
  return NULL;
}

struct dsp_req *
dsp_find_progressing (struct dsp *d, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  if (!q && (q = dsp_find_primary (d, id, attempt)) != NULL)
    dsp_primary_progress (d, q);
  return q;
}

void
dsp_primary_interrupted (struct dsp *d, struct dsp_req *q)
{
  const struct dsp_primary *p = &q->primary;

  dsp_health_failure (d, p->endpoint);
  dsp_run_interrupted (d, q, p->endpoint,
                       dsp_run_ms (d, p->streaming, p->first_event_at));
  dsp_drop_primary (d, q, DSP_CANCEL_FAILED);
}

/* --- time ---------------------------------------------------------------- */

/*
 * A hedge that is still queued is not needed once the primary's endpoint sends
 * data to other requests.
 */
void
dsp_check_hedge (struct dsp *d, struct dsp_req *q)
{
  const struct dsp_endpoint_state *s = q->primary.endpoint;

  if (q->queued && q->route->kind == TBL_STREAM && !s->stalled && !s->is_proxy)
    dsp_keep_primary (d, q, DSP_CANCEL_OTHER_ANSWERED);
}
