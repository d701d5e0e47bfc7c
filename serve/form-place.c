#include "serve/form-int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** After the last VM appeared: how long a smaller replica is not formed from
    what a larger one, which is needed more, may still get complete. */
#define ARRIVAL_MS ((clk_ms)1000)

/** What it costs to use a VM for a model, least first. */
enum cost
{
  COST_SAME,   /**< it is loaded with this model */
  COST_STAGED, /**< its host's memory holds it */
  COST_EMPTY,  /**< it holds nothing that would be lost */
  COST_OTHER,  /**< it is warm for another model */
  COSTS
};

static bool
is_free (const struct frm *f, const struct frm_vm *vm)
{
  return frm_usable (f, vm) && !vm->order && vm->e.domain.len > 0
         && vm->e.part < BKS_OPEN && (!vm->group || vm->group->spare);
}

static enum cost
cost_of (const struct frm_vm *vm, struct str model)
{
  /* One that is still loading is as far from ready as an empty one. */
  bool loading = vm->e.part == BKS_JOINING;

  if (str_eq (vm->e.model, model) && !loading)
    return COST_SAME;
  if (frm_is_warm (vm, model) && !loading)
    return COST_STAGED;
  return vm->e.model.len ? COST_OTHER : COST_EMPTY;
}

/* --- a replica's members ----------------------------------------------- */

struct choice
{
  struct frm_vm *members[FRM_MEMBERS];
  unsigned n;
  unsigned loads;
  unsigned free; /**< in the domain */
};

/** The cheapest free VMs of a domain for a replica of @p m. */
static bool
choose_members (const struct frm *f, const char *service, const char *domain,
                const struct tbl_model *m, struct choice *out)
{
  memset (out, 0, sizeof *out);
  for (int cost = COST_SAME; cost < COSTS; cost++)
    for (size_t i = 0; i < f->nvms; i++)
      {
        struct frm_vm *vm = f->vms[i];
        if (strcmp (vm->service, service) != 0
            || strcmp (vm->domain, domain) != 0 || !is_free (f, vm)
            || cost_of (vm, m->name) != (enum cost)cost)
          continue;
        out->free++;
        if (out->n >= m->size)
          continue;
        out->members[out->n++] = vm;
        out->loads += cost >= COST_EMPTY;
      }
  return out->n == m->size && m->size <= FRM_MEMBERS;
}

static struct str
new_name (struct frm *f, bool spare, char *text, size_t size)
{
  int n = snprintf (text, size, "%c%lld", spare ? 's' : 'r',
                    (long long)++f->generation);

  return str_make (text, (size_t)n);
}

static void
form (struct frm *f, const char *service, const struct tbl_model *m,
      const struct choice *c, bool spare)
{
  char text[32];
  struct str name = new_name (f, spare, text, sizeof text);
  struct frm_group *g
      = frm_group_add (f, service, name, m->name, f->generation);

  g->spare = spare;
  g->n = c->n;
  for (unsigned i = 0; i < c->n; i++)
    {
      struct frm_vm *vm = c->members[i];
      if (vm->group)
        frm_group_over (f, vm->group);
      g->members[i] = vm;
      vm->group = g;
      vm->next_order = f->now;
    }
  frm_count_loads (f, c->loads);
}

/* --- which model next -------------------------------------------------- */

/** Work that the model's replicas can do, for its part of the work. */
static double
supply (const struct frm *f, const char *service, const struct tbl_model *m)
{
  double n = 0;

  for (size_t i = 0; i < f->ngroups; i++)
    {
      const struct frm_group *g = f->groups[i];
      if (!g->spare && g->phase <= FRM_PH_OPEN
          && strcmp (g->service, service) == 0 && str_is (m->name, g->model))
        n++;
    }
  return n / ((m->pace > 0 ? m->pace : 1) * (m->share > 0 ? m->share : 1e-3));
}

