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
 * Requests that share a part of their prompts can crash servers because of
 * that part, while no two of them are the same.  The parts of a request are
 * therefore counted like the request itself, with these differences:
 *
 * - A part that is innocent is in many requests, and these complete.  A run
 *   that completes at any node clears each part of its prompt.  Nodes at which
 *   a part completed a short time ago ignore its crashes, and answer reports
 *   of them with PSN_COMPLETED.  All nodes are asked for completions when one
 *   more crash would block a part.
 * - A part is blocked only for crashes of several requests, and not while one
 *   request was running in all of them: then the request is the cause.
 * - Servers that crash at the same moment count as one crash: a rack has
 *   failed.
 * - The time for which a run had produced events has less weight.
 * - Parts that were together in all these runs can't be told apart and are
 *   blocked together: a request is refused if it has all of them.  Requests
 *   with one of them go on, and their runs show which one is the cause.
 * - A request that is refused doesn't prolong the block of a part.
 *
 * A request is identified by a digest that is the same for every repetition, a
 * part by its id.  The core does no I/O: its caller passes in events and the
 * current time, and psn_updates() returns what must be sent to other nodes.
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
/** Maximum number of requests and parts in the table. */
#define PSN_MAX_SUSPECTS 2048
/** Maximum number of parts that are blocked together with another one. */
#define PSN_MAX_COMPANIONS 3

/** Value of `ran_ms` if the run had produced no event. */
#define PSN_NO_EVENT (-1)

enum psn_kind
{
  PSN_CRASH,         /**< endpoint, ran_ms: it was running there in a crash */
  PSN_BLOCK_PENDING, /**< to be blocked soon, unless a node clears it */
  PSN_BLOCKED,       /**< hold_ms: remaining duration of the block */
  PSN_CLEARED,       /**< it is not the cause of crashes */
  PSN_COMPLETED,     /**< a run with this part completed */
  PSN_QUERY          /**< nodes at which this part completed are to answer with
                          PSN_COMPLETED */
};

/** What other nodes know a request or a part by. */
struct psn_id
{
  bool is_part;
  uint64_t value; /**< digest of the request, or id of the part */
};

/** Evidence about a request or a part, or a change of its state. */
struct psn_update
{
  enum psn_kind kind;
  struct psn_id id;
  uint64_t
      endpoint;  /**< endpoint that ran it; changes when the server restarts */
  clk_ms ran_ms; /**< time since its first event, or PSN_NO_EVENT */
  uint64_t request; /**< crash of a part: digest of the request that had it */
  /** crash, completion: time since then; pending, blocked: time since its last
      crash, which was at `endpoint`, or 0 if that is not known */
  clk_ms ago_ms;
  clk_ms hold_ms;
  /** ids of parts without which the block of a part does not apply */
  uint64_t companions[PSN_MAX_COMPANIONS];
  size_t ncompanions;
  bool broadcast; /**< to all nodes; false: to collectors only */
};

/** A request, and the parts of its prompt that other requests may have. */
struct psn_request
{
  uint64_t digest;
  const uint64_t *parts; /**< ids */
  size_t nparts;
};

/** A run that was in progress when its server crashed. */
struct psn_run
{
  struct psn_request request;
  uint64_t endpoint;
  clk_ms ran_ms; /**< time from its first event, or PSN_NO_EVENT */
  clk_ms ago_ms; /**< time since the crash */
};

/** Why a request is refused. */
struct psn_refusal
{
  struct psn_id id; /**< of the request or of the part that decided */
  clk_ms retry_ms;  /**< delay after which the client may retry, as it is not
                         blocked yet; 0: it is blocked, a retry is useless */
};

/** @return a copy of the list of parts, to be freed; NULL if it is empty */
const uint64_t *psn_copy_parts (const struct psn_request *r);

struct psn;

struct psn *psn_new (void);
void psn_free (struct psn *p);

/** Process timeouts; call it at psn_next_deadline() at the latest. */
void psn_tick (struct psn *p, clk_ms now);
clk_ms psn_next_deadline (const struct psn *p);

/** This process has resumed after a pause: nothing is decided before the
    updates that waited in its sockets are read. */
void psn_resumed (struct psn *p, clk_ms now);

/** Apply an update that came from another node or from the store. */
void psn_apply (struct psn *p, clk_ms now, const struct psn_update *update);

/** A run of this node was in progress when its server crashed. */
void psn_run_crashed (struct psn *p, clk_ms now, const struct psn_run *run);

/**
 * Set whether this node is a collector: it receives the crashes reported by
 * all nodes and decides what to block.  This is the initial setting.  Other
 * nodes only report crashes.
 */
void psn_set_collecting (struct psn *p, clk_ms now, bool collects);

/** A run of the request has completed at this node. */
void psn_completed (struct psn *p, clk_ms now, const struct psn_request *r);

/** Whether a request that arrives must be refused.
    @param out  receives the reason */
bool psn_should_refuse (struct psn *p, clk_ms now, const struct psn_request *r,
                        struct psn_refusal *out);

/** Whether the request or one of its parts is pending or blocked, or would be
    blocked after one more crash.  A node doesn't retry it on another server.
 */
bool psn_is_suspect (const struct psn *p, clk_ms now,
                     const struct psn_request *r);

/** Changes since the last call.  The list is valid until the next call that
    modifies @p p. */
const struct psn_update *psn_updates (struct psn *p, size_t *n);

/** The complete state, for a node that has just connected.  The list is valid
    until the next call that modifies @p p. */
const struct psn_update *psn_snapshot (struct psn *p, clk_ms now, size_t *n);

/** Get the block of a request or part as an update.
    @retval false  it is not blocked */
bool psn_get_block (const struct psn *p, clk_ms now, struct psn_id id,
                    struct psn_update *out);

/** Number of blocked requests, or parts. */
size_t psn_count_blocked (const struct psn *p, bool parts);

#endif
