#include <stdlib.h>
#include <string.h>

#include "front/callers.h"

/** Interval of the check for attempts that have timed out. */
#define SWEEP_MS ((clk_ms)100)
/** A wake-up that is later than this is deferred once. */
#define LATE_WAKEUP_MS ((clk_ms)100)

/* ---- exchanges by id ---- */

/* The high half of an id is a serial number, the low half the slot, so that a
   late event of an ended request never matches the request that reuses its
   slot. */

struct gw_exchange *
gw_callers_find (struct gw_callers *c, uint64_t id)
{
  size_t slot = (uint32_t)id;
  struct gw_exchange *ex = slot < c->nslots ? c->slots[slot] : NULL;

  return ex != NULL && ex->id == id ? ex : NULL;
}

static size_t
free_slot (struct gw_callers *c)
{
  size_t first = c->serial % (c->nslots ? c->nslots : 1);

  for (size_t i = 0; c->open < c->nslots && i < c->nslots; i++)
    {
      size_t slot = (first + i) % c->nslots;
      if (c->slots[slot] == NULL)
        return slot;
    }
  size_t slot = c->nslots;
  c->nslots = c->nslots ? 2 * c->nslots : 64;
  c->slots = xrealloc (c->slots, c->nslots * sizeof (struct gw_exchange *));
  memset (c->slots + slot, 0,
          (c->nslots - slot) * sizeof (struct gw_exchange *));
  return slot;
}

void
gw_callers_add (struct gw_callers *c, struct gw_exchange *ex)
{
  size_t slot = free_slot (c);

  ex->id = (uint64_t)++c->serial << 32 | slot;
  c->slots[slot] = ex;
  ex->next = c->list;
  if (c->list != NULL)
    c->list->prev = ex;
  c->list = ex;
  met_set (c->m_open, (double)++c->open);
}

void
gw_callers_remove (struct gw_callers *c, struct gw_exchange *ex)
{
  c->slots[(uint32_t)ex->id] = NULL;
  if (ex->prev != NULL)
    ex->prev->next = ex->next;
  else
    c->list = ex->next;
  if (ex->next != NULL)
    ex->next->prev = ex->prev;
  met_set (c->m_open, (double)--c->open);
}

/* ---- the request core ---- */

static void on_wake (uv_timer_t *t);

static void
arm_wakeup (struct gw_callers *c)
{
  clk_ms at = rt_wake (c->rt), now;

  if (at == c->wake_at)
    return;
  c->wake_at = at;
  if (at == CLK_NEVER)
    {
      uv_timer_stop (&c->wake);
      return;
    }
  now = clk_now ();
  uv_update_time (c->g->loop);
  uv_timer_start (&c->wake, on_wake, at > now ? (uint64_t)(at - now) : 0, 0);
}

static void
run_actions (struct gw_callers *c)
{
  struct rt_action a;

  /* An action may cause an event immediately; the outer loop executes the
     actions of that event. */
  if (c->running_actions)
    return;
  c->running_actions = true;
  while (rt_next (c->rt, &a))
    {
      struct gw_exchange *ex = gw_callers_find (c, a.id);
      if (ex != NULL)
        gw_exchange_act (ex, &a);
    }
  c->running_actions = false;
  arm_wakeup (c);
}

void
gw_callers_event (struct gw_callers *c, const struct rt_event *ev)
{
  clk_ms now = clk_now ();

  gw_recorder_event (c->recorder, now, ev);
  rt_event (c->rt, now, ev);
  run_actions (c);
}

static void
tick_core (struct gw_callers *c)
{
  struct rt_event tick = { .kind = RT_EV_TICK };

  c->wake_at = CLK_NEVER;
  gw_callers_event (c, &tick);
}

/** The data that arrived while the process was paused has been read, so the
    deferred wake-up is processed now, even if it is late again.  A gateway
    that is short of CPU time thus still ends requests by their deadlines. */
static void
on_sockets_read (uv_check_t *check)
{
  struct gw_callers *c = check->data;

  uv_check_stop (check);
  c->deferred_wakeup = false;
  tick_core (c);
}

/** A wake-up later than LATE_WAKEUP_MS means that the process was paused.  The
    event loop runs timers before it reads sockets, so data that arrived during
    the pause is still unread; the wake-up is deferred until it has been read.
    The 1 ms timer keeps the loop from blocking in its poll for sockets. */
