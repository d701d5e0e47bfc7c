#include "serve/dispatch-int.h"

#include <stdlib.h>
#include <string.h>

/** Part of the fleet's retry budget that is used. The nodes count separately
    and their windows slide, so some room must remain. */
#define USED_FRACTION 0.8

struct dsp_retry_budget *
dsp_get_budget (struct dsp *d, const char *service)
{
  for (size_t i = 0; i < d->nbudgets; i++)
    if (strcmp (d->budgets[i]->service, service) == 0)
      return d->budgets[i];
  d->budgets = xrealloc (d->budgets, (d->nbudgets + 1) * sizeof *d->budgets);
  struct dsp_retry_budget *b = xcalloc (1, sizeof *b);
  b->service = xstrdup (service);
  d->budgets[d->nbudgets++] = b;
  return b;
}

/** Clears the counters of the seconds that have passed. */
static void
advance (struct dsp *d, struct dsp_retry_budget *b)
{
  clk_ms second = d->now / CLK_SECOND;
  clk_ms elapsed = second - b->newest_second;

  if (elapsed > DSP_BUDGET_SECONDS)
    elapsed = DSP_BUDGET_SECONDS;
  for (clk_ms i = 0; i < elapsed; i++)
    {
      b->requests[(second - i) % DSP_BUDGET_SECONDS] = 0;
      b->retries[(second - i) % DSP_BUDGET_SECONDS] = 0;
    }
  if (elapsed > 0)
    b->newest_second = second;
}

static uint32_t
window_sum (const struct dsp *d, const struct dsp_retry_budget *b,
            const uint32_t *counts)
{
  clk_ms n = d->opt.retry_window_ms / CLK_SECOND + 1;
  uint32_t total = 0;

  for (clk_ms i = 0; i < n && i < DSP_BUDGET_SECONDS; i++)
    total += counts[(b->newest_second - i + DSP_BUDGET_SECONDS)
                    % DSP_BUDGET_SECONDS];
  return total;
}

void
dsp_budget_count_request (struct dsp *d, struct dsp_pool *p)
{
  advance (d, p->retry_budget);
  p->retry_budget
      ->requests[p->retry_budget->newest_second % DSP_BUDGET_SECONDS]++;
}

unsigned
dsp_budget_nodes (struct dsp *d)
{
  if (d->known_nodes >= d->budget_nodes
      || d->now - d->budget_nodes_at > d->opt.retry_window_ms)
    {
      d->budget_nodes = d->known_nodes;
      d->budget_nodes_at = d->now;
    }
  return d->budget_nodes;
}

/** Part of its share of the budget that this node may use.  An earlier process
    of the node may have used up to USED_FRACTION of the share within the
    window, of which this process knows nothing; that leaves the rest. */
static double
used_fraction (const struct dsp *d)
{
  return d->now < d->opt.earlier_retries_until ? 1 - USED_FRACTION
                                               : USED_FRACTION;
}

/** State of the budget, as reported when it denies a retry. */
static struct dsp_denied_retries
measure_budget (struct dsp *d, struct dsp_retry_budget *b)
{
  unsigned nodes = dsp_budget_nodes (d);
  struct dsp_denied_retries out = { .service = str_from (b->service) };

  advance (d, b);
  out.nodes = nodes;
  out.requests = window_sum (d, b, b->requests);
  out.retries = window_sum (d, b, b->retries);
  out.limit
      = used_fraction (d)
        * (d->opt.retry_ratio * out.requests + d->opt.retry_slack / nodes);
  return out;
}

static bool
is_exhausted (const struct dsp_denied_retries *b)
{
  return b->retries + 1 > b->limit;
}

bool
dsp_budget_has_retry (struct dsp *d, struct dsp_pool *p)
{
  struct dsp_denied_retries now = measure_budget (d, p->retry_budget);

  return !is_exhausted (&now);
}

/*
 * When a whole service fails, every request fails. Retrying them all would
 * multiply the load and keep the service from recovering. All nodes share one
 * limit: a fraction of the requests, plus a constant that is divided evenly
 * among the nodes.
 */
bool
dsp_budget_take_retry (struct dsp *d, struct dsp_pool *p)
{
  struct dsp_retry_budget *b = p->retry_budget;
  struct dsp_denied_retries now = measure_budget (d, b);

  if (is_exhausted (&now))
    {
      now.denied = b->denied.denied + 1;
      b->denied = now;
      d->stats.retries_denied++;
      return false;
    }
  b->retries[b->newest_second % DSP_BUDGET_SECONDS]++;
  return true;
}

bool
dsp_next_denied_retries (struct dsp *d, struct dsp_denied_retries *out)
{
  for (size_t i = 0; i < d->nbudgets; i++)
    if (d->budgets[i]->denied.denied)
      {
        *out = d->budgets[i]->denied;
        d->budgets[i]->denied.denied = 0;
        return true;
      }
  return false;
}
