#include "serve/dispatch-int.h"

#include <stdlib.h>

/*
 * Pace of endpoints: the intervals between the events of their streams and the
 * times to the first event, over all nodes and about the last second, compared
 * with the median of the pool.  An endpoint that is clearly slower gets fewer
 * requests than the others: its load counts more, and it gets only as many
 * concurrent requests as it can serve within the goals of the routes.
 *
 * Enabled for a pool by requests of a streaming route that declares a goal for
 * the gaps between events (tbl_route.max_event_gap_ms).
 */

/** Time after a stall after which evidence is newer than the stall. */
#define STALL_EVIDENCE_MS ((clk_ms)1500)
/** Length of a bucket of the sliding window, DSP_PACE_BUCKETS long. */
#define BUCKET_MS ((clk_ms)200)
/** Interval between two comparisons of the endpoints. */
#define PASS_INTERVAL_MS ((clk_ms)100)
/** Reports of other nodes that are older than this are not used.  While no
    aggregator sends sums, nodes of a large fleet report once a second. */
#define PEER_MAX_AGE_MS ((clk_ms)1500)
/** Endpoints with evidence that a comparison needs; the median of fewer is one
    of two values. */
#define MIN_ENDPOINTS 3
/** Intervals that an endpoint needs for a comparison; an endpoint that is
    already slow has few requests, and needs fewer. */
#define MIN_INTERVALS 6
#define MIN_INTERVALS_SLOW 1
/** The same for first events, which count only without intervals. */
#define MIN_FIRST_EVENTS 3
/** An endpoint at this multiple of the median is slow. */
#define SLOW_FACTOR 1.5
/** First events vary more than intervals, with the lengths of the prompts. */
#define SLOW_FIRST_FACTOR 2.5
/** A slow endpoint has recovered below this multiple of the median. */
#define RECOVERED_FACTOR 1.3
/** Comparisons in a row that must find an endpoint slow. */
#define SLOW_PASSES 2
/** Without evidence for this time, an endpoint that was slow gets single
    requests. */
#define EVIDENCE_MAX_AGE_MS ((clk_ms)3000)
/** Interval at which the number of requests of a recovered endpoint doubles:
   48 slots are in use again after 1.2 s. */
#define GROW_INTERVAL_MS ((clk_ms)200)
/** Part of the goal for the largest gap that the mean interval may take up;
   the prompts of a pass need the rest.  Of 0.4 to 0.75, lower values served
   more in time beside a replica at a quarter of its speed while a pool had
   room (0.978 to 0.965), and fewer when its other replicas were full (0.43 to
   0.49). */
#define GAP_GOAL_FRACTION 0.6
/** Assumed growth of intervals with the load: those of a full endpoint are
   this much longer than those of an idle one, as a fraction. */
#define LOAD_GROWTH 1.0
/** Requests that all nodes together may send to a slow endpoint before they
    know of each other's, as a multiple of its free slots. */
#define NODES_PER_FREE_SLOT 8

/* --- goals -------------------------------------------------------------- */

static void
lower_goal (clk_ms *goal, clk_ms other)
{
  if (other > 0 && (*goal == 0 || other < *goal))
    *goal = other;
}

void
dsp_pace_request (const struct dsp_req *q)
{
  struct dsp_pool_pace *p = &q->pool->pace;

  if (q->route->kind != TBL_STREAM)
    return;
  /* After a restore of the store, the version may be lower. */
  if (q->config->version != p->config)
    {
      p->config = q->config->version;
      p->max_gap_ms = p->first_goal_ms = 0;
    }
  if (q->route->max_event_gap_ms <= 0)
    return;
  lower_goal (&p->max_gap_ms, q->route->max_event_gap_ms);
  lower_goal (&p->first_goal_ms, q->route->latency_goal_ms);
}

static bool
is_enabled (const struct dsp_pool *p)
{
  return p->pace.max_gap_ms > 0;
}

/* --- observation --------------------------------------------------------- */

/** Clears the buckets that have left the window.
    @return the current bucket */
