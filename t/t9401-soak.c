/*
 * A soak of nodes before the stand-in of the platform: callers ask all the
 * while, and processes, the store and backend servers fail in series that
 * overlap.  What callers see is checked as they see it; what ran, at the end.
 *
 * SOAK_SEED and SOAK_SECONDS choose another run, SOAK_NODES how many nodes a
 * soak of versions has; tools/soak.sh plays many.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/json.h"
#include "t/lib-many.h"

#define CALLERS 4
#define EVENTS 20
#define ENGINES 8
#define PLAIN 2
#define SERIES 5
/** Bounds of a run in CI. */
#define SEED 1
#define SEED_MANY 6
#define SECONDS 8
/** A stream was cut right after its last event: what goes on there brings no
    event, and ends as whole. */
#define SEED_CUT_AT_THE_END 314
#define SECONDS_CUT_AT_THE_END 10

TestSuite (soak, .fini = proc_stop_all, .timeout = 900);

/** Callers and faults before two nodes. */
struct two
{
  struct soak s;
  unsigned asked, served;
  struct buf refused; /* ids that were told "not run", one a line */
};

/* --- callers ----------------------------------------------------------- */

/** Events from 1 on, each once and in order; how many. */
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

static void
note_refused (struct two *two, const char *id)
{
  pthread_mutex_lock (&two->s.lock);
  buf_addf (&two->refused, "%s\n", id);
  pthread_mutex_unlock (&two->s.lock);
}

static void
check (struct two *two, const char *id, bool stream,
       const struct web_answer *a)
{
  struct soak *s = &two->s;
  bool ok;
  int n;

  if (a->status == 401 || a->status == 404)
    soak_wrong (s, "%s: denied with %d", id, a->status);
  if (a->status == 503 && a->whole)
    note_refused (two, id);
  if (a->status != 200)
    return;
  if (!stream)
    {
      if (a->whole && !strstr (a->body.ptr ? a->body.ptr : "", "\"acc\""))
        soak_wrong (s, "%s: not its whole answer", id);
      return;
    }
  n = count_events (buf_str (&a->body), &ok);
  if (!ok && a->whole)
    soak_wrong (s, "%s: wrong after event %d", id, n);
  else if (a->whole && n != EVENTS)
    soak_wrong (s, "%s: ends whole after event %d", id, n);
}

static void
ask (struct soak_thread *t)
{
  struct two *two = t->ctx;
  struct soak *s = t->s;
  struct web_answer a = { 0 };
  bool stream = rng_below (&t->rng, 2);
  char id[32], headers[256];

  snprintf (id, sizeof id, "%s-%u-%u", stream ? "s" : "o", t->number,
            t->turns);
  snprintf (headers, sizeof headers,
            "Host: h\r\nX-Lapisline-Request-Id: %s\r\n"
            "X-Lapisline-Model: big\r\nX-Api-Key: k1\r\n",
            id);
  web_call (s->r.front[rng_below (&t->rng, RACK_NODES)], "POST",
            stream ? "/stream/x" : "/once/x", headers, "hello", &a);
  buf_c (&a.body);
  check (two, id, stream, &a);
  pthread_mutex_lock (&s->lock);
  two->asked++;
  two->served += a.status == 200 && a.whole;
  pthread_mutex_unlock (&s->lock);
  if (a.status != 200)
    usleep (20000);
  web_free (&a);
}

/* --- faults ------------------------------------------------------------ */

/** A series of faults rests between two of them. */
#define REST_MS 800

static void
fail_node (struct soak_thread *t)
{
  struct soak *s = t->s;
  int node = (int)rng_below (&t->rng, RACK_NODES);
  uint64_t kind = rng_below (&t->rng, 4);

  if (kind < 2)
    {
      soak_end (s, &node, 1, kind ? SIGTERM : SIGKILL);
      soak_start (s, &node, 1);
    }
  else if (kind == 2)
    soak_stop (s, &node, 1, 100 + (clk_ms)rng_below (&t->rng, 1500000) / 1000);
  else
    soak_signal (s, &node, 1, SIGHUP);
  soak_rest (&t->rng, REST_MS);
}

