#include "builtin/bench.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "builtin/commands.h"
#include "lapisline.h"
#include "serve/dispatch.h"

/*
 * Days on which many backend servers ask for a pause: the dispatchers of all
 * nodes in one process, with simulated servers and clients.  Part of the
 * servers reject all requests for some seconds and name a pause in each
 * rejection.  The same day is run with the pauses ignored and respected.
 */

#define STREAM_GOAL_MS ((clk_ms)400)
#define DEADLINE_MS ((clk_ms)6000)
#define HOP_MS ((clk_ms)1)
#define FIRST_EVENT_MS ((clk_ms)100)
#define EVENT_MS ((clk_ms)50)
#define SERVICE_MS 1000.0 /* mean duration of a run */
#define LOAD_INTERVAL_MS ((clk_ms)100)
/** Time that a node has to apply a pause. */
#define GRACE_MS ((clk_ms)500)
/** Value of a late response; one in time is worth 1. */
#define LATE_WORTH 0.4
#define REJECTING_FROM_MS ((clk_ms)6000)
#define ARRIVALS_END_MS ((clk_ms)30000)
#define END_MS (ARRIVALS_END_MS + 2 * DEADLINE_MS)

#define MAX_NODES 400
#define MAX_SERVERS 400

static gint nnodes = 8, nservers = 12, capacity = 26, seed = 1;
static gdouble rate = 160, share = 0.5, pause_s = 3, rejecting_s = 9;

