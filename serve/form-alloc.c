#include "serve/form-plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * The plan by demand over all domains of a service (serve/allocation.h).  It
 * is enabled for a service with two or more models whose VMs are in two or
 * more domains, if each domain has room for more than one replica of each
 * model and hosts keep weights in memory.  Without such hosts every change
 * would take a load from the weight store, during which the VMs serve no
 * model.
 *
 * The plan is not stored.  A new leader node starts from the replicas that the
 * VMs report.
 */

/** Relative change of a part from which the store is updated. */
#define PART_CHANGE 0.1
/** Relative change of the sum from which the store is updated. */
#define SUM_CHANGE 0.33
/** Larger stored values are errors. */
#define MAX_STORED 1e6
/** Smaller parts count as this one: a model with hardly any requests changes
    by a tenth all the time. */
#define MIN_PART 0.02

static struct frm_allocation *
find_allocation (const struct frm *f, struct str service)
{
  for (size_t i = 0; i < f->nallocations; i++)
    if (str_is (service, f->allocations[i].service))
      return &f->allocations[i];
  return NULL;
}

static uint64_t
models_hash (const struct tbl_service *s)
{
  uint64_t x = s->nmodels;

  for (size_t k = 0; k < s->nmodels; k++)
    x = str_hash (s->models[k].name, x) + s->models[k].size;
  return x;
}

/** Discards what was counted for other models.  They are identified by their
    index, so none is added, removed or exchanged. */
static void
check_models (struct frm_allocation *a, const struct tbl_service *s)
{
  if (a->models == models_hash (s))
    return;
  alc_free (a->core);
  a->core = alc_new ();
  a->models = models_hash (s);
  memset (a->urgency, 0, sizeof a->urgency);
  a->reported = true;
}

static struct frm_allocation *
find_or_add_allocation (struct frm *f, const struct tbl_service *s)
{
  struct frm_allocation *a = find_allocation (f, s->name);

  if (a)
    {
      check_models (a, s);
      return a;
    }
  f->allocations = xrealloc (f->allocations,
                             (f->nallocations + 1) * sizeof *f->allocations);
  a = &f->allocations[f->nallocations++];
  *a = (struct frm_allocation){ .service = str_dup (s->name),
                                .core = alc_new (),
                                .models = models_hash (s),
                                .reported = true };
  return a;
}

/** Index of the model, or ALC_MAX_MODELS. */
static size_t
find_model (const struct tbl_service *s, struct str model)
{
  for (size_t k = 0; k < s->nmodels && k < ALC_MAX_MODELS; k++)
    if (str_eq (s->models[k].name, model))
      return k;
  return ALC_MAX_MODELS;
}

void
frm_allocation_demand (struct frm *f, clk_ms now, struct str service,
                       struct str model, double requests)
{
  const struct tbl_service *s
      = f->config ? tbl_find_service (f->config, service) : NULL;

  if (s && find_model (s, model) < ALC_MAX_MODELS)
    alc_demand (find_or_add_allocation (f, s)->core, now,
                find_model (s, model), requests);
}

void
frm_urgency (struct frm *f, struct str service, struct str model,
             double priority)
{
  const struct tbl_service *s
      = f->config ? tbl_find_service (f->config, service) : NULL;

  if (s && find_model (s, model) < ALC_MAX_MODELS)
    find_or_add_allocation (f, s)->urgency[find_model (s, model)] = priority;
}

/* --- input ------------------------------------------------------------- */

/** Input of one service while it is collected. */
struct frm_alloc_input
{
  const struct tbl_service *s;
  struct alc_domain *domains;
  size_t n;
  /** A domain has no room for more than a replica of each model: it has no
      replica that it could exchange without losing a model. */
  bool too_small;
};

static void
count_weights (const struct frm *f, const struct frm_fabric_domain *d,
               unsigned *n)
{
  for (size_t i = 0; i < f->nvms; i++)
    {
      const struct frm_vm *vm = f->vms[i];
      if (!frm_in_domain (vm, d) || !frm_may_be_member (f, vm))
        continue;
      for (size_t k = 0; k < d->s->nmodels; k++)
        n[k] += frm_has_weights_in_memory (vm, d->s->models[k].name)
                && !(vm->replica && !vm->replica->warm_spare
                     && str_is (d->s->models[k].name, vm->replica->model));
    }
}

