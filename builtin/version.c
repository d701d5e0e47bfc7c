#include <stdio.h>

#include "lapisline.h"

int
cmd_version (int argc, char **argv)
{
  puts ("lapisline " LAPISLINE_VERSION);
  return EXIT_DONE;
}
