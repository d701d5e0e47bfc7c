/*
 * Stand-in of the platform's key-value service: the JSON gateway of etcd v3
 * with its limits, and faults by POST /control/set, at the port of the
 * service and at one of its own that stays up while the service is down:
 *
 *   "down": true, "mode": "refuse" (nobody listens), "silent" (requests are
 *       read and never answered) or "error" (refused, not applied)
 *   "delay_ms": N          wait, then apply, then answer
 *   "answer_delay_ms": N   apply, wait, then answer
 *   "lose_answer_next": N  apply the next N writes and close unanswered
 *   "drop_watches": true   cut every watch
 *   "silence_watches": B   watches get nothing more, and stay open
 *   "lapse_lease": ID or "all"
 *   "compact": true        forget the history
 *   "clear": true          no faults
 *
 * GET /control/counts: calls by kind; GET /control/dump: keys and leases.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "store/etcd-json.h"
#include "t/standin/fault.h"
#include "t/standin/kv.h"
#include "t/standin/standin.h"

#define MAX_REQUEST ((size_t)1536 * 1024)
#define MAX_TXN_OPS 128
#define TICK_MS 20

enum down_mode
{
  UP,
  DOWN_REFUSE,
  DOWN_SILENT,
  DOWN_ERROR
};

struct counts
{
  unsigned ranges, txns, puts, grants, keeps, revokes, watches;
  unsigned conflicts, lost, refused;
};

struct watch
{
  struct httpd_req *req;
  GBytes *from, *end;
  int64_t next; /* first revision that was not sent */
};

struct server
{
  uv_loop_t loop;
  uv_timer_t tick;
  struct net_addr at;
  struct httpd *api, *control;
  struct kv kv;
  struct counts counts;
  enum down_mode down;
  unsigned outages; /* times that the listener went, with its requests */
  int delay_ms, answer_delay_ms, lose_next;
  bool silence_watches;
  GPtrArray *watches;
};

/* A request while it is delayed. */
struct pending
{
  uv_timer_t timer;
  struct server *s;
  struct httpd_req *req; /* NULL once the caller has left */
  char *path;
  struct buf body;
  struct buf answer;
  int status;
  bool lose;
  unsigned outages; /* the server's when it came */
};

/* --- reading requests -------------------------------------------------- */

static json_object *
get (json_object *o, const char *key)
{
  json_object *v = NULL;

  if (o != NULL && json_object_is_type (o, json_type_object))
    json_object_object_get_ex (o, key, &v);
  return v;
}

/* Numbers come as strings or as numbers. */
static int64_t
get_num (json_object *o, const char *key)
{
  json_object *v = get (o, key);

  return v == NULL ? 0 : json_object_get_int64 (v);
}

static GBytes *
get_bytes (json_object *o, const char *key)
{
  json_object *v = get (o, key);
  struct buf b = BUF_INIT;
  GBytes *bytes;

  if (v != NULL)
    etcd_base64 (str_from (json_object_get_string (v)), &b);
  bytes = g_bytes_new (b.ptr, b.len);
  buf_free (&b);
  return bytes;
}

/* --- writing answers --------------------------------------------------- */

static void
add_header (struct server *s, struct buf *out)
{
  buf_addf (out, "\"header\":{\"cluster_id\":\"1\",\"revision\":\"%lld\"}",
            (long long)s->kv.revision);
}

static void
add_kv (struct buf *out, const struct kv_entry *e)
{
  buf_add_c (out, "{\"key\":");
  etcd_add_base64 (out, kv_str (e->key));
  buf_addf (out, ",\"mod_revision\":\"%lld\"", (long long)e->mod);
  if (e->value != NULL)
    {
      buf_addf (out, ",\"create_revision\":\"%lld\",\"value\":",
                (long long)e->create);
      etcd_add_base64 (out, kv_str (e->value));
    }
  if (e->value != NULL && e->lease != 0)
    buf_addf (out, ",\"lease\":\"%lld\"", (long long)e->lease);
  buf_add_char (out, '}');
}

