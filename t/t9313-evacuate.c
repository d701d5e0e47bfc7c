/*
 * Evacuation of an availability zone with real processes.  Half of the servers
 * are in zone "z2", the others in "z3".  The nodes are in "z1": they prefer
 * neither.
 */
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/json.h"
#include "t/lib-rack.h"
#include "t/lib-relay.h"

TestSuite (evacuate, .fini = proc_stop_all, .timeout = 120);

/** Time in which all nodes obey an evacuation; evac_ms. */
#define EVACUATION_MS 5000
/** Restored stores lack evacuations for up to this time. */
#define RESTORE_MS 10000
#define NODES 3
#define ENGINES 8

static struct rack r;
#define SERVERS 5
static const char *const evacuated_servers[SERVERS]
    = { "p2", "e5", "e6", "e7", "e8" };
static const char *const other_servers[SERVERS]
    = { "p1", "e1", "e2", "e3", "e4" };

static void
prepare (int nodes, const char *(*last) (const char *at))
{
  rack_prepare_nodes (&r, ENGINES, nodes, last);
  /* Requests are logged: more than a pipe holds. */
  if (!r.logs)
    r.logs = proc_dir ();
  for (int i = 0; i < SERVERS; i++)
    {
      rack_set (&r, "{\"server\": \"%s\", \"zone\": \"z2\"}",
                evacuated_servers[i]);
      rack_set (&r, "{\"server\": \"%s\", \"zone\": \"z3\"}",
                other_servers[i]);
    }
  rack_configure (&r, 1, "k1", "");
}

/** Waits until the server leads an open replica. */
static void
wait_for_leads (const char *server)
{
  struct web_answer a = { 0 };
  bool leads = false;

  for (int i = 0; i < 500 && !leads; i++)
    {
      struct json_object *o;
      web_call (r.platform_addr, "GET", "/control/counts", NULL, NULL, &a);
      o = jsn_parse (buf_str (&a.body));
      leads = jsn_bool (jsn_object (o, server), "leads");
      json_object_put (o);
      web_free (&a);
      usleep (20000);
    }
  cr_assert (leads, "%s leads no replica", server);
}

static void
start_nodes (int nodes)
{
  for (int i = 0; i < nodes; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < nodes; i++)
    {
      cr_assert (rack_call_until (&r, i, "/stream/x", rack_headers (""), 200));
      cr_assert (rack_call_until (&r, i, "/once/x", rack_headers (""), 200));
    }
  wait_for_leads ("e1");
  wait_for_leads ("e5");
}

/* --- clients ----------------------------------------------------------- */

struct client
{
  pthread_t thread;
  int node;
  useconds_t delay_us; /**< before the first request */
  int sent, served;
};

/** Several for each node: without concurrent streams, a node uses one of two
    equal servers. */
#define CLIENTS 3
/** Pause of a client between requests in a small and in a large fleet, such
    that the servers of one zone suffice for all clients. */
#define PAUSE_US 10000
#define MANY_PAUSE_US 500000
static useconds_t pause_us;
static struct client clients[RACK_MAX_NODES * CLIENTS];
static int nclients;
static atomic_bool stopping;

static void *
run_client (void *arg)
{
  struct client *c = arg;
  char id[32];

  usleep (c->delay_us);
  for (; !stopping; usleep (pause_us))
    {
      struct buf body = BUF_INIT;
      snprintf (id, sizeof id, "c%d-%d", (int)(c - clients), c->sent);
      c->served
          += c->sent % 4
                 ? rack_stream (&r, c->node, id, &body) == 200
                 : rack_call (&r, c->node, "/once/x", id, NULL, NULL) == 200;
      c->sent++;
      buf_free (&body);
    }
  return NULL;
}

/** Starts the clients of nodes @p from to @p to - 1.  In a large fleet their
    requests are spread over the pause and half as long, as the replica of one
    zone runs 8 at a time and each node lets a request wait for 0.1 s. */
static void
start_clients (int from, int to)
{
  bool many = to - from > NODES;

  rack_set (&r,
            many ? "{\"event_ms\": 10, \"events\": 5}" : "{\"event_ms\": 10}");
  stopping = false;
  pause_us = many ? MANY_PAUSE_US : PAUSE_US;
  nclients = (to - from) * CLIENTS;
  for (int i = 0; i < nclients; i++)
    {
      clients[i] = (struct client){ .node = from + i / CLIENTS,
                                    .delay_us = pause_us * (useconds_t)i
                                                / (useconds_t)nclients };
      pthread_create (&clients[i].thread, NULL, run_client, &clients[i]);
    }
}

