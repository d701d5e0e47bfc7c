#include "serve/allocation-int.h"

#define NWINDOW ((size_t)(ALC_WINDOW_MS / ALC_INTERVAL_MS))

/** Time constant of the fast average. */
#define FAST_MS ((clk_ms)1000)
/**
 * Time constant that smooths the mean.  A window of 12 s leaves 0.08 of the
 * height of a wave of 11 or 13 s; with the smoothing, 0.03 remain.
 */
#define SMOOTHING_MS ((clk_ms)5000)

void
alc_advance_buckets (struct alc *a, clk_ms now)
{
  clk_ms interval = now / ALC_INTERVAL_MS;
  clk_ms first = a->interval + 1;

  if (interval - first >= (clk_ms)ALC_NBUCKETS)
    first = interval - (clk_ms)ALC_NBUCKETS + 1;
  for (clk_ms i = first; i <= interval; i++)
    for (size_t k = 0; k < ALC_MAX_MODELS; k++)
      a->demands[k].ring[(size_t)i % ALC_NBUCKETS] = (struct alc_bucket){ 0 };
  if (interval > a->interval)
    a->interval = interval;
}

void
alc_demand (struct alc *a, clk_ms now, size_t model, double requests)
{
  struct alc_demand_state *d;
  struct alc_bucket *b;
  double weight;

  if (model >= ALC_MAX_MODELS)
    return;
  alc_advance_buckets (a, now);
  if (requests > 0 && !a->first_request_at)
    a->first_request_at = now;
  d = &a->demands[model];
  weight = (double)(now - d->sampled_at) / (double)FAST_MS;
  if (d->sampled_at == 0 || weight > 1)
    weight = 1;
  d->fast += weight * (requests - d->fast);
  d->sampled_at = now;
  b = &d->ring[(size_t)a->interval % ALC_NBUCKETS];
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
      const struct alc_bucket *b
          = &a->demands[k]
                 .ring[(size_t)(a->interval - (clk_ms)i) % ALC_NBUCKETS];
      sum += b->sum;
      n += b->n;
    }
  return n ? sum / n : 0;
}

double
alc_peak (const struct alc *a, size_t model)
{
  double max = 0;

  for (size_t i = 0; i < ALC_NBUCKETS; i++)
    if (a->demands[model].ring[i].max > max)
      max = a->demands[model].ring[i].max;
  return max;
}

void
alc_smooth_means (struct alc *a, clk_ms now, size_t n)
{
  double weight = (double)(now - a->updated_at) / (double)SMOOTHING_MS;

  /* Until the window is full, its mean is as good as the smoothed one. */
  if (a->updated_at == 0 || weight > 1 || !a->first_request_at
      || now - a->first_request_at <= ALC_WINDOW_MS)
    weight = 1;
  for (size_t k = 0; k < n; k++)
    a->demands[k].smooth += weight * (mean_of (a, k) - a->demands[k].smooth);
}
