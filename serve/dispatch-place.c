#include "serve/dispatch-int.h"

#include <stdlib.h>
#include <string.h>

/**
 * Number of requests that may be sent to an endpoint in addition to its slots,
 * if they can still meet their latency goal. A slot becomes free there about
 * every 60 ms, and a goal leaves time to wait for little more than one slot.
 */
#define EXTRA_REQUESTS 1

/**
 * Weight of pending prompts in load_of(): prompts that take this many ms to
 * process count as much as all slots of the endpoint. Long prompts that arrive
 * together delay all streams of the replica, whereas all slots are seldom in
 * use. In tests over 20 days with failures each, 20, 25, 40 and 80 ms gave the
 * same value of the requests served within 0.003 of the possible value, and
 * 170 ms gave 0.005 less.
 */
#define PREFILL_WEIGHT_MS 25.0

/** Penalty for an endpoint in another zone, in requests: enough to decide
    between equally loaded endpoints, too small to shift load. */
#define OTHER_ZONE_PENALTY 0.3

/** Length up to which xxh3 combines text and seed by an exclusive or: two ids
    that differ in a few bits have one hash with seeds that differ in these. */
#define WEAKLY_SEEDED_LEN 8

static uint64_t
hash_id (struct str id, uint64_t seed)
{
  char padded[2 * WEAKLY_SEEDED_LEN] = "";

  if (id.len > WEAKLY_SEEDED_LEN || id.len == 0)
    return str_hash (id, seed);
  memcpy (padded, id.ptr, id.len);
  return str_hash (str_make (padded, sizeof padded), seed);
}

uint64_t
dsp_endpoint_hash (struct str server, int64_t start_time, int64_t generation)
{
  uint64_t process_hash = hash_id (server, (uint64_t)start_time);

  return hash_id (server, process_hash ^ (uint64_t)generation);
}

/* --- pools ------------------------------------------------------------- */

struct dsp_pool *
dsp_get_pool (struct dsp *d, struct str service, struct str model)
{
  for (size_t i = 0; i < d->npools; i++)
    if (str_is (service, d->pools[i]->service)
        && str_is (model, d->pools[i]->model))
      return d->pools[i];
  struct dsp_pool *p = xcalloc (1, sizeof *p);
  p->service = str_dup (service);
  p->mean_priority = -1;
  p->model = str_dup (model);
  p->retry_budget = dsp_get_budget (d, p->service);
  p->path = dsp_get_path (d, p->service);
  d->pools = xrealloc (d->pools, (d->npools + 1) * sizeof *d->pools);
  d->pools[d->npools++] = p;
  return p;
}

void
dsp_endpoint_free (struct dsp_endpoint_state *s)
{
  free (s->server);
  free (s->zone);
  free (s);
}

void
dsp_pool_free (struct dsp_pool *p)
{
  for (size_t i = 0; i < p->n; i++)
    dsp_endpoint_free (p->endpoints[i]);
  for (size_t i = 0; i < p->nproxies; i++)
    dsp_endpoint_free (p->proxies[i]);
  free (p->endpoints);
  free (p->proxies);
  free (p->service);
  free (p->model);
  free (p);
}

static struct dsp_endpoint_state *
get_endpoint (struct dsp_pool *p, const struct dsp_endpoint *in)
{
  uint64_t hash
      = dsp_endpoint_hash (in->server, in->start_time, in->generation);

  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i]->hash == hash)
      return p->endpoints[i];
  struct dsp_endpoint_state *s = xcalloc (1, sizeof *s);
  s->pool = p;
  s->server = str_dup (in->server);
  s->generation = in->generation;
  s->hash = hash;
  s->process_hash = dsp_endpoint_hash (in->server, in->start_time, 0);
  p->endpoints = xrealloc (p->endpoints, (p->n + 1) * sizeof (*p->endpoints));
  p->endpoints[p->n++] = s;
  return s;
}

