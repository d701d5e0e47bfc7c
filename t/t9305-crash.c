/*
 * Requests that end the process of each backend server that runs them, over
 * real processes.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/json.h"
#include "platform/names.h"
#include "t/lib-rack.h"

TestSuite (crash, .fini = proc_stop_all, .timeout = 120);

#define ENGINES 32
#define REPLICAS (ENGINES / 4)
/** Time for what one node has seen to reach the others. */
#define PROPAGATION_US 400000

/** How many servers lead a replica that takes requests. */
static int
count_leaders (const struct rack *r)
{
  char id[8];
  int n = 0;

  for (int i = 0; i < ENGINES; i++)
    {
      snprintf (id, sizeof id, "e%d", i + 1);
      n += rack_get_count (r, id, "leads") != 0;
    }
  return n;
}

static void
wait_for_leaders (const struct rack *r, int n)
{
  for (int i = 0; i < 200 && count_leaders (r) < n; i++)
    usleep (50000);
  cr_assert_geq (count_leaders (r), n);
}

static int
count_crashed (const struct rack *r)
{
  struct web_answer a = { 0 };
  struct json_object *o;
  int n;

  web_call (r->platform_addr, "GET", "/control/counts", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  n = (int)jsn_int (o, "crashed");
  json_object_put (o);
  web_free (&a);
  return n;
}

/** Ask with that body; the answer is left in @p a. */
static void
send_request (const struct rack *r, int node, const char *path,
              const char *body, struct web_answer *a)
{
  static int nrequests;
  char id[16];

  snprintf (id, sizeof id, "q%d", ++nrequests);
  web_call (r->front[node], "POST", path, rack_headers (id), body, a);
}

static int
request_status (const struct rack *r, int node, const char *path,
                const char *body)
{
  struct web_answer a = { 0 };
  int status;

  send_request (r, node, path, body, &a);
  status = a.whole ? a.status : -a.status;
  web_free (&a);
  return status;
}

/* Guards against a caller that returns with such a request to node after node
   and ends server after server. */
Test (crash, request_is_blocked_after_three_crashes)
{
  struct rack r;
  struct web_answer a = { 0 };

  rack_serve (&r, ENGINES);
  wait_for_leaders (&r, REPLICAS);
  rack_set (&r, "{\"crash_body\": \"bad\", \"crash_ms\": 10}");
  for (int i = 0; i < 12; i++)
    {
      request_status (&r, i % RACK_NODES, "/stream/x", "bad");
      usleep (PROPAGATION_US);
    }
  cr_expect_eq (count_crashed (&r), 3, "%d ended", count_crashed (&r));
  for (int i = 0; i < RACK_NODES; i++)
    {
      send_request (&r, i, "/stream/x", "bad", &a);
      cr_expect_eq (a.status, 503);
      cr_expect_eq (web_header (&a, "retry-after").len, 0);
      web_free (&a);
      cr_expect_eq (request_status (&r, i, "/stream/x", "good"), 200);
    }
}

/** Ask until it is known that the request ends servers. */
static void
crash_until_blocked (const struct rack *r)
{
  for (int i = 0; i < 12; i++)
    {
      request_status (r, i % RACK_NODES, "/stream/x", "bad");
      usleep (PROPAGATION_US);
    }
  cr_assert_eq (count_crashed (r), 3, "%d ended", count_crashed (r));
}

static void
start_with_crash_body (struct rack *r)
{
  rack_serve (r, ENGINES);
  wait_for_leaders (r, REPLICAS);
  rack_set (r, "{\"crash_body\": \"bad\", \"crash_ms\": 10}");
}

static void
kill_node (struct rack *r, int node)
{
  proc_signal (r->node[node], SIGKILL);
  proc_wait (r->node[node], PROC_WAIT_MS);
}

/** Wait for a usual request to be served, then ask for the one that ends
    servers: nobody runs it. */
static void
expect_refused (struct rack *r)
{
  for (int i = 0; i < RACK_NODES; i++)
    cr_assert (
        rack_call_until (r, i, "/stream/x", rack_headers ("usual"), 200));
  for (int i = 0; i < RACK_NODES; i++)
    cr_expect_eq (request_status (r, i, "/stream/x", "bad"), 503);
  cr_expect_eq (count_crashed (r), 3);
}

/* Guards against a node that starts again, or all of them, and runs what was
   known to end servers. */
Test (crash, restarted_nodes_keep_the_block)
{
  struct rack r;

  start_with_crash_body (&r);
  crash_until_blocked (&r);
  kill_node (&r, 0);
  rack_start_node (&r, 0);
  expect_refused (&r);
  for (int i = 0; i < RACK_NODES; i++)
    kill_node (&r, i);
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (&r, i);
  expect_refused (&r);
}

/* Guards against a verdict that needs the store: it is away, and has the
   verdict once it is back. */
Test (crash, block_survives_store_outage)
{
  struct rack r;

  start_with_crash_body (&r);
  rack_set (&r, "{\"store\": {\"refuse\": true}}");
  crash_until_blocked (&r);
  rack_set (&r, "{\"store\": {\"refuse\": false}}");
  usleep (4000000);
  for (int i = 0; i < RACK_NODES; i++)
    kill_node (&r, i);
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (&r, i);
  expect_refused (&r);
}

/* Guards against a block of requests whose connections broke while their
   servers lived. */
Test (crash, broken_connections_are_not_crashes)
{
  struct rack r;

  rack_serve (&r, 8);
  for (int i = 0; i < 8; i++)
    {
      rack_set (&r, "{\"server\": \"e1\", \"cut_after\": 1}");
      rack_set (&r, "{\"server\": \"e5\", \"cut_after\": 1}");
      request_status (&r, i % RACK_NODES, "/stream/x", "same");
    }
  rack_set (&r, "{\"server\": \"e1\", \"cut_after\": 0}");
  rack_set (&r, "{\"server\": \"e5\", \"cut_after\": 0}");
  for (int i = 0; i < RACK_NODES; i++)
    {
      cr_expect (web_until (r.ready[i], "/metrics", NULL,
                            "lapisline_serve_requests_blocked 0",
                            PROC_WAIT_MS));
      cr_expect_eq (request_status (&r, i, "/stream/x", "same"), 200);
    }
}

/** The key of the blocked request, below the project's prefix. */
static void
find_blocked_key (const struct rack *r, char *key, size_t size)
{
  struct web_answer a = { 0 };
  struct json_object *o;
  size_t n = 0;

  for (int i = 0; i < 100 && n == 0; i++)
    {
      web_call (r->platform_addr, "GET",
                PLT_KV_RANGE "?prefix=" PLT_PREFIX_OWN "blocked/", NULL, NULL,
                &a);
      o = jsn_parse (buf_str (&a.body));
      struct json_object *items = jsn_array (o, "items", &n);
      if (n > 0)
        snprintf (key, size, "%s",
                  jsn_text (json_object_array_get_idx (items, 0), "key"));
      json_object_put (o);
      web_free (&a);
      usleep (50000);
    }
  cr_assert_gt (n, 0);
}

/* Guards against a node that starts, finds nothing in the store, and takes
   what the others refuse: it is told as it is linked. */
Test (crash, starting_node_receives_block_from_peer)
{
  struct rack r;

  start_with_crash_body (&r);
  rack_set (&r, "{\"store\": {\"no_writes\": true}}");
  crash_until_blocked (&r);
  kill_node (&r, 0);
  rack_start_node (&r, 0);
  cr_expect (web_until (r.ready[0], "/metrics", NULL,
                        "lapisline_serve_requests_blocked 1", PROC_WAIT_MS));
  expect_refused (&r);
}

/* Guards against a block that goes with a lease that the store has ended
   early, and against one that operators can't end. */
Test (crash, block_survives_lease_loss_until_operators_clear_it)
{
  struct rack r;
  struct web_answer a = { 0 };
  char key[128], text[256];

  start_with_crash_body (&r);
  crash_until_blocked (&r);
  find_blocked_key (&r, key, sizeof key);
  rack_set (&r, "{\"store\": {\"lapse\": true}}");
  usleep (500000);
  expect_refused (&r);
  find_blocked_key (&r, key, sizeof key);
  rack_set (&r, "{\"crash_body\": \"none\"}");
  /* {"cleared":true} */
  snprintf (text, sizeof text,
            "{\"expected\":[],\"writes\":[{\"key\":\"%s\",\"value\":"
            "\"eyJjbGVhcmVkIjp0cnVlfQ==\",\"lease\":0}],\"remove\":[]}",
            key);
  cr_assert (web_call (r.platform_addr, "POST", PLT_KV_TXN, NULL, text, &a));
  cr_assert_eq (a.status, 200, "%s", buf_c (&a.body));
  web_free (&a);
  usleep (1500000);
  for (int i = 0; i < RACK_NODES; i++)
    cr_expect_eq (request_status (&r, i, "/stream/x", "bad"), 200);
}

#define CONCURRENT_STREAMS 12

/* Guards against a request that is free again as the store has come back from
   a copy that lacks its key. */
Test (crash, block_key_survives_store_restore)
{
  struct rack r;
  char key[64];

  start_with_crash_body (&r);
  rack_set (&r, "{\"store\": {\"copy\": true, \"skip\": 1000}}");
  crash_until_blocked (&r);
  find_blocked_key (&r, key, sizeof key);
  rack_set (&r, "{\"store\": {\"restore\": true}}");
  find_blocked_key (&r, key, sizeof key);
}

/* Guards against the refusal of streams that were running at the servers that
   ended: each is served, by itself or when its caller asks again. */
Test (crash, concurrent_streams_are_served)
{
  struct rack r;
  struct web_stream *w[CONCURRENT_STREAMS];
  char body[CONCURRENT_STREAMS][8];
  struct buf got = BUF_INIT;

  start_with_crash_body (&r);
  rack_set (&r, "{\"events\": 120}");
  for (int i = 0; i < CONCURRENT_STREAMS; i++)
    {
      snprintf (body[i], sizeof body[i], "by%d", i);
      w[i] = web_open (r.front[i % RACK_NODES], "POST", "/stream/x",
                       rack_headers (body[i]), body[i]);
    }
  for (int i = 0; i < 4; i++)
    {
      request_status (&r, i % RACK_NODES, "/stream/x", "bad");
      usleep (PROPAGATION_US);
    }
  rack_set (&r, "{\"events\": 5}");
  for (int i = 0; i < CONCURRENT_STREAMS; i++)
    {
      while (web_read (w[i], &got, PROC_WAIT_MS) == WEB_BYTES)
        ;
      web_close (w[i]);
    }
  for (int i = 0; i < CONCURRENT_STREAMS; i++)
    cr_expect_eq (request_status (&r, i % RACK_NODES, "/stream/x", body[i]),
                  200, "%s", body[i]);
  cr_expect_eq (request_status (&r, 0, "/stream/x", "bad"), 503);
  buf_free (&got);
}

/* Guards against more ends by a caller that asks all nodes at once, without
   waiting for answers. */
Test (crash, concurrent_requests_at_all_nodes)
{
  struct rack r;
  struct web_stream *w[RACK_NODES];
  struct buf got = BUF_INIT;

  start_with_crash_body (&r);
  for (int n = 0; n < 10; n++)
    {
      for (int i = 0; i < RACK_NODES; i++)
        w[i] = web_open (r.front[i], "POST", "/stream/x", rack_headers ("at"),
                         "bad");
      usleep (50000);
      for (int i = 0; i < RACK_NODES; i++)
        {
          while (web_read (w[i], &got, PROC_WAIT_MS) == WEB_BYTES)
            ;
          web_close (w[i]);
        }
    }
  /* Three, and what was under way at the other node by then. */
  cr_expect_leq (count_crashed (&r), 6, "%d ended", count_crashed (&r));
  cr_expect_eq (request_status (&r, 0, "/stream/x", "bad"), 503);
  buf_free (&got);
}

/* Guards against a verdict that is lost as nodes end and start in turn, while
   the store is away half of the time. */
Test (crash, nodes_restart_in_turn)
{
  struct rack r;

  start_with_crash_body (&r);
  crash_until_blocked (&r);
  for (int round = 0; round < 6; round++)
    {
      bool store_down = round % 2;
      if (store_down)
        rack_set (&r, "{\"store\": {\"refuse\": true}}");
      kill_node (&r, round % RACK_NODES);
      usleep (200000);
      if (store_down)
        rack_set (&r, "{\"store\": {\"refuse\": false}}");
      rack_start_node (&r, round % RACK_NODES);
      expect_refused (&r);
    }
}

/* Guards against nodes that don't hear of it where not all are linked to each
   other: the crashes are seen by three of those that are no hubs, or any. */
Test (crash, many_nodes)
{
  struct rack r;

  rack_prepare_nodes (&r, ENGINES, RACK_MANY_NODES, NULL);
  rack_configure (&r, 1, "k1", "");
  for (int i = 0; i < RACK_MANY_NODES; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_assert (
        rack_call_until (&r, i, "/stream/x", rack_headers ("warm"), 200));
  wait_for_leaders (&r, REPLICAS);
  rack_set (&r, "{\"crash_body\": \"bad\", \"crash_ms\": 10}");
  for (int i = 0; i < RACK_MANY_NODES; i++)
    {
      request_status (&r, i, "/stream/x", "bad");
      usleep (PROPAGATION_US);
    }
  cr_expect_eq (count_crashed (&r), 3, "%d ended", count_crashed (&r));
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_expect_eq (request_status (&r, i, "/stream/x", "bad"), 503, "node %d",
                  i);
}
