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
 * when nobody else was asked before is it asked with clm_request.final: else
 * an earlier target may have granted what the own core gives up.
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
#define CLM_MAX_TARGETS 3

struct clm_requester
{
  unsigned ntargets;
  unsigned ntried;     /**< targets asked so far */
  unsigned nresponded; /**< of them */
  clk_ms deadline;
  clk_ms next;
  bool done;
  bool granted; /**< a grant was handed on */
};

enum clm_requester_action
{
  CLM_REQUESTER_NONE,
  CLM_REQUESTER_SEND,              /**< ask target number asked - 1 */
  CLM_REQUESTER_REPLY,             /**< the verdict that came is the result */
  CLM_REQUESTER_REPLY_AND_RELEASE, /**< likewise; no grant, and a record may
                             still land: it must be released */
  CLM_REQUESTER_GIVE_UP, /**< CLM_UNAVAILABLE; nothing can be recorded */
  CLM_REQUESTER_GIVE_UP_AND_RELEASE, /**< CLM_UNAVAILABLE; a record may still
                               land: it must be released */
  CLM_REQUESTER_RELEASE              /**< a grant came too late: release it */
};

/** Begin; at most CLM_MAX_WAIT_MS are waited; one target means this process's
   own core alone.  Gives CLM_REQUESTER_SEND. */
enum clm_requester_action clm_requester_start (struct clm_requester *a,
                                               clk_ms now, clk_ms wait_ms,
                                               unsigned ntargets);
enum clm_requester_action clm_requester_tick (struct clm_requester *a,
                                              clk_ms now);

/** The last target asked can't be reached; nothing was handed to it. */
enum clm_requester_action clm_requester_unreachable (struct clm_requester *a,
                                                     clk_ms now);
/** The last target was handed the ask and can't answer any more. */
enum clm_requester_action clm_requester_target_lost (struct clm_requester *a,
                                                     clk_ms now);
enum clm_requester_action clm_requester_on_verdict (struct clm_requester *a,
                                                    clk_ms now,
                                                    enum clm_verdict verdict);

#endif
