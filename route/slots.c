#include "route/slots.h"

#include <stdlib.h>
#include <string.h>

#include "route/core.h"

#define TABLE_SIZE 4096    /* hash buckets */
#define STALE_CHECK_MS 500 /* interval of the search for stale slots */
/* Weight of the newest sample in moving averages. */
#define AVERAGE_WEIGHT 0.05
/* Assumed time to the first byte before the first sample. */
#define DEFAULT_FIRST_BYTE_MS 150.0
/* Reported requests within the error of the report. */
#define REPORT_ERROR_REQUESTS 4
#define LOAD_SCORE 0.2 /* score of a full server relative to an idle one */
#define RETRY_MS 1000

/** A request that is queued here or holds a slot. */
struct tracked_request
{
  struct rt_req q; /* first member: cast from the queue's result */
  struct tracked_request *hash_next;
  uint32_t gateway;
  clk_ms reported_at; /* last report of the slot by its gateway */
};

struct slt
{
  /* Provides servers, configuration and accounts; gets no requests. */
  struct rt *core;
  struct rt_target *target;
  struct rt_queue queue;
  struct tracked_request *table[TABLE_SIZE];
  struct slt_action *actions;
  size_t act_head, act_n, act_cap;
  clk_ms now;
  clk_ms grants_from;
  clk_ms stale_checked_at;
  double first_byte_ms;
  uint64_t start_offset;
  size_t nodes; /* gateways that request slots */
};

/* --- tracked requests --------------------------------------------------- */

static struct tracked_request **
find_request (struct slt *s, uint32_t gateway, uint64_t id)
{
  uint64_t h = (id ^ (uint64_t)gateway << 40) * 0x9e3779b97f4a7c15u;
  struct tracked_request **at = &s->table[h >> 52];
  while (*at && ((*at)->q.id != id || (*at)->gateway != gateway))
    at = &(*at)->hash_next;
  return at;
}

static struct tracked_request *
request_new (struct slt *s, const struct slt_event *ev, uint64_t id,
             double cost)
{
  struct tracked_request **at = find_request (s, ev->gateway, id);
  struct tracked_request *e = xcalloc (1, sizeof *e);
  e->gateway = ev->gateway;
  e->q.id = id;
  e->q.cost = cost > 1 ? cost : 1;
  e->q.arrived_at = s->now;
  e->reported_at = s->now;
  return *at = e;
}

static void
assign_server (struct slt *s, struct tracked_request *e,
               struct rt_server *server)
{
  e->q.server = server;
  e->q.started_at = e->reported_at = s->now;
  rt_server_add_request (s->core, s->target, server, e->q.cost);
}

/** Remove the request from the queue and free its slot. */
static void
request_free (struct slt *s, struct tracked_request **at)
{
  struct tracked_request *e = *at;
  if (!e)
    return;
  if (e->q.queued)
    rt_queue_remove (&s->queue, &e->q);
  if (e->q.server)
    {
      if (e->q.probe)
        e->q.server->probing = false;
      rt_server_remove_request (s->core, s->target, e->q.server, e->q.cost);
    }
  *at = e->hash_next;
  free (e);
}

static struct slt_action *
push_action (struct slt *s, enum rt_slot_reply reply,
             const struct tracked_request *e)
{
  if (s->act_n == s->act_cap)
    {
      s->act_cap = s->act_cap ? 2 * s->act_cap : 16;
      s->actions = xrealloc (s->actions, s->act_cap * sizeof *s->actions);
    }
  struct slt_action *a = &s->actions[s->act_n++];
  *a = (struct slt_action){ .reply = reply,
                            .gateway = e->gateway,
                            .id = e->q.id };
  return a;
}

static void
refuse (struct slt *s, struct tracked_request *e, enum rt_code code,
        clk_ms retry_ms)
{
  struct slt_action *a = push_action (s, RT_SLOT_REFUSED, e);
  a->code = code;
  a->retry_ms = retry_ms;
  request_free (s, find_request (s, e->gateway, e->q.id));
}

/* --- choice of the replica ---------------------------------------------- */

static struct rt_grant_history *
grants_of (struct rt_server *server)
{
  if (!server->grants)
    server->grants = xcalloc (1, sizeof *server->grants);
  return server->grants;
}

