#include "control/peers.h"

#include <stdlib.h>
#include <string.h>

#define TICK_MS ((clk_ms)250)

/* --- linked processes --------------------------------------------------- */

static void
free_peer (struct peer *peer)
{
  free (peer->node);
  free (peer);
}

static struct peer *
add_peer (struct ctl_peers *p, struct link *l, struct target *target)
{
  struct peer *peer = xcalloc (1, sizeof *peer);

  peer->p = p;
  peer->link = l;
  peer->target = target;
  peer->id = ++p->last_id;
  peer->next = p->peers;
  p->peers = peer;
  return peer;
}

struct peer *
prs_find (const struct ctl_peers *p, struct str node)
{
  for (struct peer *at = p->peers; at != NULL; at = at->next)
    if (at->role == ROLE_CONTROL && str_is (node, at->node))
      return at;
  return NULL;
}

/** Frees a peer whose link is closed or about to be closed. */
static void
remove_peer (struct peer *peer)
{
  struct ctl_peers *p = peer->p;
  struct peer **at = &p->peers;
  uint64_t out, in;

  while (*at != peer)
    at = &(*at)->next;
  *at = peer->next;
  link_traffic (peer->link, &out, &in);
  p->closed_out += out;
  p->closed_in += in;
  if (peer->target != NULL)
    prs_on_target_unlinked (peer->target);
  if (peer->role == ROLE_GATEWAY)
    ctl_views_on_gateway_down (p->c->views, peer->link);
  if (peer->role == ROLE_CONTROL)
    {
      LOG (peer_gone, LOG_C ("peer", peer->node), LOG_I ("boot", peer->boot));
      if (p->c->spread != NULL)
        ctl_spread_on_peer (p->c->spread, peer->id, false);
    }
  free_peer (peer);
}

void
prs_close (struct peer *peer)
{
  struct link *l = peer->link;

  remove_peer (peer);
  link_close (l);
}

/* --- hello messages ----------------------------------------------------- */

static char *
format_addr (const struct net_addr *a)
{
  struct buf text = BUF_INIT;

  net_addr_format (a, &text);
  return (char *)buf_c (&text);
}

static void
send_hello (struct peer *peer)
{
  struct ctl *c = peer->p->c;
  struct net_addr swim = c->set.control_swim;
  Lapis__Hello hello = LAPIS__HELLO__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  swim.port = ctl_swim_port (c->swim);
  hello.node = c->set.node;
  hello.boot = c->boot;
  hello.role = "control";
  hello.zone = c->set.zone;
  hello.region = c->set.region;
  hello.peer_addr = format_addr (&peer->p->own_addr);
  hello.swim_addr = format_addr (&swim);
  f.body_case = LAPIS__FRAME__BODY_HELLO;
  f.hello = &hello;
  link_send (peer->link, &f);
  free (hello.peer_addr);
  free (hello.swim_addr);
}

static const struct mbr_node *
find_member (const struct ctl_peers *p, struct str name)
{
  size_t n;
  const struct mbr_node *const *nodes = ctl_swim_nodes (p->c->swim, &n);

  for (size_t i = 0; i < n; i++)
    if (str_eq (nodes[i]->name, name))
      return nodes[i];
  return NULL;
}

/**
 * Both ends must keep the same of two links between them: the one opened by
 * the node with the smaller name or, if one end opened both, the newer,
 * because the older may be dead.
 */
static bool
keeps_old_link (const struct peer *old, const struct peer *peer)
{
  bool own_is_smaller = strcmp (peer->p->c->set.node, peer->node) < 0;
  bool old_opened_here = old->target != NULL;

  if (old_opened_here == (peer->target != NULL))
    return false;
  return old_opened_here == own_is_smaller;
}

/** Whether to keep the link; closes an older one to the same node. */
static bool
accept_link (struct peer *peer)
{
  struct ctl_peers *p = peer->p;
  const struct mbr_node *current = find_member (p, str_from (peer->node));
  struct peer *old;

  if (strcmp (peer->node, p->c->set.node) == 0)
    {
      if (peer->target != NULL)
        prs_on_target_self (peer->target);
      return false;
    }
  /* A process on a replaced VM may still run, and its link be open; its
     evidence must not be used. */
  old = prs_find (p, str_from (peer->node));
  if ((current != NULL && current->boot > peer->boot)
      || (old != NULL && old->boot > peer->boot))
    {
      LOG (peer_refused, LOG_C ("peer", peer->node),
           LOG_I ("boot", peer->boot));
      return false;
    }
  if (old == NULL)
    return true;
  if (old->boot == peer->boot && keeps_old_link (old, peer))
    {
      if (peer->target != NULL)
        prs_on_target_hello (peer->target, peer->node);
      return false;
    }
  prs_close (old);
  return true;
}

