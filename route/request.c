#include <stdlib.h>

#include "route/core.h"

#define MODEL_CONNECT_MS 1000 /* connect timeout of a model's server */
#define CLAIM_TIMEOUT_MS 5000 /* timeout of a claim request */

static const char *const state_names[RT_STATES]
    = { "received",  "admitted",   "asking",       "queued",
        "claiming",  "connecting", "sending",      "sent",
        "streaming", "retrying",   "reconnecting", "resending",
        "done",      "not_run",    "failed",       "unknown" };

static const char *const chart_event_names[RT_CHART_EVENTS]
    = { "admit",
        "refuse",
        "enqueue",
        "ask",
        "claim",
        "connect",
        "granted",
        "replay",
        "claimed_elsewhere",
        "send",
        "connect_failed",
        "head",
        "refused_unrun",
        "refused_final",
        "retry",
        "fail",
        "lose",
        "body",
        "end" };

/** Transition table of the chart, indexed by enum rt_state and enum
    rt_apply_chart_event; -1: not allowed. Loaded once. */
static signed char transitions[RT_STATES][RT_CHART_EVENTS];
static bool transitions_loaded;

static void
load_transitions (void)
{
  const struct chart *c = chart_embedded ("attempt");
  int back[64];
  for (int i = 0; i < RT_STATES; i++)
    back[chart_state (c, state_names[i])] = i;
  for (int i = 0; i < RT_STATES; i++)
    for (int k = 0; k < RT_CHART_EVENTS; k++)
      {
        int to = chart_step (c, chart_state (c, state_names[i]),
                             chart_event (c, chart_event_names[k]));
        transitions[i][k] = to == CHART_REFUSED ? -1 : (signed char)back[to];
      }
  transitions_loaded = true;
}

/** Aborts on a transition that the chart does not allow: it is a bug in
    the core, and any outcome reported after it would be unreliable. */
void
rt_apply_chart_event (struct rt_req *q, enum rt_chart_event x)
{
  if (!transitions_loaded)
    load_transitions ();
  int to = transitions[q->state][x];
  if (to < 0)
    abort ();
  q->state = (enum rt_state)to;
}

bool
rt_has_server (const struct rt_req *q)
{
  return q->server != NULL;
}

void
rt_clear_pending (struct rt_req *q)
{
  if (q->pending)
    {
      q->server->pending--;
      rt_update_candidate (q->server);
    }
  q->pending = false;
}

/** Detach the request from its server at the end of an attempt. */
void
rt_detach_server (struct rt *r, struct rt_req *q)
{
  if (!q->server)
    return;
  rt_slot_release (r, q);
  rt_clear_pending (q);
  rt_server_remove_request (r, q->target, q->server, q->cost);
  if (q->probe)
    q->server->probing = false;
  q->probe = false;
  q->server = NULL;
}

void
rt_end_request (struct rt *r, struct rt_req *q)
{
  struct rt_target *t = q->target;
  rt_slot_release (r, q);
  rt_push_action (r, RT_ACT_FORGET, q);
  rt_req_free (r, q);
  if (t)
    rt_dispatch_queued (r, t);
}

static enum rt_outcome
outcome_of (const struct rt_req *q)
{
  switch (q->state)
    {
    case RT_S_DONE:
      return RT_DONE;
    case RT_S_NOT_RUN:
      return RT_NOT_RUN;
    case RT_S_FAILED:
      return RT_FAILED;
    default:
      return RT_UNKNOWN;
    }
}

/**
 * End the claim of a request that is given up. If the request was not sent,
 * the claim is released, even before the verdict: a later grant would block
 * the client's retry. If it was sent, its outcome stays unknown. The claim's
 * home is notified; otherwise it would answer repeated requests with
 * `key-running` for minutes.
 */
static void
end_claim (struct rt *r, struct rt_req *q)
{
  if (q->claim_requested)
    rt_push_action (r, q->sent ? RT_ACT_FINISH : RT_ACT_RELEASE, q);
  q->claim_requested = false;
}

