#include "config/spread-int.h"

#include <string.h>

#define CHUNKS_IN_TURN 4
#define SERVED_NOW 4

static void
send_chunk (struct spr *s, struct spr_peer *p)
{
  struct spr_action *a = spr_act (s, SPR_SEND_CHUNK);
  struct str rest = str_skip (buf_str (&s->text), p->sent);

  a->peer = p->id;
  a->revision = s->cur.revision;
  memcpy (a->hash, s->cur.hash, SPR_HASH);
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

/* A large document asked for by a whole zone would fill the links and hold
   the small messages up; so few chunks go out per tick, to those that wait
   in turn.  Who waits too long asks one of those that were served. */
void
spr_serve (struct spr *s, size_t chunks)
{
  size_t idle = 0;

  while (chunks > 0 && idle < s->npeers)
    {
      struct spr_peer *p = &s->peers[s->next_serve % s->npeers];
      size_t share = CHUNKS_IN_TURN;
      s->next_serve = (s->next_serve + 1) % s->npeers;
      idle = p->asked ? 0 : idle + 1;
      for (; p->asked && share > 0 && chunks > 0; share--, chunks--)
        send_chunk (s, p);
    }
}

void
spr_on_want (struct spr *s, const struct spr_event *ev)
{
  struct spr_peer *p = spr_peer (s, ev->peer);

  if (!p)
    return;
  if (ev->revision != s->cur.revision
      || memcmp (ev->hash, s->cur.hash, SPR_HASH) != 0 || s->cur.size == 0)
    {
      spr_tell (s, p->id);
      return;
    }
  p->asked = true;
  p->sent = 0;
  spr_serve (s, SERVED_NOW);
}