static void
on_wake (uv_timer_t *t)
{
  struct gw_callers *c = t->data;

  if (!c->deferred_wakeup && clk_now () - c->wake_at <= LATE_WAKEUP_MS)
    {
      tick_core (c);
      return;
    }
  c->deferred_wakeup = true;
  uv_check_start (&c->after_read, on_sockets_read);
  uv_timer_start (&c->wake, on_wake, 1, 0);
}

/**
 * Checks all attempts for timeouts, in place of a timer per attempt.  After a
 * pause of the whole process every attempt would appear to have timed out
 * although its bytes are in the kernel's socket buffers.  A late round is
 * therefore skipped; the pending reads update the attempts before the next.
 */
static void
on_sweep (uv_timer_t *t)
{
  struct gw_callers *c = t->data;
  clk_ms now = clk_now ();
  bool late = now - c->last_sweep > 5 * SWEEP_MS;

  c->last_sweep = now;
  for (struct gw_exchange *ex = c->list, *next; !late && ex != NULL; ex = next)
    {
      next = ex->next;
      gw_exchange_tick (ex, now);
    }
}

/* ---- paths ---- */

static void
refuse_unknown_key (struct gw_callers *c, struct httpd_req *req)
{
  struct gw_error e = { .status = 401,
                        .code = "unauthorized",
                        .message = "no known bearer key" };

  gw_check_config_recent (c->g, &e);
  gw_refuse (c->g, req, &e);
}

static void
refuse (struct gw_callers *c, struct httpd_req *req, int status,
        const char *code, const char *message)
{
  struct gw_error e = { .status = status,
                        .code = code,
                        .message = message,
                        .retry_ms = status == 503 ? CLK_SECOND : 0 };
  gw_refuse (c->g, req, &e);
}

/** Whether @p path accepts the request's method; refuses the request if not.
 */
static bool
check_method (struct gw_callers *c, enum gw_path path, struct httpd_req *req)
{
  struct str method = httpd_get (req)->method;
  const char *methods = gw_path_methods (path);
  struct gw_error e = { .status = 405,
                        .code = "method-not-allowed",
                        .message = "this path does not take that method",
                        .allow = methods };

  if (methods == NULL)
    return true;
  if (path == GW_PATH_COMPLETION
          ? str_is (method, "POST")
          : str_is (method, "GET") || str_is (method, "HEAD"))
    return true;
  gw_refuse (c->g, req, &e);
  return false;
}

/** Number of requests that have not been sent to a backend server yet. */
static size_t
count_waiting (struct gw_callers *c)
{
  size_t n, open = rt_open_requests (c->rt), busy = 0;
  const struct rt_server_stats *t = rt_get_server_stats (c->rt, &n);

  for (size_t i = 0; i < n; i++)
    busy += t[i].in_flight;
  return open > busy ? open - busy : 0;
}

static void
answer_metrics (struct gw_callers *c, struct httpd_req *req)
{
  struct http_header type
      = { STR ("content-type"), STR ("text/plain; version=0.0.4") };
  struct buf text = BUF_INIT;

  met_set (c->m_waiting, (double)count_waiting (c));
  gw_notice_metrics (c);
  met_expose (c->g->met, &text);
  httpd_answer (req, 200, &type, 1, buf_str (&text));
  buf_free (&text);
}

static void
answer_models (struct gw_callers *c, const struct cfg_account *account,
               struct httpd_req *req)
{
  const struct cfg *cfg = c->g->cfg;
  struct buf b = BUF_INIT;
  const char *comma = "";

  buf_add_c (&b, "{\"object\":\"list\",\"data\":[");
  for (size_t i = 0; i < cfg->nmodels; i++)
    if (cfg->models[i].mode != CFG_OBSERVE
        && cfg_account_may (account, cfg->models[i].name))
      {
        buf_addf (&b, "%s{\"id\":", comma);
        buf_add_json (&b, cfg->models[i].name);
        buf_add_c (&b, ",\"object\":\"model\",\"owned_by\":\"lapisline\"}");
        comma = ",";
      }
  buf_add_c (&b, "]}\n");
  gw_answer_json (c->g, req, buf_str (&b));
  buf_free (&b);
}

static void
start_exchange (struct gw_callers *c, const struct cfg_account *account,
                struct httpd_req *req)
{
  struct gw_refusal why;
  struct gw_call call;
  clk_ms now = clk_now ();

