#include "serve/form-plan.h"

#include <stdlib.h>

/*
 * A VM keeps the weights of the model for which it last joined a replica, and
 * its host keeps weights of other models in host memory.  Each VM can
 * therefore be prepared for two models: its host preloads one that the VM does
 * not hold.  The VM then joins a replica of either model within one or two
 * seconds, compared with 12 to 16 s for a load.
 *
 * The hosts of replica members preload only before there is traffic, when this
 * delays no request.  If a replica later can't be completed, its remaining VMs
 * can serve the other model, and a surplus replica can give its VMs to a
 * replica that needs them.  If the domain could then not form its replicas
 * after a restart of all its VMs, the members' hosts preload nothing and keep
 * the model that the member serves.
 *
 * If the plan by demand gives replicas of a domain up for another model, their
 * members' hosts preload that model first, while the replicas go on serving.
 * Afterwards, hosts preload the model that has fewer replicas now, so that the
 * change can be taken back.
 */

/** Delay after the last VM appeared, so that replicas are formed first. */
#define PRELOAD_DELAY_MS ((clk_ms)1000)
/**
 * Delay before a rejected order to preload is repeated.  No replica waits for
 * it, and a VM that was busy with another order is free again by then.
 */
#define PRELOAD_RETRY_MS ((clk_ms)5000)
/**
 * Share of the service's simultaneous loads that preloads may use; the rest is
 * kept for loads that a replica waits for.
 */
#define PRELOAD_SHARE 0.5

/**
 * Model that a VM's host should preload in addition to the model that the VM
 * holds, or nmodels.
 */
static size_t
model_to_preload (const struct frm_vm *vm, const struct tbl_service *s)
{
  size_t best = s->nmodels;

  for (size_t k = 0; k < s->nmodels; k++)
    if (!str_eq (s->models[k].name, frm_loaded_model (vm))
        && (best == s->nmodels
            || s->models[k].work_share > s->models[best].work_share))
      best = k;
  return best;
}

/** Whether the host holds a model other than the VM's. */
static bool
has_preloaded_other (const struct frm_vm *vm)
{
  for (size_t i = 0; i < vm->entry.npreloaded; i++)
    if (!str_eq (vm->entry.preloaded[i], frm_loaded_model (vm)))
      return true;
  return false;
}

static bool
is_member (const struct frm_vm *vm)
{
  return vm->replica && !vm->replica->warm_spare;
}

static bool
may_preload (const struct frm *f, const struct frm_vm *vm)
{
  return frm_may_be_member (f, vm) && !frm_is_evacuated (f, vm)
         && !vm->order_token && !frm_is_paused (f, vm)
         && f->now >= vm->preload_until && vm->entry.domain.len > 0
         && frm_loaded_model (vm).len > 0 && !has_preloaded_other (vm)
         && (vm->replica ? frm_is_ready (vm)
                         : vm->entry.member_state == BKS_NO_REPLICA);
}

/**
 * Whether the domain could form a replica of each model at once after all its
 * VMs restarted, if each host held the VM's other model.  A restarted VM holds
 * no weights, so only the models in host memory count.
 */
static bool
survives_restart (const struct frm *f, const struct frm_fabric_domain *d)
{
  unsigned kept[FRM_MAX_MODELS] = { 0 };

  for (size_t i = 0; i < f->nvms; i++)
    if (frm_in_domain (f->vms[i], d) && frm_may_be_member (f, f->vms[i])
        && frm_loaded_model (f->vms[i]).len > 0)
      {
        size_t k = model_to_preload (f->vms[i], d->s);
        if (k < FRM_MAX_MODELS)
          kept[k]++;
      }
  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    if (d->planned[k] > 0 && kept[k] < d->s->models[k].size)
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
    if (f->replicas[i]->phase <= FRM_PH_OPENING && !f->replicas[i]->warm_spare)
      return true;
  return false;
}

/**
 * Whether the weight store has capacity for a preload, which no replica waits
 * for.
 */
static bool
has_load_capacity (const struct frm *f, const struct tbl_service *s)
{
  if (!f->had_traffic)
    return !is_forming_replica (f);
  return frm_may_load (f, s, 1)
         && (s->loads_at_once == 0
             || count_preloading (f) < PRELOAD_SHARE * s->loads_at_once);
}

/* --- preloads for the plan by demand ---------------------------------------
 */

/** Whether the VM holds the model, or its host holds or preloads it. */
static bool
will_have_weights (const struct frm *f, const struct frm_vm *vm,
                   struct str model)
{
  return frm_has_weights_in_memory (vm, model)
         || (f->now < vm->preload_until && str_is (model, vm->preload_model));
}

static bool
is_replica_of (const struct frm_replica *r, const struct tbl_model *m)
{
  return r && !r->warm_spare && r->phase <= FRM_PH_OPEN
         && str_is (m->name, r->model);
}

/** VMs of the domain outside the model's replicas that will have its weights.
 */
static unsigned
count_prepared (const struct frm *f, const struct frm_fabric_domain *d,
                const struct tbl_model *m)
{
  unsigned n = 0;

  for (size_t i = 0; i < f->nvms; i++)
    n += frm_in_domain (f->vms[i], d) && frm_may_be_member (f, f->vms[i])
         && !is_replica_of (f->vms[i]->replica, m)
         && will_have_weights (f, f->vms[i], m->name);
  return n;
}

static bool
may_preload_now (const struct frm *f, const struct frm_vm *vm)
{
  return frm_may_be_member (f, vm) && !vm->order_token
         && !frm_is_paused (f, vm) && f->now >= vm->preload_until
         && (vm->replica ? frm_is_ready (vm)
                         : vm->entry.member_state == BKS_NO_REPLICA);
}

