#include "store/budget.h"

#include <stdlib.h>
#include <string.h>
#include <uv.h>

enum kind
{
  KIND_RANGE,
  KIND_TXN,
  KIND_GRANT,
  KIND_KEEP,
  KIND_REVOKE,
  KIND_WATCH
};

/** One call, first waiting for the budget and then open at the adapter. */
struct store_call
{
  struct bud_item wait; /* first */
  struct store *s;
  struct store_call *next; /* of the open ones */
  struct store_call **prev;
  enum kind kind;
  store_cb cb; /* NULL once forgotten */
  void *ctx;
  char *copy; /* bytes that the arguments point into */
  struct str key, end;
  struct store_txn txn;
  clk_ms ttl;
  int64_t lease;
  int64_t from;
  struct store_watch *watch;
};

struct store_watch
{
  struct store *s;
  struct store_watch *next;
  struct store_watch **prev;
  struct store_watch_cb cb;
  void *ctx;
  struct store_call *waiting; /* until the budget lets it go out */
  void *inner;                /* the adapter's */
};

struct store
{
  uv_timer_t timer; /* first; runs while calls wait */
  const struct store_ops *ops;
  void *self;
  struct bud budget;
  struct store_call *open;
  struct store_watch *watches;
  struct store_counts counts;
};

/* --- calls ------------------------------------------------------------- */

static void
call_free (struct store_call *c)
{
  free ((void *)c->txn.compares);
  free ((void *)c->txn.puts);
  free ((void *)c->txn.deletes);
  free (c->copy);
  free (c);
}

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

static void
count_status (struct store_counts *n, enum store_status status)
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

  count_status (&c->s->counts, r->status);
  open_remove (c);
  if (c->cb != NULL)
    c->cb (c->ctx, r);
  call_free (c);
}

static void watch_send (struct store *s, struct store_call *c);

static void
dispatch (struct store *s, struct store_call *c)
{
  if (c->kind == KIND_WATCH)
    {
      watch_send (s, c);
      return;
    }
  open_add (s, c);
  switch (c->kind)
    {
    case KIND_RANGE:
      s->counts.ranges++;
      s->ops->range (s->self, c->key, c->end, on_result, c);
      break;
    case KIND_TXN:
      s->counts.txns++;
      s->ops->txn (s->self, &c->txn, on_result, c);
      break;
    case KIND_GRANT:
      s->counts.grants++;
      s->ops->lease_grant (s->self, c->ttl, on_result, c);
      break;
    case KIND_KEEP:
      s->counts.keeps++;
      s->ops->lease_keep (s->self, c->lease, on_result, c);
      break;
    case KIND_REVOKE:
      s->counts.revokes++;
      s->ops->lease_revoke (s->self, c->lease, on_result, c);
      break;
    case KIND_WATCH:
      break;
    }
}

/* --- waiting ----------------------------------------------------------- */

static void watch_end (struct store_watch *w, enum store_status why);

