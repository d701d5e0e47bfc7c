#include <stdlib.h>
#include <string.h>

#include "base/chart.h"
#include "control/domains.h"

void
dom_remote_free (struct dom_remote *r)
{
  if (r->last)
    lapis__evidence__free_unpacked (r->last, NULL);
  r->last = NULL;
}

static bool
owns (const struct dom *d)
{
  return d->own && own_may_order (d->own, clk_now ());
}

/*
 * A home that takes over has asked no member yet and would call every replica
 * not whole.  Its word counts everywhere, and each take-over would cut off a
 * domain that is well.  Until it has asked, gateways hold on to what the home
 * before said, and look themselves once that has run out.
 */
bool
dom_speaks (struct dom *d, clk_ms now)
{
  size_t n, whole = 0;
  const struct rep_view *views;

  if (!d->quiet_until)
    return true;
  views = rep_views (d->rep, now, &n);
  for (size_t i = 0; i < n; i++)
    whole += views[i].complete;
  if ((n && whole == n) || now >= d->quiet_until)
    d->quiet_until = 0;
  return !d->quiet_until;
}

/* ---- to the other nodes ---- */

static uint32_t
age (clk_ms now, clk_ms then)
{
  return then && now > then ? (uint32_t)(now - then) : 0;
}

/* The model and the domain are left out: who hears it has the configuration.
   Text is what evidence costs most. */
static void
fill (Lapis__ReplicaView *out, const struct rep_view *v, clk_ms now)
{
  struct buf leader = BUF_INIT;
  clk_ms left = v->probed_at + REP_PROBE_VALID_MS - now;

  lapis__replica_view__init (out);
  out->replica = str_dup (v->replica);
  out->generation = (uint64_t)v->generation;
  out->whole = v->complete;
  out->draining = v->draining;
  out->age_ms = age (now, v->probed_at);
  out->valid_ms = v->complete && left > 0 ? (uint32_t)left : 0;
  out->load = v->load;
  out->load_age_ms = out->age_ms;
  if (v->leader)
    {
      net_addr_format (&v->leader->addr, &leader);
      out->leader_addr = str_dup (buf_str (&leader));
    }
  buf_free (&leader);
}

static void
unfill (Lapis__ReplicaView *v)
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
  /* Without a valid lease this is only what this node saw. */
  e->fence = owns (d) ? (uint64_t)own_fence (d->own) : 0;
  e->seq = ++d->seq;
  frame.body_case = LAPIS__FRAME__BODY_EVIDENCE;
  frame.evidence = e;
  ctl_peers_broadcast (d->all->c->peers, &frame);
  met_add (d->all->evidence_bytes,
           (double)lapis__frame__get_packed_size (&frame));
}

static void
send_full (struct dom *d, const struct rep_view *views, size_t n, clk_ms now)
{
  Lapis__ReplicaView *list = xcalloc (n + 1, sizeof *list);
  Lapis__ReplicaView **ptrs = xcalloc (n + 1, sizeof *ptrs);
  Lapis__Evidence e = LAPIS__EVIDENCE__INIT;

  for (size_t i = 0; i < n; i++)
    {
      fill (&list[i], &views[i], now);
      ptrs[i] = &list[i];
    }
  e.n_replicas = n;
  e.replicas = ptrs;
  e.n_leaving = d->all->leaving->len;
  e.leaving = (char **)d->all->leaving->pdata;
  send_evidence (d, &e);
  d->full_seq = d->seq;
  d->full_at = now;
  for (size_t i = 0; i < n; i++)
    unfill (&list[i]);
  free (list);
  free (ptrs);
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
      e.loads[i] = views[i].load;
      if (views[i].complete && age (now, views[i].probed_at) > e.age_ms)
        e.age_ms = age (now, views[i].probed_at);
    }
  send_evidence (d, &e);
  free (e.loads);
}

/* In rest, names and addresses are what evidence consists of: they go out
   again only when something changed, and now and then for whoever missed it.
   A node that has just come has missed it for certain and can do nothing with
   the short form; callers that use it would hear for seconds that there is no
   replica.  It may get its configuration, without which it takes no evidence,
   a moment after its link, so the next few are full.  What changed since the
   full one is told by d->changed, which stands for every step of the chart,
   every whole or not, and ownership. */
void
dom_broadcast (struct dom *d, clk_ms now)
{
  size_t n;
  const struct rep_view *views = rep_views (d->rep, now, &n);
  bool full = d->changed || !d->full_seq || n != d->sent_replicas
              || d->full_more > 0 || now - d->full_at >= DOM_FULL_MS;

  d->sent_at = now;
  d->sent_replicas = n;
  if (d->full_more > 0)
    d->full_more--;
  if (full)
    send_full (d, views, n, now);
  else
    send_short (d, views, n, now);
}

void
ctl_domains_on_peer_linked (struct ctl_domains *all)
{
  for (size_t i = 0; i < all->n; i++)
    all->list[i]->full_more = DOM_FULL_MORE;
}

/* ---- from the other nodes ---- */

/*
 * An owner that lost its domain while it was frozen may send what it saw
 * before: its number is lower than one seen already, and it is ignored.
 * Evidence without a number comes from a home that could not get the lease,
 * as the store is down; it counts when no owner is heard any more.
 */
static bool
counts (const struct dom_remote *r, int64_t fence, clk_ms now)
{
  if (fence)
    return fence >= r->fence;
  return !r->owner_at || now - r->owner_at >= DOM_OWNER_SILENT_MS;
}

static Lapis__Evidence *
copy (const Lapis__Evidence *e)
{
  size_t len = lapis__evidence__get_packed_size (e);
  uint8_t *bytes = xmalloc (len + 1);
  Lapis__Evidence *out;

  lapis__evidence__pack (e, bytes);
  out = lapis__evidence__unpack (NULL, len, bytes);
  free (bytes);
  return out;
}

