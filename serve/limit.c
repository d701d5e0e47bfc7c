#include "serve/limit-int.h"

#include <stdlib.h>

#include "base/str.h"

/** Lifetime of an unused permit. */
#define PERMIT_TTL_MS CLK_SECOND
/** How long the demand of a request lasts.  By then the request was sent to
    another server or refused. */
#define DEMAND_TTL_MS ((clk_ms)50)
/** If the granting node has a permit available, the grant arrives within this
    time. */
#define GRANT_TIMEOUT_MS ((clk_ms)20)
/** Approximate interval between permit requests, in seconds. */
#define REQUEST_INTERVAL_S 0.1

/* --- creation and release ----------------------------------------------- */

static void
row_free (void *row)
{
  struct lim_row *r = row;

  if (r->demands)
    g_array_free (r->demands, true);
  free (r);
}

struct lim *
lim_new (uint64_t seed)
{
  struct lim *l = xcalloc (1, sizeof *l);

  l->rows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, row_free);
  l->changed = g_array_new (false, false, sizeof (uint64_t));
  l->update_list = g_array_new (false, false, sizeof (struct lim_update));
  l->permits = g_array_new (false, false, sizeof (struct lim_permits));
  l->grants = true;
  l->nodes = 1;
  rng_seed (&l->rng, seed);
  return l;
}

void
lim_free (struct lim *l)
{
  if (!l)
    return;
  free (l->followers);
  g_array_free (l->changed, true);
  g_array_free (l->update_list, true);
  g_array_free (l->permits, true);
  g_hash_table_destroy (l->rows);
  free (l);
}

/* --- table of servers --------------------------------------------------- */

struct lim_row *
lim_find (const struct lim *l, uint64_t server)
{
  return g_hash_table_lookup (l->rows, &server);
}

/** Remove the server with the oldest report, to make room in the table. */
static void
evict_oldest (struct lim *l)
{
  struct lim_row *r, *oldest = NULL;
  GHashTableIter at;

  g_hash_table_iter_init (&at, l->rows);
  while (g_hash_table_iter_next (&at, NULL, (gpointer *)&r))
    if (!oldest || r->reported_at < oldest->reported_at)
      oldest = r;
  if (!oldest)
    return;
  l->limited -= oldest->limited;
  g_hash_table_remove (l->rows, &oldest->server);
}

static struct lim_row *
add_row (struct lim *l, uint64_t server)
{
  struct lim_row *r = xcalloc (1, sizeof *r);

  if (g_hash_table_size (l->rows) >= LIM_MAX_SERVERS)
    evict_oldest (l);
  r->server = server;
  g_hash_table_insert (l->rows, &r->server, r);
  return r;
}

double
lim_effective_rate (const struct lim_row *r)
{
  return MAX (r->rate, LIM_MIN_RATE);
}

unsigned
lim_batch_size (const struct lim_row *r)
{
  double n = r->rate * REQUEST_INTERVAL_S;

  if (n > UINT16_MAX)
    return UINT16_MAX;
  return n > 1 ? (unsigned)n : 1;
}

/* --- limits of servers -------------------------------------------------- */

static enum lim_change
set_limit (struct lim *l, struct lim_row *r, clk_ms at, bool limited,
           double rate)
{
  if (!r->limited)
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
  g_array_append_val (l->changed, r->server);
  return limited ? LIM_SET : LIM_ENDED;
}

/** Find the row of the server.  Adds one only if the response has a limit,
    which may be malformed. @return  NULL if there is no row */
static struct lim_row *
find_or_add_row (struct lim *l, const struct lim_report *report)
{
  struct lim_row *r = lim_find (l, report->server);

  return r || report->kind == LIM_REPORT_NONE ? r
                                              : add_row (l, report->server);
}

static bool
is_same (const struct lim_row *r, bool limited, double rate)
{
  return limited == r->limited && (!limited || rate == r->rate);
}

/** Whether the response replaces the recorded limit: it is either stricter or
    known to be newer. */
static bool
supersedes (const struct lim_report *report, const struct lim_row *r)
{
  bool stricter = report->kind == LIM_REPORT_RATE
                  && (!r->limited || report->rate < r->rate);

  return stricter || report->sent_at >= r->reported_at;
}

