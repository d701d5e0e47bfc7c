#include "config/spread-int.h"

#include <stdlib.h>
#include <string.h>

#define TELL_EVERY CLK_SECOND
#define READ_AGAIN (15 * CLK_SECOND)
#define FIRST_BACKOFF ((clk_ms)500)
#define LONGEST_BACKOFF (15 * CLK_SECOND)
#define CHUNKS_PER_TICK 64

struct spr *
spr_new (uint64_t seed)
{
  struct spr *s = xcalloc (1, sizeof *s);

  rng_seed (&s->rng, seed);
  s->choose_at = CLK_NEVER;
  return s;
}

void
spr_free (struct spr *s)
{
  if (!s)
    return;
  buf_free (&s->text);
  buf_free (&s->fetch.got);
  free (s->peers);
  free (s->actions);
  free (s);
}

struct spr_action *
spr_act (struct spr *s, enum spr_action_kind kind)
{
  struct spr_action *a;

  if (s->nactions == s->cap)
    {
      s->cap = s->cap ? 2 * s->cap : 16;
      s->actions = xrealloc (s->actions, s->cap * sizeof *s->actions);
    }
  a = &s->actions[s->nactions++];
  *a = (struct spr_action){ .kind = kind };
  return a;
}

bool
spr_next (struct spr *s, struct spr_action *out)
{
  if (s->next_action == s->nactions)
    return false;
  *out = s->actions[s->next_action++];
  return true;
}

struct spr_peer *
spr_peer (struct spr *s, uint64_t id)
{
  for (size_t i = 0; i < s->npeers; i++)
    if (s->peers[i].id == id)
      return &s->peers[i];
  return NULL;
}

void
spr_tell (struct spr *s, uint64_t peer)
{
  struct spr_action *a = spr_act (s, SPR_SEND_HAVE);

  a->peer = peer;
  a->revision = s->cur.revision;
  a->size = s->cur.size;
  memcpy (a->hash, s->cur.hash, DIG_SIZE);
}

/** Tell all that are not known to have it; what they wait for is old. */
static void
tell_all (struct spr *s)
{
  for (size_t i = 0; i < s->npeers; i++)
    {
      s->peers[i].asked = false;
      if (s->peers[i].has.revision < s->cur.revision)
        spr_tell (s, s->peers[i].id);
    }
}

static bool
hash_fits (const struct spr_version *v, struct str text)
{
  uint8_t digest[DIG_SIZE];

  dig_sha256 (text, digest);
  return memcmp (digest, v->hash, DIG_SIZE) == 0;
}

/* The only place where the document in force changes.  Offers come late, in
   any order and from peers that were cut off: a lower revision would take an
   accepted change back, a text in part would drop entries.  Both are told
   here by revision and hash, whatever way the text came. */
bool
spr_adopt (struct spr *s, const struct spr_version *v, struct str text)
{
  struct spr_action *a;

  if (v->revision <= s->cur.revision)
    return false;
  if (!hash_fits (v, text))
    {
      s->counts.bad_documents++;
      return false;
    }
  s->cur = *v;
  s->cur.size = text.len;
  buf_clear (&s->text);
  buf_add (&s->text, text);
  s->counts.adopted++;
  a = spr_act (s, SPR_IN_FORCE);
  a->revision = s->cur.revision;
  a->bytes = buf_str (&s->text);
  tell_all (s);
  return true;
}

/** Half to all of @p span. */
static clk_ms
jitter (struct spr *s, clk_ms span)
{
  return span / 2 + (clk_ms)rng_below (&s->rng, (uint64_t)span / 2 + 1);
}

static void
store_failed (struct spr *s)
{
  clk_ms wait = FIRST_BACKOFF
                << (s->store.failures < 5 ? s->store.failures : 5);

  s->store.failures++;
  s->store.busy = s->store.watching = false;
  s->store.doc.revision = 0;
  s->store.next
      = s->now + jitter (s, wait < LONGEST_BACKOFF ? wait : LONGEST_BACKOFF);
}

