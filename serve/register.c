#include "serve/node-int.h"

#include <stdlib.h>
#include <string.h>

#include "base/json.h"

/*
 * Keys of this project in the store, below the adapter's own prefix:
 *
 *   nodes/NODE  addresses of a node, under its lease
 *   secret      shared by the nodes to authenticate the links between them
 *   duty        the leader, which sends orders to backend servers; see duty.c
 *   blocked/    poison requests that are blocked; see poison-store.c
 *   mix         mean requests of each model; see mix-store.c
 */

/** Lease of a node's entry.  Other nodes need the entry only to find this
    node; they detect its failure much earlier, by their links.  With a lease
    of 6 s, renewals were half of all store calls of a day. */
#define LEASE_MS ((clk_ms)15000)
#define RENEW_MS (LEASE_MS / 3)
#define RETRY_MS ((clk_ms)250)
/** Delay of the first watch.  At the start of the whole system, nodes register
    within 0.3 s of each other; watches that start after that return the
    entries together instead of one by one to every node. */
#define SETTLE_MS ((clk_ms)500)
/** At the start of the whole system, a missing secret is written this long
    after SETTLE_MS, plus this time per rank of the writing node. */
#define SECRET_STAGGER_MS ((clk_ms)50)
#define SECRET_BYTES 32
/** Number of nodes that write the secret again after a restore, before their
    entries: a node that starts and finds entries without a secret would make
    one of its own. */
#define SECRET_WRITERS 3
/** Stagger, per rank, of the rewriting of entries that the store has lost. */
#define ENTRY_STAGGER_MS ((clk_ms)10)
/** A leaf that receives nothing from a leader does not read the store for this
    long: within two or three seconds there is a new leader with links to all
    nodes.  With reads by every node in the meantime, each change would cost as
    many calls as there are nodes. */
#define NO_LEADER_GRACE_MS ((clk_ms)4000)

struct srv_register
{
  struct srv *s;
  struct buf prefix, end, node_key, secret_key, leader_key, mix_key;
  struct store_watch *watch;
  clk_ms next_watch; /* CLK_NEVER: it is running, or starts after the next
                        full read */
  int64_t revision;  /* store revision up to which changes were seen */
  bool reading;
  clk_ms next_read; /* CLK_NEVER: no full read is due */
  /* This node's entry. */
  int64_t lease;
  bool entry_written;
  int64_t entry_era;  /* restore counter of the store when it was written */
  int64_t known_era;  /* the last one that this node has acted upon */
  int64_t first_era;  /* of the first read; 0: none yet */
  clk_ms restored_at; /* when it learned of the last restore */
  bool secret_lost;   /* the restore may have lost the secret */
  bool call_in_flight;
  clk_ms call_due_at;
  struct store_compare compare;
  struct store_put put;
  struct buf value;
  /* Contents of the store. */
  struct buf secret;
  bool secret_stored;    /* the store has a secret */
  bool secret_written;   /* this node or another one has written it; the watch
                            returns it */
  clk_ms secret_due_at;  /* earliest write by the node of rank 0 */
  bool links_started;    /* links to other nodes were started */
  clk_ms leader_seen_at; /* when a leader was last linked */
  bool has_leader;
  struct node_record *nodes;
  size_t nnodes;
};

struct node_record
{
  char *key;
  struct srv_node_entry e;
  char *name;
};

/* --- contents of the store ---------------------------------------------- */

static void
remove_node (struct srv_register *g, struct str key)
{
  for (size_t i = 0; i < g->nnodes; i++)
    if (str_is (key, g->nodes[i].key))
      {
        free (g->nodes[i].key);
        free (g->nodes[i].name);
        g->nodes[i] = g->nodes[--g->nnodes];
        return;
      }
}

static void
apply_node (struct srv_register *g, const struct store_kv *kv)
{
  struct json_object *o = jsn_parse (kv->value);
  struct node_record n = { 0 };
  struct str prefix = buf_str (&g->prefix);

  remove_node (g, kv->key);
  if (net_addr_parse (jsn_str (o, "front"), false, &n.e.front)
      && net_addr_parse (jsn_str (o, "peer"), false, &n.e.peer))
    {
      n.e.spec.link_bytes_per_s = jsn_double (o, "link_bytes_per_s");
      n.e.spec.cpu_share = jsn_double (o, "cpu_share");
      n.key = str_dup (kv->key);
      n.name = str_dup (str_skip (kv->key, prefix.len + sizeof "nodes/" - 1));
      n.e.node = str_from (n.name);
      n.e.spec.hash = str_hash (n.e.node, 0);
      g->nodes = xrealloc (g->nodes, (g->nnodes + 1) * sizeof *g->nodes);
      g->nodes[g->nnodes++] = n;
    }
  json_object_put (o);
}

