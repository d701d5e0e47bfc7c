#include "front/callers.h"

/*
 * Availability notices of backend servers (pause, shutdown) in responses to
 * requests and state probes.
 */

void
gw_log_notice (struct str server, const struct avl_notice *notice)
{
  if (notice->retry_after_ms)
    LOG (backend_asks_pause, LOG_S ("server", server),
         LOG_I ("ms", notice->retry_after_ms));
  if (notice->leaving)
    LOG (backend_leaving, LOG_S ("server", server));
  if (notice->malformed)
    LOG (backend_pause_unreadable, LOG_S ("server", server));
}

void
gw_callers_availability_notice (struct gw_callers *c,
                                const struct net_addr *addr,
                                const struct avl_notice *notice)
{
  struct buf name = BUF_INIT;
  struct rt_event ev = { .kind = RT_EV_NOTICE,
                         .on = notice->leaving,
                         .retry_ms = notice->retry_after_ms };

  net_addr_format (addr, &name);
  ev.name = buf_str (&name);
  gw_log_notice (ev.name, notice);
  if (notice->leaving || notice->retry_after_ms)
    gw_callers_event (c, &ev);
  buf_free (&name);
}

bool
gw_callers_is_paused (const struct gw_callers *c, const struct net_addr *addr)
{
  return rt_is_paused (c->rt, clk_now (), addr);
}

void
gw_notice_metrics (struct gw_callers *c)
{
  struct avl_stats x = rt_avail_stats (c->rt);

  met_set (c->m_paused, (double)x.paused);
  met_set (c->m_leaving, (double)x.leaving);
  met_set (c->m_sent_paused, (double)x.sent_paused);
}
