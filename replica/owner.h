/**
 * @file
 * Ownership of a fabric domain: lease, fencing number, safe hand-over
 * (decision core, chart "owner").
 *
 * An owner holds a store lease on the domain's owner key; the fencing number
 * is that key's create revision.  It stops giving orders when two thirds of
 * the lease's time have passed since the last renewal was *sent*, by a clock
 * that goes on through pauses; before each order it asks own_may_order().
 *
 * The caller is control/domains.c, one core for each domain that its node is
 * home of: it calls own_set_wanted() and own_tick(), carries out what
 * own_next() gives and brings the store's answers.
 */
#ifndef LAPISLINE_REPLICA_OWNER_H
#define LAPISLINE_REPLICA_OWNER_H

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"
#include "store/store.h"

enum own_state
{
  OWN_IDLE,     /**< not wanted, or somebody else's */
  OWN_GRANTING, /**< asks for a lease */
  OWN_TAKING,   /**< writes the owner key under it */
  OWN_WAITING,  /**< holds the key; backend servers ignore fencing numbers:
                     waits until no order of the old owner can be in flight */
  OWN_HOLDING,  /**< may order */
  OWN_LAPSED    /**< its own clock says that the lease may be over */
};

enum own_action_kind
{
  OWN_GRANT, /**< a lease of ttl */
  OWN_TXN,
  OWN_RANGE,     /**< key */
  OWN_KEEPALIVE, /**< lease */
  OWN_REVOKE,    /**< lease */
  OWN_ACQUIRED,  /**< fence: read everything, then act */
  OWN_LOST       /**< forget pending orders */
};

struct own_action
{
  enum own_action_kind kind;
  uint64_t token; /**< answer with own_on_store_response() */
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
  clk_ms ttl; /**< of the lease, 6000 */
  bool checks_fence;
  clk_ms order_flight_ms; /**< longest life of an order on its way */
};

struct own;

struct own *own_new (const struct own_options *opt, uint64_t seed);
void own_free (struct own *o);

/** Whether this node should own the domain, as the view suggests; a lease that
    is not wanted any more is given back. */
void own_set_wanted (struct own *o, clk_ms now, bool want);

/** Time passes.  A gap of more than ttl / 3 between two calls counts as a
    pause: the lease is read anew before the next order. */
void own_tick (struct own *o, clk_ms now);

/** What the store said to the action of that token, STORE_UNCERTAIN too; of an
    older action only a lease granted late is taken, to be given back. */
void own_on_store_response (struct own *o, clk_ms now, uint64_t token,
                            const struct store_result *r);

/** The next action, or false; call it until then after each event. */
bool own_next (struct own *o, struct own_action *out);

/** Asked right before each order, with the time read right before. */
bool own_may_order (const struct own *o, clk_ms now);

/** Fencing number that orders carry; 0 while there is none. */
int64_t own_fence (const struct own *o);
enum own_state own_state (const struct own *o);

#endif
