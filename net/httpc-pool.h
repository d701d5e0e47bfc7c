/**
 * @file
 * Connection pools by address, limited in size and idle time.
 */
#ifndef LAPISLINE_NET_HTTPC_POOL_H
#define LAPISLINE_NET_HTTPC_POOL_H

#include <h2o.h>

#include "net/httpc.h"

/** Idle time after which a connection is not reused, as it may be dead; see
    httpc_request.fresh. */
#define HTTPC_IDLE_MS (10 * CLK_SECOND)

/** Maximum number of concurrent calls to one address whose connections are
    returned to its pool. */
#define HTTPC_MAX_POOLED 64

/** Connections to one address. */
struct addr_pool
{
  struct net_addr addr;
  h2o_socketpool_t reused;
  h2o_socketpool_t fresh; /**< always empty: its connections are not reused */
  size_t open;            /**< calls in progress */
  clk_ms used;            /**< when the last call ended, loop time */
  bool idle_suspect;      /**< idle connections must not be used */
  struct addr_pool *next;
};

/** All pools; NULL is a valid empty list. */
struct addr_pools
{
  uv_loop_t *loop;
  struct addr_pool *head;
};

/** Get the pool of an address, which is created if necessary; NULL if the
    address is invalid. */
struct addr_pool *addr_pool_get (struct addr_pools *pools,
                                 const struct net_addr *a);

/**
 * Start a client on a connection of the pool, or on a new one if @p fresh.
 * Idle connections of a suspect pool are closed first.
 */
void addr_pool_connect (struct addr_pool *p, bool fresh,
                        h2o_http1client_ctx_t *ctx, void *data,
                        h2o_http1client_t **client,
                        h2o_http1client_connect_cb cb);

/**
 * Free pools that have not been used for HTTPC_IDLE_MS.  Without this the list
 * would grow, as VMs are replaced by others with new addresses.
 */
void addr_pools_sweep (struct addr_pools *pools);

/** Close all idle connections; no call may be open. */
void addr_pools_free (struct addr_pools *pools);

#endif
