/*
 * Backend servers that ask for a pause or announce their shutdown, with real
 * processes. The checks use the platform's counts of what reaches each server.
 */
#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (avail, .fini = proc_stop_all, .timeout = 120);

/** Maximum of requests that a node may send to a server in a pause. */
#define MAX_IN_PAUSE 2
#define PAUSE_US 20000

/** Calls nodes in turn, with ids from which the platform tells them apart;
    returns failed calls. */
static int
call_for_duration (const struct rack *r, int nodes, const char *path,
                   clk_ms ms)
{
  clk_ms end = clk_now () + ms;
  static int nrequests;
  char id[24];
  int failures = 0;

  for (; clk_now () < end; usleep (PAUSE_US))
    {
      int node = ++nrequests % nodes;
      snprintf (id, sizeof id, "%d/q%d", node + 1, nrequests);
      failures += rack_call (r, node, path, id, NULL, NULL) != 200;
    }
  return failures;
}

/** The server rejects all requests and asks for a pause of @p s seconds. */
static void
ask_pause (const struct rack *r, const char *server, const char *s)
{
  rack_set (r,
            "{\"server\": \"%s\", \"rejects\": true, \"retry_after\": \"%s\"}",
            server, s);
}

static void
expect_pauses_respected (const struct rack *r, const char *server)
{
  int max = rack_get_count (r, server, "pause_most");

  cr_expect_leq (max, MAX_IN_PAUSE, "%s: %d requests in a pause", server, max);
}

/* Guards against nodes that ignore the Retry-After of a server's rejection. */
Test (avail, server_that_asks_for_a_pause_gets_one)
{
  struct rack r;

  rack_start_all (&r, 4);
  ask_pause (&r, "p1", "3");
  cr_expect_eq (call_for_duration (&r, RACK_NODES, "/safe/x", 8000), 0);
  expect_pauses_respected (&r, "p1");
}

static void
set_flag (const struct rack *r, const char *server, const char *flag)
{
  rack_set (r, "{\"server\": \"%s\", \"%s\": true}", server, flag);
}

/* Guards against clients that wait although all servers have asked for a
   pause, and against a Retry-After that ends before the pauses do. */
Test (avail, all_paused_clients_are_told_at_once)
{
  struct rack r;
  struct web_answer a = { 0 };
  clk_ms paused_at;

  rack_start_all (&r, 4);
  ask_pause (&r, "p1", "3");
  ask_pause (&r, "p2", "3");
  paused_at = clk_now ();
  call_for_duration (&r, RACK_NODES, "/safe/x", 200);
  for (int i = 0; i < 50; i++)
    {
      clk_ms started_at = clk_now (), answered_at, retry_ms;
      web_call (r.front[i % RACK_NODES], "POST", "/safe/x",
                rack_headers ("all"), "hello", &a);
      answered_at = clk_now ();
      cr_expect_eq (a.status, 503);
      cr_expect_lt (answered_at - started_at, 150);
      retry_ms = lround (1000 * atof (web_header (&a, "retry-after").ptr));
      cr_expect_geq (answered_at + retry_ms, paused_at + 3000);
      cr_expect_leq (answered_at + retry_ms, paused_at + 6000);
      web_free (&a);
      usleep (PAUSE_US);
    }
  expect_pauses_respected (&r, "p1");
  expect_pauses_respected (&r, "p2");
}

/* Guards against streams, orders and probes to a replica leader in its pause,
   while members fail and the store is away. */
Test (avail, paused_leaders_get_nothing)
{
  struct rack r;
  char id[8];

  rack_start_all (&r, 8);
  for (int round = 0; round < 3; round++)
    {
      for (int i = 1; i <= 8; i++)
        {
          snprintf (id, sizeof id, "e%d", i);
          ask_pause (&r, id, "1.5");
        }
      call_for_duration (&r, RACK_NODES, "/stream/x", 1000);
      set_flag (&r, round ? "e6" : "e2", "dark");
      rack_set (&r, "{\"store\": {\"silent\": %s}}",
                round == 1 ? "true" : "false");
      call_for_duration (&r, RACK_NODES, "/stream/x", 2500);
      rack_set (&r, "{\"store\": {\"silent\": false}}");
      for (int i = 1; i <= 8; i++)
        rack_set (&r, "{\"server\": \"e%d\", \"rejects\": false}", i);
      cr_expect (
          rack_call_until (&r, 0, "/stream/x", rack_headers ("up"), 200));
    }
  for (int i = 1; i <= 8; i++)
    {
      snprintf (id, sizeof id, "e%d", i);
      expect_pauses_respected (&r, id);
    }
}

