#include "serve/allocation-int.h"

#include <stdlib.h>
#include <string.h>

#include "base/str.h"

/**
 * A change must lower the highest utilization below this fraction of its
 * current value.  Replicas that close are away for 3 to 5 s, and the demand is
 * an estimate.
 */
#define MAX_RATIO 0.85
/** The same for a change because of overload, whose estimate is less certain
    and whose cause may be a burst of 3 to 4 s. */
#define MAX_RATIO_OVERLOAD 0.75
/** Utilization from which a model counts as overloaded. */
#define OVERLOAD 1.0
/** How long it must be overloaded before the plan is changed. */
#define OVERLOAD_MS ((clk_ms)2000)
/** How long a change must be wanted, if the hosts hold the weights. */
#define WANTED_MS ((clk_ms)1500)
/** Time between two changes; the replicas of the first one are open by then.
 */
#define SETTLE_MS ((clk_ms)6000)
/** How long the demand must fit the declared shares before they are in effect
    again. */
#define FITS_MS ((clk_ms)30000)

/** Fewer requests than this in total are no reason for a change. */
#define MIN_REQUESTS 1.0
/**
 * Highest utilization from which the plan by demand is used, and below which
 * the declared shares are in effect again.  Below it, callers are served
 * equally well by both plans, so that a change gains nothing.
 */
#define MIN_PEAK 0.45
#define RETURN_PEAK 0.36
/** A domain with this part of its VMs counts as complete, because crashed VMs
    are back within seconds. */
#define COMPLETE_PART 0.75

const char *
alc_reason_name (enum alc_reason reason)
{
  static const char *const names[]
      = { "by_shares", "demand", "overload", "demand_fits", "stored_mix" };

  return names[reason];
}

struct alc *
alc_new (void)
{
  return xcalloc (1, sizeof (struct alc));
}

void
alc_free (struct alc *a)
{
  if (!a)
    return;
  free (a->domains);
  free (a);
}

void
alc_reset (struct alc *a)
{
  a->ndomains = 0;
  a->started = false;
  a->wanted_since = a->overloaded_since = a->fits_since = 0;
  a->changed_at = 0;
}

/* --- domains ----------------------------------------------------------- */

static struct alc_domain_plan *
find_domain (const struct alc *a, unsigned id)
{
  for (size_t i = 0; i < a->ndomains; i++)
    if (a->domains[i].id == id)
      return &a->domains[i];
  return NULL;
}

static void
add_domain (struct alc *a, unsigned id)
{
  a->domains = xrealloc (a->domains, (a->ndomains + 1) * sizeof *a->domains);
  a->domains[a->ndomains++] = (struct alc_domain_plan){ .id = id };
}

void
alc_fit (const unsigned *target, const unsigned *sizes, size_t nmodels,
         unsigned room, unsigned *out)
{
  memset (out, 0, nmodels * sizeof *out);
  for (;;)
    {
      size_t best = nmodels;
      for (size_t k = 0; k < nmodels; k++)
        {
          double x = target[k] ? (double)out[k] / target[k] : 1;
          double y = best < nmodels ? (double)out[best] / target[best] : 1;
          if (out[k] < target[k] && sizes[k] > 0 && sizes[k] <= room
              && (best == nmodels || x < y
                  || (x <= y && sizes[k] > sizes[best])))
            best = k;
        }
      if (best == nmodels)
        return;
      out[best]++;
      room -= sizes[best];
    }
}

static void
get_sizes (const struct alc_input *in, unsigned *sizes)
{
  for (size_t k = 0; k < in->nmodels; k++)
    sizes[k] = in->models[k].size;
}

/** Whether the domain has more replicas of a model than the declared shares
    give it: an earlier leader node has changed its plan. */
static bool
holds_more_than_shares (const struct alc_domain *in, size_t nmodels)
{
  for (size_t k = 0; k < nmodels; k++)
    if (in->held[k] > in->by_shares[k])
      return true;
  return false;
}

