#include "t/lib-soak.h"

#include <criterion/criterion.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/** Further violations are counted but not printed. */
#define MAX_VIOLATION_LINES 40

uint64_t
soak_env_number (const char *name, uint64_t default_value)
{
  const char *text = getenv (name);

  return text ? strtoull (text, NULL, 10) : default_value;
}

void
soak_init (struct soak *s, uint64_t seed, int nodes)
{
  s->seed = seed;
  s->nodes = nodes;
  pthread_mutex_init (&s->lock, NULL);
}

void
soak_finish (struct soak *s)
{
  cr_expect_eq (s->nviolations, 0, "seed %llu, %u violations:\n%s",
                (unsigned long long)s->seed, s->nviolations,
                buf_c (&s->violations));
  buf_free (&s->violations);
}

static void *
run_thread (void *ctx)
{
  struct soak_thread *t = ctx;

  for (; clk_now () < t->s->ends_at; t->steps++)
    t->step (t);
  return NULL;
}

void
soak_run (struct soak *s, struct soak_thread *t, unsigned n,
          unsigned caller_thread, uint64_t seconds)
{
  pthread_t threads[SOAK_THREADS];

  s->started_at = clk_now ();
  s->ends_at = s->started_at + (clk_ms)seconds * CLK_SECOND;
  for (unsigned i = 0; i < n; i++)
    {
      t[i].s = s;
      rng_seed (&t[i].rng, s->seed * 1000 + i);
      if (i != caller_thread)
        pthread_create (&threads[i], NULL, run_thread, &t[i]);
    }
  run_thread (&t[caller_thread]);
  for (unsigned i = 0; i < n; i++)
    if (i != caller_thread)
      pthread_join (threads[i], NULL);
}

void
soak_add_violation (struct soak *s, const char *text)
{
  if (s->nviolations++ < MAX_VIOLATION_LINES)
    buf_addf (&s->violations, "%s\n", text);
}

void
soak_report_violation (struct soak *s, const char *fmt, ...)
{
  char text[512];
  va_list args;

  va_start (args, fmt);
  vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  pthread_mutex_lock (&s->lock);
  soak_add_violation (s, text);
  pthread_mutex_unlock (&s->lock);
}

void
soak_random_sleep (struct rng *rng, clk_ms max)
{
  usleep ((useconds_t)rng_below (rng, (uint64_t)max * 1000));
}

/* --- nodes ------------------------------------------------------------- */

static void
mark_disturbed (struct soak *s, int node)
{
  s->node[node].disturbed_at = clk_now ();
  s->disturbances++;
}

/** What servers told the node no longer counts. */
static void
forget_told (struct soak *s, int node)
{
  if (s->forgets_told)
    rack_set (&s->r, "{\"forget_node\": %d}", node + 1);
}

void
soak_signal_exit (struct soak *s, const int *nodes, int n, int sig)
{
  pthread_mutex_lock (&s->lock);
  for (int i = 0; i < n; i++)
    {
      s->node[nodes[i]].restarting = true;
      s->node[nodes[i]].paused = false;
      mark_disturbed (s, nodes[i]);
      proc_signal (s->r.node[nodes[i]], sig);
      proc_signal (s->r.node[nodes[i]], SIGCONT);
      forget_told (s, nodes[i]);
    }
  pthread_mutex_unlock (&s->lock);
}

static void
restart_node (struct soak *s, int node)
{
  struct soak_node *state = &s->node[node];

  proc_wait (s->r.node[node], PROC_WAIT_MS);
  pthread_mutex_lock (&s->lock);
  state->incarnation++;
  mark_disturbed (s, node);
  pthread_mutex_unlock (&s->lock);
  forget_told (s, node);
  rack_start_node (&s->r, node);
  pthread_mutex_lock (&s->lock);
  state->restarting = false;
  mark_disturbed (s, node);
  pthread_mutex_unlock (&s->lock);
}

void
soak_restart (struct soak *s, const int *nodes, int n)
{
  for (int i = 0; i < n; i++)
    restart_node (s, nodes[i]);
}

void
soak_signal (struct soak *s, const int *nodes, int n, int sig)
{
  pthread_mutex_lock (&s->lock);
  for (int i = 0; i < n; i++)
    {
      struct soak_node *state = &s->node[nodes[i]];
      if (state->restarting || (sig == SIGCONT && !state->paused))
        continue;
      mark_disturbed (s, nodes[i]);
      state->paused = sig == SIGSTOP;
      if (sig == SIGSTOP || sig == SIGCONT)
        state->paused_at = state->disturbed_at;
      if (sig != SIGCONT)
        proc_signal (s->r.node[nodes[i]], sig);
      if (sig == SIGSTOP || sig == SIGCONT)
        forget_told (s, nodes[i]);
      if (sig == SIGCONT)
        proc_signal (s->r.node[nodes[i]], sig);
    }
  pthread_mutex_unlock (&s->lock);
}

void
soak_pause (struct soak *s, const int *nodes, int n, clk_ms ms)
{
  soak_signal (s, nodes, n, SIGSTOP);
  usleep ((useconds_t)ms * 1000);
  soak_signal (s, nodes, n, SIGCONT);
}

/* --- the store --------------------------------------------------------- */

static void
record_store_fault (struct soak *s, bool fails)
{
  pthread_mutex_lock (&s->lock);
  s->store_faulty = fails;
  s->store_fault_at = clk_now ();
  pthread_mutex_unlock (&s->lock);
}

void
soak_inject_store_fault (struct soak *s, struct rng *rng, unsigned kinds)
{
  static const char *const faults[SOAK_STORE_FAULTS]
      = { "\"silent\": true", "\"refuse\": true", "\"lose_next\": 3",
          "\"compact\": true", "\"lapse\": true" };

  record_store_fault (s, true);
  rack_set (&s->r, "{\"store\": {%s}}", faults[rng_below (rng, kinds)]);
  soak_random_sleep (rng, 2000);
  rack_set (&s->r, "{\"store\": {\"silent\": false, \"refuse\": false}}");
  record_store_fault (s, false);
}
