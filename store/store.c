#include "store/store.h"

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

enum bucket_name
{
  BUCKET_WRITES,
  BUCKET_READS,
  BUCKETS
};

/** Tokens come at a steady rate; as many as a second brings may be saved. */
struct bucket
{
  double rate; /* a second */
  double tokens;
  clk_ms at; /* when tokens was brought up to date */
};

/** One call, first waiting for the budget and then open at the adapter. */
struct store_call
{
  struct store *s;
  struct store_call *next;
  struct store_call **prev;
  enum kind kind;
  clk_ms deadline; /* of waiting */
  store_cb cb;     /* NULL once forgotten */
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

struct queue
{
  struct store_call *head;
  struct store_call **tail;
};

struct store
{
  uv_timer_t timer; /* first; runs while calls wait */
  const struct store_ops *ops;
  void *self;
  struct bucket buckets[BUCKETS];
  struct queue waiting[BUCKETS][STORE_PRIORITIES];
  struct store_call *open;
  struct store_watch *watches;
  struct store_counts counts;
};

/* --- the budget -------------------------------------------------------- */

static void
bucket_refill (struct bucket *b, clk_ms now)
{
  b->tokens += b->rate * (double)(now - b->at) / CLK_SECOND;
  if (b->tokens > b->rate)
    b->tokens = b->rate;
  b->at = now;
}

static bool
bucket_take (struct bucket *b, clk_ms now)
{
  bucket_refill (b, now);
  if (b->tokens < 1)
    return false;
  b->tokens -= 1;
  return true;
}

/* Milliseconds until the next token; at least one, so timers move on. */
static clk_ms
bucket_wait (const struct bucket *b)
{
  double ms = (1 - b->tokens) * CLK_SECOND / b->rate;

  if (b->rate <= 0 || ms > STORE_WAIT_MS)
    return STORE_WAIT_MS;
  return ms < 1 ? 1 : (clk_ms)ms + 1;
}

static enum bucket_name
bucket_of (enum kind kind)
{
  return kind == KIND_RANGE || kind == KIND_WATCH ? BUCKET_READS
                                                  : BUCKET_WRITES;
}

static void
queue_add (struct queue *q, struct store_call *c)
{
  c->next = NULL;
  c->prev = q->tail;
  *q->tail = c;
  q->tail = &c->next;
}

static void
queue_remove (struct queue *q, struct store_call *c)
{
  *c->prev = c->next;
  if (c->next != NULL)
    c->next->prev = c->prev;
  else
    q->tail = c->prev;
}

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

/* Next call that has waited too long, taken out of its queue. */
static struct store_call *
take_expired (struct store *s, clk_ms now)
{
  for (int b = 0; b < BUCKETS; b++)
    for (int p = 0; p < STORE_PRIORITIES; p++)
      {
        struct queue *q = &s->waiting[b][p];
        struct store_call *c = q->head;
        if (c == NULL || c->deadline > now)
          continue;
        queue_remove (q, c);
        return c;
      }
  return NULL;
}

/* Next call of one bucket: by priority, then in order of their coming. */
static struct store_call *
take_next (struct store *s, int b, clk_ms now)
{
  for (int p = 0; p < STORE_PRIORITIES; p++)
    {
      struct queue *q = &s->waiting[b][p];
      struct store_call *c = q->head;
      if (c == NULL)
        continue;
      if (!bucket_take (&s->buckets[b], now))
        return NULL;
      queue_remove (q, c);
      return c;
    }
  return NULL;
}

static void on_timer (uv_timer_t *t);

/* Wake for the next token or the next call that has waited too long. */
static void
arm (struct store *s, clk_ms now)
{
  clk_ms wait = CLK_NEVER;

  for (int b = 0; b < BUCKETS; b++)
    for (int p = 0; p < STORE_PRIORITIES; p++)
      {
        const struct store_call *c = s->waiting[b][p].head;
        if (c == NULL)
          continue;
        clk_ms token = bucket_wait (&s->buckets[b]);
        clk_ms left = c->deadline > now ? c->deadline - now : 0;
        wait = token < wait ? token : wait;
        wait = left < wait ? left : wait;
      }
  if (wait == CLK_NEVER)
    return;
  uv_update_time (s->timer.loop);
  uv_timer_start (&s->timer, on_timer, (uint64_t)wait, 0);
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
  struct store_call *c = take_expired (s, now);

  if (c != NULL)
    {
      uv_timer_start (t, on_timer, 0, 0);
      expire (s, c); /* its callback may free the store */
      return;
    }
  for (int b = 0; b < BUCKETS; b++)
    while ((c = take_next (s, b, now)) != NULL)
      dispatch (s, c);
  arm (s, now);
}

static bool
others_wait (const struct store *s, enum bucket_name b,
             enum store_priority upto)
{
  for (int p = 0; p <= (int)upto; p++)
    if (s->waiting[b][p].head != NULL)
      return true;
  return false;
}

/* Send at once when the budget allows, else wait. */
static void
submit (struct store *s, enum store_priority p, struct store_call *c)
{
  enum bucket_name b = bucket_of (c->kind);
  clk_ms now = clk_now ();

  c->s = s;
  c->deadline = now + STORE_WAIT_MS;
  if (!others_wait (s, b, p) && bucket_take (&s->buckets[b], now))
    {
      dispatch (s, c);
      return;
    }
  queue_add (&s->waiting[b][p], c);
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
      queue_remove (&s->waiting[BUCKET_READS][STORE_CONFIG], w->waiting);
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
  clk_ms now = clk_now ();

  uv_timer_init (loop, &s->timer);
  s->ops = ops;
  s->self = self;
  s->buckets[BUCKET_WRITES]
      = (struct bucket){ budget->writes, budget->writes, now };
  s->buckets[BUCKET_READS]
      = (struct bucket){ budget->reads, budget->reads, now };
  for (int b = 0; b < BUCKETS; b++)
    for (int p = 0; p < STORE_PRIORITIES; p++)
      s->waiting[b][p].tail = &s->waiting[b][p].head;
  return s;
}

static void
free_calls (struct store_call *c)
{
  struct store_call *next;

  for (; c != NULL; c = next)
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
  while (s->watches != NULL)
    store_watch_stop (s->watches);
  s->ops->free (s->self);
  free_calls (s->open);
  for (int b = 0; b < BUCKETS; b++)
    for (int p = 0; p < STORE_PRIORITIES; p++)
      free_calls (s->waiting[b][p].head);
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
forget_calls (struct store_call *c, const void *ctx)
{
  for (; c != NULL; c = c->next)
    if (c->ctx == ctx)
      c->cb = NULL;
}

void
store_forget (struct store *s, void *ctx)
{
  struct store_watch *next;

  forget_calls (s->open, ctx);
  for (int b = 0; b < BUCKETS; b++)
    for (int p = 0; p < STORE_PRIORITIES; p++)
      forget_calls (s->waiting[b][p].head, ctx);
  for (struct store_watch *w = s->watches; w != NULL; w = next)
    {
      next = w->next;
      if (w->ctx == ctx)
        store_watch_stop (w);
    }
}
