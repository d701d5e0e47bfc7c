/**
 * @file
 * Inside of the administration API: the parts of admin.c.
 *
 *   admin.c       requests, operators and their roles, routes
 *   admin-show.c  what is listed and shown, as JSON
 *   admin-ask.c   what waits for answers of other nodes
 *   admin-drain.c drains, carried out here or by the node that can
 *   admin-trace.c the spans of one trace, from all nodes
 *   exposition.c  this process's metrics
 */
#ifndef LAPISLINE_CONTROL_ADMIN_H
#define LAPISLINE_CONTROL_ADMIN_H

#include "control/control.h"

struct ctl_admin
{
  struct ctl *c;
  struct httpd *httpd;
  struct adm_ask *asks; /**< waiting for other nodes */
  uint64_t last_id;
};

/**
 * One thing asked of other nodes: by an operator here (http is set), or, for
 * spans of the own gateway, by the node `peer`.
 */
struct adm_ask
{
  struct ctl_admin *a;
  struct adm_ask *next;
  struct adm_ask **prev;
  uint64_t id;
  uv_timer_t timer;
  struct httpd_req *http; /**< NULL once the caller has gone */
  uint64_t peer;          /**< who asked; with peer_id */
  uint64_t peer_id;       /**< 0: asked here */
  /* A drain. */
  char *who;
  char *what;
  char *node; /**< that was asked */
  /* A trace. */
  bool is_trace;
  uint8_t trace[16];
  struct buf spans; /**< elements of the array, with commas */
  unsigned waiting; /**< answers that have not come */
  unsigned missing; /**< nodes that gave none in time */
};

/** One request of an operator who may make it. */
struct adm_request
{
  struct ctl_admin *a;
  struct httpd_req *http;
  struct str name; /**< in the path, or empty */
  const struct cfg_operator *who;
};

/** Answer with a body of JSON. */
void adm_answer (struct httpd_req *http, int status, struct str json);

/** Answer {"error":{"code":...,"message":...}}. */
void adm_error (struct httpd_req *http, int status, const char *code,
                const char *message);

/* admin-show.c: each answers the request. */
void adm_replicas (const struct adm_request *r);
void adm_replica (const struct adm_request *r);
void adm_nodes (const struct adm_request *r);
void adm_node (const struct adm_request *r);
void adm_accounts (const struct adm_request *r);
void adm_config (const struct adm_request *r);
void adm_status (const struct adm_request *r);

/** The member of that name with the highest boot, or NULL. */
const struct mbr_node *adm_find_node (const struct ctl *c, struct str name);
const struct ctl_replica *adm_find_replica (const struct ctl *c,
                                            struct str name);

/* admin-ask.c */

/**
 * Begin to wait, at most @p wait_ms.
 * @param http  the operator's request, or NULL
 * @return NULL when too many wait
 */
struct adm_ask *adm_ask_new (struct ctl_admin *a, struct httpd_req *http,
                             clk_ms wait_ms, uv_timer_cb on_late);
struct adm_ask *adm_ask_find (const struct ctl_admin *a, uint64_t id,
                              bool is_trace);
void adm_ask_end (struct adm_ask *k);
/** Answer and drop what waits. */
void adm_asks_stop (struct ctl_admin *a);

/* admin-drain.c: a request is answered now or when another node answered. */
void adm_drain_replica (const struct adm_request *r);
void adm_drain_node (const struct adm_request *r);
void adm_take_drain_ask (struct ctl_admin *a, uint64_t peer,
                         const Lapis__DrainAsk *ask);
void adm_take_drain_answer (struct ctl_admin *a,
                            const Lapis__DrainAnswer *answer);

/* admin-trace.c: a request is answered when all nodes answered, or late. */
void adm_trace (const struct adm_request *r);
void adm_take_trace_ask (struct ctl_admin *a, uint64_t peer,
                         const Lapis__TraceAsk *ask);

/* exposition.c */
void adm_expose (struct ctl *c, struct buf *out);

#endif
