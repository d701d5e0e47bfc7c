/**
 * @file
 * Request rate limits requested by backend servers (decision core).
 *
 * An overloaded server puts a limit into its responses: the number of requests
 * per second that it accepts from all nodes together.  The limit ends with the
 * first response that carries none.
 *
 * Ordering of responses: response B is known to be newer than response A if
 * the request of B was sent after A was received.  Responses on different
 * connections can be reordered, so a limit is raised or removed only by a
 * response that is known to be newer; a lower limit is applied immediately.
 * Nodes exchange changes through lim_updates().
 *
 * Permits: each request to a limited server uses up one permit.  One node, the
 * grantor, grants permits at the rate of the limit.  All other nodes are its
 * followers and send it their demand.  Each node is entitled to an equal share
 * of the rate, and the grantor distributes its own share and the shares of its
 * followers.  While links are down, there may be several grantors; the sum of
 * their shares still doesn't exceed the limit.  A node that reaches no grantor
 * grants permits to itself from its own share.
 *
 * An unused permit expires after a short time, so that nodes can't accumulate
 * permits and spend them in one burst.
 *
 * Cold servers: a server that has just started tolerates a lower rate for some
 * seconds.  It needs permits until then, at the lower of the rate for cold
 * servers and of the limit that it has set.  lim_configure_cold() describes
 * the bound that is kept.  Nodes exchange no updates of cold servers; each
 * learns of them from the list of backend servers.
 *
 * A server is identified by dsp_endpoint_hash() without a generation, because
 * the limit belongs to the process and not to the replica that it leads.  The
 * core does no I/O: its caller passes in events and the current time.
 */
#ifndef LAPISLINE_SERVE_LIMIT_H
#define LAPISLINE_SERVE_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Maximum number of servers in the table. */
#define LIM_MAX_SERVERS 1024
/** Minimum rate in requests per second at which permits are granted for a
    limited server.  It must not be 0, because the end of a limit is only
    reported in responses. */
#define LIM_MIN_RATE 0.25

/** Limit found in a response. */
enum lim_report_kind
{
  LIM_REPORT_NONE, /**< none: the server accepts any rate */
  LIM_REPORT_RATE,
  LIM_REPORT_MALFORMED /**< malformed: ignored, and logged once per server */
};

/** Effect of a response on the limit of its server. */
enum lim_change
{
  LIM_UNCHANGED,
  LIM_SET, /**< the limit is new or has another rate */
  LIM_ENDED,
  LIM_MALFORMED /**< limit unchanged; first malformed limit of this server */
};

/** Limit reported by a response. */
struct lim_report
{
  uint64_t server;
  enum lim_report_kind kind;
  double rate;    /**< requests per second, if LIM_REPORT_RATE */
  clk_ms sent_at; /**< when the request of this response was sent */
};

/** Current limit of a server, as exchanged between nodes. */
struct lim_update
{
  uint64_t server;
  bool limited;
  double rate;   /**< requests per second, if limited */
  clk_ms age_ms; /**< time since the response with this limit was received */
};

/** Permits for a server that a node requests, or that were granted to it. */
struct lim_permits
{
  uint64_t node;
  uint64_t server;
  unsigned n;
  double rate;    /**< if requested: the limit recorded at the requesting node;
                       negative: none, the server is only cold */
  clk_ms age_ms;  /**< if requested: the age of that limit */
  clk_ms cold_ms; /**< if requested: how much longer the server is cold at the
                       requesting node, 0: it is not; if granted: this value
                       of the request less the time that it waited */
};

struct lim;

struct lim *lim_new (uint64_t seed);
void lim_free (struct lim *l);

/* --- limits of servers -------------------------------------------------- */

/** Process the limit in a response that was received at @p now. */
enum lim_change lim_on_report (struct lim *l, clk_ms now,
                               const struct lim_report *report);

/** Apply an update from another node.
    @return  whether it changed the limit recorded here */
bool lim_apply_update (struct lim *l, clk_ms now,
                       const struct lim_update *update);

/** Changes since the last call, to be sent to the other nodes.  The list is
    valid until the next call that modifies @p l. */
const struct lim_update *lim_updates (struct lim *l, clk_ms now, size_t *n);

/** All current limits, to be sent to a node that has just connected.  The list
    is valid until the next call that modifies @p l. */
const struct lim_update *lim_snapshot (struct lim *l, clk_ms now, size_t *n);

/** Whether any server is limited or cold. */
bool lim_any_limited (const struct lim *l);

/** Whether the server is limited or cold. @param rate  receives the rate at
    which permits for it are granted */
bool lim_get_rate (const struct lim *l, uint64_t server, double *rate);

/* --- cold servers ------------------------------------------------------- */

/** Requests that a cold server may get. */
struct lim_cold_bound
{
  double per_s; /**< rate of servers that only another node knows to be cold */
  double over;  /**< all nodes together send at most the rate times `over` */
  double slack; /**< plus `slack` requests in any second; 0 and 0: cold servers
                     are not limited */
};

