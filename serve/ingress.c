#include "serve/exchange.h"

#include <stdio.h>
#include <stdlib.h>

/** Limits on requests while the configuration in force states none. */
#define BODY_MAX ((size_t)16 * 1024 * 1024)
#define HEAD_MAX ((size_t)64 * 1024)

/** Added to the configuration's limit on a request head, which need not
    include the request line. */
#define REQUEST_LINE_MAX ((size_t)4096)

/** Part of the VM's memory for the bytes of requests that are being received
    or served.  The body of a request may be held three times: as received,
    copied while its buffer grows, and as sent to a backend server. */
#define INPUT_PART 8

/** Memory of the VM if the settings state none, in megabytes. */
#define DEFAULT_MEMORY_MB 512

/** Retry-After for a request that was refused as this limit was reached.
    Bodies of the largest size are received within this time. */
#define INPUT_RETRY_MS CLK_SECOND

/** Shortest interval between two log lines about refused requests. */
#define REFUSALS_LOG_MS CLK_SECOND

/** Retry-After while the node has no configuration yet; a node that has just
    started usually reads one within this time. */
#define START_RETRY_MS ((clk_ms)300)

/** Retry-After for a request that the configuration does not allow, while this
    configuration is not confirmed to be the newest. */
#define CONFIRM_RETRY_MS ((clk_ms)1000)

/** File descriptors reserved for files, links, the store, and connections to
    backend servers.  At most half of the others are used for client
    connections. */
#define FDS_RESERVED 1000

/** Limit on the time between two requests of a connection, and on the time to
    send a request head.  The limits in the configuration are not read yet when
    the port is opened. */
#define IDLE_MS ((clk_ms)20000)

struct srv_exchange *
srv_find_exchange (const struct srv *s, uint64_t id)
{
  struct srv_exchange *ex = s->exchanges;

  while (ex && ex->id != id)
    ex = ex->next;
  return ex;
}

/** Running an action may add further actions; the outermost call runs these
    too. */
void
srv_run_actions (struct srv *s)
{
  struct dsp_action a;

  if (s->running_actions)
    return;
  s->running_actions = true;
  while (dsp_next_action (s->dispatch, &a))
    {
      struct srv_exchange *ex = srv_find_exchange (s, a.id);
      if (a.kind == DSP_ACT_STALLED)
        LOG (place_stalled, LOG_S ("server", a.server),
             LOG_I ("silent_ms", a.duration_ms),
             LOG_I ("own_streams", a.silence.own_streams),
             LOG_I ("peer_streams", a.silence.peer_streams),
             LOG_I ("all_silent_ms", a.silence.silent_ms));
      else if (a.kind == DSP_ACT_CHECK_PROCESS)
        srv_check_server_process (s, &a);
      else if (ex)
        srv_exchange_run_action (ex, &a);
    }
  s->running_actions = false;
  srv_peers_send_prompts (s);
  srv_poison_process (s);
  srv_peers_request_permits (s);
}

/* --- admission ---------------------------------------------------------- */

/** The host name without a port. */
static struct str
host_name (struct str host)
{
  return str_head (host, str_chr (host, ':'));
}

/** Response to a rejected request; status 0: the request is accepted. */
struct rejection
{
  int status;
  const char *code;
  clk_ms retry_ms;
};

static struct rejection
check_account (struct srv_exchange *ex)
{
  if (!ex->config->has_accounts)
    return (struct rejection){ 0 };
  ex->account = tbl_find_account (ex->config, ex->request.key);
  if (!ex->account && !ex->route->allows_anonymous)
    return (struct rejection){ 401, "unknown-key", 0 };
  return (struct rejection){ 0 };
}

static struct rejection
check_request (struct srv_exchange *ex)
{
  const struct httpd_view *v = httpd_get (ex->req);
  const struct tbl_limits *l = &ex->config->limits;

  ex->route = tbl_find_route (ex->config, host_name (ex->host), v->path);
  if (!ex->route)
    return (struct rejection){ 404, "no-route", 0 };
  if (l->max_body && v->body.len > l->max_body)
    return (struct rejection){ 413, "body-too-large", 0 };
  return check_account (ex);
}

/** The account's priority overrides the route's. */
static unsigned
priority_of (const struct srv_exchange *ex)
{
  unsigned p = ex->account && ex->account->has_priority ? ex->account->priority
                                                        : ex->route->priority;

  return p > 9 ? 9 : p;
}

/**
 * Time that the client has spent on earlier attempts.
 *
 * A client that retries sends the time that remains of the route's timeout;
 * the difference was spent on its earlier attempts and counts against the
 * latency goal.  A request that has missed its goal is served after those that
 * can still meet theirs.
 */
static clk_ms
earlier_wait (const struct srv_exchange *ex)
{
  clk_ms timeout = ex->route->timeout_ms;

  return ex->request.deadline_ms > 0 && ex->request.deadline_ms < timeout
             ? timeout - ex->request.deadline_ms
             : 0;
}

