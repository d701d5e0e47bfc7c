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

/** Where the body of an answer ends. */
enum httpc_framing
{
  HTTPC_FRAMING_CLOSE, /**< when the connection does */
  HTTPC_FRAMING_LENGTH,
  HTTPC_FRAMING_CHUNKED
};

/**
 * Read it from an answer's headers; false when they contradict each other.
 * With both a length and chunks, or two lengths, two readers of the same bytes
 * would see the answer end in different places, and one caller could get what
 * belongs to the next.
 */
bool httpc_head_framing (const struct http_header *h, size_t n,
                         enum httpc_framing *out);

/**
 * Whether bytes that begin with an answer's head may be given to h2o's client.
 * It ends the process by an assertion when a length or an encoding that it
 * does not know comes in a head, or anything but a head after an interim one.
 * One backend server with a fault would take down each node it answers.
 */
bool httpc_head_input_ok (struct str input);

#endif
