/*
 * Scripts for the claim core over a small store.  Lines of a script:
 *   hN take KEY ATTEMPT [OTHER]   ask home N; OTHER: of another request
 *   hN last KEY ATTEMPT           likewise, nobody else will be asked
 *   hN release KEY ATTEMPT
 *   hN finish KEY ATTEMPT TEXT
 *   ok N | apply N | answer N     the store executes call N, tells the core
 *   lost N | down N               the core is told uncertain, unavailable
 *   all                           ok for every call, until none is open
 *   +MS                           time passes, every core ticks
 *   sleep MS                      time passes, no core runs (frozen)
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim/core.h"
#include "t/lib-claim.h"

static const char *const verdicts[]
    = { "granted",  "running",     "answered", "unknown",
        "mismatch", "unavailable", "done" };

struct run
{
  struct cw w;
  struct buf log;
};

static void
on_reply (void *ctx, int home, const struct clm_reply *r)
{
  struct run *run = ctx;

  buf_addf (&run->log, "  h%d %c/%c %s", home + 1, (char)(r->id >> 8),
            (char)r->id, verdicts[r->verdict]);
  if (r->verdict == CLM_ANSWERED)
    buf_addf (&run->log, " %d %.*s", r->answer_status, STR_ARG (r->answer));
  buf_add_char (&run->log, '\n');
}

static void
ask (struct run *run, int home, const char *kind, char key, char attempt,
     const char *rest)
{
  struct clm_ask a = { .id = (uint64_t)key << 8 | (uint64_t)attempt };

  a.key[0] = (uint8_t)key;
  a.attempt[0] = (uint8_t)attempt;
  a.final = strcmp (kind, "last") == 0;
  if (strcmp (kind, "release") == 0)
    a.kind = CLM_RELEASE;
  else if (strcmp (kind, "finish") == 0)
    {
      a.kind = CLM_FINISH;
      a.answer_status = 200;
      a.answer = str_from (rest);
    }
  else
    a.fingerprint[0] = (uint8_t)rest[0];
  clm_ask (run->w.homes[home], run->w.now, &a);
  cw_drain (&run->w, home);
}

static void
all (struct run *run)
{
  bool again = true;

  while (again)
    {
      again = false;
      for (size_t i = 0; i < CW_CALLS; i++)
        {
          struct cw_call *c = &run->w.calls[i];
          if (!c->used || c->answered)
            continue;
          cw_apply (&run->w, c);
          cw_answer (&run->w, c, STORE_OK);
          again = true;
        }
    }
}

static void
pass (struct run *run, clk_ms ms)
{
  run->w.now += ms;
  for (size_t i = 0; i < run->w.nhomes; i++)
    {
      clm_tick (run->w.homes[i], run->w.now);
      cw_drain (&run->w, (int)i);
    }
}

static void
on_call (struct run *run, const char *verb, unsigned no)
{
  struct cw_call *c = cw_call (&run->w, no);

  cr_assert (c, "no call %u", no);
  if (strcmp (verb, "ok") == 0 || strcmp (verb, "apply") == 0)
    cw_apply (&run->w, c);
  if (strcmp (verb, "ok") == 0 || strcmp (verb, "answer") == 0)
    cw_answer (&run->w, c, STORE_OK);
  if (strcmp (verb, "lost") == 0)
    cw_answer (&run->w, c, STORE_UNCERTAIN);
  if (strcmp (verb, "down") == 0)
    cw_answer (&run->w, c, STORE_UNAVAILABLE);
}

static void
line (struct run *run, const char *l)
{
  char verb[16], key, attempt, rest[32] = "";
  int home, ms;

  buf_addf (&run->log, "%s\n", l);
  if (sscanf (l, "h%d %15s %c %c %31s", &home, verb, &key, &attempt, rest)
      >= 4)
    ask (run, home - 1, verb, key, attempt, rest);
  else if (sscanf (l, "+%d", &ms) == 1)
    pass (run, ms);
  else if (sscanf (l, "sleep %d", &ms) == 1)
    run->w.now += ms;
  else if (strcmp (l, "all") == 0)
    all (run);
  else if (sscanf (l, "%15s %d", verb, &home) == 2)
    on_call (run, verb, (unsigned)home);
  else
    cr_assert_fail ("bad line: %s", l);
}

static struct clm_options
options (void)
{
  return (struct clm_options){ .prefix = STR ("/t/"),
                               .window = 60 * CLK_SECOND,
                               .kept_bytes = 64,
                               .boot = 1 };
}

/** Lines of the expected log that begin with a blank are outcomes; the
    others are the script. */
