#include "t/lib-clients.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define TICK_MS 10
#define ORDINARY_INTERVAL_MS 100
/** Connections opened in one tick. */
#define OPENED_AT_ONCE 100
/** Send buffer of a client.  The default would let each one place megabytes in
    the kernel of this machine. */
#define SEND_BUFFER 65536
/** Repetitions of a crowd's unit that are sent with one call. */
#define RUN_BYTES 65536

struct client
{
  int fd;    /* -1: closed */
  bool done; /* closed, or has sent everything */
  size_t sent;
  clk_ms next_at;
};

struct player
{
  const struct clients_crowd *crowd;
  struct sockaddr_in to;
  struct clients_report report;
  struct client clients[CLIENTS_MAX];
  struct pollfd polls[CLIENTS_MAX];
  size_t prefix, unit, suffix; /* lengths */
  char *run;                   /* repetitions of the unit */
  size_t run_len;
};

/* --- ordinary requests -------------------------------------------------- */

struct ordinary
{
  const struct rack *r;
  atomic_bool stop;
  int sent, answered;
  clk_ms slowest;
};

static void *
send_ordinary (void *ctx)
{
  struct ordinary *o = ctx;
  clk_ms max
      = proc_is_sanitized () ? CLIENTS_ANSWER_SANITIZED_MS : CLIENTS_ANSWER_MS;
  char id[24];

  while (!atomic_load (&o->stop))
    {
      clk_ms start = clk_now (), took;
      snprintf (id, sizeof id, "ordinary%d", o->sent++);
      int status = rack_call (o->r, 0, "/safe/x", id, NULL, NULL);
      took = clk_now () - start;
      o->answered += status == 200 && took <= max;
      if (status != 200 || took > max)
        fprintf (stderr, "ordinary request %d: status %d after %lld ms\n",
                 o->sent, status, (long long)took);
      o->slowest = took > o->slowest ? took : o->slowest;
      if (took < ORDINARY_INTERVAL_MS)
        usleep ((useconds_t)(ORDINARY_INTERVAL_MS - took) * 1000);
    }
  return NULL;
}

/* --- a crowd ------------------------------------------------------------ */

static void
set_address (struct sockaddr_in *sa, const char *addr)
{
  char host[64];
  unsigned port;

  cr_assert_eq (sscanf (addr, "%63[^:]:%u", host, &port), 2);
  *sa = (struct sockaddr_in){ .sin_family = AF_INET,
                              .sin_port = htons ((uint16_t)port) };
  cr_assert_eq (inet_pton (AF_INET, host, &sa->sin_addr), 1);
}

static void
client_close (struct client *c)
{
  close (c->fd);
  c->fd = -1;
  c->done = true;
}