static void
expire (struct store *s, struct store_call *c)
{
  struct store_result r = { .status = STORE_OVER_BUDGET };

  if (c->kind == KIND_WATCH)
    {
      struct store_watch *w = c->watch;
      s->counts.over_budget++;
      w->waiting = NULL;
      call_free (c);
      watch_end (w, STORE_OVER_BUDGET);
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
bucket_of (enum kind kind)
{
  return kind == KIND_RANGE || kind == KIND_WATCH ? BUD_READS : BUD_WRITES;
}

/* Send at once when the budget allows, else wait. */
static void
submit (struct store *s, enum store_priority p, struct store_call *c)
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

static struct store_call *
call_new (enum kind kind, store_cb cb, void *ctx)
{
  struct store_call *c = xcalloc (1, sizeof *c);

  c->kind = kind;
  c->cb = cb;
  c->ctx = ctx;
  return c;
}

/* Move @p s into the copy at @p to; returns where the next goes. */
static char *
copy_str (char *to, struct str *s)
{
  if (s->len > 0)
    memcpy (to, s->ptr, s->len);
  s->ptr = to;
  return to + s->len;
}

static void
copy_keys (struct store_call *c, struct str key, struct str end)
{
  c->copy = xmalloc (key.len + end.len + 1);
  c->key = key;
  c->end = end;
  copy_str (copy_str (c->copy, &c->key), &c->end);
}

static size_t
txn_bytes (const struct store_txn *t)
{
  size_t n = 0;

  for (size_t i = 0; i < t->ncompares; i++)
    n += t->compares[i].key.len;
  for (size_t i = 0; i < t->nputs; i++)
    n += t->puts[i].key.len + t->puts[i].value.len;
  for (size_t i = 0; i < t->ndeletes; i++)
    n += t->deletes[i].len;
  return n;
}

static void *
copy_array (const void *from, size_t n, size_t size)
{
  void *to = xcalloc (n + 1, size);

  if (n > 0)
    memcpy (to, from, n * size);
  return to;
}

static void
copy_txn (struct store_call *c, const struct store_txn *t)
{
  struct store_compare *compares
      = copy_array (t->compares, t->ncompares, sizeof *compares);
  struct store_put *puts = copy_array (t->puts, t->nputs, sizeof *puts);
  struct str *deletes = copy_array (t->deletes, t->ndeletes, sizeof *deletes);
  char *to = c->copy = xmalloc (txn_bytes (t) + 1);

  for (size_t i = 0; i < t->ncompares; i++)
    to = copy_str (to, &compares[i].key);
  for (size_t i = 0; i < t->nputs; i++)
    to = copy_str (copy_str (to, &puts[i].key), &puts[i].value);
  for (size_t i = 0; i < t->ndeletes; i++)
    to = copy_str (to, &deletes[i]);
  c->txn = *t;
  c->txn.compares = compares;
  c->txn.puts = puts;
  c->txn.deletes = deletes;
}

void
store_range (struct store *s, enum store_priority p, struct str key,
             struct str end, store_cb cb, void *ctx)
{
  struct store_call *c = call_new (KIND_RANGE, cb, ctx);

  copy_keys (c, key, end);
  submit (s, p, c);
}

void
store_txn (struct store *s, enum store_priority p, const struct store_txn *txn,
           store_cb cb, void *ctx)
{
  struct store_call *c = call_new (KIND_TXN, cb, ctx);

  copy_txn (c, txn);
  submit (s, p, c);
}

void
store_lease_grant (struct store *s, clk_ms ttl, store_cb cb, void *ctx)
{
  struct store_call *c = call_new (KIND_GRANT, cb, ctx);

  c->ttl = ttl;
  submit (s, STORE_OWNERSHIP, c);
}

void
store_lease_keep (struct store *s, int64_t lease, store_cb cb, void *ctx)
{
  struct store_call *c = call_new (KIND_KEEP, cb, ctx);

  c->lease = lease;
  submit (s, STORE_OWNERSHIP, c);
}

void
store_lease_revoke (struct store *s, int64_t lease, store_cb cb, void *ctx)
{
  struct store_call *c = call_new (KIND_REVOKE, cb, ctx);

  c->lease = lease;
  submit (s, STORE_OWNERSHIP, c);
}

/* --- watches ----------------------------------------------------------- */

static void
watch_unlink (struct store_watch *w)
{
  *w->prev = w->next;
  if (w->next != NULL)
    w->next->prev = w->prev;
}

static void
watch_end (struct store_watch *w, enum store_status why)
{
  struct store_watch_cb cb = w->cb;
  void *ctx = w->ctx;

  watch_unlink (w);
  free (w);
  cb.on_end (ctx, why);
}

static void
on_watch_events (void *ctx, int64_t revision,
                 const struct store_watch_event *ev, size_t n)
{
  struct store_watch *w = ctx;

  w->cb.on_events (w->ctx, revision, ev, n);
}

static void
on_watch_end (void *ctx, enum store_status why)
{
  struct store_watch *w = ctx;

  count_status (&w->s->counts, why);
  watch_end (w, why);
}

static void
watch_send (struct store *s, struct store_call *c)
{
  static const struct store_watch_cb cb = { on_watch_events, on_watch_end };
  struct store_watch *w = c->watch;

  s->counts.watches++;
  w->waiting = NULL;
  w->inner = s->ops->watch (s->self, c->key, c->end, c->from, &cb, w);
  call_free (c);
}

struct store_watch *
store_watch (struct store *s, struct str key, struct str end, int64_t from,
             const struct store_watch_cb *cb, void *ctx)
{
  struct store_watch *w = xcalloc (1, sizeof *w);
  struct store_call *c = call_new (KIND_WATCH, NULL, NULL);

  w->s = s;
  w->cb = *cb;
  w->ctx = ctx;
  w->waiting = c;
  w->next = s->watches;
  w->prev = &s->watches;
  if (w->next != NULL)
    w->next->prev = &w->next;
  s->watches = w;
  copy_keys (c, key, end);
  c->from = from;
  c->watch = w;
  submit (s, STORE_CONFIG, c);
  return w;
}

void
store_watch_stop (struct store_watch *w)
{
  struct store *s = w->s;

  if (w->waiting != NULL)
    {
      bud_remove (&s->budget, BUD_READS, STORE_CONFIG, &w->waiting->wait);
      call_free (w->waiting);
    }
  else
    s->ops->watch_stop (s->self, w->inner);
  watch_unlink (w);
  free (w);
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
  call_free (c);
}

static void
free_open (struct store *s)
{
  struct store_call *next;

  for (struct store_call *c = s->open; c != NULL; c = next)
    {
      next = c->next;
      call_free (c);
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