static void
stop_clients (void)
{
  stopping = true;
  for (int i = 0; i < nclients; i++)
    pthread_join (clients[i].thread, NULL);
}

/** Expects that the clients of all nodes but @p except were served: all
    together, and none of them much less. */
static void
expect_served (int except)
{
  int sent = 0, served = 0;

  for (int i = 0; i < nclients; i++)
    if (clients[i].node != except)
      {
        sent += clients[i].sent;
        served += clients[i].served;
        cr_expect (clients[i].sent > 10
                       && clients[i].served >= 0.8 * clients[i].sent,
                   "node %d: served %d of %d", clients[i].node + 1,
                   clients[i].served, clients[i].sent);
      }
  cr_log_info ("served %d of %d", served, sent);
  cr_expect (served >= 0.97 * sent, "served %d of %d", served, sent);
}

/** Time from the evacuation to the last request that a server of the zone
    received. */
static int
last_arrival_ms (void)
{
  int last = 0;

  for (int i = 0; i < SERVERS; i++)
    {
      int ms = rack_get_count (&r, evacuated_servers[i], "evacuated_last_ms");
      last = ms > last ? ms : last;
    }
  return last;
}

static void
expect_obeyed (const char *what)
{
  int ms = last_arrival_ms ();

  cr_log_info ("%s: last request after %d ms", what, ms);
  cr_expect_leq (ms, EVACUATION_MS, "%s: a request after %d ms", what, ms);
}

static void
wait_ms (int ms)
{
  usleep ((useconds_t)ms * 1000);
}

/** Requests that the replica leader of the zone has executed. */
static int
count_zone_runs (void)
{
  return rack_get_count (&r, "e5", "runs");
}

/** Evacuates the zone, whose servers are in use. */
static void
evacuate_in_use (void)
{
  cr_expect_gt (count_zone_runs (), 10, "%d", count_zone_runs ());
  rack_set (&r, "{\"evacuate\": \"z2\"}");
}

/** Expects that each of the nodes uses the replica of the zone. */
static void
expect_zone_used (int nodes)
{
  for (int i = 0; i < nodes; i++)
    {
      int before = count_zone_runs ();
      start_clients (i, i + 1);
      for (int k = 0; k < 200 && count_zone_runs () == before; k++)
        wait_ms (20);
      stop_clients ();
      cr_expect_gt (count_zone_runs (), before, "node %d", i + 1);
    }
}

#define BURST 8

/** Sends requests to the plain servers at the same time, so that the node uses
    all that it may. */
static void
send_bursts (int node, int n)
{
  struct web_stream *open[BURST];

  for (int k = 0; k < n; k++)
    {
      for (int i = 0; i < BURST; i++)
        open[i] = web_open (r.front[node], "POST", "/once/x",
                            rack_headers (""), "hello");
      for (int i = 0; i < BURST; i++)
        {
          int status = web_status (open[i], PROC_WAIT_MS);
          cr_expect_eq (status, 200, "node %d, burst %d: status %d", node, k,
                        status);
          web_close (open[i]);
        }
    }
}

/** Number of lines with @p text in the logs of all nodes. */
static int
count_logged (int nodes, const char *text)
{
  char path[512], line[4096];
  int n = 0;

  for (int i = 0; i < nodes; i++)
    {
      FILE *log;
      snprintf (path, sizeof path, "%s/node-%d.log", r.logs, i + 1);
      log = fopen (path, "r");
      cr_assert (log != NULL, "%s", path);
      while (fgets (line, sizeof line, log))
        n += strstr (line, text) != NULL;
      fclose (log);
    }
  return n;
}

/* --- tests ------------------------------------------------------------- */

/* Guards against a node that sends requests to an evacuated zone, refuses its
   clients meanwhile, or doesn't use the zone afterwards. */
Test (evacuate, all_nodes_obey)
{
  rack_set_evacuation_ms (EVACUATION_MS);
  prepare (NODES, NULL);
  start_nodes (NODES);
  start_clients (0, NODES);
  wait_ms (2000);
  evacuate_in_use ();
  wait_ms (EVACUATION_MS + 2000);
  expect_obeyed ("all nodes");
  for (int i = 0; i < NODES; i++)
    cr_expect (web_poll_until (r.ready[i], "/metrics", NULL,
                               "lapisline_serve_zones_evacuated 1", 100));
  stop_clients ();
  expect_served (-1);
  rack_set (&r, "{\"return\": \"z2\"}");
  expect_zone_used (NODES);
  cr_expect_eq (count_logged (NODES, "evacuation_begun:"), NODES);
  cr_expect_eq (count_logged (NODES, "evacuation_ended:"), NODES);
}

