#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"
#include "platform/names.h"
#include "standins/rack.h"

/** Pending long poll. */
struct watch_call
{
  struct rack *r;
  struct watch_call *next;
  struct httpd_req *req; /* NULL after the client disconnected */
  char *prefix;
  int64_t after;
  clk_ms deadline;
  bool side; /* came by the second port */
};

/** Write that is executed later. */
struct held_txn
{
  struct held_txn *next;
  struct httpd_req *req; /* NULL after the client disconnected */
  json_object *body;
};

/** List of items that is being filled. */
struct item_list
{
  struct rack *r;
  json_object *list;
};

/* --- requests and responses -------------------------------------------- */

/** The value in base64, with the servers' second addresses where these apply;
    free with g_free(). */
static gchar *
encode_value (const struct rack *r, const struct kv_entry *e)
{
  struct str value = kv_str (e->value);
  GString *text = g_string_new_len (value.ptr, (gssize)value.len);
  gchar *encoded;

  if (r->side_view && str_starts (kv_str (e->key), STR (PLT_PREFIX_SERVERS)))
    rack_cut_rewrite (r, text);
  encoded = g_base64_encode ((const guchar *)text->str, text->len);
  g_string_free (text, TRUE);
  return encoded;
}

static void
add_item (const struct rack *r, json_object *list, const struct kv_entry *e)
{
  struct str key = kv_str (e->key);
  json_object *o;

  if (r->side_view && !rack_cut_shows (r, key))
    return;
  o = json_object_new_object ();
  json_object_object_add (o, "key",
                          json_object_new_string_len (key.ptr, (int)key.len));
  json_object_object_add (o, "rev", json_object_new_int64 (e->mod));
  if (e->value == NULL)
    json_object_object_add (o, "tombstone", json_object_new_boolean (true));
  else
    {
      gchar *text = encode_value (r, e);
      json_object_object_add (o, "value", json_object_new_string (text));
      json_object_object_add (o, "create_revision",
                              json_object_new_int64 (e->create));
      json_object_object_add (o, "lease", json_object_new_int64 (e->lease));
      g_free (text);
    }
  json_object_array_add (list, o);
}

static void
answer_text (struct rack *r, struct httpd_req *req, int status,
             struct str body)
{
  char era[24];
  struct http_header h[]
      = { { STR ("content-type"), STR ("application/json") },
          { STR (PLT_H_ERA), STR_EMPTY } };

  if (req == NULL) /* a held write whose client disconnected */
    return;
  snprintf (era, sizeof era, "%lld", (long long)r->kv.era);
  h[1].value = str_from (era);
  r->store_bytes += body.len;
  httpd_answer (req, status, h, 2, body);
}

static void
answer_json (struct rack *r, struct httpd_req *req, int status, json_object *o)
{
  answer_text (r, req, status, str_from (json_object_to_json_string (o)));
  json_object_put (o);
}

static GBytes *
to_bytes (struct str s)
{
  return g_bytes_new (s.ptr, s.len);
}

/** Unescaped value of a query parameter; free with g_free(). */
static char *
query_param (struct httpd_req *req, const char *name)
{
  struct str q = httpd_get (req)->query;
  size_t len = strlen (name);

  while (q.len > 0)
    {
      size_t end = str_chr (q, '&');
      if (end > len && memcmp (q.ptr, name, len) == 0 && q.ptr[len] == '=')
        return g_uri_unescape_segment (q.ptr + len + 1, q.ptr + end, NULL);
      q = str_skip (q, end + 1);
    }
  return g_strdup ("");
}

/* --- reading ----------------------------------------------------------- */

static void
collect_item (void *ctx, const struct kv_entry *e)
{
  const struct item_list *l = ctx;

  add_item (l->r, l->list, e);
}

static void
on_get (struct rack *r, struct httpd_req *req)
{
  char *key = query_param (req, "key");
  GBytes *bytes = g_bytes_new (key, strlen (key));
  struct kv_entry *e = kv_get (&r->kv, bytes);
  json_object *list = json_object_new_array (), *o;

  if (e == NULL)
    answer_text (r, req, 404, STR_EMPTY);
  else
    {
      add_item (r, list, e);
      o = json_object_get (json_object_array_get_idx (list, 0));
      json_object_object_add (o, "store_revision",
                              json_object_new_int64 (r->kv.revision));
      answer_json (r, req, 200, o);
    }
  json_object_put (list);
  g_bytes_unref (bytes);
  g_free (key);
}

