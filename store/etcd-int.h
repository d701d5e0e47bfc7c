/**
 * @file
 * What the files of the etcd adapter share.
 */
#ifndef LAPISLINE_STORE_ETCD_INT_H
#define LAPISLINE_STORE_ETCD_INT_H

#include <uv.h>

#include "store/etcd.h"

/** An answer or message larger than this is not one of ours. */
#define ETCD_ANSWER_MAX ((size_t)64 * 1024 * 1024)

struct etcd
{
  uv_loop_t *loop;
  struct httpc *http;
  struct net_addr *endpoints;
  size_t nendpoints;
  size_t current; /**< endpoint that worked last */
  clk_ms call_ms;
  clk_ms watch_idle_ms;
  struct etcd_call *calls;
  struct etcd_watch *watches;
};

/** Use another endpoint from now on, unless that was done meanwhile. */
void etcd_rotate (struct etcd *e, size_t failed);

/** A POST to the current endpoint; @p body must outlive httpc_start(). */
struct httpc_request etcd_request (const struct etcd *e, const char *path,
                                   const struct buf *body);

/** As watch of struct store_ops. */
void *etcd_watch_open (void *self, struct str key, struct str end,
                       int64_t from, const struct store_watch_cb *cb,
                       void *ctx);

/** As watch_stop of struct store_ops. */
void etcd_watch_stop (void *self, void *watch);

/** Stop all watches without a callback. */
void etcd_watches_drop (struct etcd *e);

#endif
