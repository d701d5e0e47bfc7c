/*
 * The observed mix of models in the store, with real processes: two domains of
 * four servers, a model "big" of two VMs and a model "small" of one.
 */
#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-rack.h"

TestSuite (mix, .fini = proc_stop_all, .timeout = 150);

#define ENGINES 8
#define CALLERS 4
#define STREAM_MS 20000
#define POLL_MS 500

static void
configure (const struct rack *r)
{
  rack_set (r,
            "{\"event_ms\": 20, \"events\": 2, \"config\": "
            "{\"version\": 1, \"routes\": ["
            "{\"name\": \"s\", \"host\": \"h\", \"prefix\": \"/stream/\","
            " \"kind\": \"streaming\", \"timeout_ms\": 40000,"
            " \"goal_ms\": 1000, \"gap_goal_ms\": 500, \"priority\": 1,"
            " \"service\": \"lm\", \"max_attempts\": 3,"
            " \"resumable\": true}],"
            "\"services\": [{\"name\": \"lm\", \"health_path\": \"/h\","
            " \"engine\": {\"capacity\": 2, \"loads_per_s\": 10,"
            " \"keeps\": 1, \"models\": ["
            "{\"name\": \"big\", \"size\": 2, \"share\": 0.5, \"pace\": 1,"
            " \"load_s\": 0.4, \"warm_s\": 0.1},"
            "{\"name\": \"small\", \"size\": 1, \"share\": 0.5, \"pace\": 1,"
            " \"load_s\": 0.4, \"warm_s\": 0.1}]}}],"
            "\"limits\": {\"max_body_bytes\": 10000},"
            "\"tenants\": [{\"name\": \"acc\", \"api_keys\": [\"k1\"]}]}}");
}

struct caller
{
  const struct rack *r;
  pthread_t thread;
  int number;
};

static const char *
small_headers (int number)
{
  static _Thread_local char text[256];

  snprintf (text, sizeof text,
            "Host: h\r\nX-Lapisline-Request-Id: c%d\r\n"
            "X-Lapisline-Model: small\r\nX-Api-Key: k1\r\n",
            number);
  return text;
}

/** Holds a stream of the small model open for STREAM_MS. */
static void *
call_stream (void *ctx)
{
  const struct caller *c = ctx;

  rack_call (c->r, c->number % RACK_NODES, "/stream/x", "",
             small_headers (c->number), NULL);
  return NULL;
}

static bool
any_node_logs (const struct rack *r, const char *text)
{
  for (int i = 0; i < RACK_NODES; i++)
    {
      struct str out = proc_output (r->node[i]);
      if (out.len && memmem (out.ptr, out.len, text, strlen (text)))
        return true;
    }
  return false;
}

static void
stop_nodes (const struct rack *r)
{
  for (int i = 0; i < RACK_NODES; i++)
    {
      proc_signal (r->node[i], SIGKILL);
      proc_wait (r->node[i], PROC_WAIT_MS);
    }
}

/*
 * Only the small model has requests.  The leader writes the mix; after all
 * nodes and servers have started again, the replicas are formed by it before
 * the first request.
 */
Test (mix, a_system_starts_with_the_mix_observed_before)
{
  struct caller callers[CALLERS];
  struct rack r;
  bool planned = false;

  rack_start_platform (&r, ENGINES);
  configure (&r);
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < RACK_NODES; i++)
    cr_assert (
        rack_call_until (&r, i, "/stream/x", small_headers (100 + i), 200));
  rack_set (&r, "{\"event_ms\": 200, \"events\": %d}", STREAM_MS / 200);
  for (int i = 0; i < CALLERS; i++)
    {
      callers[i] = (struct caller){ .r = &r, .number = i };
      pthread_create (&callers[i].thread, NULL, call_stream, &callers[i]);
    }
  for (int i = 0; i < CALLERS; i++)
    pthread_join (callers[i].thread, NULL);
  cr_assert (rack_wait_for_counts (&r, "\\\"small\\\":"));
  stop_nodes (&r);
  for (int i = 1; i <= ENGINES; i++)
    rack_set (&r, "{\"server\": \"e%d\", \"reborn\": true}", i);
  for (int i = 0; i < RACK_NODES; i++)
    rack_start_node (&r, i);
  for (int i = 0; i < 40 && !planned; i++)
    planned = web_poll_until (
        r.ready[i % RACK_NODES], "/metrics", NULL,
        "plan_by_demand{service=\"lm\",model=\"small\"} 1", POLL_MS);
  cr_expect (planned, "the plan is not by demand");
  stop_nodes (&r);
  cr_expect (any_node_logs (&r, "stored_mix"), "the stored mix was not used");
}
