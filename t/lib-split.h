/**
 * @file
 * Property of the parser of server-sent events, for the test that replays its
 * corpus and for the fuzzer.
 */
#ifndef LAPISLINE_T_LIB_SPLIT_H
#define LAPISLINE_T_LIB_SPLIT_H

#include "base/str.h"

/**
 * Feeds a stream at once and in chunks, whose sizes its own bytes determine.
 * @return NULL, or what is wrong: the results differ, the events don't end
 *         with an empty line, or the rest has one
 */
const char *split_check (struct str stream);

#endif