static int
error (struct buf *out, int status, int code, const char *text)
{
  buf_clear (out);
  buf_addf (out, "{\"error\":\"%s\",\"code\":%d,\"message\":\"%s\"}", text,
            code, text);
  return status;
}

/* --- watches ----------------------------------------------------------- */

static void
watch_free (struct watch *w)
{
  g_bytes_unref (w->from);
  g_bytes_unref (w->end);
  g_free (w);
}

static void
watch_gone (void *ctx)
{
  struct watch *w = ctx;

  w->req = NULL; /* swept with the next change */
}

static void
add_event (struct buf *out, const struct kv_entry *e)
{
  if (out->len > 0)
    buf_add_char (out, ',');
  buf_addf (out, "{%s\"kv\":", e->value == NULL ? "\"type\":\"DELETE\"," : "");
  add_kv (out, e);
  buf_add_char (out, '}');
}

/* Oldest change from a revision on; the newest are at the tail. */
static GList *
first_since (struct server *s, int64_t revision)
{
  GList *first = NULL;

  for (GList *l = s->kv.history->tail; l != NULL; l = l->prev)
    {
      if (((const struct kv_entry *)l->data)->mod < revision)
        break;
      first = l;
    }
  return first;
}

/* Send what a watch has not got; all changes of a revision together. */
static void
watch_feed (struct server *s, struct watch *w)
{
  struct buf events = BUF_INIT, out = BUF_INIT;

  for (GList *l = first_since (s, w->next); l != NULL; l = l->next)
    {
      const struct kv_entry *e = l->data;
      if (kv_in_range (e->key, w->from, w->end))
        add_event (&events, e);
    }
  w->next = s->kv.revision + 1;
  if (events.len > 0)
    {
      buf_add_c (&out, "{\"result\":{");
      add_header (s, &out);
      buf_addf (&out, ",\"events\":[%s]}}\n", buf_c (&events));
      httpd_write (w->req, buf_str (&out));
    }
  buf_free (&events);
  buf_free (&out);
}

static void
feed_watches (struct server *s)
{
  for (guint i = 0; i < s->watches->len;)
    {
      struct watch *w = s->watches->pdata[i];
      if (w->req == NULL)
        {
          g_ptr_array_remove_index (s->watches, i);
          watch_free (w);
          continue;
        }
      if (!s->silence_watches && w->next <= s->kv.revision)
        watch_feed (s, w);
      i++;
    }
}

static void
drop_watches (struct server *s)
{
  for (guint i = 0; i < s->watches->len; i++)
    {
      struct watch *w = s->watches->pdata[i];
      if (w->req != NULL)
        httpd_end (w->req, false);
      watch_free (w);
    }
  g_ptr_array_set_size (s->watches, 0);
}

static void
watch_compacted (struct server *s, struct httpd_req *req)
{
  struct buf out = BUF_INIT;

  buf_add_c (&out, "{\"result\":{");
  add_header (s, &out);
  buf_addf (&out, ",\"canceled\":true,\"compact_revision\":\"%lld\"}}\n",
            (long long)s->kv.compacted + 1);
  httpd_write (req, buf_str (&out));
  httpd_end (req, true);
  buf_free (&out);
}

static void
watch_open (struct server *s, struct httpd_req *req, json_object *o)
{
  json_object *create = get (o, "create_request");
  struct watch *w = g_new0 (struct watch, 1);
  struct buf out = BUF_INIT;

  s->counts.watches++;
  httpd_begin (req, 200, NULL, 0);
  w->req = req;
  w->from = get_bytes (create, "key");
  w->end = get_bytes (create, "range_end");
  w->next = get_num (create, "start_revision");
  if (w->next == 0)
    w->next = s->kv.revision + 1;
  if (w->next <= s->kv.compacted)
    {
      watch_free (w);
      watch_compacted (s, req);
      return;
    }
  g_ptr_array_add (s->watches, w);
  httpd_on_gone (req, watch_gone, w);
  buf_add_c (&out, "{\"result\":{");
  add_header (s, &out);
  buf_add_c (&out, ",\"created\":true}}\n");
  httpd_write (req, buf_str (&out));
  buf_free (&out);
  feed_watches (s);
}

