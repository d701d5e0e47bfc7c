/*
 * One shard: its single open write, and how a write with an unknown outcome is
 * resolved.
 *
 * A write compares the head's mod_revision with BASE and puts the head and one
 * batch key, which contains BASE, the process's boot number and a sequence
 * number.  If the response is lost, the write may be applied at any later
 * time:
 *
 *  - No claim of the batch is granted and no other write of this shard starts
 *    until a read has resolved it.
 *  - If the read returns the batch key, the write was applied: grant.
 *  - If it returns a head other than BASE and not the batch key, the compare
 *    can never succeed, as mod_revisions only grow.  The batch is discarded,
 *    and its requests are decided again from the records that were read.
 *  - If it returns the head still at BASE, the write may be applied until the
 *    head changes.  So the same write is sent again, byte for byte, to change
 *    the head.  At most one of the two copies can pass the compare, and both
 *    have the same effect.  If the first copy is applied before the second,
 *    the second conflicts and the next read returns the batch key.
 *
 * A conflict is resolved by the same read, as an earlier copy of this write
 * may have changed the head.
 */
#include <stdlib.h>
#include <string.h>

#include "claim/core.h"

static void
apply_event (struct clm *c, struct shard *s, int event)
{
  int next = chart_step (c->chart.chart, s->write_state, event);

  /* Only a bug in this file can cause a refused event. */
  if (next == CHART_REFUSED)
    abort ();
  s->write_state = next;
}

void
shard_init (struct clm *c, struct shard *s, unsigned no)
{
  memset (s, 0, sizeof *s);
  s->no = no;
  s->write_state = c->chart.idle;
  s->confirmed_at = INT64_MIN / 2;
  s->next_write = s->next_read = INT64_MIN / 2;
  bat_head_key (&s->head_key, c->opt.prefix, no);
}

static void
free_list (struct waiter_list *l)
{
  for (struct waiter *w; (w = waiter_pop (l));)
    free (w);
}

void
shard_free (struct shard *s)
{
  free_list (&s->waiting);
  free_list (&s->batch);
  buf_free (&s->head_key);
  buf_free (&s->head_value);
  buf_free (&s->batch_key);
  buf_free (&s->value);
  buf_free (&s->range_key);
  buf_free (&s->range_end);
}

bool
shard_has_work (const struct clm *c, const struct shard *s)
{
  return s->op == OP_NONE
         && (s->write_state == c->chart.uncertain || s->batch.n
             || s->waiting.n);
}

/* Calls. */

static struct clm_action *
begin_call (struct clm *c, struct shard *s, enum shard_op op, clk_ms now)
{
  struct clm_action *a
      = core_push_action (c, op == OP_TXN ? CLM_ACT_TXN : CLM_ACT_RANGE);

  s->is_probe = core_store_down (c);
  s->op = op;
  s->sent_at = now;
  s->token = a->token = ++c->last_token;
  return a;
}

static void
begin_read (struct clm *c, struct shard *s, clk_ms now)
{
  enum shard_op op = s->has_all ? OP_READ_NEW : OP_READ_ALL;
  struct clm_action *a = begin_call (c, s, op, now);

  bat_range (&s->range_key, &s->range_end, c->opt.prefix, s->no,
             s->has_all ? s->head_rev : 0);
  a->key = buf_str (&s->range_key);
  a->end = buf_str (&s->range_end);
  s->needs_read = false;
  c->counts.reads++;
  c->counts.whole_reads += op == OP_READ_ALL;
}

static void
begin_write (struct clm *c, struct shard *s, clk_ms now)
{
  struct clm_action *a;

  apply_event (c, s, c->chart.ev_write);
  a = begin_call (c, s, OP_TXN, now);
  s->compare
      = (struct store_compare){ buf_str (&s->head_key), s->batch_name.base };
  s->puts[0] = (struct store_put){ buf_str (&s->head_key),
                                   buf_str (&s->head_value), 0 };
  s->puts[1] = (struct store_put){ buf_str (&s->batch_key),
                                   buf_str (&s->value), c->lease.id };
  a->txn.compares = &s->compare;
  a->txn.ncompares = 1;
  a->txn.puts = s->puts;
  a->txn.nputs = 2;
  s->next_write = now + c->opt.gap_ms;
  c->counts.txns++;
}

/* Forming a batch. */

static void
add_to_batch (struct clm *c, struct shard *s, struct waiter *w, clk_ms now)
{
  struct bat_record r = { .kind = w->request.kind };
  struct tbl_rec *rec
      = tbl_find (&c->table, w->request.key, w->request.attempt);

  memcpy (r.key, w->request.key, 16);
  memcpy (r.attempt, w->request.attempt, 16);
  memcpy (r.fingerprint, w->request.fingerprint, 16);
  bat_add (&s->value, &r);
  if (!rec)
    rec = tbl_add (&c->table, w->request.key, w->request.attempt,
                   w->request.fingerprint, now, core_claim_expiry (c, now));
  rec->pending
      = w->request.kind == CLM_ACQUIRE ? TBL_PEND_ACQUIRE : TBL_PEND_RELEASE;
  w->rec = rec;
  waiter_append (&s->batch, w);
}

