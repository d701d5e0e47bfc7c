#include <stdlib.h>
#include <string.h>

#include "replica/core.h"

struct rep *
rep_new (const struct rep_options *opt, uint64_t seed)
{
  struct rep *r = xcalloc (1, sizeof *r);

  r->opt = *opt;
  buf_add (&r->domain, opt->domain);
  buf_add (&r->key, opt->key);
  buf_add (&r->owner_key, opt->owner_key);
  r->chart = chart_embedded ("replica");
  r->may_load = true;
  rng_seed (&r->rng, seed);
  return r;
}

static void
free_vms (struct rep_vm *vms, size_t n)
{
  for (size_t i = 0; i < n; i++)
    buf_free (&vms[i].replica);
  free (vms);
}

void
rep_free (struct rep *r)
{
  if (!r)
    return;
  for (size_t i = 0; i < r->nreplicas; i++)
    free (r->replicas[i].name);
  for (size_t i = 0; i < r->npending_drains; i++)
    free (r->pending_drains[i].name);
  for (size_t i = 0; i < r->ncomplete_counts; i++)
    free (r->complete_counts[i].model);
  free_vms (r->vms, r->nvms);
  asn_free (&r->assignment);
  asn_free (&r->proposed);
  if (r->cfg)
    cfg_unref (r->cfg);
  buf_free (&r->domain);
  buf_free (&r->key);
  buf_free (&r->owner_key);
  buf_free (&r->proposed_text);
  free (r->replicas);
  free (r->pending_drains);
  free (r->complete_counts);
  free (r->queue);
  free (r->views);
  free (r);
}

struct rep_action *
rep_push (struct rep *r, enum rep_action_kind kind)
{
  struct rep_action *a;

  if (r->queue_read == r->queue_len)
    r->queue_read = r->queue_len = 0;
  if (r->queue_len == r->queue_cap)
    {
      r->queue_cap = r->queue_cap ? 2 * r->queue_cap : 64;
      r->queue = xrealloc (r->queue, r->queue_cap * sizeof *r->queue);
    }
  a = &r->queue[r->queue_len++];
  memset (a, 0, sizeof *a);
  a->kind = kind;
  return a;
}

bool
rep_next (struct rep *r, struct rep_action *out)
{
  if (r->queue_read == r->queue_len)
    return false;
  *out = r->queue[r->queue_read++];
  return true;
}

struct rep_vm *
rep_vm_find (const struct rep *r, struct str name)
{
  for (size_t i = 0; i < r->nvms; i++)
    if (str_eq (r->vms[i].cfg->name, name))
      return &r->vms[i];
  return NULL;
}

struct rep_replica *
rep_replica_by_name (const struct rep *r, struct str name)
{
  for (size_t i = 0; i < r->nreplicas; i++)
    if (str_is (name, r->replicas[i].name))
      return &r->replicas[i];
  return NULL;
}

struct rep_replica *
rep_replica_find (const struct rep *r, const char *name)
{
  return rep_replica_by_name (r, str_from (name));
}

/* Keep the state of VMs whose name and address did not change; the same name
   at another address is another machine. */
static void
set_vms (struct rep *r, clk_ms now)
{
  size_t n = r->dom ? r->dom->nvms : 0;
  struct rep_vm *vms = xcalloc (n + 1, sizeof *vms);

  for (size_t i = 0; i < n; i++)
    {
      const struct cfg_vm *cfg = &r->cfg->vms[r->dom->first_vm + i];
      struct rep_vm *old = rep_vm_find (r, cfg->name);

      if (old && net_addr_eq (&old->cfg->addr, &cfg->addr))
        {
          vms[i] = *old;
          memset (&old->replica, 0, sizeof old->replica);
        }
      else
        /* Spread the probes over the interval to avoid bursts. */
        vms[i].next_probe
            = now + (clk_ms)(i * (size_t)REP_PROBE_MS / (n ? n : 1));
      vms[i].cfg = cfg;
    }
  free_vms (r->vms, r->nvms);
  r->vms = vms;
  r->nvms = n;
}

static void
add_member (struct rep *r, struct rep_replica *p, struct str vm)
{
  struct rep_vm *v = rep_vm_find (r, vm);

  if (!v)
    p->has_all_vms = false;
  else if (p->nvms < ASN_MAX_VMS)
    p->vms[p->nvms++] = (size_t)(v - r->vms);
}

