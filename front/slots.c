#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/hash.h"
#include "fleet/member.h"
#include "front/slots.h"

#define TICK_MS ((clk_ms)100)

/** A home that sends nothing for this time is stopped or unreachable; a link
    sends a heartbeat each second. */
#define SILENT_MS ((clk_ms)2500)

/** Maximum number of held slots reported in one frame, whose size is limited.
 */
#define MAX_HELD 3000

struct slots_model *
slots_model (struct gw_slots *s, struct str name)
{
  struct slots_model *m = s->models;

  while (m != NULL && !str_is (name, m->name))
    m = m->next;
  if (m != NULL || s->g->cfg == NULL || !cfg_model (s->g->cfg, name))
    return m;
  m = xcalloc (1, sizeof *m);
  m->name = str_dup (name);
  m->next = s->models;
  return s->models = m;
}

bool
slots_is_home (const struct gw_slots *s, const struct slots_model *m)
{
  return m->home != NULL && strcmp (m->home, s->g->set.node) == 0;
}

/* ---- choice of the home ---- */

static bool
is_candidate (const struct gw_slots *s, const struct gw_node *n)
{
  return n->peer.port != 0 && !str_is (n->name, s->g->set.node)
         && str_is (n->region, s->g->set.region)
         && (n->status == MBR_ALIVE || n->status == MBR_SUSPECT);
}

/** Name of the model's home, owned by the caller; NULL without a view. */
static char *
pick_home (const struct gw_slots *s, const char *model)
{
  size_t n = 0, names_n = 0;
  const struct gw_node *nodes
      = s->g->view ? gw_view_nodes (s->g->view, &n) : NULL;
  struct str *names;
  char *home;
  struct buf role = BUF_INIT;

  if (n == 0)
    return NULL;
  names = xcalloc (n + 1, sizeof *names);
  names[names_n++] = str_from (s->g->set.node);
  for (size_t i = 0; i < n; i++)
    if (is_candidate (s, &nodes[i]))
      names[names_n++] = nodes[i].name;
  buf_addf (&role, "slots/%s", model);
  home = str_dup (names[hash_pick (buf_str (&role), names, names_n)]);
  buf_free (&role);
  free (names);
  return home;
}

static void
set_home_available (struct gw_slots *s, struct slots_model *m, bool on)
{
  struct rt_event ev
      = { .kind = RT_EV_SLOT_HOME, .name = str_from (m->name), .on = on };

  if (m->home_available == on)
    return;
  m->home_available = on;
  gw_callers_home_event (s->g->callers, &ev);
}

/* ---- requests and reports to the home ---- */

static void
send_held (struct gw_slots *s, struct slots_model *m, struct link *l,
           const struct rt_slot *held, size_t n)
{
  Lapis__SlotOpen open = LAPIS__SLOT_OPEN__INIT;
  Lapis__Frame frame = LAPIS__FRAME__INIT;
  Lapis__SlotHeld *list;

  if (n > MAX_HELD)
    n = MAX_HELD;
  list = xcalloc (n + 1, sizeof *list);
  open.held = xcalloc (n + 1, sizeof *open.held);
  for (size_t i = 0; i < n; i++)
    {
      lapis__slot_held__init (&list[i]);
      list[i].id = held[i].id;
      list[i].replica = str_dup (held[i].replica);
      list[i].cost = held[i].cost;
      open.held[open.n_held++] = &list[i];
    }
  open.model = m->name;
  open.node = s->g->set.node;
  frame.body_case = LAPIS__FRAME__BODY_SLOT_OPEN;
  frame.slot_open = &open;
  link_send (l, &frame);
  for (size_t i = 0; i < n; i++)
    free (list[i].replica);
  free (open.held);
  free (list);
}

/** @param l  NULL: this gateway is the home */
static void
report_held (struct gw_slots *s, struct slots_model *m, struct link *l)
{
  struct slt_event ev = { .kind = SLT_EV_HELD, .gateway = SLOTS_SELF };

  ev.held_slots = rt_held_slots (gw_callers_core (s->g->callers),
                                 str_from (m->name), &ev.n);
  if (l != NULL)
    send_held (s, m, l, ev.held_slots, ev.n);
  else
    slots_home_event (s, m, &ev);
}

static void
send_to_home (struct slots_model *m, struct link *l, const struct rt_action *a)
{
  Lapis__SlotAsk ask = LAPIS__SLOT_ASK__INIT;
  Lapis__Frame frame = LAPIS__FRAME__INIT;
  char *account = str_dup (a->slot.account), *replica = str_dup (a->name);
  clk_ms now = clk_now ();

  ask.id = a->id;
  ask.kind = a->kind == RT_ACT_SLOT_ASK     ? LAPIS__SLOT_KIND__SLOT_ASK
             : a->kind == RT_ACT_SLOT_TAKEN ? LAPIS__SLOT_KIND__SLOT_TAKEN
                                            : LAPIS__SLOT_KIND__SLOT_DONE;
  ask.model = m->name;
  ask.account = account;
  ask.priority = a->slot.priority;
  ask.cost = a->slot.cost;
  if (a->slot.deadline > now)
    ask.deadline_ms = (uint32_t)(a->slot.deadline - now);
  ask.prefix = a->slot.prefix;
  ask.replica = replica;
  ask.first_ms = (uint32_t)a->slot.first_ms;
  ask.idempotent = a->slot.idempotent;
  ask.failed = a->slot.failed;
  frame.body_case = LAPIS__FRAME__BODY_SLOT_ASK;
  frame.slot_ask = &ask;
  link_send (l, &frame);
  free (account);
  free (replica);
}

