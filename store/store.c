#include "store/store-int.h"

#include <stdlib.h>

/* --- open calls -------------------------------------------------------- */

static void
open_add (struct store *s, struct store_call *c)
{
  c->next = s->open;
  c->prev = &s->open;
  if (c->next != NULL)
    c->next->prev = &c->next;
  s->open = c;
}

static void
open_remove (struct store_call *c)
{
  *c->prev = c->next;
  if (c->next != NULL)
    c->next->prev = c->prev;
}

void
store_count (struct store_counts *n, enum store_status status)
{
  switch (status)
    {
    case STORE_CONFLICT:
      n->conflicts++;
      break;
    case STORE_UNCERTAIN:
      n->uncertain++;
      break;
    case STORE_UNAVAILABLE:
      n->unavailable++;
      break;
    case STORE_OVER_BUDGET:
      n->over_budget++;
      break;
    case STORE_OK:
    case STORE_GONE:
      break;
    }
}

static void
on_result (void *ctx, const struct store_result *r)
{
  struct store_call *c = ctx;

  store_count (&c->s->counts, r->status);
  open_remove (c);
  if (c->cb != NULL)
    c->cb (c->ctx, r);
  store_call_free (c);
}

static void
dispatch (struct store *s, struct store_call *c)
{
  if (c->kind == STORE_KIND_WATCH)
    {
      store_watch_send (s, c);
      return;
    }
  open_add (s, c);
  switch (c->kind)
    {
    case STORE_KIND_RANGE:
      s->counts.ranges++;
      s->ops->range (s->self, c->key, c->end, on_result, c);
      break;
    case STORE_KIND_TXN:
      s->counts.txns++;
      s->ops->txn (s->self, &c->txn, on_result, c);
      break;
    case STORE_KIND_GRANT:
      s->counts.grants++;
      s->ops->lease_grant (s->self, c->ttl, on_result, c);
      break;
    case STORE_KIND_KEEP:
      s->counts.keeps++;
      s->ops->lease_keep (s->self, c->lease, on_result, c);
      break;
    case STORE_KIND_REVOKE:
      s->counts.revokes++;
      s->ops->lease_revoke (s->self, c->lease, on_result, c);
      break;
    case STORE_KIND_WATCH:
      break;
    }
}

/* --- waiting ----------------------------------------------------------- */

static void
expire (struct store *s, struct store_call *c)
{
  struct store_result r = { .status = STORE_OVER_BUDGET };

  if (c->kind == STORE_KIND_WATCH)
    {
      struct store_watch *w = c->watch;
      s->counts.over_budget++;
      w->waiting = NULL;
      store_call_free (c);
      store_watch_end (w, STORE_OVER_BUDGET);
      return;
    }
  open_add (s, c);
  on_result (c, &r);
}

static void on_timer (uv_timer_t *t);

static void
arm (struct store *s, clk_ms now)
{
  clk_ms wake = bud_next_wake (&s->budget, now);

  if (wake == CLK_NEVER)
    return;
  uv_update_time (s->timer.loop);
  uv_timer_start (&s->timer, on_timer, (uint64_t)wake, 0);
}

/*
 * Calls that have waited too long end before any is sent: after a pause of
 * this process a write from before it must not go out late.
 */
static void
on_timer (uv_timer_t *t)
{
  struct store *s = (struct store *)t;
  clk_ms now = clk_now ();
  struct bud_item *item = bud_take_expired (&s->budget, now);

  if (item != NULL)
    {
      uv_timer_start (t, on_timer, 0, 0);
      expire (s, (struct store_call *)item); /* may free the store */
      return;
    }
  while ((item = bud_take_next (&s->budget, now)) != NULL)
    dispatch (s, (struct store_call *)item);
  arm (s, now);
}

static enum bud_bucket
bucket_of (enum store_kind kind)
{
  return kind == STORE_KIND_RANGE || kind == STORE_KIND_WATCH ? BUD_READS
                                                              : BUD_WRITES;
}

void
store_submit (struct store *s, enum store_priority p, struct store_call *c)
{
  enum bud_bucket bucket = bucket_of (c->kind);
  clk_ms now = clk_now ();

  c->s = s;
  if (bud_admit (&s->budget, bucket, p, now))
    {
      dispatch (s, c);
      return;
    }
  bud_wait (&s->budget, bucket, p, &c->wait, now);
  arm (s, now);
}

/* --- the calls of store.h ---------------------------------------------- */

