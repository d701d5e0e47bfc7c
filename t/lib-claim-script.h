/**
 * @file
 * Scripts for claim cores over a small store.  Lines of a script:
 *   hN take KEY ATTEMPT [OTHER]   ask home N; OTHER: of another request
 *   hN last KEY ATTEMPT           likewise, nobody else will be asked
 *   hN release KEY ATTEMPT
 *   hN finish KEY ATTEMPT TEXT
 *   ok N | apply N | answer N     the store executes call N, tells the core
 *   lost N | down N               the core is told uncertain, unavailable
 *   all                           ok for every call, until none is open
 *   +MS                           time passes, every core ticks
 *   sleep MS                      time passes, no core runs (frozen)
 */
#ifndef LAPISLINE_T_LIB_CLAIM_SCRIPT_H
#define LAPISLINE_T_LIB_CLAIM_SCRIPT_H

#include "t/lib-claim.h"

/** Cores, their store, and what came of it as text. */
struct csc
{
  struct cw w;
  struct buf log;
};

/** The options that scripts run with: a window of 60 s, 64 kept bytes. */
struct clm_options csc_options (void);
void csc_up (struct csc *run, size_t homes, const struct clm_options *opt);
void csc_down (struct csc *run);

/** One line "hN KIND KEY ATTEMPT REST". */
void csc_ask (struct csc *run, int home, const char *kind, char key,
              char attempt, const char *rest);

/** Execute and answer every call until none is open. */
void csc_all (struct csc *run);

/** Time passes, every core ticks. */
void csc_pass (struct csc *run, clk_ms ms);

/** Run a script and compare: lines of the expected log that begin with a
    blank are outcomes, the others are the script. */
void csc_expect (const char *expected);

#endif
