/**
 * @file
 * Reading a whole file into memory, with a bound.
 */
#ifndef LAPISLINE_CONFIG_FILE_H
#define LAPISLINE_CONFIG_FILE_H

#include "base/str.h"

/** Largest file that is read, in bytes. */
#define CFF_MAX ((size_t)4194304)

/**
 * Append the content of the file at @p path.
 * @param why  receives the reason as a sentence when it fails
 */
bool cff_read (const char *path, struct buf *out, struct buf *why);

#endif
