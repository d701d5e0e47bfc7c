#include <stdlib.h>
#include <string.h>

#include "claim/batch.h"
#include "t/lib-claim.h"

/* The store. */

static size_t
kv_find (const struct kv *kv, struct str key, bool *found)
{
  size_t lo = 0, hi = kv->n;

  while (lo < hi)
    {
      size_t mid = (lo + hi) / 2;
      if (str_cmp (str_from (kv->entries[mid].key), key) < 0)
        lo = mid + 1;
      else
        hi = mid;
    }
  *found = lo < kv->n && str_is (key, kv->entries[lo].key);
  return lo;
}

static void
kv_delete (struct kv *kv, size_t at)
{
  free (kv->entries[at].key);
  buf_free (&kv->entries[at].value);
  memmove (&kv->entries[at], &kv->entries[at + 1],
           (kv->n - at - 1) * sizeof kv->entries[0]);
  kv->n--;
}

static void
kv_put (struct kv *kv, const struct store_put *put)
{
  bool found;
  size_t at = kv_find (kv, put->key, &found);
  struct kv_entry *e = &kv->entries[at];

  if (!found)
    {
      if (kv->n == CW_KEYS)
        abort ();
      memmove (e + 1, e, (kv->n - at) * sizeof *e);
      kv->n++;
      *e = (struct kv_entry){ .key = str_dup (put->key),
                              .create_rev = kv->revision };
    }
  buf_clear (&e->value);
  buf_add (&e->value, put->value);
  e->mod_rev = kv->revision;
  e->lease = put->lease;
}

void
kv_clear (struct kv *kv)
{
  while (kv->n)
    kv_delete (kv, kv->n - 1);
}

void
kv_remove (struct kv *kv, struct str key)
{
  bool found;
  size_t at = kv_find (kv, key, &found);

  if (found)
    kv_delete (kv, at);
}

static bool
kv_has_lease (const struct kv *kv, int64_t id)
{
  for (size_t i = 0; i < kv->nleases; i++)
    if (kv->leases[i].id == id)
      return true;
  return false;
}

void
kv_expire_leases (struct kv *kv, clk_ms now)
{
  for (size_t i = 0; i < kv->nleases;)
    {
      int64_t id = kv->leases[i].id;
      if (kv->leases[i].expires > now)
        {
          i++;
          continue;
        }
      kv->leases[i] = kv->leases[--kv->nleases];
      for (size_t k = kv->n; k > 0; k--)
        if (kv->entries[k - 1].lease == id)
          kv_delete (kv, k - 1);
    }
}

enum store_status
kv_keepalive (struct kv *kv, clk_ms now, int64_t lease, clk_ms ttl)
{
  for (size_t i = 0; i < kv->nleases; i++)
    if (kv->leases[i].id == lease)
      {
        kv->leases[i].expires = now + ttl;
        return STORE_OK;
      }
  return STORE_GONE;
}

void
kv_revoke (struct kv *kv, int64_t lease)
{
  for (size_t i = 0; i < kv->nleases; i++)
    if (kv->leases[i].id == lease)
      kv->leases[i].expires = INT64_MIN;
  kv_expire_leases (kv, INT64_MIN);
}

int64_t
kv_grant (struct kv *kv, clk_ms now, clk_ms ttl)
{
  if (kv->nleases == 1024)
    abort ();
  kv->leases[kv->nleases].id = 1000 + ++kv->revision;
  kv->leases[kv->nleases].expires = now + ttl;
  return kv->leases[kv->nleases++].id;
}

