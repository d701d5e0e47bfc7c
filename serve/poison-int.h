/**
 * @file
 * Internal structures of the detection of poison requests.
 *
 *   poison.c            updates, states and timeouts
 *   poison-query.c      what is refused, snapshots
 *   poison-suspect.c    table of suspects, and the evidence against each one
 *   poison-completed.c  completed runs, which clear suspects
 */
#ifndef LAPISLINE_SERVE_POISON_INT_H
#define LAPISLINE_SERVE_POISON_INT_H

#include "serve/poison.h"

/** Maximum number of crashes recorded per request. */
#define PSN_MAX_CRASHED_RUNS 8
/** Servers that crash within this time have crashed together.  It covers the
    delays of reports from other nodes. */
#define PSN_SAME_MOMENT_MS ((clk_ms)50)
/** Number of recent crashes recorded as attributed to a request. */
#define PSN_MAX_ATTRIBUTED 64
/** Number of recent crashes that are told apart by their time. */
#define PSN_MAX_CRASHES 64
/** Number of recent completions of requests recorded. */
#define PSN_MAX_COMPLETED 1024
/** Size of the cache of completed parts.  It holds those of the last seconds
   at 10,000 different parts per minute. */
#define PSN_PART_SETS 1024
#define PSN_PART_WAYS 4
#define PSN_BUCKETS 1024
/** Delay between a crash and the decisions that depend on it.  Other nodes
    need this time to report which of their requests were running when the same
    server crashed. */
#define PSN_SETTLE_MS ((clk_ms)100)

enum psn_state
{
  PSN_S_OBSERVED,      /**< its crashes are recorded; it isn't blocked */
  PSN_S_BLOCK_PENDING, /**< blocked when the pending time ends, unless a
                            node clears it */
  PSN_S_BLOCKED,
  PSN_S_CLEARED /**< updates about earlier crashes are ignored */
};

/** A run of the request, or with the part, that was in progress when its
    server crashed. */
struct psn_crashed_run
{
  uint64_t endpoint; /**< 0: placeholder for a crash before the last block */
  clk_ms ran_ms;
  uint64_t request;         /**< of a part: the request that had it */
  uint32_t moment;          /**< the same for servers that crashed together */
  bool attributed_to_other; /**< the crash is attributed to another suspect */
};

/** A request or a part. */
struct psn_suspect
{
  struct psn_id id;
  uint32_t
      bucket_next; /**< index + 1 of the next one in its bucket; 0: none */
  enum psn_state state;
  clk_ms state_ends_at;
  clk_ms cleared_at; /**< when the state became cleared */
  clk_ms pending_at; /**< when the observed suspect becomes pending; CLK_NEVER:
                      not enough evidence */
  clk_ms queried_at; /**< part: when all nodes were asked for completions; 0:
                          they were not */
  /** its last crash, also of one that only other nodes know; 0: not known */
  clk_ms crashed_at;
  uint64_t crashed_endpoint;
  struct psn_crashed_run crashed_runs[PSN_MAX_CRASHED_RUNS];
  size_t ncrashed_runs;
  /** pending or blocked part: it is refused only together with these */
  uint64_t companions[PSN_MAX_COMPANIONS];
  size_t ncompanions;
  clk_ms companions_at; /**< when to compare them with the part again, after a
                             crash; CLK_NEVER: no crash since */
  clk_ms compare_at;    /**< pending or blocked: when to clear others whose
                             crashes it explains; CLK_NEVER: no crash since */
};

struct psn_completion
{
  uint64_t digest; /**< or id of the part */
  clk_ms at;       /**< 0: unused */
};

/** When a server crashed. */
struct psn_crash_time
{
  uint64_t endpoint;
  clk_ms at;
  uint32_t moment; /**< 0: unused */
};

