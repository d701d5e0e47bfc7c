/**
 * @file
 * Inside of the claim core, shared by its files only.
 *
 *   claim.c   asks in, replies out, deadlines
 *   calls.c   store up or down, the lease
 *   decide.c  what an ask gets by what is known
 *   shard.c   one shard's open write, its settling, reads
 *   table.c   claims in memory
 *   batch.c   names and values in the store
 *   asker.c   the other side: whom an ask goes to, and when it is over
 */
#ifndef LAPISLINE_CLAIM_CORE_H
#define LAPISLINE_CLAIM_CORE_H

#include "base/chart.h"
#include "claim/batch.h"
#include "claim/table.h"

/** A refusal by what was confirmed longer ago is checked in the store. */
#define CORE_FRESH_MS CLK_SECOND

/** Asks that wait per shard; more are refused. */
#define CORE_MAX_WAIT ((size_t)8192)

/** An ask that is not decided yet, or a release without an asker. */
struct waiter
{
  struct clm_request ask;
  clk_ms deadline;
  bool told;           /**< its asker has got its answer */
  struct tbl_rec *rec; /**< while in a batch */
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
  OP_READ_NEW /**< from the known head on */
};

struct shard
{
  unsigned no;
  struct waiter_list waiting;
  struct waiter_list batch; /**< of the write that is not settled */
  int write;                /**< state of chart "store-write" */
  bool lost;     /**< an answer of this write was lost: it may land later */
  clk_ms formed; /**< the batch was put together */
  struct bat_name name;
  struct buf head_key, head_value, batch_key, value, range_key, range_end;
  struct store_compare compare;
  struct store_put puts[2];

  enum shard_op op;
  uint64_t token;
  clk_ms sent;
  bool probe; /**< the open call was begun while the store was down */

  bool known;       /**< every claim up to `head` is in the table */
  int64_t head;     /**< mod_revision of the head key, 0: none */
  clk_ms confirmed; /**< `head` was the last one at this time or later */
  bool want_read;   /**< somebody waits for a newer view */
  clk_ms next_write;
  clk_ms next_read;
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
  uint64_t token; /**< of the open call, 0: none */
  clk_ms sent;
  clk_ms next; /**< not asked for before */
  bool probe;
};

struct core_action
{
  struct clm_action action;
  char *answer; /**< owned copy for a reply */
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
  unsigned fails;  /**< store calls failed in a row */
  clk_ms probe_at; /**< not before then when the last call failed */
  int demand;      /**< shard of an ask refused while down, or -1 */
  clk_ms next_deadline;
  struct core_action *actions;
  size_t nactions, actions_cap, actions_read;
  struct clm_stats counts;
};

/* claim.c */

/** Queue an empty action of that kind. */
struct clm_action *core_act (struct clm *c, enum clm_action_kind kind);
void core_reply (struct clm *c, struct waiter *w, enum clm_verdict verdict,
                 const struct tbl_rec *holder);

/** Answer CLM_UNAVAILABLE; queue the release when that is final. */
void core_unavailable (struct clm *c, struct shard *s, struct waiter *w);

void waiter_append (struct waiter_list *l, struct waiter *w);
struct waiter *waiter_pop (struct waiter_list *l);

/* calls.c */

/** Failures in a row from which on the store is taken as down.  One lost
    answer alone is settled without refusing anybody. */
#define CORE_DOWN_FAILS 2

/** Open calls; @p normal receives those begun while it was not down. */
unsigned core_open_calls (const struct clm *c, unsigned *normal);

/** Whether the store is taken as down: asks are refused at once. */
bool core_down (const struct clm *c);

/** Whether a store call may begin now. */
bool core_may_call (const struct clm *c, clk_ms now);
void core_call_ok (struct clm *c);
void core_call_failed (struct clm *c, clk_ms now);

bool core_lease_usable (const struct clm *c, clk_ms now);

/** True when a usable lease is there; else asks for one. */
bool core_lease (struct clm *c, clk_ms now);
void core_lease_answer (struct clm *c, clk_ms now,
                        const struct store_result *r);
clk_ms core_expiry (const struct clm *c, clk_ms now);

/* decide.c */

enum decision
{
  DECIDE_REPLY, /**< `verdict`, `holder` */
  DECIDE_WRITE,
  DECIDE_WAIT, /**< until what is on its way has settled */
  DECIDE_READ  /**< the known refusal is old: look again first */
};

struct decided
{
  enum decision what;
  enum clm_verdict verdict;
  const struct tbl_rec *holder;
};

struct decided decide (struct clm *c, const struct shard *s,
                       const struct waiter *w, clk_ms now);

/* shard.c */

void shard_init (struct clm *c, struct shard *s, unsigned no);
void shard_free (struct shard *s);

/** Begin what can begin now. */
void shard_pump (struct clm *c, struct shard *s, clk_ms now);
void shard_answer (struct clm *c, struct shard *s, clk_ms now,
                   const struct store_result *r);

/** Begin a read although nobody waits, to see whether the store is back. */
void shard_probe (struct clm *c, struct shard *s, clk_ms now);

/** Whether something waits for a store call to begin. */
bool shard_has_work (const struct clm *c, const struct shard *s);

#endif
