#include "builtin/members-run.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "builtin/stats.h"
#include "fleet/bus.h"

#define WARM_MS (60 * CLK_SECOND)
#define QUIET_S 30
#define DETECT_MS (30 * CLK_SECOND)
#define SETTLE_MS (30 * CLK_SECOND)

/* Headers of IPv4 and UDP. */
#define WIRE_HEADER 28.0

/* One node in so many is frozen at once, at most. */
#define FROZEN_PART 8

/* Talk about a freeze goes on for a moment after it. */
#define AFTERTALK_MS (5 * CLK_SECOND)

/* On waking a node reads what came meanwhile, old accusations included. */
#define BACKLOG_MS ((clk_ms)100)

struct world
{
  struct bus *bus;
  struct rng rng;
  int nodes;
  clk_ms *frozen_until;

  /* The kill under way. */
  size_t victim; /**< nodes: none */
  clk_ms killed_at;
  clk_ms *silent_at, *dead_at; /**< by observer; 0: not yet */

  bool freezing;
  double healthy_silent, healthy_dead, frozen_dead, backlog;
};

static size_t
index_of (const struct mbr_node *node)
{
  return (size_t)atoi (node->name.ptr + 1) - 1;
}

static void
note_kill (struct world *w, clk_ms now, size_t at, enum mbr_status status)
{
  if (w->silent_at[at] == 0)
    w->silent_at[at] = now;
  if (status == MBR_DEAD && w->dead_at[at] == 0)
    w->dead_at[at] = now;
}

static void
on_changed (void *ctx, clk_ms now, size_t at, const struct mbr_node *node)
{
  struct world *w = ctx;
  size_t i = index_of (node);
  bool dead = node->status == MBR_DEAD;

  if (!dead && node->status != MBR_SUSPECT)
    return;
  if (i == w->victim)
    note_kill (w, now, at, node->status);
  if (!w->freezing)
    return;
  if (now <= w->frozen_until[i] + AFTERTALK_MS)
    w->frozen_dead += dead;
  else if (now <= w->frozen_until[at] + BACKLOG_MS)
    w->backlog++;
  else if (dead)
    w->healthy_dead++;
  else
    w->healthy_silent++;
}

static int
region_of (const struct members_params *p, int node)
{
  return node % p->zones * p->regions / p->zones;
}

static void
build (struct world *w, const struct members_params *p)
{
  size_t first[16];
  bool have[16] = { false };

  for (int i = 0; i < p->nodes; i++)
    {
      int region = region_of (p, i);
      char zone[16], name[16];
      size_t at;

      snprintf (zone, sizeof zone, "z%d", i % p->zones);
      snprintf (name, sizeof name, "r%d", region);
      at = bus_add (w->bus, zone, name);
      if (!have[region])
        first[region] = at;
      have[region] = true;
      if (at != first[region])
        bus_join (w->bus, at, first[region]);
      if (at != 0 && at == first[region])
        bus_join (w->bus, at, 0);
    }
}

/** Each node's load changes each second, as it does behind callers. */
static void
run_seconds (struct world *w, int seconds)
{
  for (int s = 0; s < seconds; s++)
    {
      for (int i = 0; i < w->nodes; i++)
        if (bus_core (w->bus, (size_t)i) != NULL
            && !bus_frozen (w->bus, (size_t)i))
          bus_load (w->bus, (size_t)i, (uint32_t)rng_below (&w->rng, 5000));
      bus_run (w->bus, CLK_SECOND);
    }
}

