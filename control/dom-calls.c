#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "control/domains.h"

/* A probe with a longer response has failed. */
#define MAX_STATE_BYTES ((size_t)16384)
#define MAX_LIST_BYTES ((size_t)(4 << 20))

struct dom_call *
dom_call_new (struct dom *d, enum dom_call_kind kind)
{
  struct dom_call *call = xcalloc (1, sizeof *call);

  call->dom = d;
  call->kind = kind;
  call->deadline = CLK_NEVER;
  call->next = d->calls;
  d->calls = call;
  return call;
}

void
dom_call_free (struct dom_call *call)
{
  struct dom_call **at = &call->dom->calls;

  while (*at != call)
    at = &(*at)->next;
  *at = call->next;
  buf_free (&call->vm);
  buf_free (&call->body);
  free (call);
}

void
dom_calls_cancel (struct dom *d)
{
  while (d->calls)
    {
      if (d->calls->http)
        httpc_cancel (d->calls->http);
      else
        store_forget (d->domains->c->store, d->calls);
      dom_call_free (d->calls);
    }
}

static void
on_head (void *ctx, int status, const struct http_header *headers, size_t n)
{
  struct dom_call *call = ctx;

  call->status = status;
  dom_avail_response (call, status, headers, n);
}

static void
on_body (void *ctx, struct str bytes)
{
  struct dom_call *call = ctx;

  if (call->body.len + bytes.len <= MAX_STATE_BYTES)
    buf_add (&call->body, bytes);
  else
    call->status = 0;
}

static struct json_object *
parse_limited (struct str text, size_t max_len)
{
  return text.len <= max_len ? jsn_parse (text) : NULL;
}

static bool
read_state (struct json_object *o, struct rep_member_state *out)
{
  int64_t load = jsn_int (o, "load");

  if (!json_object_is_type (o, json_type_object)
      || !json_object_is_type (jsn_get (o, "ready"), json_type_boolean))
    return false;
  *out = (struct rep_member_state){
    .replica = str_from (json_object_get_string (jsn_get (o, "replica"))),
    .generation = jsn_int (o, "generation"),
    .ready = json_object_get_boolean (jsn_get (o, "ready")),
    .unloaded = json_object_get_boolean (jsn_get (o, "unloaded")),
    .inflight_tokens = (uint32_t)(load < 0 ? 0 : load),
    .fence = jsn_int (o, "fence"),
  };
  return true;
}

static void
finish_probe (struct dom_call *call, bool answered)
{
  struct dom *d = call->dom;
  struct rep_event ev = { .kind = REP_PROBE_FAILED };
  struct json_object *o
      = answered && call->status == 200
            ? parse_limited (buf_str (&call->body), MAX_STATE_BYTES)
            : NULL;

  ev.vm = buf_str (&call->vm);
  if (o && read_state (o, &ev.member))
    ev.kind = REP_PROBED;
  rep_event (d->rep, clk_now (), &ev);
  json_object_put (o);
  dom_call_free (call);
}

static void
finish_order (struct dom_call *call, bool answered)
{
  struct dom *d = call->dom;
  struct rep_event ev = { .kind = REP_ORDER_RESPONSE, .token = call->token };

  ev.vm = buf_str (&call->vm);
  ev.on = answered && call->status == 200;
  if (answered && call->status == 409)
    LOG (order_refused, LOG_S ("domain", buf_str (&d->name)),
         LOG_S ("vm", ev.vm));
  rep_event (d->rep, clk_now (), &ev);
  dom_call_free (call);
}

static void
finish_call (struct dom_call *call, bool answered)
{
  struct dom *d = call->dom;

  if (call->kind == DCALL_PROBE)
    finish_probe (call, answered);
  else
    finish_order (call, answered);
  dom_run_actions (d);
}

static void
on_end (void *ctx, enum httpc_end end)
{
  finish_call (ctx, end == HTTPC_COMPLETE);
}

/* Checks the lease just before sending.  The order may have waited for its
   connection, and the process may have been suspended, so this reads the clock
   and not the loop's cached time. */
static bool
may_send_order (void *ctx)
{
  struct dom_call *call = ctx;
  struct dom *d = call->dom;
  bool allowed
      = own_may_order (d->own, clk_now ()) && dom_avail_may_send (call);

  met_add (allowed ? d->domains->orders : d->domains->stopped_orders, 1);
  return allowed;
}