static bool
is_node_key (const struct srv_register *g, struct str key)
{
  return str_starts (str_skip (key, g->prefix.len), STR ("nodes/"));
}

static void
update_peers (struct srv_register *g)
{
  struct srv_node_entry *list = xcalloc (g->nnodes + 1, sizeof *list);

  for (size_t i = 0; i < g->nnodes; i++)
    list[i] = g->nodes[i].e;
  srv_peers_set_entries (g->s, list, g->nnodes);
  free (list);
}

/** @param kv  NULL: the key does not exist */
static void
apply_leader_key (struct srv_register *g, const struct store_kv *kv)
{
  struct json_object *o = kv ? jsn_parse (kv->value) : NULL;
  struct srv_leader_key key = { .revision = kv ? kv->mod_rev : 0,
                                .node = jsn_str (o, "node"),
                                .boot = (uint64_t)jsn_int (o, "boot") };

  g->has_leader = kv != NULL;
  srv_leader_key_changed (g->s, &key);
  json_object_put (o);
}

static bool
is_blocked_key (const struct srv_register *g, struct str key)
{
  return str_starts (str_skip (key, g->prefix.len), STR ("blocked/"));
}

static bool
read_secret (const struct srv_register *g, struct link_secret *out)
{
  return g->secret.len
         && str_to_bytes (buf_str (&g->secret), out->key, SECRET_BYTES);
}

/** The secret in the store takes precedence: after the store was restored
    from an older copy of its data, a node that had no secret may have written
    a new one. */
static void
apply_secret (struct srv_register *g, struct str value)
{
  struct link_secret secret;

  g->secret_stored = true;
  if (str_eq (value, buf_str (&g->secret)))
    return;
  buf_clear (&g->secret);
  buf_add (&g->secret, value);
  if (g->links_started && read_secret (g, &secret))
    srv_peers_set_secret (g->s, &secret);
}

/** The store has lost this node's entry, for example because it was restored
    from an older copy. */
static void
schedule_entry_rewrite (struct srv_register *g)
{
  g->entry_written = false;
  g->call_due_at = clk_now () + srv_node_rank (g->s) * ENTRY_STAGGER_MS;
}

/** This node's entry was read after a restore of the store.  If a write of
    before the restore, which the store executed late, has replaced it, its
    lease is not the one that this node renews.
    @param kv  NULL: it was deleted */
static void
check_own_entry (struct srv_register *g, const struct store_kv *kv)
{
  if (srv_register_seen_restore (g->s) && g->entry_written
      && !g->call_in_flight && (!kv || kv->lease != g->lease))
    schedule_entry_rewrite (g);
}

static void
apply_item (struct srv_register *g, bool deleted, const struct store_kv *kv)
{
  if (is_node_key (g, kv->key))
    {
      if (str_eq (kv->key, buf_str (&g->node_key)))
        check_own_entry (g, deleted ? NULL : kv);
      if (deleted)
        remove_node (g, kv->key);
      else
        apply_node (g, kv);
    }
  else if (str_eq (kv->key, buf_str (&g->leader_key)))
    apply_leader_key (g, deleted ? NULL : kv);
  else if (is_blocked_key (g, kv->key))
    srv_poison_store_item (
        g->s, deleted,
        str_skip (kv->key, g->prefix.len + sizeof "blocked/" - 1), kv->value);
  else if (str_eq (kv->key, buf_str (&g->mix_key)))
    srv_mix_store_item (g->s, deleted, kv->value);
  else if (!deleted && str_eq (kv->key, buf_str (&g->secret_key)))
    apply_secret (g, kv->value);
}

struct rly_node
srv_self_spec (const struct srv *s)
{
  return (struct rly_node){ str_hash (s->settings.node, 0),
                            s->settings.link_bytes_per_s,
                            s->settings.cpu_share };
}

unsigned
srv_node_rank (const struct srv *s)
{
  const struct srv_register *g = s->registration;
  struct rly_node self = srv_self_spec (s);
  unsigned rank = 0;

  for (size_t i = 0; i < g->nnodes; i++)
    rank += rly_cmp (&g->nodes[i].e.spec, &self) < 0;
  return rank;
}

