#include "serve/node-int.h"

#include <stdlib.h>

#include "base/json.h"

/*
 * Blocked requests and parts of prompts are written to the store with a lease
 * that lasts as long as the block.  Nodes read them after a restart of all
 * nodes, and while the nodes can't reach each other.
 *
 *   blocked/DIGEST   {"until": Unix ms}, or {"cleared": true}
 *   blocked/part-ID  the same; "with": ["ID", ...] lists the parts without
 *                    which the block does not apply
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

#define PART_PREFIX "part-"

/** A request or part that is blocked or has a key in the store. */
struct blocked_key
{
  struct psn_id id;
  bool stored;              /**< the store has it as blocked */
  size_t stored_companions; /**< parts in "with" there */
  bool cleared;             /**< to be written as cleared */
  clk_ms not_before;        /**< earliest time of the next call */
};

struct srv_poison
{
  struct srv *s;
  struct blocked_key keys[MAX_KEYS];
  size_t n;
  int64_t lease;
  clk_ms granted_at;
  bool call_pending;
  struct psn_id call_id; /**< whose key is being written */
  bool as_blocked;       /**< written as blocked; false: as cleared */
  size_t call_companions;
  struct buf key;
};

static struct blocked_key *
find_key (struct srv_poison *k, struct psn_id id)
{
  for (size_t i = 0; i < k->n; i++)
    if (k->keys[i].id.value == id.value && k->keys[i].id.is_part == id.is_part)
      return &k->keys[i];
  return NULL;
}

static struct blocked_key *
find_or_add_key (struct srv_poison *k, struct psn_id id)
{
  struct blocked_key *b = find_key (k, id);

  if (b || k->n == MAX_KEYS)
    return b;
  b = &k->keys[k->n++];
  *b = (struct blocked_key){ .id = id };
  return b;
}

static clk_ms
stagger_ms (const struct srv *s)
{
  return (clk_ms)srv_node_rank (s) * STAGGER_MS;
}

void
srv_poison_changed (struct srv *s, clk_ms now, struct psn_id id, bool blocked)
{
  struct srv_poison *k = s->poison_keys;
  struct blocked_key *b = blocked ? find_or_add_key (k, id) : find_key (k, id);

  if (!b)
    return;
  b->cleared = !blocked;
  b->not_before = now + stagger_ms (s);
}

/* --- keys read from the store -------------------------------------------- */

static bool
parse_number (struct str text, uint64_t *out)
{
  uint8_t bytes[sizeof *out];

  if (!str_to_bytes (text, bytes, sizeof bytes))
    return false;
  *out = 0;
  for (size_t i = 0; i < sizeof bytes; i++)
    *out = *out << 8 | bytes[i];
  return true;
}

static bool
parse_name (struct str name, struct psn_id *out)
{
  out->is_part = str_starts (name, STR (PART_PREFIX));
  if (out->is_part)
    name = str_skip (name, sizeof PART_PREFIX - 1);
  return parse_number (name, &out->value);
}

static void
parse_companions (struct json_object *o, struct psn_update *out)
{
  size_t n;
  struct json_object *list = jsn_array (o, "with", &n);

  for (size_t i = 0; i < n && out->ncompanions < PSN_MAX_COMPANIONS; i++)
    {
      struct json_object *item = json_object_array_get_idx (list, i);
      if (parse_number (str_from (json_object_get_string (item)),
                        &out->companions[out->ncompanions]))
        out->ncompanions++;
    }
}

static void
apply_blocked (struct srv_poison *k, clk_ms now, struct psn_id id,
               struct json_object *o)
{
  clk_ms hold = jsn_int (o, "until") - clk_wall ();
  struct blocked_key *b = find_or_add_key (k, id);
  struct psn_update update
      = { .kind = PSN_BLOCKED,
          .id = id,
          .hold_ms = hold < PSN_HOLD_MS ? hold : PSN_HOLD_MS,
          .broadcast = true };

  parse_companions (o, &update);
  if (b)
    {
      b->stored = true;
      b->stored_companions = update.ncompanions;
    }
  if (hold > 0)
    psn_apply (k->s->poison, now, &update);
}

static void
apply_cleared (struct srv_poison *k, clk_ms now, struct psn_id id)
{
  struct blocked_key *b = find_key (k, id);

  if (b)
    b->stored = b->cleared = false;
  psn_apply (k->s->poison, now,
             &(struct psn_update){
                 .kind = PSN_CLEARED, .id = id, .broadcast = true });
}

static void
apply_deleted (struct srv_poison *k, clk_ms now, struct psn_id id)
{
  struct blocked_key *b = find_key (k, id);

  if (!b || !b->stored)
    return;
  b->stored = false;
  b->not_before = now + stagger_ms (k->s);
}

static void
apply_value (struct srv_poison *k, clk_ms now, struct psn_id id,
             struct str value)
{
  struct json_object *o = jsn_parse (value);

  if (jsn_bool (o, "cleared"))
    apply_cleared (k, now, id);
  else
    apply_blocked (k, now, id, o);
  json_object_put (o);
}

void
srv_poison_store_item (struct srv *s, bool deleted, struct str name,
                       struct str value)
{
  struct srv_poison *k = s->poison_keys;
  clk_ms now = clk_now ();
  struct psn_id id;

  if (!parse_name (name, &id))
    return;
  if (deleted)
    apply_deleted (k, now, id);
  else
    apply_value (k, now, id, value);
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
  struct blocked_key *b = find_key (k, k->call_id);
  clk_ms now = clk_now ();

  k->call_pending = false;
  if (status == STORE_GONE)
    k->lease = 0;
  if (b && status == STORE_OK)
    {
      b->stored = k->as_blocked;
      b->stored_companions = k->call_companions;
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
format_block (struct srv_poison *k, struct buf *out)
{
  struct psn_update block = { 0 };
  clk_ms until = clk_wall () + PSN_HOLD_MS;

  buf_addf (out, "{\"until\":%lld", (long long)until);
  psn_get_block (k->s->poison, clk_now (), k->call_id, &block);
  for (size_t i = 0; i < block.ncompanions; i++)
    buf_addf (out, "%s\"%016llx\"", i ? "," : ",\"with\":[",
              (unsigned long long)block.companions[i]);
  buf_add_c (out, block.ncompanions ? "]}" : "}");
  k->call_companions = block.ncompanions;
}

static void
write_key (struct srv_poison *k, int64_t lease)
{
  struct buf value = BUF_INIT;
  struct store_put put = { .key = buf_str (&k->key), .lease = lease };
  struct store_txn txn = { .puts = &put, .nputs = 1 };

  if (k->as_blocked)
    format_block (k, &value);
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
  k->call_id = b->id;
  k->as_blocked = !b->cleared;
  buf_clear (&k->key);
  buf_addf (&k->key, "%sblocked/%s%016llx", k->s->adapter->own_prefix,
            b->id.is_part ? PART_PREFIX : "", (unsigned long long)b->id.value);
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
      struct psn_update block;
      bool blocked = psn_get_block (s->poison, now, b->id, &block);
      bool is_current
          = b->stored && blocked && block.ncompanions >= b->stored_companions;
      bool needs_write = b->cleared ? b->stored : blocked && !is_current;
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
