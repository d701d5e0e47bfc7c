/*
 * Cold servers: the rate and the lifetime of their permits at one node and
 * over many nodes (scripts of t/lib-limit.h), and the choice among cold and
 * warm endpoints (scripts of t/lib-dispatch.h).
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/str.h"
#include "platform/names.h"
#include "platform/platform.h"
#include "serve/cold.h"
#include "serve/server-list.h"
#include "t/lib-dispatch.h"
#include "t/lib-limit.h"

/** Run a script for a number of nodes. */
static void
run_nodes (int nodes, const char *script, const char *expected)
{
  struct buf text = BUF_INIT;

  buf_addf (&text, "nodes %d\n bound 1.5 5\n run 3000\n%s", nodes, script);
  limit_run_script (buf_c (&text), expected);
  buf_free (&text);
}

static const int node_counts[] = { 8, 84, 116, 295 };
#define COUNTS (sizeof node_counts / sizeof node_counts[0])

/* Nodes that each used the whole rate would send a multiple of it, and nodes
   that kept too little of it would leave the server idle while requests
   wait. */
Test (cold, rate_is_shared_and_used)
{
  for (size_t i = 0; i < COUNTS; i++)
    run_nodes (node_counts[i],
               "load 300\n cold s 26 20000\n run 20000\n second s\n",
               "s kept half\n");
}

/* A node that is cut off from all relays must use no more than its share, also
   when the share is less than one permit in the cold period. */
Test (cold, nodes_without_grantor)
{
  for (size_t i = 0; i < COUNTS; i++)
    run_nodes (node_counts[i],
               "isolate\n run 5000\n load 600\n cold s 26 60000\n"
               "run 60000\n second s\n",
               "s kept little\n");
}

/* While all nodes change to another grantor and back, the permits of both must
   stay within the bound. */
Test (cold, grantor_is_cut_off)
{
  for (size_t i = 0; i < COUNTS; i++)
    run_nodes (node_counts[i],
               "load 600\n cold s 26 30000\n run 2000\n cut 1\n run 4000\n"
               "link 1\n run 2000\n freeze 1\n run 4000\n thaw 1\n run 2000\n"
               "hold 1\n run 3000\n release 1\n run 3000\n second s\n",
               "s kept little\n");
}

/* A process that has just started and knows no other node must not use the
   whole rate: here, all nodes but the relays restart while they are cut
   off. */
Test (cold, started_nodes_grant_nothing)
{
  for (size_t i = 0; i < COUNTS; i++)
    {
      struct buf text = BUF_INIT;
      int n = node_counts[i];
      buf_addf (&text,
                "leases\n load 600\n cold s 26 20000\n run 2000\n"
                "each cut 1 4\n each kill 5 %d\n run 200\n each start 5 %d\n"
                "run 1000\n each link 1 4\n run 4000\n second s\n",
                n, n);
      run_nodes (n, buf_c (&text), "s kept little\n");
      buf_free (&text);
    }
}

/* --- one node ------------------------------------------------------------ */

#define COLD ((uint64_t)7)

/** A node that is started long ago and takes its permits from a grantor. */
static struct lim *
new_follower (void)
{
  struct lim *l = lim_new (1);

  lim_configure_cold (l, 1000, &(struct lim_cold_bound){ 26, 1.5, 5 });
  lim_set_role (l, 1000, false, 2);
  return l;
}

/** Request a permit at @p now; returns `cold_ms` of the request. */
static clk_ms
request_permit (struct lim *l, clk_ms now)
{
  size_t n;
  const struct lim_permits *list;

  lim_record_demand (l, now, COLD);
  list = lim_get_demand (l, now, false, &n);
  cr_assert_eq (n, 1);
  return list[0].cold_ms;
}

/* A server must need permits only while it is cold, and only at nodes for
   which cold servers are limited. */
Test (cold, permits_are_needed_while_cold)
{
  struct lim *l = new_follower ();
  uint64_t server, sent;
  clk_ms cold_ms;

  cr_expect (lim_allows (l, 10000, COLD));
  cr_expect (lim_set_cold (l, 10000, COLD, 26, 12000));
  cr_expect_not (lim_set_cold (l, 10000, COLD, 26, 12000));
  cr_expect_not (lim_allows (l, 10000, COLD));
  cr_expect (lim_any_limited (l));
  cold_ms = request_permit (l, 10000);
  lim_add_cold_permits (l, 10005, COLD, 1, cold_ms);
  cr_expect (lim_allows (l, 10005, COLD));
  lim_use_permit (l, 10005, COLD);
  cr_expect_not (lim_allows (l, 10005, COLD));
  cr_expect_not (lim_next_warm (l, 12249, &server, &sent));
  cr_expect (lim_next_warm (l, 12250, &server, &sent) && server == COLD
             && sent == 1);
  cr_expect_not (lim_next_warm (l, 12250, &server, &sent));
  cr_expect (lim_allows (l, 12250, COLD));
  cr_expect_not (lim_any_limited (l));
  lim_free (l);
}