  if (c->open >= c->g->cfg->limits.max_streams)
    {
      refuse (c, req, 503, "too-many-streams", "this node has no room; retry");
      return;
    }
  if (!gw_parse (c->g, c->g->cfg, account, req, now, &call, &why))
    {
      refuse (c, req, why.status, why.code, why.message);
      return;
    }
  if (gw_poison_refuse (c->g->poison, &call.poison_ids, req))
    {
      gw_call_free (&call);
      return;
    }
  struct gw_exchange *ex = gw_exchange_new (c, req, &call, now);
  struct rt_event ev
      = { .kind = RT_EV_ARRIVE, .id = ex->id, .request = &ex->call.req };
  gw_callers_event (c, &ev);
}

static void
dispatch_authenticated (struct gw_callers *c, enum gw_path path,
                        struct httpd_req *req)
{
  const struct cfg_account *account;

  if (c->g->cfg == NULL)
    {
      refuse (c, req, 503, "no-configuration",
              "this node has no configuration yet");
      return;
    }
  account = gw_auth (c->g->cfg, req);
  if (account == NULL)
    refuse_unknown_key (c, req);
  else if (!check_method (c, path, req))
    return;
  else if (path == GW_PATH_MODELS)
    answer_models (c, account, req);
  else if (path == GW_PATH_ADDRESS)
    gw_address (c->g, account, req);
  else
    start_exchange (c, account, req);
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  struct gw_callers *c = ctx;
  enum gw_path path = gw_path_of (httpd_get (req)->path);

  if (path == GW_PATH_NONE)
    refuse (c, req, 404, "not-found", "no such path");
  else if (path != GW_PATH_HEALTH && path != GW_PATH_METRICS)
    dispatch_authenticated (c, path, req);
  else if (!check_method (c, path, req))
    return;
  else if (path == GW_PATH_HEALTH)
    gw_answer_json (c->g, req, STR ("{\"ok\":true}\n"));
  else
    answer_metrics (c, req);
}

/* ---- startup and shutdown ---- */

static void
start_metrics (struct gw_callers *c)
{
  struct met_reg *m = c->g->met;

  c->m_open = met_gauge (m, "lapisline_open_requests",
                         "Requests that have not ended.", NULL);
  c->m_waiting = met_gauge (m, "lapisline_waiting_requests",
                            "Requests that wait for a backend server.", NULL);
  c->m_paused
      = met_gauge (m, "lapisline_backends_paused",
                   "Backend servers that have asked this gateway to send "
                   "nothing for a while.",
                   NULL);
  c->m_leaving = met_gauge (
      m, "lapisline_backends_leaving",
      "Backend servers that have announced that they shut down.", NULL);
  c->m_sent_paused
      = met_gauge (m, "lapisline_sent_paused",
                   "Requests sent to backend servers in a pause.", NULL);
  c->m_left_unread
      = met_counter (m, "lapisline_callers_left_unread_total",
                     "Requests whose callers had disconnected before the "
                     "request was read.",
                     NULL);
  c->m_first_byte
      = met_histogram (m, "lapisline_first_byte_ms",
                       "From a request to its answer's first byte.", NULL);
  c->m_latency = met_histogram (m, "lapisline_request_ms",
                                "From a request to its answer's end.", NULL);
}

