/**
 * @file
 * Request rates that backend servers ask for (decision core).
 *
 * A server in trouble names in its answers how many requests a second it takes
 * from all nodes together, for as long as its answers say so.
 *
 * An answer proves that it is newer than another one if its request was sent
 * after that one had come.  Answers on different connections may overtake each
 * other, so a limit is raised or ended only by an answer that is proved to be
 * newer; a lower one holds at once.
 *
 * Servers are known by dsp_place_hash() without a generation: a limit is one
 * of the process, not of the replica that it leads.  Events and time go in.
 */
#ifndef LAPISLINE_SERVE_LIMIT_H
#define LAPISLINE_SERVE_LIMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/clock.h"

/** Servers that are remembered. */
#define LIM_MOST 1024

/** What an answer says of the rate that its server takes. */
enum lim_says
{
  LIM_SAYS_NOTHING, /**< the server takes any rate */
  LIM_SAYS_RATE,
  LIM_SAYS_UNREADABLE /**< ignored, but reported once for each server */
};

/** What an answer has changed. */
enum lim_change
{
  LIM_SAME,
  LIM_NAMED, /**< a limit, or another one than before */
  LIM_ENDED,
  LIM_UNREADABLE /**< nothing, and it is the first one of its server */
};

struct lim_word
{
  uint64_t server;
  enum lim_says says;
  double rate;    /**< requests a second, if LIM_SAYS_RATE */
  clk_ms sent_at; /**< when the answer's request was sent */
};

struct lim;

struct lim *lim_new (void);
void lim_free (struct lim *l);

/** An answer has come at @p now. */
enum lim_change lim_answered (struct lim *l, clk_ms now,
                              const struct lim_word *word);

/** A request was sent to the server. */
void lim_sent (struct lim *l, uint64_t server);

/** Whether the server is limited. @param rate  receives the limit */
bool lim_rate (const struct lim *l, uint64_t server, double *rate);

/** Requests that this node has sent to the server since it was limited. */
uint64_t lim_count_sent (const struct lim *l, uint64_t server);

/** Counters since the start, and what holds now. */
struct lim_figures
{
  size_t limited; /**< servers */
  uint64_t sent;  /**< requests to servers that were limited */
};
struct lim_figures lim_figures (const struct lim *l);

#endif
