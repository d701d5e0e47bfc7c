/**
 * @file
 * The control process of a node: event loop and I/O for the cores, the state
 * machines without I/O in fleet/, config/, replica/ and route/.
 *
 * control.c owns the event loop and starts the modules below in this order.
 * All run in one thread and call each other only through the functions
 * declared here.  builtin/control.c calls ctl_run().
 *
 *   swim.c     membership over UDP, with roster.c (fleet/member.h)
 *   peers.c    framed links to other control processes (peers.h)
 *   spread.c   configuration from store and peers (config/spread.h)
 *   domains.c  fabric domains: probes, orders, evidence (domains.h, replica/)
 *   shares.c   division of account limits (route/share.h)
 *   views.c    views: the state that is sent to this node's gateway (views.h)
 *   admin.c    administration API and metrics over HTTP (admin.h)
 *
 * On the first SIGTERM or operator's drain the process starts to leave:
 * `leaving` is set, membership announces it and owned domains are released.
 * The process exits when its gateway has closed the link, or when the last
 * response of the gateway's address API has expired.
 *
 * Each module has a start function, which returns NULL and sets @p err on
 * failure, and a stop function, after which its handles close asynchronously.
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

/** State shared by all modules of the process. */
struct ctl
{
  uv_loop_t *loop;
  struct settings set;
  uint64_t boot; /**< wall clock at the start of the process, in ms */
  struct rng rng;
  struct httpc *http;
  struct store *store;
  struct met_reg *met;
  struct trc_ring *spans;
  struct cfg *cfg; /**< configuration in force, or NULL before the first */
  bool leaving;
  struct ctl_swim *swim;
  struct ctl_peers *peers;
  struct ctl_spread *spread;
  struct ctl_domains *domains;
  struct ctl_shares *shares;
  struct ctl_views *views;
  struct ctl_admin *admin;
};

/* control.c: notifications between modules. */

/** A newer configuration is in force (from spread.c); references @p cfg. */
void ctl_config_changed (struct ctl *c, struct cfg *cfg, struct str text);
/** A member joined or its state changed (called by swim.c). */
void ctl_member_changed (struct ctl *c, const struct mbr_node *node);
/** Evidence, the state of replicas, changed (called by domains.c). */
void ctl_evidence_changed (struct ctl *c);
/** Starts to leave: the gateway drains, then the process exits. */
void ctl_leave (struct ctl *c);
/**
 * Runs a control process until it has left.
 * @param set  settings; ownership passes to the function
 * @retval false  the process could not start; @p err says why
 */
bool ctl_run (struct settings *set, struct buf *err);

/* swim.c */
struct ctl_swim *ctl_swim_start (struct ctl *c, struct buf *err);
void ctl_swim_stop (struct ctl_swim *s);
uint16_t ctl_swim_port (const struct ctl_swim *s);
const struct mbr_node *const *ctl_swim_nodes (const struct ctl_swim *s,
                                              size_t *n);
/** Sets the address at which this process accepts links. */
void ctl_swim_set_peer_addr (struct ctl_swim *s, const struct net_addr *peer);
/** Adds a membership address to the seeds that this node joins through. */
void ctl_swim_add_seed (struct ctl_swim *s, const struct net_addr *swim);
/** Whether this node keeps links to @p region on behalf of its own region. */
bool ctl_swim_is_bridge (const struct ctl_swim *s, struct str region);
/** Set what gossip announces of this node's gateway and configuration. */
void ctl_swim_set_gateway (struct ctl_swim *s, const struct net_addr *http,
                           const struct net_addr *peer, uint32_t load);
void ctl_swim_set_revision (struct ctl_swim *s, int64_t revision);
void ctl_swim_leave (struct ctl_swim *s);
const struct mbr_counts *ctl_swim_counts (const struct ctl_swim *s);

/* peers.c: links within this region and, from bridges, to other regions. */
struct ctl_peers *ctl_peers_start (struct ctl *c, struct buf *err);
void ctl_peers_stop (struct ctl_peers *p);
uint16_t ctl_peers_port (const struct ctl_peers *p);
void ctl_peers_on_member_changed (struct ctl_peers *p,
                                  const struct mbr_node *node);
/** Send to the peer with that id (struct peer), or to all linked peers. */
bool ctl_peers_send (struct ctl_peers *p, uint64_t peer,
                     const Lapis__Frame *f);
void ctl_peers_broadcast (struct ctl_peers *p, const Lapis__Frame *f);
/** Sends to the node of that name.  Without a link it returns false and opens
    one, which is kept for a while, so that a later call succeeds. */
