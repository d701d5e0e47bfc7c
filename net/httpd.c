#include "net/httpd.h"

#include <errno.h>
#include <fcntl.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <signal.h>
#include <sys/socket.h>

/* Connections that wait in the kernel while the bound is reached. */
#define HTTPD_BACKLOG 1024

/*
 * A caller that takes no byte for so long while bytes wait for it is cut.
 * Without it a caller that stops reading holds its answer and connection
 * for good, as the kernel reports nothing while the peer's window is zero.
 */
#define HTTPD_STALL_MS (60 * CLK_SECOND)
#define HTTPD_SWEEP_MS (5 * CLK_SECOND)

struct httpd_conn
{
  uv_tcp_t tcp; /* first: h2o hands back the stream */
  struct httpd *d;
  struct httpd_conn *next;
  struct httpd_conn **prev;
  size_t open; /* requests being answered */
};

struct httpd
{
  uv_tcp_t listener;
  uv_timer_t sweep;
  h2o_globalconf_t config;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept_ctx;
  httpd_handler handler;
  void *handler_ctx;
  size_t max_connections;
  size_t nconnections;
  size_t nopen;
  struct httpd_conn *conns;
  struct httpd_req *reqs;
  uint16_t port;
  int handles;       /* of our own that are not closed yet */
  bool accept_waits; /* a connection waits for one to close */
  bool stopped;
  bool freeing;
};

struct httpd_handler_slot
{
  h2o_handler_t super;
  struct httpd *d;
};

struct gone_watch
{
  uv_poll_t poll;
  int fd;
};

struct httpd_req
{
  h2o_generator_t generator; /* first: h2o hands it back */
  h2o_req_t *req;
  struct httpd *d;
  struct httpd_conn *conn;
  struct httpd_req *next;
  struct httpd_req **prev;
  struct httpd_view view;
  struct http_header *headers;
  size_t nheaders;
  struct buf queued;  /* not handed to h2o yet */
  struct buf sending; /* h2o's until it calls proceed */
  size_t length;      /* of the body when stated, or SIZE_MAX */
  size_t written;
  clk_ms moved; /* when the caller last took bytes */
  bool begun;
  bool in_flight;
  bool ended; /* by httpd_end(); the handler's side is gone */
  bool whole;
  bool detached; /* nothing is to be called any more */
  void (*gone) (void *ctx);
  void *gone_ctx;
  void (*drained) (void *ctx);
  void *drained_ctx;
  struct gone_watch *watch;
};

static void accept_next (struct httpd *d);

/* --- watching for callers that leave ---------------------------------- */

static void
on_watch_closed (uv_handle_t *h)
{
  struct gone_watch *w = h->data;

  close (w->fd);
  free (w);
}

static void
watch_stop (struct httpd_req *r)
{
  if (r->watch == NULL)
    return;
  struct gone_watch *w = r->watch;
  r->watch = NULL;
  uv_poll_stop (&w->poll);
  w->poll.data = w;
  uv_close ((uv_handle_t *)&w->poll, on_watch_closed);
}

static int
conn_fd (const struct httpd_conn *c)
{
  uv_os_fd_t fd;

  return uv_fileno ((const uv_handle_t *)&c->tcp, &fd) == 0 ? fd : -1;
}

/* Make h2o see the connection as broken, whatever it is doing with it. */
static void
conn_shutdown (const struct httpd_conn *c, int how)
{
  int fd = conn_fd (c);

  if (fd >= 0)
    shutdown (fd, how);
}

static void flush (struct httpd_req *r);

