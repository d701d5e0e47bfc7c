/*
 * Crowds that send or read slowly, stop half-way or send requests ahead, at a
 * node of the smallest VM, beside ordinary requests.  They are more than the
 * node accepts connections.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "t/lib-clients.h"

TestSuite (slow_clients, .fini = proc_stop_all, .timeout = 200);

#define MEMORY_MB 112
/** So few that the crowds are more than a node's 500 connections. */
#define MAX_FDS 2000
#define CROWD 700
/** Longer than it takes to find that a request arrives slowly, or that a
    response is not read. */
#define PLAY_MS ((clk_ms)4000)

#define LIMITS                                                                \
  "\"max_body_bytes\": 4194304, \"max_header_bytes\": 16384, "                \
  "\"header_timeout_ms\": 3000"
#define CROWD_ACCOUNT ", {\"name\": \"crowd\", \"api_keys\": [\"k2\"]}"
#define FIELDS                                                                \
  "host: h\r\nx-api-key: k2\r\nx-lapisline-request-id: crowd\r\n"             \
  "x-lapisline-model: big\r\n"

static struct rack r;
static long max_kb;

static void
start_node (void)
{
  proc_set_quarantine_mb (4);
  rack_set_machine (MEMORY_MB, MAX_FDS);
  rack_set_limits (LIMITS, CROWD_ACCOUNT);
  rack_prepare_nodes (&r, 4, 1, NULL);
  rack_configure (&r, 1, "k1", "");
  rack_start_node (&r, 0);
  cr_assert (rack_call_until (&r, 0, "/stream/x", rack_headers ("warm"), 200));
  cr_assert (rack_call_until (&r, 0, "/safe/x", rack_headers ("warm"), 200));
  max_kb = MEMORY_MB * 1000L
           + (proc_is_sanitized () ? proc_memory_kb (r.node[0]) : 0);
}

static void
play_at (const struct clients_crowd *crowd, const char *addr, const char *door,
         const char *method, const char *path, const char *rest)
{
  struct clients_crowd c = *crowd;
  struct clients_report o;
  struct buf prefix = BUF_INIT;
  char name[80];

  snprintf (name, sizeof name, "%s at the %s", crowd->name, door);
  buf_addf (&prefix, "%s %s HTTP/1.1\r\n%s", method, path, rest);
  c.name = name;
  c.bytes.prefix = buf_c (&prefix);
  o = clients_play (&r, addr, &c, PLAY_MS, max_kb);
  cr_expect (!o.over, "%s: %ld kB", name, o.peak_kb);
  cr_expect_gt (o.sent, 0);
  cr_expect_eq (o.answered, o.sent, "%s: %d of %d ordinary requests answered",
                name, o.answered, o.sent);
  buf_free (&prefix);
  cr_assert (!o.over);
}

/* Guards against callers that wait behind heads that arrive a byte at a
   time. */
Test (slow_clients, heads_by_the_byte)
{
  struct clients_crowd c = { .name = "heads by the byte",
                             .clients = CROWD,
                             .bytes = { NULL, "y", SIZE_MAX, "" },
                             .piece = 1,
                             .piece_ms = 100,
                             .reads = true,
                             .reconnects = true };

  start_node ();
  play_at (&c, r.front[0], "route", "GET", "/safe/x", FIELDS "x-slow: ");
  play_at (&c, r.ready[0], "ready address", "GET", "/ready",
           FIELDS "x-slow: ");
}

/* Guards against callers that wait behind bodies that stop half-way. */
Test (slow_clients, bodies_that_stop)
{
  struct clients_crowd c = { .name = "bodies that stop",
                             .clients = CROWD,
                             .bytes = { NULL, "y", 50000, "" },
                             .withheld = 25000,
                             .reads = true,
                             .reconnects = true };

  start_node ();
  play_at (&c, r.front[0], "route", "POST", "/safe/x",
           FIELDS "content-length: 50000\r\n\r\n");
  play_at (&c, r.front[0], "path without a route", "POST", "/none/x",
           FIELDS "content-length: 50000\r\n\r\n");
}

/* Guards against callers that wait behind connections without a request. */
Test (slow_clients, connections_that_send_nothing)
{
  struct clients_crowd c = { .name = "connections that send nothing",
                             .clients = CROWD,
                             .bytes = { NULL, "y", 1, "" },
                             .withheld = 1,
                             .reconnects = true };
  struct clients_report o;

  start_node ();
  c.bytes.prefix = "";
  o = clients_play (&r, r.front[0], &c, PLAY_MS, max_kb);
  cr_expect (!o.over);
  cr_expect_eq (o.answered, o.sent);
}

/* Guards against callers that wait behind streams that nobody reads. */
Test (slow_clients, streams_that_nobody_reads)
{
  struct clients_crowd c = { .name = "streams that nobody reads",
                             .clients = CROWD,
                             .bytes = { NULL, "y", 5, "" } };

  start_node ();
  play_at (&c, r.front[0], "route", "POST", "/stream/x",
           FIELDS "content-length: 5\r\n\r\n");
}

/* Guards against requests that are sent ahead without end, and whose responses
   nobody reads. */
Test (slow_clients, requests_sent_ahead)
{
  struct clients_crowd c
      = { .name = "requests sent ahead",
          .clients = 300,
          .bytes
          = { NULL, "GET /none/x HTTP/1.1\r\n" FIELDS "\r\n", SIZE_MAX, "" },
          .reconnects = true };

  start_node ();
  play_at (&c, r.front[0], "path without a route", "GET", "/none/x",
           FIELDS "\r\n");
  c.bytes.unit = "GET /ready HTTP/1.1\r\n" FIELDS "\r\n";
  play_at (&c, r.ready[0], "ready address", "GET", "/ready", FIELDS "\r\n");
}

/* Guards against requests of one account that are sent ahead and keep the
   servers from another's. */
Test (slow_clients, requests_sent_ahead_by_one_account)
{
  struct clients_crowd c
      = { .name = "requests sent ahead by one account",
          .clients = 300,
          .bytes
          = { NULL, "GET /safe/x HTTP/1.1\r\n" FIELDS "\r\n", SIZE_MAX, "" },
          .reconnects = true };

  start_node ();
  play_at (&c, r.front[0], "route", "GET", "/safe/x", FIELDS "\r\n");
}

/* Guards against callers that are refused because another account has more
   requests than the servers can take. */
Test (slow_clients, many_requests_of_one_account)
{
  struct clients_crowd c = { .name = "many requests of one account",
                             .clients = 300,
                             .bytes = { NULL, "\r\n", 1, "" },
                             .reads = true,
                             .reconnects = true };

  start_node ();
  play_at (&c, r.front[0], "route", "GET", "/safe/x", FIELDS);
}
