#include <stdlib.h>
#include <string.h>

#include "control/domains.h"
#include "fleet/hash.h"

struct dom *
dom_find (const struct ctl_domains *domains, struct str name)
{
  for (size_t i = 0; i < domains->n; i++)
    if (str_eq (buf_str (&domains->list[i]->name), name))
      return domains->list[i];
  return NULL;
}

static void
format_key (struct buf *out, const struct ctl *c, struct str domain,
            const char *what)
{
  buf_addf (out, "%sdomain/%.*s/%s", c->set.store_prefix, STR_ARG (domain),
            what);
}

static void
start_cores (struct dom *d, clk_ms now)
{
  struct ctl *c = d->domains->c;
  struct str name = buf_str (&d->name);
  struct buf owner = BUF_INIT, assignment = BUF_INIT;
  struct rep_event config = { .kind = REP_CONFIG, .cfg = d->domains->cfg };

  format_key (&owner, c, name, "owner");
  format_key (&assignment, c, name, "assignment");
  struct own_options oo = { .key = buf_str (&owner),
                            .node = str_from (c->set.node),
                            .boot = c->boot,
                            .ttl = DOM_LEASE_MS,
                            .checks_fence = d->cfg->checks_fence,
                            .order_flight_ms = DOM_ORDER_TIMEOUT_MS };
  struct rep_options ro = { .domain = name,
                            .key = buf_str (&assignment),
                            .owner_key = buf_str (&owner) };
  d->own = own_new (&oo, rng_next (&c->rng));
  d->rep = rep_new (&ro, rng_next (&c->rng));
  d->publish_after = now + DOM_PUBLISH_DELAY_MS;
  rep_event (d->rep, now, &config);
  buf_free (&owner);
  buf_free (&assignment);
}

static void
stop_cores (struct dom *d, clk_ms now)
{
  if (!d->rep)
    return;
  own_set_wanted (d->own, now, false);
  dom_run_actions (d);
  dom_calls_cancel (d);
  own_free (d->own);
  rep_free (d->rep);
  d->own = NULL;
  d->rep = NULL;
}

static void
dom_free (struct dom *d)
{
  stop_cores (d, clk_now ());
  dom_remote_free (&d->remote);
  buf_free (&d->name);
  buf_free (&d->home_node);
  free (d);
}

static void
set_owner (struct dom *d, bool on, int64_t fence)
{
  struct rep_event ev = { .kind = REP_OWNER, .on = on, .fence = fence };

  rep_event (d->rep, clk_now (), &ev);
  d->changed = true;
  if (on)
    LOG (domain_gained, LOG_S ("domain", buf_str (&d->name)),
         LOG_I ("fence", fence));
  else
    LOG (domain_lost, LOG_S ("domain", buf_str (&d->name)));
}

static void
run_own_action (struct dom *d, const struct own_action *a)
{
  switch (a->kind)
    {
    case OWN_ACQUIRED:
      set_owner (d, true, a->fence);
      break;
    case OWN_LOST:
      set_owner (d, false, 0);
      break;
    default:
      dom_store_owner (d, a);
    }
}

static void
run_rep_action (struct dom *d, const struct rep_action *a)
{
  switch (a->kind)
    {
    case REP_PROBE:
      dom_probe (d, a->vm);
      break;
    case REP_SEND_ORDER:
      dom_order (d, a);
      break;
    case REP_STORE_TXN:
    case REP_STORE_READ:
      dom_store_assignment (d, a);
      break;
    case REP_VIEWS_CHANGED:
      d->changed = true;
      break;
    }
}

void
dom_run_actions (struct dom *d)
{
  struct own_action own;
  struct rep_action rep;
  bool more = true;

  while (more)
    {
      more = false;
      while (own_next (d->own, &own))
        {
          more = true;
          run_own_action (d, &own);
        }
      while (rep_next (d->rep, &rep))
        {
          more = true;
          run_rep_action (d, &rep);
        }
    }
}

/* The region of a zone is taken from any member of the zone, dead or alive. */
static bool
zone_in_other_region (const struct ctl *c, const struct mbr_node *const *nodes,
                      size_t n, struct str zone)
{
  for (size_t i = 0; i < n; i++)
    if (str_eq (nodes[i]->zone, zone))
      return !str_is (nodes[i]->region, c->set.region);
  return false;
}

static size_t
live_nodes (const struct ctl *c, const struct mbr_node *const *nodes, size_t n,
            struct str zone, struct str *names)
{
  size_t found = 0;