static bool
has_prefix (const struct rt_grant_history *history, uint64_t prefix)
{
  for (unsigned i = 0; i < RT_MAX_PREFIXES; i++)
    if (history->prefixes[i] == prefix)
      return true;
  return false;
}

/** Move the prefix to the front of the LRU list; the last one is evicted. */
static void
move_prefix_to_front (struct rt_grant_history *history, uint64_t prefix)
{
  unsigned at = 0;
  while (at < RT_MAX_PREFIXES - 1 && history->prefixes[at] != prefix)
    at++;
  memmove (history->prefixes + 1, history->prefixes,
           at * sizeof history->prefixes[0]);
  history->prefixes[0] = prefix;
}

/** Grants that are probably still without a first byte. */
static unsigned
count_pending (const struct slt *s, const struct rt_grant_history *history)
{
  unsigned n = 0;
  for (unsigned i = 0; i < RT_MAX_GRANT_TIMES; i++)
    n += history->times[i]
         && (double)(s->now - history->times[i]) < s->first_byte_ms;
  return n;
}

/**
 * Requests on the server that no gateway reported, from the engine's load
 * report. Costs are estimates and reports are delayed, so small differences
 * are noise; counting them would leave slots empty permanently. Reports older
 * than grants_from are ignored: the home had not received the gateways' slots
 * then, and counting that load would block grants until the next reports.
 */
static double
unreported_load (const struct slt *s, const struct rt_server *server)
{
  if (server->load_at <= s->grants_from
      || server->other_requests <= REPORT_ERROR_REQUESTS)
    return 0;
  return server->other_requests - REPORT_ERROR_REQUESTS;
}

/**
 * A replica that fails every request always has the most free slots and would
 * attract all requests. outlier.c ejects it by the results of all gateways;
 * one request probes whether it has recovered.
 */
static bool
is_eligible (const struct slt *s, const struct rt_server *server,
             const struct rt_req *q)
{
  return server->ejected_until == 0
         || rt_outlier_may_probe (s->core, server, q);
}

/**
 * The free server with the earliest expected first token: prefills run one
 * after another, so each request without a first byte costs as much as an
 * uncached prefix; running requests cost little in comparison.
 */
static struct rt_server *
choose (struct slt *s, const struct rt_req *q)
{
  struct rt_target *t = s->target;
  struct rt_server *best = NULL;
  double least = 0;
  for (size_t i = 0; i < t->nservers; i++)
    {
      /* Rotate the start; otherwise the first of equal servers would get all
         requests. */
      struct rt_server *server
          = t->servers[(i + s->start_offset) % t->nservers];
      double load = server->in_flight + unreported_load (s, server);
      if (!rt_is_usable (s->core, server) || load > server->capacity - 1
          || !is_eligible (s, server, q))
        continue;
      const struct rt_grant_history *history = grants_of (server);
      double score
          = count_pending (s, history) + LOAD_SCORE * load / server->capacity;
      if (q->prefix && (!best || score < least))
        score += !has_prefix (history, q->prefix);
      if (best && score >= least)
        continue;
      best = server;
      least = score;
    }
  s->start_offset += 7;
  return best;
}

static void
grant (struct slt *s, struct tracked_request *e, struct rt_server *server)
{
  struct rt_grant_history *history = grants_of (server);
  if (server->ejected_until)
    server->probing = e->q.probe = true;
  history->times[history->next++ % RT_MAX_GRANT_TIMES] = s->now;
  if (e->q.prefix)
    move_prefix_to_front (history, e->q.prefix);
  assign_server (s, e, server);
  push_action (s, RT_SLOT_GRANTED, e)->replica = str_from (server->name);
}

static void
grant_queued (struct slt *s)
{
  struct rt_req *q;
  if (s->now < s->grants_from)
    return;
  while ((q = rt_queue_next (&s->queue, s->now)) != NULL)
    {
      struct rt_server *server = choose (s, q);
      if (!server)
        return;
      rt_queue_pop (&s->queue, q);
      grant (s, (struct tracked_request *)q, server);
    }
}

/* --- events ------------------------------------------------------------- */

static const struct cfg_account *
account_config (const struct slt *s, struct str name)
{
  return s->core->cfg ? cfg_account (s->core->cfg, name) : NULL;
}

/** Whether the request would miss its deadline at the recent processing
    rate. */
