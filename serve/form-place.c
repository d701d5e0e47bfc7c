#include "serve/form-plan.h"

#include <stdio.h>
#include <string.h>

/** After the last VM appeared: how long nothing is loaded on the side, as a
    replica may still be formed of what is there. */
#define ARRIVAL_QUIET_MS ((clk_ms)1000)

/** Before there is traffic, a list that was read this long after the one that
    showed the last new VM, and shows none, has all that start with the system:
    they come some milliseconds to a tenth of a second apart. */
#define SETTLE_WINDOW_MS ((clk_ms)200)
/** Where they keep appearing, replicas are formed of those that are there. */
#define SETTLE_MAX_MS ((clk_ms)5000)

/* --- forming a replica ------------------------------------------------- */

struct choice
{
  struct frm_vm *members[FRM_MEMBERS];
  unsigned n;
  unsigned loads;
};

/** The cheapest free VMs of a domain for a replica of @p m. */
static bool
choose_members (const struct frm *f, const struct frm_domain *d,
                const struct tbl_model *m, enum frm_cost most,
                struct choice *out)
{
  memset (out, 0, sizeof *out);
  for (int cost = FRM_COST_LOADED; cost <= (int)most; cost++)
    for (size_t i = 0; i < f->nvms && out->n < m->size; i++)
      {
        struct frm_vm *vm = f->vms[i];
        if (!frm_in_domain (vm, d) || !frm_is_free (f, vm)
            || frm_cost_of (vm, m->name) != (enum frm_cost)cost)
          continue;
        out->members[out->n++] = vm;
        out->loads += cost >= FRM_COST_EMPTY;
      }
  return out->n == m->size;
}

static struct str
next_replica_name (struct frm *f, bool spare, char *text, size_t size)
{
  int n = snprintf (text, size, "%c%lld", spare ? 's' : 'r',
                    (long long)++f->generation);

  return str_make (text, (size_t)n);
}

/**
 * How long the members of @p c take to get ready at the least.  The list is
 * read often only from then on: each reading is a priced call, and in half of
 * a day on which servers crash all the time some replica is joining.
 */
static clk_ms
min_joining_ms (const struct frm *f, const struct tbl_model *m,
                const struct choice *c)
{
  clk_ms ms = 0;

  for (unsigned i = 0; f->traffic && i < c->n; i++)
    if (frm_cost_of (c->members[i], m->name) != FRM_COST_LOADED)
      ms = m->warm_ms;
  return ms;
}

static void
form_replica (struct frm *f, const char *service, const struct tbl_model *m,
              const struct choice *c, bool spare)
{
  char text[32];
  struct str name = next_replica_name (f, spare, text, sizeof text);
  struct frm_replica *r
      = frm_replica_add (f, service, name, m->name, f->generation);

  r->spare = spare;
  r->earliest_ready_at = f->now + min_joining_ms (f, m, c);
  r->nmembers = c->n;
  for (unsigned i = 0; i < c->n; i++)
    {
      struct frm_vm *vm = c->members[i];
      if (vm->replica)
        frm_replica_release (f, vm->replica);
      r->members[i] = vm;
      vm->replica = r;
      vm->next_order_at = f->now;
    }
  frm_count_loads (f, c->loads);
}

/**
 * While VMs are still appearing, a domain's plan would be for those that are
 * there: small replicas take the VMs of a large one, and nothing gives them
 * back.  Before there is traffic nobody waits for a replica.
 */
static bool
is_settling (const struct frm *f)
{
  return !f->traffic
         && f->list_requested_at - f->last_arrival_requested_at
                < SETTLE_WINDOW_MS
         && f->now - f->first_arrival_at < SETTLE_MAX_MS;
}

/*
 * Once there is traffic, a load takes 12 to 16 s.  A replica that waits for
 * one member's load holds all its other members for as long, though a VM that
 * comes back, or a spare, might complete it at once.  So replicas are formed
 * of VMs that hold the model, and single VMs load it on the side.
 */
