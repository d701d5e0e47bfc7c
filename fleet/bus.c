#include "fleet/bus.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 50
#define FIRST_BOOT 1000

/* One-way delays in milliseconds: least, and what may be added. */
static const unsigned delay_zone[] = { 1, 2 };
static const unsigned delay_region[] = { 2, 3 };
static const unsigned delay_far[] = { 50, 10 };

const uint8_t bus_secret[32] = "a secret of tests only";

struct station
{
  struct mbr *core; /**< NULL: killed */
  char name[16];
  char zone[16], region[16];
  struct net_addr addr;
  uint64_t boot;
  clk_ms frozen_until;
  unsigned lossy; /**< lost of a hundred packets that come in */
  struct buf *tap;
};

/** A packet on its way, or a tick when it has no bytes. */
struct event
{
  clk_ms at;
  uint64_t order;
  size_t node;
  size_t from;
  uint64_t boot; /**< of a tick: the life that it belongs to */
  char *bytes;
  size_t len;
};

struct bus
{
  struct rng rng;
  clk_ms now;
  uint64_t order;
  struct station *nodes;
  size_t n;
  bool *cuts; /**< n * n: from, to */
  struct event *heap;
  size_t nheap, cap_heap;
  bus_changed changed;
  void *changed_ctx;
};

struct bus *
bus_new (uint64_t seed)
{
  struct bus *b = xcalloc (1, sizeof *b);

  rng_seed (&b->rng, seed);
  b->now = 1000;
  return b;
}

void
bus_free (struct bus *b)
{
  for (size_t i = 0; i < b->n; i++)
    mbr_free (b->nodes[i].core);
  for (size_t i = 0; i < b->nheap; i++)
    free (b->heap[i].bytes);
  free (b->nodes);
  free (b->cuts);
  free (b->heap);
  free (b);
}

void
bus_on_changed (struct bus *b, bus_changed changed, void *ctx)
{
  b->changed = changed;
  b->changed_ctx = ctx;
}

