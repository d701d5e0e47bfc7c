/*
 * Cold servers: the rate and the lifetime of their permits at one node and
 * over many nodes (scripts of t/lib-limit.h), and the choice among cold and
 * warm endpoints (scripts of t/lib-dispatch.h).
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/str.h"
#include "t/lib-dispatch.h"
#include "t/lib-limit.h"

/** Run a script for a number of nodes. */
static void
run_nodes (int nodes, const char *script, const char *expected)
{
  struct buf text = BUF_INIT;

  buf_addf (&text, "nodes %d\n bound 1.5 5\n run 3000\n%s", nodes, script);
  limit_run_script (buf_c (&text), expected);
  buf_free (&text);
}

static const int node_counts[] = { 8, 84, 116, 295 };
#define COUNTS (sizeof node_counts / sizeof node_counts[0])

/* Nodes that each used the whole rate would send a multiple of it, and nodes
   that kept too little of it would leave the server idle while requests
   wait. */
Test (cold, rate_is_shared_and_used)
{
  for (size_t i = 0; i < COUNTS; i++)
    run_nodes (node_counts[i],
               "load 300\n cold s 26 20000\n run 20000\n second s\n",
               "s kept half\n");
}

/* A node that is cut off from all relays must use no more than its share, also
   when the share is less than one permit in the cold period. */
Test (cold, nodes_without_grantor)
{
  for (size_t i = 0; i < COUNTS; i++)
    run_nodes (node_counts[i],
               "isolate\n run 5000\n load 600\n cold s 26 60000\n"
               "run 60000\n second s\n",
               "s kept little\n");
}

/* While all nodes change to another grantor and back, the permits of both must
   stay within the bound. */
Test (cold, grantor_is_cut_off)
{
  for (size_t i = 0; i < COUNTS; i++)
    run_nodes (node_counts[i],
               "load 600\n cold s 26 30000\n run 2000\n cut 1\n run 4000\n"
               "link 1\n run 2000\n freeze 1\n run 4000\n thaw 1\n run 2000\n"
               "hold 1\n run 3000\n release 1\n run 3000\n second s\n",
               "s kept little\n");
}

/* A process that has just started and knows no other node must not use the
   whole rate: here, all nodes but the relays restart while they are cut
   off. */
Test (cold, started_nodes_grant_nothing)
{
  for (size_t i = 0; i < COUNTS; i++)
    {
      struct buf text = BUF_INIT;
      int n = node_counts[i];
      buf_addf (&text,
                "leases\n load 600\n cold s 26 20000\n run 2000\n"
                "each cut 1 4\n each kill 5 %d\n run 200\n each start 5 %d\n"
                "run 1000\n each link 1 4\n run 4000\n second s\n",
                n, n);
      run_nodes (n, buf_c (&text), "s kept little\n");
      buf_free (&text);
    }
}

/* --- one node ------------------------------------------------------------ */

#define COLD ((uint64_t)7)

/** A node that is started long ago and takes its permits from a grantor. */
static struct lim *
new_follower (void)
{
  struct lim *l = lim_new (1);

  lim_configure_cold (l, 1000, &(struct lim_cold_bound){ 26, 1.5, 5 });
  lim_set_role (l, 1000, false, 2);
  return l;
}

/** Request a permit at @p now; returns `cold_ms` of the request. */
static clk_ms
request_permit (struct lim *l, clk_ms now)
{
  size_t n;
  const struct lim_permits *list;

  lim_record_demand (l, now, COLD);
  list = lim_get_demand (l, now, false, &n);
  cr_assert_eq (n, 1);
  return list[0].cold_ms;
}

/* A server must need permits only while it is cold, and only at nodes for
   which cold servers are limited. */
Test (cold, permits_are_needed_while_cold)
{
  struct lim *l = new_follower ();
  uint64_t server, sent;
  clk_ms cold_ms;

  cr_expect (lim_allows (l, 10000, COLD));
  cr_expect (lim_set_cold (l, 10000, COLD, 26, 12000));
  cr_expect_not (lim_set_cold (l, 10000, COLD, 26, 12000));
  cr_expect_not (lim_allows (l, 10000, COLD));
  cr_expect (lim_any_limited (l));
  cold_ms = request_permit (l, 10000);
  lim_add_cold_permits (l, 10005, COLD, 1, cold_ms);
  cr_expect (lim_allows (l, 10005, COLD));
  lim_use_permit (l, 10005, COLD);
  cr_expect_not (lim_allows (l, 10005, COLD));
  cr_expect_not (lim_next_warm (l, 12249, &server, &sent));
  cr_expect (lim_next_warm (l, 12250, &server, &sent) && server == COLD
             && sent == 1);
  cr_expect_not (lim_next_warm (l, 12250, &server, &sent));
  cr_expect (lim_allows (l, 12250, COLD));
  cr_expect_not (lim_any_limited (l));
  lim_free (l);
}

