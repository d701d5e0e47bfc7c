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
#define SPREAD_US 400000

/** How many servers lead a replica that takes requests. */
static int
count_leaders (const struct rack *r)
{
  char id[8];
  int n = 0;

  for (int i = 0; i < ENGINES; i++)
    {
      snprintf (id, sizeof id, "e%d", i + 1);
      n += rack_count (r, id, "leads") != 0;
    }
  return n;
}

static void
until_leaders (const struct rack *r, int n)
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

  web_call (r->at, "GET", "/control/counts", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  n = (int)jsn_int (o, "crashed");
  json_object_put (o);
  web_free (&a);
  return n;
}

/** Ask with that body; the answer is left in @p a. */
static void
ask (const struct rack *r, int node, const char *path, const char *body,
     struct web_answer *a)
{
  static int asked;
  char id[16];

  snprintf (id, sizeof id, "q%d", ++asked);
  web_call (r->front[node], "POST", path, rack_headers (id), body, a);
}

static int
ask_status (const struct rack *r, int node, const char *path, const char *body)
{
  struct web_answer a = { 0 };
  int status;

  ask (r, node, path, body, &a);
  status = a.whole ? a.status : -a.status;
  web_free (&a);
  return status;
}

/* Guards against a caller that returns with such a request to node after node
   and ends server after server. */
Test (crash, a_request_is_not_run_once_three_servers_have_ended_under_it)
{
  struct rack r;
  struct web_answer a = { 0 };

  rack_start_all (&r, ENGINES);
  until_leaders (&r, REPLICAS);
  rack_set (&r, "{\"crash_body\": \"bad\", \"crash_ms\": 10}");
  for (int i = 0; i < 12; i++)
    {
      ask_status (&r, i % RACK_NODES, "/stream/x", "bad");
      usleep (SPREAD_US);
    }
  cr_expect_eq (count_crashed (&r), 3, "%d ended", count_crashed (&r));
  for (int i = 0; i < RACK_NODES; i++)
    {
      ask (&r, i, "/stream/x", "bad", &a);
      cr_expect_eq (a.status, 503);
      cr_expect_eq (web_header (&a, "retry-after").len, 0);
      web_free (&a);
      cr_expect_eq (ask_status (&r, i, "/stream/x", "good"), 200);
    }
}

/** Ask until it is known that the request ends servers. */
static void
until_blocked (const struct rack *r)
{
  for (int i = 0; i < 12; i++)
    {
      ask_status (r, i % RACK_NODES, "/stream/x", "bad");
      usleep (SPREAD_US);
    }
  cr_assert_eq (count_crashed (r), 3, "%d ended", count_crashed (r));
}

static void
serve_crashing (struct rack *r)
{
  rack_start_all (r, ENGINES);
  until_leaders (r, REPLICAS);
  rack_set (r, "{\"crash_body\": \"bad\", \"crash_ms\": 10}");
}

static void
stop_node (struct rack *r, int node)
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
    cr_assert (rack_until (r, i, "/stream/x", rack_headers ("usual"), 200));
  for (int i = 0; i < RACK_NODES; i++)
    cr_expect_eq (ask_status (r, i, "/stream/x", "bad"), 503);
  cr_expect_eq (count_crashed (r), 3);
}

/* Guards against a node that starts again, or all of them, and runs what was
   known to end servers. */
Test (crash, nodes_that_start_again_refuse_it_too)
{
  struct rack r;

  serve_crashing (&r);
  until_blocked (&r);
  stop_node (&r, 0);
  rack_start_node (&r, 0);
  expect_refused (&r);
  for (int i = 0; i < RACK_NODES; i++)
    stop_node (&r, i);
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (&r, i);
  expect_refused (&r);
}

/* Guards against a verdict that needs the store: it is away, and has the
   verdict once it is back. */
Test (crash, the_store_is_away)
{
  struct rack r;

  serve_crashing (&r);
  rack_set (&r, "{\"store\": {\"refuse\": true}}");
  until_blocked (&r);
  rack_set (&r, "{\"store\": {\"refuse\": false}}");
  usleep (4000000);
  for (int i = 0; i < RACK_NODES; i++)
    stop_node (&r, i);
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (&r, i);
  expect_refused (&r);
}

/* Guards against a block of requests whose connections broke while their
   servers lived. */
