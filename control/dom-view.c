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
  clk_ms left = v->evidence_at + REP_EVIDENCE_MS - now;

  lapis__replica_view__init (out);
  out->replica = str_dup (v->replica);
  out->generation = (uint64_t)v->generation;
  out->whole = v->whole;
  out->draining = v->draining;
  out->age_ms = age (now, v->evidence_at);
  out->valid_ms = v->whole && left > 0 ? (uint32_t)left : 0;
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
send_views (struct dom *d, const struct rep_view *views, size_t n, clk_ms now)
{
  Lapis__ReplicaView *list = xcalloc (n + 1, sizeof *list);
  Lapis__ReplicaView **ptrs = xcalloc (n + 1, sizeof *ptrs);
  Lapis__Evidence e = LAPIS__EVIDENCE__INIT;
  Lapis__Frame frame = LAPIS__FRAME__INIT;

  for (size_t i = 0; i < n; i++)
    {
      fill (&list[i], &views[i], now);
      ptrs[i] = &list[i];
    }
  e.domain = (char *)buf_c (&d->name);
  /* Without a valid lease this is only what this node saw. */
  e.fence = owns (d) ? (uint64_t)own_fence (d->own) : 0;
  e.seq = ++d->seq;
  e.n_replicas = n;
  e.replicas = ptrs;
  frame.body_case = LAPIS__FRAME__BODY_EVIDENCE;
  frame.evidence = &e;
  ctl_peers_broadcast (d->all->c->peers, &frame);
  met_add (d->all->evidence_bytes,
           (double)lapis__frame__get_packed_size (&frame));
  for (size_t i = 0; i < n; i++)
    unfill (&list[i]);
  free (list);
  free (ptrs);
}

