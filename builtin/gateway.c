#include <stdio.h>

#include "builtin/commands.h"
#include "front/gateway.h"
#include "lapisline.h"

int
cmd_gateway (int argc, char **argv)
{
  char *settings = NULL, *config = NULL;
  gboolean record = FALSE;
  GOptionEntry entries[]
      = { { "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings,
            "settings of this process", "FILE" },
          { "config", 0, 0, G_OPTION_ARG_FILENAME, &config,
            "run without control on this configuration folder", "DIR" },
          { "record", 0, 0, G_OPTION_ARG_NONE, &record,
            "stream the request core's events to standard output", NULL },
          { 0 } };

  if (!commands_options (
          entries, "- carry callers' requests",
          "Runs until SIGTERM, then leaves without cutting off a request.",
          &argc, &argv))
    return EXIT_USAGE;
  if (settings == NULL || argc > 1)
    {
      fputs ("lapisline gateway: --settings FILE is needed\n", stderr);
      return EXIT_USAGE;
    }
  struct gw_options opt
      = { .settings = settings, .config = config, .record = record };
  int code = gw_run (&opt);
  g_free (settings);
  g_free (config);
  return code;
}
