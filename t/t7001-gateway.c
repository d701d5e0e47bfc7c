#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-front.h"

#define CHAT "/v1/chat/completions"
#define TEXT "/v1/completions"

TestSuite (gateway, .fini = proc_stop_all, .timeout = 120);

static void
expect (struct buf *log, const char *wanted)
{
  cr_expect_str_eq (buf_c (log), wanted);
  buf_free (log);
}

Test (gateway, codes_and_outcomes)
{
  struct front f;
  struct buf log = BUF_INIT;
  char *large = xmalloc (5001);

  memset (large, 'x', 5000);
  large[5000] = '\0';
  front_up (&f, "", "\"max_body\": 4096");
  front_log (&f, &log, "GET", "/healthz", NULL, NULL);
  front_log (&f, &log, "GET", "/nothing", NULL, NULL);
  front_log (&f, &log, "GET", "/v1/models", NULL, NULL);
  front_log (&f, &log, "GET", "/v1/models", "Authorization: Bearer x\r\n",
             NULL);
  front_log (&f, &log, "GET", "/v1/models", FRONT_KEY, NULL);
  front_log (&f, &log, "GET", "/v1/address?model=ghala-lm", FRONT_KEY, NULL);
  front_log (&f, &log, "GET", "/v1/address?model=none", FRONT_KEY, NULL);
  front_log (&f, &log, "GET", "/v1/address?model=ghala-lm", FRONT_OTHER_KEY,
             NULL);
  front_log (&f, &log, "POST", TEXT, FRONT_OTHER_KEY,
             front_prompt ("p", false, 2));
  front_log (&f, &log, "POST", TEXT, FRONT_KEY, "{\"model\":");
  front_log (&f, &log, "POST", TEXT, FRONT_KEY, "{\"model\":\"none\"}");
  front_log (&f, &log, "GET", TEXT, FRONT_KEY, NULL);
  front_log (&f, &log, "POST", TEXT, FRONT_KEY "X-Deadline-Ms: soon\r\n",
             front_prompt ("p", false, 2));
  front_log (&f, &log, "POST", TEXT, FRONT_KEY, large);
  front_log (&f, &log, "GET", "/svc/none/x", FRONT_KEY, NULL);
  front_log (&f, &log, "GET", "/svc/soko-api/x", FRONT_OTHER_KEY, NULL);
  front_log (&f, &log, "POST", TEXT, FRONT_KEY, front_prompt ("p", false, 2));
  free (large);
  expect (&log, "GET /healthz -> 200 done -\n"
                "GET /nothing -> 404 not-run not-found\n"
                "GET /v1/models -> 401 not-run unauthorized\n"
                "GET /v1/models -> 401 not-run unauthorized\n"
                "GET /v1/models -> 200 done -\n"
                "GET /v1/address?model=ghala-lm -> 200 done -\n"
                "GET /v1/address?model=none -> 404 not-run no-target\n"
                "GET /v1/address?model=ghala-lm -> 403 not-run forbidden\n"
                "POST /v1/completions -> 403 not-run forbidden\n"
                "POST /v1/completions -> 400 not-run bad-request\n"
                "POST /v1/completions -> 404 not-run no-target\n"
                "GET /v1/completions -> 405 not-run method-not-allowed\n"
                "POST /v1/completions -> 400 not-run bad-request\n"
                "POST /v1/completions -> 413 not-run body-too-large\n"
                "GET /svc/none/x -> 404 not-run no-target\n"
                "GET /svc/soko-api/x -> 200 done -\n"
                "POST /v1/completions -> 200 done -\n");
}

/* Guards against a caller whose request has more headers than can be sent on,
   and that would count as a failed connection of each backend server. */
Test (gateway, refuses_many_headers)
{
  struct buf headers = BUF_INIT, log = BUF_INIT;
  struct front f;

  front_up (&f, "", "");
  buf_add_c (&headers, FRONT_KEY);
  for (int i = 0; i < 200; i++)
    buf_addf (&headers, "x-f%d: 1\r\n", i);
  front_log (&f, &log, "GET", "/svc/soko-api/x", buf_c (&headers), NULL);
  front_log (&f, &log, "GET", "/svc/soko-api/x", FRONT_KEY, NULL);
  buf_free (&headers);
  expect (&log, "GET /svc/soko-api/x -> 431 not-run too-many-headers\n"
                "GET /svc/soko-api/x -> 200 done -\n");
}

