#include "store/etcd-int.h"

#include <stdlib.h>

#include "store/etcd-json.h"

struct etcd_watch
{
  struct etcd *e;
  struct etcd_watch *next;
  struct etcd_watch **prev;
  struct httpc_call *http;
  struct store_watch_cb cb;
  void *ctx;
  struct buf body;
  json_tokener *parser;
  size_t pending; /* bytes of an object that is not whole yet */
  size_t endpoint;
  size_t tried;
  enum store_status why; /* what its last message ends it with */
  bool busy;             /* within a callback of the watch's owner */
  bool stopped;
};

static void
watch_unlink (struct etcd_watch *w)
{
  if (w->prev == NULL)
    return;
  *w->prev = w->next;
  if (w->next != NULL)
    w->next->prev = w->prev;
  w->prev = NULL;
}

static void
watch_free (struct etcd_watch *w)
{
  if (w->http != NULL)
    httpc_cancel (w->http);
  watch_unlink (w);
  json_tokener_free (w->parser);
  buf_free (&w->body);
  free (w);
}

static void
watch_end (struct etcd_watch *w, enum store_status why)
{
  struct store_watch_cb cb = w->cb;
  void *ctx = w->ctx;

  watch_free (w);
  cb.on_end (ctx, why);
}

/* False once the watch is to end. */
static bool
watch_message (struct etcd_watch *w, json_object *o)
{
  struct etcd_answer a;
  bool go_on = false;

  if (!etcd_read (o, &a) || a.is_error)
    w->why = a.is_error && a.code == ETCD_OUT_OF_RANGE ? STORE_GONE
                                                       : STORE_UNAVAILABLE;
  else if (a.canceled)
    w->why = a.compacted ? STORE_GONE : STORE_UNAVAILABLE;
  else
    {
      go_on = true;
      if (a.nevents > 0)
        w->cb.on_events (w->ctx, a.revision, a.events, a.nevents);
    }
  etcd_answer_free (&a);
  return go_on && !w->stopped;
}

/* Take one object from @p in; its bytes, or 0 when there is no whole one. */
static size_t
watch_take (struct etcd_watch *w, struct str in, bool *go_on)
{
  json_object *o = json_tokener_parse_ex (w->parser, in.ptr, (int)in.len);
  enum json_tokener_error err = json_tokener_get_error (w->parser);

  *go_on = true;
  if (o == NULL)
    {
      *go_on = err == json_tokener_continue
               && (w->pending += in.len) <= ETCD_ANSWER_MAX;
      w->why = STORE_UNAVAILABLE;
      return 0;
    }
  w->pending = 0;
  *go_on = watch_message (w, o);
  json_object_put (o);
  return json_tokener_get_parse_end (w->parser);
}

static struct str
skip_space (struct str s)
{
  while (s.len > 0 && (s.ptr[0] == '\n' || s.ptr[0] == '\r'))
    s = str_skip (s, 1);
  return s;
}

static void
on_body (void *ctx, struct str bytes)
{
  struct etcd_watch *w = ctx;
  bool go_on = true;

  w->busy = true;
  while (go_on && (bytes = skip_space (bytes)).len > 0)
    {
      size_t used = watch_take (w, bytes, &go_on);
      if (used == 0)
        break;
      bytes = str_skip (bytes, used);
    }
  w->busy = false;
  if (w->stopped)
    watch_free (w);
  else if (!go_on)
    watch_end (w, w->why);
}

static void
on_head (void *ctx, int status, const struct http_header *headers, size_t n)
{
  /* Errors are told by the body, whatever the status. */
}

static void watch_start (struct etcd_watch *w);

static void
on_end (void *ctx, enum httpc_end end)
{
  struct etcd_watch *w = ctx;

  w->http = NULL;
  /* Silence alone says nothing against an endpoint: nothing has changed. */
  if (end != HTTPC_TIMEOUT)
    etcd_rotate (w->e, w->endpoint);
  if (end == HTTPC_CONNECT_FAILED && ++w->tried < w->e->nendpoints)
    watch_start (w);
  else
    watch_end (w, STORE_UNAVAILABLE);
}

/*
 * A watch that hears nothing for a while ends, and its owner reads again.  A
 * connection can go silent without a close; a watch on it would wait for
 * good, and its owner keep a state that has long changed.
 */
static void
watch_start (struct etcd_watch *w)
{
  static const struct httpc_callbacks cb = { NULL, on_head, on_body, on_end };
  struct httpc_request r = etcd_request (w->e, "/v3/watch", &w->body);

  r.progress_ms = w->e->watch_idle_ms;
  r.max_body = SIZE_MAX;
  r.fresh = true;
  w->endpoint = w->e->current;
  w->http = httpc_start (w->e->http, &r, &cb, w);
}

void *
etcd_watch_open (void *self, struct str key, struct str end, int64_t from,
                 const struct store_watch_cb *cb, void *ctx)
{
  struct etcd *e = self;
  struct etcd_watch *w = xcalloc (1, sizeof *w);

  w->e = e;
  w->cb = *cb;
  w->ctx = ctx;
  w->parser = json_tokener_new ();
  w->next = e->watches;
  w->prev = &e->watches;
  if (w->next != NULL)
    w->next->prev = &w->next;
  e->watches = w;
  etcd_watch_json (key, end, from, &w->body);
  watch_start (w);
  return w;
}

void
etcd_watch_stop (void *self, void *watch)
{
  struct etcd_watch *w = watch;

  w->stopped = true;
  if (!w->busy)
    watch_free (w);
}

void
etcd_watches_drop (struct etcd *e)
{
  struct etcd_watch *next;

  for (struct etcd_watch *w = e->watches; w != NULL; w = next)
    {
      next = w->next;
      w->prev = NULL; /* on no list: one that is busy outlives the adapter */
      etcd_watch_stop (e, w);
    }
  e->watches = NULL;
}
