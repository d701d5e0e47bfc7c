#include "serve/poison.h"

#include <stdlib.h>
#include <string.h>

#include "base/str.h"

/** Crashes that are remembered of a request. */
#define RUNS 8
/** A request that crashes servers does so as it begins to run.  So the less
    there was of the run the more a crash counts, and half of that when another
    request is to blame for it. */
#define WEIGHT_NO_EVENT 4
#define WEIGHT_BEGUN 3
#define WEIGHT_LONG 2
#define BEGUN_MS ((clk_ms)500)
#define WEIGHT_CHARGED ((PSN_CRASHES - 1) * WEIGHT_NO_EVENT + WEIGHT_BEGUN)
#define WEIGHT_SUSPECT (WEIGHT_CHARGED - WEIGHT_NO_EVENT)

/** From the crash that suffices to the charge: the other nodes' runs of the
    same crash arrive meanwhile. */
#define SETTLE_MS ((clk_ms)100)
/** From the charge to the block: time for objections. */
#define OBJECT_MS ((clk_ms)200)
/** A charge that was heard later than the objection to it is ignored. */
#define CLEAR_MS ((clk_ms)2000)
/** A run that completed this long ago objects to a charge. */
#define COMPLETED_MS ((clk_ms)10000)
#define COMPLETED_MOST 1024
/** Crashes whose culprit is known. */
#define EXPLAINED_MOST 64

enum state
{
  STATE_OBSERVED,
  STATE_CHARGED,
  STATE_BLOCKED,
  STATE_CLEARED
};

struct run
{
  uint64_t place;
  clk_ms ran_ms;
  bool explained; /**< another request is to blame */
};

struct suspect
{
  uint64_t digest;
  enum state state;
  clk_ms until; /**< observed: forgotten; charged: blocked; else: over */
  clk_ms due;   /**< observed: to be charged then; CLK_NEVER: not yet */
  struct run runs[RUNS];
  size_t nruns;
};

struct completed
{
  uint64_t digest;
  clk_ms at;
};

struct psn
{
  struct suspect *list;
  size_t n, room;
  struct completed completed[COMPLETED_MOST]; /* a ring */
  size_t next_completed;
  uint64_t explained[EXPLAINED_MOST]; /* places, a ring */
  size_t next_explained;
  struct psn_news *news;
  size_t nnews, news_room;
  bool taken; /* the news were handed out; the next begin anew */
  bool collects;
  struct psn_news *all;
};

struct psn *
psn_new (void)
{
  struct psn *p = xcalloc (1, sizeof *p);

  p->collects = true;
  return p;
}

void
psn_free (struct psn *p)
{
  if (!p)
    return;
  free (p->list);
  free (p->news);
  free (p->all);
  free (p);
}

/* --- news ---------------------------------------------------------------- */

static void
add_news (struct psn *p, const struct psn_news *news)
{
  if (p->taken)
    p->nnews = 0;
  p->taken = false;
  if (p->nnews == p->news_room)
    {
      p->news_room = 2 * p->news_room + 16;
      p->news = xrealloc (p->news, p->news_room * sizeof *p->news);
    }
  p->news[p->nnews++] = *news;
}

const struct psn_news *
psn_take (struct psn *p, size_t *n)
{
  *n = p->taken ? 0 : p->nnews;
  p->taken = true;
  return p->news;
}

/* --- suspects ------------------------------------------------------------ */

static struct suspect *
find (const struct psn *p, uint64_t digest)
{
  for (size_t i = 0; i < p->n; i++)
    if (p->list[i].digest == digest)
      return &p->list[i];
  return NULL;
}

static unsigned
run_weight (const struct run *r)
{
  if (r->ran_ms == PSN_NO_EVENT)
    return WEIGHT_NO_EVENT;
  return r->ran_ms < BEGUN_MS ? WEIGHT_BEGUN : WEIGHT_LONG;
}

/** What there is against it, whoever else is to blame. */
static unsigned
whole_weight (const struct suspect *s)
{
  unsigned w = 0;

  for (size_t i = 0; i < s->nruns; i++)
    w += run_weight (&s->runs[i]);
  return w;
}

static unsigned
weight (const struct suspect *s)
{
  unsigned w = 0;

  for (size_t i = 0; i < s->nruns; i++)
    w += run_weight (&s->runs[i]) / (s->runs[i].explained ? 2 : 1);
  return w;
}

