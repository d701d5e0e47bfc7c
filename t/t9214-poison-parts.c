/*
 * Detection of parts of prompts that crash backend servers, in a simulation of
 * nodes that exchange updates; t/lib-poison.h describes the scripts.
 */
#include <criterion/criterion.h>

#include "t/lib-poison.h"

/* Guards against requests that crash one server each because of a part that
   they share, while no two of them are the same. */
Test (poison_parts, part_of_three_crashes_is_blocked)
{
  poison_run_script (
      "nodes 4\n crash 1 a.K 1 -1\n run 300\n query z.K\n"
      "crash 2 b.K 2 400\n run 300\n query z.K\n crash 3 c.K 3 90\n run 50\n"
      "query z.K\n run 350\n query z.K\n query z.L\n query z\n",
      "z.K ----\nz.K ----\nz.K wwww\nz.K BBBB\nz.L ----\nz ----\n");
}

/* Guards against requests that are refused for a part that they share with
   those that crash servers, and that completes in other requests. */
Test (poison_parts, part_of_completed_requests_is_accepted)
{
  poison_run_script (
      "nodes 4\n complete 1 s.A\n complete 4 t.AC\n run 500\n"
      "crash 1 a.AKC 1 -1\n run 100\n crash 2 b.AKC 2 -1\n run 100\n"
      "crash 3 c.AKC 3 -1\n run 500\n query z.AK\n query z.AC\n query z.K\n"
      "crash 2 d.AC 4 -1\n crash 2 e.AC 5 -1\n run 500\n query z.AC\n",
      "z.AK BBBB\nz.AC ----\nz.K BBBB\nz.AC ----\n");
}

/* Guards against a part that is cleared by runs which say nothing of it: of
   other requests, and before its crashes by so much that servers may have
   changed. */
Test (poison_parts, old_completion_takes_more_crashes)
{
  poison_run_script (
      "nodes 2\n complete 1 s.K\n complete 2 s.K\n run 20000\n"
      "crash 1 a.K 1 -1\n run 100\n crash 2 b.K 2 -1\n run 100\n"
      "crash 1 c.K 3 -1\n run 500\n query z.K\n crash 2 d.K 4 -1\n run 100\n"
      "crash 1 e.K 5 -1\n run 100\n crash 2 f.K 6 -1\n run 500\n query z.K\n",
      "z.K --\nz.K BB\n");
}

/* Guards against a block of sound requests that share a part with a request
   which is sent again and again and crashes each server itself. */
Test (poison_parts, repeated_request_does_not_block_its_parts)
{
  poison_run_script (
      "nodes 2\n crash 1 a.K 1 -1\n run 300\n crash 2 a.K 2 -1\n run 300\n"
      "crash 1 a.K 3 -1\n crash 2 b.K 3 -1\n run 500\n"
      "query a.K\n query a\n query z.K\n crash 1 a.K 4 -1\n run 500\n"
      "query z.K\n",
      "a.K BB\na BB\nz.K --\nz.K --\n");
}

/* Guards against a request that stays blocked in place of the part which
   crashes servers: its first crashes were all of one request. */
Test (poison_parts, crash_of_another_request_moves_the_block)
{
  poison_run_script (
      "nodes 2\n crash 1 a.K 1 -1\n run 300\n crash 2 a.K 2 -1\n run 300\n"
      "crash 1 a.K 3 -1\n run 500\n query a\n query z.K\n"
      "crash 2 b.K 4 -1\n run 500\n query a\n query z.K\n",
      "a BB\nz.K --\na --\nz.K BB\n");
}

/* Guards against blocking what was popular in a rack whose servers failed at
   the same moment. */
Test (poison_parts, rack_failure_counts_as_one_crash)
{
  poison_run_script (
      "nodes 3\n crash 1 a.P 1 -1\n crash 2 b.P 2 -1\n crash 3 c.P 3 -1\n"
      "crash 1 d.P 4 -1\n run 20\n crash 1 e.P 5 -1\n crash 2 f.P 6 -1\n"
      "run 500\n query z.P\n crash 1 g.P 7 -1\n crash 2 h.P 8 -1\n run 500\n"
      "query z.P\n",
      "z.P ---\nz.P ---\n");
}

