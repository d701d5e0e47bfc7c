/**
 * @file
 * Server-sent events out of a stream of bytes: whole ones are handed on, the
 * rest waits for its end.
 *
 * A backend server may stop in the middle of an event.  Were its part passed
 * on, the stream could not go on at another one without breaking an event.
 */
#ifndef LAPISLINE_SERVE_SPLIT_H
#define LAPISLINE_SERVE_SPLIT_H

#include "base/str.h"

struct spl
{
  struct buf rest; /**< of an event that is not whole yet */
  int64_t last_id; /**< of the last whole event */
  bool has_id;
};

/**
 * Take bytes; append whole events to @p out.  An event whose id is not above
 * the last one is left out: it came before.
 * @return  number of whole events appended
 */
size_t spl_take (struct spl *s, struct str bytes, struct buf *out);

void spl_free (struct spl *s);

#endif
