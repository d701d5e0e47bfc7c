/*
 * Backend servers that announce a request rate limit, with real processes. The
 * checks use the platform's count of requests that reach each server.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <signal.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-cpu.h"
#include "t/lib-rack.h"

TestSuite (rate_limit, .fini = proc_stop_all, .timeout = 120);

/** Maximum of requests to a server in 4 s: 1.5 times its rate, plus 5. */
#define MAX_REQUESTS(per_s) ((int)(1.5 * (per_s)*4) + 5)
#define PAUSE_US 20000

/** Calls the plain service at @p nodes nodes in turn; returns failed calls. */
static int
call_for_duration (const struct rack *r, int nodes, clk_ms ms)
{
  clk_ms end = clk_now () + ms;
  static int nrequests;
  char id[16];
  int failures = 0;

  for (; clk_now () < end; usleep (PAUSE_US))
    {
      snprintf (id, sizeof id, "q%d", ++nrequests);
      failures += rack_call (r, nrequests % nodes, "/safe/x", id, NULL, NULL)
                  != 200;
    }
  return failures;
}

/* Guards against nodes that ignore the limit that a server announced. */
Test (rate_limit, server_receives_at_most_its_limit)
{
  struct rack r;
  int max;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"p1\", \"limit\": \"2\"}");
  cr_expect_eq (call_for_duration (&r, RACK_NODES, 8000), 0);
  max = rack_get_count (&r, "p1", "limited_most");
  cr_expect_leq (max, MAX_REQUESTS (2), "%d requests in 4 s", max);
  /* The server still receives requests. */
  cr_expect_geq (rack_get_count (&r, "p1", "limited_arrived"), 8);
}

static void
limit_server (const struct rack *r, const char *server, const char *rate)
{
  rack_set (r, "{\"server\": \"%s\", \"limit\": \"%s\"}", server, rate);
}

static void
expect_limit_respected (const struct rack *r, const char *server, double per_s)
{
  int max = rack_get_count (r, server, "limited_most");

  cr_expect_leq (max, MAX_REQUESTS (per_s), "%s: %d requests in 4 s", server,
                 max);
}

static void
kill_node (struct rack *r, int node)
{
  proc_signal (r->node[node], SIGKILL);
  proc_wait (r->node[node], PROC_WAIT_MS);
}

/* Guards against nodes that each use the whole rate, in a fleet without a full
   mesh. */
