#include "serve/invalid-entries.h"

#include <glib.h>
#include <stdlib.h>

struct entry
{
  uint64_t value; /* hash of the value */
  bool seen;      /* recorded in the current pass */
};

struct inv
{
  GHashTable *by_key;
};

struct inv *
inv_new (void)
{
  struct inv *u = xcalloc (1, sizeof *u);

  u->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
  return u;
}

void
inv_free (struct inv *u)
{
  if (!u)
    return;
  g_hash_table_destroy (u->by_key);
  free (u);
}

void
inv_begin_list (struct inv *u)
{
  GHashTableIter it;
  void *entry;

  g_hash_table_iter_init (&it, u->by_key);
  while (g_hash_table_iter_next (&it, NULL, &entry))
    ((struct entry *)entry)->seen = false;
}

bool
inv_record (struct inv *u, struct str key, struct str value)
{
  char *name = str_dup (key);
  struct entry *e = g_hash_table_lookup (u->by_key, name);
  uint64_t hash = str_hash (value, 0);
  bool changed = !e || e->value != hash;

  if (e)
    free (name);
  else
    {
      e = xcalloc (1, sizeof *e);
      g_hash_table_insert (u->by_key, name, e);
    }
  e->value = hash;
  e->seen = true;
  return changed;
}

static gboolean
not_seen (void *key, void *entry, void *ctx)
{
  return !((struct entry *)entry)->seen;
}

void
inv_end_list (struct inv *u)
{
  g_hash_table_foreach_remove (u->by_key, not_seen, NULL);
}

size_t
inv_count (const struct inv *u)
{
  return g_hash_table_size (u->by_key);
}
