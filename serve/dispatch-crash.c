#include "serve/dispatch-int.h"

#include <string.h>

/*
 * A connection that breaks says nothing of the backend server: it may have
 * crashed, or a link was reset.  It is asked once for all runs that broke off
 * there together.
 */

/** Runs that break off at a place within this are of one cause. */
#define BREAK_MS ((clk_ms)2000)

static struct dsp_break *
find_break (struct dsp *d, uint64_t place)
{
  for (size_t i = 0; i < DSP_BREAKS; i++)
    {
      struct dsp_break *b = &d->breaks[i];
      if (b->place == place && d->now - b->at < BREAK_MS)
        return b;
    }
  return NULL;
}

static struct dsp_break *
new_break (struct dsp *d, uint64_t place)
{
  struct dsp_break *oldest = &d->breaks[0];

  for (size_t i = 1; i < DSP_BREAKS; i++)
    if (d->breaks[i].at < oldest->at)
      oldest = &d->breaks[i];
  memset (oldest, 0, sizeof *oldest);
  oldest->place = place;
  oldest->at = d->now;
  return oldest;
}

void
dsp_run_broken (struct dsp *d, const struct dsp_req *q)
{
  const struct dsp_server *s = q->server;
  struct dsp_break *b;
  struct dsp_action *a;

  /* A server that is leaving ends by itself. */
  if (!s->listed || !s->accepting)
    return;
  b = find_break (d, s->hash);
  if (b)
    {
      b->nruns++;
      return;
    }
  b = new_break (d, s->hash);
  b->nruns = 1;
  a = dsp_act (d, DSP_ACT_CHECK, NULL);
  a->server = str_from (s->id);
  a->addr = s->addr;
  a->place = s->hash;
}

size_t
dsp_checked (struct dsp *d, clk_ms now, uint64_t place, enum dsp_life life)
{
  struct dsp_break *b;

  d->now = now;
  b = find_break (d, place);
  if (!b || b->checked)
    return 0;
  b->checked = true;
  b->life = life;
  d->figures.servers_ended += life == DSP_LIFE_ENDED;
  return b->nruns;
}
