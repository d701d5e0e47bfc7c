#include "builtin/world-run.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/stub.h"

#define SAMPLE_MS 500 /* between load reports of a replica */
#define SEEN_MS 3000  /* from a replica's loss to the view */
#define EVIDENCE_MS 20000
#define STRAGGLE_FACTOR 4

const char *const fault_names[FAULTS]
    = { "none", "straggler", "lost", "home" };

/* --- shared by all policies -------------------------------------------- */

double
wr_one_way (const struct world *w, size_t a, size_t b)
{
  return a % WL_ZONES == b % WL_ZONES ? 0.1 : w->p->workload->zone_ms;
}

static size_t
replica_of (const struct world *w, const struct stub *s)
{
  return (size_t)(s - w->stubs);
}

static struct stub_job *
new_job (struct world *w, uint32_t trip, size_t replica, uint32_t attempt)
{
  struct stub_job *job = xcalloc (1, sizeof *job);
  job->request = &w->requests[trip];
  job->owner = trip;
  job->attempt = attempt;
  job->stub = &w->stubs[replica];
  w->trips[trip].job = job;
  if (w->njobs == w->jobs_cap)
    {
      w->jobs_cap = w->jobs_cap ? 2 * w->jobs_cap : 1024;
      w->jobs = xrealloc (w->jobs, w->jobs_cap * sizeof *w->jobs);
    }
  return w->jobs[w->njobs++] = job;
}

static void
started (void *ctx, struct stub_job *job)
{
  struct world *w = ctx;
  uint32_t gateway = job->request->gateway;
  double back = wr_one_way (w, gateway, replica_of (w, job->stub));
  wr_post (w, job->first_at + back, FIRST, job->owner, job);
  wr_post (w, job->done_at + back, DONE, job->owner, job);
}

static void
leave_stub (struct world *w, struct stub_job *job)
{
  stub_leave (job->stub, w->now, job, started, w);
}

/* --- gateways ----------------------------------------------------------- */

static void
on_connect (struct world *w, const struct rt_action *a)
{
  size_t replica = (size_t)atoi (a->name.ptr + 1);
  struct stub_job *job = new_job (w, (uint32_t)a->id - 1, replica, a->attempt);
  wh_connect (w, job->owner, replica);
  double rtt = w->stubs[replica].lost
                   ? 2 * wr_one_way (w, job->request->gateway, replica)
                   : 0;
  wr_post (w, w->now + rtt, CONNECTED, job->owner, job);
}

static void
on_send (struct world *w, const struct rt_action *a)
{
  struct stub_job *job = w->trips[a->id - 1].job;
  double there
      = wr_one_way (w, job->request->gateway, replica_of (w, job->stub));
  wr_post (w, w->now + there, AT_STUB, job->owner, job);
}

static void
act (struct world *w, const struct rt_action *a)
{
  struct trip *t = &w->trips[a->id - 1];
  switch (a->kind)
    {
    case RT_ACT_CONNECT:
      on_connect (w, a);
      break;
    case RT_ACT_SEND:
      on_send (w, a);
      break;
    case RT_ACT_CANCEL:
      leave_stub (w, t->job);
      break;
    case RT_ACT_PASS:
      if (t->first == 0)
        t->first = w->now;
      break;
    case RT_ACT_ANSWER:
      t->refused = a->outcome == RT_NOT_RUN;
      t->failed = a->outcome != RT_NOT_RUN;
      break;
    case RT_ACT_CUT:
      t->failed = true;
      break;
    case RT_ACT_END:
      t->ended = w->now;
      break;
    case RT_ACT_FORGET:
      wh_forget (w, (uint32_t)a->id - 1);
      break;
    default:
      break;
    }
}

void
wr_tell (struct world *w, uint32_t gateway, const struct rt_event *ev)
{
  struct rt *r = w->gateways[gateway];
  struct rt_action a;
  rt_event (r, (clk_ms)w->now, ev);
  while (rt_next (r, &a))
    act (w, &a);
  clk_ms wake = rt_wake (r);
  if (wake != CLK_NEVER && (double)wake < w->tick_at[gateway])
    {
      w->tick_at[gateway] = fmax ((double)wake, floor (w->now) + 1);
      wr_post (w, w->tick_at[gateway], TICK, gateway, NULL);
    }
}

