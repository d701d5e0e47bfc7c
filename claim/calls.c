/* Availability of the store, and the lease of batch keys. */
#include "claim/core.h"

/** Delay between calls while the store is down; doubles up to the maximum. */
#define PROBE_MIN_MS ((clk_ms)125)
#define PROBE_MAX_MS CLK_SECOND

unsigned
core_open_calls (const struct clm *c, unsigned *normal)
{
  unsigned n = c->lease.token != 0;

  *normal = n && !c->lease.is_probe;
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    if (c->shards[i].op != OP_NONE)
      {
        n++;
        *normal += !c->shards[i].is_probe;
      }
  return n;
}

bool
core_store_down (const struct clm *c)
{
  unsigned normal;

  core_open_calls (c, &normal);
  return c->nfailures >= CORE_DOWN_FAILURES && normal == 0;
}

bool
core_may_call (const struct clm *c, clk_ms now)
{
  unsigned normal;

  if (c->nfailures == 0)
    return true;
  return now >= c->probe_at && core_open_calls (c, &normal) == 0;
}

void
core_call_succeeded (struct clm *c)
{
  c->nfailures = 0;
}

void
core_call_failed (struct clm *c, clk_ms now)
{
  clk_ms wait = 0;

  c->nfailures++;
  if (c->nfailures >= CORE_DOWN_FAILURES)
    {
      unsigned doublings = c->nfailures - CORE_DOWN_FAILURES;
      wait = doublings > 2 ? PROBE_MAX_MS : PROBE_MIN_MS << doublings;
      wait += (clk_ms)rng_below (&c->rng, (uint64_t)wait / 4 + 1);
    }
  c->probe_at = now + wait;
}

clk_ms
core_claim_expiry (const struct clm *c, clk_ms now)
{
  return now + c->opt.window + CLM_SLACK_MS;
}

bool
core_lease_usable (const struct clm *c, clk_ms now)
{
  return c->lease.id && now < c->lease.usable_until;
}

bool
core_ensure_lease (struct clm *c, clk_ms now)
{
  struct clm_action *a;

  if (core_lease_usable (c, now))
    return true;
  if (c->lease.token || now < c->lease.next_request)
    return false;
  a = core_push_action (c, CLM_ACT_LEASE_GRANT);
  a->ttl = 2 * c->opt.window;
  c->lease.is_probe = core_store_down (c);
  a->token = c->lease.token = ++c->last_token;
  c->lease.id = 0;
  c->lease.sent_at = now;
  return false;
}

/** A batch must outlive window + CLM_SLACK_MS, which is at most one and a half
    windows (see MIN_WINDOW_MS).  So a lease, which lasts two windows, is used
    only for the first half of a window. */
void
core_on_lease_response (struct clm *c, clk_ms now,
                        const struct store_result *r)
{
  c->lease.token = 0;
  c->lease.next_request = now + c->opt.gap_ms;
  if (r->status == STORE_OVER_BUDGET)
    return;
  if (r->status != STORE_OK || r->ttl <= c->opt.window * 3 / 2)
    {
      core_call_failed (c, now);
      return;
    }
  core_call_succeeded (c);
  c->lease.id = r->lease;
  c->lease.usable_until = c->lease.sent_at + r->ttl - c->opt.window * 3 / 2;
}
