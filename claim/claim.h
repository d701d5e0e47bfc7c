/**
 * @file
 * At most once over all nodes: claims on idempotency keys (decision core).
 *
 * A claim is recorded in the store before the request goes to a backend
 * server.  Claims are spread over CLM_SHARDS shards.  Every shard has a head
 * key; one transaction compares the head's mod_revision, writes the head and
 * writes one batch key with all claims that wait (group commit, one open
 * transaction per shard).  Batch keys hang on store leases of the claim
 * window, so the store forgets them by itself.
 *
 * The home node of a shard (rendezvous hash) only serves speed: it keeps the
 * shard's claims in memory and needs no read before a write.  Two nodes that
 * both believe to be home can't both win, because the compare on the head
 * lets one of them through and the other reads again what it missed.
 *
 * A claim is identified by (key, attempt).  Asking again with the same
 * attempt is answered as before, so a lost answer costs nothing.
 */
#ifndef LAPISLINE_CLAIM_CLAIM_H
#define LAPISLINE_CLAIM_CLAIM_H

#include "base/clock.h"
#include "base/rng.h"
#include "base/str.h"
#include "store/store.h"

#define CLM_SHARDS 16

enum clm_kind
{
  CLM_TAKE,    /**< before sending */
  CLM_RELEASE, /**< surely not run: a repeat may run */
  CLM_FINISH   /**< ran to its end: keep the answer for repeats */
};

enum clm_verdict
{
  CLM_GRANTED,     /**< recorded; this attempt may send */
  CLM_RUNNING,     /**< another attempt holds it and has not ended */
  CLM_ANSWERED,    /**< done; the kept answer is attached */
  CLM_UNKNOWN,     /**< taken in the past, its end is not known */
  CLM_MISMATCH,    /**< same key, another request (fingerprint differs) */
  CLM_UNAVAILABLE, /**< surely not recorded and never will be for this
                        attempt, or so the asker must not send; retry later */
  CLM_DONE         /**< of release and finish */
};

struct clm_ask
{
  uint64_t id;     /**< the shell's, to match the reply */
  uint8_t key[16]; /**< digest of account, route and key */
  uint8_t attempt[16];
  uint8_t fingerprint[16]; /**< digest of method, path and body */
  enum clm_kind kind;
  int answer_status;
  struct str answer; /**< of CLM_FINISH; kept in memory only */
};

struct clm_reply
{
  uint64_t id;
  enum clm_verdict verdict;
  int answer_status;
  struct str answer; /**< owned by the core, valid until the next event */
  clk_ms retry_ms;
};

enum clm_action_kind
{
  CLM_ACT_REPLY,
  CLM_ACT_TXN,   /**< answer by clm_store_answer() with the same token */
  CLM_ACT_RANGE, /**< likewise */
  CLM_ACT_GRANT  /**< a store lease of ttl, likewise */
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
  struct str prefix; /**< of all store keys */
  clk_ms window;     /**< how long a key is remembered */
  size_t kept_bytes; /**< memory for kept answers, oldest out first */
  uint64_t boot;     /**< makes batch keys of this process unique */
};

struct clm;

struct clm *clm_new (const struct clm_options *opt, uint64_t seed);
void clm_free (struct clm *c);
void clm_ask (struct clm *c, clk_ms now, const struct clm_ask *ask);
void clm_store_answer (struct clm *c, clk_ms now, uint64_t token,
                       const struct store_result *r);
void clm_tick (struct clm *c, clk_ms now);
bool clm_next (struct clm *c, struct clm_action *out);

/** Shard of a key. */
unsigned clm_shard (const uint8_t key[16]);

/** Claims held in memory, for the capacity figures. */
size_t clm_held (const struct clm *c);

#endif