static struct dsp_pace_bucket *
current_bucket (const struct dsp *d, struct dsp_pace *x)
{
  int64_t number = d->now / BUCKET_MS;
  int64_t elapsed = number - x->newest;

  if (elapsed > DSP_PACE_BUCKETS)
    elapsed = DSP_PACE_BUCKETS;
  for (int64_t i = 0; i < elapsed; i++)
    x->buckets[(number - i) % DSP_PACE_BUCKETS]
        = (struct dsp_pace_bucket){ 0 };
  if (elapsed > 0)
    x->newest = number;
  return &x->buckets[number % DSP_PACE_BUCKETS];
}

/** Records how long the endpoint needs for the prompts that it has now. */
static void
record_prefill (const struct dsp *d, struct dsp_endpoint_state *s)
{
  struct dsp_pace_bucket *b = current_bucket (d, &s->pace);
  double ms;

  if (s->prefill_per_ms <= 0)
    return;
  ms = dsp_load_pending_prefill (s) / s->prefill_per_ms;
  if (ms > b->prefill_ms)
    b->prefill_ms = ms;
}

void
dsp_pace_prompt_sent (const struct dsp *d, struct dsp_endpoint_state *s)
{
  if (is_enabled (s->pool))
    record_prefill (d, s);
}

/**
 * The part of a time that the processing of prompts doesn't explain.  A
 * replica processes all new prompts in one pass, and its streams pause
 * meanwhile; that is the load of the endpoint, which load_of() counts, and not
 * its speed.
 * @param typical_ms  median of the pool, which remains; 0: unknown
 */
static double
unexplained (const struct dsp_pace *x, double ms, double typical_ms)
{
  double prefill = 0;

  if (typical_ms <= 0 || ms <= typical_ms)
    return ms;
  for (int i = 0; i < DSP_PACE_BUCKETS; i++)
    if (x->buckets[i].prefill_ms > prefill)
      prefill = x->buckets[i].prefill_ms;
  return ms - prefill > typical_ms ? ms - prefill : typical_ms;
}

void
dsp_pace_event (const struct dsp *d, struct dsp_req *q)
{
  struct dsp_endpoint_state *s = q->endpoint;
  const struct dsp_pool_pace *p = &q->pool->pace;
  struct dsp_pace_sums *sums;
  clk_ms since = q->streaming ? q->event_at : q->sent_at;

  q->event_at = d->now;
  /* A suspension of this process is not an interval. */
  if (!is_enabled (q->pool) || since < d->resumed_at)
    return;
  record_prefill (d, s);
  sums = &current_bucket (d, &s->pace)->sums;
  if (q->streaming)
    {
      sums->intervals++;
      sums->intervals_ms
          += unexplained (&s->pace, (double)(d->now - since), p->interval_ms);
    }
  else
    {
      sums->first_events++;
      sums->first_events_ms
          += unexplained (&s->pace, (double)(d->now - since), p->first_ms);
    }
}

static void
add_sums (struct dsp_pace_sums *to, const struct dsp_pace_sums *x)
{
  to->intervals += x->intervals;
  to->intervals_ms += x->intervals_ms;
  to->first_events += x->first_events;
  to->first_events_ms += x->first_events_ms;
}

/**
 * A replica at a twelfth of its speed stalls before most of its intervals end.
 * The nodes whose streams are moved tell the others in this way.
 */
void
dsp_pace_attempt_failed (const struct dsp *d, struct dsp_req *q)
{
  const struct dsp_pool_pace *p = &q->pool->pace;
  struct dsp_pace *x = &q->endpoint->pace;
  clk_ms since = q->streaming ? q->event_at : q->sent_at;
  double ms;

  if (!is_enabled (q->pool) || since < d->resumed_at)
    return;
  if (q->streaming && p->interval_ms > 0)
    {
      ms = unexplained (x, (double)(d->now - since), p->interval_ms);
      if (ms < SLOW_FACTOR * p->interval_ms)
        return;
      current_bucket (d, x)->sums.intervals++;
      current_bucket (d, x)->sums.intervals_ms += ms;
    }
  else if (q->awaits_first_event && p->first_ms > 0)
    {
      ms = unexplained (x, (double)(d->now - since), p->first_ms);
      if (ms < SLOW_FIRST_FACTOR * p->first_ms)
        return;
      current_bucket (d, x)->sums.first_events++;
      current_bucket (d, x)->sums.first_events_ms += ms;
    }
}