/** Adds replicas where the domain has room for more than its plan, because it
    has more VMs than before: first those that the shares give it, then those
    of a model that it has more of than by the shares. */
static void
fill_room (const struct alc_input *in, const struct alc_domain *d,
           struct alc_domain_plan *out)
{
  unsigned used = 0;

  for (size_t k = 0; k < in->nmodels; k++)
    used += out->target[k] * in->models[k].size;
  for (int step = 0; step < 2; step++)
    for (size_t k = 0; k < in->nmodels; k++)
      while ((step == 0 ? out->target[k] < d->by_shares[k]
                        : out->target[k] > d->by_shares[k])
             && in->models[k].size > 0 && used + in->models[k].size <= d->vms)
        {
          out->target[k]++;
          used += in->models[k].size;
        }
}

static void
set_domain_target (const struct alc *a, const struct alc_input *in,
                   const struct alc_domain *d, struct alc_domain_plan *out)
{
  unsigned sizes[ALC_MAX_MODELS] = { 0 }, fitted[ALC_MAX_MODELS];

  get_sizes (in, sizes);
  if (!a->started && holds_more_than_shares (d, in->nmodels))
    {
      out->touched = true;
      memcpy (out->target, d->held, sizeof out->target);
    }
  if (!out->touched)
    memcpy (out->target, d->by_shares, sizeof out->target);
  alc_fit (out->target, sizes, in->nmodels, d->vms, fitted);
  memcpy (out->target, fitted, in->nmodels * sizeof *fitted);
  if (out->touched)
    fill_room (in, d, out);
}

static void
update_domains (struct alc *a, const struct alc_input *in)
{
  for (size_t i = 0; i < in->ndomains; i++)
    {
      if (!find_domain (a, in->domains[i].id))
        add_domain (a, in->domains[i].id);
      set_domain_target (a, in, &in->domains[i],
                         find_domain (a, in->domains[i].id));
    }
  a->started = true;
}

/* --- decisions --------------------------------------------------------- */

static void
calc_init (const struct alc *a, const struct alc_input *in, struct alc_calc *c)
{
  unsigned sizes[ALC_MAX_MODELS] = { 0 };

  memset (c, 0, sizeof *c);
  c->in = in;
  c->plan = xcalloc (in->ndomains + 1, sizeof *c->plan);
  c->warm = xcalloc (in->ndomains + 1, sizeof *c->warm);
  c->vms = xcalloc (in->ndomains + 1, sizeof *c->vms);
  get_sizes (in, sizes);
  for (size_t i = 0; i < in->ndomains; i++)
    {
      const struct alc_domain *d = &in->domains[i];
      unsigned shares[ALC_MAX_MODELS];
      c->vms[i] = d->usable >= COMPLETE_PART * d->vms ? d->vms : d->usable;
      alc_fit (find_domain (a, d->id)->target, sizes, in->nmodels, c->vms[i],
               c->plan[i]);
      alc_fit (d->by_shares, sizes, in->nmodels, c->vms[i], shares);
      memcpy (c->warm[i], d->with_weights, sizeof c->warm[i]);
      for (size_t k = 0; k < in->nmodels; k++)
        c->shares[k] += shares[k];
      c->usable_domains += c->vms[i] > 0;
    }
  alc_count_plan (c);
}

static void
calc_free (struct alc_calc *c)
{
  free (c->plan);
  free (c->warm);
  free (c->vms);
}

static void
record_change (struct alc *a, const struct alc_calc *before,
               const struct alc_calc *after, enum alc_reason reason)
{
  struct alc_change *x = &a->change;

  memset (x, 0, sizeof *x);
  x->reason = reason;
  x->nmodels = after->in->nmodels;
  for (size_t k = 0; k < x->nmodels; k++)
    {
      const struct alc_model *m = &after->in->models[k];
      x->from[k] = before->total[k];
      x->to[k] = after->total[k];
      x->requests[k] = after->requests[k];
      x->utilization_from[k]
          = alc_utilization (m, after->requests[k], x->from[k]);
      x->utilization_to[k] = alc_utilization (m, after->requests[k], x->to[k]);
      x->urgency[k] = m->urgency;
    }
}

