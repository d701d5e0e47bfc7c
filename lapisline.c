#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "builtin/commands.h"

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
  { "serve", cmd_serve, "serve as a node on the platform" },
  { "trace", cmd_trace, "show a trace over all nodes" },
  { "version", cmd_version, "print the version" },
};

static const struct command_table table = {
  .prefix = "lapisline",
  .kind = "command",
  .syntax = "COMMAND [OPTION...]",
  .rows = commands,
  .n = G_N_ELEMENTS (commands),
};

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

int
main (int argc, char **argv)
{
  g_set_print_handler (print_plain);
  if (argc > 1 && strcmp (argv[1], "--version") == 0)
    return cmd_version (argc - 1, argv + 1);
  return commands_run (&table, argc, argv);
}
