#include "serve/form-plan.h"

#include <stdlib.h>

/**
 * Time constant of the moving average of a model's requests.  It is several
 * times the length of a stream, so that a burst of a few seconds has little
 * effect.
 */
#define AVERAGING_MS ((clk_ms)5000)

/** Utilization of a model that has requests and no replica. */
#define UTILIZATION_NO_REPLICA 1e6

struct frm_demand *
frm_find_or_add_demand (struct frm *f, struct str service, struct str model)
{
  for (size_t i = 0; i < f->ndemands; i++)
    if (str_is (service, f->demands[i].service)
        && str_is (model, f->demands[i].model))
      return &f->demands[i];
  f->demands = xrealloc (f->demands, (f->ndemands + 1) * sizeof *f->demands);
  f->demands[f->ndemands] = (struct frm_demand){ .service = str_dup (service),
                                                 .model = str_dup (model),
                                                 .stored = -1 };
  return &f->demands[f->ndemands++];
}

void
frm_demand (struct frm *f, clk_ms now, struct str service, struct str model,
            double requests)
{
  struct frm_demand *d = frm_find_or_add_demand (f, service, model);
  double weight = (double)(now - d->updated_at) / (double)AVERAGING_MS;

  if (d->updated_at == 0 || weight > 1)
    weight = 1;
  d->requests += weight * (requests - d->requests);
  d->updated_at = now;
  frm_allocation_demand (f, now, service, model, requests);
}

double
frm_utilization (const struct frm *f, const struct tbl_service *s,
                 size_t model, unsigned n)
{
  for (size_t i = 0; i < f->ndemands; i++)
    {
      const struct frm_demand *d = &f->demands[i];
      if (!str_is (s->name, d->service)
          || !str_is (s->models[model].name, d->model) || d->requests <= 0)
        continue;
      if (n == 0)
        return UTILIZATION_NO_REPLICA * d->requests;
      return d->requests / ((double)n * (s->capacity ? s->capacity : 1));
    }
  return 0;
}

void
frm_record_reassigned (struct frm *f, const struct frm_replica *r)
{
  frm_find_or_add_demand (f, str_from (r->service), str_from (r->model))
      ->reassigned++;
}

static struct frm_model *
find_or_add_row (struct frm *f, const struct frm_fabric_domain *d, size_t k)
{
  struct str name = d->s->models[k].name;

  for (size_t i = 0; i < f->nrows; i++)
    if (str_eq (f->rows[i].service, d->s->name)
        && str_eq (f->rows[i].name, name))
      return &f->rows[i];
  if (f->nrows == FRM_MODEL_ROWS)
    return NULL;
  f->rows[f->nrows]
      = (struct frm_model){ .service = d->s->name, .name = name };
  return &f->rows[f->nrows++];
}

static void
add_domain_to_rows (struct frm *f, struct frm_fabric_domain *d)
{
  frm_plan_and_count (f, d);
  for (size_t k = 0; k < d->s->nmodels && k < FRM_MAX_MODELS; k++)
    {
      struct frm_model *row = find_or_add_row (f, d, k);
      if (!row)
        return;
      row->planned += d->planned[k];
      row->open_or_forming += d->open_or_forming[k];
      row->by_demand |= d->target != NULL;
    }
}

static double
row_utilization (const struct frm *f, const struct frm_model *row)
{
  const struct tbl_service *s = tbl_find_service (f->config, row->service);
  struct alc_model m = { .slots = s && s->capacity ? s->capacity : 1 };

  return alc_utilization (&m, row->requests, row->planned);
}

size_t
frm_models (struct frm *f, struct frm_model *out)
{
  f->rows = out;
  f->nrows = 0;
  if (f->config && f->leading && f->adopted)
    {
      frm_update_domain_sizes (f);
      frm_for_each_domain (f, add_domain_to_rows);
    }
  for (size_t i = 0; i < f->nrows; i++)
    {
      const struct frm_demand *d
          = frm_find_or_add_demand (f, out[i].service, out[i].name);
      out[i].requests = d->requests;
      out[i].utilization = row_utilization (f, &out[i]);
      out[i].reassigned = d->reassigned;
    }
  return f->nrows;
}

void
frm_demands_free (struct frm *f)
{
  for (size_t i = 0; i < f->ndemands; i++)
    {
      free (f->demands[i].service);
      free (f->demands[i].model);
    }
  free (f->demands);
}