/* --- calls ------------------------------------------------------------- */

struct listing
{
  struct buf *out;
  int n;
};

static void
list_one (void *ctx, const struct kv_entry *e)
{
  struct listing *l = ctx;

  if (l->n++ > 0)
    buf_add_char (l->out, ',');
  add_kv (l->out, e);
}

static int
do_range (struct server *s, json_object *o, struct buf *out)
{
  GBytes *from = get_bytes (o, "key"), *end = get_bytes (o, "range_end");
  struct listing l = { out, 0 };

  buf_add_char (out, '{');
  add_header (s, out);
  buf_add_c (out, ",\"kvs\":[");
  kv_range (&s->kv, from, end, list_one, &l);
  buf_addf (out, "],\"count\":\"%d\"}", l.n);
  g_bytes_unref (from);
  g_bytes_unref (end);
  return 200;
}

static bool
compare_holds (struct server *s, json_object *c)
{
  GBytes *key = get_bytes (c, "key");
  const struct kv_entry *e = kv_get (&s->kv, key);

  g_bytes_unref (key);
  return (e != NULL ? e->mod : 0) == get_num (c, "mod_revision");
}

static bool
compares_hold (struct server *s, json_object *list)
{
  size_t n = list != NULL ? json_object_array_length (list) : 0;

  for (size_t i = 0; i < n; i++)
    if (!compare_holds (s, json_object_array_get_idx (list, i)))
      return false;
  return true;
}

static bool
leases_known (struct server *s, json_object *ops)
{
  size_t n = ops != NULL ? json_object_array_length (ops) : 0;

  for (size_t i = 0; i < n; i++)
    {
      json_object *put
          = get (json_object_array_get_idx (ops, i), "request_put");
      int64_t lease = get_num (put, "lease");
      if (lease != 0 && kv_lease (&s->kv, lease) == NULL)
        return false;
    }
  return true;
}

static bool
puts_twice (json_object *ops)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  size_t n = ops != NULL ? json_object_array_length (ops) : 0;
  bool twice = false;

  for (size_t i = 0; i < n; i++)
    {
      json_object *put
          = get (json_object_array_get_idx (ops, i), "request_put");
      json_object *key = get (put, "key");
      if (key != NULL
          && !g_hash_table_add (seen, (void *)json_object_get_string (key)))
        twice = true;
    }
  g_hash_table_unref (seen);
  return twice;
}

static void
apply_put (struct server *s, json_object *put, int64_t rev)
{
  GBytes *key = get_bytes (put, "key"), *value = get_bytes (put, "value");

  kv_put (&s->kv, key, value, get_num (put, "lease"), rev);
  g_bytes_unref (key);
  g_bytes_unref (value);
}

static void
apply_delete (struct server *s, json_object *del, int64_t rev)
{
  GBytes *key = get_bytes (del, "key"), *end = get_bytes (del, "range_end");

  kv_delete (&s->kv, key, end, rev);
  g_bytes_unref (key);
  g_bytes_unref (end);
}

