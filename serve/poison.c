#include "serve/poison-int.h"

#include <stdlib.h>
#include <string.h>

#include "base/str.h"

/** How long a suspect stays pending.  In this time, nodes at which it has
    completed can clear it. */
#define PENDING_MS ((clk_ms)200)
/** How long updates about a cleared suspect are ignored that tell of crashes
    before then, or may do so. */
#define CLEARED_TTL_MS ((clk_ms)2000)
/** How long a completed run prevents a block. */
#define COMPLETION_TTL_MS ((clk_ms)10000)

const uint64_t *
psn_copy_parts (const struct psn_request *r)
{
  uint64_t *copy;

  if (r->nparts == 0)
    return NULL;
  copy = xcalloc (r->nparts, sizeof *copy);
  memcpy (copy, r->parts, r->nparts * sizeof *copy);
  return copy;
}

struct psn *
psn_new (void)
{
  struct psn *p = xcalloc (1, sizeof *p);

  p->is_collector = true;
  return p;
}

void
psn_free (struct psn *p)
{
  if (!p)
    return;
  free (p->suspects);
  free (p->updates);
  free (p->snapshot);
  free (p);
}

/* --- updates ----------------------------------------------------------- */

static void
add_update (struct psn *p, const struct psn_update *update)
{
  if (p->fetched)
    p->nupdates = 0;
  p->fetched = false;
  if (p->nupdates == p->updates_capacity)
    {
      p->updates_capacity = 2 * p->updates_capacity + 16;
      p->updates
          = xrealloc (p->updates, p->updates_capacity * sizeof *p->updates);
    }
  p->updates[p->nupdates++] = *update;
}

const struct psn_update *
psn_updates (struct psn *p, size_t *n)
{
  *n = p->fetched ? 0 : p->nupdates;
  p->fetched = true;
  return p->updates;
}

void
psn_set_collecting (struct psn *p, clk_ms now, bool collects)
{
  if (collects == p->is_collector)
    return;
  p->is_collector = collects;
  for (size_t i = 0; i < p->n; i++)
    psn_update_pending_time (p, now, &p->suspects[i]);
}

/* --- pending, blocked, cleared ----------------------------------------- */

struct psn_update
psn_make_update (const struct psn_suspect *s, clk_ms now, enum psn_kind kind)
{
  struct psn_update update = { .kind = kind, .id = s->id, .broadcast = true };

  if (kind == PSN_BLOCKED || kind == PSN_BLOCK_PENDING)
    {
      memcpy (update.companions, s->companions, sizeof update.companions);
      update.ncompanions = s->ncompanions;
      update.endpoint = s->crashed_endpoint;
      if (s->crashed_at)
        update.ago_ms = now > s->crashed_at ? now - s->crashed_at : 1;
    }
  return update;
}

static void
add_block_update (struct psn *p, clk_ms now, const struct psn_suspect *s)
{
  struct psn_update update = psn_make_update (s, now, PSN_BLOCKED);

  update.hold_ms = s->state_ends_at - now;
  add_update (p, &update);
}

/** @param kind  PSN_CLEARED, or PSN_COMPLETED of a part */
static void
clear (struct psn *p, clk_ms now, struct psn_suspect *s, enum psn_kind kind,
       bool broadcast)
{
  struct psn_update update = psn_make_update (s, now, kind);
  bool had_crashes = psn_is_pending_or_blocked (s);

  if (kind == PSN_COMPLETED)
    update.ago_ms = now - psn_completed_at (p, s->id);
  update.broadcast = broadcast || had_crashes;
  if (s->state != PSN_S_CLEARED)
    s->cleared_at = now;
  s->state = PSN_S_CLEARED;
  if (had_crashes)
    psn_release_crashes (p, now, s);
  s->state_ends_at = now + CLEARED_TTL_MS;
  s->pending_at = s->companions_at = s->compare_at = CLK_NEVER;
  s->ncrashed_runs = s->ncompanions = 0;
  add_update (p, &update);
}

/** Clear pending or blocked suspects whose crashes are a proper subset of
    those of @p culprit: they were running there by coincidence.  Only a
    collector knows all crashes. */
