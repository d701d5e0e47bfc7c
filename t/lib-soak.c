#include "t/lib-soak.h"

#include <criterion/criterion.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

/** Lines that a run prints of broken promises. */
#define WRONG_MOST 40

uint64_t
soak_number (const char *name, uint64_t usual)
{
  const char *text = getenv (name);

  return text ? strtoull (text, NULL, 10) : usual;
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
  cr_expect_eq (s->nwrong, 0, "seed %llu, %u times:\n%s",
                (unsigned long long)s->seed, s->nwrong, buf_c (&s->wrong));
  buf_free (&s->wrong);
}

static void *
run_thread (void *ctx)
{
  struct soak_thread *t = ctx;

  for (; clk_now () < t->s->until; t->turns++)
    t->turn (t);
  return NULL;
}

void
soak_run (struct soak *s, struct soak_thread *t, unsigned n, unsigned own,
          uint64_t seconds)
{
  pthread_t threads[SOAK_THREADS];

  s->began = clk_now ();
  s->until = s->began + (clk_ms)seconds * CLK_SECOND;
  for (unsigned i = 0; i < n; i++)
    {
      t[i].s = s;
      rng_seed (&t[i].rng, s->seed * 1000 + i);
      if (i != own)
        pthread_create (&threads[i], NULL, run_thread, &t[i]);
    }
  run_thread (&t[own]);
  for (unsigned i = 0; i < n; i++)
    if (i != own)
      pthread_join (threads[i], NULL);
}

void
soak_note (struct soak *s, const char *text)
{
  if (s->nwrong++ < WRONG_MOST)
    buf_addf (&s->wrong, "%s\n", text);
}

void
soak_wrong (struct soak *s, const char *fmt, ...)
{
  char text[512];
  va_list args;

  va_start (args, fmt);
  vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  pthread_mutex_lock (&s->lock);
  soak_note (s, text);
  pthread_mutex_unlock (&s->lock);
}

void
soak_rest (struct rng *rng, clk_ms most)
{
  usleep ((useconds_t)rng_below (rng, (uint64_t)most * 1000));
}

/* --- nodes ------------------------------------------------------------- */

static void
touch (struct soak *s, int node)
{
  s->node[node].touched = clk_now ();
  s->disturbed++;
}

void
soak_end (struct soak *s, const int *nodes, int n, int sig)
{
  pthread_mutex_lock (&s->lock);
  for (int i = 0; i < n; i++)
    {
      s->node[nodes[i]].away = true;
      s->node[nodes[i]].stopped = false;
      touch (s, nodes[i]);
      proc_signal (s->r.node[nodes[i]], sig);
      proc_signal (s->r.node[nodes[i]], SIGCONT);
    }
  pthread_mutex_unlock (&s->lock);
}

static void
start_one (struct soak *s, int node)
{
  struct soak_node *d = &s->node[node];

  proc_wait (s->r.node[node], PROC_WAIT_MS);
  pthread_mutex_lock (&s->lock);
  d->life++;
  touch (s, node);
  pthread_mutex_unlock (&s->lock);
  rack_start_node (&s->r, node);
  pthread_mutex_lock (&s->lock);
  d->away = false;
  touch (s, node);
  pthread_mutex_unlock (&s->lock);
}

void
soak_start (struct soak *s, const int *nodes, int n)
{
  for (int i = 0; i < n; i++)
    start_one (s, nodes[i]);
}

void
soak_signal (struct soak *s, const int *nodes, int n, int sig)
{
  pthread_mutex_lock (&s->lock);
  for (int i = 0; i < n; i++)
    {
      struct soak_node *d = &s->node[nodes[i]];
      if (d->away || (sig == SIGCONT && !d->stopped))
        continue;
      touch (s, nodes[i]);
      d->stopped = sig == SIGSTOP;
      if (sig == SIGSTOP || sig == SIGCONT)
        d->stood_at = d->touched;
      proc_signal (s->r.node[nodes[i]], sig);
    }
  pthread_mutex_unlock (&s->lock);
}

void
soak_stop (struct soak *s, const int *nodes, int n, clk_ms ms)
{
  soak_signal (s, nodes, n, SIGSTOP);
  usleep ((useconds_t)ms * 1000);
  soak_signal (s, nodes, n, SIGCONT);
}

/* --- the store --------------------------------------------------------- */

static void
mark_store (struct soak *s, bool fails)
{
  pthread_mutex_lock (&s->lock);
  s->store_fails = fails;
  s->store_failed = clk_now ();
  pthread_mutex_unlock (&s->lock);
}

void
soak_fail_store (struct soak *s, struct rng *rng, unsigned kinds)
{
  static const char *const faults[SOAK_STORE_KINDS]
      = { "\"silent\": true", "\"refuse\": true", "\"lose_next\": 3",
          "\"compact\": true", "\"lapse\": true" };

  mark_store (s, true);
  rack_set (&s->r, "{\"store\": {%s}}", faults[rng_below (rng, kinds)]);
  soak_rest (rng, 2000);
  rack_set (&s->r, "{\"store\": {\"silent\": false, \"refuse\": false}}");
  mark_store (s, false);
}
