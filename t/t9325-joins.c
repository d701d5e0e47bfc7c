/*
 * Leaders that change while servers crash and the store is away, with real
 * processes.  The stand-in records each join with the replica that the server
 * was in.
 */
#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/json.h"
#include "base/rng.h"
#include "t/lib-rack.h"
#include "t/lib-relay.h"
#include "t/lib-soak.h"

TestSuite (joins, .fini = proc_stop_all, .timeout = 120);

#define NODES 2
#define CLIENTS 6
#define ENGINES 60
/** Servers that are listed during the test. */
#define ADDED 15
#define DOMAIN_SIZE 10
#define STALL_MS 1500 /* as in the settings */

static struct rack rack;
static struct relay *store_relay; /* between the first leader and the store */
static atomic_bool stop;

static const char *
connect_by_relay (const char *at)
{
  store_relay = relay_new (at, at);
  return relay_addr (store_relay, 0);
}

static void *
run_client (void *arg)
{
  size_t number = (size_t)arg;

  for (unsigned i = 0; !atomic_load (&stop); i++)
    {
      struct buf body = BUF_INIT;
      char id[32];
      snprintf (id, sizeof id, "c%zu-%u", number, i);
      rack_stream (&rack, (int)((number + i) % NODES), id, &body);
      buf_free (&body);
    }
  return NULL;
}

static void
sleep_until (clk_ms at)
{
  while (clk_now () < at)
    usleep (2000);
}

/** Crashes a server each second. */
static void
crash_servers (struct rng *rng, clk_ms from, clk_ms until)
{
  for (; from < until; from += CLK_SECOND)
    {
      sleep_until (from);
      rack_set (&rack, "{\"server\": \"e%d\", \"crash\": true}",
                1 + (int)rng_below (rng, ENGINES));
    }
}

static void
set_added (int from, int n, bool listed)
{
  for (int i = from; i < from + n; i++)
    rack_set (&rack, "{\"server\": \"e%d\", \"unlisted\": %s}",
              ENGINES + i + 1, listed ? "false" : "true");
}

/** The node of the lowest rank leads first. */
static void
start (int leader)
{
  rack_set_domain_size (DOMAIN_SIZE);
  rack_set_mapped_node (leader);
  rack_prepare_nodes (&rack, ENGINES + ADDED, NODES, connect_by_relay);
  rack_set (&rack,
            "{\"stall_ms\": %d, \"revive_ms\": 3000, \"entry_lag_ms\": 40,"
            " \"event_ms\": 40, \"events\": 30}",
            STALL_MS);
  set_added (0, ADDED, false);
  rack_configure (&rack, 1, "k1", "");
  rack_start_node (&rack, leader);
  cr_assert (web_poll_until (rack.ready[leader], "/metrics", NULL,
                             "lapisline_serve_duty 1", PROC_WAIT_MS));
  rack_start_node (&rack, !leader);
  for (int i = 0; i < NODES; i++)
    cr_assert (
        rack_call_until (&rack, i, "/stream/x", rack_headers ("warm"), 200));
}

/** The other node leads while servers crash; then the store is away with the
    leases, and the first leader leads again while entries are missing. */
static void
inject_faults (struct rng *rng, int leader, clk_ms at)
{
  sleep_until (at + 1000);
  set_added (0, 5, true);
  sleep_until (at + 2500);
  set_added (5, 5, true);
  sleep_until (at + 3000);
  relay_close_connections (store_relay);
  crash_servers (rng, at + 5000, at + 9000);
  relay_accept_connections (store_relay);
  set_added (10, 5, true);
  crash_servers (rng, at + 9000, at + 16000);
  sleep_until (at + 16500);
  rack_set (&rack, "{\"store\": {\"refuse\": true, \"lapse\": true}}");
  proc_signal (rack.node[!leader], SIGKILL);
  sleep_until (at + 20700);
  rack_set (&rack, "{\"store\": {\"refuse\": false, \"lapse\": true,"
                   " \"expire_servers\": 2000}}");
  sleep_until (at + 29000);
}

/** Logs the joins out of an open replica and expects that there are none. */
static void
expect_no_join_while_open (void)
{
  struct web_answer a = { 0 };
  struct json_object *list;
  size_t n;

  cr_assert (
      web_call (rack.platform_addr, "GET", "/control/joins", NULL, NULL, &a));
  list = jsn_parse (buf_str (&a.body));
  n = json_object_array_length (list);
  cr_expect_gt (n, ENGINES, "%zu joins", n);
  for (size_t i = 0; i < n; i++)
    {
      struct json_object *o = json_object_array_get_idx (list, i);
      cr_expect (!str_is (jsn_str (o, "leader_state"), "open"), "%s",
                 json_object_to_json_string (o));
    }
  json_object_put (list);
  web_free (&a);
}

/* Guards against a server that joins another replica while its own is open:
   the leader that returns has older knowledge of it. */
Test (joins, leader_returns_after_leases_ended)
{
  const int leader = rack_leader (NODES);
  pthread_t client[CLIENTS];
  struct rng rng;

  rng_seed (&rng, soak_env_number ("JOINS_SEED", 1));
  start (leader);
  for (size_t i = 0; i < CLIENTS; i++)
    pthread_create (&client[i], NULL, run_client, (void *)i);
  inject_faults (&rng, leader, clk_now ());
  atomic_store (&stop, true);
  for (size_t i = 0; i < CLIENTS; i++)
    pthread_join (client[i], NULL);
  expect_no_join_while_open ();
}
