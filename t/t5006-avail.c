/*
 * Request core of a gateway with backend servers that ask for a pause or
 * announce their shutdown. The script language is described in t/lib-route.h.
 */
#include <criterion/criterion.h>

#include "lib-route.h"

#define CONFIG                                                                \
  "{\"models\":{\"lm\":{\"mode\":\"route\",\"vms\":1,\"capacity\":2,"         \
  "\"not_run_status\":[503]}},"                                               \
  "\"services\":{\"api\":{\"mode\":\"route\",\"capacity\":4,"                 \
  "\"not_run_status\":[503],\"backends\":{"                                   \
  "\"b1\":{\"addr\":\"127.0.0.1:1001\",\"zone\":\"a\"}}}},"                   \
  "\"accounts\":{"                                                            \
  "\"acme\":{" KEY_DIGESTS ",\"may\":[\"*\"],\"priority\":0}}}"

/** Runs a script and logs retry delays. */
static void
check (const char *text, const char *log)
{
  struct script s = script_new (CONFIG, 1);
  s.show_delays = true;
  script_expect (&s, text, log);
  script_free (&s);
}

/* Guards against first and second attempts at a paused server. */
Test (route_avail, paused_server_gets_no_attempts)
{
  check ("1 replicas r1 r2\n2 arrive 1 acme lm\n3 open 1/1\n"
         "4 notice 1/1 pause=3000\n4 head 1/1 503\n"
         "5 tick x\n"
         "200 tick x\n201 arrive 2 acme lm\n202 arrive 3 acme lm\n"
         "203 gone 2\n203 gone 3\n203 gone 1\n3010 arrive 4 acme lm\n"
         "3011 arrive 5 acme lm\n",
         "1 replicas r1:\n"
         "2 arrive 1: connect(1/1 r2)\n"
         "3 open 1/1: send(1/1)\n"
         "4 notice 1/1:\n"
         "4 head 1/1: cancel(1/1)\n"
         "5 tick x:\n"
         "200 tick x: connect(1/2 r1)\n"
         "201 arrive 2: connect(2/1 r1)\n"
         "202 arrive 3: connect(3/1 r1)\n"
         "203 gone 2: cancel(2/1)\n"
         "203 gone 3: cancel(3/1)\n"
         "203 gone 1: cancel(1/2)\n"
         "3010 arrive 4: connect(4/1 r1)\n"
         "3011 arrive 5: connect(5/1 r2)\n");
}

/* Guards against a request that is sent although its server has asked for a
   pause while the connection was set up, and against clients that wait for
   servers that are all paused. */
Test (route_avail, connection_and_queue_are_checked)
{
  check ("1 replicas r1\n2 arrive 1 acme lm\n2 arrive 2 acme lm\n"
         "2 arrive* 3-6 acme lm\n3 open 1/1\n4 notice 1/1 pause=3000\n"
         "4 head 1/1 503\n5 open 2/1\n6 arrive 7 acme lm\n"
         "3004 arrive 8 acme lm\n",
         "1 replicas r1:\n"
         "2 arrive 1: connect(1/1 r1)\n"
         "2 arrive 2: connect(2/1 r1)\n"
         "2 arrive* 3-6: connect(3/1 r1)\n"
         "3 open 1/1: send(1/1)\n"
         "4 notice 1/1: answer(4 503 retry=3438 servers-paused not-run) "
         "answer(5 503 retry=3261 servers-paused not-run) answer(6 503 "
         "retry=3142 servers-paused not-run)\n"
         "4 head 1/1: cancel(1/1) answer(1 503 retry=3202 backend-refused "
         "not-run)\n"
         "5 open 2/1: cancel(2/1) answer(2 503 retry=3301 servers-paused "
         "not-run)\n"
         "6 arrive 7: answer(7 503 retry=3225 servers-paused not-run)\n"
         "3004 arrive 8: connect(8/1 r1)\n");
}

/* Guards against new requests to a leaving server; one that it runs goes on.
   The next generation of the replica has another process. */
Test (route_avail, leaving_server_gets_no_requests)
{
  check ("1 replicas r1 r2\n2 arrive 1 acme lm\n3 open 1/1\n"
         "4 notice 1/1 leaving\n4 head 1/1 200\n5 arrive 2 acme lm\n"
         "6 arrive 3 acme lm\n7 arrive 4 acme lm\n8 body 1/1 10\n"
         "9 whole 1/1\n10 replicas r1 r2\n11 arrive 5 acme lm\n12 replicas r1 "
         "r2/gen2\n"
         "13 arrive 6 acme lm\n",
         "1 replicas r1:\n"
         "2 arrive 1: connect(1/1 r2)\n"
         "3 open 1/1: send(1/1)\n"
         "4 notice 1/1:\n"
         "4 head 1/1:\n"
         "5 arrive 2: connect(2/1 r1)\n"
         "6 arrive 3: connect(3/1 r1)\n"
         "7 arrive 4: connect(4/1 r1)\n"
         "8 body 1/1: pass(1/1)\n"
         "9 whole 1/1: end(1 done)\n"
         "10 replicas r1:\n"
         "11 arrive 5:\n"
         "12 replicas r1: connect(5/1 r2)\n"
         "13 arrive 6: connect(6/1 r2)\n");
}

/* Guards against a server of a service that is never used again, as nothing
   tells that another process has taken its place. */
Test (route_avail, service_is_used_again)
{
  check ("2 arrive 1 acme api\n3 open 1/1\n4 notice 1/1 leaving\n"
         "4 head 1/1 200\n5 body 1/1 10\n6 whole 1/1\n7 arrive 2 acme api\n"
         "8 down b1\n9 up b1\n10 arrive 3 acme api\n11 open 3/1\n"
         "12 notice 3/1 leaving\n12 head 3/1 200\n13 whole 3/1\n"
         "60000 tick x\n60001 arrive 4 acme api\n60013 tick x\n"
         "60014 arrive 5 acme api\n",
         "2 arrive 1: connect(1/1 b1)\n"
         "3 open 1/1: send(1/1)\n"
         "4 notice 1/1:\n"
         "4 head 1/1:\n"
         "5 body 1/1: pass(1/1)\n"
         "6 whole 1/1: end(1 done)\n"
         "7 arrive 2: answer(2 503 retry=1000 no-replica not-run)\n"
         "8 down b1:\n"
         "9 up b1:\n"
         "10 arrive 3: connect(3/1 b1)\n"
         "11 open 3/1: send(3/1)\n"
         "12 notice 3/1:\n"
         "12 head 3/1:\n"
         "13 whole 3/1: pass(3/1) end(3 done)\n"
         "60000 tick x:\n"
         "60001 arrive 4: answer(4 503 retry=1000 no-replica not-run)\n"
         "60013 tick x:\n"
         "60014 arrive 5: connect(5/1 b1)\n");
}
