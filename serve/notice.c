#include "serve/node-int.h"

/*
 * Availability notices in responses of backend servers: to requests, orders
 * and probes alike.
 */

void
srv_notice_received (struct srv *s, const struct srv_notice_source *from,
                     const struct avl_notice *notice)
{
  struct avl_change change;

  cld_response (s->cold, clk_now (), from->server, from->process,
                notice->cold_ms);
  if (!notice->leaving && !notice->malformed && notice->retry_after_ms == 0)
    return;
  change = avl_on_notice (s->avail, clk_now (), from->process, notice);
  if (change.paused)
    LOG (server_asks_pause, LOG_S ("server", from->server),
         LOG_I ("ms", notice->retry_after_ms),
         LOG_I ("paused_for_ms", change.paused_for),
         LOG_I ("sent", change.sent), LOG_C ("to", from->what),
         LOG_S ("id", from->id));
  if (change.leaving)
    LOG (server_leaving, LOG_S ("server", from->server),
         LOG_C ("to", from->what), LOG_S ("id", from->id));
  if (change.malformed)
    LOG (server_pause_unreadable, LOG_S ("server", from->server),
         LOG_C ("to", from->what), LOG_S ("id", from->id));
}

bool
srv_may_call_server (struct srv *s, uint64_t process)
{
  clk_ms now;

  if (avl_is_empty (s->avail))
    return true;
  now = clk_now ();
  if (avl_paused_until (s->avail, now, process))
    return false;
  avl_count_sent (s->avail, now, process);
  return true;
}