static unsigned
count_planned (const struct frm_fabric_domain *d)
{
  unsigned n = 0;

  for (size_t k = 0; k < d->s->nmodels; k++)
    n += d->planned[k];
  return n;
}

static void
add_domain (struct frm *f, struct frm_fabric_domain *d)
{
  struct frm_alloc_input *in = f->alloc_input;
  unsigned vms = f->domain_max_vms[d->number];
  struct alc_domain *x;

  if (d->s != in->s)
    return;
  in->domains = xrealloc (in->domains, (in->n + 1) * sizeof *in->domains);
  x = &in->domains[in->n++];
  *x = (struct alc_domain){ .id = d->number,
                            .vms = frm_vms_for_replicas (vms),
                            .usable = frm_vms_for_replicas (
                                frm_count_eligible_vms (f, d)) };
  frm_plan_and_count (f, d);
  memcpy (x->held, d->open_or_forming, sizeof x->held);
  frm_plan_by_shares (d, vms);
  memcpy (x->by_shares, d->planned, sizeof x->by_shares);
  in->too_small |= frm_is_too_small_for_all_models (d, vms)
                   || count_planned (d) <= d->s->nmodels;
  count_weights (f, d, x->with_weights);
}

static bool
has_stored_mix (struct frm *f, const struct tbl_service *s)
{
  for (size_t k = 0; k < s->nmodels; k++)
    if (frm_find_or_add_demand (f, s->name, s->models[k].name)->stored < 0)
      return false;
  return true;
}

static void
fill_models (struct frm *f, const struct frm_allocation *a,
             const struct tbl_service *s, struct alc_model *out)
{
  for (size_t k = 0; k < s->nmodels; k++)
    out[k] = (struct alc_model){
      .size = s->models[k].size,
      .slots = s->capacity ? s->capacity : 1,
      .urgency = a->urgency[k],
      .cold_ms = s->models[k].cold_load_ms,
      .stored = frm_find_or_add_demand (f, s->name, s->models[k].name)->stored
    };
}

static void
allocate_service (struct frm *f, const struct tbl_service *s)
{
  struct frm_allocation *a = find_or_add_allocation (f, s);
  struct frm_alloc_input in = { .s = s };
  struct alc_model models[ALC_MAX_MODELS];
  struct alc_input input = { .models = models, .nmodels = s->nmodels };

  if (!alc_is_due (a->core, f->now))
    return;
  f->alloc_input = &in;
  frm_for_each_domain (f, add_domain);
  f->alloc_input = NULL;
  a->enabled = in.n >= 2 && !in.too_small;
  fill_models (f, a, s, models);
  input.domains = in.domains;
  input.ndomains = in.n;
  if (a->enabled && alc_update (a->core, f->now, &input))
    {
      a->changed_at = f->now;
      a->reported = false;
    }
  free (in.domains);
}

void
frm_allocate (struct frm *f)
{
  if (!f->server_list_complete || frm_is_settling (f))
    return;
  for (size_t i = 0; i < f->config->nservices; i++)
    {
      const struct tbl_service *s = &f->config->services[i];
      if (s->nmodels >= 2 && s->nmodels <= ALC_MAX_MODELS
          && s->host_cache_models > 0
          && (f->had_traffic || has_stored_mix (f, s)))
        allocate_service (f, s);
    }
}

/* --- the mix in the store ------------------------------------------------ */

void
frm_set_stored_mix (struct frm *f, struct str service, struct str model,
                    double requests)
{
  frm_find_or_add_demand (f, service, model)->stored
      = requests >= 0 && requests <= MAX_STORED ? requests : -1;
}

void
frm_clear_stored_mix (struct frm *f)
{
  for (size_t i = 0; i < f->ndemands; i++)
    f->demands[i].stored = -1;
}

