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

struct inv;

struct inv *inv_new (void);
void inv_free (struct inv *u);

/** Starts a new pass over the list. */
void inv_begin_list (struct inv *u);
/** Records an entry that can't be parsed.
    @retval true it is new or has changed */
bool inv_record (struct inv *u, struct str key, struct str value);
/** Ends the pass and drops the entries that it didn't record. */
void inv_end_list (struct inv *u);

/** Number of invalid entries in the last pass. */
size_t inv_count (const struct inv *u);

#endif