static GBytes *
prefix_end (const char *prefix)
{
  struct buf end = BUF_INIT;
  GBytes *bytes;

  buf_add_c (&end, prefix);
  if (end.len > 0)
    end.ptr[end.len - 1]++;
  bytes = g_bytes_new (end.ptr, end.len);
  buf_free (&end);
  return bytes;
}

static void
on_range (struct rack *r, struct httpd_req *req)
{
  char *prefix = query_param (req, "prefix");
  GBytes *from = g_bytes_new (prefix, strlen (prefix));
  GBytes *end = prefix_end (prefix);
  json_object *o = json_object_new_object ();
  json_object *list = json_object_new_array ();
  struct item_list items = { r, list };

  if (!r->fault.no_items)
    kv_range (&r->kv, from, end, collect_item, &items);
  json_object_object_add (o, "items", list);
  json_object_object_add (o, "truncated",
                          json_object_new_boolean (r->fault.no_items));
  json_object_object_add (o, "store_revision",
                          json_object_new_int64 (r->kv.revision));
  answer_json (r, req, 200, o);
  g_bytes_unref (from);
  g_bytes_unref (end);
  g_free (prefix);
}

/* --- watches ----------------------------------------------------------- */

static size_t
events_after (struct rack *r, const struct watch_call *w, json_object *list)
{
  size_t n = 0;

  for (GList *l = r->kv.history->head; l; l = l->next)
    {
      const struct kv_entry *e = l->data;
      struct str key = kv_str (e->key);
      if (e->mod <= w->after || !str_starts (key, str_from (w->prefix)))
        continue;
      add_item (r, list, e);
      n++;
    }
  return n;
}

/** Answers the watch if it has events, its timeout has passed or it starts
    outside the history; true if the watch has ended. */
static bool
try_answer_watch (struct rack *r, struct watch_call *w)
{
  json_object *o, *list;
  size_t n;

  if (w->req == NULL)
    return true;
  if (r->fault.silent)
    return false;
  if (w->after < r->kv.compacted || w->after > r->kv.revision)
    {
      answer_text (r, w->req, 410, STR_EMPTY);
      return true;
    }
  list = json_object_new_array ();
  r->side_view = w->side;
  n = events_after (r, w, list);
  r->side_view = false;
  if (n == 0 && clk_now () < w->deadline)
    {
      json_object_put (list);
      return false;
    }
  o = json_object_new_object ();
  json_object_object_add (o, "events", list);
  json_object_object_add (o, "store_revision",
                          json_object_new_int64 (r->kv.revision));
  answer_json (r, w->req, 200, o);
  return true;
}

void
rack_answer_watches (struct rack *r)
{
  for (struct watch_call **p = &r->watches; *p;)
    {
      struct watch_call *w = *p;
      if (!try_answer_watch (r, w))
        {
          p = &w->next;
          continue;
        }
      *p = w->next;
      g_free (w->prefix);
      free (w);
    }
}

static void
on_watch_disconnect (void *ctx)
{
  struct watch_call *w = ctx;

  w->req = NULL;
}

static void
on_watch (struct rack *r, struct httpd_req *req)
{
  struct watch_call *w = xcalloc (1, sizeof *w);
  char *after = query_param (req, "after"),
       *wait = query_param (req, "wait_ms");

  w->r = r;
  w->req = req;
  w->side = r->side_view;
  w->prefix = query_param (req, "prefix");
  w->after = atoll (after);
  w->deadline = clk_now () + atoll (wait);
  w->next = r->watches;
  r->watches = w;
  httpd_on_disconnect (req, on_watch_disconnect, w);
  g_free (after);
  g_free (wait);
}

/* --- writing ----------------------------------------------------------- */

static bool
conditions_met (struct rack *r, json_object *expected)
{
  size_t n = json_object_array_length (expected);

  for (size_t i = 0; i < n; i++)
    {
      json_object *row = json_object_array_get_idx (expected, i);
      GBytes *key = to_bytes (jsn_str (row, "key"));
      const struct kv_entry *e = kv_get (&r->kv, key);
      g_bytes_unref (key);
      if ((e ? e->mod : 0) != jsn_int (row, "rev"))
        return false;
    }
  return true;
}

static void
apply (struct rack *r, json_object *writes, json_object *removed)
{
  int64_t rev = ++r->kv.revision;

  for (size_t i = 0; i < json_object_array_length (writes); i++)
    {
      json_object *row = json_object_array_get_idx (writes, i);
      GBytes *key = to_bytes (jsn_str (row, "key"));
      gsize len;
      guchar *text = g_base64_decode (jsn_text (row, "value"), &len);
      GBytes *value = g_bytes_new_take (text, len);
      kv_put (&r->kv, key, value, jsn_int (row, "lease"), rev);
      g_bytes_unref (key);
      g_bytes_unref (value);
    }
  for (size_t i = 0; i < json_object_array_length (removed); i++)
    {
      GBytes *key = to_bytes (str_from (
          json_object_get_string (json_object_array_get_idx (removed, i))));
      GBytes *no_end = g_bytes_new ("", 0);
      kv_delete (&r->kv, key, no_end, rev);
      g_bytes_unref (key);
      g_bytes_unref (no_end);
    }
}

