#include "net/link-int.h"

#include <stdlib.h>
#include <string.h>

#define LINK_LENGTH ((size_t)4)
#define LINK_HEADER (LINK_LENGTH + LINK_MAC)
#define LINK_QUEUE_MAX ((size_t)4 * 1024 * 1024)

#define LINK_HEARTBEAT_MS (1 * CLK_SECOND)
#define LINK_SILENCE_MS (3 * CLK_SECOND)

/* A timer this late shows that this process was paused.  Received frames may
   be unread then, as the event loop runs timers before it reads sockets. */
#define LINK_LATE_MS ((clk_ms)100)

/* A receive buffer larger than this is freed when it is empty. */
#define LINK_KEEP_BUF ((size_t)65536)

struct link_write
{
  uv_write_t req; /* first */
  struct link *l;
  char bytes[];
};

/* --- end of a link ----------------------------------------------------- */

static void
on_link_closed (uv_handle_t *h)
{
  struct link *l = h->data;

  if (--l->handles > 0)
    return;
  buf_free (&l->in);
  free (l);
}

void
link_close (struct link *l)
{
  if (l->stage == STAGE_OVER)
    return;
  l->stage = STAGE_OVER;
  link_unlink_pending (l);
  uv_close ((uv_handle_t *)&l->tcp, on_link_closed);
  uv_close ((uv_handle_t *)&l->timer, on_link_closed);
}

/* An accepted link that is not authenticated was not reported as up, so its
   end is not reported either. */
static void
link_fail (struct link *l)
{
  bool notify = l->stage == STAGE_UP || l->auth.connecting;

  if (l->stage == STAGE_OVER)
    return;
  link_close (l);
  if (notify)
    l->cb.on_state (l->ctx, l, LINK_DOWN);
}

/* --- writing ----------------------------------------------------------- */

static void
on_written (uv_write_t *req, int status)
{
  struct link_write *w = (struct link_write *)req;
  struct link *l = w->l;

  free (w);
  if (status != 0)
    link_fail (l);
}

/* Write a frame or handshake bytes; @p w contains @p len of them. */
static void
write_bytes (struct link *l, struct link_write *w, size_t len)
{
  uv_buf_t b = uv_buf_init (w->bytes, (unsigned)len);

  w->l = l;
  l->sent_at = clk_now ();
  l->bytes_out += len;
  if (uv_write (&w->req, (uv_stream_t *)&l->tcp, &b, 1, on_written) != 0)
    free (w); /* the connection failed; on_read() gets the error */
}

static void
write_raw (struct link *l, struct str bytes)
{
  struct link_write *w = xmalloc (sizeof *w + bytes.len);

  memcpy (w->bytes, bytes.ptr, bytes.len);
  write_bytes (l, w, bytes.len);
}

static void
put_length (char *p, size_t n)
{
  p[0] = (char)(n >> 24);
  p[1] = (char)(n >> 16);
  p[2] = (char)(n >> 8);
  p[3] = (char)n;
}

static size_t
get_length (const char *p)
{
  const uint8_t *u = (const uint8_t *)p;

  return (size_t)u[0] << 24 | (size_t)u[1] << 16 | (size_t)u[2] << 8 | u[3];
}

bool
link_send (struct link *l, const Lapis__Frame *frame)
{
  size_t len;

  if (l->stage != STAGE_UP)
    return false;
  len = lapis__frame__get_packed_size (frame);
  if (len > LINK_MAX_FRAME
      || uv_stream_get_write_queue_size ((uv_stream_t *)&l->tcp) + len
             > LINK_QUEUE_MAX)
    return false;
  struct link_write *w = xmalloc (sizeof *w + LINK_HEADER + len);
  char *body = w->bytes + LINK_HEADER;
  put_length (w->bytes, len);
  lapis__frame__pack (frame, (uint8_t *)body);
  link_auth_mac (&l->auth.out, str_make (body, len),
                 (uint8_t *)w->bytes + LINK_LENGTH);
  write_bytes (l, w, LINK_HEADER + len);
  return true;
}

