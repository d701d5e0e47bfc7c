#include "serve/form-int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** After the last VM appeared: how long nothing is loaded on the side, as a
    replica may still be formed of what is there. */
#define ARRIVAL_MS ((clk_ms)1000)

#define MODELS_MOST 16 /* of one service */

/** Before there is traffic, a list that was read this long after the one that
    showed the last new VM, and shows none, has all that start with the system:
    they come some milliseconds to a tenth of a second apart. */
#define GATHER_MS ((clk_ms)200)
/** Where they keep appearing, replicas are formed of those that are there. */
#define GATHER_MOST_MS ((clk_ms)5000)

/** From so many VMs on, a domain keeps one out of its replicas, so that the
    loss of a VM finds one that can take its place.  A domain of fewer holds a
    replica of each of two models, of six and three VMs, and would lose one. */
#define SPARE_FROM 10

/** What it costs to use a VM for a model, least first. */
enum cost
{
  COST_SAME,   /**< it is loaded with this model */
  COST_STAGED, /**< its host's memory holds it */
  COST_EMPTY,  /**< it holds nothing that would be lost */
  COST_OTHER,  /**< it is warm for another model */
  COSTS
};

/** A fabric domain of one service, as the decisions below see it. */
struct domain
{
  const struct tbl_service *s;
  const char *service;
  unsigned number;            /**< frm_vm.domain_number */
  unsigned want[MODELS_MOST]; /**< replicas that its VMs suffice for */
  unsigned have[MODELS_MOST]; /**< that are there or on their way */
  unsigned warm[MODELS_MOST]; /**< free VMs that hold the model or load it */
  size_t main; /**< of a domain too small for a replica of each model, the one
                    that it is for; else the number of models */
};

static bool
in_domain (const struct frm_vm *vm, const struct domain *d)
{
  return vm->domain_number == d->number;
}

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

/* --- the plan of a domain ---------------------------------------------- */

/** How well @p n replicas of a model do for its part of the work. */
static double
supply (unsigned n, const struct tbl_model *m)
{
  return n / ((m->pace > 0 ? m->pace : 1) * (m->share > 0 ? m->share : 1e-3));
}

/** The model that is worst supplied and still fits; the larger one of two. */
static size_t
next_model (const struct domain *d, unsigned room)
{
  const struct tbl_service *s = d->s;
  size_t best = s->nmodels;

  for (size_t i = 0; i < s->nmodels && i < MODELS_MOST; i++)
    {
      double x = supply (d->want[i], &s->models[i]);
      if (s->models[i].size > room || s->models[i].size == 0)
        continue;
      if (best == s->nmodels || x < supply (d->want[best], &s->models[best])
          || (x <= supply (d->want[best], &s->models[best])
              && s->models[i].size > s->models[best].size))
        best = i;
    }
  return best;
}

static unsigned
count_usable (const struct frm *f, const struct domain *d)
{
  unsigned n = 0;

  for (size_t i = 0; i < f->nvms; i++)
    n += in_domain (f->vms[i], d) && frm_usable (f, f->vms[i]);
  return n;
}

/** VMs of @p n that replicas may take; the rest is to spare. */
static unsigned
room_of (unsigned n)
{
  return n >= SPARE_FROM ? n - 1 : n;
}

static void
want (struct domain *d, size_t k, unsigned *room)
{
  d->want[k]++;
  *room -= d->s->models[k].size;
}

static void
plan (const struct frm *f, struct domain *d)
{
  unsigned room = room_of (count_usable (f, d));
  size_t i;

  while (d->main < d->s->nmodels && d->s->models[d->main].size <= room)
    want (d, d->main, &room);
  while ((i = next_model (d, room)) < d->s->nmodels)
    want (d, i, &room);
}

/** All its members are of that domain. */
static bool
is_of_domain (const struct frm_group *g, const struct domain *d)
{
  bool any = false;

  for (size_t i = 0; i < g->n; i++)
    {
      if (g->members[i] && !in_domain (g->members[i], d))
        return false;
      any |= g->members[i] != NULL;
    }
  return any;
}

