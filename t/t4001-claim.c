/* Failure scenarios of one claim; see t/lib-claim-script.h. */
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

/* A caller retries a call through another gateway while two nodes act as the
   key's home (their views differ).  Home 1 has recorded attempt A; home 2,
   which read the shard before that, tries to record B.  The compare on the
   head rejects the write, the read returns A, and the retry is refused. */
Test (claim, two_homes_conflict)
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

/* Home 1 is suspended after sending the write of attempt A.  Its caller gives
   up and retries through home 2, which reads the record.  When home 1 resumes,
   the deadline of A has passed: A is recorded, but must not be granted, and is
   released because no other node was tried.  Then the key is free. */
Test (claim, suspended_home_resumes)
{
  csc_expect ("h1 final k A\n"
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

/* The store applies a write and its response is lost.  The claim is granted
   only after a read has returned the batch key, and nothing is written
   twice. */
Test (claim, lost_response_to_an_applied_write)
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

/* The response is lost and the write is still in flight during the read.  The
   read returns the old head, so the same write is sent again.  The first copy
   is applied in between, so the second conflicts, the next read returns the
   batch, and the claim is granted once. */
Test (claim, lost_write_is_applied_before_its_retry)
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

/* The response is lost and another home's write is applied first.  The head
   has changed, so the lost write can never pass its compare: the request is
   decided from the other home's records, and the late copy changes nothing. */
Test (claim, lost_write_is_void_after_head_change)
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

/* The store is down.  The first caller waits for two calls; after that, every
   request is refused immediately, and one read at a time checks whether the
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

/* The store is slow: the response to a write arrives after the requester
   received "unavailable".  If the claim stayed, a retry would be refused for
   the whole window, so the core releases it. */
Test (claim, late_write_is_released)
{
  csc_expect ("h1 final k A\n"
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

/* The same with a request from another node, which has meanwhile sent the same
   attempt to the next home and may have a grant from it: this home must not
   release the claim. */
Test (claim, late_write_is_kept_for_other_nodes)
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

/* A granted call could not be sent (no connection), so its gateway releases
   the claim.  A retry that arrives before the release is recorded waits for it
   and may then run.  The released attempt may never run. */
Test (claim, retry_after_release)
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

/* A key is remembered for the window plus the slack; then it is free again, in
   memory and in the store.  Memory for responses is limited: with 64 bytes the
   older response is evicted first, and a retry gets "unknown" instead of
   running again. */
Test (claim, expiry_and_response_limit)
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

/* A gateway does not use a grant in time and repeats the request for the same
   attempt.  If it were granted again, the record could expire while the
   call is being sent, and a retry could run beside it; so the record is
   written again.  The attempt is refused once a retry holds the key. */
Test (claim, old_record_is_written_again)
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

/* The requester gives up on A and releases it through home 2, while home 1
   resolves the write of A by a read.  The read returns both the record and the
   release: A must not be granted, as a retry may have found the key free. */
Test (claim, released_at_other_home_during_read)
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

/* The response to a write is lost, the same write is sent again and that copy
   is refused, but the first may still be applied.  The requester received
   "unavailable", so a release must follow: otherwise the key would be held for
   the whole window once the first copy is applied. */
Test (claim, retry_refused_while_first_copy_is_pending)
{
  csc_expect ("h1 final k A\n"
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
