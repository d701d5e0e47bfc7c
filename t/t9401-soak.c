/*
 * Soak of nodes with the stand-in for the users' platform. Clients send
 * requests all the time while processes, the store and backend servers fail in
 * overlapping series. Responses are checked as they arrive; the requests that
 * ran are checked at the end.
 * SOAK_SEED and SOAK_SECONDS select another run; tools/soak.sh runs many
 * seeds.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/json.h"
#include "t/lib-relay.h"
#include "t/lib-soak.h"

#define CLIENTS 4
#define EVENTS 20
#define ENGINES 8
#define PLAIN_SERVERS 2
#define FAULT_SERIES 6
#define RESTORE_NODES 3 /* of the soak of restores */
/** Further clients, which only call the plain service: with them each node
    sends several requests to each server in a pause. */
#define PLAIN_CLIENTS 4
/** Maximum of requests that a node may send to a server in a pause. */
#define MAX_IN_PAUSE 2
/** Default seeds and duration, for CI. */
#define SEED 1
#define SECONDS 8
/** Seed of a run that cuts a stream right after its last event. The resumed
   stream has no further events and has to end as complete. */
#define SEED_CUT_AT_THE_END 314
#define SECONDS_CUT_AT_THE_END 10

TestSuite (soak, .fini = proc_stop_all, .timeout = 900);

/** A run of few nodes under load. */
struct load_run
{
  struct soak s;
  unsigned requests, served;
  /* With a node that is partitioned from the servers: */
  int cut_node;
  clk_ms cut_since; /**< 0: it reaches them */
  /** requests later than CONTACT_MS after the cut, at the other nodes and at
      this one */
  unsigned cut_sent[2], cut_served[2];
  struct buf refused; /* ids refused as "not run", one per line */
};

/** Time in which a node finds out that it is partitioned. */
#define CONTACT_MS ((clk_ms)3000)

/* --- clients ----------------------------------------------------------- */

/** Counts the events; @p ok: each one from 1 on occurs once and in order. */
static int
count_events (struct str body, bool *ok)
{
  int n = 0;
  char text[48];

  *ok = true;
  while (body.len > 0)
    {
      int len = snprintf (text, sizeof text, "id: %d\ndata: w%d\n\n", n + 1,
                          n + 1);
      if (!str_starts (body, str_make (text, (size_t)len)))
        {
          *ok = false;
          return n;
        }
      body = str_skip (body, (size_t)len);
      n++;
    }
  return n;
}

/** Step of a thread that injects faults. */
typedef void fault_series (struct soak_thread *t);

static void
record_refused (struct load_run *run, const char *id)
{
  pthread_mutex_lock (&run->s.lock);
  buf_addf (&run->refused, "%s\n", id);
  pthread_mutex_unlock (&run->s.lock);
}

static void
check_answer (struct load_run *run, const char *id, bool stream,
              const struct web_answer *a)
{
  struct soak *s = &run->s;
  bool ok;
  int n;

  if (a->status == 401 || a->status == 404)
    soak_report_violation (s, "%s: denied with %d", id, a->status);
  if (a->status == 503 && a->whole)
    record_refused (run, id);
  if (a->status != 200)
    return;
  if (!stream)
    {
      if (a->whole && !strstr (a->body.ptr ? a->body.ptr : "", "\"acc\""))
        soak_report_violation (s, "%s: incomplete response body", id);
      return;
    }
  n = count_events (buf_str (&a->body), &ok);
  if (!ok && a->whole)
    soak_report_violation (s, "%s: wrong bytes after event %d", id, n);
  else if (a->whole && n != EVENTS)
    soak_report_violation (s, "%s: marked complete after event %d", id, n);
}

/** Counts a request that was sent while the cut node had been partitioned from
    the servers for CONTACT_MS, and still is. */
static void
count_while_cut (struct load_run *run, int node, clk_ms sent_at, bool served)
{
  int at_cut_node = node == run->cut_node;

  if (!run->cut_since || sent_at - run->cut_since < CONTACT_MS)
    return;
  run->cut_sent[at_cut_node]++;
  run->cut_served[at_cut_node] += served;
}

