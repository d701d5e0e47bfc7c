#include <stdlib.h>
#include <string.h>

#include "claim/core.h"

#define RETRY_AFTER_DOWN_MS (2 * CLK_SECOND)
#define RETRY_AFTER_BUSY_MS ((clk_ms)500)

/** A batch lives for at least one and a half windows, and a claim must be held
    for the window plus the slack. */
#define MIN_WINDOW_MS (2 * CLM_SLACK_MS)

static void
chart_init (struct write_chart *w)
{
  const struct chart *c = chart_embedded ("store-write");

  w->chart = c;
  w->idle = chart_initial (c);
  w->open = chart_state (c, "open");
  w->uncertain = chart_state (c, "uncertain");
  w->settling = chart_state (c, "settling");
  w->ev_write = chart_event (c, "write");
  w->ev_applied = chart_event (c, "applied");
  w->ev_conflict = chart_event (c, "conflict");
  w->ev_unsent = chart_event (c, "unsent");
  w->ev_lost = chart_event (c, "lost");
  w->ev_read = chart_event (c, "read");
  w->ev_found = chart_event (c, "found");
  w->ev_absent = chart_event (c, "absent");
  w->ev_moved = chart_event (c, "moved");
  w->ev_silent = chart_event (c, "silent");
}

struct clm *
clm_new (const struct clm_options *opt, uint64_t seed)
{
  struct clm *c = xcalloc (1, sizeof *c);

  c->opt = *opt;
  c->prefix = str_dup (opt->prefix);
  c->opt.prefix = str_make (c->prefix, opt->prefix.len);
  clm_set_window (c, opt->window);
  if (!c->opt.gap_ms)
    c->opt.gap_ms = CLM_DEFAULT_GAP_MS;
  if (!c->opt.max_claims)
    c->opt.max_claims = CLM_DEFAULT_MAX_CLAIMS;
  chart_init (&c->chart);
  rng_seed (&c->rng, seed);
  tbl_init (&c->table, opt->max_response_bytes);
  c->probe_shard = -1;
  c->next_deadline = CLK_NEVER;
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    shard_init (c, &c->shards[i], i);
  return c;
}

void
clm_set_window (struct clm *c, clk_ms window)
{
  if (window < MIN_WINDOW_MS)
    window = MIN_WINDOW_MS;
  /* The current lease was requested with twice the old window. */
  if (window != c->opt.window)
    c->lease.id = 0;
  c->opt.window = window;
}

void
clm_free (struct clm *c)
{
  if (!c)
    return;
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    shard_free (&c->shards[i]);
  tbl_free (&c->table);
  for (size_t i = 0; i < c->nactions; i++)
    free (c->actions[i].response);
  free (c->actions);
  free (c->prefix);
  free (c);
}

/* Lists of waiting requests. */

void
waiter_append (struct waiter_list *l, struct waiter *w)
{
  w->next = NULL;
  if (l->last)
    l->last->next = w;
  else
    l->first = w;
  l->last = w;
  l->n++;
}

struct waiter *
waiter_pop (struct waiter_list *l)
{
  struct waiter *w = l->first;

  if (!w)
    return NULL;
  l->first = w->next;
  if (!l->first)
    l->last = NULL;
  l->n--;
  return w;
}

/* Actions. */

struct clm_action *
core_push_action (struct clm *c, enum clm_action_kind kind)
{
  struct core_action *a;

  if (c->nactions == c->actions_cap)
    {
      c->actions_cap = c->actions_cap ? 2 * c->actions_cap : 16;
      c->actions = xrealloc (c->actions, c->actions_cap * sizeof *c->actions);
    }
  a = &c->actions[c->nactions++];
  memset (a, 0, sizeof *a);
  a->action.kind = kind;
  return &a->action;
}

/** Free the actions that were fetched, with their responses. */
static void
free_fetched_actions (struct clm *c)
{
  if (c->actions_read < c->nactions)
    return;
  for (size_t i = 0; i < c->nactions; i++)
    free (c->actions[i].response);
  c->nactions = c->actions_read = 0;
}

bool
clm_next (struct clm *c, struct clm_action *out)
{
  if (c->actions_read == c->nactions)
    return false;
  *out = c->actions[c->actions_read++].action;
  return true;
}

