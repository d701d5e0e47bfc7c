/*
 * Requests that crash every backend server that runs them (poison requests),
 * with real processes.
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
/** Time for a crash seen by one node to be reported to the others. */
#define PROPAGATION_US 400000

/** Number of servers that lead a replica and accept requests. */
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

/** Value of a counter that the stand-in has for all servers together. */
static int
get_total (const struct rack *r, const char *name)
{
  struct web_answer a = { 0 };
  struct json_object *o;
  int n;

  web_call (r->platform_addr, "GET", "/control/counts", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  n = (int)jsn_int (o, name);
  json_object_put (o);
  web_free (&a);
  return n;
}

static int
count_crashed (const struct rack *r)
{
  return get_total (r, "crashed");
}

/** Sends a request with @p body; @p a receives the response. */
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

/* Guards against a client that repeats a poison request at node after node and
   crashes one server after another. */
Test (crash, request_is_blocked_after_three_crashes)
{
  struct rack r;
  struct web_answer a = { 0 };

  rack_start_all (&r, ENGINES);
  wait_for_leaders (&r, REPLICAS);
  rack_set (&r, "{\"crash_body\": \"bad\", \"crash_ms\": 10}");
  for (int i = 0; i < 12; i++)
    {
      request_status (&r, i % RACK_NODES, "/stream/x", "bad");
      usleep (PROPAGATION_US);
    }
  cr_expect_eq (count_crashed (&r), 3, "%d servers crashed",
                count_crashed (&r));
  for (int i = 0; i < RACK_NODES; i++)
    {
      send_request (&r, i, "/stream/x", "bad", &a);
      cr_expect_eq (a.status, 503);
      cr_expect_eq (web_header (&a, "retry-after").len, 0);
      web_free (&a);
      cr_expect_eq (request_status (&r, i, "/stream/x", "good"), 200);
    }
}

/** Sends the poison request until the nodes block it. */
static void
crash_until_blocked (const struct rack *r)
{
  for (int i = 0; i < 12; i++)
    {
      request_status (r, i % RACK_NODES, "/stream/x", "bad");
      usleep (PROPAGATION_US);
    }
  cr_assert_eq (count_crashed (r), 3, "%d servers crashed", count_crashed (r));
}

static void
start_with_crash_body (struct rack *r)
{
  rack_start_all (r, ENGINES);
  wait_for_leaders (r, REPLICAS);
  rack_set (r, "{\"crash_body\": \"bad\", \"crash_ms\": 10}");
}

static void
kill_node (struct rack *r, int node)
{
  proc_signal (r->node[node], SIGKILL);
  proc_wait (r->node[node], PROC_WAIT_MS);
}

/** Waits until a normal request is served, then sends the poison request to
   each node, which has to refuse it without running it. */
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

/* Guards against restarted nodes, one or all of them, that run a blocked
   request. */
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

/* Guards against a block that depends on the store: the block is set during an
   outage and has to be stored after it. */
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

/* Guards against blocking requests whose connections broke while their servers
   kept running. */
Test (crash, broken_connections_are_not_crashes)
{
  struct rack r;

  rack_start_all (&r, 8);
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
      cr_expect (web_poll_until (r.ready[i], "/metrics", NULL,
                                 "lapisline_serve_requests_blocked 0",
                                 PROC_WAIT_MS));
      cr_expect_eq (request_status (&r, i, "/stream/x", "same"), 200);
    }
}

/** Waits for the store key of the blocked request. */
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

/* Guards against a starting node that finds no block in the store and runs the
   request. Another node reports the block once the two are linked. */
Test (crash, starting_node_receives_block_from_peer)
{
  struct rack r;

  start_with_crash_body (&r);
  rack_set (&r, "{\"store\": {\"no_writes\": true}}");
  crash_until_blocked (&r);
  kill_node (&r, 0);
  rack_start_node (&r, 0);
  cr_expect (web_poll_until (r.ready[0], "/metrics", NULL,
                             "lapisline_serve_requests_blocked 1",
                             PROC_WAIT_MS));
  expect_refused (&r);
}

/* Guards against a block that is lost with a lease that the store ended early,
   and against a block that operators can't clear. */
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

/* Guards against a request that is unblocked because the store was restored
   from a copy without its key. */
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