bool
srv_is_leaf (const struct srv *s)
{
  /* A node that is starting has not read the entries of other nodes yet. */
  return s->registration && s->registration->nnodes > RLY_FULL_MESH_MAX
         && srv_node_rank (s) >= RLY_LINKS_PER_NODE;
}

/**
 * Whether this node receives the entries of other nodes over its links: it is
 * a leaf, and there is a leader.
 */
static bool
may_skip_reads (struct srv_register *g, clk_ms now)
{
  /* The leader sends the entries to all others, so it has to read them. */
  if (srv_is_leader (g->s))
    return false;
  if (srv_peers_has_leader (g->s, now))
    g->leader_seen_at = now;
  return g->leader_seen_at && now - g->leader_seen_at < NO_LEADER_GRACE_MS
         && srv_is_leaf (g->s);
}

bool
srv_register_seen_restore (const struct srv *s)
{
  const struct srv_register *g = s->registration;

  return g && g->first_era && store_era (s->store) > g->first_era;
}

bool
srv_register_leader_vacant (const struct srv *s)
{
  struct srv_register *g = s->registration;

  /* Without a watch this node may not have read that another became leader. */
  return g && g->next_read == CLK_NEVER && !g->has_leader
         && !may_skip_reads (g, clk_now ());
}

static void
start_links (struct srv_register *g)
{
  struct link_secret secret;
  struct buf err = BUF_INIT;

  if (g->links_started || !read_secret (g, &secret))
    return;
  g->links_started = srv_peers_start (g->s, &secret, &err);
  buf_free (&err);
}

static void
on_watch_events (void *ctx, int64_t revision,
                 const struct store_watch_event *ev, size_t n)
{
  struct srv_register *g = ctx;

  if (revision > g->revision)
    g->revision = revision;
  if (g->watch)
    store_watch_stop (g->watch);
  g->watch = NULL;
  for (size_t i = 0; i < n; i++)
    apply_item (g, ev[i].deleted, &ev[i].kv);
  start_links (g);
  update_peers (g);
  g->next_watch
      = clk_now ()
        + pau_watch_delay_ms (g->nnodes, srv_node_rank (g->s),
                              !g->links_started || srv_is_leader (g->s));
}

static void
on_watch_end (void *ctx, enum store_status why)
{
  struct srv_register *g = ctx;

  (void)why; /* whatever the reason, all keys are read again */
  g->watch = NULL;
  g->next_watch = CLK_NEVER;
  g->next_read = clk_now () + RETRY_MS;
}

/** Apply a full read: keys that are not in it no longer exist. */
static void
apply_all (struct srv_register *g, const struct store_result *r)
{
  bool leader_key_seen = false, own_entry_seen = false;

  while (g->nnodes > 0)
    remove_node (g, str_from (g->nodes[0].key));
  g->secret_stored = g->secret_written = false;
  srv_poison_store_reread (g->s);
  srv_mix_store_reread (g->s);
  for (size_t i = 0; i < r->nkvs; i++)
    {
      apply_item (g, false, &r->kvs[i]);
      leader_key_seen = leader_key_seen
                        || str_eq (r->kvs[i].key, buf_str (&g->leader_key));
      own_entry_seen
          = own_entry_seen || str_eq (r->kvs[i].key, buf_str (&g->node_key));
    }
  if (!leader_key_seen)
    apply_leader_key (g, NULL);
  if (!own_entry_seen && g->entry_written)
    schedule_entry_rewrite (g);
  start_links (g);
  update_peers (g);
}

static void
begin_watch (struct srv_register *g)
{
  static const struct store_watch_cb cb = { on_watch_events, on_watch_end };

  g->next_watch = CLK_NEVER;
  g->watch = store_watch (g->s->store, buf_str (&g->prefix), buf_str (&g->end),
                          g->revision + 1, &cb, g);
}

static void
on_read (void *ctx, const struct store_result *r)
{
  struct srv_register *g = ctx;

  g->reading = false;
  pau_call_ended (&g->s->store_backoff, clk_now (), r->status, &g->s->rng);
  if (r->status != STORE_OK)
    {
      g->next_read = clk_now () + RETRY_MS;
      return;
    }
  g->next_read = CLK_NEVER;
  if (!g->first_era)
    g->first_era = r->era;
  if (g->revision == 0 && r->nkvs == 0)
    g->s->store_was_empty = true;
  g->revision = r->revision;
  apply_all (g, r);
  if (g->s->settings.first_start && g->secret.len == 0)
    {
      g->next_watch = clk_now () + SETTLE_MS;
      g->secret_due_at = g->next_watch + SECRET_STAGGER_MS;
    }
  else if (g->nnodes > RLY_FULL_MESH_MAX)
    g->next_watch = clk_now () + SETTLE_MS; /* the links are up by then */
  else
    begin_watch (g);
}

