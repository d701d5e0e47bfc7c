#include <math.h>
#include <stdlib.h>

#include "route/core.h"

#define AGE_OFTEN_MS 50   /* how often aged estimates are computed anew */
#define SERVICE_MS 3000.0 /* time of a request until one was measured */
#define COST_FIRST 1000.0 /* tokens of a request until one was seen */

/* The figures below were found with `lapisline bench route`; docs/DESIGN.md
   tells what else was tried. */
#define FADE 0.3         /* of a service time: pace at which reports fade */
#define FRESH 0.4        /* of a service time: age of a report that counts */
#define FULL_FACTOR 1.1  /* of its capacity: a server that gets nothing */
#define GATE 1.15        /* of all capacity: more than that waits here */
#define WARM_FACTOR 2.5  /* of our part of the free slots of a server */
#define WARM_OFFSET -1.0 /* requests */
#define WARM_MOST 0.45   /* requests above our mean */

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

/** Mean time of a request on a server. */
static double
service_ms (const struct rt_target *t)
{
  double ms = t->ms_per_token * t->mean_cost;
  return ms > 0 ? ms : SERVICE_MS;
}

/**
 * What a report says of one server fades as the requests that it counted end
 * and as the other gateways even out what it shows, while the mean over all
 * servers stays right much longer.  So each estimate moves from the report to
 * the mean with the age of the report.
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
  double pace = FADE * service_ms (t);
  for (size_t i = 0; i < t->nservers; i++)
    {
      struct rt_server *s = t->servers[i];
      double w
          = s->load_at == 0 ? 0 : exp (-(double)(r->now - s->load_at) / pace);
      s->others_now = w * s->others + (1 - w) * t->mean_others;
    }
}

static bool
candidate (const struct rt *r, const struct rt_server *s,
           const struct rt_req *q)
{
  return rt_usable (r, s) && !s->ejected_until
         && !(q->ntried && rt_tried (q, s));
}

/** The candidates together. */
struct sums
{
  size_t n;
  double own;    /**< requests of this gateway */
  double others; /**< of the others, as reported */
  double capacity;
  double tokens;      /**< of this gateway now... */
  double tokens_then; /**< ...and when the reports were made */
  double age;         /**< of the reports, ms */
};

static struct sums
add_up (const struct rt *r, const struct rt_target *t, const struct rt_req *q)
{
  struct sums c = { 0 };
  for (size_t i = 0; i < t->nservers; i++)
    {
      const struct rt_server *s = t->servers[i];
      if (!candidate (r, s, q))
        continue;
      c.n++;
      c.own += s->in_flight;
      c.capacity += s->capacity;
      if (s->load_at == 0)
        continue;
      c.others += t->mean_others;
      c.tokens += s->own_tokens;
      c.tokens_then += history_at (s, s->load_at);
      c.age += (double)(r->now - s->load_at);
    }
  return c;
}

/**
 * Requests of the other gateways now.  All gateways carry parts of the same
 * load, so what changed here since the reports changed there too, about as
 * much; the older the reports, the more this counts.
 */
static double
others_by_now (const struct rt_target *t, const struct sums *c)
{
  if (c->tokens_then <= 0 || c->n == 0)
    return c->others;
  double age = c->age / (double)c->n;
  double w = 1 - exp (-age / service_ms (t));
  return c->others * pow ((c->tokens + 1) / (c->tokens_then + 1), w);
}

/**
 * With every slot taken, requests wait here, where classes and accounts have
 * their turn, and not in the servers, which know neither.  A gateway may
 * always use its even part: those that hold the slots would otherwise hold
 * them for good, as they learn first of each one that is free.
 */
static bool
gate_open (const struct rt *r, const struct sums *c, double others)
{
  return c->own + others < GATE * c->capacity
         || c->own < c->capacity / (r->nodes ? r->nodes : 1);
}

/**
 * How many requests of ours a server may have and still get one more only
 * because it holds the prefix.  With many free slots that is a little above
 * our mean; it falls with them, until at the end only the servers with the
 * least count: all gateways agree on the servers of a prefix, and these have
 * no slots to spare for it.
 */
static double
warm_bound (const struct sums *c, double others)
{
  double n = (double)c->n;
  double all = c->own + others;
  double part = all > 0 ? c->own / all : 1;
  double extra = WARM_FACTOR * part * (c->capacity - all) / n + WARM_OFFSET;
  return (c->own + 1) / n + (extra < WARM_MOST ? extra : WARM_MOST);
}

