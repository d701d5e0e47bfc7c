#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-cluster.h"

TestSuite (attempts, .fini = proc_stop_all, .timeout = 120);

/* Guards against a late response that reaches another caller.  One of two
   backend servers responds after 3 s, the service's timeout is 2 s: the
   gateway ends that attempt, retries at the other server, and the late
   response arrives on a closed connection. */
Test (attempts, late_answer_reaches_nobody)
{
  struct front f;
  struct web_stream *s[6];
  struct buf got[6] = { BUF_INIT };

  front_up (&f, "", "");
  front_fault (f.soko[0], "{\"slow_ms\": 3000}");
  for (int i = 0; i < 6; i++)
    {
      char path[64];
      snprintf (path, sizeof path, "/svc/soko-api/list?mine=%02d", i);
      s[i] = web_open (f.http, "GET", path, FRONT_KEY, NULL);
      cr_assert_not_null (s[i]);
    }
  for (int i = 0; i < 6; i++)
    {
      char own[32];
      snprintf (own, sizeof own, "\"query\": \"mine=%02d\"", i);
      cr_expect_eq (web_status (s[i], PROC_WAIT_MS), 200);
      cr_expect (web_read_until (s[i], &got[i], own, PROC_WAIT_MS));
      web_close (s[i]);
      buf_free (&got[i]);
    }
  int given_up = front_count (f.soko[0], "runs");
  cr_expect_gt (given_up, 0, "the slow one was not used");
  cr_expect (front_count_is (f.soko[0], "gone", given_up));
}

/* Guards against cancelling a request with an idempotency key when its caller
   disconnects: its result would be unknown and it could not be retried.  A
   retry with the same key must get the response without a second run.  Without
   a key the response can't be requested again, and the request is cancelled.
 */
Test (attempts, caller_with_a_key_leaves)
{
  struct cluster c;
  struct buf log = BUF_INIT;

  cluster_up (&c, 1, CLUSTER_APART);
  int before = front_count_both (c.soko, "runs");
  front_fault_both (c.soko, "{\"slow_ms\": 700}");
  struct web_stream *s = cluster_book_open (&c, 0, "bay-7");
  while (cluster_runs_of_key (&c, "bay-7") == 0)
    ;
  web_close (s);
  while (front_count_both (c.soko, "open") > 0)
    ;
  cr_expect_eq (front_count_both (c.soko, "gone"), 0, "it was cut off");
  cluster_book (&c, 0, "bay-7", &log);
  cr_expect_str_eq (buf_c (&log), "200 done -\n");
  cr_expect_eq (cluster_runs_of_key (&c, "bay-7"), 1);
  s = cluster_book_open (&c, 0, NULL);
  while (front_count_both (c.soko, "runs") < before + 2)
    ;
  web_close (s);
  while (front_count_both (c.soko, "open") > 0)
    ;
  cr_expect_eq (front_count_both (c.soko, "gone"), 1);
  buf_free (&log);
}

/* Guards against a gateway that, after a pause of its process, ends a request
   by its deadline although the response arrived in time and is in the socket's
   buffer. */
Test (attempts, answer_that_came_during_a_pause_is_given)
{
  struct front f;
  struct web_stream *s;

  front_up (&f, "", "");
  front_fault_both (f.soko, "{\"slow_ms\": 300}");
  s = web_open (f.http, "GET", "/svc/soko-api/x",
                FRONT_KEY "X-Deadline-Ms: 700\r\n", NULL);
  cr_assert_not_null (s);
  while (front_count_both (f.soko, "open") == 0)
    ;
  proc_signal (f.gateway, SIGSTOP);
  usleep (1000000);
  proc_signal (f.gateway, SIGCONT);
  cr_expect_eq (web_status (s, PROC_WAIT_MS), 200);
  web_close (s);
}
