/**
 * @file
 * Where the values of a JSON text stand: pointer to line.
 */
#ifndef LAPISLINE_CONFIG_LOCATE_H
#define LAPISLINE_CONFIG_LOCATE_H

#include "base/findings.h"

struct loc_entry
{
  char *pointer; /**< RFC 6901 */
  int line;
};

/** Every member and element of one text, ordered by pointer. */
struct loc_map
{
  struct loc_entry *entries;
  size_t n;
};

/**
 * Index a text that cfj_read() accepted.
 * @param findings  receives every key that stands twice in one object; a
 *                  parser would silently keep the last
 */
void loc_read (struct str text, const char *file, struct loc_map *out,
               struct fnd_list *findings);
void loc_free (struct loc_map *m);

/** Line of the value at @p pointer, or 0 when the text does not set it. */
int loc_line (const struct loc_map *m, const char *pointer);

/** As loc_line(), or of the nearest enclosing value; 0 for the top. */
int loc_nearest (const struct loc_map *m, const char *pointer);

/** Order the findings from number @p first on by file, line and pointer. */
void loc_sort_findings (struct fnd_list *l, size_t first);

/** Append one step of a pointer, escaped as of RFC 6901. */
void loc_add_step (struct buf *pointer, struct str key);

#endif
