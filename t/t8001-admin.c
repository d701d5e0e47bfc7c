#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/admin.h"
#include "t/lib-front.h"
#include "t/lib-transcript.h"

/*
 * The administration API with stubs for the other modules.  Each test checks a
 * transcript of commands and their output:
 *   call TOKEN METHOD PATH [BODY]   until it ends or waits for a process
 *   disconnect                      the client of the pending call disconnects
 *   answer done|refused             DrainAnswer of the other node
 *   ask node|replica NAME           DrainAsk of another node
 *   spans gateway|peer NAME         one span arrives
 *   wait                            until the pending call has ended
 */

#define WAIT_MS 10000

static struct fixture
{
  struct ctl c;
  uv_loop_t loop;
  struct buf log;
  struct net_addr admin_addr;
  struct httpc_call *call;
  struct buf body;
  int status;
  bool linked; /* to entry-2 */
  bool gateway;
  bool sent;           /* to another process, for the pending call */
  uint64_t request_id; /* of the last request sent */
} fx;

/* --- stubs -------------------------------------------------------------- */

static const struct mbr_node nodes[] = {
  { .name = STR ("entry-1"), .zone = STR ("hall-a"), .boot = 1 },
  { .name = STR ("entry-2"), .boot = 1, .status = MBR_DEAD },
  { .name = STR ("entry-2"),
    .zone = STR ("hall-b"),
    .boot = 2,
    .config_revision = 6 },
  { .name = STR ("entry-3"), .boot = 1, .status = MBR_DEAD },
};

const struct mbr_node *const *
ctl_swim_nodes (const struct ctl_swim *s, size_t *n)
{
  static const struct mbr_node *all[]
      = { &nodes[0], &nodes[1], &nodes[2], &nodes[3] };
  *n = 4;
  return all;
}

const struct mbr_counts *
ctl_swim_counts (const struct ctl_swim *s)
{
  static const struct mbr_counts none;
  return &none;
}

const struct ctl_replica *
ctl_domains_replicas (struct ctl_domains *d, size_t *n)
{
  static const struct ctl_replica all[] = {
    { .name = STR ("mine"), .owner = STR ("entry-1"), .state = "serving" },
    { .name = STR ("theirs"), .owner = STR ("entry-2"), .state = "serving" },
    { .name = STR ("orphan"), .state = "serving" },
  };
  *n = 3;
  return all;
}

bool
ctl_domains_drain (struct ctl_domains *d, struct str replica, bool on)
{
  buf_addf (&fx.log, "  drain %.*s %s\n", STR_ARG (replica),
            on ? "on" : "off");
  return true;
}

static void
log_frame (const char *to, const Lapis__Frame *f)
{
  if (f->body_case == LAPIS__FRAME__BODY_DRAIN_ASK)
    {
      const Lapis__DrainAsk *ask = f->drain_ask;
      buf_addf (&fx.log, "  to %s: drain node=%s replica=%s %s by %s\n", to,
                ask->node, ask->replica, ask->on ? "on" : "off", ask->who);
      fx.request_id = ask->id;
      fx.sent = true;
    }
  else if (f->body_case == LAPIS__FRAME__BODY_DRAIN_ANSWER)
    buf_addf (
        &fx.log, "  to %s: %s%s\n", to,
        f->drain_answer->done ? "done" : "refused: ", f->drain_answer->reason);
  else if (f->body_case == LAPIS__FRAME__BODY_TRACE_ASK)
    {
      buf_addf (&fx.log, "  to %s: spans?\n", to);
      fx.request_id = f->trace_ask->id;
      fx.sent = true;
    }
}

bool
ctl_peers_send_node (struct ctl_peers *p, struct str node,
                     const Lapis__Frame *f)
{
  char *to = str_dup (node);
  if (fx.linked)
    log_frame (to, f);
  free (to);
  return fx.linked;
}

bool
ctl_peers_send (struct ctl_peers *p, uint64_t peer, const Lapis__Frame *f)
{
  log_frame ("peer", f);
  return true;
}