static void
send_to_self (struct gw_slots *s, struct slots_model *m,
              const struct rt_action *a)
{
  struct slt_event ev = { .kind = a->kind == RT_ACT_SLOT_ASK     ? SLT_EV_ASK
                                  : a->kind == RT_ACT_SLOT_TAKEN ? SLT_EV_TAKEN
                                                                 : SLT_EV_DONE,
                          .gateway = SLOTS_SELF,
                          .id = a->id,
                          .account = a->slot.account,
                          .priority = a->slot.priority,
                          .cost = a->slot.cost,
                          .deadline = a->slot.deadline,
                          .prefix = a->slot.prefix,
                          .replica = a->name,
                          .idempotent = a->slot.idempotent,
                          .first_ms = (double)a->slot.first_ms,
                          .failed = a->slot.failed };

  slots_home_event (s, m, &ev);
}

void
gw_slots_execute (struct gw_slots *s, const struct rt_action *a)
{
  struct slots_model *m = slots_model (s, a->slot.model);
  struct link *l;

  /* An action that can't be sent is covered by the next report of held slots,
     within a second, or by the request's timeout. */
  if (m == NULL || m->home == NULL)
    return;
  if (slots_is_home (s, m))
    send_to_self (s, m, a);
  else if ((l = gw_claims_link (s->g->claims, m->home)) != NULL)
    send_to_home (m, l, a);
}

void
gw_slots_reply_received (struct gw_slots *s, const Lapis__SlotAnswer *a)
{
  struct rt_event ev = { .kind = RT_EV_SLOT,
                         .id = a->id,
                         .slot = (enum rt_slot_reply)a->word,
                         .name = str_from (a->replica),
                         .code = (enum rt_code)a->code,
                         .retry_ms = a->retry_ms };

  if (s != NULL && a->word < RT_SLOT_REPLIES && a->code <= RT_CODE_CALLER_GONE)
    gw_callers_home_event (s->g->callers, &ev);
}

/* ---- links and timers ---- */

static void
check_link (struct gw_slots *s, struct slots_model *m)
{
  struct link *l;

  if (slots_is_home (s, m))
    {
      slots_home_create (s, m);
      set_home_available (s, m, true);
      return;
    }
  l = m->home ? gw_claims_link (s->g->claims, m->home) : NULL;
  if (l == NULL || link_idle_ms (l) > SILENT_MS)
    set_home_available (s, m, false);
  else if (!m->home_available)
    {
      report_held (s, m, l);
      set_home_available (s, m, true);
    }
}

static void
check_model (struct gw_slots *s, struct slots_model *m)
{
  char *home = pick_home (s, m->name);

  if (!home != !m->home || (home && strcmp (home, m->home) != 0))
    {
      set_home_available (s, m, false);
      free (m->home);
      m->home = home;
    }
  else
    free (home);
  check_link (s, m);
}

void
gw_slots_check (struct gw_slots *s)
{
  const struct cfg *cfg = s ? s->g->cfg : NULL;

  if (cfg == NULL)
    return;
  for (size_t i = 0; i < cfg->nmodels; i++)
    slots_model (s, cfg->models[i].name);
  for (struct slots_model *m = s->models; m != NULL; m = m->next)
    {
      slots_home_config (s, m);
      check_model (s, m);
    }
}

void
gw_slots_replicas (struct gw_slots *s, const struct rt_replica *list, size_t n)
{
  if (s == NULL)
    return;
  for (struct slots_model *m = s->models; m != NULL; m = m->next)
    slots_home_replicas (s, m, list, n);
}

static void
on_tick (uv_timer_t *t)
{
  struct gw_slots *s = t->data;
  clk_ms now = clk_now ();
  bool report = now - s->reported_at >= SLT_REPORT_INTERVAL_MS;

  if (report)
    s->reported_at = now;
  for (struct slots_model *m = s->models; m != NULL; m = m->next)
    {
      check_link (s, m);
      if (report && m->home_available)
        report_held (s, m,
                     slots_is_home (s, m)
                         ? NULL
                         : gw_claims_link (s->g->claims, m->home));
      slots_home_tick (s, m);
    }
}

/* ---- startup ---- */

struct gw_slots *
gw_slots_start (struct gw *g)
{
  struct gw_slots *s = xcalloc (1, sizeof *s);

  s->g = g;
  uv_timer_init (g->loop, &s->timer);
  s->timer.data = s;
  uv_timer_start (&s->timer, on_tick, TICK_MS, TICK_MS);
  return s;
}
