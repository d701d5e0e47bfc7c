/**
 * @file
 * Internal interface of the links between nodes.
 *
 *   peers.c         links, server list, addresses of ready nodes
 *   peers-nodes.c   NodeList frames: node count, ready nodes, relays
 *   peers-config.c  configuration versions and configuration documents
 *   peers-load.c    load of this node, sum of the loads of all nodes
 *   peers-poison.c  poison requests
 *   peers-limit.c   rate limits of backend servers, permits
 *   peers-evacuation.c  evacuated availability zones
 */
#ifndef LAPISLINE_SERVE_PEERS_INT_H
#define LAPISLINE_SERVE_PEERS_INT_H

#include "serve/hubs.h"
#include "serve/node-int.h"
#include "serve/server-list.h"

/** Interval at which a node sends its load, and shortest interval at which
    the aggregator sends the sum of all loads. */
#define PRS_SEND_INTERVAL_MS ((clk_ms)100)
/** A peer that has sent no frame for this long is not reported to clients as
    ready, does not count as leader, and its load is left out of the sum. */
#define PRS_STALE_MS ((clk_ms)1600)

/** Most front addresses of ready nodes in one NodeList frame. */
#define PRS_FRONTS_MAX 64

/** Another node.  A node without a link stays in the list, with the data of
    its last entry in the store. */
struct peer
{
  struct srv_peers *p;
  struct peer *next;
  char *node;
  uint64_t hash;
  struct net_addr front; /* listens for client requests */
  struct net_addr addr;  /* listens for links of other nodes */
  struct rly_node spec;
  bool listed; /* in the last entries or a NodeList; kept while the link is
                  up */
  bool in_entries;
  bool ready;
  struct dsp_proxy proxy; /* its client address, and what it doesn't reach */
  bool is_leader;
  struct dsp_endpoint_load *loads; /* its load per endpoint, as last
                                      received */
  size_t nloads;
  clk_ms load_sent_at; /* when this node last sent its load to it */
  struct link *link;   /* NULL: no link */
  bool up;
  bool server_list_received; /* a ServerList frame has arrived on this link */
  uint64_t server_list_version; /* version of the server list that this node
                                   last sent to it; 0: none */
  clk_ms server_list_sent_at;
  clk_ms list_differs_since; /* since when it reports another list than this
                                node's although it was sent all; 0: it does
                                not */
  clk_ms list_resend_ms;     /* how long that may last */
  uint64_t changes_version; /* as a new leader, without the complete list: this
                               node has sent it the changes up to here */
  clk_ms changes_sent_at;
  clk_ms server_list_current_at; /* read time of the newest list that it has
                                    completely */
  clk_ms received_at;
  clk_ms next_connect_at;
  bool initiated;      /**< this node opened the link */
  bool connect_failed; /**< the last connection attempt failed */
  bool link_wanted;    /**< this node wants the link; the peer may want it
                       even if this node does not */
  clk_ms link_wanted_changed_at; /**< when `link_wanted` last changed */
  clk_ms node_list_sent_at;
  /* Configuration of the peer. */
  bool has_timestamp; /* a NodeLoad frame has arrived on this link */
  clk_ms timestamp;   /* sent_ms of that frame, by the peer's clock */
  clk_ms timestamp_received_at; /* when that frame arrived, by this node's
                                   clock */
  clk_ms load_sent_earliest;    /* lower bound of the time at which the peer
                                   sent its last load, by this node's clock; 0:
                                   unknown */
  int64_t config_version;       /* version in force at the peer, as last
                                   announced */
  clk_ms config_behind_since;   /* since when its version is older than this
                                   node's; 0: it is not older */
  int64_t config_version_sent;  /* newest version sent to it on this link */
  uint64_t evacuations_sent;    /* evc_version() of the state that it has: sent
                                   to it on this link, or received from it; 0:
                                   none */
};

struct srv_peers
{
  struct srv *s;
  struct rly_node spec; /* link and processor limits of this node */
  size_t nlisted_peers;
  struct peer *aggregator; /* node that adds up the loads of all nodes;
                              NULL: this node */
  struct link_secret secret;
  struct link_server *server;
  struct peer *peers;
  clk_ms next_send_at;
  struct dsp_endpoint_load *own_load; /* this node's load as last sent */
  size_t nown_load;
  clk_ms sum_received_at;        /* when the last sum of all loads arrived */
  struct svl_budget list_budget; /* limits the rate at which the server list
                                    is sent */
  uint64_t version_at_start;     /* of the list when this node became leader */
  clk_ms list_at_start;          /* read time of that list */
  clk_ms next_sum_at;
  struct net_addr fronts[PRS_FRONTS_MAX];   /* ready nodes, from the last
                                               NodeList */
  struct dsp_proxy proxies[PRS_FRONTS_MAX]; /* the same with what their nodes
                                               don't reach */
  size_t nfronts;
  unsigned announced_nodes; /* number of nodes in the last NodeList */
  clk_ms node_list_received_at;
  size_t next_front; /* index of the ready peer that comes first in the next
                        address response */
};

