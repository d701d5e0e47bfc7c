/**
 * @file
 * Names in a trace, indexed by the enumerations of route/route.h.
 */
#ifndef LAPISLINE_ROUTE_RECORD_NAMES_H
#define LAPISLINE_ROUTE_RECORD_NAMES_H

#include "route/route.h"

#define REC_EVENTS (RT_EV_POISON + 1)
#define REC_ACTIONS (RT_ACT_SLOT_DONE + 1)
#define REC_VERDICTS (CLM_ACKNOWLEDGED + 1)

extern const char *const rec_event_names[REC_EVENTS];
extern const char *const rec_action_names[REC_ACTIONS];
extern const char *const rec_verdict_names[REC_VERDICTS];
extern const char *const rec_slot_names[RT_SLOT_REPLIES];

#endif
