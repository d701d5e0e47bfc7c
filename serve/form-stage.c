#include "serve/form-int.h"

/*
 * A VM keeps the weights with which it last joined a replica, and its host
 * keeps others in its memory.  So each spare can be ready for two models: its
 * host loads the model that the VM does not hold.  Any spare then repairs a
 * replica of any kind in one or two seconds, against 12 to 16 s of a load.
 *
 * The hosts of members keep the model that the member serves: a VM that
 * restarts has only what its host kept, and after a restart of a whole domain
 * its replicas are formed of the same VMs again.
 */

/** After the last VM appeared: replicas come first. */
#define SETTLE_MS ((clk_ms)1000)
/** Before an order to stage that was refused is given again: nobody waits for
    it, and a VM that is busy with another order is free again by then. */
#define REFUSED_MS ((clk_ms)5000)
/** Of the loads at once: what is left to VMs that a replica waits for. */
#define STAGE_PART 0.5

/** The model that a VM's host should keep for it, or NULL. */
static const struct tbl_model *
model_to_stage (const struct frm_vm *vm, const struct tbl_service *s)
{
  const struct tbl_model *best = NULL;

  for (size_t i = 0; i < vm->e.nstaged; i++)
    if (!str_eq (vm->e.staged[i], frm_held (vm)))
      return NULL; /* it keeps another one already */
  for (size_t k = 0; k < s->nmodels; k++)
    if (!str_eq (s->models[k].name, frm_held (vm))
        && (!best || s->models[k].share > best->share))
      best = &s->models[k];
  return best;
}

static bool
may_stage (const struct frm *f, const struct frm_vm *vm)
{
  return frm_usable (f, vm) && !vm->order && f->now >= vm->staging_until
         && vm->e.domain.len > 0 && frm_held (vm).len > 0
         && (vm->group ? vm->group->spare && frm_is_ready (vm)
                       : vm->e.part == BKS_ALONE);
}

static unsigned
count_staging (const struct frm *f)
{
  unsigned n = 0;

  for (size_t i = 0; i < f->nvms; i++)
    n += f->now < f->vms[i]->staging_until;
  return n;
}

static bool
is_forming (const struct frm *f)
{
  for (size_t i = 0; i < f->ngroups; i++)
    if (f->groups[i]->phase <= FRM_PH_OPENING && !f->groups[i]->spare)
      return true;
  return false;
}

/** Whether the weight store has room for one that nobody waits for. */
static bool
has_room (const struct frm *f, const struct tbl_service *s)
{
  if (!f->traffic)
    return !is_forming (f);
  return frm_may_load (f, s, 1)
         && (s->loads_at_once == 0
             || count_staging (f) < STAGE_PART * s->loads_at_once);
}

void
frm_stage (struct frm *f)
{
  if (!f->settled || f->now - f->arrived_at < SETTLE_MS)
    return;
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      const struct tbl_service *s = frm_service (f, vm->service);
      const struct tbl_model *m;
      if (!s || s->host_keeps == 0 || s->nmodels < 2 || !may_stage (f, vm))
        continue;
      m = model_to_stage (vm, s);
      if (!m)
        continue;
      if (!has_room (f, s))
        return;
      frm_order_stage (f, vm, m->name);
      frm_count_loads (f, 1);
      vm->staging_until = f->now + 2 * m->load_ms;
    }
}

void
frm_stage_done (struct frm *f, struct frm_vm *vm, enum frm_result result)
{
  if (result == FRM_REJECTED || result == FRM_UNREACHABLE)
    vm->staging_until = f->now + REFUSED_MS;
}
