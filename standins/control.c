/* Stand-in for a node's control process at the link to its gateway.

   POST /control/view sets the view, which is sent at once and then every
   second:
     {"revision": 7, "config": {...}, "leaving": false,
      "nodes": [{"node", "zone", "region", "status", "http", "load"}],
      "replicas": [{"replica", "model", "domain", "generation", "whole",
                    "draining", "valid_ms", "leader"}]}
   "chunked": true sends the configuration as separate chunks, "same_text":
   true omits it.  GET /control/heard returns the last hello and report
   received; GET /control/trace?HEX32 requests the gateway's spans of a trace.
   SIGSTOP simulates a control process that stopped responding.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <openssl/sha.h>

#include "base/trace.h"
#include "net/link.h"
#include "standins/fault.h"
#include "standins/standin.h"

#define VIEW_INTERVAL_MS 1000

struct control
{
  uv_loop_t loop;
  uv_timer_t timer;
  struct httpd *httpd;
  struct link_server *server;
  struct link *gateway;
  json_object *view;
  uint64_t seq;
  json_object *hello, *report;
  struct httpd_req *trace_req; /**< pending /control/trace request */
};

/* ---- views ---- */

static json_object *
get_array (json_object *o, const char *key, size_t *n)
{
  json_object *list = NULL;

  json_object_object_get_ex (o, key, &list);
  *n = list ? json_object_array_length (list) : 0;
  return list;
}

static char *
get_text (json_object *o, const char *key)
{
  const char *t = json_text (o, key);
  return (char *)(t ? t : "");
}

static Lapis__NodeView *
node_view_from_json (json_object *o)
{
  Lapis__NodeView *n = xmalloc (sizeof *n);

  lapis__node_view__init (n);
  n->node = get_text (o, "node");
  n->zone = get_text (o, "zone");
  n->region = get_text (o, "region");
  n->http_addr = get_text (o, "http");
  n->peer_addr = (char *)"127.0.0.1:1";
  n->status = (uint32_t)json_num (o, "status", 0);
  n->load = (uint32_t)json_num (o, "load", 0);
  return n;
}

static Lapis__ReplicaView *
replica_view_from_json (json_object *o)
{
  Lapis__ReplicaView *r = xmalloc (sizeof *r);

  lapis__replica_view__init (r);
  r->replica = get_text (o, "replica");
  r->model = get_text (o, "model");
  r->domain = get_text (o, "domain");
  r->generation = (uint64_t)json_num (o, "generation", 0);
  r->whole = json_flag (o, "whole", true);
  r->draining = json_flag (o, "draining", false);
  r->valid_ms = (uint32_t)json_num (o, "valid_ms", 3000);
  r->leader_addr = get_text (o, "leader");
  return r;
}

static void
fill_lists (Lapis__View *v, json_object *o)
{
  json_object *list = get_array (o, "nodes", &v->n_nodes);

  v->nodes = xcalloc (v->n_nodes + 1, sizeof (void *));
  for (size_t i = 0; i < v->n_nodes; i++)
    v->nodes[i] = node_view_from_json (json_object_array_get_idx (list, i));
  list = get_array (o, "replicas", &v->n_replicas);
  v->replicas = xcalloc (v->n_replicas + 1, sizeof (void *));
  for (size_t i = 0; i < v->n_replicas; i++)
    v->replicas[i]
        = replica_view_from_json (json_object_array_get_idx (list, i));
}

static void
free_lists (Lapis__View *v)
{
  for (size_t i = 0; i < v->n_nodes; i++)
    free (v->nodes[i]);
  for (size_t i = 0; i < v->n_replicas; i++)
    free (v->replicas[i]);
  free (v->nodes);
  free (v->replicas);
}

/** Sends the configuration in two chunks, as the control process does with a
    text that exceeds a frame. */
static void
send_chunks (struct control *c, const Lapis__View *v, struct str text)
{
  size_t half = text.len / 2, offset[] = { 0, half, text.len };

  for (int i = 0; i < 2; i++)
    {
      Lapis__ConfigChunk k = LAPIS__CONFIG_CHUNK__INIT;
      Lapis__Frame f = LAPIS__FRAME__INIT;
      k.revision = v->config_revision;
      k.hash = v->config_hash;
      k.offset = offset[i];
      k.size = text.len;
      k.bytes.data = (uint8_t *)text.ptr + offset[i];
      k.bytes.len = offset[i + 1] - offset[i];
      f.body_case = LAPIS__FRAME__BODY_CONFIG_CHUNK;
      f.config_chunk = &k;
      link_send (c->gateway, &f);
    }
}

static void
send_view (struct control *c)
{
  Lapis__View v = LAPIS__VIEW__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  uint8_t hash[SHA256_DIGEST_LENGTH];
  json_object *config = NULL;
  struct str text = STR_EMPTY;

  if (c->gateway == NULL || c->view == NULL)
    return;
  if (json_object_object_get_ex (c->view, "config", &config))
    text = str_from (json_object_to_json_string (config));
  SHA256 ((const uint8_t *)text.ptr, text.len, hash);
  v.seq = ++c->seq;
  v.config_revision = (uint64_t)json_num (c->view, "revision", 1);
  v.config_hash = (ProtobufCBinaryData){ sizeof hash, hash };
  v.leaving = json_flag (c->view, "leaving", false);
  v.store_ok = true;
  if (json_flag (c->view, "chunked", false))
    send_chunks (c, &v, text);
  else if (!json_flag (c->view, "same_text", false))
    v.config = (ProtobufCBinaryData){ text.len, (uint8_t *)text.ptr };
  fill_lists (&v, c->view);
  f.body_case = LAPIS__FRAME__BODY_VIEW;
  f.view = &v;
  link_send (c->gateway, &f);
  free_lists (&v);
}

