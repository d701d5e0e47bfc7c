#include "serve/form-int.h"

/**
 * A close that waits for running requests is forced after this.  Nearly all
 * streams are shorter.
 */
#define CLOSE_TIMEOUT_MS ((clk_ms)6000)
/**
 * Delay before the order to open is repeated after the leader rejected it as
 * not ready.
 */
#define OPEN_RETRY_MS ((clk_ms)100)
/**
 * Margin on top of the time after which a replica leader without its members
 * stops serving.
 */
#define FENCE_MARGIN_MS ((clk_ms)500)
/** A VM that rejected an order is not used for this time. */
#define EXCLUDE_MS ((clk_ms)1000)
/**
 * How long the core waits for an unlisted replica leader.  Entries that
 * expired while the store was unavailable are written again within about two
 * seconds.
 */
#define LEADER_MISSING_MS ((clk_ms)1200)
/**
 * How long the missing members of an adopted, still joining replica may take
 * to appear in the list.
 */
#define ADOPT_WAIT_MS ((clk_ms)1000)
/**
 * How long a closing leader that is not listed keeps its members after it has
 * accepted the order, unless its last probe found requests.  It gets no new
 * ones.
 */
#define UNLISTED_CLOSE_MS ((clk_ms)2000)

/**
 * Number of accepted orders to leave after which a member has left, whatever
 * its entry says: another writer may go on writing it.
 */
#define MAX_LEAVES 3

/** Whether the VM has been removed or doesn't respond to probes. */
static bool
is_gone (const struct frm_vm *vm)
{
  return !vm || vm->unresponsive;
}

static bool
all_members_eligible (const struct frm *f, const struct frm_replica *r)
{
  if (!r->warm_spare && (r->size == 0 || r->nmembers < r->size))
    return false;
  for (size_t i = 0; i < r->nmembers; i++)
    if (!r->members[i] || !frm_may_be_member (f, r->members[i]))
      return false;
  return true;
}

static bool
all_ready (const struct frm_replica *r)
{
  for (size_t i = 0; i < r->nmembers; i++)
    if (!frm_reports (r->members[i], r, BKS_READY))
      return false;
  return true;
}

/**
 * Whether the replica lacks a member: one that is gone, or that this leader
 * node has never seen listed.
 */
static bool
has_missing_member (const struct frm_replica *r)
{
  for (size_t i = 0; i < r->nmembers; i++)
    if (!r->members[i])
      return true;
  return r->size == 0 || r->nmembers < r->size;
}

/* --- joining and opening ----------------------------------------------- */

/**
 * Whether the VM may still accept a join order of an earlier leader node.  A
 * leader node between the one that formed the replica and this one may have
 * ordered the VM to join another replica.  If that order arrives late, it
 * removes the VM from this replica after the replica has opened.  A VM that
 * has accepted an order with the current fencing token rejects it.
 */
static bool
may_accept_older_order (const struct frm *f, const struct frm_replica *r,
                        const struct frm_vm *vm)
{
  return r->adopted && !r->warm_spare && vm->accepted_fence != f->fence;
}

static bool
any_may_accept_older_order (const struct frm *f, const struct frm_replica *r)
{
  for (size_t i = 0; i < r->nmembers; i++)
    if (may_accept_older_order (f, r, r->members[i]))
      return true;
  return false;
}

static void
tick_joining (struct frm *f, struct frm_replica *r)
{
  if (!f->server_list_complete && !r->member_lost && has_missing_member (r))
    {
      r->phase_since = f->now;
      return;
    }
  if (!all_members_eligible (f, r))
    {
      if (f->now - r->phase_since
              > (r->size ? ADOPT_WAIT_MS : FRM_STEP_TIMEOUT_MS)
          || (r->size && r->nmembers >= r->size))
        frm_replica_end (f, r);
      return;
    }
  if (all_ready (r) && !any_may_accept_older_order (f, r))
    {
      if (!r->warm_spare)
        frm_enter_phase (f, r, FRM_PH_OPENING);
      return;
    }
  if (f->list_read_at - r->phase_since > 3 * r->load_ms + FRM_STEP_TIMEOUT_MS)
    {
      frm_replica_end (f, r);
      return;
    }
  for (size_t i = 0; i < r->nmembers; i++)
    if (!frm_reports (r->members[i], r, BKS_JOINING)
        || may_accept_older_order (f, r, r->members[i]))
      frm_send_order (f, r->members[i], FRM_JOIN, r);
}

static void
begin_close (struct frm *f, struct frm_replica *r, bool force)
{
  r->force = force;
  r->close_unanswered = false;
  r->close_accepted_at = 0;
  f->stats.lost++;
  frm_enter_phase (f, r, FRM_PH_CLOSING);
}

void
frm_replica_close (struct frm *f, struct frm_replica *r)
{
  begin_close (f, r, false);
}