/* --- this node's entry -------------------------------------------------- */

static void
begin_call (struct srv_register *g)
{
  g->call_in_flight = true;
  pau_call_started (&g->s->store_backoff);
}

static void
end_call (struct srv_register *g, enum store_status status, clk_ms wait)
{
  clk_ms now = clk_now ();

  g->call_in_flight = false;
  g->call_due_at = now + wait;
  pau_call_ended (&g->s->store_backoff, now, status, &g->s->rng);
}

static void
on_entry_written (void *ctx, const struct store_result *r)
{
  struct srv_register *g = ctx;
  int64_t era = store_era (g->s->store);

  g->entry_written = r->status == STORE_OK;
  if (g->entry_written && g->entry_era && era > g->entry_era)
    LOG (entry_rewritten, LOG_I ("era", era),
         LOG_I ("after_ms", clk_now () - g->restored_at));
  if (g->entry_written)
    g->entry_era = era;
  if (r->status == STORE_GONE)
    g->lease = 0;
  /* If the answer was lost, writing the same value again is harmless. */
  end_call (g, r->status, g->entry_written ? RENEW_MS : RETRY_MS);
}

static void
write_entry (struct srv_register *g)
{
  struct store_txn txn = { .puts = &g->put, .nputs = 1 };

  begin_call (g);
  g->put = (struct store_put){ buf_str (&g->node_key), buf_str (&g->value),
                               g->lease };
  store_txn (g->s->store, STORE_ROSTER, &txn, on_entry_written, g);
}

static void
on_granted (void *ctx, const struct store_result *r)
{
  struct srv_register *g = ctx;

  if (r->status != STORE_OK)
    {
      end_call (g, r->status, RETRY_MS);
      return;
    }
  g->lease = r->lease;
  write_entry (g);
}

static void
on_lease_renewed (void *ctx, const struct store_result *r)
{
  struct srv_register *g = ctx;

  if (r->status == STORE_GONE)
    {
      g->lease = 0;
      g->entry_written = false;
    }
  end_call (g, r->status, r->status == STORE_OK ? RENEW_MS : RETRY_MS);
}

static void
on_secret (void *ctx, const struct store_result *r)
{
  struct srv_register *g = ctx;

  /* On a conflict, another node has written the secret; in both cases the
     watch returns it. */
  g->secret_written = r->status == STORE_OK || r->status == STORE_CONFLICT;
  if (r->status == STORE_OK && g->secret.len)
    LOG (secret_rewritten, LOG_I ("era", store_era (g->s->store)));
  end_call (g, r->status, 0);
}

static void
generate_secret (struct buf *text)
{
  uint8_t bytes[SECRET_BYTES];

  for (size_t i = 0; i < sizeof bytes; i += 8)
    {
      uint64_t x = rng_entropy ();
      memcpy (bytes + i, &x, 8);
    }
  buf_add_hex (text, bytes, sizeof bytes);
}

/** Write a new secret, or the secret of this node if the store has lost it.
    If two nodes do this at once, the store accepts only the first write. */
static void
write_secret (struct srv_register *g)
{
  struct buf text = BUF_INIT;
  struct store_txn txn = {
    .compares = &g->compare, .ncompares = 1, .puts = &g->put, .nputs = 1
  };

  if (g->secret.len)
    buf_add (&text, buf_str (&g->secret));
  else
    generate_secret (&text);
  begin_call (g);
  g->secret_lost = false;
  g->compare = (struct store_compare){ buf_str (&g->secret_key), 0 };
  g->put = (struct store_put){ buf_str (&g->secret_key), buf_str (&text), 0 };
  store_txn (g->s->store, STORE_ROSTER, &txn, on_secret, g);
  buf_free (&text);
}

/** Whether the secret is missing in the store and this node should write it
    now. */
static bool
should_write_secret (const struct srv_register *g, clk_ms now)
{
  return g->next_read == CLK_NEVER && !g->secret_stored && !g->secret_written
         && (g->nnodes > 0 || !g->s->settings.first_start)
         && now >= g->secret_due_at + srv_node_rank (g->s) * SECRET_STAGGER_MS;
}

