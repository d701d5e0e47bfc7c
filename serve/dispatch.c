#include "serve/dispatch-int.h"

#include <stdlib.h>
#include <string.h>

#include "base/chart.h"

#define INITIAL_BUCKETS 256

/** Interval of the timeout checks while requests are open; clients notice
    delays of some hundred milliseconds. */
#define TICK_INTERVAL_MS ((clk_ms)20)

/** A tick that is later than this is skipped: the process was suspended, and
    data that arrived meanwhile is still in the sockets, because timers run
    before sockets are read. */
#define LATE_TICK_MS ((clk_ms)100)

/** Failed connections after which a request is given up: if three endpoints
    can't be reached, the cause is on this node. */
#define MAX_CONNECT_FAILURES 3
/** The same if another node can be tried. */
#define MAX_CONNECT_FAILURES_PROXY 5

/**
 * Part of a request's latency goal that it may spend in the queue. A request
 * is queued only when all slots are taken or no endpoint is usable. A slot
 * that becomes free within this time still meets the goal; otherwise the
 * request is rejected early enough for the client to retry when a slot is
 * free.
 */
#define QUEUE_TIME_FRACTION 0.12

/** Bounds of the retry delay sent with a rejection: about the time in which
    several slots become free. */
#define MIN_RETRY_MS ((clk_ms)150)
#define MAX_RETRY_MS ((clk_ms)2000)

/** An idempotent request without a response is retried at another endpoint
    after this multiple of its latency goal. Its response arrives in one piece,
    so a hung endpoint can't be distinguished from a working one before. */
#define RESPONSE_TIMEOUT_FACTOR 1.0

static const char *const state_names[DSP_STATES]
    = { "received",  "waiting",      "connecting", "sent",
        "rewaiting", "reconnecting", "resent",     "passing",
        "done",      "not_run",      "failed" };

static const char *const event_names[DSP_EVENTS]
    = { "wait",  "refuse", "connect", "sent", "unrun",
        "retry", "pass",   "whole",   "fail", "keep" };

/** Transitions of the chart, indexed by the enums; loaded once. */
static signed char transitions[DSP_STATES][DSP_EVENTS];
static bool transitions_loaded;

static void
load_transitions (void)
{
  const struct chart *c = chart_embedded ("forward");
  int by_chart_state[DSP_STATES + 1];

  for (int i = 0; i < DSP_STATES; i++)
    by_chart_state[chart_state (c, state_names[i])] = i;
  for (int i = 0; i < DSP_STATES; i++)
    for (int k = 0; k < DSP_EVENTS; k++)
      {
        int to = chart_step (c, chart_state (c, state_names[i]),
                             chart_event (c, event_names[k]));
        transitions[i][k]
            = to == CHART_REFUSED ? -1 : (signed char)by_chart_state[to];
      }
  transitions_loaded = true;
}

/** A transition that the chart doesn't allow is a bug in this process.
    Continuing could report a wrong outcome to the client. */
void
dsp_transition (struct dsp_req *q, enum dsp_event event)
{
  int to = transitions[q->state][event];

  if (to < 0)
    abort ();
  q->state = (enum dsp_state)to;
}

/* --- actions ----------------------------------------------------------- */

struct dsp_action *
dsp_add_action (struct dsp *d, enum dsp_action_kind kind,
                const struct dsp_req *q)
{
  if (d->action_count == d->action_capacity)
    {
      size_t cap = d->action_capacity ? 2 * d->action_capacity : 64;
      struct dsp_action *grown = xmalloc (cap * sizeof *grown);
      for (size_t i = 0; i < d->action_count; i++)
        grown[i] = d->actions[(d->action_head + i) % d->action_capacity];
      free (d->actions);
      d->actions = grown;
      d->action_capacity = cap;
      d->action_head = 0;
    }
  struct dsp_action *a
      = &d->actions[(d->action_head + d->action_count) % d->action_capacity];
  d->action_count++;
  memset (a, 0, sizeof *a);
  a->kind = kind;
  if (q)
    {
      a->id = q->id;
      a->attempt = q->attempt;
    }
  return a;
}

bool
dsp_next_action (struct dsp *d, struct dsp_action *out)
{
  if (d->action_count == 0)
    return false;
  *out = d->actions[d->action_head];
  d->action_head = (d->action_head + 1) % d->action_capacity;
  d->action_count--;
  return true;
}

