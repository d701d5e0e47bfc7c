#include "route/share.h"

#include <math.h>
#include <stdlib.h>

/* Factor on a node's recent demand, so that it can grow within the next
   second without refusals. */
#define HEADROOM 1.25
/* Part of an even share that a node gets without any demand, so that its
   first requests are not refused before the next division. */
#define IDLE_FRACTION 0.1
/* A node that reports this long after its highest grant has received a smaller
   one, which was sent a second later over the same link. The heartbeat closes
   a link that is silent in one direction after three seconds. */
#define CONFIRM_MS ((clk_ms)4500)
/* Half-lives after which an expired share has decayed to an even part. */
#define START_DELAY_HALF_LIVES 11

enum
{
  RATE,
  CONCURRENCY,
  LIMIT_KINDS
};

/** A node's part of one limit. */
struct node_limit
{
  double demand;
  double granted;
  clk_ms granted_until;
  clk_ms peak_at;    /**< time of the highest grant that may still be valid */
  double peak;       /**< the highest grant that may still be valid */
  clk_ms peak_until; /**< end of validity of `peak` */
  double target;
};

struct member
{
  char *node;
  bool listed; /**< listed by shr_set_nodes() */
  clk_ms demand_at;
  struct node_limit limits[LIMIT_KINDS];
};

struct account
{
  char *name;
  bool set;
  bool home;
  clk_ms grants_from; /**< a new home grants nothing until then */
  double limit[LIMIT_KINDS];
  struct member *members;
  size_t n;
};

struct shr
{
  struct account **accounts;
  size_t n;
  char **nodes;
  size_t nnodes;
  size_t all;
  struct shr_grant *grants;
  size_t ngrants;
  size_t next;
};

double
shr_decayed_share (double share, double even, clk_ms age)
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
free_account (struct account *a)
{
  for (size_t i = 0; i < a->n; i++)
    free (a->members[i].node);
  free (a->members);
  free (a->name);
  free (a);
}

static void
free_nodes (struct shr *s)
{
  for (size_t i = 0; i < s->nnodes; i++)
    free (s->nodes[i]);
  free (s->nodes);
}

void
shr_free (struct shr *s)
{
  for (size_t i = 0; i < s->n; i++)
    free_account (s->accounts[i]);
  free_nodes (s);
  free (s->accounts);
  free (s->grants);
  free (s);
}

static struct account *
find_account (struct shr *s, struct str name)
{
  for (size_t i = 0; i < s->n; i++)
    if (str_is (name, s->accounts[i]->name))
      return s->accounts[i];
  return NULL;
}

static struct account *
add_account (struct shr *s, struct str name)
{
  struct account *a = xcalloc (1, sizeof *a);
  a->name = str_dup (name);
  s->accounts = xrealloc (s->accounts, (s->n + 1) * sizeof (void *));
  s->accounts[s->n++] = a;
  return a;
}

static struct member *
member_of (struct account *a, struct str node)
{
  for (size_t i = 0; i < a->n; i++)
    if (str_is (node, a->members[i].node))
      return &a->members[i];
  a->members = xrealloc (a->members, (a->n + 1) * sizeof *a->members);
  a->members[a->n] = (struct member){ .node = str_dup (node),
                                      .demand_at = -SHR_DEMAND_TIMEOUT_MS };
  return &a->members[a->n++];
}

static void
sync_members (const struct shr *s, struct account *a)
{
  for (size_t i = 0; i < a->n; i++)
    a->members[i].listed = false;
  for (size_t i = 0; i < s->nnodes; i++)
    member_of (a, str_from (s->nodes[i]))->listed = true;
}

void
shr_set_account (struct shr *s, clk_ms now, struct str account,
                 const struct shr_amount *limit, bool home)
{
  struct account *a = find_account (s, account);
  if (a == NULL)
    a = add_account (s, account);
  if (home && !a->home)
    a->grants_from = now + SHR_VALID_MS + SHR_MAX_TRANSIT_MS
                     + START_DELAY_HALF_LIVES * SHR_DECAY_MS;
  a->set = true;
  a->home = home;
  a->limit[RATE] = limit->tokens_per_s;
  a->limit[CONCURRENCY] = limit->concurrency;
  sync_members (s, a);
}

void
shr_drop_unset (struct shr *s)
{
  size_t kept = 0;
  for (size_t i = 0; i < s->n; i++)
    if (s->accounts[i]->set)
      {
        s->accounts[i]->set = false;
        s->accounts[kept++] = s->accounts[i];
      }
    else
      free_account (s->accounts[i]);
  s->n = kept;
}

void
shr_set_nodes (struct shr *s, const struct str *names, size_t n, size_t all)
{
  free_nodes (s);
  s->nodes = xcalloc (n + 1, sizeof (char *));
  s->nnodes = n;
  s->all = all < n ? n : all;
  for (size_t i = 0; i < n; i++)
    s->nodes[i] = str_dup (names[i]);
  for (size_t i = 0; i < s->n; i++)
    sync_members (s, s->accounts[i]);
}

void
shr_report_demand (struct shr *s, clk_ms now, struct str account,
                   struct str node, const struct shr_amount *demand)
{
  struct account *a = find_account (s, account);
  struct member *m;
  if (a == NULL)
    return;
  m = member_of (a, node);
  m->demand_at = now;
  m->limits[RATE].demand = demand->tokens_per_s;
  m->limits[CONCURRENCY].demand = demand->concurrency;
}

static bool
is_reachable (const struct member *m, clk_ms now)
{
  return now - m->demand_at < SHR_DEMAND_TIMEOUT_MS;
}

/** Remaining value of a grant; after expiry it decays towards an even part. */
static double
remaining_grant (double share, clk_ms until, double even, clk_ms now)
{
  if (now < until)
    return share;
  return share > even ? shr_decayed_share (share, even, now - until) : 0;
}

