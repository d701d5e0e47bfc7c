#include "serve/form-plan.h"

#include <stdio.h>
#include <string.h>

/**
 * No warm spare is loaded until this long after the last VM appeared, because
 * the free VMs may still become part of a replica.
 */
#define ARRIVAL_QUIET_MS ((clk_ms)1000)

/**
 * Settle window at startup.  Servers that start together appear between some
 * milliseconds and a tenth of a second apart.  The window ends when
 * a list shows no new VM, and the read of that list was sent this long after
 * the read of the last list that showed one.
 */
#define SETTLE_WINDOW_MS ((clk_ms)200)
/** Upper limit of that wait, if VMs keep appearing. */
#define SETTLE_MAX_MS ((clk_ms)5000)

/* --- forming a replica ------------------------------------------------- */

/** VMs selected for one replica. */
struct selected_members
{
  struct frm_vm *members[FRM_MAX_MEMBERS];
  unsigned n;
  unsigned members_to_load; /**< members that must load the model */
};

/**
 * Selects the cheapest free VMs of the domain for a replica of @p m.
 *
 * All members come from one domain.  VMs that can't complete a replica within
 * their domain stay idle until another VM of the domain has loaded the model.
 * A replica across domains would communicate over a slower network.  At a
 * quarter of the network speed each of its requests is late, and its VMs are
 * not available when their own domain could use them.  In tests without these
 * replicas, the value of the requests served, less costs, was higher by 0.005
 * of the possible value (20 days with failures; by 0.008 on 10 days of another
 * workload), and lower by at most 0.009 on any day.
 */
static bool
choose_members (const struct frm *f, const struct frm_fabric_domain *d,
                const struct tbl_model *m, enum frm_cost max_cost,
                struct selected_members *out)
{
  memset (out, 0, sizeof *out);
  for (int cost = FRM_COST_LOADED; cost <= (int)max_cost; cost++)
    for (size_t i = 0; i < f->nvms && out->n < m->size; i++)
      {
        struct frm_vm *vm = f->vms[i];
        if (!frm_in_domain (vm, d) || !frm_is_assignable (f, vm)
            || frm_cost_of (vm, m->name) != (enum frm_cost)cost)
          continue;
        out->members[out->n++] = vm;
        /* From FRM_COST_EMPTY on, the VM must load the model. */
        out->members_to_load += cost >= FRM_COST_EMPTY;
      }
  return out->n == m->size;
}

static struct str
next_replica_name (struct frm *f, bool warm_spare, char *text, size_t size)
{
  int n = snprintf (text, size, "%c%lld", warm_spare ? 's' : 'r',
                    (long long)++f->generation);

  return str_make (text, (size_t)n);
}

/**
 * Minimum time until the members of @p c are ready.  Until then the server
 * list is not polled at the fast interval.  Each read is a paid call to the
 * store, and on a day with constant server crashes some replica is joining
 * half of the time.
 */
static clk_ms
min_joining_ms (const struct frm *f, const struct tbl_model *m,
                const struct selected_members *c)
{
  clk_ms ms = 0;

  for (unsigned i = 0; f->had_traffic && i < c->n; i++)
    if (frm_cost_of (c->members[i], m->name) != FRM_COST_LOADED)
      ms = m->warm_load_ms;
  return ms;
}

static void
form_replica (struct frm *f, const char *service, const struct tbl_model *m,
              const struct selected_members *c, bool warm_spare)
{
  char text[32];
  struct str name = next_replica_name (f, warm_spare, text, sizeof text);
  struct frm_replica *r
      = frm_replica_add (f, service, name, m->name, f->generation);

  r->warm_spare = warm_spare;
  r->earliest_ready_at = f->now + min_joining_ms (f, m, c);
  r->nmembers = c->n;
  for (unsigned i = 0; i < c->n; i++)
    {
      struct frm_vm *vm = c->members[i];
      if (vm->replica)
        /* This VM's replica is a warm spare, with no other member. */
        frm_replica_release (f, vm->replica);
      r->members[i] = vm;
      vm->replica = r;
      vm->next_order_at = f->now;
    }
  frm_record_loads (f, c->members_to_load);
}

bool
frm_is_settling (const struct frm *f)
{
  return !f->had_traffic
         && f->list_read_at - f->last_arrival_read_at < SETTLE_WINDOW_MS
         && f->now - f->first_arrival_at < SETTLE_MAX_MS;
}

/*
 * Once there is traffic, a load takes 12 to 16 s.  A replica that waits for
 * the load of one member would block all its other members for that time,
 * although a VM that returns, or a warm spare, could complete it at once.
 * Therefore replicas are formed only from VMs that have the model in their own
 * or their host's memory, and other VMs load it individually as warm spares.
 */