static void
set_members (struct rep *r, struct rep_replica *p)
{
  const struct asn_entry *e
      = p->managed || !p->cfg ? asn_find (&r->assignment, p->name) : NULL;

  p->nvms = 0;
  p->has_all_vms = true;
  if (e)
    for (size_t i = 0; i < e->nvms; i++)
      add_member (r, p, str_from (e->vms[i]));
  else if (r->cfg && p->cfg && !p->managed)
    for (size_t i = 0; i < p->cfg->nvms; i++)
      add_member (r, p, r->cfg->vms[p->cfg->vms[i]].name);
}

static struct rep_replica *
ensure_replica (struct rep *r, struct str name, clk_ms now)
{
  struct rep_replica *p = rep_replica_by_name (r, name);

  if (p)
    return p;
  r->replicas
      = xrealloc (r->replicas, (r->nreplicas + 1) * sizeof *r->replicas);
  p = &r->replicas[r->nreplicas++];
  memset (p, 0, sizeof *p);
  p->name = str_dup (name);
  p->state = chart_initial (r->chart);
  p->down_since = now;
  return p;
}

static void
remove_replica (struct rep *r, size_t i)
{
  evd_apply_event (r, &r->replicas[i], "remove");
  free (r->replicas[i].name);
  r->nreplicas--;
  memmove (&r->replicas[i], &r->replicas[i + 1],
           (r->nreplicas - i) * sizeof *r->replicas);
}

void
rep_rebuild (struct rep *r, clk_ms now)
{
  for (size_t i = 0; i < r->nreplicas; i++)
    {
      r->replicas[i].cfg = NULL;
      r->replicas[i].model = NULL;
      r->replicas[i].managed = false;
    }
  for (size_t i = 0; r->cfg && i < r->cfg->nreplicas; i++)
    {
      const struct cfg_replica *c = &r->cfg->replicas[i];
      struct rep_replica *p;

      if (!str_eq (c->domain, buf_str (&r->domain)))
        continue;
      p = ensure_replica (r, c->name, now);
      p->cfg = c;
      p->model = cfg_model (r->cfg, c->model);
      p->managed = c->mode == CFG_MANAGE;
    }
  for (size_t i = 0; i < r->assignment.n; i++)
    ensure_replica (r, str_from (r->assignment.entries[i].name), now);
  for (size_t i = r->nreplicas; i-- > 0;)
    if (!r->replicas[i].cfg && !asn_find (&r->assignment, r->replicas[i].name))
      remove_replica (r, i);
    else
      set_members (r, &r->replicas[i]);
  evd_update_all (r, now);
}

static void
on_config (struct rep *r, clk_ms now, const struct cfg *cfg)
{
  struct cfg *old = r->cfg;

  /* The VMs point into the old configuration until set_vms(). */
  r->cfg = cfg_ref ((struct cfg *)cfg);
  r->dom = cfg_domain (r->cfg, buf_str (&r->domain));
  set_vms (r, now);
  rep_rebuild (r, now);
  if (old)
    cfg_unref (old);
}

static void
update_replicas_of (struct rep *r, clk_ms now, const struct rep_vm *vm)
{
  size_t index = (size_t)(vm - r->vms);

  for (size_t i = 0; i < r->nreplicas; i++)
    {
      struct rep_replica *p = &r->replicas[i];
      bool affected = p->managed && !r->has_assignment;

      for (size_t v = 0; v < p->nvms; v++)
        affected = affected || p->vms[v] == index;
      if (affected)
        evd_update (r, now, p);
    }
}

static void
on_probed (struct rep *r, clk_ms now, struct rep_vm *vm,
           const struct rep_member_state *state)
{
  vm->responded = true;
  vm->responded_at = now;
  vm->failures = 0;
  vm->missing_since = 0;
  buf_clear (&vm->replica);
  buf_add (&vm->replica, state->replica);
  vm->reported = *state;
  vm->reported.replica = buf_str (&vm->replica);
  if (state->inflight_tokens)
    vm->idle_since = 0;
  else if (!vm->idle_since)
    vm->idle_since = now;
  update_replicas_of (r, now, vm);
}

static void
on_probe_failed (struct rep *r, clk_ms now, struct rep_vm *vm)
{
  vm->failures++;
  if (!vm->missing_since)
    vm->missing_since = now;
  update_replicas_of (r, now, vm);
}

static void
on_vm_listed (struct rep *r, clk_ms now, struct rep_vm *vm, bool live)
{
  if (vm->leaving_platform == !live)
    return;
  vm->leaving_platform = !live;
  update_replicas_of (r, now, vm);
}

