/**
 * @file
 * The backend servers in the platform's list, as this node last read or
 * received it, and the endpoints for requests that result from it (decision
 * core).
 *
 * A replica is the set of backend servers that report the same replica name
 * and generation; its leader has rank 0.  There is no other record of
 * replicas, so one read gives them all to a node that starts.
 */
#ifndef LAPISLINE_SERVE_BACKENDS_H
#define LAPISLINE_SERVE_BACKENDS_H

#include "base/clock.h"
#include "config/arena.h"
#include "net/addr.h"
#include "serve/dispatch.h"
#include "serve/evacuation.h"

/** Maximum number of models that the host of a VM keeps in memory. */
#define BKS_PRELOADED_MAX 8

/** Longest cold period of a server; longer ones are shortened to it. */
#define BKS_COLD_MS_MAX ((clk_ms)600000)

/** State of a backend server as a member of a replica. */
enum bks_member_state
{
  BKS_NO_REPLICA, /**< it belongs to no replica */
  BKS_JOINING,    /**< it is not ready yet */
  BKS_READY,
  BKS_OPEN,    /**< leader: the replica takes requests */
  BKS_CLOSING, /**< leader: the replica finishes its requests and takes no
                    new ones */
  BKS_BROKEN   /**< leader: the replica has lost a member */
};

/** Whether a replica takes new requests, as announced by the node that read
    the list. */
enum bks_acceptance
{
  BKS_ACCEPTANCE_UNKNOWN, /**< not announced: this node has read the list
                               itself and decides */
  BKS_ACCEPTING,
  BKS_NOT_ACCEPTING
};

/** One backend server as the platform lists it. */
struct bks_entry
{
  struct str id;
  int64_t start_time; /**< wall clock time at which its process started, in
                           Unix ms.  A server that restarts under the same id
                         counts as another server; 0: not reported */
  int64_t heartbeat;  /**< sequence number of the heartbeat that wrote the
                           entry;  0: unknown */
  struct str service;
  struct str zone;
  struct str domain; /**< fabric domain; empty: none */
  struct net_addr addr;
  unsigned capacity; /**< requests in parallel */
  bool draining;
  clk_ms cold_ms;   /**< how much longer the server is cold, when the entry was
                         written; 0: it is not cold */
  struct str model; /**< loaded model; empty: none */
  struct str
      preloaded[BKS_PRELOADED_MAX]; /**< models in the memory of its host */
  size_t npreloaded;
  struct str replica; /**< name; empty: no replica */
  int64_t generation;
  unsigned rank;
  enum bks_member_state member_state;
  enum bks_acceptance acceptance;
};

/** A member of a replica that was complete. */
struct bks_member
{
  char *id;
  int64_t start_time;
};

/** State that this node keeps for one backend server. */
struct bks_server
{
  struct bks_entry e; /**< the strings are in `text` */
  struct arena text;
  bool seen;                  /**< listed in the read that is being
                                   processed */
  uint64_t digest;            /**< of what other nodes are told; 0: it is no
                                   endpoint */
  uint64_t version;           /**< version of the list in which it last
                                   changed for other nodes */
  clk_ms first_seen_at;       /**< when this incarnation was first listed */
  clk_ms own_read_at;         /**< when the last read by this node that listed
                                   it was sent; 0: none.  While the list is
                                   incomplete after an outage of the store, and
                                   where another node sends a part of it, older
                                   entries are kept */
  clk_ms cold_until;          /**< end of its cold period by the newest entry;
                                   0: the entry says that it is warm */
  clk_ms cold_marked_until;   /**< bks_mark_cold(); 0: none */
  clk_ms cold_stated_at;      /**< when the read of that entry was sent */
  bool is_endpoint;           /**< requests may be sent to it, or may still run
                                   there */
  bool accepting;             /**< as an endpoint, takes new requests */
  uint64_t endpoint_version;  /**< version of the list in which the entry,
                                   `is_endpoint` or `accepting` last changed */
  struct bks_member *members; /**< members of its replica when that was last
                                   complete */
  size_t nmembers;            /**< 0: not seen complete */
  int64_t members_generation;
};

struct bks;

struct bks *bks_new (void);
void bks_free (struct bks *b);

