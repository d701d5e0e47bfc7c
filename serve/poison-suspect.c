#include "serve/poison-int.h"

#include <stdlib.h>
#include <string.h>

#include "base/str.h"

/** Weights of a crash as evidence.  A poison request crashes its server soon
    after it starts to run, so the weight is higher for short runs.  It is
    halved if the crash is attributed to another suspect. */
#define WEIGHT_NO_EVENT 4 /* the run had produced no event */
#define WEIGHT_EARLY 3
#define WEIGHT_LONG 2
#define EARLY_MS ((clk_ms)500)
/** A run with a part is long only from this time on: the server writes the
    first tokens at the pace of all its runs, and events hold several. */
#define PART_EARLY_MS ((clk_ms)1000)
/** Weights from which a suspect is blocked, or would be blocked after one more
    crash. */
#define MIN_BLOCK_WEIGHT ((PSN_CRASHES - 1) * WEIGHT_NO_EVENT + WEIGHT_EARLY)

/* --- table of suspects -------------------------------------------------- */

static bool
is_same (struct psn_id a, struct psn_id b)
{
  return a.value == b.value && a.is_part == b.is_part;
}

struct psn_suspect *
psn_find (const struct psn *p, struct psn_id id)
{
  uint32_t k = p->buckets[id.value % PSN_BUCKETS];

  while (k && !is_same (p->suspects[k - 1].id, id))
    k = p->suspects[k - 1].bucket_next;
  return k ? &p->suspects[k - 1] : NULL;
}

static void
add_to_bucket (struct psn *p, struct psn_suspect *s)
{
  uint32_t *bucket = &p->buckets[s->id.value % PSN_BUCKETS];

  s->bucket_next = *bucket;
  *bucket = (uint32_t)(s - p->suspects) + 1;
}

static void
remove_from_bucket (struct psn *p, const struct psn_suspect *s)
{
  uint32_t *k = &p->buckets[s->id.value % PSN_BUCKETS];

  while (*k != (uint32_t)(s - p->suspects) + 1)
    k = &p->suspects[*k - 1].bucket_next;
  *k = s->bucket_next;
}

/* --- weight of the evidence --------------------------------------------- */

static unsigned
crash_weight (const struct psn_suspect *s, size_t i, bool halve_attributed)
{
  const struct psn_crashed_run *r = &s->crashed_runs[i];
  unsigned w;

  if (r->ran_ms == PSN_NO_EVENT)
    w = WEIGHT_NO_EVENT;
  else if (s->id.is_part)
    w = r->ran_ms < PART_EARLY_MS ? WEIGHT_NO_EVENT : WEIGHT_LONG;
  else
    w = r->ran_ms < EARLY_MS ? WEIGHT_EARLY : WEIGHT_LONG;
  return halve_attributed && r->attributed_to_other ? w / 2 : w;
}

/** Whether another crash of the same moment counts instead of this one. */
static bool
is_counted_elsewhere (const struct psn_suspect *s, size_t i,
                      bool halve_attributed)
{
  unsigned w = crash_weight (s, i, halve_attributed);

  for (size_t k = 0; s->id.is_part && k < s->ncrashed_runs; k++)
    {
      unsigned other = crash_weight (s, k, halve_attributed);
      if (k != i && s->crashed_runs[k].moment == s->crashed_runs[i].moment
          && (other > w || (other == w && k < i)))
        return true;
    }
  return false;
}

static unsigned
sum_weights (const struct psn_suspect *s, bool halve_attributed)
{
  unsigned w = 0;

  for (size_t i = 0; i < s->ncrashed_runs; i++)
    if (!is_counted_elsewhere (s, i, halve_attributed))
      w += crash_weight (s, i, halve_attributed);
  return w;
}

/** Weight of all crashes, regardless of attribution. */
static unsigned
total_weight (const struct psn_suspect *s)
{
  return sum_weights (s, false);
}

static unsigned
weight (const struct psn_suspect *s)
{
  return sum_weights (s, true);
}

/** A part that has completed, though some time ago, takes more evidence. */
static unsigned
min_block_weight (const struct psn *p, clk_ms now, const struct psn_suspect *s)
{
  return s->id.is_part && psn_has_completed (p, now, s->id, PSN_HOLD_MS)
             ? 2 * MIN_BLOCK_WEIGHT
             : MIN_BLOCK_WEIGHT;
}

