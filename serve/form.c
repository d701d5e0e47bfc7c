#include "serve/form-plan.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/**
 * Generations of one owner begin at its fencing number times this, so that
 * they are above all of earlier owners; more are not given in a lease's time.
 */
#define GENERATIONS_PER_FENCE 1000

/** An order that got no answer is given again after this: it may be carried
   out only seconds later, and while one member is not ready its replica waits.
 */
#define UNANSWERED_AGAIN_MS ((clk_ms)50)

/** A VM that did not answer that often in a row counts as missing. */
#define UNANSWERED_MOST 2
/** How often a VM under suspicion is asked; waiting for its answer takes 150
    ms or more when it is dead, so that it counts as missing after 0.4 s. */
#define ASK_MS ((clk_ms)50)
/** How often a member that is not listed is asked whether it works on.  A
    repair takes a second or more, so half a second more before it begins is
    little; a cut from the store lasts some seconds, which makes ten questions
    a member. */
#define ASK_LAPSED_MS ((clk_ms)500)
/** How often one that counts as missing is asked whether it is back. */
#define ASK_SILENT_MS ((clk_ms)2000)

struct frm *
frm_new (const struct frm_options *opt)
{
  struct frm *f = xcalloc (1, sizeof *f);

  f->opt = *opt;
  f->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return f;
}

static void
group_free (struct frm_replica *g)
{
  free (g->name);
  free (g->service);
  free (g->model);
  free (g);
}

static void
drop_groups (struct frm *f)
{
  for (size_t i = 0; i < f->nreplicas; i++)
    group_free (f->replicas[i]);
  f->nreplicas = 0;
  for (size_t i = 0; i < f->nvms; i++)
    f->vms[i]->replica = NULL;
}

static void
vm_free (struct frm_vm *vm)
{
  free (vm->id);
  free (vm->service);
  free (vm->domain);
  free (vm->loaded_model);
  free (vm);
}

static void
drop_actions (struct frm *f)
{
  struct frm_action a;

  while (frm_next (f, &a))
    free ((void *)a.members);
}

void
frm_free (struct frm *f)
{
  if (!f)
    return;
  drop_groups (f);
  drop_actions (f);
  for (size_t i = 0; i < f->nvms; i++)
    vm_free (f->vms[i]);
  frm_demands_free (f);
  tbl_unref (f->config);
  g_hash_table_destroy (f->by_id);
  free (f->vms);
  free (f->replicas);
  free (f->queue);
  free (f->domain_max_vms);
  free (f);
}

const struct tbl_service *
frm_find_service (const struct frm *f, const char *name)
{
  return f->config ? tbl_find_service (f->config, str_from (name)) : NULL;
}

/* --- groups ------------------------------------------------------------ */

static void
set_model (const struct frm *f, struct frm_replica *g, struct str model)
{
  const struct tbl_service *s = frm_find_service (f, g->service);
  const struct tbl_model *m = s ? tbl_find_model (s, model) : NULL;

  free (g->model);
  g->model = str_dup (model);
  g->size = m ? m->size : 0;
  g->load_ms = m ? m->load_ms : 0;
}

struct frm_replica *
frm_replica_add (struct frm *f, const char *service, struct str name,
                 struct str model, int64_t generation)
{
  struct frm_replica *g = xcalloc (1, sizeof *g);

  g->name = str_dup (name);
  g->service = xstrdup (service);
  g->model = NULL;
  set_model (f, g, model);
  g->generation = generation;
  g->phase_since = f->now;
  f->replicas
      = xrealloc (f->replicas, (f->nreplicas + 1) * sizeof (*f->replicas));
  f->replicas[f->nreplicas++] = g;
  return g;
}

void
frm_enter_phase (struct frm *f, struct frm_replica *g, enum frm_phase phase)
{
  g->phase = phase;
  g->phase_since = f->now;
  for (size_t i = 0; i < g->nmembers; i++)
    if (g->members[i])
      g->members[i]->next_order_at = f->now;
}

void
frm_replica_release (struct frm *f, struct frm_replica *g)
{
  for (size_t i = 0; i < g->nmembers; i++)
    {
      struct frm_vm *vm = g->members[i];
      if (!vm)
        continue;
      if (vm->replica == g)
        vm->replica = NULL;
      if (vm->listed && !vm->unresponsive
          && vm->released_generation < g->generation)
        vm->released_generation = g->generation;
    }
  frm_enter_phase (f, g, FRM_PH_ENDED);
  g->nmembers = 0;
  f->ended_generations[f->nended++ % FRM_ENDED_RING] = g->generation;
}

