#include "serve/allocation.h"

#include <stdlib.h>
#include <string.h>

#include "base/str.h"

#define NBUCKETS ((size_t)(ALC_PEAK_MS / ALC_INTERVAL_MS))
#define NWINDOW ((size_t)(ALC_WINDOW_MS / ALC_INTERVAL_MS))

/** Time constant of the fast average. */
#define FAST_MS ((clk_ms)1000)
/**
 * Time constant that smooths the mean.  A window of 12 s leaves 0.08 of the
 * height of a wave of 11 or 13 s; with the smoothing, 0.03 remain.
 */
#define SMOOTHING_MS ((clk_ms)5000)

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

/** The model with the more urgent requests goes first if utilizations differ
    by less than this factor. */
#define URGENCY_FACTOR 1.05
/** Factor on the utilization of a model that is in only one of two domains:
    the loss of that domain would leave it without a replica. */
#define ONE_DOMAIN_FACTOR 1.5
/** Utilization of a model that has requests and no replica. */
#define UTILIZATION_NO_REPLICA 1e6

/** Fewer requests than this in total are no reason for a change. */
#define MIN_REQUESTS 1.0
/**
 * Highest utilization from which the plan by demand is used, and below which
 * the declared shares are in effect again.  Measured with 16 and with 18
 * replicas, at utilizations of 0.45 and 0.39, callers got equally good
 * service, so that below there is nothing to gain.
 */
#define MIN_PEAK 0.45
#define RETURN_PEAK 0.36
/** Moves in one change, at most. */
#define MAX_MOVES 64
/** Of the moves found, only those are made that come this close to the lowest
    peak. */
#define PEAK_TOLERANCE 1.05
/** A domain with this part of its VMs counts as complete, because crashed VMs
    are back within seconds. */
#define COMPLETE_PART 0.75

struct bucket
{
  double sum, max;
  unsigned n;
};

struct demand
{
  struct bucket ring[NBUCKETS]; /**< index: interval number modulo the size */
  double fast, smooth;
  clk_ms sampled_at; /**< 0: never */
};

struct domain
{
  unsigned id;
  unsigned target[ALC_MAX_MODELS];
  bool touched; /**< the plan of the domain was changed at some time */
};

struct alc
{
  struct demand demands[ALC_MAX_MODELS];
  clk_ms interval;         /**< number of the current bucket */
  clk_ms first_request_at; /**< 0: there was none */
  struct domain *domains;
  size_t ndomains;
  bool started; /**< the domains' state at the start was taken over */
  clk_ms updated_at, changed_at;
  clk_ms wanted_since, overloaded_since, fits_since; /**< 0: not the case */
  struct alc_change change;
};

/** The state that a calculation works on. */
struct calc
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

struct move
{
  size_t domain, donor, receiver;
  unsigned closed, formed;
  unsigned shortage; /**< VMs that have to load the weights */
  double peak;       /**< highest utilization after it */
};

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

/* --- demand ------------------------------------------------------------ */

/** Empties the buckets of the time that has passed without a sample. */
static void
advance_buckets (struct alc *a, clk_ms now)
{
  clk_ms interval = now / ALC_INTERVAL_MS;
  clk_ms first = a->interval + 1;

  if (interval - first >= (clk_ms)NBUCKETS)
    first = interval - (clk_ms)NBUCKETS + 1;
  for (clk_ms i = first; i <= interval; i++)
    for (size_t k = 0; k < ALC_MAX_MODELS; k++)
      a->demands[k].ring[(size_t)i % NBUCKETS] = (struct bucket){ 0 };
  if (interval > a->interval)
    a->interval = interval;
}

void
alc_demand (struct alc *a, clk_ms now, size_t model, double requests)
{
  struct demand *d;
  struct bucket *b;
  double weight;

  if (model >= ALC_MAX_MODELS)
    return;
  advance_buckets (a, now);
  if (requests > 0 && !a->first_request_at)
    a->first_request_at = now;
  d = &a->demands[model];
  weight = (double)(now - d->sampled_at) / (double)FAST_MS;
  if (d->sampled_at == 0 || weight > 1)
    weight = 1;
  d->fast += weight * (requests - d->fast);
  d->sampled_at = now;
  b = &d->ring[(size_t)a->interval % NBUCKETS];
  b->sum += requests;
  b->n++;
  if (d->fast > b->max)
    b->max = d->fast;
}