/* --- end of an attempt ------------------------------------------------- */

void
dsp_stop_awaiting_first_event (struct dsp_req *q)
{
  dsp_load_prompt_processed (q);
  q->awaits_first_event = false;
}

static void
release_endpoint (struct dsp_req *q)
{
  if (!q->endpoint)
    return;
  dsp_stop_awaiting_first_event (q);
  q->endpoint->own_streaming -= q->streaming;
  q->streaming = false;
  q->endpoint->own_requests--;
  if (q->is_trial)
    q->endpoint->trial_in_flight = false;
  q->is_trial = false;
  q->endpoint = NULL;
}

void
dsp_record_failed_endpoint (struct dsp_req *q)
{
  if (dsp_has_failed_at (q, q->endpoint))
    return;
  q->failed_endpoints[q->nfailed_endpoints % DSP_FAILED_ENDPOINTS_MAX]
      = q->endpoint->hash;
  if (q->nfailed_endpoints < DSP_FAILED_ENDPOINTS_MAX)
    q->nfailed_endpoints++;
}

static void
finish_request (struct dsp *d, struct dsp_req *q)
{
  struct dsp_pool *p = q->pool;

  dsp_dequeue (q);
  release_endpoint (q);
  dsp_add_action (d, DSP_ACT_RELEASE, q);
  dsp_free_request (d, q);
  d->stats.ended++;
  dsp_send_queued (d, p);
}

/** Estimated time until an endpoint has room for one more request.  That is
    the end of the first pause if all servers are paused, and else the queue
    divided by the rate at which the pool completes requests. */
static clk_ms
estimate_retry_ms (struct dsp *d, struct dsp_pool *p)
{
  clk_ms pause_ms = dsp_avail_retry_ms (d, p);
  double slots = 1, ms;

  if (pause_ms > 0)
    return pause_ms;
  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i]->listed)
      slots += dsp_limit_slots (d, p->endpoints[i]);
  ms = p->mean_response_ms
       * (double)(dsp_load_count_waiting (p) * d->node_count) / slots;
  if (ms < (double)MIN_RETRY_MS)
    return MIN_RETRY_MS;
  return ms > (double)MAX_RETRY_MS ? MAX_RETRY_MS : (clk_ms)ms;
}

/** Ends the request with an error response generated by this node. */
static void
respond_error (struct dsp *d, struct dsp_req *q, enum dsp_code code,
               clk_ms retry_ms)
{
  struct dsp_action *a = dsp_add_action (
      d, q->partly_forwarded ? DSP_ACT_TRUNCATE : DSP_ACT_RESPOND_ERROR, q);

  a->code = code;
  a->no_retry = q->no_retry;
  a->retry_after_ms = retry_ms;
  a->poison = q->refused_for;
  d->stats.answered[code]++;
  finish_request (d, q);
}

void
dsp_cancel_attempt (struct dsp *d, struct dsp_req *q,
                    enum dsp_cancel_reason why)
{
  if (q->endpoint)
    {
      struct dsp_action *a = dsp_add_action (d, DSP_ACT_CANCEL, q);
      a->cancel_reason = why;
      a->silence.silent_ms = d->now - q->last_data_at;
    }
  release_endpoint (q);
}

static bool
may_have_executed (const struct dsp_req *q)
{
  return q->state != DSP_S_RECEIVED && q->state != DSP_S_WAITING
         && q->state != DSP_S_CONNECTING;
}

/** Reason for ending the attempt of a request that ends with these codes. */
static enum dsp_cancel_reason
cancel_reason (enum dsp_code if_not_executed, enum dsp_code if_executed)
{
  if (if_not_executed == DSP_POISON)
    return DSP_CANCEL_POISON;
  return if_executed == DSP_DEADLINE ? DSP_CANCEL_DEADLINE : DSP_CANCEL_FAILED;
}

void
dsp_give_up (struct dsp *d, struct dsp_req *q, enum dsp_code if_not_executed,
             enum dsp_code if_executed, clk_ms retry_ms)
{
  enum dsp_cancel_reason why = cancel_reason (if_not_executed, if_executed);