static clk_ms
retry_after_ms (const struct clm *c, enum clm_verdict verdict)
{
  if (verdict == CLM_UNAVAILABLE)
    return core_store_down (c) ? RETRY_AFTER_DOWN_MS : RETRY_AFTER_BUSY_MS;
  return verdict == CLM_RUNNING ? CLK_SECOND : 0;
}

void
core_reply (struct clm *c, struct waiter *w, enum clm_verdict verdict,
            const struct tbl_rec *holder)
{
  struct clm_reply *r = &core_push_action (c, CLM_ACT_REPLY)->reply;

  r->id = w->request.id;
  r->verdict = verdict;
  r->retry_after_ms = retry_after_ms (c, verdict);
  if (verdict == CLM_COMPLETED)
    {
      char *copy = str_dup (str_make (holder->response, holder->response_len));
      c->actions[c->nactions - 1].response = copy;
      r->response = str_make (copy, holder->response_len);
      r->response_status = holder->response_status;
    }
  w->replied = true;
  c->counts.granted += verdict == CLM_GRANTED;
  c->counts.unavailable += verdict == CLM_UNAVAILABLE;
  c->counts.refused += verdict != CLM_GRANTED && verdict != CLM_ACKNOWLEDGED
                       && verdict != CLM_UNAVAILABLE;
}

void
core_reply_unavailable (struct clm *c, struct shard *s, struct waiter *w)
{
  const struct tbl_rec *rec
      = tbl_find (&c->table, w->request.key, w->request.attempt);
  struct waiter *release;

  core_reply (c, w, CLM_UNAVAILABLE, NULL);
  if (w->request.kind != CLM_ACQUIRE || !w->request.final || !rec
      || rec->state == TBL_RELEASED || s->waiting.n >= CORE_MAX_WAITING)
    return;
  /* The claim is or may become recorded in the store, but the requester has
     received CLM_UNAVAILABLE and will not send the call.  Without a release,
     every retry would be refused for the whole window. */
  release = xcalloc (1, sizeof *release);
  release->request = w->request;
  release->request.kind = CLM_RELEASE;
  release->deadline = CLK_NEVER;
  release->replied = true;
  waiter_append (&s->waiting, release);
  c->counts.late_releases++;
}

/* Deadlines. */

static void
expire_waiting (struct clm *c, struct shard *s, clk_ms now, bool refuse_all)
{
  struct waiter_list old = s->waiting;

  memset (&s->waiting, 0, sizeof s->waiting);
  for (struct waiter *w; (w = waiter_pop (&old));)
    {
      bool due = !w->replied
                 && (now >= w->deadline
                     || (refuse_all && w->request.kind == CLM_ACQUIRE));
      if (due)
        core_reply_unavailable (c, s, w);
      /* Keep the release: the requester only stopped waiting for it. */
      if (due && w->request.kind == CLM_ACQUIRE)
        {
          c->probe_shard = (int)s->no;
          free (w);
          continue;
        }
      if (!w->replied && w->deadline < c->next_deadline)
        c->next_deadline = w->deadline;
      waiter_append (&s->waiting, w);
    }
}

static void
expire_batch (struct clm *c, struct shard *s, clk_ms now)
{
  for (struct waiter *w = s->batch.first; w; w = w->next)
    if (!w->replied && now >= w->deadline)
      core_reply_unavailable (c, s, w);
    else if (!w->replied && w->deadline < c->next_deadline)
      c->next_deadline = w->deadline;
}

static void
expire (struct clm *c, clk_ms now)
{
  bool down = core_store_down (c);

  tbl_expire (&c->table, now);
  if (!down && now < c->next_deadline)
    return;
  c->next_deadline = CLK_NEVER;
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    {
      expire_waiting (c, &c->shards[i], now, down);
      expire_batch (c, &c->shards[i], now);
    }
}

static void
run_shards (struct clm *c, clk_ms now)
{
  expire (c, now);
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    shard_start_call (c, &c->shards[i], now);
  if (c->nfailures >= CORE_DOWN_FAILURES && c->probe_shard >= 0
      && core_may_call (c, now))
    {
      shard_probe (c, &c->shards[c->probe_shard], now);
      c->probe_shard = -1;
    }
}

