#include "serve/limit-int.h"

#include <stdlib.h>

#include "base/str.h"

/** Lifetime of an unused permit. */
#define PERMIT_TTL_MS CLK_SECOND
/** How long the demand of a request lasts.  After that the request was sent to
    another server or refused. */
#define DEMAND_TTL_MS ((clk_ms)50)
/** If the grantor has a permit available, the grant arrives within this
    time. */
#define GRANT_TIMEOUT_MS ((clk_ms)20)
/** Messages that waited in the sockets during a pause of this process are read
    within this time. */
#define RESUME_MS ((clk_ms)50)
/** Approximate interval between permit requests, in seconds. */
#define REQUEST_INTERVAL_S 0.1

/* --- creation and release ----------------------------------------------- */

static void
free_server (void *row)
{
  struct lim_server *r = row;

  if (r->demands)
    g_array_free (r->demands, true);
  free (r);
}

struct lim *
lim_new (uint64_t seed)
{
  struct lim *l = xcalloc (1, sizeof *l);

  l->servers
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_server);
  l->unreported_servers = g_array_new (false, false, sizeof (uint64_t));
  l->update_list = g_array_new (false, false, sizeof (struct lim_update));
  l->permits = g_array_new (false, false, sizeof (struct lim_permits));
  l->is_granting = true;
  l->node_count = 1;
  rng_seed (&l->rng, seed);
  return l;
}

void
lim_free (struct lim *l)
{
  if (!l)
    return;
  free (l->followers);
  g_array_free (l->unreported_servers, true);
  g_array_free (l->update_list, true);
  g_array_free (l->permits, true);
  g_hash_table_destroy (l->servers);
  free (l);
}

/* --- table of servers --------------------------------------------------- */

struct lim_server *
lim_find_server (const struct lim *l, uint64_t server)
{
  return g_hash_table_lookup (l->servers, &server);
}

/** Whether @p a rather than @p b is removed to make room in the table: the one
    with the older report, and a cold server only after all others. */
static bool
is_evicted_first (const struct lim_server *a, const struct lim_server *b)
{
  if (a->cold != b->cold)
    return b->cold;
  return a->reported_at < b->reported_at;
}

static void
evict_oldest (struct lim *l)
{
  struct lim_server *r, *oldest = NULL;
  GHashTableIter iter;

  g_hash_table_iter_init (&iter, l->servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&r))
    if (!oldest || is_evicted_first (r, oldest))
      oldest = r;
  if (!oldest)
    return;
  l->limited -= oldest->limited;
  l->cold -= oldest->cold;
  g_hash_table_remove (l->servers, &oldest->server);
}

struct lim_server *
lim_add_server (struct lim *l, uint64_t server)
{
  struct lim_server *r = xcalloc (1, sizeof *r);

  if (g_hash_table_size (l->servers) >= LIM_MAX_SERVERS)
    evict_oldest (l);
  r->server = server;
  g_hash_table_insert (l->servers, &r->server, r);
  return r;
}

bool
lim_needs_permit (const struct lim_server *r)
{
  return r->limited || r->cold;
}

double
lim_permit_rate (const struct lim *l, const struct lim_server *r)
{
  double rate = MAX (r->rate, LIM_MIN_RATE);

  if (!r->cold)
    return rate;
  return r->limited ? MIN (rate, lim_cold_rate (l, r)) : lim_cold_rate (l, r);
}

unsigned
lim_batch_size (const struct lim *l, const struct lim_server *r)
{
  double n = (r->cold ? lim_permit_rate (l, r) : r->rate) * REQUEST_INTERVAL_S;

  if (n > UINT16_MAX)
    return UINT16_MAX;
  return n > 1 ? (unsigned)n : 1;
}

/* --- limits of servers -------------------------------------------------- */

static enum lim_change
set_limit (struct lim *l, struct lim_server *r, clk_ms at, bool limited,
           double rate)
{
  if (!lim_needs_permit (r))
    {
      r->sent = 0;
      r->permits = 0;
      r->credit = 0;
      r->threshold = rng_unit (&l->rng);
      r->credit_at = at;
    }
  l->limited += limited;
  l->limited -= r->limited;
  r->limited = limited;
  r->rate = rate;
  r->reported_at = at;
  g_array_append_val (l->unreported_servers, r->server);
  return limited ? LIM_SET : LIM_ENDED;
}

/** Find the server in the table.  Add it only if the response has a limit,
    which may be malformed. @return  NULL if it is not in the table */
static struct lim_server *
find_or_add_server (struct lim *l, const struct lim_report *report)
{
  struct lim_server *r = lim_find_server (l, report->server);

  return r || report->kind == LIM_REPORT_NONE
             ? r
             : lim_add_server (l, report->server);
}

static bool
is_same (const struct lim_server *r, bool limited, double rate)
{
  return limited == r->limited && (!limited || rate == r->rate);
}

