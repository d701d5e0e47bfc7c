#include "serve/node-int.h"

#include <stdlib.h>
#include <string.h>

#include "base/json.h"

/*
 * Keys of this project in the store, below the adapter's own prefix:
 *
 *   nodes/NODE  where the node is reached, under its lease
 *   secret      by which nodes prove to each other that they belong together
 *   duty        who gives orders to backend servers; see duty.c
 *   blocked/    requests that crash backend servers; see poison-store.c
 */

/** Life of a node's entry without a renewal.  Peers see by their links far
    sooner that it is gone; the entry is how they find it.  Renewals of a lease
    of 6 s were half of all store calls of a day. */
#define LEASE_MS ((clk_ms)15000)
#define RENEW_MS (LEASE_MS / 3)
#define AGAIN_MS ((clk_ms)250)
/** When the whole system starts, nodes come within 0.3 s of each other, and
    each entry would wake each watch; so they are looked at together. */
#define GATHER_MS ((clk_ms)500)
/** Then the first in the order of hubs makes the secret; each of the others
   only if those before it, so far apart, have not. */
#define SECRET_TURN_MS ((clk_ms)50)
#define SECRET_BYTES 32
/** Entries that the store has lost are written again so far apart. */
#define ENTER_TURN_MS ((clk_ms)10)
/** For so long a node that is no hub does without the store when it hears of
    nobody that forms replicas: a new one is found within two or three seconds
    and tells it, and if all looked by themselves meanwhile, each change would
    cost as many calls as there are nodes. */
#define UNLED_MS ((clk_ms)4000)

struct srv_register
{
  struct srv *s;
  struct buf prefix, end, node_key, secret_key, duty_key;
  struct store_watch *watch;
  clk_ms next_watch; /* CLK_NEVER: it runs, or the whole is read first */
  int64_t revision;  /* up to which everything was seen */
  bool reading;
  clk_ms next_read; /* CLK_NEVER: the watch runs */
  /* The own entry. */
  int64_t lease;
  bool entered;
  bool calling;
  clk_ms next_call;
  struct store_compare compare;
  struct store_put put;
  struct buf value;
  /* What the store has. */
  struct buf secret;
  bool secret_stored; /* the store has it */
  bool secret_made;   /* by this node or another; the watch brings it */
  clk_ms next_secret; /* not made by this node before */
  bool linked;        /* the links have begun */
  clk_ms led_at;      /* last time that somebody formed replicas */
  bool duty_held;
  struct known_node *nodes;
  size_t nnodes;
};

struct known_node
{
  char *key;
  struct srv_entry e;
  char *name;
};

/* --- what the store has ------------------------------------------------ */

