/*
 * Requests through nodes to the stand-in for the users' platform, with real
 * processes: normal operation and each failure that clients may encounter.
 */
#include <criterion/criterion.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-rack.h"

TestSuite (serve, .fini = proc_stop_all, .timeout = 90);

/*
 * Guards against nodes without a configuration that respond 404 instead of 503
 * with Retry-After. Once a configuration is stored, every kind of request is
 * served; backend servers receive the account but no API key.
 */
Test (serve, all_request_kinds_after_first_configuration)
{
  struct rack r;
  struct buf body = BUF_INIT;
  struct web_answer a = { 0 };

  rack_start_platform (&r, 4);
  rack_start_node (&r, 0);
  web_call (r.front[0], "POST", "/stream/x", rack_headers ("a"), "x", &a);
  cr_expect_eq (a.status, 503);
  cr_expect (web_header (&a, "retry-after").len > 0);
  web_free (&a);
  web_call (r.ready[0], "GET", "/ready", NULL, NULL, &a);
  cr_expect_eq (a.status, 503);
  web_free (&a);
  rack_configure (&r, 1, "k1", "");
  rack_start_node (&r, 1);
  cr_assert (rack_call_until (&r, 0, "/stream/x", rack_headers ("b"), 200));
  cr_expect_eq (rack_stream (&r, 1, "c", &body), 200);
  cr_expect (rack_is_complete (&body, 10));
  buf_clear (&body);
  cr_expect_eq (rack_call (&r, 0, "/once/x", "d", NULL, &body), 200);
  cr_expect_not_null (strstr (buf_c (&body), "\"account\":\"acc\""));
  cr_expect_not_null (strstr (buf_c (&body), "\"key\":\"\""));
  cr_expect_eq (rack_call (&r, 1, "/safe/x", "e", NULL, NULL), 200);
  cr_expect_eq (rack_call (&r, 0, "/none/x", "f", NULL, NULL), 404);
  cr_expect_eq (rack_call (&r, 0, "/once/x", "",
                           "Host: h\r\nX-Lapisline-Request-Id: g\r\n"
                           "X-Api-Key: other\r\n",
                           NULL),
                401);
  cr_expect (web_poll_until (r.directory[0],
                             "/resolve?name=h&region=r&zone=z1", NULL,
                             r.front[1], PROC_WAIT_MS));
  cr_expect (web_poll_until (r.directory[1],
                             "/resolve?name=h&region=r&zone=z1", NULL,
                             r.front[0], PROC_WAIT_MS));
  buf_free (&body);
}

/*
 * Guards against a node that applies a removed key or an added route later
 * than config_apply_ms, or replaces a configuration by an older version that
 * is written afterwards.
 */
Test (serve, configuration_is_applied_at_all_nodes)
{
  struct rack r;
  const char *with_k2 = "Host: h\r\nX-Lapisline-Request-Id: n\r\n"
                        "X-Api-Key: k2\r\n";

  rack_start_all (&r, 4);
  rack_configure (&r, 5, "k2",
                  ",{\"name\": \"n\", \"host\": \"h\", \"prefix\": \"/new/\","
                  " \"kind\": \"idempotent\", \"timeout_ms\": 3000,"
                  " \"goal_ms\": 300, \"service\": \"app\","
                  " \"max_attempts\": 2}");
  usleep (1500000);
  for (int i = 0; i < RACK_NODES; i++)
    {
      cr_expect_eq (rack_call (&r, i, "/once/x", "a", NULL, NULL), 401);
      cr_expect_eq (rack_call (&r, i, "/new/x", "", with_k2, NULL), 200);
    }
  rack_configure (&r, 3, "k1", "");
  usleep (1000000);
  cr_expect_eq (rack_call (&r, 0, "/new/x", "", with_k2, NULL), 200);
}

/*
 * Guards against lost or repeated events when a member of the replica dies
 * during a stream. The platform doesn't report the death; the stream stalls
 * and resumes at the other replica within the same response. A spare server
 * then completes the first replica.
 */
Test (serve, stream_resumes_when_a_member_dies)
{
  struct rack r;
  struct buf body = BUF_INIT;
  struct web_stream *w;
  const char *member;

  rack_start_all (&r, 8);
  rack_set (&r, "{\"events\": 60, \"event_ms\": 40}");
  w = web_open (r.front[0], "POST", "/stream/x", rack_headers ("long"), "x");
  cr_assert (web_read_until (w, &body, "w5\n", PROC_WAIT_MS));
  member = rack_get_count (&r, "e1", "open") ? "e2" : "e6";
  rack_set (&r, "{\"server\": \"%s\", \"dead\": true}", member);
  while (web_read (w, &body, PROC_WAIT_MS) == WEB_BYTES)
    ;
  cr_expect (rack_is_complete (&body, 60));
  web_close (w);
  buf_clear (&body);
  rack_set (&r, "{\"events\": 10}");
  cr_expect_eq (rack_stream (&r, 0, "after", &body), 200);
  cr_expect (rack_is_complete (&body, 10));
  buf_free (&body);
}

