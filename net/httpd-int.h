/**
 * @file
 * Internal interface of the HTTP server, used by httpd*.c only.
 *
 *   httpd.c          the listener and its connections
 *   httpd-req.c      a request and its response
 *   httpd-watch.c    detection of callers that disconnect
 *   httpd-refusal.c  responses to requests that are refused unread
 *   httpd-input.c    limits on requests that are being received
 *   httpd-fields.c   heads with more fields than h2o takes
 */
#ifndef LAPISLINE_NET_HTTPD_INT_H
#define LAPISLINE_NET_HTTPD_INT_H

#include <h2o.h>

#include "net/httpd.h"

/** Fields of a request head that are kept from h2o. */
struct httpd_fields
{
  struct buf text;
  struct http_header *list; /**< names in lower case, in `text` */
  size_t n;
};

struct httpd_conn
{
  uv_tcp_t tcp; /**< first field: h2o passes the stream to callbacks */
  struct httpd *d;
  struct httpd_conn *next;
  struct httpd_conn **prev;
  h2o_socket_t *sock; /**< NULL: closed */
  struct httpd_conn *next_idle;
  struct httpd_conn **prev_idle; /**< NULL: not in the list */
  size_t open;                   /**< requests being answered */
  clk_ms accepted_at;
  bool read_closed; /**< this end has shut down its receiving side */
  /* httpd-input.c */
  h2o_socket_cb h2o_read;     /**< h2o's callback for received bytes */
  h2o_linklist_t attach_link; /**< in httpd.unattached */
  h2o_linklist_t input_link;  /**< in httpd.receiving or httpd.refused */
  clk_ms receiving_since;     /**< since the first bytes of an incomplete
                                   request, or the refusal; 0: none */
  uint64_t received;          /**< bytes of that request */
  size_t counted;             /**< part of httpd.input_counted */
  size_t head_scanned;        /**< bytes of an incomplete head that have been
                                   searched for its end */
  size_t head_lines;          /**< found so far */
  struct httpd_fields fields; /**< of the request */
  bool head_complete;
  bool head_seen; /**< h2o has seen a part of the head before its end */
  bool refused;   /**< a refusal was sent; further bytes are discarded */
};

struct httpd
{
  uv_tcp_t listener;
  uv_timer_t sweep;
  clk_ms last_sweep;
  h2o_globalconf_t config;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept_ctx;
  httpd_handler handler;
  void *handler_ctx;
  size_t max_connections;
  size_t nconnections;
  httpd_full on_full;
  httpd_left on_left;
  size_t nopen;
  struct httpd_conn *conns;
  struct httpd_conn *idle; /**< without an open request, longest idle first */
  struct httpd_conn **last_idle;
  uv_timer_t room; /**< closes an idle connection for a pending one */
  struct httpd_req *reqs;
  uv_timer_t watch_timer;
  struct httpd_req *unwatched; /**< oldest first */
  struct httpd_req **last_unwatched;
  /* httpd-input.c */
  h2o_linklist_t receiving;  /**< connections with a part of a request, oldest
                                  first */
  h2o_linklist_t refused;    /**< oldest first */
  h2o_linklist_t unattached; /**< connections whose callback h2o has set */
  uv_prepare_t attach;
  uv_timer_t input_sweep;
  clk_ms last_input_sweep;
  size_t input_counted; /**< bytes of incomplete requests and of the bodies in
                             use, without those that each connection has
                             free */
  size_t max_input;
  size_t max_head;
  clk_ms head_ms;
  uint64_t refusals; /**< by this server, not by h2o */
  httpd_refused on_refused;
  uint16_t port;
  int handles;         /**< of this struct, not closed yet */
  bool accept_pending; /**< at the limit, with a connection to accept */
  bool full;           /**< at the limit since a connection had to wait */
  bool stopped;
  bool freeing;
};

struct httpd_handler_slot
{
  h2o_handler_t super;
  struct httpd *d;
};

struct httpd_refusal_filter
{
  h2o_filter_t super;
  httpd_refused refused;
  void *ctx;
};