/** Whether @p a is evicted before @p b from a full table. */
static bool
is_evicted_before (const struct psn_suspect *a, const struct psn_suspect *b)
{
  bool blocked_a = a->state == PSN_S_BLOCKED;
  bool blocked_b = b->state == PSN_S_BLOCKED;
  unsigned weight_a = weight (a), weight_b = weight (b);

  if (blocked_a != blocked_b)
    return blocked_b;
  if (!blocked_a && weight_a != weight_b)
    return weight_a < weight_b;
  return a->state_ends_at < b->state_ends_at;
}

static struct psn_suspect *
find_evicted (struct psn *p)
{
  struct psn_suspect *next = &p->suspects[0];

  for (size_t i = 1; i < p->n; i++)
    if (is_evicted_before (&p->suspects[i], next))
      next = &p->suspects[i];
  return next;
}

struct psn_suspect *
psn_find_or_add (struct psn *p, clk_ms now, struct psn_id id)
{
  struct psn_suspect *s = psn_find (p, id);

  if (s)
    return s;
  if (p->n == PSN_MAX_SUSPECTS)
    {
      s = find_evicted (p);
      remove_from_bucket (p, s);
    }
  else
    {
      if (p->n == p->capacity)
        {
          p->capacity = 2 * p->capacity + 16;
          p->suspects
              = xrealloc (p->suspects, p->capacity * sizeof *p->suspects);
        }
      s = &p->suspects[p->n++];
    }
  memset (s, 0, sizeof *s);
  s->id = id;
  s->pending_at = s->companions_at = s->compare_at = CLK_NEVER;
  s->state_ends_at = now + PSN_HOLD_MS;
  add_to_bucket (p, s);
  return s;
}

void
psn_remove (struct psn *p, struct psn_suspect *s)
{
  struct psn_suspect *last = &p->suspects[p->n - 1];

  remove_from_bucket (p, s);
  if (s != last)
    {
      remove_from_bucket (p, last);
      *s = *last;
      add_to_bucket (p, s);
    }
  p->n--;
}

/* --- attribution of crashes --------------------------------------------- */

struct psn_crashed_run *
psn_find_crashed_run (struct psn_suspect *s, uint64_t endpoint)
{
  for (size_t i = 0; i < s->ncrashed_runs; i++)
    if (s->crashed_runs[i].endpoint == endpoint)
      return &s->crashed_runs[i];
  return NULL;
}

struct psn_crashed_run *
psn_place_for_run (struct psn_suspect *s, bool attributed)
{
  if (s->ncrashed_runs < PSN_MAX_CRASHED_RUNS)
    return &s->crashed_runs[s->ncrashed_runs++];
  for (size_t i = 0; i < s->ncrashed_runs && !attributed; i++)
    if (s->crashed_runs[i].attributed_to_other)
      return &s->crashed_runs[i];
  return NULL;
}

bool
psn_is_pending_or_blocked (const struct psn_suspect *s)
{
  return s->state == PSN_S_BLOCK_PENDING || s->state == PSN_S_BLOCKED;
}

bool
psn_is_near_block (const struct psn *p, clk_ms now,
                   const struct psn_suspect *s)
{
  return weight (s) + WEIGHT_NO_EVENT >= min_block_weight (p, now, s);
}

uint32_t
psn_crash_moment (struct psn *p, clk_ms at, uint64_t endpoint)
{
  struct psn_crash_time *c = &p->crashes[p->next_crash % PSN_MAX_CRASHES];
  uint32_t moment = 0;

  for (size_t i = 0; i < PSN_MAX_CRASHES; i++)
    {
      const struct psn_crash_time *other = &p->crashes[i];
      if (!other->moment)
        continue;
      if (other->endpoint == endpoint)
        return other->moment;
      if (llabs (other->at - at) < PSN_SAME_MOMENT_MS)
        moment = other->moment;
    }
  p->next_crash++;
  *c = (struct psn_crash_time){ endpoint, at,
                                moment ? moment : ++p->last_moment };
  return c->moment;
}

