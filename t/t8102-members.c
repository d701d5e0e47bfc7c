#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/lib-control.h"

/* Membership of control processes that are killed and suspended by signals,
   read from their metrics. */

#define NODES 4
#define WAIT_MS 20000

static struct proc *nodes[NODES];

static void
start (int i, const char *store)
{
  char name[32];
  struct buf peers = BUF_INIT;

  for (int j = 0; j < NODES; j++)
    if (j != i && nodes[j] != NULL)
      buf_addf (&peers, "%s%s", peers.len > 0 ? " " : "",
                proc_addr (nodes[j], "peer"));
  snprintf (name, sizeof name, "entry-%d", i + 1);
  nodes[i] = control_up (control_settings (name, store, buf_c (&peers),
                                           ",\"log\":{\"level\":\"error\"}"));
  buf_free (&peers);
}

static bool
wait_for_metric (int i, const char *series, const char *value, int wait_ms)
{
  char text[128];

  snprintf (text, sizeof text, "lapisline_control_%s %s\n", series, value);
  return web_poll_until (proc_addr (nodes[i], "admin"), "/metrics", NULL, text,
                         wait_ms);
}

static void
expect_metric_at_all_nodes (const char *series, const char *value,
                            int skipped_node)
{
  for (int i = 0; i < NODES; i++)
    if (i != skipped_node)
      cr_assert (wait_for_metric (i, series, value, WAIT_MS),
                 "entry-%d: %s %s", i + 1, series, value);
}

static void
start_all (void)
{
  struct proc *store
      = PROC_START_READY ("standin", "store", "--listen", "127.0.0.1:0");

  memset (nodes, 0, sizeof nodes);
  for (int i = 0; i < NODES; i++)
    start (i, proc_addr (store, "http"));
  expect_metric_at_all_nodes ("nodes{status=\"alive\"}", "4", -1);
  expect_metric_at_all_nodes ("peer_links", "3", -1);
}

TestSuite (members, .fini = proc_stop_all, .timeout = 120);

Test (members, killed_process_is_replaced)
{
  /* A node is killed and replaced by one of the same name: the others must
     list it as dead, then as alive, and link to the new process. */
  start_all ();
  proc_signal (nodes[3], SIGKILL);
  expect_metric_at_all_nodes ("nodes{status=\"dead\"}", "1", 3);
  nodes[3] = NULL;
  start (3, "127.0.0.1:1");
  expect_metric_at_all_nodes ("nodes{status=\"alive\"}", "4", -1);
  expect_metric_at_all_nodes ("nodes{status=\"dead\"}", "0", -1);
  expect_metric_at_all_nodes ("peer_links", "3", -1);
}

Test (members, suspended_process_rejoins)
{
  /* A process is suspended until the others have declared it dead.  When it
     resumes, all its timeouts have expired: it must detect the pause, declare
     nobody dead, and rejoin with its old boot number. */
  start_all ();
  proc_signal (nodes[2], SIGSTOP);
  for (int i = 0; i < NODES; i++)
    if (i != 2)
      cr_assert (wait_for_metric (i, "nodes{status=\"dead\"}", "1", WAIT_MS));
  proc_signal (nodes[2], SIGCONT);
  expect_metric_at_all_nodes ("nodes{status=\"alive\"}", "4", -1);
  expect_metric_at_all_nodes ("peer_links", "3", -1);
  cr_expect (
      wait_for_metric (2, "swim_events_total{event=\"died\"}", "0", WAIT_MS));
  cr_expect (
      !wait_for_metric (2, "swim_events_total{event=\"paused\"}", "0", 0));
}
