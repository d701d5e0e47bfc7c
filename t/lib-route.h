/**
 * @file
 * Scripts for the request core: lines "TIME VERB ARGS..." in, the actions of
 * each line out as text.
 *
 *   replicas NAME[/FLAG]...   the whole list; flags: broken draining far
 *                             (other zone) gen2 until=MS (evidence) n=LOAD
 *   arrive ID ACCOUNT TARGET [once] [key] [prio=N] [by=TIME] [cost=N]
 *                            [prefix=N]
 *   claim ID VERDICT          granted running answered unknown mismatch
 *                             unavailable
 *   open|fail|broken|silent|whole ID/ATTEMPT
 *   head ID/ATTEMPT STATUS    body ID/ATTEMPT SIZE
 *   gone ID    tick    leaving    down NAME    up NAME
 *   home on|off              the home of model "lm" can be asked for slots
 *   slot ID granted NAME | slot ID queued | slot ID refused
 *   serve COUNT STEP_MS       so many times: time goes on, the attempt that
 *                             connected first is opened and answered whole;
 *                             only the ids that connect next are logged
 *   pace NAME MS              serve takes so long with that server
 *   break COUNT STEP_MS       like serve, but each attempt breaks once sent
 *   share ACCOUNT TOKENS_PER_S CONCURRENCY VALID_MS
 *
 * A verb with "*" repeats for many: "arrive* FIRST-LAST ACCOUNT TARGET ...".
 */
#ifndef LAPISLINE_T_LIB_ROUTE_H
#define LAPISLINE_T_LIB_ROUTE_H

#include "route/route.h"

/** Member of an account that the configuration requires. */
#define KEY_DIGESTS                                                           \
  "\"key_digests\":["                                                         \
  "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\"]"

struct script
{
  struct rt *rt;
  struct cfg *cfg;
  clk_ms now;
  struct buf log;
  bool brief;            /**< log only ids of connects, and answers */
  uint64_t running[256]; /**< ids by the order of their connects */
  unsigned attempts[256];
  char servers[256][16]; /**< where they run */
  size_t nrunning;
  char slow[16]; /**< server with a pace of its own */
  clk_ms slow_ms;
};

/** A core in zone "a" with the configuration given as JSON. */
struct script script_new (const char *config, unsigned nodes);
void script_free (struct script *s);
void script_run (struct script *s, const char *text);

/** Run a script and compare its log. */
void script_expect (struct script *s, const char *text, const char *log);

#endif
