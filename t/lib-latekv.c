#include "t/lib-latekv.h"

#include <stdlib.h>

#define MAX_KVS 32

struct client
{
  struct latekv *owner;
  struct pending_response *responses;
};

struct pending_response
{
  uv_timer_t timer; /* data: this struct */
  struct client *client;
  struct pending_response *next;
  store_cb cb;
  void *ctx;
  struct store_result res;
  char *key, *end; /* range to read when the timer fires; NULL: none */
};

void
latekv_init (struct latekv *k, uv_loop_t *loop)
{
  *k = (struct latekv){ .loop = loop, .kv = memkv_new () };
}

void
latekv_destroy (struct latekv *k)
{
  memkv_free (k->kv);
}

static void
free_response (uv_handle_t *h)
{
  struct pending_response *a = h->data;

  free (a->key);
  free (a->end);
  free (a);
}

static void
drop_response (struct pending_response *a)
{
  struct pending_response **at = &a->client->responses;

  while (*at != a)
    at = &(*at)->next;
  *at = a->next;
  uv_close ((uv_handle_t *)&a->timer, free_response);
}

static void
on_response_timer (uv_timer_t *t)
{
  struct pending_response *a = t->data;
  struct store_kv kvs[MAX_KVS];

  a->res.kvs = kvs;
  if (a->key != NULL && a->res.status == STORE_OK)
    a->res.nkvs = memkv_list (a->client->owner->kv, str_from (a->key),
                              str_from (a->end), kvs, MAX_KVS);
  a->cb (a->ctx, &a->res);
  drop_response (a);
}

static struct pending_response *
schedule_response (struct client *c, store_cb cb, void *ctx)
{
  struct pending_response *a = xcalloc (1, sizeof *a);

  *a = (struct pending_response){
    .client = c, .next = c->responses, .cb = cb, .ctx = ctx
  };
  c->responses = a;
  a->res.status = c->owner->unavailable ? STORE_UNAVAILABLE : STORE_OK;
  uv_timer_init (c->owner->loop, &a->timer);
  a->timer.data = a;
  uv_timer_start (&a->timer, on_response_timer, 1, 0);
  return a;
}

static void
late_range (void *self, struct str key, struct str end, store_cb cb, void *ctx)
{
  struct pending_response *a = schedule_response (self, cb, ctx);

  a->key = str_dup (key);
  a->end = str_dup (end);
}

static void
late_txn (void *self, const struct store_txn *txn, store_cb cb, void *ctx)
{
  struct pending_response *a = schedule_response (self, cb, ctx);
  struct latekv *k = a->client->owner;

  if (k->unavailable)
    return;
  a->res.status = STORE_CONFLICT;
  if (!k->lease_lost)
    a->res = memkv_txn (k->kv, txn);
  if (k->loses_response)
    a->res.status = STORE_UNCERTAIN;
  k->loses_response = false;
}

static void
late_grant (void *self, clk_ms ttl, store_cb cb, void *ctx)
{
  struct pending_response *a = schedule_response (self, cb, ctx);

  if (a->res.status == STORE_OK)
    a->res.lease = ++a->client->owner->last_lease;
}

static void
late_keep (void *self, int64_t lease, store_cb cb, void *ctx)
{
  struct pending_response *a = schedule_response (self, cb, ctx);
  struct latekv *k = a->client->owner;

  if (a->res.status == STORE_OK && k->lease_lost)
    a->res.status = STORE_GONE;
  if (a->res.status == STORE_OK)
    k->renewed_at = clk_now ();
}

static void
late_revoke (void *self, int64_t lease, store_cb cb, void *ctx)
{
  struct pending_response *a = schedule_response (self, cb, ctx);

  if (a->res.status == STORE_OK)
    memkv_revoke (a->client->owner->kv, lease);
}

static void
late_free (void *self)
{
  struct client *c = self;

  while (c->responses != NULL)
    drop_response (c->responses);
  free (c);
}

struct store *
latekv_store (struct latekv *k)
{
  static const struct store_ops ops = { .range = late_range,
                                        .txn = late_txn,
                                        .lease_grant = late_grant,
                                        .lease_keep = late_keep,
                                        .lease_revoke = late_revoke,
                                        .free = late_free };
  static const struct store_budget budget = { 1000, 1000 };
  struct client *c = xcalloc (1, sizeof *c);

  c->owner = k;
  return store_new (k->loop, &ops, c, &budget);
}
