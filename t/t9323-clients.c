/*
 * Clients that don't keep to the limits, at a node of the smallest VM, beside
 * ordinary requests.  Each crowd is played at a path with a route, at one
 * without and at the address that tells whether the node is ready.  Whatever
 * they send, the node stays within the memory of its VM and answers the
 * ordinary requests.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "t/lib-clients.h"

TestSuite (clients, .fini = proc_stop_all, .timeout = 200);

#define MEMORY_MB 112
#define MAX_FDS 4100
/** Time for which a crowd is played at one address. */
#define PLAY_MS ((clk_ms)2500)

#define MAX_BODY 4194304
#define LIMITS                                                                \
  "\"max_body_bytes\": 4194304, \"max_header_bytes\": 16384, "                \
  "\"header_timeout_ms\": 3000"
#define CROWD_ACCOUNT ", {\"name\": \"crowd\", \"api_keys\": [\"k2\"]}"

#define FIELDS "host: h\r\nx-api-key: k2\r\nx-lapisline-request-id: crowd\r\n"
#define SAFE_PATH "/safe/x"

/** Four kilobytes of a body. */
static char block[4097];
/** The same as a chunk. */
static char chunk[4200];

static struct rack r;
/** Limit on the resident memory of the node.  What the sanitizer needs in calm
    is added to the memory of the VM. */
static long max_kb;

