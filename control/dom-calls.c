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
        store_forget (d->all->c->store, d->calls);
      dom_call_free (d->calls);
    }
}

static void
on_head (void *ctx, int status, const struct http_header *headers, size_t n)
{
  ((struct dom_call *)ctx)->status = status;
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
parse (struct str text, size_t most)
{
  return text.len <= most ? jsn_parse (text) : NULL;
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
    .load = (uint32_t)(load < 0 ? 0 : load),
    .fence = jsn_int (o, "fence"),
  };
  return true;
}

static void
end_probe (struct dom_call *call, bool answered)
{
  struct dom *d = call->dom;
  struct rep_event ev = { .kind = REP_PROBE_FAILED };
  struct json_object *o = answered && call->status == 200
                              ? parse (buf_str (&call->body), MAX_STATE_BYTES)
                              : NULL;

  ev.vm = buf_str (&call->vm);
  if (o && read_state (o, &ev.member))
    ev.kind = REP_PROBED;
  rep_event (d->rep, clk_now (), &ev);
  json_object_put (o);
  dom_call_free (call);
}

static void
end_order (struct dom_call *call, bool answered)
{
  struct dom *d = call->dom;
  struct rep_event ev = { .kind = REP_ORDER_DONE, .token = call->token };

  ev.vm = buf_str (&call->vm);
  ev.on = answered && call->status == 200;
  if (answered && call->status == 409)
    LOG (order_refused, LOG_S ("domain", buf_str (&d->name)),
         LOG_S ("vm", ev.vm));
  rep_event (d->rep, clk_now (), &ev);
  dom_call_free (call);
}

static void
end_call (struct dom_call *call, bool answered)
{
  struct dom *d = call->dom;

  if (call->kind == DCALL_PROBE)
    end_probe (call, answered);
  else
    end_order (call, answered);
  dom_pump (d);
}

static void
on_end (void *ctx, enum httpc_end end)
{
  end_call (ctx, end == HTTPC_WHOLE);
}

/* Checks the lease just before the order is sent.  The order may have waited
   for its connection, and the process may have been suspended meanwhile, so
   this reads the clock and doesn't use the loop's cached time. */
static bool
may_send_order (void *ctx)
{
  struct dom_call *call = ctx;
  struct dom *d = call->dom;
  bool may = own_may_order (d->own, clk_now ());

  met_add (may ? d->all->orders : d->all->stopped_orders, 1);
  return may;
}

static void
start (struct dom_call *call, struct httpc_request *req, clk_ms longest)
{
  static const struct httpc_callbacks probe
      = { .on_head = on_head, .on_body = on_body, .on_end = on_end };
  static const struct httpc_callbacks order = { .on_connected = may_send_order,
                                                .on_head = on_head,
                                                .on_body = on_body,
                                                .on_end = on_end };

  req->connect_ms = longest;
  req->progress_ms = longest;
  call->deadline = clk_now () + longest;
  call->http = httpc_start (call->dom->all->c->http, req,
                            call->kind == DCALL_PROBE ? &probe : &order, call);
}

void
dom_probe (struct dom *d, const struct cfg_vm *vm)
{
  struct dom_call *call = dom_call_new (d, DCALL_PROBE);
  struct httpc_request req = { .to = vm->addr,
                               .method = STR ("GET"),
                               .path = STR ("/lapis/v1/state") };

  buf_add (&call->vm, vm->name);
  met_add (d->all->probes, 1);
  start (call, &req, DOM_PROBE_MS);
}

static void
print_order (const struct rep_action *a, struct buf *out)
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
  struct dom_call *call = dom_call_new (d, DCALL_ORDER);
  struct buf body = BUF_INIT;
  struct httpc_request req = { .to = a->vm->addr,
                               .method = STR ("POST"),
                               .path = STR ("/lapis/v1/order"),
                               .headers = &type,
                               .nheaders = 1,
                               .fresh = true };

  print_order (a, &body);
  req.body = buf_str (&body);
  buf_add (&call->vm, a->vm->name);
  call->token = a->token;
  LOG (order_given, LOG_S ("domain", buf_str (&d->name)),
       LOG_S ("vm", a->vm->name),
       LOG_C ("order", a->order == REP_LOAD ? "load" : "unload"),
       LOG_S ("replica", a->replica), LOG_I ("generation", a->generation),
       LOG_I ("fence", a->fence));
  start (call, &req, DOM_ORDER_MS);
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
        end_call (call, false);
        /* end_call() may have freed or started other calls. */
        call = d->calls;
      }
    else
      call = call->next;
}

