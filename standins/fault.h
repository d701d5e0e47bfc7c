/**
 * @file
 * Shared code of the HTTP stand-ins: faults that a test enables with POST
 * /control/set, request counters, and replies sent in several pieces.
 */
#ifndef LAPISLINE_STANDINS_FAULT_H
#define LAPISLINE_STANDINS_FAULT_H

#include <glib.h>
#include <json-c/json.h>

#include "net/httpd.h"

/** Injected faults; a zeroed struct means none. */
struct fault
{
  int slow_ms;          /**< delay before the first byte, in ms */
  int fail_status;      /**< reject requests with this status; 0: off */
  bool silent;          /**< read requests and never respond */
  int truncate_after;   /**< close after this many body bytes; 0: off */
  bool close_first;     /**< close the connection after one body byte */
  bool die_first;       /**< exit the process after one body byte */
  bool stall;           /**< send at most half of the body, then hang */
  char retry_after[16]; /**< Retry-After of rejected requests; empty: none */
  bool leaving;         /**< announce a shutdown in all responses */
};

struct backend
{
  uv_loop_t loop;
  struct httpd *httpd;
  struct fault fault;
  bool count_by_request;
  GHashTable *runs_by_request; /**< x-request-id -> number of executions */
  GHashTable *runs_by_key;     /**< Idempotency-Key -> number of executions */
  unsigned runs;
  unsigned refused;     /**< requests rejected by fail_status */
  unsigned disconnects; /**< clients that disconnected early */
  unsigned open;
  unsigned peak; /**< maximum of open */
  /** Handles stand-in specific fields of /control/set; may be NULL. */
  void (*on_set) (void *ctx, json_object *o);
  void *ctx;
};

struct reply
{
  struct backend *b;
  struct httpd_req *req;
  uv_timer_t timer;
  bool timed; /**< unused */
  int status;
  const char *type; /**< content-type */
  struct buf body;
  size_t offset;      /**< offset of the next byte; not 0 when resumed */
  size_t *piece_ends; /**< end offset of each piece; NULL: one piece */
  size_t npieces;
  size_t next_piece;
  int piece_ms; /**< delay between pieces, in ms */
  bool headers_sent;
};

/**
 * Prints "ready NAME http=ADDR" and serves until the process is killed.
 * @return exit code
 */
int backend_run (struct backend *b, const char *name, const char *listen,
                 httpd_handler handler);

/** Handles /control/set and /control/counts; false for any other path. */
bool backend_control (struct backend *b, struct httpd_req *req);

#define BACKEND_HEADERS 3

/** Fills the headers of a response: its type, unless NULL, and what the faults
    announce. */
size_t backend_headers (const struct backend *b, const char *type,
                        bool rejected, struct http_header *out);

/** Counts an execution, or rejects the request by fail_status: false. */
bool backend_admit (struct backend *b, struct httpd_req *req);

/** Creates a reply with status 200; the caller sets type, body and pieces. */
struct reply *reply_new (struct backend *b, struct httpd_req *req);

/** Starts sending the reply, subject to the injected faults. */
void reply_start (struct reply *r);

/** Sends a JSON response and releases @p o. */
void backend_answer_json (struct httpd_req *req, int status, json_object *o);

bool json_flag (json_object *o, const char *key, bool fallback);
int64_t json_num (json_object *o, const char *key, int64_t fallback);
const char *json_text (json_object *o, const char *key);

#endif