static void
store_settled (struct spr *s)
{
  s->store.busy = false;
  s->store.failures = 0;
  s->store.next = s->now + jitter (s, 2 * READ_AGAIN);
  if (!s->store.reader || s->store.watching)
    return;
  s->store.watching = true;
  spr_act (s, SPR_WATCH)->revision = s->store.seen + 1;
}

static void
on_manifest (struct spr *s, const struct spr_event *ev)
{
  struct spr_action *a;

  s->store.seen = ev->seen;
  if (ev->revision <= s->cur.revision)
    {
      store_settled (s);
      return;
    }
  s->store.busy = true;
  s->store.doc.revision = ev->revision;
  memcpy (s->store.doc.hash, ev->hash, DIG_SIZE);
  a = spr_act (s, SPR_READ_DOCUMENT);
  a->revision = ev->revision;
  memcpy (a->hash, ev->hash, DIG_SIZE);
}

static void
on_document (struct spr *s, const struct spr_event *ev)
{
  /* An answer to an older question: a newer manifest came in between. */
  if (ev->revision != s->store.doc.revision)
    return;
  if (ev->revision > s->cur.revision
      && !spr_adopt (s, &s->store.doc, ev->bytes))
    store_failed (s);
  else
    store_settled (s);
}

static void
on_reader (struct spr *s, bool on)
{
  if (on == s->store.reader)
    return;
  s->store.reader = on;
  s->store.watching = false;
  if (on)
    s->store.next = s->now;
}

static void
store_tick (struct spr *s)
{
  if (!s->store.reader || s->store.busy || s->now < s->store.next)
    return;
  s->store.busy = true;
  spr_act (s, SPR_READ_MANIFEST);
}

static void
on_peer_up (struct spr *s, uint64_t id)
{
  if (spr_peer (s, id))
    return;
  s->peers = xrealloc (s->peers, (s->npeers + 1) * sizeof *s->peers);
  s->peers[s->npeers++] = (struct spr_peer){ .id = id };
  spr_tell (s, id);
}

static void
on_peer_down (struct spr *s, uint64_t id)
{
  struct spr_peer *p = spr_peer (s, id);

  if (!p)
    return;
  *p = s->peers[--s->npeers];
  spr_fetch_peer_gone (s, id);
}

/** One peer a second hears what is in force here. */
static void
tell_tick (struct spr *s)
{
  if (s->now < s->next_tell || s->npeers == 0)
    return;
  s->next_tell = s->now + TELL_EVERY;
  spr_tell (s, s->peers[rng_below (&s->rng, s->npeers)].id);
}

static void
on_tick (struct spr *s)
{
  store_tick (s);
  tell_tick (s);
  spr_fetch_tick (s);
  s->chunks_left = CHUNKS_PER_TICK;
  spr_serve (s);
}

void
spr_event (struct spr *s, clk_ms now, const struct spr_event *ev)
{
  s->now = now;
  s->nactions = s->next_action = 0;
  switch (ev->kind)
    {
    case SPR_TICK:
      on_tick (s);
      break;
    case SPR_STORE_MANIFEST:
      on_manifest (s, ev);
      break;
    case SPR_STORE_DOCUMENT:
      on_document (s, ev);
      break;
    case SPR_STORE_FAILED:
      store_failed (s);
      break;
    case SPR_PEER_UP:
      on_peer_up (s, ev->peer);
      break;
    case SPR_PEER_DOWN:
      on_peer_down (s, ev->peer);
      break;
    case SPR_PEER_HAVE:
      spr_on_have (s, ev);
      break;
    case SPR_PEER_WANT:
      spr_on_want (s, ev);
      break;
    case SPR_PEER_CHUNK:
      spr_on_chunk (s, ev);
      break;
    case SPR_READER:
      on_reader (s, ev->on);
      break;
    }
}

const struct spr_counts *
spr_counts (const struct spr *s)
{
  return &s->counts;
}

int64_t
spr_revision (const struct spr *s)
{
  return s->cur.revision;
}

struct str
spr_document (const struct spr *s)
{
  return buf_str (&s->text);
}
