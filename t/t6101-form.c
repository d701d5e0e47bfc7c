/*
 * Runs the replica core against simulated servers; t/lib-form.h describes the
 * script.
 */
#include <criterion/criterion.h>

#include "t/lib-form.h"

/* Replicas formed from the six VMs of domain a. */
#define FORMED                                                                \
  "join r1001 big: a1 a2 a3\n"                                                \
  "join r1002 small: a4 a5\n"                                                 \
  "join s1003 big: a6\n"                                                      \
  "open r1001 a1\n"                                                           \
  "open r1002 a4\n"

/*
 * Six servers of a domain register in two steps.  One replica of each model is
 * formed, and the remaining VM loads a model as a warm spare.
 */
Test (form, forms_a_replica_of_each_model_and_a_spare)
{
  form_check ("lead 1\n vms a 3\n run 100\n vms a 3\n run 5000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * A member of an open replica fails.  Its leader is closed, the warm spare
 * replaces the member, and the replica opens again within a second, so that
 * clients wait only briefly.
 */
Test (form, a_lost_member_is_replaced_by_the_warm_spare)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n kill a2\n run 1000\n"
              "show\n",
              FORMED "force-close r1001 a1\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a1 a3 a6\n"
                     "open r1004 a1\n"
                     "r1004 big is open: a1 a3 a6\n"
                     "r1002 small is open: a4 a5\n");
}

/*
 * Guards against a late order to open.  The old leader node sent it and got no
 * response.  A member fails, and the new leader node forms another replica
 * from the rest.  If the old order were carried out then, the VM would be open
 * in one replica while it joins another.
 */
Test (form, late_order_to_open_is_rejected_after_leader_change)
{
  form_check (
      "lead 1\n vms a 4\n delay-all open\n run 2600\n respond\n kill a2\n"
      "lead-other 2\n apply-on-join\n run 1500\n show\n",
      "join r1001 big: a1 a2 a3\n"
      "join s1002 big: a4\n"
      "open r1001 a1\n"
      "leave r1001 a1\n"
      "join r2001 big: a1 a3 a4\n"
      "open r2001 a1\n"
      "r2001 big is open: a1 a3 a4\n");
}

/*
 * The same without a change of the leader node: after the replica leader has
 * accepted the close, the late order must not open it again.
 */
Test (form, late_order_to_open_is_rejected_after_close)
{
  form_check ("lead 1\n vms a 4\n delay-all open\n run 2600\n respond\n"
              "kill a2\n apply-on-join\n"
              "run 2000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "force-close r1001 a1\n"
              "leave r1001 a1\n"
              "join r1003 big: a1 a3 a4\n"
              "open r1003 a1\n"
              "r1003 big is open: a1 a3 a4\n");
}

/*
 * A replica leader becomes unreachable but may still accept requests.  Its
 * members leave, and join another replica only after stall_ms, when it has
 * stopped serving.
 */
Test (form, members_of_unreachable_leader_wait_until_it_stopped)
{
  form_check ("lead 1\n vms a 4\n run 3000\n disconnect a1\n run 1500\n show\n"
              "run 1500\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "leave r1001 a2\n"
              "leave r1001 a3\n"
              "r1001 big is open: a1 a2 a3\n"
              "a4 is warm for big\n"
              "join r1003 big: a2 a3 a4\n"
              "open r1003 a2\n"
              "r1001 big is open: a1 a2 a3\n"
              "r1003 big is open: a2 a3 a4\n");
}

