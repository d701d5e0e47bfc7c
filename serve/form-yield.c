#include "serve/form-plan.h"

#include <stdlib.h>

/*
 * A domain that has lost more VMs than it had spares can't hold all its
 * replicas any more.  The remaining VMs of a large replica would wait many
 * seconds until other VMs have loaded the weights, while smaller replicas of
 * another model in the domain may have unused slots.  Smaller replicas are
 * closed if their VMs' hosts hold the weights of the large model: these VMs
 * complete the large replica within seconds.
 *
 * A replica is closed for another model only if this clearly lowers the
 * utilization of the busier of the two models, over all domains.
 */

/**
 * Reassignment must lower the utilization of the busier model below this
 * fraction of its current value.  The margin is needed because the demand is
 * only an average, and because closing a replica moves its requests to other
 * replicas.
 */
#define MAX_UTILIZATION_RATIO 0.85

/** Counts the replicas of each model that are being formed or are open, over
    all domains of a service. */
static void
count_replicas_by_model (const struct frm *f, const struct tbl_service *s,
                         unsigned *n)
{
  for (size_t k = 0; k < s->nmodels && k < FRM_MAX_MODELS; k++)
    n[k] = 0;
  for (size_t i = 0; i < f->nreplicas; i++)
    {
      const struct frm_replica *r = f->replicas[i];
      for (size_t k = 0; k < s->nmodels && k < FRM_MAX_MODELS; k++)
        n[k] += !r->warm_spare && r->phase <= FRM_PH_OPEN
                && str_is (s->name, r->service)
                && str_is (s->models[k].name, r->model);
    }
}

/**
 * Whether closing @p closed replicas of model @p donor, to form one more
 * replica of model @p receiver, lowers the utilization of the busier model.
 */
static bool
lowers_peak_utilization (const struct frm *f, const struct tbl_service *s,
                         const unsigned *n, size_t donor, unsigned closed,
                         size_t receiver)
{
  double donor_before = frm_utilization (f, s, donor, n[donor]);
  double receiver_before = frm_utilization (f, s, receiver, n[receiver]);
  double donor_after = frm_utilization (f, s, donor, n[donor] - closed);
  double receiver_after = frm_utilization (f, s, receiver, n[receiver] + 1);
  double peak_before
      = donor_before > receiver_before ? donor_before : receiver_before;
  double peak_after
      = donor_after > receiver_after ? donor_after : receiver_after;

  return peak_after < peak_before * MAX_UTILIZATION_RATIO;
}

/**
 * Whether the VM can join a replica of @p model without loading its weights:
 * now, or once its current replica, which is being closed, has ended.
 */
static bool
is_available_with_weights (const struct frm *f, const struct frm_vm *vm,
                           struct str model)
{
  if (!frm_may_be_member (f, vm) || frm_is_evacuated (f, vm)
      || !frm_has_weights_in_memory (vm, model))
    return false;
  if (!vm->replica)
    return true;
  return vm->replica->warm_spare ? vm->entry.member_state != BKS_JOINING
                                 : vm->replica->phase > FRM_PH_OPEN;
}

static unsigned
count_available_with_weights (const struct frm *f,
                              const struct frm_fabric_domain *d,
                              struct str model)
{
  unsigned n = 0;

  for (size_t i = 0; i < f->nvms; i++)
    n += frm_in_domain (f->vms[i], d)
         && is_available_with_weights (f, f->vms[i], model);
  return n;
}

static unsigned
count_members_with_weights (const struct frm *f, const struct frm_replica *r,
                            struct str model)
{
  unsigned n = 0;

  for (size_t i = 0; i < r->nmembers; i++)
    n += r->members[i] && frm_may_be_member (f, r->members[i])
         && !frm_is_evacuated (f, r->members[i])
         && frm_has_weights_in_memory (r->members[i], model);
  return n;
}

/* --- replicas to close --------------------------------------------------- */

/** A replica that may close for another model. */
struct candidate
{
  struct frm_replica *r;
  unsigned
      with_weights; /**< members that can join the other model's replica */
};

static int
compare_candidates (const void *a, const void *b)
{
  const struct candidate *x = a, *y = b;

  if (x->with_weights != y->with_weights)
    return x->with_weights < y->with_weights ? 1 : -1;
  return x->r->generation < y->r->generation ? -1 : 1;
}

/**
 * Lists the open replicas of model @p donor in the domain.  If the plan by
 * demand gives replicas up, those with the most members that hold the weights
 * of model @p receiver come first.
 * @return an array that the caller frees
 */
static struct candidate *
list_candidates (const struct frm *f, const struct frm_fabric_domain *d,
                 size_t donor, size_t receiver, size_t *n)
{
  struct candidate *list = xcalloc (f->nreplicas + 1, sizeof *list);

  *n = 0;
  for (size_t i = 0; i < f->nreplicas; i++)
    {
      struct frm_replica *r = f->replicas[i];
      if (r->warm_spare || r->phase != FRM_PH_OPEN
          || !frm_replica_in_domain (r, d)
          || !str_is (d->s->models[donor].name, r->model))
        continue;
      list[*n].r = r;
      list[(*n)++].with_weights
          = count_members_with_weights (f, r, d->s->models[receiver].name);
    }
  if (frm_is_giving_up (d, donor))
    qsort (list, *n, sizeof *list, compare_candidates);
  return list;
}

