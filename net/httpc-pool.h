/**
 * @file
 * Pools of connections by address, bounded in number and age.
 */
#ifndef LAPISLINE_NET_HTTPC_POOL_H
#define LAPISLINE_NET_HTTPC_POOL_H

#include <h2o.h>

#include "net/httpc.h"

/** An idle connection is not trusted for longer; see httpc_request.fresh. */
#define HTTPC_IDLE_MS (10 * CLK_SECOND)

/** Calls to one address whose connections may return to its pool. */
#define HTTPC_POOLED 64

/** Connections to one address. */
struct addr_pool
{
  struct net_addr addr;
  h2o_socketpool_t reused;
  h2o_socketpool_t fresh; /**< stays empty: its connections never return */
  size_t open;            /**< calls */
  clk_ms used;            /**< when the last call ended, loop time */
  bool suspect;           /**< idle connections are not to be used */
  struct addr_pool *next;
};

/** All pools; NULL is a valid empty list. */
struct addr_pools
{
  uv_loop_t *loop;
  struct addr_pool *head;
};

/** Pool of an address, made if need be; NULL when it is none. */
struct addr_pool *addr_pool_get (struct addr_pools *pools,
                                 const struct net_addr *a);

/**
 * Start a client on a connection of the pool, or one of its own if @p fresh.
 * Idle connections of a suspect pool are closed first.
 */
void addr_pool_connect (struct addr_pool *p, bool fresh,
                        h2o_http1client_ctx_t *ctx, void *data,
                        h2o_http1client_t **client,
                        h2o_http1client_connect_cb cb);

/**
 * Drop pools that nobody has used for HTTPC_IDLE_MS; addresses come and go
 * with their VMs.
 */
void addr_pools_sweep (struct addr_pools *pools);

/** Close all idle connections; no call may be open. */
void addr_pools_free (struct addr_pools *pools);

#endif
