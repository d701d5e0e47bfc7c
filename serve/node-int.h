/**
 * @file
 * What the files of a node's process share.
 */
#ifndef LAPISLINE_SERVE_NODE_INT_H
#define LAPISLINE_SERVE_NODE_INT_H

#include <uv.h>

#include "base/log.h"
#include "base/metric.h"
#include "net/httpd.h"
#include "net/link.h"
#include "replica/owner.h"
#include "serve/currency.h"
#include "serve/relays.h"
#include "serve/node.h"
#include "serve/pause.h"

struct srv_exchange;
struct srv_held;
struct srv_config;
struct srv_sync;
struct srv_register;
struct srv_duty;
struct srv_plan;
struct srv_peers;
struct srv_poison;

struct srv
{
  uv_loop_t loop;
  uv_timer_t tick;
  uv_signal_t term, interrupt, hangup;
  const struct srv_adapter *ad;
  const char *settings_path;
  struct srv_settings set;
  struct rng rng;
  uint64_t boot;
  struct httpc *http;
  struct store *store;
  struct pau store_pause; /**< of all reads, and of the own entry */
  struct httpd *front, *ready, *address;
  struct met_reg *met;
  struct tbl *table; /**< NULL: none is known yet */
  struct bks *backends;
  struct dsp *dispatch;
  struct psn *poison;
  struct lim *limits;
  struct srv_poison *poison_keys;
  struct srv_config *config;
  struct srv_sync *sync;
  struct srv_register *reg;
  struct srv_duty *duty;
  struct srv_plan *plan;
  struct srv_peers *peers;
  struct srv_exchange *exchanges;
  struct srv_held *held;  /**< requests that wait for the store */
  struct buf places_told; /**< what was logged of them last */
  uint64_t next_id;
  bool acting;      /**< actions are being carried out */
  bool traffic;     /**< a request has come */
  bool first_start; /**< no node ran here before: nothing can have lapsed */
  clk_ms ticked_at; /**< last tick; 0: none */
  clk_ms leaving_since; /**< 0: not leaving */
};

/* node.c */
/** Find out whether this process did not run until now.  Called with each
   tick, and before a request is judged, as sockets may be read first. */
void srv_check_pause (struct srv *s, clk_ms now);
/** Whether callers may be sent to this node. */
bool srv_is_ready (const struct srv *s);
/** The table or the list of backend servers changed. */
void srv_places_changed (struct srv *s);

/* config.c: the configuration in force */
void srv_config_start (struct srv *s);
void srv_config_tick (struct srv *s, clk_ms now);
/** Version in force; 0: none. */
int64_t srv_config_version (const struct srv *s);
/** When it was last known to be the newest; 0: never. */
clk_ms srv_config_known_at (const struct srv *s);
/** How long ago that was; -1: never. */
clk_ms srv_config_age (const struct srv *s, clk_ms now);
/** How far to rely on it. */
enum cur_trust srv_config_trust (const struct srv *s, clk_ms now);
/**
 * Its document, for other nodes.
 * @retval false  it is too long to be sent to so many
 */
bool srv_config_text (const struct srv *s, size_t nodes, struct str *text);
/** Another node has pushed this document. */
void srv_config_pushed (struct srv *s, int64_t version, struct str text);
/** Another node says how current its own is. */
void srv_config_announced (struct srv *s, clk_ms now,
                           const struct cur_announcement *a);
/** This process goes on after a pause. */
void srv_config_resumed (struct srv *s, clk_ms now);

/* sync.c: backend servers out of the store */
void srv_sync_start (struct srv *s);
void srv_sync_tick (struct srv *s, clk_ms now);
/** The list that this node has was the newest at @p current_at, as another one
    says that has read it. */
void srv_sync_heard (struct srv *s, clk_ms current_at);
/** Age of the list of backend servers, by whoever read it. */
clk_ms srv_sync_list_age (const struct srv *s, clk_ms now);
/** This process goes on after a pause. */
void srv_sync_resumed (struct srv *s, clk_ms now);
/** Whether the list is still the one from before the pause, and old; a newer
    one is due at once. */
bool srv_sync_is_resuming (const struct srv *s, clk_ms now);
/** As the last reading says; see struct store_result. */
int64_t srv_sync_era (const struct srv *s);
/** Age of the last reading by this node. */
clk_ms srv_sync_age (const struct srv *s, clk_ms now);
/** Entries of the last reading that name no server to use. */
size_t srv_sync_unread (const struct srv *s);
/** Read the list of backend servers soon: something there has changed. */
void srv_sync_hurry (struct srv *s, clk_ms now);

/* register.c: this node's entry, those of the others, what all nodes share */
void srv_register_start (struct srv *s);
void srv_register_tick (struct srv *s, clk_ms now);
/** Take the own entry back. */
void srv_register_end (struct srv *s);
/** Whether this node is one of very many and no hub: it leaves to these what
    they can tell it. */