/* The lower one of the two rates must apply to a cold server that has named a
   limit, and the limit remains when it is warm. */
Test (cold, lower_of_two_rates)
{
  struct lim *l = new_follower ();
  struct lim_report report = { .server = COLD, .kind = LIM_REPORT_RATE };
  uint64_t server, sent;
  double cold_rate, rate;

  lim_set_cold (l, 10000, COLD, 26, 13000);
  cr_assert (lim_get_rate (l, COLD, &cold_rate));
  cr_expect (cold_rate >= 13 && cold_rate <= 26);
  report.rate = 40;
  lim_on_report (l, 10000, &report);
  cr_expect (lim_get_rate (l, COLD, &rate) && rate == cold_rate);
  report.rate = 3;
  lim_on_report (l, 10000, &report);
  cr_expect (lim_get_rate (l, COLD, &rate) && rate == 3);
  cr_expect (lim_next_warm (l, 13250, &server, &sent));
  cr_expect (lim_get_rate (l, COLD, &rate) && rate == 3);
  lim_free (l);
}

/* A permit must not be used later than 100 ms after its grant: neither for a
   request that waits for its connection, nor if the grant arrives late. */
Test (cold, permits_expire_early)
{
  struct lim *l = new_follower ();
  clk_ms cold_ms, expires_at;

  lim_set_cold (l, 10000, COLD, 26, 13000);
  cold_ms = request_permit (l, 10000);
  lim_add_cold_permits (l, 10040, COLD, 1, cold_ms);
  cr_expect (lim_allows (l, 10099, COLD));
  cr_expect_not (lim_allows (l, 10100, COLD));
  expires_at = lim_use_permit (l, 10099, COLD);
  cr_expect (lim_may_write (l, 10099, COLD, expires_at));
  cr_expect_not (lim_may_write (l, 10100, COLD, expires_at));
  cold_ms = request_permit (l, 10200);
  lim_add_cold_permits (l, 10300, COLD, 1, cold_ms);
  cr_expect_not (lim_allows (l, 10300, COLD));
  /* It waited at the grantor for 90 ms. */
  cold_ms = request_permit (l, 10400);
  lim_add_cold_permits (l, 10500, COLD, 1, cold_ms - 90);
  cr_expect (lim_allows (l, 10500, COLD));
  lim_free (l);
}

/* A request for which no permit was needed yet must not be written after the
   node has learned that the server is cold. */
Test (cold, request_chosen_before_server_was_cold)
{
  struct lim *l = new_follower ();
  clk_ms expires_at = lim_use_permit (l, 10000, COLD);

  cr_expect (lim_may_write (l, 10000, COLD, expires_at));
  lim_set_cold (l, 10010, COLD, 26, 13000);
  cr_expect_not (lim_may_write (l, 10010, COLD, expires_at));
  lim_free (l);
}

/* After a server has become cold again, a late grant must not be taken for the
   answer to a newer request. */
Test (cold, late_grant_after_cold_again)
{
  struct lim *l = new_follower ();
  clk_ms cold_ms;

  lim_set_cold (l, 10000, COLD, 26, 13000);
  cold_ms = request_permit (l, 10100);
  lim_set_cold (l, 10500, COLD, 26, 13600);
  lim_add_cold_permits (l, 10700, COLD, 1, cold_ms);
  cr_expect_not (lim_allows (l, 10700, COLD));
  lim_set_cold (l, 10550, COLD, 26, 14100);
  lim_add_cold_permits (l, 11200, COLD, 1, cold_ms);
  cr_expect_not (lim_allows (l, 11200, COLD));
  lim_free (l);
}

/* A grantor that does not know that a server is cold must learn it with the
   first request for permits, and grant no permits that last for a second. */
Test (cold, grantor_learns_from_follower)
{
  struct lim *l = new_follower ();
  struct lim_permits wanted
      = { .server = COLD, .n = 1, .rate = -1, .cold_ms = 2000 };
  const struct lim_permits *granted;
  size_t n;

  lim_set_role (l, 10000, true, 2);
  lim_on_follower_demand (l, 10000, 2, false, &wanted, 1);
  cr_expect (lim_is_cold (l, COLD));
  cr_expect_eq (lim_updates (l, 10000, &n) != NULL && n, 0);
  lim_on_follower_demand (l, 10100, 2, false, &wanted, 1);
  granted = lim_grant (l, 10115, true, &n);
  cr_assert_eq (n, 1);
  cr_expect_eq (granted[0].n, 1);
  cr_expect_eq (granted[0].cold_ms, 1985);
  wanted = (struct lim_permits){ .server = COLD, .n = 1, .rate = 50 };
  lim_on_follower_demand (l, 11000, 2, false, &wanted, 1);
  lim_grant (l, 11000, true, &n);
  cr_expect_eq (n, 0);
  lim_free (l);
}

