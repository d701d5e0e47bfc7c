/*
 * At most once while everything goes wrong at once, by a seeded plan: four
 * gateways with control, of which some are frozen at any time, and a store
 * that is down, silent, slow, or loses answers.  The plan is the same in each
 * run; how the processes meet it is not, and what is judged must hold for any
 * way: no key runs twice, nothing runs behind a "not run", and afterwards
 * every key that never ran can be used.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/rng.h"
#include "t/lib-cluster.h"

#define GATEWAYS 4
#define KEYS 40
#define PER_KEY 3
#define STEP_US 250000

TestSuite (trouble, .fini = proc_stop_all, .timeout = 180);

static const char *const store_faults[] = {
  "{\"clear\": true}",
  "{\"clear\": true}",
  "{\"clear\": true}",
  "{\"clear\": true}",
  "{\"clear\": true, \"lose_answer_next\": 2}",
  "{\"clear\": true, \"answer_delay_ms\": 700}",
  "{\"clear\": true, \"delay_ms\": 400}",
  "{\"clear\": true, \"answer_delay_ms\": 2600}",
  "{\"down\": true, \"mode\": \"refuse\"}",
  "{\"down\": true, \"mode\": \"silent\"}",
  "{\"down\": true, \"mode\": \"error\"}",
};

#define NFAULTS (sizeof store_faults / sizeof store_faults[0])

struct plan
{
  struct cluster c;
  struct rng rng;
  bool frozen[GATEWAYS];
  struct web_stream *streams[KEYS * PER_KEY];
  int n;
};

static void
key_name (int i, char out[16])
{
  snprintf (out, 16, "bay-%d", i);
}

static void
freeze (struct plan *p, size_t g, bool on)
{
  if (p->frozen[g] == on)
    return;
  p->frozen[g] = on;
  proc_signal (p->c.gateway[g], on ? SIGSTOP : SIGCONT);
}

static void
trouble (struct plan *p)
{
  size_t g = rng_below (&p->rng, GATEWAYS);

  if (rng_below (&p->rng, 3) == 0)
    {
      cluster_store_fault (&p->c, "{\"clear\": true}");
      cluster_store_fault (&p->c, store_faults[rng_below (&p->rng, NFAULTS)]);
    }
  if (rng_below (&p->rng, 4) == 0)
    freeze (p, g, !p->frozen[g]);
}

static void
calm (struct plan *p)
{
  cluster_store_fault (&p->c, "{\"clear\": true}");
  for (size_t g = 0; g < GATEWAYS; g++)
    freeze (p, g, false);
}

static void
book_under_trouble (struct plan *p)
{
  char key[16];

  for (int i = 0; i < KEYS; i++)
    {
      key_name (i, key);
      for (int k = 0; k < PER_KEY; k++)
        p->streams[p->n++]
            = cluster_book_open (&p->c, rng_below (&p->rng, GATEWAYS), key);
      trouble (p);
      usleep (STEP_US);
    }
}

static void
judge (struct plan *p)
{
  struct cluster_answer a;
  char key[16];
  int done = 0, not_run = 0;

  for (int i = 0; i < p->n; i++)
    {
      cluster_read_answer (p->streams[i], &a);
      done += strcmp (a.outcome, "done") == 0;
      if (strcmp (a.outcome, "not-run") != 0)
        continue;
      not_run++;
      cr_expect_eq (cluster_runs_of_request (&p->c, a.request_id), 0,
                    "a run behind not-run");
    }
  for (int i = 0; i < KEYS; i++)
    {
      key_name (i, key);
      cr_expect_leq (cluster_runs_of_key (&p->c, key), 1, "%s ran twice", key);
    }
  cr_log_info ("%d answers: %d done, %d not run", p->n, done, not_run);
  cr_expect_gt (done, 0);
  cr_expect_gt (not_run, 0);
}

/** Keys that never ran are free once the releases are written. */
static void
use_what_is_left (struct plan *p)
{
  struct cluster_answer a = { 0 };
  char key[16];

  for (int i = 0; i < KEYS; i++)
    {
      key_name (i, key);
      for (int left = 200; left > 0 && cluster_runs_of_key (&p->c, key) == 0;
           left--)
        {
          cluster_book_answer (&p->c, (size_t)left % GATEWAYS, key, &a);
          if (strcmp (a.outcome, "done") != 0)
            usleep (50000);
        }
      cr_expect_eq (cluster_runs_of_key (&p->c, key), 1,
                    "%s, last answer %d %s %s", key, a.status, a.outcome,
                    a.code);
    }
}

static void
run (uint64_t seed)
{
  struct plan p = { .n = 0 };

  rng_seed (&p.rng, seed);
  cluster_up (&p.c, GATEWAYS, CLUSTER_TOGETHER);
  book_under_trouble (&p);
  calm (&p);
  judge (&p);
  use_what_is_left (&p);
}

/* Morning rush on a bad day: traders book through several addresses while
   nodes freeze and the store comes and goes. */
Test (trouble, first_plan) { run (1); }

Test (trouble, second_plan) { run (2); }

/* A home is frozen with the ask of a booking, and the next node refuses it
   for a booking that is about to be released.  The home wakes and records the
   claim of the refused one: the bay could not be booked for ten minutes. */
Test (trouble, third_plan) { run (1072); }
