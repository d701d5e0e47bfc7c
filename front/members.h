/**
 * @file
 * Whether the members of a replica are whole by what each of them said last,
 * for a gateway that does not hear the replica's owner.
 */
#ifndef LAPISLINE_FRONT_MEMBERS_H
#define LAPISLINE_FRONT_MEMBERS_H

#include <stddef.h>

#include "base/clock.h"

/** What a member said last. */
struct member_said
{
  int64_t generation; /**< 0: it was never told one */
  int64_t rank;       /**< below 0: not said */
  clk_ms at;          /**< when it was asked; 0: it doesn't fit */
};

/**
 * As many as are needed fit, the known leader among them.
 * @param leader  index, or @p n: it is none of them
 * @return when the last of them was asked, or 0: they don't fit
 */
clk_ms members_whole_at (const struct member_said *said, size_t n, size_t need,
                         size_t leader);

/**
 * Find the leader where nobody told it: the member with rank 0 of the newest
 * generation of which each rank from 0 to @p need - 1 is said by exactly one
 * member.  A rank that is said twice leaves open whose it is.
 * @param at  receives the same time as above
 * @return its index, or @p n: there is none
 */
size_t members_leader (const struct member_said *said, size_t n, size_t need,
                       clk_ms *at);

#endif
