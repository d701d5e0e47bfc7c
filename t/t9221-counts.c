/*
 * Counts of requests at the servers of a plain service, as many nodes know
 * them: each node learns of the requests of the others every 100 ms, later
 * than most of them last.
 *
 * The load: three servers of six slots each, in three zones with the nodes,
 * half of the slots in use, requests of 30 to 90 ms.  A server rejects what
 * finds no slot and no room to wait.  One node adds the counts of all up, as
 * the aggregator of a large fleet does.
 */
#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "serve/dispatch.h"
#include "t/lib-dispatch.h"

#define MAX_NODES 116
#define SERVERS 3
#define SLOTS 6
#define MEAN_MS 60.0
#define USED 0.5 /* part of the slots */
#define COUNT_INTERVAL_MS 100
#define RUN_MS 25000
#define MAX_REQUESTS 8000

enum request_state
{
  ENDED,
  SENT,
  WAITING,
  RUNNING
};

struct request
{
  enum request_state state;
  unsigned node, attempt;
  int server;
  double ends_at;
};

struct server
{
  char name[8];
  unsigned running;
  unsigned waiting[SLOTS]; /* ids */
  unsigned nwaiting;
};

struct fleet
{
  struct dsp *nodes[MAX_NODES];
  unsigned nnodes;
  /* loads as last reported to the aggregator */
  struct dsp_endpoint_load reported[MAX_NODES][SERVERS];
  size_t nreported[MAX_NODES];
  struct server servers[SERVERS];
  unsigned room; /* requests that may wait at a server */
  int zones;     /* 3: one for each server; 1: the same for all */
  struct request requests[MAX_REQUESTS];
  unsigned n, rejected;
  struct tbl *config;
  struct rng rng;
  clk_ms now;
};

