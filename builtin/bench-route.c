#include "builtin/bench.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/stub.h"
#include "builtin/world.h"
#include "builtin/commands.h"
#include "builtin/stats.h"
#include "lapisline.h"

#define MOST_SEEDS 25

static gint seed = 1, seeds = 5, replicas = 65, gateways = 8;
static gchar *only_workload, *only_fault, *only_policy;
static gint only_lag = -1;
static gdouble flood, peak;
static gchar *sweep_file;

static const GOptionEntry entries[]
    = { { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "first seed", "N" },
        { "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "runs per cell (5)", "N" },
        { "replicas", 0, 0, G_OPTION_ARG_INT, &replicas, "replicas (65)",
          "N" },
        { "gateways", 0, 0, G_OPTION_ARG_INT, &gateways, "gateways (8)", "N" },
        { "workload", 0, 0, G_OPTION_ARG_STRING, &only_workload,
          "nairobi or taipei only", "NAME" },
        { "fault", 0, 0, G_OPTION_ARG_STRING, &only_fault,
          "none, straggler, lost or home only", "NAME" },
        { "policy", 0, 0, G_OPTION_ARG_STRING, &only_policy, "one policy only",
          "NAME" },
        { "lag", 0, 0, G_OPTION_ARG_INT, &only_lag,
          "reports late by this only", "MS" },
        { "flood", 0, 0, G_OPTION_ARG_DOUBLE, &flood,
          "arrivals of one more account, as part of all slots (0)", "X" },
        { "peak", 0, 0, G_OPTION_ARG_DOUBLE, &peak,
          "arrivals at the peak, as part of all slots", "X" },
        { "sweep", 0, 0, G_OPTION_ARG_FILENAME, &sweep_file,
          "write p99 over the peak as CSV for 'bench plot'", "FILE" },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

/** Medians over the seeds; p99 with its least and greatest value. */
struct row
{
  struct world_result mid;
  double p99_least, p99_most;
};

/** Fill @p sorted with one figure over the seeds; its median. */
static double
figure (const struct world_result *all, size_t offset,
        double sorted[MOST_SEEDS])
{
  for (int i = 0; i < seeds; i++)
    sorted[i] = *(const double *)((const char *)&all[i] + offset);
  return sta_median (sorted, (size_t)seeds);
}

static struct row
run_row (struct world_params p)
{
  static const size_t offsets[] = {
#define AT(field) offsetof (struct world_result, field)
    AT (p50), AT (p95),     AT (small_p99), AT (met),
    AT (hit), AT (refused), AT (failed),
#undef AT
  };
  struct world_result all[MOST_SEEDS] = { 0 };
  double v[MOST_SEEDS] = { 0 };
  struct row row = { 0 };
  for (int i = 0; i < seeds; i++)
    {
      p.seed = (uint64_t)seed + (uint64_t)i;
      all[i] = world_run (&p);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (offsets); i++)
    *(double *)((char *)&row.mid + offsets[i]) = figure (all, offsets[i], v);
  row.mid.p99 = figure (all, offsetof (struct world_result, p99), v);
  row.p99_least = v[0];
  row.p99_most = v[seeds - 1];
  return row;
}

static void
print_row (enum policy policy, const struct row *r)
{
  printf ("  %-12s %6.0f %6.0f %7.0f [%6.0f %6.0f] %7.0f %6.1f %6.1f %6.2f "
          "%6.2f\n",
          policy_names[policy], r->mid.p50, r->mid.p95, r->mid.p99,
          r->p99_least, r->p99_most, r->mid.small_p99, 100 * r->mid.met,
          100 * r->mid.hit, 100 * r->mid.refused, 100 * r->mid.failed);
  fflush (stdout);
}

/** Whether ours holds the two goals in this cell. */
static void
print_verdict (const struct row rows[POLICIES])
{
  enum policy best = POL_RANDOM;
  for (enum policy p = POL_RANDOM; p < POL_OMNISCIENT; p++)
    if (rows[p].mid.p99 < rows[best].mid.p99)
      best = p;
  for (enum policy p = POL_OURS; p <= POL_HOMES; p++)
    printf ("  p99 of %s: %.2f of the best of four (%s), %.2f of the limit\n",
            policy_names[p], rows[p].mid.p99 / rows[best].mid.p99,
            policy_names[best],
            rows[p].mid.p99 / rows[POL_OMNISCIENT].mid.p99);
}

static void
run_cell (const struct workload *w, enum world_fault fault, int lag)
{
  struct row rows[POLICIES];
  printf ("%s: reports late by %d ms, fault %s\n", w->name, lag,
          fault_names[fault]);
  for (enum policy p = 0; p < POLICIES; p++)
    {
      if (only_policy && strcmp (only_policy, policy_names[p]) != 0)
        continue;
      rows[p] = run_row ((struct world_params){ .workload = w,
                                                .policy = p,
                                                .fault = fault,
                                                .replicas = (size_t)replicas,
                                                .gateways = (unsigned)gateways,
                                                .lag_ms = lag });
      print_row (p, &rows[p]);
    }
  if (!only_policy)
    print_verdict (rows);
}

static const int lags[] = { 0, 1000, 5000 };

static void
run_workload (const struct workload *w)
{
  struct workload set = *w;
  set.flood = flood;
  if (peak > 0)
    set.peak = peak;
  if (only_workload && strcmp (only_workload, w->name) != 0)
    return;
  for (enum world_fault f = 0; f < FAULTS; f++)
    for (size_t i = 0; i < G_N_ELEMENTS (lags); i++)
      if ((!only_fault || strcmp (only_fault, fault_names[f]) == 0)
          && (only_lag < 0 || only_lag == lags[i]))
        run_cell (&set, f, lags[i]);
}

/** Table of p99 over the peak, one column a policy, for `bench plot`. */
static bool
write_sweep (const struct workload *w, int lag)
{
  static const double peaks[] = { 0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95 };
  struct workload set = *w;
  FILE *out = fopen (sweep_file, "w");
  if (!out)
    return false;
  fprintf (out,
           "# %s, reports late by %d ms|peak, part of all slots|"
           "p99 of time to first token, ms\npeak",
           w->name, lag);
  for (enum policy p = 0; p < POLICIES; p++)
    fprintf (out, ",%s", policy_names[p]);
  for (size_t i = 0; i < G_N_ELEMENTS (peaks); i++)
    {
      set.peak = peaks[i];
      fprintf (out, "\n%.2f", peaks[i]);
      for (enum policy p = 0; p < POLICIES; p++)
        fprintf (
            out, ",%.0f",
            run_row ((struct world_params){ .workload = &set,
                                            .policy = p,
                                            .replicas = (size_t)replicas,
                                            .gateways = (unsigned)gateways,
                                            .lag_ms = lag })
                .mid.p99);
    }
  fputc ('\n', out);
  return fclose (out) == 0;
}

static bool
is_known (const char *word, const char *const *words, size_t n)
{
  for (size_t i = 0; i < n; i++)
    if (!word || strcmp (word, words[i]) == 0)
      return true;
  return false;
}

/** A filter that fits nothing would print an empty table, which reads like a
    comparison without a difference. */
static bool
filters_fit (void)
{
  const char *const workloads[] = { wl_nairobi.name, wl_taipei.name };
  bool lag_fits = only_lag < 0 || sweep_file;
  for (size_t i = 0; i < G_N_ELEMENTS (lags); i++)
    lag_fits |= only_lag == lags[i];
  return lag_fits && is_known (only_policy, policy_names, POLICIES)
         && is_known (only_fault, fault_names, FAULTS)
         && is_known (only_workload, workloads, G_N_ELEMENTS (workloads));
}

int
bench_route (int argc, char **argv)
{
  if (!commands_options (entries, "- time to first token by routing policy",
                         NULL, &argc, &argv))
    return EXIT_USAGE;
  if (seeds < 1 || seeds > MOST_SEEDS || replicas < 1 || gateways < 1
      || gateways > WL_GATEWAYS)
    {
      fputs ("lapisline bench route: a number is out of range\n", stderr);
      return EXIT_USAGE;
    }
  if (!filters_fit ())
    {
      fputs ("lapisline bench route: no such workload, fault, policy or lag\n",
             stderr);
      return EXIT_USAGE;
    }
  bench_banner ("route", (uint64_t)seed);
  printf ("%d replicas of %d slots, %d gateways, %d seeds; medians, p99 with "
          "[least greatest]\n",
          replicas, STUB_SLOTS, gateways, seeds);
  printf ("  %-12s %6s %6s %7s %15s %7s %6s %6s %6s %6s\n", "policy", "p50",
          "p95", "p99", "", "small99", "met%", "hit%", "refus%", "fail%");
  if (sweep_file)
    {
      bool taipei = only_workload && strcmp (only_workload, "taipei") == 0;
      return write_sweep (taipei ? &wl_taipei : &wl_nairobi,
                          only_lag < 0 ? 1000 : only_lag)
                 ? EXIT_DONE
                 : EXIT_FAILED;
    }
  run_workload (&wl_nairobi);
  run_workload (&wl_taipei);
  return EXIT_DONE;
}
