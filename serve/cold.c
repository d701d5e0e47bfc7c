#include "serve/cold.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

/**
 * An entry that the leader sends later than this after the end of an
 * evacuation or after a response takes it into account: all nodes learn of the
 * end of an evacuation within this time.
 */
#define LEADER_DELAY_MS CLK_SECOND
/** The next heartbeat after the recorded one may have been written before a
    response or the end of an evacuation; the second one was not. */
#define LATER_HEARTBEATS 2

/** A cold server, or one that was cold. */
struct cold_server
{
  uint64_t process;
  char id[sizeof ((struct cld_change *)0)->server];
  enum cld_source source;
  clk_ms stated_at;      /**< if not CLD_ENTRY: when the source said it */
  int64_t heartbeat;     /**< if not CLD_ENTRY: of the entry at that time */
  clk_ms entry_taken_at; /**< `cold_stated_at` of the entry that was applied */
};

struct cld
{
  struct lim *limits;
  struct bks *backends;
  struct tbl *config;
  bool enabled;
  GHashTable *servers;   /**< struct cold_server by `process` */
  GArray *changes;       /**< struct cld_change, not reported yet */
  uint64_t list_version; /**< of the list that was last compared; 0: none */
};

struct cld *
cld_new (struct lim *limits, struct bks *backends)
{
  struct cld *c = xcalloc (1, sizeof *c);

  c->limits = limits;
  c->backends = backends;
  c->servers = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  c->changes = g_array_new (false, false, sizeof (struct cld_change));
  return c;
}

void
cld_free (struct cld *c)
{
  if (!c)
    return;
  tbl_unref (c->config);
  g_hash_table_destroy (c->servers);
  g_array_free (c->changes, true);
  free (c);
}

/** Whether the servers of the service are limited while they are cold. */
static bool
limits_service (const struct cld *c, const struct tbl_service *t)
{
  return c->enabled && t && t->cold_ms > 0 && t->cold_per_s > 0;
}

void
cld_set_config (struct cld *c, clk_ms now, struct tbl *t, double over,
                double slack)
{
  struct lim_cold_bound bound = { .over = over, .slack = slack };

  tbl_ref (t);
  tbl_unref (c->config);
  c->config = t;
  c->enabled = false;
  for (size_t i = 0; over > 0 && i < t->nservices; i++)
    {
      const struct tbl_service *s = &t->services[i];
      if (s->cold_ms <= 0 || s->cold_per_s <= 0)
        continue;
      c->enabled = true;
      if (bound.per_s <= 0 || s->cold_per_s < bound.per_s)
        bound.per_s = s->cold_per_s;
    }
  c->list_version = 0;
  bks_track_cold (c->backends, c->enabled);
  if (c->enabled)
    lim_configure_cold (c->limits, now, &bound);
}

bool
cld_is_enabled (const struct cld *c)
{
  return c->enabled;
}

/* --- records ------------------------------------------------------------- */

static uint64_t
process_of (const struct bks_entry *e)
{
  return dsp_endpoint_hash (e->id, e->start_time, 0);
}

static struct cold_server *
find_record (const struct cld *c, uint64_t process)
{
  return g_hash_table_lookup (c->servers, &process);
}

static struct cold_server *
get_record (struct cld *c, uint64_t process, struct str id)
{
  struct cold_server *r = find_record (c, process);

  if (r)
    return r;
  r = xcalloc (1, sizeof *r);
  r->process = process;
  snprintf (r->id, sizeof r->id, "%.*s", STR_ARG (id));
  g_hash_table_insert (c->servers, &r->process, r);
  return r;
}

static void
set_cold (struct cld *c, clk_ms now, const struct cold_server *r,
          const struct tbl_service *t, clk_ms until)
{
  struct cld_change change
      = { .cold = true, .source = r->source, .left_ms = until - now };

  if (!lim_set_cold (c->limits, now, r->process, t->cold_per_s, until))
    return;
  snprintf (change.server, sizeof change.server, "%s", r->id);
  g_array_append_val (c->changes, change);
}

/* --- sources ------------------------------------------------------------- */

/** Whether the entry is certain to be newer than what is recorded of the
    server. */
static bool
is_newer (const struct bks_server *s, const struct cold_server *r)
{
  if (r->source == CLD_ENTRY)
    return s->cold_stated_at > r->entry_taken_at;
  if (s->e.acceptance != BKS_ACCEPTANCE_UNKNOWN)
    return s->cold_stated_at >= r->stated_at + LEADER_DELAY_MS;
  return s->cold_stated_at >= r->stated_at
         && s->e.heartbeat >= r->heartbeat + LATER_HEARTBEATS;
}

