/*
 * At most once over real processes, each gateway taking itself for the home
 * of every claim (no control: no view).  The judge is the service's count of
 * runs by key and by request id.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-cluster.h"

TestSuite (once, .fini = proc_stop_all, .timeout = 120);

static void
expect (struct buf *log, const char *wanted)
{
  cr_expect_str_eq (buf_c (log), wanted, "got:\n%s", buf_c (log));
  buf_free (log);
}

/* A trader's connection breaks after the booking; the client library repeats
   with the same key, first at the same node, then at another address.  The
   first repeat gets the kept answer; the other node has no answer to give and
   says that the key was used.  The service ran it once. */
Test (once, repeat_through_another_address)
{
  struct cluster c;
  struct buf log = BUF_INIT;

  cluster_up (&c, 2, CLUSTER_APART);
  cluster_book (&c, 0, "bay-7", &log);
  cluster_book (&c, 0, "bay-7", &log);
  cluster_book (&c, 1, "bay-7", &log);
  cluster_book (&c, 1, "bay-8", &log);
  cluster_book (&c, 0, "bay-8", &log);
  expect (&log, "200 done -\n"
                "200 done -\n"
                "409 unknown key-running\n"
                "200 done -\n"
                "409 unknown key-running\n");
  cr_expect_eq (cluster_runs_of_key (&c, "bay-7"), 1);
  cr_expect_eq (cluster_runs_of_key (&c, "bay-8"), 1);
}

/** Send one booking per gateway at the same moment for each of @p keys, and
    judge all answers. */
static void
storm (struct cluster *c, int keys)
{
  struct web_stream *s[CLUSTER_MAX * 32];
  struct cluster_answer a;
  char key[16];
  int n = 0, done = 0;

  for (int k = 0; k < keys; k++)
    for (size_t g = 0; g < c->n; g++)
      {
        snprintf (key, sizeof key, "bay-%d", k);
        s[n++] = cluster_book_open (c, g, key);
      }
  for (int i = 0; i < n; i++)
    {
      cluster_read_answer (s[i], &a);
      cr_expect_neq (a.status, 0, "no answer");
      done += strcmp (a.outcome, "done") == 0;
      if (strcmp (a.outcome, "not-run") == 0)
        cr_expect_eq (cluster_runs_of_request (c, a.request_id), 0,
                      "a run behind not-run");
    }
  for (int k = 0; k < keys; k++)
    {
      snprintf (key, sizeof key, "bay-%d", k);
      cr_expect_leq (cluster_runs_of_key (c, key), 1, "%s ran twice", key);
    }
  cr_expect_geq (done, keys / 2, "only %d of %d done", done, keys);
}

/* Morning rush: impatient clients send the same booking through all eight
   addresses at the same moment.  Each booking runs once. */
Test (once, eight_gateways_at_the_same_moment)
{
  struct cluster c;

  cluster_up (&c, 8, CLUSTER_APART);
  storm (&c, 20);
}

/* The same while the store loses answers of writes that it applied. */
Test (once, eight_gateways_and_lost_answers)
{
  struct cluster c;

  cluster_up (&c, 8, CLUSTER_APART);
  cluster_store_fault (&c, "{\"lose_answer_next\": 6}");
  storm (&c, 10);
}

/* Bookings without a key, over eight gateways, while the backend servers cut
   every answer short: each is sent once, whatever comes of it. */
Test (once, eight_gateways_without_a_key)
{
  struct cluster c;
  struct web_stream *s[40];
  struct cluster_answer a;
  int before;

  cluster_up (&c, 8, CLUSTER_APART);
  front_fault_both (c.soko, "{\"close_first\": true}");
  before = front_count_both (c.soko, "runs");
  for (int i = 0; i < 40; i++)
    s[i] = cluster_book_open (&c, (size_t)i % 8, NULL);
  for (int i = 0; i < 40; i++)
    {
      cluster_read_answer (s[i], &a);
      cr_expect_str_eq (a.outcome, "unknown");
      cr_expect_eq (cluster_runs_of_request (&c, a.request_id), 1);
    }
  cr_expect_eq (front_count_both (c.soko, "runs"), before + 40);
}

/* The store applies the claim and its answer is lost.  The gateway reads back
   what it wrote and goes on; the booking runs once, and a repeat through
   another node does not run it again. */
Test (once, claim_applied_and_answer_lost)
{
  struct cluster c;
  struct buf log = BUF_INIT;

  cluster_up (&c, 2, CLUSTER_APART);
  cluster_warm (&c, 0);
  cluster_store_fault (&c, "{\"lose_answer_next\": 1}");
  cluster_book (&c, 0, "bay-7", &log);
  cluster_book (&c, 1, "bay-7", &log);
  expect (&log, "200 done -\n"
                "409 unknown key-running\n");
  cr_expect_eq (cluster_runs_of_key (&c, "bay-7"), 1);
  cr_expect (web_poll_until (c.http[0], "/metrics", NULL,
                             "lapisline_claim_uncertain_total 1\n",
                             PROC_WAIT_MS));
}

