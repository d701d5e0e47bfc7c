#include "standins/store-int.h"

#include <string.h>

/** As in etcd by default. */
#define MAX_TXN_OPS 128

json_object *
store_json_field (json_object *o, const char *key)
{
  json_object *v = NULL;

  if (o != NULL && json_object_is_type (o, json_type_object))
    json_object_object_get_ex (o, key, &v);
  return v;
}

int64_t
store_json_int (json_object *o, const char *key)
{
  json_object *v = store_json_field (o, key);

  return v == NULL ? 0 : json_object_get_int64 (v);
}

GBytes *
store_json_bytes (json_object *o, const char *key)
{
  json_object *v = store_json_field (o, key);
  struct buf b = BUF_INIT;
  GBytes *bytes;

  if (v != NULL)
    etcd_base64 (str_from (json_object_get_string (v)), &b);
  bytes = g_bytes_new (b.ptr, b.len);
  buf_free (&b);
  return bytes;
}

void
store_add_header (struct etcd_server *s, struct buf *out)
{
  buf_addf (out, "\"header\":{\"cluster_id\":\"1\",\"revision\":\"%lld\"}",
            (long long)s->kv.revision);
}

void
store_add_kv (struct buf *out, const struct kv_entry *e)
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

int
store_error (struct buf *out, int status, int code, const char *text)
{
  buf_clear (out);
  buf_addf (out, "{\"error\":\"%s\",\"code\":%d,\"message\":\"%s\"}", text,
            code, text);
  return status;
}

struct listing
{
  struct buf *out;
  int n;
};

static void
add_listed (void *ctx, const struct kv_entry *e)
{
  struct listing *l = ctx;

  if (l->n++ > 0)
    buf_add_char (l->out, ',');
  store_add_kv (l->out, e);
}

static int
do_range (struct etcd_server *s, json_object *o, struct buf *out)
{
  GBytes *from = store_json_bytes (o, "key"),
         *end = store_json_bytes (o, "range_end");
  struct listing l = { out, 0 };

  buf_add_char (out, '{');
  store_add_header (s, out);
  buf_add_c (out, ",\"kvs\":[");
  kv_range (&s->kv, from, end, add_listed, &l);
  buf_addf (out, "],\"count\":\"%d\"}", l.n);
  g_bytes_unref (from);
  g_bytes_unref (end);
  return 200;
}

static bool
compare_succeeds (struct etcd_server *s, json_object *c)
{
  GBytes *key = store_json_bytes (c, "key");
  const struct kv_entry *e = kv_get (&s->kv, key);

  g_bytes_unref (key);
  return (e != NULL ? e->mod : 0) == store_json_int (c, "mod_revision");
}

static bool
compares_succeed (struct etcd_server *s, json_object *list)
{
  size_t n = list != NULL ? json_object_array_length (list) : 0;

  for (size_t i = 0; i < n; i++)
    if (!compare_succeeds (s, json_object_array_get_idx (list, i)))
      return false;
  return true;
}

static bool
leases_exist (struct etcd_server *s, json_object *ops)
{
  size_t n = ops != NULL ? json_object_array_length (ops) : 0;

  for (size_t i = 0; i < n; i++)
    {
      json_object *put = store_json_field (json_object_array_get_idx (ops, i),
                                           "request_put");
      int64_t lease = store_json_int (put, "lease");
      if (lease != 0 && kv_find_lease (&s->kv, lease) == NULL)
        return false;
    }
  return true;
}

static bool
has_duplicate_put (json_object *ops)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  size_t n = ops != NULL ? json_object_array_length (ops) : 0;
  bool duplicate = false;

  for (size_t i = 0; i < n; i++)
    {
      json_object *put = store_json_field (json_object_array_get_idx (ops, i),
                                           "request_put");
      json_object *key = store_json_field (put, "key");
      if (key != NULL
          && !g_hash_table_add (seen, (void *)json_object_get_string (key)))
        duplicate = true;
    }
  g_hash_table_unref (seen);
  return duplicate;
}

static void
apply_put (struct etcd_server *s, json_object *put, int64_t rev)
{
  GBytes *key = store_json_bytes (put, "key"),
         *value = store_json_bytes (put, "value");

  kv_put (&s->kv, key, value, store_json_int (put, "lease"), rev);
  g_bytes_unref (key);
  g_bytes_unref (value);
}

