#include "serve/peers-int.h"

#include <stdlib.h>
#include <string.h>

/*
 * NodeList frames, which the aggregator sends to nodes that are not linked to
 * all others: the number of nodes, front addresses of ready nodes for clients
 * and, if the aggregator is the leader, the relays.
 *
 * A node that is not a relay does not read the entries of nodes from the store
 * while it receives these frames.  The frames therefore also list new nodes
 * that rank as relays.  Otherwise, after the loss of the leader, the relays
 * would choose a new node as aggregator to which no other node is linked, and
 * each node would have no load but its own.
 */

/** Interval at which a NodeList is sent to each node.  Clients cache the
    addresses for 2 s. */
#define NODE_LIST_INTERVAL_MS ((clk_ms)1000)

static char *
addr_text (const struct net_addr *a)
{
  struct buf text = BUF_INIT;
  char *copy;

  net_addr_format (a, &text);
  copy = str_dup (buf_str (&text));
  buf_free (&text);
  return copy;
}

/* --- relays ------------------------------------------------------------ */

struct relay_rows
{
  Lapis__HubEntry rows[RLY_LINKS_PER_NODE];
  Lapis__HubEntry *list[RLY_LINKS_PER_NODE];
};

static void
fill_relay (Lapis__HubEntry *row, char *node, const struct net_addr *front,
            const struct net_addr *peer, const struct rly_node *spec)
{
  lapis__hub_entry__init (row);
  row->node = node;
  row->front = addr_text (front);
  row->peer = addr_text (peer);
  row->link_bytes_per_s = spec->link_bytes_per_s;
  row->cpu_share = spec->cpu_share;
}

static void
free_relay (Lapis__HubEntry *row)
{
  free (row->node);
  free (row->front);
  free (row->peer);
}

struct peer *
prs_next_relay (const struct srv_peers *p, const struct rly_node *after)
{
  struct peer *best = NULL;

  for (struct peer *x = p->peers; x; x = x->next)
    if (x->listed && (!after || rly_cmp (&x->spec, after) > 0)
        && (!best || rly_cmp (&x->spec, &best->spec) < 0))
      best = x;
  return best;
}

/** List the first nodes in relay order, without this node: the receiver is
    linked to it already. */
static void
list_relays (const struct srv_peers *p, struct relay_rows *r,
             Lapis__NodeList *nodes)
{
  const struct peer *x = NULL;

  nodes->n_hubs = 0;
  nodes->hubs = r->list;
  while (nodes->n_hubs < RLY_LINKS_PER_NODE
         && (x = prs_next_relay (p, x ? &x->spec : NULL)) != NULL)
    {
      Lapis__HubEntry *row = &r->rows[nodes->n_hubs];
      fill_relay (row, xstrdup (x->node), &x->front, &x->addr, &x->spec);
      r->list[nodes->n_hubs++] = row;
    }
}

static void
add_relay (struct srv_peers *p, const Lapis__HubEntry *row)
{
  struct str node = str_from (row->node);
  struct net_addr front, addr;
  struct peer *x;

  if (str_eq (node, p->s->settings.node)
      || !net_addr_parse (str_from (row->front), false, &front)
      || !net_addr_parse (str_from (row->peer), false, &addr))
    return;
  x = prs_find_or_add_peer (p, node);
  x->front = front;
  x->addr = addr;
  x->spec
      = (struct rly_node){ x->hash, row->link_bytes_per_s, row->cpu_share };
  x->listed = true;
}

/* --- sending ----------------------------------------------------------- */

/** Services of which the node with this client address reaches no server. */
static size_t
list_unreachable (const struct srv_peers *p, const struct net_addr *front,
                  uint64_t *out)
{
  if (net_addr_eq (front, &p->s->settings.front))
    return dsp_unreachable_services (p->s->dispatch, out, DSP_UNREACHABLE_MAX);
  for (const struct peer *x = p->peers; x; x = x->next)
    if (net_addr_eq (front, &x->front))
      {
        memcpy (out, x->proxy.unreachable, sizeof x->proxy.unreachable);
        return x->proxy.nunreachable;
      }
  return 0;
}

/** Rows of unreachable services in a frame. */
struct unreachable_rows
{
  Lapis__Unreachable rows[PRS_FRONTS_MAX * DSP_UNREACHABLE_MAX];
  Lapis__Unreachable *list[PRS_FRONTS_MAX * DSP_UNREACHABLE_MAX];
};

