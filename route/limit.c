#include <math.h>
#include <stdlib.h>

#include "route/core.h"
#include "route/share.h"

#define BURST_S 1.0 /* bucket size, in seconds at the rate */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 10000
#define RETRY_CONCURRENCY_MS 500
#define ROUNDING_TOLERANCE 0.01 /* tolerance when a share is rounded down */

struct rt_account *
rt_account (struct rt *r, struct str name)
{
  uint64_t hash = str_hash (name, 0);
  for (size_t i = 0; i < r->naccounts; i++)
    if (r->accounts[i]->hash == hash && str_is (name, r->accounts[i]->name))
      return r->accounts[i];
  struct rt_account *a = xcalloc (1, sizeof *a);
  a->name = str_dup (name);
  a->hash = hash;
  a->demand_at = r->now;
  r->accounts
      = xrealloc (r->accounts, (r->naccounts + 1) * sizeof *r->accounts);
  r->accounts[r->naccounts++] = a;
  return a;
}

/** limit / rt.nodes before the first grant; the granted share while it is
    valid, then a value that decays to limit / rt.nodes. */
static double
current_share (const struct rt *r, const struct rt_account *a, double limit,
               double share)
{
  double even = limit / (double)(r->nodes ? r->nodes : 1);
  if (!a->has_share)
    return even;
  if (r->now <= a->share_until)
    return share;
  /* No grant arrives from the account's home. Keeping a small share would
     starve this node for as long as the partition lasts; using the whole limit
     would multiply the limit by the number of partitions. */
  return shr_decayed_share (share, even, r->now - a->share_until);
}

double
rt_limit_rate (const struct rt *r, const struct rt_account *a)
{
  return current_share (r, a, a->rate_limit, a->share_rate);
}

double
rt_limit_conc (const struct rt *r, const struct rt_account *a)
{
  return current_share (r, a, a->conc_limit, a->share_conc);
}

void
rt_limit_config (struct rt *r)
{
  for (size_t i = 0; i < r->cfg->naccounts; i++)
    {
      const struct cfg_account *c = &r->cfg->accounts[i];
      struct rt_account *a = rt_account (r, c->name);
      bool fresh = a->rate_limit == 0;
      a->rate_limit = c->tokens_per_s;
      a->conc_limit = c->concurrency;
      if (fresh)
        {
          a->bucket_level = BURST_S * rt_limit_rate (r, a);
          a->bucket_at = r->now;
        }
    }
}

void
rt_limit_share (struct rt *r, const struct rt_event *ev)
{
  struct rt_account *a = rt_account (r, ev->name);
  a->has_share = true;
  a->share_rate = ev->tokens_per_s;
  a->share_conc = ev->concurrency;
  a->share_until = r->now + ev->valid_ms;
}

static void
refill (struct rt *r, struct rt_account *a)
{
  double rate = rt_limit_rate (r, a);
  a->bucket_level += rate * (double)(r->now - a->bucket_at) / 1000;
  a->bucket_at = r->now;
  if (a->bucket_level > BURST_S * rate)
    a->bucket_level = BURST_S * rate;
}

static clk_ms
clamp_retry (double ms)
{
  if (ms < RETRY_MIN_MS)
    return RETRY_MIN_MS;
  return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (clk_ms)ms;
}

enum rt_code
rt_limit_admit (struct rt *r, struct rt_account *a, double cost,
                clk_ms *retry_ms)
{
  a->requested_tokens += cost;
  if (a->open_requests > a->peak_open)
    a->peak_open = a->open_requests;
  /* A share below one still admits one request at a time; otherwise a limit
     below the number of nodes would reject all requests of the account. */
  if (a->conc_limit > 0
      && (double)a->open_requests
             > fmax (1, floor (rt_limit_conc (r, a) + ROUNDING_TOLERANCE)))
    {
      *retry_ms = RETRY_CONCURRENCY_MS;
      return RT_CODE_CONCURRENCY;
    }
  if (a->rate_limit <= 0)
    return RT_CODE_NONE;
  refill (r, a);
  double rate = rt_limit_rate (r, a);
  /* A request larger than the bucket is admitted when the bucket is full
     and leaves a negative level, which blocks the account until it is
     refilled. Otherwise it could never be admitted; the average rate still
     holds. */
  double need = fmin (cost, BURST_S * rate);
  if (a->bucket_level < need || rate <= 0)
    {
      *retry_ms = clamp_retry (
          rate > 0 ? (need - a->bucket_level) / rate * 1000 : RETRY_MAX_MS);
      return RT_CODE_RATE;
    }
  a->bucket_level -= cost;
  return RT_CODE_NONE;
}

void
rt_limit_correct (struct rt_account *a, double cost, double actual)
{
  if (a->rate_limit > 0)
    a->bucket_level += cost - actual;
}
