#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "replica/owner.h"

/* Transcripts: one step a line, "TIME VERB ARG:", and behind it what has to
   come of it: actions, the state, and whether an order may go then. */

static const char *const state_names[]
    = { "idle", "granting", "taking", "waiting", "holding", "lapsed" };

static const char *const action_names[]
    = { "grant", "txn", "range", "keep", "revoke", "gained", "lost" };

struct run
{
  struct own *o;
  struct buf log;
  uint64_t token;
  int64_t lease;
};

static void
drain_actions (struct run *r)
{
  struct own_action a;

  while (own_next (r->o, &a))
    {
      buf_addf (&r->log, " %s", action_names[a.kind]);
      if (a.kind == OWN_ACQUIRED)
        buf_addf (&r->log, "(%lld)", (long long)a.fence);
      if (a.token)
        r->token = a.token;
    }
}

static void
answer (struct run *r, clk_ms now, const char *verb, long arg)
{
  static const struct
  {
    const char *verb;
    enum store_status status;
  } verbs[] = { { "ok", STORE_OK },
                { "granted", STORE_OK },
                { "none", STORE_OK },
                { "ours", STORE_OK },
                { "theirs", STORE_OK },
                { "conflict", STORE_CONFLICT },
                { "uncertain", STORE_UNCERTAIN },
                { "unavailable", STORE_UNAVAILABLE },
                { "gone", STORE_GONE } };
  struct store_kv kv = { .key = STR ("k"), .create_rev = arg };
  struct store_result res = { .revision = arg, .kvs = &kv };

  for (size_t i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    if (strcmp (verb, verbs[i].verb) == 0)
      res.status = verbs[i].status;
  if (strcmp (verb, "granted") == 0)
    res.lease = r->lease = arg;
  res.nkvs = strcmp (verb, "ours") == 0 || strcmp (verb, "theirs") == 0;
  kv.lease = strcmp (verb, "ours") == 0 ? r->lease : 999;
  kv.value = strcmp (verb, "ours") == 0 ? STR ("{\"node\":\"n1\",\"boot\":7}")
                                        : STR ("{\"node\":\"n2\",\"boot\":8}");
  own_on_store_response (r->o, now, r->token, &res);
}

static void
do_line (struct run *r, const char *line)
{
  char verb[32];
  long long now;
  long arg = 0;

  cr_assert_geq (sscanf (line, "%lld %31[a-z] %ld", &now, verb, &arg), 2);
  if (strcmp (verb, "want") == 0)
    own_set_wanted (r->o, now, arg);
  else if (strcmp (verb, "tick") == 0)
    own_tick (r->o, now);
  else if (strcmp (verb, "ask") != 0)
    answer (r, now, verb, arg);
  buf_addf (&r->log, "%.*s:", (int)strcspn (line, ":"), line);
  drain_actions (r);
  buf_addf (&r->log, " [%s%s]\n", state_names[own_state (r->o)],
            own_may_order (r->o, now) ? ", orders" : "");
}

static void
check (const struct own_options *opt, const char *transcript)
{
  struct run r = { .o = own_new (opt, 1) };

  for (const char *p = transcript; *p; p += strcspn (p, "\n") + 1)
    do_line (&r, p);
  cr_expect_str_eq (buf_c (&r.log), transcript);
  buf_free (&r.log);
  own_free (r.o);
}

static const struct own_options checking = { .key = { "k", 1 },
                                             .node = { "n1", 2 },
                                             .boot = 7,
                                             .ttl = 6000,
                                             .checks_fence = true,
                                             .order_flight_ms = 2000 };

/* The usual way: lease, key, renewals; the time to stop counts from the
   sending of the renewal that succeeded, not from its answer. */
Test (owner, takes_renews_and_gives_back)
{
  check (&checking, "0 want 1: [idle]\n"
                    "0 tick: grant [granting]\n"
                    "100 granted 5: txn [taking]\n"
                    "200 ok 42: gained(42) [holding, orders]\n"
                    "1000 tick: [holding, orders]\n"
                    "2200 tick: keep [holding, orders]\n"
                    "3500 ok: [holding, orders]\n"
                    "4200 tick: keep [holding, orders]\n"
                    "5900 ok: [holding, orders]\n"
                    "7000 want 0: lost revoke [idle]\n");
}

/* The owner is stopped for longer than its lease and wakes in the middle of
   sending.  Its own idea of time is old; the question right before the bytes
   go must say no, even before the first tick, and the next tick must read
   the key again: somebody else has it. */
Test (owner, frozen_past_its_lease_sends_nothing)
{
  check (&checking, "0 want 1: [idle]\n"
                    "0 tick: grant [granting]\n"
                    "10 granted 5: txn [taking]\n"
                    "20 ok 42: gained(42) [holding, orders]\n"
                    "1000 tick: [holding, orders]\n"
                    "9000 ask: [holding]\n"
                    "9001 tick: lost keep [lapsed]\n"
                    "9010 gone: revoke [idle]\n"
                    "12000 tick: grant [granting]\n"
                    "12010 granted 6: txn [taking]\n"
                    "12020 conflict: revoke [idle]\n");
}

/* A pause shorter than the lease: the key may still be ours, but what we know
   is old.  No order goes until it was renewed and read again. */
Test (owner, short_pause_reads_again)
{
  check (&checking, "0 want 1: [idle]\n"
                    "0 tick: grant [granting]\n"
                    "10 granted 5: txn [taking]\n"
                    "20 ok 42: gained(42) [holding, orders]\n"
                    "1000 tick: [holding, orders]\n"
                    "3500 ask: [holding]\n"
                    "3500 tick: lost keep [lapsed]\n"
                    "3510 ok: range [lapsed]\n"
                    "3520 ours 42: gained(42) [holding, orders]\n");
}

/* The store is down: renewals fail and the owner stops at two thirds of the
   lease, before the store can have given the key to anybody else. */
Test (owner, store_down_stops_orders_at_two_thirds)
{
  check (&checking, "0 want 1: [idle]\n"
                    "0 tick: grant [granting]\n"
                    "10 granted 5: txn [taking]\n"
                    "20 ok 42: gained(42) [holding, orders]\n"
                    "1500 tick: [holding, orders]\n"
                    "2100 tick: keep [holding, orders]\n"
                    "2200 unavailable: [holding, orders]\n"
                    "3900 tick: keep [holding, orders]\n"
                    "3950 unavailable: [holding, orders]\n"
                    "3999 ask: [holding, orders]\n"
                    "4000 ask: [holding]\n"
                    "4001 tick: lost keep [lapsed]\n");
}

/* The write that took the key had its answer lost.  Writing again blindly
   would meet our own key and give the domain up; reading tells. */
Test (owner, lost_answer_is_settled_by_reading)
{
  check (&checking, "0 want 1: [idle]\n"
                    "0 tick: grant [granting]\n"
                    "10 granted 5: txn [taking]\n"
                    "20 uncertain: range [taking]\n"
                    "30 none: txn [taking]\n"
                    "40 conflict: range [taking]\n"
                    "50 ours 42: gained(42) [holding, orders]\n");
}

/* Two believe that they own the domain; the other's key is there. */
Test (owner, loses_the_race_and_gives_its_lease_back)
{
  check (&checking, "0 want 1: [idle]\n"
                    "0 tick: grant [granting]\n"
                    "10 granted 5: txn [taking]\n"
                    "20 uncertain: range [taking]\n"
                    "30 theirs 41: revoke [idle]\n");
}

/* Backend servers that obey any order: an order of the owner before us may
   still be on its way when our key is written.  Nothing is ordered until a
   lease and the longest flight of an order have passed. */
Test (owner, waits_out_old_orders_without_fencing)
{
  struct own_options opt = checking;

  opt.checks_fence = false;
  check (&opt, "0 want 1: [idle]\n"
               "0 tick: grant [granting]\n"
               "10 granted 5: txn [taking]\n"
               "20 ok 42: [waiting]\n"
               "1500 tick: [waiting]\n"
               "2500 tick: keep [waiting]\n"
               "2510 ok: [waiting]\n"
               "4200 tick: [waiting]\n"
               "4700 tick: keep [waiting]\n"
               "4710 ok: [waiting]\n"
               "6400 tick: [waiting]\n"
               "8019 tick: keep [waiting]\n"
               "8020 tick: gained(42) [holding, orders]\n");
}

/* Not wanted any more while the grant is under way: the lease that comes late
   is given back instead of being left to run out. */
Test (owner, late_grant_is_revoked)
{
  check (&checking, "0 want 1: [idle]\n"
                    "0 tick: grant [granting]\n"
                    "5 want 0: [idle]\n"
                    "10 granted 5: revoke [idle]\n");
}
