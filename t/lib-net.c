#include "t/lib-net.h"

#include <criterion/criterion.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define RUN_TIMEOUT_MS (10 * CLK_SECOND)

void
run_init (struct run *r)
{
  memset (r, 0, sizeof *r);
  cr_assert_eq (uv_loop_init (&r->loop), 0);
}

void
run_log (struct run *r, const char *fmt, ...)
{
  char line[512];
  va_list ap;

  va_start (ap, fmt);
  vsnprintf (line, sizeof line, fmt, ap);
  va_end (ap);
  buf_add_c (&r->log, line);
  buf_add_char (&r->log, '\n');
}

/* Searches the log for the line, from the last match on; moves the match
   position past it. */
static bool
has_line (struct run *r, struct str line)
{
  struct str left = str_skip (buf_str (&r->log), r->matched_end);

  while (left.len > 0)
    {
      size_t end = str_chr (left, '\n');
      bool found = str_eq (str_head (left, end), line);
      left = str_skip (left, end + 1);
      if (found)
        {
          r->matched_end = r->log.len - left.len;
          return true;
        }
    }
  return false;
}

static void
on_timeout (uv_timer_t *t)
{
  *(bool *)t->data = true;
}

static void
on_timer_closed (uv_handle_t *h)
{
  *(bool *)h->data = true;
}

void
run_until (struct run *r, struct str line)
{
  uv_timer_t timer;
  bool timed_out = false, closed = false, found;

  uv_update_time (&r->loop);
  uv_timer_init (&r->loop, &timer);
  timer.data = &timed_out;
  uv_timer_start (&timer, on_timeout, RUN_TIMEOUT_MS, 0);
  while (!(found = has_line (r, line)) && !timed_out)
    uv_run (&r->loop, UV_RUN_ONCE);
  timer.data = &closed;
  uv_close ((uv_handle_t *)&timer, on_timer_closed);
  while (!closed)
    uv_run (&r->loop, UV_RUN_NOWAIT);
  cr_assert (found, "line '%.*s' not found in log:\n%s", STR_ARG (line),
             buf_c (&r->log));
}

void
run_poll (struct run *r)
{
  for (int i = 0; i < 20; i++)
    uv_run (&r->loop, UV_RUN_NOWAIT);
}

void
run_script (struct run *r, const char *script, run_fn fn, void *ctx)
{
  struct str left = str_from (script);

  while (left.len > 0)
    {
      size_t end = str_chr (left, '\n');
      struct str line = str_trim (str_head (left, end));
      size_t space = str_chr (line, ' ');
      struct str word = str_head (line, space);
      struct str rest = str_trim (str_skip (line, space));
      left = str_skip (left, end + 1);
      if (line.len == 0)
        continue;
      if (str_is (word, "wait"))
        run_until (r, rest);
      else
        fn (ctx, word, rest);
    }
}

void
run_end (struct run *r, const char *expected)
{
  cr_expect_str_eq (buf_c (&r->log), expected, "log:\n%s\nexpected:\n%s",
                    buf_c (&r->log), expected);
  uv_run (&r->loop, UV_RUN_DEFAULT);
  cr_expect_eq (uv_loop_close (&r->loop), 0,
                "the event loop still has open handles");
  buf_free (&r->log);
}

struct net_addr
run_any_loopback (void)
{
  struct net_addr a = { "127.0.0.1", 0 };

  return a;
}

struct net_addr
run_listen (struct run *r, uv_tcp_t *tcp, uv_connection_cb cb, void *data)
{
  struct net_addr at = run_any_loopback ();
  struct sockaddr_storage ss;
  int len = sizeof ss;

  net_addr_sockaddr (&at, &ss);
  uv_tcp_init (&r->loop, tcp);
  tcp->data = data;
  uv_tcp_bind (tcp, (struct sockaddr *)&ss, 0);
  cr_assert_eq (uv_listen ((uv_stream_t *)tcp, 16, cb), 0);
  uv_tcp_getsockname (tcp, (struct sockaddr *)&ss, &len);
  at.port = ntohs (((struct sockaddr_in *)&ss)->sin_port);
  return at;
}

static void
start_accepting (uv_timer_t *t)
{
  struct run_full_backlog *backlog = t->data;

  cr_assert_eq (uv_listen ((uv_stream_t *)&backlog->tcp, 16, backlog->cb), 0);
}

struct net_addr
run_full_backlog_start (struct run *r, struct run_full_backlog *backlog,
                        uint64_t ms, uv_connection_cb cb, void *data)
{
  struct net_addr at = run_any_loopback ();
  struct sockaddr_storage ss;
  struct sockaddr *sa = (struct sockaddr *)&ss;
  socklen_t len = sizeof (struct sockaddr_in);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  net_addr_sockaddr (&at, &ss);
  cr_assert_eq (bind (fd, sa, len), 0);
  cr_assert_eq (listen (fd, 0), 0);
  cr_assert_eq (getsockname (fd, sa, &len), 0);
  at.port = ntohs (((struct sockaddr_in *)&ss)->sin_port);
  backlog->filler_fd = socket (AF_INET, SOCK_STREAM, 0);
  cr_assert_eq (connect (backlog->filler_fd, sa, len), 0);
  backlog->cb = cb;
  uv_tcp_init (&r->loop, &backlog->tcp);
  backlog->tcp.data = data;
  uv_tcp_open (&backlog->tcp, fd);
  uv_timer_init (&r->loop, &backlog->accept_timer);
  backlog->accept_timer.data = backlog;
  uv_timer_start (&backlog->accept_timer, start_accepting, ms, 0);
  return at;
}

void
run_full_backlog_stop (struct run_full_backlog *backlog)
{
  if (backlog->filler_fd == 0)
    return;
  close (backlog->filler_fd);
  uv_close ((uv_handle_t *)&backlog->tcp, NULL);
  uv_close ((uv_handle_t *)&backlog->accept_timer, NULL);
}

void
run_connect (struct run *r, uv_tcp_t *tcp, const struct net_addr *to,
             uv_connect_t *req, uv_connect_cb cb, void *data)
{
  struct sockaddr_storage ss;

  net_addr_sockaddr (to, &ss);
  req->data = data;
  cr_assert_eq (uv_tcp_connect (req, tcp, (struct sockaddr *)&ss, cb), 0);
}

static void
on_alloc (uv_handle_t *h, size_t n, uv_buf_t *out)
{
  static char bytes[65536];

  *out = uv_buf_init (bytes, sizeof bytes);
}

void
run_read (uv_tcp_t *tcp, uv_read_cb cb)
{
  uv_read_start ((uv_stream_t *)tcp, on_alloc, cb);
}

struct write_req
{
  uv_write_t req; /* first */
  char bytes[];
};

static void
on_written (uv_write_t *req, int status)
{
  free (req);
}

void
run_write (uv_tcp_t *tcp, struct str bytes)
{
  struct write_req *w = xmalloc (sizeof *w + bytes.len);
  uv_buf_t b = uv_buf_init (w->bytes, (unsigned)bytes.len);

  if (bytes.len > 0)
    memcpy (w->bytes, bytes.ptr, bytes.len);
  if (bytes.len == 0
      || uv_write (&w->req, (uv_stream_t *)tcp, &b, 1, on_written) != 0)
    free (w);
}

const char *
run_call_end_name (enum httpc_end end)
{
  static const char *const names[]
      = { "whole",  "connect-failed", "stopped",  "broken",
          "silent", "too-large",      "unbounded" };

  return names[end];
}
