/*
 * A configuration that operators have put in force, at nodes that were about
 * to be told of it, over real processes.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (config, .fini = proc_stop_all, .timeout = 120);

/** Within this a configuration is in force at all nodes; of the settings. */
#define APPLY_MS ((clk_ms)2000)
/** Nodes that were linked so long have been told by another what is new. */
#define SETTLED_US 3000000
/** Links that are not needed once all nodes run are closed after so long. */
#define UNWANTED_US 4000000

static void
up_many (struct rack *r)
{
  rack_up_many (r, 4, RACK_MANY, NULL);
  rack_configure (r, 1, "k1", "");
  for (int i = 0; i < RACK_MANY; i++)
    rack_start_node (r, i);
  for (int i = 0; i < RACK_MANY; i++)
    cr_assert (rack_until (r, i, "/once/x", rack_headers ("warm"), 200));
  usleep (SETTLED_US);
}

static void
signal_all (struct rack *r, int sig)
{
  for (int i = 0; i < RACK_MANY; i++)
    proc_signal (r->node[i], sig);
}

static const char k2_headers[]
    = "Host: h\r\nX-Lapisline-Request-Id: b\r\nX-Api-Key: k2\r\n";

/** All nodes stand still as key k2 takes the place of k1, are asked later than
    the bound, and go on.  Each has to answer so, or 503.  The list of backend
    servers is not too old for that, so that no request waits for it. */
static void
ask_stopped (struct rack *r, const char *headers, int expected)
{
  struct web_stream *asked[RACK_MANY];

  rack_drain_ms (20000);
  up_many (r);
  signal_all (r, SIGSTOP);
  rack_configure (r, 2, "k2", "");
  usleep ((useconds_t)(APPLY_MS + 300) * 1000);
  for (int i = 0; i < RACK_MANY; i++)
    asked[i] = web_open (r->front[i], "POST", "/once/x", headers, "hello");
  usleep (500000);
  signal_all (r, SIGCONT);
  for (int i = 0; i < RACK_MANY; i++)
    {
      int status = web_status (asked[i], PROC_WAIT_MS);
      cr_expect (status == expected || status == 503, "node %d: %d", i + 1,
                 status);
      web_close (asked[i]);
    }
}

/* Guards against a final refusal by a configuration from before a pause of the
   process: callers don't come back after it. */
Test (config, nodes_that_stood_still_deny_nothing_by_an_old_version)
{
  struct rack r;

  ask_stopped (&r, k2_headers, 200);
  for (int i = 0; i < RACK_MANY; i++)
    cr_expect (rack_until (&r, i, "/once/x", k2_headers, 200), "node %d",
               i + 1);
}

/* Guards against callers who are refused for want of an answer of the store
   that comes within milliseconds. */
Test (config, who_waited_for_a_node_that_stood_still_is_served)
{
  struct web_stream *asked;
  struct rack r;

  rack_start_all (&r, 4);
  proc_signal (r.node[0], SIGSTOP);
  rack_configure (&r, 2, "k2", "");
  usleep ((useconds_t)(APPLY_MS + 1000) * 1000);
  asked = web_open (r.front[0], "POST", "/once/x", k2_headers, "hello");
  usleep (300000);
  proc_signal (r.node[0], SIGCONT);
  cr_expect_eq (web_status (asked, PROC_WAIT_MS), 200);
  web_close (asked);
}

/** How often nodes have logged the loss of a link since they last stood still;
    ends them. */
static int
count_lost_links (struct rack *r, int nodes)
{
  int n = 0;

  for (int i = 0; i < nodes; i++)
    {
      char *log;
      proc_signal (r->node[i], SIGKILL);
      proc_wait (r->node[i], PROC_WAIT_MS);
      log = str_dup (proc_output (r->node[i]));
      for (const char *at = strstr (log, "serve_paused");
           at && (at = strstr (at, "node_lost")); at++)
        n++;
      free (log);
    }
  return n;
}

/* Guards against nodes that drop their links when they go on after a pause, as
   their timers run before what came meanwhile is read. */
Test (config, links_outlive_a_pause_of_all_nodes)
{
  struct rack r;

  up_many (&r);
  usleep (UNWANTED_US);
  signal_all (&r, SIGSTOP);
  usleep (4000000);
  signal_all (&r, SIGCONT);
  usleep (1000000);
  signal_all (&r, SIGSTOP);
  cr_expect_eq (count_lost_links (&r, RACK_MANY), 0);
}

/* Guards against a request that waited for a stopped process and then runs
   with a key that has been taken away meanwhile. */
Test (config, nodes_that_stood_still_run_nothing_by_an_old_version)
{
  struct rack r;

  ask_stopped (&r, rack_headers ("a"), 401);
}

/* Guards against a final refusal while nobody can say whether there is a newer
   configuration. */
Test (config, nothing_is_final_while_the_store_is_silent)
{
  struct rack r;

  rack_start_all (&r, 4);
  cr_expect_eq (rack_call (&r, 0, "/once/x", "", k2_headers, NULL), 401);
  rack_set (&r, "{\"store\": {\"silent\": true}}");
  usleep ((useconds_t)(APPLY_MS + 500) * 1000);
  cr_expect_eq (rack_call (&r, 0, "/once/x", "", k2_headers, NULL), 503);
  cr_expect_eq (rack_call (&r, 0, "/once/x", "a", NULL, NULL), 200);
}

/* Guards against nodes that compare revisions of the store, which begin lower
   when it has come back from a copy: they took what was announced for old. */
Test (config, a_version_after_the_store_went_back_comes_into_force)
{
  struct rack r;

  up_many (&r);
  rack_configure (&r, 2, "k1", "");
  usleep (1000000);
  rack_set (&r, "{\"store\": {\"back\": 30}}");
  usleep (500000);
  rack_configure (&r, 3, "k2", "");
  usleep ((useconds_t)APPLY_MS * 1000);
  for (int i = 0; i < RACK_MANY; i++)
    {
      int by_new = rack_call (&r, i, "/once/x", "", k2_headers, NULL);
      int by_old = rack_call (&r, i, "/once/x", "c", NULL, NULL);
      cr_expect (by_new == 200 && by_old == 401, "node %d: %d, %d", i + 1,
                 by_new, by_old);
    }
}