static void
set_changed (struct alc *a, clk_ms now)
{
  a->changed_at = now;
  a->wanted_since = a->overloaded_since = a->fits_since = 0;
}

/** Puts the plan of @p c in effect in the domains in which it differs. */
static void
adopt_plan (struct alc *a, clk_ms now, const struct alc_calc *before,
            const struct alc_calc *c, enum alc_reason reason)
{
  for (size_t i = 0; i < c->in->ndomains; i++)
    {
      struct alc_domain_plan *d = find_domain (a, c->in->domains[i].id);
      if (memcmp (before->plan[i], c->plan[i], sizeof c->plan[i]) == 0)
        continue;
      memcpy (d->target, c->plan[i], sizeof d->target);
      d->touched = true;
    }
  record_change (a, before, c, reason);
  set_changed (a, now);
}

static clk_ms
longest_load (const struct alc_input *in)
{
  clk_ms max = 0;

  for (size_t k = 0; k < in->nmodels; k++)
    if (in->models[k].cold_ms > max)
      max = in->models[k].cold_ms;
  return max;
}

/** Sets @p since to the time since which @p on has been true.
    @return for how long; -1: it is not */
static clk_ms
held_for (clk_ms now, bool on, clk_ms *since)
{
  if (!on)
    {
      *since = 0;
      return -1;
    }
  if (*since == 0)
    *since = now;
  return now - *since;
}

static bool
is_mean_known (const struct alc *a, clk_ms now)
{
  return a->first_request_at && now - a->first_request_at >= ALC_WINDOW_MS;
}

/** Whether the moves of a search over @p c are worth their cost. */
static bool
find_change (struct alc_calc *c, double max_ratio)
{
  double peak, ratio;

  alc_most_utilized (c, &peak);
  return peak >= MIN_PEAK && alc_search (c, &ratio) > 0 && ratio < max_ratio;
}

static bool
change_by_demand (struct alc *a, clk_ms now, const struct alc_calc *before,
                  struct alc_calc *c)
{
  double requests[ALC_MAX_MODELS] = { 0 }, sum = 0;
  bool wanted;
  clk_ms wait;

  for (size_t k = 0; k < c->in->nmodels; k++)
    sum += requests[k] = a->demands[k].smooth;
  alc_set_requests (c, requests);
  wanted = is_mean_known (a, now) && sum >= MIN_REQUESTS
           && find_change (c, MAX_RATIO);
  wait = c->needs_loads ? longest_load (c->in) : WANTED_MS;
  if (held_for (now, wanted, &a->wanted_since) < wait)
    return false;
  adopt_plan (a, now, before, c, ALC_DEMAND);
  return true;
}

/** As the estimate for the overloaded model, the fast average is used; for
    all others, the maximum within ALC_PEAK_MS. */
static bool
change_by_overload (struct alc *a, clk_ms now, const struct alc_calc *before,
                    struct alc_calc *c)
{
  double requests[ALC_MAX_MODELS] = { 0 }, peak, ratio;
  size_t busiest = 0;
  bool wanted;

  for (size_t k = 0; k < c->in->nmodels; k++)
    requests[k] = a->demands[k].fast;
  alc_set_requests (c, requests);
  busiest = alc_most_utilized (c, &peak);
  wanted = peak >= OVERLOAD * c->weight[busiest];
  if (wanted)
    {
      for (size_t k = 0; k < c->in->nmodels; k++)
        if (k != busiest)
          requests[k] = alc_peak (a, k);
      alc_set_requests (c, requests);
      wanted = alc_search (c, &ratio) > 0 && ratio < MAX_RATIO_OVERLOAD;
    }
  if (held_for (now, wanted, &a->overloaded_since) < OVERLOAD_MS)
    return false;
  adopt_plan (a, now, before, c, ALC_OVERLOAD);
  return true;
}