/* What the short form says stands in the list of the full one. */
static bool
renew (struct dom_remote *r, const Lapis__Evidence *e)
{
  Lapis__Evidence *full = r->last;

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

void
ctl_domains_on_evidence (struct ctl_domains *all, const Lapis__Evidence *e)
{
  struct dom *d = dom_find (all, str_from (e->domain));
  clk_ms now = clk_now ();
  struct dom_remote *r;

  if (!d)
    return;
  r = &d->remote;
  if (!counts (r, (int64_t)e->fence, now))
    return;
  if (e->full_seq)
    {
      if (!renew (r, e))
        return;
    }
  else
    {
      dom_remote_free (r);
      r->last = copy (e);
    }
  if (e->fence)
    {
      r->fence = (int64_t)e->fence;
      r->owner_at = now;
    }
  r->last_at = now;
  ctl_evidence_changed (all->c);
}

/* ---- the merged list ---- */

static void
take_own (const struct dom *d, const struct rep_view *v,
          struct ctl_replica *out)
{
  const struct chart *chart = chart_embedded ("replica");

  out->generation = v->generation;
  out->fence = owns (d) ? own_fence (d->own) : 0;
  out->state = chart_state_name (chart, v->state);
  out->whole = v->complete;
  out->draining = v->draining;
  out->valid_until = v->probed_at + REP_PROBE_VALID_MS;
  out->load = v->load;
  out->load_at = v->probed_at;
  if (v->leader)
    out->leader = v->leader->addr;
}

static void
take_remote (const struct dom_remote *r, const Lapis__ReplicaView *v,
             struct ctl_replica *out)
{
  clk_ms valid = v->valid_ms;

  /* Whoever sent it, evidence never counts for longer than its time. */
  if (valid > REP_PROBE_VALID_MS)
    valid = REP_PROBE_VALID_MS;
  out->generation = (int64_t)v->generation;
  out->fence = (int64_t)r->last->fence;
  out->whole = v->whole;
  out->draining = v->draining;
  out->state = v->draining ? "draining" : v->whole ? "whole" : "degraded";
  out->valid_until = r->last_at + valid;
  out->load = v->load;
  out->load_at = r->last_at - (clk_ms)v->load_age_ms;
  net_addr_parse (str_from (v->leader_addr), false, &out->leader);
}

static void
start_row (const struct dom *d, const struct cfg_replica *c,
           struct ctl_replica *out)
{
  memset (out, 0, sizeof *out);
  out->name = c->name;
  out->model = c->model;
  out->domain = c->domain;
  out->owner = buf_str (&d->home_node);
  out->state = "unknown";
}

/* Another node owns it for certain, and this one only believes to be home. */
static bool
remote_is_better (const struct dom *d, clk_ms now)
{
  if (d->rep && d->quiet_until)
    return d->remote.last && d->remote.last_at > d->sent_at;
  return d->remote.last
         && (!d->rep
             || (!owns (d) && d->remote.last->fence
                 && now - d->remote.last_at < DOM_OWNER_SILENT_MS));
}

static struct ctl_replica *
row (struct ctl_domains *all, struct str replica)
{
  const struct cfg_replica *c
      = all->cfg ? cfg_replica (all->cfg, replica) : NULL;

  return c ? &all->merged[c - all->cfg->replicas] : NULL;
}

static void
merge_dom (struct ctl_domains *all, struct dom *d, clk_ms now)
{
  struct ctl_replica *out;
  size_t n = 0;

  if (remote_is_better (d, now))
    {
      for (size_t i = 0; i < d->remote.last->n_replicas; i++)
        if ((out = row (all, str_from (d->remote.last->replicas[i]->replica))))
          take_remote (&d->remote, d->remote.last->replicas[i], out);
      return;
    }
  const struct rep_view *views
      = d->rep && dom_speaks (d, now) ? rep_views (d->rep, now, &n) : NULL;
  for (size_t i = 0; i < n; i++)
    if ((out = row (all, views[i].replica)))
      take_own (d, &views[i], out);
}

const struct ctl_replica *
ctl_domains_replicas (struct ctl_domains *all, size_t *n)
{
  clk_ms now = clk_now ();

  *n = 0;
  if (!all->cfg)
    return NULL;
  *n = all->cfg->nreplicas;
  all->merged = xrealloc (all->merged, (*n + 1) * sizeof *all->merged);
  for (size_t i = 0; i < *n; i++)
    {
      const struct cfg_replica *c = &all->cfg->replicas[i];

      start_row (all->dom_of[i], c, &all->merged[i]);
    }
  for (size_t i = 0; i < all->n; i++)
    merge_dom (all, all->list[i], now);
  return all->merged;
}

static void
add_leaving (GPtrArray *names, char *name)
{
  if (!dom_named (names, name))
    g_ptr_array_add (names, name);
}

/* Only homes read the platform's list, which is long; what concerns everybody
   comes with their evidence. */
char *const *
ctl_domains_leaving (struct ctl_domains *all, size_t *n)
{
  GPtrArray *names = all->all_leaving;

  g_ptr_array_set_size (names, 0);
  for (guint i = 0; i < all->leaving->len; i++)
    add_leaving (names, all->leaving->pdata[i]);
  for (size_t i = 0; i < all->n; i++)
    {
      const Lapis__Evidence *e
          = all->list[i]->rep ? NULL : all->list[i]->remote.last;

      for (size_t k = 0; e && k < e->n_leaving; k++)
        add_leaving (names, e->leaving[k]);
    }
  *n = names->len;
  return (char *const *)names->pdata;
}