/* A new leader node adopts the existing replicas and sends no order. */
Test (form, a_new_leader_node_changes_nothing)
{
  form_check ("lead 1\n vms a 6\n run 5000\n lead-other 2\n run 3000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * Requests at a replica make no progress.  Its members are probed; one without
 * a response is replaced although it is still listed.
 */
Test (form, a_stalled_replica_is_repaired_before_the_list_changes)
{
  form_check ("lead 1\n vms a 4\n run 5000\n traffic\n hang a3\n"
              "report-stall a1\n run 1500\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "force-close r1001 a1\n"
              "leave r1001 a1\n"
              "join r1003 big: a1 a2 a4\n"
              "open r1003 a1\n"
              "r1003 big is open: a1 a2 a4\n");
}

/*
 * An unreachable leader returns, still open and without its members.  It is
 * closed and leaves its replica before it joins another one.
 */
Test (form, a_returning_leader_is_closed_first)
{
  form_check ("lead 1\n vms a 4\n run 3000\n disconnect a1\n run 3000\n"
              "restore a1\n run 3000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "leave r1001 a2\n"
              "leave r1001 a3\n"
              "join r1003 big: a2 a3 a4\n"
              "open r1003 a2\n"
              "force-close r1001 a1\n"
              "leave r1001 a1\n"
              "r1003 big is open: a2 a3 a4\n");
}

/*
 * All nodes and the store were unavailable, and entries expired.  The first
 * list of the new leader node contains two members of an open replica but not
 * its leader.  The members must not be used as spares: when the leader is
 * listed again, no order has been sent.
 */
Test (form, members_listed_before_their_leader_are_not_spares)
{
  form_check ("lead 1\n vms a 6\n run 5000\n disconnect a1\n disconnect a2\n"
              "incomplete\n lead-other 2\n run 500\n complete\n run 500\n"
              "restore a2\n run 500\n restore a1\n run 3000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * A member can't reach the store, so its entry expires, but it continues to
 * serve.  The replica stays open, also when the entry is back, and clients
 * notice nothing.
 */
Test (form, a_serving_member_with_expired_entry_is_kept)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n expire a2\n run 5000\n"
              "show\n restore a2\n run 1000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * A member whose entry had expired is killed, so it doesn't deregister, and
 * streams stall.  The warm spare replaces it within a second.
 */
Test (form, a_stopped_member_with_expired_entry_is_replaced)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n expire a2\n run 2000\n"
              "show\n kill a2\n run 2000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "force-close r1001 a1\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a1 a3 a6\n"
                     "open r1004 a1\n"
                     "r1004 big is open: a1 a3 a6\n"
                     "r1002 small is open: a4 a5\n");
}

/*
 * A leader's entry expires.  It may get no new requests any more, so its
 * replica is closed.  Running requests get some time, then the leader leaves.
 * It responds to orders, so the members need not wait for stall_ms.
 */
Test (form, a_leader_with_expired_entry_closes_and_leaves)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n expire a1\n run 4000\n"
              "show\n",
              FORMED "close r1001 a1\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a2 a3 a6\n"
                     "open r1004 a2\n"
                     "r1004 big is open: a2 a3 a6\n"
                     "r1002 small is open: a4 a5\n");
}

/* Guards against the requests of a leader whose entry has expired being cut
   although it answers probes, and against waiting for them after they have
   ended. */
Test (form, a_leader_with_expired_entry_ends_its_requests)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n busy a\n expire a1\n"
              "run 4500\n show\n idle a\n run 2500\n show\n",
              FORMED "close r1001 a1\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a2 a3 a6\n"
                     "open r1004 a2\n"
                     "r1004 big is open: a2 a3 a6\n"
                     "r1002 small is open: a4 a5\n");
}

/*
 * The leader node changes while the entry of a member is expired.  The new one
 * can't probe a member that it has never seen, and changes nothing.  It closes
 * the replica after nodes report that requests there make no progress.
 */
Test (form, a_new_leader_node_keeps_a_replica_with_an_expired_member)
{
  form_check (
      "lead 1\n vms a 6\n run 5000\n traffic\n expire a2\n run 500\n"
      "lead-other 2\n run 2000\n show\n kill a2\n report-stall a1\n run 2000\n"
      "show\n",
      FORMED "r1001 big is open: a1 a2 a3\n"
             "r1002 small is open: a4 a5\n"
             "a6 is warm for big\n"
             "force-close r1001 a1\n"
             "leave r1001 a1\n"
             "join r2001 big: a1 a3 a6\n"
             "open r2001 a1\n"
             "r2001 big is open: a1 a3 a6\n"
             "r1002 small is open: a4 a5\n");
}

