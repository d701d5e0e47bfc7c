/**
 * @file
 * Memory that is released all at once: the strings and arrays of one
 * configuration.
 */
#ifndef LAPISLINE_CONFIG_ARENA_H
#define LAPISLINE_CONFIG_ARENA_H

#include "base/str.h"

struct arena_block;

/** All zero is a valid empty arena. */
struct arena
{
  struct arena_block *blocks;
};

/** Zeroed memory, aligned for any type. */
void *arena_alloc (struct arena *a, size_t n, size_t size);

/** Copy of the bytes, with a terminating NUL that is not counted. */
struct str arena_str (struct arena *a, struct str s);

void arena_free (struct arena *a);

#endif
