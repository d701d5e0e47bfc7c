#include <stdlib.h>
#include <string.h>

#include "replica/core.h"

/* Restarting the group once all weights are there. */
#define RESTART_MS ((clk_ms)10000)
/* Unloading, and taking a VM back from whoever uses it meanwhile. */
#define RECALL_MS ((clk_ms)15000)
/* A VM that leaves or is not configured any more: one day. */
#define NEVER_BACK_MS (24 * 60 * CLK_MINUTE)

enum choice
{
  CHOOSE_WAIT,
  CHOOSE_SWAP,
  CHOOSE_DISSOLVE
};

/** What is known about a replica that lost members. */
struct loss
{
  unsigned vms;     /* of the replica */
  unsigned missing; /* of them */
  unsigned spares;  /* that could take a place now */
  unsigned coming;  /* that are being unloaded */
  bool can_help;    /* its other VMs would make another replica whole */
  clk_ms away;      /* longest time that one is missing */
  bool never_back;
  clk_ms load_ms; /* of all its weights */
};

static bool
is_reserved (const struct rep *r, const struct rep_vm *vm)
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

/* Free: in no replica of ours nor of the old scripts.  That it reports no
   weights is the second half of changing hands: whoever had it is done. */
static bool
is_free (const struct rep *r, clk_ms now, const struct asn *doc,
         const struct rep_vm *vm)
{
  return evd_unloaded (vm, now) && !vm->leaving
         && !asn_holder (doc, vm->cfg->name) && !is_reserved (r, vm);
}

struct rep_vm *
plc_spare (const struct rep *r, clk_ms now, const struct asn *doc)
{
  struct rep_vm *found = NULL;

  for (size_t i = 0; i < r->nvms; i++)
    {
      struct rep_vm *vm = &r->vms[i];

      if (!is_free (r, now, doc, vm))
        continue;
      if (vm->cfg->spare_only)
        return vm;
      if (!found)
        found = vm;
    }
  return found;
}

static unsigned
count_free (const struct rep *r, clk_ms now, const struct asn *doc)
{
  unsigned n = 0;

  for (size_t i = 0; i < r->nvms; i++)
    n += is_free (r, now, doc, &r->vms[i]);
  return n;
}

/* Outages have a long tail: most VMs are restarted within the usual time, and
   one that is away for longer than that is likely to stay away for as long
   again. */
static double
expected_return_s (const struct rep *r, const struct loss *l)
{
  clk_ms left = r->cfg->policy.vm_return_ms - l->away;

  if (l->never_back)
    return (double)NEVER_BACK_MS / 1000;
  return (double)(left > l->away ? left : l->away) / 1000;
}

/*
 * Expected cost of the three ways, in weighted seconds: a replica that can't
 * serve costs the downtime weight, each VM held meanwhile the stranded one.
 * Free VMs are lent to other work, which costs nothing but taking them back.
 */
static enum choice
choose (const struct rep *r, const struct loss *l)
{
  double down = r->cfg->policy.downtime_weight;
  double held = r->cfg->policy.stranded_weight;
  double back = expected_return_s (r, l);
  double restart = (double)RESTART_MS / 1000;
  double recall = (double)RECALL_MS / 1000;
  double load = (double)l->load_ms / 1000;
  double part = load * l->missing / l->vms + restart;
  double left = l->vms - l->missing;
  double wait = (back + part) * (down + held * left);
  double swap = part * (down + held * l->vms);
  double again = recall + load + restart;
  double dissolve = down * (back + again) + held * l->vms * again;

  if (l->spares >= l->missing)
    return swap < wait ? CHOOSE_SWAP : CHOOSE_WAIT;
  if (l->spares + l->coming >= l->missing)
    return CHOOSE_WAIT;
  if (l->can_help)
    dissolve -= (back - part) * (down + held * left);
  return dissolve < wait ? CHOOSE_DISSOLVE : CHOOSE_WAIT;
}