static void
tell_attempt (struct world *w, const struct stub_job *job,
              enum rt_event_kind kind)
{
  struct rt_event ev = { .kind = kind,
                         .id = job->owner + 1,
                         .attempt = job->attempt,
                         .status = 200,
                         .size = 1 };
  wr_tell (w, job->request->gateway, &ev);
}

void
wr_arrive (struct world *w, uint32_t trip)
{
  const struct wl_request *q = &w->requests[trip];
  char account[8];
  snprintf (account, sizeof account, "a%u", q->account);
  struct rt_request in = { .id = trip + 1,
                           .account = str_from (account),
                           .target = STR ("lm"),
                           .is_model = true,
                           .idempotent = true,
                           .deadline = (clk_ms)q->deadline,
                           .cost = q->cost,
                           .prefix = q->prefix * 0x9e3779b97f4a7c15u };
  struct rt_event ev = { .kind = RT_EV_ARRIVE, .request = &in };
  wr_tell (w, q->gateway, &ev);
}

static void
sample (struct world *w)
{
  size_t n = w->p->replicas;
  w->loads = xrealloc (w->loads, (w->nsamples + 1) * n * sizeof *w->loads);
  w->sampled_at
      = xrealloc (w->sampled_at, (w->nsamples + 1) * sizeof *w->sampled_at);
  for (size_t i = 0; i < n; i++)
    w->loads[w->nsamples * n + i] = w->stubs[i].load;
  w->sampled_at[w->nsamples] = w->now;
  wr_post (w, w->now + w->p->lag_ms, REPORT, (uint32_t)w->nsamples, NULL);
  w->nsamples++;
  if (w->now < 1000 * w->p->workload->seconds + 60000)
    wr_post (w, w->now + SAMPLE_MS, SAMPLE, 0, NULL);
}

static void
report (struct world *w, uint32_t number)
{
  static const char *const zones[WL_ZONES] = { "z0", "z1", "z2" };
  size_t n = w->p->replicas;
  struct rt_replica *list = xcalloc (n, sizeof *list);
  for (size_t i = 0; i < n; i++)
    list[i] = (struct rt_replica){
      .name = str_from (w->names[i]),
      .model = STR ("lm"),
      .zone = str_from (zones[i % WL_ZONES]),
      .generation = 1,
      .whole = !(w->seen && w->stubs[i].lost),
      .valid_until = (clk_ms)w->now + EVIDENCE_MS,
      .load = (uint32_t)w->loads[number * n + i],
      .load_at = (clk_ms)w->sampled_at[number] + 1,
    };
  struct rt_event ev = { .kind = RT_EV_REPLICAS, .replicas = list, .n = n };
  for (uint32_t g = 0; g < w->p->gateways; g++)
    wr_tell (w, g, &ev);
  wh_replicas (w, list, n);
  free (list);
}

/* --- one omniscient queue ----------------------------------------------- */

static struct stub *
best_stub (struct world *w, const struct wl_request *q)
{
  struct stub *best = NULL;
  double least = INFINITY;
  for (size_t i = 0; i < w->p->replicas; i++)
    {
      struct stub *s = &w->stubs[i];
      if (s->lost || s->running >= STUB_SLOTS)
        continue;
      double ms
          = stub_first_ms (s, w->now, q) + 2 * wr_one_way (w, q->gateway, i);
      if (ms < least)
        {
          least = ms;
          best = s;
        }
    }
  return best;
}

/** The request's way to the replica is counted with its first token. */
static void
pump_omniscient (struct world *w)
{
  while (w->wait_n)
    {
      uint32_t trip = w->waiting[w->wait_head];
      struct stub *s = best_stub (w, &w->requests[trip]);
      if (!s)
        return;
      w->wait_head = (w->wait_head + 1) % w->n;
      w->wait_n--;
      struct stub_job *job = new_job (w, trip, replica_of (w, s), 1);
      stub_arrive (s, w->now, job, started, w);
    }
}