/** Frees endpoints that are no longer listed and have no requests. */
static void
remove_unlisted (struct dsp_pool *p)
{
  size_t kept = 0;

  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i]->listed || p->endpoints[i]->own_requests)
      p->endpoints[kept++] = p->endpoints[i];
    else
      dsp_endpoint_free (p->endpoints[i]);
  p->n = kept;
}

void
dsp_set_endpoints (struct dsp *d, clk_ms now, const struct dsp_endpoint *list,
                   size_t n)
{
  d->now = now;
  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      d->pools[i]->endpoints[k]->seen_in_list = false;
  for (size_t i = 0; i < n; i++)
    {
      struct dsp_pool *p = dsp_get_pool (d, list[i].service, list[i].model);
      struct dsp_endpoint_state *s = get_endpoint (p, &list[i]);
      s->seen_in_list = true;
      s->addr = list[i].addr;
      s->same_zone = str_is (list[i].zone, d->zone);
      if (!s->zone || !str_is (list[i].zone, s->zone))
        {
          free (s->zone);
          s->zone = str_dup (list[i].zone);
        }
      s->evacuated = list[i].evacuated;
      s->capacity = list[i].capacity;
      s->prefill_per_ms = list[i].prefill_per_ms;
      s->accepting = list[i].accepting;
    }
  for (size_t i = 0; i < d->npools; i++)
    {
      struct dsp_pool *p = d->pools[i];
      for (size_t k = 0; k < p->n; k++)
        p->endpoints[k]->listed = p->endpoints[k]->seen_in_list;
      remove_unlisted (p);
    }
  dsp_load_sum_peers (d);
  dsp_send_all_queued (d);
}

/* --- choice of an endpoint --------------------------------------------- */

bool
dsp_has_failed_at (const struct dsp_req *q, const struct dsp_endpoint_state *s)
{
  for (unsigned i = 0; i < q->nfailed_endpoints; i++)
    if (q->failed_endpoints[i] == s->hash)
      return true;
  return false;
}

bool
dsp_any_usable (const struct dsp *d, const struct dsp_pool *p)
{
  for (size_t i = 0; i < p->n; i++)
    if (dsp_health_allows_requests (d, p->endpoints[i]))
      return true;
  return false;
}

bool
dsp_any_alternative (struct dsp *d, const struct dsp_req *q)
{
  const struct dsp_pool *p = q->pool;

  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i] != q->endpoint
        && dsp_health_allows_requests (d, p->endpoints[i])
        && !dsp_has_failed_at (q, p->endpoints[i]))
      return true;
  return dsp_prefers_proxy (q) && dsp_choose_proxy (d, q->pool, q);
}

/** Requests that hold a slot or wait at the server for one. */
static uint32_t
slots_taken (const struct dsp_endpoint_state *s)
{
  return s->own_requests + s->peer_requests;
}

/**
 * Load of an endpoint as a fraction of its capacity: the slots taken, plus the
 * processing time of the pending prompts. A replica processes all new prompts
 * in one pass, and all its running streams pause meanwhile.  Half a dozen long
 * prompts take 200 ms, which makes each of the paused streams late.
 */
static double
load_of (const struct dsp_endpoint_state *s)
{
  double n = slots_taken (s) + (s->same_zone ? 0 : OTHER_ZONE_PENALTY);
  double load = n / (s->capacity ? s->capacity : 1);

  if (s->prefill_per_ms > 0)
    load += dsp_load_pending_prefill (s) / s->prefill_per_ms
            / PREFILL_WEIGHT_MS;
  return load;
}

static bool
is_candidate (const struct dsp *d, const struct dsp_endpoint_state *s,
              const struct dsp_req *q)
{
  return dsp_health_allows_requests (d, s) && !dsp_has_failed_at (q, s)
         && !dsp_health_streams_silent (d, s, dsp_is_hedged (q));
}

static struct dsp_endpoint_state *
less_loaded (struct dsp_endpoint_state *a, struct dsp_endpoint_state *b)
{
  if (!a || !b)
    return a ? a : b;
  return load_of (b) < load_of (a) ? b : a;
}

