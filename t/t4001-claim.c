/* Scripts of failures around one claim; see t/lib-claim-script.h. */
#include <criterion/criterion.h>

#include "t/lib-claim-script.h"

Test (claim, first_use_reads_then_writes)
{
  csc_expect ("h1 take k A\n"
              "  h1 #1 read from 0\n"
              "ok 1\n"
              "  h1 #2 grant 120000\n"
              "ok 2\n"
              "  h1 #3 write base=0 take:k/A\n"
              "ok 3\n"
              "  h1 k/A granted\n"
              "h1 take k A\n"
              "  h1 k/A granted\n"
              "h1 take k B\n"
              "  h1 k/B running\n"
              "h1 take k C x\n"
              "  h1 k/C mismatch\n"
              "h1 finish k A booked\n"
              "  h1 k/A done\n"
              "h1 take k D\n"
              "  h1 k/D answered 200 booked\n");
}

/* A caller repeats a booking through another gateway while two nodes believe
   to be the key's home (their views differ).  Home 1 has recorded attempt A;
   home 2, which read before that, tries to record B.  The compare on the head
   stops it, the read shows A, and the repeat is refused. */
Test (claim, two_homes_that_both_believe)
{
  csc_expect ("h1 take j Z\n"
              "  h1 #1 read from 0\n"
              "all\n"
              "  h1 #2 grant 120000\n"
              "  h1 #3 write base=0 take:j/Z\n"
              "  h1 j/Z granted\n"
              "h2 take k B\n"
              "  h2 #4 read from 0\n"
              "ok 4\n"
              "  h2 #5 grant 120000\n"
              "ok 5\n"
              "  h2 #6 write base=0 take:k/B\n"
              "h1 take k A\n"
              "  h1 #7 read from 0\n"
              "ok 7\n"
              "  h1 #8 write base=0 take:k/A\n"
              "ok 8\n"
              "  h1 k/A granted\n"
              "ok 6\n"
              "  h2 #9 read from 0\n"
              "ok 9\n"
              "  h2 k/B running\n");
}

/* Home 1 is stopped after it sent the write of attempt A; its caller gives
   up and repeats through home 2, which reads the record.  When home 1 wakes,
   A's wait is over: it is not granted, though it was recorded, and it is
   released because nobody else was asked for it.  Then the key is free. */
Test (claim, frozen_home_wakes)
{
  csc_expect ("h1 last k A\n"
              "  h1 #1 read from 0\n"
              "ok 1\n"
              "  h1 #2 grant 120000\n"
              "ok 2\n"
              "  h1 #3 write base=0 take:k/A\n"
              "apply 3\n"
              "sleep 8000\n"
              "h2 take k B\n"
              "  h2 #4 read from 0\n"
              "ok 4\n"
              "  h2 k/B running\n"
              "answer 3\n"
              "  h1 k/A unavailable\n"
              "  h1 #5 write base=102 release:k/A\n"
              "ok 5\n"
              "+2000\n"
              "h2 take k C\n"
              "  h2 #6 read from 102\n"
              "ok 6\n"
              "  h2 #7 grant 120000\n"
              "ok 7\n"
              "  h2 #8 write base=103 take:k/C\n"
              "ok 8\n"
              "  h2 k/C granted\n");
}

/* The store applies a write and the answer is lost.  The claim is granted
   only after the read has shown the batch key; nothing is written twice. */
Test (claim, lost_answer_of_an_applied_write)
{
  csc_expect ("h1 take k A\n"
              "  h1 #1 read from 0\n"
              "ok 1\n"
              "  h1 #2 grant 120000\n"
              "ok 2\n"
              "  h1 #3 write base=0 take:k/A\n"
              "apply 3\n"
              "lost 3\n"
              "  h1 #4 read from 0\n"
              "h1 take k B\n"
              "ok 4\n"
              "  h1 k/A granted\n"
              "  h1 k/B running\n");
}

/* The answer is lost and the write is still on its way when the read comes.
   The read shows the old head, so the same write is sent again.  The first
   copy lands in between; the second one conflicts, the read shows the batch,
   and the claim is granted once. */
Test (claim, lost_write_that_lands_late)
{
  csc_expect ("h1 take k A\n"
              "  h1 #1 read from 0\n"
              "ok 1\n"
              "  h1 #2 grant 120000\n"
              "ok 2\n"
              "  h1 #3 write base=0 take:k/A\n"
              "lost 3\n"
              "  h1 #4 read from 0\n"
              "ok 4\n"
              "+50\n"
              "  h1 #5 write base=0 take:k/A\n"
              "apply 3\n"
              "ok 5\n"
              "  h1 #6 read from 0\n"
              "ok 6\n"
              "  h1 k/A granted\n");
}

/* The answer is lost, the write does not land before another home's does.
   The head has moved past its compare, so it never can: the ask is decided
   anew by what the other home wrote, and the late copy changes nothing. */
