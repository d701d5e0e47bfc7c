/**
 * @file
 * Internal interface of the gateway's claims, used by claims*.c only.
 *
 *   claims.c        claim requests of this gateway and of other gateways
 *   claims-core.c   execution of the claim core's actions: store calls,
 * replies claims-peers.c  links to other gateways
 */
#ifndef LAPISLINE_FRONT_CLAIMS_H
#define LAPISLINE_FRONT_CLAIMS_H

#include "claim/asker.h"
#include "front/gateway.h"

#define CLAIMS_BUCKETS 1024

/** A pending claim request, either local or received from another gateway. */
struct claims_request
{
  uint64_t id; /**< unique at this node only */
  struct claims_request *chain;
  struct clm_request request;
  struct buf answer; /**< response to store, of CLM_FINISH */
  bool traced;
  struct trc_id trace; /**< span of the requester */
  clk_ms began_at;

  /* Received from another gateway. */
  struct link *link; /**< NULL: local, or the link is down */
  bool remote;
  uint64_t remote_id;

  /* Local. */
  struct clm_requester asker;
  char *targets[CLM_MAX_TARGETS]; /**< names; NULL: this node's core */
  bool sent_to_target;            /**< was sent to the last target */
  struct clm_reply result;
  struct buf result_answer;
  gw_claim_cb cb;
  void *ctx;
  struct claims_request *next_done;
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
  struct claims_request *buckets[CLAIMS_BUCKETS];
  size_t open;
  uint64_t last_id;
  struct claims_request
      *done; /**< results to be delivered from the event loop */
  struct claims_request *done_last;
  struct claims_peer *peers;
  struct claims_call *calls;
  struct clm_stats reported; /**< counts already added to the metrics */
};

/* claims.c */

/** After an event: execute the core's actions, start or stop the timer. */
void claims_after_event (struct gw_claims *c);
void claims_reply_received (struct gw_claims *c, uint64_t id,
                            const struct clm_reply *reply);
void claims_request_received (struct gw_claims *c, struct link *l,
                              const Lapis__ClaimAsk *ask);
void claims_link_down (struct gw_claims *c, struct link *l);

/** The link to a peer is up or down: send the claim requests that wait for it,
    or try their next target. */
void claims_peer_up (struct gw_claims *c, const char *name);
void claims_peer_down (struct gw_claims *c, const char *name);

/* claims-core.c */

void claims_core_start (struct gw_claims *c);
void claims_core_stop (struct gw_claims *c);
void claims_core_run (struct gw_claims *c);

/** Update the metrics from the core's counters. */
void claims_core_metrics (struct gw_claims *c);

/* claims-peers.c */

bool claims_peers_listen (struct gw_claims *c, struct buf *err);
void claims_peers_stop (struct gw_claims *c);

/** Close links to nodes that were removed from the view or changed their
    address. */
void claims_peers_check (struct gw_claims *c);

enum claims_send
{
  CLAIMS_SENT,
  CLAIMS_CONNECTING, /**< connecting; claims_peer_up() or claims_peer_down() is
                     called later */
  CLAIMS_UNREACHABLE
};
enum claims_send claims_peers_send (struct gw_claims *c, const char *name,
                                    const struct claims_request *a);
void claims_peers_reply (struct link *l, uint64_t id,
                         const struct clm_reply *reply);

#endif