/** Which of two is forgotten first, when there are too many. */
static bool
matters_less (const struct suspect *a, const struct suspect *b)
{
  bool blocked_a = a->state == STATE_BLOCKED;
  bool blocked_b = b->state == STATE_BLOCKED;
  unsigned weight_a = weight (a), weight_b = weight (b);

  if (blocked_a != blocked_b)
    return blocked_b;
  if (!blocked_a && weight_a != weight_b)
    return weight_a < weight_b;
  return a->until < b->until;
}

static struct suspect *
least (struct psn *p)
{
  struct suspect *least = &p->list[0];

  for (size_t i = 1; i < p->n; i++)
    if (matters_less (&p->list[i], least))
      least = &p->list[i];
  return least;
}

static struct suspect *
suspect_of (struct psn *p, clk_ms now, uint64_t digest)
{
  struct suspect *s = find (p, digest);

  if (s)
    return s;
  if (p->n == PSN_MOST)
    s = least (p);
  else
    {
      if (p->n == p->room)
        {
          p->room = 2 * p->room + 16;
          p->list = xrealloc (p->list, p->room * sizeof *p->list);
        }
      s = &p->list[p->n++];
    }
  memset (s, 0, sizeof *s);
  s->digest = digest;
  s->due = CLK_NEVER;
  s->until = now + PSN_HOLD_MS;
  return s;
}

static void
forget (struct psn *p, struct suspect *s)
{
  *s = p->list[--p->n];
}

/* --- crashes that are explained ------------------------------------------ */

static bool
is_explained (const struct psn *p, uint64_t place)
{
  for (size_t i = 0; i < EXPLAINED_MOST; i++)
    if (p->explained[i] == place)
      return true;
  return false;
}

static struct run *
find_run (struct suspect *s, uint64_t place)
{
  for (size_t i = 0; i < s->nruns; i++)
    if (s->runs[i].place == place)
      return &s->runs[i];
  return NULL;
}

static bool
is_culprit (const struct suspect *s)
{
  return s->state == STATE_CHARGED || s->state == STATE_BLOCKED;
}

/** Whether all crashes that @p a was running in are among those of @p b. */
static bool
is_covered (const struct suspect *a, struct suspect *b)
{
  for (size_t i = 0; i < a->nruns; i++)
    if (!find_run (b, a->runs[i].place))
      return false;
  return a->nruns > 0 && a->nruns < b->nruns;
}

/** Whether servers went on crashing under it after another request was blamed
    for all crashes until then. */
static bool
goes_on (const struct psn *p, struct suspect *s)
{
  for (size_t i = 0; i < p->n; i++)
    if (is_culprit (&p->list[i]) && is_covered (&p->list[i], s))
      return true;
  return false;
}

static bool
is_charged (const struct psn *p, struct suspect *s)
{
  if (!p->collects || s->state != STATE_OBSERVED
      || whole_weight (s) < WEIGHT_CHARGED)
    return false;
  return weight (s) >= WEIGHT_CHARGED || goes_on (p, s);
}

/** Once there is enough against it, it is charged after a moment. */
static void
set_due (const struct psn *p, clk_ms now, struct suspect *s)
{
  if (!is_charged (p, s))
    s->due = CLK_NEVER;
  else if (s->due == CLK_NEVER)
    s->due = now + SETTLE_MS;
}

void
psn_collect (struct psn *p, clk_ms now, bool collects)
{
  if (collects == p->collects)
    return;
  p->collects = collects;
  for (size_t i = 0; i < p->n; i++)
    set_due (p, now, &p->list[i]);
}

/** The crash at @p place counts less against other requests from now on. */
static void
explain (struct psn *p, clk_ms now, uint64_t place)
{
  if (place == 0 || is_explained (p, place))
    return;
  p->explained[p->next_explained++ % EXPLAINED_MOST] = place;
  for (size_t i = 0; i < p->n; i++)
    {
      struct suspect *s = &p->list[i];
      struct run *r = find_run (s, place);
      if (s->state != STATE_OBSERVED || !r)
        continue;
      r->explained = true;
      set_due (p, now, s);
    }
}

/* --- charge, block, clear ------------------------------------------------ */

static void
clear (struct psn *p, clk_ms now, struct suspect *s, bool wide)
{
  struct psn_news news = { .word = PSN_CLEARED,
                           .digest = s->digest,
                           .wide = wide || is_culprit (s) };

  s->state = STATE_CLEARED;
  s->until = now + CLEAR_MS;
  s->due = CLK_NEVER;
  s->nruns = 0;
  add_news (p, &news);
}

static bool
has_completed (const struct psn *p, clk_ms now, uint64_t digest)
{
  for (size_t i = 0; i < COMPLETED_MOST; i++)
    {
      const struct completed *c = &p->completed[i];
      if (c->digest == digest && c->at && now - c->at < COMPLETED_MS)
        return true;
    }
  return false;
}

