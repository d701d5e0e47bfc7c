#include "fleet/hash.h"

/** Whether name @p a comes before @p b for the role hashed as @p role. */
static bool
hash_before (uint64_t role, struct str a, struct str b)
{
  uint64_t wa = str_hash (a, role);
  uint64_t wb = str_hash (b, role);

  if (wa != wb)
    return wa > wb;
  return str_cmp (a, b) < 0;
}

size_t
hash_pick (struct str what, const struct str *names, size_t n)
{
  uint64_t role = str_hash (what, 0);
  size_t best = 0;

  for (size_t i = 1; i < n; i++)
    if (hash_before (role, names[i], names[best]))
      best = i;
  return best;
}

size_t
hash_pick_k (struct str what, const struct str *names, size_t n, size_t *out,
             size_t k)
{
  uint64_t role = str_hash (what, 0);
  size_t have = 0;

  if (k == 0)
    return 0;
  for (size_t i = 0; i < n; i++)
    {
      size_t at = have;

      while (at > 0 && hash_before (role, names[i], names[out[at - 1]]))
        at--;
      if (at == k)
        continue;
      if (have < k)
        have++;
      for (size_t j = have - 1; j > at; j--)
        out[j] = out[j - 1];
      out[at] = i;
    }
  return have;
}