static void
enqueue_omniscient (struct world *w, uint32_t trip, bool front)
{
  if (front)
    w->wait_head = (w->wait_head + w->n - 1) % w->n;
  w->waiting[front ? w->wait_head : (w->wait_head + w->wait_n) % w->n] = trip;
  w->wait_n++;
}

/* --- the run ------------------------------------------------------------ */

static bool
omniscient (const struct world *w)
{
  return w->p->policy == POL_OMNISCIENT;
}

/** Everything on the lost replica breaks. */
static void
lose (struct world *w, struct stub *s)
{
  s->lost = true;
  for (size_t i = 0; i < w->njobs; i++)
    {
      struct stub_job *job = w->jobs[i];
      if (job->stub != s || job->over || w->trips[job->owner].job != job)
        continue;
      leave_stub (w, job);
      if (!omniscient (w))
        wr_post (w, w->now + 1, BROKEN, job->owner, job);
      else if (w->trips[job->owner].first == 0)
        enqueue_omniscient (w, job->owner, true);
    }
  if (omniscient (w))
    pump_omniscient (w);
  wr_post (w, w->now + SEEN_MS, SEEN, 0, NULL);
}

static void
on_first (struct world *w, struct stub_job *job)
{
  if (job->over)
    return;
  if (omniscient (w))
    {
      double there
          = wr_one_way (w, job->request->gateway, replica_of (w, job->stub));
      if (w->trips[job->owner].first == 0)
        w->trips[job->owner].first = w->now + there;
      return;
    }
  tell_attempt (w, job, RT_EV_HEAD);
  tell_attempt (w, job, RT_EV_BODY);
}

static void
on_done (struct world *w, struct stub_job *job)
{
  if (job->over)
    return;
  leave_stub (w, job);
  if (!omniscient (w))
    {
      tell_attempt (w, job, RT_EV_WHOLE);
      return;
    }
  w->trips[job->owner].ended = w->now;
  pump_omniscient (w);
}

static void
on_connected (struct world *w, struct stub_job *job)
{
  tell_attempt (w, job,
                job->stub->lost ? RT_EV_CONNECT_FAILED : RT_EV_CONNECTED);
}

static void
on_at_stub (struct world *w, struct stub_job *job)
{
  if (job->over)
    return;
  if (job->stub->lost)
    {
      job->over = true;
      wr_post (w, w->now + 1, BROKEN, job->owner, job);
    }
  else
    stub_arrive (job->stub, w->now, job, started, w);
}

static void
on_fault (struct world *w)
{
  struct stub *s = &w->stubs[w->p->seed % w->p->replicas];
  if (w->p->fault == FAULT_STRAGGLER)
    s->slow = STRAGGLE_FACTOR;
  else if (w->p->fault == FAULT_LOST)
    lose (w, s);
  else if (w->p->fault == FAULT_HOME)
    wh_lose (w);
}

static void
handle (struct world *w, const struct event *e)
{
  switch (e->kind)
    {
    case ARRIVE:
      if (w->p->policy == POL_HOMES)
        wh_arrive (w, e->who);
      else if (!omniscient (w))
        wr_arrive (w, e->who);
      else
        {
          enqueue_omniscient (w, e->who, false);
          pump_omniscient (w);
        }
      break;
    case CONNECTED:
      on_connected (w, e->job);
      break;
    case AT_STUB:
      on_at_stub (w, e->job);
      break;
    case FIRST:
      on_first (w, e->job);
      break;
    case DONE:
      on_done (w, e->job);
      break;
    case BROKEN:
      tell_attempt (w, e->job, RT_EV_BROKEN);
      break;
    case SAMPLE:
      sample (w);
      break;
    case REPORT:
      report (w, e->who);
      break;
    case TICK:
      w->tick_at[e->who] = INFINITY;
      wr_tell (w, e->who, &(struct rt_event){ .kind = RT_EV_TICK });
      break;
    case FAULT:
      on_fault (w);
      break;
    case SEEN:
      w->seen = true;
      break;
    default:
      wh_handle (w, e);
      break;
    }
}

