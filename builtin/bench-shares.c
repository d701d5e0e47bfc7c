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
#include "route/share.h"

#define MOST_RUNS 25
#define MOST_NODES 1000
#define SECONDS 200 /* of virtual time in a run */

static gint nodes = 110, accounts = 10, runs = 5;

static const GOptionEntry entries[]
    = { { "nodes", 0, 0, G_OPTION_ARG_INT, &nodes, "in the region (110)",
          "N" },
        { "accounts", 0, 0, G_OPTION_ARG_INT, &accounts,
          "with limits, all of one home (10)", "N" },
        { "runs", 0, 0, G_OPTION_ARG_INT, &runs, "runs (5)", "N" },
        { NULL, 0, 0, 0, NULL, NULL, NULL } };

static double
processor_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

/** Names of nodes and accounts, made once. */
static struct str
name_of (const char *kind, int i)
{
  static char text[64];
  snprintf (text, sizeof text, "%s-%d", kind, i);
  return str_from (text);
}

static struct shr *
make_home (void)
{
  struct shr *s = shr_new ();
  struct str names[MOST_NODES] = { 0 };
  struct shr_amount limit = { 100000, 500 };

  for (int i = 0; i < nodes; i++)
    names[i] = str_from (str_dup (name_of ("node", i)));
  shr_set_nodes (s, names, (size_t)nodes, (size_t)nodes);
  for (int i = 0; i < nodes; i++)
    free ((char *)names[i].ptr);
  for (int i = 0; i < accounts; i++)
    shr_set_account (s, 0, name_of ("account", i), &limit, true);
  return s;
}

/** One second of one home: a demand of every node, the division, grants. */
static size_t
one_second (struct shr *s, clk_ms now, const struct str *account,
            const struct str *node)
{
  struct shr_grant g;
  size_t grants = 0;

  for (int a = 0; a < accounts; a++)
    for (int i = 0; i < nodes; i++)
      {
        struct shr_amount d
            = { (double)(100 + (i * 37 + now / 1000) % 900), (double)(i % 7) };
        shr_report_demand (s, now, account[a], node[i], &d);
      }
  shr_tick (s, now);
  while (shr_next (s, &g))
    grants++;
  return grants;
}

struct cost
{
  double us;    /**< processor time of an account and second */
  double bytes; /**< memory of an account */
  size_t grants;
};

static struct cost
measure (const struct str *account, const struct str *node)
{
  size_t before = mallinfo2 ().uordblks;
  struct shr *s = make_home ();
  struct cost c = { 0 };
  double start;

  for (clk_ms t = 1; t <= 20; t++)
    one_second (s, t * 1000, account, node);
  c.bytes = (double)(mallinfo2 ().uordblks - before) / accounts;
  start = processor_us ();
  for (clk_ms t = 21; t <= 20 + SECONDS; t++)
    c.grants = one_second (s, t * 1000, account, node);
  c.us = (processor_us () - start) / SECONDS / accounts;
  shr_free (s);
  return c;
}

static void
print_frames (void)
{
  Lapis__ShareDemand demand = LAPIS__SHARE_DEMAND__INIT;
  Lapis__ShareGrant grant = LAPIS__SHARE_GRANT__INIT;
  Lapis__Frame f = LAPIS__FRAME__INIT;
  size_t size;

  demand.account = grant.account = (char *)"warehouse-search";
  demand.tokens_per_s = grant.tokens_per_s = 1234.5;
  demand.concurrency = grant.concurrency = 12;
  grant.valid_ms = (uint32_t)SHR_VALID_MS;
  f.body_case = LAPIS__FRAME__BODY_SHARE_DEMAND;
  f.share_demand = &demand;
  size = lapis__frame__get_packed_size (&f);
  f.body_case = LAPIS__FRAME__BODY_SHARE_GRANT;
  f.share_grant = &grant;
  printf ("packed frame of a demand %zu bytes, of a grant %zu, before "
          "framing\n",
          size, lapis__frame__get_packed_size (&f));
}

static void
run_all (void)
{
  struct str *account = g_new0 (struct str, accounts);
  struct str *node = g_new0 (struct str, nodes);
  double us[MOST_RUNS];
  struct cost c = { 0 };

  for (int i = 0; i < accounts; i++)
    account[i] = str_from (str_dup (name_of ("account", i)));
  for (int i = 0; i < nodes; i++)
    node[i] = str_from (str_dup (name_of ("node", i)));
  for (int i = 0; i < runs; i++)
    {
      c = measure (account, node);
      us[i] = c.us;
    }
  sta_sort (us, (size_t)runs);
  printf ("processor us an account and second: %.1f [%.1f %.1f]; memory %.0f "
          "bytes an account; %zu grants a second\n",
          us[runs / 2], us[0], us[runs - 1], c.bytes, c.grants);
  print_frames ();
  for (int i = 0; i < accounts; i++)
    free ((char *)account[i].ptr);
  for (int i = 0; i < nodes; i++)
    free ((char *)node[i].ptr);
  g_free (account);
  g_free (node);
}

int
bench_shares (int argc, char **argv)
{
  if (!commands_options (entries, "- cost of an account's home", NULL, &argc,
                         &argv))
    return EXIT_USAGE;
  if (runs < 1 || runs > MOST_RUNS || nodes < 1 || nodes > MOST_NODES
      || accounts < 1 || accounts > 1000)
    {
      fputs ("lapisline bench shares: a number is out of range\n", stderr);
      return EXIT_USAGE;
    }
  bench_banner ("shares", 1);
  printf ("%d nodes, %d accounts, %d runs of %d s\n", nodes, accounts, runs,
          SECONDS);
  run_all ();
  return EXIT_DONE;
}
