#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "store/budget.h"
#include "t/lib-net.h"

/*
 * The budget over an adapter that writes down what reaches it and never
 * answers.  Calls are named by their key.
 */
struct bench
{
  struct run run;
  struct store *store;
  bool quiet;
};

static void
sent (struct bench *b, const char *kind, struct str name)
{
  if (!b->quiet)
    run_log (&b->run, "%s %.*s sent", kind, STR_ARG (name));
}

static void
fake_range (void *self, struct str key, struct str end, store_cb cb, void *ctx)
{
  sent (self, "range", key);
}

static void
fake_txn (void *self, const struct store_txn *t, store_cb cb, void *ctx)
{
  sent (self, "txn", t->puts[0].key);
}

static void *
fake_watch (void *self, struct str key, struct str end, int64_t from,
            const struct store_watch_cb *cb, void *ctx)
{
  sent (self, "watch", key);
  return self;
}

static void
fake_watch_stop (void *self, void *watch)
{
}

static void
fake_free (void *self)
{
}

static const struct store_ops ops = { .range = fake_range,
                                      .txn = fake_txn,
                                      .watch = fake_watch,
                                      .watch_stop = fake_watch_stop,
                                      .free = fake_free };

static void
on_result (void *ctx, const struct store_result *r)
{
  struct bench *b = ctx;

  run_log (&b->run, "result %s",
           r->status == STORE_OVER_BUDGET ? "over-budget" : "other");
}

static void
on_watch_end (void *ctx, enum store_status why)
{
  struct bench *b = ctx;

  run_log (&b->run, "watch %s",
           why == STORE_OVER_BUDGET ? "over-budget" : "ended");
}

static enum store_priority
priority (struct str word)
{
  static const char *const names[]
      = { "ownership", "claims", "assignment", "config", "roster" };

  for (int p = 0; p < STORE_PRIORITIES; p++)
    if (str_is (word, names[p]))
      return p;
  cr_assert (false, "no such priority");
  return STORE_PRIORITIES;
}

/* Use up what a second's budget of ten lets through at once. */
static void
burst (struct bench *b)
{
  struct store_put put = { STR ("k"), STR ("v"), 0 };
  struct store_txn t = { .puts = &put, .nputs = 1 };

  b->quiet = true;
  for (int i = 0; i < 10; i++)
    {
      store_txn (b->store, STORE_ROSTER, &t, NULL, NULL);
      store_range (b->store, STORE_ROSTER, put.key, STR_EMPTY, NULL, NULL);
    }
  b->quiet = false;
}

/* "burst", "sleep" (time for one token), "write PRIORITY NAME" and "read
 * PRIORITY NAME", "watch NAME". */
static void
step (void *ctx, struct str word, struct str rest)
{
  static const struct store_watch_cb watch_cb = { NULL, on_watch_end };
  struct bench *b = ctx;
  size_t space = str_chr (rest, ' ');
  struct str name = str_skip (rest, space + 1);
  struct store_put put = { name, STR ("v"), 0 };
  struct store_txn t = { .puts = &put, .nputs = 1 };

  if (str_is (word, "write"))
    store_txn (b->store, priority (str_head (rest, space)), &t, on_result, b);
  else if (str_is (word, "read"))
    store_range (b->store, priority (str_head (rest, space)), name, STR_EMPTY,
                 on_result, b);
  else if (str_is (word, "watch"))
    store_watch (b->store, rest, STR_EMPTY, 1, &watch_cb, b);
  else if (str_is (word, "burst"))
    burst (b);
  else if (str_is (word, "sleep"))
    uv_sleep (150);
  else if (str_is (word, "forget"))
    store_forget (b->store, b);
  else
    cr_assert (false, "no such word");
}

static void
play (double writes, double reads, const char *script, const char *expected)
{
  struct bench b = { 0 };
  struct store_budget budget = { writes, reads };

  run_init (&b.run);
  b.store = store_new (&b.run.loop, &ops, &b, &budget);
  run_script (&b.run, script, step, &b);
  store_free (b.store);
  run_end (&b.run, expected);
}

/*
 * The burst is spent and calls of all priorities wait.  They go out by
 * priority, within one in the order of their coming: an owner's lease is
 * not lost behind a crowd of roster entries.
 */
Test (budget, waiting_calls_go_by_priority)
{
  play (10, 10,
        "burst\n write roster c\n write config d\n write ownership e\n"
        "write claims f\n write ownership g\n wait txn f sent\n forget",
        "txn e sent\ntxn g sent\ntxn f sent\n");
}

/*
 * A token has come while this process did something else, and a new call is
 * there before the timer that serves those who wait.  It does not overtake
 * them: under steady load they would wait until they are given up.
 */
Test (budget, newcomer_does_not_overtake)
{
  play (10, 10,
        "burst\n write claims a\n sleep\n write claims b\n"
        "wait txn b sent",
        "txn a sent\ntxn b sent\n");
}

/* After a quiet hour a second's worth of calls goes out at once, no more: an
   hour's worth would be the outage that the budget is there to prevent. */
Test (budget, burst_is_a_seconds_worth)
{
  struct store_budget rates = { 10, 10 };
  struct bud b;
  int n = 0;

  bud_init (&b, &rates, 0);
  while (n < 1000 && bud_admit (&b, BUD_WRITES, STORE_CLAIMS, 60 * CLK_MINUTE))
    n++;
  cr_expect_eq (n, 10);
}

/* Reads have a budget of their own: writes that wait hold none of them. */
Test (budget, reads_and_writes_apart)
{
  play (10, 100,
        "burst\n write config b\n read config c\n watch d\n"
        "wait txn b sent",
        "range c sent\nwatch d sent\ntxn b sent\n");
}

/*
 * The budget is used up for good.  A call is answered after two seconds as
 * not sent; it neither waits for ever nor goes out late.
 */
Test (budget, long_wait_ends_unsent)
{
  play (0, 0,
        "write claims a\n watch b\n read config c\n"
        "wait result over-budget\n wait watch over-budget\n"
        "wait result over-budget",
        "result over-budget\nwatch over-budget\nresult over-budget\n");
}

/*
 * The process was stopped for longer than a call may wait.  On waking it has
 * tokens again, but the write from before the stop must not go out: its
 * owner may have lost its lease meanwhile.
 */
Test (budget, write_from_before_a_pause_is_not_sent)
{
  struct bench b = { 0 };
  struct store_budget budget = { 1, 1 };

  run_init (&b.run);
  b.store = store_new (&b.run.loop, &ops, &b, &budget);
  run_script (&b.run, "write claims a\n write claims b", step, &b);
  uv_sleep (STORE_WAIT_MS + 100);
  run_script (&b.run, "wait result over-budget", step, &b);
  store_free (b.store);
  run_end (&b.run, "txn a sent\nresult over-budget\n");
}