/**
 * Decide the waiting requests: reply where the records suffice and, if @p
 * write is set, add those that need a write to the batch.
 */
static void
decide_waiting (struct clm *c, struct shard *s, clk_ms now, bool may_write)
{
  struct waiter_list all = s->waiting;

  memset (&s->waiting, 0, sizeof s->waiting);
  s->needs_read = false;
  for (struct waiter *w; (w = waiter_pop (&all));)
    {
      struct decision_result d = decide (c, s, w, now);
      if (d.what == DECIDE_REPLY)
        {
          if (!w->replied)
            core_reply (c, w, d.verdict, d.holder);
          free (w);
          continue;
        }
      s->needs_read |= d.what == DECIDE_READ;
      if (may_write && d.what == DECIDE_WRITE && s->batch.n < BAT_MAX_RECORDS)
        add_to_batch (c, s, w, now);
      else
        waiter_append (&s->waiting, w);
    }
}

static void
form_batch (struct clm *c, struct shard *s, clk_ms now)
{
  bat_begin (&s->value);
  decide_waiting (c, s, now, true);
  if (!s->batch.n)
    return;
  s->response_lost = false;
  s->formed_at = now;
  s->write_state = chart_initial (c->chart.chart);
  s->batch_name = (struct bat_name){ s->head_rev, c->opt.boot, ++c->last_seq };
  bat_key (&s->batch_key, c->opt.prefix, s->no, &s->batch_name);
  buf_clear (&s->head_value);
  buf_addf (&s->head_value, "%016llx-%llu", (unsigned long long)c->opt.boot,
            (unsigned long long)s->batch_name.seq);
  c->counts.batch_records += s->batch.n;
  c->counts.batch_bytes += s->value.len;
}

void
shard_start_call (struct clm *c, struct shard *s, clk_ms now)
{
  if (!shard_has_work (c, s) || !core_may_call (c, now))
    return;
  if (s->write_state == c->chart.uncertain || (!s->batch.n && !s->has_all))
    {
      if (now < s->next_read)
        return;
      if (s->write_state == c->chart.uncertain)
        apply_event (c, s, c->chart.ev_read);
      begin_read (c, s, now);
      return;
    }
  if (now < s->next_write)
    return;
  if (!s->batch.n && s->needs_read && !core_lease_usable (c, now))
    {
      begin_read (c, s, now);
      return;
    }
  if (!core_ensure_lease (c, now))
    return;
  if (!s->batch.n)
    form_batch (c, s, now);
  if (s->batch.n)
    begin_write (c, s, now);
  else if (s->needs_read)
    begin_read (c, s, now);
}

void
shard_probe (struct clm *c, struct shard *s, clk_ms now)
{
  if (s->op == OP_NONE && s->write_state != c->chart.uncertain && !s->batch.n)
    begin_read (c, s, now);
}

/* Outcome of a batch. */

static void
finish_acquire (struct clm *c, struct shard *s, struct waiter *w, clk_ms now)
{
  if (w->rec->state == TBL_NONE)
    w->rec->state = TBL_ACQUIRED;
  w->rec->written_at = s->formed_at;
  if (w->replied)
    return;
  if (w->rec->state == TBL_RELEASED || now >= w->deadline)
    core_reply_unavailable (c, s, w);
  else
    core_reply (c, w, CLM_GRANTED, NULL);
}

static void
finish_batch (struct clm *c, struct shard *s, clk_ms now)
{
  for (struct waiter *w; (w = waiter_pop (&s->batch)); free (w))
    {
      w->rec->pending = TBL_PEND_NONE;
      tbl_refresh (&c->table, w->rec, now, core_claim_expiry (c, now));
      if (w->request.kind == CLM_ACQUIRE)
        {
          finish_acquire (c, s, w, now);
          continue;
        }
      w->rec->state = TBL_RELEASED;
      if (!w->replied)
        core_reply (c, w, CLM_ACKNOWLEDGED, NULL);
    }
}

/** The batch can never be applied: its requests wait again. */
static void
requeue_batch (struct clm *c, struct shard *s)
{
  struct waiter_list later = s->waiting;

  memset (&s->waiting, 0, sizeof s->waiting);
  for (struct waiter *w; (w = waiter_pop (&s->batch));)
    {
      w->rec->pending = TBL_PEND_NONE;
      if (w->rec->state == TBL_NONE)
        tbl_remove (&c->table, w->rec);
      w->rec = NULL;
      if (w->replied && w->request.kind == CLM_ACQUIRE)
        free (w);
      else
        waiter_append (&s->waiting, w);
    }
  for (struct waiter *w; (w = waiter_pop (&later));)
    waiter_append (&s->waiting, w);
}

/* Store responses. */

