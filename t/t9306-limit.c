/*
 * Backend servers that name the request rate that they take, over real
 * processes.  The judge is the platform's own count of what reaches them.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (rate_limit, .fini = proc_stop_all, .timeout = 120);

/** What may reach a server in 4 s: one and a half times what it takes in them,
    and 5. */
#define MOST(per_s) ((int)(1.5 * (per_s)*4) + 5)
#define PAUSE_US 20000

/** Call the plain service at @p nodes nodes in turn.
    @return  how many calls were not served */
static int
call_for (const struct rack *r, int nodes, clk_ms ms)
{
  clk_ms end = clk_now () + ms;
  static int asked;
  char id[16];
  int bad = 0;

  for (; clk_now () < end; usleep (PAUSE_US))
    {
      snprintf (id, sizeof id, "q%d", ++asked);
      bad += rack_call (r, asked % nodes, "/safe/x", id, NULL, NULL) != 200;
    }
  return bad;
}

/* Guards against nodes that go on sending to a server what it has told them
   that it can't take. */
Test (rate_limit, a_server_gets_no_more_than_it_names)
{
  struct rack r;
  int most;

  rack_serve (&r, 4);
  rack_set (&r, "{\"server\": \"p1\", \"limit\": \"2\"}");
  cr_expect_eq (call_for (&r, RACK_NODES, 8000), 0);
  most = rack_count (&r, "p1", "limited_most");
  cr_expect_leq (most, MOST (2), "%d requests in 4 s", most);
  /* It is limited, not gone. */
  cr_expect_geq (rack_count (&r, "p1", "limited_arrived"), 8);
}
