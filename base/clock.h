/**
 * @file
 * The one clock type: milliseconds.
 *
 * Decisions never read a clock; they are told the time.  Only the process
 * shells call clk_now() and clk_wall().
 */
#ifndef LAPISLINE_BASE_CLOCK_H
#define LAPISLINE_BASE_CLOCK_H

#include <stdint.h>

/** A point in time or a span, in milliseconds. */
typedef int64_t clk_ms;

/** Later than any time that occurs. */
#define CLK_NEVER INT64_MAX

#define CLK_SECOND ((clk_ms)1000)
#define CLK_MINUTE (60 * CLK_SECOND)

/**
 * Monotonic time that goes on while the process is stopped or the VM sleeps
 * (CLOCK_BOOTTIME).  A lease that lapsed during a pause is seen as lapsed by
 * the first call after it; a cached loop time would still show it valid.
 */
clk_ms clk_now (void);

/** Wall clock since the epoch, for logs and traces only. */
clk_ms clk_wall (void);

/** Time for which the calling thread has waited for a processor since it
    started, as the kernel counts it; 0 if it doesn't.  For logs only. */
clk_ms clk_cpu_wait (void);

#endif
