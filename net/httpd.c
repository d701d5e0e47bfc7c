#include "net/httpd-int.h"

#include <poll.h>
#include <signal.h>
#include <sys/socket.h>

/* Connections that wait in the kernel while the limit is reached. */
#define HTTPD_BACKLOG 1024

/* Idle connections are closed when fewer than this part of the limit is free;
   closing takes an iteration of the event loop. */
#define HTTPD_ROOM_PART 16

/*
 * A connection is closed if the caller reads nothing for this time while bytes
 * are queued.  Otherwise a caller that stops reading would keep its response
 * and connection open forever, as the kernel reports no error while the peer's
 * receive window is zero.
 */
#define HTTPD_STALL_MS (60 * CLK_SECOND)
#define HTTPD_SWEEP_MS (5 * CLK_SECOND)

/* Same while other callers wait to be accepted. */
#define HTTPD_UNREAD_MS (2 * CLK_SECOND)

static void accept_next (struct httpd *d);

int
httpd_conn_fd (const struct httpd_conn *c)
{
  uv_os_fd_t fd;

  return uv_fileno ((const uv_handle_t *)&c->tcp, &fd) == 0 ? fd : -1;
}

void
httpd_conn_shutdown (const struct httpd_conn *c, int how)
{
  int fd = httpd_conn_fd (c);

  if (fd >= 0)
    shutdown (fd, how);
}

/* --- idle connections -------------------------------------------------- */

static void
idle_remove (struct httpd_conn *c)
{
  if (c->prev_idle == NULL)
    return;
  *c->prev_idle = c->next_idle;
  if (c->next_idle != NULL)
    c->next_idle->prev_idle = c->prev_idle;
  else
    c->d->last_idle = c->prev_idle;
  c->prev_idle = NULL;
  c->next_idle = NULL;
}

/*
 * Close a connection without a request.  Only the receiving side is shut down:
 * a request that arrives before h2o reads the end of input is still answered.
 * If the kernel has bytes already, nothing is done, and h2o reads them.
 */
static bool
close_idle (struct httpd_conn *c)
{
  struct pollfd p = { .fd = httpd_conn_fd (c), .events = POLLIN };

  if (p.fd < 0 || poll (&p, 1, 0) > 0)
    return false;
  c->read_closed = true;
  idle_remove (c);
  httpd_conn_shutdown (c, SHUT_RD);
  return true;
}

/* Close the connection that is idle for longest, but none on which a part of a
   request has been received. */
static bool
close_longest_idle (struct httpd *d)
{
  struct httpd_conn *c = d->idle;

  while (c != NULL && (c->sock->input->size > 0 || !close_idle (c)))
    c = c->next_idle;
  return c != NULL;
}

/* Close the connection whose caller has been reading nothing of its response
   for longest. */
static bool
close_unread (struct httpd *d)
{
  struct httpd_req *stalled = NULL;
  clk_ms since = clk_now () - HTTPD_UNREAD_MS;

  for (struct httpd_req *r = d->reqs; r != NULL; r = r->next)
    if (r->in_flight && r->progress_at < since)
      {
        stalled = r;
        since = r->progress_at;
      }
  if (stalled != NULL)
    httpd_conn_shutdown (stalled->conn, SHUT_RDWR);
  return stalled != NULL;
}

void
httpd_make_room (struct httpd *d)
{
  if (!close_longest_idle (d) && !httpd_input_close_slow (d))
    close_unread (d);
}

static void
on_room (uv_timer_t *t)
{
  struct httpd *d = t->data;

  if (d->accept_pending)
    httpd_make_room (d);
}

void
httpd_conn_set_active (struct httpd_conn *c)
{
  idle_remove (c);
}

void
httpd_conn_set_idle (struct httpd_conn *c)
{
  struct httpd *d = c->d;

  if (c->sock == NULL || c->read_closed || c->refused)
    return;
  c->prev_idle = d->last_idle;
  *d->last_idle = c;
  d->last_idle = &c->next_idle;
  /* h2o still holds the bytes of the request that has just ended. */
  if (d->accept_pending && !d->freeing)
    uv_timer_start (&d->room, on_room, 0, 0);
}

/* --- connections ------------------------------------------------------- */

static void
on_final_close (uv_handle_t *h)
{
  struct httpd *d = h->data;

  h2o_config_dispose (&d->config);
  free (d);
}

/*
 * h2o closes the timers in its context, which is part of struct httpd.  The
 * struct is freed after two iterations of the event loop, when their close has
 * completed.
 */
static void
on_first_close (uv_handle_t *h)
{
  struct httpd *d = h->data;

  uv_timer_init (d->ctx.loop, &d->sweep);
  uv_close (h, on_final_close);
}

/* Must be called from close callbacks only: h2o_context_dispose() runs an
   iteration of the event loop. */
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
set_full (struct httpd *d, bool full)
{
  if (d->full == full)
    return;
  d->full = full;
  if (d->on_full != NULL)
    d->on_full (d->handler_ctx, full);
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
  if (d->accept_pending)
    accept_next (d);
  else if (!d->stopped && d->nconnections < d->max_connections)
    set_full (d, false);
  dispose_when_closed (d);
}

static void
on_sock_close (void *data)
{
  struct httpd_conn *c = data;

  httpd_input_forget (c);
  c->sock = NULL;
  idle_remove (c);
}