clk_ms
psn_crashed_at (const struct psn *p, uint64_t endpoint)
{
  for (size_t i = 0; i < PSN_MAX_CRASHES; i++)
    if (p->crashes[i].moment && p->crashes[i].endpoint == endpoint)
      return p->crashes[i].at;
  return 0;
}

/** Whether @p s was running in all crashes of @p other. */
static bool
was_in_all_crashes (struct psn_suspect *s, const struct psn_suspect *other)
{
  for (size_t i = 0; i < other->ncrashed_runs; i++)
    if (!psn_find_crashed_run (s, other->crashed_runs[i].endpoint))
      return false;
  return true;
}

bool
psn_crashes_are_subset (const struct psn_suspect *a, struct psn_suspect *b)
{
  return a->ncrashed_runs > 0 && a->ncrashed_runs < b->ncrashed_runs
         && was_in_all_crashes (b, a);
}

/* --- parts that are always together -------------------------------------- */

/** Whether both parts were in the same requests in all crashes of @p a. */
static bool
was_companion (const struct psn_suspect *a, struct psn_suspect *b)
{
  for (size_t i = 0; i < a->ncrashed_runs; i++)
    {
      const struct psn_crashed_run *x = &a->crashed_runs[i];
      const struct psn_crashed_run *y = psn_find_crashed_run (b, x->endpoint);
      if (!y || y->request != x->request)
        return false;
    }
  return true;
}

void
psn_find_companions (const struct psn *p, struct psn_suspect *s)
{
  s->ncompanions = 0;
  s->companions_at = CLK_NEVER;
  for (size_t i = 0; i < p->n && s->ncompanions < PSN_MAX_COMPANIONS; i++)
    {
      struct psn_suspect *other = &p->suspects[i];
      if (other != s && other->id.is_part && other->state == PSN_S_OBSERVED
          && was_companion (s, other))
        s->companions[s->ncompanions++] = other->id.value;
    }
}

bool
psn_check_companions (const struct psn *p, struct psn_suspect *s)
{
  size_t n = s->ncompanions;

  s->companions_at = CLK_NEVER;
  s->ncompanions = 0;
  for (size_t i = 0; i < n; i++)
    {
      struct psn_id id = { true, s->companions[i] };
      struct psn_suspect *other = psn_find (p, id);
      if (other && was_companion (s, other))
        s->companions[s->ncompanions++] = id.value;
    }
  return s->ncompanions < n;
}

bool
psn_remove_companion (struct psn_suspect *s, uint64_t part)
{
  for (size_t i = 0; i < s->ncompanions; i++)
    if (s->companions[i] == part)
      {
        s->companions[i] = s->companions[--s->ncompanions];
        return true;
      }
  return false;
}

/* --- decision ------------------------------------------------------------ */

/** Whether @p s was running in all crashes of another request, which is
    pending or blocked, and in further crashes.  The other request is then
    probably not the cause. */
static bool
explains_more_crashes (const struct psn *p, struct psn_suspect *s)
{
  for (size_t i = 0; i < p->n; i++)
    if (psn_is_pending_or_blocked (&p->suspects[i])
        && psn_crashes_are_subset (&p->suspects[i], s))
      return true;
  return false;
}

/** Whether several requests with the part were running in its crashes, and
    none of them in all. */
static bool
has_several_requests (const struct psn *p, const struct psn_suspect *part)
{
  bool several = false;

  for (size_t i = 0; i < part->ncrashed_runs; i++)
    {
      struct psn_id id = { false, part->crashed_runs[i].request };
      struct psn_suspect *r = psn_find (p, id);
      several = several || id.value != part->crashed_runs[0].request;
      if (r && r->state != PSN_S_CLEARED && was_in_all_crashes (r, part))
        return false;
    }
  return several;
}

static bool
has_enough_evidence (const struct psn *p, clk_ms now, struct psn_suspect *s)
{
  unsigned min = min_block_weight (p, now, s);

  if (!p->is_collector || s->state != PSN_S_OBSERVED || total_weight (s) < min
      || (s->id.is_part && !has_several_requests (p, s)))
    return false;
  return weight (s) >= min || explains_more_crashes (p, s);
}