static bool
has_ended (const struct frm *f, int64_t generation)
{
  for (size_t i = 0; i < f->nended && i < FRM_ENDED_RING; i++)
    if (f->ended_generations[i] == generation)
      return true;
  return false;
}

/**
 * An order to open may still be under way, from this owner or an earlier one,
 * and be carried out seconds later: after a close, too.  A leader that has
 * left the replica refuses it, as the order names the replica; were it only
 * closed, it could open again while its members join others.
 */
void
frm_replica_end (struct frm *f, struct frm_replica *g)
{
  if (g->may_be_open && !g->spare)
    frm_enter_phase (f, g, FRM_PH_LEAVING);
  else
    frm_replica_release (f, g);
}

static void
sweep_groups (struct frm *f)
{
  size_t kept = 0;

  for (size_t i = 0; i < f->nreplicas; i++)
    if (f->replicas[i]->phase != FRM_PH_ENDED)
      f->replicas[kept++] = f->replicas[i];
    else
      group_free (f->replicas[i]);
  f->nreplicas = kept;
}

/* --- VMs --------------------------------------------------------------- */

static struct frm_vm *
find_vm (const struct frm *f, struct str id)
{
  char *key = str_dup (id);
  struct frm_vm *vm = g_hash_table_lookup (f->by_id, key);

  free (key);
  return vm;
}

/** VMs of the same service and domain have the same number. */
static unsigned
domain_number (struct frm *f, const struct frm_vm *vm)
{
  for (size_t i = 0; i < f->nvms; i++)
    if (strcmp (f->vms[i]->domain, vm->domain) == 0
        && strcmp (f->vms[i]->service, vm->service) == 0)
      return f->vms[i]->domain_number;
  return ++f->last_domain_number;
}

static bool
is_held (const struct frm *f, const struct frm_vm *vm)
{
  for (size_t i = 0; vm->blocked_by && i < f->nreplicas; i++)
    if (f->replicas[i]->generation == vm->blocked_by
        && f->replicas[i]->phase != FRM_PH_ENDED)
      return true;
  return false;
}

bool
frm_is_usable (const struct frm *f, const struct frm_vm *vm)
{
  return vm->listed && !vm->unresponsive && !vm->entry.draining
         && f->now >= vm->excluded_until && !is_held (f, vm);
}

bool
frm_reports (const struct frm_vm *vm, const struct frm_replica *g,
             enum bks_part part)
{
  return vm->listed && str_is (vm->entry.replica, g->name)
         && vm->entry.generation == g->generation && vm->entry.part >= part;
}

bool
frm_is_ready (const struct frm_vm *vm)
{
  return vm->replica && frm_reports (vm, vm->replica, BKS_READY);
}

/** A VM that is gone leaves the replica that it was in. */
static void
leave_group (struct frm_vm *vm)
{
  struct frm_replica *g = vm->replica;

  for (size_t k = 0; g && k < g->nmembers; k++)
    if (g->members[k] == vm)
      {
        g->members[k] = NULL;
        g->member_lost = true;
      }
  vm->replica = NULL;
}

static void
forget_vm (struct frm *f, struct frm_vm *vm)
{
  leave_group (vm);
  g_hash_table_remove (f->by_id, vm->id);
  vm_free (vm);
}

/**
 * The VM has started again under its id.  What it led is over: its process has
 * ended, so nobody has to wait until it gives up.  What it was a member of
 * stands still, and its leader may be open yet; an order to join that replica,
 * carried out late, could make the new life its member again, so until it is
 * over the VM joins no other.
 */
static void
begin_life (struct frm *f, struct frm_vm *vm)
{
  struct frm_replica *g = vm->replica;
  bool led = g && g->members[0] == vm;
  int64_t after = g && !led ? g->generation : vm->blocked_by;

  if (led)
    frm_replica_release (f, g);
  else
    leave_group (vm);
  free (vm->loaded_model);
  *vm = (struct frm_vm){ .id = vm->id,
                         .service = vm->service,
                         .domain = vm->domain,
                         .domain_number = vm->domain_number,
                         .blocked_by = after };
}

struct str
frm_loaded_model (const struct frm_vm *vm)
{
  return vm->entry.model.len ? vm->entry.model : str_from (vm->loaded_model);
}

static void
note_held (struct frm_vm *vm)
{
  if (vm->entry.model.len == 0 || vm->entry.part < BKS_READY
      || str_is (vm->entry.model, vm->loaded_model))
    return;
  free (vm->loaded_model);
  vm->loaded_model = str_dup (vm->entry.model);
}

