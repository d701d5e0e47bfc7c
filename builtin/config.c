#include <stdio.h>

#include "builtin/commands.h"
#include "builtin/config.h"
#include "config/folder.h"

static int
conf_check (int argc, char **argv)
{
  gboolean print = FALSE;
  const GOptionEntry entries[] = {
    { "print", 0, 0, G_OPTION_ARG_NONE, &print, "print the merged document",
      NULL },
    { 0 },
  };
  struct cfg_folder folder = { 0 };
  struct buf merged = BUF_INIT;
  int code = EXIT_INPUT;

  if (!conf_parse (entries, "DIR",
                   "Merge the files of a folder and tell everything that is "
                   "wrong.\nExit codes: 0 in order, 3 errors.",
                   1, &argc, &argv))
    return EXIT_USAGE;
  if (conf_folder (argv[1], &folder, &merged))
    {
      code = EXIT_DONE;
      if (print)
        puts (buf_c (&merged));
      else
        printf ("%zu files in order\n", folder.n);
    }
  cfg_folder_free (&folder);
  buf_free (&merged);
  return code;
}

static const struct command verbs[] = {
  { "check", conf_check, "check a folder" },
  { "push", conf_push, "put a folder in force" },
  { "show", conf_show, "show what was accepted last" },
  { "diff", conf_diff, "tell what a push would change" },
  { "status", conf_status, "tell which nodes have it in force" },
};

int
cmd_config (int argc, char **argv)
{
  static const struct command_table table = {
    .prefix = "lapisline config",
    .kind = "verb",
    .syntax = "VERB [OPTION...] [DIR]",
    .rows = verbs,
    .n = G_N_ELEMENTS (verbs),
  };

  return commands_run (&table, argc, argv);
}
