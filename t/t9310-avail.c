/*
 * Backend servers that ask for a pause or announce their shutdown, with real
 * processes. The checks use the platform's counts of what reaches each server.
 */
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (avail, .fini = proc_stop_all, .timeout = 120);

/** Maximum of requests that a node may send to a server in a pause. */
#define MAX_IN_PAUSE 2
#define PAUSE_US 20000

/** Calls nodes in turn, with ids from which the platform tells them apart;
    returns failed calls. */
static int
call_for_duration (const struct rack *r, int nodes, const char *path,
                   clk_ms ms)
{
  clk_ms end = clk_now () + ms;
  static int nrequests;
  char id[24];
  int failures = 0;

  for (; clk_now () < end; usleep (PAUSE_US))
    {
      int node = ++nrequests % nodes;
      snprintf (id, sizeof id, "%d/q%d", node + 1, nrequests);
      failures += rack_call (r, node, path, id, NULL, NULL) != 200;
    }
  return failures;
}

/** The server rejects all requests and asks for a pause of @p s seconds. */
static void
ask_pause (const struct rack *r, const char *server, const char *s)
{
  rack_set (r,
            "{\"server\": \"%s\", \"rejects\": true, \"retry_after\": \"%s\"}",
            server, s);
}

static void
expect_pauses_respected (const struct rack *r, const char *server)
{
  int max = rack_get_count (r, server, "pause_most");

  cr_expect_leq (max, MAX_IN_PAUSE, "%s: %d requests in a pause", server, max);
}

/* Guards against nodes that ignore the Retry-After of a server's rejection. */
Test (avail, server_that_asks_for_a_pause_gets_one)
{
  struct rack r;

  rack_start_all (&r, 4);
  ask_pause (&r, "p1", "3");
  cr_expect_eq (call_for_duration (&r, RACK_NODES, "/safe/x", 8000), 0);
  expect_pauses_respected (&r, "p1");
}
