/**
 * @file
 * A small HTTP server over h2o on libuv: one handler for all paths, answers
 * that may be streamed, bounds on what callers send, graceful stop.
 *
 * A request reaches the handler once it is whole; then it is answered at once
 * by httpd_answer(), or begun, written and ended.  When the caller goes away
 * before, the request is over; httpd_on_gone() tells.
 */
#ifndef LAPISLINE_NET_HTTPD_H
#define LAPISLINE_NET_HTTPD_H

#include "net/httpc.h"

struct httpd;
struct httpd_req;
struct httpd_refusal;

/**
 * The server refuses a request without asking the handler (a body that is
 * too large or badly framed): what it answers besides @p status is set by the
 * two functions below.  Bytes that are no HTTP request at all are refused
 * without it.
 */
typedef void (*httpd_refused) (void *ctx, int status, struct httpd_refusal *r);

/** Add a header (copied). */
void httpd_refusal_header (struct httpd_refusal *r, struct str name,
                           struct str value);

/** Set the JSON body (copied). */
void httpd_refusal_json (struct httpd_refusal *r, struct str body);

struct httpd_limits
{
  size_t max_body;        /**< bytes; larger: 413 */
  size_t max_connections; /**< accepted at once; more wait in the backlog */
  clk_ms request_ms;      /**< longest wait for a whole request head */
  httpd_refused refused;  /**< with the handler's context; NULL: h2o's text */
};

/** What the handler sees; valid until the answer has ended. */
struct httpd_view
{
  struct str method;
  struct str path;  /**< without the query, percent-decoding left as it came */
  struct str query; /**< after "?"; ptr NULL: there is no "?" */
  struct str host;  /**< as the caller named it, with a port if it gave one */
  struct str body;
  struct net_addr peer;
};

/** Called for each request; must answer now or later. */
typedef void (*httpd_handler) (void *ctx, struct httpd_req *req);

/**
 * Listen on @p at (port 0: the kernel's choice, see httpd_port()).
 * @return NULL with the reason in @p err on failure
 */
struct httpd *httpd_listen (uv_loop_t *loop, const struct net_addr *at,
                            const struct httpd_limits *limits,
                            httpd_handler handler, void *ctx, struct buf *err);
uint16_t httpd_port (const struct httpd *d);

/** Change the bound; connections above a lower one stay. */
void httpd_set_max_connections (struct httpd *d, size_t n);

/** Stop accepting; open requests go on.  Idle connections are closed. */
void httpd_stop_accepting (struct httpd *d);

/** Open requests. */
size_t httpd_open (const struct httpd *d);
void httpd_free (struct httpd *d);

const struct httpd_view *httpd_get (const struct httpd_req *req);

/** First header of that lower-case name, or the empty view. */
struct str httpd_header (const struct httpd_req *req, const char *name);

/** All request headers; @p n receives their number. */
const struct http_header *httpd_headers (const struct httpd_req *req,
                                         size_t *n);

/**
 * Be told when the caller's connection goes away before the answer's end.
 * Not called after the end.  After it no function may be called on @p req.
 * A caller that closes only its sending side counts as gone.  Each request
 * that is open for 100 ms is watched, and then holds a second descriptor.
 */
void httpd_on_gone (struct httpd_req *req, void (*gone) (void *ctx),
                    void *ctx);

/** Answer at once with a whole body. */
void httpd_answer (struct httpd_req *req, int status,
                   const struct http_header *headers, size_t n,
                   struct str body);

/** Begin a streamed answer. */
void httpd_begin (struct httpd_req *req, int status,
                  const struct http_header *headers, size_t n);

/** Queue bytes of a streamed answer (copied). */
void httpd_write (struct httpd_req *req, struct str bytes);

/** Bytes queued that the caller has not taken yet. */
size_t httpd_queued (const struct httpd_req *req);

/** Called whenever queued bytes were taken, for credit towards the source. */
void httpd_on_drained (struct httpd_req *req, void (*drained) (void *ctx),
                       void *ctx);

/** End a streamed answer: cleanly, or visibly cut (no last chunk). */
void httpd_end (struct httpd_req *req, bool whole);

#endif
