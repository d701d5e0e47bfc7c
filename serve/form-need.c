#include "serve/form-int.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/** Over how long requests are averaged: a load takes 12 to 16 s, so what ends
    sooner is no reason for one. */
#define AVERAGE_MS 8000.0
/** The average says nothing before. */
#define KNOWN_MS ((clk_ms)3000)

static struct frm_need *
need_of (struct frm *f, struct str service, struct str model)
{
  for (size_t i = 0; i < f->nneeds; i++)
    if (str_is (service, f->needs[i].service)
        && str_is (model, f->needs[i].model))
      return &f->needs[i];
  f->needs = xrealloc (f->needs, (f->nneeds + 1) * sizeof *f->needs);
  f->needs[f->nneeds] = (struct frm_need){ .service = str_dup (service),
                                           .model = str_dup (model),
                                           .since = f->now,
                                           .at = f->now };
  return &f->needs[f->nneeds++];
}

void
frm_demand (struct frm *f, clk_ms now, struct str service, struct str model,
            double requests)
{
  struct frm_need *n;
  double w;

  f->now = now;
  n = need_of (f, service, model);
  w = n->at == n->since ? 1 : 1 - exp (-(double)(now - n->at) / AVERAGE_MS);
  n->requests += w * (requests - n->requests);
  n->at = now;
}

double
frm_need (const struct frm *f, const char *service, struct str model)
{
  for (size_t i = 0; i < f->nneeds; i++)
    if (strcmp (f->needs[i].service, service) == 0
        && str_is (model, f->needs[i].model))
      return f->now - f->needs[i].since >= KNOWN_MS ? f->needs[i].requests
                                                    : -1;
  return -1;
}

void
frm_needs_free (struct frm *f)
{
  for (size_t i = 0; i < f->nneeds; i++)
    {
      free (f->needs[i].service);
      free (f->needs[i].model);
    }
  free (f->needs);
  f->needs = NULL;
  f->nneeds = 0;
}
