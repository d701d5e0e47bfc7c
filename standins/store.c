/*
 * Stand-in for the JSON gateway of etcd v3 with its size limits.  The service
 * port also serves /control/...; a separate control port stays open while the
 * service is down.  POST /control/set injects faults:
 *
 *   "down": true, "mode": "refuse" (the port is closed), "silent" (requests
 *       are read and never answered) or "error" (rejected, not applied)
 *   "delay_ms": N          delay before applying a request
 *   "answer_delay_ms": N   delay between applying and answering
 *   "lose_answer_next": N  apply the next N writes, close without an answer
 *   "lose_read_next": N    close the next N reads without an answer
 *   "fail_write": CODE     apply writes and return this error; 0: off
 *   "drop_watches": true   break the connections of all watches
 *   "silence_watches": B   keep watches open without sending events
 *   "lapse_lease": ID      expire this lease; "all": every lease
 *   "compact": true        discard the history
 *   "clear": true          reset all faults
 *
 * GET /control/counts returns the number of calls by kind, GET /control/dump
 * the keys and leases.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/standin.h"
#include "standins/store-int.h"

#define TICK_MS 20

/* A request not yet applied or not yet answered. */
struct delayed_request
{
  uv_timer_t timer;
  struct etcd_server *s;
  struct httpd_req *req; /* NULL after the client disconnected */
  char *path;
  struct buf body;
  struct buf answer;
  int status;
  bool drop_answer;
  unsigned outages; /* server.outages on arrival */
};

/* --- requests and their delays ----------------------------------------- */

static void
on_delayed_closed (uv_handle_t *h)
{
  struct delayed_request *p = h->data;

  free (p->path);
  buf_free (&p->body);
  buf_free (&p->answer);
  free (p);
}

static void
delayed_close (struct delayed_request *p)
{
  uv_close ((uv_handle_t *)&p->timer, on_delayed_closed);
}

static void
on_delayed_disconnect (void *ctx)
{
  struct delayed_request *p = ctx;

  p->req = NULL; /* the write is still applied */
}

static void
send_answer (struct delayed_request *p)
{
  struct http_header type = { STR ("content-type"), STR ("application/json") };

  /* The connection is closed if the service port was closed meanwhile. */
  if (p->req == NULL || p->outages != p->s->outages)
    return;
  if (p->drop_answer)
    {
      httpd_begin (p->req, 200, NULL, 0);
      httpd_end (p->req, false);
      return;
    }
  httpd_answer (p->req, p->status, &type, 1, buf_str (&p->answer));
}

static void
on_answer_time (uv_timer_t *t)
{
  struct delayed_request *p = t->data;

  send_answer (p);
  delayed_close (p);
}

static void
on_apply_time (uv_timer_t *t)
{
  struct delayed_request *p = t->data;
  struct etcd_server *s = p->s;
  const struct call *c = store_find_call (p->path);
  json_object *o = json_tokener_parse (buf_c (&p->body));

  kv_expire (&s->kv, clk_now ());
  *(unsigned *)((char *)&s->counts + c->counter) += 1;
  if (p->body.len > MAX_REQUEST)
    p->status = store_error (&p->answer, 400, ETCD_INVALID_ARGUMENT,
                             "request is too large");
  else if (o == NULL)
    p->status
        = store_error (&p->answer, 400, ETCD_INVALID_ARGUMENT, "no JSON");
  else
    p->status = c->run (s, o, &p->answer);
  json_object_put (o);
  int *remaining = c->write ? &s->lose_next_writes : &s->lose_next_reads;
  if (*remaining > 0)
    {
      --*remaining;
      s->counts.lost++;
      p->drop_answer = true;
    }
  if (c->write && s->fail_write > 0)
    p->status = store_error (&p->answer, 503, s->fail_write, "stand-in fails");
  store_notify_watches (s);
  if (s->answer_delay_ms > 0)
    uv_timer_start (t, on_answer_time, (uint64_t)s->answer_delay_ms, 0);
  else
    on_answer_time (t);
}

static void
accept_call (struct etcd_server *s, struct httpd_req *req, const char *path)
{
  struct delayed_request *p = xcalloc (1, sizeof *p);

  p->s = s;
  p->req = req;
  p->outages = s->outages;
  p->path = xstrdup (path);
  buf_add (&p->body, httpd_get (req)->body);
  uv_timer_init (&s->loop, &p->timer);
  p->timer.data = p;
  if (s->delay_ms <= 0 && s->answer_delay_ms <= 0)
    {
      on_apply_time (&p->timer);
      return;
    }
  httpd_on_disconnect (req, on_delayed_disconnect, p);
  uv_timer_start (&p->timer, on_apply_time, (uint64_t)s->delay_ms, 0);
}

static void
accept_watch (struct etcd_server *s, struct httpd_req *req)
{
  char *text = str_dup (httpd_get (req)->body);
  json_object *o = json_tokener_parse (text);

  free (text);
  if (o == NULL)
    httpd_answer (req, 400, NULL, 0, STR ("no JSON\n"));
  else
    store_watch_open (s, req, o);
  json_object_put (o);
}