  dsp_cancel_attempt (d, q, why);
  dsp_drop_primary (d, q, why);
  if (may_have_executed (q))
    {
      dsp_transition (q, DSP_EVENT_FAIL);
      respond_error (d, q, if_executed, 0);
      return;
    }
  dsp_transition (q, DSP_EVENT_REFUSE);
  respond_error (d, q, if_not_executed, retry_ms);
}

void
dsp_refuse_poison (struct dsp *d, struct dsp_req *q,
                   const struct psn_refusal *why)
{
  /* A run that has begun can't be prevented. */
  if (dsp_is_hedged (q)
      && (q->primary.streaming || q->route->kind != TBL_STREAM))
    {
      dsp_keep_primary (d, q, DSP_CANCEL_POISON);
      return;
    }
  q->refused_for = why->id;
  dsp_give_up (d, q, DSP_POISON, DSP_INTERRUPTED, why->retry_ms);
}

/** Does the same as dsp_give_up(), with the estimated time until a slot is
    free as the retry delay. */
static void
give_up (struct dsp *d, struct dsp_req *q, enum dsp_code if_not_executed,
         enum dsp_code if_executed)
{
  dsp_give_up (d, q, if_not_executed, if_executed,
               estimate_retry_ms (d, q->pool));
}

static clk_ms
max_queue_ms (const struct dsp_req *q)
{
  return (clk_ms)(QUEUE_TIME_FRACTION * (double)q->route->latency_goal_ms);
}

static clk_ms
queue_deadline (const struct dsp_req *q)
{
  return q->queued_at + max_queue_ms (q);
}

/** Whether all endpoints are paused, leaving or evacuated for longer than the
    request may wait. */
static bool
waits_in_vain (const struct dsp *d, const struct dsp_req *q)
{
  return dsp_avail_none_before (
      d, q, q->queued ? queue_deadline (q) : d->now + max_queue_ms (q));
}

/** Rejects the request, which waits in vain. */
static void
reject_waiting (struct dsp *d, struct dsp_req *q)
{
  d->stats.evacuated += dsp_evacuations_leave_none (d, q->pool);
  dsp_limit_count_rejection (d, q->pool);
  give_up (d, q, dsp_avail_code (d, q->pool), DSP_INTERRUPTED);
}

static void
requeue (struct dsp *d, struct dsp_req *q)
{
  struct dsp_pool *p = q->pool;

  if (waits_in_vain (d, q))
    {
      reject_waiting (d, q);
      return;
    }
  dsp_enqueue (d, q, true);
  dsp_send_queued (d, p);
}

/** Whether the request may have another attempt after one that was not
    executed, apart from the budget. */
static enum dsp_no_retry
may_repeat (const struct dsp *d, const struct dsp_req *q)
{
  if (q->sent_attempts >= q->max_attempts)
    return DSP_RETRY_ATTEMPTS;
  if (d->now >= q->deadline)
    return DSP_RETRY_DEADLINE;
  return waits_in_vain (d, q) ? DSP_RETRY_NO_ENDPOINT : DSP_RETRY_ALLOWED;
}

enum dsp_no_retry
dsp_may_retry (const struct dsp *d, const struct dsp_req *q)
{
  if (!q->retryable)
    return DSP_RETRY_UNSAFE;
  return dsp_is_suspect (d, q) ? DSP_RETRY_POISON : may_repeat (d, q);
}

/** Takes a retry from the budget for a request that may have one.
    @return DSP_RETRY_ALLOWED, or the reason why there is none */
static enum dsp_no_retry
take_retry (struct dsp *d, const struct dsp_req *q, enum dsp_no_retry allowed)
{
  if (allowed != DSP_RETRY_ALLOWED)
    return allowed;
  return dsp_budget_take_retry (d, q->pool) ? DSP_RETRY_ALLOWED
                                            : DSP_RETRY_BUDGET;
}

void
dsp_attempt_failed (struct dsp *d, struct dsp_req *q, enum dsp_code code,
                    enum dsp_cancel_reason why)
{
  dsp_record_failed_endpoint (q);
  if (dsp_is_hedged (q))
    {
      dsp_keep_primary (d, q, why);
      return;
    }
  q->no_retry = take_retry (d, q, dsp_may_retry (d, q));
  dsp_cancel_attempt (d, q, why);
  if (q->no_retry != DSP_RETRY_ALLOWED)
    {
      give_up (d, q, code, code);
      return;
    }
  d->stats.resumed += q->partly_forwarded;
  dsp_transition (q, DSP_EVENT_RETRY);
  requeue (d, q);
}