  for (size_t i = 0; i < n; i++)
    if (nodes[i]->status <= MBR_SUSPECT
        && str_is (nodes[i]->region, c->set.region)
        && (!zone.len || str_eq (nodes[i]->zone, zone))
        && !(c->leaving && str_is (nodes[i]->name, c->set.node)))
      names[found++] = nodes[i]->name;
  return found;
}

/* A domain's home is picked by hashing among the live nodes of its zone, or of
   the region when the zone has none.  While membership differs between nodes,
   two may pick themselves; only the lease holder sends orders. */
static bool
is_home (struct dom *d)
{
  const struct ctl *c = d->domains->c;
  size_t n, found;
  const struct mbr_node *const *nodes = ctl_swim_nodes (c->swim, &n);
  struct str *names = xcalloc (n + 1, sizeof *names);
  bool home = false;

  if (!zone_in_other_region (c, nodes, n, d->cfg->zone))
    {
      found = live_nodes (c, nodes, n, d->cfg->zone, names);
      if (!found)
        found = live_nodes (c, nodes, n, STR_EMPTY, names);
      buf_clear (&d->home_node);
      if (found)
        buf_add (&d->home_node,
                 names[hash_pick (buf_str (&d->name), names, found)]);
      home = str_is (buf_str (&d->home_node), c->set.node);
    }
  free (names);
  return home;
}

static void
update_home (struct dom *d, clk_ms now)
{
  bool home = d->cfg && is_home (d);

  if (home && !d->rep)
    start_cores (d, now);
  else if (!home)
    {
      dom_keep_evidence (d, now);
      stop_cores (d, now);
    }
  d->home = home;
  if (d->rep)
    {
      own_set_wanted (d->own, now, d->managed);
      dom_run_actions (d);
    }
}

void
ctl_domains_on_members_changed (struct ctl_domains *domains)
{
  clk_ms now = clk_now ();

  for (size_t i = 0; i < domains->n; i++)
    update_home (domains->list[i], now);
}

static bool
has_managed (const struct cfg *cfg, struct str domain)
{
  for (size_t i = 0; i < cfg->nreplicas; i++)
    if (str_eq (cfg->replicas[i].domain, domain)
        && cfg->replicas[i].mode == CFG_MANAGE)
      return true;
  return false;
}

static struct dom *
dom_new (struct ctl_domains *domains, struct str name)
{
  struct dom *d = xcalloc (1, sizeof *d);

  d->domains = domains;
  d->seq = rng_next (&domains->c->rng) >> 24;
  buf_add (&d->name, name);
  return d;
}

/* Moves the domain's state out of the old list, or creates it. */
static struct dom *
reuse_or_new (struct ctl_domains *domains, struct dom **old, size_t n,
              struct str name)
{
  for (size_t i = 0; i < n; i++)
    if (old[i] && str_eq (buf_str (&old[i]->name), name))
      {
        struct dom *d = old[i];

        old[i] = NULL;
        return d;
      }
  return dom_new (domains, name);
}

static void
apply_config (struct dom *d, const struct cfg_domain *cfg, clk_ms now)
{
  struct rep_event ev = { .kind = REP_CONFIG, .cfg = d->domains->cfg };
  /* A new owner waits before its first order unless checks_fence is set, so
     the cores start again when that changes. */
  bool fencing_changed
      = d->cfg && d->rep && d->cfg->checks_fence != cfg->checks_fence;

  if (fencing_changed)
    stop_cores (d, now);
  d->cfg = cfg;
  d->managed = has_managed (d->domains->cfg, cfg->name);
  if (d->rep)
    rep_event (d->rep, now, &ev);
}

static void
index_replicas (struct ctl_domains *domains)
{
  free (domains->dom_by_replica);
  domains->dom_by_replica
      = xcalloc (domains->cfg->nreplicas + 1, sizeof *domains->dom_by_replica);
  for (size_t i = 0; i < domains->cfg->nreplicas; i++)
    domains->dom_by_replica[i]
        = dom_find (domains, domains->cfg->replicas[i].domain);
}