static void
ignore_disconnect (void *ctx)
{
}

static void
handle_api (struct etcd_server *s, struct httpd_req *req)
{
  struct buf out = BUF_INIT;
  char *path = str_dup (httpd_get (req)->path);

  if (s->down != UP)
    s->counts.refused++;
  if (s->down == DOWN_ERROR)
    {
      store_error (&out, 429, ETCD_RESOURCE_EXHAUSTED, "stand-in is down");
      httpd_answer (req, 429, NULL, 0, buf_str (&out));
    }
  else if (s->down != UP)
    httpd_on_disconnect (req, ignore_disconnect, NULL); /* never answered */
  else if (strcmp (path, "/v3/watch") == 0)
    accept_watch (s, req);
  else if (store_find_call (path) != NULL)
    accept_call (s, req, path);
  else
    {
      store_error (&out, 404, ETCD_NOT_FOUND, "Not Found");
      httpd_answer (req, 404, NULL, 0, buf_str (&out));
    }
  buf_free (&out);
  free (path);
}

/* --- control ----------------------------------------------------------- */

static const struct httpd_limits limits
    = { .max_body = 8 << 20, .max_connections = 20000, .request_ms = 30000 };

static void on_request (void *ctx, struct httpd_req *req);

static void
set_down (struct etcd_server *s, enum down_mode mode)
{
  s->down = mode;
  if (mode == DOWN_REFUSE && s->api != NULL)
    {
      store_drop_watches (s);
      s->outages++;
      httpd_free (s->api);
      s->api = NULL;
    }
  else if (mode != DOWN_REFUSE && s->api == NULL)
    s->api = httpd_listen (&s->loop, &s->at, &limits, on_request, s, NULL);
}

static enum down_mode
parse_down_mode (json_object *o)
{
  const char *mode = json_text (o, "mode");

  if (!json_flag (o, "down", false))
    return UP;
  if (mode != NULL && strcmp (mode, "silent") == 0)
    return DOWN_SILENT;
  if (mode != NULL && strcmp (mode, "error") == 0)
    return DOWN_ERROR;
  return DOWN_REFUSE;
}

static void
expire_leases (struct etcd_server *s, json_object *which)
{
  GList *ids = g_hash_table_get_keys (s->kv.leases);
  bool all = json_object_is_type (which, json_type_string)
             && strcmp (json_object_get_string (which), "all") == 0;

  for (GList *l = ids; l != NULL; l = l->next)
    {
      int64_t id = *(int64_t *)l->data;
      if (all || id == json_object_get_int64 (which))
        kv_revoke (&s->kv, id);
    }
  g_list_free (ids);
  store_notify_watches (s);
}

static void
clear_faults (struct etcd_server *s)
{
  s->delay_ms = s->answer_delay_ms = 0;
  s->lose_next_writes = s->lose_next_reads = s->fail_write = 0;
  s->silence_watches = false;
  set_down (s, UP);
}

static void
apply_faults (struct etcd_server *s, json_object *o)
{
  json_object *which;

  if (json_flag (o, "clear", false))
    clear_faults (s);
  s->delay_ms = (int)json_num (o, "delay_ms", s->delay_ms);
  s->answer_delay_ms
      = (int)json_num (o, "answer_delay_ms", s->answer_delay_ms);
  s->lose_next_writes
      = (int)json_num (o, "lose_answer_next", s->lose_next_writes);
  s->lose_next_reads = (int)json_num (o, "lose_read_next", s->lose_next_reads);
  s->fail_write = (int)json_num (o, "fail_write", s->fail_write);
  s->silence_watches = json_flag (o, "silence_watches", s->silence_watches);
  if (json_object_object_get_ex (o, "lapse_lease", &which))
    expire_leases (s, which);
  if (json_flag (o, "compact", false))
    kv_compact (&s->kv);
  if (json_flag (o, "drop_watches", false))
    store_drop_watches (s);
}

static void
apply_json (struct etcd_server *s, json_object *o)
{
  json_object *down = NULL;

  apply_faults (s, o);
  if (json_object_object_get_ex (o, "down", &down))
    set_down (s, parse_down_mode (o));
}

/*
 * On the control port, the faults are in effect before the answer is sent.  On
 * the service port they follow the answer, because mode "refuse" closes this
 * connection too.
 */
static void
control_set (struct etcd_server *s, struct httpd_req *req,
             bool on_service_port)
{
  char *text = str_dup (httpd_get (req)->body);
  json_object *o = json_tokener_parse (text);

  free (text);
  if (o == NULL)
    {
      httpd_answer (req, 400, NULL, 0, STR ("no JSON\n"));
      return;
    }
  if (on_service_port)
    httpd_answer (req, 200, NULL, 0, STR ("{}\n"));
  apply_json (s, o);
  if (!on_service_port)
    httpd_answer (req, 200, NULL, 0, STR ("{}\n"));
  json_object_put (o);
}