struct httpd_req
{
  h2o_generator_t generator; /**< first field: h2o passes it to callbacks */
  h2o_req_t *req;
  struct httpd *d;
  struct httpd_conn *conn;
  struct httpd_req *next;
  struct httpd_req **prev;
  struct httpd_view view;
  struct http_header *headers;
  size_t nheaders;
  struct buf queued;  /**< not passed to h2o yet */
  struct buf sending; /**< in use by h2o until it calls on_proceed() */
  size_t length;      /**< Content-Length of the response, or SIZE_MAX */
  size_t written;
  clk_ms progress_at; /**< when bytes were last passed to h2o or written */
  bool begun;
  bool in_flight; /**< h2o is sending */
  bool ended;     /**< by httpd_end(); the handler has finished */
  bool whole;
  bool detached; /**< no callback may be called any more */
  void (*on_disconnect) (void *ctx);
  void *gone_ctx;
  void (*on_drained) (void *ctx);
  void *drained_ctx;
  struct disconnect_watch *watch;
  struct httpd_req *next_unwatched;
  struct httpd_req **prev_unwatched; /**< NULL: not in the list */
  clk_ms watch_at;                   /**< loop time */
};

/**
 * Shut a connection down, so that h2o gets an error or the end of input in any
 * state.
 * @param how  as for shutdown()
 */
void httpd_conn_shutdown (const struct httpd_conn *c, int how);

/** Descriptor of a connection, or -1. */
int httpd_conn_fd (const struct httpd_conn *c);

/** Record that a connection has a first open request. */
void httpd_conn_set_active (struct httpd_conn *c);

/** Record that a connection has no open request. */
void httpd_conn_set_idle (struct httpd_conn *c);

/**
 * Install a filter for the responses to requests that h2o refuses by itself.
 * h2o assigns these to the fallback path, and all others to the path "/",
 * which has the handler.
 */
void httpd_refusal_setup (h2o_hostconf_t *host, httpd_refused refused,
                          void *ctx);

/** Send the response to a refused request that h2o does not know. */
void httpd_refusal_send (struct httpd *d, int fd, int status);

const char *httpd_reason (int status);

/** Close the connection that costs the fewest requests: one that is idle, one
    that sends a request slowly, or one that doesn't read its response. */
void httpd_make_room (struct httpd *d);

/** Whether the head that is being received may have more fields than h2o
    takes. */
bool httpd_fields_are_many (const struct httpd_conn *c);

/** Move the fields that h2o does not interpret out of the complete head, of
    @p size bytes, at the start of the input. */
void httpd_fields_move (struct httpd_conn *c, size_t size);

/** Memory that the fields take. */
size_t httpd_fields_bytes (const struct httpd_fields *f);
void httpd_fields_free (struct httpd_fields *f);

void httpd_input_init (struct httpd *d, uv_loop_t *loop);

/** Have received bytes checked, once h2o has set its callback. */
void httpd_input_attach_soon (struct httpd_conn *c);

/** The connection has no incomplete request and no body in use. */
void httpd_input_reset (struct httpd_conn *c);

/** The connection is closed. */
void httpd_input_forget (struct httpd_conn *c);

/** Refuse the request that has been arriving slowly for longest and close its
    connection.
    @retval false  there is none */
bool httpd_input_close_slow (struct httpd *d);

/** Connections wait to be accepted: check regularly for room. */
void httpd_input_wait (struct httpd *d);

void httpd_input_sweep (uv_timer_t *t);

/** Handler for h2o: creates a struct httpd_req and calls the server's handler.
 */
int httpd_on_req (h2o_handler_t *self, h2o_req_t *req);

/** Initialize the detection of callers that disconnect. */
void httpd_watch_init (struct httpd *d, uv_loop_t *loop);

/** Monitor the caller's connection if the request is still open after a delay.
 */
void httpd_watch_start (struct httpd_req *r);

/** Stop monitoring the caller's connection. */
void httpd_watch_stop (struct httpd_req *r);

/** Whether the caller has closed its connection or its sending side. */
bool httpd_has_disconnected (const struct httpd_req *r);

/** Call the handler's callback for a caller that disconnected. */
void httpd_notify_disconnect (struct httpd_req *r);

/** Abort a request in h2o that gets no response any more. */
void httpd_abort (struct httpd_req *r);

#endif
