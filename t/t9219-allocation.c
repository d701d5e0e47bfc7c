/*
 * Tests the division of VMs between models by demand: the core alone, with six
 * domains of 27 VMs unless a test says otherwise, a large model of 12 VMs and
 * a small one of 6 with equal declared shares, and 48 slots per replica.
 */
#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "serve/allocation.h"

#define DOMAINS_MAX 8
#define STEP_MS 50
#define SLOTS 48
#define LARGE 0
#define SMALL 1

/** A service and the core that plans it. */
struct fleet
{
  struct alc *core;
  struct alc_model models[2];
  struct alc_domain domains[DOMAINS_MAX];
  size_t ndomains;
  clk_ms now;
  unsigned changes;
  double demand[2];
};

static void
set_domain (struct fleet *f, size_t i, unsigned usable)
{
  f->domains[i] = (struct alc_domain){ .id = (unsigned)i + 1,
                                       .vms = 26,
                                       .usable = usable,
                                       .by_shares = { 1, 2 },
                                       .held = { 1, 2 },
                                       .with_weights = { 15, 15 } };
}

static void
fleet_start (struct fleet *f, size_t ndomains)
{
  memset (f, 0, sizeof *f);
  f->core = alc_new ();
  f->models[LARGE] = (struct alc_model){ 12, SLOTS, 1, 16000 };
  f->models[SMALL] = (struct alc_model){ 6, SLOTS, 1, 12000 };
  f->ndomains = ndomains;
  f->now = 1000;
  for (size_t i = 0; i < ndomains; i++)
    set_domain (f, i, 26);
}

static unsigned
planned (const struct fleet *f, size_t domain, size_t model)
{
  const struct alc_domain *d = &f->domains[domain];
  const unsigned *target = alc_target (f->core, d->id);
  unsigned sizes[2] = { 12, 6 }, out[2];

  alc_fit (target ? target : d->by_shares, sizes, 2, d->usable, out);
  return out[model];
}

static unsigned
total (const struct fleet *f, size_t model)
{
  unsigned n = 0;

  for (size_t i = 0; i < f->ndomains; i++)
    n += planned (f, i, model);
  return n;
}

/** One step of time: reports the demand and updates the plan.
    @return whether the plan has changed */
static bool
step (struct fleet *f)
{
  struct alc_input in = { f->models, 2, f->domains, f->ndomains };
  bool changed = false;

  f->now += STEP_MS;
  for (size_t k = 0; k < 2; k++)
    alc_demand (f->core, f->now, k, f->demand[k]);
  if (alc_is_due (f->core, f->now))
    changed = alc_update (f->core, f->now, &in);
  f->changes += changed;
  for (size_t i = 0; i < f->ndomains; i++)
    for (size_t k = 0; k < 2; k++)
      f->domains[i].held[k] = planned (f, i, k);
  cr_expect (total (f, LARGE) >= 1 && total (f, SMALL) >= 1,
             "a model has no replica");
  return changed;
}

static void
run (struct fleet *f, clk_ms ms, double large, double small)
{
  f->demand[LARGE] = large;
  f->demand[SMALL] = small;
  for (clk_ms t = 0; t < ms; t += STEP_MS)
    step (f);
}

static void
expect_plan (const struct fleet *f, unsigned large, unsigned small)
{
  cr_expect_eq (total (f, LARGE), large, "large: %u instead of %u",
                total (f, LARGE), large);
  cr_expect_eq (total (f, SMALL), small, "small: %u instead of %u",
                total (f, SMALL), small);
}

/* The demand of a day on which the small model's callers were late: 300
   requests of the small model and 55 of the large one run at a time. */
Test (allocation, the_small_model_gets_vms_of_an_idle_large_one)
{
  struct fleet f;

  fleet_start (&f, 6);
  run (&f, 30000, 55, 300);
  expect_plan (&f, 5, 14);
  cr_expect_eq (alc_last_change (f.core)->reason, ALC_DEMAND);
  alc_free (f.core);
}

/* Guards against taking replicas from a large model that has few of them and
   that crashes hit twice as often: with 80 requests it needs all six. */
Test (allocation, a_large_model_keeps_its_reserve)
{
  struct fleet f;

  fleet_start (&f, 6);
  run (&f, 60000, 80, 263);
  expect_plan (&f, 6, 12);
  cr_expect_eq (f.changes, 0);
  alc_free (f.core);
}
