#include <stdio.h>
#include <string.h>

#include "platform/names.h"
#include "standins/rack.h"

/** Time for the nodes to apply a newly announced limit; requests that arrive
    earlier are not counted. */
#define HEED_MS ((clk_ms)500)

void
rack_limit_set (struct limit *l, const char *text)
{
  memset (l, 0, sizeof *l);
  snprintf (l->text, sizeof l->text, "%s", text);
}

static void
drop_old (struct limit *l, clk_ms now)
{
  while (l->n > 0 && now - l->arrivals[l->first] >= LIMIT_WINDOW_MS)
    {
      l->first = (l->first + 1) % LIMIT_ARRIVALS;
      l->n--;
    }
}

void
rack_limit_count (struct limit *l)
{
  clk_ms now = clk_now ();

  if (!l->named_at || now - l->named_at < HEED_MS)
    return;
  drop_old (l, now);
  l->arrived++;
  if (l->n < LIMIT_ARRIVALS)
    l->arrivals[(l->first + l->n++) % LIMIT_ARRIVALS] = now;
  if (l->n > l->most)
    l->most = l->n;
}

bool
rack_limit_header (struct limit *l, struct http_header *out)
{
  if (!l->text[0])
    return false;
  if (!l->named_at)
    l->named_at = clk_now ();
  *out = (struct http_header){ STR (PLT_H_RATE), str_from (l->text) };
  return true;
}
