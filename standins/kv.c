#include "standins/kv.h"

static int
compare_keys (const void *a, const void *b, void *ctx)
{
  return g_bytes_compare (a, b);
}

static void
entry_free (void *p)
{
  struct kv_entry *e = p;

  g_bytes_unref (e->key);
  if (e->value != NULL)
    g_bytes_unref (e->value);
  g_free (e);
}

void
kv_init (struct kv *kv)
{
  kv->era = 1;
  kv->revision = 1;
  kv->next_lease = 7001;
  kv->keys = g_tree_new_full (compare_keys, NULL, NULL, entry_free);
  kv->history = g_queue_new ();
  kv->leases
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

struct str
kv_str (GBytes *b)
{
  gsize n;
  const void *p = g_bytes_get_data (b, &n);

  return str_make (p, n);
}

struct kv_entry *
kv_get (struct kv *kv, GBytes *key)
{
  return g_tree_lookup (kv->keys, key);
}

bool
kv_in_range (GBytes *key, GBytes *from, GBytes *end)
{
  struct str e = kv_str (end);

  if (e.len == 0)
    return g_bytes_equal (key, from);
  if (g_bytes_compare (key, from) < 0)
    return false;
  return (e.len == 1 && e.ptr[0] == '\0') || g_bytes_compare (key, end) < 0;
}

void
kv_range (struct kv *kv, GBytes *from, GBytes *end,
          void (*fn) (void *ctx, const struct kv_entry *e), void *ctx)
{
  GTreeNode *n = g_tree_lower_bound (kv->keys, from);

  for (; n != NULL; n = g_tree_node_next (n))
    {
      const struct kv_entry *e = g_tree_node_value (n);
      if (!kv_in_range (e->key, from, end))
        break;
      fn (ctx, e);
    }
}

static void
add_history (struct kv *kv, const struct kv_entry *e, GBytes *value,
             int64_t rev)
{
  struct kv_entry *h = g_new0 (struct kv_entry, 1);

  h->key = g_bytes_ref (e->key);
  h->value = value != NULL ? g_bytes_ref (value) : NULL;
  h->mod = rev;
  h->create = e->create;
  h->lease = e->lease;
  g_queue_push_tail (kv->history, h);
  if (g_queue_get_length (kv->history) <= KV_HISTORY)
    return;
  h = g_queue_pop_head (kv->history);
  kv->compacted = h->mod;
  entry_free (h);
}

void
kv_put (struct kv *kv, GBytes *key, GBytes *value, int64_t lease, int64_t rev)
{
  const struct kv_entry *old = kv_get (kv, key);
  struct kv_entry *e = g_new0 (struct kv_entry, 1);

  e->key = g_bytes_ref (key);
  e->value = g_bytes_ref (value);
  e->mod = rev;
  e->create = old != NULL ? old->create : rev;
  e->lease = lease;
  g_tree_replace (kv->keys, e->key, e);
  kv->revision = rev;
  add_history (kv, e, value, rev);
}

static void
collect_key (void *ctx, const struct kv_entry *e)
{
  g_ptr_array_add (ctx, g_bytes_ref (e->key));
}

static void
delete_key (struct kv *kv, GBytes *key, int64_t rev)
{
  add_history (kv, kv_get (kv, key), NULL, rev);
  g_tree_remove (kv->keys, key);
  kv->revision = rev;
}

int
kv_delete (struct kv *kv, GBytes *from, GBytes *end, int64_t rev)
{
  GPtrArray *keys
      = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  int n;

  kv_range (kv, from, end, collect_key, keys);
  n = (int)keys->len;
  for (int i = 0; i < n; i++)
    delete_key (kv, keys->pdata[i], rev);
  g_ptr_array_unref (keys);
  return n;
}

int64_t
kv_grant (struct kv *kv, clk_ms ttl, clk_ms now)
{
  struct kv_lease *l = g_new0 (struct kv_lease, 1);

  l->id = kv->next_lease++;
  l->ttl = ttl;
  l->expires = now + ttl;
  g_hash_table_insert (kv->leases, &l->id, l);
  return l->id;
}

struct kv_lease *
kv_find_lease (struct kv *kv, int64_t id)
{
  return g_hash_table_lookup (kv->leases, &id);
}

struct leased_keys
{
  int64_t lease;
  GPtrArray *keys;
};

static gboolean
collect_leased_key (void *key, void *value, void *ctx)
{
  const struct kv_entry *e = value;
  struct leased_keys *l = ctx;

  if (e->lease == l->lease)
    g_ptr_array_add (l->keys, g_bytes_ref (e->key));
  return FALSE;
}

void
kv_revoke (struct kv *kv, int64_t id)
{
  struct leased_keys l
      = { id, g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref) };
  int64_t rev = kv->revision + 1;

  g_hash_table_remove (kv->leases, &id);
  g_tree_foreach (kv->keys, collect_leased_key, &l);
  for (guint i = 0; i < l.keys->len; i++)
    delete_key (kv, l.keys->pdata[i], rev);
  g_ptr_array_unref (l.keys);
}

