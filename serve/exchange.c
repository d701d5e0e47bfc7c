#include "serve/exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/digest.h"

/** Timeout for a connection to a backend server: several times the latency
    between two availability zones, and one retransmission of a lost SYN. */
#define CONNECT_MS ((clk_ms)400)

/** Limit on a response that is no stream, in bytes.  It is buffered until it
   is complete; the requests that a node has at plain servers are few. */
#define RESPONSE_MAX ((size_t)8 * 1024 * 1024)

/** Limit on the events of a stream that are not forwarded yet, and on those
   that wait for the client to read them, in bytes. */
#define EVENTS_MAX ((size_t)1024 * 1024)

/* --- response heads ---------------------------------------------------- */

static struct str
copy_text (struct buf *text, struct str s)
{
  size_t at = text->len;

  buf_add (text, s);
  return str_make (text->ptr + at, s.len);
}

static void
copy_head (const struct srv *s, struct srv_response_head *head, int status,
           const struct http_header *h, size_t n)
{
  size_t size = 0;

  for (size_t i = 0; i < n; i++)
    size += h[i].name.len + h[i].value.len;
  head->status = status;
  head->list = xcalloc (n + 1, sizeof *head->list);
  /* Reserve the whole buffer now: growing it later would invalidate the
     views into it. */
  buf_reserve (&head->text, size + 1);
  for (size_t i = 0; i < n; i++)
    if (s->adapter->forwards_header (&h[i]))
      head->list[head->n++]
          = (struct http_header){ copy_text (&head->text, h[i].name),
                                  copy_text (&head->text, h[i].value) };
}

/** Remove Content-Length from the head of a stream: the length changes if the
    stream is resumed on another server. */
static void
drop_content_length (struct srv_response_head *head)
{
  size_t kept = 0;

  for (size_t i = 0; i < head->n; i++)
    if (!str_is (head->list[i].name, "content-length"))
      head->list[kept++] = head->list[i];
  head->n = kept;
}

/* --- attempts ---------------------------------------------------------- */

static struct srv_attempt *
find_attempt (struct srv_exchange *ex, unsigned number)
{
  struct srv_attempt *at = ex->attempts;

  while (at && at->number != number)
    at = at->next;
  return at;
}

static void
free_attempt (struct srv_attempt *at)
{
  struct srv_attempt **p = &at->ex->attempts;

  while (*p != at)
    p = &(*p)->next;
  *p = at->next;
  if (at->call)
    httpc_cancel (at->call);
  free (at->head.list);
  buf_free (&at->head.text);
  free (at->server);
  buf_free (&at->body);
  spl_free (&at->split);
  free (at);
}

/** Log an attempt that didn't return a complete response, and the reason. */
static void
log_attempt_lost (const struct srv_attempt *at, const char *why)
{
  clk_ms now = clk_now ();

  LOG (attempt_lost, LOG_S ("id", at->ex->request.id),
       LOG_C ("digest", at->ex->digest_text),
       LOG_S ("parts", buf_str (&at->ex->parts_text)),
       LOG_I ("attempt", at->number), LOG_C ("server", at->server),
       LOG_C ("why", why), LOG_I ("status", at->head.status),
       LOG_I ("passed", at->forwarding),
       LOG_I ("ran_ms", at->first_event_at ? now - at->first_event_at : -1),
       LOG_I ("ms", now - at->started_at));
}

/** Log that this node ends an attempt that could still go on. */
static void
log_attempt_cancelled (const struct srv_attempt *at,
                       const struct dsp_action *a)
{
  clk_ms now = clk_now ();

  if (!at->call || a->cancel_reason == DSP_CANCEL_FAILED
      || a->cancel_reason == DSP_CANCEL_CLIENT_GONE)
    return; /* attempt_lost, request_ended */
  LOG (attempt_cancelled, LOG_S ("id", at->ex->request.id),
       LOG_I ("attempt", at->number), LOG_C ("server", at->server),
       LOG_C ("why", dsp_cancel_reason_name (a->cancel_reason)),
       LOG_I ("silent_ms", a->silence.silent_ms),
       LOG_I ("status", at->head.status), LOG_I ("passed", at->forwarding),
       LOG_I ("ms", now - at->started_at));
}