static void
expect (const char *expected)
{
  struct run run = { 0 };
  struct clm_options opt = options ();
  char *text = xstrdup (expected);
  char *save = NULL;

  cw_init (&run.w, 2, &opt, 7);
  run.w.log = &run.log;
  run.w.on_reply = on_reply;
  run.w.ctx = &run;
  for (char *l = strtok_r (text, "\n", &save); l;
       l = strtok_r (NULL, "\n", &save))
    if (l[0] != ' ')
      line (&run, l);
  cr_expect_str_eq (buf_c (&run.log), expected, "\n--- got\n%s--- want\n%s",
                    buf_c (&run.log), expected);
  cw_clear (&run.w);
  buf_free (&run.log);
  free (text);
}

Test (claim, first_use_reads_then_writes)
{
  expect ("h1 take k A\n"
          "  h1 #1 read from 0\n"
          "ok 1\n"
          "  h1 #2 grant 120000\n"
          "ok 2\n"
          "  h1 #3 write base=0 take:k/A\n"
          "ok 3\n"
          "  h1 k/A granted\n"
          "h1 take k A\n"
          "  h1 k/A granted\n"
          "h1 take k B\n"
          "  h1 k/B running\n"
          "h1 take k C x\n"
          "  h1 k/C mismatch\n"
          "h1 finish k A booked\n"
          "  h1 k/A done\n"
          "h1 take k D\n"
          "  h1 k/D answered 200 booked\n");
}

/* A caller repeats a booking through another gateway while two nodes believe
   to be the key's home (their views differ).  Home 1 has recorded attempt A;
   home 2, which read before that, tries to record B.  The compare on the head
   stops it, the read shows A, and the repeat is refused. */
Test (claim, two_homes_that_both_believe)
{
  expect ("h1 take j Z\n"
          "  h1 #1 read from 0\n"
          "all\n"
          "  h1 #2 grant 120000\n"
          "  h1 #3 write base=0 take:j/Z\n"
          "  h1 j/Z granted\n"
          "h2 take k B\n"
          "  h2 #4 read from 0\n"
          "ok 4\n"
          "  h2 #5 grant 120000\n"
          "ok 5\n"
          "  h2 #6 write base=0 take:k/B\n"
          "h1 take k A\n"
          "  h1 #7 read from 0\n"
          "ok 7\n"
          "  h1 #8 write base=0 take:k/A\n"
          "ok 8\n"
          "  h1 k/A granted\n"
          "ok 6\n"
          "  h2 #9 read from 0\n"
          "ok 9\n"
          "  h2 k/B running\n");
}

/* Home 1 is stopped after it sent the write of attempt A; its caller gives
   up and repeats through home 2, which reads the record.  When home 1 wakes,
   A's wait is over: it is not granted, though it was recorded, and it is
   released because nobody else was asked for it.  Then the key is free. */
Test (claim, frozen_home_wakes)
{
  expect ("h1 last k A\n"
          "  h1 #1 read from 0\n"
          "ok 1\n"
          "  h1 #2 grant 120000\n"
          "ok 2\n"
          "  h1 #3 write base=0 take:k/A\n"
          "apply 3\n"
          "sleep 8000\n"
          "h2 take k B\n"
          "  h2 #4 read from 0\n"
          "ok 4\n"
          "  h2 k/B running\n"
          "answer 3\n"
          "  h1 k/A unavailable\n"
          "  h1 #5 write base=102 release:k/A\n"
          "ok 5\n"
          "+2000\n"
          "h2 take k C\n"
          "  h2 #6 read from 102\n"
          "ok 6\n"
          "  h2 #7 grant 120000\n"
          "ok 7\n"
          "  h2 #8 write base=103 take:k/C\n"
          "ok 8\n"
          "  h2 k/C granted\n");
}

/* The store applies a write and the answer is lost.  The claim is granted
   only after the read has shown the batch key; nothing is written twice. */
Test (claim, lost_answer_of_an_applied_write)
{
  expect ("h1 take k A\n"
          "  h1 #1 read from 0\n"
          "ok 1\n"
          "  h1 #2 grant 120000\n"
          "ok 2\n"
          "  h1 #3 write base=0 take:k/A\n"
          "apply 3\n"
          "lost 3\n"
          "  h1 #4 read from 0\n"
          "h1 take k B\n"
          "ok 4\n"
          "  h1 k/A granted\n"
          "  h1 k/B running\n");
}

