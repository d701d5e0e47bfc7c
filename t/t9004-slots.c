/*
 * Slots of a model's replicas granted by the model's home, over processes:
 * three gateways that know each other before two replicas of two slots.  The
 * stand-ins tell how many requests they had at once and how often each ran.
 */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-cluster.h"

#define GATEWAYS 3
#define CALLS 8 /* at each gateway */

TestSuite (slots9, .fini = proc_stop_all, .timeout = 180);

/** Value of a series of a gateway; 0: it has none. */
static long
metric (struct cluster *c, size_t gateway, const char *series)
{
  struct web_answer a = { 0 };
  const char *at;
  long n = 0;

  if (web_call (c->http[gateway], "GET", "/metrics", NULL, NULL, &a)
      && (at = strstr (buf_c (&a.body), series)) != NULL)
    n = atol (at + strlen (series));
  web_free (&a);
  return n;
}

#define GRANTED "lapisline_slot_answers_total{word=\"granted\"} "
#define QUEUED "lapisline_slot_answers_total{word=\"queued\"} "

static bool
metric_until (struct cluster *c, size_t gateway, const char *series,
              long least)
{
  for (int i = 0; i < 500; i++)
    {
      if (metric (c, gateway, series) >= least)
        return true;
      usleep (10000);
    }
  return false;
}

static void
call_at (struct cluster *c, size_t gateway, bool once, struct web_stream **s)
{
  for (int i = 0; i < CALLS; i++)
    s[i] = web_open (c->http[gateway], "POST", "/v1/completions",
                     once ? FRONT_KEY "X-Idempotent: false\r\n" : FRONT_KEY,
                     front_prompt ("quote", false, 2));
}

/** How many were done; each ran as often as its outcome says. */
static int
read_at (struct cluster *c, struct web_stream **s)
{
  struct cluster_answer a;
  int done = 0;

  for (int i = 0; i < CALLS; i++)
    {
      cluster_read_answer (s[i], &a);
      done += strcmp (a.outcome, "done") == 0;
      cr_expect_neq (a.status, 0, "no answer");
      cr_expect_eq (cluster_model_runs (c, a.request_id),
                    strcmp (a.outcome, "done") == 0, "%s: %s %s", a.request_id,
                    a.outcome, a.code);
    }
  return done;
}

/** Until all gateways ask one home: it alone then gives words. */
static size_t
find_home (struct cluster *c)
{
  for (int turn = 0; turn < 300; turn++)
    {
      struct web_stream *s[CALLS];
      long before[GATEWAYS], words[GATEWAYS];
      size_t home = 0, homes = 0;

      for (size_t g = 0; g < c->n; g++)
        before[g] = metric (c, g, GRANTED);
      for (size_t g = 0; g < c->n; g++)
        {
          call_at (c, g, false, s);
          read_at (c, s);
        }
      for (size_t g = 0; g < c->n; g++)
        {
          words[g] = metric (c, g, GRANTED) - before[g];
          homes += words[g] > 0;
          home = words[g] > 0 ? g : home;
        }
      if (homes == 1 && words[home] == GATEWAYS * CALLS)
        return home;
      usleep (100000);
    }
  cr_assert_fail ("no home");
  return 0;
}

static size_t
up (struct cluster *c, int slow_ms)
{
  char fault[64];
  size_t home;

  cluster_up_model (c, GATEWAYS, 2);
  home = find_home (c);
  snprintf (fault, sizeof fault, "{\"slow_ms\": %d}", slow_ms);
  front_fault_both (c->vm, fault);
  return home;
}

/* A rush at all gateways at once.  Deciding alone they would together put more
   on a replica than it has slots, and the surplus would wait there out of
   turn.  The home lets as many in as there are slots. */
Test (slots9, no_replica_gets_more_than_its_slots)
{
  struct cluster c;
  struct web_stream *s[GATEWAYS][CALLS];
  int done = 0;

  up (&c, 100);
  front_fault_both (c.vm, "{\"clear_peak\": true}");
  for (size_t g = 0; g < c.n; g++)
    call_at (&c, g, g == 1, s[g]);
  for (size_t g = 0; g < c.n; g++)
    done += read_at (&c, s[g]);
  cr_expect_eq (done, GATEWAYS * CALLS);
  for (int i = 0; i < 2; i++)
    cr_expect_leq (front_count (c.vm[i], "peak"), 2);
}

/* Requests of two gateways wait at the home when it is killed.  Their callers
   must not wait for a word that never comes: their gateways decide, each
   request runs once, those that must not repeat too. */
Test (slots9, home_killed)
{
  struct cluster c;
  struct web_stream *s[GATEWAYS][CALLS];
  size_t home = up (&c, 700);
  long queued = metric (&c, home, QUEUED);

  for (size_t g = 0; g < c.n; g++)
    if (g != home)
      call_at (&c, g, g != 0, s[g]);
  cr_expect (metric_until (&c, home, QUEUED, queued + 12));
  proc_signal (c.gateway[home], SIGKILL);
  for (size_t g = 0; g < c.n; g++)
    if (g != home)
      cr_expect_eq (read_at (&c, s[g]), CALLS, "gateway %zu", g);
}

/* The home is frozen: its links stay open and say nothing.  Requests that wait
   there go on after three asks without a word or 2.5 s of silence.  The home
   thaws, reads the asks of that time and speaks of them: nothing runs again.
 */
Test (slots9, home_frozen)
{
  struct cluster c;
  struct web_stream *s[GATEWAYS][CALLS], *more[GATEWAYS][CALLS];
  size_t home = up (&c, 700);
  long queued = metric (&c, home, QUEUED);
  int runs;

  for (size_t g = 0; g < c.n; g++)
    if (g != home)
      call_at (&c, g, g != 0, s[g]);
  cr_expect (metric_until (&c, home, QUEUED, queued + 12));
  proc_signal (c.gateway[home], SIGSTOP);
  for (size_t g = 0; g < c.n; g++)
    if (g != home)
      call_at (&c, g, g != 0, more[g]);
  for (size_t g = 0; g < c.n; g++)
    if (g != home)
      {
        cr_expect_eq (read_at (&c, s[g]), CALLS, "gateway %zu", g);
        cr_expect_eq (read_at (&c, more[g]), CALLS, "gateway %zu", g);
      }
  runs = front_count_both (c.vm, "runs");
  proc_signal (c.gateway[home], SIGCONT);
  cr_assert (metric_until (&c, home, QUEUED, queued + 13));
  cr_expect_eq (front_count_both (c.vm, "runs"), runs);
}

/* A gateway is killed while its requests hold every slot.  The others' callers
   wait at the home, which nobody tells of the end: the slots come free when
   they have not been told of for 3.5 s, not never. */
Test (slots9, gateway_killed_holding_slots)
{
  struct cluster c;
  struct web_stream *s[CALLS], *rest[CALLS];
  size_t home = up (&c, 60000);
  size_t victim = (home + 1) % c.n, other = (home + 2) % c.n;

  call_at (&c, victim, false, s);
  for (int i = 0;
       i < 200
       && front_count (c.vm[0], "open") + front_count (c.vm[1], "open") < 4;
       i++)
    usleep (10000);
  front_fault_both (c.vm, "{\"slow_ms\": 10}");
  proc_signal (c.gateway[victim], SIGKILL);
  call_at (&c, other, false, rest);
  cr_expect_eq (read_at (&c, rest), CALLS);
  for (int i = 0; i < CALLS; i++)
    web_close (s[i]);
}
