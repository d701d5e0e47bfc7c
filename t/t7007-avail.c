/*
 * A gateway with backend servers that ask for a pause or announce their
 * shutdown, with real processes.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-front.h"

TestSuite (gateway_avail, .fini = proc_stop_all, .timeout = 120);

/** Calls the plain service @p n times; returns how many were answered with
    @p status. */
static int
call_service (const struct front *f, int n, int status)
{
  struct web_answer a = { 0 };
  int found = 0;

  for (int i = 0; i < n; i++)
    {
      web_call (f->http, "GET", "/svc/soko-api/x", FRONT_KEY, NULL, &a);
      found += a.status == status;
      web_free (&a);
    }
  return found;
}

/* Guards against a gateway that ignores the Retry-After of a backend server's
   rejection. */
Test (gateway_avail, paused_server_gets_nothing)
{
  struct front f;

  front_up (&f, "", "");
  cr_expect_eq (call_service (&f, 20, 200), 20);
  front_fault (f.soko[0], "{\"fail_status\": 503, \"retry_after\": \"2\"}");
  cr_expect_eq (call_service (&f, 100, 200), 100);
  cr_expect_eq (front_count (f.soko[0], "refused"), 1);
  front_fault (f.soko[0], "{\"clear\": true}");
  usleep (2100000);
  int before = front_count (f.soko[0], "runs");
  cr_expect_eq (call_service (&f, 50, 200), 50);
  cr_expect_gt (front_count (f.soko[0], "runs"), before);
}

/* Guards against callers that wait although all backend servers have asked for
   a pause, and against a Retry-After that ends before the pause. */
Test (gateway_avail, all_paused_callers_are_told_at_once)
{
  struct front f;
  struct web_answer a = { 0 };

  front_up (&f, "", "");
  front_fault_both (f.soko, "{\"fail_status\": 503, \"retry_after\": \"3\"}");
  call_service (&f, 2, 503);
  int refused = front_count_both (f.soko, "refused");
  for (int i = 0; i < 20; i++)
    {
      clk_ms started_at = clk_now ();
      web_call (f.http, "GET", "/svc/soko-api/x", FRONT_KEY, NULL, &a);
      clk_ms ms = clk_now () - started_at;
      cr_expect_eq (a.status, 503);
      cr_expect_lt (ms, 100);
      cr_expect (str_is (web_header (&a, "retry-after"), "3")
                     || str_is (web_header (&a, "retry-after"), "4"),
                 "%.*s", STR_ARG (web_header (&a, "retry-after")));
      web_free (&a);
    }
  cr_expect_eq (front_count_both (f.soko, "refused"), refused);
}

/* Guards against new requests to a backend server that shuts down. */
Test (gateway_avail, leaving_server_gets_no_new_requests)
{
  struct front f;

  front_up (&f, "", "");
  front_fault (f.soko[0], "{\"leaving\": true}");
  cr_expect_eq (call_service (&f, 100, 200), 100);
  cr_expect_leq (front_count (f.soko[0], "runs"), 1);
}