static bool
form_next_replica (struct frm *f, struct frm_fabric_domain *d)
{
  enum frm_cost max_cost
      = f->had_traffic ? FRM_COST_HOST_MEMORY : FRM_COST_OTHER_MODEL;

  if (frm_is_settling (f))
    return false;
  frm_plan_and_count (f, d);
  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    {
      const struct tbl_model *m = &d->s->models[k];
      struct selected_members c;
      if (d->open_or_forming[k] >= d->planned[k] || m->size > FRM_MAX_MEMBERS
          || !choose_members (f, d, m, max_cost, &c))
        continue;
      form_replica (f, d->service, m, &c, false);
      return true;
    }
  return false;
}

/* --- warm spares -------------------------------------------------------- */

/** VMs needed to form the planned but missing replicas of the model. */
static unsigned
missing_vms (const struct frm_fabric_domain *d, size_t k)
{
  unsigned n = d->planned[k] > d->open_or_forming[k]
                   ? d->planned[k] - d->open_or_forming[k]
                   : 0;

  return n * d->s->models[k].size;
}

/** Model with the most missing VMs, divided by the VMs of one replica. */
static size_t
most_missing_model (const struct frm_fabric_domain *d)
{
  size_t best = d->s->nmodels;
  double max = 0;

  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    {
      unsigned need = missing_vms (d, k);
      double missing_replicas = need > d->spares_with_model[k]
                                    ? (double)(need - d->spares_with_model[k])
                                          / d->s->models[k].size
                                    : 0;
      if (missing_replicas <= max)
        continue;
      best = k;
      max = missing_replicas;
    }
  return best;
}

/**
 * Model with the smallest ratio of surplus VMs to members of its planned
 * replicas; any member may fail.  A surplus VM is a spare that holds or loads
 * the model and is not needed for a missing replica.  Of two models with an
 * equal ratio, the one with more members is returned.
 */
static size_t
least_covered_model (const struct frm_fabric_domain *d)
{
  size_t best = d->s->nmodels;
  double least = 0, members_best = 0;

  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    {
      double members = (double)d->planned[k] * d->s->models[k].size;
      double surplus = (double)d->spares_with_model[k] - missing_vms (d, k);
      double x = members > 0 ? surplus / members : 1e9;
      if (best < d->s->nmodels
          && (x > least || (x >= least && members <= members_best)))
        continue;
      best = k;
      least = x;
      members_best = members;
    }
  return best;
}

/**
 * Whether the VM may load model @p k: it holds no model, or the model that it
 * holds has at least two surplus VMs and model @p k has none.
 */
static bool
may_load_model (const struct frm_fabric_domain *d, const struct frm_vm *vm,
                size_t k)
{
  size_t held = frm_held_or_loading_model (vm, d->s);

  if (held == d->s->nmodels)
    return true;
  return held != k && d->spares_with_model[held] > missing_vms (d, held) + 1
         && d->spares_with_model[k] <= missing_vms (d, k);
}

static void
load_warm_spare (struct frm *f, struct frm_fabric_domain *d, struct frm_vm *vm)
{
  struct selected_members c = { .members = { vm }, .n = 1 };
  size_t k = most_missing_model (d);

  if (k == d->s->nmodels)
    k = least_covered_model (d);
  if (k == d->s->nmodels || !may_load_model (d, vm, k)
      || frm_has_weights_in_memory (vm, d->s->models[k].name))
    return;
  c.members_to_load = !frm_has_weights_in_memory (vm, d->s->models[k].name);
  if (!frm_may_load (f, d->s, c.members_to_load))
    return;
  form_replica (f, d->service, &d->s->models[k], &c, true);
  frm_plan_and_count (f, d);
}

static void
load_domain_warm_spares (struct frm *f, struct frm_fabric_domain *d)
{
  frm_plan_and_count (f, d);
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (frm_in_domain (vm, d) && frm_is_assignable (f, vm)
          && vm->entry.member_state != BKS_JOINING
          && (!vm->replica || frm_is_ready (vm)))
        load_warm_spare (f, d, vm);
    }
}

/* --- all domains ------------------------------------------------------- */

static void
form_domain_replicas (struct frm *f, struct frm_fabric_domain *d)
{
  while (form_next_replica (f, d))
    ;
}

void
frm_assign_vms (struct frm *f)
{
  frm_for_each_domain (f, form_domain_replicas);
  if (f->server_list_complete && !frm_is_settling (f)
      && f->now - f->last_arrival_at >= ARRIVAL_QUIET_MS)
    frm_for_each_domain (f, load_domain_warm_spares);
}