size_t
ctl_peers_traffic (const struct ctl_peers *p, uint64_t *out, uint64_t *in)
{
  *out = *in = 0;
  return fx.linked;
}

struct str
ctl_spread_text (const struct ctl_spread *s)
{
  return STR ("{}");
}

bool
ctl_views_linked (const struct ctl_views *v)
{
  return fx.gateway;
}

bool
ctl_views_request_spans (struct ctl_views *v, uint64_t id,
                         const uint8_t trace[16])
{
  fx.request_id = id;
  fx.sent = fx.gateway;
  return fx.gateway;
}

void
ctl_views_traffic (const struct ctl_views *v, uint64_t *out, uint64_t *in)
{
  *out = *in = 0;
}

void
ctl_leave (struct ctl *c)
{
  buf_add_c (&fx.log, "  leave\n");
}

/* --- calls -------------------------------------------------------------- */

static bool
on_connected (void *ctx)
{
  return true;
}

static void
on_head (void *ctx, int status, const struct http_header *headers, size_t n)
{
  fx.status = status;
}

static void
on_body (void *ctx, struct str bytes)
{
  buf_add (&fx.body, bytes);
}

static void
on_end (void *ctx, enum httpc_end end)
{
  char code[64];
  if (sscanf (buf_c (&fx.body), "{\"error\":{\"code\":\"%63[^\"]", code) == 1)
    buf_addf (&fx.log, "  %d %s\n", fx.status, code);
  else
    buf_addf (&fx.log, "  %d %s", fx.status, fx.body.ptr);
  fx.call = NULL;
}

/* Runs the loop until the call has ended or, unless `until_end`, a request to
   another process was sent. */
static void
run_loop (bool until_end)
{
  clk_ms until = clk_now () + WAIT_MS;
  while (fx.call && (until_end || !fx.sent))
    {
      cr_assert_lt (clk_now (), until, "no answer; so far:\n%s",
                    buf_c (&fx.log));
      uv_run (&fx.loop, UV_RUN_NOWAIT);
    }
}

static void
do_call (char *rest)
{
  static const struct httpc_callbacks callbacks
      = { .on_connected = on_connected,
          .on_head = on_head,
          .on_body = on_body,
          .on_end = on_end };
  char token[32];
  char method[8];
  char path[128];
  char body[64] = "";
  char bearer[64];
  sscanf (rest, "%31s %7s %127s %63s", token, method, path, body);
  snprintf (bearer, sizeof bearer, "Bearer %s", token);
  struct http_header header = { STR ("authorization"), str_from (bearer) };
  struct httpc_request req = { .to = fx.admin_addr,
                               .method = str_from (method),
                               .path = str_from (path),
                               .headers = &header,
                               .nheaders = strcmp (token, "-") != 0,
                               .body = str_from (body),
                               .connect_ms = WAIT_MS,
                               .progress_ms = WAIT_MS,
                               .fresh = true };
  buf_clear (&fx.body);
  fx.sent = false;
  fx.call = httpc_start (fx.c.http, &req, &callbacks, NULL);
  run_loop (false);
}

static void
do_disconnect (void)
{
  httpc_cancel (fx.call);
  fx.call = NULL;
  while (httpd_open (fx.c.admin->httpd) > 0)
    uv_run (&fx.loop, UV_RUN_NOWAIT);
}

static void
do_answer (const char *what)
{
  Lapis__DrainAnswer answer = LAPIS__DRAIN_ANSWER__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  answer.id = fx.request_id;
  answer.done = strcmp (what, "done") == 0;
  answer.reason = "not the owner";
  f.body_case = LAPIS__FRAME__BODY_DRAIN_ANSWER;
  f.drain_answer = &answer;
  ctl_admin_on_frame (fx.c.admin, 1, &f);
}

