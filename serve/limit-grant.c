#include "serve/limit-int.h"

#include <stdlib.h>

#include "base/str.h"

/** A follower that was not heard for so long follows no more; it says that it
    does each tenth of a second. */
#define FOLLOWS_MS ((clk_ms)350)
/** What a follower wants holds for so long: until it says so again, or while
    the request waits. */
#define WANTS_AGAIN_MS ((clk_ms)120)
#define WANTS_MS ((clk_ms)20)
/** A server for which no permit was wanted for so long is idle. */
#define IDLE_MS ((clk_ms)1000)
/** Of the rate, what is kept while it is not wanted, and one permit more. */
#define KEPT_S 0.5

static struct lim_follower *
find_follower (struct lim *l, uint64_t node)
{
  for (size_t i = 0; i < l->nfollowers; i++)
    if (l->followers[i].node == node)
      return &l->followers[i];
  return NULL;
}

static struct lim_follower *
add_follower (struct lim *l, uint64_t node)
{
  struct lim_follower *f;

  l->followers
      = xrealloc (l->followers, (l->nfollowers + 1) * sizeof *l->followers);
  f = &l->followers[l->nfollowers++];
  *f = (struct lim_follower){ .node = node };
  return f;
}

/** Drop those that were granted, once they are most of them. */
static void
compact (struct lim_row *r)
{
  if (2 * r->first < r->wants->len)
    return;
  g_array_remove_range (r->wants, 0, r->first);
  r->first = 0;
}

static void
add_want (struct lim_row *r, const struct lim_want *want)
{
  if (!r->wants)
    r->wants = g_array_new (false, false, sizeof *want);
  compact (r);
  g_array_append_vals (r->wants, want, 1);
  r->asked = true;
}

/** Come to know the same limit as the follower: the newer one of both. */
static void
reconcile (struct lim *l, clk_ms now, const struct lim_permits *wanted)
{
  struct lim_update update = { .server = wanted->server,
                               .limited = true,
                               .rate = wanted->rate,
                               .age_ms = wanted->age_ms };
  const struct lim_row *r = lim_find (l, wanted->server);

  if (r && r->limited && r->rate == wanted->rate)
    return;
  if (!lim_apply (l, now, &update))
    g_array_append_val (l->updates, wanted->server);
}

void
lim_followed (struct lim *l, clk_ms now, uint64_t node, bool again,
              const struct lim_permits *wanted, size_t n)
{
  struct lim_follower *f = find_follower (l, node);
  struct lim_want want
      = { .node = node, .until = now + (again ? WANTS_AGAIN_MS : WANTS_MS) };

  if (!f)
    f = add_follower (l, node);
  f->heard = now;
  for (size_t i = 0; i < n; i++)
    {
      struct lim_row *r;
      reconcile (l, now, &wanted[i]);
      r = lim_find (l, wanted[i].server);
      want.n = wanted[i].n;
      if (r && r->limited)
        add_want (r, &want);
    }
}

void
lim_unfollowed (struct lim *l, uint64_t node)
{
  struct lim_follower *f = find_follower (l, node);

  if (f)
    *f = l->followers[--l->nfollowers];
}

static bool
follows (const struct lim_follower *f, clk_ms now)
{
  return now - f->heard < FOLLOWS_MS;
}

size_t
lim_count_followers (const struct lim *l, clk_ms now)
{
  size_t n = 0;

  for (size_t i = 0; i < l->nfollowers; i++)
    n += follows (&l->followers[i], now);
  return n;
}

void
lim_lead (struct lim *l, clk_ms now, bool grants, unsigned nodes)
{
  struct lim_row *r;
  GHashTableIter at;

  l->nodes = nodes;
  if (grants && !l->grants)
    {
      g_hash_table_iter_init (&at, l->rows);
      while (g_hash_table_iter_next (&at, NULL, (gpointer *)&r))
        r->due_at = now;
    }
  l->grants = grants;
}