/* ---- the platform's list of VMs ---- */

static void
tell_vm (struct ctl_domains *all, struct str vm, bool live)
{
  struct rep_event ev = { .kind = REP_PLATFORM, .vm = vm, .on = live };

  for (size_t i = 0; i < all->n; i++)
    if (all->list[i]->rep)
      rep_event (all->list[i]->rep, clk_now (), &ev);
}

bool
dom_named (const GPtrArray *names, const char *name)
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
    same = dom_named (b, a->pdata[i]);
  return same;
}

/* A plain service has no owner that could drain its backend server.  Its leave
   is therefore reported to every gateway, which then sends it no new
   requests. */
static void
set_leaving (struct ctl_domains *all, GPtrArray *names)
{
  bool changed = !same_names (names, all->leaving);

  g_ptr_array_free (all->leaving, TRUE);
  all->leaving = names;
  if (!changed)
    return;
  for (size_t i = 0; i < all->n; i++)
    all->list[i]->changed = true;
  ctl_evidence_changed (all->c);
}

static void
read_list (struct ctl_domains *all, struct json_object *list)
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
      tell_vm (all, str_from (name), strcmp (state, "leaving") != 0);
      if (strcmp (state, "leaving") == 0 && is_backend (all->cfg, name)
          && !dom_named (leaving, name))
        g_ptr_array_add (leaving, xstrdup (name));
    }
  set_leaving (all, leaving);
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
  struct ctl_domains *all = ctx;

  if (all->platform_body.len <= MAX_LIST_BYTES)
    buf_add (&all->platform_body, bytes);
}

/* The list is out of date anyway and its server may be down, so a failed read
   keeps the last result. */
static void
on_platform_end (void *ctx, enum httpc_end end)
{
  struct ctl_domains *all = ctx;
  struct json_object *list
      = end == HTTPC_WHOLE && all->platform_status == 200
            ? parse (buf_str (&all->platform_body), MAX_LIST_BYTES)
            : NULL;

  all->platform = NULL;
  read_list (all, list);
  json_object_put (list);
}

/* Only homes read the list, or every node if no domain is configured. */
static bool
reads_list (const struct ctl_domains *all)
{
  for (size_t i = 0; i < all->n; i++)
    if (all->list[i]->rep)
      return true;
  return all->n == 0 && all->cfg && all->cfg->nservices > 0;
}

void
dom_platform_tick (struct ctl_domains *all, clk_ms now)
{
  static const struct httpc_callbacks cb = { .on_head = on_platform_head,
                                             .on_body = on_platform_body,
                                             .on_end = on_platform_end };
  struct httpc_request req = { .to = all->c->set.platform,
                               .method = STR ("GET"),
                               .path = STR ("/platform/v1/vms"),
                               .connect_ms = DOM_PROBE_MS,
                               .progress_ms = DOM_PROBE_MS };

  if (all->platform && now >= all->platform_deadline)
    {
      httpc_cancel (all->platform);
      all->platform = NULL;
    }
  if (!req.to.port || all->platform || now < all->next_platform)
    return;
  if (!reads_list (all))
    {
      /* No longer a home: the list read here is out of date. */
      if (all->leaving->len)
        set_leaving (all, g_ptr_array_new_with_free_func (free));
      return;
    }
  all->next_platform = now + DOM_PLATFORM_MS;
  all->platform_deadline = now + 2 * DOM_PLATFORM_MS;
  all->platform_status = 0;
  buf_clear (&all->platform_body);
  all->platform = httpc_start (all->c->http, &req, &cb, all);
}

void
dom_platform_stop (struct ctl_domains *all)
{
  if (all->platform)
    httpc_cancel (all->platform);
  all->platform = NULL;
  buf_free (&all->platform_body);
}
