/**
 * @file
 * Order statistics of the samples of a measurement.
 */
#ifndef LAPISLINE_BUILTIN_STATS_H
#define LAPISLINE_BUILTIN_STATS_H

#include <stddef.h>

/** Sort in rising order. */
void sta_sort (double *v, size_t n);

/** Sort; the value in the middle (the upper one of two), 0 when n is 0. */
double sta_median (double *v, size_t n);

/**
 * Quantile of values in rising order, without interpolation.
 * @param q  from 0 to 1
 * @return   the value at place q * (n - 1), rounded down and counted from 0;
 *           0 when n is 0
 */
double sta_quantile (const double *sorted, size_t n, double q);

#endif
