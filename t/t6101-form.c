/*
 * The forming core against servers in memory that obey its orders; see
 * t/lib-form.h for the script.
 */
#include <criterion/criterion.h>

#include "t/lib-form.h"

/* What six VMs of a domain become. */
#define FORMED                                                                \
  "join r1001 big: a1 a2 a3\n"                                                \
  "join r1002 small: a4 a5\n"                                                 \
  "join s1003 big: a6\n"                                                      \
  "open r1001 a1\n"                                                           \
  "open r1002 a4\n"

/*
 * Servers of a domain register one after the other.  One replica of each model
 * is formed, and what is left loads a model and waits.
 */
Test (form, a_domain_is_filled)
{
  form_check ("lead 1\n vms a 3\n run 100\n vms a 3\n run 5000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * Callers wait: a member of an open replica is gone.  The leader closes, the
 * warm spare takes the place, and the replica opens again within a second.
 */
Test (form, a_lost_member_is_replaced_by_the_warm_spare)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n kill a2\n run 1000\n"
              "show\n",
              FORMED "close cut r1001 a1\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a1 a3 a6\n"
                     "open r1004 a1\n"
                     "r1004 big is open: a1 a3 a6\n"
                     "r1002 small is open: a4 a5\n");
}

/*
 * The old owner told a leader to open and got no answer.  A member is lost, a
 * new owner forms another replica of the rest, and just then the old order is
 * carried out: the leader would be open in one replica and join the next.
 */
