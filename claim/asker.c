#include "claim/asker.h"

static enum clm_requester_action
send_to_next (struct clm_requester *a, clk_ms now)
{
  a->ntried++;
  a->failover_at = a->ntried < a->ntargets ? now + CLM_FAILOVER_MS : CLK_NEVER;
  return CLM_REQUESTER_SEND;
}

/** With one target, the core in this process releases the claim itself. */
static enum clm_requester_action
give_up (struct clm_requester *a, bool may_be_recorded)
{
  a->done = true;
  return may_be_recorded && a->ntargets > 1 ? CLM_REQUESTER_GIVE_UP_AND_RELEASE
                                            : CLM_REQUESTER_GIVE_UP;
}

enum clm_requester_action
clm_requester_start (struct clm_requester *a, clk_ms now, clk_ms wait_ms,
                     unsigned ntargets)
{
  if (wait_ms > CLM_MAX_WAIT_MS)
    wait_ms = CLM_MAX_WAIT_MS;
  *a = (struct clm_requester){ .ntargets = ntargets,
                               .deadline = now + wait_ms };
  return send_to_next (a, now);
}

enum clm_requester_action
clm_requester_tick (struct clm_requester *a, clk_ms now)
{
  if (a->done)
    return CLM_REQUESTER_NONE;
  if (now >= a->deadline)
    return give_up (a, a->nfinished < a->ntried);
  if (now < a->failover_at)
    return CLM_REQUESTER_NONE;
  return send_to_next (a, now);
}

enum clm_requester_action
clm_requester_target_lost (struct clm_requester *a, clk_ms now)
{
  if (a->ntried < a->ntargets)
    a->failover_at = now;
  return clm_requester_tick (a, now);
}

enum clm_requester_action
clm_requester_unreachable (struct clm_requester *a, clk_ms now)
{
  if (a->done)
    return CLM_REQUESTER_NONE;
  a->nfinished++;
  if (a->ntried == a->ntargets || now >= a->deadline)
    return give_up (a, a->nfinished < a->ntried);
  return send_to_next (a, now);
}

enum clm_requester_action
clm_requester_on_verdict (struct clm_requester *a, clk_ms now,
                          enum clm_verdict verdict)
{
  a->nfinished++;
  /* Two nodes may grant the same attempt.  Once one grant was passed on, the
     second must not be released: the release would let a retry run beside the
     call that is being sent. */
  if (a->done)
    return verdict == CLM_GRANTED && !a->granted ? CLM_REQUESTER_RELEASE
                                                 : CLM_REQUESTER_NONE;
  if (now >= a->deadline && verdict == CLM_GRANTED)
    {
      /* The claim is recorded, but the caller receives CLM_UNAVAILABLE. */
      a->done = true;
      return CLM_REQUESTER_GIVE_UP_AND_RELEASE;
    }
  if (now >= a->deadline)
    return give_up (a, a->nfinished < a->ntried);
  /* A node does not report whether a write of the claim is pending. */
  if (verdict == CLM_UNAVAILABLE)
    return give_up (a, true);
  a->done = true;
  a->granted = verdict == CLM_GRANTED;
  /* A suspended home that was tried before may resume and record the claim
     once the holder reported by this verdict has released the key.  No call
     would be sent for that record, and callers would receive CLM_RUNNING for
     the whole window.  A release in the store cancels the record, whichever of
     the two is applied first. */
  return !a->granted && a->nfinished < a->ntried
             ? CLM_REQUESTER_REPLY_AND_RELEASE
             : CLM_REQUESTER_REPLY;
}
