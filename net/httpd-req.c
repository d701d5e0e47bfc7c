#include "net/httpd-int.h"

#include <stdlib.h>

static void flush (struct httpd_req *r);

void
httpd_abort (struct httpd_req *r)
{
  r->detached = true;
  r->ended = true;
  r->whole = false;
  httpd_watch_stop (r);
  if (r->in_flight)
    {
      httpd_conn_shutdown (r->conn, SHUT_RDWR);
      return;
    }
  if (!r->begun)
    {
      r->begun = true;
      r->req->http1_is_persistent = 0;
      r->req->res.status = 500;
      r->req->res.reason = "Aborted";
      h2o_start_response (r->req, &r->generator);
    }
  httpd_conn_shutdown (r->conn, SHUT_RDWR);
  buf_clear (&r->queued);
  flush (r);
}

void
httpd_notify_disconnect (struct httpd_req *r)
{
  void (*gone) (void *ctx) = r->on_disconnect;

  if (r->ended || r->detached)
    return;
  r->detached = true;
  if (gone != NULL)
    gone (r->gone_ctx);
}

/* --- one request ------------------------------------------------------- */

static void
req_unlink (struct httpd_req *r)
{
  if (r->prev == NULL)
    return;
  *r->prev = r->next;
  if (r->next != NULL)
    r->next->prev = r->prev;
  r->prev = NULL;
  httpd_input_reset (r->conn);
  httpd_input_attach_soon (r->conn);
  if (--r->conn->open == 0)
    httpd_conn_set_idle (r->conn);
  r->d->nopen--;
}

/* h2o frees the request's memory pool, which contains the struct. */
static void
on_req_dispose (void *p)
{
  struct httpd_req *r = p;

  httpd_watch_stop (r);
  httpd_notify_disconnect (r);
  req_unlink (r);
  buf_free (&r->queued);
  buf_free (&r->sending);
}

static void
on_proceed (h2o_generator_t *g, h2o_req_t *req)
{
  struct httpd_req *r = (struct httpd_req *)g;
  bool notify = !r->ended && !r->detached && r->on_drained != NULL;

  r->in_flight = false;
  r->progress_at = clk_now ();
  buf_clear (&r->sending);
  if (r->queued.len > 0 || r->ended)
    flush (r); /* may free the request when it has ended */
  if (notify)
    r->on_drained (r->drained_ctx);
}

static void
on_stop (h2o_generator_t *g, h2o_req_t *req)
{
  struct httpd_req *r = (struct httpd_req *)g;

  httpd_watch_stop (r);
  httpd_notify_disconnect (r);
}

/* Pass queued bytes, and the end of the response once it is known, to h2o. */
static void
flush (struct httpd_req *r)
{
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
  struct buf t = r->sending;

  r->sending = r->queued;
  r->queued = t;
  buf_clear (&r->queued);
  if (r->ended)
    state = r->whole ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_ERROR;
  r->in_flight = true;
  r->progress_at = clk_now ();
  h2o_iovec_t v = h2o_iovec_init (r->sending.ptr, r->sending.len);
  h2o_send (r->req, &v, v.len > 0 ? 1 : 0, state);
}

static struct str
str_of (h2o_iovec_t v)
{
  return str_make (v.base, v.len);
}

static void
fill_peer (const h2o_req_t *req, struct net_addr *out)
{
  struct sockaddr_storage ss;
  struct sockaddr *sa = (struct sockaddr *)&ss;
  int port;

  if (req->conn->callbacks->get_peername (req->conn, sa) == 0)
    return;
  if (sa->sa_family == AF_INET)
    uv_ip4_name ((struct sockaddr_in *)sa, out->host, sizeof out->host);
  else
    uv_ip6_name ((struct sockaddr_in6 *)sa, out->host, sizeof out->host);
  port = h2o_socket_getport (sa);
  out->port = (uint16_t)(port > 0 ? port : 0);
}

