#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "route/core.h"

#define TABLE_INITIAL_SIZE 1024
#define POLL_MS 20 /* poll interval for free capacity while requests wait */

/* --- actions ----------------------------------------------------------- */

struct rt_action *
rt_push_action (struct rt *r, enum rt_action_kind kind, const struct rt_req *q)
{
  if (r->act_n == r->act_cap)
    {
      size_t cap = r->act_cap ? 2 * r->act_cap : 64;
      struct rt_action *grown = xmalloc (cap * sizeof *grown);
      for (size_t i = 0; i < r->act_n; i++)
        grown[i] = r->actions[(r->act_head + i) % r->act_cap];
      free (r->actions);
      r->actions = grown;
      r->act_cap = cap;
      r->act_head = 0;
    }
  struct rt_action *a = &r->actions[(r->act_head + r->act_n) % r->act_cap];
  r->act_n++;
  memset (a, 0, sizeof *a);
  a->kind = kind;
  a->id = q->id;
  a->attempt = q->attempt;
  return a;
}

bool
rt_next (struct rt *r, struct rt_action *out)
{
  if (r->act_n == 0)
    return false;
  *out = r->actions[r->act_head];
  r->act_head = (r->act_head + 1) % r->act_cap;
  r->act_n--;
  return true;
}

/* --- timers: a binary heap of requests by time ------------------------- */

static void
heap_put (struct rt *r, size_t at, struct rt_req *q)
{
  r->heap[at] = q;
  q->heap_index = at;
}

