#include "serve/dispatch-int.h"

/*
 * Health of endpoints, derived from the outcome of regular requests; there are
 * no separate probe requests.
 */

#define BAD_RUN 3         /* consecutive failures that eject an endpoint */
#define ERRORS_EJECT 0.35 /* average failure rate that ejects an endpoint */
#define ERRORS_SAMPLES 12 /* samples needed before the average counts */
#define SMOOTH 0.12       /* weight of the newest sample in averages */
#define OUT_FIRST_MS ((clk_ms)2000)
#define OUT_MOST_MS ((clk_ms)20000)

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
/** Age above which a peer's load report is ignored. */
#define TOLD_MS ((clk_ms)350)
/** New requests avoid an endpoint whose streams have all been silent for
    this long. The time is too short to move open requests, but avoiding the
    endpoint costs nothing. */
#define QUIET_MS ((clk_ms)220)
/** Stall timeout when no stream has received an event: a multiple of the
    request's latency goal, and a minimum. Requests also wait for their
    first event at a replica that is full. */
#define STALL_BEGIN_FACTOR 3
#define STALL_BEGIN_MS ((clk_ms)1200)
/** Time after which a stalled endpoint gets a trial request. */
#define STALL_BACK_MS ((clk_ms)5000)

static size_t
count_out (const struct dsp_pool *p, size_t *listed)
{
  size_t out = 0;

  *listed = 0;
  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i]->listed)
      {
        (*listed)++;
        out += p->endpoints[i]->ejected_until != 0;
      }
  return out;
}

/**
 * At most half of the endpoints are ejected at any time. If all of them fail
 * at once, as under overload, ejecting more would move the load to the few
 * remaining ones and make these fail too.
 */
static void
eject (struct dsp *d, struct dsp_endpoint_state *s)
{
  size_t listed, out = count_out (s->pool, &listed);
  clk_ms span = OUT_FIRST_MS;

  if (!s->ejected_until && 2 * (out + 1) > listed)
    return;
  for (unsigned i = 0; i < s->ejections && span < OUT_MOST_MS; i++)
    span *= 2;
  s->ejections++;
  s->ejected_until = d->now + (span < OUT_MOST_MS ? span : OUT_MOST_MS);
  s->probing = false;
  d->stats.ejections++;
}

static void
restore (struct dsp_endpoint_state *s)
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
  s->failure_rate += SMOOTH * (0 - s->failure_rate);
  s->samples++;
  if (s->probing)
    restore (s);
  if (!s->ejected_until)
    s->ejections = 0;
  s->stalled = false;
}

void
dsp_health_failure (struct dsp *d, struct dsp_endpoint_state *s)
{
  s->failures_in_row++;
  s->failure_rate += SMOOTH * (1 - s->failure_rate);
  s->samples++;
  if (s->probing || (!s->ejected_until && s->failures_in_row >= BAD_RUN)
      || (!s->ejected_until && s->samples >= ERRORS_SAMPLES
          && s->failure_rate > ERRORS_EJECT))
    eject (d, s);
}

void
dsp_health_first_event (struct dsp *d, struct dsp_endpoint_state *s, clk_ms ms)
{
  struct dsp_pool *p = s->pool;

  (void)d;
  s->first_event_ms += (s->first_event_ms > 0 ? SMOOTH : 1)
                       * ((double)ms - s->first_event_ms);
  p->first_event_ms
      += (p->first_event_ms > 0 ? 0.05 : 1) * ((double)ms - p->first_event_ms);
}

bool
dsp_health_usable (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  return s->listed && s->accepting && !s->stalled && !s->ejected_until
         && d->now >= s->full_until && !dsp_process_ended (d, s);
}

bool
dsp_health_probe_due (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  if (!s->listed || !s->accepting || s->probing || dsp_process_ended (d, s))
    return false;
  if (s->stalled)
    return d->now - s->stalled_at >= STALL_BACK_MS;
  return s->ejected_until && d->now >= s->ejected_until;
}

/* --- stalls ------------------------------------------------------------ */

/** Streams of this node at an endpoint. */
struct moving
{
  unsigned begun;
  clk_ms oldest; /**< time at which the request that has waited longest for
                      its first event was sent; CLK_NEVER: no request waits */
  clk_ms goal_ms;
};