static bool
on_connected (void *ctx)
{
  struct srv_attempt *at = ctx;

  if (!dsp_request_sent (at->ex->s->dispatch, clk_now (), at->ex->id,
                         at->number))
    return false;
  at->ex->attempts_sent++;
  return true;
}

/** Whether the status tells clients that the request was not run.  A backend
    server that doesn't state this explicitly may have run the request, so
    such a response must not be forwarded. */
static bool
is_not_run_status (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

static bool
is_valid_response (const struct srv_attempt *at, int status)
{
  if (!at->response.same_request
      || (is_not_run_status (status) && !at->response.not_run))
    return false;
  if (status >= 200 && status < 300)
    return at->response.sealed && !at->response.encoded;
  return status >= 400;
}

static enum dsp_response_head
classify_head (const struct srv_attempt *at, int status)
{
  if (at->response.not_run)
    return DSP_RESPONSE_NOT_EXECUTED;
  if (status >= 500)
    return DSP_RESPONSE_ERROR;
  return status >= 300 ? DSP_RESPONSE_FINAL : DSP_RESPONSE_OK;
}

/** A response that a proxy generated itself says that it sent the request to
   no server, or that it can't tell. */
static void
interpret_proxy_response (struct srv_attempt *at, int status)
{
  if (at->response.sealed)
    return;
  at->response.not_run
      = is_not_run_status (status) || (status >= 400 && status < 500);
  at->response.same_request = at->response.not_run;
}

/** Process the rate limit in a response, and log changes. */
static void
handle_rate_limit (const struct srv_attempt *at)
{
  struct srv_exchange *ex = at->ex;
  struct dsp *d = ex->s->dispatch;
  enum lim_change change = LIM_UNCHANGED;
  char rate[32];

  /* Ignore the limit if the response comes from another server or belongs to
     another request. */
  if (!at->response.misdirected && at->response.same_request)
    change = dsp_response_limit (d, clk_now (), ex->id, at->number,
                                 at->response.limit, at->response.rate);
  snprintf (rate, sizeof rate, "%g", at->response.rate);
  if (change != LIM_UNCHANGED)
    srv_peers_send_limits (ex->s);
  switch (change)
    {
    case LIM_UNCHANGED:
      break;
    case LIM_SET:
      LOG (limit_named, LOG_C ("server", at->server), LOG_C ("per_s", rate),
           LOG_S ("id", ex->request.id));
      break;
    case LIM_ENDED:
      LOG (limit_ended, LOG_C ("server", at->server),
           LOG_S ("id", ex->request.id),
           LOG_I ("sent", dsp_sent_while_limited (d, ex->id, at->number)));
      break;
    case LIM_MALFORMED:
      LOG (limit_unreadable, LOG_C ("server", at->server),
           LOG_S ("id", ex->request.id));
      break;
    }
}

/** Process what the response says of its server's availability. */
static void
handle_notice (const struct srv_attempt *at)
{
  struct srv_exchange *ex = at->ex;
  struct srv_notice_source from
      = { .server = str_from (at->server),
          .process = dsp_attempt_process (ex->s->dispatch, ex->id, at->number),
          .what = "request",
          .id = ex->request.id };

  if (from.process && !at->response.misdirected && at->response.same_request)
    srv_notice_received (ex->s, &from, &at->response.notice);
}

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct srv_attempt *at = ctx;
  struct srv_exchange *ex = at->ex;
  struct srv *s = ex->s;

  s->adapter->parse_response (ex->request.id, status, h, n, &at->response);
  copy_head (s, &at->head, status, h, n);
  if (at->proxy)
    interpret_proxy_response (at, status);
  else
    {
      handle_rate_limit (at);
      handle_notice (at);
    }
  if (at->response.not_run || status >= 500)
    log_attempt_lost (at, at->response.not_run ? "not-run" : "error");
  if (is_valid_response (at, status))
    dsp_response_head (s->dispatch, clk_now (), ex->id, at->number,
                       classify_head (at, status));
  else
    {
      log_attempt_lost (at, "no-answer-to-this");
      dsp_response_interrupted (s->dispatch, clk_now (), ex->id, at->number);
    }
  srv_run_actions (s);
}

