/* Limits of the claim core, and data that it can't read. */
#include <criterion/criterion.h>
#include <string.h>

#include "claim/batch.h"
#include "t/lib-claim-script.h"

/* A thousand requests reach one home in the same tick.  With one write per
   request they would use the store's whole rate of several hundred a second;
   group commit makes them at most two writes per shard. */
Test (bounds, group_commit)
{
  struct csc run;
  struct clm_options opt = csc_options ();

  csc_start (&run, 1, &opt);
  for (int i = 0; i < 1000; i++)
    {
      struct clm_request a = { .id = 'k' << 8 | 'A' };
      memcpy (a.key, &i, sizeof i);
      clm_request (run.w.homes[0], run.w.now, &a);
      cw_fetch_actions (&run.w, 0);
    }
  csc_complete_all (&run);
  csc_advance (&run, 50);
  csc_complete_all (&run);
  cr_expect_eq (clm_stats (run.w.homes[0])->granted, 1000);
  cr_expect_leq (clm_stats (run.w.homes[0])->txns, 2 * CLM_SHARDS);
  cr_expect_eq (clm_claim_count (run.w.homes[0]), 1000);
  csc_stop (&run);
}

/* Memory is limited: claims beyond the limit are refused.  Evicting an old
   claim would let its key run again. */
Test (bounds, full_table_refuses_new_claims)
{
  struct csc run;
  struct clm_options opt = csc_options ();

  opt.max_claims = 2;
  csc_start (&run, 1, &opt);
  csc_request (&run, 0, "take", 'k', 'A', "");
  csc_request (&run, 0, "take", 'l', 'A', "");
  csc_complete_all (&run);
  csc_request (&run, 0, "take", 'm', 'A', "");
  csc_request (&run, 0, "take", 'k', 'B', "");
  cr_expect_str_eq (buf_c (&run.log), "  h1 k/A granted\n"
                                      "  h1 l/A granted\n"
                                      "  h1 m/A unavailable\n"
                                      "  h1 k/B running\n");
  csc_stop (&run);
}

/* A head key is deleted and another home creates it again.  The new batches
   carry a lower base than the head that home 1 last read, so a read from there
   would miss them and a taken key would look free.  The gap in the chain of
   bases shows that batches are missing, and the whole shard is read. */
Test (bounds, head_deleted)
{
  struct csc run;
  struct clm_options opt = csc_options ();
  struct buf key = BUF_INIT;
  uint8_t k[16] = { 'k' };

  csc_start (&run, 2, &opt);
  csc_request (&run, 0, "take", 'k', 'A', "");
  csc_complete_all (&run);
  csc_request (&run, 0, "release", 'k', 'A', "");
  csc_advance (&run, 50);
  csc_complete_all (&run);
  bat_head_key (&key, opt.prefix, clm_shard (k));
  kv_remove (&run.w.kv, buf_str (&key));
  csc_request (&run, 1, "take", 'k', 'B', "");
  csc_complete_all (&run);
  csc_advance (&run, 50);
  csc_request (&run, 0, "take", 'k', 'C', "");
  csc_complete_all (&run);
  csc_advance (&run, 50);
  csc_complete_all (&run);
  cr_expect_str_eq (buf_c (&run.log), "  h1 k/A granted\n"
                                      "  h1 k/A done\n"
                                      "  h2 k/B granted\n"
                                      "  h1 k/C running\n");
  buf_free (&key);
  csc_stop (&run);
}

/* The same, with a second batch in the shard.  A read from home 1's head
   returns only that batch, which is the last one before the new head.  Its
   base differs from home 1's head, so a batch is missing. */
