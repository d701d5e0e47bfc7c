#include "serve/dispatch-int.h"

#include <stdlib.h>
#include <string.h>

#include "base/chart.h"

#define TABLE_FIRST 256

/** Prompt length assumed for a request that doesn't state one: about the
    mean of those that do. */
#define PROMPT_UNKNOWN 1000.0

/** Interval of the timeout checks while requests are open; clients notice
    delays of some hundred milliseconds. */
#define TICK_MS ((clk_ms)20)

/** A tick that is later than this shows that the process was suspended.
    Data that arrived meanwhile is still in the sockets, as timers run
    before sockets are read. */
#define LATE_MS ((clk_ms)100)

/** Failed connections after which a request is given up. If a third
    endpoint can't be reached, the fault is on this node's side. */
#define CONNECTS_MOST 3

/**
 * Part of a request's latency goal that it may spend in the queue. A request
 * is queued only when all slots are taken or no endpoint is usable. A slot
 * that becomes free within this time still meets the goal; otherwise the
 * client is told early enough to retry when a slot is free.
 */
#define WAIT_PART 0.12

/** Bounds of the retry delay sent with a rejection: about the time in which
    several slots become free. */
#define RETRY_LEAST_MS ((clk_ms)150)
#define RETRY_MOST_MS ((clk_ms)2000)

/** An idempotent request without a response is retried at another endpoint
    after this multiple of its latency goal. Its response arrives in one
    piece, so there is no other way to tell a hung endpoint from a working
    one. */
#define SILENT_FACTOR 1.0

static const char *const state_names[DSP_STATES]
    = { "received",  "waiting",      "connecting", "sent",
        "rewaiting", "reconnecting", "resent",     "passing",
        "done",      "not_run",      "failed" };

static const char *const step_names[DSP_TRANSITIONS]
    = { "wait",  "refuse", "connect", "sent", "unrun",
        "retry", "pass",   "whole",   "fail" };

/** Transitions of the chart, indexed by the enums; loaded once. */
static signed char table[DSP_STATES][DSP_TRANSITIONS];
static bool table_read;

static void
read_table (void)
{
  const struct chart *c = chart_embedded ("forward");
  int ours[DSP_STATES + 1];

  for (int i = 0; i < DSP_STATES; i++)
    ours[chart_state (c, state_names[i])] = i;
  for (int i = 0; i < DSP_STATES; i++)
    for (int k = 0; k < DSP_TRANSITIONS; k++)
      {
        int to = chart_step (c, chart_state (c, state_names[i]),
                             chart_event (c, step_names[k]));
        table[i][k] = to == CHART_REFUSED ? -1 : (signed char)ours[to];
      }
  table_read = true;
}

/** A transition that the chart doesn't allow is a bug in this process.
    Continuing could report a wrong outcome to the client. */
void
dsp_transition (struct dsp_req *q, enum dsp_transition x)
{
  int to = table[q->state][x];

  if (to < 0)
    abort ();
  q->state = (enum dsp_state)to;
}

/* --- actions ----------------------------------------------------------- */

struct dsp_action *
dsp_add_action (struct dsp *d, enum dsp_action_kind kind,
                const struct dsp_req *q)
{
  if (d->act_n == d->act_cap)
    {
      size_t cap = d->act_cap ? 2 * d->act_cap : 64;
      struct dsp_action *grown = xmalloc (cap * sizeof *grown);
      for (size_t i = 0; i < d->act_n; i++)
        grown[i] = d->actions[(d->act_head + i) % d->act_cap];
      free (d->actions);
      d->actions = grown;
      d->act_cap = cap;
      d->act_head = 0;
    }
  struct dsp_action *a = &d->actions[(d->act_head + d->act_n) % d->act_cap];
  d->act_n++;
  memset (a, 0, sizeof *a);
  a->kind = kind;
  if (q)
    {
      a->id = q->id;
      a->attempt = q->attempt;
    }
  return a;
}

bool
dsp_next (struct dsp *d, struct dsp_action *out)
{
  if (d->act_n == 0)
    return false;
  *out = d->actions[d->act_head];
  d->act_head = (d->act_head + 1) % d->act_cap;
  d->act_n--;
  return true;
}