static void
clear_subsets (struct psn *p, clk_ms now, struct psn_suspect *culprit)
{
  for (size_t i = 0; p->is_collector && i < p->n; i++)
    {
      struct psn_suspect *s = &p->suspects[i];
      if (s != culprit && psn_is_pending_or_blocked (s)
          && psn_crashes_are_subset (s, culprit))
        clear (p, now, s, PSN_CLEARED, true);
    }
}

/** How other nodes are told of a suspect that is cleared. */
static enum psn_kind
clear_kind (const struct psn *p, clk_ms now, struct psn_id id)
{
  return id.is_part && psn_has_completed (p, now, id, COMPLETION_TTL_MS)
             ? PSN_COMPLETED
             : PSN_CLEARED;
}

/** When the crash was that an update tells of, or the last one behind a block.
    The time of the first report is preferred, as the update may be late. */
static clk_ms
crash_time (const struct psn *p, clk_ms now, const struct psn_update *update)
{
  clk_ms at = psn_crashed_at (p, update->endpoint);

  return at ? at : now - update->ago_ms;
}

static void
note_crash (struct psn_suspect *s, clk_ms at, uint64_t endpoint)
{
  if (at <= s->crashed_at)
    return;
  s->crashed_at = at;
  s->crashed_endpoint = endpoint;
}

/** Take over what another node knows of a pending or blocked suspect. */
static void
take_over (struct psn *p, clk_ms now, struct psn_suspect *s,
           const struct psn_update *update)
{
  if (update->ago_ms)
    note_crash (s, crash_time (p, now, update), update->endpoint);
  memcpy (s->companions, update->companions, sizeof s->companions);
  s->ncompanions = update->ncompanions;
  p->has_companions = p->has_companions || s->ncompanions > 0;
}

/** @param update  from another node; NULL: decided here */
static void
set_pending (struct psn *p, clk_ms now, struct psn_suspect *s,
             const struct psn_update *update)
{
  struct psn_update sent;

  if (psn_has_completed (p, now, s->id, COMPLETION_TTL_MS))
    {
      clear (p, now, s, clear_kind (p, now, s->id), true);
      return;
    }
  if (update)
    take_over (p, now, s, update);
  else if (s->id.is_part)
    psn_find_companions (p, s);
  p->has_companions = p->has_companions || s->ncompanions > 0;
  s->state = PSN_S_BLOCK_PENDING;
  s->state_ends_at = now + PENDING_MS;
  if (s->queried_at && s->queried_at + PENDING_MS < s->state_ends_at)
    s->state_ends_at = s->queried_at + PENDING_MS;
  s->pending_at = CLK_NEVER;
  sent = psn_make_update (s, now, PSN_BLOCK_PENDING);
  add_update (p, &sent);
  psn_attribute_crashes (p, now, s);
}

static void
block (struct psn *p, clk_ms now, struct psn_suspect *s, clk_ms hold_ms)
{
  s->state = PSN_S_BLOCKED;
  s->state_ends_at = now + hold_ms;
  s->pending_at = CLK_NEVER;
  add_block_update (p, now, s);
  psn_attribute_crashes (p, now, s);
  if (s->compare_at == CLK_NEVER)
    s->compare_at = now + PSN_SETTLE_MS;
}

/**
 * The hold time of a block is over.  The suspect may run again, because the
 * servers may have been fixed, but one more crash blocks it again.
 */
static void
end_block (struct psn *p, struct psn_suspect *s, clk_ms now)
{
  s->state = PSN_S_OBSERVED;
  s->state_ends_at = now + PSN_HOLD_MS;
  s->pending_at = s->compare_at = CLK_NEVER;
  s->ncrashed_runs = s->ncompanions = 0;
  for (unsigned i = 1; i < PSN_CRASHES; i++)
    s->crashed_runs[s->ncrashed_runs++] = (struct psn_crashed_run){
      .ran_ms = PSN_NO_EVENT, .request = i, .moment = ++p->last_moment
    };
}

/** A part has completed: blocks together with it apply without it. */
static void
remove_companion (struct psn *p, clk_ms now, uint64_t part)
{
  for (size_t i = 0; p->has_companions && i < p->n; i++)
    {
      struct psn_suspect *s = &p->suspects[i];
      if (psn_remove_companion (s, part) && s->state == PSN_S_BLOCKED)
        add_block_update (p, now, s);
    }
}

