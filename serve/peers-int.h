/**
 * @file
 * What the files of the links between nodes share.
 *
 *   peers.c       who is linked, the list of backend servers, who is ready
 *   peers-nodes.c what is told of other nodes
 *   peers-config.c  what is announced of the configuration
 *   peers-load.c  what is told of loads: the own one, and the sum of all
 *   peers-poison.c  what is told of requests that crash servers
 *   peers-limit.c what is told of rates that servers ask for, and permits
 */
#ifndef LAPISLINE_SERVE_PEERS_INT_H
#define LAPISLINE_SERVE_PEERS_INT_H

#include "serve/hubs.h"
#include "serve/node-int.h"
#include "serve/share.h"

/** How often a node tells its load, and how often the sum is told. */
#define PRS_SEND_INTERVAL_MS ((clk_ms)100)
/** A peer that was not heard for so long gets no new callers. */
#define PRS_STALE_MS ((clk_ms)1600)

/** Addresses of ready nodes that a hub tells each node. */
#define PRS_FRONTS_MAX 64

/** Another node.  Those that are not linked are kept as the store has them. */
struct peer
{
  struct srv_peers *p;
  struct peer *next;
  char *node;
  uint64_t hash;
  struct net_addr front, addr;
  struct hub_node spec;
  bool listed; /* the store has its entry */
  bool in_entries;
  bool ready;
  bool leads;               /* it forms replicas */
  struct dsp_count *counts; /* what it told last */
  size_t ncounts;
  clk_ms load_sent_at; /* by this node */
  struct link *link;   /* NULL: none */
  bool up;
  bool list_received;    /* its ServerList has come on this link */
  uint64_t list_version; /* version of the list of backend servers that it has
                    from this node; 0: none */
  clk_ms list_sent_at;
  clk_ms list_current_at; /* when the list was read of which it last had all */
  clk_ms received_at;
  clk_ms next_connect;
  bool initiated;      /**< this node has begun the link */
  bool connect_failed; /**< the last try to link did not come up */
  bool wanted;         /**< by this node; the other may want it all the same */
  clk_ms wanted_changed_at; /**< when that changed */
  clk_ms node_list_sent_at;
  /* Of the configuration. */
  bool has_timestamp; /* its NodeLoad has come on this link */
  clk_ms timestamp;   /* the time that it bore, by the peer's clock */
  clk_ms timestamp_received_at; /* when it came */
  clk_ms load_sent_earliest;  /* of its last load, by this node's clock, at the
                      earliest; 0: not known */
  int64_t config_version;     /* in force there, as it says */
  clk_ms config_behind_since; /* it has an older one than this node; 0: it has
                                 not */
  int64_t
      config_version_sent; /* newest document that went to it on this link */
};

struct srv_peers
{
  struct srv *s;
  struct hub_node spec;    /* of this node */
  size_t nlisted;          /* peers that the store has */
  struct peer *aggregator; /* adds up what all have; NULL: this node does */
  struct link_secret secret;
  struct link_server *server;
  struct peer *list;
  clk_ms next_send;
  struct dsp_count *own_load; /* what was told of this node last */
  size_t nown_load;
  clk_ms sum_received_at;        /* when the sum of all nodes came last */
  struct svl_budget list_budget; /* for telling the list */
  clk_ms next_sum;
  struct net_addr fronts[PRS_FRONTS_MAX]; /* ready, as a hub tells */
  size_t nfronts;
  unsigned announced_nodes; /* how many there are, as it tells */
  clk_ms node_list_received_at;
  size_t next_front; /* first of the ready peers that is named next */
};

/* peers.c */
size_t prs_count_up (const struct srv_peers *p);
/** The peer of that name, also one that was not known. */
struct peer *prs_find_or_add_peer (struct srv_peers *p, struct str node);
/** Tell the request core between how many budgets are shared. */
void prs_update_node_count (struct srv_peers *p);

/* peers-nodes.c */
/** In each round some of the peers, so that none takes long. */
void prs_send_node_lists (struct srv_peers *p, clk_ms now);
void prs_on_node_list (struct peer *x, const Lapis__NodeList *list);
/** The listed peer that comes next after @p after in the order of hubs. */
struct peer *prs_next_relay (const struct srv_peers *p,
                             const struct hub_node *after);

/* peers-config.c */
/** The peer's load has come, with the time at which it was sent. */
void prs_on_load_timestamp (struct peer *x, clk_ms now,
                            const Lapis__NodeLoad *load);
/** What the peer says of its configuration; NULL: nothing. */
void prs_on_config_state (struct peer *x, clk_ms now,
                          const Lapis__ConfigState *c);
/** What to say to the peer. */
void prs_fill_config_state (const struct peer *x, clk_ms now,
                            Lapis__ConfigState *c);
/**
 * When the peer sent what comes from it now, at the earliest, by this node's
 * clock: frames may have waited in queues, or while this process stood still.
 */
clk_ms prs_sent_at (const struct peer *x, clk_ms now);
/** Push the configuration to peers that have an older one, if others rely on
    this node. */
void prs_push_config (struct srv_peers *p, clk_ms now);

/* peers-poison.c */
/** Tell a peer that has just been linked what is known. */
void prs_send_poison_snapshot (struct peer *x, clk_ms now);
void prs_on_poison_updates (struct peer *x, const Lapis__PoisonUpdates *news);

/* peers-limit.c */
/** Rows of a frame. */
struct prs_permit_rows
{
  Lapis__Permits *rows;
  Lapis__Permits **list;
};

/** Tell a peer that has just been linked which servers are limited. */
void prs_send_limits (struct peer *x, clk_ms now);
void prs_on_limits (struct peer *x, const Lapis__RateLimits *limits);
/** Say in a load that goes to the peer which permits are wanted of it. */
void prs_fill_permits_wanted (const struct peer *x, clk_ms now,
                              struct prs_permit_rows *w,
                              Lapis__NodeLoad *load);
void prs_permit_rows_free (struct prs_permit_rows *w);
/** The peer says so. */
void prs_on_permits_wanted (struct peer *x, const Lapis__NodeLoad *load);
void prs_on_permit_ask (struct peer *x, const Lapis__PermitAsk *ask);
void prs_on_permit_grants (struct peer *x, const Lapis__PermitGrants *grants);
/** Grant what is due, if this node does. @param all  each
   PRS_SEND_INTERVAL_MS; else only where more is wanted since */
void prs_grant_permits (struct srv_peers *p, clk_ms now, bool all);

/* peers-load.c */
/** More nodes than tell each other directly. */
bool prs_exceeds_mesh (const struct srv_peers *p);
/** Whether the sum of all nodes is fresh enough to go by. */
bool prs_is_sum_fresh (const struct srv_peers *p, clk_ms now);
/** Hand on what the peer told, unless the sum is better. */
void prs_update_dispatch (struct peer *x, clk_ms now);
/** The peer has told its own load. */
void prs_on_load (struct peer *x, const Lapis__NodeLoad *load);
/** It has told the sum of all. */
void prs_on_sum (struct peer *x, const Lapis__FleetLoad *load);
void prs_on_prompt_notice (struct peer *x, const Lapis__PromptNotice *notice);
/** Tell what is due; each PRS_SEND_INTERVAL_MS. */
void prs_send_due (struct srv_peers *p, clk_ms now);

#endif