static void
send (struct soak_thread *t, bool stream)
{
  struct load_run *run = t->ctx;
  clk_ms sent_at = clk_now ();
  struct soak *s = t->s;
  struct web_answer a = { 0 };
  int node = (int)rng_below (&t->rng, (uint64_t)s->nodes);
  char id[32], headers[256];

  snprintf (id, sizeof id, "%d/%s-%u-%u", node + 1, stream ? "s" : "o",
            t->number, t->steps);
  snprintf (headers, sizeof headers,
            "Host: h\r\nX-Lapisline-Request-Id: %s\r\n"
            "X-Lapisline-Model: big\r\nX-Api-Key: k1\r\n"
            "X-Lapisline-Prompt-Prefix: aa:800,c%u:90,f%u:9\r\n",
            id, t->steps % 5, t->steps);
  web_call (s->r.front[node], "POST", stream ? "/stream/x" : "/once/x",
            headers, "hello", &a);
  buf_c (&a.body);
  check_answer (run, id, stream, &a);
  pthread_mutex_lock (&s->lock);
  run->requests++;
  run->served += a.status == 200 && a.whole;
  count_while_cut (run, node, sent_at, a.status == 200 && a.whole);
  pthread_mutex_unlock (&s->lock);
  if (a.status != 200)
    usleep (20000);
  web_free (&a);
}

static void
send_request (struct soak_thread *t)
{
  send (t, rng_below (&t->rng, 2));
}

static void
call_service (struct soak_thread *t)
{
  send (t, false);
  usleep (10000);
}

/* --- faults ------------------------------------------------------------ */

/** Maximum time between two faults of a series. */
#define FAULT_INTERVAL_MS 800

static void
fail_node (struct soak_thread *t)
{
  struct soak *s = t->s;
  int node = (int)rng_below (&t->rng, (uint64_t)s->nodes);
  uint64_t kind = rng_below (&t->rng, 4);

  if (kind < 2)
    {
      soak_signal_exit (s, &node, 1, kind ? SIGTERM : SIGKILL);
      soak_restart (s, &node, 1);
    }
  else if (kind == 2)
    soak_pause (s, &node, 1,
                100 + (clk_ms)rng_below (&t->rng, 1500000) / 1000);
  else
    soak_signal (s, &node, 1, SIGHUP);
  soak_random_sleep (&t->rng, FAULT_INTERVAL_MS);
}

static void
fail_store (struct soak_thread *t)
{
  soak_inject_store_fault (t->s, &t->rng, SOAK_STORE_FAULTS);
  soak_random_sleep (&t->rng, FAULT_INTERVAL_MS);
}

static void
fail_server (struct soak_thread *t)
{
  struct soak *s = t->s;
  static const char *const faults[]
      = { "\"dark\": true", "\"unlisted\": true", "\"draining\": true",
          "\"cut_after\": 5" };
  bool engine = rng_below (&t->rng, 3) > 0;
  char id[16];

  snprintf (id, sizeof id, "%c%d", engine ? 'e' : 'p',
            1 + (int)rng_below (&t->rng, engine ? ENGINES : PLAIN_SERVERS));
  rack_set (&s->r, "{\"server\": \"%s\", %s}", id,
            faults[rng_below (&t->rng, 4)]);
  usleep ((useconds_t)rng_below (&t->rng, 2500000));
  rack_set (&s->r,
            "{\"server\": \"%s\", \"dark\": false, \"unlisted\": false,"
            " \"draining\": false}",
            id);
  soak_random_sleep (&t->rng, FAULT_INTERVAL_MS);
}

static unsigned
count_disturbances (struct soak *s)
{
  unsigned n;

  pthread_mutex_lock (&s->lock);
  n = s->disturbances;
  pthread_mutex_unlock (&s->lock);
  return n;
}

/** Sets the rate limit of a server for a while and checks it, unless a node
   was disturbed meanwhile and had to receive the limit again. */
static void
limit_server (struct soak_thread *t)
{
  struct soak *s = t->s;
  static const double rates[] = { 0, 0.5, 2, 6 };
  double rate = rates[rng_below (&t->rng, 4)];
  unsigned before = count_disturbances (s);
  bool engine = rng_below (&t->rng, 2);
  char id[16];
  int max;

  snprintf (id, sizeof id, "%c%d", engine ? 'e' : 'p',
            1 + (int)rng_below (&t->rng, engine ? ENGINES : PLAIN_SERVERS));
  rack_set (&s->r, "{\"server\": \"%s\", \"limit\": \"%g\"}", id, rate);
  usleep (500000 + (useconds_t)rng_below (&t->rng, 4000000));
  max = rack_get_count (&s->r, id, "limited_most");
  if (count_disturbances (s) == before && max > (int)(1.5 * rate * 4) + 5)
    soak_report_violation (s, "%s: over its limit, %d requests in 4 s", id,
                           max);
  rack_set (&s->r, "{\"server\": \"%s\", \"limit\": \"\"}", id);
  soak_random_sleep (&t->rng, FAULT_INTERVAL_MS);
}