/*
 * A member restarts under its id, and requests at its replica stall.  It is
 * listed at once but has lost its state, so it no longer counts as a member.
 * The replica is closed and formed again from the same VMs, because the new
 * incarnation joins like any other VM.
 */
Test (form, a_restarted_member_is_a_new_server)
{
  form_check ("lead 1\n vms a 3\n run 5000\n traffic\n restart a2\n"
              "run 4000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "open r1001 a1\n"
              "force-close r1001 a1\n"
              "leave r1001 a1\n"
              "join r1002 big: a1 a3 a2\n"
              "open r1002 a1\n"
              "r1002 big is open: a1 a3 a2\n");
}

/*
 * The same for a leader: its restart proves that it no longer leads the
 * replica, so the members don't wait for it.
 */
Test (form, a_restarted_leader_leads_no_replica)
{
  form_check ("lead 1\n vms a 4\n run 5000\n traffic\n restart a1\n run 600\n"
              "show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "join r1003 big: a2 a3 a4\n"
              "open r1003 a2\n"
              "r1003 big is open: a2 a3 a4\n");
}

/*
 * Guards against a late order to join.  Its VM restarts before the order
 * arrives, and the leader of the old replica can't be closed.  If the new
 * incarnation were used for another replica at once, the late order could make
 * it a member of the old replica while that one is open.
 */
Test (form, a_restarted_member_waits_until_its_old_replica_ended)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n delay-all close\n"
              "restart a2\n run 1000\n show\n respond\n run 4000\n show\n",
              FORMED "force-close r1001 a1\n"
                     "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "force-close r1001 a1\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a1 a3 a6\n"
                     "join s1005 small: a2\n"
                     "open r1004 a1\n"
                     "r1004 big is open: a1 a3 a6\n"
                     "a2 is warm for small\n"
                     "r1002 small is open: a4 a5\n");
}

/*
 * Each domain has room for a replica of either model, but not of both.  If
 * each domain were planned independently, all would choose the same model, and
 * the other model would have no replica.
 */
Test (form, small_domains_are_dedicated_to_different_models)
{
  form_check ("lead 1\n vms a 4\n vms b 4\n run 5000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join r1002 small: b1 b2\n"
              "join r1003 small: b3 b4\n"
              "join s1004 big: a4\n"
              "open r1001 a1\n"
              "open r1002 b1\n"
              "open r1003 b3\n"
              "r1001 big is open: a1 a2 a3\n"
              "a4 is warm for big\n"
              "r1002 small is open: b1 b2\n"
              "r1003 small is open: b3 b4\n");
}

/*
 * The same with traffic.  Two VMs of the small model's domain fail and are
 * replaced by empty ones.  These load the model that the domain is dedicated
 * to, and its replica is formed again; if they loaded the large model, it
 * would stay incomplete.
 */
Test (form, a_small_domain_keeps_its_model)
{
  form_check ("host-memory\n lead 1\n vms a 4\n vms b 4\n run 5000\n traffic\n"
              "kill b1\n kill b2\n run 1000\n vms b 2\n run 20000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join r1002 small: b1 b2\n"
              "join r1003 small: b3 b4\n"
              "join s1004 big: a4\n"
              "open r1001 a1\n"
              "open r1002 b1\n"
              "open r1003 b3\n"
              "preload small a4\n"
              "join s1005 small: b5\n"
              "join s1006 small: b6\n"
              "join r1007 small: b5 b6\n"
              "open r1007 b5\n"
              "r1001 big is open: a1 a2 a3\n"
              "a4 is warm for big\n"
              "r1003 small is open: b3 b4\n"
              "r1007 small is open: b5 b6\n");
}

