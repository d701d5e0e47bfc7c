/**
 * @file
 * HTTP server based on h2o and libuv: one handler for all paths, optionally
 * streamed responses, limits on requests and connections, graceful shutdown.
 *
 * The handler is called when a request has been read completely.  It responds
 * with httpd_answer(), or with httpd_begin(), httpd_write() and httpd_end().
 * If the caller disconnects before, the request ends and the callback set with
 * httpd_on_disconnect() is called.
 */
#ifndef LAPISLINE_NET_HTTPD_H
#define LAPISLINE_NET_HTTPD_H

#include "net/httpc.h"

struct httpd;
struct httpd_req;
struct httpd_refusal;

/**
 * The server refuses a request without calling the handler:
 *
 *   400  its body is badly framed
 *   408  its head took too long, or it was closed to make room for other
 *        connections
 *   413  its body is too large
 *   431  its head is too large
 *   503  the limit on bytes of requests being received is reached
 *
 * This callback sets the rest of the response with the functions below.  It is
 * not called for bytes that are not an HTTP request.
 */
typedef void (*httpd_refused) (void *ctx, int status, struct httpd_refusal *r);

/** Add a header (copied). */
void httpd_refusal_header (struct httpd_refusal *r, struct str name,
                           struct str value);

/** Set the JSON body (copied). */
void httpd_refusal_json (struct httpd_refusal *r, struct str body);

/** Send another status. */
void httpd_refusal_status (struct httpd_refusal *r, int status);

/**
 * Called when the limit on connections is reached and callers wait to be
 * accepted (@p full), and when no caller waits any more.
 */
typedef void (*httpd_full) (void *ctx, bool full);

/**
 * Called instead of the handler for a request whose caller had disconnected
 * when it was read; @p req is valid during the callback only.  Such a request
 * has waited in the kernel, because its connection was not accepted or this
 * process did not run.
 */
typedef void (*httpd_left) (void *ctx, struct httpd_req *req);

struct httpd_limits
{
  size_t max_body;  /**< bytes; larger: 413 */
  size_t max_head;  /**< bytes; larger: 431; 0: h2o's limit */
  clk_ms head_ms;   /**< time from the first byte of a request head to its
                         last; 0: request_ms */
  size_t max_input; /**< bytes of incomplete requests and of the bodies in
                         use, of all connections, without the first
                         16 KB of each; 0: no limit */
  size_t max_connections; /**< concurrent; near it, the connection that is idle
                               for longest is closed for each new one; at it,
                               new ones wait in the backlog */
  clk_ms request_ms;      /**< timeout for a complete request head */
  httpd_refused refused;  /**< called with the handler's context; NULL: h2o's
                               response is sent */
  httpd_full full;        /**< called with the handler's context, or NULL */
  httpd_left left;        /**< called with the handler's context; NULL: the
                               handler is called for such requests too */
};

/** Connections of a server. */
struct httpd_stats
{
  size_t received;    /**< bytes that count towards max_input */
  uint64_t refusals;  /**< requests refused while they were received */
  size_t connections; /**< accepted and open */
  size_t idle;        /**< of these, without a request that is answered */
  size_t max;         /**< limit on `connections` */
  bool full;          /**< callers wait to be accepted */
};

/** A request as passed to the handler; valid until the response has ended. */
struct httpd_view
{
  struct str method;
  struct str path;  /**< without the query, not percent-decoded */
  struct str query; /**< after "?"; ptr NULL: there is no "?" */
  struct str host;  /**< authority of the request, with a port if present */
  struct str body;
  struct net_addr peer;
};

/** Called for each request; must send a response, immediately or later. */
typedef void (*httpd_handler) (void *ctx, struct httpd_req *req);

/**
 * Listen on @p at (port 0: assigned by the kernel, see httpd_port()).
 * @return NULL with the reason in @p err on failure
 */
struct httpd *httpd_listen (uv_loop_t *loop, const struct net_addr *at,
                            const struct httpd_limits *limits,
                            httpd_handler handler, void *ctx, struct buf *err);
uint16_t httpd_port (const struct httpd *d);

/** Change the limit; existing connections above a lower limit are kept. */
void httpd_set_max_connections (struct httpd *d, size_t n);

/** Change the limits on requests, also of connections that are open. */
void httpd_set_request_limits (struct httpd *d, size_t max_body,
                               size_t max_head, clk_ms head_ms);
void httpd_set_max_input (struct httpd *d, size_t n);

/** Stop accepting and close idle connections; open requests continue. */
void httpd_stop_accepting (struct httpd *d);

struct httpd_stats httpd_stats (const struct httpd *d);

/** Number of open requests. */
size_t httpd_open (const struct httpd *d);
void httpd_free (struct httpd *d);

const struct httpd_view *httpd_get (const struct httpd_req *req);

/** First header with that lower-case name, or an empty string. */
struct str httpd_header (const struct httpd_req *req, const char *name);

/** All request headers; @p n receives their number. */
const struct http_header *httpd_headers (const struct httpd_req *req,
                                         size_t *n);

/**
 * Set the callback for a caller that disconnects before the response has
 * ended. It is not called afterwards.  When it was called, no function may be
 * called on @p req.  A caller that closes only its sending side is treated as
 * disconnected, as the kernel reports both in the same way.  A request that is
 * open for 100 ms is monitored, which needs a second file descriptor.
 */
void httpd_on_disconnect (struct httpd_req *req, void (*gone) (void *ctx),
                          void *ctx);

/** Time since the connection was accepted, in ms. */
clk_ms httpd_connection_age (const struct httpd_req *req);

/** Send a complete response. */
void httpd_answer (struct httpd_req *req, int status,
                   const struct http_header *headers, size_t n,
                   struct str body);

/** Begin a streamed response. */
void httpd_begin (struct httpd_req *req, int status,
                  const struct http_header *headers, size_t n);

/** Queue bytes of a streamed response (copied). */
void httpd_write (struct httpd_req *req, struct str bytes);

/** Number of queued bytes that have not been written to the connection. */
size_t httpd_queued (const struct httpd_req *req);

/** Set the callback for progress in writing queued bytes, for flow control of
    their source. */
void httpd_on_drained (struct httpd_req *req, void (*drained) (void *ctx),
                       void *ctx);

/** End a streamed response.  If it is not @p whole, the caller sees an
    incomplete response (no last chunk). */
void httpd_end (struct httpd_req *req, bool whole);

#endif
