#include "front/members.h"

#include <stdbool.h>
#include <stdlib.h>

#include "base/str.h"

static int
latest_first (const void *a, const void *b)
{
  const clk_ms *x = a, *y = b;

  return *x > *y ? -1 : *x < *y;
}

/** While no generation is known, members of two of them would each fit. */
static bool
agree (const struct member_said *a, const struct member_said *b)
{
  return a->generation == 0 || b->generation == 0
         || a->generation == b->generation;
}

clk_ms
members_whole_at (const struct member_said *said, size_t n, size_t need,
                  size_t leader)
{
  clk_ms *at, oldest;

  if (leader == n || said[leader].at == 0)
    return 0;
  at = xcalloc (n, sizeof *at);
  for (size_t i = 0; i < n; i++)
    at[i] = agree (&said[i], &said[leader]) ? said[i].at : 0;
  qsort (at, n, sizeof *at, latest_first);
  oldest = at[need - 1];
  free (at);
  return said[leader].at < oldest ? said[leader].at : oldest;
}

/** The one member that says this rank, or @p n. */
static size_t
only_one (const struct member_said *said, size_t n, int64_t generation,
          int64_t rank)
{
  size_t found = n;

  for (size_t i = 0; i < n; i++)
    {
      if (said[i].at == 0 || said[i].generation != generation
          || said[i].rank != rank)
        continue;
      if (found != n)
        return n;
      found = i;
    }
  return found;
}

/** When the last of all ranks of a generation was asked; 0: not all fit. */
static clk_ms
complete_at (const struct member_said *said, size_t n, size_t need,
             int64_t generation)
{
  clk_ms at = 0;

  for (size_t rank = 0; rank < need; rank++)
    {
      size_t i = only_one (said, n, generation, (int64_t)rank);
      if (i == n)
        return 0;
      if (at == 0 || said[i].at < at)
        at = said[i].at;
    }
  return at;
}

size_t
members_leader (const struct member_said *said, size_t n, size_t need,
                clk_ms *at)
{
  size_t leader = n;

  *at = 0;
  for (size_t i = 0; i < n; i++)
    {
      if (said[i].at == 0 || said[i].rank != 0)
        continue;
      if (leader < n && said[i].generation <= said[leader].generation)
        continue;
      clk_ms seen = complete_at (said, n, need, said[i].generation);
      if (seen == 0)
        continue;
      leader = i;
      *at = seen;
    }
  return leader;
}
