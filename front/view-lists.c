#include <stdlib.h>
#include <string.h>

#include "front/view.h"

static struct str
copy_text (struct view_lists *l, const char *text)
{
  l->texts = xrealloc (l->texts, (l->ntexts + 1) * sizeof l->texts[0]);
  l->texts[l->ntexts] = xstrdup (text ? text : "");
  return str_from (l->texts[l->ntexts++]);
}

static struct str
copy_str (struct view_lists *l, struct str text)
{
  struct str out;
  char *copy = str_dup (text);

  out = copy_text (l, copy);
  free (copy);
  return out;
}

void
view_lists_free (struct view_lists *l)
{
  for (size_t i = 0; i < l->ntexts; i++)
    free (l->texts[i]);
  free (l->texts);
  free (l->nodes);
  free (l->replicas);
  free (l->shutting_down);
  memset (l, 0, sizeof *l);
}

static void
add_node (struct view_lists *l, const Lapis__NodeView *from)
{
  struct gw_node *n = &l->nodes[l->nnodes++];

  n->name = copy_text (l, from->node);
  n->zone = copy_text (l, from->zone);
  n->region = copy_text (l, from->region);
  n->boot = from->boot;
  n->status = from->status;
  n->load = from->load;
  net_addr_parse (str_from (from->http_addr), true, &n->http);
  net_addr_parse (str_from (from->peer_addr), true, &n->peer);
}

static struct str
zone_of (const struct cfg *cfg, struct str domain)
{
  const struct cfg_domain *d = cfg ? cfg_domain (cfg, domain) : NULL;
  return d ? d->zone : STR_EMPTY;
}

static void
add_replica (struct view_lists *l, const struct cfg *cfg, clk_ms now,
             const Lapis__ReplicaView *from)
{
  struct rt_replica *r = &l->replicas[l->nreplicas];
  struct str zone = zone_of (cfg, str_from (from->domain));

  memset (r, 0, sizeof *r);
  if (!net_addr_parse (str_from (from->leader_addr), false, &r->addr))
    return;
  l->nreplicas++;
  r->name = copy_text (l, from->replica);
  r->model = copy_text (l, from->model);
  r->zone = copy_text (l, zone.len ? zone.ptr : "");
  r->generation = (int64_t)from->generation;
  r->whole = from->whole;
  r->draining = from->draining;
  r->valid_until = now + from->valid_ms;
  r->load = from->load;
  r->load_at = now - from->load_age_ms;
}

static bool
has_replica (const struct view_lists *l, struct str name)
{
  for (size_t i = 0; i < l->nreplicas; i++)
    if (str_eq (l->replicas[i].name, name))
      return true;
  return false;
}

/**
 * Copies replicas that the view lacks.  A control process that has just
 * started, or whose domain's home has just started, has no leader of the
 * replica yet.  If the gateway dropped the replica, requests would be refused
 * until its members have been probed.  The old entry is kept with its old
 * expiry, and the gateway probes the members itself.
 */
static void
keep_missing (struct view_lists *l, const struct cfg *cfg,
              const struct view_lists *old)
{
  for (size_t i = 0; i < old->nreplicas; i++)
    {
      struct rt_replica r = old->replicas[i];

      if (cfg == NULL || cfg_replica (cfg, r.name) == NULL
          || has_replica (l, r.name))
        continue;
      r.name = copy_str (l, r.name);
      r.model = copy_str (l, r.model);
      r.zone = copy_str (l, r.zone);
      l->replicas[l->nreplicas++] = r;
    }
}

bool
view_lists_is_leaving (const struct view_lists *l, struct str backend)
{
  for (size_t i = 0; i < l->nleaving; i++)
    if (str_eq (l->shutting_down[i], backend))
      return true;
  return false;
}

static void
add_leaving (struct view_lists *l, const struct view_lists *old,
             const Lapis__View *v, bool new_link)
{
  size_t nold = new_link ? old->nleaving : 0;

  l->shutting_down
      = xcalloc (v->n_leaving_backends + nold + 1, sizeof *l->shutting_down);
  for (size_t i = 0; i < v->n_leaving_backends; i++)
    l->shutting_down[l->nleaving++] = copy_text (l, v->leaving_backends[i]);
  for (size_t i = 0; i < nold; i++)
    if (!view_lists_is_leaving (l, old->shutting_down[i]))
      l->shutting_down[l->nleaving++] = copy_str (l, old->shutting_down[i]);
}

void
view_lists_read (struct view_lists *l, const struct view_lists *old,
                 const struct cfg *cfg, const Lapis__View *v, bool new_link)
{
  clk_ms now = clk_now ();

  memset (l, 0, sizeof *l);
  l->nodes = xcalloc (v->n_nodes + 1, sizeof l->nodes[0]);
  l->replicas
      = xcalloc (v->n_replicas + old->nreplicas + 1, sizeof l->replicas[0]);
  for (size_t i = 0; i < v->n_nodes; i++)
    add_node (l, v->nodes[i]);
  for (size_t i = 0; i < v->n_replicas; i++)
    add_replica (l, cfg, now, v->replicas[i]);
  keep_missing (l, cfg, old);
  add_leaving (l, old, v, new_link);
}