static bool
is_stream (const struct srv_attempt *at)
{
  return at->ex->route->kind == TBL_STREAM && at->response.is_event_stream
         && at->head.status == 200;
}

/** Record the time to the first event and the longest gap between events. */
static void
record_event_gap (struct srv_exchange *ex)
{
  clk_ms now = clk_now ();

  if (ex->first_ms == 0)
    ex->first_ms = now - ex->started_at;
  else if (now - ex->last_write_at > ex->pause_ms)
    ex->pause_ms = now - ex->last_write_at;
  ex->last_write_at = now;
}

static void
forward_events (struct srv_attempt *at)
{
  struct srv_exchange *ex = at->ex;

  if (!at->forwarding || !ex->req || at->body.len == 0)
    return;
  record_event_gap (ex);
  httpd_write (ex->req, buf_str (&at->body));
  buf_clear (&at->body);
  ex->has_event = at->split.has_id;
  ex->last_event = at->split.last_id;
}

/** Write the log line of a request that has ended, and update the metrics. */
static void
log_end (struct srv_exchange *ex, int status, const char *code)
{
  clk_ms ms = clk_now () - ex->started_at;

  srv_metrics_request (ex->s, tbl_kind_name (ex->route->kind), status, code,
                       ms);
  LOG (request_ended, LOG_S ("id", ex->request.id),
       LOG_C ("digest", ex->digest_text), LOG_S ("route", ex->route->name),
       LOG_I ("status", status), LOG_C ("code", code),
       LOG_I ("attempts", ex->attempts_sent),
       LOG_S ("servers", buf_str (&ex->servers)),
       LOG_I ("first_ms", ex->first_ms), LOG_I ("pause_ms", ex->pause_ms),
       LOG_I ("ms", ms), LOG_I ("config", ex->config->version));
}

/** Log the end of the request, and detach it from the client's connection.
    @return  the connection, for the rest of the response */
static struct httpd_req *
release_req (struct srv_exchange *ex, int status, const char *code)
{
  struct httpd_req *req = ex->req;

  log_end (ex, status, code);
  ex->req = NULL;
  return req;
}

/** Close the connection of a client that reads its events too slowly. */
static void
close_slow_client (struct srv_exchange *ex)
{
  LOG (response_truncated, LOG_S ("id", ex->request.id),
       LOG_C ("code", "slow-client"), LOG_S ("route", ex->route->name),
       LOG_I ("attempts", ex->attempts_sent),
       LOG_S ("servers", buf_str (&ex->servers)),
       LOG_I ("queued", httpd_queued (ex->req)),
       LOG_I ("after_ms", clk_now () - ex->started_at));
  httpd_end (release_req (ex, ex->status, "slow-client"), false);
  dsp_client_disconnected (ex->s->dispatch, clk_now (), ex->id);
}

/** End an attempt whose server sends bytes that are no response: they may come
    until the connection is closed. */
static void
reject_body (struct srv_attempt *at, const char *why)
{
  log_attempt_lost (at, why);
  dsp_response_interrupted (at->ex->s->dispatch, clk_now (), at->ex->id,
                            at->number);
}

static void
on_events (struct srv_attempt *at, struct str bytes)
{
  struct srv_exchange *ex = at->ex;
  size_t events = spl_feed (&at->split, bytes, &at->body);

  if (events > 0 && !at->first_event_at)
    at->first_event_at = clk_now ();
  forward_events (at);
  dsp_data_received (ex->s->dispatch, clk_now (), ex->id, at->number,
                     events > 0);
  if (at->split.malformed)
    reject_body (at, "no-event");
  else if (at->body.len > EVENTS_MAX)
    reject_body (at, "too-large");
  else if (ex->req && httpd_queued (ex->req) > EVENTS_MAX)
    close_slow_client (ex);
}

