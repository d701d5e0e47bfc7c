#include <stdlib.h>
#include <string.h>

#include "front/claims.h"
#include "front/poison.h"

/** Time for which a node is considered unreachable after a failed connection.
 */
#define RETRY_MS ((clk_ms)500)

/** A link that this node opened to another gateway. */
struct claims_peer
{
  struct gw_claims *c;
  char *name;
  struct net_addr addr;
  struct link *link; /**< NULL: none */
  bool up;
  clk_ms failed_at; /**< 0: not */
  struct claims_peer *next;
};

/* Inbound links: requests of other gateways. */

static void
on_inbound_state (void *ctx, struct link *l, enum link_state state)
{
  struct gw_claims *c = ctx;

  if (state != LINK_DOWN)
    return;
  claims_link_down (c, l);
  gw_slots_link_down (c->g->slots, l);
}

static void
on_inbound_frame (void *ctx, struct link *l, const Lapis__Frame *frame)
{
  struct gw_claims *c = ctx;

  if (frame->body_case == LAPIS__FRAME__BODY_CLAIM_ASK)
    claims_request_received (c, l, frame->claim_ask);
  else if (frame->body_case == LAPIS__FRAME__BODY_POISON_UPDATES)
    gw_poison_received (c->g->poison, frame->poison_updates);
  else
    gw_slots_request_received (c->g->slots, l, frame);
}

static const struct link_callbacks inbound_callbacks
    = { on_inbound_state, on_inbound_frame };

bool
claims_peers_listen (struct gw_claims *c, struct buf *err)
{
  memcpy (c->secret.key, c->g->set.secret, sizeof c->secret.key);
  c->server = link_listen (c->g->loop, &c->g->set.gateway_peer, &c->secret,
                           &inbound_callbacks, c, err);
  return c->server != NULL;
}

void
claims_peers_reply (struct link *l, uint64_t id, const struct clm_reply *reply)
{
  Lapis__ClaimAnswer answer = LAPIS__CLAIM_ANSWER__INIT;
  Lapis__Frame frame = LAPIS__FRAME__INIT;

  answer.id = id;
  answer.verdict = reply->verdict;
  answer.answer.data = (uint8_t *)reply->response.ptr;
  answer.answer.len = reply->response.len;
  answer.answer_status = (uint32_t)reply->response_status;
  answer.retry_ms = (uint32_t)reply->retry_after_ms;
  frame.body_case = LAPIS__FRAME__BODY_CLAIM_ANSWER;
  frame.claim_answer = &answer;
  link_send (l, &frame);
}

/* Outbound links. */

static void
on_outbound_state (void *ctx, struct link *l, enum link_state state)
{
  struct claims_peer *p = ctx;

  p->up = state == LINK_UP;
  if (state == LINK_UP)
    {
      p->failed_at = 0;
      gw_poison_link_up (p->c->g->poison, l);
      claims_peer_up (p->c, p->name);
      gw_slots_check (p->c->g->slots);
    }
  else if (state == LINK_DOWN)
    {
      p->link = NULL;
      p->failed_at = clk_now ();
      claims_peer_down (p->c, p->name);
      gw_slots_check (p->c->g->slots);
    }
}

static void
on_outbound_frame (void *ctx, struct link *l, const Lapis__Frame *frame)
{
  struct claims_peer *p = ctx;
  const Lapis__ClaimAnswer *a = frame->claim_answer;
  struct clm_reply reply = { 0 };

  if (frame->body_case == LAPIS__FRAME__BODY_SLOT_ANSWER)
    gw_slots_reply_received (p->c->g->slots, frame->slot_answer);
  if (frame->body_case != LAPIS__FRAME__BODY_CLAIM_ANSWER
      || a->verdict > CLM_ACKNOWLEDGED)
    return;
  reply.id = a->id;
  reply.verdict = (enum clm_verdict)a->verdict;
  reply.response_status = (int)a->answer_status;
  reply.response = str_make (a->answer.data, a->answer.len);
  reply.retry_after_ms = a->retry_ms;
  claims_reply_received (p->c, a->id, &reply);
  claims_after_event (p->c);
}

