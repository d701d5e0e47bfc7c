#include "t/lib-rack.h"

#include <criterion/criterion.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/json.h"

#define RETRY_INTERVAL_US 50000
#define MAX_RETRIES 300 /* 15 s */

static double link_mbps; /* 0: unknown */
static int drain_ms = 2000;
static int domain_size = 4;
static int mapped_node = -1; /* negative: the last one */

void
rack_set_mapped_node (int node)
{
  mapped_node = node;
}

void
rack_set_domain_size (int n)
{
  domain_size = n;
}

void
rack_set_drain_ms (int ms)
{
  drain_ms = ms;
}

void
rack_set_link_mbps (double mbps)
{
  link_mbps = mbps;
}

static double retry_ratio = 0.2;
static int retry_slack = 100;

void
rack_set_retry_budget (double ratio, int slack)
{
  retry_ratio = ratio;
  retry_slack = slack;
}

static int stream_ms = 20000, idle_ms = 60000;

void
rack_set_times (int stream, int idle)
{
  stream_ms = stream;
  idle_ms = idle;
}

static int memory_mb, max_fds = 2000;

void
rack_set_machine (int memory, int fds)
{
  memory_mb = memory;
  max_fds = fds;
}

static const char *caller_limits = "\"max_body_bytes\": 10000";
static const char *more_accounts = "";

void
rack_set_limits (const char *limits, const char *accounts)
{
  caller_limits = limits;
  more_accounts = accounts;
}

static int evacuation_ms;

void
rack_set_evacuation_ms (int ms)
{
  evacuation_ms = ms;
}

static const char *cold_bounds = "", *cold_service = "";

void
rack_limit_cold (void)
{
  cold_bounds = ", \"cold_over\": 1.5, \"cold_slack\": 5";
  cold_service = ", \"cold_s\": 3, \"cold_per_s\": 26";
}

static void
write_settings (struct rack *r, int node, const char *at, bool first)
{
  char name[32], evacuation[32] = "", memory[32] = "";
  int port[4];

  if (evacuation_ms > 0)
    snprintf (evacuation, sizeof evacuation, " \"evac_ms\": %d,",
              evacuation_ms);
  if (memory_mb > 0)
    snprintf (memory, sizeof memory, ", \"memory_mb\": %d", memory_mb);
  for (int i = 0; i < 4; i++)
    port[i] = proc_port ();
  snprintf (name, sizeof name, "node-%d.json", node + 1);
  snprintf (r->front[node], sizeof r->front[node], "127.0.0.1:%d", port[0]);
  snprintf (r->ready[node], sizeof r->ready[node], "127.0.0.1:%d", port[1]);
  snprintf (r->directory[node], sizeof r->directory[node], "127.0.0.1:%d",
            port[2]);
  snprintf (
      r->settings[node], sizeof r->settings[node], "%s",
      proc_file (
          name,
          "{\"node_name\": \"node-%d\", \"zone\": \"z1\", \"region\": \"r\",\n"
          " \"bootstrap\": %s,\n"
          " \"listen\": {\"front\": \"127.0.0.1:%d\", \"ready\": "
          "\"127.0.0.1:%d\", \"directory\": \"127.0.0.1:%d\"},\n"
          " \"port_range\": [%d, %d], \"limits\": {\"max_fds\": %d, "
          "\"link_mbps\": %g%s},\n"
          " \"bounds\": {%s\"drain_ms\": %d, \"grace_s\": 8,\n"
          "  \"config_apply_ms\": 2000, \"ttl_max_s\": 5, \"stall_ms\": "
          "1500,\n"
          "  \"retry_ratio\": %g, \"retry_slack\": %d,\n"
          "  \"retry_window_s\": 10, \"ceiling_window_s\": 5,\n"
          "  \"ceiling_over\": 1.1%s},\n"
          " \"platform\": {\"address\": \"%s\", \"writes_per_s\": 400,\n"
          "  \"reads_per_s\": 2000, \"ttl_min_ms\": 1000}}\n",
          node + 1, first ? "true" : "false", port[0], port[1], port[2],
          port[3], port[3], max_fds, link_mbps, memory, evacuation, drain_ms,
          retry_ratio, retry_slack, cold_bounds, at));
}