/* Guards against a key without a zone name, or of an unknown zone, that has an
   effect, and against one that is logged at each read. */
Test (evacuate, other_keys_have_no_effect)
{
  rack_set_evacuation_ms (EVACUATION_MS);
  prepare (NODES, NULL);
  start_nodes (NODES);
  rack_set (&r, "{\"evacuate\": \"\"}");
  rack_set (&r, "{\"evacuate\": \"zz\"}");
  wait_ms (4000);
  expect_zone_used (NODES);
  cr_expect_eq (count_logged (NODES, "evacuation_begun:"), NODES);
  cr_expect_eq (count_logged (NODES, "evacuation_without_servers:"), 1);
  cr_expect_eq (count_logged (NODES, "evacuations_ignored:"), NODES);
}

/* Guards against nodes that read and watch other keys, or obey, although
   their settings enable no evacuations. */
Test (evacuate, not_enabled_changes_nothing)
{
  prepare (NODES, NULL);
  start_nodes (NODES);
  rack_set (&r, "{\"evacuate\": \"z2\"}");
  wait_ms (2000);
  expect_zone_used (NODES);
}

/* Guards against clients that wait when the last zone is evacuated, and
   against an evacuation that can't be ended then. */
Test (evacuate, last_zone_is_rejected_at_once)
{
  clk_ms start;

  rack_set_evacuation_ms (EVACUATION_MS);
  prepare (NODES, NULL);
  start_nodes (NODES);
  rack_set (&r, "{\"evacuate\": \"z3\"}");
  rack_set (&r, "{\"evacuate\": \"z2\"}");
  for (int i = 0; i < NODES; i++)
    cr_expect (rack_call_until (&r, i, "/once/x", rack_headers (""), 503));
  start = clk_now ();
  for (int i = 0; i < 50; i++)
    cr_expect_eq (rack_call (&r, i % NODES, "/once/x", "", NULL, NULL), 503);
  cr_expect_lt (clk_now () - start, 2000);
  rack_set (&r, "{\"return\": \"z3\"}");
  for (int i = 0; i < NODES; i++)
    cr_expect (rack_call_until (&r, i, "/once/x", rack_headers (""), 200));
  expect_obeyed ("last zone");
}

static int
find_leader (int nodes)
{
  for (int k = 0; k < 300; k++)
    for (int i = 0; i < nodes; i++)
      {
        struct web_answer a = { 0 };
        bool leads
            = web_call (r.ready[i], "GET", "/metrics", NULL, NULL, &a)
              && strstr (buf_c (&a.body), "lapisline_serve_duty 1") != NULL;
        web_free (&a);
        if (leads)
          return i;
      }
  cr_assert (false, "no leader");
  return 0;
}

/* Guards against leaves, which neither read nor watch the store, that learn
   nothing when the leader is killed together with the write. */
Test (evacuate, leader_killed_with_the_write)
{
  int leader;

  rack_set_evacuation_ms (EVACUATION_MS);
  prepare (RACK_MANY_NODES, NULL);
  start_nodes (RACK_MANY_NODES);
  wait_ms (3000);
  leader = find_leader (RACK_MANY_NODES);
  start_clients (0, RACK_MANY_NODES);
  wait_ms (3000);
  proc_signal (r.node[leader], SIGKILL);
  evacuate_in_use ();
  wait_ms (EVACUATION_MS + 2000);
  stop_clients ();
  expect_obeyed ("leader killed");
  expect_served (leader);
}

static struct relay *store_relay;

static const char *
connect_by_relay (const char *at)
{
  store_relay = relay_new (at, at);
  return relay_addr (store_relay, 0);
}

/* Guards against a node without access to the store that learns nothing from
   the other nodes, and against one that takes the loss of its watch for the
   end of the evacuation. */
