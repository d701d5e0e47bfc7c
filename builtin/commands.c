#include "builtin/commands.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/nearest.h"

static void
print_usage (const struct command_table *t, FILE *out)
{
  fprintf (out, "usage: %s %s\n\n%ss:\n", t->prefix, t->syntax, t->kind);
  for (size_t i = 0; i < t->n; i++)
    fprintf (out, "  %-10s %s\n", t->rows[i].name, t->rows[i].summary);
  fprintf (out, "\n'%s %.*s --help' tells more.\n", t->prefix,
           (int)strcspn (t->syntax, " "), t->syntax);
}

static int
refuse (const struct command_table *t, const char *word)
{
  struct str *names = xcalloc (t->n, sizeof *names);

  for (size_t i = 0; i < t->n; i++)
    names[i] = str_from (t->rows[i].name);
  size_t pick = near_pick (str_from (word), names, t->n);
  fprintf (stderr, "lapisline: no %s '%s'; ", t->kind, word);
  if (pick < t->n)
    fprintf (stderr, "did you mean '%s'?\n", t->rows[pick].name);
  else
    fprintf (stderr, "see '%s --help'\n", t->prefix);
  free (names);
  return EXIT_USAGE;
}

static int
run_row (const struct command_table *t, const struct command *c, int argc,
         char **argv)
{
  char name[64];

  snprintf (name, sizeof name, "%s %s", t->prefix, c->name);
  g_set_prgname (name);
  return c->run (argc, argv);
}

int
commands_run (const struct command_table *t, int argc, char **argv)
{
  if (argc < 2)
    {
      print_usage (t, stderr);
      return EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    {
      print_usage (t, stdout);
      return EXIT_DONE;
    }
  for (size_t i = 0; i < t->n; i++)
    if (strcmp (argv[1], t->rows[i].name) == 0)
      return run_row (t, &t->rows[i], argc - 1, argv + 1);
  return refuse (t, argv[1]);
}

bool
commands_options (const GOptionEntry *entries, const char *parameters,
                  const char *summary, int *argc, char ***argv)
{
  GOptionContext *context = g_option_context_new (parameters);
  GError *error = NULL;
  bool ok;

  g_option_context_set_summary (context, summary);
  g_option_context_add_main_entries (context, entries, NULL);
  ok = g_option_context_parse (context, argc, argv, &error);
  g_option_context_free (context);
  if (!ok)
    fprintf (stderr, "%s: %s\n", g_get_prgname (), error->message);
  g_clear_error (&error);
  return ok;
}
