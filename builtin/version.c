#include <stdio.h>

#include "builtin/commands.h"

int
cmd_version (int argc, char **argv)
{
  const GOptionEntry entries[] = { { 0 } };

  if (!commands_options (entries, NULL, "Print the version.", &argc, &argv))
    return EXIT_USAGE;
  if (argc > 1)
    {
      fputs ("lapisline version: takes no arguments\n", stderr);
      return EXIT_USAGE;
    }
  puts ("lapisline " LAPISLINE_VERSION);
  return EXIT_DONE;
}
