/*
 * Leaving and planned stops over a whole site of real processes, under calls.
 * Who got work is read from the stand-ins' own counts.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-site.h"

#define CHAT "/v1/chat/completions"

/* How long the platform's word may take, for every node to act by it. */
#define LEAVING_MS 3000

TestSuite (stops, .fini = proc_stop_all, .timeout = 120);

static struct web_stream *
open_stream (const struct site *s, int node, struct buf *got)
{
  struct web_stream *w;

  for (int i = 0; i < SITE_VMS; i++)
    front_fault (s->vm[i], "{\"token_ms\": 30}");
  w = web_open (s->http[node], "POST", CHAT, FRONT_KEY,
                front_prompt ("long", true, 200));
  cr_assert (web_read_until (w, got, " w3", PROC_WAIT_MS));
  return w;
}

static void
expect_whole (struct web_stream *w, struct buf *got)
{
  enum web_read r;

  while ((r = web_read (w, got, PROC_WAIT_MS)) == WEB_BYTES)
    ;
  cr_expect_eq (r, WEB_WHOLE);
  cr_expect_not_null (strstr (buf_c (got), " w199"));
  cr_expect_not_null (strstr (buf_c (got), "{\"outcome\":\"done\"}"));
  web_close (w);
  buf_free (got);
}

static void
expect_done (const struct site *s, int node, const char *when)
{
  const char *outcome = site_call (s, node);

  cr_expect_str_eq (outcome, "200 done -", "entry-%d %s: %s", node + 1, when,
                    outcome);
}

/* The platform lists the leader's VM as leaving and no spare can take its
   place.  A call that is still open ends whole; after three seconds neither
   gateway gives the VM anything: callers are refused as not run, and when
   the spare loads at last they are served without the leaving VM. */
Test (stops, leaving_vm_gets_no_new_work)
{
  struct site s;
  struct buf got = BUF_INIT;

  site_up (&s, SITE_CHECK_FENCE);
  front_fault (s.vm[2], "{\"drop_orders\": true}");
  struct web_stream *w = open_stream (&s, 0, &got);
  front_fault (s.platform, "{\"vms\": {\"v1\": \"leaving\"}}");
  usleep (LEAVING_MS * 1000);
  int runs = front_count (s.vm[0], "runs");
  for (int i = 0; i < 20; i++)
    cr_expect_str_eq (site_call (&s, i % 2), "503 not-run no-replica");
  cr_expect_eq (front_count (s.vm[0], "runs"), runs, "new work");
  expect_whole (w, &got);
  front_fault (s.vm[2], "{\"drop_orders\": false}");
  for (int i = 0; i < SITE_NODES; i++)
    cr_expect (site_call_until (&s, i, "200 done -"));
  cr_expect_eq (front_count (s.vm[0], "runs"), runs, "new work");
}

static void
list_at (const struct site *s, int calls)
{
  for (int i = 0; i < calls; i++)
    {
      struct web_answer a = { 0 };
      web_call (s->http[i % SITE_NODES], "GET", "/svc/soko-api/list",
                FRONT_KEY, NULL, &a);
      cr_expect_eq (a.status, 200);
      web_free (&a);
    }
}

/* The platform lists a backend server of the plain service as leaving.  After
   three seconds every call goes to the other one, at both gateways, also when
   a control process restarts, which does not know of it at first.  Listed as
   live again, it gets work again. */
Test (stops, leaving_service_backend_gets_no_new_work)
{
  struct site s;

  site_up (&s, SITE_CHECK_FENCE);
  front_fault (s.platform, "{\"vms\": {\"soko-1\": \"leaving\"}}");
  usleep (LEAVING_MS * 1000);
  int runs = front_count (s.soko[0], "runs");
  list_at (&s, 40);
  for (int i = 0; i < SITE_NODES; i++)
    {
      proc_signal (s.control[i], SIGKILL);
      site_restart_control (&s, i);
    }
  for (int i = 0; i < 40; i++)
    {
      list_at (&s, 2);
      usleep (50000);
    }
  cr_expect_eq (front_count (s.soko[0], "runs"), runs, "new work");
  front_fault (s.platform, "{\"vms\": {\"soko-1\": \"live\"}}");
  for (int i = 0; i < 400 && front_count (s.soko[0], "runs") == runs; i++)
    {
      list_at (&s, 2);
      usleep (50000);
    }
  cr_expect_gt (front_count (s.soko[0], "runs"), runs, "never back");
}