/* The pause may have begun while the probe waited for its connection. */
static bool
may_send_probe (void *ctx)
{
  return dom_avail_may_send (ctx);
}

static void
start_call (struct dom_call *call, struct httpc_request *req,
            clk_ms timeout_ms)
{
  static const struct httpc_callbacks probe = { .on_connected = may_send_probe,
                                                .on_head = on_head,
                                                .on_body = on_body,
                                                .on_end = on_end };
  static const struct httpc_callbacks order = { .on_connected = may_send_order,
                                                .on_head = on_head,
                                                .on_body = on_body,
                                                .on_end = on_end };

  req->connect_ms = timeout_ms;
  req->progress_ms = timeout_ms;
  call->deadline = clk_now () + timeout_ms;
  call->server = avl_address_key (&req->to);
  call->http = httpc_start (call->dom->domains->c->http, req,
                            call->kind == DCALL_PROBE ? &probe : &order, call);
}

void
dom_probe (struct dom *d, const struct cfg_vm *vm)
{
  struct dom_call *call;
  struct httpc_request req = { .to = vm->addr,
                               .method = STR ("GET"),
                               .path = STR ("/lapis/v1/state") };

  if (dom_avail_is_paused (d, vm))
    return;
  call = dom_call_new (d, DCALL_PROBE);
  buf_add (&call->vm, vm->name);
  met_add (d->domains->probes, 1);
  start_call (call, &req, DOM_PROBE_TIMEOUT_MS);
}

static void
format_order (const struct rep_action *a, struct buf *out)
{
  buf_addf (out, "{\"order\":\"%s\",\"model\":",
            a->order == REP_LOAD ? "load" : "unload");
  buf_add_json (out, a->model);
  buf_add_c (out, ",\"replica\":");
  buf_add_json (out, a->replica);
  buf_addf (out,
            ",\"generation\":%lld,\"rank\":%u,\"world\":%u,\"fence\":%lld}",
            (long long)a->generation, a->rank, a->world, (long long)a->fence);
}

void
dom_order (struct dom *d, const struct rep_action *a)
{
  struct http_header type = { STR ("content-type"), STR ("application/json") };
  struct dom_call *call;
  struct buf body = BUF_INIT;
  struct httpc_request req = { .to = a->vm->addr,
                               .method = STR ("POST"),
                               .path = STR ("/lapis/v1/order"),
                               .headers = &type,
                               .nheaders = 1,
                               .fresh = true };

  /* The order is repeated until the VM reports the state that it asks for. */
  if (dom_avail_is_paused (d, a->vm))
    return;
  call = dom_call_new (d, DCALL_ORDER);
  format_order (a, &body);
  req.body = buf_str (&body);
  buf_add (&call->vm, a->vm->name);
  call->token = a->token;
  LOG (order_given, LOG_S ("domain", buf_str (&d->name)),
       LOG_S ("vm", a->vm->name),
       LOG_C ("order", a->order == REP_LOAD ? "load" : "unload"),
       LOG_S ("replica", a->replica), LOG_I ("generation", a->generation),
       LOG_I ("fence", a->fence));
  start_call (call, &req, DOM_ORDER_TIMEOUT_MS);
  buf_free (&body);
}

void
dom_calls_tick (struct dom *d, clk_ms now)
{
  struct dom_call *call = d->calls;

  while (call)
    if (call->http && now >= call->deadline)
      {
        httpc_cancel (call->http);
        call->http = NULL;
        finish_call (call, false);
        /* finish_call() may have freed or started other calls. */
        call = d->calls;
      }
    else
      call = call->next;
}

/* ---- the platform's list of VMs ---- */

static void
set_vm_listed (struct ctl_domains *domains, struct str vm, bool in_service)
{
  struct rep_event ev = { .kind = REP_VM_LISTED, .vm = vm, .on = in_service };

  for (size_t i = 0; i < domains->n; i++)
    if (domains->list[i]->rep)
      rep_event (domains->list[i]->rep, clk_now (), &ev);
}

bool
dom_list_contains (const GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    if (strcmp (names->pdata[i], name) == 0)
      return true;
  return false;
}

static bool
is_backend (const struct cfg *cfg, const char *name)
{
  for (size_t i = 0; cfg && i < cfg->nservices; i++)
    for (size_t k = 0; k < cfg->services[i].nbackends; k++)
      if (str_is (cfg->services[i].backends[k].name, name))
        return true;
  return false;
}

