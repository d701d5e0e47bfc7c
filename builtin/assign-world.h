/**
 * @file
 * One fabric domain for `bench assign`: its VMs, its assignment and the faults
 * that come over them, driven through the product's own replica core.
 */
#ifndef LAPISLINE_BUILTIN_ASSIGN_WORLD_H
#define LAPISLINE_BUILTIN_ASSIGN_WORLD_H

#include "replica/replica.h"

/** Shape of one domain and its weights. */
struct awd_shape
{
  unsigned replicas;
  unsigned vms; /**< of one replica */
  unsigned spares;
  double weight_gb;
  double gb_per_s;
  double downtime_weight;
  double stranded_weight;
  clk_ms vm_return_ms;
};

/** A fault: VMs [first, first + n) of the domain are away for a while. */
struct awd_fault
{
  clk_ms at;
  unsigned first;
  unsigned n;
  clk_ms away;
};

struct awd;

/** @param cfg  of awd_config(), referenced */
struct awd *awd_new (struct cfg *cfg, const struct awd_shape *shape,
                     enum rep_repair_policy rule, bool no_budget,
                     uint64_t seed);
void awd_free (struct awd *w);

/** A configuration with one domain "d" of that shape. */
struct cfg *awd_config (const struct awd_shape *shape);

/** Run until every replica is whole, at most @p most; returns the time. */
clk_ms awd_settle (struct awd *w, clk_ms most);

/** Let the core run as a control process does: ten ticks a second and a probe
    of every VM; nothing happens. */
void awd_idle (struct awd *w, unsigned seconds);

/** Run the faults (ordered by time, from now on) until @p until. */
void awd_run (struct awd *w, const struct awd_fault *faults, size_t n,
              clk_ms until);

unsigned awd_whole (const struct awd *w);
clk_ms awd_now (const struct awd *w);

/** When the k-th replica became whole, filled by awd_settle(). */
const clk_ms *awd_whole_at (const struct awd *w);

/** Seconds of group downtime and VM-seconds stranded since the start. */
void awd_measures (const struct awd *w, double *downtime, double *stranded);

#endif
