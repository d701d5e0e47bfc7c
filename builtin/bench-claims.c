#include "builtin/bench.h"

#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "claim/claim.h"
#include "builtin/commands.h"
#include "builtin/stats.h"
#include "lapisline.h"

#define ROUND_TRIP_MS ((clk_ms)4)
#define WARM_UP_MS (2 * CLK_SECOND)
#define MAX_LATENCY_MS 1000
#define MAX_OPEN 64
#define MAX_SEEDS 15

static const double rates[] = { 100, 550, 2000, 11000 };
static const clk_ms gaps[] = { 4, 20, 50, 100 };

#define NRATES (sizeof rates / sizeof rates[0])
#define NGAPS (sizeof gaps / sizeof gaps[0])

/** A store call and when its answer comes. */
struct answer
{
  clk_ms at;
  uint64_t token;
  enum clm_action_kind kind;
};

struct bench
{
  struct clm *core;
  struct rng rng;
  clk_ms now;
  clk_ms begin;
  int64_t revision;
  struct answer open[MAX_OPEN];
  size_t nopen;
  clk_ms *asked; /**< by id */
  uint64_t ids;
  uint64_t latency[MAX_LATENCY_MS];
  uint64_t granted;
};

/** What one run gave. */
struct figures
{
  double txns_s, per_txn, bytes, p50, p99, cpu_us, memory;
};

static void
on_action (struct bench *b, const struct clm_action *a)
{
  if (a->kind == CLM_ACT_REPLY)
    {
      clk_ms took = b->now - b->asked[a->reply.id];
      if (a->reply.verdict != CLM_GRANTED || b->asked[a->reply.id] < b->begin)
        return;
      b->granted++;
      b->latency[took < MAX_LATENCY_MS ? took : MAX_LATENCY_MS - 1]++;
      return;
    }
  b->open[b->nopen++]
      = (struct answer){ b->now + ROUND_TRIP_MS, a->token, a->kind };
}

static void
drain (struct bench *b)
{
  struct clm_action a;

  while (clm_next (b->core, &a))
    on_action (b, &a);
}

static void
answer_store (struct bench *b)
{
  for (size_t i = 0; i < b->nopen;)
    {
      struct answer a = b->open[i];
      struct store_result r = { .status = STORE_OK };
      if (a.at > b->now)
        {
          i++;
          continue;
        }
      b->open[i] = b->open[--b->nopen];
      if (a.kind == CLM_ACT_TXN)
        r.revision = ++b->revision;
      if (a.kind == CLM_ACT_LEASE_GRANT)
        {
          r.lease = 1;
          r.ttl = 20 * CLK_MINUTE;
        }
      clm_on_store_response (b->core, b->now, a.token, &r);
      drain (b);
    }
}

static void
ask (struct bench *b)
{
  struct clm_request a = { .id = b->ids };
  uint64_t key[2] = { rng_next (&b->rng), b->ids };

  memcpy (a.key, key, sizeof a.key);
  memcpy (a.attempt, key, sizeof a.attempt);
  b->asked[b->ids++] = b->now;
  clm_request (b->core, b->now, &a);
  drain (b);
}

static uint64_t
poisson (struct rng *rng, double mean)
{
  double limit = exp (-mean), p = 1;
  uint64_t n = 0;

  while ((p *= 1 - rng_unit (rng)) > limit)
    n++;
  return n;
}

static clk_ms
percentile (const struct bench *b, double part)
{
  uint64_t left = (uint64_t)ceil ((double)b->granted * part);
  clk_ms ms = 0;

  while (ms < MAX_LATENCY_MS - 1 && b->latency[ms] < left)
    left -= b->latency[ms++];
  return ms;
}

