#include <criterion/criterion.h>

#include "lib-route.h"

/* One backend server with capacity 1, so that the order of the queued
   requests is visible. */

#define CONFIG                                                                \
  "{\"services\":{\"api\":{\"mode\":\"route\",\"capacity\":1,\"backends\":{"  \
  "\"s1\":{\"addr\":\"127.0.0.1:11\",\"zone\":\"a\"}}}},"                     \
  "\"limits\":{\"max_queue\":6,\"queue_ms\":20000},"                          \
  "\"accounts\":{"                                                            \
  "\"flood\":{" KEY_DIGESTS ",\"may\":[\"*\"],\"priority\":0},"               \
  "\"small\":{\"key_digests\":[],\"may\":[\"*\"],\"priority\":0},"            \
  "\"paid\":{\"key_digests\":[],\"may\":[\"*\"],\"priority\":0,"              \
  "\"weight\":3}}}"

static void
check (const char *script, const char *log)
{
  struct script s = script_new (CONFIG, 1);
  script_expect (&s, script, log);
  script_free (&s);
}

Test (queue, small_account_beside_busy_account)
{
  /* One account fills the queue and another one adds two requests. They
     alternate with the requests of the first account instead of waiting
     for all of them. */
  check ("1 arrive* 1-5 flood api cost=512\n"
         "2 arrive* 101-102 small api cost=512\n"
         "3 serve 7 10\n",
         "1 arrive* 1-5: connect(1/1 s1)\n"
         "2 arrive* 101-102:\n"
         "3 serve 7: 2 101 3 102 4 5\n");
}

Test (queue, shares_by_weight)
{
  /* With both accounts queued, the one of weight 3 gets three requests
     for each one of the other. */
  check ("1 arrive 1 small api cost=512\n"
         "1 arrive* 11-13 small api cost=512\n"
         "1 arrive* 21-23 paid api cost=512\n"
         "3 serve 7 10\n",
         "1 arrive 1: connect(1/1 s1)\n"
         "1 arrive* 11-13:\n"
         "1 arrive* 21-23:\n"
         "3 serve 7: 11 21 22 23 12 13\n");
}

Test (queue, cost_is_counted_in_tokens)
{
  /* Requests of one account cost four times as much, so the other account
     gets four requests for each of these. */
  check ("1 arrive 1 flood api cost=2048\n"
         "1 arrive* 11-12 flood api cost=2048\n"
         "1 arrive* 21-24 small api cost=512\n"
         "3 serve 7 10\n",
         "1 arrive 1: connect(1/1 s1)\n"
         "1 arrive* 11-12:\n"
         "1 arrive* 21-24:\n"
         "3 serve 7: 11 21 22 23 24 12\n");
}

Test (queue, priority_aging)
{
  /* Urgent requests arrive continuously. A request two classes lower is served
     between them after it has waited for two seconds per class, and not
     before. */
  check ("0 arrive 1 flood api\n"
         "1 arrive 2 small api prio=2\n"
         "2 arrive* 3-6 flood api\n"
         "10 serve 3 10\n"
         "100 arrive* 7-9 flood api\n"
         "4100 serve 4 10\n"
         "4200 serve 3 10\n",
         "0 arrive 1: connect(1/1 s1)\n"
         "1 arrive 2:\n"
         "2 arrive* 3-6:\n"
         "10 serve 3: 3 4 5\n"
         "100 arrive* 7-9:\n"
         "4100 serve 4: 2 6 7 8\n"
         "4200 serve 3: 9\n");
}

Test (queue, old_backlog_does_not_delay_urgent_requests)
{
  /* A backlog of the lowest class has waited for long. New urgent
     requests are served before most of it. */
  check ("0 arrive 1 flood api\n"
         "1 arrive* 2-4 flood api prio=3\n"
         "9000 arrive* 11-13 small api\n"
         "9001 serve 7 10\n",
         "0 arrive 1: connect(1/1 s1)\n"
         "1 arrive* 2-4:\n"
         "9000 arrive* 11-13:\n"
         "9001 serve 7: 11 12 2 13 3 4\n");
}

Test (queue, full_queue_drops_least_important)
{
  /* When the queue is full, a more urgent request replaces the newest of the
   * lowest class, and a request of a small account replaces one of a busy
   * account. Otherwise the new request is refused. Refusals are sent at once.
   */
  check ("0 arrive 1 flood api\n"
         "1 arrive* 2-5 flood api\n"
         "2 arrive* 6-7 flood api prio=3\n"
         "3 arrive 8 flood api prio=3\n"
         "4 arrive 9 flood api\n"
         "5 arrive 10 flood api\n"
         "6 arrive 11 flood api\n"
         "7 arrive 12 small api\n",
         "0 arrive 1: connect(1/1 s1)\n"
         "1 arrive* 2-5:\n"
         "2 arrive* 6-7:\n"
         "3 arrive 8: answer(8 503 queue-full not-run)\n"
         "4 arrive 9: answer(7 503 queue-full not-run)\n"
         "5 arrive 10: answer(6 503 queue-full not-run)\n"
         "6 arrive 11: answer(11 503 queue-full not-run)\n"
         "7 arrive 12: answer(10 503 queue-full not-run)\n");
}

Test (queue, queue_timeout)
{
  /* No request completes. One that has waited for queue_ms is refused as
     `not-run`. */
  check ("0 arrive 1 flood api\n"
         "1 arrive 2 small api\n"
         "20000 tick\n"
         "20001 tick\n",
         "0 arrive 1: connect(1/1 s1)\n"
         "1 arrive 2:\n"
         "20000 tick :\n"
         "20001 tick : answer(2 503 queue-full not-run)\n");
}

Test (queue, unachievable_deadline_is_refused_early)
{
  /* Requests have taken 100 ms each. One that would wait for two others
     can't complete within 150 ms and is refused at once; with 400 ms it
     is admitted. An old measurement refuses no request. */
  check ("0 arrive 1 flood api\n"
         "1 arrive 2 flood api\n"
         "1 serve 2 100\n"
         "300 arrive 3 flood api\n"
         "301 arrive 4 flood api\n"
         "302 arrive 5 flood api by=452\n"
         "303 arrive 6 flood api by=703\n"
         "9000 arrive 7 flood api by=9150\n",
         "0 arrive 1: connect(1/1 s1)\n"
         "1 arrive 2:\n"
         "1 serve 2: 2\n"
         "300 arrive 3: connect(3/1 s1)\n"
         "301 arrive 4:\n"
         "302 arrive 5: answer(5 504 deadline not-run)\n"
         "303 arrive 6:\n"
         "9000 arrive 7:\n");
}
