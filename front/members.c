#include "front/members.h"

#include <stdbool.h>
#include <stdlib.h>

#include "base/str.h"

static int
compare_descending (const void *a, const void *b)
{
  const clk_ms *x = a, *y = b;

  return *x > *y ? -1 : *x < *y;
}

/** Whether two states can be of the same generation; 0 matches every one.
    While the replica's generation is unknown, members of any generation match
    the replica, and those of different ones must not be counted together. */
static bool
same_generation (const struct member_report *a, const struct member_report *b)
{
  return a->generation == 0 || b->generation == 0
         || a->generation == b->generation;
}

clk_ms
members_complete_at (const struct member_report *states, size_t n, size_t need,
                     size_t leader)
{
  clk_ms *at, oldest;

  if (leader == n || states[leader].at == 0)
    return 0;
  at = xcalloc (n, sizeof *at);
  for (size_t i = 0; i < n; i++)
    at[i] = same_generation (&states[i], &states[leader]) ? states[i].at : 0;
  qsort (at, n, sizeof *at, compare_descending);
  oldest = at[need - 1];
  free (at);
  return states[leader].at < oldest ? states[leader].at : oldest;
}

/** Index of the only member that reports this rank, or @p n if none or several
    do. */
static size_t
find_unique_rank (const struct member_report *states, size_t n,
                  int64_t generation, int64_t rank)
{
  size_t found = n;

  for (size_t i = 0; i < n; i++)
    {
      if (states[i].at == 0 || states[i].generation != generation
          || states[i].rank != rank)
        continue;
      if (found != n)
        return n;
      found = i;
    }
  return found;
}

/** Earliest probe time of the members of a complete generation; 0: some rank
    is missing or reported by several members. */
static clk_ms
complete_at (const struct member_report *states, size_t n, size_t need,
             int64_t generation)
{
  clk_ms at = 0;

  for (size_t rank = 0; rank < need; rank++)
    {
      size_t i = find_unique_rank (states, n, generation, (int64_t)rank);
      if (i == n)
        return 0;
      if (at == 0 || states[i].at < at)
        at = states[i].at;
    }
  return at;
}

size_t
members_leader (const struct member_report *states, size_t n, size_t need,
                clk_ms *at)
{
  size_t leader = n;

  *at = 0;
  for (size_t i = 0; i < n; i++)
    {
      if (states[i].at == 0 || states[i].rank != 0)
        continue;
      if (leader < n && states[i].generation <= states[leader].generation)
        continue;
      clk_ms seen = complete_at (states, n, need, states[i].generation);
      if (seen == 0)
        continue;
      leader = i;
      *at = seen;
    }
  return leader;
}
