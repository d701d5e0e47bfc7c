#include "serve/dispatch-int.h"

#include "serve/limit.h"

enum lim_change
dsp_answer_limit (struct dsp *d, clk_ms now, uint64_t id, unsigned attempt,
                  enum lim_says says, double rate)
{
  struct dsp_req *q = dsp_find_attempt (d, id, attempt);
  struct lim_word word = { .says = says, .rate = rate };

  d->now = now;
  if (!q || !d->opt.limits)
    return LIM_SAME;
  word.server = q->server->process;
  word.sent_at = q->sent_at;
  return lim_answered (d->opt.limits, now, &word);
}

void
dsp_limit_sent (struct dsp *d, const struct dsp_server *s)
{
  if (d->opt.limits)
    lim_sent (d->opt.limits, s->process);
}

uint64_t
dsp_sent_limited (const struct dsp *d, uint64_t id, unsigned attempt)
{
  const struct dsp_req *q = dsp_find_attempt (d, id, attempt);

  return q && d->opt.limits
             ? lim_count_sent (d->opt.limits, q->server->process)
             : 0;
}
