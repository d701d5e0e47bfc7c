/**
 * @file
 * Inside of the claims of a gateway, shared by claims*.c only.
 *
 *   claims.c        asks of this gateway's requests and of other gateways
 *   claims-core.c   the claim core's actions: store calls, replies
 *   claims-peers.c  links to other gateways
 */
#ifndef LAPISLINE_FRONT_CLAIMS_H
#define LAPISLINE_FRONT_CLAIMS_H

#include "claim/asker.h"
#include "front/gateway.h"

#define CLAIMS_BUCKETS 1024

/** An ask at this node's core: of an own request or of another gateway. */
struct claims_ask
{
  uint64_t id; /**< here; ids of peers are their own */
  struct claims_ask *chain;
  struct clm_request ask;
  struct buf answer; /**< of a finish */
  bool traced;
  struct trc_id trace; /**< the asking span */
  clk_ms began_at;

  /* Of another gateway. */
  struct link *link; /**< NULL: own, or the link is gone */
  bool remote;
  uint64_t remote_id;

  /* Own. */
  struct clm_requester asker;
  char *targets[CLM_MAX_TARGETS]; /**< names; NULL: this node's core */
  bool handed;                    /**< the last target was given the ask */
  struct clm_reply result;
  struct buf result_answer;
  gw_claim_cb cb;
  void *ctx;
  struct claims_ask *next_done;
};

struct claims_peer;
struct claims_call;

struct gw_claims
{
  struct gw *g;
  struct clm *core;
  struct link_server *server;
  struct link_secret secret;
  uv_timer_t timer;
  uv_timer_t deliver;
  struct claims_ask *buckets[CLAIMS_BUCKETS];
  size_t open;
  uint64_t last_id;
  struct claims_ask *done; /**< results to be handed on from the loop */
  struct claims_ask *done_last;
  struct claims_peer *peers;
  struct claims_call *calls;
  struct clm_stats seen; /**< already in the metrics */
};

/* claims.c */

/** Look at what an event left: core actions, timers. */
void claims_settle (struct gw_claims *c);
void claims_answered (struct gw_claims *c, uint64_t id,
                      const struct clm_reply *reply);
void claims_asked (struct gw_claims *c, struct link *l,
                   const Lapis__ClaimAsk *ask);
void claims_link_gone (struct gw_claims *c, struct link *l);

/** The peer's link is up, or is gone: go on with asks that wait for it. */
void claims_peer_up (struct gw_claims *c, const char *name);
void claims_peer_down (struct gw_claims *c, const char *name);

/* claims-core.c */

void claims_core_start (struct gw_claims *c);
void claims_core_stop (struct gw_claims *c);
void claims_core_run (struct gw_claims *c);

/** Bring the metrics up to date. */
void claims_core_metrics (struct gw_claims *c);

/* claims-peers.c */

bool claims_peers_listen (struct gw_claims *c, struct buf *err);
void claims_peers_stop (struct gw_claims *c);

/** Close links to nodes that are gone from the view or have moved. */
void claims_peers_check (struct gw_claims *c);

enum claims_send
{
  CLAIMS_SENT,
  CLAIMS_LATER, /**< connecting; claims_peer_up() or _down() follows */
  CLAIMS_UNREACHABLE
};
enum claims_send claims_peers_ask (struct gw_claims *c, const char *name,
                                   const struct claims_ask *a);
void claims_peers_answer (struct link *l, uint64_t id,
                          const struct clm_reply *reply);

#endif
