/*
 * Cold servers with real processes: servers that come back after a crash get
 * no more requests than they tolerate, counted at the stand-in.
 */
#include <criterion/criterion.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#include "base/clock.h"
#include "t/lib-rack.h"

TestSuite (cold_servers, .fini = proc_stop_all, .timeout = 120);

#define NODES RACK_MANY_NODES
#define CALLERS 24
/** Time between two calls of a caller. */
#define CALL_INTERVAL_US 20000
/** Maximum in any second: 1.5 times 26, plus 5. */
#define COLD_MAX 44
/** A cold server crashes of more than twice its rate. */
#define COLD_CRASH 52
/** How long servers are cold. */
#define COLD_S 6
/** Half of the requests that two servers tolerate in this time. */
#define COLD_USED (26 * COLD_S)

/** Callers of the plain service, each at another node. */
struct callers
{
  const struct rack *r;
  GThread *thread[CALLERS];
  gint stop, next, dead_node;
};

static gpointer
run_caller (gpointer ctx)
{
  struct callers *c = ctx;
  int number = g_atomic_int_add (&c->next, 1);
  char id[32];

  for (int i = 0; !g_atomic_int_get (&c->stop); i++)
    {
      int node = (number + i) % NODES;
      if (node == g_atomic_int_get (&c->dead_node))
        continue;
      snprintf (id, sizeof id, "c%d-%d", number, i);
      rack_call (c->r, node, "/safe/x", id, NULL, NULL);
      usleep (CALL_INTERVAL_US);
    }
  return NULL;
}

static void
start_callers (struct callers *c, const struct rack *r)
{
  *c = (struct callers){ .r = r, .dead_node = -1 };
  for (int i = 0; i < CALLERS; i++)
    c->thread[i] = g_thread_new ("caller", run_caller, c);
}

static void
stop_callers (struct callers *c)
{
  g_atomic_int_set (&c->stop, 1);
  for (int i = 0; i < CALLERS; i++)
    g_thread_join (c->thread[i]);
}

static void
start_nodes (struct rack *r)
{
  rack_prepare_nodes (r, 0, NODES, NULL);
  rack_configure (r, 1, "k1", "");
  for (int i = 0; i < NODES; i++)
    rack_start_node (r, i);
  for (int i = 0; i < NODES; i++)
    cr_assert (rack_call_until (r, i, "/safe/x", rack_headers ("warm"), 200));
  rack_set (r, "{\"cold\": {\"ms\": %d, \"crash\": %d}, \"revive_ms\": 500}",
            COLD_S * 1000, COLD_CRASH);
  /* Nodes that have just started grant no permits. */
  usleep (2500000);
}

static void
crash_servers (const struct rack *r)
{
  rack_set (r, "{\"server\": \"p1\", \"crash\": true}");
  rack_set (r, "{\"server\": \"p2\", \"crash\": true}");
}

static void
expect_bound_kept (const struct rack *r)
{
  int used = 0;
  static const char *const servers[] = { "p1", "p2" };

  for (int i = 0; i < 2; i++)
    {
      int most = rack_get_count (r, servers[i], "cold_most");
      used += rack_get_count (r, servers[i], "cold_arrived");
      cr_expect_leq (most, COLD_MAX, "%s: %d requests in a second", servers[i],
                     most);
      cr_log_info ("%s: %d in a second, %d in total", servers[i], most,
                   rack_get_count (r, servers[i], "cold_arrived"));
    }
  cr_expect_geq (used, COLD_USED, "%d requests used", used);
}

/* Guards against nodes that each send what a cold server tolerates, and
   against cold servers that are left without requests. */
Test (cold_servers, servers_come_back)
{
  struct rack r;
  struct callers c;

  rack_limit_cold ();
  start_nodes (&r);
  start_callers (&c, &r);
  crash_servers (&r);
  /* Expiry of the entry, start, cold period. */
  usleep (1500000 + 500000 + COLD_S * 1000000 + 500000);
  stop_callers (&c);
  expect_bound_kept (&r);
  cr_expect (rack_wait_for_counts (&r, "\"crashed\": 2"));
}

/** Servers come back, and the leader gets these signals during their cold
   time; the second one 1.5 s after the first; 0: none. */
static void
disturb_leader (int first, int second)
{
  struct rack r;
  struct callers c;
  int leader = rack_leader (NODES);

  rack_limit_cold ();
  start_nodes (&r);
  start_callers (&c, &r);
  crash_servers (&r);
  usleep (1500000 + 500000 + 1000000);
  g_atomic_int_set (&c.dead_node, leader);
  proc_signal (r.node[leader], first);
  usleep (1500000);
  if (second)
    {
      proc_signal (r.node[leader], second);
      g_atomic_int_set (&c.dead_node, -1);
    }
  usleep ((COLD_S - 1) * 1000000 - 1500000 + 500000);
  stop_callers (&c);
  for (int i = 1; i <= 2; i++)
    {
      char id[4] = { 'p', (char)('0' + i) };
      int most = rack_get_count (&r, id, "cold_most");
      cr_expect_leq (most, COLD_MAX, "%s: %d requests in a second", id, most);
      cr_log_info ("%s: %d in a second, %d in total", id, most,
                   rack_get_count (&r, id, "cold_arrived"));
    }
  cr_expect (rack_wait_for_counts (&r, "\"crashed\": 2"));
}

/* Guards against two grantors that each use the whole rate, after the leader
   was killed while servers were cold. */
Test (cold_servers, leader_is_killed) { disturb_leader (SIGKILL, 0); }

/* Guards against permits that a paused leader grants, or uses, when it goes on
   after another node has become the grantor. */
Test (cold_servers, leader_pauses) { disturb_leader (SIGSTOP, SIGCONT); }

/* Guards against a limit where the platform sets none; it also shows that the
   callers of these tests exceed the bound without the limit. */
Test (cold_servers, not_enabled)
{
  struct rack r;
  struct callers c;

  start_nodes (&r);
  start_callers (&c, &r);
  crash_servers (&r);
  usleep (1500000 + 500000 + 1000000);
  stop_callers (&c);
  cr_expect_gt (rack_get_count (&r, "p1", "cold_most")
                    + rack_get_count (&r, "p2", "cold_most"),
                2 * COLD_MAX);
}
