/*
 * Backend servers that fall silent for a second and go on, while operators
 * store new versions of the configuration, with real processes.
 */
#include <criterion/criterion.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/json.h"
#include "t/lib-kept.h"

TestSuite (silent, .fini = proc_stop_all, .timeout = 120);

#define ENGINES 32
#define DOMAIN_SIZE 4 /* one replica each */
#define EVENTS 100
#define EVENT_MS 20
#define PAUSE_MS 1300
#define PAUSES 3
#define STREAM_CLIENTS 32
#define PLAIN_CLIENTS 4
#define MAX_STREAMS 1000 /* of one client */
#define CLIENTS (STREAM_CLIENTS + PLAIN_CLIENTS)

static struct rack r;
static atomic_bool stopping;

/** Client with one connection that it keeps. */
struct client
{
  pthread_t thread;
  int number;
  bool plain;
  unsigned sent, served, wrong;
  clk_ms gaps[MAX_STREAMS]; /**< of each request: longest time without bytes */
  struct buf unserved;      /**< see kept_record() */
};

static struct client clients[CLIENTS];

static void
call_once (struct client *c, struct web_stream **conn)
{
  struct kept_answer a;
  char id[32], where[32];
  int node = c->number % RACK_NODES;

  snprintf (id, sizeof id, "%c%d-%u", c->plain ? 'f' : 's', c->number,
            c->sent);
  snprintf (where, sizeof where, "node %d", node + 1);
  kept_call (conn, r.front[node], c->plain ? "/safe/x" : "/stream/x",
             rack_headers (id), &a);
  c->sent++;
  kept_record (&c->unserved, id, where, &a);
  if (a.whole && a.status == 200)
    {
      c->served++;
      c->wrong += !c->plain && !rack_is_complete (&a.body, EVENTS);
    }
  c->gaps[(c->sent - 1) % MAX_STREAMS] = a.max_gap;
  kept_free (&a);
}

static void *
run_client (void *arg)
{
  struct client *c = arg;
  struct web_stream *conn = NULL;

  while (!stopping)
    {
      call_once (c, &conn);
      usleep (10000);
    }
  web_close (conn);
  return NULL;
}

/** Server that leads the replica of a domain; 0: none. */
static int
find_leader (int domain)
{
  char id[16];

  for (int i = 1; i <= DOMAIN_SIZE; i++)
    {
      snprintf (id, sizeof id, "e%d", domain * DOMAIN_SIZE + i);
      if (rack_get_count (&r, id, "leads"))
        return domain * DOMAIN_SIZE + i;
    }
  return 0;
}

static void
wait_for_replicas (void)
{
  clk_ms until = clk_now () + PROC_WAIT_MS;

  for (int i = 0; i < ENGINES / DOMAIN_SIZE; i++)
    while (!find_leader (i))
      {
        cr_assert_lt (clk_now (), until, "domain %d has no replica", i + 1);
        usleep (20000);
      }
}

static void
start_rack (void)
{
  rack_start_all (&r, ENGINES);
  rack_set (&r, "{\"events\": %d, \"event_ms\": %d}", EVENTS, EVENT_MS);
  for (int i = 0; i < RACK_NODES; i++)
    cr_assert (rack_call_until (&r, i, "/safe/x", rack_headers ("w"), 200));
  wait_for_replicas ();
}

static void
start_clients (void)
{
  for (int i = 0; i < CLIENTS; i++)
    {
      clients[i]
          = (struct client){ .number = i, .plain = i >= STREAM_CLIENTS };
      pthread_create (&clients[i].thread, NULL, run_client, &clients[i]);
    }
}

/** Ends the clients once their last requests are answered.  New streams may be
    refused while only some replicas respond, plain calls have to be served. */
static void
finish_clients (void)
{
  struct buf unserved = BUF_INIT, lost = BUF_INIT;
  unsigned sent = 0, served = 0, wrong = 0, plain_unserved = 0, nlost;

  stopping = true;
  for (int i = 0; i < CLIENTS; i++)
    {
      struct client *c = &clients[i];
      pthread_join (c->thread, NULL);
      sent += c->sent;
      served += c->served;
      wrong += c->wrong;
      plain_unserved += c->plain ? c->sent - c->served : 0;
      buf_add (&unserved, buf_str (&c->unserved));
      buf_free (&c->unserved);
    }
  nlost = kept_find_lost (&r, &unserved, &lost);
  cr_log_info ("%u requests, %u served, %u lost, %u with wrong events", sent,
               served, nlost, wrong);
  cr_expect_eq (nlost, 0, "%u of %u requests lost:\n%s", nlost, sent,
                buf_c (&lost));
  cr_expect_eq (wrong, 0, "%u streams with wrong events", wrong);
  cr_expect_eq (plain_unserved, 0, "%u plain calls not served:\n%s",
                plain_unserved, buf_c (&unserved));
  buf_free (&unserved);
  buf_free (&lost);
}

static void
pause_servers (int first, int n)
{
  for (int i = first; i < first + n; i++)
    rack_set (&r, "{\"server\": \"e%d\", \"pause_ms\": %d}", i, PAUSE_MS);
}