enum lim_change
lim_on_report (struct lim *l, clk_ms now, const struct lim_report *report)
{
  struct lim_row *r = find_or_add_row (l, report);
  bool limited = report->kind == LIM_REPORT_RATE;
  bool reported;

  if (!r)
    return LIM_UNCHANGED;
  if (report->kind == LIM_REPORT_MALFORMED)
    {
      reported = r->unreadable;
      r->unreadable = true;
      return reported ? LIM_UNCHANGED : LIM_UNREADABLE;
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
is_stricter (const struct lim_update *update, const struct lim_row *r)
{
  return update->limited && (!r->limited || update->rate < r->rate);
}

bool
lim_apply_update (struct lim *l, clk_ms now, const struct lim_update *update)
{
  struct lim_row *r = lim_find (l, update->server);
  clk_ms at = now - update->age_ms;

  if (!r && !update->limited)
    return false;
  if (!r)
    r = add_row (l, update->server);
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
make_update (const struct lim_row *r, clk_ms now)
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
  for (guint i = 0; i < l->changed->len; i++)
    {
      const struct lim_row *r
          = lim_find (l, g_array_index (l->changed, uint64_t, i));
      struct lim_update update;
      if (!r)
        continue;
      update = make_update (r, now);
      g_array_append_val (l->update_list, update);
    }
  g_array_set_size (l->changed, 0);
  *n = l->update_list->len;
  return (const struct lim_update *)(void *)l->update_list->data;
}

const struct lim_update *
lim_snapshot (struct lim *l, clk_ms now, size_t *n)
{
  struct lim_row *r;
  GHashTableIter at;

  g_array_set_size (l->update_list, 0);
  g_hash_table_iter_init (&at, l->rows);
  while (g_hash_table_iter_next (&at, NULL, (gpointer *)&r))
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
  return l->limited > 0;
}

bool
lim_get_rate (const struct lim *l, uint64_t server, double *rate)
{
  const struct lim_row *r = lim_find (l, server);

  if (!r || !r->limited)
    return false;
  *rate = r->rate;
  return true;
}

/* --- requests of this node ---------------------------------------------- */

static void
expire_permits (struct lim_row *r, clk_ms now)
{
  if (now >= r->permits_until)
    r->permits = 0;
}

static bool
is_wanted (const struct lim_row *r, clk_ms now)
{
  return r->wanted_since != 0 && now - r->wanted_at < DEMAND_TTL_MS;
}

bool
lim_allows (const struct lim *l, clk_ms now, uint64_t server)
{
  const struct lim_row *r = lim_find (l, server);

  return !r || !r->limited || (r->permits > 0 && now < r->permits_until);
}

void
lim_record_demand (struct lim *l, clk_ms now, uint64_t server)
{
  struct lim_row *r = lim_find (l, server);

  if (!r || !r->limited)
    return;
  r->repeated_demand = is_wanted (r, now);
  if (!r->repeated_demand)
    {
      r->wanted_since = now;
      r->has_new_demand = l->has_new_demand = true;
    }
  r->wanted_at = now;
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
  const struct lim_row *r = lim_find (l, server);

  return r && r->limited && is_wanted (r, now)
         && now - r->wanted_since >= GRANT_TIMEOUT_MS;
}

void
lim_use_permit (struct lim *l, clk_ms now, uint64_t server)
{
  struct lim_row *r = lim_find (l, server);

  if (!r || !r->limited)
    return;
  expire_permits (r, now);
  r->permits -= r->permits > 0;
  r->sent++;
  l->sent++;
}

uint64_t
lim_count_sent (const struct lim *l, uint64_t server)
{
  const struct lim_row *r = lim_find (l, server);

  return r ? r->sent : 0;
}

unsigned
lim_permits_needed (const struct lim_row *r, clk_ms now)
{
  unsigned has = now < r->permits_until ? r->permits : 0;
  unsigned batch = lim_batch_size (r);

  return r->limited && is_wanted (r, now) && has < batch ? batch - has : 0;
}

const struct lim_permits *
lim_get_demand (struct lim *l, clk_ms now, bool periodic, size_t *n)
{
  struct lim_row *r;
  GHashTableIter at;

  g_array_set_size (l->permits, 0);
  g_hash_table_iter_init (&at, l->rows);
  while (g_hash_table_iter_next (&at, NULL, (gpointer *)&r))
    {
      struct lim_permits p = { .server = r->server,
                               .n = lim_permits_needed (r, now),
                               .rate = r->rate,
                               .age_ms = now - r->reported_at };
      if (p.n > 0 && (r->repeated_demand || !periodic))
        g_array_append_val (l->permits, p);
    }
  *n = l->permits->len;
  return (const struct lim_permits *)(void *)l->permits->data;
}

/** Delayed grants can arrive at the same time.  The total is capped at one
    batch, so that they don't add up to a burst. */
void
lim_add_permits (struct lim *l, clk_ms now, uint64_t server, unsigned n)
{
  struct lim_row *r = lim_find (l, server);

  if (!r || !r->limited)
    return;
  expire_permits (r, now);
  r->permits = MIN (r->permits + n, lim_batch_size (r));
  r->permits_until = now + PERMIT_TTL_MS;
  r->wanted_since = 0;
}

struct lim_stats
lim_stats (const struct lim *l, clk_ms now)
{
  return (struct lim_stats){ .limited = l->limited,
                             .followers = lim_count_followers (l, now),
                             .sent = l->sent,
                             .granted = l->granted };
}