static void
count_replicas (const struct frm *f, struct domain *d)
{
  for (size_t i = 0; i < f->ngroups; i++)
    {
      const struct frm_group *g = f->groups[i];
      if (g->spare || g->phase > FRM_PH_OPEN || !is_of_domain (g, d))
        continue;
      for (size_t k = 0; k < d->s->nmodels && k < MODELS_MOST; k++)
        d->have[k] += str_is (d->s->models[k].name, g->model);
    }
}

/** The model that a free VM holds or loads, or nmodels. */
static size_t
held_model (const struct frm_vm *vm, const struct tbl_service *s)
{
  struct str name = vm->group ? str_from (vm->group->model) : vm->e.model;

  for (size_t k = 0; k < s->nmodels && k < MODELS_MOST; k++)
    if (str_eq (s->models[k].name, name))
      return k;
  return s->nmodels;
}

static void
count_warm (const struct frm *f, struct domain *d)
{
  for (size_t i = 0; i < f->nvms; i++)
    {
      const struct frm_vm *vm = f->vms[i];
      if (!in_domain (vm, d) || !frm_usable (f, vm)
          || (vm->group && !vm->group->spare))
        continue;
      size_t held = held_model (vm, d->s);
      for (size_t k = 0; k < d->s->nmodels && k < MODELS_MOST; k++)
        d->warm[k] += k == held
                      || (vm->e.part != BKS_JOINING
                          && frm_is_warm (vm, d->s->models[k].name));
    }
}

static void
look_at (const struct frm *f, struct domain *d)
{
  memset (d->want, 0, sizeof d->want);
  memset (d->have, 0, sizeof d->have);
  memset (d->warm, 0, sizeof d->warm);
  plan (f, d);
  count_replicas (f, d);
  count_warm (f, d);
}

/* --- domains too small for each model ----------------------------------- */

/*
 * Where a domain holds a replica of each model, each domain's plan by itself
 * serves all models.  Where it doesn't, each would choose the same one, and
 * callers of the other models are served nowhere.  Such a domain is for one
 * model, its main one: what its VMs hold, or else the model with the fewest
 * VMs over all domains for its share of the work.
 */

/** VMs that replicas of the models have, over all domains of a service. */
struct tally
{
  unsigned vms[MODELS_MOST];
};

static size_t
model_number (const struct tbl_service *s, const char *name)
{
  size_t k = 0;

  while (k < s->nmodels && k < MODELS_MOST
         && !str_is (s->models[k].name, name))
    k++;
  return k < MODELS_MOST ? k : s->nmodels;
}

static void
count_vms (const struct frm *f, const struct tbl_service *s, struct tally *t)
{
  memset (t, 0, sizeof *t);
  for (size_t i = 0; i < f->ngroups; i++)
    {
      const struct frm_group *g = f->groups[i];
      size_t k = model_number (s, g->model);
      if (!g->spare && g->phase <= FRM_PH_OPEN && k < s->nmodels
          && str_is (s->name, g->service))
        t->vms[k] += (unsigned)g->n;
    }
}

/** The model with the fewest VMs for its share that fits; the larger of two.
 */
static size_t
scarcest (const struct tbl_service *s, const struct tally *t, unsigned room)
{
  size_t best = s->nmodels;
  double least = 0;

  for (size_t k = 0; k < s->nmodels && k < MODELS_MOST; k++)
    {
      const struct tbl_model *m = &s->models[k];
      double x = t->vms[k] / (m->share > 0 ? m->share : 1e-3);
      if (m->size > room || m->size == 0)
        continue;
      if (best < s->nmodels
          && (x > least || (x >= least && m->size <= s->models[best].size)))
        continue;
      best = k;
      least = x;
    }
  return best;
}

/** The model that most of a domain's VMs hold or get, if any does. */
static size_t
most_held (const struct frm *f, const struct domain *d)
{
  unsigned n[MODELS_MOST] = { 0 };
  size_t best = d->s->nmodels;

  for (size_t i = 0; i < f->nvms; i++)
    {
      const struct frm_vm *vm = f->vms[i];
      struct str held = vm->group ? str_from (vm->group->model) : vm->e.model;
      if (!in_domain (vm, d) || (vm->group && vm->group->spare))
        continue;
      for (size_t k = 0; k < d->s->nmodels && k < MODELS_MOST; k++)
        n[k] += str_eq (d->s->models[k].name, held);
    }
  for (size_t k = 0; k < d->s->nmodels && k < MODELS_MOST; k++)
    if (n[k] > 0 && (best == d->s->nmodels || n[k] > n[best]))
      best = k;
  return best;
}

