#include "serve/dispatch-int.h"

#include <string.h>

/*
 * An interrupted connection doesn't show whether the backend server crashed or
 * the connection was reset. The server is checked once for all runs that were
 * interrupted there at about the same time.
 */

/** Runs interrupted at an endpoint within this time are attributed to the same
    cause. */
#define SAME_CAUSE_MS ((clk_ms)2000)
/** Time for which no requests are sent to a server whose process has ended.
    After it, the server's entry in the server list has expired, unless the
    check was wrong. */
#define PROCESS_ENDED_MS ((clk_ms)5000)
/** The same after a report from another node, which repeats the report for
    PROCESS_ENDED_MS. */
#define REPORTED_ENDED_MS ((clk_ms)1500)

/** Finds the record for a run that is interrupted now. A record whose check
    found the server alive or unreachable is not reused. */
static struct dsp_interruption *
find_interruption (struct dsp *d, uint64_t endpoint)
{
  for (size_t i = 0; i < DSP_INTERRUPTIONS_MAX; i++)
    {
      struct dsp_interruption *b = &d->interruptions[i];
      if (b->endpoint == endpoint && d->now - b->first_at < SAME_CAUSE_MS
          && (!b->checked || b->liveness == DSP_ENDED))
        return b;
    }
  return NULL;
}

static struct dsp_interruption *
add_interruption (struct dsp *d, uint64_t endpoint)
{
  struct dsp_interruption *oldest = &d->interruptions[0];

  for (size_t i = 1; i < DSP_INTERRUPTIONS_MAX; i++)
    if (d->interruptions[i].first_at < oldest->first_at)
      oldest = &d->interruptions[i];
  memset (oldest, 0, sizeof *oldest);
  oldest->endpoint = endpoint;
  oldest->first_at = d->now;
  return oldest;
}

static struct dsp_interruption *
start_check (struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct dsp_action *a = dsp_add_action (d, DSP_ACT_CHECK_PROCESS, NULL);

  a->server = str_from (s->server);
  a->addr = s->addr;
  a->endpoint = s->hash;
  a->process = s->process_hash;
  return add_interruption (d, s->hash);
}

void
dsp_run_interrupted (struct dsp *d, const struct dsp_req *q)
{
  const struct dsp_endpoint_state *s = q->endpoint;
  struct psn_update run
      = { .kind = PSN_CRASH,
          .digest = q->digest,
          .endpoint = s->hash,
          .ran_ms = q->streaming ? d->now - q->first_event_at : PSN_NO_EVENT };
  struct dsp_interruption *b = find_interruption (d, s->hash);

  /* A server that is shutting down ends its process without a crash. */
  if (s->is_proxy || !s->listed || !s->accepting
      || dsp_avail_is_leaving (d, s))
    return;
  if (!b)
    b = start_check (d, s);
  if (b->checked && d->opt.poison)
    psn_apply (d->opt.poison, d->now, &run);
  else if (b->nruns < DSP_INTERRUPTED_RUNS_MAX)
    b->runs[b->nruns++] = run;
}

size_t
dsp_process_checked (struct dsp *d, clk_ms now, uint64_t endpoint,
                     enum dsp_liveness found)
{
  struct dsp_endpoint_state *s;
  struct dsp_interruption *b;

  d->now = now;
  s = dsp_find_endpoint (d, endpoint);
  if (s && (found == DSP_ALIVE || found == DSP_ENDED))
    dsp_path_connected (d, s);
  else if (s)
    dsp_path_connect_failed (d, s);
  if (found == DSP_CONN_REFUSED)
    found = s && dsp_path_is_own_loss (d, s->pool->path) ? DSP_UNREACHABLE
                                                         : DSP_ENDED;
  b = find_interruption (d, endpoint);
  if (!b || b->checked)
    return 0;
  b->checked = true;
  b->liveness = found;
  if (found != DSP_ENDED)
    return b->nruns;
  d->stats.servers_ended++;
  if (s)
    s->process_ended_until = now + PROCESS_ENDED_MS;
  for (size_t i = 0; d->opt.poison && i < b->nruns; i++)
    psn_apply (d->opt.poison, now, &b->runs[i]);
  return b->nruns;
}

bool
dsp_is_suspect (const struct dsp *d, const struct dsp_req *q)
{
  return d->opt.poison && psn_is_suspect (d->opt.poison, q->digest);
}

bool
dsp_process_ended (const struct dsp *d, const struct dsp_endpoint_state *s)
{
  return d->now < s->process_ended_until || d->now < s->reported_ended_until;
}

void
dsp_peer_reported_ended (struct dsp *d, struct dsp_endpoint_state *s)
{
  if (s)
    s->reported_ended_until = d->now + REPORTED_ENDED_MS;
}

/** Whether execution of the request can still be prevented. */
static bool
can_prevent (const struct dsp_req *q)
{
  return q->queued || (q->route->kind == TBL_STREAM && !q->streaming);
}

void
dsp_request_blocked (struct dsp *d, clk_ms now, uint64_t digest)
{
  struct dsp_req *next;

  d->now = now;
  for (struct dsp_req *q = d->open_list; q; q = next)
    {
      next = q->next;
      if (q->digest == digest && can_prevent (q))
        dsp_give_up (d, q, DSP_POISON, DSP_INTERRUPTED, 0);
    }
}
