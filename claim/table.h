/**
 * @file
 * Claims in memory: records by (key, attempt), found by key, that expire in
 * the order in which they were learned; kept answers with a bound on bytes.
 *
 * Merging is independent of order: a released attempt stays released,
 * whatever is learned about it later.
 */
#ifndef LAPISLINE_CLAIM_TABLE_H
#define LAPISLINE_CLAIM_TABLE_H

#include "claim/claim.h"

/** What the store is known to hold about an attempt. */
enum tbl_state
{
  TBL_NONE,    /**< nothing yet; only `pending` counts */
  TBL_TAKEN,   /**< may have been sent */
  TBL_RELEASED /**< surely not run, and never will be */
};

/** What is on its way to the store. */
enum tbl_pending
{
  TBL_PEND_NONE,
  TBL_PEND_TAKE,
  TBL_PEND_RELEASE
};

struct tbl_rec
{
  uint8_t key[16];
  uint8_t attempt[16];
  uint8_t fingerprint[16];
  enum tbl_state state;
  enum tbl_pending pending;
  bool ended;     /**< its asker reported the end */
  int status;     /**< of the kept answer */
  clk_ms since;   /**< learned: written or read */
  clk_ms written; /**< not earlier than this; long ago when it was read */
  clk_ms expires;
  char *answer; /**< NULL: none kept */
  size_t answer_len;
  struct tbl_rec *chain;         /**< same bucket */
  struct tbl_rec *prev, *next;   /**< order of expiry */
  struct tbl_rec *kprev, *knext; /**< order of kept answers */
};

struct tbl
{
  struct tbl_rec **buckets;
  size_t nbuckets;
  size_t n;
  size_t kept; /**< bytes of answers */
  size_t kept_limit;
  struct tbl_rec *first, *last;
  struct tbl_rec *kfirst, *klast;
};

void tbl_init (struct tbl *t, size_t kept_limit);
void tbl_free (struct tbl *t);

/** The record of an attempt, or NULL. */
struct tbl_rec *tbl_find (const struct tbl *t, const uint8_t key[16],
                          const uint8_t attempt[16]);

/** An attempt other than @p attempt that holds the key, or NULL.  One that is
    known to have ended with a kept answer is preferred. */
struct tbl_rec *tbl_holder (const struct tbl *t, const uint8_t key[16],
                            const uint8_t attempt[16]);

/** Whether another attempt is on its way to take the key. */
bool tbl_pending_other (const struct tbl *t, const uint8_t key[16],
                        const uint8_t attempt[16]);

struct tbl_rec *tbl_add (struct tbl *t, const uint8_t key[16],
                         const uint8_t attempt[16],
                         const uint8_t fingerprint[16], clk_ms since,
                         clk_ms expires);

/** Learned anew: moves to the end of the order of expiry. */
void tbl_touch (struct tbl *t, struct tbl_rec *r, clk_ms since,
                clk_ms expires);
void tbl_remove (struct tbl *t, struct tbl_rec *r);

/** Remove what has expired and is not pending. */
void tbl_expire (struct tbl *t, clk_ms now);

/** Keep an answer (copied); the oldest go first when bytes run out. */
void tbl_keep (struct tbl *t, struct tbl_rec *r, int status,
               struct str answer);

#endif
