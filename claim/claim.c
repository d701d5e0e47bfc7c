#include <stdlib.h>
#include <string.h>

#include "claim/core.h"

#define RETRY_DOWN_MS (2 * CLK_SECOND)
#define RETRY_BUSY_MS ((clk_ms)500)

/** A batch lives for one and a half windows at least, a claim must be held
    for the window and the slack. */
#define LEAST_WINDOW_MS (2 * CLM_SLACK_MS)

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
    c->opt.gap_ms = CLM_GAP_MS;
  if (!c->opt.max_claims)
    c->opt.max_claims = CLM_MAX_CLAIMS;
  chart_init (&c->chart);
  rng_seed (&c->rng, seed);
  tbl_init (&c->table, opt->max_response_bytes);
  c->demand = -1;
  c->next_deadline = CLK_NEVER;
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    shard_init (c, &c->shards[i], i);
  return c;
}

void
clm_set_window (struct clm *c, clk_ms window)
{
  if (window < LEAST_WINDOW_MS)
    window = LEAST_WINDOW_MS;
  /* A lease at hand was asked for twice the old window. */
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
    free (c->actions[i].answer);
  free (c->actions);
  free (c->prefix);
  free (c);
}

/* Lists of waiters. */

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
core_act (struct clm *c, enum clm_action_kind kind)
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

