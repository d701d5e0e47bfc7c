#include "route/core.h"

#define MEASUREMENT_VALID_MS 5000 /* age limit of rt_target.ms_per_token */
#define RETRY_MIN_MS 100
#define RETRY_MAX_MS 10000
/* Weight of the newest sample in moving averages. */
#define AVERAGE_WEIGHT 0.05

clk_ms
rt_clamp_retry (double ms)
{
  if (ms < RETRY_MIN_MS)
    return RETRY_MIN_MS;
  return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (clk_ms)ms;
}

static const struct cfg_account *
account_config (const struct rt_req *q)
{
  return cfg_account (q->cfg, str_from (q->account->name));
}

static double
account_weight (const struct rt_req *q)
{
  const struct cfg_account *a = account_config (q);
  return a && a->weight > 0 ? a->weight : 1;
}

/** Expected wait in the queue at the recent processing rate; 0: not known. */
static double
queue_wait_ms (const struct rt_req *q)
{
  const struct rt_target *t = q->target;
  if (t->queue.n == 0 || t->in_flight == 0)
    return 0;
  double ahead = rt_queue_tokens_ahead (&t->queue, q->priority, q->account,
                                        account_weight (q), q->cost);
  return ahead * t->ms_per_token / t->in_flight;
}

bool
rt_has_usable_server (const struct rt *r, const struct rt_target *t)
{
  for (size_t i = 0; i < t->nservers; i++)
    if (rt_is_usable (r, t->servers[i]))
      return true;
  return false;
}

/** Latest time until which @p q may wait in the queue. */
clk_ms
rt_queue_deadline (const struct rt_req *q)
{
  clk_ms at = q->queued_at + q->cfg->limits.queue_ms;
  if (q->deadline && q->deadline < at)
    at = q->deadline;
  return at;
}

void
rt_enqueue (struct rt *r, struct rt_req *q, bool front)
{
  q->queued_at = r->now;
  rt_queue_push (&q->target->queue, q, account_weight (q), front);
  rt_set_timer (r, q, rt_queue_deadline (q));
}

/** Make room for @p q in a full queue by dropping the least important waiting
    request, if @p q is preferable.
 */
static bool
make_room (struct rt *r, struct rt_req *q, clk_ms retry_ms)
{
  struct rt_queue *queue = &q->target->queue;
  if (queue->n < q->cfg->limits.max_queue)
    return true;
  struct rt_req *victim = rt_queue_victim (queue);
  if (!victim)
    return false;
  bool better = victim->priority > q->priority;
  bool fairer = victim->priority == q->priority
                && victim->account != q->account
                && victim->flow->tokens / victim->flow->weight
                       > 2 * (q->cost / account_weight (q));
  /* A request that may have run has used server time already. */
  if ((!better && !fairer) || rt_may_have_run (victim))
    return false;
  rt_refuse (r, victim, RT_CODE_QUEUE_FULL, retry_ms);
  return true;
}

/** Check name, permission and mode of the target; RT_CODE_NONE if admitted. */
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

/** Whether the request would miss its deadline, estimated from recent
    measurements. Older measurements are ignored: if they caused every
    request to be refused, no new measurement would ever be made. */
static bool
misses_deadline (const struct rt *r, const struct rt_req *q, double wait_ms)
{
  const struct rt_target *t = q->target;
  if (!q->deadline)
    return false;
  if (q->deadline <= r->now)
    return true;
  if (r->now - t->measured_at > MEASUREMENT_VALID_MS)
    return false;
  double end = (double)r->now + wait_ms + t->ms_per_token * q->cost;
  return end > (double)q->deadline;
}

static enum rt_code
check_load (struct rt *r, struct rt_req *q, clk_ms *retry_ms)
{
  double wait = queue_wait_ms (q);
  *retry_ms = rt_clamp_retry (wait);
  if (misses_deadline (r, q, wait))
    return RT_CODE_DEADLINE;
  if (!rt_has_usable_server (r, q->target))
    return rt_avail_code (r, q->target, retry_ms);
  enum rt_code code = rt_limit_admit (r, q->account, q->cost, retry_ms);
  if (code != RT_CODE_NONE)
    return code;
  q->charged = true;
  *retry_ms = rt_clamp_retry (wait);
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
  q->arrived_at = r->now;
  q->deadline = in->deadline;
  q->heap_index = SIZE_MAX;
  q->priority
      = (uint8_t)(in->priority < RT_CLASSES ? in->priority : RT_CLASSES - 1);
  q->idempotent = in->idempotent;
  q->has_key = in->has_key;
  q->state = RT_S_RECEIVED;
  size_t at = in->id & (r->table_size - 1);
  q->hash_next = r->table[at];
  r->table[at] = q;
  r->open_requests++;
  return q;
}

void
rt_on_arrive (struct rt *r, const struct rt_request *in)
{
  struct rt_req *q = new_request (r, in);
  clk_ms retry_ms = 0;
  enum rt_code code = check_target (r, q, in);
  if (code != RT_CODE_NONE)
    {
      rt_refuse (r, q, code,
                 rt_code_status (code) == 503 ? RT_DEFAULT_RETRY_MS : 0);
      return;
    }
  q->target = rt_target (r, in->target, in->is_model);
  struct rt_account *a = rt_account (r, in->account);
  q->account = a;
  a->open_requests++;
  code = check_load (r, q, &retry_ms);
  if (code != RT_CODE_NONE)
    {
      rt_refuse (r, q, code, retry_ms);
      return;
    }
  struct rt_target *t = q->target;
  t->mean_cost
      += (t->mean_cost > 0 ? AVERAGE_WEIGHT : 1) * (q->cost - t->mean_cost);
  rt_apply_chart_event (q, RT_X_ADMIT);
  if (rt_request_slot (r, q))
    return;
  rt_apply_chart_event (q, RT_X_ENQUEUE);
  rt_enqueue (r, q, false);
  rt_dispatch_queued (r, t);
}
