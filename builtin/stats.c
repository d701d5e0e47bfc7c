#include "builtin/stats.h"

#include <stdlib.h>

static int
by_value (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;

  return (x > y) - (x < y);
}

void
sta_sort (double *v, size_t n)
{
  if (n > 0)
    qsort (v, n, sizeof *v, by_value);
}

double
sta_median (double *v, size_t n)
{
  sta_sort (v, n);
  return n ? v[n / 2] : 0;
}

double
sta_quantile (const double *sorted, size_t n, double q)
{
  return n ? sorted[(size_t)(q * (double)(n - 1))] : 0;
}