/** Forget the actions that were read, with the answers that they carry. */
static void
begin_event (struct clm *c)
{
  if (c->actions_read < c->nactions)
    return;
  for (size_t i = 0; i < c->nactions; i++)
    free (c->actions[i].answer);
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
retry_of (const struct clm *c, enum clm_verdict verdict)
{
  if (verdict == CLM_UNAVAILABLE)
    return core_down (c) ? RETRY_DOWN_MS : RETRY_BUSY_MS;
  return verdict == CLM_RUNNING ? CLK_SECOND : 0;
}

void
core_reply (struct clm *c, struct waiter *w, enum clm_verdict verdict,
            const struct tbl_rec *holder)
{
  struct clm_reply *r = &core_act (c, CLM_ACT_REPLY)->reply;

  r->id = w->ask.id;
  r->verdict = verdict;
  r->retry_after_ms = retry_of (c, verdict);
  if (verdict == CLM_COMPLETED)
    {
      char *copy = str_dup (str_make (holder->answer, holder->answer_len));
      c->actions[c->nactions - 1].answer = copy;
      r->response = str_make (copy, holder->answer_len);
      r->response_status = holder->status;
    }
  w->told = true;
  c->counts.granted += verdict == CLM_GRANTED;
  c->counts.unavailable += verdict == CLM_UNAVAILABLE;
  c->counts.refused += verdict != CLM_GRANTED && verdict != CLM_ACKNOWLEDGED
                       && verdict != CLM_UNAVAILABLE;
}

void
core_unavailable (struct clm *c, struct shard *s, struct waiter *w)
{
  const struct tbl_rec *rec = tbl_find (&c->table, w->ask.key, w->ask.attempt);
  struct waiter *release;

  core_reply (c, w, CLM_UNAVAILABLE, NULL);
  if (w->ask.kind != CLM_ACQUIRE || !w->ask.final || !rec
      || rec->state == TBL_RELEASED || s->waiting.n >= CORE_MAX_WAIT)
    return;
  /* The record is in the store or may land in it, though its asker has been
     told that it did not run: without a release every repeat would be
     refused for the whole window.  The asker sends nothing any more. */
  release = xcalloc (1, sizeof *release);
  release->ask = w->ask;
  release->ask.kind = CLM_RELEASE;
  release->deadline = CLK_NEVER;
  release->told = true;
  waiter_append (&s->waiting, release);
  c->counts.late_releases++;
}

/* Deadlines. */

static void
expire_waiting (struct clm *c, struct shard *s, clk_ms now, bool all)
{
  struct waiter_list old = s->waiting;

  memset (&s->waiting, 0, sizeof s->waiting);
  for (struct waiter *w; (w = waiter_pop (&old));)
    {
      bool due
          = !w->told
            && (now >= w->deadline || (all && w->ask.kind == CLM_ACQUIRE));
      if (due)
        core_unavailable (c, s, w);
      /* A release goes on: its asker has given up, not taken it back. */
      if (due && w->ask.kind == CLM_ACQUIRE)
        {
          c->demand = (int)s->no;
          free (w);
          continue;
        }
      if (!w->told && w->deadline < c->next_deadline)
        c->next_deadline = w->deadline;
      waiter_append (&s->waiting, w);
    }
}

static void
expire_batch (struct clm *c, struct shard *s, clk_ms now)
{
  for (struct waiter *w = s->batch.first; w; w = w->next)
    if (!w->told && now >= w->deadline)
      core_unavailable (c, s, w);
    else if (!w->told && w->deadline < c->next_deadline)
      c->next_deadline = w->deadline;
}

static void
expire (struct clm *c, clk_ms now)
{
  bool down = core_down (c);

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
run (struct clm *c, clk_ms now)
{
  expire (c, now);
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    shard_pump (c, &c->shards[i], now);
  if (c->fails >= CORE_DOWN_FAILS && c->demand >= 0 && core_may_call (c, now))
    {
      shard_probe (c, &c->shards[c->demand], now);
      c->demand = -1;
    }
}

/* Events. */

static void
finish (struct clm *c, const struct clm_request *ask)
{
  struct tbl_rec *r = tbl_find (&c->table, ask->key, ask->attempt);
  struct waiter w = { .ask = *ask };

  if (r && r->state == TBL_TAKEN)
    tbl_keep (&c->table, r, ask->response_status, ask->response);
  core_reply (c, &w, CLM_ACKNOWLEDGED, NULL);
}

static struct waiter *
new_waiter (const struct clm_request *ask, clk_ms now)
{
  struct waiter *w = xcalloc (1, sizeof *w);

  w->ask = *ask;
  w->ask.response = STR_EMPTY;
  w->deadline = now + (ask->wait_ms ? ask->wait_ms : CLM_WAIT_MS);
  return w;
}

void
clm_request (struct clm *c, clk_ms now, const struct clm_request *ask)
{
  struct shard *s = &c->shards[clm_shard (ask->key)];
  struct waiter *w;
  struct decided d;

  begin_event (c);
  if (ask->kind == CLM_FINISH)
    {
      finish (c, ask);
      return;
    }
  tbl_expire (&c->table, now);
  w = new_waiter (ask, now);
  d = decide (c, s, w, now);
  if (d.what == DECIDE_REPLY)
    core_reply (c, w, d.verdict, d.holder);
  else if (s->waiting.n >= CORE_MAX_WAIT
           || (ask->kind == CLM_ACQUIRE && core_down (c)))
    {
      core_unavailable (c, s, w);
      c->demand = (int)s->no;
    }
  if (w->told)
    free (w);
  else
    {
      if (w->deadline < c->next_deadline)
        c->next_deadline = w->deadline;
      s->want_read |= d.what == DECIDE_READ;
      waiter_append (&s->waiting, w);
      c->counts.releases += ask->kind == CLM_RELEASE;
    }
  run (c, now);
}

void
clm_on_store_response (struct clm *c, clk_ms now, uint64_t token,
                       const struct store_result *r)
{
  begin_event (c);
  if (token == c->lease.token && token != 0)
    core_lease_answer (c, now, r);
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    if (c->shards[i].op != OP_NONE && c->shards[i].token == token)
      {
        shard_answer (c, &c->shards[i], now, r);
        break;
      }
  run (c, now);
}

void
clm_tick (struct clm *c, clk_ms now)
{
  begin_event (c);
  run (c, now);
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
  clk_ms call = c->fails ? c->probe_at : 0;
  unsigned normal;

  /* An open call's answer comes as an event of its own. */
  if (c->lease.token || (c->fails && core_open_calls (c, &normal)))
    return wake;
  if (c->demand >= 0 && c->fails && call < wake)
    wake = call;
  for (unsigned i = 0; i < CLM_SHARDS; i++)
    {
      const struct shard *s = &c->shards[i];
      bool reads = s->write == c->chart.uncertain || !s->known;
      clk_ms at = reads ? s->next_read : s->next_write;
      if (!shard_has_work (c, s))
        continue;
      if (at < call)
        at = call;
      if (!reads && !c->lease.id && at < c->lease.next)
        at = c->lease.next;
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
