#include "builtin/bench.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/rng.h"
#include "builtin/assign-world.h"
#include "builtin/commands.h"
#include "builtin/stats.h"
#include "lapisline.h"

#define DAY_MS (24 * 60 * CLK_MINUTE)
#define MAX_SEEDS 21
#define NRULES 3
#define CORE_SECONDS 1000

/* The fleet that the rates are given for. */
#define FLEET_VMS 4800.0
#define FLEET_DOMAINS 75.0
#define FLEET_ZONES 10.0

/* Events a day in that fleet. */
#define FAILURES 6.0
#define RESTARTS 67.0
#define RACKS (1 / 45.0)
#define ZONES (1 / 60.0)

/* How long things are away, in seconds: the least and the mean beyond it.
   The rates are given; these times are assumed. */
static const struct
{
  double least, more;
} restart_s = { 120, 180 }, failure_s = { 7200, 10800 },
  rack_s = { 1200, 1200 }, zone_s = { 1800, 1800 };

struct deployment
{
  const char *name;
  unsigned domains;
  struct awd_shape shape;
};

/* "bare" has no spare VMs. */
static const struct deployment deployments[]
    = { { "nairobi", 13, { 5, 8, 2, 400, 10, 3, 1, 300000 } },
        { "taipei", 13, { 5, 8, 2, 400, 10, 1, 3, 300000 } },
        { "nairobi-bare", 13, { 5, 8, 0, 400, 10, 3, 1, 300000 } },
        { "taipei-bare", 13, { 5, 8, 0, 400, 10, 1, 3, 300000 } },
        { "600-nairobi", 75, { 8, 8, 2, 400, 10, 3, 1, 300000 } },
        { "600-taipei", 75, { 8, 8, 2, 400, 10, 1, 3, 300000 } } };

/* So many of them have 65 replicas. */
#define SMALL 4
#define NDEPLOYMENTS (sizeof deployments / sizeof deployments[0])

static const char *const rule_names[NRULES]
    = { "by cost", "always dissolve", "always wait" };

static double
exponential (struct rng *rng, double mean)
{
  return -mean * log (1 - rng_unit (rng));
}

/** Faults of one domain, ordered by time. */
struct trace
{
  struct awd_fault *faults;
  size_t n;
};

static void
add_kind (struct trace *t, struct rng *rng, double per_day, clk_ms from,
          clk_ms to, unsigned vms, unsigned group, double least, double more)
{
  double at = (double)from;

  for (;;)
    {
      struct awd_fault f = { .n = group };

      at += exponential (rng, (double)DAY_MS / per_day);
      if (at >= (double)to)
        return;
      f.at = (clk_ms)at;
      f.first = (unsigned)rng_below (rng, vms - group + 1);
      f.away = (clk_ms)(1000 * (least + exponential (rng, more)));
      t->faults = xrealloc (t->faults, (t->n + 1) * sizeof *t->faults);
      t->faults[t->n++] = f;
    }
}

static int
by_time (const void *a, const void *b)
{
  const struct awd_fault *x = a, *y = b;

  return x->at < y->at ? -1 : x->at > y->at;
}

static struct trace
make_trace (const struct awd_shape *s, struct rng *rng, clk_ms from, clk_ms to)
{
  struct trace t = { 0 };
  unsigned vms = s->replicas * s->vms + s->spares;
  double share = vms / FLEET_VMS;

  add_kind (&t, rng, FAILURES * share, from, to, vms, 1, failure_s.least,
            failure_s.more);
  add_kind (&t, rng, RESTARTS * share, from, to, vms, 1, restart_s.least,
            restart_s.more);
  add_kind (&t, rng, RACKS / FLEET_DOMAINS, from, to, vms, s->vms,
            rack_s.least, rack_s.more);
  add_kind (&t, rng, ZONES / FLEET_ZONES, from, to, vms, vms, zone_s.least,
            zone_s.more);
  if (t.n > 0)
    qsort (t.faults, t.n, sizeof *t.faults, by_time);
  return t;
}

/** Hours of downtime, VM-hours stranded, and their weighted sum. */
struct outcome
{
  double downtime, stranded, weighted;
};

static void
run_domain (const struct deployment *d, struct cfg *cfg,
            enum rep_repair_policy rule, uint64_t seed, unsigned days,
            struct outcome *sum)
{
  struct awd *w = awd_new (cfg, &d->shape, rule, false, seed);
  struct rng rng;
  struct trace t;
  double down0, stranded0, down, stranded;
  clk_ms until;

  awd_settle (w, DAY_MS);
  awd_measures (w, &down0, &stranded0);
  until = awd_now (w) + days * DAY_MS;
  /* The same seed gives every rule the same faults. */
  rng_seed (&rng, seed);
  t = make_trace (&d->shape, &rng, awd_now (w), until);
  awd_run (w, t.faults, t.n, until);
  awd_measures (w, &down, &stranded);
  sum->downtime += (down - down0) / 3600;
  sum->stranded += (stranded - stranded0) / 3600;
  free (t.faults);
  awd_free (w);
}

static struct outcome
run_deployment (const struct deployment *d, enum rep_repair_policy rule,
                uint64_t seed, unsigned days)
{
  struct cfg *cfg = awd_config (&d->shape);
  struct outcome sum = { 0 };

  for (unsigned i = 0; i < d->domains; i++)
    run_domain (d, cfg, rule, seed * 1000 + i, days, &sum);
  cfg_unref (cfg);
  sum.weighted = d->shape.downtime_weight * sum.downtime
                 + d->shape.stranded_weight * sum.stranded;
  return sum;
}

