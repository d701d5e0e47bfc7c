#include "store/etcd-json.h"

#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

#include "base/json.h"

/* --- requests ---------------------------------------------------------- */

void
etcd_add_base64 (struct buf *out, struct str s)
{
  size_t need = (s.len + 2) / 3 * 4;

  buf_add_char (out, '"');
  buf_reserve (out, need + 1);
  if (s.len > 0)
    EVP_EncodeBlock ((unsigned char *)out->ptr + out->len,
                     (const unsigned char *)s.ptr, (int)s.len);
  out->len += need;
  buf_add_char (out, '"');
}

bool
etcd_base64 (struct str s, struct buf *out)
{
  size_t padding = 0;
  int n;

  if (s.len % 4 != 0)
    return false;
  if (s.len == 0)
    return true;
  while (padding < 2 && s.ptr[s.len - 1 - padding] == '=')
    padding++;
  buf_reserve (out, s.len / 4 * 3 + 1);
  n = EVP_DecodeBlock ((unsigned char *)out->ptr + out->len,
                       (const unsigned char *)s.ptr, (int)s.len);
  if (n < (int)padding)
    return false;
  out->len += (size_t)n - padding;
  return true;
}

static void
add_keys (struct buf *out, struct str key, struct str end)
{
  buf_add_c (out, "\"key\":");
  etcd_add_base64 (out, key);
  if (end.len == 0)
    return;
  buf_add_c (out, ",\"range_end\":");
  etcd_add_base64 (out, end);
}

void
etcd_range_json (struct str key, struct str end, struct buf *out)
{
  buf_add_char (out, '{');
  add_keys (out, key, end);
  buf_add_char (out, '}');
}

static void
add_compare (struct buf *out, const struct store_compare *c)
{
  buf_add_c (out, "{\"key\":");
  etcd_add_base64 (out, c->key);
  buf_addf (out,
            ",\"target\":\"MOD\",\"result\":\"EQUAL\","
            "\"mod_revision\":\"%lld\"}",
            (long long)c->mod_rev);
}

static void
add_put (struct buf *out, const struct store_put *p)
{
  buf_add_c (out, "{\"request_put\":{\"key\":");
  etcd_add_base64 (out, p->key);
  buf_add_c (out, ",\"value\":");
  etcd_add_base64 (out, p->value);
  if (p->lease != 0)
    buf_addf (out, ",\"lease\":\"%lld\"", (long long)p->lease);
  buf_add_c (out, "}}");
}

static void
add_delete (struct buf *out, struct str key)
{
  buf_add_c (out, "{\"request_delete_range\":{\"key\":");
  etcd_add_base64 (out, key);
  buf_add_c (out, "}}");
}

static void
add_comma (struct buf *out, size_t i)
{
  if (i > 0)
    buf_add_char (out, ',');
}

void
etcd_txn_json (const struct store_txn *txn, struct buf *out)
{
  buf_add_c (out, "{\"compare\":[");
  for (size_t i = 0; i < txn->ncompares; i++)
    {
      add_comma (out, i);
      add_compare (out, &txn->compares[i]);
    }
  buf_add_c (out, "],\"success\":[");
  for (size_t i = 0; i < txn->nputs; i++)
    {
      add_comma (out, i);
      add_put (out, &txn->puts[i]);
    }
  for (size_t i = 0; i < txn->ndeletes; i++)
    {
      add_comma (out, txn->nputs + i);
      add_delete (out, txn->deletes[i]);
    }
  buf_add_c (out, "]}");
}

void
etcd_grant_json (clk_ms ttl, struct buf *out)
{
  buf_addf (out, "{\"TTL\":\"%lld\"}",
            (long long)((ttl + CLK_SECOND - 1) / CLK_SECOND));
}

void
etcd_lease_json (int64_t lease, struct buf *out)
{
  buf_addf (out, "{\"ID\":\"%lld\"}", (long long)lease);
}

void
etcd_watch_json (struct str key, struct str end, int64_t from, struct buf *out)
{
  buf_add_c (out, "{\"create_request\":{");
  add_keys (out, key, end);
  buf_addf (out, ",\"start_revision\":\"%lld\"}}", (long long)from);
}

/* --- answers ----------------------------------------------------------- */

