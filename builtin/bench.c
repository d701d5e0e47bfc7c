#include "builtin/bench.h"

#include <glib.h>
#include <stdio.h>

#include "builtin/commands.h"

#ifndef LAPISLINE_REVISION
#define LAPISLINE_REVISION "unknown revision"
#endif

static const struct command measurements[] = {
  { "route", bench_route, "time to first token by routing policy" },
  { "assign", bench_assign, "replicas through months of lost VMs" },
  { "path", bench_path, "what a gateway adds to a request" },
  { "claims", bench_claims, "store writes and waiting of claims" },
  { "bookings", bench_bookings, "what a claim adds, over real gateways" },
  { "members", bench_members, "detection, accusations, cost of membership" },
  { "decide", bench_decide, "processor time and memory of decisions" },
  { "limits", bench_limits, "an account's limit through a partition" },
  { "pauses", bench_pauses, "days on which servers ask for pauses" },
  { "shares", bench_shares, "cost of an account's home" },
  { "plot", bench_plot, "draw a table of figures as SVG" },
};

void
bench_banner (const char *name, uint64_t seed)
{
  printf ("lapisline %s (%s) bench %s seed=%llu\n", LAPISLINE_VERSION,
          LAPISLINE_REVISION, name, (unsigned long long)seed);
}

int
cmd_bench (int argc, char **argv)
{
  static const struct command_table table = {
    .prefix = "lapisline bench",
    .kind = "measurement",
    .syntax = "NAME [OPTION...]",
    .rows = measurements,
    .n = G_N_ELEMENTS (measurements),
  };

  return commands_run (&table, argc, argv);
}
