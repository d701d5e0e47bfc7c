/*
 * Invalid requests and exhausted limits: responses to the caller, and that
 * refused requests are not run.
 */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "t/lib-front.h"

#define TEXT "/v1/completions"

TestSuite (callers, .fini = proc_stop_all, .timeout = 120);

struct call
{
  const char *method;
  const char *path;
  const char *headers; /**< besides the key */
  const char *body;
  const char *answer; /**< status, outcome, code */
};

static void
make (const struct front *f, const struct call *c)
{
  struct buf headers = BUF_INIT, got = BUF_INIT;
  struct web_answer a = { 0 };

  buf_addf (&headers, FRONT_KEY "%s", c->headers ? c->headers : "");
  web_call (f->http, c->method, c->path, buf_c (&headers), c->body, &a);
  front_log_answer (&got, &a);
  cr_expect_str_eq (buf_c (&got), c->answer, "%s %s %s: %s", c->method,
                    c->path, c->headers ? c->headers : "", buf_c (&got));
  web_free (&a);
  buf_free (&headers);
  buf_free (&got);
}

/* Guards against ignoring invalid headers: a flag "False", an empty key (such
   as from an unset variable) or two keys.  If the gateway treated them as
   absent, a booking could run twice; they must be refused before it runs. */
Test (callers, careless_headers_are_refused)
{
  static const char bad[] = "400 not-run bad-request\n";
  static const struct call calls[] = {
    { "POST", "/svc/soko-api/x", "X-Idempotent: False\r\n", "{}", bad },
    { "POST", "/svc/soko-api/x", "X-Idempotent: no\r\n", "{}", bad },
    { "POST", "/svc/soko-api/x", "X-Idempotent:\r\n", "{}", bad },
    { "POST", "/svc/soko-api/x", "Idempotency-Key:\r\n", "{}", bad },
    { "POST", "/svc/soko-api/x",
      "Idempotency-Key: a\r\nIdempotency-Key: b\r\n", "{}", bad },
    { "POST", "/svc/soko-api/x",
      "X-Idempotent: true\r\nX-Idempotent: false\r\n", "{}", bad },
    { "POST", "/svc/soko-api/x", "Authorization: Bearer other\r\n", "{}",
      bad },
    { "POST", "/svc/soko-api/x", "X-Priority: 4\r\n", "{}", bad },
    { "POST", "/svc/soko-api/x", "X-Deadline-Ms: -1\r\n", "{}", bad },
    { "POST", TEXT, NULL, "{\"model\":\"ghala-lm\"} {}", bad },
    { "POST", TEXT, NULL, "[]", bad },
    { "POST", "/svc/soko-api/x", "Transfer-Encoding: chunked\r\n", "zz",
      "400 not-run bad-request\n" },
  };
  struct front f;

  front_up (&f, "", "");
  int before = front_count_both (f.soko, "runs");
  for (size_t i = 0; i < sizeof calls / sizeof calls[0]; i++)
    make (&f, &calls[i]);
  cr_expect_eq (front_count_both (f.soko, "runs"), before);
}

/* Guards against success responses to unsupported methods, and to requests for
   an address that do not name exactly one model or service. */
Test (callers, methods_and_questions)
{
  static const char no[] = "405 not-run method-not-allowed\n";
  static const char bad[] = "400 not-run bad-request\n";
  static const struct call calls[] = {
    { "POST", "/v1/models", NULL, "{}", no },
    { "DELETE", "/v1/models", NULL, NULL, no },
    { "OPTIONS", "/v1/address?model=ghala-lm", NULL, NULL, no },
    { "POST", "/metrics", NULL, "{}", no },
    { "POST", "/healthz", NULL, "{}", no },
    { "PUT", TEXT, NULL, "{}", no },
    { "GET", "/v1/address", NULL, NULL, bad },
    { "GET", "/v1/address?model=ghala-lm&service=soko-api", NULL, NULL, bad },
    { "GET", "/v1/address?service=soko-api", NULL, NULL, "200 done -\n" },
    { "OPTIONS", "/svc/soko-api/x", NULL, NULL, "200 done -\n" },
  };
  struct web_answer a = { 0 };
  struct front f;

  front_up (&f, "", "");
  for (size_t i = 0; i < sizeof calls / sizeof calls[0]; i++)
    make (&f, &calls[i]);
  web_call (f.http, "PUT", TEXT, FRONT_KEY, "{}", &a);
  cr_expect (str_is (web_header (&a, "allow"), "POST"));
  web_free (&a);
}

/* Guards against refusals without a request id, which operators need to trace
   a reported failure; it must be in the header and in the body. */
Test (callers, each_refusal_has_an_id)
{
  static const char *const paths[]
      = { "/nothing", "/v1/models", "/v1/address?model=none" };
  struct front f;

  front_up (&f, "", "");
  for (size_t i = 0; i < 3; i++)
    {
      struct web_answer a = { 0 };
      web_call (f.http, "GET", paths[i], i == 2 ? FRONT_KEY : NULL, NULL, &a);
      struct str id = web_header (&a, "lapis-request-id");
      cr_expect_eq (id.len, 32, "%s", paths[i]);
      char *text = str_dup (id);
      cr_expect_not_null (strstr (buf_c (&a.body), text), "%s", paths[i]);
      free (text);
      web_free (&a);
    }
}

/* Guards against plain-text refusals by the HTTP library, which refuses a body
   above the limit of every configuration without calling the gateway.  Code,
   outcome and id must be present as for smaller bodies. */
Test (callers, refusals_of_the_http_library)
{
  struct front f;
  struct buf body = BUF_INIT;

  front_up (&f, "", "");
  struct web_stream *s = web_open (
      f.http, "POST", TEXT, FRONT_KEY "Content-Length: 17000000\r\n", NULL);
  cr_assert_eq (web_status (s, PROC_WAIT_MS), 413);
  cr_expect_not_null (strstr (web_stream_head (s), "lapis-request-id: "));
  cr_expect_not_null (strstr (web_stream_head (s), "lapis-outcome: not-run"));
  cr_expect_not_null (strstr (web_stream_head (s), "application/json"));
  cr_expect (web_read_until (s, &body, "}}", PROC_WAIT_MS));
  cr_expect_not_null (strstr (buf_c (&body), "\"code\":\"body-too-large\""));
  cr_expect_not_null (strstr (buf_c (&body), "\"outcome\":\"not-run\""));
  web_close (s);
  buf_free (&body);
}

/* Guards against exceeding max_connections.  With a limit of three, the fourth
   connection must wait until another one is closed, and then be served. */
Test (callers, connections_are_bounded_by_the_configuration)
{
  struct buf got = BUF_INIT;
  struct web_stream *s[4];
  struct front f;

  front_up (&f, "", "\"max_connections\": 3");
  front_fault (f.quote, "{\"silent\": true}");
  for (int i = 0; i < 3; i++)
    s[i] = web_open (f.http, "GET", "/svc/quote-api/x", FRONT_KEY, NULL);
  cr_assert (front_count_is (f.quote, "open", 3));
  s[3] = web_open (f.http, "GET", "/healthz", NULL, NULL);
  cr_assert_not_null (s[3]);
  cr_expect_eq (web_status (s[3], 300), 0);
  web_close (s[0]);
  cr_expect_eq (web_status (s[3], PROC_WAIT_MS), 200);
  for (int i = 1; i < 4; i++)
    web_close (s[i]);
  buf_free (&got);
}