/* The lower one of the two rates must apply to a cold server that has named a
   limit, and the limit remains when it is warm. */
Test (cold, lower_of_two_rates)
{
  struct lim *l = new_follower ();
  struct lim_report report = { .server = COLD, .kind = LIM_REPORT_RATE };
  uint64_t server, sent;
  double cold_rate, rate;

  lim_set_cold (l, 10000, COLD, 26, 13000);
  cr_assert (lim_get_rate (l, COLD, &cold_rate));
  cr_expect (cold_rate >= 13 && cold_rate <= 26);
  report.rate = 40;
  lim_on_report (l, 10000, &report);
  cr_expect (lim_get_rate (l, COLD, &rate) && rate == cold_rate);
  report.rate = 3;
  lim_on_report (l, 10000, &report);
  cr_expect (lim_get_rate (l, COLD, &rate) && rate == 3);
  cr_expect (lim_next_warm (l, 13250, &server, &sent));
  cr_expect (lim_get_rate (l, COLD, &rate) && rate == 3);
  lim_free (l);
}

/* A permit must not be used later than 100 ms after its grant: neither for a
   request that waits for its connection, nor if the grant arrives late. */
Test (cold, permits_expire_early)
{
  struct lim *l = new_follower ();
  clk_ms cold_ms, expires_at;

  lim_set_cold (l, 10000, COLD, 26, 13000);
  cold_ms = request_permit (l, 10000);
  lim_add_cold_permits (l, 10040, COLD, 1, cold_ms);
  cr_expect (lim_allows (l, 10099, COLD));
  cr_expect_not (lim_allows (l, 10100, COLD));
  expires_at = lim_use_permit (l, 10099, COLD);
  cr_expect (lim_may_write (l, 10099, COLD, expires_at));
  cr_expect_not (lim_may_write (l, 10100, COLD, expires_at));
  cold_ms = request_permit (l, 10200);
  lim_add_cold_permits (l, 10300, COLD, 1, cold_ms);
  cr_expect_not (lim_allows (l, 10300, COLD));
  /* It waited at the grantor for 90 ms. */
  cold_ms = request_permit (l, 10400);
  lim_add_cold_permits (l, 10500, COLD, 1, cold_ms - 90);
  cr_expect (lim_allows (l, 10500, COLD));
  lim_free (l);
}

/* A request for which no permit was needed yet must not be written after the
   node has learned that the server is cold. */
Test (cold, request_chosen_before_server_was_cold)
{
  struct lim *l = new_follower ();
  clk_ms expires_at = lim_use_permit (l, 10000, COLD);

  cr_expect (lim_may_write (l, 10000, COLD, expires_at));
  lim_set_cold (l, 10010, COLD, 26, 13000);
  cr_expect_not (lim_may_write (l, 10010, COLD, expires_at));
  lim_free (l);
}

/* After a server has become cold again, a late grant must not be taken for the
   answer to a newer request. */
Test (cold, late_grant_after_cold_again)
{
  struct lim *l = new_follower ();
  clk_ms cold_ms;

  lim_set_cold (l, 10000, COLD, 26, 13000);
  cold_ms = request_permit (l, 10100);
  lim_set_cold (l, 10500, COLD, 26, 13600);
  lim_add_cold_permits (l, 10700, COLD, 1, cold_ms);
  cr_expect_not (lim_allows (l, 10700, COLD));
  lim_set_cold (l, 10550, COLD, 26, 14100);
  lim_add_cold_permits (l, 11200, COLD, 1, cold_ms);
  cr_expect_not (lim_allows (l, 11200, COLD));
  lim_free (l);
}

/* A grantor that does not know that a server is cold must learn it with the
   first request for permits, and grant no permits that last for a second. */