static bool
form_next_replica (struct frm *f, struct frm_domain *d)
{
  enum frm_cost most = f->traffic ? FRM_COST_HOST_MEMORY : FRM_COST_OTHER;

  if (is_settling (f))
    return false;
  frm_plan_domain (f, d);
  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    {
      const struct tbl_model *m = &d->s->models[k];
      struct choice c;
      if (d->have[k] >= d->want[k] || m->size > FRM_MEMBERS
          || !choose_members (f, d, m, most, &c))
        continue;
      form_replica (f, d->service, m, &c, false);
      return true;
    }
  return false;
}

/* --- loading on the side ----------------------------------------------- */

/** Free VMs that replicas of the model need that are missing. */
static unsigned
missing_vms (const struct frm_domain *d, size_t k)
{
  unsigned n = d->want[k] > d->have[k] ? d->want[k] - d->have[k] : 0;

  return n * d->s->models[k].size;
}

/** The model of which the most VMs are missing, in parts of a replica. */
static size_t
most_missing_model (const struct frm_domain *d)
{
  size_t best = d->s->nmodels;
  double most = 0;

  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    {
      unsigned need = missing_vms (d, k);
      double part = need > d->warm[k]
                        ? (double)(need - d->warm[k]) / d->s->models[k].size
                        : 0;
      if (part <= most)
        continue;
      best = k;
      most = part;
    }
  return best;
}

/** The model with the fewest VMs to spare for the members that may be lost;
    of two, the one with more members. */
static size_t
least_covered_model (const struct frm_domain *d)
{
  size_t best = d->s->nmodels;
  double least = 0, members_best = 0;

  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    {
      double members = (double)d->want[k] * d->s->models[k].size;
      double spare = (double)d->warm[k] - missing_vms (d, k);
      double x = members > 0 ? spare / members : 1e9;
      if (best < d->s->nmodels
          && (x > least || (x >= least && members <= members_best)))
        continue;
      best = k;
      least = x;
      members_best = members;
    }
  return best;
}

/** Whether the VM may load @p k: it holds nothing, or of its kind at least two
    are to spare and of the other none. */
static bool
may_load_model (const struct frm_domain *d, const struct frm_vm *vm, size_t k)
{
  size_t held = frm_loaded_model_index (vm, d->s);

  if (held == d->s->nmodels)
    return true;
  return held != k && d->warm[held] > missing_vms (d, held) + 1
         && d->warm[k] <= missing_vms (d, k);
}

static void
load_spare (struct frm *f, struct frm_domain *d, struct frm_vm *vm)
{
  struct choice c = { .members = { vm }, .n = 1 };
  size_t k = most_missing_model (d);

  if (k == d->s->nmodels)
    k = least_covered_model (d);
  if (k == d->s->nmodels || !may_load_model (d, vm, k)
      || frm_is_warm (vm, d->s->models[k].name))
    return;
  c.loads = !frm_is_warm (vm, d->s->models[k].name);
  if (!frm_may_load (f, d->s, c.loads))
    return;
  form_replica (f, d->service, &d->s->models[k], &c, true);
  frm_plan_domain (f, d);
}

static void
load_domain_spares (struct frm *f, struct frm_domain *d)
{
  frm_plan_domain (f, d);
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (frm_in_domain (vm, d) && frm_is_free (f, vm)
          && vm->entry.part != BKS_JOINING
          && (!vm->replica || frm_is_ready (vm)))
        load_spare (f, d, vm);
    }
}

/*
 * What a domain has left over of a replica that nobody can repair stays idle
 * until a load has ended.  Formed into replicas with the leftovers of other
 * domains, which talk over a slower network, they were worth less than
 * nothing: without them 0.005 of what is owed is earned more (20 days with
 * failures; 0.008 on 10 of another workload), and no day lost more than 0.009.
 * At a quarter of the speed each request there is late, and the VMs are gone
 * when their domain could use them.
 */

/* --- all domains ------------------------------------------------------- */

static void
form_domain_replicas (struct frm *f, struct frm_domain *d)
{
  while (form_next_replica (f, d))
    ;
}

void
frm_assign_vms (struct frm *f)
{
  frm_for_each_domain (f, form_domain_replicas);
  if (f->list_complete && !is_settling (f)
      && f->now - f->last_arrival_at >= ARRIVAL_QUIET_MS)
    frm_for_each_domain (f, load_domain_spares);
}
