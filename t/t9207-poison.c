/*
 * Detection of poison requests, in a simulation of nodes that exchange
 * updates; t/lib-poison.h describes the scripts.
 */
#include <criterion/criterion.h>
#include <stdio.h>

#include "base/rng.h"
#include "base/str.h"
#include "t/lib-poison.h"

/* A poison request sent to one node after another would never be blocked if
   each node counted only the crashes that it observed itself. */
Test (poison, crashes_at_three_nodes_block_on_all_nodes)
{
  poison_run_script (
      "nodes 4\n crash 1 p 1 -1\n run 300\n query p\n crash 2 p 2 40\n"
      "run 300\n query p\n crash 3 p 3 -1\n run 50\n query p\n run 350\n"
      "query p\n query q\n",
      "p ----\np ----\np wwww\np BBBB\nq ----\n");
}

/* Nodes that are linked to the relays only must receive the block as well. */
Test (poison, relays_decide_and_all_nodes_block)
{
  poison_run_script (
      "relays 8\n crash 5 p 1 -1\n run 100\n crash 6 p 2 -1\n run 100\n"
      "crash 8 p 3 -1\n run 500\n query p\n",
      "p BBBBBBBB\n");
}

/* A request that was running by coincidence in three crashes caused by another
   request must not be blocked. */
Test (poison, unrelated_request_in_three_crashes_is_accepted)
{
  poison_run_script (
      "nodes 3\n"
      "crash 1 b 1 -1\n crash 2 p 1 -1\n run 300\n"
      "crash 1 b 2 30\n crash 3 p 2 -1\n run 300\n"
      "crash 1 b 3 -1\n crash 1 p 3 -1\n run 500\n query b\n query p\n",
      "b ---\np BBB\n");
}

/* As above, but the crashes of the poison request are reported a little later
   than those of the unrelated request. */
Test (poison, strongest_evidence_is_blocked_despite_late_report)
{
  poison_run_script ("nodes 2\n"
                     "crash 1 b 1 300\n crash 2 p 1 -1\n run 300\n"
                     "crash 1 b 2 30\n crash 2 p 2 -1\n run 300\n"
                     "crash 1 b 3 500\n run 60\n crash 2 p 3 -1\n run 600\n"
                     "query b\n query p\n",
                     "b --\np BB\n");
}

/* A request that many clients send must not be blocked when a rack fails with
   several replicas that were running it, as long as it completes elsewhere. */
Test (poison, request_completed_elsewhere_is_accepted)
{
  poison_run_script (
      "nodes 3\n complete 3 h\n run 500\n"
      "crash 1 h 1 -1\n crash 1 h 2 -1\n crash 2 h 3 -1\n crash 2 h 4 -1\n"
      "run 50\n query h\n run 350\n query h\n"
      "crash 1 h 5 -1\n run 500\n query h\n",
      "h www\nh ---\nh ---\n");
}

/* A request that was blocked by mistake must be cleared when a run of it
   completes. */
Test (poison, completed_run_clears_block)
{
  poison_run_script (
      "nodes 3\n crash 1 h 1 -1\n crash 1 h 2 -1\n crash 2 h 3 -1\n"
      "run 500\n query h\n complete 2 h\n run 50\n query h\n",
      "h BBB\nh ---\n");
}

/* Streams that had been running for a while when their replica ended must not
   be blocked early: such a crash has less weight. */
Test (poison, crash_weight_decreases_with_run_time)
{
  poison_run_script (
      "nodes 2\n crash 1 b 1 1500\n crash 1 b 2 2000\n crash 1 b 3 3000\n"
      "crash 1 c 11 100\n crash 1 c 12 0\n crash 2 c 13 499\n"
      "run 500\n query b\n query c\n crash 1 b 4 1500\n crash 1 b 5 1500\n"
      "crash 2 b 6 1500\n crash 1 c 14 200\n run 500\n query b\n query c\n",
      "b --\nc --\nb BB\nc BB\n");
}

