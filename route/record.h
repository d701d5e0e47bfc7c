/**
 * @file
 * Text format of a request core's events and actions: one JSON object per line
 * for events, one line of words for actions.
 *
 * A gateway started with --record writes the events of its core to standard
 * output; `lapisline replay` feeds them to a new core and prints its actions.
 * Bodies, keys and tokens never reach the core, so a trace contains none; the
 * key digests of a configuration are replaced before it is written.
 */
#ifndef LAPISLINE_ROUTE_RECORD_H
#define LAPISLINE_ROUTE_RECORD_H

#include "base/findings.h"
#include "route/route.h"

/** First line of a trace: parameters of rt_new(). */
struct rec_header
{
  struct rt_options options;
  uint64_t seed;
};

void rec_write_header (const struct rec_header *head, struct buf *out);

void rec_write_event (clk_ms now, const struct rt_event *ev, struct buf *out);

void rec_write_action (clk_ms now, const struct rt_action *act,
                       struct buf *out);

/** Reader of a trace; zero-initialized. */
struct rec_reader
{
  const char *file; /**< for findings */
  int line;
  void *scratch; /**< owns the data that the last event points to */
};

/** Read the first line. On errors, adds a finding and returns false. */
bool rec_read_header (struct rec_reader *r, struct str line,
                      struct rec_header *head, struct fnd_list *findings);

/**
 * Read the line of one event. Empty lines, // comments and the "ready" line of
 * a process return false without a finding.
 * @param ev  valid until the next call or rec_reader_free()
 */
bool rec_read_event (struct rec_reader *r, struct str line, clk_ms *now,
                     struct rt_event *ev, struct fnd_list *findings);
void rec_reader_free (struct rec_reader *r);

#endif
