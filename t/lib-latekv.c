#include "t/lib-latekv.h"

#include <stdlib.h>

#define MAX_KVS 32

struct client
{
  struct latekv *at;
  struct answer *answers;
};

struct answer
{
  uv_timer_t timer; /* data: the answer */
  struct client *client;
  struct answer *next;
  store_cb cb;
  void *ctx;
  struct store_result res;
  char *key, *end; /* of a range, read when it is answered; or NULL */
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
free_answer (uv_handle_t *h)
{
  struct answer *a = h->data;

  free (a->key);
  free (a->end);
  free (a);
}

static void
drop_answer (struct answer *a)
{
  struct answer **at = &a->client->answers;

  while (*at != a)
    at = &(*at)->next;
  *at = a->next;
  uv_close ((uv_handle_t *)&a->timer, free_answer);
}

static void
on_answer (uv_timer_t *t)
{
  struct answer *a = t->data;
  struct store_kv kvs[MAX_KVS];

  a->res.kvs = kvs;
  if (a->key != NULL && a->res.status == STORE_OK)
    a->res.nkvs = memkv_list (a->client->at->kv, str_from (a->key),
                              str_from (a->end), kvs, MAX_KVS);
  a->cb (a->ctx, &a->res);
  drop_answer (a);
}

static struct answer *
answer_later (struct client *c, store_cb cb, void *ctx)
{
  struct answer *a = xcalloc (1, sizeof *a);

  *a = (struct answer){
    .client = c, .next = c->answers, .cb = cb, .ctx = ctx
  };
  c->answers = a;
  a->res.status = c->at->unavailable ? STORE_UNAVAILABLE : STORE_OK;
  uv_timer_init (c->at->loop, &a->timer);
  a->timer.data = a;
  uv_timer_start (&a->timer, on_answer, 1, 0);
  return a;
}

static void
late_range (void *self, struct str key, struct str end, store_cb cb, void *ctx)
{
  struct answer *a = answer_later (self, cb, ctx);

  a->key = str_dup (key);
  a->end = str_dup (end);
}

static void
late_txn (void *self, const struct store_txn *txn, store_cb cb, void *ctx)
{
  struct answer *a = answer_later (self, cb, ctx);
  struct latekv *at = a->client->at;

  if (at->unavailable)
    return;
  a->res.status = STORE_CONFLICT;
  if (!at->lease_lost)
    a->res = memkv_txn (at->kv, txn);
  if (at->loses_response)
    a->res.status = STORE_UNCERTAIN;
  at->loses_response = false;
}

static void
late_grant (void *self, clk_ms ttl, store_cb cb, void *ctx)
{
  struct answer *a = answer_later (self, cb, ctx);

  if (a->res.status == STORE_OK)
    a->res.lease = ++a->client->at->last_lease;
}

static void
late_keep (void *self, int64_t lease, store_cb cb, void *ctx)
{
  struct answer *a = answer_later (self, cb, ctx);
  struct latekv *at = a->client->at;

  if (a->res.status == STORE_OK && at->lease_lost)
    a->res.status = STORE_GONE;
  if (a->res.status == STORE_OK)
    at->renewed_at = clk_now ();
}

static void
late_revoke (void *self, int64_t lease, store_cb cb, void *ctx)
{
  struct answer *a = answer_later (self, cb, ctx);

  if (a->res.status == STORE_OK)
    memkv_revoke (a->client->at->kv, lease);
}

static void
late_free (void *self)
{
  struct client *c = self;

  while (c->answers != NULL)
    drop_answer (c->answers);
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

  c->at = k;
  return store_new (k->loop, &ops, c, &budget);
}
