/**
 * @file
 * What the processes of a test did while it waited for a response: time on a
 * processor, time waiting for one, and time that the host took from the
 * processor.  Tells a node that holds a request from a machine that is too
 * busy.
 */
#ifndef LAPISLINE_T_LIB_CPU_H
#define LAPISLINE_T_LIB_CPU_H

#include "base/clock.h"
#include "t/lib-rack.h"

#define CPU_MAX 256 /**< further processors are not looked at */

/** Totals of a thread since its start, in ms. */
struct cpu_use
{
  clk_ms ran;
  clk_ms waited; /**< runnable, without a processor */
  int processor; /**< the last one that it ran on */
};

struct cpu_sample
{
  clk_ms wall; /**< as in the time stamps of the nodes' logs */
  struct cpu_use test, platform, node[RACK_NODES];
  /** Time that the host ran something else, in steps of 10 ms.  The kernel
      doesn't count it as waiting of the thread. */
  clk_ms stolen[CPU_MAX];
};

/** Samples the calling thread and the main threads of the processes.  A
    thread that waits for a processor right now has that wait counted only
    after it. */
void cpu_sample (const struct rack *r, struct cpu_sample *s);

/** Describes what happened since @p before; valid until the next call. */
const char *cpu_describe (const struct rack *r,
                          const struct cpu_sample *before);

#endif