/* Absent is zero, as in protobuf; a number may come with or without quotes. */
static bool
read_number (json_object *o, const char *key, int64_t *out)
{
  json_object *v = jsn_get (o, key);

  *out = 0;
  if (v == NULL)
    return true;
  if (json_object_is_type (v, json_type_int))
    {
      *out = json_object_get_int64 (v);
      return true;
    }
  return str_to_i64 (jsn_str (o, key), out);
}

static bool
read_bytes (json_object *o, const char *key, struct str *out)
{
  json_object *v = jsn_get (o, key);
  struct buf b = BUF_INIT;

  *out = STR_EMPTY;
  if (v == NULL)
    return true;
  if (!json_object_is_type (v, json_type_string)
      || !etcd_base64 (jsn_str (o, key), &b))
    {
      buf_free (&b);
      return false;
    }
  *out = buf_str (&b); /* owned by the answer from here on */
  return true;
}

static bool
read_kv (json_object *o, struct store_kv *kv)
{
  return read_bytes (o, "key", &kv->key) && read_bytes (o, "value", &kv->value)
         && read_number (o, "mod_revision", &kv->mod_rev)
         && read_number (o, "create_revision", &kv->create_rev)
         && read_number (o, "lease", &kv->lease) && kv->key.len > 0;
}

static bool
read_kvs (json_object *o, struct etcd_answer *out)
{
  size_t n;
  json_object *v = jsn_array (o, "kvs", &n);

  if (n == 0)
    return true;
  out->kvs = xcalloc (n, sizeof *out->kvs);
  out->nkvs = n;
  for (size_t i = 0; i < n; i++)
    if (!read_kv (json_object_array_get_idx (v, i), &out->kvs[i]))
      return false;
  return true;
}

static bool
read_events (json_object *o, struct etcd_answer *out)
{
  size_t n;
  json_object *v = jsn_array (o, "events", &n);

  if (n == 0)
    return true;
  out->events = xcalloc (n, sizeof *out->events);
  out->nevents = n;
  for (size_t i = 0; i < n; i++)
    {
      json_object *e = json_object_array_get_idx (v, i);
      out->events[i].deleted = str_is (jsn_str (e, "type"), "DELETE");
      if (!read_kv (jsn_get (e, "kv"), &out->events[i].kv))
        return false;
    }
  return true;
}

static bool
read_error (json_object *o, struct etcd_answer *out)
{
  json_object *nested = jsn_object (o, "error");
  int64_t n;

  /* Streams nest it: {"error":{"grpc_code":5,...}}. */
  out->is_error = true;
  if (!(nested ? read_number (nested, "grpc_code", &n)
               : read_number (o, "code", &n)))
    n = 0;
  out->code = (int)n;
  return true;
}

/*
 * Every answer has the header with the store's revision.  One without is not
 * taken for an answer: an empty object would read as a failed compare.
 */
static bool
read_result (json_object *o, struct etcd_answer *out)
{
  int64_t compact;

  if (!read_number (jsn_get (o, "header"), "revision", &out->revision)
      || out->revision <= 0)
    return false;
  out->succeeded = jsn_bool (o, "succeeded");
  out->canceled = jsn_bool (o, "canceled");
  if (!read_number (o, "ID", &out->lease)
      || !read_number (o, "TTL", &out->ttl_s)
      || !read_number (o, "compact_revision", &compact))
    return false;
  out->compacted = compact > 0;
  return read_kvs (o, out) && read_events (o, out);
}

bool
etcd_read (json_object *o, struct etcd_answer *out)
{
  json_object *result = jsn_get (o, "result");

  memset (out, 0, sizeof *out);
  if (jsn_get (o, "error") != NULL)
    return read_error (o, out);
  return read_result (result != NULL ? result : o, out);
}

bool
etcd_parse (struct str text, struct etcd_answer *out)
{
  json_object *o = jsn_parse (text);
  bool ok = etcd_read (o, out);

  json_object_put (o);
  return ok;
}

static void
kv_free (struct store_kv *kv)
{
  free ((void *)kv->key.ptr);
  free ((void *)kv->value.ptr);
}

void
etcd_answer_free (struct etcd_answer *a)
{
  for (size_t i = 0; i < a->nkvs; i++)
    kv_free (&a->kvs[i]);
  for (size_t i = 0; i < a->nevents; i++)
    kv_free (&a->events[i].kv);
  free (a->kvs);
  free (a->events);
  memset (a, 0, sizeof *a);
}
