#include "t/lib-cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <json-c/json.h>

#include "t/lib-relay.h"

#define ROUTED_WAIT_MS 15000

/** One replica of one VM for each of c->vm. */
static void
write_model (struct cluster *c)
{
  struct buf vms = BUF_INIT, replicas = BUF_INIT;

  for (size_t i = 0; i < c->nvms; i++)
    {
      const char *comma = i ? ", " : "";
      buf_addf (&vms, "%s\"vm-%zu\": { \"addr\": \"%s\" }", comma, i + 1,
                proc_addr (c->vm[i], "http"));
      buf_addf (&replicas,
                "%s\"ghala-lm-%zu\": { \"model\": \"ghala-lm\", \"domain\": "
                "\"hall-a-1\", \"mode\": \"route\", \"vms\": [\"vm-%zu\"] }",
                comma, i + 1, i + 1);
    }
  proc_file ("conf/20-model.json",
             "{ \"domains\": { \"hall-a-1\": { \"zone\": \"hall-a\", "
             "\"vms\": { %s } } },\n"
             "  \"models\": { \"ghala-lm\": { \"mode\": \"route\", "
             "\"vms\": 1, \"replicas\": %zu, \"capacity\": 2 } },\n"
             "  \"replicas\": { %s } }\n",
             buf_c (&vms), c->nvms, buf_c (&replicas));
  buf_free (&vms);
  buf_free (&replicas);
}

static const char *
write_config (struct cluster *c)
{
  const char *addr[2];
  const char *path;
  char *end;

  for (int i = 0; i < 2; i++)
    addr[i]
        = c->relay ? relay_addr (c->relay, i) : proc_addr (c->soko[i], "http");
  path = proc_file (
      "conf/10-all.json",
      "{ \"services\": { \"soko-api\": { \"mode\": \"route\", \"capacity\": "
      "64,\n"
      "    \"backends\": { \"soko-1\": { \"addr\": \"%s\", \"zone\": "
      "\"hall-a\" },\n"
      "                  \"soko-2\": { \"addr\": \"%s\", \"zone\": "
      "\"hall-a\" } },\n"
      "    \"rules\": [ { \"method\": \"POST\", \"path_prefix\": "
      "\"/bookings\",\n      \"idempotent\": false } ],\n"
      "    \"first_byte_ms\": 2000, \"progress_ms\": 2000,\n"
      "    \"not_run_status\": [503] } },\n"
      "  \"accounts\": { \"broker-app\": { \"key_digests\": [\"%s\"], "
      "\"may\": [\"*\"] } },\n"
      "  \"operators\": { \"amina\": { \"token_digest\": \"%s\", \"role\": "
      "\"operator\" } } }\n",
      addr[0], addr[1], front_digest ("broker-key"),
      front_digest ("demo-token"));
  end = strrchr (path, '/');
  *end = '\0';
  return path;
}

static const char *
write_settings (struct cluster *c, size_t i, const char *control_peer,
                const char *first_peer)
{
  char name[32];

  snprintf (name, sizeof name, "entry-%zu.json", i + 1);
  return proc_file (
      name,
      "{ \"node\": \"entry-%zu\", \"zone\": \"hall-a\", \"region\": "
      "\"nairobi\",\n"
      "  \"gateway\": { \"http\": \"127.0.0.1:0\", \"peer\": "
      "\"127.0.0.1:0\" },\n"
      "  \"control\": { \"swim\": \"127.0.0.1:0\", \"peer\": \"%s\",\n"
      "    \"admin\": \"127.0.0.1:0\" },\n"
      "  \"store\": { \"endpoints\": [\"%s\"], \"writes_per_s\": 200,\n"
      "    \"reads_per_s\": 400 },\n"
      "  \"peers\": [%s%s%s],\n"
      "  \"secret_file\": \"secret.txt\",\n"
      "  \"log\": { \"level\": \"error\" } }\n",
      i + 1, control_peer, proc_addr (c->store, "http"),
      first_peer ? "\"" : "", first_peer ? first_peer : "",
      first_peer ? "\"" : "");
}

static bool
routed (struct cluster *c, size_t i)
{
  for (int left = ROUTED_WAIT_MS; left > 0; left -= 50)
    {
      struct web_answer a = { 0 };
      int status;
      web_call (c->http[i], "GET", "/svc/soko-api/warm-up", FRONT_KEY, NULL,
                &a);
      status = a.status;
      web_free (&a);
      if (status == 200)
        return true;
      usleep (50000);
    }
  return false;
}