static const GOptionEntry entries[]
    = { { "nodes", 0, 0, G_OPTION_ARG_INT, &nnodes, "nodes (8)", "N" },
        { "servers", 0, 0, G_OPTION_ARG_INT, &nservers, "replicas (12)", "N" },
        { "capacity", 0, 0, G_OPTION_ARG_INT, &capacity,
          "concurrent requests of a replica (26)", "N" },
        { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate, "requests a second (160)",
          "R" },
        { "share", 0, 0, G_OPTION_ARG_DOUBLE, &share,
          "part of the replicas that ask for pauses (0.5)", "P" },
        { "pause", 0, 0, G_OPTION_ARG_DOUBLE, &pause_s,
          "length of a pause (3)", "SECONDS" },
        { "for", 0, 0, G_OPTION_ARG_DOUBLE, &rejecting_s,
          "time for which they ask (9)", "SECONDS" },
        { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "seed", "N" },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

/** A client's request, with its repeat. */
struct client
{
  clk_ms began_at, submitted_at;
  int node;
  unsigned tries;
  unsigned attempt;   /* the current one; 0: none */
  clk_ms first_event; /* 0: none */
};

enum step
{
  STEP_SUBMIT,
  STEP_CONNECTED,
  STEP_ARRIVED,
  STEP_REJECTED,
  STEP_EVENT,
  STEP_COMPLETE
};

struct event
{
  struct event *next;
  enum step step;
  size_t client;
  unsigned attempt;
  int server;
  bool paused; /* REJECTED: the response names a pause */
  clk_ms runs_until;
};

/** The last pause that a server asked a node for. */
struct asked
{
  clk_ms from, to;
  unsigned arrivals;
};

struct figures
{
  unsigned requests, in_time, late, refused, failed;
  unsigned rejections; /* by servers that had asked for a pause */
  unsigned max_in_pause;
  unsigned back_early; /* repeats after Retry-After that were rejected because
                          of pauses again */
  double wait_ms;      /* of rejected clients until the rejection, sum */
  unsigned waits;
};

struct day
{
  clk_ms now;
  struct rng arrivals, rng; /* the same arrivals on both days */
  struct tbl *config;
  struct dsp *dsp[MAX_NODES];
  struct avl *avl[MAX_NODES];
  struct lim *lim[MAX_NODES];
  struct psn *psn[MAX_NODES];
  struct dsp_endpoint endpoints[MAX_SERVERS];
  char names[MAX_SERVERS][16];
  unsigned running[MAX_SERVERS];
  struct asked asked[MAX_NODES][MAX_SERVERS];
  struct event *due[END_MS + 1], *last[END_MS + 1];
  GArray *clients; /* struct client */
  struct figures f;
};

static struct client *
client_at (const struct day *d, uint64_t id)
{
  return &g_array_index (d->clients, struct client, (guint)id);
}

static void
schedule (struct day *d, clk_ms delay, const struct event *e)
{
  clk_ms at = d->now + (delay > 0 ? delay : 1);
  struct event *copy;

  if (at > END_MS)
    return;
  copy = xcalloc (1, sizeof *copy);
  *copy = *e;
  copy->next = NULL;
  if (d->last[at])
    d->last[at]->next = copy;
  else
    d->due[at] = copy;
  d->last[at] = copy;
}

/* --- setup --------------------------------------------------------------- */

static struct tbl *
make_config (void)
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
                           .latency_goal_ms = STREAM_GOAL_MS,
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
start_node (struct day *d, int node, bool respect)
{
  struct dsp_options opt = { .zone = STR ("z"),
                             .retry_ratio = 0.2,
                             .retry_slack = 130,
                             .retry_window_ms = 10000,
                             .stall_ms = 4000 };

  opt.poison = d->psn[node] = psn_new ();
  opt.limits = d->lim[node] = lim_new (1);
  opt.avail = d->avl[node] = respect ? avl_new () : NULL;
  d->dsp[node] = dsp_new (&opt, (uint64_t)seed * 1000 + (uint64_t)node);
  dsp_set_node_count (d->dsp[node], d->now, (unsigned)nnodes,
                      (unsigned)nnodes);
  dsp_set_endpoints (d->dsp[node], d->now, d->endpoints, (size_t)nservers);
}

static struct day *
day_new (bool respect)
{
  struct day *d = xcalloc (1, sizeof *d);

  d->now = 1;
  rng_seed (&d->arrivals, (uint64_t)seed);
  rng_seed (&d->rng, (uint64_t)seed + 1);
  d->config = make_config ();
  d->clients = g_array_new (FALSE, TRUE, sizeof (struct client));
  for (int i = 0; i < nservers; i++)
    {
      snprintf (d->names[i], sizeof d->names[i], "s%d", i);
      d->endpoints[i]
          = (struct dsp_endpoint){ .server = str_from (d->names[i]),
                                   .service = STR ("lm"),
                                   .model = STR ("m"),
                                   .zone = STR ("z"),
                                   .capacity = (unsigned)capacity,
                                   .accepting = true };
    }
  for (int i = 0; i < nnodes; i++)
    start_node (d, i, respect);
  return d;
}

static void
day_free (struct day *d)
{
  for (int i = 0; i < nnodes; i++)
    {
      dsp_free (d->dsp[i]);
      psn_free (d->psn[i]);
      lim_free (d->lim[i]);
      if (d->avl[i])
        avl_free (d->avl[i]);
    }
  g_array_free (d->clients, TRUE);
  tbl_unref (d->config);
  free (d);
}

/* --- clients ------------------------------------------------------------- */

static void
submit (struct day *d, uint64_t id)
{
  struct client *c = client_at (d, id);
  struct dsp_request q = { .id = id,
                           .route = d->config->routes,
                           .config = d->config,
                           .service = d->config->services,
                           .model = STR ("m"),
                           .priority = 1,
                           .deadline = c->began_at + DEADLINE_MS,
                           .waited_ms = d->now - c->began_at,
                           .prompt_tokens = 500,
                           .max_output_tokens = 100,
                           .digest = id + 1 };

  c->node = (int)(rng_unit (&d->rng) * nnodes);
  c->submitted_at = d->now;
  c->tries++;
  dsp_submit (d->dsp[c->node], d->now, &q);
}

static void
arrive (struct day *d)
{
  struct client c = { .began_at = d->now };
  double n = rate / 1000 + rng_unit (&d->arrivals);

  for (int i = 0; i + 1 <= n; i++)
    {
      g_array_append_val (d->clients, c);
      d->f.requests++;
      schedule (d, 0,
                &(struct event){ .step = STEP_SUBMIT,
                                 .client = d->clients->len - 1 });
    }
}

/** A client repeats once, after the delay that it was given, but no later than
    a third of its remaining time. */
static void
reject (struct day *d, const struct dsp_action *a)
{
  struct client *c = client_at (d, a->id);
  clk_ms left = c->began_at + DEADLINE_MS - d->now, delay = a->retry_after_ms;

  d->f.wait_ms += (double)(d->now - c->submitted_at);
  d->f.waits++;
  d->f.back_early += c->tries > 1 && a->code == DSP_PAUSED;
  c->attempt = 0;
  if (c->tries > 1 || left <= 0 || dsp_code_status (a->code) != 503)
    {
      d->f.refused += dsp_code_status (a->code) == 503;
      d->f.failed += dsp_code_status (a->code) != 503;
      return;
    }
  schedule (d, delay < left / 3 ? delay : left / 3,
            &(struct event){ .step = STEP_SUBMIT, .client = a->id });
}

static void
complete (struct day *d, uint64_t id)
{
  const struct client *c = client_at (d, id);

  if (c->first_event - c->began_at <= STREAM_GOAL_MS)
    d->f.in_time++;
  else
    d->f.late++;
}

static void
take_actions (struct day *d, int node)
{
  struct dsp_action a;

  while (dsp_next_action (d->dsp[node], &a))
    if (a.kind == DSP_ACT_SEND)
      {
        client_at (d, a.id)->attempt = a.attempt;
        schedule (d, HOP_MS,
                  &(struct event){ .step = STEP_CONNECTED,
                                   .client = a.id,
                                   .attempt = a.attempt,
                                   .server = atoi (a.server.ptr + 1) });
      }
    else if (a.kind == DSP_ACT_CANCEL
             && client_at (d, a.id)->attempt == a.attempt)
      client_at (d, a.id)->attempt = 0;
    else if (a.kind == DSP_ACT_RESPOND_ERROR)
      reject (d, &a);
    else if (a.kind == DSP_ACT_TRUNCATE)
      d->f.failed++;
    else if (a.kind == DSP_ACT_COMPLETE)
      complete (d, a.id);
}

/* --- servers ------------------------------------------------------------- */

static bool
is_rejecting (const struct day *d, int server)
{
  return server < (int)ceil (share * nservers) && d->now >= REJECTING_FROM_MS
         && d->now < REJECTING_FROM_MS + (clk_ms)(rejecting_s * 1000);
}

static void
count_in_pause (struct day *d, int node, int server)
{
  struct asked *x = &d->asked[node][server];

  if (d->now < x->from || d->now >= x->to)
    return;
  x->arrivals++;
  if (x->arrivals > d->f.max_in_pause)
    d->f.max_in_pause = x->arrivals;
}

static void
at_server (struct day *d, struct event *e)
{
  int node = client_at (d, e->client)->node;
  struct asked *x = &d->asked[node][e->server];

  count_in_pause (d, node, e->server);
  e->paused = is_rejecting (d, e->server);
  d->f.rejections += e->paused;
  if (e->paused && d->now >= x->to)
    *x = (struct asked){ d->now + GRACE_MS, d->now + (clk_ms)(pause_s * 1000),
                         0 };
  if (e->paused || d->running[e->server] >= (unsigned)capacity)
    {
      e->step = STEP_REJECTED;
      schedule (d, HOP_MS, e);
      return;
    }
  d->running[e->server]++;
  e->step = STEP_EVENT;
  e->runs_until = d->now + FIRST_EVENT_MS
                  + (clk_ms)(-SERVICE_MS * log (1 - rng_unit (&d->rng)));
  schedule (d, FIRST_EVENT_MS, e);
}

/** The next event of a run, and its end.  A run whose attempt was given up
    ends at once. */
static void
next_event (struct day *d, struct event *e)
{
  struct client *c = client_at (d, e->client);
  struct dsp *dsp = d->dsp[c->node];

  if (c->attempt != e->attempt)
    {
      d->running[e->server]--;
      return;
    }
  if (e->runs_until - d->now <= 0)
    {
      d->running[e->server]--;
      c->attempt = 0;
      dsp_response_complete (dsp, d->now, e->client, e->attempt);
      return;
    }
  if (!c->first_event)
    {
      c->first_event = d->now;
      dsp_response_head (dsp, d->now, e->client, e->attempt, DSP_RESPONSE_OK);
    }
  dsp_data_received (dsp, d->now, e->client, e->attempt, true);
  schedule (d, EVENT_MS, e);
}

static void
rejected (struct day *d, const struct event *e)
{
  int node = client_at (d, e->client)->node;
  struct avl_notice notice = { .retry_after_ms = (clk_ms)(pause_s * 1000) };

  if (e->paused && d->avl[node])
    avl_on_notice (d->avl[node], d->now,
                   dsp_endpoint_hash (str_from (d->names[e->server]), 0, 0),
                   &notice);
  dsp_response_head (d->dsp[node], d->now, e->client, e->attempt,
                     DSP_RESPONSE_NOT_EXECUTED);
}

static void
run_event (struct day *d, struct event *e)
{
  struct client *c = client_at (d, e->client);

  if (e->step == STEP_SUBMIT)
    submit (d, e->client);
  else if (e->step == STEP_CONNECTED && c->attempt == e->attempt
           && dsp_request_sent (d->dsp[c->node], d->now, e->client,
                                e->attempt))
    {
      e->step = STEP_ARRIVED;
      schedule (d, HOP_MS, e);
    }
  else if (e->step == STEP_ARRIVED)
    at_server (d, e);
  else if (e->step == STEP_REJECTED && c->attempt == e->attempt)
    rejected (d, e);
  else if (e->step == STEP_EVENT)
    next_event (d, e);
  take_actions (d, client_at (d, e->client)->node);
}

/* --- the day ------------------------------------------------------------- */

/** Each node learns the load of all others together. */
static void
exchange_loads (struct day *d)
{
  struct dsp_endpoint_load *sum = xcalloc ((size_t)nservers, sizeof *sum),
                           *others;
  GHashTable *at = g_hash_table_new (g_int64_hash, g_int64_equal);

  others = xcalloc ((size_t)nservers, sizeof *others);
  for (int s = 0; s < nservers; s++)
    {
      sum[s].endpoint = dsp_endpoint_hash (str_from (d->names[s]), 0, 0);
      sum[s].last_event_at = d->now;
      g_hash_table_insert (at, &sum[s].endpoint, &sum[s]);
    }
  for (int pass = 0; pass < 2; pass++)
    for (int i = 0; i < nnodes; i++)
      {
        size_t n;
        const struct dsp_endpoint_load *own = dsp_own_load (d->dsp[i], &n);
        memcpy (others, sum, (size_t)nservers * sizeof *others);
        for (size_t k = 0; k < n; k++)
          {
            struct dsp_endpoint_load *x
                = g_hash_table_lookup (at, &own[k].endpoint);
            struct dsp_endpoint_load *to = pass ? &others[x - sum] : x;
            int sign = pass ? -1 : 1;
            to->in_flight += (uint32_t)(sign * (int)own[k].in_flight);
            to->streaming += (uint32_t)(sign * (int)own[k].streaming);
            to->pending_prefill
                += (uint32_t)(sign * (int)own[k].pending_prefill);
          }
        if (pass)
          dsp_set_peer_load (d->dsp[i], d->now, d->now, 1, others,
                             (size_t)nservers);
      }
  for (int i = 0; i < nnodes; i++)
    take_actions (d, i);
  g_hash_table_destroy (at);
  free (sum);
  free (others);
}

static void
step (struct day *d)
{
  struct event *e;

  while ((e = d->due[d->now]) != NULL)
    {
      d->due[d->now] = e->next;
      run_event (d, e);
      free (e);
    }
  if (d->now < ARRIVALS_END_MS)
    arrive (d);
  for (int i = 0; i < nnodes; i++)
    if (d->now >= dsp_next_tick (d->dsp[i]))
      {
        dsp_tick (d->dsp[i], d->now);
        take_actions (d, i);
      }
  if (d->now % LOAD_INTERVAL_MS == 0)
    exchange_loads (d);
}

static void
run_day (bool respect)
{
  struct day *d = day_new (respect);
  const struct figures *f = &d->f;
  double n;

  for (; d->now <= END_MS; d->now++)
    step (d);
  n = f->requests ? f->requests : 1;
  printf ("%-10s  %7u  %6.3f  %6.3f  %6.3f  %6.3f  %6.3f  %9u  %6u  %7.0f  "
          "%6.3f\n",
          respect ? "respected" : "ignored", f->requests,
          (f->in_time + LATE_WORTH * f->late) / n, (f->in_time + f->late) / n,
          f->in_time / n, f->refused / n, f->failed / n, f->rejections,
          f->max_in_pause, f->waits ? f->wait_ms / f->waits : 0,
          f->back_early / n);
  day_free (d);
}

int
bench_pauses (int argc, char **argv)
{
  if (!commands_options (entries, "- days on which servers ask for pauses",
                         NULL, &argc, &argv))
    return EXIT_USAGE;
  if (nnodes < 1 || nnodes > MAX_NODES || nservers < 1
      || nservers > MAX_SERVERS || capacity < 1 || rate <= 0 || rate > 10000
      || share < 0 || share > 1 || pause_s <= 0 || rejecting_s <= 0)
    {
      fputs ("lapisline bench pauses: a number is out of range\n", stderr);
      return EXIT_USAGE;
    }
  bench_banner ("pauses", (uint64_t)seed);
  printf ("%d nodes, %d replicas of %d slots, %.0f requests/s; %.0f%% of the "
          "replicas ask for %.1f s, for %.1f s\n",
          nnodes, nservers, capacity, rate, 100 * share, pause_s, rejecting_s);
  printf ("%-10s  %7s  %6s  %6s  %6s  %6s  %6s  %9s  %6s  %7s  %6s\n",
          "pauses", "arrived", "worth", "served", "intime", "refuse", "failed",
          "rejection", "most", "wait ms", "early");
  run_day (false);
  run_day (true);
  return EXIT_DONE;
}
