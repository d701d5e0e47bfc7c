#include <criterion/criterion.h>

#include "lib-route.h"

/* One model of three replicas and one plain service of two backend servers;
   the life of single requests. */

#define CONFIG                                                                \
  "{\"domains\":{\"d\":{\"zone\":\"a\",\"vms\":{"                             \
  "\"v1\":{\"addr\":\"127.0.0.1:1\"},\"v2\":{\"addr\":\"127.0.0.1:2\"},"      \
  "\"v3\":{\"addr\":\"127.0.0.1:3\"}}}},"                                     \
  "\"models\":{\"lm\":{\"mode\":\"route\",\"vms\":1,\"replicas\":3,"          \
  "\"capacity\":4,\"can_resume\":true,\"tokens_per_s\":100,"                  \
  "\"not_run_status\":[503]}},"                                               \
  "\"replicas\":{"                                                            \
  "\"r1\":{\"model\":\"lm\",\"domain\":\"d\",\"mode\":\"route\",\"vms\":["    \
  "\"v1\"]},"                                                                 \
  "\"r2\":{\"model\":\"lm\",\"domain\":\"d\",\"mode\":\"route\",\"vms\":["    \
  "\"v2\"]},"                                                                 \
  "\"r3\":{\"model\":\"lm\",\"domain\":\"d\",\"mode\":\"route\",\"vms\":["    \
  "\"v3\"]}},"                                                                \
  "\"services\":{\"api\":{\"mode\":\"route\",\"capacity\":2,"                 \
  "\"not_run_status\":[503],\"backends\":{"                                   \
  "\"s1\":{\"addr\":\"127.0.0.1:11\",\"zone\":\"a\"},"                        \
  "\"s2\":{\"addr\":\"127.0.0.1:12\",\"zone\":\"a\"}}},"                      \
  "\"old-api\":{\"mode\":\"observe\",\"backends\":{"                          \
  "\"s3\":{\"addr\":\"127.0.0.1:13\",\"zone\":\"a\"}}}},"                     \
  "\"accounts\":{\"acme\":{" KEY_DIGESTS ",\"may\":[\"*\"]}}}"

static void
check (const char *script, const char *log)
{
  struct script s = script_new (CONFIG, 1);
  script_expect (&s, script, log);
  cr_expect_eq (rt_open (s.rt), 0, "%zu requests left", rt_open (s.rt));
  script_free (&s);
}

Test (life, plain_call)
{
  check ("1 arrive 1 acme api\n"
         "2 open 1/1\n"
         "3 head 1/1 200\n"
         "4 body 1/1 10\n"
         "5 whole 1/1\n",
         "1 arrive 1: connect(1/1 s2)\n"
         "2 open 1/1: send(1/1)\n"
         "3 head 1/1:\n"
         "4 body 1/1: pass(1/1)\n"
         "5 whole 1/1: end(1 done)\n");
}

Test (life, once_is_sent_once)
{
  /* A booking is passed to a backend server that takes it and then goes
     silent or breaks.  Sent again it could book twice, so the caller hears
     at once that nobody knows. */
  check ("1 arrive 1 acme api once\n"
         "2 open 1/1\n"
         "3 silent 1/1\n"
         "10 arrive 2 acme api once\n"
         "11 open 2/1\n"
         "12 broken 2/1\n"
         "20 arrive 3 acme api once\n"
         "21 open 3/1\n"
         "22 head 3/1 200\n"
         "23 body 3/1 10\n"
         "24 broken 3/1\n",
         "1 arrive 1: connect(1/1 s2 fresh)\n"
         "2 open 1/1: send(1/1)\n"
         "3 silent 1/1: cancel(1/1) answer(1 504 silent unknown)\n"
         "10 arrive 2: connect(2/1 s1 fresh)\n"
         "11 open 2/1: send(2/1)\n"
         "12 broken 2/1: cancel(2/1) answer(2 502 broken unknown)\n"
         "20 arrive 3: connect(3/1 s2 fresh)\n"
         "21 open 3/1: send(3/1)\n"
         "22 head 3/1:\n"
         "23 body 3/1: pass(3/1)\n"
         "24 broken 3/1: cancel(3/1) cut(3 broken unknown)\n");
}