/*
 * Servers register a few at a time over a second.  If replicas were formed
 * from the first ones, the small model would take the VMs of the large model,
 * and requests to the large model would be rejected all day.
 */
Test (form, replicas_are_formed_after_all_servers_registered)
{
  form_check ("lead 1\n vms a 2\n run 100\n vms a 1\n run 100\n vms a 1\n"
              "run 100\n vms a 2\n run 5000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * Guards against opening an incomplete replica, which may not produce events.
 * A leader accepted its order to join, the orders to its two members are
 * delayed for seconds, and the leader node changes.  The new one finds the
 * leader alone.  As the leader reports no model until it is ready, the number
 * of missing members is unknown, and it must not be opened.
 */
Test (form, an_adopted_leader_without_members_is_not_opened)
{
  form_check ("vms a 3\n hang a2\n hang a3\n lead 1\n run 300\n lead-other 2\n"
              "run 6000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s2001 big: a2\n"
              "join s2002 big: a3\n"
              "leave r1001 a1\n");
}

/*
 * One model loses a replica, and the spare is warm for the other model.
 * Before there was traffic, each host preloaded the other model, so the
 * replica is formed again at once, without a load.
 */
Test (form, a_spare_serves_either_model)
{
  form_check ("host-memory\n lead 1\n vms a 6\n run 8000\n traffic\n kill a5\n"
              "run 1000\n show\n",
              FORMED "preload small a6\n"
                     "force-close r1002 a4\n"
                     "leave r1002 a4\n"
                     "join r1004 small: a4 a6\n"
                     "open r1004 a4\n"
                     "r1001 big is open: a1 a2 a3\n"
                     "r1004 small is open: a4 a6\n");
}

/*
 * Both replicas of the large model are lost: each domain has two VMs that are
 * warm for it, and none that could complete the replica before a load of many
 * seconds.  The four VMs wait, because a replica across the domains would be
 * late with each request.  When a VM appears in one of the domains it loads
 * the model, and the replica there is formed at once.
 */
Test (form, no_replica_spans_two_domains)
{
  form_check ("lead 1\n vms a 6\n vms b 6\n run 5000\n traffic\n"
              "kill a6\n kill b6\n kill a3\n kill b3\n run 5000\n show\n"
              "vms a 1\n run 8000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join r1002 small: a4 a5\n"
              "join r1003 big: b1 b2 b3\n"
              "join r1004 small: b4 b5\n"
              "join s1005 big: a6\n"
              "join s1006 big: b6\n"
              "open r1001 a1\n"
              "open r1002 a4\n"
              "open r1003 b1\n"
              "open r1004 b4\n"
              "force-close r1001 a1\n"
              "force-close r1003 b1\n"
              "leave r1001 a1\n"
              "leave r1003 b1\n"
              "r1002 small is open: a4 a5\n"
              "r1004 small is open: b4 b5\n"
              "join s1007 big: a7\n"
              "join r1008 big: a1 a2 a7\n"
              "open r1008 a1\n"
              "r1008 big is open: a1 a2 a7\n"
              "r1002 small is open: a4 a5\n"
              "r1004 small is open: b4 b5\n");
}

/*
 * All nodes were unavailable for a moment, and a member failed in the
 * meantime.  The list is not known to be complete yet, but the other members
 * and the spare are listed.  The repair must not wait two seconds for a
 * complete list.
 */
Test (form, listed_replicas_are_repaired_before_the_list_is_complete)
{
  form_check (
      "lead 1\n vms a 6\n run 5000\n traffic\n incomplete\n lead-other 2\n"
      "run 200\n kill a2\n run 1500\n show\n",
      FORMED "force-close r1001 a1\n"
             "leave r1001 a1\n"
             "join r2001 big: a1 a3 a6\n"
             "open r2001 a1\n"
             "r2001 big is open: a1 a3 a6\n"
             "r1002 small is open: a4 a5\n");
}

/*
 * After an outage of the store a leader is listed before its members.  It is
 * open and its replica complete, so nothing is closed, in whichever order the
 * members appear.
 */
Test (form, a_leader_listed_before_its_members_stays_open)
{
  form_check (
      "lead 1\n vms a 6\n run 5000\n traffic\n disconnect a1\n disconnect a2\n"
      "disconnect a3\n incomplete\n lead-other 2\n run 500\n restore a1\n run "
      "500\n"
      "restore a2\n restore a3\n run 200\n complete\n run 3000\n show\n",
      FORMED "r1001 big is open: a1 a2 a3\n"
             "r1002 small is open: a4 a5\n"
             "a6 is warm for big\n");
}

/*
 * A leader reported that it is draining, and its entry disappears while it is
 * being closed, so it has shut down.  Its members are ordered to leave at
 * once, without a probe of the leader, because the wait of stall_ms starts
 * only after that.
 */
Test (form, a_drained_leader_is_not_probed)
{
  form_check (
      "lead 1\n vms a 6\n run 5000\n traffic\n drop-all close\n drain a1\n"
      "run 300\n expire a1\n run 200\n show\n",
      FORMED "close r1001 a1\n"
             "leave r1001 a2\n"
             "leave r1001 a3\n"
             "r1001 big is open: a1 a2 a3\n"
             "r1002 small is open: a4 a5\n"
             "a6 is warm for big\n");
}

/*
 * A member was disconnected, and its replica was closed and formed again with
 * the spare; then another member fails.  The disconnected member is back and
 * still reports the old replica.  Since that replica's leader was ordered to
 * leave, the returned member replaces the failed one at once.
 */
Test (form, a_member_that_returns_to_a_closed_replica_is_free)
{
  form_check (
      "lead 1\n vms a 4\n run 5000\n traffic\n disconnect a2\n run 3000\n"
      "restore a2\n run 300\n kill a3\n run 1500\n show\n",
      "join r1001 big: a1 a2 a3\n"
      "join s1002 big: a4\n"
      "open r1001 a1\n"
      "force-close r1001 a1\n"
      "leave r1001 a1\n"
      "join r1003 big: a1 a3 a4\n"
      "open r1003 a1\n"
      "force-close r1003 a1\n"
      "leave r1003 a1\n"
      "join r1004 big: a1 a4 a2\n"
      "open r1004 a1\n"
      "r1004 big is open: a1 a4 a2\n");
}

/*
 * With thousands of servers the list is read every four seconds.  Guards
 * against closing an open replica because the list doesn't show it in time,
 * and against more than one order to a server for each step.
 */
Test (form, a_slow_list_causes_no_repeated_orders)
{
  form_check ("list-interval 4000\n lead 1\n vms a 6\n run 30000\n "
              "count-orders\n show\n",
              FORMED "8 orders\n"
                     "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * Guards against a late order of an intermediate leader node, which considered
 * a member free: the order to join another replica would remove the member
 * from this one after it has opened.  A VM that has accepted an order of the
 * new leader node rejects the late order.
 */
Test (form, an_adopted_replica_opens_after_members_accepted_the_new_fence)
{
  form_check ("lead-other 1\n vms a 3\n drop-all open\n run 2600\n respond\n"
              "lead 2\n run 1000\n count-orders\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "open r1001 a1\n"
              "4 orders\n"
              "r1001 big is open: a1 a2 a3\n");
}

/*
 * Guards against an order to a server that has asked for a pause.  A member is
 * lost meanwhile; the order to close is sent when the pause is over.
 */
Test (form, a_paused_leader_gets_no_orders)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n pause a1 1500\n"
              "kill a2\n run 1400\n show\n run 1100\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "force-close r1001 a1\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a1 a3 a6\n"
                     "open r1004 a1\n"
                     "r1004 big is open: a1 a3 a6\n"
                     "r1002 small is open: a4 a5\n");
}

/*
 * Guards against a member that has announced its shutdown in a response and is
 * still listed as ready: its replica closes after its running requests, and is
 * formed again with the spare.
 */
Test (form, a_leaving_member_is_replaced)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n leave a2\n run 1500\n"
              "show\n",
              FORMED "close r1001 a1\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a1 a3 a6\n"
                     "open r1004 a1\n"
                     "r1004 big is open: a1 a3 a6\n"
                     "r1002 small is open: a4 a5\n");
}

