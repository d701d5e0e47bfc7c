/* A seeded walk: nodes of two zones, one store; pushes, lost and reordered
   messages, damaged chunks, cut links, store outages.  At every step no
   node's revision falls and its document is the one of its revision; once all
   is well again, all nodes have the highest within seconds. */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "config/spread.h"

#define NODES 8
#define STEPS 30000
#define IN_FLIGHT 4096
#define DOC_SIZE 40000

/** A message between nodes, or an answer of the store (from = NODES). */
struct msg
{
  size_t from, to;
  struct spr_event ev;
  char *bytes;
};

struct world
{
  struct rng rng;
  clk_ms now;
  int64_t revision; /**< of the store's manifest */
  bool store_up;
  bool up[NODES][NODES];
  struct spr *node[NODES];
  int64_t last[NODES];
  struct msg flight[IN_FLIGHT];
  size_t nflight;
};

static struct str
doc_of (int64_t revision)
{
  static char text[DOC_SIZE];

  for (size_t i = 0; i < DOC_SIZE; i++)
    text[i] = (char)('a' + (revision + (int64_t)i / 1000) % 26);
  return str_make (text, DOC_SIZE);
}

static void
hash_of (int64_t revision, uint8_t hash[DIG_SIZE])
{
  struct str text = doc_of (revision);

  dig_sha256 (text, hash);
}

static void
post (struct world *w, size_t from, size_t to, const struct spr_event *ev)
{
  struct msg *m;

  if (w->nflight == IN_FLIGHT)
    return;
  m = &w->flight[w->nflight++];
  *m = (struct msg){ from, to, *ev, NULL };
  if (ev->bytes.len)
    {
      m->bytes = str_dup (ev->bytes);
      m->ev.bytes = str_make (m->bytes, ev->bytes.len);
    }
}

static void
ask_store (struct world *w, size_t node, const struct spr_action *a)
{
  struct spr_event ev = { .kind = SPR_STORE_FAILED };

  if (w->store_up && a->kind == SPR_READ_MANIFEST)
    {
      ev.kind = SPR_STORE_MANIFEST;
      ev.revision = ev.seen = w->revision;
      hash_of (w->revision, ev.hash);
    }
  else if (w->store_up && a->kind == SPR_READ_DOCUMENT)
    {
      ev.kind = SPR_STORE_DOCUMENT;
      ev.revision = a->revision;
      ev.bytes = doc_of (a->revision);
    }
  post (w, NODES, node, &ev);
}

static void
carry_out (struct world *w, size_t node, const struct spr_action *a)
{
  struct spr_event ev = { .peer = node,
                          .revision = a->revision,
                          .offset = a->offset,
                          .size = a->size,
                          .bytes = a->bytes };

  memcpy (ev.hash, a->hash, sizeof ev.hash);
  if (a->kind == SPR_READ_MANIFEST || a->kind == SPR_READ_DOCUMENT)
    ask_store (w, node, a);
  if (a->kind < SPR_SEND_HAVE || a->kind > SPR_SEND_CHUNK)
    return;
  ev.kind = a->kind == SPR_SEND_HAVE   ? SPR_PEER_HAVE
            : a->kind == SPR_SEND_WANT ? SPR_PEER_WANT
                                       : SPR_PEER_CHUNK;
  post (w, node, a->peer, &ev);
}

static void
check (struct world *w, size_t node)
{
  int64_t revision = spr_revision (w->node[node]);

  cr_assert_geq (revision, w->last[node], "node %zu went back", node);
  cr_assert (revision == 0
                 || str_eq (spr_document (w->node[node]), doc_of (revision)),
             "node %zu has another document at %d", node, (int)revision);
  w->last[node] = revision;
}

static void
feed (struct world *w, size_t node, const struct spr_event *ev)
{
  struct spr_action a;

  spr_event (w->node[node], w->now, ev);
  while (spr_next (w->node[node], &a))
    carry_out (w, node, &a);
  if (spr_revision (w->node[node]) != w->last[node])
    check (w, node);
}