static void
send_heartbeat (struct link *l)
{
  Lapis__Heartbeat hb = LAPIS__HEARTBEAT__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  f.body_case = LAPIS__FRAME__BODY_HEARTBEAT;
  f.heartbeat = &hb;
  link_send (l, &f);
}

/* --- timers ------------------------------------------------------------ */

static void on_tick (uv_timer_t *t);

static void
arm_timer (struct link *l, clk_ms ms)
{
  l->due = clk_now () + ms;
  uv_timer_start (&l->timer, on_tick, (uint64_t)ms, 0);
}

/** Exclude a pause of this process from the time without received frames. */
static void
exclude_pause (struct link *l, clk_ms now)
{
  clk_ms late = now - l->due;

  if (late > LINK_LATE_MS)
    l->received_at = l->received_at + late < now ? l->received_at + late : now;
}

static void
on_tick (uv_timer_t *t)
{
  struct link *l = t->data;
  clk_ms now = clk_now ();

  exclude_pause (l, now);
  if (now - l->received_at >= LINK_SILENCE_MS)
    {
      link_fail (l);
      return;
    }
  if (l->stage == STAGE_UP && now - l->sent_at >= LINK_HEARTBEAT_MS)
    send_heartbeat (l);
  arm_timer (l, LINK_HEARTBEAT_MS / 2);
}

/* --- reading ----------------------------------------------------------- */

static void
set_link_up (struct link *l)
{
  link_unlink_pending (l);
  l->stage = STAGE_UP;
  l->received_at = clk_now ();
  l->cb.on_state (l->ctx, l, LINK_UP);
}

static void
send_proof (struct link *l)
{
  struct buf out = BUF_INIT;

  link_auth_write_proof (&l->auth, &out);
  write_raw (l, buf_str (&out));
  buf_free (&out);
}

static size_t
process_hello (struct link *l, struct str in)
{
  if (in.len < LINK_HELLO)
    return 0;
  if (!link_auth_read_hello (&l->auth, in.ptr))
    {
      link_fail (l);
      return 0;
    }
  l->stage = STAGE_PROOF;
  if (l->auth.connecting)
    send_proof (l);
  return LINK_HELLO;
}

static size_t
process_proof (struct link *l, struct str in)
{
  if (in.len < LINK_PROOF)
    return 0;
  if (!link_auth_verify_proof (&l->auth, in.ptr))
    {
      link_fail (l);
      return 0;
    }
  if (!l->auth.connecting)
    send_proof (l);
  set_link_up (l);
  return LINK_PROOF;
}

/* Returns false if the bytes are not a valid frame. */
static bool
deliver_frame (struct link *l, struct str body)
{
  Lapis__Frame *f
      = lapis__frame__unpack (NULL, body.len, (const uint8_t *)body.ptr);

  if (f == NULL)
    return false;
  l->received_at = clk_now ();
  if (f->body_case != LAPIS__FRAME__BODY_HEARTBEAT)
    l->cb.on_frame (l->ctx, l, f);
  lapis__frame__free_unpacked (f, NULL);
  return true;
}

/*
 * An invalid length, MAC or content closes the link immediately.  The start of
 * the next frame is unknown afterwards, and bytes of one message could be
 * parsed as another.
 */
static size_t
process_frame (struct link *l, struct str in)
{
  size_t len;

  if (in.len < LINK_HEADER)
    return 0;
  len = get_length (in.ptr);
  if (len > LINK_MAX_FRAME)
    {
      link_fail (l);
      return 0;
    }
  if (in.len < LINK_HEADER + len)
    return 0;
  struct str body = str_make (in.ptr + LINK_HEADER, len);
  if (!link_auth_verify (&l->auth.in, body, in.ptr + LINK_LENGTH)
      || !deliver_frame (l, body))
    {
      link_fail (l);
      return 0;
    }
  return LINK_HEADER + len;
}