static void
fill_view (struct httpd_req *r, h2o_req_t *req)
{
  struct str whole = str_of (req->path);

  r->view.method = str_of (req->method);
  r->view.body = str_of (req->entity);
  r->view.path = whole;
  r->view.host = str_of (req->authority);
  if (req->query_at != SIZE_MAX)
    {
      r->view.path = str_head (whole, req->query_at);
      /* str_skip() would take an empty query for none. */
      r->view.query = str_make (whole.ptr + req->query_at + 1,
                                whole.len - req->query_at - 1);
    }
  fill_peer (req, &r->view.peer);
  const struct httpd_fields *f = &r->conn->fields;
  size_t n = req->headers.size;
  r->nheaders = n + f->n;
  r->headers = h2o_mem_alloc_pool (&req->pool,
                                   (r->nheaders + 1) * sizeof r->headers[0]);
  for (size_t i = 0; i < n; i++)
    {
      r->headers[i].name = str_of (*req->headers.entries[i].name);
      r->headers[i].value = str_of (req->headers.entries[i].value);
    }
  if (f->n > 0)
    memcpy (r->headers + n, f->list, f->n * sizeof f->list[0]);
}

static struct httpd_conn *
conn_of (const h2o_req_t *req)
{
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);

  /* Set by accept_next(). */
  return sock->on_close.data;
}

int
httpd_on_req (h2o_handler_t *self, h2o_req_t *req)
{
  struct httpd *d = ((struct httpd_handler_slot *)self)->d;
  struct httpd_req *r
      = h2o_mem_alloc_shared (&req->pool, sizeof *r, on_req_dispose);

  memset (r, 0, sizeof *r);
  r->generator.proceed = on_proceed;
  r->generator.stop = on_stop;
  r->req = req;
  r->d = d;
  r->conn = conn_of (req);
  r->length = SIZE_MAX;
  fill_view (r, req);
  r->next = d->reqs;
  r->prev = &d->reqs;
  if (r->next != NULL)
    r->next->prev = &r->next;
  d->reqs = r;
  d->nopen++;
  if (r->conn->open++ == 0)
    httpd_conn_set_active (r->conn);
  if (d->freeing)
    httpd_abort (r);
  else if (d->on_left != NULL && httpd_has_disconnected (r))
    {
      d->on_left (d->handler_ctx, r);
      httpd_abort (r);
    }
  else
    d->handler (d->handler_ctx, r);
  return 0;
}

const struct httpd_view *
httpd_get (const struct httpd_req *req)
{
  return &req->view;
}

clk_ms
httpd_connection_age (const struct httpd_req *req)
{
  return clk_now () - req->conn->accepted_at;
}

struct str
httpd_header (const struct httpd_req *req, const char *name)
{
  for (size_t i = 0; i < req->nheaders; i++)
    if (str_is (req->headers[i].name, name))
      return req->headers[i].value;
  return STR_EMPTY;
}

const struct http_header *
httpd_headers (const struct httpd_req *req, size_t *n)
{
  *n = req->nheaders;
  return req->headers;
}

void
httpd_on_disconnect (struct httpd_req *req, void (*gone) (void *ctx),
                     void *ctx)
{
  req->on_disconnect = gone;
  req->gone_ctx = ctx;
  httpd_watch_start (req);
}

/* --- responses --------------------------------------------------------- */

/* Headers that h2o writes itself. */
static bool
is_framing_header (struct str name)
{
  return str_is (name, "content-length") || str_is (name, "connection")
         || str_is (name, "transfer-encoding") || str_is (name, "keep-alive")
         || str_is (name, "date") || str_is (name, "server");
}

