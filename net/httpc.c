#include "net/httpc.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "net/httpc-head.h"
#include "net/httpc-pool.h"

/* Disables h2o's timeout; each call has its own timer. */
#define HTTPC_NO_TIMEOUT ((uint64_t)365 * 24 * 3600 * 1000)

/*
 * A timer that fires this late shows that the process itself was paused or
 * busy, and responses may be unread.  They are read before a call times out;
 * otherwise a pause of this process would look like a failure of every peer.
 */
#define HTTPC_LATE_MS 100
#define HTTPC_GRACE_MS 50

/*
 * A connection attempt whose SYN is lost, or dropped because the peer's accept
 * queue is full, is repeated after a delay.  The kernel retransmits a SYN only
 * after 1 s, and those of a burst at the same time: they filled the queue
 * again, and a part of the burst was refused.  The delays of successive calls
 * differ, so that their attempts are spread out.  Nothing is sent before the
 * connection is established, so no request runs twice.
 */
#define HTTPC_RECONNECT_MS 200
#define HTTPC_MAX_OFFSET_MS 200

struct httpc
{
  uv_loop_t *loop;
  uv_timer_t sweep;
  uv_prepare_t guard;
  struct httpc_call *unguarded; /* sent, but guard_read() is not installed */
  h2o_http1client_ctx_t ctx;
  h2o_timeout_t io_timeout;
  h2o_multithread_queue_t *queue;
  h2o_multithread_receiver_t receiver;
  struct addr_pools pools;
  unsigned
      reconnect_offset; /* extra delay of the next call's reconnect, in ms */
};

enum phase
{
  PHASE_STARTING,
  PHASE_CONNECTING,
  PHASE_SENT,
  PHASE_BODY,
  PHASE_OVER
};

struct httpc_call
{
  uv_timer_t timer; /* first */
  struct httpc *c;
  struct addr_pool *pool;
  h2o_http1client_t *client;
  struct httpc_callbacks cb;
  void *ctx;
  struct net_addr to;
  struct buf head;
  struct buf body;
  h2o_iovec_t out[2];
  clk_ms connect_ms, progress_ms, total_ms;
  size_t body_left;     /* bytes that the response's body may still have */
  clk_ms connect_until; /* loop time */
  unsigned reconnects;
  clk_ms received_at; /* loop time; initially the start of the timer */
  clk_ms sent_at;     /* loop time */
  clk_ms timer_due;   /* loop time */
  enum phase phase;
  enum httpc_framing framing;
  struct httpc_call *next_unguarded, **prev_unguarded;
  h2o_socket_cb h2o_read;    /* h2o's callback, called by guard_read() */
  h2o_socket_cb paused_read; /* callback to resume; NULL while reading */
  bool is_head;
  bool fresh;
  bool malformed;
  bool paused;
  bool pooled;      /* a reused connection, whose options are set */
  bool in_callback; /* h2o ends the client by the callback's return value */
};

/* --- end of a call ----------------------------------------------------- */

static void
on_timer_closed (uv_handle_t *h)
{
  struct httpc_call *call = (struct httpc_call *)h;

  buf_free (&call->head);
  buf_free (&call->body);
  free (call);
}

static void
guard_unlink (struct httpc_call *call)
{
  if (call->prev_unguarded == NULL)
    return;
  *call->prev_unguarded = call->next_unguarded;
  if (call->next_unguarded != NULL)
    call->next_unguarded->prev_unguarded = call->prev_unguarded;
  call->prev_unguarded = NULL;
}

