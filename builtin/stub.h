/**
 * @file
 * Queueing stub of one model replica, in virtual time.
 *
 * Requests take one of the slots in the order of arrival; prefills run one
 * after another, decoding side by side and slower the more slots are taken.
 * A bounded prefix cache (least recently used out first) saves the prefill
 * of a prefix.
 */
#ifndef LAPISLINE_BUILTIN_STUB_H
#define LAPISLINE_BUILTIN_STUB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "builtin/workload.h"

#define STUB_SLOTS 16
#define STUB_CACHE 32           /* prefixes */
#define STUB_PREFILL_PER_MS 8.0 /* tokens */
#define STUB_TOKEN_MS 20.0      /* between tokens, alone */
#define STUB_TOKEN_SLOT_MS 0.6  /* and for each slot that is taken */

/** One attempt on a replica. */
struct stub_job
{
  const struct wl_request *request;
  struct stub_job *next;
  struct stub *stub;
  double first_at, done_at;
  uint32_t owner; /**< of the caller of the stub */
  uint32_t attempt;
  bool here; /**< arrived at the replica */
  bool started, over, hit;
};

struct stub
{
  unsigned running;
  struct stub_job *head, *tail; /**< waiting */
  double prefill_free;
  double slow; /**< 1: as its peers */
  bool lost;
  double load; /**< tokens of all that is on it */
  uint32_t cache[STUB_CACHE];
  size_t cached;
};

/** Told when a job gets its slot and its times are known. */
typedef void (*stub_started_fn) (void *ctx, struct stub_job *job);

void stub_arrive (struct stub *s, double now, struct stub_job *job,
                  stub_started_fn started, void *ctx);
/** The job ended or was cancelled: its slot goes to the next. */
void stub_leave (struct stub *s, double now, struct stub_job *job,
                 stub_started_fn started, void *ctx);
bool stub_cached (const struct stub *s, uint32_t prefix);
/** Time to the first token if the request got a slot now. */
double stub_first_ms (const struct stub *s, double now,
                      const struct wl_request *q);

/** Mean time in a slot at a usual load, to scale the arrivals by. */
double stub_service_ms (const struct workload *w);

#endif