const char *
httpd_reason (int status)
{
  static const struct
  {
    int status;
    const char *reason;
  } rows[] = { { 200, "OK" },
               { 201, "Created" },
               { 202, "Accepted" },
               { 204, "No Content" },
               { 400, "Bad Request" },
               { 401, "Unauthorized" },
               { 403, "Forbidden" },
               { 404, "Not Found" },
               { 405, "Method Not Allowed" },
               { 408, "Request Timeout" },
               { 409, "Conflict" },
               { 413, "Request Entity Too Large" },
               { 422, "Unprocessable Content" },
               { 429, "Too Many Requests" },
               { 431, "Request Header Fields Too Large" },
               { 500, "Internal Server Error" },
               { 502, "Bad Gateway" },
               { 503, "Service Unavailable" },
               { 504, "Gateway Timeout" } };

  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    if (rows[i].status == status)
      return rows[i].reason;
  return "Other";
}

static void
set_head (struct httpd_req *r, int status, const struct http_header *headers,
          size_t n)
{
  h2o_req_t *req = r->req;

  req->res.status = status;
  req->res.reason = httpd_reason (status);
  for (size_t i = 0; i < n; i++)
    {
      int64_t len;
      struct str name = headers[i].name, value = headers[i].value;
      if (str_is (name, "content-length") && str_to_i64 (value, &len)
          && len >= 0)
        r->length = (size_t)len;
      if (is_framing_header (name))
        continue;
      h2o_iovec_t k = h2o_strdup (&req->pool, name.ptr, name.len);
      h2o_iovec_t v = h2o_strdup (&req->pool, value.ptr, value.len);
      h2o_add_header_by_str (&req->pool, &req->res.headers, k.base, k.len, 1,
                             NULL, v.base, v.len);
    }
  req->res.content_length = r->length;
}

static bool
is_head (const struct httpd_req *r)
{
  return str_is (r->view.method, "HEAD");
}

void
httpd_begin (struct httpd_req *req, int status,
             const struct http_header *headers, size_t n)
{
  set_head (req, status, headers, n);
  req->begun = true;
  h2o_start_response (req->req, &req->generator);
}

void
httpd_write (struct httpd_req *req, struct str bytes)
{
  if (bytes.len == 0 || is_head (req))
    return;
  req->written += bytes.len;
  buf_add (&req->queued, bytes);
  if (!req->in_flight)
    flush (req);
}

void
httpd_answer (struct httpd_req *req, int status,
              const struct http_header *headers, size_t n, struct str body)
{
  set_head (req, status, headers, n);
  req->begun = true;
  req->length = body.len;
  req->req->res.content_length = body.len;
  h2o_start_response (req->req, &req->generator);
  if (!is_head (req))
    {
      req->written = body.len;
      buf_add (&req->queued, body);
    }
  httpd_end (req, true);
}

size_t
httpd_queued (const struct httpd_req *req)
{
  return req->queued.len + req->sending.len;
}

void
httpd_on_drained (struct httpd_req *req, void (*drained) (void *ctx),
                  void *ctx)
{
  req->on_drained = drained;
  req->drained_ctx = ctx;
}

/*
 * An HTTP/1.0 response has no chunks and, here, no length: the caller takes a
 * normal close for the end of a complete response, so an incomplete one is
 * ended by a reset.  connect() with AF_UNSPEC sends a reset, even if unsent
 * bytes are queued.
 */
static void
reset_http10_caller (const struct httpd_req *r)
{
  struct sockaddr unspecified = { .sa_family = AF_UNSPEC };
  int fd = httpd_conn_fd (r->conn);

  if (r->req->version < 0x101 && r->length == SIZE_MAX && fd >= 0)
    (void)!connect (fd, &unspecified, sizeof unspecified);
}

void
httpd_end (struct httpd_req *req, bool whole)
{
  /* A body that differs in size from its Content-Length is incomplete. */
  if (req->length != SIZE_MAX && req->written != req->length && !is_head (req))
    whole = false;
  req->ended = true;
  req->whole = whole;
  httpd_watch_stop (req);
  if (!whole)
    {
      /* The connection is shut down first: h2o ends an incomplete chunked
         response with bytes that are not valid HTTP, which must not reach the
         caller. */
      req->req->http1_is_persistent = 0;
      reset_http10_caller (req);
      httpd_conn_shutdown (req->conn, SHUT_RDWR);
    }
  if (!req->in_flight)
    flush (req);
}