static bool
leases_exist (struct rack *r, json_object *writes)
{
  for (size_t i = 0; i < json_object_array_length (writes); i++)
    {
      int64_t id = jsn_int (json_object_array_get_idx (writes, i), "lease");
      if (id && kv_find_lease (&r->kv, id) == NULL)
        return false;
    }
  return true;
}

/** Whether a node behind the second port attempts to become leader.  As leader
    it would send the servers' second addresses to the nodes that are not to be
    partitioned. */
static bool
takes_leadership (const struct rack *r, json_object *writes)
{
  for (size_t i = 0; r->side_view && i < json_object_array_length (writes);
       i++)
    if (str_is (jsn_str (json_object_array_get_idx (writes, i), "key"),
                PLT_PREFIX_OWN "duty"))
      return true;
  return false;
}

/** @param req  NULL: its client disconnected */
static void
execute_txn (struct rack *r, json_object *o, struct httpd_req *req)
{
  json_object *out;
  size_t n;
  json_object *expected = jsn_array (o, "expected", &n);
  json_object *writes = jsn_array (o, "writes", &n);
  json_object *removed = jsn_array (o, "remove", &n);

  if (!expected || !writes || !removed)
    answer_text (r, req, 400, STR_EMPTY);
  else if (takes_leadership (r, writes))
    answer_text (r, req, 503, STR_EMPTY);
  else if (!leases_exist (r, writes))
    answer_text (r, req, 404, STR_EMPTY);
  else if (!conditions_met (r, expected))
    answer_text (r, req, 412, STR ("{\"items\":[]}"));
  else
    {
      apply (r, writes, removed);
      if (r->fault.lose_next_writes > 0)
        {
          r->fault.lose_next_writes--;
          if (req)
            {
              httpd_begin (req, 200, NULL, 0);
              httpd_end (req, false);
            }
        }
      else
        {
          out = json_object_new_object ();
          json_object_object_add (out, "rev",
                                  json_object_new_int64 (r->kv.revision));
          answer_json (r, req, 200, out);
        }
    }
}

static void
on_held_disconnect (void *ctx)
{
  struct held_txn *h = ctx;

  h->req = NULL;
}

static void
hold_txn (struct rack *r, struct httpd_req *req)
{
  struct held_txn **last = &r->held_txns;
  struct held_txn *h = xcalloc (1, sizeof *h);

  while (*last)
    last = &(*last)->next;
  *last = h;
  h->req = req;
  h->body = jsn_parse (httpd_get (req)->body);
  r->fault.hold_most--;
  httpd_on_disconnect (req, on_held_disconnect, h);
}

void
rack_store_execute_held (struct rack *r)
{
  struct held_txn *h;

  while ((h = r->held_txns))
    {
      r->held_txns = h->next;
      execute_txn (r, h->body, h->req);
      json_object_put (h->body);
      free (h);
    }
  rack_answer_watches (r);
}

static void
on_txn (struct rack *r, struct httpd_req *req)
{
  json_object *o = jsn_parse (httpd_get (req)->body);

  execute_txn (r, o, req);
  json_object_put (o);
}

/** Whether the write is held: the key that it writes first contains the text
    of the fault. */
static bool
is_held (const struct rack *r, struct httpd_req *req)
{
  json_object *o = jsn_parse (httpd_get (req)->body);
  size_t n;
  json_object *writes = jsn_array (o, "writes", &n);
  bool held
      = n > 0 && r->fault.hold[0] && r->fault.hold_most > 0
        && strstr (jsn_text (json_object_array_get_idx (writes, 0), "key"),
                   r->fault.hold);

  json_object_put (o);
  return held;
}

static void
on_grant (struct rack *r, struct httpd_req *req)
{
  json_object *in = jsn_parse (httpd_get (req)->body);
  json_object *out = json_object_new_object ();
  clk_ms ttl = jsn_int (in, "ttl_ms");

  json_object_object_add (
      out, "lease",
      json_object_new_int64 (kv_grant (&r->kv, ttl, clk_now ())));
  json_object_object_add (out, "ttl_ms", json_object_new_int64 (ttl));
  answer_json (r, req, 200, out);
  json_object_put (in);
}