static double
cpu_us (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static struct figures
run (double rate, clk_ms gap, clk_ms length, uint64_t seed)
{
  struct bench *b = xcalloc (1, sizeof *b);
  struct clm_options opt = { .prefix = STR ("/lapisline/"),
                             .window = 10 * CLK_MINUTE,
                             .boot = seed,
                             .gap_ms = gap };
  clk_ms end = WARM_UP_MS + length;
  struct clm_stats before = { 0 };
  const struct clm_stats *after;
  struct figures f = { 0 };
  double memory, cpu;

  rng_seed (&b->rng, seed);
  b->asked
      = xcalloc ((size_t)(rate * (double)end / 500) + 1000, sizeof *b->asked);
  memory = (double)mallinfo2 ().uordblks;
  cpu = cpu_us ();
  b->core = clm_new (&opt, seed);
  b->begin = WARM_UP_MS;
  for (b->now = 0; b->now < end; b->now++)
    {
      if (b->now == WARM_UP_MS)
        before = *clm_stats (b->core);
      answer_store (b);
      for (uint64_t n = poisson (&b->rng, rate / 1000); n > 0; n--)
        ask (b);
      clm_tick (b->core, b->now);
      drain (b);
    }
  after = clm_stats (b->core);
  cpu = cpu_us () - cpu;
  memory = (double)mallinfo2 ().uordblks - memory;
  double txns = (double)(after->txns - before.txns);
  double records = (double)(after->batch_records - before.batch_records);
  f.txns_s = txns * 1000 / (double)length;
  f.per_txn = records / txns;
  f.bytes = (double)(after->batch_bytes - before.batch_bytes) / records;
  f.p50 = (double)percentile (b, 0.5);
  f.p99 = (double)percentile (b, 0.99);
  f.cpu_us = cpu / (double)b->ids;
  f.memory = memory / (double)clm_claim_count (b->core);
  clm_free (b->core);
  free (b->asked);
  free (b);
  return f;
}

/** Median and half the spread of one figure over the seeds. */
static void
print_figure (const struct figures *f, int n, size_t offset, int width)
{
  double v[MAX_SEEDS];

  for (int i = 0; i < n; i++)
    v[i] = *(const double *)((const char *)&f[i] + offset);
  sta_sort (v, (size_t)n);
  printf (" %*.1f ±%-5.1f", width, v[n / 2], (v[n - 1] - v[0]) / 2);
}

static void
print_row (double rate, clk_ms gap, const struct figures *f, int n)
{
  printf ("%8.0f %6lld", rate, (long long)gap);
  print_figure (f, n, offsetof (struct figures, txns_s), 7);
  print_figure (f, n, offsetof (struct figures, per_txn), 7);
  print_figure (f, n, offsetof (struct figures, bytes), 6);
  print_figure (f, n, offsetof (struct figures, p50), 5);
  print_figure (f, n, offsetof (struct figures, p99), 5);
  print_figure (f, n, offsetof (struct figures, cpu_us), 6);
  print_figure (f, n, offsetof (struct figures, memory), 6);
  putchar ('\n');
}

int
bench_claims (int argc, char **argv)
{
  int seed = 1, runs = 5, seconds = 20;
  GOptionEntry entries[]
      = { { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "first seed", "N" },
          { "runs", 0, 0, G_OPTION_ARG_INT, &runs, "seeds, 1 to 15", "N" },
          { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
            "virtual time of a run, 1 to 600", "N" },
          { 0 } };

  if (!commands_options (
          entries, "- group commit of claims at one home",
          "Feeds one claim core with claims at a rate, over a store that "
          "answers after\n4 ms of virtual time.",
          &argc, &argv))
    return EXIT_USAGE;
  if (argc > 1 || runs < 1 || runs > MAX_SEEDS || seconds < 1 || seconds > 600)
    {
      fputs ("lapisline bench claims: see --help for what is allowed\n",
             stderr);
      return EXIT_USAGE;
    }
  bench_banner ("claims", (uint64_t)seed);
  printf ("shards=%d round-trip=%lldms runs=%d seconds=%d; median and half "
          "the spread\n",
          CLM_SHARDS, (long long)ROUND_TRIP_MS, runs, seconds);
  puts ("claims/s gap/ms        txns/s    claims/txn  bytes/claim      p50/ms"
        "       p99/ms   cpu-us/claim  memory-B/claim");
  for (size_t r = 0; r < NRATES; r++)
    for (size_t g = 0; g < NGAPS; g++)
      {
        struct figures f[MAX_SEEDS];
        for (int i = 0; i < runs; i++)
          f[i] = run (rates[r], gaps[g], seconds * CLK_SECOND,
                      (uint64_t)seed + (uint64_t)i);
        print_row (rates[r], gaps[g], f, runs);
      }
  return EXIT_DONE;
}
