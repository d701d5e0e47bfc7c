/**
 * @file
 * Evacuations that are kept after a restore of the store, and zones that could
 * not be recorded.
 *
 * For EVC_RESTORE_MS after a restore, zones that the restored copy lacks stay
 * evacuated.  They end with the first complete state that lacks them and is
 * applied after this time.  Other nodes get these zones as the state from
 * before the restore: a node that has just learned the present restore counter
 * takes them over from a state of an earlier one.
 */
#ifndef LAPISLINE_SERVE_EVACUATION_KEPT_H
#define LAPISLINE_SERVE_EVACUATION_KEPT_H

#include "serve/evacuation.h"

/** All evacuated zones, with the restore counter and the revision from before
    the restore; valid until the next change.  Without zones if none is
    kept. */
struct evc_state evc_kept_state (const struct evc *e);

/** Whether zones are still kept though the time for this is over: the next
    complete state ends those that it lacks. */
bool evc_is_kept_overdue (const struct evc *e, clk_ms now);

/** Compares restore counters, then revisions.
    @return  negative, 0 or positive, as for strcmp() */
int evc_compare (const struct evc_state *a, const struct evc_state *b);

/** Whether both have the same zones, in any order. */
bool evc_same_zones (const struct evc_state *a, const struct evc_state *b);

/** Zones that were ignored since the start. */
struct evc_ignored
{
  uint64_t unnamed;  /**< empty names */
  uint64_t too_many; /**< beyond EVC_MAX_ZONES */
};
struct evc_ignored evc_ignored (const struct evc *e);

#endif