/*
 * A server that has announced its shutdown is in no replica.  Once it has
 * restarted under the same id, it is used again.
 */
Test (form, a_leaving_server_is_used_again_after_its_restart)
{
  form_check ("lead 1\n vms a 5\n run 5000\n leave a4\n run 2000\n show\n"
              "restart a4\n run 5000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join r1002 small: a4 a5\n"
              "open r1001 a1\n"
              "open r1002 a4\n"
              "close r1002 a4\n"
              "leave r1002 a4\n"
              "r1001 big is open: a1 a2 a3\n"
              "join r1003 small: a5 a4\n"
              "open r1003 a5\n"
              "r1001 big is open: a1 a2 a3\n"
              "r1003 small is open: a5 a4\n");
}

/*
 * Guards against a leader node that counts a pause of its process against a
 * replica leader whose entry has expired: it would end the replica although
 * the entry is back at the first list that it reads.
 */
Test (form, pause_does_not_count_against_a_missing_leader)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n expire a1\n"
              "lead-other 2\n run 600\n suspend 900\n restore a1\n run 1000\n"
              "show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * A replica's leader and all of its members lose their connections together,
 * so that the leader goes on serving.  The members come back first.  They may
 * join no other replica before they have left and the leader has stopped.
 */
Test (form, members_that_never_left_are_not_spares)
{
  form_check ("lead 1\n vms a 6\n run 5000\n disconnect a1\n disconnect a2\n"
              "disconnect a3\n run 4000\n restore a2\n restore a3\n"
              "run 8000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join r1002 small: a4 a5\n"
              "join s1003 big: a6\n"
              "open r1001 a1\n"
              "open r1002 a4\n"
              "leave r1001 a2\n"
              "leave r1001 a3\n"
              "join r1004 big: a6 a2 a3\n"
              "open r1004 a6\n"
              "r1001 big is open: a1 a2 a3\n"
              "r1002 small is open: a4 a5\n"
              "r1004 big is open: a6 a2 a3\n");
}