static void
apply_delete (struct etcd_server *s, json_object *del, int64_t rev)
{
  GBytes *key = store_json_bytes (del, "key"),
         *end = store_json_bytes (del, "range_end");

  kv_delete (&s->kv, key, end, rev);
  g_bytes_unref (key);
  g_bytes_unref (end);
}

static void
apply (struct etcd_server *s, json_object *ops, struct buf *out)
{
  size_t n = ops != NULL ? json_object_array_length (ops) : 0;
  int64_t rev = s->kv.revision + 1;

  for (size_t i = 0; i < n; i++)
    {
      json_object *op = json_object_array_get_idx (ops, i);
      json_object *put = store_json_field (op, "request_put");
      json_object *del = store_json_field (op, "request_delete_range");
      json_object *range = store_json_field (op, "request_range");
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
do_txn (struct etcd_server *s, json_object *o, struct buf *out)
{
  json_object *compare = store_json_field (o, "compare");
  bool ok = compares_succeed (s, compare);
  json_object *ops = store_json_field (o, ok ? "success" : "failure");
  struct buf responses = BUF_INIT;

  if (array_len (compare) > MAX_TXN_OPS
      || array_len (store_json_field (o, "success")) > MAX_TXN_OPS)
    return store_error (out, 400, ETCD_INVALID_ARGUMENT,
                        "too many operations in txn request");
  if (has_duplicate_put (store_json_field (o, "success")))
    return store_error (out, 400, ETCD_INVALID_ARGUMENT,
                        "duplicate key given in txn request");
  if (!leases_exist (s, ops))
    return store_error (out, 404, ETCD_NOT_FOUND, "requested lease not found");
  s->counts.conflicts += !ok;
  apply (s, ops, &responses);
  buf_add_char (out, '{');
  store_add_header (s, out);
  buf_addf (out, "%s,\"responses\":[%s]}", ok ? ",\"succeeded\":true" : "",
            responses.len > 0 ? buf_c (&responses) : "");
  buf_free (&responses);
  return 200;
}

static int
do_put (struct etcd_server *s, json_object *o, struct buf *out)
{
  apply_put (s, o, s->kv.revision + 1);
  buf_add_char (out, '{');
  store_add_header (s, out);
  buf_add_char (out, '}');
  return 200;
}

static int
do_grant (struct etcd_server *s, json_object *o, struct buf *out)
{
  clk_ms ttl = store_json_int (o, "TTL") * CLK_SECOND;
  int64_t id = kv_grant (&s->kv, ttl, clk_now ());

  buf_add_char (out, '{');
  store_add_header (s, out);
  buf_addf (out, ",\"ID\":\"%lld\",\"TTL\":\"%lld\"}", (long long)id,
            (long long)(ttl / CLK_SECOND));
  return 200;
}

static int
do_keepalive (struct etcd_server *s, json_object *o, struct buf *out)
{
  int64_t id = store_json_int (o, "ID");
  struct kv_lease *l = kv_find_lease (&s->kv, id);

  buf_add_c (out, "{\"result\":{");
  store_add_header (s, out);
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
do_revoke (struct etcd_server *s, json_object *o, struct buf *out)
{
  int64_t id = store_json_int (o, "ID");

  if (kv_find_lease (&s->kv, id) == NULL)
    return store_error (out, 404, ETCD_NOT_FOUND, "requested lease not found");
  kv_revoke (&s->kv, id);
  buf_add_char (out, '{');
  store_add_header (s, out);
  buf_add_char (out, '}');
  return 200;
}

static const struct call calls[] = {
  { "/v3/kv/range", do_range, offsetof (struct counts, ranges), false },
  { "/v3/kv/txn", do_txn, offsetof (struct counts, txns), true },
  { "/v3/kv/put", do_put, offsetof (struct counts, puts), true },
  { "/v3/lease/grant", do_grant, offsetof (struct counts, grants), true },
  { "/v3/lease/keepalive", do_keepalive, offsetof (struct counts, keeps),
    true },
  { "/v3/lease/revoke", do_revoke, offsetof (struct counts, revokes), true }
};

const struct call *
store_find_call (const char *path)
{
  for (size_t i = 0; i < sizeof calls / sizeof calls[0]; i++)
    if (strcmp (path, calls[i].path) == 0)
      return &calls[i];
  return NULL;
}
