#include "serve/form-plan.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/**
 * The generations of one leader node start at its fencing token times this, so
 * that they are greater than those of all earlier leader nodes.  No leader
 * node assigns more generations than this during its lease.
 */
#define GENERATIONS_PER_FENCE 1000

/**
 * Delay before an order without a response is sent again.  The unanswered
 * order may take effect only seconds later, and the replica waits until every
 * member is ready.
 */
#define UNANSWERED_RETRY_MS ((clk_ms)50)

/** Consecutive failed probes after which a VM counts as removed. */
#define PROBE_FAILURES_MAX 2
/**
 * Interval between the probes of a VM that may have failed.  A probe of a dead
 * VM takes 150 ms or more, so the VM counts as removed after 0.4 s.
 */
#define PROBE_MS ((clk_ms)50)
/**
 * Interval between the probes of a member that is not listed.  A repair takes
 * a second or more, so that starting it half a second later matters little.  A
 * disconnection from the store lasts some seconds, so each member gets about
 * ten probes.
 */
#define PROBE_UNLISTED_MS ((clk_ms)500)
/**
 * Shortest time for which a VM may accept connections without a response.  Its
 * process may stand still for about a second and go on; a dead VM accepts
 * none.
 */
#define SILENT_MIN_MS ((clk_ms)1500)
/** Interval between the probes of an unresponsive VM. */
#define PROBE_UNRESPONSIVE_MS ((clk_ms)2000)

struct frm *
frm_new (const struct frm_options *opt)
{
  struct frm *f = xcalloc (1, sizeof *f);

  f->opt = *opt;
  f->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  return f;
}

static void
replica_free (struct frm_replica *r)
{
  free (r->name);
  free (r->service);
  free (r->model);
  free (r);
}

static void
drop_replicas (struct frm *f)
{
  for (size_t i = 0; i < f->nreplicas; i++)
    replica_free (f->replicas[i]);
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
  free (vm->preload_model);
  free (vm);
}

static void
drop_actions (struct frm *f)
{
  struct frm_action a;

  while (frm_next_action (f, &a))
    free ((void *)a.members);
}

