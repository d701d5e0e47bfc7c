#include <math.h>
#include <stdlib.h>

#include "route/core.h"

/* The figures below were found with `lapisline bench route`; docs/DESIGN.md
   tells what else was tried. */
#define FRESH 0.4 /* of a service time: age of a report that counts */
#define GATE 1.15 /* of all capacity: more than that waits here */
/* Of a server's slots, what is ours above our mean for a warm one. */
#define WARM_FACTOR 2.5 /* of the part of slots that is free */
#define WARM_OFFSET 0.5 /* less so much */
#define WARM_MOST 0.225

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

/**
 * With every slot taken, requests wait here, where classes and accounts have
 * their turn, and not in the servers, which know neither.  A gateway may
 * always use its even part: those that hold the slots would otherwise hold
 * them for good, as they learn first of each one that is free.
 */
static bool
gate_open (const struct rt *r, const struct rt_target *t, double others)
{
  const struct rt_view *v = &t->view;
  double own = rt_own_in_view (t);
  return own + others < GATE * v->capacity
         || own < v->capacity / (r->nodes ? r->nodes : 1);
}

/**
 * How many requests of ours a server may have and still get one more only
 * because it holds the prefix.  With many free slots that is a little above
 * our mean; it falls with them, until at the end only the servers with the
 * least count: all gateways agree on the servers of a prefix, and these have
 * no slots to spare for it.
 */
static double
warm_bound (const struct rt_target *t, double others)
{
  const struct rt_view *v = &t->view;
  double n = (double)v->n, own = rt_own_in_view (t);
  double all = own + others;
  double part = all > 0 ? own / all : 1;
  double free_part = 1 - all / v->capacity;
  double extra = fmin (WARM_FACTOR * free_part - WARM_OFFSET, WARM_MOST);
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

static bool
tried (const struct rt_req *q, uint64_t hash)
{
  for (unsigned i = 0; i < q->ntried; i++)
    if (q->tried[i] == hash)
      return true;
  return false;
}

/** Whether the candidate is out, for this request or as it is full. */
static bool
skipped (const struct rt_req *q, const struct rt_candidate *c, bool skip_full)
{
  return (skip_full && (float)c->in_flight >= c->room)
         || (q->ntried && tried (q, c->hash));
}

/**
 * Rendezvous hashing: all gateways have the same order of servers for a
 * prefix without telling each other.  The first in it that has not more of
 * ours than the bound.
 */
static struct rt_server *
warm_server (const struct rt_view *v, const struct rt_req *q, double bound,
             bool skip_full)
{
  struct rt_server *best = NULL;
  uint64_t most = 0;
  for (size_t i = 0; i < v->n; i++)
    {
      const struct rt_candidate *c = &v->list[i];
      if (c->score >= bound || skipped (q, c, skip_full))
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

/** How many candidates have the least score; 0: there is none. */
static size_t
count_least (const struct rt_view *v, const struct rt_req *q, bool skip_full,
             uint32_t *least)
{
  size_t n = 0;
  for (size_t i = 0; i < v->n; i++)
    {
      const struct rt_candidate *c = &v->list[i];
      if ((n && c->score > *least) || skipped (q, c, skip_full))
        continue;
      n = n && c->score == *least ? n + 1 : 1;
      *least = c->score;
    }
  return n;
}

/** The one of those with the least score that has this number. */
static struct rt_server *
nth_least (const struct rt_view *v, const struct rt_req *q, bool skip_full,
           uint32_t least, size_t number)
{
  for (size_t i = 0; i < v->n; i++)
    {
      const struct rt_candidate *c = &v->list[i];
      if (c->score == least && !skipped (q, c, skip_full) && number-- == 0)
        return c->server;
    }
  return NULL;
}

/**
 * Two of those with the least of ours, at random; the one that others use
 * less when a report is fresh.  Taking the least reported of all would send
 * every gateway to the same server until the next report.
 */
static struct rt_server *
better_of_two (struct rt *r, const struct rt_target *t, const struct rt_req *q,
               bool skip_full)
{
  uint32_t least = 0;
  size_t n = count_least (&t->view, q, skip_full, &least);
  if (n == 0)
    return NULL;
  size_t first = (size_t)rng_below (&r->rng, n);
  struct rt_server *a = nth_least (&t->view, q, skip_full, least, first);
  if (n == 1)
    return a;
  size_t second = (first + 1 + (size_t)rng_below (&r->rng, n - 1)) % n;
  struct rt_server *b = nth_least (&t->view, q, skip_full, least, second);
  bool fresh = a->load_at != 0
               && (double)(r->now - a->load_at) <= FRESH * rt_service_ms (t);
  if (fresh)
    return b->others < a->others ? b : a;
  return b->same_zone && !a->same_zone ? b : a;
}

static struct rt_server *
pick (struct rt *r, const struct rt_target *t, const struct rt_req *q,
      double bound, bool skip_full)
{
  struct rt_server *s = NULL;
  if (q->prefix && bound > 0)
    s = warm_server (&t->view, q, bound, skip_full);
  return s ? s : better_of_two (r, t, q, skip_full);
}

/** An ejected server whose time is over and that is due for a look. */
static struct rt_server *
due_for_probe (struct rt *r, struct rt_target *t, const struct rt_req *q)
{
  for (size_t i = 0; i < t->nservers; i++)
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
      if (rt_usable (r, s) && !rt_tried (q, s) && s->in_flight < s->capacity
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
  if (v->ejected && q->idempotent)
    {
      struct rt_server *probe = due_for_probe (r, t, q);
      if (probe)
        return probe;
    }
  if (v->n == 0)
    return last_resort (r, t, q);
  double others = rt_others_by_now (t);
  if (!gate_open (r, t, others))
    return NULL;
  /* The fraction decides by chance, so that bounds below one count too. */
  double bound = floor (warm_bound (t, others) + rng_unit (&r->rng));
  struct rt_server *s = pick (r, t, q, bound, true);
  if (!s && t->is_model)
    s = pick (r, t, q, bound, false);
  return s || q->ntried == 0 ? s : last_resort (r, t, q);
}