Test (rate_limit, many_nodes)
{
  struct rack r;

  rack_prepare_nodes (&r, 4, RACK_MANY_NODES, NULL);
  rack_configure (&r, 1, "k1", "");
  for (int i = 0; i < RACK_MANY_NODES; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_assert (rack_call_until (&r, i, "/safe/x", rack_headers ("warm"), 200));
  limit_server (&r, "p1", "2");
  cr_expect_eq (call_for_duration (&r, RACK_MANY_NODES, 8000), 0);
  expect_limit_respected (&r, "p1", 2);
  cr_expect_geq (rack_get_count (&r, "p1", "limited_arrived"), 8);
}

/* Guards against clients that wait although nothing can serve them. When all
   servers are limited, the nodes use the available rate and refuse the rest at
   once with Retry-After. */
Test (rate_limit, all_servers_are_limited)
{
  struct rack r;
  struct web_answer a = { 0 };
  int refused = 0;

  rack_start_all (&r, 4);
  limit_server (&r, "p1", "3");
  limit_server (&r, "p2", "3");
  call_for_duration (&r, RACK_NODES, 3000);
  for (int i = 0; i < 200; i++)
    {
      struct cpu_sample before;
      clk_ms started_at, ms;
      char id[16];

      /* The id and the time stamps find the request in the nodes' logs. */
      snprintf (id, sizeof id, "all%d", i);
      cpu_sample (&r, &before);
      started_at = clk_now ();
      web_call (r.front[i % RACK_NODES], "POST", "/safe/x", rack_headers (id),
                "hello", &a);
      ms = clk_now () - started_at;
      if (a.status != 200)
        {
          refused++;
          cr_expect_eq (a.status, 503);
          cr_expect_gt (web_header (&a, "retry-after").len, 0);
          /* request_failed in the node's log says how long it had it. */
          cr_expect_lt (ms, 150, "%s refused after %d ms by node-%d; %s", id,
                        (int)ms, i % RACK_NODES + 1,
                        cpu_describe (&r, &before));
        }
      web_free (&a);
      usleep (PAUSE_US);
    }
  cr_expect_gt (refused, 100);
  expect_limit_respected (&r, "p1", 3);
  expect_limit_respected (&r, "p2", 3);
  cr_expect_geq (rack_get_count (&r, "p1", "limited_arrived"), 10);
  cr_expect_geq (rack_get_count (&r, "p2", "limited_arrived"), 10);
}

/* Guards against a limit that is lost, or applied twice, when nodes restart
   and pause. */
Test (rate_limit, nodes_restart_and_pause_in_turn)
{
  struct rack r;

  rack_start_all (&r, 4);
  limit_server (&r, "p1", "2");
  for (int round = 0; round < 2 * RACK_NODES; round++)
    {
      int node = round % RACK_NODES;
      kill_node (&r, node);
      rack_start_node (&r, node);
      cr_assert (
          rack_call_until (&r, node, "/safe/x", rack_headers ("up"), 200));
      call_for_duration (&r, RACK_NODES, 1500);
      proc_signal (r.node[node], SIGSTOP);
      usleep (1500000);
      proc_signal (r.node[node], SIGCONT);
      call_for_duration (&r, RACK_NODES, 1500);
    }
  expect_limit_respected (&r, "p1", 2);
}

/** Calls a node without pauses; returns the number of responses. */
static int
call_repeatedly (const struct rack *r, int node, int n)
{
  int answered = 0;
  char id[16];

  for (int i = 0; i < n; i++)
    {
      snprintf (id, sizeof id, "b%d", i);
      answered += rack_call (r, node, "/safe/x", id, NULL, NULL) > 0;
    }
  return answered;
}

/* Guards against a node that crashes when it requests a permit just after the
   link to the granting node was lost. */
Test (rate_limit, permit_request_after_leader_exit)
{
  struct rack r;

  rack_start_all (&r, 4);
  limit_server (&r, "p1", "1");
  limit_server (&r, "p2", "1");
  call_for_duration (&r, RACK_NODES, 2000);
  for (int node = 0; node < RACK_NODES; node++)
    {
      kill_node (&r, node);
      cr_expect_eq (call_repeatedly (&r, 1 - node, 100), 100);
      rack_start_node (&r, node);
      cr_assert (
          rack_call_until (&r, node, "/safe/x", rack_headers ("up"), 200));
    }
}

/* Guards against a limit that stays after the server has withdrawn it, or
   after the server's process was replaced. */
Test (rate_limit, limit_ends_with_announcement_or_process)
{
  struct rack r;
  int before;

  rack_start_all (&r, 4);
  limit_server (&r, "p1", "1");
  call_for_duration (&r, RACK_NODES, 2000);
  limit_server (&r, "p1", "");
  call_for_duration (&r, RACK_NODES, 3000);
  before = rack_get_count (&r, "p1", "runs");
  call_for_duration (&r, RACK_NODES, 2000);
  cr_expect_gt (rack_get_count (&r, "p1", "runs") - before, 20);
  limit_server (&r, "p1", "0");
  limit_server (&r, "p2", "0");
  call_for_duration (&r, RACK_NODES, 2000);
  cr_expect_gt (call_for_duration (&r, RACK_NODES, 500), 0);
  rack_set (&r, "{\"server\": \"p1\", \"reborn\": true}");
  usleep (1000000);
  cr_expect_eq (call_for_duration (&r, RACK_NODES, 2000), 0);
}

/* Guards against sharing the rate through the store only: the limit has to
   hold during a store outage. */
Test (rate_limit, limit_holds_during_store_outage)
{
  struct rack r;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"store\": {\"silent\": true}}");
  limit_server (&r, "p1", "2");
  cr_expect_eq (call_for_duration (&r, RACK_NODES, 8000), 0);
  expect_limit_respected (&r, "p1", 2);
  cr_expect_geq (rack_get_count (&r, "p1", "limited_arrived"), 8);
}
