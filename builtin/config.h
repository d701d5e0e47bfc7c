/**
 * @file
 * The parts of `lapisline config` and what they share: the store as a series
 * of calls that are waited for.
 */
#ifndef LAPISLINE_BUILTIN_CONFIG_H
#define LAPISLINE_BUILTIN_CONFIG_H

#include <glib.h>
#include <uv.h>

#include "config/manifest.h"
#include "config/settings.h"
#include "lapisline.h"
#include "store/store.h"

/** Name of the file in an operator's folder that keeps the revision that the
    folder was made from. */
#define CONF_REVISION_FILE ".lapisline-revision"

/** Where the store is; filled by options. */
struct conf_options
{
  char *settings; /**< file, or NULL */
  char *store;    /**< address, or NULL */
  char *prefix;
};

/** Rows of GOptionEntry for the options of the store. */
#define CONF_STORE_ENTRIES(o)                                                 \
  { "settings",                                                               \
    0,                                                                        \
    0,                                                                        \
    G_OPTION_ARG_FILENAME,                                                    \
    &(o)->settings,                                                           \
    "settings file that names the store",                                     \
    "FILE" },                                                                 \
      { "store",     0,                                                       \
        0,           G_OPTION_ARG_STRING,                                     \
        &(o)->store, "address of the store, in place of --settings",          \
        "ADDR" },                                                             \
  {                                                                           \
    "prefix", 0, 0, G_OPTION_ARG_STRING, &(o)->prefix,                        \
        "prefix of the store's keys (with --store; default /lapisline/)",     \
        "PREFIX"                                                              \
  }

/** A store that is open. */
struct conf_store
{
  uv_loop_t loop;
  struct httpc *http;
  struct store *store;
  struct str prefix;
  struct settings set;
  bool answered;
  struct store_result result; /**< of the last call, valid until the next */
  struct store_kv kv;
  struct buf key, value;
};

/** Parse options; false when a message was printed.  --help ends the process.
 * @param operands  how many must be left besides the verb */
bool conf_parse (const GOptionEntry *entries, const char *parameters,
                 const char *summary, int operands, int *argc, char ***argv);

/** Open the store; EXIT_DONE or a code with a message printed. */
int conf_store_open (struct conf_store *cs, const struct conf_options *o);
void conf_store_close (struct conf_store *cs);
void conf_options_free (struct conf_options *o);

/** Read one key under "PREFIXconfig/". */
const struct store_result *conf_range (struct conf_store *cs, struct str key);
const struct store_result *conf_txn (struct conf_store *cs,
                                     const struct store_txn *txn);

/** As conf_range(), of the key PREFIXconfig/KIND NAME. */
const struct store_result *conf_get (struct conf_store *cs, const char *kind,
                                     struct str name);

/** Read the manifest; EXIT_DONE with revision 0 when there is none. */
int conf_manifest (struct conf_store *cs, struct arena *arena, struct mft *m);

/** Read and check a folder, findings printed; NULL when it has errors.
 * @param merged  receives the merged document */
struct cfg_folder;
bool conf_folder (const char *path, struct cfg_folder *folder,
                  struct buf *merged);

void conf_print_findings (const struct fnd_list *findings, FILE *out);

/** The revision kept in the folder, or 0. */
int64_t conf_read_base (const char *folder);
void conf_write_base (const char *folder, int64_t revision);

int conf_push (int argc, char **argv);
int conf_show (int argc, char **argv);
int conf_diff (int argc, char **argv);
int conf_status (int argc, char **argv);

#endif
