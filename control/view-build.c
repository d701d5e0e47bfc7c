#include <stdlib.h>

#include "control/views.h"

/* Block size in bytes in which the strings of a view are allocated. */
#define STRING_BLOCK_BYTES 4096

static char *
add_string (struct vws_builder *b, struct str s)
{
  return g_string_chunk_insert_len (b->text, s.ptr ? s.ptr : "",
                                    (gssize)s.len);
}

static char *
add_addr (struct vws_builder *b, const struct net_addr *a)
{
  struct buf text = BUF_INIT;
  if (a->port != 0)
    net_addr_format (a, &text);
  char *copy = add_string (b, buf_str (&text));
  buf_free (&text);
  return copy;
}

static Lapis__NodeView *
node_view (struct vws_builder *b, const struct mbr_node *n)
{
  Lapis__NodeView *v = xmalloc (sizeof *v);
  lapis__node_view__init (v);
  v->node = add_string (b, n->name);
  v->boot = n->boot;
  v->zone = add_string (b, n->zone);
  v->region = add_string (b, n->region);
  v->status = n->status;
  v->http_addr = add_addr (b, &n->gw_http);
  v->peer_addr = add_addr (b, &n->gw_peer);
  v->load = n->load;
  return v;
}

static void
add_nodes (struct vws_builder *b, struct ctl *c)
{
  size_t n;
  const struct mbr_node *const *nodes = ctl_swim_nodes (c->swim, &n);
  b->view.nodes = xcalloc (n, sizeof *b->view.nodes);
  for (size_t i = 0; i < n; i++)
    b->view.nodes[b->view.n_nodes++] = node_view (b, nodes[i]);
}

static uint32_t
duration_ms (clk_ms from, clk_ms to)
{
  return to <= from               ? 0
         : to - from > UINT32_MAX ? UINT32_MAX
                                  : (uint32_t)(to - from);
}

static Lapis__ReplicaView *
replica_view (struct vws_builder *b, const struct ctl_replica *r, clk_ms now)
{
  Lapis__ReplicaView *v = xmalloc (sizeof *v);
  lapis__replica_view__init (v);
  v->replica = add_string (b, r->name);
  v->model = add_string (b, r->model);
  v->domain = add_string (b, r->domain);
  v->generation = (uint64_t)r->generation;
  v->whole = r->complete;
  v->draining = r->draining;
  v->valid_ms = duration_ms (now, r->valid_until);
  v->age_ms = duration_ms (r->valid_until - REP_PROBE_VALID_MS, now);
  v->load = r->load;
  v->load_age_ms = duration_ms (r->load_at, now);
  v->leader_addr = add_addr (b, &r->leader);
  v->fence = (uint64_t)r->fence;
  return v;
}

static void
add_replicas (struct vws_builder *b, struct ctl *c, clk_ms now)
{
  size_t n;
  const struct ctl_replica *replicas = ctl_domains_replicas (c->domains, &n);
  b->view.replicas = xcalloc (n, sizeof *b->view.replicas);
  for (size_t i = 0; i < n; i++)
    b->view.replicas[b->view.n_replicas++]
        = replica_view (b, &replicas[i], now);
}

static void
add_shares (struct vws_builder *b, const struct ctl_views *v, clk_ms now)
{
  b->view.shares = xcalloc (v->shares->len, sizeof *b->view.shares);
  for (guint i = 0; i < v->shares->len; i++)
    {
      const struct vws_share *s = v->shares->pdata[i];
      if (s->expires_at <= now)
        continue;
      Lapis__ShareGrant *g = xmalloc (sizeof *g);
      lapis__share_grant__init (g);
      g->account = add_string (b, str_from (s->account));
      g->tokens_per_s = s->tokens_per_s;
      g->concurrency = s->concurrency;
      g->valid_ms = duration_ms (now, s->expires_at);
      b->view.shares[b->view.n_shares++] = g;
    }
}

void
vws_free (struct vws_builder *b)
{
  for (size_t i = 0; i < b->view.n_nodes; i++)
    free (b->view.nodes[i]);
  for (size_t i = 0; i < b->view.n_replicas; i++)
    free (b->view.replicas[i]);
  for (size_t i = 0; i < b->view.n_shares; i++)
    free (b->view.shares[i]);
  free (b->view.nodes);
  free (b->view.replicas);
  free (b->view.shares);
  g_string_chunk_free (b->text);
}

void
vws_build (struct vws_builder *b, const struct ctl_views *v, clk_ms now)
{
  b->text = g_string_chunk_new (STRING_BLOCK_BYTES);
  lapis__view__init (&b->view);
  b->view.leaving = v->c->leaving;
  b->view.leaving_backends = (char **)ctl_domains_leaving (
      v->c->domains, &b->view.n_leaving_backends);
  add_nodes (b, v->c);
  add_replicas (b, v->c, now);
  add_shares (b, v, now);
}