/* Median with the least and the greatest. */
static void
print_spread (double *values, unsigned n)
{
  sta_sort (values, n);
  printf (" %9.2f [%8.2f %8.2f]", values[n / 2], values[0], values[n - 1]);
}

static void
print_rule (const struct deployment *d, enum rep_repair_policy rule,
            const struct outcome *o, unsigned n)
{
  double down[MAX_SEEDS], stranded[MAX_SEEDS], weighted[MAX_SEEDS];

  for (unsigned i = 0; i < n; i++)
    {
      down[i] = o[i].downtime;
      stranded[i] = o[i].stranded;
      weighted[i] = o[i].weighted;
    }
  printf ("%-12s %-16s", d->name, rule_names[rule]);
  print_spread (down, n);
  print_spread (stranded, n);
  print_spread (weighted, n);
  putchar ('\n');
  fflush (stdout);
}

static void
compare_rules (const struct deployment *d, uint64_t seed, unsigned seeds,
               unsigned days)
{
  struct outcome o[MAX_SEEDS];

  for (int rule = 0; rule < NRULES; rule++)
    {
      for (unsigned i = 0; i < seeds; i++)
        o[i]
            = run_deployment (d, (enum rep_repair_policy)rule, seed + i, days);
      print_rule (d, (enum rep_repair_policy)rule, o, seeds);
    }
}

/* A whole domain goes dark for half an hour and comes back blank. */
static void
run_dark (const struct deployment *d, bool no_budget, uint64_t seed)
{
  struct cfg *cfg = awd_config (&d->shape);
  struct awd *w
      = awd_new (cfg, &d->shape, REP_REPAIR_BY_COST, no_budget, seed);
  unsigned vms = d->shape.replicas * d->shape.vms + d->shape.spares;
  struct awd_fault f = { .n = vms, .away = 30 * CLK_MINUTE };
  const clk_ms *at = awd_whole_at (w);
  double sum = 0;
  clk_ms back;

  awd_settle (w, DAY_MS);
  f.at = awd_now (w) + CLK_MINUTE;
  back = f.at + f.away;
  awd_run (w, &f, 1, back);
  awd_settle (w, DAY_MS);
  for (unsigned i = 0; i < d->shape.replicas; i++)
    sum += (double)(at[i] - back) / 1000;
  printf ("%-12s %-16s first whole %6.0f s, mean %6.0f s, all %6.0f s\n",
          d->name, no_budget ? "all at once" : "one at a time",
          (double)(at[0] - back) / 1000, sum / d->shape.replicas,
          (double)(at[d->shape.replicas - 1] - back) / 1000);
  awd_free (w);
  cfg_unref (cfg);
}

static double
cpu_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

/* Processor time of the core alone, without sockets. */
static void
measure_core (const struct deployment *d, uint64_t seed)
{
  struct cfg *cfg = awd_config (&d->shape);
  struct awd *w = awd_new (cfg, &d->shape, REP_REPAIR_BY_COST, false, seed);
  double start, per_second;

  awd_settle (w, DAY_MS);
  start = cpu_ms ();
  awd_idle (w, CORE_SECONDS);
  per_second = (cpu_ms () - start) / CORE_SECONDS;
  printf ("core: %.3f ms of processor time a second for %u VMs in %u "
          "replicas\n",
          per_second, d->shape.replicas * d->shape.vms + d->shape.spares,
          d->shape.replicas);
  awd_free (w);
  cfg_unref (cfg);
}

int
bench_assign (int argc, char **argv)
{
  gint days = 30, seeds = 5, seed = 1;
  gboolean small = FALSE;
  GOptionEntry entries[]
      = { { "days", 0, 0, G_OPTION_ARG_INT, &days, "days of faults", "N" },
          { "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "number of seeds", "N" },
          { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "first seed", "N" },
          { "small", 0, 0, G_OPTION_ARG_NONE, &small,
            "only the deployments of 65 replicas", NULL },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };

  if (!commands_options (entries, "- measure the assignment", NULL, &argc,
                         &argv))
    return EXIT_USAGE;
  if (days < 1 || seeds < 1 || seeds > MAX_SEEDS)
    {
      fputs ("lapisline bench assign: days or seeds out of range\n", stderr);
      return EXIT_USAGE;
    }
  bench_banner ("assign", (uint64_t)seed);
  printf ("%d days, %d seeds; hours of group downtime, VM-hours stranded, "
          "weighted sum: median [least greatest]\n",
          days, seeds);
  for (size_t i = 0; i < NDEPLOYMENTS && !(small && i == SMALL); i++)
    compare_rules (&deployments[i], (uint64_t)seed, (unsigned)seeds,
                   (unsigned)days);
  for (size_t i = 0; i < NDEPLOYMENTS && !(small && i == SMALL); i += SMALL)
    {
      run_dark (&deployments[i], true, (uint64_t)seed);
      run_dark (&deployments[i], false, (uint64_t)seed);
    }
  measure_core (&deployments[0], (uint64_t)seed);
  measure_core (&deployments[SMALL], (uint64_t)seed);
  return EXIT_DONE;
}
