/**
 * @file
 * What the files of the store interface share:
 *
 *   store.c   calls of store.h, the budget before them, open calls
 *   call.c    one call with copies of its arguments
 *   watch.c   watches
 *   budget.c  who waits and who may go
 */
#ifndef LAPISLINE_STORE_STORE_INT_H
#define LAPISLINE_STORE_STORE_INT_H

#include <uv.h>

#include "store/budget.h"

enum store_kind
{
  STORE_KIND_RANGE,
  STORE_KIND_TXN,
  STORE_KIND_GRANT,
  STORE_KIND_KEEP,
  STORE_KIND_REVOKE,
  STORE_KIND_WATCH
};

/** One call, first waiting for the budget and then open at the adapter. */
struct store_call
{
  struct bud_item wait; /**< first */
  struct store *s;
  struct store_call *next; /**< of the open ones */
  struct store_call **prev;
  enum store_kind kind;
  store_cb cb; /**< NULL once forgotten */
  void *ctx;
  char *copy; /**< bytes that the arguments point into */
  struct str key, end;
  struct store_txn txn;
  clk_ms ttl;
  int64_t lease;
  int64_t from;
  struct store_watch *watch;
};

struct store_watch
{
  struct store *s;
  struct store_watch *next;
  struct store_watch **prev;
  struct store_watch_cb cb;
  void *ctx;
  struct store_call *waiting; /**< until the budget lets it go out */
  void *inner;                /**< the adapter's */
};

struct store
{
  uv_timer_t timer; /**< first; runs while calls wait */
  const struct store_ops *ops;
  void *self;
  struct bud budget;
  struct store_call *open;
  struct store_watch *watches;
  struct store_counts counts;
};

/* store.c */

/** Send at once when the budget allows, else wait. */
void store_submit (struct store *s, enum store_priority p,
                   struct store_call *c);
void store_count (struct store_counts *n, enum store_status status);

/* call.c */

struct store_call *store_call_new (enum store_kind kind, store_cb cb,
                                   void *ctx);
void store_call_free (struct store_call *c);

/** Copy a range's bounds into the call. */
void store_call_keys (struct store_call *c, struct str key, struct str end);
void store_call_txn (struct store_call *c, const struct store_txn *t);

/* watch.c */

/** Open a watch at the adapter; takes over the call that waited for it. */
void store_watch_send (struct store *s, struct store_call *c);

/** Tell the watch's owner that it is over, and free it. */
void store_watch_end (struct store_watch *w, enum store_status why);

#endif
