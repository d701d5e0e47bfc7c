#include <stdlib.h>
#include <string.h>

#include "replica/core.h"

/*
 * Upper bound of failure detection: a VM that dies right after a response
 * counts as missing once that response is REP_PROBE_VALID_MS old, or earlier
 * after REP_MAX_FAILURES failed probes, as when connections are refused.
 * Every view carries its oldest probe time, so that a gateway stops using the
 * replica by the same deadline even without further updates.
 */
bool
evd_present (const struct rep_vm *vm, clk_ms now)
{
  return vm->responded && vm->failures < REP_MAX_FAILURES
         && now - vm->responded_at < REP_PROBE_VALID_MS;
}

bool
evd_reports_ready (const struct rep_vm *vm, clk_ms now, struct str replica,
                   int64_t generation)
{
  return evd_present (vm, now) && vm->reported.ready && !vm->reported.unloaded
         && vm->reported.generation == generation
         && str_eq (vm->reported.replica, replica);
}

bool
evd_unloaded (const struct rep_vm *vm, clk_ms now)
{
  return evd_present (vm, now) && vm->reported.unloaded;
}

bool
evd_member_missing (const struct rep *r, const struct rep_replica *p,
                    clk_ms now)
{
  for (size_t i = 0; i < p->nvms; i++)
    if (!evd_present (&r->vms[p->vms[i]], now))
      return true;
  return !p->has_all_vms;
}

size_t
evd_reporting (const struct rep *r, clk_ms now, struct str replica,
               size_t *vms, int64_t *generation)
{
  size_t n = 0;

  *generation = 0;
  for (size_t i = 0; i < r->nvms; i++)
    {
      const struct rep_vm *vm = &r->vms[i];

      if (!vm->responded || vm->reported.generation <= 0
          || vm->reported.generation < *generation
          || !evd_reports_ready (vm, now, replica, vm->reported.generation))
        continue;
      if (vm->reported.generation > *generation)
        n = 0;
      *generation = vm->reported.generation;
      if (n < ASN_MAX_VMS)
        vms[n++] = i;
    }
  return n;
}

void
evd_apply_event (struct rep *r, struct rep_replica *p, const char *event)
{
  int next = chart_step (r->chart, p->state, chart_event (r->chart, event));

  if (next == CHART_REFUSED || next == p->state)
    return;
  p->state = next;
  rep_push (r, REP_VIEWS_CHANGED);
}

/* Scripts start the members of an unmanaged replica, possibly without a
   replica name: then only the configuration names it.  A member that reports a
   name must report this one. */
static bool
unmanaged_member_ready (const struct rep_vm *vm, clk_ms now,
                        const struct rep_replica *p, int64_t generation)
{
  return evd_reports_ready (vm, now, STR_EMPTY, 0)
         || (generation
             && evd_reports_ready (vm, now, str_from (p->name), generation));
}

static int64_t
unmanaged_generation (const struct rep *r, const struct rep_replica *p)
{
  const struct rep_vm *leader = &r->vms[p->vms[0]];

  return str_is (leader->reported.replica, p->name)
             ? leader->reported.generation
             : 0;
}

static bool
all_members_ready (const struct rep *r, const struct rep_replica *p,
                   clk_ms now)
{
  if (!p->nvms || !p->has_all_vms || p->state == RST_RELEASING)
    return false;
  for (size_t i = 0; i < p->nvms; i++)
    {
      const struct rep_vm *vm = &r->vms[p->vms[i]];

      if (p->managed
              ? !evd_reports_ready (vm, now, str_from (p->name), p->generation)
              : !unmanaged_member_ready (vm, now, p, p->generation))
        return false;
    }
  return true;
}

static void
aggregate_members (const struct rep *r, struct rep_replica *p)
{
  p->probed_at = p->nvms ? INT64_MAX : 0;
  p->inflight_tokens = 0;
  for (size_t i = 0; i < p->nvms; i++)
    {
      const struct rep_vm *vm = &r->vms[p->vms[i]];

      if (vm->responded_at < p->probed_at)
        p->probed_at = vm->responded_at;
      if (vm->reported.inflight_tokens > p->inflight_tokens)
        p->inflight_tokens = vm->reported.inflight_tokens;
    }
}

/* Until the assignment is first read (the store may be down for hours),
   running replicas stay in service: VMs that report the same replica and
   generation form it if there are as many as its model requires. */
static void
set_members_from_reports (const struct rep *r, clk_ms now,
                          struct rep_replica *p)
{
  size_t n
      = evd_reporting (r, now, str_from (p->name), p->vms, &p->generation);

  p->nvms = p->model && n == p->model->vms ? n : 0;
  p->has_all_vms = true;
}

/* Apply the assignment's entry to the replica: assigned, changed, releasing or
   removed. */
static void
apply_assignment (struct rep *r, struct rep_replica *p)
{
  const struct asn_entry *e = asn_find (&r->assignment, p->name);

  if (!e)
    {
      evd_apply_event (r, p, "released");
      p->generation = 0;
      return;
    }
  if (e->generation != p->generation)
    {
      p->generation = e->generation;
      evd_apply_event (r, p, "reform");
    }
  evd_apply_event (r, p, e->phase == ASN_RELEASING ? "release" : "assigned");
}

static void
set_complete (struct rep *r, clk_ms now, struct rep_replica *p, bool complete)
{
  if (complete == p->complete)
    return;
  p->complete = complete;
  if (complete)
    p->has_slot = false;
  else
    p->down_since = now;
  rep_push (r, REP_VIEWS_CHANGED);
}

void
evd_update (struct rep *r, clk_ms now, struct rep_replica *p)
{
  if (p->managed || !p->cfg)
    {
      if (r->has_assignment)
        apply_assignment (r, p);
      else
        set_members_from_reports (r, now, p);
    }
  else if (p->nvms)
    p->generation = unmanaged_generation (r, p);
  if (p->nvms && (!p->managed || !r->has_assignment))
    evd_apply_event (r, p, "assigned");
  aggregate_members (r, p);
  set_complete (r, now, p, all_members_ready (r, p, now));
  drn_update (r, now, p);
  evd_apply_event (r, p, p->draining ? "drain" : "undrain");
  if (p->complete)
    evd_apply_event (r, p, "whole");
  else if (p->state == RST_WHOLE || evd_member_missing (r, p, now))
    evd_apply_event (r, p, "lost");
}

void
evd_update_all (struct rep *r, clk_ms now)
{
  for (size_t i = 0; i < r->nreplicas; i++)
    evd_update (r, now, &r->replicas[i]);
}
