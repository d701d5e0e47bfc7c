/**
 * @file
 * Internal declarations of the claim core.
 *
 *   claim.c   requests, replies, deadlines
 *   calls.c   availability of the store, the lease
 *   decide.c  the decision on a request from the records in memory
 *   shard.c   a shard's open write, resolving uncertain writes, reads
 *   table.c   claims in memory
 *   batch.c   keys and values in the store
 *   asker.c   the requesting side: targets and timeouts of a request
 */
#ifndef LAPISLINE_CLAIM_CORE_H
#define LAPISLINE_CLAIM_CORE_H

#include "base/chart.h"
#include "claim/batch.h"
#include "claim/table.h"

/** A request is not refused by records that were last confirmed longer ago:
   the store is read first. */
#define CORE_FRESH_MS CLK_SECOND

/** Maximum number of waiting requests per shard; more are refused. */
#define CORE_MAX_WAITING ((size_t)8192)

/** A request that is not decided yet, or a release that the core queued. */
struct waiter
{
  struct clm_request request;
  clk_ms deadline;
  bool replied;
  struct tbl_rec *rec; /**< set while in a batch */
  struct waiter *next;
};

struct waiter_list
{
  struct waiter *first, *last;
  size_t n;
};

enum shard_op
{
  OP_NONE,
  OP_TXN,
  OP_READ_ALL,
  OP_READ_NEW /**< batches after head_rev */
};

struct shard
{
  unsigned no;
  struct waiter_list waiting;
  struct waiter_list batch; /**< of the write that is not resolved */
  int write_state;          /**< of chart "store-write" */
  bool response_lost;       /**< the response to this write, which may still be
                               applied */
  clk_ms formed_at;
  struct bat_name batch_name;
  struct buf head_key, head_value, batch_key, value, range_key, range_end;
  struct store_compare compare;
  struct store_put puts[2];

  enum shard_op op;
  uint64_t token;
  clk_ms sent_at;
  bool is_probe; /**< the open call was started while the store was down */

  bool has_all;        /**< the table holds every claim up to head_rev */
  int64_t head_rev;    /**< mod_revision of the head key, 0: none */
  clk_ms confirmed_at; /**< head_rev was current at this time or later */
  bool needs_read;     /**< a waiting request needs a newer read */
  clk_ms next_write;   /**< earliest time of the next write */
  clk_ms next_read;    /**< earliest time of the next read */
};

/** Events and states of chart "store-write". */
struct write_chart
{
  const struct chart *chart;
  int idle, open, uncertain, settling;
  int ev_write, ev_applied, ev_conflict, ev_unsent, ev_lost, ev_read, ev_found,
      ev_absent, ev_moved, ev_silent;
};

struct core_lease
{
  int64_t id; /**< 0: none */
  clk_ms usable_until;
  uint64_t token; /**< of the open call; 0: none */
  clk_ms sent_at;
  clk_ms next_request; /**< earliest time of the next request */
  bool is_probe;
};

struct core_action
{
  struct clm_action action;
  char *response; /**< copy for a reply, owned by this entry */
};

struct clm
{
  struct clm_options opt;
  char *prefix;
  struct write_chart chart;
  struct rng rng;
  struct tbl table;
  struct shard shards[CLM_SHARDS];
  struct core_lease lease;
  uint64_t last_token, last_seq;
  unsigned nfailures; /**< consecutive failed store calls */
  clk_ms probe_at;    /**< earliest next call after a failed one */
  int probe_shard;    /**< shard to read, to check if the store is back; -1:
                           none */
  clk_ms next_deadline;
  struct core_action *actions;
  size_t nactions, actions_cap, actions_read;
  struct clm_stats counts;
};

/* claim.c */

/** Queue an empty action of this kind. */
struct clm_action *core_push_action (struct clm *c, enum clm_action_kind kind);
void core_reply (struct clm *c, struct waiter *w, enum clm_verdict verdict,
                 const struct tbl_rec *holder);

/** Reply CLM_UNAVAILABLE; queue a release if clm_request.final requires it. */
void core_reply_unavailable (struct clm *c, struct shard *s, struct waiter *w);

void waiter_append (struct waiter_list *l, struct waiter *w);
struct waiter *waiter_pop (struct waiter_list *l);

/* calls.c */

/** Consecutive failures after which the store is considered down.  After a
    single lost response, no request is refused. */
#define CORE_DOWN_FAILURES 2

/** Number of open calls; @p normal receives the number of those that were
    started while the store was not down. */
unsigned core_open_calls (const struct clm *c, unsigned *normal);

/** Whether the store is considered down: requests are refused immediately. */
bool core_store_down (const struct clm *c);

/** Whether a store call may start now. */
bool core_may_call (const struct clm *c, clk_ms now);
void core_call_succeeded (struct clm *c);
void core_call_failed (struct clm *c, clk_ms now);

bool core_lease_usable (const struct clm *c, clk_ms now);

/** Returns true if there is a usable lease; otherwise requests one. */
bool core_ensure_lease (struct clm *c, clk_ms now);
void core_on_lease_response (struct clm *c, clk_ms now,
                             const struct store_result *r);
clk_ms core_claim_expiry (const struct clm *c, clk_ms now);

/* decide.c */

enum decision
{
  DECIDE_REPLY, /**< `verdict`, `holder` */
  DECIDE_WRITE,
  DECIDE_WAIT, /**< until the pending write is resolved */
  DECIDE_READ  /**< the records are old: read the store first */
};

struct decision_result
{
  enum decision what;
  enum clm_verdict verdict;
  const struct tbl_rec *holder;
};

struct decision_result decide (struct clm *c, const struct shard *s,
                               const struct waiter *w, clk_ms now);

/* shard.c */

void shard_init (struct clm *c, struct shard *s, unsigned no);
void shard_free (struct shard *s);

/** Start the store call that can start now, if any. */
void shard_start_call (struct clm *c, struct shard *s, clk_ms now);
void shard_on_response (struct clm *c, struct shard *s, clk_ms now,
                        const struct store_result *r);

/** Start a read without waiting requests, to check if the store is back. */
void shard_probe (struct clm *c, struct shard *s, clk_ms now);

/** Whether a store call is needed and none is open. */
bool shard_has_work (const struct clm *c, const struct shard *s);

#endif
