/*
 * Backoff of store calls while the store is unavailable, and the delay of
 * watches.  A simulated node has several modules that each make a call
 * whenever the backoff allows it; the tests count its calls.
 */
#include <criterion/criterion.h>

#include "serve/pause.h"

#define MODULES 4
#define STEP_MS ((clk_ms)10)
#define ANSWER_MS ((clk_ms)20)

struct node
{
  struct pau backoff;
  struct rng rng;
  clk_ms call_ends_at[MODULES]; /* end of the call in flight; 0: none */
  unsigned calls;
};

/** Run the node; every call is answered with @p status after ANSWER_MS. */
static void
run (struct node *n, clk_ms from, clk_ms to, enum store_status status)
{
  for (clk_ms now = from; now < to; now += STEP_MS)
    for (int i = 0; i < MODULES; i++)
      {
        if (n->call_ends_at[i] && now >= n->call_ends_at[i])
          {
            n->call_ends_at[i] = 0;
            pau_call_ended (&n->backoff, now, status, &n->rng);
          }
        if (!n->call_ends_at[i] && pau_may_call (&n->backoff, now))
          {
            pau_call_started (&n->backoff);
            n->call_ends_at[i] = now + ANSWER_MS;
            n->calls++;
          }
      }
}

/*
 * Guards against independent retries by the modules of a node.  In an outage
 * of ten seconds the node makes about one call per second in all, not one per
 * second and module.
 */
Test (backoff, outage_causes_few_calls)
{
  struct node n = { 0 };

  rng_seed (&n.rng, 1);
  run (&n, 1000, 1100, STORE_OK);
  n.calls = 0;
  run (&n, 1100, 11100, STORE_UNAVAILABLE);
  cr_expect_leq (n.calls, MODULES + 16, "%u calls", n.calls);
  cr_expect_geq (n.calls, 8, "%u calls", n.calls);
}

/*
 * Guards against useless calls of a node that the store rejects while other
 * nodes push everything that it would read.  In nine seconds it makes about
 * one call every three seconds.
 */
Test (backoff, pushed_node_probes_less_often)
{
  struct node n = { .backoff = { .pushed = true } };

  rng_seed (&n.rng, 4);
  run (&n, 1000, 1100, STORE_OK);
  n.calls = 0;
  run (&n, 1100, 10100, STORE_UNAVAILABLE);
  cr_expect_leq (n.calls, MODULES + 7, "%u calls", n.calls);
}

/*
 * Guards against modules that remain blocked after an outage.  The backoff is
 * at most a second, so a probe succeeds soon after the outage; then all
 * modules make their call in the same step.
 */
Test (backoff, first_success_releases_all_modules)
{
  struct node n = { 0 };

  rng_seed (&n.rng, 2);
  run (&n, 1000, 9000, STORE_UNAVAILABLE);
  run (&n, 9000, 10100, STORE_OK);
  cr_expect_eq (n.backoff.failures, 0);
  for (int i = 0; i < MODULES; i++)
    cr_expect (n.call_ends_at[i] > 0, "module %d waits", i);
}

/* Guards against a backoff that grows with each of several calls that were in
   flight together when the store failed. */
Test (backoff, concurrent_failures_count_once)
{
  struct node n = { 0 };

  rng_seed (&n.rng, 3);
  for (int i = 0; i < MODULES; i++)
    pau_call_started (&n.backoff);
  for (int i = 0; i < MODULES; i++)
    pau_call_ended (&n.backoff, 1000 + i, STORE_UNAVAILABLE, &n.rng);
  cr_expect_eq (n.backoff.failures, 1);
  cr_expect_not (pau_may_call (&n.backoff, 1100));
  cr_expect (pau_may_call (&n.backoff, 1250));
}

/*
 * Guards against a backoff after results that do not mean an outage: an
 * expired lease, a failed comparison, a write with an unknown result or an
 * exceeded budget.
 */
Test (backoff, other_results_cause_no_backoff)
{
  static const enum store_status other[]
      = { STORE_CONFLICT, STORE_GONE, STORE_UNCERTAIN, STORE_OVER_BUDGET };
  struct node n = { 0 };

  rng_seed (&n.rng, 4);
  for (size_t i = 0; i < sizeof other / sizeof other[0]; i++)
    {
      pau_call_started (&n.backoff);
      pau_call_ended (&n.backoff, 1000, other[i], &n.rng);
      cr_expect (pau_may_call (&n.backoff, 1000), "status %d", other[i]);
    }
}

/*
 * Guards against a cost of watches that grows with the square of the number of
 * nodes.  While sixty nodes are restarted one after the other, each start and
 * stop triggers every watch.  The leader and the first nodes in rank start the
 * next watch soon; the others wait some seconds, so that one watch returns
 * several changes.  A node of a small fleet or without a link does not wait
 * either.
 */
Test (backoff, low_ranks_of_many_nodes_delay_watches)
{
  unsigned calls = 0;

  for (unsigned rank = 0; rank < 60; rank++)
    {
      clk_ms delay = pau_watch_delay_ms (60, rank, false);
      cr_expect (rank < 4 ? delay <= 800 : delay >= 3000, "rank %u: %lld",
                 rank, (long long)delay);
      calls += (unsigned)(30000 / delay);
    }
  cr_expect_lt (calls, 60 * 13, "%u calls in 30 s", calls);
  cr_expect_leq (pau_watch_delay_ms (60, 30, true), 800);
  cr_expect_leq (pau_watch_delay_ms (9, 8, false), 200);
}

/* Guards against a node that stays in a long backoff after it has lost the
   nodes that pushed the configuration to it: a new version would come into
   force too late. */
Test (backoff, backoff_is_shortened_when_pushes_stop)
{
  struct node n = { 0 };

  rng_seed (&n.rng, 1);
  pau_set_pushed (&n.backoff, 1000, true, &n.rng);
  run (&n, 1000, 10000, STORE_UNAVAILABLE);
  cr_assert_gt (n.backoff.next_call, 10000 + 300);
  pau_set_pushed (&n.backoff, 10000, false, &n.rng);
  cr_expect_leq (n.backoff.next_call, 10000 + 200);
}