/** Leave the queue, cancel the attempt and end the claim. */
void
rt_cancel_work (struct rt *r, struct rt_req *q)
{
  if (q->queued)
    rt_queue_remove (&q->target->queue, q);
  if (rt_has_server (q) && q->state >= RT_S_CONNECTING)
    rt_push_action (r, RT_ACT_CANCEL, q);
  rt_detach_server (r, q);
  end_claim (r, q);
}

/** Send the final error response, or abort a forwarded one. */
void
rt_respond_error (struct rt *r, struct rt_req *q, enum rt_code code,
                  clk_ms retry_ms)
{
  if (q->forwarding)
    {
      struct rt_action *a = rt_push_action (r, RT_ACT_CUT, q);
      a->code = code;
      a->outcome = outcome_of (q);
    }
  else
    {
      struct rt_action *a = rt_push_action (r, RT_ACT_ANSWER, q);
      a->code = code;
      a->http_status = rt_code_status (code);
      a->outcome = outcome_of (q);
      a->retry_ms = retry_ms;
    }
  rt_end_request (r, q);
}

/** End a request that was not executed. */
void
rt_refuse (struct rt *r, struct rt_req *q, enum rt_code code, clk_ms retry_ms)
{
  rt_cancel_work (r, q);
  if (q->charged)
    rt_limit_correct (q->account, q->cost, 0);
  rt_apply_chart_event (q, RT_X_REFUSE);
  rt_respond_error (r, q, code, retry_ms);
}

/** End a request that may have run. The outcome is `failed` if it is
    idempotent, since the client may repeat it, and `unknown` otherwise. */
void
rt_give_up (struct rt *r, struct rt_req *q, enum rt_code code)
{
  rt_cancel_work (r, q);
  rt_apply_chart_event (q, q->idempotent ? RT_X_FAIL : RT_X_LOSE);
  rt_respond_error (r, q, code, q->idempotent ? RT_DEFAULT_RETRY_MS : 0);
}

bool
rt_may_have_run (const struct rt_req *q)
{
  return q->state >= RT_S_SENDING && q->state <= RT_S_RESENDING;
}

static void
fail_request (struct rt *r, struct rt_req *q, enum rt_code code,
              clk_ms retry_ms)
{
  if (rt_may_have_run (q))
    rt_give_up (r, q, code);
  else
    rt_refuse (r, q, code, retry_ms);
}

void
rt_fail_blocked (struct rt *r, struct rt_req *q)
{
  clk_ms retry_ms;
  enum rt_code code = rt_avail_code (r, q->target, &retry_ms);
  fail_request (r, q, code, retry_ms);
}

static void
start_connect (struct rt *r, struct rt_req *q)
{
  q->attempt++;
  struct rt_action *a = rt_push_action (r, RT_ACT_CONNECT, q);
  a->addr = q->server->addr;
  a->name = str_from (q->server->name);
  a->generation = q->server->generation;
  /* A pooled connection may be broken without notice, and a non-idempotent
   * request that is lost on it can't be sent again. */
  a->fresh = !q->idempotent;
  a->resume = q->forwarding;
  a->offset = q->forwarded_bytes;
  a->connect_ms = q->model ? MODEL_CONNECT_MS : q->service->connect_ms;
  a->first_byte_ms
      = q->model ? q->model->first_byte_ms : q->service->first_byte_ms;
  a->progress_ms = q->model ? q->model->progress_ms : q->service->progress_ms;
  if (q->deadline)
    rt_set_timer (r, q, q->deadline);
  else
    rt_cancel_timer (r, q);
}

void
rt_start_claim (struct rt *r, struct rt_req *q)
{
  rt_apply_chart_event (q, RT_X_CLAIM);
  q->claim_requested = true;
  rt_push_action (r, RT_ACT_CLAIM, q);
  clk_ms at = r->now + CLAIM_TIMEOUT_MS;
  rt_set_timer (r, q, q->deadline && q->deadline < at ? q->deadline : at);
}

bool
rt_grant_is_valid (const struct rt *r, const struct rt_req *q)
{
  return q->granted_at != 0 && r->now - q->granted_at < CLM_GRANT_VALID_MS;
}

