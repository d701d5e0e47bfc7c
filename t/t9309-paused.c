/*
 * Nodes that stand still for a while, as their VM may, and go on, over real
 * processes.
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
stand_still (struct rack *r, int node, int ms)
{
  proc_signal (r->node[node], SIGSTOP);
  usleep ((useconds_t)ms * 1000);
  proc_signal (r->node[node], SIGCONT);
}

/** How often the request has run. */
static int
count_runs (const struct rack *r, const char *id)
{
  struct web_answer a;
  char name[32];
  const char *at;
  int n = 0;

  snprintf (name, sizeof name, "\"%s\": ", id);
  web_call (r->at, "GET", "/control/runs", NULL, NULL, &a);
  at = strstr (buf_c (&a.body), name);
  if (at)
    sscanf (at + strlen (name), "%d", &n);
  web_free (&a);
  return n;
}

static void
streams_over_a_pause (int ms)
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
  stand_still (&r, 0, ms);
  for (int i = 0; i < STREAMS; i++)
    {
      while (web_read (w[i], &body, PROC_WAIT_MS) == WEB_BYTES)
        ;
      cr_expect (rack_whole (&body, 200), "stream %d", i);
      snprintf (id, sizeof id, "s%d", i);
      cr_expect_eq (count_runs (&r, id), 1);
      web_close (w[i]);
      buf_clear (&body);
    }
  buf_free (&body);
}

/* Guards against a node that finds all replicas silent as it goes on after a
   pause, moves its streams, and cuts those that find no place. */
Test (paused, streams_outlive_a_pause_of_their_node)
{
  streams_over_a_pause (1000);
}

Test (paused, streams_outlive_a_long_pause_of_their_node)
{
  streams_over_a_pause (4000);
}

/* Guards against a second run of a request whose answer came while its node
   stood still. */
Test (paused, an_answer_that_waits_is_passed_on)
{
  struct web_stream *w;
  struct rack r;

  rack_start_all (&r, 4);
  cr_assert (rack_until (&r, 0, "/safe/x", rack_headers ("warm"), 200));
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

/** Whether a node has logged @p text; ends it. */
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

/* Guards against a node that takes the store for lost, and holds back further
   calls, as its answers came while the node stood still. */
Test (paused, answers_of_the_store_that_wait_are_read)
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

#define ASKED 8

/* Guards against requests that waited for a node that stood still and go to a
   server that has said meanwhile that it leaves. */
Test (paused, who_waited_is_not_sent_to_a_server_that_leaves)
{
  struct web_stream *w[ASKED];
  struct rack r;
  int before;

  rack_start_all (&r, 4);
  cr_assert (rack_until (&r, 0, "/safe/x", rack_headers ("warm"), 200));
  signal_nodes (&r, SIGSTOP);
  before = rack_count (&r, "p1", "runs");
  rack_set (&r, "{\"server\": \"p1\", \"draining\": true}");
  usleep (2600000);
  for (int i = 0; i < ASKED; i++)
    w[i] = web_open (r.front[0], "POST", "/safe/x", rack_headers ("asked"),
                     "x");
  usleep (200000);
  signal_nodes (&r, SIGCONT);
  for (int i = 0; i < ASKED; i++)
    {
      cr_expect_eq (web_status (w[i], PROC_WAIT_MS), 200);
      web_close (w[i]);
    }
  cr_expect_eq (rack_count (&r, "p1", "runs"), before);
}
