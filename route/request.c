#include <stdlib.h>

#include "route/core.h"

#define CONNECT_MS 1000     /* of a model's backend server */
#define CLAIM_WAIT_MS 5000  /* for a verdict */
#define MEASURED_MS 5000    /* how long a measured pace counts */
#define QUEUE_RETRY_MS 1000 /* when nothing better is known */
#define RETRY_LEAST_MS 100
#define RETRY_MOST_MS 10000
#define SMOOTH 0.05 /* of averages over requests */

static const char *const state_names[RT_STATES]
    = { "received",  "admitted", "queued",    "claiming", "connecting",
        "sending",   "sent",     "streaming", "retrying", "reconnecting",
        "resending", "done",     "not_run",   "failed",   "unknown" };

static const char *const step_names[RT_STEPS]
    = { "admit",         "refuse",
        "enqueue",       "claim",
        "connect",       "granted",
        "replay",        "claimed_elsewhere",
        "send",          "connect_failed",
        "head",          "refused_unrun",
        "refused_final", "retry",
        "fail",          "lose",
        "body",          "end" };

/** The chart as a table of our own numbers, read once. */
static signed char table[RT_STATES][RT_STEPS];
static bool table_read;

static void
read_table (void)
{
  const struct chart *c = chart_embedded ("attempt");
  int back[64];
  for (int i = 0; i < RT_STATES; i++)
    back[chart_state (c, state_names[i])] = i;
  for (int i = 0; i < RT_STATES; i++)
    for (int k = 0; k < RT_STEPS; k++)
      {
        int to = chart_step (c, chart_state (c, state_names[i]),
                             chart_event (c, step_names[k]));
        table[i][k] = to == CHART_REFUSED ? -1 : (signed char)back[to];
      }
  table_read = true;
}

/** A step that the chart refuses is a fault of ours; going on would give an
    outcome that nobody can trust. */
static void
step (struct rt_req *q, enum rt_step x)
{
  int to = table[q->state][x];
  if (to < 0)
    abort ();
  q->state = (enum rt_state)to;
}

static bool
in_attempt (const struct rt_req *q)
{
  return q->server != NULL;
}

static void
settle_pending (struct rt_req *q)
{
  if (q->pending)
    {
      q->server->pending--;
      rt_server_changed (q->server);
    }
  q->pending = false;
}

/** The attempt is over; its server no longer carries it. */
static void
leave_server (struct rt *r, struct rt_req *q)
{
  if (!q->server)
    return;
  settle_pending (q);
  rt_server_drop (r, q->target, q->server, q->cost);
  if (q->probe)
    q->server->probing = false;
  q->probe = false;
  q->server = NULL;
}

static void
forget (struct rt *r, struct rt_req *q)
{
  struct rt_target *t = q->target;
  rt_act (r, RT_ACT_FORGET, q);
  rt_req_free (r, q);
  if (t)
    rt_pump (r, t);
}

static enum rt_outcome
outcome_of (const struct rt_req *q)
{
  switch (q->state)
    {
    case RT_S_DONE:
      return RT_DONE;
    case RT_S_NOT_RUN:
      return RT_NOT_RUN;
    case RT_S_FAILED:
      return RT_FAILED;
    default:
      return RT_UNKNOWN;
    }
}

/**
 * What becomes of the claim of a request that is given up.  Not sent: it is
 * released, also while the verdict is awaited, as it may be granted after we
 * stopped caring and would block the caller's next try.  Sent: nobody will
 * ever know the end; without word of that the home would tell repeats for
 * minutes that the request still runs, and the caller would wait for nothing.
 */
static void
give_back_claim (struct rt *r, struct rt_req *q)
{
  if (q->claimed)
    rt_act (r, q->sent ? RT_ACT_FINISH : RT_ACT_RELEASE, q);
  q->claimed = false;
}

/** Give up what is under way: queue place, attempt, claim. */
static void
abandon (struct rt *r, struct rt_req *q)
{
  if (q->waiting)
    rt_queue_remove (&q->target->queue, q);
  if (in_attempt (q) && q->state >= RT_S_CONNECTING)
    rt_act (r, RT_ACT_CANCEL, q);
  leave_server (r, q);
  give_back_claim (r, q);
}

