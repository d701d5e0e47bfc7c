/**
 * @file
 * Requests, and parts of their prompts, that crash backend servers, at a
 * gateway: evidence from its attempts, exchange with the other gateways, and
 * the end of requests that are refused.  serve/poison.h decides.
 */
#ifndef LAPISLINE_FRONT_POISON_H
#define LAPISLINE_FRONT_POISON_H

#include "front/gateway.h"
#include "net/link.h"
#include "serve/poison.h"

struct gw_attempt;
struct gw_exchange;

struct gw_poison *gw_poison_start (struct gw *g);

/** Refuse a request that arrives if it may crash servers.
    @retval true  it has been answered */
bool gw_poison_refuse (struct gw_poison *p, const struct psn_request *ids,
                       struct httpd_req *req);
/** End an open request if it is refused by now and no response has begun.
    @retval true  it is refused */
bool gw_poison_end_refused (struct gw_exchange *ex);
/** Whether the request is not to be tried on another server. */
bool gw_poison_is_suspect (const struct gw_exchange *ex);

/** A server has answered: this node's paths work. */
void gw_poison_heard (struct gw_poison *p);
/** The replicas that are known, of which some are connected to when a server
    has refused a connection. */
void gw_poison_replicas (struct gw_poison *p, const struct rt_replica *list,
                         size_t n);
/** @param whole   the answer was whole
    @param broken  the connection was lost, or the answer is a part */
void gw_poison_attempt_over (const struct gw_attempt *at, bool whole,
                             bool broken);

/** A link to another gateway is up. */
void gw_poison_link_up (struct gw_poison *p, struct link *l);
void gw_poison_received (struct gw_poison *p,
                         const Lapis__PoisonUpdates *updates);

#endif
