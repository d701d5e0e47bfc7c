#include "serve/form-plan.h"

/*
 * A VM keeps the weights with which it last joined a replica, and its host
 * keeps others in its memory.  So each VM can be ready for two models: its
 * host loads the one that the VM does not hold.  It then takes part in a
 * replica of either in one or two seconds, against 12 to 16 s of a load.
 *
 * The hosts of members do so while there is no traffic, when it costs nobody
 * anything: what is left of a replica that can't be mended then serves the
 * other model, and a replica that is not needed gives its VMs to one that is.
 * Where a domain could not form its replicas after a restart of all its VMs,
 * they keep the model that the member serves.
 */

/** After the last VM appeared: replicas come first. */
#define PRELOAD_DELAY_MS ((clk_ms)1000)
/** Before an order to stage that was refused is given again: nobody waits for
    it, and a VM that is busy with another order is free again by then. */
#define PRELOAD_RETRY_MS ((clk_ms)5000)
/** Of the loads at once: what is left to VMs that a replica waits for. */
#define PRELOAD_SHARE 0.5

/** The model that a VM's host should keep beside the one that the VM holds, or
    nmodels. */
static size_t
model_to_preload (const struct frm_vm *vm, const struct tbl_service *s)
{
  size_t best = s->nmodels;

  for (size_t k = 0; k < s->nmodels; k++)
    if (!str_eq (s->models[k].name, frm_loaded_model (vm))
        && (best == s->nmodels || s->models[k].share > s->models[best].share))
      best = k;
  return best;
}

/** Its host keeps another model than the VM holds. */
static bool
has_preloaded_other (const struct frm_vm *vm)
{
  for (size_t i = 0; i < vm->entry.nstaged; i++)
    if (!str_eq (vm->entry.staged[i], frm_loaded_model (vm)))
      return true;
  return false;
}

static bool
is_member (const struct frm_vm *vm)
{
  return vm->replica && !vm->replica->spare;
}

static bool
may_preload (const struct frm *f, const struct frm_vm *vm)
{
  return frm_is_usable (f, vm) && !vm->order_token
         && f->now >= vm->preload_until && vm->entry.domain.len > 0
         && frm_loaded_model (vm).len > 0 && !has_preloaded_other (vm)
         && (vm->replica ? frm_is_ready (vm) : vm->entry.part == BKS_ALONE);
}

/**
 * Whether a replica of each model could be formed again at once, if the whole
 * domain started anew and each host kept the other model: a VM that has
 * started holds nothing but what its host keeps.
 */
static bool
survives_restart (const struct frm *f, const struct frm_domain *d)
{
  unsigned kept[FRM_MAX_MODELS] = { 0 };

  for (size_t i = 0; i < f->nvms; i++)
    if (frm_in_domain (f->vms[i], d) && frm_is_usable (f, f->vms[i])
        && frm_loaded_model (f->vms[i]).len > 0)
      {
        size_t k = model_to_preload (f->vms[i], d->s);
        if (k < FRM_MAX_MODELS)
          kept[k]++;
      }
  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    if (d->want[k] > 0 && kept[k] < d->s->models[k].size)
      return false;
  return true;
}

static unsigned
count_preloading (const struct frm *f)
{
  unsigned n = 0;

  for (size_t i = 0; i < f->nvms; i++)
    n += f->now < f->vms[i]->preload_until;
  return n;
}

static bool
is_forming_replica (const struct frm *f)
{
  for (size_t i = 0; i < f->nreplicas; i++)
    if (f->replicas[i]->phase <= FRM_PH_OPENING && !f->replicas[i]->spare)
      return true;
  return false;
}

/** Whether the weight store has room for one that nobody waits for. */
static bool
has_load_capacity (const struct frm *f, const struct tbl_service *s)
{
  if (!f->traffic)
    return !is_forming_replica (f);
  return frm_may_load (f, s, 1)
         && (s->loads_at_once == 0
             || count_preloading (f) < PRELOAD_SHARE * s->loads_at_once);
}

static void
preload_domain (struct frm *f, struct frm_domain *d)
{
  bool members;

  if (d->s->host_keeps == 0 || d->s->nmodels < 2)
    return;
  frm_plan_domain (f, d);
  members = !f->traffic && survives_restart (f, d);
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      const struct tbl_model *m;
      if (!frm_in_domain (vm, d) || !may_preload (f, vm)
          || (is_member (vm) && !members))
        continue;
      if (!has_load_capacity (f, d->s))
        return;
      m = &d->s->models[model_to_preload (vm, d->s)];
      frm_send_preload (f, vm, m->name);
      frm_count_loads (f, 1);
      vm->preload_until = f->now + 2 * m->load_ms;
    }
}

void
frm_preload (struct frm *f)
{
  if (f->list_complete && f->now - f->last_arrival_at >= PRELOAD_DELAY_MS)
    frm_for_each_domain (f, preload_domain);
}

void
frm_preload_done (struct frm *f, struct frm_vm *vm, enum frm_result result)
{
  if (result == FRM_REJECTED || result == FRM_CONN_REFUSED)
    vm->preload_until = f->now + PRELOAD_RETRY_MS;
}
