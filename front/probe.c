#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "back/back.h"
#include "front/gateway.h"
#include "front/members.h"
#include "replica/replica.h"

#define PROBE_TIMEOUT_MS ((clk_ms)800)

/** Maximum number of replicas that one gateway probes: with 8 members each,
    some 500 probes per second.  Each gateway probes the replicas of its own
    availability zone first, then those of others in an order that differs by
    gateway. */
#define MAX_REPLICAS 64
#define MAX_STATE_BYTES ((size_t)16384)

/** Probe results in a view are at most some 1.6 s old while the home of their
    domain sends reports.  The gateway starts to probe when they are older,
    before they expire: the local control process may be alive while the home
    of the domain, on another node, is dead.  Until that is detected and
   another home has started, no other process probes these members. */
#define OUTDATED_MS ((clk_ms)1600)

/** A replica that was last complete longer ago than this is not expected to
    recover by itself, so the gateways stop probing it. */
#define STOP_PROBING_MS (30 * CLK_SECOND)

enum probe_result
{
  PROBE_NONE,    /**< not probed yet */
  PROBE_MATCH,   /**< ready and a member of the replica */
  PROBE_MISMATCH /**< not ready, another generation, or not reachable */
};

struct probe_replica;

struct probe_member
{
  struct probe_replica *of;
  struct net_addr addr;
  struct httpc_call *call;
  struct buf body;
  int status;
  clk_ms probed_at;   /**< when the last probe was started */
  clk_ms matched_at;  /**< start of the last probe with PROBE_MATCH */
  int64_t generation; /**< in the last state received */
  int64_t rank;       /**< in the last state received; below 0: none */
  enum probe_result result;
  uint32_t load;
};

struct probe_replica
{
  struct gw_probe *p;
  const struct cfg_replica *cfg;
  struct rt_replica core;
  bool by_rank; /**< the leader is unknown: use the member with rank 0 */
  size_t need;  /**< number of members that must match: all listed members, or
                     the model's number of VMs out of those in the domain */
  size_t nmembers;
  struct probe_member *members;
};

struct gw_probe
{
  struct gw *g;
  struct cfg *cfg; /**< a reference: owns names */
  uv_timer_t timer;
  bool no_recent_view; /**< probe every replica */
  struct probe_replica **list;
  size_t n;
  size_t pending; /**< probes without a result */
};

/* ---- evaluation of the probe results ---- */

static size_t
find_leader (const struct probe_replica *r)
{
  size_t i = 0;

  while (i < r->nmembers && !net_addr_eq (&r->members[i].addr, &r->core.addr))
    i++;
  return i;
}

/**
 * Check whether enough members match, and find their leader.
 * @return probe time of the oldest result that is needed, or 0: too few match
 */
static clk_ms
replica_matched_at (const struct probe_replica *r, size_t *leader)
{
  struct member_report *states = xcalloc (r->nmembers, sizeof *states);
  clk_ms at;

  for (size_t i = 0; i < r->nmembers; i++)
    {
      const struct probe_member *m = &r->members[i];
      states[i].generation = m->generation;
      states[i].rank = m->rank;
      states[i].at = m->result == PROBE_MATCH ? m->matched_at : 0;
    }
  *leader = find_leader (r);
  if (r->by_rank)
    *leader = members_leader (states, r->nmembers, r->need, &at);
  else
    at = members_complete_at (states, r->nmembers, r->need, *leader);
  free (states);
  return at;
}

/**
 * Determine the state of a replica.  It is whole only while the required
 * number of members match and their probe results are valid; a required member
 * that reports another state or can't be reached ends that immediately.  Until
 * every member has been probed, the state in the view is used.
 * @return whether there is a leader to send requests to
 */
static bool
evaluate_replica (const struct probe_replica *r, struct rt_replica *out)
{
  size_t leader;
  clk_ms at = replica_matched_at (r, &leader);

  *out = r->core;
  if (r->by_rank && at == 0)
    return false;
  for (size_t i = 0; at == 0 && i < r->nmembers; i++)
    if (r->members[i].result == PROBE_NONE)
      return true;
  if (r->by_rank)
    {
      out->addr = r->members[leader].addr;
      out->generation = r->members[leader].generation;
    }
  out->whole = at != 0;
  out->valid_until = at + REP_PROBE_VALID_MS;
  out->load = r->members[0].load;
  out->load_at = r->members[0].probed_at;
  return true;
}

static struct probe_replica *
find_probed (const struct gw_probe *p, struct str name)
{
  for (size_t i = 0; i < p->n; i++)
    if (p->list[i] != NULL && str_eq (p->list[i]->core.name, name))
      return p->list[i];
  return NULL;
}