static double
mean_of (const struct alc *a, size_t k)
{
  double sum = 0;
  unsigned n = 0;

  for (size_t i = 0; i < NWINDOW && (clk_ms)i <= a->interval; i++)
    {
      const struct bucket *b
          = &a->demands[k].ring[(size_t)(a->interval - (clk_ms)i) % NBUCKETS];
      sum += b->sum;
      n += b->n;
    }
  return n ? sum / n : 0;
}

static double
peak_of (const struct alc *a, size_t k)
{
  double max = 0;

  for (size_t i = 0; i < NBUCKETS; i++)
    if (a->demands[k].ring[i].max > max)
      max = a->demands[k].ring[i].max;
  return max;
}

static void
smooth_means (struct alc *a, clk_ms now, size_t n)
{
  double weight = (double)(now - a->updated_at) / (double)SMOOTHING_MS;

  /* Until the window is full, its mean is as good as the smoothed one. */
  if (a->updated_at == 0 || weight > 1 || !a->first_request_at
      || now - a->first_request_at <= ALC_WINDOW_MS)
    weight = 1;
  for (size_t k = 0; k < n; k++)
    a->demands[k].smooth += weight * (mean_of (a, k) - a->demands[k].smooth);
}

/* --- utilization ------------------------------------------------------- */

double
alc_utilization (const struct alc_model *m, double requests, unsigned replicas)
{
  double broken = replicas / 2.0 < ALC_BROKEN_REPLICAS ? replicas / 2.0
                                                       : ALC_BROKEN_REPLICAS;

  if (requests <= 0)
    return 0;
  if (replicas == 0)
    return UTILIZATION_NO_REPLICA * requests;
  return requests / ((replicas - broken) * (m->slots > 0 ? m->slots : 1));
}

static double
weighted_utilization (const struct calc *c, size_t k, unsigned replicas,
                      unsigned domains)
{
  double x = c->weight[k]
             * alc_utilization (&c->in->models[k], c->requests[k], replicas);

  return domains == 1 && c->usable_domains > 1 ? x * ONE_DOMAIN_FACTOR : x;
}

static size_t
most_utilized (const struct calc *c, double *peak)
{
  size_t best = 0;

  *peak = -1;
  for (size_t k = 0; k < c->in->nmodels; k++)
    {
      double x = weighted_utilization (c, k, c->total[k], c->spread[k]);
      if (x <= *peak)
        continue;
      best = k;
      *peak = x;
    }
  return best;
}

static void
set_weights (struct calc *c)
{
  double least_urgent = 0;

  for (size_t k = 0; k < c->in->nmodels; k++)
    if (c->requests[k] > 0 && c->in->models[k].urgency > least_urgent)
      least_urgent = c->in->models[k].urgency;
  for (size_t k = 0; k < c->in->nmodels; k++)
    c->weight[k] = c->in->models[k].urgency >= 0
                           && c->in->models[k].urgency + 0.5 <= least_urgent
                       ? URGENCY_FACTOR
                       : 1;
}

/* --- search ------------------------------------------------------------ */

/** The domain's counts after the move and the peak over all models. */
static double
peak_after (const struct calc *c, const struct move *m)
{
  double peak = 0;

  for (size_t k = 0; k < c->in->nmodels; k++)
    {
      unsigned n = c->total[k], domains = c->spread[k];
      double x;
      if (k == m->donor)
        {
          n -= m->closed;
          domains -= c->plan[m->domain][k] == m->closed;
        }
      else if (k == m->receiver)
        {
          n += m->formed;
          domains += c->plan[m->domain][k] == 0;
        }
      x = weighted_utilization (c, k, n, domains);
      if (x > peak)
        peak = x;
    }
  return peak;
}

/**
 * Whether the move takes the donor below the number of its declared share
 * although its utilization would then be above that of the receiver.  Measured
 * with replicas of 12 and of 6 VMs, from 4 and 16 to 3 and 18 replicas: the
 * large model's callers lost 0.19 of their credit, and those of the small
 * model gained 0.01.
 */
static bool
takes_too_much (const struct calc *c, const struct move *m)
{
  unsigned left = c->total[m->donor] - m->closed;

  return left < c->shares[m->donor]
         && c->weight[m->donor]
                    * alc_utilization (&c->in->models[m->donor],
                                       c->requests[m->donor], left)
                > c->weight[m->receiver]
                      * alc_utilization (&c->in->models[m->receiver],
                                         c->requests[m->receiver],
                                         c->total[m->receiver] + m->formed);
}

/** Whether the donor would be left with replicas in one domain only, of three
    or more. */
