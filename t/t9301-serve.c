/*
 * Nodes before a stand-in of the users' platform, over real processes: the
 * whole path, and each failure of it that callers may meet.
 */
#include <criterion/criterion.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-rack.h"

TestSuite (serve, .fini = proc_stop_all, .timeout = 90);

/*
 * Callers come before anything is configured: they are told to come back, not
 * that there is no such route.  Once there is a configuration, all kinds of
 * request are served; a key reaches no backend server, the account does.
 */
Test (serve, from_nothing_to_all_kinds)
{
  struct rack r;
  struct buf body = BUF_INIT;
  struct web_answer a = { 0 };

  rack_up (&r, 4);
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
  cr_assert (rack_until (&r, 0, "/stream/x", rack_headers ("b"), 200));
  cr_expect_eq (rack_stream (&r, 1, "c", &body), 200);
  cr_expect (rack_whole (&body, 10));
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
  cr_expect (web_until (r.address[0], "/resolve?name=h&region=r&zone=z1", NULL,
                        r.front[1], PROC_WAIT_MS));
  cr_expect (web_until (r.address[1], "/resolve?name=h&region=r&zone=z1", NULL,
                        r.front[0], PROC_WAIT_MS));
  buf_free (&body);
}

/*
 * A key is taken away and a route is added: both hold at both nodes within the
 * time of the settings, and an older version that is written later changes
 * nothing.
 */
Test (serve, a_configuration_is_in_force_everywhere)
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
 * A caller reads a stream when a member of its replica dies.  Nobody is told;
 * the stream stands still, goes on at the other replica within its answer, and
 * the caller has each event once.  The replica is formed again with the spare.
 */
Test (serve, a_stream_goes_on_when_a_member_dies)
{
  struct rack r;
  struct buf body = BUF_INIT;
  struct web_stream *w;
  const char *member;

  rack_start_all (&r, 8);
  rack_set (&r, "{\"events\": 60, \"event_ms\": 40}");
  w = web_open (r.front[0], "POST", "/stream/x", rack_headers ("long"), "x");
  cr_assert (web_read_until (w, &body, "w5\n", PROC_WAIT_MS));
  member = rack_count (&r, "e1", "open") ? "e2" : "e6";
  rack_set (&r, "{\"server\": \"%s\", \"dead\": true}", member);
  while (web_read (w, &body, PROC_WAIT_MS) == WEB_BYTES)
    ;
  cr_expect (rack_whole (&body, 60));
  web_close (w);
  buf_clear (&body);
  rack_set (&r, "{\"events\": 10}");
  cr_expect_eq (rack_stream (&r, 0, "after", &body), 200);
  cr_expect (rack_whole (&body, 10));
  buf_free (&body);
}

/*
 * A replica breaks off in the middle of an event.  The caller sees neither the
 * broken event nor a gap.
 */
Test (serve, a_broken_event_is_not_passed_on)
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
      cr_expect (rack_whole (&body, 10));
    }
  buf_free (&body);
}

/*
 * The same, but the answer ends as if it were whole, within an event.  It is
 * not: the stream goes on at the other replica.
 */
Test (serve, an_answer_that_ends_in_an_event_is_not_whole)
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
      cr_expect (rack_whole (&body, 10));
    }
  buf_free (&body);
}

/*
 * A plain server says that it leaves.  Within the drain time no node sends it
 * anything.
 */
Test (serve, a_draining_server_gets_nothing_new)
{
  struct rack r;
  int runs;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"p1\", \"draining\": true}");
  usleep (1800000);
  runs = rack_count (&r, "p1", "runs");
  for (int i = 0; i < 20; i++)
    cr_expect_eq (rack_call (&r, i % 2, "/safe/x", "a", NULL, NULL), 200);
  cr_expect_eq (rack_count (&r, "p1", "runs"), runs);
}

/*
 * A call that must run once meets a server that reads it and never answers.
 * The caller learns at the deadline that the outcome is not known; the call
 * is not given to the other server.
 */
Test (serve, a_call_that_may_have_run_is_not_repeated)
{
  struct rack r;
  int status;

  rack_start_all (&r, 4);
  rack_set (&r, "{\"server\": \"p1\", \"dark\": true}");
  rack_set (&r, "{\"server\": \"p2\", \"dark\": true}");
  status = rack_call (&r, 0, "/once/x", "once", NULL, NULL);
  cr_expect_eq (status, 504, "%d", status);
  cr_expect_eq (rack_count (&r, "p1", "runs") + rack_count (&r, "p2", "runs"),
                0);
}