static void
on_control_hello (struct peer *peer, const Lapis__Hello *hello)
{
  struct ctl_peers *p = peer->p;
  struct net_addr swim;

  peer->node = xstrdup (hello->node);
  peer->boot = hello->boot;
  if (!accept_link (peer))
    {
      prs_close (peer);
      return;
    }
  peer->role = ROLE_CONTROL;
  if (peer->target != NULL)
    prs_on_target_hello (peer->target, peer->node);
  LOG (peer_linked, LOG_C ("peer", peer->node), LOG_I ("boot", peer->boot));
  if (net_addr_parse (str_from (hello->swim_addr), false, &swim))
    ctl_swim_add_seed (p->c->swim, &swim);
  ctl_spread_on_peer (p->c->spread, peer->id, true);
  ctl_domains_on_peer_linked (p->c->domains);
}

static void
on_hello (struct peer *peer, const Lapis__Hello *hello)
{
  if (strcmp (hello->role, "gateway") == 0 && peer->target == NULL)
    {
      peer->role = ROLE_GATEWAY;
      ctl_views_on_gateway (peer->p->c->views, peer->link, hello);
    }
  else if (strcmp (hello->role, "control") == 0)
    on_control_hello (peer, hello);
  else
    {
      LOG (peer_refused, LOG_C ("peer", hello->node),
           LOG_C ("role", hello->role));
      prs_close (peer);
    }
}

/* --- frames ------------------------------------------------------------- */

static void
count_frame (struct ctl_peers *p, const char *labels)
{
  met_add (met_counter (p->c->met, "lapisline_control_messages_total",
                        "Messages by mechanism and direction.", labels),
           1);
}

static void
dispatch_frame (struct peer *peer, const Lapis__Frame *f)
{
  struct ctl *c = peer->p->c;

  count_frame (peer->p, "mechanism=\"peer\",direction=\"in\"");
  switch (f->body_case)
    {
    case LAPIS__FRAME__BODY_CONFIG_HAVE:
    case LAPIS__FRAME__BODY_CONFIG_WANT:
    case LAPIS__FRAME__BODY_CONFIG_CHUNK:
      ctl_spread_on_frame (c->spread, peer->id, f);
      break;
    case LAPIS__FRAME__BODY_EVIDENCE:
      ctl_domains_on_evidence (c->domains, f->evidence);
      break;
    case LAPIS__FRAME__BODY_SHARE_DEMAND:
      ctl_shares_on_demand (c->shares, str_from (peer->node), f->share_demand);
      break;
    case LAPIS__FRAME__BODY_SHARE_GRANT:
      ctl_shares_on_grant (c->shares, f->share_grant);
      break;
    case LAPIS__FRAME__BODY_TRACE_ASK:
    case LAPIS__FRAME__BODY_TRACE_ANSWER:
    case LAPIS__FRAME__BODY_DRAIN_ASK:
    case LAPIS__FRAME__BODY_DRAIN_ANSWER:
      ctl_admin_on_frame (c->admin, peer->id, f);
      break;
    default:
      break;
    }
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  struct peer *peer = ctx;

  if (peer->p->stopping)
    return;
  if (f->body_case == LAPIS__FRAME__BODY_HELLO)
    {
      if (peer->role == ROLE_UNKNOWN)
        on_hello (peer, f->hello);
    }
  else if (peer->role == ROLE_GATEWAY)
    ctl_views_on_frame (peer->p->c->views, l, f);
  else if (peer->role == ROLE_CONTROL)
    dispatch_frame (peer, f);
}

/* --- links -------------------------------------------------------------- */

static void
on_accepted_state (void *ctx, struct link *l, enum link_state state)
{
  if (state == LINK_UP)
    {
      struct peer *peer = add_peer (ctx, l, NULL);

      link_set_ctx (l, peer);
      send_hello (peer);
    }
  else if (state == LINK_DOWN)
    remove_peer (ctx);
}

