#include "serve/limit-int.h"

#include <stdlib.h>

#include "base/str.h"

/** A follower that has sent nothing for this long is not counted any more.  A
    follower reports every 100 ms. */
#define FOLLOWER_TIMEOUT_MS ((clk_ms)350)
/** How long demand in a periodic report is valid: until the next report. */
#define PERIODIC_DEMAND_TTL_MS LIM_MAX_WAIT_MS
/** How long demand that is sent for a waiting request is valid: as long as the
    request waits at the follower. */
#define URGENT_DEMAND_TTL_MS ((clk_ms)20)
/** A server without any demand for this long is idle. */
#define IDLE_MS ((clk_ms)1000)
/** Limits the credit that accrues while there is no demand: to the permits of
    this many seconds plus one, times this node's share.  See max_credit(). */
#define BURST_S 0.5

static struct lim_follower *
find_follower (struct lim *l, uint64_t node)
{
  for (size_t i = 0; i < l->nfollowers; i++)
    if (l->followers[i].node == node)
      return &l->followers[i];
  return NULL;
}

static struct lim_follower *
add_follower (struct lim *l, uint64_t node)
{
  struct lim_follower *f;

  l->followers
      = xrealloc (l->followers, (l->nfollowers + 1) * sizeof *l->followers);
  f = &l->followers[l->nfollowers++];
  *f = (struct lim_follower){ .node = node };
  return f;
}

/** Remove the demands that were processed once they are at least half of the
    list. */
static void
compact (struct lim_server *r)
{
  if (2 * r->first_unmet_demand < r->demands->len)
    return;
  g_array_remove_range (r->demands, 0, r->first_unmet_demand);
  r->first_unmet_demand = 0;
}

static void
add_demand (struct lim_server *r, const struct lim_demand *demand)
{
  if (!r->demands)
    r->demands = g_array_new (false, false, sizeof *demand);
  compact (r);
  g_array_append_vals (r->demands, demand, 1);
  r->has_new_demand = true;
}

/** If the follower has recorded another limit, the newer one of the two
    applies.  If this node's limit is the newer one, send it to the other nodes
    with the next update. */
static void
reconcile (struct lim *l, clk_ms now, const struct lim_permits *wanted)
{
  struct lim_update update = { .server = wanted->server,
                               .limited = true,
                               .rate = wanted->rate,
                               .age_ms = wanted->age_ms };
  const struct lim_server *r = lim_find_server (l, wanted->server);

  if (wanted->cold_ms > 0 && wanted->rate < 0)
    return;
  if (r && r->limited && r->rate == wanted->rate)
    return;
  if (!lim_apply_update (l, now, &update))
    g_array_append_val (l->unreported_servers, wanted->server);
}

/** Record that the server is cold, if only the follower knows it. */
static void
learn_cold (struct lim *l, clk_ms now, const struct lim_permits *wanted)
{
  if (wanted->cold_ms > 0 && l->cold_bound.per_s > 0
      && !lim_is_cold (l, wanted->server))
    lim_set_cold (l, now, wanted->server, l->cold_bound.per_s,
                  now + wanted->cold_ms);
}

/** Whether permits may be granted to a follower.  If only this node knows that
    the server is cold, the follower would keep them for too long. */
static bool
may_grant (const struct lim_server *r, const struct lim_permits *wanted)
{
  return r && lim_needs_permit (r) && (!r->cold || wanted->cold_ms > 0);
}

void
lim_on_follower_demand (struct lim *l, clk_ms now, uint64_t node,
                        bool periodic, const struct lim_permits *wanted,
                        size_t n)
{
  struct lim_follower *f = find_follower (l, node);
  struct lim_demand demand
      = { .node = node,
          .expires_at
          = now + (periodic ? PERIODIC_DEMAND_TTL_MS : URGENT_DEMAND_TTL_MS) };

  if (!f)
    f = add_follower (l, node);
  f->last_seen = now;
  for (size_t i = 0; i < n; i++)
    {
      struct lim_server *r;
      reconcile (l, now, &wanted[i]);
      learn_cold (l, now, &wanted[i]);
      r = lim_find_server (l, wanted[i].server);
      demand.n = wanted[i].n;
      demand.cold_until = now + wanted[i].cold_ms;
      if (may_grant (r, &wanted[i]))
        add_demand (r, &demand);
    }
}

void
lim_remove_follower (struct lim *l, uint64_t node)
{
  struct lim_follower *f = find_follower (l, node);

  if (f)
    *f = l->followers[--l->nfollowers];
}

static bool
is_active (const struct lim_follower *f, clk_ms now)
{
  return now - f->last_seen < FOLLOWER_TIMEOUT_MS;
}

size_t
lim_count_followers (const struct lim *l, clk_ms now)
{
  size_t n = 0;

  for (size_t i = 0; i < l->nfollowers; i++)
    n += is_active (&l->followers[i], now);
  return n;
}