/* --- lookup of requests ------------------------------------------------ */

static struct dsp_req *
find_request (const struct dsp *d, uint64_t id)
{
  struct dsp_req *q = d->by_id[id & (d->by_id_size - 1)];

  while (q && q->id != id)
    q = q->hash_next;
  return q;
}

struct dsp_req *
dsp_find_attempt (const struct dsp *d, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = find_request (d, id);

  return q && q->endpoint && q->attempt == attempt ? q : NULL;
}

static void
table_grow (struct dsp *d)
{
  size_t size = 2 * d->by_id_size;
  struct dsp_req **grown = xcalloc (size, sizeof *grown);

  for (struct dsp_req *q = d->open_list; q; q = q->next)
    {
      q->hash_next = grown[q->id & (size - 1)];
      grown[q->id & (size - 1)] = q;
    }
  free (d->by_id);
  d->by_id = grown;
  d->by_id_size = size;
}

static struct dsp_req *
add_request (struct dsp *d, const struct dsp_request *in)
{
  struct dsp_req *q = xcalloc (1, sizeof *q);
  const struct tbl_route *r = in->route;

  if (d->open_count >= d->by_id_size)
    table_grow (d);
  q->id = in->id;
  q->config = tbl_ref (in->table);
  q->route = r;
  q->priority = in->priority;
  q->arrived_at = d->now;
  q->goal_at = d->now - in->waited + r->goal_ms;
  q->deadline = in->deadline;
  q->prompt_tokens = in->prompt > 0 ? in->prompt : PROMPT_UNKNOWN;
  q->digest = in->digest;
  q->retryable = tbl_repeatable (r);
  q->state = DSP_S_RECEIVED;
  q->pool = dsp_get_pool (d, in->service->name, in->model);
  q->hash_next = d->by_id[q->id & (d->by_id_size - 1)];
  d->by_id[q->id & (d->by_id_size - 1)] = q;
  q->next = d->open_list;
  if (q->next)
    q->next->prev = q;
  d->open_list = q;
  d->open_count++;
  return q;
}

static void
free_request (struct dsp *d, struct dsp_req *q)
{
  struct dsp_req **at = &d->by_id[q->id & (d->by_id_size - 1)];

  while (*at != q)
    at = &(*at)->hash_next;
  *at = q->hash_next;
  if (q->prev)
    q->prev->next = q->next;
  else
    d->open_list = q->next;
  if (q->next)
    q->next->prev = q->prev;
  tbl_unref (q->config);
  free (q);
  d->open_count--;
}

/* --- end of an attempt ------------------------------------------------- */

static void
settle_unbegun (struct dsp_req *q)
{
  dsp_load_prompt_processed (q);
  q->awaits_first_event = false;
}

static void
leave_server (struct dsp_req *q)
{
  if (!q->endpoint)
    return;
  settle_unbegun (q);
  q->endpoint->own_streaming -= q->streaming;
  q->streaming = false;
  q->endpoint->own_requests--;
  if (q->probe)
    q->endpoint->probing = false;
  q->probe = false;
  q->endpoint = NULL;
}

static void
avoid (struct dsp_req *q)
{
  q->tried[q->ntried % DSP_TRIED_MAX] = q->endpoint->hash;
  if (q->ntried < DSP_TRIED_MAX)
    q->ntried++;
}

static void
forget (struct dsp *d, struct dsp_req *q)
{
  struct dsp_pool *p = q->pool;

  dsp_dequeue (q);
  leave_server (q);
  dsp_add_action (d, DSP_ACT_FORGET, q);
  free_request (d, q);
  d->stats.ended++;
  dsp_send_queued (d, p);
}

/** Estimated time until an endpoint has room for one more request: the
    queue, divided by the rate at which the pool completes requests. */
static clk_ms
retry_after (const struct dsp *d, const struct dsp_pool *p)
{
  double places = 1, ms;

  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i]->listed)
      places += dsp_limit_slots (d, p->endpoints[i]);
  ms = p->response_ms * (double)(p->queue_length * d->node_count) / places;
  if (ms < (double)RETRY_LEAST_MS)
    return RETRY_LEAST_MS;
  return ms > (double)RETRY_MOST_MS ? RETRY_MOST_MS : (clk_ms)ms;
}

