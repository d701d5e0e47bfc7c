/**
 * @file
 * A soak of many nodes at which operators put versions in force: the versions,
 * and a caller at each node that checks by which one it is answered.
 */
#ifndef LAPISLINE_T_LIB_MANY_H
#define LAPISLINE_T_LIB_MANY_H

#include "t/lib-soak.h"
#include "t/lib-versions.h"

/** Nodes that all others link to. */
#define RELAYS 4

struct many_success
{
  unsigned requests, served;
};

struct many
{
  struct soak s;
  struct versions vs;            /**< under the lock of @p s */
  pthread_mutex_t operator_lock; /**< versions are sent one after the other */
  int relay_order[RACK_MAX_NODES]; /**< of nodes: relays first */
  unsigned requests;               /**< requests */
  unsigned conclusive;             /**< whose answers tell of the version */
  unsigned served;                 /**< of these */
  unsigned bound_checked;          /**< told, and held to the bound */
  struct many_success
      initial;               /**< what all versions allow, at nodes in touch */
  struct many_success added; /**< what versions in force brought */
};

/** A caller with a connection that it keeps, and what it knows of its node. */
struct checker
{
  struct many *m;
  int node;
  struct web_stream *conn;
  unsigned incarnation;  /**< of the node; what follows is of this */
  unsigned min_version;  /**< the node has shown this version, */
  clk_ms min_version_at; /**< by then */
};

/** The platform, and settings for so many nodes. */
void many_init (struct many *m, uint64_t seed, int nodes);
/** All nodes; waits until they serve. */
void many_start_nodes (struct many *m);

/** The next version, which is sent now; no other one until
   many_version_acked().
    @param key     out, as rack_configure() takes it
    @param routes  out, as well */
unsigned many_next_version (struct many *m, struct buf *key,
                            struct buf *routes);
/** It was acknowledged. */
void many_version_acked (struct many *m, unsigned version);

/** A turn of a checker, which is the context: ask once. */
void many_check_request (struct soak_thread *t);

/** Expect the newest version at all nodes, and that nothing was wrong. */
void many_finish (struct many *m, struct checker *c);

#endif