/* --- random schedules ---------------------------------------------------- */

/** A fault that can be taken back. */
struct fault
{
  int kind, node;
};

#define FAULTS_MAX 5

static const char *const fault_commands[][2] = { { "kill", "start" },
                                                 { "freeze", "thaw" },
                                                 { "cut", "link" },
                                                 { "hold", "release" } };

static void
run_command (struct limit_fleet *f, const char *command, int n)
{
  struct buf log = BUF_INIT, text = BUF_INIT;

  buf_addf (&text, "%s %d", command, n);
  limit_run_line (f, buf_c (&text), &log);
  buf_free (&text);
  buf_free (&log);
}

static int
below (struct limit_fleet *f, int n)
{
  return (int)rng_below (&f->rng, (uint64_t)n);
}

/** Add a fault to the list, or take one back.  Every other fault meets one of
    the nodes that may be grantors. */
static void
change_fault (struct limit_fleet *f, struct fault *faults, int *n)
{
  struct fault x = { .kind = below (f, 4) };
  int i = *n ? below (f, *n) : 0;

  if (*n == FAULTS_MAX || (*n > 0 && below (f, 3) == 0))
    {
      run_command (f, fault_commands[faults[i].kind][1], faults[i].node);
      faults[i] = faults[--*n];
      return;
    }
  x.node = 1 + below (f, below (f, 2) ? LIMIT_RELAYS : f->n);
  for (i = 0; i < *n; i++)
    if (faults[i].node == x.node)
      return;
  run_command (f, fault_commands[x.kind][0], x.node);
  faults[(*n)++] = x;
}

static void
make_cold (struct limit_fleet *f)
{
  struct buf log = BUF_INIT, text = BUF_INIT;

  buf_addf (&text, "cold %c 26 %d", "ab"[below (f, 2)], 500 + below (f, 8000));
  limit_run_line (f, buf_c (&text), &log);
  buf_free (&text);
  buf_free (&log);
}

/** Run a random sequence of faults and cold periods.
    @return  the highest number of requests in any second to any server */
static size_t
run_random_faults (int nodes, uint64_t seed, int steps)
{
  struct limit_fleet *f = xcalloc (1, sizeof *f);
  static const int delays[] = { 0, 0, 0, 0, 20, 40, 80, 500 };
  struct fault faults[FAULTS_MAX];
  int nfaults = 0, cold_every;
  struct buf log = BUF_INIT;
  size_t most = 0;

  limit_fleet_init (f, nodes, seed);
  limit_run_line (f, "bound 1.5 5", &log);
  limit_run_line (f, "leases", &log);
  run_command (f, "run", 3000);
  cold_every = below (f, 2) ? 3 : 12;
  run_command (f, "load", below (f, 2) ? 250 : 1000);
  run_command (f, "connect", below (f, 2) ? 400 : 0);
  for (int i = 0; i < steps; i++)
    {
      change_fault (f, faults, &nfaults);
      if (below (f, cold_every) == 0)
        make_cold (f);
      if (below (f, 4) == 0)
        run_command (f, "delay", delays[below (f, 8)]);
      run_command (f, "run", 50 + below (f, below (f, 4) ? 400 : 2000));
    }
  for (int i = 0; i < f->nservers; i++)
    {
      size_t n = limit_max_in_second (&f->server[i]);
      most = n > most ? n : most;
      if (getenv ("LIMIT_FIGURES"))
        fprintf (stderr, "%d nodes, seed %d: most %zu, %zu in %d ms\n", nodes,
                 (int)seed, n, f->server[i].n, (int)f->server[i].cold_ms);
    }
  limit_fleet_free (f);
  free (f);
  buf_free (&log);
  return most;
}

/* The bound must be kept in every second with kills, pauses, lost links, late
   messages, several grantors and new cold periods in any order. */
Test (cold, random_faults)
{
  const char *seeds = getenv ("LIMIT_SEEDS");
  uint64_t n = seeds ? strtoull (seeds, NULL, 10) : 12;

  for (size_t i = 0; i < COUNTS; i++)
    for (uint64_t seed = 1; seed <= n; seed++)
      {
        size_t most = run_random_faults (node_counts[i], seed, 60);
        cr_expect_leq (most, 44, "%d nodes, seed %d: %zu", node_counts[i],
                       (int)seed, most);
      }
}
