/**
 * @file
 * Transcripts: scripts that stand between the output that they expect.
 *
 * Lines "> COMMAND" are what the test does, the lines after one are what has
 * to come of it:
 *
 *   > call operate GET /admin/v1/nodes
 *     503 no-configuration
 */
#ifndef LAPISLINE_T_LIB_TRANSCRIPT_H
#define LAPISLINE_T_LIB_TRANSCRIPT_H

#include "base/str.h"

/** Runs one command, without its "> "; it may cut the text into words and
    appends what happens to the log. */
typedef void (*transcript_fn) (char *command);

/** Run the commands of @p text and compare all that is logged with it; the
    log is empty before and after. */
void transcript_check (struct buf *log, transcript_fn run, const char *text);

#endif