static void
take_server (struct frm *f, const struct bks_server *s)
{
  struct frm_vm *vm = find_vm (f, s->e.id);

  if (!vm)
    {
      vm = xcalloc (1, sizeof *vm);
      vm->id = str_dup (s->e.id);
      vm->service = str_dup (s->e.service);
      vm->domain = str_dup (s->e.domain);
      vm->domain_number = domain_number (f, vm);
      vm->started_at = s->e.born;
      g_hash_table_insert (f->by_id, vm->id, vm);
      f->vms = xrealloc (f->vms, (f->nvms + 1) * sizeof (*f->vms));
      f->vms[f->nvms++] = vm;
      f->last_arrival_at = f->now;
      f->last_arrival_requested_at = f->list_requested_at;
      if (f->nvms == 1)
        f->first_arrival_at = f->now;
    }
  if (vm->started_at != s->e.born)
    begin_life (f, vm);
  vm->started_at = s->e.born;
  vm->entry = s->e;
  vm->listed = vm->seen_in_list = true;
  note_held (vm);
  /* No owner gave more than its own numbers; another writer's would put all
     that are given from now on beyond what the next owner begins with. */
  if (s->e.generation > f->generation
      && s->e.generation / GENERATIONS_PER_FENCE <= f->fence)
    f->generation = s->e.generation;
}

/**
 * A member whose entry lapsed may only be cut off from the store.  While it
 * answers when asked it stays in its replica: to close that for each lapsed
 * entry cost half of the replicas when one VM in eight was cut off, and with
 * them their warm members.
 */
static bool
may_work_on (const struct frm_vm *vm)
{
  const struct frm_replica *g = vm->replica;

  return g && !g->spare && !vm->unresponsive && !vm->entry.draining
         && (g->phase == FRM_PH_OPEN || g->phase == FRM_PH_CLOSING
             || g->phase == FRM_PH_LEAVING);
}

static void
take_lapsed (struct frm_vm *vm)
{
  if (vm->listed)
    {
      vm->failed_probes = 0;
      vm->next_probe_at = vm->probe_ok_at = 0;
    }
  vm->listed = false;
  vm->entry
      = (struct bks_entry){ .addr = vm->entry.addr }; /* its text is gone */
}

static void
drop_unnamed (struct frm *f)
{
  size_t kept = 0;

  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (!vm->seen_in_list && !may_work_on (vm))
        {
          forget_vm (f, vm);
          continue;
        }
      if (!vm->seen_in_list)
        take_lapsed (vm);
      f->vms[kept++] = vm;
    }
  f->nvms = kept;
}

/* --- taking over ------------------------------------------------------- */

static bool
is_spare_name (struct str name)
{
  return name.len > 0 && name.ptr[0] == 's';
}

/** Go on with a replica by what its leader reports. */
static void
enter_found (struct frm *f, struct frm_replica *g)
{
  if (!g->members[0])
    frm_enter_phase (f, g, FRM_PH_LEADER_MISSING);
  else if (g->members[0]->entry.part >= BKS_OPEN)
    frm_enter_phase (f, g, FRM_PH_OPEN);
  else
    frm_enter_phase (f, g, FRM_PH_JOINING);
}

/**
 * A VM that gets ready reports no model yet, or the one that it held before;
 * by either, a leader found alone would count as a whole replica of fewer
 * members, and open without the others.  Who is ready reports the replica's.
 */
static void
learn_model (const struct frm *f, struct frm_replica *g)
{
  for (size_t i = 0; i < g->nmembers && g->size == 0; i++)
    if (g->members[i] && frm_reports (g->members[i], g, BKS_READY))
      set_model (f, g, g->members[i]->entry.model);
}

/** Gather the VMs that report the replica of @p first into a group. */
static struct frm_replica *
adopt_group (struct frm *f, struct frm_vm *first)
{
  struct frm_replica *g
      = frm_replica_add (f, first->service, first->entry.replica, STR_EMPTY,
                         first->entry.generation);

  g->spare = is_spare_name (first->entry.replica);
  g->may_be_open = !g->spare; /* by an owner before us */
  g->adopted = true;
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (vm->replica || !frm_reports (vm, g, BKS_JOINING)
          || vm->entry.rank >= FRM_MEMBERS
          || vm->entry.generation <= vm->released_generation)
        continue;
      g->members[vm->entry.rank] = vm;
      if (g->nmembers <= vm->entry.rank)
        g->nmembers = vm->entry.rank + 1;
      vm->replica = g;
    }
  learn_model (f, g);
  if (g->spare && !g->members[0])
    frm_replica_release (f, g);
  else
    enter_found (f, g);
  return g;
}

