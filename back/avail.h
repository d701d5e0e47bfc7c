/**
 * @file
 * Availability that backend servers announce in their responses (decision
 * core).
 *
 * A server that has no capacity for this node's requests rejects one and
 * states for how long it takes no more of them.  This holds for the node that
 * received the response; other nodes get their own.  A server that shuts down
 * says so in all its responses, and takes no new requests from then on.
 *
 * Responses can be reordered, so a pause is only ever extended: it ends at the
 * latest time that any response gave.  An announced shutdown is final.
 *
 * A server is identified by a hash that its user chooses.  Both belong to the
 * process and not to the replica that it leads, so the hash must not depend on
 * the replica's generation.  The core does no I/O: its caller passes in events
 * and the current time.
 */
#ifndef LAPISLINE_BACK_AVAIL_H
#define LAPISLINE_BACK_AVAIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"
#include "base/str.h"
#include "net/addr.h"

/** Maximum number of servers in the table. */
#define AVL_MAX_SERVERS 4096

/** What a response says of the availability of its server. */
struct avl_notice
{
  bool leaving;          /**< the server is shutting down */
  clk_ms retry_after_ms; /**< it takes no requests from this node for so long;
                              0: not stated */
  bool malformed;        /**< a delay was stated that can't be parsed */
  clk_ms cold_ms; /**< how much longer the server is cold; 0: not stated, or it
                       is warm */
};

/** What a notice told that was not known before. */
struct avl_change
{
  bool paused;       /**< the server has asked for a pause, or for a longer
                          one */
  bool leaving;      /**< it has announced its shutdown */
  bool malformed;    /**< first malformed delay of this server */
  uint64_t sent;     /**< requests that this node has sent to it since it first
                          asked for the pause that was in force; 0: none was */
  clk_ms paused_for; /**< remaining time of the pause */
};

/** Add a delay in seconds, as in a Retry-After header; the longest one
    counts. */
void avl_add_delay (struct avl_notice *notice, struct str seconds);

/** Key of the server at an address, where nothing tells its processes
    apart. */
uint64_t avl_address_key (const struct net_addr *addr);

struct avl;

struct avl *avl_new (void);
void avl_free (struct avl *a);

/** Process the notice in a response that was received at @p now. */
struct avl_change avl_on_notice (struct avl *a, clk_ms now, uint64_t server,
                                 const struct avl_notice *notice);

/** Whether no server has announced anything. */
bool avl_is_empty (const struct avl *a);

/** Whether this node may send requests to the server now. */
bool avl_allows (const struct avl *a, clk_ms now, uint64_t server);

/** Whether the server has announced its shutdown. */
bool avl_is_leaving (const struct avl *a, uint64_t server);

/** When the server first announced its shutdown; 0: it has not. */
clk_ms avl_leaving_since (const struct avl *a, uint64_t server);

/** The process that announced its shutdown has ended, and another one may take
    its place.  Needed only where a process is not told by its hash. */
void avl_forget_leaving (struct avl *a, uint64_t server);

/** End of the server's pause; 0: it is not paused. */
clk_ms avl_paused_until (const struct avl *a, clk_ms now, uint64_t server);

/** Count a request that is being sent to the server. */
void avl_count_sent (struct avl *a, clk_ms now, uint64_t server);

/** Current gauges, and counters since the start of the process. */
struct avl_stats
{
  size_t paused, leaving; /**< servers */
  uint64_t pauses;        /**< responses that asked for a pause */
  uint64_t sent_paused;   /**< requests sent to servers in a pause */
  uint64_t sent_leaving;  /**< requests sent to servers that were leaving */
};
struct avl_stats avl_stats (const struct avl *a, clk_ms now);

#endif
