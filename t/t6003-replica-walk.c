#include <criterion/criterion.h>
#include <stdio.h>

#include "base/rng.h"
#include "t/lib-domain.h"

#define SEEDS 40
#define EVENTS 1500

static const char config[]
    = "{\"domains\":{\"d\":{\"zone\":\"z\",\"checks_fence\":true,\"vms\":{"
      "\"v1\":{\"addr\":\"127.0.0.1:1\"},\"v2\":{\"addr\":\"127.0.0.1:2\"},"
      "\"v3\":{\"addr\":\"127.0.0.1:3\"},\"v4\":{\"addr\":\"127.0.0.1:4\"},"
      "\"v5\":{\"addr\":\"127.0.0.1:5\"},\"v6\":{\"addr\":\"127.0.0.1:6\"},"
      "\"v7\":{\"addr\":\"127.0.0.1:7\"},"
      "\"v8\":{\"addr\":\"127.0.0.1:8\",\"spare_only\":true}}}},"
      "\"models\":{\"m\":{\"mode\":\"manage\",\"vms\":2,\"replicas\":2,"
      "\"weight_gb\":40,\"capacity\":16,\"tokens_per_s\":900},"
      "\"w\":{\"mode\":\"manage\",\"vms\":3,\"replicas\":1,"
      "\"weight_gb\":80,\"capacity\":16,\"tokens_per_s\":900}},"
      "\"replicas\":{"
      "\"r1\":{\"model\":\"m\",\"domain\":\"d\",\"mode\":\"manage\",\"vms\":["
      "]},"
      "\"r2\":{\"model\":\"m\",\"domain\":\"d\",\"mode\":\"manage\",\"vms\":["
      "]},"
      "\"r3\":{\"model\":\"w\",\"domain\":\"d\",\"mode\":\"manage\",\"vms\":["
      "]}},"
      "\"policy\":{\"downtime_weight\":1,\"stranded_weight\":2,"
      "\"weight_gb_per_s\":10,\"vm_return_ms\":60000}}";

/** Totals over all seeds. */
struct totals
{
  unsigned events, orders, wrong_loads, false_complete;
};

static const char *
random_vm (struct rng *rng)
{
  static const char *const names[]
      = { "v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8" };

  return names[rng_below (rng, 8)];
}

static const char *
random_replica (struct rng *rng)
{
  static const char *const names[] = { "r1", "r2", "r3" };

  return names[rng_below (rng, 3)];
}

/* Move ownership to the other core after the first one has stopped, as
   replica/owner.h guarantees. */
static void
move_ownership (struct dom *d, struct rng *rng, int *fence)
{
  char line[32];

  dom_run_line (d, "unowner");
  dom_run_line (d, rng_below (rng, 2) ? "as 1" : "as 2");
  snprintf (line, sizeof line, "owner %d", ++*fence);
  dom_run_line (d, line);
}

static void
random_event (struct dom *d, struct rng *rng, int *fence)
{
  static const char *const stores[] = { "up", "up", "down", "lost", "race" };
  static const char *const verbs[]
      = { "kill",    "dead",   "blank", "blank", "blank",  "start",
          "leaving", "listed", "work",  "late",  "listed", "work" };
  const char *verb = verbs[rng_below (rng, 12)];
  char line[64];

  switch (rng_below (rng, 8))
    {
    case 0:
      snprintf (line, sizeof line, "store %s", stores[rng_below (rng, 5)]);
      break;
    case 1:
      move_ownership (d, rng, fence);
      return;
    case 2:
      snprintf (line, sizeof line, "%s %s",
                rng_below (rng, 3) ? "undrain" : "drain",
                random_replica (rng));
      break;
    default:
      snprintf (line, sizeof line, "%s %s %s %d %d", verb, random_vm (rng),
                *verb == 'w' ? rng_below (rng, 3) ? "0" : "7"
                             : random_replica (rng),
                (int)rng_below (rng, 30), (int)rng_below (rng, 40));
    }
  dom_run_line (d, line);
}

static void
run_seed (uint64_t seed, bool two, struct totals *s)
{
  struct dom_options opt = { .config = config,
                             .checks_fence = seed % 2,
                             .two_cores = two,
                             .load_ms = 1500 };
  struct dom *d = dom_new (&opt, seed);
  struct rng rng;
  int fence = 100;

  rng_seed (&rng, seed);
  dom_run_line (d, "owner 100");
  for (int i = 0; i < EVENTS; i++)
    {
      random_event (d, &rng, &fence);
      dom_run_until (d, dom_now (d) + 100 + (clk_ms)rng_below (&rng, 4000));
      s->false_complete += dom_false_complete (d);
    }
  s->events += EVENTS;
  s->orders += dom_orders (d);
  s->wrong_loads += dom_wrong_loads (d);
  dom_free (d);
}

/*
 * VMs fail, return blank or with another replica, and are listed as leaving or
 * live; old orders arrive late; the store refuses writes, loses responses and
 * accepts competing writes; ownership moves between two cores.  In any order:
 * no written assignment contains a VM twice (the fake store parses each), no
 * VM executes a load order for a replica that the assignment does not give it,
 * and no replica is reported as complete for longer than REP_PROBE_VALID_MS
 * after a member stopped being a ready member of it.
 */
Test (replica_walk, no_vm_in_two_replicas)
{
  struct totals s = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    run_seed (seed, seed % 4 < 2, &s);
  cr_expect_eq (s.wrong_loads, 0, "%u", s.wrong_loads);
  cr_expect_eq (s.false_complete, 0, "%u", s.false_complete);
  cr_expect_eq (s.events, SEEDS * EVENTS);
  cr_expect_gt (s.orders, 10000, "only %u orders were sent", s.orders);
}
