#include "serve/dispatch-int.h"
#include "serve/load-sum.h"

/*
 * Health of endpoints, derived from the outcome of client requests; trial
 * requests are client requests too.
 */

/** Consecutive failures that eject an endpoint. */
#define EJECT_FAILURES_IN_ROW 3
/** Average failure rate that ejects an endpoint. */
#define EJECT_FAILURE_RATE 0.35
/** Samples needed before the average counts. */
#define EJECT_MIN_SAMPLES 12
/** Weight of the newest sample in averages. */
#define SMOOTHING 0.12
#define EJECT_MIN_MS ((clk_ms)2000)
#define EJECT_MAX_MS ((clk_ms)20000)

/*
 * A replica writes an event to each of its streams in every pass. Passes are
 * some 60 to 100 ms apart; a pass that processes several long prompts takes up
 * to 300 ms. A replica that has lost a member sends no events at all. With a
 * dozen or more streams over all nodes, a silence of all of them for this long
 * is not a coincidence; a single stream may also have been preempted for
 * others.
 */
#define STALL_MANY_MS ((clk_ms)400)
#define STALL_FEW_MS ((clk_ms)600)
#define STALL_ONE_MS ((clk_ms)900)
#define STALL_MANY 4
#define STALL_FEW 2
/** New requests avoid an endpoint with at least STALL_MANY streams if all of
    them have been silent for this long. The time is too short to move open
    requests, but avoiding the endpoint costs nothing.  A hedge avoids it
    whatever the number of its streams: a cause that silences one server often
    silences others, and a hedge there uses up an attempt and a retry. */
#define SILENT_MS ((clk_ms)220)
/** Stall timeout when no stream has received an event: a multiple of the
    request's latency goal, but at least STALL_FIRST_EVENT_MS. First events are
    also late at a replica that is full. */
#define STALL_FIRST_EVENT_FACTOR 3
#define STALL_FIRST_EVENT_MS ((clk_ms)1200)
/** Time after which a stalled endpoint gets a trial request. */
#define STALL_TRIAL_MS ((clk_ms)5000)
/** When a trial is overdue for this long, a request that can't be retried is
    used.  Where other routes have requests that can be retried, one of them
   has been sent by then. */
#define TRIAL_OVERDUE_MS EJECT_MAX_MS

static size_t
count_ejected (const struct dsp_pool *p, size_t *listed)
{
  size_t ejected = 0;

  *listed = 0;
  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i]->listed)
      {
        (*listed)++;
        ejected += p->endpoints[i]->ejected_until != 0;
      }
  return ejected;
}

/**
 * At most half of the endpoints are ejected at any time. If all of them fail
 * at once, as under overload, ejecting more would move the load to the few
 * remaining ones and make these fail too.
 */
static void
eject (struct dsp *d, struct dsp_endpoint_state *s)
{
  size_t listed, ejected = count_ejected (s->pool, &listed);
  clk_ms duration = EJECT_MIN_MS;

  if (!s->ejected_until && 2 * (ejected + 1) > listed)
    return;
  for (unsigned i = 0; i < s->ejections && duration < EJECT_MAX_MS; i++)
    duration *= 2;
  s->ejections++;
  s->ejected_until
      = d->now + (duration < EJECT_MAX_MS ? duration : EJECT_MAX_MS);
  s->trial_in_flight = false;
  d->stats.ejections++;
}

static void
readmit (struct dsp_endpoint_state *s)
{
  s->ejected_until = 0;
  s->failure_rate = 0;
  s->samples = 0;
  s->failures_in_row = 0;
}

void
dsp_health_success (struct dsp *d, struct dsp_endpoint_state *s)
{
  (void)d;
  s->failures_in_row = 0;
  s->failure_rate += SMOOTHING * (0 - s->failure_rate);
  s->samples++;
  if (s->trial_in_flight)
    readmit (s);
  if (!s->ejected_until)
    s->ejections = 0;
  s->stalled = false;
}

void
dsp_health_failure (struct dsp *d, struct dsp_endpoint_state *s)
{
  if (s->is_proxy)
    {
      dsp_proxy_failed (d, s);
      return;
    }
  if (dsp_path_is_own_loss (d, s->pool->path))
    return;
  s->failures_in_row++;
  s->failure_rate += SMOOTHING * (1 - s->failure_rate);
  s->samples++;
  if (s->trial_in_flight
      || (!s->ejected_until && s->failures_in_row >= EJECT_FAILURES_IN_ROW)
      || (!s->ejected_until && s->samples >= EJECT_MIN_SAMPLES
          && s->failure_rate > EJECT_FAILURE_RATE))
    eject (d, s);
}

void
dsp_health_first_event (struct dsp *d, struct dsp_endpoint_state *s, clk_ms ms)
{
  struct dsp_pool *p = s->pool;

  (void)d;
  s->mean_first_event_ms += (s->mean_first_event_ms > 0 ? SMOOTHING : 1)
                            * ((double)ms - s->mean_first_event_ms);
  p->mean_first_event_ms += (p->mean_first_event_ms > 0 ? 0.05 : 1)
                            * ((double)ms - p->mean_first_event_ms);
}

