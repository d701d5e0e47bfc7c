/*
 * Request rate limits of backend servers: parsing of the response header, and
 * enforcement at a single node and across many nodes (scripts of t/lib-limit.h
 * and t/lib-dispatch.h).
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

#include "platform/names.h"
#include "platform/platform.h"
#include "t/lib-dispatch.h"
#include "t/lib-limit.h"

/** Parse a response with one or two rate headers, and format the result. */
static const char *
read_header (const char *first, const char *second)
{
  static char text[64];
  struct http_header h[2] = { { STR (PLT_H_RATE), str_from (first) } };
  struct srv_response a;

  if (second)
    h[1] = (struct http_header){ STR (PLT_H_RATE), str_from (second) };
  plt_parse_response (STR ("id"), 200, h, second ? 2 : 1, &a);
  if (a.limit == LIM_REPORT_MALFORMED)
    return "unreadable";
  snprintf (text, sizeof text, "%g", a.rate);
  return a.limit == LIM_REPORT_RATE ? text : "nothing";
}

/* A malformed header must not be taken for a limit. */
Test (limit, header_values)
{
  static const char *const row[][3] = {
    { "1.9", NULL, "1.9" },
    { " 3.50 ", NULL, "3.5" },
    { "0", NULL, "0" },
    { "0.3", NULL, "0.3" },
    { "12", NULL, "12" },
    { "1e9", NULL, "1e+09" },
    { "nan", NULL, "unreadable" },
    { "inf", NULL, "unreadable" },
    { "-1", NULL, "unreadable" },
    { "", NULL, "unreadable" },
    { "ten", NULL, "unreadable" },
    { "2 a second", NULL, "unreadable" },
    { "0x10", NULL, "unreadable" },
    { "1e999", NULL, "unreadable" },
    { "2,5", NULL, "unreadable" },
    { "2", "3", "unreadable" },
    { "2", "2", "unreadable" },
    { ".5", NULL, "unreadable" },
  };

  for (size_t i = 0; i < sizeof row / sizeof row[0]; i++)
    cr_expect_str_eq (read_header (row[i][0], row[i][1]), row[i][2], "%s",
                      row[i][0]);
}

/* A response without the header must not set a limit. */
Test (limit, no_header)
{
  struct srv_response a;

  plt_parse_response (STR ("id"), 200, NULL, 0, &a);
  cr_expect_eq (a.limit, LIM_REPORT_NONE);
}

/* The limit is the total of all nodes.  Nodes that each applied it to their
   own requests would send a multiple of it. */
Test (limit, rate_is_shared_by_all_nodes)
{
  limit_run_script (
      "nodes 8\n load 100\n limit s 2\n run 3000\n show s\n reset\n"
      "run 20000\n count s\n",
      "s LLLLLLLL\ns kept used\n");
  limit_run_script ("nodes 78\n load 500\n limit s 2\n run 3000\n reset\n"
                    "run 20000\n count s\n",
                    "s kept used\n");
  limit_run_script ("nodes 295\n load 800\n limit s 2\n run 3000\n reset\n"
                    "run 20000\n count s\n",
                    "s kept used\n");
}

/* A limit must also be applied by nodes that received no response with it. */
Test (limit, all_nodes_receive_limit_within_250_ms)
{
  limit_run_script (
      "nodes 18\n load 100\n target 18\n limit s 2\n run 250\n show s\n",
      "s LLLLLLLLLLLLLLLLLL\n");
}

/* Nodes must not accumulate permits while there is no load and then spend them
   in one burst. */
Test (limit, idle_nodes_accumulate_no_burst)
{
  limit_run_script ("nodes 78\n load 500\n limit s 2\n run 3000\n load 0\n"
                    "run 60000\n reset\n load 500\n run 4000\n count s\n",
                    "s kept used\n");
}

/* With few requests, each at another node, the permitted rate must still be
   used up. */