static void
heap_up (struct rt *r, size_t at, struct rt_req *q)
{
  while (at > 0 && r->heap[(at - 1) / 2]->timer_due > q->timer_due)
    {
      heap_put (r, at, r->heap[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
  heap_put (r, at, q);
}

static void
heap_down (struct rt *r, size_t at, struct rt_req *q)
{
  for (;;)
    {
      size_t child = 2 * at + 1;
      if (child + 1 < r->heap_n
          && r->heap[child + 1]->timer_due < r->heap[child]->timer_due)
        child++;
      if (child >= r->heap_n || r->heap[child]->timer_due >= q->timer_due)
        break;
      heap_put (r, at, r->heap[child]);
      at = child;
    }
  heap_put (r, at, q);
}

void
rt_cancel_timer (struct rt *r, struct rt_req *q)
{
  size_t at = q->heap_index;
  if (at == SIZE_MAX)
    return;
  q->heap_index = SIZE_MAX;
  struct rt_req *last = r->heap[--r->heap_n];
  if (last == q)
    return;
  if (at > 0 && r->heap[(at - 1) / 2]->timer_due > last->timer_due)
    heap_up (r, at, last);
  else
    heap_down (r, at, last);
}

void
rt_set_timer (struct rt *r, struct rt_req *q, clk_ms at)
{
  rt_cancel_timer (r, q);
  if (r->heap_n == r->heap_cap)
    {
      r->heap_cap = r->heap_cap ? 2 * r->heap_cap : 256;
      r->heap = xrealloc (r->heap, r->heap_cap * sizeof *r->heap);
    }
  q->timer_due = at;
  heap_up (r, r->heap_n++, q);
}

/* --- requests by id ---------------------------------------------------- */

static struct rt_req *
find_request (const struct rt *r, uint64_t id)
{
  struct rt_req *q = r->table[id & (r->table_size - 1)];
  while (q && q->id != id)
    q = q->hash_next;
  return q;
}

static void
table_grow (struct rt *r)
{
  size_t size = 2 * r->table_size;
  struct rt_req **table = xcalloc (size, sizeof *table);
  for (size_t i = 0; i < r->table_size; i++)
    for (struct rt_req *q = r->table[i], *next; q; q = next)
      {
        next = q->hash_next;
        q->hash_next = table[q->id & (size - 1)];
        table[q->id & (size - 1)] = q;
      }
  free (r->table);
  r->table = table;
  r->table_size = size;
}

void
rt_req_free (struct rt *r, struct rt_req *q)
{
  struct rt_req **at = &r->table[q->id & (r->table_size - 1)];
  while (*at != q)
    at = &(*at)->hash_next;
  *at = q->hash_next;
  rt_cancel_timer (r, q);
  if (q->account)
    q->account->open_requests--;
  if (q->cfg)
    cfg_unref (q->cfg);
  free (q);
  r->open_requests--;
}

/* --- targets and servers ----------------------------------------------- */

static guint
key_hash (const void *key)
{
  return (guint)str_hash (*(const struct str *)key, 0);
}

static gboolean
key_equal (const void *a, const void *b)
{
  return str_eq (*(const struct str *)a, *(const struct str *)b);
}

struct rt_target *
rt_target (struct rt *r, struct str name, bool is_model)
{
  uint64_t hash = str_hash (name, is_model);
  for (size_t i = 0; i < r->ntargets; i++)
    if (r->targets[i]->hash == hash && r->targets[i]->is_model == is_model
        && str_is (name, r->targets[i]->name))
      return r->targets[i];
  struct rt_target *t = xcalloc (1, sizeof *t);
  t->name = str_dup (name);
  t->hash = hash;
  t->is_model = is_model;
  t->by_name = g_hash_table_new (key_hash, key_equal);
  r->targets = xrealloc (r->targets, (r->ntargets + 1) * sizeof *r->targets);
  r->targets[r->ntargets++] = t;
  return t;
}

static struct rt_server *
get_server (struct rt_target *t, struct str name)
{
  struct rt_server *s = g_hash_table_lookup (t->by_name, &name);
  if (s)
    return s;
  s = xcalloc (1, sizeof *s);
  s->name = str_dup (name);
  s->key = str_from (s->name);
  s->hash = str_hash (name, 0);
  g_hash_table_insert (t->by_name, &s->key, s);
  t->servers = xrealloc (t->servers, (t->nservers + 1) * sizeof *t->servers);
  t->servers[t->nservers++] = s;
  return s;
}

static void
server_free (struct rt_server *s)
{
  free (s->name);
  free (s->zone);
  free (s->grants);
  free (s);
}

/** Free servers that are no longer listed and have no requests in flight. */
static void
free_unlisted_servers (struct rt_target *t)
{
  size_t kept = 0;
  for (size_t i = 0; i < t->nservers; i++)
    if (t->servers[i]->listed || t->servers[i]->in_flight)
      t->servers[kept++] = t->servers[i];
    else
      {
        g_hash_table_remove (t->by_name, &t->servers[i]->key);
        server_free (t->servers[i]);
      }
  t->nservers = kept;
  t->view.valid = false;
}

static void
server_set_location (struct rt *r, struct rt_server *s, struct str zone,
                     const struct net_addr *addr)
{
  if (!s->zone || !str_is (zone, s->zone))
    {
      free (s->zone);
      s->zone = str_dup (zone);
    }
  s->same_zone = str_is (zone, r->zone);
  s->addr = *addr;
  s->avail_key = avl_address_key (addr);
  s->listed = true;
}

static void
apply_service_config (struct rt *r, const struct cfg_service *c)
{
  struct rt_target *t = rt_target (r, c->name, false);
  for (size_t i = 0; i < t->nservers; i++)
    t->servers[i]->listed = false;
  for (size_t i = 0; i < c->nbackends; i++)
    {
      const struct cfg_backend *b = &c->backends[i];
      struct rt_server *s = get_server (t, b->name);
      server_set_location (r, s, b->zone, &b->addr);
      s->leaving_key = rt_leaving_key (s);
      s->complete = true;
      s->valid_until = CLK_NEVER;
      s->observe = c->mode == CFG_OBSERVE;
      s->capacity = c->capacity;
    }
}

/** Set the fields of a replica that come from the configuration. */
static void
apply_replica_config (struct rt *r, struct rt_target *t, struct rt_server *s)
{
  struct str name = str_from (s->name);
  const struct cfg_model *m
      = r->cfg ? cfg_model (r->cfg, str_from (t->name)) : NULL;
  const struct cfg_replica *c = r->cfg ? cfg_replica (r->cfg, name) : NULL;
  s->observe = !m || m->mode == CFG_OBSERVE || (c && c->mode == CFG_OBSERVE);
  s->capacity = m ? m->capacity : 0;
}

static void
on_config (struct rt *r, struct cfg *cfg)
{
  struct cfg *old = r->cfg;
  r->cfg = cfg_ref (cfg);
  for (size_t i = 0; i < r->ntargets; i++)
    for (size_t k = 0; k < r->targets[i]->nservers; k++)
      if (r->targets[i]->is_model)
        apply_replica_config (r, r->targets[i], r->targets[i]->servers[k]);
      else
        r->targets[i]->servers[k]->listed = false;
  for (size_t i = 0; i < cfg->nservices; i++)
    apply_service_config (r, &cfg->services[i]);
  for (size_t i = 0; i < r->ntargets; i++)
    free_unlisted_servers (r->targets[i]);
  rt_limit_config (r);
  if (old)
    cfg_unref (old);
}

static void
on_replica (struct rt *r, const struct rt_replica *v)
{
  struct rt_target *t = rt_target (r, v->model, true);
  struct rt_server *s = get_server (t, v->name);
  bool was_listed = s->listed;
  server_set_location (r, s, v->zone, &v->addr);
  s->in_update = true;
  if (!was_listed || s->generation != v->generation)
    {
      /* The replica has new VMs: drop the statistics of the old ones. */
      s->generation = v->generation;
      s->ejected_until = 0;
      s->ejections = s->consecutive_failures = s->first_byte_samples = 0;
      s->probing = false;
    }
  s->leaving_key = rt_leaving_key (s);
  s->complete = v->whole;
  s->draining = v->draining;
  s->valid_until = v->valid_until;
  apply_replica_config (r, t, s);
  rt_server_set_reported_load (r, t, s, v->load, v->load_at);
}

static void
on_replicas (struct rt *r, const struct rt_replica *list, size_t n)
{
  for (size_t i = 0; i < r->ntargets; i++)
    for (size_t k = 0; k < r->targets[i]->nservers; k++)
      if (r->targets[i]->is_model)
        r->targets[i]->servers[k]->in_update = false;
  for (size_t i = 0; i < n; i++)
    on_replica (r, &list[i]);
  for (size_t i = 0; i < r->ntargets; i++)
    if (r->targets[i]->is_model)
      {
        for (size_t k = 0; k < r->targets[i]->nservers; k++)
          r->targets[i]->servers[k]->listed
              = r->targets[i]->servers[k]->in_update;
        free_unlisted_servers (r->targets[i]);
      }
}

static void
on_backend_down (struct rt *r, struct str name, bool down)
{
  uint64_t hash = str_hash (name, 0);
  for (size_t i = 0; i < r->ntargets; i++)
    for (size_t k = 0; k < r->targets[i]->nservers; k++)
      if (r->targets[i]->servers[k]->hash == hash)
        {
          r->targets[i]->servers[k]->down = down;
          if (!down)
            avl_forget_leaving (r->avail,
                                r->targets[i]->servers[k]->leaving_key);
          r->targets[i]->view.valid = false;
        }
}

/* --- events ------------------------------------------------------------ */

static void
dispatch_all (struct rt *r)
{
  for (size_t i = 0; i < r->ntargets; i++)
    rt_dispatch_queued (r, r->targets[i]);
}

static void
on_tick (struct rt *r)
{
  while (r->heap_n && r->heap[0]->timer_due <= r->now)
    {
      struct rt_req *q = r->heap[0];
      rt_cancel_timer (r, q);
      rt_on_timer (r, q);
    }
}

static void
on_request_event (struct rt *r, const struct rt_event *ev)
{
  struct rt_req *q = find_request (r, ev->id);
  if (ev->kind == RT_EV_NOTICE && ev->id == 0)
    rt_avail_notice_from (r, ev);
  if (!q)
    return;
  if (ev->kind == RT_EV_SLOT)
    rt_on_slot_reply (r, q, ev);
  else if (ev->kind == RT_EV_CLAIM)
    rt_on_claim (r, q, ev->verdict, ev->retry_ms);
  else if (ev->kind == RT_EV_CALLER_GONE)
    rt_on_caller_gone (r, q);
  else if (ev->kind == RT_EV_POISON)
    rt_on_poison (r, q, ev->retry_ms);
  else
    rt_on_attempt_event (r, q, ev);
}

void
rt_event (struct rt *r, clk_ms now, const struct rt_event *ev)
{
  if (now > r->now)
    r->now = now;
  switch (ev->kind)
    {
    case RT_EV_TICK:
      on_tick (r);
      break;
    case RT_EV_CONFIG:
      on_config (r, ev->cfg);
      break;
    case RT_EV_REPLICAS:
      on_replicas (r, ev->replicas, ev->n);
      break;
    case RT_EV_BACKEND_DOWN:
      on_backend_down (r, ev->name, ev->on);
      break;
    case RT_EV_SHARE:
      rt_limit_share (r, ev);
      return;
    case RT_EV_LEAVING:
      r->leaving = ev->on;
      return;
    case RT_EV_SLOT_HOME:
      rt_on_slot_home (r, ev->name, ev->on);
      return;
    case RT_EV_NODES:
      r->nodes = (unsigned)ev->size;
      return;
    case RT_EV_ARRIVE:
      if (find_request (r, ev->request->id))
        return;
      if (r->open_requests >= r->table_size)
        table_grow (r);
      rt_on_arrive (r, ev->request);
      return;
    default:
      on_request_event (r, ev);
      return;
    }
  dispatch_all (r);
}

struct rt *
rt_new (const struct rt_options *opt, uint64_t seed)
{
  struct rt *r = xcalloc (1, sizeof *r);
  r->zone = str_dup (opt->zone);
  r->node = str_dup (opt->node);
  r->nodes = opt->nodes;
  r->choose = rt_choose;
  r->avail = avl_new ();
  rng_seed (&r->rng, seed);
  r->table_size = TABLE_INITIAL_SIZE;
  r->table = xcalloc (r->table_size, sizeof *r->table);
  return r;
}

static void
target_free (struct rt_target *t)
{
  g_hash_table_destroy (t->by_name);
  for (size_t i = 0; i < t->nservers; i++)
    server_free (t->servers[i]);
  rt_queue_clear (&t->queue);
  free (t->view.list);
  free (t->servers);
  free (t->name);
  free (t);
}

void
rt_free (struct rt *r)
{
  for (size_t i = 0; i < r->table_size; i++)
    while (r->table[i])
      rt_req_free (r, r->table[i]);
  for (size_t i = 0; i < r->ntargets; i++)
    target_free (r->targets[i]);
  for (size_t i = 0; i < r->naccounts; i++)
    {
      free (r->accounts[i]->name);
      free (r->accounts[i]);
    }
  if (r->cfg)
    cfg_unref (r->cfg);
  avl_free (r->avail);
  free (r->targets);
  free (r->accounts);
  free (r->table);
  free (r->heap);
  free (r->actions);
  free (r->demands);
  free (r->views);
  free (r->slots);
  free (r->zone);
  free (r->node);
  free (r);
}

size_t
rt_open_requests (const struct rt *r)
{
  return r->open_requests;
}

clk_ms
rt_wake (const struct rt *r)
{
  clk_ms at = r->heap_n ? r->heap[0]->timer_due : CLK_NEVER;
  /* The estimated load of other gateways decreases over time, so capacity
     may become free without an event. */
  for (size_t i = 0; i < r->ntargets; i++)
    if (r->targets[i]->queue.n && r->now + POLL_MS < at)
      at = r->now + POLL_MS;
  return at;
}

const struct rt_demand *
rt_demands (struct rt *r, clk_ms now, size_t *n)
{
  r->demands = xrealloc (r->demands, (r->naccounts + 1) * sizeof *r->demands);
  for (size_t i = 0; i < r->naccounts; i++)
    {
      struct rt_account *a = r->accounts[i];
      double span = now > a->demand_at ? (double)(now - a->demand_at) : 1;
      r->demands[i].account = str_from (a->name);
      r->demands[i].tokens_per_s = a->requested_tokens * 1000 / span;
      r->demands[i].concurrency = (double)a->peak_open;
      a->requested_tokens = 0;
      a->peak_open = a->open_requests;
      a->demand_at = now;
    }
  *n = r->naccounts;
  return r->demands;
}

const struct rt_server_stats *
rt_get_server_stats (struct rt *r, size_t *n)
{
  size_t count = 0;
  for (size_t i = 0; i < r->ntargets; i++)
    count += r->targets[i]->nservers;
  r->views = xrealloc (r->views, (count + 1) * sizeof *r->views);
  *n = 0;
  for (size_t i = 0; i < r->ntargets; i++)
    for (size_t k = 0; k < r->targets[i]->nservers; k++)
      {
        const struct rt_server *s = r->targets[i]->servers[k];
        r->views[(*n)++] = (struct rt_server_stats){
          .name = str_from (s->name),
          .in_flight = s->in_flight,
          .done = s->successes,
          .failed = s->failures,
          .ejected = s->ejected_until != 0,
        };
      }
  return r->views;
}