/** Checks what reached a server in its pauses and after its announcement. */
static void
check_announcements (struct soak *s, const char *id)
{
  int in_pause = rack_get_count (&s->r, id, "pause_most");
  int late = rack_get_count (&s->r, id, "late_leaving");

  if (in_pause > MAX_IN_PAUSE)
    soak_report_violation (s, "%s: %d requests of a node in a pause", id,
                           in_pause);
  if (late > 0)
    soak_report_violation (s, "%s: %d requests after it was leaving", id,
                           late);
}

/** A server rejects requests and asks for pauses, or announces its shutdown
    and restarts. */
static void
announce (struct soak_thread *t)
{
  struct soak *s = t->s;
  static const char *const pauses[] = { "0.8", "1.5", "3" };
  bool engine = rng_below (&t->rng, 2), leaves = rng_below (&t->rng, 3) == 0;
  char id[16];

  snprintf (id, sizeof id, "%c%d", engine ? 'e' : 'p',
            1 + (int)rng_below (&t->rng, engine ? ENGINES : PLAIN_SERVERS));
  if (leaves)
    rack_set (&s->r, "{\"server\": \"%s\", \"leaving\": true}", id);
  else
    rack_set (&s->r,
              "{\"server\": \"%s\", \"rejects\": true,"
              " \"retry_after\": \"%s\"}",
              id, pauses[rng_below (&t->rng, 3)]);
  soak_random_sleep (&t->rng, 4000);
  check_announcements (s, id);
  rack_set (&s->r,
            "{\"server\": \"%s\", \"rejects\": false,"
            " \"retry_after\": \"\", \"reborn\": %s}",
            id, leaves ? "true" : "false");
  soak_random_sleep (&t->rng, FAULT_INTERVAL_MS);
}

/** Restores the store from a copy that is up to 3 s old. */
static void
restore_store (struct soak_thread *t)
{
  rack_set (&t->s->r, "{\"store\": {\"copy\": true}}");
  soak_random_sleep (&t->rng, 3000);
  rack_set (&t->s->r, "{\"store\": {\"restore\": true}}");
  soak_random_sleep (&t->rng, 3000);
}

/* --- restores, and what comes beside them -------------------------------- */

/** Before the last node's connections to the store. */
static struct relay *tcp_proxy;

static const char *
connect_by_proxy (const char *at)
{
  tcp_proxy = relay_new (at, at);
  return relay_addr (tcp_proxy, 0);
}

/** The backend servers rewrite their entries some time later. */
static void
restore_once (struct soak_thread *t)
{
  rack_set (&t->s->r,
            "{\"store\": {\"refuse\": false, \"restore\": true,"
            " \"rewrite_ms\": %d, \"keep_leases\": %s}}",
            (int)rng_below (&t->rng, 2000),
            rng_below (&t->rng, 2) ? "true" : "false");
}

/** Restores the store, often after an outage, and at times once more while
    what the first restore lost is still being written again. */
static void
restore_repeatedly (struct soak_thread *t)
{
  rack_set (&t->s->r, "{\"store\": {\"copy\": true}}");
  soak_random_sleep (&t->rng, 3000);
  if (rng_below (&t->rng, 3))
    {
      rack_set (&t->s->r, "{\"store\": {\"refuse\": true}}");
      soak_random_sleep (&t->rng, 1500);
    }
  restore_once (t);
  if (rng_below (&t->rng, 3) == 0)
    {
      soak_random_sleep (&t->rng, 500);
      restore_once (t);
    }
  soak_random_sleep (&t->rng, 3000);
}

/** Ends one node or all of them at the same moment. */
static void
kill_nodes (struct soak_thread *t)
{
  struct soak *s = t->s;
  int nodes[RACK_MAX_NODES], n = 0;
  bool all = rng_below (&t->rng, 4) == 0;
  int one = (int)rng_below (&t->rng, (uint64_t)s->nodes);

  for (int i = 0; i < s->nodes; i++)
    if (all || i == one)
      nodes[n++] = i;
  soak_signal_exit (s, nodes, n, SIGKILL);
  soak_restart (s, nodes, n);
  soak_random_sleep (&t->rng, 2500);
}

