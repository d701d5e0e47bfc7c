/**
 * @file
 * Keys and values of claims in the store.
 *
 * Keys of shard SS under the prefix:
 *   claim/SS/b/BASE-BOOT-SEQ  a batch of records
 *   claim/SS/head             the writer of the last batch
 * BASE is the head's mod_revision that the batch was compared with, so a range
 * that starts at a head revision contains exactly the batches after it
 * ("head" sorts after "b/", so the same range includes the head).
 *
 * The BASE of each batch is the mod_revision of the batch before it.  A reader
 * follows this chain to detect missing batches.
 */
#ifndef LAPISLINE_CLAIM_BATCH_H
#define LAPISLINE_CLAIM_BATCH_H

#include "claim/claim.h"

/** Maximum number of records in a batch.  A full batch has a tenth of the size
    that the store allows for a value. */
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

/** Range of the batches compared with @p base or later, and of the head. */
void bat_range (struct buf *key, struct buf *end, struct str prefix,
                unsigned shard, int64_t base);

/** Returns false if the key is not a batch, for example the head. */
bool bat_parse_key (struct str key, struct bat_name *out);

/** Start a value; records are appended to it. */
void bat_begin (struct buf *out);
void bat_add (struct buf *out, const struct bat_record *r);

/**
 * Count the records.
 * @retval false  unknown format version: the claims in the value are unknown
 */
bool bat_count (struct str value, size_t *n);
void bat_get (struct str value, size_t i, struct bat_record *out);

#endif
