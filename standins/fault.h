/**
 * @file
 * What the stand-ins of backend servers share: faults that a test switches
 * on by POST /control/set, counts of runs, and replies sent piece by piece.
 */
#ifndef LAPISLINE_STANDINS_FAULT_H
#define LAPISLINE_STANDINS_FAULT_H

#include <glib.h>
#include <json-c/json.h>

#include "net/httpd.h"

/** Faults; all zero means none. */
struct fault
{
  int slow_ms;        /**< before the first byte */
  int fail_status;    /**< refuse with this status, without running */
  bool silent;        /**< read the request, never answer */
  int truncate_after; /**< bytes of the body, then the connection is cut */
  bool close_first;   /**< cut after the first byte */
  bool die_first;     /**< the process exits after the first byte */
  bool stall;         /**< stop for good in the middle of the body */
};

/** One stand-in of a backend server. */
struct backend
{
  uv_loop_t loop;
  struct httpd *httpd;
  struct fault fault;
  bool keep_counts;
  GHashTable *by_request; /**< x-request-id -> runs */
  GHashTable *by_key;     /**< Idempotency-Key -> runs */
  unsigned runs;
  unsigned refused;
  unsigned gone; /**< callers that left before the end */
  unsigned open;
  unsigned peak; /**< most open at once */
  /** Set further fields from the JSON of /control/set; may be NULL. */
  void (*set) (void *ctx, json_object *o);
  void *ctx;
};

/** A reply being sent. */
struct reply
{
  struct backend *b;
  struct httpd_req *req;
  uv_timer_t timer;
  bool timed; /**< the timer is initialised */
  int status;
  const char *type; /**< content-type */
  struct buf body;
  size_t skip;  /**< resumed: bytes not sent again */
  size_t *cuts; /**< ends of the pieces, or NULL: all at once */
  size_t ncuts;
  size_t next;  /**< piece to send */
  int piece_ms; /**< between pieces */
  bool begun;
};

/**
 * Serve until the process is killed; prints "ready NAME http=ADDR".
 * @return the exit code
 */
int backend_run (struct backend *b, const char *name, const char *listen,
                 httpd_handler handler);

/** Answer requests under /control/; false when the path is another. */
bool backend_control (struct backend *b, struct httpd_req *req);

/** Count a run of this request and apply the faults that come before it;
    false when the request was dealt with. */
bool backend_admit (struct backend *b, struct httpd_req *req);

/** A new reply; the caller fills status, type, body and pieces. */
struct reply *reply_new (struct backend *b, struct httpd_req *req);

/** Send it, under the faults. */
void reply_start (struct reply *r);

/** Answer with a JSON body at once. */
void backend_json (struct httpd_req *req, int status, json_object *o);

bool json_flag (json_object *o, const char *key, bool fallback);
int64_t json_num (json_object *o, const char *key, int64_t fallback);
const char *json_text (json_object *o, const char *key);

#endif
