#include "store/store-int.h"

#include <stdlib.h>

static void
watch_unlink (struct store_watch *w)
{
  *w->prev = w->next;
  if (w->next != NULL)
    w->next->prev = w->prev;
}

void
store_watch_end (struct store_watch *w, enum store_status why)
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

  store_count (&w->s->counts, why);
  store_watch_end (w, why);
}

void
store_watch_send (struct store *s, struct store_call *c)
{
  static const struct store_watch_cb cb = { on_watch_events, on_watch_end };
  struct store_watch *w = c->watch;

  s->counts.watches++;
  w->waiting = NULL;
  w->inner = s->ops->watch (s->self, c->key, c->end, c->from, &cb, w);
  store_call_free (c);
}

struct store_watch *
store_watch (struct store *s, struct str key, struct str end, int64_t from,
             const struct store_watch_cb *cb, void *ctx)
{
  struct store_watch *w = xcalloc (1, sizeof *w);
  struct store_call *c = store_call_new (STORE_KIND_WATCH, NULL, NULL);

  w->s = s;
  w->cb = *cb;
  w->ctx = ctx;
  w->waiting = c;
  w->next = s->watches;
  w->prev = &s->watches;
  if (w->next != NULL)
    w->next->prev = &w->next;
  s->watches = w;
  store_call_keys (c, key, end);
  c->from = from;
  c->watch = w;
  store_submit (s, STORE_CONFIG, c);
  return w;
}

void
store_watch_stop (struct store_watch *w)
{
  struct store *s = w->s;

  if (w->waiting != NULL)
    {
      bud_remove (&s->budget, BUD_READS, STORE_CONFIG, &w->waiting->wait);
      store_call_free (w->waiting);
    }
  else
    s->ops->watch_stop (s->self, w->inner);
  watch_unlink (w);
  free (w);
}