enum store_status
kv_txn (struct kv *kv, const struct store_txn *txn)
{
  for (size_t i = 0; i < txn->ncompares; i++)
    {
      bool found;
      size_t at = kv_find (kv, txn->compares[i].key, &found);
      int64_t rev = found ? kv->entries[at].mod_rev : 0;
      if (rev != txn->compares[i].mod_rev)
        return STORE_CONFLICT;
    }
  for (size_t i = 0; i < txn->nputs; i++)
    if (txn->puts[i].lease && !kv_has_lease (kv, txn->puts[i].lease))
      return STORE_GONE;
  kv->revision++;
  for (size_t i = 0; i < txn->nputs; i++)
    kv_put (kv, &txn->puts[i]);
  return STORE_OK;
}

/* Calls. */

static struct str
copy_str (struct buf *into, struct str s)
{
  buf_clear (into);
  buf_add (into, s);
  return buf_str (into);
}

static void
free_result (struct cw_call *c)
{
  for (size_t i = 0; i < c->result.nkvs; i++)
    {
      free ((char *)c->kvs[i].key.ptr);
      free ((char *)c->kvs[i].value.ptr);
    }
  free (c->kvs);
  c->kvs = NULL;
  c->result.nkvs = 0;
}

void
cw_drop_call (struct cw_call *c)
{
  free_result (c);
  c->used = false;
}

struct cw_call *
cw_call (struct cw *w, unsigned no)
{
  for (size_t i = 0; i < CW_CALLS; i++)
    if (w->calls[i].used && w->calls[i].no == no)
      return &w->calls[i];
  return NULL;
}

static void
log_call (struct cw *w, const struct cw_call *c)
{
  size_t n = 0;

  if (!w->log)
    return;
  buf_addf (w->log, "  h%d #%u ", c->home + 1, c->no);
  if (c->kind == CLM_ACT_LEASE_GRANT)
    buf_addf (w->log, "grant %lld\n", (long long)c->ttl);
  else if (c->kind == CLM_ACT_RANGE)
    buf_addf (w->log, "read from %lld\n",
              (long long)strtoll (strstr (c->key.ptr, "/b/") + 3, NULL, 16));
  else
    {
      bat_count (c->puts[1].value, &n);
      buf_addf (w->log, "write base=%lld", (long long)c->compare.mod_rev);
      for (size_t i = 0; i < n; i++)
        {
          struct bat_record r;
          bat_get (c->puts[1].value, i, &r);
          if (i < 4)
            buf_addf (w->log, " %s:%c/%c",
                      r.kind == CLM_ACQUIRE ? "take" : "release", r.key[0],
                      r.attempt[0]);
          else if (i == 4)
            buf_addf (w->log, " +%zu", n - 4);
        }
      buf_add_char (w->log, '\n');
    }
}

static void
hold_call (struct cw *w, int home, const struct clm_action *a)
{
  struct cw_call *c = w->calls;

  while (c < w->calls + CW_CALLS && c->used)
    c++;
  if (c == w->calls + CW_CALLS)
    abort ();
  c->used = true;
  c->applied = c->responded = false;
  c->home = home;
  c->no = ++w->last_call;
  c->kind = a->kind;
  c->token = a->token;
  c->ttl = a->ttl;
  if (a->kind == CLM_ACT_RANGE)
    {
      copy_str (&c->key, a->key);
      buf_c (&c->key);
      copy_str (&c->end, a->end);
    }
  if (a->kind == CLM_ACT_TXN)
    {
      c->compare.key = copy_str (&c->copy[0], a->txn.compares[0].key);
      c->compare.mod_rev = a->txn.compares[0].mod_rev;
      for (size_t i = 0; i < 2; i++)
        {
          c->puts[i].key = copy_str (&c->copy[1 + i], a->txn.puts[i].key);
          c->puts[i].value = copy_str (&c->copy[3 + i], a->txn.puts[i].value);
          c->puts[i].lease = a->txn.puts[i].lease;
        }
      c->txn = (struct store_txn){ &c->compare, a->txn.ncompares,
                                   c->puts,     2,
                                   NULL,        0 };
    }
  log_call (w, c);
}

