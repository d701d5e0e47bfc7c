#include "serve/load-sum.h"

#include <stdlib.h>

#include "base/str.h"

clk_ms
lds_last_event_at (const struct dsp_endpoint_load *load, clk_ms age_ms)
{
  return age_ms > LDS_REPORT_INTERVAL_MS
             ? load->last_event_at + age_ms - LDS_REPORT_INTERVAL_MS
             : load->last_event_at;
}

/** Finds the entry of an endpoint or adds an empty one. */
static struct dsp_endpoint_load *
get_entry (struct lds *sum, uint64_t endpoint, clk_ms last_event_at)
{
  for (size_t i = 0; i < sum->n; i++)
    if (sum->list[i].endpoint == endpoint)
      return &sum->list[i];
  sum->list[sum->n]
      = (struct dsp_endpoint_load){ .endpoint = endpoint,
                                    .last_event_at = last_event_at };
  return &sum->list[sum->n++];
}

void
lds_add (struct lds *sum, const struct dsp_endpoint_load *loads, size_t n,
         clk_ms age_ms)
{
  bool use_streams = age_ms <= LDS_STREAMS_MAX_AGE_MS;

  sum->list = xrealloc (sum->list, (sum->n + n + 1) * sizeof *sum->list);
  for (size_t i = 0; i < n; i++)
    {
      clk_ms last_event_at = lds_last_event_at (&loads[i], age_ms);
      struct dsp_endpoint_load *s
          = get_entry (sum, loads[i].endpoint, last_event_at);

      s->in_flight += loads[i].in_flight;
      s->streaming += use_streams ? loads[i].streaming : 0;
      s->pending_prefill += loads[i].pending_prefill;
      s->stalled |= loads[i].stalled;
      s->process_ended |= loads[i].process_ended;
      if (use_streams && loads[i].streaming
          && last_event_at > s->last_event_at)
        s->last_event_at = last_event_at;
    }
}

static uint32_t
subtract (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

void
lds_subtract (struct dsp_endpoint_load *sum, size_t n,
              const struct dsp_endpoint_load *own, size_t nown)
{
  for (size_t i = 0; i < n; i++)
    for (size_t k = 0; k < nown; k++)
      {
        struct dsp_endpoint_load *s = &sum[i];
        if (own[k].endpoint != s->endpoint)
          continue;
        s->in_flight = subtract (s->in_flight, own[k].in_flight);
        s->streaming = subtract (s->streaming, own[k].streaming);
        s->pending_prefill
            = subtract (s->pending_prefill, own[k].pending_prefill);
      }
}

void
lds_free (struct lds *sum)
{
  free (sum->list);
  *sum = (struct lds){ 0 };
}
