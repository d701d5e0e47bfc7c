#include <stdlib.h>

#include "control/domains.h"

/** Sort key of a domain that waits to load weights; lower loads first. */
struct urgency
{
  bool waits;
  unsigned live; /* serving replicas of its model that has the fewest */
  uint64_t tie;
};

static bool
serves (const struct ctl_replica *r, clk_ms now)
{
  return r->whole && r->valid_until > now;
}

static size_t
model_index (const struct cfg *cfg, struct str name)
{
  return (size_t)(cfg_model (cfg, name) - cfg->models);
}

/* Counts the serving replicas of each model, indexed as in the
   configuration. */
static unsigned *
count_live (const struct cfg *cfg, const struct ctl_replica *list, size_t n,
            clk_ms now)
{
  unsigned *live = xcalloc (cfg->nmodels + 1, sizeof *live);

  for (size_t i = 0; i < n; i++)
    if (serves (&list[i], now))
      live[model_index (cfg, list[i].model)]++;
  return live;
}

static void
note_waiting (const struct ctl_domains *all, const struct ctl_replica *r,
              size_t index, const unsigned *live, clk_ms now,
              struct urgency *u)
{
  unsigned of_model = live[model_index (all->cfg, r->model)];

  if (all->cfg->replicas[index].mode != CFG_MANAGE || r->draining
      || serves (r, now))
    return;
  u->waits = true;
  if (of_model < u->live)
    u->live = of_model;
}

static size_t
dom_index (const struct ctl_domains *all, const struct dom *d)
{
  size_t i = 0;

  while (all->list[i] != d)
    i++;
  return i;
}

static struct urgency *
find_urgency (const struct ctl_domains *all, const struct ctl_replica *list,
              size_t n, const unsigned *live, clk_ms now)
{
  struct urgency *u = xcalloc (all->n + 1, sizeof *u);

  for (size_t i = 0; i < all->n; i++)
    u[i] = (struct urgency){ .live = UINT32_MAX,
                             .tie
                             = str_hash (buf_str (&all->list[i]->name), 0) };
  for (size_t i = 0; i < n; i++)
    note_waiting (all, &list[i], i, live, now,
                  &u[dom_index (all, all->dom_of[i])]);
  return u;
}

static bool
goes_before (const struct urgency *a, const struct urgency *b)
{
  if (!a->waits || a->live != b->live)
    return a->waits && a->live < b->live;
  return a->tie < b->tie;
}

static void
give_turn (struct dom *d, const struct urgency *all, size_t n, size_t self,
           clk_ms now)
{
  struct rep_event turn = { .kind = REP_TURN };
  size_t before = 0;

  for (size_t i = 0; i < n; i++)
    before += i != self && goes_before (&all[i], &all[self]);
  if (!all[self].waits)
    d->waiting_since = 0;
  else if (!d->waiting_since)
    d->waiting_since = now;
  /* The limit on waiting keeps a domain that cannot load from blocking the
     others for ever. */
  turn.on = before < DOM_LOADS
            || (d->waiting_since && now - d->waiting_since >= DOM_TURN_MS);
  rep_event (d->rep, now, &turn);
}

static void
tell_live (struct dom *d, const unsigned *live, clk_ms now)
{
  for (size_t i = 0; i < d->all->cfg->nmodels; i++)
    {
      struct rep_event ev = { .kind = REP_LIVE };

      ev.model = d->all->cfg->models[i].name;
      ev.live = live[i];
      rep_event (d->rep, now, &ev);
    }
}

/* Each owner sorts the waiting domains by the last evidence received, so that
   owners agree on the order without messages.  When evidence differs between
   nodes for a second, one domain more or less loads at a time, which affects
   only the speed. */
void
dom_share_budget (struct ctl_domains *all, clk_ms now)
{
  const struct ctl_replica *list;
  struct urgency *order;
  unsigned *live;
  size_t n;

  if (!all->cfg || now < all->next_share)
    return;
  all->next_share = now + DOM_SHARE_MS;
  list = ctl_domains_replicas (all, &n);
  live = count_live (all->cfg, list, n, now);
  order = find_urgency (all, list, n, live, now);
  for (size_t i = 0; i < all->n; i++)
    if (all->list[i]->rep && all->list[i]->managed)
      {
        give_turn (all->list[i], order, all->n, i, now);
        tell_live (all->list[i], live, now);
      }
  free (order);
  free (live);
}
