#include "t/lib-net.h"

#include <criterion/criterion.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define RUN_BOUND_MS (10 * CLK_SECOND)

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

/* Whether it was written since the line last waited for; moves past it. */
static bool
has_line (struct run *r, struct str line)
{
  struct str left = str_skip (buf_str (&r->log), r->seen);

  while (left.len > 0)
    {
      size_t end = str_chr (left, '\n');
      bool found = str_eq (str_head (left, end), line);
      left = str_skip (left, end + 1);
      if (found)
        {
          r->seen = r->log.len - left.len;
          return true;
        }
    }
  return false;
}

static void
on_bound (uv_timer_t *t)
{
  *(bool *)t->data = true;
}

static void
on_bound_closed (uv_handle_t *h)
{
  *(bool *)h->data = true;
}

void
run_until (struct run *r, struct str line)
{
  uv_timer_t bound;
  bool late = false, closed = false, found;

  uv_update_time (&r->loop);
  uv_timer_init (&r->loop, &bound);
  bound.data = &late;
  uv_timer_start (&bound, on_bound, RUN_BOUND_MS, 0);
  while (!(found = has_line (r, line)) && !late)
    uv_run (&r->loop, UV_RUN_ONCE);
  bound.data = &closed;
  uv_close ((uv_handle_t *)&bound, on_bound_closed);
  while (!closed)
    uv_run (&r->loop, UV_RUN_NOWAIT);
  cr_assert (found, "no line '%.*s' in:\n%s", STR_ARG (line), buf_c (&r->log));
}

void
run_settle (struct run *r)
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
  cr_expect_eq (uv_loop_close (&r->loop), 0, "handles are left open");
  buf_free (&r->log);
}

struct net_addr
run_any_port (void)
{
  struct net_addr a = { "127.0.0.1", 0 };

  return a;
}
