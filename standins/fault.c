#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "standins/fault.h"

#define MAX_QUEUED ((size_t)1 << 20)

bool
json_flag (json_object *o, const char *key, bool fallback)
{
  json_object *v;
  return json_object_object_get_ex (o, key, &v) ? json_object_get_boolean (v)
                                                : fallback;
}

int64_t
json_num (json_object *o, const char *key, int64_t fallback)
{
  json_object *v;
  return json_object_object_get_ex (o, key, &v) ? json_object_get_int64 (v)
                                                : fallback;
}

const char *
json_text (json_object *o, const char *key)
{
  json_object *v;
  return json_object_object_get_ex (o, key, &v) ? json_object_get_string (v)
                                                : NULL;
}

void
backend_answer_json (struct httpd_req *req, int status, json_object *o)
{
  struct http_header type = { STR ("content-type"), STR ("application/json") };
  const char *text = json_object_to_json_string (o);

  httpd_answer (req, status, &type, 1, str_from (text));
  json_object_put (o);
}

/* ---- control ---- */

static void
fault_set (struct fault *f, json_object *o)
{
  f->slow_ms = (int)json_num (o, "slow_ms", f->slow_ms);
  f->fail_status = (int)json_num (o, "fail_status", f->fail_status);
  f->silent = json_flag (o, "silent", f->silent);
  f->truncate_after = (int)json_num (o, "truncate_after", f->truncate_after);
  f->close_first = json_flag (o, "close_first", f->close_first);
  f->die_first = json_flag (o, "die_first", f->die_first);
  f->stall = json_flag (o, "stall", f->stall);
  f->leaving = json_flag (o, "leaving", f->leaving);
  if (json_text (o, "retry_after") != NULL)
    snprintf (f->retry_after, sizeof f->retry_after, "%s",
              json_text (o, "retry_after"));
}

static json_object *
hash_table_json (GHashTable *t)
{
  json_object *o = json_object_new_object ();
  GHashTableIter it;
  gpointer key, value;

  g_hash_table_iter_init (&it, t);
  while (g_hash_table_iter_next (&it, &key, &value))
    json_object_object_add (o, key,
                            json_object_new_int (GPOINTER_TO_INT (value)));
  return o;
}

static json_object *
counts_json (const struct backend *b)
{
  json_object *o = json_object_new_object ();

  json_object_object_add (o, "runs", json_object_new_int ((int)b->runs));
  json_object_object_add (o, "refused", json_object_new_int ((int)b->refused));
  json_object_object_add (o, "gone",
                          json_object_new_int ((int)b->disconnects));
  json_object_object_add (o, "open", json_object_new_int ((int)b->open));
  json_object_object_add (o, "peak", json_object_new_int ((int)b->peak));
  json_object_object_add (o, "by_request",
                          hash_table_json (b->runs_by_request));
  json_object_object_add (o, "by_key", hash_table_json (b->runs_by_key));
  return o;
}

static void
control_set (struct backend *b, struct httpd_req *req)
{
  struct str body = httpd_get (req)->body;
  char *text = str_dup (body);
  json_object *o = json_tokener_parse (text);

  free (text);
  if (o == NULL)
    {
      httpd_answer (req, 400, NULL, 0, STR ("no JSON\n"));
      return;
    }
  if (json_flag (o, "clear", false))
    b->fault = (struct fault){ 0 };
  fault_set (&b->fault, o);
  if (json_flag (o, "clear_peak", false))
    b->peak = b->open;
  if (b->on_set != NULL)
    b->on_set (b->ctx, o);
  json_object_put (o);
  httpd_answer (req, 200, NULL, 0, STR ("{}\n"));
}

bool
backend_control (struct backend *b, struct httpd_req *req)
{
  const struct httpd_view *v = httpd_get (req);

  if (str_is (v->path, "/control/set"))
    control_set (b, req);
  else if (str_is (v->path, "/control/counts"))
    backend_answer_json (req, 200, counts_json (b));
  else
    return false;
  return true;
}

/* ---- runs ---- */

static void
increment_count (GHashTable *t, struct str key)
{
  if (key.len == 0)
    return;
  char *k = str_dup (key);
  int n = GPOINTER_TO_INT (g_hash_table_lookup (t, k));
  g_hash_table_replace (t, k, GINT_TO_POINTER (n + 1));
}

size_t
backend_headers (const struct backend *b, const char *type, bool rejected,
                 struct http_header *out)
{
  size_t n = 0;

  if (type != NULL)
    out[n++] = (struct http_header){ STR ("content-type"), str_from (type) };
  if (rejected && b->fault.retry_after[0])
    out[n++] = (struct http_header){ STR ("retry-after"),
                                     str_from (b->fault.retry_after) };
  if (b->fault.leaving)
    out[n++] = (struct http_header){ STR ("server-leaving"), STR ("1") };
  return n;
}

bool
backend_admit (struct backend *b, struct httpd_req *req)
{
  if (b->fault.fail_status != 0)
    {
      struct http_header h[BACKEND_HEADERS];
      size_t n = backend_headers (b, NULL, true, h);
      b->refused++;
      httpd_answer (req, b->fault.fail_status, h, n, STR ("refused\n"));
      return false;
    }
  b->runs++;
  if (b->count_by_request)
    {
      increment_count (b->runs_by_request, httpd_header (req, "x-request-id"));
      increment_count (b->runs_by_key, httpd_header (req, "idempotency-key"));
    }
  return true;
}

