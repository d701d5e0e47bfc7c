/**
 * @dir serve
 * A node on a platform: one process on each VM.  It forwards client requests
 * to backend servers, returns the addresses of ready nodes to clients, and may
 * be elected leader, the node that forms replicas.
 *
 *   adapter.h   what a platform's adapter provides (platform/ is one)
 *   table.h     the configuration in force, as a routing table
 *   backends.h  the backend servers as listed by the platform
 *   dispatch.h  decision core: routes each request to an endpoint
 *   form.h      decision core: forms replicas of VMs
 *   limit.h     decision core: request rates that backend servers allow
 *   split.h     splits a byte stream into events
 *   hubs.h      decision core: which nodes link to which
 *   node.h      the process: node.c, sync.c (the server list in the store),
 *               register.c (node entries in the store), duty.c (leadership and
 *               orders), peers.c (links to other nodes), ingress.c and
 *               exchange.c (requests), address.c (readiness and addresses);
 *               node-int.h
 */
/**
 * @file
 * The process of `lapisline serve`.
 */
#ifndef LAPISLINE_SERVE_NODE_H
#define LAPISLINE_SERVE_NODE_H

#include "base/log.h"
#include "serve/adapter.h"

struct srv_options
{
  const struct srv_adapter *adapter;
  const char *settings; /**< path; NULL: the platform's default path */
  enum log_format log_format;
  enum log_level log_level;
};

/** Run until SIGTERM. @return an exit code, see lapisline.h */
int srv_run (const struct srv_options *opt);

#endif