void
psn_update_pending_time (const struct psn *p, clk_ms now,
                         struct psn_suspect *s)
{
  if (!has_enough_evidence (p, now, s))
    s->pending_at = CLK_NEVER;
  else if (s->pending_at == CLK_NEVER)
    s->pending_at = now + PSN_SETTLE_MS;
}

bool
psn_is_attributed (const struct psn *p, uint64_t endpoint)
{
  for (size_t i = 0; i < PSN_MAX_ATTRIBUTED; i++)
    if (p->attributed_endpoints[i] == endpoint)
      return true;
  return false;
}

static void
attribute_crash (struct psn *p, clk_ms now, uint64_t endpoint)
{
  if (endpoint == 0 || psn_is_attributed (p, endpoint))
    return;
  p->attributed_endpoints[p->next_attributed++ % PSN_MAX_ATTRIBUTED]
      = endpoint;
  for (size_t i = 0; i < p->n; i++)
    {
      struct psn_suspect *s = &p->suspects[i];
      struct psn_crashed_run *r = psn_find_crashed_run (s, endpoint);
      if (s->state != PSN_S_OBSERVED || !r)
        continue;
      r->attributed_to_other = true;
      psn_update_pending_time (p, now, s);
    }
}

void
psn_attribute_crashes (struct psn *p, clk_ms now, const struct psn_suspect *s)
{
  for (size_t i = 0; i < s->ncrashed_runs; i++)
    attribute_crash (p, now, s->crashed_runs[i].endpoint);
}

/** Whether the crash at an endpoint is attributed to a suspect that is still
    pending or blocked. */
static bool
has_culprit (const struct psn *p, uint64_t endpoint)
{
  for (size_t i = 0; i < p->n; i++)
    if (psn_is_pending_or_blocked (&p->suspects[i])
        && psn_find_crashed_run (&p->suspects[i], endpoint))
      return true;
  return false;
}

static void
release_crash (struct psn *p, clk_ms now, uint64_t endpoint)
{
  for (size_t i = 0; i < PSN_MAX_ATTRIBUTED; i++)
    if (p->attributed_endpoints[i] == endpoint)
      p->attributed_endpoints[i] = 0;
  for (size_t i = 0; i < p->n; i++)
    {
      struct psn_suspect *s = &p->suspects[i];
      struct psn_crashed_run *r = psn_find_crashed_run (s, endpoint);
      if (!r || !r->attributed_to_other)
        continue;
      r->attributed_to_other = false;
      psn_update_pending_time (p, now, s);
    }
}

void
psn_release_crashes (struct psn *p, clk_ms now, const struct psn_suspect *s)
{
  for (size_t i = 0; i < s->ncrashed_runs; i++)
    {
      uint64_t endpoint = s->crashed_runs[i].endpoint;
      if (endpoint && !has_culprit (p, endpoint))
        release_crash (p, now, endpoint);
    }
}

/** Whether the evidence against @p a is stronger.  At equal weight, a request
    is the more likely cause than a part, as its block affects fewer others,
   and so is the one with the shorter runs. */
static bool
is_more_suspect (const struct psn_suspect *a, const struct psn_suspect *b)
{
  unsigned weight_a = weight (a), weight_b = weight (b);
  clk_ms ran_a = 0, ran_b = 0;

  if (weight_a != weight_b)
    return weight_a > weight_b;
  if (a->id.is_part != b->id.is_part)
    return b->id.is_part;
  for (size_t i = 0; i < a->ncrashed_runs; i++)
    ran_a += a->crashed_runs[i].ran_ms;
  for (size_t i = 0; i < b->ncrashed_runs; i++)
    ran_b += b->crashed_runs[i].ran_ms;
  if (ran_a != ran_b)
    return ran_a < ran_b;
  return a->id.value < b->id.value;
}

struct psn_suspect *
psn_next_pending (const struct psn *p, clk_ms now)
{
  struct psn_suspect *most = NULL;
  bool any_reached = false;

  for (size_t i = 0; i < p->n; i++)
    {
      struct psn_suspect *s = &p->suspects[i];
      if (s->state != PSN_S_OBSERVED || s->pending_at == CLK_NEVER)
        continue;
      any_reached = any_reached || now >= s->pending_at;
      if (!most || is_more_suspect (s, most))
        most = s;
    }
  return any_reached ? most : NULL;
}
