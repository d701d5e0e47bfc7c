/**
 * @file
 * Tracks the invalid entries of the backend server list: which of them are new
 * or have changed, and how many there are.
 *
 * The list is read several times a second, and an invalid entry by another
 * writer may stay in it permanently. It is logged only when it appears or
 * changes.
 */
#ifndef LAPISLINE_SERVE_INVALID_ENTRIES_H
#define LAPISLINE_SERVE_INVALID_ENTRIES_H

#include "base/str.h"

struct unr;

struct unr *unr_new (void);
void unr_free (struct unr *u);

/** Starts a new pass over the list. */
void unr_begin (struct unr *u);
/** Records an entry that can't be parsed. @return whether it is new or has
    changed */
bool unr_note (struct unr *u, struct str key, struct str value);
/** Ends the pass and drops the entries that it didn't record. */
void unr_end (struct unr *u);

/** Number of invalid entries in the last pass. */
size_t unr_count (const struct unr *u);

#endif