/** The final answer of our own, at once. */
static void
answer (struct rt *r, struct rt_req *q, enum rt_code code, clk_ms retry_ms)
{
  if (q->passing)
    {
      struct rt_action *a = rt_act (r, RT_ACT_CUT, q);
      a->code = code;
      a->outcome = outcome_of (q);
    }
  else
    {
      struct rt_action *a = rt_act (r, RT_ACT_ANSWER, q);
      a->code = code;
      a->http_status = rt_code_status (code);
      a->outcome = outcome_of (q);
      a->retry_ms = retry_ms;
    }
  forget (r, q);
}

/** End a request that no backend server ran. */
static void
refuse (struct rt *r, struct rt_req *q, enum rt_code code, clk_ms retry_ms)
{
  abandon (r, q);
  if (q->charged)
    rt_limit_settle (q->account, q->cost, 0);
  step (q, RT_X_REFUSE);
  answer (r, q, code, retry_ms);
}

/**
 * End a request that may have run.  An idempotent one `failed`: it may be
 * repeated whatever became of it.  Otherwise the caller must know that
 * nobody can tell.
 */
static void
give_up (struct rt *r, struct rt_req *q, enum rt_code code)
{
  abandon (r, q);
  step (q, q->idempotent ? RT_X_FAIL : RT_X_LOSE);
  answer (r, q, code, q->idempotent ? QUEUE_RETRY_MS : 0);
}

static bool
may_have_run (const struct rt_req *q)
{
  return q->state >= RT_S_SENDING && q->state <= RT_S_RESENDING;
}

static void
end_with (struct rt *r, struct rt_req *q, enum rt_code code, clk_ms retry_ms)
{
  if (may_have_run (q))
    give_up (r, q, code);
  else
    refuse (r, q, code, retry_ms);
}

static clk_ms
clamp_retry (double ms)
{
  if (ms < RETRY_LEAST_MS)
    return RETRY_LEAST_MS;
  return ms > RETRY_MOST_MS ? RETRY_MOST_MS : (clk_ms)ms;
}

static const struct cfg_account *
account_config (const struct rt_req *q)
{
  return cfg_account (q->cfg, str_from (q->account->name));
}

static double
weight_of (const struct rt_req *q)
{
  const struct cfg_account *a = account_config (q);
  return a && a->weight > 0 ? a->weight : 1;
}

/** How long the queue will take when requests end at the pace of those that
    ended lately; 0: not known. */
static double
queue_wait_ms (const struct rt_req *q)
{
  const struct rt_target *t = q->target;
  if (t->queue.n == 0 || t->in_flight == 0)
    return 0;
  double ahead = rt_queue_ahead (&t->queue, q->priority, q->account,
                                 weight_of (q), q->cost);
  return ahead * t->ms_per_token / t->in_flight;
}

static bool
any_usable (const struct rt *r, const struct rt_target *t)
{
  for (size_t i = 0; i < t->nservers; i++)
    if (rt_usable (r, t->servers[i]))
      return true;
  return false;
}

/** The longest wait in the queue ends at @p at. */
static clk_ms
queue_until (const struct rt_req *q)
{
  clk_ms at = q->queued_at + q->cfg->limits.queue_ms;
  if (q->deadline && q->deadline < at)
    at = q->deadline;
  return at;
}

static void
enqueue (struct rt *r, struct rt_req *q, bool front)
{
  q->queued_at = r->now;
  rt_queue_push (&q->target->queue, q, weight_of (q), front);
  rt_timer (r, q, queue_until (q));
}

/**
 * Room for @p q in a full queue: the least important waiting request goes,
 * unless the arriving one is no better.  Refusing at the queue costs nothing
 * that a backend server has done.
 */
static bool
make_room (struct rt *r, struct rt_req *q, clk_ms retry_ms)
{
  struct rt_queue *w = &q->target->queue;
  if (w->n < q->cfg->limits.max_queue)
    return true;
  struct rt_req *victim = rt_queue_victim (w);
  if (!victim)
    return false;
  bool better = victim->priority > q->priority;
  bool fairer = victim->priority == q->priority
                && victim->account != q->account
                && victim->flow->tokens / victim->flow->weight
                       > 2 * (q->cost / weight_of (q));
  /* What may have run has cost work already and goes on. */
  if ((!better && !fairer) || may_have_run (victim))
    return false;
  refuse (r, victim, RT_CODE_QUEUE_FULL, retry_ms);
  return true;
}

