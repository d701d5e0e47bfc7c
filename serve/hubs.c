#include "serve/hubs.h"

#include <stdlib.h>

/** Larger first; 0 is without a bound. */
static int
cmp_bound (double a, double b)
{
  if (a == b)
    return 0;
  if (a == 0 || b == 0)
    return a == 0 ? -1 : 1;
  return a > b ? -1 : 1;
}

int
hub_cmp (const struct hub_node *a, const struct hub_node *b)
{
  int by = cmp_bound (a->link_bytes_per_s, b->link_bytes_per_s);

  if (by == 0)
    by = cmp_bound (a->cpu_share, b->cpu_share);
  if (by == 0)
    by = (a->hash > b->hash) - (a->hash < b->hash);
  return by;
}

unsigned
hub_rank (const struct hub_node *self, const struct hub_node *list, size_t n)
{
  unsigned rank = 0;

  for (size_t i = 0; i < n; i++)
    rank += hub_cmp (&list[i], self) < 0;
  return rank;
}

static int
cmp_peer (const void *a, const void *b)
{
  const struct hub_peer *const *x = a, *const *y = b;

  return hub_cmp (&(*x)->node, &(*y)->node);
}

/** The peers in the order of hub_cmp(); released by the caller. */
static struct hub_peer **
in_order (struct hub_peer *list, size_t n)
{
  struct hub_peer **by = calloc (n + 1, sizeof (*by));

  if (!by)
    abort ();
  for (size_t i = 0; i < n; i++)
    by[i] = &list[i];
  qsort (by, n, sizeof (*by), cmp_peer);
  return by;
}

void
hub_choose (const struct hub_node *self, bool leads, struct hub_peer *list,
            size_t n)
{
  bool all = leads || n + 1 <= HUB_MESH_MOST;
  struct hub_peer **by = in_order (list, n);
  unsigned hubs = 0;

  for (size_t i = 0; i < n; i++)
    {
      struct hub_peer *p = by[i];
      p->wanted = all || hubs < HUB_LINKS || p->leads;
      hubs += p->up || !p->failing;
    }
  free (by);
}

const struct hub_peer *
hub_summing (const struct hub_node *self, bool leads,
             const struct hub_peer *list, size_t n)
{
  const struct hub_peer *first = NULL;

  if (leads)
    return NULL;
  for (size_t i = 0; i < n; i++)
    {
      if (!list[i].up)
        continue;
      if (list[i].leads)
        return &list[i];
      if (hub_cmp (&list[i].node, first ? &first->node : self) < 0)
        first = &list[i];
    }
  return first;
}