/* Guards against forwarding headers that would make a backend server mistake
   the request for another one, or that reveal the caller's key.  The rest of
   the request must be forwarded. */
Test (gateway, passes_a_service_call_through)
{
  struct front f;
  struct web_answer a = { 0 };

  front_up (&f, "", "");
  cr_assert (web_call (f.http, "PATCH", "/svc/soko-api/bays/7?full=1",
                       FRONT_KEY "X-Request-Id: mine\r\nX-Own: kept\r\n"
                                 "X-Lapis-Account: other\r\n"
                                 "Connection: close, X-Hop\r\nX-Hop: 1\r\n",
                       "{\"free\":true}", &a));
  const char *body = buf_c (&a.body);
  cr_expect_not_null (strstr (body, "\"method\": \"PATCH\""));
  cr_expect_not_null (strstr (body, "\"path\": \"\\/bays\\/7\""));
  cr_expect_not_null (strstr (body, "\"query\": \"full=1\""));
  cr_expect_not_null (strstr (body, "{\\\"free\\\":true}"));
  cr_expect_not_null (strstr (body, "\"x-own\": \"kept\""));
  cr_expect_not_null (strstr (body, "\"x-lapis-account\": \"broker-app\""));
  cr_expect_null (strstr (body, "mine"));
  cr_expect_null (strstr (body, "broker-key"));
  cr_expect_null (strstr (body, "x-hop"));
  web_free (&a);
}

/* Guards against mixing up concurrent responses.  Twenty callers stream from
   two slow replicas, so that the chunks of all responses are interleaved in
   the gateway; each caller must get all words of its own prompt in order. */
Test (gateway, each_caller_reads_its_own_answer)
{
  struct front f;
  struct web_stream *s[20];
  struct buf got[20] = { BUF_INIT };

  front_up (&f, "", "");
  front_fault (f.vm[0], "{\"token_ms\": 15}");
  front_fault (f.vm[1], "{\"token_ms\": 7}");
  for (int i = 0; i < 20; i++)
    {
      char prompt[32];
      snprintf (prompt, sizeof prompt, "marker-%02d-", i);
      s[i] = web_open (f.http, "POST", CHAT, FRONT_KEY,
                       front_prompt (prompt, true, 20));
      cr_assert_not_null (s[i]);
    }
  for (int i = 0; i < 20; i++)
    {
      char own[32];
      snprintf (own, sizeof own, "marker-%02d-", i);
      cr_expect_eq (web_status (s[i], PROC_WAIT_MS), 200);
      cr_expect (
          !web_read_until (s[i], &got[i], "no such text", PROC_WAIT_MS));
      const char *at = strstr (buf_c (&got[i]), "marker-");
      cr_assert_not_null (at);
      cr_expect (strncmp (at, own, strlen (own)) == 0);
      cr_expect_null (strstr (at + 1, "marker-"));
      cr_expect_not_null (strstr (at, " w19"));
      cr_expect_not_null (strstr (at, "{\"outcome\":\"done\"}"));
      web_close (s[i]);
      buf_free (&got[i]);
    }
}

/** Read a stream to its end and log its end and its text. */
static void
log_stream (const struct front *f, struct buf *log, const char *prompt,
            int tokens)
{
  struct buf got = BUF_INIT;
  struct web_stream *s = web_open (f->http, "POST", CHAT, FRONT_KEY,
                                   front_prompt (prompt, true, tokens));
  enum web_read r;

  cr_assert_not_null (s);
  buf_addf (log, "%d", web_status (s, PROC_WAIT_MS));
  while ((r = web_read (s, &got, PROC_WAIT_MS)) == WEB_BYTES)
    ;
  const char *end = strstr (buf_c (&got), "event: lapis-outcome");
  buf_addf (log, " %s", r == WEB_WHOLE ? "whole" : "broken");
  const char *data = end ? strstr (end, "data: ") + 6 : "no outcome\n";
  buf_addf (log, " %.*s\n", (int)strcspn (data, "\n"), data);
  web_close (s);
  buf_free (&got);
}