Test (cold, grantor_learns_from_follower)
{
  struct lim *l = new_follower ();
  struct lim_permits wanted
      = { .server = COLD, .n = 1, .rate = -1, .cold_ms = 2000 };
  const struct lim_permits *granted;
  size_t n;

  lim_set_role (l, 10000, true, 2);
  lim_on_follower_demand (l, 10000, 2, false, &wanted, 1);
  cr_expect (lim_is_cold (l, COLD));
  cr_expect_eq (lim_updates (l, 10000, &n) != NULL && n, 0);
  lim_on_follower_demand (l, 10100, 2, false, &wanted, 1);
  granted = lim_grant (l, 10115, true, &n);
  cr_assert_eq (n, 1);
  cr_expect_eq (granted[0].n, 1);
  cr_expect_eq (granted[0].cold_ms, 1985);
  wanted = (struct lim_permits){ .server = COLD, .n = 1, .rate = 50 };
  lim_on_follower_demand (l, 11000, 2, false, &wanted, 1);
  lim_grant (l, 11000, true, &n);
  cr_expect_eq (n, 0);
  lim_free (l);
}

/* --- choice of an endpoint ----------------------------------------------- */

/* A cold endpoint looks idle, but must not attract all requests; with a permit
   it must not be left out while warm ones have free slots. */
Test (cold, endpoint_counts_as_full_without_permit)
{
  dispatch_play ("nodes 8\n endpoints app 2 10\n cold app1 3000\n"
                 "submit 1 safe\n submit 2 safe\n permit app1\n"
                 "submit 3 safe\n submit 4 safe\n",
                 "send 1 app2\nsend 2 app2\nsend 3 app1\nsend 4 app2\n");
}

/* At equal load, a warm endpoint must come first. */
Test (cold, warm_endpoint_first)
{
  dispatch_play ("nodes 8\n endpoints app 2 10\n cold app1 3000\n"
                 "permit app1\n submit 1 safe\n submit 2 safe\n",
                 "send 1 app2\nsend 2 app1\n");
}

/* While all endpoints are cold and out of permits, requests must be rejected
   as with rate limits, and not wait. */
Test (cold, all_endpoints_are_cold)
{
  dispatch_play (
      "nodes 8\n endpoints app 1 10\n cold app1 3000\n submit 1 safe\n"
      "run 20\n submit 2 safe\n permit app1\n submit 3 safe\n",
      "error 2 rate-limited 503 retry\nsend 1 app1\n");
}

/* A request whose connection took longer than the lifetime of its permit must
   not be written. */
Test (cold, connection_takes_too_long)
{
  dispatch_play ("nodes 8\n endpoints app 2 1\n cold app1 3000\n"
                 "submit 1 safe\n permit app1\n submit 2 safe\n run 120\n"
                 "sent 2\n",
                 "send 1 app2\nsend 2 app1\ncancel 2\nsend 2 app2\n");
}

/* A request that was sent to a warm server must not be written after it became
   cold. */
Test (cold, server_becomes_cold_while_connecting)
{
  dispatch_play ("nodes 8\n endpoints app 1 10\n submit 1 safe\n"
                 "cold app1 3000\n sent 1\n",
                 "send 1 app1\ncancel 1\n");
}

/* Retries and resumed streams must not bypass the permits. */
Test (cold, retries_and_resumed_streams_need_a_permit)
{
  dispatch_play ("nodes 8\n endpoints app 2 10\n cold app2 3000\n"
                 "submit 1 safe\n sent 1\n error 1\n permit app2\n",
                 "send 1 app1\ncancel 1\nsend 1 app2\n");
  dispatch_play ("nodes 8\n replicas lm 2 10\n cold lm2 3000\n"
                 "submit 1 stream\n sent 1\n event 1\n interrupted 1\n"
                 "permit lm2\n",
                 "send 1 lm1\nforward 1\ncheck lm1\ncancel 1\n"
                 "send 1 lm2 resume p0\n");
}

/* --- which servers are cold ---------------------------------------------- */

/** The core with a service "app" whose servers are cold for 3 s. */
struct fixture
{
  struct lim *limits;
  struct bks *backends;
  struct cld *cold;
  struct bks_entry e;
};

static void
set_up (struct fixture *x, double over)
{
  struct tbl *t = tbl_new ();

  t->services = arena_alloc (&t->arena, 1, sizeof *t->services);
  t->services[0] = (struct tbl_service){ .name = STR ("app"),
                                         .cold_ms = 3000,
                                         .cold_per_s = 26 };
  t->nservices = 1;
  x->limits = lim_new (1);
  x->backends = bks_new ();
  x->cold = cld_new (x->limits, x->backends);
  cld_set_config (x->cold, 1000, t, over, 5);
  tbl_unref (t);
  x->e = (struct bks_entry){ .id = STR ("p1"),
                             .service = STR ("app"),
                             .zone = STR ("z1"),
                             .start_time = 5,
                             .heartbeat = 10,
                             .capacity = 8 };
  net_addr_parse (STR ("127.0.0.1:80"), false, &x->e.addr);
}