static void
start_apart (struct cluster *c, size_t i)
{
  c->gateway[i] = PROC_START_READY ("lapisline", "gateway", "--settings",
                                    write_settings (c, i, "127.0.0.1:0", NULL),
                                    "--config", c->config);
  c->http[i] = proc_addr (c->gateway[i], "http");
}

static void
start_together (struct cluster *c)
{
  const char *first = NULL;
  struct buf out = BUF_INIT;

  for (size_t i = 0; i < c->n; i++)
    {
      const char *peer;
      c->control[i]
          = PROC_START_READY ("lapisline", "control", "--settings",
                              write_settings (c, i, proc_listen (), first));
      peer = proc_addr (c->control[i], "peer");
      c->gateway[i] = PROC_START_READY ("lapisline", "gateway", "--settings",
                                        write_settings (c, i, peer, first));
      c->http[i] = proc_addr (c->gateway[i], "http");
      if (!first)
        first = peer;
    }
  cr_assert_eq (
      PROC_RUN (&out, "lapisline", "config", "push", c->config, "--settings",
                write_settings (c, 0, "127.0.0.1:0", NULL), "--who", "amina"),
      0, "%s", buf_c (&out));
  buf_free (&out);
}

static int
nodes_named (struct cluster *c, size_t i)
{
  struct web_answer a = { 0 };
  int n = 0;

  web_call (c->http[i], "GET", "/v1/address?service=soko-api", FRONT_KEY, NULL,
            &a);
  for (const char *at = buf_c (&a.body); (at = strstr (at, "\"node\"")); at++)
    n++;
  web_free (&a);
  return n;
}

/** Until every gateway's view names them all, homes are not agreed on. */
static void
wait_for_views (struct cluster *c)
{
  size_t want = c->n < 4 ? c->n : 4;

  for (size_t i = 0; i < c->n; i++)
    for (int left = ROUTED_WAIT_MS; nodes_named (c, i) < (int)want; left -= 50)
      {
        cr_assert_gt (left, 0, "gateway %zu does not see the others", i);
        usleep (50000);
      }
}

static void
up (struct cluster *c, size_t n, enum cluster_kind kind, bool relayed)
{
  c->n = n;
  c->store = PROC_START_READY ("standin", "store");
  for (int i = 0; i < 2; i++)
    c->soko[i] = PROC_START_READY ("standin", "service");
  if (relayed)
    c->relay = relay_new (proc_addr (c->soko[0], "http"),
                          proc_addr (c->soko[1], "http"));
  proc_secret ();
  c->config = write_config (c);
  if (c->vm[0])
    write_model (c);
  for (size_t i = 0; i < n && kind == CLUSTER_APART; i++)
    start_apart (c, i);
  if (kind == CLUSTER_TOGETHER)
    start_together (c);
  for (size_t i = 0; i < n; i++)
    cr_assert (routed (c, i), "gateway %zu does not route", i);
  if (kind == CLUSTER_TOGETHER)
    wait_for_views (c);
}

void
cluster_restart_gateway (struct cluster *c, size_t gateway)
{
  start_apart (c, gateway);
  cr_assert (routed (c, gateway));
}

void
cluster_store_fault (struct cluster *c, const char *json)
{
  struct web_answer a = { 0 };

  cr_assert (web_call (proc_addr (c->store, "control"), "POST", "/control/set",
                       NULL, json, &a));
  cr_assert_eq (a.status, 200);
  web_free (&a);
}

void
cluster_up (struct cluster *c, size_t n, enum cluster_kind kind)
{
  memset (c, 0, sizeof *c);
  up (c, n, kind, false);
}

static bool
model_routed (struct cluster *c, size_t i)
{
  struct front f = { .http = c->http[i] };

  return front_routed (&f);
}

void
cluster_up_model (struct cluster *c, size_t n, size_t vms)
{
  memset (c, 0, sizeof *c);
  c->nvms = vms;
  for (size_t i = 0; i < vms; i++)
    c->vm[i] = PROC_START_READY ("standin", "model");
  up (c, n, CLUSTER_TOGETHER, false);
  for (size_t i = 0; i < n; i++)
    cr_assert (model_routed (c, i), "gateway %zu has no model", i);
}

void
cluster_up_relayed (struct cluster *c, size_t n)
{
  memset (c, 0, sizeof *c);
  up (c, n, CLUSTER_APART, true);
}

