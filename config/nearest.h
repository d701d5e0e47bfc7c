/**
 * @file
 * The known word that a mistyped one was probably meant to be.
 */
#ifndef LAPISLINE_CONFIG_NEAREST_H
#define LAPISLINE_CONFIG_NEAREST_H

#include "base/str.h"

/** Edit distance (Levenshtein) in bytes. */
size_t near_distance (struct str a, struct str b);

/**
 * Index of the nearest of @p n words, or @p n when none is near: at most a
 * third of the word, and at least one byte, may differ.  Failing that, the
 * first that the word begins, when it has three bytes or more.
 */
size_t near_pick (struct str word, const struct str *known, size_t n);

#endif