/**
 * After this, a replica closes although the hosts of only a part of its
 * members hold the weights of the other model: some VM may never carry out the
 * order to preload.
 * @param vms  number of VMs that have to hold the weights
 */
static clk_ms
preload_deadline (const struct frm *f, const struct frm_fabric_domain *d,
                  size_t receiver, unsigned vms)
{
  clk_ms ms = 3 * d->s->models[receiver].cold_load_ms;

  if (d->s->loads_per_s > 0)
    ms += (clk_ms)(vms * (double)CLK_SECOND
                   / (d->s->loads_per_s * FRM_LOADS_SHARE));
  return frm_allocation_changed_at (f, d) + ms;
}

unsigned
frm_vms_to_prepare (const struct frm *f, const struct frm_fabric_domain *d,
                    size_t donor, size_t receiver)
{
  unsigned size = d->s->models[receiver].size;
  unsigned missing = d->planned[receiver] > d->open_or_forming[receiver]
                         ? d->planned[receiver] - d->open_or_forming[receiver]
                         : 0;
  unsigned vms = (d->open_or_forming[donor] > d->planned[donor]
                      ? d->open_or_forming[donor] - d->planned[donor]
                      : 0)
                 * d->s->models[donor].size;

  if (missing == 0 || vms == 0 || size == 0)
    return 0;
  for (size_t i = 0; i < f->nvms; i++)
    vms += frm_in_domain (f->vms[i], d) && frm_is_assignable (f, f->vms[i]);
  return (missing < vms / size ? missing : vms / size) * size;
}

/** VMs with the weights that must be available before replicas close. */
static unsigned
vms_required (const struct frm *f, const struct frm_fabric_domain *d,
              size_t donor, size_t receiver)
{
  unsigned size = d->s->models[receiver].size, all;

  if (!frm_is_giving_up (d, donor))
    return size;
  all = frm_vms_to_prepare (f, d, donor, receiver);
  if (f->now >= preload_deadline (f, d, receiver, all))
    return size;
  return all > size ? all : size;
}

/**
 * Closes replicas of model @p donor until enough VMs are available for one
 * more replica of model @p receiver, or for all that the plan by demand has.
 * @param dry_run only count the replicas that would be closed
 * @return number of replicas closed; 0: none needs to be closed, or closing
 *        all of them would not free enough VMs
 */
static unsigned
close_replicas_for (struct frm *f, const struct frm_fabric_domain *d,
                    size_t donor, size_t receiver, bool dry_run)
{
  unsigned required = vms_required (f, d, donor, receiver);
  unsigned vms
      = count_available_with_weights (f, d, d->s->models[receiver].name);
  unsigned closed = 0;
  size_t n;
  struct candidate *list = list_candidates (f, d, donor, receiver, &n);

  for (size_t i = 0; i < n && vms < required; i++)
    {
      vms += list[i].with_weights;
      closed++;
      if (dry_run)
        continue;
      frm_record_reassigned (f, list[i].r);
      frm_replica_close (f, list[i].r);
    }
  free (list);
  return vms >= required ? closed : 0;
}

static void
reassign_to_model (struct frm *f, struct frm_fabric_domain *d, size_t receiver)
{
  unsigned n[FRM_MAX_MODELS];

  count_replicas_by_model (f, d->s, n);
  for (size_t donor = 0; donor < d->s->nmodels && donor < FRM_MAX_MODELS;
       donor++)
    {
      unsigned closed;
      if (donor == receiver || d->open_or_forming[donor] <= d->planned[donor])
        continue;
      closed = close_replicas_for (f, d, donor, receiver, true);
      if (closed == 0 || closed > d->open_or_forming[donor] - d->planned[donor]
          || closed >= n[donor])
        continue;
      /* The plan by demand has compared the utilizations already. */
      if (!frm_is_giving_up (d, donor)
          && !lowers_peak_utilization (f, d->s, n, donor, closed, receiver))
        continue;
      close_replicas_for (f, d, donor, receiver, false);
      return;
    }
}

static void
reassign_in_domain (struct frm *f, struct frm_fabric_domain *d)
{
  frm_plan_and_count (f, d);
  for (size_t receiver = 0;
       receiver < d->s->nmodels && receiver < FRM_MAX_MODELS; receiver++)
    if (d->open_or_forming[receiver] < d->planned[receiver]
        && count_available_with_weights (f, d, d->s->models[receiver].name)
               < d->s->models[receiver].size)
      {
        reassign_to_model (f, d, receiver);
        return;
      }
}

void
frm_reassign (struct frm *f)
{
  if (f->had_traffic && f->server_list_complete)
    frm_for_each_domain (f, reassign_in_domain);
}
