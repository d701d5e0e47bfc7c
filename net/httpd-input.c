#include "net/httpd-int.h"

#include <sys/socket.h>

/*
 * h2o 2.2 reads a request into memory up to its last byte before it calls any
 * handler, and has no callback for a part of it.  This file replaces the
 * callback that h2o registers for received bytes, and passes the bytes on to
 * it if the server's limits allow.
 */

/** Bytes of each connection that are not counted, so that a request of usual
    size is never refused because of what other callers send. */
#define UNCOUNTED ((size_t)16384)

/** A request that is received at a lower mean rate for longer than this may be
    refused in favour of others. */
#define SLOW_AFTER_MS ((clk_ms)300)
#define SLOW_BYTES_PER_MS 64

/** Limit on the time to receive a request.  No deadline of a request is as
    long. */
#define REQUEST_MS (2 * CLK_MINUTE)

/** Time in which a refused caller can read the response, and bytes of its
    request that are discarded meanwhile.  Closing a connection with unread
    bytes resets it, and the response may be lost. */
#define LINGER_MS CLK_SECOND
#define LINGER_BYTES ((uint64_t)256 * 1024)

#define SWEEP_MS ((clk_ms)250)

static void on_read (h2o_socket_t *sock, const char *err);

static struct httpd_conn *
from_input_link (h2o_linklist_t *link)
{
  return H2O_STRUCT_FROM_MEMBER (struct httpd_conn, input_link, link);
}

/* --- accounting -------------------------------------------------------- */

static void
set_counted (struct httpd_conn *c, size_t size)
{
  size += httpd_fields_bytes (&c->fields);
  size_t n = size > UNCOUNTED ? size - UNCOUNTED : 0;

  c->d->input_counted += n - c->counted;
  c->counted = n;
}

static void
unlink_input (struct httpd_conn *c)
{
  if (h2o_linklist_is_linked (&c->input_link))
    h2o_linklist_unlink (&c->input_link);
}

void
httpd_input_reset (struct httpd_conn *c)
{
  httpd_fields_free (&c->fields);
  set_counted (c, 0);
  unlink_input (c);
  c->receiving_since = 0;
}

static void
start_sweep (struct httpd *d)
{
  if (d->freeing || uv_is_active ((uv_handle_t *)&d->input_sweep))
    return;
  d->last_input_sweep = clk_now ();
  uv_timer_start (&d->input_sweep, httpd_input_sweep, SWEEP_MS, SWEEP_MS);
}

/* --- refusal ----------------------------------------------------------- */

static void
discard_input (struct httpd_conn *c)
{
  h2o_buffer_consume (&c->sock->input, c->sock->input->size);
}

static void
discard_read (struct httpd_conn *c)
{
  c->received += c->sock->bytes_read;
  discard_input (c);
  if (c->received > LINGER_BYTES)
    httpd_conn_shutdown (c, SHUT_RDWR);
}

/** Refuse the request that is being received.
    @param linger  let the caller read the response */
static void
refuse (struct httpd_conn *c, int status, bool linger)
{
  struct httpd *d = c->d;

  httpd_input_reset (c);
  httpd_conn_set_active (c);
  discard_input (c);
  c->refused = true;
  c->received = 0;
  c->receiving_since = clk_now ();
  d->refusals++;
  h2o_linklist_insert (&d->refused, &c->input_link);
  start_sweep (d);
  if (!h2o_socket_is_writing (c->sock))
    httpd_refusal_send (d, httpd_conn_fd (c), status);
  httpd_conn_shutdown (c, linger ? SHUT_WR : SHUT_RDWR);
}

static bool
is_slow (const struct httpd_conn *c, clk_ms now)
{
  clk_ms age = now - c->receiving_since;

  return age > SLOW_AFTER_MS
         && c->received < (uint64_t)age * SLOW_BYTES_PER_MS;
}

/** The connection that has been sending a request for longest at a low rate.
    @param counted  one with counted bytes */
static struct httpd_conn *
find_slow (struct httpd *d, bool counted)
{
  clk_ms now = clk_now ();

  for (h2o_linklist_t *l = d->receiving.next; l != &d->receiving; l = l->next)
    {
      struct httpd_conn *c = from_input_link (l);
      if (now - c->receiving_since <= SLOW_AFTER_MS)
        break;
      if ((!counted || c->counted > 0) && is_slow (c, now))
        return c;
    }
  return NULL;
}

