/**
 * @file
 * Stand-in for the users' platform in one process: its key-value service and
 * the backend servers that have an entry there (the server list).
 *
 *   rack.c         command line and control interface
 *   rack-store.c   key-value service (calls below /kv-)
 *   rack-server.c  backend server: entry in the server list, requests, orders,
 *                  replica membership
 *   rack-limit.c   announced request rate limits, and counts of arrivals
 *   rack-avail.c   announced pauses and shutdowns, and counts of arrivals
 *   rack-cold.c    servers that are cold after a start, and counts of arrivals
 *   rack-cut.c     partition between some nodes and all backend servers
 *   rack-pause.c   servers that are paused and go on
 *   rack-zone.c    evacuated availability zones, and counts of arrivals
 *   rack-join.c    record of joins; replicas that break and entries that
 * expire
 */
#ifndef LAPISLINE_STANDINS_RACK_H
#define LAPISLINE_STANDINS_RACK_H

#include <glib.h>
#include <json-c/json.h>

#include "base/rng.h"
#include "net/httpd.h"
#include "standins/kv.h"

#define RACK_SERVERS 128
#define RACK_EVACUATED 8 /**< zones evacuated at once, at most */

/** State of a server as a member of a replica. */
enum member_state
{
  MEMBER_NONE, /**< in no replica */
  MEMBER_JOINING,
  MEMBER_READY,   /**< accepts no requests */
  MEMBER_OPEN,    /**< rank 0 only: accepts requests */
  MEMBER_CLOSING, /**< unused: the stand-in closes at once */
  MEMBER_BROKEN   /**< rank 0 only: has lacked a member for stall_ms */
};

#define LIMIT_WINDOW_MS ((clk_ms)4000)
/** Maximum number of arrivals recorded per window. */
#define LIMIT_ARRIVALS 512

/** Announced request rate limit, and the requests that arrived since. */
struct rate_limit
{
  char header_value[32]; /**< value of the response header; empty: no limit */
  clk_ms announced_at;   /**< time of the first announcement; 0: none yet */
  clk_ms arrivals[LIMIT_ARRIVALS]; /**< ring buffer of the last window */
  unsigned first_arrival, narrivals;
  unsigned total_arrivals;
  unsigned max_arrivals; /**< maximum in one window */
};

#define AVAIL_NODES 80  /**< nodes that are told apart */
#define AVAIL_PAUSES 64 /**< pauses whose arrivals are counted, per node */

/** A pause that one node was asked for, and what it sent meanwhile. */
struct asked_pause
{
  clk_ms counts_from, ends_at;
  unsigned arrivals;
};

/** What one node was told, and what it sent afterwards. */
struct told_node
{
  struct asked_pause pauses[AVAIL_PAUSES]; /**< ring buffer */
  unsigned npauses;
  clk_ms told_leaving_at; /**< 0: not told */
};

/**
 * Announced pause and shutdown.  Nodes are told apart by the ids of the
 * requests that they pass on: "NODE/..." with the number of a node; requests
 * with other ids count for node 0, and so do orders and probes.
 */
struct availability
{
  char retry_after[32]; /**< header value of rejections; empty: none */
  bool rejects;         /**< rejects all requests */
  bool leaving;         /**< announces its shutdown in all responses */
  struct told_node nodes[AVAIL_NODES];
  unsigned pause_max;     /**< maximum of arrivals in one pause of a node */
  unsigned late_arrivals; /**< requests of nodes that were told more than
                               LEAVING_GRACE_MS before */
};

/** Maximum number of arrivals recorded per second. */
#define COLD_ARRIVALS 2048

/** A server that is cold, and the requests that arrived meanwhile. */
struct cold_state
{
  clk_ms until;                   /**< 0: it is not cold */
  clk_ms arrivals[COLD_ARRIVALS]; /**< ring buffer of the last second */
  unsigned first_arrival, narrivals;
  unsigned total_arrivals; /**< in all cold periods */
  unsigned max_arrivals;   /**< maximum in any second, in all cold periods */
};

/** How the nodes behind the second set of ports are partitioned from all
    backend servers. */
enum cut
{
  CUT_NONE,
  CUT_SILENT, /**< connections stay open, and nothing is answered */
  CUT_REFUSE, /**< new connections are refused, open requests go on */
  CUT_RESET   /**< open connections are closed, too */
};

/** Crashes after which the nodes have to know the part that causes them, and
    the time that they may take to learn of it. */
#define PART_CRASHES 5
#define PART_CONTACT_MS ((clk_ms)3000)

