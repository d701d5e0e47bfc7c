/*
 * Choice of links in a fleet of hundreds of nodes: many nodes with slow links
 * and small processor shares, a few large ones, failed relays, and nodes that
 * see different sets of peers.
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

/** @p n nodes; every @p nth of them has a link ten times as fast as the
    others. */
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

/** The peers of node @p self; @p list has room for the whole fleet. */
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

/** The number of links from node @p self to running nodes.  Adds one to
    @p wanted for each node at the other end. */
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
 * In a fleet of 300 nodes each node has HUB_LINKS links instead of 299, and
 * all of them lead to the same few large nodes, which alone have the capacity
 * for all loads.
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
 * All relays fail at once.  Each node computes the next relays by itself.
 * These are again the same for all nodes, so that frames of one node reach all
 * others.
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

/* All large nodes have failed, and small nodes become relays. */
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
 * A node that is late in relay order becomes leader because the relays cannot
 * reach the store.  It wants links to all nodes, and each node keeps its link
 * to it.
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
 * The store is unreachable and there is no leader.  Exactly one of the linked
 * nodes aggregates the loads, so that each node still receives the load of the
 * endpoints.  With a leader, only the leader aggregates.
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

/* Nodes of a small fleet form a full mesh, which notices of long prompts
   depend on.  A platform that states no limits is treated as unlimited. */
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
