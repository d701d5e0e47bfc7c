#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/lib-control.h"

/* The control process with the store's stand-in and, where a test needs a
   gateway, a link that the test opens itself. */

#define UNREACHABLE "127.0.0.1:1"

static const char *token_file;

/* Pushes a configuration and waits until it is in force at every node. */
static void
push (const char *path, const char *admin, int address_ms)
{
  struct buf out = BUF_INIT;
  int code;

  token_file = proc_file ("token", "operate\n");
  proc_file ("config/10-all.json",
             "{\"operators\":{\"wei\":{\"token_digest\":\"%s\",\"role\":"
             "\"viewer\"},\"amina\":{\"token_digest\":\"%s\",\"role\":"
             "\"operator\"}},\"limits\":{\"address_ms\":%d}}",
             front_digest ("view"), front_digest ("operate"), address_ms);
  control_push ("--settings", path);
  code = PROC_RUN (&out, "lapisline", "config", "status", "--wait", "--admin",
                   admin, "--token-file", token_file);
  cr_assert_eq (code, 0, "status: %d %s", code, buf_c (&out));
  buf_free (&out);
}

TestSuite (control, .fini = proc_stop_all, .timeout = 120);

Test (control, invalid_settings)
{
  const char *bad = proc_file ("bad.json", "{\"node\":\"\",\"zon\":1}");
  cr_expect_eq (PROC_RUN (NULL, "lapisline", "control", "--settings", bad), 3);
}

Test (control, starts_and_stops_without_a_store)
{
  /* With the store down when the VM boots, the process must start, respond to
     requests that need no store and leave on SIGTERM. */
  struct proc *p
      = control_up (control_settings ("entry-1", UNREACHABLE, "", ""));
  const char *admin = proc_addr (p, "admin");
  struct web_answer a;
  cr_assert (web_call (admin, "GET", "/admin/v1/nodes", NULL, NULL, &a));
  cr_expect_eq (a.status, 503);
  web_free (&a);
  cr_expect (web_poll_until (admin, "/metrics", NULL,
                             "lapisline_control_nodes{status=\"alive\"} 1",
                             PROC_WAIT_MS));
  cr_expect (web_poll_until (admin, "/metrics", NULL,
                             "store_ends_total{end=\"unavailable\"} ",
                             PROC_WAIT_MS));
  cr_expect_eq (PROC_RUN (NULL, "lapisline", "node", "list", "--admin",
                          UNREACHABLE, "--token-file", "/nowhere"),
                2);
  proc_signal (p, SIGTERM);
  cr_expect_eq (proc_wait (p, PROC_WAIT_MS), 0);
}

Test (control, drain_of_another_node)
{
  /* An operator drains one node through another.  The drained process exits
     with 0, the other one keeps running and no longer lists it as alive.  A
     viewer's token and an unknown name change nothing. */
  struct proc *store = PROC_START_READY ("standin", "store");
  const char *at = proc_addr (store, "http");
  const char *path = control_settings ("entry-1", at, "", "");
  struct proc *one = control_up (path);
  const char *admin = proc_addr (one, "admin");
  struct proc *two = control_up (
      control_settings ("entry-2", at, proc_addr (one, "peer"), ""));
  struct buf out = BUF_INIT;
  cr_assert (web_poll_until (admin, "/metrics", NULL,
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

/* --- the gateway's link ------------------------------------------------- */

static uv_loop_t loop;
static struct control_gateway gw;
static uint64_t last_view;
static bool leaving;
static size_t text_bytes;

static void
on_view (struct control_gateway *g, const Lapis__View *view)
{
  last_view = view->seq;
  leaving = view->leaving;
  text_bytes += view->config.len;
}

static bool
has_text (void)
{
  return last_view > 0 && text_bytes > 0;
}

static bool
is_leaving (void)
{
  return leaving;
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

/* Runs the loop, which also sends the link's heartbeats, until `done`. */
static bool
run_loop_until (bool (*done) (void), clk_ms wait_ms)
{
  clk_ms until = clk_now () + wait_ms;
  while (!done () && clk_now () < until)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      uv_sleep (1);
    }
  return done ();
}

static void
close_gateway (void)
{
  if (gw.state != LINK_DOWN)
    link_close (gw.link);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
}

/* Starts a node with a linked gateway and a configuration in force. */
static struct proc *
start_node (int address_ms)
{
  struct proc *store = PROC_START_READY ("standin", "store");
  const char *path
      = control_settings ("entry-1", proc_addr (store, "http"), "", "");
  struct proc *p = control_up (path);
  push (path, proc_addr (p, "admin"), address_ms);
  uv_loop_init (&loop);
  control_gateway_up (&gw, &loop, "entry-1", proc_addr (p, "peer"), on_view);
  cr_assert (run_loop_until (has_text, PROC_WAIT_MS),
             "the gateway got no text");
  return p;
}

Test (control, exits_after_its_gateway)
{
  /* SIGTERM while clients still use this node's address.  The gateway receives
     a view with `leaving` set and completes its requests; control exits only
     after the gateway.  If it exited earlier, the evidence in the gateway's
     last view would expire while the gateway still serves. */
  struct proc *p = start_node (60000);
  cr_expect (!leaving);
  proc_signal (p, SIGTERM);
  cr_expect (run_loop_until (is_leaving, PROC_WAIT_MS),
             "no view with leaving set");
  cr_expect (!run_loop_until (never, 1500));
  cr_expect_eq (proc_wait (p, 0), -1, "control exited too early");
  close_gateway ();
  cr_expect_eq (proc_wait (p, PROC_WAIT_MS), 0);
}

Test (control, exits_when_address_responses_have_expired)
{
  /* The gateway hangs with an open link.  After the longest lifetime of an
     address response no client uses this node's address, so control exits;
     otherwise a planned stop would hang until the process is killed. */
  struct proc *p = start_node (1500);
  proc_signal (p, SIGTERM);
  cr_expect (run_loop_until (is_down, PROC_WAIT_MS), "control did not exit");
  cr_expect_eq (proc_wait (p, PROC_WAIT_MS), 0);
  cr_expect (leaving);
  close_gateway ();
}