struct dsp_pace_sums
dsp_pace_own (const struct dsp *d, struct dsp_endpoint_state *s)
{
  struct dsp_pace_sums sum = { 0 };

  if (!is_enabled (s->pool))
    return (struct dsp_pace_sums){ 0 };
  current_bucket (d, &s->pace);
  for (int i = 0; i < DSP_PACE_BUCKETS; i++)
    add_sums (&sum, &s->pace.buckets[i].sums);
  return sum;
}

static void
sum_peers (struct dsp *d)
{
  for (size_t i = 0; i < d->npeers; i++)
    for (size_t k = 0; k < d->peers[i].n; k++)
      {
        const struct dsp_endpoint_load *c = &d->peers[i].loads[k];
        struct dsp_pace_sums sums = { c->intervals, c->first_events,
                                      c->intervals_ms, c->first_events_ms };
        struct dsp_endpoint_state *s;
        if ((c->intervals == 0 && c->first_events == 0)
            || d->now - d->peers[i].received_at > PEER_MAX_AGE_MS
            || !(s = dsp_find_endpoint (d, c->endpoint)))
          continue;
        add_sums (&s->pace.peers, &sums);
      }
}

/* --- comparison ---------------------------------------------------------- */

static double
used_fraction (const struct dsp_endpoint_state *s)
{
  return (double)(s->own_requests + s->peer_requests)
         / (s->capacity ? s->capacity : 1);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;

  return (x > y) - (x < y);
}

/** The median; of an even number, the lower of the two in the middle, so that
    of four endpoints two can be slow. */
static double
median (double *list, size_t n)
{
  if (n == 0)
    return 0;
  qsort (list, n, sizeof *list, compare_doubles);
  return list[(n - 1) / 2];
}

/** Takes the means of the endpoint from the counts of all nodes. */
static void
update_means (const struct dsp *d, struct dsp_endpoint_state *s)
{
  struct dsp_pace *x = &s->pace;
  struct dsp_pace_sums sum = dsp_pace_own (d, s);

  add_sums (&sum, &x->peers);
  x->sums = sum;
  x->interval_ms = x->first_ms = 0;
  if (sum.intervals >= (x->slow ? MIN_INTERVALS_SLOW : MIN_INTERVALS))
    x->interval_ms = sum.intervals_ms / sum.intervals;
  if (sum.first_events >= MIN_FIRST_EVENTS)
    x->first_ms = sum.first_events_ms / sum.first_events;
}

/** Updates the medians of the pool.
    @retval false  there are too few endpoints to compare */
static bool
update_medians (struct dsp *d, struct dsp_pool *p)
{
  size_t n = 0, nfirst = 0, without = 0;
  double used = 0;

  d->medians = xrealloc (d->medians, (2 * p->n + 1) * sizeof *d->medians);
  for (size_t i = 0; i < p->n; i++)
    {
      struct dsp_endpoint_state *s = p->endpoints[i];
      if (!s->listed)
        continue;
      update_means (d, s);
      if (s->pace.interval_ms > 0)
        {
          d->medians[n++] = s->pace.interval_ms;
          used += used_fraction (s);
        }
      else if (s->pace.slow)
        without++;
      if (s->pace.first_ms > 0)
        d->medians[p->n + nfirst++] = s->pace.first_ms;
    }
  if (n < 2 || n + without < MIN_ENDPOINTS)
    {
      p->pace.interval_ms = p->pace.first_ms = 0;
      return false;
    }
  p->pace.interval_ms = median (d->medians, n);
  p->pace.first_ms
      = nfirst >= MIN_ENDPOINTS ? median (d->medians + p->n, nfirst) : 0;
  p->pace.used = used / (double)n;
  return true;
}

/** The load, as a fraction of the slots, at which a time reaches its goal.
    @param goal_ratio  the goal as a multiple of the time at the pool's load */
