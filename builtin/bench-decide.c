#include "builtin/bench.h"

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "builtin/commands.h"
#include "builtin/stats.h"
#include "lapisline.h"
#include "proto/wire.pb-c.h"
#include "route/core.h"
#include "route/slots.h"

#define CAPACITY 16
#define QUEUED 100000
#define MOST_RUNS 25

static gint requests = 50000, runs = 5;

static const GOptionEntry entries[]
    = { { "requests", 0, 0, G_OPTION_ARG_INT, &requests, "per run (50000)",
          "N" },
        { "runs", 0, 0, G_OPTION_ARG_INT, &runs, "runs per row (5)", "N" },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

struct figures
{
  double choose_us; /**< processor time of one choice */
  double life_us;   /**< of all events of one request */
  double report_us; /**< of one list of replicas */
};

struct fleet
{
  struct rt *rt;
  struct rt_replica *list;
  char (*names)[24];
  size_t n;
  clk_ms now;
};

static double
processor_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static struct cfg *
make_config (void)
{
  struct fnd_list findings = { 0 };
  struct cfg *cfg = cfg_parse (
      STR ("{\"models\":{\"lm\":{\"mode\":\"route\",\"vms\":1,"
           "\"capacity\":16}},"
           "\"limits\":{\"max_queue\":1000000,\"queue_ms\":3600000},"
           "\"accounts\":{\"a\":{\"key_digests\":[],\"may\":[\"*\"],"
           "\"priority\":0}}}"),
      1, &findings);
  fnd_free (&findings);
  return cfg;
}

static void
drain (struct fleet *f)
{
  struct rt_action a;
  while (rt_next (f->rt, &a))
    ;
}

static void
report (struct fleet *f)
{
  for (size_t i = 0; i < f->n; i++)
    {
      f->list[i].load = (uint32_t)(1000 * ((i * 7 + (size_t)f->now) % 12));
      f->list[i].load_at = f->now;
      f->list[i].valid_until = f->now + 10000;
    }
  struct rt_event ev
      = { .kind = RT_EV_REPLICAS, .replicas = f->list, .n = f->n };
  rt_event (f->rt, f->now, &ev);
  drain (f);
}

static void
fleet_start (struct fleet *f, size_t n)
{
  struct rt_options opt = { STR ("z0"), STR ("entry-0"), 330 };
  struct cfg *cfg = make_config ();
  *f = (struct fleet){ .rt = rt_new (&opt, 1), .n = n, .now = 1 };
  f->list = xcalloc (n, sizeof *f->list);
  f->names = xcalloc (n, sizeof *f->names);
  for (size_t i = 0; i < n; i++)
    {
      snprintf (f->names[i], sizeof f->names[i], "replica-%zu", i);
      f->list[i] = (struct rt_replica){ .name = str_from (f->names[i]),
                                        .model = STR ("lm"),
                                        .zone = STR ("z0"),
                                        .generation = 1,
                                        .whole = true };
    }
  struct rt_event ev = { .kind = RT_EV_CONFIG, .cfg = cfg };
  rt_event (f->rt, f->now, &ev);
  cfg_unref (cfg);
  report (f);
}

static void
fleet_stop (struct fleet *f)
{
  rt_free (f->rt);
  free (f->list);
  free (f->names);
}

static void
arrive (struct fleet *f, uint64_t id)
{
  struct rt_request q = { .id = id,
                          .account = STR ("a"),
                          .target = STR ("lm"),
                          .is_model = true,
                          .idempotent = true,
                          .cost = 1000,
                          .prefix = 1 + id % 400 };
  struct rt_event ev = { .kind = RT_EV_ARRIVE, .request = &q };
  rt_event (f->rt, f->now, &ev);
}

static void
finish (struct fleet *f, uint64_t id)
{
  static const enum rt_event_kind kinds[]
      = { RT_EV_CONNECTED, RT_EV_HEAD, RT_EV_BODY, RT_EV_WHOLE };
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      struct rt_event ev = {
        .kind = kinds[i], .id = id, .attempt = 1, .status = 200, .size = 1
      };
      rt_event (f->rt, f->now, &ev);
    }
  drain (f);
}

