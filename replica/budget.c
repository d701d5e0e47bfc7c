#include <stdlib.h>

#include "replica/core.h"

/* A load that takes this many times longer than it should gives its turn to
   the next, so that one stuck VM does not hold up a whole domain. */
#define SLOT_FACTOR 4
#define SLOT_LEAST_MS ((clk_ms)60000)

void
bud_live (struct rep *r, struct str model, unsigned live)
{
  for (size_t i = 0; i < r->nlives; i++)
    if (str_is (model, r->lives[i].model))
      {
        r->lives[i].live = live;
        return;
      }
  r->lives = xrealloc (r->lives, (r->nlives + 1) * sizeof *r->lives);
  r->lives[r->nlives++] = (struct rep_live){ str_dup (model), live };
}

clk_ms
bud_load_ms (const struct rep *r, const struct cfg_model *m)
{
  double rate = r->cfg->policy.weight_gb_per_s;

  return rate > 0 ? (clk_ms)(1000 * m->weight_gb / rate) : 0;
}

/* Whole replicas of the model, everywhere if the shell told, else here; those
   that load here will be, and count already. */
static unsigned
live_replicas (const struct rep *r, const struct cfg_model *m)
{
  unsigned whole = 0, loading = 0;

  for (size_t i = 0; i < r->nreplicas; i++)
    if (r->replicas[i].model == m)
      {
        whole += r->replicas[i].complete;
        loading += r->replicas[i].has_slot;
      }
  for (size_t i = 0; i < r->nlives; i++)
    if (str_is (m->name, r->lives[i].model))
      whole = r->lives[i].live;
  return whole + loading;
}

static bool
is_loading (const struct rep *r, clk_ms now, const struct rep_replica *p)
{
  for (size_t i = 0; i < p->nvms; i++)
    {
      const struct rep_vm *vm = &r->vms[p->vms[i]];

      if (evd_present (vm, now) && !vm->said.ready && !vm->said.unloaded
          && vm->said.generation == p->generation
          && str_is (vm->said.replica, p->name))
        return true;
    }
  return false;
}

static bool
can_load (const struct rep *r, clk_ms now, const struct rep_replica *p)
{
  return p->managed && p->model && p->nvms && !p->complete
         && (p->state == RST_LOADING || p->state == RST_DEGRADED
             || p->state == RST_DRAINING)
         && !evd_member_missing (r, p, now);
}

static bool
slot_over (const struct rep *r, clk_ms now, const struct rep_replica *p)
{
  clk_ms most = SLOT_LEAST_MS;

  if (!can_load (r, now, p))
    return true;
  most += SLOT_FACTOR * bud_load_ms (r, p->model);
  return now - p->slot_since > most;
}

static bool
goes_before (const struct rep *r, const struct rep_replica *a,
             const struct rep_replica *b)
{
  unsigned la = live_replicas (r, a->model);
  unsigned lb = live_replicas (r, b->model);

  if (la != lb)
    return la < lb;
  /* A stuck one that gave its turn up goes last. */
  if (a->slot_since != b->slot_since)
    return a->slot_since < b->slot_since;
  return a->down_since < b->down_since;
}

/* Time for the weights that its members don't hold yet. */
static clk_ms
missing_load_ms (const struct rep *r, clk_ms now, const struct rep_replica *p)
{
  clk_ms all = bud_load_ms (r, p->model);
  size_t n = 0;

  for (size_t i = 0; i < p->nvms; i++)
    n += evd_unloaded (&r->vms[p->vms[i]], now);
  return all * (clk_ms)n / (clk_ms)p->nvms;
}

static void
give_slot (const struct rep *r, clk_ms now, struct rep_replica *p)
{
  p->has_slot = true;
  p->slot_since = now;
  p->slot_load_ms = missing_load_ms (r, now, p);
}

/*
 * The weight store gives a fixed rate.  When a whole domain comes back and
 * all of its replicas load at once, each gets a part of the rate and all are
 * whole only at the very end.  One at a time, the first serves after a
 * fraction of that time and the last hardly later; the model with the fewest
 * replicas alive goes first.
 */
void
bud_tick (struct rep *r, clk_ms now)
{
  struct rep_replica *first = NULL;
  bool busy = false;

  for (size_t i = 0; i < r->nreplicas; i++)
    {
      struct rep_replica *p = &r->replicas[i];

      if (p->has_slot && slot_over (r, now, p))
        p->has_slot = false;
      if (!can_load (r, now, p))
        continue;
      if (r->opt.no_budget || (!p->slot_since && is_loading (r, now, p)))
        give_slot (r, now, p);
      /* Once its weights should be there, the next may load while this one
         still starts. */
      busy = busy || (p->has_slot && now - p->slot_since <= p->slot_load_ms);
      if (!p->has_slot && (!first || goes_before (r, p, first)))
        first = p;
    }
  if (busy || !first || !r->turn || !r->owner)
    return;
  give_slot (r, now, first);
}
