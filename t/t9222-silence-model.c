/*
 * Random schedules of servers that fall silent for 0.3 to 3 s and go on,
 * beside servers that are lost, in the simulation of t/lib-silence.h.
 *
 * SILENCE_SEEDS sets the number of seeds, SILENCE_FIRST_SEED the first one,
 * SILENCE_NODES the number of nodes; with SILENCE_REPORT set, a table of the
 * figures is written.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

#include "t/lib-silence.h"

#define DEFAULT_SEEDS 100
#define DEFAULT_NODES 8
#define ARRIVALS_MS ((clk_ms)6000)
#define SILENCE_AT ((clk_ms)2500)
/** Time until the last request has ended. */
#define END_MS (ARRIVALS_MS + SIL_DEADLINE_MS + 100)
#define MAX_PAUSES 40000

static const clk_ms silences[] = { 300, 600, 1000, 1300, 2000, 3000 };
static const char *const shares[] = { "tenth", "half", "all" };
#define SILENCES (sizeof silences / sizeof silences[0])
#define SHARES (sizeof shares / sizeof shares[0])

static const char *const fault_names[SIL_FAULTS] = { "events out of order",
                                                     "requests cut",
                                                     "attempts over the limit",
                                                     "retries over budget",
                                                     "wrong counters",
                                                     "left open",
                                                     "run twice" };

struct scenario
{
  size_t silence, share;
  bool budget, losses;
};

/** Figures of all seeds of a scenario. */
struct figures
{
  unsigned seeds, streams, hit, hit_loss, cut, made_twice;
  unsigned refused_beside_room, refused_late;
  uint64_t hedged, unneeded;
  int *pauses, *loss_pauses;
  size_t npauses, nloss_pauses;
};

static struct figures figures[SILENCES][SHARES][2][2];

static struct scenario
choose_scenario (uint64_t seed)
{
  return (struct scenario){ .silence = seed % SILENCES,
                            .share = seed / SILENCES % SHARES,
                            .budget = seed / (SILENCES * SHARES) % 2,
                            .losses = seed / (2 * SILENCES * SHARES) % 2 };
}

static unsigned
share_of (size_t share, unsigned n)
{
  return share == 0 ? (n + 9) / 10 : share == 1 ? n / 2 : n;
}

/** The first servers of a service fall silent, within 50 ms. */
static void
silence_servers (struct sil *m, size_t first, unsigned n, clk_ms ms)
{
  clk_ms at = m->now + SILENCE_AT;

  for (size_t i = first; i < first + n; i++)
    {
      struct sil_server *s = &m->server[i];
      s->silent_from = at + (clk_ms)rng_below (&m->rng, 50);
      s->silent_until = s->silent_from + ms;
      if (s->silent_until > m->pause_ends_at)
        m->pause_ends_at = s->silent_until;
    }
}

/** One replica in twenty is lost, at some time around the silence. */
static void
lose_servers (struct sil *m, unsigned replicas)
{
  for (size_t i = replicas - (replicas + 19) / 20; i < replicas; i++)
    {
      m->server[i].silent_from
          = m->now + SILENCE_AT - 500 + (clk_ms)rng_below (&m->rng, 2000);
      m->server[i].silent_until = CLK_NEVER;
    }
}

static int
compare (const void *a, const void *b)
{
  return *(const int *)a - *(const int *)b;
}

static void
add_pause (int **list, size_t *n, clk_ms ms)
{
  if (!*list)
    *list = xcalloc (MAX_PAUSES, sizeof **list);
  if (*n < MAX_PAUSES)
    (*list)[(*n)++] = (int)ms;
}

static void
add_figures (struct figures *f, const struct sil *m)
{
  f->seeds++;
  f->refused_beside_room += m->refused_beside_room;
  f->refused_late += m->refused_late;
  for (unsigned i = 0; i < m->nnodes; i++)
    {
      f->hedged += dsp_stats (m->node[i])->hedged;
      f->unneeded += dsp_stats (m->node[i])->hedges_unneeded;
    }
  for (size_t i = 0; i < m->nrequests; i++)
    {
      const struct sil_request *q = &m->request[i];
      f->made_twice += q->made_twice;
      f->streams += q->kind == SIL_STREAM;
      f->cut += q->cut;
      if (q->kind != SIL_STREAM)
        continue;
      f->hit += q->hit_silence;
      f->hit_loss += q->hit_loss;
      if (q->hit_loss && q->pause_ms > 0)
        add_pause (&f->loss_pauses, &f->nloss_pauses, q->pause_ms);
      else if (q->pause_ms > 0)
        add_pause (&f->pauses, &f->npauses, q->pause_ms);
    }
}