/* A node that is not a relay receives only a part of the crash reports.  It
   must not block an unrelated request because it has no reports about the
   poison request. */
Test (poison, node_without_all_reports_does_not_decide)
{
  poison_run_script (
      "relays 6\n"
      "crash 6 b 1 -1\n crash 5 p 1 -1\n run 300\n"
      "crash 6 b 2 30\n crash 5 p 2 -1\n run 300\n"
      "crash 6 b 3 -1\n crash 5 p 3 -1\n run 500\n query b\n query p\n",
      "b ------\np BBBBBB\n");
}

/* A node without a link to any relay must still block a poison request, based
   on the crashes that it has observed. */
Test (poison, node_without_relays_decides)
{
  poison_run_script (
      "relays 6\n cut 6 1\n cut 6 2\n cut 6 3\n cut 6 4\n"
      "crash 6 p 1 -1\n crash 6 p 2 -1\n collect 6\n crash 6 p 3 -1\n"
      "run 500\n query p\n",
      "p -----B\n");
}

/* A crash that several nodes report must not be counted several times. */
Test (poison, crash_reported_by_several_nodes_counts_once)
{
  poison_run_script (
      "nodes 3\n crash 1 b 7 -1\n crash 2 b 7 -1\n crash 3 b 7 -1\n"
      "run 500\n query b\n",
      "b ---\n");
}

/* An unrelated request can be blocked first if it had the shorter run in each
   crash.  The first crash without it identifies the poison request, and the
   wrong block must be cleared. */
Test (poison, wrong_block_is_cleared_when_crashes_continue)
{
  poison_run_script (
      "nodes 2\n crash 1 b 1 -1\n crash 2 p 1 20\n run 300\n"
      "crash 1 b 2 -1\n crash 2 p 2 20\n run 300\n"
      "crash 1 b 3 -1\n crash 2 p 3 20\n run 500\n query b\n query p\n"
      "crash 2 p 4 20\n run 500\n query b\n query p\n",
      "b BB\np --\nb --\np BB\n");
}

/* Nodes must receive a block although some links are cut: other nodes forward
   it, and a node that is linked again receives a snapshot. */
Test (poison, block_is_forwarded_around_cut_links)
{
  poison_run_script (
      "nodes 4\n cut 1 2\n cut 1 3\n cut 4 1\n cut 4 2\n"
      "crash 2 p 1 -1\n crash 2 p 2 -1\n crash 2 p 3 -1\n run 500\n query p\n"
      "link 1 4\n run 50\n query p\n",
      "p -BBB\np BBBB\n");
}

/* A started node must not accept a request that all other nodes have blocked.
 */
Test (poison, started_node_receives_blocks)
{
  poison_run_script (
      "nodes 3\n crash 2 p 1 -1\n crash 2 p 2 -1\n run 50\n restart 2\n"
      "run 50\n crash 2 p 3 -1\n run 500\n query p\n restart 1\n run 20\n"
      "query p\n",
      "p BBB\np BBB\n");
}

/* A started node must receive the earlier crashes.  Otherwise it would have to
   observe three new ones if its links are cut afterwards. */
Test (poison, started_node_receives_crashes)
{
  poison_run_script (
      "nodes 3\n crash 2 p 1 -1\n crash 2 p 2 -1\n run 50\n restart 2\n"
      "run 50\n cut 2 1\n cut 2 3\n crash 2 p 3 -1\n run 500\n"
      "query p\n",
      "p -B-\n");
}

/* After a restart of all nodes, a node that reads the block from the store
   must forward it to the others. */
Test (poison, block_is_read_from_store_after_restart_of_all)
{
  poison_run_script (
      "nodes 3\n crash 1 p 1 -1\n crash 1 p 2 -1\n crash 1 p 3 -1\n"
      "run 500\n cut 1 2\n cut 1 3\n cut 2 3\n restart 1\n"
      "restart 2\n restart 3\n stored 2 p\n run 50\n query p\n",
      "p BBB\n");
}