static bool
misses_deadline (const struct slt *s, const struct tracked_request *e,
                 double weight)
{
  const struct rt_target *t = s->target;
  if (!e->q.deadline)
    return false;
  double ahead = t->in_flight
                     ? rt_queue_tokens_ahead (&s->queue, e->q.priority,
                                              e->q.account, weight, e->q.cost)
                           / t->in_flight
                     : 0;
  double end = (double)s->now + (ahead + e->q.cost) * t->ms_per_token;
  return end > (double)e->q.deadline;
}

static bool
queue_overfull (const struct slt *s)
{
  return s->core->cfg
         && s->queue.n > s->nodes * s->core->cfg->limits.max_queue;
}

/** Refuse the queue's victim, which may be the new request itself. */
static void
refuse_excess (struct slt *s)
{
  while (queue_overfull (s))
    refuse (s, (struct tracked_request *)rt_queue_victim (&s->queue),
            RT_CODE_QUEUE_FULL, RETRY_MS);
}

static void
on_ask (struct slt *s, const struct slt_event *ev)
{
  if (*find_request (s, ev->gateway, ev->id))
    return; /* already added by a list of held slots */
  const struct cfg_account *a = account_config (s, ev->account);
  double weight = a && a->weight > 0 ? a->weight : 1;
  struct tracked_request *e = request_new (s, ev, ev->id, ev->cost);
  e->q.account = rt_account (s->core, ev->account);
  e->q.priority
      = (uint8_t)(ev->priority < RT_CLASSES ? ev->priority : RT_CLASSES - 1);
  e->q.deadline = ev->deadline;
  e->q.prefix = ev->prefix;
  e->q.idempotent = ev->idempotent;
  if (misses_deadline (s, e, weight))
    {
      refuse (s, e, RT_CODE_DEADLINE, RETRY_MS);
      return;
    }
  rt_queue_push (&s->queue, &e->q, weight, false);
  grant_queued (s);
  if (e->q.queued)
    {
      push_action (s, RT_SLOT_QUEUED, e);
      refuse_excess (s);
    }
}

static struct rt_server *
find_server (const struct slt *s, struct str name)
{
  uint64_t hash = str_hash (name, 0);
  for (size_t i = 0; i < s->target->nservers; i++)
    if (s->target->servers[i]->hash == hash)
      return s->target->servers[i];
  return NULL;
}

/** The reported replica replaces the one that this home assigned, if any. */
static void
on_slot_report (struct slt *s, const struct slt_event *ev,
                const struct rt_slot *o)
{
  struct tracked_request **at = find_request (s, ev->gateway, o->id);
  struct rt_server *server = find_server (s, o->replica);
  if (*at && (*at)->q.server == server)
    {
      (*at)->reported_at = s->now;
      return;
    }
  if (*at)
    request_free (s, at);
  if (server)
    assign_server (s, request_new (s, ev, o->id, o->cost), server);
}

static void
on_held_slots (struct slt *s, const struct slt_event *ev)
{
  for (size_t i = 0; i < ev->n; i++)
    on_slot_report (s, ev, &ev->held_slots[i]);
}

static void
average (double *mean, double value)
{
  *mean += (*mean > 0 ? AVERAGE_WEIGHT : 1) * (value - *mean);
}

/** Slow replicas are not ejected: they free slots slowly, which limits their
    load. Ejecting them raised the p99 from 301 to 317 in a region with one
    slow replica, as their capacity was missing. */
static void
record_attempt_result (struct slt *s, struct rt_server *server,
                       const struct slt_event *ev)
{
  if (ev->failed)
    rt_outlier_failure (s->core, s->target, server);
  else if (ev->first_ms > 0)
    {
      if (server->ejected_until)
        rt_outlier_first_byte (s->core, s->target, server,
                               (clk_ms)ev->first_ms);
      rt_outlier_success (s->core, s->target, server);
    }
}

static void
on_done (struct slt *s, const struct slt_event *ev)
{
  struct tracked_request **at = find_request (s, ev->gateway, ev->id);
  if (!*at)
    return;
  if ((*at)->q.server)
    record_attempt_result (s, (*at)->q.server, ev);
  if (ev->first_ms > 0)
    {
      const struct rt_req *q = &(*at)->q;
      s->first_byte_ms += AVERAGE_WEIGHT * (ev->first_ms - s->first_byte_ms);
      average (&s->target->mean_cost, q->cost);
      average (&s->target->ms_per_token,
               (double)(s->now - q->started_at) / q->cost);
    }
  request_free (s, at);
}