/** Best choice over all domains: the fewest loads, then the most free VMs. */
static bool
choose_domain (const struct frm *f, const struct tbl_service *s,
               const struct tbl_model *m, struct choice *best)
{
  char service[256];
  bool found = false;

  snprintf (service, sizeof service, "%.*s", STR_ARG (s->name));
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct choice c;
      const char *domain = f->vms[i]->domain;
      bool seen = false;
      for (size_t k = 0; k < i && !seen; k++)
        seen = strcmp (f->vms[k]->domain, domain) == 0;
      if (seen || !choose_members (f, service, domain, m, &c))
        continue;
      if (found
          && (c.loads > best->loads
              || (c.loads == best->loads && c.free <= best->free)))
        continue;
      *best = c;
      found = true;
    }
  return found;
}

/** Models of a service, the one with the least supply first. */
static size_t
by_need (const struct frm *f, const struct tbl_service *s, const char *service,
         const struct tbl_model **out)
{
  double need[16];
  size_t n = 0;

  for (size_t i = 0; i < s->nmodels && i < 16; i++)
    {
      double x = supply (f, service, &s->models[i]);
      size_t at = n++;
      for (; at > 0 && need[at - 1] > x; at--)
        {
          need[at] = need[at - 1];
          out[at] = out[at - 1];
        }
      need[at] = x;
      out[at] = &s->models[i];
    }
  return n;
}

/** Form one replica if there is one to form. */
static bool
form_one (struct frm *f, const struct tbl_service *s, const char *service)
{
  const struct tbl_model *order[16];
  size_t n = by_need (f, s, service, order);

  for (size_t i = 0; i < n; i++)
    {
      struct choice c;
      if (choose_domain (f, s, order[i], &c))
        {
          /* While VMs appear, one that holds the weights may be next. */
          if (c.loads && f->traffic && f->now - f->arrived_at < ARRIVAL_MS)
            return false;
          if (!frm_may_load (f, s, c.loads))
            return false;
          form (f, service, order[i], &c, false);
          return true;
        }
      if (f->now - f->arrived_at < ARRIVAL_MS)
        return false;
    }
  return false;
}

/* --- warm spares ------------------------------------------------------- */

/** Free VMs of a domain that could join a replica of @p m at once. */
static unsigned
count_warm (const struct frm *f, const char *domain, const struct tbl_model *m)
{
  unsigned n = 0;

  for (size_t i = 0; i < f->nvms; i++)
    {
      const struct frm_vm *vm = f->vms[i];
      if (strcmp (vm->domain, domain) != 0 || !frm_usable (f, vm))
        continue;
      if (vm->group)
        n += vm->group->spare && str_is (m->name, vm->group->model);
      else
        n += str_eq (vm->e.model, m->name);
    }
  return n;
}

static void
warm_up (struct frm *f, const struct tbl_service *s, struct frm_vm *vm)
{
  const struct tbl_model *want = NULL;
  unsigned least = 0, held = 0;
  struct choice c = { .members = { vm }, .n = 1 };

  for (size_t i = 0; i < s->nmodels; i++)
    {
      const struct tbl_model *m = &s->models[i];
      unsigned n = count_warm (f, vm->domain, m);
      if (str_eq (vm->e.model, m->name))
        held = n;
      if (!want || n < least || (n == least && m->size > want->size))
        {
          want = m;
          least = n;
        }
    }
  /* One that is warm already changes only if its kind is there twice and
     another not at all. */
  if (!want || (vm->e.model.len && (least > 0 || held < 2)))
    return;
  c.loads = !frm_is_warm (vm, want->name);
  if (!frm_may_load (f, s, 2 * c.loads))
    return; /* repairs go first */
  form (f, vm->service, want, &c, true);
}

/*
 * A replica that loses a VM takes 12 to 16 s to load a new member's weights,
 * and about a second when the new member holds them.  So VMs that no replica
 * can be formed of load a model and wait.
 */
static void
warm_spares (struct frm *f, const struct tbl_service *s)
{
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (str_is (s->name, vm->service) && is_free (f, vm)
          && (!vm->group || vm->e.part == BKS_READY))
        warm_up (f, s, vm);
    }
}

void
frm_place (struct frm *f)
{
  char service[256];

  for (size_t i = 0; i < f->table->nservices; i++)
    {
      const struct tbl_service *s = &f->table->services[i];
      if (s->nmodels == 0)
        continue;
      snprintf (service, sizeof service, "%.*s", STR_ARG (s->name));
      while (form_one (f, s, service))
        ;
      if (f->now - f->arrived_at >= ARRIVAL_MS)
        warm_spares (f, s);
    }
}
