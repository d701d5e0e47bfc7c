/**
 * @file
 * One run under way, shared by world.c, which makes it, world-events.c, which
 * keeps its events in order, world-homes.c, which lets a home grant the slots,
 * and world-figures.c, which reads its figures off.
 */
#ifndef LAPISLINE_BUILTIN_WORLD_RUN_H
#define LAPISLINE_BUILTIN_WORLD_RUN_H

#include "builtin/stub.h"
#include "builtin/world.h"
#include "route/slots.h"

enum world_event_kind
{
  ARRIVE,
  CONNECTED,
  AT_STUB,
  FIRST,
  DONE,
  BROKEN,
  SAMPLE,
  REPORT,
  TICK,
  FAULT,
  SEEN,
  /* Between a gateway and the home of the slots. */
  ASK_AT_HOME,
  TAKEN_AT_HOME,
  DONE_AT_HOME,
  GRANTED,
  QUEUED,
  REFUSED,
  UNANSWERED,
  OPEN_LISTS,
  HOME_TICK,
  NEXT_HOME
};

struct event
{
  double at;
  uint64_t order; /**< ties run in the order of their making */
  enum world_event_kind kind;
  uint32_t who;  /**< request, gateway or sample */
  uint32_t term; /**< of the home when it was made */
  struct stub_job *job;
};

/** What a gateway knows of a request's slot. */
enum slot_state
{
  SLOT_NONE,
  SLOT_ASKED,
  SLOT_QUEUED,
  SLOT_OURS, /**< granted or taken */
  SLOT_OVER
};

/** The home of the slots and what gateways think of it. */
struct homes
{
  struct slt *core;           /**< NULL: lost */
  uint32_t gateway;           /**< that it is */
  uint32_t term;              /**< homes so far */
  unsigned mute[WL_GATEWAYS]; /**< asks without a word, in a row */
  size_t oldest;              /**< request that may hold a slot */
  struct cfg *cfg;
};

/** A request as the run sees it. */
struct trip
{
  struct stub_job *job;
  double first; /**< at the caller; 0: none yet */
  double ended; /**< whole answer */
  bool refused, failed;
  enum slot_state slot;
  double sent;      /**< when its connection was asked for */
  uint32_t granted; /**< replica + 1; 0: the gateway chooses */
};

struct world
{
  const struct world_params *p;
  struct wl_request *requests;
  size_t n;
  size_t arrived; /**< of these, with homes */
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
  struct homes homes;
};

/* world-events.c */
void wr_post (struct world *w, double at, enum world_event_kind kind,
              uint32_t who, struct stub_job *job);
struct event wr_pop (struct world *w);

/* world.c */
double wr_one_way (const struct world *w, size_t a, size_t b);
void wr_tell (struct world *w, uint32_t gateway, const struct rt_event *ev);
void wr_arrive (struct world *w, uint32_t trip);

/* world-homes.c; all but wh_arrive() do nothing under another policy. */
void wh_start (struct world *w, struct cfg *cfg);
void wh_stop (struct world *w);
void wh_arrive (struct world *w, uint32_t trip);
void wh_connect (struct world *w, uint32_t trip, size_t replica);
void wh_forget (struct world *w, uint32_t trip);
void wh_replicas (struct world *w, const struct rt_replica *list, size_t n);
void wh_lose (struct world *w);
void wh_handle (struct world *w, const struct event *e);

/* world-figures.c */
struct world_result wr_evaluate (const struct world *w);

#endif