/* Guards against truncated streams that look complete to the caller.  A
   replica breaks off its streams after 300 bytes and the model can't resume,
   or the engine ends a stream with correct framing but without its end marker.
   The caller must get a broken stream whose last event has the outcome failed.
 */
Test (gateway, truncated_stream_ends_broken)
{
  struct front f;
  struct buf log = BUF_INIT;

  front_up (&f, "\"can_resume\": false", "");
  log_stream (&f, &log, "sound", 8);
  front_fault_both (f.vm, "{\"truncate_after\": 300}");
  log_stream (&f, &log, "truncated", 8);
  front_fault_both (f.vm, "{\"clear\": true, \"no_end_mark\": true}");
  log_stream (&f, &log, "no end mark", 8);
  expect (&log, "200 whole {\"outcome\":\"done\"}\n"
                "200 broken {\"outcome\":\"failed\",\"code\":\"broken\"}\n"
                "200 broken {\"outcome\":\"failed\",\"code\":\"broken\"}\n");
}

/* Guards against lost or duplicate text in a resumed stream.  One of two
   replicas breaks off each stream in the middle of a word; the gateway resumes
   at the other one from that byte. */
Test (gateway, resumed_stream_reads_as_one)
{
  struct front f;

  front_up (&f, "\"can_resume\": true", "");
  front_fault (f.vm[0], "{\"truncate_after\": 777, \"token_ms\": 3}");
  int before = front_count (f.vm[0], "runs");
  for (int i = 0; i < 500 && front_count (f.vm[0], "runs") == before; i++)
    {
      struct web_answer a = { 0 };
      char prompt[32];
      /* Routing sends equal prompts to the same replica. */
      snprintf (prompt, sizeof prompt, "once-%d", i);
      cr_assert (web_call (f.http, "POST", CHAT, FRONT_KEY,
                           front_prompt (prompt, true, 12), &a));
      const char *at = buf_c (&a.body);
      for (int w = 1; w < 12; w++)
        {
          char word[24];
          snprintf (word, sizeof word, "\" w%d\"", w);
          at = strstr (at, word);
          cr_assert_not_null (at, "%s is missing or out of order", word);
          cr_assert_null (strstr (at + 1, word), "%s came twice", word);
        }
      cr_assert_not_null (strstr (at, "[DONE]"));
      cr_assert_not_null (strstr (at, "{\"outcome\":\"done\"}"));
      web_free (&a);
    }
  cr_expect_gt (front_count (f.vm[0], "runs"), before,
                "the truncating replica was not used");
}

/* Guards against running a request twice that is not idempotent.  The backend
   server reads a booking and does not respond, or its response is truncated,
   so the gateway can't determine whether the booking ran.  The outcome must be
   unknown, and the booking must not be sent to the other server.  A 503, which
   this service returns only for requests that it did not run, is not-run. */
Test (gateway, booking_is_sent_once)
{
  struct front f;
  struct buf log = BUF_INIT;

  front_up (&f, "", "");
  front_fault_both (f.soko, "{\"silent\": true}");
  front_log (&f, &log, "POST", "/svc/soko-api/bookings", FRONT_KEY, "{}");
  cr_expect_eq (front_count_both (f.soko, "runs"), 1);
  front_fault_both (f.soko, "{\"clear\": true, \"close_first\": true}");
  front_log (&f, &log, "POST", "/svc/soko-api/bookings", FRONT_KEY, "{}");
  cr_expect_eq (front_count_both (f.soko, "runs"), 2);
  front_fault_both (f.soko, "{\"clear\": true, \"fail_status\": 503}");
  front_log (&f, &log, "POST", "/svc/soko-api/bookings", FRONT_KEY, "{}");
  cr_expect_eq (front_count_both (f.soko, "runs"), 2);
  cr_expect_eq (front_count_both (f.soko, "refused"), 1);
  expect (&log,
          "POST /svc/soko-api/bookings -> 504 unknown silent\n"
          "POST /svc/soko-api/bookings -> 502 unknown broken\n"
          "POST /svc/soko-api/bookings -> 503 not-run backend-refused\n");
}

