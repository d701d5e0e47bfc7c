/**
 * @file
 * Rendezvous hashing: which of the live nodes has a role.
 */
#ifndef LAPISLINE_FLEET_HASH_H
#define LAPISLINE_FLEET_HASH_H

#include "base/str.h"

/**
 * Index of the node with the highest weight for @p what; the order of the
 * names does not matter.  @p n must be at least 1.
 */
size_t hash_pick (struct str what, const struct str *names, size_t n);

/** As hash_pick(), the first @p k by weight; returns how many. */
size_t hash_pick_k (struct str what, const struct str *names, size_t n,
                    size_t *out, size_t k);

#endif