static struct tbl *
make_config (void)
{
  struct tbl *t = tbl_new ();
  struct tbl_service *s = arena_alloc (&t->arena, 1, sizeof *s);
  struct tbl_route *r = arena_alloc (&t->arena, 1, sizeof *r);
  struct tbl_target *to = arena_alloc (&t->arena, 1, sizeof *to);

  s->name = STR ("app");
  *to = (struct tbl_target){ s, 1 };
  *r = (struct tbl_route){ .name = STR ("safe"),
                           .prefix = STR ("/"),
                           .kind = TBL_IDEMPOTENT,
                           .latency_goal_ms = 200,
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
start_fleet (struct fleet *f)
{
  static const char *const zones[] = { "a", "b", "c" };
  struct dsp_options opt
      = { .retry_ratio = 0.2, .retry_slack = 10, .retry_window_ms = 10000 };
  struct dsp_endpoint endpoints[SERVERS];

  f->now = 100000;
  f->config = make_config ();
  rng_seed (&f->rng, 7);
  for (int i = 0; i < SERVERS; i++)
    {
      snprintf (f->servers[i].name, sizeof f->servers[i].name, "p%d", i);
      endpoints[i]
          = (struct dsp_endpoint){ .server = str_from (f->servers[i].name),
                                   .service = STR ("app"),
                                   .zone = str_from (zones[i % f->zones]),
                                   .capacity = SLOTS,
                                   .accepting = true };
    }
  for (unsigned i = 0; i < f->nnodes; i++)
    {
      opt.zone = str_from (zones[(int)i % f->zones]);
      f->nodes[i] = dsp_new (&opt, i + 1);
      dsp_set_node_count (f->nodes[i], f->now, f->nnodes, f->nnodes);
      dsp_set_endpoints (f->nodes[i], f->now, endpoints, SERVERS);
    }
}

static void
execute_actions (struct fleet *f, unsigned node)
{
  struct dsp_action a;

  while (dsp_next_action (f->nodes[node], &a))
    if (a.kind == DSP_ACT_SEND)
      {
        struct request *q = &f->requests[a.id];
        q->attempt = a.attempt;
        q->state = SENT;
        for (int i = 0; i < SERVERS; i++)
          if (str_is (a.server, f->servers[i].name))
            q->server = i;
        dsp_request_sent (f->nodes[node], f->now, a.id, a.attempt);
      }
    else if (a.kind == DSP_ACT_RESPOND_ERROR)
      f->rejected++;
}

static void
run_request (struct fleet *f, unsigned id)
{
  struct request *q = &f->requests[id];

  f->servers[q->server].running++;
  q->state = RUNNING;
  q->ends_at = (double)f->now + MEAN_MS * (0.5 + rng_unit (&f->rng));
}

/** A request reaches its server. */
static void
accept_request (struct fleet *f, unsigned id)
{
  struct request *q = &f->requests[id];
  struct server *s = &f->servers[q->server];

  if (s->running < SLOTS)
    {
      run_request (f, id);
      return;
    }
  if (s->nwaiting < f->room)
    {
      s->waiting[s->nwaiting++] = id;
      q->state = WAITING;
      return;
    }
  q->state = ENDED;
  dsp_response_load (f->nodes[q->node], f->now, id, q->attempt, s->running,
                     s->nwaiting);
  dsp_response_head (f->nodes[q->node], f->now, id, q->attempt,
                     DSP_RESPONSE_NOT_EXECUTED);
  execute_actions (f, q->node);
}

static void
finish_request (struct fleet *f, unsigned id)
{
  struct request *q = &f->requests[id];
  struct server *s = &f->servers[q->server];
  struct dsp *d = f->nodes[q->node];

  s->running--;
  q->state = ENDED;
  if (s->nwaiting)
    {
      run_request (f, s->waiting[0]);
      memmove (s->waiting, s->waiting + 1, --s->nwaiting * sizeof *s->waiting);
    }
  dsp_response_load (d, f->now, id, q->attempt, s->running, s->nwaiting);
  dsp_response_head (d, f->now, id, q->attempt, DSP_RESPONSE_OK);
  dsp_response_complete (d, f->now, id, q->attempt);
  execute_actions (f, q->node);
}

static void
arrive (struct fleet *f)
{
  unsigned id = f->n++;
  struct request *q = &f->requests[id];
  struct dsp_request in = { .id = id,
                            .route = &f->config->routes[0],
                            .config = f->config,
                            .service = &f->config->services[0],
                            .deadline = f->now + 2000 };

  cr_assert (f->n < MAX_REQUESTS);
  q->node = (unsigned)rng_below (&f->rng, f->nnodes);
  dsp_submit (f->nodes[q->node], f->now, &in);
  execute_actions (f, q->node);
}

/** Adds the loads up and sends the sum to all nodes, without their own. */
static void
send_sums (struct fleet *f)
{
  struct dsp_endpoint_load sum[SERVERS] = { 0 };

  for (int s = 0; s < SERVERS; s++)
    {
      sum[s].endpoint
          = dsp_endpoint_hash (str_from (f->servers[s].name), 0, 0);
      for (unsigned i = 0; i < f->nnodes; i++)
        for (size_t k = 0; k < f->nreported[i]; k++)
          if (f->reported[i][k].endpoint == sum[s].endpoint)
            sum[s].in_flight += f->reported[i][k].in_flight;
    }
  for (unsigned i = 0; i < f->nnodes; i++)
    {
      struct dsp_endpoint_load others[SERVERS];
      memcpy (others, sum, sizeof others);
      for (int s = 0; s < SERVERS; s++)
        for (size_t k = 0; k < f->nreported[i]; k++)
          if (f->reported[i][k].endpoint == others[s].endpoint)
            others[s].in_flight -= f->reported[i][k].in_flight;
      dsp_set_peer_load (f->nodes[i], f->now, f->now, 0, others, SERVERS);
      execute_actions (f, i);
    }
}

static void
exchange_counts (struct fleet *f, int t)
{
  for (unsigned i = 0; i < f->nnodes; i++)
    if ((t + (int)i * 37) % COUNT_INTERVAL_MS == 0)
      {
        const struct dsp_endpoint_load *own
            = dsp_own_load (f->nodes[i], &f->nreported[i]);
        memcpy (f->reported[i], own, f->nreported[i] * sizeof *own);
      }
  if (t % COUNT_INTERVAL_MS == COUNT_INTERVAL_MS / 2)
    send_sums (f);
}

/** @return  the part of the requests that are rejected */
static double
rejected_part (unsigned nodes, unsigned room, int zones)
{
  static struct fleet f;
  double next = 0, part;

  memset (&f, 0, sizeof f);
  f.nnodes = nodes;
  f.room = room;
  f.zones = zones;
  start_fleet (&f);
  for (int t = 0; t < RUN_MS; t++)
    {
      f.now++;
      for (unsigned id = 0; id < f.n; id++)
        if (f.requests[id].state == SENT)
          accept_request (&f, id);
        else if (f.requests[id].state == RUNNING
                 && (double)f.now >= f.requests[id].ends_at)
          finish_request (&f, id);
      for (; next <= t; next += -log (1 - rng_unit (&f.rng)) * MEAN_MS
                                / (USED * SERVERS * SLOTS))
        arrive (&f);
      for (unsigned i = 0; i < nodes; i++)
        if (f.now >= dsp_next_tick (f.nodes[i]))
          {
            dsp_tick (f.nodes[i], f.now);
            execute_actions (&f, i);
          }
      exchange_counts (&f, t);
    }
  part = (double)f.rejected / f.n;
  for (unsigned i = 0; i < nodes; i++)
    dsp_free (f.nodes[i]);
  tbl_unref (f.config);
  return part;
}

/* All nodes chose the server that had the most free slots in the last counts,
   and a tenth of the requests were rejected while half of all slots were free.
   Independent choices reject about 0.015: the retry budget of a node allows
   one retry in 10 s. */
Test (counts, many_nodes_spread_requests)
{
  double at_84 = rejected_part (84, 0, 3);
  double at_116 = rejected_part (116, 0, 3);

  cr_expect (at_84 < 0.03, "84 nodes: %.4f", at_84);
  cr_expect (at_116 < 0.03, "116 nodes: %.4f", at_116);
}

/* The same with servers that let one request wait: 0.04 were rejected. */
Test (counts, many_nodes_with_waiting_room)
{
  double part = rejected_part (100, 1, 3);

  cr_expect (part < 0.01, "%.4f", part);
}

/* In one zone, nodes that knew nothing of each other chose the first server of
   two with equal counts. */
Test (counts, chance_decides_between_equal_counts)
{
  double part = rejected_part (100, 0, 1);

  cr_expect (part < 0.03, "%.4f", part);
}

/* A full server must not get the requests of this node until the next counts
   of the other nodes say so. */
Test (counts, report_of_a_full_server)
{
  dispatch_play ("replicas s 2 4\n submit 1 stream\n sent 1\n load 1 4 1\n"
                 "submit 2 stream\n submit 3 stream\n submit 4 stream\n"
                 "submit 5 stream\n submit 6 stream\n run 40\n",
                 "send 1 s1\nsend 2 s2\nsend 3 s2\nsend 4 s2\nsend 5 s2\n"
                 "send 6 s2\n");
}

/* A report says nothing of the time after it: the endpoint must get requests
   again, also if the nodes' counts never show the reported ones. */
Test (counts, old_report_is_not_used)
{
  dispatch_play ("replicas s 2 4\n submit 1 stream\n sent 1\n load 1 4 1\n"
                 "run 200\n submit 2 stream\n submit 3 stream\n",
                 "send 1 s1\nsend 2 s2\nsend 3 s1\n");
}

/* A report that is lower than the counts must not lower them: other nodes'
   requests may be on their way. */
Test (counts, low_report_is_not_used)
{
  dispatch_play ("replicas s 2 4\n submit 1 stream\n sent 1\n"
                 "peer-load s1 5 5\n load 1 0 0\n submit 2 stream\n"
                 "submit 3 stream\n",
                 "send 1 s1\nsend 2 s2\nsend 3 s2\n");
}
