#include "builtin/admin-client.h"
#include "lapisline.h"

int
cmd_node (int argc, char **argv)
{
  static const struct admin_column columns[] = {
    { "NODE", "node" },     { "ZONE", "zone" }, { "REGION", "region" },
    { "STATUS", "status" }, { "LOAD", "load" }, { "REVISION", "revision" },
    { "HTTP", "http" },     { "PEER", "peer" },
  };
  static const struct admin_resource resource = {
    .name = "node",
    .path = "nodes",
    .summary = "List and show nodes as one of them sees them; drain one: it "
               "takes no new callers,\nfinishes what is in flight and ends.",
    .columns = columns,
    .ncolumns = sizeof columns / sizeof columns[0],
    .can_show = true,
    .can_drain = true,
  };
  return admin_client_resource (&resource, argc, argv);
}
