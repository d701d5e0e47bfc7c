/**
 * @file
 * One run of `lapisline bench members`: the product's membership cores on a
 * bus with a virtual clock, first quiet, then with kills, then with freezes.
 */
#ifndef LAPISLINE_BUILTIN_MEMBERS_RUN_H
#define LAPISLINE_BUILTIN_MEMBERS_RUN_H

#include <stdint.h>

struct members_params
{
  uint64_t seed;
  int nodes, regions, zones;
  int kills;    /**< one at a time, each replaced afterwards */
  int freeze_s; /**< seconds in which nodes freeze for 1 to 5 s */
};

/** Times in milliseconds, rates per second and node. */
struct members_result
{
  double suspect_p50, suspect_p99; /**< until the first accusation */
  double silent_p50, silent_p99;   /**< per observer: suspected or dead */
  double dead_p50, dead_p99;       /**< per observer */
  double missed;
  double freezes, accusations;
  double healthy_silent, healthy_dead, backlog, frozen_dead;
  double out_mean, out_most, wire_most, packets;
  double core_percent, memory_kib;
};

void members_run (const struct members_params *p, struct members_result *out);

#endif
