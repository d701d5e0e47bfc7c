/*
 * Slow replicas beside many nodes: which part of the streams is late, with the
 * pace of replicas compared and without.
 *
 * The load: 84 nodes, 18 replicas of 48 slots in three zones, 315 streams per
 * second, which use somewhat more than half of the slots, prompts of a few
 * hundred to 5,880 tokens.  A replica processes all new prompts in one pass,
 * after which each of its streams gets an event.  One replica is at a quarter
 * or a twelfth of its speed for 8 s.  One node adds the loads of all up every
 * 100 ms.
 */
#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/rng.h"
#include "serve/dispatch.h"

#define NODES 84
#define REPLICAS 18
#define SLOTS 48
#define STREAMS_PER_S 315.0
#define MAX_STREAMS 16000
#define MEAN_EVENTS 30
#define PREFILL_PER_MS 93.0
#define PASS_MS 30.0
#define PASS_MS_PER_STREAM 0.3
#define FIRST_GOAL_MS 250
#define GAP_GOAL_MS 200
#define LOAD_INTERVAL_MS 100

/* Times of a run. */
#define SLOW_FROM_MS 6000
#define SLOW_MS 8000
#define RUN_MS 19000

#define SLOW_REPLICA 0

struct stream
{
  unsigned node, attempt;
  int replica; /* -1: none */
  int arrived; /* time in the run, in ms */
  double prompt;
  unsigned events_left;
  clk_ms last_event_at;
  bool running, late, complete;
};

struct replica
{
  char name[8];
  double speed_factor, pass_ends_at;
  unsigned ids[MAX_STREAMS]; /* its streams, in the order of their arrival */
  unsigned n;
};

struct fleet
{
  struct dsp *nodes[NODES];
  struct dsp_endpoint_load reported[NODES][REPLICAS];
  size_t nreported[NODES];
  struct replica replicas[REPLICAS];
  struct stream streams[MAX_STREAMS];
  unsigned n;
  struct tbl *config;
  struct rng rng;
  clk_ms now;
  int ms;                     /* time in the run */
  unsigned reports_of_others; /* replicas that are not slow */
};

static struct tbl *
make_config (bool gap_goal)
{
  struct tbl *t = tbl_new ();
  struct tbl_service *s = arena_alloc (&t->arena, 1, sizeof *s);
  struct tbl_route *r = arena_alloc (&t->arena, 1, sizeof *r);
  struct tbl_target *to = arena_alloc (&t->arena, 1, sizeof *to);

  s->name = STR ("lm");
  *to = (struct tbl_target){ s, 1 };
  *r = (struct tbl_route){ .name = STR ("stream"),
                           .prefix = STR ("/"),
                           .kind = TBL_STREAM,
                           .resumable = true,
                           .latency_goal_ms = FIRST_GOAL_MS,
                           .max_event_gap_ms = gap_goal ? GAP_GOAL_MS : 0,
                           .max_attempts = 2,
                           .targets = to,
                           .ntargets = 1 };
  t->services = s;
  t->nservices = 1;
  t->routes = r;
  t->nroutes = 1;
  return t;
}

static void
start_fleet (struct fleet *f, bool gap_goal, uint64_t seed)
{
  static const char *const zones[] = { "a", "b", "c" };
  struct dsp_options opt = { .retry_ratio = 0.2,
                             .retry_slack = 10,
                             .retry_window_ms = 10000,
                             .stall_ms = 4000 };
  struct dsp_endpoint endpoints[REPLICAS];

  f->now = 100000;
  f->config = make_config (gap_goal);
  rng_seed (&f->rng, seed);
  for (int i = 0; i < REPLICAS; i++)
    {
      snprintf (f->replicas[i].name, sizeof f->replicas[i].name, "r%d", i);
      endpoints[i]
          = (struct dsp_endpoint){ .server = str_from (f->replicas[i].name),
                                   .service = STR ("lm"),
                                   .model = STR ("m"),
                                   .zone = str_from (zones[i % 3]),
                                   .capacity = SLOTS,
                                   .prefill_per_ms = PREFILL_PER_MS,
                                   .accepting = true };
    }
  for (unsigned i = 0; i < NODES; i++)
    {
      opt.zone = str_from (zones[i % 3]);
      f->nodes[i] = dsp_new (&opt, i + 1);
      dsp_set_node_count (f->nodes[i], f->now, NODES, NODES);
      dsp_set_endpoints (f->nodes[i], f->now, endpoints, REPLICAS);
    }
}

static void
leave_replica (struct fleet *f, unsigned id)
{
  struct stream *s = &f->streams[id];
  struct replica *r;
  unsigned k = 0;

  if (s->replica < 0)
    return;
  r = &f->replicas[s->replica];
  while (r->ids[k] != id)
    k++;
  memmove (r->ids + k, r->ids + k + 1, (--r->n - k) * sizeof *r->ids);
  s->replica = -1;
}

