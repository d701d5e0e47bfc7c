/**
 * @file
 * Which nodes link to which (decision core).
 *
 * Up to HUB_MESH_MOST nodes each links to each.  With more, a full mesh costs
 * each node as many links and frames as there are nodes, and its smallest VMs
 * spend their time on it.  Then all nodes link to the first few in one order,
 * the hubs, which is the same at all of them; hubs add up loads, tell what all
 * need to know, and one of them forms replicas.
 *
 * The order puts nodes with the larger link and processor first: at 300 nodes
 * a hub takes 3,000 frames a second and sends a list of a hundred kilobytes to
 * each node, which fills a link of 20 Mbit/s for half a minute.
 */
#ifndef LAPISLINE_SERVE_HUBS_H
#define LAPISLINE_SERVE_HUBS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Nodes up to which each links to each, and tells the others its load and of
    long prompts at once.  Among more of them each watches the store for what
    all the others do, and their calls grow by the square of their number. */
#define HUB_MESH_MOST 15
/** Hubs that a node is linked to, so that the loss of one leaves others, and
    a new owner is found among those that are linked already. */
#define HUB_LINKS 4

/** A node as its entry in the store describes it. */
struct hub_node
{
  uint64_t hash;           /**< of its name; decides between equals */
  double link_bytes_per_s; /**< 0: without a bound */
  double cpu_share;        /**< of a core; 0: without a bound */
};

/** Order in which nodes become hubs and take the duty. @return as memcmp */
int hub_cmp (const struct hub_node *a, const struct hub_node *b);

/** How many of @p list come before @p self. */
unsigned rly_rank (const struct hub_node *self, const struct hub_node *list,
                   size_t n);

/** Another node, as one that chooses its links sees it. */
struct rly_peer
{
  struct hub_node node;
  bool up;      /**< linked */
  bool failing; /**< a link to it was tried and did not come up */
  bool leads;   /**< it forms replicas */
  bool wanted;  /**< out: link to it, and keep that link */
};

/**
 * Choose the links of a node.
 *
 * Those that fail are tried again, but don't count: a node whose first hubs
 * are all gone links to the next in the order, where all others meet it.
 * @param leads  this node forms replicas, and has to reach everybody
 */
void rly_choose_links (const struct hub_node *self, bool leads,
                       struct rly_peer *list, size_t n);

/**
 * The peer that adds up the loads of all and tells the sum: the one that
 * leads, or, while none does, the first that is linked.
 * @return  NULL: this node does
 */
const struct rly_peer *rly_aggregator (const struct hub_node *self, bool leads,
                                       const struct rly_peer *list, size_t n);

#endif
