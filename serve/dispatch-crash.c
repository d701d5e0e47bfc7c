#include "serve/dispatch-int.h"

#include <stdlib.h>
#include <string.h>

#include "base/str.h"

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

/** A lost path resets all connections within this time; until then, data of
   one of them doesn't show that the path works. */
#define PATHS_SETTLE_MS ((clk_ms)5)
/** Time for the confirmation of a refused connection; after it the process
    counts as ended. */
#define CONFIRM_MS ((clk_ms)500)
/** Time for the answer of another server, and interval between such checks.
    One that refuses the connection, as it may have crashed as well, is
   followed by the next at once. */
#define REFERENCE_INTERVAL_MS ((clk_ms)50)

/** Time in which a run whose response ended with its connection is confirmed;
    after it nothing is concluded from the run. */
#define CLOSED_RUN_MS ((clk_ms)5000)

static void
free_runs (struct dsp_interruption *b)
{
  for (size_t i = 0; i < b->nruns; i++)
    free ((void *)b->runs[i].request.parts);
  free (b->runs);
  b->runs = NULL;
  b->nruns = b->runs_capacity = 0;
}

void
dsp_crash_free (struct dsp *d)
{
  for (size_t i = 0; i < DSP_INTERRUPTIONS_MAX; i++)
    free_runs (&d->interruptions[i]);
  for (size_t i = 0; i < DSP_CLOSED_RUNS_MAX; i++)
    free ((void *)d->closed_runs[i].run.request.parts);
}

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
  free_runs (oldest);
  memset (oldest, 0, sizeof *oldest);
  oldest->endpoint = endpoint;
  oldest->first_at = d->now;
  return oldest;
}

static struct dsp_interruption *
start_check (struct dsp *d, const struct dsp_endpoint_state *s)
{
  struct dsp_action *a = dsp_add_action (d, DSP_ACT_CHECK_PROCESS, NULL);
  struct dsp_path *p = s->pool->path;

  if (dsp_path_choose_check (d, p, s->process_hash, &a->other))
    p->reference_check_at = d->now;
  a->server = str_from (s->server);
  a->addr = s->addr;
  a->endpoint = s->hash;
  a->process = s->process_hash;
  return add_interruption (d, s->hash);
}

/** Keeps a copy of the run until the check is complete. */
static void
add_run (struct dsp_interruption *b, const struct psn_run *run)
{
  if (b->nruns == b->runs_capacity)
    {
      b->runs_capacity = 2 * b->runs_capacity + 8;
      b->runs = xrealloc (b->runs, b->runs_capacity * sizeof (*b->runs));
    }
  b->runs[b->nruns] = *run;
  b->runs[b->nruns++].request.parts = psn_copy_parts (&run->request);
}

clk_ms
dsp_run_ms (const struct dsp *d, bool streaming, clk_ms first_event_at)
{
  return streaming ? d->now - first_event_at : PSN_NO_EVENT;
}

/** A run of @p q at @p s; its list of parts belongs to @p q. */
static struct psn_run
make_run (const struct dsp_req *q, const struct dsp_endpoint_state *s,
          clk_ms ran_ms)
{
  return (struct psn_run){ .request = q->poison_ids,
                           .endpoint = s->hash,
                           .ran_ms = ran_ms };
}

void
dsp_run_interrupted (struct dsp *d, const struct dsp_req *q,
                     const struct dsp_endpoint_state *s, clk_ms ran_ms)
{
  struct psn_run run = make_run (q, s, ran_ms);
  struct dsp_interruption *b = find_interruption (d, s->hash);

  /* A server that is shutting down ends its process without a crash. */
  if (s->is_proxy || !s->listed || !s->accepting
      || dsp_avail_is_leaving (d, s))
    return;
  if (!b)
    b = start_check (d, s);
  if (b->checked && d->opt.poison)
    psn_run_crashed (d->opt.poison, d->now, &run);
  else
    add_run (b, &run);
}

/* --- responses that ended with their connection ---------------------------
 */

void
dsp_run_closed (struct dsp *d, const struct dsp_req *q)
{
  struct dsp_closed_run *c
      = &d->closed_runs[d->next_closed_run++ % DSP_CLOSED_RUNS_MAX];

  if (q->endpoint->is_proxy || !d->opt.poison)
    return;
  free ((void *)c->run.request.parts);
  *c = (struct dsp_closed_run){
    d->now,
    make_run (q, q->endpoint, dsp_run_ms (d, q->streaming, q->first_event_at))
  };
  c->run.request.parts = psn_copy_parts (&q->poison_ids);
}

static bool
is_closed_at (const struct dsp *d, const struct dsp_closed_run *c,
              const struct dsp_endpoint_state *s)
{
  return c->closed_at && c->run.endpoint == s->hash
         && d->now - c->closed_at < CLOSED_RUN_MS;
}

void
dsp_server_answered (struct dsp *d, const struct dsp_endpoint_state *s,
                     clk_ms sent_at)
{
  for (size_t i = 0; i < DSP_CLOSED_RUNS_MAX; i++)
    {
      struct dsp_closed_run *c = &d->closed_runs[i];
      if (!is_closed_at (d, c, s) || c->closed_at >= sent_at)
        continue;
      c->closed_at = 0;
      psn_completed (d->opt.poison, d->now, &c->run.request);
    }
}