Test (life, once_may_try_another_server_unsent)
{
  /* The first backend server refuses the connection.  Nothing was handed
     to the kernel, so another may get the booking; when none can be
     reached, the caller hears that it was not run. */
  check ("1 arrive 1 acme api once\n"
         "2 fail 1/1\n"
         "3 open 1/2\n"
         "4 head 1/2 200\n"
         "5 whole 1/2\n"
         "10 arrive 2 acme api once\n"
         "11 fail 2/1\n"
         "12 fail 2/2\n",
         "1 arrive 1: connect(1/1 s2 fresh)\n"
         "2 fail 1/1: connect(1/2 s1 fresh)\n"
         "3 open 1/2: send(1/2)\n"
         "4 head 1/2:\n"
         "5 whole 1/2: pass(1/2) end(1 done)\n"
         "10 arrive 2: connect(2/1 s2 fresh)\n"
         "11 fail 2/1: connect(2/2 s1 fresh)\n"
         "12 fail 2/2: answer(2 503 connect-failed not-run)\n");
}

Test (life, once_refused_is_not_run)
{
  /* The backend server answers with the status that it gives only when it
     did not run the request.  One attempt is all a booking gets. */
  check ("1 arrive 1 acme api once\n"
         "2 open 1/1\n"
         "3 head 1/1 503\n",
         "1 arrive 1: connect(1/1 s2 fresh)\n"
         "2 open 1/1: send(1/1)\n"
         "3 head 1/1: cancel(1/1) answer(1 503 backend-refused not-run)\n");
}

Test (life, claim_comes_before_connect)
{
  /* A booking with a key: the claim must be recorded before anything can
     run, and an ended booking keeps its answer for repeats. */
  check ("1 arrive 1 acme api once key\n"
         "2 claim 1 granted\n"
         "3 open 1/1\n"
         "4 head 1/1 200\n"
         "5 body 1/1 10\n"
         "6 whole 1/1\n",
         "1 arrive 1: claim(1)\n"
         "2 claim 1: connect(1/1 s2 fresh)\n"
         "3 open 1/1: send(1/1)\n"
         "4 head 1/1:\n"
         "5 body 1/1: pass(1/1)\n"
         "6 whole 1/1: finish(1) end(1 done)\n");
}

Test (life, claim_verdicts)
{
  /* A repeat of a key gets the kept answer, or that the first one runs or
     ran; no repeat is sent.  With the store down nothing is sent either. */
  check ("1 arrive 1 acme api once key\n"
         "2 claim 1 answered\n"
         "3 arrive 2 acme api once key\n"
         "4 claim 2 running\n"
         "5 arrive 3 acme api once key\n"
         "6 claim 3 unknown\n"
         "7 arrive 4 acme api once key\n"
         "8 claim 4 mismatch\n"
         "9 arrive 5 acme api once key\n"
         "10 claim 5 unavailable\n"
         "11 arrive 6 acme api once key\n"
         "6000 tick\n",
         "1 arrive 1: claim(1)\n"
         "2 claim 1: replay(1)\n"
         "3 arrive 2: claim(2)\n"
         "4 claim 2: answer(2 409 key-running unknown)\n"
         "5 arrive 3: claim(3)\n"
         "6 claim 3: answer(3 409 key-unknown unknown)\n"
         "7 arrive 4: claim(4)\n"
         "8 claim 4: answer(4 422 key-mismatch not-run)\n"
         "9 arrive 5: claim(5)\n"
         "10 claim 5: release(5) answer(5 503 store-unavailable not-run)\n"
         "11 arrive 6: claim(6)\n"
         "6000 tick : release(6) answer(6 503 store-unavailable not-run)\n");
}

Test (life, claim_is_released_when_not_run)
{
  /* No backend server can be reached, or the one that was refused without
     running: a claim that stayed would make the caller's next try
     'unknown' although nothing ran. */
  check ("1 arrive 1 acme api once key\n"
         "2 claim 1 granted\n"
         "3 fail 1/1\n"
         "4 fail 1/2\n"
         "10 arrive 2 acme api once key\n"
         "11 claim 2 granted\n"
         "12 open 2/1\n"
         "13 head 2/1 503\n"
         "20 arrive 3 acme api once key\n"
         "21 gone 3\n",
         "1 arrive 1: claim(1)\n"
         "2 claim 1: connect(1/1 s2 fresh)\n"
         "3 fail 1/1: connect(1/2 s1 fresh)\n"
         "4 fail 1/2: release(1) answer(1 503 connect-failed not-run)\n"
         "10 arrive 2: claim(2)\n"
         "11 claim 2: connect(2/1 s2 fresh)\n"
         "12 open 2/1: send(2/1)\n"
         "13 head 2/1: cancel(2/1) release(2) answer(2 503 backend-refused "
         "not-run)\n"
         "20 arrive 3: claim(3)\n"
         "21 gone 3: release(3)\n");
}