static void
accept_next (struct httpd *d)
{
  struct httpd_conn *c = xcalloc (1, sizeof *c);

  d->accept_pending = false;
  c->d = d;
  c->accepted_at = clk_now ();
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
  c->sock = sock;
  httpd_conn_set_idle (c);
  h2o_accept (&d->accept_ctx, sock);
  httpd_input_attach_soon (c);
}

/*
 * Near the limit, an idle or stalled connection is closed for each new one, so
 * that callers with a request don't wait behind callers without.  At the limit
 * the connection is not accepted: libuv then stops polling the listener, and
 * further callers wait in the kernel's backlog.  Each accepted connection
 * would need memory and a descriptor before any check.
 */
static void
on_connection (uv_stream_t *listener, int status)
{
  struct httpd *d = listener->data;

  if (status != 0 || d->stopped)
    return;
  if (d->nconnections + d->max_connections / HTTPD_ROOM_PART
      >= d->max_connections)
    httpd_make_room (d);
  if (d->nconnections >= d->max_connections)
    {
      d->accept_pending = true;
      httpd_input_wait (d);
      set_full (d, true);
      return;
    }
  accept_next (d);
}

/*
 * A late sweep shows that this process was paused, so it is skipped; callers
 * have until the next one to read the queued bytes.
 */
static void
on_sweep (uv_timer_t *t)
{
  struct httpd *d = t->data;
  clk_ms now = clk_now ();
  bool late = now - d->last_sweep > 2 * HTTPD_SWEEP_MS;

  d->last_sweep = now;
  if (late)
    return;
  for (struct httpd_req *r = d->reqs; r != NULL; r = r->next)
    if (r->in_flight && now - r->progress_at > HTTPD_STALL_MS)
      httpd_conn_shutdown (r->conn, SHUT_RDWR);
}

/* --- the server -------------------------------------------------------- */

static void
setup_h2o (struct httpd *d, uv_loop_t *loop, const struct httpd_limits *limits)
{
  h2o_hostconf_t *host;
  struct httpd_handler_slot *slot;

  h2o_config_init (&d->config);
  httpd_set_request_limits (d, limits->max_body, limits->max_head,
                            limits->head_ms);
  d->config.server_name = h2o_iovec_init (H2O_STRLIT ("lapisline"));
  d->config.http1.req_timeout = (uint64_t)limits->request_ms;
  d->config.http1.upgrade_to_http2 = 0;
  host = h2o_config_register_host (
      &d->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  slot = (struct httpd_handler_slot *)h2o_create_handler (
      h2o_config_register_path (host, "/", 0), sizeof *slot);
  slot->super.on_req = httpd_on_req;
  slot->d = d;
  if (limits->refused != NULL)
    httpd_refusal_setup (host, limits->refused, d->handler_ctx);
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

  /* Writing to a closed connection returns an error, without SIGPIPE. */
  signal (SIGPIPE, SIG_IGN);
  d->handler = handler;
  d->handler_ctx = ctx;
  d->last_idle = &d->idle;
  d->max_connections = limits->max_connections;
  d->max_input = limits->max_input;
  d->on_refused = limits->refused;
  d->on_full = limits->full;
  d->on_left = limits->left;
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
  d->handles = 6;
  uv_timer_init (loop, &d->room);
  d->room.data = d;
  httpd_watch_init (d, loop);
  httpd_input_init (d, loop);
  uv_timer_init (loop, &d->sweep);
  d->sweep.data = d;
  d->last_sweep = clk_now ();
  uv_timer_start (&d->sweep, on_sweep, HTTPD_SWEEP_MS, HTTPD_SWEEP_MS);
  uv_unref ((uv_handle_t *)&d->sweep);
  return d;
}

uint16_t
httpd_port (const struct httpd *d)
{
  return d->port;
}

void
httpd_set_max_connections (struct httpd *d, size_t n)
{
  d->max_connections = n;
  if (d->accept_pending && d->nconnections < n)
    accept_next (d);
}

void
httpd_set_request_limits (struct httpd *d, size_t max_body, size_t max_head,
                          clk_ms head_ms)
{
  d->config.max_request_entity_size = max_body;
  d->max_head = max_head;
  d->head_ms = head_ms;
}

void
httpd_set_max_input (struct httpd *d, size_t n)
{
  d->max_input = n;
}

struct httpd_stats
httpd_stats (const struct httpd *d)
{
  struct httpd_stats st = { .connections = d->nconnections,
                            .max = d->max_connections,
                            .received = d->input_counted,
                            .refusals = d->refusals,
                            .full = d->full };

  for (const struct httpd_conn *c = d->conns; c != NULL; c = c->next)
    st.idle += c->open == 0;
  return st;
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
  d->accept_pending = false;
  d->ctx.shutdown_requested = 1;
  uv_close ((uv_handle_t *)&d->listener, on_handle_closed);
  for (struct httpd_conn *c = d->conns; c != NULL; c = c->next)
    if (c->open == 0)
      close_idle (c);
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
        httpd_abort (r);
    }
  for (struct httpd_conn *c = d->conns; c != NULL; c = c->next)
    httpd_conn_shutdown (c, SHUT_RDWR);
  uv_close ((uv_handle_t *)&d->watch_timer, on_handle_closed);
  uv_close ((uv_handle_t *)&d->input_sweep, on_handle_closed);
  uv_close ((uv_handle_t *)&d->attach, on_handle_closed);
  uv_close ((uv_handle_t *)&d->sweep, on_handle_closed);
  uv_close ((uv_handle_t *)&d->room, on_handle_closed);
}
