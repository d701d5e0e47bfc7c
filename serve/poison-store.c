#include "serve/node-int.h"

#include <stdlib.h>

#include "base/json.h"

/*
 * Blocked requests are written to the store with a lease that lasts as long as
 * the block.  Nodes read them after a restart of all nodes, and while the
 * nodes can't reach each other.
 *
 *   blocked/DIGEST  {"until": Unix ms}, or {"cleared": true}
 *
 * The first node in relay order (rank 0) writes these keys.  Each other node
 * waits STAGGER_MS per rank and writes a key only if no other node has written
 * it.  The deletion of a key doesn't clear its request, because the lease may
 * have ended early; a node that still blocks the request writes the key again.
 */

/** Delay per rank before a node writes a key. */
#define STAGGER_MS ((clk_ms)150)
/** Delay before a failed call is repeated. */
#define RETRY_MS ((clk_ms)1000)
/** How long a lease is reused for further keys after it was granted. */
#define LEASE_REUSE_MS ((clk_ms)30000)
/** Lease of a key that marks its request as cleared.  All nodes that reach the
    store must read the key in this time. */
#define CLEARED_LEASE_MS ((clk_ms)30000)
/** Maximum number of tracked keys. */
#define MAX_KEYS 256

/** A request that is blocked or has a key in the store. */
struct blocked_key
{
  uint64_t digest;
  bool stored;       /**< the store has it as blocked */
  bool cleared;      /**< to be written as cleared */
  clk_ms not_before; /**< earliest time of the next call */
};

struct srv_poison
{
  struct srv *s;
  struct blocked_key keys[MAX_KEYS];
  size_t n;
  int64_t lease;
  clk_ms granted_at;
  bool call_pending;
  uint64_t call_digest; /**< request whose key is being written */
  bool as_blocked;      /**< written as blocked; false: as cleared */
  struct buf key;
};

static struct blocked_key *
find_key (struct srv_poison *k, uint64_t digest)
{
  for (size_t i = 0; i < k->n; i++)
    if (k->keys[i].digest == digest)
      return &k->keys[i];
  return NULL;
}

static struct blocked_key *
find_or_add_key (struct srv_poison *k, uint64_t digest)
{
  struct blocked_key *b = find_key (k, digest);

  if (b || k->n == MAX_KEYS)
    return b;
  b = &k->keys[k->n++];
  *b = (struct blocked_key){ .digest = digest };
  return b;
}

static clk_ms
stagger_ms (const struct srv *s)
{
  return (clk_ms)srv_node_rank (s) * STAGGER_MS;
}

void
srv_poison_changed (struct srv *s, clk_ms now, uint64_t digest, bool blocked)
{
  struct srv_poison *k = s->poison_keys;
  struct blocked_key *b
      = blocked ? find_or_add_key (k, digest) : find_key (k, digest);

  if (!b)
    return;
  b->cleared = !blocked;
  b->not_before = now + stagger_ms (s);
}

/* --- keys read from the store -------------------------------------------- */

static void
apply_blocked (struct srv_poison *k, clk_ms now, uint64_t digest, clk_ms hold)
{
  struct blocked_key *b = find_or_add_key (k, digest);

  if (b)
    b->stored = true;
  if (hold <= 0)
    return;
  psn_apply (
      k->s->poison, now,
      &(struct psn_update){ .kind = PSN_BLOCKED,
                            .digest = digest,
                            .hold_ms = hold < PSN_HOLD_MS ? hold : PSN_HOLD_MS,
                            .broadcast = true });
}

static void
apply_cleared (struct srv_poison *k, clk_ms now, uint64_t digest)
{
  struct blocked_key *b = find_key (k, digest);

  if (b)
    b->stored = b->cleared = false;
  psn_apply (k->s->poison, now,
             &(struct psn_update){
                 .kind = PSN_CLEARED, .digest = digest, .broadcast = true });
}

static void
apply_deleted (struct srv_poison *k, clk_ms now, uint64_t digest)
{
  struct blocked_key *b = find_key (k, digest);

  if (!b || !b->stored)
    return;
  b->stored = false;
  b->not_before = now + stagger_ms (k->s);
}

static void
apply_value (struct srv_poison *k, clk_ms now, uint64_t digest,
             struct str value)
{
  struct json_object *o = jsn_parse (value);

