#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "t/lib-control.h"

/* Two control processes; the test opens the links of their gateways. */

#define NODES 2

static struct gateway
{
  struct control_gateway at; /* must be first: see on_view() */
  double rate;               /* granted for the account; below 0: none yet */
} gateways[NODES];

static uv_loop_t loop;

static void
on_view (struct control_gateway *at, const Lapis__View *view)
{
  struct gateway *g = (struct gateway *)at;

  for (size_t i = 0; i < view->n_shares; i++)
    if (strcmp (view->shares[i]->account, "acme") == 0)
      g->rate = view->shares[i]->tokens_per_s;
}

static void
connect_gateway (struct gateway *g, const char *name, struct proc *control)
{
  g->rate = -1;
  control_gateway_up (&g->at, &loop, name, proc_addr (control, "peer"),
                      on_view);
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
  if (g->at.state == LINK_UP)
    link_send (g->at.link, &f);
}

static bool
all_granted (double rate)
{
  for (int i = 0; i < NODES; i++)
    if (gateways[i].rate != rate)
      return false;
  return true;
}

/** Sends reports every 200 ms until each gateway has that share. */
static bool
report_until_granted (double rate, clk_ms wait_ms)
{
  clk_ms until = clk_now () + wait_ms, next = 0;
  while (!all_granted (rate) && clk_now () < until)
    {
      if (clk_now () >= next)
        {
          next = clk_now () + 200;
          for (int i = 0; i < NODES; i++)
            send_report (&gateways[i]);
        }
      uv_run (&loop, UV_RUN_NOWAIT);
      uv_sleep (1);
    }
  return all_granted (rate);
}

TestSuite (shares, .fini = proc_stop_all, .timeout = 120);

Test (shares, grants_reach_every_gateway)
{
  /* One of two nodes is home of the account.  The other node must send its
     demand there and receive the grant; otherwise that gateway would keep
     assuming an even share, whatever its demand. */
  struct proc *store = PROC_START_READY ("standin", "store");
  const char *at = proc_addr (store, "http");
  const char *path = control_settings ("entry-1", at, "", "");
  struct proc *one = control_up (path);
  struct proc *two = control_up (
      control_settings ("entry-2", at, proc_addr (one, "peer"), ""));
  cr_assert (web_poll_until (proc_addr (one, "admin"), "/metrics", NULL,
                             "lapisline_control_nodes{status=\"alive\"} 2",
                             PROC_WAIT_MS));
  proc_file ("config/10-all.json",
             "{\"accounts\":{\"acme\":{\"key_digests\":[],\"may\":[\"*\"],"
             "\"tokens_per_s\":1000}}}");
  control_push ("--settings", path);
  uv_loop_init (&loop);
  connect_gateway (&gateways[0], "entry-1", one);
  connect_gateway (&gateways[1], "entry-2", two);
  cr_expect (report_until_granted (500, 3 * PROC_WAIT_MS),
             "granted: %.0f and %.0f", gateways[0].rate, gateways[1].rate);
  for (int i = 0; i < NODES; i++)
    if (gateways[i].at.state == LINK_UP)
      link_close (gateways[i].at.link);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
}
