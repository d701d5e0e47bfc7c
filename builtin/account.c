#include "builtin/admin-client.h"
#include "lapisline.h"

int
cmd_account (int argc, char **argv)
{
  static const struct admin_column columns[] = {
    { "ACCOUNT", "account" },
    { "PRIORITY", "priority" },
    { "WEIGHT", "weight" },
    { "TOKENS/S", "tokens_per_s" },
    { "CONCURRENCY", "concurrency" },
    { "KEYS", "keys" },
    { "MAY", "may" },
  };
  static const struct admin_resource resource = {
    .name = "account",
    .path = "accounts",
    .summary = "List the client accounts of the configuration in force.",
    .columns = columns,
    .ncolumns = sizeof columns / sizeof columns[0],
  };
  return admin_client_resource (&resource, argc, argv);
}