static void
publish (struct gw_probe *p)
{
  const struct rt_replica *seen = NULL;
  size_t nseen = 0, n = 0;

  if (p->g->view != NULL)
    seen = gw_view_replicas (p->g->view, &nseen);
  struct rt_replica *all = xcalloc (p->n + nseen + 1, sizeof *all);
  for (size_t i = 0; i < p->n; i++)
    n += evaluate_replica (p->list[i], &all[n]);
  for (size_t i = 0; i < nseen; i++)
    if (!find_probed (p, seen[i].name))
      all[n++] = seen[i];
  gw_callers_replicas (p->g->callers, all, n);
  gw_slots_replicas (p->g->slots, all, n);
  free (all);
}

/* ---- probes ---- */

/**
 * A member matches if it reports the name of the replica and the generation
 * that is known.  In the modes in which members are not assigned at run time,
 * a backend server that was never assigned a replica matches too, as the
 * configuration lists the members.
 */
static bool
member_matches (const struct probe_replica *r, const char *replica,
                int64_t generation)
{
  bool assigned = replica[0] != '\0' || generation != 0;

  if (!assigned)
    return r->cfg->mode != CFG_MANAGE;
  return str_is (r->core.name, replica)
         && (r->core.generation == 0 || r->core.generation == generation);
}

static enum probe_result
read_state (struct probe_member *m)
{
  json_object *o, *v;
  const char *replica = "";
  int64_t generation = 0;
  enum probe_result a = PROBE_MISMATCH;

  o = json_tokener_parse (buf_c (&m->body));
  if (json_object_object_get_ex (o, "replica", &v))
    replica = json_object_get_string (v);
  if (json_object_object_get_ex (o, "generation", &v))
    generation = json_object_get_int64 (v);
  if (json_object_object_get_ex (o, "load", &v))
    m->load = (uint32_t)json_object_get_int64 (v);
  m->generation = generation;
  m->rank = -1;
  if (json_object_object_get_ex (o, "rank", &v)
      && json_object_is_type (v, json_type_int))
    m->rank = json_object_get_int64 (v);
  if (json_object_object_get_ex (o, "ready", &v) && json_object_get_boolean (v)
      && member_matches (m->of, replica ? replica : "", generation))
    a = PROBE_MATCH;
  json_object_put (o);
  return a;
}

/** Cancels the probe if the server asked for a pause while the connection was
    being established. */
static bool
on_connected (void *ctx)
{
  const struct probe_member *m = ctx;
  return !gw_callers_is_paused (m->of->p->g->callers, &m->addr);
}

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct probe_member *m = ctx;
  struct avl_notice notice;

  m->status = status;
  back_answer_notice (status, h, n, &notice);
  gw_callers_availability_notice (m->of->p->g->callers, &m->addr, &notice);
}

static void
on_body (void *ctx, struct str bytes)
{
  struct probe_member *m = ctx;
  if (m->body.len + bytes.len <= MAX_STATE_BYTES)
    buf_add (&m->body, bytes);
}

static void
on_end (void *ctx, enum httpc_end end)
{
  struct probe_member *m = ctx;
  struct gw_probe *p = m->of->p;

  m->call = NULL;
  /* A timeout keeps the previous result until it expires, as a busy member
     responds late.  A member that can't be reached or returns an error no
     longer matches. */
  if (end == HTTPC_COMPLETE && m->status == 200)
    {
      m->result = read_state (m);
      if (m->result == PROBE_MATCH)
        m->matched_at = m->probed_at;
    }
  else if (end == HTTPC_COMPLETE || end == HTTPC_CONNECT_FAILED)
    m->result = PROBE_MISMATCH;
  if (--p->pending == 0)
    publish (p);
}

static void
start_probe (struct gw_probe *p, struct probe_member *m)
{
  static const struct httpc_callbacks cb
      = { on_connected, on_head, on_body, on_end };
  struct httpc_request r = { .to = m->addr,
                             .method = STR ("GET"),
                             .path = STR ("/lapis/v1/state"),
                             .connect_ms = PROBE_TIMEOUT_MS,
                             .progress_ms = PROBE_TIMEOUT_MS,
                             .total_ms = PROBE_TIMEOUT_MS };

  if (m->call != NULL || gw_callers_is_paused (p->g->callers, &m->addr))
    return;
  buf_clear (&m->body);
  m->status = 0;
  m->probed_at = clk_now ();
  m->call = httpc_start (p->g->http, &r, &cb, m);
  p->pending++;
}

static void
on_tick (uv_timer_t *t)
{
  struct gw_probe *p = t->data;

  for (size_t i = 0; i < p->n; i++)
    for (size_t k = 0; k < p->list[i]->nmembers; k++)
      start_probe (p, &p->list[i]->members[k]);
}