/** Why the request can't come in, or RT_CODE_NONE. */
static enum rt_code
check_target (struct rt *r, struct rt_req *q, const struct rt_request *in)
{
  if (!q->cfg)
    return RT_CODE_NO_REPLICA;
  if (in->is_model)
    q->model = cfg_model (q->cfg, in->target);
  else
    q->service = cfg_service (q->cfg, in->target);
  if (!q->model && !q->service)
    return RT_CODE_NO_TARGET;
  const struct cfg_account *a = cfg_account (q->cfg, in->account);
  if (!a || !cfg_account_may (a, in->target))
    return RT_CODE_FORBIDDEN;
  if ((q->model ? q->model->mode : q->service->mode) == CFG_OBSERVE)
    return RT_CODE_NOT_ROUTED;
  if (a->priority > q->priority)
    q->priority
        = (uint8_t)(a->priority < RT_CLASSES ? a->priority : RT_CLASSES - 1);
  return r->leaving ? RT_CODE_LEAVING : RT_CODE_NONE;
}

/** Whether it would end after its deadline, by what was measured lately.  An
    old measurement does not count: refusing all by it, nothing would ever be
    measured again. */
static bool
too_late (const struct rt *r, const struct rt_req *q, double wait_ms)
{
  const struct rt_target *t = q->target;
  if (!q->deadline)
    return false;
  if (q->deadline <= r->now)
    return true;
  if (r->now - t->measured_at > MEASURED_MS)
    return false;
  double end = (double)r->now + wait_ms + t->ms_per_token * q->cost;
  return end > (double)q->deadline;
}

static enum rt_code
check_load (struct rt *r, struct rt_req *q, clk_ms *retry_ms)
{
  double wait = queue_wait_ms (q);
  *retry_ms = clamp_retry (wait);
  if (too_late (r, q, wait))
    return RT_CODE_DEADLINE;
  if (!any_usable (r, q->target))
    {
      *retry_ms = QUEUE_RETRY_MS;
      return RT_CODE_NO_REPLICA;
    }
  enum rt_code code = rt_limit_admit (r, q->account, q->cost, retry_ms);
  if (code != RT_CODE_NONE)
    return code;
  q->charged = true;
  *retry_ms = clamp_retry (wait);
  return make_room (r, q, *retry_ms) ? RT_CODE_NONE : RT_CODE_QUEUE_FULL;
}

static struct rt_req *
new_request (struct rt *r, const struct rt_request *in)
{
  struct rt_req *q = xcalloc (1, sizeof *q);
  q->id = in->id;
  q->cfg = r->cfg ? cfg_ref (r->cfg) : NULL;
  q->cost = in->cost > 1 ? in->cost : 1;
  q->prefix = in->prefix;
  q->arrived = r->now;
  q->deadline = in->deadline;
  q->timer_at = SIZE_MAX;
  q->priority
      = (uint8_t)(in->priority < RT_CLASSES ? in->priority : RT_CLASSES - 1);
  q->idempotent = in->idempotent;
  q->has_key = in->has_key;
  q->state = RT_S_RECEIVED;
  size_t at = in->id & (r->table_size - 1);
  q->chain = r->table[at];
  r->table[at] = q;
  r->open++;
  return q;
}

void
rt_arrive (struct rt *r, const struct rt_request *in)
{
  if (!table_read)
    read_table ();
  struct rt_req *q = new_request (r, in);
  clk_ms retry_ms = 0;
  enum rt_code code = check_target (r, q, in);
  if (code != RT_CODE_NONE)
    {
      refuse (r, q, code, rt_code_status (code) == 503 ? QUEUE_RETRY_MS : 0);
      return;
    }
  q->target = rt_target (r, in->target, in->is_model);
  struct rt_account *a = rt_account (r, in->account);
  q->account = a;
  a->open++;
  code = check_load (r, q, &retry_ms);
  if (code != RT_CODE_NONE)
    {
      refuse (r, q, code, retry_ms);
      return;
    }
  struct rt_target *t = q->target;
  t->mean_cost += (t->mean_cost > 0 ? SMOOTH : 1) * (q->cost - t->mean_cost);
  step (q, RT_X_ADMIT);
  step (q, RT_X_ENQUEUE);
  enqueue (r, q, false);
  rt_pump (r, t);
}