static void
start_node (void)
{
  memset (block, 'x', sizeof block - 1);
  snprintf (chunk, sizeof chunk, "1000\r\n%s\r\n", block);
  proc_set_quarantine_mb (4);
  rack_set_machine (MEMORY_MB, MAX_FDS);
  rack_set_limits (LIMITS, CROWD_ACCOUNT);
  rack_prepare_nodes (&r, 4, 1, NULL);
  rack_configure (&r, 1, "k1", "");
  rack_start_node (&r, 0);
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

/** Plays the crowd at each door; @p rest follows the request line. */
static void
play (const struct clients_crowd *crowd, const char *method, const char *rest)
{
  start_node ();
  play_at (crowd, r.front[0], "route", method, SAFE_PATH, rest);
  play_at (crowd, r.front[0], "path without a route", method, "/none/x", rest);
  play_at (crowd, r.ready[0], "ready address", method, "/ready", rest);
}

#define LENGTH(n) FIELDS "content-length: " n "\r\n\r\n"
#define CHUNKED FIELDS "transfer-encoding: chunked\r\n\r\n"
#define BLOCKS (MAX_BODY / 4096)

/* Guards against bodies of legal size, many at once, that exhaust the
   memory. */
Test (clients, whole_bodies)
{
  struct clients_crowd c = { .name = "whole bodies",
                             .clients = 300,
                             .bytes = { NULL, block, BLOCKS, "" },
                             .reads = true,
                             .reconnects = true };

  play (&c, "POST", LENGTH ("4194304"));
}

/* Guards against bodies that are never completed. */
Test (clients, bodies_without_their_last_byte)
{
  struct clients_crowd c = { .name = "bodies without their last byte",
                             .clients = 300,
                             .bytes = { NULL, block, BLOCKS, "" },
                             .withheld = 1,
                             .reads = true,
                             .reconnects = true };

  play (&c, "POST", LENGTH ("4194304"));
}

/* Guards against chunked bodies of legal size. */
Test (clients, bodies_in_chunks)
{
  struct clients_crowd c = { .name = "bodies in chunks",
                             .clients = 300,
                             .bytes = { NULL, chunk, BLOCKS - 1, "0\r\n\r\n" },
                             .reads = true,
                             .reconnects = true };

  play (&c, "POST", CHUNKED);
}

/* Guards against bodies whose framing is larger than their content. */
Test (clients, bodies_in_chunks_of_a_byte)
{
  struct clients_crowd c
      = { .name = "bodies in chunks of a byte",
          .clients = 100,
          .bytes = { NULL, "1\r\nx\r\n", MAX_BODY - 1, "0\r\n\r\n" },
          .reads = true,
          .reconnects = true };

  play (&c, "POST", CHUNKED);
}

/* Guards against bodies that arrive in many small pieces. */
Test (clients, bodies_in_pieces)
{
  struct clients_crowd c = { .name = "bodies in pieces",
                             .clients = 300,
                             .bytes = { NULL, block, BLOCKS, "" },
                             .piece = 2000,
                             .piece_ms = 1,
                             .reads = true,
                             .reconnects = true };

  play (&c, "POST", LENGTH ("4194304"));
}

/* Guards against chunked bodies without end. */
Test (clients, bodies_without_end)
{
  struct clients_crowd c = { .name = "bodies without end",
                             .clients = 100,
                             .bytes = { NULL, chunk, SIZE_MAX, "" },
                             .reads = true,
                             .reconnects = true };

  play (&c, "POST", CHUNKED);
}

/* Guards against bodies that are declared, or are, far over the limit. */
Test (clients, bodies_over_the_limit)
{
  struct clients_crowd c = { .name = "bodies over the limit",
                             .clients = 300,
                             .bytes = { NULL, block, 25600, "" },
                             .reads = true,
                             .reconnects = true };

  play (&c, "POST", LENGTH ("104857600"));
}

/* Guards against request heads without end. */
Test (clients, heads_without_end)
{
  struct clients_crowd c = { .name = "heads without end",
                             .clients = 300,
                             .bytes = { NULL, block, SIZE_MAX, "" },
                             .reads = true,
                             .reconnects = true };

  play (&c, "GET", FIELDS "x-long: ");
}

/* Guards against legal heads of as many fields as fit. */
Test (clients, heads_of_many_fields)
{
  struct clients_crowd c = { .name = "heads of many fields",
                             .clients = 300,
                             .bytes = { NULL, "a: b\r\n", 1700, "\r\n" },
                             .reads = true,
                             .reconnects = true };

  play (&c, "GET", FIELDS);
}

/* --- single requests at the limits -------------------------------------- */

static void
expect_served (const char *what, const char *head, const char *unit,
               size_t count, const char *suffix)
{
  struct clients_bytes b = { head, unit, count, suffix };
  struct buf body = BUF_INIT;
  int status = clients_call (r.front[0], &b, &body);

  cr_expect_eq (status, 200, "%s: status %d, %s", what, status, buf_c (&body));
  buf_free (&body);
}

/* Guards against limits that refuse a legal body in calm. */
Test (clients, largest_bodies_are_served)
{
  start_node ();
  for (int i = 0; i < 3; i++)
    {
      expect_served ("a body with a length",
                     "POST /safe/x HTTP/1.1\r\n" LENGTH ("4194304"), block,
                     BLOCKS, "");
      expect_served ("a body in chunks", "POST /safe/x HTTP/1.1\r\n" CHUNKED,
                     chunk, BLOCKS - 1, "0\r\n\r\n");
      expect_served ("a body in chunks of a byte",
                     "POST /safe/x HTTP/1.1\r\n" CHUNKED, "1\r\nx\r\n",
                     MAX_BODY - 1, "0\r\n\r\n");
    }
}

#define MAX_HEADER 16384
/** Bytes of a head before its last field. */
#define START "GET /safe/x HTTP/1.1\r\n" FIELDS

/* Guards against limits that refuse a legal head in calm. */
Test (clients, largest_heads_are_served)
{
  size_t room = MAX_HEADER - strlen (START) - strlen ("x: \r\n\r\n");

  start_node ();
  expect_served ("a head of one long field", START "x: ", "y", room,
                 "\r\n\r\n");
  expect_served ("a head of 90 fields", START, "a: b\r\n", 90, "\r\n");
  expect_served ("a head of 200 fields", START, "a: b\r\n", 200, "\r\n");
  expect_served ("a head of 1,000 fields", START, "a: b\r\n", 1000, "\r\n");
  expect_served ("a head of the shortest fields", START, "a:\r\n",
                 (MAX_HEADER - strlen (START) - 2) / strlen ("a:\r\n"),
                 "\r\n");
  expect_served ("a head of many fields, with a body",
                 "POST /safe/x HTTP/1.1\r\n" FIELDS, "a: b\r\n", 1700,
                 "content-length: 4\r\n\r\nbody");
}

/* Guards against memory that is kept for each model name that a client sends:
   the names of 100 requests are 1.4 MB. */
Test (clients, unknown_models)
{
  enum
  {
    WARM_UP = 120, /* until freed memory fills the sanitizer's quarantine */
    REQUESTS = 100,
    NAME = 14000
  };
  char *headers = xmalloc (NAME + 200);
  long before;
  int status = 0;

  start_node ();
  for (int i = 0; i < WARM_UP + REQUESTS; i++)
    {
      int n = sprintf (headers,
                       "Host: h\r\nX-Api-Key: k2\r\n"
                       "X-Lapisline-Request-Id: u%d\r\n"
                       "X-Lapisline-Model: m%0*d\r\n",
                       i, NAME, i);
      cr_assert_lt (n, NAME + 200);
      if (i == WARM_UP)
        before = proc_memory_kb (r.node[0]);
      status = rack_call (&r, 0, "/stream/x", "", headers, NULL);
      cr_assert_eq (status, 503, "%d", status);
    }
  cr_expect_lt (proc_memory_kb (r.node[0]) - before, REQUESTS * NAME / 2000,
                "%ld kB more", proc_memory_kb (r.node[0]) - before);
  cr_expect_eq (rack_call (&r, 0, "/safe/x", "a", NULL, NULL), 200);
  free (headers);
}
