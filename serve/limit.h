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
  double rate; /**< if requested: the limit recorded at the requesting node */
  clk_ms age_ms; /**< if requested: the age of that limit */
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

bool lim_any_limited (const struct lim *l);

/** Whether the server is limited. @param rate  receives the limit */
bool lim_get_rate (const struct lim *l, uint64_t server, double *rate);

/* --- requests of this node ---------------------------------------------- */

/** Whether this node may send a request to the server now. */
bool lim_allows (const struct lim *l, clk_ms now, uint64_t server);

/** Record demand: a new request would be sent to the server if this node had a
    permit. */
void lim_record_demand (struct lim *l, clk_ms now, uint64_t server);

/** Use up one permit: a request is being sent to the server. */
void lim_use_permit (struct lim *l, clk_ms now, uint64_t server);

/** Number of requests that this node has sent to the server since the limit
    was set. */
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
 *                  permit, for the periodic report; false: all demand
 */
const struct lim_permits *lim_get_demand (struct lim *l, clk_ms now,
                                          bool periodic, size_t *n);

/** Add permits that the grantor has sent to this node. */
void lim_add_permits (struct lim *l, clk_ms now, uint64_t server, unsigned n);

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
  size_t limited;   /**< limited servers */
  size_t followers; /**< nodes that follow this one */
  uint64_t sent;    /**< requests sent to limited servers */
  uint64_t granted; /**< permits granted by this node */
};
struct lim_stats lim_stats (const struct lim *l, clk_ms now);

#endif
