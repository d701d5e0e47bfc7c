#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "front/callers.h"
#include "route/record-names.h"

/** Timeout of a claim request. */
#define CLAIM_WAIT_MS (3 * CLK_SECOND)

void
gw_span (struct gw *g, const struct trc_id *id, const uint8_t parent[8],
         const char *name, struct str detail, clk_ms began_at)
{
  struct trc_span s = { .id = *id };

  memcpy (s.parent, parent, sizeof s.parent);
  snprintf (s.name, sizeof s.name, "%s", name);
  snprintf (s.detail, sizeof s.detail, "%.*s", STR_ARG (detail));
  s.duration = clk_now () - began_at;
  s.start = clk_wall () - s.duration;
  trc_ring_add (g->spans, &s);
}

/** Record a child span of the exchange's span, from @p began_at until now. */
static void
exchange_span (struct gw_exchange *ex, const char *name, struct str detail,
               clk_ms began_at)
{
  struct trc_id id = trc_child (&ex->span, &ex->c->g->rng);
  gw_span (ex->c->g, &id, ex->span.span, name, detail, began_at);
}

/* ---- end of the response ---- */

static void
record_end (struct gw_exchange *ex, const char *outcome, const char *code)
{
  struct gw_callers *c = ex->c;
  bool known = ex->call.req.is_model
                   ? cfg_model (ex->call.cfg, ex->call.req.target) != NULL
                   : cfg_service (ex->call.cfg, ex->call.req.target) != NULL;
  char labels[256];

  /* Targets that are not configured don't become labels: callers could create
     any number of series. */
  snprintf (labels, sizeof labels, "target=\"%s\",outcome=\"%s\",code=\"%s\"",
            known ? ex->call.target : "", outcome, code);
  met_add (met_counter (c->g->met, "lapisline_requests_total",
                        "Answers by target, outcome and code.", labels),
           1);
  met_observe (c->m_latency, (double)(clk_now () - ex->began_at));
}

/** Detach the request from the exchange, which records its metrics and span.
    The function's caller writes the end of the response. */
static struct httpd_req *
detach_req (struct gw_exchange *ex, const char *outcome, const char *code)
{
  struct httpd_req *req = ex->req;

  record_end (ex, outcome, code);
  gw_span (ex->c->g, &ex->span, ex->parent, "gateway.receive",
           str_from (outcome), ex->began_at);
  ex->out = GW_OUT_ENDED;
  ex->req = NULL;
  return req;
}

static void
answer_error (struct gw_exchange *ex, int status, enum rt_code code,
              enum rt_outcome outcome, clk_ms retry_ms)
{
  struct gw_error e = { .status = status ? status : rt_code_status (code),
                        .code = rt_code_name (code),
                        .message = gw_error_message (code),
                        .outcome = rt_outcome_name (outcome),
                        .retry_ms = retry_ms,
                        .request_id = str_from (ex->request_id) };

  if (code == RT_CODE_NO_TARGET || code == RT_CODE_FORBIDDEN)
    gw_check_config_recent (ex->c->g, &e);
  gw_answer_error (detach_req (ex, e.outcome, e.code), &e);
}

/** Headers of the forwarded response and those of the gateway; the caller
    releases them with free(). */
static struct http_header *
answer_headers (const struct gw_exchange *ex, const char *outcome, size_t *n)
{
  struct http_header *h = xcalloc (ex->head.n + 2, sizeof *h);

  memcpy (h, ex->head.list, ex->head.n * sizeof *h);
  *n = ex->head.n;
  h[(*n)++] = (struct http_header){ STR ("lapis-request-id"),
                                    str_from (ex->request_id) };
  if (outcome != NULL)
    h[(*n)++]
        = (struct http_header){ STR ("lapis-outcome"), str_from (outcome) };
  return h;
}

static void
send_buffered (struct gw_exchange *ex, const char *outcome)
{
  size_t n;
  struct http_header *h = answer_headers (ex, outcome, &n);

  httpd_answer (detach_req (ex, outcome, ""), ex->head.status, h, n,
                buf_str (&ex->body));
  free (h);
}