/* ---- the list of replicas ---- */

static void
replica_free (struct probe_replica *r)
{
  for (size_t k = 0; r != NULL && k < r->nmembers; k++)
    {
      struct probe_member *m = &r->members[k];
      if (m->call != NULL)
        {
          httpc_cancel (m->call);
          r->p->pending--;
        }
      buf_free (&m->body);
    }
  if (r != NULL)
    free (r->members);
  free (r);
}

static void
list_free (struct probe_replica **list, size_t n)
{
  for (size_t i = 0; i < n; i++)
    replica_free (list[i]);
  free (list);
}

static void
add_member (struct probe_replica *r, const struct cfg_vm *vm)
{
  r->members[r->nmembers].of = r;
  r->members[r->nmembers++].addr = vm->addr;
}

/** Return the replica in the view, or NULL. */
static const struct rt_replica *
find_in_view (const struct gw_probe *p, struct str name)
{
  const struct rt_replica *seen = NULL;
  size_t n = 0;

  if (p->g->view != NULL)
    seen = gw_view_replicas (p->g->view, &n);
  for (size_t i = 0; i < n; i++)
    if (str_eq (seen[i].name, name))
      return &seen[i];
  return NULL;
}

/**
 * The members of a managed replica change at run time, and its owner, which
 * has the list, is not reachable.  All VMs of its domain are therefore probed;
 * those that report the replica and its generation are its members.
 */
static void
add_members (struct gw_probe *p, struct probe_replica *r,
             const struct cfg_domain *d)
{
  const struct cfg_model *model = cfg_model (p->cfg, r->cfg->model);
  bool managed = r->cfg->mode == CFG_MANAGE;

  r->members = xcalloc (d->nvms + r->cfg->nvms + 1, sizeof *r->members);
  for (size_t i = 0; managed && i < d->nvms; i++)
    add_member (r, &p->cfg->vms[d->first_vm + i]);
  for (size_t i = 0; !managed && i < r->cfg->nvms; i++)
    add_member (r, &p->cfg->vms[r->cfg->vms[i]]);
  r->need = managed ? model->vms : r->nmembers;
}

static struct probe_replica *
replica_new (struct gw_probe *p, const struct cfg_replica *cr,
             const struct rt_replica *seen)
{
  struct probe_replica *r = xcalloc (1, sizeof *r);
  const struct cfg_domain *d = cfg_domain (p->cfg, cr->domain);

  r->p = p;
  r->cfg = cr;
  if (seen != NULL)
    r->core = *seen;
  r->core.name = cr->name;
  r->core.model = cr->model;
  r->core.zone = d->zone;
  add_members (p, r, d);
  if (seen == NULL && cr->nvms > 0)
    r->core.addr = p->cfg->vms[cr->vms[0]].addr;
  r->by_rank = r->core.addr.port == 0 && cr->mode == CFG_MANAGE;
  /* Without a leader there is no address to send requests to. */
  if (r->need > 0 && r->need <= r->nmembers
      && (r->by_rank || r->core.addr.port != 0))
    return r;
  replica_free (r);
  return NULL;
}

/** Reuse the probe results of a replica after a view.  If they were discarded,
    the replica would not be whole from each view until the next results. */
static struct probe_replica *
reuse_replica (struct gw_probe *p, const struct cfg_replica *cr,
               const struct rt_replica *seen)
{
  for (size_t i = 0; i < p->n; i++)
    {
      struct probe_replica *r = p->list[i];
      if (r == NULL || !str_eq (r->core.name, cr->name))
        continue;
      if (seen != NULL
          && (seen->generation != r->core.generation
              || !net_addr_eq (&seen->addr, &r->core.addr)))
        return NULL;
      if (seen != NULL)
        r->core.draining = seen->draining;
      p->list[i] = NULL;
      return r;
    }
  return NULL;
}

/** Whether the evidence for a replica that was last reported as whole is
    outdated.  A report that the replica is not whole is used as it is. */
static bool
evidence_outdated (const struct gw_probe *p, const struct rt_replica *seen,
                   clk_ms now)
{
  const struct probe_replica *r;
  size_t leader;

  if (seen == NULL || !seen->whole
      || seen->valid_until - now >= REP_PROBE_VALID_MS - OUTDATED_MS)
    return false;
  r = find_probed (p, seen->name);
  return now - seen->valid_until < STOP_PROBING_MS
         || (r != NULL && replica_matched_at (r, &leader) != 0);
}

static void
add_replica (struct gw_probe *p, const struct cfg_replica *cr,
             struct probe_replica **list, size_t *n)
{
  const struct rt_replica *seen = find_in_view (p, cr->name);
  struct probe_replica *r;