static void
client_open (struct player *p, struct client *c)
{
  const int size = SEND_BUFFER;

  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  cr_assert_geq (c->fd, 0, "socket: %s", strerror (errno));
  setsockopt (c->fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  c->sent = 0;
  c->done = false;
  c->next_at = 0;
  p->report.opened++;
  if (connect (c->fd, (struct sockaddr *)&p->to, sizeof p->to) != 0
      && errno != EINPROGRESS)
    client_close (c);
}

static size_t
sum_bytes (const struct player *p)
{
  const struct clients_bytes *b = &p->crowd->bytes;

  if (b->count == SIZE_MAX)
    return SIZE_MAX;
  return p->prefix + p->unit * b->count + p->suffix - p->crowd->withheld;
}

/** The bytes from position @p at on, as many as can be sent with one call. */
static struct str
bytes_at (const struct player *p, size_t at)
{
  const struct clients_bytes *b = &p->crowd->bytes;
  size_t units = b->count == SIZE_MAX ? SIZE_MAX : p->unit * b->count;
  struct str s;

  if (at < p->prefix)
    s = str_make (b->prefix + at, p->prefix - at);
  else if (at - p->prefix < units)
    {
      size_t in_units = at - p->prefix, skip = in_units % p->unit;
      s = str_head (str_make (p->run + skip, p->run_len - skip),
                    units - in_units);
    }
  else
    s = str_skip (str_make (b->suffix, p->suffix), at - p->prefix - units);
  s = str_head (s, sum_bytes (p) - at);
  return p->crowd->piece ? str_head (s, p->crowd->piece) : s;
}

static bool
client_send (struct player *p, struct client *c, clk_ms now)
{
  size_t all = sum_bytes (p);
  size_t max = p->crowd->total_max ? p->crowd->total_max : CLIENTS_BYTES_MAX;

  while (c->sent < all && now >= c->next_at && p->report.bytes < max)
    {
      struct str s = bytes_at (p, c->sent);
      ssize_t n = send (c->fd, s.ptr, s.len, MSG_NOSIGNAL);
      if (n < 0)
        return errno == EAGAIN || errno == ENOTCONN || errno == EINTR;
      c->sent += (size_t)n;
      p->report.bytes += (size_t)n;
      if (p->crowd->piece)
        c->next_at = now + p->crowd->piece_ms;
    }
  return true;
}

static void
count_response (struct player *p, const char *text, ssize_t n)
{
  if (n < 12 || strncmp (text, "HTTP/1.1 ", 9) != 0)
    return;
  if (text[9] == '2')
    p->report.served++;
  else
    p->report.refused++;
}

/** Reads once; false if the connection has ended. */
static bool
client_read (struct player *p, struct client *c)
{
  char text[4096];
  ssize_t n = recv (c->fd, text, sizeof text - 1, 0);

  if (n > 0)
    count_response (p, text, n);
  return n > 0 || (n < 0 && errno == EAGAIN);
}

static void
client_step (struct player *p, struct client *c, short events, clk_ms now)
{
  bool open = true;

  if ((events & POLLIN) && p->crowd->reads)
    open = client_read (p, c);
  if (open && (events & (POLLERR | POLLHUP)))
    open = false;
  if (open)
    open = client_send (p, c, now);
  if (!open)
    {
      p->report.closed++;
      client_close (c);
    }
  else if (p->crowd->reconnects && (events & POLLIN)
           && c->sent == sum_bytes (p))
    client_close (c);
}

static void
open_clients (struct player *p)
{
  int opened = 0;

  for (size_t i = 0; i < p->crowd->clients && opened < OPENED_AT_ONCE; i++)
    if (p->clients[i].fd < 0 && (!p->clients[i].done || p->crowd->reconnects))
      {
        client_open (p, &p->clients[i]);
        opened++;
      }
}

static short
events_of (const struct player *p, const struct client *c, clk_ms now)
{
  short events = p->crowd->reads ? POLLIN : 0;

  if (c->sent < sum_bytes (p) && now >= c->next_at)
    events |= POLLOUT;
  return events;
}

static void
step (struct player *p)
{
  clk_ms now = clk_now ();
  size_t n = p->crowd->clients;

  open_clients (p);
  for (size_t i = 0; i < n; i++)
    p->polls[i]
        = (struct pollfd){ .fd = p->clients[i].fd,
                           .events = events_of (p, &p->clients[i], now) };
  if (poll (p->polls, n, TICK_MS) <= 0)
    return;
  for (size_t i = 0; i < n; i++)
    if (p->clients[i].fd >= 0 && p->polls[i].revents)
      client_step (p, &p->clients[i], p->polls[i].revents, now);
}

static void
player_init (struct player *p, const char *addr,
             const struct clients_crowd *crowd)
{
  size_t times;

  cr_assert_leq (crowd->clients, CLIENTS_MAX);
  p->crowd = crowd;
  set_address (&p->to, addr);
  p->prefix = strlen (crowd->bytes.prefix);
  p->unit = strlen (crowd->bytes.unit);
  p->suffix = strlen (crowd->bytes.suffix);
  times = RUN_BYTES / p->unit + 1;
  p->run_len = times * p->unit;
  p->run = xmalloc (p->run_len);
  for (size_t i = 0; i < times; i++)
    memcpy (p->run + i * p->unit, crowd->bytes.unit, p->unit);
  for (size_t i = 0; i < crowd->clients; i++)
    p->clients[i].fd = -1;
}

static void
print_report (const struct clients_crowd *crowd,
              const struct clients_report *o)
{
  fprintf (stderr,
           "%s: %zu connections, %zu closed by the node, %zu served, %zu "
           "refused, %zu kB sent; memory %ld kB in calm, %ld kB at most%s; "
           "ordinary requests: %d of %d answered, slowest %lld ms\n",
           crowd->name, o->opened, o->closed, o->served, o->refused,
           o->bytes / 1000, o->calm_kb, o->peak_kb,
           o->over ? ", over the limit" : "", o->answered, o->sent,
           (long long)o->slowest);
}

struct clients_report
clients_play (const struct rack *r, const char *addr,
              const struct clients_crowd *crowd, clk_ms ms, long max_kb)
{
  struct player *p = xcalloc (1, sizeof *p);
  struct ordinary o = { .r = r };
  clk_ms until = clk_now () + ms;
  struct clients_report report;
  pthread_t thread;

  player_init (p, addr, crowd);
  p->report.calm_kb = proc_memory_kb (r->node[0]);
  pthread_create (&thread, NULL, send_ordinary, &o);
  while (clk_now () < until && !p->report.over)
    {
      step (p);
      long kb = proc_memory_kb (r->node[0]);
      p->report.peak_kb = kb > p->report.peak_kb ? kb : p->report.peak_kb;
      if (kb > max_kb)
        {
          p->report.over = true;
          proc_signal (r->node[0], SIGKILL);
        }
    }
  atomic_store (&o.stop, true);
  pthread_join (thread, NULL);
  for (size_t i = 0; i < crowd->clients; i++)
    if (p->clients[i].fd >= 0)
      close (p->clients[i].fd);
  p->report.sent = o.sent;
  p->report.answered = o.answered;
  p->report.slowest = o.slowest;
  print_report (crowd, &p->report);
  report = p->report;
  free (p->run);
  free (p);
  return report;
}

int
clients_call (const char *addr, const struct clients_bytes *bytes,
              struct buf *body)
{
  struct buf text = BUF_INIT;
  struct web_stream *w;
  int status;

  buf_add_c (&text, bytes->prefix);
  for (size_t i = 0; i < bytes->count; i++)
    buf_add_c (&text, bytes->unit);
  buf_add_c (&text, bytes->suffix);
  w = web_connect (addr, buf_c (&text));
  buf_free (&text);
  if (!w)
    return 0;
  status = web_status (w, PROC_WAIT_MS);
  while (status && web_read (w, body, PROC_WAIT_MS) == WEB_BYTES)
    ;
  web_close (w);
  return status;
}
