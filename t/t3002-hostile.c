#include <criterion/criterion.h>

#include "t/lib-fleet.h"

Test (hostile, packets_are_dropped_and_counted)
{
  /* Packets of another deployment, cut short, of no sense, changed on the
     way or sent to the wrong node must leave no trace but a count. */
  fleet_script (1,
                "nodes 3\n"
                "run 5000\n"
                "inject n1 foreign\n"
                "inject n1 short\n"
                "inject n1 garbage\n"
                "run 50\n"
                "count n1 bad_mac malformed replayed foreign\n"
                "tap n3\n"
                "run 2000\n"
                "corrupt n1\n"
                "run 50\n"
                "count n1 bad_mac malformed replayed foreign\n"
                "run 5000\n"
                "views\n"
                "accused\n",
                "n1: bad_mac 1 malformed 2 replayed 0 foreign 0\n"
                "n1: bad_mac 9 malformed 2 replayed 0 foreign 0\n"
                "n1 n2 n3: alive 3\n"
                "healthy nodes accused 0 times\n");
}

Test (hostile, replayed_packets_change_nothing)
{
  /* Somebody sends each packet of n3 to n1 again.  Those for n1 are replays,
     those for n2 are not n1's; an accusation among them would live for
     ever. */
  fleet_script (1,
                "nodes 3\n"
                "run 5000\n"
                "tap n3\n"
                "run 4000\n"
                "replay n1\n"
                "run 50\n"
                "count n1 replayed foreign bad_mac malformed\n"
                "views\n",
                "n1: replayed 8 foreign 8 bad_mac 0 malformed 0\n"
                "n1 n2 n3: alive 3\n");
}

Test (hostile, old_accusation_is_not_believed_twice)
{
  /* n3 accuses n2 while it can't reach it; all is well again later.  The
     captured accusation comes back: n2's higher incarnation has outlived
     it, even at a node for which it is no replay. */
  fleet_script (1,
                "nodes 6 3\n"
                "run 5000\n"
                "tap n3\n"
                "freeze n2 4000\n"
                "run 15000\n"
                "views\n"
                "replay n1\n"
                "replay n4\n"
                "run 3000\n"
                "views\n",
                "n1 n2 n3 n4 n5 n6: alive 6\n"
                "n1 n2 n3 n4 n5 n6: alive 6\n");
}
