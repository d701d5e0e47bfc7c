#include "t/lib-site.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <criterion/criterion.h>

#define POLL_INTERVAL_US 50000
#define MAX_POLLS 1200 /* one minute */

#define REPLICA "/admin/v1/replicas/r1"

/* ---- starting ---- */

static const char *
write_config (const struct site *s)
{
  return proc_file (
      "config/10-all.json",
      "{ \"domains\": { \"d\": { \"zone\": \"z\", \"checks_fence\": %s,\n"
      "    \"vms\": { \"v1\": { \"addr\": \"%s\" },\n"
      "      \"v2\": { \"addr\": \"%s\" },\n"
      "      \"v3\": { \"addr\": \"%s\", \"spare_only\": true } } } },\n"
      "  \"models\": { \"ghala-lm\": { \"mode\": \"manage\", \"vms\": 2,\n"
      "    \"replicas\": 1, \"weight_gb\": 1, \"capacity\": 64,\n"
      "    \"tokens_per_s\": 900 } },\n"
      "  \"replicas\": { \"r1\": { \"model\": \"ghala-lm\",\n"
      "    \"domain\": \"d\", \"mode\": \"manage\",\n"
      "    \"vms\": [\"v1\", \"v2\"] } },\n"
      "  \"services\": { \"soko-api\": { \"mode\": \"route\",\n"
      "    \"capacity\": 64, \"backends\": {\n"
      "      \"soko-1\": { \"addr\": \"%s\", \"zone\": \"z\" },\n"
      "      \"soko-2\": { \"addr\": \"%s\", \"zone\": \"z\" } } } },\n"
      "  \"accounts\": { \"broker-app\": { \"key_digests\": [\"%s\"],\n"
      "    \"may\": [\"*\"] } },\n"
      "  \"operators\": { \"amina\": { \"role\": \"operator\",\n"
      "    \"token_digest\": \"%s\" } },\n"
      "  \"limits\": { \"address_ms\": 5000, \"queue_ms\": 1000 } }\n",
      s->servers == SITE_CHECK_FENCE ? "true" : "false",
      proc_addr (s->vm[0], "http"), proc_addr (s->vm[1], "http"),
      proc_addr (s->vm[2], "http"), proc_addr (s->soko[0], "http"),
      proc_addr (s->soko[1], "http"), front_digest ("broker-key"),
      front_digest ("site-token"));
}

static const char *
write_settings (const struct site *s, int node, const char *peer)
{
  const char *other = node ? s->peer[0] : s->peer[1];
  char name[32];

  snprintf (name, sizeof name, "entry-%d.json", node + 1);
  return proc_file (
      name,
      "{ \"node\": \"entry-%d\", \"zone\": \"z\", \"region\": \"local\",\n"
      "  \"gateway\": { \"http\": \"127.0.0.1:0\", \"peer\": "
      "\"127.0.0.1:0\" },\n"
      "  \"control\": { \"swim\": \"127.0.0.1:0\", \"peer\": \"%s\",\n"
      "    \"admin\": \"127.0.0.1:0\" },\n"
      "  \"store\": { \"endpoints\": [\"%s\"], \"writes_per_s\": 50,\n"
      "    \"reads_per_s\": 200 },\n"
      "  \"platform\": \"%s\", \"peers\": [%s%s%s],\n"
      "  \"secret_file\": \"secret.txt\",\n"
      "  \"log\": { \"level\": \"error\" } }\n",
      node + 1, peer, proc_addr (s->store, "http"),
      proc_addr (s->platform, "http"), other ? "\"" : "", other ? other : "",
      other ? "\"" : "");
}

static void
start_control (struct site *s, int node, const char *peer)
{
  s->control[node] = PROC_START_READY ("lapisline", "control", "--settings",
                                       write_settings (s, node, peer));
  s->peer[node] = proc_addr (s->control[node], "peer");
  s->admin[node] = proc_addr (s->control[node], "admin");
}

static void
start_vm (struct site *s, int vm, const char *listen)
{
  s->vm[vm] = s->servers == SITE_CHECK_FENCE
                  ? PROC_START_READY ("standin", "model", "--listen", listen,
                                      "--unloaded", "--load-ms", "200")
                  : PROC_START_READY ("standin", "model", "--listen", listen,
                                      "--unloaded", "--load-ms", "200",
                                      "--ignore-fence");
}

static void
push (const struct site *s)
{
  struct buf out = BUF_INIT;
  char folder[512];

  snprintf (folder, sizeof folder, "%s/config", proc_dir ());
  cr_assert_eq (PROC_RUN (&out, "lapisline", "config", "push", folder,
                          "--store", proc_addr (s->store, "http"), "--who",
                          "amina"),
                0, "%s", buf_c (&out));
  buf_free (&out);
}

