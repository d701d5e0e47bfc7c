#include "route/share.h"

#include <math.h>
#include <stdlib.h>

/* Factor on a node's recent demand: it may grow by this much within the next
   second without refusals. */
#define HEADROOM 1.25
/* Fraction of the even part that an idle node gets, so that its first requests
   are not refused before the next division. */
#define IDLE_FRACTION 0.1
/* A node that still reports this long after its highest grant has received a
   smaller one, sent a second later over the same link: had the link lost it,
   the heartbeat would have closed the link after three seconds of silence. */
#define CONFIRM_MS ((clk_ms)4500)
/* Half-lives until an expired share counts as decayed to the even part. */
#define START_DELAY_HALF_LIVES 11

enum
{
  RATE,
  CONCURRENCY,
  LIMIT_KINDS
};

/** A node's demand for and grants of one limit. */
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

struct node_share
{
  char *node;
  bool listed; /**< in the last shr_set_nodes() */
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
  struct node_share *node_shares;
  size_t n;
};

struct shr
{
  struct account **accounts;
  size_t n;
  char **nodes;
  size_t nnodes;
  size_t all_nodes;
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
    free (a->node_shares[i].node);
  free (a->node_shares);
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

static struct node_share *
get_node_share (struct account *a, struct str node)
{
  for (size_t i = 0; i < a->n; i++)
    if (str_is (node, a->node_shares[i].node))
      return &a->node_shares[i];
  a->node_shares
      = xrealloc (a->node_shares, (a->n + 1) * sizeof *a->node_shares);
  a->node_shares[a->n]
      = (struct node_share){ .node = str_dup (node),
                             .demand_at = -SHR_DEMAND_TIMEOUT_MS };
  return &a->node_shares[a->n++];
}

static void
sync_node_shares (const struct shr *s, struct account *a)
{
  for (size_t i = 0; i < a->n; i++)
    a->node_shares[i].listed = false;
  for (size_t i = 0; i < s->nnodes; i++)
    get_node_share (a, str_from (s->nodes[i]))->listed = true;
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
  sync_node_shares (s, a);
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
  s->all_nodes = all < n ? n : all;
  for (size_t i = 0; i < n; i++)
    s->nodes[i] = str_dup (names[i]);
  for (size_t i = 0; i < s->n; i++)
    sync_node_shares (s, s->accounts[i]);
}

void
shr_report_demand (struct shr *s, clk_ms now, struct str account,
                   struct str node, const struct shr_amount *demand)
{
  struct account *a = find_account (s, account);
  struct node_share *ns;
  if (a == NULL)
    return;
  ns = get_node_share (a, node);
  ns->demand_at = now;
  ns->limits[RATE].demand = demand->tokens_per_s;
  ns->limits[CONCURRENCY].demand = demand->concurrency;
}

static bool
is_reachable (const struct node_share *ns, clk_ms now)
{
  return now - ns->demand_at < SHR_DEMAND_TIMEOUT_MS;
}

/** Remaining value of a grant, which decays to the even part after expiry. */
static double
remaining_grant (double share, clk_ms until, double even, clk_ms now)
{
  if (now < until)
    return share;
  return share > even ? shr_decayed_share (share, even, now - until) : 0;
}

/** Upper bound of what a node may use now. A gateway continues to use an
 * expired share, which decays to the even part, so granting the rest at once
 * would exceed the limit. */
static double
max_usage (const struct node_share *ns, int kind, double even, clk_ms now)
{
  const struct node_limit *p = &ns->limits[kind];
  double granted = remaining_grant (p->granted, p->granted_until, even, now);

  if (ns->demand_at - p->peak_at >= CONFIRM_MS && is_reachable (ns, now))
    return granted;
  return fmax (granted, remaining_grant (p->peak, p->peak_until, even, now));
}

/**
 * Max-min fair division: each node gets its target, but at most the level.
 * @return  the level that uses up @p budget, or infinity if all targets fit
 */
static double
fair_level (const struct account *a, int kind, clk_ms now, double budget)
{
  double level = 0;
  for (;;)
    {
      double used = 0, next = INFINITY;
      size_t unsatisfied = 0;
      for (size_t i = 0; i < a->n; i++)
        {
          const struct node_share *ns = &a->node_shares[i];
          double want = ns->limits[kind].target;
          if (!is_reachable (ns, now))
            continue;
          used += fmin (want, level);
          unsatisfied += want > level;
          if (want > level)
            next = fmin (next, want);
        }
      if (unsatisfied == 0)
        return INFINITY;
      double rest = budget - used;
      double step = rest / (double)unsatisfied;
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
      struct node_limit *p = &a->node_shares[i].limits[kind];
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
      const struct node_share *ns = &a->node_shares[i];
      if (!is_reachable (ns, now))
        reserved
            += fmax (max_usage (ns, kind, even, now), ns->listed ? even : 0);
    }
  return fmax (limit - reserved, 0);
}

/** A reduced grant may be lost, and the old one stays valid until it expires.
    So other nodes get more only from what is certainly free; otherwise the
    limit would be exceeded. */
static void
set_grants (struct account *a, int kind, clk_ms now, double even,
            double budget, double level)
{
  double total_usage = 0, growth = 0;
  for (size_t i = 0; i < a->n; i++)
    {
      struct node_limit *p = &a->node_shares[i].limits[kind];
      if (!is_reachable (&a->node_shares[i], now))
        continue;
      double peak = max_usage (&a->node_shares[i], kind, even, now);
      p->target = fmin (p->target, level);
      total_usage += peak;
      growth += fmax (p->target - peak, 0);
    }
  double room = fmax (budget - total_usage, 0);
  double fraction = growth > room ? room / growth : 1;
  for (size_t i = 0; i < a->n; i++)
    {
      struct node_limit *p = &a->node_shares[i].limits[kind];
      double peak = max_usage (&a->node_shares[i], kind, even, now);
      if (!is_reachable (&a->node_shares[i], now))
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
  double all = s->all_nodes ? (double)s->all_nodes : 1;
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
      const struct node_share *ns = &a->node_shares[i];
      if (!is_reachable (ns, now))
        continue;
      s->grants = xrealloc (s->grants, (s->ngrants + 1) * sizeof *s->grants);
      s->grants[s->ngrants++] = (struct shr_grant){
        .account = str_from (a->name),
        .node = str_from (ns->node),
        .amount
        = { ns->limits[RATE].granted, ns->limits[CONCURRENCY].granted },
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
      /* The previous home may have granted nearly all of the limit to an
         unreachable node. Shares that are not renewed decay to even parts,
         whose sum is the limit; a grant now would be added to it. */
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