static void
end_stream (struct gw_exchange *ex, const char *outcome, const char *code,
            bool whole)
{
  struct httpd_req *req = detach_req (ex, outcome, code);
  struct buf event = BUF_INIT;

  if (ex->events)
    {
      buf_addf (&event, "event: lapis-outcome\ndata: {\"outcome\":\"%s\"",
                outcome);
      if (code[0] != '\0')
        buf_addf (&event, ",\"code\":\"%s\"", code);
      buf_add_c (&event, "}\n\n");
      httpd_write (req, buf_str (&event));
      buf_free (&event);
    }
  if (whole)
    httpd_end (req, true);
  else
    gw_abort_response (req);
}

static void
end_complete (struct gw_exchange *ex, enum rt_outcome outcome)
{
  if (ex->out == GW_OUT_BUFFERED)
    send_buffered (ex, rt_outcome_name (outcome));
  else if (ex->out == GW_OUT_STREAM)
    end_stream (ex, rt_outcome_name (outcome), "", true);
}

/**
 * An incomplete stream ends without the final chunk, so that a caller that
 * checks only the framing doesn't mistake it for a complete response.
 */
static void
end_incomplete (struct gw_exchange *ex, const struct rt_action *a)
{
  if (ex->out == GW_OUT_STREAM)
    end_stream (ex, rt_outcome_name (a->outcome), rt_code_name (a->code),
                false);
  else if (ex->out != GW_OUT_ENDED)
    answer_error (ex, 0, a->code, a->outcome, a->retry_ms);
}

/* ---- forwarding a response ---- */

static void
begin_stream (struct gw_exchange *ex)
{
  size_t n;
  struct http_header *h = answer_headers (ex, NULL, &n);

  httpd_begin (ex->req, ex->head.status, h, n);
  free (h);
  ex->out = GW_OUT_STREAM;
}

static void
write_stream (struct gw_exchange *ex, struct gw_attempt *at, struct str bytes)
{
  httpd_write (ex->req, bytes);
  if (httpd_queued (ex->req) >= GW_QUEUE_HIGH)
    gw_attempt_pause (at, true);
}

/** Discard the copy for the claim when it exceeds the configured size. */
static void
limit_stored_body (struct gw_exchange *ex)
{
  if (ex->body.len > ex->call.cfg->limits.kept_answer)
    ex->store_body = false;
  if (!ex->store_body)
    buf_free (&ex->body);
}

void
gw_exchange_body (struct gw_exchange *ex, struct gw_attempt *at,
                  struct str bytes)
{
  if (ex->first_byte_at == 0)
    {
      ex->first_byte_at = clk_now ();
      met_observe (ex->c->m_first_byte,
                   (double)(ex->first_byte_at - ex->began_at));
    }
  if (ex->out == GW_OUT_BUFFERED || ex->store_body)
    buf_add (&ex->body, bytes);
  if (ex->out == GW_OUT_STREAM)
    {
      write_stream (ex, at, bytes);
      limit_stored_body (ex);
    }
  else if (ex->out == GW_OUT_BUFFERED && ex->body.len > GW_BUFFER_BYTES)
    {
      begin_stream (ex);
      write_stream (ex, at, buf_str (&ex->body));
      limit_stored_body (ex);
    }
  else if (ex->out == GW_OUT_ENDED)
    limit_stored_body (ex);
}

static void
forward_attempt (struct gw_exchange *ex, struct gw_attempt *at)
{
  struct buf held = at->held;

  at->forwarding = true;
  memset (&at->held, 0, sizeof at->held);
  if (ex->head.list == NULL)
    {
      ex->head = at->head;
      memset (&at->head, 0, sizeof at->head);
      at->head.status = ex->head.status;
      ex->events = at->answer.events;
    }
  if (ex->out == GW_OUT_NONE)
    {
      ex->out = GW_OUT_BUFFERED;
      if (ex->events)
        begin_stream (ex);
    }
  if (held.len > 0)
    gw_exchange_body (ex, at, buf_str (&held));
  buf_free (&held);
}

/* ---- claims ---- */

struct pending_claim
{
  struct gw_callers *c;
  uint64_t id;
};

