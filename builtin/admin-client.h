/**
 * @file
 * Client of the administration API for the commands that list, show and
 * drain things: options, calls, tables.
 */
#ifndef LAPISLINE_BUILTIN_ADMIN_CLIENT_H
#define LAPISLINE_BUILTIN_ADMIN_CLIENT_H

#include <glib.h>
#include <json-c/json.h>

#include "base/str.h"

/** Options of each such command. */
struct admin_client
{
  char *admin;      /**< address of a control process's admin port */
  char *token_file; /**< or NULL: LAPISLINE_TOKEN names it */
  gboolean json;    /**< print answers as they came */
  gboolean undo;    /**< take a drain back */
  bool quiet;       /**< print no refusals or failures of calls */
};

/** Column of a table: its title and the key of its value. */
struct admin_column
{
  const char *title;
  const char *key;
};

/** What a command lists, shows or drains. */
struct admin_resource
{
  const char *name;    /**< e.g. "replica" */
  const char *path;    /**< in paths and as the key of lists */
  const char *summary; /**< for --help */
  const struct admin_column *columns;
  size_t ncolumns;
  bool can_show;
  bool can_drain;
};

/** Run the command of a resource; an exit code of lapisline.h. */
int admin_client_resource (const struct admin_resource *resource, int argc,
                           char **argv);

/**
 * Parse options; --help ends the process.
 * @return  whether to go on; if not, the reason was printed
 */
bool admin_client_options (struct admin_client *a, const char *parameters,
                           const char *summary, int *argc, char ***argv);
void admin_client_free (struct admin_client *a);

/**
 * One call; a refusal or failure is printed on standard error.
 * @param with_token  whether the path needs an operator's token
 * @return  EXIT_DONE with the body in @p answer, or another exit code:
 *          EXIT_UNKNOWN when a change may or may not have happened
 */
int admin_client_call (const struct admin_client *a, const char *method,
                       const char *path, const char *body, bool with_token,
                       struct buf *answer);

/**
 * A GET with the operator's token; with --json the answer is printed as it
 * came.
 * @param root  receives the document, for json_object_put(), or NULL
 * @return  as admin_client_call()
 */
int admin_client_get (const struct admin_client *a, const char *path,
                      json_object **root);

/**
 * Print the array of objects at member @p key as a table.
 * @retval false  there is none
 */
bool admin_client_table (json_object *root, const char *key,
                         const struct admin_column *columns, size_t n);

#endif
