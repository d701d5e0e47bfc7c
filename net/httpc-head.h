/**
 * @file
 * The head of a request, as bytes.
 */
#ifndef LAPISLINE_NET_HTTPC_HEAD_H
#define LAPISLINE_NET_HTTPC_HEAD_H

#include "net/httpc.h"

/**
 * Whether the request can be written.  A line break in its method, path or
 * headers would end the head early and start another request.
 */
bool httpc_head_ok (const struct httpc_request *req);

/** Append the head; headers about the connection are ours. */
void httpc_head_write (const struct httpc_request *req, struct buf *out);

#endif