/** Cuts the last node off the store for a while. */
static void
cut_off_node (struct soak_thread *t)
{
  soak_random_sleep (&t->rng, 3000);
  relay_close_connections (tcp_proxy);
  soak_random_sleep (&t->rng, 3000);
  relay_accept_connections (tcp_proxy);
}

/* --- partitions from all servers ----------------------------------------- */

/** What the cut node serves, as a part of what the others do. */
#define MIN_CUT_SHARE (2.0 / 3)

static void
set_cut (struct load_run *run, const char *how, clk_ms since)
{
  pthread_mutex_lock (&run->s.lock);
  run->cut_since = 0;
  pthread_mutex_unlock (&run->s.lock);
  rack_set (&run->s.r, "{\"cut\": \"%s\"}", how);
  pthread_mutex_lock (&run->s.lock);
  run->cut_since = since;
  pthread_mutex_unlock (&run->s.lock);
}

/** Partitions the last node from all servers, some times from one way to the
    next without a pause. */
static void
partition_node (struct soak_thread *t)
{
  static const char *const ways[] = { "silent", "refuse", "reset" };
  struct load_run *run = t->ctx;

  set_cut (run, ways[rng_below (&t->rng, 3)], clk_now ());
  soak_random_sleep (&t->rng, 6000);
  if (rng_below (&t->rng, 3) == 0)
    return;
  set_cut (run, "none", 0);
  soak_random_sleep (&t->rng, 1500);
}

/** Lets a server fall silent for about a second; it goes on afterwards. */
static void
silence_server (struct soak_thread *t)
{
  char id[16];

  snprintf (id, sizeof id, "e%d", 1 + (int)rng_below (&t->rng, ENGINES));
  rack_set (&t->s->r, "{\"server\": \"%s\", \"dark\": true}", id);
  usleep (700000 + (useconds_t)rng_below (&t->rng, 600000));
  rack_set (&t->s->r, "{\"server\": \"%s\", \"dark\": false}", id);
  soak_random_sleep (&t->rng, 3000);
}

/* --- requests that crash servers ----------------------------------------- */

/** Maximum number of requests with the part that reach servers once the nodes
    have to know it. */
#define MAX_LATE_PARTS 3
#define PART_ENGINES 32

/** Sends a request that crashes its server because of a part of its prompt,
    which the others share in all but that part. */
static void
crash_by_part (struct soak_thread *t)
{
  struct soak *s = t->s;
  struct web_answer a = { 0 };
  int node = (int)rng_below (&t->rng, (uint64_t)s->nodes);
  char headers[256], body[32];

  snprintf (headers, sizeof headers,
            "Host: h\r\nX-Lapisline-Request-Id: %d/s-%u-%u\r\n"
            "X-Lapisline-Model: big\r\nX-Api-Key: k1\r\n"
            "X-Lapisline-Prompt-Prefix: aa:800,bad:70,c%u:90,f%u:9\r\n",
            node + 1, t->number, t->steps, t->steps % 5, t->steps);
  snprintf (body, sizeof body, "crash %u", t->steps);
  web_call (s->r.front[node], "POST", "/stream/x", headers, body, &a);
  web_free (&a);
  soak_random_sleep (&t->rng, 500);
}

static void
frame_responses (struct soak_thread *t)
{
  rack_set (&t->s->r, "{\"unframed\": %s}",
            rng_below (&t->rng, 2) ? "true" : "false");
  soak_random_sleep (&t->rng, 2000);
}

/* --- evacuated zones and cold servers ------------------------------------ */

/** Time in which all nodes obey an evacuation; evac_ms. */
#define EVACUATION_MS 5000
/** Maximum requests in any second to a cold server: 1.5 times 26, plus 5. */
#define COLD_MAX 44
/** How long servers are cold after a crash. */
#define COLD_MS 3000

static const char *const evacuated_servers[]
    = { "p2", "e5", "e6", "e7", "e8" };
#define NEVACUATED (sizeof evacuated_servers / sizeof evacuated_servers[0])

/** Evacuates half of the servers for longer than the nodes may take to obey.
 */