/* Guards against requests to a server that has announced its shutdown only in
   its responses; it is listed as ready all the while. */
Test (avail, leaving_server_gets_no_new_requests)
{
  struct rack r;
  int leader = 0;
  char id[8];

  rack_start_all (&r, 8);
  set_flag (&r, "p1", "leaving");
  for (int i = 1; i <= 8 && !leader; i++)
    {
      snprintf (id, sizeof id, "e%d", i);
      leader = rack_get_count (&r, id, "leads") ? i : 0;
    }
  cr_assert (leader);
  set_flag (&r, id, "leaving");
  call_for_duration (&r, RACK_NODES, "/safe/x", 2500);
  call_for_duration (&r, RACK_NODES, "/stream/x", 2500);
  cr_expect_eq (call_for_duration (&r, RACK_NODES, "/safe/x", 1000), 0);
  cr_expect_eq (rack_get_count (&r, "p1", "late_leaving"), 0);
  cr_expect_eq (rack_get_count (&r, id, "late_leaving"), 0);
  cr_expect (rack_call_until (&r, 0, "/stream/x", rack_headers ("up"), 200));
}

/* Guards against a pause or a shutdown that outlasts the server's process. */
Test (avail, announcements_end_with_the_process)
{
  struct rack r;

  rack_start_all (&r, 4);
  ask_pause (&r, "p1", "60");
  set_flag (&r, "p2", "leaving");
  call_for_duration (&r, RACK_NODES, "/safe/x", 1000);
  cr_expect_gt (call_for_duration (&r, RACK_NODES, "/safe/x", 500), 0);
  rack_set (&r, "{\"server\": \"p1\", \"reborn\": true}");
  usleep (1500000);
  cr_expect_eq (call_for_duration (&r, RACK_NODES, "/safe/x", 1000), 0);
}

/* Guards against a fleet that is larger than a full mesh, in which all servers
   ask for pauses again and again. */
Test (avail, many_nodes_and_all_servers)
{
  struct rack r;
  const char *const servers[] = { "p1", "p2", "e1", "e5", "e9", "e13" };

  rack_start_many (&r, 16);
  for (size_t i = 0; i < sizeof servers / sizeof servers[0]; i++)
    ask_pause (&r, servers[i], "1.5");
  call_for_duration (&r, RACK_MANY_NODES, "/safe/x", 5000);
  call_for_duration (&r, RACK_MANY_NODES, "/stream/x", 5000);
  for (size_t i = 0; i < sizeof servers / sizeof servers[0]; i++)
    expect_pauses_respected (&r, servers[i]);
}

/* Guards against orders and probes to a replica leader in its pause.  There is
   one node, so all of them come from the node that was told. */
Test (avail, paused_leader_gets_no_orders_and_probes)
{
  struct rack r;
  char id[8];
  int leader = 0;

  rack_prepare_nodes (&r, 8, 1, NULL);
  rack_configure (&r, 1, "k1", "");
  rack_start_node (&r, 0);
  cr_assert (rack_call_until (&r, 0, "/stream/x", rack_headers ("up"), 200));
  for (int i = 1; i <= 8; i++)
    {
      snprintf (id, sizeof id, "e%d", i);
      ask_pause (&r, id, "4");
      if (rack_get_count (&r, id, "leads"))
        leader = i;
    }
  cr_assert (leader);
  for (int i = 0; i < 10; i++)
    rack_call (&r, 0, "/stream/x", "x", NULL, NULL);
  for (int i = 1; i <= 8; i++)
    if (i != leader)
      rack_set (&r, "{\"server\": \"e%d\", \"dark\": true}", i);
  rack_set (&r, "{\"server\": \"e%d\", \"unlisted\": true}", leader);
  usleep (3500000);
  for (int i = 1; i <= 8; i++)
    {
      snprintf (id, sizeof id, "e%d", i);
      expect_pauses_respected (&r, id);
    }
}