Test (bounds, head_deleted_and_two_batches)
{
  struct csc run;
  struct clm_options opt = csc_options ();
  struct buf key = BUF_INIT;
  uint8_t k[16] = { 'k' }, d[16] = { 'd' };

  cr_assert_eq (clm_shard (d), clm_shard (k));
  csc_start (&run, 2, &opt);
  csc_request (&run, 0, "take", 'd', 'A', "");
  csc_complete_all (&run);
  bat_head_key (&key, opt.prefix, clm_shard (k));
  kv_remove (&run.w.kv, buf_str (&key));
  csc_request (&run, 1, "take", 'k', 'B', "");
  csc_complete_all (&run);
  csc_advance (&run, 50);
  csc_request (&run, 1, "release", 'd', 'Z', "");
  csc_complete_all (&run);
  csc_request (&run, 0, "take", 'k', 'C', "");
  csc_advance (&run, 50);
  csc_complete_all (&run);
  csc_advance (&run, 50);
  csc_complete_all (&run);
  cr_expect_str_eq (buf_c (&run.log), "  h1 d/A granted\n"
                                      "  h2 k/B granted\n"
                                      "  h2 d/Z done\n"
                                      "  h1 k/C running\n");
  buf_free (&key);
  csc_stop (&run);
}

/* Operators set a window shorter than the maximum time of a request and grant,
   or a longer one while a lease with the old window is in use.  Batches must
   outlive all their claims: the lease is requested with twice the effective
   window. */
Test (bounds, lease_follows_the_window)
{
  struct csc run;
  struct clm_options opt = csc_options ();

  opt.window = CLK_SECOND;
  csc_start (&run, 1, &opt);
  run.w.log = &run.log;
  csc_request (&run, 0, "take", 'k', 'A', "");
  csc_complete_all (&run);
  clm_set_window (run.w.homes[0], 300 * CLK_SECOND);
  csc_request (&run, 0, "take", 'l', 'A', "");
  csc_complete_all (&run);
  csc_advance (&run, 50);
  csc_complete_all (&run);
  cr_expect_str_eq (buf_c (&run.log), "  h1 #1 read from 0\n"
                                      "  h1 #2 grant 40000\n"
                                      "  h1 #3 write base=0 take:k/A\n"
                                      "  h1 k/A granted\n"
                                      "  h1 #4 read from 0\n"
                                      "  h1 #5 grant 600000\n"
                                      "  h1 #6 write base=0 take:l/A\n"
                                      "  h1 l/A granted\n");
  csc_stop (&run);
}

/* A batch of an unknown version can't be read, so its claims are unknown.  No
   claim of that shard may be granted. */
Test (bounds, unreadable_batch_blocks_its_shard)
{
  struct csc run;
  struct clm_options opt = csc_options ();
  struct buf key = BUF_INIT;
  uint8_t k[16] = { 'k' };
  struct bat_name name = { 0, 9, 9 };
  struct store_put put = { .value = STR ("\2future") };

  csc_start (&run, 1, &opt);
  bat_key (&key, opt.prefix, clm_shard (k), &name);
  put.key = buf_str (&key);
  kv_txn (&run.w.kv, &(struct store_txn){ .puts = &put, .nputs = 1 });
  csc_request (&run, 0, "take", 'k', 'A', "");
  csc_complete_all (&run);
  csc_advance (&run, 1000);
  csc_complete_all (&run);
  csc_advance (&run, 1000);
  cr_expect_str_eq (buf_c (&run.log), "  h1 k/A unavailable\n");
  buf_free (&key);
  csc_stop (&run);
}

/* A record of an unknown kind is neither a take nor a release.  If it were
   skipped, its key would look free and a call would run twice; so the whole
   batch counts as unreadable. */
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

/* Only keys in the format of bat_key() are batches. */
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

/* A gateway is suspended between grant and send and resumes after the window,
   when another attempt may hold the key.  The grant has expired by then.  It
   is also invalid if the clock is before the time of the grant. */
Test (bounds, grant_expires)
{
  cr_expect (clm_grant_valid (1000, 1000));
  cr_expect (clm_grant_valid (1000, 5999));
  cr_expect_not (clm_grant_valid (1000, 6000));
  cr_expect_not (clm_grant_valid (1000, 700000));
  cr_expect_not (clm_grant_valid (1000, 999));
}
