#include <criterion/criterion.h>

#include "lib-route.h"

/* Slot requests of a gateway to the model's home, and failures of the home. */

#define CONFIG                                                                \
  "{\"models\":{\"lm\":{\"mode\":\"route\",\"vms\":1,\"capacity\":1}},"       \
  "\"limits\":{\"queue_ms\":5000},"                                           \
  "\"accounts\":{\"acme\":{" KEY_DIGESTS ",\"may\":[\"*\"]}}}"

static void
check (const char *script, const char *log)
{
  struct script s = script_new (CONFIG, 1);
  script_expect (&s, script, log);
  script_free (&s);
}

Test (slot, granted)
{
  /* The replica granted by the home is used, and the claim follows the
     slot. The gateway releases the slot at the end of the request, also
     when the client disconnects while the request is queued at the home. */
  check ("1 replicas r1 r2\n2 home on\n3 arrive 1 acme lm\n"
         "4 slot 1 granted r2\n5 open 1/1\n6 head 1/1 200\n7 whole 1/1\n"
         "8 arrive 2 acme lm once key\n9 slot 2 granted r1\n"
         "10 claim 2 granted\n11 arrive 3 acme lm\n12 slot 3 queued\n"
         "13 gone 3\n14 slot 3 granted r2\n"
         "15 arrive 4 acme lm\n16 slot 4 refused\n",
         "1 replicas r1:\n2 home on:\n3 arrive 1: ask(1)\n"
         "4 slot 1: connect(1/1 r2)\n5 open 1/1: send(1/1)\n6 head 1/1:\n"
         "7 whole 1/1: pass(1/1) slot-done(1) end(1 done)\n"
         "8 arrive 2: ask(2)\n9 slot 2: claim(2)\n"
         "10 claim 2: connect(2/1 r1 fresh)\n11 arrive 3: ask(3)\n"
         "12 slot 3:\n13 gone 3: slot-done(3)\n14 slot 3:\n"
         "15 arrive 4: ask(4)\n"
         "16 slot 4: answer(4 504 deadline not-run) slot-done(4)\n");
}

Test (slot, home_without_reply)
{
  /* The home does not reply. A request waits for 50 ms at most. After three
     timeouts the gateway sends no slot requests for 2 s and chooses replicas
     for the requests queued at the home; otherwise these would wait until
     their deadline. A late grant does not start a second attempt. */
  check ("1 replicas r1 r2 r3 r4 r5 r6\n2 home on\n"
         "3 arrive 9 acme lm\n4 slot 9 queued\n"
         "10 arrive 1 acme lm\n20 arrive 2 acme lm\n30 arrive 3 acme lm\n"
         "59 tick\n60 tick\n70 tick\n75 slot 1 granted r6\n80 tick\n"
         "90 arrive 4 acme lm\n91 slot 9 granted r6\n"
         "2080 arrive 5 acme lm\n",
         "1 replicas r1:\n2 home on:\n3 arrive 9: ask(9)\n4 slot 9:\n"
         "10 arrive 1: ask(1)\n20 arrive 2: ask(2)\n30 arrive 3: ask(3)\n"
         "59 tick :\n60 tick : connect(1/1 r4) taken(1 r4)\n"
         "70 tick : connect(2/1 r6) taken(2 r6)\n75 slot 1:\n"
         "80 tick : connect(3/1 r2) taken(3 r2) connect(9/1 r5) taken(9 r5)\n"
         "90 arrive 4: connect(4/1 r1) taken(4 r1)\n91 slot 9:\n"
         "2080 arrive 5: ask(5)\n");
}

Test (slot, home_lost)
{
  /* The link to the home is lost while two requests wait there, one of
     them non-idempotent: the gateway chooses a replica for each, once. */
  check ("1 replicas r1 r2\n2 home on\n3 arrive 1 acme lm once\n"
         "4 slot 1 queued\n5 arrive 2 acme lm\n6 home off\n"
         "7 slot 1 granted r1\n8 open 1/1\n9 slot 1 granted r2\n"
         "10 home on\n60 tick\n",
         "1 replicas r1:\n2 home on:\n3 arrive 1: ask(1)\n4 slot 1:\n"
         "5 arrive 2: ask(2)\n"
         "6 home off: connect(1/1 r2 fresh) connect(2/1 r1)\n"
         "7 slot 1:\n8 open 1/1: send(1/1)\n9 slot 1:\n10 home on:\n"
         "60 tick :\n");
}

Test (slot, unusable_grant)
{
  /* The home grants a replica that this gateway considers unusable, or that is
     not in its list. The gateway returns the slot and chooses a replica
     itself. It also chooses the replica of a retry itself, and reports these
     choices. */
  check ("1 replicas r1/broken r2 r3\n2 home on\n3 arrive 1 acme lm\n"
         "4 slot 1 granted r1\n5 fail 1/1\n6 arrive 2 acme lm\n"
         "7 slot 2 granted nobody\n8 arrive 3 acme lm\n9 slot 3 queued\n"
         "5009 tick\n",
         "1 replicas r1/broken:\n2 home on:\n3 arrive 1: ask(1)\n"
         "4 slot 1: slot-done(1) connect(1/1 r3) taken(1 r3)\n"
         "5 fail 1/1: slot-done(1 failed) connect(1/2 r2) taken(1 r2)\n"
         "6 arrive 2: ask(2)\n"
         "7 slot 2: slot-done(2) connect(2/1 r3) taken(2 r3)\n"
         "8 arrive 3: ask(3)\n9 slot 3:\n"
         "5009 tick : answer(3 503 queue-full not-run) slot-done(3)\n");
}