/* ---- replies ---- */

static void
on_reply_closed (uv_handle_t *h)
{
  struct reply *r = h->data;
  free (r->piece_ends);
  buf_free (&r->body);
  free (r);
}

static void
reply_free (struct reply *r)
{
  r->b->open--;
  uv_close ((uv_handle_t *)&r->timer, on_reply_closed);
}

static void
on_disconnect (void *ctx)
{
  struct reply *r = ctx;
  r->b->disconnects++;
  reply_free (r);
}

struct reply *
reply_new (struct backend *b, struct httpd_req *req)
{
  struct reply *r = xcalloc (1, sizeof *r);

  r->b = b;
  r->req = req;
  r->status = 200;
  uv_timer_init (&b->loop, &r->timer);
  r->timer.data = r;
  if (++b->open > b->peak)
    b->peak = b->open;
  httpd_on_disconnect (req, on_disconnect, r);
  return r;
}

static void
reply_begin (struct reply *r)
{
  struct http_header h[BACKEND_HEADERS];
  size_t n = backend_headers (r->b, r->type, false, h);
  if (!r->headers_sent)
    httpd_begin (r->req, r->status, h, n);
  r->headers_sent = true;
}

static void
reply_end (struct reply *r, bool whole)
{
  struct httpd_req *req = r->req;
  reply_free (r);
  httpd_end (req, whole);
}

static void
exit_when_drained (void *ctx)
{
  (void)ctx;
  _exit (1);
}

/** Sends the body up to `end`; false if a fault ended the reply. */
static bool
reply_send_to (struct reply *r, size_t end)
{
  const struct fault *f = &r->b->fault;
  size_t from = r->offset;
  bool cut = f->truncate_after > 0 && end > (size_t)f->truncate_after;

  if (cut)
    end = (size_t)f->truncate_after;
  if (f->close_first || f->die_first)
    end = from + 1;
  if (f->die_first)
    httpd_on_drained (r->req, exit_when_drained, NULL);
  reply_begin (r);
  if (end > from)
    {
      httpd_write (r->req, str_make (r->body.ptr + from, end - from));
      r->offset = end;
    }
  if (f->die_first)
    return false;
  if (cut || f->close_first)
    reply_end (r, false);
  return !cut && !f->close_first;
}

static void
send_next_piece (uv_timer_t *t)
{
  struct reply *r = t->data;
  size_t end = r->npieces ? r->piece_ends[r->next_piece] : r->body.len;

  if (r->b->fault.stall && end * 2 > r->body.len)
    {
      reply_begin (r);
      return;
    }
  /* Flow control as in a model engine: wait while the client reads slowly. */
  if (r->headers_sent && httpd_queued (r->req) > MAX_QUEUED)
    {
      uv_timer_start (t, send_next_piece, 1, 0);
      return;
    }
  if (!reply_send_to (r, end))
    return;
  if (++r->next_piece >= r->npieces)
    reply_end (r, true);
  else
    uv_timer_start (t, send_next_piece, (uint64_t)r->piece_ms, 0);
}

/** Sends the reply as one response with content-length; false if it has
    several pieces, is resumed, or a fault applies. */
static bool
reply_send_whole (struct reply *r)
{
  const struct fault *f = &r->b->fault;
  struct http_header h[BACKEND_HEADERS];
  size_t n = backend_headers (r->b, r->type, false, h);
  struct httpd_req *req = r->req;

  if (r->npieces > 0 || r->offset > 0 || f->truncate_after > 0
      || f->close_first || f->die_first || f->stall || f->slow_ms > 0)
    return false;
  httpd_answer (req, r->status, h, n, buf_str (&r->body));
  reply_free (r);
  return true;
}

void
reply_start (struct reply *r)
{
  if (r->b->fault.silent || reply_send_whole (r))
    return;
  uv_timer_start (&r->timer, send_next_piece, (uint64_t)r->b->fault.slow_ms,
                  0);
}

/* ---- process ---- */

int
backend_run (struct backend *b, const char *name, const char *listen,
             httpd_handler handler)
{
  struct httpd_limits limits
      = { .max_body = 8 << 20, .max_connections = 20000, .request_ms = 30000 };
  struct net_addr at;
  struct buf err = BUF_INIT;

  if (!net_addr_parse (str_from (listen), true, &at))
    {
      fprintf (stderr, "standin %s: bad --listen '%s'\n", name, listen);
      return 2;
    }
  uv_loop_init (&b->loop);
  b->runs_by_request
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  b->runs_by_key = g_hash_table_new_full (g_str_hash, g_str_equal, free, NULL);
  b->httpd = httpd_listen (&b->loop, &at, &limits, handler, b->ctx, &err);
  if (b->httpd == NULL)
    {
      fprintf (stderr, "standin %s: %s\n", name, buf_c (&err));
      return 1;
    }
  at.port = httpd_port (b->httpd);
  net_addr_format (&at, &err);
  printf ("ready %s http=%s\n", name, buf_c (&err));
  fflush (stdout);
  return uv_run (&b->loop, UV_RUN_DEFAULT);
}
