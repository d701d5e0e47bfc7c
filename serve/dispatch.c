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

static const char *const step_names[DSP_STEPS]
    = { "wait",  "refuse", "connect", "sent", "unrun",
        "retry", "pass",   "whole",   "fail" };

/** Transitions of the chart, indexed by the enums; loaded once. */
static signed char table[DSP_STATES][DSP_STEPS];
static bool table_read;

static void
read_table (void)
{
  const struct chart *c = chart_embedded ("forward");
  int ours[DSP_STATES + 1];

  for (int i = 0; i < DSP_STATES; i++)
    ours[chart_state (c, state_names[i])] = i;
  for (int i = 0; i < DSP_STATES; i++)
    for (int k = 0; k < DSP_STEPS; k++)
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
dsp_step (struct dsp_req *q, enum dsp_step x)
{
  int to = table[q->state][x];

  if (to < 0)
    abort ();
  q->state = (enum dsp_state)to;
}

/* --- actions ----------------------------------------------------------- */

struct dsp_action *
dsp_act (struct dsp *d, enum dsp_action_kind kind, const struct dsp_req *q)
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
  struct dsp_req *q = d->table[id & (d->table_size - 1)];

  while (q && q->id != id)
    q = q->chain;
  return q;
}

struct dsp_req *
dsp_find_attempt (const struct dsp *d, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = find_request (d, id);

  return q && q->server && q->attempt == attempt ? q : NULL;
}

static void
table_grow (struct dsp *d)
{
  size_t size = 2 * d->table_size;
  struct dsp_req **grown = xcalloc (size, sizeof *grown);

  for (struct dsp_req *q = d->open_list; q; q = q->next)
    {
      q->chain = grown[q->id & (size - 1)];
      grown[q->id & (size - 1)] = q;
    }
  free (d->table);
  d->table = grown;
  d->table_size = size;
}

static struct dsp_req *
add_request (struct dsp *d, const struct dsp_request *in)
{
  struct dsp_req *q = xcalloc (1, sizeof *q);
  const struct tbl_route *r = in->route;

  if (d->open >= d->table_size)
    table_grow (d);
  q->id = in->id;
  q->table = tbl_ref (in->table);
  q->route = r;
  q->priority = in->priority;
  q->arrived = d->now;
  q->goal = d->now - in->waited + r->goal_ms;
  q->deadline = in->deadline;
  q->prompt = in->prompt > 0 ? in->prompt : PROMPT_UNKNOWN;
  q->digest = in->digest;
  q->repeatable = tbl_repeatable (r);
  q->state = DSP_S_RECEIVED;
  q->pool = dsp_pool_of (d, in->service->name, in->model);
  q->chain = d->table[q->id & (d->table_size - 1)];
  d->table[q->id & (d->table_size - 1)] = q;
  q->next = d->open_list;
  if (q->next)
    q->next->prev = q;
  d->open_list = q;
  d->open++;
  return q;
}

static void
free_request (struct dsp *d, struct dsp_req *q)
{
  struct dsp_req **at = &d->table[q->id & (d->table_size - 1)];

  while (*at != q)
    at = &(*at)->chain;
  *at = q->chain;
  if (q->prev)
    q->prev->next = q->next;
  else
    d->open_list = q->next;
  if (q->next)
    q->next->prev = q->prev;
  tbl_unref (q->table);
  free (q);
  d->open--;
}

/* --- end of an attempt ------------------------------------------------- */

static void
settle_unbegun (struct dsp_req *q)
{
  dsp_prompt_read (q);
  q->unbegun = false;
}

static void
leave_server (struct dsp_req *q)
{
  if (!q->server)
    return;
  settle_unbegun (q);
  q->server->begun -= q->begun;
  q->begun = false;
  q->server->own--;
  if (q->probe)
    q->server->probing = false;
  q->probe = false;
  q->server = NULL;
}

static void
avoid (struct dsp_req *q)
{
  q->tried[q->ntried % DSP_TRIED] = q->server->hash;
  if (q->ntried < DSP_TRIED)
    q->ntried++;
}

static void
forget (struct dsp *d, struct dsp_req *q)
{
  struct dsp_pool *p = q->pool;

  dsp_dequeue (q);
  leave_server (q);
  dsp_act (d, DSP_ACT_FORGET, q);
  free_request (d, q);
  d->figures.ended++;
  dsp_pump (d, p);
}

/** Estimated time until an endpoint has room for one more request: the
    queue, divided by the rate at which the pool completes requests. */