Test (life, claim_stays_when_it_may_have_run)
{
  /* The answer of a keyed booking is lost, or comes in part.  The claim must
     stay, so that a repeat hears 'unknown' and does not run; and its home
     must be told that no answer will come, or the repeat hears for minutes
     that the booking still runs.  The part is not kept as an answer. */
  check ("1 arrive 1 acme api once key\n"
         "2 claim 1 granted\n"
         "3 open 1/1\n"
         "4 broken 1/1\n"
         "5 arrive 2 acme api once key\n"
         "6 claim 2 granted\n"
         "7 open 2/1\n"
         "8 head 2/1 200\n"
         "9 body 2/1 10\n"
         "10 broken 2/1\n",
         "1 arrive 1: claim(1)\n"
         "2 claim 1: connect(1/1 s2 fresh)\n"
         "3 open 1/1: send(1/1)\n"
         "4 broken 1/1: cancel(1/1) finish(1 unanswered) "
         "answer(1 502 broken unknown)\n"
         "5 arrive 2: claim(2)\n"
         "6 claim 2: connect(2/1 s1 fresh)\n"
         "7 open 2/1: send(2/1)\n"
         "8 head 2/1:\n"
         "9 body 2/1: pass(2/1)\n"
         "10 broken 2/1: cancel(2/1) finish(2 unanswered) "
         "cut(2 broken unknown)\n");
}

Test (life, old_grant_is_not_used)
{
  /* The connection takes longer than a grant holds.  Its home may have
     given the key to a repeat meanwhile, so the claim is asked for again
     before the request is sent. */
  check ("1 arrive 1 acme api once key\n"
         "2 claim 1 granted\n"
         "6000 open 1/1\n"
         "6001 claim 1 granted\n"
         "6002 open 1/2\n"
         "6003 open 1/1\n"
         "6004 head 1/2 200\n"
         "6005 whole 1/2\n",
         "1 arrive 1: claim(1)\n"
         "2 claim 1: connect(1/1 s2 fresh)\n"
         "6000 open 1/1: cancel(1/1) claim(1)\n"
         "6001 claim 1: connect(1/2 s2 fresh)\n"
         "6002 open 1/2: send(1/2)\n"
         "6003 open 1/1:\n"
         "6004 head 1/2:\n"
         "6005 whole 1/2: pass(1/2) finish(1) end(1 done)\n");
}

Test (life, idempotent_moves_on)
{
  /* A listing is lost before a byte was passed: it is asked for elsewhere.
     The answer of the first attempt comes late and reaches nobody. */
  check ("1 arrive 1 acme api\n"
         "2 open 1/1\n"
         "3 silent 1/1\n"
         "100 tick\n"
         "101 open 1/2\n"
         "102 head 1/1 200\n"
         "103 body 1/1 10\n"
         "104 whole 1/1\n"
         "105 head 1/2 200\n"
         "106 body 1/2 10\n"
         "107 whole 1/2\n",
         "1 arrive 1: connect(1/1 s2)\n"
         "2 open 1/1: send(1/1)\n"
         "3 silent 1/1: cancel(1/1)\n"
         "100 tick : connect(1/2 s1)\n"
         "101 open 1/2: send(1/2)\n"
         "102 head 1/1:\n"
         "103 body 1/1:\n"
         "104 whole 1/1:\n"
         "105 head 1/2:\n"
         "106 body 1/2: pass(1/2)\n"
         "107 whole 1/2: end(1 done)\n");
}

Test (life, refused_listing_moves_on)
{
  /* A backend server refuses a listing without running it, then the other
     one too: not run.  When one of them may have run it, the outcome must
     not be not-run. */
  check ("1 arrive 1 acme api\n"
         "2 open 1/1\n"
         "3 head 1/1 503\n"
         "100 tick\n"
         "101 open 1/2\n"
         "102 head 1/2 503\n"
         "200 arrive 2 acme api\n"
         "201 open 2/1\n"
         "202 broken 2/1\n"
         "300 tick\n"
         "301 open 2/2\n"
         "302 head 2/2 503\n",
         "1 arrive 1: connect(1/1 s2)\n"
         "2 open 1/1: send(1/1)\n"
         "3 head 1/1: cancel(1/1)\n"
         "100 tick : connect(1/2 s1)\n"
         "101 open 1/2: send(1/2)\n"
         "102 head 1/2: cancel(1/2) answer(1 503 backend-refused not-run)\n"
         "200 arrive 2: connect(2/1 s2)\n"
         "201 open 2/1: send(2/1)\n"
         "202 broken 2/1: cancel(2/1)\n"
         "300 tick : connect(2/2 s1)\n"
         "301 open 2/2: send(2/2)\n"
         "302 head 2/2: cancel(2/2) answer(2 503 backend-refused failed)\n");
}

