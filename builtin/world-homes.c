#include "builtin/world-run.h"

#include <stdio.h>
#include <stdlib.h>

#define MUTE_ASKS 3   /* without a word: the home is not asked any more */
#define NEXT_MS 3000  /* from a home's loss to the view that names the next */
#define LOCAL_MS 0.02 /* to a home that is the gateway itself */

static bool
active (const struct world *w)
{
  return w->p->policy == POL_HOMES;
}

static uint32_t
gateway_of (const struct world *w, uint32_t trip)
{
  return w->requests[trip].gateway;
}

/** A message between the trip's gateway and the home, either way. */
static void
post_hop (struct world *w, enum world_event_kind kind, uint32_t trip)
{
  uint32_t g = gateway_of (w, trip);
  double ms
      = g == w->homes.gateway ? LOCAL_MS : wr_one_way (w, g, w->homes.gateway);
  wr_post (w, w->now + ms, kind, trip, NULL);
}

/* --- the home ------------------------------------------------------------ */

static void
run_actions (struct world *w)
{
  static const enum world_event_kind kinds[] = { [RT_SLOT_GRANTED] = GRANTED,
                                                 [RT_SLOT_QUEUED] = QUEUED,
                                                 [RT_SLOT_REFUSED] = REFUSED };
  struct slt_action a;
  while (slt_next (w->homes.core, &a))
    {
      uint32_t trip = (uint32_t)a.id - 1;
      if (a.reply == RT_SLOT_GRANTED)
        w->trips[trip].granted = (uint32_t)atoi (a.replica.ptr + 1) + 1;
      post_hop (w, kinds[a.reply], trip);
    }
}

static void
tell_home (struct world *w, const struct slt_event *ev)
{
  if (!w->homes.core)
    return;
  slt_event (w->homes.core, (clk_ms)w->now, ev);
  run_actions (w);
}

static void
at_home (struct world *w, enum slt_event_kind kind, uint32_t trip)
{
  const struct wl_request *q = &w->requests[trip];
  const struct trip *t = &w->trips[trip];
  char account[8];
  snprintf (account, sizeof account, "a%u", q->account);
  struct slt_event ev = { .kind = kind,
                          .gateway = q->gateway,
                          .id = trip + 1,
                          .account = str_from (account),
                          .idempotent = true,
                          .cost = q->cost,
                          .deadline = (clk_ms)q->deadline,
                          .prefix = q->prefix * 0x9e3779b97f4a7c15u };
  if (kind == SLT_EV_TAKEN)
    ev.replica = str_from (w->names[t->granted - 1]);
  if (kind == SLT_EV_DONE && t->first > 0 && t->sent > 0)
    ev.first_ms = t->first - t->sent;
  tell_home (w, &ev);
}

/** What each gateway holds, told once a second. */
static void
tell_open (struct world *w)
{
  struct rt_slot *list = xmalloc ((w->n + 1) * sizeof *list);
  for (uint32_t g = 0; g < w->p->gateways; g++)
    {
      size_t n = 0;
      for (size_t i = w->homes.oldest; i < w->arrived; i++)
        if (w->requests[i].gateway == g && w->trips[i].slot == SLOT_OURS
            && w->trips[i].granted)
          list[n++] = (struct rt_slot){ .id = i + 1,
                                        .replica = str_from (
                                            w->names[w->trips[i].granted - 1]),
                                        .cost = w->requests[i].cost };
      struct slt_event ev
          = { .kind = SLT_EV_HELD, .gateway = g, .held_slots = list, .n = n };
      tell_home (w, &ev);
    }
  free (list);
  while (w->homes.oldest < w->arrived
         && w->trips[w->homes.oldest].slot == SLOT_OVER)
    w->homes.oldest++;
}

static void
begin_home (struct world *w)
{
  w->homes.core = slt_new (STR ("lm"), (clk_ms)w->now);
  struct slt_event ev = { .kind = SLT_EV_CONFIG, .cfg = w->homes.cfg };
  tell_home (w, &ev);
  wr_post (w, w->now, HOME_TICK, 0, NULL);
}

/* --- gateways ------------------------------------------------------------ */

/** The replica that was granted; without a grant the gateway's own choice. */
static struct rt_server *
choose_granted (void *ctx, struct rt *r, struct rt_target *t,
                const struct rt_req *q)
{
  const struct world *w = ctx;
  const struct trip *trip = &w->trips[q->id - 1];
  if (trip->granted && q->ntried == 0)
    for (size_t i = 0; i < t->nservers; i++)
      if (str_is (str_from (w->names[trip->granted - 1]), t->servers[i]->name)
          && rt_is_usable (r, t->servers[i]))
        return t->servers[i];
  return rt_choose (NULL, r, t, q);
}

static void
decide_here (struct world *w, uint32_t trip)
{
  w->trips[trip].slot = SLOT_OURS;
  w->trips[trip].granted = 0;
  wr_arrive (w, trip);
}

/** The home is lost to this gateway: what waits there is decided here. */
static void
give_up_home (struct world *w, uint32_t gateway)
{
  for (size_t i = w->homes.oldest; i < w->arrived; i++)
    if (w->requests[i].gateway == gateway
        && (w->trips[i].slot == SLOT_ASKED || w->trips[i].slot == SLOT_QUEUED))
      decide_here (w, (uint32_t)i);
}