static double
load_within_goal (const struct dsp_pool_pace *p, double goal_ratio)
{
  return (goal_ratio * (1 + LOAD_GROWTH * p->used) - 1) / LOAD_GROWTH;
}

/** Number of concurrent requests at which the endpoint keeps the goals. */
static unsigned
requests_within_goals (const struct dsp_endpoint_state *s, double factor)
{
  const struct dsp_pool_pace *p = &s->pool->pace;
  double load = load_within_goal (p, GAP_GOAL_FRACTION * (double)p->max_gap_ms
                                         / (factor * p->interval_ms));
  double n;

  if (p->first_ms > 0 && p->first_goal_ms > 0)
    {
      double first = load_within_goal (p, (double)p->first_goal_ms
                                              / (factor * p->first_ms));
      load = first < load ? first : load;
    }
  n = load * s->capacity;
  if (n >= s->capacity)
    return s->capacity ? s->capacity : 1;
  return n > 1 ? (unsigned)n : 1;
}

/** How many times slower than the median the endpoint is, at the same load; 0:
    no evidence.  A lower load than that of the others is not corrected: by how
    much it shortens intervals is unknown, and an idle endpoint must not look
    slow. */
static double
measure_factor (const struct dsp_endpoint_state *s)
{
  const struct dsp_pool_pace *p = &s->pool->pace;
  double load
      = (1 + LOAD_GROWTH * used_fraction (s)) / (1 + LOAD_GROWTH * p->used);
  double factor = 0;

  if (s->pace.interval_ms > 0)
    factor = s->pace.interval_ms / p->interval_ms;
  else if (s->pace.first_ms > 0 && p->first_ms > 0)
    factor = s->pace.first_ms / p->first_ms * SLOW_FACTOR / SLOW_FIRST_FACTOR;
  return load > 1 ? factor / load : factor;
}

static void
set_slow (struct dsp_pace *x, bool slow)
{
  if (x->slow != slow)
    x->changed = true;
  x->slow = slow;
  x->slow_passes = 0;
  if (!slow)
    {
      x->excess = 0;
      x->limit = 0;
    }
}

static void
slow_down (struct dsp_endpoint_state *s, double factor)
{
  struct dsp_pace *x = &s->pace;

  set_slow (x, true);
  x->excess = factor - 1;
  x->limit = requests_within_goals (s, factor);
}

/** The endpoint is as fast as the others again: its number of requests grows
    step by step. */
static void
grow (const struct dsp *d, struct dsp_endpoint_state *s)
{
  struct dsp_pace *x = &s->pace;

  x->excess = 0;
  if (d->now < x->grow_at)
    return;
  x->grow_at = d->now + GROW_INTERVAL_MS;
  x->limit *= 2;
  if (x->limit >= s->capacity)
    set_slow (x, false);
}

/** An endpoint that was slow or stalled, and of which nothing else is known.
    A replica at a twelfth of its speed stalls: if it got all of its requests
    back with the first event of the trial request, these would stall too. */
static void
allow_single_requests (struct dsp_pace *x)
{
  set_slow (x, true);
  x->excess = 0;
  x->limit = 1;
}

static void
judge (const struct dsp *d, struct dsp_endpoint_state *s)
{
  struct dsp_pace *x = &s->pace;
  double factor = measure_factor (s);

  if (s->stalled && factor > 0 && factor < RECOVERED_FACTOR)
    {
      /* Streams of other nodes go on there, or did so before the stall. */
      if (d->now - s->stalled_at <= STALL_EVIDENCE_MS)
        return;
      s->stalled = false;
    }
  if (s->stalled)
    {
      allow_single_requests (x);
      return;
    }
  if (factor <= 0)
    {
      x->slow_passes = 0;
      if (x->slow && d->now - x->evidence_at > EVIDENCE_MAX_AGE_MS)
        allow_single_requests (x);
      return;
    }
  x->evidence_at = d->now;
  if (factor >= SLOW_FACTOR)
    {
      if (x->slow || ++x->slow_passes >= SLOW_PASSES)
        slow_down (s, factor);
      return;
    }
  x->slow_passes = 0;
  if (!x->slow)
    return;
  if (factor >= RECOVERED_FACTOR)
    slow_down (s, factor);
  else
    grow (d, s);
}

