/**
 * @dir store
 * The platform's key-value service: the interface, what every adapter needs,
 * and the shipped adapter.
 *
 *   store.h   the interface: store.c, call.c, watch.c, shared by store-int.h
 *   budget.h  which call may go out when
 *   etcd.h    adapter: etcd.c, etcd-watch.c, shared by etcd-int.h
 *   etcd-json.h  its requests and answers as text
 *
 * A call waits for the budget, is open at the adapter, and ends by exactly one
 * callback.  Callers are control/, front/claims and `lapisline config`.
 */
/**
 * @file
 * The platform's key-value service as this project sees it.
 *
 * Compare-and-swap by modification revision, leases and watches.  An adapter
 * is one file that fills struct store_ops; store/etcd.c is the shipped one
 * (etcd v3 JSON gateway).  Every call goes through a budget with priorities,
 * and is counted by kind.
 *
 * A write whose answer is lost is STORE_UNCERTAIN: it may have taken effect,
 * now or later.  Callers settle it by reading back what they wrote (each
 * value carries a change number), never by writing again blindly.
 *
 * The decision cores do not call this; they return actions and the process
 * shells call it for them.
 */
#ifndef LAPISLINE_STORE_STORE_H
#define LAPISLINE_STORE_STORE_H

#include "base/clock.h"
#include "base/str.h"

/* Not uv.h: the decision cores include this page for its types only. */
typedef struct uv_loop_s uv_loop_t;

/** A call that waited so long in the budget ends as STORE_OVER_BUDGET. */
#define STORE_WAIT_MS (2 * CLK_SECOND)

/** Compares, and puts with deletes, that one txn may hold; etcd's default. */
#define STORE_TXN_MAX 128

/** Bytes of one request, its base64 included; etcd's default is 1.5 MiB. */
#define STORE_REQUEST_MAX ((size_t)1536 * 1024)

enum store_status
{
  STORE_OK,
  STORE_CONFLICT,    /**< a compare failed; nothing was written */
  STORE_UNCERTAIN,   /**< may have been applied */
  STORE_UNAVAILABLE, /**< was not applied, or a read that got no answer */
  STORE_OVER_BUDGET, /**< held back by our own budget; was not sent */
  STORE_GONE         /**< lease not known any more, or watch compacted */
};

/** Order in which the budget serves waiting calls. */
enum store_priority
{
  STORE_OWNERSHIP,
  STORE_CLAIMS,
  STORE_ASSIGNMENT,
  STORE_CONFIG,
  STORE_ROSTER,
  STORE_PRIORITIES
};

struct store_kv
{
  struct str key;
  struct str value;
  int64_t mod_rev;
  int64_t create_rev;
  int64_t lease; /**< 0: none, -1: of another process */
};

/** True when the key's mod_rev is as given; 0 means that it must not exist. */
struct store_compare
{
  struct str key;
  int64_t mod_rev;
};

struct store_put
{
  struct str key;
  struct str value;
  int64_t lease; /**< 0: none */
};

/** All compares hold, then all puts and deletes happen; else nothing. */
struct store_txn
{
  const struct store_compare *compares;
  size_t ncompares;
  const struct store_put *puts;
  size_t nputs;
  const struct str *deletes;
  size_t ndeletes;
};

struct store_result
{
  enum store_status status;
  int64_t era; /**< of a read: rises when the store comes back from an older
                  copy of its data; 0: not known.  Revisions rise all the
                  same */
  int64_t revision;           /**< of the store, or of the write */
  const struct store_kv *kvs; /**< of a range; valid during the callback */
  size_t nkvs;
  int64_t lease;
  clk_ms ttl; /**< granted, from the call's sending */
};

typedef void (*store_cb) (void *ctx, const struct store_result *r);

struct store_watch_event
{
  bool deleted;
  struct store_kv kv; /**< only key and mod_rev when deleted */
};

struct store_watch_cb
{
  void (*on_events) (void *ctx, int64_t revision,
                     const struct store_watch_event *ev, size_t n);
  /** Ended; re-read and watch again.  The watch is gone. */
  void (*on_end) (void *ctx, enum store_status why);
};

struct store;
struct store_watch;

/**
 * What an adapter provides; `self` is its own state.  Arguments are valid
 * during the call only, callbacks never come from within it, and none comes
 * after free().  Every callback comes exactly once.
 */
struct store_ops
{
  void (*range) (void *self, struct str key, struct str end, store_cb cb,
                 void *ctx);
  void (*txn) (void *self, const struct store_txn *txn, store_cb cb,
               void *ctx);
  void (*lease_grant) (void *self, clk_ms ttl, store_cb cb, void *ctx);
  void (*lease_keep) (void *self, int64_t lease, store_cb cb, void *ctx);
  void (*lease_revoke) (void *self, int64_t lease, store_cb cb, void *ctx);
  void *(*watch) (void *self, struct str key, struct str end, int64_t from,
                  const struct store_watch_cb *cb, void *ctx);
  void (*watch_stop) (void *self, void *watch);
  void (*free) (void *self);
  /** Both NULL where the service names no restore counter. */
  int64_t (*era) (const void *self);
  void (*learn_era) (void *self, int64_t era, const char *from);
};

/** Rates of the budget, calls a second; each also bounds the burst. */
struct store_budget
{
  double writes;
  double reads;
};

/** Calls by kind since the start. */
struct store_counts
{
  uint64_t ranges, txns, grants, keeps, revokes, watches;
  uint64_t over_budget, uncertain, unavailable, conflicts;
};

struct store *store_new (uv_loop_t *loop, const struct store_ops *ops,
                         void *self, const struct store_budget *budget);

/** Drops waiting and open calls and watches without their callbacks. */
void store_free (struct store *s);
const struct store_counts *store_counts (const struct store *s);

/** Highest restore counter of the service that is known; 0: none. */
int64_t store_era (const struct store *s);

/** Another process, @p from, knows this restore counter.  From then on,
   results of earlier eras are not valid, as if this process had received it
   itself. */
void store_learn_era (struct store *s, int64_t era, const char *from);

/** End of the range of all keys that begin with @p prefix. */
void store_prefix_end (struct str prefix, struct buf *out);

/*
 * Arguments are copied; callbacks never come from within the call.  Lease
 * calls have the priority of ownership, watches that of the configuration;
 * a watch is one read, the rest but ranges are writes.
 */
void store_range (struct store *s, enum store_priority p, struct str key,
                  struct str end, store_cb cb, void *ctx);
void store_txn (struct store *s, enum store_priority p,
                const struct store_txn *txn, store_cb cb, void *ctx);
void store_lease_grant (struct store *s, clk_ms ttl, store_cb cb, void *ctx);
void store_lease_keep (struct store *s, int64_t lease, store_cb cb, void *ctx);
void store_lease_revoke (struct store *s, int64_t lease, store_cb cb,
                         void *ctx);
struct store_watch *store_watch (struct store *s, struct str key,
                                 struct str end, int64_t from,
                                 const struct store_watch_cb *cb, void *ctx);
void store_watch_stop (struct store_watch *w);

/**
 * Drop every callback whose ctx is @p ctx (its owner is going away).  Its
 * watches are stopped; writes that still wait in the budget go out.
 */
void store_forget (struct store *s, void *ctx);

#endif
