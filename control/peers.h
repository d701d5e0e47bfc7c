/**
 * @file
 * Internal interface of the links between control processes.
 *
 *   peers.c         links, hello messages, dispatch of frames to the modules
 *   peer-policy.c   which processes a link is opened to, and when
 */
#ifndef LAPISLINE_CONTROL_PEERS_H
#define LAPISLINE_CONTROL_PEERS_H

#include "control/control.h"

/** A region of up to this many nodes is a full mesh of links. */
#define PRS_MAX_FULL_MESH 16

/** In larger regions each node opens links to this many others. */
#define PRS_LINKS_PER_NODE 4

enum peer_role
{
  ROLE_UNKNOWN, /**< no hello received yet */
  ROLE_GATEWAY,
  ROLE_CONTROL
};

struct peer;

/** An address that this process opens links to. */
struct target
{
  struct target *next;
  struct net_addr addr;
  char *node;         /**< NULL until the first hello */
  bool from_settings; /**< from the settings: never dropped */
  bool is_self;       /**< the address is this process's own */
  struct peer *peer;  /**< the link opened to it, or NULL */
  clk_ms next_try;
  clk_ms backoff;        /**< backoff after the next attempt */
  clk_ms last_linked_at; /**< last tick with a link, or when added */
  clk_ms requested_at;   /**< last time that a frame for it had no link */
};

/** A link and the process at its other end. */
struct peer
{
  struct peer *next;
  struct ctl_peers *p;
  struct link *link;
  struct target *target; /**< NULL: opened by the other end */
  uint64_t id;
  enum peer_role role;
  char *node;
  uint64_t boot;
};

struct ctl_peers
{
  struct ctl *c;
  struct link_server *server;
  struct link_secret secret;
  struct net_addr own_addr;
  uv_timer_t timer;
  struct peer *peers;
  struct target *targets;
  uint64_t last_id;
  uint64_t closed_out, closed_in; /**< bytes on closed links */
  bool stopping;
};

struct peer *prs_find (const struct ctl_peers *p, struct str node);
/** Closes the link without a callback and frees the peer. */
void prs_close (struct peer *peer);
void prs_open (struct ctl_peers *p, struct target *target);

/* peer-policy.c */
void prs_policy_start (struct ctl_peers *p);
void prs_policy_stop (struct ctl_peers *p);
void prs_policy_tick (struct ctl_peers *p);
/** Called when a frame could not be sent because the node has no link. */
void prs_request_link (struct ctl_peers *p, struct str node);
void prs_on_target_unlinked (struct target *t);
void prs_on_target_hello (struct target *t, const char *node);
void prs_on_target_self (struct target *t);

#endif
