#include <stdio.h>
#include <string.h>

#include "platform/names.h"
#include "standins/rack.h"

/** Time that nodes have to apply a newly announced limit; requests that arrive
    within it are not counted. */
#define LIMIT_GRACE_MS ((clk_ms)500)

void
rack_limit_set (struct rate_limit *l, const char *text)
{
  memset (l, 0, sizeof *l);
  snprintf (l->header_value, sizeof l->header_value, "%s", text);
}

static void
expire_arrivals (struct rate_limit *l, clk_ms now)
{
  while (l->narrivals > 0
         && now - l->arrivals[l->first_arrival] >= LIMIT_WINDOW_MS)
    {
      l->first_arrival = (l->first_arrival + 1) % LIMIT_ARRIVALS;
      l->narrivals--;
    }
}

void
rack_limit_count_arrival (struct rate_limit *l)
{
  clk_ms now = clk_now ();

  if (!l->announced_at || now - l->announced_at < LIMIT_GRACE_MS)
    return;
  expire_arrivals (l, now);
  l->total_arrivals++;
  if (l->narrivals < LIMIT_ARRIVALS)
    l->arrivals[(l->first_arrival + l->narrivals++) % LIMIT_ARRIVALS] = now;
  if (l->narrivals > l->max_arrivals)
    l->max_arrivals = l->narrivals;
}

bool
rack_limit_header (struct rate_limit *l, struct http_header *out)
{
  if (!l->header_value[0])
    return false;
  if (!l->announced_at)
    l->announced_at = clk_now ();
  *out = (struct http_header){ STR (PLT_H_RATE), str_from (l->header_value) };
  return true;
}