/* Events. */

static void
finish (struct clm *c, const struct clm_request *request)
{
  struct tbl_rec *r = tbl_find (&c->table, request->key, request->attempt);
  struct waiter w = { .request = *request };

  if (r && r->state == TBL_ACQUIRED)
    tbl_store_response (&c->table, r, request->response_status,
                        request->response);
  core_reply (c, &w, CLM_ACKNOWLEDGED, NULL);
}

static struct waiter *
new_waiter (const struct clm_request *request, clk_ms now)
{
  struct waiter *w = xcalloc (1, sizeof *w);

  w->request = *request;
  w->request.response = STR_EMPTY;
  w->deadline
      = now + (request->wait_ms ? request->wait_ms : CLM_DEFAULT_WAIT_MS);
  return w;
}

void
clm_request (struct clm *c, clk_ms now, const struct clm_request *request)
{
  struct shard *s = &c->shards[clm_shard (request->key)];
  struct waiter *w;
  struct decision_result d;

  free_fetched_actions (c);
  if (request->kind == CLM_FINISH)
    {
      finish (c, request);
      return;
    }
  tbl_expire (&c->table, now);
  w = new_waiter (request, now);
  d = decide (c, s, w, now);
  if (d.what == DECIDE_REPLY)
    core_reply (c, w, d.verdict, d.holder);
  else if (s->waiting.n >= CORE_MAX_WAITING
           || (request->kind == CLM_ACQUIRE && core_store_down (c)))
    {
      core_reply_unavailable (c, s, w);
      c->probe_shard = (int)s->no;
    }
  if (w->replied)
    free (w);
  else
    {
      if (w->deadline < c->next_deadline)
        c->next_deadline = w->deadline;
      s->needs_read |= d.what == DECIDE_READ;
      waiter_append (&s->waiting, w);
      c->counts.releases += request->kind == CLM_RELEASE;
    }
  run_shards (c, now);
}

void
clm_on_store_response (struct clm *c, clk_ms now, uint64_t token,
                       const struct store_result *r)
{
  free_fetched_actions (c);
  if (token == c->lease.token && token != 0)
    core_on_lease_response (c, now, r);
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    if (c->shards[i].op != OP_NONE && c->shards[i].token == token)
      {
        shard_on_response (c, &c->shards[i], now, r);
        break;
      }
  run_shards (c, now);
}

void
clm_tick (struct clm *c, clk_ms now)
{
  free_fetched_actions (c);
  run_shards (c, now);
}

static bool
any_waiter (const struct clm *c)
{
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    if (c->shards[i].waiting.n || c->shards[i].batch.n)
      return true;
  return false;
}

clk_ms
clm_next_wakeup (const struct clm *c)
{
  clk_ms wake = any_waiter (c) ? c->next_deadline : CLK_NEVER;
  clk_ms next_call = c->nfailures ? c->probe_at : 0;
  unsigned normal;

  /* The response to the open call will trigger the next event. */
  if (c->lease.token || (c->nfailures && core_open_calls (c, &normal)))
    return wake;
  if (c->probe_shard >= 0 && c->nfailures && next_call < wake)
    wake = next_call;
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    {
      const struct shard *s = &c->shards[i];
      bool reads = s->write_state == c->chart.uncertain || !s->has_all;
      clk_ms at = reads ? s->next_read : s->next_write;
      if (!shard_has_work (c, s))
        continue;
      if (at < next_call)
        at = next_call;
      if (!reads && !c->lease.id && at < c->lease.next_request)
        at = c->lease.next_request;
      if (at < wake)
        wake = at;
    }
  return wake;
}

bool
clm_grant_valid (clk_ms granted, clk_ms now)
{
  return now >= granted && now - granted < CLM_GRANT_VALID_MS;
}

unsigned
clm_shard (const uint8_t key[16])
{
  return (unsigned)(str_hash (str_make (key, 16), 1) % CLM_SHARDS);
}

size_t
clm_claim_count (const struct clm *c)
{
  return c->table.n;
}

const struct clm_stats *
clm_stats (const struct clm *c)
{
  return &c->counts;
}
