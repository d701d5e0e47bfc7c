#include "route/core.h"

/* Weight of the newest sample in moving averages. */
#define AVERAGE_WEIGHT 0.05

static void
mark_tried (struct rt_req *q)
{
  q->tried[q->ntried % RT_MAX_TRIED] = q->server->hash;
  if (q->ntried < RT_MAX_TRIED)
    q->ntried++;
}

/** Queue the request again at the front, for another server, after a delay. */
static void
requeue (struct rt *r, struct rt_req *q, clk_ms delay)
{
  struct rt_target *t = q->target;
  rt_detach_server (r, q);
  if (rt_avail_blocks (r, t))
    {
      rt_fail_blocked (r, q);
      return;
    }
  if (delay > 0)
    {
      rt_set_timer (r, q, r->now + delay);
      rt_dispatch_queued (r, t);
      return;
    }
  rt_enqueue (r, q, true);
  rt_dispatch_queued (r, t);
}

static bool
has_untried_server (const struct rt *r, const struct rt_req *q)
{
  for (size_t i = 0; i < q->target->nservers; i++)
    if (rt_is_usable (r, q->target->servers[i])
        && !rt_was_tried (q, q->target->servers[i]))
      return true;
  return false;
}

static bool
may_retry (struct rt *r, struct rt_req *q)
{
  return q->attempt < RT_MAX_ATTEMPTS && has_untried_server (r, q)
         && rt_retry_spend (r, q->target);
}

static void
on_connect_failed (struct rt *r, struct rt_req *q)
{
  rt_outlier_failure (r, q->target, q->server);
  q->attempt_failed = true;
  mark_tried (q);
  /* Nothing was sent, so a non-idempotent request may be retried too. */
  bool retry = may_retry (r, q);
  bool may_have_run = q->state == RT_S_RECONNECTING;
  rt_apply_chart_event (q, RT_X_CONNECT_FAILED);
  rt_detach_server (r, q);
  if (retry)
    requeue (r, q, 0);
  else if (may_have_run)
    rt_give_up (r, q, RT_CODE_CONNECT);
  else
    rt_refuse (r, q, RT_CODE_CONNECT, RT_DEFAULT_RETRY_MS);
}

static void
on_connected (struct rt *r, struct rt_req *q)
{
  if (!rt_avail_allows (r, q->server))
    {
      /* It has asked for a pause, or announced its shutdown, since it was
         chosen. */
      rt_push_action (r, RT_ACT_CANCEL, q);
      rt_apply_chart_event (q, RT_X_CONNECT_FAILED);
      requeue (r, q, 0);
      return;
    }
  if (q->has_key && !q->sent && !rt_grant_is_valid (r, q))
    {
      /* The claim may have expired while the connection was set up, and
         may have been granted to a repeated request. Sending now could
         run the request twice. */
      rt_push_action (r, RT_ACT_CANCEL, q);
      rt_start_claim (r, q);
      return;
    }
  rt_apply_chart_event (q, RT_X_SEND);
  q->sent = true;
  avl_count_sent (r->avail, r->now, q->server->avail_key);
  q->started_at = r->now;
  q->pending = true;
  q->server->pending++;
  rt_update_candidate (q->server);
  rt_push_action (r, RT_ACT_SEND, q);
}

/** The server refused the request without executing it. */
static void
on_refused (struct rt *r, struct rt_req *q)
{
  rt_push_action (r, RT_ACT_CANCEL, q);
  mark_tried (q);
  bool never_ran = q->state == RT_S_SENDING;
  /* No earlier attempt may have run, so the claim may be released. */
  if (never_ran)
    q->sent = false;
  bool retry = q->idempotent && may_retry (r, q);
  clk_ms delay = rt_retry_backoff (r, q->attempt);
  rt_detach_server (r, q);
  if (retry)
    {
      rt_apply_chart_event (q, never_ran ? RT_X_REFUSED_UNRUN : RT_X_RETRY);
      requeue (r, q, delay);
      return;
    }
  if (!never_ran)
    {
      rt_give_up (r, q, RT_CODE_BACKEND_REFUSED);
      return;
    }
  clk_ms retry_ms = RT_DEFAULT_RETRY_MS;
  if (rt_avail_blocks (r, q->target))
    rt_avail_code (r, q->target, &retry_ms);
  rt_cancel_work (r, q);
  rt_apply_chart_event (q, RT_X_REFUSED_FINAL);
  rt_respond_error (r, q, RT_CODE_BACKEND_REFUSED, retry_ms);
}