Test (crash, broken_connections_are_no_crash)
{
  struct rack r;

  rack_start_all (&r, 8);
  for (int i = 0; i < 8; i++)
    {
      rack_set (&r, "{\"server\": \"e1\", \"cut_after\": 1}");
      rack_set (&r, "{\"server\": \"e5\", \"cut_after\": 1}");
      ask_status (&r, i % RACK_NODES, "/stream/x", "same");
    }
  rack_set (&r, "{\"server\": \"e1\", \"cut_after\": 0}");
  rack_set (&r, "{\"server\": \"e5\", \"cut_after\": 0}");
  for (int i = 0; i < RACK_NODES; i++)
    {
      cr_expect (web_until (r.ready[i], "/metrics", NULL,
                            "lapisline_serve_requests_blocked 0",
                            PROC_WAIT_MS));
      cr_expect_eq (ask_status (&r, i, "/stream/x", "same"), 200);
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
      web_call (r->at, "GET",
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
Test (crash, a_node_that_starts_is_told_over_its_link)
{
  struct rack r;

  serve_crashing (&r);
  rack_set (&r, "{\"store\": {\"no_writes\": true}}");
  until_blocked (&r);
  stop_node (&r, 0);
  rack_start_node (&r, 0);
  cr_expect (web_until (r.ready[0], "/metrics", NULL,
                        "lapisline_serve_requests_blocked 1", PROC_WAIT_MS));
  expect_refused (&r);
}

/* Guards against a block that goes with a lease that the store has ended
   early, and against one that operators can't end. */
Test (crash, the_store_loses_leases_and_operators_lift_a_block)
{
  struct rack r;
  struct web_answer a = { 0 };
  char key[128], text[256];

  serve_crashing (&r);
  until_blocked (&r);
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
  cr_assert (web_call (r.at, "POST", PLT_KV_TXN, NULL, text, &a));
  cr_assert_eq (a.status, 200, "%s", buf_c (&a.body));
  web_free (&a);
  usleep (1500000);
  for (int i = 0; i < RACK_NODES; i++)
    cr_expect_eq (ask_status (&r, i, "/stream/x", "bad"), 200);
}

#define BYSTANDERS 12

/* Guards against a request that is free again as the store has come back from
   a copy that lacks its key. */
Test (crash, the_key_outlives_a_return_from_a_copy)
{
  struct rack r;
  char key[64];

  serve_crashing (&r);
  rack_set (&r, "{\"store\": {\"copy\": true, \"skip\": 1000}}");
  until_blocked (&r);
  find_blocked_key (&r, key, sizeof key);
  rack_set (&r, "{\"store\": {\"restore\": true}}");
  find_blocked_key (&r, key, sizeof key);
}

/* Guards against the refusal of streams that were running at the servers that
   ended: each is served, by itself or when its caller asks again. */
Test (crash, bystanders_are_served)
{
  struct rack r;
  struct web_stream *w[BYSTANDERS];
  char body[BYSTANDERS][8];
  struct buf got = BUF_INIT;

  serve_crashing (&r);
  rack_set (&r, "{\"events\": 120}");
  for (int i = 0; i < BYSTANDERS; i++)
    {
      snprintf (body[i], sizeof body[i], "by%d", i);
      w[i] = web_open (r.front[i % RACK_NODES], "POST", "/stream/x",
                       rack_headers (body[i]), body[i]);
    }
  for (int i = 0; i < 4; i++)
    {
      ask_status (&r, i % RACK_NODES, "/stream/x", "bad");
      usleep (SPREAD_US);
    }
  rack_set (&r, "{\"events\": 5}");
  for (int i = 0; i < BYSTANDERS; i++)
    {
      while (web_read (w[i], &got, PROC_WAIT_MS) == WEB_BYTES)
        ;
      web_close (w[i]);
    }
  for (int i = 0; i < BYSTANDERS; i++)
    cr_expect_eq (ask_status (&r, i % RACK_NODES, "/stream/x", body[i]), 200,
                  "%s", body[i]);
  cr_expect_eq (ask_status (&r, 0, "/stream/x", "bad"), 503);
  buf_free (&got);
}

/* Guards against more ends by a caller that asks all nodes at once, without
   waiting for answers. */
Test (crash, asked_at_all_nodes_at_once)
{
  struct rack r;
  struct web_stream *w[RACK_NODES];
  struct buf got = BUF_INIT;

  serve_crashing (&r);
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
  cr_expect_eq (ask_status (&r, 0, "/stream/x", "bad"), 503);
  buf_free (&got);
}

/* Guards against a verdict that is lost as nodes end and start in turn, while
   the store is away half of the time. */
Test (crash, nodes_restart_in_turn)
{
  struct rack r;

  serve_crashing (&r);
  until_blocked (&r);
  for (int round = 0; round < 6; round++)
    {
      bool away = round % 2;
      if (away)
        rack_set (&r, "{\"store\": {\"refuse\": true}}");
      stop_node (&r, round % RACK_NODES);
      usleep (200000);
      if (away)
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

  rack_up_many (&r, ENGINES, RACK_MANY, NULL);
  rack_configure (&r, 1, "k1", "");
  for (int i = 0; i < RACK_MANY; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < RACK_MANY; i++)
    cr_assert (rack_until (&r, i, "/stream/x", rack_headers ("warm"), 200));
  until_leaders (&r, REPLICAS);
  rack_set (&r, "{\"crash_body\": \"bad\", \"crash_ms\": 10}");
  for (int i = 0; i < RACK_MANY; i++)
    {
      ask_status (&r, i, "/stream/x", "bad");
      usleep (SPREAD_US);
    }
  cr_expect_eq (count_crashed (&r), 3, "%d ended", count_crashed (&r));
  for (int i = 0; i < RACK_MANY; i++)
    cr_expect_eq (ask_status (&r, i, "/stream/x", "bad"), 503, "node %d", i);
}