void
ctl_domains_on_config (struct ctl_domains *domains)
{
  struct dom **old = domains->list;
  size_t nold = domains->n;
  struct cfg *old_cfg = domains->cfg;
  clk_ms now = clk_now ();

  domains->cfg = cfg_ref (domains->c->cfg);
  domains->list = xcalloc (domains->cfg->ndomains + 1, sizeof *domains->list);
  domains->n = domains->cfg->ndomains;
  for (size_t i = 0; i < domains->n; i++)
    {
      const struct cfg_domain *cfg = &domains->cfg->domains[i];

      domains->list[i] = reuse_or_new (domains, old, nold, cfg->name);
      apply_config (domains->list[i], cfg, now);
    }
  for (size_t i = 0; i < nold; i++)
    if (old[i])
      dom_free (old[i]);
  free (old);
  index_replicas (domains);
  ctl_domains_on_members_changed (domains);
  if (old_cfg)
    cfg_unref (old_cfg);
}

static void
tick_dom (struct dom *d, clk_ms now)
{
  struct rep_event tick = { .kind = REP_TICK };

  dom_calls_tick (d, now);
  own_tick (d->own, now);
  dom_run_actions (d);
  rep_event (d->rep, now, &tick);
  dom_run_actions (d);
  if (dom_may_publish (d, now)
      && (d->changed || now - d->sent_at >= DOM_BROADCAST_INTERVAL_MS))
    dom_broadcast (d, now);
}

static void
on_timer (uv_timer_t *t)
{
  struct ctl_domains *domains = t->data;
  clk_ms now = clk_now ();
  bool changed = false;

  dom_schedule_loads (domains, now);
  for (size_t i = 0; i < domains->n; i++)
    if (domains->list[i]->rep)
      {
        tick_dom (domains->list[i], now);
        changed = changed || domains->list[i]->changed;
        domains->list[i]->changed = false;
      }
  dom_platform_tick (domains, now);
  dom_avail_tick (domains);
  if (changed)
    ctl_evidence_changed (domains->c);
}

struct ctl_domains *
ctl_domains_start (struct ctl *c, struct buf *err)
{
  struct ctl_domains *domains = xcalloc (1, sizeof *domains);

  (void)err;
  domains->c = c;
  domains->probes = met_counter (c->met, "lapisline_probes_total",
                                 "Probes sent to VMs.", NULL);
  domains->orders = met_counter (c->met, "lapisline_orders_total",
                                 "Orders sent to VMs.", NULL);
  domains->stopped_orders
      = met_counter (c->met, "lapisline_orders_stopped_total",
                     "Orders held back, as ownership had lapsed.", NULL);
  domains->evidence_bytes
      = met_counter (c->met, "lapisline_evidence_bytes_total",
                     "Bytes of evidence packed, before copies.", NULL);
  domains->paused
      = met_gauge (c->met, "lapisline_vms_paused",
                   "VMs that have asked this process for a pause.", NULL);
  domains->announced_leaving = met_gauge (
      c->met, "lapisline_vms_leaving",
      "VMs that have announced their shutdown to this process.", NULL);
  domains->avail = avl_new ();
  uv_timer_init (c->loop, &domains->timer);
  domains->timer.data = domains;
  uv_timer_start (&domains->timer, on_timer, (uint64_t)DOM_TICK_MS,
                  (uint64_t)DOM_TICK_MS);
  domains->leaving = g_ptr_array_new_with_free_func (free);
  domains->all_leaving = g_ptr_array_new ();
  if (c->cfg)
    ctl_domains_on_config (domains);
  return domains;
}

static void
on_closed (uv_handle_t *h)
{
  free (h->data);
}

void
ctl_domains_stop (struct ctl_domains *domains)
{
  uv_timer_stop (&domains->timer);
  dom_platform_stop (domains);
  for (size_t i = 0; i < domains->n; i++)
    dom_free (domains->list[i]);
  free (domains->list);
  free (domains->dom_by_replica);
  free (domains->merged);
  avl_free (domains->avail);
  g_ptr_array_free (domains->leaving, TRUE);
  g_ptr_array_free (domains->all_leaving, TRUE);
  if (domains->cfg)
    cfg_unref (domains->cfg);
  uv_close ((uv_handle_t *)&domains->timer, on_closed);
}

bool
ctl_domains_drain (struct ctl_domains *domains, struct str replica, bool on)
{
  const struct cfg_replica *r
      = domains->cfg ? cfg_replica (domains->cfg, replica) : NULL;
  struct dom *d = r ? dom_find (domains, r->domain) : NULL;
  struct rep_event ev = { .kind = REP_DRAIN, .replica = replica, .on = on };

  if (!d || !d->rep)
    return false;
  rep_event (d->rep, clk_now (), &ev);
  dom_run_actions (d);
  return true;
}
