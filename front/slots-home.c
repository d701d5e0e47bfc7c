#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "front/slots.h"

/** Time without requests after which the core of a model is freed if this
    gateway is no longer its home. */
#define IDLE_MS (10 * CLK_SECOND)

/* ---- replies ---- */

static void
reply_local (struct gw_slots *s, const struct slt_action *a)
{
  struct rt_event ev = { .kind = RT_EV_SLOT,
                         .id = a->id,
                         .slot = a->reply,
                         .name = a->replica,
                         .code = a->code,
                         .retry_ms = a->retry_ms };

  gw_callers_home_event (s->g->callers, &ev);
}

static void
reply_remote (struct gw_slots *s, const struct slt_action *a)
{
  Lapis__SlotAnswer m = LAPIS__SLOT_ANSWER__INIT;
  Lapis__Frame frame = LAPIS__FRAME__INIT;
  struct link *l = s->gateways[a->gateway - 1].link;
  char *replica = str_dup (a->replica);

  m.id = a->id;
  m.word = a->reply;
  m.replica = replica;
  m.code = a->code;
  m.retry_ms = (uint32_t)a->retry_ms;
  frame.body_case = LAPIS__FRAME__BODY_SLOT_ANSWER;
  frame.slot_answer = &m;
  if (l != NULL)
    link_send (l, &frame);
  free (replica);
}

static void
count_reply (struct gw_slots *s, enum rt_slot_reply word)
{
  static const char *const labels[RT_SLOT_REPLIES]
      = { "word=\"granted\"", "word=\"queued\"", "word=\"refused\"" };

  met_add (met_counter (s->g->met, "lapisline_slot_answers_total",
                        "Words of this node as a model's home.", labels[word]),
           1);
}

void
slots_home_event (struct gw_slots *s, struct slots_model *m,
                  const struct slt_event *ev)
{
  struct slt_action a;

  if (m->core == NULL)
    return;
  slt_event (m->core, clk_now (), ev);
  /* A reply to a local request may cause another event immediately; the outer
     loop delivers the replies of that event. */
  if (s->delivering_replies)
    return;
  s->delivering_replies = true;
  while (slt_next (m->core, &a))
    {
      count_reply (s, a.reply);
      if (a.gateway == SLOTS_SELF)
        reply_local (s, &a);
      else
        reply_remote (s, &a);
    }
  s->delivering_replies = false;
}

/* ---- state passed to a core ---- */

void
slots_home_config (struct gw_slots *s, struct slots_model *m)
{
  struct slt_event ev = { .kind = SLT_EV_CONFIG, .cfg = s->g->cfg };

  if (s->g->cfg != NULL)
    slots_home_event (s, m, &ev);
}

void
slots_home_replicas (struct gw_slots *s, struct slots_model *m,
                     const struct rt_replica *list, size_t n)
{
  struct rt_replica *of_model;
  struct slt_event ev = { .kind = SLT_EV_REPLICAS };

  if (m->core == NULL)
    return;
  ev.replicas = of_model = xcalloc (n + 1, sizeof *of_model);
  for (size_t i = 0; i < n; i++)
    if (str_is (list[i].model, m->name))
      of_model[ev.n++] = list[i];
  slots_home_event (s, m, &ev);
  free (of_model);
}

void
slots_home_create (struct gw_slots *s, struct slots_model *m)
{
  size_t n = 0;
  const struct rt_replica *list
      = s->g->view ? gw_view_replicas (s->g->view, &n) : NULL;

  if (m->core != NULL)
    return;
  m->core = slt_new (str_from (m->name), clk_now ());
  m->asked_at = clk_now ();
  slots_home_config (s, m);
  slots_home_replicas (s, m, list, n);
}

void
slots_home_tick (struct gw_slots *s, struct slots_model *m)
{
  struct slt_event tick = { .kind = SLT_EV_TICK };
  struct slt_event nodes = { .kind = SLT_EV_NODES, .n = 1 };
  char label[256];

  if (m->core == NULL)
    return;
  if (!slots_is_home (s, m) && clk_now () - m->asked_at > IDLE_MS)
    {
      slt_free (m->core);
      m->core = NULL;
      return;
    }
  for (size_t i = 0; i < s->naskers; i++)
    nodes.n += s->gateways[i].link != NULL;
  slots_home_event (s, m, &nodes);
  slots_home_event (s, m, &tick);
  snprintf (label, sizeof label, "model=\"%s\"", m->name);
  met_set (met_gauge (s->g->met, "lapisline_slots_taken",
                      "Slots of a model's replicas that its home counts.",
                      label),
           (double)slt_occupied_slots (m->core));
}

