#include "serve/node-int.h"

/*
 * Logs each change of a model's replica plan, at most once a second, and each
 * change of the plan by demand, so that an operator can find out later why a
 * model had few replicas.
 */

#define CHECK_MS ((clk_ms)1000)

/** The last logged plan of one model. */
struct plan_row
{
  uint64_t model; /**< hash of the service and model names; 0: unused row */
  unsigned wanted, formed;
  uint64_t reassigned;
};

struct srv_plan
{
  struct plan_row logged[FRM_MODEL_ROWS];
  clk_ms checked_at;
};

static struct plan_row *
find_row (struct srv_plan *p, const struct frm_model *m)
{
  uint64_t model = str_hash (m->name, str_hash (m->service, 0));
  size_t i = 0;

  while (i < FRM_MODEL_ROWS && p->logged[i].model
         && p->logged[i].model != model)
    i++;
  /* If there are more models than rows, the surplus models share the last
     row. */
  if (i == FRM_MODEL_ROWS)
    i--;
  p->logged[i].model = model;
  return &p->logged[i];
}

static void
log_changes (const struct frm_model *m, struct plan_row *logged, clk_ms age_ms)
{
  if (logged->wanted == m->planned && logged->formed == m->open_or_forming
      && logged->reassigned == m->reassigned)
    return;
  LOG (plan_changed, LOG_S ("service", m->service), LOG_S ("model", m->name),
       LOG_I ("wanted", m->planned), LOG_I ("formed", m->open_or_forming),
       LOG_I ("wanted_before", logged->wanted),
       LOG_I ("formed_before", logged->formed),
       LOG_I ("requests", (long long)(m->requests + 0.5)),
       LOG_I ("yielded", m->reassigned), LOG_I ("servers_age_ms", age_ms));
  logged->wanted = m->planned;
  logged->formed = m->open_or_forming;
  logged->reassigned = m->reassigned;
}

/** Logs one line for each model, because the number of fields of an event is
    limited. */
static void
log_plan_change (const struct frm_plan_change *p)
{
  const struct alc_change *c = p->change;

  for (size_t k = 0; k < c->nmodels; k++)
    LOG (allocation_changed, LOG_S ("service", p->service),
         LOG_S ("model", p->models[k].name),
         LOG_S ("reason", str_from (alc_reason_name (c->reason))),
         LOG_I ("from", c->from[k]), LOG_I ("to", c->to[k]),
         LOG_I ("requests", (long long)(c->requests[k] + 0.5)),
         LOG_I ("utilization_from_percent",
                (long long)(100 * c->utilization_from[k] + 0.5)),
         LOG_I ("utilization_to_percent",
                (long long)(100 * c->utilization_to[k] + 0.5)),
         LOG_I ("urgency_percent", (long long)(100 * c->urgency[k])));
}

void
srv_plan_log_changes (struct srv *s, struct frm *form, clk_ms now)
{
  struct srv_plan *p = s->plan;
  struct frm_model models[FRM_MODEL_ROWS];
  struct frm_plan_change change;
  size_t n;

  while (frm_next_plan_change (form, &change))
    log_plan_change (&change);
  if (now - p->checked_at < CHECK_MS)
    return;
  p->checked_at = now;
  n = frm_models (form, models);
  for (size_t i = 0; i < n; i++)
    log_changes (&models[i], find_row (p, &models[i]),
                 srv_sync_list_age (s, now));
}

void
srv_plan_start (struct srv *s)
{
  s->plan = xcalloc (1, sizeof *s->plan);
}
