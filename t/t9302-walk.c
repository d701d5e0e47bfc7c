/*
 * Finds the cause of a failed request by its id from the node's log alone,
 * following the procedures of docs/OPERATIONS.md.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-rack.h"

TestSuite (diagnosis, .fini = proc_stop_all, .timeout = 90);

/** Last log line of node @p n that contains both texts, or NULL. */
static const char *
find_line (const struct rack *r, int n, const char *a, const char *b)
{
  static char line[1024];
  struct str out = proc_output (r->node[n]);
  bool found = false;

  while (out.len > 0)
    {
      size_t end = str_chr (out, '\n');
      char text[1024];
      snprintf (text, sizeof text, "%.*s", STR_ARG (str_head (out, end)));
      if (strstr (text, a) && strstr (text, b))
        {
          memcpy (line, text, sizeof line);
          found = true;
        }
      out = str_skip (out, end + 1);
    }
  return found ? line : NULL;
}

/** Kills the node, so that its log is complete. */
static void
kill_node (const struct rack *r, int n)
{
  proc_signal (r->node[n], SIGKILL);
  proc_wait (r->node[n], PROC_WAIT_MS);
}

static const char *
expect_line (const struct rack *r, int n, const char *a, const char *b)
{
  const char *line = find_line (r, n, a, b);

  cr_assert_not_null (line, "no log line contains %s and %s", a, b);
  return line;
}

static void
expect_text (const char *line, const char *text)
{
  cr_expect_not_null (strstr (line, text), "%s is missing in: %s", text, line);
}

/*
 * A request is refused although servers are running: a member of the only
 * replica dies and there is no spare. The request's line has the code
 * no-server, and the last line with endpoint counts before it lists none for
 * the model.
 */
Test (diagnosis, refused_without_complete_replica)
{
  struct rack r;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"e4\", \"dead\": true}");
  rack_set (&r, "{\"server\": \"e3\", \"dead\": true}");
  cr_assert (
      rack_call_until (&r, 0, "/stream/x", rack_headers ("walk-1"), 503));
  kill_node (&r, 0);
  const char *line = expect_line (&r, 0, "request_failed", "id=\"walk-1\"");
  expect_text (line, "code=\"no-server\"");
  line = expect_line (&r, 0, "servers_changed", "places=");
  expect_text (line, "app=2");
  cr_expect_null (strstr (line, "big=1"));
}

/*
 * A stream is truncated. The log lines name the servers of both attempts and
 * the reason each one was lost.
 */
Test (diagnosis, truncated_stream)
{
  struct rack r;
  struct buf body = BUF_INIT;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"e1\", \"cut_after\": 3}");
  rack_set (&r, "{\"server\": \"e2\", \"cut_after\": 3}");
  rack_set (&r, "{\"server\": \"e3\", \"cut_after\": 3}");
  rack_set (&r, "{\"server\": \"e4\", \"cut_after\": 3}");
  cr_expect_lt (rack_stream (&r, 0,
                             "walk-2\r\nX-Lapisline-Prompt-Prefix: "
                             "5c1e07a2:800,91:410,e4402b7d:250",
                             &body),
                0);
  kill_node (&r, 0);
  const char *line = expect_line (&r, 0, "request_ended", "id=\"walk-2\"");
  expect_text (line, "status=200");
  expect_text (line, "code=\"broken\"");
  line = expect_line (&r, 0, "attempt_lost", "id=\"walk-2\"");
  expect_text (line, "why=\"broken\"");
  expect_text (line, "parts=\"5c1e07a2 91\"");
  expect_text (line, "passed=1");
  buf_free (&body);
}

/*
 * The outcome of a call is unknown. Its line names the only server that
 * received it and the expired deadline.
 */
Test (diagnosis, call_with_unknown_outcome)
{
  struct rack r;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"p1\", \"dark\": true}");
  rack_set (&r, "{\"server\": \"p2\", \"dark\": true}");
  cr_expect_eq (rack_call (&r, 0, "/once/x", "walk-3", NULL, NULL), 504);
  kill_node (&r, 0);
  const char *line = expect_line (&r, 0, "request_ended", "id=\"walk-3\"");
  expect_text (line, "code=\"deadline\"");
  expect_text (line, "attempts=1");
  expect_text (line, "servers=\"p");
  expect_text (line, "first_ms=0");
}