struct psn
{
  struct psn_suspect *suspects;
  size_t n, capacity;
  uint32_t buckets[PSN_BUCKETS]; /**< index + 1 of the first one; 0: none */
  struct psn_completion completed[PSN_MAX_COMPLETED]; /**< a ring */
  size_t next_completed;
  /** by id; the oldest one of a set is replaced */
  struct psn_completion completed_parts[PSN_PART_SETS][PSN_PART_WAYS];
  struct psn_crash_time crashes[PSN_MAX_CRASHES]; /**< a ring */
  size_t next_crash;
  uint32_t last_moment;
  /** Endpoints whose crash is attributed to any request; a ring. */
  uint64_t attributed_endpoints[PSN_MAX_ATTRIBUTED];
  size_t next_attributed;
  bool is_collector;   /**< see psn_set_collecting() */
  bool has_companions; /**< a suspect may have companions */
  struct psn_update *updates;
  size_t nupdates, updates_capacity;
  bool fetched; /**< the list was returned; the next update starts a new one */
  struct psn_update *snapshot;
};

/* poison.c */
/** An update about the suspect, with its companions and its last crash if it
   is pending or blocked; broadcast. */
struct psn_update psn_make_update (const struct psn_suspect *s, clk_ms now,
                                   enum psn_kind kind);

/* poison-suspect.c */
struct psn_suspect *psn_find (const struct psn *p, struct psn_id id);
/** Find the suspect or add it.  In a full table, it replaces the one with the
    least evidence; a blocked one only if all of them are blocked. */
struct psn_suspect *psn_find_or_add (struct psn *p, clk_ms now,
                                     struct psn_id id);
void psn_remove (struct psn *p, struct psn_suspect *s);
/** Find the crashed run of the suspect at an endpoint, or NULL. */
struct psn_crashed_run *psn_find_crashed_run (struct psn_suspect *s,
                                              uint64_t endpoint);
/** Where to record one more crashed run: a free place, or that of a run whose
    crash is attributed to another suspect.  NULL: the run adds nothing.
    @param attributed  so is the new one */
struct psn_crashed_run *psn_place_for_run (struct psn_suspect *s,
                                           bool attributed);
/** Identifies the moment at which the server crashed.
    @param at  time of the crash as reported */
uint32_t psn_crash_moment (struct psn *p, clk_ms at, uint64_t endpoint);
/** When the server crashed, as first reported; 0: that is not known. */
clk_ms psn_crashed_at (const struct psn *p, uint64_t endpoint);
/** Whether the suspect is pending or blocked, so that its crashes are
    attributed to it. */
bool psn_is_pending_or_blocked (const struct psn_suspect *s);
/** Whether one more crash would block the suspect. */
bool psn_is_near_block (const struct psn *p, clk_ms now,
                        const struct psn_suspect *s);
/** Whether the crash at an endpoint is attributed to any suspect. */
bool psn_is_attributed (const struct psn *p, uint64_t endpoint);
/** Attribute all crashes of the suspect to it; they then count less against
    others. */
void psn_attribute_crashes (struct psn *p, clk_ms now,
                            const struct psn_suspect *s);
/** The suspect is cleared: its crashes count in full against others again. */
void psn_release_crashes (struct psn *p, clk_ms now,
                          const struct psn_suspect *s);
/** Whether the crashes of @p a are a proper subset of those of @p b. */
bool psn_crashes_are_subset (const struct psn_suspect *a,
                             struct psn_suspect *b);
/** Find the parts that were in each crashed run with the part @p s. */
void psn_find_companions (const struct psn *p, struct psn_suspect *s);
/** Remove the companions that were missing in a crashed run with @p s.
    @retval false  there are none */
bool psn_check_companions (const struct psn *p, struct psn_suspect *s);
/** @retval false  the part is no companion of @p s */
bool psn_remove_companion (struct psn_suspect *s, uint64_t part);
/** Update `pending_at` from the evidence. */
void psn_update_pending_time (const struct psn *p, clk_ms now,
                              struct psn_suspect *s);
/** The observed suspect to be set pending now: among those with a
   `pending_at`, the one with the most evidence.  NULL: none of these times has
   passed. */
struct psn_suspect *psn_next_pending (const struct psn *p, clk_ms now);

/* poison-completed.c */
/** A run of the request, or with the part, has completed. */
void psn_record_completion (struct psn *p, clk_ms at, struct psn_id id);
/** When one last completed; 0: that is not known. */
clk_ms psn_completed_at (const struct psn *p, struct psn_id id);
/** Whether one completed within the last @p ms. */
bool psn_has_completed (const struct psn *p, clk_ms now, struct psn_id id,
                        clk_ms ms);

#endif