static void
fill_unreachable (const struct srv_peers *p, const struct net_addr *fronts,
                  size_t n, struct unreachable_rows *r, Lapis__NodeList *nodes)
{
  uint64_t services[DSP_UNREACHABLE_MAX];

  nodes->unreachable = r->list;
  for (size_t i = 0; i < n; i++)
    {
      size_t lost = list_unreachable (p, &fronts[i], services);
      for (size_t k = 0; k < lost; k++)
        {
          Lapis__Unreachable *row = &r->rows[nodes->n_unreachable];
          lapis__unreachable__init (row);
          row->front = (uint32_t)i;
          row->service = services[k];
          r->list[nodes->n_unreachable++] = row;
        }
    }
}

static void
send_node_list (struct peer *x)
{
  struct srv_peers *p = x->p;
  struct relay_rows relays = { 0 };
  struct net_addr list[PRS_FRONTS_MAX];
  char *fronts[PRS_FRONTS_MAX];
  struct unreachable_rows unreachable;
  size_t n = srv_peers_list_ready (p->s, list, PRS_FRONTS_MAX);
  Lapis__NodeList nodes = LAPIS__NODE_LIST__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  for (size_t i = 0; i < n; i++)
    fronts[i] = addr_text (&list[i]);
  nodes.nodes = srv_peers_count_nodes (p->s);
  nodes.n_fronts = n;
  nodes.fronts = fronts;
  fill_unreachable (p, list, n, &unreachable, &nodes);
  nodes.leads = srv_is_leader (p->s);
  nodes.config_age_ms = UINT32_MAX;
  if (nodes.leads)
    list_relays (p, &relays, &nodes);
  f.body_case = LAPIS__FRAME__BODY_NODE_LIST;
  f.node_list = &nodes;
  link_send (x->link, &f);
  for (size_t i = 0; i < n; i++)
    free (fronts[i]);
  for (size_t i = 0; i < nodes.n_hubs; i++)
    free_relay (&relays.rows[i]);
}

void
prs_send_node_lists (struct srv_peers *p, clk_ms now)
{
  size_t max
      = prs_count_up (p) / (NODE_LIST_INTERVAL_MS / PRS_SEND_INTERVAL_MS) + 1;

  for (struct peer *x = p->peers; x && max > 0; x = x->next)
    if (x->up && now - x->node_list_sent_at >= NODE_LIST_INTERVAL_MS)
      {
        send_node_list (x);
        x->node_list_sent_at = now;
        max--;
      }
}

/* --- receiving --------------------------------------------------------- */

/** Keep the services that the node with index @p front doesn't reach. */
static void
read_unreachable (const Lapis__NodeList *list, size_t front,
                  struct dsp_proxy *out)
{
  out->nunreachable = 0;
  for (size_t i = 0; i < list->n_unreachable; i++)
    if (list->unreachable[i]->front == front
        && out->nunreachable < DSP_UNREACHABLE_MAX)
      out->unreachable[out->nunreachable++] = list->unreachable[i]->service;
}

void
prs_on_node_list (struct peer *x, const Lapis__NodeList *list)
{
  struct srv_peers *p = x->p;

  x->received_at = p->node_list_received_at = clk_now ();
  p->announced_nodes = list->nodes;
  p->nfronts = 0;
  for (size_t i = 0; i < list->n_fronts && p->nfronts < PRS_FRONTS_MAX; i++)
    if (net_addr_parse (str_from (list->fronts[i]), false,
                        &p->fronts[p->nfronts]))
      {
        struct dsp_proxy *proxy = &p->proxies[p->nfronts];
        proxy->front = p->fronts[p->nfronts++];
        read_unreachable (list, i, proxy);
      }
  prs_update_node_count (p);
  for (size_t i = 0; i < list->n_hubs; i++)
    add_relay (p, list->hubs[i]);
}

/* --- proxies ------------------------------------------------------------ */

void
prs_update_proxies (struct srv_peers *p, clk_ms now)
{
  struct dsp_proxy list[DSP_PROXIES_MAX];
  size_t n = 0;

  if (prs_has_recent_node_list (p, now))
    {
      for (size_t i = 0; i < p->nfronts && n < DSP_PROXIES_MAX; i++)
        if (!net_addr_eq (&p->fronts[i], &p->s->settings.front))
          list[n++] = p->proxies[i];
    }
  else
    for (struct peer *x = p->peers; x && n < DSP_PROXIES_MAX; x = x->next)
      if (prs_is_ready (x, now))
        {
          x->proxy.front = x->front;
          list[n++] = x->proxy;
        }
  dsp_set_proxies (p->s->dispatch, now, list, n);
}