/** Cold endpoints of a pool, while one is chosen for a request. */
struct cold_choice
{
  struct dsp_endpoint_state *permitted; /**< least loaded one with a permit */
  struct dsp_endpoint_state *drawn[2];  /**< of those without a permit */
  unsigned n;                           /**< number of those */
  bool has_warm; /**< the pool has warm endpoints, too */
};

static void
consider_cold (struct dsp *d, struct dsp_endpoint_state *s,
               struct cold_choice *c)
{
  uint64_t slot;

  if (dsp_limit_allows_request (d, s))
    {
      c->permitted = less_loaded (c->permitted, s);
      return;
    }
  slot = rng_below (&d->rng, ++c->n);
  if (c->n <= 2)
    c->drawn[c->n - 1] = s;
  else if (slot < 2)
    c->drawn[slot] = s;
}

/**
 * Requests permits for cold endpoints: for two of them, since a request uses
 * one and the others would expire, or for all if the pool has no warm
 * endpoint, so that the request can be rejected once no permit is left.
 */
static void
ask_for_cold (const struct dsp *d, const struct dsp_pool *p,
              const struct dsp_req *q, unsigned extra,
              const struct cold_choice *c)
{
  for (unsigned i = 0; c->has_warm && i < 2 && i < c->n; i++)
    dsp_limit_ask_permit (d, c->drawn[i], q);
  for (size_t i = 0; c->n > 0 && !c->has_warm && i < p->n; i++)
    if (is_candidate (d, p->endpoints[i], q)
        && slots_taken (p->endpoints[i]) < p->endpoints[i]->capacity + extra
        && !dsp_limit_allows_request (d, p->endpoints[i]))
      dsp_limit_ask_permit (d, p->endpoints[i], q);
}

/**
 * Chooses the less loaded of two random endpoints. The load reported by the
 * other nodes is up to a tenth of a second old. If every node chose the least
 * loaded endpoint, all of them would choose the same one until the next
 * report, and the requests sent in that time would queue there.
 *
 * Rate-limited endpoints for which this node has a permit are not drawn: the
 * least loaded of them is always compared with the two. The permit is valid
 * for this node only and expires if it is not used. The same holds for cold
 * endpoints; of equally loaded endpoints, a warm one is chosen.
 *
 * @param heard_only  leave out endpoints from which no node has had an event
 * recently
 */
static struct dsp_endpoint_state *
choose_of_two (struct dsp *d, struct dsp_pool *p, const struct dsp_req *q,
               unsigned extra, bool heard_only)
{
  struct dsp_endpoint_state *drawn[2] = { NULL, NULL }, *permitted = NULL;
  struct cold_choice cold = { 0 };
  unsigned n = 0;

  for (size_t i = 0; i < p->n; i++)
    {
      struct dsp_endpoint_state *s = p->endpoints[i];
      if (!is_candidate (d, s, q)
          || (heard_only && !dsp_health_heard_recently (d, s)))
        continue;
      if (dsp_is_cold (d, s))
        {
          if (slots_taken (s) < s->capacity + extra)
            consider_cold (d, s, &cold);
          continue;
        }
      cold.has_warm = true;
      if (slots_taken (s) >= s->capacity + extra)
        continue;
      if (!dsp_limit_allows_request (d, s))
        {
          dsp_limit_ask_permit (d, s, q);
          continue;
        }
      if (dsp_has_rate_limit (d, s))
        {
          permitted = less_loaded (permitted, s);
          continue;
        }
      /* Reservoir sampling of two; all pairs are equally likely. */
      uint64_t slot = rng_below (&d->rng, ++n);
      if (n <= 2)
        drawn[n - 1] = s;
      else if (slot < 2)
        drawn[slot] = s;
    }
  ask_for_cold (d, p, q, extra, &cold);
  return less_loaded (
      less_loaded (permitted, less_loaded (drawn[0], drawn[1])),
      cold.permitted);
}

