#include "builtin/world-run.h"

#include <stdlib.h>

#include "builtin/stats.h"

#define WARM_UP_MS 10000 /* caches are cold before; not counted */
#define LOST_MS 60000    /* counted for a request that got no token */

static double
small_quantile (const struct world *w, double q)
{
  double *ms = xmalloc ((w->n + 1) * sizeof *ms);
  size_t n = 0;
  for (size_t i = 0; i < w->n; i++)
    if (w->requests[i].account == 0 && w->requests[i].at >= WARM_UP_MS)
      ms[n++] = w->trips[i].first > 0 ? w->trips[i].first - w->requests[i].at
                                      : LOST_MS;
  sta_sort (ms, n);
  double value = sta_quantile (ms, n, q);
  free (ms);
  return value;
}

static double
hit_share (const struct world *w)
{
  size_t started = 0, hit = 0;
  for (size_t i = 0; i < w->njobs; i++)
    if (w->jobs[i]->started && w->jobs[i]->request->at >= WARM_UP_MS)
      {
        started++;
        hit += w->jobs[i]->hit;
      }
  return started ? (double)hit / (double)started : 0;
}

struct world_result
wr_evaluate (const struct world *w)
{
  struct world_result r = { 0 };
  double *ms = xmalloc ((w->n + 1) * sizeof *ms);
  size_t due = 0, met = 0, refused = 0, failed = 0;
  double way = 2 * w->p->workload->caller_ms;
  for (size_t i = 0; i < w->n; i++)
    {
      const struct wl_request *q = &w->requests[i];
      const struct trip *t = &w->trips[i];
      if (q->at < WARM_UP_MS)
        continue;
      due += q->deadline > 0;
      met += q->deadline > 0 && t->ended > 0 && t->ended <= q->deadline;
      refused += t->refused;
      failed += t->failed;
      ms[r.n++] = t->first > 0 ? t->first - q->at + way : LOST_MS;
    }
  sta_sort (ms, r.n);
  r.p50 = sta_quantile (ms, r.n, 0.50);
  r.p95 = sta_quantile (ms, r.n, 0.95);
  r.p99 = sta_quantile (ms, r.n, 0.99);
  r.small_p99 = small_quantile (w, 0.99) + way;
  r.met = due ? (double)met / (double)due : 1;
  r.refused = (double)refused / (double)r.n;
  r.failed = (double)failed / (double)r.n;
  r.hit = hit_share (w);
  free (ms);
  return r;
}