Test (claim, lost_write_that_can_land_no_more)
{
  csc_expect ("h1 take k A\n"
              "  h1 #1 read from 0\n"
              "ok 1\n"
              "  h1 #2 grant 120000\n"
              "ok 2\n"
              "  h1 #3 write base=0 take:k/A\n"
              "lost 3\n"
              "  h1 #4 read from 0\n"
              "h2 take k B\n"
              "  h2 #5 read from 0\n"
              "ok 5\n"
              "  h2 #6 grant 120000\n"
              "ok 6\n"
              "  h2 #7 write base=0 take:k/B\n"
              "ok 7\n"
              "  h2 k/B granted\n"
              "ok 4\n"
              "  h1 k/A running\n"
              "apply 3\n"
              "h2 take k C\n"
              "  h2 k/C running\n");
}

/* The store is down.  The first caller waits for two tries; from then on
   every ask is refused at once, and one read at a time looks whether the
   store is back. */
Test (claim, store_down_and_back)
{
  csc_expect ("h1 take k A\n"
              "  h1 #1 read from 0\n"
              "down 1\n"
              "  h1 #2 read from 0\n"
              "down 2\n"
              "  h1 k/A unavailable\n"
              "h1 take k B\n"
              "  h1 k/B unavailable\n"
              "h1 take m B\n"
              "  h1 m/B unavailable\n"
              "+200\n"
              "  h1 #3 read from 0\n"
              "h1 take k C\n"
              "  h1 k/C unavailable\n"
              "ok 3\n"
              "h1 take k D\n"
              "  h1 #4 read from 0\n"
              "ok 4\n"
              "  h1 #5 grant 120000\n"
              "ok 5\n"
              "  h1 #6 write base=0 take:k/D\n"
              "ok 6\n"
              "  h1 k/D granted\n");
}

/* The store is slow: the answer to a write comes after its asker has been
   told "not run".  The claim must not stay, or the caller's repeat would be
   refused for the whole window; the core releases it. */
Test (claim, slow_store_releases_what_nobody_waits_for)
{
  csc_expect ("h1 last k A\n"
              "  h1 #1 read from 0\n"
              "ok 1\n"
              "  h1 #2 grant 120000\n"
              "ok 2\n"
              "  h1 #3 write base=0 take:k/A\n"
              "+2000\n"
              "  h1 k/A unavailable\n"
              "ok 3\n"
              "  h1 #4 write base=102 release:k/A\n"
              "ok 4\n"
              "+50\n"
              "h1 take k B\n"
              "  h1 #5 write base=103 take:k/B\n"
              "ok 5\n"
              "  h1 k/B granted\n");
}

/* The same, but the ask came from another node, which has meanwhile asked
   the next home for the same attempt and may have its grant: this home must
   not release it. */
Test (claim, slow_store_keeps_what_others_may_have_granted)
{
  csc_expect ("h1 take k A\n"
              "  h1 #1 read from 0\n"
              "ok 1\n"
              "  h1 #2 grant 120000\n"
              "ok 2\n"
              "  h1 #3 write base=0 take:k/A\n"
              "+2000\n"
              "  h1 k/A unavailable\n"
              "h2 take k A\n"
              "  h2 #4 read from 0\n"
              "all\n"
              "  h2 #5 grant 120000\n"
              "  h2 #6 write base=102 take:k/A\n"
              "  h2 k/A granted\n"
              "h1 take k B\n"
              "  h1 #7 read from 102\n"
              "ok 7\n"
              "  h1 k/B running\n");
}

/* A request that was granted could not be sent (no connection): its gateway
   releases it.  A repeat that comes before the release is recorded waits for
   it; then it may run.  The released attempt itself never may. */
Test (claim, release_then_rerun)
{
  csc_expect ("h1 take k A\n"
              "  h1 #1 read from 0\n"
              "all\n"
              "  h1 #2 grant 120000\n"
              "  h1 #3 write base=0 take:k/A\n"
              "  h1 k/A granted\n"
              "+50\n"
              "h1 release k A\n"
              "  h1 #4 write base=102 release:k/A\n"
              "h1 take k B\n"
              "ok 4\n"
              "  h1 k/A done\n"
              "+50\n"
              "  h1 #5 write base=103 take:k/B\n"
              "ok 5\n"
              "  h1 k/B granted\n"
              "h1 take k A\n"
              "  h1 k/A unavailable\n");
}

/* A key is remembered for the window and the life of a grant, then it is
   free again, in memory and in the store.  Kept answers are bounded: with
   room for 64 bytes the older answer is forgotten first, and then a repeat
   learns that the end is not known instead of running again. */
