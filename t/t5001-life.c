#include <criterion/criterion.h>

#include "lib-route.h"

/* Life cycle of single requests, with one model of three replicas and one
   service of two backend servers. */

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
  cr_expect_eq (rt_open_requests (s.rt), 0, "%zu requests left",
                rt_open_requests (s.rt));
  script_free (&s);
}

Test (lifecycle, plain_request)
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

Test (lifecycle, non_idempotent_request_is_not_resent)
{
  /* A non-idempotent request is sent, then the attempt times out or
     breaks. A retry could execute it twice, so the outcome is `unknown`. */
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

Test (lifecycle, unsent_non_idempotent_request_is_retried)
{
  /* The first backend server refuses the connection. Nothing was sent,
     so another server is tried even for a non-idempotent request; if
     none can be reached, the outcome is `not-run`. */
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

Test (lifecycle, refused_non_idempotent_request_is_not_run)
{
  /* The backend server responds with the status that means "not executed". A
     non-idempotent request gets no second attempt after this. */
  check ("1 arrive 1 acme api once\n"
         "2 open 1/1\n"
         "3 head 1/1 503\n",
         "1 arrive 1: connect(1/1 s2 fresh)\n"
         "2 open 1/1: send(1/1)\n"
         "3 head 1/1: cancel(1/1) answer(1 503 backend-refused not-run)\n");
}

Test (lifecycle, claim_precedes_connect)
{
  /* A request with a key is connected only after its claim was granted,
     and its complete response is stored with the claim. */
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

Test (lifecycle, claim_verdicts)
{
  /* A request whose key was used before gets the stored response or an error,
     and is not sent. Nothing is sent either while the store is unavailable. */
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

Test (lifecycle, claim_is_released_when_not_run)
{
  /* The claim is released when the request was not executed; otherwise the
   * client's retry would get `key-unknown`. */
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

Test (lifecycle, claim_is_kept_when_request_may_have_run)
{
  /* The response to a request with a key is lost or incomplete. The claim is
     kept, so that a repeated request is not executed. The claim's home is
     notified that no response will follow; otherwise repeated requests would
     get `key-running` for minutes. The partial response is not stored. */
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

Test (lifecycle, expired_grant_is_renewed)
{
  /* Connecting takes longer than a grant is valid. The home may have granted
   * the key to a repeated request meanwhile, so the claim is requested again
   * before the request is sent. */
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

Test (lifecycle, idempotent_request_is_retried)
{
  /* An attempt of an idempotent request fails before any byte was
     forwarded, and another server is tried. Late events of the first
     attempt are ignored. */
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

Test (lifecycle, refused_idempotent_request_is_retried)
{
  /* Both backend servers refuse an idempotent request without executing it:
     `not-run`. If an earlier attempt may have run, the outcome is `failed`. */
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

Test (lifecycle, stream_resumes)
{
  /* A replica fails in the middle of a stream. Another one resumes at
     the number of forwarded bytes; an error response instead of the rest
     aborts the stream. */
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

Test (lifecycle, truncated_response_is_detectable)
{
  /* The response of a service breaks after bytes were forwarded. It can't be
     resumed, so the client must be able to detect the truncation. */
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

Test (lifecycle, deadline)
{
  /* The deadline passes while requests connect, wait for the head and
     stream. Each is ended at once; only the first one is `not-run`. */
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

Test (lifecycle, caller_gone)
{
  /* The client disconnects: the attempt is canceled, and late events are
     ignored. */
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

Test (lifecycle, leaving)
{
  /* A node that shuts down refuses new requests and completes the others. */
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

Test (lifecycle, only_complete_replicas)
{
  /* A replica that lacks a VM, is draining or has an expired status gets
     no new requests; those in flight continue. Without any other
     replica, new requests are refused at once. */
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

Test (lifecycle, not_admitted)
{
  /* Unknown targets, unknown accounts and targets in mode observe are
     refused with different codes. */
  check ("0 replicas r1\n"
         "1 arrive 1 acme nothing\n"
         "2 arrive 2 nobody lm\n"
         "3 arrive 3 acme old-api\n",
         "0 replicas r1:\n"
         "1 arrive 1: answer(1 404 no-target not-run)\n"
         "2 arrive 2: answer(2 403 forbidden not-run)\n"
         "3 arrive 3: answer(3 503 not-routed not-run)\n");
}

Test (lifecycle, no_head_of_line_blocking)
{
  /* Stalled requests occupy all capacity of one service, and more are queued.
     Requests to another target are still sent at once. */
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

/* Guards against a stream being cut because its replica is withdrawn: it is
   reported incomplete, or no longer listed. */
Test (lifecycle, withdrawn_replica_finishes_its_requests)
{
  check ("0 replicas r1 r2\n"
         "1 arrive 1 acme lm\n"
         "2 open 1/1\n"
         "3 head 1/1 200\n"
         "4 body 1/1 10\n"
         "5 replicas r1/broken r2/broken\n"
         "6 body 1/1 10\n"
         "7 replicas\n"
         "5000 tick\n"
         "5001 body 1/1 10\n"
         "5002 whole 1/1\n",
         "0 replicas r1:\n"
         "1 arrive 1: connect(1/1 r2)\n"
         "2 open 1/1: send(1/1)\n"
         "3 head 1/1:\n"
         "4 body 1/1: pass(1/1)\n"
         "5 replicas r1/broken:\n"
         "6 body 1/1:\n"
         "7 replicas :\n"
         "5000 tick :\n"
         "5001 body 1/1:\n"
         "5002 whole 1/1: end(1 done)\n");
}