void
site_up (struct site *s, enum site_servers servers)
{
  memset (s, 0, sizeof *s);
  s->servers = servers;
  s->store = PROC_START_READY ("standin", "store");
  s->platform
      = PROC_START_READY ("standin", "platform", "--vm", "v1", "--vm", "v2",
                          "--vm", "v3", "--vm", "soko-1", "--vm", "soko-2");
  for (int i = 0; i < SITE_VMS; i++)
    start_vm (s, i, proc_listen ());
  for (int i = 0; i < 2; i++)
    s->soko[i] = PROC_START_READY ("standin", "service");
  proc_secret ();
  write_config (s);
  push (s);
  for (int i = 0; i < SITE_NODES; i++)
    {
      start_control (s, i, proc_listen ());
      s->gateway[i] = PROC_START_READY ("lapisline", "gateway", "--settings",
                                        write_settings (s, i, s->peer[i]));
      s->http[i] = proc_addr (s->gateway[i], "http");
    }
  site_until_both (s, "\"whole\":true");
  for (int i = 0; i < SITE_NODES; i++)
    cr_assert (site_call_until (s, i, "200 done -"),
               "entry-%d is not routed to", i + 1);
}

void
site_restart_control (struct site *s, int node)
{
  /* A killed process holds its port until it has exited. */
  proc_wait (s->control[node], PROC_WAIT_MS);
  start_control (s, node, s->peer[node]);
}

void
site_replace_vm (struct site *s, int vm)
{
  start_vm (s, vm, proc_addr (s->vm[vm], "http"));
}

/* ---- calls ---- */

const char *
site_call (const struct site *s, int node)
{
  static char line[128];
  struct web_answer a = { 0 };
  struct buf log = BUF_INIT;

  web_call (s->http[node], "POST", "/v1/completions", FRONT_KEY,
            front_prompt ("quote", false, 4), &a);
  front_log_answer (&log, &a);
  snprintf (line, sizeof line, "%s", buf_c (&log));
  line[strcspn (line, "\n")] = '\0';
  buf_free (&log);
  web_free (&a);
  return line;
}

bool
site_call_until (const struct site *s, int node, const char *outcome)
{
  for (int i = 0; i < MAX_POLLS; i++)
    {
      if (strcmp (site_call (s, node), outcome) == 0)
        return true;
      usleep (POLL_INTERVAL_US);
    }
  return false;
}

/* ---- state reported by control ---- */

void
site_until (const struct site *s, int node, const char *text)
{
  cr_assert (web_poll_until (s->admin[node], REPLICA, SITE_ADMIN, text, 60000),
             "entry-%d did not return %s", node + 1, text);
}

void
site_until_both (const struct site *s, const char *text)
{
  for (int i = 0; i < SITE_NODES; i++)
    site_until (s, i, text);
}

int
site_owner (const struct site *s)
{
  struct web_answer a = { 0 };
  int which;

  cr_assert (web_call (s->admin[0], "GET", REPLICA, SITE_ADMIN, NULL, &a));
  which = strstr (buf_c (&a.body), "\"owner\":\"entry-2\"") != NULL;
  web_free (&a);
  return which;
}

void
site_store_fault (const struct site *s, const char *json)
{
  struct web_answer a = { 0 };

  cr_assert (web_call (proc_addr (s->store, "control"), "POST", "/control/set",
                       NULL, json, &a));
  cr_assert_eq (a.status, 200);
  web_free (&a);
}

/** Returns the number after a JSON key in a response. */
static long
number_at (const char *addr, const char *path, const char *key)
{
  struct web_answer a = { 0 };
  const char *at;
  long n;

  cr_assert (web_call (addr, "GET", path, SITE_ADMIN, NULL, &a));
  at = strstr (buf_c (&a.body), key);
  cr_assert_not_null (at, "no %s in %s", key, path);
  n = strtol (at + strlen (key) + strspn (at + strlen (key), ": "), NULL, 10);
  web_free (&a);
  return n;
}

long
site_fence (const struct site *s, int node)
{
  return number_at (s->admin[node], REPLICA, "\"fence\"");
}

void
site_until_fence_above (const struct site *s, int node, long fence)
{
  for (int i = 0; i < MAX_POLLS; i++)
    {
      if (site_fence (s, node) > fence)
        return;
      usleep (POLL_INTERVAL_US);
    }
  cr_assert (false, "entry-%d did not become the owner", node + 1);
}

long
site_vm_number (const struct site *s, int vm, const char *key)
{
  return number_at (proc_addr (s->vm[vm], "http"), "/lapis/v1/state", key);
}