static void
tick_opening (struct frm *f, struct frm_replica *r)
{
  /*
   * Compares with the time of the list, not with the current time: with
   * thousands of servers, reading the list takes seconds, and the list may not
   * show the open replica yet.
   */
  if (!all_members_eligible (f, r)
      || f->list_read_at - r->phase_since > FRM_STEP_TIMEOUT_MS)
    {
      begin_close (f, r, true);
      return;
    }
  if (frm_reports (r->members[0], r, BKS_OPEN))
    {
      f->stats.formed++;
      frm_enter_phase (f, r, FRM_PH_OPEN);
      return;
    }
  if (!all_ready (r))
    return;
  r->may_be_open = true;
  frm_send_order (f, r->members[0], FRM_OPEN, r);
}

/* --- open -------------------------------------------------------------- */

/**
 * Probes the members after a report that requests make no progress.  Only the
 * members' responses show which of them has failed.  A member without a
 * response is replaced seconds before the platform removes it from the list.
 */
static void
probe_members (struct frm *f, struct frm_replica *r)
{
  bool all_answered = true;

  for (size_t i = 0; i < r->nmembers; i++)
    {
      struct frm_vm *vm = r->members[i];
      if (!vm || vm->probe_ok_at > r->stall_reported_at)
        continue;
      all_answered = false;
      frm_probe (f, vm);
    }
  if (all_answered)
    r->stall_reported = false;
}

/** Whether a member is gone or has reported that it is no longer ready. */
static bool
has_lost_member (const struct frm_replica *r)
{
  for (size_t i = 0; i < r->nmembers; i++)
    {
      const struct frm_vm *vm = r->members[i];
      if (vm
          && (vm->unresponsive
              || (vm->listed && !frm_reports (vm, r, BKS_READY))))
        return true;
    }
  return r->member_lost;
}

static void
tick_open (struct frm *f, struct frm_replica *r)
{
  struct frm_vm *leader = r->members[0];

  if (is_gone (leader))
    {
      f->stats.lost++;
      frm_enter_phase (f, r, FRM_PH_FENCING);
      return;
    }
  if (!leader->listed)
    {
      if (leader->probe_ok_at)
        begin_close (f, r, false);
      return;
    }
  if (!frm_reports (leader, r, BKS_OPEN)
      || leader->entry.member_state == BKS_BROKEN)
    {
      /*
       * The leader has closed, reported a broken replica or joined another
       * one; in each case it no longer leads this replica.
       */
      f->stats.lost++;
      frm_replica_end (f, r);
      return;
    }
  if (leader->entry.member_state == BKS_CLOSING)
    {
      begin_close (f, r, false);
      return;
    }
  if (has_lost_member (r)
      || ((r->stall_reported || r->appeared_late) && has_missing_member (r)))
    {
      begin_close (f, r, true);
      return;
    }
  for (size_t i = 0; i < r->nmembers; i++)
    if (r->members[i] && frm_is_leaving (f, r->members[i]))
      {
        begin_close (f, r, false);
        return;
      }
  if (r->stall_reported)
    probe_members (f, r);
}

/* --- closing ----------------------------------------------------------- */

/**
 * Whether the leader has reported that it accepts no requests and runs none.
 * A late order to open may take effect after the leader's last report, which
 * is then outdated.  Therefore a report counts only if its list was requested
 * after the leader accepted the order to close.
 */
static bool
leader_has_closed (const struct frm *f, const struct frm_replica *r)
{
  const struct frm_vm *leader = r->members[0];

  if (frm_reports (leader, r, BKS_BROKEN))
    return true;
  return r->close_accepted_at && f->list_read_at > r->close_accepted_at
         && leader->listed && !frm_reports (leader, r, BKS_OPEN);
}

/**
 * Whether a closing leader that is not listed has had time to end its running
 * requests.  The list doesn't show when it has closed.
 */
static bool
unlisted_leader_has_ended (const struct frm *f, const struct frm_replica *r)
{
  const struct frm_vm *leader = r->members[0];
  clk_ms limit = leader->serving ? CLOSE_TIMEOUT_MS : UNLISTED_CLOSE_MS;

  return !leader->listed && r->close_accepted_at
         && f->now - r->phase_since > limit;
}

static void
tick_closing (struct frm *f, struct frm_replica *r)
{
  struct frm_vm *leader = r->members[0];

  if (is_gone (leader))
    {
      frm_enter_phase (f, r, FRM_PH_FENCING);
      return;
    }
  /* The leader may be unreachable, or only slow to respond to orders. */
  if (r->close_unanswered)
    frm_probe (f, leader);
  if (leader_has_closed (f, r) || unlisted_leader_has_ended (f, r))
    {
      frm_replica_end (f, r);
      return;
    }
  if (!r->force && f->now - r->phase_since > CLOSE_TIMEOUT_MS)
    {
      r->force = true;
      r->close_accepted_at = 0;
    }
  if (!r->close_accepted_at)
    frm_send_order (f, leader, FRM_CLOSE, r);
}

static void
tick_leaving (struct frm *f, struct frm_replica *r)
{
  if (is_gone (r->members[0]))
    frm_enter_phase (f, r, FRM_PH_FENCING);
  else if (r->leaves_accepted[0])
    frm_replica_release (f, r);
  else
    frm_send_order (f, r->members[0], FRM_LEAVE, r);
}

