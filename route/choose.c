#include <math.h>
#include <stdlib.h>

#include "route/core.h"

#define AGE_OFTEN_MS 50   /* how often aged estimates are computed anew */
#define SERVICE_MS 3000.0 /* time of a request until one was measured */
#define COST_FIRST 1000.0 /* tokens of a request until one was seen */
#define BOUND_FACTOR 1.25 /* of the mean load, for a warm server */
#define BOUND_SLACK 1.0   /* requests */
#define ZONE_COST 0.5     /* requests that a hop to another zone weighs */

bool
rt_usable (const struct rt *r, const struct rt_server *s)
{
  return s->listed && s->whole && !s->draining && !s->down && !s->observe
         && s->valid_until > r->now;
}

bool
rt_tried (const struct rt_req *q, const struct rt_server *s)
{
  for (unsigned i = 0; i < q->ntried; i++)
    if (q->tried[i] == s->hash)
      return true;
  return false;
}

/** Carry the present load on to the sample slots that passed since. */
static void
history_advance (struct rt_server *s, clk_ms now)
{
  struct rt_history *h = &s->history;
  clk_ms slot = now / RT_HISTORY_MS;
  clk_ms behind = slot - h->slot;
  if (behind > RT_HISTORY)
    behind = RT_HISTORY;
  for (clk_ms i = 0; i < behind; i++)
    h->tokens[(slot - i) % RT_HISTORY] = (float)s->own_tokens;
  if (slot > h->slot)
    h->slot = slot;
}

/** Own load at the time @p at, to the precision of the samples. */
static double
history_at (const struct rt_server *s, clk_ms at)
{
  const struct rt_history *h = &s->history;
  clk_ms slot = at / RT_HISTORY_MS;
  if (slot >= h->slot)
    return s->own_tokens;
  if (slot <= h->slot - RT_HISTORY)
    slot = h->slot - RT_HISTORY + 1;
  return slot < 0 ? 0 : h->tokens[slot % RT_HISTORY];
}

void
rt_server_take (struct rt *r, struct rt_server *s, double cost)
{
  history_advance (s, r->now);
  s->in_flight++;
  s->own_tokens += cost;
  s->history.tokens[s->history.slot % RT_HISTORY] = (float)s->own_tokens;
}

void
rt_server_drop (struct rt *r, struct rt_server *s, double cost)
{
  history_advance (s, r->now);
  s->in_flight--;
  s->own_tokens = s->in_flight ? s->own_tokens - cost : 0;
  s->history.tokens[s->history.slot % RT_HISTORY] = (float)s->own_tokens;
}

/** The report holds our own work of that moment; the rest is of others. */
void
rt_server_load (struct rt *r, struct rt_target *t, struct rt_server *s,
                uint32_t load, clk_ms at)
{
  if (at <= s->load_at && s->load_at != 0)
    return;
  history_advance (s, r->now);
  double mean = t->mean_cost > 0 ? t->mean_cost : COST_FIRST;
  double others = (double)load - history_at (s, at);
  s->others = others > 0 ? others / mean : 0;
  s->load_at = at;
  t->aged_at = 0;
}

/**
 * What a report says of one server fades as the requests that it counted
 * end, while the mean over all servers stays right much longer.  So each
 * estimate moves from the report to the mean with the age of the report, at
 * the pace of a request's time; a stale report then neither herds requests
 * to a server that was idle nor keeps them off one that was busy.
 */
static void
age_estimates (struct rt *r, struct rt_target *t)
{
  if (t->aged_at != 0 && r->now - t->aged_at < AGE_OFTEN_MS)
    return;
  t->aged_at = r->now;
  double sum = 0;
  size_t n = 0;
  for (size_t i = 0; i < t->nservers; i++)
    if (t->servers[i]->load_at != 0 && rt_usable (r, t->servers[i]))
      {
        sum += t->servers[i]->others;
        n++;
      }
  t->mean_others = n ? sum / (double)n : 0;
  double span = t->ms_per_token * t->mean_cost;
  if (span <= 0)
    span = SERVICE_MS;
  for (size_t i = 0; i < t->nservers; i++)
    {
      struct rt_server *s = t->servers[i];
      double w
          = s->load_at == 0 ? 0 : exp (-(double)(r->now - s->load_at) / span);
      s->others_now = w * s->others + (1 - w) * t->mean_others;
    }
}

