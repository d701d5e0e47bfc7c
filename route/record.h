/**
 * @file
 * What a request core consumed and decided, as text: one JSON object a line
 * for events, one line of words for actions.
 *
 * A gateway started with --record writes its core's events to standard
 * output; `lapisline replay` feeds them to a new core and prints its actions.
 * Bodies, keys and tokens never reach the core, so they are in no trace; the
 * key digests of a configuration are replaced before it is written.
 */
#ifndef LAPISLINE_ROUTE_RECORD_H
#define LAPISLINE_ROUTE_RECORD_H

#include "base/findings.h"
#include "route/route.h"

/** First line of a trace: what the core was made with. */
struct rec_head
{
  struct rt_options options;
  uint64_t seed;
};

/** Append the first line. */
void rec_write_head (const struct rec_head *head, struct buf *out);

/** Append the line of one event. */
void rec_write_event (clk_ms now, const struct rt_event *ev, struct buf *out);

/** Append one action as a line of words. */
void rec_write_action (clk_ms now, const struct rt_action *act,
                       struct buf *out);

/** A trace being read; all zero is valid. */
struct rec_reader
{
  const char *file; /**< for findings */
  int line;
  void *scratch; /**< owns what the last event points to */
};

/** Read the first line; false with a finding when it is wrong. */
bool rec_read_head (struct rec_reader *r, struct str line,
                    struct rec_head *head, struct fnd_list *findings);

/**
 * Read the line of one event; empty lines, // comments and the line by which a
 * process says where it listens give false without a finding.
 * @param ev  valid until the next call or rec_reader_free()
 */
bool rec_read_event (struct rec_reader *r, struct str line, clk_ms *now,
                     struct rt_event *ev, struct fnd_list *findings);
void rec_reader_free (struct rec_reader *r);

#endif