bool
httpd_input_close_slow (struct httpd *d)
{
  struct httpd_conn *c = find_slow (d, false);

  if (c != NULL)
    refuse (c, 408, false);
  return c != NULL;
}

/** The connection with counted bytes whose request began last; @p c has some.
 */
static struct httpd_conn *
find_newest (struct httpd_conn *c)
{
  struct httpd *d = c->d;

  if (!h2o_linklist_is_linked (&c->input_link))
    return c;
  for (h2o_linklist_t *l = d->receiving.prev; l != &d->receiving; l = l->prev)
    if (from_input_link (l)->counted > 0)
      return from_input_link (l);
  return c;
}

/**
 * Refuse requests until the counted bytes are within the limit: first those
 * that arrive slowly, then those that began last, so that the others can be
 * completed.
 * @retval false  the request of @p c was refused
 */
static bool
make_room (struct httpd_conn *c)
{
  struct httpd *d = c->d;

  while (c->counted > 0 && d->input_counted > d->max_input)
    {
      struct httpd_conn *victim = find_slow (d, true);
      if (victim == NULL)
        victim = find_newest (c);
      refuse (victim, 503, true);
      if (victim == c)
        return false;
    }
  return true;
}

/* --- received bytes ---------------------------------------------------- */

/** Look for the empty line that ends a head.
    @return the size of the head, or 0 */
static size_t
find_head_end (struct httpd_conn *c)
{
  const h2o_buffer_t *in = c->sock->input;
  size_t at = c->head_scanned;

  while (at < in->size)
    {
      const char *lf = memchr (in->bytes + at, '\n', in->size - at);
      if (lf == NULL)
        break;
      size_t next = (size_t)(lf - in->bytes) + 1;
      c->head_lines++;
      if (next < in->size && in->bytes[next] == '\r')
        next++;
      if (next >= in->size)
        {
          c->head_scanned = (size_t)(lf - in->bytes);
          c->head_lines--;
          return 0;
        }
      if (in->bytes[next] == '\n')
        return next + 1;
      at = (size_t)(lf - in->bytes) + 1;
    }
  c->head_scanned = in->size;
  return 0;
}

static bool
check_head (struct httpd_conn *c)
{
  size_t max = c->d->max_head > 0 ? c->d->max_head : H2O_MAX_REQLEN;
  size_t size;

  if (c->head_complete)
    return true;
  size = find_head_end (c);
  c->head_complete = size > 0;
  if ((size > 0 ? size : c->sock->input->size) > max)
    return false;
  if (size > 0 && !c->head_seen && httpd_fields_are_many (c))
    httpd_fields_move (c, size);
  return true;
}

/** Whether h2o may see what has been received.  It gets complete heads only:
    it refuses an incomplete one with many fields, and remembers how much of an
    incomplete one it has parsed, so that none may be moved then. */
static bool
is_for_h2o (const struct httpd_conn *c)
{
  return c->head_complete || c->head_seen;
}

/** The first bytes of a request were received.
    @param seen  h2o has parsed what the input holds */
static void
begin_request (struct httpd_conn *c, bool seen)
{
  c->receiving_since = clk_now ();
  c->received = 0;
  c->head_complete = false;
  c->head_seen = seen;
  c->head_scanned = 0;
  c->head_lines = 0;
}

/** @retval false  the request was refused */
static bool
accept_bytes (struct httpd_conn *c)
{
  if (c->receiving_since == 0)
    begin_request (c, c->sock->input->size > c->sock->bytes_read);
  c->received += c->sock->bytes_read;
  if (!check_head (c))
    {
      refuse (c, 431, true);
      return false;
    }
  if (c->d->max_input == 0)
    return true;
  set_counted (c, c->sock->input->size);
  return make_room (c);
}

/** h2o has processed the bytes and has removed those that it does not need. */
static void
on_processed (struct httpd_conn *c)
{
  size_t size = c->sock->input->size;

  if (c->open > 0)
    {
      /* The body is counted until the request ends. */
      unlink_input (c);
      return;
    }
  if (size == 0)
    httpd_input_reset (c);
  else
    {
      /* A request that was sent ahead: h2o has parsed its beginning. */
      if (c->receiving_since == 0)
        begin_request (c, true);
      if (c->d->max_input > 0)
        set_counted (c, size);
      if (!h2o_linklist_is_linked (&c->input_link))
        h2o_linklist_insert (&c->d->receiving, &c->input_link);
      start_sweep (c->d);
    }
  httpd_input_attach_soon (c);
}