static bool
leaves_one_domain (const struct calc *c, const struct move *m)
{
  return c->usable_domains > 2 && c->spread[m->donor] <= 2
         && c->plan[m->domain][m->donor] == m->closed;
}

static unsigned
free_vms (const struct calc *c, size_t domain)
{
  unsigned used = 0;

  for (size_t k = 0; k < c->in->nmodels; k++)
    used += c->plan[domain][k] * c->in->models[k].size;
  return used < c->vms[domain] ? c->vms[domain] - used : 0;
}

/** Fills in the smallest move between the models in the domain.
    @return false if there is none */
static bool
make_move (const struct calc *c, struct move *m)
{
  unsigned donor_size = c->in->models[m->donor].size;
  unsigned size = c->in->models[m->receiver].size;
  unsigned room = free_vms (c, m->domain), needed;

  /* A domain that lacks VMs keeps its plan until they are back. */
  if (size == 0 || donor_size == 0
      || c->vms[m->domain] < c->in->domains[m->domain].vms)
    return false;
  m->closed = 0;
  while (room < size && m->closed < c->plan[m->domain][m->donor])
    {
      m->closed++;
      room += donor_size;
    }
  if (m->closed == 0 || room < size || m->closed >= c->total[m->donor])
    return false;
  m->formed = room / size;
  needed = m->formed * size;
  m->shortage = needed > c->warm[m->domain][m->receiver]
                    ? needed - c->warm[m->domain][m->receiver]
                    : 0;
  return true;
}

/** Whether @p a is better than @p b: a lower peak, then fewer loads, then
    fewer VMs that change. */
static bool
is_better (const struct calc *c, const struct move *a, const struct move *b)
{
  const struct alc_model *models = c->in->models;

  if (a->peak < b->peak * (1 - 1e-6) || b->peak < a->peak * (1 - 1e-6))
    return a->peak < b->peak;
  if (a->shortage != b->shortage)
    return a->shortage < b->shortage;
  return a->closed * models[a->donor].size < b->closed * models[b->donor].size;
}

/** Whether the donor would be as utilized as the peak. */
static bool
moves_the_peak (const struct calc *c, const struct move *m, double peak)
{
  return c->weight[m->donor]
             * alc_utilization (&c->in->models[m->donor],
                                c->requests[m->donor],
                                c->total[m->donor] - m->closed)
         >= peak * (1 - 1e-3);
}

/**
 * Finds the move to the most utilized model that leaves the lowest peak.  If
 * several models have the same utilization, the first of these moves leaves
 * the peak as it is.
 */
static bool
find_move (const struct calc *c, struct move *best)
{
  double peak;
  size_t receiver = most_utilized (c, &peak);
  bool found = false;

  for (size_t i = 0; i < c->in->ndomains; i++)
    for (size_t donor = 0; donor < c->in->nmodels; donor++)
      {
        struct move m = { .domain = i, .donor = donor, .receiver = receiver };
        if (donor == receiver || !make_move (c, &m)
            || leaves_one_domain (c, &m) || takes_too_much (c, &m)
            || moves_the_peak (c, &m, peak))
          continue;
        m.peak = peak_after (c, &m);
        if (m.peak > peak * (1 + 1e-6) || (found && !is_better (c, &m, best)))
          continue;
        *best = m;
        found = true;
      }
  return found;
}

/** Counts the replicas and domains of each model in the plan. */
static void
count_plan (struct calc *c)
{
  memset (c->total, 0, sizeof c->total);
  memset (c->spread, 0, sizeof c->spread);
  for (size_t i = 0; i < c->in->ndomains; i++)
    for (size_t k = 0; k < c->in->nmodels; k++)
      {
        c->total[k] += c->plan[i][k];
        c->spread[k] += c->plan[i][k] > 0;
      }
}

static void
apply_move (struct calc *c, const struct move *m)
{
  unsigned size = c->in->models[m->receiver].size;
  unsigned *warm = &c->warm[m->domain][m->receiver];

  c->plan[m->domain][m->donor] -= m->closed;
  c->plan[m->domain][m->receiver] += m->formed;
  count_plan (c);
  *warm -= *warm < m->formed * size ? *warm : m->formed * size;
}

static void
undo_move (struct calc *c, const struct move *m)
{
  c->plan[m->domain][m->donor] += m->closed;
  c->plan[m->domain][m->receiver] -= m->formed;
  count_plan (c);
}

/**
 * Makes the moves that lower the peak.
 * @param ratio  receives the new peak divided by the current one
 * @return number of moves
 */
