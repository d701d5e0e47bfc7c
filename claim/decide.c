#include <string.h>

#include "claim/core.h"

static struct decision_result
reply_with (enum clm_verdict verdict, const struct tbl_rec *holder)
{
  return (struct decision_result){ DECIDE_REPLY, verdict, holder };
}

static struct decision_result
without_verdict (enum decision what)
{
  return (struct decision_result){ what, CLM_UNAVAILABLE, NULL };
}

static struct decision_result
decide_release (const struct tbl_rec *own)
{
  if (own && own->state == TBL_RELEASED)
    return reply_with (CLM_ACKNOWLEDGED, NULL);
  if (own && own->pending != TBL_PEND_NONE)
    return without_verdict (DECIDE_WAIT);
  /* Write the release even if there is no record of the attempt: a write by
     another home may be in flight, and its record must not count. */
  return without_verdict (DECIDE_WRITE);
}

static struct decision_result
decide_held (struct clm *c, const struct shard *s, const struct waiter *w,
             const struct tbl_rec *holder, clk_ms now)
{
  if (holder->pending == TBL_PEND_RELEASE)
    return without_verdict (DECIDE_WAIT);
  /* The holder may have released the claim through another home.  Without a
     read, the caller would be refused for the rest of the window.  While the
     store is down, the records in memory are used. */
  if (!holder->response && !core_store_down (c)
      && now - s->confirmed_at > CORE_FRESH_MS)
    return without_verdict (DECIDE_READ);
  if (memcmp (holder->fingerprint, w->request.fingerprint, 16) != 0)
    return reply_with (CLM_MISMATCH, holder);
  if (holder->response)
    return reply_with (CLM_COMPLETED, holder);
  if (!holder->finished && now - holder->recorded_at < CLM_RUNNING_MS)
    return reply_with (CLM_RUNNING, holder);
  return reply_with (CLM_UNKNOWN, holder);
}

/**
 * Decides a repeated request of the same attempt, after a lost response or an
 * expired grant.  A record that was just written is reused.  An older one may
 * be about to expire at another home, or may have expired there and been
 * replaced by a retry: if it were granted as before, both would run.  So it is
 * written again, unless another attempt holds the key.
 */
static struct decision_result
decide_repeated (struct clm *c, const struct shard *s, const struct waiter *w,
                 const struct tbl_rec *own, clk_ms now)
{
  const struct tbl_rec *holder;

  if (own->pending != TBL_PEND_NONE)
    return without_verdict (DECIDE_WAIT);
  if (own->state == TBL_RELEASED)
    return reply_with (CLM_UNAVAILABLE, NULL);
  if (now - own->written_at < CLM_REUSE_MS)
    return reply_with (CLM_GRANTED, NULL);
  holder = tbl_holder (&c->table, w->request.key, w->request.attempt);
  return holder ? decide_held (c, s, w, holder, now)
                : without_verdict (DECIDE_WRITE);
}

struct decision_result
decide (struct clm *c, const struct shard *s, const struct waiter *w,
        clk_ms now)
{
  const uint8_t *key = w->request.key;
  const uint8_t *attempt = w->request.attempt;
  const struct tbl_rec *own = tbl_find (&c->table, key, attempt);
  const struct tbl_rec *holder;

  if (w->request.kind == CLM_RELEASE)
    return decide_release (own);
  if (own)
    return decide_repeated (c, s, w, own, now);
  holder = tbl_holder (&c->table, key, attempt);
  if (holder)
    return decide_held (c, s, w, holder, now);
  if (tbl_pending_other (&c->table, key, attempt))
    return without_verdict (DECIDE_WAIT);
  /* Never evict a claim to make room: its key would be executed again. */
  if (c->table.n >= c->opt.max_claims)
    return reply_with (CLM_UNAVAILABLE, NULL);
  return without_verdict (DECIDE_WRITE);
}