/**
 * Process a complete read of the list.
 * @param read_started_at  when the read was sent; the result is at least as
 *   new
 * @return  whether anything but heartbeats changed
 */
bool bks_update (struct bks *b, clk_ms now, clk_ms read_started_at,
                 const struct bks_entry *list, size_t n);

/**
 * Process a complete list that another node has read.
 * @param read_started_at  when that node sent its read, by this node's clock
 * @param complete  bks_is_stable() at that node: what is missing is gone
 * @return  whether anything but heartbeats changed
 */
bool bks_apply_list (struct bks *b, clk_ms now, clk_ms read_started_at,
                     const struct bks_entry *list, size_t n, bool complete);

/**
 * Digest of the endpoints as they are sent to other nodes, without heartbeats
 * and cold times, as of the last bks_endpoints(); 0: there is no list.  Nodes
 * with the same digest send requests to the same servers.
 */
uint64_t bks_digest (const struct bks *b);

/**
 * The store has been restored from an older copy of its data.  Until the
 * backend servers have written again, the list contains old entries and lacks
 * others.
 */
void bks_store_restored (struct bks *b, clk_ms now);

/** Whether the cold state in the entries is recorded; otherwise it is ignored,
    and no change. */
void bks_track_cold (struct bks *b, bool enabled);

/** The server is cold until @p until, although its entry does not say so yet;
   0: it is as the entry says.  Other nodes are sent the later one of the two
    times: a node that has just started knows nothing else of the server. */
void bks_mark_cold (struct bks *b, struct str id, clk_ms until);

/** When the last successful read was sent. */
clk_ms bks_read_started_at (const struct bks *b);

/**
 * Apply changes of the list that another node has read.
 * @param read_started_at  when that node sent its read, by this node's clock
 * @return  whether anything changed
 */
bool bks_apply_changes (struct bks *b, clk_ms now, clk_ms read_started_at,
                        const struct bks_entry *list, size_t n,
                        const struct str *removed, size_t nremoved);

/** Version of the list; increases with each read or received list. */
uint64_t bks_version (const struct bks *b);

/**
 * Ids of the servers that were removed after @p version; valid until the next
 * change.
 * @retval false  not all removals after @p version are recorded any more
 */
bool bks_removed_since (struct bks *b, uint64_t version,
                        const struct str **ids, size_t *n);

void bks_read_failed (struct bks *b, clk_ms now);

/**
 * Whether servers that are missing in the list can be taken as gone: reads
 * have succeeded for long enough that servers whose entries expired during an
 * outage of the store are listed again.  The same time is required after the
 * start of this process, which cannot determine whether there was an outage
 * before.
 */
bool bks_is_stable (const struct bks *b, clk_ms now);

/**
 * Interval between reads of the list: @p min_interval, or longer in proportion
 * to the length of a long list, since each read returns the complete list.
 */
clk_ms bks_poll_interval (const struct bks *b, clk_ms min_interval);

/** bks_poll_interval() for the leader, which sends the list to all other
    nodes, with an upper bound: all nodes must receive in time that a server
    drains. */
clk_ms bks_leader_poll_interval (const struct bks *b, clk_ms min_interval,
                                 clk_ms drain_ms);

/**
 * Interval between reads of the list at a node that does not receive it from
 * the leader.
 * @param is_leaf  the node is a leaf; see srv_is_leaf()
 */
clk_ms bks_direct_poll_ms (clk_ms drain_ms, bool is_leaf);

bool bks_has_list (const struct bks *b);

const struct bks_server *const *bks_list (const struct bks *b, size_t *n);
const struct bks_server *bks_find (const struct bks *b, struct str id);

/**
 * Endpoints for requests under @p t; valid until the next update.  Also
 * records for each server whether it is an endpoint, for the frames to other
 * nodes.
 *
 * An endpoint in an evacuated zone does not accept.  A node that has read the
 * list itself also excludes replicas with a member in such a zone; the other
 * nodes receive this as the acceptance of the entry.
 * @param evacuations  NULL: zones are not evacuated
 */
const struct dsp_endpoint *bks_endpoints (struct bks *b, const struct tbl *t,
                                          const struct evc *evacuations,
                                          size_t *n);

/** Number of listed servers in the zone. */
size_t bks_count_in_zone (const struct bks *b, struct str zone);

#endif
