#include <stdlib.h>

#include "control/domains.h"

/** Sort key of a domain that waits to load weights; lower loads first. */
struct load_priority
{
  bool waiting;
  /* Lowest number of serving replicas among the models that it would load. */
  unsigned fewest_serving;
  uint64_t tie_break;
};

static bool
is_serving (const struct ctl_replica *r, clk_ms now)
{
  return r->complete && r->valid_until > now;
}

static size_t
model_index (const struct cfg *cfg, struct str name)
{
  return (size_t)(cfg_model (cfg, name) - cfg->models);
}

/* The result is indexed as the configuration's models. */
static unsigned *
count_serving (const struct cfg *cfg, const struct ctl_replica *list, size_t n,
               clk_ms now)
{
  unsigned *serving = xcalloc (cfg->nmodels + 1, sizeof *serving);

  for (size_t i = 0; i < n; i++)
    if (is_serving (&list[i], now))
      serving[model_index (cfg, list[i].model)]++;
  return serving;
}

static void
add_waiting_replica (const struct ctl_domains *domains,
                     const struct ctl_replica *r, size_t index,
                     const unsigned *serving, clk_ms now,
                     struct load_priority *p)
{
  unsigned serving_of_model = serving[model_index (domains->cfg, r->model)];

  if (domains->cfg->replicas[index].mode != CFG_MANAGE || r->draining
      || is_serving (r, now))
    return;
  p->waiting = true;
  if (serving_of_model < p->fewest_serving)
    p->fewest_serving = serving_of_model;
}

static size_t
dom_index (const struct ctl_domains *domains, const struct dom *d)
{
  size_t i = 0;

  while (domains->list[i] != d)
    i++;
  return i;
}

static struct load_priority *
compute_priorities (const struct ctl_domains *domains,
                    const struct ctl_replica *list, size_t n,
                    const unsigned *serving, clk_ms now)
{
  struct load_priority *p = xcalloc (domains->n + 1, sizeof *p);

  for (size_t i = 0; i < domains->n; i++)
    p[i] = (struct load_priority){ .fewest_serving = UINT32_MAX,
                                   .tie_break = str_hash (
                                       buf_str (&domains->list[i]->name), 0) };
  for (size_t i = 0; i < n; i++)
    add_waiting_replica (domains, &list[i], i, serving, now,
                         &p[dom_index (domains, domains->dom_by_replica[i])]);
  return p;
}

static bool
loads_before (const struct load_priority *a, const struct load_priority *b)
{
  if (!a->waiting || a->fewest_serving != b->fewest_serving)
    return a->waiting && a->fewest_serving < b->fewest_serving;
  return a->tie_break < b->tie_break;
}

static void
update_may_load (struct dom *d, const struct load_priority *priorities,
                 size_t n, size_t self, clk_ms now)
{
  struct rep_event may_load = { .kind = REP_MAY_LOAD };
  size_t before = 0;

  for (size_t i = 0; i < n; i++)
    before += i != self && loads_before (&priorities[i], &priorities[self]);
  if (!priorities[self].waiting)
    d->load_wait_since = 0;
  else if (!d->load_wait_since)
    d->load_wait_since = now;
  /* A domain ahead of this one that cannot load must not block it for ever. */
  may_load.on = before < DOM_MAX_LOADING
                || (d->load_wait_since
                    && now - d->load_wait_since >= DOM_MAX_LOAD_WAIT_MS);
  rep_event (d->rep, now, &may_load);
}

static void
update_live_counts (struct dom *d, const unsigned *serving, clk_ms now)
{
  for (size_t i = 0; i < d->domains->cfg->nmodels; i++)
    {
      struct rep_event ev = { .kind = REP_COMPLETE_COUNT };

      ev.model = d->domains->cfg->models[i].name;
      ev.ncomplete = serving[i];
      rep_event (d->rep, now, &ev);
    }
}

/* No messages are needed: each home sorts the waiting domains by the evidence
   it has received.  While that differs between homes, for a second, one domain
   more or less loads at a time, which only affects the speed. */
void
dom_schedule_loads (struct ctl_domains *domains, clk_ms now)
{
  const struct ctl_replica *list;
  struct load_priority *priorities;
  unsigned *serving;
  size_t n;

  if (!domains->cfg || now < domains->next_load_schedule)
    return;
  domains->next_load_schedule = now + DOM_LOAD_SCHEDULE_INTERVAL_MS;
  list = ctl_domains_replicas (domains, &n);
  serving = count_serving (domains->cfg, list, n, now);
  priorities = compute_priorities (domains, list, n, serving, now);
  for (size_t i = 0; i < domains->n; i++)
    if (domains->list[i]->rep && domains->list[i]->managed)
      {
        update_may_load (domains->list[i], priorities, domains->n, i, now);
        update_live_counts (domains->list[i], serving, now);
      }
  free (priorities);
  free (serving);
}