/**
 * Whether the member has left the replica.  An order to join it that was
 * unanswered may be carried out after the member has left, so an accepted
 * order to leave counts only until a later list could show its effect.
 */
static bool
has_left (const struct frm *f, const struct frm_replica *r, size_t rank)
{
  const struct frm_vm *vm = r->members[rank];

  if (!frm_reports (vm, r, BKS_JOINING)
      || r->leaves_accepted[rank] >= MAX_LEAVES)
    return true;
  return r->leaves_accepted[rank]
         && f->list_read_at < vm->accepted_at + FRM_REPORT_DELAY_MS;
}

/**
 * Handles a replica whose leader is unreachable.  The leader may be
 * disconnected from this node and from the store and still accept requests.  A
 * member that joined another replica now would serve in both.  After all
 * members have left, the leader makes no progress and stops serving after
 * stall_ms, whether or not this node can reach it.
 *
 * Members that are not listed may be disconnected together with the leader,
 * which then goes on serving.  Unless one member is known to have left, they
 * are not free when they return.
 */
static void
tick_fencing (struct frm *f, struct frm_replica *r)
{
  bool all_left = true;

  if (!is_gone (r->members[0]))
    {
      begin_close (f, r, true);
      return;
    }
  for (size_t i = 1; i < r->nmembers; i++)
    {
      struct frm_vm *vm = r->members[i];
      if (!vm || !vm->listed)
        continue;
      if (has_left (f, r, i))
        {
          r->member_left = true;
          continue;
        }
      all_left = false;
      frm_send_order (f, vm, FRM_LEAVE, r);
    }
  if (!all_left)
    r->phase_since = f->now;
  else if (f->now - r->phase_since > f->opt.stall_ms + FENCE_MARGIN_MS)
    {
      if (r->member_left)
        frm_replica_release (f, r);
      else
        frm_replica_forget (f, r);
    }
}

void
frm_replica_tick (struct frm *f, struct frm_replica *r)
{
  switch (r->phase)
    {
    case FRM_PH_JOINING:
      tick_joining (f, r);
      break;
    case FRM_PH_OPENING:
      tick_opening (f, r);
      break;
    case FRM_PH_OPEN:
      tick_open (f, r);
      break;
    case FRM_PH_CLOSING:
      tick_closing (f, r);
      break;
    case FRM_PH_LEADER_MISSING:
      if (!f->server_list_complete)
        r->phase_since = f->now;
      else if (f->now - r->phase_since > LEADER_MISSING_MS)
        frm_enter_phase (f, r, FRM_PH_FENCING);
      break;
    case FRM_PH_LEAVING:
      tick_leaving (f, r);
      break;
    case FRM_PH_FENCING:
      tick_fencing (f, r);
      break;
    case FRM_PH_ENDED:
      break;
    }
}

/* --- results of orders -------------------------------------------------- */

static void
join_done (struct frm *f, struct frm_replica *r, struct frm_vm *vm,
           enum frm_result result)
{
  if (result != FRM_REJECTED && result != FRM_CONN_REFUSED)
    return;
  vm->excluded_until = f->now + EXCLUDE_MS;
  if (r->phase == FRM_PH_JOINING)
    frm_replica_end (f, r);
}

static void
close_done (struct frm *f, struct frm_replica *r, enum frm_result result)
{
  /* Without a process at that address the replica can't be open. */
  if (result == FRM_CONN_REFUSED)
    frm_replica_release (f, r);
  else if (result == FRM_UNANSWERED)
    r->close_unanswered = true;
  /* A rejection shows that the VM doesn't lead this replica. */
  else if (result != FRM_OUTDATED && !r->close_accepted_at)
    r->close_accepted_at = f->now;
}

static void
leave_done (struct frm *f, struct frm_replica *r, const struct frm_vm *vm,
            enum frm_result result)
{
  if (result == FRM_UNANSWERED || result == FRM_OUTDATED)
    return;
  for (size_t i = 0; i < r->nmembers; i++)
    if (r->members[i] == vm)
      {
        r->leaves_accepted[i]++;
        r->member_left = r->member_left || i > 0;
      }
  if (r->phase == FRM_PH_LEAVING && r->leaves_accepted[0])
    frm_replica_release (f, r);
}

void
frm_replica_order_done (struct frm *f, struct frm_vm *vm,
                        enum frm_order_kind kind, enum frm_result result)
{
  struct frm_replica *r = vm->replica;

  switch (kind)
    {
    case FRM_JOIN:
      join_done (f, r, vm, result);
      break;
    case FRM_OPEN:
      if (result == FRM_REJECTED)
        vm->next_order_at = f->now + OPEN_RETRY_MS;
      break;
    case FRM_CLOSE:
      if (r->phase == FRM_PH_CLOSING)
        close_done (f, r, result);
      break;
    case FRM_LEAVE:
      leave_done (f, r, vm, result);
      break;
    case FRM_PRELOAD: /* not related to a replica */
      break;
    }
}