bool ctl_peers_send_node (struct ctl_peers *p, struct str node,
                          const Lapis__Frame *f);

/** Returns the number of linked control processes, and the bytes on their
    links since the start. */
size_t ctl_peers_traffic (const struct ctl_peers *p, uint64_t *out,
                          uint64_t *in);

/* spread.c */
struct ctl_spread *ctl_spread_start (struct ctl *c, struct buf *err);
void ctl_spread_stop (struct ctl_spread *s);
void ctl_spread_on_peer (struct ctl_spread *s, uint64_t peer, bool up);
void ctl_spread_on_frame (struct ctl_spread *s, uint64_t peer,
                          const Lapis__Frame *f);
void ctl_spread_on_members_changed (struct ctl_spread *s);
struct str ctl_spread_text (const struct ctl_spread *s);
int64_t ctl_spread_revision (const struct ctl_spread *s);

/* domains.c */
struct ctl_domains *ctl_domains_start (struct ctl *c, struct buf *err);
void ctl_domains_stop (struct ctl_domains *d);
void ctl_domains_on_config (struct ctl_domains *d);
void ctl_domains_on_members_changed (struct ctl_domains *d);
/** Returns the leaving backend servers of plain services, read from the
    platform's list or received with evidence; valid until the next event. */
char *const *ctl_domains_leaving (struct ctl_domains *d, size_t *n);
/** A control process has linked; the next evidence is sent to it in full. */
void ctl_domains_on_peer_linked (struct ctl_domains *d);
void ctl_domains_on_evidence (struct ctl_domains *d, const Lapis__Evidence *e);
/** Last state of a replica, from own probes or received evidence. */
struct ctl_replica
{
  struct str name, model, domain;
  struct str owner; /**< home of the domain, with or without its lease */
  int64_t generation;
  int64_t fence; /**< of the domain's owner; 0: no lease */
  const char *state;
  bool complete; /**< every member is up */
  bool draining;
  clk_ms valid_until;
  uint32_t load;
  clk_ms load_at;         /**< when the load was probed */
  struct net_addr leader; /**< VM that accepts the replica's requests */
};
const struct ctl_replica *ctl_domains_replicas (struct ctl_domains *d,
                                                size_t *n);
/** Starts or ends a drain; false when this node does not probe the replica. */
bool ctl_domains_drain (struct ctl_domains *d, struct str replica, bool on);

/* shares.c */
struct ctl_shares *ctl_shares_start (struct ctl *c, struct buf *err);
void ctl_shares_stop (struct ctl_shares *s);
void ctl_shares_on_demand (struct ctl_shares *s, struct str node,
                           const Lapis__ShareDemand *d);
void ctl_shares_on_grant (struct ctl_shares *s, const Lapis__ShareGrant *g);

/* views.c */
struct ctl_views *ctl_views_start (struct ctl *c, struct buf *err);
void ctl_views_stop (struct ctl_views *v);
/** A process that linked to the peer port announced the role gateway. */
void ctl_views_on_gateway (struct ctl_views *v, struct link *l,
                           const Lapis__Hello *hello);
void ctl_views_on_gateway_down (struct ctl_views *v, struct link *l);
void ctl_views_on_frame (struct ctl_views *v, struct link *l,
                         const Lapis__Frame *f);
/** Schedules sending a view, because its content changed. */
void ctl_views_schedule (struct ctl_views *v);
void ctl_views_on_config (struct ctl_views *v);
void ctl_views_on_grant (struct ctl_views *v, const Lapis__ShareGrant *g);
bool ctl_views_linked (const struct ctl_views *v);
/** Requests the gateway's spans of one trace; false when none is linked. */
bool ctl_views_request_spans (struct ctl_views *v, uint64_t id,
                              const uint8_t trace[16]);
/** Returns the bytes on gateway links since the start. */
void ctl_views_traffic (const struct ctl_views *v, uint64_t *out,
                        uint64_t *in);

/* admin.c */
struct ctl_admin *ctl_admin_start (struct ctl *c, struct buf *err);
void ctl_admin_stop (struct ctl_admin *a);
uint16_t ctl_admin_port (const struct ctl_admin *a);
/** Handles DrainAsk, DrainAnswer, TraceAsk and TraceAnswer of another node
    (called by peers.c). */
void ctl_admin_on_frame (struct ctl_admin *a, uint64_t peer,
                         const Lapis__Frame *f);
/** Handles the spans requested with ctl_views_request_spans(). */
void ctl_admin_on_spans (struct ctl_admin *a, uint64_t id, struct str json);

#endif
