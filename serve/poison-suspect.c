#include "serve/poison-int.h"

#include <stdlib.h>
#include <string.h>

#include "base/str.h"

/** Weights of a crash as evidence.  A poison request crashes its server soon
    after it starts to run, so the weight is higher for short runs.  It is
    halved if the crash is attributed to another request. */
#define WEIGHT_NO_EVENT 4 /* the run had produced no event */
#define WEIGHT_EARLY 3
#define WEIGHT_LONG 2
#define EARLY_MS ((clk_ms)500)
/** Weights from which a request is blocked, or would be blocked after one more
    crash. */
#define MIN_BLOCK_WEIGHT ((PSN_CRASHES - 1) * WEIGHT_NO_EVENT + WEIGHT_EARLY)
#define MIN_NEAR_BLOCK_WEIGHT (MIN_BLOCK_WEIGHT - WEIGHT_NO_EVENT)

/** Delay between the crash after which the evidence suffices for a block and
    the decision.
    Other nodes need this time to report which of their requests were running
    when the same server crashed. */
#define SETTLE_MS ((clk_ms)100)

/* --- table of requests -------------------------------------------------- */

struct psn_suspect *
psn_find (const struct psn *p, uint64_t digest)
{
  for (size_t i = 0; i < p->n; i++)
    if (p->suspects[i].digest == digest)
      return &p->suspects[i];
  return NULL;
}

static unsigned
crash_weight (const struct psn_crashed_run *r)
{
  if (r->ran_ms == PSN_NO_EVENT)
    return WEIGHT_NO_EVENT;
  return r->ran_ms < EARLY_MS ? WEIGHT_EARLY : WEIGHT_LONG;
}

/** Weight of all crashes, regardless of attribution. */
static unsigned
total_weight (const struct psn_suspect *s)
{
  unsigned w = 0;

  for (size_t i = 0; i < s->ncrashed_runs; i++)
    w += crash_weight (&s->crashed_runs[i]);
  return w;
}

static unsigned
weight (const struct psn_suspect *s)
{
  unsigned w = 0;

  for (size_t i = 0; i < s->ncrashed_runs; i++)
    w += crash_weight (&s->crashed_runs[i])
         / (s->crashed_runs[i].attributed_to_other ? 2 : 1);
  return w;
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
psn_find_or_add (struct psn *p, clk_ms now, uint64_t digest)
{
  struct psn_suspect *s = psn_find (p, digest);

  if (s)
    return s;
  if (p->n == PSN_MAX_REQUESTS)
    s = find_evicted (p);
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
  s->digest = digest;
  s->pending_at = CLK_NEVER;
  s->state_ends_at = now + PSN_HOLD_MS;
  return s;
}

void
psn_remove (struct psn *p, struct psn_suspect *s)
{
  *s = p->suspects[--p->n];
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

bool
psn_is_pending_or_blocked (const struct psn_suspect *s)
{
  return s->state == PSN_S_BLOCK_PENDING || s->state == PSN_S_BLOCKED;
}

bool
psn_is_near_block (const struct psn_suspect *s)
{
  return weight (s) >= MIN_NEAR_BLOCK_WEIGHT;
}

bool
psn_crashes_are_subset (const struct psn_suspect *a, struct psn_suspect *b)
{
  for (size_t i = 0; i < a->ncrashed_runs; i++)
    if (!psn_find_crashed_run (b, a->crashed_runs[i].endpoint))
      return false;
  return a->ncrashed_runs > 0 && a->ncrashed_runs < b->ncrashed_runs;
}

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

static bool
has_enough_evidence (const struct psn *p, struct psn_suspect *s)
{
  if (!p->is_collector || s->state != PSN_S_OBSERVED
      || total_weight (s) < MIN_BLOCK_WEIGHT)
    return false;
  return weight (s) >= MIN_BLOCK_WEIGHT || explains_more_crashes (p, s);
}

void
psn_update_pending_time (const struct psn *p, clk_ms now,
                         struct psn_suspect *s)
{
  if (!has_enough_evidence (p, s))
    s->pending_at = CLK_NEVER;
  else if (s->pending_at == CLK_NEVER)
    s->pending_at = now + SETTLE_MS;
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

/** Whether the evidence against @p a is stronger.  At equal weight, the
    request with the shorter runs is the more likely cause. */
static bool
is_more_suspect (const struct psn_suspect *a, const struct psn_suspect *b)
{
  unsigned weight_a = weight (a), weight_b = weight (b);
  clk_ms ran_a = 0, ran_b = 0;

  if (weight_a != weight_b)
    return weight_a > weight_b;
  for (size_t i = 0; i < a->ncrashed_runs; i++)
    ran_a += a->crashed_runs[i].ran_ms;
  for (size_t i = 0; i < b->ncrashed_runs; i++)
    ran_b += b->crashed_runs[i].ran_ms;
  if (ran_a != ran_b)
    return ran_a < ran_b;
  return a->digest < b->digest;
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
