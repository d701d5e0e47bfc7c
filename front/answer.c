#include <stdio.h>
#include <stdlib.h>

#include "front/callers.h"

static const char *const messages[] = {
  [RT_CODE_NO_TARGET] = "no such model or service",
  [RT_CODE_FORBIDDEN] = "this account may not use it",
  [RT_CODE_NOT_ROUTED] = "it is only observed; no requests go to it",
  [RT_CODE_RATE] = "the account's rate is used up",
  [RT_CODE_CONCURRENCY] = "the account has too many requests open",
  [RT_CODE_QUEUE_FULL] = "too many requests wait already",
  [RT_CODE_DEADLINE] = "it can't be finished before its deadline",
  [RT_CODE_NO_REPLICA] = "no replica or backend server takes requests now",
  [RT_CODE_LEAVING] = "this node is going away; ask for another address",
  [RT_CODE_CONNECT] = "no backend server could be reached",
  [RT_CODE_BROKEN] = "the backend server's answer was cut",
  [RT_CODE_SILENT] = "the backend server fell silent",
  [RT_CODE_STORE] = "idempotency keys can't be recorded now",
  [RT_CODE_CLAIM_RUNNING] = "a request with this key is running",
  [RT_CODE_CLAIM_UNKNOWN]
  = "this key was used and how that ended is not known or not kept",
  [RT_CODE_CLAIM_MISMATCH] = "this key was used for another request",
  [RT_CODE_BACKEND_REFUSED] = "the backend server refused without running it",
  [RT_CODE_CALLER_GONE] = "the caller left",
  [RT_CODE_POISON] = "backend servers crash when they run this request",
};

const char *
gw_error_message (enum rt_code code)
{
  size_t n = sizeof messages / sizeof messages[0];
  const char *m = (size_t)code < n ? messages[code] : NULL;
  return m ? m : "the request did not succeed";
}

static void
write_error_body (const struct gw_error *e, struct buf *out)
{
  buf_add_c (out, "{\"error\":{\"code\":");
  buf_add_json (out, str_from (e->code));
  buf_add_c (out, ",\"message\":");
  buf_add_json (out, str_from (e->message));
  buf_add_c (out, ",\"outcome\":");
  buf_add_json (out, str_from (e->outcome));
  if (e->retry_ms > 0)
    buf_addf (out, ",\"retry_after_ms\":%lld", (long long)e->retry_ms);
  if (e->request_id.len > 0)
    {
      buf_add_c (out, ",\"request_id\":");
      buf_add_json (out, e->request_id);
    }
  buf_add_c (out, "}}\n");
}

void
gw_answer_error (struct httpd_req *req, const struct gw_error *e)
{
  struct buf body = BUF_INIT;
  char seconds[24];
  struct http_header h[6];
  size_t n = 0;

  h[n++]
      = (struct http_header){ STR ("content-type"), STR ("application/json") };
  h[n++]
      = (struct http_header){ STR ("lapis-outcome"), str_from (e->outcome) };
  if (e->request_id.len > 0)
    h[n++] = (struct http_header){ STR ("lapis-request-id"), e->request_id };
  if (e->retry_ms > 0)
    {
      snprintf (seconds, sizeof seconds, "%lld",
                (long long)((e->retry_ms + CLK_SECOND - 1) / CLK_SECOND));
      h[n++] = (struct http_header){ STR ("retry-after"), str_from (seconds) };
    }
  if (e->status == 401)
    h[n++] = (struct http_header){ STR ("www-authenticate"), STR ("Bearer") };
  if (e->allow != NULL)
    h[n++] = (struct http_header){ STR ("allow"), str_from (e->allow) };
  write_error_body (e, &body);
  httpd_answer (req, e->status, h, n, buf_str (&body));
  buf_free (&body);
}

void
gw_new_request_id (struct gw *g, char out[GW_ID_CHARS + 1])
{
  snprintf (out, GW_ID_CHARS + 1, "%016llx%016llx",
            (unsigned long long)rng_next (&g->rng),
            (unsigned long long)rng_next (&g->rng));
}

void
gw_check_config_recent (const struct gw *g, struct gw_error *e)
{
  if (gw_view_is_recent (g->view))
    return;
  e->status = 503;
  e->code = "config-unconfirmed";
  e->message = "this node's configuration may be outdated; retry";
  e->retry_ms = CLK_SECOND;
}

void
gw_refuse (struct gw *g, struct httpd_req *req, struct gw_error *e)
{
  char id[GW_ID_CHARS + 1];

  gw_new_request_id (g, id);
  e->outcome = rt_outcome_name (RT_NOT_RUN);
  e->request_id = str_from (id);
  gw_answer_error (req, e);
}

void
gw_fill_refusal (struct gw *g, int status, struct httpd_refusal *r)
{
  char id[GW_ID_CHARS + 1];
  struct buf body = BUF_INIT;
  struct gw_error e = { .status = status, .code = "bad-request" };

  e.message = "the request is badly framed";
  if (status == 413)
    {
      e.code = "body-too-large";
      e.message = "the body exceeds what any configuration allows";
    }
  else if (status == 408)
    {
      e.code = "request-timeout";
      e.message = "the request took too long to arrive";
    }
  else if (status == 431)
    {
      e.code = "head-too-large";
      e.message = "the request head is too large";
    }
  gw_new_request_id (g, id);
  e.outcome = rt_outcome_name (RT_NOT_RUN);
  e.request_id = str_from (id);
  write_error_body (&e, &body);
  httpd_refusal_header (r, STR ("lapis-outcome"), str_from (e.outcome));
  httpd_refusal_header (r, STR ("lapis-request-id"), e.request_id);
  httpd_refusal_json (r, buf_str (&body));
  buf_free (&body);
}

void
gw_answer_json (struct gw *g, struct httpd_req *req, struct str json)
{
  char id[GW_ID_CHARS + 1];
  struct http_header h[]
      = { { STR ("content-type"), STR ("application/json") },
          { STR ("lapis-request-id"), { id, GW_ID_CHARS } },
          { STR ("lapis-outcome"), STR ("done") } };

  gw_new_request_id (g, id);
  httpd_answer (req, 200, h, 3, json);
}

/* ---- aborted responses ---- */

static void
on_aborted_gone (void *ctx)
{
  free (ctx);
}

static void
on_aborted_drained (void *ctx)
{
  struct httpd_req **aborted = ctx;
  struct httpd_req *req = *aborted;

  if (httpd_queued (req) > 0)
    return;
  free (aborted);
  httpd_end (req, false);
}

/**
 * Aborting a response drops queued bytes, among them the event that states
 * whether the caller may retry the request.  The abort is therefore delayed
 * until the queue is empty.  httpd closes the connection of a caller that
 * reads nothing for too long.
 */
void
gw_abort_response (struct httpd_req *req)
{
  struct httpd_req **aborted;

  if (httpd_queued (req) == 0)
    {
      httpd_end (req, false);
      return;
    }
  aborted = xmalloc (sizeof *aborted);
  *aborted = req;
  httpd_on_disconnect (req, on_aborted_gone, aborted);
  httpd_on_drained (req, on_aborted_drained, aborted);
}