/* The store is down in each of three ways.  Bookings with a key are refused
   as not run, and are not; calls that may be repeated, and bookings without a
   key, go on.  When it is back, the refused booking can be made. */
Test (once, store_down)
{
  static const char *const modes[] = { "refuse", "silent", "error" };
  struct cluster c;
  struct buf log = BUF_INIT;
  struct cluster_answer a;
  char fault[64], key[16];

  cluster_up (&c, 2, CLUSTER_APART);
  for (int m = 0; m < 3; m++)
    {
      snprintf (fault, sizeof fault, "{\"down\": true, \"mode\": \"%s\"}",
                modes[m]);
      cluster_store_fault (&c, fault);
      snprintf (key, sizeof key, "bay-%d", m);
      cluster_book_answer (&c, 0, key, &a);
      buf_addf (&log, "%s: %d %s %s\n", modes[m], a.status, a.outcome, a.code);
      cr_expect_eq (cluster_runs_of_key (&c, key), 0);
      cluster_book (&c, 0, NULL, &log);
      cluster_store_fault (&c, "{\"clear\": true}");
      for (int i = 0; i < 100 && cluster_runs_of_key (&c, key) == 0; i++)
        {
          cluster_book_answer (&c, i % 2, key, &a);
          usleep (50000);
        }
      cr_expect_eq (cluster_runs_of_key (&c, key), 1);
    }
  expect (&log, "refuse: 503 not-run store-unavailable\n"
                "200 done -\n"
                "silent: 503 not-run store-unavailable\n"
                "200 done -\n"
                "error: 503 not-run store-unavailable\n"
                "200 done -\n");
}

/* The store takes longer to answer than a caller is made to wait.  The
   booking is refused as not run; its record lands afterwards and is released,
   so the caller's next try runs, once. */
Test (once, store_slow)
{
  struct cluster c;
  struct cluster_answer a;

  cluster_up (&c, 2, CLUSTER_APART);
  cluster_warm (&c, 0);
  cluster_store_fault (&c, "{\"answer_delay_ms\": 4000}");
  cluster_book_answer (&c, 0, "bay-7", &a);
  cr_expect_str_eq (a.outcome, "not-run");
  cr_expect_eq (cluster_runs_of_request (&c, a.request_id), 0);
  cluster_store_fault (&c, "{\"clear\": true}");
  for (int i = 0; i < 200 && strcmp (a.outcome, "done") != 0; i++)
    {
      cluster_book_answer (&c, 0, "bay-7", &a);
      usleep (50000);
    }
  cr_expect_str_eq (a.outcome, "done");
  cr_expect_eq (cluster_runs_of_key (&c, "bay-7"), 1);
}

/* A backend server breaks off after the first byte of its answer.  It may
   have booked: the caller hears "unknown", nobody tries the other server, and
   a repeat with the key hears at once that the end is not known.  The other
   node, its own home here, has only the store's record, which doesn't tell
   that the booking ended, and refuses as well.  Then one is killed after
   the first byte of a booking without a key: the other one gets nothing. */
Test (once, backend_server_killed_after_the_first_byte)
{
  struct cluster c;
  struct buf log = BUF_INIT;
  int before[2], alive = 0;

  cluster_up (&c, 2, CLUSTER_APART);
  front_fault_both (c.soko, "{\"close_first\": true}");
  cluster_book (&c, 0, "bay-7", &log);
  cluster_book (&c, 0, "bay-7", &log);
  cluster_book (&c, 1, "bay-7", &log);
  expect (&log, "502 unknown broken\n"
                "409 unknown key-unknown\n"
                "409 unknown key-running\n");
  cr_expect_eq (cluster_runs_of_key (&c, "bay-7"), 1);
  for (int i = 0; i < 2; i++)
    before[i] = front_count (c.soko[i], "runs");
  front_fault_both (c.soko, "{\"close_first\": false, \"die_first\": true}");
  cluster_book (&c, 0, NULL, &log);
  expect (&log, "502 unknown broken\n");
  for (int i = 0; i < 2; i++)
    if (proc_wait (c.soko[i], 500) == -1)
      {
        alive++;
        cr_expect_eq (front_count (c.soko[i], "runs"), before[i]);
      }
  cr_expect_eq (alive, 1);
}

/* The service fails with 500, and the caller hears `failed`.  The client
   library repeats with the key after the service came back: it must hear the
   same, not an error page that is said to be done. */
