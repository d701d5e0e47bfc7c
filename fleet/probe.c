#include "fleet/member-internal.h"

#include <math.h>
#include <stdlib.h>

/* As a bridge, one probe in this many goes to another region. */
#define FAR_SLOT 4

/* Pause between two pings to nodes held for dead. */
#define RECONNECT_MS ((clk_ms)1000)

/* A suspicion that nobody else confirms lasts this much longer. */
#define UNCONFIRMED_FACTOR 3.0

/** Longer waits while this node itself is not well. */
static clk_ms
scaled (const struct mbr *m, clk_ms span)
{
  return span * (clk_ms)(m->score + 1);
}

void
prb_worse (struct mbr *m, unsigned by)
{
  m->score += by;
  if (m->score > MBR_MAX_SCORE)
    m->score = MBR_MAX_SCORE;
}

/**
 * This node did not run for a while (its VM was paused, the process was
 * stopped).
 *
 * All deadlines passed meanwhile, so that on waking it would accuse whomever
 * it was probing, although their answers lie unread in its own socket.  The
 * probe under way is dropped, suspicions last longer by the pause, and
 * probes that it did for others are forgotten: whoever asked has long gone
 * on.
 */
void
prb_resume (struct mbr *m, clk_ms pause)
{
  m->counts.pauses++;
  m->probe.active = false;
  m->next_probe = m->now + MBR_PROBE_MS;
  m->heard = m->now;
  prb_worse (m, 2);
  for (size_t i = 0; i < MBR_RELAYS; i++)
    m->relays[i].number = 0;
  for (size_t i = 0; i < m->nrows; i++)
    m->rows[i]->since += pause;
}

/**
 * A node that hears nobody at all can't tell whether the others died or its
 * own way in is cut.  It then marks whom it can't reach for its own callers
 * but tells no one, and takes its marks back as soon as it hears again.
 * Otherwise one deaf node has the others taken for silent one by one, by all.
 */
static bool
is_deaf (const struct mbr *m, clk_ms silence)
{
  size_t others = 0;

  if (m->now - m->heard < silence)
    return false;
  /* Those marked while deaf still count, or the last would be told. */
  for (size_t i = 0; i < m->nrows; i++)
    {
      const struct mbr_row *row = m->rows[i];

      if (row != m->self && mbt_local (m, row)
          && (row->node.status != MBR_DEAD || row->unsure))
        others++;
    }
  return others > 1;
}

void
prb_heard (struct mbr *m)
{
  m->heard = m->now;
  if (!m->deaf)
    return;
  m->deaf = false;
  for (size_t i = 0; i < m->nrows; i++)
    if (m->rows[i]->unsure)
      {
        mbt_set_status (m, m->rows[i], m->rows[i]->sure);
        m->rows[i]->unsure = false;
      }
}

static void
mark (struct mbr *m, struct mbr_row *row, enum mbr_status status, bool deaf)
{
  if (!row->unsure)
    row->sure = row->node.status;
  mbt_set_status (m, row, status);
  row->unsure = deaf;
  if (deaf)
    m->deaf = true;
  else
    gsp_queue_fact (m, row);
}

static void
accuse (struct mbr *m, struct mbr_row *row)
{
  uint32_t self = (uint32_t)m->self->id;

  if (row->node.status == MBR_DEAD)
    return;
  if (row->node.status != MBR_SUSPECT)
    {
      m->counts.suspected++;
      /* Not even a helper's word since the probe began. */
      mark (m, row, MBR_SUSPECT, is_deaf (m, MBR_PROBE_MS));
    }
  for (size_t i = 0; i < row->naccusers; i++)
    if (row->accusers[i] == self)
      return;
  if (row->naccusers == MBR_ACCUSERS)
    return;
  row->accusers[row->naccusers++] = self;
  if (!row->unsure)
    gsp_queue_fact (m, row);
}

/**
 * How long a suspicion lasts before it becomes a death.  Long enough for the
 * subject to hear of it and refute, as gossip reaches n nodes in log(n)
 * rounds; longer when few others found it silent too, since then the fault
 * may be the accuser's; longer while this node is not well itself.
 */
static clk_ms
suspicion_ms (const struct mbr *m, const struct mbr_row *row)
{
  size_t present = mbt_present (m);
  size_t others = present > 2 ? present - 2 : 0;
  size_t want = others < MBR_CONFIRM ? others : MBR_CONFIRM;
  size_t have = row->naccusers > 1 ? row->naccusers - 1 : 0;
  double least
      = MBR_SUSPECT_MULT * log10 ((double)present + 1) * (double)MBR_PROBE_MS;
  double factor = 1;

  if (have < want)
    factor = UNCONFIRMED_FACTOR
             - (UNCONFIRMED_FACTOR - 1) * log ((double)have + 1)
                   / log ((double)want + 1);
  return scaled (m, (clk_ms)(least * factor));
}

