#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "platform/names.h"
#include "standins/rack.h"

/** Duration of joining a replica: with loading the model, and with the model
    already loaded. */
#define LOAD_MS 400
#define JOIN_MS 50
/** Maximum number of response headers. */
#define HEADERS 5

static const char *const part_names[]
    = { "", "joining", "ready", "open", "closing" };

struct server *
rack_find (struct rack *r, const char *id)
{
  for (size_t i = 0; i < r->n; i++)
    if (strcmp (r->servers[i].id, id) == 0)
      return &r->servers[i];
  return NULL;
}

/* --- entry in the server list ------------------------------------------ */

static void
add_text (json_object *o, const char *key, const char *text)
{
  json_object_object_add (o, key, json_object_new_string (text));
}

static json_object *
replica_json (const struct server *s)
{
  json_object *o = json_object_new_object ();

  add_text (o, "name", s->replica);
  json_object_object_add (o, "epoch", json_object_new_int64 (s->generation));
  json_object_object_add (o, "rank", json_object_new_int ((int)s->rank));
  add_text (o, "state", part_names[s->part]);
  return o;
}

static json_object *
entry_json (const struct server *s)
{
  json_object *o = json_object_new_object ();
  json_object *models = json_object_new_array ();

  add_text (o, "service", s->engine ? "lm" : "app");
  add_text (o, "address", s->addr);
  add_text (o, "zone", "z1");
  if (s->domain[0])
    add_text (o, "domain", s->domain);
  add_text (o, "version", "v1");
  json_object_object_add (o, "seq", json_object_new_int (0));
  json_object_object_add (o, "cold_left_ms", json_object_new_int (0));
  if (s->born)
    json_object_object_add (o, "born", json_object_new_int64 (s->born));
  json_object_object_add (o, "capacity", json_object_new_int (8));
  add_text (o, "state", s->draining ? "draining" : "ready");
  if (s->model[0])
    {
      json_object *m = json_object_new_object ();
      add_text (m, "name", s->model);
      json_object_array_add (models, m);
    }
  json_object_object_add (o, "models", models);
  if (s->replica[0])
    json_object_object_add (o, "group", replica_json (s));
  return o;
}

void
rack_list (struct server *s)
{
  char key[64];
  json_object *o;

  snprintf (key, sizeof key, PLT_PREFIX_SERVERS "%s", s->id);
  if (s->dead || s->unlisted)
    {
      rack_store_remove (s->rack, key);
      return;
    }
  o = entry_json (s);
  rack_store_put (s->rack, key, json_object_to_json_string (o));
  json_object_put (o);
}

/* --- orders ------------------------------------------------------------ */

static void
on_joined (uv_timer_t *t)
{
  struct server *s = t->data;

  if (s->part == PART_JOINING)
    s->part = PART_READY;
  rack_list (s);
}

static bool
is_of (const struct server *s, json_object *o)
{
  return str_is (jsn_str (o, "group"), s->replica)
         && s->generation == jsn_int (o, "epoch");
}

static int
do_join (struct server *s, json_object *o)
{
  size_t n;
  json_object *members = jsn_array (o, "members", &n);
  bool warm = str_is (jsn_str (o, "model"), s->model);

  if (jsn_int (o, "epoch") < s->generation)
    return 412;
  if (is_of (s, o))
    return 200;
  snprintf (s->replica, sizeof s->replica, "%s", jsn_text (o, "group"));
  snprintf (s->model, sizeof s->model, "%s", jsn_text (o, "model"));
  s->generation = jsn_int (o, "epoch");
  s->nmembers = (unsigned)n;
  for (size_t i = 0; i < n && i < RACK_SERVERS; i++)
    {
      snprintf (
          s->members[i], sizeof s->members[i], "%s",
          json_object_get_string (json_object_array_get_idx (members, i)));
      if (strcmp (s->members[i], s->id) == 0)
        s->rank = (unsigned)i;
    }
  s->part = PART_JOINING;
  uv_timer_start (&s->timer, on_joined, warm ? JOIN_MS : LOAD_MS, 0);
  return 202;
}