static void
evacuate_zone (struct soak_thread *t)
{
  struct soak *s = t->s;

  rack_set (&s->r, "{\"evacuate\": \"z2\"}");
  usleep (EVACUATION_MS * 1000 + 1000000);
  soak_random_sleep (&t->rng, 2000);
  for (size_t i = 0; i < NEVACUATED; i++)
    {
      int ms
          = rack_get_count (&s->r, evacuated_servers[i], "evacuated_last_ms");
      if (ms > EVACUATION_MS)
        soak_report_violation (s, "%s: a request %d ms after its evacuation",
                               evacuated_servers[i], ms);
    }
  rack_set (&s->r, "{\"return\": \"z2\"}");
  soak_random_sleep (&t->rng, 3000);
}

/** Crashes a plain server, which is cold when it is back. */
static void
crash_server (struct soak_thread *t)
{
  rack_set (&t->s->r, "{\"server\": \"p%d\", \"crash\": true}",
            1 + (int)rng_below (&t->rng, PLAIN_SERVERS));
  usleep (COLD_MS * 1000);
  soak_random_sleep (&t->rng, 4000);
}

static void
expect_cold_bound_kept (const struct soak *s)
{
  for (int i = 1; i <= PLAIN_SERVERS; i++)
    {
      char id[8];
      int most;
      snprintf (id, sizeof id, "p%d", i);
      most = rack_get_count (&s->r, id, "cold_most");
      cr_log_info ("%s: at most %d requests in a second, %d in total", id,
                   most, rack_get_count (&s->r, id, "cold_arrived"));
      cr_expect_leq (most, COLD_MAX, "%s: %d requests in a second", id, most);
    }
}

/* --- requests that ran ------------------------------------------------- */

