#include <criterion/criterion.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net/link.h"
#include "t/lib-proc.h"

/* The control process as it ships, with the store's stand-in and, where a
   gateway is needed, a link of this test in its place. */

#define SECRET "a secret of the test"
#define NOBODY "127.0.0.1:1"

static const char *token_file;

static const char *
settings (const char *node, const char *store, const char *peers)
{
  char name[64];
  proc_file ("secret.txt", SECRET);
  snprintf (name, sizeof name, "%s.json", node);
  return proc_file (
      name,
      "{\"node\":\"%s\",\"zone\":\"hall-a\",\"region\":\"nairobi\","
      "\"gateway\":{\"http\":\"127.0.0.1:0\",\"peer\":\"127.0.0.1:0\"},"
      "\"control\":{\"swim\":\"127.0.0.1:0\",\"peer\":\"127.0.0.1:0\","
      "\"admin\":\"127.0.0.1:0\"},"
      "\"store\":{\"endpoints\":[\"%s\"],\"prefix\":\"/lapisline/\","
      "\"writes_per_s\":50,\"reads_per_s\":200},"
      "\"peers\":[%s%s%s],\"secret_file\":\"secret.txt\"}",
      node, store, peers ? "\"" : "", peers ? peers : "", peers ? "\"" : "");
}

static struct proc *
control_up (const char *path)
{
  return PROC_UP ("lapisline", "control", "--settings", path);
}

static void
digest_of (const char *token, char out[65])
{
  uint8_t hash[SHA256_DIGEST_LENGTH];
  struct buf hex = BUF_INIT;
  SHA256 ((const uint8_t *)token, strlen (token), hash);
  buf_add_hex (&hex, hash, sizeof hash);
  memcpy (out, buf_c (&hex), 65);
  buf_free (&hex);
}

/* Push a configuration and wait until every node has it in force. */
static void
push (const char *path, const char *admin, int address_ms)
{
  char viewer[65];
  char operator[65];
  char folder[256];
  struct buf out = BUF_INIT;
  digest_of ("view", viewer);
  digest_of ("operate", operator);
  token_file = proc_file ("token", "operate\n");
  proc_file ("config/10-all.json",
             "{\"operators\":{\"wei\":{\"token_digest\":\"%s\",\"role\":"
             "\"viewer\"},\"amina\":{\"token_digest\":\"%s\",\"role\":"
             "\"operator\"}},\"limits\":{\"address_ms\":%d}}",
             viewer, operator, address_ms);
  snprintf (folder, sizeof folder, "%s/config", proc_dir ());
  int code = PROC_RUN (&out, "lapisline", "config", "push", folder,
                       "--settings", path, "--who", "amina");
  cr_assert_eq (code, 0, "push: %d %s", code, buf_c (&out));
  code = PROC_RUN (&out, "lapisline", "config", "status", "--wait", "--admin",
                   admin, "--token-file", token_file);
  cr_assert_eq (code, 0, "status: %d %s", code, buf_c (&out));
  buf_free (&out);
}

TestSuite (control, .fini = proc_stop_all, .timeout = 120);

Test (control, wrong_input)
{
  const char *bad = proc_file ("bad.json", "{\"node\":\"\",\"zon\":1}");
  cr_expect_eq (PROC_RUN (NULL, "lapisline", "control"), 2);
  cr_expect_eq (PROC_RUN (NULL, "lapisline", "control", "--bogus"), 2);
  cr_expect_eq (PROC_RUN (NULL, "lapisline", "control", "--settings", bad), 3);
  cr_expect_eq (
      PROC_RUN (NULL, "lapisline", "control", "--settings", "/nowhere.json"),
      3);
}

Test (control, starts_and_stops_without_a_store)
{
  /* The store is down when the VM boots.  The node must come up, answer what
     it can and leave when told, as it would with a store. */
  struct proc *p = control_up (settings ("entry-1", NOBODY, NULL));
  const char *admin = proc_addr (p, "admin");
  struct web_answer a;
  cr_assert (web_call (admin, "GET", "/admin/v1/nodes", NULL, NULL, &a));
  cr_expect_eq (a.status, 503);
  web_free (&a);
  cr_expect (web_until (admin, "/metrics", NULL,
                        "lapisline_control_nodes{status=\"alive\"} 1",
                        PROC_WAIT_MS));
  cr_expect (web_until (admin, "/metrics", NULL,
                        "store_ends_total{end=\"unavailable\"} ",
                        PROC_WAIT_MS));
  cr_expect_eq (PROC_RUN (NULL, "lapisline", "node", "list", "--admin", NOBODY,
                          "--token-file", "/nowhere"),
                2);
  proc_signal (p, SIGTERM);
  cr_expect_eq (proc_wait (p, PROC_WAIT_MS), 0);
}