Test (form, an_order_to_open_that_comes_late_finds_nobody)
{
  form_check (
      "lead 1\n vms a 4\n late-all open\n run 2600\n respond\n kill a2\n"
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
 * The same within one owner: the order to open is answered late, the leader is
 * told to close, says so, and then the late one opens it again.
 */
Test (form, an_order_to_open_after_the_close_finds_nobody)
{
  form_check ("lead 1\n vms a 4\n late-all open\n run 2600\n respond\n"
              "kill a2\n apply-on-join\n"
              "run 2000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "close cut r1001 a1\n"
              "leave r1001 a1\n"
              "join r1003 big: a1 a3 a4\n"
              "open r1003 a1\n"
              "r1003 big is open: a1 a3 a4\n");
}

/*
 * The leader falls silent while it may still take requests.  Its members leave
 * it, and only when it must have given up they join another replica.
 */
Test (form, members_of_a_silent_leader_wait_until_it_gave_up)
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

/*
 * A new owner takes over what it finds and gives no order at all.
 */
Test (form, a_new_owner_changes_nothing)
{
  form_check ("lead 1\n vms a 6\n run 5000\n lead-other 2\n run 3000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * Callers see nothing move at a replica.  The members are asked; the one that
 * does not answer counts as missing though the list still names it.
 */
Test (form, a_stalled_replica_is_mended_before_the_list_tells)
{
  form_check ("lead 1\n vms a 4\n run 5000\n traffic\n hang a3\n"
              "stalled a1\n run 1500\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "close cut r1001 a1\n"
              "leave r1001 a1\n"
              "join r1003 big: a1 a2 a4\n"
              "open r1003 a1\n"
              "r1003 big is open: a1 a2 a4\n");
}

/*
 * The same leader comes back, open still and without its members.  It closes
 * and leaves before it becomes a member of anything else.
 */
Test (form, a_leader_that_comes_back_is_closed_first)
{
  form_check ("lead 1\n vms a 4\n run 3000\n disconnect a1\n run 3000\n"
              "back a1\n run 3000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s1002 big: a4\n"
              "open r1001 a1\n"
              "leave r1001 a2\n"
              "leave r1001 a3\n"
              "join r1003 big: a2 a3 a4\n"
              "open r1003 a2\n"
              "close cut r1001 a1\n"
              "leave r1001 a1\n"
              "r1003 big is open: a2 a3 a4\n");
}

/*
 * All nodes and the store were away, and entries lapsed.  The new owner's
 * first list names two members of an open replica and not its leader; they are
 * no spares.  When the leader is listed again nothing has been ordered.
 */
Test (form, members_listed_before_their_leader_are_no_spares)
{
  form_check ("lead 1\n vms a 6\n run 5000\n disconnect a1\n disconnect a2\n"
              "incomplete\n lead-other 2\n run 500\n complete\n run 500\n"
              "back a2\n run 500\n back a1\n run 3000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * Callers notice nothing: a member can't reach the store, so that its entry
 * lapses, but it works on.  The replica stays open; later the entry is back.
 */
Test (form, a_member_that_lapses_and_works_on_is_kept)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n expire a2\n run 5000\n"
              "show\n back a2\n run 1000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * Streams stand still: the member whose entry had lapsed ends after all, as
 * one does that leaves without a word.  Within a second of that it is replaced
 * by the warm spare.
 */
Test (form, a_lapsed_member_that_ends_is_replaced)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n expire a2\n run 2000\n"
              "show\n kill a2\n run 2000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "close cut r1001 a1\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a1 a3 a6\n"
                     "open r1004 a1\n"
                     "r1004 big is open: a1 a3 a6\n"
                     "r1002 small is open: a4 a5\n");
}

/*
 * A leader's entry lapses.  No new call may go there, so the replica closes:
 * what runs gets some time, then the leader leaves.  It answers orders, so
 * nobody has to wait until it must have given up by itself.
 */
Test (form, a_lapsed_leader_closes_and_leaves)
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

/*
 * The owner changes while a member's entry has lapsed.  The new one can't ask
 * whom it has never seen, and changes nothing; it closes the replica once
 * callers see nothing move there.
 */
Test (form, a_new_owner_keeps_a_replica_with_a_lapsed_member)
{
  form_check (
      "lead 1\n vms a 6\n run 5000\n traffic\n expire a2\n run 500\n"
      "lead-other 2\n run 2000\n show\n kill a2\n stalled a1\n run 2000\n"
      "show\n",
      FORMED "r1001 big is open: a1 a2 a3\n"
             "r1002 small is open: a4 a5\n"
             "a6 is warm for big\n"
             "close cut r1001 a1\n"
             "leave r1001 a1\n"
             "join r2001 big: a1 a3 a6\n"
             "open r2001 a1\n"
             "r2001 big is open: a1 a3 a6\n"
             "r1002 small is open: a4 a5\n");
}

/*
 * Callers see a replica stand still: a member has started again under its id.
 * It is listed at once, with nothing of before, so it is no member any more:
 * the replica is closed and formed again, and of the same VMs, since the new
 * life joins like any other.
 */
Test (form, a_member_that_starts_again_is_a_new_server)
{
  form_check ("lead 1\n vms a 3\n run 5000\n traffic\n restart a2\n"
              "run 4000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "open r1001 a1\n"
              "close cut r1001 a1\n"
              "leave r1001 a1\n"
              "join r1002 big: a1 a3 a2\n"
              "open r1002 a1\n"
              "r1002 big is open: a1 a3 a2\n");
}

/*
 * The same with the leader: that its process has started again proves that it
 * leads nothing, so its members wait for nobody.
 */
Test (form, a_leader_that_starts_again_has_given_up)
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
 * An order to join is answered late, again and again, and its VM starts again
 * meanwhile.  The old replica's leader can't be closed for a while; were the
 * new life used for another replica at once, the late order could make it a
 * member of the open one right before.
 */
Test (form, a_new_life_waits_until_its_old_replica_is_over)
{
  form_check ("lead 1\n vms a 6\n run 5000\n traffic\n late-all close\n"
              "restart a2\n run 1000\n show\n respond\n run 4000\n show\n",
              FORMED "close cut r1001 a1\n"
                     "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n"
                     "close cut r1001 a1\n"
                     "leave r1001 a1\n"
                     "join r1004 big: a1 a3 a6\n"
                     "join s1005 small: a2\n"
                     "open r1004 a1\n"
                     "r1004 big is open: a1 a3 a6\n"
                     "a2 is warm for small\n"
                     "r1002 small is open: a4 a5\n");
}

/*
 * Callers of both models come.  Each domain has room for a replica of either,
 * not of both, and were each planned by itself all would choose the same: one
 * model would be served nowhere.
 */
Test (form, domains_too_small_for_both_models_share_them)
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
 * The same, and callers are there.  Two VMs of the small model's domain are
 * lost, and blank ones come for them.  They load the model that their domain
 * is for, and its replica is back; for the large one they would wait for good.
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
 * Servers register a few at a time over a second.  Were replicas formed of
 * those that are there, the small model would take the VMs of the large one,
 * and its callers would be refused all day.
 */
Test (form, replicas_wait_until_all_have_registered)
{
  form_check ("lead 1\n vms a 2\n run 100\n vms a 1\n run 100\n vms a 1\n"
              "run 100\n vms a 2\n run 5000\n show\n",
              FORMED "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/*
 * Callers get events that only a whole replica may make.  A leader has been
 * told to join, its two members' orders are on their way for seconds, and the
 * next owner takes over.  It finds a leader alone, which reports no model as
 * long as it gets ready: nobody knows then how many members it lacks, and it
 * must not be opened.
 */
Test (form, a_leader_found_alone_is_not_opened)
{
  form_check ("vms a 3\n hang a2\n hang a3\n lead 1\n run 300\n lead-other 2\n"
              "run 6000\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "join s2001 big: a2\n"
              "join s2002 big: a3\n"
              "leave r1001 a1\n");
}

/*
 * Callers of one model lose a replica.  The spare is warm for the other model,
 * but before there were callers each host has taken the other model's weights
 * into its memory: the replica is back at once, not after a load.
 */
Test (form, a_spare_serves_either_model)
{
  form_check ("host-memory\n lead 1\n vms a 6\n run 8000\n traffic\n kill a5\n"
              "run 1000\n show\n",
              FORMED "preload small a6\n"
                     "close cut r1002 a4\n"
                     "leave r1002 a4\n"
                     "join r1004 small: a4 a6\n"
                     "open r1004 a4\n"
                     "r1001 big is open: a1 a2 a3\n"
                     "r1004 small is open: a4 a6\n");
}

/*
 * Callers of the large model have lost both replicas: each domain has two VMs
 * warm for it and nobody that could take the third place before a load of many
 * seconds.  The four wait, as a replica across the domains would be late with
 * every request; when a VM comes to one of the domains it loads the model, and
 * the replica there is formed at once.
 */
Test (form, leftovers_of_two_domains_wait_for_their_own)
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
              "close cut r1001 a1\n"
              "close cut r1003 b1\n"
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
 * All nodes were away for a moment and a member died meanwhile.  Whether the
 * list is whole is not known yet; but the replica that lacks the member, and
 * the spare, are listed.  Callers don't wait two seconds more for the repair.
 */
Test (form, what_is_listed_is_repaired_before_the_list_settles)
{
  form_check (
      "lead 1\n vms a 6\n run 5000\n traffic\n incomplete\n lead-other 2\n"
      "run 200\n kill a2\n run 1500\n show\n",
      FORMED "close cut r1001 a1\n"
             "leave r1001 a1\n"
             "join r2001 big: a1 a3 a6\n"
             "open r2001 a1\n"
             "r2001 big is open: a1 a3 a6\n"
             "r1002 small is open: a4 a5\n");
}

/*
 * After an outage of the store a leader is listed before its members.  It is
 * open and its replica whole: nothing is closed, whoever is listed first.
 */
Test (form, a_leader_listed_before_its_members_stays_open)
{
  form_check (
      "lead 1\n vms a 6\n run 5000\n traffic\n disconnect a1\n disconnect a2\n"
      "disconnect a3\n incomplete\n lead-other 2\n run 500\n back a1\n run "
      "500\n"
      "back a2\n back a3\n run 200\n complete\n run 3000\n show\n",
      FORMED "r1001 big is open: a1 a2 a3\n"
             "r1002 small is open: a4 a5\n"
             "a6 is warm for big\n");
}

/*
 * A leader said that it leaves, and its entry goes while it is being closed:
 * it has left.  Nobody asks it first; its members leave at once, as the wait
 * until it must have given up begins only then.
 */
Test (form, a_leader_that_left_is_not_asked)
{
  form_check (
      "lead 1\n vms a 6\n run 5000\n traffic\n lose-all close\n drain a1\n"
      "run 300\n expire a1\n run 200\n show\n",
      FORMED "close r1001 a1\n"
             "leave r1001 a2\n"
             "leave r1001 a3\n"
             "r1001 big is open: a1 a2 a3\n"
             "r1002 small is open: a4 a5\n"
             "a6 is warm for big\n");
}

/*
 * Callers of the large model wait: a member was cut off, its replica was
 * closed and formed again with the spare, and then another member dies.  The
 * one that was cut off is back and still reports the old replica; as that
 * one's leader was told to leave it, the member takes the dead one's place at
 * once.
 */
Test (form, a_member_that_returns_to_a_closed_replica_is_free)
{
  form_check (
      "lead 1\n vms a 4\n run 5000\n traffic\n disconnect a2\n run 3000\n"
      "back a2\n run 300\n kill a3\n run 1500\n show\n",
      "join r1001 big: a1 a2 a3\n"
      "join s1002 big: a4\n"
      "open r1001 a1\n"
      "close cut r1001 a1\n"
      "leave r1001 a1\n"
      "join r1003 big: a1 a3 a4\n"
      "open r1003 a1\n"
      "close cut r1003 a1\n"
      "leave r1003 a1\n"
      "join r1004 big: a1 a4 a2\n"
      "open r1004 a1\n"
      "r1004 big is open: a1 a4 a2\n");
}

/*
 * Callers of a fleet of thousands of servers find no replica: the list is read
 * every four seconds, and a replica that had been opened was closed again as
 * it did not show there in time.  Each server gets one order for each step,
 * and what is open stays so.
 */
Test (form, a_list_that_is_seldom_read_costs_no_orders)
{
  form_check ("lists 4000\n lead 1\n vms a 6\n run 30000\n orders\n show\n",
              FORMED "8 orders\n"
                     "r1001 big is open: a1 a2 a3\n"
                     "r1002 small is open: a4 a5\n"
                     "a6 is warm for big\n");
}

/* Guards against a member that an owner in between took for free: its late
   join to another replica takes the member out of this one once it is open.
   Who has had an order of the new owner refuses it. */
Test (form, a_replica_that_was_found_opens_once_its_members_know_the_owner)
{
  form_check ("lead-other 1\n vms a 3\n lose-all open\n run 2600\n respond\n"
              "lead 2\n run 1000\n orders\n show\n",
              "join r1001 big: a1 a2 a3\n"
              "open r1001 a1\n"
              "4 orders\n"
              "r1001 big is open: a1 a2 a3\n");
}
