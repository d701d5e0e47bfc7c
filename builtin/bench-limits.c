#include "builtin/bench.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "builtin/commands.h"
#include "builtin/stats.h"
#include "lapisline.h"
#include "route/core.h"
#include "route/share.h"

#define NODES 8
#define SIDE 4 /* nodes of the first side of the partition */
#define LIMIT 8000.0
#define COST 100.0
#define DETECT_MS 5000 /* until a side elects a home of its own */
#define DELAY_MS 2     /* of a message */
#define MOST_SECONDS 240
#define MOST_SEEDS 25

/* Times in seconds.  The demand sits at node 0; in the middle of the
   partition it moves to node 4, on the other side of the home. */
enum
{
  WARM = 30, /* the first home is quiet until about here */
  CUT = 60,
  MOVE = 90,
  HEAL = 130,
  END = 170
};

static gint seed = 1, seeds = 5;
static gboolean even_only, both;

static const GOptionEntry entries[] = {
  { "seed", 0, 0, G_OPTION_ARG_INT, &seed, "first seed", "N" },
  { "seeds", 0, 0, G_OPTION_ARG_INT, &seeds, "runs (5)", "N" },
  { "even", 0, 0, G_OPTION_ARG_NONE, &even_only,
    "limit / N at each node, no shares", NULL },
  { "both", 0, 0, G_OPTION_ARG_NONE, &both,
    "demand away from the home at first, and on both sides from the cut on",
    NULL },
  { NULL, 0, 0, 0, NULL, NULL, NULL }
};

struct node
{
  char name[16];
  struct rt *rt;
  struct shr *shr;
};

struct grant
{
  clk_ms at;
  int to;
  struct shr_grant grant;
};

struct run
{
  struct node nodes[NODES];
  struct rng rng;
  clk_ms now;
  uint64_t next_id;
  double admitted[MOST_SECONDS], demanded[MOST_SECONDS];
  struct grant mail[NODES * NODES * 4];
  size_t nmail;
};

static struct cfg *
make_config (void)
{
  struct fnd_list findings = { 0 };
  struct buf b = BUF_INIT;
  buf_addf (&b,
            "{\"services\":{\"api\":{\"mode\":\"route\",\"capacity\":100000,"
            "\"backends\":{\"b\":{\"addr\":\"127.0.0.1:1\",\"zone\":\"z\"}}}},"
            "\"accounts\":{\"a\":{\"key_digests\":[],\"may\":[\"*\"],"
            "\"priority\":0,\"tokens_per_s\":%.0f}}}",
            LIMIT);
  struct cfg *cfg = cfg_parse (buf_str (&b), 1, &findings);
  buf_free (&b);
  fnd_free (&findings);
  return cfg;
}

static void
set_home (struct run *r, int node, bool home)
{
  static const struct shr_amount limit = { LIMIT, 0 };
  shr_set_account (r->nodes[node].shr, r->now, STR ("a"), &limit, home);
}

static void
start (struct run *r, uint64_t number)
{
  struct str names[NODES];
  struct cfg *cfg = make_config ();
  rng_seed (&r->rng, number);
  for (int i = 0; i < NODES; i++)
    {
      struct node *n = &r->nodes[i];
      snprintf (n->name, sizeof n->name, "entry-%d", i);
      names[i] = str_from (n->name);
      struct rt_options opt = { STR ("z"), names[i], NODES };
      n->rt = rt_new (&opt, number * 100 + (uint64_t)i);
      struct rt_event ev = { .kind = RT_EV_CONFIG, .cfg = cfg };
      rt_event (n->rt, 0, &ev);
      n->shr = shr_new ();
    }
  for (int i = 0; i < NODES; i++)
    {
      shr_set_nodes (r->nodes[i].shr, names, NODES, NODES);
      set_home (r, i, i == 0);
    }
  cfg_unref (cfg);
}

