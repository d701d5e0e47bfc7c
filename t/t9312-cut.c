/*
 * A node that is partitioned from all backend servers, while clients, the
 * store and the other nodes still reach it, with real processes.
 */
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (cut, .fini = proc_stop_all, .timeout = 120);

#define MIN_NODES 3
/** Time for a node to find out that it is cut off. */
#define CONTACT_MS ((clk_ms)3000)
#define MEASURED_MS ((clk_ms)3000)
/** Smallest part of what the other nodes serve that the cut one serves. */
#define MIN_SHARE (2.0 / 3)

static struct rack r;
static int leader, cut_node;

static void
start_nodes (void)
{
  int nodes = rack_prepare_cut (&r, 8, MIN_NODES, &leader);

  cut_node = nodes - 1;
  rack_configure (&r, 1, "k1", "");
  for (int i = 0; i < nodes; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < nodes; i++)
    {
      cr_assert (rack_call_until (&r, i, "/stream/x", rack_headers (""), 200));
      cr_assert (rack_call_until (&r, i, "/once/x", rack_headers (""), 200));
    }
}

#define CLIENTS 4

/** Requests of one client to one node. */
struct client
{
  pthread_t thread;
  int node, number;
  clk_ms end;
  int sent, served;
};

static bool
call_node (int node, int client, int request)
{
  static const char *const paths[] = { "/safe/x", "/once/x" };
  struct buf body = BUF_INIT;
  bool served;
  char id[32];

  snprintf (id, sizeof id, "%c%d-%d-%d", "sot"[request % 3], node, client,
            request);
  if (request % 3 == 2)
    served = rack_stream (&r, node, id, &body) == 200
             && rack_is_complete (&body, 10);
  else
    served = rack_call (&r, node, paths[request % 3], id, NULL, &body) == 200
             && strstr (buf_c (&body), "\"account\":\"acc\",\"key\":\"\"");
  buf_free (&body);
  return served;
}

static void *
run_client (void *arg)
{
  struct client *c = arg;
  static atomic_int nrequests;

  for (; clk_now () < c->end; usleep (5000))
    {
      c->served += call_node (c->node, c->number, ++nrequests);
      c->sent++;
    }
  return NULL;
}

/** Outcome of requests at one node. */
struct outcome
{
  int sent, served;
};

/** Calls the leader and the cut node at the same time. */
static void
call_nodes (clk_ms ms, struct outcome *other, struct outcome *cut)
{
  struct client clients[2 * CLIENTS] = { 0 };

  for (int i = 0; i < 2 * CLIENTS; i++)
    {
      clients[i].node = i % 2 ? cut_node : leader;
      clients[i].number = i;
      clients[i].end = clk_now () + ms;
      pthread_create (&clients[i].thread, NULL, run_client, &clients[i]);
    }
  for (int i = 0; i < 2 * CLIENTS; i++)
    {
      struct outcome *out = i % 2 ? cut : other;
      pthread_join (clients[i].thread, NULL);
      out->sent += clients[i].sent;
      out->served += clients[i].served;
    }
}

/** Non-idempotent requests have ids that begin with "o". */
static void
expect_none_repeated (void)
{
  struct web_answer a = { 0 };

  web_call (r.platform_addr, "GET", "/control/counts", NULL, NULL, &a);
  cr_expect_null (strstr (strstr (buf_c (&a.body), "\"repeated\""), "\"o"),
                  "a non-idempotent request was executed twice");
  web_free (&a);
}

static void
expect_served_while_cut (const char *how)
{
  struct outcome other = { 0 }, cut = { 0 }, ignored = { 0 };

  rack_set (&r, "{\"cut\": \"%s\"}", how);
  call_nodes (CONTACT_MS, &ignored, &ignored);
  call_nodes (MEASURED_MS, &other, &cut);
  rack_set (&r, "{\"cut\": \"none\"}");
  cr_log_info ("%s: served %d of %d at the cut node, %d of %d at another", how,
               cut.served, cut.sent, other.served, other.sent);
  cr_expect_geq ((double)cut.served * other.sent,
                 MIN_SHARE * other.served * cut.sent,
                 "%s: served %d of %d, at another node %d of %d", how,
                 cut.served, cut.sent, other.served, other.sent);
  cr_expect_geq ((double)other.served, 0.95 * other.sent);
  cr_expect (rack_call_until (&r, cut_node, "/once/x", rack_headers (""), 200),
             "%s: not served after the partition", how);
}