static void
fail_store (struct soak_thread *t)
{
  soak_fail_store (t->s, &t->rng, SOAK_STORE_KINDS);
  soak_rest (&t->rng, REST_MS);
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
            1 + (int)rng_below (&t->rng, engine ? ENGINES : PLAIN));
  rack_set (&s->r, "{\"server\": \"%s\", %s}", id,
            faults[rng_below (&t->rng, 4)]);
  usleep ((useconds_t)rng_below (&t->rng, 2500000));
  rack_set (&s->r,
            "{\"server\": \"%s\", \"dark\": false, \"unlisted\": false,"
            " \"draining\": false}",
            id);
  soak_rest (&t->rng, REST_MS);
}

static unsigned
count_disturbed (struct soak *s)
{
  unsigned n;

  pthread_mutex_lock (&s->lock);
  n = s->disturbed;
  pthread_mutex_unlock (&s->lock);
  return n;
}

/** A server names a rate for a while, and gets no more unless nodes that were
    ended or frozen meanwhile had to learn of it anew. */
static void
limit_server (struct soak_thread *t)
{
  struct soak *s = t->s;
  static const double rates[] = { 0, 0.5, 2, 6 };
  double rate = rates[rng_below (&t->rng, 4)];
  unsigned before = count_disturbed (s);
  bool engine = rng_below (&t->rng, 2);
  char id[16];
  int most;

  snprintf (id, sizeof id, "%c%d", engine ? 'e' : 'p',
            1 + (int)rng_below (&t->rng, engine ? ENGINES : PLAIN));
  rack_set (&s->r, "{\"server\": \"%s\", \"limit\": \"%g\"}", id, rate);
  usleep (500000 + (useconds_t)rng_below (&t->rng, 4000000));
  most = rack_count (&s->r, id, "limited_most");
  if (count_disturbed (s) == before && most > (int)(1.5 * rate * 4) + 5)
    soak_wrong (s, "%s: over its limit, %d requests in 4 s", id, most);
  rack_set (&s->r, "{\"server\": \"%s\", \"limit\": \"\"}", id);
  soak_rest (&t->rng, REST_MS);
}

/** The store goes back to a copy up to some seconds old. */
static void
restore_store (struct soak_thread *t)
{
  rack_set (&t->s->r, "{\"store\": {\"copy\": true}}");
  soak_rest (&t->rng, 3000);
  rack_set (&t->s->r, "{\"store\": {\"restore\": true}}");
  soak_rest (&t->rng, 3000);
}

/* --- what ran ---------------------------------------------------------- */