static void
start_connect (struct rt *r, struct rt_req *q)
{
  q->attempt++;
  struct rt_action *a = rt_act (r, RT_ACT_CONNECT, q);
  a->addr = q->server->addr;
  a->name = str_from (q->server->name);
  /* An idle connection may have gone silent unseen; what can't be sent twice
     must not be the one to find out. */
  a->fresh = !q->idempotent;
  a->resume = q->passing;
  a->offset = q->passed;
  a->connect_ms = q->model ? CONNECT_MS : q->service->connect_ms;
  a->first_byte_ms
      = q->model ? q->model->first_byte_ms : q->service->first_byte_ms;
  a->progress_ms = q->model ? q->model->progress_ms : q->service->progress_ms;
  if (q->deadline)
    rt_timer (r, q, q->deadline);
  else
    rt_untimer (r, q);
}

static void
start_claim (struct rt *r, struct rt_req *q)
{
  step (q, RT_X_CLAIM);
  q->claimed = true;
  rt_act (r, RT_ACT_CLAIM, q);
  clk_ms at = r->now + CLAIM_WAIT_MS;
  rt_timer (r, q, q->deadline && q->deadline < at ? q->deadline : at);
}

static bool
grant_fresh (const struct rt *r, const struct rt_req *q)
{
  return q->granted != 0 && r->now - q->granted < CLM_GRANT_MS;
}

static void
dispatch (struct rt *r, struct rt_req *q, struct rt_server *s)
{
  q->server = s;
  rt_server_take (r, q->target, s, q->cost);
  if (s->ejected_until && rt_outlier_probe_due (r, s))
    s->probing = q->probe = true;
  if (q->has_key && !q->sent && !grant_fresh (r, q))
    {
      start_claim (r, q);
      return;
    }
  step (q, RT_X_CONNECT);
  start_connect (r, q);
}

void
rt_pump (struct rt *r, struct rt_target *t)
{
  struct rt_req *q;
  while ((q = rt_queue_turn (&t->queue, r->now)) != NULL)
    {
      struct rt_server *s = r->choose (r->choose_ctx, r, t, q);
      if (!s)
        return;
      rt_queue_take (&t->queue, q);
      dispatch (r, q, s);
    }
}

void
rt_claimed (struct rt *r, struct rt_req *q, enum clm_verdict verdict,
            clk_ms retry_ms)
{
  if (q->state != RT_S_CLAIMING)
    return;
  switch (verdict)
    {
    case CLM_GRANTED:
      q->granted = r->now;
      step (q, RT_X_GRANTED);
      start_connect (r, q);
      return;
    case CLM_ANSWERED:
      q->claimed = false;
      abandon (r, q);
      step (q, RT_X_REPLAY);
      rt_act (r, RT_ACT_REPLAY, q);
      forget (r, q);
      return;
    case CLM_RUNNING:
    case CLM_UNKNOWN:
      /* This request was not sent, but the caller asks about its key, and
         under that key something runs or ran. */
      q->claimed = false;
      abandon (r, q);
      step (q, RT_X_CLAIMED_ELSEWHERE);
      answer (r, q,
              verdict == CLM_RUNNING ? RT_CODE_CLAIM_RUNNING
                                     : RT_CODE_CLAIM_UNKNOWN,
              verdict == CLM_RUNNING ? clamp_retry ((double)retry_ms) : 0);
      return;
    case CLM_MISMATCH:
      q->claimed = false;
      refuse (r, q, RT_CODE_CLAIM_MISMATCH, 0);
      return;
    default:
      refuse (r, q, RT_CODE_STORE, clamp_retry ((double)retry_ms));
    }
}

static void
avoid (struct rt_req *q)
{
  q->tried[q->ntried % RT_TRIED] = q->server->hash;
  if (q->ntried < RT_TRIED)
    q->ntried++;
}

