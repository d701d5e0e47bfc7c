/**
 * @dir claim
 * At most once over all nodes.
 *
 *   claim.h  the home's side: claims are recorded in the store
 *   asker.h  the asker's side: whom it asks, and when it is over
 *   core.h   inside of claim.h, with its files
 *   table.h, batch.h   claims in memory and in the store
 *
 * A claim is asked for, written, granted and then released or finished; a
 * shard's write goes by charts/store-write.json.  The caller is front/claims;
 * route/ knows the verdicts.
 */
/**
 * @file
 * At most once over all nodes: claims on idempotency keys (decision core).
 *
 * A claim is recorded in the store before the request goes to a backend
 * server.  Claims are spread over CLM_SHARDS shards.  Every shard has a head
 * key; one transaction compares the head's mod_revision, writes the head and
 * writes one batch key with all claims that wait (group commit, one open
 * transaction per shard).  Batch keys hang on store leases of twice the
 * window, so the store forgets them by itself.
 *
 * The home node of a shard (rendezvous hash) only serves speed: it keeps the
 * shard's claims in memory and needs no read before a write.  Two nodes that
 * both believe to be home can't both win, because the compare on the head
 * lets one of them through and the other reads again what it missed.
 *
 * A claim is identified by (key, attempt).  Asking again with the same
 * attempt is answered as before, so a lost answer costs nothing, and any
 * number of homes may be asked for one attempt.
 *
 * Frozen processes.  A home that was stopped holds an old head revision: its
 * next transaction conflicts, or nobody wrote meanwhile and it knows all.  An
 * asker that was stopped between the grant and its send could wake after the
 * window, when another attempt has the key; so a grant counts only for
 * CLM_GRANT_VALID_MS, by a clock that goes on through pauses, and the asker
 * looks at it right before it sends (clm_grant_valid()).  From the ask to the
 * send pass at most CLM_MAX_WAIT_MS + CLM_GRANT_VALID_MS; a record is made
 * after the ask or at most CLM_AGAIN_MS before it, and holds for window +
 * CLM_SLACK_MS, the sum of the three.  So whoever takes the key next sends at
 * least one window after the first send.  What is left is a stop between that
 * last look and the system call that sends, for longer than the window.
 */
#ifndef LAPISLINE_CLAIM_CLAIM_H
#define LAPISLINE_CLAIM_CLAIM_H

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"
#include "store/store.h"

/**
 * Shards of the key space.  The store sees at most shards / gap transactions
 * a second; for one such rate, fewer shards allow a shorter gap and so less
 * waiting (docs/DESIGN.md has the figures).
 */
#define CLM_SHARDS 8

/** How long after its grant came an asker may still send. */
#define CLM_GRANT_VALID_MS (5 * CLK_SECOND)

/** Longest wait of an asker for a grant. */
#define CLM_MAX_WAIT_MS (3 * CLK_SECOND)

/** For so long a record serves the same attempt again; later it is made
    anew, as other homes may be about to forget it. */
#define CLM_AGAIN_MS (2 * CLK_SECOND)

/** How much longer than the window a claim is held. */
#define CLM_SLACK_MS (CLM_GRANT_VALID_MS + CLM_MAX_WAIT_MS + CLM_AGAIN_MS)

/** Wait of an ask that names none. */
#define CLM_WAIT_MS (2 * CLK_SECOND)

/** Least time between two transactions of a shard, unless options say. */
#define CLM_GAP_MS ((clk_ms)50)

/** Claims held in memory, unless options say.  More are refused. */
#define CLM_MAX_CLAIMS ((size_t)1 << 20)

/** How long a claim without a known end is answered as running. */
#define CLM_RUNNING_MS (2 * CLK_MINUTE)

enum clm_kind
{
  CLM_ACQUIRE, /**< before sending */
  CLM_RELEASE, /**< surely not run: a repeat may run */
  CLM_FINISH   /**< ran to its end: keep the answer for repeats */
};

enum clm_verdict
{
  CLM_GRANTED,     /**< recorded; this attempt may send */
  CLM_RUNNING,     /**< another attempt holds it and has not ended */
  CLM_COMPLETED,   /**< done; the kept answer is attached */
  CLM_UNKNOWN,     /**< taken in the past, its end is not known */
  CLM_MISMATCH,    /**< same key, another request (fingerprint differs) */
  CLM_UNAVAILABLE, /**< surely not recorded and never will be for this
                        attempt, or so the asker must not send; retry later */
  CLM_ACKNOWLEDGED /**< of release and finish */
};

struct clm_request
{
  uint64_t id;     /**< the shell's, to match the reply */
  uint8_t key[16]; /**< digest of account, route and key */
  uint8_t attempt[16];
  uint8_t fingerprint[16]; /**< digest of method, path and body */
  enum clm_kind kind;
  int response_status;
  struct str response; /**< of CLM_FINISH; kept in memory only */
  clk_ms wait_ms;      /**< 0: CLM_WAIT_MS */
  /**
   * The asker asks nobody else for this attempt, so CLM_UNAVAILABLE is its
   * last word: if the record may still land, the core releases it.  A home
   * that is asked by another node must not do so: the asker may since have
   * got its grant from the next node.
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
  CLM_ACT_TXN,   /**< answer by clm_on_store_response() with the same token */
  CLM_ACT_RANGE, /**< likewise */
  CLM_ACT_LEASE_GRANT /**< a store lease of ttl, likewise */
};

struct clm_action
{
  enum clm_action_kind kind;
  uint64_t token;
  struct clm_reply reply;
  struct store_txn txn; /**< owned by the core until its answer */
  struct str key, end;
  clk_ms ttl;
};

struct clm_options
{
  struct str prefix;         /**< of all store keys */
  clk_ms window;             /**< how long a key is remembered */
  size_t max_response_bytes; /**< memory for kept answers, oldest out first */
  uint64_t boot;             /**< random: no two processes may ever share it */
  clk_ms gap_ms;     /**< between transactions of a shard; 0: CLM_GAP_MS */
  size_t max_claims; /**< 0: CLM_MAX_CLAIMS */
};

/** Since the start, for metrics and benches. */
struct clm_stats
{
  uint64_t txns, conflicts, uncertain, reads, whole_reads;
  uint64_t settled_found;  /**< lost writes that turned out applied */
  uint64_t settled_absent; /**< and those that were written again */
  uint64_t batch_records, batch_bytes;
  uint64_t granted, refused, unavailable, releases, late_releases;
};

struct clm;

struct clm *clm_new (const struct clm_options *opt, uint64_t seed);
void clm_free (struct clm *c);

/** Change the window for claims that come from now on. */
void clm_set_window (struct clm *c, clk_ms window);
void clm_request (struct clm *c, clk_ms now, const struct clm_request *ask);
void clm_on_store_response (struct clm *c, clk_ms now, uint64_t token,
                            const struct store_result *r);
void clm_tick (struct clm *c, clk_ms now);
bool clm_next (struct clm *c, struct clm_action *out);

/** Shard of a key. */
unsigned clm_shard (const uint8_t key[16]);

/** Earliest time at which a tick may change something. */
clk_ms clm_next_wakeup (const struct clm *c);

/** Whether a grant that came at time @p granted still allows sending. */
bool clm_grant_valid (clk_ms granted, clk_ms now);

const struct clm_stats *clm_stats (const struct clm *c);

/** Claims held in memory, for the capacity figures. */
size_t clm_claim_count (const struct clm *c);

#endif