void
frm_free (struct frm *f)
{
  if (!f)
    return;
  drop_replicas (f);
  drop_actions (f);
  for (size_t i = 0; i < f->nvms; i++)
    vm_free (f->vms[i]);
  frm_demands_free (f);
  frm_allocations_free (f);
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

/* --- replicas ---------------------------------------------------------- */

static void
set_model (const struct frm *f, struct frm_replica *r, struct str model)
{
  const struct tbl_service *s = frm_find_service (f, r->service);
  const struct tbl_model *m = s ? tbl_find_model (s, model) : NULL;

  free (r->model);
  r->model = str_dup (model);
  r->size = m ? m->size : 0;
  r->load_ms = m ? m->cold_load_ms : 0;
}

struct frm_replica *
frm_replica_add (struct frm *f, const char *service, struct str name,
                 struct str model, int64_t generation)
{
  struct frm_replica *r = xcalloc (1, sizeof *r);

  r->name = str_dup (name);
  r->service = xstrdup (service);
  r->model = NULL;
  set_model (f, r, model);
  r->generation = generation;
  r->phase_since = f->now;
  f->replicas
      = xrealloc (f->replicas, (f->nreplicas + 1) * sizeof (*f->replicas));
  f->replicas[f->nreplicas++] = r;
  return r;
}

void
frm_enter_phase (struct frm *f, struct frm_replica *r, enum frm_phase phase)
{
  r->phase = phase;
  r->phase_since = f->now;
  for (size_t i = 0; i < r->nmembers; i++)
    if (r->members[i])
      r->members[i]->next_order_at = f->now;
}

void
frm_replica_release (struct frm *f, struct frm_replica *r)
{
  for (size_t i = 0; i < r->nmembers; i++)
    {
      struct frm_vm *vm = r->members[i];
      if (!vm)
        continue;
      if (vm->replica == r)
        vm->replica = NULL;
      if (vm->listed && !vm->unresponsive
          && vm->released_generation < r->generation)
        vm->released_generation = r->generation;
    }
  frm_enter_phase (f, r, FRM_PH_ENDED);
  r->nmembers = 0;
  f->ended_generations[f->nended++ % FRM_ENDED_RING] = r->generation;
}

void
frm_replica_forget (struct frm *f, struct frm_replica *r)
{
  for (size_t i = 0; i < r->nmembers; i++)
    if (r->members[i] && r->members[i]->replica == r)
      r->members[i]->replica = NULL;
  frm_enter_phase (f, r, FRM_PH_ENDED);
  r->nmembers = 0;
}

static bool
generation_has_ended (const struct frm *f, int64_t generation)
{
  for (size_t i = 0; i < f->nended && i < FRM_ENDED_RING; i++)
    if (f->ended_generations[i] == generation)
      return true;
  return false;
}

/**
 * Ends a replica.  An order to open it, sent by this leader node or an earlier
 * one, may still be in flight and take effect seconds later, even after a
 * close.  A leader that has left the replica rejects it, because the order
 * names the replica.  A leader that was only closed could open again while its
 * members join other replicas.
 */
void
frm_replica_end (struct frm *f, struct frm_replica *r)
{
  if (r->may_be_open && !r->warm_spare)
    frm_enter_phase (f, r, FRM_PH_LEAVING);
  else
    frm_replica_release (f, r);
}

static void
remove_ended_replicas (struct frm *f)
{
  size_t kept = 0;

  for (size_t i = 0; i < f->nreplicas; i++)
    if (f->replicas[i]->phase != FRM_PH_ENDED)
      f->replicas[kept++] = f->replicas[i];
    else
      replica_free (f->replicas[i]);
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

/** Returns the number shared by all VMs of the same service and domain. */
static unsigned
domain_number_of (struct frm *f, const struct frm_vm *vm)
{
  for (size_t i = 0; i < f->nvms; i++)
    if (strcmp (f->vms[i]->domain, vm->domain) == 0
        && strcmp (f->vms[i]->service, vm->service) == 0)
      return f->vms[i]->domain_number;
  return ++f->last_domain_number;
}

static bool
is_blocked_by_old_replica (const struct frm *f, const struct frm_vm *vm)
{
  for (size_t i = 0; vm->blocked_by && i < f->nreplicas; i++)
    if (f->replicas[i]->generation == vm->blocked_by
        && f->replicas[i]->phase != FRM_PH_ENDED)
      return true;
  return false;
}

bool
frm_is_leaving (const struct frm *f, const struct frm_vm *vm)
{
  return vm->entry.draining
         || (f->opt.avail && avl_is_leaving (f->opt.avail, vm->process));
}

bool
frm_is_evacuated (const struct frm *f, const struct frm_vm *vm)
{
  return f->opt.evacuations
         && evc_is_evacuated (f->opt.evacuations, vm->entry.zone);
}

bool
frm_may_be_member (const struct frm *f, const struct frm_vm *vm)
{
  return vm->listed && !vm->unresponsive && !frm_is_leaving (f, vm)
         && f->now >= vm->excluded_until && !is_blocked_by_old_replica (f, vm);
}

bool
frm_reports (const struct frm_vm *vm, const struct frm_replica *r,
             enum bks_member_state min_state)
{
  return vm->listed && str_is (vm->entry.replica, r->name)
         && vm->entry.generation == r->generation
         && vm->entry.member_state >= min_state;
}

bool
frm_is_ready (const struct frm_vm *vm)
{
  return vm->replica && frm_reports (vm, vm->replica, BKS_READY);
}

/** Removes a VM that is gone from its replica. */
static void
remove_from_replica (struct frm_vm *vm)
{
  struct frm_replica *r = vm->replica;

  for (size_t k = 0; r && k < r->nmembers; k++)
    if (r->members[k] == vm)
      {
        r->members[k] = NULL;
        r->member_lost = true;
      }
  vm->replica = NULL;
}

static void
remove_vm (struct frm *f, struct frm_vm *vm)
{
  remove_from_replica (vm);
  g_hash_table_remove (f->by_id, vm->id);
  vm_free (vm);
}

/**
 * Resets a VM that has restarted under the same id.  A replica that it led is
 * released at once: the process has ended, so the members need not wait until
 * it stops serving.  A replica of which it was a member no longer works, but
 * its leader may still be open.  A late order to join that replica could make
 * the new incarnation a member of it again, so the VM joins no other replica
 * until the old one has ended.
 *
 * Late orders can also make the new incarnation of a leader lead the same
 * replica again.  The members then stay in it.
 */
static void
reset_restarted_vm (struct frm *f, struct frm_vm *vm,
                    const struct bks_entry *entry)
{
  struct frm_replica *r = vm->replica;
  bool was_leader = r && r->members[0] == vm;
  bool leads_again = was_leader && str_is (entry->replica, r->name)
                     && entry->generation == r->generation;
  int64_t blocked_by = r && !was_leader ? r->generation : vm->blocked_by;

  if (was_leader && !leads_again)
    frm_replica_release (f, r);
  else if (!was_leader)
    remove_from_replica (vm);
  if (r && !was_leader)
    r->member_left = true;
  free (vm->loaded_model);
  free (vm->preload_model);
  *vm = (struct frm_vm){ .id = vm->id,
                         .service = vm->service,
                         .domain = vm->domain,
                         .domain_number = vm->domain_number,
                         .blocked_by = blocked_by,
                         .replica = leads_again ? r : NULL };
}

struct str
frm_loaded_model (const struct frm_vm *vm)
{
  return vm->entry.model.len ? vm->entry.model : str_from (vm->loaded_model);
}

static void
update_loaded_model (struct frm_vm *vm)
{
  if (vm->entry.model.len == 0 || vm->entry.member_state < BKS_READY
      || str_is (vm->entry.model, vm->loaded_model))
    return;
  free (vm->loaded_model);
  vm->loaded_model = str_dup (vm->entry.model);
}

static void
update_vm (struct frm *f, const struct bks_server *s)
{
  struct frm_vm *vm = find_vm (f, s->e.id);

  if (!vm)
    {
      vm = xcalloc (1, sizeof *vm);
      vm->id = str_dup (s->e.id);
      vm->service = str_dup (s->e.service);
      vm->domain = str_dup (s->e.domain);
      vm->domain_number = domain_number_of (f, vm);
      vm->started_at = s->e.start_time;
      g_hash_table_insert (f->by_id, vm->id, vm);
      f->vms = xrealloc (f->vms, (f->nvms + 1) * sizeof (*f->vms));
      f->vms[f->nvms++] = vm;
      f->last_arrival_at = f->now;
      f->last_arrival_read_at = f->list_read_at;
      if (f->nvms == 1)
        f->first_arrival_at = f->now;
    }
  if (vm->started_at != s->e.start_time)
    reset_restarted_vm (f, vm, &s->e);
  vm->started_at = s->e.start_time;
  vm->process = dsp_endpoint_hash (s->e.id, s->e.start_time, 0);
  vm->entry = s->e;
  vm->listed = vm->seen_in_list = true;
  update_loaded_model (vm);
  /*
   * A leader node assigns only generations that belong to its fencing token.
   * A greater generation comes from another writer; adopting it would put all
   * following generations above the first one of the next leader node.
   */
  if (s->e.generation > f->generation
      && s->e.generation / GENERATIONS_PER_FENCE <= f->fence)
    f->generation = s->e.generation;
}

/**
 * Whether the VM may still serve although its entry has expired: it may only
 * be disconnected from the store.  As long as it responds to probes it stays
 * in its replica.  When replicas were closed for each expired entry,
 * disconnecting one VM in eight closed half of the replicas, and their
 * members' loaded weights were lost.
 */
static bool
may_still_serve (const struct frm_vm *vm)
{
  const struct frm_replica *r = vm->replica;

  return r && !r->warm_spare && !vm->unresponsive && !vm->entry.draining
         && (r->phase == FRM_PH_OPEN || r->phase == FRM_PH_CLOSING
             || r->phase == FRM_PH_LEAVING);
}

static void
mark_unlisted (struct frm_vm *vm)
{
  if (vm->listed)
    {
      vm->failed_probes = 0;
      vm->next_probe_at = vm->probe_ok_at = 0;
    }
  vm->listed = false;
  /* The strings of the entry belonged to the list. */
  vm->entry = (struct bks_entry){ .addr = vm->entry.addr };
}

static void
remove_unlisted_vms (struct frm *f)
{
  size_t kept = 0;

  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (!vm->seen_in_list && !may_still_serve (vm))
        {
          remove_vm (f, vm);
          continue;
        }
      if (!vm->seen_in_list)
        mark_unlisted (vm);
      f->vms[kept++] = vm;
    }
  f->nvms = kept;
}

/* --- adoption of existing replicas ------------------------------------- */

static bool
is_warm_spare_name (struct str name)
{
  return name.len > 0 && name.ptr[0] == 's';
}

/** Sets the phase of an adopted replica from its leader's report. */
static void
enter_adopted_phase (struct frm *f, struct frm_replica *r)
{
  if (!r->members[0])
    frm_enter_phase (f, r, FRM_PH_LEADER_MISSING);
  else if (r->members[0]->entry.member_state >= BKS_OPEN)
    frm_enter_phase (f, r, FRM_PH_OPEN);
  else
    frm_enter_phase (f, r, FRM_PH_JOINING);
}

/**
 * Sets the replica's model from the report of a ready member.  A VM that is
 * not ready yet reports no model, or the model that it held before.  With that
 * model, a leader adopted without its members could count as a complete
 * replica with fewer members, and open without the others.
 */
static void
update_replica_model (const struct frm *f, struct frm_replica *r)
{
  for (size_t i = 0; i < r->nmembers && r->size == 0; i++)
    if (r->members[i] && frm_reports (r->members[i], r, BKS_READY))
      set_model (f, r, r->members[i]->entry.model);
}

/**
 * Adds the VM as the member that it reports to be.  An entry of another writer
 * may name the rank of a member.  Only one VM is recorded for a rank: a VM
 * that no replica records would keep its pointer when the replica is freed.
 * @retval false  another VM has the rank
 */
static bool
add_member (struct frm_replica *r, struct frm_vm *vm)
{
  if (r->members[vm->entry.rank])
    return false;
  r->members[vm->entry.rank] = vm;
  if (r->nmembers <= vm->entry.rank)
    r->nmembers = vm->entry.rank + 1;
  vm->replica = r;
  return true;
}

/** Adds the replica that @p first reports, with all VMs that report it. */
static struct frm_replica *
adopt_replica (struct frm *f, struct frm_vm *first)
{
  struct frm_replica *r
      = frm_replica_add (f, first->service, first->entry.replica, STR_EMPTY,
                         first->entry.generation);

  r->warm_spare = is_warm_spare_name (first->entry.replica);
  /* An earlier leader node may have sent the order to open. */
  r->may_be_open = !r->warm_spare;
  r->adopted = true;
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (vm->replica || !frm_reports (vm, r, BKS_JOINING)
          || vm->entry.rank >= FRM_MAX_MEMBERS
          || vm->entry.generation <= vm->released_generation)
        continue;
      add_member (r, vm);
    }
  update_replica_model (f, r);
  if (r->warm_spare && !r->members[0])
    frm_replica_release (f, r);
  else
    enter_adopted_phase (f, r);
  return r;
}