/* Guards against blocking a part for runs that had written for seconds: the
   cause crashes its server as its answer begins. */
Test (poison_parts, long_runs_have_less_weight)
{
  poison_run_script (
      "nodes 2\n crash 1 a.P 1 1500\n run 100\n crash 2 b.P 2 2000\n run 100\n"
      "crash 1 c.P 3 9000\n run 500\n query z.P\n",
      "z.P --\n");
}

/* Guards against refusing sound requests with a part that was only ever seen
   beside the cause. */
Test (poison_parts, companion_goes_on_alone)
{
  poison_run_script (
      "nodes 3\n crash 1 a.NK 1 -1\n run 100\n crash 2 b.NK 2 -1\n run 100\n"
      "crash 3 c.NK 3 -1\n run 500\n query z.NK\n query z.N\n query z.K\n"
      "complete 2 s.N\n run 50\n query z.NK\n query z.N\n query z.K\n",
      "z.NK BBB\nz.N ---\nz.K ---\nz.NK BBB\nz.N ---\nz.K BBB\n");
}

/* Guards against a cause that goes on without its usual companion. */
Test (poison_parts, crash_without_companion_blocks_the_part_alone)
{
  poison_run_script (
      "nodes 3\n crash 1 a.NK 1 -1\n run 100\n crash 2 b.NK 2 -1\n run 100\n"
      "crash 3 c.NK 3 -1\n run 500\n query z.KM\n crash 1 d.KM 4 -1\n"
      "run 500\n query z.KM\n query z.K\n query z.N\n query z.M\n",
      "z.KM ---\nz.KM BBB\nz.K BBB\nz.N ---\nz.M ---\n");
}

/* Guards against two causes that hide each other. */
Test (poison_parts, two_parts_at_once_are_blocked)
{
  poison_run_script (
      "nodes 2\n crash 1 a.K 1 -1\n run 100\n crash 2 b.L 2 -1\n run 100\n"
      "crash 1 c.K 3 -1\n run 100\n crash 2 d.L 4 -1\n run 100\n"
      "crash 1 e.K 5 -1\n run 100\n crash 2 f.L 6 -1\n run 500\n"
      "query z.K\n query z.L\n",
      "z.K BB\nz.L BB\n");
}

/* Guards against a block that stays after a run with the part completed. */
Test (poison_parts, completed_run_clears_block_everywhere)
{
  poison_run_script (
      "relays 8\n crash 5 a.K 1 -1\n run 100\n crash 6 b.K 2 -1\n run 100\n"
      "crash 7 c.K 3 -1\n run 500\n query z.K\n complete 8 s.K\n run 50\n"
      "query z.K\n",
      "z.K BBBBBBBB\nz.K --------\n");
}

/* Guards against blocking a part because the node that decides is not the one
   at which it completed. */
Test (poison_parts, node_with_completion_objects_in_large_fleet)
{
  poison_run_script (
      "relays 8\n complete 8 s.A\n run 500\n crash 5 a.A 1 -1\n run 100\n"
      "crash 6 b.A 2 -1\n run 100\n crash 7 c.A 3 -1\n run 500\n query z.A\n",
      "z.A --------\n");
}

/* Guards against a block that is lost with all nodes, or that ends at nodes
   which receive it from the store. */
Test (poison_parts, block_survives_restarts)
{
  poison_run_script (
      "nodes 3\n crash 1 a.K 1 -1\n run 100\n crash 2 b.K 2 -1\n run 50\n"
      "restart 2\n run 50\n crash 3 c.K 3 -1\n run 500\n restart 1\n run 50\n"
      "query z.K\n"
      "cut 1 2\n cut 1 3\n cut 2 3\n restart 1\n restart 2\n restart 3\n"
      "stored 2 .K\n run 50\n query z.K\n clear 1 .K\n run 50\n query z.K\n",
      "z.K BBB\nz.K BBB\nz.K ---\n");
}

/* Guards against refusals that keep a wrong block in force for ever: the block
   of a part ends, although its requests go on to be sent. */