double
rt_estimate (const struct rt *r, const struct rt_target *t,
             const struct rt_server *s)
{
  return s->in_flight + s->others_now;
}

/**
 * A gateway that sees every server full may still keep its even part of
 * each busy.  Otherwise the gateways that hold the slots would hold them for
 * good, as they learn first of each one that is free.
 */
static bool
has_room (const struct rt *r, const struct rt_server *s, double estimate)
{
  return estimate < s->capacity
         || s->in_flight < s->capacity / (r->nodes ? r->nodes : 1);
}

static uint64_t
mix (uint64_t x)
{
  x ^= x >> 32;
  x *= 0xd6e8feb86659fd93ULL;
  x ^= x >> 32;
  return x;
}

/** What one pass over the servers finds. */
struct scan
{
  struct rt_server *least;
  double least_score;
  struct rt_server *warm[2]; /* by rendezvous hash of the prefix */
  uint64_t warm_hash[2];
  double sum;
  size_t n;
};

static void
scan_warm (struct scan *c, struct rt_server *s, uint64_t prefix)
{
  uint64_t h = mix (s->hash ^ prefix);
  if (h > c->warm_hash[0])
    {
      c->warm[1] = c->warm[0];
      c->warm_hash[1] = c->warm_hash[0];
      c->warm[0] = s;
      c->warm_hash[0] = h;
    }
  else if (h > c->warm_hash[1])
    {
      c->warm[1] = s;
      c->warm_hash[1] = h;
    }
}

static void
scan_server (struct rt *r, struct scan *c, struct rt_server *s,
             const struct rt_req *q)
{
  double estimate = s->in_flight + s->others_now;
  c->sum += estimate;
  c->n++;
  if (q->prefix)
    scan_warm (c, s, q->prefix);
  if (!has_room (r, s, estimate))
    return;
  /* The fraction breaks ties, so that gateways with the same view part. */
  double score
      = estimate + (s->same_zone ? 0 : ZONE_COST) + 0.25 * rng_unit (&r->rng);
  if (!c->least || score < c->least_score)
    {
      c->least = s;
      c->least_score = score;
    }
}

/** Consistent hashing with bounded load: a prefix's own servers while they
    have no more than their part, so that a popular prefix spreads. */
static struct rt_server *
warm_choice (struct rt *r, const struct scan *c)
{
  double bound = BOUND_FACTOR * c->sum / (double)c->n + BOUND_SLACK;
  for (unsigned i = 0; i < 2; i++)
    {
      struct rt_server *s = c->warm[i];
      if (!s)
        continue;
      double estimate = s->in_flight + s->others_now;
      if (estimate <= bound && has_room (r, s, estimate))
        return s;
    }
  return NULL;
}

/** Ejected and already tried servers come last: when nothing else is left,
    a slow answer is better than none. */
static struct rt_server *
last_resort (struct rt *r, struct rt_target *t, const struct rt_req *q)
{
  struct rt_server *best = NULL;
  for (size_t i = 0; i < t->nservers; i++)
    {
      struct rt_server *s = t->servers[i];
      if (!rt_usable (r, s) || rt_tried (q, s)
          || !has_room (r, s, rt_estimate (r, t, s)))
        continue;
      if (!best || s->in_flight < best->in_flight)
        best = s;
    }
  return best;
}

struct rt_server *
rt_choose (void *ctx, struct rt *r, struct rt_target *t,
           const struct rt_req *q)
{
  struct scan c = { 0 };
  age_estimates (r, t);
  for (size_t i = 0; i < t->nservers; i++)
    {
      struct rt_server *s = t->servers[i];
      if (!rt_usable (r, s) || (q->ntried && rt_tried (q, s)))
        continue;
      if (s->ejected_until)
        {
          if (q->idempotent && rt_outlier_probe_due (r, s))
            return s;
          continue;
        }
      scan_server (r, &c, s, q);
    }
  if (c.n == 0)
    return last_resort (r, t, q);
  struct rt_server *warm = warm_choice (r, &c);
  return warm ? warm : c.least;
}
