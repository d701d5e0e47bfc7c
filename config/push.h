/**
 * @file
 * Pushing a configuration folder (decision core, no I/O).
 *
 * Store keys under the prefix: "config/manifest" (JSON: change number, who,
 * when, [{name, hash}] of the files, hash of the merged document),
 * "config/file/HASH" and "config/doc/HASH".  Contents are written first, then
 * the manifest is swapped by compare-and-swap on its mod_revision.
 *
 * A lost answer is settled by reading the manifest (and its history by change
 * number); a conflict is rebased where the other operator touched different
 * files and refused with the clash where the same file changed.
 */
#ifndef LAPISLINE_CONFIG_PUSH_H
#define LAPISLINE_CONFIG_PUSH_H

#include "config/folder.h"
#include "store/store.h"

struct psh;

enum psh_state
{
  PSH_RUNNING,
  PSH_ACCEPTED,  /**< in the store at psh_revision() */
  PSH_UNCHANGED, /**< the store already holds exactly this */
  PSH_CLASH,     /**< another operator changed the same file */
  PSH_INVALID,   /**< the rebased whole fails the check */
  PSH_UNKNOWN    /**< the store gave no answer that settles it */
};

enum psh_action_kind
{
  PSH_RANGE, /**< key */
  PSH_TXN    /**< txn */
};

struct psh_action
{
  enum psh_action_kind kind;
  struct str key;
  struct store_txn txn; /**< owned by the core until its answer */
};

/**
 * @param base  revision that the operator's folder was made from, or 0 to
 *              take the store's manifest as it is when the push begins
 * @param who   operator's name
 */
struct psh *psh_new (const struct cfg_folder *folder, struct str prefix,
                     int64_t base, struct str who, uint64_t change,
                     clk_ms wall);
void psh_free (struct psh *p);

/** Begin, or feed the answer to the last action; at most one is open. */
bool psh_next (struct psh *p, const struct store_result *answer, clk_ms now,
               struct psh_action *out);
enum psh_state psh_state (const struct psh *p);
int64_t psh_revision (const struct psh *p);
const struct fnd_list *psh_findings (const struct psh *p);

#endif
