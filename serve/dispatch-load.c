#include "serve/dispatch-int.h"
#include "serve/hubs.h"

#include <stdlib.h>
#include <string.h>

/*
 * Load of each endpoint: that of this node, and that reported by the other
 * nodes.
 */

/**
 * A prompt that takes a replica at least this long to process is announced to
 * the other nodes when it is sent. Load reports are sent only every tenth of a
 * second. In that time two nodes could send their longest prompts to the same
 * replica, and while it processes both, all its streams pause for longer than
 * clients accept. Fleets of more than RLY_FULL_MESH_MAX nodes rely on the load
 * reports alone.
 */
#define NOTICE_MIN_PREFILL_MS 20.0
/** An announced prompt counts as processed after this time. On a replica with
    free slots, half of the larger model's first events arrive within 200 ms,
    and nine in ten within 240 to 320 ms. */
#define NOTICE_LIFETIME_MS ((clk_ms)250)
/** Weight of one request in the mean priority of its pool. */
#define PRIORITY_WEIGHT 0.02

struct dsp_endpoint_state *
dsp_find_endpoint (const struct dsp *d, uint64_t hash)
{
  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      if (d->pools[i]->endpoints[k]->hash == hash)
        return d->pools[i]->endpoints[k];
  return NULL;
}

static uint32_t
subtract_saturating (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

static void
add_peer_loads (const struct dsp *d, const struct dsp_peer *p, bool add)
{
  for (size_t i = 0; i < p->n; i++)
    {
      const struct dsp_endpoint_load *c = &p->loads[i];
      struct dsp_endpoint_state *s = dsp_find_endpoint (d, c->endpoint);
      if (!s)
        continue;
      s->peer_requests
          = add ? s->peer_requests + c->in_flight
                : subtract_saturating (s->peer_requests, c->in_flight);
      s->peer_streaming
          = add ? s->peer_streaming + c->streaming
                : subtract_saturating (s->peer_streaming, c->streaming);
      s->peer_prefill
          += add ? (double)c->pending_prefill : -(double)c->pending_prefill;
      if (s->peer_prefill < 0)
        s->peer_prefill = 0;
    }
}

void
dsp_load_sum_peers (struct dsp *d)
{
  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      {
        struct dsp_endpoint_state *s = d->pools[i]->endpoints[k];
        s->peer_requests = s->peer_streaming = 0;
        s->peer_prefill = 0;
      }
  for (size_t i = 0; i < d->npeers; i++)
    add_peer_loads (d, &d->peers[i], true);
}

void
dsp_send_all_queued (struct dsp *d)
{
  for (size_t i = 0; i < d->npools; i++)
    dsp_send_queued (d, d->pools[i]);
}

/* --- other nodes ------------------------------------------------------- */

void
dsp_set_node_count (struct dsp *d, clk_ms now, unsigned n, unsigned known)
{
  d->now = now;
  dsp_budget_nodes (d);
  d->node_count = n ? n : 1;
  d->known_nodes = known > d->node_count ? known : d->node_count;
}

static struct dsp_peer *
get_peer (struct dsp *d, uint64_t node)
{
  for (size_t i = 0; i < d->npeers; i++)
    if (d->peers[i].node == node)
      return &d->peers[i];
  d->peers = xrealloc (d->peers, (d->npeers + 1) * sizeof *d->peers);
  d->peers[d->npeers] = (struct dsp_peer){ .node = node };
  return &d->peers[d->npeers++];
}

void
dsp_set_peer_load (struct dsp *d, clk_ms now, clk_ms received_at,
                   uint64_t peer, const struct dsp_endpoint_load *loads,
                   size_t n)
{
  struct dsp_peer *p = get_peer (d, peer);

  d->now = now;
  add_peer_loads (d, p, false);
  p->loads = xrealloc (p->loads, (n + 1) * sizeof *p->loads);
  if (n)
    memcpy (p->loads, loads, n * sizeof *loads);
  p->n = n;
  p->received_at = received_at;
  add_peer_loads (d, p, true);
  for (size_t i = 0; i < n; i++)
    {
      struct dsp_endpoint_state *s = dsp_find_endpoint (d, loads[i].endpoint);
      if (loads[i].process_ended)
        dsp_peer_reported_ended (d, s);
      if (s)
        dsp_health_peer_load (s, &loads[i]);
    }
  dsp_send_all_queued (d);
}

const struct dsp_endpoint_load *
dsp_own_load (struct dsp *d, size_t *n)
{
  size_t endpoints = 0;

  for (size_t i = 0; i < d->npools; i++)
    endpoints += d->pools[i]->n;
  d->own_loads
      = xrealloc (d->own_loads, (endpoints + 1) * sizeof *d->own_loads);
  *n = 0;
  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      {
        const struct dsp_endpoint_state *s = d->pools[i]->endpoints[k];
        bool reached = !dsp_path_is_own_loss (d, s->pool->path);
        bool ended = reached && d->now < s->process_ended_until;
        bool stalled = reached && s->stalled;
        if (s->own_requests || stalled || ended)
          d->own_loads[(*n)++] = (struct dsp_endpoint_load){
            .endpoint = s->hash,
            .in_flight = s->own_requests,
            .streaming = s->own_streaming,
            .pending_prefill = (uint32_t)(s->own_prefill - s->own_announced),
            .last_event_at = s->last_data_at,
            .stalled = stalled,
            .process_ended = ended
          };
      }
  return d->own_loads;
}

size_t
dsp_load_count_waiting (const struct dsp_pool *p)
{
  size_t n = 0;

  for (const struct dsp_req *q = p->queue_head; q; q = q->queue_next)
    n += !dsp_is_hedged (q);
  return n;
}

double
dsp_demand (const struct dsp *d, struct str service, struct str model)
{
  double n = 0;

  for (size_t i = 0; i < d->npools; i++)
    {
      const struct dsp_pool *p = d->pools[i];
      if (!str_is (service, p->service) || !str_is (model, p->model))
        continue;
      /* Clients choose their nodes at random, so each other node has about as
         many queued requests. */
      n += (double)dsp_load_count_waiting (p) * d->node_count
           + dsp_limit_demand (d, p);
      for (size_t k = 0; k < p->n; k++)
        {
          const struct dsp_endpoint_state *s = p->endpoints[k];
          n += s->own_requests + s->peer_requests;
          /* A server is cold for seconds, a replica takes longer to form. */
          if (!dsp_is_cold (d, s))
            n += s->capacity - dsp_limit_slots (d, s);
        }
    }
  return n;
}

void
dsp_load_count_priority (struct dsp_req *q)
{
  struct dsp_pool *p = q->pool;

  if (p->mean_priority < 0)
    p->mean_priority = q->priority;
  p->mean_priority += PRIORITY_WEIGHT * (q->priority - p->mean_priority);
}

double
dsp_mean_priority (const struct dsp *d, struct str service, struct str model)
{
  for (size_t i = 0; i < d->npools; i++)
    if (str_is (service, d->pools[i]->service)
        && str_is (model, d->pools[i]->model))
      return d->pools[i]->mean_priority;
  return -1;
}

/* --- prompts ------------------------------------------------------------ */

double
dsp_load_pending_prefill (const struct dsp_endpoint_state *s)
{
  return s->own_prefill + s->peer_prefill + s->peer_announced;
}

static bool
is_long_prompt (const struct dsp *d, const struct dsp_endpoint_state *s,
                double prompt)
{
  return s->prefill_per_ms > 0
         && prompt / s->prefill_per_ms >= NOTICE_MIN_PREFILL_MS
         && d->node_count > 1 && d->node_count <= RLY_FULL_MESH_MAX
         && d->noutgoing < DSP_NOTICES_MAX;
}

void
dsp_load_prompt_sent (struct dsp *d, struct dsp_req *q)
{
  struct dsp_endpoint_state *s = q->endpoint;

  q->prefill_counted = true;
  s->own_prefill += q->prompt_tokens;
  q->prefill_announced = is_long_prompt (d, s, q->prompt_tokens);
  if (!q->prefill_announced)
    return;
  s->own_announced += q->prompt_tokens;
  d->outgoing_notices[d->noutgoing++]
      = (struct dsp_prompt_notice){ s->hash, (uint32_t)q->prompt_tokens };
}

void
dsp_load_prompt_processed (struct dsp_req *q)
{
  struct dsp_endpoint_state *s = q->endpoint;

  if (q->prefill_counted)
    s->own_prefill -= q->prompt_tokens;
  if (q->prefill_announced)
    s->own_announced -= q->prompt_tokens;
  q->prefill_counted = q->prefill_announced = false;
}

const struct dsp_prompt_notice *
dsp_take_notices (struct dsp *d, size_t *n)
{
  *n = d->noutgoing;
  d->noutgoing = 0;
  return d->outgoing_notices;
}

static void
apply_notice (const struct dsp *d, const struct dsp_prompt_notice *n, bool add)
{
  struct dsp_endpoint_state *s = dsp_find_endpoint (d, n->endpoint);

  if (!s)
    return;
  s->peer_announced += add ? (double)n->tokens : -(double)n->tokens;
  if (s->peer_announced < 0)
    s->peer_announced = 0; /* the endpoint was added after the notice was
                            received */
}

static void
drop_notice (struct dsp *d)
{
  apply_notice (d, &d->received_notices[d->received_first].notice, false);
  d->received_first = (d->received_first + 1) % DSP_NOTICES_MAX;
  d->nreceived--;
}

void
dsp_load_expire_prompt_notices (struct dsp *d)
{
  while (d->nreceived > 0
         && d->now >= d->received_notices[d->received_first].expires_at)
    drop_notice (d);
}

void
dsp_receive_notices (struct dsp *d, clk_ms now,
                     const struct dsp_prompt_notice *list, size_t n)
{
  d->now = now;
  dsp_load_expire_prompt_notices (d);
  for (size_t i = 0; i < n; i++)
    {
      if (d->nreceived == DSP_NOTICES_MAX)
        drop_notice (d);
      d->received_notices[(d->received_first + d->nreceived++)
                          % DSP_NOTICES_MAX]
          = (struct dsp_received_notice){ list[i], now + NOTICE_LIFETIME_MS };
      apply_notice (d, &list[i], true);
    }
}