static int
do_order (struct server *s, json_object *o)
{
  struct str op = jsn_str (o, "op");

  if (jsn_int (o, "fence") < s->fence)
    return 412;
  s->fence = jsn_int (o, "fence");
  if (str_is (op, "join"))
    return do_join (s, o);
  if (!is_of (s, o))
    return 409;
  if (str_is (op, "open"))
    {
      if (s->part < PART_READY || s->rank != 0)
        return 409;
      s->part = PART_OPEN;
    }
  else if (str_is (op, "close") && s->part >= PART_OPEN)
    s->part = PART_READY;
  else if (str_is (op, "leave"))
    {
      s->replica[0] = '\0';
      s->part = PART_ALONE;
    }
  return 202;
}

static void
on_order (struct server *s, struct httpd_req *req)
{
  json_object *o = jsn_parse (httpd_get (req)->body);
  int status = o ? do_order (s, o) : 400;

  rack_list (s);
  json_object_put (o);
  httpd_answer (req, status, NULL, 0, STR_EMPTY);
}

/* --- requests ---------------------------------------------------------- */

/** An event stream in progress. */
struct stream
{
  struct server *s;
  struct httpd_req *req;
  uv_timer_t timer;
  int next;
  struct stream *after, **before; /**< links in the server's list */
};

static void
on_stream_closed (uv_handle_t *h)
{
  free (h->data);
}

static void
stream_over (struct stream *st)
{
  st->s->open--;
  *st->before = st->after;
  if (st->after)
    st->after->before = st->before;
  uv_close ((uv_handle_t *)&st->timer, on_stream_closed);
}

static void
on_stream_gone (void *ctx)
{
  struct stream *st = ctx;

  st->s->gone++;
  stream_over (st);
}

/** Whether a member of the replica is unavailable.  A replica produces no
    events then. */
static bool
stands_still (const struct server *s)
{
  for (unsigned i = 0; i < s->nmembers; i++)
    {
      const struct server *m = rack_find (s->rack, s->members[i]);
      if (!m || m->dead || m->dark)
        return true;
    }
  return false;
}

static void
on_event (uv_timer_t *t)
{
  struct stream *st = t->data;
  struct server *s = st->s;
  struct httpd_req *req = st->req;
  char text[64];
  int n;

  if (s->dark || stands_still (s))
    return;
  if (st->next > s->rack->events)
    {
      /* Resumed after the last event: only the end is missing. */
      stream_over (st);
      httpd_end (req, true);
      return;
    }
  n = snprintf (text, sizeof text, "id: %d\ndata: w%d\n\n", st->next,
                st->next);
  httpd_write (req, str_make (text, (size_t)n));
  if ((s->cut_after && st->next >= s->cut_after)
      || (s->end_after && st->next >= s->end_after))
    {
      bool in_order = s->end_after != 0;
      s->cut_after = s->end_after = 0;
      httpd_write (req, STR ("id: 9"));
      stream_over (st);
      httpd_end (req, in_order);
    }
  else if (st->next++ >= s->rack->events)
    {
      stream_over (st);
      httpd_end (req, true);
    }
}

static size_t
make_head (struct server *s, struct httpd_req *req, const char *type,
           struct http_header *h)
{
  size_t n = 0;

  h[n++] = (struct http_header){ STR ("content-type"), str_from (type) };
  h[n++] = (struct http_header){ STR (PLT_H_REQUEST_ID),
                                 httpd_header (req, PLT_H_REQUEST_ID) };
  if (!s->unsealed)
    h[n++] = (struct http_header){ STR (PLT_H_SEAL), str_from (s->id) };
  n += rack_limit_header (&s->limit, &h[n]);
  return n;
}

static void
start_stream (struct server *s, struct httpd_req *req)
{
  struct stream *st = xcalloc (1, sizeof *st);
  struct http_header h[HEADERS];
  size_t n = make_head (s, req, "text/event-stream", h);
  int64_t last = 0;

  str_to_i64 (httpd_header (req, PLT_H_LAST_EVENT), &last);
  st->s = s;
  st->req = req;
  st->next = (int)last + 1;
  s->open++;
  st->after = s->streams;
  st->before = &s->streams;
  if (st->after)
    st->after->before = &st->after;
  s->streams = st;
  httpd_on_gone (req, on_stream_gone, st);
  uv_timer_init (&s->rack->loop, &st->timer);
  st->timer.data = st;
  httpd_begin (req, 200, h, n);
  uv_timer_start (&st->timer, on_event, (uint64_t)s->rack->event_ms,
                  (uint64_t)s->rack->event_ms);
}

static void
refuse (struct httpd_req *req, int status)
{
  struct http_header h[] = { { STR (PLT_H_NOT_RUN), STR ("1") } };

  httpd_answer (req, status, h, 1, STR_EMPTY);
}

