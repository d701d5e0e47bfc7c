#include "serve/dispatch-int.h"

#include <math.h>

/*
 * Pauses and shutdowns announced by backend servers, and evacuated zones. An
 * endpoint gets no requests from this node until its server's pause is over,
 * none after its server has announced that it is shutting down, and none while
 * its zone is evacuated.
 */

/** Clients that are rejected because of pauses are told to retry within this
    time after the end of the first pause. */
#define RETRY_SPREAD_MS ((clk_ms)2000)
/** Retry delay when all servers are shutting down: about the time until a
    replacement is listed. */
#define LEAVING_RETRY_MS ((clk_ms)2000)
/** Retry delay when evacuations leave no endpoint.  Their end is not known in
    advance: clients that return every few seconds notice it soon. */
#define EVACUATED_RETRY_MS ((clk_ms)2000)
/** Least difference of the retry times of two clients rejected because of
    evacuations. */
#define EVACUATED_STEP_MS ((clk_ms)5)

bool
dsp_avail_allows (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  return !d->opt.avail || avl_allows (d->opt.avail, d->now, s->process_hash);
}

bool
dsp_avail_is_leaving (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  return d->opt.avail && avl_is_leaving (d->opt.avail, s->process_hash);
}

bool
dsp_is_evacuated (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  return s->evacuated
         || (d->opt.evacuations && s->zone
             && evc_is_evacuated (d->opt.evacuations, str_from (s->zone)));
}

bool
dsp_evacuations_leave_none (const struct dsp *d, const struct dsp_pool *p)
{
  bool any = false;

  for (size_t i = 0; i < p->n; i++)
    {
      const struct dsp_endpoint_state *s = p->endpoints[i];
      if (!s->listed)
        continue;
      if (dsp_is_evacuated (d, s))
        any = true;
      else if (s->accepting && !dsp_process_ended (d, s))
        return false;
    }
  return any;
}

/** Time from which the endpoint may get requests; CLK_NEVER: its server is
    shutting down. */
static clk_ms
allowed_from (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  if (!d->opt.avail)
    return 0;
  if (avl_is_leaving (d->opt.avail, s->process_hash))
    return CLK_NEVER;
  return avl_paused_until (d->opt.avail, d->now, s->process_hash);
}

bool
dsp_avail_none_before (const struct dsp *d, const struct dsp_req *q,
                       clk_ms until)
{
  const struct dsp_pool *p = q->pool;
  bool any_announced = false;

  for (size_t i = 0; i < p->n; i++)
    {
      const struct dsp_endpoint_state *s = p->endpoints[i];
      bool evacuated = s->listed && dsp_is_evacuated (d, s);
      any_announced |= evacuated;
      if (!s->listed || !s->accepting || evacuated || dsp_process_ended (d, s))
        continue;
      if (allowed_from (d, s) > until)
        any_announced = true;
      else if (!dsp_has_failed_at (q, s))
        return false;
    }
  return any_announced;
}

/** Time from which some endpoint of the pool may get requests; 0: one may now;
    CLK_NEVER: there is none, or all are leaving. */
static clk_ms
pool_allowed_from (const struct dsp *d, const struct dsp_pool *p)
{
  clk_ms earliest = CLK_NEVER;

  for (size_t i = 0; i < p->n; i++)
    {
      const struct dsp_endpoint_state *s = p->endpoints[i];
      if (s->listed && s->accepting && !dsp_process_ended (d, s)
          && allowed_from (d, s) < earliest)
        earliest = allowed_from (d, s);
    }
  return earliest;
}

enum dsp_code
dsp_avail_code (const struct dsp *d, const struct dsp_pool *p)
{
  clk_ms from = pool_allowed_from (d, p);

  if (from == CLK_NEVER)
    return DSP_NO_SERVER;
  return from > 0 ? DSP_PAUSED : DSP_OVERLOAD;
}

/** Time in which this node's share of the pool's slots completes one
    request. */
static clk_ms
time_per_request (const struct dsp *d, const struct dsp_pool *p)
{
  double slots = 1;

  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i]->listed && !dsp_avail_is_leaving (d, p->endpoints[i]))
      slots += p->endpoints[i]->capacity;
  return (clk_ms)ceil (p->mean_response_ms * d->node_count / slots);
}

static bool
any_accepting (const struct dsp_pool *p)
{
  for (size_t i = 0; i < p->n; i++)
    if (p->endpoints[i]->listed && p->endpoints[i]->accepting)
      return true;
  return false;
}

/*
 * If all rejected clients retried when the first pause ends, they would arrive
 * at the same moment, and the server would reject them again. Each client
 * therefore gets a later time than the one before.
 */
clk_ms
dsp_avail_retry_ms (struct dsp *d, struct dsp_pool *p)
{
  clk_ms from = pool_allowed_from (d, p), step = time_per_request (d, p), at;
  bool evacuated = dsp_evacuations_leave_none (d, p);

  if (evacuated)
    {
      from = d->now + EVACUATED_RETRY_MS;
      step = step > EVACUATED_STEP_MS ? step : EVACUATED_STEP_MS;
    }
  else if (from == CLK_NEVER)
    return any_accepting (p) ? LEAVING_RETRY_MS : 0;
  if (from == 0)
    return 0;
  at = p->pause_retry_at > from ? p->pause_retry_at : from;
  if (at > from + RETRY_SPREAD_MS)
    at = evacuated ? from : from + RETRY_SPREAD_MS;
  p->pause_retry_at = at + step;
  return at - d->now;
}