static void
on_body (void *ctx, struct str bytes)
{
  struct srv_attempt *at = ctx;
  struct srv *s = at->ex->s;

  if (is_stream (at))
    on_events (at, bytes);
  else if (at->body.len + bytes.len <= RESPONSE_MAX)
    {
      buf_add (&at->body, bytes);
      return;
    }
  else
    reject_body (at, "too-large");
  srv_run_actions (s);
}

/** The body has ended.
    @param closed  its length was not stated, and the server closed the
                   connection */
static void
on_body_end (struct srv_attempt *at, bool closed)
{
  struct dsp *d = at->ex->s->dispatch;
  uint64_t id = at->ex->id;
  clk_ms now = clk_now ();
  bool empty = is_stream (at) ? !at->first_event_at : at->body.len == 0;

  if (at->head.status == 0 || (is_stream (at) && at->split.rest.len > 0))
    {
      log_attempt_lost (at, "cut-in-an-event");
      dsp_response_interrupted (d, now, id, at->number);
      return;
    }
  if (!closed)
    {
      dsp_response_complete (d, now, id, at->number);
      return;
    }
  if (empty)
    log_attempt_lost (at, "closed-without-content");
  dsp_response_closed (d, now, id, at->number, empty);
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct srv_attempt *at = ctx;
  struct srv_exchange *ex = at->ex;
  struct srv *s = ex->s;
  clk_ms now = clk_now ();

  at->call = NULL;
  switch (end)
    {
    case HTTPC_COMPLETE:
    case HTTPC_ENDED_BY_CLOSE:
      on_body_end (at, end == HTTPC_ENDED_BY_CLOSE);
      break;
    case HTTPC_CONNECT_FAILED:
    case HTTPC_NOT_SENT:
      log_attempt_lost (at,
                        end == HTTPC_NOT_SENT ? "not-sent" : "no-connection");
      dsp_connect_failed (s->dispatch, now, ex->id, at->number);
      break;
    case HTTPC_BROKEN:
    case HTTPC_TIMEOUT:
    case HTTPC_TOO_LARGE:
      log_attempt_lost (at, end == HTTPC_TIMEOUT ? "silent" : "broken");
      dsp_response_interrupted (s->dispatch, now, ex->id, at->number);
      break;
    }
  srv_run_actions (s);
}

/** Build the request headers and start the call. */
static void
start_call (struct srv_attempt *at, const struct dsp_action *a)
{
  static const struct httpc_callbacks cb
      = { on_connected, on_head, on_body, on_end };
  struct srv_exchange *ex = at->ex;
  const struct httpd_view *v = httpd_get (ex->req);
  struct srv_headers headers = { 0 };
  struct buf path = BUF_INIT, last = BUF_INIT;
  size_t n;
  const struct http_header *from = httpd_headers (ex->req, &n);
  struct srv_forward_params f
      = { .host = ex->host,
          .server = a->server,
          .left_ms = a->duration_ms > 0 ? a->duration_ms : 1,
          .priority = (int)a->priority,
          .proxy = a->proxy };

  if (ex->account)
    f.account = ex->account->name;
  if (a->resume && ex->has_event)
    buf_addf (&last, "%lld", (long long)ex->last_event);
  f.last_event = buf_str (&last);
  buf_add (&path, v->path);
  if (v->query.ptr)
    {
      buf_add_char (&path, '?');
      buf_add (&path, v->query);
    }
  ex->s->adapter->build_headers (from, n, &f, &headers);
  if (a->proxy)
    srv_headers_add (&headers, SRV_H_PROXIED, STR ("1"));
  struct httpc_request r = { .to = a->addr,
                             .method = v->method,
                             .path = buf_str (&path),
                             .headers = headers.list,
                             .nheaders = headers.n,
                             .body = v->body,
                             .connect_ms = CONNECT_MS,
                             .progress_ms = a->duration_ms + CLK_SECOND,
                             .max_body = SIZE_MAX,
                             .fresh = a->new_connection };
  at->call = httpc_start (ex->s->http, &r, &cb, at);
  srv_headers_free (&headers);
  buf_free (&path);
  buf_free (&last);
}