/* Guards against requests that continue after their caller has disconnected in
   the middle of a stream.  The backend server would continue to generate and
   its slot would remain occupied. */
Test (gateway, leaving_caller_cancels)
{
  struct front f;
  struct buf got = BUF_INIT;

  front_up (&f, "", "");
  front_fault_both (f.vm, "{\"token_ms\": 20}");
  struct web_stream *s = web_open (f.http, "POST", CHAT, FRONT_KEY,
                                   front_prompt ("leaves", true, 100000));
  cr_assert (web_read_until (s, &got, " w3", PROC_WAIT_MS));
  int used = front_count (f.vm[0], "open") == 1 ? 0 : 1;
  web_close (s);
  cr_expect (front_count_is (f.vm[used], "gone", 1));
  cr_expect_eq (front_count (f.vm[used], "open"), 0);
  buf_free (&got);
}

/** Memory of the gateway as shipped, in kB. */
#define GATEWAY_MAX_KB 40000
/** What a response of 64 MB may add to it, in kB: buffers of kilobytes. */
#define BUFFERED_MAX_KB 1000

/* Guards against unbounded buffering for a caller that does not read.  It
   requests 64 MB; the gateway must pause reading from the backend server,
   buffer only kilobytes, and serve other callers meanwhile. */
Test (gateway, stalled_reader_costs_only_itself)
{
  struct front f;
  long calm_kb, kb;

  proc_set_quarantine_mb (0);
  front_up (&f, "", "");
  calm_kb = proc_memory_kb (f.gateway);
  front_fault_both (f.soko, "{\"large\": 64000000, \"pieces\": 1000}");
  struct web_stream *s
      = web_open (f.http, "GET", "/svc/soko-api/export", FRONT_KEY, NULL);
  cr_assert_eq (web_status (s, PROC_WAIT_MS), 200);
  front_fault_both (f.soko, "{\"large\": 0, \"pieces\": 0}");
  for (int i = 0; i < 50; i++)
    {
      struct web_answer a = { 0 };
      web_call (f.http, "GET", "/svc/soko-api/small", FRONT_KEY, NULL, &a);
      cr_expect_eq (a.status, 200);
      web_free (&a);
    }
  cr_expect_eq (front_count_both (f.soko, "open"), 1, "it took everything");
  kb = proc_memory_kb (f.gateway);
  cr_expect_lt (kb - calm_kb, BUFFERED_MAX_KB, "%ld kB, %ld kB in calm", kb,
                calm_kb);
  if (!proc_is_sanitized ())
    cr_expect_lt (kb, GATEWAY_MAX_KB);
  web_close (s);
  for (int i = 0; i < 2; i++)
    cr_expect (front_count_is (f.soko[i], "open", 0));
}

/* Guards against a stalled service that blocks another one, as in an incident
   in March: the quote service stalls on every call, so that its waiting
   requests fill its slots and its queue.  Calls of the other service must be
   served meanwhile. */
Test (gateway, stalled_service_beside_a_busy_one)
{
  struct front f;
  struct web_stream *stalled[40];

  front_up (&f, "", "");
  front_fault (f.quote, "{\"silent\": true}");
  for (int i = 0; i < 40; i++)
    stalled[i] = web_open (f.http, "GET", "/svc/quote-api/q", FRONT_KEY, NULL);
  cr_assert (front_count_is (f.quote, "runs", 8));
  for (int i = 0; i < 100; i++)
    {
      struct web_answer a = { 0 };
      web_call (f.http, "GET", "/svc/soko-api/list", FRONT_KEY, NULL, &a);
      cr_expect_eq (a.status, 200);
      web_free (&a);
    }
  cr_expect_eq (front_count (f.quote, "runs"), 8, "more than its capacity");
  for (int i = 0; i < 40; i++)
    {
      cr_expect_eq (web_status (stalled[i], 1), 0, "a quote was answered");
      web_close (stalled[i]);
    }
}

/* Guards against routing to a replica that is not whole.  The VM of one of two
   replicas fails with its open requests; new requests must go to the other one
   only.  With both failed, requests must be refused as not-run without delay,
   and routed again when a member reports that it is ready. */
