/*
 * The retry budget that all nodes share, with real processes.
 */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (budget, .fini = proc_stop_all, .timeout = 120);

/* Budget in the settings that lib-rack.c writes. */
#define RETRY_RATIO 0.2
#define RETRY_SLACK 100
#define RETRY_WINDOW_MS ((clk_ms)10000)

#define LIVES 3
#define REQUESTS 60 /* to each node in each life */

static int
count_rejected (const struct rack *r)
{
  return rack_get_count (r, "p1", "rejected")
         + rack_get_count (r, "p2", "rejected");
}

/** Calls the node until a server has rejected a call; counts that call. */
static void
wait_until_serving (const struct rack *r, int node, int *calls)
{
  int before = count_rejected (r);

  while (count_rejected (r) == before)
    {
      rack_call (r, node, "/safe/x", "w", NULL, NULL);
      usleep (10000);
    }
  ++*calls;
}

static void
restart_nodes (struct rack *r)
{
  for (int i = 0; i < RACK_NODES; i++)
    proc_signal (r->node[i], SIGKILL);
  for (int i = 0; i < RACK_NODES; i++)
    proc_wait (r->node[i], PROC_WAIT_MS);
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (r, i);
}

/* Guards against restarted nodes that spend the retry budget again, although
   their earlier processes have spent it in the same window. */
Test (budget, restarts_do_not_renew_the_retry_budget)
{
  struct rack r;
  clk_ms started_at;
  int requests = 0, retries;
  char id[24];

  rack_start_all (&r, 4);
  for (int i = 0; i < RACK_NODES; i++)
    cr_assert (rack_call_until (&r, i, "/safe/x", rack_headers ("w"), 200));
  rack_set (&r, "{\"server\": \"p1\", \"rejects\": true}");
  rack_set (&r, "{\"server\": \"p2\", \"rejects\": true}");
  started_at = clk_now ();
  for (int life = 0; life < LIVES; life++)
    {
      if (life > 0)
        restart_nodes (&r);
      for (int i = 0; i < RACK_NODES; i++)
        wait_until_serving (&r, i, &requests);
      for (int k = 0; k < RACK_NODES * REQUESTS; k++)
        {
          snprintf (id, sizeof id, "%d-%d", life, k);
          rack_call (&r, k % RACK_NODES, "/safe/x", id, NULL, NULL);
          requests++;
        }
    }
  retries = count_rejected (&r) - requests;
  cr_assert_lt (clk_now () - started_at, RETRY_WINDOW_MS, "too slow");
  cr_log_info ("%d retries of %d requests", retries, requests);
  cr_expect_leq (retries, RETRY_RATIO * requests + RETRY_SLACK,
                 "%d retries of %d requests", retries, requests);
}