static void
on_opened_state (void *ctx, struct link *l, enum link_state state)
{
  struct peer *peer = ctx;

  if (state == LINK_UP)
    send_hello (peer);
  else if (state == LINK_DOWN)
    remove_peer (peer);
}

void
prs_open (struct ctl_peers *p, struct target *target)
{
  static const struct link_callbacks cb = { on_opened_state, on_frame };
  struct peer *peer = add_peer (p, NULL, target);

  target->peer = peer;
  peer->link = link_connect (p->c->loop, &target->addr, &p->secret, &cb, peer);
}

/* --- sending ------------------------------------------------------------ */

static bool
send_frame (struct peer *peer, const Lapis__Frame *f)
{
  count_frame (peer->p, "mechanism=\"peer\",direction=\"out\"");
  return link_send (peer->link, f);
}

bool
ctl_peers_send (struct ctl_peers *p, uint64_t id, const Lapis__Frame *f)
{
  for (struct peer *at = p->peers; at != NULL; at = at->next)
    if (at->id == id && at->role == ROLE_CONTROL)
      return send_frame (at, f);
  return false;
}

void
ctl_peers_broadcast (struct ctl_peers *p, const Lapis__Frame *f)
{
  for (struct peer *at = p->peers; at != NULL; at = at->next)
    if (at->role == ROLE_CONTROL)
      send_frame (at, f);
}

bool
ctl_peers_send_node (struct ctl_peers *p, struct str node,
                     const Lapis__Frame *f)
{
  struct peer *peer = prs_find (p, node);

  if (peer != NULL)
    return send_frame (peer, f);
  prs_request_link (p, node);
  return false;
}

/* --- start, stop, traffic ----------------------------------------------- */

void
ctl_peers_on_member_changed (struct ctl_peers *p, const struct mbr_node *node)
{
  struct peer *peer = prs_find (p, node->name);

  if (peer == NULL || peer->boot >= node->boot)
    return;
  LOG (peer_refused, LOG_C ("peer", peer->node), LOG_I ("boot", peer->boot));
  prs_close (peer);
}

static void
on_tick (uv_timer_t *t)
{
  prs_policy_tick (t->data);
}

struct ctl_peers *
ctl_peers_start (struct ctl *c, struct buf *err)
{
  static const struct link_callbacks cb = { on_accepted_state, on_frame };
  struct ctl_peers *p = xcalloc (1, sizeof *p);

  p->c = c;
  memcpy (p->secret.key, c->set.secret, sizeof p->secret.key);
  p->server
      = link_listen (c->loop, &c->set.control_peer, &p->secret, &cb, p, err);
  if (p->server == NULL)
    {
      free (p);
      return NULL;
    }
  p->own_addr = c->set.control_peer;
  p->own_addr.port = link_server_port (p->server);
  uv_timer_init (c->loop, &p->timer);
  p->timer.data = p;
  uv_timer_start (&p->timer, on_tick, 0, (uint64_t)TICK_MS);
  prs_policy_start (p);
  ctl_swim_set_peer_addr (c->swim, &p->own_addr);
  return p;
}

static void
on_closed (uv_handle_t *h)
{
  free (h->data);
}

void
ctl_peers_stop (struct ctl_peers *p)
{
  p->stopping = true;
  for (struct peer *at = p->peers, *next; at != NULL; at = next)
    {
      next = at->next;
      prs_close (at);
    }
  prs_policy_stop (p);
  link_server_free (p->server);
  uv_close ((uv_handle_t *)&p->timer, on_closed);
}

uint16_t
ctl_peers_port (const struct ctl_peers *p)
{
  return p->own_addr.port;
}

size_t
ctl_peers_traffic (const struct ctl_peers *p, uint64_t *out, uint64_t *in)
{
  size_t n = 0;

  *out = p->closed_out;
  *in = p->closed_in;
  for (const struct peer *at = p->peers; at != NULL; at = at->next)
    {
      uint64_t o, i;

      if (at->role != ROLE_CONTROL)
        continue;
      link_traffic (at->link, &o, &i);
      *out += o;
      *in += i;
      n++;
    }
  return n;
}
