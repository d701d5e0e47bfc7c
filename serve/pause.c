#include "serve/pause.h"

/** Each change of an entry triggers the watch of every node, and each of these
    events is a billed call.  So a node delays its next watch by this time per
    recorded node; when many nodes start together, few calls return all their
    entries. */
#define WATCH_DELAY_PER_NODE_MS ((clk_ms)12)
#define WATCH_DELAY_MIN_MS ((clk_ms)150)
#define WATCH_DELAY_MAX_MS ((clk_ms)800)
/**
 * Delay of most nodes among many.  They need not read changes immediately: the
 * leader links to nodes that start, and a new leader is one of the first nodes
 * in rank.  On a day with restarts of some of 63 nodes, one after the other,
 * these watches were half of the billed store calls and cost 0.017 of the
 * possible value of that day's requests.
 */
#define WATCH_DELAY_LOW_RANK_MS ((clk_ms)3000)
/** WATCH_DELAY_LOW_RANK_MS applies from this number of nodes on, except to the
    first WATCH_FIRST_RANKS in rank. */
#define WATCH_MANY_NODES 16
#define WATCH_FIRST_RANKS 4

/** Backoff after the first failure; most failures are a single lost call. */
#define BACKOFF_FIRST_MS ((clk_ms)200)
/**
 * Limit of the backoff, which delays the first read after an outage: a
 * configuration has to be in force two seconds after it was accepted.
 */
#define BACKOFF_MAX_MS ((clk_ms)1000)
/** Limit of the backoff of a node to which other nodes push.  The lease of its
    entry is renewed after a third of its time and lasts for several of these
    intervals more. */
#define BACKOFF_PUSHED_MAX_MS ((clk_ms)3000)
/** Random part of the backoff, so that the nodes' probes are not
    synchronized. */
#define BACKOFF_JITTER 0.25

bool
pau_may_call (const struct pau *b, clk_ms now)
{
  return b->failures == 0 || (!b->probing && now >= b->next_call);
}

void
pau_call_started (struct pau *b)
{
  b->probing = true;
}

static clk_ms
backoff_ms (unsigned failures, clk_ms limit, struct rng *r)
{
  clk_ms ms = BACKOFF_FIRST_MS;

  for (unsigned i = 1; i < failures && ms < limit; i++)
    ms *= 2;
  if (ms > limit)
    ms = limit;
  return (clk_ms)((double)ms * (1 - BACKOFF_JITTER * rng_unit (r)));
}

void
pau_set_pushed (struct pau *b, clk_ms now, bool pushed, struct rng *r)
{
  clk_ms soon = now + backoff_ms (1, BACKOFF_MAX_MS, r);

  if (b->pushed && !pushed && b->next_call > soon)
    b->next_call = soon;
  b->pushed = pushed;
}

void
pau_call_ended (struct pau *b, clk_ms now, enum store_status status,
                struct rng *r)
{
  b->probing = false;
  if (status == STORE_OK || status == STORE_CONFLICT || status == STORE_GONE)
    b->failures = 0;
  /* Calls that were in flight together fail together and count as one
     failure. */
  else if (status == STORE_UNAVAILABLE
           && (!b->failures || now >= b->next_call))
    {
      b->failures++;
      b->next_call
          = now
            + backoff_ms (b->failures,
                          b->pushed ? BACKOFF_PUSHED_MAX_MS : BACKOFF_MAX_MS,
                          r);
    }
}

clk_ms
pau_watch_delay_ms (size_t nodes, unsigned rank, bool urgent)
{
  clk_ms delay = (clk_ms)nodes * WATCH_DELAY_PER_NODE_MS;

  if (nodes >= WATCH_MANY_NODES && rank >= WATCH_FIRST_RANKS && !urgent)
    return WATCH_DELAY_LOW_RANK_MS;
  if (delay < WATCH_DELAY_MIN_MS)
    return WATCH_DELAY_MIN_MS;
  return delay < WATCH_DELAY_MAX_MS ? delay : WATCH_DELAY_MAX_MS;
}
