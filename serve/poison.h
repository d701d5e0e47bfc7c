/**
 * @file
 * Requests that crash the backend servers that run them (decision core).
 *
 * Such a request comes back under a new id, to any node.  Each node reports
 * which requests were running as a server's process ended, and which of these
 * ran to their end elsewhere.  Once PSN_CRASHES servers have ended under a
 * request as it began (more, if it had run for a while), a block is pending:
 * all nodes hear of it, and one where the request has completed lately clears
 * it.  Otherwise it is blocked at all nodes for PSN_HOLD_MS.
 *
 * A server runs many requests when it crashes, and only one is to blame.  The
 * one with the most evidence is blocked first; its crashes then count less
 * against the others.  If it was the wrong one, the crashes continue without
 * it: the one that was running in all of them is blocked, and the first is
 * cleared.
 *
 * Requests are known by a digest that is the same each time.  Events and time
 * go in; what other nodes need comes out of psn_updates().
 */
#ifndef LAPISLINE_SERVE_POISON_H
#define LAPISLINE_SERVE_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Crashes that get a request blocked, if in all but one of them its run had
    brought no event. */
#define PSN_CRASHES 3
/** How long a request stays blocked; the longest lease of a store. */
#define PSN_HOLD_MS (10 * CLK_MINUTE)
/** Requests that are remembered. */
#define PSN_MAX_REQUESTS 1024

/** `ran_ms` of a run that had brought no event. */
#define PSN_NO_EVENT (-1)

enum psn_kind
{
  PSN_CRASH,   /**< place, ran_ms: it was running there in a crash */
  PSN_PENDING, /**< blocked soon, unless some node clears it */
  PSN_BLOCKED, /**< hold_ms: for so long */
  PSN_CLEARED  /**< it has run to its end */
};

/** What a node has found out of a request. */
struct psn_update
{
  enum psn_kind kind;
  uint64_t digest; /**< of the request */
  uint64_t place;  /**< where it ran; differs when the server starts again */
  clk_ms ran_ms;   /**< since its first event, or PSN_NO_EVENT */
  clk_ms hold_ms;
  bool broadcast; /**< all nodes need it; else those that aggregate */
};

struct psn;

struct psn *psn_new (void);
void psn_free (struct psn *p);

/** Time passes; call it at psn_next_deadline() at the latest. */
void psn_tick (struct psn *p, clk_ms now);
clk_ms psn_next_deadline (const struct psn *p);

/** This node has seen it, or another node or the store says so. */
void psn_apply (struct psn *p, clk_ms now, const struct psn_update *update);

/**
 * Whether this node hears of all crashes and decides, as it does at first; one
 * that does not only reports.
 */
void psn_set_aggregating (struct psn *p, clk_ms now, bool aggregates);

/** A run has come to its end at this node. */
void psn_completed (struct psn *p, clk_ms now, uint64_t digest);

/**
 * Whether a request that arrives has to be refused.
 * @param again_ms  receives when to come back, as it is not decided yet
 * whether it is blocked; 0: it is, and to come back is of no use
 */
bool psn_refuses (struct psn *p, clk_ms now, uint64_t digest,
                  clk_ms *again_ms);

/** Whether it is blocked, or one more crash would do: it is not worth another
    server until its caller asks again. */
bool psn_suspects (const struct psn *p, uint64_t digest);

/** What was new since the last call; valid until the next event. */
const struct psn_update *psn_updates (struct psn *p, size_t *n);

/** All that is known, for a node that has just been linked; valid until the
    next event. */
const struct psn_update *psn_snapshot (struct psn *p, clk_ms now, size_t *n);

bool psn_is_blocked (const struct psn *p, uint64_t digest);

/** How many requests are blocked. */
size_t psn_count_blocked (const struct psn *p);

#endif
