#include <stdlib.h>
#include <string.h>

#include "base/chart.h"
#include "control/domains.h"

void
dom_remote_free (struct dom_remote *r)
{
  if (r->evidence)
    lapis__evidence__free_unpacked (r->evidence, NULL);
  r->evidence = NULL;
}

static bool
is_owner (const struct dom *d)
{
  return d->own && own_may_order (d->own, clk_now ());
}

/*
 * A new home has probed no member yet and would report every replica as
 * incomplete, which would take a healthy domain out of service at every
 * gateway.  Until the members are probed, gateways use the previous home's
 * evidence and, once it has expired, check the servers themselves.
 */
bool
dom_may_publish (struct dom *d, clk_ms now)
{
  size_t n, complete = 0;
  const struct rep_view *views;

  if (!d->publish_after)
    return true;
  views = rep_views (d->rep, now, &n);
  for (size_t i = 0; i < n; i++)
    complete += views[i].complete;
  if ((n && complete == n) || now >= d->publish_after)
    d->publish_after = 0;
  return !d->publish_after;
}

/* ---- evidence to other nodes ---- */

static uint32_t
ms_since (clk_ms now, clk_ms then)
{
  return then && now > then ? (uint32_t)(now - then) : 0;
}

/* Model and domain are omitted: receivers have them from the configuration,
   and strings are most of the size. */
static void
init_replica_view (Lapis__ReplicaView *out, const struct rep_view *v,
                   clk_ms now)
{
  struct buf leader = BUF_INIT;
  clk_ms left = v->probed_at + REP_PROBE_VALID_MS - now;

  lapis__replica_view__init (out);
  out->replica = str_dup (v->replica);
  out->generation = (uint64_t)v->generation;
  out->whole = v->complete;
  out->draining = v->draining;
  out->age_ms = ms_since (now, v->probed_at);
  out->valid_ms = v->complete && left > 0 ? (uint32_t)left : 0;
  out->load = v->inflight_tokens;
  out->load_age_ms = out->age_ms;
  if (v->leader)
    {
      net_addr_format (&v->leader->addr, &leader);
      out->leader_addr = str_dup (buf_str (&leader));
    }
  buf_free (&leader);
}

static void
clear_replica_view (Lapis__ReplicaView *v)
{
  free (v->replica);
  if (v->leader_addr != protobuf_c_empty_string)
    free (v->leader_addr);
}

static void
send_evidence (struct dom *d, Lapis__Evidence *e)
{
  Lapis__Frame frame = LAPIS__FRAME__INIT;

  e->domain = (char *)buf_c (&d->name);
  /* 0: this node has no valid lease, so it is not the owner. */
  e->fence = is_owner (d) ? (uint64_t)own_fence (d->own) : 0;
  e->seq = ++d->seq;
  frame.body_case = LAPIS__FRAME__BODY_EVIDENCE;
  frame.evidence = e;
  ctl_peers_broadcast (d->domains->c->peers, &frame);
  met_add (d->domains->evidence_bytes,
           (double)lapis__frame__get_packed_size (&frame));
}

/** Fill in a full message; released with free_full(). */
static void
make_full (struct dom *d, const struct rep_view *views, size_t n, clk_ms now,
           Lapis__Evidence *e)
{
  lapis__evidence__init (e);
  e->domain = (char *)buf_c (&d->name);
  e->n_replicas = n;
  e->replicas = xcalloc (n + 1, sizeof *e->replicas);
  for (size_t i = 0; i < n; i++)
    {
      e->replicas[i] = xmalloc (sizeof *e->replicas[i]);
      init_replica_view (e->replicas[i], &views[i], now);
    }
  e->n_leaving = d->domains->leaving->len;
  e->leaving = (char **)d->domains->leaving->pdata;
}

static void
free_full (Lapis__Evidence *e)
{
  for (size_t i = 0; i < e->n_replicas; i++)
    {
      clear_replica_view (e->replicas[i]);
      free (e->replicas[i]);
    }
  free (e->replicas);
}

static void
send_full (struct dom *d, const struct rep_view *views, size_t n, clk_ms now)
{
  Lapis__Evidence e;

  make_full (d, views, n, now, &e);
  send_evidence (d, &e);
  d->full_seq = d->seq;
  d->full_sent_at = now;
  free_full (&e);
}

static void
send_short (struct dom *d, const struct rep_view *views, size_t n, clk_ms now)
{
  Lapis__Evidence e = LAPIS__EVIDENCE__INIT;

  e.full_seq = d->full_seq;
  e.loads = xcalloc (n + 1, sizeof *e.loads);
  e.n_loads = n;
  for (size_t i = 0; i < n; i++)
    {
      e.loads[i] = views[i].inflight_tokens;
      if (views[i].complete && ms_since (now, views[i].probed_at) > e.age_ms)
        e.age_ms = ms_since (now, views[i].probed_at);
    }
  send_evidence (d, &e);
  free (e.loads);
}