Test (evacuate, node_cut_off_from_the_store_obeys)
{
  rack_set_evacuation_ms (EVACUATION_MS);
  prepare (NODES, connect_by_relay);
  start_nodes (NODES);
  wait_ms (2000);
  start_clients (0, NODES);
  relay_close_connections (store_relay);
  wait_ms (2000);
  evacuate_in_use ();
  wait_ms (EVACUATION_MS + 1000);
  send_bursts (NODES - 1, 20);
  expect_obeyed ("one node cut off");
  rack_set (&r, "{\"store\": {\"refuse\": true}}");
  wait_ms (5000);
  expect_obeyed ("store away");
  stop_clients ();
}

/* Guards against nodes that wait on a watch or a read that a silent store
   never answers, and learn too late of a write that it acknowledged before. */
Test (evacuate, store_silent_after_the_write)
{
  rack_set_evacuation_ms (EVACUATION_MS);
  prepare (NODES, NULL);
  start_nodes (NODES);
  start_clients (0, NODES);
  wait_ms (2000);
  rack_set (&r, "{\"store\": {\"silent\": true}, \"evacuate\": \"z2\"}");
  wait_ms (3000);
  rack_set (&r, "{\"store\": {\"silent\": false}}");
  wait_ms (4000);
  stop_clients ();
  expect_obeyed ("silent store");
  expect_served (-1);
}

/* Guards against a read that doesn't contain all keys and ends an evacuation:
   the store sends a part without items and no more. */
Test (evacuate, incomplete_read_ends_nothing)
{
  rack_set_evacuation_ms (EVACUATION_MS);
  prepare (NODES, NULL);
  start_nodes (NODES);
  rack_set (&r, "{\"evacuate\": \"z2\"}");
  wait_ms (1000);
  rack_set (&r, "{\"store\": {\"no_items\": true}}");
  wait_ms (EVACUATION_MS);
  for (int i = 0; i < NODES; i++)
    send_bursts (i, 20);
  expect_obeyed ("incomplete reads");
  cr_expect_eq (count_logged (NODES, "evacuation_ended:"), 0);
}

/* Guards against a node that starts while the store is away and sends requests
   to the zone until it is back. */
Test (evacuate, node_started_while_the_store_is_away_obeys)
{
  rack_set_evacuation_ms (EVACUATION_MS);
  prepare (NODES, NULL);
  start_nodes (NODES - 1);
  rack_set (&r, "{\"evacuate\": \"z2\"}");
  wait_ms (EVACUATION_MS);
  rack_set (&r, "{\"store\": {\"refuse\": true}}");
  rack_start_node (&r, NODES - 1);
  start_clients (0, NODES);
  wait_ms (3000);
  rack_set (&r, "{\"store\": {\"refuse\": false}}");
  cr_expect (
      rack_call_until (&r, NODES - 1, "/once/x", rack_headers (""), 200));
  wait_ms (1000);
  stop_clients ();
  expect_obeyed ("node started");
}

/* Guards against an evacuation that ends because the store was restored from a
   copy without it, at running nodes and at one that starts then. */
Test (evacuate, restore_of_the_store_ends_nothing)
{
  rack_set_evacuation_ms (EVACUATION_MS);
  prepare (NODES, NULL);
  start_nodes (NODES - 1);
  rack_set (&r, "{\"store\": {\"copy\": true}}");
  rack_set (&r, "{\"evacuate\": \"z2\"}");
  wait_ms (EVACUATION_MS);
  start_clients (0, NODES - 1);
  rack_set (&r, "{\"store\": {\"restore\": true, \"keep_leases\": true}}");
  wait_ms (2000);
  rack_start_node (&r, NODES - 1);
  cr_expect (
      rack_call_until (&r, NODES - 1, "/once/x", rack_headers (""), 200));
  send_bursts (NODES - 1, 20);
  wait_ms (RESTORE_MS - 5000);
  rack_set (&r, "{\"evacuate\": \"z2\"}");
  wait_ms (6000);
  stop_clients ();
  expect_obeyed ("restored");
}

/* Guards against an evacuation that never ends because its end is lost in a
   restore: the operators don't write it again. */
Test (evacuate, evacuation_lost_in_a_restore_ends_after_10_s)
{
  rack_set_evacuation_ms (EVACUATION_MS);
  prepare (NODES, NULL);
  start_nodes (NODES);
  rack_set (&r, "{\"store\": {\"copy\": true}}");
  rack_set (&r, "{\"evacuate\": \"z2\"}");
  wait_ms (2000);
  rack_set (&r, "{\"store\": {\"restore\": true, \"keep_leases\": true}}");
  wait_ms (RESTORE_MS + 3000);
  expect_zone_used (NODES);
}