Test (claim, expiry_and_bounded_answers)
{
  csc_expect ("h1 take k A\n"
              "  h1 #1 read from 0\n"
              "all\n"
              "  h1 #2 grant 120000\n"
              "  h1 #3 write base=0 take:k/A\n"
              "  h1 k/A granted\n"
              "h1 finish k A 0123456789012345678901234567890\n"
              "  h1 k/A done\n"
              "h1 take m A\n"
              "  h1 #4 read from 0\n"
              "all\n"
              "  h1 #5 write base=0 take:m/A\n"
              "  h1 m/A granted\n"
              "h1 finish m A 0123456789012345678901234567890\n"
              "  h1 m/A done\n"
              "h1 take n A\n"
              "  h1 #6 read from 0\n"
              "all\n"
              "  h1 #7 write base=0 take:n/A\n"
              "  h1 n/A granted\n"
              "h1 finish n A 0123456789012345678901234567890\n"
              "  h1 n/A done\n"
              "h1 take k B\n"
              "  h1 k/B unknown\n"
              "+69999\n"
              "h1 take m B\n"
              "  h1 m/B answered 200 0123456789012345678901234567890\n"
              "+1\n"
              "h1 take m B\n"
              "  h1 #8 grant 120000\n"
              "all\n"
              "  h1 #9 write base=103 take:m/B\n"
              "  h1 m/B granted\n");
}

/* A grant was not used in time and its request asks again for the same
   attempt.  Were it granted as before, the record might end while the request
   is being sent, and a repeat could run beside it; so it is written anew.  It
   is refused once a repeat has the key. */
Test (claim, old_record_is_written_anew)
{
  csc_expect ("h1 take k A\n"
              "  h1 #1 read from 0\n"
              "all\n"
              "  h1 #2 grant 120000\n"
              "  h1 #3 write base=0 take:k/A\n"
              "  h1 k/A granted\n"
              "+1999\n"
              "h1 take k A\n"
              "  h1 k/A granted\n"
              "+1\n"
              "h1 take k A\n"
              "  h1 #4 write base=102 take:k/A\n"
              "ok 4\n"
              "  h1 k/A granted\n"
              "+69999\n"
              "h1 take k B\n"
              "  h1 #5 read from 103\n"
              "ok 5\n"
              "  h1 k/B running\n"
              "+1\n"
              "h1 take k B\n"
              "  h1 #6 grant 120000\n"
              "all\n"
              "  h1 #7 write base=103 take:k/B\n"
              "  h1 k/B granted\n"
              "h2 take k A\n"
              "  h2 #8 read from 0\n"
              "all\n"
              "  h2 k/A running\n");
}

/* The asker gives up on A while A's write at home 1 is settled by a read, and
   releases it through home 2.  The read shows both the record and the
   release: A is over, and a late grant must not let it be sent beside a
   repeat that found the key free. */
Test (claim, released_elsewhere_while_settling)
{
  csc_expect ("h1 take k A\n"
              "  h1 #1 read from 0\n"
              "ok 1\n"
              "  h1 #2 grant 120000\n"
              "ok 2\n"
              "  h1 #3 write base=0 take:k/A\n"
              "apply 3\n"
              "h2 release k A\n"
              "  h2 #4 read from 0\n"
              "ok 4\n"
              "  h2 #5 grant 120000\n"
              "ok 5\n"
              "  h2 #6 write base=102 release:k/A\n"
              "ok 6\n"
              "  h2 k/A done\n"
              "lost 3\n"
              "  h1 #7 read from 0\n"
              "ok 7\n"
              "  h1 k/A unavailable\n");
}

/* A write's answer is lost, the same write is sent again and that copy is
   refused; the first may still land.  Its asker is told "not run", so the
   release must follow: without it the key would stay taken for the whole
   window once the first copy lands. */
Test (claim, second_copy_refused_while_the_first_may_land)
{
  csc_expect ("h1 last k A\n"
              "  h1 #1 read from 0\n"
              "ok 1\n"
              "  h1 #2 grant 120000\n"
              "ok 2\n"
              "  h1 #3 write base=0 take:k/A\n"
              "lost 3\n"
              "  h1 #4 read from 0\n"
              "ok 4\n"
              "+50\n"
              "  h1 #5 write base=0 take:k/A\n"
              "down 5\n"
              "+2000\n"
              "  h1 k/A unavailable\n"
              "  h1 #6 write base=0 take:k/A\n"
              "apply 3\n"
              "ok 6\n"
              "  h1 #7 read from 0\n"
              "ok 7\n"
              "+50\n"
              "  h1 #8 write base=102 release:k/A\n"
              "ok 8\n"
              "h2 take k B\n"
              "  h2 #9 read from 0\n"
              "ok 9\n"
              "  h2 #10 grant 120000\n"
              "ok 10\n"
              "  h2 #11 write base=103 take:k/B\n"
              "ok 11\n"
              "  h2 k/B granted\n");
}
