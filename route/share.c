#include "route/share.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define ROUND 0.01         /* a sum that nears a whole number reaches it */
#define LATE_MS CLK_SECOND /* longest way of a grant to its node */

/** One of the two limits at one node. */
struct part
{
  double demand;
  double granted;
  double peak; /**< most that may still be held, should grants be lost */
  clk_ms peak_at;
  double next; /**< while dividing */
};

/** One node in one account. */
struct member
{
  char *name;
  bool counted;      /**< in N */
  clk_ms heard;      /**< 0: never */
  clk_ms granted_at; /**< 0: never by this home */
  struct part rate, conc;
};

struct account
{
  char *name;
  double rate, conc; /**< limits */
  bool listed;
  bool home;
  clk_ms home_since;
  clk_ms divided_at;
  struct member *members;
  size_t n;
};

struct shr
{
  struct account *accounts;
  size_t n;
  char **nodes;
  size_t nnodes;
  size_t out_account, out_member; /**< of the next grant */
  clk_ms now;
  bool fresh; /**< grants were divided and not all handed out */
};

double
shr_decayed (double share, double even, clk_ms age)
{
  if (age <= 0)
    return share;
  return even + (share - even) * exp2 (-(double)age / SHR_DECAY_MS);
}

struct shr *
shr_new (void)
{
  return xcalloc (1, sizeof (struct shr));
}

static void
account_clear (struct account *a)
{
  for (size_t i = 0; i < a->n; i++)
    free (a->members[i].name);
  free (a->members);
  free (a->name);
}

static void
free_nodes (struct shr *s)
{
  for (size_t i = 0; i < s->nnodes; i++)
    free (s->nodes[i]);
  free (s->nodes);
  s->nodes = NULL;
  s->nnodes = 0;
}

void
shr_free (struct shr *s)
{
  for (size_t i = 0; i < s->n; i++)
    account_clear (&s->accounts[i]);
  free_nodes (s);
  free (s->accounts);
  free (s);
}

static struct account *
find_account (struct shr *s, struct str name)
{
  for (size_t i = 0; i < s->n; i++)
    if (str_is (name, s->accounts[i].name))
      return &s->accounts[i];
  return NULL;
}

static struct member *
member_of (struct account *a, struct str name)
{
  for (size_t i = 0; i < a->n; i++)
    if (str_is (name, a->members[i].name))
      return &a->members[i];
  a->members = xrealloc (a->members, (a->n + 1) * sizeof *a->members);
  struct member *m = &a->members[a->n++];
  *m = (struct member){ .name = str_dup (name) };
  return m;
}

static void
count_members (struct shr *s, struct account *a)
{
  for (size_t i = 0; i < a->n; i++)
    a->members[i].counted = false;
  for (size_t i = 0; i < s->nnodes; i++)
    member_of (a, str_from (s->nodes[i]))->counted = true;
}

static struct account *
add_account (struct shr *s, struct str name)
{
  s->accounts = xrealloc (s->accounts, (s->n + 1) * sizeof *s->accounts);
  struct account *a = &s->accounts[s->n++];
  *a = (struct account){ .name = str_dup (name) };
  count_members (s, a);
  return a;
}

void
shr_limits (struct shr *s, const struct shr_limit *limits, size_t n)
{
  for (size_t i = 0; i < s->n; i++)
    s->accounts[i].listed = false;
  for (size_t i = 0; i < n; i++)
    {
      struct account *a = find_account (s, limits[i].account);
      if (!a)
        a = add_account (s, limits[i].account);
      a->rate = limits[i].tokens_per_s;
      a->conc = limits[i].concurrency;
      a->listed = true;
    }
  size_t kept = 0;
  for (size_t i = 0; i < s->n; i++)
    if (s->accounts[i].listed)
      s->accounts[kept++] = s->accounts[i];
    else
      account_clear (&s->accounts[i]);
  s->n = kept;
  s->fresh = false;
}

void
shr_nodes (struct shr *s, clk_ms now, const struct str *names, size_t n)
{
  free_nodes (s);
  s->nodes = xcalloc (n + 1, sizeof *s->nodes);
  for (size_t i = 0; i < n; i++)
    s->nodes[s->nnodes++] = str_dup (names[i]);
  for (size_t i = 0; i < s->n; i++)
    count_members (s, &s->accounts[i]);
}