/* The answer is lost and the write is still on its way when the read comes.
   The read shows the old head, so the same write is sent again.  The first
   copy lands in between; the second one conflicts, the read shows the batch,
   and the claim is granted once. */
Test (claim, lost_write_that_lands_late)
{
  expect ("h1 take k A\n"
          "  h1 #1 read from 0\n"
          "ok 1\n"
          "  h1 #2 grant 120000\n"
          "ok 2\n"
          "  h1 #3 write base=0 take:k/A\n"
          "lost 3\n"
          "  h1 #4 read from 0\n"
          "ok 4\n"
          "+50\n"
          "  h1 #5 write base=0 take:k/A\n"
          "apply 3\n"
          "ok 5\n"
          "  h1 #6 read from 0\n"
          "ok 6\n"
          "  h1 k/A granted\n");
}

/* The answer is lost, the write does not land before another home's does.
   The head has moved past its compare, so it never can: the ask is decided
   anew by what the other home wrote, and the late copy changes nothing. */
Test (claim, lost_write_that_can_land_no_more)
{
  expect ("h1 take k A\n"
          "  h1 #1 read from 0\n"
          "ok 1\n"
          "  h1 #2 grant 120000\n"
          "ok 2\n"
          "  h1 #3 write base=0 take:k/A\n"
          "lost 3\n"
          "  h1 #4 read from 0\n"
          "h2 take k B\n"
          "  h2 #5 read from 0\n"
          "ok 5\n"
          "  h2 #6 grant 120000\n"
          "ok 6\n"
          "  h2 #7 write base=0 take:k/B\n"
          "ok 7\n"
          "  h2 k/B granted\n"
          "ok 4\n"
          "  h1 k/A running\n"
          "apply 3\n"
          "h2 take k C\n"
          "  h2 k/C running\n");
}

/* The store is down.  The first caller waits for two tries; from then on
   every ask is refused at once, and one read at a time looks whether the
   store is back. */
Test (claim, store_down_and_back)
{
  expect ("h1 take k A\n"
          "  h1 #1 read from 0\n"
          "down 1\n"
          "  h1 #2 read from 0\n"
          "down 2\n"
          "  h1 k/A unavailable\n"
          "h1 take k B\n"
          "  h1 k/B unavailable\n"
          "h1 take m B\n"
          "  h1 m/B unavailable\n"
          "+200\n"
          "  h1 #3 read from 0\n"
          "h1 take k C\n"
          "  h1 k/C unavailable\n"
          "ok 3\n"
          "h1 take k D\n"
          "  h1 #4 read from 0\n"
          "ok 4\n"
          "  h1 #5 grant 120000\n"
          "ok 5\n"
          "  h1 #6 write base=0 take:k/D\n"
          "ok 6\n"
          "  h1 k/D granted\n");
}

/* The store is slow: the answer to a write comes after its asker has been
   told "not run".  The claim must not stay, or the caller's repeat would be
   refused for the whole window; the core releases it. */
Test (claim, slow_store_releases_what_nobody_waits_for)
{
  expect ("h1 last k A\n"
          "  h1 #1 read from 0\n"
          "ok 1\n"
          "  h1 #2 grant 120000\n"
          "ok 2\n"
          "  h1 #3 write base=0 take:k/A\n"
          "+2000\n"
          "  h1 k/A unavailable\n"
          "ok 3\n"
          "  h1 #4 write base=102 release:k/A\n"
          "ok 4\n"
          "+50\n"
          "h1 take k B\n"
          "  h1 #5 write base=103 take:k/B\n"
          "ok 5\n"
          "  h1 k/B granted\n");
}

/* The same, but the ask came from another node, which has meanwhile asked
   the next home for the same attempt and may have its grant: this home must
   not release it. */
Test (claim, slow_store_keeps_what_others_may_have_granted)
{
  expect ("h1 take k A\n"
          "  h1 #1 read from 0\n"
          "ok 1\n"
          "  h1 #2 grant 120000\n"
          "ok 2\n"
          "  h1 #3 write base=0 take:k/A\n"
          "+2000\n"
          "  h1 k/A unavailable\n"
          "h2 take k A\n"
          "  h2 #4 read from 0\n"
          "all\n"
          "  h2 #5 grant 120000\n"
          "  h2 #6 write base=102 take:k/A\n"
          "  h2 k/A granted\n"
          "h1 take k B\n"
          "  h1 #7 read from 102\n"
          "ok 7\n"
          "  h1 k/B running\n");
}

