/**
 * @file
 * Internal structures of the server rate limits.
 *
 *   limit.c        table of limits, and the permits of this node
 *   limit-cold.c   cold servers, and the lifetime of their permits
 *   limit-grant.c  grants permits to this node and to its followers
 */
#ifndef LAPISLINE_SERVE_LIMIT_INT_H
#define LAPISLINE_SERVE_LIMIT_INT_H

#include <glib.h>

#include "base/rng.h"
#include "serve/limit.h"

/** Node id of this node in struct lim_demand. */
#define LIM_SELF 0

/** Demand of one node for permits of a server. */
struct lim_demand
{
  uint64_t node; /**< LIM_SELF: this node */
  unsigned n;    /**< permits not granted yet */
  clk_ms expires_at;
  clk_ms cold_until; /**< end of the server's cold period as the requesting
                          node sees it, by this node's clock */
};

/** A server that has set a limit or was cold, now or earlier. */
struct lim_server
{
  uint64_t server;
  bool limited;
  bool malformed_logged; /**< a malformed limit of this server was logged */
  double rate;
  clk_ms reported_at; /**< when the newest response with this limit was
                           received */
  bool cold;
  double cold_per_s; /**< rate that it tolerates, if cold */
  clk_ms cold_until;
  clk_ms earlier_until;     /**< `cold_until` before it was last set to a later
                                 time; 0: never */
  clk_ms extended_at;       /**< when that was; 0: never */
  clk_ms cold_permits_from; /**< permits for this cold server are ignored
                                 before */
  uint64_t sent;            /**< by this node since the limit was set */
  unsigned permits;         /**< unused permits of this node */
  clk_ms permits_expire_at;
  clk_ms demand_at;     /**< latest demand of this node; 0: never */
  clk_ms demand_since;  /**< start of demand without a grant; 0: no demand */
  clk_ms requested_at;  /**< latest demand for which permits are requested at
                             once */
  bool repeated_demand; /**< more than one request needed a permit */
  /* The following are used while this node grants permits. */
  GArray *demands; /**< struct lim_demand in order of arrival */
  guint
      first_unmet_demand;  /**< first demand in the list not granted in full */
  clk_ms own_demand_until; /**< when this node's entry in `demands`
                                expires */
  bool has_new_demand;     /**< demand was added since the last grant */
  double credit;           /**< permits that may be granted */
  clk_ms credit_at;        /**< when credit was last accrued */
  double threshold;        /**< credit needed for the next permit, where the
                                maximum credit is less than one permit */
  clk_ms last_demand_at;   /**< latest demand of any node; 0: never */
};

/** A node that requests its permits from this node. */
struct lim_follower
{
  uint64_t node;
  clk_ms last_seen;
};

struct lim
{
  GHashTable *servers; /**< struct lim_server by `server` */
  size_t limited;      /**< number of servers with a limit now */
  size_t cold;         /**< number of cold servers */
  struct lim_cold_bound cold_bound;
  clk_ms cold_grants_from; /**< no permits for cold servers are granted
                                before; 0: lim_configure_cold() was not
                                called */
  struct rng rng;
  bool is_granting; /**< this node is a grantor; false: a follower */
  bool has_new_demand;
  unsigned node_count; /**< nodes that this node has recorded */
  struct lim_follower *followers;
  size_t nfollowers;
  GArray *unreported_servers; /**< uint64_t: servers with unreported changes */
  GArray *update_list; /**< struct lim_update: storage for returned lists */
  GArray *permits;     /**< struct lim_permits: storage for returned lists */
  clk_ms grants_ignored_until; /**< grants that arrive before this may have
                                    been sent before a pause of this process */
  uint64_t sent, granted, cold_sent, cold_granted;
};

/** Whether requests to the server need a permit. */
bool lim_needs_permit (const struct lim_server *r);

struct lim_server *lim_find_server (const struct lim *l, uint64_t server);
struct lim_server *lim_add_server (struct lim *l, uint64_t server);

/** Requests per second at which permits are granted: the limit, but at least
    LIM_MIN_RATE; lim_cold_rate() if the server is cold and this is lower. */
double lim_permit_rate (const struct lim *l, const struct lim_server *r);

/** Maximum number of permits that a node requests at once. */
unsigned lim_batch_size (const struct lim *l, const struct lim_server *r);

/** Number of permits for the server that this node needs in addition to those
    that it holds. */
unsigned lim_permits_needed (const struct lim *l, const struct lim_server *r,
                             clk_ms now);

/** Add permits that were granted to this node at @p granted_at. */
void lim_store_permits (const struct lim *l, struct lim_server *r, clk_ms now,
                        clk_ms granted_at, unsigned n);

size_t lim_count_followers (const struct lim *l, clk_ms now);

/* limit-cold.c */

/** Seconds in which the credit for a cold server accrues that may be granted
    at once, instead of BURST_S. */
#define LIM_COLD_BURST_S 0.03
/** Lifetime of a permit for a cold server, from its grant until the client's
    request is written. */
#define LIM_COLD_TTL_MS ((clk_ms)100)

/** Longest time that a request for permits waits at the grantor. */
#define LIM_MAX_WAIT_MS ((clk_ms)120)

/** Rate at which permits for a cold server are granted by all nodes
    together. */
double lim_cold_rate (const struct lim *l, const struct lim_server *r);

/** Share of the rate for cold servers that this node grants.
    @param followers  nodes that follow it */
double lim_cold_share (const struct lim *l, clk_ms now,
                       const struct lim_server *r, size_t followers);

/** When permits were granted that this node receives now, or an earlier time.
    @param cold_ms  lim_permits.cold_ms of the grant
    @retval false  it is unknown or too long ago */
bool lim_cold_granted_at (const struct lim_server *r, clk_ms now,
                          clk_ms cold_ms, clk_ms *granted_at);

#endif
