/**
 * @file
 * A seeded walk over interleavings of the claim core: three gateways, each
 * with its own core and its own requests, a store that applies calls late,
 * twice over or never and loses answers, messages between gateways that are
 * lost and late, freezes, restarts, lapses of leases.  The same seed gives
 * the same walk.
 *
 * Judged: no key is sent twice within the window.  A walk that sends nothing
 * would prove nothing, so sends, repeats after a release and settled writes
 * are counted too; and planted faults have to be found.
 */
#ifndef LAPISLINE_T_LIB_CLAIM_WALK_H
#define LAPISLINE_T_LIB_CLAIM_WALK_H

#include "t/lib-claim.h"

#define CWK_WINDOW (2 * CLM_SLACK_MS)
#define CWK_KEYS 3
#define CWK_REQUESTS 24
#define CWK_MESSAGES 64

enum cwk_fault
{
  CWK_FAULT_NONE,
  CWK_FAULT_LOST_AS_APPLIED, /**< a lost answer is taken for "written" */
  CWK_FAULT_NO_GRANT_CHECK,  /**< sends without clm_grant_valid() */
  CWK_FAULT_HOME_RELEASES, /**< a home releases what another node asked for */
  CWK_FAULT_OWN_RELEASES,  /**< likewise, what it asked itself after others */
  CWK_FAULT_FORGETS_GRANT, /**< an asker takes a second grant for a leftover */
  CWK_FAULT_SAME_BOOT      /**< homes that started in the same millisecond */
};

enum cwk_req_state
{
  REQ_FREE,
  REQ_ASKING,
  REQ_GRANTED, /**< not sent yet */
  REQ_OVER     /**< kept while answers may still come */
};

struct cwk_req
{
  enum cwk_req_state state;
  uint64_t no;  /**< its attempt */
  uint64_t ask; /**< its last ask, so that late answers to earlier ones and
                     to requests that are gone fit none */
  int gateway;
  int key;
  clk_ms granted;
  struct clm_requester asker;
  int targets[CLM_MAX_TARGETS];
};

struct cwk_message
{
  bool used;
  bool is_answer;
  int from, to;
  struct clm_request ask;
  enum clm_verdict verdict;
};

struct cwk_walk
{
  struct cw w;
  struct clm_options opt;
  struct rng rng;
  enum cwk_fault fault;
  struct cwk_req reqs[CWK_REQUESTS];
  struct cwk_message messages[CWK_MESSAGES];
  bool frozen[CW_HOMES];
  bool slow[CW_HOMES]; /**< the store answers it seldom */
  uint64_t last_req, last_ask;
  uint64_t boots;
  clk_ms last_send[CWK_KEYS];
  uint64_t sends, refused, given_up, released, stale;
  const char *violation;
};

/** Walk until a violation or for @p steps; returns the steps taken.  Followed
    by cw_clear (&k->w). */
uint64_t cwk_walk (struct cwk_walk *k, uint64_t seed, uint64_t steps,
                   enum cwk_fault fault);

/** How many of the CWK_KEYS keys can be used after the trouble has ended and
    the window has passed. */
int cwk_usable_keys (struct cwk_walk *k);

#endif