static void
check_runs (struct soak *s)
{
  struct web_answer a = { 0 };
  struct json_object *o;

  web_call (s->r.platform_addr, "GET", "/control/counts", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  json_object_object_foreach (jsn_object (o, "repeated"), id, n)
  {
    if (strstr (id, "/o-"))
      soak_report_violation (s, "%s: ran %d times", id,
                             json_object_get_int (n));
  }
  json_object_put (o);
  web_free (&a);
}

/** Checks that no request refused as "not run" has run. */
static void
check_refused (struct load_run *run)
{
  struct soak *s = &run->s;
  struct str left = buf_str (&run->refused);
  struct web_answer a = { 0 };
  struct json_object *o;

  web_call (s->r.platform_addr, "GET", "/control/runs", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  while (left.len > 0)
    {
      char *id = str_dup (str_head (left, str_chr (left, '\n')));
      if (jsn_int (o, id) > 0)
        soak_report_violation (s, "%s: refused as not run, but ran %d times",
                               id, (int)jsn_int (o, id));
      left = str_skip (left, strlen (id) + 1);
      free (id);
    }
  json_object_put (o);
  web_free (&a);
}

/** Runs clients beside series of faults, the first of them in the calling
    thread, and checks what ran. */
static void
run_under_load (struct load_run *run, fault_series *const *series,
                unsigned nseries, uint64_t seconds)
{
  struct soak *s = &run->s;
  struct soak_thread threads[CLIENTS + FAULT_SERIES + PLAIN_CLIENTS] = { 0 };
  const unsigned nfirst = CLIENTS + nseries;

  s->forgets_told = true;
  rack_set (&s->r, "{\"events\": %d, \"event_ms\": 15}", EVENTS);
  for (unsigned i = 0; i < nfirst; i++)
    threads[i]
        = (struct soak_thread){ .number = i,
                                .step = i < CLIENTS ? send_request
                                                    : series[i - CLIENTS],
                                .ctx = run };
  for (unsigned i = nfirst; i < nfirst + PLAIN_CLIENTS; i++)
    threads[i] = (struct soak_thread){ .number = i,
                                       .step = call_service,
                                       .ctx = run };
  soak_run (s, threads, nfirst + PLAIN_CLIENTS, CLIENTS, seconds);
  check_runs (s);
  check_refused (run);
}

/** Each node serves after the faults; the requests of the run are reported. */
static void
finish_load (struct load_run *run)
{
  struct soak *s = &run->s;

  for (int i = 0; i < s->nodes; i++)
    {
      cr_expect (
          rack_call_until (&s->r, i, "/stream/x", rack_headers ("end"), 200),
          "node %d serves no stream after the faults", i + 1);
      cr_expect (
          rack_call_until (&s->r, i, "/once/x", rack_headers ("end"), 200),
          "node %d serves no call after the faults", i + 1);
    }
  cr_expect_gt (run->served, run->requests / 10, "served %u of %u",
                run->served, run->requests);
  cr_log_info ("seed %llu: %u of %u served", (unsigned long long)s->seed,
               run->served, run->requests);
  buf_free (&run->refused);
  soak_finish (s);
}

static void
run_two_nodes (uint64_t seed, uint64_t seconds)
{
  static struct load_run run;
  static fault_series *const series[FAULT_SERIES]
      = { fail_node,    fail_store,    fail_server,
          limit_server, restore_store, announce };

  soak_init (&run.s, seed, RACK_NODES);
  rack_start_all (&run.s.r, ENGINES);
  run_under_load (&run, series, FAULT_SERIES, seconds);
  finish_load (&run);
}

/** Stores the configuration and starts the nodes; each serves a stream. */
static void
start_nodes (struct soak *s)
{
  rack_configure (&s->r, 1, "k1", "");
  for (int i = 0; i < s->nodes; i++)
    rack_start_node (&s->r, i);
  for (int i = 0; i < s->nodes; i++)
    cr_assert (
        rack_call_until (&s->r, i, "/stream/x", rack_headers ("warm"), 200));
}

/** All nodes know the store's last restore, and are linked again. */
static void
expect_recovered (struct soak *s)
{
  char era[64];

  snprintf (era, sizeof era, "lapisline_serve_store_era %d",
            rack_get_count (&s->r, "store", "era"));
  for (int i = 0; i < s->nodes; i++)
    {
      cr_expect (
          web_poll_until (s->r.ready[i], "/metrics", NULL, era, PROC_WAIT_MS),
          "node %d: %s", i + 1, era);
      cr_expect (web_poll_until (s->r.ready[i], "/metrics", NULL,
                                 "lapisline_serve_nodes 3", PROC_WAIT_MS),
                 "node %d is not linked to both others", i + 1);
    }
  cr_expect (rack_wait_for_counts (&s->r, "\"nodes\": 3"),
             "entries are missing in the store");
}

static void
run_restores (uint64_t seed, uint64_t seconds)
{
  static struct load_run run;
  struct soak *s = &run.s;
  static fault_series *const series[]
      = { kill_nodes, restore_repeatedly, fail_store, cut_off_node };

  soak_init (s, seed, RESTORE_NODES);
  rack_prepare_nodes (&s->r, ENGINES, s->nodes, connect_by_proxy);
  start_nodes (s);
  run_under_load (&run, series, sizeof series / sizeof series[0], seconds);
  rack_set (&s->r, "{\"store\": {\"refuse\": false, \"silent\": false}}");
  expect_recovered (s);
  finish_load (&run);
}

static void
expect_served_while_cut (const struct load_run *run)
{
  unsigned sent = run->cut_sent[0] + run->cut_sent[1];
  unsigned failed = sent - run->cut_served[0] - run->cut_served[1];

  cr_log_info ("while cut: %u of %u served at the node, %u of %u at others",
               run->cut_served[1], run->cut_sent[1], run->cut_served[0],
               run->cut_sent[0]);
  if (failed <= 10 + sent / 50)
    return;
  cr_expect_geq ((double)run->cut_served[1] * run->cut_sent[0],
                 MIN_CUT_SHARE * run->cut_served[0] * run->cut_sent[1]);
}

static void
run_partitions (uint64_t seed, uint64_t seconds)
{
  static struct load_run run;
  struct soak *s = &run.s;
  static fault_series *const series[]
      = { partition_node, silence_server, fail_store };
  int nodes, leader;

  soak_init (s, seed, RESTORE_NODES);
  nodes = rack_prepare_cut (&s->r, ENGINES, RESTORE_NODES, &leader);
  s->r.logs = getenv ("SOAK_LOGS");
  s->nodes = nodes;
  run.cut_node = nodes - 1;
  start_nodes (s);
  run_under_load (&run, series, sizeof series / sizeof series[0], seconds);
  set_cut (&run, "none", 0);
  rack_set (&s->r, "{\"store\": {\"refuse\": false, \"silent\": false}}");
  expect_served_while_cut (&run);
  finish_load (&run);
}

static int
get_total (const struct soak *s, const char *name)
{
  struct web_answer a = { 0 };
  struct json_object *o;
  int n;

  web_call (s->r.platform_addr, "GET", "/control/counts", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  n = (int)jsn_int (o, name);
  json_object_put (o);
  web_free (&a);
  return n;
}

static void
run_crashing_parts (uint64_t seed, uint64_t seconds)
{
  static struct load_run run;
  struct soak *s = &run.s;
  static fault_series *const series[]
      = { fail_node, crash_by_part, fail_store, frame_responses };

  soak_init (s, seed, RACK_NODES);
  rack_start_all (&s->r, PART_ENGINES);
  rack_set (&s->r, "{\"crash_part\": \"bad\", \"crash_ms\": 40,"
                   " \"revive_ms\": 1000}");
  run_under_load (&run, series, sizeof series / sizeof series[0], seconds);
  rack_set (&s->r, "{\"store\": {\"refuse\": false, \"silent\": false}}");
  cr_log_info ("%d requests with the part ran, %d servers crashed",
               get_total (s, "part_runs"), get_total (s, "part_crashes"));
  cr_expect_leq (get_total (s, "part_late"), MAX_LATE_PARTS,
                 "%d requests with the part were sent too late",
                 get_total (s, "part_late"));
  finish_load (&run);
}

static void
run_uneven_load (uint64_t seed, uint64_t seconds)
{
  static struct load_run run;
  struct soak *s = &run.s;
  static fault_series *const series[]
      = { kill_nodes, evacuate_zone, crash_server, fail_store, cut_off_node };

  rack_set_evacuation_ms (EVACUATION_MS);
  rack_limit_cold ();
  soak_init (s, seed, RESTORE_NODES);
  rack_prepare_nodes (&s->r, ENGINES, s->nodes, connect_by_proxy);
  s->r.logs = getenv ("SOAK_LOGS");
  for (size_t i = 0; i < NEVACUATED; i++)
    rack_set (&s->r, "{\"server\": \"%s\", \"zone\": \"z2\"}",
              evacuated_servers[i]);
  start_nodes (s);
  rack_set (&s->r, "{\"cold\": {\"ms\": %d}, \"revive_ms\": 500}", COLD_MS);
  run_under_load (&run, series, sizeof series / sizeof series[0], seconds);
  rack_set (&s->r, "{\"store\": {\"refuse\": false, \"silent\": false}}");
  expect_cold_bound_kept (s);
  finish_load (&run);
}

/* Guards against requests that go on crashing servers because of a part of
   their prompts while nodes restart and the store fails, and against responses
   that end with their connections. */
Test (soak, promises_hold_under_crashing_parts)
{
  run_crashing_parts (soak_env_number ("SOAK_SEED", SEED),
                      soak_env_number ("SOAK_SECONDS", SECONDS));
}

/* Guards against nodes that use an evacuated zone, or overload cold servers,
   because they were restarted, cut off from the store or linked to nodes that
   were. */
Test (soak, promises_hold_under_uneven_load)
{
  run_uneven_load (soak_env_number ("SOAK_SEED", SEED),
                   soak_env_number ("SOAK_SECONDS", SECONDS));
}

/* Guards against a node that serves nobody while it reaches no server, beside
   servers that are silent for a second and a store that fails. */
Test (soak, promises_hold_under_partitions)
{
  run_partitions (soak_env_number ("SOAK_SEED", SEED),
                  soak_env_number ("SOAK_SECONDS", SECONDS));
}

Test (soak, promises_hold_under_faults)
{
  run_two_nodes (soak_env_number ("SOAK_SEED", SEED),
                 soak_env_number ("SOAK_SECONDS", SECONDS));
}

/* Runs a seed that failed before, unless SOAK_SEED is set. */
Test (soak, stream_cut_after_last_event)
{
  if (!getenv ("SOAK_SEED"))
    run_two_nodes (SEED_CUT_AT_THE_END, SECONDS_CUT_AT_THE_END);
}

/* Guards against promises that are broken when the store comes back from an
   older copy, also beside nodes that are killed or cut off, and lost writes.
 */
Test (soak, promises_hold_under_restores)
{
  run_restores (soak_env_number ("SOAK_SEED", SEED),
                soak_env_number ("SOAK_SECONDS", SECONDS));
}
