/* What bounds the claim core, and what it can not read. */
#include <criterion/criterion.h>
#include <string.h>

#include "claim/batch.h"
#include "t/lib-claim-script.h"

/* Morning rush: a thousand bookings reach one home in the same tick.  Were
   each a write of its own, the store's whole rate of several hundred a second
   would be gone; with group commit they are two writes per shard. */
Test (bounds, group_commit)
{
  struct csc run;
  struct clm_options opt = csc_options ();

  csc_up (&run, 1, &opt);
  for (int i = 0; i < 1000; i++)
    {
      struct clm_request a = { .id = 'k' << 8 | 'A' };
      memcpy (a.key, &i, sizeof i);
      clm_request (run.w.homes[0], run.w.now, &a);
      cw_drain (&run.w, 0);
    }
  csc_all (&run);
  csc_pass (&run, 50);
  csc_all (&run);
  cr_expect_eq (clm_stats (run.w.homes[0])->granted, 1000);
  cr_expect_leq (clm_stats (run.w.homes[0])->txns, 2 * CLM_SHARDS);
  cr_expect_eq (clm_claim_count (run.w.homes[0]), 1000);
  csc_down (&run);
}

/* Memory is bounded: claims beyond the bound are refused.  Forgetting an old
   one to make room would let its key run again. */
Test (bounds, full_table_refuses)
{
  struct csc run;
  struct clm_options opt = csc_options ();

  opt.max_claims = 2;
  csc_up (&run, 1, &opt);
  csc_ask (&run, 0, "take", 'k', 'A', "");
  csc_ask (&run, 0, "take", 'l', 'A', "");
  csc_all (&run);
  csc_ask (&run, 0, "take", 'm', 'A', "");
  csc_ask (&run, 0, "take", 'k', 'B', "");
  cr_expect_str_eq (buf_c (&run.log), "  h1 k/A granted\n"
                                      "  h1 l/A granted\n"
                                      "  h1 m/A unavailable\n"
                                      "  h1 k/B running\n");
  csc_down (&run);
}

/* Somebody deletes a head key, and another home begins it anew.  Its batches
   carry a lower base than the head that home 1 knows, so a read from there on
   would miss them and a key that is taken would look free.  The broken chain
   of bases shows it, and the whole shard is read. */
Test (bounds, head_deleted)
{
  struct csc run;
  struct clm_options opt = csc_options ();
  struct buf key = BUF_INIT;
  uint8_t k[16] = { 'k' };

  csc_up (&run, 2, &opt);
  csc_ask (&run, 0, "take", 'k', 'A', "");
  csc_all (&run);
  csc_ask (&run, 0, "release", 'k', 'A', "");
  csc_pass (&run, 50);
  csc_all (&run);
  bat_head_key (&key, opt.prefix, clm_shard (k));
  kv_remove (&run.w.kv, buf_str (&key));
  csc_ask (&run, 1, "take", 'k', 'B', "");
  csc_all (&run);
  csc_pass (&run, 50);
  csc_ask (&run, 0, "take", 'k', 'C', "");
  csc_all (&run);
  csc_pass (&run, 50);
  csc_all (&run);
  cr_expect_str_eq (buf_c (&run.log), "  h1 k/A granted\n"
                                      "  h1 k/A done\n"
                                      "  h2 k/B granted\n"
                                      "  h1 k/C running\n");
  buf_free (&key);
  csc_down (&run);
}

/* The same, and the shard has since got a second batch.  That one alone is
   seen by a read from home 1's head, and it is the last before the new head;
   that its base is not what home 1 knows tells of the one before it. */
Test (bounds, head_deleted_and_two_batches)
{
  struct csc run;
  struct clm_options opt = csc_options ();
  struct buf key = BUF_INIT;
  uint8_t k[16] = { 'k' }, d[16] = { 'd' };

  cr_assert_eq (clm_shard (d), clm_shard (k));
  csc_up (&run, 2, &opt);
  csc_ask (&run, 0, "take", 'd', 'A', "");
  csc_all (&run);
  bat_head_key (&key, opt.prefix, clm_shard (k));
  kv_remove (&run.w.kv, buf_str (&key));
  csc_ask (&run, 1, "take", 'k', 'B', "");
  csc_all (&run);
  csc_pass (&run, 50);
  csc_ask (&run, 1, "release", 'd', 'Z', "");
  csc_all (&run);
  csc_ask (&run, 0, "take", 'k', 'C', "");
  csc_pass (&run, 50);
  csc_all (&run);
  csc_pass (&run, 50);
  csc_all (&run);
  cr_expect_str_eq (buf_c (&run.log), "  h1 d/A granted\n"
                                      "  h2 k/B granted\n"
                                      "  h2 d/Z done\n"
                                      "  h1 k/C running\n");
  buf_free (&key);
  csc_down (&run);
}

