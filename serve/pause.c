#include "serve/pause.h"

/** After the first failure: most are a single lost call. */
#define PAUSE_FIRST_MS ((clk_ms)200)
/**
 * Longest pause.  It delays what a node learns once the store is back, and a
 * configuration has to be in force two seconds after it was accepted.
 */
#define PAUSE_MOST_MS ((clk_ms)1000)
/** Part of the pause that is drawn, so that nodes don't call together. */
#define PAUSE_SPREAD 0.25

bool
pau_may_call (const struct pau *p, clk_ms now)
{
  return p->failures == 0 || (!p->asking && now >= p->next);
}

void
pau_called (struct pau *p)
{
  p->asking = true;
}

static clk_ms
pause_ms (unsigned failures, struct rng *r)
{
  clk_ms ms = PAUSE_FIRST_MS;

  for (unsigned i = 1; i < failures && ms < PAUSE_MOST_MS; i++)
    ms *= 2;
  if (ms > PAUSE_MOST_MS)
    ms = PAUSE_MOST_MS;
  return (clk_ms)((double)ms * (1 - PAUSE_SPREAD * rng_unit (r)));
}

void
pau_ended (struct pau *p, clk_ms now, enum store_status status, struct rng *r)
{
  p->asking = false;
  if (status == STORE_OK || status == STORE_CONFLICT || status == STORE_GONE)
    p->failures = 0;
  /* Calls that were under way together fail together; that is one failure. */
  else if (status == STORE_UNAVAILABLE && (!p->failures || now >= p->next))
    {
      p->failures++;
      p->next = now + pause_ms (p->failures, r);
    }
}