/**
 * What is there is taken over as it is: nothing is formed anew, so callers
 * notice a change of owner by nothing.  Where a replica is open there have
 * been requests, though this node, which may have just started, has not seen
 * one; loads take their full time.
 */
static void
adopt (struct frm *f)
{
  drop_groups (f);
  for (size_t i = 0; i < f->nvms; i++)
    if (!f->vms[i]->replica && f->vms[i]->entry.part != BKS_ALONE)
      adopt_group (f, f->vms[i]);
  for (size_t i = 0; i < f->nreplicas; i++)
    f->traffic |= f->replicas[i]->phase == FRM_PH_OPEN;
  f->adopted = true;
}

static struct frm_replica *
find_group (const struct frm *f, const struct frm_vm *vm)
{
  for (size_t i = 0; i < f->nreplicas; i++)
    if (str_is (vm->entry.replica, f->replicas[i]->name)
        && f->replicas[i]->generation == vm->entry.generation
        && f->replicas[i]->phase != FRM_PH_ENDED)
      return f->replicas[i];
  return NULL;
}

/** One more member of a replica that was found without it. */
static void
attach (struct frm *f, struct frm_replica *g, struct frm_vm *vm)
{
  if (vm->entry.rank >= FRM_MEMBERS || g->members[vm->entry.rank])
    return;
  g->members[vm->entry.rank] = vm;
  if (g->nmembers <= vm->entry.rank)
    g->nmembers = vm->entry.rank + 1;
  vm->replica = g;
  if (g->phase == FRM_PH_LEADER_MISSING)
    enter_found (f, g);
}

/**
 * A member that was cut off while its replica was closed comes back and still
 * reports it.  Its leader is known to lead no more, or the replica would not
 * be over, so the member is free; nobody has to wait until that leader must
 * have given up.
 */
static void
clear_returned (struct frm *f)
{
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (!vm->replica && vm->entry.part != BKS_ALONE && vm->entry.rank > 0
          && vm->entry.generation > vm->released_generation
          && has_ended (f, vm->entry.generation))
        vm->released_generation = vm->entry.generation;
    }
}

/**
 * VMs that appear with a replica of which this owner has not disposed.  A
 * leader may be open still, or open again by a late order, and a member's
 * leader may be about to appear: they go the way of any other replica, and are
 * no spares meanwhile.
 */
static void
adopt_stray (struct frm *f)
{
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (vm->replica || vm->entry.part == BKS_ALONE
          || vm->entry.generation <= vm->released_generation
          || is_spare_name (vm->entry.replica))
        continue;
      struct frm_replica *g = find_group (f, vm);
      if (g)
        attach (f, g, vm);
      else
        adopt_group (f, vm)->appeared_late = f->list_complete;
    }
}

/* --- events ------------------------------------------------------------ */

void
frm_owner (struct frm *f, clk_ms now, bool on, int64_t fence)
{
  f->now = now;
  f->leading = on;
  f->adopted = false;
  f->nended = 0; /* another owner may have ordered meanwhile */
  f->fence = fence;
  drop_groups (f);
  drop_actions (f);
  for (size_t i = 0; i < f->nvms; i++)
    {
      f->vms[i]->order_token = f->vms[i]->probe_token = 0;
      f->vms[i]->unresponsive = false;
      f->vms[i]->next_order_at = f->vms[i]->excluded_until = 0;
      f->vms[i]->preload_until = 0;
    }
  if (on && f->generation < fence * GENERATIONS_PER_FENCE)
    f->generation = fence * GENERATIONS_PER_FENCE;
}

void
frm_servers (struct frm *f, clk_ms now, const struct bks *servers,
             const struct tbl *t, bool settled)
{
  size_t n;
  const struct bks_server *const *list = bks_list (servers, &n);

  f->now = now;
  f->list_requested_at = bks_asked_at (servers);
  if (f->config != t)
    {
      tbl_unref (f->config);
      f->config = tbl_ref ((struct tbl *)t);
    }
  for (size_t i = 0; i < f->nvms; i++)
    f->vms[i]->seen_in_list = false;
  for (size_t i = 0; i < n; i++)
    {
      const struct tbl_service *s = tbl_find_service (t, list[i]->e.service);
      if (s && s->nmodels)
        take_server (f, list[i]);
    }
  drop_unnamed (f);
  f->list_complete = settled;
  clear_returned (f);
  if (f->leading && f->adopted)
    adopt_stray (f);
  else if (f->leading)
    adopt (f);
  for (size_t i = 0; i < f->nreplicas; i++)
    learn_model (f, f->replicas[i]);
}

