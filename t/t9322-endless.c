/*
 * Servers that send bytes without end, which are no response, with real
 * processes.  t2001 has the same for heads and for each form of a body.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (endless, .fini = proc_stop_all, .timeout = 120);

#define REQUESTS 12
/** Bytes that a server may have sent when its node closes the connection: the
    node's largest limit, 8 MB, and what the kernel buffers at both ends. */
#define SENT_MAX (24 * 1024 * 1024)
/** The requests' time is 20 s; a response without end is to be given up long
    before. */
#define GIVEN_UP_MS ((clk_ms)5000)

static struct rack r;

static void
set_endless (const char *server, const char *text)
{
  rack_set (&r, "{\"server\": \"%s\", \"endless\": \"%s\"}", server, text);
}

static void
set_engines (const char *text)
{
  char id[8];

  for (int i = 1; i <= 4; i++)
    {
      snprintf (id, sizeof id, "e%d", i);
      set_endless (id, text);
    }
}

static void
expect_bounded (const char *prefix, int n)
{
  char id[8];
  int most = 0;

  for (int i = 1; i <= n; i++)
    {
      snprintf (id, sizeof id, "%s%d", prefix, i);
      int sent = rack_get_count (&r, id, "endless_max");
      cr_expect_lt (sent, SENT_MAX, "%s sent %d bytes", id, sent);
      most = sent > most ? sent : most;
    }
  cr_expect_gt (most, 0, "no response without end was sent");
}

/* Guards against a node that buffers a plain response without end; another
   server runs the request. */
Test (endless, plain_response)
{
  rack_start_all (&r, 4);
  cr_assert (rack_call_until (&r, 0, "/safe/x", rack_headers ("warm"), 200));
  set_endless ("p1", "no response ");
  for (int i = 0; i < REQUESTS; i++)
    cr_expect_eq (rack_call (&r, 0, "/safe/x", "safe", NULL, NULL), 200);
  expect_bounded ("p", 2);
}

/** Streams whose only replica sends two events and then text without end. */
static void
expect_stream_cut (const char *text)
{
  clk_ms start;

  rack_start_all (&r, 4);
  set_engines (text);
  start = clk_now ();
  for (int i = 0; i < REQUESTS; i++)
    {
      struct buf body = BUF_INIT;
      cr_expect_neq (rack_stream (&r, 0, "spoilt", &body), 200);
      cr_expect_null (strstr (buf_c (&body), "no event"), "%.80s",
                      buf_c (&body));
      buf_free (&body);
    }
  cr_expect_lt (clk_now () - start, REQUESTS * GIVEN_UP_MS);
  expect_bounded ("e", 4);
  set_engines ("");
  cr_expect (rack_call_until (&r, 0, "/stream/x", rack_headers (""), 200));
}

/* Guards against a node that buffers an event without end. */
Test (endless, event) { expect_stream_cut ("no event "); }

/* Guards against forwarding lines that are no events, and that end as events
   do. */
Test (endless, lines_that_are_no_events)
{
  expect_stream_cut ("no event\\n\\n");
}

/* Guards against a node that buffers events for a client that doesn't read. */
Test (endless, client_that_reads_nothing)
{
  struct web_stream *w;

  rack_start_all (&r, 4);
  set_engines (": comment\\n\\n");
  w = web_open (r.front[0], "POST", "/stream/x", rack_headers ("slow"), "x");
  usleep ((useconds_t)GIVEN_UP_MS * 1000);
  expect_bounded ("e", 4);
  web_close (w);
  set_engines ("");
}
