/**
 * @file
 * The control process of a node: shells around the decision cores.
 *
 * control.c owns the loop and starts the modules below in this order; each has
 * one job and reaches the others only through the functions here.  All run on
 * one loop in one thread.  builtin/control.c is the caller of ctl_run().
 *
 *   swim.c     membership over UDP, with roster.c (fleet/member.h)
 *   peers.c    framed links to other control processes (peers.h)
 *   spread.c   configuration from store and peers (config/spread.h)
 *   domains.c  fabric domains: probes, orders, evidence (domains.h, replica/)
 *   shares.c   division of account limits (route/share.h)
 *   views.c    the link to this node's gateway (views.h)
 *   admin.c    administration API and metrics over HTTP (admin.h)
 *
 * The process leaves once, on SIGTERM or an operator's word: `leaving` is set,
 * membership says so and domains are given back; it ends when its gateway has
 * gone or the longest address answer has run out.
 *
 * Each module has a start, which returns NULL with the reason in @p err, and a
 * stop, after which its handles close as the loop turns.
 */
#ifndef LAPISLINE_CONTROL_CONTROL_H
#define LAPISLINE_CONTROL_CONTROL_H

#include "base/metric.h"
#include "base/rng.h"
#include "base/trace.h"
#include "config/config.h"
#include "config/settings.h"
#include "fleet/member.h"
#include "net/httpd.h"
#include "net/link.h"
#include "replica/replica.h"
#include "store/store.h"

struct ctl_swim;
struct ctl_peers;
struct ctl_spread;
struct ctl_domains;
struct ctl_shares;
struct ctl_views;
struct ctl_admin;

/** What all modules of the process share. */
struct ctl
{
  uv_loop_t *loop;
  struct settings set;
  uint64_t boot; /**< this process's boot number, from wall time */
  struct rng rng;
  struct httpc *http;
  struct store *store;
  struct met_reg *met;
  struct trc_ring *spans;
  struct cfg *cfg; /**< in force, or NULL before the first */
  bool leaving;
  struct ctl_swim *swim;
  struct ctl_peers *peers;
  struct ctl_spread *spread;
  struct ctl_domains *domains;
  struct ctl_shares *shares;
  struct ctl_views *views;
  struct ctl_admin *admin;
};

/* control.c: how modules tell the others. */

/** A higher configuration is in force (called by spread.c); takes a reference
    of its own. */
void ctl_config_changed (struct ctl *c, struct cfg *cfg, struct str text);
/** A member appeared or changed (called by swim.c). */
void ctl_member_changed (struct ctl *c, const struct mbr_node *node);
/** Evidence about replicas changed (called by domains.c). */
void ctl_evidence_changed (struct ctl *c);
/** Begin to leave: drain the gateway, then stop. */
void ctl_leave (struct ctl *c);
/**
 * Run a control process until it was told to leave and has left.
 * @param set  taken over
 * @retval false  it could not start; the reason is in @p err
 */
bool ctl_run (struct settings *set, struct buf *err);

/* swim.c */
struct ctl_swim *ctl_swim_start (struct ctl *c, struct buf *err);
void ctl_swim_stop (struct ctl_swim *s);
uint16_t ctl_swim_port (const struct ctl_swim *s);
const struct mbr_node *const *ctl_swim_nodes (const struct ctl_swim *s,
                                              size_t *n);
/** Where this process accepts links (called by peers.c). */
void ctl_swim_set_peer (struct ctl_swim *s, const struct net_addr *peer);
/** Another control process told its membership address. */
void ctl_swim_seed (struct ctl_swim *s, const struct net_addr *swim);
/** Whether this node carries links to @p region for its own. */
bool ctl_swim_is_bridge (const struct ctl_swim *s, struct str region);
/** The gateway's addresses, load or the revision in force changed. */
void ctl_swim_set_gateway (struct ctl_swim *s, const struct net_addr *http,
                           const struct net_addr *peer, uint32_t load);
void ctl_swim_set_revision (struct ctl_swim *s, int64_t revision);
void ctl_swim_leave (struct ctl_swim *s);
const struct mbr_counts *ctl_swim_counts (const struct ctl_swim *s);

/* peers.c: links to the control processes of the region (and bridges). */
struct ctl_peers *ctl_peers_start (struct ctl *c, struct buf *err);
void ctl_peers_stop (struct ctl_peers *p);
uint16_t ctl_peers_port (const struct ctl_peers *p);
void ctl_peers_member (struct ctl_peers *p, const struct mbr_node *node);
/** Send to one linked peer by its number, or to all linked nodes. */
bool ctl_peers_send (struct ctl_peers *p, uint64_t peer,
                     const Lapis__Frame *f);