static struct moving
count_moving (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct moving m = { .oldest = CLK_NEVER };

  for (const struct dsp_req *q = d->open_list; q; q = q->next)
    {
      if (q->endpoint != s || q->route->kind != TBL_STREAM)
        continue;
      m.begun += q->streaming;
      if (q->awaits_first_event && q->sent_at < m.oldest)
        {
          m.oldest = q->sent_at;
          m.goal_ms = q->route->goal_ms;
        }
    }
  return m;
}

/** Adds the streams of the other nodes, and the time of their last event. */
static void
add_others (const struct dsp *d, const struct dsp_endpoint_state *s,
            unsigned *begun, clk_ms *heard)
{
  for (size_t i = 0; i < d->npeers; i++)
    {
      const struct dsp_peer *p = &d->peers[i];
      if (d->now - p->received_at > TOLD_MS)
        continue;
      for (size_t k = 0; k < p->n; k++)
        {
          const struct dsp_count *c = &p->loads[k];
          if (c->place != s->hash || c->begun == 0 || c->stalled)
            continue;
          *begun += c->begun;
          if (c->heard > *heard)
            *heard = c->heard;
        }
    }
}

/** Silence of that many streams that indicates a stall. */
static clk_ms
silence_of (unsigned begun)
{
  if (begun >= STALL_MANY)
    return STALL_MANY_MS;
  return begun >= STALL_FEW ? STALL_FEW_MS : STALL_ONE_MS;
}

bool
dsp_health_is_silent (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  clk_ms heard = s->last_data_at;
  unsigned begun = 0;

  if (s->own_streaming == 0 && s->peer_streaming == 0)
    return false;
  add_others (d, s, &begun, &heard);
  begun += s->own_streaming;
  return begun >= STALL_MANY && d->now - heard > QUIET_MS;
}

static bool
has_stalled (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct moving m = count_moving (d, s);
  clk_ms heard = s->last_data_at;
  clk_ms begin = STALL_BEGIN_FACTOR * m.goal_ms;
  unsigned begun = m.begun;

  add_others (d, s, &begun, &heard);
  if (begun > 0)
    return d->now - heard > silence_of (begun);
  if (m.oldest == CLK_NEVER)
    return false;
  if (begin < STALL_BEGIN_MS)
    begin = STALL_BEGIN_MS;
  return d->now - m.oldest > begin && s->last_data_at < m.oldest;
}

/** Duration of the current silence. If the endpoint has sent nothing since
    the oldest waiting request was sent, the silence is measured from that
    request. */
static clk_ms
silence (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct moving m = count_moving (d, s);
  bool begins = m.begun == 0 && m.oldest != CLK_NEVER;

  return d->now
         - (begins && s->last_data_at < m.oldest ? m.oldest : s->last_data_at);
}

/** Moves all requests away from a stalled endpoint. */
static void
move_away (struct dsp *d, struct dsp_endpoint_state *s)
{
  struct dsp_req *next;

  struct dsp_action *note = dsp_add_action (d, DSP_ACT_STALLED, NULL);

  note->server = str_from (s->server);
  note->left_ms = silence (d, s);
  s->stalled = true;
  s->stalled_at = d->now;
  d->stats.stalls++;
  for (struct dsp_req *q = d->open_list; q; q = next)
    {
      next = q->next;
      if (q->endpoint == s && q->sent_at != 0 && q->retryable
          && q->state != DSP_S_CONNECTING && q->state != DSP_S_RECONNECTING)
        dsp_attempt_failed (d, q, DSP_INTERRUPTED);
    }
}

/*
 * A replica that has lost a member continues to accept requests but executes
 * none of them, and it takes seconds until the loss is reported. The nodes see
 * all of its streams stop at the same time, long before the member misses a
 * heartbeat. The streams are resumed at another replica after their last
 * event, and the endpoint gets no new requests until it responds again or the
 * replica is formed anew. Clients see a pause of about half a second instead
 * of a lost response.
 */
void
dsp_health_tick (struct dsp *d)
{
  for (size_t i = 0; i < d->npools; i++)
    for (size_t k = 0; k < d->pools[i]->n; k++)
      {
        struct dsp_endpoint_state *s = d->pools[i]->endpoints[k];
        if (s->own_requests > 0 && !s->stalled && has_stalled (d, s))
          move_away (d, s);
      }
}
