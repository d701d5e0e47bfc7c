#include <string.h>

#include "claim/core.h"

static struct decided
reply_with (enum clm_verdict verdict, const struct tbl_rec *holder)
{
  return (struct decided){ DECIDE_REPLY, verdict, holder };
}

static struct decided
just (enum decision what)
{
  return (struct decided){ what, CLM_UNAVAILABLE, NULL };
}

static struct decided
decide_release (const struct tbl_rec *own)
{
  if (own && own->state == TBL_RELEASED)
    return reply_with (CLM_ACKNOWLEDGED, NULL);
  if (own && own->pending != TBL_PEND_NONE)
    return just (DECIDE_WAIT);
  /* Also when no record is known: one may be on its way from another home,
     and must find the release when it lands. */
  return just (DECIDE_WRITE);
}

static struct decided
decide_taken (struct clm *c, const struct shard *s, const struct waiter *w,
              const struct tbl_rec *holder, clk_ms now)
{
  if (holder->pending == TBL_PEND_RELEASE)
    return just (DECIDE_WAIT);
  /* The holder may have released it through another home since; without a
     look, a caller would be refused for the rest of the window.  While the
     store is down the old knowledge is the best there is. */
  if (!holder->answer && !core_down (c) && now - s->confirmed > CORE_FRESH_MS)
    return just (DECIDE_READ);
  if (memcmp (holder->fingerprint, w->ask.fingerprint, 16) != 0)
    return reply_with (CLM_MISMATCH, holder);
  if (holder->answer)
    return reply_with (CLM_COMPLETED, holder);
  if (!holder->ended && now - holder->since < CLM_RUNNING_MS)
    return reply_with (CLM_RUNNING, holder);
  return reply_with (CLM_UNKNOWN, holder);
}

/**
 * The same attempt again, because an answer was lost or a grant ran out.
 *
 * A record that was just written serves again.  An older one may be near its
 * end at another home, or have ended there and given way to a repeat: were it
 * granted as before, both would run.  So it is written anew, unless another
 * attempt is seen to hold the key.
 */
static struct decided
decide_again (struct clm *c, const struct shard *s, const struct waiter *w,
              const struct tbl_rec *own, clk_ms now)
{
  const struct tbl_rec *holder;

  if (own->pending != TBL_PEND_NONE)
    return just (DECIDE_WAIT);
  if (own->state == TBL_RELEASED)
    return reply_with (CLM_UNAVAILABLE, NULL);
  if (now - own->written < CLM_AGAIN_MS)
    return reply_with (CLM_GRANTED, NULL);
  holder = tbl_holder (&c->table, w->ask.key, w->ask.attempt);
  return holder ? decide_taken (c, s, w, holder, now) : just (DECIDE_WRITE);
}

struct decided
decide (struct clm *c, const struct shard *s, const struct waiter *w,
        clk_ms now)
{
  const uint8_t *key = w->ask.key;
  const uint8_t *attempt = w->ask.attempt;
  const struct tbl_rec *own = tbl_find (&c->table, key, attempt);
  const struct tbl_rec *holder;

  if (w->ask.kind == CLM_RELEASE)
    return decide_release (own);
  if (own)
    return decide_again (c, s, w, own, now);
  holder = tbl_holder (&c->table, key, attempt);
  if (holder)
    return decide_taken (c, s, w, holder, now);
  if (tbl_pending_other (&c->table, key, attempt))
    return just (DECIDE_WAIT);
  /* Never make room by forgetting a claim early: its key would run again. */
  if (c->table.n >= c->opt.max_claims)
    return reply_with (CLM_UNAVAILABLE, NULL);
  return just (DECIDE_WRITE);
}
