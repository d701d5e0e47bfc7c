#include "builtin/admin-client.h"
#include "lapisline.h"

int
cmd_replica (int argc, char **argv)
{
  static const struct admin_column columns[] = {
    { "REPLICA", "replica" }, { "MODEL", "model" }, { "DOMAIN", "domain" },
    { "STATE", "state" },     { "WHOLE", "whole" }, { "DRAINING", "draining" },
    { "GEN", "generation" },  { "LOAD", "load" },   { "LEADER", "leader" },
    { "OWNER", "owner" },
  };
  static const struct admin_resource resource = {
    .name = "replica",
    .path = "replicas",
    .summary = "List and show replicas as a node sees them; drain one: it "
               "gets no new work and\nfinishes what it has.",
    .columns = columns,
    .ncolumns = sizeof columns / sizeof columns[0],
    .can_show = true,
    .can_drain = true,
  };
  return admin_client_resource (&resource, argc, argv);
}
