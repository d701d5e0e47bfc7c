/**
 * @file
 * In-memory key-value data of the stand-ins: keys with revisions, leases and
 * a bounded change history for watches.
 */
#ifndef LAPISLINE_STANDINS_KV_H
#define LAPISLINE_STANDINS_KV_H

#include <glib.h>

#include "base/clock.h"
#include "base/str.h"

/** Changes kept in the history for watches; older ones are compacted. */
#define KV_HISTORY 20000

struct kv_entry
{
  GBytes *key;
  GBytes *value; /**< NULL for a deletion in the history */
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
  int64_t era; /**< incremented when a backup is restored */
  int64_t revision;
  int64_t compacted; /**< history up to this revision is discarded */
  int64_t next_lease;
  GTree *keys;        /**< GBytes -> struct kv_entry */
  GQueue *history;    /**< of struct kv_entry, oldest first */
  GHashTable *leases; /**< id -> struct kv_lease */
};

void kv_init (struct kv *kv);

struct str kv_str (GBytes *b);

/** Returns NULL if the key is missing. */
struct kv_entry *kv_get (struct kv *kv, GBytes *key);

/** Whether @p key lies in [from, end).  An empty @p end selects the single
    key @p from; one zero byte selects all keys from @p from on. */
bool kv_in_range (GBytes *key, GBytes *from, GBytes *end);

/** Calls @p fn for each entry of the range, in key order. */
void kv_range (struct kv *kv, GBytes *from, GBytes *end,
               void (*fn) (void *ctx, const struct kv_entry *e), void *ctx);

void kv_put (struct kv *kv, GBytes *key, GBytes *value, int64_t lease,
             int64_t rev);

/** Deletes a range at revision @p rev; returns the number of deleted keys. */
int kv_delete (struct kv *kv, GBytes *from, GBytes *end, int64_t rev);

/** Grants a lease that expires at @p now + @p ttl; returns its id. */
int64_t kv_grant (struct kv *kv, clk_ms ttl, clk_ms now);

/** Returns NULL if the lease doesn't exist. */
struct kv_lease *kv_find_lease (struct kv *kv, int64_t id);

/** Ends a lease and deletes its keys in one revision. */
void kv_revoke (struct kv *kv, int64_t id);

/** Revokes the expired leases; true if there were any. */
bool kv_expire (struct kv *kv, clk_ms now);

/** Rolls the revision counter back and keeps the data, so that the last @p n
    revisions are assigned again.  A service is in this state when it was
    restored from an old backup and all clients have rewritten their keys. */
void kv_rewind (struct kv *kv, int64_t n);

/** Copies the revision, the keys and the leases; no history. */
void kv_copy (struct kv *to, const struct kv *from);

/** Restores a copy made by kv_copy() and increments the era.  Revisions and
   the ids of leases are assigned again.  The copy's leases start anew at @p
   now, or are lost with the keys under them. */
void kv_restore (struct kv *kv, const struct kv *copy, bool keep_leases,
                 clk_ms now);

/** Discards the history. */
void kv_compact (struct kv *kv);

#endif
