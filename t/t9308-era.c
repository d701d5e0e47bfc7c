/*
 * Restore of the store from an older copy, with real processes. Later writes
 * and leases are lost, and their revision numbers are assigned again.
 */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"
#include "t/lib-relay.h"

TestSuite (store_restore, .fini = proc_stop_all, .timeout = 120);

/** Gap between the copy's revision and the nodes' first write. Revisions
   assigned after the restore stay below that of this write. */
#define REVISION_GAP 100000
#define NODES 3
/** Longest time until the nodes' entries are in the store again, the same as
    for those of backend servers. */
#define ENTRIES_BACK_MS ((clk_ms)2000)
/** Longest time without a leader in the first seconds after a restore. */
#define LEADER_BACK_MS ENTRIES_BACK_MS

/** Starts the first @p nodes and waits until each serves a stream. */
static void
start_nodes (struct rack *r, int nodes)
{
  for (int i = 0; i < nodes; i++)
    rack_start_node (r, i);
  for (int i = 0; i < nodes; i++)
    cr_assert (
        rack_call_until (r, i, "/stream/x", rack_headers ("warm"), 200));
}

/** Starts all nodes but the last. The store has a copy made before the nodes
   started. */
static void
start_with_backup (struct rack *r, int engines)
{
  rack_prepare_nodes (r, engines, NODES, NULL);
  rack_configure (r, 1, "k1", "");
  rack_set (r, "{\"store\": {\"copy\": true, \"skip\": %d}}", REVISION_GAP);
  start_nodes (r, NODES - 1);
}

static void
restore_store (struct rack *r)
{
  rack_set (r, "{\"store\": {\"refuse\": true}}");
  usleep (500000);
  rack_set (r, "{\"store\": {\"refuse\": false, \"restore\": true}}");
}

/* Guards against a new leader with a lower fencing number than the backend
   servers have seen; they would refuse its orders permanently. */
Test (store_restore, replicas_are_repaired_after_restore)
{
  struct rack r;

  start_with_backup (&r, 4);
  restore_store (&r);
  rack_set (&r, "{\"server\": \"e1\", \"dead\": true}");
  usleep (1000000);
  cr_expect (rack_call_until (&r, 0, "/stream/x", rack_headers ("a"), 200));
}

/* Guards against replacing the lost secret by a new one: a node that starts
   afterwards could never link. */
Test (store_restore, node_started_after_restore_is_linked)
{
  struct rack r;

  start_with_backup (&r, 4);
  restore_store (&r);
  rack_start_node (&r, NODES - 1);
  for (int i = 0; i < NODES; i++)
    cr_expect (web_poll_until (r.ready[i], "/metrics", NULL,
                               "lapisline_serve_nodes 3", PROC_WAIT_MS),
               "node %d", i + 1);
}

static const char k2_headers[]
    = "Host: h\r\nX-Lapisline-Request-Id: b\r\nX-Api-Key: k2\r\n";

/* Guards against applying an older configuration that the restored store
   returns, also at a node that starts afterwards. */
Test (store_restore, restored_old_configuration_is_ignored)
{
  struct rack r;

  start_with_backup (&r, 4);
  rack_configure (&r, 2, "k2", "");
  for (int i = 0; i < NODES - 1; i++)
    cr_assert (rack_call_until (&r, i, "/once/x", k2_headers, 200));
  restore_store (&r);
  rack_start_node (&r, NODES - 1);
  cr_expect (rack_call_until (&r, NODES - 1, "/once/x", k2_headers, 200));
  for (int i = 0; i < NODES; i++)
    cr_expect_eq (rack_call (&r, i, "/once/x", "c", NULL, NULL), 401,
                  "node %d", i + 1);
}

/** Time from the restore until @p nodes nodes have an entry again. */
static clk_ms
wait_for_entries (const struct rack *r, int nodes)
{
  clk_ms start = clk_now ();

  while (rack_get_count (r, "store", "nodes") < nodes
         && clk_now () - start < PROC_WAIT_MS)
    usleep (10000);
  return clk_now () - start;
}

/* Guards against node entries that are missing after a restore until each node
   has renewed its lease: nodes that start meanwhile don't find the others. */
