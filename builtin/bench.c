#include "builtin/bench.h"

#include <stdio.h>
#include <string.h>

#include "lapisline.h"

#ifndef LAPISLINE_REVISION
#define LAPISLINE_REVISION "unknown revision"
#endif

struct measurement
{
  const char *name;
  cmd_fn run;
  const char *summary;
};

static const struct measurement measurements[] = {
  { "route", bench_route, "time to first token by routing policy" },
  { "assign", bench_assign, "replicas through months of lost VMs" },
  { "path", bench_path, "what a gateway adds to a request" },
  { "claims", bench_claims, "store writes and waiting of claims" },
  { "members", bench_members, "detection, accusations, cost of membership" },
  { "decide", bench_decide, "processor time and memory of decisions" },
  { "limits", bench_limits, "an account's limit through a partition" },
  { "plot", bench_plot, "draw a table of figures as SVG" },
};

#define NMEASUREMENTS (sizeof measurements / sizeof measurements[0])

void
bench_banner (const char *name, uint64_t seed)
{
  printf ("lapisline %s (%s) bench %s seed=%llu\n", LAPISLINE_VERSION,
          LAPISLINE_REVISION, name, (unsigned long long)seed);
}

static void
print_usage (FILE *out)
{
  fputs ("usage: lapisline bench NAME [OPTION...]\n\nmeasurements:\n", out);
  for (size_t i = 0; i < NMEASUREMENTS; i++)
    fprintf (out, "  %-10s %s\n", measurements[i].name,
             measurements[i].summary);
}

int
cmd_bench (int argc, char **argv)
{
  if (argc > 1 && strcmp (argv[1], "--help") == 0)
    {
      print_usage (stdout);
      return EXIT_DONE;
    }
  for (size_t i = 0; argc > 1 && i < NMEASUREMENTS; i++)
    if (strcmp (argv[1], measurements[i].name) == 0)
      return measurements[i].run (argc - 1, argv + 1);
  print_usage (stderr);
  return EXIT_USAGE;
}
