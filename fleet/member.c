#include "fleet/member-internal.h"

#include <stdlib.h>
#include <string.h>

struct mbr *
mbr_new (const struct mbr_options *opt, uint64_t seed)
{
  struct mbr *m;
  struct mbr_node self = opt->self;

  if (self.name.len == 0 || self.name.len > MBR_MAX_NAME
      || self.zone.len > MBR_MAX_NAME || self.region.len > MBR_MAX_NAME
      || self.swim.port == 0)
    return NULL;
  m = xcalloc (1, sizeof *m);
  m->opt = *opt;
  rng_seed (&m->rng, seed);
  self.status = MBR_ALIVE;
  self.incarnation = 1;
  m->self = mbt_add (m, &self);
  gsp_queue_fact (m, m->self);
  return m;
}

void
mbr_free (struct mbr *m)
{
  if (m == NULL)
    return;
  mbt_free (m);
  rgn_free (m);
  for (size_t i = 0; i < m->cap_outs; i++)
    free (m->outs[i]);
  free (m->outs);
  free (m->order);
  free (m);
}

struct mbr_out *
mbr_out_new (struct mbr *m)
{
  if (m->nouts == m->cap_outs)
    {
      size_t cap = m->cap_outs ? 2 * m->cap_outs : 8;

      m->outs = xrealloc (m->outs, cap * sizeof *m->outs);
      for (size_t i = m->cap_outs; i < cap; i++)
        m->outs[i] = xmalloc (sizeof *m->outs[i]);
      m->cap_outs = cap;
    }
  memset (&m->outs[m->nouts]->action, 0, sizeof (struct mbr_action));
  return m->outs[m->nouts++];
}

bool
mbr_next (struct mbr *m, struct mbr_action *out)
{
  if (m->next_out == m->nouts)
    return false;
  *out = m->outs[m->next_out++]->action;
  return true;
}

/** Each event begins here: the actions of the last one are gone. */
static void
begin_event (struct mbr *m, clk_ms now)
{
  bool first = m->last_tick == 0;

  if (m->next_out == m->nouts)
    {
      mbt_free_dropped (m);
      m->nouts = m->next_out = 0;
    }
  m->now = now;
  m->misjudged = false;
  if (first)
    {
      m->last_tick = now;
      m->tokens_at = now;
      m->heard = now;
      m->next_probe
          = now + (clk_ms)rng_below (&m->rng, (uint64_t)MBR_PROBE_MS);
      m->next_sync = now + CLK_SECOND;
    }
  else if (now - m->last_tick > MBR_PROBE_MS)
    {
      prb_resume (m, now - m->last_tick);
      m->last_tick = now;
    }
}

void
mbr_tick (struct mbr *m, clk_ms now)
{
  begin_event (m, now);
  gsp_tick (m);
  prb_tick (m);
  rgn_tick (m);
  xch_tick (m);
  m->last_tick = now;
}

/**
 * Whether the packet is for this node and from the boot that this node
 * knows.  A replaced VM keeps the address of its predecessor: without this
 * it would answer probes of the dead one, which would then seem alive.
 */
static bool
concerns_us (struct mbr *m, const Swim__Packet *p, const struct mbr_row *from)
{
  if (from == m->self)
    return false;
  if (p->to[0] != '\0'
      && (!str_is (m->self->node.name, p->to)
          || p->to_boot != m->self->node.boot))
    return false;
  return from == NULL || p->boot >= from->node.boot;
}

static void
take_rumours (struct mbr *m, const Swim__Packet *p)
{
  for (size_t i = 0; i < p->n_members; i++)
    mbt_merge (m, p->members[i]);
  for (size_t i = 0; i < p->n_gauges; i++)
    gsp_take_gauge (m, p->gauges[i]);
  for (size_t i = 0; i < p->n_summaries; i++)
    rgn_take_summary (m, p->summaries[i]);
}