/** Back to the head of the queue for another server. */
static void
again (struct rt *r, struct rt_req *q, clk_ms after)
{
  struct rt_target *t = q->target;
  leave_server (r, q);
  if (after > 0)
    {
      rt_timer (r, q, r->now + after);
      rt_pump (r, t);
      return;
    }
  enqueue (r, q, true);
  rt_pump (r, t);
}

static bool
other_server (const struct rt *r, const struct rt_req *q)
{
  for (size_t i = 0; i < q->target->nservers; i++)
    if (rt_usable (r, q->target->servers[i])
        && !rt_tried (q, q->target->servers[i]))
      return true;
  return false;
}

static bool
may_retry (struct rt *r, struct rt_req *q)
{
  return q->attempt < RT_MAX_ATTEMPTS && other_server (r, q)
         && rt_retry_spend (r, q->target);
}

static void
on_connect_failed (struct rt *r, struct rt_req *q)
{
  rt_outlier_bad (r, q->target, q->server);
  avoid (q);
  /* Nothing was sent, so even a non-idempotent request may go elsewhere. */
  bool more = may_retry (r, q);
  bool ran = q->state == RT_S_RECONNECTING;
  step (q, RT_X_CONNECT_FAILED);
  leave_server (r, q);
  if (more)
    again (r, q, 0);
  else if (ran)
    give_up (r, q, RT_CODE_CONNECT);
  else
    refuse (r, q, RT_CODE_CONNECT, QUEUE_RETRY_MS);
}

static void
on_connected (struct rt *r, struct rt_req *q)
{
  if (q->has_key && !q->sent && !grant_fresh (r, q))
    {
      /* The connection took so long that the claim may have lapsed and been
         given to a repeat; sending now could run it twice. */
      rt_act (r, RT_ACT_CANCEL, q);
      start_claim (r, q);
      return;
    }
  step (q, RT_X_SEND);
  q->sent = true;
  q->started = r->now;
  q->pending = true;
  q->server->pending++;
  rt_server_changed (q->server);
  rt_act (r, RT_ACT_SEND, q);
}

/** A refusal that says the request was not run. */
static void
on_refused (struct rt *r, struct rt_req *q)
{
  rt_act (r, RT_ACT_CANCEL, q);
  avoid (q);
  bool first = q->state == RT_S_SENDING;
  if (first)
    q->sent = false; /* so that a claim is released: it surely did not run */
  bool more = q->idempotent && may_retry (r, q);
  clk_ms after = rt_retry_backoff (r, q->attempt);
  leave_server (r, q);
  if (more)
    {
      step (q, first ? RT_X_REFUSED_UNRUN : RT_X_RETRY);
      again (r, q, after);
      return;
    }
  if (!first)
    {
      give_up (r, q, RT_CODE_BACKEND_REFUSED);
      return;
    }
  abandon (r, q);
  step (q, RT_X_REFUSED_FINAL);
  answer (r, q, RT_CODE_BACKEND_REFUSED, QUEUE_RETRY_MS);
}

static bool
refused_status (const struct rt_req *q, int status)
{
  const int *list
      = q->model ? q->model->not_run_status : q->service->not_run_status;
  size_t n = q->model ? q->model->nnot_run : q->service->nnot_run;
  for (size_t i = 0; i < n; i++)
    if (list[i] == status)
      return true;
  return false;
}

/** The attempt ended without a whole answer: broken or silent. */
static void
on_lost (struct rt *r, struct rt_req *q, enum rt_code code)
{
  rt_act (r, RT_ACT_CANCEL, q);
  rt_outlier_bad (r, q->target, q->server);
  avoid (q);
  bool can = q->passing ? q->idempotent && q->model && q->model->can_resume
                        : q->idempotent;
  bool more = can && may_retry (r, q);
  clk_ms after = rt_retry_backoff (r, q->attempt);
  leave_server (r, q);
  if (!more)
    {
      give_up (r, q, code);
      return;
    }
  step (q, RT_X_RETRY);
  again (r, q, after);
}

