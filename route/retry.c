#include "route/core.h"

#define CREDIT_PER_SUCCESS 0.1
/* Lets a target with few requests retry. */
#define CREDIT_PER_MS 0.0005
#define BUDGET_START 5.0
#define BUDGET_MAX 20.0
#define BACKOFF_MIN_MS 25
#define BACKOFF_MAX_MS 1000

/* Retry budget. When all servers of a target fail, retrying every request
   would multiply the load and prevent recovery. With one retry per ten
   successes the extra load stays near a tenth. */
bool
rt_retry_spend (struct rt *r, struct rt_target *t)
{
  if (t->retry_budget_at == 0)
    t->retry_budget = BUDGET_START;
  else
    t->retry_budget += CREDIT_PER_MS * (double)(r->now - t->retry_budget_at);
  t->retry_budget_at = r->now;
  if (t->retry_budget > BUDGET_MAX)
    t->retry_budget = BUDGET_MAX;
  if (t->retry_budget < 1)
    return false;
  t->retry_budget -= 1;
  return true;
}

void
rt_retry_credit (struct rt_target *t)
{
  if (t->retry_budget < BUDGET_MAX)
    t->retry_budget += CREDIT_PER_SUCCESS;
}

clk_ms
rt_retry_backoff (struct rt *r, unsigned attempt)
{
  clk_ms span = BACKOFF_MIN_MS;
  for (unsigned i = 1; i < attempt && span < BACKOFF_MAX_MS; i++)
    span *= 2;
  return 1 + (clk_ms)rng_below (&r->rng, (uint64_t)span);
}
