#include <stdio.h>

#include "platform/names.h"
#include "standins/rack.h"

/** Window in which the arrivals at a cold server are counted. */
#define COLD_WINDOW_MS CLK_SECOND

void
rack_cold_begin (struct server *s, clk_ms ms)
{
  s->cold.until = ms > 0 ? clk_now () + ms : 0;
  s->cold.first_arrival = s->cold.narrivals = 0;
}

clk_ms
rack_cold_left (const struct server *s)
{
  clk_ms now = clk_now ();

  return s->cold.until > now ? s->cold.until - now : 0;
}

void
rack_cold_tick (struct rack *r)
{
  for (size_t i = 0; i < r->nservers; i++)
    {
      struct server *s = &r->servers[i];
      if (!s->cold.until || rack_cold_left (s) > 0)
        continue;
      s->cold.until = 0;
      if (!s->dead)
        rack_server_publish (s);
    }
}

bool
rack_cold_count_arrival (struct server *s)
{
  struct cold_state *c = &s->cold;
  clk_ms now = clk_now ();

  if (rack_cold_left (s) == 0)
    return false;
  while (c->narrivals > 0
         && now - c->arrivals[c->first_arrival] >= COLD_WINDOW_MS)
    {
      c->first_arrival = (c->first_arrival + 1) % COLD_ARRIVALS;
      c->narrivals--;
    }
  c->total_arrivals++;
  if (c->narrivals < COLD_ARRIVALS)
    c->arrivals[(c->first_arrival + c->narrivals++) % COLD_ARRIVALS] = now;
  if (c->narrivals > c->max_arrivals)
    c->max_arrivals = c->narrivals;
  return s->rack->cold_crash > 0
         && c->narrivals > (unsigned)s->rack->cold_crash;
}

size_t
rack_cold_header (const struct server *s, struct http_header *out, char *text,
                  size_t size)
{
  clk_ms left = rack_cold_left (s);

  if (left == 0)
    return 0;
  snprintf (text, size, "%lld", (long long)left);
  *out = (struct http_header){ STR (PLT_H_COLD), str_from (text) };
  return 1;
}