bool
dsp_health_allows_requests (const struct dsp *d,
                            const struct dsp_endpoint_state *s)
{
  return s->listed && s->accepting && !s->stalled && !s->ejected_until
         && d->now >= s->full_until && !dsp_process_ended (d, s)
         && dsp_avail_allows (d, s);
}

/** When the next trial is due; CLK_NEVER: none is needed or possible. */
static clk_ms
trial_due_at (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  if (!s->listed || !s->accepting || s->trial_in_flight
      || dsp_process_ended (d, s) || !dsp_avail_allows (d, s))
    return CLK_NEVER;
  if (s->stalled)
    return s->stalled_at + STALL_TRIAL_MS;
  return s->ejected_until ? s->ejected_until : CLK_NEVER;
}

bool
dsp_health_trial_due (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  return d->now >= trial_due_at (d, s);
}

bool
dsp_health_trial_overdue (const struct dsp *d,
                          const struct dsp_endpoint_state *s)
{
  clk_ms due_at = trial_due_at (d, s);

  return due_at != CLK_NEVER && d->now - due_at >= TRIAL_OVERDUE_MS;
}

/* --- stalls ------------------------------------------------------------ */

/** Streams of this node at an endpoint. */
struct local_streams
{
  unsigned streaming;
  /** time at which the request that has waited longest for its first event was
      sent; CLK_NEVER: no request waits */
  clk_ms oldest_sent_at;
  clk_ms goal_ms;
};

static struct local_streams
count_local_streams (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct local_streams m = { .oldest_sent_at = CLK_NEVER };

  for (const struct dsp_req *q = d->open_list; q; q = q->next)
    {
      if (q->endpoint != s || q->route->kind != TBL_STREAM)
        continue;
      m.streaming += q->streaming;
      if (q->awaits_first_event && q->sent_at < m.oldest_sent_at)
        {
          m.oldest_sent_at = q->sent_at;
          m.goal_ms = q->route->latency_goal_ms;
        }
    }
  return m;
}

/** Adds the streams of the other nodes, and the time of their last event. */
static void
add_peer_streams (const struct dsp *d, const struct dsp_endpoint_state *s,
                  unsigned *streaming, clk_ms *last_event_at)
{
  for (size_t i = 0; i < d->npeers; i++)
    {
      const struct dsp_peer *p = &d->peers[i];
      clk_ms age = d->now - p->received_at;
      if (age > LDS_STREAMS_MAX_AGE_MS)
        continue;
      for (size_t k = 0; k < p->n; k++)
        {
          const struct dsp_endpoint_load *c = &p->loads[k];
          if (c->endpoint != s->hash || c->streaming == 0 || c->stalled)
            continue;
          *streaming += c->streaming;
          if (lds_last_event_at (c, age) > *last_event_at)
            *last_event_at = lds_last_event_at (c, age);
        }
    }
}

/** Time without events after which that many streams indicate a stall. */
static clk_ms
stall_timeout (unsigned streaming)
{
  if (streaming >= STALL_MANY)
    return STALL_MANY_MS;
  return streaming >= STALL_FEW ? STALL_FEW_MS : STALL_ONE_MS;
}

bool
dsp_health_streams_silent (const struct dsp *d,
                           const struct dsp_endpoint_state *s, bool for_hedge)
{
  clk_ms last_event_at = s->last_data_at;
  unsigned streaming = 0;

  if (s->own_streaming == 0 && s->peer_streaming == 0)
    return false;
  add_peer_streams (d, s, &streaming, &last_event_at);
  streaming += s->own_streaming;
  return streaming >= (for_hedge ? 1 : STALL_MANY)
         && d->now - last_event_at > SILENT_MS;
}

bool
dsp_health_heard_recently (const struct dsp *d,
                           const struct dsp_endpoint_state *s)
{
  clk_ms last_event_at = s->last_data_at;
  unsigned streaming = 0;

  add_peer_streams (d, s, &streaming, &last_event_at);
  return d->now - last_event_at <= SILENT_MS;
}

/** Streams of all nodes at an endpoint, and the time since their last event.
 */
static struct dsp_silence
measure_silence (const struct dsp *d, const struct dsp_endpoint_state *s,
                 const struct local_streams *m)
{
  struct dsp_silence out = { .own_streams = m->streaming };
  clk_ms last_event_at = s->last_data_at;

  add_peer_streams (d, s, &out.peer_streams, &last_event_at);
  if (out.own_streams + out.peer_streams == 0 && m->oldest_sent_at != CLK_NEVER
      && last_event_at < m->oldest_sent_at)
    last_event_at = m->oldest_sent_at;
  out.silent_ms = d->now - last_event_at;
  return out;
}