Test (store_restore, entries_are_back_soon)
{
  const int nodes = RACK_MANY_NODES;
  struct rack r;
  clk_ms ms;

  rack_prepare_nodes (&r, 4, nodes, NULL);
  rack_configure (&r, 1, "k1", "");
  rack_set (&r, "{\"store\": {\"copy\": true}}");
  start_nodes (&r, nodes);
  cr_assert_eq (rack_get_count (&r, "store", "nodes"), nodes);
  restore_store (&r);
  cr_assert_lt (rack_get_count (&r, "store", "nodes"), nodes);
  ms = wait_for_entries (&r, nodes);
  cr_expect_leq (ms, ENTRIES_BACK_MS, "%lld ms", (long long)ms);
}

/* Guards against renewing or ending a lease of before a restore: the store
   assigns its identifier again, and the entry of another node would be
   removed with it. */
Test (store_restore, earlier_leases_are_not_used)
{
  const int nodes = RACK_MANY_NODES;
  struct rack r;
  int fewest = nodes;

  rack_prepare_nodes (&r, 4, nodes, NULL);
  rack_configure (&r, 1, "k1", "");
  rack_set (&r, "{\"store\": {\"copy\": true}}");
  /* The leader holds the second lease, which the restored store assigns to
     another node. */
  rack_start_node (&r, 0);
  cr_assert (web_poll_until (r.ready[0], "/metrics", NULL,
                             "lapisline_serve_duty 1", PROC_WAIT_MS));
  for (int i = 1; i < nodes; i++)
    rack_start_node (&r, i);
  cr_assert_lt (wait_for_entries (&r, nodes), PROC_WAIT_MS);
  restore_store (&r);
  cr_assert_leq (wait_for_entries (&r, nodes), ENTRIES_BACK_MS);
  for (clk_ms end = clk_now () + 3000; clk_now () < end; usleep (10000))
    {
      int n = rack_get_count (&r, "store", "nodes");
      fewest = n < fewest ? n : fewest;
    }
  cr_expect_eq (fewest, nodes, "%d of %d entries", fewest, nodes);
}

/** Waits until a node other than @p except is leader; false after
    @p wait_ms. */
static bool
wait_for_leader (const struct rack *r, int nodes, int except, clk_ms wait_ms)
{
  for (clk_ms end = clk_now () + wait_ms; clk_now () < end; usleep (20000))
    for (int i = 0; i < nodes; i++)
      if (i != except
          && web_poll_until (r->ready[i], "/metrics", NULL,
                             "lapisline_serve_duty 1", 1))
        return true;
  return false;
}

static void
wait_for_held_write (const struct rack *r)
{
  int held = 0;

  for (clk_ms end = clk_now () + PROC_WAIT_MS; clk_now () < end && !held;
       usleep (5000))
    held = rack_get_count (r, "store", "held");
  cr_assert_gt (held, 0);
}

/* Guards against a system that stays without a leader: a write of the leader
   key that the store executes after the restore, under a lease that it has
   assigned again by then, must not keep the key for as long as that lease. */
Test (store_restore, late_write_of_leader_key_is_removed)
{
  const int leader = rack_leader (NODES);
  struct rack r;

  rack_prepare_nodes (&r, 4, NODES, NULL);
  rack_configure (&r, 1, "k1", "");
  start_nodes (&r, NODES);
  cr_assert (wait_for_leader (&r, NODES, -1, PROC_WAIT_MS));
  rack_set (&r, "{\"store\": {\"hold\": \"duty\", \"hold_most\": 100}}");
  proc_signal (r.node[leader], SIGKILL);
  rack_set (&r, "{\"store\": {\"copy\": true}}");
  wait_for_held_write (&r);
  rack_set (&r, "{\"store\": {\"restore\": true}}");
  cr_assert_lt (wait_for_entries (&r, NODES - 1), PROC_WAIT_MS);
  rack_set (&r, "{\"store\": {\"hold\": \"\"}}");
  /* A node that takes the late write for its own loses the lead within its
     lease. */
  usleep (2000000);
  cr_expect (wait_for_leader (&r, NODES, leader, PROC_WAIT_MS));
}

