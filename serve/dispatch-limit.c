#include "serve/dispatch-int.h"

#include <math.h>

/*
 * Rate limits set by backend servers. An endpoint that has used up its permits
 * counts as full. It remains usable, and no request fails because of it.
 */

/** Longest retry delay sent to a client that is rejected by a rate limit. */
#define MAX_LIMIT_RETRY_MS ((clk_ms)10000)
/** Time constant of the moving averages. */
#define RATE_WINDOW_MS 2000.0

enum lim_change
dsp_response_limit (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
                    enum lim_report_kind kind, double rate)
{
  const struct dsp_endpoint_state *s = dsp_attempt_endpoint (d, id, attempt);
  const struct dsp_req *q = dsp_find_request (d, id);
  struct lim_report report = { .kind = kind, .rate = rate };

  d->now = now;
  if (!s || !d->opt.limits)
    return LIM_UNCHANGED;
  report.server = s->process_hash;
  report.sent_at = s == q->endpoint ? q->sent_at : q->primary.sent_at;
  return lim_on_report (d->opt.limits, now, &report);
}

uint64_t
dsp_sent_while_limited (const struct dsp *d, uint64_t id, unsigned attempt)
{
  const struct dsp_endpoint_state *s = dsp_attempt_endpoint (d, id, attempt);

  return s && d->opt.limits ? lim_count_sent (d->opt.limits, s->process_hash)
                            : 0;
}

bool
dsp_limit_allows_request (const struct dsp *d,
                          const struct dsp_endpoint_state *s)
{
  return !d->opt.limits || lim_allows (d->opt.limits, d->now, s->process_hash);
}

void
dsp_limit_ask_permit (const struct dsp *d, const struct dsp_endpoint_state *s,
                      const struct dsp_req *q)
{
  /* Count each request once, however often it is considered. */
  if (q->queued_at == d->now)
    lim_record_demand (d->opt.limits, d->now, s->process_hash);
}

clk_ms
dsp_limit_use_permit (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  return d->opt.limits
             ? lim_use_permit (d->opt.limits, d->now, s->process_hash)
             : 0;
}

bool
dsp_limit_may_write (const struct dsp *d, const struct dsp_req *q)
{
  return !d->opt.limits || q->endpoint->is_proxy
         || lim_may_write (d->opt.limits, d->now, q->endpoint->process_hash,
                           q->permit_expires_at);
}

bool
dsp_is_cold (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  return d->opt.limits && lim_is_cold (d->opt.limits, s->process_hash);
}

bool
dsp_has_rate_limit (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  double rate;

  return d->opt.limits && lim_get_rate (d->opt.limits, s->process_hash, &rate);
}

void
dsp_permits_granted (struct dsp *d, clk_ms now)
{
  d->now = now;
  dsp_send_all_queued (d);
}

double
dsp_limit_slots (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  double rate, slots = s->capacity;

  if (d->opt.limits && lim_get_rate (d->opt.limits, s->process_hash, &rate)
      && s->pool->mean_response_ms > 0)
    slots
        = fmin (slots, rate * s->pool->mean_response_ms / (double)CLK_SECOND);
  return slots;
}

/* --- rates --------------------------------------------------------------- */

static double
per_second (const struct dsp_rate *x, clk_ms now)
{
  return x->weighted_count
         * exp (-(double)(now - x->updated_at) / RATE_WINDOW_MS)
         / (RATE_WINDOW_MS / (double)CLK_SECOND);
}

static void
count_event (struct dsp_rate *x, clk_ms now)
{
  x->weighted_count
      = x->weighted_count
            * exp (-(double)(now - x->updated_at) / RATE_WINDOW_MS)
        + 1;
  x->updated_at = now;
}

void
dsp_limit_count_request (const struct dsp *d, const struct dsp_req *q)
{
  if (d->opt.limits && lim_any_limited (d->opt.limits))
    count_event (&q->pool->request_rates[q->priority < DSP_PRIORITIES
                                             ? q->priority
                                             : DSP_PRIORITIES - 1],
                 d->now);
}