Test (life, stream_resumes)
{
  /* A replica dies in the middle of a stream.  Another goes on from the
     bytes that the caller has; an error in place of the rest cuts. */
  check ("0 replicas r1 r2 r3\n"
         "1 arrive 1 acme lm\n"
         "2 open 1/1\n"
         "3 head 1/1 200\n"
         "4 body 1/1 10\n"
         "5 body 1/1 7\n"
         "6 broken 1/1\n"
         "100 tick\n"
         "101 open 1/2\n"
         "102 head 1/2 200\n"
         "103 body 1/2 5\n"
         "104 silent 1/2\n"
         "300 tick\n"
         "301 open 1/3\n"
         "302 head 1/3 404\n",
         "0 replicas r1:\n"
         "1 arrive 1: connect(1/1 r3)\n"
         "2 open 1/1: send(1/1)\n"
         "3 head 1/1:\n"
         "4 body 1/1: pass(1/1)\n"
         "5 body 1/1:\n"
         "6 broken 1/1: cancel(1/1)\n"
         "100 tick : connect(1/2 r1 from 17)\n"
         "101 open 1/2: send(1/2)\n"
         "102 head 1/2:\n"
         "103 body 1/2: pass(1/2)\n"
         "104 silent 1/2: cancel(1/2)\n"
         "300 tick : connect(1/3 r2 from 22)\n"
         "301 open 1/3: send(1/3)\n"
         "302 head 1/3: cancel(1/3) cut(1 broken failed)\n");
}

Test (life, cut_is_visible)
{
  /* A plain service's answer breaks after bytes were passed.  It can't be
     resumed: the caller must see that it is not whole. */
  check ("1 arrive 1 acme api\n"
         "2 open 1/1\n"
         "3 head 1/1 200\n"
         "4 body 1/1 10\n"
         "5 broken 1/1\n",
         "1 arrive 1: connect(1/1 s2)\n"
         "2 open 1/1: send(1/1)\n"
         "3 head 1/1:\n"
         "4 body 1/1: pass(1/1)\n"
         "5 broken 1/1: cancel(1/1) cut(1 broken failed)\n");
}

Test (life, deadline)
{
  /* A deadline passes while a request connects, waits for the head, and
     streams.  Each is answered at once; only the first surely did not
     run. */
  check ("1 arrive 1 acme api by=100\n"
         "1 arrive 2 acme api by=100\n"
         "2 open 2/1\n"
         "1 arrive 3 acme api by=100\n"
         "3 open 3/1\n"
         "4 head 3/1 200\n"
         "5 body 3/1 10\n"
         "99 tick\n"
         "100 tick\n"
         "200 arrive 4 acme api by=150\n",
         "1 arrive 1: connect(1/1 s2)\n"
         "1 arrive 2: connect(2/1 s1)\n"
         "2 open 2/1: send(2/1)\n"
         "1 arrive 3: connect(3/1 s2)\n"
         "3 open 3/1: send(3/1)\n"
         "4 head 3/1:\n"
         "5 body 3/1: pass(3/1)\n"
         "99 tick :\n"
         "100 tick : cancel(1/1) answer(1 504 deadline not-run) cancel(3/1) "
         "cut(3 deadline failed) cancel(2/1) answer(2 504 deadline failed)\n"
         "200 arrive 4: answer(4 504 deadline not-run)\n");
}

Test (life, caller_gone)
{
  /* The caller leaves: its attempt ends, and what comes late is ignored. */
  check ("1 arrive 1 acme api\n"
         "2 open 1/1\n"
         "3 gone 1\n"
         "4 head 1/1 200\n"
         "5 whole 1/1\n",
         "1 arrive 1: connect(1/1 s2)\n"
         "2 open 1/1: send(1/1)\n"
         "3 gone 1: cancel(1/1)\n"
         "4 head 1/1:\n"
         "5 whole 1/1:\n");
}