static clk_ms
deadline_of (const struct srv_exchange *ex)
{
  clk_ms left = ex->route->timeout_ms;

  if (ex->request.deadline_ms && (!left || ex->request.deadline_ms < left))
    left = ex->request.deadline_ms;
  return ex->started_at + (left ? left : CLK_MINUTE);
}

static void
format_parts (struct srv_exchange *ex)
{
  for (size_t i = 0; i < ex->request.nshared_parts; i++)
    buf_addf (&ex->parts_text, i ? " %llx" : "%llx",
              (unsigned long long)ex->request.shared_parts[i]);
}

static void
submit (struct srv_exchange *ex)
{
  struct srv *s = ex->s;

  ex->digest = srv_request_digest (ex);
  snprintf (ex->digest_text, sizeof ex->digest_text, "%016llx",
            (unsigned long long)ex->digest);
  format_parts (ex);

  struct dsp_request q
      = { .id = ex->id,
          .route = ex->route,
          .config = ex->config,
          .service = tbl_pick_service (ex->route, rng_unit (&s->rng)),
          .priority = priority_of (ex),
          .deadline = deadline_of (ex),
          .waited_ms = earlier_wait (ex),
          .prompt_tokens = ex->request.prompt_tokens,
          .max_output_tokens = ex->request.max_output_tokens,
          .digest = ex->digest,
          .parts = ex->request.shared_parts,
          .nparts = ex->request.nshared_parts,
          .proxied = httpd_header (ex->req, SRV_H_PROXIED).len > 0 };

  /* The dispatcher keeps state for each name.  A client could fill this node's
     memory with names of models that don't exist; requests with these have the
     state of those without a name. */
  if (tbl_find_model (q.service, ex->request.model))
    q.model = ex->request.model;
  s->had_traffic = true;
  dsp_submit (s->dispatch, ex->started_at, &q);
  srv_run_actions (s);
}

/** Clients do not retry after a 4xx, so a 4xx is sent only while the
    configuration is confirmed to be the newest. */
static struct rejection
confirm_rejection (const struct srv *s, struct rejection why)
{
  static const struct rejection unconfirmed
      = { 503, "config-unconfirmed", CONFIRM_RETRY_MS };
  bool confirmed = srv_config_state (s, clk_now ()) == CUR_CONFIRMED;

  return why.status && !confirmed ? unconfirmed : why;
}

static void
log_rejection (const struct srv_exchange *ex, const struct rejection *why)
{
  struct srv *s = ex->s;

  LOG (request_denied, LOG_S ("id", ex->request.id), LOG_S ("host", ex->host),
       LOG_S ("path", httpd_get (ex->req)->path),
       LOG_I ("status", why->status), LOG_C ("code", why->code),
       LOG_I ("config", ex->config->version),
       LOG_I ("known_age_ms", srv_config_age (s, clk_now ())));
  srv_metrics_request (s, "none", why->status, why->code, 0);
}

static void
admit (struct srv *s, struct httpd_req *req, clk_ms since)
{
  struct srv_exchange *ex = srv_exchange_new (s, req, s->active_config);
  struct rejection why;
  size_t n;
  const struct http_header *h = httpd_headers (req, &n);

  ex->started_at = since;
  s->adapter->parse_request (h, n, &ex->request);
  ex->host = httpd_get (req)->host;
  why = confirm_rejection (s, check_request (ex));
  if (why.status == 0)
    {
      submit (ex);
      return;
    }
  log_rejection (ex, &why);
  ex->req = NULL;
  srv_exchange_free (ex);
  srv_send_error (s, req, why.status, why.code, why.retry_ms);
}

/* --- after a pause of this process -------------------------------------- */

/** A request that is deferred until the store has answered after a pause. */
struct srv_deferred
{
  struct srv_deferred *next, **prev;
  struct httpd_req *req;
  clk_ms since;
};

static bool
awaits_store (const struct srv *s, clk_ms now)
{
  return srv_config_state (s, now) == CUR_AWAITING_STORE
         || srv_sync_is_resuming (s, now);
}

static void
remove_deferred (struct srv_deferred *w)
{
  *w->prev = w->next;
  if (w->next)
    w->next->prev = w->prev;
  free (w);
}

static void
on_deferred_gone (void *ctx)
{
  remove_deferred (ctx);
}

static void
defer (struct srv *s, struct httpd_req *req)
{
  struct srv_deferred *w = xcalloc (1, sizeof *w);

  w->req = req;
  w->since = clk_now ();
  w->next = s->deferred;
  w->prev = &s->deferred;
  if (w->next)
    w->next->prev = &w->next;
  s->deferred = w;
  httpd_on_disconnect (req, on_deferred_gone, w);
}

void
srv_ingress_tick (struct srv *s, clk_ms now)
{
  while (s->deferred && !awaits_store (s, now))
    {
      struct httpd_req *req = s->deferred->req;
      clk_ms since = s->deferred->since;
      remove_deferred (s->deferred);
      admit (s, req, since);
    }
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  struct srv *s = ctx;
  clk_ms now = clk_now ();

  srv_check_pause (s, now);
  /* A 404 or 401 would be final, and which requests are allowed is not known
     without a configuration. */
  if (!s->active_config)
    srv_send_error (s, req, 503, "starting", START_RETRY_MS);
  else if (awaits_store (s, now))
    defer (s, req);
  else
    admit (s, req, now);
}

