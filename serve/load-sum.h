/**
 * @file
 * Sum of the loads that several nodes have at backend servers (pure
 * functions).
 *
 * In a large fleet one node adds up the loads that the others report to it.
 */
#ifndef LAPISLINE_SERVE_LOAD_SUM_H
#define LAPISLINE_SERVE_LOAD_SUM_H

#include "serve/dispatch.h"

/** Interval at which nodes report their loads. */
#define LDS_REPORT_INTERVAL_MS ((clk_ms)100)
/** Age of a report above which nothing is concluded from its streams. */
#define LDS_STREAMS_MAX_AGE_MS ((clk_ms)350)

struct lds
{
  struct dsp_endpoint_load *list; /**< one entry per endpoint */
  size_t n;
};

/**
 * Time of the last event of the reported streams, as far as it can be told
 * from a report of that age.  A report tells nothing of the time after it:
 * beyond one interval of reports, its streams count as having received events
 * since.
 */
clk_ms lds_last_event_at (const struct dsp_endpoint_load *load, clk_ms age_ms);

/** Adds the loads of one node.  The streams of an old report are left out, as
    their silence shows no stall; its other counts are the best ones known.
    @param age_ms  time since the node reported them */
void lds_add (struct lds *sum, const struct dsp_endpoint_load *loads, size_t n,
              clk_ms age_ms);

/** Subtracts the load of one node from a sum that contains it.  The node's
   load may have changed since; no count becomes negative. */
void lds_subtract (struct dsp_endpoint_load *sum, size_t n,
                   const struct dsp_endpoint_load *own, size_t nown);

void lds_free (struct lds *sum);

#endif
