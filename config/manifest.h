/**
 * @file
 * The manifest: which files and which merged document are in force.
 *
 *   { "change": HEX, "who": NAME, "when": MS, "doc": HASH,
 *     "files": [{ "name": N, "hash": H, "who": NAME }],
 *     "past": [{ "revision": R, "change": HEX, "who": NAME, "doc": HASH,
 *                "dropped": [HASH] }] }
 *
 * Its revision is the store's mod_revision of its key, which a writer can't
 * know; each push therefore records its predecessor in "past", newest last.
 * A push that lost its answer finds its own change number there, also after
 * others have pushed on top of it.  "dropped" are the files that the next
 * push replaced: with "doc" they can be deleted once the entry falls out.
 */
#ifndef LAPISLINE_CONFIG_MANIFEST_H
#define LAPISLINE_CONFIG_MANIFEST_H

#include "base/clock.h"
#include "base/findings.h"
#include "config/arena.h"

/** Manifests that can still be rebased on and settled by. */
#define MFT_MAX_PAST 64

struct mft_file
{
  struct str name;
  struct str hash; /**< SHA-256 of the text */
  struct str who;  /**< operator who last changed it */
};

struct mft_past
{
  int64_t revision;
  struct str change;
  struct str who;
  struct str doc;
  struct str *dropped;
  size_t ndropped;
};

/** All zero is the manifest of an empty store. */
struct mft
{
  int64_t revision; /**< mod_revision of its key; 0: there is none */
  struct str change;
  struct str who;
  clk_ms when;            /**< wall clock */
  struct str doc;         /**< hash of the merged document */
  struct mft_file *files; /**< ordered by name */
  size_t nfiles;
  struct mft_past *past; /**< oldest first */
  size_t npast;
};

/** Parse; strings live in @p arena.  False with findings when it is bad. */
bool mft_parse (struct str text, int64_t revision, struct arena *arena,
                struct mft *out, struct fnd_list *findings);
void mft_format (const struct mft *m, struct buf *out);

const struct mft_file *mft_file (const struct mft *m, struct str name);

/** SHA-256 in hexadecimal, in @p arena. */
struct str mft_hash (struct arena *arena, struct str text);

/** Whether any file, document or past entry of @p m refers to @p hash. */
bool mft_refers (const struct mft *m, struct str hash);

#endif