static void
merge_record (struct clm *c, const struct bat_record *b, clk_ms now)
{
  struct tbl_rec *r = tbl_find (&c->table, b->key, b->attempt);

  if (r)
    tbl_refresh (&c->table, r, r->recorded_at, core_claim_expiry (c, now));
  else
    r = tbl_add (&c->table, b->key, b->attempt, b->fingerprint, now,
                 core_claim_expiry (c, now));
  if (b->kind == CLM_RELEASE)
    r->state = TBL_RELEASED;
  else if (r->state == TBL_NONE)
    r->state = TBL_ACQUIRED;
}

struct range_result
{
  int64_t head_rev;
  bool has_own_batch; /**< the batch of this write was found */
  bool chained;  /**< no batch is missing between the old and the new head */
  bool readable; /**< every value could be decoded */
};

/** Merges the batches that were read into the table.  They are ordered by
   BASE, which is the order of writing. */
static struct range_result
merge_range (struct clm *c, struct shard *s, const struct store_result *r,
             clk_ms now)
{
  struct range_result found = { .chained = true, .readable = true };
  int64_t next_base = s->head_rev;

  for (size_t i = 0; i < r->nkvs; i++)
    {
      const struct store_kv *kv = &r->kvs[i];
      struct bat_name name;
      struct bat_record rec;
      size_t n;
      if (str_eq (kv->key, buf_str (&s->head_key)))
        found.head_rev = kv->mod_rev;
      if (!bat_parse_key (kv->key, &name))
        continue;
      found.chained &= name.base == next_base;
      next_base = kv->mod_rev;
      if (s->batch.n && name.boot == s->batch_name.boot
          && name.seq == s->batch_name.seq)
        {
          found.has_own_batch = true;
          continue;
        }
      if (!bat_count (kv->value, &n))
        {
          found.readable = false;
          continue;
        }
      for (size_t k = 0; k < n; k++)
        {
          bat_get (kv->value, k, &rec);
          merge_record (c, &rec, now);
        }
    }
  found.chained &= next_base == found.head_rev;
  return found;
}

static void
resolve_by_read (struct clm *c, struct shard *s,
                 const struct range_result *found, clk_ms now)
{
  if (found->has_own_batch)
    {
      apply_event (c, s, c->chart.ev_found);
      c->counts.resolved_applied += s->response_lost;
      finish_batch (c, s, now);
    }
  else if (found->head_rev == s->batch_name.base)
    {
      apply_event (c, s, c->chart.ev_absent);
      c->counts.resolved_absent++;
    }
  else
    {
      apply_event (c, s, c->chart.ev_moved);
      requeue_batch (c, s);
    }
}

static void
on_read_response (struct clm *c, struct shard *s, enum shard_op op, clk_ms now,
                  const struct store_result *r)
{
  bool settling = s->write_state == c->chart.settling;
  struct range_result found;

  if (r->status == STORE_OVER_BUDGET)
    s->next_read = now + c->opt.gap_ms;
  else if (r->status != STORE_OK)
    core_call_failed (c, now);
  if (r->status != STORE_OK)
    {
      if (settling)
        apply_event (c, s, c->chart.ev_silent);
      return;
    }
  core_call_succeeded (c);
  found = merge_range (c, s, r, now);
  if (!found.readable)
    {
      /* Written by an unknown version: its claims are unknown, so no claim of
         this shard may be granted. */
      s->has_all = false;
      s->next_read = now + CLK_SECOND;
      if (settling)
        apply_event (c, s, c->chart.ev_silent);
      return;
    }
  s->has_all = op == OP_READ_ALL || found.chained;
  s->head_rev = found.head_rev;
  s->confirmed_at = s->sent_at;
  if (settling)
    resolve_by_read (c, s, &found, now);
}

static void
on_txn_response (struct clm *c, struct shard *s, clk_ms now,
                 const struct store_result *r)
{
  switch (r->status)
    {
    case STORE_OK:
      core_call_succeeded (c);
      apply_event (c, s, c->chart.ev_applied);
      s->head_rev = r->revision;
      s->confirmed_at = s->sent_at;
      finish_batch (c, s, now);
      return;
    case STORE_CONFLICT:
      core_call_succeeded (c);
      c->counts.conflicts++;
      apply_event (c, s, c->chart.ev_conflict);
      return;
    case STORE_UNCERTAIN:
      c->counts.uncertain++;
      s->response_lost = true;
      core_call_failed (c, now);
      apply_event (c, s, c->chart.ev_lost);
      return;
    case STORE_GONE:
      core_call_succeeded (c);
      c->lease.id = 0;
      break;
    case STORE_UNAVAILABLE:
      core_call_failed (c, now);
      break;
    case STORE_OVER_BUDGET:
      break;
    }
  apply_event (c, s, c->chart.ev_unsent);
  /* This copy was not applied; an earlier one may still be in flight. */
  if (!s->response_lost)
    requeue_batch (c, s);
}

void
shard_on_response (struct clm *c, struct shard *s, clk_ms now,
                   const struct store_result *r)
{
  enum shard_op op = s->op;

  s->op = OP_NONE;
  if (op == OP_TXN)
    on_txn_response (c, s, now, r);
  else
    on_read_response (c, s, op, now, r);
  if (s->waiting.n)
    decide_waiting (c, s, now, false);
}