/* --- what is due -------------------------------------------------------- */

/** Part of the rate that this node grants: its own, and that of each node that
    follows it. */
static double
part_of_rate (const struct lim *l, clk_ms now)
{
  double follow = 1 + (double)lim_count_followers (l, now);

  return l->nodes > follow ? follow / l->nodes : 1;
}

/** What is kept of the part while no permit is wanted. */
static double
most_kept (const struct lim_row *r, double part)
{
  return part * (lim_granted_rate (r) * KEPT_S + 1);
}

static void
accrue (struct lim_row *r, clk_ms now, double part)
{
  bool idle = r->asked_at == 0 || now - r->asked_at > IDLE_MS;
  double most = most_kept (r, part);

  if (!idle)
    most = MAX (most, 1);
  r->due += part * lim_granted_rate (r) * (double)(now - r->due_at)
            / (double)CLK_SECOND;
  r->due = MIN (r->due, most);
  r->due_at = now;
}

/**
 * Take at most @p n permits from what is due.  Many nodes that grant to
 * themselves must not do so at the same moment, nor keep a whole permit each
 * while they are idle: such a node grants its next one at a point between none
 * and one that is due, and makes up for it afterwards.
 */
static unsigned
take_due (struct lim *l, struct lim_row *r, double part, unsigned n)
{
  if (most_kept (r, part) >= 1)
    n = (double)n < r->due ? n : (unsigned)MAX (r->due, 0);
  else
    n = r->due >= r->threshold ? 1 : 0;
  r->due -= n;
  if (n > 0)
    r->threshold = rng_unit (&l->rng);
  return n;
}

/* --- whose turn it is ---------------------------------------------------- */

/** What this node wants itself joins the others' wants. */
static void
add_own_want (struct lim_row *r, clk_ms now)
{
  struct lim_want want = { .node = LIM_SELF, .until = now + WANTS_MS };

  want.n = lim_missing (r, now);
  if (want.n == 0 || now < r->own_until)
    return;
  r->own_until = want.until;
  add_want (r, &want);
}

/** The want that came first and still holds, or NULL. */
static struct lim_want *
first_want (struct lim_row *r, clk_ms now)
{
  for (; r->wants && r->first < r->wants->len; r->first++)
    {
      struct lim_want *w
          = &g_array_index (r->wants, struct lim_want, r->first);
      if (w->n > 0 && now < w->until)
        return w;
    }
  return NULL;
}

static void
grant_to (struct lim *l, struct lim_row *r, clk_ms now, struct lim_want *want,
          unsigned n)
{
  struct lim_permits p = { .node = want->node, .server = r->server, .n = n };

  l->granted += n;
  want->n -= n;
  if (want->node == LIM_SELF)
    lim_granted (l, now, r->server, n);
  else
    g_array_append_val (l->permits, p);
}

static void
grant_due (struct lim *l, struct lim_row *r, clk_ms now, double part)
{
  struct lim_want *want;
  unsigned n;

  accrue (r, now, part);
  add_own_want (r, now);
  while ((want = first_want (r, now)) != NULL)
    {
      r->asked_at = now;
      n = take_due (l, r, part, want->n);
      if (n == 0)
        return;
      grant_to (l, r, now, want, n);
    }
}

const struct lim_permits *
lim_grant (struct lim *l, clk_ms now, bool all, size_t *n)
{
  double part = part_of_rate (l, now);
  struct lim_row *r;
  GHashTableIter at;

  g_array_set_size (l->permits, 0);
  g_hash_table_iter_init (&at, l->rows);
  while (l->grants && g_hash_table_iter_next (&at, NULL, (gpointer *)&r))
    if (r->limited && (all || r->asked))
      {
        r->asked = false;
        grant_due (l, r, now, part);
      }
  *n = l->permits->len;
  return (const struct lim_permits *)(void *)l->permits->data;
}