/** A part has completed that was blocked together with others: one of these
    is the cause. */
static void
block_companions (struct psn *p, clk_ms now, const struct psn_suspect *part)
{
  struct psn_suspect copy = *part, *s;
  struct psn_id id = { .is_part = true };

  for (size_t i = copy.ncompanions; i-- > 0;)
    {
      id.value = copy.companions[i];
      if (psn_has_completed (p, now, id, COMPLETION_TTL_MS))
        psn_remove_companion (&copy, id.value);
    }
  if (copy.ncompanions == 0)
    return;
  id.value = copy.companions[0];
  psn_remove_companion (&copy, id.value);
  s = psn_find_or_add (p, now, id);
  memcpy (s->companions, copy.companions, sizeof s->companions);
  s->ncompanions = copy.ncompanions;
  block (p, now, s, copy.state_ends_at - now);
}

static void
part_completed (struct psn *p, clk_ms now, clk_ms completed_at,
                struct psn_id id, bool broadcast)
{
  struct psn_suspect *s = psn_find (p, id), copy;

  psn_record_completion (p, completed_at, id);
  remove_companion (p, now, id.value);
  if (!s || s->state == PSN_S_CLEARED)
    return;
  copy = *s;
  clear (p, now, s, PSN_COMPLETED, broadcast);
  if (copy.state == PSN_S_BLOCKED)
    block_companions (p, now, &copy);
}

/* --- applying updates --------------------------------------------------- */

/** Whether @p at is after the suspect was cleared, also at nodes that did so a
    little earlier. */
static bool
is_after_clearing (const struct psn_suspect *s, clk_ms at)
{
  return at > s->cleared_at + PSN_SAME_MOMENT_MS;
}

/** Observe a cleared suspect again if it has crashed since.  Without that, a
    cause that was cleared as a bystander would crash servers unobserved until
    CLEARED_TTL_MS has passed.
    @param at  its crash */
static void
reopen (struct psn *p, clk_ms now, struct psn_suspect *s, clk_ms at)
{
  if (s->state != PSN_S_CLEARED || !is_after_clearing (s, at)
      || psn_has_completed (p, now, s->id, COMPLETION_TTL_MS))
    return;
  s->state = PSN_S_OBSERVED;
  s->state_ends_at = now + PSN_HOLD_MS;
  s->queried_at = 0;
}

static void
add_crashed_run (struct psn *p, clk_ms now, struct psn_suspect *s,
                 const struct psn_update *update, bool decided)
{
  bool attributed = !decided && psn_is_attributed (p, update->endpoint);
  struct psn_crashed_run *r = psn_place_for_run (s, attributed);
  clk_ms at = now - update->ago_ms;
  uint32_t moment = psn_crash_moment (p, at, update->endpoint);

  note_crash (s, crash_time (p, now, update), update->endpoint);
  if (!r)
    return;
  *r = (struct psn_crashed_run){ .endpoint = update->endpoint,
                                 .ran_ms = update->ran_ms,
                                 .request = update->request,
                                 .moment = moment,
                                 .attributed_to_other = attributed };
  if (decided)
    s->compare_at = now + PSN_SETTLE_MS;
  add_update (p, update);
}

/** Whether no question about the part has been sent for so long that it may
    have completed since. */
static bool
needs_query (const struct psn_suspect *s, clk_ms now)
{
  return s->id.is_part
         && (!s->queried_at || now - s->queried_at > COMPLETION_TTL_MS);
}

/** Ask all nodes whether the part has completed there. */
static void
send_query (struct psn *p, clk_ms now, struct psn_suspect *s)
{
  struct psn_update query = psn_make_update (s, now, PSN_QUERY);

  s->queried_at = now;
  add_update (p, &query);
}