double
alc_mean (const struct alc *a, clk_ms now, size_t model)
{
  return is_mean_known (a, now) ? a->demands[model].smooth : -1;
}

/** Before the first request, the demand of an earlier run is expected. */
static bool
change_by_stored_mix (struct alc *a, clk_ms now, const struct alc_calc *before,
                      struct alc_calc *c)
{
  double requests[ALC_MAX_MODELS] = { 0 };

  if (a->first_request_at)
    return false;
  for (size_t k = 0; k < c->in->nmodels; k++)
    {
      if (c->in->models[k].stored < 0)
        return false;
      requests[k] = c->in->models[k].stored;
    }
  alc_set_requests (c, requests);
  if (!find_change (c, MAX_RATIO))
    return false;
  adopt_plan (a, now, before, c, ALC_STORED_MIX);
  return true;
}

/** Whether the declared shares serve the mean demand as well as the plan, or
    well enough. */
static bool
return_to_shares (struct alc *a, clk_ms now, const struct alc_calc *before,
                  struct alc_calc *c)
{
  double requests[ALC_MAX_MODELS] = { 0 }, peak, peak_by_shares;
  unsigned sizes[ALC_MAX_MODELS] = { 0 };
  bool differs = false;

  get_sizes (c->in, sizes);
  for (size_t k = 0; k < c->in->nmodels; k++)
    {
      requests[k] = a->demands[k].smooth;
      differs |= c->total[k] != c->shares[k];
    }
  alc_set_requests (c, requests);
  alc_most_utilized (c, &peak);
  for (size_t i = 0; i < c->in->ndomains; i++)
    alc_fit (c->in->domains[i].by_shares, sizes, c->in->nmodels, c->vms[i],
             c->plan[i]);
  alc_count_plan (c);
  alc_most_utilized (c, &peak_by_shares);
  if (held_for (
          now,
          differs && peak > 0
              && (peak_by_shares <= peak || peak_by_shares <= RETURN_PEAK),
          &a->fits_since)
      < FITS_MS)
    return false;
  for (size_t i = 0; i < c->in->ndomains; i++)
    memcpy (find_domain (a, c->in->domains[i].id)->target,
            c->in->domains[i].by_shares, sizeof c->in->domains[i].by_shares);
  record_change (a, before, c, ALC_DEMAND_FITS);
  set_changed (a, now);
  return true;
}

typedef bool (*decision) (struct alc *a, clk_ms now,
                          const struct alc_calc *before, struct alc_calc *c);

static bool
decide (struct alc *a, clk_ms now, const struct alc_input *in, decision fn)
{
  struct alc_calc before, c;
  bool changed;

  calc_init (a, in, &before);
  calc_init (a, in, &c);
  changed = fn (a, now, &before, &c);
  calc_free (&before);
  calc_free (&c);
  return changed;
}

bool
alc_is_due (const struct alc *a, clk_ms now)
{
  return a->updated_at == 0 || now - a->updated_at >= ALC_INTERVAL_MS;
}

bool
alc_update (struct alc *a, clk_ms now, const struct alc_input *in)
{
  bool settled;

  if (!alc_is_due (a, now))
    return false;
  alc_advance_buckets (a, now);
  alc_smooth_means (a, now, in->nmodels);
  update_domains (a, in);
  a->updated_at = now;
  settled = a->changed_at == 0 || now - a->changed_at >= SETTLE_MS;
  return settled
         && (decide (a, now, in, change_by_stored_mix)
             || decide (a, now, in, change_by_overload)
             || decide (a, now, in, change_by_demand)
             || decide (a, now, in, return_to_shares));
}

const unsigned *
alc_target (const struct alc *a, unsigned domain)
{
  const struct alc_domain_plan *d = find_domain (a, domain);

  return d && d->touched ? d->target : NULL;
}

const struct alc_change *
alc_last_change (const struct alc *a)
{
  return &a->change;
}
