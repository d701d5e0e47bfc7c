/**
 * @dir claim
 * At-most-once execution across all nodes.
 *
 *   claim.h  the home node's side: recording claims in the store
 *   asker.h  the requesting side: which nodes are tried, and until when
 *   core.h   internal declarations of claim.h
 *   table.h, batch.h   claims in memory and in the store
 *
 * A claim is requested, written, granted and then released or finished.  A
 * shard's write follows charts/store-write.json.  The caller is front/claims;
 * route/ uses the verdicts.
 */
/**
 * @file
 * At-most-once execution across all nodes: claims on idempotency keys
 * (decision core).
 *
 * A claim is recorded in the store before the call is sent to a backend
 * server.  Claims are spread over CLM_SHARDS shards.  Each shard has a head
 * key.  One transaction compares the head's mod_revision, writes the head and
 * writes one batch key with all waiting claims (group commit, one open
 * transaction per shard).  Batch keys are attached to store leases of twice
 * the window, so the store deletes them without further calls.
 *
 * Each shard has a home node (rendezvous hash), which holds the shard's claims
 * in memory and needs no read before a write.  This is only an optimization:
 * if two nodes act as home, they can't both grant a key, because the compare
 * on the head accepts one write, and the other node reads the records that it
 * missed.
 *
 * A claim is identified by (key, attempt).  An attempt is a random number that
 * the gateway draws for each client request.  Repeating a claim request with
 * the same attempt gives the same result, so a lost response is harmless, and
 * any number of nodes may receive the request for one attempt.
 *
 * Suspended processes.  A home that was suspended has an old head revision:
 * its next transaction conflicts, unless no node wrote in between and its
 * records are complete.  A requester that was suspended between grant and send
 * could resume after the window, when another attempt holds the key.  A grant
 * is therefore valid only for CLM_GRANT_VALID_MS, by a clock that continues
 * during suspension, and the requester checks it immediately before sending
 * (clm_grant_valid()).  At most CLM_MAX_WAIT_MS + CLM_GRANT_VALID_MS pass
 * between request and send.  A record is made after the request or at most
 * CLM_REUSE_MS before it and is held for window + CLM_SLACK_MS, where
 * CLM_SLACK_MS is the sum of these three times.  So the next attempt on the
 * key is sent at least one window after the first one was sent.  Not covered:
 * a process that is suspended for longer than the window between
 * clm_grant_valid() and the system call that sends.
 */
#ifndef LAPISLINE_CLAIM_CLAIM_H
#define LAPISLINE_CLAIM_CLAIM_H

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"
#include "store/store.h"

/**
 * Shards of the key space.  The store receives at most shards / gap
 * transactions a second.  For the same rate, fewer shards allow a shorter gap
 * and so a shorter wait (docs/DESIGN.md has the figures).
 */
#define CLM_SHARDS 8

/** Time after receiving a grant during which the call may be sent. */
#define CLM_GRANT_VALID_MS (5 * CLK_SECOND)

/** Maximum time that a requester waits for a grant. */
#define CLM_MAX_WAIT_MS (3 * CLK_SECOND)

/** A record of the same attempt is reused for this long.  An older one may be
    about to expire on other nodes, so it is written again. */
#define CLM_REUSE_MS (2 * CLK_SECOND)

/** Time that a claim is held beyond the window. */
#define CLM_SLACK_MS (CLM_GRANT_VALID_MS + CLM_MAX_WAIT_MS + CLM_REUSE_MS)

/** Default timeout of a request. */
#define CLM_DEFAULT_WAIT_MS (2 * CLK_SECOND)

/** Default for the minimum time between two transactions of a shard. */
#define CLM_DEFAULT_GAP_MS ((clk_ms)50)

/** Default for the maximum number of claims in memory; more are refused. */
#define CLM_DEFAULT_MAX_CLAIMS ((size_t)1 << 20)

/** A claim whose outcome is unknown is reported as running for this long. */
#define CLM_RUNNING_MS (2 * CLK_MINUTE)

enum clm_kind
{
  CLM_ACQUIRE, /**< before the call is sent */
  CLM_RELEASE, /**< certainly not executed: a retry may run */
  CLM_FINISH   /**< executed: keep the response for retries */
};