static void
stop (struct run *r)
{
  for (int i = 0; i < NODES; i++)
    {
      rt_free (r->nodes[i].rt);
      shr_free (r->nodes[i].shr);
    }
}

static bool
is_cut (const struct run *r, int a, int b)
{
  return r->now >= CUT * 1000 && r->now < HEAL * 1000
         && (a < SIDE) != (b < SIDE);
}

/** Whom a node takes for the home; a side without one sends into the void
    until it elects its own. */
static int
home_of (const struct run *r, int node)
{
  bool own
      = r->now >= CUT * 1000 + DETECT_MS && r->now < HEAL * 1000 + DETECT_MS;
  return own && node >= SIDE ? SIDE : 0;
}

/** Demand of a node in tokens a second. */
static double
demand_at (int node, clk_ms now)
{
  bool heavy = node == (now < MOVE * 1000 ? 0 : SIDE);
  if (both)
    heavy = node == SIDE || (node == 0 && now >= CUT * 1000);
  return heavy ? 1.5 * LIMIT : 0.01 * LIMIT;
}

static void
arrive (struct run *r, struct node *n)
{
  struct rt_request q = { .id = ++r->next_id,
                          .account = STR ("a"),
                          .target = STR ("api"),
                          .idempotent = true,
                          .cost = COST };
  struct rt_event ev = { .kind = RT_EV_ARRIVE, .request = &q };
  struct rt_action a;
  bool admitted = false;
  r->demanded[r->now / 1000] += COST;
  rt_event (n->rt, r->now, &ev);
  while (rt_next (n->rt, &a))
    admitted |= a.kind == RT_ACT_CONNECT;
  if (!admitted)
    return;
  r->admitted[r->now / 1000] += COST;
  static const enum rt_event_kind kinds[]
      = { RT_EV_CONNECTED, RT_EV_HEAD, RT_EV_WHOLE };
  for (int i = 0; i < 3; i++)
    {
      struct rt_event on
          = { .kind = kinds[i], .id = q.id, .attempt = 1, .status = 200 };
      rt_event (n->rt, r->now, &on);
    }
  while (rt_next (n->rt, &a))
    ;
}

static void
report (struct run *r, int node)
{
  size_t n;
  int home = home_of (r, node);
  const struct rt_demand *d = rt_demands (r->nodes[node].rt, r->now, &n);
  if (n && !is_cut (r, node, home))
    shr_report_demand (
        r->nodes[home].shr, r->now, d[0].account,
        str_from (r->nodes[node].name),
        &(struct shr_amount){ d[0].tokens_per_s, d[0].concurrency });
}

static void
divide (struct run *r, int node)
{
  struct shr_grant g;
  shr_tick (r->nodes[node].shr, r->now);
  while (shr_next (r->nodes[node].shr, &g))
    {
      int to = atoi (g.node.ptr + 6);
      if (!is_cut (r, node, to)
          && r->nmail < sizeof r->mail / sizeof r->mail[0])
        r->mail[r->nmail++] = (struct grant){ r->now + DELAY_MS, to, g };
    }
}

static void
deliver (struct run *r)
{
  size_t kept = 0;
  for (size_t i = 0; i < r->nmail; i++)
    {
      struct grant *m = &r->mail[i];
      if (m->at > r->now)
        {
          r->mail[kept++] = *m;
          continue;
        }
      struct rt_event ev = { .kind = RT_EV_SHARE,
                             .name = STR ("a"),
                             .tokens_per_s = m->grant.amount.tokens_per_s,
                             .concurrency = m->grant.amount.concurrency,
                             .valid_ms = m->grant.valid_ms };
      rt_event (r->nodes[m->to].rt, r->now, &ev);
    }
  r->nmail = kept;
}