Test (gateway, no_request_without_a_whole_replica)
{
  struct front f;
  struct buf log = BUF_INIT;

  front_up (&f, "", "");
  front_fault (f.vm[0], "{\"not_ready\": true}");
  front_fault (f.vm[1], "{\"not_ready\": true}");
  struct web_answer a = { 0 };
  for (int i = 0; i < 400 && a.status != 503; i++)
    {
      web_free (&a);
      web_call (f.http, "POST", TEXT, FRONT_KEY, front_prompt ("p", false, 2),
                &a);
      usleep (20000);
    }
  front_log_answer (&log, &a);
  web_free (&a);
  int runs = front_count (f.vm[0], "runs") + front_count (f.vm[1], "runs");
  front_log (&f, &log, "POST", TEXT, FRONT_KEY, front_prompt ("p", false, 2));
  cr_expect_eq (front_count (f.vm[0], "runs") + front_count (f.vm[1], "runs"),
                runs);
  front_fault (f.vm[1], "{\"not_ready\": false}");
  runs = front_count (f.vm[0], "runs");
  cr_expect (front_routed (&f));
  front_log (&f, &log, "POST", TEXT, FRONT_KEY, front_prompt ("p", false, 2));
  cr_expect_eq (front_count (f.vm[0], "runs"), runs);
  expect (&log, "503 not-run no-replica\n"
                "POST /v1/completions -> 503 not-run no-replica\n"
                "POST /v1/completions -> 200 done -\n");
}

/* Guards against a shutdown that aborts or refuses requests.  SIGTERM arrives
   twice while a stream is open and a caller has a valid address response that
   names this node.  The stream must complete, and a new request must be served
   until the response expires; then the port is closed and the process exits
   with 0. */
Test (gateway, planned_stop_cuts_nothing)
{
  struct front f;
  struct buf got = BUF_INIT, log = BUF_INIT;
  enum web_read r;

  front_up (&f, "", "\"address_ms\": 4000");
  front_fault_both (f.vm, "{\"token_ms\": 30}");
  struct web_stream *s = web_open (f.http, "POST", CHAT, FRONT_KEY,
                                   front_prompt ("long", true, 100));
  cr_assert (web_read_until (s, &got, " w3", PROC_WAIT_MS));
  proc_signal (f.gateway, SIGTERM);
  for (int i = 0; i < 4; i++)
    {
      usleep (50000);
      front_log (&f, &log, "GET", "/svc/soko-api/within", FRONT_KEY, NULL);
    }
  proc_signal (f.gateway, SIGTERM);
  while ((r = web_read (s, &got, PROC_WAIT_MS)) == WEB_BYTES)
    ;
  cr_expect_eq (r, WEB_WHOLE);
  cr_expect_not_null (strstr (buf_c (&got), " w99"));
  cr_expect_not_null (strstr (buf_c (&got), "{\"outcome\":\"done\"}"));
  cr_expect_eq (proc_wait (f.gateway, PROC_WAIT_MS), 0);
  expect (&log, "GET /svc/soko-api/within -> 200 done -\n"
                "GET /svc/soko-api/within -> 200 done -\n"
                "GET /svc/soko-api/within -> 200 done -\n"
                "GET /svc/soko-api/within -> 200 done -\n");
  web_close (s);
  buf_free (&got);
}

/* Guards against closing the port too early: another node may name this one in
   an address response until it learns of the shutdown, so requests must be
   accepted for longer than a response from before the signal is valid. */
Test (gateway, planned_stop_outlasts_answers_of_other_nodes)
{
  struct front f;
  struct web_answer a = { 0 };
  clk_ms began;

  front_up (&f, "", "\"address_ms\": 1000");
  began = clk_now ();
  proc_signal (f.gateway, SIGTERM);
  while (web_call (f.http, "GET", "/healthz", NULL, NULL, &a))
    {
      web_free (&a);
      usleep (20000);
    }
  cr_expect_geq (clk_now () - began, 2500);
  web_free (&a);
  cr_expect_eq (proc_wait (f.gateway, PROC_WAIT_MS), 0);
}
