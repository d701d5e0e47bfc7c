/**
 * @file
 * Budget of calls to the store: a token bucket each for writes and reads,
 * before which calls wait by priority, then in the order of their coming.
 */
#ifndef LAPISLINE_STORE_BUDGET_H
#define LAPISLINE_STORE_BUDGET_H

#include "store/store.h"

enum bud_bucket
{
  BUD_WRITES,
  BUD_READS,
  BUD_BUCKETS
};

/** A waiting call; embedded in the caller's own. */
struct bud_item
{
  struct bud_item *next;
  struct bud_item **prev;
  clk_ms deadline; /**< of waiting */
};

/** Tokens come at a steady rate; as many as a second brings may be saved. */
struct bud_tokens
{
  double rate; /**< a second */
  double n;
  clk_ms at; /**< when n was brought up to date */
};

struct bud_queue
{
  struct bud_item *head;
  struct bud_item **tail;
};

struct bud
{
  struct bud_tokens tokens[BUD_BUCKETS];
  struct bud_queue waiting[BUD_BUCKETS][STORE_PRIORITIES];
};

void bud_init (struct bud *b, const struct store_budget *rates, clk_ms now);

/**
 * Take a token for a call that comes now.
 * @retval false  it has to wait: none is left, or others wait before it
 */
bool bud_admit (struct bud *b, enum bud_bucket bucket, enum store_priority p,
                clk_ms now);

/** Let a call wait; it may stay for STORE_WAIT_MS. */
void bud_wait (struct bud *b, enum bud_bucket bucket, enum store_priority p,
               struct bud_item *item, clk_ms now);

/** Take a waiting call out of its queue. */
void bud_remove (struct bud *b, enum bud_bucket bucket, enum store_priority p,
                 struct bud_item *item);

/** Next call that has waited too long, taken out; NULL when there is none. */
struct bud_item *bud_take_expired (struct bud *b, clk_ms now);

/** Next call that may go, taken out with its token; NULL: none. */
struct bud_item *bud_take_next (struct bud *b, clk_ms now);

/** Milliseconds until one of the two above has something; CLK_NEVER: none
    waits. */
clk_ms bud_next_wake (const struct bud *b, clk_ms now);

#endif
