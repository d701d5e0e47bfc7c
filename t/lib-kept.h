/**
 * @file
 * Requests over client connections that stay open, and the check of those that
 * got no complete response against what the backend servers saw.
 */
#ifndef LAPISLINE_T_LIB_KEPT_H
#define LAPISLINE_T_LIB_KEPT_H

#include "base/clock.h"
#include "t/lib-rack.h"

struct kept_answer
{
  int status;   /**< 0: the connection ended without a response */
  bool whole;   /**< received completely */
  bool timeout; /**< nothing was received for PROC_WAIT_MS */
  clk_ms sent_at, ended_at;
  clk_ms max_gap; /**< longest time without a byte, the first one included */
  struct buf body;
};

/** Sends a request over the open connection, or over a new one if there is
    none or the last response closed it, and reads the response. */
void kept_call (struct web_stream **conn, const char *addr, const char *path,
                const char *headers, struct kept_answer *out);
void kept_free (struct kept_answer *a);

/**
 * Records a response that is not a complete one with status 200.
 * @param list  one line per response
 * @param where  text for the report, without line breaks
 */
void kept_record (struct buf *list, const char *id, const char *where,
                  const struct kept_answer *a);

/**
 * Appends to @p out the recorded responses that break a promise: those cut off
 * in the middle, those whose connection ended although a server ran the
 * request, and errors although a server had ended its response.
 * @return their number
 */
unsigned kept_find_lost (const struct rack *r, const struct buf *list,
                         struct buf *out);

#endif
