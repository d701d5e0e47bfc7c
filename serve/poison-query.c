#include "serve/poison-int.h"

#include "base/str.h"

/** Retry delay reported to a client whose request is pending. */
#define PENDING_RETRY_MS ((clk_ms)300)

static bool
has_part (const struct psn_request *r, uint64_t part)
{
  for (size_t i = 0; i < r->nparts; i++)
    if (r->parts[i] == part)
      return true;
  return false;
}

/** Whether the request has all parts that are blocked together with @p s. */
static bool
has_companions (const struct psn_request *r, const struct psn_suspect *s)
{
  for (size_t i = 0; i < s->ncompanions; i++)
    if (!has_part (r, s->companions[i]))
      return false;
  return true;
}

/** The @p i th of the ids that can cause a refusal of the request: its own and
    those of its parts. */
static struct psn_id
nth_id (const struct psn_request *r, size_t i)
{
  return i == 0 ? (struct psn_id){ false, r->digest }
                : (struct psn_id){ true, r->parts[i - 1] };
}

static struct psn_suspect *
find_block (const struct psn *p, const struct psn_request *r)
{
  for (size_t i = 0; i <= r->nparts; i++)
    {
      struct psn_suspect *s = psn_find (p, nth_id (r, i));
      if (s && s->state == PSN_S_BLOCKED && has_companions (r, s))
        return s;
    }
  return NULL;
}

static struct psn_suspect *
find_pending (const struct psn *p, const struct psn_request *r)
{
  for (size_t i = 0; i <= r->nparts; i++)
    {
      struct psn_suspect *s = psn_find (p, nth_id (r, i));
      if (s && (s->state == PSN_S_BLOCK_PENDING || s->pending_at != CLK_NEVER)
          && has_companions (r, s))
        return s;
    }
  return NULL;
}

bool
psn_should_refuse (struct psn *p, clk_ms now, const struct psn_request *r,
                   struct psn_refusal *out)
{
  struct psn_suspect *s = find_block (p, r);

  if (s)
    {
      *out = (struct psn_refusal){ s->id, 0 };
      if (!s->id.is_part)
        s->state_ends_at = now + PSN_HOLD_MS;
      return true;
    }
  s = find_pending (p, r);
  if (s)
    *out = (struct psn_refusal){ s->id, PENDING_RETRY_MS };
  return s != NULL;
}

bool
psn_is_suspect (const struct psn *p, clk_ms now, const struct psn_request *r)
{
  for (size_t i = 0; i <= r->nparts; i++)
    {
      struct psn_suspect *s = psn_find (p, nth_id (r, i));
      if (s
          && (psn_is_pending_or_blocked (s) ? has_companions (r, s)
                                            : psn_is_near_block (p, now, s)))
        return true;
    }
  return false;
}

bool
psn_get_block (const struct psn *p, clk_ms now, struct psn_id id,
               struct psn_update *out)
{
  const struct psn_suspect *s = psn_find (p, id);

  if (!s || s->state != PSN_S_BLOCKED)
    return false;
  *out = psn_make_update (s, now, PSN_BLOCKED);
  out->hold_ms = s->state_ends_at - now;
  return true;
}

/** Time since the crash.  Of one that isn't recorded any more, evidence was
    reported within PSN_HOLD_MS. */
static clk_ms
time_since_crash (const struct psn *p, clk_ms now, uint64_t endpoint)
{
  clk_ms at = psn_crashed_at (p, endpoint);

  return at ? now - at : PSN_HOLD_MS;
}

/** Append the state of the suspect to the snapshot, and its crashes. */
static size_t
add_to_snapshot (const struct psn *p, const struct psn_suspect *s, clk_ms now,
                 struct psn_update *out)
{
  size_t n = 0;

  if (psn_is_pending_or_blocked (s))
    {
      out[n] = psn_make_update (
          s, now, s->state == PSN_S_BLOCKED ? PSN_BLOCKED : PSN_BLOCK_PENDING);
      if (s->state == PSN_S_BLOCKED)
        out[n].hold_ms = s->state_ends_at - now;
      n++;
    }
  for (size_t i = 0; i < s->ncrashed_runs; i++)
    {
      const struct psn_crashed_run *r = &s->crashed_runs[i];
      if (r->endpoint)
        out[n++] = (struct psn_update){ .kind = PSN_CRASH,
                                        .id = s->id,
                                        .endpoint = r->endpoint,
                                        .ran_ms = r->ran_ms,
                                        .request = r->request,
                                        .ago_ms = time_since_crash (
                                            p, now, r->endpoint) };
    }
  return n;
}

const struct psn_update *
psn_snapshot (struct psn *p, clk_ms now, size_t *n)
{
  p->snapshot = xrealloc (p->snapshot, (p->n * (PSN_MAX_CRASHED_RUNS + 1) + 1)
                                           * sizeof *p->snapshot);
  *n = 0;
  for (size_t i = 0; i < p->n; i++)
    *n += add_to_snapshot (p, &p->suspects[i], now, p->snapshot + *n);
  return p->snapshot;
}

size_t
psn_count_blocked (const struct psn *p, bool parts)
{
  size_t n = 0;

  for (size_t i = 0; i < p->n; i++)
    n += p->suspects[i].state == PSN_S_BLOCKED
         && p->suspects[i].id.is_part == parts;
  return n;
}