Test (limit, low_load_can_use_full_rate)
{
  limit_run_script ("nodes 8\n load 3\n limit s 2\n run 10000\n reset\n"
                    "run 60000\n count s\n",
                    "s kept used\n");
  limit_run_script ("nodes 78\n load 3\n limit s 2\n run 60000\n reset\n"
                    "run 60000\n count s\n",
                    "s kept used\n");
}

/* While the grantor is killed and started again, a server must get some
   requests, but not twice its rate. */
Test (limit, grantor_is_killed)
{
  limit_run_script (
      "nodes 8\n load 100\n limit s 2\n run 5000\n reset\n kill 1\n"
      "run 10000\n count s\n show s\n reset\n start 1\n run 10000\n"
      "count s\n show s\n",
      "s kept half\ns .LLLLLLL\ns kept used\ns LLLLLLLL\n");
}

/* As above, for a grantor that freezes and resumes with stale state. */
Test (limit, grantor_freezes)
{
  limit_run_script (
      "nodes 8\n load 100\n limit s 2\n run 5000\n reset\n freeze 1\n"
      "run 6000\n count s\n reset\n thaw 1\n run 10000\n count s\n",
      "s kept half\ns kept used\n");
}

/* While links are cut, the two sides must not each grant the full rate. */
Test (limit, two_grantors_while_links_are_cut)
{
  limit_run_script (
      "nodes 8\n load 100\n limit s 2\n run 5000\n cut 1\n cut 2\n"
      "cut 3\n reset\n run 20000\n count s\n reset\n link 1\n"
      "link 2\n link 3\n run 10000\n count s\n",
      "s kept used\ns kept used\n");
  limit_run_script (
      "nodes 8\n load 100\n limit s 2\n run 5000\n isolate\n reset\n"
      "run 20000\n count s\n",
      "s kept used\n");
}

/* Many nodes that grant to themselves must not send at the same time. */
Test (limit, isolated_nodes_do_not_send_at_same_time)
{
  limit_run_script (
      "nodes 78\n load 500\n limit s 2\n run 3000\n isolate\n run 3000\n"
      "reset\n run 90000\n count s\n",
      "s kept used\n");
  limit_run_script (
      "nodes 78\n load 500\n limit s 2\n run 3000\n isolate\n run 60000\n"
      "load 0\n run 60000\n reset\n load 500\n run 4000\n count s\n",
      "s kept little\n");
}

/* Nodes that all restart have no recorded limits, and must receive them
   soon. */
Test (limit, all_nodes_restart)
{
  limit_run_script (
      "nodes 8\n load 100\n limit s 2\n run 5000\n kill 1\n kill 2\n"
      "kill 3\n kill 4\n kill 5\n kill 6\n kill 7\n kill 8\n"
      "start 1\n start 2\n start 3\n start 4\n start 5\n start 6\n"
      "start 7\n start 8\n run 500\n show s\n reset\n run 10000\n"
      "count s\n",
      "s LLLLLLLL\ns kept used\n");
}

/* A started node must not treat a limited server as unlimited. */
Test (limit, started_node_receives_limits)
{
  limit_run_script (
      "nodes 8\n load 100\n target 1\n limit s 2\n run 3000\n kill 8\n"
      "start 8\n run 20\n show s\n",
      "s LLLLLLLL\n");
}

/* Permits that were delayed and arrive at the same time must not be used in
   one burst. */
Test (limit, delayed_permits_do_not_accumulate)
{
  limit_run_script (
      "nodes 8\n load 400\n target 5\n limit s 10\n run 3000\n hold 5\n"
      "run 900\n reset\n release 5\n run 1000\n count s\n",
      "s kept used\n");
}

/* A limit must end with the responses that carry it, and a lower limit must be
   applied immediately. */
Test (limit, limit_changes_and_ends)
{
  limit_run_script ("nodes 8\n load 100\n limit s 8\n run 5000\n limit s 1\n"
                    "run 2000\n reset\n run 20000\n count s\n limit s 12\n"
                    "run 3000\n reset\n run 10000\n count s\n limit s none\n"
                    "run 1000\n show s\n",
                    "s kept used\ns kept used\ns --------\n");
}

