/*
 * More nodes than are linked each to each, over real processes: most of them
 * are told by a few what the store would tell them.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-rack.h"
#include "t/lib-relay.h"

TestSuite (many_nodes, .fini = proc_stop_all, .timeout = 120);

static struct relay *tcp_relay;

static const char *
connect_by_relay (const char *at)
{
  tcp_relay = relay_new (at, at);
  return relay_addr (tcp_relay, 0);
}

/*
 * The store turns one of 18 nodes away, and then the operators take a key from
 * its account and give it another.  Callers at that node are held to the new
 * configuration like all others within the time of the settings: the node that
 * forms replicas hands it on.
 */
Test (many_nodes, configuration_reaches_node_without_store)
{
  struct rack r;
  const int last = RACK_MANY_NODES - 1;

  rack_prepare_nodes (&r, 4, RACK_MANY_NODES, connect_by_relay);
  rack_configure (&r, 1, "k1", "");
  for (int i = 0; i < RACK_MANY_NODES; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_assert (rack_call_until (&r, i, "/once/x", rack_headers ("warm"), 200));
  /* All have been told by the node that forms replicas. */
  usleep (3000000);
  relay_close_connections (tcp_relay);
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

/** The node that comes last in the order of hubs: all have the same size, so
    that their names decide. */
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
  return web_until (r->ready[node], "/metrics", NULL, line, PROC_WAIT_MS);
}

/** Start all nodes, one of them before the others, so that it forms replicas.
 */
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
 * A small node comes seconds before all others and takes the lease by which it
 * forms replicas.  The others push their loads to the hubs and hear from it
 * alone which places there are: it has to know each of them, though as one of
 * many that come after the hubs it would not look for them.  Were it to rest
 * like these, callers at all others would be refused until each has read the
 * list by itself.
 */
Test (many_nodes, leader_links_to_all_nodes)
{
  struct rack r;
  const int first = find_last_relay_candidate ();

  start_with_first (&r, first);
  cr_expect (wait_for_metric (&r, first, "lapisline_serve_nodes 18"));
}

/* Guards against a node that others go by and that itself goes by one that
   watches: each new version would be read once more before it is handed on. */
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