static void
forget_node (struct srv_register *g, struct str key)
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
take_node (struct srv_register *g, const struct store_kv *kv)
{
  struct json_object *o = jsn_parse (kv->value);
  struct known_node n = { 0 };
  struct str prefix = buf_str (&g->prefix);

  forget_node (g, kv->key);
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
tell_nodes (struct srv_register *g)
{
  struct srv_entry *list = xcalloc (g->nnodes + 1, sizeof *list);

  for (size_t i = 0; i < g->nnodes; i++)
    list[i] = g->nodes[i].e;
  srv_peers_entries (g->s, list, g->nnodes);
  free (list);
}

static void
take_duty (struct srv_register *g, bool held, struct str value)
{
  struct json_object *o = held ? jsn_parse (value) : NULL;

  g->duty_held = held;
  srv_duty_key (g->s, held, jsn_str (o, "node"));
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

/** The store's is the one that counts: after it has come back from an older
    copy, a node that did not know the secret may have made another. */
static void
take_secret (struct srv_register *g, struct str value)
{
  struct link_secret secret;

  g->secret_stored = true;
  if (str_eq (value, buf_str (&g->secret)))
    return;
  buf_clear (&g->secret);
  buf_add (&g->secret, value);
  if (g->linked && read_secret (g, &secret))
    srv_peers_secret (g->s, &secret);
}

static void
take_item (struct srv_register *g, bool deleted, const struct store_kv *kv)
{
  if (is_node_key (g, kv->key))
    {
      if (deleted)
        forget_node (g, kv->key);
      else
        take_node (g, kv);
    }
  else if (str_eq (kv->key, buf_str (&g->duty_key)))
    take_duty (g, !deleted, kv->value);
  else if (is_blocked_key (g, kv->key))
    srv_poison_item (g->s, deleted,
                     str_skip (kv->key, g->prefix.len + sizeof "blocked/" - 1),
                     kv->value);
  else if (!deleted && str_eq (kv->key, buf_str (&g->secret_key)))
    take_secret (g, kv->value);
}

struct hub_node
srv_spec (const struct srv *s)
{
  return (struct hub_node){ str_hash (s->set.node, 0), s->set.link_bytes_per_s,
                            s->set.cpu_share };
}

unsigned
srv_register_rank (const struct srv *s)
{
  const struct srv_register *g = s->reg;
  struct hub_node self = srv_spec (s);
  unsigned rank = 0;

  for (size_t i = 0; i < g->nnodes; i++)
    rank += hub_cmp (&g->nodes[i].e.spec, &self) < 0;
  return rank;
}

bool
srv_register_follows (const struct srv *s)
{
  /* While a node starts it knows of no other. */
  return s->reg && s->reg->nnodes > HUB_MESH_MOST
         && srv_register_rank (s) >= HUB_LINKS;
}

/**
 * Whether this node hears by its links all that the store would tell it of
 * other nodes: it is one of very many, no hub, and somebody forms replicas.
 */
static bool
may_rest (struct srv_register *g, clk_ms now)
{
  /* It tells all others, so it has to know them. */
  if (srv_duty_holds (g->s))
    return false;
  if (srv_peers_led (g->s, now))
    g->led_at = now;
  return g->led_at && now - g->led_at < UNLED_MS
         && srv_register_follows (g->s);
}

bool
srv_register_duty_free (const struct srv *s)
{
  struct srv_register *g = s->reg;

  /* One that rests may not have seen who has taken it. */
  return g && g->next_read == CLK_NEVER && !g->duty_held
         && !may_rest (g, clk_now ());
}

static void
start_links (struct srv_register *g)
{
  struct link_secret secret;
  struct buf err = BUF_INIT;

  if (g->linked || !read_secret (g, &secret))
    return;
  g->linked = srv_peers_start (g->s, &secret, &err);
  buf_free (&err);
}

static void
on_events (void *ctx, int64_t revision, const struct store_watch_event *ev,
           size_t n)
{
  struct srv_register *g = ctx;

  if (revision > g->revision)
    g->revision = revision;
  if (g->watch)
    store_watch_stop (g->watch);
  g->watch = NULL;
  for (size_t i = 0; i < n; i++)
    take_item (g, ev[i].deleted, &ev[i].kv);
  start_links (g);
  tell_nodes (g);
  g->next_watch = clk_now ()
                  + pau_watch_again (g->nnodes, srv_register_rank (g->s),
                                     !g->linked || srv_duty_holds (g->s));
}

static void
on_watch_end (void *ctx, enum store_status why)
{
  struct srv_register *g = ctx;

  (void)why; /* whatever ended it, the whole is read again */
  g->watch = NULL;
  g->next_watch = CLK_NEVER;
  g->next_read = clk_now () + AGAIN_MS;
}

/** The store has lost this node's entry: it came back from an older copy. */
static void
enter_again (struct srv_register *g)
{
  g->entered = false;
  g->next_call = clk_now () + srv_register_rank (g->s) * ENTER_TURN_MS;
}

/** The whole was read: what is not in it is gone. */
static void
take_all (struct srv_register *g, const struct store_result *r)
{
  bool duty = false, own = false;

  while (g->nnodes > 0)
    forget_node (g, str_from (g->nodes[0].key));
  g->secret_stored = g->secret_made = false;
  srv_poison_reread (g->s);
  for (size_t i = 0; i < r->nkvs; i++)
    {
      take_item (g, false, &r->kvs[i]);
      duty = duty || str_eq (r->kvs[i].key, buf_str (&g->duty_key));
      own = own || str_eq (r->kvs[i].key, buf_str (&g->node_key));
    }
  if (!duty)
    take_duty (g, false, STR_EMPTY);
  if (!own && g->entered)
    enter_again (g);
  start_links (g);
  tell_nodes (g);
}

static void
begin_watch (struct srv_register *g)
{
  static const struct store_watch_cb cb = { on_events, on_watch_end };

  g->next_watch = CLK_NEVER;
  g->watch = store_watch (g->s->store, buf_str (&g->prefix), buf_str (&g->end),
                          g->revision + 1, &cb, g);
}

static void
on_read (void *ctx, const struct store_result *r)
{
  struct srv_register *g = ctx;

  g->reading = false;
  pau_ended (&g->s->store_pause, clk_now (), r->status, &g->s->rng);
  if (r->status != STORE_OK)
    {
      g->next_read = clk_now () + AGAIN_MS;
      return;
    }
  g->next_read = CLK_NEVER;
  if (g->revision == 0 && r->nkvs == 0)
    g->s->first_start = true;
  g->revision = r->revision;
  take_all (g, r);
  if (g->s->set.first_start && g->secret.len == 0)
    {
      g->next_watch = clk_now () + GATHER_MS;
      g->next_secret = g->next_watch + SECRET_TURN_MS;
    }
  else if (g->nnodes > HUB_MESH_MOST)
    g->next_watch = clk_now () + GATHER_MS; /* the links are up by then */
  else
    begin_watch (g);
}

/* --- the own entry ----------------------------------------------------- */

static void
begin_call (struct srv_register *g)
{
  g->calling = true;
  pau_called (&g->s->store_pause);
}

static void
call_ended (struct srv_register *g, enum store_status status, clk_ms wait)
{
  clk_ms now = clk_now ();

  g->calling = false;
  g->next_call = now + wait;
  pau_ended (&g->s->store_pause, now, status, &g->s->rng);
}

static void
on_entered (void *ctx, const struct store_result *r)
{
  struct srv_register *g = ctx;

  g->entered = r->status == STORE_OK;
  if (r->status == STORE_GONE)
    g->lease = 0;
  /* A lost answer is settled by writing the same once more. */
  call_ended (g, r->status, g->entered ? RENEW_MS : AGAIN_MS);
}

static void
enter (struct srv_register *g)
{
  struct store_txn txn = { .puts = &g->put, .nputs = 1 };

  begin_call (g);
  g->put = (struct store_put){ buf_str (&g->node_key), buf_str (&g->value),
                               g->lease };
  store_txn (g->s->store, STORE_ROSTER, &txn, on_entered, g);
}

static void
on_granted (void *ctx, const struct store_result *r)
{
  struct srv_register *g = ctx;

  if (r->status != STORE_OK)
    {
      call_ended (g, r->status, AGAIN_MS);
      return;
    }
  g->lease = r->lease;
  enter (g);
}

static void
on_kept (void *ctx, const struct store_result *r)
{
  struct srv_register *g = ctx;

  if (r->status == STORE_GONE)
    {
      g->lease = 0;
      g->entered = false;
    }
  call_ended (g, r->status, r->status == STORE_OK ? RENEW_MS : AGAIN_MS);
}

static void
on_secret (void *ctx, const struct store_result *r)
{
  struct srv_register *g = ctx;

  /* Written or not, the watch shows the one that counts. */
  g->secret_made = r->status == STORE_OK || r->status == STORE_CONFLICT;
  call_ended (g, r->status, 0);
}

static void
draw_secret (struct buf *text)
{
  uint8_t bytes[SECRET_BYTES];

  for (size_t i = 0; i < sizeof bytes; i += 8)
    {
      uint64_t x = rng_entropy ();
      memcpy (bytes + i, &x, 8);
    }
  buf_add_hex (text, bytes, sizeof bytes);
}

/** The first node makes the secret, or writes it again if the store has lost
    it; a race is settled by the store. */
static void
make_secret (struct srv_register *g)
{
  struct buf text = BUF_INIT;
  struct store_txn txn = {
    .compares = &g->compare, .ncompares = 1, .puts = &g->put, .nputs = 1
  };

  if (g->secret.len)
    buf_add (&text, buf_str (&g->secret));
  else
    draw_secret (&text);
  begin_call (g);
  g->compare = (struct store_compare){ buf_str (&g->secret_key), 0 };
  g->put = (struct store_put){ buf_str (&g->secret_key), buf_str (&text), 0 };
  store_txn (g->s->store, STORE_ROSTER, &txn, on_secret, g);
  buf_free (&text);
}

/** Whether the secret is missing and it is this node's turn to make it. */
static bool
lacks_secret (const struct srv_register *g, clk_ms now)
{
  return g->next_read == CLK_NEVER && !g->secret_stored && !g->secret_made
         && (g->nnodes > 0 || !g->s->set.first_start)
         && now >= g->next_secret + srv_register_rank (g->s) * SECRET_TURN_MS;
}

static void
next_call (struct srv_register *g, clk_ms now)
{
  if (lacks_secret (g, now))
    make_secret (g);
  else if (g->s->leaving_since)
    return;
  else if (g->lease == 0)
    {
      begin_call (g);
      store_lease_grant (g->s->store, LEASE_MS, on_granted, g);
    }
  else if (!g->entered)
    enter (g);
  else
    {
      begin_call (g);
      store_lease_keep (g->s->store, g->lease, on_kept, g);
    }
}

/** A node that has just taken the duty may have begun to wait as one of many.
 */
static void
hurry_watch (struct srv_register *g, clk_ms now)
{
  clk_ms soon
      = now + pau_watch_again (g->nnodes, srv_register_rank (g->s), true);

  if (srv_duty_holds (g->s) && g->next_watch != CLK_NEVER
      && g->next_watch > soon)
    g->next_watch = soon;
}

void
srv_register_tick (struct srv *s, clk_ms now)
{
  struct srv_register *g = s->reg;

  hurry_watch (g, now);
  pau_set_pushed (&s->store_pause, now,
                  may_rest (g, now) && srv_peers_led (s, now)
                      && bks_known (s->backends),
                  &s->rng);
  if (!g->reading && now >= g->next_read
      && pau_may_call (&s->store_pause, now))
    {
      g->reading = true;
      pau_called (&s->store_pause);
      store_range (s->store, STORE_ROSTER, buf_str (&g->prefix),
                   buf_str (&g->end), on_read, g);
    }
  if (now >= g->next_watch && !may_rest (g, now))
    begin_watch (g);
  if (!g->calling && (now >= g->next_call || lacks_secret (g, now))
      && pau_may_call (&s->store_pause, now))
    next_call (g, now);
}

void
srv_register_end (struct srv *s)
{
  if (s->reg->lease)
    store_lease_revoke (s->store, s->reg->lease, on_secret, s->reg);
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
  s->reg = g;
  /* Others run already, and whoever leads will be linked in a moment. */
  g->led_at = s->set.first_start ? 0 : clk_now ();
  g->next_watch = CLK_NEVER;
  buf_add_c (&g->prefix, s->ad->own_prefix);
  store_prefix_end (buf_str (&g->prefix), &g->end);
  buf_addf (&g->node_key, "%snodes/%.*s", s->ad->own_prefix,
            STR_ARG (s->set.node));
  buf_addf (&g->secret_key, "%ssecret", s->ad->own_prefix);
  buf_addf (&g->duty_key, "%sduty", s->ad->own_prefix);
  buf_add_char (&g->value, '{');
  add_addr (&g->value, "front", &s->set.front);
  buf_add_char (&g->value, ',');
  add_addr (&g->value, "peer", &s->set.peer);
  buf_addf (&g->value,
            ",\"boot\":%llu,\"link_bytes_per_s\":%.0f,\"cpu_share\":%.3f}",
            (unsigned long long)s->boot, s->set.link_bytes_per_s,
            s->set.cpu_share);
  srv_register_tick (s, clk_now ());
}
