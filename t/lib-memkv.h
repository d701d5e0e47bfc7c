/**
 * @file
 * In-memory store for scripted tests of modules without I/O: compare-and-swap
 * by mod_revision, and one transaction that can be held and applied later.
 */
#ifndef LAPISLINE_T_LIB_MEMKV_H
#define LAPISLINE_T_LIB_MEMKV_H

#include "store/store.h"

/** Maximum number of puts and deletes in a transaction, as in etcd. */
#define MEMKV_MAX_OPS 128

struct memkv;

struct memkv *memkv_new (void);
void memkv_free (struct memkv *k);

/** Reads one key; the result is valid until the next call. */
struct store_result memkv_get (struct memkv *k, struct str key);

/** Reads up to @p max keys in [key, end), or the single key if @p end is
    empty.  The results point into the store and are valid until the next
    write. */
size_t memkv_list (const struct memkv *k, struct str key, struct str end,
                   struct store_kv *out, size_t max);

/** Deletes all keys under a lease. */
void memkv_revoke (struct memkv *k, int64_t lease);

/** Applies a transaction at once. */
struct store_result memkv_txn (struct memkv *k, const struct store_txn *txn);

/** Holds a copy of @p txn until memkv_apply_delayed(), as if the request were
   delayed. Replaces a transaction held before. */
void memkv_delay_txn (struct memkv *k, const struct store_txn *txn);
struct store_result memkv_apply_delayed (struct memkv *k);

/** Number of keys that begin with @p prefix. */
size_t memkv_count (const struct memkv *k, struct str prefix);

#endif