/* Guards against a node whose entry is missing for good: a late write of it,
   under a lease that is another node's by then, replaces the one under its own
   lease, and ends with the other node. */
Test (store_restore, late_write_of_entry_is_replaced)
{
  struct rack r;

  rack_prepare_nodes (&r, 4, NODES, NULL);
  rack_configure (&r, 1, "k1", "");
  start_nodes (&r, NODES - 1);
  rack_set (&r, "{\"store\": {\"copy\": true, \"hold\": \"nodes/\","
                " \"hold_most\": 1}}");
  rack_start_node (&r, NODES - 1);
  wait_for_held_write (&r);
  rack_set (&r, "{\"store\": {\"restore\": true}}");
  cr_assert_lt (wait_for_entries (&r, NODES), PROC_WAIT_MS);
  rack_set (&r, "{\"store\": {\"hold\": \"\"}}");
  usleep (500000);
  for (int i = 0; i < NODES - 1; i++)
    {
      proc_signal (r.node[i], SIGTERM);
      cr_assert_eq (proc_wait (r.node[i], PROC_WAIT_MS), 0);
    }
  usleep (500000);
  cr_expect_lt (wait_for_entries (&r, 1), PROC_WAIT_MS);
}

/* Guards against a long time without a leader after a restore with the leases
   of the copy: the leader uses none of before the restore, and its key stays
   until the lease expires. */
Test (store_restore, leader_is_back_after_restore_with_leases)
{
  struct rack r;
  clk_ms without = 0;

  rack_prepare_nodes (&r, 4, NODES, NULL);
  rack_configure (&r, 1, "k1", "");
  start_nodes (&r, NODES);
  cr_assert (wait_for_leader (&r, NODES, -1, PROC_WAIT_MS));
  rack_set (&r, "{\"store\": {\"copy\": true}}");
  rack_set (&r, "{\"store\": {\"refuse\": true}}");
  usleep (500000);
  rack_set (&r, "{\"store\": {\"refuse\": false, \"restore\": true,"
                " \"keep_leases\": true}}");
  for (clk_ms end = clk_now () + 6000, last = clk_now (); clk_now () < end;)
    {
      bool has = wait_for_leader (&r, NODES, -1, 1);
      without += has ? 0 : clk_now () - last;
      last = clk_now ();
    }
  cr_expect_leq (without, LEADER_BACK_MS, "%lld ms", (long long)without);
  cr_log_info ("%lld ms without a leader", (long long)without);
}

static struct relay *tcp_proxy;

static const char *
connect_by_proxy (const char *at)
{
  tcp_proxy = relay_new (at, at);
  return relay_addr (tcp_proxy, 0);
}

/* Guards against a node that takes revisions of before a restore for valid
   because it can't reach the store itself. */
Test (store_restore, cut_off_node_learns_of_restore)
{
  struct rack r;

  rack_prepare_nodes (&r, 4, NODES, connect_by_proxy);
  rack_configure (&r, 1, "k1", "");
  rack_set (&r, "{\"store\": {\"copy\": true}}");
  start_nodes (&r, NODES);
  relay_close_connections (tcp_proxy);
  restore_store (&r);
  cr_expect (web_poll_until (r.ready[NODES - 1], "/metrics", NULL,
                             "lapisline_serve_store_era 2", 2000));
}

/* Guards against a node that becomes leader with the older configuration that
   the restored store returns: the other nodes receive theirs from the leader,
   and nobody sent the leader a newer one. */
Test (store_restore, new_leader_receives_newer_configuration)
{
  struct rack r;

  start_with_backup (&r, 4);
  rack_configure (&r, 2, "k2", "");
  for (int i = 0; i < NODES - 1; i++)
    cr_assert (rack_call_until (&r, i, "/once/x", k2_headers, 200));
  for (int i = 0; i < NODES - 1; i++)
    proc_signal (r.node[i], SIGSTOP);
  restore_store (&r);
  rack_start_node (&r, NODES - 1);
  cr_assert (web_poll_until (r.ready[NODES - 1], "/metrics", NULL,
                             "lapisline_serve_duty 1", PROC_WAIT_MS));
  for (int i = 0; i < NODES - 1; i++)
    proc_signal (r.node[i], SIGCONT);
  cr_expect (rack_call_until (&r, NODES - 1, "/once/x", k2_headers, 200));
  cr_expect_eq (rack_call (&r, NODES - 1, "/once/x", "c", NULL, NULL), 401);
}

