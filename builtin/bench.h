/**
 * @file
 * Measurements: each builtin/bench-NAME.c defines one of them.
 *
 * Every measurement prints the version, its parameters and its seed, then
 * medians with their spread, and ends by itself within a bounded time.
 */
#ifndef LAPISLINE_BUILTIN_BENCH_H
#define LAPISLINE_BUILTIN_BENCH_H

#include <stdint.h>

/** Print "lapisline VERSION (REVISION) bench NAME seed=N". */
void bench_banner (const char *name, uint64_t seed);

int bench_assign (int argc, char **argv);
int bench_path (int argc, char **argv);
int bench_claims (int argc, char **argv);
int bench_bookings (int argc, char **argv);
int bench_members (int argc, char **argv);
int bench_decide (int argc, char **argv);
int bench_limits (int argc, char **argv);
int bench_pauses (int argc, char **argv);
int bench_plot (int argc, char **argv);
int bench_shares (int argc, char **argv);
int bench_route (int argc, char **argv);

#endif
