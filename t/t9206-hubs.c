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

#define NODES_MAX 400
#define MBIT 125000.0

struct fleet
{
  size_t n;
  struct rly_node node[NODES_MAX];
  bool failed[NODES_MAX];
};

/** @p n nodes; every @p nth of them has a link ten times as fast as the
    others. */
static void
fleet_init (struct fleet *f, size_t n, size_t nth)
{
  struct rng r;

  memset (f, 0, sizeof *f);
  rng_seed (&r, 7);
  f->n = n;
  for (size_t i = 0; i < n; i++)
    {
      bool is_large = i % nth == 0;
      f->node[i]
          = (struct rly_node){ rng_next (&r), (is_large ? 200 : 20) * MBIT,
                               is_large ? 0.5 : 0.12 };
    }
}

/** The peers of node @p self; @p list has room for the whole fleet. */
static size_t
list_peers (const struct fleet *f, size_t self, struct rly_peer *list,
            size_t *indices)
{
  size_t n = 0;

  for (size_t i = 0; i < f->n; i++)
    if (i != self)
      {
        indices[n] = i;
        list[n++] = (struct rly_peer){ .node = f->node[i],
                                       .up = !f->failed[i],
                                       .connect_failed = f->failed[i] };
      }
  return n;
}

/** The number of links from node @p self to running nodes.  Adds one to
    @p wanted for each node at the other end. */
static size_t
count_links (const struct fleet *f, size_t self, unsigned *wanted)
{
  static struct rly_peer list[NODES_MAX];
  static size_t indices[NODES_MAX];
  size_t n = list_peers (f, self, list, indices), links = 0;

  rly_choose_links (&f->node[self], false, list, n);
  for (size_t i = 0; i < n; i++)
    if (list[i].link_wanted && !f->failed[indices[i]])
      {
        wanted[indices[i]]++;
        links++;
      }
  return links;
}

/*
 * In a fleet of 300 nodes each node has RLY_LINKS_PER_NODE links instead of
 * 299, all to the same few large nodes; only these have the capacity to
 * receive all loads.
 */
Test (relays, all_nodes_link_to_the_same_large_nodes)
{
  static struct fleet f;
  unsigned wanted[NODES_MAX] = { 0 };
  size_t used = 0;

  fleet_init (&f, 300, 20);
  for (size_t i = 0; i < f.n; i++)
    cr_expect_eq (count_links (&f, i, wanted), RLY_LINKS_PER_NODE, "node %zu",
                  i);
  for (size_t i = 0; i < f.n; i++)
    {
      used += wanted[i] > 0;
      cr_expect (wanted[i] == 0 || i % 20 == 0, "small node %zu is a relay",
                 i);
    }
  cr_expect_leq (used, RLY_LINKS_PER_NODE + 1, "%zu relays", used);
}

/*
 * All relays fail at once.  Each node computes the next relays by itself.
 * These are again the same for all nodes, so that frames of one node reach all
 * others.
 */
Test (relays, all_nodes_fail_over_to_the_same_relays)
{
  static struct fleet f;
  unsigned before[NODES_MAX] = { 0 }, wanted[NODES_MAX] = { 0 };
  size_t used = 0;

  fleet_init (&f, 300, 20);
  for (size_t i = 0; i < f.n; i++)
    count_links (&f, i, before);
  for (size_t i = 0; i < f.n; i++)
    f.failed[i] = before[i] > 0;
  for (size_t i = 0; i < f.n; i++)
    if (!f.failed[i])
      cr_expect_eq (count_links (&f, i, wanted), RLY_LINKS_PER_NODE,
                    "node %zu", i);
  for (size_t i = 0; i < f.n; i++)
    used += wanted[i] > 0;
  cr_expect_leq (used, RLY_LINKS_PER_NODE + 1, "%zu relays", used);
}

/* All large nodes have failed, and small nodes become relays. */
Test (relays, small_nodes_replace_failed_large_ones)
{
  static struct fleet f;
  unsigned wanted[NODES_MAX] = { 0 };

  fleet_init (&f, 300, 20);
  for (size_t i = 0; i < f.n; i += 20)
    f.failed[i] = true;
  for (size_t i = 0; i < f.n; i++)
    if (!f.failed[i])
      cr_expect_eq (count_links (&f, i, wanted), RLY_LINKS_PER_NODE,
                    "node %zu", i);
}

/*
 * A node that is late in relay order becomes leader because the relays cannot
 * reach the store.  It wants links to all nodes, and each node keeps its link
 * to it.
 */
Test (relays, leader_is_linked_to_all)
{
  static struct fleet f;
  static struct rly_peer list[NODES_MAX];
  static size_t indices[NODES_MAX];
  size_t last = 0, n;

  fleet_init (&f, 300, 20);
  for (size_t i = 0; i < f.n; i++)
    if (rly_cmp (&f.node[i], &f.node[last]) > 0)
      last = i;
  n = list_peers (&f, last, list, indices);
  rly_choose_links (&f.node[last], true, list, n);
  for (size_t i = 0; i < n; i++)
    cr_expect (list[i].link_wanted, "no link to node %zu", indices[i]);
  n = list_peers (&f, 5, list, indices);
  for (size_t i = 0; i < n; i++)
    list[i].is_leader = indices[i] == last;
  rly_choose_links (&f.node[5], false, list, n);
  for (size_t i = 0; i < n; i++)
    cr_expect (indices[i] != last || list[i].link_wanted);
}

/*
 * The store is unreachable and there is no leader.  Exactly one of the linked
 * nodes aggregates the loads, so that each node still receives the load of the
 * endpoints.  With a leader, only the leader aggregates.
 */
Test (relays, one_node_aggregates_the_loads)
{
  static struct fleet f;
  static struct rly_peer list[NODES_MAX];
  static size_t indices[NODES_MAX];
  size_t sums = 0;

  fleet_init (&f, 300, 20);
  for (size_t i = 0; i < f.n; i++)
    {
      size_t n = list_peers (&f, i, list, indices);
      sums += !rly_choose_aggregator (&f.node[i], false, list, n);
    }
  cr_expect_eq (sums, 1, "%zu", sums);
  sums = 0;
  for (size_t i = 0; i < f.n; i++)
    {
      size_t n = list_peers (&f, i, list, indices);
      for (size_t k = 0; k < n; k++)
        list[k].is_leader = indices[k] == 3;
      sums += !rly_choose_aggregator (&f.node[i], i == 3, list, n);
    }
  cr_expect_eq (sums, 1, "%zu", sums);
}

/* Nodes of a small fleet form a full mesh, which notices of long prompts
   depend on.  A platform that states no limits is treated as unlimited. */
Test (relays, small_fleet_is_a_full_mesh)
{
  static struct fleet f;
  unsigned wanted[NODES_MAX] = { 0 };
  struct rly_node limited = { 1, MBIT, 1 }, unlimited = { 2, 0, 0 };

  fleet_init (&f, RLY_FULL_MESH_MAX, 9);
  for (size_t i = 0; i < f.n; i++)
    cr_expect_eq (count_links (&f, i, wanted), f.n - 1, "node %zu", i);
  cr_expect_lt (rly_cmp (&unlimited, &limited), 0);
  cr_expect_gt (rly_cmp (&limited, &unlimited), 0);
}
