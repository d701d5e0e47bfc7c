/**
 * @file
 * Streams what the request core consumes to standard output, so that the
 * same decisions can be made again by `lapisline replay`.
 */
#ifndef LAPISLINE_FRONT_RECORDER_H
#define LAPISLINE_FRONT_RECORDER_H

#include <uv.h>

#include "route/record.h"

struct gw_recorder;

/**
 * Begin with the trace's first line.
 * @return NULL unless standard output is a pipe or a terminal
 */
struct gw_recorder *gw_recorder_start (uv_loop_t *loop,
                                       const struct rec_header *head);

/** Note one event before the core consumes it; NULL @p r is allowed. */
void gw_recorder_event (struct gw_recorder *r, clk_ms now,
                        const struct rt_event *ev);

#endif