/**
 * Adopts the reported replicas unchanged.  No replica is formed anew, so
 * clients don't notice a change of the leader node.  An open replica means
 * that there have been requests, even if this node has just started and has
 * not received one, so loads take their full time.
 */
static void
adopt_all (struct frm *f)
{
  drop_replicas (f);
  for (size_t i = 0; i < f->nvms; i++)
    if (!f->vms[i]->replica && f->vms[i]->entry.member_state != BKS_NO_REPLICA)
      adopt_replica (f, f->vms[i]);
  for (size_t i = 0; i < f->nreplicas; i++)
    f->had_traffic |= f->replicas[i]->phase == FRM_PH_OPEN;
  f->adopted = true;
}

/** The replica that the VM reports, or NULL. */
static struct frm_replica *
find_replica (const struct frm *f, const struct frm_vm *vm)
{
  for (size_t i = 0; i < f->nreplicas; i++)
    if (str_is (vm->entry.replica, f->replicas[i]->name)
        && f->replicas[i]->generation == vm->entry.generation
        && f->replicas[i]->phase != FRM_PH_ENDED)
      return f->replicas[i];
  return NULL;
}

bool
frm_reports_live_replica (const struct frm *f, const struct frm_vm *vm)
{
  return vm->entry.member_state != BKS_NO_REPLICA
         && vm->entry.generation > vm->released_generation
         && find_replica (f, vm) != NULL;
}