static void
tear_down (struct fixture *x)
{
  cld_free (x->cold);
  bks_free (x->backends);
  lim_free (x->limits);
}

/** The list is read and has the entry of p1 with this cold time. */
static bool
read_entry (struct fixture *x, clk_ms now, int64_t heartbeat, clk_ms cold_ms)
{
  bool changed;

  x->e.heartbeat = heartbeat;
  x->e.cold_ms = cold_ms;
  changed = bks_update (x->backends, now, now, &x->e, 1);
  cld_tick (x->cold, now);
  return changed;
}

/** Whether p1 is cold, after its warm servers were taken out. */
static bool
is_cold (struct fixture *x, clk_ms now)
{
  struct cld_change change;

  while (cld_next_change (x->cold, now, &change))
    ;
  return lim_is_cold (x->limits,
                      dsp_endpoint_hash (x->e.id, x->e.start_time, 0));
}

/* A server must be cold for as long as its entry says, from the time of the
   read on, however often the same entry is read. */
Test (cold, entry_says_how_long)
{
  struct fixture x;

  set_up (&x, 1.5);
  cr_expect (read_entry (&x, 10000, 10, 2000));
  cr_expect (is_cold (&x, 10000));
  cr_expect_not (read_entry (&x, 11900, 10, 2000));
  cr_expect (is_cold (&x, 12249));
  cr_expect_not (is_cold (&x, 12250));
  tear_down (&x);
}

/* Only a change between cold and warm, or a new cold period, must make an
   entry a changed one: the changes are sent to all nodes. */
Test (cold, remaining_time_alone_is_no_change)
{
  struct fixture x;

  set_up (&x, 1.5);
  cr_expect (read_entry (&x, 10000, 10, 2000));
  cr_expect_not (read_entry (&x, 11000, 11, 1000));
  cr_expect (read_entry (&x, 11500, 12, 2900));
  cr_expect (read_entry (&x, 13000, 13, 0));
  cr_expect_not (is_cold (&x, 13000));
  cr_expect_not (read_entry (&x, 14000, 14, 0));
  tear_down (&x);
}

/* Without a bound in the settings, nothing must be limited, and the cold time
   must be no change. */
Test (cold, not_enabled)
{
  struct fixture x;

  set_up (&x, 0);
  cr_expect (read_entry (&x, 10000, 10, 2000));
  cr_expect_not (read_entry (&x, 10100, 11, 0));
  cr_expect_not (read_entry (&x, 10200, 12, 2000));
  cld_zone_may_be_cold (x.cold, 10200, STR ("z1"));
  cr_expect_not (is_cold (&x, 10200));
  cr_expect_not (lim_any_limited (x.limits));
  tear_down (&x);
}

/* Servers of a zone must be cold when its evacuation ends, until an entry that
   is certain to be newer says otherwise: the next heartbeat may have been
   written before the end. */
Test (cold, evacuation_ends)
{
  struct fixture x;

  set_up (&x, 1.5);
  read_entry (&x, 10000, 10, 0);
  cld_zone_may_be_cold (x.cold, 10100, STR ("z2"));
  cr_expect_not (is_cold (&x, 10100));
  cld_zone_may_be_cold (x.cold, 10100, STR ("z1"));
  cr_expect (is_cold (&x, 10100));
  read_entry (&x, 10200, 11, 0);
  cr_expect (is_cold (&x, 10200));
  read_entry (&x, 11200, 12, 0);
  cr_expect_not (is_cold (&x, 11200));
  cld_zone_may_be_cold (x.cold, 20000, STR ("z1"));
  cr_expect (is_cold (&x, 23249));
  cr_expect_not (is_cold (&x, 23250));
  tear_down (&x);
}

/* An entry that another node had read before the evacuation ended must not
   end the cold period. */
Test (cold, evacuation_ends_at_node_without_list)
{
  struct fixture x;

  set_up (&x, 1.5);
  x.e.acceptance = BKS_ACCEPTING;
  read_entry (&x, 10000, 10, 0);
  cld_zone_may_be_cold (x.cold, 20000, STR ("z1"));
  read_entry (&x, 20500, 30, 0);
  cr_expect (is_cold (&x, 20500));
  read_entry (&x, 21000, 31, 0);
  cr_expect_not (is_cold (&x, 21000));
  tear_down (&x);
}

