/**
 * @file
 * Internal structures of the division of VMs by demand.
 *
 *   allocation.c         plans of the domains, and when they change
 *   allocation-demand.c  estimates of the demand
 *   allocation-search.c  utilization, and which replicas to reassign
 */
#ifndef LAPISLINE_SERVE_ALLOCATION_INT_H
#define LAPISLINE_SERVE_ALLOCATION_INT_H

#include "serve/allocation.h"

#define ALC_NBUCKETS ((size_t)(ALC_PEAK_MS / ALC_INTERVAL_MS))

struct alc_bucket
{
  double sum, max;
  unsigned n;
};

struct alc_demand_state
{
  /** index: interval number modulo the size */
  struct alc_bucket ring[ALC_NBUCKETS];
  double fast, smooth;
  clk_ms sampled_at; /**< 0: never */
};

struct alc_domain_plan
{
  unsigned id;
  unsigned target[ALC_MAX_MODELS];
  bool touched; /**< the plan of the domain was changed at some time */
};

struct alc
{
  struct alc_demand_state demands[ALC_MAX_MODELS];
  clk_ms interval;         /**< number of the current bucket */
  clk_ms first_request_at; /**< 0: there was none */
  struct alc_domain_plan *domains;
  size_t ndomains;
  bool started; /**< the domains' state at the start was taken over */
  clk_ms updated_at, changed_at;
  clk_ms wanted_since, overloaded_since, fits_since; /**< 0: not the case */
  struct alc_change change;
};

/** The state that a calculation works on. */
struct alc_calc
{
  const struct alc_input *in;
  double requests[ALC_MAX_MODELS];
  double weight[ALC_MAX_MODELS]; /**< factor on the utilization */
  unsigned shares[ALC_MAX_MODELS];
  /** By domain of the input; what counts as available. */
  unsigned (*plan)[ALC_MAX_MODELS];
  unsigned *vms;
  /** VMs with the weights of a model that are not used by a move yet. */
  unsigned (*warm)[ALC_MAX_MODELS];
  unsigned total[ALC_MAX_MODELS];
  unsigned spread[ALC_MAX_MODELS]; /**< domains that have a replica */
  unsigned usable_domains;
  bool needs_loads; /**< a move needs a load from the weight store */
};

/* allocation-demand.c */
/** Empties the buckets of the time that has passed without a sample. */
void alc_advance_buckets (struct alc *a, clk_ms now);
/** Maximum requests for the model within ALC_PEAK_MS. */
double alc_peak (const struct alc *a, size_t model);
/** Updates the smoothed means of the first @p n models. */
void alc_smooth_means (struct alc *a, clk_ms now, size_t n);

/* allocation-search.c */
/** Counts the replicas and domains of each model in the plan. */
void alc_count_plan (struct alc_calc *c);
/** Sets the demand that the calculation assumes. */
void alc_set_requests (struct alc_calc *c, const double *requests);
/** The model with the highest utilization.
    @param peak  receives this utilization, with the model's weight */
size_t alc_most_utilized (const struct alc_calc *c, double *peak);
/**
 * Makes the moves that lower the peak.
 * @param ratio  receives the new peak divided by the current one
 * @return number of moves
 */
size_t alc_search (struct alc_calc *c, double *ratio);

#endif