static struct kv_lease *
find_expired_lease (struct kv *kv, clk_ms now)
{
  GHashTableIter it;
  void *value;

  g_hash_table_iter_init (&it, kv->leases);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      struct kv_lease *l = value;
      if (l->expires <= now)
        return l;
    }
  return NULL;
}

bool
kv_expire (struct kv *kv, clk_ms now)
{
  struct kv_lease *l;
  bool any = false;

  while ((l = find_expired_lease (kv, now)) != NULL)
    {
      kv_revoke (kv, l->id);
      any = true;
    }
  return any;
}

void
kv_compact (struct kv *kv)
{
  g_queue_clear_full (kv->history, entry_free);
  kv->compacted = kv->revision;
}

static gboolean
clamp_revision (gpointer key, gpointer value, gpointer ctx)
{
  struct kv_entry *e = value;
  const int64_t *max = ctx;

  e->mod = e->mod < *max ? e->mod : *max;
  e->create = e->create < *max ? e->create : *max;
  return FALSE;
}

void
kv_rewind (struct kv *kv, int64_t n)
{
  kv->revision = kv->revision > n ? kv->revision - n : 1;
  g_tree_foreach (kv->keys, clamp_revision, &kv->revision);
  kv_compact (kv);
}

static gboolean
copy_entry (gpointer key, gpointer value, gpointer ctx)
{
  const struct kv_entry *e = value;
  struct kv_entry *copy = g_new (struct kv_entry, 1);
  struct kv *to = ctx;

  *copy = *e;
  g_bytes_ref (copy->key);
  g_bytes_ref (copy->value);
  g_tree_replace (to->keys, copy->key, copy);
  return FALSE;
}

static void
copy_lease (gpointer key, gpointer value, gpointer ctx)
{
  struct kv_lease *copy = g_new (struct kv_lease, 1);
  struct kv *to = ctx;

  *copy = *(const struct kv_lease *)value;
  g_hash_table_replace (to->leases, &copy->id, copy);
}

void
kv_copy (struct kv *to, const struct kv *from)
{
  if (!to->keys)
    kv_init (to);
  g_tree_remove_all (to->keys);
  g_tree_foreach (from->keys, copy_entry, to);
  g_hash_table_remove_all (to->leases);
  g_hash_table_foreach (from->leases, copy_lease, to);
  to->revision = from->revision;
  to->next_lease = from->next_lease;
}

static void
restart_lease (gpointer key, gpointer value, gpointer ctx)
{
  struct kv_lease *l = value;

  l->expires = *(const clk_ms *)ctx + l->ttl;
}

void
kv_restore (struct kv *kv, const struct kv *copy, bool keep_leases, clk_ms now)
{
  kv_copy (kv, copy);
  if (keep_leases)
    g_hash_table_foreach (kv->leases, restart_lease, &now);
  else
    kv_expire (kv, CLK_NEVER);
  kv->revision = copy->revision;
  kv_compact (kv);
  kv->era++;
}