void
lim_set_role (struct lim *l, clk_ms now, bool is_granting, unsigned nodes)
{
  struct lim_server *r;
  GHashTableIter iter;

  l->node_count = nodes;
  if (is_granting && !l->is_granting)
    {
      g_hash_table_iter_init (&iter, l->servers);
      while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&r))
        r->credit_at = now;
    }
  l->is_granting = is_granting;
}

/* --- credit ------------------------------------------------------------- */

/** Share of the rate that this node grants: its own share plus the shares of
    its followers. */
static double
rate_share (const struct lim *l, clk_ms now)
{
  double active = 1 + (double)lim_count_followers (l, now);

  return l->node_count > active ? active / l->node_count : 1;
}

/** Maximum credit that accrues while there is no demand. */
static double
max_credit (const struct lim *l, const struct lim_server *r, double share)
{
  double seconds = r->cold ? LIM_COLD_BURST_S : BURST_S;

  return share * (lim_permit_rate (l, r) * seconds + 1);
}

static void
accrue_credit (const struct lim *l, struct lim_server *r, clk_ms now,
               double share)
{
  bool idle = r->last_demand_at == 0 || now - r->last_demand_at > IDLE_MS;
  double max = max_credit (l, r, share);

  if (!idle)
    max = MAX (max, 1);
  r->credit += share * lim_permit_rate (l, r) * (double)(now - r->credit_at)
               / (double)CLK_SECOND;
  r->credit = MIN (r->credit, max);
  r->credit_at = now;
}

/**
 * Deduct up to @p n permits from the credit.  If the maximum credit is less
 * than one permit, one permit is granted when the credit reaches a random
 * threshold between 0 and 1, and the credit is negative afterwards.
 *
 * The threshold is random because many nodes may grant to themselves: with a
 * threshold of 1, all of them would send at the same time.  Raising the
 * maximum to 1 instead would let each node keep a whole permit while idle.
 * @return  number of permits
 */
static unsigned
spend_credit (struct lim *l, struct lim_server *r, double share, unsigned n)
{
  if (max_credit (l, r, share) >= 1)
    n = (double)n < r->credit ? n : (unsigned)MAX (r->credit, 0);
  else
    n = r->credit >= r->threshold ? 1 : 0;
  r->credit -= n;
  if (n > 0)
    r->threshold = rng_unit (&l->rng);
  return n;
}

/* --- demand -------------------------------------------------------------- */

/** Append the demand of this node, unless an earlier one is still valid. */
static void
add_own_demand (const struct lim *l, struct lim_server *r, clk_ms now)
{
  struct lim_demand demand
      = { .node = LIM_SELF, .expires_at = now + URGENT_DEMAND_TTL_MS };

  demand.n = lim_permits_needed (l, r, now);
  if (demand.n == 0 || now < r->own_demand_until)
    return;
  r->own_demand_until = demand.expires_at;
  add_demand (r, &demand);
}

/** The oldest demand that is neither satisfied nor expired, or NULL. */
static struct lim_demand *
next_demand (struct lim_server *r, clk_ms now)
{
  for (; r->demands && r->first_unmet_demand < r->demands->len;
       r->first_unmet_demand++)
    {
      struct lim_demand *w = &g_array_index (r->demands, struct lim_demand,
                                             r->first_unmet_demand);
      if (w->n > 0 && now < w->expires_at)
        return w;
    }
  return NULL;
}

static void
grant_to (struct lim *l, struct lim_server *r, clk_ms now,
          struct lim_demand *demand, unsigned n)
{
  struct lim_permits p = { .node = demand->node,
                           .server = r->server,
                           .n = n,
                           .cold_ms = r->cold ? demand->cold_until - now : 0 };

  l->granted += n;
  l->cold_granted += r->cold ? n : 0;
  demand->n -= n;
  if (demand->node == LIM_SELF)
    lim_store_permits (l, r, now, now, n);
  else
    g_array_append_val (l->permits, p);
}

static void
grant_for_server (struct lim *l, struct lim_server *r, clk_ms now,
                  double share)
{
  struct lim_demand *demand;
  unsigned n;

  if (r->cold)
    share = lim_cold_share (l, now, r, lim_count_followers (l, now));
  accrue_credit (l, r, now, share);
  add_own_demand (l, r, now);
  while ((demand = next_demand (r, now)) != NULL)
    {
      r->last_demand_at = now;
      n = spend_credit (l, r, share, demand->n);
      if (n == 0)
        return;
      grant_to (l, r, now, demand, n);
    }
}

const struct lim_permits *
lim_grant (struct lim *l, clk_ms now, bool all_servers, size_t *n)
{
  double share = rate_share (l, now);
  struct lim_server *r;
  GHashTableIter iter;

  g_array_set_size (l->permits, 0);
  g_hash_table_iter_init (&iter, l->servers);
  while (l->is_granting
         && g_hash_table_iter_next (&iter, NULL, (gpointer *)&r))
    if (lim_needs_permit (r) && (all_servers || r->has_new_demand))
      {
        r->has_new_demand = false;
        grant_for_server (l, r, now, share);
      }
  *n = l->permits->len;
  return (const struct lim_permits *)(void *)l->permits->data;
}