/** Ends the request with an error response generated by this node. */
static void
answer (struct dsp *d, struct dsp_req *q, enum dsp_code code, clk_ms retry_ms)
{
  struct dsp_action *a
      = dsp_add_action (d, q->forwarded ? DSP_ACT_CUT : DSP_ACT_ANSWER, q);

  a->code = code;
  a->retry_ms = retry_ms;
  d->stats.answered[code]++;
  forget (d, q);
}

static void
cancel_attempt (struct dsp *d, struct dsp_req *q)
{
  if (q->endpoint)
    dsp_add_action (d, DSP_ACT_CANCEL, q);
  leave_server (q);
}

static bool
may_have_run (const struct dsp_req *q)
{
  return q->state != DSP_S_RECEIVED && q->state != DSP_S_WAITING
         && q->state != DSP_S_CONNECTING;
}

void
dsp_give_up (struct dsp *d, struct dsp_req *q, enum dsp_code unrun,
             enum dsp_code ran, clk_ms retry_ms)
{
  cancel_attempt (d, q);
  if (may_have_run (q))
    {
      dsp_transition (q, DSP_X_FAIL);
      answer (d, q, ran, 0);
      return;
    }
  dsp_transition (q, DSP_X_REFUSE);
  answer (d, q, unrun, retry_ms);
}

/** The same, with the estimated time until a slot is free as the retry
    delay. */
static void
give_up (struct dsp *d, struct dsp_req *q, enum dsp_code unrun,
         enum dsp_code ran)
{
  dsp_give_up (d, q, unrun, ran, retry_after (d, q->pool));
}

static void
again (struct dsp *d, struct dsp_req *q)
{
  struct dsp_pool *p = q->pool;

  dsp_enqueue (d, q, true);
  dsp_send_queued (d, p);
}

static bool
may_send_again (struct dsp *d, const struct dsp_req *q)
{
  return q->sent_attempts < q->route->max_attempts && d->now < q->deadline
         && dsp_budget_take_retry (d, q->pool);
}

void
dsp_attempt_failed (struct dsp *d, struct dsp_req *q, enum dsp_code code)
{
  bool more = q->retryable && !dsp_is_suspect (d, q) && may_send_again (d, q);

  avoid (q);
  cancel_attempt (d, q);
  if (!more)
    {
      give_up (d, q, code, code);
      return;
    }
  d->stats.resumed += q->forwarded;
  dsp_transition (q, DSP_X_RETRY);
  again (d, q);
}

/* --- events of an attempt ---------------------------------------------- */

bool
dsp_sent (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q || (q->state != DSP_S_CONNECTING && q->state != DSP_S_RECONNECTING))
    return false;
  dsp_transition (q, DSP_X_SENT);
  q->sent_attempts++;
  q->sent_at = q->last_data_at = now;
  q->awaits_first_event = true;
  d->stats.sent++;
  d->stats.repeated += q->sent_attempts > 1;
  return true;
}

void
dsp_connect_failed (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q || (q->state != DSP_S_CONNECTING && q->state != DSP_S_RECONNECTING))
    return;
  /* Nothing was sent, so a retry is safe even for a request that must be
     executed at most once. */
  dsp_health_failure (d, q->endpoint);
  avoid (q);
  leave_server (q);
  dsp_transition (q, DSP_X_UNRUN);
  if (++q->connect_failures >= CONNECTS_MOST)
    give_up (d, q, DSP_NO_CONNECTION, DSP_INTERRUPTED);
  else
    again (d, q);
}

/** The backend server reports that it did not execute the request. */
static void
on_unrun (struct dsp *d, struct dsp_req *q)
{
  struct dsp_endpoint_state *s = q->endpoint;
  bool more = may_send_again (d, q);

  s->full_until = d->now + TICK_MS;
  avoid (q);
  cancel_attempt (d, q);
  dsp_transition (q, DSP_X_UNRUN);
  if (more)
    again (d, q);
  else
    give_up (d, q, DSP_REFUSED, DSP_INTERRUPTED);
}