/* Names and addresses are most of the size, so full messages are sent only
   after a change (d->changed: state, completeness or ownership), at an
   interval for nodes that missed one, and after a node has linked.  A new node
   cannot use short messages, and its clients would get "no replica" for
   seconds.  Several full ones are sent, because the new node drops evidence
   until it has the configuration, which may arrive shortly after the link. */
void
dom_broadcast (struct dom *d, clk_ms now)
{
  size_t n;
  const struct rep_view *views = rep_views (d->rep, now, &n);
  bool full = d->changed || !d->full_seq || n != d->sent_replicas
              || d->full_remaining > 0
              || now - d->full_sent_at >= DOM_FULL_INTERVAL_MS;

  d->sent_at = now;
  d->sent_replicas = n;
  if (d->full_remaining > 0)
    d->full_remaining--;
  if (full)
    send_full (d, views, n, now);
  else
    send_short (d, views, n, now);
}

void
ctl_domains_on_peer_linked (struct ctl_domains *domains)
{
  for (size_t i = 0; i < domains->n; i++)
    domains->list[i]->full_remaining = DOM_FULL_AFTER_LINK;
}

/* ---- evidence from other nodes ---- */

/*
 * An owner that lost its lease while suspended may send old evidence: its
 * fence is below the highest received, and it is dropped.  Evidence without a
 * fence comes from a home that could not get the lease because the store is
 * down; it is accepted once no owner sends any.
 */
static bool
accepts_fence (const struct dom_remote *r, int64_t fence, clk_ms now)
{
  if (fence)
    return fence >= r->fence;
  return !r->owner_received_at
         || now - r->owner_received_at >= DOM_OWNER_TIMEOUT_MS;
}

static Lapis__Evidence *
copy_evidence (const Lapis__Evidence *e)
{
  size_t len = lapis__evidence__get_packed_size (e);
  uint8_t *bytes = xmalloc (len + 1);
  Lapis__Evidence *out;

  lapis__evidence__pack (e, bytes);
  out = lapis__evidence__unpack (NULL, len, bytes);
  free (bytes);
  return out;
}

/* Applies a short message to the full one that it refers to; both list the
   replicas in the same order. */
static bool
apply_short (struct dom_remote *r, const Lapis__Evidence *e)
{
  Lapis__Evidence *full = r->evidence;

  if (!full || full->seq != e->full_seq || full->fence != e->fence
      || full->n_replicas != e->n_loads)
    return false;
  for (size_t i = 0; i < full->n_replicas; i++)
    {
      Lapis__ReplicaView *v = full->replicas[i];

      v->load = e->loads[i];
      v->load_age_ms = e->age_ms;
      if (v->whole)
        v->valid_ms = e->age_ms < REP_PROBE_VALID_MS
                          ? (uint32_t)REP_PROBE_VALID_MS - e->age_ms
                          : 0;
    }
  return true;
}

/* Until the next home sends evidence, the last received is used, which may be
   from before this node became the home: of an old generation, and expired.
   The node's own evidence as owner replaces it.  A home without the lease may
   be wrong, and so it has nothing to hand on. */
void
dom_keep_evidence (struct dom *d, clk_ms now)
{
  struct dom_remote *r = &d->remote;
  const struct rep_view *views;
  Lapis__Evidence e;
  size_t n;

  if (!d->rep || !is_owner (d) || !dom_may_publish (d, now))
    return;
  views = rep_views (d->rep, now, &n);
  make_full (d, views, n, now, &e);
  e.fence = (uint64_t)own_fence (d->own);
  dom_remote_free (r);
  r->evidence = copy_evidence (&e);
  r->fence = own_fence (d->own);
  r->owner_received_at = r->received_at = now;
  free_full (&e);
}

void
ctl_domains_on_evidence (struct ctl_domains *domains, const Lapis__Evidence *e)
{
  struct dom *d = dom_find (domains, str_from (e->domain));
  clk_ms now = clk_now ();
  struct dom_remote *r;

  if (!d)
    return;
  r = &d->remote;
  if (!accepts_fence (r, (int64_t)e->fence, now))
    return;
  if (e->full_seq)
    {
      if (!apply_short (r, e))
        return;
    }
  else
    {
      dom_remote_free (r);
      r->evidence = copy_evidence (e);
    }
  if (e->fence)
    {
      r->fence = (int64_t)e->fence;
      r->owner_received_at = now;
    }
  r->received_at = now;
  ctl_evidence_changed (domains->c);
}

/* ---- the merged list ---- */

static void
fill_from_core (const struct dom *d, const struct rep_view *v,
                struct ctl_replica *out)
{
  const struct chart *chart = chart_embedded ("replica");