/* A response that says that its server is cold must count although the list
   does not say it yet; a late one must not shorten the period. */
Test (cold, response_says_so)
{
  struct fixture x;
  uint64_t process = dsp_endpoint_hash (STR ("p1"), 5, 0);

  set_up (&x, 1.5);
  read_entry (&x, 10000, 10, 0);
  cld_response (x.cold, 10000, STR ("p1"), process + 1, 2500);
  cr_expect_not (is_cold (&x, 10000));
  cld_response (x.cold, 10000, STR ("p1"), process, 2500);
  cld_response (x.cold, 10100, STR ("p1"), process, 100);
  read_entry (&x, 10100, 10, 0);
  cr_expect (is_cold (&x, 12749));
  cr_expect_not (is_cold (&x, 12750));
  tear_down (&x);
}

/* A restarted server must be cold by its own entry, whatever the earlier
   process was. */
Test (cold, new_process)
{
  struct fixture x;

  set_up (&x, 1.5);
  read_entry (&x, 10000, 10, 0);
  x.e.start_time = 6;
  read_entry (&x, 10100, 1, 3000);
  cr_expect (is_cold (&x, 10100));
  tear_down (&x);
}

/** A configuration with the service "app". */
static struct tbl *
make_service (void)
{
  struct tbl *t = tbl_new ();

  t->services = arena_alloc (&t->arena, 1, sizeof *t->services);
  t->services[0] = (struct tbl_service){ .name = STR ("app") };
  t->nservices = 1;
  return t;
}

/* The remaining time must reach the other nodes less the age of the read and
   of the frame. */
Test (cold, sent_to_other_nodes)
{
  struct fixture a, b;
  struct svl_frame *frame;
  struct tbl *t = make_service ();
  size_t n;

  set_up (&a, 1.5);
  set_up (&b, 1.5);
  read_entry (&a, 10000, 10, 2000);
  bks_endpoints (a.backends, t, NULL, &n);
  frame = svl_frame_new (a.backends, 300, 0);
  cr_expect_eq (svl_frame_list (frame)->servers[0]->cold_ms, 2000);
  svl_apply (b.backends, 50500, 50400, svl_frame_list (frame));
  cld_tick (b.cold, 50500);
  cr_expect (is_cold (&b, 50100 + 2249));
  cr_expect_not (is_cold (&b, 50100 + 2250));
  svl_frame_free (frame);
  tbl_unref (t);
  tear_down (&a);
  tear_down (&b);
}

/* A node that starts after the end of an evacuation must not take the servers
   of the zone for warm, as their entries were written before. */
Test (cold, evacuation_ended_before_node_started)
{
  struct fixture a, b;
  struct svl_frame *frame;
  struct tbl *t = make_service ();
  size_t n;

  set_up (&a, 1.5);
  set_up (&b, 1.5);
  read_entry (&a, 10000, 10, 0);
  cld_zone_may_be_cold (a.cold, 10100, STR ("z1"));
  read_entry (&a, 10200, 10, 0);
  bks_endpoints (a.backends, t, NULL, &n);
  frame = svl_frame_new (a.backends, 0, 0);
  svl_apply (b.backends, 50000, 50000, svl_frame_list (frame));
  cld_tick (b.cold, 50000);
  cr_expect (is_cold (&b, 50000));
  svl_frame_free (frame);
  read_entry (&a, 11200, 12, 0);
  frame = svl_frame_new (a.backends, 0, 0);
  cr_expect_eq (svl_frame_list (frame)->servers[0]->cold_ms, 0);
  svl_frame_free (frame);
  tbl_unref (t);
  tear_down (&a);
  tear_down (&b);
}

/** `cold_ms` of a response with this header; NULL: without it. */
static clk_ms
parse_header (const char *value)
{
  struct http_header h = { STR (PLT_H_COLD), str_from (value ? value : "") };
  struct srv_response a;

  plt_parse_response (STR ("id"), 200, &h, value != NULL, &a);
  return a.notice.cold_ms;
}

/* A malformed header must not be taken for a cold period. */
Test (cold, header_values)
{
  cr_expect_eq (parse_header ("2950"), 2950);
  cr_expect_eq (parse_header (" 1 "), 1);
  cr_expect_eq (parse_header ("0"), 0);
  cr_expect_eq (parse_header ("-5"), 0);
  cr_expect_eq (parse_header ("soon"), 0);
  cr_expect_eq (parse_header (NULL), 0);
}

