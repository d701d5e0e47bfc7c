/**
 * @file
 * Inner structures of the core of requests that crash servers.
 *
 *   poison.c          updates in and out, blocks, time
 *   poison-suspect.c  the evidence against each request, and whom to blame
 */
#ifndef LAPISLINE_SERVE_POISON_INT_H
#define LAPISLINE_SERVE_POISON_INT_H

#include "serve/poison.h"

/** Crashes that are remembered of a request. */
#define PSN_MAX_RUNS 8
/** Crashes of which it is remembered that a request is to blame for them. */
#define PSN_MAX_ATTRIBUTED 64
/** Requests that have completed, as far as they are remembered. */
#define PSN_MAX_COMPLETED 1024

enum psn_state
{
  PSN_S_OBSERVED,
  PSN_S_PENDING, /**< blocked soon */
  PSN_S_BLOCKED,
  PSN_S_CLEARED /**< late updates about it are ignored */
};

/** A run that was under way in a crash. */
struct psn_run
{
  uint64_t endpoint; /**< 0: stands for a crash of long ago */
  clk_ms ran_ms;
  bool attributed; /**< another request is to blame for the crash */
};

struct psn_suspect
{
  uint64_t digest;
  enum psn_state state;
  clk_ms until;      /**< end of the state */
  clk_ms pending_at; /**< observed: pending from then on; CLK_NEVER: not yet */
  struct psn_run runs[PSN_MAX_RUNS];
  size_t nruns;
};

struct psn_completion
{
  uint64_t digest;
  clk_ms at;
};

struct psn
{
  struct psn_suspect *suspects;
  size_t n, room;
  struct psn_completion completed[PSN_MAX_COMPLETED]; /**< a ring */
  size_t next_completed;
  uint64_t attributed[PSN_MAX_ATTRIBUTED]; /**< places, a ring */
  size_t next_attributed;
  bool aggregates;
  struct psn_update *updates;
  size_t nupdates, updates_room;
  bool fetched; /**< the updates were handed out; the next begin anew */
  struct psn_update *snapshot;
};

/* poison-suspect.c */
struct psn_suspect *psn_find (const struct psn *p, uint64_t digest);
/** The same, added if it is not there; the least suspect one then goes when
    there are too many. */
struct psn_suspect *psn_find_or_add (struct psn *p, clk_ms now,
                                     uint64_t digest);
void psn_remove (struct psn *p, struct psn_suspect *s);
/** Its run at that place, or NULL. */
struct psn_run *psn_find_run (struct psn_suspect *s, uint64_t place);
/** Whether crashes are put down to it. */
bool psn_is_pending_or_blocked (const struct psn_suspect *s);
/** Whether one more crash would get it blocked. */
bool psn_is_near_block (const struct psn_suspect *s);
/** Whether the crash at @p place is put down to some request. */
bool psn_is_attributed (const struct psn *p, uint64_t place);
/** Put all its crashes down to it: they count less against the others. */
void psn_attribute_crashes (struct psn *p, clk_ms now,
                            const struct psn_suspect *s);
/** Whether all crashes that @p a was running in are among those of @p b, and
    not the other way round. */
bool psn_is_subset (const struct psn_suspect *a, struct psn_suspect *b);
/** Once the evidence suffices it is due. */
void psn_update_pending_time (const struct psn *p, clk_ms now,
                              struct psn_suspect *s);
/** The one with the most evidence, once one that is due has settled; NULL:
    none. */
struct psn_suspect *psn_next_pending (const struct psn *p, clk_ms now);

#endif
