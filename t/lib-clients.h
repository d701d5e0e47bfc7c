/**
 * @file
 * Crowds of clients that don't keep to the limits of a node, beside ordinary
 * requests, with the node's memory watched.
 *
 * A crowd is bounded in connections, bytes and time.  The node is killed, and
 * the report says so, once its resident memory passes a limit.
 */
#ifndef LAPISLINE_T_LIB_CLIENTS_H
#define LAPISLINE_T_LIB_CLIENTS_H

#include "base/clock.h"
#include "t/lib-rack.h"

/** Most connections of a crowd. */
#define CLIENTS_MAX 1500

/**
 * Bytes that each client of a crowd sends: @p prefix, @p unit repeated
 * @p count times, @p suffix.
 */
struct clients_bytes
{
  const char *prefix;
  const char *unit;
  size_t count; /**< SIZE_MAX: without end */
  const char *suffix;
};

struct clients_crowd
{
  const char *name; /**< for the report */
  size_t clients;
  struct clients_bytes bytes;
  size_t withheld;  /**< bytes at the end that are not sent */
  size_t piece;     /**< bytes sent at once; 0: as many as possible */
  clk_ms piece_ms;  /**< pause between two pieces */
  bool reads;       /**< reads the responses */
  bool reconnects;  /**< opens another connection when one is closed, and
                         for the next request */
  size_t total_max; /**< bytes sent by the crowd; 0: CLIENTS_BYTES_MAX */
};

/**
 * Time in which an ordinary request is to be answered.  Clients give up a
 * request that a node has not read after a second, and the shortest deadline
 * of a request is as long.  A sanitized program is several times slower.
 */
#define CLIENTS_ANSWER_MS ((clk_ms)1000)
#define CLIENTS_ANSWER_SANITIZED_MS ((clk_ms)3000)

/** Bytes that a crowd sends unless it names its own limit. */
#define CLIENTS_BYTES_MAX ((size_t)4 << 30)

struct clients_report
{
  size_t opened;  /**< connections */
  size_t closed;  /**< of these, closed by the node */
  size_t served;  /**< responses with status 2xx */
  size_t refused; /**< responses with another status */
  size_t bytes;   /**< sent by the crowd */
  long calm_kb;   /**< resident memory before */
  long peak_kb;   /**< most resident memory */
  bool over;      /**< the memory passed the limit and the node was killed */
  int sent;       /**< ordinary requests */
  int answered;   /**< of these, answered 200 in time */
  clk_ms slowest; /**< ordinary request */
};

/**
 * Plays a crowd against @p addr, an address of node 0, for @p ms, with ten
 * ordinary requests a second, and prints the report.
 * @param max_kb  limit on the node's resident memory
 */
struct clients_report clients_play (const struct rack *r, const char *addr,
                                    const struct clients_crowd *crowd,
                                    clk_ms ms, long max_kb);

/** Sends one request made of @p bytes over a new connection and reads the
    response; returns its status, 0 if there is none. */
int clients_call (const char *addr, const struct clients_bytes *bytes,
                  struct buf *body);

#endif
