/**
 * @file
 * Inner structures of the rates that servers ask for.
 *
 *   limit.c        what is known of servers, and the permits of this node
 *   limit-grant.c  granting permits to this node and to those that follow it
 */
#ifndef LAPISLINE_SERVE_LIMIT_INT_H
#define LAPISLINE_SERVE_LIMIT_INT_H

#include <glib.h>

#include "base/rng.h"
#include "serve/limit.h"

#define LIM_SELF 0

/** Permits that a node wants for a server. */
struct lim_demand
{
  uint64_t node; /**< LIM_SELF: this one */
  unsigned n;
  clk_ms until;
};

/** A server that has named a limit. */
struct lim_row
{
  uint64_t server;
  bool limited;
  bool unreadable; /**< what it said could not be read, which was reported */
  double rate;
  clk_ms reported_at; /**< when the newest answer came that said so */
  uint64_t sent;
  unsigned permits;
  clk_ms permits_until;
  clk_ms wanted_at;     /**< by this node; 0: never */
  clk_ms wanted_since;  /**< without a permit; 0: it is not */
  bool repeated_demand; /**< by more than one request */
  /* Of a node that grants: */
  GArray *demands;   /**< of struct lim_demand, in the order of their coming */
  guint next_index;  /**< of them that was not granted */
  clk_ms self_until; /**< this node's own is among them until then */
  bool has_new_demand;   /**< something is wanted since the last look */
  double credit;         /**< permits that may be granted */
  clk_ms credit_at;      /**< when that was */
  double threshold;      /**< of the next one, where a part is less than one */
  clk_ms last_wanted_at; /**< any node wanted one; 0: never */
};

/** A node that takes its permits from this one. */
struct lim_follower
{
  uint64_t node;
  clk_ms last_seen;
};

struct lim
{
  GHashTable *rows; /**< by server */
  size_t limited;   /**< of them */
  struct rng rng;
  bool grants;
  bool has_new_demand;
  unsigned nodes;
  struct lim_follower *followers;
  size_t nfollowers;
  GArray *changed;     /**< servers with something new, of uint64_t */
  GArray *update_list; /**< handed out last, of struct lim_update */
  GArray *permits;     /**< likewise, of struct lim_permits */
  uint64_t sent, granted;
};

struct lim_row *lim_find (const struct lim *l, uint64_t server);

/** Requests a second that are granted for. */
double lim_effective_rate (const struct lim_row *r);

/** Permits that a node asks for at a time. */
unsigned lim_batch_size (const struct lim_row *r);

/** Permits for the server that this node wants beside those that it has. */
unsigned lim_permits_needed (const struct lim_row *r, clk_ms now);

/** Nodes that take their permits from this one. */
size_t lim_count_followers (const struct lim *l, clk_ms now);

#endif