/*
 * An idempotent call meets one server that fails and one that answers without
 * its signature: the first is tried elsewhere, the second is no success.
 */
Test (serve, an_answer_without_signature_is_no_success)
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
 * The store answers nothing for some seconds, then refuses, then forgets its
 * history and ends all leases.  Callers are served all the while, and the
 * next configuration is in force soon after the return.
 */
Test (serve, callers_don_t_notice_that_the_store_is_away)
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
    cr_expect (rack_until (&r, i, "/safe/x", rack_headers ("c"), 401));
  cr_expect (rack_until (&r, 0, "/stream/x",
                         "Host: h\r\nX-Lapisline-Request-Id: d\r\n"
                         "X-Lapisline-Model: big\r\nX-Api-Key: k9\r\n",
                         200));
}

/*
 * SIGTERM comes while a stream is open.  The stream ends whole, the node is
 * not ready any more and is named no more by the other, and it ends by itself.
 * SIGHUP before changes nothing.
 */
Test (serve, a_stop_cuts_nothing)
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
  web_call (r.address[1], "GET", "/resolve?name=h", NULL, NULL, &a);
  cr_expect_null (strstr (buf_c (&a.body), r.front[0]));
  web_free (&a);
  while (web_read (w, &body, PROC_WAIT_MS) == WEB_BYTES)
    ;
  cr_expect (rack_whole (&body, 50));
  web_close (w);
  cr_expect_eq (proc_wait (r.node[0], 12000), 0);
  buf_free (&body);
}

/*
 * All nodes are killed at once.  They find the replicas as they are and serve
 * again; nothing is loaded or formed anew.
 */
Test (serve, replicas_outlive_all_nodes)
{
  struct rack r;
  struct buf body = BUF_INIT;
  int leads;

  rack_start_all (&r, 4);
  leads = rack_count (&r, "e1", "leads");
  for (int i = 0; i < RACK_NODES; i++)
    {
      proc_signal (r.node[i], SIGKILL);
      proc_wait (r.node[i], PROC_WAIT_MS);
    }
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (&r, i);
  cr_assert (rack_until (&r, 0, "/stream/x", rack_headers ("a"), 200));
  cr_assert (rack_until (&r, 1, "/stream/x", rack_headers ("b"), 200));
  usleep (4000000);
  cr_expect_eq (rack_count (&r, "e1", "leads"), leads);
  cr_expect_eq (rack_stream (&r, 1, "c", &body), 200);
  cr_expect (rack_whole (&body, 10));
  buf_free (&body);
}

/*
 * The node that forms replicas stands still while a server goes, and the other
 * takes over.  Callers of both nodes are served on, and both end by
 * themselves. Each node stands still once, as either may be the owner.
 */
Test (serve, callers_outlive_an_owner_that_stands_still)
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
      cr_expect (rack_until (&r, 0, "/stream/x", rack_headers ("a"), 200));
      cr_expect (rack_until (&r, 1, "/stream/x", rack_headers ("b"), 200));
    }
  for (int i = 0; i < RACK_NODES; i++)
    proc_signal (r.node[i], SIGTERM);
  for (int i = 0; i < RACK_NODES; i++)
    cr_expect_eq (proc_wait (r.node[i], PROC_WAIT_MS), 0, "node %d", i);
}

/*
 * A caller leaves in the middle of a stream: the backend server sees it within
 * half a second and stops.
 */
Test (serve, a_caller_that_leaves_reaches_the_server)
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
  cr_expect_eq (rack_count (&r, "e1", "open") + rack_count (&r, "e2", "open")
                    + rack_count (&r, "e3", "open")
                    + rack_count (&r, "e4", "open"),
                0);
  buf_free (&body);
}

/*
 * Bad input is refused with its reason, and the node goes on: a body that is
 * too large, a head that is no HTTP, a request without an id or a model.
 */
Test (serve, bad_input_is_refused)
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
 * A settings file with several faults: all of them are told at once with their
 * place, and the exit code says that the input is bad.
 */
Test (serve, settings_are_checked_as_a_whole)
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

/** A figure of a node's metrics. */
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

/* Guards against a list that looks old in logs and metrics, as nothing in it
   has changed. */
Test (serve, an_unchanged_list_is_not_old)
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