void
frm_traffic (struct frm *f)
{
  f->traffic = true;
}

void
frm_stalled (struct frm *f, clk_ms now, uint64_t place)
{
  f->now = now;
  for (size_t i = 0; i < f->nreplicas; i++)
    {
      struct frm_replica *g = f->replicas[i];
      if (g->phase == FRM_PH_OPEN && g->members[0]
          && dsp_place_hash (str_from (g->members[0]->id),
                             g->members[0]->entry.born, g->generation)
                 == place
          && !g->stall_reported)
        {
          g->stall_reported = true;
          g->stall_reported_at = now;
        }
    }
}

void
frm_order_done (struct frm *f, clk_ms now, uint64_t token,
                enum frm_result result)
{
  f->now = now;
  for (size_t i = 0; i < f->nvms; i++)
    if (f->vms[i]->order_token == token && token != 0)
      {
        struct frm_vm *vm = f->vms[i];
        vm->order_token = 0;
        if (result == FRM_UNANSWERED && vm->order_kind != FRM_STAGE)
          vm->next_order_at = now + UNANSWERED_AGAIN_MS;
        if (result == FRM_ACCEPTED && vm->replica)
          {
            vm->accepted_kind = vm->order_kind;
            vm->accepted_generation = vm->replica->generation;
            vm->accepted_at = now;
            vm->accepted_fence = f->fence;
          }
        if (vm->order_kind == FRM_STAGE)
          frm_preload_done (f, vm, result);
        else if (vm->replica)
          frm_replica_order_done (f, vm, vm->order_kind, result);
        return;
      }
}

static clk_ms
ask_every (const struct frm_vm *vm)
{
  if (!vm->listed && vm->failed_probes == 0)
    return ASK_LAPSED_MS;
  return vm->unresponsive ? ASK_SILENT_MS : ASK_MS;
}

void
frm_asked (struct frm *f, clk_ms now, uint64_t token, bool answered)
{
  f->now = now;
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (vm->probe_token != token || token == 0)
        continue;
      vm->probe_token = 0;
      vm->failed_probes = answered ? 0 : vm->failed_probes + 1;
      vm->unresponsive = vm->failed_probes >= UNANSWERED_MOST;
      if (answered)
        vm->probe_ok_at = now;
      vm->next_probe_at = now + ask_every (vm);
    }
}

static void
ask_doubtful (struct frm *f)
{
  for (size_t i = 0; i < f->nvms; i++)
    if (f->vms[i]->listed ? f->vms[i]->unresponsive
                          : f->vms[i]->replica != NULL)
      frm_probe (f, f->vms[i]);
}

void
frm_tick (struct frm *f, clk_ms now)
{
  f->now = now;
  if (!f->leading || !f->adopted || !f->config)
    return;
  for (size_t i = 0; i < f->nreplicas; i++)
    frm_replica_tick (f, f->replicas[i]);
  sweep_groups (f);
  frm_update_domain_sizes (f);
  frm_reassign (f);
  frm_assign_vms (f);
  frm_preload (f);
  ask_doubtful (f);
}

/** Whether the next step of a replica may show in a report by now. */
static bool
is_due (const struct frm *f, const struct frm_replica *g)
{
  if (g->phase == FRM_PH_OPENING || g->phase == FRM_PH_CLOSING)
    return true;
  return g->phase == FRM_PH_JOINING && !g->spare
         && f->now >= g->earliest_ready_at
         && f->now - g->phase_since < FRM_STEP_TIMEOUT_MS;
}

bool
frm_busy (const struct frm *f)
{
  for (size_t i = 0; i < f->nreplicas; i++)
    if (is_due (f, f->replicas[i]))
      return true;
  return false;
}

const struct frm_figures *
frm_figures (struct frm *f)
{
  struct frm_figures *x = &f->stats;

  x->forming = x->open = x->closing = x->spares = x->warm = 0;
  for (size_t i = 0; i < f->nreplicas; i++)
    {
      const struct frm_replica *g = f->replicas[i];
      if (g->spare)
        x->warm++;
      else if (g->phase <= FRM_PH_OPENING)
        x->forming++;
      else if (g->phase == FRM_PH_OPEN)
        x->open++;
      else
        x->closing++;
    }
  for (size_t i = 0; i < f->nvms; i++)
    x->spares += f->vms[i]->listed
                 && (!f->vms[i]->replica || f->vms[i]->replica->spare);
  return x;
}
