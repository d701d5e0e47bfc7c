/*
 * One shard: its single open write and how a write of unknown end is settled.
 *
 * A write compares the head's mod_revision with BASE and puts the head and
 * one batch key that carries BASE, our boot and a number.  Its answer may be
 * lost, and the write may be applied at any later time.  Then:
 *
 *  - No claim of the batch is granted and no other write of this shard begins
 *    until a read has settled it.
 *  - The read shows our batch key: it was applied; grant.
 *  - It shows another head than BASE and no batch key of ours: mod_revisions
 *    only grow, so the compare can never hold again; the batch is void and
 *    its asks are decided anew by what the read brought.
 *  - It shows the head still at BASE: the write may land at any time until
 *    the head moves.  So the head has to be moved: the same write is sent
 *    again, byte for byte.  At most one of the two copies can pass the
 *    compare, and both have the same effect, so it does not matter which: if
 *    the first one lands before the second, the second conflicts and the next
 *    read shows the batch key.
 *
 * A conflict is settled by the same read, as it may be our own earlier copy
 * that made the head move.
 */
#include <stdlib.h>
#include <string.h>

#include "claim/core.h"

static void
step (struct clm *c, struct shard *s, int event)
{
  int next = chart_step (c->chart.chart, s->write, event);

  /* A refused event is a fault of this file, never of the outside. */
  if (next == CHART_REFUSED)
    abort ();
  s->write = next;
}

void
shard_init (struct clm *c, struct shard *s, unsigned no)
{
  memset (s, 0, sizeof *s);
  s->no = no;
  s->write = c->chart.idle;
  s->confirmed = INT64_MIN / 2;
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
         && (s->write == c->chart.uncertain || s->batch.n || s->waiting.n);
}

/* Calls. */

static struct clm_action *
begin_call (struct clm *c, struct shard *s, enum shard_op op, clk_ms now)
{
  struct clm_action *a
      = core_act (c, op == OP_TXN ? CLM_ACT_TXN : CLM_ACT_RANGE);

  s->probe = core_down (c);
  s->op = op;
  s->sent = now;
  s->token = a->token = ++c->last_token;
  return a;
}

static void
begin_read (struct clm *c, struct shard *s, clk_ms now)
{
  enum shard_op op = s->known ? OP_READ_NEW : OP_READ_ALL;
  struct clm_action *a = begin_call (c, s, op, now);

  bat_range (&s->range_key, &s->range_end, c->opt.prefix, s->no,
             s->known ? s->head : 0);
  a->key = buf_str (&s->range_key);
  a->end = buf_str (&s->range_end);
  s->want_read = false;
  c->counts.reads++;
  c->counts.whole_reads += op == OP_READ_ALL;
}