/* Crash reports that were sent before a block was cleared and arrive after it
   must not block the request again. */
Test (poison, delayed_reports_do_not_restore_cleared_block)
{
  poison_run_script (
      "nodes 2\n crash 1 p 1 -1\n crash 1 p 2 -1\n crash 1 p 3 -1\n"
      "run 500\n query p\n clear 1 p\n run 50\n crash 2 p 4 -1\n"
      "crash 2 p 5 -1\n crash 2 p 6 -1\n run 1000\n query p\n run 1500\n"
      "crash 2 p 7 -1\n crash 2 p 8 -1\n crash 2 p 9 -1\n run 500\n"
      "query p\n",
      "p BB\np --\np BB\n");
}

/* A block must end, because the servers may have been fixed.  If they have
   not, one more crash is enough to block the request again. */
Test (poison, expired_block_returns_after_one_crash)
{
  poison_run_script (
      "nodes 2\n crash 1 p 1 -1\n crash 1 p 2 -1\n crash 1 p 3 -1\n"
      "run 500\n query p\n run 600000\n query p\n crash 2 p 9 -1\n run 500\n"
      "query p\n",
      "p BB\np --\np BB\n");
}

/* Ten thousand other requests that were running in crashes must neither evict
   blocked requests from the table nor use unbounded memory. */
Test (poison, ten_thousand_requests_do_not_evict_blocked_ones)
{
  struct psn_fleet f;
  clk_ms retry_ms;
  size_t n;

  psn_fleet_init (&f, 2, 0);
  for (uint64_t i = 0; i < 3; i++)
    psn_fleet_crash (&f, 0, 'p', 1 + i, PSN_NO_EVENT);
  /* Another request is blocked according to the store, without crashes. */
  psn_apply (f.node[0], f.now,
             &(struct psn_update){ .kind = PSN_BLOCKED,
                                   .id = { false, 's' },
                                   .hold_ms = PSN_HOLD_MS,
                                   .broadcast = true });
  for (int i = 0; i < 50; i++)
    psn_fleet_step (&f);
  for (uint64_t i = 0; i < 10000; i++)
    {
      psn_fleet_crash (&f, (int)(i % 2), 1000 + i, 1000 + i / 20, 50);
      if (i % 100 == 0)
        psn_fleet_step (&f);
    }
  for (int i = 0; i < 2; i++)
    {
      cr_expect (psn_fleet_refuses (&f, i, 'p', &retry_ms));
      cr_expect (psn_fleet_refuses (&f, i, 's', &retry_ms));
      psn_snapshot (f.node[i], f.now, &n);
      cr_expect_leq (n, PSN_MAX_SUSPECTS * 9);
    }
  psn_fleet_free (&f);
}

/* Nodes must not forward the same updates to each other endlessly. */
Test (poison, forwarding_of_updates_ends)
{
  struct psn_fleet f;

  psn_fleet_init (&f, 8, 0);
  for (uint64_t endpoint = 1; endpoint <= 40; endpoint++)
    for (int i = 0; i < 8; i++)
      psn_fleet_crash (&f, i, 'h', endpoint, PSN_NO_EVENT);
  for (int i = 0; i < 100; i++)
    psn_fleet_step (&f);
  f.sent = 0;
  for (int i = 0; i < 100; i++)
    psn_fleet_step (&f);
  cr_expect_eq (f.sent, 0);
  psn_fleet_free (&f);
}

/* --- random schedules ---------------------------------------------------- */

#define SEEDS 100
#define SIM_STEPS 3000 /* 30 s */
#define MAX_BLOCK_DELAY_MS ((clk_ms)3000)
#define RUNS 120
#define ENDPOINTS 12
#define POISON 'p'