static void
do_ask (const char *kind, char *name)
{
  Lapis__DrainAsk ask = LAPIS__DRAIN_ASK__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  ask.id = 9;
  ask.on = true;
  ask.who = "amina";
  if (strcmp (kind, "node") == 0)
    ask.node = name;
  else
    ask.replica = name;
  f.body_case = LAPIS__FRAME__BODY_DRAIN_ASK;
  f.drain_ask = &ask;
  ctl_admin_on_frame (fx.c.admin, 1, &f);
}

static void
do_spans (const char *from, const char *name)
{
  char json[64];
  snprintf (json, sizeof json, "[{\"name\":\"%s\"}]", name);
  Lapis__TraceAnswer answer = LAPIS__TRACE_ANSWER__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  answer.id = fx.request_id;
  answer.json = (ProtobufCBinaryData){ strlen (json), (uint8_t *)json };
  f.body_case = LAPIS__FRAME__BODY_TRACE_ANSWER;
  f.trace_answer = &answer;
  if (strcmp (from, "gateway") == 0)
    ctl_admin_on_spans (fx.c.admin, fx.request_id, str_from (json));
  else
    ctl_admin_on_frame (fx.c.admin, 1, &f);
}

static void
run_line (char *line)
{
  char command[16];
  char a[64] = "";
  char b[64] = "";
  int used = 0;
  sscanf (line, "%15s%n %63s %63s", command, &used, a, b);
  if (strcmp (command, "call") == 0)
    do_call (line + used);
  else if (strcmp (command, "disconnect") == 0)
    do_disconnect ();
  else if (strcmp (command, "answer") == 0)
    do_answer (a);
  else if (strcmp (command, "ask") == 0)
    do_ask (a, b);
  else if (strcmp (command, "spans") == 0)
    do_spans (a, b);
  if (strcmp (command, "call") != 0)
    run_loop (strcmp (command, "wait") == 0
              || strcmp (command, "answer") == 0);
}

/* --- setup -------------------------------------------------------------- */

static struct cfg *
make_config (void)
{
  struct buf text = BUF_INIT;
  struct fnd_list found = { 0 };
  buf_addf (
      &text,
      "{\"operators\":{\"wei\":{\"token_digest\":\"%s\",\"role\":"
      "\"viewer\"},\"amina\":{\"token_digest\":\"%s\",\"role\":"
      "\"operator\"}},\"accounts\":{\"broker-app\":{\"key_digests\":"
      "[\"%064d\"],\"weight\":2,\"tokens_per_s\":1000,\"may\":[\"*\"]}}}",
      front_digest ("view"), front_digest ("operate"), 1);
  struct cfg *cfg = cfg_parse (buf_str (&text), 7, &found);
  buf_clear (&text);
  fnd_print (&found, &text);
  cr_assert_not_null (cfg, "%s", buf_c (&text));
  fnd_free (&found);
  buf_free (&text);
  return cfg;
}

static void
setup (void)
{
  struct buf err = BUF_INIT;
  uv_loop_init (&fx.loop);
  fx.c.loop = &fx.loop;
  fx.c.http = httpc_new (&fx.loop);
  fx.c.set.node = "entry-1";
  fx.c.spans = trc_ring_new (4);
  snprintf (fx.c.set.control_admin.host, sizeof fx.c.set.control_admin.host,
            "127.0.0.1");
  fx.c.admin = ctl_admin_start (&fx.c, &err);
  cr_assert_not_null (fx.c.admin, "%s", buf_c (&err));
  fx.admin_addr = fx.c.set.control_admin;
  fx.admin_addr.port = ctl_admin_port (fx.c.admin);
  fx.linked = fx.gateway = true;
  log_setup (LOG_JSON, LOG_ERROR, STR ("entry-1"));
}

static void
teardown (void)
{
  ctl_admin_stop (fx.c.admin);
  httpc_free (fx.c.http);
  uv_run (&fx.loop, UV_RUN_DEFAULT);
  uv_loop_close (&fx.loop);
  trc_ring_free (fx.c.spans);
  if (fx.c.cfg)
    cfg_unref (fx.c.cfg);
  buf_free (&fx.body);
  buf_free (&fx.log);
}

static void
check (const char *transcript)
{
  transcript_check (&fx.log, run_line, transcript);
}