static double
cpu_seconds (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void
measure_quiet (struct world *w, struct members_result *out)
{
  struct mbr_counts *before = calloc ((size_t)w->nodes, sizeof *before);
  double cpu, memory = 0, packets = 0, sum = 0;

  for (int i = 0; i < w->nodes; i++)
    before[i] = *mbr_counts (bus_core (w->bus, (size_t)i));
  cpu = cpu_seconds ();
  run_seconds (w, QUIET_S);
  cpu = cpu_seconds () - cpu;
  for (int i = 0; i < w->nodes; i++)
    {
      const struct mbr *core = bus_core (w->bus, (size_t)i);
      const struct mbr_counts *c = mbr_counts (core);
      double sent = (double)(c->sent - before[i].sent);
      double bytes = (double)(c->bytes_out - before[i].bytes_out) / QUIET_S;
      double wire
          = bytes + (double)(c->bytes_in - before[i].bytes_in) / QUIET_S
            + WIRE_HEADER * (sent + (double)(c->received - before[i].received))
                  / QUIET_S;

      sum += bytes;
      packets += sent / QUIET_S;
      memory += (double)mbr_memory (core) / 1024;
      if (bytes > out->out_most)
        out->out_most = bytes;
      if (wire > out->wire_most)
        out->wire_most = wire;
    }
  out->out_mean = sum / w->nodes;
  out->packets = packets / w->nodes;
  out->memory_kib = memory / w->nodes;
  out->core_percent = 100 * cpu / QUIET_S / w->nodes;
  free (before);
}

/** Sorted samples, growing. */
struct samples
{
  double *v;
  size_t n, cap;
};

static void
add_sample (struct samples *s, double value)
{
  if (s->n == s->cap)
    {
      s->cap = s->cap ? 2 * s->cap : 256;
      s->v = xrealloc (s->v, s->cap * sizeof *s->v);
    }
  s->v[s->n++] = value;
}

static void
quantiles (struct samples *s, double *p50, double *p99)
{
  if (s->n > 0)
    {
      sta_sort (s->v, s->n);
      *p50 = s->v[s->n / 2];
      *p99 = s->v[(s->n * 99 - 1) / 100];
    }
  free (s->v);
}

/** Another node of the same region. */
static size_t
neighbour (const struct world *w, const struct members_params *p, size_t of)
{
  for (size_t i = 0; i < (size_t)w->nodes; i++)
    if (i != of && region_of (p, (int)i) == region_of (p, (int)of))
      return i;
  return of;
}

/** Kill one node, wait, collect when each of its region noticed. */
static void
kill_one (struct world *w, const struct members_params *p,
          struct samples *suspect, struct samples *silent,
          struct samples *dead, double *missed)
{
  size_t n = (size_t)w->nodes;
  clk_ms first = CLK_NEVER;

  memset (w->silent_at, 0, n * sizeof *w->silent_at);
  memset (w->dead_at, 0, n * sizeof *w->dead_at);
  w->victim = 1 + (size_t)rng_below (&w->rng, n - 1);
  bus_run (w->bus, (clk_ms)rng_below (&w->rng, 500));
  w->killed_at = bus_now (w->bus);
  bus_kill (w->bus, w->victim);
  bus_run (w->bus, DETECT_MS);
  for (size_t i = 0; i < n; i++)
    {
      if (i == w->victim
          || region_of (p, (int)i) != region_of (p, (int)w->victim))
        continue;
      if (w->dead_at[i] == 0)
        {
          ++*missed;
          continue;
        }
      if (w->silent_at[i] < first)
        first = w->silent_at[i];
      add_sample (silent, (double)(w->silent_at[i] - w->killed_at));
      add_sample (dead, (double)(w->dead_at[i] - w->killed_at));
    }
  if (first != CLK_NEVER)
    add_sample (suspect, (double)(first - w->killed_at));
  bus_replace (w->bus, w->victim);
  bus_join (w->bus, w->victim, neighbour (w, p, w->victim));
  w->victim = n;
  bus_run (w->bus, SETTLE_MS);
}

static void
measure_kills (struct world *w, const struct members_params *p,
               struct members_result *out)
{
  struct samples suspect = { 0 }, silent = { 0 }, dead = { 0 };

  for (int i = 0; i < p->kills; i++)
    kill_one (w, p, &suspect, &silent, &dead, &out->missed);
  quantiles (&suspect, &out->suspect_p50, &out->suspect_p99);
  quantiles (&silent, &out->silent_p50, &out->silent_p99);
  quantiles (&dead, &out->dead_p50, &out->dead_p99);
}

static double
own_accusations (const struct world *w)
{
  double sum = 0;

  for (int i = 0; i < w->nodes; i++)
    sum += (double)mbr_counts (bus_core (w->bus, (size_t)i))->suspected;
  return sum;
}

static int
frozen_now (const struct world *w)
{
  int n = 0;

  for (int i = 0; i < w->nodes; i++)
    n += bus_frozen (w->bus, (size_t)i);
  return n;
}

/** Each second as many random nodes freeze as may. */
static void
measure_freezes (struct world *w, const struct members_params *p,
                 struct members_result *out)
{
  double before = own_accusations (w);

  w->freezing = true;
  for (int s = 0; s < p->freeze_s; s++)
    {
      int free_slots
          = (w->nodes + FROZEN_PART - 1) / FROZEN_PART - frozen_now (w);

      for (; free_slots > 0; free_slots--)
        {
          size_t i = (size_t)rng_below (&w->rng, (uint64_t)w->nodes);
          clk_ms span
              = CLK_SECOND + (clk_ms)rng_below (&w->rng, 4 * CLK_SECOND);

          if (bus_frozen (w->bus, i))
            continue;
          bus_freeze (w->bus, i, span);
          w->frozen_until[i] = bus_now (w->bus) + span;
          out->freezes++;
        }
      run_seconds (w, 1);
    }
  run_seconds (w, 10);
  w->freezing = false;
  out->accusations = own_accusations (w) - before;
  out->healthy_silent = w->healthy_silent;
  out->healthy_dead = w->healthy_dead;
  out->frozen_dead = w->frozen_dead;
  out->backlog = w->backlog;
}

void
members_run (const struct members_params *p, struct members_result *out)
{
  struct world w = { .bus = bus_new (p->seed), .nodes = p->nodes };
  size_t n = (size_t)p->nodes;

  memset (out, 0, sizeof *out);
  rng_seed (&w.rng, p->seed + 1000);
  w.victim = n;
  w.frozen_until = xcalloc (n, sizeof *w.frozen_until);
  w.silent_at = xcalloc (n, sizeof *w.silent_at);
  w.dead_at = xcalloc (n, sizeof *w.dead_at);
  bus_on_changed (w.bus, on_changed, &w);
  build (&w, p);
  bus_run (w.bus, WARM_MS);
  run_seconds (&w, 10);
  measure_quiet (&w, out);
  measure_kills (&w, p, out);
  measure_freezes (&w, p, out);
  bus_free (w.bus);
  free (w.frozen_until);
  free (w.silent_at);
  free (w.dead_at);
}