static void
run_model (uint64_t seed, unsigned nodes)
{
  struct scenario c = choose_scenario (seed);
  struct sil *m = xcalloc (1, sizeof *m);
  unsigned replicas = nodes + 2, plain = nodes / 2;

  sil_init (m, seed, nodes, replicas, plain, c.budget ? 0.2 : 0,
            c.budget ? 10 : 0);
  silence_servers (m, 0, share_of (c.share, replicas), silences[c.silence]);
  silence_servers (m, replicas, share_of (c.share, plain),
                   silences[c.silence]);
  if (c.losses)
    lose_servers (m, replicas);
  for (clk_ms at = 0; at < END_MS; at += SIL_STEP_MS)
    {
      /* Each node gets 3.5 requests a second, of which 2.5 are streams. */
      for (unsigned n = nodes; at < ARRIVALS_MS && n; n -= n < 28 ? n : 28)
        if (rng_below (&m->rng, 28) < n)
          sil_submit (m);
      sil_step (m);
    }
  sil_check_end (m);
  for (int i = 0; i < SIL_FAULTS; i++)
    cr_expect (m->faults[i] == 0, "seed %d: %u %s", (int)seed, m->faults[i],
               fault_names[i]);
  add_figures (&figures[c.silence][c.share][c.budget][c.losses], m);
  sil_free (m);
  free (m);
}

static int
percentile (int *list, size_t n, size_t percent)
{
  if (n == 0)
    return 0;
  qsort (list, n, sizeof *list, compare);
  return list[n * percent / 100 < n ? n * percent / 100 : n - 1];
}

static void
report (size_t silence, size_t share, int budget, int losses)
{
  struct figures *f = &figures[silence][share][budget][losses];

  if (f->seeds == 0)
    return;
  printf ("%5d %-5s %-5s %-4s %5u %7u %6u %4u %6d %6d %6lu %6lu %6u %5u %5u "
          "%5u %6d %6d\n",
          (int)silences[silence], shares[share], budget ? "full" : "spent",
          losses ? "yes" : "no", f->seeds, f->streams, f->hit, f->cut,
          percentile (f->pauses, f->npauses, 50),
          percentile (f->pauses, f->npauses, 99), (unsigned long)f->hedged,
          (unsigned long)f->unneeded, f->made_twice, f->refused_beside_room,
          f->refused_late, f->hit_loss,
          percentile (f->loss_pauses, f->nloss_pauses, 50),
          percentile (f->loss_pauses, f->nloss_pauses, 99));
}

static void
report_all (void)
{
  printf ("   ms share budgt lost seeds streams silent  cut   p50    p99 "
          "hedged unused  twice  refu  late  lost lost50 lost99\n");
  for (size_t i = 0; i < SILENCES; i++)
    for (size_t k = 0; k < SHARES; k++)
      for (int b = 1; b >= 0; b--)
        for (int l = 0; l < 2; l++)
          report (i, k, b, l);
}

static uint64_t
setting (const char *name, uint64_t otherwise)
{
  const char *value = getenv (name);

  return value ? (uint64_t)atoi (value) : otherwise;
}

/* Guards against streams that are cut off, or get events twice or out of
   order, because servers are silent, and against what hedges may leave
   behind. */
Test (silence_model, random_schedules)
{
  uint64_t seeds = setting ("SILENCE_SEEDS", DEFAULT_SEEDS);
  uint64_t first = setting ("SILENCE_FIRST_SEED", 1);
  unsigned nodes = (unsigned)setting ("SILENCE_NODES", DEFAULT_NODES);

  for (uint64_t seed = first; seed < first + seeds; seed++)
    run_model (seed, nodes);
  if (getenv ("SILENCE_REPORT"))
    report_all ();
}