/* End the h2o client; the call is freed when its timer has been closed. */
static void
release (struct httpc_call *call)
{
  call->phase = PHASE_OVER;
  guard_unlink (call);
  if (call->client != NULL && !call->in_callback)
    h2o_http1client_cancel (call->client);
  call->client = NULL;
  if (call->pool != NULL)
    {
      call->pool->open--;
      call->pool->used = (clk_ms)uv_now (call->c->loop);
    }
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
finish (struct httpc_call *call, enum httpc_end end)
{
  release (call);
  call->cb.on_end (call->ctx, end);
}

/* --- timers ------------------------------------------------------------ */

static void on_timer (uv_timer_t *t);

static void
arm_timer (struct httpc_call *call, clk_ms ms)
{
  call->timer_due = (clk_ms)uv_now (call->c->loop) + ms;
  uv_timer_start (&call->timer, on_timer, (uint64_t)ms, 0);
}

static void
start_progress_timer (struct httpc_call *call)
{
  uv_update_time (call->c->loop);
  call->received_at = (clk_ms)uv_now (call->c->loop);
  arm_timer (call, call->total_ms > 0 && call->total_ms < call->progress_ms
                       ? call->total_ms
                       : call->progress_ms);
}

static void start_connect (struct httpc_call *call);
static void try_connect (struct httpc_call *call);

/* Abort the pending connection attempt and start another. */
static void
reconnect (struct httpc_call *call)
{
  h2o_http1client_cancel (call->client);
  call->client = NULL;
  call->reconnects++;
  try_connect (call);
}

/*
 * The cause of the timeout, such as a lost entry in a firewall's connection
 * table, has probably affected the idle connections to that address too.  Each
 * of them would make another call wait for its whole timeout.
 */
static void
finish_timed_out (struct httpc_call *call)
{
  call->pool->idle_suspect = true;
  finish (call, HTTPC_TIMEOUT);
}

static void
on_timer (uv_timer_t *t)
{
  struct httpc_call *call = (struct httpc_call *)t;
  clk_ms now = (clk_ms)uv_now (call->c->loop);
  clk_ms left;

  if (call->phase == PHASE_STARTING)
    {
      start_connect (call);
      return;
    }
  if (now - call->timer_due > HTTPC_LATE_MS)
    {
      arm_timer (call, HTTPC_GRACE_MS);
      return;
    }
  if (call->phase == PHASE_CONNECTING)
    {
      if (now < call->connect_until)
        reconnect (call);
      else
        finish (call, HTTPC_CONNECT_FAILED);
      return;
    }
  left = call->received_at + call->progress_ms - now;
  if (call->total_ms > 0 && call->sent_at + call->total_ms - now < left)
    left = call->sent_at + call->total_ms - now;
  if (left > 0)
    arm_timer (call, left);
  else
    finish_timed_out (call);
}

/* --- h2o's callbacks --------------------------------------------------- */

static void
apply_pause (struct httpc_call *call)
{
  h2o_socket_t *sock = call->client->sock;

  if (!call->paused || call->paused_read != NULL)
    return;
  call->paused_read = sock->_cb.read;
  h2o_socket_read_stop (sock);
  uv_timer_stop (&call->timer);
}

static void
deliver_body (struct httpc_call *call)
{
  h2o_buffer_t **in = &call->client->sock->input;
  struct buf bytes = BUF_INIT;

  if ((*in)->size == 0)
    return;
  if ((*in)->size > call->body_left)
    {
      finish (call, HTTPC_TOO_LARGE);
      return;
    }
  if (call->body_left != SIZE_MAX)
    call->body_left -= (*in)->size;
  call->received_at = (clk_ms)uv_now (call->c->loop);
  buf_add (&bytes, str_make ((*in)->bytes, (*in)->size));
  h2o_buffer_consume (in, (*in)->size);
  call->cb.on_body (call->ctx, buf_str (&bytes));
  buf_free (&bytes);
}

/*
 * h2o reports a close and a reset in the same way, so a response without a
 * length from a server that crashed would be taken for a complete one.
 * getpeername() fails on a connection that was reset, and only there.
 */
static bool
was_reset (const struct httpc_call *call)
{
  struct sockaddr_storage peer;
  socklen_t len = sizeof peer;
  int fd = h2o_socket_get_fd (call->client->sock);

  return getpeername (fd, (struct sockaddr *)&peer, &len) != 0;
}

/*
 * h2o reports a chunked body as complete also if the peer closed the
 * connection between two chunks, so a stream truncated there would be taken
 * for a complete response.  The last chunk always arrives in a read of at
 * least one byte, a close in a read of none.
 */
static enum httpc_end
end_of_body (const struct httpc_call *call)
{
  switch (call->framing)
    {
    case HTTPC_FRAMING_LENGTH:
      return HTTPC_COMPLETE;
    case HTTPC_FRAMING_CHUNKED:
      return call->client->sock->bytes_read > 0 ? HTTPC_COMPLETE
                                                : HTTPC_BROKEN;
    case HTTPC_FRAMING_CLOSE:
      break;
    }
  return was_reset (call) ? HTTPC_BROKEN : HTTPC_ENDED_BY_CLOSE;
}

static int
on_body (h2o_http1client_t *client, const char *errstr)
{
  struct httpc_call *call = client->data;

  call->in_callback = true;
  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      finish (call, HTTPC_BROKEN);
      return 1;
    }
  if (errstr != NULL)
    {
      enum httpc_end end = end_of_body (call);
      deliver_body (call);
      if (call->phase != PHASE_OVER)
        finish (call, end);
      return 1;
    }
  deliver_body (call);
  if (call->phase == PHASE_OVER)
    return 1;
  apply_pause (call);
  call->in_callback = false;
  return 0;
}

/* --- check of response heads --------------------------------------------- */

