#include <criterion/criterion.h>
#include <stdio.h>

#include "base/chart.h"

#define ROWS(t) (sizeof (t) / sizeof (t)[0])

#define CHART(initial, states)                                                \
  "{\"chart\":\"c\",\"initial\":\"" initial "\",\"states\":{" states "}}"

Test (chart, faults_are_reported_with_their_place)
{
  /* A chart with a hole would send a request or a VM into a state that
     nothing leaves; so a chart is refused at load, all faults at once. */
  static const struct
  {
    const char *json;
    const char *expected;
  } rows[] = {
    { CHART ("a", "\"a\":{\"on\":{\"go\":\"b\"}},\"b\":{\"final\":true}"),
      "" },
    { CHART ("a", "\"a\":{\"on\":{\"go\":\"z\"}},\"b\":{\"final\":true}"),
      "c.json: /states/a/on/go: error: no state 'z'\n"
      "c.json: /states/b: error: the state can't be reached\n" },
    { CHART ("a", "\"a\":{\"on\":{\"go\":\"b\"}},\"b\":{}"),
      "c.json: /states/b: error: no way out of a state that is not final\n" },
    { CHART ("a", "\"a\":{\"on\":{\"go\":\"b\"}},"
                  "\"b\":{\"final\":true,\"on\":{\"go\":\"a\"}}"),
      "c.json: /states/b: error: a final state has a way out\n" },
    { CHART ("x", "\"a\":{\"final\":true}"),
      "c.json: /initial: error: no state 'x'\n" },
    { CHART ("a", ""), "c.json: /states: error: the chart has no states\n" },
    { "{\"initial\":\"a\",\"states\":{\"a\":{\"final\":true}}}",
      "c.json: /chart: error: the chart has no name\n" },
    { "{\"chart\":\"c\",\n\"states\":[}",
      "c.json:2: error: unexpected character\n" },
    { "{\"chart\":", "c.json:1: error: continue\n" },
    { CHART ("a", "\"a\":{\"on\":5}"),
      "c.json: /states/a: error: no way out of a state that is not final\n" },
    { CHART ("a", "\"a\":{\"on\":{\"go\":null}}"),
      "c.json: /states/a/on/go: error: no state ''\n" },
    { CHART ("a", "\"a\":null"),
      "c.json: /states/a: error: no way out of a state that is not final\n" },
    { "[]", "c.json: /chart: error: the chart has no name\n"
            "c.json: /states: error: the chart has no states\n" },
  };
  for (size_t i = 0; i < ROWS (rows); i++)
    {
      struct fnd_list found = { 0 };
      struct buf out = BUF_INIT;
      struct chart *c = chart_load (str_from (rows[i].json), "c.json", &found);
      fnd_print (&found, &out);
      cr_expect_str_eq (buf_c (&out), rows[i].expected, "row %zu: %s", i,
                        out.ptr);
      cr_expect_eq (c != NULL, rows[i].expected[0] == '\0', "row %zu", i);
      chart_free (c);
      fnd_free (&found);
      buf_free (&out);
    }
}

Test (chart, steps)
{
  struct fnd_list found = { 0 };
  struct chart *c = chart_load (
      STR (CHART ("idle", "\"idle\":{\"on\":{\"start\":\"busy\"}},"
                          "\"busy\":{\"on\":{\"stop\":\"done\","
                          "\"start\":\"busy\"}},\"done\":{\"final\":true}")),
      "c.json", &found);
  cr_assert_not_null (c);
  int start = chart_event (c, "start");
  int stop = chart_event (c, "stop");
  int s = chart_initial (c);
  cr_expect_str_eq (chart_state_name (c, s), "idle");
  cr_expect_eq (chart_step (c, s, stop), CHART_REFUSED);
  s = chart_step (c, s, start);
  cr_expect_eq (chart_step (c, s, start), s);
  s = chart_step (c, s, stop);
  cr_expect (chart_final (c, s));
  cr_expect_eq (chart_step (c, s, start), CHART_REFUSED);
  cr_expect_eq (chart_step (c, s, chart_event (c, "nothing")), CHART_REFUSED);
  cr_expect_eq (chart_state (c, "nowhere"), -1);
  cr_expect_str_eq (chart_event_name (c, stop), "stop");
  cr_expect_eq (chart_states (c), 3);
  cr_expect_eq (chart_events (c), 2);
  chart_free (c);
}
