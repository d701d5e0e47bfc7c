/**
 * @file
 * Three-way merge of configuration folders by files.
 */
#ifndef LAPISLINE_CONFIG_REBASE_H
#define LAPISLINE_CONFIG_REBASE_H

#include "config/folder.h"
#include "config/manifest.h"

/** What is merged; hashes[i] belongs to mine->files[i]. */
struct reb_input
{
  const struct mft *base;
  const struct mft *theirs;
  const struct cfg_folder *mine;
  const struct str *hashes;
  struct str who;
};

/** A file of the merged folder. */
struct reb_file
{
  struct mft_file file;
  const struct cfg_file *text; /**< in the operator's folder, or NULL when
                                    only the store has it */
};

struct reb_result
{
  struct reb_file *files; /**< in @p arena, ordered by name */
  size_t n;
};

/** Merge; false with a finding for each file that both sides changed. */
bool reb_merge (const struct reb_input *in, struct arena *arena,
                struct reb_result *out, struct fnd_list *findings);

/** Whether the merged files are those of @p m. */
bool reb_same (const struct reb_result *r, const struct mft *m);

#endif
