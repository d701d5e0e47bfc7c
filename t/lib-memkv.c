#include "t/lib-memkv.h"

#include <stdlib.h>
#include <string.h>

struct entry
{
  struct entry *next;
  char *key;
  char *value;
  size_t len;
  int64_t create_rev, mod_rev;
  int64_t lease;
};

struct memkv
{
  struct entry *entries;
  int64_t revision;
  struct store_kv last_read;
  struct store_txn held_txn;
};

struct memkv *
memkv_new (void)
{
  return xcalloc (1, sizeof (struct memkv));
}

static struct entry **
find_entry (const struct memkv *k, struct str key)
{
  struct entry **e = (struct entry **)&k->entries;

  while (*e && !str_is (key, (*e)->key))
    e = &(*e)->next;
  return e;
}

static void
remove_entry (struct entry **at)
{
  struct entry *e = *at;

  *at = e->next;
  free (e->key);
  free (e->value);
  free (e);
}

static void
put_entry (struct memkv *k, const struct store_put *put)
{
  struct entry **at = find_entry (k, put->key);
  struct entry *e = xcalloc (1, sizeof *e);

  e->create_rev = *at ? (*at)->create_rev : k->revision;
  if (*at)
    remove_entry (at);
  e->next = k->entries;
  e->key = str_dup (put->key);
  e->value = str_dup (put->value);
  e->len = put->value.len;
  e->mod_rev = k->revision;
  e->lease = put->lease;
  k->entries = e;
}

static struct store_kv
kv_view (const struct entry *e)
{
  return (struct store_kv){ .key = str_from (e->key),
                            .value = str_make (e->value, e->len),
                            .mod_rev = e->mod_rev,
                            .create_rev = e->create_rev,
                            .lease = e->lease };
}

struct store_result
memkv_get (struct memkv *k, struct str key)
{
  struct entry *e = *find_entry (k, key);
  struct store_result r = { .status = STORE_OK, .revision = k->revision };

  if (!e)
    return r;
  k->last_read = kv_view (e);
  r.kvs = &k->last_read;
  r.nkvs = 1;
  return r;
}

size_t
memkv_list (const struct memkv *k, struct str key, struct str end,
            struct store_kv *out, size_t max)
{
  size_t n = 0;

  for (const struct entry *e = k->entries; e && n < max; e = e->next)
    {
      struct str at = str_from (e->key);

      if (end.len ? str_cmp (at, key) >= 0 && str_cmp (at, end) < 0
                  : str_eq (at, key))
        out[n++] = kv_view (e);
    }
  return n;
}

void
memkv_revoke (struct memkv *k, int64_t lease)
{
  for (struct entry **at = &k->entries; *at;)
    if ((*at)->lease == lease && lease)
      remove_entry (at);
    else
      at = &(*at)->next;
}

static bool
compares_succeed (struct memkv *k, const struct store_txn *txn)
{
  for (size_t i = 0; i < txn->ncompares; i++)
    {
      struct entry *e = *find_entry (k, txn->compares[i].key);
      if ((e ? e->mod_rev : 0) != txn->compares[i].mod_rev)
        return false;
    }
  return true;
}

struct store_result
memkv_txn (struct memkv *k, const struct store_txn *txn)
{
  struct store_result r = { .status = STORE_CONFLICT };

  if (txn->nputs + txn->ndeletes > MEMKV_MAX_OPS)
    return (struct store_result){ .status = STORE_UNAVAILABLE };
  if (compares_succeed (k, txn))
    {
      r.status = STORE_OK;
      k->revision++;
      for (size_t i = 0; i < txn->nputs; i++)
        put_entry (k, &txn->puts[i]);
      for (size_t i = 0; i < txn->ndeletes; i++)
        if (*find_entry (k, txn->deletes[i]))
          remove_entry (find_entry (k, txn->deletes[i]));
    }
  r.revision = k->revision;
  return r;
}

static struct str
copy_str (struct str s)
{
  return str_make (str_dup (s), s.len);
}

static void
free_held_txn (struct memkv *k)
{
  struct store_txn *t = &k->held_txn;

  for (size_t i = 0; i < t->ncompares; i++)
    free ((char *)t->compares[i].key.ptr);
  for (size_t i = 0; i < t->nputs; i++)
    {
      free ((char *)t->puts[i].key.ptr);
      free ((char *)t->puts[i].value.ptr);
    }
  for (size_t i = 0; i < t->ndeletes; i++)
    free ((char *)t->deletes[i].ptr);
  free ((void *)t->compares);
  free ((void *)t->puts);
  free ((void *)t->deletes);
  memset (t, 0, sizeof *t);
}

void
memkv_delay_txn (struct memkv *k, const struct store_txn *txn)
{
  struct store_compare *compares
      = xcalloc (txn->ncompares + 1, sizeof *compares);
  struct store_put *puts = xcalloc (txn->nputs + 1, sizeof *puts);
  struct str *deletes = xcalloc (txn->ndeletes + 1, sizeof *deletes);

  free_held_txn (k);
  for (size_t i = 0; i < txn->ncompares; i++)
    compares[i] = (struct store_compare){ copy_str (txn->compares[i].key),
                                          txn->compares[i].mod_rev };
  for (size_t i = 0; i < txn->nputs; i++)
    puts[i] = (struct store_put){ copy_str (txn->puts[i].key),
                                  copy_str (txn->puts[i].value), 0 };
  for (size_t i = 0; i < txn->ndeletes; i++)
    deletes[i] = copy_str (txn->deletes[i]);
  k->held_txn
      = (struct store_txn){ compares,   txn->ncompares, puts,
                            txn->nputs, deletes,        txn->ndeletes };
}

struct store_result
memkv_apply_delayed (struct memkv *k)
{
  struct store_result r = memkv_txn (k, &k->held_txn);

  free_held_txn (k);
  return r;
}

size_t
memkv_count (const struct memkv *k, struct str prefix)
{
  size_t n = 0;

  for (const struct entry *e = k->entries; e; e = e->next)
    n += str_starts (str_from (e->key), prefix);
  return n;
}

void
memkv_free (struct memkv *k)
{
  free_held_txn (k);
  while (k->entries)
    remove_entry (&k->entries);
  free (k);
}