/** Whether the response replaces the recorded limit: it is either stricter or
    known to be newer. */
static bool
supersedes (const struct lim_report *report, const struct lim_server *r)
{
  bool stricter = report->kind == LIM_REPORT_RATE
                  && (!r->limited || report->rate < r->rate);

  return stricter || report->sent_at >= r->reported_at;
}

enum lim_change
lim_on_report (struct lim *l, clk_ms now, const struct lim_report *report)
{
  struct lim_server *r = find_or_add_server (l, report);
  bool limited = report->kind == LIM_REPORT_RATE;
  bool reported;

  if (!r)
    return LIM_UNCHANGED;
  if (report->kind == LIM_REPORT_MALFORMED)
    {
      reported = r->malformed_logged;
      r->malformed_logged = true;
      return reported ? LIM_UNCHANGED : LIM_MALFORMED;
    }
  if (is_same (r, limited, report->rate))
    {
      r->reported_at = now;
      return LIM_UNCHANGED;
    }
  if (!supersedes (report, r))
    return LIM_UNCHANGED;
  return set_limit (l, r, now, limited, report->rate);
}

static bool
is_stricter (const struct lim_update *update, const struct lim_server *r)
{
  return update->limited && (!r->limited || update->rate < r->rate);
}

bool
lim_apply_update (struct lim *l, clk_ms now, const struct lim_update *update)
{
  struct lim_server *r = lim_find_server (l, update->server);
  clk_ms at = now - update->age_ms;

  if (!r && !update->limited)
    return false;
  if (!r)
    r = lim_add_server (l, update->server);
  if (is_same (r, update->limited, update->rate))
    return false;
  /* Of two updates with the same timestamp the stricter one applies, so that
     all nodes arrive at the same limit. */
  if (at < r->reported_at
      || (at == r->reported_at && !is_stricter (update, r)))
    return false;
  set_limit (l, r, at, update->limited, update->rate);
  return true;
}

static struct lim_update
make_update (const struct lim_server *r, clk_ms now)
{
  return (struct lim_update){ .server = r->server,
                              .limited = r->limited,
                              .rate = r->rate,
                              .age_ms = now > r->reported_at
                                            ? now - r->reported_at
                                            : 0 };
}

const struct lim_update *
lim_updates (struct lim *l, clk_ms now, size_t *n)
{
  g_array_set_size (l->update_list, 0);
  for (guint i = 0; i < l->unreported_servers->len; i++)
    {
      const struct lim_server *r = lim_find_server (
          l, g_array_index (l->unreported_servers, uint64_t, i));
      struct lim_update update;
      if (!r)
        continue;
      update = make_update (r, now);
      g_array_append_val (l->update_list, update);
    }
  g_array_set_size (l->unreported_servers, 0);
  *n = l->update_list->len;
  return (const struct lim_update *)(void *)l->update_list->data;
}

const struct lim_update *
lim_snapshot (struct lim *l, clk_ms now, size_t *n)
{
  struct lim_server *r;
  GHashTableIter iter;

  g_array_set_size (l->update_list, 0);
  g_hash_table_iter_init (&iter, l->servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&r))
    if (r->limited)
      {
        struct lim_update update = make_update (r, now);
        g_array_append_val (l->update_list, update);
      }
  *n = l->update_list->len;
  return (const struct lim_update *)(void *)l->update_list->data;
}

bool
lim_any_limited (const struct lim *l)
{
  return l->limited > 0 || l->cold > 0;
}

bool
lim_get_rate (const struct lim *l, uint64_t server, double *rate)
{
  const struct lim_server *r = lim_find_server (l, server);

  if (!r || !lim_needs_permit (r))
    return false;
  *rate = r->cold ? lim_permit_rate (l, r) : r->rate;
  return true;
}

/* --- requests of this node ---------------------------------------------- */

static void
expire_permits (struct lim_server *r, clk_ms now)
{
  if (now >= r->permits_expire_at)
    r->permits = 0;
}

static bool
has_demand (const struct lim_server *r, clk_ms now)
{
  return r->demand_since != 0 && now - r->demand_at < DEMAND_TTL_MS;
}

bool
lim_allows (const struct lim *l, clk_ms now, uint64_t server)
{
  const struct lim_server *r = lim_find_server (l, server);

  return !r || !lim_needs_permit (r)
         || (r->permits > 0 && now < r->permits_expire_at);
}

void
lim_record_demand (struct lim *l, clk_ms now, uint64_t server)
{
  struct lim_server *r = lim_find_server (l, server);

  if (!r || !lim_needs_permit (r))
    return;
  r->repeated_demand = has_demand (r, now);
  if (!r->repeated_demand)
    r->demand_since = now;
  if (!r->repeated_demand
      || (r->cold && now - r->requested_at >= GRANT_TIMEOUT_MS))
    {
      r->requested_at = now;
      r->has_new_demand = l->has_new_demand = true;
    }
  r->demand_at = now;
}

