/*
 * Requests that end the process of each backend server that runs them, over
 * real processes.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/json.h"
#include "t/lib-rack.h"

TestSuite (crash, .fini = proc_stop_all, .timeout = 120);

#define ENGINES 32
#define REPLICAS (ENGINES / 4)
/** Time for what one node has seen to reach the others. */
#define SPREAD_US 400000

/** How many servers lead a replica that takes requests. */
static int
count_leaders (const struct rack *r)
{
  char id[8];
  int n = 0;

  for (int i = 0; i < ENGINES; i++)
    {
      snprintf (id, sizeof id, "e%d", i + 1);
      n += rack_count (r, id, "leads") != 0;
    }
  return n;
}

static void
until_leaders (const struct rack *r, int n)
{
  for (int i = 0; i < 200 && count_leaders (r) < n; i++)
    usleep (50000);
  cr_assert_geq (count_leaders (r), n);
}

static int
count_crashed (const struct rack *r)
{
  struct web_answer a = { 0 };
  struct json_object *o;
  int n;

  web_call (r->at, "GET", "/control/counts", NULL, NULL, &a);
  o = jsn_parse (buf_str (&a.body));
  n = (int)jsn_int (o, "crashed");
  json_object_put (o);
  web_free (&a);
  return n;
}

/** Ask with that body; the answer is left in @p a. */
static void
ask (const struct rack *r, int node, const char *path, const char *body,
     struct web_answer *a)
{
  static int asked;
  char id[16];

  snprintf (id, sizeof id, "q%d", ++asked);
  web_call (r->front[node], "POST", path, rack_headers (id), body, a);
}

static int
ask_status (const struct rack *r, int node, const char *path, const char *body)
{
  struct web_answer a = { 0 };
  int status;

  ask (r, node, path, body, &a);
  status = a.whole ? a.status : -a.status;
  web_free (&a);
  return status;
}

/* Guards against a caller that returns with such a request to node after node
   and ends server after server. */
Test (crash, a_request_is_not_run_once_three_servers_have_ended_under_it)
{
  struct rack r;
  struct web_answer a = { 0 };

  rack_serve (&r, ENGINES);
  until_leaders (&r, REPLICAS);
  rack_set (&r, "{\"crash_body\": \"bad\", \"crash_ms\": 10}");
  for (int i = 0; i < 12; i++)
    {
      ask_status (&r, i % RACK_NODES, "/stream/x", "bad");
      usleep (SPREAD_US);
    }
  cr_expect_eq (count_crashed (&r), 3, "%d ended", count_crashed (&r));
  for (int i = 0; i < RACK_NODES; i++)
    {
      ask (&r, i, "/stream/x", "bad", &a);
      cr_expect_eq (a.status, 503);
      cr_expect_eq (web_header (&a, "retry-after").len, 0);
      web_free (&a);
      cr_expect_eq (ask_status (&r, i, "/stream/x", "good"), 200);
    }
}
