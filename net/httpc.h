/**
 * @file
 * HTTP/1.1 calls over h2o's client on a libuv loop.
 *
 * A call goes through: connect, send, head, body..., end.  The caller learns
 * by `on_connected` that the next step hands bytes to the kernel, which is
 * the border between "was not run" and "may have run".  Addresses are IP
 * numbers; nothing is resolved by name.
 *
 * Callbacks run from the loop, never from within httpc_start().  `on_end`
 * comes exactly once unless httpc_cancel() was called first; afterwards the
 * call is gone.
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
  HTTPC_WHOLE,          /**< complete by its length or its last chunk */
  HTTPC_CONNECT_FAILED, /**< nothing was sent */
  HTTPC_STOPPED,        /**< on_connected said no; nothing was sent */
  HTTPC_BROKEN,         /**< sent in part or whole, no complete answer */
  HTTPC_SILENT,         /**< sent, then nothing for progress_ms */
  HTTPC_UNBOUNDED       /**< ended by close without a length: can't be told
                             from a truncated answer */
};

struct httpc_request
{
  struct net_addr to;
  struct str method;
  struct str path; /**< with the query */
  const struct http_header *headers;
  size_t nheaders;
  struct str body;    /**< copied */
  clk_ms connect_ms;  /**< longest wait for a connection */
  clk_ms progress_ms; /**< longest silence after sending */
  bool fresh;         /**< open a connection for this call alone, so that
                           no idle one that has gone silent is used */
};

struct httpc_callbacks
{
  /** Connected; the bytes go to the kernel if it returns true. */
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

/** Stop or resume reading the answer (the progress timer stands meanwhile). */
void httpc_pause (struct httpc_call *call, bool pause);

#endif