  out->generation = v->generation;
  out->fence = is_owner (d) ? own_fence (d->own) : 0;
  out->state = chart_state_name (chart, v->state);
  out->complete = v->complete;
  out->draining = v->draining;
  out->valid_until = v->probed_at + REP_PROBE_VALID_MS;
  out->load = v->inflight_tokens;
  out->load_at = v->probed_at;
  if (v->leader)
    out->leader = v->leader->addr;
}

static void
fill_from_evidence (const struct dom_remote *r, const Lapis__ReplicaView *v,
                    struct ctl_replica *out)
{
  clk_ms valid = v->valid_ms;

  /* Limits the validity that another node claims. */
  if (valid > REP_PROBE_VALID_MS)
    valid = REP_PROBE_VALID_MS;
  out->generation = (int64_t)v->generation;
  out->fence = (int64_t)r->evidence->fence;
  out->complete = v->whole;
  out->draining = v->draining;
  out->state = v->draining ? "draining" : v->whole ? "whole" : "degraded";
  out->valid_until = r->received_at + valid;
  out->load = v->load;
  out->load_at = r->received_at - (clk_ms)v->load_age_ms;
  net_addr_parse (str_from (v->leader_addr), false, &out->leader);
}

static void
init_replica (const struct dom *d, const struct cfg_replica *c,
              struct ctl_replica *out)
{
  memset (out, 0, sizeof *out);
  out->name = c->name;
  out->model = c->model;
  out->domain = c->domain;
  out->owner = buf_str (&d->home_node);
  out->state = "unknown";
}

/* Whether received evidence is used: this node is not home, has no lease while
   an owner sends evidence, or has not probed enough yet. */
static bool
prefers_remote (const struct dom *d, clk_ms now)
{
  if (d->rep && d->publish_after)
    return d->remote.evidence && d->remote.received_at > d->sent_at;
  return d->remote.evidence
         && (!d->rep
             || (!is_owner (d) && d->remote.evidence->fence
                 && now - d->remote.received_at < DOM_OWNER_TIMEOUT_MS));
}

static struct ctl_replica *
find_merged (struct ctl_domains *domains, struct str replica)
{
  const struct cfg_replica *c
      = domains->cfg ? cfg_replica (domains->cfg, replica) : NULL;

  return c ? &domains->merged[c - domains->cfg->replicas] : NULL;
}

static void
merge_dom (struct ctl_domains *domains, struct dom *d, clk_ms now)
{
  struct ctl_replica *out;
  size_t n = 0;

  if (prefers_remote (d, now))
    {
      for (size_t i = 0; i < d->remote.evidence->n_replicas; i++)
        if ((out = find_merged (
                 domains,
                 str_from (d->remote.evidence->replicas[i]->replica))))
          fill_from_evidence (&d->remote, d->remote.evidence->replicas[i],
                              out);
      return;
    }
  const struct rep_view *views = d->rep && dom_may_publish (d, now)
                                     ? rep_views (d->rep, now, &n)
                                     : NULL;
  for (size_t i = 0; i < n; i++)
    if ((out = find_merged (domains, views[i].replica)))
      fill_from_core (d, &views[i], out);
}

const struct ctl_replica *
ctl_domains_replicas (struct ctl_domains *domains, size_t *n)
{
  clk_ms now = clk_now ();

  *n = 0;
  if (!domains->cfg)
    return NULL;
  *n = domains->cfg->nreplicas;
  domains->merged
      = xrealloc (domains->merged, (*n + 1) * sizeof *domains->merged);
  for (size_t i = 0; i < *n; i++)
    {
      const struct cfg_replica *c = &domains->cfg->replicas[i];

      init_replica (domains->dom_by_replica[i], c, &domains->merged[i]);
    }
  for (size_t i = 0; i < domains->n; i++)
    merge_dom (domains, domains->list[i], now);
  return domains->merged;
}

static void
add_leaving (GPtrArray *names, char *name)
{
  if (!dom_list_contains (names, name))
    g_ptr_array_add (names, name);
}

/* Only homes read the platform's long list; other nodes receive the leaving
   servers with evidence. */
char *const *
ctl_domains_leaving (struct ctl_domains *domains, size_t *n)
{
  GPtrArray *names = domains->all_leaving;

  g_ptr_array_set_size (names, 0);
  for (guint i = 0; i < domains->leaving->len; i++)
    add_leaving (names, domains->leaving->pdata[i]);
  for (size_t i = 0; i < domains->n; i++)
    {
      const Lapis__Evidence *e
          = domains->list[i]->rep ? NULL : domains->list[i]->remote.evidence;

      for (size_t k = 0; e && k < e->n_leaving; k++)
        add_leaving (names, e->leaving[k]);
    }
  *n = names->len;
  return (char *const *)names->pdata;
}
