#include <stdlib.h>
#include <string.h>

#include "replica/core.h"

/* Time to restart the replica's servers after all weights are loaded. */
#define RESTART_MS ((clk_ms)10000)
/* Time to unload a VM, and to reclaim it if it was lent to other work. */
#define RECLAIM_MS ((clk_ms)15000)
/* For a VM that is leaving or no longer configured: one day. */
#define NO_RETURN_MS (24 * 60 * CLK_MINUTE)

enum repair
{
  REPAIR_WAIT,
  REPAIR_REPLACE,
  REPAIR_DISSOLVE
};

/** State of a replica that lost members. */
struct loss
{
  unsigned vms;
  unsigned missing;
  unsigned free_vms;
  unsigned unloading;
  bool helps_another; /* its present VMs could repair another replica */
  clk_ms missing_ms;  /* longest time that a member is missing */
  bool no_return;
  clk_ms load_ms; /* time to load all weights */
};

static bool
is_in_unmanaged_replica (const struct rep *r, const struct rep_vm *vm)
{
  for (size_t i = 0; i < r->nreplicas; i++)
    {
      const struct rep_replica *p = &r->replicas[i];

      for (size_t v = 0; p->cfg && !p->managed && v < p->nvms; v++)
        if (&r->vms[p->vms[v]] == vm)
          return true;
    }
  return false;
}

/* A VM is free if it is in no replica and reports that no weights are loaded,
   which completes its release from a previous replica. */
static bool
is_free (const struct rep *r, clk_ms now, const struct asn *assignment,
         const struct rep_vm *vm)
{
  return evd_unloaded (vm, now) && !vm->leaving_platform
         && !asn_holder (assignment, vm->cfg->name)
         && !is_in_unmanaged_replica (r, vm);
}

struct rep_vm *
plc_find_free_vm (const struct rep *r, clk_ms now,
                  const struct asn *assignment)
{
  struct rep_vm *found = NULL;

  for (size_t i = 0; i < r->nvms; i++)
    {
      struct rep_vm *vm = &r->vms[i];

      if (!is_free (r, now, assignment, vm))
        continue;
      if (vm->cfg->spare_only)
        return vm;
      if (!found)
        found = vm;
    }
  return found;
}

static unsigned
count_free (const struct rep *r, clk_ms now, const struct asn *assignment)
{
  unsigned n = 0;

  for (size_t i = 0; i < r->nvms; i++)
    n += is_free (r, now, assignment, &r->vms[i]);
  return n;
}

/* Outage durations are heavy-tailed: most VMs are restarted within the usual
   time, and a VM that has been missing for longer is likely to stay missing
   for as long again. */
static double
expected_return_s (const struct rep *r, const struct loss *l)
{
  clk_ms remaining = r->cfg->policy.vm_return_ms - l->missing_ms;

  if (l->no_return)
    return (double)NO_RETURN_MS / 1000;
  return (double)(remaining > l->missing_ms ? remaining : l->missing_ms)
         / 1000;
}

/*
 * Expected cost of the three choices, in weighted seconds.  A replica that
 * can't serve costs the downtime weight, and each VM that it holds meanwhile
 * costs the stranded weight.  Free VMs are lent to other work, so they cost
 * nothing except the time to reclaim them.
 */
static enum repair
choose_repair (const struct rep *r, const struct loss *l)
{
  double down = r->cfg->policy.downtime_weight;
  double held = r->cfg->policy.stranded_weight;
  double return_s = expected_return_s (r, l);
  double restart = (double)RESTART_MS / 1000;
  double reclaim = (double)RECLAIM_MS / 1000;
  double load = (double)l->load_ms / 1000;
  double part_load = load * l->missing / l->vms + restart;
  double present = l->vms - l->missing;
  double wait = (return_s + part_load) * (down + held * present);
  double replace = part_load * (down + held * l->vms);
  double reload = reclaim + load + restart;
  double dissolve = down * (return_s + reload) + held * l->vms * reload;

  if (l->free_vms >= l->missing)
    return replace < wait ? REPAIR_REPLACE : REPAIR_WAIT;
  if (l->free_vms + l->unloading >= l->missing)
    return REPAIR_WAIT;
  /* The released VMs repair another replica before its missing VM returns:
     subtract the cost of that wait. */
  if (l->helps_another)
    dissolve -= (return_s - part_load) * (down + held * present);
  return dissolve < wait ? REPAIR_DISSOLVE : REPAIR_WAIT;
}

static enum repair
choose_by_policy (const struct rep *r, const struct loss *l)
{
  switch (r->opt.repair_policy)
    {
    case REP_REPAIR_DISSOLVE:
      return REPAIR_DISSOLVE;
    case REP_REPAIR_WAIT:
      return REPAIR_WAIT;
    default:
      return choose_repair (r, l);
    }
}