Test (once, kept_failure_stays_a_failure)
{
  struct cluster c;
  struct buf log = BUF_INIT;

  cluster_up (&c, 2, CLUSTER_APART);
  front_fault_both (c.soko, "{\"fail_status\": 500}");
  cluster_book (&c, 0, "bay-7", &log);
  front_fault_both (c.soko, "{\"fail_status\": 0}");
  cluster_book (&c, 0, "bay-7", &log);
  expect (&log, "500 failed -\n"
                "500 failed -\n");
}

/* A middlebox forgets the gateway's idle connections to the service: what is
   sent over them reaches nobody, and new ones work.  A booking must not be
   lost in one of them, as it could neither be sent again nor be called "not
   run"; it goes over a connection of its own and is done at once. */
Test (once, silent_pooled_connection)
{
  struct cluster c;
  struct buf log = BUF_INIT;

  cluster_up_relayed (&c, 1);
  for (int i = 0; i < 4; i++)
    {
      struct web_answer a = { 0 };
      web_call (c.http[0], "GET", "/svc/soko-api/x", FRONT_KEY, NULL, &a);
      web_free (&a);
    }
  cluster_forget_connections (&c);
  cluster_book (&c, 0, "bay-7", &log);
  cluster_book (&c, 0, NULL, &log);
  expect (&log, "200 done -\n"
                "200 done -\n");
  cr_expect_eq (cluster_runs_of_key (&c, "bay-7"), 1);
}

/* The gateway is killed while its claim is on the way to the store; the
   caller sees its connection break and repeats at the other node at once.
   Whether or not the record landed, the booking runs at most once. */
Test (once, gateway_killed_in_mid_claim)
{
  struct cluster c;
  struct web_stream *s;
  struct cluster_answer a;
  int writes;

  cluster_up (&c, 2, CLUSTER_APART);
  for (int round = 0; round < 2; round++)
    {
      char key[16];
      snprintf (key, sizeof key, "bay-%d", round);
      cluster_warm (&c, 0);
      cluster_store_fault (&c, round ? "{\"delay_ms\": 600}"
                                     : "{\"answer_delay_ms\": 600}");
      writes = front_count (c.store, "txns");
      s = cluster_book_open (&c, 0, key);
      /* Applied and not answered, or not yet applied. */
      if (round == 0)
        cr_assert (front_count_is (c.store, "txns", writes + 1));
      else
        usleep (200000);
      proc_signal (c.gateway[0], SIGKILL);
      cluster_read_answer (s, &a);
      cr_expect_eq (a.status, 0);
      cluster_store_fault (&c, "{\"clear\": true}");
      for (int i = 0; i < 10; i++)
        {
          cluster_book_answer (&c, 1, key, &a);
          usleep (100000);
        }
      cr_expect_leq (cluster_runs_of_key (&c, key), 1);
      if (round == 0)
        {
          cr_expect_eq (cluster_runs_of_key (&c, key), 0,
                        "the record of the dead node was not respected");
          cluster_restart_gateway (&c, 0);
        }
    }
}

/* The gateway is frozen while its claim is on the way, past the caller's
   patience and its own; the caller repeats at the other node.  When the first
   one wakes it finds the store's answer, a grant; it must not send on it, and
   releases it, so that the booking can be made in the end. */
Test (once, gateway_frozen_in_mid_claim)
{
  struct cluster c;
  struct web_stream *s;
  struct cluster_answer a, frozen;
  int writes;

  cluster_up (&c, 2, CLUSTER_APART);
  cluster_warm (&c, 0);
  cluster_store_fault (&c, "{\"answer_delay_ms\": 500}");
  writes = front_count (c.store, "txns");
  s = cluster_book_open (&c, 0, "bay-7");
  cr_assert (front_count_is (c.store, "txns", writes + 1));
  proc_signal (c.gateway[0], SIGSTOP);
  usleep (400000);
  cluster_store_fault (&c, "{\"clear\": true}");
  cluster_book_answer (&c, 1, "bay-7", &a);
  cr_expect_eq (a.status, 409);
  usleep (6000000);
  proc_signal (c.gateway[0], SIGCONT);
  cluster_read_answer (s, &frozen);
  cr_expect_str_eq (frozen.outcome, "not-run");
  cr_expect_eq (cluster_runs_of_request (&c, frozen.request_id), 0);
  for (int i = 0; i < 100 && strcmp (a.outcome, "done") != 0; i++)
    {
      cluster_book_answer (&c, 1, "bay-7", &a);
      usleep (50000);
    }
  cr_expect_str_eq (a.outcome, "done");
  cr_expect_eq (cluster_runs_of_key (&c, "bay-7"), 1);
}