/* End h2o's side of a request that nobody answers any more. */
static void
abandon (struct httpd_req *r)
{
  r->detached = true;
  r->ended = true;
  r->whole = false;
  watch_stop (r);
  if (r->in_flight)
    {
      conn_shutdown (r->conn, SHUT_RDWR);
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
  conn_shutdown (r->conn, SHUT_RDWR);
  buf_clear (&r->queued);
  flush (r);
}

static void
tell_gone (struct httpd_req *r)
{
  void (*gone) (void *ctx) = r->gone;

  if (r->ended || r->detached)
    return;
  r->detached = true;
  if (gone != NULL)
    gone (r->gone_ctx);
}

static void
on_watch (uv_poll_t *poll, int status, int events)
{
  struct httpd_req *r = poll->data;

  if (status == 0 && (events & UV_DISCONNECT) == 0)
    return;
  watch_stop (r);
  tell_gone (r);
  abandon (r);
}

/*
 * h2o does not read from a connection while it answers a request, so a
 * caller that leaves would only be noticed at the next write; a long wait in
 * a queue or for a first token would go on for nobody.  A duplicate of the
 * descriptor is polled for the hang-up alone; no byte is taken from h2o.
 */
static void
watch_start (struct httpd_req *r)
{
  if (r->watch != NULL || r->ended)
    return;
  int fd = conn_fd (r->conn);
  if (fd < 0 || (fd = fcntl (fd, F_DUPFD_CLOEXEC, 0)) < 0)
    return;
  struct gone_watch *w = xcalloc (1, sizeof *w);
  w->fd = fd;
  if (uv_poll_init (r->d->listener.loop, &w->poll, fd) != 0)
    {
      close (fd);
      free (w);
      return;
    }
  w->poll.data = r;
  r->watch = w;
  uv_poll_start (&w->poll, UV_DISCONNECT, on_watch);
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
  r->conn->open--;
  r->d->nopen--;
}

/* h2o frees the request's memory pool, in which we live. */
static void
on_req_dispose (void *p)
{
  struct httpd_req *r = p;

  watch_stop (r);
  tell_gone (r);
  req_unlink (r);
  buf_free (&r->queued);
  buf_free (&r->sending);
}

static void
on_proceed (h2o_generator_t *g, h2o_req_t *req)
{
  struct httpd_req *r = (struct httpd_req *)g;
  bool tell = !r->ended && !r->detached && r->drained != NULL;

  r->in_flight = false;
  r->moved = clk_now ();
  buf_clear (&r->sending);
  if (r->queued.len > 0 || r->ended)
    flush (r); /* may free the request when it has ended */
  if (tell)
    r->drained (r->drained_ctx);
}

static void
on_stop (h2o_generator_t *g, h2o_req_t *req)
{
  struct httpd_req *r = (struct httpd_req *)g;

  watch_stop (r);
  tell_gone (r);
}

/* Hand queued bytes, and the end once it is known, to h2o. */
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
  r->moved = clk_now ();
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
  if (req->query_at != SIZE_MAX)
    {
      r->view.path = str_head (whole, req->query_at);
      r->view.query = str_skip (whole, req->query_at + 1);
    }
  fill_peer (req, &r->view.peer);
  r->nheaders = req->headers.size;
  r->headers = h2o_mem_alloc_pool (&req->pool,
                                   (r->nheaders + 1) * sizeof r->headers[0]);
  for (size_t i = 0; i < r->nheaders; i++)
    {
      r->headers[i].name = str_of (*req->headers.entries[i].name);
      r->headers[i].value = str_of (req->headers.entries[i].value);
    }
}

static struct httpd_conn *
conn_of (const h2o_req_t *req)
{
  h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);

  /* Our own slot, set when the connection was accepted. */
  return sock->on_close.data;
}

static int
on_req (h2o_handler_t *self, h2o_req_t *req)
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
  r->conn->open++;
  if (d->freeing)
    abandon (r);
  else
    d->handler (d->handler_ctx, r);
  return 0;
}

const struct httpd_view *
httpd_get (const struct httpd_req *req)
{
  return &req->view;
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
httpd_on_gone (struct httpd_req *req, void (*gone) (void *ctx), void *ctx)
{
  req->gone = gone;
  req->gone_ctx = ctx;
  watch_start (req);
}

/* --- answers ----------------------------------------------------------- */

/* Headers that h2o writes itself. */
static bool
is_framing_header (struct str name)
{
  return str_is (name, "content-length") || str_is (name, "connection")
         || str_is (name, "transfer-encoding") || str_is (name, "keep-alive")
         || str_is (name, "date") || str_is (name, "server");
}

static const char *
reason_of (int status)
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
               { 409, "Conflict" },
               { 413, "Request Entity Too Large" },
               { 429, "Too Many Requests" },
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
  req->res.reason = reason_of (status);
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
  req->drained = drained;
  req->drained_ctx = ctx;
}

