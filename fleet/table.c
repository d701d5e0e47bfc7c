#include "fleet/member-internal.h"

#include <stdlib.h>
#include <string.h>

uint64_t
mbt_id (struct str name, uint64_t boot)
{
  /* Not the boot as the hash's seed: for short names the seed only turns the
     bits of the name, so that "n26" of one boot was "n21" of another. */
  char bytes[MBR_MAX_NAME + sizeof boot];

  if (name.len > MBR_MAX_NAME)
    name.len = MBR_MAX_NAME;
  memcpy (bytes, name.ptr, name.len);
  memcpy (bytes + name.len, &boot, sizeof boot);
  return str_hash (str_make (bytes, name.len + sizeof boot), 0);
}

/** Index of @p name, or where it would be. */
static size_t
row_index (const struct mbr *m, struct str name, bool *found)
{
  size_t low = 0, high = m->nrows;

  *found = false;
  while (low < high)
    {
      size_t mid = (low + high) / 2;
      int order = str_cmp (m->rows[mid]->node.name, name);

      if (order == 0)
        {
          *found = true;
          return mid;
        }
      if (order < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

struct mbr_row *
mbt_find (const struct mbr *m, struct str name)
{
  bool found;
  size_t i = row_index (m, name, &found);

  return found ? m->rows[i] : NULL;
}

struct mbr_row *
mbt_find_id (const struct mbr *m, uint64_t id)
{
  for (size_t i = 0; i < m->nrows; i++)
    if (m->rows[i]->id == id)
      return m->rows[i];
  return NULL;
}

static void
set_text (char **owned, struct str *view, struct str value)
{
  char *copy = str_dup (value);

  free (*owned);
  *owned = copy;
  *view = str_from (copy);
}

/** Take over everything that a node says about itself. */
static void
row_assign (struct mbr_row *row, const struct mbr_node *node)
{
  struct mbr_node old = row->node;

  row->node = *node;
  row->node.name = old.name;
  row->node.zone = old.zone;
  row->node.region = old.region;
  if (row->name == NULL)
    set_text (&row->name, &row->node.name, node->name);
  if (row->zone == NULL || !str_eq (old.zone, node->zone))
    set_text (&row->zone, &row->node.zone, node->zone);
  if (row->region == NULL || !str_eq (old.region, node->region))
    set_text (&row->region, &row->node.region, node->region);
  row->id = mbt_id (row->node.name, node->boot);
}

struct mbr_row *
mbt_add (struct mbr *m, const struct mbr_node *node)
{
  struct mbr_row *row = xcalloc (1, sizeof *row);
  bool found;
  size_t at = row_index (m, node->name, &found);

  row_assign (row, node);
  row->since = m->now;
  row->mentioned = m->now;
  if (m->nrows == m->cap_rows)
    {
      m->cap_rows = m->cap_rows ? 2 * m->cap_rows : 16;
      m->rows = xrealloc (m->rows, m->cap_rows * sizeof *m->rows);
    }
  memmove (m->rows + at + 1, m->rows + at, (m->nrows - at) * sizeof *m->rows);
  m->rows[at] = row;
  m->nrows++;
  return row;
}

static void
row_free (struct mbr_row *row)
{
  free (row->name);
  free (row->zone);
  free (row->region);
  free (row);
}

void
mbt_drop (struct mbr *m, struct mbr_row *row)
{
  bool found;
  size_t at = row_index (m, row->node.name, &found);

  m->nrows--;
  memmove (m->rows + at, m->rows + at + 1, (m->nrows - at) * sizeof *m->rows);
  m->dropped = xrealloc (m->dropped, (m->ndropped + 1) * sizeof *m->dropped);
  m->dropped[m->ndropped++] = row;
}

void
mbt_free_dropped (struct mbr *m)
{
  for (size_t i = 0; i < m->ndropped; i++)
    row_free (m->dropped[i]);
  m->ndropped = 0;
}

void
mbt_free (struct mbr *m)
{
  mbt_free_dropped (m);
  for (size_t i = 0; i < m->nrows; i++)
    row_free (m->rows[i]);
  free (m->dropped);
  free (m->rows);
}

bool
mbt_local (const struct mbr *m, const struct mbr_row *row)
{
  return row == m->self || str_eq (row->node.region, m->self->node.region);
}

void
mbt_changed (struct mbr *m, const struct mbr_row *row, bool figures)
{
  struct mbr_out *o = mbr_out_new (m);

  o->action.kind = MBR_CHANGED;
  o->action.node = &row->node;
  o->action.figures = figures;
}

void
mbt_set_status (struct mbr *m, struct mbr_row *row, enum mbr_status status)
{
  bool back = row->node.status == MBR_SUSPECT || row->node.status == MBR_DEAD;

  if (status == row->node.status)
    return;
  if (back && status != MBR_SUSPECT && status != MBR_DEAD)
    m->counts.refuted++;
  if (status != MBR_SUSPECT)
    row->naccusers = 0;
  row->node.status = status;
  row->since = m->now;
  row->unsure = false;
  row->asked = false;
  mbt_changed (m, row, false);
}

/** At the same incarnation the graver statement wins. */
static int
status_rank (enum mbr_status s)
{
  static const int rank[] = {
    [MBR_ALIVE] = 0, [MBR_LEAVING] = 1, [MBR_SUSPECT] = 2, [MBR_DEAD] = 3
  };
  return rank[s];
}

static bool
add_accusers (struct mbr_row *row, const Swim__Member *s)
{
  size_t before = row->naccusers;

  for (size_t i = 0; i < s->n_accusers; i++)
    {
      bool known = row->naccusers == MBR_ACCUSERS;

      for (size_t j = 0; j < row->naccusers; j++)
        known = known || row->accusers[j] == s->accusers[i];
      if (!known)
        row->accusers[row->naccusers++] = s->accusers[i];
    }
  return row->naccusers > before;
}

/**
 * Somebody speaks about this node.
 *
 * Without refutation a node that was frozen for a moment, or that one other
 * node can't reach, would be declared dead by all although it runs.  A
 * higher incarnation, which only the node itself hands out, wins over every
 * earlier accusation wherever it arrives.
 */
static void
merge_self (struct mbr *m, const Swim__Member *s)
{
  struct mbr_row *self = m->self;

  if (s->boot != self->node.boot)
    {
      if (s->boot > self->node.boot)
        m->counts.foreign++;
      else if (!self->fact_queued)
        gsp_queue_fact (m, self);
      return;
    }
  /* Whoever says so missed the refutation: it gets it with the answer. */
  if (s->status == MBR_SUSPECT || s->status == MBR_DEAD)
    m->misjudged = true;
  if (s->incarnation < self->node.incarnation)
    return;
  if (s->status == MBR_SUSPECT || s->status == MBR_DEAD)
    {
      m->counts.self_suspected++;
      prb_worse (m, 1);
    }
  else if (s->incarnation == self->node.incarnation)
    return;
  self->node.incarnation = s->incarnation + 1;
  gsp_queue_fact (m, self);
  rgn_tell_soon (m);
}

static void
node_from_member (const Swim__Member *s, struct mbr_node *out)
{
  memset (out, 0, sizeof *out);
  out->name = str_from (s->name);
  out->boot = s->boot;
  out->zone = str_from (s->zone);
  out->region = str_from (s->region);
  pkt_addr_read (&s->swim, &out->swim);
  pkt_addr_read (&s->peer, &out->peer);
  pkt_addr_read (&s->gw_http, &out->gw_http);
  pkt_addr_read (&s->gw_peer, &out->gw_peer);
  out->status = (enum mbr_status)s->status;
  out->incarnation = s->incarnation;
}

static bool
same_addresses (const struct mbr_node *a, const struct mbr_node *b)
{
  return net_addr_eq (&a->swim, &b->swim) && net_addr_eq (&a->peer, &b->peer)
         && net_addr_eq (&a->gw_http, &b->gw_http)
         && net_addr_eq (&a->gw_peer, &b->gw_peer);
}

/** A name that is not known yet, or a higher boot of one that is. */
static void
take_new (struct mbr *m, struct mbr_row *row, const struct mbr_node *node,
          const Swim__Member *s)
{
  /* The dead are not learned anew: one node's memory would otherwise bring
     back what another has already forgotten. */
  if (row == NULL && node->status == MBR_DEAD)
    return;
  if (row == NULL)
    row = mbt_add (m, node);
  else
    {
      row_assign (row, node);
      memset (&row->window, 0, sizeof row->window);
      row->gauge_version = 0;
      row->gauge_queued = false;
      row->since = m->now;
      row->mentioned = m->now;
      row->unsure = false;
      row->asked = false;
    }
  row->naccusers = 0;
  if (node->status == MBR_SUSPECT)
    add_accusers (row, s);
  gsp_queue_fact (m, row);
  mbt_changed (m, row, false);
}

/** A newer statement about the same boot. */
static void
take_newer (struct mbr *m, struct mbr_row *row, const struct mbr_node *node,
            const Swim__Member *s)
{
  bool moved = !same_addresses (&row->node, node);

  if (node->incarnation > row->node.incarnation)
    row->naccusers = 0;
  row->node.swim = node->swim;
  row->node.peer = node->peer;
  row->node.gw_http = node->gw_http;
  row->node.gw_peer = node->gw_peer;
  row->node.incarnation = node->incarnation;
  if (moved && row->node.status == node->status)
    mbt_changed (m, row, false);
  mbt_set_status (m, row, node->status);
  row->unsure = false;
  if (node->status == MBR_SUSPECT)
    add_accusers (row, s);
  gsp_queue_fact (m, row);
}

void
mbt_take (struct mbr *m, const Swim__Member *s)
{
  struct mbr_row *row = mbt_find (m, str_from (s->name));
  struct mbr_node node;

  if (row && row == m->self)
    {
      merge_self (m, s);
      return;
    }
  node_from_member (s, &node);
  /* A replaced VM keeps its name.  Late talk about its predecessor must not
     bring that back, so a lower boot never wins, whatever its incarnation. */
  if (row == NULL || s->boot > row->node.boot)
    {
      take_new (m, row, &node, s);
      return;
    }
  if (s->boot < row->node.boot || s->incarnation < row->node.incarnation)
    return;
  if (s->incarnation > row->node.incarnation
      || status_rank (node.status) > status_rank (row->node.status))
    take_newer (m, row, &node, s);
  else if (node.status == MBR_SUSPECT && row->node.status == MBR_SUSPECT
           && add_accusers (row, s))
    gsp_queue_fact (m, row);
}

void
mbt_merge (struct mbr *m, const Swim__Member *s)
{
  if (rgn_admit (m, s))
    mbt_take (m, s);
}

size_t
mbt_present (const struct mbr *m)
{
  size_t n = 0;

  for (size_t i = 0; i < m->nrows; i++)
    if (m->rows[i]->node.status != MBR_DEAD && mbt_local (m, m->rows[i]))
      n++;
  return n;
}

uint64_t
mbt_view (const struct mbr *m)
{
  uint64_t view = 0;

  for (size_t i = 0; i < m->nrows; i++)
    {
      const struct mbr_row *row = m->rows[i];
      uint64_t said[] = { row->id, row->node.incarnation, row->node.status };

      if (row->node.status != MBR_DEAD && mbt_local (m, row))
        view ^= str_hash (str_make (said, sizeof said), 0);
    }
  return view;
}
