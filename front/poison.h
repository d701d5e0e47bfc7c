/**
 * @file
 * Requests, and parts of their prompts, that crash backend servers: a gateway
 * collects evidence from its attempts, exchanges it with the other gateways
 * and ends requests that are refused.  The decisions are made in
 * serve/poison.h.
 */
#ifndef LAPISLINE_FRONT_POISON_H
#define LAPISLINE_FRONT_POISON_H

#include "front/gateway.h"
#include "net/link.h"
#include "serve/poison.h"

struct gw_attempt;
struct gw_exchange;

struct gw_poison *gw_poison_start (struct gw *g);

/** Refuse a new request if it may crash servers.
    @retval true  the request was refused and answered */
bool gw_poison_refuse (struct gw_poison *p, const struct psn_request *ids,
                       struct httpd_req *req);
/** End an open request if it became refused after it arrived and no response
    has begun.
    @retval true  the request is refused */
bool gw_poison_end_refused (struct gw_exchange *ex);
/** Whether the request must not be retried on another server. */
bool gw_poison_is_suspect (const struct gw_exchange *ex);

/** A server has responded, so this node's network paths work. */
void gw_poison_server_responded (struct gw_poison *p);
/** Set the list of replicas.  When a server refuses a connection, some of them
    are connected to, as a check of this node's network paths. */
void gw_poison_replicas (struct gw_poison *p, const struct rt_replica *list,
                         size_t n);
/** An attempt has ended.
    @param whole   the response was complete
    @param broken  the connection was lost, or the response is incomplete */
void gw_poison_attempt_ended (const struct gw_attempt *at, bool whole,
                              bool broken);

/** A link to another gateway is up: send it all current entries. */
void gw_poison_link_up (struct gw_poison *p, struct link *l);
void gw_poison_received (struct gw_poison *p,
                         const Lapis__PoisonUpdates *updates);

#endif
