/**
 * @file
 * Internal interfaces of the node process.
 */
#ifndef LAPISLINE_SERVE_NODE_INT_H
#define LAPISLINE_SERVE_NODE_INT_H

#include <uv.h>

#include "base/log.h"
#include "base/metric.h"
#include "net/httpd.h"
#include "net/link.h"
#include "replica/owner.h"
#include "serve/cold.h"
#include "serve/currency.h"
#include "serve/hubs.h"
#include "serve/node.h"
#include "serve/pause.h"

struct srv_exchange;
struct srv_deferred;
struct srv_config;
struct srv_sync;
struct srv_register;
struct srv_leader;
struct srv_plan;
struct srv_mix;
struct srv_peers;
struct srv_poison;
struct srv_evacuation;

struct srv
{
  uv_loop_t loop;
  uv_timer_t tick;
  uv_signal_t term, interrupt, hangup;
  const struct srv_adapter *adapter;
  const char *settings_path;
  struct srv_settings settings;
  struct rng rng;
  uint64_t boot; /**< start time of this process, in Unix ms */
  struct httpc *http;
  struct store *store;
  struct pau store_backoff; /**< shared by all store reads and by the calls for
                                 this node's entry */
  struct httpd *client_listener, *ready_listener, *address_listener;
  struct met_reg *metrics;
  struct tbl *active_config; /**< configuration in force; NULL: none was read
                                  yet */
  struct bks *backends;
  struct dsp *dispatch;
  struct psn *poison;
  struct lim *limits;
  struct avl *avail;
  struct evc *evacuations; /**< evacuated zones; NULL: the platform evacuates
                                none */
  struct srv_evacuation *evacuation_log; /**< zones as last logged */
  struct cld *cold;
  const struct tbl *cold_config;  /**< configuration that `cold` has */
  struct srv_poison *poison_keys; /**< keys of blocked requests in the store */
  struct srv_config *config;
  struct srv_sync *sync;
  struct srv_register *registration;
  struct srv_leader *leader;
  struct srv_plan *plan;
  struct srv_mix *mix; /**< mix of each service's requests in the store */
  struct srv_peers *peers;
  struct srv_exchange *exchanges;
  struct srv_deferred *deferred; /**< requests deferred until the store
                                      answers after a pause */
  struct buf logged_endpoints;   /**< endpoints as last logged */
  uint64_t next_id;
  bool running_actions;  /**< dispatch actions are being run */
  bool had_traffic;      /**< at least one request was received */
  bool store_was_empty;  /**< the first read of the store returned no keys, so
                              no entry can have expired before it */
  clk_ms last_tick_at;   /**< time of the last tick; 0: none */
  clk_ms stopping_since; /**< start of the shutdown; 0: not shutting down */
  clk_ms next_denied_log_at;  /**< when denied retries may be logged again */
  clk_ms next_refusal_log_at; /**< same for requests refused unread */
  uint64_t refusals;          /**< requests refused unread */
};

/* node.c */
/** Detect that this process was suspended.  Called on each tick, and before
    each request is admitted and each address query is answered, because the
    event loop may read sockets before it runs the timer. */
void srv_check_pause (struct srv *s, clk_ms now);
/** Whether clients may be sent to this node. */
bool srv_is_ready (const struct srv *s);
/** Pass the endpoints to the dispatch core: the configuration or the list of
    backend servers has changed. */
void srv_endpoints_changed (struct srv *s);
/** The evacuation of the zone has ended: its servers may be cold. */
void srv_evacuation_ended (struct srv *s, struct str zone);

/* config.c: the configuration in force */
void srv_config_start (struct srv *s);
void srv_config_tick (struct srv *s, clk_ms now);
/** Version in force; 0: none. */
int64_t srv_config_version (const struct srv *s);
/** Time at which the version in force was last confirmed to be the newest; 0:
    never. */
