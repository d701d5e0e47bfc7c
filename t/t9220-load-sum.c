/*
 * Sum of the loads that nodes report.  A script reports loads of one backend
 * server, line by line:
 *
 *   report AGE REQUESTS STREAMS SILENCE   reported AGE ms ago; the last event
 *                                         was SILENCE ms before the report
 *   subtract REQUESTS STREAMS             the load of the node itself
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "base/str.h"
#include "serve/load-sum.h"

TestSuite (load_sum);

#define NOW ((clk_ms)100000)

static void
run_line (struct lds *sum, const char *line)
{
  int age, requests, streams, silence;
  struct dsp_endpoint_load load = { .endpoint = 1 };

  if (sscanf (line, "report %d %d %d %d", &age, &requests, &streams, &silence)
      == 4)
    {
      load.in_flight = (uint32_t)requests;
      load.streaming = (uint32_t)streams;
      load.last_event_at = NOW - age - silence;
      lds_add (sum, &load, 1, age);
      return;
    }
  cr_assert_eq (sscanf (line, "subtract %d %d", &requests, &streams), 2, "%s",
                line);
  load.in_flight = (uint32_t)requests;
  load.streaming = (uint32_t)streams;
  lds_subtract (sum->list, sum->n, &load, 1);
}

/** Plays the script and compares the sum: requests, streams, time since their
    last event. */
static void
play (const char *script, const char *expected)
{
  struct lds sum = { 0 };
  struct str rest = str_from (script);
  char line[128], got[128];

  while (rest.len > 0)
    {
      size_t end = str_chr (rest, '\n');
      snprintf (line, sizeof line, "%.*s", (int)end, rest.ptr);
      run_line (&sum, line);
      rest = str_skip (rest, end + 1);
    }
  cr_assert_eq (sum.n, 1);
  snprintf (got, sizeof got, "%u requests %u streams %lld",
            sum.list->in_flight, sum.list->streaming,
            (long long)(NOW - sum.list->last_event_at));
  cr_expect_str_eq (got, expected);
  lds_free (&sum);
}

/* Guards against events of one node that are missed because another one's
   streams are silent. */
Test (load_sum, latest_event_counts)
{
  play ("report 0 3 2 300\n"
        "report 40 2 1 5\n"
        "report 0 1 0 0\n",
        "6 requests 3 streams 45");
}

/* Guards against replicas that are taken for stalled when an aggregator takes
   over: until then the other nodes reported to it once a second only, and it
   does not know of later events. */
Test (load_sum, old_reports_show_no_silence)
{
  play ("report 300 3 2 10\n", "3 requests 2 streams 110");
  play ("report 900 3 2 10\n"
        "report 950 2 2 10\n",
        "5 requests 0 streams 110");
}

/* Guards against a node that takes streams of its own for those of others, and
   against counts that wrap around. */
Test (load_sum, own_load_is_subtracted)
{
  play ("report 0 3 2 10\n"
        "subtract 2 1\n",
        "1 requests 1 streams 10");
  play ("report 0 3 2 10\n"
        "subtract 4 3\n",
        "0 requests 0 streams 10");
}
