#include <math.h>
#include <stdlib.h>

#include "route/core.h"

/* Alternatives to these constants: docs/DESIGN.md; measured with
   `lapisline bench route`. */
/* Multiple of the total capacity above which requests wait. */
#define DISPATCH_LOAD 1.15
/* A gateway with at least this part of all requests skips full servers. */
#define MIN_OWN_PART 0.05
/* Occupied part of all slots above which requests wait. */
#define DISPATCH_TAKEN 0.98
/* A server with the cached prefix may get more than this gateway's mean number
   of requests per server, by this part of its slots: FACTOR * free part -
   OFFSET, at most MAX. */
#define PREFIX_FACTOR 2.5
#define PREFIX_OFFSET 0.5
#define PREFIX_MAX 0.225
/* Prefixes are ignored below this bound: with hardly any request per server,
   a gateway's own count can't keep all gateways from choosing the same one. */
#define PREFIX_MIN_BOUND 0.5

bool
rt_is_offered (const struct rt *r, const struct rt_server *s)
{
  return s->listed && s->complete && !s->draining && !s->down && !s->observe
         && s->valid_until > r->now;
}

bool
rt_is_usable (const struct rt *r, const struct rt_server *s)
{
  return rt_is_offered (r, s) && rt_avail_allows (r, s);
}

static bool
was_tried (const struct rt_req *q, uint64_t hash)
{
  for (unsigned i = 0; i < q->ntried; i++)
    if (q->tried[i] == hash)
      return true;
  return false;
}

bool
rt_was_tried (const struct rt_req *q, const struct rt_server *s)
{
  return was_tried (q, s->hash);
}

/**
 * When all slots are taken, requests wait at the gateway, whose queue honors
 * priority classes and fair shares; the servers have neither. Requests are
 * held back only if both conditions hold: there are more requests than slots
 * (requests that wait at one server while another is free are no reason to
 * hold back more), and hardly any slot is free. A gateway may always use
 * capacity / number of gateways: it sees its own freed slots first, so the
 * gateways that hold slots would otherwise keep them permanently.
 */
static bool
may_dispatch (const struct rt *r, const struct rt_target *t, double others,
              double taken)
{
  const struct rt_view *v = &t->view;
  double own = rt_own_requests (t);
  return own + others < DISPATCH_LOAD * v->capacity
         || own + taken < DISPATCH_TAKEN * v->capacity
         || own < v->capacity / (r->nodes ? r->nodes : 1);
}

/**
 * Limit of this gateway's requests on a server up to which a prefix match
 * decides. With many free slots it is slightly above the mean. With few, only
 * the servers with the lowest count qualify: all gateways choose the same
 * servers for a prefix, and at high load these have no spare slots.
 */
static double
prefix_bound (const struct rt_target *t, double others)
{
  const struct rt_view *v = &t->view;
  double n = (double)v->n, own = rt_own_requests (t);
  double all = own + others;
  double part = all > 0 ? own / all : 1;
  double free_part = 1 - all / v->capacity;
  double extra = fmin (PREFIX_FACTOR * free_part - PREFIX_OFFSET, PREFIX_MAX);
  return (own + 1) / n + extra * part * v->capacity / n;
}

static uint64_t
mix (uint64_t x)
{
  x ^= x >> 32;
  x *= 0xd6e8feb86659fd93ULL;
  x ^= x >> 32;
  return x;
}

/** Whether the candidate is excluded because it is full or was tried
    before. */
static bool
is_excluded (const struct rt_req *q, const struct rt_candidate *c,
             bool skip_full)
{
  return (skip_full && (float)c->in_flight >= c->max_in_flight)
         || (q->ntried && was_tried (q, c->hash));
}

/** Rendezvous hashing: all gateways derive the same order of servers for a
    prefix without communication. Returns the first server in this order whose
    score is below the bound. */
static struct rt_server *
prefix_server (const struct rt_view *v, const struct rt_req *q, double bound)
{
  struct rt_server *best = NULL;
  uint64_t most = 0;
  for (size_t i = 0; i < v->n; i++)
    {
      const struct rt_candidate *c = &v->list[i];
      if (c->score >= bound || is_excluded (q, c, true))
        continue;
      uint64_t h = mix (c->hash ^ q->prefix);
      if (!best || h > most)
        {
          best = c->server;
          most = h;
        }
    }
  return best;
}

