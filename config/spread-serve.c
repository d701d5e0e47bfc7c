#include "config/spread-int.h"

#include <string.h>

#define MAX_SERVED 4

static void
send_chunk (struct spr *s, struct spr_peer *p)
{
  struct spr_action *a = spr_act (s, SPR_SEND_CHUNK);
  struct str rest = str_skip (buf_str (&s->text), p->sent);

  a->peer = p->id;
  a->revision = s->cur.revision;
  memcpy (a->hash, s->cur.hash, DIG_SIZE);
  a->offset = p->sent;
  a->size = s->cur.size;
  a->bytes = str_head (rest, SPR_CHUNK);
  p->sent += a->bytes.len;
  if (p->sent == s->cur.size)
    {
      p->asked = false;
      s->counts.served++;
    }
}

/* One peer after the other: who has it whole can serve others in turn, while
   many that get it in small parts at the same time serve nobody.  The chunks
   of a tick are bounded, as small messages share the links with them. */
void
spr_serve (struct spr *s)
{
  size_t idle = 0;

  while (s->chunks_left > 0 && idle < s->npeers)
    {
      struct spr_peer *p = &s->peers[s->next_serve % s->npeers];
      for (; p->asked && s->chunks_left > 0; s->chunks_left--)
        send_chunk (s, p);
      if (p->asked)
        return;
      s->next_serve = (s->next_serve + 1) % s->npeers;
      idle++;
    }
}

static size_t
count_served (const struct spr *s)
{
  size_t n = 0;

  for (size_t i = 0; i < s->npeers; i++)
    n += s->peers[i].asked;
  return n;
}

/* Everybody asks those who have a new document first.  Made to wait there
   they would all be late; sent away, they ask those that were served. */
static void
refuse (struct spr *s, uint64_t peer)
{
  struct spr_action *a = spr_act (s, SPR_SEND_CHUNK);

  a->peer = peer;
  a->revision = s->cur.revision;
  a->size = s->cur.size;
  memcpy (a->hash, s->cur.hash, DIG_SIZE);
}

void
spr_on_want (struct spr *s, const struct spr_event *ev)
{
  struct spr_peer *p = spr_peer (s, ev->peer);

  if (!p)
    return;
  if (ev->revision != s->cur.revision
      || memcmp (ev->hash, s->cur.hash, DIG_SIZE) != 0 || s->cur.size == 0)
    {
      spr_tell (s, p->id);
      return;
    }
  if (!p->asked && count_served (s) >= MAX_SERVED)
    {
      refuse (s, p->id);
      return;
    }
  p->asked = true;
  p->sent = 0;
  spr_serve (s);
}
