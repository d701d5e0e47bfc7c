#include "serve/allocation-int.h"

#include <string.h>

/** The model with the more urgent requests goes first if utilizations differ
    by less than this factor. */
#define URGENCY_FACTOR 1.05
/** Factor on the utilization of a model that is in only one of two domains:
    the loss of that domain would leave it without a replica. */
#define ONE_DOMAIN_FACTOR 1.5
/** Utilization of a model that has requests and no replica. */
#define UTILIZATION_NO_REPLICA 1e6

/** Moves in one change, at most. */
#define MAX_MOVES 64
/** Of the moves found, only those are made that come this close to the lowest
    peak. */
#define PEAK_TOLERANCE 1.05

struct move
{
  size_t domain, donor, receiver;
  unsigned closed, formed;
  unsigned shortage; /**< VMs that have to load the weights */
  double peak;       /**< highest utilization after it */
};

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
weighted_utilization (const struct alc_calc *c, size_t k, unsigned replicas,
                      unsigned domains)
{
  double x = c->weight[k]
             * alc_utilization (&c->in->models[k], c->requests[k], replicas);

  return domains == 1 && c->usable_domains > 1 ? x * ONE_DOMAIN_FACTOR : x;
}

size_t
alc_most_utilized (const struct alc_calc *c, double *peak)
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
set_weights (struct alc_calc *c)
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

void
alc_set_requests (struct alc_calc *c, const double *requests)
{
  memcpy (c->requests, requests, sizeof c->requests);
  set_weights (c);
}

/* --- search ------------------------------------------------------------ */

/** The domain's counts after the move and the peak over all models. */
static double
peak_after (const struct alc_calc *c, const struct move *m)
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
 * although its utilization would then be above that of the receiver.  Its
 * callers would lose more than the others gain.
 */
static bool
takes_too_much (const struct alc_calc *c, const struct move *m)
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
leaves_one_domain (const struct alc_calc *c, const struct move *m)
{
  return c->usable_domains > 2 && c->spread[m->donor] <= 2
         && c->plan[m->domain][m->donor] == m->closed;
}

static unsigned
free_vms (const struct alc_calc *c, size_t domain)
{
  unsigned used = 0;

  for (size_t k = 0; k < c->in->nmodels; k++)
    used += c->plan[domain][k] * c->in->models[k].size;
  return used < c->vms[domain] ? c->vms[domain] - used : 0;
}

/** Fills in the smallest move between the models in the domain.
    @return false if there is none */
static bool
make_move (const struct alc_calc *c, struct move *m)
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
is_better (const struct alc_calc *c, const struct move *a,
           const struct move *b)
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
moves_the_peak (const struct alc_calc *c, const struct move *m, double peak)
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
find_move (const struct alc_calc *c, struct move *best)
{
  double peak;
  size_t receiver = alc_most_utilized (c, &peak);
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

void
alc_count_plan (struct alc_calc *c)
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
apply_move (struct alc_calc *c, const struct move *m)
{
  unsigned size = c->in->models[m->receiver].size;
  unsigned *warm = &c->warm[m->domain][m->receiver];

  c->plan[m->domain][m->donor] -= m->closed;
  c->plan[m->domain][m->receiver] += m->formed;
  alc_count_plan (c);
  *warm -= *warm < m->formed * size ? *warm : m->formed * size;
}

static void
undo_move (struct alc_calc *c, const struct move *m)
{
  c->plan[m->domain][m->donor] += m->closed;
  c->plan[m->domain][m->receiver] -= m->formed;
  alc_count_plan (c);
}

size_t
alc_search (struct alc_calc *c, double *ratio)
{
  struct move moves[MAX_MOVES];
  size_t n = 0, kept;
  double before;

  alc_most_utilized (c, &before);
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