/* Handle the next message of the link's stage.  Returns the number of bytes
   used; 0: incomplete. */
static size_t
process_input (struct link *l, struct str in)
{
  switch (l->stage)
    {
    case STAGE_HELLO:
      return process_hello (l, in);
    case STAGE_PROOF:
      return process_proof (l, in);
    case STAGE_UP:
      return process_frame (l, in);
    case STAGE_CONNECT:
    case STAGE_OVER:
      break;
    }
  return 0;
}

static void
parse (struct link *l)
{
  size_t used = 0, n;

  while ((n = process_input (l, str_skip (buf_str (&l->in), used))) > 0)
    used += n;
  buf_consume (&l->in, used);
  if (l->in.len == 0 && l->in.cap > LINK_KEEP_BUF)
    buf_free (&l->in);
}

/* The static buffer is shared by all links: there is a single thread, and
   on_read() copies the bytes before the next read. */
static void
on_alloc (uv_handle_t *h, size_t suggested, uv_buf_t *out)
{
  static char bytes[65536];

  *out = uv_buf_init (bytes, sizeof bytes);
}

static void
on_read (uv_stream_t *s, ssize_t n, const uv_buf_t *b)
{
  struct link *l = s->data;

  if (n < 0)
    {
      link_fail (l);
      return;
    }
  l->bytes_in += (uint64_t)n;
  buf_add (&l->in, str_make (b->base, (size_t)n));
  parse (l);
}

/* --- opening ----------------------------------------------------------- */

struct link *
link_new (uv_loop_t *loop, const struct link_secret *secret, bool connecting,
          const struct link_callbacks *cb, void *ctx)
{
  struct link *l = xcalloc (1, sizeof *l);

  link_auth_init (&l->auth, secret, connecting);
  l->cb = *cb;
  l->ctx = ctx;
  l->stage = STAGE_CONNECT;
  l->handles = 2;
  uv_tcp_init (loop, &l->tcp);
  uv_timer_init (loop, &l->timer);
  l->tcp.data = l;
  l->timer.data = l;
  l->received_at = clk_now ();
  arm_timer (l, LINK_HEARTBEAT_MS / 2);
  return l;
}

void
link_start_handshake (struct link *l)
{
  struct buf out = BUF_INIT;

  uv_tcp_nodelay (&l->tcp, 1);
  l->stage = STAGE_HELLO;
  link_auth_hello (&l->auth, &out);
  write_raw (l, buf_str (&out));
  buf_free (&out);
  if (uv_read_start ((uv_stream_t *)&l->tcp, on_alloc, on_read) != 0)
    link_fail (l);
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct link *l = req->data;

  if (l->stage == STAGE_OVER)
    return;
  if (status != 0)
    link_fail (l);
  else
    link_start_handshake (l);
}

struct link *
link_connect (uv_loop_t *loop, const struct net_addr *to,
              const struct link_secret *secret,
              const struct link_callbacks *cb, void *ctx)
{
  struct link *l = link_new (loop, secret, true, cb, ctx);
  struct sockaddr_storage ss;
  int rc = net_addr_sockaddr (to, &ss);

  l->connect.data = l;
  if (rc == 0)
    rc = uv_tcp_connect (&l->connect, &l->tcp, (struct sockaddr *)&ss,
                         on_connected);
  if (rc != 0)
    {
      /* The next tick reports the failure, as no callback may run within this
         function. */
      l->received_at = clk_now () - LINK_SILENCE_MS;
      arm_timer (l, 0);
    }
  return l;
}

/* --- accessors --------------------------------------------------------- */

void
link_set_ctx (struct link *l, void *ctx)
{
  l->ctx = ctx;
}

void *
link_ctx (struct link *l)
{
  return l->ctx;
}

clk_ms
link_idle_ms (const struct link *l)
{
  return clk_now () - l->received_at;
}

void
link_traffic (const struct link *l, uint64_t *out, uint64_t *in)
{
  *out = l->bytes_out;
  *in = l->bytes_in;
}
