/*
 * More nodes than a full mesh of links allows, with real processes. Most nodes
 * receive from relay nodes what they would otherwise read from the store.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-rack.h"
#include "t/lib-relay.h"

TestSuite (many_nodes, .fini = proc_stop_all, .timeout = 120);

static struct relay *tcp_proxy;

static const char *
connect_by_proxy (const char *at)
{
  tcp_proxy = relay_new (at, at);
  return relay_addr (tcp_proxy, 0);
}

/*
 * Guards against a node without access to the store that keeps an old
 * configuration. The store refuses one of 18 nodes before operators replace a
 * key; the leader has to forward the new configuration to that node within
 * config_apply_ms.
 */
Test (many_nodes, configuration_reaches_node_without_store)
{
  struct rack r;
  const int last = RACK_MANY_NODES - 1;

  rack_prepare_nodes (&r, 4, RACK_MANY_NODES, connect_by_proxy);
  rack_configure (&r, 1, "k1", "");
  for (int i = 0; i < RACK_MANY_NODES; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_assert (rack_call_until (&r, i, "/once/x", rack_headers ("warm"), 200));
  /* Wait until all nodes have received the leader's reports. */
  usleep (3000000);
  relay_close_connections (tcp_proxy);
  rack_configure (&r, 2, "k2", "");
  usleep (2000000);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_expect_eq (rack_call (&r, i, "/once/x", "a", NULL, NULL), 401,
                  "node %d", i);
  cr_expect_eq (rack_call (&r, last, "/once/x", "",
                           "Host: h\r\nX-Lapisline-Request-Id: b\r\n"
                           "X-Api-Key: k2\r\n",
                           NULL),
                200);
}

/** The node that is last in the order of relays; nodes of equal size are
   ordered by the hashes of their names. */
static int
find_last_relay_candidate (void)
{
  char name[16];
  uint64_t highest = 0;
  int last = 0;

  for (int i = 0; i < RACK_MANY_NODES; i++)
    {
      snprintf (name, sizeof name, "node-%d", i + 1);
      uint64_t hash = str_hash (str_from (name), 0);
      if (hash >= highest)
        last = i;
      if (hash >= highest)
        highest = hash;
    }
  return last;
}

static bool
wait_for_metric (const struct rack *r, int node, const char *line)
{
  return web_poll_until (r->ready[node], "/metrics", NULL, line, PROC_WAIT_MS);
}

/** Starts all nodes, @p first before the others so that it becomes the
   leader. */
static void
start_with_first (struct rack *r, int first)
{
  rack_prepare_nodes (r, 4, RACK_MANY_NODES, NULL);
  rack_configure (r, 1, "k1", "");
  rack_start_node (r, first);
  cr_assert (wait_for_metric (r, first, "lapisline_serve_duty 1"));
  for (int i = 0; i < RACK_MANY_NODES; i++)
    if (i != first)
      rack_start_node (r, i);
}

/*
 * Guards against a leader without links to all nodes. A small node starts
 * seconds before the others and takes the leader's lease. The others send
 * their loads to the relays and receive the endpoints only from the leader,
 * which therefore has to link to every node although it comes after the relays
 * in the order. Otherwise the other nodes would refuse requests until each has
 * read the list itself.
 */
Test (many_nodes, leader_links_to_all_nodes)
{
  struct rack r;
  const int first = find_last_relay_candidate ();

  start_with_first (&r, first);
  cr_expect (wait_for_metric (&r, first, "lapisline_serve_nodes 18"));
}

/* Guards against a leader that relies on another node's watch of the
   configuration: it would read each new version again before forwarding it. */
Test (many_nodes, leader_watches_the_configuration)
{
  struct rack r;
  const int first = find_last_relay_candidate ();

  start_with_first (&r, first);
  cr_assert (wait_for_metric (&r, first, "lapisline_serve_nodes 18"));
  usleep (3000000);
  rack_configure (&r, 2, "k2", "");
  cr_expect (wait_for_metric (&r, first, "lapisline_serve_config_version 2"));
  proc_signal (r.node[first], SIGKILL);
  proc_wait (r.node[first], PROC_WAIT_MS);
  char *log = str_dup (proc_output (r.node[first]));
  char *line = strstr (log, "version=2");
  cr_expect (line && strstr (line, "from=\"watch\""), "%s",
             line ? line : "none");
  free (log);
}

static int
find_leader (const struct rack *r, int except)
{
  for (int k = 0; k < 100; k++)
    for (int i = 0; i < RACK_MANY_NODES; i++)
      if (i != except
          && web_poll_until (r->ready[i], "/metrics", NULL,
                             "lapisline_serve_duty 1", 20))
        return i;
  cr_assert (false, "no leader");
  return 0;
}

/*
 * Guards against nodes that use a server which left while the leader was
 * replaced: it takes the new leader some 10 s to send the complete list over a
 * link of this capacity, and the nodes read it themselves after 12 s.
 */
Test (many_nodes, new_leader_sends_changes_before_the_list)
{
  struct rack r;
  int old, runs;

  rack_set_link_mbps (0.02);
  rack_set_drain_ms (20000);
  rack_start_many (&r, 32);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_assert (rack_call_until (&r, i, "/once/x", rack_headers (""), 200));
  usleep (15000000);
  old = find_leader (&r, -1);
  rack_set (&r, "{\"server\": \"p1\", \"draining\": true}");
  proc_signal (r.node[old], SIGKILL);
  find_leader (&r, old);
  usleep (4000000);
  runs = rack_get_count (&r, "p1", "runs");
  for (int i = 0; i < 4 * RACK_MANY_NODES; i++)
    if (i % RACK_MANY_NODES != old)
      cr_expect_eq (
          rack_call (&r, i % RACK_MANY_NODES, "/once/x", "", NULL, NULL), 200);
  runs = rack_get_count (&r, "p1", "runs") - runs;
  cr_expect_eq (runs, 0, "%d requests to the server that left", runs);
}
