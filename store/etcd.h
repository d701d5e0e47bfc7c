/**
 * @file
 * Store adapter for the etcd v3 JSON gateway over HTTP (/v3/kv/range,
 * /v3/kv/txn, /v3/lease/grant, /v3/lease/keepalive, /v3/lease/revoke,
 * /v3/watch).  Several endpoints are tried in turn.
 */
#ifndef LAPISLINE_STORE_ETCD_H
#define LAPISLINE_STORE_ETCD_H

#include "net/httpc.h"
#include "store/store.h"

/** Longest silence of a watch, unless the options say otherwise. */
#define ETCD_WATCH_IDLE_MS (15 * CLK_SECOND)

struct etcd_options
{
  const struct net_addr *endpoints;
  size_t nendpoints;
  clk_ms call_ms;       /**< longest wait for an answer */
  clk_ms watch_idle_ms; /**< a watch ends after such a silence; 0: default */
};

/** A store over @p http, which must outlive it. */
struct store *etcd_store_new (uv_loop_t *loop, struct httpc *http,
                              const struct etcd_options *opt,
                              const struct store_budget *budget);

#endif