/**
 * Set the bound for cold servers.  For the first seconds after the first call
 * this node grants no permits for them, because it may not know yet how many
 * nodes share the rate.
 */
void lim_configure_cold (struct lim *l, clk_ms now,
                         const struct lim_cold_bound *bound);

/**
 * The server is cold until @p until, and tolerates @p per_s requests per
 * second until then.  Of several times for one cold period the earliest
 * applies, because each was calculated from a message that took some time.
 * @param until  not after @p now: it is warm
 * @return  whether it was warm before
 */
bool lim_set_cold (struct lim *l, clk_ms now, uint64_t server, double per_s,
                   clk_ms until);

bool lim_is_cold (const struct lim *l, uint64_t server);

/** How much longer the server is cold; 0: it is warm. */
clk_ms lim_cold_left (const struct lim *l, clk_ms now, uint64_t server);

/** A server whose cold period has ended; call it until it returns false.
    Until then, the server counts as cold.
    @param sent  receives the number of requests that this node sent to it */
bool lim_next_warm (struct lim *l, clk_ms now, uint64_t *server,
                    uint64_t *sent);

/* --- requests of this node ---------------------------------------------- */

/** Whether this node may send a request to the server now. */
bool lim_allows (const struct lim *l, clk_ms now, uint64_t server);

/** Record demand: a new request would be sent to the server if this node had a
    permit. */
void lim_record_demand (struct lim *l, clk_ms now, uint64_t server);

/** Use up one permit: a request is being sent to the server.
    @return  when the permit expires: if the server is cold, the request must
             be written before; 0: no permit was needed */
clk_ms lim_use_permit (struct lim *l, clk_ms now, uint64_t server);

/** Whether a request that used a permit with this expiry may be written now.
    If not, the server is cold, and the permit has expired or was used before
    this node learned that the server is cold. */
bool lim_may_write (const struct lim *l, clk_ms now, uint64_t server,
                    clk_ms permit_expires_at);

/** Number of requests that this node has sent to the server since the limit
    was set, or since it became cold. */
uint64_t lim_count_sent (const struct lim *l, uint64_t server);

/** Whether new demand was recorded since the last call.  If so, permits must
    be requested immediately. */
bool lim_poll_new_demand (struct lim *l);

/** Whether the grantor had no permit left: this node requested one for the
    server, and the time in which a grant arrives has passed.  Further requests
    need not wait. */
bool lim_is_exhausted (const struct lim *l, clk_ms now, uint64_t server);

/**
 * Permits to request from the grantor.  The list is valid until the next call
 * that modifies @p l.
 * @param periodic  only servers for which more than one request needed a
 *                  permit, for the periodic report; false: all demand.  Cold
 *                  servers are not in the report, because their permits would
 *                  often expire before another request needs them
 */
const struct lim_permits *lim_get_demand (struct lim *l, clk_ms now,
                                          bool periodic, size_t *n);

/** Add permits that the grantor has sent to this node; ignored if the server
   is cold. */
void lim_add_permits (struct lim *l, clk_ms now, uint64_t server, unsigned n);

/** Add permits for a cold server.  They are ignored if they were
    granted too long ago.
    @param cold_ms  lim_permits.cold_ms of the grant */
void lim_add_cold_permits (struct lim *l, clk_ms now, uint64_t server,
                           unsigned n, clk_ms cold_ms);

/** This process has resumed after a pause.  Permits that it holds, and those
    that waited in its sockets, were granted before the pause and expired at
   the grantor's clock. */
void lim_resumed (struct lim *l, clk_ms now);

/* --- granting ----------------------------------------------------------- */

/** Set whether this node is a grantor or a follower.
    @param nodes  number of nodes that this node has recorded */
void lim_set_role (struct lim *l, clk_ms now, bool is_granting,
                   unsigned nodes);

/**
 * Process the demand of a follower, and record the node as a follower.  If the
 * two nodes have recorded different limits, the newer one becomes an update.
 * @param periodic  sent every 100 ms; false: sent immediately for a request
 *                  that waits only briefly for a permit
 */
void lim_on_follower_demand (struct lim *l, clk_ms now, uint64_t node,
                             bool periodic, const struct lim_permits *wanted,
                             size_t n);

/** The node is no longer a follower of this one. */
void lim_remove_follower (struct lim *l, uint64_t node);

/**
 * Grant all permits that are available.
 * @param all_servers  process all servers; false: only those with new demand
 * since the last call
 * @return  permits for other nodes; the list is valid until the next call that
 *          modifies @p l
 */
const struct lim_permits *lim_grant (struct lim *l, clk_ms now,
                                     bool all_servers, size_t *n);

/** Current gauges, and counters since the start of the process. */
struct lim_stats
{
  size_t limited;                   /**< limited servers */
  size_t cold;                      /**< cold servers */
  size_t followers;                 /**< nodes that follow this one */
  uint64_t sent;                    /**< requests sent to limited servers */
  uint64_t granted;                 /**< permits granted by this node */
  uint64_t cold_sent, cold_granted; /**< of these, for cold servers */
};
struct lim_stats lim_stats (const struct lim *l, clk_ms now);

#endif