static void
on_read (h2o_socket_t *sock, const char *err)
{
  struct httpd_conn *c = sock->on_close.data; /* set by accept_next() */

  if (err == NULL && c->refused)
    {
      discard_read (c);
      return;
    }
  if (err == NULL && !accept_bytes (c))
    return;
  if (err != NULL || is_for_h2o (c))
    c->h2o_read (sock, err);
  if (c->sock != NULL && !c->refused)
    on_processed (c);
}

/* --- h2o's callback ---------------------------------------------------- */

/** @retval false  h2o does not read from the connection at present */
static bool
attach (struct httpd_conn *c)
{
  h2o_socket_cb cb = c->sock->_cb.read;

  if (cb == NULL)
    return false;
  if (cb != on_read)
    {
      c->h2o_read = cb;
      h2o_socket_read_start (c->sock, on_read);
    }
  return true;
}

void
httpd_input_attach_soon (struct httpd_conn *c)
{
  if (c->sock != NULL && c->sock->_cb.read == on_read)
    return;
  if (!h2o_linklist_is_linked (&c->attach_link))
    h2o_linklist_insert (&c->d->unattached, &c->attach_link);
}

/** Before the loop waits for events: h2o has started to read from these
    connections, or will after a write. */
static void
on_prepare (uv_prepare_t *p)
{
  struct httpd *d = p->data;
  h2o_linklist_t *next;

  for (h2o_linklist_t *l = d->unattached.next; l != &d->unattached; l = next)
    {
      struct httpd_conn *c
          = H2O_STRUCT_FROM_MEMBER (struct httpd_conn, attach_link, l);
      next = l->next;
      /* While a request is open h2o doesn't read; its end adds the connection
         again. */
      if (c->sock == NULL || c->open > 0 || attach (c))
        h2o_linklist_unlink (l);
    }
}

/* --- time limits ------------------------------------------------------- */

static void
check_receiving (struct httpd *d, clk_ms now)
{
  h2o_linklist_t *next;

  for (h2o_linklist_t *l = d->receiving.next; l != &d->receiving; l = next)
    {
      struct httpd_conn *c = from_input_link (l);
      clk_ms age = now - c->receiving_since;
      next = l->next;
      if (age > REQUEST_MS
          || (d->head_ms > 0 && !c->head_complete && age > d->head_ms))
        refuse (c, 408, true);
    }
}

static void
close_refused (struct httpd *d, clk_ms now)
{
  while (!h2o_linklist_is_empty (&d->refused))
    {
      struct httpd_conn *c = from_input_link (d->refused.next);
      if (now - c->receiving_since <= LINGER_MS)
        break;
      unlink_input (c);
      httpd_conn_shutdown (c, SHUT_RDWR);
    }
}

/** A late sweep shows that this process was paused; callers aren't charged for
    that time. */
static void
excuse_pause (struct httpd *d, clk_ms late)
{
  for (h2o_linklist_t *l = d->receiving.next; l != &d->receiving; l = l->next)
    from_input_link (l)->receiving_since += late;
}

void
httpd_input_sweep (uv_timer_t *t)
{
  struct httpd *d = t->data;
  clk_ms now = clk_now (), since = now - d->last_input_sweep;

  d->last_input_sweep = now;
  if (since > 2 * SWEEP_MS)
    excuse_pause (d, since - SWEEP_MS);
  check_receiving (d, now);
  close_refused (d, now);
  if (d->accept_pending)
    httpd_make_room (d);
  if (h2o_linklist_is_empty (&d->receiving)
      && h2o_linklist_is_empty (&d->refused) && !d->accept_pending)
    uv_timer_stop (t);
}

void
httpd_input_wait (struct httpd *d)
{
  start_sweep (d);
}

void
httpd_input_init (struct httpd *d, uv_loop_t *loop)
{
  h2o_linklist_init_anchor (&d->receiving);
  h2o_linklist_init_anchor (&d->refused);
  h2o_linklist_init_anchor (&d->unattached);
  uv_timer_init (loop, &d->input_sweep);
  d->input_sweep.data = d;
  uv_unref ((uv_handle_t *)&d->input_sweep);
  uv_prepare_init (loop, &d->attach);
  d->attach.data = d;
  uv_prepare_start (&d->attach, on_prepare);
  uv_unref ((uv_handle_t *)&d->attach);
}

void
httpd_input_forget (struct httpd_conn *c)
{
  httpd_input_reset (c);
  if (h2o_linklist_is_linked (&c->attach_link))
    h2o_linklist_unlink (&c->attach_link);
}