static void
count_run (struct server *s, struct httpd_req *req)
{
  char *id = str_dup (httpd_header (req, PLT_H_REQUEST_ID));
  int n = GPOINTER_TO_INT (g_hash_table_lookup (s->rack->runs, id));

  s->runs++;
  g_hash_table_replace (s->rack->runs, id, GINT_TO_POINTER (n + 1));
}

static void
on_crash (uv_timer_t *t)
{
  rack_server_crash (t->data);
}

/** Whether the request crashes the server; starts the crash timer if so. */
static bool
does_crash (struct server *s, struct httpd_req *req)
{
  struct rack *r = s->rack;

  if (!r->crash_body[0] || !str_is (httpd_get (req)->body, r->crash_body))
    return false;
  if (!uv_is_active ((uv_handle_t *)&s->crash))
    uv_timer_start (&s->crash, on_crash, (uint64_t)r->crash_ms, 0);
  return true;
}

static void
answer_plain (struct server *s, struct httpd_req *req)
{
  struct http_header h[HEADERS];
  size_t n = make_head (s, req, "application/json", h);
  struct buf body = BUF_INIT;

  buf_addf (&body, "{\"server\":\"%s\",\"account\":", s->id);
  buf_add_json (&body, httpd_header (req, PLT_H_ACCOUNT));
  buf_add_c (&body, ",\"key\":");
  buf_add_json (&body, httpd_header (req, PLT_H_KEY));
  buf_add_c (&body, "}");
  httpd_answer (req, s->fail ? s->fail : 200, h, n, buf_str (&body));
  buf_free (&body);
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  struct server *s = ctx;
  struct str path = httpd_get (req)->path;

  if (s->dark)
    return;
  if (!str_is (httpd_header (req, PLT_H_EXPECT), s->id))
    refuse (req, 421);
  else if (str_is (path, PLT_ORDER))
    on_order (s, req);
  else if (str_is (path, PLT_REPORT))
    httpd_answer (req, 200, NULL, 0, STR ("{}"));
  else if (s->engine && (s->part != PART_OPEN || s->rank != 0))
    refuse (req, s->part == PART_READY ? 503 : 421);
  else
    {
      bool crashes = does_crash (s, req);
      rack_limit_count (&s->limit);
      count_run (s, req);
      if (s->engine)
        start_stream (s, req);
      else if (!crashes)
        answer_plain (s, req);
    }
}

bool
rack_server_start (struct server *s)
{
  struct httpd_limits limits
      = { .max_body = 1 << 20, .max_connections = 1000, .request_ms = 30000 };
  struct net_addr at = { .host = "127.0.0.1" };
  struct buf text = BUF_INIT;

  s->httpd = httpd_listen (&s->rack->loop, &at, &limits, on_request, s, &text);
  if (s->httpd == NULL)
    {
      fprintf (stderr, "standin rack: %s\n", buf_c (&text));
      buf_free (&text);
      return false;
    }
  at.port = httpd_port (s->httpd);
  net_addr_format (&at, &text);
  snprintf (s->addr, sizeof s->addr, "%s", buf_c (&text));
  buf_free (&text);
  uv_timer_init (&s->rack->loop, &s->timer);
  s->timer.data = s;
  uv_timer_init (&s->rack->loop, &s->crash);
  s->crash.data = s;
  s->born = clk_wall ();
  rack_list (s);
  return true;
}

void
rack_server_stop (struct server *s)
{
  if (s->dead)
    return;
  s->dead = true;
  httpd_free (s->httpd);
  rack_list (s);
}

/** Time until the entry of a crashed server expires: three heartbeats. */
#define LAPSE_MS 1500

static void
on_lapsed (uv_timer_t *t)
{
  rack_list (t->data);
}

void
rack_server_crash (struct server *s)
{
  if (s->dead)
    return;
  s->dead = true;
  s->rack->crashed++;
  while (s->streams)
    stream_over (s->streams);
  httpd_free (s->httpd);
  uv_timer_start (&s->timer, on_lapsed, LAPSE_MS, 0);
}

void
rack_server_restart (struct server *s)
{
  uv_timer_stop (&s->timer);
  s->model[0] = s->replica[0] = '\0';
  s->part = PART_ALONE;
  s->generation = s->fence = 0;
  s->nmembers = s->rank = 0;
  s->born = clk_wall ();
  rack_limit_set (&s->limit, "");
}