/*
 * h2o's client aborts the process on some heads; see
 * httpc_head_prepare_input().  Its read callback is therefore replaced until
 * the head is complete.  h2o sets that callback when the request has been
 * written, which it does not report; an iteration of the event loop writes
 * before it reads, and the uv_prepare callback replaces the read callback in
 * between.
 */
static void
guard_read (h2o_socket_t *sock, const char *err)
{
  h2o_http1client_t *client = sock->data;
  struct httpc_call *call = client->data;

  if (err != NULL
      || !httpc_head_prepare_input (sock->input->bytes, sock->input->size))
    finish (call, HTTPC_BROKEN);
  else
    call->h2o_read (sock, err);
}

static void
on_guard (uv_prepare_t *p)
{
  struct httpc *c = p->data;
  struct httpc_call *next;

  for (struct httpc_call *call = c->unguarded; call != NULL; call = next)
    {
      h2o_socket_t *sock = call->client->sock;
      next = call->next_unguarded;
      if (sock->_cb.read == NULL)
        continue;
      call->h2o_read = sock->_cb.read;
      sock->_cb.read = guard_read;
      guard_unlink (call);
    }
}

static void
queue_for_guard (struct httpc_call *call)
{
  struct httpc *c = call->c;

  call->next_unguarded = c->unguarded;
  call->prev_unguarded = &c->unguarded;
  if (call->next_unguarded != NULL)
    call->next_unguarded->prev_unguarded = &call->next_unguarded;
  c->unguarded = call;
}

static struct str
str_of (h2o_iovec_t v)
{
  return str_make (v.base, v.len);
}

static h2o_http1client_body_cb
process_head (struct httpc_call *call, bool is_eos, int status,
              const struct http_header *headers, size_t n)
{
  if (!httpc_status_is_final (status)
      || !httpc_head_framing (headers, n, &call->framing))
    {
      finish (call, HTTPC_BROKEN);
      return NULL;
    }
  call->phase = PHASE_BODY;
  call->received_at = (clk_ms)uv_now (call->c->loop);
  call->cb.on_head (call->ctx, status, headers, n);
  if (call->phase == PHASE_OVER)
    return NULL;
  if (is_eos)
    {
      finish (call, HTTPC_COMPLETE);
      return NULL;
    }
  call->in_callback = false;
  return on_body;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *client, const char *errstr, int minor_version,
         int status, h2o_iovec_t msg, h2o_header_t *h, size_t n, int rlen)
{
  struct httpc_call *call = client->data;
  h2o_http1client_body_cb next;

  call->in_callback = true;
  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      finish (call, HTTPC_BROKEN);
      return NULL;
    }
  struct http_header *headers = xcalloc (n + 1, sizeof *headers);
  for (size_t i = 0; i < n; i++)
    {
      headers[i].name = str_of (*h[i].name);
      headers[i].value = str_of (h[i].value);
    }
  next = process_head (call, errstr != NULL, status, headers, n);
  free (headers);
  return next;
}