clk_ms srv_config_confirmed_at (const struct srv *s);
/** Time since srv_config_confirmed_at(); -1: never. */
clk_ms srv_config_age (const struct srv *s, clk_ms now);
/** Whether the version in force is confirmed to be the newest. */
enum cur_state srv_config_state (const struct srv *s, clk_ms now);
/**
 * Document of the version in force, to be pushed to other nodes.
 * @param nodes  number of nodes that it would be sent to
 * @retval false  it does not fit into a frame, or sending it to that many
 *                nodes would take too long
 */
bool srv_config_document (const struct srv *s, size_t nodes, struct str *text);
void srv_config_pushed (struct srv *s, int64_t version, struct str text);
/** Another node has announced its version and when that was confirmed. */
void srv_config_announced (struct srv *s, clk_ms now,
                           const struct cur_announcement *a);
void srv_config_resumed (struct srv *s, clk_ms now);

/* sync.c: list of backend servers in the store */
void srv_sync_start (struct srv *s);
void srv_sync_tick (struct srv *s, clk_ms now);
/** The leader has reported that a list equalled the store's list at @p
    current_at.  This says something of the list of this node only if that has
    the same digest; see bks_digest(). */
void srv_sync_list_confirmed (struct srv *s, clk_ms current_at,
                              uint64_t digest);
/** Number of reports of the leader about a list that differed from this
 * node's.
 */
uint64_t srv_sync_lists_differed (const struct srv *s);
/** Time since the list of backend servers was last known to equal the store's
    list, from a read by this or another node; -1: there is no list. */
clk_ms srv_sync_list_age (const struct srv *s, clk_ms now);
void srv_sync_resumed (struct srv *s, clk_ms now);
/** Whether requests are deferred: the list is outdated since the last pause of
    this process, and the wait for a new list has not timed out. */
bool srv_sync_is_resuming (const struct srv *s, clk_ms now);
/** Time since this node's last successful read. */
clk_ms srv_sync_read_age (const struct srv *s, clk_ms now);
/** Number of entries that could not be parsed in the last read. */
size_t srv_sync_unparsed (const struct srv *s);
/** Read the list of backend servers soon, as it has probably changed. */
void srv_sync_read_soon (struct srv *s, clk_ms now);

/* register.c: this node's entry, the other nodes' entries, shared keys */
void srv_register_start (struct srv *s);
void srv_register_tick (struct srv *s, clk_ms now);
/** Revoke the lease of this node's entry. */
void srv_register_revoke (struct srv *s);
/** Whether this node is a leaf: there are more nodes than a full mesh allows,
    and it is not one of the relays.  A leaf receives from its relays what
    other nodes read from the store. */
bool srv_is_leaf (const struct srv *s);
/** This node as described by its entry. */
struct rly_node srv_self_spec (const struct srv *s);
/** Whether the store had no leader key when this node last read or watched
    it. */
bool srv_register_leader_vacant (const struct srv *s);
/** Whether the store was restored since this process registered. */
bool srv_register_seen_restore (const struct srv *s);
/** Rank of this node: number of recorded nodes that precede it in the order of
    rly_cmp(), which is the same at all nodes. */
unsigned srv_node_rank (const struct srv *s);

/* duty-plan.c: log of the replica plan */
void srv_plan_start (struct srv *s);
/** Compare the plan with the last logged one and log the changes. */
void srv_plan_log_changes (struct srv *s, struct frm *form, clk_ms now);

/* duty.c: leadership, and the orders that form replicas */
void srv_leader_start (struct srv *s);
void srv_leader_tick (struct srv *s, clk_ms now);
struct srv_leader_key
{
  int64_t revision; /**< 0: the key does not exist */
  struct str node;
  uint64_t boot;
};

/** The leader key in the store was written or deleted. */
void srv_leader_key_changed (struct srv *s, const struct srv_leader_key *key);
void srv_leader_servers_changed (struct srv *s);
void srv_leader_resumed (struct srv *s, clk_ms now, clk_ms ms);
/** A node reports that the endpoint with this hash is stalled, or that its
    process has ended. */