/* Guards against a replica that is formed anew because one of its members fell
   silent for a second and went on. */
Test (form, a_member_that_is_silent_for_a_second_is_kept)
{
  form_check ("lead 1\n vms a 4\n run 5000\n traffic\n silence a3\n"
              "report-stall a1\n run 1200\n restore a3\n run 2000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "r1001 big is open: a1 a2 a3\n"
              "a4 is warm for big\n");
}

/* Guards against a member that is kept although it stands still for good. */
Test (form, a_member_that_stays_silent_is_replaced)
{
  form_check ("lead 1\n vms a 4\n run 5000\n traffic\n silence a3\n"
              "report-stall a1\n run 1400\n show\n run 2000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "r1001 big is open: a1 a2 a3\n"
              "a4 is warm for big\n"
              "force-close r1001 a1\n"
              "leave r1001 a1\n"
              "join r1003 big: a1 a2 a4\n"
              "open r1003 a1\n"
              "r1003 big is open: a1 a2 a4\n");
}

/* Guards against the requests of a sound replica being cut because one of its
   members, or its leader, was silent for less than the time after which the
   replica breaks by itself. */
Test (form, a_silent_member_is_kept_until_its_replica_breaks)
{
  form_check ("stall-ms 4000\n lead 1\n vms a 4\n run 5000\n traffic\n"
              "silence a3\n report-stall a1\n run 3500\n restore a3\n"
              "run 2000\n show\n"
              "silence a1\n report-stall a1\n run 3500\n restore a1\n"
              "run 2000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "r1001 big is open: a1 a2 a3\n"
              "a4 is warm for big\n"
              "r1001 big is open: a1 a2 a3\n"
              "a4 is warm for big\n");
}