static void
on_timer (uv_timer_t *t)
{
  send_view (t->data);
}

/* ---- gateway link ---- */

static void
handle_hello (struct control *c, const Lapis__Hello *h)
{
  json_object_put (c->hello);
  c->hello = json_object_new_object ();
  json_object_object_add (c->hello, "role", json_object_new_string (h->role));
  json_object_object_add (c->hello, "http",
                          json_object_new_string (h->http_addr));
  send_view (c);
}

static void
handle_report (struct control *c, const Lapis__Report *r)
{
  json_object_put (c->report);
  c->report = json_object_new_object ();
  json_object_object_add (c->report, "revision",
                          json_object_new_int64 ((int64_t)r->config_revision));
  json_object_object_add (c->report, "open",
                          json_object_new_int ((int)r->open_requests));
  json_object_object_add (c->report, "leaving",
                          json_object_new_boolean (r->leaving));
}

static void
handle_trace_answer (struct control *c, const Lapis__TraceAnswer *t)
{
  if (c->trace_req != NULL)
    httpd_answer (c->trace_req, 200, NULL, 0,
                  str_make (t->json.data, t->json.len));
  c->trace_req = NULL;
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  struct control *c = ctx;

  if (f->body_case == LAPIS__FRAME__BODY_HELLO)
    {
      c->gateway = l;
      handle_hello (c, f->hello);
    }
  else if (f->body_case == LAPIS__FRAME__BODY_REPORT)
    handle_report (c, f->report);
  else if (f->body_case == LAPIS__FRAME__BODY_TRACE_ANSWER)
    handle_trace_answer (c, f->trace_answer);
}

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct control *c = ctx;

  if (state == LINK_DOWN && l == c->gateway)
    c->gateway = NULL;
}

/* ---- control interface ---- */

static void
answer_received (struct control *c, struct httpd_req *req)
{
  json_object *o = json_object_new_object ();

  json_object_object_add (o, "hello", json_object_get (c->hello));
  json_object_object_add (o, "report", json_object_get (c->report));
  backend_answer_json (req, 200, o);
}

static void
set_view (struct control *c, struct httpd_req *req)
{
  char *text = str_dup (httpd_get (req)->body);

  json_object_put (c->view);
  c->view = json_tokener_parse (text);
  free (text);
  send_view (c);
  httpd_answer (req, c->view ? 200 : 400, NULL, 0, STR ("{}\n"));
}

static void
request_trace (struct control *c, struct httpd_req *req)
{
  Lapis__TraceAsk ask = LAPIS__TRACE_ASK__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  uint8_t trace[16];

  if (c->gateway == NULL || !trc_parse_trace (httpd_get (req)->query, trace))
    {
      httpd_answer (req, 400, NULL, 0, STR ("no gateway, or no trace\n"));
      return;
    }
  ask.trace = (ProtobufCBinaryData){ sizeof trace, trace };
  f.body_case = LAPIS__FRAME__BODY_TRACE_ASK;
  f.trace_ask = &ask;
  c->trace_req = req;
  link_send (c->gateway, &f);
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  struct str path = httpd_get (req)->path;

  if (str_is (path, "/control/view"))
    set_view (ctx, req);
  else if (str_is (path, "/control/heard"))
    answer_received (ctx, req);
  else if (str_is (path, "/control/trace"))
    request_trace (ctx, req);
  else
    httpd_answer (req, 404, NULL, 0, STR ("no such path\n"));
}

/* ---- process ---- */

static int
serve (struct control *c, const char *secret)
{
  static const struct link_callbacks cb = { on_state, on_frame };
  struct httpd_limits limits
      = { .max_body = 2 << 20, .max_connections = 64, .request_ms = 10000 };
  struct net_addr at = { "127.0.0.1", 0 };
  struct link_secret key;
  struct buf err = BUF_INIT;

  SHA256 ((const uint8_t *)secret, strlen (secret), key.key);
  uv_loop_init (&c->loop);
  c->httpd = httpd_listen (&c->loop, &at, &limits, on_request, c, &err);
  c->server = link_listen (&c->loop, &at, &key, &cb, c, &err);
  if (c->httpd == NULL || c->server == NULL)
    {
      fprintf (stderr, "standin control: %s\n", buf_c (&err));
      return 1;
    }
  uv_timer_init (&c->loop, &c->timer);
  c->timer.data = c;
  uv_timer_start (&c->timer, on_timer, VIEW_INTERVAL_MS, VIEW_INTERVAL_MS);
  printf ("ready control http=127.0.0.1:%u peer=127.0.0.1:%u\n",
          httpd_port (c->httpd), link_server_port (c->server));
  fflush (stdout);
  return uv_run (&c->loop, UV_RUN_DEFAULT);
}

int
standin_control (int argc, char **argv)
{
  static struct control c;
  char *secret = NULL;
  GOptionEntry entries[] = { { "secret", 0, 0, G_OPTION_ARG_STRING, &secret,
                               "content of the shared secret file", "TEXT" },
                             { 0 } };
  GOptionContext *oc = g_option_context_new ("- control process of a gateway");

  g_option_context_add_main_entries (oc, entries, NULL);
  if (!g_option_context_parse (oc, &argc, &argv, NULL))
    return 2;
  g_option_context_free (oc);
  return serve (&c, secret ? secret : "");
}