void
shr_home (struct shr *s, clk_ms now, struct str account, bool home)
{
  struct account *a = find_account (s, account);
  if (!a || a->home == home)
    return;
  a->home = home;
  a->home_since = now;
  /* What the last home granted is not known here. */
  for (size_t i = 0; i < a->n; i++)
    a->members[i].granted_at = 0;
}

void
shr_demand (struct shr *s, clk_ms now, struct str account, struct str node,
            double tokens_per_s, double concurrency)
{
  struct account *a = find_account (s, account);
  if (!a)
    return;
  struct member *m = member_of (a, node);
  m->heard = now;
  m->rate.demand = tokens_per_s;
  m->conc.demand = concurrency;
}

/* --- dividing ----------------------------------------------------------- */

static struct part *
part_of (struct member *m, bool rate)
{
  return rate ? &m->rate : &m->conc;
}

static bool
heard (const struct member *m, clk_ms now)
{
  return m->heard != 0 && now - m->heard <= SHR_SILENT_MS;
}

/** What a grant of that time may have become by @p at. */
static double
held (double share, double even, clk_ms granted_at, clk_ms at)
{
  return shr_decayed (share, even, at - granted_at - SHR_VALID_MS);
}

/**
 * The most that a node that isn't heard may hold while the grants of now are
 * valid.  Its share falls towards even or rises to it, so the most is at one
 * end of that time; a later, smaller grant may not have reached it.
 */
static double
reserve (const struct member *m, const struct part *p, double even, clk_ms now)
{
  if (m->granted_at == 0)
    return even;
  clk_ms late = now - LATE_MS, end = now + SHR_VALID_MS + LATE_MS;
  double most = fmax (held (p->granted, even, m->granted_at, late),
                      held (p->granted, even, m->granted_at, end));
  return fmax (most, held (p->peak, even, p->peak_at, late));
}

/** Give each heard node what it asks for while that is below @p level. */
static double
fill (struct account *a, bool rate, clk_ms now, double level)
{
  double sum = 0;
  for (size_t i = 0; i < a->n; i++)
    if (heard (&a->members[i], now))
      sum += fmin (part_of (&a->members[i], rate)->demand, level);
  return sum;
}

/**
 * Max-min fair: the level up to which every demand is met such that all of
 * @p pool is given out; found by halving, as few steps are enough.
 */
static double
water_level (struct account *a, bool rate, clk_ms now, double pool)
{
  double low = 0, high = pool;
  for (int i = 0; i < 50; i++)
    {
      double mid = (low + high) / 2;
      if (fill (a, rate, now, mid) > pool)
        high = mid;
      else
        low = mid;
    }
  return low;
}

/** What is left when all demands are met goes to all heard nodes alike, so
    that a demand that starts finds some room. */
static void
divide_pool (struct account *a, bool rate, clk_ms now, double pool,
             size_t nheard)
{
  double level = water_level (a, rate, now, pool);
  double left = pool - fill (a, rate, now, level);
  for (size_t i = 0; i < a->n; i++)
    {
      struct member *m = &a->members[i];
      struct part *p = part_of (m, rate);
      if (heard (m, now))
        p->next = fmin (p->demand, level) + fmax (0, left) / (double)nheard;
    }
}

/** What a heard node holds for sure or may still hold: a grant counts as
    arrived when a demand came after it. */
static double
holds (const struct member *m, const struct part *p, double even)
{
  if (m->granted_at == 0)
    return even;
  return m->heard > m->granted_at ? p->granted : p->peak;
}

/**
 * Shares rise only by what others are known to have given up.  A node that
 * was cut off a moment ago still counts as heard, its smaller grant is lost,
 * and what it keeps would be given out a second time.
 */
static void
hold_back (struct account *a, bool rate, clk_ms now, double even, double pool)
{
  double held = 0, up = 0;
  for (size_t i = 0; i < a->n; i++)
    {
      struct member *m = &a->members[i];
      struct part *p = part_of (m, rate);
      if (!heard (m, now))
        continue;
      held += holds (m, p, even);
      up += fmax (0, p->next - holds (m, p, even));
    }
  double room = fmax (0, pool - held);
  double factor = up > room ? room / up : 1;
  for (size_t i = 0; i < a->n; i++)
    {
      struct member *m = &a->members[i];
      struct part *p = part_of (m, rate);
      double from = holds (m, p, even);
      if (heard (m, now) && p->next > from)
        p->next = from + factor * (p->next - from);
    }
}