static bool
earlier (const struct event *a, const struct event *b)
{
  return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void
swap_events (struct event *a, struct event *b)
{
  struct event t = *a;

  *a = *b;
  *b = t;
}

static void
push (struct bus *b, struct event e)
{
  size_t i = b->nheap++;

  if (b->nheap > b->cap_heap)
    {
      b->cap_heap = b->cap_heap ? 2 * b->cap_heap : 256;
      b->heap = xrealloc (b->heap, b->cap_heap * sizeof *b->heap);
    }
  e.order = ++b->order;
  b->heap[i] = e;
  for (; i > 0 && earlier (&b->heap[i], &b->heap[(i - 1) / 2]);
       i = (i - 1) / 2)
    swap_events (&b->heap[i], &b->heap[(i - 1) / 2]);
}

static struct event
pop (struct bus *b)
{
  struct event top = b->heap[0];
  size_t i = 0;

  b->heap[0] = b->heap[--b->nheap];
  for (;;)
    {
      size_t least = i;

      for (size_t c = 2 * i + 1; c <= 2 * i + 2 && c < b->nheap; c++)
        if (earlier (&b->heap[c], &b->heap[least]))
          least = c;
      if (least == i)
        return top;
      swap_events (&b->heap[i], &b->heap[least]);
      i = least;
    }
}

static clk_ms
delay (struct bus *b, const struct station *x, const struct station *y)
{
  const unsigned *d = delay_far;

  if (strcmp (x->zone, y->zone) == 0)
    d = delay_zone;
  else if (strcmp (x->region, y->region) == 0)
    d = delay_region;
  return d[0] + (clk_ms)rng_below (&b->rng, d[1]);
}

static size_t
station_at (const struct bus *b, const struct net_addr *a)
{
  return a->port >= 10000 && a->port - 10000u < b->n ? a->port - 10000u : b->n;
}

static void
carry (struct bus *b, size_t from, const struct mbr_action *a)
{
  size_t to = station_at (b, &a->to);
  struct event e = { .node = to, .from = from, .len = a->packet.len };

  if (b->nodes[from].tap != NULL)
    {
      buf_add_char (b->nodes[from].tap, (char)(a->packet.len >> 8));
      buf_add_char (b->nodes[from].tap, (char)a->packet.len);
      buf_add (b->nodes[from].tap, a->packet);
    }
  if (to == b->n || b->cuts[from * b->n + to])
    return;
  if (b->nodes[to].lossy > 0 && rng_below (&b->rng, 100) < b->nodes[to].lossy)
    return;
  e.at = b->now + delay (b, &b->nodes[from], &b->nodes[to]);
  e.bytes = xmalloc (e.len);
  memcpy (e.bytes, a->packet.ptr, e.len);
  push (b, e);
}

static void
take_actions (struct bus *b, size_t node)
{
  struct mbr_action a;

  while (mbr_next (b->nodes[node].core, &a))
    if (a.kind == MBR_SEND)
      carry (b, node, &a);
    else if (b->changed != NULL && !a.figures)
      b->changed (b->changed_ctx, b->now, node, a.node);
}

static void
start (struct bus *b, size_t node)
{
  struct station *s = &b->nodes[node];
  struct mbr_options opt = { 0 };

  opt.self.name = str_from (s->name);
  opt.self.zone = str_from (s->zone);
  opt.self.region = str_from (s->region);
  opt.self.boot = s->boot;
  opt.self.swim = s->addr;
  opt.self.peer = s->addr;
  opt.self.gw_http = s->addr;
  opt.self.gw_peer = s->addr;
  memcpy (opt.secret, bus_secret, sizeof opt.secret);
  s->core = mbr_new (&opt, rng_next (&b->rng));
  push (b, (struct event){ .at = b->now + (clk_ms)rng_below (&b->rng, TICK_MS),
                           .node = node,
                           .boot = s->boot });
}

size_t
bus_add (struct bus *b, const char *zone, const char *region)
{
  size_t node = b->n++;
  struct station *s;

  b->nodes = xrealloc (b->nodes, b->n * sizeof *b->nodes);
  free (b->cuts);
  b->cuts = xcalloc (b->n * b->n, sizeof *b->cuts);
  s = &b->nodes[node];
  memset (s, 0, sizeof *s);
  snprintf (s->name, sizeof s->name, "n%zu", node + 1);
  snprintf (s->zone, sizeof s->zone, "%s", zone);
  snprintf (s->region, sizeof s->region, "%s", region);
  snprintf (s->addr.host, sizeof s->addr.host, "10.0.0.1");
  s->addr.port = (uint16_t)(10000 + node);
  s->boot = FIRST_BOOT;
  start (b, node);
  return node;
}

size_t
bus_nodes (const struct bus *b)
{
  return b->n;
}

void
bus_join (struct bus *b, size_t node, size_t at)
{
  mbr_join (b->nodes[node].core, b->now, &b->nodes[at].addr);
  take_actions (b, node);
}

static void
handle (struct bus *b, struct event *e)
{
  struct station *s = &b->nodes[e->node];

  if (s->core == NULL || (e->bytes == NULL && e->boot != s->boot))
    {
      free (e->bytes);
      return;
    }
  if (b->now < s->frozen_until)
    {
      /* On waking, a process runs its timers before it reads its socket. */
      e->at = s->frozen_until + (e->bytes != NULL);
      push (b, *e);
      return;
    }
  if (e->bytes != NULL)
    {
      mbr_packet (s->core, b->now, &b->nodes[e->from].addr,
                  str_make (e->bytes, e->len));
      free (e->bytes);
    }
  else
    {
      mbr_tick (s->core, b->now);
      e->at = b->now + TICK_MS;
      push (b, *e);
    }
  take_actions (b, e->node);
}

void
bus_run (struct bus *b, clk_ms span)
{
  clk_ms end = b->now + span;

  while (b->nheap > 0 && b->heap[0].at <= end)
    {
      struct event e = pop (b);

      b->now = e.at;
      handle (b, &e);
    }
  b->now = end;
}

clk_ms
bus_now (const struct bus *b)
{
  return b->now;
}

void
bus_kill (struct bus *b, size_t node)
{
  mbr_free (b->nodes[node].core);
  b->nodes[node].core = NULL;
}

void
bus_freeze (struct bus *b, size_t node, clk_ms span)
{
  b->nodes[node].frozen_until = b->now + span;
}

bool
bus_frozen (const struct bus *b, size_t node)
{
  return b->now < b->nodes[node].frozen_until;
}

void
bus_replace (struct bus *b, size_t node)
{
  if (b->nodes[node].core != NULL)
    bus_kill (b, node);
  b->nodes[node].boot++;
  start (b, node);
}

void
bus_cut (struct bus *b, size_t from, size_t to, bool cut)
{
  b->cuts[from * b->n + to] = cut;
}

void
bus_lossy (struct bus *b, size_t node, unsigned percent)
{
  b->nodes[node].lossy = percent;
}

void
bus_load (struct bus *b, size_t node, uint32_t load)
{
  struct station *s = &b->nodes[node];
  struct mbr_node self = { .load = load };

  self.swim = self.peer = self.gw_http = self.gw_peer = s->addr;
  mbr_update_self (s->core, b->now, &self);
  take_actions (b, node);
}

void
bus_inject (struct bus *b, size_t node, struct str bytes)
{
  struct event e = { .at = b->now + 1, .node = node, .from = node };

  e.len = bytes.len;
  e.bytes = xmalloc (bytes.len + 1);
  memcpy (e.bytes, bytes.ptr, bytes.len);
  push (b, e);
}

void
bus_tap (struct bus *b, size_t node, struct buf *out)
{
  b->nodes[node].tap = out;
}

struct mbr *
bus_core (const struct bus *b, size_t node)
{
  return b->nodes[node].core;
}
