/**
 * @file
 * Soak of many nodes while operators store new configuration versions. One
 * client per node checks that each response agrees with a version that may be
 * in force there.
 */
#ifndef LAPISLINE_T_LIB_MANY_H
#define LAPISLINE_T_LIB_MANY_H

#include "t/lib-soak.h"
#include "t/lib-versions.h"

/** Relays: the nodes that all other nodes link to. */
#define RELAYS 4

struct many_success
{
  unsigned requests, served;
};

struct many
{
  struct soak s;
  struct versions vs;              /**< protected by the lock of @p s */
  pthread_mutex_t operator_lock;   /**< held until a version is acknowledged */
  int relay_order[RACK_MAX_NODES]; /**< nodes by preference as relays */
  unsigned requests;
  unsigned conclusive;         /**< served or denied */
  unsigned served;             /**< conclusive requests that were served */
  unsigned deadline_checked;   /**< conclusive, checked against the limit */
  struct many_success initial; /**< requests that all versions allow */
  struct many_success added;   /**< requests for items of versions in force */
};

/** Client of one node with a persistent connection. */
struct checker
{
  struct many *m;
  int node;
  struct web_stream *conn;
  unsigned incarnation;  /**< of the process that the fields below describe */
  unsigned min_version;  /**< oldest that the process may still use */
  clk_ms min_version_at; /**< when min_version was last raised */
};

/** Starts the platform and writes settings for @p nodes nodes. */
void many_init (struct many *m, uint64_t seed, int nodes);
/** Starts all nodes and waits until they serve. */
void many_start_nodes (struct many *m);

/** Creates the next version and formats its @p key and @p routes for
   rack_configure(). Other callers wait until many_version_acked(). */
unsigned many_next_version (struct many *m, struct buf *key,
                            struct buf *routes);
/** Records that the store acknowledged the version. */
void many_version_acked (struct many *m, unsigned version);

/** Step of a soak thread whose context is a checker: sends one request and
   checks the response. */
void many_check_request (struct soak_thread *t);

/** Expects the newest version at all nodes and no violations. */
void many_finish (struct many *m, struct checker *c);

#endif