static enum choice
choose_by_rule (const struct rep *r, const struct loss *l)
{
  switch (r->opt.repair_policy)
    {
    case REP_REPAIR_DISSOLVE:
      return CHOOSE_DISSOLVE;
    case REP_REPAIR_WAIT:
      return CHOOSE_WAIT;
    default:
      return choose (r, l);
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

/* Entries further down that lost a member as well. */
static bool
others_degraded (const struct rep *r, clk_ms now, const struct asn *next,
                 const struct asn_entry *e)
{
  for (size_t i = 0; i < next->n; i++)
    if (&next->entries[i] != e && is_degraded (r, now, &next->entries[i]))
      return true;
  return false;
}

static unsigned
count_coming (const struct rep *r, clk_ms now, const struct asn *next)
{
  unsigned n = 0;

  for (size_t i = 0; i < next->n; i++)
    for (size_t v = 0; v < next->entries[i].nvms; v++)
      n += next->entries[i].phase == ASN_RELEASING
           && !is_missing (r, now, next->entries[i].vms[v]);
  return n;
}

static struct loss
assess (const struct rep *r, clk_ms now, const struct asn *next,
        const struct asn_entry *e, const struct cfg_model *model)
{
  struct loss l = { .vms = (unsigned)e->nvms,
                    .spares = count_free (r, now, next),
                    .coming = count_coming (r, now, next),
                    .can_help = others_degraded (r, now, next, e),
                    .load_ms = bud_load_ms (r, model) };

  for (size_t i = 0; i < e->nvms; i++)
    {
      const struct rep_vm *vm = rep_vm_find (r, str_from (e->vms[i]));
      clk_ms away = vm && vm->lost_at ? now - vm->lost_at : 0;

      if (!is_missing (r, now, e->vms[i]))
        continue;
      l.missing++;
      l.never_back = l.never_back || !vm || vm->leaving;
      if (away > l.away)
        l.away = away;
    }
  return l;
}

static bool
swap_missing (const struct rep *r, clk_ms now, struct asn *next,
              struct asn_entry *e)
{
  for (size_t i = 0; i < e->nvms; i++)
    {
      struct rep_vm *spare;

      if (!is_missing (r, now, e->vms[i]))
        continue;
      spare = plc_spare (r, now, next);
      if (!spare)
        return false;
      asn_swap (next, e, str_from (e->vms[i]), spare->cfg->name);
    }
  return true;
}

/* With most of the domain gone at once, either all of it comes back together
   or this node is the one that is cut off.  Neither is helped by giving its
   VMs new tasks, nor while they come back one after the other. */
static bool
domain_dark (struct rep *r, clk_ms now)
{
  size_t present = 0;

  for (size_t i = 0; i < r->nvms; i++)
    present += evd_present (&r->vms[i], now);
  if (2 * present < r->nvms)
    r->dark_until = now + REP_DARK_MS;
  return now < r->dark_until;
}

bool
plc_repair (struct rep *r, clk_ms now, struct asn *next)
{
  if (domain_dark (r, now))
    return false;
  for (size_t i = 0; i < next->n; i++)
    {
      struct asn_entry *e = &next->entries[i];
      const struct rep_replica *p = rep_replica_find (r, e->name);
      struct loss l;

      if (!p->managed || !p->model || p->draining || e->joining.vm
          || !is_degraded (r, now, e))
        continue;
      l = assess (r, now, next, e, p->model);
      if (!l.never_back && l.away < REP_GRACE_MS)
        continue;
      switch (choose_by_rule (r, &l))
        {
        case CHOOSE_SWAP:
          return swap_missing (r, now, next, e);
        case CHOOSE_DISSOLVE:
          e->phase = ASN_RELEASING;
          return true;
        case CHOOSE_WAIT:
          break;
        }
    }
  return false;
}

static bool
add_if_missing (size_t *vms, size_t *n, size_t vm)
{
  for (size_t i = 0; i < *n; i++)
    if (vms[i] == vm)
      return false;
  vms[(*n)++] = vm;
  return true;
}

/* A declared VM of the replica may be taken as it is: the declaration says
   that its weights are for this replica, or for nobody. */
static bool
may_take_declared (const struct rep *r, clk_ms now, const struct asn *next,
                   const struct rep_vm *vm, const char *name)
{
  return evd_present (vm, now) && !vm->leaving
         && !asn_holder (next, vm->cfg->name) && !is_reserved (r, vm)
         && (vm->said.unloaded || !vm->said.replica.len
             || str_is (vm->said.replica, name));
}

static size_t
pick_declared (const struct rep *r, clk_ms now, const struct asn *next,
               const struct rep_replica *p, size_t *vms, size_t want)
{
  size_t n = 0;

  for (size_t i = 0; i < p->cfg->nvms && n < want; i++)
    {
      struct rep_vm *vm = rep_vm_find (r, r->cfg->vms[p->cfg->vms[i]].name);

      if (vm && may_take_declared (r, now, next, vm, p->name))
        add_if_missing (vms, &n, (size_t)(vm - r->vms));
    }
  return n;
}

static size_t
fill_with_free (const struct rep *r, clk_ms now, const struct asn *next,
                size_t *vms, size_t n, size_t want)
{
  for (int spares = 0; spares < 2; spares++)
    for (size_t i = 0; i < r->nvms && n < want; i++)
      if (r->vms[i].cfg->spare_only == (spares == 1)
          && is_free (r, now, next, &r->vms[i]))
        add_if_missing (vms, &n, i);
  return n;
}

/* A replica that is running already keeps its generation, so that nothing is
   loaded again.  Its leader is the first one declared. */
static bool
adopt (const struct rep *r, struct asn *next, const struct rep_replica *p,
       const size_t *vms, size_t n, int64_t generation)
{
  struct asn_entry *e;

  for (size_t i = 0; i < n; i++)
    if (asn_holder (next, r->vms[vms[i]].cfg->name)
        || is_reserved (r, &r->vms[vms[i]]))
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
  n = pick_declared (r, now, next, p, vms, want);
  for (size_t i = 0; i < r->nvms && n < want; i++)
    if (may_take_declared (r, now, next, &r->vms[i], p->name)
        && str_is (r->vms[i].said.replica, p->name))
      add_if_missing (vms, &n, i);
  n = fill_with_free (r, now, next, vms, n, want);
  if (n < want)
    return false;
  /* A generation that some VM has seen is never given out again, even if the
     assignment was lost. */
  for (size_t i = 0; i < n; i++)
    if (r->vms[vms[i]].said.generation > next->next_generation)
      next->next_generation = r->vms[vms[i]].said.generation;
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
whole_of_model (const struct rep *r, const struct rep_replica *p)
{
  unsigned n = 0;

  for (size_t i = 0; i < r->nreplicas; i++)
    n += r->replicas[i].model == p->model && r->replicas[i].complete;
  return n;
}

bool
plc_form (struct rep *r, clk_ms now, struct asn *next)
{
  for (unsigned live = 0; live <= r->nreplicas; live++)
    for (size_t i = 0; i < r->nreplicas; i++)
      {
        struct rep_replica *p = &r->replicas[i];

        if (!p->managed || !p->model || asn_find (next, p->name)
            || asn_is_drained (next, p->name) || whole_of_model (r, p) != live)
          continue;
        if (!form_or_adopt (r, now, next, p))
          continue;
        evd_step (r, p, "propose");
        return true;
      }
  return false;
}
