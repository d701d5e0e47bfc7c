/**
 * @file
 * The gateway process of a node: it carries requests.
 *
 *   gateway.c  loop, start, graceful stop
 *   callers.c  callers' HTTP: authentication, requests to events of the
 *              request core, its actions to I/O
 *   address.c  which address to use
 *   claims.c   claims: home node, links to other gateways, store
 *   slots.c    slots of replicas: home of a model, asks of this gateway
 *   view.c     the link to this node's control process, last view
 *   probe.c    own probes when control is silent
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
  struct cfg *cfg; /**< in force, or NULL before the first */
  bool leaving;
  bool record; /**< stream the request core's events, see recorder.h */
  struct gw_callers *callers;
  struct gw_claims *claims;
  struct gw_view *view;
  struct gw_probe *probe;
  struct gw_slots *slots;
  struct gw_poison *poison;
};

/** A node as the last view tells it. */
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
 * Ask the home node of the key's shard, this one if it is or if the home
 * can't be reached; @p cb comes exactly once, with CLM_UNAVAILABLE after
 * @p wait_ms at the latest.
 * @param trace  the asking span, parent of the home's; NULL: not traced
 */
void gw_claims_ask (struct gw_claims *c, const struct clm_request *ask,
                    const struct trc_id *trace, clk_ms wait_ms, gw_claim_cb cb,
                    void *ctx);
/** The view's nodes changed. */
void gw_claims_nodes (struct gw_claims *c);

/** The link to another gateway; NULL while there is none, which opens one. */
struct link *gw_claims_link (struct gw_claims *c, const char *name);

/* slots.c */

/**
 * Slots of replicas granted by the home of their model, which is one gateway
 * of the region by rendezvous hash.  Without control, and while the home can't
 * be reached, each gateway decides by itself.
 */
struct gw_slots *gw_slots_start (struct gw *g);
/** An action RT_ACT_SLOT_* of the request core. */
void gw_slots_act (struct gw_slots *s, const struct rt_action *a);
/** Nodes, links or the configuration changed. */
void gw_slots_check (struct gw_slots *s);
void gw_slots_replicas (struct gw_slots *s, const struct rt_replica *list,
                        size_t n);
/** A frame of another gateway that asks this one. */
void gw_slots_asked (struct gw_slots *s, struct link *l,
                     const Lapis__Frame *frame);
void gw_slots_link_gone (struct gw_slots *s, const struct link *l);
void gw_slots_answered (struct gw_slots *s, const Lapis__SlotAnswer *a);

/* callers.c */

/** Connections accepted at once; more wait in the backlog. */
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
/** Callers' requests that have not ended. */
size_t gw_callers_open (const struct gw_callers *c);
/** Refuse new requests (or take them again); what is open goes on. */
void gw_callers_refuse (struct gw_callers *c, bool on);
void gw_callers_close_port (struct gw_callers *c);
/** g->cfg was replaced. */
void gw_callers_config (struct gw_callers *c);
void gw_callers_replicas (struct gw_callers *c, const struct rt_replica *list,
                          size_t n);
/** A backend server of a plain service leaves, or is back. */
void gw_callers_leaving (struct gw_callers *c, struct str backend, bool on);
void gw_callers_share (struct gw_callers *c, const struct gw_share *share);
/** Gateways of the region, this one included: shares are limit / N at worst.
 */
void gw_callers_nodes (struct gw_callers *c, size_t gateways);
struct rt *gw_callers_core (struct gw_callers *c);
/** Tell the request core of a model's home. */
void gw_callers_tell (struct gw_callers *c, const struct rt_event *ev);

/** A response to a state probe of the server at @p addr carries a notice. */
void gw_callers_notice (struct gw_callers *c, const struct net_addr *addr,
                        const struct avl_notice *notice);
/** Whether the server at @p addr has asked this node to send it nothing. */
bool gw_callers_paused (const struct gw_callers *c,
                        const struct net_addr *addr);

/* probe.c */

/**
 * Probe members of replicas of which control is silent, so that a gateway
 * serves on evidence of its own then, and on nothing older.
 */
struct gw_probe *gw_probe_start (struct gw *g);
void gw_probe_stop (struct gw_probe *p);
/** A view came: tell the core, and probe what it is silent about. */
void gw_probe_view (struct gw_probe *p);
/** Begin or end probing as time goes on.
    @param alone  nothing was heard of control lately: probe everything */
void gw_probe_tick (struct gw_probe *p, bool alone);
void gw_probe_config (struct gw_probe *p);

/* gateway.c */

/** A higher configuration is in force; takes over the reference. */
void gw_config_changed (struct gw *g, struct cfg *cfg);
/** Control says whether this node is drained. */
void gw_set_leaving (struct gw *g, bool leaving);

struct gw_options
{
  const char *settings; /**< path */
  const char *config;   /**< folder: run without control; or NULL */
  bool record;          /**< stream the request core's events */
};

/** Run until stopped. @return an exit code */
int gw_run (const struct gw_options *opt);

/* view.c */

/** Replicas of the last view. */
const struct rt_replica *gw_view_replicas (const struct gw_view *v, size_t *n);
/** Send a report at once. */
void gw_view_report (struct gw_view *v);
struct gw_view *gw_view_start (struct gw *g, struct buf *err);
void gw_view_stop (struct gw_view *v);
/** Whether the configuration may be taken for the newest: a view came lately,
    or none ever did and the configuration is from a folder.  @p v may be
    NULL. */
bool gw_view_is_recent (const struct gw_view *v);
const struct gw_node *gw_view_nodes (const struct gw_view *v, size_t *n);
/** The caller and peer ports are known: say hello to control. */
void gw_view_announce (struct gw_view *v, const struct net_addr *http,
                       const struct net_addr *peer);

#endif
