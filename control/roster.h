/**
 * @file
 * The roster: one key per node in the store, roster/ZONE/NODE, by which a
 * node that starts finds others of its zone.  Written once, on joining, and
 * under no lease: a stale row costs one unanswered packet.
 */
#ifndef LAPISLINE_CONTROL_ROSTER_H
#define LAPISLINE_CONTROL_ROSTER_H

#include "control/control.h"

struct ctl_roster;

/** A node of the zone has its membership socket there. */
typedef void (*ctl_roster_seed) (void *ctx, const struct net_addr *swim);

/** Read the zone's rows and write the one of @p self, until both are done. */
struct ctl_roster *ctl_roster_start (struct ctl *c,
                                     const struct mbr_node *self,
                                     ctl_roster_seed seed, void *ctx);
void ctl_roster_stop (struct ctl_roster *r);

#endif
