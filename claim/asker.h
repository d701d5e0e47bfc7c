/**
 * @file
 * The asker's side of a claim: which node is asked, when the next one is,
 * and when the ask is over (decision core of one ask).
 *
 * The home is asked first, after CLM_STEP_MS of silence the next node, always
 * for the same attempt; whoever records it, records it once.  A node that
 * answers has the last word, also with CLM_UNAVAILABLE: were all others asked
 * too while the store is down, each refused call would cost three of them.
 *
 * This process's own core is always the last target (and the only one when it
 * is the home): it is alive, so its silence means that the store is slow. Only
 * when nobody else was asked before is it asked with clm_ask.final: else an
 * earlier target may have granted what the own core gives up.
 *
 * The asker alone may release its attempt, and only once it is sure never to
 * send: a home that gave up can't know that another one granted it.
 */
#ifndef LAPISLINE_CLAIM_ASKER_H
#define LAPISLINE_CLAIM_ASKER_H

#include "claim/claim.h"

/** Silence after which the next node is asked. */
#define CLM_STEP_MS ((clk_ms)300)

/** Nodes that are asked for one attempt. */
#define CLM_TARGETS 3

struct clm_asker
{
  unsigned ntargets;
  unsigned asked;    /**< targets asked so far */
  unsigned answered; /**< of them */
  clk_ms deadline;
  clk_ms next;
  bool over;
  bool granted; /**< a grant was handed on */
};

enum clm_asker_do
{
  CLM_ASKER_NOTHING,
  CLM_ASKER_ASK,          /**< ask target number asked - 1 */
  CLM_ASKER_REPLY,        /**< the verdict that came is the result */
  CLM_ASKER_REPLY_LATE,   /**< likewise; no grant, and a record may still
                               land: it must be released */
  CLM_ASKER_GIVE_UP,      /**< CLM_UNAVAILABLE; nothing can be recorded */
  CLM_ASKER_GIVE_UP_LATE, /**< CLM_UNAVAILABLE; a record may still land: it
                               must be released */
  CLM_ASKER_RELEASE       /**< a grant came too late: release it */
};

/** Begin; at most CLM_ASK_MS are waited; one target means this process's own
   core alone.  Gives CLM_ASKER_ASK. */
enum clm_asker_do clm_asker_start (struct clm_asker *a, clk_ms now,
                                   clk_ms wait_ms, unsigned ntargets);
enum clm_asker_do clm_asker_tick (struct clm_asker *a, clk_ms now);

/** The last target asked can't be reached; nothing was handed to it. */
enum clm_asker_do clm_asker_unreachable (struct clm_asker *a, clk_ms now);
/** The last target was handed the ask and can't answer any more. */
enum clm_asker_do clm_asker_silent (struct clm_asker *a, clk_ms now);
enum clm_asker_do clm_asker_answer (struct clm_asker *a, clk_ms now,
                                    enum clm_verdict verdict);

#endif