static bool
is_stale (const struct slt *s, const struct tracked_request *e)
{
  return e->q.server && s->now - e->reported_at > SLT_SLOT_TIMEOUT_MS;
}

/** Free slots that their gateway no longer reports: the release message was
 * lost, or the gateway stopped. Otherwise the model would lose these slots
 * permanently. */
static void
free_stale_slots (struct slt *s)
{
  s->stale_checked_at = s->now;
  for (size_t i = 0; i < TABLE_SIZE; i++)
    for (struct tracked_request **at = &s->table[i]; *at;)
      if (is_stale (s, *at))
        request_free (s, at);
      else
        at = &(*at)->hash_next;
}

/** Drop the queued requests of an unreachable gateway: their grants could
    not be delivered, and each would hold an unused slot. */
static void
drop_waiting (struct slt *s, uint32_t gateway)
{
  for (size_t i = 0; i < TABLE_SIZE; i++)
    for (struct tracked_request **at = &s->table[i]; *at;)
      if ((*at)->gateway == gateway && (*at)->q.queued)
        request_free (s, at);
      else
        at = &(*at)->hash_next;
}

static void
forward_to_core (struct slt *s, enum rt_event_kind kind,
                 const struct slt_event *ev)
{
  struct rt_event in
      = { .kind = kind, .cfg = ev->cfg, .replicas = ev->replicas, .n = ev->n };
  rt_event (s->core, s->now, &in);
}

void
slt_event (struct slt *s, clk_ms now, const struct slt_event *ev)
{
  if (now > s->now)
    s->now = s->core->now = now;
  switch (ev->kind)
    {
    case SLT_EV_TICK:
      if (s->now - s->stale_checked_at >= STALE_CHECK_MS)
        free_stale_slots (s);
      break;
    case SLT_EV_CONFIG:
      forward_to_core (s, RT_EV_CONFIG, ev);
      break;
    case SLT_EV_REPLICAS:
      forward_to_core (s, RT_EV_REPLICAS, ev);
      break;
    case SLT_EV_ASK:
      on_ask (s, ev);
      return;
    case SLT_EV_TAKEN:
      on_slot_report (s, ev,
                      &(struct rt_slot){ ev->id, ev->replica, ev->cost });
      return;
    case SLT_EV_DONE:
      on_done (s, ev);
      break;
    case SLT_EV_HELD:
      on_held_slots (s, ev);
      break;
    case SLT_EV_GATEWAY_LOST:
      drop_waiting (s, ev->gateway);
      break;
    case SLT_EV_NODES:
      s->nodes = ev->n ? ev->n : 1;
      return;
    }
  grant_queued (s);
}

bool
slt_next (struct slt *s, struct slt_action *out)
{
  if (s->act_head == s->act_n)
    {
      s->act_head = s->act_n = 0;
      return false;
    }
  *out = s->actions[s->act_head++];
  return true;
}

clk_ms
slt_wake (const struct slt *s)
{
  return s->now < s->grants_from ? s->grants_from
                                 : s->stale_checked_at + STALE_CHECK_MS;
}

size_t
slt_occupied_slots (const struct slt *s)
{
  return s->target->in_flight;
}

struct slt *
slt_new (struct str model, clk_ms now)
{
  struct slt *s = xcalloc (1, sizeof *s);
  struct rt_options opt = { .zone = STR (""), .node = STR (""), .nodes = 1 };
  s->core = rt_new (&opt, 1);
  s->target = rt_target (s->core, model, true);
  s->now = s->core->now = s->stale_checked_at = now;
  s->grants_from = now + SLT_START_DELAY_MS;
  s->first_byte_ms = DEFAULT_FIRST_BYTE_MS;
  s->nodes = 1;
  return s;
}

void
slt_free (struct slt *s)
{
  for (size_t i = 0; i < TABLE_SIZE; i++)
    while (s->table[i])
      request_free (s, &s->table[i]);
  rt_queue_clear (&s->queue);
  rt_free (s->core);
  free (s->actions);
  free (s);
}
