#include "serve/poison-int.h"

#include <stdlib.h>

#include "base/str.h"

/** How long a request stays pending.  In this time, nodes at which it has
    completed can clear it. */
#define PENDING_MS ((clk_ms)200)
/** Retry delay reported to a client whose request is pending. */
#define PENDING_RETRY_MS ((clk_ms)300)
/** How long updates about a cleared request are ignored, because they may have
    been sent before the request was cleared. */
#define CLEARED_TTL_MS ((clk_ms)2000)
/** How long a completed run prevents a block of the request. */
#define COMPLETION_TTL_MS ((clk_ms)10000)

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

static void
clear (struct psn *p, clk_ms now, struct psn_suspect *s, bool broadcast)
{
  struct psn_update update
      = { .kind = PSN_CLEARED,
          .digest = s->digest,
          .broadcast = broadcast || psn_is_pending_or_blocked (s) };

  s->state = PSN_S_CLEARED;
  s->state_ends_at = now + CLEARED_TTL_MS;
  s->pending_at = CLK_NEVER;
  s->ncrashed_runs = 0;
  add_update (p, &update);
}

static bool
has_completed (const struct psn *p, clk_ms now, uint64_t digest)
{
  for (size_t i = 0; i < PSN_MAX_COMPLETED; i++)
    {
      const struct psn_completion *c = &p->completed[i];
      if (c->digest == digest && c->at && now - c->at < COMPLETION_TTL_MS)
        return true;
    }
  return false;
}

/** Clear pending or blocked requests whose crashes are a proper subset of
    those of @p culprit: they were running there by coincidence. */
static void
clear_subsets (struct psn *p, clk_ms now, struct psn_suspect *culprit)
{
  for (size_t i = 0; i < p->n; i++)
    {
      struct psn_suspect *s = &p->suspects[i];
      if (s != culprit && psn_is_pending_or_blocked (s)
          && psn_crashes_are_subset (s, culprit))
        clear (p, now, s, true);
    }
}

static void
set_pending (struct psn *p, clk_ms now, struct psn_suspect *s)
{
  struct psn_update update
      = { .kind = PSN_BLOCK_PENDING, .digest = s->digest, .broadcast = true };

  if (has_completed (p, now, s->digest))
    {
      clear (p, now, s, true);
      return;
    }
  s->state = PSN_S_BLOCK_PENDING;
  s->state_ends_at = now + PENDING_MS;
  s->pending_at = CLK_NEVER;
  add_update (p, &update);
  psn_attribute_crashes (p, now, s);
  clear_subsets (p, now, s);
}

static void
block (struct psn *p, clk_ms now, struct psn_suspect *s, clk_ms hold_ms)
{
  struct psn_update update = { .kind = PSN_BLOCKED,
                               .digest = s->digest,
                               .hold_ms = hold_ms,
                               .broadcast = true };

  s->state = PSN_S_BLOCKED;
  s->state_ends_at = now + hold_ms;
  s->pending_at = CLK_NEVER;
  add_update (p, &update);
  psn_attribute_crashes (p, now, s);
}

/**
 * The hold time of a block is over.  The request may run again, because the
 * servers may have been fixed, but one more crash blocks it again.
 */
static void
end_block (struct psn_suspect *s, clk_ms now)
{
  s->state = PSN_S_OBSERVED;
  s->state_ends_at = now + PSN_HOLD_MS;
  s->pending_at = CLK_NEVER;
  s->ncrashed_runs = 0;
  for (unsigned i = 1; i < PSN_CRASHES; i++)
    s->crashed_runs[s->ncrashed_runs++]
        = (struct psn_crashed_run){ 0, PSN_NO_EVENT, false };
}

/* --- applying updates --------------------------------------------------- */

static void
apply_crash (struct psn *p, clk_ms now, const struct psn_update *update)
{
  struct psn_suspect *s = psn_find (p, update->digest);
  bool decided = s && psn_is_pending_or_blocked (s);

  if (s
      && (s->state == PSN_S_CLEARED
          || psn_find_crashed_run (s, update->endpoint)))
    return;
  s = psn_find_or_add (p, now, update->digest);
  if (s->ncrashed_runs < PSN_MAX_CRASHED_RUNS)
    {
      s->crashed_runs[s->ncrashed_runs++] = (struct psn_crashed_run){
        update->endpoint, update->ran_ms,
        !decided && psn_is_attributed (p, update->endpoint)
      };
      add_update (p, update);
    }
  if (decided)
    {
      psn_attribute_crashes (p, now, s);
      /* The node that ran the request has not received the block; block()
         sends it again. */
      if (s->state == PSN_S_BLOCKED)
        block (p, now, s, PSN_HOLD_MS);
      return;
    }
  s->state_ends_at = now + PSN_HOLD_MS;
  psn_update_pending_time (p, now, s);
}

