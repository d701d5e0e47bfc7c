/*
 * Soak of backend servers that fall silent for about a second and go on,
 * beside series of configuration changes, SIGHUP, restarts and killed nodes.
 * Clients keep their connections.  Responses are checked against what the
 * servers ran and ended. SOAK_SEED and SOAK_SECONDS select another run,
 * SOAK_NODES and SOAK_SERVERS its size; tools/soak.sh runs many seeds.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "t/lib-kept.h"
#include "t/lib-soak.h"

/** Default seed and duration, for CI. */
#define SEED 1
#define SECONDS 5
#define NODES 3
#define SERVERS 16
#define MAX_NODES 10
#define PLAIN_SERVERS 2
#define EVENTS 40
#define EVENT_MS 20
#define CLIENTS_PER_NODE 8
/** Time limits of routes; that of streams changes between the two. */
#define MIN_STREAM_MS 9000
#define MAX_STREAM_MS 20000
#define SAFE_MS 3000
#define ONCE_MS 1500
/** A response this close to the time limit had passed its time. */
#define LIMIT_SLACK_MS ((clk_ms)100)

TestSuite (soak_silent, .fini = proc_stop_all, .timeout = 900);

struct silent_run
{
  struct soak s;
  int servers; /**< that run models */
  int version;
  clk_ms killed_at[MAX_NODES]; /**< last SIGKILL of the node; 0: none */
  unsigned requests, served, excused, pauses;
  unsigned unanswered; /**< also those sent to a node that was stopped */
  struct buf unserved; /**< see kept_record() */
};

/* --- clients ----------------------------------------------------------- */

struct silent_client
{
  struct silent_run *run;
  int node;
  struct web_stream *conn;
};

struct request_kind
{
  char letter;
  const char *path;
  clk_ms limit_ms;
};

static const struct request_kind kinds[]
    = { { 's', "/stream/x", MIN_STREAM_MS },
        { 's', "/stream/y", MIN_STREAM_MS },
        { 'f', "/safe/x", SAFE_MS },
        { 'o', "/once/x", ONCE_MS } };

/** Whether the request may end without a complete response: it had passed its
    time, or its node was killed. */
static bool
is_excused (const struct silent_run *run, int node,
            const struct request_kind *kind, const struct kept_answer *a)
{
  return a->ended_at - a->sent_at >= kind->limit_ms - LIMIT_SLACK_MS
         || run->killed_at[node] >= a->sent_at;
}

static void
check_answer (struct silent_client *c, const struct request_kind *kind,
              const char *id, struct kept_answer *a)
{
  struct silent_run *run = c->run;
  char where[96];
  bool ok = a->whole && a->status == 200;

  pthread_mutex_lock (&run->s.lock);
  run->requests++;
  run->served += ok;
  run->unanswered += a->status == 0;
  snprintf (where, sizeof where, "node-%d at %lld ms", c->node + 1,
            (long long)(a->sent_at - run->s.started_at));
  if (ok && kind->letter == 's' && !rack_is_complete (&a->body, EVENTS))
    {
      snprintf (where, sizeof where, "%s: complete, but with wrong events",
                id);
      soak_add_violation (&run->s, where);
    }
  else if (!ok && is_excused (run, c->node, kind, a))
    run->excused++;
  else
    kept_record (&run->unserved, id, where, a);
  pthread_mutex_unlock (&run->s.lock);
}

static void
send_request (struct soak_thread *t)
{
  struct silent_client *c = t->ctx;
  const struct request_kind *kind = &kinds[rng_below (&t->rng, 4)];
  struct kept_answer a;
  char id[32];

  snprintf (id, sizeof id, "%c%u-%u", kind->letter, t->number, t->steps);
  kept_call (&c->conn, c->run->s.r.front[c->node], kind->path,
             rack_headers (id), &a);
  check_answer (c, kind, id, &a);
  usleep (a.whole && a.status == 200 ? 5000 : 100000);
  kept_free (&a);
}

/* --- disturbances ------------------------------------------------------ */

