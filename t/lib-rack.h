/**
 * @file
 * Starts the stand-in for the users' platform and nodes as processes.
 * Service "lm" has the model "big" of 3 VMs in domains of 4, service "app" two
 * plain servers. rack_configure() sets hosts, paths and the only account's
 * key.
 */
#ifndef LAPISLINE_T_LIB_RACK_H
#define LAPISLINE_T_LIB_RACK_H

#include "t/lib-proc.h"

#define RACK_NODES 2
/** Node count above the limit for a full mesh of links. */
#define RACK_MANY_NODES 18
#define RACK_MAX_NODES 80 /**< maximum of rack_prepare_nodes() */

struct rack
{
  struct proc *platform;
  struct proc *node[RACK_MAX_NODES];
  const char *platform_addr; /**< host and port */
  const char *logs; /**< output folder, RACK_LOGS unless the test sets it;
                       NULL: pipes of lib-proc.h */
  char settings[RACK_MAX_NODES][256]; /**< paths of settings files */
  char front[RACK_MAX_NODES][32];
  char ready[RACK_MAX_NODES][32];
  char directory[RACK_MAX_NODES][32];
};

/** Starts the platform with @p engines engine servers and writes settings for
   RACK_NODES nodes; no configuration is set. */
void rack_start_platform (struct rack *r, int engines);

/** Same for @p nodes nodes; if more than RACK_NODES, with "bootstrap" set.
   @p map, unless NULL, maps the platform's address to the one
   ("127.0.0.1:PORT") that the last node uses. */
void rack_prepare_nodes (struct rack *r, int engines, int nodes,
                         const char *(*map) (const char *at));

/**
 * Same with the last node behind the second addresses, which {"cut": ...} of
 * the stand-in partitions from all servers.  That node is not linked to the
 * leader, which would send it the servers' first addresses.
 * @param min_nodes  there are at least as many nodes, and more if need be
 * @param leader  receives the index of the node that becomes leader
 * @return number of nodes
 */
int rack_prepare_cut (struct rack *r, int engines, int min_nodes, int *leader);

/** Sets evac_ms of settings written from now on; the default is 0: zones are
    not evacuated. */
void rack_set_evacuation_ms (int ms);

/** Sets the number of engine servers in a fabric domain of platforms started
    from now on; the default is 4. */
void rack_set_domain_size (int n);

/** Sets the node to which the mapping of rack_prepare_nodes() applies; the
    default is the last one. */
void rack_set_mapped_node (int node);

/** Sets drain_ms of settings written from now on; the default is 2,000. */
void rack_set_drain_ms (int ms);

/** Sets the capacity of nodes' links in settings written from now on, in
    Mbit/s; the default is 0: unknown. */
void rack_set_link_mbps (double mbps);

/** Sets the retry budget in settings written from now on; the default is 0.2
   of the requests plus 100. */
void rack_set_retry_budget (double ratio, int slack);

/** Sets the time limit of streams and the idle time of connections in
    configurations stored from now on; the defaults are 20,000 and 60,000. */
void rack_set_times (int stream_ms, int idle_ms);

/** Sets memory_mb (0: not stated) and max_fds of settings written from now on;
    the defaults are 0 and 2,000. */
void rack_set_machine (int memory, int fds);

/** Sets the limits on client requests, but for the idle time, and further
    accounts, each preceded by a comma, in configurations stored from now on.
    The strings are not copied. */
void rack_set_limits (const char *limits, const char *accounts);

/** Service "app" of configurations stored from now on, and settings written
    from now on, limit cold servers: 26 requests per second for 3 s,
   factor 1.5, slack 5. */
void rack_limit_cold (void);

/** Index of the node that becomes leader of so many nodes. */
int rack_leader (int nodes);

/** Starts or restarts a node and waits until it listens. */
void rack_start_node (struct rack *r, int node);

/** POST /control/set. */
void rack_set (const struct rack *r, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));

/** Stores the configuration described above as @p version, with the account's
   @p key and the additional routes @p more, each preceded by a comma. */
void rack_configure (const struct rack *r, int version, const char *key,
                     const char *more);

/** Starts the platform and both nodes with a configuration; waits until each
   node serves a stream. */
void rack_start_all (struct rack *r, int engines);

/** Same for RACK_MANY_NODES nodes, without the wait for a leader. */
void rack_start_many (struct rack *r, int engines);

/** Headers with this id, key "k1" and the model; overwritten by the next
   call. */
const char *rack_headers (const char *id);

/** Requests a stream and appends its body; returns the status, negated if the
   response is incomplete. */
int rack_stream (const struct rack *r, int node, const char *id,
                 struct buf *body);

/** Calls the plain service at "/once/x" or "/safe/x"; see rack_stream(). */
int rack_call (const struct rack *r, int node, const char *path,
               const char *id, const char *headers, struct buf *body);

/** Repeats a call until its status is @p status; false after 15 s. */
bool rack_call_until (const struct rack *r, int node, const char *path,
                      const char *headers, int status);

/** Polls GET /control/counts until it contains @p text. */
bool rack_wait_for_counts (const struct rack *r, const char *text);
/** Value of field @p what of a server in GET /control/counts. */
int rack_get_count (const struct rack *r, const char *server,
                    const char *what);

/** Whether the body holds exactly the events 1 to @p n, in order. */
bool rack_is_complete (struct buf *body, int n);

#endif
