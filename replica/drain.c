#include <stdlib.h>
#include <string.h>

#include "replica/core.h"

void
drn_request (struct rep *r, struct str replica, bool on)
{
  char *name = str_dup (replica);

  for (size_t i = 0; i < r->npending_drains; i++)
    if (strcmp (r->pending_drains[i].name, name) == 0)
      {
        r->pending_drains[i].on = on;
        free (name);
        return;
      }
  r->pending_drains = xrealloc (
      r->pending_drains, (r->npending_drains + 1) * sizeof *r->pending_drains);
  r->pending_drains[r->npending_drains++]
      = (struct rep_pending_drain){ name, on };
}

/* Drains by operators are stored in the assignment to survive a change of
   owner.  Any node may write them: comparing the revision is sufficient. */
bool
drn_apply_requests (struct rep *r, struct asn *next)
{
  bool changed = false;

  for (size_t i = r->npending_drains; i-- > 0;)
    {
      struct rep_pending_drain *d = &r->pending_drains[i];

      if (asn_is_drained (next, d->name) == d->on)
        {
          free (d->name);
          *d = r->pending_drains[--r->npending_drains];
          continue;
        }
      asn_set_drained (next, d->name, d->on);
      changed = true;
    }
  return changed;
}

static bool
is_drain_requested (const struct rep *r, const char *name)
{
  for (size_t i = 0; i < r->npending_drains; i++)
    if (r->pending_drains[i].on
        && strcmp (r->pending_drains[i].name, name) == 0)
      return true;
  return false;
}

static bool
has_leaving_member (const struct rep *r, const struct rep_replica *p)
{
  for (size_t i = 0; i < p->nvms; i++)
    if (r->vms[p->vms[i]].leaving_platform)
      return true;
  return false;
}

void
drn_update (struct rep *r, clk_ms now, struct rep_replica *p)
{
  bool draining = is_drain_requested (r, p->name)
                  || asn_is_drained (&r->assignment, p->name)
                  || has_leaving_member (r, p) || !p->cfg;

  if (draining == p->draining)
    return;
  p->draining = draining;
  p->drain_since = now;
  rep_push (r, REP_VIEWS_CHANGED);
}

/* Whether the VM is missing and not expected to respond again.  One that has
   only missed some probes may go on with its requests, and so may those of an
   owner that reaches few VMs. */
static bool
is_lost (const struct rep *r, const struct rep_vm *vm, clk_ms now)
{
  if (evd_present (vm, now))
    return false;
  return vm->leaving_platform
         || (now >= r->outage_until && vm->missing_since
             && now - vm->missing_since >= REP_GRACE_MS);
}

static bool
has_lost_member (const struct rep *r, const struct rep_replica *p, clk_ms now)
{
  for (size_t i = 0; i < p->nvms; i++)
    if (is_lost (r, &r->vms[p->vms[i]], now))
      return true;
  return !p->has_all_vms;
}

/* Whether no request is in progress: all gateways have received that the
   replica accepts no new requests (REP_PROPAGATION_MS), and since then each
   member has reported zero load for longer than its reports are delayed.  A
   replica that has lost a member can't finish any request, so nothing needs to
   be waited for. */
static bool
is_idle (const struct rep *r, const struct rep_replica *p, clk_ms now)
{
  clk_ms propagated_at = p->drain_since + REP_PROPAGATION_MS;

  if (evd_member_missing (r, p, now))
    return has_lost_member (r, p, now);
  if (!p->complete)
    return now >= propagated_at;
  for (size_t i = 0; i < p->nvms; i++)
    {
      const struct rep_vm *vm = &r->vms[p->vms[i]];
      clk_ms from
          = vm->idle_since > propagated_at ? vm->idle_since : propagated_at;

      if (!vm->idle_since || now - from < REP_IDLE_MS)
        return false;
    }
  return true;
}

/* Whether every reachable VM of the entry reports no weights.  An unreachable
   VM is not assigned again before it reports this too. */
static bool
is_unloaded (const struct rep *r, const struct asn_entry *e, clk_ms now)
{
  for (size_t i = 0; i < e->nvms; i++)
    {
      const struct rep_vm *vm = rep_vm_find (r, str_from (e->vms[i]));

      if (vm && evd_present (vm, now) && !vm->reported.unloaded)
        return false;
    }
  return true;
}

/* The replica is managed by scripts again, so its servers are not changed. */
static bool
is_unmanaged (const struct rep_replica *p)
{
  return p->cfg && !p->managed;
}

bool
drn_release (struct rep *r, clk_ms now, struct asn *next)
{
  for (size_t i = 0; i < next->n; i++)
    {
      struct asn_entry *e = &next->entries[i];
      const struct rep_replica *p = rep_replica_find (r, e->name);
      bool wanted = p->cfg && !asn_is_drained (next, e->name);

      if (is_unmanaged (p)
          || (e->phase == ASN_RELEASING && is_unloaded (r, e, now)))
        {
          asn_remove (next, e->name);
          return true;
        }
      if (e->phase == ASN_ACTIVE && !wanted && is_idle (r, p, now))
        {
          e->phase = ASN_RELEASING;
          asn_clear_joining (e);
          return true;
        }
    }
  return false;
}

static const char *
leaving_member (const struct rep *r, const struct asn_entry *e)
{
  for (size_t i = 0; i < e->nvms; i++)
    {
      const struct rep_vm *vm = rep_vm_find (r, str_from (e->vms[i]));

      if (vm && vm->leaving_platform)
        return e->vms[i];
    }
  return NULL;
}

/* Replace the member once the joining VM has loaded and the replica has no
   requests left or can't serve any, so that no request is interrupted. */
static bool
finish_joining (struct rep *r, clk_ms now, struct asn_entry *e,
                const struct rep_replica *p)
{
  struct rep_vm *vm = rep_vm_find (r, str_from (e->joining.vm));
  struct rep_vm *old = rep_vm_find (r, str_from (e->joining.replaces));

  if (!vm || !evd_present (vm, now) || (old && !old->leaving_platform))
    {
      asn_clear_joining (e);
      return true;
    }
  if (!evd_reports_ready (vm, now, str_from (e->name), e->joining.generation)
      || !is_idle (r, p, now))
    return false;
  asn_finish_joining (e);
  return true;
}

/* A replica with a leaving member accepts no new requests; a spare VM loads
   meanwhile and replaces the member once the requests in progress are
   finished. */
bool
drn_replace_leaving (struct rep *r, clk_ms now, struct asn *next)
{
  for (size_t i = 0; i < next->n; i++)
    {
      struct asn_entry *e = &next->entries[i];
      const struct rep_replica *p = rep_replica_find (r, e->name);
      const char *old = leaving_member (r, e);
      struct rep_vm *spare;

      if (e->phase != ASN_ACTIVE)
        continue;
      if (e->joining.vm)
        {
          if (finish_joining (r, now, e, p))
            return true;
          continue;
        }
      if (!old || !(spare = plc_find_free_vm (r, now, next)))
        continue;
      asn_set_joining (next, e, spare->cfg->name, str_from (old));
      return true;
    }
  return false;
}