static void
pause_server (struct silent_run *run, char kind, int number, clk_ms ms)
{
  rack_set (&run->s.r, "{\"server\": \"%c%d\", \"pause_ms\": %d}", kind,
            number, (int)ms);
}

/** Pauses one server, about half of them or all; at times again before they
    went on. */
static void
pause_servers (struct soak_thread *t)
{
  struct silent_run *run = t->ctx;
  clk_ms ms = 500 + (clk_ms)rng_below (&t->rng, 900);
  uint64_t one_in = 1 + rng_below (&t->rng, 2);

  if (rng_below (&t->rng, 3) == 0)
    pause_server (run, 'e',
                  1 + (int)rng_below (&t->rng, (uint64_t)run->servers), ms);
  else
    for (int i = 1; i <= run->servers; i++)
      if (rng_below (&t->rng, one_in) == 0)
        pause_server (run, 'e', i, ms);
  if (rng_below (&t->rng, 3) == 0)
    for (int i = 1; i <= PLAIN_SERVERS; i++)
      pause_server (run, 'p', i, ms);
  run->pauses++;
  usleep ((useconds_t)ms * 800);
  soak_random_sleep (&t->rng, 2000);
}

/** Stores up to four versions one after the other. */
static void
store_versions (struct soak_thread *t)
{
  struct silent_run *run = t->ctx;

  for (int n = 1 + (int)rng_below (&t->rng, 4); n > 0; n--)
    {
      char route[256];
      int version = ++run->version;
      snprintf (route, sizeof route,
                ",{\"name\": \"n%d\", \"host\": \"h\", \"prefix\":"
                " \"/n%d/\", \"kind\": \"idempotent\", \"timeout_ms\": %d,"
                " \"goal_ms\": 300, \"priority\": 2, \"service\": \"app\","
                " \"max_attempts\": 2}",
                version, version, SAFE_MS);
      rack_set_times (rng_below (&t->rng, 2) ? MIN_STREAM_MS : MAX_STREAM_MS,
                      5000 + (int)rng_below (&t->rng, 60000));
      rack_configure (&run->s.r, version, "k1", route);
      soak_random_sleep (&t->rng, 400);
    }
  soak_random_sleep (&t->rng, 2000);
}

static void
kill_node (struct silent_run *run, int node)
{
  pthread_mutex_lock (&run->s.lock);
  run->killed_at[node] = CLK_NEVER;
  pthread_mutex_unlock (&run->s.lock);
  soak_signal_exit (&run->s, &node, 1, SIGKILL);
  soak_restart (&run->s, &node, 1);
  pthread_mutex_lock (&run->s.lock);
  run->killed_at[node] = clk_now ();
  pthread_mutex_unlock (&run->s.lock);
}

/** Kills or reloads a node other than @p except. */
static void
disturb_running_node (struct soak_thread *t, int except)
{
  struct silent_run *run = t->ctx;
  int node = (int)rng_below (&t->rng, (uint64_t)run->s.nodes);

  if (rng_below (&t->rng, 4) == 0)
    node = rack_leader (run->s.nodes);
  if (node == except)
    return;
  if (rng_below (&t->rng, 2))
    kill_node (run, node);
  else
    soak_signal (&run->s, &node, 1, SIGHUP);
}

/** Stops a node, which takes up to grace_s, and disturbs others meanwhile. */
static void
stop_node (struct soak_thread *t, int node)
{
  struct silent_run *run = t->ctx;

  soak_signal_exit (&run->s, &node, 1, SIGTERM);
  for (int i = 0; i < 3; i++)
    {
      soak_random_sleep (&t->rng, 1500);
      disturb_running_node (t, node);
    }
  soak_restart (&run->s, &node, 1);
}

static void
disturb_node (struct soak_thread *t)
{
  struct silent_run *run = t->ctx;

  if (rng_below (&t->rng, 4) == 0)
    stop_node (t, (int)rng_below (&t->rng, (uint64_t)run->s.nodes));
  else
    disturb_running_node (t, -1);
  soak_random_sleep (&t->rng, 1500);
}

