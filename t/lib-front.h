/**
 * @file
 * A gateway without control before stand-ins: two replicas of one VM each of
 * the model "ghala-lm" (vm[0], vm[1]), the service "soko-api" with two
 * backend servers (soko[0], soko[1]) and "quote-api" with one (quote).
 */
#ifndef LAPISLINE_T_LIB_FRONT_H
#define LAPISLINE_T_LIB_FRONT_H

#include "t/lib-proc.h"

#define FRONT_KEY "Authorization: Bearer broker-key\r\n"
#define FRONT_OTHER_KEY "Authorization: Bearer tenant-key\r\n"

struct front
{
  struct proc *gateway;
  struct proc *vm[2];
  struct proc *soko[2];
  struct proc *quote;
  const char *http; /**< callers' address */
};

/**
 * Start all and wait until the model is routed to.
 * @param model   further keys of the model, e.g. "\"can_resume\": true", or ""
 * @param limits  keys of limits, or ""
 */
void front_up (struct front *f, const char *model, const char *limits);

/** SHA-256 of a bearer key as configurations hold it. */
const char *front_digest (const char *key);

/** Wait until a completion is answered with 200; false when none is. */
bool front_routed (const struct front *f);

/** Set faults of a stand-in: JSON as of POST /control/set. */
void front_fault (struct proc *p, const char *json);

/** A number of GET /control/counts, e.g. "runs". */
int front_count (struct proc *p, const char *key);

/** Wait until that number is @p n; false when it does not get there. */
bool front_count_is (struct proc *p, const char *key, int n);

/** Set faults of both, and the sum of a number of both. */
void front_fault_both (struct proc *const p[2], const char *json);
int front_count_both (struct proc *const p[2], const char *key);

/** Body of a completion that asks for @p prompt to be echoed. */
const char *front_prompt (const char *prompt, bool stream, int tokens);

/** Append "METHOD PATH -> STATUS OUTCOME CODE\n" of one call. */
void front_log (const struct front *f, struct buf *log, const char *method,
                const char *path, const char *headers, const char *body);

/** Append what came of an answer: "STATUS OUTCOME CODE\n". */
void front_log_answer (struct buf *log, const struct web_answer *a);

#endif
