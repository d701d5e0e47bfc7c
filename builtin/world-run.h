/**
 * @file
 * One run under way, shared by world.c, which makes it, and world-figures.c,
 * which reads its figures off.
 */
#ifndef LAPISLINE_BUILTIN_WORLD_RUN_H
#define LAPISLINE_BUILTIN_WORLD_RUN_H

#include "builtin/stub.h"
#include "builtin/world.h"

struct event;

/** A request as the run sees it. */
struct trip
{
  struct stub_job *job;
  double first; /**< at the caller; 0: none yet */
  double ended; /**< whole answer */
  bool refused, failed;
};

struct world
{
  const struct world_params *p;
  struct wl_request *requests;
  size_t n;
  struct trip *trips;
  struct rt *gateways[WL_GATEWAYS];
  double tick_at[WL_GATEWAYS];
  size_t counters[WL_GATEWAYS];
  struct stub *stubs;
  char (*names)[24];
  struct event *heap;
  size_t heap_n, heap_cap;
  uint64_t order;
  double now;
  double *loads;      /**< samples, replicas in a row */
  double *sampled_at; /**< of each sample */
  size_t nsamples;
  bool seen; /**< the view knows of the lost replica */
  struct stub_job **jobs;
  size_t njobs, jobs_cap;
  uint32_t *waiting; /**< the omniscient queue, a ring */
  size_t wait_head, wait_n;
};

struct world_result wr_evaluate (const struct world *w);

#endif
