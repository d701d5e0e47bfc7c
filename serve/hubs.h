/**
 * @file
 * Which nodes are linked to which (decision core).
 *
 * Up to RLY_FULL_MESH_MAX nodes form a full mesh.  In a larger fleet a full
 * mesh would cost each node as many links and frames as there are nodes, which
 * takes all processor time of the smallest VMs.  There, each node is linked to
 * a few relays only: the first nodes in an order that is the same at all
 * nodes.  Relays add up loads and forward frames that all nodes need.  One of
 * them is usually the leader, which forms replicas.
 *
 * Nodes with a faster link, then those with a larger share of a processor,
 * come first in this order.  With 300 nodes, a relay receives 3,000 frames per
 * second and sends a list of 100 kB to each node; on a link of 20 Mbit/s that
 * takes half a minute.
 */
#ifndef LAPISLINE_SERVE_RELAYS_H
#define LAPISLINE_SERVE_RELAYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Most nodes of a full mesh, in which each node sends its load and notices of
 * long prompts directly to all others.  In a larger mesh each node would watch
 * the store for changes of all others, and the store calls would grow with the
 * square of the number of nodes.
 */
#define RLY_FULL_MESH_MAX 15
/** Number of relays that each node is linked to.  If one is lost, the others
    remain, and the next leader is usually one of them. */
#define RLY_LINKS_PER_NODE 4

/** A node, as its entry in the store describes it. */
struct rly_node
{
  uint64_t hash;           /**< of its name; breaks ties */
  double link_bytes_per_s; /**< 0: unlimited */
  double cpu_share;        /**< share of a core; 0: unlimited */
};

/** Order in which nodes become relays and leader. @return as memcmp */
int rly_cmp (const struct rly_node *a, const struct rly_node *b);

/** Number of nodes in @p list that precede @p self in relay order. */
unsigned rly_rank (const struct rly_node *self, const struct rly_node *list,
                   size_t n);

/** Another node, as seen by the node that chooses its links. */
struct rly_peer
{
  struct rly_node node;
  bool up;             /**< linked */
  bool connect_failed; /**< the last connection attempt failed */
  bool is_leader;
  /** out: this node should connect to it, or keep the link */
  bool link_wanted;
};

/**
 * Choose the links of a node.
 *
 * A peer whose connection attempts fail is still wanted but does not count
 * towards RLY_LINKS_PER_NODE.  A node whose first relays are all lost
 * therefore links to the next nodes in the order, which are the same for all
 * nodes.
 * @param is_leader  this node is the leader and needs a link to each node
 */
void rly_choose_links (const struct rly_node *self, bool is_leader,
                       struct rly_peer *list, size_t n);

/**
 * The peer that adds up the loads of all nodes and sends the sum: the leader
 * or, without a leader, the first linked node in relay order.
 * @return  NULL: this node is the aggregator
 */
const struct rly_peer *rly_choose_aggregator (const struct rly_node *self,
                                              bool is_leader,
                                              const struct rly_peer *list,
                                              size_t n);

#endif
