/*
 * Distribution of long prompts over few replicas by several request
 * dispatchers.
 *
 * The load: nine nodes, five replicas (a sixth is being formed again), sixty
 * streams per second, prompts of a few hundred to 5,880 tokens. A replica
 * processes all new prompts in one pass, at 56 tokens per millisecond, and all
 * its streams pause for the duration of the pass. Clients accept pauses of 250
 * ms. The nodes exchange load reports every 100 ms, as they do over their
 * links.
 */
#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "serve/dispatch.h"

#define NODES 9
#define REPLICAS 5
#define STREAMS 2000
#define SLOTS 26
#define STREAMS_PER_S 60.0
#define PREFILL_PER_MS 56.0
#define PASS_MS 46.0     /* duration of a pass without prompts */
#define MAX_PAUSE_MS 250 /* longest pause that clients accept */
#define LOAD_INTERVAL_MS 100
#define RUN_MS 20000

struct stream
{
  unsigned node, attempt;
  int replica; /* -1: ended */
  double prompt;
  unsigned events_left;
  bool prefilled;
};

struct replica
{
  char name[8];
  double pass_ends_at; /* end of the current pass */
  unsigned pausing;    /* streams delayed by the pass */
};

struct fleet
{
  struct dsp *nodes[NODES];
  struct replica replicas[REPLICAS];
  struct stream streams[STREAMS];
  unsigned n;
  struct tbl *config;
  struct rng rng;
  clk_ms now;
  bool notices;
  unsigned late_pauses, passes; /* pauses of a stream for too long */
};

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
                           .latency_goal_ms = 400,
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
  struct dsp_options opt = { .zone = STR ("z"),
                             .retry_ratio = 0.2,
                             .retry_slack = 10,
                             .retry_window_ms = 10000,
                             .stall_ms = 4000 };
  struct dsp_endpoint endpoints[REPLICAS];

  f->now = 100000;
  f->config = make_config ();
  rng_seed (&f->rng, 5);
  for (int i = 0; i < REPLICAS; i++)
    {
      snprintf (f->replicas[i].name, sizeof f->replicas[i].name, "r%d", i);
      endpoints[i]
          = (struct dsp_endpoint){ .server = str_from (f->replicas[i].name),
                                   .service = STR ("lm"),
                                   .model = STR ("m"),
                                   .zone = STR ("z"),
                                   .capacity = SLOTS,
                                   .prefill_per_ms = PREFILL_PER_MS,
                                   .accepting = true };
    }
  for (unsigned i = 0; i < NODES; i++)
    {
      f->nodes[i] = dsp_new (&opt, i + 1);
      dsp_set_node_count (f->nodes[i], f->now, NODES, NODES);
      dsp_set_endpoints (f->nodes[i], f->now, endpoints, REPLICAS);
    }
}

/** Executes the actions of a node; only DSP_ACT_SEND affects the replicas. */
static void
execute_actions (struct fleet *f, unsigned node)
{
  struct dsp_action a;

  while (dsp_next_action (f->nodes[node], &a))
    if (a.kind == DSP_ACT_SEND)
      {
        struct stream *s = &f->streams[a.id];
        s->attempt = a.attempt;
        for (int i = 0; i < REPLICAS; i++)
          if (str_is (a.server, f->replicas[i].name))
            s->replica = i;
        dsp_request_sent (f->nodes[node], f->now, a.id, a.attempt);
      }
}

static void
send_notices (struct fleet *f, unsigned from)
{
  size_t n;
  const struct dsp_prompt_notice *list = dsp_take_notices (f->nodes[from], &n);

  for (unsigned i = 0; f->notices && n > 0 && i < NODES; i++)
    if (i != from)
      dsp_receive_notices (f->nodes[i], f->now, list, n);
}

static void
send_loads (struct fleet *f, unsigned from)
{
  size_t n;
  const struct dsp_endpoint_load *own = dsp_own_load (f->nodes[from], &n);

  for (unsigned i = 0; i < NODES; i++)
    if (i != from)
      dsp_set_peer_load (f->nodes[i], f->now, f->now, from + 1, own, n);
}

/** Mostly a few hundred tokens; about one in ten is several thousand. */
static double
draw_prompt (struct fleet *f)
{
  double x = 700
             * exp (1.2
                    * (rng_unit (&f->rng) + rng_unit (&f->rng)
                       + rng_unit (&f->rng) - 1.5)
                    * 2);

  return x < 5880 ? floor (x) + 1 : 5880;
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

  s->node = (unsigned)rng_below (&f->rng, NODES);
  s->replica = -1;
  s->prompt = q.prompt_tokens = draw_prompt (f);
  s->events_left = 3 + (unsigned)rng_below (&f->rng, 30);
  dsp_submit (f->nodes[s->node], f->now, &q);
  execute_actions (f, s->node);
  send_notices (f, s->node);
}

/** Sends an event to each stream of the replica; the next pass processes the
    prompts that have arrived. */
static void
run_pass (struct fleet *f, int r)
{
  double tokens = 0;
  unsigned running = 0;

  for (unsigned id = 0; id < f->n; id++)
    {
      struct stream *s = &f->streams[id];
      if (s->replica != r)
        continue;
      if (s->prefilled)
        dsp_data_received (f->nodes[s->node], f->now, id, s->attempt, true);
      if (s->prefilled && --s->events_left == 0)
        {
          s->replica = -1;
          dsp_response_complete (f->nodes[s->node], f->now, id, s->attempt);
        }
      execute_actions (f, s->node);
      running += s->replica == r && s->prefilled;
      tokens += s->replica == r && !s->prefilled ? s->prompt : 0;
      s->prefilled = true;
    }
  double ms = PASS_MS + tokens / PREFILL_PER_MS;
  f->replicas[r].pass_ends_at = (double)f->now + ms;
  f->passes++;
  f->late_pauses += ms > MAX_PAUSE_MS ? running : 0;
}

static unsigned
count_late_pauses (bool notices)
{
  static struct fleet f;
  double next = 0;

  memset (&f, 0, sizeof f);
  f.notices = notices;
  start_fleet (&f);
  for (int t = 0; t < RUN_MS; t++)
    {
      f.now++;
      for (; next <= t && f.n < STREAMS;
           next += -log (1 - rng_unit (&f.rng)) * 1000 / STREAMS_PER_S)
        arrive (&f);
      for (int r = 0; r < REPLICAS; r++)
        if ((double)f.now >= f.replicas[r].pass_ends_at)
          run_pass (&f, r);
      for (unsigned i = 0; i < NODES; i++)
        {
          if (t % LOAD_INTERVAL_MS == (int)i * LOAD_INTERVAL_MS / NODES)
            send_loads (&f, i);
          if (t % 20 == 0)
            dsp_tick (f.nodes[i], f.now);
          execute_actions (&f, i);
        }
    }
  for (unsigned i = 0; i < NODES; i++)
    dsp_free (f.nodes[i]);
  tbl_unref (f.config);
  return f.late_pauses;
}

/*
 * Guards against two nodes that send long prompts to the same replica within
 * the tenth of a second between load reports, so that a dozen streams there
 * pause for too long. A notice sent with each long prompt directs the next one
 * to another replica.
 */
Test (prompts, notices_spread_long_prompts)
{
  unsigned without = count_late_pauses (false);
  unsigned with = count_late_pauses (true);

  cr_log_info ("%u late pauses without notices, %u with", without, with);
  cr_expect (without >= 20, "only %u without", without);
  cr_expect (2 * with < without, "%u with, %u without", with, without);
}