Test (control, drain_of_another_node)
{
  /* An operator asks one node to drain another.  The other ends with 0, the
     first goes on and says so; a viewer's token and a wrong name change
     nothing. */
  struct proc *store = PROC_UP ("standin", "store");
  const char *at = proc_addr (store, "http");
  const char *path = settings ("entry-1", at, NULL);
  struct proc *one = control_up (path);
  const char *admin = proc_addr (one, "admin");
  struct proc *two
      = control_up (settings ("entry-2", at, proc_addr (one, "peer")));
  struct buf out = BUF_INIT;
  cr_assert (web_until (admin, "/metrics", NULL,
                        "lapisline_control_nodes{status=\"alive\"} 2",
                        PROC_WAIT_MS));
  push (path, admin, 1000);
  const char *viewer = proc_file ("viewer", "view");
  cr_expect_eq (PROC_RUN (NULL, "lapisline", "node", "drain", "entry-2",
                          "--admin", admin, "--token-file", viewer),
                1);
  cr_expect_eq (PROC_RUN (NULL, "lapisline", "node", "drain", "entry-9",
                          "--admin", admin, "--token-file", token_file),
                1);
  cr_expect_eq (proc_wait (two, 0), -1);
  cr_expect_eq (PROC_RUN (&out, "lapisline", "node", "drain", "entry-2",
                          "--admin", admin, "--token-file", token_file),
                0);
  cr_expect_str_eq (buf_c (&out), "node entry-2: draining\n");
  cr_expect_eq (proc_wait (two, PROC_WAIT_MS), 0);
  buf_clear (&out);
  cr_expect_eq (PROC_RUN (&out, "lapisline", "node", "list", "--admin", admin,
                          "--token-file", viewer),
                0);
  cr_expect_null (strstr (buf_c (&out), "entry-2  hall-a  nairobi  alive"),
                  "%s", out.ptr);
  cr_expect_eq (proc_wait (one, 0), -1);
  proc_signal (one, SIGTERM);
  cr_expect_eq (proc_wait (one, PROC_WAIT_MS), 0);
  buf_free (&out);
}

/* --- a gateway's link --------------------------------------------------- */

static struct gateway
{
  uv_loop_t loop;
  struct link *link;
  enum link_state state;
  uint64_t views;
  bool leaving;
  uint64_t revision;
  size_t text;
} gw;

static void
send_hello (void)
{
  Lapis__Hello hello = LAPIS__HELLO__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  hello.node = "entry-1";
  hello.boot = 1;
  hello.role = "gateway";
  hello.http_addr = "127.0.0.1:8080";
  hello.peer_addr = "127.0.0.1:7001";
  f.body_case = LAPIS__FRAME__BODY_HELLO;
  f.hello = &hello;
  cr_assert (link_send (gw.link, &f));
}

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  gw.state = state;
  if (state == LINK_UP)
    send_hello ();
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  if (f->body_case != LAPIS__FRAME__BODY_VIEW)
    return;
  gw.views = f->view->seq;
  gw.leaving = f->view->leaving;
  gw.revision = f->view->config_revision;
  gw.text += f->view->config.len;
}

static void
gateway_up (const char *peer)
{
  static const struct link_callbacks cb = { on_state, on_frame };
  struct link_secret secret;
  struct net_addr to;
  SHA256 ((const uint8_t *)SECRET, strlen (SECRET), secret.key);
  cr_assert (net_addr_parse (str_from (peer), false, &to));
  uv_loop_init (&gw.loop);
  gw.link = link_connect (&gw.loop, &to, &secret, &cb, NULL);
}

static bool
has_text (void)
{
  return gw.views > 0 && gw.text > 0;
}

static bool
is_leaving (void)
{
  return gw.leaving;
}

static bool
is_down (void)
{
  return gw.state == LINK_DOWN;
}

static bool
never (void)
{
  return false;
}

/* Turn the loop, which also keeps the link's heartbeat, until `done`. */
static bool
pump (bool (*done) (void), clk_ms wait_ms)
{
  clk_ms until = clk_now () + wait_ms;
  while (!done () && clk_now () < until)
    {
      uv_run (&gw.loop, UV_RUN_NOWAIT);
      uv_sleep (1);
    }
  return done ();
}

static void
gateway_down (void)
{
  if (gw.state != LINK_DOWN)
    link_close (gw.link);
  uv_run (&gw.loop, UV_RUN_DEFAULT);
  uv_loop_close (&gw.loop);
}

/* One node with a gateway linked and a configuration in force. */
static struct proc *
node_up (int address_ms)
{
  struct proc *store = PROC_UP ("standin", "store");
  const char *path = settings ("entry-1", proc_addr (store, "http"), NULL);
  struct proc *p = control_up (path);
  push (path, proc_addr (p, "admin"), address_ms);
  gateway_up (proc_addr (p, "peer"));
  cr_assert (pump (has_text, PROC_WAIT_MS), "the gateway got no text");
  return p;
}

Test (control, goes_after_its_gateway)
{
  /* SIGTERM while callers still hold this node's address.  The gateway hears
     that the node leaves and serves them out; control goes only after it.
     Without the wait the gateway would lose its views, and with them its
     evidence, while it still serves. */
  struct proc *p = node_up (60000);
  cr_expect (!gw.leaving);
  proc_signal (p, SIGTERM);
  cr_expect (pump (is_leaving, PROC_WAIT_MS), "the gateway was not told");
  cr_expect (!pump (never, 1500));
  cr_expect_eq (proc_wait (p, 0), -1, "control did not wait");
  gateway_down ();
  cr_expect_eq (proc_wait (p, PROC_WAIT_MS), 0);
}

Test (control, goes_when_the_last_address_answer_has_run_out)
{
  /* The gateway hangs and keeps its link.  Nobody holds this node's address
     any more after the longest answer's life, so control goes; a planned
     stop that never ends would be killed, and cut what it protects. */
  struct proc *p = node_up (1500);
  proc_signal (p, SIGTERM);
  cr_expect (pump (is_down, PROC_WAIT_MS), "control waits for ever");
  cr_expect_eq (proc_wait (p, PROC_WAIT_MS), 0);
  cr_expect (gw.leaving);
  gateway_down ();
}
