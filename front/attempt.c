#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "front/callers.h"

/* ---- response headers ---- */

static size_t
headers_size (const struct http_header *h, size_t n)
{
  size_t size = 0;
  for (size_t i = 0; i < n; i++)
    size += h[i].name.len + h[i].value.len;
  return size;
}

static struct str
copy_text (struct buf *text, struct str s)
{
  size_t at = text->len;
  buf_add (text, s);
  return str_make (text->ptr + at, s.len);
}

static void
copy_head (struct gw_head *head, int status, const struct http_header *h,
           size_t n)
{
  head->status = status;
  head->list = xcalloc (n ? n : 1, sizeof *head->list);
  /* Reserved in full, as the list points into the text, which must not be
     reallocated. */
  buf_reserve (&head->text, headers_size (h, n) + 1);
  for (size_t i = 0; i < n; i++)
    if (back_answer_header (&h[i]))
      {
        struct http_header *to = &head->list[head->n++];
        to->name = copy_text (&head->text, h[i].name);
        to->value = copy_text (&head->text, h[i].value);
      }
}

/* ---- removal, cancellation, timeouts ---- */

static void
attempt_free (struct gw_attempt *at)
{
  free (at->head.list);
  buf_free (&at->head.text);
  buf_free (&at->held);
  free (at);
}

static void
attempt_unlink (struct gw_attempt *at)
{
  struct gw_attempt **p = &at->ex->attempts;

  while (*p != at)
    p = &(*p)->next;
  *p = at->next;
  if (at->forwarding)
    at->ex->passed = at->answer;
  gw_span (at->ex->c->g, &at->span, at->ex->span.span, "gateway.attempt",
           str_from (at->name), at->began_at);
  at->ex = NULL;
}

struct gw_attempt *
gw_find_attempt (struct gw_exchange *ex, unsigned number)
{
  struct gw_attempt *at = ex->attempts;

  while (at != NULL && at->number != number)
    at = at->next;
  return at;
}

void
gw_attempt_cancel (struct gw_attempt *at)
{
  attempt_unlink (at);
  if (at->in_callback)
    {
      at->stopped = true;
      return;
    }
  if (at->call != NULL)
    httpc_cancel (at->call);
  attempt_free (at);
}

void
gw_attempt_pause (struct gw_attempt *at, bool pause)
{
  if (at->paused == pause || at->call == NULL)
    return;
  at->paused = pause;
  at->progress_at = clk_now ();
  httpc_pause (at->call, pause);
}

bool
gw_attempt_timed_out (const struct gw_attempt *at, clk_ms now)
{
  clk_ms limit = at->head.status ? at->progress_ms : at->first_byte_ms;

  if (!at->send_granted || at->paused || at->call == NULL || limit <= 0)
    return false;
  return now - at->progress_at > limit;
}

/* ---- callbacks of httpc ---- */

static void
send_event (struct gw_attempt *at, enum rt_event_kind kind, int status,
            size_t size, double tokens)
{
  struct rt_event ev
      = { .kind = kind,
          .id = at->ex->id,
          .attempt = at->number,
          .suspect = kind == RT_EV_BROKEN && gw_poison_is_suspect (at->ex),
          .status = status,
          .size = size,
          .tokens = tokens };
  gw_callers_event (at->ex->c, &ev);
}

/** End a callback: executes a cancellation that the event led to. */
static void
end_callback (struct gw_attempt *at)
{
  at->in_callback = false;
  if (!at->stopped)
    return;
  httpc_cancel (at->call);
  attempt_free (at);
}

static bool
on_connected (void *ctx)
{
  struct gw_attempt *at = ctx;

  at->in_callback = true;
  at->progress_at = clk_now ();
  if (!gw_poison_end_refused (at->ex))
    send_event (at, RT_EV_CONNECTED, 0, 0, 0);
  at->in_callback = false;
  /* If stopped, httpc sends nothing and calls on_end. */
  return at->send_granted && !at->stopped;
}

/** Pass the response's availability notice to the request core. */
static void
send_notice (const struct gw_attempt *at, int status,
             const struct http_header *h, size_t n)
{
  struct avl_notice notice;

  back_answer_notice (status, h, n, &notice);
  gw_log_notice (str_from (at->name), &notice);
  struct rt_event ev = { .kind = RT_EV_NOTICE,
                         .id = at->ex->id,
                         .attempt = at->number,
                         .on = notice.leaving,
                         .retry_ms = notice.retry_after_ms };
  if (notice.leaving || notice.retry_after_ms)
    gw_callers_event (at->ex->c, &ev);
}

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct gw_attempt *at = ctx;

  at->in_callback = true;
  at->progress_at = clk_now ();
  gw_poison_server_responded (at->ex->c->g->poison);
  copy_head (&at->head, status, h, n);
  back_answer_head (&at->answer, status, h, n);
  send_notice (at, status, h, n);
  if (!at->stopped)
    send_event (at, RT_EV_HEAD, status, 0, 0);
  /* The body continues a response whose beginning was forwarded already. */
  if (at->resumed && !at->stopped)
    at->forwarding = true;
  end_callback (at);
}