/*
 * Guards against forwarding a partial event, or skipping it, when the replica
 * closes the connection in the middle of an event.
 */
Test (serve, truncated_event_is_not_forwarded)
{
  struct rack r;
  struct buf body = BUF_INIT;

  rack_start_all (&r, 8);
  for (int i = 0; i < 4; i++)
    {
      rack_set (&r, "{\"server\": \"%s\", \"cut_after\": 4}",
                i < 2 ? "e1" : "e5");
      buf_clear (&body);
      cr_expect_eq (rack_stream (&r, i % 2, "cut", &body), 200);
      cr_expect (rack_is_complete (&body, 10));
    }
  buf_free (&body);
}

/*
 * Guards against accepting a response that ends correctly in HTTP but in the
 * middle of an event. The stream has to resume at the other replica.
 */
Test (serve, response_ending_inside_an_event_is_incomplete)
{
  struct rack r;
  struct buf body = BUF_INIT;

  rack_start_all (&r, 8);
  for (int i = 0; i < 4; i++)
    {
      rack_set (&r, "{\"server\": \"%s\", \"end_after\": 4}",
                i < 2 ? "e1" : "e5");
      buf_clear (&body);
      cr_expect_eq (rack_stream (&r, i % 2, "cut", &body), 200);
      cr_expect (rack_is_complete (&body, 10));
    }
  buf_free (&body);
}

/*
 * Guards against requests sent to a plain server later than drain_ms after it
 * announced its drain.
 */
Test (serve, draining_server_gets_no_new_requests)
{
  struct rack r;
  int runs;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"p1\", \"draining\": true}");
  usleep (1800000);
  runs = rack_get_count (&r, "p1", "runs");
  for (int i = 0; i < 20; i++)
    cr_expect_eq (rack_call (&r, i % 2, "/safe/x", "a", NULL, NULL), 200);
  cr_expect_eq (rack_get_count (&r, "p1", "runs"), runs);
}

/*
 * Guards against retrying a non-idempotent call at another server after the
 * first one read it and didn't respond. At the deadline the client receives
 * 504, because the outcome is unknown.
 */
Test (serve, possibly_executed_call_is_not_retried)
{
  struct rack r;
  int status;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"p1\", \"dark\": true}");
  rack_set (&r, "{\"server\": \"p2\", \"dark\": true}");
  status = rack_call (&r, 0, "/once/x", "once", NULL, NULL);
  cr_expect_eq (status, 504, "%d", status);
  cr_expect_eq (rack_get_count (&r, "p1", "runs")
                    + rack_get_count (&r, "p2", "runs"),
                0);
}

/*
 * Guards against accepting a response without the server's signature (seal
 * header). An idempotent call that fails at one server is retried at the
 * other; if neither server signs, the response is 502.
 */
Test (serve, response_without_signature_is_a_failure)
{
  struct rack r;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"p1\", \"fail\": 500}");
  for (int i = 0; i < 4; i++)
    cr_expect_eq (rack_call (&r, 0, "/safe/x", "f", NULL, NULL), 200);
  rack_set (&r, "{\"server\": \"p2\", \"unsealed\": true}");
  rack_set (&r, "{\"server\": \"p1\", \"fail\": 0, \"unsealed\": true}");
  cr_expect_eq (rack_call (&r, 0, "/once/x", "u", NULL, NULL), 502);
}

/*
 * Guards against failed requests during a store outage: the store doesn't
 * respond for seconds, then refuses calls, then loses its history and all
 * leases. The next configuration is applied soon after the outage.
 */
Test (serve, requests_succeed_during_store_outage)
{
  struct rack r;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"store\": {\"silent\": true}}");
  for (int i = 0; i < 30; i++, usleep (100000))
    cr_expect_eq (rack_call (&r, i % 2, "/safe/x", "a", NULL, NULL), 200);
  rack_set (&r, "{\"store\": {\"silent\": false, \"refuse\": true}}");
  for (int i = 0; i < 10; i++, usleep (100000))
    cr_expect_eq (rack_call (&r, i % 2, "/safe/x", "b", NULL, NULL), 200);
  rack_set (&r, "{\"store\": {\"refuse\": false, \"lapse\": true,"
                " \"compact\": true, \"lose_next\": 2}}");
  rack_configure (&r, 7, "k9", "");
  for (int i = 0; i < RACK_NODES; i++)
    cr_expect (rack_call_until (&r, i, "/safe/x", rack_headers ("c"), 401));
  cr_expect (rack_call_until (&r, 0, "/stream/x",
                              "Host: h\r\nX-Lapisline-Request-Id: d\r\n"
                              "X-Lapisline-Model: big\r\nX-Api-Key: k9\r\n",
                              200));
}