/* A limit of zero would never end without requests, because its end is only
   reported in responses. */
Test (limit, limit_of_zero_is_probed)
{
  limit_run_script (
      "nodes 8\n load 100\n limit s 0\n run 3000\n reset\n run 30000\n"
      "count s\n limit s none\n run 9000\n show s\n",
      "s kept used\ns --------\n");
}

/* A limit far above the load must not delay requests. */
Test (limit, limit_above_load)
{
  struct limit_fleet *f = xcalloc (1, sizeof *f);
  struct buf log = BUF_INIT;

  limit_fleet_init (f, 8, 1);
  limit_run_line (f, "load 100", &log);
  limit_run_line (f, "limit s 1e9", &log);
  limit_run_line (f, "run 3000", &log);
  limit_run_line (f, "reset", &log);
  limit_run_line (f, "run 10000", &log);
  cr_expect_geq (f->server[0].n, 950);
  cr_expect_leq (lim_stats (f->node[0].l, f->now).granted, 200u * UINT16_MAX);
  limit_fleet_free (f);
  free (f);
  buf_free (&log);
}

/* The limit of one server must not affect another one. */
Test (limit, servers_have_separate_limits)
{
  limit_run_script (
      "nodes 8\n load 200\n limit s 2\n limit t 6\n limit u none\n"
      "run 3000\n show s\n show t\n show u\n reset\n run 20000\n"
      "count s\n count t\n",
      "s LLLLLLLL\nt LLLLLLLL\nu --------\ns kept used\nt kept used\n");
}

/* A node must not wait forever for permits from a grantor that has recorded no
   limit for the server. */
Test (limit, different_limits_converge)
{
  limit_run_script ("nodes 8\n load 100\n limit s none\n run 1000\n"
                    "record 8 s 0\n run 8000\n show s\n",
                    "s --------\n");
  limit_run_script ("nodes 8\n load 100\n limit s 2\n run 3000\n"
                    "record 1 s none\n run 2000\n show s\n reset\n"
                    "run 10000\n count s\n",
                    "s LLLLLLLL\ns kept used\n");
}

static enum lim_change
respond (struct lim *l, clk_ms now, double rate, clk_ms sent_at)
{
  struct lim_report report = { .server = 7, .rate = rate, .sent_at = sent_at };

  report.kind = rate < 0 ? LIM_REPORT_NONE : LIM_REPORT_RATE;
  return lim_on_report (l, now, &report);
}

/* An older response that arrives late must neither end a limit nor raise it.
 */
Test (limit, reordered_responses)
{
  struct lim *l = lim_new (1);
  double rate;

  cr_expect_eq (respond (l, 1000, 4, 900), LIM_SET);
  cr_expect_eq (respond (l, 1010, -1, 950), LIM_UNCHANGED);
  cr_expect_eq (respond (l, 1020, 9, 990), LIM_UNCHANGED);
  cr_expect_eq (respond (l, 1030, 2, 960), LIM_SET);
  cr_expect (lim_get_rate (l, 7, &rate) && rate == 2);
  cr_expect_eq (respond (l, 1200, 5, 1040), LIM_SET);
  cr_expect_eq (respond (l, 1300, -1, 1199), LIM_UNCHANGED);
  cr_expect_eq (respond (l, 1400, -1, 1350), LIM_ENDED);
  cr_expect_not (lim_any_limited (l));
  lim_free (l);
}

/* A node must not keep permits and use them much later. */
Test (limit, permits_expire_and_are_capped)
{
  struct lim *l = lim_new (1);

  respond (l, 1000, 2, 900);
  lim_add_permits (l, 1100, 7, 1);
  lim_add_permits (l, 1110, 7, 1);
  lim_add_permits (l, 1120, 7, 5);
  cr_expect (lim_allows (l, 1130, 7));
  lim_use_permit (l, 1130, 7);
  cr_expect_not (lim_allows (l, 1130, 7));
  lim_add_permits (l, 1200, 7, 1);
  cr_expect (lim_allows (l, 2100, 7));
  cr_expect_not (lim_allows (l, 2300, 7));
  lim_free (l);
}

