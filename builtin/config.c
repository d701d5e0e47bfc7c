#include <stdio.h>
#include <string.h>

#include "builtin/config.h"
#include "config/folder.h"

struct verb
{
  const char *name;
  cmd_fn run;
  const char *summary;
};

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

static const struct verb verbs[] = {
  { "check", conf_check, "check a folder" },
  { "push", conf_push, "put a folder in force" },
  { "show", conf_show, "show what was accepted last" },
  { "diff", conf_diff, "tell what a push would change" },
  { "status", conf_status, "tell which nodes have it in force" },
};

#define NVERBS (sizeof verbs / sizeof verbs[0])

static void
print_usage (FILE *out)
{
  fputs ("usage: lapisline config VERB [OPTION...] [DIR]\n\nverbs:\n", out);
  for (size_t i = 0; i < NVERBS; i++)
    fprintf (out, "  %-7s %s\n", verbs[i].name, verbs[i].summary);
  fputs ("\n'lapisline config VERB --help' tells more.\n", out);
}

int
cmd_config (int argc, char **argv)
{
  char name[64];

  for (size_t i = 0; argc > 1 && i < NVERBS; i++)
    if (strcmp (argv[1], verbs[i].name) == 0)
      {
        snprintf (name, sizeof name, "lapisline config %s", verbs[i].name);
        g_set_prgname (name);
        return verbs[i].run (argc - 1, argv + 1);
      }
  if (argc > 1 && strcmp (argv[1], "--help") == 0)
    {
      print_usage (stdout);
      return EXIT_DONE;
    }
  print_usage (stderr);
  return EXIT_USAGE;
}