static size_t
search (struct calc *c, double *ratio)
{
  struct move moves[MAX_MOVES];
  size_t n = 0, kept;
  double before;

  most_utilized (c, &before);
  *ratio = 1;
  while (n < MAX_MOVES && find_move (c, &moves[n]))
    apply_move (c, &moves[n++]);
  if (n == 0)
    return 0;
  for (kept = n;
       kept > 1 && moves[kept - 2].peak <= moves[n - 1].peak * PEAK_TOLERANCE;
       kept--)
    undo_move (c, &moves[kept - 1]);
  for (size_t i = 0; i < kept; i++)
    c->needs_loads |= moves[i].shortage > 0;
  *ratio = before > 0 ? moves[kept - 1].peak / before : 1;
  return kept;
}

/* --- domains ----------------------------------------------------------- */

static struct domain *
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
  a->domains[a->ndomains++] = (struct domain){ .id = id };
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
           struct domain *out)
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
                   const struct alc_domain *d, struct domain *out)
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
calc_init (const struct alc *a, const struct alc_input *in, struct calc *c)
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
  count_plan (c);
}

static void
calc_free (struct calc *c)
{
  free (c->plan);
  free (c->warm);
  free (c->vms);
}

static void
set_requests (struct calc *c, const double *requests)
{
  memcpy (c->requests, requests, sizeof c->requests);
  set_weights (c);
}

static void
record_change (struct alc *a, const struct calc *before,
               const struct calc *after, enum alc_reason reason)
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
adopt_plan (struct alc *a, clk_ms now, const struct calc *before,
            const struct calc *c, enum alc_reason reason)
{
  for (size_t i = 0; i < c->in->ndomains; i++)
    {
      struct domain *d = find_domain (a, c->in->domains[i].id);
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
find_change (struct calc *c, double max_ratio)
{
  double peak, ratio;

  most_utilized (c, &peak);
  return peak >= MIN_PEAK && search (c, &ratio) > 0 && ratio < max_ratio;
}

static bool
change_by_demand (struct alc *a, clk_ms now, const struct calc *before,
                  struct calc *c)
{
  double requests[ALC_MAX_MODELS] = { 0 }, sum = 0;
  bool wanted;
  clk_ms wait;

  for (size_t k = 0; k < c->in->nmodels; k++)
    sum += requests[k] = a->demands[k].smooth;
  set_requests (c, requests);
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
change_by_overload (struct alc *a, clk_ms now, const struct calc *before,
                    struct calc *c)
{
  double requests[ALC_MAX_MODELS] = { 0 }, peak, ratio;
  size_t busiest = 0;
  bool wanted;

  for (size_t k = 0; k < c->in->nmodels; k++)
    requests[k] = a->demands[k].fast;
  set_requests (c, requests);
  busiest = most_utilized (c, &peak);
  wanted = peak >= OVERLOAD * c->weight[busiest];
  if (wanted)
    {
      for (size_t k = 0; k < c->in->nmodels; k++)
        if (k != busiest)
          requests[k] = peak_of (a, k);
      set_requests (c, requests);
      wanted = search (c, &ratio) > 0 && ratio < MAX_RATIO_OVERLOAD;
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
change_by_stored_mix (struct alc *a, clk_ms now, const struct calc *before,
                      struct calc *c)
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
  set_requests (c, requests);
  if (!find_change (c, MAX_RATIO))
    return false;
  adopt_plan (a, now, before, c, ALC_STORED_MIX);
  return true;
}

/** Whether the declared shares serve the mean demand as well as the plan, or
    well enough. */
static bool
return_to_shares (struct alc *a, clk_ms now, const struct calc *before,
                  struct calc *c)
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
  set_requests (c, requests);
  most_utilized (c, &peak);
  for (size_t i = 0; i < c->in->ndomains; i++)
    alc_fit (c->in->domains[i].by_shares, sizes, c->in->nmodels, c->vms[i],
             c->plan[i]);
  count_plan (c);
  most_utilized (c, &peak_by_shares);
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

typedef bool (*decision) (struct alc *a, clk_ms now, const struct calc *before,
                          struct calc *c);

static bool
decide (struct alc *a, clk_ms now, const struct alc_input *in, decision fn)
{
  struct calc before, c;
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
  advance_buckets (a, now);
  smooth_means (a, now, in->nmodels);
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
  const struct domain *d = find_domain (a, domain);

  return d && d->touched ? d->target : NULL;
}

const struct alc_change *
alc_last_change (const struct alc *a)
{
  return &a->change;
}