static void
apply (struct server *s, json_object *ops, struct buf *out)
{
  size_t n = ops != NULL ? json_object_array_length (ops) : 0;
  int64_t rev = s->kv.revision + 1;

  for (size_t i = 0; i < n; i++)
    {
      json_object *op = json_object_array_get_idx (ops, i);
      json_object *put = get (op, "request_put");
      json_object *del = get (op, "request_delete_range");
      json_object *range = get (op, "request_range");
      buf_add_c (out, i > 0 ? "," : "");
      if (put != NULL)
        apply_put (s, put, rev);
      if (del != NULL)
        apply_delete (s, del, rev);
      if (range == NULL)
        {
          buf_add_c (out, "{}");
          continue;
        }
      buf_add_c (out, "{\"response_range\":");
      do_range (s, range, out);
      buf_add_char (out, '}');
    }
}

static size_t
array_len (json_object *o)
{
  return o != NULL ? json_object_array_length (o) : 0;
}

static int
do_txn (struct server *s, json_object *o, struct buf *out)
{
  json_object *compare = get (o, "compare");
  bool ok = compares_hold (s, compare);
  json_object *ops = get (o, ok ? "success" : "failure");
  struct buf responses = BUF_INIT;

  if (array_len (compare) > MAX_TXN_OPS
      || array_len (get (o, "success")) > MAX_TXN_OPS)
    return error (out, 400, ETCD_INVALID_ARGUMENT,
                  "too many operations in txn request");
  if (puts_twice (get (o, "success")))
    return error (out, 400, ETCD_INVALID_ARGUMENT,
                  "duplicate key given in txn request");
  if (!leases_known (s, ops))
    return error (out, 404, ETCD_NOT_FOUND, "requested lease not found");
  s->counts.conflicts += !ok;
  apply (s, ops, &responses);
  buf_add_char (out, '{');
  add_header (s, out);
  buf_addf (out, "%s,\"responses\":[%s]}", ok ? ",\"succeeded\":true" : "",
            responses.len > 0 ? buf_c (&responses) : "");
  buf_free (&responses);
  return 200;
}

static int
do_put (struct server *s, json_object *o, struct buf *out)
{
  apply_put (s, o, s->kv.revision + 1);
  buf_add_char (out, '{');
  add_header (s, out);
  buf_add_char (out, '}');
  return 200;
}

static int
do_grant (struct server *s, json_object *o, struct buf *out)
{
  clk_ms ttl = get_num (o, "TTL") * CLK_SECOND;
  int64_t id = kv_grant (&s->kv, ttl, clk_now ());

  buf_add_char (out, '{');
  add_header (s, out);
  buf_addf (out, ",\"ID\":\"%lld\",\"TTL\":\"%lld\"}", (long long)id,
            (long long)(ttl / CLK_SECOND));
  return 200;
}

static int
do_keep (struct server *s, json_object *o, struct buf *out)
{
  int64_t id = get_num (o, "ID");
  struct kv_lease *l = kv_lease (&s->kv, id);

  buf_add_c (out, "{\"result\":{");
  add_header (s, out);
  buf_addf (out, ",\"ID\":\"%lld\"", (long long)id);
  if (l != NULL)
    {
      l->expires = clk_now () + l->ttl;
      buf_addf (out, ",\"TTL\":\"%lld\"", (long long)(l->ttl / CLK_SECOND));
    }
  buf_add_c (out, "}}\n");
  return 200;
}

static int
do_revoke (struct server *s, json_object *o, struct buf *out)
{
  int64_t id = get_num (o, "ID");

  if (kv_lease (&s->kv, id) == NULL)
    return error (out, 404, ETCD_NOT_FOUND, "requested lease not found");
  kv_revoke (&s->kv, id);
  buf_add_char (out, '{');
  add_header (s, out);
  buf_add_char (out, '}');
  return 200;
}

struct call
{
  const char *path;
  int (*run) (struct server *s, json_object *o, struct buf *out);
  size_t counter; /* offset in struct counts */
  bool write;
};

static const struct call calls[] = {
  { "/v3/kv/range", do_range, offsetof (struct counts, ranges), false },
  { "/v3/kv/txn", do_txn, offsetof (struct counts, txns), true },
  { "/v3/kv/put", do_put, offsetof (struct counts, puts), true },
  { "/v3/lease/grant", do_grant, offsetof (struct counts, grants), true },
  { "/v3/lease/keepalive", do_keep, offsetof (struct counts, keeps), true },
  { "/v3/lease/revoke", do_revoke, offsetof (struct counts, revokes), true }
};