void srv_leader_endpoint_stalled_or_ended (struct srv *s, uint64_t endpoint);
bool srv_is_leader (const struct srv *s);
const struct frm_stats *srv_leader_stats (const struct srv *s);
struct frm *srv_leader_form (const struct srv *s);
/** As frm_models(); returns 0 unless this node is leader. */
size_t srv_leader_models (const struct srv *s, struct frm_model *out);
bool srv_leader_is_forming (const struct srv *s);

/* peers.c: links to the other nodes */
/** Entry of a node in the store. */
struct srv_node_entry
{
  struct str node;
  struct net_addr front; /**< listens for client requests */
  struct net_addr peer;  /**< listens for links of other nodes */
  struct rly_node spec;
};

bool srv_peers_start (struct srv *s, const struct link_secret *secret,
                      struct buf *err);
/** Use this secret to authenticate the links opened from now on. */
void srv_peers_set_secret (struct srv *s, const struct link_secret *secret);
void srv_peers_set_entries (struct srv *s, const struct srv_node_entry *list,
                            size_t n);
/** This node has become leader; its list is not read yet. */
void srv_peers_became_leader (struct srv *s, clk_ms now);
/** If this node is leader, send the changes of the list of backend servers to
    the other nodes. */
void srv_peers_send_servers (struct srv *s);
void srv_peers_tick (struct srv *s, clk_ms now);
/** Send the other nodes a notice of each long prompt that was sent to a
    backend server since the last call. */
void srv_peers_send_prompts (struct srv *s);
/** Whether this node is leader, or has recently received a frame on its link
    to the leader. */
bool srv_peers_has_leader (const struct srv *s, clk_ms now);
/** Number of running nodes, including this one: the linked ones, or the number
    that a relay reports. */
unsigned srv_peers_count_nodes (const struct srv *s);
/** List the front addresses of the nodes to which clients may be sent.
    @return how many */
size_t srv_peers_list_ready (struct srv *s, struct net_addr *out, size_t max);

/* ingress.c */
bool srv_ingress_start (struct srv *s, struct buf *err);
/** The limits of another configuration are in force. */
void srv_ingress_config_changed (struct srv *s);
/** Admit the deferred requests once the store has answered, or the wait for
    it has timed out. */
void srv_ingress_tick (struct srv *s, clk_ms now);
/** Run the pending actions of the dispatch core. */
void srv_run_actions (struct srv *s);
struct srv_exchange *srv_find_exchange (const struct srv *s, uint64_t id);

/** Whether other nodes rely on this node's announcements of the configuration
    version. */
bool srv_peers_is_announcer (const struct srv *s);
/** This process has resumed after a pause of @p ms. */
void srv_peers_resumed (struct srv *s, clk_ms now, clk_ms ms);
bool srv_peers_any_linked (const struct srv *s);
/** Send the other nodes updates of poison requests, which crash backend
    servers. */
void srv_peers_send_poison (struct srv *s, const struct psn_update *list,
                            size_t n);

/** Send the other nodes changes of the request rates that backend servers
    allow. */
void srv_peers_send_limits (struct srv *s);
/** Request permits for new demand from the grantor at once, not with the next
    periodic load. */
void srv_peers_request_permits (struct srv *s);

/* poison-node.c: poison requests, which crash backend servers */
/** Process new updates of poison requests. */
void srv_poison_process (struct srv *s);
void srv_poison_tick (struct srv *s, clk_ms now);

/* poison-store.c: blocked poison requests in the store */
void srv_poison_store_start (struct srv *s);
void srv_poison_store_tick (struct srv *s, clk_ms now);
/** This request or part was blocked, or unblocked. */
void srv_poison_changed (struct srv *s, clk_ms now, struct psn_id id,
                         bool blocked);