static bool
is_refusal_status (const struct rt_req *q, int status)
{
  const int *list
      = q->model ? q->model->not_run_status : q->service->not_run_status;
  size_t n = q->model ? q->model->nnot_run : q->service->nnot_run;
  for (size_t i = 0; i < n; i++)
    if (list[i] == status)
      return true;
  return false;
}

/** The attempt ended without a complete response: broken or silent. */
static void
on_attempt_failed (struct rt *r, struct rt_req *q, enum rt_code code,
                   bool may_repeat)
{
  rt_push_action (r, RT_ACT_CANCEL, q);
  rt_outlier_failure (r, q->target, q->server);
  q->attempt_failed = true;
  mark_tried (q);
  bool repeatable = q->forwarding
                        ? q->idempotent && q->model && q->model->can_resume
                        : q->idempotent;
  bool retry = may_repeat && repeatable && may_retry (r, q);
  clk_ms delay = rt_retry_backoff (r, q->attempt);
  rt_detach_server (r, q);
  if (!retry)
    {
      rt_give_up (r, q, code);
      return;
    }
  rt_apply_chart_event (q, RT_X_RETRY);
  requeue (r, q, delay);
}

static void
on_head (struct rt *r, struct rt_req *q, int status)
{
  if (q->state != RT_S_SENDING && q->state != RT_S_RESENDING)
    return;
  q->status = status;
  if (is_refusal_status (q, status))
    {
      on_refused (r, q);
      return;
    }
  /* An error response to a resumed stream must not be forwarded as part
     of the stream. */
  if (q->forwarding && status >= 300)
    {
      on_attempt_failed (r, q, RT_CODE_BROKEN, true);
      return;
    }
  rt_apply_chart_event (q, RT_X_HEAD);
}

static void
on_first_byte (struct rt *r, struct rt_req *q)
{
  rt_apply_chart_event (q, RT_X_BODY);
  q->forwarding = true;
  rt_push_action (r, RT_ACT_PASS, q);
  rt_clear_pending (q);
  q->first_byte_ms = r->now - q->started_at;
  rt_outlier_first_byte (r, q->target, q->server, q->first_byte_ms);
  q->probe = false;
}

static void
on_body (struct rt *r, struct rt_req *q, size_t size)
{
  if (q->state == RT_S_SENT)
    on_first_byte (r, q);
  if (q->state == RT_S_STREAMING)
    q->forwarded_bytes += size;
}

static void
on_complete (struct rt *r, struct rt_req *q, double tokens)
{
  if (q->state == RT_S_SENT)
    on_first_byte (r, q);
  if (q->state != RT_S_STREAMING)
    return;
  struct rt_target *t = q->target;
  rt_outlier_success (r, t, q->server);
  rt_retry_credit (t);
  if (tokens > 0)
    rt_limit_correct (q->account, q->cost, tokens);
  double ms = (double)(r->now - q->started_at) / q->cost;
  t->ms_per_token
      += (t->ms_per_token > 0 ? AVERAGE_WEIGHT : 1) * (ms - t->ms_per_token);
  t->measured_at = r->now;
  q->complete = true;
  rt_detach_server (r, q);
  rt_apply_chart_event (q, RT_X_END);
  if (q->claim_requested)
    rt_push_action (r, RT_ACT_FINISH, q)->http_status = q->status;
  rt_push_action (r, RT_ACT_END, q)->outcome = rt_status_outcome (q->status);
  rt_end_request (r, q);
}

void
rt_on_attempt_event (struct rt *r, struct rt_req *q, const struct rt_event *ev)
{
  /* Ignore late events of attempts that have ended. */
  if (!rt_has_server (q) || ev->attempt != q->attempt
      || q->state < RT_S_CONNECTING)
    return;
  bool connecting
      = q->state == RT_S_CONNECTING || q->state == RT_S_RECONNECTING;
  if (ev->kind == RT_EV_NOTICE)
    rt_avail_notice (r, q, ev);
  else if (ev->kind == RT_EV_CONNECTED && connecting)
    on_connected (r, q);
  else if (ev->kind == RT_EV_CONNECT_FAILED && connecting)
    on_connect_failed (r, q);
  else if (connecting)
    return;
  else if (ev->kind == RT_EV_HEAD)
    on_head (r, q, ev->status);
  else if (ev->kind == RT_EV_BODY)
    on_body (r, q, ev->size);
  else if (ev->kind == RT_EV_WHOLE)
    on_complete (r, q, ev->tokens);
  else if (ev->kind == RT_EV_BROKEN)
    on_attempt_failed (r, q, RT_CODE_BROKEN, !ev->suspect);
  else if (ev->kind == RT_EV_SILENT)
    on_attempt_failed (r, q, RT_CODE_SILENT, true);
}