void
rack_prepare_nodes (struct rack *r, int engines, int nodes,
                    const char *(*map) (const char *at))
{
  int mapped = mapped_node >= 0 ? mapped_node : nodes - 1;
  char n[8], size[8];

  memset (r, 0, sizeof *r);
  r->logs = getenv ("RACK_LOGS");
  snprintf (n, sizeof n, "%d", engines);
  snprintf (size, sizeof size, "%d", domain_size);
  r->platform = PROC_START_READY ("standin", "rack", "--engines", n,
                                  "--domain-size", size);
  r->platform_addr = proc_addr (r->platform, "http");
  for (int i = 0; i < nodes; i++)
    write_settings (
        r, i, map && i == mapped ? map (r->platform_addr) : r->platform_addr,
        nodes > RACK_NODES);
}

static uint64_t
node_hash (int node)
{
  char name[24];

  snprintf (name, sizeof name, "node-%d", node + 1);
  return str_hash (str_from (name), 0);
}

int
rack_leader (int nodes)
{
  int leader = 0;

  for (int i = 1; i < nodes; i++)
    if (node_hash (i) < node_hash (leader))
      leader = i;
  return leader;
}

/** Whether the node comes last in the order of relays among those before it:
    it connects to them, and they don't connect to it. */
static bool
comes_last (int node)
{
  for (int i = 0; i < node; i++)
    if (node_hash (i) > node_hash (node))
      return false;
  return true;
}

static const struct rack *prepared;

static const char *
second_address (const char *at)
{
  (void)at;
  return proc_addr (prepared->platform, "side");
}

int
rack_prepare_cut (struct rack *r, int engines, int min_nodes, int *leader)
{
  int nodes = min_nodes;

  while (!comes_last (nodes - 1))
    nodes++;
  *leader = rack_leader (nodes);
  prepared = r;
  rack_prepare_nodes (r, engines, nodes, second_address);
  rack_set (r, "{\"side_hides\": \"node-%d\"}", *leader + 1);
  return nodes;
}

void
rack_start_platform (struct rack *r, int engines)
{
  rack_prepare_nodes (r, engines, RACK_NODES, NULL);
}

void
rack_start_node (struct rack *r, int node)
{
  const char *const argv[]
      = { "lapisline",       "serve", "--log-format", "text", "--settings",
          r->settings[node], NULL };
  struct web_answer a = { 0 };
  char path[512];

  snprintf (path, sizeof path, "%s/node-%d.log", r->logs ? r->logs : "",
            node + 1);
  r->node[node] = r->logs ? proc_start_to (argv, path) : proc_start (argv);
  for (int i = 0; i < MAX_RETRIES; i++)
    {
      bool ok = web_call (r->ready[node], "GET", "/ready", NULL, NULL, &a);
      web_free (&a);
      if (ok)
        return;
      usleep (RETRY_INTERVAL_US);
    }
  cr_assert (false, "node %d doesn't listen on its ready port", node);
}

void
rack_set (const struct rack *r, const char *fmt, ...)
{
  struct web_answer a = { 0 };
  char text[8192];
  va_list args;

  va_start (args, fmt);
  vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  cr_assert (
      web_call (r->platform_addr, "POST", "/control/set", NULL, text, &a));
  web_free (&a);
}

void
rack_configure (const struct rack *r, int version, const char *key,
                const char *more)
{
  rack_set (r,
            "{\"config\": {\"version\": %d, \"routes\": ["
            "{\"name\": \"s\", \"host\": \"h\", \"prefix\": \"/stream/\","
            " \"kind\": \"streaming\", \"timeout_ms\": %d, \"goal_ms\": 1000,"
            " \"gap_goal_ms\": 500, \"priority\": 1, \"service\": \"lm\","
            " \"max_attempts\": 3, \"resumable\": true},"
            "{\"name\": \"o\", \"host\": \"h\", \"prefix\": \"/once/\","
            " \"kind\": \"non_idempotent\", \"timeout_ms\": 1500,"
            " \"goal_ms\": 300, \"priority\": 2, \"service\": \"app\","
            " \"max_attempts\": 2},"
            "{\"name\": \"f\", \"host\": \"h\", \"prefix\": \"/safe/\","
            " \"kind\": \"idempotent\", \"timeout_ms\": 3000,"
            " \"goal_ms\": 300, \"priority\": 2, \"service\": \"app\","
            " \"max_attempts\": 2}%s],"
            "\"services\": [{\"name\": \"lm\", \"health_path\": \"/h\","
            " \"engine\": {\"capacity\": 8, \"loads_per_s\": 10,"
            " \"models\": [{\"name\": \"big\", \"size\": 3, \"share\": 1,"
            " \"pace\": 1, \"load_s\": 0.4, \"warm_s\": 0.1}]}},"
            "{\"name\": \"app\", \"health_path\": \"/h\"%s}],"
            "\"limits\": {%s, \"idle_timeout_ms\": %d},"
            "\"tenants\": [{\"name\": \"acc\", \"api_keys\": [\"%s\"]}%s]}}",
            version, stream_ms, more, cold_service, caller_limits, idle_ms,
            key, more_accounts);
}