static void
apply_entry (struct cld *c, clk_ms now, const struct bks_server *s,
             const struct tbl_service *t)
{
  uint64_t process;
  struct cold_server *r;

  if (s->cold_until <= now && g_hash_table_size (c->servers) == 0)
    return;
  process = process_of (&s->e);
  r = find_record (c, process);
  if (!r && s->cold_until <= now)
    return;
  if (r && !is_newer (s, r))
    return;
  r = get_record (c, process, s->e.id);
  if (r->source != CLD_ENTRY)
    bks_mark_cold (c->backends, s->e.id, 0);
  r->source = CLD_ENTRY;
  r->entry_taken_at = s->cold_stated_at;
  if (s->cold_until > now)
    set_cold (c, now, r, t, s->cold_until);
  else if (s->cold_until == 0)
    lim_set_cold (c->limits, now, process, t->cold_per_s, now);
}

void
cld_tick (struct cld *c, clk_ms now)
{
  size_t n;
  const struct bks_server *const *list = bks_list (c->backends, &n);

  if (!c->enabled || c->list_version == bks_version (c->backends))
    return;
  c->list_version = bks_version (c->backends);
  for (size_t i = 0; i < n; i++)
    {
      const struct tbl_service *t
          = tbl_find_service (c->config, list[i]->e.service);
      if (limits_service (c, t))
        apply_entry (c, now, list[i], t);
    }
}

/** Record a cold period that no entry states yet.  It never shortens the one
    that is known, because the response may have waited in its connection. */
static void
mark_cold (struct cld *c, clk_ms now, const struct bks_server *s,
           enum cld_source source, clk_ms cold_ms)
{
  const struct tbl_service *t = tbl_find_service (c->config, s->e.service);
  clk_ms left_ms = lim_cold_left (c->limits, now, process_of (&s->e));
  struct cold_server *r;

  if (!limits_service (c, t))
    return;
  if (cold_ms == 0 || cold_ms > BKS_COLD_MS_MAX)
    cold_ms = t->cold_ms;
  if (source == CLD_RESPONSE && cold_ms <= left_ms)
    return;
  r = get_record (c, process_of (&s->e), s->e.id);
  r->source = source;
  r->stated_at = now;
  r->heartbeat = s->e.heartbeat;
  bks_mark_cold (c->backends, s->e.id, now + MAX (cold_ms, left_ms));
  if (cold_ms > left_ms)
    set_cold (c, now, r, t, now + cold_ms);
}

void
cld_response (struct cld *c, clk_ms now, struct str server, uint64_t process,
              clk_ms cold_ms)
{
  const struct bks_server *s
      = c->enabled && cold_ms > 0 ? bks_find (c->backends, server) : NULL;

  if (s && process_of (&s->e) == process)
    mark_cold (c, now, s, CLD_RESPONSE, cold_ms);
}

void
cld_zone_may_be_cold (struct cld *c, clk_ms now, struct str zone)
{
  size_t n;
  const struct bks_server *const *list = bks_list (c->backends, &n);

  for (size_t i = 0; c->enabled && i < n; i++)
    if (str_eq (list[i]->e.zone, zone))
      mark_cold (c, now, list[i], CLD_EVACUATION, 0);
}

/* --- changes ------------------------------------------------------------- */

static void
collect_warm (struct cld *c, clk_ms now)
{
  struct cld_change change = { 0 };
  const struct cold_server *r;
  uint64_t process;

  while (lim_next_warm (c->limits, now, &process, &change.sent))
    {
      r = find_record (c, process);
      if (!r)
        continue; /* only another node knew that it was cold */
      change.source = r->source;
      snprintf (change.server, sizeof change.server, "%s", r->id);
      g_array_append_val (c->changes, change);
      g_hash_table_remove (c->servers, &process);
    }
}

bool
cld_next_change (struct cld *c, clk_ms now, struct cld_change *out)
{
  collect_warm (c, now);
  if (c->changes->len == 0)
    return false;
  *out = g_array_index (c->changes, struct cld_change, 0);
  g_array_remove_index (c->changes, 0);
  return true;
}

const char *
cld_source_name (enum cld_source source)
{
  static const char *const names[CLD_SOURCES]
      = { "entry", "response", "evacuation" };

  return names[source];
}
