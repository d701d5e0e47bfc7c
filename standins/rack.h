/**
 * @file
 * Stand-in of the users' platform: its key-value service and the backend
 * servers that list themselves there, in one process.
 *
 *   rack.c         command line, control, the list entries
 *   rack-store.c   the key-value service
 *   rack-server.c  a backend server: requests, orders, its part in a replica
 *   rack-limit.c   the request rate that it names, and what it gets
 */
#ifndef LAPISLINE_STANDINS_RACK_H
#define LAPISLINE_STANDINS_RACK_H

#include <json-c/json.h>

#include "net/httpd.h"
#include "standins/kv.h"

#define RACK_SERVERS 64

enum part
{
  PART_ALONE,
  PART_JOINING,
  PART_READY,
  PART_OPEN,
  PART_CLOSING
};

#define LIMIT_WINDOW_MS ((clk_ms)4000)
/** Arrivals that are remembered; more in one window count as so many. */
#define LIMIT_ARRIVALS 512

/** The request rate that a server names, and what it has had since. */
struct limit
{
  char text[32];   /**< as the answers say it; empty: they say nothing */
  clk_ms named_at; /**< first; 0: not yet */
  clk_ms arrivals[LIMIT_ARRIVALS]; /**< a ring */
  unsigned first, n;
  unsigned arrived; /**< all of them */
  unsigned most;    /**< in one window */
};

/** One backend server. */
struct server
{
  struct rack *rack;
  struct httpd *httpd;
  char id[16];
  char addr[32];
  char domain[16];
  bool engine;
  bool dead; /**< nobody listens; it drops out of the list */
  bool dark; /**< it reads and answers nothing more */
  bool draining;
  int64_t born;  /**< start of its process, Unix ms; told in its entry */
  bool unlisted; /**< cut from the key-value service only */
  int fail;      /**< status of the next answers, 0: none */
  int cut_after; /**< events, then the connection breaks; 0: never */
  int end_after; /**< events, then the answer ends in the next; 0: never */
  bool unsealed; /**< answers lack the signature */
  char model[32], replica[32];
  char members[RACK_SERVERS][16];
  unsigned nmembers, rank;
  int64_t generation, fence;
  enum part part;
  struct limit limit;
  uv_timer_t timer; /**< the end of joining */
  uv_timer_t crash; /**< when its process ends under a request */
  struct stream *streams;
  unsigned runs, open, gone;
};

/** Faults of the key-value service. */
struct store_fault
{
  bool silent;    /**< read, never answered */
  bool refuse;    /**< 503 */
  bool no_writes; /**< 503 to transactions only */
  int lose_next;  /**< writes that are applied and not answered */
};

struct watch_call;
struct stream;

struct rack
{
  uv_loop_t loop;
  struct httpd *httpd;
  uv_timer_t tick;
  struct kv kv;
  struct kv copy; /**< that the service may come back from */
  struct store_fault fault;
  struct watch_call *watches;
  struct server servers[RACK_SERVERS];
  size_t n;
  int event_ms;        /**< between two events of a stream */
  int events;          /**< of a stream */
  char crash_body[64]; /**< a request with it ends its server's process */
  int crash_ms;        /**< after it has begun to run */
  int crashed;         /**< servers whose process has ended so */
  GHashTable *runs;    /**< request id -> how often it began to run */
};

/* rack-store.c */
/** Answer a call of the key-value service; false: another path. */
bool rack_store_call (struct rack *r, struct httpd_req *req);
/** Write a key under no lease. */
void rack_store_put (struct rack *r, const char *key, const char *value);
void rack_store_remove (struct rack *r, const char *key);
/** Answer the watches that have something, or have waited enough. */
void rack_store_tick (struct rack *r);

/* rack-limit.c */
/** Name that rate from now on, and count anew. */
void rack_limit_set (struct limit *l, const char *text);
/** A request has come. */
void rack_limit_count (struct limit *l);
/** An answer is made; its header, or false. */
bool rack_limit_header (struct limit *l, struct http_header *out);

/* rack-server.c */
bool rack_server_start (struct server *s);
struct server *rack_find (struct rack *r, const char *id);
/** Write its entry, or remove it. */
void rack_list (struct server *s);
void rack_server_stop (struct server *s);
/** Its process ends; connections break, the entry lapses after a while. */
void rack_server_crash (struct server *s);
/** Its process starts again: it holds and knows nothing of before. */
void rack_server_restart (struct server *s);

#endif