/** Such a request has not run; it is not sent to a server, and nobody reads a
    response. */
static void
on_left (void *ctx, struct httpd_req *req)
{
  struct srv *s = ctx;
  struct httpd_stats st = httpd_stats (s->client_listener);
  struct srv_request request = { 0 };
  size_t n;
  const struct http_header *h = httpd_headers (req, &n);

  s->adapter->parse_request (h, n, &request);
  srv_metrics_client_left (s);
  LOG (client_left_unread, LOG_S ("id", request.id),
       LOG_I ("connection_ms", httpd_connection_age (req)),
       LOG_I ("connections", st.connections), LOG_I ("idle", st.idle));
  free (request.shared_parts);
}

static void
on_full (void *ctx, bool full)
{
  struct srv *s = ctx;
  struct httpd_stats st = httpd_stats (s->client_listener);

  if (full)
    LOG (client_connections_full, LOG_I ("connections", st.connections),
         LOG_I ("idle", st.idle), LOG_I ("max", st.max));
  else
    LOG (client_connections_available, LOG_I ("connections", st.connections),
         LOG_I ("idle", st.idle), LOG_I ("max", st.max));
}

/* --- requests that are refused while they are received ------------------- */

static size_t
max_input (const struct srv *s)
{
  const struct tbl *t = s->active_config;
  double mb
      = s->settings.memory_mb > 0 ? s->settings.memory_mb : DEFAULT_MEMORY_MB;
  size_t part = (size_t)(mb * 1e6) / INPUT_PART;
  size_t largest = t ? t->limits.max_body + t->limits.max_header : 0;

  return part > largest ? part : largest;
}

void
srv_ingress_config_changed (struct srv *s)
{
  const struct tbl_limits *l = &s->active_config->limits;

  httpd_set_request_limits (
      s->client_listener, l->max_body ? l->max_body : BODY_MAX,
      l->max_header ? l->max_header + REQUEST_LINE_MAX : HEAD_MAX,
      l->header_ms);
  httpd_set_max_input (s->client_listener, max_input (s));
}

static struct rejection
refusal (const struct srv *s, int status)
{
  switch (status)
    {
    case 408:
      return (struct rejection){ 408, "request-timeout", 0 };
    case 413:
      return confirm_rejection (
          s, (struct rejection){ 413, "body-too-large", 0 });
    case 431:
      return confirm_rejection (
          s, (struct rejection){ 431, "head-too-large", 0 });
    case 503:
      return (struct rejection){ 503, "receiving-too-much", INPUT_RETRY_MS };
    default:
      return (struct rejection){ status, "bad-request", 0 };
    }
}

static void
log_refusal (struct srv *s, const struct rejection *why)
{
  clk_ms now = clk_now ();

  srv_metrics_request (s, "none", why->status, why->code, 0);
  s->refusals++;
  if (now < s->next_refusal_log_at)
    return;
  s->next_refusal_log_at = now + REFUSALS_LOG_MS;
  LOG (requests_refused_unread, LOG_I ("status", why->status),
       LOG_C ("code", why->code), LOG_I ("refused", (int64_t)s->refusals),
       LOG_I ("receiving_bytes",
              (int64_t)httpd_stats (s->client_listener).received),
       LOG_I ("max_bytes", (int64_t)max_input (s)));
}

static void
on_refused (void *ctx, int status, struct httpd_refusal *r)
{
  struct srv *s = ctx;
  struct rejection why = refusal (s, status);
  struct buf name = BUF_INIT, value = BUF_INIT, body = BUF_INIT;

  log_refusal (s, &why);
  httpd_refusal_status (r, why.status);
  if (why.retry_ms > 0)
    {
      s->adapter->format_retry_after (why.retry_ms, &name, &value);
      httpd_refusal_header (r, buf_str (&name), buf_str (&value));
    }
  buf_addf (&body, "{\"error\":\"%s\"}\n", why.code);
  httpd_refusal_json (r, buf_str (&body));
  buf_free (&name);
  buf_free (&value);
  buf_free (&body);
}

bool
srv_ingress_start (struct srv *s, struct buf *err)
{
  size_t fds = s->settings.max_fds;
  struct httpd_limits limits
      = { .max_body = BODY_MAX,
          .max_head = HEAD_MAX,
          .max_input = max_input (s),
          .max_connections = fds > 2 * FDS_RESERVED ? (fds - FDS_RESERVED) / 2
                                                    : FDS_RESERVED / 2,
          .request_ms = IDLE_MS,
          .refused = on_refused,
          .full = on_full,
          .left = on_left };

  s->client_listener = httpd_listen (&s->loop, &s->settings.front, &limits,
                                     on_request, s, err);
  return s->client_listener != NULL;
}
