#include <criterion/criterion.h>
#include <stdio.h>

#include "lib-route.h"

/* Ejection of outliers, and retries when all servers of a target fail. */

#define CONFIG                                                                \
  "{\"models\":{\"lm\":{\"mode\":\"route\",\"vms\":1,\"capacity\":90}},"      \
  "\"accounts\":{"                                                            \
  "\"acme\":{" KEY_DIGESTS ",\"may\":[\"*\"],\"priority\":0}}}"

static void
log_ejected (struct script *s)
{
  size_t n;
  const struct rt_server_stats *v = rt_get_server_stats (s->rt, &n);
  for (size_t i = 0; i < n; i++)
    if (v[i].ejected)
      buf_addf (&s->log, "%.*s ", STR_ARG (v[i].name));
}

/** Run @p n rounds of twelve requests, then log the ejected servers. */
static void
run_rounds (struct script *s, int n)
{
  char line[64];
  for (int i = 0; i < n; i++)
    {
      snprintf (line, sizeof line, "%lld arrive* %d-%d acme lm",
                (long long)s->now, 1000 + 12 * i, 1011 + 12 * i);
      script_run (s, line);
      snprintf (line, sizeof line, "%lld serve 12 20", (long long)s->now);
      script_run (s, line);
    }
  buf_clear (&s->log);
  log_ejected (s);
}

/** Number of attempts for @p calls idempotent requests if each attempt
    breaks. */
static size_t
count_attempts_when_all_break (struct script *s, int calls)
{
  size_t attempts = 0;
  char line[64];
  for (int i = 0; i < calls || s->nrunning; i++)
    {
      if (i < calls)
        {
          snprintf (line, sizeof line, "%lld arrive %d acme lm",
                    (long long)s->now, 5000 + i);
          script_run (s, line);
        }
      attempts += s->nrunning != 0;
      snprintf (line, sizeof line, "%lld break 1 10", (long long)s->now);
      script_run (s, line);
    }
  return attempts;
}

Test (faults, slow_server_is_ejected_and_returns)
{
  /* r6 responds thirty times as slowly as its peers and is ejected. After the
     ejection time one probe request finds it still slow, and it is ejected for
     longer. When it is fast again, the next probe ends the ejection. */
  struct script s = script_new (CONFIG, 1);
  script_run (&s, "1 replicas r1 r2 r3 r4 r5 r6\n2 pace r6 600\n");
  run_rounds (&s, 12);
  cr_expect_str_eq (buf_c (&s.log), "r6 ");
  uint64_t before = rt_get_server_stats (s.rt, &(size_t){ 0 })[5].done;
  s.now += 5000;
  run_rounds (&s, 4);
  cr_expect_str_eq (buf_c (&s.log), "r6 ");
  cr_expect_eq (rt_get_server_stats (s.rt, &(size_t){ 0 })[5].done,
                before + 1);
  s.now += 10000;
  s.slow_ms = 20;
  run_rounds (&s, 4);
  cr_expect_str_eq (buf_c (&s.log), "");
  script_free (&s);
}

/** run_rounds() with requests that are not idempotent. */
static void
run_rounds_once (struct script *s, int n)
{
  char line[64];
  for (int i = 0; i < n; i++)
    {
      snprintf (line, sizeof line, "%lld arrive* %d-%d acme lm once",
                (long long)s->now, 1000 + 12 * i, 1011 + 12 * i);
      script_run (s, line);
      snprintf (line, sizeof line, "%lld serve 12 20", (long long)s->now);
      script_run (s, line);
    }
  buf_clear (&s->log);
  log_ejected (s);
}

/* Guards against an ejected server that is never used again because no request
   is idempotent. */
Test (faults, ejection_ends_without_idempotent_requests)
{
  struct script s = script_new (CONFIG, 1);
  script_run (&s, "1 replicas r1 r2 r3 r4 r5 r6\n2 pace r6 600\n");
  run_rounds_once (&s, 12);
  cr_assert_str_eq (buf_c (&s.log), "r6 ");
  s.slow_ms = 20;
  s.now += 30000;
  run_rounds_once (&s, 4);
  cr_expect_str_eq (buf_c (&s.log), "r6 ");
  s.now += 40000;
  run_rounds_once (&s, 4);
  cr_expect_str_eq (buf_c (&s.log), "");
  script_free (&s);
}

Test (faults, at_most_a_third_is_ejected)
{
  /* Four of six servers fail every request. Ejecting all four would
     overload the other two. */
  struct script s = script_new (CONFIG, 1);
  script_run (&s, "1 replicas r1 r2 r3 r4 r5 r6\n");
  count_attempts_when_all_break (&s, 100);
  buf_clear (&s.log);
  log_ejected (&s);
  size_t ejected = 0;
  for (const char *c = buf_c (&s.log); *c; c++)
    ejected += *c == 'r';
  cr_expect_eq (ejected, 2, "ejected: %s", buf_c (&s.log));
  script_free (&s);
}

Test (faults, retry_budget_limits_attempts)
{
  /* Every attempt breaks once sent. Three retries per request would put
     four times the load on a failed target; the budget allows a few
     retries, then one per ten successes. */
  struct script s = script_new (CONFIG, 1);
  script_run (&s, "1 replicas r1 r2 r3\n");
  size_t attempts = count_attempts_when_all_break (&s, 200);
  cr_expect_leq (attempts, 210, "%zu attempts for 200 calls", attempts);
  run_rounds (&s, 10);
  attempts = count_attempts_when_all_break (&s, 100);
  cr_expect_leq (attempts, 116, "%zu attempts for 100 calls", attempts);
  cr_expect_geq (attempts, 105, "%zu attempts for 100 calls", attempts);
  script_free (&s);
}

Test (faults, new_generation_resets_statistics)
{
  /* The VMs of a replica were replaced: the statistics of the old ones
     don't apply to the new ones. */
  struct script s = script_new (CONFIG, 1);
  script_run (&s, "1 replicas r1 r2 r3\n2 pace r3 600\n");
  run_rounds (&s, 12);
  cr_expect_str_eq (buf_c (&s.log), "r3 ");
  script_run (&s, "100000 replicas r1 r2 r3/gen2\n");
  buf_clear (&s.log);
  log_ejected (&s);
  cr_expect_str_eq (buf_c (&s.log), "");
  script_free (&s);
}
