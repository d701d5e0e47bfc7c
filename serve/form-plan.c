#include "serve/form-plan.h"

#include <stdlib.h>
#include <string.h>

/**
 * A domain with at least this many VMs keeps one VM out of its replicas as a
 * reserve, which replaces a VM that fails.  A smaller domain, for example with
 * one replica of six VMs and one of three, would lose a replica by that.
 */
#define RESERVE_MIN_VMS 10

bool
frm_in_domain (const struct frm_vm *vm, const struct frm_fabric_domain *d)
{
  return vm->domain_number == d->number;
}

bool
frm_is_assignable (const struct frm *f, const struct frm_vm *vm)
{
  return frm_may_be_member (f, vm) && !frm_is_evacuated (f, vm)
         && !vm->order_token && vm->entry.domain.len > 0
         && vm->entry.member_state < BKS_OPEN
         && (vm->replica ? vm->replica->warm_spare
                         : !frm_reports_live_replica (f, vm));
}

enum frm_cost
frm_cost_of (const struct frm_vm *vm, struct str model)
{
  /*
   * A VM that is still loading takes as long to become ready as an empty one.
   */
  bool loading = vm->entry.member_state == BKS_JOINING;

  if (str_eq (frm_loaded_model (vm), model) && !loading)
    return FRM_COST_LOADED;
  if (frm_has_weights_in_memory (vm, model) && !loading)
    return FRM_COST_HOST_MEMORY;
  return frm_loaded_model (vm).len ? FRM_COST_OTHER_MODEL : FRM_COST_EMPTY;
}

/* --- plan of a domain -------------------------------------------------- */

/**
 * VMs of @p n replicas of the model, relative to the model's share of the
 * work.  Shares divide the VMs' work, not the number of requests that replicas
 * complete.
 */
static double
vms_per_share (unsigned n, const struct tbl_model *m)
{
  return (double)n * m->size / (m->work_share > 0 ? m->work_share : 1e-3);
}

/**
 * Model with the lowest vms_per_share() that fits; of two equal models, the
 * larger one.
 */
static size_t
least_supplied_model (const struct frm_fabric_domain *d, unsigned room)
{
  const struct tbl_service *s = d->s;
  size_t best = s->nmodels;

  for (size_t i = 0; i < s->nmodels && i < FRM_MAX_MODELS; i++)
    {
      double x = vms_per_share (d->planned[i], &s->models[i]);
      if (s->models[i].size > room || s->models[i].size == 0)
        continue;
      if (best == s->nmodels
          || x < vms_per_share (d->planned[best], &s->models[best])
          || (x <= vms_per_share (d->planned[best], &s->models[best])
              && s->models[i].size > s->models[best].size))
        best = i;
    }
  return best;
}

unsigned
frm_count_eligible_vms (const struct frm *f, const struct frm_fabric_domain *d)
{
  unsigned n = 0;

  for (size_t i = 0; i < f->nvms; i++)
    n += frm_in_domain (f->vms[i], d) && frm_may_be_member (f, f->vms[i]);
  return n;
}

unsigned
frm_vms_for_replicas (unsigned n)
{
  return n >= RESERVE_MIN_VMS ? n - 1 : n;
}

static void
plan_replica (struct frm_fabric_domain *d, size_t k, unsigned *room)
{
  d->planned[k]++;
  *room -= d->s->models[k].size;
}

void
frm_plan_by_shares (struct frm_fabric_domain *d, unsigned vms)
{
  unsigned room = frm_vms_for_replicas (vms);
  size_t i;

  memset (d->planned, 0, sizeof d->planned);
  while (d->dedicated_model < d->s->nmodels
         && d->s->models[d->dedicated_model].size <= room)
    plan_replica (d, d->dedicated_model, &room);
  while ((i = least_supplied_model (d, room)) < d->s->nmodels)
    plan_replica (d, i, &room);
}

static void
plan_replicas (const struct frm *f, struct frm_fabric_domain *d)
{
  unsigned vms = frm_count_eligible_vms (f, d);
  unsigned sizes[FRM_MAX_MODELS];

  d->target = frm_allocated (f, d);
  if (!d->target)
    {
      frm_plan_by_shares (d, vms);
      return;
    }
  for (size_t k = 0; k < d->s->nmodels; k++)
    sizes[k] = d->s->models[k].size;
  alc_fit (d->target, sizes, d->s->nmodels, frm_vms_for_replicas (vms),
           d->planned);
}