void
dom_broadcast (struct dom *d, clk_ms now)
{
  size_t n;
  const struct rep_view *views = rep_views (d->rep, now, &n);

  d->sent_at = now;
  send_views (d, views, n, now);
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

void
ctl_domains_evidence (struct ctl_domains *all, const Lapis__Evidence *e)
{
  struct dom *d = dom_find (all, str_from (e->domain));
  clk_ms now = clk_now ();
  struct dom_remote *r;

  if (!d)
    return;
  r = &d->remote;
  if (!counts (r, (int64_t)e->fence, now))
    return;
  if (e->fence)
    {
      r->fence = (int64_t)e->fence;
      r->owner_at = now;
    }
  dom_remote_free (r);
  r->last = copy (e);
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
  out->whole = v->whole;
  out->draining = v->draining;
  out->valid_until = v->evidence_at + REP_EVIDENCE_MS;
  out->load = v->load;
  out->load_at = v->evidence_at;
  if (v->leader)
    out->leader = v->leader->addr;
}

static void
take_remote (const struct dom_remote *r, const Lapis__ReplicaView *v,
             struct ctl_replica *out)
{
  clk_ms valid = v->valid_ms;

  /* Whoever sent it, evidence never counts for longer than its time. */
  if (valid > REP_EVIDENCE_MS)
    valid = REP_EVIDENCE_MS;
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
  return d->remote.last
         && (!d->rep
             || (!owns (d) && d->remote.last->fence
                 && now - d->remote.last_at < DOM_OWNER_SILENT_MS));
}

static struct ctl_replica *
row (struct ctl_domains *all, struct str replica)
{
  const struct cfg_replica *c = cfg_replica (all->cfg, replica);

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
  const struct rep_view *views = d->rep ? rep_views (d->rep, now, &n) : NULL;
  for (size_t i = 0; i < n; i++)
    if ((out = row (all, views[i].replica)))
      take_own (d, &views[i], out);
}

const struct ctl_replica *
ctl_domains_replicas (struct ctl_domains *all, size_t *n)
{
  clk_ms now = clk_now ();

  *n = all->cfg ? all->cfg->nreplicas : 0;
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

/* ---- the weight-load budget over all domains ---- */

/** How urgently a domain waits: lower goes first. */
struct urgency
{
  bool waits;
  unsigned live; /* of its scarcest model */
  uint64_t tie;
};

static bool
serves (const struct ctl_replica *r, clk_ms now)
{
  return r->whole && r->valid_until > now;
}

static size_t
model_index (const struct cfg *cfg, struct str name)
{
  return (size_t)(cfg_model (cfg, name) - cfg->models);
}

/* Replicas of each model that serve, by the model's place in the
   configuration. */
static unsigned *
count_live (const struct cfg *cfg, const struct ctl_replica *list, size_t n,
            clk_ms now)
{
  unsigned *live = xcalloc (cfg->nmodels + 1, sizeof *live);

  for (size_t i = 0; i < n; i++)
    if (serves (&list[i], now))
      live[model_index (cfg, list[i].model)]++;
  return live;
}

static void
note_waiting (const struct ctl_domains *all, const struct ctl_replica *r,
              size_t index, const unsigned *live, clk_ms now,
              struct urgency *u)
{
  unsigned of_model = live[model_index (all->cfg, r->model)];

  if (all->cfg->replicas[index].mode != CFG_MANAGE || r->draining
      || serves (r, now))
    return;
  u->waits = true;
  if (of_model < u->live)
    u->live = of_model;
}

static size_t
dom_index (const struct ctl_domains *all, const struct dom *d)
{
  size_t i = 0;

  while (all->list[i] != d)
    i++;
  return i;
}

static struct urgency *
find_urgency (const struct ctl_domains *all, const struct ctl_replica *list,
              size_t n, const unsigned *live, clk_ms now)
{
  struct urgency *u = xcalloc (all->n + 1, sizeof *u);

  for (size_t i = 0; i < all->n; i++)
    u[i] = (struct urgency){ .live = UINT32_MAX,
                             .tie
                             = str_hash (buf_str (&all->list[i]->name), 0) };
  for (size_t i = 0; i < n; i++)
    note_waiting (all, &list[i], i, live, now,
                  &u[dom_index (all, all->dom_of[i])]);
  return u;
}

static bool
goes_before (const struct urgency *a, const struct urgency *b)
{
  if (!a->waits || a->live != b->live)
    return a->waits && a->live < b->live;
  return a->tie < b->tie;
}

static void
give_turn (struct dom *d, const struct urgency *all, size_t n, size_t self,
           clk_ms now)
{
  struct rep_event turn = { .kind = REP_TURN };
  size_t before = 0;

  for (size_t i = 0; i < n; i++)
    before += i != self && goes_before (&all[i], &all[self]);
  if (!all[self].waits)
    d->waiting_since = 0;
  else if (!d->waiting_since)
    d->waiting_since = now;
  /* A domain that cannot load must not keep the others waiting for ever. */
  turn.on = before < DOM_LOADS
            || (d->waiting_since && now - d->waiting_since >= DOM_TURN_MS);
  rep_event (d->rep, now, &turn);
}

static void
tell_live (struct dom *d, const unsigned *live, clk_ms now)
{
  for (size_t i = 0; i < d->all->cfg->nmodels; i++)
    {
      struct rep_event ev = { .kind = REP_LIVE };

      ev.model = d->all->cfg->models[i].name;
      ev.live = live[i];
      rep_event (d->rep, now, &ev);
    }
}

/* Owners agree on the order without asking each other: each sorts the domains
   that wait by what it knows from evidence.  Views that differ for a second
   load one domain more or less at a time, which costs speed only. */
void
dom_share_budget (struct ctl_domains *all, clk_ms now)
{
  const struct ctl_replica *list;
  struct urgency *order;
  unsigned *live;
  size_t n;

  if (!all->cfg || now < all->next_share)
    return;
  all->next_share = now + DOM_SHARE_MS;
  list = ctl_domains_replicas (all, &n);
  live = count_live (all->cfg, list, n, now);
  order = find_urgency (all, list, n, live, now);
  for (size_t i = 0; i < all->n; i++)
    if (all->list[i]->rep && all->list[i]->managed)
      {
        give_turn (all->list[i], order, all->n, i, now);
        tell_live (all->list[i], live, now);
      }
  free (order);
  free (live);
}
