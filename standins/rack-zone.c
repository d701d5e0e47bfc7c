#include <stdio.h>
#include <string.h>

#include "platform/names.h"
#include "standins/rack.h"

static struct evacuated_zone *
find_zone (struct rack *r, const char *name)
{
  for (size_t i = 0; i < RACK_EVACUATED; i++)
    if (r->evacuated[i].since && strcmp (r->evacuated[i].name, name) == 0)
      return &r->evacuated[i];
  return NULL;
}

static void
reset_counts (struct rack *r, const char *zone)
{
  for (size_t i = 0; i < r->nservers; i++)
    if (strcmp (r->servers[i].zone, zone) == 0)
      r->servers[i].evacuated_last_ms = 0;
}

void
rack_zone_evacuate (struct rack *r, const char *zone)
{
  char key[64];

  snprintf (key, sizeof key, PLT_PREFIX_EVACUATE "%s", zone);
  rack_store_put (r, key, "{}");
  for (size_t i = 0; i < RACK_EVACUATED && !find_zone (r, zone); i++)
    if (!r->evacuated[i].since)
      {
        r->evacuated[i].since = clk_now ();
        snprintf (r->evacuated[i].name, sizeof r->evacuated[i].name, "%s",
                  zone);
        reset_counts (r, zone);
      }
}

void
rack_zone_return (struct rack *r, const char *zone)
{
  struct evacuated_zone *z = find_zone (r, zone);
  char key[64];

  snprintf (key, sizeof key, PLT_PREFIX_EVACUATE "%s", zone);
  rack_store_remove (r, key);
  if (z)
    z->since = 0;
}

void
rack_zone_count_arrival (struct server *s)
{
  const struct evacuated_zone *z = find_zone (s->rack, s->zone);

  if (z)
    s->evacuated_last_ms = (int)(clk_now () - z->since) + 1;
}