/* --- run --------------------------------------------------------------- */

/** Threads of a run; the clients follow. */
enum
{
  NODE_SERIES, /* in the test's own thread */
  PAUSE_SERIES,
  OPERATOR,
  FIRST_CLIENT
};

static void
start_nodes (struct silent_run *run)
{
  struct soak *s = &run->s;

  rack_prepare_nodes (&s->r, run->servers, s->nodes, NULL);
  s->r.logs = getenv ("SOAK_LOGS");
  rack_configure (&s->r, run->version = 1, "k1", "");
  for (int i = 0; i < s->nodes; i++)
    rack_start_node (&s->r, i);
  for (int i = 0; i < s->nodes; i++)
    {
      cr_assert (
          rack_call_until (&s->r, i, "/stream/x", rack_headers ("w"), 200));
      cr_assert (
          rack_call_until (&s->r, i, "/once/x", rack_headers ("w"), 200));
    }
  rack_set (&s->r, "{\"events\": %d, \"event_ms\": %d}", EVENTS, EVENT_MS);
}

static void
finish (struct silent_run *run)
{
  struct soak *s = &run->s;
  struct buf lost = BUF_INIT;
  unsigned nlost = kept_find_lost (&s->r, &run->unserved, &lost), answered;

  for (int i = 0; i < s->nodes; i++)
    cr_expect (
        rack_call_until (&s->r, i, "/stream/x", rack_headers ("end"), 200),
        "node %d serves no stream after the pauses", i + 1);
  cr_log_info ("seed %llu: %u pauses, %d versions, %u disturbances of"
               " nodes; %u of %u served, %u not answered, %u excused, %u lost",
               (unsigned long long)s->seed, run->pauses, run->version,
               s->disturbances, run->served, run->requests, run->unanswered,
               run->excused, nlost);
  cr_expect_eq (nlost, 0, "seed %llu, %u lost:\n%s",
                (unsigned long long)s->seed, nlost, buf_c (&lost));
  answered = run->requests - run->unanswered;
  cr_expect_gt (run->served, answered / 10, "served %u of %u answered",
                run->served, answered);
  buf_free (&lost);
  buf_free (&run->unserved);
  soak_finish (s);
}

static void
run_silent_servers (uint64_t seed, uint64_t seconds, int nodes, int servers)
{
  static struct silent_run run;
  static struct silent_client clients[MAX_NODES * CLIENTS_PER_NODE];
  struct soak_thread threads[SOAK_THREADS]
      = { { .number = NODE_SERIES, .step = disturb_node, .ctx = &run },
          { .number = PAUSE_SERIES, .step = pause_servers, .ctx = &run },
          { .number = OPERATOR, .step = store_versions, .ctx = &run } };
  unsigned n = (unsigned)nodes * CLIENTS_PER_NODE;

  cr_assert_leq (nodes, MAX_NODES);
  run.servers = servers;
  soak_init (&run.s, seed, nodes);
  start_nodes (&run);
  for (unsigned i = 0; i < n; i++)
    {
      clients[i]
          = (struct silent_client){ .run = &run, .node = (int)i % nodes };
      threads[FIRST_CLIENT + i] = (struct soak_thread){
        .number = FIRST_CLIENT + i, .step = send_request, .ctx = &clients[i]
      };
    }
  soak_run (&run.s, threads, FIRST_CLIENT + n, NODE_SERIES, seconds);
  for (unsigned i = 0; i < n; i++)
    web_close (clients[i].conn);
  finish (&run);
}

/* Guards against requests that end without a complete response because their
   servers were silent for a second, beside new versions of the configuration,
   SIGHUP, and nodes that stop or are killed. */
Test (soak_silent, requests_survive_silent_servers)
{
  run_silent_servers (soak_env_number ("SOAK_SEED", SEED),
                      soak_env_number ("SOAK_SECONDS", SECONDS),
                      (int)soak_env_number ("SOAK_NODES", NODES),
                      (int)soak_env_number ("SOAK_SERVERS", SERVERS));
}