/* Callers of HTTP/1.0 see a cut only as a reset: they know no last chunk. */
static void
reset_on_close (const struct httpd_req *r)
{
  struct linger now = { 1, 0 };
  int fd = conn_fd (r->conn);

  if (r->req->version < 0x101 && r->length == SIZE_MAX && fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

void
httpd_end (struct httpd_req *req, bool whole)
{
  /* Shorter than stated is not whole, whatever the handler thinks. */
  if (req->length != SIZE_MAX && req->written != req->length && !is_head (req))
    whole = false;
  req->ended = true;
  req->whole = whole;
  watch_stop (req);
  if (!whole)
    {
      req->req->http1_is_persistent = 0;
      reset_on_close (req);
    }
  if (!req->in_flight)
    flush (req);
  else if (!whole)
    conn_shutdown (req->conn, SHUT_RDWR);
}

/* --- connections ------------------------------------------------------- */

static void
on_second_close (uv_handle_t *h)
{
  struct httpd *d = h->data;

  h2o_config_dispose (&d->config);
  free (d);
}

/*
 * h2o closes timers that live in its context.  Their memory is ours, so it
 * is kept for two rounds of the loop, after which they are surely closed.
 */
static void
on_first_close (uv_handle_t *h)
{
  struct httpd *d = h->data;

  uv_timer_init (d->ctx.loop, &d->sweep);
  uv_close (h, on_second_close);
}

/* Only from close callbacks: h2o turns the loop once while it disposes. */
static void
dispose_when_closed (struct httpd *d)
{
  if (!d->freeing || d->handles > 0 || d->nconnections > 0)
    return;
  d->handles = 1;
  h2o_context_dispose (&d->ctx);
  uv_timer_init (d->ctx.loop, &d->sweep);
  uv_close ((uv_handle_t *)&d->sweep, on_first_close);
}

static void
on_conn_closed (uv_handle_t *h)
{
  struct httpd_conn *c = (struct httpd_conn *)h;
  struct httpd *d = c->d;

  *c->prev = c->next;
  if (c->next != NULL)
    c->next->prev = c->prev;
  free (c);
  d->nconnections--;
  if (d->accept_waits)
    accept_next (d);
  dispose_when_closed (d);
}

static void
on_sock_close (void *data)
{
}

static void
accept_next (struct httpd *d)
{
  struct httpd_conn *c = xcalloc (1, sizeof *c);

  d->accept_waits = false;
  c->d = d;
  uv_tcp_init (d->listener.loop, &c->tcp);
  c->next = d->conns;
  c->prev = &d->conns;
  if (c->next != NULL)
    c->next->prev = &c->next;
  d->conns = c;
  d->nconnections++;
  if (uv_accept ((uv_stream_t *)&d->listener, (uv_stream_t *)&c->tcp) != 0)
    {
      uv_close ((uv_handle_t *)&c->tcp, on_conn_closed);
      return;
    }
  uv_tcp_nodelay (&c->tcp, 1);
  h2o_socket_t *sock
      = h2o_uv_socket_create ((uv_stream_t *)&c->tcp, on_conn_closed);
  sock->on_close.cb = on_sock_close;
  sock->on_close.data = c;
  h2o_accept (&d->accept_ctx, sock);
}

/*
 * At the bound the connection is left unaccepted: libuv then stops polling
 * the listener, and further callers wait in the kernel's backlog.  Were they
 * accepted, each would cost memory and a descriptor before any check.
 */
static void
on_connection (uv_stream_t *listener, int status)
{
  struct httpd *d = listener->data;

  if (status != 0 || d->stopped)
    return;
  if (d->nconnections >= d->max_connections)
    {
      d->accept_waits = true;
      return;
    }
  accept_next (d);
}

static void
on_sweep (uv_timer_t *t)
{
  struct httpd *d = t->data;
  clk_ms now = clk_now ();

  for (struct httpd_req *r = d->reqs; r != NULL; r = r->next)
    if (r->in_flight && now - r->moved > HTTPD_STALL_MS)
      conn_shutdown (r->conn, SHUT_RDWR);
}

/* --- the server -------------------------------------------------------- */

static void
setup_h2o (struct httpd *d, uv_loop_t *loop, const struct httpd_limits *limits)
{
  h2o_hostconf_t *host;
  struct httpd_handler_slot *slot;

  h2o_config_init (&d->config);
  d->config.server_name = h2o_iovec_init (H2O_STRLIT ("lapisline"));
  d->config.max_request_entity_size = limits->max_body;
  d->config.http1.req_timeout = (uint64_t)limits->request_ms;
  d->config.http1.upgrade_to_http2 = 0;
  host = h2o_config_register_host (
      &d->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  slot = (struct httpd_handler_slot *)h2o_create_handler (
      h2o_config_register_path (host, "/", 0), sizeof *slot);
  slot->super.on_req = on_req;
  slot->d = d;
  h2o_context_init (&d->ctx, loop, &d->config);
  d->accept_ctx.ctx = &d->ctx;
  d->accept_ctx.hosts = d->config.hosts;
}

static int
read_port (struct httpd *d)
{
  struct sockaddr_storage ss;
  int len = sizeof ss;
  int rc = uv_tcp_getsockname (&d->listener, (struct sockaddr *)&ss, &len);

  if (rc == 0)
    d->port = (uint16_t)h2o_socket_getport ((struct sockaddr *)&ss);
  return rc;
}

static int
bind_listener (struct httpd *d, uv_loop_t *loop, const struct net_addr *at)
{
  struct sockaddr_storage ss;
  int rc = net_addr_sockaddr (at, &ss);

  if (rc == 0)
    rc = uv_tcp_bind (&d->listener, (struct sockaddr *)&ss, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&d->listener, HTTPD_BACKLOG, on_connection);
  if (rc == 0)
    rc = read_port (d);
  return rc;
}

static void
on_failed_closed (uv_handle_t *h)
{
  free (h->data);
}

struct httpd *
httpd_listen (uv_loop_t *loop, const struct net_addr *at,
              const struct httpd_limits *limits, httpd_handler handler,
              void *ctx, struct buf *err)
{
  struct httpd *d = xcalloc (1, sizeof *d);
  int rc;

  /* A peer that closes while we write must be an error, not a signal. */
  signal (SIGPIPE, SIG_IGN);
  d->handler = handler;
  d->handler_ctx = ctx;
  d->max_connections = limits->max_connections;
  uv_tcp_init (loop, &d->listener);
  d->listener.data = d;
  rc = bind_listener (d, loop, at);
  if (rc != 0)
    {
      if (err != NULL)
        buf_addf (err, "cannot listen on %s:%u: %s", at->host,
                  (unsigned)at->port, uv_strerror (rc));
      uv_close ((uv_handle_t *)&d->listener, on_failed_closed);
      return NULL;
    }
  setup_h2o (d, loop, limits);
  d->handles = 2;
  uv_timer_init (loop, &d->sweep);
  d->sweep.data = d;
  uv_timer_start (&d->sweep, on_sweep, HTTPD_SWEEP_MS, HTTPD_SWEEP_MS);
  uv_unref ((uv_handle_t *)&d->sweep);
  return d;
}

uint16_t
httpd_port (const struct httpd *d)
{
  return d->port;
}

size_t
httpd_open (const struct httpd *d)
{
  return d->nopen;
}

static void
on_handle_closed (uv_handle_t *h)
{
  struct httpd *d = h->data;

  d->handles--;
  dispose_when_closed (d);
}

void
httpd_stop_accepting (struct httpd *d)
{
  if (d->stopped)
    return;
  d->stopped = true;
  d->accept_waits = false;
  d->ctx.shutdown_requested = 1;
  uv_close ((uv_handle_t *)&d->listener, on_handle_closed);
  /*
   * Only reading is shut: a request that already lies in the kernel's buffer
   * is still read and answered, and then h2o meets the end of input.
   */
  for (struct httpd_conn *c = d->conns; c != NULL; c = c->next)
    if (c->open == 0)
      conn_shutdown (c, SHUT_RD);
}

void
httpd_free (struct httpd *d)
{
  struct httpd_req *next;

  httpd_stop_accepting (d);
  d->freeing = true;
  for (struct httpd_req *r = d->reqs; r != NULL; r = next)
    {
      next = r->next;
      r->detached = true;
      if (!r->ended)
        abandon (r);
    }
  for (struct httpd_conn *c = d->conns; c != NULL; c = c->next)
    conn_shutdown (c, SHUT_RDWR);
  uv_close ((uv_handle_t *)&d->sweep, on_handle_closed);
}
