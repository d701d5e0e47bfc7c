/**
 * @file
 * Backoff of a node's store calls while the store is unavailable (decision
 * core).
 *
 * A node reads several things from the store and keeps an entry in it.  If
 * each of these calls were retried independently during an outage, every node
 * would make a dozen useless calls per second, and the store would receive all
 * of them when it is available again.  So all calls of a node share one
 * backoff: one call at a time probes the store, at growing intervals, and
 * after its success all calls may be made.
 */
#ifndef LAPISLINE_SERVE_PAUSE_H
#define LAPISLINE_SERVE_PAUSE_H

#include "base/clock.h"
#include "base/rng.h"
#include "store/store.h"

struct pau
{
  unsigned failures; /**< consecutive failures; 0: the store is available */
  clk_ms next_call;  /**< earliest time of the next probe after a failure */
  bool probing;      /**< a probe is in flight */
  bool pushed; /**< other nodes push all data that this node would read from
                    the store; only the lease of its entry depends on the
                    store */
};

/** Set whether other nodes push what this node would read from the store.
    When they stop, the next probe is due no later than after a first
    failure. */
void pau_set_pushed (struct pau *b, clk_ms now, bool pushed, struct rng *r);
bool pau_may_call (const struct pau *b, clk_ms now);
void pau_call_started (struct pau *b);
/** A call has ended. @param r  jitter, so that the nodes' probes are
    spread */
void pau_call_ended (struct pau *b, clk_ms now, enum store_status status,
                     struct rng *r);

/**
 * Delay between an event of the watch of node entries and the next watch.
 * @param nodes   number of recorded nodes
 * @param rank    of this node among them
 * @param urgent  changes must be seen without delay: this node is leader or
 *                has no link
 */
clk_ms pau_watch_delay_ms (size_t nodes, unsigned rank, bool urgent);

#endif
