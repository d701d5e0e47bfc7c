/**
 * @file
 * Links between control processes, inside:
 *
 *   peers.c         links, greetings, frames to the modules that take them
 *   peer-policy.c   which processes a link is opened to, and when
 */
#ifndef LAPISLINE_CONTROL_PEERS_H
#define LAPISLINE_CONTROL_PEERS_H

#include "control/control.h"

/** Up to this many nodes of a region are all linked with each other. */
#define PRS_MESH 16

/** Above that each node picks as many, besides those that pick it. */
#define PRS_PICKS 4

enum peer_role
{
  ROLE_UNKNOWN, /**< has not greeted yet */
  ROLE_GATEWAY,
  ROLE_CONTROL
};

struct peer;

/** A process that links are opened to. */
struct target
{
  struct target *next;
  struct net_addr addr;
  char *node;    /**< NULL: an address of the settings, not yet heard of */
  bool settings; /**< from the settings: kept for ever */
  bool is_self;
  struct peer *peer; /**< the link opened to it, or NULL */
  clk_ms next_try;
  clk_ms wait;      /**< before the next try but one */
  clk_ms missed;    /**< since when it has been wanted without a link */
  clk_ms wanted_at; /**< last time that somebody had a frame for it */
};

/** One link and who is at its other end. */
struct peer
{
  struct peer *next;
  struct ctl_peers *p;
  struct link *link;
  struct target *target; /**< NULL: the other end opened the link */
  uint64_t number;
  enum peer_role role;
  char *node;
  uint64_t boot;
};

struct ctl_peers
{
  struct ctl *c;
  struct link_server *server;
  struct link_secret secret;
  struct net_addr self;
  uv_timer_t timer;
  struct peer *peers;
  struct target *targets;
  uint64_t last_number;
  uint64_t past_out, past_in; /**< traffic of links that are gone */
  bool stopping;
};

struct peer *prs_find (const struct ctl_peers *p, struct str node);
/** Close without a callback and forget. */
void prs_close (struct peer *peer);
void prs_open (struct ctl_peers *p, struct target *target);

/* peer-policy.c */
void prs_policy_start (struct ctl_peers *p);
void prs_policy_stop (struct ctl_peers *p);
void prs_policy_tick (struct ctl_peers *p);
/** A frame is there for a node without a link. */
void prs_want (struct ctl_peers *p, struct str node);
/** The link opened to the target is gone. */
void prs_target_lost (struct target *t);
/** The process at the target's address said who it is. */
void prs_target_named (struct target *t, const char *node);
void prs_target_is_self (struct target *t);

#endif