/** Requests live for 100 others, as many as one gateway carries. */
static double
measure_life (struct fleet *f)
{
  double start = processor_us ();
  for (gint i = 0; i < requests; i++)
    {
      f->now += 30;
      arrive (f, (uint64_t)i + 1);
      if (i >= 100)
        finish (f, (uint64_t)i - 99);
    }
  double us = (processor_us () - start) / requests;
  for (gint i = requests - 100; i < requests; i++)
    finish (f, (uint64_t)i + 1);
  return us;
}

static double
measure_choose (struct fleet *f)
{
  struct rt_target *t = f->rt->targets[0];
  struct rt_req q = { .idempotent = true, .cost = 1000 };
  double start = processor_us ();
  for (gint i = 0; i < requests; i++)
    {
      q.prefix = 1 + (uint64_t)i % 400;
      /* As one gateway of 330 gets them at 11,000 requests/s. */
      f->rt->now += 30;
      if (!f->rt->choose (f->rt->choose_ctx, f->rt, t, &q))
        abort ();
    }
  return (processor_us () - start) / requests;
}

static double
measure_report (struct fleet *f)
{
  double start = processor_us ();
  for (int i = 0; i < 200; i++)
    {
      f->now += 1000;
      report (f);
    }
  return (processor_us () - start) / 200;
}

static void
print_figure (double *v)
{
  sta_sort (v, (size_t)runs);
  printf (" %8.2f [%7.2f %7.2f]", v[runs / 2], v[0], v[runs - 1]);
}

static void
run_row (size_t n)
{
  double choose[MOST_RUNS], life[MOST_RUNS], list[MOST_RUNS];
  for (int i = 0; i < runs; i++)
    {
      struct fleet f;
      fleet_start (&f, n);
      list[i] = measure_report (&f);
      /* So that the evidence lasts for all requests. */
      for (size_t k = 0; k < f.n; k++)
        f.rt->targets[0]->servers[k]->valid_until = CLK_NEVER;
      choose[i] = measure_choose (&f);
      f.now = f.rt->now;
      life[i] = measure_life (&f);
      fleet_stop (&f);
    }
  printf ("%9zu", n);
  print_figure (choose);
  print_figure (life);
  print_figure (list);
  putchar ('\n');
}

/** Heap that replicas take in a core, without the bench's own list. */
static void
run_replica_memory (size_t n)
{
  struct fleet one, many;
  fleet_start (&one, 1);
  size_t before = mallinfo2 ().uordblks;
  fleet_start (&many, n);
  size_t all = mallinfo2 ().uordblks - before;
  size_t own = n * (sizeof *many.list + sizeof *many.names);
  printf ("memory of a replica: %.0f bytes (%zu replicas)\n",
          (double)(all - own) / (double)n, n);
  fleet_stop (&many);
  fleet_stop (&one);
}

/** Heap that waiting requests take, by the allocator's own count. */
static void
run_memory (void)
{
  struct fleet f;
  fleet_start (&f, 1);
  for (uint64_t id = 1; id <= 400; id++)
    arrive (&f, id);
  drain (&f);
  size_t before = mallinfo2 ().uordblks, open = rt_open_requests (f.rt);
  for (uint64_t id = 1001; id <= 1000 + QUEUED; id++)
    arrive (&f, id);
  drain (&f);
  size_t after = mallinfo2 ().uordblks;
  printf ("memory of a waiting request: %.0f bytes (%zu waiting)\n",
          (double)(after - before) / (double)(rt_open_requests (f.rt) - open),
          f.rt->targets[0]->queue.n);
  fleet_stop (&f);
}

/* --- a model's home ------------------------------------------------------ */

#define GATEWAYS 110
#define PER_S 3700 /* requests of a region */

/** One request at the home; those that end make room for it. */
static void
home_request (struct slt *s, clk_ms now, uint64_t id, uint64_t open)
{
  struct slt_event ev = { .kind = SLT_EV_ASK,
                          .gateway = (uint32_t)(id % GATEWAYS),
                          .id = id,
                          .account = STR ("a"),
                          .cost = 1000,
                          .idempotent = true,
                          .prefix = 1 + id % 400 };
  struct slt_event done = { .kind = SLT_EV_DONE,
                            .gateway = (uint32_t)((id - open) % GATEWAYS),
                            .id = id - open,
                            .first_ms = 100 };
  struct slt_action a;
  slt_event (s, now, &ev);
  if (id > open)
    slt_event (s, now, &done);
  while (slt_next (s, &a))
    ;
}