/* --- pools with only rate-limited endpoints ------------------------------ */

/** Sum of the rate limits of the pool's usable endpoints, in requests per
    second; 0 if at least one of them is not limited.
    @param exhausted receives whether none of them has a permit left */
static double
sum_of_limits (const struct dsp *d, const struct dsp_pool *p, bool *exhausted)
{
  double sum = 0, rate;

  *exhausted = true;
  if (!d->opt.limits || !lim_any_limited (d->opt.limits))
    return 0;
  for (size_t i = 0; i < p->n; i++)
    {
      const struct dsp_endpoint_state *s = p->endpoints[i];
      if (!dsp_health_allows_requests (d, s))
        continue;
      if (!lim_get_rate (d->opt.limits, s->process_hash, &rate))
        return 0;
      sum += fmax (rate, LIM_MIN_RATE);
      *exhausted
          = *exhausted
            && lim_is_exhausted (d->opt.limits, d->now, s->process_hash);
    }
  return sum;
}

bool
dsp_limit_on_all_endpoints (const struct dsp *d, const struct dsp_pool *p)
{
  bool exhausted;

  return sum_of_limits (d, p, &exhausted) > 0;
}

/** This node's share of the summed rate limits. */
static double
own_share (const struct dsp *d, double sum)
{
  return sum / (d->node_count ? d->node_count : 1);
}

bool
dsp_limit_needed_by_higher_priority (const struct dsp *d,
                                     const struct dsp_pool *p,
                                     const struct dsp_req *q)
{
  double higher_priority_rate = 0, sum;
  bool exhausted;

  sum = sum_of_limits (d, p, &exhausted);
  if (sum <= 0 || q->partly_forwarded)
    return false;
  for (unsigned i = 0; i < q->priority && i < DSP_PRIORITIES; i++)
    higher_priority_rate += per_second (&p->request_rates[i], d->now);
  return higher_priority_rate >= own_share (d, sum);
}

/** Time that this node needs to send @p n requests at its share of the rate
    limits. */
static clk_ms
time_to_send (const struct dsp *d, double sum, double n)
{
  return (clk_ms)fmin (n * (double)CLK_SECOND / own_share (d, sum),
                       (double)MAX_LIMIT_RETRY_MS);
}

clk_ms
dsp_limit_wait_ms (const struct dsp *d, const struct dsp_pool *p)
{
  bool exhausted;
  double sum = sum_of_limits (d, p, &exhausted);

  return sum > 0 && exhausted
             ? time_to_send (d, sum, (double)dsp_load_count_waiting (p))
             : 0;
}

void
dsp_limit_count_rejection (const struct dsp *d, struct dsp_pool *p)
{
  count_event (&p->rejection_rate, d->now);
}

/**
 * If all rejected clients got the same retry delay, they would return at the
 * same moment and be rejected again. Each client therefore gets a later time
 * than the one before.
 */
clk_ms
dsp_limit_reject (const struct dsp *d, struct dsp_pool *p)
{
  bool exhausted;
  double sum = sum_of_limits (d, p, &exhausted);
  clk_ms start = p->assigned_until > d->now ? p->assigned_until : d->now;

  dsp_limit_count_rejection (d, p);
  p->assigned_until
      = start + (sum > 0 ? time_to_send (d, sum, 1) : MAX_LIMIT_RETRY_MS);
  if (p->assigned_until > d->now + MAX_LIMIT_RETRY_MS)
    p->assigned_until = d->now + MAX_LIMIT_RETRY_MS;
  return p->assigned_until - d->now;
}

double
dsp_limit_demand (const struct dsp *d, const struct dsp_pool *p)
{
  return per_second (&p->rejection_rate, d->now) * d->node_count
         * p->mean_response_ms / (double)CLK_SECOND;
}
