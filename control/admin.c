#include "control/admin.h"

#include <stdlib.h>

#include "base/digest.h"

#define MAX_BODY ((size_t)4096)
#define MAX_CONNECTIONS 64
#define REQUEST_TIMEOUT_MS (10 * CLK_SECOND)

#define PREFIX "/admin/v1/"

struct route
{
  const char *method;
  const char *resource;
  bool has_name;    /* the path contains a name */
  const char *verb; /* path segment after the name, or NULL */
  enum cfg_role role;
  void (*handler) (const struct adm_request *r);
};

static const struct route routes[] = {
  { "GET", "replicas", false, NULL, CFG_VIEWER, adm_replicas },
  { "GET", "replicas", true, NULL, CFG_VIEWER, adm_replica },
  { "POST", "replicas", true, "drain", CFG_OPERATOR, adm_drain_replica },
  { "GET", "nodes", false, NULL, CFG_VIEWER, adm_nodes },
  { "GET", "nodes", true, NULL, CFG_VIEWER, adm_node },
  { "POST", "nodes", true, "drain", CFG_OPERATOR, adm_drain_node },
  { "GET", "accounts", false, NULL, CFG_VIEWER, adm_accounts },
  { "GET", "config", false, NULL, CFG_VIEWER, adm_config },
  { "GET", "status", false, NULL, CFG_VIEWER, adm_status },
  { "GET", "traces", true, NULL, CFG_VIEWER, adm_trace },
};

#define NROUTES (sizeof routes / sizeof routes[0])

static void
respond_with_type (struct httpd_req *http, int status, struct str type,
                   struct str body)
{
  struct http_header headers[] = {
    { STR ("content-type"), type },
    { STR ("cache-control"), STR ("no-store") },
  };
  httpd_answer (http, status, headers, 2, body);
}

void
adm_respond (struct httpd_req *http, int status, struct str json)
{
  respond_with_type (http, status, STR ("application/json"), json);
}

void
adm_error (struct httpd_req *http, int status, const char *code,
           const char *message)
{
  struct buf out = BUF_INIT;
  buf_addf (&out, "{\"error\":{\"code\":\"%s\",\"message\":", code);
  buf_add_json (&out, str_from (message));
  buf_add_c (&out, "}}\n");
  adm_respond (http, status, buf_str (&out));
  buf_free (&out);
}

/* Returns the first segment of `path` and removes it from `path`. */
static struct str
next_segment (struct str *path)
{
  size_t end = str_chr (*path, '/');
  struct str part = str_head (*path, end);
  *path = str_skip (*path, end + 1);
  return part;
}

struct request_path
{
  struct str resource;
  struct str name;
  struct str verb;
};

static bool
parse_path (struct str path, struct request_path *rp)
{
  if (!str_starts (path, STR (PREFIX)))
    return false;
  path = str_skip (path, sizeof PREFIX - 1);
  rp->resource = next_segment (&path);
  rp->name = next_segment (&path);
  rp->verb = next_segment (&path);
  return path.len == 0;
}

static bool
matches (const struct route *r, const struct request_path *rp)
{
  return str_is (rp->resource, r->resource)
         && (rp->name.len > 0) == r->has_name
         && str_is (rp->verb, r->verb ? r->verb : "");
}

/* Returns the route, or NULL and status 404 or 405. */
static const struct route *
find_route (const struct httpd_view *view, struct request_path *rp,
            int *status)
{
  *status = 404;
  if (!parse_path (view->path, rp))
    return NULL;
  for (size_t i = 0; i < NROUTES; i++)
    {
      if (!matches (&routes[i], rp))
        continue;
      if (str_is (view->method, routes[i].method))
        return &routes[i];
      *status = 405;
    }
  return NULL;
}

static const struct cfg_operator *
find_operator (const struct ctl *c, const struct httpd_req *http)
{
  struct buf digest = BUF_INIT;
  if (!dig_add_bearer (&digest, httpd_header (http, "authorization")))
    return NULL;
  const struct cfg_operator *operator= cfg_operator_by_token (
      c->cfg, buf_str (&digest));
  buf_free (&digest);
  return operator;
}

static void
reject (struct httpd_req *http, int status, const char *code,
        const char *message, struct str operator)
{
  const struct httpd_view *view = httpd_get (http);
  LOG (admin_refused, LOG_C ("code", code), LOG_S ("operator", operator),
       LOG_S ("method", view->method), LOG_S ("path", view->path),
       LOG_C ("from", view->peer.host));
  adm_error (http, status, code, message);
}

static void
handle_api (struct ctl_admin *a, struct httpd_req *http)
{
  struct request_path rp = { 0 };
  int status;
  if (!a->c->cfg)
    {
      adm_error (http, 503, "no-configuration",
                 "no configuration is in force yet, so no operator can be "
                 "authenticated");
      return;
    }
  const struct cfg_operator *operator= find_operator (a->c, http);
  if (!operator)
    {
      reject (http, 401, "unauthorized", "a valid operator token is required",
              STR_EMPTY);
      return;
    }
  const struct route *route = find_route (httpd_get (http), &rp, &status);
  if (!route)
    adm_error (http, status, status == 404 ? "no-such-path" : "method",
               status == 404 ? "no such path"
                             : "this path does not support the method");
  else if (operator->role<route->role)
    reject (http, 403, "forbidden",
            "the role viewer does not permit this request", operator->name);
  else
    route->handler (&(struct adm_request){ a, http, rp.name, operator });
}

static void
handle_metrics (struct ctl_admin *a, struct httpd_req *http)
{
  struct buf out = BUF_INIT;
  adm_write_metrics (a->c, &out);
  respond_with_type (http, 200, STR ("text/plain; version=0.0.4"),
                     buf_str (&out));
  buf_free (&out);
}

static void
on_request (void *ctx, struct httpd_req *http)
{
  struct ctl_admin *a = ctx;
  const struct httpd_view *view = httpd_get (http);
  if (str_is (view->path, "/metrics") && str_is (view->method, "GET"))
    handle_metrics (a, http);
  else
    handle_api (a, http);
}

struct ctl_admin *
ctl_admin_start (struct ctl *c, struct buf *err)
{
  static const struct httpd_limits limits
      = { .max_body = MAX_BODY,
          .max_connections = MAX_CONNECTIONS,
          .request_ms = REQUEST_TIMEOUT_MS };
  struct ctl_admin *a = xcalloc (1, sizeof *a);
  a->c = c;
  a->httpd = httpd_listen (c->loop, &c->set.control_admin, &limits, on_request,
                           a, err);
  if (a->httpd)
    return a;
  free (a);
  return NULL;
}

void
ctl_admin_stop (struct ctl_admin *a)
{
  adm_pending_stop (a);
  httpd_free (a->httpd);
  free (a);
}

uint16_t
ctl_admin_port (const struct ctl_admin *a)
{
  return httpd_port (a->httpd);
}