static void
on_claim (void *ctx, const struct clm_reply *reply)
{
  struct pending_claim *w = ctx;
  struct gw_exchange *ex = gw_callers_find (w->c, w->id);
  struct rt_event ev = { .kind = RT_EV_CLAIM,
                         .id = w->id,
                         .verdict = reply->verdict,
                         .retry_ms = reply->retry_after_ms };

  if (ex != NULL && reply->verdict == CLM_COMPLETED)
    {
      ex->stored_status = reply->response_status;
      buf_clear (&ex->stored_response);
      buf_add (&ex->stored_response, reply->response);
    }
  if (ex != NULL)
    gw_span (ex->c->g, &ex->claim_span, ex->span.span, "gateway.claim",
             str_from (rec_verdict_names[reply->verdict]), ex->asked_at);
  gw_callers_event (w->c, &ev);
  free (w);
}

static void
ignore_reply (void *ctx, const struct clm_reply *reply)
{
  (void)ctx;
  (void)reply;
}

static struct clm_request
make_claim_request (const struct gw_exchange *ex, enum clm_kind kind)
{
  const struct rt_request *r = &ex->call.req;
  struct clm_request ask = { .id = ex->id, .kind = kind };

  memcpy (ask.key, r->claim_key, sizeof ask.key);
  memcpy (ask.attempt, r->attempt_id, sizeof ask.attempt);
  memcpy (ask.fingerprint, r->fingerprint, sizeof ask.fingerprint);
  return ask;
}

static void
claim_acquire (struct gw_exchange *ex)
{
  struct clm_request ask = make_claim_request (ex, CLM_ACQUIRE);
  struct pending_claim *w = xcalloc (1, sizeof *w);

  w->c = ex->c;
  w->id = ex->id;
  ex->asked_at = clk_now ();
  ex->claim_span = trc_child (&ex->span, &ex->c->g->rng);
  gw_claims_request (ex->c->g->claims, &ask, &ex->claim_span, CLAIM_WAIT_MS,
                     on_claim, w);
}

static void
claim_release (struct gw_exchange *ex)
{
  struct clm_request ask = make_claim_request (ex, CLM_RELEASE);
  gw_claims_request (ex->c->g->claims, &ask, &ex->span, CLAIM_WAIT_MS,
                     ignore_reply, NULL);
}

/**
 * Stores the response with the claim as content type, line feed and body.  If
 * the response was too large or incomplete, stores status 0 and no response.
 * A partial response is never stored: a retry would get it as a complete one.
 */
static void
claim_finish (struct gw_exchange *ex, bool whole)
{
  struct clm_request ask = make_claim_request (ex, CLM_FINISH);
  struct buf answer = BUF_INIT;

  if (whole && ex->store_body
      && ex->body.len <= ex->call.cfg->limits.kept_answer)
    {
      ask.response_status = ex->head.status;
      buf_add (&answer, back_find (ex->head.list, ex->head.n, "content-type"));
      buf_add_char (&answer, '\n');
      buf_add (&answer, buf_str (&ex->body));
      ask.response = buf_str (&answer);
    }
  gw_claims_request (ex->c->g->claims, &ask, &ex->span, CLAIM_WAIT_MS,
                     ignore_reply, NULL);
  buf_free (&answer);
}

static void
replay (struct gw_exchange *ex)
{
  struct str kept = buf_str (&ex->stored_response);
  size_t line = str_chr (kept, '\n');
  const char *outcome
      = rt_outcome_name (rt_status_outcome (ex->stored_status));
  struct http_header h[]
      = { { STR ("content-type"), str_head (kept, line) },
          { STR ("lapis-request-id"), str_from (ex->request_id) },
          { STR ("lapis-outcome"), str_from (outcome) },
          { STR ("lapis-replayed"), STR ("true") } };

  if (ex->stored_status == 0)
    {
      answer_error (ex, 0, RT_CODE_CLAIM_UNKNOWN, RT_UNKNOWN, 0);
      return;
    }
  httpd_answer (detach_req (ex, outcome, "replayed"), ex->stored_status, h, 4,
                str_skip (kept, line + 1));
}

/* ---- actions ---- */

static void
act_connect (struct gw_exchange *ex, const struct rt_action *a)
{
  if (!ex->connected)
    exchange_span (ex, "gateway.queue", ex->call.req.target, ex->began_at);
  ex->connected = true;
  gw_attempt_start (ex, a);
}

static void
act_attempt (struct gw_exchange *ex, const struct rt_action *a)
{
  struct gw_attempt *at = gw_find_attempt (ex, a->attempt);

  if (at == NULL)
    return;
  if (a->kind == RT_ACT_SEND)
    at->send_granted = true;
  else if (a->kind == RT_ACT_CANCEL)
    gw_attempt_cancel (at);
  else if (ex->out != GW_OUT_ENDED || ex->store_body)
    forward_attempt (ex, at);
}