static void
execute_actions (struct fleet *f, unsigned node)
{
  struct dsp_action a;

  while (dsp_next_action (f->nodes[node], &a))
    if (a.kind == DSP_ACT_SEND)
      {
        struct stream *s = &f->streams[a.id];
        s->attempt = a.attempt;
        s->running = false;
        for (int i = 0; i < REPLICAS; i++)
          if (str_is (a.server, f->replicas[i].name))
            s->replica = i;
        f->replicas[s->replica].ids[f->replicas[s->replica].n++]
            = (unsigned)a.id;
        dsp_request_sent (f->nodes[node], f->now, a.id, a.attempt);
      }
    else if (a.kind == DSP_ACT_CANCEL)
      leave_replica (f, (unsigned)a.id);
}

/** Mostly a few hundred tokens; about one in ten is several thousand. */
static double
draw_prompt (struct fleet *f)
{
  double x = 700
             * exp (2.4
                    * (rng_unit (&f->rng) + rng_unit (&f->rng)
                       + rng_unit (&f->rng) - 1.5));

  return x < 5880 ? x : 5880;
}

static void
arrive (struct fleet *f)
{
  unsigned id = f->n++;
  struct stream *s = &f->streams[id];
  struct dsp_request q = { .id = id,
                           .route = &f->config->routes[0],
                           .config = f->config,
                           .service = &f->config->services[0],
                           .model = STR ("m"),
                           .deadline = f->now + 8000 };

  cr_assert (f->n < MAX_STREAMS);
  s->node = (unsigned)rng_below (&f->rng, NODES);
  s->replica = -1;
  s->arrived = f->ms;
  s->prompt = q.prompt_tokens = draw_prompt (f);
  s->events_left = 3 + (unsigned)rng_below (&f->rng, 2 * MEAN_EVENTS - 5);
  dsp_submit (f->nodes[s->node], f->now, &q);
  execute_actions (f, s->node);
}

static void
send_event (struct fleet *f, unsigned id)
{
  struct stream *s = &f->streams[id];
  struct dsp *d = f->nodes[s->node];
  clk_ms gap = f->now - s->last_event_at;

  if (s->last_event_at == 0)
    s->late = f->ms - s->arrived > FIRST_GOAL_MS;
  else if (gap > GAP_GOAL_MS)
    s->late = true;
  s->last_event_at = f->now;
  dsp_response_head (d, f->now, id, s->attempt, DSP_RESPONSE_OK);
  dsp_data_received (d, f->now, id, s->attempt, true);
  if (--s->events_left == 0)
    {
      leave_replica (f, id);
      s->complete = true;
      dsp_response_complete (d, f->now, id, s->attempt);
    }
  execute_actions (f, s->node);
}

static void
end_pass (struct fleet *f, int replica)
{
  static unsigned ids[MAX_STREAMS];
  struct replica *r = &f->replicas[replica];
  unsigned n = r->n, running = 0;
  double tokens = 0;

  memcpy (ids, r->ids, n * sizeof *ids);
  for (unsigned k = 0; k < n; k++)
    if (f->streams[ids[k]].running && f->streams[ids[k]].replica == replica)
      send_event (f, ids[k]);
  for (unsigned k = 0; k < r->n; k++)
    running += f->streams[r->ids[k]].running;
  for (unsigned k = 0; k < r->n && running < SLOTS; k++)
    {
      struct stream *s = &f->streams[r->ids[k]];
      if (s->running)
        continue;
      s->running = true;
      running++;
      tokens += s->prompt;
    }
  r->pass_ends_at = (double)f->now
                    + r->speed_factor
                          * (PASS_MS + PASS_MS_PER_STREAM * running
                             + tokens / PREFILL_PER_MS);
}

/** Adds @p x to the sum, or subtracts it. */
static void
add_load (struct dsp_endpoint_load *sum, const struct dsp_endpoint_load *x,
          bool add)
{
  uint32_t sign = add ? 1 : UINT32_MAX;

  sum->in_flight += sign * x->in_flight;
  sum->streaming += sign * x->streaming;
  sum->pending_prefill += sign * x->pending_prefill;
  sum->intervals += sign * x->intervals;
  sum->intervals_ms += sign * x->intervals_ms;
  sum->first_events += sign * x->first_events;
  sum->first_events_ms += sign * x->first_events_ms;
  if (add && x->streaming && x->last_event_at > sum->last_event_at)
    sum->last_event_at = x->last_event_at;
}

