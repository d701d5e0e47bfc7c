/**
 * @file
 * Scripts for claim cores with a small store.  Lines of a script:
 *   hN take KEY ATTEMPT [OTHER]   request to home N; OTHER: its fingerprint
 *   hN final KEY ATTEMPT          the same, with clm_request.final
 *   hN release KEY ATTEMPT
 *   hN finish KEY ATTEMPT TEXT
 *   ok N | apply N | answer N     call N: apply and respond, apply, respond
 *   lost N | down N               respond to call N: uncertain, unavailable
 *   all                           ok for every call until none is open
 *   +MS                           time passes and every core ticks
 *   sleep MS                      time passes and no core runs (suspended)
 */
#ifndef LAPISLINE_T_LIB_CLAIM_SCRIPT_H
#define LAPISLINE_T_LIB_CLAIM_SCRIPT_H

#include "t/lib-claim.h"

/** Cores, their store and a log of the outcomes. */
struct csc
{
  struct cw w;
  struct buf log;
};

/** Options of the scripts: a window of 60 s, 64 bytes for responses. */
struct clm_options csc_options (void);
void csc_start (struct csc *run, size_t homes, const struct clm_options *opt);
void csc_stop (struct csc *run);

/** One line "hN KIND KEY ATTEMPT REST". */
void csc_request (struct csc *run, int home, const char *kind, char key,
                  char attempt, const char *rest);

/** Apply and respond to every call until none is open. */
void csc_complete_all (struct csc *run);

/** Advance time; every core ticks. */
void csc_advance (struct csc *run, clk_ms ms);

/** Run a script and compare the log.  In @p expected, lines that start with a
    blank are outcomes; the others are the script. */
void csc_expect (const char *expected);

#endif
