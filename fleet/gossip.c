#include "fleet/member-internal.h"

#include <math.h>

/* Own gauges change at most this often. */
#define GAUGE_MS ((clk_ms)1000)

/* Bytes for gauges in one packet: facts matter more. */
#define GAUGE_ROOM 320

/** How often each node passes one fact on, for n nodes to hear it. */
static unsigned
fact_sends (const struct mbr *m)
{
  double n = (double)mbt_present (m);

  return (unsigned)ceil (MBR_LAMBDA * log10 (n + 1));
}

void
gsp_queue_fact (struct mbr *m, struct mbr_row *row)
{
  row->fact_queued = true;
  row->fact_sent = 0;
  row->fact_order = ++m->fact_order;
}

void
gsp_queue_gauge (struct mbr_row *row)
{
  row->gauge_queued = true;
  row->gauge_sent = 0;
}

void
gsp_take_gauge (struct mbr *m, const Swim__Gauge *g)
{
  struct mbr_row *row = mbt_find_id (m, g->id);

  if (row == NULL || row == m->self || g->version <= row->gauge_version)
    return;
  row->gauge_version = g->version;
  row->node.load = g->load;
  row->node.config_revision = g->revision;
  gsp_queue_gauge (row);
  mbt_changed (m, row, true);
}

/** The least often sent fact, the latest first; not yet in this packet. */
static struct mbr_row *
next_fact (struct mbr *m, uint64_t below, unsigned sent_at_least)
{
  struct mbr_row *best = NULL;

  for (size_t i = 0; i < m->nrows; i++)
    {
      struct mbr_row *row = m->rows[i];

      if (!row->fact_queued)
        continue;
      if (row->fact_sent < sent_at_least
          || (row->fact_sent == sent_at_least && row->fact_order >= below))
        continue;
      if (best == NULL || row->fact_sent < best->fact_sent
          || (row->fact_sent == best->fact_sent
              && row->fact_order > best->fact_order))
        best = row;
    }
  return best;
}

static void
fill_facts (struct mbr *m, struct pkt *p, size_t limit)
{
  unsigned sends = fact_sends (m);
  uint64_t below = UINT64_MAX;
  unsigned sent = 0;
  struct mbr_row *picked[PKT_MEMBERS];
  struct mbr_row *row;
  size_t n = 0;

  while ((row = next_fact (m, below, sent)) != NULL
         && pkt_add_member (p, row, limit))
    {
      below = row->fact_order;
      sent = row->fact_sent;
      picked[n++] = row;
    }
  /* Counted only now, as the count decides the order of picking. */
  for (size_t i = 0; i < n; i++)
    picked[i]->fact_queued = ++picked[i]->fact_sent < sends;
}

static void
fill_summaries (struct mbr *m, struct pkt *p, size_t limit)
{
  unsigned sends = fact_sends (m);

  for (size_t i = 0; i < m->nregions; i++)
    {
      struct mbr_far_region *r = &m->regions[i];
      struct mbr_row *bridges[MBR_BRIDGES];
      size_t n = 0;

      if (!r->queued)
        continue;
      for (size_t j = 0; j < m->nrows && n < MBR_BRIDGES; j++)
        if (str_is (m->rows[j]->node.region, r->name)
            && m->rows[j]->mentioned == r->mentioned)
          bridges[n++] = m->rows[j];
      if (!pkt_add_summary (p, r, bridges, n, limit))
        return;
      r->sent++;
      r->queued = r->sent < sends;
    }
}

/*
 * Figures are passed on as often as facts: a revision changes once, and
 * whoever waits for it to be in force everywhere would wait for ever if the
 * only version were lost.
 */
static void
fill_gauges (struct mbr *m, struct pkt *p, size_t limit)
{
  unsigned sends = fact_sends (m);
  size_t start = m->nrows ? (size_t)rng_below (&m->rng, m->nrows) : 0;

  if (limit > p->size + GAUGE_ROOM)
    limit = p->size + GAUGE_ROOM;
  if (m->self->gauge_queued && pkt_add_gauge (p, m->self, limit)
      && ++m->self->gauge_sent >= sends)
    m->self->gauge_queued = false;
  for (size_t i = 0; i < m->nrows; i++)
    {
      struct mbr_row *row = m->rows[(start + i) % m->nrows];

      if (!row->gauge_queued || row == m->self)
        continue;
      if (!pkt_add_gauge (p, row, limit))
        return;
      if (++row->gauge_sent >= sends)
        row->gauge_queued = false;
    }
}

void
gsp_add_gauges (struct mbr *m, struct pkt *p)
{
  size_t start = (size_t)rng_below (&m->rng, m->nrows);

  for (size_t i = 0; i < m->nrows; i++)
    {
      struct mbr_row *row = m->rows[(start + i) % m->nrows];

      if (row->gauge_version > 0 && !pkt_add_gauge (p, row, MBR_MAX_PACKET))
        return;
    }
}

static void
refill (struct mbr *m)
{
  double budget = MBR_GOSSIP_BPS;

  m->tokens += budget * (double)(m->now - m->tokens_at) / CLK_SECOND;
  if (m->tokens > budget)
    m->tokens = budget;
  m->tokens_at = m->now;
}

void
gsp_fill (struct mbr *m, struct pkt *p)
{
  size_t before = p->size;
  size_t limit = MBR_MAX_PACKET;

  refill (m);
  if (m->tokens <= 0)
    return;
  if ((double)limit > (double)before + m->tokens)
    limit = before + (size_t)m->tokens;
  fill_facts (m, p, limit);
  fill_summaries (m, p, limit);
  fill_gauges (m, p, limit);
  m->tokens -= (double)(p->size - before);
}

void
gsp_tick (struct mbr *m)
{
  if (!m->gauge_changed || m->now < m->next_gauge)
    return;
  m->gauge_changed = false;
  m->next_gauge = m->now + GAUGE_MS;
  m->self->gauge_version++;
  gsp_queue_gauge (m->self);
}