/* --- random schedules ---------------------------------------------------- */

/** A fault that can be taken back. */
struct fault
{
  int kind, node;
};

#define FAULTS_MAX 5

static const char *const fault_commands[][2] = { { "kill", "start" },
                                                 { "freeze", "thaw" },
                                                 { "cut", "link" },
                                                 { "hold", "release" } };

static void
run_command (struct limit_fleet *f, const char *command, int n)
{
  struct buf log = BUF_INIT, text = BUF_INIT;

  buf_addf (&text, "%s %d", command, n);
  limit_run_line (f, buf_c (&text), &log);
  buf_free (&text);
  buf_free (&log);
}

static int
below (struct limit_fleet *f, int n)
{
  return (int)rng_below (&f->rng, (uint64_t)n);
}

/** Add a fault to the list, or take one back.  Every other fault meets one of
    the nodes that may be grantors. */
static void
change_fault (struct limit_fleet *f, struct fault *faults, int *n)
{
  struct fault x = { .kind = below (f, 4) };
  int i = *n ? below (f, *n) : 0;

  if (*n == FAULTS_MAX || (*n > 0 && below (f, 3) == 0))
    {
      run_command (f, fault_commands[faults[i].kind][1], faults[i].node);
      faults[i] = faults[--*n];
      return;
    }
  x.node = 1 + below (f, below (f, 2) ? LIMIT_RELAYS : f->n);
  for (i = 0; i < *n; i++)
    if (faults[i].node == x.node)
      return;
  run_command (f, fault_commands[x.kind][0], x.node);
  faults[(*n)++] = x;
}

static void
make_cold (struct limit_fleet *f)
{
  struct buf log = BUF_INIT, text = BUF_INIT;

  buf_addf (&text, "cold %c 26 %d", "ab"[below (f, 2)], 500 + below (f, 8000));
  limit_run_line (f, buf_c (&text), &log);
  buf_free (&text);
  buf_free (&log);
}

/** Run a random sequence of faults and cold periods.
    @return  the highest number of requests in any second to any server */
static size_t
run_random_faults (int nodes, uint64_t seed, int steps)
{
  struct limit_fleet *f = xcalloc (1, sizeof *f);
  static const int delays[] = { 0, 0, 0, 0, 20, 40, 80, 500 };
  struct fault faults[FAULTS_MAX];
  int nfaults = 0, cold_every;
  struct buf log = BUF_INIT;
  size_t most = 0;

  limit_fleet_init (f, nodes, seed);
  limit_run_line (f, "bound 1.5 5", &log);
  limit_run_line (f, "leases", &log);
  run_command (f, "run", 3000);
  cold_every = below (f, 2) ? 3 : 12;
  run_command (f, "load", below (f, 2) ? 250 : 1000);
  run_command (f, "connect", below (f, 2) ? 400 : 0);
  for (int i = 0; i < steps; i++)
    {
      change_fault (f, faults, &nfaults);
      if (below (f, cold_every) == 0)
        make_cold (f);
      if (below (f, 4) == 0)
        run_command (f, "delay", delays[below (f, 8)]);
      run_command (f, "run", 50 + below (f, below (f, 4) ? 400 : 2000));
    }
  for (int i = 0; i < f->nservers; i++)
    {
      size_t n = limit_max_in_second (&f->server[i]);
      most = n > most ? n : most;
      if (getenv ("LIMIT_FIGURES"))
        fprintf (stderr, "%d nodes, seed %d: most %zu, %zu in %d ms\n", nodes,
                 (int)seed, n, f->server[i].n, (int)f->server[i].cold_ms);
    }
  limit_fleet_free (f);
  free (f);
  buf_free (&log);
  return most;
}

/* The bound must be kept in every second with kills, pauses, lost links, late
   messages, several grantors and new cold periods in any order. */
Test (cold, random_faults)
{
  const char *seeds = getenv ("LIMIT_SEEDS");
  uint64_t n = seeds ? strtoull (seeds, NULL, 10) : 12;

  for (size_t i = 0; i < COUNTS; i++)
    for (uint64_t seed = 1; seed <= n; seed++)
      {
        size_t most = run_random_faults (node_counts[i], seed, 60);
        cr_expect_leq (most, 44, "%d nodes, seed %d: %zu", node_counts[i],
                       (int)seed, most);
      }
}
