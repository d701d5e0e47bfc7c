#include "config/spread.h"

#include <stdlib.h>
#include <string.h>

#include "config/manifest.h"
#include "control/control.h"
#include "fleet/hash.h"

/* Nodes that read the store; others get the configuration from peers. */
#define READERS_PER_ZONE 2

/* Until membership lists the other nodes, each would pick itself as reader,
   and all nodes of a zone that boots at once would read the store. */
#define READER_DELAY_MS ((clk_ms)500)

struct ctl_spread
{
  struct ctl *c;
  struct spr *spr;
  uv_timer_t *timer;
  clk_ms reader_allowed_at;
  bool members_changed;
  bool reader;
  struct store_watch *watch;
  char *manifest_key;
  struct buf doc_key;            /* of the document requested last */
  int64_t doc_revision;          /* of the manifest that names doc_key */
  int64_t logged_lower_revision; /* the last that log_if_lower() logged */
  int64_t revision;
  struct buf text; /* of the configuration in force */
  struct met_series *met_bad;
  struct met_series *met_timeouts;
};

static void handle_event (struct ctl_spread *s, const struct spr_event *ev);

/* --- store -------------------------------------------------------------- */

static void
handle_store_failure (struct ctl_spread *s)
{
  handle_event (s, &(struct spr_event){ .kind = SPR_STORE_FAILED });
}

/* The store lost writes, for instance in a restore; the core rejects the
   revision, because an accepted configuration must not revert. */
static void
log_if_lower (struct ctl_spread *s, int64_t revision)
{
  if (revision >= spr_revision (s->spr)
      || revision == s->logged_lower_revision)
    return;
  s->logged_lower_revision = revision;
  LOG (manifest_lower, LOG_I ("revision", revision),
       LOG_I ("in_force", spr_revision (s->spr)));
}

static bool
read_manifest (struct ctl_spread *s, const struct store_kv *kv,
               struct spr_event *ev)
{
  struct fnd_list findings = { 0 };
  struct arena arena = { NULL };
  struct mft m;
  bool good = mft_parse (kv->value, kv->mod_rev, &arena, &m, &findings)
              && str_to_bytes (m.doc, ev->hash, DIG_SIZE);

  ev->revision = kv->mod_rev;
  if (!good)
    LOG (manifest_unreadable, LOG_I ("revision", kv->mod_rev),
         LOG_C ("reason", findings.n ? findings.items[0].text : "hash"));
  arena_free (&arena);
  fnd_free (&findings);
  return good;
}

static void
handle_manifest (struct ctl_spread *s, const struct store_kv *kv,
                 int64_t read_revision)
{
  struct spr_event ev = { .kind = SPR_STORE_MANIFEST, .seen = read_revision };

  if (kv && !read_manifest (s, kv, &ev))
    {
      handle_store_failure (s);
      return;
    }
  log_if_lower (s, ev.revision);
  handle_event (s, &ev);
}

static void
on_manifest (void *ctx, const struct store_result *r)
{
  struct ctl_spread *s = ctx;

  if (r->status == STORE_OK)
    handle_manifest (s, r->nkvs ? &r->kvs[0] : NULL, r->revision);
  else
    handle_store_failure (s);
}

static void
on_document (void *ctx, const struct store_result *r)
{
  struct ctl_spread *s = ctx;
  struct spr_event ev = { .kind = SPR_STORE_DOCUMENT };

  if (r->status != STORE_OK || r->nkvs == 0)
    {
      handle_store_failure (s);
      return;
    }
  /* The response to an older request: a newer manifest was read since. */
  if (!str_eq (r->kvs[0].key, buf_str (&s->doc_key)))
    return;
  ev.revision = s->doc_revision;
  ev.bytes = r->kvs[0].value;
  handle_event (s, &ev);
}

static void
request_document (struct ctl_spread *s, const struct spr_action *a)
{
  s->doc_revision = a->revision;
  buf_clear (&s->doc_key);
  buf_addf (&s->doc_key, "%sconfig/doc/", s->c->set.store_prefix);
  buf_add_hex (&s->doc_key, a->hash, DIG_SIZE);
  store_range (s->c->store, STORE_CONFIG, buf_str (&s->doc_key), STR_EMPTY,
               on_document, s);
}

static void
on_watch_events (void *ctx, int64_t revision,
                 const struct store_watch_event *ev, size_t n)
{
  struct ctl_spread *s = ctx;

  /* Only the newest event matters; deleting the manifest changes nothing. */
  if (n > 0 && !ev[n - 1].deleted)
    handle_manifest (s, &ev[n - 1].kv, revision);
}

static void
on_watch_end (void *ctx, enum store_status why)
{
  struct ctl_spread *s = ctx;

  s->watch = NULL;
  handle_store_failure (s);
}

static void
stop_watch (struct ctl_spread *s)
{
  if (s->watch)
    store_watch_stop (s->watch);
  s->watch = NULL;
}