static void
on_body (void *ctx, struct str bytes)
{
  struct gw_attempt *at = ctx;

  if (bytes.len == 0)
    return;
  at->in_callback = true;
  at->progress_at = clk_now ();
  if (!at->first_body_at)
    at->first_body_at = at->progress_at;
  back_answer_body (&at->answer, bytes);
  if (at->forwarding)
    gw_exchange_body (at->ex, at, bytes);
  else
    buf_add (&at->held, bytes);
  send_event (at, RT_EV_BODY, 0, bytes.len, 0);
  end_callback (at);
}

static enum rt_event_kind
event_for_end (const struct gw_attempt *at, enum httpc_end end)
{
  switch (end)
    {
    case HTTPC_COMPLETE:
    case HTTPC_ENDED_BY_CLOSE:
      return back_answer_whole (at->ex->call.kind, &at->answer,
                                end == HTTPC_ENDED_BY_CLOSE)
                 ? RT_EV_WHOLE
                 : RT_EV_BROKEN;
    case HTTPC_CONNECT_FAILED:
    case HTTPC_NOT_SENT:
      return RT_EV_CONNECT_FAILED;
    case HTTPC_TIMEOUT:
      return RT_EV_SILENT;
    case HTTPC_BROKEN:
    case HTTPC_TOO_LARGE:
      break;
    }
  return RT_EV_BROKEN;
}

static double
count_tokens (const struct gw_attempt *at)
{
  struct str body
      = at->forwarding ? buf_str (&at->ex->body) : buf_str (&at->held);
  return at->ex->call.kind->tokens (&at->answer, body);
}

/** The HTTP call has ended.  The attempt is removed after the request core has
    processed the event, as the core may request to forward the buffered body.
 */
static void
end_attempt (struct gw_attempt *at, enum rt_event_kind kind)
{
  at->call = NULL;
  at->in_callback = true;
  gw_poison_attempt_ended (at, kind == RT_EV_WHOLE, kind == RT_EV_BROKEN);
  send_event (at, kind, 0, 0, kind == RT_EV_WHOLE ? count_tokens (at) : 0);
  if (at->ex != NULL)
    attempt_unlink (at);
  attempt_free (at);
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct gw_attempt *at = ctx;

  at->ended_by_close = end == HTTPC_ENDED_BY_CLOSE;
  if (at->stopped)
    attempt_free (at);
  else
    end_attempt (at, event_for_end (at, end));
}

void
gw_attempt_time_out (struct gw_attempt *at)
{
  httpc_cancel (at->call);
  end_attempt (at, RT_EV_SILENT);
}

static const struct httpc_callbacks callbacks
    = { on_connected, on_head, on_body, on_end };

/* ---- start ---- */

static struct gw_attempt *
attempt_new (struct gw_exchange *ex, const struct rt_action *a)
{
  struct gw_attempt *at = xcalloc (1, sizeof *at);

  at->ex = ex;
  at->number = a->attempt;
  at->resumed = a->resume;
  /* The marker at the end of the response may be split between the bodies of
     both attempts. */
  if (a->resume)
    at->answer = ex->passed;
  at->first_byte_ms = a->first_byte_ms;
  at->progress_ms = a->progress_ms;
  at->span = trc_child (&ex->span, &ex->c->g->rng);
  at->began_at = clk_now ();
  snprintf (at->name, sizeof at->name, "%.*s", STR_ARG (a->name));
  at->addr = a->addr;
  at->generation = a->generation;
  at->next = ex->attempts;
  ex->attempts = at;
  return at;
}

static void
attempt_call (struct gw_attempt *at, const struct rt_action *a,
              const struct back_headers *headers)
{
  struct gw_exchange *ex = at->ex;
  const struct httpd_view *v = httpd_get (ex->req);
  clk_ms max_timeout
      = a->first_byte_ms > a->progress_ms ? a->first_byte_ms : a->progress_ms;
  struct httpc_request r = { .to = a->addr,
                             .method = v->method,
                             .path = str_from (ex->call.path),
                             .headers = headers->list,
                             .nheaders = headers->n,
                             .body = v->body,
                             .connect_ms = a->connect_ms,
                             .progress_ms = max_timeout,
                             .max_body = SIZE_MAX,
                             .fresh = a->fresh };

  at->call = httpc_start (ex->c->g->http, &r, &callbacks, at);
}

void
gw_attempt_start (struct gw_exchange *ex, const struct rt_action *a)
{
  struct gw_attempt *at = attempt_new (ex, a);
  struct back_headers headers;
  struct back_call call = { .account = ex->call.req.account,
                            .request_id = str_from (ex->request_id),
                            .attempt = a->attempt,
                            .span = at->span,
                            .resume = a->resume,
                            .offset = a->offset };

  if (ex->req == NULL)
    {
      end_attempt (at, RT_EV_CONNECT_FAILED);
      return;
    }
  call.headers = httpd_headers (ex->req, &call.nheaders);
  if (!back_headers_make (ex->call.kind, &call, &headers))
    end_attempt (at, RT_EV_CONNECT_FAILED);
  else
    attempt_call (at, a, &headers);
  back_headers_free (&headers);
}
