#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <openssl/evp.h>

#include "front/callers.h"

/** Estimated output tokens of a request without max_tokens. */
#define DEFAULT_TOKENS 256.0
/** Length of the prompt prefix that replicas are likely to have cached. */
#define PREFIX_BYTES ((size_t)256)
#define MAX_KEY_BYTES ((size_t)255)
#define MAX_NAME_BYTES ((size_t)128)
#define JSON_DEPTH 64

static const struct str service_prefix = { "/svc/", 5 };

enum gw_path
gw_path_of (struct str path)
{
  static const struct
  {
    const char *path;
    enum gw_path is;
  } fixed[] = {
    { "/healthz", GW_PATH_HEALTH },
    { "/metrics", GW_PATH_METRICS },
    { "/v1/models", GW_PATH_MODELS },
    { "/v1/address", GW_PATH_ADDRESS },
    { "/v1/chat/completions", GW_PATH_COMPLETION },
    { "/v1/completions", GW_PATH_COMPLETION },
  };

  for (size_t i = 0; i < sizeof fixed / sizeof fixed[0]; i++)
    if (str_is (path, fixed[i].path))
      return fixed[i].is;
  return str_starts (path, service_prefix) && path.len > service_prefix.len
             ? GW_PATH_SERVICE
             : GW_PATH_NONE;
}

const char *
gw_path_methods (enum gw_path path)
{
  if (path == GW_PATH_SERVICE)
    return NULL;
  return path == GW_PATH_COMPLETION ? "POST" : "GET, HEAD";
}

static bool
refuse (struct gw_refusal *why, int status, const char *code,
        const char *message)
{
  *why = (struct gw_refusal){ status, code, message };
  return false;
}

static char *
join_query (struct str path, struct str query)
{
  struct buf b = BUF_INIT;

  buf_add (&b, path.len ? path : STR ("/"));
  if (query.ptr != NULL)
    {
      buf_add_char (&b, '?');
      buf_add (&b, query);
    }
  buf_add_char (&b, '\0');
  return b.ptr;
}

/* ---- models ---- */

/** Hash of the prompt's first bytes, unparsed; 0: there is no prompt. */
static uint64_t
prefix_hash (struct str body)
{
  static const char *const keys[] = { "\"messages\"", "\"prompt\"" };

  for (size_t i = 0; i < 2; i++)
    {
      size_t len = strlen (keys[i]);
      const char *p = memmem (body.ptr, body.len, keys[i], len);
      if (p != NULL)
        {
          struct str rest = str_skip (body, (size_t)(p - body.ptr) + len);
          return str_hash (str_head (rest, PREFIX_BYTES), 0) | 1;
        }
    }
  return 0;
}

static json_object *
parse_json (struct str body)
{
  json_tokener *t = json_tokener_new_ex (JSON_DEPTH);
  json_object *o = json_tokener_parse_ex (t, body.ptr, (int)body.len);

  struct str rest = str_skip (body, json_tokener_get_parse_end (t));

  if (json_tokener_get_error (t) != json_tokener_success
      || str_trim (rest).len > 0 || !json_object_is_type (o, json_type_object))
    {
      json_object_put (o);
      o = NULL;
    }
  json_tokener_free (t);
  return o;
}

static double
requested_tokens (json_object *o)
{
  static const char *const keys[] = { "max_completion_tokens", "max_tokens" };
  json_object *v;

  for (size_t i = 0; i < 2; i++)
    if (json_object_object_get_ex (o, keys[i], &v)
        && json_object_get_int (v) > 0)
      return json_object_get_int (v);
  return DEFAULT_TOKENS;
}

/** Ids of all messages except the last, which is specific to the request. */
static void
parse_shared_parts (json_object *o, struct psn_request *out)
{
  json_object *list;
  uint64_t *parts;
  size_t n;

  if (!json_object_object_get_ex (o, "messages", &list)
      || !json_object_is_type (list, json_type_array)
      || json_object_array_length (list) < 2)
    return;
  n = json_object_array_length (list) - 1;
  parts = xcalloc (n, sizeof *parts);
  for (size_t i = 0; i < n; i++)
    parts[i] = str_hash (
        str_from (json_object_to_json_string_ext (
            json_object_array_get_idx (list, i), JSON_C_TO_STRING_PLAIN)),
        0);
  out->parts = parts;
  out->nparts = n;
}