static void
pause_plain_servers (void)
{
  rack_set (&r, "{\"server\": \"p1\", \"pause_ms\": %d}", PAUSE_MS);
  rack_set (&r, "{\"server\": \"p2\", \"pause_ms\": %d}", PAUSE_MS);
}

/** Stores a version with other times and one more route. */
static void
store_version (int version)
{
  char route[256];

  snprintf (route, sizeof route,
            ",{\"name\": \"n%d\", \"host\": \"h\", \"prefix\": \"/n%d/\","
            " \"kind\": \"idempotent\", \"timeout_ms\": 3000,"
            " \"goal_ms\": 300, \"priority\": 2, \"service\": \"app\","
            " \"max_attempts\": 2}",
            version, version);
  rack_set_times (version % 2 ? 20000 : 15000,
                  version % 3 ? 60000 : 20000 + version);
  rack_configure (&r, version, "k1", route);
}

/** Lets so many servers pause several times while versions are stored. */
static void
pause_beside_versions (int nservers)
{
  int version = 2;

  usleep (600000);
  for (int i = 0; i < PAUSES; i++)
    {
      store_version (version++);
      pause_servers (1 + i * nservers % ENGINES, nservers);
      for (int k = 0; k < 3; k++)
        {
          usleep (PAUSE_MS * 1000 / 3);
          store_version (version++);
        }
      usleep (600000);
    }
}

static void
expect_all_answered (int nservers)
{
  start_rack ();
  start_clients ();
  pause_beside_versions (nservers);
  finish_clients ();
}

/* Guards against streams that are cut off because all servers were silent for
   a second, beside new versions of the configuration. */
Test (silent, streams_survive_a_pause_of_all_servers)
{
  expect_all_answered (ENGINES);
}

/* Guards against streams that are cut off, or sent twice in part, when the
   suspected server and the second one both go on. */
Test (silent, streams_survive_a_pause_of_half_of_the_servers)
{
  expect_all_answered (ENGINES / 2);
}

/* Guards against streams that are cut off because their server is silent and
   the retry budget is spent. */
Test (silent, streams_survive_a_pause_without_retries)
{
  rack_set_retry_budget (0, 0);
  expect_all_answered (ENGINES);
}

/** Longest times without an event of some streams. */
struct gaps
{
  int n;
  clk_ms longest, sum;
};

/** The clients have finished. @param streams  ids of streams */
static struct gaps
find_gaps (struct json_object *streams)
{
  struct gaps g = { 0 };

  for (size_t i = 0; i < json_object_array_length (streams); i++)
    {
      const char *id
          = json_object_get_string (json_object_array_get_idx (streams, i));
      unsigned client, request;
      clk_ms gap;
      if (sscanf (id, "s%u-%u", &client, &request) != 2)
        continue;
      gap = clients[client].gaps[request];
      g.n++;
      g.sum += gap;
      if (gap > g.longest)
        g.longest = gap;
    }
  return g;
}

/** Server with most streams, of those from number @p first on. */
static int
find_busiest (struct json_object *streams, int first)
{
  int busiest = first;
  size_t most = 0;
  char id[16];

  for (int i = first; i <= ENGINES; i++)
    {
      size_t n;
      snprintf (id, sizeof id, "e%d", i);
      n = json_object_array_length (jsn_get (streams, id));
      if (n > most)
        {
          most = n;
          busiest = i;
        }
    }
  return busiest;
}

/* Guards against streams of a lost server that wait for a paused one to go on,
   instead of being resumed at one that responds. */
Test (silent, streams_of_a_lost_server_are_resumed_beside_paused_ones)
{
  struct web_answer a = { 0 };
  struct json_object *o;
  struct gaps g;
  char id[16];

  start_rack ();
  start_clients ();
  usleep (700000);
  web_call (r.platform_addr, "GET", "/control/streams", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  snprintf (id, sizeof id, "e%d", find_busiest (o, ENGINES / 4 + 1));
  rack_set (&r, "{\"server\": \"%s\", \"dark\": true}", id);
  pause_servers (1, ENGINES / 4);
  store_version (2);
  usleep (2500000);
  finish_clients ();
  g = find_gaps (jsn_get (o, id));
  cr_log_info (
      "%d streams of the lost server, gaps of %lld ms on average, %lld"
      " at most",
      g.n, (long long)g.sum / (g.n ? g.n : 1), (long long)g.longest);
  cr_expect_gt (g.n, 0);
  cr_expect_lt (g.longest, PAUSE_MS);
  json_object_put (o);
  web_free (&a);
}

/* Guards against idempotent calls that end without a response because their
   servers are silent for longer than the latency goal and the retry budget is
   spent. */
Test (silent, idempotent_calls_survive_a_pause)
{
  rack_set_retry_budget (0, 0);
  start_rack ();
  start_clients ();
  for (int i = 0; i < PAUSES; i++)
    {
      usleep (500000);
      pause_plain_servers ();
      usleep ((PAUSE_MS + 500) * 1000);
    }
  finish_clients ();
}
