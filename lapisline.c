#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "config/nearest.h"
#include "lapisline.h"

struct command
{
  const char *name;
  cmd_fn run;
  const char *summary;
};

static const struct command commands[] = {
  { "account", cmd_account, "list client accounts" },
  { "address", cmd_address, "ask which address callers should use" },
  { "bench", cmd_bench, "measure decisions and costs" },
  { "config", cmd_config, "check, push, show, diff and follow configuration" },
  { "control", cmd_control, "run a node's control process" },
  { "gateway", cmd_gateway, "carry callers' requests" },
  { "metrics", cmd_metrics, "print counters of a process" },
  { "node", cmd_node, "list, show and drain nodes" },
  { "replay", cmd_replay, "feed recorded events to a decision core" },
  { "replica", cmd_replica, "list, show and drain replicas" },
  { "trace", cmd_trace, "show a trace over all nodes" },
  { "version", cmd_version, "print the version" },
};

#define NCOMMANDS (sizeof commands / sizeof commands[0])

static void
print_usage (FILE *out)
{
  fputs ("usage: lapisline COMMAND [OPTION...]\n\ncommands:\n", out);
  for (size_t i = 0; i < NCOMMANDS; i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].summary);
  fputs ("\n'lapisline COMMAND --help' tells more.\n", out);
}

/**
 * GLib's help says "[OPTION...]" with one character outside ASCII, which it
 * turns into a question mark where the locale is "C", as on servers.
 */
static void
print_plain (const gchar *text)
{
  static const char ellipsis[] = "\xe2\x80\xa6";
  const char *at;

  for (; (at = strstr (text, ellipsis)) != NULL; text = at + 3)
    printf ("%.*s...", (int)(at - text), text);
  fputs (text, stdout);
}

static int
no_command (const char *word)
{
  struct str names[NCOMMANDS];

  for (size_t i = 0; i < NCOMMANDS; i++)
    names[i] = str_from (commands[i].name);
  size_t pick = near_pick (str_from (word), names, NCOMMANDS);
  fprintf (stderr, "lapisline: no command '%s'; ", word);
  if (pick < NCOMMANDS)
    fprintf (stderr, "did you mean '%s'?\n", commands[pick].name);
  else
    fputs ("see 'lapisline --help'\n", stderr);
  return EXIT_USAGE;
}

static int
run (const struct command *c, int argc, char **argv)
{
  char name[64];
  snprintf (name, sizeof name, "lapisline %s", c->name);
  g_set_prgname (name); /* shown by --help */
  return c->run (argc, argv);
}

int
main (int argc, char **argv)
{
  g_set_print_handler (print_plain);
  if (argc < 2)
    {
      print_usage (stderr);
      return EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    {
      print_usage (stdout);
      return EXIT_DONE;
    }
  if (strcmp (argv[1], "--version") == 0)
    return cmd_version (argc - 1, argv + 1);
  for (size_t i = 0; i < NCOMMANDS; i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return run (&commands[i], argc - 1, argv + 1);
  return no_command (argv[1]);
}
