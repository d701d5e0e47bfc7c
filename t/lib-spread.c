#include "t/lib-spread.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config/spread.h"

#define LARGE 900000

static struct str
doc_of (char letter)
{
  static char text[128][LARGE];
  char *t = text[(int)letter];

  memset (t, letter, LARGE);
  return str_make (t, letter == 'A'   ? 70000
                      : letter == 'B' ? 200000
                      : letter == 'C' ? LARGE
                                      : 5);
}

static void
hash_of (char letter, uint8_t hash[DIG_SIZE])
{
  struct str text = doc_of (letter);

  dig_sha256 (text, hash);
}

/** Letter of the document with that hash. */
static char
letter_of (const uint8_t hash[DIG_SIZE])
{
  uint8_t other[DIG_SIZE];

  for (const char *l = "abcdefABC"; *l; l++)
    {
      hash_of (*l, other);
      if (memcmp (hash, other, sizeof other) == 0)
        return *l;
    }
  return '-';
}

static void
log_action (struct buf *log, const struct spr_action *a)
{
  long long rev = (long long)a->revision;

  switch (a->kind)
    {
    case SPR_READ_MANIFEST:
      buf_add_c (log, "read manifest\n");
      break;
    case SPR_READ_DOCUMENT:
      buf_addf (log, "read doc %lld%c\n", rev, letter_of (a->hash));
      break;
    case SPR_WATCH:
      buf_addf (log, "watch from %lld\n", rev);
      break;
    case SPR_SEND_HAVE:
      buf_addf (log, "tell %d: %lld%c\n", (int)a->peer, rev,
                letter_of (a->hash));
      break;
    case SPR_SEND_WANT:
      buf_addf (log, "ask %d: %lld%c\n", (int)a->peer, rev,
                letter_of (a->hash));
      break;
    case SPR_SEND_CHUNK:
      buf_addf (log, "send %d: %lld%c %zu..%zu of %zu\n", (int)a->peer, rev,
                letter_of (a->hash), a->offset, a->offset + a->bytes.len,
                a->size);
      break;
    case SPR_IN_FORCE:
      buf_addf (log, "in force: %lld%c, %zu bytes\n", rev, a->bytes.ptr[0],
                a->bytes.len);
      break;
    }
}

struct run
{
  struct spr *spr;
  clk_ms now;
  struct buf log;
};

/** Whether @p b goes on where the chunk @p a ended; then a grows by it. */
static bool
join_chunks (struct spr_action *a, const struct spr_action *b)
{
  if (a->kind != SPR_SEND_CHUNK || b->kind != SPR_SEND_CHUNK
      || a->peer != b->peer || b->offset != a->offset + a->bytes.len)
    return false;
  cr_assert_leq (b->bytes.len, SPR_CHUNK);
  a->bytes.len += b->bytes.len;
  return true;
}

static void
feed (struct run *r, const struct spr_event *ev)
{
  struct spr_action a, next;
  bool more;

  spr_event (r->spr, r->now, ev);
  for (more = spr_next (r->spr, &a); more; a = next)
    {
      while ((more = spr_next (r->spr, &next)) && join_chunks (&a, &next))
        ;
      log_action (&r->log, &a);
    }
}

static void
tick_until (struct run *r, clk_ms until)
{
  struct spr_event tick = { .kind = SPR_TICK };

  for (; r->now < until; r->now += SPR_TICK_MS)
    feed (r, &tick);
}

static void
set_doc (struct spr_event *ev, const char *rev, const char *doc)
{
  ev->revision = atoll (rev);
  ev->size = doc_of (doc[0]).len;
  ev->bytes = doc_of (doc[0]);
  hash_of (doc[0], ev->hash);
}

static void
set_chunk (struct spr_event *ev, char *const words[])
{
  ev->offset = (size_t)atoll (words[4]);
  ev->bytes
      = str_head (str_skip (ev->bytes, ev->offset), (size_t)atoll (words[5]));
  if (strcmp (words[6], "bad") == 0)
    ev->bytes = str_head (doc_of ('z'), ev->bytes.len);
}

static void
run_words (struct run *r, char *const words[])
{
  static const char *const names[]
      = { "",     "manifest", "doc",  "fail",  "up",
          "down", "have",     "want", "chunk", "reader" };
  struct spr_event ev = { .peer = (uint64_t)atoll (words[1]) };
  int kind = 0;

  if (strcmp (words[0], "t") == 0)
    {
      tick_until (r, atoll (words[1]));
      return;
    }
  while (strcmp (words[0], names[kind]) != 0)
    cr_assert_lt (++kind, 10, "no event %s", words[0]);
  ev.kind = (enum spr_event_kind)kind;
  ev.on = strcmp (words[1], "on") == 0;
  if (ev.kind == SPR_STORE_MANIFEST || ev.kind == SPR_STORE_DOCUMENT)
    set_doc (&ev, words[1], words[2]);
  else if (ev.kind >= SPR_PEER_HAVE && ev.kind <= SPR_PEER_CHUNK)
    set_doc (&ev, words[2], words[3]);
  if (ev.kind == SPR_PEER_CHUNK)
    set_chunk (&ev, words);
  ev.seen = atoll (words[3]);
  feed (r, &ev);
}

void
spread_expect (const char *script, const char *want)
{
  struct run r = { .spr = spr_new (1) };
  char *text = xstrdup (script);
  char *save = NULL;

  for (char *line = strtok_r (text, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    {
      char *words[8] = { "", "", "", "", "", "", "", "" };
      char *inner = NULL;
      size_t n = 0;
      for (char *w = strtok_r (line, " ", &inner); w && n < 8;
           w = strtok_r (NULL, " ", &inner))
        words[n++] = w;
      buf_addf (&r.log, "> %s\n", words[0]);
      run_words (&r, words);
    }
  cr_expect_str_eq (buf_c (&r.log), want, "got:\n%s\nwant:\n%s",
                    buf_c (&r.log), want);
  free (text);
  buf_free (&r.log);
  spr_free (r.spr);
}
