/*
 * Which nodes link to which when there are hundreds: nodes with slow links and
 * small shares beside a few large ones, hubs that die, and a view of the
 * others that differs from node to node.
 */
#include <criterion/criterion.h>

#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "serve/hubs.h"

#define MOST 400
#define MBIT 125000.0

struct fleet
{
  size_t n;
  struct hub_node node[MOST];
  bool dead[MOST];
};

/** @p n nodes, every @p nth of them ten times as large as the others. */
static void
fill (struct fleet *f, size_t n, size_t nth)
{
  struct rng r;

  memset (f, 0, sizeof *f);
  rng_seed (&r, 7);
  f->n = n;
  for (size_t i = 0; i < n; i++)
    {
      bool large = i % nth == 0;
      f->node[i] = (struct hub_node){ rng_next (&r), (large ? 200 : 20) * MBIT,
                                      large ? 0.5 : 0.12 };
    }
}

/** The others as node @p self sees them, @p list as long as the fleet. */
static size_t
see (const struct fleet *f, size_t self, struct rly_peer *list, size_t *who)
{
  size_t n = 0;

  for (size_t i = 0; i < f->n; i++)
    if (i != self)
      {
        who[n] = i;
        list[n++] = (struct rly_peer){ .node = f->node[i],
                                       .up = !f->dead[i],
                                       .failing = f->dead[i] };
      }
  return n;
}

/** Links of node @p self to living nodes; those that others share are marked
    in @p wanted. */
static size_t
choose (const struct fleet *f, size_t self, unsigned *wanted)
{
  static struct rly_peer list[MOST];
  static size_t who[MOST];
  size_t n = see (f, self, list, who), links = 0;

  rly_choose_links (&f->node[self], false, list, n);
  for (size_t i = 0; i < n; i++)
    if (list[i].wanted && !f->dead[who[i]])
      {
        wanted[who[i]]++;
        links++;
      }
  return links;
}

/*
 * Callers of 300 nodes are served by each from its first second.  Each node
 * keeps a handful of links, not 299, and they all lead to the same few large
 * nodes, which alone can carry what all tell.
 */
Test (hubs, all_link_to_the_same_few_large_nodes)
{
  static struct fleet f;
  unsigned wanted[MOST] = { 0 };
  size_t used = 0;

  fill (&f, 300, 20);
  for (size_t i = 0; i < f.n; i++)
    cr_expect_eq (choose (&f, i, wanted), HUB_LINKS, "node %zu", i);
  for (size_t i = 0; i < f.n; i++)
    {
      used += wanted[i] > 0;
      cr_expect (wanted[i] == 0 || i % 20 == 0, "small node %zu is a hub", i);
    }
  cr_expect_leq (used, HUB_LINKS + 1, "%zu hubs", used);
}

/*
 * All hubs die at once.  Each node finds by itself the next in the order, and
 * these are again the same for all, so that what one tells reaches the others.
 */
Test (hubs, when_hubs_die_all_meet_at_the_next)
{
  static struct fleet f;
  unsigned before[MOST] = { 0 }, wanted[MOST] = { 0 };
  size_t used = 0;

  fill (&f, 300, 20);
  for (size_t i = 0; i < f.n; i++)
    choose (&f, i, before);
  for (size_t i = 0; i < f.n; i++)
    f.dead[i] = before[i] > 0;
  for (size_t i = 0; i < f.n; i++)
    if (!f.dead[i])
      cr_expect_eq (choose (&f, i, wanted), HUB_LINKS, "node %zu", i);
  for (size_t i = 0; i < f.n; i++)
    used += wanted[i] > 0;
  cr_expect_leq (used, HUB_LINKS + 1, "%zu hubs", used);
}

/*
 * All large nodes are gone for good.  Small ones take their place.
 */
Test (hubs, small_nodes_serve_when_no_large_one_lives)
{
  static struct fleet f;
  unsigned wanted[MOST] = { 0 };

  fill (&f, 300, 20);
  for (size_t i = 0; i < f.n; i += 20)
    f.dead[i] = true;
  for (size_t i = 0; i < f.n; i++)
    if (!f.dead[i])
      cr_expect_eq (choose (&f, i, wanted), HUB_LINKS, "node %zu", i);
}

/*
 * A node of low rank forms replicas, as the hubs can't reach the store.  It
 * reaches everybody, and everybody keeps the link to it.
 */
Test (hubs, who_forms_replicas_is_linked_to_all)
{
  static struct fleet f;
  static struct rly_peer list[MOST];
  static size_t who[MOST];
  size_t last = 0, n;

  fill (&f, 300, 20);
  for (size_t i = 0; i < f.n; i++)
    if (hub_cmp (&f.node[i], &f.node[last]) > 0)
      last = i;
  n = see (&f, last, list, who);
  rly_choose_links (&f.node[last], true, list, n);
  for (size_t i = 0; i < n; i++)
    cr_expect (list[i].wanted, "node %zu is not reached", who[i]);
  n = see (&f, 5, list, who);
  for (size_t i = 0; i < n; i++)
    list[i].leads = who[i] == last;
  rly_choose_links (&f.node[5], false, list, n);
  for (size_t i = 0; i < n; i++)
    cr_expect (who[i] != last || list[i].wanted);
}

/*
 * The store is away, and nobody forms replicas.  Of the nodes that are linked
 * exactly one adds up the loads, so each still knows how full the places are;
 * with somebody that leads, only that one does.
 */
Test (hubs, one_node_adds_up_the_loads)
{
  static struct fleet f;
  static struct rly_peer list[MOST];
  static size_t who[MOST];
  size_t sums = 0;

  fill (&f, 300, 20);
  for (size_t i = 0; i < f.n; i++)
    {
      size_t n = see (&f, i, list, who);
      sums += !rly_aggregator (&f.node[i], false, list, n);
    }
  cr_expect_eq (sums, 1, "%zu", sums);
  sums = 0;
  for (size_t i = 0; i < f.n; i++)
    {
      size_t n = see (&f, i, list, who);
      for (size_t k = 0; k < n; k++)
        list[k].leads = who[k] == 3;
      sums += !rly_aggregator (&f.node[i], i == 3, list, n);
    }
  cr_expect_eq (sums, 1, "%zu", sums);
}

/*
 * Few nodes are linked each to each, as the notices of long prompts ask; a
 * platform that names no bounds is taken for one without.
 */
Test (hubs, few_nodes_are_a_mesh)
{
  static struct fleet f;
  unsigned wanted[MOST] = { 0 };
  struct hub_node bound = { 1, MBIT, 1 }, none = { 2, 0, 0 };

  fill (&f, HUB_MESH_MOST, 9);
  for (size_t i = 0; i < f.n; i++)
    cr_expect_eq (choose (&f, i, wanted), f.n - 1, "node %zu", i);
  cr_expect_lt (hub_cmp (&none, &bound), 0);
  cr_expect_gt (hub_cmp (&bound, &none), 0);
}
