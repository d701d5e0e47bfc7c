#include "serve/hubs.h"

#include <stdlib.h>

/** Order of two limits: the larger one first; 0 means unlimited. */
static int
cmp_limit (double a, double b)
{
  if (a == b)
    return 0;
  if (a == 0 || b == 0)
    return a == 0 ? -1 : 1;
  return a > b ? -1 : 1;
}

int
rly_cmp (const struct rly_node *a, const struct rly_node *b)
{
  int order = cmp_limit (a->link_bytes_per_s, b->link_bytes_per_s);

  if (order == 0)
    order = cmp_limit (a->cpu_share, b->cpu_share);
  if (order == 0)
    order = (a->hash > b->hash) - (a->hash < b->hash);
  return order;
}

unsigned
rly_rank (const struct rly_node *self, const struct rly_node *list, size_t n)
{
  unsigned rank = 0;

  for (size_t i = 0; i < n; i++)
    rank += rly_cmp (&list[i], self) < 0;
  return rank;
}

static int
cmp_peer (const void *a, const void *b)
{
  const struct rly_peer *const *x = a, *const *y = b;

  return rly_cmp (&(*x)->node, &(*y)->node);
}

/** The peers in the order of rly_cmp(); freed by the caller. */
static struct rly_peer **
sort_peers (struct rly_peer *list, size_t n)
{
  struct rly_peer **sorted = calloc (n + 1, sizeof (*sorted));

  if (!sorted)
    abort ();
  for (size_t i = 0; i < n; i++)
    sorted[i] = &list[i];
  qsort (sorted, n, sizeof (*sorted), cmp_peer);
  return sorted;
}

void
rly_choose_links (const struct rly_node *self, bool is_leader,
                  struct rly_peer *list, size_t n)
{
  bool all = is_leader || n + 1 <= RLY_FULL_MESH_MAX;
  struct rly_peer **sorted = sort_peers (list, n);
  unsigned reachable = 0;

  for (size_t i = 0; i < n; i++)
    {
      struct rly_peer *p = sorted[i];
      p->link_wanted = all || reachable < RLY_LINKS_PER_NODE || p->is_leader;
      reachable += p->up || !p->connect_failed;
    }
  free (sorted);
}

const struct rly_peer *
rly_choose_aggregator (const struct rly_node *self, bool is_leader,
                       const struct rly_peer *list, size_t n)
{
  const struct rly_peer *first = NULL;

  if (is_leader)
    return NULL;
  for (size_t i = 0; i < n; i++)
    {
      if (!list[i].up)
        continue;
      if (list[i].is_leader)
        return &list[i];
      if (rly_cmp (&list[i].node, first ? &first->node : self) < 0)
        first = &list[i];
    }
  return first;
}
