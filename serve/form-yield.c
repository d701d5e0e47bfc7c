#include "serve/form-plan.h"

/*
 * A domain that has lost more VMs than it had to spare can't hold all its
 * replicas any more.  What is left of a large one waits for loads of many
 * seconds then, while smaller ones of another model beside it may have slots
 * that nobody asks for.  Such replicas close, and their VMs, whose hosts keep
 * the weights, complete the large one within seconds.
 *
 * A replica closes for another only if the busier of the two models is clearly
 * less busy then than the busier one is now, over all domains.
 */

/** The busier model has to be so much less busy afterwards: to close a replica
    moves callers, and what is known of requests is an average. */
#define BETTER 0.85

/** Replicas of each model over all domains of a service. */
static void
count_all (const struct frm *f, const struct tbl_service *s, unsigned *n)
{
  for (size_t k = 0; k < s->nmodels && k < FRM_MAX_MODELS; k++)
    n[k] = 0;
  for (size_t i = 0; i < f->nreplicas; i++)
    {
      const struct frm_replica *g = f->replicas[i];
      for (size_t k = 0; k < s->nmodels && k < FRM_MAX_MODELS; k++)
        n[k] += !g->spare && g->phase <= FRM_PH_OPEN
                && str_is (s->name, g->service)
                && str_is (s->models[k].name, g->model);
    }
}

/** Whether giving up @p given replicas of model @p a for one of @p b leaves
   the busier of the two less busy. */
static bool
is_better (const struct frm *f, const struct tbl_service *s, const unsigned *n,
           size_t a, unsigned given, size_t b)
{
  double a_now = frm_utilization (f, s, a, n[a]);
  double b_now = frm_utilization (f, s, b, n[b]);
  double a_then = frm_utilization (f, s, a, n[a] - given);
  double b_then = frm_utilization (f, s, b, n[b] + 1);
  double now = a_now > b_now ? a_now : b_now;
  double then = a_then > b_then ? a_then : b_then;

  return then < now * BETTER;
}

/** Whether the VM will soon be free to join a replica of that model without a
    load. */
static bool
is_coming (const struct frm *f, const struct frm_vm *vm, struct str model)
{
  if (!frm_is_usable (f, vm) || !frm_is_warm (vm, model))
    return false;
  if (!vm->replica)
    return true;
  return vm->replica->spare ? vm->entry.part != BKS_JOINING
                            : vm->replica->phase > FRM_PH_OPEN;
}

static unsigned
count_coming (const struct frm *f, const struct frm_domain *d,
              struct str model)
{
  unsigned n = 0;

  for (size_t i = 0; i < f->nvms; i++)
    n += frm_in_domain (f->vms[i], d) && is_coming (f, f->vms[i], model);
  return n;
}

/** Members that could join a replica of that model without a load. */
static unsigned
count_warm_members (const struct frm *f, const struct frm_replica *g,
                    struct str model)
{
  unsigned n = 0;

  for (size_t i = 0; i < g->nmembers; i++)
    n += g->members[i] && frm_is_usable (f, g->members[i])
         && frm_is_warm (g->members[i], model);
  return n;
}

/** Close replicas of model @p a until their VMs suffice for one of @p b, or,
   if
    @p dry, say how many that takes. @retval 0  they don't suffice */
static unsigned
give_up (struct frm *f, const struct frm_domain *d, size_t a, size_t b,
         bool dry)
{
  const struct tbl_model *m = &d->s->models[b];
  unsigned vms = count_coming (f, d, m->name);
  unsigned given = 0;

  for (size_t i = 0; i < f->nreplicas && vms < m->size; i++)
    {
      struct frm_replica *g = f->replicas[i];
      if (g->spare || g->phase != FRM_PH_OPEN || !frm_replica_in_domain (g, d)
          || !str_is (d->s->models[a].name, g->model))
        continue;
      vms += count_warm_members (f, g, m->name);
      given++;
      if (dry)
        continue;
      frm_count_reassigned (f, g);
      frm_replica_close (f, g);
    }
  return vms >= m->size ? given : 0;
}

static void
yield_for (struct frm *f, struct frm_domain *d, size_t b)
{
  unsigned n[FRM_MAX_MODELS];

  count_all (f, d->s, n);
  for (size_t a = 0; a < d->s->nmodels && a < FRM_MAX_MODELS; a++)
    {
      unsigned given;
      if (a == b || d->have[a] <= d->want[a])
        continue;
      given = give_up (f, d, a, b, true);
      if (given == 0 || given > d->have[a] - d->want[a] || given >= n[a]
          || !is_better (f, d->s, n, a, given, b))
        continue;
      give_up (f, d, a, b, false);
      return;
    }
}

static void
yield_in (struct frm *f, struct frm_domain *d)
{
  frm_plan_domain (f, d);
  for (size_t b = 0; b < d->s->nmodels && b < FRM_MAX_MODELS; b++)
    if (d->have[b] < d->want[b]
        && count_coming (f, d, d->s->models[b].name) < d->s->models[b].size)
      {
        yield_for (f, d, b);
        return;
      }
}

void
frm_reassign (struct frm *f)
{
  if (f->traffic && f->list_complete)
    frm_for_each_domain (f, yield_in);
}