Test (life, leaving)
{
  /* A leaving node refuses what arrives, and goes on with the rest. */
  check ("1 arrive 1 acme api\n"
         "1 arrive 2 acme api\n"
         "1 arrive 3 acme api\n"
         "1 arrive 4 acme api\n"
         "1 arrive 5 acme api\n"
         "2 leaving\n"
         "3 arrive 6 acme api\n"
         "4 open 1/1\n"
         "5 head 1/1 200\n"
         "6 whole 1/1\n"
         "7 gone 2\n"
         "8 gone 3\n"
         "9 gone 4\n"
         "10 gone 5\n",
         "1 arrive 1: connect(1/1 s2)\n"
         "1 arrive 2: connect(2/1 s1)\n"
         "1 arrive 3: connect(3/1 s2)\n"
         "1 arrive 4: connect(4/1 s1)\n"
         "1 arrive 5:\n"
         "2 leaving :\n"
         "3 arrive 6: answer(6 503 leaving not-run)\n"
         "4 open 1/1: send(1/1)\n"
         "5 head 1/1:\n"
         "6 whole 1/1: pass(1/1) end(1 done) connect(5/1 s2)\n"
         "7 gone 2: cancel(2/1)\n"
         "8 gone 3: cancel(3/1)\n"
         "9 gone 4: cancel(4/1)\n"
         "10 gone 5: cancel(5/1)\n");
}

Test (life, only_whole_replicas)
{
  /* A replica that misses a VM, is draining, or whose evidence has run out
     gets no new work.  With no other, the caller hears at once; work that
     it has goes on. */
  check ("0 replicas r1/broken r2/draining r3/until=0\n"
         "1 arrive 1 acme lm\n"
         "2 replicas r1 r2/draining r3/until=0\n"
         "3 arrive 2 acme lm\n"
         "4 open 2/1\n"
         "5 replicas r1/broken r2 r3/broken\n"
         "6 arrive 3 acme lm\n"
         "7 down r2\n"
         "8 arrive 4 acme lm\n"
         "9 up r2\n"
         "10 arrive 5 acme lm\n"
         "11 head 2/1 200\n"
         "12 whole 2/1\n"
         "13 gone 3\n"
         "14 gone 5\n",
         "0 replicas r1/broken:\n"
         "1 arrive 1: answer(1 503 no-replica not-run)\n"
         "2 replicas r1:\n"
         "3 arrive 2: connect(2/1 r1)\n"
         "4 open 2/1: send(2/1)\n"
         "5 replicas r1/broken:\n"
         "6 arrive 3: connect(3/1 r2)\n"
         "7 down r2:\n"
         "8 arrive 4: answer(4 503 no-replica not-run)\n"
         "9 up r2:\n"
         "10 arrive 5: connect(5/1 r2)\n"
         "11 head 2/1:\n"
         "12 whole 2/1: pass(2/1) end(2 done)\n"
         "13 gone 3: cancel(3/1)\n"
         "14 gone 5: cancel(5/1)\n");
}

Test (life, not_admitted)
{
  /* Bad names and accounts are told so. */
  check ("0 replicas r1\n"
         "1 arrive 1 acme nothing\n"
         "2 arrive 2 nobody lm\n"
         "3 arrive 3 acme old-api\n",
         "0 replicas r1:\n"
         "1 arrive 1: answer(1 404 no-target not-run)\n"
         "2 arrive 2: answer(2 403 forbidden not-run)\n"
         "3 arrive 3: answer(3 503 not-routed not-run)\n");
}

Test (life, no_head_of_line_blocking)
{
  /* Every slot of one service is taken by stalled calls, and more of them
     wait.  Calls to another target still go at once. */
  check ("0 replicas r1\n"
         "1 arrive* 1-9 acme api\n"
         "2 arrive 20 acme lm\n"
         "3 open 20/1\n"
         "4 head 20/1 200\n"
         "5 whole 20/1\n"
         "6 gone 1\n"
         "7 gone 2\n"
         "8 gone 3\n"
         "9 gone 4\n"
         "10 gone 5\n"
         "11 gone 6\n"
         "12 gone 7\n"
         "13 gone 8\n"
         "14 gone 9\n",
         "0 replicas r1:\n"
         "1 arrive* 1-9: connect(1/1 s2) connect(2/1 s1) connect(3/1 s2) "
         "connect(4/1 s1)\n"
         "2 arrive 20: connect(20/1 r1)\n"
         "3 open 20/1: send(20/1)\n"
         "4 head 20/1:\n"
         "5 whole 20/1: pass(20/1) end(20 done)\n"
         "6 gone 1: cancel(1/1) connect(5/1 s2)\n"
         "7 gone 2: cancel(2/1) connect(6/1 s1)\n"
         "8 gone 3: cancel(3/1) connect(7/1 s2)\n"
         "9 gone 4: cancel(4/1) connect(8/1 s1)\n"
         "10 gone 5: cancel(5/1) connect(9/1 s2)\n"
         "11 gone 6: cancel(6/1)\n"
         "12 gone 7: cancel(7/1)\n"
         "13 gone 8: cancel(8/1)\n"
         "14 gone 9: cancel(9/1)\n");
}
