/* Stand-in for a plain HTTP service that echoes each request as JSON. */
#include <stdlib.h>

#include "standins/fault.h"
#include "standins/standin.h"

struct service
{
  struct backend b;
  int padding;  /**< bytes of padding in each response */
  int pieces;   /**< pieces per response; 0: one, with content-length */
  int piece_ms; /**< delay between pieces, in ms */
  char *name;
};

static json_object *
headers_json (struct httpd_req *req)
{
  json_object *o = json_object_new_object ();
  size_t n;
  const struct http_header *h = httpd_headers (req, &n);

  for (size_t i = 0; i < n; i++)
    {
      char *name = str_dup (h[i].name);
      json_object_object_add (
          o, name,
          json_object_new_string_len (h[i].value.ptr, (int)h[i].value.len));
      free (name);
    }
  return o;
}

static void
add_text (json_object *o, const char *key, struct str s)
{
  json_object_object_add (
      o, key, json_object_new_string_len (s.ptr ? s.ptr : "", (int)s.len));
}

static void
echo_body (struct service *s, struct httpd_req *req, struct buf *out)
{
  const struct httpd_view *v = httpd_get (req);
  json_object *o = json_object_new_object ();

  add_text (o, "service", str_from (s->name));
  add_text (o, "method", v->method);
  add_text (o, "path", v->path);
  add_text (o, "query", v->query);
  json_object_object_add (o, "headers", headers_json (req));
  add_text (o, "body", v->body);
  buf_add_c (out, json_object_to_json_string (o));
  json_object_put (o);
  for (int i = 0; i < s->padding; i++)
    buf_add_char (out, ' ');
  buf_add_char (out, '\n');
}

static void
split_evenly (struct reply *r, int pieces)
{
  if (pieces <= 0)
    return;
  r->piece_ends = xcalloc ((size_t)pieces, sizeof *r->piece_ends);
  r->npieces = (size_t)pieces;
  for (size_t i = 0; i < r->npieces; i++)
    r->piece_ends[i] = r->body.len * (i + 1) / r->npieces;
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  struct service *s = ctx;

  if (backend_control (&s->b, req) || !backend_admit (&s->b, req))
    return;
  struct reply *r = reply_new (&s->b, req);
  r->type = "application/json";
  echo_body (s, req, &r->body);
  split_evenly (r, s->pieces);
  r->piece_ms = s->piece_ms;
  reply_start (r);
}

static void
on_set (void *ctx, json_object *o)
{
  struct service *s = ctx;
  s->padding = (int)json_num (o, "large", s->padding);
  s->pieces = (int)json_num (o, "pieces", s->pieces);
  s->piece_ms = (int)json_num (o, "piece_ms", s->piece_ms);
}

int
standin_service (int argc, char **argv)
{
  static struct service s;
  char *listen = NULL;
  GOptionEntry entries[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING, &listen, "address", "ADDR" },
          { "name", 0, 0, G_OPTION_ARG_STRING, &s.name, "name", "NAME" },
          { 0 } };
  GOptionContext *oc = g_option_context_new ("- plain service");

  g_option_context_add_main_entries (oc, entries, NULL);
  if (!g_option_context_parse (oc, &argc, &argv, NULL))
    return 2;
  g_option_context_free (oc);
  s.b.count_by_request = true;
  s.b.on_set = on_set;
  s.b.ctx = &s;
  if (s.name == NULL)
    s.name = xstrdup ("service");
  return backend_run (&s.b, "service", listen ? listen : "127.0.0.1:0",
                      on_request);
}