bool
frm_replica_in_domain (const struct frm_replica *r,
                       const struct frm_fabric_domain *d)
{
  bool any = false;

  for (size_t i = 0; i < r->nmembers; i++)
    {
      if (r->members[i] && !frm_in_domain (r->members[i], d))
        return false;
      any |= r->members[i] != NULL;
    }
  return any;
}

static void
count_replicas (const struct frm *f, struct frm_fabric_domain *d)
{
  for (size_t i = 0; i < f->nreplicas; i++)
    {
      const struct frm_replica *r = f->replicas[i];
      if (r->warm_spare || r->phase > FRM_PH_OPEN
          || !frm_replica_in_domain (r, d))
        continue;
      for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
        d->open_or_forming[k] += str_is (d->s->models[k].name, r->model);
    }
}

size_t
frm_held_or_loading_model (const struct frm_vm *vm,
                           const struct tbl_service *s)
{
  struct str name
      = vm->replica ? str_from (vm->replica->model) : frm_loaded_model (vm);

  for (size_t k = 0; k < s->nmodels && k < FRM_MAX_MODELS; k++)
    if (str_eq (s->models[k].name, name))
      return k;
  return s->nmodels;
}

static void
count_warm_vms (const struct frm *f, struct frm_fabric_domain *d)
{
  for (size_t i = 0; i < f->nvms; i++)
    {
      const struct frm_vm *vm = f->vms[i];
      if (!frm_in_domain (vm, d) || !frm_may_be_member (f, vm)
          || (vm->replica && !vm->replica->warm_spare))
        continue;
      size_t held = frm_held_or_loading_model (vm, d->s);
      for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
        d->spares_with_model[k]
            += k == held
               || (vm->entry.member_state != BKS_JOINING
                   && frm_has_weights_in_memory (vm, d->s->models[k].name));
    }
}

void
frm_plan_and_count (const struct frm *f, struct frm_fabric_domain *d)
{
  memset (d->open_or_forming, 0, sizeof d->open_or_forming);
  memset (d->spares_with_model, 0, sizeof d->spares_with_model);
  plan_replicas (f, d);
  count_replicas (f, d);
  count_warm_vms (f, d);
}

/* --- domains too small for each model ---------------------------------- */

/*
 * If each domain has room for a replica of each model, planning the domains
 * independently serves all models.  Otherwise every domain would choose the
 * same model, and the other models would have no replica anywhere.  A domain
 * without this room is therefore dedicated to one model: the model that its
 * VMs hold, or else the model with the fewest VMs over all domains relative to
 * its share of the work.
 */

/** VMs in replicas of each model, over all domains of a service. */
struct model_vms
{
  unsigned vms[FRM_MAX_MODELS];
};

static size_t
model_index (const struct tbl_service *s, const char *name)
{
  size_t k = 0;

  while (k < s->nmodels && k < FRM_MAX_MODELS
         && !str_is (s->models[k].name, name))
    k++;
  return k < FRM_MAX_MODELS ? k : s->nmodels;
}

static void
count_model_vms (const struct frm *f, const struct tbl_service *s,
                 struct model_vms *t)
{
  memset (t, 0, sizeof *t);
  for (size_t i = 0; i < f->nreplicas; i++)
    {
      const struct frm_replica *r = f->replicas[i];
      size_t k = model_index (s, r->model);
      if (!r->warm_spare && r->phase <= FRM_PH_OPEN && k < s->nmodels
          && str_is (s->name, r->service))
        t->vms[k] += (unsigned)r->nmembers;
    }
}

/**
 * Model with the fewest VMs over all domains, relative to its share, that
 * fits; of two equal models, the larger one.
 */
static size_t
least_supplied_in_service (const struct tbl_service *s,
                           const struct model_vms *t, unsigned room)
{
  size_t best = s->nmodels;
  double least = 0;

  for (size_t k = 0; k < s->nmodels && k < FRM_MAX_MODELS; k++)
    {
      const struct tbl_model *m = &s->models[k];
      double x = t->vms[k] / (m->work_share > 0 ? m->work_share : 1e-3);
      if (m->size > room || m->size == 0)
        continue;
      if (best < s->nmodels
          && (x > least || (x >= least && m->size <= s->models[best].size)))
        continue;
      best = k;
      least = x;
    }
  return best;
}

