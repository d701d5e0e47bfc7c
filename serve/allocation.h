/**
 * @file
 * Divides the VMs of a service between its models by demand, over all fabric
 * domains (decision core, no I/O).
 *
 * Declared shares say how the work is expected to be divided between models.
 * The requests that run or wait for each model show how it is divided.  Where
 * the two differ clearly, this core plans replicas for the most utilized model
 * in place of replicas of another one.
 *
 * The utilization of a model is its requests divided by the slots of the
 * replicas that are left after the loss of ALC_BROKEN_REPLICAS replicas, or of
 * half of them if it has few.  Servers crash all the time; a model with few
 * large replicas loses a larger part of its slots by this than one with many
 * small ones.
 *
 * Two estimates of the demand are used:
 * - the mean over a window of ALC_WINDOW_MS, for lasting differences;
 * - a fast average for a model whose slots are all in use, together with the
 *   maximum over ALC_PEAK_MS of the requests for all other models.  A model
 *   therefore gives up no replicas that it needed within that time, and
 *   periodic demand that alternates between two models moves none back and
 *   forth.
 */
#ifndef LAPISLINE_SERVE_ALLOCATION_H
#define LAPISLINE_SERVE_ALLOCATION_H

#include <stdbool.h>
#include <stddef.h>

#include "base/clock.h"

#define ALC_MAX_MODELS 16 /**< models of one service, at most */

/** Interval between two calculations of the plan. */
#define ALC_INTERVAL_MS ((clk_ms)500)
/** Window of the mean demand: the period of the periodic variations that must
    not change the plan is 11 to 13 s. */
#define ALC_WINDOW_MS ((clk_ms)12000)
/** Window of the maximum demand; longer than one such period. */
#define ALC_PEAK_MS ((clk_ms)15000)
/**
 * Replicas of each model that are assumed to be broken.  Two members crash
 * every 3 s, and a replica is formed again within 3 to 5 s, so one or two
 * replicas of each of two models are missing at most times.
 */
#define ALC_BROKEN_REPLICAS 2.0

/** Why the plan was changed. */
enum alc_reason
{
  ALC_BY_SHARES,   /**< no change: the declared shares are in effect */
  ALC_DEMAND,      /**< the mean demand differs from the plan */
  ALC_OVERLOAD,    /**< a model's slots have all been in use for seconds */
  ALC_DEMAND_FITS, /**< the demand fits the declared shares again */
  ALC_STORED_MIX   /**< before the first request: the mix observed earlier */
};

const char *alc_reason_name (enum alc_reason reason);

struct alc_model
{
  unsigned size;  /**< VMs of a replica */
  double slots;   /**< concurrent requests of a replica */
  double urgency; /**< mean priority of its requests; 0 is the most urgent,
                       -1: unknown */
  clk_ms cold_ms; /**< load time from the weight store */
  double stored;  /**< mean requests in an earlier run; -1: unknown */
};

/** One fabric domain.  Counts are of VMs that replicas may use: a reserve is
    already subtracted. */
struct alc_domain
{
  unsigned id;     /**< greater than 0; the same in all calls */
  unsigned vms;    /**< when all its VMs are there */
  unsigned usable; /**< now; 0: lost, or in an evacuated zone */
  /** Replicas by the declared shares when all its VMs are there. */
  unsigned by_shares[ALC_MAX_MODELS];
  unsigned held[ALC_MAX_MODELS]; /**< replicas that are open or forming */
  /** VMs in no replica of the model that need no load from the weight store
      to join one. */
  unsigned with_weights[ALC_MAX_MODELS];
};

struct alc_input
{
  const struct alc_model *models;
  size_t nmodels; /**< at most ALC_MAX_MODELS */
  const struct alc_domain *domains;
  size_t ndomains;
};

/** A change of the plan, for the log. */
struct alc_change
{
  enum alc_reason reason;
  size_t nmodels;
  unsigned from[ALC_MAX_MODELS], to[ALC_MAX_MODELS]; /**< replicas */
  double requests[ALC_MAX_MODELS]; /**< on which the change is based */
  double utilization_from[ALC_MAX_MODELS], utilization_to[ALC_MAX_MODELS];
  double urgency[ALC_MAX_MODELS];
};

struct alc;

struct alc *alc_new (void);
void alc_free (struct alc *a);

/** Discards the plan, but not the demand: another node may have changed what
    the domains hold.  The next update starts from what they hold then. */
void alc_reset (struct alc *a);

/** Sets how many requests have a slot of a model or wait for one.
    @param model  index of the model in the input */
void alc_demand (struct alc *a, clk_ms now, size_t model, double requests);

/** Mean requests of the model; -1: not known yet.  Known only while the plan
   is updated. */
double alc_mean (const struct alc *a, clk_ms now, size_t model);

/** Whether ALC_INTERVAL_MS have passed since the last update. */
bool alc_is_due (const struct alc *a, clk_ms now);

/** Calculates the plan.
    @return whether it has changed; alc_last_change() says how */
bool alc_update (struct alc *a, clk_ms now, const struct alc_input *in);

/**
 * Planned replicas of each model in the domain when all its VMs are there.
 * @return NULL: the domain is planned by the declared shares and always was
 */
const unsigned *alc_target (const struct alc *a, unsigned domain);

const struct alc_change *alc_last_change (const struct alc *a);

/** Utilization of a model, as described above; 0: it has no requests. */
double alc_utilization (const struct alc_model *m, double requests,
                        unsigned replicas);

/**
 * Selects the replicas of @p target that fit into @p room VMs; the model with
 * the smallest part of its target goes first.
 */
void alc_fit (const unsigned *target, const unsigned *sizes, size_t nmodels,
              unsigned room, unsigned *out);

#endif