/* --- events of an attempt ---------------------------------------------- */

bool
dsp_request_sent (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);
  struct psn_refusal why;

  d->now = now;
  if (!q || (q->state != DSP_S_CONNECTING && q->state != DSP_S_RECONNECTING))
    return false;
  if (dsp_is_refused (d, q, &why))
    {
      dsp_refuse_poison (d, q, &why);
      return false;
    }
  if (!dsp_avail_allows (d, q->endpoint) || dsp_is_evacuated (d, q->endpoint)
      || !dsp_limit_may_write (d, q))
    {
      d->stats.evacuated += dsp_is_evacuated (d, q->endpoint);
      if (dsp_is_hedged (q))
        {
          dsp_keep_primary (d, q, DSP_CANCEL_NOT_SENT);
          return false;
        }
      dsp_cancel_attempt (d, q, DSP_CANCEL_NOT_SENT);
      dsp_transition (q, DSP_EVENT_UNRUN);
      requeue (d, q);
      return false;
    }
  dsp_transition (q, DSP_EVENT_SENT);
  if (!q->retryable)
    dsp_path_new_connection (d, q->endpoint);
  dsp_path_request_sent (d, q->endpoint);
  q->sent_attempts++;
  q->sent_at = q->last_data_at = now;
  q->awaits_first_event = true;
  q->success_response = q->retry_unused = false;
  d->stats.sent++;
  d->stats.proxied += q->endpoint->is_proxy;
  d->stats.retried += q->sent_attempts > 1;
  if (d->opt.avail)
    avl_count_sent (d->opt.avail, now, q->endpoint->process_hash);
  return true;
}

uint64_t
dsp_attempt_process (const struct dsp *d, uint64_t id, unsigned attempt)
{
  const struct dsp_endpoint_state *s = dsp_attempt_endpoint (d, id, attempt);

  return s ? s->process_hash : 0;
}

static unsigned
max_connect_failures (struct dsp *d, const struct dsp_req *q)
{
  return dsp_prefers_proxy (q) && dsp_choose_proxy (d, q->pool, q)
             ? MAX_CONNECT_FAILURES_PROXY
             : MAX_CONNECT_FAILURES;
}

void
dsp_connect_failed (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q || (q->state != DSP_S_CONNECTING && q->state != DSP_S_RECONNECTING))
    return;
  /* Nothing was sent, so a retry is safe even for a request that must be
     executed at most once. */
  dsp_path_connect_failed (d, q->endpoint);
  dsp_check_closed_runs (d, q->endpoint);
  dsp_health_failure (d, q->endpoint);
  dsp_record_failed_endpoint (q);
  release_endpoint (q);
  if (dsp_is_hedged (q))
    {
      dsp_keep_primary (d, q, DSP_CANCEL_FAILED);
      return;
    }
  dsp_transition (q, DSP_EVENT_UNRUN);
  if (++q->connect_failures >= max_connect_failures (d, q))
    give_up (d, q, DSP_NO_CONNECTION, DSP_INTERRUPTED);
  else
    requeue (d, q);
}

void
dsp_mark_full (const struct dsp *d, struct dsp_endpoint_state *s)
{
  s->full_until = d->now + TICK_INTERVAL_MS;
}

/** The backend server reports that it did not execute the request. */
static void
on_not_executed (struct dsp *d, struct dsp_req *q)
{
  dsp_mark_full (d, q->endpoint);
  dsp_record_failed_endpoint (q);
  if (dsp_is_hedged (q))
    {
      dsp_keep_primary (d, q, DSP_CANCEL_FAILED);
      return;
    }
  q->no_retry = take_retry (d, q, may_repeat (d, q));
  dsp_cancel_attempt (d, q, DSP_CANCEL_FAILED);
  dsp_transition (q, DSP_EVENT_UNRUN);
  if (q->no_retry == DSP_RETRY_ALLOWED)
    requeue (d, q);
  else if (waits_in_vain (d, q))
    reject_waiting (d, q);
  else
    give_up (d, q, DSP_REFUSED, DSP_INTERRUPTED);
}

