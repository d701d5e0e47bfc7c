#include <math.h>
#include <stdlib.h>

#include "route/core.h"

#define REFRESH_MS 200 /* refresh interval of the load estimates */
/* Assumed service time before the first measurement. */
#define DEFAULT_SERVICE_MS 3000.0
#define DEFAULT_COST 1000.0 /* assumed cost before the first request */
/* Time constant of the reports' decay, in service times. */
#define DECAY_FACTOR 0.3
#define MIN_REPORT_AGE_MS 250 /* minimum age of a report in the weights */
#define MIN_WEIGHT 0.02 /* weight of a server loaded far above the mean */
/* Weight of a server in another zone without a load report. */
#define OTHER_ZONE_WEIGHT 0.1
/* Requests below which the local trend counts less than half. */
#define TREND_REQUESTS 60
/* Load, as a multiple of its capacity, at which a server gets no requests. */
#define FULL_FACTOR 1.1

/** Fill the samples since the last update with the current load. */
static void
history_advance (struct rt_server *s, clk_ms now)
{
  struct rt_history *h = &s->history;
  clk_ms index = now / RT_HISTORY_MS;
  clk_ms behind = index - h->newest_index;
  if (behind > RT_HISTORY)
    behind = RT_HISTORY;
  for (clk_ms i = 0; i < behind; i++)
    h->tokens[(index - i) % RT_HISTORY] = (float)s->own_tokens;
  if (index > h->newest_index)
    h->newest_index = index;
}

/** This gateway's load at time @p at, to the precision of the samples. */
static double
history_at (const struct rt_server *s, clk_ms at)
{
  const struct rt_history *h = &s->history;
  clk_ms index = at / RT_HISTORY_MS;
  if (index >= h->newest_index)
    return s->own_tokens;
  if (index <= h->newest_index - RT_HISTORY)
    index = h->newest_index - RT_HISTORY + 1;
  return index < 0 ? 0 : h->tokens[index % RT_HISTORY];
}

void
rt_server_add_request (struct rt *r, struct rt_target *t, struct rt_server *s,
                       double cost)
{
  history_advance (s, r->now);
  s->in_flight++;
  t->in_flight++;
  t->own_tokens += cost;
  s->own_tokens += cost;
  s->history.tokens[s->history.newest_index % RT_HISTORY]
      = (float)s->own_tokens;
  rt_update_candidate (s);
}

void
rt_server_remove_request (struct rt *r, struct rt_target *t,
                          struct rt_server *s, double cost)
{
  history_advance (s, r->now);
  s->in_flight--;
  t->in_flight--;
  t->own_tokens = t->in_flight ? t->own_tokens - cost : 0;
  s->own_tokens = s->in_flight ? s->own_tokens - cost : 0;
  s->history.tokens[s->history.newest_index % RT_HISTORY]
      = (float)s->own_tokens;
  rt_update_candidate (s);
}

/** The reported load minus this gateway's load at that time belongs to other
 * gateways. */
void
rt_server_set_reported_load (struct rt *r, struct rt_target *t,
                             struct rt_server *s, uint32_t load, clk_ms at)
{
  if (at <= s->load_at && s->load_at != 0)
    return;
  history_advance (s, r->now);
  double mean = t->mean_cost > 0 ? t->mean_cost : DEFAULT_COST;
  double others = (double)load - history_at (s, at);
  s->other_requests = others > 0 ? others / mean : 0;
  s->load_at = at;
  t->view.valid = false;
}

double
rt_service_ms (const struct rt_target *t)
{
  double ms = t->ms_per_token * t->mean_cost;
  return ms > 0 ? ms : DEFAULT_SERVICE_MS;
}

/** Mean number of other gateways' requests over the reports. */
static double
mean_others (const struct rt *r, const struct rt_target *t)
{
  double sum = 0;
  size_t n = 0;
  for (size_t i = 0; i < t->nservers; i++)
    if (t->servers[i]->load_at != 0 && rt_is_usable (r, t->servers[i]))
      {
        sum += t->servers[i]->other_requests;
        n++;
      }
  return n ? sum / (double)n : 0;
}

/** Weight of a report by its age, cached because most reports of a list have
    the same load_at. */
struct report_decay
{
  double time_constant;
  clk_ms load_at;
  double weight;
};

static double
report_weight (struct report_decay *decay, clk_ms now, clk_ms load_at)
{
  if (load_at == 0)
    return 0;
  if (load_at != decay->load_at)
    {
      decay->load_at = load_at;
      decay->weight = exp (-(double)(now - load_at) / decay->time_constant);
    }
  return decay->weight;
}

/** Limit of this gateway's requests on the server; @p others: requests of
    other gateways. */
