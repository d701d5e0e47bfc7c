#include "config/spread-int.h"

#include <string.h>

/* So that those who got it first are not asked by everybody at once: more
   offers come in meanwhile, and one of them is chosen at random. */
#define CHOOSE_AFTER ((clk_ms)100)
#define CHUNK_WAIT (2 * CLK_SECOND)

static bool
same_version (const struct spr_version *a, const struct spr_version *b)
{
  return a->revision == b->revision
         && memcmp (a->hash, b->hash, DIG_SIZE) == 0;
}

static void
choose_later (struct spr *s)
{
  clk_ms at = s->now + (clk_ms)rng_below (&s->rng, CHOOSE_AFTER);

  if (!s->fetch.open && at < s->choose_at)
    s->choose_at = at;
}

/** Give up the present fetch; another peer is chosen. */
static void
abandon (struct spr *s)
{
  s->fetch.open = false;
  buf_free (&s->fetch.got);
  choose_later (s);
}

/** As abandon(), and don't choose this peer again until it offers anew. */
static void
abandon_peer (struct spr *s)
{
  struct spr_peer *p = spr_peer (s, s->fetch.peer);

  if (p)
    p->has.revision = 0;
  abandon (s);
}

/** A random one of the peers with the highest revision above ours. */
static struct spr_peer *
choose (struct spr *s)
{
  struct spr_peer *best = NULL;
  uint64_t ties = 0;

  for (size_t i = 0; i < s->npeers; i++)
    {
      struct spr_peer *p = &s->peers[i];
      if (p->has.revision <= s->cur.revision
          || (best && p->has.revision < best->has.revision))
        continue;
      if (!best || p->has.revision > best->has.revision)
        ties = 0;
      if (rng_below (&s->rng, ++ties) == 0)
        best = p;
    }
  return best;
}

static void
begin (struct spr *s, const struct spr_peer *p)
{
  struct spr_action *a = spr_act (s, SPR_SEND_WANT);

  s->fetch.open = true;
  s->fetch.peer = p->id;
  s->fetch.want = p->has;
  s->fetch.deadline = s->now + CHUNK_WAIT;
  buf_free (&s->fetch.got);
  a->peer = p->id;
  a->revision = p->has.revision;
  memcpy (a->hash, p->has.hash, DIG_SIZE);
}

void
spr_fetch_tick (struct spr *s)
{
  struct spr_peer *p;

  if (s->fetch.open && s->now >= s->fetch.deadline)
    {
      s->counts.timeouts++;
      abandon_peer (s);
    }
  if (s->fetch.open || s->now < s->choose_at)
    return;
  s->choose_at = CLK_NEVER;
  p = choose (s);
  if (p)
    begin (s, p);
}

void
spr_fetch_peer_gone (struct spr *s, uint64_t peer)
{
  if (s->fetch.open && s->fetch.peer == peer)
    abandon (s);
}

static bool
sound (const struct spr_event *ev)
{
  return ev->revision > 0 && ev->size > 0 && ev->size <= CFG_MAX_TEXT;
}

void
spr_on_have (struct spr *s, const struct spr_event *ev)
{
  struct spr_peer *p = spr_peer (s, ev->peer);

  if (!p)
    return;
  if (ev->revision < s->cur.revision)
    spr_tell (s, p->id);
  if (!sound (ev))
    return;
  p->has.revision = ev->revision;
  p->has.size = ev->size;
  memcpy (p->has.hash, ev->hash, DIG_SIZE);
  /* The peer has moved on and no longer sends what was asked for. */
  if (s->fetch.open && s->fetch.peer == p->id
      && !same_version (&s->fetch.want, &p->has))
    abandon (s);
  if (ev->revision > s->cur.revision)
    choose_later (s);
}

/** Whether the chunk is the next one of the document that is fetched. */
static bool
fits (const struct spr *s, const struct spr_event *ev)
{
  const struct spr_fetch *f = &s->fetch;

  return ev->size == f->want.size && ev->offset == f->got.len
         && ev->bytes.len <= SPR_CHUNK
         && ev->bytes.len <= f->want.size - f->got.len;
}

static void
finish (struct spr *s)
{
  struct spr_version want = s->fetch.want;
  struct buf got = s->fetch.got;

  s->fetch.got = (struct buf)BUF_INIT;
  s->fetch.open = false;
  /* A wrong hash: the peer's copy is bad or it was cut short. */
  if (!spr_adopt (s, &want, buf_str (&got)) && s->cur.revision < want.revision)
    abandon_peer (s);
  buf_free (&got);
  choose_later (s);
}

void
spr_on_chunk (struct spr *s, const struct spr_event *ev)
{
  struct spr_fetch *f = &s->fetch;

  if (!f->open || f->peer != ev->peer || ev->revision != f->want.revision
      || memcmp (ev->hash, f->want.hash, DIG_SIZE) != 0)
    return;
  /* The peer serves others now. */
  if (ev->bytes.len == 0)
    {
      abandon_peer (s);
      return;
    }
  if (!fits (s, ev))
    {
      s->counts.bad_chunks++;
      abandon_peer (s);
      return;
    }
  f->deadline = s->now + CHUNK_WAIT;
  buf_add (&f->got, ev->bytes);
  if (f->got.len == f->want.size)
    finish (s);
}