static bool
differs (double x, double y, double by)
{
  return fabs (x - y) >= by * fmax (x, y);
}

static double
part_of (double requests, double sum)
{
  return fmax (requests / sum, MIN_PART);
}

static bool
mix_differs (struct frm *f, const struct frm_mix *rows, size_t n)
{
  double sum = 0, stored_sum = 0;

  for (size_t i = 0; i < n; i++)
    {
      double stored
          = frm_find_or_add_demand (f, rows[i].service, rows[i].model)->stored;
      if (stored < 0)
        return true;
      sum += rows[i].requests;
      stored_sum += stored;
    }
  if (stored_sum <= 0 || differs (sum, stored_sum, SUM_CHANGE))
    return true;
  for (size_t i = 0; i < n; i++)
    {
      double stored
          = frm_find_or_add_demand (f, rows[i].service, rows[i].model)->stored;
      if (differs (part_of (rows[i].requests, sum),
                   part_of (stored, stored_sum), PART_CHANGE))
        return true;
    }
  return false;
}

/** Adds the rows of one service.
    @return their number; 0: its mean demand is not known, or hardly any */
static size_t
add_mix (const struct frm_allocation *a, clk_ms now,
         const struct tbl_service *s, struct frm_mix *out)
{
  double sum = 0;

  for (size_t k = 0; k < s->nmodels; k++)
    {
      double requests = alc_mean (a->core, now, k);
      if (requests < 0)
        return 0;
      out[k] = (struct frm_mix){ s->name, s->models[k].name, requests };
      sum += requests;
    }
  return sum >= 1 ? s->nmodels : 0;
}

size_t
frm_mix (struct frm *f, clk_ms now, struct frm_mix *out, bool *changed)
{
  size_t n = 0;

  *changed = false;
  for (size_t i = 0; i < f->nallocations; i++)
    {
      const struct frm_allocation *a = &f->allocations[i];
      const struct tbl_service *s = frm_find_service (f, a->service);
      size_t added;
      if (!s || !a->enabled || n + s->nmodels > FRM_MODEL_ROWS)
        continue;
      added = add_mix (a, now, s, &out[n]);
      *changed = *changed || (added && mix_differs (f, &out[n], added));
      n += added;
    }
  return n;
}

/* --- output ------------------------------------------------------------ */

const unsigned *
frm_allocated (const struct frm *f, const struct frm_fabric_domain *d)
{
  const struct frm_allocation *a = find_allocation (f, d->s->name);

  return a ? alc_target (a->core, d->number) : NULL;
}

clk_ms
frm_allocation_changed_at (const struct frm *f,
                           const struct frm_fabric_domain *d)
{
  const struct frm_allocation *a = find_allocation (f, d->s->name);

  return a ? a->changed_at : 0;
}

bool
frm_is_giving_up (const struct frm_fabric_domain *d, size_t model)
{
  return d->target && d->open_or_forming[model] > d->target[model];
}

bool
frm_next_plan_change (struct frm *f, struct frm_plan_change *out)
{
  for (size_t i = 0; i < f->nallocations; i++)
    {
      struct frm_allocation *a = &f->allocations[i];
      const struct tbl_service *s = frm_find_service (f, a->service);
      const struct alc_change *change = alc_last_change (a->core);
      if (a->reported || !s || s->nmodels != change->nmodels)
        continue;
      a->reported = true;
      *out = (struct frm_plan_change){ .service = s->name,
                                       .models = s->models,
                                       .change = change };
      return true;
    }
  return false;
}

void
frm_allocations_reset (struct frm *f)
{
  for (size_t i = 0; i < f->nallocations; i++)
    {
      alc_reset (f->allocations[i].core);
      f->allocations[i].enabled = false;
      f->allocations[i].changed_at = 0;
    }
}

void
frm_allocations_free (struct frm *f)
{
  for (size_t i = 0; i < f->nallocations; i++)
    {
      free (f->allocations[i].service);
      alc_free (f->allocations[i].core);
    }
  free (f->allocations);
}
