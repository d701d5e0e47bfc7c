/**
 * @file
 * The gateway process of a node: it proxies callers' requests to backend
 * servers.
 *
 *   gateway.c  event loop, startup, graceful shutdown
 *   callers.c  HTTP server for callers: authentication, translation of
 *              requests to events of the request core and of its actions to
 *              I/O
 *   address.c  GET /v1/address: which gateways a caller should use
 *   claims.c   claims: home node, links to other gateways, store
 *   slots.c    slots of replicas: requests of this gateway to the home of a
 *              model, and those it answers as the home
 *   view.c     the link to this node's control process, the last view
 *   probe.c    state probes of replicas that the control process does not
 *              report on
 *   poison.c   requests that crash backend servers
 *   ../back/   model and plain-service adapters
 */
#ifndef LAPISLINE_FRONT_GATEWAY_H
#define LAPISLINE_FRONT_GATEWAY_H

#include "base/metric.h"
#include "base/rng.h"
#include "base/trace.h"
#include "claim/claim.h"
#include "config/config.h"
#include "config/settings.h"
#include "net/httpd.h"
#include "net/link.h"
#include "route/route.h"
#include "store/store.h"

struct gw_callers;
struct gw_claims;
struct gw_view;
struct gw_probe;
struct gw_slots;
struct gw_poison;

struct gw
{
  uv_loop_t *loop;
  struct settings set;
  uint64_t boot;
  struct rng rng;
  struct httpc *http;
  struct store *store;
  struct met_reg *met;
  struct trc_ring *spans;
  struct cfg *cfg; /**< active configuration; NULL before the first */
  bool leaving;    /**< draining or shutting down */
  bool record;     /**< stream the request core's events, see recorder.h */
  struct gw_callers *callers;
  struct gw_claims *claims;
  struct gw_view *view;
  struct gw_probe *probe;
  struct gw_slots *slots;
  struct gw_poison *poison;
};

/** A node as described by the last view. */
struct gw_node
{
  struct str name, zone, region;
  uint64_t boot;
  uint32_t status; /**< enum mbr_status */
  struct net_addr http, peer;
  uint32_t load;
};

/* claims.c */
struct gw_claims *gw_claims_start (struct gw *g, struct buf *err);
void gw_claims_stop (struct gw_claims *c);
uint16_t gw_claims_port (const struct gw_claims *c);
typedef void (*gw_claim_cb) (void *ctx, const struct clm_reply *reply);
/**
 * Send a claim request to the home node of the key's shard.  This node
 * handles it if it is the home or if the home can't be reached.  @p cb is
 * called exactly once, with CLM_UNAVAILABLE after @p wait_ms at the latest.
 * @param trace  span of the requester, parent of the home's span; NULL: not
 *               traced
 */
void gw_claims_request (struct gw_claims *c, const struct clm_request *ask,
                        const struct trc_id *trace, clk_ms wait_ms,
                        gw_claim_cb cb, void *ctx);
/** The list of nodes in the view changed. */
void gw_claims_nodes (struct gw_claims *c);

/** The link to another gateway.  If it is not up, starts to connect and
    returns NULL. */
struct link *gw_claims_link (struct gw_claims *c, const char *name);

/* slots.c */

/**
 * Slots of replicas are granted by the home of their model, which is one
 * gateway of the region, chosen by rendezvous hash.  Without a control
 * process, and while the home can't be reached, each gateway assigns slots
 * locally.
 */
struct gw_slots *gw_slots_start (struct gw *g);
/** Execute an action RT_ACT_SLOT_* of the request core. */
void gw_slots_execute (struct gw_slots *s, const struct rt_action *a);
/** Nodes, links or the configuration changed: recompute the homes. */
void gw_slots_check (struct gw_slots *s);
void gw_slots_replicas (struct gw_slots *s, const struct rt_replica *list,
                        size_t n);
/** Handle a frame with a request of another gateway. */
void gw_slots_request_received (struct gw_slots *s, struct link *l,
                                const Lapis__Frame *frame);
