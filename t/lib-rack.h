/**
 * @file
 * A stand-in of the users' platform and nodes before it, as real processes.
 *
 * The service "lm" has the model "big" of 3 VMs in domains of 4, the service
 * "app" two plain servers.  Hosts, paths and the key of the only account are
 * below.
 */
#ifndef LAPISLINE_T_LIB_RACK_H
#define LAPISLINE_T_LIB_RACK_H

#include "t/lib-proc.h"

#define RACK_NODES 2
/** Nodes of a test with more of them than are linked each to each. */
#define RACK_MANY 18
#define RACK_MOST 80 /**< of those that rack_up_many() starts */

struct rack
{
  struct proc *platform;
  struct proc *node[RACK_MOST];
  const char *at;   /**< the platform's address */
  const char *logs; /**< folder for the nodes' output; NULL: as of proc.h */
  char settings[RACK_MOST][256]; /**< paths */
  char front[RACK_MOST][32];
  char ready[RACK_MOST][32];
  char address[RACK_MOST][32];
};

/** Start the platform with so many engine servers; nothing is configured. */
void rack_up (struct rack *r, int engines);

/** The same with settings for @p nodes that start for the first time, of which
   the last one reaches the platform by way of @p last, "127.0.0.1:PORT",
   unless that is NULL. */
void rack_up_many (struct rack *r, int engines, int nodes,
                   const char *(*last) (const char *at));

/** Time in which a leaving server may still get requests, of nodes whose
    settings are written from now on; 2,000 unless set. */
void rack_drain_ms (int ms);

/** Start a node, also one that was ended. */
void rack_start_node (struct rack *r, int node);

/** POST /control/set. */
void rack_set (const struct rack *r, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Put the configuration in force that this file tells of, as @p version.
    @param key  of the account
    @param more  further routes, each with a comma before it, or "" */
void rack_configure (const struct rack *r, int version, const char *key,
                     const char *more);

/** Platform, configuration and both nodes; waits until a stream is served. */
void rack_start_all (struct rack *r, int engines);

/** Headers of a request: id, key "k1", model. */
const char *rack_headers (const char *id);

/** Ask for a stream at a node; the answer's status, its body appended. */
int rack_stream (const struct rack *r, int node, const char *id,
                 struct buf *body);

/** One call of the plain service: its status.  @param path "/once/x" or
    "/safe/x" */
int rack_call (const struct rack *r, int node, const char *path,
               const char *id, const char *headers, struct buf *body);

/** Repeat a call until it is answered so; false when it never is. */
bool rack_until (const struct rack *r, int node, const char *path,
                 const char *headers, int status);

/** Wait until GET /control/counts holds @p text. */
bool rack_counts_until (const struct rack *r, const char *text);
/** A number of a server's counts. */
int rack_count (const struct rack *r, const char *server, const char *what);

/** Whether the body is the events 1 to @p n, each once and in order. */
bool rack_whole (struct buf *body, int n);

#endif