void
dsp_response_head (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
                   enum dsp_response_head head)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q)
    q = dsp_primary_head (d, dsp_find_primary (d, id, attempt), head);
  if (!q || (q->state != DSP_S_SENT && q->state != DSP_S_RESENT))
    return;
  q->last_data_at = q->endpoint->last_data_at = now;
  dsp_path_heard (d, q->endpoint);
  dsp_server_answered (d, q->endpoint, q->sent_at);
  switch (head)
    {
    case DSP_RESPONSE_OK:
      q->success_response = true;
      break;
    case DSP_RESPONSE_NOT_EXECUTED:
      on_not_executed (d, q);
      break;
    case DSP_RESPONSE_ERROR:
      /* The response of a server; its proxy works. */
      if (!q->endpoint->is_proxy)
        dsp_health_failure (d, q->endpoint);
      /* An error response to a resumed stream can't be appended to what the
         client already has. */
      if (q->partly_forwarded || dsp_is_hedged (q)
          || (q->retryable && q->sent_attempts < q->max_attempts))
        dsp_attempt_failed (d, q, DSP_INTERRUPTED, DSP_CANCEL_FAILED);
      break;
    case DSP_RESPONSE_FINAL:
      if (q->partly_forwarded)
        dsp_attempt_failed (d, q, DSP_INTERRUPTED, DSP_CANCEL_FAILED);
      break;
    }
}

static void
on_first_event (struct dsp *d, struct dsp_req *q)
{
  dsp_stop_awaiting_first_event (q);
  q->streaming = true;
  q->first_event_at = d->now;
  q->endpoint->own_streaming++;
  dsp_health_first_event (d, q->endpoint, d->now - q->sent_at);
  if (q->state == DSP_S_PASSING)
    return;
  if (dsp_is_hedged (q))
    {
      d->stats.resumed += q->partly_forwarded;
      dsp_drop_primary (d, q, DSP_CANCEL_OTHER_ANSWERED);
    }
  dsp_transition (q, DSP_EVENT_PASS);
  q->partly_forwarded = true;
  dsp_add_action (d, DSP_ACT_FORWARD, q);
}

void
dsp_data_received (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
                   bool event)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q)
    q = dsp_primary_data (d, dsp_find_primary (d, id, attempt), event);
  if (!q)
    return;
  q->last_data_at = q->endpoint->last_data_at = now;
  dsp_path_heard (d, q->endpoint);
  q->endpoint->stalled = false;
  if (event && !q->streaming)
    on_first_event (d, q);
}

/** Whether the complete response shows that the request was executed. */
static bool
proves_run (const struct dsp_req *q)
{
  return q->success_response && (q->streaming || q->route->kind != TBL_STREAM);
}

static bool
is_answered (const struct dsp_req *q)
{
  return q->state == DSP_S_SENT || q->state == DSP_S_RESENT
         || q->state == DSP_S_PASSING;
}

static void
complete_request (struct dsp *d, struct dsp_req *q)
{
  double ms = (double)(d->now - q->sent_at);

  if (!q->streaming)
    {
      dsp_stop_awaiting_first_event (q);
      dsp_health_first_event (d, q->endpoint, d->now - q->sent_at);
    }
  dsp_health_success (d, q->endpoint);
  q->pool->mean_response_ms += (q->pool->mean_response_ms > 0 ? 0.05 : 1)
                               * (ms - q->pool->mean_response_ms);
  dsp_drop_primary (d, q, DSP_CANCEL_OTHER_ANSWERED);
  dsp_transition (q, DSP_EVENT_WHOLE);
  dsp_add_action (d, DSP_ACT_COMPLETE, q);
  finish_request (d, q);
}

void
dsp_response_complete (struct dsp *d, clk_ms now, uint64_t id,
                       unsigned attempt)
{
  struct dsp_req *q;

  d->now = now;
  q = dsp_find_progressing (d, id, attempt);
  if (!q || !is_answered (q))
    return;
  if (d->opt.poison && proves_run (q))
    psn_completed (d->opt.poison, now, &q->poison_ids);
  complete_request (d, q);
}