/** After a restore of the store, write this node's entry again under a new
    lease: whether the copy has them is not known. */
static void
check_restore (struct srv_register *g)
{
  int64_t era = store_era (g->s->store);

  if (g->call_in_flight || !g->entry_era || era == g->known_era)
    return;
  g->known_era = era;
  if (era == g->entry_era)
    return;
  g->lease = 0;
  g->restored_at = clk_now ();
  g->secret_lost = g->secret.len > 0 && srv_node_rank (g->s) < SECRET_WRITERS;
  schedule_entry_rewrite (g);
}

static void
make_due_call (struct srv_register *g, clk_ms now)
{
  if (g->secret_lost || should_write_secret (g, now))
    write_secret (g);
  else if (g->s->stopping_since)
    return;
  else if (g->lease == 0)
    {
      begin_call (g);
      store_lease_grant (g->s->store, LEASE_MS, on_granted, g);
    }
  else if (!g->entry_written)
    write_entry (g);
  else
    {
      begin_call (g);
      store_lease_keep (g->s->store, g->lease, on_lease_renewed, g);
    }
}

/** Start the next watch of a new leader sooner; its delay may have been
    computed before this node became leader. */
static void
advance_watch (struct srv_register *g, clk_ms now)
{
  clk_ms soonest
      = now + pau_watch_delay_ms (g->nnodes, srv_node_rank (g->s), true);

  if (srv_is_leader (g->s) && g->next_watch != CLK_NEVER
      && g->next_watch > soonest)
    g->next_watch = soonest;
}

void
srv_register_tick (struct srv *s, clk_ms now)
{
  struct srv_register *g = s->registration;

  advance_watch (g, now);
  check_restore (g);
  pau_set_pushed (&s->store_backoff, now,
                  may_skip_reads (g, now) && srv_peers_has_leader (s, now)
                      && bks_has_list (s->backends),
                  &s->rng);
  if (!g->reading && now >= g->next_read
      && pau_may_call (&s->store_backoff, now))
    {
      g->reading = true;
      pau_call_started (&s->store_backoff);
      store_range (s->store, STORE_ROSTER, buf_str (&g->prefix),
                   buf_str (&g->end), on_read, g);
    }
  if (now >= g->next_watch && !may_skip_reads (g, now))
    begin_watch (g);
  if (!g->call_in_flight
      && (now >= g->call_due_at || should_write_secret (g, now))
      && pau_may_call (&s->store_backoff, now))
    make_due_call (g, now);
}

static void
on_revoked (void *ctx, const struct store_result *r)
{
  (void)ctx; /* the lease expires if it could not be revoked */
  (void)r;
}

void
srv_register_revoke (struct srv *s)
{
  if (s->registration->lease)
    store_lease_revoke (s->store, s->registration->lease, on_revoked,
                        s->registration);
}

static void
add_addr (struct buf *out, const char *key, const struct net_addr *a)
{
  buf_addf (out, "\"%s\":\"", key);
  net_addr_format (a, out);
  buf_add_c (out, "\"");
}

void
srv_register_start (struct srv *s)
{
  struct srv_register *g = xcalloc (1, sizeof *g);

  g->s = s;
  s->registration = g;
  /* Other nodes are running, and this node will have a link to the leader
     shortly. */
  g->leader_seen_at = s->settings.first_start ? 0 : clk_now ();
  g->next_watch = CLK_NEVER;
  buf_add_c (&g->prefix, s->adapter->own_prefix);
  store_prefix_end (buf_str (&g->prefix), &g->end);
  buf_addf (&g->node_key, "%snodes/%.*s", s->adapter->own_prefix,
            STR_ARG (s->settings.node));
  buf_addf (&g->secret_key, "%ssecret", s->adapter->own_prefix);
  buf_addf (&g->leader_key, "%sduty", s->adapter->own_prefix);
  buf_addf (&g->mix_key, "%smix", s->adapter->own_prefix);
  buf_add_char (&g->value, '{');
  add_addr (&g->value, "front", &s->settings.front);
  buf_add_char (&g->value, ',');
  add_addr (&g->value, "peer", &s->settings.peer);
  buf_addf (&g->value,
            ",\"boot\":%llu,\"link_bytes_per_s\":%.0f,\"cpu_share\":%.3f}",
            (unsigned long long)s->boot, s->settings.link_bytes_per_s,
            s->settings.cpu_share);
  srv_register_tick (s, clk_now ());
}
