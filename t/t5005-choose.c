#include <criterion/criterion.h>

#include "lib-route.h"

/* Choice of the replica; each one has a capacity of four. */

#define CONFIG                                                                \
  "{\"models\":{\"lm\":{\"mode\":\"route\",\"vms\":1,\"capacity\":4}},"       \
  "\"accounts\":{"                                                            \
  "\"acme\":{" KEY_DIGESTS ",\"may\":[\"*\"],\"priority\":0}}}"

static void
check (const char *script, const char *log)
{
  struct script s = script_new (CONFIG, 2);
  script_expect (&s, script, log);
  script_free (&s);
}

Test (choose, expired_status_excludes_replica)
{
  /* A replica whose status has expired gets no new requests, even if no event
     followed the last choice. */
  check ("0 replicas r1/until=100 r2\n"
         "99 arrive* 1-4 acme lm\n"
         "100 arrive* 5-7 acme lm\n",
         "0 replicas r1/until=100:\n"
         "99 arrive* 1-4: connect(1/1 r2) connect(2/1 r1) connect(3/1 r2) "
         "connect(4/1 r1)\n"
         "100 arrive* 5-7: connect(5/1 r2) connect(6/1 r2) connect(7/1 r2)\n");
}

Test (choose, fewest_local_requests)
{
  /* Each of three replicas gets one request before any gets a second. */
  check ("0 replicas r1 r2 r3\n"
         "1 arrive* 1-3 acme lm\n"
         "2 gone 1\n"
         "3 arrive 4 acme lm\n",
         "0 replicas r1:\n"
         "1 arrive* 1-3: connect(1/1 r3) connect(2/1 r1) connect(3/1 r2)\n"
         "2 gone 1: cancel(1/1)\n"
         "3 arrive 4: connect(4/1 r3)\n");
}

Test (choose, reported_full)
{
  /* A new report shows that other gateways have filled one replica. */
  check ("0 replicas r1 r2\n"
         "1 arrive 1 acme lm\n"
         "2 gone 1\n"
         "3 replicas r1/n=500 r2/n=0\n"
         "4 arrive* 2-4 acme lm\n",
         "0 replicas r1:\n"
         "1 arrive 1: connect(1/1 r2)\n"
         "2 gone 1: cancel(1/1)\n"
         "3 replicas r1/n=500:\n"
         "4 arrive* 2-4: connect(2/1 r2) connect(3/1 r2) connect(4/1 r2)\n");
}

Test (choose, prefix_affinity_while_slots_are_free)
{
  /* Requests with one prefix go to one replica although others are idle, until
     it has few free slots. */
  check ("0 replicas r1 r2 r3 r4\n"
         "1 arrive 1 acme lm prefix=7\n"
         "2 open 1/1\n"
         "3 head 1/1 200\n"
         "4 body 1/1 1\n"
         "5 gone 1\n"
         "6 arrive 2 acme lm prefix=7\n"
         "7 gone 2\n"
         "8 arrive* 3-8 acme lm prefix=7\n",
         "0 replicas r1:\n"
         "1 arrive 1: connect(1/1 r4)\n"
         "2 open 1/1: send(1/1)\n"
         "3 head 1/1:\n"
         "4 body 1/1: pass(1/1)\n"
         "5 gone 1: cancel(1/1)\n"
         "6 arrive 2: connect(2/1 r4)\n"
         "7 gone 2: cancel(2/1)\n"
         "8 arrive* 3-8: connect(3/1 r4) connect(4/1 r3) connect(5/1 r4) "
         "connect(6/1 r3) connect(7/1 r4) connect(8/1 r2)\n");
}

Test (choose, requests_wait_when_all_slots_are_taken)
{
  /* Both replicas are full. Further requests wait at the gateway until a
     slot becomes free. */
  check ("0 replicas r1 r2\n"
         "1 arrive* 1-12 acme lm\n"
         "2 gone 1\n",
         "0 replicas r1:\n"
         "1 arrive* 1-12: connect(1/1 r2) connect(2/1 r1) connect(3/1 r2) "
         "connect(4/1 r1) connect(5/1 r2) connect(6/1 r1) connect(7/1 r2) "
         "connect(8/1 r1) connect(9/1 r2) connect(10/1 r1)\n"
         "2 gone 1: cancel(1/1) connect(11/1 r2)\n");
}

Test (choose, same_zone_without_fresh_reports)
{
  /* With equal local load, the replica in the gateway's zone is preferred with
     high probability. */
  check ("0 replicas r1 r2/far\n"
         "1 arrive 1 acme lm\n"
         "2 gone 1\n"
         "3 arrive 2 acme lm\n"
         "4 gone 2\n"
         "5 arrive 3 acme lm\n"
         "6 gone 3\n"
         "7 arrive 4 acme lm\n"
         "8 gone 4\n"
         "9 arrive 5 acme lm\n",
         "0 replicas r1:\n"
         "1 arrive 1: connect(1/1 r1)\n"
         "2 gone 1: cancel(1/1)\n"
         "3 arrive 2: connect(2/1 r1)\n"
         "4 gone 2: cancel(2/1)\n"
         "5 arrive 3: connect(3/1 r1)\n"
         "6 gone 3: cancel(3/1)\n"
         "7 arrive 4: connect(4/1 r1)\n"
         "8 gone 4: cancel(4/1)\n"
         "9 arrive 5: connect(5/1 r1)\n");
}