/** One backend server. */
struct server
{
  struct rack *rack;
  struct httpd *httpd;
  struct httpd *side_httpd; /**< second port; NULL: closed */
  char side_addr[32];
  char id[16];
  char addr[32];
  char domain[16];
  char zone[16];
  int evacuated_last_ms; /**< from the evacuation of its zone to the last
                              request that arrived during it; 0: none */
  bool engine;       /**< runs models; else a server of the plain service */
  bool dead;         /**< port closed; the entry is removed from the list */
  bool unresponsive; /**< ignores new requests and stops streaming */
  bool paused;
  struct held_request *held; /**< arrived during the pause, oldest first */
  uv_timer_t pause_timer;    /**< end of the pause */
  bool draining;
  int64_t start_time; /**< start of the process, Unix ms */
  bool unlisted;    /**< entry removed from the list, requests still served */
  int fail_status;  /**< status of plain responses; 0: 200 */
  int cut_after;    /**< after this many events of a stream, send part of the
                         next one and break the connection; 0: never */
  int end_after;    /**< likewise, but end the response cleanly; 0: never */
  char endless[32]; /**< text that follows the second event of a stream, and
                         the head of a plain response, until the connection is
                         closed; empty: none */
  size_t endless_max; /**< most bytes of such a response */
  bool unsealed;      /**< responses lack the seal header (PLT_H_SEAL) */
  char model[32], replica[32];
  char members[RACK_SERVERS][16];
  unsigned nmembers, rank;
  int64_t generation, fence;
  enum member_state member_state;
  clk_ms incomplete_since; /**< since when the replica that it leads lacks a
                                member; 0: it doesn't */
  clk_ms publish_at; /**< when the entry is written; 0: no write is due */
  struct rate_limit limit;
  struct availability avail;
  struct cold_state cold;
  uv_timer_t timer;       /**< end of joining, or expiry of the entry */
  uv_timer_t crash_timer; /**< delay from a crashing request to the crash */
  bool crashes_by_part;   /**< the timer was started by a part of a prompt */
  struct stream *streams;
  unsigned runs, open, disconnects;
  unsigned rejected; /**< requests rejected by `avail.rejects` */
};

/** Faults of the key-value service. */
struct store_fault
{
  bool silent;    /**< read requests, never answer */
  bool refuse;    /**< answer 503 */
  bool no_writes; /**< answer 503 to transactions only */
  bool no_items;  /**< ranges are answered with no items, as the first part of
                       a longer list */
  char hold[32];  /**< hold writes of keys with this text; empty: none */
  int hold_most;  /**< number of further writes to hold */
  int lose_next_writes; /**< number of writes to apply without an answer */
};

/** An availability zone that the operators have evacuated. */
struct evacuated_zone
{
  char name[16];
  clk_ms since; /**< when its key was first written; 0: unused */
};

struct held_request;
struct held_txn;
struct watch_call;
struct stream;

struct rack
{
  uv_loop_t loop;
  struct httpd *httpd;
  /** second port: its server list names the servers' second ports */
  struct httpd *side_httpd;
  char side_hides[32]; /**< node without an entry there; empty: none */
  bool side_view;      /**< the call being answered came by the second port */
  enum cut cut;
  uv_timer_t tick;
  struct kv kv;
  struct kv backup;  /**< written by "copy", read by "restore" */
  clk_ms rewrite_at; /**< when the servers rewrite their entries; CLK_NEVER:
                          they did */
  struct store_fault fault;
  unsigned store_calls; /**< calls received */
  size_t store_bytes;   /**< bytes of response bodies */
  struct watch_call *watches;
  struct held_txn *held_txns; /**< by arrival */
  struct evacuated_zone evacuated[RACK_EVACUATED];
  struct server servers[RACK_SERVERS];
  size_t nservers;
  int event_ms;        /**< delay between events of a stream, in ms */
  int events;          /**< per stream */
  char crash_body[64]; /**< request body that crashes the server */
  char crash_part[32]; /**< id of a part of the prompt, except the last one,
                            that crashes the server; empty: none */
  int crash_ms;        /**< delay from the request to the crash, in ms */
  bool unframed; /**< responses have neither a length nor chunks: they end with
                      their connection */
  int part_runs; /**< requests with that part that reached servers */
  int part_crashes;                  /**< servers that crashed under it */
  clk_ms last_allowed_part_crash_at; /**< time of crash PART_CRASHES */
  int part_late;  /**< requests with the part later than PART_CONTACT_MS after
                       that crash */
  int cold_ms;    /**< a server that starts again is cold for so long */
  int cold_crash; /**< a cold server that gets more requests in one second
                       crashes; 0: never */
  int revive_ms;  /**< time until a crashed server starts again; 0: never */
  int crashed;
  int stall_ms;       /**< time after which a replica that lacks a member is
                           broken; 0: never */
  int entry_lag_ms;   /**< longest delay of writes of entries */
  struct rng rng;     /**< delays of writes */
  json_object *joins; /**< executed joins; see rack-join.c */
  GHashTable *runs;   /**< request id -> number of executions */
  GHashTable *ended;  /**< request id -> complete responses with a status below
                           300 that servers have ended */
};