/*
 * Guards against a shutdown that interrupts open streams. After SIGTERM the
 * node isn't ready, the other node's directory omits it, and it exits once its
 * stream is complete. A preceding SIGHUP has no effect.
 */
Test (serve, shutdown_completes_open_streams)
{
  struct rack r;
  struct buf body = BUF_INIT;
  struct web_answer a = { 0 };
  struct web_stream *w;

  rack_start_all (&r, 4);
  proc_signal (r.node[0], SIGHUP);
  rack_set (&r, "{\"events\": 50, \"event_ms\": 50}");
  w = web_open (r.front[0], "POST", "/stream/x", rack_headers ("long"), "x");
  cr_assert (web_read_until (w, &body, "w3\n", PROC_WAIT_MS));
  proc_signal (r.node[0], SIGTERM);
  usleep (300000);
  web_call (r.ready[0], "GET", "/ready", NULL, NULL, &a);
  cr_expect_eq (a.status, 503);
  web_free (&a);
  web_call (r.directory[1], "GET", "/resolve?name=h", NULL, NULL, &a);
  cr_expect_null (strstr (buf_c (&a.body), r.front[0]));
  web_free (&a);
  while (web_read (w, &body, PROC_WAIT_MS) == WEB_BYTES)
    ;
  cr_expect (rack_is_complete (&body, 50));
  web_close (w);
  cr_expect_eq (proc_wait (r.node[0], 12000), 0);
  buf_free (&body);
}

/*
 * Guards against a stream being cut because a configuration without its route,
 * its key and its service comes into force, and against replicas being formed
 * again when the next configuration holds the service.
 */
Test (serve, stream_outlasts_its_service_in_the_configuration)
{
  struct rack r;
  struct buf body = BUF_INIT;
  struct web_stream *w;
  int leads;

  rack_start_all (&r, 4);
  leads = rack_get_count (&r, "e1", "leads");
  rack_set (&r, "{\"events\": 70, \"event_ms\": 80}");
  w = web_open (r.front[0], "POST", "/stream/x", rack_headers ("long"), "x");
  cr_assert (web_read_until (w, &body, "w3\n", PROC_WAIT_MS));
  rack_set (&r, "{\"config\": {\"version\": 2, \"routes\": ["
                "{\"name\": \"f\", \"host\": \"h\", \"prefix\": \"/safe/\","
                " \"kind\": \"idempotent\", \"timeout_ms\": 3000,"
                " \"goal_ms\": 300, \"service\": \"app\","
                " \"max_attempts\": 2}],"
                "\"services\": [{\"name\": \"app\", \"health_path\": \"/h\"}],"
                "\"limits\": {\"max_body_bytes\": 10000},"
                "\"tenants\": [{\"name\": \"acc\","
                " \"api_keys\": [\"k2\"]}]}}");
  while (web_read (w, &body, PROC_WAIT_MS) == WEB_BYTES)
    ;
  cr_expect (rack_is_complete (&body, 70));
  cr_expect_eq (rack_get_count (&r, "e1", "leads"), leads);
  web_close (w);
  cr_expect_eq (rack_call (&r, 0, "/stream/x", "gone", NULL, NULL), 404);
  rack_configure (&r, 3, "k1", "");
  rack_set (&r, "{\"events\": 10}");
  cr_assert (
      rack_call_until (&r, 0, "/stream/x", rack_headers ("after"), 200));
  cr_expect_eq (rack_get_count (&r, "e1", "leads"), leads);
  buf_free (&body);
}

/*
 * Guards against reloading models and forming replicas again after all nodes
 * were killed at once. The restarted nodes have to use the existing replicas.
 */
Test (serve, replicas_survive_restart_of_all_nodes)
{
  struct rack r;
  struct buf body = BUF_INIT;
  int leads;

  rack_start_all (&r, 4);
  leads = rack_get_count (&r, "e1", "leads");
  for (int i = 0; i < RACK_NODES; i++)
    {
      proc_signal (r.node[i], SIGKILL);
      proc_wait (r.node[i], PROC_WAIT_MS);
    }
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (&r, i);
  cr_assert (rack_call_until (&r, 0, "/stream/x", rack_headers ("a"), 200));
  cr_assert (rack_call_until (&r, 1, "/stream/x", rack_headers ("b"), 200));
  usleep (4000000);
  cr_expect_eq (rack_get_count (&r, "e1", "leads"), leads);
  cr_expect_eq (rack_stream (&r, 1, "c", &body), 200);
  cr_expect (rack_is_complete (&body, 10));
  buf_free (&body);
}