/* Bookings. */

static const char *
headers_of (const char *key)
{
  static char ring[CLUSTER_MAX * 64][256];
  static unsigned turn;
  char *out = ring[turn++ % (CLUSTER_MAX * 64)];

  snprintf (out, sizeof ring[0], FRONT_KEY "%s%s%s",
            key ? "Idempotency-Key: " : "", key ? key : "", key ? "\r\n" : "");
  return out;
}

struct web_stream *
cluster_book_open (struct cluster *c, size_t gateway, const char *key)
{
  return web_open (c->http[gateway], "POST", "/svc/soko-api/bookings",
                   headers_of (key), "{\"bay\":7}");
}

static void
copy_header (const char *head, const char *name, char *out, size_t size)
{
  const char *at = strcasestr (head, name);
  size_t len;

  out[0] = '\0';
  if (!at)
    return;
  at += strlen (name);
  at += strspn (at, ": ");
  len = strcspn (at, "\r\n");
  snprintf (out, size, "%.*s", (int)len, at);
}

static void
fill (struct cluster_answer *out, int status, const char *head,
      const char *body)
{
  const char *code = strstr (body, "\"code\"");

  memset (out, 0, sizeof *out);
  out->status = status;
  copy_header (head, "\nlapis-outcome", out->outcome, sizeof out->outcome);
  copy_header (head, "\nlapis-request-id", out->request_id,
               sizeof out->request_id);
  if (status >= 400 && code)
    sscanf (code, "\"code\" : \"%39[^\"]", out->code);
  if (status >= 400 && code && !out->code[0])
    sscanf (code, "\"code\":\"%39[^\"]", out->code);
}

void
cluster_book_answer (struct cluster *c, size_t gateway, const char *key,
                     struct cluster_answer *out)
{
  struct web_answer a = { 0 };

  web_call (c->http[gateway], "POST", "/svc/soko-api/bookings",
            headers_of (key), "{\"bay\":7}", &a);
  fill (out, a.status, buf_c (&a.head), buf_c (&a.body));
  web_free (&a);
}

void
cluster_read_answer (struct web_stream *s, struct cluster_answer *out)
{
  struct buf body = BUF_INIT;
  int status = web_status (s, PROC_WAIT_MS);

  if (status)
    while (web_read (s, &body, PROC_WAIT_MS) == WEB_BYTES)
      ;
  fill (out, status, web_stream_head (s), buf_c (&body));
  buf_free (&body);
  web_close (s);
}

void
cluster_book (struct cluster *c, size_t gateway, const char *key,
              struct buf *log)
{
  struct cluster_answer a;

  cluster_book_answer (c, gateway, key, &a);
  buf_addf (log, "%d %s %s\n", a.status, a.outcome, a.code[0] ? a.code : "-");
}

void
cluster_warm (struct cluster *c, size_t gateway)
{
  struct cluster_answer a;
  static int turn;
  char key[32];

  for (int i = 0; i < 64; i++)
    {
      snprintf (key, sizeof key, "warm-%d", turn++);
      cluster_book_answer (c, gateway, key, &a);
      cr_assert_str_eq (a.outcome, "done");
    }
}

/* The service as the judge. */

static int
runs (struct proc *soko, const char *table, const char *id)
{
  struct web_answer a = { 0 };
  json_object *o, *t, *v;
  int n = 0;

  cr_assert (web_call (proc_addr (soko, "http"), "GET", "/control/counts",
                       NULL, NULL, &a));
  o = json_tokener_parse (buf_c (&a.body));
  if (json_object_object_get_ex (o, table, &t)
      && json_object_object_get_ex (t, id, &v))
    n = json_object_get_int (v);
  json_object_put (o);
  web_free (&a);
  return n;
}

int
cluster_runs_of_key (struct cluster *c, const char *key)
{
  return runs (c->soko[0], "by_key", key) + runs (c->soko[1], "by_key", key);
}

int
cluster_runs_of_request (struct cluster *c, const char *id)
{
  return runs (c->soko[0], "by_request", id)
         + runs (c->soko[1], "by_request", id);
}

int
cluster_model_runs (struct cluster *c, const char *id)
{
  return runs (c->vm[0], "by_request", id) + runs (c->vm[1], "by_request", id);
}

void
cluster_forget_connections (struct cluster *c)
{
  relay_blackhole (c->relay);
}
