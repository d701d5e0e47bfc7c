/*
 * Propagation of a stored configuration to nodes that are paused, and during
 * faults of the store, with real processes.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (config, .fini = proc_stop_all, .timeout = 120);

/** Limit for applying a configuration at all nodes; config_apply_ms. */
#define CONFIG_APPLY_MS ((clk_ms)2000)
/** Nodes linked for this long have received the newest state. */
#define SETTLED_US 3000000
/** Unneeded links are closed this long after the last node has started. */
#define LINK_IDLE_US 4000000

static void
start_many (struct rack *r)
{
  rack_prepare_nodes (r, 4, RACK_MANY_NODES, NULL);
  rack_configure (r, 1, "k1", "");
  for (int i = 0; i < RACK_MANY_NODES; i++)
    rack_start_node (r, i);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_assert (rack_call_until (r, i, "/once/x", rack_headers ("warm"), 200));
  usleep (SETTLED_US);
}

static void
signal_all (struct rack *r, int sig)
{
  for (int i = 0; i < RACK_MANY_NODES; i++)
    proc_signal (r->node[i], sig);
}

static const char k2_headers[]
    = "Host: h\r\nX-Lapisline-Request-Id: b\r\nX-Api-Key: k2\r\n";

/** Pauses all nodes while key k2 replaces k1, sends requests after
   CONFIG_APPLY_MS and resumes the nodes. Each has to respond with @p expected
   or 503. drain_ms is long enough that no request waits for a newer server
   list. */
static void
request_paused_nodes (struct rack *r, const char *headers, int expected)
{
  struct web_stream *streams[RACK_MANY_NODES];

  rack_set_drain_ms (20000);
  start_many (r);
  signal_all (r, SIGSTOP);
  rack_configure (r, 2, "k2", "");
  usleep ((useconds_t)(CONFIG_APPLY_MS + 300) * 1000);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    streams[i] = web_open (r->front[i], "POST", "/once/x", headers, "hello");
  usleep (500000);
  signal_all (r, SIGCONT);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    {
      int status = web_status (streams[i], PROC_WAIT_MS);
      cr_expect (status == expected || status == 503, "node %d: %d", i + 1,
                 status);
      web_close (streams[i]);
    }
}

/* Guards against a final denial by a configuration from before the process was
   paused: clients don't retry a denial. */
Test (config, paused_nodes_deny_nothing_by_old_version)
{
  struct rack r;

  request_paused_nodes (&r, k2_headers, 200);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_expect (rack_call_until (&r, i, "/once/x", k2_headers, 200), "node %d",
               i + 1);
}

/* Guards against a resumed node that refuses a request instead of waiting for
   the store's response, which arrives within milliseconds. */
Test (config, request_to_paused_node_is_served)
{
  struct web_stream *stream;
  struct rack r;

  rack_start_all (&r, 4);
  proc_signal (r.node[0], SIGSTOP);
  rack_configure (&r, 2, "k2", "");
  usleep ((useconds_t)(CONFIG_APPLY_MS + 1000) * 1000);
  stream = web_open (r.front[0], "POST", "/once/x", k2_headers, "hello");
  usleep (300000);
  proc_signal (r.node[0], SIGCONT);
  cr_expect_eq (web_status (stream, PROC_WAIT_MS), 200);
  web_close (stream);
}

/** Counts lost links logged since the last pause; kills the nodes. */
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

/* Guards against nodes that close their links after a pause because their
   timers run before the received data is read. */
Test (config, links_survive_pause_of_all_nodes)
{
  struct rack r;

  start_many (&r);
  usleep (LINK_IDLE_US);
  signal_all (&r, SIGSTOP);
  usleep (4000000);
  signal_all (&r, SIGCONT);
  usleep (1000000);
  signal_all (&r, SIGSTOP);
  cr_expect_eq (count_lost_links (&r, RACK_MANY_NODES), 0);
}

/* Guards against running a request that waited for a paused process with a key
   removed during the pause. */
Test (config, paused_nodes_run_nothing_by_old_version)
{
  struct rack r;

  request_paused_nodes (&r, rack_headers ("a"), 401);
}

/* Guards against a final denial while no node can determine whether there is a
   newer configuration. */
Test (config, no_final_denial_during_store_outage)
{
  struct rack r;

  rack_start_all (&r, 4);
  cr_expect_eq (rack_call (&r, 0, "/once/x", "", k2_headers, NULL), 401);
  rack_set (&r, "{\"store\": {\"silent\": true}}");
  usleep ((useconds_t)(CONFIG_APPLY_MS + 500) * 1000);
  cr_expect_eq (rack_call (&r, 0, "/once/x", "", k2_headers, NULL), 503);
  cr_expect_eq (rack_call (&r, 0, "/once/x", "a", NULL, NULL), 200);
}

/* Guards against nodes that compare store revisions across a restore:
   revisions start lower afterwards, so new versions would be ignored as
   old. */
Test (config, version_after_store_restore_is_applied)
{
  struct rack r;

  start_many (&r);
  rack_configure (&r, 2, "k1", "");
  usleep (1000000);
  rack_set (&r, "{\"store\": {\"back\": 30}}");
  usleep (500000);
  rack_configure (&r, 3, "k2", "");
  usleep ((useconds_t)CONFIG_APPLY_MS * 1000);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    {
      int by_new = rack_call (&r, i, "/once/x", "", k2_headers, NULL);
      int by_old = rack_call (&r, i, "/once/x", "c", NULL, NULL);
      cr_expect (by_new == 200 && by_old == 401, "node %d: %d, %d", i + 1,
                 by_new, by_old);
    }
}