enum clm_verdict
{
  CLM_GRANTED,     /**< recorded; this attempt may send the call */
  CLM_RUNNING,     /**< held by another attempt that has not finished */
  CLM_COMPLETED,   /**< finished; the stored response is attached */
  CLM_UNKNOWN,     /**< claimed earlier; outcome unknown */
  CLM_MISMATCH,    /**< same key, different request (fingerprint differs) */
  CLM_UNAVAILABLE, /**< not granted: the requester must not send the
                      call; it may retry later */
  CLM_ACKNOWLEDGED /**< result of release and finish */
};

struct clm_request
{
  uint64_t id;     /**< set by the caller, returned in the reply */
  uint8_t key[16]; /**< digest of account, route and key */
  uint8_t attempt[16];
  uint8_t fingerprint[16]; /**< digest of method, path and body */
  enum clm_kind kind;
  int response_status;
  struct str response; /**< for CLM_FINISH; kept in memory only */
  clk_ms wait_ms;      /**< 0: CLM_DEFAULT_WAIT_MS */
  /**
   * Set if the requester tries no other node for this attempt.  After
   * CLM_UNAVAILABLE, the core then releases a record that may still be
   * applied. It must not be set for a request from another node, which may
   * have received a grant from the next node in the meantime.
   */
  bool final;
};

struct clm_reply
{
  uint64_t id;
  enum clm_verdict verdict;
  int response_status;
  struct str response; /**< owned by the core, valid until the next event */
  clk_ms retry_after_ms;
};

enum clm_action_kind
{
  CLM_ACT_REPLY,
  CLM_ACT_TXN, /**< pass the response to clm_on_store_response(), with token */
  CLM_ACT_RANGE,      /**< as CLM_ACT_TXN */
  CLM_ACT_LEASE_GRANT /**< a store lease of ttl; as CLM_ACT_TXN */
};

struct clm_action
{
  enum clm_action_kind kind;
  uint64_t token;
  struct clm_reply reply;
  struct store_txn txn; /**< owned by the core until the response */
  struct str key, end;
  clk_ms ttl;
};

struct clm_options
{
  struct str prefix;         /**< prefix of all store keys */
  clk_ms window;             /**< how long a key is remembered */
  size_t max_response_bytes; /**< memory limit of stored responses; the oldest
                        are evicted first */
  uint64_t boot;             /**< random; must be unique to each process */
  clk_ms gap_ms;             /**< minimum between transactions of a shard; 0:
                                CLM_DEFAULT_GAP_MS */
  size_t max_claims;         /**< 0: CLM_DEFAULT_MAX_CLAIMS */
};

/** Counters since the start; late_releases counts the releases that the core
    queued after CLM_UNAVAILABLE. */
struct clm_stats
{
  uint64_t txns, conflicts, uncertain, reads, whole_reads;
  uint64_t resolved_applied; /**< uncertain writes that were found applied */
  uint64_t resolved_absent;  /**< uncertain writes that were sent again */
  uint64_t batch_records, batch_bytes;
  uint64_t granted, refused, unavailable, releases, late_releases;
};

struct clm;

struct clm *clm_new (const struct clm_options *opt, uint64_t seed);
void clm_free (struct clm *c);

/** Change the window for new claims. */
void clm_set_window (struct clm *c, clk_ms window);
void clm_request (struct clm *c, clk_ms now,
                  const struct clm_request *request);
void clm_on_store_response (struct clm *c, clk_ms now, uint64_t token,
                            const struct store_result *r);
void clm_tick (struct clm *c, clk_ms now);
bool clm_next (struct clm *c, struct clm_action *out);

unsigned clm_shard (const uint8_t key[16]);

/** Earliest time at which clm_tick() may have work. */
clk_ms clm_next_wakeup (const struct clm *c);

/** Whether a grant received at time @p granted still permits sending. */
bool clm_grant_valid (clk_ms granted, clk_ms now);

const struct clm_stats *clm_stats (const struct clm *c);

/** Number of claims in memory. */
size_t clm_claim_count (const struct clm *c);

#endif