static bool
parse_completion (const struct httpd_view *v, struct gw_call *out,
                  struct gw_refusal *why)
{
  json_object *o, *model;

  o = parse_json (v->body);
  if (o == NULL)
    return refuse (why, 400, "bad-request", "the body is no JSON object");
  if (!json_object_object_get_ex (o, "model", &model)
      || !json_object_is_type (model, json_type_string)
      || json_object_get_string_len (model) == 0
      || (size_t)json_object_get_string_len (model) > MAX_NAME_BYTES)
    {
      json_object_put (o);
      return refuse (why, 400, "bad-request", "\"model\" must be a name");
    }
  out->kind = &back_model;
  out->target = xstrdup (json_object_get_string (model));
  out->path = join_query (v->path, v->query);
  out->req.is_model = true;
  out->req.idempotent = true;
  out->req.cost = requested_tokens (o) + (double)v->body.len / 4;
  out->req.prefix = prefix_hash (v->body);
  parse_shared_parts (o, &out->poison_ids);
  json_object_put (o);
  return true;
}

/* ---- services ---- */

static bool
parse_service (const struct httpd_view *v, struct gw_call *out,
               struct gw_refusal *why)
{
  struct str rest = str_skip (v->path, service_prefix.len);
  size_t slash = str_chr (rest, '/');
  struct str name = str_head (rest, slash);
  struct str path = str_skip (rest, slash);
  const struct cfg_service *s = cfg_service (out->cfg, name);

  if (name.len == 0 || name.len > MAX_NAME_BYTES)
    return refuse (why, 400, "bad-request", "the path names no service");
  out->kind = &back_service;
  out->target = str_dup (name);
  out->path = join_query (path, v->query);
  out->req.idempotent
      = s != NULL && cfg_service_idempotent (s, v->method, path);
  out->req.cost = 1;
  return true;
}

/* ---- headers ---- */

static void
digest16 (const struct str *parts, size_t n, uint8_t out[16])
{
  EVP_MD_CTX *md = EVP_MD_CTX_new ();
  uint8_t sum[32];

  EVP_DigestInit_ex (md, EVP_sha256 (), NULL);
  for (size_t i = 0; i < n; i++)
    {
      /* Length prefixes, so that different lists never give equal input. */
      uint64_t len = parts[i].len;
      EVP_DigestUpdate (md, &len, sizeof len);
      EVP_DigestUpdate (md, parts[i].ptr, parts[i].len);
    }
  EVP_DigestFinal_ex (md, sum, NULL);
  EVP_MD_CTX_free (md);
  memcpy (out, sum, 16);
}

/** Headers that the gateway interprets. */
static const char *const interpreted_headers[]
    = { "authorization", "idempotency-key", "x-idempotent", "x-deadline-ms",
        "x-priority" };

/**
 * Refuses duplicates of these headers.  Other implementations may use the
 * other one of two values: with two keys, a backend server or a retry would
 * identify the request by a different key.
 */
static bool
check_duplicates (struct httpd_req *req, struct gw_refusal *why)
{
  size_t n;
  const struct http_header *h = httpd_headers (req, &n);

  for (size_t k = 0;
       k < sizeof interpreted_headers / sizeof interpreted_headers[0]; k++)
    {
      size_t found = 0;
      for (size_t i = 0; i < n; i++)
        found += str_is (h[i].name, interpreted_headers[k]);
      if (found > 1)
        return refuse (why, 400, "bad-request",
                       "a header that may stand once stands twice");
    }
  return true;
}

static bool
has_header (struct httpd_req *req, const char *name)
{
  size_t n;
  const struct http_header *h = httpd_headers (req, &n);

  for (size_t i = 0; i < n; i++)
    if (str_is (h[i].name, name))
      return true;
  return false;
}

