/**
 * @file
 * Writes the events that the request core processes to standard output, so
 * that `lapisline replay` can reproduce its decisions.
 */
#ifndef LAPISLINE_FRONT_RECORDER_H
#define LAPISLINE_FRONT_RECORDER_H

#include <uv.h>

#include "route/record.h"

struct gw_recorder;

/**
 * Start recording and write the header line.
 * @return NULL unless standard output is a pipe or a terminal
 */
struct gw_recorder *gw_recorder_start (uv_loop_t *loop,
                                       const struct rec_header *head);

/** Write one event, before the core processes it; @p r may be NULL. */
void gw_recorder_event (struct gw_recorder *r, clk_ms now,
                        const struct rt_event *ev);

#endif