static void
begin_write (struct clm *c, struct shard *s, clk_ms now)
{
  struct clm_action *a;

  step (c, s, c->chart.ev_write);
  a = begin_call (c, s, OP_TXN, now);
  s->compare = (struct store_compare){ buf_str (&s->head_key), s->name.base };
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
put_in_batch (struct clm *c, struct shard *s, struct waiter *w, clk_ms now)
{
  struct bat_record r = { .kind = w->ask.kind };
  struct tbl_rec *rec = tbl_find (&c->table, w->ask.key, w->ask.attempt);

  memcpy (r.key, w->ask.key, 16);
  memcpy (r.attempt, w->ask.attempt, 16);
  memcpy (r.fingerprint, w->ask.fingerprint, 16);
  bat_add (&s->value, &r);
  if (!rec)
    rec = tbl_add (&c->table, w->ask.key, w->ask.attempt, w->ask.fingerprint,
                   now, core_expiry (c, now));
  rec->pending = w->ask.kind == CLM_ACQUIRE ? TBL_PEND_TAKE : TBL_PEND_RELEASE;
  w->rec = rec;
  waiter_append (&s->batch, w);
}

/**
 * Decide what waits: answer what is known, and put what has to be written
 * into the batch if @p write says so.
 */
static void
go_through (struct clm *c, struct shard *s, clk_ms now, bool write)
{
  struct waiter_list all = s->waiting;

  memset (&s->waiting, 0, sizeof s->waiting);
  s->want_read = false;
  for (struct waiter *w; (w = waiter_pop (&all));)
    {
      struct decided d = decide (c, s, w, now);
      if (d.what == DECIDE_REPLY)
        {
          if (!w->told)
            core_reply (c, w, d.verdict, d.holder);
          free (w);
          continue;
        }
      s->want_read |= d.what == DECIDE_READ;
      if (write && d.what == DECIDE_WRITE && s->batch.n < BAT_MAX_RECORDS)
        put_in_batch (c, s, w, now);
      else
        waiter_append (&s->waiting, w);
    }
}

static void
form_batch (struct clm *c, struct shard *s, clk_ms now)
{
  bat_begin (&s->value);
  go_through (c, s, now, true);
  if (!s->batch.n)
    return;
  s->lost = false;
  s->formed = now;
  s->write = chart_initial (c->chart.chart);
  s->name = (struct bat_name){ s->head, c->opt.boot, ++c->last_seq };
  bat_key (&s->batch_key, c->opt.prefix, s->no, &s->name);
  buf_clear (&s->head_value);
  buf_addf (&s->head_value, "%016llx-%llu", (unsigned long long)c->opt.boot,
            (unsigned long long)s->name.seq);
  c->counts.batch_records += s->batch.n;
  c->counts.batch_bytes += s->value.len;
}

void
shard_pump (struct clm *c, struct shard *s, clk_ms now)
{
  if (!shard_has_work (c, s) || !core_may_call (c, now))
    return;
  if (s->write == c->chart.uncertain || (!s->batch.n && !s->known))
    {
      if (now < s->next_read)
        return;
      if (s->write == c->chart.uncertain)
        step (c, s, c->chart.ev_read);
      begin_read (c, s, now);
      return;
    }
  if (now < s->next_write)
    return;
  if (!s->batch.n && s->want_read && !core_lease_usable (c, now))
    {
      begin_read (c, s, now);
      return;
    }
  if (!core_lease (c, now))
    return;
  if (!s->batch.n)
    form_batch (c, s, now);
  if (s->batch.n)
    begin_write (c, s, now);
  else if (s->want_read)
    begin_read (c, s, now);
}

void
shard_probe (struct clm *c, struct shard *s, clk_ms now)
{
  if (s->op == OP_NONE && s->write != c->chart.uncertain && !s->batch.n)
    begin_read (c, s, now);
}

/* Ends of a batch. */

static void
settle_take (struct clm *c, struct shard *s, struct waiter *w, clk_ms now)
{
  if (w->rec->state == TBL_NONE)
    w->rec->state = TBL_TAKEN;
  w->rec->written = s->formed;
  if (w->told)
    return;
  if (w->rec->state == TBL_RELEASED || now >= w->deadline)
    core_unavailable (c, s, w);
  else
    core_reply (c, w, CLM_GRANTED, NULL);
}

static void
batch_applied (struct clm *c, struct shard *s, clk_ms now)
{
  for (struct waiter *w; (w = waiter_pop (&s->batch)); free (w))
    {
      w->rec->pending = TBL_PEND_NONE;
      tbl_touch (&c->table, w->rec, now, core_expiry (c, now));
      if (w->ask.kind == CLM_ACQUIRE)
        {
          settle_take (c, s, w, now);
          continue;
        }
      w->rec->state = TBL_RELEASED;
      if (!w->told)
        core_reply (c, w, CLM_ACKNOWLEDGED, NULL);
    }
}

/** The batch was not applied and never will be: its asks wait again. */
static void
batch_void (struct clm *c, struct shard *s)
{
  struct waiter_list later = s->waiting;

  memset (&s->waiting, 0, sizeof s->waiting);
  for (struct waiter *w; (w = waiter_pop (&s->batch));)
    {
      w->rec->pending = TBL_PEND_NONE;
      if (w->rec->state == TBL_NONE)
        tbl_remove (&c->table, w->rec);
      w->rec = NULL;
      if (w->told && w->ask.kind == CLM_ACQUIRE)
        free (w);
      else
        waiter_append (&s->waiting, w);
    }
  for (struct waiter *w; (w = waiter_pop (&later));)
    waiter_append (&s->waiting, w);
}

/* Answers. */

static void
merge_record (struct clm *c, const struct bat_record *b, clk_ms now)
{
  struct tbl_rec *r = tbl_find (&c->table, b->key, b->attempt);

  if (r)
    tbl_touch (&c->table, r, r->since, core_expiry (c, now));
  else
    r = tbl_add (&c->table, b->key, b->attempt, b->fingerprint, now,
                 core_expiry (c, now));
  if (b->kind == CLM_RELEASE)
    r->state = TBL_RELEASED;
  else if (r->state == TBL_NONE)
    r->state = TBL_TAKEN;
}

struct seen
{
  int64_t head;
  bool own;      /**< our open batch is there */
  bool chained;  /**< nothing is missing between the known head and now */
  bool readable; /**< every value could be decoded */
};

/** Batches come in the order of their BASE, which is that of writing. */
static struct seen
merge_range (struct clm *c, struct shard *s, const struct store_result *r,
             clk_ms now)
{
  struct seen seen = { .chained = true, .readable = true };
  int64_t at = s->head;

  for (size_t i = 0; i < r->nkvs; i++)
    {
      const struct store_kv *kv = &r->kvs[i];
      struct bat_name name;
      struct bat_record rec;
      size_t n;
      if (str_eq (kv->key, buf_str (&s->head_key)))
        seen.head = kv->mod_rev;
      if (!bat_parse_key (kv->key, &name))
        continue;
      seen.chained &= name.base == at;
      at = kv->mod_rev;
      if (s->batch.n && name.boot == s->name.boot && name.seq == s->name.seq)
        {
          seen.own = true;
          continue;
        }
      if (!bat_count (kv->value, &n))
        {
          seen.readable = false;
          continue;
        }
      for (size_t k = 0; k < n; k++)
        {
          bat_get (kv->value, k, &rec);
          merge_record (c, &rec, now);
        }
    }
  seen.chained &= at == seen.head;
  return seen;
}

static void
settle_by_read (struct clm *c, struct shard *s, const struct seen *seen,
                clk_ms now)
{
  if (seen->own)
    {
      step (c, s, c->chart.ev_found);
      c->counts.settled_found += s->lost;
      batch_applied (c, s, now);
    }
  else if (seen->head == s->name.base)
    {
      step (c, s, c->chart.ev_absent);
      c->counts.settled_absent++;
    }
  else
    {
      step (c, s, c->chart.ev_moved);
      batch_void (c, s);
    }
}

static void
read_answer (struct clm *c, struct shard *s, enum shard_op op, clk_ms now,
             const struct store_result *r)
{
  bool settling = s->write == c->chart.settling;
  struct seen seen;

  if (r->status == STORE_OVER_BUDGET)
    s->next_read = now + c->opt.gap_ms;
  else if (r->status != STORE_OK)
    core_call_failed (c, now);
  if (r->status != STORE_OK)
    {
      if (settling)
        step (c, s, c->chart.ev_silent);
      return;
    }
  core_call_ok (c);
  seen = merge_range (c, s, r, now);
  if (!seen.readable)
    {
      /* Written by another version: claims in it can't be seen, so nothing
         of this shard may be granted. */
      s->known = false;
      s->next_read = now + CLK_SECOND;
      if (settling)
        step (c, s, c->chart.ev_silent);
      return;
    }
  s->known = op == OP_READ_ALL || seen.chained;
  s->head = seen.head;
  s->confirmed = s->sent;
  if (settling)
    settle_by_read (c, s, &seen, now);
}

static void
txn_answer (struct clm *c, struct shard *s, clk_ms now,
            const struct store_result *r)
{
  switch (r->status)
    {
    case STORE_OK:
      core_call_ok (c);
      step (c, s, c->chart.ev_applied);
      s->head = r->revision;
      s->confirmed = s->sent;
      batch_applied (c, s, now);
      return;
    case STORE_CONFLICT:
      core_call_ok (c);
      c->counts.conflicts++;
      step (c, s, c->chart.ev_conflict);
      return;
    case STORE_UNCERTAIN:
      c->counts.uncertain++;
      s->lost = true;
      core_call_failed (c, now);
      step (c, s, c->chart.ev_lost);
      return;
    case STORE_GONE:
      core_call_ok (c);
      c->lease.id = 0;
      break;
    case STORE_UNAVAILABLE:
      core_call_failed (c, now);
      break;
    case STORE_OVER_BUDGET:
      break;
    }
  step (c, s, c->chart.ev_unsent);
  /* This copy was not applied; an earlier one may be on its way yet. */
  if (!s->lost)
    batch_void (c, s);
}

void
shard_answer (struct clm *c, struct shard *s, clk_ms now,
              const struct store_result *r)
{
  enum shard_op op = s->op;

  s->op = OP_NONE;
  if (op == OP_TXN)
    txn_answer (c, s, now, r);
  else
    read_answer (c, s, op, now, r);
  if (s->waiting.n)
    go_through (c, s, now, false);
}
