/* Exhaustive exploration of charts/attempt.json: every event in every
   reachable state, with and without bytes of the request sent to a backend
   server. "Not run" must not be reachable after they were sent. */
#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "base/chart.h"

struct chart_source
{
  const char *name;
  const char *json;
};
extern const struct chart_source chart_sources[];

#define MAX_STATES 32

static bool
is_event (const struct chart *c, int event, const char *name)
{
  return strcmp (chart_event_name (c, event), name) == 0;
}

/** "send" sends bytes to the server; a refusal means that they were not
    executed. */
static bool
sent_after (const struct chart *c, int event, bool sent)
{
  if (is_event (c, event, "send") || is_event (c, event, "sent"))
    return true;
  if (is_event (c, event, "refused_unrun")
      || is_event (c, event, "refused_final") || is_event (c, event, "unrun"))
    return false;
  return sent;
}

/** Number of reachable (state, bytes sent) pairs; @p wrong receives
    whether "not run" was reached after bytes were sent. */
static int
explore (const struct chart *c, bool *wrong)
{
  bool seen[MAX_STATES][2] = { { false } };
  int todo[2 * MAX_STATES][2], n = 0, reached = 0;
  int not_run = chart_state (c, "not_run");

  cr_assert_leq (chart_states (c), MAX_STATES);
  *wrong = false;
  seen[chart_initial (c)][false] = true;
  todo[n][0] = chart_initial (c);
  todo[n++][1] = false;
  while (n > 0)
    {
      int state = todo[--n][0];
      bool sent = todo[n][1];
      reached++;
      *wrong |= state == not_run && sent;
      for (int e = 0; e < chart_events (c); e++)
        {
          int next = chart_step (c, state, e);
          bool next_sent = sent_after (c, e, sent);
          if (next == CHART_REFUSED || seen[next][next_sent])
            continue;
          seen[next][next_sent] = true;
          todo[n][0] = next;
          todo[n++][1] = next_sent;
        }
    }
  return reached;
}

static const char *
attempt_chart_json (void)
{
  for (const struct chart_source *s = chart_sources; s->name; s++)
    if (strcmp (s->name, "attempt") == 0)
      return s->json;
  cr_assert_fail ("chart \"attempt\" is missing");
  return NULL;
}

/* A client repeats a request that ended as "not run". If this state were
   reachable after the first byte was sent, the request could be executed
   twice. */
Test (attempt_chart, not_run_is_unreachable_after_send)
{
  const struct chart *c = chart_embedded ("attempt");
  bool wrong;

  cr_expect_geq (explore (c, &wrong), chart_states (c));
  cr_expect_not (wrong);
}

/** Load the chart with @p from replaced by @p to, and explore it. */
static bool
is_wrong_with (const char *from, const char *to)
{
  const char *json = attempt_chart_json ();
  const char *at = strstr (json, from);
  struct buf text = BUF_INIT;
  struct fnd_list findings = { 0 };
  struct chart *c;
  bool wrong;

  cr_assert (at, "chart without %s", from);
  buf_add (&text, str_make (json, (size_t)(at - json)));
  buf_add_c (&text, to);
  buf_add_c (&text, at + strlen (from));
  c = chart_load (buf_str (&text), "attempt", &findings);
  cr_assert (c);
  explore (c, &wrong);
  chart_free (c);
  fnd_free (&findings);
  buf_free (&text);
  return wrong;
}

/* The exploration must detect a chart that reports "not run" after a lost
   connection, and one that queues a sent request again, where it may still be
   refused. */
Test (attempt_chart, detects_injected_faults)
{
  cr_expect (is_wrong_with ("\"sent\": { \"on\": {",
                            "\"sent\": { \"on\": { \"refuse\": \"not_run\","));
  cr_expect (
      is_wrong_with ("\"retry\": \"retrying\"", "\"retry\": \"queued\""));
  cr_expect_not (is_wrong_with ("\"chart\"", "\"chart\""));
}

/* The same for the chart "forward" of a node on a platform. There "unrun"
   refers only to the current attempt; after an earlier attempt that may have
   run, the chart is in states from which "not run" can't be reached. */
Test (attempt_chart, not_run_is_unreachable_after_send_on_a_platform)
{
  const struct chart *c = chart_embedded ("forward");
  static const char *const never[]
      = { "rewaiting", "reconnecting", "resent", "passing" };
  bool wrong;

  cr_expect_geq (explore (c, &wrong), chart_states (c));
  cr_expect_not (wrong);
  for (size_t i = 0; i < sizeof never / sizeof never[0]; i++)
    for (int e = 0; e < chart_events (c); e++)
      {
        int next = chart_step (c, chart_state (c, never[i]), e);
        cr_expect_neq (next, chart_state (c, "not_run"), "%s", never[i]);
        cr_expect_neq (next, chart_state (c, "waiting"), "%s", never[i]);
        cr_expect_neq (next, chart_state (c, "connecting"), "%s", never[i]);
      }
}
