/**
 * @file
 * Decides from the last probe result of each member whether a replica is
 * complete, for a gateway that gets no reports from the replica's owner.
 */
#ifndef LAPISLINE_FRONT_MEMBERS_H
#define LAPISLINE_FRONT_MEMBERS_H

#include <stddef.h>

#include "base/clock.h"

/** The state that a member reported last. */
struct member_report
{
  int64_t generation; /**< 0: it was never assigned one */
  int64_t rank;       /**< below 0: not reported */
  clk_ms at;          /**< when it was probed; 0: doesn't match the replica */
};

/**
 * Check that at least @p need members match, among them the known leader.
 * @param leader  index, or @p n: it is none of them
 * @return probe time of the oldest result that is needed, or 0: too few match
 */
clk_ms members_complete_at (const struct member_report *states, size_t n,
                            size_t need, size_t leader);

/**
 * Find the leader if it is not known: the member with rank 0 of the newest
 * generation in which each rank from 0 to @p need - 1 is reported by exactly
 * one member.  A rank that is reported twice is ambiguous.
 * @param at  receives the probe time of the oldest result that is needed
 * @return the leader's index, or @p n: there is none
 */
size_t members_leader (const struct member_report *states, size_t n,
                       size_t need, clk_ms *at);

#endif
