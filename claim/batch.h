/**
 * @file
 * Names and values of claims in the store.
 *
 * Keys of shard SS under the prefix:
 *   claim/SS/b/BASE-BOOT-SEQ  one batch of records
 *   claim/SS/head             who wrote the last batch
 * BASE is the head's mod_revision that the batch was compared with, so a
 * range that begins at a known head revision holds just what came after it
 * ("head" sorts behind "b/", so the same range shows the head).
 *
 * Every batch's BASE is the mod_revision of the batch before it; a reader
 * sees by this chain whether something is missing.
 */
#ifndef LAPISLINE_CLAIM_BATCH_H
#define LAPISLINE_CLAIM_BATCH_H

#include "claim/claim.h"

/** Most records of one batch: a tenth of the store's largest value. */
#define BAT_MAX_RECORDS ((size_t)2048)

/** A change of one claim. */
struct bat_record
{
  enum clm_kind kind; /**< CLM_ACQUIRE or CLM_RELEASE */
  uint8_t key[16];
  uint8_t attempt[16];
  uint8_t fingerprint[16];
};

/** Name of a batch without prefix and shard. */
struct bat_name
{
  int64_t base;
  uint64_t boot;
  uint64_t seq;
};

void bat_head_key (struct buf *out, struct str prefix, unsigned shard);
void bat_key (struct buf *out, struct str prefix, unsigned shard,
              const struct bat_name *name);

/** Where the range of batches compared with @p base or later begins. */
void bat_range (struct buf *key, struct buf *end, struct str prefix,
                unsigned shard, int64_t base);

/** False for a key that is no batch (the head). */
bool bat_parse_key (struct str key, struct bat_name *out);

/** Begin a value, then append records. */
void bat_begin (struct buf *out);
void bat_add (struct buf *out, const struct bat_record *r);

/**
 * Number of records.
 * @retval false  not a value of this version: the claims in it are unknown
 */
bool bat_count (struct str value, size_t *n);
void bat_get (struct str value, size_t i, struct bat_record *out);

#endif