Test (poison_parts, refusals_do_not_prolong_the_block)
{
  poison_run_script (
      "nodes 2\n crash 1 a.K 1 -1\n run 100\n crash 2 b.K 2 -1\n run 100\n"
      "crash 1 c.K 3 -1\n run 300000\n query z.K\n run 301000\n query z.K\n"
      "crash 2 d.K 4 -1\n run 500\n query z.K\n",
      "z.K BB\nz.K --\nz.K BB\n");
}

/* Guards against a cause that goes on because its crashes were attributed to a
   popular part beside it, which was cleared since. */
Test (poison_parts, cleared_part_does_not_hide_the_cause)
{
  poison_run_script (
      "relays 8\n complete 8 s.A\n run 500\n"
      "crash 5 a.AK 1 -1\n run 300\n crash 6 b.AK 2 -1\n run 300\n"
      "crash 7 c.AK 3 -1\n run 400\n query z.K\n query z.A\n",
      "z.K BBBBBBBB\nz.A --------\n");
}

/* Guards against a popular part that is blocked for a moment, as the nodes
   that decide learn of its completions late. */
Test (poison_parts, completions_are_known_before_the_decision)
{
  poison_run_script (
      "relays 8\n complete 8 s.A\n run 500\n"
      "crash 5 a.A 1 -1\n run 300\n crash 6 b.A 2 -1\n run 300\n"
      "crash 7 c.A 3 -1\n run 20\n query z.A\n run 100\n query z.A\n"
      "run 100\n query z.A\n",
      "z.A --------\nz.A --------\nz.A --------\n");
}

/* Guards against a part that is taken for completed for ever, as nodes tell
   each other of the same run again and again. */
Test (poison_parts, answers_do_not_renew_a_completion)
{
  poison_run_script (
      "nodes 3\n complete 1 s.K\n run 5000\n crash 1 a.K 1 -1\n"
      "crash 2 b.K 2 -1\n run 100\n crash 3 c.K 3 -1\n run 4000\n"
      "crash 2 d.K 4 -1\n run 2100\n crash 2 e.K 5 -1\n run 100\n"
      "crash 3 f.K 6 -1\n run 100\n crash 1 g.K 7 -1\n run 100\n"
      "crash 2 h.K 8 -1\n run 100\n crash 3 i.K 9 -1\n run 100\n"
      "crash 1 j.K 10 -1\n run 500\n query z.K\n",
      "z.K BBB\n");
}

/* Guards against blaming a part for a request that alone was running in its
   crashes, but that takes one more crash, as it had written for a moment. */
Test (poison_parts, part_of_one_request_is_not_blamed_before_it)
{
  poison_run_script (
      "nodes 2\n crash 1 a.K 1 100\n run 300\n crash 2 a.K 2 100\n run 300\n"
      "crash 1 a.K 3 100\n run 500\n query a\n query z.K\n"
      "crash 2 a.K 4 100\n run 500\n query a\n query z.K\n",
      "a --\nz.K --\na BB\nz.K --\n");
}

/* Guards against a popular part that is blocked for a moment, as all nodes
   were asked for completions long before its last crash. */
Test (poison_parts, nodes_are_asked_again_for_completions)
{
  poison_run_script (
      "relays 8\n crash 5 a.A 1 -1\n run 300\n crash 6 b.A 2 -1\n"
      "run 60000\n complete 8 s.A\n run 500\n"
      "crash 7 c.A 3 -1\n run 90\n query z.A\n run 30\n query z.A\n"
      "run 100\n query z.A\n",
      "z.A --------\nz.A --------\nz.A --------\n");
}

/* Guards against a cause whose crashes stay attributed to a popular part that
   was running beside it: the only node at which that part completed was cut
   off when it was asked. */
Test (poison_parts, crashes_are_given_back_by_a_cleared_part)
{
  poison_run_script (
      "relays 8\n complete 8 s.A\n run 500\n cut 8 1\n cut 8 2\n cut 8 3\n"
      "cut 8 4\n crash 5 x.A 1 -1\n crash 5 a.K 1 -1\n run 300\n"
      "crash 6 y.A 2 -1\n crash 6 b.K 2 -1\n run 300\n"
      "crash 7 z.A 3 -1\n crash 7 c.K 3 -1\n run 140\n query q.A\n"
      "link 8 1\n run 400\n query q.K\n query q.A\n",
      "q.A BBBBBBB-\nq.K BBBBBBBB\nq.A --------\n");
}

