/*
 * Clients that wait to be accepted, and that leave before their request was
 * read, with real processes.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (left, .fini = proc_stop_all, .timeout = 120);

/** Client connections that a node accepts with the descriptors that
    lib-rack.h gives it. */
#define MAX_CONNECTIONS 500
#define CLIENTS 20
/** Longer than a node needs to read and send what it has accepted. */
#define SETTLE_MS 1500

/** Sends requests that are not read, and closes their connections. */
static void
send_and_leave (const struct rack *r)
{
  struct web_stream *w[CLIENTS];
  char id[16];

  for (int i = 0; i < CLIENTS; i++)
    {
      snprintf (id, sizeof id, "left%d", i);
      w[i] = web_open (r->front[0], "POST", "/safe/x", rack_headers (id), "x");
      cr_assert_not_null (w[i]);
    }
  for (int i = 0; i < CLIENTS; i++)
    web_close (w[i]);
}

static void
expect_none_sent (const struct rack *r)
{
  struct web_answer a;

  usleep (SETTLE_MS * 1000);
  web_call (r->platform_addr, "GET", "/control/runs", NULL, NULL, &a);
  cr_expect_null (strstr (buf_c (&a.body), "\"left"), "%s", buf_c (&a.body));
  web_free (&a);
  cr_expect (rack_call_until (r, 0, "/safe/x", rack_headers ("next"), 200));
}

/** Part of a body.  At the rate below which a request gives way to others,
    64 kB/s, it would take over two seconds. */
#define PART_BYTES 150000
#define MEMORY_MB 1000 /**< an eighth is more than all parts */
#define MAX_FDS 2000   /**< as by default: MAX_CONNECTIONS */

/* Guards against sending requests of clients that left while they waited to be
   accepted: other clients' requests are being received at a usual rate. */
Test (left, requests_not_accepted_in_time_are_not_sent)
{
  struct web_stream *w[MAX_CONNECTIONS];
  struct buf part = BUF_INIT;
  struct rack r;

  rack_set_machine (MEMORY_MB, MAX_FDS);
  rack_set_limits ("\"max_body_bytes\": 4000000", "");
  rack_start_all (&r, 4);
  buf_add_c (&part,
             "POST /safe/x HTTP/1.1\r\ncontent-length: 4000000\r\n\r\n");
  for (int i = 0; i < PART_BYTES; i++)
    buf_add_char (&part, 'x');
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    {
      w[i] = web_connect (r.front[0], buf_c (&part));
      cr_assert_not_null (w[i]);
    }
  buf_free (&part);
  usleep (500000);
  send_and_leave (&r);
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    web_close (w[i]);
  expect_none_sent (&r);
}

/* Guards against sending requests of clients that left while the node was
   suspended. */
Test (left, requests_to_a_suspended_node_are_not_sent)
{
  struct rack r;

  rack_start_all (&r, 4);
  proc_signal (r.node[0], SIGSTOP);
  send_and_leave (&r);
  usleep (1000000);
  proc_signal (r.node[0], SIGCONT);
  expect_none_sent (&r);
}

/** An eighth of the shortest deadline of the configuration. */
#define ACCEPT_MS ((clk_ms)1000)

/* Guards against a node whose idle connections keep clients with a request
   waiting. */
Test (left, idle_connections_do_not_keep_clients_waiting)
{
  struct web_stream *w[MAX_CONNECTIONS];
  struct rack r;
  clk_ms start;

  rack_start_all (&r, 4);
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    cr_assert_not_null (w[i] = web_connect (r.front[0], ""));
  usleep (500000);
  start = clk_now ();
  for (int i = 0; i < CLIENTS; i++)
    cr_expect_eq (rack_call (&r, 0, "/safe/x", "late", NULL, NULL), 200);
  cr_expect_lt (clk_now () - start, ACCEPT_MS, "%d requests took %lld ms",
                CLIENTS, (long long)(clk_now () - start));
  for (int i = 0; i < MAX_CONNECTIONS; i++)
    web_close (w[i]);
}