/** Deliver one message in flight, any of them; some are lost or damaged. */
static void
deliver (struct world *w, bool faults)
{
  size_t i = rng_below (&w->rng, w->nflight);
  struct msg m = w->flight[i];
  bool linked = m.from == NODES || w->up[m.from][m.to];

  w->flight[i] = w->flight[--w->nflight];
  if (faults && m.bytes && rng_below (&w->rng, 20) == 0)
    m.bytes[0] ^= 1;
  if (linked && (m.from == NODES || !faults || rng_below (&w->rng, 10) > 0))
    feed (w, m.to, &m.ev);
  free (m.bytes);
}

static void
set_link (struct world *w, size_t a, size_t b, bool up)
{
  struct spr_event ev = { .kind = up ? SPR_PEER_UP : SPR_PEER_DOWN };

  if (a == b || w->up[a][b] == up)
    return;
  w->up[a][b] = w->up[b][a] = up;
  ev.peer = b;
  feed (w, a, &ev);
  ev.peer = a;
  feed (w, b, &ev);
}

/** Cut or join the two zones: the even and the odd nodes. */
static void
set_zones (struct world *w, bool joined)
{
  for (size_t a = 0; a < NODES; a++)
    for (size_t b = a + 1; b < NODES; b += 2)
      set_link (w, a, b, joined);
}

static void
tick (struct world *w)
{
  struct spr_event ev = { .kind = SPR_TICK };

  w->now += SPR_TICK_MS;
  for (size_t i = 0; i < NODES; i++)
    feed (w, i, &ev);
}

static void
disturb (struct world *w)
{
  size_t a = rng_below (&w->rng, NODES);

  switch (rng_below (&w->rng, 5))
    {
    case 0:
      w->revision += 1 + (int64_t)rng_below (&w->rng, 3);
      break;
    case 1:
      w->store_up = !w->store_up;
      break;
    case 2:
      set_zones (w, rng_below (&w->rng, 2));
      break;
    case 3:
      set_link (w, a, rng_below (&w->rng, NODES), rng_below (&w->rng, 2));
      break;
    default: /* the process is replaced and keeps nothing */
      for (size_t b = 0; b < NODES; b++)
        set_link (w, a, b, false);
      spr_free (w->node[a]);
      w->node[a] = spr_new (rng_next (&w->rng));
      w->last[a] = 0;
      feed (w, a, &(struct spr_event){ .kind = SPR_READER, .on = a < 4 });
    }
}

static void
heal (struct world *w)
{
  w->store_up = true;
  for (size_t a = 0; a < NODES; a++)
    for (size_t b = 0; b < NODES; b++)
      set_link (w, a, b, true);
  for (int second = 0; second < 45; second++)
    for (int i = 0; i < 10; i++)
      {
        tick (w);
        while (w->nflight)
          deliver (w, false);
      }
}

static void
walk (uint64_t seed)
{
  struct world *w = xcalloc (1, sizeof *w);

  rng_seed (&w->rng, seed);
  w->revision = 1;
  w->store_up = true;
  for (size_t i = 0; i < NODES; i++)
    {
      w->node[i] = spr_new (rng_next (&w->rng));
      feed (w, i, &(struct spr_event){ .kind = SPR_READER, .on = i < 4 });
    }
  for (int step = 0; step < STEPS; step++)
    if (rng_below (&w->rng, 200) == 0)
      disturb (w);
    else if (w->nflight && rng_below (&w->rng, 3) > 0)
      deliver (w, true);
    else
      tick (w);
  heal (w);
  for (size_t i = 0; i < NODES; i++)
    cr_expect_eq (spr_revision (w->node[i]), w->revision,
                  "seed %d: node %zu has %d, not %d", (int)seed, i,
                  (int)spr_revision (w->node[i]), (int)w->revision);
  for (size_t i = 0; i < NODES; i++)
    spr_free (w->node[i]);
  free (w);
}

Test (spread_walk, never_back_never_in_part_and_everywhere_in_the_end)
{
  for (uint64_t seed = 1; seed <= 8; seed++)
    walk (seed);
}
