#include "base/rng.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>

void
rng_seed (struct rng *r, uint64_t seed)
{
  r->state = seed;
}

uint64_t
rng_next (struct rng *r)
{
  uint64_t z = (r->state += 0x9e3779b97f4a7c15u);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

uint64_t
rng_below (struct rng *r, uint64_t n)
{
  if (n == 0)
    return 0;
  /* Drop the values above the last whole multiple of n: they would make the
     small results likelier than the others. */
  uint64_t limit = UINT64_MAX - UINT64_MAX % n;
  uint64_t x = rng_next (r);
  while (x >= limit)
    x = rng_next (r);
  return x % n;
}

double
rng_unit (struct rng *r)
{
  return (double)(rng_next (r) >> 11) * 0x1p-53;
}

uint64_t
rng_entropy (void)
{
  uint64_t seed;
  if (getrandom (&seed, sizeof seed, 0) != (ssize_t)sizeof seed)
    {
      perror ("getrandom");
      abort ();
    }
  return seed;
}