void
gw_exchange_act (struct gw_exchange *ex, const struct rt_action *a)
{
  switch (a->kind)
    {
    case RT_ACT_CLAIM:
      claim_acquire (ex);
      break;
    case RT_ACT_RELEASE:
      claim_release (ex);
      break;
    case RT_ACT_FINISH:
      claim_finish (ex, a->http_status != 0);
      break;
    case RT_ACT_CONNECT:
      act_connect (ex, a);
      break;
    case RT_ACT_SEND:
    case RT_ACT_CANCEL:
    case RT_ACT_PASS:
      act_attempt (ex, a);
      break;
    case RT_ACT_ANSWER:
      if (ex->out != GW_OUT_ENDED)
        answer_error (ex, a->http_status, a->code, a->outcome, a->retry_ms);
      break;
    case RT_ACT_REPLAY:
      if (ex->out != GW_OUT_ENDED)
        replay (ex);
      break;
    case RT_ACT_END:
      end_complete (ex, a->outcome);
      break;
    case RT_ACT_CUT:
      end_incomplete (ex, a);
      break;
    case RT_ACT_SLOT_ASK:
    case RT_ACT_SLOT_TAKEN:
    case RT_ACT_SLOT_DONE:
      gw_slots_execute (ex->c->g->slots, a);
      break;
    case RT_ACT_FORGET:
      gw_exchange_free (ex);
      break;
    }
}

/* ---- events of the caller's connection ---- */

static void
end_caller (struct gw_exchange *ex)
{
  struct rt_event ev = { .kind = RT_EV_CALLER_GONE, .id = ex->id };

  detach_req (ex, "gone", rt_code_name (RT_CODE_CALLER_GONE));
  for (struct gw_attempt *at = ex->attempts; at != NULL; at = at->next)
    gw_attempt_pause (at, false);
  gw_callers_event (ex->c, &ev);
}

static void
on_gone (void *ctx)
{
  end_caller (ctx);
}

static void
on_drained (void *ctx)
{
  struct gw_exchange *ex = ctx;

  if (ex->req == NULL || httpd_queued (ex->req) > GW_QUEUE_LOW)
    return;
  for (struct gw_attempt *at = ex->attempts; at != NULL; at = at->next)
    gw_attempt_pause (at, false);
}

void
gw_exchange_tick (struct gw_exchange *ex, clk_ms now)
{
  struct gw_attempt *at = ex->attempts;

  while (at != NULL && !gw_attempt_timed_out (at, now))
    at = at->next;
  /* At most one attempt per tick, as the event may free the exchange. */
  if (at != NULL)
    gw_attempt_time_out (at);
}

/* ---- creation and destruction ---- */

static void
begin_trace (struct gw_exchange *ex)
{
  struct rng *rng = &ex->c->g->rng;
  struct trc_id parent;

  if (trc_parse (httpd_header (ex->req, "traceparent"), &parent))
    {
      memcpy (ex->parent, parent.span, sizeof ex->parent);
      ex->span = trc_child (&parent, rng);
    }
  else
    ex->span = trc_child (NULL, rng);
}

struct gw_exchange *
gw_exchange_new (struct gw_callers *c, struct httpd_req *req,
                 struct gw_call *call, clk_ms now)
{
  struct gw_exchange *ex = xcalloc (1, sizeof *ex);

  ex->c = c;
  ex->req = req;
  ex->call = *call;
  ex->store_body = call->req.has_key;
  ex->began_at = now;
  gw_new_request_id (c->g, ex->request_id);
  begin_trace (ex);
  gw_callers_add (c, ex);
  ex->call.req.id = ex->id;
  httpd_on_disconnect (req, on_gone, ex);
  httpd_on_drained (req, on_drained, ex);
  return ex;
}

void
gw_exchange_free (struct gw_exchange *ex)
{
  while (ex->attempts != NULL)
    gw_attempt_cancel (ex->attempts);
  gw_callers_remove (ex->c, ex);
  free (ex->head.list);
  buf_free (&ex->head.text);
  buf_free (&ex->body);
  buf_free (&ex->stored_response);
  gw_call_free (&ex->call);
  free (ex);
}