static void
on_head (struct rt *r, struct rt_req *q, int status)
{
  if (q->state != RT_S_SENDING && q->state != RT_S_RESENDING)
    return;
  q->status = status;
  if (refused_status (q, status))
    {
      on_refused (r, q);
      return;
    }
  /* An error in place of the rest of a stream must not be passed as text. */
  if (q->passing && status >= 300)
    {
      on_lost (r, q, RT_CODE_BROKEN);
      return;
    }
  step (q, RT_X_HEAD);
}

static void
first_bytes (struct rt *r, struct rt_req *q)
{
  step (q, RT_X_BODY);
  q->passing = true;
  rt_act (r, RT_ACT_PASS, q);
  settle_pending (q);
  rt_outlier_first (r, q->target, q->server, r->now - q->started);
  q->probe = false;
}

static void
on_body (struct rt *r, struct rt_req *q, size_t size)
{
  if (q->state == RT_S_SENT)
    first_bytes (r, q);
  if (q->state == RT_S_STREAMING)
    q->passed += size;
}

static void
on_whole (struct rt *r, struct rt_req *q, double tokens)
{
  if (q->state == RT_S_SENT)
    first_bytes (r, q);
  if (q->state != RT_S_STREAMING)
    return;
  struct rt_target *t = q->target;
  rt_outlier_good (r, t, q->server);
  rt_retry_earn (t);
  if (tokens > 0)
    rt_limit_settle (q->account, q->cost, tokens);
  double ms = (double)(r->now - q->started) / q->cost;
  t->ms_per_token
      += (t->ms_per_token > 0 ? SMOOTH : 1) * (ms - t->ms_per_token);
  t->measured_at = r->now;
  leave_server (r, q);
  step (q, RT_X_END);
  if (q->claimed)
    rt_act (r, RT_ACT_FINISH, q)->http_status = q->status;
  rt_act (r, RT_ACT_END, q)->outcome = rt_status_outcome (q->status);
  forget (r, q);
}

void
rt_attempt_event (struct rt *r, struct rt_req *q, const struct rt_event *ev)
{
  /* Events of an attempt that is over come late; what they carry belongs to
     nobody any more. */
  if (!in_attempt (q) || ev->attempt != q->attempt
      || q->state < RT_S_CONNECTING)
    return;
  bool connecting
      = q->state == RT_S_CONNECTING || q->state == RT_S_RECONNECTING;
  if (ev->kind == RT_EV_CONNECTED && connecting)
    on_connected (r, q);
  else if (ev->kind == RT_EV_CONNECT_FAILED && connecting)
    on_connect_failed (r, q);
  else if (connecting)
    return;
  else if (ev->kind == RT_EV_HEAD)
    on_head (r, q, ev->status);
  else if (ev->kind == RT_EV_BODY)
    on_body (r, q, ev->size);
  else if (ev->kind == RT_EV_WHOLE)
    on_whole (r, q, ev->tokens);
  else if (ev->kind == RT_EV_BROKEN)
    on_lost (r, q, RT_CODE_BROKEN);
  else if (ev->kind == RT_EV_SILENT)
    on_lost (r, q, RT_CODE_SILENT);
}

void
rt_caller_gone (struct rt *r, struct rt_req *q)
{
  /*
   * Who gave a key and lost the connection will ask again with it.  Cut off
   * now, the run could be neither repeated nor answered, and the caller would
   * hear for as long as the key is remembered that its end is not known; left
   * to end, its answer is kept and the repeat gets it.
   */
  if (q->claimed && q->sent)
    return;
  abandon (r, q);
  forget (r, q);
}

void
rt_req_timer (struct rt *r, struct rt_req *q)
{
  if (q->deadline && r->now >= q->deadline)
    end_with (r, q, RT_CODE_DEADLINE, QUEUE_RETRY_MS);
  else if (q->waiting && r->now >= queue_until (q))
    end_with (r, q,
              any_usable (r, q->target) ? RT_CODE_QUEUE_FULL
                                        : RT_CODE_NO_REPLICA,
              QUEUE_RETRY_MS);
  else if (q->state == RT_S_CLAIMING)
    refuse (r, q, RT_CODE_STORE, QUEUE_RETRY_MS);
  else if (!q->waiting && !in_attempt (q))
    {
      struct rt_target *t = q->target;
      enqueue (r, q, true);
      rt_pump (r, t);
    }
}
