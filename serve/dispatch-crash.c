#include "serve/dispatch-int.h"

#include <string.h>

/*
 * A connection that breaks says nothing of the backend server: it may have
 * crashed, or a link was reset.  It is asked once for all runs that broke off
 * there together.
 */

/** Runs that break off at a place within this are of one cause. */
#define BREAK_MS ((clk_ms)2000)
/** A server whose process is gone gets nothing for so long: its entry has
    lapsed by then, or it was there after all. */
#define ENDED_MS ((clk_ms)5000)
/** The same when another node reports it, as it does again meanwhile. */
#define REPORTED_MS ((clk_ms)1500)

/** The break that a run which breaks off now belongs to.  Of a server that
    lived, or could not be asked, the next one begins anew. */
static struct dsp_break *
find_break (struct dsp *d, uint64_t place)
{
  for (size_t i = 0; i < DSP_BREAKS; i++)
    {
      struct dsp_break *b = &d->breaks[i];
      if (b->place == place && d->now - b->at < BREAK_MS
          && (!b->checked || b->found == DSP_ENDED))
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

static struct dsp_break *
ask_server (struct dsp *d, const struct dsp_server *s)
{
  struct dsp_action *a = dsp_act (d, DSP_ACT_CHECK, NULL);

  a->server = str_from (s->id);
  a->addr = s->addr;
  a->place = s->hash;
  return new_break (d, s->hash);
}

void
dsp_run_broken (struct dsp *d, const struct dsp_req *q)
{
  const struct dsp_server *s = q->server;
  struct psn_update run
      = { .kind = PSN_CRASH,
          .digest = q->digest,
          .place = s->hash,
          .ran_ms = q->begun ? d->now - q->begun_at : PSN_NO_EVENT };
  struct dsp_break *b = find_break (d, s->hash);

  /* A server that is leaving ends by itself. */
  if (!s->listed || !s->accepting)
    return;
  if (!b)
    b = ask_server (d, s);
  if (b->checked && d->opt.poison)
    psn_apply (d->opt.poison, d->now, &run);
  else if (b->nruns < DSP_BREAK_RUNS)
    b->runs[b->nruns++] = run;
}

size_t
dsp_checked (struct dsp *d, clk_ms now, uint64_t place,
             enum dsp_liveness found)
{
  struct dsp_server *s;
  struct dsp_break *b;

  d->now = now;
  b = find_break (d, place);
  if (!b || b->checked)
    return 0;
  b->checked = true;
  b->found = found;
  if (found != DSP_ENDED)
    return b->nruns;
  d->figures.servers_ended++;
  s = dsp_find_place (d, place);
  if (s)
    s->ended_until = now + ENDED_MS;
  for (size_t i = 0; d->opt.poison && i < b->nruns; i++)
    psn_apply (d->opt.poison, now, &b->runs[i]);
  return b->nruns;
}

bool
dsp_suspects (const struct dsp *d, const struct dsp_req *q)
{
  return d->opt.poison && psn_suspects (d->opt.poison, q->digest);
}

bool
dsp_has_ended (const struct dsp *d, const struct dsp_server *s)
{
  return d->now < s->ended_until || d->now < s->reported_ended_until;
}

void
dsp_reported_ended (struct dsp *d, struct dsp_server *s)
{
  if (s)
    s->reported_ended_until = d->now + REPORTED_MS;
}

/** Whether its run may still be kept from beginning. */
static bool
may_stop (const struct dsp_req *q)
{
  return q->queued || (q->route->kind == TBL_STREAM && !q->begun);
}

void
dsp_blocked (struct dsp *d, clk_ms now, uint64_t digest)
{
  struct dsp_req *next;

  d->now = now;
  for (struct dsp_req *q = d->open_list; q; q = next)
    {
      next = q->next;
      if (q->digest == digest && may_stop (q))
        dsp_give_up (d, q, DSP_POISON, DSP_BROKEN, 0);
    }
}