/** Time without a first event after which a request indicates a stall. */
static clk_ms
first_event_timeout (clk_ms goal_ms)
{
  clk_ms timeout = STALL_FIRST_EVENT_FACTOR * goal_ms;

  return timeout < STALL_FIRST_EVENT_MS ? STALL_FIRST_EVENT_MS : timeout;
}

/** @param out  receives what the result is derived from */
static bool
has_stalled (const struct dsp *d, const struct dsp_endpoint_state *s,
             struct dsp_silence *out)
{
  struct local_streams m = count_local_streams (d, s);
  unsigned streaming;

  *out = measure_silence (d, s, &m);
  streaming = out->own_streams + out->peer_streams;
  if (streaming > 0)
    return out->silent_ms > stall_timeout (streaming);
  if (m.oldest_sent_at == CLK_NEVER)
    return false;
  return s->last_data_at < m.oldest_sent_at
         && out->silent_ms > first_event_timeout (m.goal_ms);
}

/** Time for which the endpoint has sent this node nothing.  If it has sent
    nothing since the oldest waiting request was sent, the time is measured
    from that request. */
static clk_ms
silence_duration (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct local_streams m = count_local_streams (d, s);
  bool no_event_yet = m.streaming == 0 && m.oldest_sent_at != CLK_NEVER;

  return d->now
         - (no_event_yet && s->last_data_at < m.oldest_sent_at
                ? m.oldest_sent_at
                : s->last_data_at);
}

static void
mark_stalled (struct dsp *d, struct dsp_endpoint_state *s,
              const struct dsp_silence *evidence)
{
  struct dsp_action *note = dsp_add_action (d, DSP_ACT_STALLED, NULL);

  note->server = str_from (s->server);
  note->duration_ms = silence_duration (d, s);
  note->silence = *evidence;
  s->stalled = true;
  s->stalled_at = d->now;
  if (s->is_proxy)
    dsp_proxy_failed (d, s);
  d->stats.stalls++;
}

/** Whether the current attempt has been sent to @p s and gets no answer. */
static bool
waits_at (const struct dsp_req *q, const struct dsp_endpoint_state *s)
{
  return q->endpoint == s && q->sent_at != 0 && q->sent_at <= s->stalled_at
         && q->state != DSP_S_CONNECTING && q->state != DSP_S_RECONNECTING;
}

/** Whether a request that was sent to @p s after it had stalled, as a trial or
    because it was connecting then, has got no event either. */
static bool
confirms_stall (const struct dsp *d, const struct dsp_req *q,
                const struct dsp_endpoint_state *s)
{
  return q->endpoint == s && q->awaits_first_event
         && q->sent_at > s->stalled_at && q->route->kind == TBL_STREAM
         && d->now - q->sent_at
                > first_event_timeout (q->route->latency_goal_ms);
}

static void
hedge_requests (struct dsp *d, struct dsp_endpoint_state *s)
{
  for (struct dsp_req *q = d->open_list; q; q = q->next)
    {
      if (confirms_stall (d, q, s))
        s->stalled_at = d->now;
      if (waits_at (q, s) && q->retryable)
        dsp_hedge (d, q);
    }
}

/*
 * A replica that has lost a member continues to accept requests but executes
 * none of them, and it takes seconds until the loss is reported. The nodes see
 * all of its streams stop at the same time, long before the member misses a
 * heartbeat. Within the retry budget, the streams are resumed at another
 * replica after their last event, and clients see a pause of about half a
 * second instead of a lost response. The endpoint gets no new requests until
 * it responds again or the replica is formed anew.
 *
 * A sound replica may be silent as long, and then go on. Its attempts stay
 * open until another replica has continued their streams.
 */
static void
check_stalls (struct dsp *d, struct dsp_endpoint_state *const *list, size_t n)
{
  struct dsp_silence evidence;

  for (size_t i = 0; i < n; i++)
    {
      struct dsp_endpoint_state *s = list[i];
      /* A proxy gets requests again after its pause. */
      if (s->is_proxy && s->stalled && d->now >= s->full_until)
        s->stalled = false;
      if (s->own_requests == 0)
        continue;
      if (!s->stalled && has_stalled (d, s, &evidence))
        mark_stalled (d, s, &evidence);
      if (s->stalled)
        hedge_requests (d, s);
    }
}

/*
 * An endpoint that has stalled for all nodes goes on at those that still have
 * attempts there. The others would find out by a trial request only.
 */
void
dsp_health_peer_load (struct dsp_endpoint_state *s,
                      const struct dsp_endpoint_load *load)
{
  if (load->streaming > 0 && load->last_event_at > s->stalled_at)
    s->stalled = false;
}

void
dsp_health_tick (struct dsp *d)
{
  for (size_t i = 0; i < d->npools; i++)
    {
      check_stalls (d, d->pools[i]->endpoints, d->pools[i]->n);
      check_stalls (d, d->pools[i]->proxies, d->pools[i]->nproxies);
    }
}
