#include "serve/node-int.h"

/*
 * Logs each change of a model's replica plan, at most once a second, so that
 * an operator can find out later why a model had few replicas.
 */

#define LOOK_MS ((clk_ms)1000)

/** The last logged plan of one model. */
struct plan_row
{
  uint64_t model; /**< hash of the service and model names; 0: unused row */
  unsigned wanted, formed;
  uint64_t yielded;
};

struct srv_plan
{
  struct plan_row told[FRM_MODEL_ROWS];
  clk_ms looked_at;
};

static struct plan_row *
row_of (struct srv_plan *p, const struct frm_model *m)
{
  uint64_t model = str_hash (m->name, str_hash (m->service, 0));
  size_t i = 0;

  while (i < FRM_MODEL_ROWS && p->told[i].model && p->told[i].model != model)
    i++;
  /* If there are more models than rows, the surplus models share the last
     row. */
  if (i == FRM_MODEL_ROWS)
    i--;
  p->told[i].model = model;
  return &p->told[i];
}

static void
tell (const struct frm_model *m, struct plan_row *told, clk_ms age_ms)
{
  if (told->wanted == m->wanted && told->formed == m->formed
      && told->yielded == m->yielded)
    return;
  LOG (plan_changed, LOG_S ("service", m->service), LOG_S ("model", m->name),
       LOG_I ("wanted", m->wanted), LOG_I ("formed", m->formed),
       LOG_I ("wanted_before", told->wanted),
       LOG_I ("formed_before", told->formed),
       LOG_I ("requests", (long long)(m->requests + 0.5)),
       LOG_I ("yielded", m->yielded), LOG_I ("servers_age_ms", age_ms));
  told->wanted = m->wanted;
  told->formed = m->formed;
  told->yielded = m->yielded;
}

void
srv_plan_look (struct srv *s, struct frm *form, clk_ms now)
{
  struct srv_plan *p = s->plan;
  struct frm_model models[FRM_MODEL_ROWS];
  size_t n;

  if (now - p->looked_at < LOOK_MS)
    return;
  p->looked_at = now;
  n = frm_models (form, models);
  for (size_t i = 0; i < n; i++)
    tell (&models[i], row_of (p, &models[i]), srv_sync_list_age (s, now));
}

void
srv_plan_start (struct srv *s)
{
  s->plan = xcalloc (1, sizeof *s->plan);
}