  if (!p->no_recent_view && !evidence_outdated (p, seen, clk_now ()))
    return;
  r = reuse_replica (p, cr, seen);
  if (r == NULL)
    r = replica_new (p, cr, seen);
  if (r != NULL)
    list[(*n)++] = r;
}

/** Order: own availability zone first, then by a hash that differs by gateway.
 */
static int
compare_by_zone (const void *a, const void *b, void *ctx)
{
  const struct cfg_replica *const *x = a, *const *y = b;
  const struct gw_probe *p = ctx;
  uint64_t seed = str_hash (str_from (p->g->set.node), 0);
  const struct cfg_domain *dx = cfg_domain (p->cfg, (*x)->domain);
  const struct cfg_domain *dy = cfg_domain (p->cfg, (*y)->domain);
  bool same_zone_x = dx && str_is (dx->zone, p->g->set.zone);
  bool same_zone_y = dy && str_is (dy->zone, p->g->set.zone);
  uint64_t hx = str_hash ((*x)->name, seed), hy = str_hash ((*y)->name, seed);

  if (same_zone_x != same_zone_y)
    return same_zone_x ? -1 : 1;
  return hx < hy ? -1 : hx > hy;
}

/** Replicas that can get requests, in the order of compare_by_zone(). */
static const struct cfg_replica **
sort_replicas (struct gw_probe *p, size_t *n)
{
  const struct cfg_replica **order
      = xcalloc (p->cfg->nreplicas + 1, sizeof *order);

  *n = 0;
  for (size_t i = 0; i < p->cfg->nreplicas; i++)
    if (p->cfg->replicas[i].mode != CFG_OBSERVE)
      order[(*n)++] = &p->cfg->replicas[i];
  qsort_r (order, *n, sizeof *order, compare_by_zone, p);
  return order;
}

/** Fast path for the common case, without sorting: the views are recent and
    the evidence for all replicas is current. */
static bool
nothing_to_probe (const struct gw_probe *p)
{
  const struct rt_replica *seen = NULL;
  clk_ms now = clk_now ();
  size_t n = 0;

  if (p->no_recent_view || p->n > 0)
    return false;
  if (p->g->view != NULL)
    seen = gw_view_replicas (p->g->view, &n);
  for (size_t i = 0; i < n; i++)
    if (evidence_outdated (p, &seen[i], now))
      return false;
  return true;
}

/** Recompute the list of replicas to probe.  @return whether it changed */
static bool
rebuild (struct gw_probe *p)
{
  if (nothing_to_probe (p))
    return false;
  struct probe_replica **list = xcalloc (MAX_REPLICAS, sizeof *list);
  size_t n = 0, norder = 0, kept = 0;
  const struct cfg_replica **order
      = p->cfg ? sort_replicas (p, &norder) : NULL;

  for (size_t i = 0; i < norder && n < MAX_REPLICAS; i++)
    add_replica (p, order[i], list, &n);
  for (size_t i = 0; i < p->n; i++)
    kept += p->list[i] == NULL;
  bool changed = n != kept || p->n != kept;
  list_free (p->list, p->n);
  p->list = list;
  p->n = n;
  free (order);
  return changed;
}

static void
run_timer (struct gw_probe *p, bool changed)
{
  if (p->n == 0)
    uv_timer_stop (&p->timer);
  else if (changed)
    uv_timer_start (&p->timer, on_tick, 0, REP_PROBE_MS);
}

/* ---- startup and shutdown ---- */

struct gw_probe *
gw_probe_start (struct gw *g)
{
  struct gw_probe *p = xcalloc (1, sizeof *p);

  p->g = g;
  uv_timer_init (g->loop, &p->timer);
  p->timer.data = p;
  return p;
}

void
gw_probe_view_received (struct gw_probe *p)
{
  p->no_recent_view = false;
  run_timer (p, rebuild (p));
  publish (p);
}

void
gw_probe_tick (struct gw_probe *p, bool no_recent_view)
{
  p->no_recent_view = no_recent_view;
  if (!rebuild (p))
    return;
  run_timer (p, true);
  publish (p);
}

/** Discards the list, whose members and names belong to the old configuration.
 */
void
gw_probe_config_changed (struct gw_probe *p)
{
  list_free (p->list, p->n);
  p->list = NULL;
  p->n = 0;
  cfg_unref (p->cfg);
  p->cfg = p->g->cfg ? cfg_ref (p->g->cfg) : NULL;
  run_timer (p, rebuild (p));
}

static void
on_timer_closed (uv_handle_t *h)
{
  struct gw_probe *p = h->data;

  cfg_unref (p->cfg);
  free (p);
}

void
gw_probe_stop (struct gw_probe *p)
{
  list_free (p->list, p->n);
  uv_close ((uv_handle_t *)&p->timer, on_timer_closed);
}