static void
send_sums (struct fleet *f)
{
  struct dsp_endpoint_load sum[REPLICAS] = { 0 };

  for (int r = 0; r < REPLICAS; r++)
    {
      sum[r].endpoint
          = dsp_endpoint_hash (str_from (f->replicas[r].name), 0, 0);
      for (unsigned i = 0; i < NODES; i++)
        for (size_t k = 0; k < f->nreported[i]; k++)
          if (f->reported[i][k].endpoint == sum[r].endpoint)
            add_load (&sum[r], &f->reported[i][k], true);
    }
  for (unsigned i = 0; i < NODES; i++)
    {
      struct dsp_endpoint_load others[REPLICAS];
      memcpy (others, sum, sizeof others);
      for (int r = 0; r < REPLICAS; r++)
        for (size_t k = 0; k < f->nreported[i]; k++)
          if (f->reported[i][k].endpoint == others[r].endpoint)
            add_load (&others[r], &f->reported[i][k], false);
      dsp_set_peer_load (f->nodes[i], f->now, f->now, 0, others, REPLICAS);
      execute_actions (f, i);
    }
}

static void
exchange_loads (struct fleet *f)
{
  for (unsigned i = 0; i < NODES; i++)
    if ((f->ms + (int)i * 37) % LOAD_INTERVAL_MS == 0)
      {
        const struct dsp_endpoint_load *own
            = dsp_own_load (f->nodes[i], &f->nreported[i]);
        memcpy (f->reported[i], own, f->nreported[i] * sizeof *own);
      }
  if (f->ms % LOAD_INTERVAL_MS == LOAD_INTERVAL_MS / 2)
    send_sums (f);
}

static void
tick_nodes (struct fleet *f)
{
  struct dsp_pace_change c;

  for (unsigned i = 0; i < NODES; i++)
    {
      if (f->now >= dsp_next_tick (f->nodes[i]))
        {
          dsp_tick (f->nodes[i], f->now);
          execute_actions (f, i);
        }
      while (dsp_next_pace_change (f->nodes[i], &c))
        f->reports_of_others
            += c.slow && !str_is (c.server, f->replicas[SLOW_REPLICA].name);
    }
}

static bool
is_in_slow_time (int ms)
{
  return ms >= SLOW_FROM_MS && ms < SLOW_FROM_MS + SLOW_MS;
}

struct result
{
  unsigned streams, in_time; /* that arrived while the replica was slow */
  unsigned reports_of_others;
};

/** @param factor  by which the slow replica's passes are longer */
static void
add_run (double factor, bool gap_goal, uint64_t seed, struct result *out)
{
  static struct fleet f;
  double next = 0;

  memset (&f, 0, sizeof f);
  start_fleet (&f, gap_goal, seed);
  for (f.ms = 0; f.ms < RUN_MS; f.ms++)
    {
      f.now++;
      for (int r = 0; r < REPLICAS; r++)
        {
          f.replicas[r].speed_factor
              = r == SLOW_REPLICA && is_in_slow_time (f.ms) ? factor : 1;
          if ((double)f.now >= f.replicas[r].pass_ends_at)
            end_pass (&f, r);
        }
      for (; next <= f.ms;
           next += -log (1 - rng_unit (&f.rng)) * 1000 / STREAMS_PER_S)
        arrive (&f);
      tick_nodes (&f);
      exchange_loads (&f);
    }
  for (unsigned i = 0; i < f.n; i++)
    if (is_in_slow_time (f.streams[i].arrived))
      {
        out->streams++;
        out->in_time += f.streams[i].complete && !f.streams[i].late;
      }
  out->reports_of_others += f.reports_of_others;
  for (unsigned i = 0; i < NODES; i++)
    dsp_free (f.nodes[i]);
  tbl_unref (f.config);
}

/** Compares runs with a goal for gaps and without.
    @param part  the part of the streams that is late must be below this part
                 of the one without the goal */
static void
compare_late_parts (double factor, uint64_t seeds, double part)
{
  struct result with = { 0 }, without = { 0 };
  double late, late_without;

  for (uint64_t seed = 1; seed <= seeds; seed++)
    {
      add_run (factor, false, seed, &without);
      add_run (factor, true, seed, &with);
    }
  late = 1 - (double)with.in_time / with.streams;
  late_without = 1 - (double)without.in_time / without.streams;
  cr_log_info ("late: %.4f, without a goal for gaps %.4f", late, late_without);
  cr_expect (late < part * late_without, "%.4f, without %.4f", late,
             late_without);
  cr_expect (with.reports_of_others == 0, "%u", with.reports_of_others);
}

/* The replica got as many streams as the others, and they were late.  What
   remains are mainly those that run there at the start.  Prompts that come
   together at another replica must not look like slowness. */
Test (pace_fleet, quarter_of_the_speed) { compare_late_parts (4, 16, 0.95); }

/* The replica stalled at some nodes, while the others went on sending. */
Test (pace_fleet, twelfth_of_the_speed) { compare_late_parts (12, 16, 0.95); }
