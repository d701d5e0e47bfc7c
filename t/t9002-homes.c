/*
 * At most once over gateways that know each other: claims go to the key's
 * home over a link, and to the next node when the home is silent.  The judge
 * is the service's count of runs by key and by request id.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-cluster.h"

#define KEYS 24

TestSuite (homes, .fini = proc_stop_all, .timeout = 180);

static const char *
key_of (int i)
{
  static char key[16];

  snprintf (key, sizeof key, "bay-%d", i);
  return key;
}

static void
open_all (struct cluster *c, size_t gateway, struct web_stream **s)
{
  for (int i = 0; i < KEYS; i++)
    s[i] = cluster_book_open (c, gateway, key_of (i));
}

/** How many of the bookings are done. */
static int
read_all (struct cluster *c, struct web_stream **s)
{
  struct cluster_answer a;
  int done = 0;

  for (int i = 0; i < KEYS; i++)
    {
      cluster_read_answer (s[i], &a);
      done += strcmp (a.outcome, "done") == 0;
      if (strcmp (a.outcome, "not-run") == 0)
        cr_expect_eq (cluster_runs_of_request (c, a.request_id), 0,
                      "a run behind not-run");
    }
  return done;
}

static void
expect_one_run_each (struct cluster *c)
{
  for (int i = 0; i < KEYS; i++)
    cr_expect_eq (cluster_runs_of_key (c, key_of (i)), 1, "%s ran %d times",
                  key_of (i), cluster_runs_of_key (c, key_of (i)));
}

/* A caller repeats through another address.  The other gateway asks the key's
   home, which has the answer: the caller gets it, and nothing runs again. */
Test (homes, repeat_gets_the_kept_answer_anywhere)
{
  struct cluster c;
  struct web_stream *s[KEYS];

  cluster_up (&c, 3, CLUSTER_TOGETHER);
  open_all (&c, 0, s);
  cr_expect_eq (read_all (&c, s), KEYS);
  for (size_t g = 0; g < c.n; g++)
    {
      open_all (&c, g, s);
      cr_expect_eq (read_all (&c, s), KEYS, "gateway %zu", g);
    }
  expect_one_run_each (&c);
}

/* The service breaks off each booking after the first byte.  The caller asks
   again at both addresses: the keys' homes were told that no answer will come,
   so it hears at once that the end is not known, not for two minutes that the
   booking runs, and nothing runs again. */
Test (homes, a_lost_end_is_told_anywhere)
{
  struct cluster c;
  struct cluster_answer a;

  cluster_up (&c, 2, CLUSTER_TOGETHER);
  front_fault_both (c.soko, "{\"close_first\": true}");
  for (int i = 0; i < KEYS; i++)
    {
      cluster_book_answer (&c, 0, key_of (i), &a);
      cr_expect_str_eq (a.code, "broken");
      /* Through the same gateway first: its word to the home is ahead. */
      for (size_t g = 0; g < 2; g++)
        {
          cluster_book_answer (&c, g, key_of (i), &a);
          cr_expect_str_eq (a.code, "key-unknown", "%s at %zu: %s", key_of (i),
                            g, a.code);
        }
    }
  expect_one_run_each (&c);
}

/* An operator looks for where a slow booking spent its time.  A key's claim
   is made by its home, on another node; the tree must show that node's part
   under the claim of the node that the caller used. */
Test (homes, a_trace_shows_the_home)
{
  static const char id[] = "4bf92f3577b34da6a3ce929d0e0e4736";
  struct cluster c;
  struct buf out = BUF_INIT, headers = BUF_INIT;
  const char *token;

  cluster_up (&c, 2, CLUSTER_TOGETHER);
  for (int i = 0; i < KEYS; i++)
    {
      struct web_answer a = { 0 };
      buf_clear (&headers);
      buf_addf (&headers,
                FRONT_KEY "Idempotency-Key: %s\r\n"
                          "traceparent: 00-%s-00f067aa0ba902b7-01\r\n",
                key_of (i), id);
      cr_assert (web_call (c.http[0], "POST", "/svc/soko-api/bookings",
                           buf_c (&headers), "{}", &a));
      cr_expect_eq (a.status, 200);
      web_free (&a);
    }
  token = proc_file ("token", "demo-token");
  cr_expect_eq (PROC_RUN (&out, "lapisline", "trace", id, "--token-file",
                          token, "--admin", proc_addr (c.control[0], "admin")),
                0);
  cr_expect_not_null (
      strstr (buf_c (&out), "    gateway.claim  entry-1  granted\n"));
  cr_expect_not_null (
      strstr (buf_c (&out), "      gateway.claim-home  entry-2  granted\n"),
      "%s", buf_c (&out));
  buf_free (&out);
  buf_free (&headers);
}

/* All eight addresses are used for each booking at the same moment. */
Test (homes, eight_gateways_at_the_same_moment)
{
  struct cluster c;
  struct web_stream *s[CLUSTER_MAX][KEYS];
  int done = 0;

  cluster_up (&c, 8, CLUSTER_TOGETHER);
  for (size_t g = 0; g < c.n; g++)
    open_all (&c, g, s[g]);
  for (size_t g = 0; g < c.n; g++)
    done += read_all (&c, s[g]);
  cr_expect_geq (done, KEYS);
  expect_one_run_each (&c);
}

/** Bookings at gateway 0 while gateway 1, the home of about half of them, is
    hit by a signal with their claims in its hands. */
static void
home_hit (struct cluster *c, int sig)
{
  struct web_stream *s[KEYS];

  cluster_up (c, 2, CLUSTER_TOGETHER);
  cluster_warm (c, 0);
  cluster_store_fault (c, "{\"answer_delay_ms\": 200}");
  open_all (c, 0, s);
  usleep (100000);
  proc_signal (c->gateway[1], sig);
  usleep (150000);
  cluster_store_fault (c, "{\"clear\": true}");
  cr_expect_eq (read_all (c, s), KEYS);
  expect_one_run_each (c);
}

/* The home is killed with claims on the way to the store, some of which are
   written.  Its link breaks; the asker decides itself for the same attempts,
   finds what was written, and each booking runs once. */
Test (homes, home_killed_in_mid_claim)
{
  struct cluster c;
  struct web_stream *s[KEYS];

  home_hit (&c, SIGKILL);
  open_all (&c, 0, s);
  read_all (&c, s);
  expect_one_run_each (&c);
}

/* The home is frozen instead: its link stays open and silent.  When it wakes
   it finds the store's answers and its old asks; callers that repeat through
   it must not make anything run again. */
Test (homes, home_frozen_in_mid_claim)
{
  struct cluster c;
  struct web_stream *s[KEYS];

  home_hit (&c, SIGSTOP);
  usleep (4000000);
  proc_signal (c.gateway[1], SIGCONT);
  for (int round = 0; round < 3; round++)
    {
      open_all (&c, 1, s);
      read_all (&c, s);
      open_all (&c, 0, s);
      read_all (&c, s);
    }
  expect_one_run_each (&c);
}

/* Control is killed everywhere: the gateways go on with their last view, and
   a booking through another address still does not run twice. */
Test (homes, control_killed)
{
  struct cluster c;
  struct web_stream *s[KEYS];

  cluster_up (&c, 2, CLUSTER_TOGETHER);
  for (size_t i = 0; i < c.n; i++)
    proc_signal (c.control[i], SIGKILL);
  open_all (&c, 0, s);
  cr_expect_eq (read_all (&c, s), KEYS);
  open_all (&c, 1, s);
  read_all (&c, s);
  expect_one_run_each (&c);
}