static void send_ping (struct mbr *m, struct mbr_row *to, uint64_t number);

/**
 * Half way the suspect is asked once more by each that suspects it.  Gossip
 * may have lost its refutation on the way to one of many; that one would
 * hold it for dead although all others talk with it.
 */
static void
age_suspect (struct mbr *m, struct mbr_row *row)
{
  clk_ms age = m->now - row->since;
  clk_ms limit = suspicion_ms (m, row);

  if (age >= limit)
    {
      m->counts.died++;
      mark (m, row, MBR_DEAD, is_deaf (m, 3 * MBR_PROBE_MS));
    }
  else if (!row->asked && age >= limit / 2)
    {
      row->asked = true;
      send_ping (m, row, ++m->probe_no);
    }
}

/** Declare suspects dead and forget the long dead. */
static void
age_rows (struct mbr *m)
{
  for (size_t i = m->nrows; i-- > 0;)
    {
      struct mbr_row *row = m->rows[i];
      clk_ms age = m->now - row->since;

      if (row->node.status == MBR_SUSPECT)
        age_suspect (m, row);
      else if (row->node.status == MBR_DEAD && mbt_local (m, row)
               && age >= MBR_FORGET_MS)
        mbt_drop (m, row);
    }
}

/** A new random order for the next round over the own region. */
static void
shuffle_order (struct mbr *m)
{
  m->norder = 0;
  m->at_order = 0;
  if (m->cap_order < m->nrows)
    {
      m->cap_order = m->nrows;
      m->order = xrealloc (m->order, m->cap_order * sizeof *m->order);
    }
  for (size_t i = 0; i < m->nrows; i++)
    {
      const struct mbr_row *row = m->rows[i];

      if (row != m->self && row->node.status != MBR_DEAD && mbt_local (m, row))
        m->order[m->norder++] = row->id;
    }
  for (size_t i = m->norder; i > 1; i--)
    {
      size_t j = (size_t)rng_below (&m->rng, i);
      uint64_t swap = m->order[i - 1];

      m->order[i - 1] = m->order[j];
      m->order[j] = swap;
    }
}

static struct mbr_row *
next_target (struct mbr *m)
{
  struct mbr_row *far = NULL;

  if (m->slot++ % FAR_SLOT == FAR_SLOT - 1)
    far = rgn_probe_target (m);
  if (far != NULL)
    return far;
  for (int round = 0; round < 2; round++)
    {
      while (m->at_order < m->norder)
        {
          struct mbr_row *row = mbt_find_id (m, m->order[m->at_order++]);

          if (row != NULL && row->node.status != MBR_DEAD)
            return row;
        }
      shuffle_order (m);
    }
  return NULL;
}

static void
send_ping (struct mbr *m, struct mbr_row *to, uint64_t number)
{
  struct pkt p;

  pkt_begin (m, &p, SWIM__KIND__PING, to);
  p.msg.probe = number;
  /* The accused hears of it first, so that it can refute in its answer. */
  if (to->node.status != MBR_ALIVE)
    pkt_add_member (&p, to, MBR_MAX_PACKET);
  if (mbt_local (m, to))
    gsp_fill (m, &p);
  else
    pkt_add_gauge (&p, m->self, MBR_MAX_PACKET);
  pkt_send (m, &p, &to->node.swim);
}

static void
start_probe (struct mbr *m)
{
  struct mbr_row *target = next_target (m);

  m->next_probe = m->now + scaled (m, MBR_PROBE_MS);
  if (target == NULL)
    return;
  m->probe = (struct mbr_probe){ .active = true,
                                 .number = ++m->probe_no,
                                 .target = target->id,
                                 .started = m->now };
  send_ping (m, target, m->probe.number);
}

/** Ask others: the way between us may be cut although the target runs. */
static void
ask_helpers (struct mbr *m, const struct mbr_row *target)
{
  size_t first = (size_t)rng_below (&m->rng, m->nrows);

  m->probe.asked = true;
  for (size_t i = 0; i < m->nrows && m->probe.helpers < MBR_HELPERS; i++)
    {
      struct mbr_row *row = m->rows[(first + i) % m->nrows];
      struct pkt p;

      if (row == m->self || row == target || !mbt_local (m, row)
          || row->node.status != MBR_ALIVE)
        continue;
      pkt_begin (m, &p, SWIM__KIND__PING_REQ, row);
      p.msg.probe = m->probe.number;
      pkt_target (&p, target);
      gsp_fill (m, &p);
      pkt_send (m, &p, &row->node.swim);
      m->probe.helpers++;
    }
}