/* Guards against the requests of a replica that has to close being cut at
   once, and against a close that waits for them without end. */
Test (form, a_closing_replica_ends_its_requests)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n busy a\n leave a2\n"
              "run 5900\n show\n run 500\n show\n",
              FORMED "close r1001 a1\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "force-close r1001 a1\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a1 a3 a6\n"
                     "r1002 small is open: a4 a5\n");
}

/* Guards against a silent member that is kept after its replica must have
   broken, and against one without a connection that is kept as long. */
Test (form, a_member_is_replaced_when_its_replica_must_have_broken)
{
  form_check ("stall-ms 4000\n lead 1\n vms a 4\n run 5000\n traffic\n"
              "silence a3\n report-stall a1\n run 3900\n show\n"
              "run 1500\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "r1001 big is open: a1 a2 a3\n"
              "a4 is warm for big\n"
              "force-close r1001 a1\n"
              "leave r1001 a1\n"
              "join r1003 big: a1 a2 a4\n"
              "open r1003 a1\n"
              "r1003 big is open: a1 a2 a4\n");
  form_check ("stall-ms 4000\n lead 1\n vms a 4\n run 5000\n traffic\n"
              "hang a3\n report-stall a1\n run 1500\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "force-close r1001 a1\n"
              "leave r1001 a1\n"
              "join r1003 big: a1 a2 a4\n"
              "open r1003 a1\n"
              "r1003 big is open: a1 a2 a4\n");
}

/* Guards against the requests of a replica being cut because the time in which
   the leader node itself stood still counted as a member's silence. */
Test (form, a_pause_of_the_leader_node_is_no_silence_of_a_member)
{
  form_check ("stall-ms 4000\n lead 1\n vms a 4\n run 5000\n traffic\n"
              "silence a3\n report-stall a1\n run 300\n suspend 5000\n"
              "run 300\n restore a3\n run 2000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "r1001 big is open: a1 a2 a3\n"
              "a4 is warm for big\n");
}

/* Guards against running requests being cut, and replicas being formed anew,
   when a configuration lacks their service and the next one holds it again. */
Test (form, a_service_that_is_not_configured_keeps_its_replicas)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n busy a\n"
              "drop-service\n run 6000\n show\n add-service\n run 3000\n"
              "show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * Guards against orders to VMs in an evacuated zone: no new replica, load,
 * preload or spare.  The open replicas stay open, and one that loses a member
 * is formed again when the evacuation has ended.
 */
Test (form, evacuated_zone_gets_no_orders)
{
  form_check ("lead 1\n evacuate a\n vms a 6\n run 5000\n show\n"
              "return a\n run 5000\n show\n evacuate a\n traffic\n run 5000\n"
              "show\n kill a2\n run 5000\n show\n return a\n run 3000\n"
              "show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "force-close r1001 a1\n"
                     "leave r1001 a1\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "join r1004 big: a1 a3 a6\n"
                     "open r1004 a1\n"
                     "r1004 big is open: a1 a3 a6\n"
                     "r1002 small is open: a4 a5\n");
  form_check ("host-memory\n lead 1\n vms a 6\n run 1500\n evacuate a\n"
              "run 8000\n",
              FORMED);
}

/*
 * Guards against a leader that uses entries from before its leadership:
 * another one has put a4, a spare then, into an open replica, whose entries
 * expire together with the leases.  It may join no other replica.
 */
