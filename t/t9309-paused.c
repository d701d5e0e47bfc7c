/*
 * Nodes that are paused and resumed, as a VM may be, with real processes.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-rack.h"

TestSuite (paused, .fini = proc_stop_all, .timeout = 120);

#define STREAMS 6

static void
pause_node (struct rack *r, int node, int ms)
{
  proc_signal (r->node[node], SIGSTOP);
  usleep ((useconds_t)ms * 1000);
  proc_signal (r->node[node], SIGCONT);
}

static int
count_runs (const struct rack *r, const char *id)
{
  struct web_answer a;
  char name[32];
  const char *at;
  int n = 0;

  snprintf (name, sizeof name, "\"%s\": ", id);
  web_call (r->platform_addr, "GET", "/control/runs", NULL, NULL, &a);
  at = strstr (buf_c (&a.body), name);
  if (at)
    sscanf (at + strlen (name), "%d", &n);
  web_free (&a);
  return n;
}

static void
expect_streams_survive_pause (int ms)
{
  struct web_stream *w[STREAMS];
  struct buf body = BUF_INIT;
  struct rack r;
  char id[16];

  rack_start_all (&r, 8);
  rack_set (&r, "{\"events\": 200, \"event_ms\": 40}");
  for (int i = 0; i < STREAMS; i++)
    {
      snprintf (id, sizeof id, "s%d", i);
      w[i]
          = web_open (r.front[0], "POST", "/stream/x", rack_headers (id), "x");
    }
  usleep (500000);
  pause_node (&r, 0, ms);
  for (int i = 0; i < STREAMS; i++)
    {
      while (web_read (w[i], &body, PROC_WAIT_MS) == WEB_BYTES)
        ;
      cr_expect (rack_is_complete (&body, 200), "stream %d", i);
      snprintf (id, sizeof id, "s%d", i);
      cr_expect_eq (count_runs (&r, id), 1);
      web_close (w[i]);
      buf_clear (&body);
    }
  buf_free (&body);
}

/* Guards against a node that resumes, treats all replicas as stalled, moves
   its streams, and truncates those for which no endpoint is left. */
Test (paused, streams_survive_node_pause)
{
  expect_streams_survive_pause (1000);
}

Test (paused, streams_survive_long_node_pause)
{
  expect_streams_survive_pause (4000);
}

/* Guards against running a request twice when its response arrived while the
   node was paused. */
Test (paused, response_received_during_pause_is_forwarded)
{
  struct web_stream *w;
  struct rack r;

  rack_start_all (&r, 4);
  cr_assert (rack_call_until (&r, 0, "/safe/x", rack_headers ("warm"), 200));
  proc_signal (r.platform, SIGSTOP);
  w = web_open (r.front[0], "POST", "/safe/x", rack_headers ("asked"), "x");
  usleep (100000);
  proc_signal (r.node[0], SIGSTOP);
  proc_signal (r.platform, SIGCONT);
  usleep (1000000);
  proc_signal (r.node[0], SIGCONT);
  cr_expect_eq (web_status (w, PROC_WAIT_MS), 200);
  cr_expect_eq (count_runs (&r, "asked"), 1);
  web_close (w);
}

static void
signal_nodes (struct rack *r, int sig)
{
  for (int i = 0; i < RACK_NODES; i++)
    proc_signal (r->node[i], sig);
}

/** Kills the node and returns whether its log contains @p text. */
static bool
has_logged (struct rack *r, int node, const char *text)
{
  char *log;
  bool found;

  proc_signal (r->node[node], SIGKILL);
  proc_wait (r->node[node], PROC_WAIT_MS);
  log = str_dup (proc_output (r->node[node]));
  found = strstr (log, text) != NULL;
  free (log);
  return found;
}

/* Guards against a node that reports the store as lost and delays further
   calls although responses arrived while the node was paused. */
Test (paused, store_responses_received_during_pause_are_read)
{
  struct rack r;

  rack_start_all (&r, 4);
  proc_signal (r.platform, SIGSTOP);
  usleep (500000);
  signal_nodes (&r, SIGSTOP);
  proc_signal (r.platform, SIGCONT);
  usleep (1300000);
  signal_nodes (&r, SIGCONT);
  usleep (1500000);
  for (int i = 0; i < RACK_NODES; i++)
    cr_expect (!has_logged (&r, i, "store_lost"), "node %d", i + 1);
}

#define WAITING_REQUESTS 8

/* Guards against sending requests that waited for a paused node to a server
   that announced its drain during the pause. */
Test (paused, queued_requests_avoid_draining_server)
{
  struct web_stream *w[WAITING_REQUESTS];
  struct rack r;
  int before;

  rack_start_all (&r, 4);
  cr_assert (rack_call_until (&r, 0, "/safe/x", rack_headers ("warm"), 200));
  signal_nodes (&r, SIGSTOP);
  before = rack_get_count (&r, "p1", "runs");
  rack_set (&r, "{\"server\": \"p1\", \"draining\": true}");
  usleep (2600000);
  for (int i = 0; i < WAITING_REQUESTS; i++)
    w[i] = web_open (r.front[0], "POST", "/safe/x", rack_headers ("asked"),
                     "x");
  usleep (200000);
  signal_nodes (&r, SIGCONT);
  for (int i = 0; i < WAITING_REQUESTS; i++)
    {
      cr_expect_eq (web_status (w[i], PROC_WAIT_MS), 200);
      web_close (w[i]);
    }
  cr_expect_eq (rack_get_count (&r, "p1", "runs"), before);
}

/** Number of addresses in an address response. */
static int
count_addresses (struct web_stream *w)
{
  struct buf body = BUF_INIT;
  const char *at;
  int n = 0;

  cr_expect_eq (web_status (w, PROC_WAIT_MS), 200);
  while (web_read (w, &body, PROC_WAIT_MS) == WEB_BYTES)
    ;
  for (at = buf_c (&body); (at = strstr (at, "127.0.0.1:")) != NULL; at++)
    n++;
  buf_free (&body);
  return n;
}

/* Guards against address responses that name only some of the nodes after all
   of them were paused: clients would overload these. */
Test (paused, address_responses_after_a_pause_name_all_nodes)
{
  static const char path[] = "/resolve?name=h&region=r&zone=z1";
  struct web_stream *w[RACK_MANY_NODES];
  struct rack r;

  rack_prepare_nodes (&r, 4, RACK_MANY_NODES, NULL);
  rack_configure (&r, 1, "k1", "");
  for (int i = 0; i < RACK_MANY_NODES; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    {
      w[i] = web_open (r.directory[i], "GET", path, NULL, NULL);
      while (count_addresses (w[i]) < RACK_MANY_NODES)
        {
          usleep (50000);
          cr_assert (web_next (w[i], r.directory[i], "GET", path, NULL, NULL));
        }
    }
  for (int i = 0; i < RACK_MANY_NODES; i++)
    proc_signal (r.node[i], SIGSTOP);
  usleep (9000000);
  /* On open connections: new ones would be accepted first, and timers would
     run before their requests are read. */
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_assert (web_next (w[i], r.directory[i], "GET", path, NULL, NULL));
  for (int i = 0; i < RACK_MANY_NODES; i++)
    proc_signal (r.node[i], SIGCONT);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    {
      int n = count_addresses (w[i]);
      cr_expect_eq (n, RACK_MANY_NODES, "node %d names %d nodes", i + 1, n);
      web_close (w[i]);
    }
}