/* Guards against a node that refuses its clients because it reaches no backend
   server, though other nodes do: servers are silent, connections are refused
   while open ones live on, or all are reset. */
Test (cut, clients_of_a_node_without_servers_are_served)
{
  start_nodes ();
  rack_set (&r, "{\"event_ms\": 5}");
  expect_served_while_cut ("silent");
  expect_served_while_cut ("refuse");
  expect_served_while_cut ("reset");
  expect_none_repeated ();
}

/* --- streams that are open when the paths are lost ------------------------
 */

/** Streams of the cut node, and of all others together. */
#define STREAMS 6
#define STREAM_EVENTS 200
#define STREAM_EVENT_MS 20
/** Time from the start of the streams to the cut. */
#define STREAMS_BEGUN_US 800000
/** Longest pause that the clients of the streams may see. */
#define MAX_PAUSE_MS ((clk_ms)1000)

struct stream_client
{
  pthread_t thread;
  int node, number;
  bool complete;
  clk_ms pause_ms; /**< longest time between two reads with data */
};

static void *
read_stream (void *ctx)
{
  struct stream_client *c = ctx;
  struct buf body = BUF_INIT;
  enum web_read got = WEB_BROKEN;
  struct web_stream *s;
  clk_ms last;
  char id[32];

  snprintf (id, sizeof id, "open%d-%d", c->node, c->number);
  s = web_open (r.front[c->node], "POST", "/stream/x", rack_headers (id), id);
  if (s && web_status (s, PROC_WAIT_MS) == 200)
    {
      last = clk_now ();
      do
        {
          got = web_read (s, &body, PROC_WAIT_MS);
          c->pause_ms = clk_now () - last > c->pause_ms ? clk_now () - last
                                                        : c->pause_ms;
          last = clk_now ();
        }
      while (got == WEB_BYTES);
    }
  c->complete = got == WEB_WHOLE && rack_is_complete (&body, STREAM_EVENTS);
  if (s)
    web_close (s);
  buf_free (&body);
  return NULL;
}

/** Streams of the cut node and of all others are open at the same servers when
    the cut begins. */
static void
expect_streams_go_on (const char *how)
{
  struct stream_client clients[2 * STREAMS] = { 0 };

  rack_set (&r, "{\"events\": %d, \"event_ms\": %d}", STREAM_EVENTS,
            STREAM_EVENT_MS);
  for (int i = 0; i < 2 * STREAMS; i++)
    {
      clients[i].node = i % 2 ? cut_node : i / 2 % cut_node;
      clients[i].number = i;
      pthread_create (&clients[i].thread, NULL, read_stream, &clients[i]);
    }
  usleep (STREAMS_BEGUN_US);
  rack_set (&r, "{\"cut\": \"%s\"}", how);
  for (int i = 0; i < 2 * STREAMS; i++)
    pthread_join (clients[i].thread, NULL);
  rack_set (&r, "{\"cut\": \"none\"}");
  for (int i = 0; i < 2 * STREAMS; i++)
    {
      cr_log_info ("%s: node %d, stream %d: longest pause %lld ms", how,
                   clients[i].node + 1, i, (long long)clients[i].pause_ms);
      cr_expect (clients[i].complete, "%s: stream %d of node %d is incomplete",
                 how, i, clients[i].node + 1);
      cr_expect_leq (clients[i].pause_ms, MAX_PAUSE_MS,
                     "%s: stream %d of node %d paused for %lld ms", how, i,
                     clients[i].node + 1, (long long)clients[i].pause_ms);
    }
}

/* Guards against streams that end, or stand still until their deadline, at a
   node whose connections are reset: they have to go on through another node.
 */
Test (cut, open_streams_go_on_after_a_reset)
{
  start_nodes ();
  expect_streams_go_on ("reset");
}