static void
start_timers (struct gw_callers *c)
{
  uv_timer_init (c->g->loop, &c->wake);
  c->wake.data = c;
  c->wake_at = CLK_NEVER;
  uv_check_init (c->g->loop, &c->after_read);
  c->after_read.data = c;
  uv_timer_init (c->g->loop, &c->sweep);
  c->sweep.data = c;
  c->last_sweep = clk_now ();
  uv_timer_start (&c->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
}

static bool
start_recorder (struct gw_callers *c, const struct rt_options *opt,
                uint64_t seed, struct buf *err)
{
  struct rec_header head = { .options = *opt, .seed = seed };

  c->recorder = gw_recorder_start (c->g->loop, &head);
  if (c->recorder == NULL)
    buf_add_c (err, "--record needs a pipe or a terminal as standard output");
  return c->recorder != NULL;
}

/** Completes a refusal that the HTTP server generates without on_request(). */
static void
on_refused (void *ctx, int status, struct httpd_refusal *r)
{
  struct gw_callers *c = ctx;

  gw_fill_refusal (c->g, status, r);
}

/** The request isn't run, and its caller reads no response. */
static void
on_left (void *ctx, struct httpd_req *req)
{
  struct gw_callers *c = ctx;

  met_add (c->m_left_unread, 1);
  LOG (caller_left_unread, LOG_S ("path", httpd_get (req)->path),
       LOG_I ("connection_ms", httpd_connection_age (req)),
       LOG_I ("connections", httpd_stats (c->httpd).connections));
}

struct gw_callers *
gw_callers_start (struct gw *g, struct buf *err)
{
  struct httpd_limits limits = { .max_body = GW_HARD_MAX_BODY,
                                 .max_connections = GW_MAX_CONNECTIONS,
                                 .request_ms = 10 * CLK_SECOND,
                                 .refused = on_refused,
                                 .left = on_left };
  struct rt_options opt
      = { .zone = str_from (g->set.zone), .node = str_from (g->set.node) };
  struct gw_callers *c = xcalloc (1, sizeof *c);
  uint64_t seed;

  opt.nodes = 1;
  c->g = g;
  c->httpd = httpd_listen (g->loop, &g->set.gateway_http, &limits, on_request,
                           c, err);
  if (c->httpd == NULL)
    {
      free (c);
      return NULL;
    }
  seed = rng_next (&g->rng);
  c->rt = rt_new (&opt, seed);
  if (g->record && !start_recorder (c, &opt, seed, err))
    return NULL;
  start_metrics (c);
  start_timers (c);
  return c;
}

uint16_t
gw_callers_port (const struct gw_callers *c)
{
  return httpd_port (c->httpd);
}

size_t
gw_callers_open (const struct gw_callers *c)
{
  size_t open = httpd_open (c->httpd);

  /* A request with an idempotency key may continue after its caller has
     disconnected. */
  return c->open > open ? c->open : open;
}

void
gw_callers_refuse (struct gw_callers *c, bool on)
{
  struct rt_event ev = { .kind = RT_EV_LEAVING, .on = on };

  gw_callers_event (c, &ev);
}

void
gw_callers_close_port (struct gw_callers *c)
{
  httpd_stop_accepting (c->httpd);
}

void
gw_callers_config (struct gw_callers *c)
{
  struct rt_event ev = { .kind = RT_EV_CONFIG, .cfg = c->g->cfg };

  httpd_set_max_connections (c->httpd, c->g->cfg->limits.max_connections);
  gw_callers_event (c, &ev);
}

void
gw_callers_replicas (struct gw_callers *c, const struct rt_replica *list,
                     size_t n)
{
  struct rt_event ev = { .kind = RT_EV_REPLICAS, .replicas = list, .n = n };

  gw_poison_replicas (c->g->poison, list, n);
  gw_callers_event (c, &ev);
}

void
gw_callers_home_event (struct gw_callers *c, const struct rt_event *ev)
{
  gw_callers_event (c, ev);
}

void
gw_callers_backend_shutdown (struct gw_callers *c, struct str backend, bool on)
{
  struct rt_event ev
      = { .kind = RT_EV_BACKEND_DOWN, .name = backend, .on = on };

  gw_callers_event (c, &ev);
}

void
gw_callers_set_share (struct gw_callers *c, const struct gw_share *share)
{
  struct rt_event ev = { .kind = RT_EV_SHARE,
                         .name = share->account,
                         .tokens_per_s = share->tokens_per_s,
                         .concurrency = share->concurrency,
                         .valid_ms = share->valid_ms };

  gw_callers_event (c, &ev);
}

void
gw_callers_nodes (struct gw_callers *c, size_t gateways)
{
  struct rt_event ev = { .kind = RT_EV_NODES, .size = gateways };

  if (c->gateways == gateways)
    return;
  c->gateways = gateways;
  gw_callers_event (c, &ev);
}

struct rt *
gw_callers_core (struct gw_callers *c)
{
  return c->rt;
}

void
gw_callers_stop (struct gw_callers *c)
{
  uv_close ((uv_handle_t *)&c->wake, NULL);
  uv_close ((uv_handle_t *)&c->after_read, NULL);
  uv_close ((uv_handle_t *)&c->sweep, NULL);
  httpd_free (c->httpd);
  /* The handles close in the loop's next iteration; c is freed when the
     process exits. */
  rt_free (c->rt);
}