void gw_slots_link_down (struct gw_slots *s, const struct link *l);
void gw_slots_reply_received (struct gw_slots *s, const Lapis__SlotAnswer *a);

/* callers.c */

/** Concurrent connections; further ones wait in the listen backlog. */
#define GW_MAX_CONNECTIONS 10000

struct gw_share
{
  struct str account;
  double tokens_per_s, concurrency;
  clk_ms valid_ms;
};

struct gw_callers *gw_callers_start (struct gw *g, struct buf *err);
void gw_callers_stop (struct gw_callers *c);
uint16_t gw_callers_port (const struct gw_callers *c);
/** Number of callers' requests that have not ended. */
size_t gw_callers_open (const struct gw_callers *c);
/** Refuse new requests, or accept them again; open requests continue. */
void gw_callers_refuse (struct gw_callers *c, bool on);
void gw_callers_close_port (struct gw_callers *c);
/** g->cfg was replaced. */
void gw_callers_config (struct gw_callers *c);
void gw_callers_replicas (struct gw_callers *c, const struct rt_replica *list,
                          size_t n);
/** A backend server of a plain service shuts down, or is available again. */
void gw_callers_backend_shutdown (struct gw_callers *c, struct str backend,
                                  bool on);
void gw_callers_set_share (struct gw_callers *c, const struct gw_share *share);
/** Set the number of gateways in the region, this one included.  Without a
    valid share, each gateway enforces limit / N. */
void gw_callers_nodes (struct gw_callers *c, size_t gateways);
struct rt *gw_callers_core (struct gw_callers *c);
/** Pass an event about the home of a model to the request core. */
void gw_callers_home_event (struct gw_callers *c, const struct rt_event *ev);

/** A response to a state probe of the server at @p addr carried a notice of
    its availability. */
void gw_callers_availability_notice (struct gw_callers *c,
                                     const struct net_addr *addr,
                                     const struct avl_notice *notice);
/** Whether the server at @p addr has announced a pause that is not over. */
bool gw_callers_is_paused (const struct gw_callers *c,
                           const struct net_addr *addr);

/* probe.c */

/**
 * Probes members of the replicas that the control process does not report on,
 * so that the gateway routes by its own current probe results and not by
 * outdated state.
 */
struct gw_probe *gw_probe_start (struct gw *g);
void gw_probe_stop (struct gw_probe *p);
/** A view was received: pass its replicas to the request core and probe those
    that it does not report on. */
void gw_probe_view_received (struct gw_probe *p);
/** Periodic check that starts or stops probing.
    @param no_recent_view  probe every replica */
void gw_probe_tick (struct gw_probe *p, bool no_recent_view);
void gw_probe_config_changed (struct gw_probe *p);

/* gateway.c */

/** Activate a configuration of a higher revision; takes over the reference. */
void gw_config_changed (struct gw *g, struct cfg *cfg);
/** Start or end draining, as reported by the control process. */
void gw_set_draining (struct gw *g, bool leaving);

struct gw_options
{
  const char *settings; /**< path */
  const char *config; /**< folder to use without a control process; or NULL */
  bool record;        /**< write the request core's events to stdout */
};

/** Run until a signal stops the process. @return an exit code */
int gw_run (const struct gw_options *opt);

/* view.c */

/** Return the replicas of the last view. */
const struct rt_replica *gw_view_replicas (const struct gw_view *v, size_t *n);
/** Send a report to the control process immediately. */
void gw_view_report (struct gw_view *v);
struct gw_view *gw_view_start (struct gw *g, struct buf *err);
void gw_view_stop (struct gw_view *v);
/** Whether the configuration can be assumed to be the newest: a view was
    received recently, or none ever was and the configuration is from a folder.
    @p v may be NULL. */
bool gw_view_is_recent (const struct gw_view *v);
const struct gw_node *gw_view_nodes (const struct gw_view *v, size_t *n);
/** Set the addresses for callers and for peers, whose ports are bound by now,
    and start to connect to the control process. */
void gw_view_connect (struct gw_view *v, const struct net_addr *http,
                      const struct net_addr *peer);

#endif