bool
lim_poll_new_demand (struct lim *l)
{
  bool more = l->has_new_demand;

  l->has_new_demand = false;
  return more;
}

bool
lim_is_exhausted (const struct lim *l, clk_ms now, uint64_t server)
{
  const struct lim_server *r = lim_find_server (l, server);

  return r && lim_needs_permit (r) && has_demand (r, now)
         && now - r->demand_since >= GRANT_TIMEOUT_MS;
}

clk_ms
lim_use_permit (struct lim *l, clk_ms now, uint64_t server)
{
  struct lim_server *r = lim_find_server (l, server);
  bool permitted;

  if (!r || !lim_needs_permit (r))
    return 0;
  expire_permits (r, now);
  permitted = r->permits > 0;
  r->permits -= permitted;
  r->sent++;
  l->sent += r->limited;
  l->cold_sent += r->cold;
  return permitted ? r->permits_expire_at : now;
}

bool
lim_may_write (const struct lim *l, clk_ms now, uint64_t server,
               clk_ms permit_expires_at)
{
  return l->cold == 0 || !lim_is_cold (l, server) || now < permit_expires_at;
}

uint64_t
lim_count_sent (const struct lim *l, uint64_t server)
{
  const struct lim_server *r = lim_find_server (l, server);

  return r ? r->sent : 0;
}

unsigned
lim_permits_needed (const struct lim *l, const struct lim_server *r,
                    clk_ms now)
{
  unsigned has = now < r->permits_expire_at ? r->permits : 0;
  unsigned batch = lim_batch_size (l, r);

  return lim_needs_permit (r) && has_demand (r, now) && has < batch
             ? batch - has
             : 0;
}

const struct lim_permits *
lim_get_demand (struct lim *l, clk_ms now, bool periodic, size_t *n)
{
  struct lim_server *r;
  GHashTableIter iter;

  g_array_set_size (l->permits, 0);
  g_hash_table_iter_init (&iter, l->servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&r))
    {
      struct lim_permits p = { .server = r->server,
                               .n = lim_permits_needed (l, r, now),
                               .rate = r->rate,
                               .age_ms = now - r->reported_at,
                               .cold_ms = lim_cold_left (l, now, r->server) };
      if (!r->limited)
        {
          p.rate = -1;
          p.age_ms = 0;
        }
      if (p.n > 0 && (!periodic || (r->repeated_demand && !r->cold)))
        g_array_append_val (l->permits, p);
    }
  *n = l->permits->len;
  return (const struct lim_permits *)(void *)l->permits->data;
}

/** Permits are stored with one expiry.  For a cold server it is the earliest
   of them, as none may be used late. */
static clk_ms
expiry_of (const struct lim_server *r, clk_ms now, clk_ms granted_at)
{
  clk_ms at = granted_at + LIM_COLD_TTL_MS;

  if (!r->cold)
    return now + PERMIT_TTL_MS;
  return r->permits > 0 ? MIN (r->permits_expire_at, at) : at;
}

/** Delayed grants can arrive at the same time.  The total is capped at one
    batch, so that they don't add up to a burst. */
void
lim_store_permits (const struct lim *l, struct lim_server *r, clk_ms now,
                   clk_ms granted_at, unsigned n)
{
  expire_permits (r, now);
  r->permits_expire_at = expiry_of (r, now, granted_at);
  r->permits = MIN (r->permits + n, lim_batch_size (l, r));
  r->demand_since = 0;
}

void
lim_add_permits (struct lim *l, clk_ms now, uint64_t server, unsigned n)
{
  struct lim_server *r = lim_find_server (l, server);

  if (r && r->limited && !r->cold && now >= l->grants_ignored_until)
    lim_store_permits (l, r, now, now, n);
}

void
lim_add_cold_permits (struct lim *l, clk_ms now, uint64_t server, unsigned n,
                      clk_ms cold_ms)
{
  struct lim_server *r = lim_find_server (l, server);
  clk_ms granted_at;

  if (r && r->cold && now >= l->grants_ignored_until
      && lim_cold_granted_at (r, now, cold_ms, &granted_at))
    lim_store_permits (l, r, now, granted_at, n);
}

void
lim_resumed (struct lim *l, clk_ms now)
{
  struct lim_server *r;
  GHashTableIter iter;

  l->grants_ignored_until = now + RESUME_MS;
  g_hash_table_iter_init (&iter, l->servers);
  while (g_hash_table_iter_next (&iter, NULL, (gpointer *)&r))
    r->permits = 0;
}

struct lim_stats
lim_stats (const struct lim *l, clk_ms now)
{
  return (struct lim_stats){ .limited = l->limited,
                             .cold = l->cold,
                             .followers = lim_count_followers (l, now),
                             .sent = l->sent,
                             .granted = l->granted,
                             .cold_sent = l->cold_sent,
                             .cold_granted = l->cold_granted };
}
