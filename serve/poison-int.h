/**
 * @file
 * Internal structures of the detection of poison requests.
 *
 *   poison.c          updates, states and timeouts
 *   poison-suspect.c  table of requests, and the evidence against each one
 */
#ifndef LAPISLINE_SERVE_POISON_INT_H
#define LAPISLINE_SERVE_POISON_INT_H

#include "serve/poison.h"

/** Maximum number of crashes recorded per request. */
#define PSN_MAX_CRASHED_RUNS 8
/** Number of recent crashes recorded as attributed to a request. */
#define PSN_MAX_ATTRIBUTED 64
/** Number of recent completions recorded. */
#define PSN_MAX_COMPLETED 1024

enum psn_state
{
  PSN_S_OBSERVED,      /**< its crashes are recorded; it isn't blocked */
  PSN_S_BLOCK_PENDING, /**< blocked when the pending time ends, unless a
                            node clears it */
  PSN_S_BLOCKED,
  PSN_S_CLEARED /**< delayed updates about the request are ignored */
};

/** A run of the request that was in progress when its server crashed. */
struct psn_crashed_run
{
  uint64_t endpoint; /**< 0: placeholder for a crash before the last block */
  clk_ms ran_ms;
  bool attributed_to_other; /**< the crash is attributed to another request */
};

struct psn_suspect
{
  uint64_t digest;
  enum psn_state state;
  clk_ms state_ends_at;
  clk_ms pending_at; /**< when the observed request becomes pending; CLK_NEVER:
                      not enough evidence */
  struct psn_crashed_run crashed_runs[PSN_MAX_CRASHED_RUNS];
  size_t ncrashed_runs;
};

struct psn_completion
{
  uint64_t digest;
  clk_ms at;
};

struct psn
{
  struct psn_suspect *suspects;
  size_t n, capacity;
  struct psn_completion completed[PSN_MAX_COMPLETED]; /**< a ring */
  size_t next_completed;
  /** Endpoints whose crash is attributed to any request; a ring. */
  uint64_t attributed_endpoints[PSN_MAX_ATTRIBUTED];
  size_t next_attributed;
  bool is_collector; /**< see psn_set_collecting() */
  struct psn_update *updates;
  size_t nupdates, updates_capacity;
  bool fetched; /**< the list was returned; the next update starts a new one */
  struct psn_update *snapshot;
};

/* poison-suspect.c */
struct psn_suspect *psn_find (const struct psn *p, uint64_t digest);
/** Find the request or add it.  In a full table, it replaces the request with
    the least evidence; a blocked request only if all of them are blocked. */
struct psn_suspect *psn_find_or_add (struct psn *p, clk_ms now,
                                     uint64_t digest);
void psn_remove (struct psn *p, struct psn_suspect *s);
/** Find the crashed run of the request at an endpoint, or NULL. */
struct psn_crashed_run *psn_find_crashed_run (struct psn_suspect *s,
                                              uint64_t endpoint);
/** Whether the request is pending or blocked, so that its crashes are
    attributed to it. */
bool psn_is_pending_or_blocked (const struct psn_suspect *s);
/** Whether one more crash would block the request. */
bool psn_is_near_block (const struct psn_suspect *s);
/** Whether the crash at an endpoint is attributed to any request. */
bool psn_is_attributed (const struct psn *p, uint64_t endpoint);
/** Attribute all crashes of the request to it; they then count less against
    other requests. */
void psn_attribute_crashes (struct psn *p, clk_ms now,
                            const struct psn_suspect *s);
/** Whether the crashes of @p a are a proper subset of those of @p b. */
bool psn_crashes_are_subset (const struct psn_suspect *a,
                             struct psn_suspect *b);
/** Update `pending_at` from the evidence. */
void psn_update_pending_time (const struct psn *p, clk_ms now,
                              struct psn_suspect *s);
/** The observed request to be set pending now: among those with a
   `pending_at`, the one with the most evidence.  NULL: none of these times has
   passed. */
struct psn_suspect *psn_next_pending (const struct psn *p, clk_ms now);

#endif
