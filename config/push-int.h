/**
 * @file
 * What the two halves of a push share: push.c decides by the answers,
 * push-plan.c makes the writes.
 */
#ifndef LAPISLINE_CONFIG_PUSH_INT_H
#define LAPISLINE_CONFIG_PUSH_INT_H

#include "base/chart.h"
#include "config/push.h"
#include "config/rebase.h"

/** Text of another operator's file. */
struct fetched
{
  struct str hash;
  struct str text;
};

struct psh
{
  const struct chart *chart;
  int state;
  const struct cfg_folder *folder;
  struct str *hashes; /**< of the folder's files */
  struct arena arena;
  struct str prefix, who, change;
  int64_t base_revision;
  clk_ms wall;

  bool have_base;
  struct mft base;
  struct mft theirs;
  struct reb_result result;
  struct fetched *fetched;
  size_t nfetched;
  struct str missing; /**< hash that is being fetched */
  struct str merged;
  struct store_put *writes; /**< contents to write before the swap */
  size_t nwrites, written;

  bool doubt; /**< a swap was sent that may still take effect */
  unsigned failures, conflicts;
  clk_ms wait;
  int64_t revision;
  struct fnd_list findings;

  struct store_compare compare;
  struct store_put puts[2];
  struct str *deletes;
};

/** Store key "PREFIXconfig/KINDNAME", in the push's arena. */
struct str psh_key (struct psh *p, const char *kind, struct str name);
struct str psh_past_key (struct psh *p, int64_t revision);

/** Text of a merged file, or NULL when it has yet to be fetched. */
const struct str *psh_text (const struct psh *p, const struct reb_file *f,
                            struct str *mine);

/** The merged folder as files in memory; its texts are borrowed. */
struct cfg_folder psh_merged_folder (struct psh *p);

/** Fill p->writes with the contents that the store lacks. */
void psh_plan_writes (struct psh *p);

/** The transaction that swaps the manifest. */
void psh_plan_swap (struct psh *p, struct store_txn *txn);

#endif
