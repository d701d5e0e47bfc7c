/**
 * @file
 * JSON with comments: reading with findings, merging (RFC 7396), and the one
 * canonical text of a document.
 */
#ifndef LAPISLINE_CONFIG_JSON_H
#define LAPISLINE_CONFIG_JSON_H

#include <json-c/json.h>

#include "base/findings.h"

/**
 * Parse strict JSON in which both comment forms may stand.
 * @param file  for the findings, or NULL
 * @return  an object, or NULL with a finding that has line and column
 */
struct json_object *cfj_read (struct str text, const char *file,
                              struct fnd_list *findings);

/** Lay @p patch over @p target as of RFC 7396; null takes a key away. */
void cfj_merge (struct json_object *target, struct json_object *patch);

/** Append without white space, keys in the order of their bytes. */
void cfj_canon (struct json_object *o, struct buf *out);

/** The keys of an object in the order of str_cmp(); free() the array. */
struct str *cfj_keys (struct json_object *o, size_t *n);

/**
 * Copy of @p text with comments turned to spaces; line breaks stay, so that
 * offsets and lines are those of the text.
 */
char *cfj_blank_comments (struct str text);

/** Line, from 1, of the byte at @p offset. */
int cfj_line (struct str text, size_t offset);

#endif
