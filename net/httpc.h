/**
 * @file
 * HTTP/1.1 calls over h2o's client on a libuv loop.
 *
 * A call goes through: connect, send, head, body..., end.  `on_connected` is
 * called before the first byte is passed to the kernel: until then the request
 * was not run, afterwards it may have been.  Addresses are IP numbers; host
 * names are not resolved.
 *
 * Callbacks run from the event loop, never within httpc_start().  `on_end` is
 * called exactly once unless httpc_cancel() was called first; afterwards the
 * call is freed.
 */
#ifndef LAPISLINE_NET_HTTPC_H
#define LAPISLINE_NET_HTTPC_H

#include <uv.h>

#include "base/clock.h"
#include "net/addr.h"

struct httpc;
struct httpc_call;

struct http_header
{
  struct str name; /**< lower case */
  struct str value;
};

enum httpc_end
{
  HTTPC_COMPLETE,       /**< complete by its length or its last chunk */
  HTTPC_CONNECT_FAILED, /**< nothing was sent */
  HTTPC_NOT_SENT,       /**< on_connected returned false; nothing was sent */
  HTTPC_BROKEN,         /**< sent in part or whole; response incomplete or
                        malformed */
  HTTPC_TIMEOUT,        /**< sent; then nothing received for progress_ms, or
                        not complete after total_ms */
  HTTPC_TOO_LARGE,      /**< the body exceeds max_body */
  HTTPC_ENDED_BY_CLOSE  /**< ended by close without a length: can't be
                        distinguished from a truncated response */
};

/** Limit on the head of a response, in bytes.  A larger one ends the call with
    HTTPC_BROKEN. */
#define HTTPC_MAX_HEAD ((size_t)64 * 1024)

/** Default limit on the body of a response, in bytes. */
#define HTTPC_MAX_BODY ((size_t)16 * 1024 * 1024)

struct httpc_request
{
  struct net_addr to;
  struct str method;
  struct str path; /**< with the query */
  const struct http_header *headers;
  size_t nheaders;
  struct str body;    /**< copied */
  clk_ms connect_ms;  /**< connect timeout */
  clk_ms progress_ms; /**< timeout without received bytes after sending */
  clk_ms total_ms;    /**< timeout for the response after sending; 0: none */
  size_t max_body;    /**< bytes of the response's body; 0: HTTPC_MAX_BODY;
                           SIZE_MAX: unlimited */
  bool fresh;         /**< use a new connection for this call only, as an idle
                           one may be dead */
};

struct httpc_callbacks
{
  /** Connected; the request is sent if it returns true. */
  bool (*on_connected) (void *ctx);
  void (*on_head) (void *ctx, int status, const struct http_header *headers,
                   size_t n);
  void (*on_body) (void *ctx, struct str bytes);
  void (*on_end) (void *ctx, enum httpc_end end);
};

struct httpc *httpc_new (uv_loop_t *loop);

/** Close pooled connections; no call may be open. */
void httpc_free (struct httpc *c);

struct httpc_call *httpc_start (struct httpc *c,
                                const struct httpc_request *req,
                                const struct httpc_callbacks *cb, void *ctx);

/** End the call without a callback; its connection is closed, never reused. */
void httpc_cancel (struct httpc_call *call);

/** Pause or resume reading the response; the progress timer is stopped during
   a pause. */
void httpc_pause (struct httpc_call *call, bool pause);

#endif
