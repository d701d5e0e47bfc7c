#include "builtin/workload.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "base/str.h"

/* Brokers' searches at the start of the day: short answers, a few hundred
   shared listings as prefixes, a steep rise. */
const struct workload wl_nairobi = {
  .name = "nairobi",
  .zone_ms = 1.5,
  .caller_ms = 1,
  .seconds = 60,
  .peak = 0.90,
  .prompt = 300,
  .prefix = 600,
  .prefixes = 400,
  .output = 120,
  .deadline_s = 0,
};

/* Drafts before the funders' closing hour: long answers, each group's notes
   as its own prefix, deadlines. */
const struct workload wl_taipei = {
  .name = "taipei",
  .zone_ms = 0.5,
  .caller_ms = 3,
  .seconds = 90,
  .peak = 0.92,
  .prompt = 500,
  .prefix = 1500,
  .prefixes = 800,
  .output = 350,
  .deadline_s = 25,
};

/** Arrivals over the run as part of the peak: a rise, a plateau with two
    bursts, an easing. */
static double
shape (double x)
{
  if (x < 0.25)
    return 0.45 + 0.55 * x / 0.25;
  if ((x > 0.4 && x < 0.43) || (x > 0.6 && x < 0.63))
    return 1.2;
  return x < 0.8 ? 1 : 1 - (x - 0.8) * 2.5;
}

static double
draw_exponential (struct rng *r, double mean)
{
  return -mean * log (1 - rng_unit (r));
}

/** Gamma of shape 2 by two exponentials: answers vary, few are tiny. */
static double
draw_length (struct rng *r, double mean)
{
  return 1 + draw_exponential (r, mean / 2) + draw_exponential (r, mean / 2);
}

static uint32_t
draw_rank (struct rng *r, const double *sums, size_t n)
{
  double x = rng_unit (r) * sums[n - 1];
  size_t low = 0, high = n - 1;
  while (low < high)
    {
      size_t mid = (low + high) / 2;
      if (sums[mid] < x)
        low = mid + 1;
      else
        high = mid;
    }
  return (uint32_t)low;
}

/** A few accounts are large; account 0 is small. */
static uint8_t
draw_account (struct rng *r)
{
  static const double parts[WL_ACCOUNTS]
      = { 0.02, 0.30, 0.20, 0.14, 0.10, 0.08, 0.06, 0.04, 0.03, 0.03 };
  double x = rng_unit (r);
  for (uint8_t i = 0; i < WL_ACCOUNTS; i++)
    if ((x -= parts[i]) < 0)
      return i;
  return 1;
}

/** Callers keep an address answer, which is affine by account: most accounts
    use three eighths of the gateways, the largest all. */
static uint8_t
draw_gateway (struct rng *r, uint8_t account, unsigned gateways)
{
  if (account == 1 || account == 2 || account >= WL_ACCOUNTS)
    return (uint8_t)rng_below (r, gateways);
  unsigned span = gateways * 3 / 8 + (gateways * 3 % 8 != 0);
  return (uint8_t)((account * span + rng_below (r, span)) % gateways);
}

static struct wl_request
draw_request (const struct workload *w, struct rng *r, const double *sums,
              unsigned gateways, double at)
{
  struct wl_request q = { .at = at };
  q.account = draw_account (r);
  q.gateway = draw_gateway (r, q.account, gateways);
  q.prefix = 1 + draw_rank (r, sums, w->prefixes);
  q.prefix_tokens = (float)w->prefix;
  q.prompt = (float)draw_length (r, w->prompt);
  q.output = (float)draw_length (r, w->output);
  /* A gateway knows the prompt and the caller's bound on the answer, which
     lies above what is generated. */
  q.cost = q.prompt + q.prefix_tokens
           + q.output * (float)(1 + 0.5 * rng_unit (r));
  if (w->deadline_s > 0)
    q.deadline = at + 1000 * w->deadline_s * (0.5 + rng_unit (r));
  return q;
}

struct wl_request *
wl_make (const struct workload *w, double slots, double service_ms,
         unsigned gateways, uint64_t seed, size_t *n)
{
  struct rng r;
  rng_seed (&r, seed);
  double *sums = xmalloc (w->prefixes * sizeof *sums);
  double sum = 0;
  for (size_t i = 0; i < w->prefixes; i++)
    sums[i] = sum += 1 / (double)(i + 1);
  size_t cap = 1024;
  struct wl_request *list = xmalloc (cap * sizeof *list);
  double most = slots / service_ms * (1.2 * w->peak + w->flood);
  *n = 0;
  for (double at = 0;;)
    {
      at += draw_exponential (&r, 1 / most);
      if (at >= 1000 * w->seconds)
        break;
      double ours = w->peak * shape (at / (1000 * w->seconds));
      double x = rng_unit (&r) * (1.2 * w->peak + w->flood);
      if (x >= ours + w->flood)
        continue;
      if (*n == cap)
        list = xrealloc (list, (cap *= 2) * sizeof *list);
      struct wl_request q = draw_request (w, &r, sums, gateways, at);
      if (x >= ours)
        {
          q.account = WL_ACCOUNTS;
          q.gateway = draw_gateway (&r, q.account, gateways);
        }
      list[(*n)++] = q;
    }
  free (sums);
  return list;
}