/* A planned stop of one entry VM, its gateway first, then its control.  The
   caller whose stream is open reads it to its end; a caller that was told
   this address is served until that answer runs out, while the other node no
   longer names it; both processes end by themselves with 0. */
Test (stops, entry_vm_stops)
{
  struct site s;
  struct buf got = BUF_INIT;

  site_up (&s, SITE_CHECK_FENCE);
  struct web_stream *w = open_stream (&s, 0, &got);
  cr_assert (web_poll_until (s.http[1], "/v1/address?model=ghala-lm",
                             FRONT_KEY, "entry-1", PROC_WAIT_MS));
  clk_ms told = clk_now ();
  proc_signal (s.gateway[0], SIGTERM);
  while (clk_now () - told < 4000)
    {
      expect_done (&s, 0, "within the address's time");
      expect_done (&s, 1, "beside the stop");
      usleep (50000);
    }
  struct web_answer a = { 0 };
  web_call (s.http[1], "GET", "/v1/address?model=ghala-lm", FRONT_KEY, NULL,
            &a);
  cr_expect_null (strstr (buf_c (&a.body), "entry-1"), "still named");
  web_free (&a);
  expect_whole (w, &got);
  cr_expect_eq (proc_wait (s.gateway[0], PROC_WAIT_MS), 0);
  proc_signal (s.control[0], SIGTERM);
  cr_expect_eq (proc_wait (s.control[0], PROC_WAIT_MS), 0);
  for (int i = 0; i < 20; i++)
    expect_done (&s, 1, "after the stop");
}

/* The control process that owns the domain is told to stop while streams are
   open at both gateways.  Its own gateway goes on by probing members itself,
   the other node takes the domain, and every call in between is answered. */
Test (stops, control_stops)
{
  struct site s;
  struct buf got[SITE_NODES] = { BUF_INIT, BUF_INIT };
  struct web_stream *w[SITE_NODES];

  site_up (&s, SITE_CHECK_FENCE);
  int owner = site_owner (&s);
  for (int i = 0; i < SITE_NODES; i++)
    w[i] = open_stream (&s, i, &got[i]);
  proc_signal (s.control[owner], SIGTERM);
  for (int i = 0; i < 80; i++)
    {
      expect_done (&s, i % 2, "without the owner");
      usleep (50000);
    }
  cr_expect_eq (proc_wait (s.control[owner], PROC_WAIT_MS), 0);
  for (int i = 0; i < SITE_NODES; i++)
    expect_whole (w[i], &got[i]);
}

/* Both control processes are killed under calls, and come back one by one.
   Requests live on the last view, then on the gateways' own probes, then on
   new views; no caller sees any of it. */
Test (stops, control_killed_and_back_under_calls)
{
  struct site s;
  struct buf got[SITE_NODES] = { BUF_INIT, BUF_INIT };
  struct web_stream *w[SITE_NODES];

  site_up (&s, SITE_CHECK_FENCE);
  for (int i = 0; i < SITE_NODES; i++)
    w[i] = open_stream (&s, i, &got[i]);
  for (int i = 0; i < SITE_NODES; i++)
    proc_signal (s.control[i], SIGKILL);
  for (int i = 0; i < 100; i++)
    {
      if (i == 80)
        site_restart_control (&s, 0);
      expect_done (&s, i % 2, "without control");
      usleep (50000);
    }
  site_restart_control (&s, 1);
  for (int i = 0; i < 100; i++)
    {
      expect_done (&s, i % 2, "with control back");
      usleep (50000);
    }
  for (int i = 0; i < SITE_NODES; i++)
    expect_whole (w[i], &got[i]);
  site_until_both (&s, "\"whole\":true");
}