/* A request that was granted could not be sent (no connection): its gateway
   releases it.  A repeat that comes before the release is recorded waits for
   it; then it may run.  The released attempt itself never may. */
Test (claim, release_then_rerun)
{
  expect ("h1 take k A\n"
          "  h1 #1 read from 0\n"
          "all\n"
          "  h1 #2 grant 120000\n"
          "  h1 #3 write base=0 take:k/A\n"
          "  h1 k/A granted\n"
          "+50\n"
          "h1 release k A\n"
          "  h1 #4 write base=102 release:k/A\n"
          "h1 take k B\n"
          "ok 4\n"
          "  h1 k/A done\n"
          "+50\n"
          "  h1 #5 write base=103 take:k/B\n"
          "ok 5\n"
          "  h1 k/B granted\n"
          "h1 take k A\n"
          "  h1 k/A unavailable\n");
}

/* A key is remembered for the window and the life of a grant, then it is
   free again, in memory and in the store.  Kept answers are bounded: with
   room for 64 bytes the older answer is forgotten first, and then a repeat
   learns that the end is not known instead of running again. */
Test (claim, expiry_and_bounded_answers)
{
  expect ("h1 take k A\n"
          "  h1 #1 read from 0\n"
          "all\n"
          "  h1 #2 grant 120000\n"
          "  h1 #3 write base=0 take:k/A\n"
          "  h1 k/A granted\n"
          "h1 finish k A 0123456789012345678901234567890\n"
          "  h1 k/A done\n"
          "h1 take m A\n"
          "  h1 #4 read from 0\n"
          "all\n"
          "  h1 #5 write base=0 take:m/A\n"
          "  h1 m/A granted\n"
          "h1 finish m A 0123456789012345678901234567890\n"
          "  h1 m/A done\n"
          "h1 take n A\n"
          "  h1 #6 read from 0\n"
          "all\n"
          "  h1 #7 write base=0 take:n/A\n"
          "  h1 n/A granted\n"
          "h1 finish n A 0123456789012345678901234567890\n"
          "  h1 n/A done\n"
          "h1 take k B\n"
          "  h1 k/B unknown\n"
          "+69999\n"
          "h1 take m B\n"
          "  h1 m/B answered 200 0123456789012345678901234567890\n"
          "+1\n"
          "h1 take m B\n"
          "  h1 #8 grant 120000\n"
          "all\n"
          "  h1 #9 write base=103 take:m/B\n"
          "  h1 m/B granted\n");
}

/* Morning rush: a thousand bookings reach one home in the same tick.  Were
   each a write of its own, the store's whole rate of several hundred a second
   would be gone; with group commit they are two writes per shard. */
Test (claim, group_commit)
{
  struct run run = { 0 };
  struct clm_options opt = options ();

  cw_init (&run.w, 1, &opt, 7);
  run.w.on_reply = on_reply;
  run.w.ctx = &run;
  for (int i = 0; i < 1000; i++)
    {
      struct clm_ask a = { .id = 'k' << 8 | 'A' };
      memcpy (a.key, &i, sizeof i);
      clm_ask (run.w.homes[0], run.w.now, &a);
      cw_drain (&run.w, 0);
    }
  all (&run);
  pass (&run, 50);
  all (&run);
  cr_expect_eq (clm_counts (run.w.homes[0])->granted, 1000);
  cr_expect_leq (clm_counts (run.w.homes[0])->txns, 2 * CLM_SHARDS);
  cr_expect_eq (clm_held (run.w.homes[0]), 1000);
  cw_clear (&run.w);
  buf_free (&run.log);
}

/* Memory is bounded: claims beyond the bound are refused.  Forgetting an old
   one to make room would let its key run again. */
Test (claim, full_table_refuses)
{
  struct run run = { 0 };
  struct clm_options opt = options ();

  opt.max_claims = 2;
  cw_init (&run.w, 1, &opt, 7);
  run.w.on_reply = on_reply;
  run.w.ctx = &run;
  ask (&run, 0, "take", 'k', 'A', "");
  ask (&run, 0, "take", 'l', 'A', "");
  all (&run);
  ask (&run, 0, "take", 'm', 'A', "");
  ask (&run, 0, "take", 'k', 'B', "");
  cr_expect_str_eq (buf_c (&run.log), "  h1 k/A granted\n"
                                      "  h1 l/A granted\n"
                                      "  h1 m/A unavailable\n"
                                      "  h1 k/B running\n");
  cw_clear (&run.w);
  buf_free (&run.log);
}