static void
treat_as_equal (struct dsp_pool *p)
{
  for (size_t i = 0; i < p->n; i++)
    set_slow (&p->endpoints[i]->pace, false);
}

static void
compare (struct dsp *d, struct dsp_pool *p)
{
  if (!update_medians (d, p))
    {
      treat_as_equal (p);
      return;
    }
  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i]->listed)
      judge (d, p->endpoints[i]);
    else
      set_slow (&p->endpoints[i]->pace, false);
}

void
dsp_pace_tick (struct dsp *d)
{
  bool enabled = false;

  if (d->now < d->next_pace_at)
    return;
  d->next_pace_at = d->now + PASS_INTERVAL_MS;
  for (size_t i = 0; i < d->npools; i++)
    {
      struct dsp_pool *p = d->pools[i];
      enabled = enabled || is_enabled (p);
      for (size_t k = 0; k < p->n; k++)
        p->endpoints[k]->pace.peers = (struct dsp_pace_sums){ 0 };
    }
  if (enabled)
    sum_peers (d);
  for (size_t i = 0; i < d->npools; i++)
    if (is_enabled (d->pools[i]))
      compare (d, d->pools[i]);
    else
      treat_as_equal (d->pools[i]);
}

/* --- choice of an endpoint ------------------------------------------------
 */

double
dsp_pace_load (const struct dsp_endpoint_state *s)
{
  /* The request to be sent counts too: a slow endpoint without requests is
     still slow. */
  return s->pace.excess
         * (used_fraction (s) + 1.0 / (s->capacity ? s->capacity : 1));
}

bool
dsp_pace_has_room (struct dsp *d, const struct dsp_endpoint_state *s,
                   const struct dsp_req *q, unsigned extra)
{
  uint32_t taken = s->counted;
  uint64_t nodes;

  if (s->pace.limit == 0)
    return taken < s->capacity + extra;
  if (taken >= s->pace.limit)
    return false;
  /* All nodes see a free slot, until they hear of each other's requests.
     Chance decides which of them use it, once for each request. */
  nodes = (uint64_t)(s->pace.limit - taken) * NODES_PER_FREE_SLOT;
  return nodes >= d->node_count
         || (q->queued_at == d->now
             && rng_below (&d->rng, d->node_count) < nodes);
}

bool
dsp_pace_allows_trial (struct dsp *d, const struct dsp_endpoint_state *s,
                       const struct dsp_req *q)
{
  return !s->pace.slow || dsp_pace_has_room (d, s, q, 0);
}

/* --- reports --------------------------------------------------------------
 */

bool
dsp_next_pace_change (struct dsp *d, struct dsp_pace_change *out)
{
  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      {
        struct dsp_endpoint_state *s = d->pools[i]->endpoints[k];
        if (!s->pace.changed)
          continue;
        s->pace.changed = false;
        *out = (struct dsp_pace_change){ .server = str_from (s->server),
                                         .slow = s->pace.slow,
                                         .factor = 1 + s->pace.excess,
                                         .limit = s->pace.limit,
                                         .intervals = s->pace.sums.intervals,
                                         .interval_ms = s->pace.interval_ms,
                                         .first_events
                                         = s->pace.sums.first_events,
                                         .first_ms = s->pace.first_ms,
                                         .median_ms
                                         = s->pool->pace.interval_ms };
        return true;
      }
  return false;
}

struct dsp_pace_stats
dsp_pace_stats (const struct dsp *d)
{
  struct dsp_pace_stats out = { 0 };

  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      {
        const struct dsp_endpoint_state *s = d->pools[i]->endpoints[k];
        if (!s->listed)
          continue;
        out.slow += s->pace.slow;
        if (s->pace.slow
            && (out.min_limit == 0 || s->pace.limit < out.min_limit))
          out.min_limit = s->pace.limit;
      }
  return out;
}