TestSuite (admin, .init = setup, .fini = teardown, .timeout = 60);

Test (admin, requests_fail_without_a_configuration)
{
  check ("> call operate GET /admin/v1/nodes\n"
         "  503 no-configuration\n");
}

Test (admin, roles)
{
  /* A viewer can list everything and change nothing; without a valid token
     even unknown paths are answered with 401, so that no path is revealed. */
  fx.c.cfg = make_config ();
  check ("> call - GET /admin/v1/nodes\n"
         "  401 unauthorized\n"
         "> call wrong GET /nowhere\n"
         "  401 unauthorized\n"
         "> call view GET /nowhere\n"
         "  404 no-such-path\n"
         "> call view GET /admin/v1/replicas/mine/drain\n"
         "  405 method\n"
         "> call view GET /admin/v1/nodes/entry-1/drain/more\n"
         "  404 no-such-path\n"
         "> call view POST /admin/v1/replicas/mine/drain\n"
         "  403 forbidden\n"
         "> call view POST /admin/v1/nodes/entry-1/drain\n"
         "  403 forbidden\n"
         "> call operate POST /admin/v1/nodes/entry-1/drain\n"
         "  leave\n"
         "  200 {\"done\":true,\"name\":\"entry-1\",\"node\":\"entry-1\"}\n");
}

Test (admin, lists_contain_no_digests)
{
  fx.c.cfg = make_config ();
  check ("> call view GET /admin/v1/accounts\n"
         "  200 {\"revision\":7,\"accounts\":[{\"account\":\"broker-app\","
         "\"keys\":1,\"weight\":2,\"priority\":1,\"tokens_per_s\":1000,"
         "\"concurrency\":0,\"may\":[\"*\"]}]}\n"
         "> call view GET /admin/v1/status\n"
         "  200 {\"revision\":7,\"nodes\":["
         "{\"node\":\"entry-1\",\"zone\":\"hall-a\",\"status\":\"alive\","
         "\"revision\":0},"
         "{\"node\":\"entry-2\",\"zone\":\"hall-b\",\"status\":\"alive\","
         "\"revision\":6}]}\n"
         "> call view GET /admin/v1/nodes/entry-9\n"
         "  404 no-node\n"
         "> call view GET /admin/v1/replicas/nothing\n"
         "  404 no-replica\n");
}

Test (admin, drains_are_forwarded_to_the_owner)
{
  /* Any node accepts the call and forwards it to the owner of the domain, or
     to the node to drain, and forwards the answer. */
  fx.c.cfg = make_config ();
  check ("> call operate POST /admin/v1/replicas/mine/drain\n"
         "  drain mine on\n"
         "  200 {\"done\":true,\"name\":\"mine\",\"node\":\"entry-1\"}\n"
         "> call operate POST /admin/v1/replicas/mine/drain {\"on\":false}\n"
         "  drain mine off\n"
         "  200 {\"done\":true,\"name\":\"mine\",\"node\":\"entry-1\"}\n"
         "> call operate POST /admin/v1/replicas/theirs/drain\n"
         "  to entry-2: drain node= replica=theirs on by amina\n"
         "> answer done\n"
         "  200 {\"done\":true,\"name\":\"theirs\",\"node\":\"entry-2\"}\n"
         "> call operate POST /admin/v1/replicas/theirs/drain "
         "{\"on\":false}\n"
         "  to entry-2: drain node= replica=theirs off by amina\n"
         "> answer refused\n"
         "  409 not-drained\n"
         "> call operate POST /admin/v1/replicas/orphan/drain\n"
         "  503 no-owner\n"
         "> call operate POST /admin/v1/nodes/entry-2/drain\n"
         "  to entry-2: drain node=entry-2 replica= on by amina\n"
         "> answer done\n"
         "  200 {\"done\":true,\"name\":\"entry-2\",\"node\":\"entry-2\"}\n"
         "> call operate POST /admin/v1/nodes/entry-2/drain {\"on\":false}\n"
         "  400 not-taken-back\n"
         "> call operate POST /admin/v1/nodes/entry-9/drain\n"
         "  404 no-node\n");
}