/* Guards against permits that are used after a pause of the process, by when
   they have expired at the grantor: those that it held, and those that waited
   in its sockets. */
Test (limit, permits_of_before_a_pause_are_not_used)
{
  struct lim *l = lim_new (1);

  respond (l, 1000, 2, 900);
  lim_add_permits (l, 1100, 7, 1);
  lim_resumed (l, 1900);
  cr_expect_not (lim_allows (l, 1900, 7));
  lim_add_permits (l, 1910, 7, 1);
  cr_expect_not (lim_allows (l, 1910, 7));
  lim_add_permits (l, 1960, 7, 1);
  cr_expect (lim_allows (l, 1960, 7));
  lim_free (l);
}

/* An update from another node that is older than the recorded limit must be
   ignored. */
Test (limit, newer_update_applies)
{
  struct lim *l = lim_new (1);
  struct lim_update ended = { .server = 7, .age_ms = 300 };

  respond (l, 1000, 4, 900);
  cr_expect_not (lim_apply_update (l, 1100, &ended));
  ended.age_ms = 50;
  cr_expect (lim_apply_update (l, 1100, &ended));
  cr_expect_not (lim_apply_update (l, 1100, &ended));
  cr_expect_not (lim_any_limited (l));
  lim_free (l);
}

/* Malformed limits must not cause a log line for every response. */
Test (limit, malformed_limit_is_reported_once)
{
  struct lim *l = lim_new (1);
  struct lim_report report = { .server = 7, .kind = LIM_REPORT_MALFORMED };
  double rate;

  respond (l, 1000, 4, 900);
  cr_expect_eq (lim_on_report (l, 1100, &report), LIM_MALFORMED);
  cr_expect_eq (lim_on_report (l, 1200, &report), LIM_UNCHANGED);
  cr_expect (lim_get_rate (l, 7, &rate) && rate == 4);
  lim_free (l);
}

/* Memory must not grow with every server that has ever set a limit. */
Test (limit, memory_is_bounded)
{
  struct lim *l = lim_new (1);
  struct lim_report report = { .kind = LIM_REPORT_RATE, .rate = 1 };

  for (uint64_t i = 1; i <= 5 * LIM_MAX_SERVERS; i++)
    {
      report.server = i;
      lim_on_report (l, (clk_ms)i, &report);
    }
  cr_expect_eq (lim_stats (l, 0).limited, LIM_MAX_SERVERS);
  lim_free (l);
}

/** Run a random sequence of faults.  The requests of all nodes together must
    stay within the rate of the server. */
static void
run_random_faults (uint64_t seed)
{
  static const char *const commands[] = {
    "kill", "start", "freeze", "thaw", "cut", "link", "hold", "release"
  };
  struct limit_fleet *f = xcalloc (1, sizeof *f);
  struct buf log = BUF_INIT;
  char text[64];
  size_t most;

  limit_fleet_init (f, 8, seed);
  limit_run_line (f, "load 200", &log);
  limit_run_line (f, "limit s 3", &log);
  limit_run_line (f, "run 2000", &log);
  limit_run_line (f, "reset", &log);
  for (int i = 0; i < 60; i++)
    {
      int pair = (int)rng_below (&f->rng, 4);
      int node = (int)rng_below (&f->rng, 8);
      bool was[4] = { !f->node[node].l, f->node[node].frozen,
                      f->node[node].cut, f->node[node].held };
      snprintf (text, sizeof text, "%s %d", commands[2 * pair + was[pair]],
                node + 1);
      limit_run_line (f, text, &log);
      snprintf (text, sizeof text, "run %d",
                (int)(100 + rng_below (&f->rng, 2000)));
      limit_run_line (f, text, &log);
    }
  most = limit_max_in_window (&f->server[0]);
  cr_expect_leq (most, 23, "seed %d: %zu", (int)seed, most);
  limit_fleet_free (f);
  free (f);
  buf_free (&log);
}

/* The limit must be kept with kills, freezes, cuts and delayed messages in any
   order. */
