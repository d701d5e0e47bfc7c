/**
 * @file
 * Seeded random numbers (splitmix64): the same seed gives the same run.
 */
#ifndef LAPISLINE_BASE_RNG_H
#define LAPISLINE_BASE_RNG_H

#include <stdint.h>

struct rng
{
  uint64_t state;
};

void rng_seed (struct rng *r, uint64_t seed);
uint64_t rng_next (struct rng *r);

/** Uniform in [0, n); 0 when n is 0. */
uint64_t rng_below (struct rng *r, uint64_t n);

/** Uniform in [0, 1). */
double rng_unit (struct rng *r);

/** Seed from the kernel, for the process shells only. */
uint64_t rng_entropy (void);

#endif