/** Adds a member that appeared after its replica was adopted. */
static void
attach_member (struct frm *f, struct frm_replica *r, struct frm_vm *vm)
{
  if (vm->entry.rank >= FRM_MAX_MEMBERS || !add_member (r, vm))
    return;
  if (r->phase == FRM_PH_LEADER_MISSING)
    enter_adopted_phase (f, r);
}

/**
 * Releases VMs that were disconnected while their replica was closed, and
 * still report that replica.  Its leader no longer leads it, so these VMs need
 * not wait for stall_ms.
 */
static void
release_returned_members (struct frm *f)
{
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (!vm->replica && vm->entry.member_state != BKS_NO_REPLICA
          && vm->entry.rank > 0
          && vm->entry.generation > vm->released_generation
          && generation_has_ended (f, vm->entry.generation))
        vm->released_generation = vm->entry.generation;
    }
}

/**
 * Adopts replicas that this leader node has not ended and that VMs report for
 * the first time.  The leader of one of them may still be open, or open again
 * after a late order, or be listed only later than its members.  Therefore
 * they are handled like any other replica, and their VMs are not used as
 * spares meanwhile.
 */
static void
adopt_late_replicas (struct frm *f)
{
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (vm->replica || vm->entry.member_state == BKS_NO_REPLICA
          || vm->entry.generation <= vm->released_generation
          || is_warm_spare_name (vm->entry.replica))
        continue;
      struct frm_replica *r = find_replica (f, vm);
      if (r)
        attach_member (f, r, vm);
      else
        adopt_replica (f, vm)->appeared_late = f->server_list_complete;
    }
}