static void
explain_runs (struct psn *p, clk_ms now, const struct suspect *s)
{
  for (size_t i = 0; i < s->nruns; i++)
    explain (p, now, s->runs[i].place);
}

/** Those that were blamed for crashes of @p culprit were there by chance. */
static void
acquit (struct psn *p, clk_ms now, struct suspect *culprit)
{
  for (size_t i = 0; i < p->n; i++)
    {
      struct suspect *s = &p->list[i];
      if (s != culprit && is_culprit (s) && is_covered (s, culprit))
        clear (p, now, s, true);
    }
}

static void
charge (struct psn *p, clk_ms now, struct suspect *s)
{
  struct psn_news news
      = { .word = PSN_CHARGED, .digest = s->digest, .wide = true };

  if (has_completed (p, now, s->digest))
    {
      clear (p, now, s, true);
      return;
    }
  s->state = STATE_CHARGED;
  s->until = now + OBJECT_MS;
  s->due = CLK_NEVER;
  add_news (p, &news);
  explain_runs (p, now, s);
  acquit (p, now, s);
}

static void
block (struct psn *p, clk_ms now, struct suspect *s, clk_ms hold_ms)
{
  struct psn_news news = {
    .word = PSN_BLOCKED, .digest = s->digest, .hold_ms = hold_ms, .wide = true
  };

  s->state = STATE_BLOCKED;
  s->until = now + hold_ms;
  s->due = CLK_NEVER;
  add_news (p, &news);
  explain_runs (p, now, s);
}

/**
 * The hold is over: the request may run again, as the servers' software may
 * have been mended, but one more crash suffices to charge it.
 */
static void
release (struct suspect *s, clk_ms now)
{
  s->state = STATE_OBSERVED;
  s->until = now + PSN_HOLD_MS;
  s->due = CLK_NEVER;
  s->nruns = 0;
  for (unsigned i = 1; i < PSN_CRASHES; i++)
    s->runs[s->nruns++] = (struct run){ 0, PSN_NO_EVENT, false };
}

/** Whether there is more against @p a; the less it had run the more likely it
    is to blame. */
static bool
is_worse (const struct suspect *a, const struct suspect *b)
{
  unsigned weight_a = weight (a), weight_b = weight (b);
  clk_ms ran_a = 0, ran_b = 0;

  if (weight_a != weight_b)
    return weight_a > weight_b;
  for (size_t i = 0; i < a->nruns; i++)
    ran_a += a->runs[i].ran_ms;
  for (size_t i = 0; i < b->nruns; i++)
    ran_b += b->runs[i].ran_ms;
  if (ran_a != ran_b)
    return ran_a < ran_b;
  return a->digest < b->digest;
}

/** The next to be charged: the worst, once one has settled. */
static struct suspect *
next_charged (const struct psn *p, clk_ms now)
{
  struct suspect *worst = NULL;
  bool settled = false;

  for (size_t i = 0; i < p->n; i++)
    {
      struct suspect *s = &p->list[i];
      if (s->state != STATE_OBSERVED || s->due == CLK_NEVER)
        continue;
      settled = settled || now >= s->due;
      if (!worst || is_worse (s, worst))
        worst = s;
    }
  return settled ? worst : NULL;
}

/* --- being told ---------------------------------------------------------- */

static void
hear_ran (struct psn *p, clk_ms now, const struct psn_news *news)
{
  struct suspect *s = find (p, news->digest);
  bool culprit = s && is_culprit (s);

  if (s && (s->state == STATE_CLEARED || find_run (s, news->place)))
    return;
  s = suspect_of (p, now, news->digest);
  if (s->nruns < RUNS)
    {
      s->runs[s->nruns++]
          = (struct run){ news->place, news->ran_ms,
                          !culprit && is_explained (p, news->place) };
      add_news (p, news);
    }
  if (culprit)
    {
      explain (p, now, news->place);
      /* Whoever let it run has not heard, or has forgotten. */
      if (s->state == STATE_BLOCKED)
        block (p, now, s, PSN_HOLD_MS);
      return;
    }
  s->until = now + PSN_HOLD_MS;
  set_due (p, now, s);
}

static void
hear_charged (struct psn *p, clk_ms now, const struct psn_news *news)
{
  struct suspect *s = suspect_of (p, now, news->digest);

  if (s->state == STATE_OBSERVED)
    charge (p, now, s);
}