/** An item below the prefix of blocked requests was read from the store, or
    was deleted there. @param name  rest of the key after that prefix */
void srv_poison_store_item (struct srv *s, bool deleted, struct str name,
                            struct str value);
/** A full read of the store follows; items that it does not return are
    deleted. */
void srv_poison_store_reread (struct srv *s);

/* evacuation-node.c: evacuated zones; only if the settings enable them */
void srv_evacuation_start (struct srv *s);
void srv_evacuation_tick (struct srv *s, clk_ms now);
/** Process the result of a core function.
    @param changed  the set of evacuated zones has changed
    @param source  "read", "watch" or the name of a node, for the log */
void srv_evacuations_applied (struct srv *s, bool changed, struct str source);
/** The keys of evacuated zones were read. */
void srv_evacuations_read (struct srv *s, const struct store_result *r);
/** A watch has returned changes of any keys of the operators. */
void srv_evacuations_watched (struct srv *s,
                              const struct store_watch_event *ev, size_t n);
/** Source of the last change of the set of evacuated zones. */
struct str srv_evacuation_source (const struct srv *s);
/** Whether a read of the store can end evacuations that were kept after its
    restore. */
bool srv_evacuations_need_read (const struct srv *s, clk_ms now);
/** Send the state to the linked nodes that lack it. */
void srv_peers_send_evacuations (struct srv *s);

/* mix-store.c: mix of each service's requests in the store */
void srv_mix_start (struct srv *s);
void srv_mix_tick (struct srv *s, clk_ms now);
/** The key was read from the store, or was deleted there. */
void srv_mix_store_item (struct srv *s, bool deleted, struct str value);
/** A full read of the store follows; if it does not return the key, there is
    none. */
void srv_mix_store_reread (struct srv *s);

/* notice.c: availability notices of backend servers */
/** Response that carries a notice. */
struct srv_notice_source
{
  struct str server; /**< id of the backend server */
  uint64_t process;  /**< dsp_endpoint_hash() without a generation */
  const char *what;  /**< kind of call, for the log */
  struct str id;     /**< of the client request; empty: none */
};
void srv_notice_received (struct srv *s, const struct srv_notice_source *from,
                          const struct avl_notice *notice);

/** Whether an order or a probe may be sent to the server now; counts it.  A
    server that has asked this node for a pause is sent nothing. */
bool srv_may_call_server (struct srv *s, uint64_t process);

/* cold-node.c: cold backend servers */
void srv_cold_start (struct srv *s);
/** The configuration or the list of backend servers has changed; call it
   before the endpoints are passed to the dispatch core. */
void srv_cold_list_changed (struct srv *s);
void srv_cold_tick (struct srv *s, clk_ms now);
/** The evacuation of the zone has ended; call it before its endpoints accept
    requests again. */
void srv_zone_may_be_cold (struct srv *s, struct str zone);

/* check.c */
/** Probe the backend server of a DSP_ACT_CHECK_PROCESS to find out whether its
    process is alive. */
void srv_check_server_process (struct srv *s, const struct dsp_action *a);

/* metrics.c */
/** Path of the metrics, on the listener for readiness. */
#define SRV_METRICS_PATH "/metrics"
void srv_metrics_start (struct srv *s);
/** All metrics in the Prometheus text exposition format. */
void srv_metrics_expose (struct srv *s, struct buf *out);
/** Count a request that has ended. @param status  of the response; 0: the
    client disconnected */
void srv_metrics_request (struct srv *s, const char *kind, int status,
                          const char *code, clk_ms ms);
/** Count a request whose client had disconnected before it was read. */
void srv_metrics_client_left (struct srv *s);
/** Record the time to the first event of a stream. */
void srv_metrics_first_event (struct srv *s, clk_ms ms);

/* address.c */
bool srv_address_start (struct srv *s, struct buf *err);

#endif