  if (jsn_bool (o, "cleared"))
    apply_cleared (k, now, digest);
  else
    apply_blocked (k, now, digest, jsn_int (o, "until") - clk_wall ());
  json_object_put (o);
}

void
srv_poison_store_item (struct srv *s, bool deleted, struct str name,
                       struct str value)
{
  struct srv_poison *k = s->poison_keys;
  clk_ms now = clk_now ();
  uint8_t bytes[sizeof (uint64_t)];
  uint64_t digest = 0;

  if (!str_to_bytes (name, bytes, sizeof bytes))
    return;
  for (size_t i = 0; i < sizeof bytes; i++)
    digest = digest << 8 | bytes[i];
  if (deleted)
    apply_deleted (k, now, digest);
  else
    apply_value (k, now, digest, value);
  srv_poison_process (s);
}

void
srv_poison_store_reread (struct srv *s)
{
  struct srv_poison *k = s->poison_keys;

  for (size_t i = 0; i < k->n; i++)
    {
      k->keys[i].stored = false;
      k->keys[i].not_before = clk_now () + RETRY_MS + stagger_ms (s);
    }
}

/* --- writing keys -------------------------------------------------------- */

static void
call_ended (struct srv_poison *k, enum store_status status)
{
  struct blocked_key *b = find_key (k, k->call_digest);
  clk_ms now = clk_now ();

  k->call_pending = false;
  if (status == STORE_GONE)
    k->lease = 0;
  if (b && status == STORE_OK)
    {
      b->stored = k->as_blocked;
      b->cleared = b->cleared && k->as_blocked;
    }
  else if (b)
    b->not_before = now + RETRY_MS;
  pau_call_ended (&k->s->store_backoff, now, status, &k->s->rng);
}

static void
on_written (void *ctx, const struct store_result *r)
{
  call_ended (ctx, r->status);
}

static void
write_key (struct srv_poison *k, int64_t lease)
{
  struct buf value = BUF_INIT;
  struct store_put put = { .key = buf_str (&k->key), .lease = lease };
  struct store_txn txn = { .puts = &put, .nputs = 1 };
  clk_ms until = clk_wall () + PSN_HOLD_MS;

  if (k->as_blocked)
    buf_addf (&value, "{\"until\":%lld}", (long long)until);
  else
    buf_add_c (&value, "{\"cleared\":true}");
  put.value = buf_str (&value);
  store_txn (k->s->store, STORE_ROSTER, &txn, on_written, k);
  buf_free (&value);
}

static void
on_granted (void *ctx, const struct store_result *r)
{
  struct srv_poison *k = ctx;

  if (r->status != STORE_OK)
    {
      call_ended (k, r->status);
      return;
    }
  if (k->as_blocked)
    {
      k->lease = r->lease;
      k->granted_at = clk_now ();
    }
  write_key (k, r->lease);
}

static void
begin_call (struct srv_poison *k, clk_ms now, const struct blocked_key *b)
{
  k->call_pending = true;
  k->call_digest = b->digest;
  k->as_blocked = !b->cleared;
  buf_clear (&k->key);
  buf_addf (&k->key, "%sblocked/%016llx", k->s->adapter->own_prefix,
            (unsigned long long)b->digest);
  pau_call_started (&k->s->store_backoff);
  if (k->as_blocked && k->lease && now - k->granted_at < LEASE_REUSE_MS)
    write_key (k, k->lease);
  else
    store_lease_grant (k->s->store,
                       k->as_blocked ? PSN_HOLD_MS : CLEARED_LEASE_MS,
                       on_granted, k);
}

void
srv_poison_store_tick (struct srv *s, clk_ms now)
{
  struct srv_poison *k = s->poison_keys;

  if (k->n == 0 || k->call_pending || s->stopping_since || srv_is_leaf (s)
      || !pau_may_call (&s->store_backoff, now))
    return;
  for (size_t i = 0; i < k->n; i++)
    {
      struct blocked_key *b = &k->keys[i];
      bool blocked = psn_is_blocked (s->poison, b->digest);
      bool needs_write = b->cleared ? b->stored : blocked && !b->stored;
      if (needs_write && now >= b->not_before)
        {
          begin_call (k, now, b);
          return;
        }
      if (!needs_write && !blocked && !b->stored)
        *b = k->keys[--k->n];
    }
}

void
srv_poison_store_start (struct srv *s)
{
  s->poison_keys = xcalloc (1, sizeof *s->poison_keys);
  s->poison_keys->s = s;
}
