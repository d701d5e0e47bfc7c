/**
 * @file
 * Detection of poison requests, which crash the backend servers that process
 * them (decision core).
 *
 * A client sends a poison request again with a new id and to any node.  Each
 * node therefore reports which requests were running when the process of a
 * server ended, and which of these requests completed elsewhere.  When
 * PSN_CRASHES servers have ended while they ran a request that had just begun
 * (more servers, if it had run for a while), the request enters the state
 * pending.  All nodes receive this state, and a node at which the request has
 * completed recently clears it.  Otherwise all nodes block the request for
 * PSN_HOLD_MS.
 *
 * A server runs many requests when it crashes, and only one of them is the
 * cause.  The request with the most evidence is blocked first.  Its crashes
 * are then attributed to it and count less against the other requests.  If the
 * wrong request was blocked, the crashes continue.  Then the request that was
 * running in all crashes, including the new ones, is blocked, and the first
 * one is cleared.
 *
 * A request is identified by a digest that is the same for every repetition.
 * The core does no I/O: its caller passes in events and the current time, and
 * psn_updates() returns what must be sent to other nodes.
 */
#ifndef LAPISLINE_SERVE_POISON_H
#define LAPISLINE_SERVE_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Number of crashes after which a request is blocked, if the request had
    produced no event in all of them but one. */
#define PSN_CRASHES 3
/** Duration of a block; also the longest lease that a store grants. */
#define PSN_HOLD_MS (10 * CLK_MINUTE)
/** Maximum number of requests in the table. */
#define PSN_MAX_REQUESTS 1024

/** Value of `ran_ms` if the run had produced no event. */
#define PSN_NO_EVENT (-1)

enum psn_kind
{
  PSN_CRASH, /**< place, ran_ms: the request was running there in a crash */
  PSN_BLOCK_PENDING, /**< to be blocked soon, unless a node clears it */
  PSN_BLOCKED,       /**< hold_ms: remaining duration of the block */
  PSN_CLEARED        /**< a run of the request completed */
};

/** Evidence about a request or a change of its state. */
struct psn_update
{
  enum psn_kind kind;
  uint64_t digest; /**< of the request */
  uint64_t
      endpoint;  /**< endpoint that ran it; changes when the server restarts */
  clk_ms ran_ms; /**< time since its first event, or PSN_NO_EVENT */
  clk_ms hold_ms;
  bool broadcast; /**< to all nodes; false: to collectors only */
};

struct psn;

struct psn *psn_new (void);
void psn_free (struct psn *p);

/** Process timeouts; call it at psn_next_deadline() at the latest. */
void psn_tick (struct psn *p, clk_ms now);
clk_ms psn_next_deadline (const struct psn *p);

/** This process has resumed after a pause: nothing is decided before the
    updates that waited in its sockets are read. */
void psn_resumed (struct psn *p, clk_ms now);

/** Apply an update that this node observed, or that came from another node or
    from the store. */
void psn_apply (struct psn *p, clk_ms now, const struct psn_update *update);

/**
 * Set whether this node is a collector: it receives the crashes reported by
 * all nodes and decides which requests to block.  This is the initial
 * setting.  Other nodes only report crashes.
 */
void psn_set_collecting (struct psn *p, clk_ms now, bool collects);

/** A run of the request has completed at this node. */
void psn_completed (struct psn *p, clk_ms now, uint64_t digest);

/**
 * Whether a request that arrives must be refused.
 * @param retry_ms  receives the delay after which the client may retry, as the
 *                  request is not blocked yet; 0: the request is blocked and a
 *                  retry is useless
 */
bool psn_should_refuse (struct psn *p, clk_ms now, uint64_t digest,
                        clk_ms *retry_ms);

/** Whether the request is pending or blocked, or would be blocked after one
    more crash.  A node doesn't retry it on another server. */
bool psn_is_suspect (const struct psn *p, uint64_t digest);

/** Changes since the last call.  The list is valid until the next call that
    modifies @p p. */
const struct psn_update *psn_updates (struct psn *p, size_t *n);

/** The complete state, for a node that has just connected.  The list is valid
    until the next call that modifies @p p. */
const struct psn_update *psn_snapshot (struct psn *p, clk_ms now, size_t *n);

bool psn_is_blocked (const struct psn *p, uint64_t digest);

size_t psn_count_blocked (const struct psn *p);

#endif