static void
step (struct run *r)
{
  if (!even_only)
    {
      set_home (r, SIDE, home_of (r, SIDE) == SIDE);
      deliver (r);
      for (int i = 0; i < NODES; i++)
        {
          if (r->now % 1000 == 100 * i)
            report (r, i);
          if (r->now % 1000 == 0)
            divide (r, i);
        }
    }
  for (int i = 0; i < NODES; i++)
    {
      double p = demand_at (i, r->now) / COST / 1000;
      if (rng_unit (&r->rng) < p)
        arrive (r, &r->nodes[i]);
    }
}

/** What one phase gave, as parts of the limit. */
struct phase
{
  const char *name;
  int from, to;
};

static const struct phase phases[]
    = { { "whole, demand at 0", WARM, CUT },
        { "cut, demand with the old home", CUT, MOVE },
        { "cut, demand moved away", MOVE, HEAL },
        { "healed", HEAL, END } };

#define NPHASES (sizeof phases / sizeof phases[0])

struct figures
{
  double mean;   /**< admitted of min (demand, limit) */
  double most1;  /**< most in one second, of the limit */
  double most10; /**< most in ten seconds */
  double least10;
};

static double
window (const struct run *r, int from, int seconds)
{
  double sum = 0;
  for (int i = 0; i < seconds; i++)
    sum += r->admitted[from + i];
  return sum / (LIMIT * seconds);
}

static struct figures
evaluate (const struct run *r, const struct phase *p)
{
  struct figures f = { .least10 = INFINITY };
  for (int s = p->from; s < p->to; s++)
    {
      f.mean
          += r->admitted[s] / fmin (LIMIT, r->demanded[s]) / (p->to - p->from);
      f.most1 = fmax (f.most1, window (r, s, 1));
      if (s + 10 > p->to)
        continue;
      f.most10 = fmax (f.most10, window (r, s, 10));
      f.least10 = fmin (f.least10, window (r, s, 10));
    }
  return f;
}

static void
print_figure (const struct figures f[MOST_SEEDS], size_t offset)
{
  double v[MOST_SEEDS];
  for (int i = 0; i < seeds; i++)
    v[i] = *(const double *)((const char *)&f[i] + offset);
  sta_sort (v, (size_t)seeds);
  printf ("  %5.2f [%4.2f %4.2f]", v[seeds / 2], v[0], v[seeds - 1]);
}

int
bench_limits (int argc, char **argv)
{
  if (!commands_options (entries, "- an account's limit through a partition",
                         NULL, &argc, &argv))
    return EXIT_USAGE;
  if (seeds < 1 || seeds > MOST_SEEDS)
    {
      fputs ("lapisline bench limits: a number is out of range\n", stderr);
      return EXIT_USAGE;
    }
  struct figures all[NPHASES][MOST_SEEDS];
  for (int i = 0; i < seeds; i++)
    {
      struct run *r = xcalloc (1, sizeof *r);
      start (r, (uint64_t)seed + (uint64_t)i);
      for (r->now = 1; r->now < END * 1000; r->now++)
        step (r);
      for (size_t p = 0; p < NPHASES; p++)
        all[p][i] = evaluate (r, &phases[p]);
      stop (r);
      free (r);
    }
  bench_banner ("limits", (uint64_t)seed);
  printf ("%d nodes, limit %.0f tokens/s, demand 1.5 of it at one node, cut "
          "%d | %d, %d seeds%s\nparts of the limit, median [least greatest]\n",
          NODES, LIMIT, SIDE, NODES - SIDE, seeds,
          even_only ? ", even parts only"
          : both    ? ", on both sides from the cut on"
                    : "");
  printf ("%-30s  %-17s  %-17s  %-17s  %-17s\n", "phase", "mean", "most 1 s",
          "most 10 s", "least 10 s");
  for (size_t p = 0; p < NPHASES; p++)
    {
      printf ("%-30s", phases[p].name);
      print_figure (all[p], offsetof (struct figures, mean));
      print_figure (all[p], offsetof (struct figures, most1));
      print_figure (all[p], offsetof (struct figures, most10));
      print_figure (all[p], offsetof (struct figures, least10));
      putchar ('\n');
    }
  return EXIT_DONE;
}
