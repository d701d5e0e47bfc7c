/**
 * @file
 * Data of the store's stand-in: keys with revisions, leases, history.
 */
#ifndef LAPISLINE_STANDINS_KV_H
#define LAPISLINE_STANDINS_KV_H

#include <glib.h>

#include "base/clock.h"
#include "base/str.h"

/** Changes that are remembered for watches; older ones are compacted. */
#define KV_HISTORY 20000

struct kv_entry
{
  GBytes *key;
  GBytes *value; /**< NULL in a deletion of the history */
  int64_t mod, create, lease;
};

struct kv_lease
{
  int64_t id;
  clk_ms ttl;
  clk_ms expires;
};

struct kv
{
  int64_t era; /**< rises when the data goes back to a copy */
  int64_t revision;
  int64_t compacted; /**< changes up to it are forgotten */
  int64_t next_lease;
  GTree *keys;        /**< GBytes -> struct kv_entry */
  GQueue *history;    /**< of struct kv_entry, oldest first */
  GHashTable *leases; /**< id -> struct kv_lease */
};

void kv_init (struct kv *kv);

/** Length-counted view of @p b. */
struct str kv_str (GBytes *b);

/** Entry or NULL. */
struct kv_entry *kv_get (struct kv *kv, GBytes *key);

/** Whether @p key lies in the range; an empty @p end means one key. */
bool kv_in_range (GBytes *key, GBytes *from, GBytes *end);

/** Call @p fn for each entry of the range, in order. */
void kv_range (struct kv *kv, GBytes *from, GBytes *end,
               void (*fn) (void *ctx, const struct kv_entry *e), void *ctx);

/** Put at revision @p rev. */
void kv_put (struct kv *kv, GBytes *key, GBytes *value, int64_t lease,
             int64_t rev);

/** Delete a range at revision @p rev; the number of deleted keys. */
int kv_delete (struct kv *kv, GBytes *from, GBytes *end, int64_t rev);

/** Grant a lease of @p ttl from @p now; its id. */
int64_t kv_grant (struct kv *kv, clk_ms ttl, clk_ms now);

/** Lease by id, or NULL. */
struct kv_lease *kv_lease (struct kv *kv, int64_t id);

/** End a lease and delete its keys, as one revision. */
void kv_revoke (struct kv *kv, int64_t id);

/** Revoke what has expired; true when something has. */
bool kv_expire (struct kv *kv, clk_ms now);

/** Give out the last @p n revisions again, as a service that has come back
   from an older copy of its data, after all others have written theirs anew.
 */
void kv_go_back (struct kv *kv, int64_t n);

/** Copy the keys and the revision; neither leases nor history. */
void kv_copy (struct kv *to, const struct kv *from);

/** Go back to a copy, as the next era.  Keys under leases are gone. */
void kv_restore (struct kv *kv, const struct kv *copy);

/** Forget the whole history. */
void kv_compact (struct kv *kv);

#endif
