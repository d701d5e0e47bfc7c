#include <criterion/criterion.h>

#include "t/lib-fleet.h"

#define SEEDS 20

/* Eight nodes in three zones that know each other. */
#define EIGHT "nodes 8 3\nrun 5000\n"

/** The outcome must not depend on the order of random choices. */
static void
every_seed (const char *script, const char *expected)
{
  for (unsigned seed = 1; seed <= SEEDS; seed++)
    fleet_script (seed, script, expected);
}

Test (member, kill_is_seen_by_all)
{
  /* A node dies without a word.  Callers are sent to it until the view says
     so; bound for 8 nodes: 6 s, and nobody else is accused on the way. */
  every_seed (EIGHT "kill n3\n"
                    "until dead n3 6000\n"
                    "run 30000\n"
                    "views\n"
                    "accused\n",
              "n3 dead at all within 6000 ms: yes\n"
              "n1 n2 n4 n5 n6 n7 n8: alive 7 dead 1 (n3)\n"
              "healthy nodes accused 0 times\n");
}

Test (member, waking_node_accuses_nobody)
{
  /* A VM is paused for 1, 3 and 5 s.  On waking, its probe's deadline has
     passed while the answer lies unread in its socket: it would accuse the
     node it was probing, and all would send their callers elsewhere. */
  every_seed (EIGHT "freeze n4 1000\n"
                    "run 9000\n"
                    "freeze n4 3000\n"
                    "run 12000\n"
                    "freeze n4 5000\n"
                    "run 15000\n"
                    "count n4 suspected died pauses\n"
                    "accused\n"
                    "views\n",
              "n4: suspected 0 died 0 pauses 3\n"
              "healthy nodes accused 0 times\n"
              "n1 n2 n3 n4 n5 n6 n7 n8: alive 8\n");
}

Test (member, one_way_cut_kills_nobody)
{
  /* n1 gets nothing that n2 sends, so n2's answers to its probes are lost.
     Both run and all others reach them: helpers find n2 for n1, and nobody
     is taken for silent. */
  every_seed (EIGHT "cut n2 n1\n"
                    "run 60000\n"
                    "count all suspected died\n"
                    "views\n",
              "all: suspected 0 died 0\n"
              "n1 n2 n3 n4 n5 n6 n7 n8: alive 8\n");
}

Test (member, deaf_node_accuses_nobody)
{
  /* n1 sends but hears nobody.  To it all seem silent, one after another;
     if it told, callers would be kept from each in turn.  It
     marks them for itself only, and takes that back when it hears again. */
  every_seed (EIGHT "cut all n1\n"
                    "run 90000\n"
                    "views\n"
                    "buried-by z2\n"
                    "buried-by z3\n"
                    "mend all n1\n"
                    "until alive n1 5000\n"
                    "run 3000\n"
                    "views\n",
              "n1: alive 1 dead 7 (n2 n3 n4 n5 n6 n7 n8)\n"
              "n2 n3 n4 n5 n6 n7 n8: alive 7 dead 1 (n1)\n"
              "z2 held for dead: n1\n"
              "z3 held for dead: n1\n"
              "n1 alive at all within 5000 ms: yes\n"
              "n1 n2 n3 n4 n5 n6 n7 n8: alive 8\n");
}

Test (member, zone_cut_off_and_back)
{
  /* A zone of three loses the other six for longer than a suspicion lasts.
     Each side goes on with its own.  When the cut ends, each side holds the
     other for dead and probes it no more; both must find together again. */
  every_seed ("nodes 9 3\n"
              "run 5000\n"
              "cut z1 all\n"
              "cut all z1\n"
              "run 60000\n"
              "views\n"
              "mend z1 all\n"
              "mend all z1\n"
              "until alive n1 10000\n"
              "run 5000\n"
              "views\n"
              "buried-by z2\n",
              "n1 n4 n7: alive 3 dead 6 (n2 n3 n5 n6 n8 n9)\n"
              "n2 n3 n5 n6 n8 n9: alive 6 dead 3 (n1 n4 n7)\n"
              "n1 alive at all within 10000 ms: yes\n"
              "n1 n2 n3 n4 n5 n6 n7 n8 n9: alive 9\n"
              "z2 held for dead: n1 n4 n7\n");
}

Test (member, frozen_node_refutes_its_death)
{
  /* A node frozen for 20 s is declared dead, rightly.  When it goes on in
     the same boot it must come back by a higher incarnation, though the
     others hold its death at the one that it had. */
  every_seed (EIGHT "freeze n4 20000\n"
                    "until dead n4 8000\n"
                    "run 20000\n"
                    "until alive n4 1\n",
              "n4 dead at all within 8000 ms: yes\n"
              "n4 alive at all within 1 ms: yes\n");
}

Test (member, replaced_vm_is_not_its_predecessor)
{
  /* A VM is replaced under its name and address.  Packets of the old one
     that arrive late must neither bring it back nor count for the new one,
     and the new one must not wait until the old one is forgotten. */
  every_seed (EIGHT "tap n3\n"
                    "run 3000\n"
                    "replace n3\n"
                    "run 2000\n"
                    "views\n"
                    "replay n1\n"
                    "run 10000\n"
                    "views\n"
                    "accused\n",
              "n1 n2 n3 n4 n5 n6 n7 n8: alive 8\n"
              "n1 n2 n3 n4 n5 n6 n7 n8: alive 8\n"
              "healthy nodes accused 0 times\n");
}