/** A run in progress. */
struct run
{
  uint64_t digest; /* 0: none */
  int node;
  uint64_t endpoint;
  clk_ms started_at, ends; /* ends: when the run completes */
  unsigned crashes;
};

struct sim
{
  struct psn_fleet f;
  struct rng rng;
  struct run runs[RUNS];
  uint64_t endpoints[ENDPOINTS];
  uint64_t next_endpoint, next_request;
  clk_ms crash_at; /* of the server that runs the poison request; 0: none */
  clk_ms next_send_at;
  unsigned poison_crashes, late_sends;
  clk_ms threshold_at;
  unsigned attempts;
};

static clk_ms
draw (struct sim *d, clk_ms least, clk_ms span)
{
  return least + (clk_ms)rng_below (&d->rng, (uint64_t)span);
}

static struct run *
find_free_run (struct sim *d)
{
  for (int i = 0; i < RUNS; i++)
    if (!d->runs[i].digest)
      return &d->runs[i];
  return NULL;
}

static void
begin_run (struct sim *d, uint64_t digest, int node, unsigned crashes)
{
  struct run *r = find_free_run (d);

  if (r)
    *r = (struct run){ digest,
                       node,
                       d->endpoints[rng_below (&d->rng, ENDPOINTS)],
                       d->f.now,
                       d->f.now + draw (d, 300, 3000),
                       crashes };
}

/** Send the poison request again, unless the node refuses it.
    @param retry  a retry by the node, not a new request of the client */
static void
send_poison (struct sim *d, bool retry)
{
  const struct psn_request poison = { .digest = POISON };
  int node = (int)rng_below (&d->rng, (uint64_t)d->f.n);
  clk_ms retry_ms;

  if (!retry)
    d->attempts = 0;
  if (retry ? psn_is_suspect (d->f.node[node], d->f.now, &poison)
                  || ++d->attempts > 1
            : psn_fleet_refuses (&d->f, node, POISON, &retry_ms))
    {
      d->next_send_at = d->f.now + draw (d, 50, 500);
      return;
    }
  if (d->threshold_at && d->f.now > d->threshold_at + MAX_BLOCK_DELAY_MS)
    d->late_sends++;
  begin_run (d, POISON, node, 0);
  d->crash_at = d->f.now + draw (d, 100, 200);
}

/** Crash the server at an endpoint.  The nodes report the runs that it had and
    repeat all of them elsewhere except that of the poison request. */
static void
crash_endpoint (struct sim *d, uint64_t endpoint)
{
  for (int i = 0; i < ENDPOINTS; i++)
    if (d->endpoints[i] == endpoint)
      d->endpoints[i] = ++d->next_endpoint;
  for (int i = 0; i < RUNS; i++)
    {
      struct run r = d->runs[i];
      clk_ms ran = d->f.now - r.started_at - 100;
      if (!r.digest || r.endpoint != endpoint)
        continue;
      psn_fleet_crash (&d->f, r.node, r.digest, endpoint,
                       ran < 0 ? PSN_NO_EVENT : ran);
      d->runs[i].digest = 0;
      if (r.digest != POISON)
        begin_run (d, r.digest, r.node, r.crashes + 1);
    }
}

static void
crash_poison_endpoint (struct sim *d)
{
  for (int i = 0; i < RUNS; i++)
    if (d->runs[i].digest == POISON)
      {
        d->crash_at = 0;
        d->poison_crashes++;
        if (d->poison_crashes == PSN_CRASHES)
          d->threshold_at = d->f.now;
        crash_endpoint (d, d->runs[i].endpoint);
        send_poison (d, true);
        return;
      }
}

static void
check_other_request (struct sim *d, const struct run *r, uint64_t seed)
{
  clk_ms retry_ms;
  bool refused = psn_fleet_refuses (&d->f, r->node, r->digest, &retry_ms);

  cr_expect (!refused || retry_ms || r->crashes > 3,
             "seed %d: a request is blocked after %u crashes", (int)seed,
             r->crashes);
}