static clk_ms
retry_after (const struct dsp *d, const struct dsp_pool *p)
{
  double places = 1, ms;

  for (size_t i = 0; i < p->n; i++)
    if (p->servers[i]->listed)
      places += dsp_limit_slots (d, p->servers[i]);
  ms = p->run_ms * (double)(p->waiting * d->nodes) / places;
  if (ms < (double)RETRY_LEAST_MS)
    return RETRY_LEAST_MS;
  return ms > (double)RETRY_MOST_MS ? RETRY_MOST_MS : (clk_ms)ms;
}

/** Ends the request with an error response generated by this node. */
static void
answer (struct dsp *d, struct dsp_req *q, enum dsp_code code, clk_ms retry_ms)
{
  struct dsp_action *a
      = dsp_act (d, q->passing ? DSP_ACT_CUT : DSP_ACT_ANSWER, q);

  a->code = code;
  a->retry_ms = retry_ms;
  d->figures.answered[code]++;
  forget (d, q);
}

static void
cancel_attempt (struct dsp *d, struct dsp_req *q)
{
  if (q->server)
    dsp_act (d, DSP_ACT_CANCEL, q);
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
      dsp_step (q, DSP_X_FAIL);
      answer (d, q, ran, 0);
      return;
    }
  dsp_step (q, DSP_X_REFUSE);
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
  dsp_pump (d, p);
}

static bool
may_send_again (struct dsp *d, const struct dsp_req *q)
{
  return q->sends < q->route->max_attempts && d->now < q->deadline
         && dsp_budget_repeat (d, q->pool);
}

void
dsp_attempt_lost (struct dsp *d, struct dsp_req *q, enum dsp_code code)
{
  bool more = q->repeatable && !dsp_suspects (d, q) && may_send_again (d, q);

  avoid (q);
  cancel_attempt (d, q);
  if (!more)
    {
      give_up (d, q, code, code);
      return;
    }
  d->figures.resumed += q->passing;
  dsp_step (q, DSP_X_RETRY);
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
  dsp_step (q, DSP_X_SENT);
  q->sends++;
  q->sent_at = q->heard = now;
  q->unbegun = true;
  d->figures.sent++;
  d->figures.repeated += q->sends > 1;
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
  dsp_health_bad (d, q->server);
  avoid (q);
  leave_server (q);
  dsp_step (q, DSP_X_UNRUN);
  if (++q->connects_failed >= CONNECTS_MOST)
    give_up (d, q, DSP_CONNECT, DSP_BROKEN);
  else
    again (d, q);
}

/** The backend server reports that it did not execute the request. */
static void
on_unrun (struct dsp *d, struct dsp_req *q)
{
  struct dsp_server *s = q->server;
  bool more = may_send_again (d, q);

  s->full_until = d->now + TICK_MS;
  avoid (q);
  cancel_attempt (d, q);
  dsp_step (q, DSP_X_UNRUN);
  if (more)
    again (d, q);
  else
    give_up (d, q, DSP_UNRUN, DSP_BROKEN);
}

void
dsp_head (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
          enum dsp_head head)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q || (q->state != DSP_S_SENT && q->state != DSP_S_RESENT))
    return;
  q->heard = q->server->heard = now;
  switch (head)
    {
    case DSP_HEAD_GOOD:
      break;
    case DSP_HEAD_UNRUN:
      on_unrun (d, q);
      break;
    case DSP_HEAD_ERROR:
      q->error = true;
      dsp_health_bad (d, q->server);
      /* An error response to a resumed stream can't be appended to what the
         client already has. */
      if (q->passing || (q->repeatable && q->sends < q->route->max_attempts))
        dsp_attempt_lost (d, q, DSP_BROKEN);
      break;
    case DSP_HEAD_FINAL:
      if (q->passing)
        dsp_attempt_lost (d, q, DSP_BROKEN);
      break;
    }
}

static void
begin (struct dsp *d, struct dsp_req *q)
{
  settle_unbegun (q);
  q->begun = true;
  q->begun_at = d->now;
  q->server->begun++;
  dsp_health_begun (d, q->server, d->now - q->sent_at);
  if (q->state == DSP_S_PASSING)
    return;
  dsp_step (q, DSP_X_PASS);
  q->passing = true;
  dsp_act (d, DSP_ACT_PASS, q);
}