static void
start_attempt (struct srv_exchange *ex, const struct dsp_action *a)
{
  struct srv_attempt *at = xcalloc (1, sizeof *at);

  if (ex->servers.len)
    buf_add_char (&ex->servers, ' ');
  buf_add (&ex->servers, a->server);
  at->server = str_dup (a->server);
  at->started_at = clk_now ();
  at->ex = ex;
  at->number = a->attempt;
  at->proxy = a->proxy;
  at->next = ex->attempts;
  ex->attempts = at;
  if (a->resume)
    {
      at->split.has_id = ex->has_event;
      at->split.last_id = ex->last_event;
    }
  if (ex->req)
    start_call (at, a);
  else
    dsp_connect_failed (ex->s->dispatch, clk_now (), ex->id, a->attempt);
}

/* --- digest of a request ------------------------------------------------ */

static void
add_digest_part (struct buf *text, struct str part)
{
  buf_addf (text, "%zu:", part.len);
  buf_add (text, part);
}

uint64_t
srv_request_digest (const struct srv_exchange *ex)
{
  const struct httpd_view *v = httpd_get (ex->req);
  uint8_t body[DIG_SIZE], whole[DIG_SIZE];
  struct buf text = BUF_INIT;
  uint64_t digest;

  dig_sha256 (v->body, body);
  add_digest_part (&text, v->method);
  add_digest_part (&text, ex->host);
  add_digest_part (&text, v->path);
  add_digest_part (&text, v->query);
  add_digest_part (&text, ex->account ? ex->account->name : STR_EMPTY);
  add_digest_part (&text, str_make ((const char *)body, sizeof body));
  dig_sha256 (buf_str (&text), whole);
  buf_free (&text);
  memcpy (&digest, whole, sizeof digest);
  return digest ? digest : 1;
}

/* --- response to the client --------------------------------------------- */

void
srv_send_error (struct srv *s, struct httpd_req *req, int status,
                const char *code, clk_ms retry_ms)
{
  struct buf name = BUF_INIT, value = BUF_INIT, body = BUF_INIT;
  struct http_header h[2]
      = { { STR ("content-type"), STR ("application/json") } };
  size_t n = 1;

  if (retry_ms > 0)
    {
      s->adapter->format_retry_after (retry_ms, &name, &value);
      h[n++] = (struct http_header){ buf_str (&name), buf_str (&value) };
    }
  buf_addf (&body, "{\"error\":\"%s\"}\n", code);
  httpd_answer (req, status, h, n, buf_str (&body));
  buf_free (&name);
  buf_free (&value);
  buf_free (&body);
}

static void
start_forwarding (struct srv_exchange *ex, struct srv_attempt *at)
{
  at->forwarding = true;
  if (!ex->req)
    return;
  if (!ex->head_sent)
    {
      drop_content_length (&at->head);
      srv_metrics_first_event (ex->s, clk_now () - ex->started_at);
      httpd_begin (ex->req, at->head.status, at->head.list, at->head.n);
      ex->head_sent = true;
      ex->status = at->head.status;
    }
  forward_events (at);
}

static void
send_complete_response (struct srv_exchange *ex, struct srv_attempt *at)
{
  if (!ex->req)
    return;
  if (ex->head_sent)
    {
      forward_events (at);
      httpd_end (release_req (ex, at->head.status, "done"), true);
      return;
    }
  httpd_answer (release_req (ex, at->head.status, "done"), at->head.status,
                at->head.list, at->head.n, buf_str (&at->body));
}

