/**
 * @file
 * The requesting side of a claim: which node receives the request, when the
 * next node is tried and when the request ends (decision core of one request).
 *
 * The request goes to the home node first and, after each CLM_FAILOVER_MS
 * without a response, to the next node.  All use the same attempt, which is
 * recorded only once.  Any response is final, including CLM_UNAVAILABLE:
 * otherwise each call that is refused while the store is down would cost three
 * requests.
 *
 * The core in this process is always the last target, and the only one if this
 * node is the home.  As it runs in this process, a missing response from it
 * means that the store is slow.  clm_request.final is set for this core only
 * if no other node was tried before: another node may have granted the claim,
 * and this core must not release it.
 *
 * Only the requester may release its attempt, once it is certain never to send
 * the call: another node may have granted it after a home gave up.
 */
#ifndef LAPISLINE_CLAIM_ASKER_H
#define LAPISLINE_CLAIM_ASKER_H

#include "claim/claim.h"

/** Time without a response after which the next node is tried. */
#define CLM_FAILOVER_MS ((clk_ms)300)

/** Maximum number of nodes tried for one attempt. */
#define CLM_MAX_TARGETS 3

struct clm_requester
{
  unsigned ntargets;
  unsigned ntried;    /**< targets tried so far */
  unsigned nfinished; /**< targets that responded or couldn't be reached */
  clk_ms deadline;
  clk_ms failover_at;
  bool done;
  bool granted; /**< a grant was passed to the caller */
};

enum clm_requester_action
{
  CLM_REQUESTER_NONE,
  CLM_REQUESTER_SEND,  /**< send the request to target number ntried - 1 */
  CLM_REQUESTER_REPLY, /**< the verdict received is the result */
  CLM_REQUESTER_REPLY_AND_RELEASE, /**< as CLM_REQUESTER_REPLY; also release
                           the attempt, which may still be recorded unused */
  CLM_REQUESTER_GIVE_UP, /**< CLM_UNAVAILABLE; nothing can be recorded */
  CLM_REQUESTER_GIVE_UP_AND_RELEASE, /**< CLM_UNAVAILABLE; the attempt may
                             still be recorded: release it */
  CLM_REQUESTER_RELEASE /**< a grant arrived too late: release it */
};

/** Start a request with a timeout of at most CLM_MAX_WAIT_MS.  One target
   means the core in this process.  Returns CLM_REQUESTER_SEND. */
enum clm_requester_action clm_requester_start (struct clm_requester *a,
                                               clk_ms now, clk_ms wait_ms,
                                               unsigned ntargets);
enum clm_requester_action clm_requester_tick (struct clm_requester *a,
                                              clk_ms now);

/** The last target could not be reached; the request was not delivered. */
enum clm_requester_action clm_requester_unreachable (struct clm_requester *a,
                                                     clk_ms now);
/** The last target received the request and can't respond any more. */
enum clm_requester_action clm_requester_target_lost (struct clm_requester *a,
                                                     clk_ms now);
enum clm_requester_action clm_requester_on_verdict (struct clm_requester *a,
                                                    clk_ms now,
                                                    enum clm_verdict verdict);

#endif
