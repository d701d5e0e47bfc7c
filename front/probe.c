#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "front/gateway.h"
#include "replica/replica.h"

/** Longest wait for the answer to a probe. */
#define ANSWER_MS ((clk_ms)800)

/** Replicas that one gateway probes at most: with 8 members each, some 500
    probes a second.  Each gateway takes its own zone first and a set of its
    own beyond. */
#define MAX_REPLICAS 64
#define MAX_STATE_BYTES ((size_t)16384)

enum answer
{
  ANSWER_NONE, /**< not asked yet */
  ANSWER_FITS,
  ANSWER_WRONG /**< not ready, another generation, or not reached */
};

struct probe_replica;

struct probe_member
{
  struct probe_replica *of;
  struct net_addr addr;
  struct httpc_call *call;
  struct buf body;
  int status;
  clk_ms asked_at;
  clk_ms fits_at; /**< when the last question that fitted was asked */
  enum answer answer;
  uint32_t load;
};

struct probe_replica
{
  struct gw_probe *p;
  const struct cfg_replica *cfg;
  struct rt_replica core;
  size_t need; /**< members that must fit; all, or any of the domain's VMs */
  size_t nmembers;
  struct probe_member *members;
};

struct gw_probe
{
  struct gw *g;
  struct cfg *cfg; /**< a reference: owns names */
  uv_timer_t timer;
  bool active;
  struct probe_replica *list;
  size_t n;
  size_t asked; /**< questions without an answer yet */
};

/* ---- what the core is told ---- */

static int
latest_first (const void *a, const void *b)
{
  const clk_ms *x = a, *y = b;

  return *x > *y ? -1 : *x < *y;
}

/** When the last of the needed members fitted, the leader among them; 0 when
    they don't. */
static clk_ms
fitted_at (const struct probe_replica *r)
{
  clk_ms *at = xcalloc (r->nmembers, sizeof *at), oldest, leader = 0;

  for (size_t i = 0; i < r->nmembers; i++)
    {
      const struct probe_member *m = &r->members[i];
      at[i] = m->answer == ANSWER_FITS ? m->fits_at : 0;
      if (net_addr_eq (&m->addr, &r->core.addr))
        leader = at[i];
    }
  qsort (at, r->nmembers, sizeof *at, latest_first);
  oldest = at[r->need - 1];
  free (at);
  return leader < oldest ? leader : oldest;
}

/**
 * Whole only while as many members as it needs fit, each within the time of
 * evidence.  One that answers wrongly or can't be reached ends it at once; a
 * view's evidence covers the time until every member was asked.
 */
static void
judge (const struct probe_replica *r, struct rt_replica *out)
{
  clk_ms at = fitted_at (r);

  *out = r->core;
  for (size_t i = 0; at == 0 && i < r->nmembers; i++)
    if (r->members[i].answer == ANSWER_NONE)
      return;
  out->whole = at != 0;
  out->valid_until = at + REP_EVIDENCE_MS;
  out->load = r->members[0].load;
  out->load_at = r->members[0].asked_at;
}

static bool
probed (const struct gw_probe *p, struct str name)
{
  for (size_t i = 0; i < p->n; i++)
    if (str_eq (p->list[i].core.name, name))
      return true;
  return false;
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
    judge (&p->list[i], &all[n++]);
  for (size_t i = 0; i < nseen; i++)
    if (!probed (p, seen[i].name))
      all[n++] = seen[i];
  gw_callers_replicas (p->g->callers, all, n);
  free (all);
}

/* ---- probes ---- */

/**
 * A member counts with its replica's name and the generation last known.  In
 * the modes in which nobody orders, a backend server that was never told a
 * replica counts too: its declared members are the truth.
 */
static bool
fits (const struct probe_replica *r, const char *replica, int64_t generation)
{
  bool told = replica[0] != '\0' || generation != 0;

  if (!told)
    return r->cfg->mode != CFG_MANAGE;
  return str_is (r->core.name, replica)
         && (r->core.generation == 0 || r->core.generation == generation);
}

static enum answer
read_state (struct probe_member *m)
{
  json_object *o, *v;
  const char *replica = "";
  int64_t generation = 0;
  enum answer a = ANSWER_WRONG;

  o = json_tokener_parse (buf_c (&m->body));
  if (json_object_object_get_ex (o, "replica", &v))
    replica = json_object_get_string (v);
  if (json_object_object_get_ex (o, "generation", &v))
    generation = json_object_get_int64 (v);
  if (json_object_object_get_ex (o, "load", &v))
    m->load = (uint32_t)json_object_get_int64 (v);
  if (json_object_object_get_ex (o, "ready", &v) && json_object_get_boolean (v)
      && fits (m->of, replica ? replica : "", generation))
    a = ANSWER_FITS;
  json_object_put (o);
  return a;
}

static void
on_head (void *ctx, int status, const struct http_header *h, size_t n)
{
  struct probe_member *m = ctx;
  m->status = status;
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
  /* A busy member answers late; what it said before counts until it expires.
     One that can't be reached or says otherwise is out at once. */
  if (end == HTTPC_WHOLE && m->status == 200)
    m->answer = read_state (m);
  else if (end == HTTPC_WHOLE || end == HTTPC_CONNECT_FAILED)
    m->answer = ANSWER_WRONG;
  if (m->answer == ANSWER_FITS)
    m->fits_at = m->asked_at;
  if (--p->asked == 0)
    publish (p);
}