/* Guards against a final refusal, by the older version, of a key that a newer
   version has: a client does not repeat it. */
Test (store_restore, older_version_denies_nothing)
{
  struct rack r;
  int statuses[600] = { 0 };

  start_with_backup (&r, 4);
  rack_configure (&r, 2, "k2", "");
  for (int i = 0; i < NODES - 1; i++)
    cr_assert (rack_call_until (&r, i, "/once/x", k2_headers, 200));
  restore_store (&r);
  rack_start_node (&r, NODES - 1);
  for (clk_ms end = clk_now () + 3000; clk_now () < end; usleep (5000))
    statuses[rack_call (&r, NODES - 1, "/once/x", "", k2_headers, NULL)]++;
  cr_expect_eq (statuses[401], 0, "%d of %d calls denied", statuses[401],
                statuses[401] + statuses[200] + statuses[503]);
  cr_expect_gt (statuses[200], 0, "401: %d, 429: %d, 503: %d, 504: %d",
                statuses[401], statuses[429], statuses[503], statuses[504]);
}

/* Guards against state lost by a second restore while nodes are still
   rewriting what the first one lost. */
Test (store_restore, two_restores_in_a_row)
{
  struct rack r;

  start_with_backup (&r, 4);
  restore_store (&r);
  usleep (200000);
  restore_store (&r);
  rack_set (&r, "{\"server\": \"e1\", \"dead\": true}");
  usleep (1000000);
  cr_expect (rack_call_until (&r, 0, "/stream/x", rack_headers ("a"), 200));
  rack_start_node (&r, NODES - 1);
  cr_expect (web_poll_until (r.ready[0], "/metrics", NULL,
                             "lapisline_serve_nodes 3", PROC_WAIT_MS));
}

/** More than the bits of a combined revision below the era. */
#define LARGE_GAP ((int64_t)1 << 33)

static void
restart_nodes (struct rack *r, int nodes)
{
  for (int i = 0; i < nodes; i++)
    {
      proc_signal (r->node[i], SIGKILL);
      proc_wait (r->node[i], PROC_WAIT_MS);
    }
  start_nodes (r, nodes);
}

/* Guards against nodes that can't read the store, and never serve, once its
   revisions have passed 2^33. */
Test (store_restore, nodes_start_at_large_revisions)
{
  struct rack r;

  start_with_backup (&r, 4);
  rack_set (&r, "{\"store\": {\"skip\": %lld}}", (long long)LARGE_GAP);
  restart_nodes (&r, NODES - 1);
  rack_configure (&r, 2, "k2", "");
  for (int i = 0; i < NODES - 1; i++)
    cr_expect (rack_call_until (&r, i, "/once/x", k2_headers, 200),
               "node %d doesn't receive changes", i + 1);
}

/* Guards against the same at a restore, whose revisions are lower than those
   that nodes know. */
Test (store_restore, replicas_are_repaired_at_large_revisions)
{
  struct rack r;

  rack_prepare_nodes (&r, 4, NODES, NULL);
  rack_configure (&r, 1, "k1", "");
  rack_set (&r, "{\"store\": {\"skip\": %lld}}", (long long)LARGE_GAP);
  rack_set (&r, "{\"store\": {\"copy\": true, \"skip\": %d}}", REVISION_GAP);
  start_nodes (&r, NODES - 1);
  restore_store (&r);
  rack_set (&r, "{\"server\": \"e1\", \"dead\": true}");
  usleep (1000000);
  cr_expect (rack_call_until (&r, 0, "/stream/x", rack_headers ("a"), 200));
  rack_start_node (&r, NODES - 1);
  cr_expect (web_poll_until (r.ready[0], "/metrics", NULL,
                             "lapisline_serve_nodes 3", PROC_WAIT_MS));
}
