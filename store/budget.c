#include "store/budget.h"

static void
refill (struct bud_tokens *t, clk_ms now)
{
  t->n += t->rate * (double)(now - t->at) / CLK_SECOND;
  if (t->n > t->rate)
    t->n = t->rate;
  t->at = now;
}

static bool
take_token (struct bud_tokens *t, clk_ms now)
{
  refill (t, now);
  if (t->n < 1)
    return false;
  t->n -= 1;
  return true;
}

/* Milliseconds until the next token; at least one, so timers move on. */
static clk_ms
token_wait (const struct bud_tokens *t)
{
  double ms = (1 - t->n) * CLK_SECOND / t->rate;

  if (t->rate <= 0 || ms > STORE_WAIT_MS)
    return STORE_WAIT_MS;
  return ms < 1 ? 1 : (clk_ms)ms + 1;
}

static void
queue_remove (struct bud_queue *q, struct bud_item *item)
{
  *item->prev = item->next;
  if (item->next != NULL)
    item->next->prev = item->prev;
  else
    q->tail = item->prev;
}

void
bud_init (struct bud *b, const struct store_budget *rates, clk_ms now)
{
  b->tokens[BUD_WRITES]
      = (struct bud_tokens){ rates->writes, rates->writes, now };
  b->tokens[BUD_READS]
      = (struct bud_tokens){ rates->reads, rates->reads, now };
  for (int i = 0; i < BUD_BUCKETS; i++)
    for (int p = 0; p < STORE_PRIORITIES; p++)
      {
        b->waiting[i][p].head = NULL;
        b->waiting[i][p].tail = &b->waiting[i][p].head;
      }
}

bool
bud_admit (struct bud *b, enum bud_bucket bucket, enum store_priority p,
           clk_ms now)
{
  for (int i = 0; i <= (int)p; i++)
    if (b->waiting[bucket][i].head != NULL)
      return false;
  return take_token (&b->tokens[bucket], now);
}

void
bud_wait (struct bud *b, enum bud_bucket bucket, enum store_priority p,
          struct bud_item *item, clk_ms now)
{
  struct bud_queue *q = &b->waiting[bucket][p];

  item->deadline = now + STORE_WAIT_MS;
  item->next = NULL;
  item->prev = q->tail;
  *q->tail = item;
  q->tail = &item->next;
}

void
bud_remove (struct bud *b, enum bud_bucket bucket, enum store_priority p,
            struct bud_item *item)
{
  queue_remove (&b->waiting[bucket][p], item);
}

struct bud_item *
bud_take_expired (struct bud *b, clk_ms now)
{
  for (int i = 0; i < BUD_BUCKETS; i++)
    for (int p = 0; p < STORE_PRIORITIES; p++)
      {
        struct bud_queue *q = &b->waiting[i][p];
        struct bud_item *item = q->head;
        if (item == NULL || item->deadline > now)
          continue;
        queue_remove (q, item);
        return item;
      }
  return NULL;
}

static struct bud_item *
take_next_of (struct bud *b, enum bud_bucket bucket, clk_ms now)
{
  for (int p = 0; p < STORE_PRIORITIES; p++)
    {
      struct bud_queue *q = &b->waiting[bucket][p];
      struct bud_item *item = q->head;
      if (item == NULL)
        continue;
      if (!take_token (&b->tokens[bucket], now))
        return NULL;
      queue_remove (q, item);
      return item;
    }
  return NULL;
}

struct bud_item *
bud_take_next (struct bud *b, clk_ms now)
{
  struct bud_item *item = take_next_of (b, BUD_WRITES, now);

  return item != NULL ? item : take_next_of (b, BUD_READS, now);
}

clk_ms
bud_next_wake (const struct bud *b, clk_ms now)
{
  clk_ms wake = CLK_NEVER;

  for (int i = 0; i < BUD_BUCKETS; i++)
    for (int p = 0; p < STORE_PRIORITIES; p++)
      {
        const struct bud_item *item = b->waiting[i][p].head;
        if (item == NULL)
          continue;
        clk_ms token = token_wait (&b->tokens[i]);
        clk_ms left = item->deadline > now ? item->deadline - now : 0;
        wake = token < wake ? token : wake;
        wake = left < wake ? left : wake;
      }
  return wake;
}