void
dsp_head (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
          enum dsp_head head)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q || (q->state != DSP_S_SENT && q->state != DSP_S_RESENT))
    return;
  q->last_data_at = q->endpoint->last_data_at = now;
  switch (head)
    {
    case DSP_HEAD_GOOD:
      break;
    case DSP_HEAD_UNRUN:
      on_unrun (d, q);
      break;
    case DSP_HEAD_ERROR:
      q->error_response = true;
      dsp_health_failure (d, q->endpoint);
      /* An error response to a resumed stream can't be appended to what the
         client already has. */
      if (q->forwarded
          || (q->retryable && q->sent_attempts < q->route->max_attempts))
        dsp_attempt_failed (d, q, DSP_INTERRUPTED);
      break;
    case DSP_HEAD_FINAL:
      if (q->forwarded)
        dsp_attempt_failed (d, q, DSP_INTERRUPTED);
      break;
    }
}

static void
begin (struct dsp *d, struct dsp_req *q)
{
  settle_unbegun (q);
  q->streaming = true;
  q->first_event_at = d->now;
  q->endpoint->own_streaming++;
  dsp_health_first_event (d, q->endpoint, d->now - q->sent_at);
  if (q->state == DSP_S_PASSING)
    return;
  dsp_transition (q, DSP_X_PASS);
  q->forwarded = true;
  dsp_add_action (d, DSP_ACT_PASS, q);
}

void
dsp_heard (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
           bool event)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q)
    return;
  q->last_data_at = q->endpoint->last_data_at = now;
  q->endpoint->stalled = false;
  if (event && !q->streaming)
    begin (d, q);
}

void
dsp_whole (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);
  double ms;

  d->now = now;
  if (!q
      || (q->state != DSP_S_SENT && q->state != DSP_S_RESENT
          && q->state != DSP_S_PASSING))
    return;
  if (!q->streaming)
    {
      settle_unbegun (q);
      dsp_health_first_event (d, q->endpoint, now - q->sent_at);
    }
  dsp_health_success (d, q->endpoint);
  /* An error response doesn't prove that execution had begun. */
  if (d->opt.poison && !q->error_response)
    psn_completed (d->opt.poison, now, q->digest);
  ms = (double)(now - q->sent_at);
  q->pool->response_ms
      += (q->pool->response_ms > 0 ? 0.05 : 1) * (ms - q->pool->response_ms);
  dsp_transition (q, DSP_X_WHOLE);
  dsp_add_action (d, DSP_ACT_END, q);
  forget (d, q);
}

void
dsp_broken (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q || q->state == DSP_S_CONNECTING || q->state == DSP_S_RECONNECTING)
    return;
  dsp_health_failure (d, q->endpoint);
  dsp_run_interrupted (d, q);
  dsp_attempt_failed (d, q, DSP_INTERRUPTED);
}

/* --- arrival, cancellation, time --------------------------------------- */

static clk_ms
wait_until (const struct dsp_req *q)
{
  return q->queued_at + (clk_ms)(WAIT_PART * (double)q->route->goal_ms);
}

void
dsp_arrive (struct dsp *d, clk_ms now, const struct dsp_request *in)
{
  struct dsp_req *q;
  clk_ms again_ms;

  d->now = now;
  if (find_request (d, in->id))
    return;
  if (d->open_count == 0)
    d->last_check_at = now;
  q = add_request (d, in);
  d->stats.arrived++;
  if (d->shutting_down)
    {
      dsp_transition (q, DSP_X_REFUSE);
      answer (d, q, DSP_SHUTTING_DOWN, RETRY_LEAST_MS);
      return;
    }
  if (d->opt.poison && psn_refuses (d->opt.poison, now, q->digest, &again_ms))
    {
      dsp_transition (q, DSP_X_REFUSE);
      answer (d, q, DSP_POISON, again_ms);
      return;
    }
  dsp_budget_count_request (d, q->pool);
  dsp_limit_count_request (d, q);
  dsp_transition (q, DSP_X_WAIT);
  dsp_enqueue (d, q, false);
  dsp_send_queued (d, q->pool);
  if (q->queued
      && (dsp_limit_must_defer (d, q->pool, q)
          || now + dsp_limit_wait_ms (d, q->pool) > wait_until (q)))
    dsp_give_up (d, q, DSP_RATE_LIMITED, DSP_INTERRUPTED,
                 dsp_limit_reject (d, q->pool));
}

