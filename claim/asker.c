#include "claim/asker.h"

static enum clm_asker_do
ask_next (struct clm_asker *a, clk_ms now)
{
  a->asked++;
  a->next = a->asked < a->ntargets ? now + CLM_FAILOVER_MS : CLK_NEVER;
  return CLM_ASKER_ASK;
}

/** With one target, the core in this process releases the claim itself. */
static enum clm_asker_do
give_up (struct clm_asker *a, bool may_be_recorded)
{
  a->over = true;
  return may_be_recorded && a->ntargets > 1 ? CLM_ASKER_GIVE_UP_LATE
                                            : CLM_ASKER_GIVE_UP;
}

enum clm_asker_do
clm_asker_start (struct clm_asker *a, clk_ms now, clk_ms wait_ms,
                 unsigned ntargets)
{
  if (wait_ms > CLM_ASK_MS)
    wait_ms = CLM_ASK_MS;
  *a = (struct clm_asker){ .ntargets = ntargets, .deadline = now + wait_ms };
  return ask_next (a, now);
}

enum clm_asker_do
clm_asker_tick (struct clm_asker *a, clk_ms now)
{
  if (a->over)
    return CLM_ASKER_NOTHING;
  if (now >= a->deadline)
    return give_up (a, a->answered < a->asked);
  if (now < a->next)
    return CLM_ASKER_NOTHING;
  return ask_next (a, now);
}

enum clm_asker_do
clm_asker_silent (struct clm_asker *a, clk_ms now)
{
  if (a->asked < a->ntargets)
    a->next = now;
  return clm_asker_tick (a, now);
}

enum clm_asker_do
clm_asker_unreachable (struct clm_asker *a, clk_ms now)
{
  if (a->over)
    return CLM_ASKER_NOTHING;
  a->answered++;
  if (a->asked == a->ntargets || now >= a->deadline)
    return give_up (a, a->answered < a->asked);
  return ask_next (a, now);
}

enum clm_asker_do
clm_asker_answer (struct clm_asker *a, clk_ms now, enum clm_verdict verdict)
{
  a->answered++;
  /* Two nodes may grant the same attempt.  Once one grant was passed on, the
     second must not be released: the release would let a retry run beside the
     call that is being sent. */
  if (a->over)
    return verdict == CLM_GRANTED && !a->granted ? CLM_ASKER_RELEASE
                                                 : CLM_ASKER_NOTHING;
  if (now >= a->deadline && verdict == CLM_GRANTED)
    {
      /* The claim is recorded, but the caller is told that it was refused. */
      a->over = true;
      return CLM_ASKER_GIVE_UP_LATE;
    }
  if (now >= a->deadline)
    return give_up (a, a->answered < a->asked);
  /* A node does not report whether a write of the claim is pending. */
  if (verdict == CLM_UNAVAILABLE)
    return give_up (a, true);
  a->over = true;
  a->granted = verdict == CLM_GRANTED;
  /* A suspended home that was tried before may resume and record the claim
     once the holder reported by this verdict has released the key.  No call
     would be sent for that record, and callers would be told "running" for the
     whole window.  A release in the store voids the record whichever of the
     two is applied first. */
  return !a->granted && a->answered < a->asked ? CLM_ASKER_REPLY_LATE
                                               : CLM_ASKER_REPLY;
}
