#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "route/share.h"

/* Scripts at the home of one account with 1000 tokens/s and eight requests:
     nodes NAME...   home on|off   demand NODE TOKENS CONCURRENCY
     tick            logs the grants as NODE=TOKENS/CONCURRENCY
   "demand*" says the demand each second up to the next line's time. */

struct run
{
  struct shr *s;
  struct buf log;
  clk_ms now;
};

static void
tick (struct run *r)
{
  struct shr_grant g;
  shr_tick (r->s, r->now);
  while (shr_next (r->s, &g))
    buf_addf (&r->log, " %.*s=%.0f/%.0f", STR_ARG (g.node), g.tokens_per_s,
              g.concurrency);
}

static void
nodes (struct run *r, char **w, size_t n)
{
  struct str names[16];
  for (size_t i = 0; i < n; i++)
    names[i] = str_from (w[i]);
  shr_nodes (r->s, r->now, names, n);
}

static void
run_line (struct run *r, char *line)
{
  char *w[16];
  size_t n = 0;
  for (char *t = strtok (line, " "); t && n < 16; t = strtok (NULL, " "))
    w[n++] = t;
  if (n < 2)
    return;
  r->now = atoll (w[0]);
  if (strcmp (w[1], "nodes") == 0)
    nodes (r, w + 2, n - 2);
  else if (strcmp (w[1], "home") == 0)
    shr_home (r->s, r->now, STR ("acme"), strcmp (w[2], "on") == 0);
  else if (strcmp (w[1], "demand") == 0)
    shr_demand (r->s, r->now, STR ("acme"), str_from (w[2]), atof (w[3]),
                atof (w[4]));
  else if (strcmp (w[1], "tick") == 0)
    {
      buf_addf (&r->log, "%s:", w[0]);
      tick (r);
      buf_add_c (&r->log, "\n");
    }
  else
    cr_assert_fail ("unknown verb %s", w[1]);
}

static void
check (const char *script, const char *log)
{
  struct run r = { .s = shr_new () };
  struct shr_limit limit = { STR ("acme"), 1000, 8 };
  shr_limits (r.s, &limit, 1);
  char *copy = xstrdup (script), *rest = copy, *line;
  while ((line = strsep (&rest, "\n")) != NULL)
    run_line (&r, line);
  cr_expect (strcmp (buf_c (&r.log), log) == 0, "expected:\n%s\ngot:\n%s", log,
             buf_c (&r.log));
  free (copy);
  buf_free (&r.log);
  shr_free (r.s);
}

Test (share, by_demand)
{
  /* Small demands are met, a large one gets the rest as the others are known
     to have given it up, and what nobody asks for is spread; concurrency in
     whole numbers that add up to the limit. */
  check ("0 nodes a b c d\n"
         "1 home on\n"
         "30000 demand a 900 9\n"
         "30000 demand b 50 1\n"
         "30000 demand c 50 1\n"
         "30000 demand d 0 0\n"
         "30001 tick\n"
         "31000 demand a 900 9\n"
         "31000 demand b 50 1\n"
         "31000 demand c 50 1\n"
         "31000 demand d 0 0\n"
         "31001 tick\n"
         "32000 demand a 900 9\n"
         "32000 demand b 900 9\n"
         "32000 demand c 900 9\n"
         "32000 demand d 10 1\n"
         "32001 tick\n"
         "33000 demand a 900 9\n"
         "33000 demand b 900 9\n"
         "33000 demand c 900 9\n"
         "33000 demand d 10 1\n"
         "33001 tick\n"
         "34000 demand a 0 0\n"
         "34000 demand b 100 1\n"
         "34000 demand c 0 0\n"
         "34000 demand d 0 0\n"
         "34001 tick\n"
         "35000 demand a 0 0\n"
         "35000 demand b 100 1\n"
         "35000 demand c 0 0\n"
         "35000 demand d 0 0\n"
         "35001 tick\n",
         "30001: a=250/2 b=50/1 c=50/1 d=0/0\n"
         "31001: a=900/6 b=50/1 c=50/1 d=0/0\n"
         "32001: a=330/2 b=50/1 c=50/1 d=0/0\n"
         "33001: a=330/3 b=330/2 c=330/2 d=10/1\n"
         "34001: a=225/2 b=325/2 c=225/1 d=10/1\n"
         "35001: a=225/2 b=325/3 c=225/1 d=225/1\n");
}