/** Whether each endpoint of the pool that runs and takes requests has stalled.
    One that is full or paused for a moment is worth waiting for. */
static bool
has_only_stalled (const struct dsp *d, const struct dsp_pool *p)
{
  for (size_t i = 0; i < p->n; i++)
    {
      const struct dsp_endpoint_state *s = p->endpoints[i];
      if (s->listed && s->accepting && !s->stalled
          && !dsp_process_ended (d, s))
        return false;
    }
  return true;
}

/**
 * Finds an ejected or stalled endpoint that is due for a trial request.  A
 * request that can't be retried after a failure is used only if all endpoints
 * have stalled, or if the trial is overdue: a service whose routes allow no
 * second attempt would never use the endpoint again.
 */
static bool
find_trial_endpoint (const struct dsp *d, const struct dsp_pool *p,
                     const struct dsp_req *q, struct dsp_endpoint_state **out)
{
  bool may_retry = q->retryable && q->sent_attempts + 1 < q->max_attempts;

  if (q->partly_forwarded)
    return false;
  for (size_t i = 0; i < p->n; i++)
    {
      *out = p->endpoints[i];
      if (!dsp_has_failed_at (q, *out) && dsp_health_trial_due (d, *out)
          && dsp_limit_allows_request (d, *out)
          && (may_retry || dsp_health_trial_overdue (d, *out)
              || has_only_stalled (d, p)))
        return true;
    }
  return false;
}

/** Chooses among the endpoints that failed recently, if no others are left. */
static struct dsp_endpoint_state *
choose_fallback (const struct dsp *d, const struct dsp_pool *p,
                 const struct dsp_req *q)
{
  struct dsp_endpoint_state *best = NULL;

  for (size_t i = 0; i < p->n; i++)
    {
      struct dsp_endpoint_state *s = p->endpoints[i];
      if (!s->listed || !s->accepting || s->stalled || dsp_has_failed_at (q, s)
          || d->now < s->full_until || dsp_process_ended (d, s)
          || !dsp_avail_allows (d, s) || slots_taken (s) >= s->capacity
          || !dsp_limit_allows_request (d, s))
        continue;
      if (!best || slots_taken (s) < slots_taken (best))
        best = s;
    }
  return best;
}

/*
 * If all slots are taken, the request stays in this node's queue for an eighth
 * of its latency goal and is then rejected. The response states that the
 * request was not executed, and its client retries it when a slot is free. A
 * backend server would queue the request behind all others. Under overload it
 * would not be served there in time, and would later occupy a slot that a
 * newer request needs to meet its goal. Queueing at the servers lowered the
 * value of the requests served by 1.4 in 100 of the possible value (20 days
 * with failures and high load; by 1.2 and 1.7 on 10 days of two other
 * workloads).
 */
static struct dsp_endpoint_state *
choose_server (struct dsp *d, struct dsp_pool *p, const struct dsp_req *q)
{
  bool goal_missed = d->now >= q->goal_at && !q->partly_forwarded;
  unsigned extra = goal_missed ? 0 : EXTRA_REQUESTS;
  struct dsp_endpoint_state *s;

  dsp_load_expire_prompt_notices (d);
  if (dsp_limit_needed_by_higher_priority (d, p, q))
    return NULL;
  if (find_trial_endpoint (d, p, q, &s))
    return s;
  /* What silences one server often silences others, which can't be seen at
     those without streams. */
  s = dsp_is_hedged (q) ? choose_of_two (d, p, q, extra, true) : NULL;
  if (!s)
    s = choose_of_two (d, p, q, extra, false);
  return s || dsp_any_usable (d, p) ? s : choose_fallback (d, p, q);
}

struct dsp_endpoint_state *
dsp_choose_endpoint (struct dsp *d, struct dsp_pool *p,
                     const struct dsp_req *q)
{
  struct dsp_endpoint_state *s = NULL;

  if (dsp_prefers_proxy (q))
    s = dsp_choose_proxy (d, p, q);
  return s ? s : choose_server (d, p, q);
}
