#include <stdio.h>
#include <string.h>

#include "builtin/commands.h"
#include "lapisline.h"
#include "platform/platform.h"
#include "serve/node.h"

static bool
read_format (const char *text, enum log_format *out)
{
  if (text == NULL || strcmp (text, "json") == 0)
    *out = LOG_JSON;
  else if (strcmp (text, "text") == 0)
    *out = LOG_TEXT;
  else
    return false;
  return true;
}

int
cmd_serve (int argc, char **argv)
{
  char *settings = NULL, *format = NULL;
  gboolean verbose = FALSE;
  GOptionEntry entries[]
      = { { "settings", 0, 0, G_OPTION_ARG_FILENAME, &settings,
            "settings of this node; default: where the platform puts them",
            "FILE" },
          { "log-format", 0, 0, G_OPTION_ARG_STRING, &format,
            "json (default) or text", "FORMAT" },
          { "verbose", 0, 0, G_OPTION_ARG_NONE, &verbose,
            "log debug events as well", NULL },
          { 0 } };
  struct srv_options opt = { .adapter = &plt_adapter };
  int code;

  if (!commands_options (entries, "- serve as a node on the platform",
                         "Runs until SIGTERM, then leaves without cutting "
                         "off a request.",
                         &argc, &argv))
    return EXIT_USAGE;
  if (argc > 1 || !read_format (format, &opt.log_format))
    {
      fputs ("lapisline serve: --log-format is json or text, and there are "
             "no arguments\n",
             stderr);
      g_free (settings);
      g_free (format);
      return EXIT_USAGE;
    }
  opt.settings = settings;
  opt.log_level = verbose ? LOG_DEBUG : LOG_INFO;
  code = srv_run (&opt);
  g_free (settings);
  g_free (format);
  return code;
}