/** Whole numbers that add up to no more: the largest fractions are rounded
    up. */
static void
round_parts (struct account *a, clk_ms now)
{
  double given = 0, sum = 0;
  for (size_t i = 0; i < a->n; i++)
    if (heard (&a->members[i], now))
      {
        sum += a->members[i].conc.next;
        given += floor (a->members[i].conc.next);
      }
  for (double left = floor (sum + ROUND) - given; left >= 1; left--)
    {
      struct member *best = NULL;
      double most = 1e-6; /* less is an error of the halving */
      for (size_t i = 0; i < a->n; i++)
        {
          struct member *m = &a->members[i];
          double over = m->conc.next - floor (m->conc.next);
          if (heard (m, now) && over > most)
            {
              most = over;
              best = m;
            }
        }
      if (!best)
        break;
      best->conc.next = floor (best->conc.next) + 1;
    }
  for (size_t i = 0; i < a->n; i++)
    a->members[i].conc.next = floor (a->members[i].conc.next);
}

static void
divide (struct account *a, bool rate, clk_ms now)
{
  double limit = rate ? a->rate : a->conc;
  size_t counted = 0, nheard = 0;
  for (size_t i = 0; i < a->n; i++)
    {
      counted += a->members[i].counted || heard (&a->members[i], now);
      nheard += heard (&a->members[i], now);
    }
  if (limit <= 0 || nheard == 0)
    return;
  double even = limit / (double)counted, pool = limit;
  for (size_t i = 0; i < a->n; i++)
    {
      struct member *m = &a->members[i];
      if (m->counted && !heard (m, now))
        pool -= reserve (m, part_of (m, rate), even, now);
    }
  if (pool < 0)
    pool = 0;
  /* Grants of the home before may still be held by nodes that aren't heard
     here; with no more than even for the others the sum stays bounded. */
  bool quiet = now - a->home_since < SHR_QUIET_MS;
  if (quiet)
    pool = fmin (pool, even * (double)nheard);
  divide_pool (a, rate, now, pool, nheard);
  for (size_t i = 0; quiet && i < a->n; i++)
    {
      struct part *p = part_of (&a->members[i], rate);
      p->next = fmin (p->next, even);
    }
  hold_back (a, rate, now, even, pool);
  if (!rate)
    round_parts (a, now);
}

static void
grant (const struct member *m, struct part *p, clk_ms now)
{
  bool arrived = m->heard > m->granted_at;
  if (arrived || p->next >= p->peak)
    {
      p->peak = arrived ? fmax (p->granted, p->next) : p->next;
      p->peak_at = now;
    }
  p->granted = p->next;
}

static void
divide_account (struct account *a, clk_ms now)
{
  divide (a, true, now);
  divide (a, false, now);
  a->divided_at = now;
  for (size_t i = 0; i < a->n; i++)
    {
      struct member *m = &a->members[i];
      if (!heard (m, now))
        continue;
      grant (m, &m->rate, now);
      grant (m, &m->conc, now);
      m->granted_at = now;
    }
}

void
shr_tick (struct shr *s, clk_ms now)
{
  s->now = now;
  for (size_t i = 0; i < s->n; i++)
    {
      struct account *a = &s->accounts[i];
      if (a->home && now - a->divided_at >= SHR_PERIOD_MS
          && (a->rate > 0 || a->conc > 0))
        divide_account (a, now);
    }
  s->out_account = s->out_member = 0;
  s->fresh = true;
}

bool
shr_next (struct shr *s, struct shr_grant *out)
{
  if (!s->fresh)
    return false;
  for (; s->out_account < s->n; s->out_account++, s->out_member = 0)
    {
      struct account *a = &s->accounts[s->out_account];
      while (a->home && a->divided_at == s->now && s->out_member < a->n)
        {
          const struct member *m = &a->members[s->out_member++];
          if (m->granted_at != s->now)
            continue;
          *out = (struct shr_grant){ .account = str_from (a->name),
                                     .node = str_from (m->name),
                                     .tokens_per_s = m->rate.granted,
                                     .concurrency = m->conc.granted,
                                     .valid_ms = SHR_VALID_MS };
          return true;
        }
    }
  s->fresh = false;
  return false;
}
