/**
 * @file
 * Claims in memory: records by (key, attempt), indexed by key, which expire in
 * the order in which they were written or read; stored responses with a limit
 * in bytes.
 *
 * The order in which records are merged does not matter: a released attempt
 * stays released, even if its acquisition is read later.
 */
#ifndef LAPISLINE_CLAIM_TABLE_H
#define LAPISLINE_CLAIM_TABLE_H

#include "claim/claim.h"

/** State of an attempt in the store, as far as read or written. */
enum tbl_state
{
  TBL_NONE,     /**< no record yet; only `pending` applies */
  TBL_ACQUIRED, /**< the call may have been sent */
  TBL_RELEASED  /**< certainly not executed and never will be */
};

/** Pending write of an attempt. */
enum tbl_pending
{
  TBL_PEND_NONE,
  TBL_PEND_ACQUIRE,
  TBL_PEND_RELEASE
};

struct tbl_rec
{
  uint8_t key[16];
  uint8_t attempt[16];
  uint8_t fingerprint[16];
  enum tbl_state state;
  enum tbl_pending pending;
  bool finished; /**< the requester reported the outcome */
  int response_status;
  clk_ms recorded_at; /**< when the record was written or read */
  clk_ms written_at;  /**< when the batch with this record was formed; far in
                         the past if it was written by
                         another process */
  clk_ms expires;
  char *response; /**< NULL: none stored */
  size_t response_len;
  struct tbl_rec *chain;       /**< same bucket */
  struct tbl_rec *prev, *next; /**< expiry list */
  struct tbl_rec *response_prev, *response_next;
};

struct tbl
{
  struct tbl_rec **buckets;
  size_t nbuckets;
  size_t n;
  size_t response_bytes;
  size_t response_limit;
  struct tbl_rec *first, *last;
  struct tbl_rec *response_first, *response_last;
};

void tbl_init (struct tbl *t, size_t response_limit);
void tbl_free (struct tbl *t);

struct tbl_rec *tbl_find (const struct tbl *t, const uint8_t key[16],
                          const uint8_t attempt[16]);

/** An attempt other than @p attempt that holds the key, or NULL.  One with a
    stored response is preferred. */
struct tbl_rec *tbl_holder (const struct tbl *t, const uint8_t key[16],
                            const uint8_t attempt[16]);

/** Whether a write of another attempt on the key is pending. */
bool tbl_pending_other (const struct tbl *t, const uint8_t key[16],
                        const uint8_t attempt[16]);

struct tbl_rec *tbl_add (struct tbl *t, const uint8_t key[16],
                         const uint8_t attempt[16],
                         const uint8_t fingerprint[16], clk_ms recorded_at,
                         clk_ms expires);

/** Refresh a record that was written or read again, and its expiry. */
void tbl_refresh (struct tbl *t, struct tbl_rec *r, clk_ms recorded_at,
                  clk_ms expires);
void tbl_remove (struct tbl *t, struct tbl_rec *r);

/** Remove expired records that have no pending write. */
void tbl_expire (struct tbl *t, clk_ms now);

/** Store a copy of a response; the oldest are evicted at the byte limit. */
void tbl_store_response (struct tbl *t, struct tbl_rec *r, int status,
                         struct str response);

#endif