static void
send_error_response (struct srv_exchange *ex, const struct dsp_action *a)
{
  char part[17] = "";

  if (a->poison.is_part)
    snprintf (part, sizeof part, "%llx", (unsigned long long)a->poison.value);
  LOG (request_failed, LOG_S ("id", ex->request.id),
       LOG_C ("code", dsp_code_name (a->code)),
       LOG_S ("route", ex->route->name), LOG_C ("part", part),
       LOG_I ("attempts", a->attempt),
       LOG_C ("no_retry", dsp_no_retry_name (a->no_retry)),
       LOG_I ("retry_ms", a->retry_after_ms),
       LOG_I ("servers_age_ms", srv_sync_list_age (ex->s, clk_now ())),
       LOG_I ("after_ms", clk_now () - ex->started_at),
       LOG_I ("cpu_wait_ms", clk_cpu_wait () - ex->cpu_wait_at_start));
  if (ex->req)
    srv_send_error (
        ex->s,
        release_req (ex, dsp_code_status (a->code), dsp_code_name (a->code)),
        dsp_code_status (a->code), dsp_code_name (a->code), a->retry_after_ms);
}

/** Close the client's connection in the middle of the response, so that the
    client can tell that it is not complete. */
static void
truncate_response (struct srv_exchange *ex, const struct dsp_action *a)
{
  clk_ms now = clk_now ();

  if (!ex->req)
    return;
  LOG (response_truncated, LOG_S ("id", ex->request.id),
       LOG_C ("code", dsp_code_name (a->code)),
       LOG_S ("route", ex->route->name), LOG_I ("attempts", ex->attempts_sent),
       LOG_C ("no_retry", dsp_no_retry_name (a->no_retry)),
       LOG_S ("servers", buf_str (&ex->servers)),
       LOG_I ("silent_ms", now - ex->last_write_at),
       LOG_I ("after_ms", now - ex->started_at));
  httpd_end (release_req (ex, ex->status, dsp_code_name (a->code)), false);
}

void
srv_exchange_run_action (struct srv_exchange *ex, const struct dsp_action *a)
{
  struct srv_attempt *at = find_attempt (ex, a->attempt);

  switch (a->kind)
    {
    case DSP_ACT_SEND:
      start_attempt (ex, a);
      break;
    case DSP_ACT_CANCEL:
      if (at)
        {
          log_attempt_cancelled (at, a);
          free_attempt (at);
        }
      break;
    case DSP_ACT_FORWARD:
      if (at)
        start_forwarding (ex, at);
      break;
    case DSP_ACT_COMPLETE:
      if (at)
        send_complete_response (ex, at);
      break;
    case DSP_ACT_RESPOND_ERROR:
      send_error_response (ex, a);
      break;
    case DSP_ACT_TRUNCATE:
      truncate_response (ex, a);
      break;
    case DSP_ACT_RELEASE:
      srv_exchange_free (ex);
      break;
    case DSP_ACT_STALLED:
    case DSP_ACT_CHECK_PROCESS:
      break; /* not related to a request */
    }
}

/* --- creation and release ----------------------------------------------- */

static void
on_disconnected (void *ctx)
{
  struct srv_exchange *ex = ctx;

  log_end (ex, 0, "gone");
  ex->req = NULL;
  dsp_client_disconnected (ex->s->dispatch, clk_now (), ex->id);
  srv_run_actions (ex->s);
}

struct srv_exchange *
srv_exchange_new (struct srv *s, struct httpd_req *req, struct tbl *config)
{
  struct srv_exchange *ex = xcalloc (1, sizeof *ex);

  ex->s = s;
  ex->id = ++s->next_id;
  ex->req = req;
  ex->config = tbl_ref (config);
  ex->started_at = clk_now ();
  ex->cpu_wait_at_start = clk_cpu_wait ();
  ex->next = s->exchanges;
  ex->prev = &s->exchanges;
  if (ex->next)
    ex->next->prev = &ex->next;
  s->exchanges = ex;
  httpd_on_disconnect (req, on_disconnected, ex);
  return ex;
}

void
srv_exchange_free (struct srv_exchange *ex)
{
  while (ex->attempts)
    free_attempt (ex->attempts);
  *ex->prev = ex->next;
  if (ex->next)
    ex->next->prev = ex->prev;
  tbl_unref (ex->config);
  buf_free (&ex->servers);
  buf_free (&ex->parts_text);
  free (ex->request.shared_parts);
  free (ex);
}