/* Guards against a cause that is cleared for its companion: each of two nodes
   reports the same crash for one of them after the other. */
Test (poison_parts, report_of_one_part_does_not_clear_the_other)
{
  poison_run_script (
      "nodes 3\n crash 1 a.KN 1 100\n run 300\n crash 1 a.KN 2 100\n run 300\n"
      "crash 1 a.KN 3 100\n run 300\n crash 1 a.KN 4 100\n run 600\n query a\n"
      "crash 3 b.KN 5 400\n run 30\n crash 2 b.KN 6 400\n run 600\n"
      "query z.KN\n crash 1 c.NK 7 400\n crash 2 d.KN 7 400\n run 600\n"
      "query z.KN\n",
      "a BBB\nz.KN BBB\nz.KN BBB\n");
}

/* Guards against a node that takes the crashes before its start for a rack
   that failed at one moment. */
Test (poison_parts, restarted_node_knows_the_times_of_crashes)
{
  poison_run_script (
      "nodes 2\n crash 1 a.K 1 -1\n run 200\n crash 1 b.K 2 -1\n run 200\n"
      "restart 2\n run 50\n cut 1 2\n crash 2 c.K 3 -1\n run 500\n"
      "query z.K\n",
      "z.K -B\n");
}

/* Guards against a cause that crashes servers unobserved for seconds because
   it was cleared as a bystander of another one. */
Test (poison_parts, cause_cleared_as_bystander_is_blocked_soon)
{
  poison_run_script (
      "relays 8\n crash 5 a.K 1 1500\n crash 6 b.N 1 -1\n run 100\n"
      "crash 6 c.K 2 -1\n crash 7 d.N 2 -1\n run 100\n"
      "crash 7 e.K 3 -1\n crash 8 f.N 3 -1\n run 400\n query z.N\n"
      "crash 8 g.K 4 -1\n run 700\n query z.K\n query z.N\n"
      "crash 5 h.N 5 -1\n run 100\n crash 6 i.N 6 -1\n run 100\n"
      "crash 7 j.N 7 -1\n run 400\n query z.K\n query z.N\n"
      "complete 8 s.N\n run 50\n query z.N\n",
      "z.N BBBBBBBB\nz.K BBBBBBBB\nz.N --------\n"
      "z.K BBBBBBBB\nz.N BBBBBBBB\nz.N --------\n");
}

/* Guards against a block that returns with an update that was sent before it
   was cleared and comes late, and against a new one that is ignored. */
Test (poison_parts, late_update_does_not_return_a_cleared_block)
{
  uint64_t part = 'K';
  struct psn_request z = { .digest = 'z', .parts = &part, .nparts = 1 };
  struct psn_update update = { .id = { true, 'K' }, .ran_ms = PSN_NO_EVENT };
  struct psn_refusal why;
  struct psn *p = psn_new ();
  clk_ms now = 100000;

  for (update.endpoint = 1; update.endpoint <= 3; update.endpoint++, now += 20)
    psn_apply (p, now, &update);
  update = (struct psn_update){ .kind = PSN_BLOCKED,
                                .id = { true, 'K' },
                                .endpoint = 3,
                                .ago_ms = 1,
                                .hold_ms = PSN_HOLD_MS,
                                .broadcast = true };
  psn_apply (p, now, &update);
  cr_expect (psn_should_refuse (p, now, &z, &why));
  update.kind = PSN_CLEARED;
  psn_apply (p, now, &update);
  update.kind = PSN_BLOCKED;
  psn_apply (p, now + 100, &update);
  cr_expect_not (psn_should_refuse (p, now + 100, &z, &why));
  update.endpoint = 4;
  psn_apply (p, now + 100, &update);
  cr_expect (psn_should_refuse (p, now + 100, &z, &why));
  psn_free (p);
}
