#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "platform/names.h"
#include "standins/rack.h"

/** Time to join a replica: LOAD_MS if the model has to be loaded, JOIN_MS if
   it is loaded already. */
#define LOAD_MS 400
#define JOIN_MS 50
#define MAX_HEADERS 8

static const char *const member_state_names[]
    = { "", "joining", "ready", "open", "closing", "broken" };

const char *
rack_server_state_name (const struct server *s)
{
  return member_state_names[s->member_state];
}

struct server *
rack_find_server (struct rack *r, const char *id)
{
  for (size_t i = 0; i < r->nservers; i++)
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
  add_text (o, "state", rack_server_state_name (s));
  return o;
}

static json_object *
entry_json (const struct server *s)
{
  json_object *o = json_object_new_object ();
  json_object *models = json_object_new_array ();

  add_text (o, "service", s->engine ? "lm" : "app");
  add_text (o, "address", s->addr);
  add_text (o, "zone", s->zone);
  if (s->domain[0])
    add_text (o, "domain", s->domain);
  add_text (o, "version", "v1");
  json_object_object_add (o, "seq", json_object_new_int (0));
  json_object_object_add (o, "cold_left_ms",
                          json_object_new_int64 (rack_cold_left (s)));
  if (s->start_time)
    json_object_object_add (o, "born", json_object_new_int64 (s->start_time));
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
rack_server_write_entry (struct server *s)
{
  char key[64];
  json_object *o;

  s->publish_at = 0;
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

void
rack_server_publish (struct server *s)
{
  struct rack *r = s->rack;

  if (!r->entry_lag_ms)
    rack_server_write_entry (s);
  else if (!s->publish_at)
    s->publish_at
        = clk_now ()
          + (clk_ms)rng_below (&r->rng, (uint64_t)r->entry_lag_ms + 1);
}

/* --- orders ------------------------------------------------------------ */

static void
on_joined (uv_timer_t *t)
{
  struct server *s = t->data;

  if (s->paused)
    {
      uv_timer_start (t, on_joined, uv_timer_get_due_in (&s->pause_timer) + 1,
                      0);
      return;
    }
  if (s->member_state == MEMBER_JOINING)
    s->member_state = MEMBER_READY;
  rack_server_publish (s);
}

static bool
matches_replica (const struct server *s, json_object *o)
{
  return str_is (jsn_str (o, "group"), s->replica)
         && s->generation == jsn_int (o, "epoch");
}

static int
do_join (struct server *s, json_object *o)
{
  size_t n;
  json_object *members = jsn_array (o, "members", &n);
  bool model_loaded = str_is (jsn_str (o, "model"), s->model);

  if (jsn_int (o, "epoch") < s->generation)
    return 412;
  if (matches_replica (s, o))
    return 200;
  rack_join_record (s, o);
  s->incomplete_since = 0;
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
  s->member_state = MEMBER_JOINING;
  uv_timer_start (&s->timer, on_joined, model_loaded ? JOIN_MS : LOAD_MS, 0);
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
  if (!matches_replica (s, o))
    return 409;
  if (str_is (op, "open"))
    {
      if (s->member_state < MEMBER_READY || s->rank != 0)
        return 409;
      s->member_state = MEMBER_OPEN;
    }
  else if (str_is (op, "close") && s->member_state >= MEMBER_OPEN)
    s->member_state = MEMBER_READY;
  else if (str_is (op, "leave"))
    {
      s->replica[0] = '\0';
      s->member_state = MEMBER_NONE;
    }
  return 202;
}

static void
on_order (struct server *s, struct httpd_req *req)
{
  json_object *o = jsn_parse (httpd_get (req)->body);
  int status = o ? do_order (s, o) : 400;
  struct http_header h[MAX_HEADERS];
  size_t n = rack_avail_headers (s, req, false, h);

  rack_server_publish (s);
  json_object_put (o);
  httpd_answer (req, status, h, n, STR_EMPTY);
}

/* --- requests ---------------------------------------------------------- */

struct stream
{
  struct server *s;
  struct httpd_req *req;
  uv_timer_t timer;
  int next_event;
  bool side;           /**< came by the second port */
  size_t endless_sent; /**< bytes of a response without end */
  struct stream *list_next, **list_prev; /**< links in the server's list */
};

static void
on_stream_closed (uv_handle_t *h)
{
  free (h->data);
}

static void
stream_close (struct stream *st)
{
  st->s->open--;
  *st->list_prev = st->list_next;
  if (st->list_next)
    st->list_next->list_prev = st->list_prev;
  uv_close ((uv_handle_t *)&st->timer, on_stream_closed);
}

static void
on_stream_disconnect (void *ctx)
{
  struct stream *st = ctx;

  st->s->disconnects++;
  stream_close (st);
}

/** Whether a member of the replica is unavailable, so that the replica
    produces no events. */
static bool
replica_stalled (const struct server *s)
{
  for (unsigned i = 0; i < s->nmembers; i++)
    {
      const struct server *m = rack_find_server (s->rack, s->members[i]);
      if (!m || m->dead || m->unresponsive || m->paused)
        return true;
    }
  return false;
}

json_object *
rack_server_streams (const struct server *s)
{
  json_object *list = json_object_new_array ();

  for (const struct stream *st = s->streams; st; st = st->list_next)
    {
      struct str id = httpd_header (st->req, PLT_H_REQUEST_ID);
      json_object_array_add (list,
                             json_object_new_string_len (id.ptr, (int)id.len));
    }
  return list;
}

static void
count_by_id (GHashTable *counts, const char *id)
{
  int n = GPOINTER_TO_INT (g_hash_table_lookup (counts, id));

  g_hash_table_replace (counts, xstrdup (id), GINT_TO_POINTER (n + 1));
}

static void
count_ended (struct server *s, struct httpd_req *req)
{
  char *id = str_dup (httpd_header (req, PLT_H_REQUEST_ID));

  count_by_id (s->rack->ended, id);
  free (id);
}

/** Ends the response as complete. */
static void
stream_end (struct stream *st)
{
  struct httpd_req *req = st->req;

  count_ended (st->s, req);
  stream_close (st);
  httpd_end (req, true);
}

/** Event of a stream after which a response without end begins. */
#define ENDLESS_AFTER 2

/** Bytes of a response without end that are written at a time. */
#define ENDLESS_BYTES ((size_t)64 * 1024)

static void
send_endless (void *ctx)
{
  struct stream *st = ctx;
  struct server *s = st->s;
  struct buf text = BUF_INIT;

  if (!s->endless[0])
    {
      stream_end (st);
      return;
    }
  while (text.len < ENDLESS_BYTES)
    buf_add_c (&text, s->endless);
  st->endless_sent += text.len;
  if (st->endless_sent > s->endless_max)
    s->endless_max = st->endless_sent;
  httpd_write (st->req, buf_str (&text));
  buf_free (&text);
}

static void
start_endless (struct stream *st)
{
  uv_timer_stop (&st->timer);
  httpd_on_drained (st->req, send_endless, st);
  send_endless (st);
}

static void
on_event (uv_timer_t *t)
{
  struct stream *st = t->data;
  struct server *s = st->s;
  struct httpd_req *req = st->req;
  char text[64];
  int n;

  if (s->unresponsive || s->paused || replica_stalled (s)
      || (st->side && s->rack->cut == CUT_SILENT))
    return;
  if (s->endless[0] && (!s->engine || st->next_event > ENDLESS_AFTER))
    {
      start_endless (st);
      return;
    }
  if (st->next_event > s->rack->events)
    {
      /* Resumed after the last event: only the end is left to send. */
      stream_end (st);
      return;
    }
  n = snprintf (text, sizeof text, "id: %d\ndata: w%d\n\n", st->next_event,
                st->next_event);
  httpd_write (req, str_make (text, (size_t)n));
  if ((s->cut_after && st->next_event >= s->cut_after)
      || (s->end_after && st->next_event >= s->end_after))
    {
      bool clean_end = s->end_after != 0;
      s->cut_after = s->end_after = 0;
      httpd_write (req, STR ("id: 9"));
      stream_close (st);
      httpd_end (req, clean_end);
    }
  else if (st->next_event++ >= s->rack->events)
    stream_end (st);
}

static size_t
make_headers (struct server *s, struct httpd_req *req, const char *type,
              struct http_header *h)
{
  size_t n = 0;

  h[n++] = (struct http_header){ STR ("content-type"), str_from (type) };
  h[n++] = (struct http_header){ STR (PLT_H_REQUEST_ID),
                                 httpd_header (req, PLT_H_REQUEST_ID) };
  /* Keeps the HTTP library from sending chunks. */
  if (s->rack->unframed)
    h[n++]
        = (struct http_header){ STR ("transfer-encoding"), STR ("identity") };
  if (!s->unsealed)
    h[n++] = (struct http_header){ STR (PLT_H_SEAL), str_from (s->id) };
  n += rack_limit_header (&s->limit, &h[n]);
  n += rack_avail_headers (s, req, false, &h[n]);
  return n;
}

static void
start_stream (struct server *s, struct httpd_req *req, bool side)
{
  struct stream *st = xcalloc (1, sizeof *st);
  struct http_header h[MAX_HEADERS];
  size_t n = make_headers (
      s, req, s->engine ? "text/event-stream" : "application/json", h);
  int64_t last = 0;

  str_to_i64 (httpd_header (req, PLT_H_LAST_EVENT), &last);
  st->s = s;
  st->req = req;
  st->side = side;
  st->next_event = (int)last + 1;
  s->open++;
  st->list_next = s->streams;
  st->list_prev = &s->streams;
  if (st->list_next)
    st->list_next->list_prev = &st->list_next;
  s->streams = st;
  httpd_on_disconnect (req, on_stream_disconnect, st);
  uv_timer_init (&s->rack->loop, &st->timer);
  st->timer.data = st;
  httpd_begin (req, 200, h, n);
  uv_timer_start (&st->timer, on_event, (uint64_t)s->rack->event_ms,
                  (uint64_t)s->rack->event_ms);
}

static void
reject_request (struct server *s, struct httpd_req *req, int status)
{
  struct http_header h[MAX_HEADERS] = { { STR (PLT_H_NOT_RUN), STR ("1") } };
  size_t n = 1;

  if (status != 421)
    n += rack_avail_headers (s, req, true, &h[n]);
  httpd_answer (req, status, h, n, STR_EMPTY);
}

static void
count_run (struct server *s, const char *id)
{
  s->runs++;
  count_by_id (s->rack->runs, id);
}

static bool
accepts_requests (const struct server *s)
{
  return !s->engine || (s->member_state == MEMBER_OPEN && s->rank == 0);
}

void
rack_server_run_abandoned (struct server *s, const char *id, const char *order)
{
  json_object *o = order ? jsn_parse (str_from (order)) : NULL;

  if (o)
    {
      do_order (s, o);
      rack_server_publish (s);
      json_object_put (o);
    }
  else if (!order && accepts_requests (s) && !s->avail.rejects)
    count_run (s, id);
}

static void
on_crash (uv_timer_t *t)
{
  struct server *s = t->data;
  struct rack *r = s->rack;

  if (s->crashes_by_part && !s->dead && ++r->part_crashes == PART_CRASHES)
    r->last_allowed_part_crash_at = clk_now ();
  s->crashes_by_part = false;
  rack_server_crash (s);
}

/** Crashes the server after the event that is being processed. */
static void
crash_soon (struct server *s)
{
  if (!uv_is_active ((uv_handle_t *)&s->crash_timer))
    uv_timer_start (&s->crash_timer, on_crash, 0, 0);
}

static void
count_part_run (struct rack *r)
{
  r->part_runs++;
  if (r->part_crashes >= PART_CRASHES
      && clk_now () - r->last_allowed_part_crash_at > PART_CONTACT_MS)
    r->part_late++;
}

/** Whether the prompt has the part before its last one. */
static bool
has_part (struct str prompt, const char *part)
{
  for (size_t end; (end = str_chr (prompt, ',')) < prompt.len;
       prompt = str_skip (prompt, end + 1))
    if (str_is (str_head (prompt, str_chr (prompt, ':')), part))
      return true;
  return false;
}

/** Whether the request crashes the server; starts the crash timer if so. */
static bool
schedule_crash (struct server *s, struct httpd_req *req)
{
  struct rack *r = s->rack;
  bool by_part = r->crash_part[0]
                 && has_part (httpd_header (req, PLT_H_PROMPT), r->crash_part);

  if (by_part)
    count_part_run (r);
  s->crashes_by_part = s->crashes_by_part || by_part;
  if (!by_part
      && (!r->crash_body[0] || !str_is (httpd_get (req)->body, r->crash_body)))
    return false;
  if (!uv_is_active ((uv_handle_t *)&s->crash_timer))
    uv_timer_start (&s->crash_timer, on_crash, (uint64_t)r->crash_ms, 0);
  return true;
}

static void
answer_plain (struct server *s, struct httpd_req *req)
{
  struct http_header h[MAX_HEADERS];
  size_t n = make_headers (s, req, "application/json", h);
  struct buf body = BUF_INIT;

  buf_addf (&body, "{\"server\":\"%s\",\"account\":", s->id);
  buf_add_json (&body, httpd_header (req, PLT_H_ACCOUNT));
  buf_add_c (&body, ",\"key\":");
  buf_add_json (&body, httpd_header (req, PLT_H_KEY));
  buf_add_c (&body, "}");
  if (s->fail_status < 300)
    count_ended (s, req);
  if (s->rack->unframed)
    {
      httpd_begin (req, s->fail_status ? s->fail_status : 200, h, n);
      httpd_write (req, buf_str (&body));
      httpd_end (req, true);
    }
  else
    httpd_answer (req, s->fail_status ? s->fail_status : 200, h, n,
                  buf_str (&body));
  buf_free (&body);
}

void
rack_server_on_request (struct server *s, struct httpd_req *req, bool side)
{
  struct str path = httpd_get (req)->path;

  if (s->unresponsive)
    return;
  if (s->paused)
    {
      rack_pause_hold (s, req, side);
      return;
    }
  if (!str_is (httpd_header (req, PLT_H_EXPECT), s->id))
    {
      reject_request (s, req, 421);
      return;
    }
  rack_avail_count_arrival (s, req);
  if (!str_is (path, PLT_ORDER) && !str_is (path, PLT_REPORT))
    rack_zone_count_arrival (s);
  if (str_is (path, PLT_ORDER))
    on_order (s, req);
  else if (str_is (path, PLT_REPORT))
    {
      struct http_header h[MAX_HEADERS];
      size_t n = rack_avail_headers (s, req, false, h);
      char cold[24];
      n += rack_cold_header (s, &h[n], cold, sizeof cold);
      httpd_answer (req, 200, h, n, STR ("{}"));
    }
  else if (!accepts_requests (s))
    reject_request (s, req,
                    s->member_state == MEMBER_READY
                            || s->member_state == MEMBER_BROKEN
                        ? 503
                        : 421);
  else if (s->avail.rejects)
    {
      s->rejected++;
      reject_request (s, req, 503);
    }
  else
    {
      bool crashes = schedule_crash (s, req);
      rack_limit_count_arrival (&s->limit);
      char *id = str_dup (httpd_header (req, PLT_H_REQUEST_ID));
      count_run (s, id);
      free (id);
      if (rack_cold_count_arrival (s))
        crash_soon (s);
      else if (s->engine || s->endless[0])
        start_stream (s, req, side);
      else if (!crashes)
        answer_plain (s, req);
    }
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  rack_server_on_request (ctx, req, false);
}

void
rack_server_close_side (struct server *s)
{
  struct stream *next;

  for (struct stream *st = s->streams; st; st = next)
    {
      next = st->list_next;
      if (st->side)
        stream_close (st);
    }
}

static bool
listen_for_requests (struct server *s)
{
  struct httpd_limits limits
      = { .max_body = 8 << 20, .max_connections = 1000, .request_ms = 30000 };
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
  return rack_cut_start (s);
}

bool
rack_server_start (struct server *s)
{
  if (!listen_for_requests (s))
    return false;
  uv_timer_init (&s->rack->loop, &s->timer);
  s->timer.data = s;
  uv_timer_init (&s->rack->loop, &s->crash_timer);
  s->crash_timer.data = s;
  rack_pause_init (s);
  s->start_time = clk_wall ();
  rack_server_publish (s);
  return true;
}

void
rack_server_stop (struct server *s)
{
  if (s->dead)
    return;
  s->dead = true;
  rack_pause_cancel (s);
  httpd_free (s->httpd);
  if (s->side_httpd)
    httpd_free (s->side_httpd);
  s->side_httpd = NULL;
  rack_server_publish (s);
}

/** Time until the entry of a crashed server expires: three heartbeats. */
#define ENTRY_EXPIRY_MS 1500

static void
on_revived (uv_timer_t *t)
{
  struct server *s = t->data;

  if (!listen_for_requests (s))
    return;
  s->dead = false;
  rack_server_restart (s);
  rack_cold_begin (s, s->rack->cold_ms);
  rack_server_publish (s);
}

static void
on_entry_expired (uv_timer_t *t)
{
  struct server *s = t->data;

  rack_server_publish (s);
  if (s->rack->revive_ms)
    uv_timer_start (t, on_revived, (uint64_t)s->rack->revive_ms, 0);
}

void
rack_server_crash (struct server *s)
{
  if (s->dead)
    return;
  s->dead = true;
  s->rack->crashed++;
  rack_pause_cancel (s);
  while (s->streams)
    stream_close (s->streams);
  httpd_free (s->httpd);
  if (s->side_httpd)
    httpd_free (s->side_httpd);
  s->side_httpd = NULL;
  uv_timer_start (&s->timer, on_entry_expired, ENTRY_EXPIRY_MS, 0);
}

void
rack_server_restart (struct server *s)
{
  uv_timer_stop (&s->timer);
  s->model[0] = s->replica[0] = '\0';
  s->member_state = MEMBER_NONE;
  s->generation = s->fence = 0;
  s->nmembers = s->rank = 0;
  s->start_time = clk_wall ();
  rack_limit_set (&s->limit, "");
  memset (&s->avail, 0, sizeof s->avail);
}