static void
step (struct sim *d, uint64_t seed)
{
  psn_fleet_step (&d->f);
  if (d->crash_at && d->f.now >= d->crash_at)
    crash_poison_endpoint (d);
  else if (!d->crash_at && d->f.now >= d->next_send_at)
    send_poison (d, false);
  if (rng_below (&d->rng, 400) == 0)
    crash_endpoint (d, d->endpoints[rng_below (&d->rng, ENDPOINTS)]);
  if (rng_below (&d->rng, 10) == 0)
    begin_run (d, 1000 + ++d->next_request,
               (int)rng_below (&d->rng, (uint64_t)d->f.n), 0);
  for (int i = 0; i < RUNS; i++)
    {
      struct run *r = &d->runs[i];
      if (!r->digest || r->digest == POISON || d->f.now < r->ends)
        continue;
      check_other_request (d, r, seed);
      psn_fleet_complete (&d->f, r->node, r->digest);
      r->digest = 0;
    }
}

static void
run_simulation (uint64_t seed)
{
  struct sim d = { 0 };

  rng_seed (&d.rng, seed);
  psn_fleet_init (&d.f, seed % 2 ? 8 : 20, seed % 2 ? 0 : 4);
  d.next_endpoint = ENDPOINTS;
  for (uint64_t i = 0; i < ENDPOINTS; i++)
    d.endpoints[i] = i + 1;
  d.next_send_at = d.f.now + 1000;
  for (int i = 0; i < SIM_STEPS; i++)
    {
      if (d.crash_at == 0 && d.next_send_at == 0)
        d.next_send_at = d.f.now;
      step (&d, seed);
    }
  cr_expect_leq (d.late_sends, 3, "seed %d: sent %u times late", (int)seed,
                 d.late_sends);
  cr_expect_leq (d.poison_crashes, PSN_CRASHES + 3, "seed %d: %u crashes",
                 (int)seed, d.poison_crashes);
  psn_fleet_free (&d.f);
}

/* A poison request must not continue to crash servers, and other requests must
   not be blocked instead, in any order of crashes, completions and updates. */
Test (poison, random_schedules)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    run_simulation (seed);
}

/* Seeds of earlier failures.  In the first two, unrelated requests were
   blocked; in the last one, a block of the wrong request let the poison
   request crash five more servers. */
Test (poison, regression_seeds)
{
  static const uint64_t seeds[] = { 231, 287, 2406 };

  for (size_t i = 0; i < sizeof seeds / sizeof seeds[0]; i++)
    run_simulation (seeds[i]);
}

/* Guards against a node that blocks a request right after a pause of its
   process, although another node has reported that it completed: the report
   waits in the socket. */
Test (poison, pause_does_not_end_the_wait_for_a_completion)
{
  struct psn *p = psn_new ();
  const struct psn_request request = { .digest = 1 };
  struct psn_update cleared = { .kind = PSN_CLEARED, .id = { false, 1 } };
  clk_ms now = 1000;

  for (uint64_t i = 0; i < PSN_CRASHES; i++)
    psn_apply (p, now,
               &(struct psn_update){ .kind = PSN_CRASH,
                                     .id = { false, 1 },
                                     .endpoint = 10 + i,
                                     .ran_ms = PSN_NO_EVENT });
  for (; now < 1150; now += 10)
    psn_tick (p, now);
  cr_assert (psn_is_suspect (p, now, &request));
  cr_assert_eq (psn_count_blocked (p, false), 0);
  now += 1000;
  psn_resumed (p, now);
  psn_tick (p, now);
  cr_expect_eq (psn_count_blocked (p, false), 0);
  psn_apply (p, now + 10, &cleared);
  psn_tick (p, now + 1000);
  cr_expect_eq (psn_count_blocked (p, false), 0);
  psn_free (p);
}
