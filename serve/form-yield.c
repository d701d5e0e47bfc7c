#include "serve/form-plan.h"

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

/**
 * Closes replicas of model @p donor until enough VMs are available for one
 * more replica of model @p receiver.
 * @param dry_run only count the replicas that would be closed
 * @return number of replicas closed; 0: none needs to be closed, or closing
 *        all of them would not free enough VMs
 */
static unsigned
close_replicas_for (struct frm *f, const struct frm_fabric_domain *d,
                    size_t donor, size_t receiver, bool dry_run)
{
  const struct tbl_model *m = &d->s->models[receiver];
  unsigned vms = count_available_with_weights (f, d, m->name);
  unsigned closed = 0;

  for (size_t i = 0; i < f->nreplicas && vms < m->size; i++)
    {
      struct frm_replica *r = f->replicas[i];
      if (r->warm_spare || r->phase != FRM_PH_OPEN
          || !frm_replica_in_domain (r, d)
          || !str_is (d->s->models[donor].name, r->model))
        continue;
      vms += count_members_with_weights (f, r, m->name);
      closed++;
      if (dry_run)
        continue;
      frm_record_reassigned (f, r);
      frm_replica_close (f, r);
    }
  return vms >= m->size ? closed : 0;
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
          || closed >= n[donor]
          || !lowers_peak_utilization (f, d->s, n, donor, closed, receiver))
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