/*
 * Guards against failing requests when the leader node is paused while a
 * server dies and the other node takes over leadership. Each node is paused
 * once, because either may be the leader; both exit cleanly afterwards.
 */
Test (serve, requests_succeed_after_leader_pause)
{
  struct rack r;
  const char *const lost[RACK_NODES] = { "e7", "e8" };

  rack_start_all (&r, 8);
  for (int i = 0; i < RACK_NODES; i++)
    {
      proc_signal (r.node[i], SIGSTOP);
      rack_set (&r, "{\"server\": \"%s\", \"dead\": true}", lost[i]);
      usleep (2100000);
      proc_signal (r.node[i], SIGCONT);
      cr_expect (
          rack_call_until (&r, 0, "/stream/x", rack_headers ("a"), 200));
      cr_expect (
          rack_call_until (&r, 1, "/stream/x", rack_headers ("b"), 200));
    }
  for (int i = 0; i < RACK_NODES; i++)
    proc_signal (r.node[i], SIGTERM);
  for (int i = 0; i < RACK_NODES; i++)
    cr_expect_eq (proc_wait (r.node[i], PROC_WAIT_MS), 0, "node %d", i);
}

/*
 * Guards against a backend server that keeps generating a stream whose client
 * has disconnected; the node has to close its connection within 500 ms.
 */
Test (serve, client_disconnect_reaches_the_server)
{
  struct rack r;
  struct buf body = BUF_INIT;
  struct web_stream *w;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"events\": 200, \"event_ms\": 50}");
  w = web_open (r.front[0], "POST", "/stream/x", rack_headers ("go"), "x");
  cr_assert (web_read_until (w, &body, "w2\n", PROC_WAIT_MS));
  web_close (w);
  usleep (500000);
  cr_expect_eq (rack_get_count (&r, "e1", "open")
                    + rack_get_count (&r, "e2", "open")
                    + rack_get_count (&r, "e3", "open")
                    + rack_get_count (&r, "e4", "open"),
                0);
  buf_free (&body);
}

/*
 * Guards against a node that fails on invalid input: a body above the limit, a
 * malformed HTTP head, a request without id or model.
 */
Test (serve, invalid_requests_are_rejected)
{
  struct rack r;
  struct web_answer a = { 0 };
  char *large = xcalloc (1, 10002);

  rack_start_all (&r, 4);
  memset (large, 'x', 10001);
  web_call (r.front[0], "POST", "/once/x", rack_headers ("a"), large, &a);
  cr_expect_eq (a.status, 413);
  web_free (&a);
  web_call (r.front[0], "NO HTTP", "\x01", NULL, NULL, &a);
  cr_expect_neq (a.status, 200);
  web_free (&a);
  web_call (r.front[0], "POST", "/stream/x", "Host: h\r\nX-Api-Key: k1\r\n",
            "x", &a);
  cr_expect_eq (a.status, 503);
  web_free (&a);
  cr_expect_eq (rack_call (&r, 0, "/safe/x", "b", NULL, NULL), 200);
  free (large);
}

/*
 * Guards against a node that starts with several errors in its settings file
 * or without the file (exit code 3), or with a wrong argument (exit code 2).
 */
Test (serve, invalid_settings_set_the_exit_code)
{
  const char *path = proc_file ("bad.json", "{\"node_name\": \"n\","
                                            " \"listen\": {\"front\": 5}}");
  struct buf out = BUF_INIT;

  cr_expect_eq (PROC_RUN (&out, "lapisline", "serve", "--settings", path), 3);
  cr_expect_eq (PROC_RUN (&out, "lapisline", "serve", "--settings", "/none"),
                3);
  cr_expect_eq (PROC_RUN (&out, "lapisline", "serve", "--log-format", "x"), 2);
  buf_free (&out);
}

/** Value of a metric of the node, or -1. */
static double
read_metric (const struct rack *r, int node, const char *name)
{
  struct web_answer a = { 0 };
  const char *at;
  double x = -1;

  web_call (r->ready[node], "GET", "/metrics", NULL, NULL, &a);
  at = strstr (buf_c (&a.body), name);
  if (at)
    x = atof (at + strlen (name));
  web_free (&a);
  return x;
}

/* Guards against a server list whose age grows in logs and metrics because the
   list hasn't changed. */
Test (serve, unchanged_server_list_stays_fresh)
{
  struct rack r;

  rack_start_all (&r, 4);
  usleep (4000000);
  for (int i = 0; i < RACK_NODES; i++)
    {
      double age = read_metric (&r, i, "\nlapisline_serve_servers_age_ms ");
      cr_expect (age >= 0 && age < 1500, "node %d: %g ms", i + 1, age);
    }
}