static void
apply_pending (struct psn *p, clk_ms now, const struct psn_update *update)
{
  struct psn_suspect *s = psn_find_or_add (p, now, update->digest);

  if (s->state == PSN_S_OBSERVED)
    set_pending (p, now, s);
}

static void
apply_blocked (struct psn *p, clk_ms now, const struct psn_update *update)
{
  struct psn_suspect *s = psn_find_or_add (p, now, update->digest);

  if (s->state == PSN_S_BLOCKED)
    {
      if (s->state_ends_at < now + update->hold_ms)
        s->state_ends_at = now + update->hold_ms;
    }
  else if (s->state == PSN_S_CLEARED || has_completed (p, now, update->digest))
    clear (p, now, s, true);
  else
    block (p, now, s, update->hold_ms);
}

static void
apply_cleared (struct psn *p, clk_ms now, const struct psn_update *update)
{
  struct psn_suspect *s = psn_find (p, update->digest);

  if (s && s->state != PSN_S_CLEARED)
    clear (p, now, s, update->broadcast);
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
    }
}

void
psn_completed (struct psn *p, clk_ms now, uint64_t digest)
{
  struct psn_suspect *s = psn_find (p, digest);

  p->completed[p->next_completed++ % PSN_MAX_COMPLETED]
      = (struct psn_completion){ digest, now };
  if (s && s->state != PSN_S_CLEARED)
    clear (p, now, s, false);
}

/* --- queries and timeouts ----------------------------------------------- */

bool
psn_should_refuse (struct psn *p, clk_ms now, uint64_t digest,
                   clk_ms *retry_ms)
{
  struct psn_suspect *s = psn_find (p, digest);

  *retry_ms = 0;
  if (!s)
    return false;
  if (s->state == PSN_S_BLOCKED)
    {
      s->state_ends_at = now + PSN_HOLD_MS;
      return true;
    }
  *retry_ms = PENDING_RETRY_MS;
  return s->state == PSN_S_BLOCK_PENDING || s->pending_at != CLK_NEVER;
}

bool
psn_is_suspect (const struct psn *p, uint64_t digest)
{
  const struct psn_suspect *s = psn_find (p, digest);

  return s && (psn_is_pending_or_blocked (s) || psn_is_near_block (s));
}

/** Process timeouts of states; remove requests whose observed or cleared state
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
        end_block (s, now);
      else
        psn_remove (p, s);
    }
}

void
psn_tick (struct psn *p, clk_ms now)
{
  struct psn_suspect *s;

  while ((s = psn_next_pending (p, now)) != NULL)
    set_pending (p, now, s);
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
    }
  return wake;
}

const struct psn_update *
psn_snapshot (struct psn *p, clk_ms now, size_t *n)
{
  p->snapshot = xrealloc (p->snapshot, (p->n * (PSN_MAX_CRASHED_RUNS + 1) + 1)
                                           * sizeof *p->snapshot);
  *n = 0;
  for (size_t i = 0; i < p->n; i++)
    {
      const struct psn_suspect *s = &p->suspects[i];
      if (s->state == PSN_S_BLOCKED)
        p->snapshot[(*n)++]
            = (struct psn_update){ .kind = PSN_BLOCKED,
                                   .digest = s->digest,
                                   .hold_ms = s->state_ends_at - now,
                                   .broadcast = true };
      else if (s->state == PSN_S_BLOCK_PENDING)
        p->snapshot[(*n)++] = (struct psn_update){ .kind = PSN_BLOCK_PENDING,
                                                   .digest = s->digest,
                                                   .broadcast = true };
      for (size_t k = 0; k < s->ncrashed_runs; k++)
        if (s->crashed_runs[k].endpoint)
          p->snapshot[(*n)++]
              = (struct psn_update){ .kind = PSN_CRASH,
                                     .digest = s->digest,
                                     .endpoint = s->crashed_runs[k].endpoint,
                                     .ran_ms = s->crashed_runs[k].ran_ms };
    }
  return p->snapshot;
}

bool
psn_is_blocked (const struct psn *p, uint64_t digest)
{
  const struct psn_suspect *s = psn_find (p, digest);

  return s && s->state == PSN_S_BLOCKED;
}

size_t
psn_count_blocked (const struct psn *p)
{
  size_t n = 0;

  for (size_t i = 0; i < p->n; i++)
    n += p->suspects[i].state == PSN_S_BLOCKED;
  return n;
}
