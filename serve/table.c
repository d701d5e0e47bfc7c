#include "serve/table.h"

#include <stdlib.h>

struct tbl *
tbl_new (void)
{
  struct tbl *t = xcalloc (1, sizeof *t);

  t->refs = 1;
  return t;
}

/** Orders routes by host; within a host, longer prefixes come first, so that
    the first match of a linear scan is the longest one. */
static int
compare_routes (const void *a, const void *b)
{
  const struct tbl_route *x = a, *y = b;
  int order = str_cmp (x->host, y->host);

  if (order)
    return order;
  if (x->prefix.len != y->prefix.len)
    return x->prefix.len > y->prefix.len ? -1 : 1;
  return str_cmp (x->prefix, y->prefix);
}

static int
compare_keys (const void *a, const void *b)
{
  const struct tbl_key *x = a, *y = b;

  return str_cmp (x->key, y->key);
}

void
tbl_sort (struct tbl *t)
{
  if (t->nroutes)
    qsort (t->routes, t->nroutes, sizeof *t->routes, compare_routes);
  if (t->nkeys)
    qsort (t->keys, t->nkeys, sizeof *t->keys, compare_keys);
}

struct tbl *
tbl_ref (struct tbl *t)
{
  t->refs++;
  return t;
}

void
tbl_unref (struct tbl *t)
{
  if (!t || --t->refs > 0)
    return;
  arena_free (&t->arena);
  free (t);
}

/** Index of the first route of @p host, or where it would be inserted. */
static size_t
first_of_host (const struct tbl *t, struct str host)
{
  size_t lo = 0, hi = t->nroutes;

  while (lo < hi)
    {
      size_t mid = (lo + hi) / 2;
      if (str_cmp (t->routes[mid].host, host) < 0)
        lo = mid + 1;
      else
        hi = mid;
    }
  return lo;
}

const struct tbl_route *
tbl_find_route (const struct tbl *t, struct str host, struct str path)
{
  for (size_t i = first_of_host (t, host);
       i < t->nroutes && str_eq (t->routes[i].host, host); i++)
    if (str_starts (path, t->routes[i].prefix))
      return &t->routes[i];
  return NULL;
}

const struct tbl_service *
tbl_find_service (const struct tbl *t, struct str name)
{
  for (size_t i = 0; i < t->nservices; i++)
    if (str_eq (t->services[i].name, name))
      return &t->services[i];
  return NULL;
}

const struct tbl_model *
tbl_find_model (const struct tbl_service *s, struct str name)
{
  for (size_t i = 0; i < s->nmodels; i++)
    if (str_eq (s->models[i].name, name))
      return &s->models[i];
  return NULL;
}

const struct tbl_account *
tbl_find_account (const struct tbl *t, struct str key)
{
  size_t lo = 0, hi = t->nkeys;

  while (key.len && lo < hi)
    {
      size_t mid = (lo + hi) / 2;
      int order = str_cmp (t->keys[mid].key, key);
      if (order == 0)
        return t->keys[mid].account;
      if (order < 0)
        lo = mid + 1;
      else
        hi = mid;
    }
  return NULL;
}

const struct tbl_service *
tbl_pick_service (const struct tbl_route *r, double x)
{
  double at = x * r->weight_sum;

  for (size_t i = 0; i < r->ntargets; i++)
    {
      at -= r->targets[i].weight;
      if (at < 0)
        return r->targets[i].service;
    }
  return r->ntargets ? r->targets[r->ntargets - 1].service : NULL;
}

const char *
tbl_kind_name (enum tbl_kind k)
{
  static const char *const names[] = { [TBL_IDEMPOTENT] = "idempotent",
                                       [TBL_AT_MOST_ONCE] = "once",
                                       [TBL_STREAM] = "stream" };

  return names[k];
}

bool
tbl_is_retryable (const struct tbl_route *r)
{
  return r->kind == TBL_IDEMPOTENT || (r->kind == TBL_STREAM && r->resumable);
}