static void
fail_probe (struct mbr *m, struct mbr_row *target)
{
  m->probe.active = false;
  /* Helpers answer even when the target does not.  Silent helpers mean that
     it is this node that is not heard or does not hear. */
  if (m->probe.nacks < m->probe.helpers)
    prb_worse (m, 1);
  accuse (m, target);
}

static void
advance_probe (struct mbr *m)
{
  clk_ms age = m->now - m->probe.started;
  struct mbr_row *target = mbt_find_id (m, m->probe.target);

  if (target == NULL || target->node.status == MBR_DEAD)
    m->probe.active = false;
  else if (age >= scaled (m, MBR_PROBE_MS))
    fail_probe (m, target);
  else if (!m->probe.asked && age >= scaled (m, MBR_ACK_MS))
    ask_helpers (m, target);
}

static void
end_relays (struct mbr *m)
{
  for (size_t i = 0; i < MBR_RELAYS; i++)
    {
      struct mbr_relay *r = &m->relays[i];
      struct mbr_row *to;
      struct pkt p;

      if (r->number == 0 || m->now < r->deadline)
        continue;
      r->number = 0;
      to = mbt_find_id (m, r->requester);
      if (to == NULL)
        continue;
      pkt_begin (m, &p, SWIM__KIND__NACK, to);
      p.msg.probe = r->asked_no;
      pkt_send (m, &p, &to->node.swim);
    }
}

/**
 * Ping one node that is held for dead.  After a cut each side holds the
 * other for dead and probes it no more; without these pings the two would
 * stay apart for ever.
 */
static void
reconnect (struct mbr *m)
{
  struct mbr_row *pick = NULL;
  size_t n = 0;

  m->next_reconnect = m->now + RECONNECT_MS;
  for (size_t i = 0; i < m->nrows; i++)
    {
      struct mbr_row *row = m->rows[i];

      if (row->node.status == MBR_DEAD
          && (mbt_local (m, row) || mbr_is_bridge (m, row->node.region))
          && rng_below (&m->rng, ++n) == 0)
        pick = row;
    }
  if (pick != NULL)
    send_ping (m, pick, ++m->probe_no);
}

void
prb_tick (struct mbr *m)
{
  age_rows (m);
  end_relays (m);
  if (m->probe.active)
    advance_probe (m);
  if (!m->probe.active && m->now >= m->next_probe)
    start_probe (m);
  if (m->now >= m->next_reconnect)
    reconnect (m);
}

static void
send_ack (struct mbr *m, uint64_t number, struct mbr_row *to,
          const struct net_addr *addr)
{
  struct pkt p;
  bool local = to != NULL && mbt_local (m, to);

  pkt_begin (m, &p, SWIM__KIND__ACK, to);
  p.msg.probe = number;
  p.msg.introduce = to == NULL;
  if (to != NULL && to->node.status != MBR_ALIVE)
    pkt_add_member (&p, to, MBR_MAX_PACKET);
  if (!local || m->misjudged)
    pkt_add_member (&p, m->self, MBR_MAX_PACKET);
  if (local)
    gsp_fill (m, &p);
  else
    pkt_add_gauge (&p, m->self, MBR_MAX_PACKET);
  pkt_send (m, &p, addr);
}

void
prb_ping (struct mbr *m, const Swim__Packet *p, struct mbr_row *from,
          const struct net_addr *addr)
{
  send_ack (m, p->probe, from, from != NULL ? &from->node.swim : addr);
}

void
prb_ack (struct mbr *m, const Swim__Packet *p)
{
  if (m->probe.active && p->probe == m->probe.number)
    {
      m->probe.active = false;
      if (m->score > 0)
        m->score--;
      return;
    }
  for (size_t i = 0; i < MBR_RELAYS; i++)
    {
      struct mbr_relay *r = &m->relays[i];
      struct mbr_row *to;

      if (r->number == 0 || r->number != p->probe)
        continue;
      r->number = 0;
      to = mbt_find_id (m, r->requester);
      if (to != NULL)
        send_ack (m, r->asked_no, to, &to->node.swim);
    }
}

void
prb_nack (struct mbr *m, const Swim__Packet *p)
{
  if (m->probe.active && p->probe == m->probe.number)
    m->probe.nacks++;
}

void
prb_ping_req (struct mbr *m, const Swim__Packet *p, struct mbr_row *from)
{
  struct mbr_row *target = mbt_find (m, str_from (p->target->name));

  if (from == NULL || target == NULL || target == m->self
      || target->node.boot != p->target->boot)
    return;
  for (size_t i = 0; i < MBR_RELAYS; i++)
    {
      struct mbr_relay *r = &m->relays[i];

      if (r->number != 0)
        continue;
      r->number = ++m->probe_no;
      r->asked_no = p->probe;
      r->requester = from->id;
      r->deadline = m->now + MBR_ACK_MS;
      send_ping (m, target, r->number);
      return;
    }
}
