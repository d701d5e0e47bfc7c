/*
 * Backend servers that name the request rate that they take, over real
 * processes.  The judge is the platform's own count of what reaches them.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <signal.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (rate_limit, .fini = proc_stop_all, .timeout = 120);

/** What may reach a server in 4 s: one and a half times what it takes in them,
    and 5. */
#define MOST(per_s) ((int)(1.5 * (per_s)*4) + 5)
#define PAUSE_US 20000

/** Call the plain service at @p nodes nodes in turn.
    @return  how many calls were not served */
static int
call_for (const struct rack *r, int nodes, clk_ms ms)
{
  clk_ms end = clk_now () + ms;
  static int asked;
  char id[16];
  int bad = 0;

  for (; clk_now () < end; usleep (PAUSE_US))
    {
      snprintf (id, sizeof id, "q%d", ++asked);
      bad += rack_call (r, asked % nodes, "/safe/x", id, NULL, NULL) != 200;
    }
  return bad;
}

/* Guards against nodes that go on sending to a server what it has told them
   that it can't take. */
Test (rate_limit, a_server_gets_no_more_than_it_names)
{
  struct rack r;
  int most;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"p1\", \"limit\": \"2\"}");
  cr_expect_eq (call_for (&r, RACK_NODES, 8000), 0);
  most = rack_count (&r, "p1", "limited_most");
  cr_expect_leq (most, MOST (2), "%d requests in 4 s", most);
  /* It is limited, not gone. */
  cr_expect_geq (rack_count (&r, "p1", "limited_arrived"), 8);
}

static void
limit_server (const struct rack *r, const char *server, const char *rate)
{
  rack_set (r, "{\"server\": \"%s\", \"limit\": \"%s\"}", server, rate);
}

static void
expect_kept (const struct rack *r, const char *server, double per_s)
{
  int most = rack_count (r, server, "limited_most");

  cr_expect_leq (most, MOST (per_s), "%s: %d requests in 4 s", server, most);
}

static void
stop_node (struct rack *r, int node)
{
  proc_signal (r->node[node], SIGKILL);
  proc_wait (r->node[node], PROC_WAIT_MS);
}

/* Guards against one rate for each of many nodes, where not all are linked to
   each other. */
Test (rate_limit, many_nodes)
{
  struct rack r;

  rack_up_many (&r, 4, RACK_MANY, NULL);
  rack_configure (&r, 1, "k1", "");
  for (int i = 0; i < RACK_MANY; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < RACK_MANY; i++)
    cr_assert (rack_until (&r, i, "/safe/x", rack_headers ("warm"), 200));
  limit_server (&r, "p1", "2");
  cr_expect_eq (call_for (&r, RACK_MANY, 8000), 0);
  expect_kept (&r, "p1", 2);
  cr_expect_geq (rack_count (&r, "p1", "limited_arrived"), 8);
}

/* Guards against callers who wait, though nothing can serve them: where all
   servers are limited, what they take is used and the rest is refused at once,
   with a time to come back. */
Test (rate_limit, all_servers_are_limited)
{
  struct rack r;
  struct web_answer a = { 0 };
  int refused = 0;

  rack_start_all (&r, 4);
  limit_server (&r, "p1", "3");
  limit_server (&r, "p2", "3");
  call_for (&r, RACK_NODES, 3000);
  for (int i = 0; i < 200; i++)
    {
      clk_ms since = clk_now ();
      web_call (r.front[i % RACK_NODES], "POST", "/safe/x",
                rack_headers ("all"), "hello", &a);
      if (a.status != 200)
        {
          refused++;
          cr_expect_eq (a.status, 503);
          cr_expect_gt (web_header (&a, "retry-after").len, 0);
          cr_expect_lt (clk_now () - since, 150);
        }
      web_free (&a);
      usleep (PAUSE_US);
    }
  cr_expect_gt (refused, 100);
  expect_kept (&r, "p1", 3);
  expect_kept (&r, "p2", 3);
  cr_expect_geq (rack_count (&r, "p1", "limited_arrived"), 10);
  cr_expect_geq (rack_count (&r, "p2", "limited_arrived"), 10);
}

/* Guards against a rate that is forgotten, or doubled, as nodes end and start,
   and as they freeze. */
Test (rate_limit, nodes_end_and_freeze_in_turn)
{
  struct rack r;

  rack_start_all (&r, 4);
  limit_server (&r, "p1", "2");
  for (int round = 0; round < 2 * RACK_NODES; round++)
    {
      int node = round % RACK_NODES;
      stop_node (&r, node);
      rack_start_node (&r, node);
      cr_assert (rack_until (&r, node, "/safe/x", rack_headers ("up"), 200));
      call_for (&r, RACK_NODES, 1500);
      proc_signal (r.node[node], SIGSTOP);
      usleep (1500000);
      proc_signal (r.node[node], SIGCONT);
      call_for (&r, RACK_NODES, 1500);
    }
  expect_kept (&r, "p1", 2);
}

/** Call a node without a pause. @return  how many calls had an answer */
static int
call_often (const struct rack *r, int node, int n)
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

/* Guards against a node that ends as it asks for a permit just after the link
   to the node that grants has gone down. */
Test (rate_limit, asking_a_node_that_has_just_ended)
{
  struct rack r;

  rack_start_all (&r, 4);
  limit_server (&r, "p1", "1");
  limit_server (&r, "p2", "1");
  call_for (&r, RACK_NODES, 2000);
  for (int node = 0; node < RACK_NODES; node++)
    {
      stop_node (&r, node);
      cr_expect_eq (call_often (&r, 1 - node, 100), 100);
      rack_start_node (&r, node);
      cr_assert (rack_until (&r, node, "/safe/x", rack_headers ("up"), 200));
    }
}

/* Guards against a limit that outlives what its server says, or its process.
 */
Test (rate_limit, it_ends_with_the_word_and_with_the_process)
{
  struct rack r;
  int before;

  rack_start_all (&r, 4);
  limit_server (&r, "p1", "1");
  call_for (&r, RACK_NODES, 2000);
  limit_server (&r, "p1", "");
  call_for (&r, RACK_NODES, 3000);
  before = rack_count (&r, "p1", "runs");
  call_for (&r, RACK_NODES, 2000);
  cr_expect_gt (rack_count (&r, "p1", "runs") - before, 20);
  limit_server (&r, "p1", "0");
  limit_server (&r, "p2", "0");
  call_for (&r, RACK_NODES, 2000);
  cr_expect_gt (call_for (&r, RACK_NODES, 500), 0);
  rack_set (&r, "{\"server\": \"p1\", \"reborn\": true}");
  usleep (1000000);
  cr_expect_eq (call_for (&r, RACK_NODES, 2000), 0);
}

/* Guards against a rate that nodes share by way of the store alone. */
Test (rate_limit, the_store_is_away)
{
  struct rack r;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"store\": {\"silent\": true}}");
  limit_server (&r, "p1", "2");
  cr_expect_eq (call_for (&r, RACK_NODES, 8000), 0);
  expect_kept (&r, "p1", 2);
  cr_expect_geq (rack_count (&r, "p1", "limited_arrived"), 8);
}