Test (member, successor_does_not_answer_for_the_dead)
{
  /* A VM is replaced and its successor, at the same address, reaches nobody
     to join.  It gets the probes meant for its predecessor; if it answered
     them, callers would be sent to a node that serves nothing yet. */
  every_seed (EIGHT "restart n3\n"
                    "until dead n3 6000\n",
              "n3 dead at all within 6000 ms: yes\n");
}

Test (member, what_gossip_lost_is_still_learned)
{
  /* The network loses nine packets in ten while n5 says that it leaves, and
     gossip about it ends.  Whoever missed it would send callers to n5 until
     it is gone; comparing views must deliver it. */
  every_seed ("nodes 20 3\n"
              "run 10000\n"
              "lossy all 95\n"
              "leave n5\n"
              "run 1500\n"
              "lossy all 0\n"
              "until leaving n5 30000\n",
              "n5 leaving at all within 30000 ms: yes\n");
}

Test (member, leaving_is_told_and_death_follows)
{
  /* A node that drains says so, and is no more offered to callers while it
     finishes its work; the word must not end as an accusation. */
  every_seed (EIGHT "leave n5\n"
                    "until leaving n5 2500\n"
                    "run 20000\n"
                    "views\n"
                    "kill n5\n"
                    "until dead n5 6000\n",
              "n5 leaving at all within 2500 ms: yes\n"
              "n1 n2 n3 n4 n5 n6 n7 n8: alive 7 leaving 1 (n5)\n"
              "n5 dead at all within 6000 ms: yes\n");
}

Test (member, views_converge_within_the_budget)
{
  /* 60 nodes start at once through one of them.  All must know all soon,
     and no node may send more than its share of the 25 KB a second. */
  every_seed ("nodes 60 4\n"
              "busiest 20000\n"
              "until alive n60 1\n"
              "busiest 10000\n",
              "over 20000 bytes in a second: no\n"
              "n60 alive at all within 1 ms: yes\n"
              "over 10000 bytes in a second: no\n");
}

Test (member, regions_know_each_other_by_bridges)
{
  /* Nodes of a region keep rows of another region's two bridges only.  The
     bridges die and others take over; then the regions lose each other for
     longer than the dead are kept, and must find together again. */
  fleet_script (1,
                "nodes 8 3\n"
                "nodes 6 3 far\n"
                "run 60000\n"
                "regions\n"
                "kill n9\n"
                "kill n10\n"
                "run 60000\n"
                "regions\n"
                "cut home far\n"
                "cut far home\n"
                "run 3600000\n"
                "regions\n"
                "views\n"
                "mend home far\n"
                "mend far home\n"
                "run 30000\n"
                "regions\n",
                "from n1: home; far: 6 nodes, 2 bridges alive\n"
                "from n9: far; home: 8 nodes, 2 bridges alive\n"
                "from n1: home; far: 4 nodes, 2 bridges alive\n"
                "from n11: far; home: 8 nodes, 2 bridges alive\n"
                "from n1: home; far: 4 nodes, 0 bridges alive\n"
                "from n11: far; home: 8 nodes, 0 bridges alive\n"
                "n1 n2 n3 n4 n5 n6 n7 n8: alive 8\n"
                "n11 n12 n13 n14: alive 4\n"
                "from n1: home; far: 4 nodes, 2 bridges alive\n"
                "from n11: far; home: 8 nodes, 2 bridges alive\n");
}

Test (member, hard_of_hearing_node_accuses_little)
{
  /* n4 loses most of what comes in, so that many of its probes fail though
     their targets run.  Silent helpers tell it that the fault is its own: it
     waits longer before it accuses. */
  every_seed (EIGHT "lossy n4 70\n"
                    "run 60000\n"
                    "at-most 20 n4 suspected\n",
              "n4: suspected at most 20: yes\n");
}

Test (member, figures_reach_all_that_hold_the_row)
{
  /* `config status --wait` waits until every node that it knows has the
     revision in force, the bridges of other regions included: a figure that
     never gets there, or not to a node that started after it had changed,
     would have it wait for ever. */
  every_seed ("nodes 8 3\n"
              "nodes 6 3 far\n"
              "run 60000\n"
              "load home 7 10000\n"
              "load far 9 10000\n"
              "replace n4\n"
              "run 5000\n"
              "load n4 7 10000\n"
              "load home 7 0\n",
              "load of home known within 10000 ms: yes\n"
              "load of far known within 10000 ms: yes\n"
              "load of n4 known within 10000 ms: yes\n"
              "load of home known within 0 ms: yes\n");
}

Test (member, suspect_is_asked_before_it_is_buried)
{
  /* n4 freezes for less than a suspicion lasts and refutes on waking, but
     most packets are lost for a moment.  Whoever has not heard the
     refutation when its suspicion ends would hold n4 for dead, although all
     others talk with it. */
  every_seed ("nodes 40 3\n"
              "run 10000\n"
              "freeze n4 1800\n"
              "run 1800\n"
              "lossy all 80\n"
              "run 1200\n"
              "lossy all 0\n"
              "run 15000\n"
              "buried-by all\n",
              "all held for dead:\n");
}