/** VMs of a service's largest domain.  Domains are built alike; one that has
    few may have lost the others, or they have yet to appear. */
static unsigned
domain_size (const struct frm *f, const struct domain *d)
{
  unsigned most = 0;

  for (size_t i = 0; i < f->nvms; i++)
    {
      const struct frm_vm *vm = f->vms[i];
      if (f->domain_vms[vm->domain_number] > most
          && strcmp (vm->service, d->service) == 0)
        most = f->domain_vms[vm->domain_number];
    }
  return most;
}

static bool
is_tight (const struct domain *d, unsigned vms)
{
  unsigned all = 0;

  for (size_t k = 0; k < d->s->nmodels; k++)
    all += d->s->models[k].size;
  return d->s->nmodels > 1 && all > room_of (vms);
}

static void
choose_main (const struct frm *f, struct domain *d)
{
  struct tally t;
  unsigned vms = domain_size (f, d);

  d->main = d->s->nmodels;
  if (!is_tight (d, vms))
    return;
  d->main = most_held (f, d);
  if (d->main < d->s->nmodels)
    return;
  count_vms (f, d->s, &t);
  d->main = scarcest (d->s, &t, room_of (vms));
}

/** The most VMs that were there at once: a domain that has lost some is not
    for another model therefore. */
static void
count_domains (struct frm *f)
{
  unsigned *n = xcalloc (f->domains + 1, sizeof *n);

  for (size_t i = 0; i < f->nvms; i++)
    n[f->vms[i]->domain_number] += f->vms[i]->present;
  f->domain_vms
      = xrealloc (f->domain_vms, (f->domains + 1) * sizeof *f->domain_vms);
  for (size_t i = f->ndomain_vms; i <= f->domains; i++)
    f->domain_vms[i] = 0;
  f->ndomain_vms = f->domains + 1;
  for (size_t i = 0; i <= f->domains; i++)
    if (n[i] > f->domain_vms[i])
      f->domain_vms[i] = n[i];
  free (n);
}

/* --- forming a replica ------------------------------------------------- */

struct choice
{
  struct frm_vm *members[FRM_MEMBERS];
  unsigned n;
  unsigned loads;
};

/** The cheapest free VMs of a domain for a replica of @p m. */
static bool
choose_members (const struct frm *f, const struct domain *d,
                const struct tbl_model *m, enum cost most, struct choice *out)
{
  memset (out, 0, sizeof *out);
  for (int cost = COST_SAME; cost <= (int)most; cost++)
    for (size_t i = 0; i < f->nvms && out->n < m->size; i++)
      {
        struct frm_vm *vm = f->vms[i];
        if (!in_domain (vm, d) || !is_free (f, vm)
            || cost_of (vm, m->name) != (enum cost)cost)
          continue;
        out->members[out->n++] = vm;
        out->loads += cost >= COST_EMPTY;
      }
  return out->n == m->size;
}

