/**
 * @file
 * Tables of commands (those of the binary, and below `config` and `bench`)
 * and the options of each.
 */
#ifndef LAPISLINE_BUILTIN_COMMANDS_H
#define LAPISLINE_BUILTIN_COMMANDS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "lapisline.h"

struct command
{
  const char *name;
  cmd_fn run;
  const char *summary; /**< for --help */
};

struct command_table
{
  const char *prefix; /**< words before the name, e.g. "lapisline config" */
  const char *kind;   /**< what a row is called, e.g. "verb" */
  const char *syntax; /**< after the prefix, e.g. "VERB [OPTION...]" */
  const struct command *rows;
  size_t n;
};

/**
 * Run the row that argv[1] names, its name as argv[0] and the prefix in what
 * its --help shows.  Without a name, or with one that is not in the table,
 * say what there is.
 * @return  the row's exit code, EXIT_DONE after --help, or EXIT_USAGE
 */
int commands_run (const struct command_table *t, int argc, char **argv);

/**
 * Parse a command's options; --help ends the process.
 * @param parameters  what --help shows after "[OPTION...]", or NULL
 * @param summary     sentences below it, or NULL
 * @retval false  a wrong option; the reason was printed
 */
bool commands_options (const GOptionEntry *entries, const char *parameters,
                       const char *summary, int *argc, char ***argv);

#endif