/* Operators set a window shorter than what an ask and a grant may take, or
   a longer one while a lease of the old is at hand.  Batches must outlive
   every claim in them: the lease is asked for twice the window that counts. */
Test (bounds, lease_follows_the_window)
{
  struct csc run;
  struct clm_options opt = csc_options ();

  opt.window = CLK_SECOND;
  csc_up (&run, 1, &opt);
  run.w.log = &run.log;
  csc_ask (&run, 0, "take", 'k', 'A', "");
  csc_all (&run);
  clm_set_window (run.w.homes[0], 300 * CLK_SECOND);
  csc_ask (&run, 0, "take", 'l', 'A', "");
  csc_all (&run);
  csc_pass (&run, 50);
  csc_all (&run);
  cr_expect_str_eq (buf_c (&run.log), "  h1 #1 read from 0\n"
                                      "  h1 #2 grant 40000\n"
                                      "  h1 #3 write base=0 take:k/A\n"
                                      "  h1 k/A granted\n"
                                      "  h1 #4 read from 0\n"
                                      "  h1 #5 grant 600000\n"
                                      "  h1 #6 write base=0 take:l/A\n"
                                      "  h1 l/A granted\n");
  csc_down (&run);
}

/* A batch written by another version can't be read, so the claims in it are
   not known.  Nothing of that shard may be granted on top of it. */
Test (bounds, unreadable_batch_refuses)
{
  struct csc run;
  struct clm_options opt = csc_options ();
  struct buf key = BUF_INIT;
  uint8_t k[16] = { 'k' };
  struct bat_name name = { 0, 9, 9 };
  struct store_put put = { .value = STR ("\2future") };

  csc_up (&run, 1, &opt);
  bat_key (&key, opt.prefix, clm_shard (k), &name);
  put.key = buf_str (&key);
  kv_txn (&run.w.kv, &(struct store_txn){ .puts = &put, .nputs = 1 });
  csc_ask (&run, 0, "take", 'k', 'A', "");
  csc_all (&run);
  csc_pass (&run, 1000);
  csc_all (&run);
  csc_pass (&run, 1000);
  cr_expect_str_eq (buf_c (&run.log), "  h1 k/A unavailable\n");
  buf_free (&key);
  csc_down (&run);
}

/* A record whose kind this version does not know is neither a take nor a
   release.  Passed over, its key would look free and a booking would run
   twice; so the whole batch counts as unreadable. */
Test (bounds, unknown_kind_is_unreadable)
{
  static const struct
  {
    uint8_t kind;
    bool readable;
  } rows[] = { { CLM_ACQUIRE, true },
               { CLM_RELEASE, true },
               { CLM_FINISH, false },
               { 0x80, false },
               { 0xff, false } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct bat_record r = { .kind = (enum clm_kind)rows[i].kind };
      struct buf value = BUF_INIT;
      size_t n;
      bat_begin (&value);
      bat_add (&value, &r);
      cr_expect_eq (bat_count (buf_str (&value), &n), rows[i].readable,
                    "kind %u", rows[i].kind);
      buf_free (&value);
    }
}

/* Only a key as bat_key() writes it is a batch. */
Test (bounds, batch_keys)
{
#define D "0123456789abcde"
  static const struct
  {
    const char *key;
    bool ok;
  } rows[] = { { "/x/claim/03/b/" D "f-" D "f-" D "f", true },
               { "/x/claim/03/b/" D "f-" D "f-" D "g", false },
               { "/x/claim/03/b/" D "f_" D "f-" D "f", false },
               { "/x/claim/03/b/+" D "-" D "f-" D "f", false },
               { "/x/claim/03/b/ " D "-" D "f-" D "f", false },
               { "/x/claim/03/b/" D "f-0x"
                 "0123456789abcd"
                 "-" D "f",
                 false },
               { "/x/claim/03/head", false } };
  struct bat_name name;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    cr_expect_eq (bat_parse_key (str_from (rows[i].key), &name), rows[i].ok,
                  "%s", rows[i].key);
  cr_assert (bat_parse_key (str_from (rows[0].key), &name));
  cr_expect_eq (name.seq, 0x0123456789abcdefu);
#undef D
}

/* A gateway is stopped between the grant and its send and wakes after the
   window: by then another attempt may hold the key.  The grant counts from
   the ask, so it is no longer valid; nor is it when the clock stands before
   the ask. */
Test (bounds, grant_runs_out)
{
  cr_expect (clm_grant_valid (1000, 1000));
  cr_expect (clm_grant_valid (1000, 5999));
  cr_expect_not (clm_grant_valid (1000, 6000));
  cr_expect_not (clm_grant_valid (1000, 700000));
  cr_expect_not (clm_grant_valid (1000, 999));
}