/* --- events ------------------------------------------------------------ */

/**
 * Forgets which VMs this node released in an earlier leadership.  Another
 * leader node may have adopted such a replica since, because its members still
 * report it, and opened it.
 */
static void
forget_released (struct frm *f)
{
  for (size_t i = 0; i < f->nvms; i++)
    f->vms[i]->released_generation = 0;
}

void
frm_set_leading (struct frm *f, clk_ms now, bool on, int64_t fence)
{
  f->now = now;
  f->leading = on;
  f->adopted = false;
  f->leading_since = now;
  f->nended = 0; /* another leader node may have sent orders in between */
  f->fence = fence;
  if (on && fence != f->last_fence)
    forget_released (f);
  if (on)
    f->last_fence = fence;
  frm_allocations_reset (f);
  drop_replicas (f);
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

/** Whether the phase ends when the list has not shown something in time.  In
    the other phases backend servers go on by themselves during a pause. */
static bool
awaits_list (const struct frm_replica *r)
{
  return r->phase == FRM_PH_JOINING || r->phase == FRM_PH_OPENING
         || r->phase == FRM_PH_LEADER_MISSING;
}

/** @return  @p at, a time before a pause of @p ms, without the pause */
static clk_ms
skip_pause (clk_ms at, clk_ms now, clk_ms ms)
{
  return at + ms < now ? at + ms : now;
}

void
frm_resumed (struct frm *f, clk_ms now, clk_ms ms)
{
  f->now = now;
  /* No probes were sent that a VM could have answered. */
  for (size_t i = 0; i < f->nvms; i++)
    if (f->vms[i]->silent_since)
      f->vms[i]->silent_since = skip_pause (f->vms[i]->silent_since, now, ms);
  for (size_t i = 0; i < f->nreplicas; i++)
    {
      struct frm_replica *r = f->replicas[i];
      if (awaits_list (r))
        r->phase_since = skip_pause (r->phase_since, now, ms);
    }
}

static bool
is_managed (const struct tbl *config, const struct bks_server *server)
{
  const struct tbl_service *s = tbl_find_service (config, server->e.service);

  return s && s->nmodels;
}

/**
 * Whether the server is in a replica that may have running requests.  It stays
 * there when the configuration no longer holds its service: these requests
 * keep their deadlines, and a later configuration may hold the service again.
 */
static bool
is_serving (const struct frm *f, const struct bks_server *server)
{
  const struct frm_vm *vm = find_vm (f, server->e.id);

  return vm && may_still_serve (vm);
}

/**
 * Whether the entry was last read before this node became leader.  Another
 * leader may have put the server into a replica since, which a join would
 * break.
 */
static bool
is_from_before_leadership (const struct frm *f,
                           const struct bks_server *server)
{
  return f->leading && server->own_read_at < f->leading_since;
}

void
frm_set_servers (struct frm *f, clk_ms now, const struct bks *servers,
                 const struct tbl *config, bool list_complete)
{
  size_t n;
  const struct bks_server *const *list = bks_list (servers, &n);

  f->now = now;
  f->list_read_at = bks_read_started_at (servers);
  if (f->config != config)
    {
      tbl_unref (f->config);
      f->config = tbl_ref ((struct tbl *)config);
    }
  for (size_t i = 0; i < f->nvms; i++)
    f->vms[i]->seen_in_list = false;
  for (size_t i = 0; i < n; i++)
    if ((is_managed (config, list[i]) || is_serving (f, list[i]))
        && !is_from_before_leadership (f, list[i]))
      update_vm (f, list[i]);
  remove_unlisted_vms (f);
  f->server_list_complete = list_complete;
  release_returned_members (f);
  if (f->leading && f->adopted)
    adopt_late_replicas (f);
  else if (f->leading && f->list_read_at >= f->leading_since)
    adopt_all (f);
  for (size_t i = 0; i < f->nreplicas; i++)
    update_replica_model (f, f->replicas[i]);
}

void
frm_traffic_started (struct frm *f)
{
  f->had_traffic = true;
}

void
frm_stalled (struct frm *f, clk_ms now, uint64_t endpoint)
{
  f->now = now;
  for (size_t i = 0; i < f->nreplicas; i++)
    {
      struct frm_replica *r = f->replicas[i];
      if (r->phase == FRM_PH_OPEN && r->members[0]
          && dsp_endpoint_hash (str_from (r->members[0]->id),
                                r->members[0]->entry.start_time, r->generation)
                 == endpoint
          && !r->stall_reported)
        {
          r->stall_reported = true;
          r->stall_reported_at = now;
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
        if (result == FRM_UNANSWERED && vm->order_kind != FRM_PRELOAD)
          vm->next_order_at = now + UNANSWERED_RETRY_MS;
        if (result == FRM_ACCEPTED && vm->replica)
          {
            vm->accepted_kind = vm->order_kind;
            vm->accepted_generation = vm->replica->generation;
            vm->accepted_at = now;
            vm->accepted_fence = f->fence;
          }
        if (vm->order_kind == FRM_PRELOAD)
          frm_preload_done (f, vm, result);
        else if (vm->replica)
          frm_replica_order_done (f, vm, vm->order_kind, result);
        return;
      }
}

static clk_ms
probe_interval (const struct frm_vm *vm)
{
  if (!vm->listed && vm->failed_probes == 0)
    return PROBE_UNLISTED_MS;
  return vm->unresponsive ? PROBE_UNRESPONSIVE_MS : PROBE_MS;
}

/**
 * Time after which a VM that accepts connections without a response counts as
 * removed.  Before stall_ms the running requests of its replica go on when it
 * responds again, and a forced close would end them.  After stall_ms the
 * replica is broken anyway.
 */
static clk_ms
max_silence (const struct frm *f)
{
  return f->opt.stall_ms > SILENT_MIN_MS ? f->opt.stall_ms : SILENT_MIN_MS;
}

static void
record_probe (const struct frm *f, struct frm_vm *vm,
              enum frm_probe_result result)
{
  if (result != FRM_PROBE_SILENT)
    vm->silent_since = 0;
  else if (!vm->silent_since)
    vm->silent_since = f->now;
  vm->serving = result == FRM_PROBE_SERVING;
  if (result == FRM_PROBE_ANSWERED || result == FRM_PROBE_SERVING)
    {
      vm->failed_probes = 0;
      vm->probe_ok_at = f->now;
    }
  else if (result == FRM_PROBE_UNREACHABLE)
    vm->failed_probes++;
  else if (f->now - vm->silent_since >= max_silence (f))
    vm->failed_probes = PROBE_FAILURES_MAX;
  vm->unresponsive = vm->failed_probes >= PROBE_FAILURES_MAX;
}

void
frm_probe_done (struct frm *f, clk_ms now, uint64_t token,
                enum frm_probe_result result)
{
  f->now = now;
  for (size_t i = 0; i < f->nvms; i++)
    {
      struct frm_vm *vm = f->vms[i];
      if (vm->probe_token != token || token == 0)
        continue;
      vm->probe_token = 0;
      record_probe (f, vm, result);
      vm->next_probe_at = now + probe_interval (vm);
    }
}

static void
probe_unlisted_and_unresponsive (struct frm *f)
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
  remove_ended_replicas (f);
  frm_update_domain_sizes (f);
  frm_allocate (f);
  frm_reassign (f);
  frm_assign_vms (f);
  frm_preload (f);
  probe_unlisted_and_unresponsive (f);
}

/**
 * Whether the next report may show that the replica has reached its next
 * phase.
 */
static bool
is_step_due (const struct frm *f, const struct frm_replica *r)
{
  if (r->phase == FRM_PH_OPENING || r->phase == FRM_PH_CLOSING)
    return true;
  return r->phase == FRM_PH_JOINING && !r->warm_spare
         && f->now >= r->earliest_ready_at
         && f->now - r->phase_since < FRM_STEP_TIMEOUT_MS;
}

bool
frm_wants_fast_poll (const struct frm *f)
{
  for (size_t i = 0; i < f->nreplicas; i++)
    if (is_step_due (f, f->replicas[i]))
      return true;
  return false;
}

const struct frm_stats *
frm_stats (struct frm *f)
{
  struct frm_stats *x = &f->stats;

  x->forming = x->open = x->closing = x->spares = x->warm = 0;
  for (size_t i = 0; i < f->nreplicas; i++)
    {
      const struct frm_replica *r = f->replicas[i];
      if (r->warm_spare)
        x->warm++;
      else if (r->phase <= FRM_PH_OPENING)
        x->forming++;
      else if (r->phase == FRM_PH_OPEN)
        x->open++;
      else
        x->closing++;
    }
  for (size_t i = 0; i < f->nvms; i++)
    x->spares += f->vms[i]->listed
                 && (!f->vms[i]->replica || f->vms[i]->replica->warm_spare);
  return x;
}
