/**
 * @file
 * Findings: problems of input collected with their place, reported together.
 */
#ifndef LAPISLINE_BASE_FINDINGS_H
#define LAPISLINE_BASE_FINDINGS_H

#include "base/str.h"

enum fnd_severity
{
  FND_WARNING,
  FND_ERROR
};

/** One finding and where it is. */
struct fnd_item
{
  enum fnd_severity severity;
  char *file;    /**< path, or NULL */
  int line;      /**< from 1; 0 when not known */
  char *pointer; /**< JSON pointer (RFC 6901), or NULL */
  char *text;    /**< one sentence without a full stop */
};

/** All zero is a valid empty list. */
struct fnd_list
{
  struct fnd_item *items;
  size_t n;
  size_t errors; /**< items of severity FND_ERROR */
};

void fnd_free (struct fnd_list *l);

/** Append a finding; the strings are copied. */
void fnd_addf (struct fnd_list *l, enum fnd_severity severity,
               const char *file, int line, const char *pointer,
               const char *fmt, ...) __attribute__ ((format (printf, 6, 7)));

/** Append "file:line: pointer: error: text" lines to @p out, in order. */
void fnd_print (const struct fnd_list *l, struct buf *out);

#endif
