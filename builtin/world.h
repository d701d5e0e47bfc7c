/**
 * @file
 * One run of `bench route`: a recorded workload through several gateways,
 * each with a request core of its own, onto queueing stubs of replicas.
 */
#ifndef LAPISLINE_BUILTIN_WORLD_H
#define LAPISLINE_BUILTIN_WORLD_H

#include "builtin/policies.h"
#include "builtin/workload.h"

/** What goes wrong in a third of the run. */
enum world_fault
{
  FAULT_NONE,
  FAULT_STRAGGLER, /**< one replica turns four times as slow */
  FAULT_LOST,      /**< one replica dies; the view says so 3 s later */
  FAULT_HOME,      /**< the slots' home falls silent; the next 3 s later */
  FAULTS
};

extern const char *const fault_names[FAULTS];

struct world_params
{
  const struct workload *workload;
  enum policy policy;
  enum world_fault fault;
  size_t replicas;
  unsigned gateways; /**< at most WL_GATEWAYS */
  double lag_ms;     /**< of load reports */
  uint64_t seed;
};

struct world_result
{
  double p50, p95, p99; /**< time to first token, ms */
  double small_p99;     /**< of the small account */
  double met;           /**< part of the deadlines; 1 when there are none */
  double hit;           /**< part of the prefixes that were cached */
  double refused;       /**< part answered not-run */
  double failed;        /**< part answered failed or unknown, or cut */
  size_t n;
};

struct world_result world_run (const struct world_params *p);

#endif