void
dsp_response_closed (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
                     bool empty)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);
  struct dsp_req *hedged = dsp_find_primary (d, id, attempt);
  bool success
      = hedged ? hedged->primary.success_response : q && q->success_response;

  d->now = now;
  if (!hedged && (!q || !is_answered (q)))
    return;
  if (empty && success && (hedged ? hedged : q)->route->kind == TBL_STREAM)
    {
      dsp_response_interrupted (d, now, id, attempt);
      return;
    }
  q = dsp_find_progressing (d, id, attempt);
  if (!empty && proves_run (q))
    dsp_run_closed (d, q);
  complete_request (d, q);
}

void
dsp_response_interrupted (struct dsp *d, clk_ms now, uint64_t id,
                          unsigned attempt)
{
  struct dsp_req *q = dsp_find_primary (d, id, attempt);

  d->now = now;
  if (q && !q->queued)
    {
      dsp_primary_interrupted (d, q);
      return;
    }
  if (q)
    dsp_keep_primary (d, q, DSP_CANCEL_FAILED);
  else
    q = dsp_find_attempt (d, id, attempt);
  if (!q || q->state == DSP_S_CONNECTING || q->state == DSP_S_RECONNECTING)
    return;
  dsp_health_failure (d, q->endpoint);
  dsp_run_interrupted (d, q, q->endpoint,
                       dsp_run_ms (d, q->streaming, q->first_event_at));
  dsp_attempt_failed (d, q, DSP_INTERRUPTED, DSP_CANCEL_FAILED);
}

/* --- arrival, cancellation, time --------------------------------------- */

void
dsp_submit (struct dsp *d, clk_ms now, const struct dsp_request *in)
{
  struct dsp_req *q;
  struct psn_refusal why;

  d->now = now;
  if (dsp_find_request (d, in->id))
    return;
  if (d->open_count == 0)
    d->last_check_at = now;
  q = dsp_add_request (d, in);
  d->stats.arrived++;
  if (d->shutting_down)
    {
      dsp_transition (q, DSP_EVENT_REFUSE);
      respond_error (d, q, DSP_SHUTTING_DOWN, MIN_RETRY_MS);
      return;
    }
  if (q->proxied && q->pool->path->state != DSP_PATH_OK)
    {
      dsp_transition (q, DSP_EVENT_REFUSE);
      respond_error (d, q, DSP_NO_CONNECTION, MIN_RETRY_MS);
      return;
    }
  if (dsp_is_refused (d, q, &why))
    {
      dsp_refuse_poison (d, q, &why);
      return;
    }
  if (!q->proxied)
    dsp_budget_count_request (d, q->pool);
  dsp_limit_count_request (d, q);
  dsp_load_count_priority (q);
  dsp_transition (q, DSP_EVENT_WAIT);
  dsp_enqueue (d, q, false);
  dsp_send_queued (d, q->pool);
  if (q->queued && waits_in_vain (d, q))
    reject_waiting (d, q);
  else if (q->queued
           && (dsp_limit_needed_by_higher_priority (d, q->pool, q)
               || now + dsp_limit_wait_ms (d, q->pool) > queue_deadline (q)))
    dsp_give_up (d, q, DSP_RATE_LIMITED, DSP_INTERRUPTED,
                 dsp_limit_reject (d, q->pool));
}

void
dsp_client_disconnected (struct dsp *d, clk_ms now, uint64_t id)
{
  struct dsp_req *q = dsp_find_request (d, id);

  d->now = now;
  if (!q)
    return;
  dsp_cancel_attempt (d, q, DSP_CANCEL_CLIENT_GONE);
  dsp_drop_primary (d, q, DSP_CANCEL_CLIENT_GONE);
  finish_request (d, q);
}

void
dsp_stop_accepting (struct dsp *d)
{
  d->shutting_down = true;
}

/** Whether an idempotent request's response is overdue and a retry is
    allowed.  After a hedge that failed, its primary is still overdue. */
static bool
is_overdue (const struct dsp *d, const struct dsp_req *q)
{
  bool sent
      = q->state == DSP_S_SENT || (q->overdue && q->state == DSP_S_RESENT);

  return q->route->kind == TBL_IDEMPOTENT && sent
         && q->sent_attempts < q->max_attempts
         && (double)(d->now - q->sent_at)
                > RESPONSE_TIMEOUT_FACTOR * (double)q->route->latency_goal_ms;
}