void
dsp_gone (struct dsp *d, clk_ms now, uint64_t id)
{
  struct dsp_req *q = find_request (d, id);

  d->now = now;
  if (!q)
    return;
  cancel_attempt (d, q);
  forget (d, q);
}

void
dsp_leave (struct dsp *d)
{
  d->shutting_down = true;
}

/** Whether an idempotent request's response is overdue and a retry is
    allowed. */
static bool
is_silent (const struct dsp *d, const struct dsp_req *q)
{
  return q->route->kind == TBL_IDEMPOTENT && q->state == DSP_S_SENT
         && q->sent_attempts < q->route->max_attempts
         && (double)(d->now - q->sent_at)
                > SILENT_FACTOR * (double)q->route->goal_ms;
}

/** Reason for which the pool has no endpoint for a request. */
static enum dsp_code
why_none (const struct dsp *d, const struct dsp_pool *p)
{
  if (!dsp_any_usable (d, p))
    return DSP_NO_SERVER;
  return dsp_limit_all (d, p) ? DSP_RATE_LIMITED : DSP_OVERLOAD;
}

static void
tick_request (struct dsp *d, struct dsp_req *q)
{
  enum dsp_code none = why_none (d, q->pool);

  if (d->now >= q->deadline)
    give_up (d, q, none, DSP_DEADLINE);
  else if (q->queued && d->now >= wait_until (q))
    give_up (d, q, none, DSP_INTERRUPTED);
  else if (is_silent (d, q))
    {
      dsp_health_failure (d, q->endpoint);
      dsp_attempt_failed (d, q, DSP_DEADLINE);
    }
}

/** Whether this tick is too late to check timeouts. The next tick checks
    them in any case; otherwise a node that is short of CPU time would never
    time out a request. */
static bool
skips (struct dsp *d, clk_ms now)
{
  d->skipped_tick = !d->skipped_tick && now - d->last_check_at > LATE_MS;
  d->last_check_at = now;
  return d->skipped_tick;
}

void
dsp_tick (struct dsp *d, clk_ms now)
{
  struct dsp_req *next;

  d->now = d->ticked_at = now;
  if (skips (d, now))
    return;
  dsp_health_tick (d);
  /* This may free q and dispatch other requests, but it frees no other
     request. */
  for (struct dsp_req *q = d->open_list; q; q = next)
    {
      next = q->next;
      tick_request (d, q);
    }
  for (size_t i = 0; i < d->npools; i++)
    dsp_send_queued (d, d->pools[i]);
}

clk_ms
dsp_wake (const struct dsp *d)
{
  /* Measured from the last tick, not from the last event: events are so
     frequent that a tick would never become due. */
  return d->open_count ? d->ticked_at + TICK_MS : CLK_NEVER;
}

/* --- construction ------------------------------------------------------ */

struct dsp *
dsp_new (const struct dsp_options *opt, uint64_t seed)
{
  struct dsp *d = xcalloc (1, sizeof *d);

  if (!table_read)
    read_table ();
  d->opt = *opt;
  d->zone = str_dup (opt->zone);
  d->opt.zone = str_from (d->zone);
  d->node_count = 1;
  rng_seed (&d->rng, seed);
  d->by_id_size = TABLE_FIRST;
  d->by_id = xcalloc (d->by_id_size, sizeof *d->by_id);
  return d;
}

void
dsp_free (struct dsp *d)
{
  if (!d)
    return;
  while (d->open_list)
    free_request (d, d->open_list);
  for (size_t i = 0; i < d->npools; i++)
    dsp_pool_free (d->pools[i]);
  for (size_t i = 0; i < d->nbudgets; i++)
    {
      free (d->budgets[i]->service);
      free (d->budgets[i]);
    }
  for (size_t i = 0; i < d->npeers; i++)
    free (d->peers[i].loads);
  free (d->pools);
  free (d->budgets);
  free (d->peers);
  free (d->by_id);
  free (d->actions);
  free (d->own_loads);
  free (d->zone);
  free (d);
}

size_t
dsp_open (const struct dsp *d)
{
  return d->open_count;
}

const struct dsp_figures *
dsp_figures (const struct dsp *d)
{
  return &d->stats;
}
