#include <criterion/criterion.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <string.h>

#include "net/link.h"
#include "t/lib-proc.h"

/* Two control processes as they ship, with links of this test in the place of
   their gateways. */

#define SECRET "a secret of the test"
#define NODES 2

static struct gateway
{
  const char *name;
  struct link *link;
  bool up;
  double rate; /* granted for the account; below 0: nothing came */
} gws[NODES];

static uv_loop_t loop;

static const char *
settings (const char *node, const char *store, const char *peer)
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
      node, store, peer ? "\"" : "", peer ? peer : "", peer ? "\"" : "");
}

static void
on_state (void *ctx, struct link *l, enum link_state state)
{
  struct gateway *g = ctx;
  Lapis__Hello hello = LAPIS__HELLO__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  g->up = state == LINK_UP;
  hello.node = (char *)g->name;
  hello.boot = 1;
  hello.role = "gateway";
  hello.http_addr = "127.0.0.1:8080";
  hello.peer_addr = "127.0.0.1:7001";
  f.body_case = LAPIS__FRAME__BODY_HELLO;
  f.hello = &hello;
  if (g->up)
    link_send (l, &f);
}

static void
on_frame (void *ctx, struct link *l, const Lapis__Frame *f)
{
  struct gateway *g = ctx;
  if (f->body_case != LAPIS__FRAME__BODY_VIEW)
    return;
  for (size_t i = 0; i < f->view->n_shares; i++)
    if (strcmp (f->view->shares[i]->account, "acme") == 0)
      g->rate = f->view->shares[i]->tokens_per_s;
}

static void
gateway_up (struct gateway *g, const char *name, const char *peer)
{
  static const struct link_callbacks cb = { on_state, on_frame };
  struct link_secret secret;
  struct net_addr to;
  SHA256 ((const uint8_t *)SECRET, strlen (SECRET), secret.key);
  cr_assert (net_addr_parse (str_from (peer), false, &to));
  g->name = name;
  g->rate = -1;
  g->link = link_connect (&loop, &to, &secret, &cb, g);
}

static void
send_report (struct gateway *g)
{
  Lapis__ShareDemand demand = LAPIS__SHARE_DEMAND__INIT;
  Lapis__ShareDemand *list[] = { &demand };
  Lapis__Report report = LAPIS__REPORT__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  demand.account = "acme";
  demand.tokens_per_s = 900;
  report.n_demand = 1;
  report.demand = list;
  report.config_revision = 1;
  f.body_case = LAPIS__FRAME__BODY_REPORT;
  f.report = &report;
  if (g->up)
    link_send (g->link, &f);
}

static bool
all_granted (double rate)
{
  for (int i = 0; i < NODES; i++)
    if (gws[i].rate != rate)
      return false;
  return true;
}

/** Report every 200 ms until each gateway has that share. */
static bool
pump (double rate, clk_ms wait_ms)
{
  clk_ms until = clk_now () + wait_ms, next = 0;
  while (!all_granted (rate) && clk_now () < until)
    {
      if (clk_now () >= next)
        {
          next = clk_now () + 200;
          for (int i = 0; i < NODES; i++)
            send_report (&gws[i]);
        }
      uv_run (&loop, UV_RUN_NOWAIT);
      uv_sleep (1);
    }
  return all_granted (rate);
}

TestSuite (shares, .fini = proc_stop_all, .timeout = 120);

Test (shares, reach_every_gateway_from_the_home)
{
  /* One of two nodes is home of the account.  The other's demand must reach
     it and the grant come back, or that gateway would stay at what it takes
     for an even part whatever it needs. */
  struct proc *store = PROC_UP ("standin", "store");
  const char *at = proc_addr (store, "http");
  const char *path = settings ("entry-1", at, NULL);
  struct proc *one = PROC_UP ("lapisline", "control", "--settings", path);
  struct proc *two
      = PROC_UP ("lapisline", "control", "--settings",
                 settings ("entry-2", at, proc_addr (one, "peer")));
  cr_assert (web_until (proc_addr (one, "admin"), "/metrics", NULL,
                        "lapisline_control_nodes{status=\"alive\"} 2",
                        PROC_WAIT_MS));
  proc_file ("config/10-all.json",
             "{\"accounts\":{\"acme\":{\"key_digests\":[],\"may\":[\"*\"],"
             "\"tokens_per_s\":1000}}}");
  char folder[256];
  snprintf (folder, sizeof folder, "%s/config", proc_dir ());
  cr_assert_eq (PROC_RUN (NULL, "lapisline", "config", "push", folder,
                          "--settings", path, "--who", "amina"),
                0);
  uv_loop_init (&loop);
  gateway_up (&gws[0], "entry-1", proc_addr (one, "peer"));
  gateway_up (&gws[1], "entry-2", proc_addr (two, "peer"));
  cr_expect (pump (500, 3 * PROC_WAIT_MS), "granted: %.0f and %.0f",
             gws[0].rate, gws[1].rate);
  for (int i = 0; i < NODES; i++)
    if (gws[i].up)
      link_close (gws[i].link);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
}