static const struct link_callbacks outbound_callbacks
    = { on_outbound_state, on_outbound_frame };

static const struct gw_node *
find_node (struct gw_claims *c, const char *name)
{
  size_t n = 0;
  const struct gw_node *nodes
      = c->g->view ? gw_view_nodes (c->g->view, &n) : NULL;

  for (size_t i = 0; i < n; i++)
    if (str_is (nodes[i].name, name))
      return &nodes[i];
  return NULL;
}

static struct claims_peer *
get_peer (struct gw_claims *c, const char *name)
{
  struct claims_peer *p = c->peers;
  const struct gw_node *node;

  while (p && strcmp (p->name, name) != 0)
    p = p->next;
  if (p)
    return p;
  node = find_node (c, name);
  if (!node)
    return NULL;
  p = xcalloc (1, sizeof *p);
  p->c = c;
  p->name = xstrdup (name);
  p->addr = node->peer;
  p->next = c->peers;
  c->peers = p;
  return p;
}

static bool
send_ask (struct link *l, const struct claims_request *a)
{
  Lapis__ClaimAsk m = LAPIS__CLAIM_ASK__INIT;
  Lapis__Frame frame = LAPIS__FRAME__INIT;

  m.id = a->id;
  m.key.data = (uint8_t *)a->request.key;
  m.attempt.data = (uint8_t *)a->request.attempt;
  m.fingerprint.data = (uint8_t *)a->request.fingerprint;
  m.key.len = m.attempt.len = m.fingerprint.len = 16;
  m.kind = a->request.kind;
  m.answer.data = (uint8_t *)a->answer.ptr;
  m.answer.len = a->answer.len;
  m.answer_status = (uint32_t)a->request.response_status;
  if (a->traced)
    {
      m.trace.data = (uint8_t *)a->trace.trace;
      m.trace.len = sizeof a->trace.trace;
      m.span.data = (uint8_t *)a->trace.span;
      m.span.len = sizeof a->trace.span;
    }
  frame.body_case = LAPIS__FRAME__BODY_CLAIM_ASK;
  frame.claim_ask = &m;
  return link_send (l, &frame);
}

/** Start to connect, unless a connection failed less than RETRY_MS ago. */
static bool
open_link (struct claims_peer *p)
{
  if (p->failed_at && clk_now () - p->failed_at < RETRY_MS)
    return false;
  if (!p->link)
    p->link = link_connect (p->c->g->loop, &p->addr, &p->c->secret,
                            &outbound_callbacks, p);
  return p->link != NULL;
}

enum claims_send
claims_peers_send (struct gw_claims *c, const char *name,
                   const struct claims_request *a)
{
  struct claims_peer *p = get_peer (c, name);

  if (!p)
    return CLAIMS_UNREACHABLE;
  if (p->up)
    return send_ask (p->link, a) ? CLAIMS_SENT : CLAIMS_UNREACHABLE;
  return open_link (p) ? CLAIMS_CONNECTING : CLAIMS_UNREACHABLE;
}

struct link *
gw_claims_link (struct gw_claims *c, const char *name)
{
  struct claims_peer *p = get_peer (c, name);

  if (p && !p->up)
    open_link (p);
  return p && p->up ? p->link : NULL;
}

static void
peer_free (struct claims_peer *p)
{
  if (p->link)
    link_close (p->link);
  free (p->name);
  free (p);
}

void
claims_peers_check (struct gw_claims *c)
{
  for (struct claims_peer **at = &c->peers; *at;)
    {
      struct claims_peer *p = *at;
      const struct gw_node *node = find_node (c, p->name);
      if (node && net_addr_eq (&node->peer, &p->addr))
        {
          at = &p->next;
          continue;
        }
      *at = p->next;
      claims_peer_down (c, p->name);
      peer_free (p);
    }
}

void
claims_peers_stop (struct gw_claims *c)
{
  while (c->peers)
    {
      struct claims_peer *p = c->peers;
      c->peers = p->next;
      peer_free (p);
    }
  if (c->server)
    link_server_free (c->server);
}