void
rt_dispatch (struct rt *r, struct rt_req *q, struct rt_server *s)
{
  q->server = s;
  rt_server_add_request (r, q->target, s, q->cost);
  if (s->ejected_until && rt_outlier_probe_due (r, s))
    s->probing = q->probe = true;
  if (q->has_key && !q->sent && !rt_grant_is_valid (r, q))
    {
      rt_start_claim (r, q);
      return;
    }
  rt_apply_chart_event (q, RT_X_CONNECT);
  start_connect (r, q);
}

void
rt_dispatch_queued (struct rt *r, struct rt_target *t)
{
  struct rt_req *q;
  while ((q = rt_queue_next (&t->queue, r->now)) != NULL)
    {
      struct rt_server *s = r->choose (r->choose_ctx, r, t, q);
      if (!s)
        return;
      rt_queue_pop (&t->queue, q);
      rt_dispatch (r, q, s);
      rt_slot_report_local (r, q);
    }
}

void
rt_on_claim (struct rt *r, struct rt_req *q, enum clm_verdict verdict,
             clk_ms retry_ms)
{
  if (q->state != RT_S_CLAIMING)
    return;
  switch (verdict)
    {
    case CLM_GRANTED:
      q->granted_at = r->now;
      rt_apply_chart_event (q, RT_X_GRANTED);
      start_connect (r, q);
      return;
    case CLM_COMPLETED:
      q->claim_requested = false;
      rt_cancel_work (r, q);
      rt_apply_chart_event (q, RT_X_REPLAY);
      rt_push_action (r, RT_ACT_REPLAY, q);
      rt_end_request (r, q);
      return;
    case CLM_RUNNING:
    case CLM_UNKNOWN:
      /* This request was not sent, but another request with the same key is
       * running or has run, so `not-run` would be wrong. */
      q->claim_requested = false;
      rt_cancel_work (r, q);
      rt_apply_chart_event (q, RT_X_CLAIMED_ELSEWHERE);
      rt_respond_error (
          r, q,
          verdict == CLM_RUNNING ? RT_CODE_CLAIM_RUNNING
                                 : RT_CODE_CLAIM_UNKNOWN,
          verdict == CLM_RUNNING ? rt_clamp_retry ((double)retry_ms) : 0);
      return;
    case CLM_MISMATCH:
      q->claim_requested = false;
      rt_refuse (r, q, RT_CODE_CLAIM_MISMATCH, 0);
      return;
    default:
      rt_refuse (r, q, RT_CODE_STORE, rt_clamp_retry ((double)retry_ms));
    }
}

void
rt_on_caller_gone (struct rt *r, struct rt_req *q)
{
  /*
   * A client that sent a key and lost the connection will repeat the request
   * with the key. If the request were canceled now, it could be neither
   * repeated nor answered, and the client would get `key-unknown` for as long
   * as the key is remembered. If it completes, its response is stored and
   * replayed to the repeated request.
   */
  if (q->claim_requested && q->sent)
    return;
  rt_cancel_work (r, q);
  rt_end_request (r, q);
}

void
rt_on_poison (struct rt *r, struct rt_req *q, clk_ms retry_ms)
{
  if (q->forwarding && rt_has_server (q))
    return;
  fail_request (r, q, rt_may_have_run (q) ? RT_CODE_BROKEN : RT_CODE_POISON,
                retry_ms);
}

void
rt_on_timer (struct rt *r, struct rt_req *q)
{
  if (q->deadline && r->now >= q->deadline)
    fail_request (r, q, RT_CODE_DEADLINE, RT_DEFAULT_RETRY_MS);
  else if (q->state == RT_S_ASKING)
    rt_on_slot_timeout (r, q);
  else if (q->queued && r->now >= rt_queue_deadline (q))
    fail_request (r, q,
                  rt_has_usable_server (r, q->target) ? RT_CODE_QUEUE_FULL
                                                      : RT_CODE_NO_REPLICA,
                  RT_DEFAULT_RETRY_MS);
  else if (q->state == RT_S_CLAIMING)
    rt_refuse (r, q, RT_CODE_STORE, RT_DEFAULT_RETRY_MS);
  else if (!q->queued && !rt_has_server (q) && rt_avail_blocks (r, q->target))
    rt_fail_blocked (r, q);
  else if (!q->queued && !rt_has_server (q))
    {
      struct rt_target *t = q->target;
      rt_enqueue (r, q, true);
      rt_dispatch_queued (r, t);
    }
}