/** Processor time of a request at the home, with 0.9 of all slots taken. */
static double
measure_home (size_t n, double *bytes)
{
  struct fleet f;
  fleet_start (&f, n);
  size_t before = mallinfo2 ().uordblks;
  struct slt *s = slt_new (STR ("lm"), 1);
  struct cfg *cfg = make_config ();
  struct slt_event ev = { .kind = SLT_EV_CONFIG, .cfg = cfg };
  slt_event (s, 1, &ev);
  cfg_unref (cfg);
  for (size_t i = 0; i < n; i++)
    f.list[i].valid_until = CLK_NEVER;
  ev = (struct slt_event){ .kind = SLT_EV_REPLICAS,
                           .replicas = f.list,
                           .n = n };
  slt_event (s, 1, &ev);
  uint64_t open = (uint64_t)(0.9 * CAPACITY * (double)n), id = 0;
  while (id < open)
    home_request (s, 1000, ++id, open);
  *bytes = (double)(mallinfo2 ().uordblks - before);
  double start = processor_us ();
  for (gint i = 0; i < requests; i++)
    home_request (s, 1001 + (clk_ms)i * 1000 / PER_S, ++id, open);
  double us = (processor_us () - start) / requests;
  slt_free (s);
  fleet_stop (&f);
  return us;
}

static void
run_home (size_t n)
{
  double us[MOST_RUNS], bytes = 0;
  for (int i = 0; i < runs; i++)
    us[i] = measure_home (n, &bytes);
  printf ("home of %zu replicas, a request:", n);
  print_figure (us);
  printf ("; state %.0f kB\n", bytes / 1000);
}

/** Bytes on the link of a request that is granted: ask, answer, done. */
static void
run_home_bytes (void)
{
  Lapis__SlotAsk ask = LAPIS__SLOT_ASK__INIT, done = LAPIS__SLOT_ASK__INIT;
  Lapis__SlotAnswer answer = LAPIS__SLOT_ANSWER__INIT;
  ask.id = done.id = answer.id = (uint64_t)100000 << 32 | 63;
  ask.kind = LAPIS__SLOT_KIND__SLOT_ASK;
  done.kind = LAPIS__SLOT_KIND__SLOT_DONE;
  ask.model = done.model = (char *)"ghala-lm";
  ask.account = done.account = (char *)"broker-app";
  ask.cost = done.cost = 1200;
  ask.idempotent = done.idempotent = true;
  ask.prefix = done.prefix = 0x9e3779b97f4a7c15;
  done.first_ms = 120;
  answer.replica = (char *)"ghala-lm-17";
  printf ("link of a granted request: %zu bytes to the home, %zu back, "
          "before framing\n",
          lapis__slot_ask__get_packed_size (&ask)
              + lapis__slot_ask__get_packed_size (&done),
          lapis__slot_answer__get_packed_size (&answer));
}

int
bench_decide (int argc, char **argv)
{
  if (!commands_options (entries, "- processor time and memory of decisions",
                         NULL, &argc, &argv))
    return EXIT_USAGE;
  if (runs < 1 || runs > MOST_RUNS || requests < 200)
    {
      fputs ("lapisline bench decide: a number is out of range\n", stderr);
      return EXIT_USAGE;
    }
  bench_banner ("decide", 1);
  printf ("%d requests, %d runs; processor time in us, median [least "
          "greatest]\n",
          requests, runs);
  printf ("%9s %8s %17s %8s %17s %8s\n", "replicas", "choice", "", "request",
          "", "report");
  run_row (65);
  run_row (200);
  run_row (600);
  run_row (1200);
  run_memory ();
  run_replica_memory (1200);
  run_home (65);
  run_home (200);
  run_home (600);
  run_home_bytes ();
  return EXIT_DONE;
}