static void
control_counts (struct etcd_server *s, struct httpd_req *req)
{
  const struct counts *n = &s->counts;
  struct buf out = BUF_INIT;
  unsigned open = 0;

  for (guint i = 0; i < s->watches->len; i++)
    open += ((struct watch *)s->watches->pdata[i])->req != NULL;
  buf_addf (&out,
            "{\"ranges\":%u,\"txns\":%u,\"puts\":%u,\"grants\":%u,"
            "\"keeps\":%u,\"revokes\":%u,\"watches\":%u,"
            "\"open_watches\":%u,\"conflicts\":%u,\"lost\":%u,"
            "\"refused\":%u}\n",
            n->ranges, n->txns, n->puts, n->grants, n->keeps, n->revokes,
            n->watches, open, n->conflicts, n->lost, n->refused);
  httpd_answer (req, 200, NULL, 0, buf_str (&out));
  buf_free (&out);
}

static gboolean
dump_one (void *key, void *value, void *ctx)
{
  const struct kv_entry *e = value;
  struct buf *out = ctx;

  if (out->ptr[out->len - 1] != '{')
    buf_add_char (out, ',');
  buf_add_json (out, kv_str (e->key));
  buf_addf (out, ":{\"mod\":%lld,\"create\":%lld,\"lease\":%lld,\"value\":",
            (long long)e->mod, (long long)e->create, (long long)e->lease);
  buf_add_json (out, kv_str (e->value));
  buf_add_char (out, '}');
  return FALSE;
}

static void
control_dump (struct etcd_server *s, struct httpd_req *req)
{
  struct buf out = BUF_INIT;
  GHashTableIter it;
  void *value;
  bool first = true;

  kv_expire (&s->kv, clk_now ());
  buf_addf (&out, "{\"revision\":%lld,\"leases\":[",
            (long long)s->kv.revision);
  g_hash_table_iter_init (&it, s->kv.leases);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      buf_addf (&out, "%s%lld", first ? "" : ",",
                (long long)((struct kv_lease *)value)->id);
      first = false;
    }
  buf_add_c (&out, "],\"keys\":{");
  g_tree_foreach (s->kv.keys, dump_one, &out);
  buf_add_c (&out, "}}\n");
  httpd_answer (req, 200, NULL, 0, buf_str (&out));
  buf_free (&out);
}

static void
handle_request (struct etcd_server *s, struct httpd_req *req,
                bool on_service_port)
{
  struct str path = httpd_get (req)->path;

  if (str_is (path, "/control/set"))
    control_set (s, req, on_service_port);
  else if (str_is (path, "/control/counts"))
    control_counts (s, req);
  else if (str_is (path, "/control/dump"))
    control_dump (s, req);
  else
    handle_api (s, req);
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  handle_request (ctx, req, true);
}

static void
on_control_request (void *ctx, struct httpd_req *req)
{
  handle_request (ctx, req, false);
}

/* --- process ----------------------------------------------------------- */

static void
on_tick (uv_timer_t *t)
{
  struct etcd_server *s = t->data;

  if (kv_expire (&s->kv, clk_now ()))
    store_notify_watches (s);
}

static bool
serve (struct etcd_server *s, struct httpd **d, struct net_addr *at,
       httpd_handler handler)
{
  struct buf err = BUF_INIT;

  *d = httpd_listen (&s->loop, at, &limits, handler, s, &err);
  if (*d == NULL)
    {
      fprintf (stderr, "standin store: %s\n", buf_c (&err));
      return false;
    }
  at->port = httpd_port (*d);
  return true;
}

static int
run (struct etcd_server *s, const char *listen)
{
  struct net_addr control;

  if (!net_addr_parse (str_from (listen), true, &s->at))
    {
      fprintf (stderr, "standin store: bad --listen '%s'\n", listen);
      return 2;
    }
  control = s->at;
  control.port = 0;
  uv_loop_init (&s->loop);
  kv_init (&s->kv);
  s->watches = g_ptr_array_new ();
  if (!serve (s, &s->api, &s->at, on_request)
      || !serve (s, &s->control, &control, on_control_request))
    return 1;
  uv_timer_init (&s->loop, &s->tick);
  s->tick.data = s;
  uv_timer_start (&s->tick, on_tick, TICK_MS, TICK_MS);
  printf ("ready store http=%s:%u control=%s:%u\n", s->at.host, s->at.port,
          control.host, control.port);
  fflush (stdout);
  return uv_run (&s->loop, UV_RUN_DEFAULT);
}

int
standin_store (int argc, char **argv)
{
  static struct etcd_server s;
  char *listen = NULL;
  GOptionEntry entries[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "address", "ADDR" },
          { 0 } };
  GOptionContext *oc = g_option_context_new ("- key-value service");

  g_option_context_add_main_entries (oc, entries, NULL);
  if (!g_option_context_parse (oc, &argc, &argv, NULL))
    return 2;
  g_option_context_free (oc);
  return run (&s, listen != NULL ? listen : "127.0.0.1:0");
}
