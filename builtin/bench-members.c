#include "builtin/bench.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "builtin/members-run.h"
#include "builtin/commands.h"
#include "builtin/stats.h"
#include "lapisline.h"

#define MOST_SIZES 16
#define MOST_RUNS 25

/* What a node may spend on control, see docs/CAPACITY.md. */
#define BUDGET_BYTES 25000.0
#define BUDGET_CORE 2.9

static gint seed = 1, runs = 5, kills = 10, freeze_s = 120;
static gchar *nodes_list;
static gboolean as_csv;

static const GOptionEntry entries[]
    = { { "nodes", 0, 0, G_OPTION_ARG_STRING, &nodes_list,
          "sizes, with commas (8,32,110,330)", "LIST" },
        { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "first seed", "N" },
        { "runs", 0, 0, G_OPTION_ARG_INT, &runs, "runs per size (5)", "N" },
        { "kills", 0, 0, G_OPTION_ARG_INT, &kills, "kills per run (10)", "N" },
        { "freezes", 0, 0, G_OPTION_ARG_INT, &freeze_s,
          "seconds with random freezes per run (120)", "S" },
        { "csv", 0, 0, G_OPTION_ARG_NONE, &as_csv,
          "medians only, for bench plot", NULL },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

/** A figure of each run and how to show it. */
struct figure
{
  const char *name;
  size_t at; /**< offset in struct members_result */
  const char *format;
};

#define FIGURE(name, field, format)                                           \
  {                                                                           \
    name, offsetof (struct members_result, field), format                     \
  }

static const struct figure figures[] = {
  FIGURE ("first accusation of a killed node, ms, p50", suspect_p50, "%.0f"),
  FIGURE ("first accusation of a killed node, ms, p99", suspect_p99, "%.0f"),
  FIGURE ("held for silent by an observer, ms, p50", silent_p50, "%.0f"),
  FIGURE ("held for silent by an observer, ms, p99", silent_p99, "%.0f"),
  FIGURE ("held for dead by an observer, ms, p50", dead_p50, "%.0f"),
  FIGURE ("held for dead by an observer, ms, p99", dead_p99, "%.0f"),
  FIGURE ("observers that missed a death within 30 s", missed, "%.0f"),
  FIGURE ("freezes of 1 to 5 s", freezes, "%.0f"),
  FIGURE ("accusations by nodes, of any", accusations, "%.0f"),
  FIGURE ("healthy nodes taken for silent, by observers", healthy_silent,
          "%.0f"),
  FIGURE ("healthy nodes held for dead, by observers", healthy_dead, "%.0f"),
  FIGURE ("the same in a waking observer's backlog, for a moment", backlog,
          "%.0f"),
  FIGURE ("frozen nodes held for dead, by observers", frozen_dead, "%.0f"),
  FIGURE ("bytes a second sent, mean node", out_mean, "%.0f"),
  FIGURE ("bytes a second sent, busiest node", out_most, "%.0f"),
  FIGURE ("bytes a second sent and received on the wire, busiest node",
          wire_most, "%.0f"),
  FIGURE ("packets a second sent, mean node", packets, "%.1f"),
  FIGURE ("processor, % of a core per node, with the bus", core_percent,
          "%.3f"),
  FIGURE ("memory of the core, KiB", memory_kib, "%.0f"),
};

#define NFIGURES (sizeof figures / sizeof figures[0])

/** Values of one figure over all runs, in order. */
static void
values_of (const struct members_result *all, const struct figure *f,
           double out[MOST_RUNS])
{
  for (int i = 0; i < runs; i++)
    out[i] = *(const double *)((const char *)&all[i] + f->at);
  sta_sort (out, (size_t)runs);
}

static void
print_table (const struct members_params *p, const struct members_result *all)
{
  double wire[MOST_RUNS], core[MOST_RUNS];

  printf ("%d nodes, %d region%s, %d zones; median [least most] of %d runs\n",
          p->nodes, p->regions, p->regions > 1 ? "s" : "", p->zones, runs);
  for (size_t i = 0; i < NFIGURES; i++)
    {
      double v[MOST_RUNS];

      values_of (all, &figures[i], v);
      printf ("  %-62s ", figures[i].name);
      printf (figures[i].format, v[runs / 2]);
      printf (" [");
      printf (figures[i].format, v[0]);
      printf (" ");
      printf (figures[i].format, v[runs - 1]);
      printf ("]\n");
    }
  for (int i = 0; i < runs; i++)
    {
      wire[i] = all[i].wire_most;
      core[i] = all[i].core_percent;
    }
  printf ("  of 25 KB a second: %.0f%%; of 2.9%% of a core: %.0f%%\n",
          100 * sta_median (wire, (size_t)runs) / BUDGET_BYTES,
          100 * sta_median (core, (size_t)runs) / BUDGET_CORE);
  fflush (stdout);
}

static void
print_csv (const struct members_params *p, const struct members_result *all)
{
  static const size_t columns[] = { 2, 3, 4, 5 };

  printf ("%d", p->nodes);
  for (size_t i = 0; i < sizeof columns / sizeof columns[0]; i++)
    {
      double v[MOST_RUNS];

      values_of (all, &figures[columns[i]], v);
      printf (",%.0f", v[runs / 2]);
    }
  printf ("\n");
  fflush (stdout);
}

static void
measure_size (int nodes)
{
  struct members_result all[MOST_RUNS];
  struct members_params p = { .nodes = nodes,
                              .regions = nodes > 110 ? 3 : 1,
                              .zones = nodes > 110 ? 10 : 3,
                              .kills = kills,
                              .freeze_s = freeze_s };

  for (int i = 0; i < runs; i++)
    {
      p.seed = (uint64_t)seed + (uint64_t)i;
      members_run (&p, &all[i]);
    }
  if (as_csv)
    print_csv (&p, all);
  else
    print_table (&p, all);
}

/** Sizes of the list; 0 when one is no number from 2 to 1000. */
static int
parse_sizes (const char *list, int out[MOST_SIZES])
{
  gchar **parts = g_strsplit (list, ",", MOST_SIZES);
  int n = 0;

  for (; parts[n] != NULL; n++)
    {
      gint64 size;

      if (!g_ascii_string_to_signed (parts[n], 10, 2, 1000, &size, NULL))
        {
          n = 0;
          break;
        }
      out[n] = (int)size;
    }
  g_strfreev (parts);
  return n;
}

int
bench_members (int argc, char **argv)
{
  int sizes[MOST_SIZES];
  int n;

  if (!commands_options (entries,
                         "- detection, accusations and cost of membership",
                         NULL, &argc, &argv))
    return EXIT_USAGE;
  n = parse_sizes (nodes_list ? nodes_list : "8,32,110,330", sizes);
  if (argc > 1 || n == 0 || runs < 1 || runs > MOST_RUNS || kills < 1
      || freeze_s < 0)
    {
      fputs ("lapisline bench members: wrong options; see --help\n", stderr);
      return EXIT_USAGE;
    }
  if (as_csv)
    printf ("# Time until a killed node is held for silent or dead|nodes|ms\n"
            "nodes,silent p50,silent p99,dead p50,dead p99\n");
  else
    {
      bench_banner ("members", (uint64_t)seed);
      printf ("runs=%d kills=%d freezes=%d s; probes each 500 ms, answers "
              "within 200 ms, 3 helpers; an eighth of the nodes frozen at any "
              "time; "
              "talk up to 5 s after a freeze counts as about the frozen\n",
              runs, kills, freeze_s);
    }
  for (int i = 0; i < n; i++)
    measure_size (sizes[i]);
  return EXIT_DONE;
}
