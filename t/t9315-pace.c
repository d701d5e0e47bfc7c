/*
 * A slow replica beside 18 nodes, as processes: what each node sees of it
 * reaches all of them through the sums of one node.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <unistd.h>

#include "t/lib-rack.h"

TestSuite (pace_nodes, .fini = proc_stop_all, .timeout = 120);

#define ENGINES 16 /* four replicas */
#define STREAMS 24
/** Time for what happens within a second; the processes share few cores. */
#define WAIT_MS 5000

/** A server that has streams. */
static const char *
find_leader (const struct rack *r)
{
  static char id[16];

  for (int i = 1; i <= ENGINES; i++)
    {
      snprintf (id, sizeof id, "e%d", i);
      if (rack_get_count (r, id, "open") > 0)
        return id;
    }
  cr_assert (false, "no server has streams");
  return NULL;
}

/* Guards against evidence that gets lost on its way: most nodes have no stream
   at the slow replica. */
Test (pace_nodes, all_nodes_learn_of_a_slow_replica)
{
  struct rack r;
  struct web_stream *w[STREAMS];
  char headers[STREAMS][256];

  rack_start_many (&r, ENGINES);
  rack_set (&r, "{\"events\": 600, \"event_ms\": 30}");
  for (int i = 0; i < STREAMS; i++)
    {
      char id[16];
      snprintf (id, sizeof id, "s%d", i);
      snprintf (headers[i], sizeof headers[i], "%s", rack_headers (id));
      w[i] = web_open (r.front[i % RACK_MANY_NODES], "POST", "/stream/x",
                       headers[i], "x");
    }
  usleep (2000000);
  rack_set (&r, "{\"server\": \"%s\", \"slow\": 6}", find_leader (&r));
  for (int i = 0; i < RACK_MANY_NODES; i++)
    cr_expect (web_poll_until (r.ready[i], "/metrics", NULL,
                               "lapisline_serve_places_slow 1\n", WAIT_MS),
               "node %d", i);
  for (int i = 0; i < STREAMS; i++)
    web_close (w[i]);
}