static struct cfg *
make_config (const struct workload *wl)
{
  struct buf b = BUF_INIT;
  struct fnd_list findings = { 0 };
  buf_add_c (&b, "{\"models\":{\"lm\":{\"mode\":\"route\",\"vms\":1,"
                 "\"can_resume\":true,");
  buf_addf (&b, "\"capacity\":%d}},", STUB_SLOTS);
  buf_add_c (&b, "\"limits\":{\"max_queue\":2000,\"queue_ms\":30000},"
                 "\"accounts\":{");
  for (unsigned i = 0; i <= WL_ACCOUNTS; i++)
    buf_addf (&b,
              "%s\"a%u\":{\"key_digests\":[],\"may\":[\"*\"],"
              "\"priority\":0}",
              i ? "," : "", i);
  buf_add_c (&b, "}}");
  struct cfg *cfg = cfg_parse (buf_str (&b), 1, &findings);
  if (!cfg)
    {
      buf_clear (&b);
      fnd_print (&findings, &b);
      fputs (buf_c (&b), stderr);
      abort ();
    }
  buf_free (&b);
  fnd_free (&findings);
  return cfg;
}

static void
start_gateways (struct world *w)
{
  struct cfg *cfg = make_config (w->p->workload);
  for (uint32_t g = 0; g < w->p->gateways; g++)
    {
      char zone[8], node[24];
      snprintf (zone, sizeof zone, "z%u", g % WL_ZONES);
      snprintf (node, sizeof node, "entry-%u", g);
      struct rt_options opt
          = { str_from (zone), str_from (node), w->p->gateways };
      w->gateways[g] = rt_new (&opt, w->p->seed * 100 + g);
      w->tick_at[g] = INFINITY;
      policy_install (w->gateways[g], w->p->policy, &w->counters[g]);
      struct rt_event ev = { .kind = RT_EV_CONFIG, .cfg = cfg };
      wr_tell (w, g, &ev);
    }
  wh_start (w, cfg);
  cfg_unref (cfg);
}

static void
start (struct world *w)
{
  const struct world_params *p = w->p;
  double slots = (double)p->replicas * STUB_SLOTS;
  w->requests = wl_make (p->workload, slots, stub_service_ms (p->workload),
                         p->gateways, p->seed, &w->n);
  w->trips = xcalloc (w->n, sizeof *w->trips);
  w->waiting = xcalloc (w->n, sizeof *w->waiting);
  w->stubs = xcalloc (p->replicas, sizeof *w->stubs);
  w->names = xcalloc (p->replicas, sizeof *w->names);
  for (size_t i = 0; i < p->replicas; i++)
    {
      w->stubs[i].slow = 1;
      snprintf (w->names[i], sizeof w->names[i], "r%zu", i);
    }
  if (!omniscient (w))
    {
      start_gateways (w);
      sample (w);
      report (w, 0);
    }
  for (size_t i = 0; i < w->n; i++)
    wr_post (w, w->requests[i].at, ARRIVE, (uint32_t)i, NULL);
  if (p->fault != FAULT_NONE)
    wr_post (w, 1000 * p->workload->seconds / 3, FAULT, 0, NULL);
}

static void
stop (struct world *w)
{
  for (size_t i = 0; i < w->njobs; i++)
    free (w->jobs[i]);
  for (uint32_t g = 0; g < w->p->gateways; g++)
    if (w->gateways[g])
      rt_free (w->gateways[g]);
  wh_stop (w);
  free (w->jobs);
  free (w->requests);
  free (w->trips);
  free (w->waiting);
  free (w->stubs);
  free (w->names);
  free (w->heap);
  free (w->loads);
  free (w->sampled_at);
}

struct world_result
world_run (const struct world_params *p)
{
  struct world w = { .p = p };
  start (&w);
  while (w.heap_n)
    {
      struct event e = wr_pop (&w);
      w.now = e.at;
      handle (&w, &e);
    }
  struct world_result r = wr_evaluate (&w);
  stop (&w);
  return r;
}
