#include "t/lib-relay.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "base/clock.h"
#include "net/httpc.h"

#define MAX_PAIRS 512

struct pair
{
  int a, b;
  bool blackholed;
  clk_ms held_until; /* no data from b before this */
};

struct relay
{
  int listener[2];
  char addr[2][32];
  struct net_addr to[2];
  struct pair pairs[MAX_PAIRS];
  size_t n;
  atomic_bool blackhole;
  atomic_bool blackholed;
  atomic_bool refuse;
  _Atomic (const char *) delay_text; /* NULL: no request is to be delayed */
  int delay_ms;
};

static void
listen_at (struct relay *r, int i)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t len = sizeof at;

  at.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  r->listener[i] = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  cr_assert_eq (bind (r->listener[i], (struct sockaddr *)&at, len), 0);
  cr_assert_eq (listen (r->listener[i], 64), 0);
  getsockname (r->listener[i], (struct sockaddr *)&at, &len);
  snprintf (r->addr[i], sizeof r->addr[i], "127.0.0.1:%u",
            (unsigned)ntohs (at.sin_port));
}

static void
accept_one (struct relay *r, int i)
{
  struct sockaddr_storage to;
  int a = accept4 (r->listener[i], NULL, NULL, SOCK_CLOEXEC);
  int b = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  net_addr_sockaddr (&r->to[i], &to);
  if (a < 0 || r->n == MAX_PAIRS || atomic_load (&r->refuse)
      || connect (b, (struct sockaddr *)&to, sizeof (struct sockaddr_in)) != 0)
    {
      close (a);
      close (b);
      return;
    }
  r->pairs[r->n++] = (struct pair){ .a = a, .b = b };
}

/** Forwards the data of one side; false once that side has closed. */
static bool
forward_bytes (struct relay *r, struct pair *p, int from, int to)
{
  char bytes[16384];
  ssize_t n = read (from, bytes, sizeof bytes);
  const char *text = atomic_load (&r->delay_text);

  if (p->blackholed)
    return true;
  if (text && from == p->a && n > 0
      && memmem (bytes, (size_t)n, text, strlen (text)))
    {
      p->held_until = clk_now () + r->delay_ms;
      atomic_store (&r->delay_text, NULL);
    }
  for (ssize_t done = 0; done < n;)
    {
      ssize_t w = write (to, bytes + done, (size_t)(n - done));
      if (w <= 0)
        return false;
      done += w;
    }
  return n > 0;
}

static void
forward_pairs (struct relay *r, const struct pollfd *fds)
{
  for (size_t i = r->n; i > 0; i--)
    {
      struct pair *p = &r->pairs[i - 1];
      bool is_open = true;
      if (fds[2 * i].revents)
        is_open = forward_bytes (r, p, p->a, p->b);
      if (is_open && fds[2 * i + 1].revents && clk_now () >= p->held_until)
        is_open = forward_bytes (r, p, p->b, p->a);
      if (is_open)
        continue;
      close (p->a);
      close (p->b);
      *p = r->pairs[--r->n];
    }
}

static void
close_pairs (struct relay *r)
{
  for (; r->n > 0; r->n--)
    {
      close (r->pairs[r->n - 1].a);
      close (r->pairs[r->n - 1].b);
    }
}

static void *
run_relay (void *arg)
{
  struct relay *r = arg;
  static struct pollfd fds[2 + 2 * MAX_PAIRS];

  for (;;)
    {
      size_t n = r->n;
      for (int i = 0; i < 2; i++)
        fds[i] = (struct pollfd){ r->listener[i], POLLIN, 0 };
      for (size_t i = 0; i < n; i++)
        {
          /* Blackholed connections stay open but are no longer polled. */
          short ev = r->pairs[i].blackholed ? 0 : POLLIN;
          int a = ev ? r->pairs[i].a : -1;
          int b = ev && clk_now () >= r->pairs[i].held_until ? r->pairs[i].b
                                                             : -1;
          fds[2 + 2 * i] = (struct pollfd){ a, ev, 0 };
          fds[3 + 2 * i] = (struct pollfd){ b, ev, 0 };
        }
      poll (fds, 2 + 2 * n, 5);
      if (atomic_exchange (&r->blackhole, false))
        {
          for (size_t i = 0; i < r->n; i++)
            r->pairs[i].blackholed = true;
          atomic_store (&r->blackholed, true);
          continue;
        }
      forward_pairs (r, fds);
      if (atomic_load (&r->refuse))
        close_pairs (r);
      for (int i = 0; i < 2; i++)
        if (fds[i].revents)
          accept_one (r, i);
    }
  return NULL;
}

struct relay *
relay_new (const char *to0, const char *to1)
{
  struct relay *r = xcalloc (1, sizeof *r);
  pthread_t thread;

  net_addr_parse (str_from (to0), false, &r->to[0]);
  net_addr_parse (str_from (to1), false, &r->to[1]);
  for (int i = 0; i < 2; i++)
    listen_at (r, i);
  cr_assert_eq (pthread_create (&thread, NULL, run_relay, r), 0);
  pthread_detach (thread);
  return r;
}

const char *
relay_addr (struct relay *r, int which)
{
  return r->addr[which];
}

void
relay_blackhole (struct relay *r)
{
  atomic_store (&r->blackholed, false);
  atomic_store (&r->blackhole, true);
  while (!atomic_load (&r->blackholed))
    usleep (1000);
}

void
relay_delay (struct relay *r, const char *text, int ms)
{
  r->delay_ms = ms;
  atomic_store (&r->delay_text, text);
}

bool
relay_has_delayed (struct relay *r)
{
  return atomic_load (&r->delay_text) == NULL;
}

void
relay_close_connections (struct relay *r)
{
  atomic_store (&r->refuse, true);
}

void
relay_accept_connections (struct relay *r)
{
  atomic_store (&r->refuse, false);
}
