#include "fleet/hash.h"
#include "fleet/member-internal.h"

#include <stdlib.h>
#include <string.h>

#define BRIDGES_MS ((clk_ms)1000)
#define SUMMARY_MS ((clk_ms)10000)

/* A node that is named as a bridge no more is dropped after this long,
   provided that others of its region are still named. */
#define UNNAMED_MS ((clk_ms)35000)

struct mbr_far_region *
rgn_find (struct mbr *m, struct str name)
{
  for (size_t i = 0; i < m->nregions; i++)
    if (str_is (name, m->regions[i].name))
      return &m->regions[i];
  return NULL;
}

static struct mbr_far_region *
rgn_get (struct mbr *m, struct str name)
{
  struct mbr_far_region *r = rgn_find (m, name);

  if (r != NULL || m->nregions == MBR_REGIONS || name.len == 0
      || str_eq (name, m->self->node.region))
    return r;
  r = &m->regions[m->nregions++];
  memset (r, 0, sizeof *r);
  r->name = str_dup (name);
  r->origin = xstrdup ("");
  return r;
}

void
rgn_free (struct mbr *m)
{
  for (size_t i = 0; i < m->nregions; i++)
    {
      free (m->regions[i].name);
      free (m->regions[i].origin);
    }
}

bool
rgn_admit (struct mbr *m, const Swim__Member *s)
{
  struct str region = str_from (s->region);

  if (str_eq (region, m->self->node.region))
    return true;
  if (mbt_find (m, str_from (s->name)) != NULL)
    return true;
  /* The first contact of a region is kept until its bridges are known. */
  for (size_t i = 0; i < m->nrows; i++)
    if (str_eq (m->rows[i]->node.region, region))
      return false;
  return rgn_get (m, region) != NULL;
}

size_t
rgn_bridges (const struct mbr *m, struct str region, struct mbr_row **out)
{
  struct buf role = BUF_INIT;
  struct str *names = xcalloc (m->nrows, sizeof *names);
  size_t *index = xcalloc (m->nrows, sizeof *index);
  size_t picked[MBR_BRIDGES];
  size_t n = 0;

  for (size_t i = 0; i < m->nrows; i++)
    if (m->rows[i]->node.status == MBR_ALIVE && mbt_local (m, m->rows[i]))
      {
        names[n] = m->rows[i]->node.name;
        index[n++] = i;
      }
  buf_addf (&role, "bridge %.*s", STR_ARG (region));
  n = hash_pick_k (buf_str (&role), names, n, picked, MBR_BRIDGES);
  for (size_t i = 0; i < n; i++)
    out[i] = m->rows[index[picked[i]]];
  buf_free (&role);
  free (names);
  free (index);
  return n;
}

struct mbr_row *
rgn_probe_target (struct mbr *m)
{
  for (size_t i = 0; i < m->nregions; i++)
    {
      struct mbr_far_region *r = &m->regions[(m->slot / 4 + i) % m->nregions];
      struct mbr_row *first = NULL;
      size_t seen = 0;

      if (!r->bridge)
        continue;
      for (size_t j = 0; j < m->nrows; j++)
        {
          struct mbr_row *row = m->rows[j];

          if (row->node.status == MBR_DEAD
              || !str_is (row->node.region, r->name))
            continue;
          if (first == NULL)
            first = row;
          if (seen++ == r->turn)
            {
              r->turn++;
              return row;
            }
        }
      r->turn = 1;
      if (first != NULL)
        return first;
    }
  return NULL;
}

/** The row is named as a bridge of its region. */
void
rgn_mention (struct mbr *m, struct mbr_row *row)
{
  struct mbr_far_region *r = rgn_get (m, row->node.region);

  row->mentioned = m->now;
  if (r != NULL)
    r->mentioned = m->now;
}

void
rgn_take_summary (struct mbr *m, const Swim__Summary *s)
{
  struct mbr_far_region *r = rgn_get (m, str_from (s->region));

  if (r == NULL)
    return;
  /* Each of the bridges counts its own summaries; the one that is first by
     name speaks for the region while it is heard. */
  if (strcmp (s->origin, r->origin) == 0)
    {
      if (s->version <= r->version)
        return;
    }
  else if (r->heard != 0 && strcmp (s->origin, r->origin) > 0
           && m->now - r->heard < 3 * SUMMARY_MS)
    return;
  if (strcmp (s->origin, r->origin) != 0)
    {
      free (r->origin);
      r->origin = xstrdup (s->origin);
    }
  r->version = s->version;
  r->nodes = s->nodes;
  r->load = s->load;
  r->heard = m->now;
  r->queued = true;
  r->sent = 0;
  for (size_t i = 0; i < s->n_bridges; i++)
    {
      struct mbr_row *row;

      if (strcmp (s->bridges[i]->region, s->region) != 0)
        continue;
      mbt_take (m, s->bridges[i]);
      row = mbt_find (m, str_from (s->bridges[i]->name));
      if (row != NULL && row != m->self)
        rgn_mention (m, row);
    }
}

/** Tell the bridges of region @p r about this one. */
static void
send_summary (struct mbr *m, struct mbr_far_region *r)
{
  struct mbr_row *bridges[MBR_BRIDGES];
  size_t n = rgn_bridges (m, str_from (r->name), bridges);
  struct mbr_far_region own = { .name = m->self->region,
                                .origin = m->self->name,
                                .version = ++m->summary_version };

  own.nodes = (uint32_t)mbt_present (m);
  for (size_t i = 0; i < m->nrows; i++)
    if (mbt_local (m, m->rows[i]) && m->rows[i]->node.status != MBR_DEAD)
      own.load += m->rows[i]->node.load;
  for (size_t i = 0; i < m->nrows; i++)
    {
      struct mbr_row *to = m->rows[i];
      struct pkt p;

      if (!str_is (to->node.region, r->name) || to->node.status == MBR_DEAD)
        continue;
      pkt_begin (m, &p, SWIM__KIND__SUMMARY, to);
      pkt_add_summary (&p, &own, bridges, n, MBR_MAX_PACKET);
      pkt_send (m, &p, &to->node.swim);
    }
}

/* Something here must be known elsewhere before the next regular turn. */
void
rgn_tell_soon (struct mbr *m)
{
  for (size_t i = 0; i < m->nregions; i++)
    m->regions[i].next_summary = m->now;
}

static void
update_bridge (struct mbr *m, struct mbr_far_region *r)
{
  struct mbr_row *bridges[MBR_BRIDGES];
  size_t n = rgn_bridges (m, str_from (r->name), bridges);

  r->bridge = false;
  for (size_t i = 0; i < n; i++)
    r->bridge = r->bridge || bridges[i] == m->self;
}

static void
drop_unnamed (struct mbr *m, const struct mbr_far_region *r)
{
  for (size_t i = m->nrows; i-- > 0;)
    {
      struct mbr_row *row = m->rows[i];

      if (str_is (row->node.region, r->name)
          && r->mentioned - row->mentioned > UNNAMED_MS)
        mbt_drop (m, row);
    }
}

void
rgn_tick (struct mbr *m)
{
  if (m->now < m->next_bridges)
    return;
  m->next_bridges = m->now + BRIDGES_MS;
  for (size_t i = 0; i < m->nregions; i++)
    {
      struct mbr_far_region *r = &m->regions[i];

      update_bridge (m, r);
      drop_unnamed (m, r);
      if (!r->bridge || m->now < r->next_summary)
        continue;
      r->next_summary = m->now + SUMMARY_MS;
      send_summary (m, r);
    }
}
