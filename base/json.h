/**
 * @file
 * Members of JSON objects by name, with what an absent one counts for.
 *
 * For documents that come from other processes and may hold anything: a
 * member that is absent, null or of a type that does not convert reads as
 * empty, zero or false, and every function takes NULL or a value that is no
 * object.  (json-c ends the process when asked for the length of a value that
 * is no array.)  Where each problem has to be reported, use config/read.h.
 */
#ifndef LAPISLINE_BASE_JSON_H
#define LAPISLINE_BASE_JSON_H

#include <json-c/json.h>

#include "base/str.h"

/** Parse the JSON text at the start of @p text; NULL when there is none.
    Released with json_object_put(). */
struct json_object *jsn_parse (struct str text);

/** The member's value, borrowed; NULL when absent or null. */
struct json_object *jsn_get (const struct json_object *o, const char *key);

/** The member if it is an object, else NULL. */
struct json_object *jsn_object (const struct json_object *o, const char *key);

/**
 * The member if it is an array, else NULL.
 * @param n  receives its length, 0 for NULL
 */
struct json_object *jsn_array (const struct json_object *o, const char *key,
                               size_t *n);

/** View of a string, valid as long as @p o; empty when it is none. */
struct str jsn_str (const struct json_object *o, const char *key);

/** As jsn_str(), with a terminating NUL. */
const char *jsn_text (const struct json_object *o, const char *key);

/** A number, also one that is written as a string. */
int64_t jsn_int (const struct json_object *o, const char *key);
double jsn_double (const struct json_object *o, const char *key);

/** Whether it is the literal true; a string that says "false" is not. */
bool jsn_bool (const struct json_object *o, const char *key);

#endif