/** Error code for a request for which the pool has no endpoint. */
static enum dsp_code
no_endpoint_code (const struct dsp *d, const struct dsp_pool *p)
{
  if (!dsp_any_usable (d, p))
    return DSP_NO_SERVER;
  return dsp_limit_on_all_endpoints (d, p) ? DSP_RATE_LIMITED : DSP_OVERLOAD;
}

/** The response of an idempotent request is overdue; the first time, this
    counts as a failure of its endpoint. */
static void
hedge_overdue (struct dsp *d, struct dsp_req *q)
{
  if (!q->overdue)
    {
      dsp_path_unanswered (d, q->endpoint);
      dsp_health_failure (d, q->endpoint);
    }
  q->overdue = true;
  dsp_hedge (d, q);
}

static void
check_timeouts (struct dsp *d, struct dsp_req *q)
{
  enum dsp_code code = no_endpoint_code (d, q->pool);

  if (d->now >= q->deadline)
    give_up (d, q, code, DSP_DEADLINE);
  else if (dsp_is_hedged (q))
    dsp_check_hedge (d, q);
  else if (q->queued && d->now >= queue_deadline (q))
    give_up (d, q, code, DSP_INTERRUPTED);
  else if (q->queued && waits_in_vain (d, q))
    reject_waiting (d, q);
  else if (is_overdue (d, q))
    hedge_overdue (d, q);
}

/** Whether this tick is too late to check timeouts. The next tick checks them
    even if it is late too; otherwise a node that is short of CPU time would
    never time out a request. */
static bool
skip_late_tick (struct dsp *d, clk_ms now)
{
  d->skipped_tick = !d->skipped_tick && now - d->last_check_at > LATE_TICK_MS;
  d->last_check_at = now;
  return d->skipped_tick;
}

void
dsp_tick (struct dsp *d, clk_ms now)
{
  struct dsp_req *next;

  d->now = d->ticked_at = now;
  if (skip_late_tick (d, now))
    return;
  dsp_path_tick (d);
  dsp_crash_tick (d);
  dsp_health_tick (d);
  /* check_timeouts() may free q and send other requests, but it frees no other
     request. */
  for (struct dsp_req *q = d->open_list; q; q = next)
    {
      next = q->next;
      check_timeouts (d, q);
    }
  for (size_t i = 0; i < d->npools; i++)
    dsp_send_queued (d, d->pools[i]);
}

clk_ms
dsp_next_tick (const struct dsp *d)
{
  /* Measured from the last tick, not from the last event: events are so
     frequent that a tick would never become due. */
  return d->open_count || dsp_crash_pending (d)
             ? d->ticked_at + TICK_INTERVAL_MS
             : CLK_NEVER;
}

/* --- construction ------------------------------------------------------ */

struct dsp *
dsp_new (const struct dsp_options *opt, uint64_t seed)
{
  struct dsp *d = xcalloc (1, sizeof *d);

  if (!transitions_loaded)
    load_transitions ();
  d->opt = *opt;
  d->zone = str_dup (opt->zone);
  d->opt.zone = str_from (d->zone);
  d->node_count = d->known_nodes = d->budget_nodes = 1;
  rng_seed (&d->rng, seed);
  rng_seed (&d->check_rng, seed);
  d->nbuckets = INITIAL_BUCKETS;
  d->buckets = xcalloc (d->nbuckets, sizeof *d->buckets);
  return d;
}

void
dsp_free (struct dsp *d)
{
  if (!d)
    return;
  while (d->open_list)
    dsp_free_request (d, d->open_list);
  for (size_t i = 0; i < d->npools; i++)
    dsp_pool_free (d->pools[i]);
  for (size_t i = 0; i < d->nbudgets; i++)
    {
      free (d->budgets[i]->service);
      free (d->budgets[i]);
    }
  for (size_t i = 0; i < d->npeers; i++)
    free (d->peers[i].loads);
  for (size_t i = 0; i < d->npaths; i++)
    {
      free (d->paths[i]->service);
      free (d->paths[i]);
    }
  dsp_crash_free (d);
  free (d->paths);
  free (d->pools);
  free (d->budgets);
  free (d->peers);
  free (d->buckets);
  free (d->actions);
  free (d->own_loads);
  free (d->zone);
  free (d);
}

size_t
dsp_count_open (const struct dsp *d)
{
  return d->open_count;
}

const struct dsp_stats *
dsp_stats (const struct dsp *d)
{
  return &d->stats;
}