static void
on_owner (struct rep *r, clk_ms now, bool on, int64_t fence)
{
  r->owner = on;
  r->fence = on ? fence : 0;
  for (size_t i = 0; i < r->nvms; i++)
    r->vms[i].order_token = 0;
  if (!on)
    return;
  /* The previous owner's last write may not have been read, and a VM that was
     not probed yet looks like a missing one: read and probe before any
     decision. */
  r->assignment_fresh = false;
  r->owner_since = now;
  r->settle_until = now + REP_PROBE_VALID_MS;
  chg_read (r, now);
}

static void
update_stats (struct rep *r, clk_ms now)
{
  double span = r->stats_at ? (double)(now - r->stats_at) : 0;

  r->stats_at = now;
  for (size_t i = 0; i < r->nreplicas; i++)
    {
      const struct rep_replica *p = &r->replicas[i];

      if (p->complete || (p->draining && p->state == RST_ABSENT))
        continue;
      if (p->cfg)
        r->downtime += span;
      if (p->managed)
        for (size_t v = 0; v < p->nvms; v++)
          if (evd_present (&r->vms[p->vms[v]], now))
            r->stranded += span;
    }
}

/* Record when a VM became missing; the cost of a repair depends on it. */
static void
record_missing (struct rep *r, clk_ms now)
{
  for (size_t i = 0; i < r->nvms; i++)
    if (!r->vms[i].missing_since && !evd_present (&r->vms[i], now))
      r->vms[i].missing_since = now;
}

static void
tick (struct rep *r, clk_ms now)
{
  update_stats (r, now);
  for (size_t i = 0; i < r->nvms; i++)
    if (now >= r->vms[i].next_probe)
      {
        r->vms[i].next_probe = now + REP_PROBE_MS;
        rep_push (r, REP_PROBE)->vm = r->vms[i].cfg;
      }
  record_missing (r, now);
  evd_update_all (r, now);
  chg_tick (r, now);
  chg_decide (r, now);
  bud_tick (r, now);
  ord_tick (r, now);
}

void
rep_event (struct rep *r, clk_ms now, const struct rep_event *ev)
{
  struct rep_vm *vm = ev->vm.len ? rep_vm_find (r, ev->vm) : NULL;

  switch (ev->kind)
    {
    case REP_TICK:
      tick (r, now);
      break;
    case REP_CONFIG:
      on_config (r, now, ev->cfg);
      break;
    case REP_ASSIGNMENT:
      chg_set_assignment (r, now, ev->value, ev->mod_rev);
      break;
    case REP_PROBED:
      if (vm)
        on_probed (r, now, vm, &ev->member);
      break;
    case REP_PROBE_FAILED:
      if (vm)
        on_probe_failed (r, now, vm);
      break;
    case REP_VM_LISTED:
      if (vm)
        on_vm_listed (r, now, vm, ev->on);
      break;
    case REP_ORDER_RESPONSE:
      if (vm)
        ord_on_response (r, now, vm, ev->token, ev->on);
      break;
    case REP_STORE_RESPONSE:
      chg_on_response (r, now, ev->token, ev->result);
      break;
    case REP_OWNER:
      on_owner (r, now, ev->on, ev->fence);
      break;
    case REP_DRAIN:
      drn_request (r, ev->replica, ev->on);
      break;
    case REP_MAY_LOAD:
      r->may_load = ev->on;
      break;
    case REP_COMPLETE_COUNT:
      bud_set_complete_count (r, ev->model, ev->ncomplete);
      break;
    }
}

const struct rep_view *
rep_views (struct rep *r, clk_ms now, size_t *n)
{
  r->views = xrealloc (r->views, (r->nreplicas + 1) * sizeof *r->views);
  for (size_t i = 0; i < r->nreplicas; i++)
    {
      const struct rep_replica *p = &r->replicas[i];
      bool fresh = now - p->probed_at < REP_PROBE_VALID_MS;

      r->views[i] = (struct rep_view){
        .replica = str_from (p->name),
        .model = p->cfg ? p->cfg->model : STR_EMPTY,
        .generation = p->generation,
        .state = p->state,
        .complete = p->complete && fresh,
        .draining = p->draining,
        .probed_at = p->probed_at,
        .inflight_tokens = p->inflight_tokens,
        .leader = p->nvms ? r->vms[p->vms[0]].cfg : NULL,
        .members = p->nvms,
      };
    }
  *n = r->nreplicas;
  return r->views;
}

void
rep_downtime_stats (const struct rep *r, double *downtime, double *stranded)
{
  *downtime = r->downtime;
  *stranded = r->stranded;
}