void
cw_fetch_actions (struct cw *w, int home)
{
  struct clm_action a;

  while (clm_next (w->homes[home], &a))
    if (a.kind == CLM_ACT_REPLY)
      w->on_reply (w->ctx, home, &a.reply);
    else
      hold_call (w, home, &a);
}

static void
apply_range (struct cw *w, struct cw_call *c)
{
  bool found;
  size_t from = kv_find (&w->kv, buf_str (&c->key), &found);
  size_t to = kv_find (&w->kv, buf_str (&c->end), &found);

  c->kvs = xcalloc (to - from + 1, sizeof *c->kvs);
  for (size_t i = from; i < to; i++)
    {
      const struct kv_entry *e = &w->kv.entries[i];
      struct store_kv *out = &c->kvs[i - from];
      out->key = str_make (xstrdup (e->key), strlen (e->key));
      out->value = str_make (str_dup (buf_str (&e->value)), e->value.len);
      out->mod_rev = e->mod_rev;
    }
  c->result.status = STORE_OK;
  c->result.kvs = c->kvs;
  c->result.nkvs = to - from;
}

void
cw_apply (struct cw *w, struct cw_call *c)
{
  if (c->applied)
    return;
  kv_expire_leases (&w->kv, w->now);
  c->applied = true;
  memset (&c->result, 0, sizeof c->result);
  if (c->kind == CLM_ACT_RANGE)
    apply_range (w, c);
  else if (c->kind == CLM_ACT_LEASE_GRANT)
    {
      c->result.lease = kv_grant (&w->kv, w->now, c->ttl);
      c->result.ttl = c->ttl;
    }
  else
    c->result.status = kv_txn (&w->kv, &c->txn);
  c->result.revision = w->kv.revision;
  if (c->responded)
    cw_drop_call (c);
}

void
cw_respond (struct cw *w, struct cw_call *c, enum store_status status)
{
  struct store_result none = { .status = status };
  struct store_result *r = status == STORE_OK ? &c->result : &none;
  int home = c->home;
  uint64_t token = c->token;

  c->responded = true;
  clm_on_store_response (w->homes[home], w->now, token, r);
  /* A write whose response was lost may still be applied. */
  if (c->applied || status != STORE_UNCERTAIN)
    cw_drop_call (c);
  cw_fetch_actions (w, home);
}

/* Cores. */

static struct clm *
new_home (const struct cw *w, int home, const struct clm_options *opt,
          uint64_t seed)
{
  struct clm_options o = *opt;

  o.boot = w->same_boot ? 1 : opt->boot * 16 + (uint64_t)home + 1;
  return clm_new (&o, seed);
}

void
cw_init (struct cw *w, size_t homes, const struct clm_options *opt,
         uint64_t seed)
{
  w->nhomes = homes;
  w->now = 1000;
  w->kv.revision = 100;
  for (size_t i = 0; i < homes; i++)
    w->homes[i] = new_home (w, (int)i, opt, seed + i);
}

void
cw_restart (struct cw *w, int home, const struct clm_options *opt,
            uint64_t seed)
{
  clm_free (w->homes[home]);
  w->homes[home] = new_home (w, home, opt, seed);
  for (size_t i = 0; i < CW_CALLS; i++)
    if (w->calls[i].used && w->calls[i].home == home)
      {
        w->calls[i].responded = true;
        if (w->calls[i].applied || w->calls[i].kind != CLM_ACT_TXN)
          cw_drop_call (&w->calls[i]);
      }
}

void
cw_clear (struct cw *w)
{
  for (size_t i = 0; i < CW_CALLS; i++)
    {
      struct cw_call *c = &w->calls[i];
      if (c->used)
        cw_drop_call (c);
      buf_free (&c->key);
      buf_free (&c->end);
      for (size_t k = 0; k < 5; k++)
        buf_free (&c->copy[k]);
    }
  for (size_t i = 0; i < w->nhomes; i++)
    clm_free (w->homes[i]);
  kv_clear (&w->kv);
}
