#include "serve/dispatch-int.h"
#include "serve/hubs.h"

#include <stdlib.h>
#include <string.h>

/*
 * Load of each endpoint: of this node, and of the other nodes as they report
 * it.
 */

/**
 * A prompt that takes a replica at least this long to process is announced to
 * the other nodes when it is sent. Load reports are sent only every tenth of a
 * second. In that time two nodes could send their longest prompts to the same
 * replica, and while it processes both, all its streams pause for longer than
 * clients accept. Fleets with more nodes than a full mesh connects rely on the
 * load reports alone.
 */
#define NOTICE_READ_MS 20.0
/** An announced prompt counts as processed after this time. On a replica
    with free slots, half of the larger model's first events arrive within
    200 ms, and nine in ten within 240 to 320 ms. */
#define NOTICE_MS ((clk_ms)250)

struct dsp_server *
dsp_find_place (const struct dsp *d, uint64_t hash)
{
  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      if (d->pools[i]->servers[k]->hash == hash)
        return d->pools[i]->servers[k];
  return NULL;
}

static uint32_t
less (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

static void
add_counts (const struct dsp *d, const struct dsp_peer *p, bool add)
{
  for (size_t i = 0; i < p->n; i++)
    {
      const struct dsp_count *c = &p->counts[i];
      struct dsp_server *s = dsp_find_place (d, c->place);
      if (!s)
        continue;
      s->others
          = add ? s->others + c->in_flight : less (s->others, c->in_flight);
      s->others_begun = add ? s->others_begun + c->begun
                            : less (s->others_begun, c->begun);
      s->others_unread += add ? (double)c->unread : -(double)c->unread;
      if (s->others_unread < 0)
        s->others_unread = 0;
    }
}

void
dsp_load_recount (struct dsp *d)
{
  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      {
        struct dsp_server *s = d->pools[i]->servers[k];
        s->others = s->others_begun = 0;
        s->others_unread = 0;
      }
  for (size_t i = 0; i < d->npeers; i++)
    add_counts (d, &d->peers[i], true);
}

void
dsp_pump_all (struct dsp *d)
{
  for (size_t i = 0; i < d->npools; i++)
    dsp_pump (d, d->pools[i]);
}

/* --- other nodes ------------------------------------------------------- */

void
dsp_nodes (struct dsp *d, unsigned n)
{
  d->nodes = n ? n : 1;
}

static struct dsp_peer *
peer_of (struct dsp *d, uint64_t node)
{
  for (size_t i = 0; i < d->npeers; i++)
    if (d->peers[i].node == node)
      return &d->peers[i];
  d->peers = xrealloc (d->peers, (d->npeers + 1) * sizeof *d->peers);
  d->peers[d->npeers] = (struct dsp_peer){ .node = node };
  return &d->peers[d->npeers++];
}

void
dsp_peer_load (struct dsp *d, clk_ms now, uint64_t peer,
               const struct dsp_count *counts, size_t n)
{
  struct dsp_peer *p = peer_of (d, peer);

  d->now = now;
  add_counts (d, p, false);
  p->counts = xrealloc (p->counts, (n + 1) * sizeof *p->counts);
  if (n)
    memcpy (p->counts, counts, n * sizeof *counts);
  p->n = n;
  p->told_at = now;
  add_counts (d, p, true);
  for (size_t i = 0; i < n; i++)
    if (counts[i].ended)
      dsp_reported_ended (d, dsp_find_place (d, counts[i].place));
  dsp_pump_all (d);
}

const struct dsp_count *
dsp_own_load (struct dsp *d, size_t *n)
{
  size_t all = 0;

  for (size_t i = 0; i < d->npools; i++)
    all += d->pools[i]->n;
  d->own = xrealloc (d->own, (all + 1) * sizeof *d->own);
  *n = 0;
  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      {
        const struct dsp_server *s = d->pools[i]->servers[k];
        bool ended = d->now < s->ended_until;
        if (s->own || s->stalled || ended)
          d->own[(*n)++]
              = (struct dsp_count){ .place = s->hash,
                                    .in_flight = s->own,
                                    .begun = s->begun,
                                    .unread
                                    = (uint32_t)(s->unread - s->noticed_own),
                                    .heard = s->heard,
                                    .stalled = s->stalled,
                                    .ended = ended };
      }
  return d->own;
}

double
dsp_demand (const struct dsp *d, struct str service, struct str model)
{
  double n = 0;

  for (size_t i = 0; i < d->npools; i++)
    {
      const struct dsp_pool *p = d->pools[i];
      if (!str_is (service, p->service) || !str_is (model, p->model))
        continue;
      /* Clients choose their nodes at random, so each other node has about
         as many queued requests. */
      n += (double)p->waiting * d->nodes + dsp_limit_demand (d, p);
      for (size_t k = 0; k < p->n; k++)
        {
          const struct dsp_server *s = p->servers[k];
          n += s->own + s->others + s->capacity - dsp_limit_slots (d, s);
        }
    }
  return n;
}

/* --- prompts ------------------------------------------------------------ */

double
dsp_load_unread (const struct dsp_server *s)
{
  return s->unread + s->others_unread + s->others_noticed;
}

static bool
is_notable (const struct dsp *d, const struct dsp_server *s, double prompt)
{
  return s->read_per_ms > 0 && prompt / s->read_per_ms >= NOTICE_READ_MS
         && d->nodes > 1 && d->nodes <= HUB_MESH_MOST
         && d->nnotices < DSP_NOTICES;
}

void
dsp_prompt_sent (struct dsp *d, struct dsp_req *q)
{
  struct dsp_server *s = q->server;

  q->unread = true;
  s->unread += q->prompt;
  q->noticed = is_notable (d, s, q->prompt);
  if (!q->noticed)
    return;
  s->noticed_own += q->prompt;
  d->notices[d->nnotices++]
      = (struct dsp_notice){ s->hash, (uint32_t)q->prompt };
}

void
dsp_prompt_read (struct dsp_req *q)
{
  struct dsp_server *s = q->server;

  if (q->unread)
    s->unread -= q->prompt;
  if (q->noticed)
    s->noticed_own -= q->prompt;
  q->unread = q->noticed = false;
}

const struct dsp_notice *
dsp_notices (struct dsp *d, size_t *n)
{
  *n = d->nnotices;
  d->nnotices = 0;
  return d->notices;
}

static void
count_notice (const struct dsp *d, const struct dsp_notice *n, bool add)
{
  struct dsp_server *s = dsp_find_place (d, n->place);

  if (!s)
    return;
  s->others_noticed += add ? (double)n->tokens : -(double)n->tokens;
  if (s->others_noticed < 0)
    s->others_noticed = 0; /* the endpoint was added after the notice was
                              received */
}

static void
drop_notice (struct dsp *d)
{
  count_notice (d, &d->heard[d->heard_first].n, false);
  d->heard_first = (d->heard_first + 1) % DSP_NOTICES;
  d->nheard--;
}

void
dsp_load_forget (struct dsp *d)
{
  while (d->nheard > 0 && d->now >= d->heard[d->heard_first].until)
    drop_notice (d);
}

void
dsp_noticed (struct dsp *d, clk_ms now, const struct dsp_notice *list,
             size_t n)
{
  d->now = now;
  dsp_load_forget (d);
  for (size_t i = 0; i < n; i++)
    {
      if (d->nheard == DSP_NOTICES)
        drop_notice (d);
      d->heard[(d->heard_first + d->nheard++) % DSP_NOTICES]
          = (struct dsp_heard_notice){ list[i], now + NOTICE_MS };
      count_notice (d, &list[i], true);
    }
}
