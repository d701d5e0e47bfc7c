#include "t/lib-front.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <json-c/json.h>
#include <openssl/sha.h>

#define STATE_WAIT_MS 10000

const char *
front_digest (const char *key)
{
  static char ring[4][65];
  static unsigned turn;
  uint8_t sum[SHA256_DIGEST_LENGTH];
  char *out = ring[turn++ % 4];

  SHA256 ((const uint8_t *)key, strlen (key), sum);
  for (size_t i = 0; i < sizeof sum; i++)
    snprintf (out + 2 * i, 3, "%02x", sum[i]);
  return out;
}

static const char *
write_config (const struct front *f, const char *model, const char *limits)
{
  const char *path = proc_file (
      "conf/10-all.json",
      "{ \"domains\": { \"hall-a-1\": { \"zone\": \"hall-a\", \"vms\": {\n"
      "    \"vm-1\": { \"addr\": \"%s\" }, \"vm-2\": { \"addr\": \"%s\" } } } "
      "},\n"
      "  \"models\": { \"ghala-lm\": { \"mode\": \"route\", \"vms\": 1,\n"
      "    \"replicas\": 2, \"capacity\": 64, \"tokens_per_s\": 900,\n"
      "    \"not_run_status\": [503]%s%s } },\n"
      "  \"replicas\": {\n"
      "    \"ghala-lm-1\": { \"model\": \"ghala-lm\", \"domain\": "
      "\"hall-a-1\",\n      \"mode\": \"route\", \"vms\": [\"vm-1\"] },\n"
      "    \"ghala-lm-2\": { \"model\": \"ghala-lm\", \"domain\": "
      "\"hall-a-1\",\n      \"mode\": \"route\", \"vms\": [\"vm-2\"] } },\n"
      "  \"services\": {\n"
      "    \"soko-api\": { \"mode\": \"route\", \"capacity\": 8,\n"
      "      \"backends\": {\n"
      "        \"soko-1\": { \"addr\": \"%s\", \"zone\": \"hall-a\" },\n"
      "        \"soko-2\": { \"addr\": \"%s\", \"zone\": \"hall-a\" } },\n"
      "      \"rules\": [ { \"method\": \"POST\", \"path_prefix\": "
      "\"/bookings\",\n        \"idempotent\": false } ],\n"
      "      \"first_byte_ms\": 2000, \"progress_ms\": 2000,\n"
      "      \"not_run_status\": [503] },\n"
      "    \"quote-api\": { \"mode\": \"route\", \"capacity\": 8,\n"
      "      \"backends\": { \"quote-1\": { \"addr\": \"%s\", \"zone\": "
      "\"hall-a\" } },\n"
      "      \"first_byte_ms\": 60000, \"progress_ms\": 60000 } },\n"
      "  \"accounts\": {\n"
      "    \"broker-app\": { \"key_digests\": [\"%s\"], \"may\": [\"*\"] },\n"
      "    \"tenant-app\": { \"key_digests\": [\"%s\"],\n"
      "      \"may\": [\"soko-api\"] } },\n"
      "  \"limits\": { %s } }\n",
      proc_addr (f->vm[0], "http"), proc_addr (f->vm[1], "http"),
      model[0] ? ", " : "", model, proc_addr (f->soko[0], "http"),
      proc_addr (f->soko[1], "http"), proc_addr (f->quote, "http"),
      front_digest ("broker-key"), front_digest ("tenant-key"), limits);
  char *end = strrchr (path, '/');

  *end = '\0';
  return path;
}

static const char *
write_settings (void)
{
  proc_secret ();
  return proc_file ("settings.json",
                    "{ \"node\": \"entry-1\", \"zone\": \"hall-a\", "
                    "\"region\": \"nairobi\",\n"
                    "  \"gateway\": { \"http\": \"127.0.0.1:0\", \"peer\": "
                    "\"127.0.0.1:0\" },\n"
                    "  \"control\": { \"swim\": \"127.0.0.1:0\", \"peer\": "
                    "\"127.0.0.1:0\",\n    \"admin\": \"127.0.0.1:0\" },\n"
                    "  \"store\": { \"endpoints\": [\"127.0.0.1:1\"] },\n"
                    "  \"secret_file\": \"secret.txt\",\n"
                    "  \"log\": { \"level\": \"error\" } }\n");
}