static uint64_t
mix (uint64_t x)
{
  x ^= x >> 32;
  x *= 0xd6e8feb86659fd93ULL;
  x ^= x >> 32;
  return x;
}

/** What a pass over the servers finds. */
struct scan
{
  double bound; /**< of a warm server */
  struct rt_server *warm;
  uint64_t warm_hash;
  struct rt_server *pick[2]; /**< at random of those with the least */
  size_t ties;
  uint32_t least;
};

/** Keep two of the servers with the least, each as likely as the other. */
static void
scan_least (struct rt *r, struct scan *c, struct rt_server *s)
{
  uint32_t score = s->in_flight + s->pending;
  if (c->ties && score > c->least)
    return;
  if (!c->ties || score < c->least)
    {
      c->least = score;
      c->ties = 0;
    }
  size_t at = c->ties++;
  if (at >= 2)
    at = (size_t)rng_below (&r->rng, c->ties);
  if (at < 2)
    c->pick[at] = s;
}

static void
scan_server (struct rt *r, struct scan *c, struct rt_server *s,
             const struct rt_req *q)
{
  /* Rendezvous hashing: all gateways have the same order of servers for a
     prefix without telling each other. */
  if (q->prefix && s->in_flight + s->pending < c->bound)
    {
      uint64_t h = mix (s->hash ^ q->prefix);
      if (!c->warm || h > c->warm_hash)
        {
          c->warm = s;
          c->warm_hash = h;
        }
    }
  scan_least (r, c, s);
}

/** Whether the server has more than it can run, by what is known. */
static bool
full (const struct rt_target *t, const struct rt_server *s)
{
  if (!t->is_model)
    return s->in_flight >= s->capacity;
  return s->in_flight + s->others_now >= FULL_FACTOR * s->capacity;
}

/**
 * Two of those with the least of ours, at random; the one that others use
 * less when a report is fresh.  Taking the least reported of all would send
 * every gateway to the same server until the next report.
 */
static struct rt_server *
better_of_two (const struct rt *r, const struct rt_target *t,
               const struct scan *c)
{
  if (c->ties < 2)
    return c->ties ? c->pick[0] : NULL;
  struct rt_server *a = c->pick[0], *b = c->pick[1];
  if ((double)(r->now - a->load_at) > FRESH * service_ms (t))
    {
      if (a->same_zone != b->same_zone)
        return a->same_zone ? a : b;
      return a;
    }
  return b->others < a->others ? b : a;
}

static struct rt_server *
scan_all (struct rt *r, struct rt_target *t, const struct rt_req *q,
          double bound, bool skip_full)
{
  struct scan c = { .bound = bound };
  for (size_t i = 0; i < t->nservers; i++)
    if (candidate (r, t->servers[i], q)
        && !(skip_full && full (t, t->servers[i])))
      scan_server (r, &c, t->servers[i], q);
  return c.warm ? c.warm : better_of_two (r, t, &c);
}

/** An ejected server whose time is over and that is due for a look. */
static struct rt_server *
due_for_probe (struct rt *r, struct rt_target *t, const struct rt_req *q)
{
  for (size_t i = 0; q->idempotent && i < t->nservers; i++)
    if (rt_usable (r, t->servers[i]) && !rt_tried (q, t->servers[i])
        && rt_outlier_probe_due (r, t->servers[i]))
      return t->servers[i];
  return NULL;
}

/** When all that is left is ejected, a slow answer is better than none. */
static struct rt_server *
last_resort (struct rt *r, struct rt_target *t, const struct rt_req *q)
{
  struct rt_server *best = NULL;
  for (size_t i = 0; i < t->nservers; i++)
    {
      struct rt_server *s = t->servers[i];
      if (rt_usable (r, s) && !rt_tried (q, s) && !full (t, s)
          && (!best || s->in_flight < best->in_flight))
        best = s;
    }
  return best;
}

struct rt_server *
rt_choose (void *ctx, struct rt *r, struct rt_target *t,
           const struct rt_req *q)
{
  struct rt_server *probe = due_for_probe (r, t, q);
  if (probe)
    return probe;
  age_estimates (r, t);
  struct sums c = add_up (r, t, q);
  if (c.n == 0)
    return last_resort (r, t, q);
  double others = others_by_now (t, &c);
  if (!gate_open (r, &c, others))
    return NULL;
  /* The fraction decides by chance, so that bounds below one count too. */
  double bound = floor (warm_bound (&c, others) + rng_unit (&r->rng));
  struct rt_server *s = scan_all (r, t, q, bound, true);
  return s || !t->is_model ? s : scan_all (r, t, q, bound, false);
}