static void
take_packet (struct mbr *m, const Swim__Packet *p, struct mbr_row *from,
             const struct net_addr *addr)
{
  if (p->kind == SWIM__KIND__JOIN)
    {
      xch_take_join (m, p, addr);
      return;
    }
  if (p->kind == SWIM__KIND__STATE)
    {
      xch_take_state (m, p, addr);
      return;
    }
  take_rumours (m, p);
  if (p->kind == SWIM__KIND__PING)
    prb_ping (m, p, from, addr);
  else if (p->kind == SWIM__KIND__ACK)
    prb_ack (m, p);
  else if (p->kind == SWIM__KIND__NACK)
    prb_nack (m, p);
  else if (p->kind == SWIM__KIND__PING_REQ)
    prb_ping_req (m, p, from);
  if (p->introduce)
    xch_join (m, addr, from);
}

void
mbr_packet (struct mbr *m, clk_ms now, const struct net_addr *from,
            struct str bytes)
{
  Swim__Packet *p;
  struct mbr_row *row;

  begin_event (m, now);
  m->counts.received++;
  m->counts.bytes_in += bytes.len;
  p = pkt_open (m, bytes);
  if (p == NULL)
    return;
  row = mbt_find (m, str_from (p->from));
  if (!concerns_us (m, p, row))
    {
      m->counts.foreign++;
      goto done;
    }
  if (row != NULL && row->node.boot != p->boot)
    row = NULL; /* a successor that is not known yet */
  /* An old accusation or answer sent again would bring back a state that
     has passed; a number is taken once within a sender's boot. */
  if (row != NULL && !pkt_window_take (&row->window, p->seq))
    {
      m->counts.replayed++;
      goto done;
    }
  prb_heard (m);
  take_packet (m, p, row, from);
done:
  swim__packet__free_unpacked (p, NULL);
}

void
mbr_join (struct mbr *m, clk_ms now, const struct net_addr *to)
{
  begin_event (m, now);
  xch_join (m, to, NULL);
}

void
mbr_update_self (struct mbr *m, clk_ms now, const struct mbr_node *self)
{
  struct mbr_node *own = &m->self->node;
  bool moved = !net_addr_eq (&own->swim, &self->swim)
               || !net_addr_eq (&own->peer, &self->peer)
               || !net_addr_eq (&own->gw_http, &self->gw_http)
               || !net_addr_eq (&own->gw_peer, &self->gw_peer);

  begin_event (m, now);
  if (own->load != self->load || own->config_revision != self->config_revision)
    m->gauge_changed = true;
  own->load = self->load;
  own->config_revision = self->config_revision;
  if (!moved)
    return;
  own->swim = self->swim;
  own->peer = self->peer;
  own->gw_http = self->gw_http;
  own->gw_peer = self->gw_peer;
  own->incarnation++;
  gsp_queue_fact (m, m->self);
  mbt_changed (m, m->self, false);
}

void
mbr_leave (struct mbr *m, clk_ms now)
{
  begin_event (m, now);
  if (m->self->node.status == MBR_LEAVING)
    return;
  m->self->node.incarnation++;
  mbt_set_status (m, m->self, MBR_LEAVING);
  gsp_queue_fact (m, m->self);
}

const struct mbr_node *const *
mbr_nodes (const struct mbr *m, size_t *n)
{
  *n = m->nrows;
  /* A row begins with its node. */
  return (const struct mbr_node *const *)m->rows;
}

const struct mbr_counts *
mbr_counts (const struct mbr *m)
{
  return &m->counts;
}

size_t
mbr_regions (const struct mbr *m, struct mbr_region *out, size_t max)
{
  size_t n = m->nregions < max ? m->nregions : max;

  for (size_t i = 0; i < n; i++)
    out[i] = (struct mbr_region){ .name = str_from (m->regions[i].name),
                                  .nodes = m->regions[i].nodes,
                                  .load = m->regions[i].load,
                                  .heard = m->regions[i].heard };
  return n;
}

bool
mbr_is_bridge (const struct mbr *m, struct str region)
{
  for (size_t i = 0; i < m->nregions; i++)
    if (str_is (region, m->regions[i].name))
      return m->regions[i].bridge;
  return false;
}

size_t
mbr_memory (const struct mbr *m)
{
  size_t sum = sizeof *m + m->cap_outs * sizeof (struct mbr_out);

  sum += m->cap_rows * sizeof *m->rows + m->cap_order * sizeof *m->order;
  for (size_t i = 0; i < m->nrows; i++)
    sum += sizeof *m->rows[i] + m->rows[i]->node.name.len
           + m->rows[i]->node.zone.len + m->rows[i]->node.region.len + 3;
  return sum;
}
