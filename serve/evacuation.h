/**
 * @file
 * Evacuated availability zones (decision core).
 *
 * The operators evacuate a zone by a key in the store, and take the evacuation
 * back by deleting the key.  While a zone is evacuated, no new requests are
 * sent to its backend servers; running ones go on to their end.
 *
 * A node learns of evacuations from its own reads and watches of the store,
 * and from the other nodes, which pass on each state that is new to them.
 * Two states are ordered by the restore counter of the store and its revision.
 * An evacuation ends only when a newer state lacks it; it never ends because a
 * state has become old, or because a watch or a link was lost.
 *
 * After the store was restored from an older copy of its data, keys that the
 * copy lacks are missing until the operators have written them again.  A state
 * of a higher restore counter therefore adds zones at once, and ends no
 * evacuation for EVC_RESTORE_MS.
 */
#ifndef LAPISLINE_SERVE_EVACUATION_H
#define LAPISLINE_SERVE_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"

/** Evacuated zones that are recorded, at most; further ones are ignored, and
    logged. */
#define EVC_MAX_ZONES 64
/** How long after a restore of the store its data may lack evacuations. */
#define EVC_RESTORE_MS ((clk_ms)10000)

struct evc;

struct evc *evc_new (void);
void evc_free (struct evc *e);

/** Evacuated zones, as the store had them at a revision. */
struct evc_state
{
  int64_t store_era; /**< restore counter of the store; 0: unknown */
  int64_t revision;  /**< of the store */
  const struct str *zones;
  size_t n;
};

/**
 * Process a complete state: a read of the store, or the state of another node.
 * @return  whether the set of evacuated zones changed here
 */
bool evc_apply_state (struct evc *e, clk_ms now, const struct evc_state *in);

/** Process one change that a watch of the store has returned.
    @return  whether the set of evacuated zones changed here */
bool evc_apply_change (struct evc *e, clk_ms now, int64_t store_era,
                       int64_t revision, struct str zone, bool evacuated);

bool evc_is_evacuated (const struct evc *e, struct str zone);

/** Number of evacuated zones. */
size_t evc_count (const struct evc *e);

/** Current state, to be sent to other nodes; valid until the next change. */
struct evc_state evc_state (const struct evc *e);

/** Increases with each change of the state that other nodes have to receive;
    0: nothing is known of the store yet. */
uint64_t evc_version (const struct evc *e);

/** A zone whose evacuation has ended since the last call; valid until the next
    change.  Its servers may be cold.
    @retval false  there is none */
bool evc_next_ended (struct evc *e, struct str *zone);

#endif
