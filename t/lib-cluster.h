/**
 * @file
 * Several gateways over one store stand-in and one plain service of two
 * backend servers ("soko-api": POST /bookings is not idempotent).
 *
 * Without control no gateway knows another: each takes itself for the home
 * of every claim, which is the worst that a wrong view can do.
 */
#ifndef LAPISLINE_T_LIB_CLUSTER_H
#define LAPISLINE_T_LIB_CLUSTER_H

#include "t/lib-front.h"

#define CLUSTER_MAX 8
#define CLUSTER_MAX_VMS 16

struct relay;

struct cluster
{
  size_t n;
  struct proc *store;
  struct proc *soko[2];
  struct proc *vm[CLUSTER_MAX_VMS]; /**< of one replica each of "ghala-lm" */
  size_t nvms;
  struct relay *relay; /**< before soko[0] and soko[1]; NULL: none */
  struct proc *control[CLUSTER_MAX]; /**< all NULL: without */
  struct proc *gateway[CLUSTER_MAX];
  const char *config;            /**< folder */
  const char *http[CLUSTER_MAX]; /**< callers' addresses */
};

enum cluster_kind
{
  CLUSTER_APART,   /**< without control */
  CLUSTER_TOGETHER /**< with a control process for each gateway */
};

/** Start @p n gateways and wait until each routes to the service. */
void cluster_up (struct cluster *c, size_t n, enum cluster_kind kind);

/** As cluster_up() together, with @p vms replicas of one VM each that serve
    two requests at once, and wait until each gateway routes to them. */
void cluster_up_model (struct cluster *c, size_t n, size_t vms);

/** As cluster_up(), with a relay between the gateways and the service. */
void cluster_up_relayed (struct cluster *c, size_t n);

/** Book under many keys, so that the gateway knows every shard of claims and
    its next one needs a write alone. */
void cluster_warm (struct cluster *c, size_t gateway);

/** Start a gateway that was killed again, at another port. */
void cluster_restart_gateway (struct cluster *c, size_t gateway);

/** Set faults of the store, also while it refuses connections. */
void cluster_store_fault (struct cluster *c, const char *json);

/** Book under a key (NULL: none) and append "STATUS OUTCOME CODE\\n". */
void cluster_book (struct cluster *c, size_t gateway, const char *key,
                   struct buf *log);

/** The same without waiting for the answer, and the answer. */
struct web_stream *cluster_book_open (struct cluster *c, size_t gateway,
                                      const char *key);

/** One booking's answer. */
struct cluster_answer
{
  int status; /**< 0: none came */
  char outcome[16];
  char request_id[40];
  char code[40];
};
void cluster_book_answer (struct cluster *c, size_t gateway, const char *key,
                          struct cluster_answer *out);
void cluster_read_answer (struct web_stream *s, struct cluster_answer *out);

/** How often the service ran a key, or a request id; all runs for NULL. */
int cluster_runs_of_key (struct cluster *c, const char *key);
int cluster_runs_of_request (struct cluster *c, const char *id);

/** How often the model's replicas ran a request id. */
int cluster_model_runs (struct cluster *c, const char *id);

/** Connections so far and bytes of all that are open now are swallowed for
    good, while new ones work. */
void cluster_forget_connections (struct cluster *c);

#endif