/** Model that most of the domain's VMs hold or are assigned to, or nmodels. */
static size_t
most_loaded_model (const struct frm *f, const struct frm_fabric_domain *d)
{
  unsigned n[FRM_MAX_MODELS] = { 0 };
  size_t best = d->s->nmodels;

  for (size_t i = 0; i < f->nvms; i++)
    {
      const struct frm_vm *vm = f->vms[i];
      struct str held = vm->replica ? str_from (vm->replica->model)
                                    : frm_loaded_model (vm);
      if (!frm_in_domain (vm, d) || (vm->replica && vm->replica->warm_spare))
        continue;
      for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
        n[k] += str_eq (d->s->models[k].name, held);
    }
  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    if (n[k] > 0 && (best == d->s->nmodels || n[k] > n[best]))
      best = k;
  return best;
}

/**
 * Number of VMs of the service's largest domain.  All domains are built with
 * the same size: a domain with fewer VMs may have lost some, or some have not
 * appeared yet.
 */
static unsigned
largest_domain_size (const struct frm *f, const struct frm_fabric_domain *d)
{
  unsigned max = 0;

  for (size_t i = 0; i < f->nvms; i++)
    {
      const struct frm_vm *vm = f->vms[i];
      if (f->domain_max_vms[vm->domain_number] > max
          && strcmp (vm->service, d->service) == 0)
        max = f->domain_max_vms[vm->domain_number];
    }
  return max;
}

bool
frm_is_too_small_for_all_models (const struct frm_fabric_domain *d,
                                 unsigned vms)
{
  unsigned all = 0;

  for (size_t k = 0; k < d->s->nmodels; k++)
    all += d->s->models[k].size;
  return d->s->nmodels > 1 && all > frm_vms_for_replicas (vms);
}

static void
choose_dedicated_model (const struct frm *f, struct frm_fabric_domain *d)
{
  struct model_vms t;
  unsigned vms = largest_domain_size (f, d);

  d->dedicated_model = d->s->nmodels;
  if (!frm_is_too_small_for_all_models (d, vms))
    return;
  d->dedicated_model = most_loaded_model (f, d);
  if (d->dedicated_model < d->s->nmodels)
    return;
  count_model_vms (f, d->s, &t);
  d->dedicated_model
      = least_supplied_in_service (d->s, &t, frm_vms_for_replicas (vms));
}

/**
 * Keeps the maximum, so that a domain is not dedicated to another model
 * because it has lost VMs.
 */
void
frm_update_domain_sizes (struct frm *f)
{
  unsigned *n = xcalloc (f->last_domain_number + 1, sizeof *n);

  for (size_t i = 0; i < f->nvms; i++)
    n[f->vms[i]->domain_number] += f->vms[i]->listed;
  f->domain_max_vms
      = xrealloc (f->domain_max_vms,
                  (f->last_domain_number + 1) * sizeof *f->domain_max_vms);
  for (size_t i = f->ndomain_max_vms; i <= f->last_domain_number; i++)
    f->domain_max_vms[i] = 0;
  f->ndomain_max_vms = f->last_domain_number + 1;
  for (size_t i = 0; i <= f->last_domain_number; i++)
    if (n[i] > f->domain_max_vms[i])
      f->domain_max_vms[i] = n[i];
  free (n);
}

/* --- all domains ------------------------------------------------------- */

void
frm_for_each_domain (struct frm *f,
                     void (*fn) (struct frm *f, struct frm_fabric_domain *d))
{
  bool *seen = xcalloc (f->last_domain_number + 1, sizeof *seen);

  for (size_t i = 0; i < f->nvms; i++)
    {
      const struct frm_vm *vm = f->vms[i];
      struct frm_fabric_domain d = { .s = frm_find_service (f, vm->service),
                                     .service = vm->service,
                                     .number = vm->domain_number };
      if (!d.s || vm->domain[0] == '\0' || seen[d.number])
        continue;
      seen[d.number] = true;
      choose_dedicated_model (f, &d);
      fn (f, &d);
    }
  free (seen);
}
