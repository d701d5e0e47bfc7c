#include <stdlib.h>

#include "route/core.h"

#define SLOT_TIMEOUTS_BEFORE_PAUSE 3 /* consecutive */
#define SLOT_REQUEST_PAUSE_MS 2000

static struct rt_action *
push_action (struct rt *r, enum rt_action_kind kind, const struct rt_req *q)
{
  struct rt_action *a = rt_push_action (r, kind, q);
  a->slot.model = str_from (q->target->name);
  a->slot.account = str_from (q->account->name);
  a->slot.priority = q->priority;
  a->slot.idempotent = q->idempotent;
  a->slot.deadline = q->deadline;
  a->slot.cost = q->cost;
  a->slot.prefix = q->prefix;
  return a;
}

static bool
may_request_slot (const struct rt *r, const struct rt_target *t)
{
  return t->has_home && r->now >= t->slot_requests_paused_until;
}

bool
rt_request_slot (struct rt *r, struct rt_req *q)
{
  clk_ms wait = q->cfg->limits.slot_ms;
  if (!may_request_slot (r, q->target) || wait == 0)
    return false;
  rt_apply_chart_event (q, RT_X_ASK);
  q->registered_at_home = true;
  q->queued_at = r->now;
  clk_ms at = r->now + wait;
  rt_set_timer (r, q, q->deadline && q->deadline < at ? q->deadline : at);
  push_action (r, RT_ACT_SLOT_ASK, q);
  return true;
}

/** Queue the request at this gateway. A later grant of the home is still
    accepted. */
static void
enqueue_locally (struct rt *r, struct rt_req *q)
{
  rt_apply_chart_event (q, RT_X_ENQUEUE);
  rt_enqueue (r, q, false);
}

/** Queue all requests of @p t that wait for the home at this gateway. */
static void
enqueue_all_locally (struct rt *r, struct rt_target *t)
{
  for (size_t i = 0; i < r->table_size; i++)
    for (struct rt_req *q = r->table[i]; q; q = q->hash_next)
      if (q->target == t && q->state == RT_S_ASKING)
        enqueue_locally (r, q);
}

void
rt_on_slot_home (struct rt *r, struct str model, bool on)
{
  struct rt_target *t = rt_target (r, model, true);
  t->has_home = on;
  t->slot_timeouts = 0;
  t->slot_requests_paused_until = 0;
  if (on)
    return;
  enqueue_all_locally (r, t);
  rt_dispatch_queued (r, t);
}

/** After SLOT_TIMEOUTS_BEFORE_PAUSE timeouts the home counts as stopped or
    unreachable: it would not reply to further slot requests, and would never
    grant those queued there. */
static void
on_no_slot_reply (struct rt *r, struct rt_req *q)
{
  struct rt_target *t = q->target;
  enqueue_locally (r, q);
  if (++t->slot_timeouts >= SLOT_TIMEOUTS_BEFORE_PAUSE)
    {
      t->slot_timeouts = 0;
      t->slot_requests_paused_until = r->now + SLOT_REQUEST_PAUSE_MS;
      enqueue_all_locally (r, t);
    }
  rt_dispatch_queued (r, t);
}

void
rt_on_slot_timeout (struct rt *r, struct rt_req *q)
{
  if (q->queued_at_home)
    rt_refuse (r, q,
               rt_has_usable_server (r, q->target) ? RT_CODE_QUEUE_FULL
                                                   : RT_CODE_NO_REPLICA,
               RT_DEFAULT_RETRY_MS);
  else
    on_no_slot_reply (r, q);
}

/** The granted server, or NULL if this gateway considers it unusable. */
static struct rt_server *
granted_server (struct rt *r, const struct rt_req *q, struct str name)
{
  uint64_t hash = str_hash (name, 0);
  for (size_t i = 0; i < q->target->nservers; i++)
    {
      struct rt_server *s = q->target->servers[i];
      if (s->hash != hash || !str_is (name, s->name))
        continue;
      bool eligible = s->ejected_until == 0 || rt_outlier_may_probe (r, s, q);
      return eligible && rt_is_usable (r, s) && !rt_was_tried (q, s) ? s
                                                                     : NULL;
    }
  return NULL;
}

static void
on_granted (struct rt *r, struct rt_req *q, struct str name)
{
  struct rt_server *s = granted_server (r, q, name);
  if (s)
    {
      if (q->queued)
        rt_queue_remove (&q->target->queue, q);
      rt_dispatch (r, q, s);
      return;
    }
  rt_slot_release (r, q);
  if (q->state != RT_S_ASKING)
    return;
  enqueue_locally (r, q);
  rt_dispatch_queued (r, q->target);
}

void
rt_on_slot_reply (struct rt *r, struct rt_req *q, const struct rt_event *ev)
{
  bool asking = q->state == RT_S_ASKING;
  /* Ignore a second reply, and a reply after a local choice. */
  if (!q->registered_at_home
      || (!asking && (q->state != RT_S_QUEUED || !q->queued)))
    return;
  q->target->slot_timeouts = 0;
  if (ev->slot == RT_SLOT_GRANTED)
    on_granted (r, q, ev->name);
  else if (!asking)
    return;
  else if (ev->slot == RT_SLOT_QUEUED)
    {
      q->queued_at_home = true;
      rt_set_timer (r, q, rt_queue_deadline (q));
    }
  else
    rt_refuse (r, q, ev->code, rt_clamp_retry ((double)ev->retry_ms));
}

void
rt_slot_report_local (struct rt *r, struct rt_req *q)
{
  if (!q->target->has_home || !q->server)
    return;
  q->registered_at_home = true;
  push_action (r, RT_ACT_SLOT_TAKEN, q)->name = str_from (q->server->name);
}

void
rt_slot_release (struct rt *r, struct rt_req *q)
{
  if (!q->registered_at_home)
    return;
  q->registered_at_home = false;
  struct rt_action *a = push_action (r, RT_ACT_SLOT_DONE, q);
  a->slot.first_ms = q->complete ? q->first_byte_ms : 0;
  a->slot.failed = q->attempt_failed;
  q->attempt_failed = false;
}

const struct rt_slot *
rt_held_slots (struct rt *r, struct str model, size_t *n)
{
  r->slots = xrealloc (r->slots, (r->open_requests + 1) * sizeof *r->slots);
  *n = 0;
  for (size_t i = 0; i < r->table_size; i++)
    for (const struct rt_req *q = r->table[i]; q; q = q->hash_next)
      if (q->server && q->target->is_model && str_is (model, q->target->name))
        r->slots[(*n)++]
            = (struct rt_slot){ q->id, str_from (q->server->name), q->cost };
  return r->slots;
}
