/**
 * @file
 * Which backend servers are cold (decision core).
 *
 * A server is cold for some seconds after it has started, and tolerates a low
 * request rate until then (tbl_service.cold_ms, tbl_service.cold_per_s).  A
 * node learns it from the server's entry in the list, from a header in the
 * server's responses, and from the end of the evacuation of the server's zone.
 * The result is recorded in the rate limits, see lim_set_cold().
 *
 * The newest of these sources applies.  An entry may have been written before
 * a response or the end of an evacuation although it is read later, so it
 * ends or shortens a cold period that is known from there only if it is
 * certain to be newer.
 *
 * Wall clocks differ by seconds between VMs.  Start times are therefore only
 * compared with each other, and never with this node's clock.
 */
#ifndef LAPISLINE_SERVE_COLD_H
#define LAPISLINE_SERVE_COLD_H

#include "serve/backends.h"
#include "serve/limit.h"

/** What showed that a server is cold. */
enum cld_source
{
  CLD_ENTRY,
  CLD_RESPONSE,
  CLD_EVACUATION, /**< its zone is no longer evacuated */
  CLD_SOURCES
};

/** A server has become cold or warm. */
struct cld_change
{
  char server[64]; /**< its id, shortened if it is longer */
  bool cold;
  enum cld_source source;
  clk_ms left_ms; /**< if cold: for how long */
  uint64_t sent;  /**< if warm: requests of this node while it was cold */
};

struct cld;

/** @param limits, backends  borrowed */
struct cld *cld_new (struct lim *limits, struct bks *backends);
void cld_free (struct cld *c);

/**
 * A configuration is in force.
 * @param over, slack  as srv_settings.cold_over and srv_settings.cold_slack;
 *   with `over` 0, no server is limited
 */
void cld_set_config (struct cld *c, clk_ms now, struct tbl *t, double over,
                     double slack);

/** Whether the servers of any service are limited while they are cold. */
bool cld_is_enabled (const struct cld *c);

/** Apply what the entries of a new version of the list state; call it after
    each change, and on each tick. */
void cld_tick (struct cld *c, clk_ms now);

/** A response of the server states how much longer it is cold.
    @param process  dsp_endpoint_hash() without a generation */
void cld_response (struct cld *c, clk_ms now, struct str server,
                   uint64_t process, clk_ms cold_ms);

/** The servers of the zone may be cold, because it was evacuated until now. */
void cld_zone_may_be_cold (struct cld *c, clk_ms now, struct str zone);

/** The next change to be logged.  @retval false  there is none */
bool cld_next_change (struct cld *c, clk_ms now, struct cld_change *out);

const char *cld_source_name (enum cld_source source);

#endif
