/**
 * @file
 * A randomized test of the claim core: three gateways, each with a core and
 * requests, and a store that applies calls late, twice or never and loses
 * responses.  Messages between gateways are lost and delayed, processes are
 * suspended and restarted, leases expire.  A seed determines the whole run.
 *
 * Checked: no key is sent twice within the window.  The counts of sends,
 * expired grants and resolved writes show that a run reached these cases, and
 * tests inject faults that the check must find.
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
  CWK_FAULT_LOST_AS_APPLIED, /**< treats a lost response as "applied" */
  CWK_FAULT_NO_GRANT_CHECK,  /**< sends without clm_grant_valid() */
  CWK_FAULT_HOME_RELEASES, /**< a home releases the request of another node */
  CWK_FAULT_LOCAL_CORE_RELEASES, /**< the local core releases after other
                             targets were tried */
  CWK_FAULT_RELEASES_GRANT,      /**< the requester releases a second grant */
  CWK_FAULT_SHARED_BOOT /**< homes share a boot number, as if derived from the
                         same start time */
};

enum cwk_req_state
{
  REQ_FREE,
  REQ_PENDING,
  REQ_GRANTED, /**< not sent yet */
  REQ_DONE     /**< kept while responses may still arrive */
};

struct cwk_req
{
  enum cwk_req_state state;
  uint64_t attempt;
  uint64_t request_id; /**< of the last claim request, so that late responses
                           to earlier ones are ignored */
  int gateway;
  int key;
  clk_ms granted;
  struct clm_requester requester;
  int targets[CLM_MAX_TARGETS];
};

struct cwk_message
{
  bool used;
  bool is_response;
  int from, to;
  struct clm_request request;
  enum clm_verdict verdict;
};

struct cwk_run
{
  struct cw w;
  struct clm_options opt;
  struct rng rng;
  enum cwk_fault fault;
  struct cwk_req reqs[CWK_REQUESTS];
  struct cwk_message messages[CWK_MESSAGES];
  bool suspended[CW_HOMES];
  bool slow[CW_HOMES]; /**< the store responds rarely to this home */
  uint64_t last_attempt, last_request_id;
  uint64_t last_boot;
  clk_ms last_send[CWK_KEYS];
  uint64_t sends, refused, given_up, released, expired_grants;
  const char *violation;
};

/** Run until a violation or for @p steps steps; returns the number of steps.
    Call cw_clear (&k->w) afterwards. */
uint64_t cwk_run (struct cwk_run *k, uint64_t seed, uint64_t steps,
                  enum cwk_fault fault);

/** Number of keys that can be used after all faults have ended and the window
    has passed. */
int cwk_usable_keys (struct cwk_run *k);

#endif
