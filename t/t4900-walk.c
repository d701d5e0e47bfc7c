/* Randomized tests of claims; see t/lib-claim-walk.h. */
#include <criterion/criterion.h>

#include "t/lib-claim-walk.h"

/* Callers retry calls through three gateways with all kinds of faults, alone
   and combined.  No call may run twice within the
   window. */
Test (claim_walk, no_key_is_sent_twice)
{
  static struct cwk_run k;
  uint64_t sends = 0, found = 0, absent = 0, late = 0, expired_grants = 0;

  for (uint64_t seed = 1; seed <= 40; seed++)
    {
      uint64_t steps = cwk_run (&k, seed, 100000, CWK_FAULT_NONE);
      cr_expect_null (k.violation, "seed %llu, step %llu: %s",
                      (unsigned long long)seed, (unsigned long long)steps,
                      k.violation);
      cr_expect_eq (cwk_usable_keys (&k), CWK_KEYS,
                    "seed %llu: a key is still blocked",
                    (unsigned long long)seed);
      sends += k.sends;
      expired_grants += k.expired_grants;
      for (int h = 0; h < CW_HOMES; h++)
        {
          const struct clm_stats *n = clm_stats (k.w.homes[h]);
          found += n->resolved_applied;
          absent += n->resolved_absent;
          late += n->late_releases;
        }
      cw_clear (&k.w);
    }
  cr_expect_gt (sends, 2000);
  cr_expect_gt (expired_grants, 20);
  cr_expect_gt (found, 20);
  cr_expect_gt (absent, 20);
  cr_expect_gt (late, 20);
  cr_log_info (
      "sends %llu expired grants %llu found %llu absent %llu late %llu",
      (unsigned long long)sends, (unsigned long long)expired_grants,
      (unsigned long long)found, (unsigned long long)absent,
      (unsigned long long)late);
}

static void
expect_violation (enum cwk_fault fault)
{
  static struct cwk_run k;
  uint64_t steps = 0;

  for (uint64_t seed = 1; seed <= 120; seed++)
    {
      steps += cwk_run (&k, seed, 100000, fault);
      cw_clear (&k.w);
      if (k.violation)
        break;
    }
  cr_log_info ("found after %llu steps", (unsigned long long)steps);
  cr_expect_not_null (k.violation);
}

Test (claim_walk, finds_lost_response_treated_as_applied)
{
  expect_violation (CWK_FAULT_LOST_AS_APPLIED);
}

Test (claim_walk, finds_missing_grant_check)
{
  expect_violation (CWK_FAULT_NO_GRANT_CHECK);
}

Test (claim_walk, finds_home_releasing_for_other_nodes)
{
  expect_violation (CWK_FAULT_HOME_RELEASES);
}

/* The randomized test found this fault and the next one in the first version
   of the requester. */
Test (claim_walk, finds_local_core_releasing_after_other_targets)
{
  expect_violation (CWK_FAULT_LOCAL_CORE_RELEASES);
}

Test (claim_walk, finds_release_of_second_grant)
{
  expect_violation (CWK_FAULT_RELEASES_GRANT);
}

/* Gateways used their start time in milliseconds as boot number in the names
   of batches.  After a deployment, two gateways may have the same number, and
   one then treats the other's batch as one that it wrote. */
Test (claim_walk, finds_shared_boot_number)
{
  expect_violation (CWK_FAULT_SHARED_BOOT);
}
