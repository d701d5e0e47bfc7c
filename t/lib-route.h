/**
 * @file
 * Script interpreter for the request core. Input lines are "TIME VERB
 * ARGS..."; the log contains the actions of each line as text.
 *
 *   replicas NAME[/FLAG]...   the complete list; flags: broken draining far
 *                             (other zone) gen2 until=MS (validity) n=LOAD
 *   arrive ID ACCOUNT TARGET [once] [key] [prio=N] [by=TIME] [cost=N]
 *                            [prefix=N]; once: not idempotent
 *   claim ID VERDICT          granted running answered unknown mismatch
 *                             unavailable
 *   open|fail|broken|silent|whole ID/ATTEMPT
 *   head ID/ATTEMPT STATUS    body ID/ATTEMPT SIZE
 *   notice ID/ATTEMPT pause=MS | notice ID/ATTEMPT leaving
 *                             what the response says of its server
 *   gone ID    tick    leaving    down NAME    up NAME
 *   home on|off               whether the home of model "lm" is reachable
 *   slot ID granted NAME | slot ID queued | slot ID refused
 *   serve COUNT STEP_MS       COUNT times: complete the oldest attempt after
 *                             STEP_MS; only the ids that connect next are
 *                             logged
 *   pace NAME MS              `serve` takes MS on that server
 *   break COUNT STEP_MS       like serve, but each attempt breaks once sent
 *   share ACCOUNT TOKENS_PER_S CONCURRENCY VALID_MS
 *
 * A verb with "*" is repeated for a range of ids: "arrive* FIRST-LAST ACCOUNT
 * TARGET ...".
 */
#ifndef LAPISLINE_T_LIB_ROUTE_H
#define LAPISLINE_T_LIB_ROUTE_H

#include "route/route.h"

/** Account member that a configuration requires. */
#define KEY_DIGESTS                                                           \
  "\"key_digests\":["                                                         \
  "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\"]"

struct script
{
  struct rt *rt;
  struct cfg *cfg;
  clk_ms now;
  struct buf log;
  bool show_delays;      /**< log retry delays of error responses */
  bool brief;            /**< log only ids of connects and error responses */
  uint64_t running[256]; /**< ids in the order of their connects */
  unsigned attempts[256];
  char servers[256][16]; /**< servers of these */
  size_t nrunning;
  char slow[16]; /**< server with a different service time */
  clk_ms slow_ms;
};

/** Create a core in zone "a" with the configuration given as JSON. */
struct script script_new (const char *config, unsigned nodes);
/** Put another configuration into force. */
void script_configure (struct script *s, const char *config);
void script_free (struct script *s);
void script_run (struct script *s, const char *text);

/** Run a script and compare its log. */
void script_expect (struct script *s, const char *text, const char *log);

#endif