/* ---- requests of other gateways ---- */

static uint32_t
gateway_of_link (const struct gw_slots *s, const struct link *l)
{
  for (size_t i = 0; i < s->naskers; i++)
    if (s->gateways[i].link == l)
      return (uint32_t)i + 1;
  return SLOTS_SELF;
}

static uint32_t
gateway_of_node (struct gw_slots *s, const char *name, struct link *l)
{
  size_t i = 0;

  while (i < s->naskers && strcmp (s->gateways[i].name, name) != 0)
    i++;
  if (i == s->naskers)
    {
      s->gateways
          = xrealloc (s->gateways, (s->naskers + 1) * sizeof *s->gateways);
      s->gateways[s->naskers++].name = xstrdup (name);
    }
  s->gateways[i].link = l;
  return (uint32_t)i + 1;
}

/** The first frame on a link names the gateway that opened it. */
static void
on_open (struct gw_slots *s, struct link *l, const Lapis__SlotOpen *o)
{
  struct slots_model *m = slots_model (s, str_from (o->model));
  struct rt_slot *held;
  struct slt_event ev = { .kind = SLT_EV_HELD, .n = o->n_held };

  if (m == NULL)
    return;
  slots_home_create (s, m);
  m->asked_at = clk_now ();
  ev.gateway = gateway_of_node (s, o->node, l);
  ev.held_slots = held = xcalloc (o->n_held + 1, sizeof *held);
  for (size_t i = 0; i < o->n_held; i++)
    held[i] = (struct rt_slot){ o->held[i]->id, str_from (o->held[i]->replica),
                                o->held[i]->cost };
  slots_home_event (s, m, &ev);
  free (held);
}

static void
on_ask (struct gw_slots *s, const struct link *l, const Lapis__SlotAsk *a)
{
  static const enum slt_event_kind kinds[]
      = { SLT_EV_TICK, SLT_EV_ASK, SLT_EV_TAKEN, SLT_EV_DONE };
  struct slots_model *m = slots_model (s, str_from (a->model));
  struct slt_event ev = { .gateway = gateway_of_link (s, l),
                          .id = a->id,
                          .account = str_from (a->account),
                          .priority = a->priority,
                          .cost = a->cost,
                          .prefix = a->prefix,
                          .replica = str_from (a->replica),
                          .idempotent = a->idempotent,
                          .first_ms = a->first_ms,
                          .failed = a->failed };

  /* Without a reply the requesting gateway assigns the slot locally. */
  if (m == NULL || ev.gateway == SLOTS_SELF || a->kind < 1 || a->kind > 3)
    return;
  m->asked_at = clk_now ();
  ev.kind = kinds[a->kind];
  if (a->deadline_ms > 0)
    ev.deadline = clk_now () + a->deadline_ms;
  slots_home_event (s, m, &ev);
}

void
gw_slots_request_received (struct gw_slots *s, struct link *l,
                           const Lapis__Frame *frame)
{
  if (s == NULL)
    return;
  if (frame->body_case == LAPIS__FRAME__BODY_SLOT_ASK)
    on_ask (s, l, frame->slot_ask);
  else if (frame->body_case == LAPIS__FRAME__BODY_SLOT_OPEN)
    on_open (s, l, frame->slot_open);
}

void
gw_slots_link_down (struct gw_slots *s, const struct link *l)
{
  struct slt_event ev = { .kind = SLT_EV_GATEWAY_LOST };

  if (s == NULL || (ev.gateway = gateway_of_link (s, l)) == SLOTS_SELF)
    return;
  s->gateways[ev.gateway - 1].link = NULL;
  for (struct slots_model *m = s->models; m != NULL; m = m->next)
    slots_home_event (s, m, &ev);
}
