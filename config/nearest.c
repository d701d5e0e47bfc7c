#include "config/nearest.h"

#include <stdlib.h>

static size_t
least (size_t a, size_t b, size_t c)
{
  size_t ab = a < b ? a : b;

  return ab < c ? ab : c;
}

size_t
near_distance (struct str a, struct str b)
{
  size_t *row = xcalloc (b.len + 1, sizeof *row);
  size_t result;

  for (size_t j = 0; j <= b.len; j++)
    row[j] = j;
  for (size_t i = 1; i <= a.len; i++)
    {
      size_t diagonal = row[0];
      row[0] = i;
      for (size_t j = 1; j <= b.len; j++)
        {
          size_t above = row[j];
          size_t differs = a.ptr[i - 1] != b.ptr[j - 1];
          row[j] = least (above + 1, row[j - 1] + 1, diagonal + differs);
          diagonal = above;
        }
    }
  result = row[b.len];
  free (row);
  return result;
}

size_t
near_pick (struct str word, const struct str *known, size_t n)
{
  size_t allowed = word.len / 3 ? word.len / 3 : 1;
  size_t best = n;

  for (size_t i = 0; i < n; i++)
    {
      size_t d = near_distance (word, known[i]);
      if (d <= allowed)
        {
          best = i;
          allowed = d - (d > 0);
        }
    }
  for (size_t i = 0; best == n && word.len >= 3 && i < n; i++)
    if (str_starts (known[i], word))
      best = i;
  return best;
}
