/**
 * @file
 * A configuration folder: *.json in the order of their names.
 */
#ifndef LAPISLINE_CONFIG_FOLDER_H
#define LAPISLINE_CONFIG_FOLDER_H

#include "config/config.h"

struct cfg_file
{
  char *name; /**< without the folder */
  char *text;
  size_t len;
};

struct cfg_folder
{
  char *path;
  struct cfg_file *files;
  size_t n;
  bool partial; /**< a file could not be read */
};

/** Read all files; false with findings when one can't be read.  What could
    be read can still be checked, for the findings. */
bool cfg_folder_read (const char *path, struct cfg_folder *out,
                      struct fnd_list *findings);
void cfg_folder_free (struct cfg_folder *f);

/**
 * Merge the files and check the result; NULL with findings when something is
 * wrong.  Of a folder that was read in part, only the syntax of its files is
 * checked, and the result is NULL.  Findings name file, line and
 * pointer: the file is the last one that set the value.
 * @param merged  receives the merged document as canonical JSON
 */
struct cfg *cfg_folder_check (const struct cfg_folder *f, struct buf *merged,
                              struct fnd_list *findings);

#endif