static void
set_no_delay (h2o_socket_t *sock)
{
  int on = 1;

  setsockopt (h2o_socket_get_fd (sock), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *client, const char *errstr,
            h2o_iovec_t **reqbufs, size_t *reqbufcnt, int *method_is_head)
{
  struct httpc_call *call = client->data;

  call->in_callback = true;
  if (errstr != NULL)
    {
      finish (call, HTTPC_CONNECT_FAILED);
      return NULL;
    }
  if (call->fresh || call->pool->open > HTTPC_MAX_POOLED)
    client->sockpool.pool = NULL; /* h2o then closes the connection */
  if (!call->pooled)
    set_no_delay (client->sock);
  bool proceed
      = call->cb.on_connected == NULL || call->cb.on_connected (call->ctx);
  if (call->phase == PHASE_OVER)
    return NULL;
  if (!proceed)
    {
      finish (call, HTTPC_NOT_SENT);
      return NULL;
    }
  call->phase = PHASE_SENT;
  queue_for_guard (call);
  start_progress_timer (call);
  call->sent_at = call->received_at;
  call->out[0] = h2o_iovec_init (call->head.ptr, call->head.len);
  call->out[1] = h2o_iovec_init (call->body.ptr, call->body.len);
  *reqbufs = call->out;
  *reqbufcnt = call->body.len > 0 ? 2 : 1;
  *method_is_head = call->is_head;
  call->in_callback = false;
  return on_head;
}

static void
try_connect (struct httpc_call *call)
{
  clk_ms left, wait;

  left = call->connect_until - (clk_ms)uv_now (call->c->loop);
  wait
      = HTTPC_RECONNECT_MS + call->c->reconnect_offset++ % HTTPC_MAX_OFFSET_MS;
  wait <<= call->reconnects; /* the round-trip time may be long */
  arm_timer (call, left < wait ? left : wait);
  /* h2o calls on_connect() within this call for an idle connection, later for
     a new one.  If the call ends there, it is valid until its timer is closed.
   */
  call->pooled = true;
  addr_pool_connect (call->pool, call->fresh, &call->c->ctx, call,
                     &call->client, on_connect);
  call->pooled = false;
}

static void
start_connect (struct httpc_call *call)
{
  if (!call->malformed)
    call->pool = addr_pool_get (&call->c->pools, &call->to);
  if (call->pool == NULL)
    {
      finish (call, HTTPC_CONNECT_FAILED);
      return;
    }
  call->pool->open++;
  call->phase = PHASE_CONNECTING;
  uv_update_time (call->c->loop);
  call->connect_until = (clk_ms)uv_now (call->c->loop) + call->connect_ms;
  try_connect (call);
}

/* --- requests ---------------------------------------------------------- */

struct httpc_call *
httpc_start (struct httpc *c, const struct httpc_request *req,
             const struct httpc_callbacks *cb, void *ctx)
{
  struct httpc_call *call = xcalloc (1, sizeof *call);

  call->c = c;
  call->cb = *cb;
  call->ctx = ctx;
  call->to = req->to;
  call->connect_ms = req->connect_ms;
  call->progress_ms = req->progress_ms;
  call->total_ms = req->total_ms;
  call->body_left = req->max_body ? req->max_body : HTTPC_MAX_BODY;
  call->fresh = req->fresh;
  call->is_head = str_is (req->method, "HEAD");
  call->malformed = !httpc_head_is_valid (req);
  if (!call->malformed)
    httpc_head_write (req, &call->head);
  buf_add (&call->body, req->body);
  uv_timer_init (c->loop, &call->timer);
  arm_timer (call, 0);
  return call;
}

void
httpc_cancel (struct httpc_call *call)
{
  release (call);
}

void
httpc_pause (struct httpc_call *call, bool pause)
{
  call->paused = pause;
  if (call->phase != PHASE_BODY || call->in_callback)
    return;
  if (pause)
    apply_pause (call);
  else if (call->paused_read != NULL)
    {
      h2o_socket_read_start (call->client->sock, call->paused_read);
      call->paused_read = NULL;
      start_progress_timer (call);
    }
}

/* --- the client -------------------------------------------------------- */

static void
on_sweep (uv_timer_t *t)
{
  struct httpc *c = t->data;

  addr_pools_sweep (&c->pools);
}

struct httpc *
httpc_new (uv_loop_t *loop)
{
  struct httpc *c = xcalloc (1, sizeof *c);

  /* Writing to a closed connection returns an error, without SIGPIPE. */
  signal (SIGPIPE, SIG_IGN);
  c->loop = loop;
  c->pools.loop = loop;
  c->queue = h2o_multithread_create_queue (loop);
  h2o_multithread_register_receiver (c->queue, &c->receiver,
                                     h2o_hostinfo_getaddr_receiver);
  h2o_timeout_init (loop, &c->io_timeout, HTTPC_NO_TIMEOUT);
  c->ctx.loop = loop;
  c->ctx.getaddr_receiver = &c->receiver;
  c->ctx.io_timeout = &c->io_timeout;
  uv_prepare_init (loop, &c->guard);
  c->guard.data = c;
  uv_prepare_start (&c->guard, on_guard);
  uv_unref ((uv_handle_t *)&c->guard);
  uv_timer_init (loop, &c->sweep);
  c->sweep.data = c;
  uv_timer_start (&c->sweep, on_sweep, HTTPC_IDLE_MS, HTTPC_IDLE_MS);
  uv_unref ((uv_handle_t *)&c->sweep);
  return c;
}

static void
on_client_closed (uv_handle_t *h)
{
  free (h->data);
}

/* h2o's timer is part of struct httpc, which is freed one iteration of the
   event loop after the timer was closed. */
static void
on_sweep_closed (uv_handle_t *h)
{
  struct httpc *c = h->data;

  uv_timer_init (c->loop, &c->sweep);
  uv_close (h, on_client_closed);
}

static void
on_guard_closed (uv_handle_t *h)
{
  struct httpc *c = h->data;

  uv_close ((uv_handle_t *)&c->sweep, on_sweep_closed);
}

void
httpc_free (struct httpc *c)
{
  addr_pools_free (&c->pools);
  h2o_multithread_unregister_receiver (c->queue, &c->receiver);
  h2o_multithread_destroy_queue (c->queue);
  h2o_timeout_dispose (c->loop, &c->io_timeout);
  uv_close ((uv_handle_t *)&c->guard, on_guard_closed);
}