static bool
same_names (const GPtrArray *a, const GPtrArray *b)
{
  bool same = a->len == b->len;

  for (guint i = 0; same && i < a->len; i++)
    same = dom_list_contains (b, a->pdata[i]);
  return same;
}

/* A plain service has no owner that could drain a leaving backend server, so
   the list is sent to all gateways, which send it no new requests. */
static void
set_leaving (struct ctl_domains *domains, GPtrArray *names)
{
  bool changed = !same_names (names, domains->leaving);

  g_ptr_array_free (domains->leaving, TRUE);
  domains->leaving = names;
  if (!changed)
    return;
  for (size_t i = 0; i < domains->n; i++)
    domains->list[i]->changed = true;
  ctl_evidence_changed (domains->c);
}

static void
apply_list (struct ctl_domains *domains, struct json_object *list)
{
  GPtrArray *leaving;

  if (!json_object_is_type (list, json_type_array))
    return;
  leaving = g_ptr_array_new_with_free_func (free);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      struct json_object *vm = json_object_array_get_idx (list, i);
      const char *name = json_object_get_string (jsn_get (vm, "name"));
      const char *state = json_object_get_string (jsn_get (vm, "state"));

      if (!name || !state)
        continue;
      set_vm_listed (domains, str_from (name),
                     strcmp (state, "leaving") != 0
                         && !dom_avail_is_leaving (domains, str_from (name)));
      if (strcmp (state, "leaving") == 0 && is_backend (domains->cfg, name)
          && !dom_list_contains (leaving, name))
        g_ptr_array_add (leaving, xstrdup (name));
    }
  set_leaving (domains, leaving);
}

static void
on_platform_head (void *ctx, int status, const struct http_header *headers,
                  size_t n)
{
  ((struct ctl_domains *)ctx)->platform_status = status;
}

static void
on_platform_body (void *ctx, struct str bytes)
{
  struct ctl_domains *domains = ctx;

  if (domains->platform_body.len <= MAX_LIST_BYTES)
    buf_add (&domains->platform_body, bytes);
}

/* The list lags behind in any case and its server may be down, so a failed
   read keeps the last result. */
static void
on_platform_end (void *ctx, enum httpc_end end)
{
  struct ctl_domains *domains = ctx;
  struct json_object *list
      = end == HTTPC_COMPLETE && domains->platform_status == 200
            ? parse_limited (buf_str (&domains->platform_body), MAX_LIST_BYTES)
            : NULL;

  domains->platform = NULL;
  apply_list (domains, list);
  json_object_put (list);
}

/* Only homes read the list, or every node if no domain is configured. */
static bool
should_read_list (const struct ctl_domains *domains)
{
  for (size_t i = 0; i < domains->n; i++)
    if (domains->list[i]->rep)
      return true;
  return domains->n == 0 && domains->cfg && domains->cfg->nservices > 0;
}

void
dom_platform_tick (struct ctl_domains *domains, clk_ms now)
{
  static const struct httpc_callbacks cb = { .on_head = on_platform_head,
                                             .on_body = on_platform_body,
                                             .on_end = on_platform_end };
  struct httpc_request req = { .to = domains->c->set.platform,
                               .method = STR ("GET"),
                               .path = STR ("/platform/v1/vms"),
                               .connect_ms = DOM_PROBE_TIMEOUT_MS,
                               .progress_ms = DOM_PROBE_TIMEOUT_MS };

  if (domains->platform && now >= domains->platform_deadline)
    {
      httpc_cancel (domains->platform);
      domains->platform = NULL;
    }
  if (!req.to.port || domains->platform || now < domains->next_platform_read)
    return;
  if (!should_read_list (domains))
    {
      /* This node is no longer a home, so its copy is out of date. */
      if (domains->leaving->len)
        set_leaving (domains, g_ptr_array_new_with_free_func (free));
      return;
    }
  domains->next_platform_read = now + DOM_PLATFORM_INTERVAL_MS;
  domains->platform_deadline = now + 2 * DOM_PLATFORM_INTERVAL_MS;
  domains->platform_status = 0;
  buf_clear (&domains->platform_body);
  domains->platform = httpc_start (domains->c->http, &req, &cb, domains);
}

void
dom_platform_stop (struct ctl_domains *domains)
{
  if (domains->platform)
    httpc_cancel (domains->platform);
  domains->platform = NULL;
  buf_free (&domains->platform_body);
}