static void
closed_runs_crashed (struct dsp *d, const struct dsp_endpoint_state *s)
{
  for (size_t i = 0; i < DSP_CLOSED_RUNS_MAX; i++)
    {
      struct dsp_closed_run *c = &d->closed_runs[i];
      if (!is_closed_at (d, c, s))
        continue;
      c->run.ago_ms = d->now - c->closed_at;
      c->closed_at = 0;
      psn_run_crashed (d->opt.poison, d->now, &c->run);
    }
}

void
dsp_check_closed_runs (struct dsp *d, const struct dsp_endpoint_state *s)
{
  for (size_t i = 0; i < DSP_CLOSED_RUNS_MAX; i++)
    if (is_closed_at (d, &d->closed_runs[i], s))
      {
        if (!find_interruption (d, s->hash))
          start_check (d, s);
        return;
      }
}

/* --- result of the check ------------------------------------------------- */

static void
conclude (struct dsp *d, struct dsp_interruption *b,
          struct dsp_endpoint_state *s, enum dsp_liveness found)
{
  b->checked = true;
  b->refused_at = 0;
  b->liveness = found;
  if (found != DSP_ENDED)
    {
      free_runs (b);
      return;
    }
  d->stats.servers_ended++;
  if (s)
    {
      s->process_ended_until = d->now + PROCESS_ENDED_MS;
      closed_runs_crashed (d, s);
    }
  for (size_t i = 0; d->opt.poison && i < b->nruns; i++)
    {
      b->runs[i].ago_ms = d->now - b->first_at;
      psn_run_crashed (d->opt.poison, d->now, &b->runs[i]);
    }
  free_runs (b);
}

size_t
dsp_process_checked (struct dsp *d, clk_ms now, uint64_t endpoint,
                     enum dsp_liveness found)
{
  struct dsp_endpoint_state *s;
  struct dsp_interruption *b;
  size_t runs;

  d->now = now;
  s = dsp_find_endpoint (d, endpoint);
  b = find_interruption (d, endpoint);
  if (b && b->checked)
    b = NULL;
  runs = b ? b->nruns : 0;
  if (s && (found == DSP_ALIVE || found == DSP_ENDED))
    dsp_path_connected (d, s);
  else if (s && dsp_path_connect_failed (d, s) && !b
           && found == DSP_CONN_REFUSED)
    s->pool->path->reference_check_at = 0;
  if (b && found == DSP_CONN_REFUSED)
    b->refused_at = now;
  else if (b)
    conclude (d, b, s, found);
  dsp_crash_tick (d);
  return runs;
}

/*
 * A path that resets connections refuses them for a live server as well. The
 * process has ended if another server of the service has sent data since, or
 * has answered on a new connection, so that the paths work.
 */
static void
confirm_refusal (struct dsp *d, struct dsp_interruption *b)
{
  struct dsp_endpoint_state *s = dsp_find_endpoint (d, b->endpoint);
  struct dsp_path *p = s ? s->pool->path : NULL;

  if (!p || p->heard_at > b->first_at + PATHS_SETTLE_MS
      || p->connected_at >= b->first_at || d->now - b->refused_at > CONFIRM_MS)
    conclude (d, b, s, DSP_ENDED);
  else if (d->now - b->refused_at > REFERENCE_INTERVAL_MS
           && dsp_path_is_own_loss (d, p))
    conclude (d, b, s, DSP_UNREACHABLE);
  else if (d->now - p->reference_check_at > REFERENCE_INTERVAL_MS)
    {
      p->reference_check_at = d->now;
      dsp_path_check_server (d, p, s->process_hash);
    }
}

void
dsp_crash_tick (struct dsp *d)
{
  for (size_t i = 0; i < DSP_INTERRUPTIONS_MAX; i++)
    if (d->interruptions[i].refused_at)
      confirm_refusal (d, &d->interruptions[i]);
}

bool
dsp_crash_pending (const struct dsp *d)
{
  for (size_t i = 0; i < DSP_INTERRUPTIONS_MAX; i++)
    if (d->interruptions[i].refused_at)
      return true;
  return false;
}

bool
dsp_is_suspect (const struct dsp *d, const struct dsp_req *q)
{
  return d->opt.poison
         && psn_is_suspect (d->opt.poison, d->now, &q->poison_ids);
}

bool
dsp_is_refused (const struct dsp *d, const struct dsp_req *q,
                struct psn_refusal *out)
{
  return d->opt.poison
         && psn_should_refuse (d->opt.poison, d->now, &q->poison_ids, out);
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
dsp_poison_blocked (struct dsp *d, clk_ms now)
{
  struct psn_refusal why;
  struct dsp_req *next;

  d->now = now;
  for (struct dsp_req *q = d->open_list; q; q = next)
    {
      next = q->next;
      if (can_prevent (q) && dsp_is_refused (d, q, &why) && !why.retry_ms)
        dsp_refuse_poison (d, q, &why);
    }
}
