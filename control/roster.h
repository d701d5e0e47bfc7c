/**
 * @file
 * The roster: one key per node in the store, roster/ZONE/NODE, from which a
 * starting node finds the others of its zone.  A node writes its record once,
 * when it joins, without a lease: a stale record costs one unanswered packet.
 */
#ifndef LAPISLINE_CONTROL_ROSTER_H
#define LAPISLINE_CONTROL_ROSTER_H

#include "control/control.h"

struct ctl_roster;

/** Called with the membership address of each other node of the zone. */
typedef void (*ctl_roster_seed) (void *ctx, const struct net_addr *swim);

/** Reads the zone's records and writes that of @p self, retrying until both
    succeed. */
struct ctl_roster *ctl_roster_start (struct ctl *c,
                                     const struct mbr_node *self,
                                     ctl_roster_seed seed, void *ctx);
void ctl_roster_stop (struct ctl_roster *r);

#endif