/** Upper bound of what a node may use now. A share does not end with its
    grant: a gateway without a new grant decays from it to an even part, so
    granting the rest at once would exceed the limit. */
static double
max_usage (const struct member *m, int kind, double even, clk_ms now)
{
  const struct node_limit *p = &m->limits[kind];
  double granted = remaining_grant (p->granted, p->granted_until, even, now);

  if (m->demand_at - p->peak_at >= CONFIRM_MS && is_reachable (m, now))
    return granted;
  return fmax (granted, remaining_grant (p->peak, p->peak_until, even, now));
}

/**
 * Max-min fair level: no node gets more than its target, and the rest is
 * divided evenly among the others.
 * @return  the level that uses up @p budget, or infinity if all targets fit
 */
static double
fair_level (const struct account *a, int kind, clk_ms now, double budget)
{
  double level = 0;
  for (;;)
    {
      double used = 0, next = INFINITY;
      size_t open = 0;
      for (size_t i = 0; i < a->n; i++)
        {
          const struct member *m = &a->members[i];
          double want = m->limits[kind].target;
          if (!is_reachable (m, now))
            continue;
          used += fmin (want, level);
          open += want > level;
          if (want > level)
            next = fmin (next, want);
        }
      if (open == 0)
        return INFINITY;
      double rest = budget - used;
      double step = rest / (double)open;
      if (rest <= 0 || step <= next - level)
        return level + fmax (step, 0);
      level = next;
    }
}

static void
set_targets (struct account *a, int kind, clk_ms now, double even)
{
  for (size_t i = 0; i < a->n; i++)
    {
      struct node_limit *p = &a->members[i].limits[kind];
      p->target = fmax (p->demand * HEADROOM, even * IDLE_FRACTION);
    }
}

/** Region's part of the limit minus what nodes without a recent demand
    may use. */
static double
reachable_budget (const struct account *a, int kind, clk_ms now, double even,
                  double limit)
{
  double reserved = 0;
  for (size_t i = 0; i < a->n; i++)
    {
      const struct member *m = &a->members[i];
      if (!is_reachable (m, now))
        reserved
            += fmax (max_usage (m, kind, even, now), m->listed ? even : 0);
    }
  return fmax (limit - reserved, 0);
}

/** A smaller grant may be lost on its way, and the old one stays valid until
    it expires. If other nodes grew before that, the limit would be exceeded,
    so they grow only into what is certainly free. */
static void
set_grants (struct account *a, int kind, clk_ms now, double even,
            double budget, double level)
{
  double total_usage = 0, growth = 0;
  for (size_t i = 0; i < a->n; i++)
    {
      struct node_limit *p = &a->members[i].limits[kind];
      if (!is_reachable (&a->members[i], now))
        continue;
      double peak = max_usage (&a->members[i], kind, even, now);
      p->target = fmin (p->target, level);
      total_usage += peak;
      growth += fmax (p->target - peak, 0);
    }
  double room = fmax (budget - total_usage, 0);
  double fraction = growth > room ? room / growth : 1;
  for (size_t i = 0; i < a->n; i++)
    {
      struct node_limit *p = &a->members[i].limits[kind];
      double peak = max_usage (&a->members[i], kind, even, now);
      if (!is_reachable (&a->members[i], now))
        continue;
      p->granted = p->target <= peak ? p->target
                                     : peak + fraction * (p->target - peak);
      p->granted_until = now + SHR_VALID_MS + SHR_MAX_TRANSIT_MS;
      if (p->granted >= peak)
        {
          p->peak = p->granted;
          p->peak_at = now;
          p->peak_until = p->granted_until;
        }
    }
}

static void
divide_limit (const struct shr *s, struct account *a, int kind, clk_ms now)
{
  double all = s->all ? (double)s->all : 1;
  double limit = a->limit[kind] * (double)s->nnodes / all;
  double even = a->limit[kind] / all;
  if (a->limit[kind] <= 0)
    return;
  set_targets (a, kind, now, even);
  double budget = reachable_budget (a, kind, now, even, limit);
  set_grants (a, kind, now, even, budget, fair_level (a, kind, now, budget));
}

static void
add_grants (struct shr *s, const struct account *a, clk_ms now)
{
  for (size_t i = 0; i < a->n; i++)
    {
      const struct member *m = &a->members[i];
      if (!is_reachable (m, now))
        continue;
      s->grants = xrealloc (s->grants, (s->ngrants + 1) * sizeof *s->grants);
      s->grants[s->ngrants++] = (struct shr_grant){
        .account = str_from (a->name),
        .node = str_from (m->node),
        .amount = { m->limits[RATE].granted, m->limits[CONCURRENCY].granted },
        .valid_ms = SHR_VALID_MS,
      };
    }
}

void
shr_tick (struct shr *s, clk_ms now)
{
  s->ngrants = 0;
  s->next = 0;
  for (size_t i = 0; i < s->n; i++)
    {
      struct account *a = s->accounts[i];
      /* The grants of the previous home are not known here; nearly all
         of the limit may be granted to an unreachable node. Shares that
         are not renewed decay to even parts, and their sum stays within
         the limit; a grant now would be added on top. */
      if (!a->home || now < a->grants_from
          || (a->limit[RATE] <= 0 && a->limit[CONCURRENCY] <= 0))
        continue;
      divide_limit (s, a, RATE, now);
      divide_limit (s, a, CONCURRENCY, now);
      add_grants (s, a, now);
    }
}

bool
shr_next (struct shr *s, struct shr_grant *out)
{
  if (s->next == s->ngrants)
    return false;
  *out = s->grants[s->next++];
  return true;
}
