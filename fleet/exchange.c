#include "fleet/member-internal.h"

#include <string.h>

/* Views are compared with a random node this often, so that a statement that
   gossip failed to deliver is still learned. */
#define SYNC_MS ((clk_ms)10000)

/* Bytes a second for whole views, and the burst. */
#define STATE_BPS 8000.0
#define STATE_BURST 4000.0

void
xch_join (struct mbr *m, const struct net_addr *to, const struct mbr_row *row)
{
  struct pkt p;

  pkt_begin (m, &p, SWIM__KIND__JOIN, row);
  p.msg.view = mbt_view (m);
  pkt_add_member (&p, m->self, MBR_MAX_PACKET);
  gsp_add_gauges (m, &p);
  pkt_send (m, &p, to);
}

static void
start_transfer (struct mbr *m, const struct net_addr *to, bool want_back)
{
  struct mbr_transfer *slot = NULL;

  for (size_t i = 0; i < MBR_TRANSFERS; i++)
    {
      struct mbr_transfer *t = &m->transfers[i];

      if (t->active && t->to.port == to->port
          && strcmp (t->to.host, to->host) == 0)
        return;
      if (!t->active && slot == NULL)
        slot = t;
    }
  /* All taken: whoever asks gets its answer by asking again or from
     another node. */
  if (slot == NULL)
    return;
  *slot = (struct mbr_transfer){ .active = true,
                                 .to = *to,
                                 .want_back = want_back };
}

static void
take_gauges (struct mbr *m, const Swim__Packet *p)
{
  for (size_t i = 0; i < p->n_gauges; i++)
    gsp_take_gauge (m, p->gauges[i]);
}

/** For a node of another region: whom it may talk to here and there. */
static void
send_contacts (struct mbr *m, const struct net_addr *to, struct str region)
{
  struct mbr_row *bridges[MBR_BRIDGES];
  size_t n = rgn_bridges (m, region, bridges);
  struct pkt p;

  pkt_begin (m, &p, SWIM__KIND__STATE, NULL);
  for (size_t i = 0; i < n; i++)
    pkt_add_member (&p, bridges[i], MBR_MAX_PACKET);
  for (size_t i = 0; i < m->nrows; i++)
    if (str_eq (m->rows[i]->node.region, region)
        && m->rows[i]->node.status != MBR_DEAD)
      pkt_add_member (&p, m->rows[i], MBR_MAX_PACKET);
  pkt_send (m, &p, to);
}

void
xch_take_join (struct mbr *m, const Swim__Packet *p,
               const struct net_addr *from)
{
  struct str region;

  if (p->n_members == 0)
    return;
  region = str_from (p->members[0]->region);
  mbt_merge (m, p->members[0]);
  take_gauges (m, p);
  if (!str_eq (region, m->self->node.region))
    send_contacts (m, from, region);
  else if (p->view != mbt_view (m))
    start_transfer (m, from, true);
}

void
xch_take_state (struct mbr *m, const Swim__Packet *p,
                const struct net_addr *from)
{
  for (size_t i = 0; i < p->n_members; i++)
    mbt_merge (m, p->members[i]);
  take_gauges (m, p);
  for (size_t i = 0; i < p->n_summaries; i++)
    rgn_take_summary (m, p->summaries[i]);
  if (p->want_back)
    start_transfer (m, from, false);
}

/**
 * Send the next part of the view.  The dead are left out: a node that one
 * side of a healed cut holds for dead would be taken for dead by the other
 * side as well, before it could refute.
 */
static void
send_part (struct mbr *m, struct mbr_transfer *t)
{
  struct pkt p;

  pkt_begin (m, &p, SWIM__KIND__STATE, NULL);
  for (; t->next < m->nrows; t->next++)
    {
      const struct mbr_row *row = m->rows[t->next];

      if (row->node.status == MBR_DEAD)
        continue;
      if (!pkt_add_member (&p, row, MBR_MAX_PACKET))
        break;
      if (row->gauge_version > 0)
        pkt_add_gauge (&p, row, MBR_MAX_PACKET);
    }
  t->active = t->next < m->nrows;
  p.msg.want_back = !t->active && t->want_back;
  m->state_tokens -= (double)p.size;
  pkt_send (m, &p, &t->to);
}

static void
compare_views (struct mbr *m)
{
  struct mbr_row *pick = NULL;
  size_t n = 0;

  m->next_sync = m->now + SYNC_MS / 2 + (clk_ms)rng_below (&m->rng, SYNC_MS);
  for (size_t i = 0; i < m->nrows; i++)
    {
      struct mbr_row *row = m->rows[i];

      if (row != m->self && row->node.status == MBR_ALIVE && mbt_local (m, row)
          && rng_below (&m->rng, ++n) == 0)
        pick = row;
    }
  if (pick != NULL)
    xch_join (m, &pick->node.swim, pick);
}

void
xch_tick (struct mbr *m)
{
  m->state_tokens += STATE_BPS * (double)(m->now - m->last_tick) / CLK_SECOND;
  if (m->state_tokens > STATE_BURST)
    m->state_tokens = STATE_BURST;
  for (size_t i = 0; i < MBR_TRANSFERS && m->state_tokens > 0; i++)
    while (m->transfers[i].active && m->state_tokens > 0)
      send_part (m, &m->transfers[i]);
  if (m->now >= m->next_sync)
    compare_views (m);
}