static void
check_runs (struct soak *s)
{
  struct web_answer a = { 0 };
  struct json_object *o;

  web_call (s->r.at, "GET", "/control/counts", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  json_object_object_foreach (jsn_object (o, "repeated"), id, n)
  {
    if (id[0] == 'o')
      soak_wrong (s, "%s: ran %d times", id, json_object_get_int (n));
  }
  json_object_put (o);
  web_free (&a);
}

/** No request that was told "not run" has run. */
static void
check_refused (struct two *two)
{
  struct soak *s = &two->s;
  struct str left = buf_str (&two->refused);
  struct web_answer a = { 0 };
  struct json_object *o;

  web_call (s->r.at, "GET", "/control/runs", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  while (left.len > 0)
    {
      char *id = str_dup (str_head (left, str_chr (left, '\n')));
      if (jsn_int (o, id) > 0)
        soak_wrong (s, "%s: told not run, ran %d times", id,
                    (int)jsn_int (o, id));
      left = str_skip (left, strlen (id) + 1);
      free (id);
    }
  json_object_put (o);
  web_free (&a);
}

static void
play (uint64_t seed, uint64_t seconds)
{
  static struct two two;
  struct soak *s = &two.s;
  static void (*const series[]) (struct soak_thread *)
      = { fail_node, fail_store, fail_server, limit_server, restore_store };
  struct soak_thread threads[CALLERS + SERIES] = { 0 };

  soak_init (s, seed, RACK_NODES);
  rack_start_all (&s->r, ENGINES);
  rack_set (&s->r, "{\"events\": %d, \"event_ms\": 15}", EVENTS);
  for (unsigned i = 0; i < CALLERS + SERIES; i++)
    threads[i] = (struct soak_thread){
      .number = i, .turn = i < CALLERS ? ask : series[i - CALLERS], .ctx = &two
    };
  soak_run (s, threads, CALLERS + SERIES, CALLERS, seconds);
  check_runs (s);
  check_refused (&two);
  for (int i = 0; i < RACK_NODES; i++)
    {
      cr_expect (rack_until (&s->r, i, "/stream/x", rack_headers ("end"), 200),
                 "node %d serves no stream after the faults", i + 1);
      cr_expect (rack_until (&s->r, i, "/once/x", rack_headers ("end"), 200),
                 "node %d serves no call after the faults", i + 1);
    }
  cr_expect_gt (two.served, two.asked / 10, "served %u of %u", two.served,
                two.asked);
  cr_log_info ("seed %llu: %u of %u served", (unsigned long long)seed,
               two.served, two.asked);
  buf_free (&two.refused);
  soak_finish (s);
}

Test (soak, promises_hold_under_faults)
{
  play (soak_number ("SOAK_SEED", SEED),
        soak_number ("SOAK_SECONDS", SECONDS));
}

/* Seeds that once failed are played again, unless another was asked for. */
Test (soak, cut_at_the_end)
{
  if (!getenv ("SOAK_SEED"))
    play (SEED_CUT_AT_THE_END, SECONDS_CUT_AT_THE_END);
}

/* --- versions at many nodes -------------------------------------------- */

static void
configure (struct many *m)
{
  struct buf key = BUF_INIT, routes = BUF_INIT;
  unsigned version = many_send (m, &key, &routes);

  rack_configure (&m->s.r, (int)version, buf_c (&key), buf_c (&routes));
  many_acked (m, version);
  buf_free (&key);
  buf_free (&routes);
}

/** A version goes out a moment before or after what the caller does next. */
static void
configure_close (struct soak_thread *t)
{
  configure (t->ctx);
  soak_rest (&t->rng, 60);
}

static void
operate (struct soak_thread *t)
{
  configure (t->ctx);
  usleep (700000);
  soak_rest (&t->rng, 600);
}

/** How many nodes are relays, and come after them as such. */
static int
relays (const struct many *m, int times)
{
  return times * RELAYS < m->s.nodes ? times * RELAYS : m->s.nodes;
}

/** The relays end around a version, and those that come after them, too. */
static void
end_relays (struct soak_thread *t)
{
  struct many *m = t->ctx;
  int sig = rng_below (&t->rng, 4) ? SIGKILL : SIGTERM;
  bool twice = rng_below (&t->rng, 2), after = rng_below (&t->rng, 2);
  int first = relays (m, 1), all = relays (m, twice ? 2 : 1);

  if (after)
    configure_close (t);
  soak_end (t->s, m->order, first, sig);
  soak_rest (&t->rng, 60);
  if (!after)
    configure (m);
  soak_rest (&t->rng, 1500);
  soak_end (t->s, m->order + first, all - first, sig);
  soak_rest (&t->rng, 1500);
  soak_start (t->s, m->order, all);
}

static void
end_nodes (struct soak_thread *t)
{
  int node = (int)rng_below (&t->rng, (uint64_t)t->s->nodes);

  if (rng_below (&t->rng, 2))
    end_relays (t);
  else
    {
      soak_end (t->s, &node, 1, rng_below (&t->rng, 2) ? SIGKILL : SIGTERM);
      soak_rest (&t->rng, 1000);
      soak_start (t->s, &node, 1);
    }
}

/** Stop and wake nodes by turns, which run a part of the time. */
static void
starve (struct soak_thread *t, const int *nodes, int n)
{
  int turns = 5 + (int)rng_below (&t->rng, 20);

  for (int i = 0; i < turns; i++)
    {
      soak_stop (t->s, nodes, n, 20 + (clk_ms)rng_below (&t->rng, 200));
      soak_rest (&t->rng, 60);
    }
}

static void
stop_relays (struct soak_thread *t)
{
  struct many *m = t->ctx;
  int n = relays (m, rng_below (&t->rng, 2) ? 1 : 2);

  if (rng_below (&t->rng, 2))
    configure_close (t);
  soak_signal (t->s, m->order, n, SIGSTOP);
  soak_rest (&t->rng, 60);
  configure (m);
  usleep (500000);
  soak_rest (&t->rng, 3000);
  soak_signal (t->s, m->order, n, SIGCONT);
}

static void
stop_nodes (struct soak_thread *t)
{
  struct many *m = t->ctx;
  int first = (int)rng_below (&t->rng, (uint64_t)t->s->nodes);
  clk_ms ms = 500 + (clk_ms)rng_below (&t->rng, 3500);

  switch (rng_below (&t->rng, 4))
    {
    case 0:
      soak_stop (t->s, m->order, t->s->nodes, ms);
      break;
    case 1:
      soak_stop (t->s, m->order + first, 1, ms);
      break;
    case 2:
      starve (t, m->order + first, (t->s->nodes - first + 1) / 2);
      break;
    default:
      stop_relays (t);
    }
}

static void
fail_store_of_many (struct soak_thread *t)
{
  soak_fail_store (t->s, &t->rng, SOAK_STORE_NO_LAPSE);
}

/** Threads of a run: series of faults, operators, and a caller at each node.
 */
enum
{
  SERIES_ENDS, /* in the thread of the test */
  SERIES_STOPS,
  SERIES_STORE,
  OPERATOR,
  CHECKERS
};

/** A fault of a series; by the seed the series rests up to so long after it,
    or there is none. */
static void
fail_many (struct soak_thread *t)
{
  static void (*const series[]) (struct soak_thread *)
      = { [SERIES_ENDS] = end_nodes,
          [SERIES_STOPS] = stop_nodes,
          [SERIES_STORE] = fail_store_of_many };
  static const clk_ms rests[] = { 700, 2500, 7000, 0 };
  clk_ms most = rests[(t->s->seed >> (2 * t->number)) % 4];

  if (most)
    series[t->number](t);
  soak_rest (&t->rng, most ? most : 500);
}

static void
play_many (uint64_t seed, uint64_t seconds, unsigned nodes)
{
  static struct many m;
  static struct checker c[RACK_MOST];
  struct soak_thread threads[SOAK_THREADS] = { 0 };

  many_up (&m, seed, (int)nodes);
  configure (&m);
  many_start (&m);
  for (unsigned i = 0; i < CHECKERS; i++)
    threads[i] = (struct soak_thread){
      .number = i, .turn = i == OPERATOR ? operate : fail_many, .ctx = &m
    };
  for (unsigned i = 0; i < nodes; i++)
    {
      c[i] = (struct checker){ .m = &m, .node = (int)i };
      threads[CHECKERS + i] = (struct soak_thread){ .number = CHECKERS + i,
                                                    .turn = many_check,
                                                    .ctx = &c[i] };
    }
  soak_run (&m.s, threads, CHECKERS + nodes, SERIES_ENDS, seconds);
  many_end (&m, c);
}

/* Guards against a configuration that is late at nodes, or that goes back,
   while operators put the next ones in force and nodes and the store fail. */
Test (soak, versions_are_in_force_under_faults)
{
  play_many (soak_number ("SOAK_SEED", SEED_MANY),
             soak_number ("SOAK_SECONDS", SECONDS),
             (unsigned)soak_number ("SOAK_NODES", RACK_MANY));
}