/* peers.c */
size_t prs_count_up (const struct srv_peers *p);
/** Find the peer with this name; add it if there is none. */
struct peer *prs_find_or_add_peer (struct srv_peers *p, struct str node);
/** Whether a NodeList of an aggregator is recent enough to be used. */
bool prs_has_recent_node_list (const struct srv_peers *p, clk_ms now);
/** Whether clients may be sent to the peer. */
bool prs_is_ready (const struct peer *x, clk_ms now);
/** Pass the number of nodes that share budgets to the dispatch core. */
void prs_update_node_count (struct srv_peers *p);

/* peers-nodes.c */
/** Pass the ready nodes that reach backend servers to the dispatch core. */
void prs_update_proxies (struct srv_peers *p, clk_ms now);
/** Send NodeList frames to a part of the peers in each call, so that no call
    takes long. */
void prs_send_node_lists (struct srv_peers *p, clk_ms now);
void prs_on_node_list (struct peer *x, const Lapis__NodeList *list);
/** The listed peer that follows @p after in relay order; the first one if
    @p after is NULL. */
struct peer *prs_next_relay (const struct srv_peers *p,
                             const struct rly_node *after);

/* peers-config.c */
/** Record the send time of a load that has just arrived from the peer. */
void prs_on_load_timestamp (struct peer *x, clk_ms now,
                            const Lapis__NodeLoad *load);
/**
 * Process the configuration state in a frame from the peer.
 * @param c  NULL: none in the frame
 */
void prs_on_config_state (struct peer *x, clk_ms now,
                          const Lapis__ConfigState *c);
/** Fill in this node's configuration state for a frame to the peer. */
void prs_fill_config_state (struct peer *x, clk_ms now, Lapis__ConfigState *c);
/**
 * The earliest time, by this node's clock, at which the peer can have sent the
 * frame that is being processed.  The frame may have waited in queues, or
 * while this process was stopped.
 */
clk_ms prs_sent_at (const struct peer *x, clk_ms now);
/** Send the configuration to peers that have an older version, if other
    nodes rely on the announcements of this one. */
void prs_push_config (struct srv_peers *p, clk_ms now);

/* peers-poison.c */
/** Send all recorded poison requests to a peer that has just been linked. */
void prs_send_poison_snapshot (struct peer *x, clk_ms now);
void prs_on_poison_updates (struct peer *x,
                            const Lapis__PoisonUpdates *updates);

/* peers-evacuation.c */
/**
 * Send the evacuated zones to the peer unless it has them.  To be called
 * before each frame that lets the peer take its configuration for the newest.
 * @retval false  they could not be sent
 */
bool prs_send_evacuations (struct peer *x);
void prs_on_evacuations (struct peer *x, const Lapis__Evacuations *in);

/* peers-limit.c */
/** Rows of permits in a frame. */
struct prs_permit_rows
{
  Lapis__Permits *rows;
  Lapis__Permits **list;
};

/** Send all rate limits to a peer that has just been linked. */
void prs_send_limits (struct peer *x, clk_ms now);
void prs_on_limits (struct peer *x, const Lapis__RateLimits *limits);
/** Add this node's demand for permits to a load for the peer; none if the peer
    is not the grantor. */
void prs_fill_permits_wanted (const struct peer *x, clk_ms now,
                              struct prs_permit_rows *w,
                              Lapis__NodeLoad *load);
void prs_permit_rows_free (struct prs_permit_rows *w);
/** Process the demand for permits in the peer's load. */
void prs_on_permits_wanted (struct peer *x, const Lapis__NodeLoad *load);
void prs_on_permit_ask (struct peer *x, const Lapis__PermitAsk *ask);
void prs_on_permit_grants (struct peer *x, const Lapis__PermitGrants *grants);
/**
 * Grant permits, if this node is the grantor.
 * @param all_servers  true (once each PRS_SEND_INTERVAL_MS): grant for all
 * servers; false: only for servers with new demand since the last call
 */
void prs_grant_permits (struct srv_peers *p, clk_ms now, bool all_servers);

/* peers-load.c */
/** Whether there are too many nodes for a full mesh. */
bool prs_exceeds_full_mesh (const struct srv_peers *p);
/** Whether the last sum of all loads is recent enough to be used. */
bool prs_is_sum_fresh (const struct srv_peers *p, clk_ms now);
/** Pass the loads last received from the peer to the dispatch core; pass none
    while the peer is not linked, or while the sum of all loads is used. */
void prs_pass_load_to_dispatch (struct peer *x, clk_ms now);
/** Process a load of the peer. */
void prs_on_load (struct peer *x, const Lapis__NodeLoad *load);
/** Process a sum of all loads from the peer. */
void prs_on_sum (struct peer *x, const Lapis__FleetLoad *load);
void prs_on_prompt_notice (struct peer *x, const Lapis__PromptNotice *notice);
/** Send the loads, the configuration and the node lists that are due.
    Called every PRS_SEND_INTERVAL_MS. */
void prs_send_due (struct srv_peers *p, clk_ms now);

#endif