Test (admin, malformed_body_drains_nothing)
{
  /* A malformed body in a request to end a drain must not count as empty,
     which would drain what the operator meant to keep. */
  fx.c.cfg = make_config ();
  check ("> call operate POST /admin/v1/replicas/mine/drain "
         "{\"on\":\"false\"}\n"
         "  400 bad-request\n"
         "> call operate POST /admin/v1/replicas/mine/drain {\"off\":true}\n"
         "  400 bad-request\n"
         "> call operate POST /admin/v1/replicas/mine/drain on=false\n"
         "  400 bad-request\n"
         "> call operate POST /admin/v1/nodes/entry-1/drain {\"on\":0}\n"
         "  400 bad-request\n"
         "> call operate POST /admin/v1/nodes/entry-1/drain []\n"
         "  400 bad-request\n"
         "> call operate POST /admin/v1/nodes/entry-1/drain 1\n"
         "  400 bad-request\n"
         "> call operate POST /admin/v1/replicas/mine/drain {}\n"
         "  drain mine on\n"
         "  200 {\"done\":true,\"name\":\"mine\",\"node\":\"entry-1\"}\n"
         "> call operate POST /admin/v1/replicas/mine/drain {\"on\":true}\n"
         "  drain mine on\n"
         "  200 {\"done\":true,\"name\":\"mine\",\"node\":\"entry-1\"}\n");
}

Test (admin, drain_forwarded_by_another_node)
{
  /* The domain may have changed its owner while the frame was in transit: a
     node that is no longer the owner must refuse. */
  fx.c.cfg = make_config ();
  check ("> ask replica mine\n"
         "  drain mine on\n"
         "  to peer: done\n"
         "> ask replica theirs\n"
         "  to peer: refused: that node does not own the domain now\n"
         "> ask replica nothing\n"
         "  to peer: refused: that node does not own the domain now\n"
         "> ask node entry-2\n"
         "  to peer: refused: that node does not own the domain now\n"
         "> ask node entry-1\n"
         "  to peer: done\n"
         "  leave\n");
}

Test (admin, drain_without_a_response)
{
  /* Without an answer the drain may have been executed, and the response must
     say so; without a link it was not.  A late answer, and one to a client
     that has disconnected, are dropped. */
  fx.c.cfg = make_config ();
  check ("> call operate POST /admin/v1/replicas/theirs/drain\n"
         "  to entry-2: drain node= replica=theirs on by amina\n"
         "> wait\n"
         "  504 no-answer\n"
         "> answer done\n"
         "> call operate POST /admin/v1/replicas/theirs/drain\n"
         "  to entry-2: drain node= replica=theirs on by amina\n"
         "> disconnect\n"
         "> answer done\n");
  fx.linked = false;
  check ("> call operate POST /admin/v1/replicas/theirs/drain\n"
         "  503 unreachable\n");
}

#define TRACE "4bf92f3577b34da6a3ce929d0e0e4736"

Test (admin, trace_contains_spans_of_all_nodes)
{
  fx.c.cfg = make_config ();
  check ("> call view GET /admin/v1/traces/xyz\n"
         "  400 no-trace-id\n"
         "> call view GET /admin/v1/traces/" TRACE "\n"
         "  to entry-2: spans?\n"
         "> spans gateway a\n"
         "> spans peer b\n"
         "> wait\n"
         "  200 {\"trace\":\"" TRACE "\",\"missing_nodes\":0,\"spans\":"
         "[{\"name\":\"a\"},{\"name\":\"b\"}]}\n"
         "> spans peer late\n");
  check ("> call view GET /admin/v1/traces/" TRACE "\n"
         "  to entry-2: spans?\n"
         "> spans peer b\n"
         "> wait\n"
         "  200 {\"trace\":\"" TRACE "\",\"missing_nodes\":1,\"spans\":"
         "[{\"name\":\"b\"}]}\n");
}