Test (form, entries_of_before_the_leadership_are_not_used)
{
  form_check ("lead 1\n vms a 4\n run 3000\n traffic\n store-fails\n"
              "lead-other 2\n run 300\n kill a3\n run 8000\n incomplete\n"
              "expire a1\n expire a2\n expire a4\n store-works\n lead 3\n"
              "vms a 2\n run 2000\n restore a1\n restore a2\n restore a4\n"
              "complete\n run 5000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "force-close r1001 a1\n"
              "leave r1001 a1\n"
              "join r2001 big: a1 a2 a4\n"
              "open r2001 a1\n"
              "join s3001 small: a5\n"
              "join s3002 small: a6\n"
              "join r3003 small: a5 a6\n"
              "open r3003 a5\n"
              "r2001 big is open: a1 a2 a4\n"
              "r3003 small is open: a5 a6\n");
}

/*
 * Guards against the use of a freed replica: the entry of another writer names
 * the rank of a member, and the replica ends.  The server itself must not be
 * used, either, as the other one may not be the member.
 */
Test (form, two_servers_report_one_rank)
{
  form_check ("lead 1\n vms a 3\n run 3000\n traffic\n vms a 1\n mimic a4 2\n"
              "run 200\n lead-other 2\n run 1000\n show\n kill a1\n"
              "run 6000\n vms b 3\n run 3000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "open r1001 a1\n"
              "r1001 big is open: a1 a2 a3\n"
              "leave r1001 a2\n"
              "leave r1001 a3\n"
              "leave r1001 a4\n"
              "join r2001 big: a2 a3 a4\n"
              "join s2002 small: b1\n"
              "join s2003 small: b2\n"
              "join s2004 small: b3\n");
}

/*
 * Guards against members that are free while their unreachable leader serves:
 * orders to join that were unanswered are carried out after the members have
 * left.
 */
Test (form, late_joins_undo_a_leave)
{
  form_check ("lead 1\n vms a 3\n delay-all join\n run 500\n respond\n"
              "run 6000\n traffic\n disconnect a1\n run 900\n apply\n"
              "vms a 2\n run 6000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "open r1001 a1\n"
              "leave r1001 a2\n"
              "leave r1001 a3\n"
              "leave r1001 a2\n"
              "leave r1001 a3\n"
              "join s1002 big: a4\n"
              "join s1003 big: a5\n"
              "join r1004 big: a2 a3 a4\n"
              "open r1004 a2\n"
              "r1001 big is open: a1 a2 a3\n"
              "r1004 big is open: a2 a3 a4\n"
              "a5 is warm for big\n");
}

/*
 * Guards against members that are free because the leader of their replica has
 * restarted: late orders have made the new process lead the same replica.
 */
Test (form, restarted_leader_leads_the_same_replica)
{
  form_check ("lead 1\n vms a 3\n delay join\n run 1000\n delay-all open\n"
              "run 3000\n list-interval 6000\n restart a1\n apply\n"
              "respond\n run 4000\n list-interval 100\n drop close\n"
              "vms a 2\n run 6000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "open r1001 a1\n"
              "join r1002 small: a4 a5\n"
              "open r1002 a4\n"
              "r1001 big is open: a1 a2 a3\n"
              "r1002 small is open: a4 a5\n");
}

/*
 * Guards against a leader that released the members of a replica in an earlier
 * leadership and takes them for free when it leads again.  Another leader has
 * opened that replica since, because its members still reported it.
 */
Test (form, released_members_are_forgotten_with_the_leadership)
{
  form_check ("lead 1\n vms a 4\n run 4500\n kill a1\n run 500\n"
              "lead-other 2\n run 50\n restart a2\n run 200\n lead 3\n"
              "run 4000\n show\n lead-other 4\n vms a 2\n run 9000\n"
              "show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "leave r1001 a2\n"
              "leave r1001 a3\n"
              "join r2001 big: a2 a3 a4\n"
              "open r2001 a2\n"
              "r2001 big is open: a2 a3 a4\n"
              "join s4001 small: a5\n"
              "join s4002 small: a6\n"
              "join r4003 small: a5 a6\n"
              "open r4003 a5\n"
              "r2001 big is open: a2 a3 a4\n"
              "r4003 small is open: a5 a6\n");
}
