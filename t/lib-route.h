/**
 * @file
 * Scripts for the request core: lines "TIME VERB ARGS..." in, the actions of
 * each line out as text.
 *
 *   replicas NAME[/FLAG]...   the whole list; flags: broken draining old
 *                             (evidence ends at once) far (other zone) n=LOAD
 *   arrive ID ACCOUNT TARGET [once] [key] [prio=N] [by=TIME] [cost=N]
 *                            [prefix=N]
 *   claim ID VERDICT          granted running answered unknown mismatch
 *                             unavailable
 *   open|fail|broken|silent|whole ID/ATTEMPT
 *   head ID/ATTEMPT STATUS    body ID/ATTEMPT SIZE
 *   gone ID    tick    leaving    down NAME    up NAME
 *   share ACCOUNT TOKENS_PER_S CONCURRENCY VALID_MS
 *
 * A verb with "*" repeats for many: "arrive* FIRST-LAST ACCOUNT TARGET ...".
 */
#ifndef LAPISLINE_T_LIB_ROUTE_H
#define LAPISLINE_T_LIB_ROUTE_H

#include "route/route.h"

struct script
{
  struct rt *rt;
  struct cfg *cfg;
  clk_ms now;
  struct buf log;
  bool quiet; /**< don't log the actions */
};

/** A core in zone "a" with the configuration given as JSON. */
struct script script_new (const char *config, unsigned nodes);
void script_free (struct script *s);
void script_run (struct script *s, const char *text);

/** Run a script and compare its log. */
void script_expect (struct script *s, const char *text, const char *log);

/** Name of the server to which the script's last line connected, or "". */
const char *script_server (const struct script *s);

#endif
