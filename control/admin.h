/**
 * @file
 * Inside of the administration API: the parts of admin.c.
 *
 *   admin.c       requests, operators and their roles, routes
 *   admin-show.c  what is listed and shown, as JSON
 *   admin-ask.c   drains and traces, which other nodes take part in
 *   exposition.c  this process's metrics
 */
#ifndef LAPISLINE_CONTROL_ADMIN_H
#define LAPISLINE_CONTROL_ADMIN_H

#include "control/control.h"

struct ask;

struct ctl_admin
{
  struct ctl *c;
  struct httpd *httpd;
  struct ask *asks; /**< waiting for other nodes */
  uint64_t last_id;
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

/* admin-ask.c: each answers the request, now or when others answered. */
void adm_drain_replica (const struct adm_request *r);
void adm_drain_node (const struct adm_request *r);
void adm_trace (const struct adm_request *r);
/** Answer and drop what waits. */
void adm_asks_stop (struct ctl_admin *a);

/* exposition.c */
void adm_expose (struct ctl *c, struct buf *out);

#endif