void
dsp_heard (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
           bool event)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q)
    return;
  q->heard = q->server->heard = now;
  q->server->stalled = false;
  if (event && !q->begun)
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
  if (!q->begun)
    {
      settle_unbegun (q);
      dsp_health_begun (d, q->server, now - q->sent_at);
    }
  dsp_health_good (d, q->server);
  /* An error response doesn't prove that execution had begun. */
  if (d->opt.poison && !q->error)
    psn_completed (d->opt.poison, now, q->digest);
  ms = (double)(now - q->sent_at);
  q->pool->run_ms += (q->pool->run_ms > 0 ? 0.05 : 1) * (ms - q->pool->run_ms);
  dsp_step (q, DSP_X_WHOLE);
  dsp_act (d, DSP_ACT_END, q);
  forget (d, q);
}

void
dsp_broken (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  d->now = now;
  if (!q || q->state == DSP_S_CONNECTING || q->state == DSP_S_RECONNECTING)
    return;
  dsp_health_bad (d, q->server);
  dsp_run_broken (d, q);
  dsp_attempt_lost (d, q, DSP_BROKEN);
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
  if (d->open == 0)
    d->judged_at = now;
  q = add_request (d, in);
  d->figures.arrived++;
  if (d->leaving)
    {
      dsp_step (q, DSP_X_REFUSE);
      answer (d, q, DSP_LEAVING, RETRY_LEAST_MS);
      return;
    }
  if (d->opt.poison && psn_refuses (d->opt.poison, now, q->digest, &again_ms))
    {
      dsp_step (q, DSP_X_REFUSE);
      answer (d, q, DSP_POISON, again_ms);
      return;
    }
  dsp_budget_request (d, q->pool);
  dsp_limit_asked (d, q);
  dsp_step (q, DSP_X_WAIT);
  dsp_enqueue (d, q, false);
  dsp_pump (d, q->pool);
  if (q->queued
      && (dsp_limit_yields (d, q->pool, q)
          || now + dsp_limit_wait (d, q->pool) > wait_until (q)))
    dsp_give_up (d, q, DSP_LIMITED, DSP_BROKEN, dsp_limit_refuse (d, q->pool));
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
  d->leaving = true;
}

/** Whether an idempotent request's response is overdue and a retry is
    allowed. */
static bool
is_silent (const struct dsp *d, const struct dsp_req *q)
{
  return q->route->kind == TBL_IDEMPOTENT && q->state == DSP_S_SENT
         && q->sends < q->route->max_attempts
         && (double)(d->now - q->sent_at)
                > SILENT_FACTOR * (double)q->route->goal_ms;
}

/** Reason for which the pool has no endpoint for a request. */
static enum dsp_code
why_none (const struct dsp *d, const struct dsp_pool *p)
{
  if (!dsp_any_place (d, p))
    return DSP_NO_SERVER;
  return dsp_limit_all (d, p) ? DSP_LIMITED : DSP_OVERLOAD;
}

static void
tick_request (struct dsp *d, struct dsp_req *q)
{
  enum dsp_code none = why_none (d, q->pool);

  if (d->now >= q->deadline)
    give_up (d, q, none, DSP_DEADLINE);
  else if (q->queued && d->now >= wait_until (q))
    give_up (d, q, none, DSP_BROKEN);
  else if (is_silent (d, q))
    {
      dsp_health_bad (d, q->server);
      dsp_attempt_lost (d, q, DSP_DEADLINE);
    }
}

/** Whether this tick is too late to check timeouts. The next tick checks
    them in any case; otherwise a node that is short of CPU time would never
    time out a request. */
static bool
skips (struct dsp *d, clk_ms now)
{
  d->skipped = !d->skipped && now - d->judged_at > LATE_MS;
  d->judged_at = now;
  return d->skipped;
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
    dsp_pump (d, d->pools[i]);
}

clk_ms
dsp_wake (const struct dsp *d)
{
  /* Measured from the last tick, not from the last event: events are so
     frequent that a tick would never become due. */
  return d->open ? d->ticked_at + TICK_MS : CLK_NEVER;
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
  d->nodes = 1;
  rng_seed (&d->rng, seed);
  d->table_size = TABLE_FIRST;
  d->table = xcalloc (d->table_size, sizeof *d->table);
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
    free (d->peers[i].counts);
  free (d->pools);
  free (d->budgets);
  free (d->peers);
  free (d->table);
  free (d->actions);
  free (d->own);
  free (d->zone);
  free (d);
}

size_t
dsp_open (const struct dsp *d)
{
  return d->open;
}

const struct dsp_figures *
dsp_figures (const struct dsp *d)
{
  return &d->figures;
}