static void
start_watch (struct ctl_spread *s, int64_t from)
{
  static const struct store_watch_cb callbacks
      = { .on_events = on_watch_events, .on_end = on_watch_end };

  stop_watch (s);
  s->watch = store_watch (s->c->store, str_from (s->manifest_key), STR_EMPTY,
                          from, &callbacks, s);
}

/* --- peers -------------------------------------------------------------- */

static void
send_have (struct ctl_spread *s, const struct spr_action *a)
{
  Lapis__ConfigHave have = LAPIS__CONFIG_HAVE__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  have.revision = (uint64_t)a->revision;
  have.hash = (ProtobufCBinaryData){ DIG_SIZE, (uint8_t *)a->hash };
  have.size = a->size;
  f.body_case = LAPIS__FRAME__BODY_CONFIG_HAVE;
  f.config_have = &have;
  ctl_peers_send (s->c->peers, a->peer, &f);
}

static void
send_want (struct ctl_spread *s, const struct spr_action *a)
{
  Lapis__ConfigWant want = LAPIS__CONFIG_WANT__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  want.revision = (uint64_t)a->revision;
  want.hash = (ProtobufCBinaryData){ DIG_SIZE, (uint8_t *)a->hash };
  f.body_case = LAPIS__FRAME__BODY_CONFIG_WANT;
  f.config_want = &want;
  ctl_peers_send (s->c->peers, a->peer, &f);
}

/* If the link refuses a chunk, the peer's transfer times out and it requests
   the document from another node. */
static void
send_chunk (struct ctl_spread *s, const struct spr_action *a)
{
  Lapis__ConfigChunk chunk = LAPIS__CONFIG_CHUNK__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;

  chunk.revision = (uint64_t)a->revision;
  chunk.hash = (ProtobufCBinaryData){ DIG_SIZE, (uint8_t *)a->hash };
  chunk.offset = a->offset;
  chunk.size = a->size;
  chunk.bytes = (ProtobufCBinaryData){ a->bytes.len, (uint8_t *)a->bytes.ptr };
  f.body_case = LAPIS__FRAME__BODY_CONFIG_CHUNK;
  f.config_chunk = &chunk;
  ctl_peers_send (s->c->peers, a->peer, &f);
}

void
ctl_spread_on_peer (struct ctl_spread *s, uint64_t peer, bool up)
{
  handle_event (s,
                &(struct spr_event){ .kind = up ? SPR_PEER_UP : SPR_PEER_DOWN,
                                     .peer = peer });
}

static bool
set_hash (struct spr_event *ev, ProtobufCBinaryData hash)
{
  if (hash.len != DIG_SIZE)
    return false;
  memcpy (ev->hash, hash.data, DIG_SIZE);
  return true;
}

void
ctl_spread_on_frame (struct ctl_spread *s, uint64_t peer,
                     const Lapis__Frame *f)
{
  struct spr_event ev = { .peer = peer };
  ProtobufCBinaryData hash;

  switch (f->body_case)
    {
    case LAPIS__FRAME__BODY_CONFIG_HAVE:
      ev.kind = SPR_PEER_HAVE;
      ev.revision = (int64_t)f->config_have->revision;
      ev.size = f->config_have->size;
      hash = f->config_have->hash;
      break;
    case LAPIS__FRAME__BODY_CONFIG_WANT:
      ev.kind = SPR_PEER_WANT;
      ev.revision = (int64_t)f->config_want->revision;
      hash = f->config_want->hash;
      break;
    case LAPIS__FRAME__BODY_CONFIG_CHUNK:
      ev.kind = SPR_PEER_CHUNK;
      ev.revision = (int64_t)f->config_chunk->revision;
      ev.offset = f->config_chunk->offset;
      ev.size = f->config_chunk->size;
      ev.bytes
          = str_make (f->config_chunk->bytes.data, f->config_chunk->bytes.len);
      hash = f->config_chunk->hash;
      break;
    default:
      return;
    }
  if (set_hash (&ev, hash))
    handle_event (s, &ev);
}

/* --- applying ----------------------------------------------------------- */

static void
apply_document (struct ctl_spread *s, const struct spr_action *a)
{
  struct fnd_list findings = { 0 };
  struct cfg *cfg = cfg_parse (a->bytes, a->revision, &findings);

  if (!cfg)
    /* A newer release may have written it, with unknown keys.  The previous
       configuration stays in force, and peers can still fetch this one. */
    LOG (config_unreadable, LOG_I ("revision", a->revision),
         LOG_C ("pointer", findings.items[0].pointer),
         LOG_C ("reason", findings.items[0].text));
  else
    {
      s->revision = a->revision;
      buf_clear (&s->text);
      buf_add (&s->text, a->bytes);
      LOG (config_adopted, LOG_I ("revision", a->revision),
           LOG_I ("bytes", a->bytes.len));
      ctl_config_changed (s->c, cfg, buf_str (&s->text));
      cfg_unref (cfg);
    }
  fnd_free (&findings);
}

