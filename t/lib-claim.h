/**
 * @file
 * A small store and several claim cores in one process, driven by a script or
 * a randomized test.  Each store call is held until the driver applies it,
 * responds to it or loses the response, in any order.
 */
#ifndef LAPISLINE_T_LIB_CLAIM_H
#define LAPISLINE_T_LIB_CLAIM_H

#include "claim/asker.h"
#include "claim/claim.h"

#define CW_HOMES 3
#define CW_CALLS 96
#define CW_KEYS 4096

/** A key-value store with compare-and-swap and leases. */
struct kv_entry
{
  char *key;
  struct buf value;
  int64_t mod_rev;
  int64_t create_rev;
  int64_t lease;
};

struct kv
{
  struct kv_entry entries[CW_KEYS]; /**< ordered by key */
  size_t n;
  int64_t revision;
  struct
  {
    int64_t id;
    clk_ms expires;
  } leases[1024];
  size_t nleases;
};

void kv_clear (struct kv *kv);
void kv_remove (struct kv *kv, struct str key);
void kv_expire_leases (struct kv *kv, clk_ms now);
enum store_status kv_txn (struct kv *kv, const struct store_txn *txn);
enum store_status kv_keepalive (struct kv *kv, clk_ms now, int64_t lease,
                                clk_ms ttl);
void kv_revoke (struct kv *kv, int64_t lease);
int64_t kv_grant (struct kv *kv, clk_ms now, clk_ms ttl);

/** A store call of a core, from its action to its response. */
struct cw_call
{
  bool used;
  int home;
  unsigned no; /**< number in logs */
  enum clm_action_kind kind;
  uint64_t token;
  struct buf key, end;  /**< of a range */
  struct store_txn txn; /**< points to the copies below */
  struct store_compare compare;
  struct store_put puts[2];
  struct buf copy[5];
  clk_ms ttl;
  bool applied;   /**< executed by the store */
  bool responded; /**< the core got a response; may still be applied */
  struct store_result result;
  struct store_kv *kvs; /**< owned, with their strings */
};

/** The store, the cores and their open calls. */
struct cw
{
  struct kv kv;
  clk_ms now;
  struct clm *homes[CW_HOMES];
  bool same_boot; /**< injected fault: homes share a boot number */
  size_t nhomes;
  struct cw_call calls[CW_CALLS];
  unsigned last_call;
  struct buf *log; /**< NULL: none */
  /** Called for each reply of a core. */
  void (*on_reply) (void *ctx, int home, const struct clm_reply *reply);
  void *ctx;
};

/** @p w is zero-initialized except for `same_boot`. */
void cw_init (struct cw *w, size_t homes, const struct clm_options *opt,
              uint64_t seed);
void cw_clear (struct cw *w);

/** Replace a home by a new process with another boot number. */
void cw_restart (struct cw *w, int home, const struct clm_options *opt,
                 uint64_t seed);

/** Fetch the actions of a core: hold its calls, pass on its replies. */
void cw_fetch_actions (struct cw *w, int home);

struct cw_call *cw_call (struct cw *w, unsigned no);
void cw_apply (struct cw *w, struct cw_call *c);

/** Give the core the result; removes the call if it was applied. */
void cw_respond (struct cw *w, struct cw_call *c, enum store_status status);
void cw_drop_call (struct cw_call *c);

#endif
