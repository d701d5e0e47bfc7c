/*
 * Tests the soak's deduction of versions from responses. If it accepted
 * responses of old versions, the soak would miss every outdated configuration.
 */
#include <criterion/criterion.h>

#include "t/lib-versions.h"

TestSuite (versions, .timeout = 60);

/** Version 2 adds its item, version 3 removes it. */
static struct versions vs
    = { .newest = 3,
        .v = { [1] = { .sent_at = 1, .acked_at = 10 },
               [2] = { 100, 110, .removed_by = 3 },
               [3] = { .sent_at = 200, .acked_at = 210 } } };

static unsigned
oldest_match (unsigned item, bool denied, clk_ms answered, unsigned from)
{
  struct ver_request a
      = { .item = item, .denied = denied, .answered_at = answered };

  return ver_oldest_match (&vs, &a, from);
}

Test (versions, newest_acked_by_time)
{
  cr_expect_eq (ver_newest_acked (&vs, 9), 0);
  cr_expect_eq (ver_newest_acked (&vs, 109), 1);
  cr_expect_eq (ver_newest_acked (&vs, 110), 2);
  cr_expect_eq (ver_newest_acked (&vs, 1000), 3);
}

Test (versions, served_only_by_versions_with_item)
{
  cr_expect_eq (oldest_match (2, false, 300, 1), 2);
  cr_expect_eq (oldest_match (2, false, 300, 2), 2);
  cr_expect_eq (oldest_match (2, false, 300, 3), 0,
                "served with a removed key");
}

Test (versions, denied_only_by_versions_without_item)
{
  cr_expect_eq (oldest_match (2, true, 150, 1), 1);
  cr_expect_eq (oldest_match (2, true, 150, 2), 0,
                "denied although the item exists");
  cr_expect_eq (oldest_match (2, true, 199, 2), 0,
                "next version not sent yet");
  cr_expect_eq (oldest_match (2, true, 200, 2), 3);
}

Test (versions, always_allowed_is_never_denied)
{
  cr_expect_eq (oldest_match (0, false, 300, 3), 3);
  cr_expect_eq (oldest_match (0, true, 300, 0), 0);
}

Test (versions, same_seed_same_versions)
{
  static struct versions a, b;

  rng_seed (&a.rng, 7);
  rng_seed (&b.rng, 7);
  for (int i = 0; i < 100; i++)
    {
      ver_next (&a, 10 * i);
      ver_next (&b, 20 * i);
    }
  for (int i = 1; i <= 100; i++)
    cr_expect_eq (a.v[i].removed_by, b.v[i].removed_by, "version %d", i);
}
