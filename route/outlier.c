#include <stdlib.h>

#include "route/core.h"

#define MAX_CONSECUTIVE_FAILURES 3 /* before ejection */
#define SLOW_FACTOR 3.0 /* multiple of the peers' median before ejection */
/* Minimum distance from the median, against noise. */
#define SLOW_MIN_MS 100
#define SLOW_SAMPLES 8
#define AVERAGE_WEIGHT 0.1 /* weight of the newest sample */
#define MEDIAN_REFRESH_MS 250
#define EJECTION_MIN_MS 5000
#define EJECTION_MAX_MS 60000
/** When a probe is overdue for this long, a request that is not idempotent is
    used.  If there were idempotent requests, one would have been sent. */
#define PROBE_OVERDUE_MS EJECTION_MAX_MS

static size_t
count_ejected (const struct rt_target *t, size_t *listed)
{
  size_t ejected = 0;
  *listed = 0;
  for (size_t i = 0; i < t->nservers; i++)
    if (t->servers[i]->listed)
      {
        (*listed)++;
        ejected += t->servers[i]->ejected_until != 0;
      }
  return ejected;
}

/** At most a third of the servers is ejected. When all servers slow down at
    once, as under overload, ejecting more would move their load to the
    remaining ones and overload these too. */
static void
eject (struct rt *r, struct rt_target *t, struct rt_server *s)
{
  size_t listed, ejected = count_ejected (t, &listed);
  if (!s->ejected_until && 3 * (ejected + 1) > listed)
    return;
  clk_ms span = EJECTION_MIN_MS;
  for (unsigned i = 0; i < s->ejections && span < EJECTION_MAX_MS; i++)
    span *= 2;
  s->ejections++;
  s->ejected_until
      = r->now + (span < EJECTION_MAX_MS ? span : EJECTION_MAX_MS);
  s->probing = false;
  t->view.valid = false;
}

static int
compare_ms (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

/** Median over the servers' times to the first byte, cached for
    MEDIAN_REFRESH_MS; 0: too few samples. */
static double
median_first_byte (const struct rt *r, struct rt_target *t)
{
  if (t->median_at != 0 && r->now - t->median_at < MEDIAN_REFRESH_MS)
    return t->median_ms;
  t->median_at = r->now;
  double *ms = xmalloc ((t->nservers + 1) * sizeof *ms);
  size_t n = 0;
  for (size_t i = 0; i < t->nservers; i++)
    if (t->servers[i]->listed
        && t->servers[i]->first_byte_samples >= SLOW_SAMPLES)
      ms[n++] = t->servers[i]->first_byte_ms;
  qsort (ms, n, sizeof *ms, compare_ms);
  t->median_ms = n >= 3 ? ms[n / 2] : 0;
  free (ms);
  return t->median_ms;
}

static bool
is_slow (const struct rt *r, struct rt_target *t, double ms)
{
  double median = median_first_byte (r, t);
  return median > 0 && ms > SLOW_FACTOR * median && ms > median + SLOW_MIN_MS;
}

bool
rt_outlier_probe_due (const struct rt *r, const struct rt_server *s)
{
  return s->ejected_until && r->now >= s->ejected_until && !s->probing;
}

bool
rt_outlier_may_probe (const struct rt *r, const struct rt_server *s,
                      const struct rt_req *q)
{
  return rt_outlier_probe_due (r, s)
         && (q->idempotent || r->now - s->ejected_until >= PROBE_OVERDUE_MS);
}

void
rt_outlier_first_byte (struct rt *r, struct rt_target *t, struct rt_server *s,
                       clk_ms ms)
{
  if (s->ejected_until)
    {
      /* Responses to requests sent before the ejection don't end it;
         only the probe's response does. */
      if (!s->probing)
        return;
      s->probing = false;
      if (is_slow (r, t, (double)ms))
        {
          eject (r, t, s);
          return;
        }
      s->ejected_until = 0;
      t->view.valid = false;
      s->first_byte_samples = 0;
    }
  s->first_byte_ms = s->first_byte_samples == 0
                         ? (double)ms
                         : (1 - AVERAGE_WEIGHT) * s->first_byte_ms
                               + AVERAGE_WEIGHT * (double)ms;
  s->first_byte_samples++;
  if (s->first_byte_samples >= SLOW_SAMPLES
      && is_slow (r, t, s->first_byte_ms))
    eject (r, t, s);
}

void
rt_outlier_success (struct rt *r, struct rt_target *t, struct rt_server *s)
{
  s->successes++;
  s->consecutive_failures = 0;
  if (!s->ejected_until)
    s->ejections = 0;
}

void
rt_outlier_failure (struct rt *r, struct rt_target *t, struct rt_server *s)
{
  s->failures++;
  s->consecutive_failures++;
  if (s->probing
      || (s->consecutive_failures >= MAX_CONSECUTIVE_FAILURES
          && !s->ejected_until))
    eject (r, t, s);
}
