/*
 * Which model gets the VMs, seen by the forming core: domains of 37 VMs, a
 * large model of 16 and a small one of 4 that each take half of the VMs' work.
 * A request to the large model occupies its replica for longer, so ten times
 * as many come for the small one.
 */
#include <criterion/criterion.h>

#include "t/lib-form.h"

#define MODELS                                                                \
  "no-order-log\n size big 16\n size small 4\n share big 50\n share small "   \
  "50\n"                                                                      \
  "pace small 60\n"

/*
 * Callers of the small model are refused: a replica of it works a little
 * faster than one of the large model, so that counted by replicas one of it
 * had as much to give as one of the large, and each domain held two of the
 * large and one of the small.  A share is of the VMs' work, and four small
 * replicas take as many VMs as one of the large.
 */
Test (work, half_of_the_vms_are_for_each_model)
{
  form_check (MODELS "lead 1\n vms a 37\n vms b 37\n run 9000\n"
                     "count a\n count b\n",
              "a: 1 big 5 small\n"
              "b: 1 big 5 small\n");
}

/*
 * Callers of the large model wait: its replica has lost more VMs than there
 * are to spare, and two small replicas have lost a member each.  What is left
 * of these could only wait for loads; as the hosts of their members took the
 * large model's weights before there was traffic, it completes the large
 * replica within seconds.
 */
Test (work, what_is_left_of_small_replicas_completes_a_large_one)
{
  form_check (MODELS "host-memory\n lead 1\n vms a 37\n run 9000\n traffic\n"
                     "kill a2\n kill a3\n kill a4\n kill a17\n kill a18\n"
                     "kill a21\n run 3000\n count a\n",
              "a: 1 big 3 small\n");
}

/*
 * Callers of the large model wait: its only replica has lost two members, and
 * one VM was to spare.  Beside it five replicas of the small model have more
 * slots than requests.  One of them closes, and its VMs, whose hosts keep the
 * large model's weights, complete the large replica within three seconds; a
 * load would take many.
 */
Test (work, an_idle_replica_closes_for_one_that_is_missed)
{
  form_check (MODELS "host-memory\n lead 1\n vms a 37\n run 9000\n traffic\n"
                     "demand big 6\n demand small 16\n run 6000\n"
                     "kill a2\n kill a3\n run 3000\n count a\n plan\n",
              "a: 1 big 4 small\n"
              "big: wanted 1, formed 1, requests 5, reassigned 0\n"
              "small: wanted 4, formed 4, requests 13, reassigned 1\n");
}

/*
 * The same, but the small model's callers need all of its replicas: one less
 * would make them wait more than those of the large model do.  Nothing closes;
 * the large replica waits for loads.
 */
Test (work, a_busy_replica_stays)
{
  form_check (MODELS "host-memory\n lead 1\n vms a 37\n vms b 37\n run 9000\n"
                     "traffic\n demand big 6\n demand small 76\n run 6000\n"
                     "kill a2\n kill a3\n run 3000\n count a\n count b\n",
              "a: 0 big 5 small\n"
              "b: 1 big 5 small\n");
}

/*
 * The small model's callers come in a burst of three seconds that takes all of
 * its slots, while the large model's replica is whole.  Nothing moves.
 */
Test (work, a_short_burst_moves_nothing)
{
  form_check (MODELS
              "host-memory\n lead 1\n vms a 37\n run 9000\n traffic\n"
              "demand big 4\n demand small 16\n run 6000\n demand small 60\n"
              "run 3000\n demand small 16\n run 6000\n count a\n",
              "a: 1 big 5 small\n");
}
