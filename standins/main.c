#include <stdio.h>
#include <string.h>

#include "standins/standin.h"

static const struct
{
  const char *name;
  int (*run) (int argc, char **argv);
} standins[] = {
  { "control", standin_control },   { "model", standin_model },
  { "platform", standin_platform }, { "rack", standin_rack },
  { "service", standin_service },   { "store", standin_store },
};

int
main (int argc, char **argv)
{
  for (size_t i = 0; argc > 1 && i < sizeof standins / sizeof standins[0]; i++)
    if (strcmp (argv[1], standins[i].name) == 0)
      return standins[i].run (argc - 1, argv + 1);
  fputs (
      "usage: standin control|model|platform|rack|service|store [OPTION...]\n",
      stderr);
  return 2;
}