void
rack_start_all (struct rack *r, int engines)
{
  char has_leader[64];

  rack_start_platform (r, engines);
  rack_configure (r, 1, "k1", "");
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (r, i);
  for (int i = 0; i < RACK_NODES; i++)
    cr_assert (
        rack_call_until (r, i, "/stream/x", rack_headers ("warm"), 200));
  /* Wait until a server leads a replica. */
  snprintf (has_leader, sizeof has_leader, "\"leads\": true");
  cr_assert (rack_wait_for_counts (r, has_leader));
}

void
rack_start_many (struct rack *r, int engines)
{
  rack_prepare_nodes (r, engines, RACK_MANY_NODES, NULL);
  rack_configure (r, 1, "k1", "");
  for (int i = 0; i < RACK_MANY_NODES; i++)
    rack_start_node (r, i);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_assert (
        rack_call_until (r, i, "/stream/x", rack_headers ("warm"), 200));
}

const char *
rack_headers (const char *id)
{
  static _Thread_local char text[256];

  snprintf (text, sizeof text,
            "Host: h\r\nX-Lapisline-Request-Id: %s\r\n"
            "X-Lapisline-Model: big\r\nX-Api-Key: k1\r\n",
            id);
  return text;
}

int
rack_stream (const struct rack *r, int node, const char *id, struct buf *body)
{
  struct web_answer a = { 0 };
  int status;

  web_call (r->front[node], "POST", "/stream/x", rack_headers (id), "hello",
            &a);
  status = a.whole ? a.status : -a.status;
  buf_add (body, buf_str (&a.body));
  web_free (&a);
  return status;
}

int
rack_call (const struct rack *r, int node, const char *path, const char *id,
           const char *headers, struct buf *body)
{
  struct web_answer a = { 0 };
  int status;

  web_call (r->front[node], "POST", path,
            headers ? headers : rack_headers (id), "hello", &a);
  status = a.whole ? a.status : -a.status;
  if (body)
    buf_add (body, buf_str (&a.body));
  web_free (&a);
  return status;
}

bool
rack_call_until (const struct rack *r, int node, const char *path,
                 const char *headers, int status)
{
  char *copy = xstrdup (headers);
  bool ok = false;

  for (int i = 0; i < MAX_RETRIES && !ok; i++)
    {
      ok = rack_call (r, node, path, "", copy, NULL) == status;
      if (!ok)
        usleep (RETRY_INTERVAL_US);
    }
  free (copy);
  return ok;
}

bool
rack_wait_for_counts (const struct rack *r, const char *text)
{
  return web_poll_until (r->platform_addr, "/control/counts", NULL, text,
                         PROC_WAIT_MS);
}

int
rack_get_count (const struct rack *r, const char *server, const char *what)
{
  struct web_answer a = { 0 };
  struct json_object *o;
  int n;

  web_call (r->platform_addr, "GET", "/control/counts", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  n = (int)jsn_int (jsn_object (o, server), what);
  json_object_put (o);
  web_free (&a);
  return n;
}

bool
rack_is_complete (struct buf *body, int n)
{
  struct buf expected = BUF_INIT;
  bool same;

  for (int i = 1; i <= n; i++)
    buf_addf (&expected, "id: %d\ndata: w%d\n\n", i, i);
  same = str_eq (buf_str (body), buf_str (&expected));
  if (!same)
    cr_log_warn ("unexpected body:\n%s", buf_c (body));
  buf_free (&expected);
  return same;
}