static const struct call *
find_call (const char *path)
{
  for (size_t i = 0; i < sizeof calls / sizeof calls[0]; i++)
    if (strcmp (path, calls[i].path) == 0)
      return &calls[i];
  return NULL;
}

/* --- requests and their delays ----------------------------------------- */

static void
on_pending_closed (uv_handle_t *h)
{
  struct pending *p = h->data;

  free (p->path);
  buf_free (&p->body);
  buf_free (&p->answer);
  free (p);
}

static void
pending_end (struct pending *p)
{
  uv_close ((uv_handle_t *)&p->timer, on_pending_closed);
}

static void
pending_gone (void *ctx)
{
  struct pending *p = ctx;

  p->req = NULL; /* the write happens all the same */
}

static void
answer (struct pending *p)
{
  struct http_header type = { STR ("content-type"), STR ("application/json") };

  if (p->req == NULL || p->outages != p->s->outages)
    return;
  if (p->lose)
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
  struct pending *p = t->data;

  answer (p);
  pending_end (p);
}

static void
on_apply_time (uv_timer_t *t)
{
  struct pending *p = t->data;
  struct server *s = p->s;
  const struct call *c = find_call (p->path);
  json_object *o = json_tokener_parse (buf_c (&p->body));

  kv_expire (&s->kv, clk_now ());
  *(unsigned *)((char *)&s->counts + c->counter) += 1;
  if (p->body.len > MAX_REQUEST)
    p->status = error (&p->answer, 400, ETCD_INVALID_ARGUMENT,
                       "request is too large");
  else if (o == NULL)
    p->status = error (&p->answer, 400, ETCD_INVALID_ARGUMENT, "no JSON");
  else
    p->status = c->run (s, o, &p->answer);
  json_object_put (o);
  if (c->write && s->lose_next > 0)
    {
      s->lose_next--;
      s->counts.lost++;
      p->lose = true;
    }
  feed_watches (s);
  if (s->answer_delay_ms > 0)
    uv_timer_start (t, on_answer_time, (uint64_t)s->answer_delay_ms, 0);
  else
    on_answer_time (t);
}

static void
take_call (struct server *s, struct httpd_req *req, const char *path)
{
  struct pending *p = xcalloc (1, sizeof *p);

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
  httpd_on_gone (req, pending_gone, p);
  uv_timer_start (&p->timer, on_apply_time, (uint64_t)s->delay_ms, 0);
}

static void
take_watch (struct server *s, struct httpd_req *req)
{
  char *text = str_dup (httpd_get (req)->body);
  json_object *o = json_tokener_parse (text);

  free (text);
  if (o == NULL)
    httpd_answer (req, 400, NULL, 0, STR ("no JSON\n"));
  else
    watch_open (s, req, o);
  json_object_put (o);
}

static void
silent_gone (void *ctx)
{
}

static void
take_api (struct server *s, struct httpd_req *req)
{
  struct buf out = BUF_INIT;
  char *path = str_dup (httpd_get (req)->path);

  if (s->down != UP)
    s->counts.refused++;
  if (s->down == DOWN_ERROR)
    {
      error (&out, 429, ETCD_RESOURCE_EXHAUSTED, "stand-in is down");
      httpd_answer (req, 429, NULL, 0, buf_str (&out));
    }
  else if (s->down != UP)
    httpd_on_gone (req, silent_gone, NULL); /* never answered */
  else if (strcmp (path, "/v3/watch") == 0)
    take_watch (s, req);
  else if (find_call (path) != NULL)
    take_call (s, req, path);
  else
    {
      error (&out, 404, ETCD_NOT_FOUND, "Not Found");
      httpd_answer (req, 404, NULL, 0, buf_str (&out));
    }
  buf_free (&out);
  free (path);
}

