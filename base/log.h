/**
 * @file
 * Numbered events as JSON or text lines on standard error.
 *
 * Every event has a number, a name, a level and a sentence; they are listed
 * in the files events/NAME.def, one per folder of the source, as
 *     LOG_EVENT (number, name, level, "sentence")
 * and docs/EVENTS.md carries the same list for operators (a test compares).
 * Number ranges: base 1000, config 2000, store 3000, fleet 4000, claim 4500,
 * route 5000, replica 6000, front 7000, back 7500, control 8000,
 * serve 9000.
 * Libraries return errors; only process shells and commands log.
 */
#ifndef LAPISLINE_BASE_LOG_H
#define LAPISLINE_BASE_LOG_H

#include "base/str.h"

enum log_level
{
  LOG_DEBUG,
  LOG_INFO,
  LOG_WARN,
  LOG_ERROR
};

enum log_format
{
  LOG_TEXT,
  LOG_JSON
};

/** Event names: LOG_EV_<name>, valued by their number. */
enum log_event
{
#define LOG_EVENT(number, name, level, sentence) LOG_EV_##name = (number),
#include "events/all.def"
#undef LOG_EVENT
};

/** One field of a line: text when is_int is false. */
struct log_field
{
  const char *key;
  bool is_int;
  int64_t num;
  struct str text;
};

#define LOG_S(k, s) ((struct log_field){ (k), false, 0, (s) })
#define LOG_C(k, c) ((struct log_field){ (k), false, 0, str_from (c) })
#define LOG_I(k, n) ((struct log_field){ (k), true, (int64_t)(n), STR_EMPTY })

/** Write one event with fields: LOG (name, LOG_S ("node", name), ...). */
#define LOG(name, ...)                                                        \
  log_write (LOG_EV_##name, (struct log_field[]){ __VA_ARGS__ },              \
             sizeof ((struct log_field[]){ __VA_ARGS__ })                     \
                 / sizeof (struct log_field))

/** Set format, least level and the node name that each line carries. */
void log_setup (enum log_format format, enum log_level least, struct str node);

/**
 * Write to @p fd from now on, at most so many lines a second of each event
 * (0: no bound), and none that would have to wait for the reader.  What was
 * left out is counted and said before the event's next line.
 */
void log_output (int fd, unsigned per_second);

/**
 * Write one line.  Fields whose key is "secret", "token", "key" or "body"
 * are written as "[redacted]".
 */
void log_write (enum log_event ev, const struct log_field *fields, size_t n);

/** Row of the event catalogue. */
struct log_entry
{
  int number;
  const char *name;
  enum log_level level;
  const char *sentence;
};

/** The whole catalogue, ordered by number; @p n receives its length. */
const struct log_entry *log_catalogue (size_t *n);

#endif
