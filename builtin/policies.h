/**
 * @file
 * Usual ways to choose a server, to measure ours against with the same core.
 * They know nothing of reports, prefixes or slots, as plain balancers.
 */
#ifndef LAPISLINE_BUILTIN_POLICIES_H
#define LAPISLINE_BUILTIN_POLICIES_H

#include "route/core.h"

enum policy
{
  POL_OURS,
  POL_HOMES, /**< ours, with slots granted by a home */
  POL_RANDOM,
  POL_ROUND_ROBIN,
  POL_LEAST,      /**< least in flight from this gateway */
  POL_TWO,        /**< the better of two at random */
  POL_OMNISCIENT, /**< one queue over all replicas that knows everything */
  POLICIES
};

extern const char *const policy_names[POLICIES];

/** Let the core choose by @p p; @p counter is round-robin's. */
void policy_install (struct rt *r, enum policy p, size_t *counter);

#endif
