#include <stdlib.h>

#include "replica/core.h"

/* A replica loses its slot after SLOT_EXTRA_MS plus this multiple of its
   expected load time, so that one stuck VM does not block the whole domain. */
#define SLOT_MAX_FACTOR 4
#define SLOT_EXTRA_MS ((clk_ms)60000)

void
bud_set_complete_count (struct rep *r, struct str model, unsigned ncomplete)
{
  for (size_t i = 0; i < r->ncomplete_counts; i++)
    if (str_is (model, r->complete_counts[i].model))
      {
        r->complete_counts[i].live = ncomplete;
        return;
      }
  r->complete_counts
      = xrealloc (r->complete_counts,
                  (r->ncomplete_counts + 1) * sizeof *r->complete_counts);
  r->complete_counts[r->ncomplete_counts++]
      = (struct rep_complete_count){ str_dup (model), ncomplete };
}

clk_ms
bud_load_ms (const struct rep *r, const struct cfg_model *m)
{
  double rate = r->cfg->policy.weight_gb_per_s;

  return rate > 0 ? (clk_ms)(1000 * m->weight_gb / rate) : 0;
}

/* Complete replicas of the model, in all domains if the caller reported their
   number, plus those that are loading in this domain, which will be complete
   soon. */
static unsigned
count_complete_or_loading (const struct rep *r, const struct cfg_model *m)
{
  unsigned complete = 0, loading = 0;

  for (size_t i = 0; i < r->nreplicas; i++)
    if (r->replicas[i].model == m)
      {
        complete += r->replicas[i].complete;
        loading += r->replicas[i].has_slot;
      }
  for (size_t i = 0; i < r->ncomplete_counts; i++)
    if (str_is (m->name, r->complete_counts[i].model))
      complete = r->complete_counts[i].live;
  return complete + loading;
}

static bool
is_loading (const struct rep *r, clk_ms now, const struct rep_replica *p)
{
  for (size_t i = 0; i < p->nvms; i++)
    {
      const struct rep_vm *vm = &r->vms[p->vms[i]];

      if (evd_present (vm, now) && !vm->reported.ready
          && !vm->reported.unloaded && vm->reported.generation == p->generation
          && str_is (vm->reported.replica, p->name))
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
slot_expired (const struct rep *r, clk_ms now, const struct rep_replica *p)
{
  clk_ms limit_ms = SLOT_EXTRA_MS;

  if (!can_load (r, now, p))
    return true;
  limit_ms += SLOT_MAX_FACTOR * bud_load_ms (r, p->model);
  return now - p->slot_since > limit_ms;
}

static bool
loads_before (const struct rep *r, const struct rep_replica *a,
              const struct rep_replica *b)
{
  unsigned live_a = count_complete_or_loading (r, a->model);
  unsigned live_b = count_complete_or_loading (r, b->model);

  if (live_a != live_b)
    return live_a < live_b;
  /* A replica that lost its slot because its load was stuck goes last. */
  if (a->slot_since != b->slot_since)
    return a->slot_since < b->slot_since;
  return a->down_since < b->down_since;
}

/* Expected time to load the weights that the members don't hold yet. */
static clk_ms
remaining_load_ms (const struct rep *r, clk_ms now,
                   const struct rep_replica *p)
{
  clk_ms all = bud_load_ms (r, p->model);
  size_t n = 0;

  for (size_t i = 0; i < p->nvms; i++)
    n += evd_unloaded (&r->vms[p->vms[i]], now);
  return all * (clk_ms)n / (clk_ms)p->nvms;
}

static void
grant_slot (const struct rep *r, clk_ms now, struct rep_replica *p)
{
  p->has_slot = true;
  p->slot_since = now;
  p->expected_load_ms = remaining_load_ms (r, now, p);
}

/*
 * The weight store has a fixed bandwidth.  When all replicas of a domain load
 * at the same time, as after an outage, they share it and none is complete
 * before the end.  Loading one at a time, the first serves after a fraction of
 * that time and the last is hardly delayed.  The model with the fewest live
 * replicas loads first.
 */
void
bud_tick (struct rep *r, clk_ms now)
{
  struct rep_replica *first = NULL;
  bool busy = false;

  for (size_t i = 0; i < r->nreplicas; i++)
    {
      struct rep_replica *p = &r->replicas[i];

      if (p->has_slot && slot_expired (r, now, p))
        p->has_slot = false;
      if (!can_load (r, now, p))
        continue;
      if (r->opt.no_budget || (!p->slot_since && is_loading (r, now, p)))
        grant_slot (r, now, p);
      /* After the expected load time, the next replica may load while this one
         is still starting. */
      busy = busy
             || (p->has_slot && now - p->slot_since <= p->expected_load_ms);
      if (!p->has_slot && (!first || loads_before (r, p, first)))
        first = p;
    }
  if (busy || !first || !r->may_load || !r->owner)
    return;
  grant_slot (r, now, first);
}
