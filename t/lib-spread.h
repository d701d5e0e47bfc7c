/**
 * @file
 * Scripts for the spread core: a script of events in, the log of the core's
 * actions out.
 *
 *   t MS                       ticks up to that time
 *   up P | down P              a peer's link
 *   have|want P REV DOC        a peer's message
 *   chunk P REV DOC FROM LEN   a peer's chunk, "bad" behind it: of other bytes
 *   manifest REV DOC SEEN      the store's manifest, read or watched
 *   doc REV DOC                the store's document
 *   fail                       the store gave no answer
 *   reader on|off
 *
 * DOC is a letter: small ones are 5 bytes of it, A 70000, B 200000, C 900000.
 */
#ifndef LAPISLINE_T_LIB_SPREAD_H
#define LAPISLINE_T_LIB_SPREAD_H

/** Run a script with a new core and compare the log. */
void spread_expect (const char *script, const char *want);

#endif
