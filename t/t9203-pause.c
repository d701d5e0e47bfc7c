/*
 * When the store is called again that does not answer.  The script counts the
 * calls that a node with several things to ask makes.
 */
#include <criterion/criterion.h>

#include "serve/pause.h"

#define ASKERS 4
#define STEP_MS ((clk_ms)10)
#define ANSWER_MS ((clk_ms)20)

struct node
{
  struct bof p;
  struct rng rng;
  clk_ms until[ASKERS]; /* of the call under way; 0: none */
  unsigned calls;
};

/** All askers want to call all the time; the answer is always @p status. */
static void
run (struct node *n, clk_ms from, clk_ms to, enum store_status status)
{
  for (clk_ms now = from; now < to; now += STEP_MS)
    for (int i = 0; i < ASKERS; i++)
      {
        if (n->until[i] && now >= n->until[i])
          {
            n->until[i] = 0;
            pau_ended (&n->p, now, status, &n->rng);
          }
        if (!n->until[i] && pau_may_call (&n->p, now))
          {
            pau_called (&n->p);
            n->until[i] = now + ANSWER_MS;
            n->calls++;
          }
      }
}

/*
 * The store is away for ten seconds.  Callers are served by what is known; a
 * node finds out with one call a second in all, not with four of each asker.
 */
Test (pause, an_outage_costs_few_calls)
{
  struct node n = { 0 };

  rng_seed (&n.rng, 1);
  run (&n, 1000, 1100, STORE_OK);
  n.calls = 0;
  run (&n, 1100, 11100, STORE_UNAVAILABLE);
  cr_expect_leq (n.calls, ASKERS + 16, "%u calls", n.calls);
  cr_expect_geq (n.calls, 8, "%u calls", n.calls);
}

/*
 * The store turns this node away for nine seconds; the others tell it all that
 * it needs.  Its callers notice nothing, and it asks every third second.
 */
Test (pause, a_node_that_is_told_asks_seldom)
{
  struct node n = { .p = { .pushed = true } };

  rng_seed (&n.rng, 4);
  run (&n, 1000, 1100, STORE_OK);
  n.calls = 0;
  run (&n, 1100, 10100, STORE_UNAVAILABLE);
  cr_expect_leq (n.calls, ASKERS + 7, "%u calls", n.calls);
}

/*
 * It is back.  Within a second and a bit the node knows, and then nothing
 * waits: all askers call in the same step.
 */
Test (pause, the_first_answer_lets_all_go)
{
  struct node n = { 0 };

  rng_seed (&n.rng, 2);
  run (&n, 1000, 9000, STORE_UNAVAILABLE);
  run (&n, 9000, 10100, STORE_OK);
  cr_expect_eq (n.p.failures, 0);
  for (int i = 0; i < ASKERS; i++)
    cr_expect (n.until[i] > 0, "asker %d waits", i);
}

/* Calls that were out together when the store went are one failure. */
Test (pause, calls_lost_together_are_one_failure)
{
  struct node n = { 0 };

  rng_seed (&n.rng, 3);
  for (int i = 0; i < ASKERS; i++)
    pau_called (&n.p);
  for (int i = 0; i < ASKERS; i++)
    pau_ended (&n.p, 1000 + i, STORE_UNAVAILABLE, &n.rng);
  cr_expect_eq (n.p.failures, 1);
  cr_expect_not (pau_may_call (&n.p, 1100));
  cr_expect (pau_may_call (&n.p, 1250));
}

/*
 * The store answers that a lease is gone, or that a compare failed, or a
 * write's answer is lost: none of these says that it is away.
 */
Test (pause, other_answers_are_no_outage)
{
  static const enum store_status other[]
      = { STORE_CONFLICT, STORE_GONE, STORE_UNCERTAIN, STORE_OVER_BUDGET };
  struct node n = { 0 };

  rng_seed (&n.rng, 4);
  for (size_t i = 0; i < sizeof other / sizeof other[0]; i++)
    {
      pau_called (&n.p);
      pau_ended (&n.p, 1000, other[i], &n.rng);
      cr_expect (pau_may_call (&n.p, 1000), "status %d", other[i]);
    }
}

/*
 * Sixty nodes are restarted one after the other, and each start and stop wakes
 * every watch.  Who gives orders, and the few that may be next, look again at
 * once; for the rest the changes of some seconds go together.  Few nodes, and
 * one without a link, look at once.
 */
Test (pause, most_of_many_nodes_watch_in_turns_of_seconds)
{
  unsigned calls = 0;

  for (unsigned rank = 0; rank < 60; rank++)
    {
      clk_ms pace = bof_watch_delay_ms (60, rank, false);
      cr_expect (rank < 4 ? pace <= 800 : pace >= 3000, "rank %u: %lld", rank,
                 (long long)pace);
      calls += (unsigned)(30000 / pace);
    }
  cr_expect_lt (calls, 60 * 13, "%u calls in 30 s", calls);
  cr_expect_leq (bof_watch_delay_ms (60, 30, true), 800);
  cr_expect_leq (bof_watch_delay_ms (9, 8, false), 200);
}

/* Guards against a node that waits out a long pause after it has lost the
   nodes that pushed the configuration to it: a new version would come too
   late. */
Test (pause, who_is_pushed_to_no_more_calls_soon)
{
  struct node n = { 0 };

  rng_seed (&n.rng, 1);
  bof_set_pushed (&n.p, 1000, true, &n.rng);
  run (&n, 1000, 10000, STORE_UNAVAILABLE);
  cr_assert_gt (n.p.next_call, 10000 + 300);
  bof_set_pushed (&n.p, 10000, false, &n.rng);
  cr_expect_leq (n.p.next_call, 10000 + 200);
}
