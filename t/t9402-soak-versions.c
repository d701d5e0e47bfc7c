/*
 * Soak of many nodes with the stand-in for the users' platform: operators
 * store new versions of the configuration while nodes and the store fail.
 * SOAK_SEED and SOAK_SECONDS select another run, SOAK_NODES the number of
 * nodes; tools/soak.sh runs many seeds.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <unistd.h>

#include "t/lib-many.h"

/** Default seed and duration, for CI. */
#define SEED 6
#define SECONDS 8

TestSuite (soak_versions, .fini = proc_stop_all, .timeout = 900);

static void
store_next_version (struct many *m)
{
  struct buf key = BUF_INIT, routes = BUF_INIT;
  unsigned version = many_next_version (m, &key, &routes);

  rack_configure (&m->s.r, (int)version, buf_c (&key), buf_c (&routes));
  many_version_acked (m, version);
  buf_free (&key);
  buf_free (&routes);
}

/** Stores a version less than 60 ms before the caller's next signal. */
static void
store_version_and_wait (struct soak_thread *t)
{
  store_next_version (t->ctx);
  soak_random_sleep (&t->rng, 60);
}

static void
run_operator (struct soak_thread *t)
{
  store_next_version (t->ctx);
  usleep (700000);
  soak_random_sleep (&t->rng, 600);
}

/** Number of relays; with @p times 2, plus the nodes that replace them. */
static int
count_relay_candidates (const struct many *m, int times)
{
  return times * RELAYS < m->s.nodes ? times * RELAYS : m->s.nodes;
}

/** Stops the relays shortly before or after a new version is stored, then the
   nodes that replace them. */
static void
stop_relays (struct soak_thread *t)
{
  struct many *m = t->ctx;
  int sig = rng_below (&t->rng, 4) ? SIGKILL : SIGTERM;
  bool twice = rng_below (&t->rng, 2), after = rng_below (&t->rng, 2);
  int nrelays = count_relay_candidates (m, 1),
      nstopped = count_relay_candidates (m, twice ? 2 : 1);

  if (after)
    store_version_and_wait (t);
  soak_signal_exit (t->s, m->relay_order, nrelays, sig);
  soak_random_sleep (&t->rng, 60);
  if (!after)
    store_next_version (m);
  soak_random_sleep (&t->rng, 1500);
  soak_signal_exit (t->s, m->relay_order + nrelays, nstopped - nrelays, sig);
  soak_random_sleep (&t->rng, 1500);
  soak_restart (t->s, m->relay_order, nstopped);
}

static void
stop_nodes (struct soak_thread *t)
{
  int node = (int)rng_below (&t->rng, (uint64_t)t->s->nodes);

  if (rng_below (&t->rng, 2))
    stop_relays (t);
  else
    {
      soak_signal_exit (t->s, &node, 1,
                        rng_below (&t->rng, 2) ? SIGKILL : SIGTERM);
      soak_random_sleep (&t->rng, 1000);
      soak_restart (t->s, &node, 1);
    }
}

/** Pauses and resumes nodes repeatedly, so that they run part of the time. */
static void
pause_repeatedly (struct soak_thread *t, const int *nodes, int n)
{
  int rounds = 5 + (int)rng_below (&t->rng, 20);

  for (int i = 0; i < rounds; i++)
    {
      soak_pause (t->s, nodes, n, 20 + (clk_ms)rng_below (&t->rng, 200));
      soak_random_sleep (&t->rng, 60);
    }
}

static void
pause_relays (struct soak_thread *t)
{
  struct many *m = t->ctx;
  int n = count_relay_candidates (m, rng_below (&t->rng, 2) ? 1 : 2);

  if (rng_below (&t->rng, 2))
    store_version_and_wait (t);
  soak_signal (t->s, m->relay_order, n, SIGSTOP);
  soak_random_sleep (&t->rng, 60);
  store_next_version (m);
  usleep (500000);
  soak_random_sleep (&t->rng, 3000);
  soak_signal (t->s, m->relay_order, n, SIGCONT);
}

static void
pause_nodes (struct soak_thread *t)
{
  struct many *m = t->ctx;
  int first = (int)rng_below (&t->rng, (uint64_t)t->s->nodes);
  clk_ms ms = 500 + (clk_ms)rng_below (&t->rng, 3500);

  switch (rng_below (&t->rng, 4))
    {
    case 0:
      soak_pause (t->s, m->relay_order, t->s->nodes, ms);
      break;
    case 1:
      soak_pause (t->s, m->relay_order + first, 1, ms);
      break;
    case 2:
      pause_repeatedly (t, m->relay_order + first,
                        (t->s->nodes - first + 1) / 2);
      break;
    default:
      pause_relays (t);
    }
}

static void
fail_store_of_many (struct soak_thread *t)
{
  soak_inject_store_fault (t->s, &t->rng, SOAK_STORE_FAULTS_NO_LAPSE);
}

/** Threads of a run: fault series, the operator, and one client per node. */
enum
{
  SERIES_STOPS, /* in the test's own thread */
  SERIES_PAUSES,
  SERIES_STORE,
  OPERATOR,
  CHECKERS
};

/** Injects a fault of the series and sleeps; the seed selects the maximum
   sleep or disables the series. */
static void
inject_series_fault (struct soak_thread *t)
{
  static void (*const series[]) (struct soak_thread *)
      = { [SERIES_STOPS] = stop_nodes,
          [SERIES_PAUSES] = pause_nodes,
          [SERIES_STORE] = fail_store_of_many };
  static const clk_ms max_sleeps[] = { 700, 2500, 7000, 0 };
  clk_ms max_sleep = max_sleeps[(t->s->seed >> (2 * t->number)) % 4];

  if (max_sleep)
    series[t->number](t);
  soak_random_sleep (&t->rng, max_sleep ? max_sleep : 500);
}

static void
run_many_nodes (uint64_t seed, uint64_t seconds, unsigned nodes)
{
  static struct many m;
  static struct checker c[RACK_MAX_NODES];
  struct soak_thread threads[SOAK_THREADS] = { 0 };

  many_init (&m, seed, (int)nodes);
  store_next_version (&m);
  many_start_nodes (&m);
  for (unsigned i = 0; i < CHECKERS; i++)
    threads[i]
        = (struct soak_thread){ .number = i,
                                .step = i == OPERATOR ? run_operator
                                                      : inject_series_fault,
                                .ctx = &m };
  for (unsigned i = 0; i < nodes; i++)
    {
      c[i] = (struct checker){ .m = &m, .node = (int)i };
      threads[CHECKERS + i] = (struct soak_thread){ .number = CHECKERS + i,
                                                    .step = many_check_request,
                                                    .ctx = &c[i] };
    }
  soak_run (&m.s, threads, CHECKERS + nodes, SERIES_STOPS, seconds);
  many_finish (&m, c);
}

/* Guards against nodes that apply a configuration late, or return to an older
   one, while operators store new versions and nodes and the store fail. */
Test (soak_versions, versions_are_in_force_under_faults)
{
  run_many_nodes (soak_env_number ("SOAK_SEED", SEED),
                  soak_env_number ("SOAK_SECONDS", SECONDS),
                  (unsigned)soak_env_number ("SOAK_NODES", RACK_MANY_NODES));
}
