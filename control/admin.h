/**
 * @file
 * Internal interface of the administration API.
 *
 *   admin.c        HTTP requests, authorization of operators, routes
 *   admin-show.c   JSON of replicas, nodes, accounts and the configuration
 *   admin-ask.c    requests that wait for responses of other nodes
 *   admin-drain.c  drains, run here or forwarded to the node that can run them
 *   admin-trace.c  the spans of one trace, collected from all nodes
 *   exposition.c   metrics of this process
 */
#ifndef LAPISLINE_CONTROL_ADMIN_H
#define LAPISLINE_CONTROL_ADMIN_H

#include "control/control.h"

struct ctl_admin
{
  struct ctl *c;
  struct httpd *httpd;
  struct adm_pending *pending; /**< list of waiting requests */
  uint64_t last_id;
};

/**
 * A request that waits for responses of other nodes.  An operator sent it over
 * HTTP (http is set), or a control process requests the spans of this node's
 * gateway (requester is set).
 */
struct adm_pending
{
  struct ctl_admin *a;
  struct adm_pending *next;
  struct adm_pending **prev_next;
  uint64_t id;
  uv_timer_t timer;
  struct httpd_req *http; /**< NULL once the client has disconnected */
  uint64_t requester;     /**< peer id of the control process */
  uint64_t requester_id;  /**< its request id; 0: an operator */
  /* Only for a drain. */
  char *operator_name;
  char *target_name;
  char *forwarded_to; /**< node that runs the drain */
  /* Only for a trace. */
  bool is_trace;
  uint8_t trace[16];
  struct buf spans;       /**< elements of a JSON array, separated by commas */
  unsigned outstanding;   /**< responses not yet received */
  unsigned missing_nodes; /**< nodes not linked or timed out */
};

/** A request of an operator whose role permits it. */
struct adm_request
{
  struct ctl_admin *a;
  struct httpd_req *http;
  struct str name; /**< name or trace id in the path, or empty */
  const struct cfg_operator *operator;
};

void adm_respond (struct httpd_req *http, int status, struct str json);

/** Sends {"error":{"code":...,"message":...}}. */
void adm_error (struct httpd_req *http, int status, const char *code,
                const char *message);

/* admin-show.c: each function sends the response. */
void adm_replicas (const struct adm_request *r);
void adm_replica (const struct adm_request *r);
void adm_nodes (const struct adm_request *r);
void adm_node (const struct adm_request *r);
void adm_accounts (const struct adm_request *r);
void adm_config (const struct adm_request *r);
void adm_status (const struct adm_request *r);

/** Returns the member of that name with the highest boot number, or NULL. */
const struct mbr_node *adm_find_node (const struct ctl *c, struct str name);
const struct ctl_replica *adm_find_replica (const struct ctl *c,
                                            struct str name);

/* admin-ask.c */

/**
 * Registers a request that waits for other nodes for at most @p wait_ms.
 * @param http  the operator's request, or NULL
 * @return NULL when too many requests are waiting
 */
struct adm_pending *adm_pending_new (struct ctl_admin *a,
                                     struct httpd_req *http, clk_ms wait_ms,
                                     uv_timer_cb on_timeout);
struct adm_pending *adm_pending_find (const struct ctl_admin *a, uint64_t id,
                                      bool is_trace);
void adm_pending_end (struct adm_pending *p);
/** Ends all waiting requests; operators get an error response. */
void adm_pending_stop (struct ctl_admin *a);

/* admin-drain.c: the response may wait for another node. */
void adm_drain_replica (const struct adm_request *r);
void adm_drain_node (const struct adm_request *r);
void adm_on_drain_ask (struct ctl_admin *a, uint64_t peer,
                       const Lapis__DrainAsk *ask);
void adm_on_drain_answer (struct ctl_admin *a,
                          const Lapis__DrainAnswer *answer);

/* admin-trace.c: the response waits for all nodes or a timeout. */
void adm_trace (const struct adm_request *r);
void adm_on_trace_ask (struct ctl_admin *a, uint64_t peer,
                       const Lapis__TraceAsk *ask);

/* exposition.c */
void adm_write_metrics (struct ctl *c, struct buf *out);

#endif
