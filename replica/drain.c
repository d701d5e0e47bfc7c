#include <stdlib.h>
#include <string.h>

#include "replica/core.h"

void
drn_ask (struct rep *r, struct str replica, bool on)
{
  char *name = str_dup (replica);

  for (size_t i = 0; i < r->ndrains; i++)
    if (strcmp (r->drains[i].name, name) == 0)
      {
        r->drains[i].on = on;
        free (name);
        return;
      }
  r->drains = xrealloc (r->drains, (r->ndrains + 1) * sizeof *r->drains);
  r->drains[r->ndrains++] = (struct rep_pending_drain){ name, on };
}

/* An operator's word is kept in the assignment, so that the next owner knows
   it.  Any node may write it: the compare of the revision is enough. */
bool
drn_operators (struct rep *r, struct asn *next)
{
  bool changed = false;

  for (size_t i = r->ndrains; i-- > 0;)
    {
      struct rep_pending_drain *d = &r->drains[i];

      if (asn_is_drained (next, d->name) == d->on)
        {
          free (d->name);
          *d = r->drains[--r->ndrains];
          continue;
        }
      asn_set_drained (next, d->name, d->on);
      changed = true;
    }
  return changed;
}

static bool
asked_here (const struct rep *r, const char *name)
{
  for (size_t i = 0; i < r->ndrains; i++)
    if (r->drains[i].on && strcmp (r->drains[i].name, name) == 0)
      return true;
  return false;
}

static bool
has_leaving_member (const struct rep *r, const struct rep_replica *p)
{
  for (size_t i = 0; i < p->nvms; i++)
    if (r->vms[p->vms[i]].leaving)
      return true;
  return false;
}

void
drn_update (struct rep *r, clk_ms now, struct rep_replica *p)
{
  bool draining = asked_here (r, p->name) || asn_is_drained (&r->doc, p->name)
                  || has_leaving_member (r, p) || !p->cfg;

  if (draining == p->draining)
    return;
  p->draining = draining;
  p->drain_since = now;
  rep_push (r, REP_VIEWS_CHANGED);
}

/* No request is under way: every gateway had time to hear that the replica
   takes no new work, and since then each member has been without load for
   longer than its reports lag.  A member that is missing makes the replica
   unable to finish anything, so there is nothing to wait for. */
static bool
is_idle (const struct rep *r, const struct rep_replica *p, clk_ms now)
{
  clk_ms heard = p->drain_since + REP_HEARD_MS;

  if (!p->complete)
    return now >= heard || evd_member_missing (r, p, now);
  for (size_t i = 0; i < p->nvms; i++)
    {
      const struct rep_vm *vm = &r->vms[p->vms[i]];
      clk_ms from = vm->idle_since > heard ? vm->idle_since : heard;

      if (!vm->idle_since || now - from < REP_IDLE_MS)
        return false;
    }
  return true;
}

/* Whether every VM of the entry that can be asked holds no weights any more.
   One that can't be asked is not given to anybody before it says so. */
static bool
is_unloaded (const struct rep *r, const struct asn_entry *e, clk_ms now)
{
  for (size_t i = 0; i < e->nvms; i++)
    {
      const struct rep_vm *vm = rep_vm_find (r, str_from (e->vms[i]));

      if (vm && evd_present (vm, now) && !vm->said.unloaded)
        return false;
    }
  return true;
}

/* Handed back to the old scripts: what runs goes on without us. */
static bool
is_handed_back (const struct rep_replica *p)
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

      if (is_handed_back (p)
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

      if (vm && vm->leaving)
        return e->vms[i];
    }
  return NULL;
}

/* The joining VM has loaded, and the replica has no work left, or can't do
   any: the step itself interrupts nobody. */
static bool
joining_step (struct rep *r, clk_ms now, struct asn_entry *e,
              const struct rep_replica *p)
{
  struct rep_vm *vm = rep_vm_find (r, str_from (e->joining.vm));
  struct rep_vm *old = rep_vm_find (r, str_from (e->joining.replaces));

  if (!vm || !evd_present (vm, now) || (old && !old->leaving))
    {
      asn_clear_joining (e);
      return true;
    }
  if (!evd_matches (vm, now, str_from (e->name), e->joining.generation)
      || !is_idle (r, p, now))
    return false;
  asn_finish_joining (e);
  return true;
}

/* A member is leaving: its replica takes no new work, a spare loads meanwhile
   and takes its place once the work under way is done. */
bool
drn_leaving (struct rep *r, clk_ms now, struct asn *next)
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
          if (joining_step (r, now, e, p))
            return true;
          continue;
        }
      if (!old || !(spare = plc_spare (r, now, next)))
        continue;
      asn_set_joining (next, e, spare->cfg->name, str_from (old));
      return true;
    }
  return false;
}
