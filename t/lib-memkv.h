/**
 * @file
 * A store in memory for scripted tests of decision cores: compare-and-swap
 * by mod_revision, and a transaction that can be held and delivered late.
 */
#ifndef LAPISLINE_T_LIB_MEMKV_H
#define LAPISLINE_T_LIB_MEMKV_H

#include "store/store.h"

/** Puts and deletes in a transaction; more are refused, as by etcd. */
#define MEMKV_MAX_OPS 128

struct memkv;

struct memkv *memkv_new (void);
void memkv_free (struct memkv *k);

/** Read one key; the answer is valid until the next call. */
struct store_result memkv_range (struct memkv *k, struct str key);

/** Read the keys in [key, end), or the one key if @p end is empty; views
    into the store, valid until the next write. */
size_t memkv_list (const struct memkv *k, struct str key, struct str end,
                   struct store_kv *out, size_t max);

/** Delete what hangs on a lease. */
void memkv_revoke (struct memkv *k, int64_t lease);

/** Apply at once. */
struct store_result memkv_txn (struct memkv *k, const struct store_txn *txn);

/** Keep a copy of @p txn on its way; memkv_deliver() applies it. */
void memkv_hold (struct memkv *k, const struct store_txn *txn);
struct store_result memkv_deliver (struct memkv *k);

/** Number of keys that begin with @p prefix. */
size_t memkv_count (const struct memkv *k, struct str prefix);

#endif