static bool
is_missing (const struct rep *r, clk_ms now, const char *name)
{
  const struct rep_vm *vm = rep_vm_find (r, str_from (name));

  return !vm || !evd_present (vm, now);
}

static bool
is_degraded (const struct rep *r, clk_ms now, const struct asn_entry *e)
{
  if (e->phase != ASN_ACTIVE)
    return false;
  for (size_t i = 0; i < e->nvms; i++)
    if (is_missing (r, now, e->vms[i]))
      return true;
  return false;
}

/* Whether another entry has lost a member too. */
static bool
another_degraded (const struct rep *r, clk_ms now, const struct asn *next,
                  const struct asn_entry *e)
{
  for (size_t i = 0; i < next->n; i++)
    if (&next->entries[i] != e && is_degraded (r, now, &next->entries[i]))
      return true;
  return false;
}

static unsigned
count_unloading (const struct rep *r, clk_ms now, const struct asn *next)
{
  unsigned n = 0;

  for (size_t i = 0; i < next->n; i++)
    for (size_t v = 0; v < next->entries[i].nvms; v++)
      n += next->entries[i].phase == ASN_RELEASING
           && !is_missing (r, now, next->entries[i].vms[v]);
  return n;
}

static struct loss
assess_loss (const struct rep *r, clk_ms now, const struct asn *next,
             const struct asn_entry *e, const struct cfg_model *model)
{
  struct loss l = { .vms = (unsigned)e->nvms,
                    .free_vms = count_free (r, now, next),
                    .unloading = count_unloading (r, now, next),
                    .helps_another = another_degraded (r, now, next, e),
                    .load_ms = bud_load_ms (r, model) };

  for (size_t i = 0; i < e->nvms; i++)
    {
      const struct rep_vm *vm = rep_vm_find (r, str_from (e->vms[i]));
      clk_ms missing_ms
          = vm && vm->missing_since ? now - vm->missing_since : 0;

      if (!is_missing (r, now, e->vms[i]))
        continue;
      l.missing++;
      l.no_return = l.no_return || !vm || vm->leaving_platform;
      if (missing_ms > l.missing_ms)
        l.missing_ms = missing_ms;
    }
  return l;
}

static bool
replace_missing (const struct rep *r, clk_ms now, struct asn *next,
                 struct asn_entry *e)
{
  for (size_t i = 0; i < e->nvms; i++)
    {
      struct rep_vm *vm;

      if (!is_missing (r, now, e->vms[i]))
        continue;
      vm = plc_find_free_vm (r, now, next);
      if (!vm)
        return false;
      asn_replace_vm (next, e, str_from (e->vms[i]), vm->cfg->name);
    }
  return true;
}

/* When most VMs of the domain are missing, either the whole domain is down and
   will return together, or this node is partitioned.  Reassigning VMs helps in
   neither case, nor while the VMs return one after the other. */
static bool
has_outage (struct rep *r, clk_ms now)
{
  size_t present = 0;

  for (size_t i = 0; i < r->nvms; i++)
    present += evd_present (&r->vms[i], now);
  if (2 * present < r->nvms)
    r->outage_until = now + REP_OUTAGE_MS;
  return now < r->outage_until;
}

bool
plc_repair (struct rep *r, clk_ms now, struct asn *next)
{
  if (has_outage (r, now))
    return false;
  for (size_t i = 0; i < next->n; i++)
    {
      struct asn_entry *e = &next->entries[i];
      const struct rep_replica *p = rep_replica_find (r, e->name);
      struct loss l;

      if (!p->managed || !p->model || p->draining || e->joining.vm
          || !is_degraded (r, now, e))
        continue;
      l = assess_loss (r, now, next, e, p->model);
      if (!l.no_return && l.missing_ms < REP_GRACE_MS)
        continue;
      switch (choose_by_policy (r, &l))
        {
        case REPAIR_REPLACE:
          return replace_missing (r, now, next, e);
        case REPAIR_DISSOLVE:
          e->phase = ASN_RELEASING;
          return true;
        case REPAIR_WAIT:
          break;
        }
    }
  return false;
}

static bool
add_unique (size_t *vms, size_t *n, size_t vm)
{
  for (size_t i = 0; i < *n; i++)
    if (vms[i] == vm)
      return false;
  vms[(*n)++] = vm;
  return true;
}

/* A VM that the configuration lists for this replica may be taken with its
   weights loaded, unless it reports another replica's name. */
static bool
is_usable_for (const struct rep *r, clk_ms now, const struct asn *next,
               const struct rep_vm *vm, const char *name)
{
  return evd_present (vm, now) && !vm->leaving_platform
         && !asn_holder (next, vm->cfg->name)
         && !is_in_unmanaged_replica (r, vm)
         && (vm->reported.unloaded || !vm->reported.replica.len
             || str_is (vm->reported.replica, name));
}

