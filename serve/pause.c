#include "serve/pause.h"

/** Each change wakes every node's watch, and each wake is a priced call.  So a
    watch that has brought something begins again only after so long for each
    node that is known: at the start of many, their entries come in few calls.
 */
#define WATCH_PACE_MS ((clk_ms)12)
#define WATCH_PACE_LEAST_MS ((clk_ms)150)
#define WATCH_PACE_MOST_MS ((clk_ms)800)
/**
 * Among many nodes most need not know at once: the one with the duty links to
 * those that start, and the duty is taken by one of the first in rank.  The
 * others begin their watch again only after this.  On a day on which some of
 * 63 nodes were restarted in turn, half of the priced store calls were such
 * watches, 0.017 of what the day could earn.
 */
#define WATCH_PACE_REST_MS ((clk_ms)3000)
/** Nodes from which on there are others, and of these the first in rank. */
#define WATCH_MANY 16
#define WATCH_FIRST 4

/** After the first failure: most are a single lost call. */
#define PAUSE_FIRST_MS ((clk_ms)200)
/**
 * Longest pause.  It delays what a node learns once the store is back, and a
 * configuration has to be in force two seconds after it was accepted.
 */
#define PAUSE_MOST_MS ((clk_ms)1000)
/** The same of a node that is told by others: its entry's lease, of which
    two thirds are left when it is renewed, outlives some of these. */
#define PAUSE_PUSHED_MS ((clk_ms)3000)
/** Part of the pause that is drawn, so that nodes don't call together. */
#define PAUSE_SPREAD 0.25

bool
pau_may_call (const struct pau *p, clk_ms now)
{
  return p->failures == 0 || (!p->asking && now >= p->next);
}

void
pau_called (struct pau *p)
{
  p->asking = true;
}

static clk_ms
pause_ms (unsigned failures, clk_ms most, struct rng *r)
{
  clk_ms ms = PAUSE_FIRST_MS;

  for (unsigned i = 1; i < failures && ms < most; i++)
    ms *= 2;
  if (ms > most)
    ms = most;
  return (clk_ms)((double)ms * (1 - PAUSE_SPREAD * rng_unit (r)));
}

void
pau_set_pushed (struct pau *p, clk_ms now, bool pushed, struct rng *r)
{
  clk_ms soon = now + pause_ms (1, PAUSE_MOST_MS, r);

  if (p->pushed && !pushed && p->next > soon)
    p->next = soon;
  p->pushed = pushed;
}

void
pau_ended (struct pau *p, clk_ms now, enum store_status status, struct rng *r)
{
  p->asking = false;
  if (status == STORE_OK || status == STORE_CONFLICT || status == STORE_GONE)
    p->failures = 0;
  /* Calls that were under way together fail together; that is one failure. */
  else if (status == STORE_UNAVAILABLE && (!p->failures || now >= p->next))
    {
      p->failures++;
      p->next = now
                + pause_ms (p->failures,
                            p->pushed ? PAUSE_PUSHED_MS : PAUSE_MOST_MS, r);
    }
}

clk_ms
pau_watch_again (size_t nodes, unsigned rank, bool urgent)
{
  clk_ms pace = (clk_ms)nodes * WATCH_PACE_MS;

  if (nodes >= WATCH_MANY && rank >= WATCH_FIRST && !urgent)
    return WATCH_PACE_REST_MS;
  if (pace < WATCH_PACE_LEAST_MS)
    return WATCH_PACE_LEAST_MS;
  return pace < WATCH_PACE_MOST_MS ? pace : WATCH_PACE_MOST_MS;
}