static struct str
new_name (struct frm *f, bool spare, char *text, size_t size)
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
joining_ms (const struct frm *f, const struct tbl_model *m,
            const struct choice *c)
{
  clk_ms ms = 0;

  for (unsigned i = 0; f->traffic && i < c->n; i++)
    if (cost_of (c->members[i], m->name) != COST_SAME)
      ms = m->warm_ms;
  return ms;
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
  g->ready_at = f->now + joining_ms (f, m, c);
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

/**
 * While VMs are still appearing, a domain's plan would be for those that are
 * there: small replicas take the VMs of a large one, and nothing gives them
 * back.  Before there is traffic nobody waits for a replica.
 */
static bool
is_gathering (const struct frm *f)
{
  return !f->traffic && f->asked_at - f->arrived_asked_at < GATHER_MS
         && f->now - f->gather_since < GATHER_MOST_MS;
}

/*
 * Once there is traffic, a load takes 12 to 16 s.  A replica that waits for
 * one member's load holds all its other members for as long, though a VM that
 * comes back, or a spare, might complete it at once.  So replicas are formed
 * of VMs that hold the model, and single VMs load it on the side.
 */
static bool
form_one (struct frm *f, struct domain *d)
{
  enum cost most = f->traffic ? COST_STAGED : COST_OTHER;

  if (is_gathering (f))
    return false;
  look_at (f, d);
  for (size_t k = 0; k < d->s->nmodels && k < MODELS_MOST; k++)
    {
      const struct tbl_model *m = &d->s->models[k];
      struct choice c;
      if (d->have[k] >= d->want[k] || m->size > FRM_MEMBERS
          || !choose_members (f, d, m, most, &c))
        continue;
      form (f, d->service, m, &c, false);
      return true;
    }
  return false;
}

/* --- loading on the side ----------------------------------------------- */

/** Free VMs that replicas of the model need that are missing. */
static unsigned
missing (const struct domain *d, size_t k)
{
  unsigned n = d->want[k] > d->have[k] ? d->want[k] - d->have[k] : 0;

  return n * d->s->models[k].size;
}

/** The model of which the most VMs are missing, in parts of a replica. */
static size_t
most_missing (const struct domain *d)
{
  size_t best = d->s->nmodels;
  double most = 0;

  for (size_t k = 0; k < d->s->nmodels && k < MODELS_MOST; k++)
    {
      unsigned need = missing (d, k);
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
least_covered (const struct domain *d)
{
  size_t best = d->s->nmodels;
  double least = 0, members_best = 0;

  for (size_t k = 0; k < d->s->nmodels && k < MODELS_MOST; k++)
    {
      double members = (double)d->want[k] * d->s->models[k].size;
      double spare = (double)d->warm[k] - missing (d, k);
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
may_change (const struct domain *d, const struct frm_vm *vm, size_t k)
{
  size_t held = held_model (vm, d->s);

  if (held == d->s->nmodels)
    return true;
  return held != k && d->warm[held] > missing (d, held) + 1
         && d->warm[k] <= missing (d, k);
}

static void
load_one (struct frm *f, struct domain *d, struct frm_vm *vm)
{
  struct choice c = { .members = { vm }, .n = 1 };
  size_t k = most_missing (d);

  if (k == d->s->nmodels)
    k = least_covered (d);
  if (k == d->s->nmodels || !may_change (d, vm, k)
      || frm_is_warm (vm, d->s->models[k].name))
    return;
  c.loads = !frm_is_warm (vm, d->s->models[k].name);
  if (!frm_may_load (f, d->s, c.loads))
    return;
  form (f, d->service, &d->s->models[k], &c, true);
  look_at (f, d);
}

static void
load_spares (struct frm *f, struct domain *d)
{
  look_at (f, d);
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (in_domain (vm, d) && is_free (f, vm) && vm->e.part != BKS_JOINING
          && (!vm->group || frm_is_ready (vm)))
        load_one (f, d, vm);
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

/** Call @p fn for each domain of a service whose replicas are formed here. */
static void
each_domain (struct frm *f, void (*fn) (struct frm *f, struct domain *d))
{
  bool *seen = xcalloc (f->domains + 1, sizeof *seen);

  for (size_t i = 0; i < f->nvms; i++)
    {
      const struct frm_vm *vm = f->vms[i];
      struct domain d = { .s = frm_service (f, vm->service),
                          .service = vm->service,
                          .number = vm->domain_number };
      if (!d.s || vm->domain[0] == '\0' || seen[d.number])
        continue;
      seen[d.number] = true;
      choose_main (f, &d);
      fn (f, &d);
    }
  free (seen);
}

static void
form_all (struct frm *f, struct domain *d)
{
  while (form_one (f, d))
    ;
}

void
frm_place (struct frm *f)
{
  count_domains (f);
  each_domain (f, form_all);
  if (f->settled && f->now - f->arrived_at >= ARRIVAL_MS)
    each_domain (f, load_spares);
}
