/**
 * @file
 * Ownership of a fabric domain: lease, fencing number and safe handover
 * (decision core, chart "owner").
 *
 * The owner holds a store lease on the domain's owner key; the fencing number
 * is the create revision of that key.  The owner stops sending orders when two
 * thirds of the lease's TTL have passed since the last renewal was *sent*, by
 * a clock that continues during suspension; own_may_order() is checked before
 * each order.
 *
 * The caller is control/domains.c, with one core for each fabric domain whose
 * home is its node: it calls own_set_wanted() and own_tick(), executes the
 * actions of own_next() and passes in the store's responses.
 */
#ifndef LAPISLINE_REPLICA_OWNER_H
#define LAPISLINE_REPLICA_OWNER_H

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"
#include "store/store.h"

enum own_state
{
  OWN_IDLE,     /**< not a candidate, or another node is the owner */
  OWN_GRANTING, /**< requested a lease */
  OWN_TAKING,   /**< writing the owner key with the lease */
  OWN_WAITING,  /**< holds the key, but servers ignore fencing numbers: waits
                   until no order of the previous owner can be in flight */
  OWN_HOLDING,  /**< may send orders */
  OWN_LAPSED    /**< the lease may have expired by the local clock */
};

enum own_action_kind
{
  OWN_GRANT, /**< request a lease of ttl */
  OWN_TXN,
  OWN_RANGE,     /**< read key */
  OWN_KEEPALIVE, /**< renew lease */
  OWN_REVOKE,    /**< lease */
  OWN_ACQUIRED,  /**< fence: read the assignment and probe before acting */
  OWN_LOST       /**< drop pending orders */
};

struct own_action
{
  enum own_action_kind kind;
  uint64_t token; /**< pass the response to own_on_store_response() */
  struct str key;
  struct store_txn txn;
  int64_t lease;
  clk_ms ttl;
  int64_t fence;
};

struct own_options
{
  struct str key;  /**< owner key of the domain */
  struct str node; /**< this node */
  uint64_t boot;
  clk_ms ttl;             /**< of the lease; 6000 by default */
  bool checks_fence;      /**< backend servers check fencing numbers */
  clk_ms order_flight_ms; /**< maximum time that an order can be in flight */
};

struct own;

struct own *own_new (const struct own_options *opt, uint64_t seed);
void own_free (struct own *o);

/** Set whether this node should own the domain.  If not, it releases its
    lease. */
void own_set_wanted (struct own *o, clk_ms now, bool want);

/** Advance time.  A gap of more than ttl / 3 between two calls counts as a
    pause of the process: the core then reads the key before the next order. */
void own_tick (struct own *o, clk_ms now);

/** Pass in the store's response, also STORE_UNCERTAIN, to the action with that
    token.  A lease granted by an abandoned call is revoked. */
void own_on_store_response (struct own *o, clk_ms now, uint64_t token,
                            const struct store_result *r);

/** Fetch the next action; after each event, call it until it returns false. */
bool own_next (struct own *o, struct own_action *out);

/** Call immediately before each order, with the current time. */
bool own_may_order (const struct own *o, clk_ms now);

/** Fencing number for orders; 0 if not the owner. */
int64_t own_fence (const struct own *o);
enum own_state own_state (const struct own *o);

#endif
