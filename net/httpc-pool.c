#include "net/httpc-pool.h"

#include <stdlib.h>

/*
 * The timeout is set directly, as h2o_socketpool_set_timeout() would add a
 * timer per address.  Expired connections are closed at the next use of the
 * pool, and unused pools are freed by on_sweep().
 */
static void
init_pool (struct addr_pools *pools, h2o_socketpool_t *p,
           struct sockaddr_storage *ss)
{
  socklen_t len = ss->ss_family == AF_INET6 ? sizeof (struct sockaddr_in6)
                                            : sizeof (struct sockaddr_in);

  h2o_socketpool_init_by_address (p, (struct sockaddr *)ss, len, 0,
                                  HTTPC_MAX_POOLED);
  p->timeout = HTTPC_IDLE_MS;
  p->_interval_cb.loop = pools->loop;
}

struct addr_pool *
addr_pool_get (struct addr_pools *pools, const struct net_addr *a)
{
  struct sockaddr_storage ss;

  for (struct addr_pool *p = pools->head; p != NULL; p = p->next)
    if (net_addr_eq (&p->addr, a))
      return p;
  if (net_addr_sockaddr (a, &ss) != 0)
    return NULL;
  struct addr_pool *p = xcalloc (1, sizeof *p);
  p->addr = *a;
  init_pool (pools, &p->reused, &ss);
  init_pool (pools, &p->fresh, &ss);
  p->next = pools->head;
  pools->head = p;
  return p;
}

static void
pool_free (struct addr_pool *p)
{
  p->reused._interval_cb.loop = NULL; /* no timer to dispose of */
  p->fresh._interval_cb.loop = NULL;
  h2o_socketpool_dispose (&p->reused);
  h2o_socketpool_dispose (&p->fresh);
  free (p);
}

void
addr_pool_connect (struct addr_pool *p, bool fresh, h2o_http1client_ctx_t *ctx,
                   void *data, h2o_http1client_t **client,
                   h2o_http1client_connect_cb cb)
{
  /* With a timeout of 0, h2o closes all idle connections before it looks for
     one to reuse. */
  p->reused.timeout = p->idle_suspect ? 0 : HTTPC_IDLE_MS;
  p->idle_suspect = p->idle_suspect && fresh;
  h2o_http1client_connect_with_pool (client, data, ctx,
                                     fresh ? &p->fresh : &p->reused, cb);
}

void
addr_pools_sweep (struct addr_pools *pools)
{
  clk_ms now = (clk_ms)uv_now (pools->loop);

  for (struct addr_pool **pp = &pools->head; *pp != NULL;)
    {
      struct addr_pool *p = *pp;
      if (p->open > 0 || now - p->used < HTTPC_IDLE_MS)
        {
          pp = &p->next;
          continue;
        }
      *pp = p->next;
      pool_free (p);
    }
}

void
addr_pools_free (struct addr_pools *pools)
{
  while (pools->head != NULL)
    {
      struct addr_pool *p = pools->head;
      pools->head = p->next;
      pool_free (p);
    }
}