void
store_range (struct store *s, enum store_priority p, struct str key,
             struct str end, store_cb cb, void *ctx)
{
  struct store_call *c = store_call_new (STORE_KIND_RANGE, cb, ctx);

  store_call_keys (c, key, end);
  store_submit (s, p, c);
}

void
store_txn (struct store *s, enum store_priority p, const struct store_txn *txn,
           store_cb cb, void *ctx)
{
  struct store_call *c = store_call_new (STORE_KIND_TXN, cb, ctx);

  store_call_txn (c, txn);
  store_submit (s, p, c);
}

void
store_lease_grant (struct store *s, clk_ms ttl, store_cb cb, void *ctx)
{
  struct store_call *c = store_call_new (STORE_KIND_GRANT, cb, ctx);

  c->ttl = ttl;
  store_submit (s, STORE_OWNERSHIP, c);
}

void
store_lease_keep (struct store *s, int64_t lease, store_cb cb, void *ctx)
{
  struct store_call *c = store_call_new (STORE_KIND_KEEP, cb, ctx);

  c->lease = lease;
  store_submit (s, STORE_OWNERSHIP, c);
}

int64_t
store_era (const struct store *s)
{
  return s->ops->era ? s->ops->era (s->self) : 0;
}

void
store_learn_era (struct store *s, int64_t era, const char *from)
{
  if (s->ops->learn_era && era > store_era (s))
    s->ops->learn_era (s->self, era, from);
}

void
store_lease_revoke (struct store *s, int64_t lease, store_cb cb, void *ctx)
{
  struct store_call *c = store_call_new (STORE_KIND_REVOKE, cb, ctx);

  c->lease = lease;
  store_submit (s, STORE_OWNERSHIP, c);
}

/* --- the store --------------------------------------------------------- */

struct store *
store_new (uv_loop_t *loop, const struct store_ops *ops, void *self,
           const struct store_budget *budget)
{
  struct store *s = xcalloc (1, sizeof *s);

  uv_timer_init (loop, &s->timer);
  s->ops = ops;
  s->self = self;
  bud_init (&s->budget, budget, clk_now ());
  return s;
}

/* Call @p fn for each waiting call; it may free it. */
static void
each_waiting (struct store *s, void (*fn) (struct store_call *c, void *arg),
              void *arg)
{
  struct bud_item *next;

  for (int i = 0; i < BUD_BUCKETS; i++)
    for (int p = 0; p < STORE_PRIORITIES; p++)
      for (struct bud_item *w = s->budget.waiting[i][p].head; w != NULL;
           w = next)
        {
          next = w->next;
          fn ((struct store_call *)w, arg);
        }
}

static void
free_waiting (struct store_call *c, void *arg)
{
  store_call_free (c);
}

static void
free_open (struct store *s)
{
  struct store_call *next;

  for (struct store_call *c = s->open; c != NULL; c = next)
    {
      next = c->next;
      store_call_free (c);
    }
}

static void
on_timer_closed (uv_handle_t *h)
{
  free (h);
}

void
store_free (struct store *s)
{
  struct store_watch *next;

  for (struct store_watch *w = s->watches; w != NULL; w = next)
    {
      next = w->next;
      store_watch_stop (w);
    }
  s->ops->free (s->self);
  free_open (s);
  each_waiting (s, free_waiting, NULL);
  uv_close ((uv_handle_t *)&s->timer, on_timer_closed);
}

const struct store_counts *
store_counts (const struct store *s)
{
  return &s->counts;
}

void
store_prefix_end (struct str prefix, struct buf *out)
{
  size_t len = prefix.len;

  while (len > 0 && (unsigned char)prefix.ptr[len - 1] == 0xff)
    len--;
  buf_clear (out);
  if (len == 0)
    {
      /* All keys from the prefix on: a single zero byte says so. */
      buf_add_char (out, '\0');
      return;
    }
  buf_add (out, str_head (prefix, len));
  out->ptr[len - 1]++;
}

static void
forget_call (struct store_call *c, void *ctx)
{
  if (c->ctx == ctx)
    c->cb = NULL;
}

void
store_forget (struct store *s, void *ctx)
{
  struct store_watch *next;

  for (struct store_call *c = s->open; c != NULL; c = c->next)
    forget_call (c, ctx);
  each_waiting (s, forget_call, ctx);
  for (struct store_watch *w = s->watches; w != NULL; w = next)
    {
      next = w->next;
      if (w->ctx == ctx)
        store_watch_stop (w);
    }
}