/* A grant was not used in time and its request asks again for the same
   attempt.  Were it granted as before, the record might end while the request
   is being sent, and a repeat could run beside it; so it is written anew.  It
   is refused once a repeat has the key. */
Test (claim, old_record_is_written_anew)
{
  expect ("h1 take k A\n"
          "  h1 #1 read from 0\n"
          "all\n"
          "  h1 #2 grant 120000\n"
          "  h1 #3 write base=0 take:k/A\n"
          "  h1 k/A granted\n"
          "+1999\n"
          "h1 take k A\n"
          "  h1 k/A granted\n"
          "+1\n"
          "h1 take k A\n"
          "  h1 #4 write base=102 take:k/A\n"
          "ok 4\n"
          "  h1 k/A granted\n"
          "+69999\n"
          "h1 take k B\n"
          "  h1 #5 read from 103\n"
          "ok 5\n"
          "  h1 k/B running\n"
          "+1\n"
          "h1 take k B\n"
          "  h1 #6 grant 120000\n"
          "all\n"
          "  h1 #7 write base=103 take:k/B\n"
          "  h1 k/B granted\n"
          "h2 take k A\n"
          "  h2 #8 read from 0\n"
          "all\n"
          "  h2 k/A running\n");
}

/* Somebody deletes a head key, and another home begins it anew.  Its batches
   carry a lower base than the head that home 1 knows, so a read from there on
   would miss them and a key that is taken would look free.  The broken chain
   of bases shows it, and the whole shard is read. */
Test (claim, head_deleted)
{
  struct run run = { 0 };
  struct clm_options opt = options ();
  struct buf key = BUF_INIT;
  uint8_t k[16] = { 'k' };

  cw_init (&run.w, 2, &opt, 7);
  run.w.on_reply = on_reply;
  run.w.ctx = &run;
  ask (&run, 0, "take", 'k', 'A', "");
  all (&run);
  ask (&run, 0, "release", 'k', 'A', "");
  pass (&run, 50);
  all (&run);
  bat_head_key (&key, opt.prefix, clm_shard (k));
  kv_remove (&run.w.kv, buf_str (&key));
  ask (&run, 1, "take", 'k', 'B', "");
  all (&run);
  pass (&run, 50);
  ask (&run, 0, "take", 'k', 'C', "");
  all (&run);
  pass (&run, 50);
  all (&run);
  cr_expect_str_eq (buf_c (&run.log), "  h1 k/A granted\n"
                                      "  h1 k/A done\n"
                                      "  h2 k/B granted\n"
                                      "  h1 k/C running\n");
  cw_clear (&run.w);
  buf_free (&key);
  buf_free (&run.log);
}

/* A batch written by another version can't be read, so the claims in it are
   not known.  Nothing of that shard may be granted on top of it. */
Test (claim, unreadable_batch_refuses)
{
  struct run run = { 0 };
  struct clm_options opt = options ();
  struct buf key = BUF_INIT;
  uint8_t k[16] = { 'k' };
  struct bat_name name = { 0, 9, 9 };
  struct store_put put = { .value = STR ("\2future") };

  cw_init (&run.w, 1, &opt, 7);
  run.w.on_reply = on_reply;
  run.w.ctx = &run;
  bat_key (&key, opt.prefix, clm_shard (k), &name);
  put.key = buf_str (&key);
  kv_txn (&run.w.kv, &(struct store_txn){ .puts = &put, .nputs = 1 });
  ask (&run, 0, "take", 'k', 'A', "");
  all (&run);
  pass (&run, 1000);
  all (&run);
  pass (&run, 1000);
  cr_expect_str_eq (buf_c (&run.log), "  h1 k/A unavailable\n");
  cw_clear (&run.w);
  buf_free (&key);
  buf_free (&run.log);
}

/* A gateway is stopped between the grant and its send and wakes after the
   window: by then another attempt may hold the key.  The grant counts from
   the ask, so it is no longer valid; nor is it when the clock stands before
   the ask. */
Test (claim, grant_runs_out)
{
  cr_expect (clm_grant_valid (1000, 1000));
  cr_expect (clm_grant_valid (1000, 5999));
  cr_expect_not (clm_grant_valid (1000, 6000));
  cr_expect_not (clm_grant_valid (1000, 700000));
  cr_expect_not (clm_grant_valid (1000, 999));
}
