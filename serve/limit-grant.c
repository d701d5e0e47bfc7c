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

static struct lim_want *
find_want (const struct lim_row *r, uint64_t node)
{
  for (guint i = 0; i < r->wants->len; i++)
    {
      struct lim_want *w = &g_array_index (r->wants, struct lim_want, i);
      if (w->node == node)
        return w;
    }
  return NULL;
}

static void
add_want (struct lim *l, const struct lim_want *want, uint64_t server)
{
  struct lim_row *r = lim_find (l, server);
  struct lim_want *known;

  if (!r || !r->limited)
    return;
  if (!r->wants)
    r->wants = g_array_new (false, false, sizeof *want);
  known = find_want (r, want->node);
  if (known)
    *known = *want;
  else
    g_array_append_vals (r->wants, want, 1);
  r->asked = true;
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
      want.n = wanted[i].n;
      add_want (l, &want, wanted[i].server);
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
 * Take one permit from what is due.  Many nodes that grant to themselves must
 * not do so at the same moment, nor keep a whole permit each while they are
 * idle: such a node grants its next one at a point between none and one that
 * is due, and makes up for it afterwards.
 */
static bool
take_due (struct lim *l, struct lim_row *r, double part)
{
  if (r->due < (most_kept (r, part) < 1 ? r->threshold : 1))
    return false;
  r->due--;
  r->threshold = rng_unit (&l->rng);
  return true;
}

/* --- whose turn it is --------------------------------------------------- */

/** This node among those that want a permit. */
#define SELF 0

static void
drop_old_wants (struct lim_row *r, clk_ms now)
{
  for (guint i = 0; r->wants && i < r->wants->len;)
    {
      const struct lim_want *w = &g_array_index (r->wants, struct lim_want, i);
      if (w->n > 0 && now < w->until)
        i++;
      else
        g_array_remove_index_fast (r->wants, i);
    }
}

/**
 * Of the nodes that want a permit, the first from number `next` on, around.
 * @param want  receives what it wants, or NULL: it is this node
 * @retval false  none wants one
 */
static bool
find_turn (struct lim_row *r, clk_ms now, struct lim_want **want)
{
  bool any = lim_missing (r, now) > 0;
  uint64_t distance = SELF - r->next;

  *want = NULL;
  drop_old_wants (r, now);
  for (guint i = 0; r->wants && i < r->wants->len; i++)
    {
      struct lim_want *w = &g_array_index (r->wants, struct lim_want, i);
      if (any && w->node - r->next >= distance)
        continue;
      any = true;
      distance = w->node - r->next;
      *want = w;
    }
  return any;
}

static void
grant_one (struct lim *l, struct lim_row *r, clk_ms now, struct lim_want *want)
{
  struct lim_permits p = { .server = r->server, .n = 1 };

  l->granted++;
  r->next = (want ? want->node : SELF) + 1;
  if (!want)
    {
      lim_granted (l, now, r->server, 1);
      return;
    }
  want->n--;
  p.node = want->node;
  g_array_append_val (l->permits, p);
}

static void
grant_due (struct lim *l, struct lim_row *r, clk_ms now, double part)
{
  struct lim_want *want;

  accrue (r, now, part);
  while (find_turn (r, now, &want))
    {
      r->asked_at = now;
      if (!take_due (l, r, part))
        return;
      grant_one (l, r, now, want);
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