static bool
parse_key (struct httpd_req *req, struct gw_call *out, struct gw_refusal *why)
{
  const struct httpd_view *v = httpd_get (req);
  struct str key = str_trim (httpd_header (req, "idempotency-key"));
  struct str key_parts[] = { out->account->name, str_from (out->target), key };
  struct str call_parts[] = { v->method, str_from (out->path), v->body };

  if (!has_header (req, "idempotency-key"))
    return true;
  /* An empty key, for example from an unset variable, is an error: the caller
     expects that the request runs at most once. */
  if (key.len == 0)
    return refuse (why, 400, "bad-request", "Idempotency-Key is empty");
  if (key.len > MAX_KEY_BYTES)
    return refuse (why, 400, "bad-request", "Idempotency-Key is too long");
  digest16 (key_parts, 3, out->req.claim_key);
  digest16 (call_parts, 3, out->req.fingerprint);
  out->req.has_key = true;
  /* A key requests at most one run, regardless of the service's rule. */
  out->req.idempotent = false;
  return true;
}

static bool
parse_idempotent (struct httpd_req *req, struct gw_call *out,
                  struct gw_refusal *why)
{
  struct str value = str_trim (httpd_header (req, "x-idempotent"));

  if (!has_header (req, "x-idempotent") || str_is (value, "true"))
    return true;
  /* Other spellings are refused: if "False" were ignored, a request that must
     not be repeated could be sent twice. */
  if (!str_is (value, "false"))
    return refuse (why, 400, "bad-request",
                   "X-Idempotent must be true or false");
  /* A caller can only restrict the rule: "true" doesn't make a request
     idempotent. */
  out->req.idempotent = false;
  return true;
}

static bool
parse_headers (struct httpd_req *req, clk_ms now, struct gw_call *out,
               struct gw_refusal *why)
{
  struct str deadline = httpd_header (req, "x-deadline-ms");
  struct str priority = httpd_header (req, "x-priority");
  int64_t n;

  if (deadline.len > 0)
    {
      if (!str_to_i64 (str_trim (deadline), &n) || n <= 0 || n > 86400000)
        return refuse (why, 400, "bad-request",
                       "X-Deadline-Ms must be 1 to 86400000");
      out->req.deadline = now + n;
    }
  out->req.priority = out->account->priority;
  if (priority.len > 0)
    {
      if (!str_to_i64 (str_trim (priority), &n) || n < 0 || n > 3)
        return refuse (why, 400, "bad-request", "X-Priority must be 0 to 3");
      if ((unsigned)n > out->req.priority)
        out->req.priority = (unsigned)n;
    }
  return check_duplicates (req, why) && parse_idempotent (req, out, why)
         && parse_key (req, out, why);
}

/** Digest of the request, equal for all of its retries. */
static uint64_t
request_digest (const struct httpd_view *v, const struct gw_call *c)
{
  const struct str parts[]
      = { c->account->name, v->method, str_from (c->target),
          str_from (c->path), v->body };
  uint8_t digest[16];
  uint64_t id;

  digest16 (parts, sizeof parts / sizeof parts[0], digest);
  memcpy (&id, digest, sizeof id);
  return id;
}

bool
gw_parse (struct gw *g, struct cfg *cfg, const struct cfg_account *account,
          struct httpd_req *req, clk_ms now, struct gw_call *out,
          struct gw_refusal *why)
{
  const struct httpd_view *v = httpd_get (req);
  size_t nheaders;
  bool ok;

  memset (out, 0, sizeof *out);
  out->cfg = cfg_ref (cfg);
  out->account = account;
  httpd_headers (req, &nheaders);
  if (nheaders > BACK_MAX_CALLER_HEADERS)
    ok = refuse (why, 431, "too-many-headers",
                 "the request has more headers than can be sent on");
  else if (v->body.len > cfg->limits.max_body)
    ok = refuse (why, 413, "body-too-large", "the body exceeds max_body");
  else if (gw_path_of (v->path) == GW_PATH_COMPLETION)
    ok = parse_completion (v, out, why);
  else
    ok = parse_service (v, out, why);
  ok = ok && parse_headers (req, now, out, why);
  if (!ok)
    {
      gw_call_free (out);
      return false;
    }
  out->poison_ids.digest = request_digest (v, out);
  out->req.account = account->name;
  out->req.target = str_from (out->target);
  for (size_t i = 0; i < 2; i++)
    {
      uint64_t r = rng_next (&g->rng);
      memcpy (out->req.attempt_id + 8 * i, &r, 8);
    }
  return true;
}

void
gw_call_free (struct gw_call *c)
{
  free (c->target);
  free (c->path);
  free ((void *)c->poison_ids.parts);
  cfg_unref (c->cfg);
  memset (c, 0, sizeof *c);
}