static void
apply_crash (struct psn *p, clk_ms now, const struct psn_update *update)
{
  struct psn_suspect *s = psn_find (p, update->id);
  bool decided = s && psn_is_pending_or_blocked (s);

  if (s)
    reopen (p, now, s, crash_time (p, now, update));
  if (s
      && (s->state == PSN_S_CLEARED
          || psn_find_crashed_run (s, update->endpoint)))
    return;
  s = psn_find_or_add (p, now, update->id);
  if (update->id.is_part
      && psn_has_completed (p, now, update->id, COMPLETION_TTL_MS))
    {
      clear (p, now, s, PSN_COMPLETED, false);
      return;
    }
  add_crashed_run (p, now, s, update, decided);
  if (decided)
    {
      if (s->ncompanions > 0)
        s->companions_at = now + PENDING_MS;
      psn_attribute_crashes (p, now, s);
      /* The node that ran the request has not received the block; block()
         sends it again. */
      if (s->state == PSN_S_BLOCKED)
        block (p, now, s, PSN_HOLD_MS);
      return;
    }
  s->state_ends_at = now + PSN_HOLD_MS;
  psn_update_pending_time (p, now, s);
  if (p->is_collector && needs_query (s, now) && psn_is_near_block (p, now, s))
    send_query (p, now, s);
}

static void
apply_query (struct psn *p, clk_ms now, const struct psn_update *update)
{
  struct psn_suspect *s = psn_find (p, update->id);

  if (psn_has_completed (p, now, update->id, COMPLETION_TTL_MS))
    {
      struct psn_update completed
          = { .kind = PSN_COMPLETED,
              .id = update->id,
              .ago_ms = now - psn_completed_at (p, update->id) };
      add_update (p, &completed);
    }
  else if (s && needs_query (s, now))
    send_query (p, now, s);
}

void
psn_run_crashed (struct psn *p, clk_ms now, const struct psn_run *run)
{
  struct psn_update update = { .kind = PSN_CRASH,
                               .id = { false, run->request.digest },
                               .endpoint = run->endpoint,
                               .ran_ms = run->ran_ms,
                               .ago_ms = run->ago_ms };

  apply_crash (p, now, &update);
  update.request = run->request.digest;
  for (size_t i = 0; i < run->request.nparts; i++)
    {
      update.id = (struct psn_id){ true, run->request.parts[i] };
      if (!psn_has_completed (p, now, update.id, COMPLETION_TTL_MS))
        apply_crash (p, now, &update);
    }
}

static void
apply_pending (struct psn *p, clk_ms now, const struct psn_update *update)
{
  struct psn_suspect *s = psn_find_or_add (p, now, update->id);

  if (update->ago_ms)
    reopen (p, now, s, crash_time (p, now, update));
  if (s->state == PSN_S_OBSERVED)
    set_pending (p, now, s, update);
}

/** Keep the companions that @p update names, too.
    @retval false  nothing has changed */
static bool
keep_common_companions (struct psn_suspect *s, const struct psn_update *update)
{
  size_t kept = 0, n = s->ncompanions;

  for (size_t i = 0; i < n; i++)
    for (size_t k = 0; k < update->ncompanions; k++)
      if (s->companions[i] == update->companions[k])
        {
          s->companions[kept++] = s->companions[i];
          break;
        }
  s->ncompanions = kept;
  return kept < n;
}

static void
apply_blocked (struct psn *p, clk_ms now, const struct psn_update *update)
{
  struct psn_suspect *s = psn_find_or_add (p, now, update->id);

  if (update->ago_ms)
    reopen (p, now, s, crash_time (p, now, update));
  if (s->state == PSN_S_BLOCKED)
    {
      if (s->state_ends_at < now + update->hold_ms)
        s->state_ends_at = now + update->hold_ms;
      if (keep_common_companions (s, update))
        add_block_update (p, now, s);
    }
  else if (s->state == PSN_S_CLEARED
           || psn_has_completed (p, now, update->id, COMPLETION_TTL_MS))
    clear (p, now, s, clear_kind (p, now, s->id), true);
  else
    {
      take_over (p, now, s, update);
      block (p, now, s, update->hold_ms);
    }
}

static void
apply_cleared (struct psn *p, clk_ms now, const struct psn_update *update)
{
  struct psn_suspect *s = psn_find (p, update->id);

  if (s && s->state != PSN_S_CLEARED)
    clear (p, now, s, PSN_CLEARED, update->broadcast);
}