void ctl_peers_broadcast (struct ctl_peers *p, const Lapis__Frame *f);
/** Send to the node of that name; false when there is no link.  A link to it
    is then opened and kept for a while, so that a later try gets through. */
bool ctl_peers_send_node (struct ctl_peers *p, struct str node,
                          const Lapis__Frame *f);

/** Linked control processes, and bytes on their links since the start. */
size_t ctl_peers_traffic (const struct ctl_peers *p, uint64_t *out,
                          uint64_t *in);

/* spread.c */
struct ctl_spread *ctl_spread_start (struct ctl *c, struct buf *err);
void ctl_spread_stop (struct ctl_spread *s);
void ctl_spread_peer (struct ctl_spread *s, uint64_t peer, bool up);
void ctl_spread_frame (struct ctl_spread *s, uint64_t peer,
                       const Lapis__Frame *f);
void ctl_spread_members (struct ctl_spread *s);
struct str ctl_spread_text (const struct ctl_spread *s);
int64_t ctl_spread_revision (const struct ctl_spread *s);

/* domains.c */
struct ctl_domains *ctl_domains_start (struct ctl *c, struct buf *err);
void ctl_domains_stop (struct ctl_domains *d);
void ctl_domains_config (struct ctl_domains *d);
void ctl_domains_on_members_changed (struct ctl_domains *d);
/** Backend servers of plain services that leave, as this node or a home
    read it in the platform's list; valid until the next event. */
char *const *ctl_domains_leaving (struct ctl_domains *d, size_t *n);
/** A control process has linked: it knows none of this node's evidence. */
void ctl_domains_on_peer_linked (struct ctl_domains *d);
/** Evidence from another owner. */
void ctl_domains_on_evidence (struct ctl_domains *d, const Lapis__Evidence *e);
/** One replica as this node knows it, own evidence or another owner's. */
struct ctl_replica
{
  struct str name, model, domain, owner;
  int64_t generation, fence;
  const char *state;
  bool whole, draining;
  clk_ms valid_until;
  uint32_t load;
  clk_ms load_at;
  struct net_addr leader;
};
const struct ctl_replica *ctl_domains_replicas (struct ctl_domains *d,
                                                size_t *n);
/** Operator's drain; false when there is no such replica. */
bool ctl_domains_drain (struct ctl_domains *d, struct str replica, bool on);

/* shares.c */
struct ctl_shares *ctl_shares_start (struct ctl *c, struct buf *err);
void ctl_shares_stop (struct ctl_shares *s);
void ctl_shares_demand (struct ctl_shares *s, struct str node,
                        const Lapis__ShareDemand *d);
void ctl_shares_grant (struct ctl_shares *s, const Lapis__ShareGrant *g);

/* views.c */
struct ctl_views *ctl_views_start (struct ctl *c, struct buf *err);
void ctl_views_stop (struct ctl_views *v);
/** A link on the peer port said that it is this node's gateway. */
void ctl_views_gateway (struct ctl_views *v, struct link *l,
                        const Lapis__Hello *hello);
void ctl_views_gateway_down (struct ctl_views *v, struct link *l);
void ctl_views_frame (struct ctl_views *v, struct link *l,
                      const Lapis__Frame *f);
/** Something that the gateway sees changed; sent at the end of this turn. */
void ctl_views_touch (struct ctl_views *v);
/** Another configuration is in force in this process. */
void ctl_views_config (struct ctl_views *v);
void ctl_views_share (struct ctl_views *v, const Lapis__ShareGrant *g);
/** Whether a gateway is linked. */
bool ctl_views_linked (const struct ctl_views *v);
/** Ask the gateway for its spans of one trace; false when none is linked. */
bool ctl_views_trace (struct ctl_views *v, uint64_t id,
                      const uint8_t trace[16]);
/** Bytes on the gateway's link since the start. */
void ctl_views_traffic (const struct ctl_views *v, uint64_t *out,
                        uint64_t *in);

/* admin.c */
struct ctl_admin *ctl_admin_start (struct ctl *c, struct buf *err);
void ctl_admin_stop (struct ctl_admin *a);
uint16_t ctl_admin_port (const struct ctl_admin *a);
/** An operator's request or its answer from another node: DrainAsk,
    DrainAnswer, TraceAsk, TraceAnswer (called by peers.c). */
void ctl_admin_frame (struct ctl_admin *a, uint64_t peer,
                      const Lapis__Frame *f);
/** Spans of the gateway for a trace asked with ctl_views_trace(). */
void ctl_admin_spans (struct ctl_admin *a, uint64_t id, struct str json);

#endif
