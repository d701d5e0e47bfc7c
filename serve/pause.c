#include "serve/pause.h"

/** Each change of an entry triggers the watch of every node, and each of these
    events is a priced call.  So a node delays its next watch by this time per
    known node; when many nodes start together, few calls then return all their
    entries. */
#define WATCH_PACE_MS ((clk_ms)12)
#define WATCH_PACE_LEAST_MS ((clk_ms)150)
#define WATCH_PACE_MOST_MS ((clk_ms)800)
/**
 * Delay of most nodes among many.  They need no immediate view of the others:
 * the leader links to nodes that start, and a new leader is one of the first
 * nodes in rank.  On a day on which some of 63 nodes were restarted one after
 * the other, half of the priced store calls were these watches; they cost
 * 0.017 of what the day could earn.
 */
#define WATCH_PACE_REST_MS ((clk_ms)3000)
/** WATCH_PACE_REST_MS applies from this number of nodes on, except to the
    first WATCH_FIRST in rank. */
#define WATCH_MANY 16
#define WATCH_FIRST 4

/** Backoff after the first failure; most failures are a single lost call. */
#define PAUSE_FIRST_MS ((clk_ms)200)
/**
 * Limit of the backoff.  The backoff delays the first read after an outage,
 * and a configuration has to be in force two seconds after it was accepted.
 */
#define PAUSE_MOST_MS ((clk_ms)1000)
/** Limit of the backoff of a node to which other nodes push.  The lease of
    its entry, of which two thirds are left when it is renewed, outlives
    several of these intervals. */
#define PAUSE_PUSHED_MS ((clk_ms)3000)
/** Random part of the backoff, so that the nodes' probes are not
    synchronized. */
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
  /* Calls that were in flight together fail together and count as one
     failure. */
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
