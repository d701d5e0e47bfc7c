#include <stdio.h>

#include <glib.h>

#include "front/gateway.h"
#include "lapisline.h"

int
cmd_gateway (int argc, char **argv)
{
  char *settings = NULL, *config = NULL;
  gboolean record = FALSE;
  GError *error = NULL;
  GOptionEntry entries[]
      = { { "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings,
            "settings of this process", "FILE" },
          { "config", 0, 0, G_OPTION_ARG_FILENAME, &config,
            "run without control on this configuration folder", "DIR" },
          { "record", 0, 0, G_OPTION_ARG_NONE, &record,
            "stream the request core's events to standard output", NULL },
          { 0 } };
  GOptionContext *oc = g_option_context_new ("- carry callers' requests");

  g_option_context_set_summary (
      oc, "Runs until SIGTERM, then leaves without cutting off a request.");
  g_option_context_add_main_entries (oc, entries, NULL);
  if (!g_option_context_parse (oc, &argc, &argv, &error))
    {
      fprintf (stderr, "lapisline gateway: %s\n", error->message);
      g_clear_error (&error);
      return EXIT_USAGE;
    }
  g_option_context_free (oc);
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
