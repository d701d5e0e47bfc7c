#include "serve/node-int.h"

/*
 * Cold servers: passes the configuration, the list of backend servers and the
 * time to the core, and logs the changes.
 */

void
srv_cold_start (struct srv *s)
{
  s->cold = cld_new (s->limits, s->backends);
  /* The list may be read before the configuration. */
  bks_track_cold (s->backends, s->settings.cold_over > 0);
}

static void
log_changes (struct srv *s, clk_ms now)
{
  struct cld_change x;

  while (cld_next_change (s->cold, now, &x))
    if (x.cold)
      LOG (server_cold, LOG_C ("server", x.server), LOG_I ("ms", x.left_ms),
           LOG_C ("by", cld_source_name (x.source)));
    else
      LOG (server_warm, LOG_C ("server", x.server), LOG_I ("sent", x.sent));
}

void
srv_cold_list_changed (struct srv *s)
{
  clk_ms now = clk_now ();

  if (s->cold_config != s->active_config)
    cld_set_config (s->cold, now, s->active_config, s->settings.cold_over,
                    s->settings.cold_slack);
  s->cold_config = s->active_config;
  cld_tick (s->cold, now);
  log_changes (s, now);
}

void
srv_cold_tick (struct srv *s, clk_ms now)
{
  bool was_limited = lim_any_limited (s->limits);

  cld_tick (s->cold, now);
  log_changes (s, now);
  if (was_limited && !lim_any_limited (s->limits))
    dsp_permits_granted (s->dispatch, now);
}

void
srv_zone_may_be_cold (struct srv *s, struct str zone)
{
  clk_ms now = clk_now ();

  cld_zone_may_be_cold (s->cold, now, zone);
  log_changes (s, now);
}