/* Guards against refusing streams that were running at the crashed servers.
   Each is served, either by a retry of the node or when its client sends it
   again. */
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
    {
      struct web_answer a = { 0 };
      send_request (&r, i % RACK_NODES, "/stream/x", body[i], &a);
      /* The body of a refusal has the node's reason. */
      cr_expect (a.status == 200 && a.whole, "%s by node-%d: %d, %s: %s",
                 body[i], i % RACK_NODES + 1, a.status,
                 a.whole ? "complete" : "cut", buf_c (&a.body));
      web_free (&a);
    }
  cr_expect_eq (request_status (&r, 0, "/stream/x", "bad"), 503);
  buf_free (&got);
}

/* Guards against further crashes when a client sends the poison request to all
   nodes at once, without waiting for responses. */
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
  /* 3 crashes, and more by requests already running at the other node. */
  cr_expect_leq (count_crashed (&r), 6, "%d servers crashed",
                 count_crashed (&r));
  cr_expect_eq (request_status (&r, 0, "/stream/x", "bad"), 503);
  buf_free (&got);
}

/* Guards against losing the block when nodes are restarted in turn, with the
   store down at every second restart. */
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

/* Guards against nodes that don't receive the block in a fleet without a full
   mesh, where any three nodes, relays or others, see the crashes. */
Test (crash, many_nodes)
{
  struct rack r;

  rack_start_many (&r, ENGINES);
  wait_for_leaders (&r, REPLICAS);
  rack_set (&r, "{\"crash_body\": \"bad\", \"crash_ms\": 10}");
  for (int i = 0; i < RACK_MANY_NODES; i++)
    {
      request_status (&r, i, "/stream/x", "bad");
      usleep (PROPAGATION_US);
    }
  cr_expect_eq (count_crashed (&r), 3, "%d servers crashed",
                count_crashed (&r));
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_expect_eq (request_status (&r, i, "/stream/x", "bad"), 503, "node %d",
                  i);
}

/* --- parts of prompts that crash servers ----------------------------------
 */

/** Number of crashes after which a part has to be blocked at the latest. */
#define MAX_PART_CRASHES 5
/** Id of the part that crashes servers. */
#define BAD_PART "bad"

/** Sends a request that no other one equals. @param parts  of its prompt that
    others share */
static int
request_with_parts (const struct rack *r, int node, const char *parts)
{
  static int n;
  struct web_answer a = { 0 };
  char id[32], body[32], headers[512];
  int status;

  snprintf (id, sizeof id, "w%d", ++n);
  snprintf (body, sizeof body, "own %d", n);
  snprintf (headers, sizeof headers,
            "%sX-Lapisline-Prompt-Prefix: %s,f%x:250\r\n", rack_headers (id),
            parts, n);
  web_call (r->front[node], "POST", "/stream/x", headers, body, &a);
  status = a.whole ? a.status : -a.status;
  web_free (&a);
  return status;
}

static void
start_with_crash_part (struct rack *r)
{
  rack_start_all (r, ENGINES);
  wait_for_leaders (r, REPLICAS);
  rack_set (r, "{\"crash_part\": \"" BAD_PART "\", \"crash_ms\": 70}");
}

/** Sends sound requests and such that crash servers in turn, to both nodes. */
static void
crash_by_part (const struct rack *r, const char *sound, const char *bad)
{
  for (int i = 0; i < 12; i++)
    {
      cr_expect_eq (request_with_parts (r, i % RACK_NODES, sound), 200);
      request_with_parts (r, i % RACK_NODES, bad);
      usleep (PROPAGATION_US);
    }
  cr_expect_leq (count_crashed (r), MAX_PART_CRASHES, "%d servers crashed",
                 count_crashed (r));
}

/* Guards against requests that crash one server after another because of a
   part of the prompt that they share, while no two of them are the same. */
Test (crash, part_of_prompts_is_blocked)
{
  struct rack r;

  start_with_crash_part (&r);
  crash_by_part (&r, "aa:800,cc:90", "aa:800," BAD_PART ":410,cc:90");
  for (int i = 0; i < RACK_NODES; i++)
    {
      cr_expect_eq (request_with_parts (&r, i, "aa:800," BAD_PART ":410"),
                    503);
      cr_expect_eq (request_with_parts (&r, i, "aa:800,dd:70"), 200);
      cr_expect_eq (request_with_parts (&r, i, "aa:800,cc:90"), 200);
    }
}

