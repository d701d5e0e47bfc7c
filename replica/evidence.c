#include <stdlib.h>
#include <string.h>

#include "replica/core.h"

/*
 * Detection bound: a VM that dies right after an answer is missing when that
 * answer is REP_PROBE_VALID_MS old, or after REP_FAILURES failed probes, which
 * is earlier when connections are refused.  Every view carries the age of its
 * evidence, so that a gateway stops by the same bound even if it hears
 * nothing more from here.
 */
bool
evd_present (const struct rep_vm *vm, clk_ms now)
{
  return vm->answered && vm->failures < REP_FAILURES
         && now - vm->answered_at < REP_PROBE_VALID_MS;
}

bool
evd_matches (const struct rep_vm *vm, clk_ms now, struct str replica,
             int64_t generation)
{
  return evd_present (vm, now) && vm->said.ready && !vm->said.unloaded
         && vm->said.generation == generation
         && str_eq (vm->said.replica, replica);
}

bool
evd_unloaded (const struct rep_vm *vm, clk_ms now)
{
  return evd_present (vm, now) && vm->said.unloaded;
}

bool
evd_member_missing (const struct rep *r, const struct rep_replica *p,
                    clk_ms now)
{
  for (size_t i = 0; i < p->nvms; i++)
    if (!evd_present (&r->vms[p->vms[i]], now))
      return true;
  return !p->declared_all;
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

      if (!vm->answered || vm->said.generation <= 0
          || vm->said.generation < *generation
          || !evd_matches (vm, now, replica, vm->said.generation))
        continue;
      if (vm->said.generation > *generation)
        n = 0;
      *generation = vm->said.generation;
      if (n < ASN_MAX_VMS)
        vms[n++] = i;
    }
  return n;
}

void
evd_step (struct rep *r, struct rep_replica *p, const char *event)
{
  int next = chart_step (r->chart, p->state, chart_event (r->chart, event));

  if (next == CHART_REFUSED || next == p->state)
    return;
  p->state = next;
  rep_push (r, REP_VIEWS_CHANGED);
}

/* A replica that gets no orders keeps what its scripts gave it: members that
   name no replica count, as the declaration is then the only word there is.
   Members that do name one must agree on it. */
static bool
declared_member_matches (const struct rep_vm *vm, clk_ms now,
                         const struct rep_replica *p, int64_t generation)
{
  return evd_matches (vm, now, STR_EMPTY, 0)
         || (generation
             && evd_matches (vm, now, str_from (p->name), generation));
}

static int64_t
declared_generation (const struct rep *r, const struct rep_replica *p)
{
  const struct rep_vm *leader = &r->vms[p->vms[0]];

  return str_is (leader->said.replica, p->name) ? leader->said.generation : 0;
}

static bool
all_match (const struct rep *r, const struct rep_replica *p, clk_ms now)
{
  if (!p->nvms || !p->declared_all || p->state == RST_RELEASING)
    return false;
  for (size_t i = 0; i < p->nvms; i++)
    {
      const struct rep_vm *vm = &r->vms[p->vms[i]];

      if (p->managed
              ? !evd_matches (vm, now, str_from (p->name), p->generation)
              : !declared_member_matches (vm, now, p, p->generation))
        return false;
    }
  return true;
}

static void
gather (const struct rep *r, struct rep_replica *p)
{
  p->probed_at = p->nvms ? INT64_MAX : 0;
  p->load = 0;
  for (size_t i = 0; i < p->nvms; i++)
    {
      const struct rep_vm *vm = &r->vms[p->vms[i]];

      if (vm->answered_at < p->probed_at)
        p->probed_at = vm->answered_at;
      if (vm->said.load > p->load)
        p->load = vm->said.load;
    }
}

/* Before the assignment could be read (the store may be down for hours) what
   runs goes on: VMs that name the same replica and generation are that
   replica when there are as many of them as its model has. */
static void
members_by_report (const struct rep *r, clk_ms now, struct rep_replica *p)
{
  size_t n
      = evd_reporting (r, now, str_from (p->name), p->vms, &p->generation);

  p->nvms = p->model && n == p->model->vms ? n : 0;
  p->declared_all = true;
}

/* Follow the assignment: assigned, changed, releasing or taken out of it. */
static void
follow (struct rep *r, struct rep_replica *p)
{
  const struct asn_entry *e = asn_find (&r->doc, p->name);

  if (!e)
    {
      evd_step (r, p, "released");
      p->generation = 0;
      return;
    }
  if (e->generation != p->generation)
    {
      p->generation = e->generation;
      evd_step (r, p, "reform");
    }
  evd_step (r, p, e->phase == ASN_RELEASING ? "release" : "assigned");
}

static void
set_whole (struct rep *r, clk_ms now, struct rep_replica *p, bool whole)
{
  if (whole == p->complete)
    return;
  p->complete = whole;
  if (whole)
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
      if (r->doc_known)
        follow (r, p);
      else
        members_by_report (r, now, p);
    }
  else if (p->nvms)
    p->generation = declared_generation (r, p);
  if (p->nvms && (!p->managed || !r->doc_known))
    evd_step (r, p, "assigned");
  gather (r, p);
  set_whole (r, now, p, all_match (r, p, now));
  drn_update (r, now, p);
  evd_step (r, p, p->draining ? "drain" : "undrain");
  if (p->complete)
    evd_step (r, p, "whole");
  else if (p->state == RST_WHOLE || evd_member_missing (r, p, now))
    evd_step (r, p, "lost");
}

void
evd_update_all (struct rep *r, clk_ms now)
{
  for (size_t i = 0; i < r->nreplicas; i++)
    evd_update (r, now, &r->replicas[i]);
}