static float
own_limit (const struct rt_target *t, const struct rt_server *s, double others)
{
  if (!t->is_model)
    return (float)s->capacity;
  return (float)(FULL_FACTOR * s->capacity - others);
}

/**
 * Factor by which servers below the mean load are preferred. Choosing the
 * least loaded server would send the requests of all gateways there until the
 * next report; with a probability proportional to its distance from the mean,
 * all gateways together send about that difference. Older reports count less.
 */
static double
preference (const struct rt_target *t, double age)
{
  double service = rt_service_ms (t);
  return service / (age + MIN_REPORT_AGE_MS) * exp (-age / service);
}

static double
server_weight (const struct rt *r, const struct rt_target *t,
               const struct rt_server *s)
{
  if (s->load_at == 0 || t->mean_other_requests <= 0)
    return s->same_zone ? 1 : OTHER_ZONE_WEIGHT;
  double preferred = preference (t, (double)(r->now - s->load_at));
  double w = 1 + preferred * (1 - s->other_requests / t->mean_other_requests);
  return w > MIN_WEIGHT ? w : MIN_WEIGHT;
}

/** Slots of the server that other gateways hold, by its report. */
static double
slots_of_others (const struct rt_server *s)
{
  double left = s->capacity - s->in_flight;
  return s->other_requests < left ? s->other_requests : left > 0 ? left : 0;
}

static void
add_candidate (struct rt *r, struct rt_target *t, struct rt_server *s,
               double others)
{
  struct rt_view *v = &t->view;
  struct rt_candidate *c = &v->list[v->n++];
  *c = (struct rt_candidate){ .server = s,
                              .hash = s->hash,
                              .max_in_flight = own_limit (t, s, others),
                              .weight = (float)server_weight (r, t, s) };
  s->candidate = c;
  rt_update_candidate (s);
  v->capacity += s->capacity;
  if (s->valid_until < v->valid_until)
    v->valid_until = s->valid_until;
  if (s->load_at == 0)
    return;
  v->other_requests += t->mean_other_requests;
  v->others_holding_slots += slots_of_others (s);
  v->tokens_at_reports += history_at (s, s->load_at);
  v->total_age += (double)(r->now - s->load_at);
}

/**
 * A report of one server becomes outdated as the counted requests end and as
 * other gateways react to it, while the mean over all servers stays accurate
 * much longer. So each estimate moves from the report to the mean with the age
 * of the report.
 */
static void
refresh (struct rt *r, struct rt_target *t)
{
  struct report_decay report_decay
      = { .time_constant = DECAY_FACTOR * rt_service_ms (t) };
  struct rt_candidate *list
      = xrealloc (t->view.list, (t->nservers + 1) * sizeof *t->view.list);
  t->view = (struct rt_view){ .list = list,
                              .at = r->now,
                              .valid_until = CLK_NEVER };
  t->mean_other_requests = mean_others (r, t);
  for (size_t i = 0; i < t->nservers; i++)
    {
      struct rt_server *s = t->servers[i];
      double w = report_weight (&report_decay, r->now, s->load_at);
      s->candidate = NULL;
      if (rt_is_usable (r, s) && !s->ejected_until)
        add_candidate (
            r, t, s, w * s->other_requests + (1 - w) * t->mean_other_requests);
      else
        t->view.outside_requests += s->in_flight;
      t->view.ejected += s->ejected_until != 0;
    }
  t->view.valid = true;
}

const struct rt_view *
rt_view (struct rt *r, struct rt_target *t)
{
  const struct rt_view *v = &t->view;
  if (!v->valid || r->now >= v->valid_until || r->now - v->at >= REFRESH_MS)
    refresh (r, t);
  return v;
}

void
rt_update_candidate (struct rt_server *s)
{
  if (!s->candidate)
    return;
  s->candidate->in_flight = s->in_flight;
  s->candidate->score = s->in_flight + s->pending;
}

double
rt_own_requests (const struct rt_target *t)
{
  return t->in_flight > t->view.outside_requests
             ? t->in_flight - t->view.outside_requests
             : 0;
}

/**
 * Estimated current requests of the other gateways. All gateways carry parts
 * of the same load, so the load of the others is assumed to have changed since
 * the reports by the same factor as the local load. The factor counts more
 * with older reports and less with few local requests.
 */
double
rt_estimate_others (const struct rt_target *t, double *taken)
{
  const struct rt_view *v = &t->view;
  double own = rt_own_requests (t), factor = 1;
  if (v->tokens_at_reports > 0 && v->n > 0)
    {
      double age = v->total_age / (double)v->n;
      double w = 1 - exp (-age / rt_service_ms (t));
      w *= own / (own + TREND_REQUESTS);
      factor = pow ((t->own_tokens + 1) / (v->tokens_at_reports + 1), w);
    }
  *taken = factor * v->others_holding_slots;
  return factor * v->other_requests;
}
