/*
 * From a failed request's id to its cause, by the lines that the node wrote
 * and by nothing else: the walks of docs/OPERATIONS.md.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-rack.h"

TestSuite (walk, .fini = proc_stop_all, .timeout = 90);

/** The last line of node @p n that holds both texts, or NULL. */
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

/** The node's lines are complete once it has ended. */
static void
end_node (const struct rack *r, int n)
{
  proc_signal (r->node[n], SIGKILL);
  proc_wait (r->node[n], PROC_WAIT_MS);
}

static const char *
expect_line (const struct rack *r, int n, const char *a, const char *b)
{
  const char *line = find_line (r, n, a, b);

  cr_assert_not_null (line, "no line with %s and %s", a, b);
  return line;
}

static void
expect_text (const char *line, const char *text)
{
  cr_expect_not_null (strstr (line, text), "no %s in: %s", text, line);
}

/*
 * A caller was refused though servers are there.  Its line says that no place
 * was known, and the last line on places before it that the model has none:
 * a member of its only replica leaves, and no spare is left.
 */
Test (walk, refused_while_servers_are_there)
{
  struct rack r;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"e4\", \"dead\": true}");
  rack_set (&r, "{\"server\": \"e3\", \"dead\": true}");
  cr_assert (rack_until (&r, 0, "/stream/x", rack_headers ("walk-1"), 503));
  end_node (&r, 0);
  const char *line = expect_line (&r, 0, "request_failed", "id=\"walk-1\"");
  expect_text (line, "code=\"no-server\"");
  line = expect_line (&r, 0, "servers_changed", "places=");
  expect_text (line, "app=2");
  cr_expect_null (strstr (line, "big=1"));
}

/*
 * A stream was cut.  Its lines name the servers of both attempts and how each
 * was lost.
 */
Test (walk, a_stream_that_was_cut)
{
  struct rack r;
  struct buf body = BUF_INIT;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"e1\", \"cut_after\": 3}");
  rack_set (&r, "{\"server\": \"e2\", \"cut_after\": 3}");
  rack_set (&r, "{\"server\": \"e3\", \"cut_after\": 3}");
  rack_set (&r, "{\"server\": \"e4\", \"cut_after\": 3}");
  cr_expect_lt (rack_stream (&r, 0, "walk-2", &body), 0);
  end_node (&r, 0);
  const char *line = expect_line (&r, 0, "request_ended", "id=\"walk-2\"");
  expect_text (line, "status=200");
  expect_text (line, "code=\"broken\"");
  line = expect_line (&r, 0, "attempt_lost", "id=\"walk-2\"");
  expect_text (line, "why=\"broken\"");
  expect_text (line, "passed=1");
  buf_free (&body);
}

/*
 * A call's outcome is not known.  Its line says that it was given to one
 * server, which one, and that no answer came to the deadline.
 */
Test (walk, a_call_whose_outcome_is_unknown)
{
  struct rack r;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"p1\", \"dark\": true}");
  rack_set (&r, "{\"server\": \"p2\", \"dark\": true}");
  cr_expect_eq (rack_call (&r, 0, "/once/x", "walk-3", NULL, NULL), 504);
  end_node (&r, 0);
  const char *line = expect_line (&r, 0, "request_ended", "id=\"walk-3\"");
  expect_text (line, "code=\"deadline\"");
  expect_text (line, "attempts=1");
  expect_text (line, "servers=\"p");
  expect_text (line, "first_ms=0");
}