Test (limit, random_faults)
{
  const char *seeds = getenv ("LIMIT_SEEDS");
  uint64_t n = seeds ? strtoull (seeds, NULL, 10) : 100;

  for (uint64_t seed = 1; seed <= n; seed++)
    run_random_faults (seed);
}

/* A limited endpoint looks idle, but must not attract all requests. */
Test (limit, limited_endpoint_counts_as_full)
{
  dispatch_play (
      "endpoints app 2 10\n limit app1 2\n submit 1 safe\n submit 2 safe\n"
      "submit 3 safe\n permit app1\n submit 4 safe\n submit 5 safe\n"
      "run 20\n"
      "limit app1 none\n submit 6 safe\n",
      "send 1 app2\nsend 2 app2\nsend 3 app2\nsend 4 app1\n"
      "send 5 app2\nsend 6 app1\n");
}

/* A request must not wait for a permit that will not come, if all endpoints
   are limited.  The first one waits until the permit request is answered;
   later ones are refused immediately. */
Test (limit, refused_immediately_without_permits)
{
  dispatch_play (
      "nodes 8\n endpoints app 1 10\n limit app1 2\n submit 1 safe\n"
      "run 20\n submit 2 safe\n run 20\n",
      "error 2 rate-limited 503 retry\nerror 1 rate-limited 503 retry\n");
}

/* A permit that arrives while a request waits must be used by this request. */
Test (limit, permit_is_used_by_waiting_request)
{
  dispatch_play (
      "nodes 8\n endpoints app 1 10\n limit app1 2\n submit 1 safe\n"
      "permit app1\n permit app1\n submit 2 safe\n",
      "send 1 app1\nsend 2 app1\n");
}

/* Requests of lower priority must not use up the permits. */
Test (limit, higher_priority_gets_permits_first)
{
  dispatch_play (
      "nodes 8\n endpoints app 1 10\n limit app1 2\n permit app1\n"
      "submit-low 1 safe\n permit app1\n submit 2 safe\n permit app1\n"
      "submit-low 3 safe\n submit 4 safe\n",
      "send 1 app1 p2\nsend 2 app1\n"
      "error 3 rate-limited 503 retry\nsend 4 app1\n");
}

/* Retries must not bypass the limit that applies to first attempts. */
Test (limit, retries_need_a_permit)
{
  dispatch_play ("endpoints app 2 10\n limit app2 2\n submit 1 safe\n sent 1\n"
                 "error 1\n run 40\n",
                 "send 1 app1\ncancel 1\nerror 1 broken 502\n");
  dispatch_play ("endpoints app 2 10\n limit app2 2\n submit 1 safe\n sent 1\n"
                 "error 1\n permit app2\n",
                 "send 1 app1\ncancel 1\nsend 1 app2\n");
}

/* Resumed streams must not bypass the limit. */
Test (limit, resumed_streams_need_a_permit)
{
  dispatch_play ("replicas lm 2 10\n limit lm2 2\n submit 1 stream\n sent 1\n"
                 "event 1\n interrupted 1\n permit lm2\n",
                 "send 1 lm1\nforward 1\ncheck lm1\ncancel 1\n"
                 "send 1 lm2 resume p0\n");
}

/* A failed endpoint that is tried because no other is left must not be sent
   more requests than its limit allows. */
Test (limit, only_remaining_endpoint_needs_a_permit)
{
  dispatch_play (
      "endpoints app 2 10\n close app2\n submit 1 once\n sent 1\n"
      "interrupted 1\n submit 2 once\n sent 2\n interrupted 2\n submit 3 "
      "once\n"
      "sent 3\n interrupted 3\n submit 4 once\n limit app1 2\n submit 5 once\n"
      "run 60\n",
      "send 1 app1\ncheck app1\ncancel 1\nerror 1 broken 502\n"
      "send 2 app1\ncancel 2\nerror 2 broken 502\n"
      "send 3 app1\ncancel 3\nerror 3 broken 502\n"
      "send 4 app1\nerror 5 no-server 503 retry\n");
}