static void
on_keepalive (struct rack *r, struct httpd_req *req, int64_t id)
{
  struct kv_lease *l = kv_find_lease (&r->kv, id);
  json_object *out;

  if (l == NULL)
    {
      answer_text (r, req, 404, STR_EMPTY);
      return;
    }
  l->expires = clk_now () + l->ttl;
  out = json_object_new_object ();
  json_object_object_add (out, "ttl_ms", json_object_new_int64 (l->ttl));
  answer_json (r, req, 200, out);
}

/* --- dispatch ---------------------------------------------------------- */

void
rack_store_put (struct rack *r, const char *key, const char *value)
{
  GBytes *k = g_bytes_new (key, strlen (key));
  GBytes *v = g_bytes_new (value, strlen (value));

  kv_put (&r->kv, k, v, 0, ++r->kv.revision);
  g_bytes_unref (k);
  g_bytes_unref (v);
}

void
rack_store_remove (struct rack *r, const char *key)
{
  GBytes *k = g_bytes_new (key, strlen (key)), *no_end = g_bytes_new ("", 0);

  if (kv_get (&r->kv, k))
    kv_delete (&r->kv, k, no_end, ++r->kv.revision);
  g_bytes_unref (k);
  g_bytes_unref (no_end);
}

static int64_t
parse_id (struct str path, const char *prefix)
{
  int64_t id = 0;

  str_to_i64 (str_skip (path, strlen (prefix)), &id);
  return id;
}

static void
count_entry (void *ctx, const struct kv_entry *e)
{
  *(int *)ctx += str_starts (kv_str (e->key), STR (PLT_PREFIX_OWN "nodes/"));
}

/** Value of the key of the observed mix of models, or empty. */
static json_object *
get_mix (struct rack *r)
{
  static const char key[] = PLT_PREFIX_OWN "mix";
  GBytes *k = g_bytes_new (key, sizeof key - 1);
  const struct kv_entry *e = kv_get (&r->kv, k);
  struct str value = e ? kv_str (e->value) : STR_EMPTY;

  g_bytes_unref (k);
  return json_object_new_string_len (value.ptr ? value.ptr : "",
                                     (int)value.len);
}

json_object *
rack_store_counts (struct rack *r)
{
  json_object *o = json_object_new_object ();
  GBytes *all = g_bytes_new ("", 1);
  int nodes = 0, held = 0;

  for (const struct held_txn *h = r->held_txns; h; h = h->next)
    held++;
  json_object_object_add (o, "held", json_object_new_int (held));
  kv_range (&r->kv, all, all, count_entry, &nodes);
  g_bytes_unref (all);
  json_object_object_add (o, "calls",
                          json_object_new_int ((int)r->store_calls));
  json_object_object_add (o, "bytes",
                          json_object_new_int64 ((int64_t)r->store_bytes));
  json_object_object_add (o, "nodes", json_object_new_int (nodes));
  json_object_object_add (o, "mix", get_mix (r));
  json_object_object_add (o, "era", json_object_new_int64 (r->kv.era));
  return o;
}

bool
rack_store_call (struct rack *r, struct httpd_req *req)
{
  struct str path = httpd_get (req)->path;

  if (!str_starts (path, STR ("/kv-")))
    return false;
  r->store_calls++;
  kv_expire (&r->kv, clk_now ());
  if (r->fault.silent)
    return true;
  if (r->fault.refuse || (r->fault.no_writes && str_is (path, PLT_KV_TXN)))
    answer_text (r, req, 503, STR_EMPTY);
  else if (str_is (path, PLT_KV_KEY))
    on_get (r, req);
  else if (str_is (path, PLT_KV_RANGE))
    on_range (r, req);
  else if (str_is (path, PLT_KV_WATCH))
    on_watch (r, req);
  else if (str_is (path, PLT_KV_TXN) && is_held (r, req))
    hold_txn (r, req);
  else if (str_is (path, PLT_KV_TXN))
    on_txn (r, req);
  else if (str_is (path, PLT_KV_LEASE))
    on_grant (r, req);
  else if (str_starts (path, STR (PLT_KV_KEEP)))
    on_keepalive (r, req, parse_id (path, PLT_KV_KEEP));
  else if (str_starts (path, STR (PLT_KV_LEASE_END)))
    {
      kv_revoke (&r->kv, parse_id (path, PLT_KV_LEASE_END));
      answer_text (r, req, 200, STR ("{}"));
    }
  else
    answer_text (r, req, 404, STR_EMPTY);
  rack_answer_watches (r);
  return true;
}