static void
run_action (struct ctl_spread *s, const struct spr_action *a)
{
  switch (a->kind)
    {
    case SPR_READ_MANIFEST:
      store_range (s->c->store, STORE_CONFIG, str_from (s->manifest_key),
                   STR_EMPTY, on_manifest, s);
      break;
    case SPR_READ_DOCUMENT:
      request_document (s, a);
      break;
    case SPR_WATCH:
      start_watch (s, a->revision);
      break;
    case SPR_SEND_HAVE:
      send_have (s, a);
      break;
    case SPR_SEND_WANT:
      send_want (s, a);
      break;
    case SPR_SEND_CHUNK:
      send_chunk (s, a);
      break;
    case SPR_IN_FORCE:
      apply_document (s, a);
      break;
    }
}

static void
handle_event (struct ctl_spread *s, const struct spr_event *ev)
{
  struct spr_action a;

  spr_event (s->spr, clk_now (), ev);
  while (spr_next (s->spr, &a))
    run_action (s, &a);
  met_set (s->met_bad, (double)(spr_counts (s->spr)->bad_documents
                                + spr_counts (s->spr)->bad_chunks));
  met_set (s->met_timeouts, (double)spr_counts (s->spr)->timeouts);
}

/* --- readers ------------------------------------------------------------ */

/* Readers of a zone are picked by rendezvous hashing among its live nodes.
   While membership differs between nodes, more or fewer of them read, which
   only costs some store calls. */
static bool
is_reader (struct ctl_spread *s)
{
  struct ctl *c = s->c;
  size_t n;
  size_t nnames = 0;
  size_t picks[READERS_PER_ZONE];
  const struct mbr_node *const *nodes = ctl_swim_nodes (c->swim, &n);
  struct str *names = xcalloc (n + 1, sizeof *names);
  bool found = false;

  for (size_t i = 0; i < n; i++)
    if (nodes[i]->status == MBR_ALIVE && str_is (nodes[i]->zone, c->set.zone))
      names[nnames++] = nodes[i]->name;
  n = nnames ? hash_pick_k (str_from (c->set.zone), names, nnames, picks,
                            READERS_PER_ZONE)
             : 0;
  for (size_t i = 0; i < n; i++)
    found = found || str_is (names[picks[i]], c->set.node);
  free (names);
  return found;
}

static void
update_reader (struct ctl_spread *s)
{
  bool reader = is_reader (s);

  s->members_changed = false;
  if (reader == s->reader)
    return;
  s->reader = reader;
  LOG (config_reader, LOG_C ("on", reader ? "yes" : "no"));
  if (!reader)
    stop_watch (s);
  handle_event (s, &(struct spr_event){ .kind = SPR_READER, .on = reader });
}

/* update_reader() runs with the next tick: members change in bursts, and this
   may be called while a configuration is forwarded. */
void
ctl_spread_on_members_changed (struct ctl_spread *s)
{
  s->members_changed = true;
}

static void
on_tick (uv_timer_t *t)
{
  struct ctl_spread *s = t->data;

  if (s->members_changed && clk_now () >= s->reader_allowed_at)
    update_reader (s);
  handle_event (s, &(struct spr_event){ .kind = SPR_TICK });
}

/* --- start and stop ----------------------------------------------------- */

static void
register_metrics (struct ctl_spread *s)
{
  struct met_reg *met = s->c->met;

  s->met_bad = met_counter (met, "lapisline_config_bad_total",
                            "Documents and chunks that were not taken.", NULL);
  s->met_timeouts
      = met_counter (met, "lapisline_config_timeouts_total",
                     "Transfers from a peer that went silent.", NULL);
}

struct ctl_spread *
ctl_spread_start (struct ctl *c, struct buf *err)
{
  struct ctl_spread *s = xcalloc (1, sizeof *s);
  struct buf key = BUF_INIT;

  s->c = c;
  s->spr = spr_new (rng_next (&c->rng));
  buf_addf (&key, "%sconfig/manifest", c->set.store_prefix);
  s->manifest_key = str_dup (buf_str (&key));
  buf_free (&key);
  s->members_changed = true;
  s->reader_allowed_at = clk_now () + READER_DELAY_MS;
  register_metrics (s);
  s->timer = xcalloc (1, sizeof *s->timer);
  uv_timer_init (c->loop, s->timer);
  s->timer->data = s;
  uv_timer_start (s->timer, on_tick, SPR_TICK_MS, SPR_TICK_MS);
  return s;
}

static void
free_timer (uv_handle_t *h)
{
  free (h);
}

void
ctl_spread_stop (struct ctl_spread *s)
{
  stop_watch (s);
  store_forget (s->c->store, s);
  uv_close ((uv_handle_t *)s->timer, free_timer);
  spr_free (s->spr);
  buf_free (&s->doc_key);
  buf_free (&s->text);
  free (s->manifest_key);
  free (s);
}

struct str
ctl_spread_text (const struct ctl_spread *s)
{
  return buf_str (&s->text);
}

int64_t
ctl_spread_revision (const struct ctl_spread *s)
{
  return s->revision;
}