bool
front_routed (const struct front *f)
{
  for (int i = 0; i < STATE_WAIT_MS / 50; i++)
    {
      struct web_answer a = { 0 };
      web_call (f->http, "POST", "/v1/completions", FRONT_KEY,
                front_prompt ("warm-up", false, 1), &a);
      int status = a.status;
      web_free (&a);
      if (status == 200)
        return true;
      usleep (50000);
    }
  return false;
}

void
front_up (struct front *f, const char *model, const char *limits)
{
  for (int i = 0; i < 2; i++)
    {
      f->vm[i] = PROC_START_READY ("standin", "model", "--tokens", "8");
      f->soko[i] = PROC_START_READY ("standin", "service");
    }
  f->quote = PROC_START_READY ("standin", "service");
  const char *config = write_config (f, model, limits);
  f->gateway = PROC_START_READY ("lapisline", "gateway", "--settings",
                                 write_settings (), "--config", config);
  f->http = proc_addr (f->gateway, "http");
  /* Until its members answered a probe, requests are refused. */
  cr_assert (front_routed (f), "the model is not routed to");
}

void
front_fault (struct proc *p, const char *json)
{
  struct web_answer a = { 0 };

  cr_assert (web_call (proc_addr (p, "http"), "POST", "/control/set", NULL,
                       json, &a));
  cr_assert_eq (a.status, 200);
  web_free (&a);
}

static json_object *
counts (struct proc *p)
{
  struct web_answer a = { 0 };

  cr_assert (web_call (proc_addr (p, "http"), "GET", "/control/counts", NULL,
                       NULL, &a));
  json_object *o = json_tokener_parse (buf_c (&a.body));
  web_free (&a);
  cr_assert_not_null (o);
  return o;
}

int
front_count (struct proc *p, const char *key)
{
  json_object *o = counts (p), *v;

  cr_assert (json_object_object_get_ex (o, key, &v));
  int n = json_object_get_int (v);
  json_object_put (o);
  return n;
}

bool
front_count_is (struct proc *p, const char *key, int n)
{
  for (int i = 0; i < PROC_WAIT_MS / 20; i++)
    {
      if (front_count (p, key) == n)
        return true;
      usleep (20000);
    }
  return false;
}

void
front_fault_both (struct proc *const p[2], const char *json)
{
  front_fault (p[0], json);
  front_fault (p[1], json);
}

int
front_count_both (struct proc *const p[2], const char *key)
{
  return front_count (p[0], key) + front_count (p[1], key);
}

const char *
front_prompt (const char *prompt, bool stream, int tokens)
{
  static char ring[32][512];
  static unsigned turn;
  char *out = ring[turn++ % 32];

  snprintf (out, sizeof ring[0],
            "{\"model\":\"ghala-lm\",\"prompt\":\"%s\",\"stream\":%s,"
            "\"max_tokens\":%d}",
            prompt, stream ? "true" : "false", tokens);
  return out;
}

void
front_log_answer (struct buf *log, const struct web_answer *a)
{
  json_object *o = json_tokener_parse (a->body.len ? a->body.ptr : "");
  json_object *error, *code;
  const char *name = "-";

  if (json_object_object_get_ex (o, "error", &error)
      && json_object_object_get_ex (error, "code", &code))
    name = json_object_get_string (code);
  struct str outcome = web_header (a, "lapis-outcome");
  buf_addf (log, "%d %.*s %s%s\n", a->status, STR_ARG (outcome), name,
            a->whole ? "" : " (cut)");
  json_object_put (o);
}

void
front_log (const struct front *f, struct buf *log, const char *method,
           const char *path, const char *headers, const char *body)
{
  struct web_answer a = { 0 };

  web_call (f->http, method, path, headers, body, &a);
  buf_addf (log, "%s %s -> ", method, path);
  front_log_answer (log, &a);
  web_free (&a);
}