static size_t
pick_configured (const struct rep *r, clk_ms now, const struct asn *next,
                 const struct rep_replica *p, size_t *vms, size_t want)
{
  size_t n = 0;

  for (size_t i = 0; i < p->cfg->nvms && n < want; i++)
    {
      struct rep_vm *vm = rep_vm_find (r, r->cfg->vms[p->cfg->vms[i]].name);

      if (vm && is_usable_for (r, now, next, vm, p->name))
        add_unique (vms, &n, (size_t)(vm - r->vms));
    }
  return n;
}

static size_t
add_free_vms (const struct rep *r, clk_ms now, const struct asn *next,
              size_t *vms, size_t n, size_t want)
{
  for (int spares_only = 0; spares_only < 2; spares_only++)
    for (size_t i = 0; i < r->nvms && n < want; i++)
      if (r->vms[i].cfg->spare_only == (spares_only == 1)
          && is_free (r, now, next, &r->vms[i]))
        add_unique (vms, &n, i);
  return n;
}

/* A running replica is adopted with its generation, so that no weights are
   loaded again.  Its leader is the first configured VM. */
static bool
adopt (const struct rep *r, struct asn *next, const struct rep_replica *p,
       const size_t *vms, size_t n, int64_t generation)
{
  struct asn_entry *e;

  for (size_t i = 0; i < n; i++)
    if (asn_holder (next, r->vms[vms[i]].cfg->name)
        || is_in_unmanaged_replica (r, &r->vms[vms[i]]))
      return false;
  e = asn_add (next, str_from (p->name), p->model->name);
  e->generation = generation;
  if (next->next_generation < generation)
    next->next_generation = generation;
  for (size_t d = 0; d < p->cfg->nvms; d++)
    for (size_t i = 0; i < n; i++)
      if (str_eq (r->vms[vms[i]].cfg->name, r->cfg->vms[p->cfg->vms[d]].name))
        asn_entry_add_vm (e, r->vms[vms[i]].cfg->name);
  for (size_t i = 0; i < n; i++)
    if (asn_holder (next, r->vms[vms[i]].cfg->name) != e)
      asn_entry_add_vm (e, r->vms[vms[i]].cfg->name);
  return true;
}

static bool
form (const struct rep *r, clk_ms now, struct asn *next,
      const struct rep_replica *p)
{
  size_t vms[ASN_MAX_VMS], n, want = p->model->vms;
  struct asn_entry *e;

  if (want > ASN_MAX_VMS)
    return false;
  n = pick_configured (r, now, next, p, vms, want);
  for (size_t i = 0; i < r->nvms && n < want; i++)
    if (is_usable_for (r, now, next, &r->vms[i], p->name)
        && str_is (r->vms[i].reported.replica, p->name))
      add_unique (vms, &n, i);
  n = add_free_vms (r, now, next, vms, n, want);
  if (n < want)
    return false;
  /* A generation that a VM reports is never reused, even if the assignment was
     lost. */
  for (size_t i = 0; i < n; i++)
    if (r->vms[vms[i]].reported.generation > next->next_generation)
      next->next_generation = r->vms[vms[i]].reported.generation;
  e = asn_add (next, str_from (p->name), p->model->name);
  for (size_t i = 0; i < n; i++)
    asn_entry_add_vm (e, r->vms[vms[i]].cfg->name);
  return true;
}

static bool
form_or_adopt (struct rep *r, clk_ms now, struct asn *next,
               const struct rep_replica *p)
{
  size_t vms[ASN_MAX_VMS];
  int64_t generation;
  size_t n = evd_reporting (r, now, str_from (p->name), vms, &generation);

  if (n && n == p->model->vms && adopt (r, next, p, vms, n, generation))
    return true;
  if (n && now - r->owner_since < REP_ADOPT_MS)
    return false;
  return form (r, now, next, p);
}

static unsigned
count_complete (const struct rep *r, const struct rep_replica *p)
{
  unsigned n = 0;

  for (size_t i = 0; i < r->nreplicas; i++)
    n += r->replicas[i].model == p->model && r->replicas[i].complete;
  return n;
}

/* Replicas of the model with the fewest complete replicas are formed first. */
bool
plc_form (struct rep *r, clk_ms now, struct asn *next)
{
  for (unsigned ncomplete = 0; ncomplete <= r->nreplicas; ncomplete++)
    for (size_t i = 0; i < r->nreplicas; i++)
      {
        struct rep_replica *p = &r->replicas[i];

        if (!p->managed || !p->model || asn_find (next, p->name)
            || asn_is_drained (next, p->name)
            || count_complete (r, p) != ncomplete)
          continue;
        if (!form_or_adopt (r, now, next, p))
          continue;
        evd_apply_event (r, p, "propose");
        return true;
      }
  return false;
}
