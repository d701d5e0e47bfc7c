/* Claims by a seeded walk; see t/lib-claim-walk.h. */
#include <criterion/criterion.h>

#include "t/lib-claim-walk.h"

/* Callers repeat bookings through three gateways while everything that may
   fail does, alone and together; whatever the order, no booking may run
   twice within the window. */
Test (walk, no_key_is_sent_twice)
{
  static struct cwk_walk k;
  uint64_t sends = 0, found = 0, absent = 0, late = 0, stale = 0;

  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      uint64_t steps = cwk_walk (&k, seed, 100000, CWK_FAULT_NONE);
      cr_expect_null (k.violation, "seed %llu, step %llu: %s",
                      (unsigned long long)seed, (unsigned long long)steps,
                      k.violation);
      cr_expect_eq (cwk_usable_keys (&k), CWK_KEYS,
                    "seed %llu: a key stays blocked",
                    (unsigned long long)seed);
      sends += k.sends;
      stale += k.stale;
      for (int h = 0; h < CW_HOMES; h++)
        {
          const struct clm_stats *n = clm_stats (k.w.homes[h]);
          found += n->settled_found;
          absent += n->settled_absent;
          late += n->late_releases;
        }
      cw_clear (&k.w);
    }
  cr_expect_gt (sends, 2000);
  cr_expect_gt (stale, 20);
  cr_expect_gt (found, 20);
  cr_expect_gt (absent, 20);
  cr_expect_gt (late, 20);
  cr_log_info ("sends %llu stale %llu found %llu absent %llu late %llu",
               (unsigned long long)sends, (unsigned long long)stale,
               (unsigned long long)found, (unsigned long long)absent,
               (unsigned long long)late);
}

static void
must_find (enum cwk_fault fault)
{
  static struct cwk_walk k;
  uint64_t steps = 0;

  for (uint64_t seed = 1; seed <= 120; seed++)
    {
      steps += cwk_walk (&k, seed, 100000, fault);
      cw_clear (&k.w);
      if (k.violation)
        break;
    }
  cr_log_info ("found after %llu steps", (unsigned long long)steps);
  cr_expect_not_null (k.violation);
}

Test (walk, finds_lost_answer_taken_for_applied)
{
  must_find (CWK_FAULT_LOST_AS_APPLIED);
}

Test (walk, finds_missing_check_of_the_grant)
{
  must_find (CWK_FAULT_NO_GRANT_CHECK);
}

Test (walk, finds_home_that_releases_for_others)
{
  must_find (CWK_FAULT_HOME_RELEASES);
}

/* The walk itself found these two in the first version of the asker. */
Test (walk, finds_own_core_that_releases_after_others_were_asked)
{
  must_find (CWK_FAULT_OWN_RELEASES);
}

Test (walk, finds_second_grant_taken_for_a_leftover)
{
  must_find (CWK_FAULT_FORGETS_GRANT);
}

/* Gateways took the millisecond of their start as the name of their batches.
   After a deployment two of them share it, and one takes the other's batch
   for its own. */
Test (walk, finds_homes_that_share_their_boot)
{
  must_find (CWK_FAULT_SAME_BOOT);
}