static void
ask (struct gw_probe *p, struct probe_member *m)
{
  static const struct httpc_callbacks cb = { NULL, on_head, on_body, on_end };
  struct httpc_request r = { .to = m->addr,
                             .method = STR ("GET"),
                             .path = STR ("/lapis/v1/state"),
                             .connect_ms = ANSWER_MS,
                             .progress_ms = ANSWER_MS };

  if (m->call != NULL)
    return;
  buf_clear (&m->body);
  m->status = 0;
  m->asked_at = clk_now ();
  m->call = httpc_start (p->g->http, &r, &cb, m);
  p->asked++;
}

static void
on_tick (uv_timer_t *t)
{
  struct gw_probe *p = t->data;

  for (size_t i = 0; i < p->n; i++)
    for (size_t k = 0; k < p->list[i].nmembers; k++)
      ask (p, &p->list[i].members[k]);
}

/* ---- the list of replicas ---- */

static void
clear (struct gw_probe *p)
{
  for (size_t i = 0; i < p->n; i++)
    {
      for (size_t k = 0; k < p->list[i].nmembers; k++)
        {
          struct probe_member *m = &p->list[i].members[k];
          if (m->call != NULL)
            httpc_cancel (m->call);
          buf_free (&m->body);
        }
      free (p->list[i].members);
    }
  free (p->list);
  p->list = NULL;
  p->n = 0;
  p->asked = 0;
}

static void
add_member (struct probe_replica *r, const struct cfg_vm *vm)
{
  r->members[r->nmembers].of = r;
  r->members[r->nmembers++].addr = vm->addr;
}

/** The view's word on a replica, if it has one. */
static const struct rt_replica *
in_view (const struct gw_probe *p, struct str name)
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
 * A managed replica's members change at run time, and its owner, who knows
 * them, is not heard.  So all VMs of its domain are asked: those that name it
 * and its generation are its members.
 */
static void
add_members (struct gw_probe *p, struct probe_replica *r,
             const struct cfg_domain *d)
{
  const struct cfg_model *model = cfg_model (p->cfg, r->cfg->model);
  bool open = r->cfg->mode == CFG_MANAGE;

  r->members = xcalloc (d->nvms + r->cfg->nvms + 1, sizeof *r->members);
  for (size_t i = 0; open && i < d->nvms; i++)
    add_member (r, &p->cfg->vms[d->first_vm + i]);
  for (size_t i = 0; !open && i < r->cfg->nvms; i++)
    add_member (r, &p->cfg->vms[r->cfg->vms[i]]);
  r->need = open ? model->vms : r->nmembers;
}

static void
add_replica (struct gw_probe *p, const struct cfg_replica *cr)
{
  struct probe_replica *r = &p->list[p->n];
  const struct cfg_domain *d = cfg_domain (p->cfg, cr->domain);
  const struct rt_replica *seen = in_view (p, cr->name);

  memset (r, 0, sizeof *r);
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
  /* Without a leader there is nowhere to send. */
  if (r->need == 0 || r->need > r->nmembers || r->core.addr.port == 0)
    free (r->members);
  else
    p->n++;
}

/** Own zone first, then an order of this gateway's own. */
static int
by_nearness (const void *a, const void *b, void *ctx)
{
  const struct cfg_replica *const *x = a, *const *y = b;
  const struct gw_probe *p = ctx;
  uint64_t seed = str_hash (str_from (p->g->set.node), 0);
  const struct cfg_domain *dx = cfg_domain (p->cfg, (*x)->domain);
  const struct cfg_domain *dy = cfg_domain (p->cfg, (*y)->domain);
  bool near_x = dx && str_is (dx->zone, p->g->set.zone);
  bool near_y = dy && str_is (dy->zone, p->g->set.zone);
  uint64_t hx = str_hash ((*x)->name, seed), hy = str_hash ((*y)->name, seed);

  if (near_x != near_y)
    return near_x ? -1 : 1;
  return hx < hy ? -1 : hx > hy;
}

static void
rebuild (struct gw_probe *p)
{
  clear (p);
  cfg_unref (p->cfg);
  p->cfg = p->g->cfg ? cfg_ref (p->g->cfg) : NULL;
  if (p->cfg == NULL)
    return;
  const struct cfg_replica **order
      = xcalloc (p->cfg->nreplicas + 1, sizeof *order);
  size_t n = 0;
  for (size_t i = 0; i < p->cfg->nreplicas; i++)
    if (p->cfg->replicas[i].mode != CFG_OBSERVE)
      order[n++] = &p->cfg->replicas[i];
  qsort_r (order, n, sizeof *order, by_nearness, p);
  p->list = xcalloc (MAX_REPLICAS, sizeof *p->list);
  for (size_t i = 0; i < n && p->n < MAX_REPLICAS; i++)
    add_replica (p, order[i]);
  free (order);
}

/* ---- life ---- */

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
gw_probe_active (struct gw_probe *p, bool on)
{
  if (p->active == on)
    return;
  p->active = on;
  if (!on)
    {
      uv_timer_stop (&p->timer);
      clear (p);
      return;
    }
  rebuild (p);
  uv_timer_start (&p->timer, on_tick, 0, REP_PROBE_MS);
}

void
gw_probe_config (struct gw_probe *p)
{
  if (!p->active)
    return;
  rebuild (p);
  on_tick (&p->timer);
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
  clear (p);
  uv_close ((uv_handle_t *)&p->timer, on_timer_closed);
}
