#include "serve/node-int.h"

#include <stdlib.h>

#include "serve/evacuation-kept.h"

/*
 * Evacuated availability zones in the node process: feeds what the store and
 * the other nodes report to the core, applies changes, and logs them.
 */

/** Interval at which ignored zones are logged: each read finds them again. */
#define IGNORED_LOG_MS (60 * CLK_SECOND)

/** An evacuated zone, as logged. */
struct logged_zone
{
  char *name;
  bool servers_checked; /* it was checked whether it has servers */
};

struct srv_evacuation
{
  struct logged_zone zones[EVC_MAX_ZONES];
  size_t n;
  struct evc_ignored ignored; /* as last logged */
  clk_ms next_ignored_at;     /* when ignored zones may be logged again */
  struct buf source;          /* of the change that is being logged */
};

/* --- log --------------------------------------------------------------- */

static bool
is_logged (const struct srv_evacuation *g, struct str zone)
{
  for (size_t i = 0; i < g->n; i++)
    if (str_is (zone, g->zones[i].name))
      return true;
  return false;
}

static void
forget_ended (struct srv *s)
{
  struct srv_evacuation *g = s->evacuation_log;
  size_t kept = 0;

  for (size_t i = 0; i < g->n; i++)
    if (evc_is_evacuated (s->evacuations, str_from (g->zones[i].name)))
      g->zones[kept++] = g->zones[i];
    else
      free (g->zones[i].name);
  g->n = kept;
}

static void
log_begun (struct srv *s, const struct evc_state *state, struct str source)
{
  struct srv_evacuation *g = s->evacuation_log;

  for (size_t i = 0; i < state->n; i++)
    {
      struct str zone = state->zones[i];
      if (is_logged (g, zone) || g->n == EVC_MAX_ZONES)
        continue;
      g->zones[g->n++] = (struct logged_zone){ .name = str_dup (zone) };
      LOG (evacuation_begun, LOG_S ("zone", zone),
           LOG_I ("revision", state->revision), LOG_S ("source", source),
           LOG_I ("servers", bks_count_in_zone (s->backends, zone)));
    }
}

static void
log_ignored (struct srv *s, struct str source)
{
  struct srv_evacuation *g = s->evacuation_log;
  struct evc_ignored now = evc_ignored (s->evacuations);

  if ((now.unnamed == g->ignored.unnamed
       && now.too_many == g->ignored.too_many)
      || clk_now () < g->next_ignored_at)
    return;
  LOG (evacuations_ignored, LOG_S ("source", source),
       LOG_I ("unnamed", now.unnamed - g->ignored.unnamed),
       LOG_I ("too_many", now.too_many - g->ignored.too_many),
       LOG_I ("limit", EVC_MAX_ZONES));
  g->ignored = now;
  g->next_ignored_at = clk_now () + IGNORED_LOG_MS;
}

/** Log evacuated zones without servers, once each.  Only the leader has the
    complete list of servers. */
static void
log_zones_without_servers (struct srv *s)
{
  struct srv_evacuation *g = s->evacuation_log;

  if (!srv_is_leader (s) || !bks_has_list (s->backends))
    return;
  for (size_t i = 0; i < g->n; i++)
    {
      struct str zone = str_from (g->zones[i].name);
      if (!g->zones[i].servers_checked
          && bks_count_in_zone (s->backends, zone) == 0)
        LOG (evacuation_without_servers, LOG_S ("zone", zone));
      g->zones[i].servers_checked = true;
    }
}

/* --- changes ----------------------------------------------------------- */

void
srv_evacuations_applied (struct srv *s, bool changed, struct str source)
{
  const struct evc_state state = evc_state (s->evacuations);
  const struct evc_state kept = evc_kept_state (s->evacuations);
  struct str zone;

  log_ignored (s, source);
  if (changed)
    {
      buf_clear (&s->evacuation_log->source);
      buf_add (&s->evacuation_log->source, source);
      /* Before the endpoints, which get requests at once. */
      while (evc_next_ended (s->evacuations, &zone))
        srv_evacuation_ended (s, zone);
      srv_endpoints_changed (s);
      log_begun (s, &state, source);
      log_begun (s, &kept, source);
      forget_ended (s);
      if (bks_has_list (s->backends))
        srv_leader_servers_changed (s);
    }
  srv_peers_send_evacuations (s);
}

/** Name of the zone in a key; the key may be any key of the operators.
    @retval false  it is not the key of an evacuation */
static bool
parse_key (const struct srv *s, struct str key, struct str *zone)
{
  struct str prefix = str_from (s->adapter->evacuation_prefix);

  *zone = str_starts (key, prefix) ? str_skip (key, prefix.len) : STR_EMPTY;
  return str_starts (key, prefix);
}

void
srv_evacuations_read (struct srv *s, const struct store_result *r)
{
  struct evc_state state = { .store_era = r->era, .revision = r->revision };
  struct str *zones;

  /* A response without a revision is not the content of the store. */
  if (!s->evacuations || r->status != STORE_OK || r->revision <= 0)
    return;
  zones = xcalloc (r->nkvs + 1, sizeof *zones);
  for (size_t i = 0; i < r->nkvs; i++)
    state.n += parse_key (s, r->kvs[i].key, &zones[state.n]);
  state.zones = zones;
  srv_evacuations_applied (
      s, evc_apply_state (s->evacuations, clk_now (), &state), STR ("read"));
  free (zones);
}

void
srv_evacuations_watched (struct srv *s, const struct store_watch_event *ev,
                         size_t n)
{
  bool changed = false;
  struct str zone;

  if (!s->evacuations)
    return;
  for (size_t i = 0; i < n; i++)
    if (parse_key (s, ev[i].kv.key, &zone))
      changed |= evc_apply_change (s->evacuations, clk_now (),
                                   store_era (s->store), ev[i].kv.mod_rev,
                                   zone, !ev[i].deleted);
  srv_evacuations_applied (s, changed, STR ("watch"));
}

struct str
srv_evacuation_source (const struct srv *s)
{
  return buf_str (&s->evacuation_log->source);
}

bool
srv_evacuations_need_read (const struct srv *s, clk_ms now)
{
  return s->evacuations && evc_is_kept_overdue (s->evacuations, now);
}

void
srv_evacuation_tick (struct srv *s, clk_ms now)
{
  (void)now;
  if (s->evacuations)
    log_zones_without_servers (s);
}

void
srv_evacuation_start (struct srv *s)
{
  if (s->settings.evacuation_ms <= 0)
    return;
  s->evacuations = evc_new ();
  s->evacuation_log = xcalloc (1, sizeof *s->evacuation_log);
}
