#include "store/store-int.h"

#include <stdlib.h>
#include <string.h>

struct store_call *
store_call_new (enum store_kind kind, store_cb cb, void *ctx)
{
  struct store_call *c = xcalloc (1, sizeof *c);

  c->kind = kind;
  c->cb = cb;
  c->ctx = ctx;
  return c;
}

void
store_call_free (struct store_call *c)
{
  free ((void *)c->txn.compares);
  free ((void *)c->txn.puts);
  free ((void *)c->txn.deletes);
  free (c->copy);
  free (c);
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

void
store_call_keys (struct store_call *c, struct str key, struct str end)
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

void
store_call_txn (struct store_call *c, const struct store_txn *t)
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
