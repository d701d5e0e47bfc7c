/**
 * @file
 * State charts read from charts/NAME.json and interpreted here.
 *
 * A file holds {"chart": NAME, "initial": STATE, "states": {STATE: {"on":
 * {EVENT: STATE, ...}, "final": true}}}.  Loading checks that every target
 * exists, that every state can be reached, that a final state has no way out
 * and that each other state has one.  The files are embedded in the binary.
 */
#ifndef LAPISLINE_BASE_CHART_H
#define LAPISLINE_BASE_CHART_H

#include "base/findings.h"
#include "base/str.h"

struct chart;

/** Returned by chart_step() for an event that the state does not accept. */
#define CHART_REFUSED (-1)

/**
 * Load one chart.
 * @return  the chart, or NULL with the reasons in @p findings
 */
struct chart *chart_load (struct str json, const char *file,
                          struct fnd_list *findings);
void chart_free (struct chart *c);

/** The embedded chart of that name (without ".json"); ends the process when
    the name or the embedded text is wrong, as that is a fault of the build. */
const struct chart *chart_embedded (const char *name);

int chart_initial (const struct chart *c);

/** Number of a state or an event by its name, or -1. */
int chart_state (const struct chart *c, const char *name);
int chart_event (const struct chart *c, const char *name);

const char *chart_state_name (const struct chart *c, int state);
const char *chart_event_name (const struct chart *c, int event);
int chart_states (const struct chart *c);
int chart_events (const struct chart *c);
bool chart_final (const struct chart *c, int state);

/** The state after @p event in @p state, or CHART_REFUSED. */
int chart_step (const struct chart *c, int state, int event);

#endif
