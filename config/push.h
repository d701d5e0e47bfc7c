/**
 * @file
 * Pushing a configuration folder (decision core, no I/O).
 *
 * Store keys under the prefix: "config/manifest" (config/manifest.h),
 * "config/past/REVISION" (the manifests before it), "config/file/HASH" and
 * "config/doc/HASH".  Contents are written first, then the manifest is
 * swapped by compare-and-swap on its mod_revision, so a change is in the
 * store as a whole or not at all, and at most once: the compare holds for one
 * predecessor only.
 *
 * A lost answer is settled by reading the manifest back: it holds this push's
 * change number, or names it among its past, or has moved on without it (then
 * the compare can never hold again), or still is the predecessor (then the
 * same swap is sent again).
 *
 * The files are merged three ways: base, the operator's folder, the store.
 * What another operator changed in other files is kept; a file that both
 * changed is refused with the clash.  The states are charts/config-push.json.
 */
#ifndef LAPISLINE_CONFIG_PUSH_H
#define LAPISLINE_CONFIG_PUSH_H

#include "config/folder.h"
#include "store/store.h"

struct psh;

enum psh_state
{
  PSH_RUNNING,
  PSH_ACCEPTED,    /**< in the store at psh_revision() */
  PSH_UNCHANGED,   /**< the store already holds exactly this */
  PSH_CLASH,       /**< another operator changed the same file */
  PSH_INVALID,     /**< the rebased whole fails the check */
  PSH_UNAVAILABLE, /**< the store gave no answer; nothing was changed */
  PSH_UNKNOWN      /**< the store gave no answer that settles it */
};

enum psh_action_kind
{
  PSH_RANGE, /**< key */
  PSH_TXN,   /**< txn */
  PSH_WAIT   /**< wait_ms, then psh_next() without an answer */
};

/** Pointers are owned by the core and valid until its next call. */
struct psh_action
{
  enum psh_action_kind kind;
  struct str key;
  struct store_txn txn;
  clk_ms wait_ms;
};

/**
 * @param folder  must outlive the push
 * @param base    revision that the operator's folder was made from, or 0 to
 *                take the store's manifest as it is when the push begins
 * @param who     operator's name
 * @param change  random number of this push
 */
struct psh *psh_new (const struct cfg_folder *folder, struct str prefix,
                     int64_t base, struct str who, uint64_t change,
                     clk_ms wall);
void psh_free (struct psh *p);

/**
 * Begin, or feed the answer to the last action; at most one is open.
 * @retval false  the push has ended, see psh_state()
 */
bool psh_next (struct psh *p, const struct store_result *answer,
               struct psh_action *out);
enum psh_state psh_state (const struct psh *p);

/** Revision at which it was accepted, or that holds the same already. */
int64_t psh_revision (const struct psh *p);
const struct fnd_list *psh_findings (const struct psh *p);

/** Whether the accepted files are just those of the operator's folder; if not,
    other operators' files were kept. */
bool psh_folder_is_whole (const struct psh *p);

/** Append "added|changed|removed NAME" lines against what it replaced. */
void psh_summary (const struct psh *p, struct buf *out);

#endif
