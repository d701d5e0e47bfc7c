#include "serve/limit-int.h"

/*
 * Cold servers.  The rate and the lifetime of their permits keep a bound on
 * the requests that arrive in any second:
 *
 * A node that grants the share s of the rate R grants at most
 * s (R t + R LIM_COLD_BURST_S + 1) permits in any t seconds, and their
 * requests are written within LIM_COLD_TTL_MS and arrive within TRANSIT_S
 * after it. The shares of all nodes add up to at most SHARES, so that at most
 * SHARES (R (1 + LIM_COLD_TTL_MS + TRANSIT_S + LIM_COLD_BURST_S) + 1) requests
 * arrive in any second; lim_cold_rate() sets R so that this is the bound.
 *
 * Shares that are too small for one permit at a time are granted at random
 * moments.  If the links of all nodes are cut, half of the rate remains for
 * them (LONE_SHARE), and their requests arrive as in a Poisson process: with a
 * bound of 44 and 18 expected requests (all shares twice), more than 44 come
 * in one second in 10 million.
 */

/** Sum of the shares of all nodes that grant permits.  The share of a node
    counts twice while it has changed to another grantor and the earlier one
    still processes its reports, or while nodes that don't reach the store
    count those that the others count no longer. */
#define SHARES 2.0
/** Variation of the time from writing a request to its arrival. */
#define TRANSIT_S 0.03
/** Part of its share that a node without followers grants if it is too small
    for one permit at a time. */
#define LONE_SHARE 0.5
/** A process that has just started may not know all nodes that share the rate
    for this long.  Meanwhile it grants no permits for cold servers. */
#define START_MS ((clk_ms)2000)
/** Added to the time at which a server becomes warm, and smallest difference
    by which a later time is a new cold period rather than the same one with a
    delayed message. */
#define MARGIN_MS ((clk_ms)250)
/** Grants that arrive later than this after their request were discarded with
    the link. */
#define LATE_GRANT_MS ((clk_ms)2500)

void
lim_configure_cold (struct lim *l, clk_ms now,
                    const struct lim_cold_bound *bound)
{
  l->cold_bound = *bound;
  if (l->cold_grants_from == 0)
    l->cold_grants_from = now + START_MS;
}

double
lim_cold_rate (const struct lim *l, const struct lim_server *r)
{
  const struct lim_cold_bound *b = &l->cold_bound;
  double bound = r->cold_per_s * b->over + b->slack;
  double seconds = 1 + (double)LIM_COLD_TTL_MS / (double)CLK_SECOND + TRANSIT_S
                   + LIM_COLD_BURST_S;
  double rate = (bound / SHARES - 1) / seconds;

  return CLAMP (rate, 0, r->cold_per_s);
}

double
lim_cold_share (const struct lim *l, clk_ms now, const struct lim_server *r,
                size_t followers)
{
  double active = 1 + (double)followers;
  double share = l->node_count > active ? active / l->node_count : 1;
  double burst = lim_permit_rate (l, r) * LIM_COLD_BURST_S + 1;

  if (now < l->cold_grants_from)
    return 0;
  return followers == 0 && share * burst < 1 ? share * LONE_SHARE : share;
}

/* --- cold periods -------------------------------------------------------- */

bool
lim_is_cold (const struct lim *l, uint64_t server)
{
  const struct lim_server *r = l->cold ? lim_find_server (l, server) : NULL;

  return r && r->cold;
}

clk_ms
lim_cold_left (const struct lim *l, clk_ms now, uint64_t server)
{
  const struct lim_server *r = l->cold ? lim_find_server (l, server) : NULL;

  if (!r || !r->cold)
    return 0;
  return MAX (r->cold_until - now, 1);
}

/** lim_cold_requested_at() compares with one earlier time only.  After a
   second change in short succession, all late grants must have arrived first.
 */
static void
extend (struct lim_server *r, clk_ms now, clk_ms until)
{
  if (r->earlier_until && now - r->extended_at < LATE_GRANT_MS)
    r->cold_permits_from = now + LATE_GRANT_MS;
  r->earlier_until = r->cold_until;
  r->extended_at = now;
  r->cold_until = until;
}

static void
become_cold (struct lim *l, struct lim_server *r, clk_ms now, clk_ms until)
{
  if (!r->limited)
    {
      r->sent = 0;
      r->threshold = rng_unit (&l->rng);
      r->credit = 0;
      r->credit_at = now;
    }
  r->credit = MIN (r->credit, 0);
  r->permits = 0;
  r->demand_since = 0;
  r->cold = true;
  l->cold++;
  extend (r, now, until);
}

bool
lim_set_cold (struct lim *l, clk_ms now, uint64_t server, double per_s,
              clk_ms until)
{
  struct lim_server *r = lim_find_server (l, server);
  bool was_warm = !r || !r->cold;

  if (until <= now)
    {
      if (!was_warm)
        r->cold_until = MIN (r->cold_until, now);
      return false;
    }
  until += MARGIN_MS;
  if (!r)
    r = lim_add_server (l, server);
  r->cold_per_s = per_s;
  if (was_warm)
    become_cold (l, r, now, until);
  else if (until > r->cold_until + MARGIN_MS)
    extend (r, now, until);
  else if (until < r->cold_until)
    r->cold_until = until;
  return was_warm;
}

bool
lim_next_warm (struct lim *l, clk_ms now, uint64_t *server, uint64_t *sent)
{
  struct lim_server *r;
  GHashTableIter iter;

  if (l->cold == 0)
    return false;
  g_hash_table_iter_init (&iter, l->servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&r))
    if (r->cold && now >= r->cold_until)
      {
        r->cold = false;
        l->cold--;
        r->permits = 0;
        r->credit = MIN (r->credit, 0);
        *server = r->server;
        *sent = r->sent;
        return true;
      }
  return false;
}

/* --- lifetime of permits ------------------------------------------------- */

/**
 * The time for which the server is still cold decreases by 1 ms in each ms, so
 * it identifies the moment of the request, and less the time that the request
 * waited, the moment of the grant or an earlier one.  After the end of the
 * cold period was set to a later time, the same value may stand for two
 * moments; then the grant is ignored.
 */
bool
lim_cold_granted_at (const struct lim_server *r, clk_ms now, clk_ms cold_ms,
                     clk_ms *granted_at)
{
  clk_ms at = r->cold_until - cold_ms;
  clk_ms earlier = r->earlier_until - cold_ms;
  bool ambiguous = r->earlier_until
                   && earlier < r->extended_at + LIM_MAX_WAIT_MS
                   && now - earlier < LATE_GRANT_MS;

  *granted_at = at;
  return cold_ms > 0 && now >= r->cold_permits_from && !ambiguous && at <= now
         && at >= r->extended_at && now - at < LIM_COLD_TTL_MS;
}