static void
on_unanswered (struct world *w, uint32_t trip)
{
  uint32_t g = gateway_of (w, trip);
  if (w->trips[trip].slot != SLOT_ASKED)
    return;
  if (++w->homes.mute[g] >= MUTE_ASKS)
    give_up_home (w, g);
  else
    decide_here (w, trip);
}

static void
on_granted (struct world *w, uint32_t trip)
{
  struct trip *t = &w->trips[trip];
  w->homes.mute[gateway_of (w, trip)] = 0;
  if (t->slot != SLOT_ASKED && t->slot != SLOT_QUEUED)
    return;
  t->slot = SLOT_OURS;
  wr_arrive (w, trip);
}

static void
on_queued (struct world *w, uint32_t trip)
{
  w->homes.mute[gateway_of (w, trip)] = 0;
  if (w->trips[trip].slot == SLOT_ASKED)
    w->trips[trip].slot = SLOT_QUEUED;
}

static void
on_refused (struct world *w, uint32_t trip)
{
  struct trip *t = &w->trips[trip];
  if (t->slot != SLOT_ASKED && t->slot != SLOT_QUEUED)
    return;
  t->slot = SLOT_OVER;
  t->refused = true;
}

void
wh_arrive (struct world *w, uint32_t trip)
{
  w->arrived = trip + 1;
  if (w->homes.mute[gateway_of (w, trip)] >= MUTE_ASKS)
    {
      decide_here (w, trip);
      return;
    }
  w->trips[trip].slot = SLOT_ASKED;
  post_hop (w, ASK_AT_HOME, trip);
  wr_post (w, w->now + (double)SLT_REPLY_TIMEOUT_MS, UNANSWERED, trip, NULL);
}

void
wh_connect (struct world *w, uint32_t trip, size_t replica)
{
  struct trip *t = &w->trips[trip];
  if (!active (w))
    return;
  t->sent = w->now;
  if (t->granted == replica + 1)
    return;
  t->granted = (uint32_t)replica + 1;
  post_hop (w, TAKEN_AT_HOME, trip);
}

void
wh_forget (struct world *w, uint32_t trip)
{
  if (!active (w))
    return;
  w->trips[trip].slot = SLOT_OVER;
  post_hop (w, DONE_AT_HOME, trip);
}

void
wh_replicas (struct world *w, const struct rt_replica *list, size_t n)
{
  if (!active (w))
    return;
  struct slt_event ev = { .kind = SLT_EV_REPLICAS, .replicas = list, .n = n };
  tell_home (w, &ev);
}

void
wh_lose (struct world *w)
{
  if (!active (w))
    return;
  slt_free (w->homes.core);
  w->homes.core = NULL;
  wr_post (w, w->now + NEXT_MS, NEXT_HOME, 0, NULL);
}

/** Gateways link to it, tell it what they hold, and ask again. */
static void
on_next_home (struct world *w)
{
  w->homes.term++;
  w->homes.gateway = (w->homes.gateway + 1) % w->p->gateways;
  begin_home (w);
  for (uint32_t g = 0; g < w->p->gateways; g++)
    {
      give_up_home (w, g);
      w->homes.mute[g] = 0;
    }
  tell_open (w);
}

static void
on_home_tick (struct world *w)
{
  struct slt_event ev = { .kind = SLT_EV_TICK };
  tell_home (w, &ev);
  if (w->homes.core && w->now < 1000 * w->p->workload->seconds + 60000)
    wr_post (w, w->now + 100, HOME_TICK, 0, NULL);
}

static void
on_open_lists (struct world *w)
{
  tell_open (w);
  if (w->now < 1000 * w->p->workload->seconds + 60000)
    wr_post (w, w->now + (double)SLT_REPORT_INTERVAL_MS, OPEN_LISTS, 0, NULL);
}

void
wh_handle (struct world *w, const struct event *e)
{
  /* What went to or came from a home that is lost is lost with it. */
  if (e->term != w->homes.term && e->kind != OPEN_LISTS)
    return;
  switch (e->kind)
    {
    case ASK_AT_HOME:
      at_home (w, SLT_EV_ASK, e->who);
      break;
    case TAKEN_AT_HOME:
      at_home (w, SLT_EV_TAKEN, e->who);
      break;
    case DONE_AT_HOME:
      at_home (w, SLT_EV_DONE, e->who);
      break;
    case GRANTED:
      on_granted (w, e->who);
      break;
    case QUEUED:
      on_queued (w, e->who);
      break;
    case REFUSED:
      on_refused (w, e->who);
      break;
    case UNANSWERED:
      on_unanswered (w, e->who);
      break;
    case OPEN_LISTS:
      on_open_lists (w);
      break;
    case HOME_TICK:
      on_home_tick (w);
      break;
    case NEXT_HOME:
      on_next_home (w);
      break;
    default:
      break;
    }
}

void
wh_start (struct world *w, struct cfg *cfg)
{
  if (!active (w))
    return;
  w->homes.cfg = cfg_ref (cfg);
  w->homes.gateway = (uint32_t)(w->p->seed % w->p->gateways);
  begin_home (w);
  for (uint32_t g = 0; g < w->p->gateways; g++)
    {
      w->gateways[g]->choose = choose_granted;
      w->gateways[g]->choose_ctx = w;
    }
  wr_post (w, (double)SLT_REPORT_INTERVAL_MS, OPEN_LISTS, 0, NULL);
}

void
wh_stop (struct world *w)
{
  if (w->homes.core)
    slt_free (w->homes.core);
  if (w->homes.cfg)
    cfg_unref (w->homes.cfg);
}
