#include <criterion/criterion.h>

#include "lib-route.h"

/* Account limits at one of four nodes. */

#define CONFIG                                                                \
  "{\"services\":{\"api\":{\"mode\":\"route\",\"capacity\":90,\"backends\":{" \
  "\"s1\":{\"addr\":\"127.0.0.1:11\",\"zone\":\"a\"}}}},"                     \
  "\"accounts\":{"                                                            \
  "\"rate\":{" KEY_DIGESTS ",\"may\":[\"*\"],\"priority\":0,"                 \
  "\"tokens_per_s\":1000},"                                                   \
  "\"few\":{\"key_digests\":[],\"may\":[\"*\"],\"priority\":0,"               \
  "\"concurrency\":8}}}"

static void
check (const char *script, const char *log)
{
  struct script s = script_new (CONFIG, 4);
  script_expect (&s, script, log);
  script_free (&s);
}

Test (limits, rate_before_first_grant)
{
  /* Before the first grant the node may use a quarter of 1000 tokens per
     second. The bucket is refilled over time. */
  check ("0 arrive 1 rate api cost=250\n"
         "1 arrive 2 rate api cost=250\n"
         "101 arrive 3 rate api cost=20\n"
         "102 arrive 4 rate api cost=20\n"
         "1300 arrive 5 rate api cost=250\n"
         "1301 arrive 6 rate api cost=10\n",
         "0 arrive 1: connect(1/1 s1)\n"
         "1 arrive 2: answer(2 429 rate-limit not-run)\n"
         "101 arrive 3: connect(3/1 s1)\n"
         "102 arrive 4: answer(4 429 rate-limit not-run)\n"
         "1300 arrive 5: connect(5/1 s1)\n"
         "1301 arrive 6: answer(6 429 rate-limit not-run)\n");
}

Test (limits, unexecuted_request_is_not_charged)
{
  /* A request that ended as `not-run` is not charged. */
  check ("0 arrive 1 rate api cost=250\n"
         "1 fail 1/1\n"
         "2 arrive 2 rate api cost=250\n"
         "3 arrive 3 rate api cost=10\n",
         "0 arrive 1: connect(1/1 s1)\n"
         "1 fail 1/1: answer(1 503 connect-failed not-run)\n"
         "2 arrive 2: connect(2/1 s1)\n"
         "3 arrive 3: answer(3 429 rate-limit not-run)\n");
}

Test (limits, concurrency_by_share)
{
  /* The node may use a quarter of eight requests, then a granted share
     of three. A share below one still admits one request. */
  check ("0 arrive* 1-3 few api\n"
         "1 share few 0 3 1000\n"
         "2 arrive* 4-5 few api\n"
         "3 share few 0 0.2 1000\n"
         "4 gone 1\n"
         "5 gone 2\n"
         "6 gone 4\n"
         "7 arrive 6 few api\n"
         "8 arrive 7 few api\n",
         "0 arrive* 1-3: connect(1/1 s1) connect(2/1 s1) answer(3 429 "
         "concurrency-limit not-run)\n"
         "1 share few:\n"
         "2 arrive* 4-5: connect(4/1 s1) answer(5 429 concurrency-limit "
         "not-run)\n"
         "3 share few:\n"
         "4 gone 1: cancel(1/1)\n"
         "5 gone 2: cancel(2/1)\n"
         "6 gone 4: cancel(4/1)\n"
         "7 arrive 6: connect(6/1 s1)\n"
         "8 arrive 7: answer(7 429 concurrency-limit not-run)\n");
}

Test (limits, share_decays_after_expiry)
{
  /* The account's home is unreachable. The granted share of seven
     requests is used until it expires. Then its difference from a
     quarter of the limit is halved each second, and the quarter remains. */
  check ("0 share few 0 7 10000\n"
         "1 arrive* 1-8 few api\n"
         "10000 arrive 10 few api\n"
         "10001 gone 1\n"
         "10002 gone 2\n"
         "10003 gone 3\n"
         "10004 gone 4\n"
         "11001 arrive* 11-12 few api\n"
         "90000 gone 5\n"
         "90001 arrive 13 few api\n"
         "90002 gone 6\n"
         "90003 gone 7\n"
         "90004 arrive 14 few api\n"
         "90005 arrive 15 few api\n",
         "0 share few:\n"
         "1 arrive* 1-8: connect(1/1 s1) connect(2/1 s1) connect(3/1 s1) "
         "connect(4/1 s1) connect(5/1 s1) connect(6/1 s1) connect(7/1 s1) "
         "answer(8 429 concurrency-limit not-run)\n"
         "10000 arrive 10: answer(10 429 concurrency-limit not-run)\n"
         "10001 gone 1: cancel(1/1)\n"
         "10002 gone 2: cancel(2/1)\n"
         "10003 gone 3: cancel(3/1)\n"
         "10004 gone 4: cancel(4/1)\n"
         "11001 arrive* 11-12: connect(11/1 s1) answer(12 429 "
         "concurrency-limit not-run)\n"
         "90000 gone 5: cancel(5/1)\n"
         "90001 arrive 13: answer(13 429 concurrency-limit not-run)\n"
         "90002 gone 6: cancel(6/1)\n"
         "90003 gone 7: cancel(7/1)\n"
         "90004 arrive 14: connect(14/1 s1)\n"
         "90005 arrive 15: answer(15 429 concurrency-limit not-run)\n");
}

Test (limits, small_expired_share_grows_to_even_part)
{
  /* An expired share of zero grows to a quarter of the limit. */
  check ("0 share few 0 0 1000\n"
         "1 arrive* 1-2 few api\n"
         "60000 arrive* 3-4 few api\n",
         "0 share few:\n"
         "1 arrive* 1-2: connect(1/1 s1) answer(2 429 concurrency-limit "
         "not-run)\n"
         "60000 arrive* 3-4: connect(3/1 s1) answer(4 429 concurrency-limit "
         "not-run)\n");
}