/* rack-store.c */
/** Handles a call of the key-value service; false for any other path. */
bool rack_store_call (struct rack *r, struct httpd_req *req);
/** Calls and bytes so far, and how many nodes have an entry. */
json_object *rack_store_counts (struct rack *r);
/** Execute the writes that were held. */
void rack_store_execute_held (struct rack *r);
/** Writes a key without a lease. */
void rack_store_put (struct rack *r, const char *key, const char *value);
void rack_store_remove (struct rack *r, const char *key);
/** Answers the watches that have events or whose timeout has passed. */
void rack_answer_watches (struct rack *r);

/* rack-limit.c */
/** Sets the announced limit and resets the counters. */
void rack_limit_set (struct rate_limit *l, const char *text);
void rack_limit_count_arrival (struct rate_limit *l);
/** Fills the header that announces the limit; false if none is set. */
bool rack_limit_header (struct rate_limit *l, struct http_header *out);

/* rack-avail.c */
/** Counts a request, order or probe against the announcements so far. */
void rack_avail_count_arrival (struct server *s, struct httpd_req *req);
/** Fills the headers of a response that announce a pause or a shutdown, and
    records that the node was told. @param rejected the request is rejected */
size_t rack_avail_headers (struct server *s, struct httpd_req *req,
                           bool rejected, struct http_header *out);
/** The node was restarted or paused: what it was told no longer counts. */
void rack_avail_forget_node (struct rack *r, unsigned node);

/* rack-cold.c */
/** The server is cold for this long. @param ms  0: it is warm */
void rack_cold_begin (struct server *s, clk_ms ms);
clk_ms rack_cold_left (const struct server *s);
/** Writes the entries of servers that are no longer cold. */
void rack_cold_tick (struct rack *r);
/** Counts a request.  @return whether the server crashes of it */
bool rack_cold_count_arrival (struct server *s);
/** Fills the header that says how much longer the server is cold.
    @return 0 if it is warm, or 1 */
size_t rack_cold_header (const struct server *s, struct http_header *out,
                         char *text, size_t size);

/* rack-cut.c */
/** Opens the second port; a request there that is cut off gets no answer. */
bool rack_cut_start (struct server *s);
/** Partitions the second ports, or ends that. */
void rack_cut_set (struct rack *r, struct str how);
/** Whether the second port of the key-value service shows the key. */
bool rack_cut_shows (const struct rack *r, struct str key);
/** Replaces the servers' addresses in an entry's text by the second ones. */
void rack_cut_rewrite (const struct rack *r, GString *text);

/* rack-pause.c */
void rack_pause_init (struct server *s);
/** Pauses the server, or changes when it goes on. */
void rack_pause (struct server *s, clk_ms ms);
/** Ends the pause without running what was held. */
void rack_pause_cancel (struct server *s);
/** Keeps a request until the server goes on. */
void rack_pause_hold (struct server *s, struct httpd_req *req, bool side);
/** Forgets requests that were held. @param side_only  only those that came by
    the second port */
void rack_pause_drop (struct server *s, bool side_only);

/* rack-zone.c */
/** Writes the key of the zone. */
void rack_zone_evacuate (struct rack *r, const char *zone);
/** Removes the key of the zone. */
void rack_zone_return (struct rack *r, const char *zone);
/** Records a request that has arrived at the server. */
void rack_zone_count_arrival (struct server *s);

/* rack-join.c */
/** Record that the server joins the replica of the order; it is still in the
    previous one. */
void rack_join_record (struct server *s, json_object *order);
/** Break replicas that lack a member, and write the entries that are due. */
void rack_join_tick (struct rack *r);
/** Remove the entries of all servers; each server writes its own again within
    @p ms. */
void rack_join_expire_entries (struct rack *r, clk_ms ms);

/* rack-server.c */
/** Name of the state in entries. */
const char *rack_server_state_name (const struct server *s);
void rack_server_on_request (struct server *s, struct httpd_req *req,
                             bool side);
/** Runs a request whose caller has gone. @param order  body of an order, or
    NULL */
void rack_server_run_abandoned (struct server *s, const char *id,
                                const char *order);
/** Ids of the open streams. */
json_object *rack_server_streams (const struct server *s);
/** Closes the streams that came by the second port. */
void rack_server_close_side (struct server *s);
bool rack_server_start (struct server *s);
struct server *rack_find_server (struct rack *r, const char *id);
/** Writes the entry, or removes it if the server is dead or unlisted. */
void rack_server_write_entry (struct server *s);
/** Writes or removes the entry after the delay of writes. */
void rack_server_publish (struct server *s);
/** Simulates a regular exit: the entry is removed at once. */
void rack_server_stop (struct server *s);
/** Simulates a process crash: connections break at once, the entry is removed
    from the list after its expiry time. */
void rack_server_crash (struct server *s);
/** Simulates a process restart: model, replica, fencing token and limit are
    reset. */
void rack_server_restart (struct server *s);

#endif