void
psn_apply (struct psn *p, clk_ms now, const struct psn_update *update)
{
  switch (update->kind)
    {
    case PSN_CRASH:
      apply_crash (p, now, update);
      break;
    case PSN_BLOCK_PENDING:
      apply_pending (p, now, update);
      break;
    case PSN_BLOCKED:
      apply_blocked (p, now, update);
      break;
    case PSN_CLEARED:
      apply_cleared (p, now, update);
      break;
    case PSN_COMPLETED:
      part_completed (p, now, now - update->ago_ms, update->id,
                      update->broadcast);
      break;
    case PSN_QUERY:
      apply_query (p, now, update);
      break;
    }
}

void
psn_completed (struct psn *p, clk_ms now, const struct psn_request *r)
{
  struct psn_id id = { false, r->digest };
  struct psn_suspect *s = psn_find (p, id);

  psn_record_completion (p, now, id);
  if (s && s->state != PSN_S_CLEARED)
    clear (p, now, s, PSN_CLEARED, false);
  for (size_t i = 0; i < r->nparts; i++)
    part_completed (p, now, now, (struct psn_id){ true, r->parts[i] }, false);
}

/* --- timeouts ------------------------------------------------------------ */

/** Clear bystanders of blocked suspects whose last crash has been reported by
    all nodes.  A crash is reported for one suspect after the other: until then
    the crashes of one that runs in all of them can look like a subset. */
static void
clear_bystanders (struct psn *p, clk_ms now)
{
  for (size_t i = 0; i < p->n; i++)
    {
      struct psn_suspect *s = &p->suspects[i];
      if (now < s->compare_at)
        continue;
      s->compare_at = CLK_NEVER;
      /* Not while it is pending: a run of it may have completed. */
      if (s->state == PSN_S_BLOCKED)
        clear_subsets (p, now, s);
    }
}

/** Compare blocked parts that have crashed again with their companions. */
static void
check_companions (struct psn *p, clk_ms now)
{
  bool any = false;

  for (size_t i = 0; i < p->n; i++)
    {
      struct psn_suspect *s = &p->suspects[i];
      if (now >= s->companions_at && psn_check_companions (p, s)
          && s->state == PSN_S_BLOCKED)
        add_block_update (p, now, s);
      any = any || s->ncompanions > 0;
    }
  p->has_companions = any;
}

/** Process timeouts of states; remove suspects whose observed or cleared state
    has ended. */
static void
expire (struct psn *p, clk_ms now)
{
  for (size_t i = 0; i < p->n;)
    {
      struct psn_suspect *s = &p->suspects[i];
      if (now < s->state_ends_at)
        i++;
      else if (s->state == PSN_S_BLOCK_PENDING)
        block (p, now, s, PSN_HOLD_MS);
      else if (s->state == PSN_S_BLOCKED)
        end_block (p, s, now);
      else
        psn_remove (p, s);
    }
}

void
psn_tick (struct psn *p, clk_ms now)
{
  struct psn_suspect *s;

  while ((s = psn_next_pending (p, now)) != NULL)
    set_pending (p, now, s, NULL);
  if (p->has_companions)
    check_companions (p, now);
  clear_bystanders (p, now);
  expire (p, now);
}

void
psn_resumed (struct psn *p, clk_ms now)
{
  for (size_t i = 0; i < p->n; i++)
    {
      struct psn_suspect *s = &p->suspects[i];
      if (s->state == PSN_S_BLOCK_PENDING
          && s->state_ends_at < now + PENDING_MS)
        s->state_ends_at = now + PENDING_MS;
      if (s->pending_at < now + PENDING_MS)
        s->pending_at = now + PENDING_MS;
      if (s->compare_at < now + PENDING_MS)
        s->compare_at = now + PENDING_MS;
    }
}

clk_ms
psn_next_deadline (const struct psn *p)
{
  clk_ms wake = CLK_NEVER;

  for (size_t i = 0; i < p->n; i++)
    {
      const struct psn_suspect *s = &p->suspects[i];
      if (s->state_ends_at < wake)
        wake = s->state_ends_at;
      if (s->pending_at < wake)
        wake = s->pending_at;
      if (s->companions_at < wake)
        wake = s->companions_at;
      if (s->compare_at < wake)
        wake = s->compare_at;
    }
  return wake;
}
