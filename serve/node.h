/**
 * @dir serve
 * A node on a platform: one process on each VM that carries callers'
 * requests, answers which node to use, and takes its turn in forming replicas.
 *
 *   adapter.h   what a platform's adapter provides (platform/ is one)
 *   table.h     the configuration in force
 *   backends.h  the backend servers as the platform lists them
 *   dispatch.h  decision core: which request goes where
 *   form.h      decision core: which VMs become which replica
 *   split.h     events out of bytes
 *   hubs.h      decision core: which nodes link to which
 *   node.h      the process: node.c, sync.c (the store), register.c (this
 *               node's own entry), duty.c (orders), peers.c (other nodes),
 *               ingress.c and exchange.c (requests), address.c; node-int.h
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
  const char *settings; /**< path; NULL: where the platform puts them */
  enum log_format log_format;
  enum log_level log_level;
};

/** Run until SIGTERM. @return an exit code, see lapisline.h */
int srv_run (const struct srv_options *opt);

#endif