Test (share, quiet_after_taking_over)
{
  /* The home before may have granted nearly all to a node that this one
     doesn't hear.  Until such a grant has gone, nobody gets more than an
     even part. */
  check ("0 nodes a b c d\n"
         "100000 home on\n"
         "100500 demand a 900 9\n"
         "100500 demand b 0 0\n"
         "100501 tick\n"
         "101600 demand a 900 9\n"
         "101600 demand b 0 0\n"
         "101601 tick\n"
         "119000 demand a 900 9\n"
         "119000 demand b 0 0\n"
         "119001 tick\n"
         "121000 demand a 900 9\n"
         "121000 demand b 0 0\n"
         "121001 tick\n",
         "100501: a=250/2 b=0/0\n"
         "101601: a=250/2 b=0/0\n"
         "119001: a=250/2 b=0/0\n"
         "121001: a=500/4 b=0/0\n");
}

Test (share, silent_node_keeps_its_share_then_decays)
{
  /* b was granted all and then isn't heard any more.  What it may still
     hold isn't given to others; after its grant ended, that falls to an
     even part and stays there while b counts. */
  check ("0 nodes a b\n"
         "1 home on\n"
         "30000 demand a 0 0\n"
         "30000 demand b 1000 8\n"
         "30001 tick\n"
         "31001 demand a 0 0\n"
         "31001 demand b 1000 8\n"
         "31002 tick\n"
         "32002 demand a 1000 8\n"
         "32003 tick\n"
         "36000 demand a 1000 8\n"
         "36001 tick\n"
         "39000 demand a 1000 8\n"
         "39001 tick\n"
         "44000 demand a 1000 8\n"
         "44001 tick\n"
         "49000 demand a 1000 8\n"
         "49001 tick\n"
         "90000 demand a 1000 8\n"
         "90001 tick\n"
         "91000 nodes a\n"
         "91001 demand a 1000 8\n"
         "91002 tick\n",
         "30001: a=0/0 b=500/4\n"
         "31002: a=0/0 b=1000/8\n"
         "32003: a=0/0 b=500/4\n"
         "36001: a=0/0\n"
         "39001: a=121/0\n"
         "44001: a=311/2\n"
         "49001: a=405/3\n"
         "90001: a=500/4\n"
         "91002: a=1000/8\n");
}

Test (share, smaller_grant_may_be_lost)
{
  /* b's share was cut in the very second in which it fell silent.  As long as
     no demand of b shows that it knows, a doesn't get what b may hold. */
  check ("0 nodes a b\n"
         "1 home on\n"
         "30000 demand a 0 0\n"
         "30000 demand b 1000 8\n"
         "30001 tick\n"
         "31001 demand a 0 0\n"
         "31001 demand b 1000 8\n"
         "31002 tick\n"
         "32002 demand a 1000 8\n"
         "32002 demand b 0 0\n"
         "32003 tick\n"
         "33003 demand a 1000 8\n"
         "33004 tick\n"
         "34004 demand a 1000 8\n"
         "34005 tick\n"
         "36500 demand a 1000 8\n"
         "36501 tick\n"
         "45000 demand a 1000 8\n"
         "45001 tick\n",
         "30001: a=0/0 b=500/4\n"
         "31002: a=0/0 b=1000/8\n"
         "32003: a=0/0 b=0/0\n"
         "33004: a=0/0 b=0/0\n"
         "34005: a=0/0 b=0/0\n"
         "36501: a=0/0\n"
         "45001: a=310/2\n");
}

Test (share, silent_node_with_little_grows)
{
  /* b held nothing when it fell silent.  By the gateways' rule it grows to an
     even part, so that much is kept back in time. */
  check ("0 nodes a b\n"
         "1 home on\n"
         "30000 demand a 1000 8\n"
         "30000 demand b 0 0\n"
         "30001 tick\n"
         "31001 demand a 1000 8\n"
         "31001 demand b 0 0\n"
         "31002 tick\n"
         "34000 demand a 1000 8\n"
         "34001 tick\n"
         "35001 demand a 1000 8\n"
         "35002 tick\n"
         "40000 demand a 1000 8\n"
         "40001 tick\n"
         "60000 demand a 1000 8\n"
         "60001 tick\n",
         "30001: a=500/4 b=0/0\n"
         "31002: a=1000/8 b=0/0\n"
         "34001: a=1000/8 b=0/0\n"
         "35002: a=879/7\n"
         "40001: a=689/5\n"
         "60001: a=512/4\n");
}

Test (share, only_the_home_divides)
{
  /* Demands reach a node that isn't the home: no grants. */
  check ("0 nodes a b\n"
         "1000 demand a 10 1\n"
         "1001 tick\n"
         "2001 demand a 10 1\n"
         "2002 tick\n",
         "1001:\n"
         "2002:\n");
}