/* Guards against a server that speaks for the request which crashes it: its
   responses end with their connections, and so do those that a crash cuts. */
Test (crash, part_is_blocked_if_responses_end_with_connections)
{
  struct rack r;

  start_with_crash_part (&r);
  rack_set (&r, "{\"unframed\": true}");
  crash_by_part (&r, "aa:800", "aa:800," BAD_PART ":410");
  for (int i = 0; i < RACK_NODES; i++)
    {
      cr_expect_eq (request_with_parts (&r, i, "aa:800," BAD_PART ":410"),
                    503);
      cr_expect_eq (request_with_parts (&r, i, "aa:800"), 200);
    }
}

/* Guards against nodes of a large fleet that don't learn of the block, or that
   refuse a part which completes at few nodes. */
Test (crash, part_is_blocked_at_many_nodes)
{
  struct rack r;

  rack_start_many (&r, ENGINES);
  wait_for_leaders (&r, REPLICAS);
  rack_set (&r, "{\"crash_part\": \"" BAD_PART "\", \"crash_ms\": 70}");
  for (int i = 0; i < RACK_MANY_NODES; i++)
    {
      request_with_parts (&r, (i + 5) % RACK_MANY_NODES, "aa:800");
      request_with_parts (&r, i, "aa:800," BAD_PART ":410");
      usleep (PROPAGATION_US);
    }
  cr_expect_leq (count_crashed (&r), MAX_PART_CRASHES, "%d servers crashed",
                 count_crashed (&r));
  for (int i = 0; i < RACK_MANY_NODES; i++)
    {
      cr_expect_eq (request_with_parts (&r, i, "aa:800," BAD_PART ":410"), 503,
                    "node %d", i);
      cr_expect_eq (request_with_parts (&r, i, "aa:800"), 200, "node %d", i);
    }
}

/** Sends requests in turn until the part is blocked. */
static void
block_part (const struct rack *r)
{
  for (int i = 0; i < 8; i++)
    {
      request_with_parts (r, i % RACK_NODES, "aa:800");
      request_with_parts (r, i % RACK_NODES, "aa:800," BAD_PART ":410");
      usleep (PROPAGATION_US);
    }
}

/** Restarts all nodes; they refuse the part without another crash. */
static void
expect_part_refused_after_restart (struct rack *r)
{
  int crashed;

  for (int i = 0; i < RACK_NODES; i++)
    kill_node (r, i);
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (r, i);
  for (int i = 0; i < RACK_NODES; i++)
    cr_assert (
        rack_call_until (r, i, "/stream/x", rack_headers ("usual"), 200));
  crashed = count_crashed (r);
  for (int i = 0; i < RACK_NODES; i++)
    cr_expect_eq (request_with_parts (r, i, BAD_PART ":410"), 503);
  cr_expect_eq (count_crashed (r), crashed);
}

/* Guards against restarted nodes that run requests with a blocked part. */
Test (crash, restarted_nodes_keep_the_block_of_a_part)
{
  struct rack r;

  start_with_crash_part (&r);
  block_part (&r);
  expect_part_refused_after_restart (&r);
}

/* Guards against the block of a part that depends on the store: it is set
   during an outage and has to be stored after it. */
Test (crash, block_of_a_part_survives_store_outage)
{
  struct rack r;

  start_with_crash_part (&r);
  rack_set (&r, "{\"store\": {\"refuse\": true}}");
  block_part (&r);
  rack_set (&r, "{\"store\": {\"refuse\": false}}");
  usleep (4000000);
  expect_part_refused_after_restart (&r);
}

/* Guards against the block of a part that is lost when the store is restored
   from a copy without its key. */
Test (crash, block_of_a_part_survives_store_restore)
{
  struct rack r;
  char key[64];

  start_with_crash_part (&r);
  rack_set (&r, "{\"store\": {\"copy\": true, \"skip\": 1000}}");
  block_part (&r);
  find_blocked_key (&r, key, sizeof key);
  cr_expect_not_null (strstr (key, "part-"), "%s", key);
  rack_set (&r, "{\"store\": {\"restore\": true}}");
  find_blocked_key (&r, key, sizeof key);
  cr_expect_not_null (strstr (key, "part-"), "%s", key);
  expect_part_refused_after_restart (&r);
}