bool srv_register_follows (const struct srv *s);
/** This node as its entry describes it. */
struct hub_node srv_spec (const struct srv *s);
/** Whether it is known that nobody holds the key of the duty. */
bool srv_register_duty_free (const struct srv *s);
/** How many of the known nodes come before this one in an order that is the
    same at all of them. */
unsigned srv_register_rank (const struct srv *s);

/* duty-plan.c: what is said of the plan of replicas */
void srv_plan_start (struct srv *s);
/** Look at it, and log what has changed. */
void srv_plan_look (struct srv *s, struct frm *form, clk_ms now);

/* duty.c: forming replicas while this node is owner */
void srv_duty_start (struct srv *s);
void srv_duty_tick (struct srv *s, clk_ms now);
/** The key of the duty in the store changed. */
void srv_duty_key (struct srv *s, bool held, struct str holder);
void srv_duty_servers (struct srv *s);
/** A node sees nothing move at a place. */
void srv_duty_stalled (struct srv *s, uint64_t place);
bool srv_duty_holds (const struct srv *s);
const struct frm_figures *srv_duty_figures (const struct srv *s);
/** As frm_models(); none where another node forms replicas. */
size_t srv_duty_models (const struct srv *s, struct frm_model *out);
/** A replica is on its way. */
bool srv_duty_busy (const struct srv *s);

/* peers.c: links to the other nodes */
struct srv_entry
{
  struct str node;
  struct net_addr front;
  struct net_addr peer;
  struct hub_node spec;
};

bool srv_peers_start (struct srv *s, const struct link_secret *secret,
                      struct buf *err);
/** Links that begin from now on prove this secret. */
void srv_peers_secret (struct srv *s, const struct link_secret *secret);
/** All entries of nodes as the store has them. */
void srv_peers_entries (struct srv *s, const struct srv_entry *list, size_t n);
/** Tell the other nodes what changed in the list of backend servers, if this
    node forms replicas. */
void srv_peers_servers (struct srv *s);
void srv_peers_tick (struct srv *s, clk_ms now);
/** Tell the other nodes of long prompts that were just sent. */
void srv_peers_notices (struct srv *s);
/** Whether the node that forms replicas is this one, or linked and heard. */
bool srv_peers_led (const struct srv *s, clk_ms now);
/** Nodes that share the load, this one included: those that are linked, or
    what a hub tells. */
unsigned srv_peers_nodes (const struct srv *s);
/** Front addresses of the nodes that callers may be sent to. */
size_t srv_peers_ready (struct srv *s, struct net_addr *out, size_t most);

/* ingress.c */
bool srv_ingress_start (struct srv *s, struct buf *err);
/** Go on with the requests that wait for the store after a pause. */
void srv_ingress_tick (struct srv *s, clk_ms now);
/** Carry out what the request core wants. */
void srv_act (struct srv *s);
struct srv_exchange *srv_find (const struct srv *s, uint64_t id);

/** Whether other nodes rely on what this one announces. */
bool srv_peers_announces (const struct srv *s);
/** This process goes on after a pause of @p ms. */
void srv_peers_resumed (struct srv *s, clk_ms now, clk_ms ms);
/** Whether any other node is linked. */
bool srv_peers_linked (const struct srv *s);
/** Tell the other nodes of requests that crash servers. */
void srv_peers_poison (struct srv *s, const struct psn_update *list, size_t n);

/** Tell the other nodes what is new of rates that servers ask for. */
void srv_peers_limits (struct srv *s);
/** Ask at once for permits that have come to be wanted. */
void srv_peers_wants (struct srv *s);

/* poison-node.c: requests that crash servers */
/** Act on what is new of them. */
void srv_poison_act (struct srv *s);
void srv_poison_tick (struct srv *s, clk_ms now);

/* poison-store.c: those that are blocked, in the store */
void srv_poison_store_start (struct srv *s);
void srv_poison_store_tick (struct srv *s, clk_ms now);
/** It is blocked from now on, or has been cleared. */
void srv_poison_changed (struct srv *s, clk_ms now, uint64_t digest,
                         bool blocked);
/** The store has this item below the prefix of blocked requests, or has it no
    longer. @param name  of the key, behind that prefix */
void srv_poison_item (struct srv *s, bool deleted, struct str name,
                      struct str value);
/** All items are read anew: what does not come again is gone. */
void srv_poison_reread (struct srv *s);

/* check.c */
/** Ask the backend server of a DSP_ACT_CHECK whether its process lives. */
void srv_check_server (struct srv *s, const struct dsp_action *a);

/* metrics.c */
/** Where they are read, at the address of readiness. */
#define SRV_METRICS_PATH "/metrics"
void srv_metrics_start (struct srv *s);
/** All counters and histograms in the text exposition format. */
void srv_metrics (struct srv *s, struct buf *out);
/** A request has ended. @param status of the answer; 0: the caller left */
void srv_metrics_request (struct srv *s, const char *kind, int status,
                          const char *code, clk_ms ms);
/** The first event of a stream went to its caller. */
void srv_metrics_first (struct srv *s, clk_ms ms);

/* address.c */
bool srv_address_start (struct srv *s, struct buf *err);

#endif
