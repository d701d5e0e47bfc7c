/**
 * @file
 * Incremental parser that splits a byte stream into server-sent events (SSE).
 *
 * Only complete events are returned; an incomplete one stays in the buffer.  A
 * backend server may fail in the middle of an event.  If its first part had
 * been forwarded, the client would get a broken event when the stream
 * continues at another backend server.
 */
#ifndef LAPISLINE_SERVE_SPLIT_H
#define LAPISLINE_SERVE_SPLIT_H

#include "base/str.h"

/** Limit on the size of one event, in bytes. */
#define SPL_MAX_EVENT ((size_t)256 * 1024)

struct spl
{
  struct buf rest; /**< incomplete event at the end of the input */
  int64_t last_id; /**< id of the last complete event */
  bool has_id;
  bool malformed; /**< bytes were received that are no event, or none that ends
                       within SPL_MAX_EVENT; further bytes are dropped */
};

/**
 * Parses @p bytes and appends complete events to @p out.  An event whose id is
 * not greater than the last id is a duplicate and is dropped, and so are empty
 * lines between events.
 * @return  number of events appended
 */
size_t spl_feed (struct spl *s, struct str bytes, struct buf *out);

void spl_free (struct spl *s);

#endif