static void
send_preload (struct frm *f, struct frm_vm *vm, const struct tbl_model *m)
{
  frm_send_preload (f, vm, m->name);
  frm_record_loads (f, 1);
  vm->preload_until = f->now + 2 * m->cold_load_ms;
  free (vm->preload_model);
  vm->preload_model = str_dup (m->name);
}

/** Loads that a preload which nothing waits for leaves to crashed VMs: half of
    those that the weight store allows within the window. */
static unsigned
loads_kept_free (const struct frm *f, const struct tbl_service *s)
{
  return 1
         + (unsigned)(s->loads_per_s * f->opt.ceiling_window_s
                      * FRM_LOADS_SHARE / 2);
}

/**
 * Preloads @p to on the hosts of VMs that hold @p holder, or of any VMs
 * without a replica, until @p wanted VMs are prepared.
 * @param replace  whether hosts that hold another model may lose it
 */
static void
prepare_vms (struct frm *f, const struct frm_fabric_domain *d,
             const struct tbl_model *to, const struct tbl_model *holder,
             unsigned wanted, bool replace)
{
  unsigned n = count_prepared (f, d, to);

  for (size_t i = 0; i < f->nvms && n < wanted; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (!frm_in_domain (vm, d) || !may_preload_now (f, vm)
          || will_have_weights (f, vm, to->name)
          || (is_member (vm) && !is_replica_of (vm->replica, holder))
          || (!replace && has_preloaded_other (vm)))
        continue;
      if (!has_load_capacity (f, d->s)
          || (!replace && !frm_may_load (f, d->s, loads_kept_free (f, d->s))))
        return;
      send_preload (f, vm, to);
      n++;
    }
}

/** Preloads what a change of the plan needs, while the replicas that will
    close go on serving. */
static void
prepare_change (struct frm *f, const struct frm_fabric_domain *d)
{
  for (size_t to = 0; to < d->s->nmodels && to < FRM_MAX_MODELS; to++)
    for (size_t from = 0; from < d->s->nmodels && from < FRM_MAX_MODELS;
         from++)
      if (from != to && frm_is_giving_up (d, from))
        prepare_vms (f, d, &d->s->models[to], &d->s->models[from],
                     frm_vms_to_prepare (f, d, from, to), true);
}

/**
 * Number of VMs whose hosts should hold the model so that the change that has
 * taken its replicas away can be taken back.  At most half of the domain's
 * hosts are used for this: a VM that crashes and returns needs the weights of
 * its own model in the host's memory.
 */
static unsigned
vms_to_keep_prepared (const struct frm *f, const struct frm_fabric_domain *d,
                      size_t k)
{
  struct frm_fabric_domain shares = *d;
  unsigned vms = f->domain_max_vms[d->number], n;

  frm_plan_by_shares (&shares, vms);
  if (!d->target || shares.planned[k] <= d->target[k])
    return 0;
  n = (shares.planned[k] - d->target[k]) * d->s->models[k].size;
  return n < vms / 2 ? n : vms / 2;
}

static bool
is_changing (const struct frm_fabric_domain *d)
{
  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    if (frm_is_giving_up (d, k))
      return true;
  return false;
}

static void
prepare_return (struct frm *f, const struct frm_fabric_domain *d)
{
  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    for (size_t other = 0; other < d->s->nmodels && other < FRM_MAX_MODELS;
         other++)
      if (other != k)
        prepare_vms (f, d, &d->s->models[k], &d->s->models[other],
                     vms_to_keep_prepared (f, d, k), false);
}

/** Whether the plan by demand needs no more hosts that hold the model. */
static bool
is_prepared_enough (const struct frm *f, const struct frm_fabric_domain *d,
                    size_t k)
{
  return vms_to_keep_prepared (f, d, k) > 0
         && count_prepared (f, d, &d->s->models[k])
                >= vms_to_keep_prepared (f, d, k);
}

/* --- all domains -----------------------------------------------------------
 */

static void
preload_for_allocation (struct frm *f, const struct frm_fabric_domain *d)
{
  if (!d->target)
    return;
  if (is_changing (d))
    prepare_change (f, d);
  else
    prepare_return (f, d);
}

static void
preload_domain (struct frm *f, struct frm_fabric_domain *d)
{
  bool include_members, enough[FRM_MAX_MODELS] = { false };

  if (d->s->host_cache_models == 0 || d->s->nmodels < 2)
    return;
  frm_plan_and_count (f, d);
  include_members = !f->had_traffic && survives_restart (f, d);
  preload_for_allocation (f, d);
  for (size_t k = 0; d->target && k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    enough[k] = is_prepared_enough (f, d, k);
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      const struct tbl_model *m;
      size_t k;
      if (!frm_in_domain (vm, d) || !may_preload (f, vm)
          || (is_member (vm) && !include_members))
        continue;
      k = model_to_preload (vm, d->s);
      if (enough[k < FRM_MAX_MODELS ? k : 0])
        continue;
      m = &d->s->models[k];
      if (!has_load_capacity (f, d->s))
        return;
      send_preload (f, vm, m);
    }
}

void
frm_preload (struct frm *f)
{
  if (f->server_list_complete
      && f->now - f->last_arrival_at >= PRELOAD_DELAY_MS)
    frm_for_each_domain (f, preload_domain);
}

void
frm_preload_done (struct frm *f, struct frm_vm *vm, enum frm_result result)
{
  if (result == FRM_REJECTED || result == FRM_CONN_REFUSED)
    vm->preload_until = f->now + PRELOAD_RETRY_MS;
}