/* --- control ----------------------------------------------------------- */

static const struct httpd_limits limits = { 8 << 20, 20000, 30000 };

static void on_request (void *ctx, struct httpd_req *req);

static void
set_down (struct server *s, enum down_mode mode)
{
  s->down = mode;
  if (mode == DOWN_REFUSE && s->api != NULL)
    {
      drop_watches (s);
      s->outages++;
      httpd_free (s->api);
      s->api = NULL;
    }
  else if (mode != DOWN_REFUSE && s->api == NULL)
    s->api = httpd_listen (&s->loop, &s->at, &limits, on_request, s, NULL);
}

static enum down_mode
mode_of (json_object *o)
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
lapse (struct server *s, json_object *which)
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
  feed_watches (s);
}

static void
clear_faults (struct server *s)
{
  s->delay_ms = s->answer_delay_ms = s->lose_next = 0;
  s->silence_watches = false;
  set_down (s, UP);
}

static void
apply_faults (struct server *s, json_object *o)
{
  json_object *which;

  if (json_flag (o, "clear", false))
    clear_faults (s);
  s->delay_ms = (int)json_num (o, "delay_ms", s->delay_ms);
  s->answer_delay_ms
      = (int)json_num (o, "answer_delay_ms", s->answer_delay_ms);
  s->lose_next = (int)json_num (o, "lose_answer_next", s->lose_next);
  s->silence_watches = json_flag (o, "silence_watches", s->silence_watches);
  if (json_object_object_get_ex (o, "lapse_lease", &which))
    lapse (s, which);
  if (json_flag (o, "compact", false))
    kv_compact (&s->kv);
  if (json_flag (o, "drop_watches", false))
    drop_watches (s);
}

static void
apply_json (struct server *s, json_object *o)
{
  json_object *down = NULL;

  apply_faults (s, o);
  if (json_object_object_get_ex (o, "down", &down))
    set_down (s, mode_of (o));
}

/*
 * In force once answered.  At the port of the service the answer goes first,
 * as in mode "refuse" its own connection goes too.
 */
static void
control_set (struct server *s, struct httpd_req *req, bool at_service)
{
  char *text = str_dup (httpd_get (req)->body);
  json_object *o = json_tokener_parse (text);

  free (text);
  if (o == NULL)
    {
      httpd_answer (req, 400, NULL, 0, STR ("no JSON\n"));
      return;
    }
  if (at_service)
    httpd_answer (req, 200, NULL, 0, STR ("{}\n"));
  apply_json (s, o);
  if (!at_service)
    httpd_answer (req, 200, NULL, 0, STR ("{}\n"));
  json_object_put (o);
}

static void
control_counts (struct server *s, struct httpd_req *req)
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
control_dump (struct server *s, struct httpd_req *req)
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
take (struct server *s, struct httpd_req *req, bool at_service)
{
  struct str path = httpd_get (req)->path;

  if (str_is (path, "/control/set"))
    control_set (s, req, at_service);
  else if (str_is (path, "/control/counts"))
    control_counts (s, req);
  else if (str_is (path, "/control/dump"))
    control_dump (s, req);
  else
    take_api (s, req);
}

static void
on_request (void *ctx, struct httpd_req *req)
{
  take (ctx, req, true);
}

static void
on_control_request (void *ctx, struct httpd_req *req)
{
  take (ctx, req, false);
}

/* --- the process ------------------------------------------------------- */

static void
on_tick (uv_timer_t *t)
{
  struct server *s = t->data;

  if (kv_expire (&s->kv, clk_now ()))
    feed_watches (s);
}

static bool
serve (struct server *s, struct httpd **d, struct net_addr *at,
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
run (struct server *s, const char *listen)
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
  static struct server s;
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
