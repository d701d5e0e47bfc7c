#include <stdbool.h>
#include <glib.h>
#include <stdio.h>

#include "lapisline.h"

int
cmd_version (int argc, char **argv)
{
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;

  g_option_context_set_summary (context, "Print the version.");
  bool ok = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!ok || argc > 1)
    {
      fprintf (stderr, "lapisline version: %s\n",
               ok ? "takes no arguments" : error->message);
      g_clear_error (&error);
      return EXIT_USAGE;
    }
  puts ("lapisline " LAPISLINE_VERSION);
  return EXIT_DONE;
}