static void
hear_blocked (struct psn *p, clk_ms now, const struct psn_news *news)
{
  struct suspect *s = suspect_of (p, now, news->digest);

  if (s->state == STATE_BLOCKED)
    {
      if (s->until < now + news->hold_ms)
        s->until = now + news->hold_ms;
    }
  else if (s->state == STATE_CLEARED || has_completed (p, now, news->digest))
    clear (p, now, s, true);
  else
    block (p, now, s, news->hold_ms);
}

static void
hear_cleared (struct psn *p, clk_ms now, const struct psn_news *news)
{
  struct suspect *s = find (p, news->digest);

  if (s && s->state != STATE_CLEARED)
    clear (p, now, s, news->wide);
}

void
psn_hear (struct psn *p, clk_ms now, const struct psn_news *news)
{
  switch (news->word)
    {
    case PSN_RAN:
      hear_ran (p, now, news);
      break;
    case PSN_CHARGED:
      hear_charged (p, now, news);
      break;
    case PSN_BLOCKED:
      hear_blocked (p, now, news);
      break;
    case PSN_CLEARED:
      hear_cleared (p, now, news);
      break;
    }
}

void
psn_completed (struct psn *p, clk_ms now, uint64_t digest)
{
  struct suspect *s = find (p, digest);

  p->completed[p->next_completed++ % COMPLETED_MOST]
      = (struct completed){ digest, now };
  if (s && s->state != STATE_CLEARED)
    clear (p, now, s, false);
}

/* --- questions, time ----------------------------------------------------- */

bool
psn_refuses (struct psn *p, clk_ms now, uint64_t digest, clk_ms *again_ms)
{
  struct suspect *s = find (p, digest);

  *again_ms = 0;
  if (!s)
    return false;
  if (s->state == STATE_BLOCKED)
    {
      s->until = now + PSN_HOLD_MS;
      return true;
    }
  *again_ms = SETTLE_MS + OBJECT_MS;
  return s->state == STATE_CHARGED || s->due != CLK_NEVER;
}

bool
psn_suspects (const struct psn *p, uint64_t digest)
{
  const struct suspect *s = find (p, digest);

  return s && (is_culprit (s) || weight (s) >= WEIGHT_SUSPECT);
}

/** What was observed or cleared long ago is forgotten. */
static void
expire (struct psn *p, clk_ms now)
{
  for (size_t i = 0; i < p->n;)
    {
      struct suspect *s = &p->list[i];
      if (now < s->until)
        i++;
      else if (s->state == STATE_CHARGED)
        block (p, now, s, PSN_HOLD_MS);
      else if (s->state == STATE_BLOCKED)
        release (s, now);
      else
        forget (p, s);
    }
}

void
psn_tick (struct psn *p, clk_ms now)
{
  struct suspect *s;

  while ((s = next_charged (p, now)) != NULL)
    charge (p, now, s);
  expire (p, now);
}

clk_ms
psn_wake (const struct psn *p)
{
  clk_ms wake = CLK_NEVER;

  for (size_t i = 0; i < p->n; i++)
    {
      const struct suspect *s = &p->list[i];
      if (s->until < wake)
        wake = s->until;
      if (s->due < wake)
        wake = s->due;
    }
  return wake;
}

const struct psn_news *
psn_all (struct psn *p, clk_ms now, size_t *n)
{
  p->all = xrealloc (p->all, (p->n * (RUNS + 1) + 1) * sizeof *p->all);
  *n = 0;
  for (size_t i = 0; i < p->n; i++)
    {
      const struct suspect *s = &p->list[i];
      if (s->state == STATE_BLOCKED)
        p->all[(*n)++] = (struct psn_news){ .word = PSN_BLOCKED,
                                            .digest = s->digest,
                                            .hold_ms = s->until - now,
                                            .wide = true };
      else if (s->state == STATE_CHARGED)
        p->all[(*n)++] = (struct psn_news){ .word = PSN_CHARGED,
                                            .digest = s->digest,
                                            .wide = true };
      for (size_t k = 0; k < s->nruns; k++)
        if (s->runs[k].place)
          p->all[(*n)++] = (struct psn_news){ .word = PSN_RAN,
                                              .digest = s->digest,
                                              .place = s->runs[k].place,
                                              .ran_ms = s->runs[k].ran_ms };
    }
  return p->all;
}

bool
psn_is_blocked (const struct psn *p, uint64_t digest)
{
  const struct suspect *s = find (p, digest);

  return s && s->state == STATE_BLOCKED;
}

size_t
psn_count_blocked (const struct psn *p)
{
  size_t n = 0;

  for (size_t i = 0; i < p->n; i++)
    n += p->list[i].state == STATE_BLOCKED;
  return n;
}
