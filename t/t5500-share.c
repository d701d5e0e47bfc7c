#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "route/share.h"

#define LIMIT 1000.0
#define NODES 4

static const struct str names[NODES]
    = { STR ("n0"), STR ("n1"), STR ("n2"), STR ("n3") };

/* A home and its nodes' demands; grants reach only linked nodes. */
struct home_sim
{
  struct shr *core;
  double demand[NODES];
  bool linked[NODES];
};

/* A node's last grant, which decays to an even part after expiry as in
   route/limit.c. */
struct node_share
{
  double amount;
  clk_ms until;
};

static struct home_sim
home_sim_new (clk_ms now, bool home)
{
  struct home_sim s = { .core = shr_new () };
  struct shr_amount limit = { LIMIT, 0 };
  shr_set_nodes (s.core, names, NODES, NODES);
  shr_set_account (s.core, now, STR ("acme"), &limit, home);
  for (int i = 0; i < NODES; i++)
    s.linked[i] = true;
  return s;
}

static void
run_round (struct home_sim *s, clk_ms now, struct node_share *shares)
{
  struct shr_grant g;
  for (int i = 0; i < NODES; i++)
    {
      struct shr_amount d = { s->demand[i], 0 };
      if (s->linked[i])
        shr_report_demand (s->core, now, STR ("acme"), names[i], &d);
    }
  shr_tick (s->core, now);
  while (shr_next (s->core, &g))
    {
      int i = g.node.ptr[1] - '0';
      if (s->linked[i])
        shares[i]
            = (struct node_share){ g.amount.tokens_per_s, now + g.valid_ms };
    }
}

static double
usable_share (const struct node_share *h, clk_ms now)
{
  return shr_decayed_share (h->amount, LIMIT / NODES, now - h->until);
}

static double
sum_usable_shares (const struct node_share *shares, clk_ms now)
{
  double sum = 0;
  for (int i = 0; i < NODES; i++)
    sum += usable_share (&shares[i], now);
  return sum;
}

static void
expect_shares (const struct node_share *shares, const char *want)
{
  char got[128] = "";
  for (int i = 0; i < NODES; i++)
    snprintf (got + strlen (got), sizeof got - strlen (got), "%s%.0f",
              i ? " " : "", shares[i].amount);
  cr_expect_str_eq (got, want);
}

Test (share, follows_demand)
{
  /* All demand is at one node. It gets the limit minus a reserve of the
     others for their first requests. A new home waits until earlier
     grants have expired. When demand moves, the share follows after the
     old grant has expired. */
  struct home_sim s = home_sim_new (0, true);
  struct node_share shares[NODES] = { 0 };
  s.demand[0] = 2000;
  for (clk_ms t = 1000; t <= 14000; t += 1000)
    run_round (&s, t, shares);
  expect_shares (shares, "0 0 0 0");
  for (clk_ms t = 15000; t <= 20000; t += 1000)
    run_round (&s, t, shares);
  expect_shares (shares, "925 25 25 25");
  s.demand[0] = 0;
  s.demand[3] = 2000;
  run_round (&s, 21000, shares);
  expect_shares (shares, "25 25 25 25");
  for (clk_ms t = 22000; t <= 26000; t += 1000)
    run_round (&s, t, shares);
  expect_shares (shares, "25 25 25 925");
  shr_free (s.core);
}

Test (share, share_is_held_until_lost_reduction_expires)
{
  /* The grant that reduces a node's share is lost, and the node uses the
     larger one until it expires. If the others got that part earlier,
     the account would exceed its limit. */
  struct home_sim s = home_sim_new (-20000, true);
  struct node_share shares[NODES] = { 0 };
  s.demand[0] = 2000;
  for (clk_ms t = 0; t <= 5000; t += 1000)
    run_round (&s, t, shares);
  expect_shares (shares, "925 25 25 25");
  s.demand[0] = 0;
  s.demand[1] = 2000;
  s.linked[0] = false;
  for (clk_ms t = 6000; t <= 20000; t += 500)
    {
      if (t % 1000 == 0)
        run_round (&s, t, shares);
      cr_expect_leq (sum_usable_shares (shares, t), LIMIT + 0.5,
                     "at %lld: %.1f", (long long)t,
                     sum_usable_shares (shares, t));
    }
  cr_expect_float_eq (shares[1].amount, 700, 0.5, "%.1f", shares[1].amount);
  shr_free (s.core);
}

Test (share, partition_does_not_multiply_the_limit)
{
  /* A partition leaves a home on both sides, with high demand on each.
     The new home does not know the grants of the old one; the sum must
     never exceed the limit. */
  struct home_sim a = home_sim_new (-20000, true);
  struct home_sim b = home_sim_new (-20000, false);
  struct shr_amount limit = { LIMIT, 0 };
  struct node_share shares[NODES] = { 0 };
  a.demand[0] = a.demand[2] = b.demand[2] = b.demand[3] = 2000;
  for (clk_ms t = 0; t <= 5000; t += 1000)
    run_round (&a, t, shares);
  a.linked[2] = a.linked[3] = b.linked[0] = b.linked[1] = false;
  for (clk_ms t = 6000; t <= 30000; t += 500)
    {
      if (t == 7000)
        shr_set_account (b.core, t, STR ("acme"), &limit, true);
      if (t % 1000 == 0)
        run_round (&a, t, shares);
      if (t % 1000 == 500)
        run_round (&b, t, shares);
      cr_expect_leq (sum_usable_shares (shares, t), LIMIT + 0.5,
                     "at %lld: %.1f", (long long)t,
                     sum_usable_shares (shares, t));
    }
  expect_shares (shares, "475 25 250 250");
  shr_free (a.core);
  shr_free (b.core);
}

Test (share, new_home_waits_for_unknown_grants)
{
  /* The home fails, and node 3, which holds nearly the whole limit, is
     cut off and continues to serve. Even parts granted at once by the
     new home would be added to the share of node 3. */
  struct home_sim a = home_sim_new (-20000, true);
  struct home_sim b = home_sim_new (-20000, false);
  struct shr_amount limit = { LIMIT, 0 };
  struct node_share shares[NODES] = { 0 };
  a.demand[3] = 2000;
  for (clk_ms t = 0; t <= 6000; t += 1000)
    run_round (&a, t, shares);
  expect_shares (shares, "25 25 25 925");
  b.demand[0] = b.demand[1] = b.demand[2] = 2000;
  b.linked[3] = false;
  shr_set_account (b.core, 6500, STR ("acme"), &limit, true);
  for (clk_ms t = 6500; t <= 30000; t += 500)
    {
      run_round (&b, t, shares);
      cr_expect_leq (sum_usable_shares (shares, t), LIMIT + 0.5,
                     "at %lld: %.1f", (long long)t,
                     sum_usable_shares (shares, t));
    }
  expect_shares (shares, "250 250 250 925");
  shr_free (a.core);
  shr_free (b.core);
}