/** Number of candidates with the lowest score; 0: there is no candidate. */
static size_t
count_least_loaded (const struct rt_view *v, const struct rt_req *q,
                    bool skip_full, uint32_t *least)
{
  size_t n = 0;
  for (size_t i = 0; i < v->n; i++)
    {
      const struct rt_candidate *c = &v->list[i];
      if ((n && c->score > *least) || is_excluded (q, c, skip_full))
        continue;
      n = n && c->score == *least ? n + 1 : 1;
      *least = c->score;
    }
  return n;
}

/** Weighted random choice among the candidates with the lowest score. */
static struct rt_server *
random_least_loaded (struct rt *r, const struct rt_target *t,
                     const struct rt_req *q, bool skip_full)
{
  const struct rt_view *v = &t->view;
  struct rt_server *last = NULL;
  uint32_t least = 0;
  double sum = 0;
  if (count_least_loaded (v, q, skip_full, &least) == 0)
    return NULL;
  for (size_t i = 0; i < v->n; i++)
    if (v->list[i].score == least && !is_excluded (q, &v->list[i], skip_full))
      sum += v->list[i].weight;
  double x = rng_unit (&r->rng) * sum;
  for (size_t i = 0; i < v->n; i++)
    {
      const struct rt_candidate *c = &v->list[i];
      if (c->score != least || is_excluded (q, c, skip_full))
        continue;
      last = c->server;
      x -= c->weight;
      if (x < 0)
        break;
    }
  return last;
}

static struct rt_server *
pick (struct rt *r, const struct rt_target *t, const struct rt_req *q,
      double bound, bool skip_full)
{
  struct rt_server *s = NULL;
  if (q->prefix && bound > 0)
    s = prefix_server (&t->view, q, bound);
  return s ? s : random_least_loaded (r, t, q, skip_full);
}

/** An ejected server whose ejection time is over, that has no probe yet and
    that the request may probe. */
static struct rt_server *
find_probe_due (struct rt *r, struct rt_target *t, const struct rt_req *q)
{
  for (size_t i = 0; i < t->nservers; i++)
    if (rt_is_usable (r, t->servers[i]) && !rt_was_tried (q, t->servers[i])
        && rt_outlier_may_probe (r, t->servers[i], q))
      return t->servers[i];
  return NULL;
}

/** Least loaded server including ejected ones: a slow response is better
    than none. */
static struct rt_server *
last_resort (struct rt *r, struct rt_target *t, const struct rt_req *q)
{
  struct rt_server *best = NULL;
  for (size_t i = 0; i < t->nservers; i++)
    {
      struct rt_server *s = t->servers[i];
      if (rt_is_usable (r, s) && !rt_was_tried (q, s)
          && s->in_flight < s->capacity
          && (!best || s->in_flight < best->in_flight))
        best = s;
    }
  return best;
}

struct rt_server *
rt_choose (void *ctx, struct rt *r, struct rt_target *t,
           const struct rt_req *q)
{
  const struct rt_view *v = rt_view (r, t);
  if (v->ejected)
    {
      struct rt_server *probe = find_probe_due (r, t, q);
      if (probe)
        return probe;
    }
  if (v->n == 0)
    return last_resort (r, t, q);
  double own = rt_own_requests (t);
  double taken, others = rt_estimate_others (t, &taken);
  if (!may_dispatch (r, t, others, taken))
    return NULL;
  /* Round the bound up with the probability of its fraction. */
  double bound = prefix_bound (t, others);
  bound = bound < PREFIX_MIN_BOUND ? 0 : floor (bound + rng_unit (&r->rng));
  /* With many gateways, all of them would avoid a server that was reported
   * full, and all would return at the next report. */
  bool skip_full = !t->is_model || own >= MIN_OWN_PART * (own + others);
  struct rt_server *s = pick (r, t, q, bound, skip_full);
  if (!s && t->is_model)
    s = pick (r, t, q, bound, false);
  return s || q->ntried == 0 ? s : last_resort (r, t, q);
}
