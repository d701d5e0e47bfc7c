/**
 * @file
 * Writing of request heads and checks of response heads.
 */
#ifndef LAPISLINE_NET_HTTPC_HEAD_H
#define LAPISLINE_NET_HTTPC_HEAD_H

#include "net/httpc.h"

/**
 * Whether the request can be written.  A line break in its method, path or
 * headers would end the head early and start another request.
 */
bool httpc_head_is_valid (const struct httpc_request *req);

/** Append the head.  Hop-by-hop headers of the request are replaced by those
   of this connection. */
void httpc_head_write (const struct httpc_request *req, struct buf *out);

/** Whether the status can be that of a response.  h2o reads any number, and
   passes on 101, which no request asks for. */
bool httpc_status_is_final (int status);

/** What ends the body of a response. */
enum httpc_framing
{
  HTTPC_FRAMING_CLOSE, /**< the end of the connection */
  HTTPC_FRAMING_LENGTH,
  HTTPC_FRAMING_CHUNKED
};

/**
 * Determine the framing from a response's headers; false if they contradict
 * each other.  With both a length and chunked encoding, or with two lengths,
 * two parsers could disagree on where the response ends, and one caller could
 * get bytes of another caller's response.
 */
bool httpc_head_framing (const struct http_header *h, size_t n,
                         enum httpc_framing *out);

/**
 * Prepare bytes that begin with a response head for h2o's client.
 *
 * An assertion in it aborts the process on a length or an encoding that it
 * does not support, and if an interim head is followed by anything but a head.
 * A single faulty backend server would thus crash each node that it responds
 * to.  h2o takes white space after a value for a part of it, although it is
 * valid there (RFC 9112, 5); in complete heads it is therefore moved before
 * the value.
 * @return false: the bytes can't be passed to h2o.  This includes a head that
 *   is still incomplete after HTTPC_MAX_HEAD bytes
 */
bool httpc_head_prepare_input (char *input, size_t len);

#endif
