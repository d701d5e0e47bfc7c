#include "claim/asker.h"

static enum clm_requester_action
ask_next (struct clm_requester *a, clk_ms now)
{
  a->ntried++;
  a->next = a->ntried < a->ntargets ? now + CLM_STEP_MS : CLK_NEVER;
  return CLM_REQUESTER_SEND;
}

/** With one target alone, the core that was asked releases by itself. */
static enum clm_requester_action
give_up (struct clm_requester *a, bool may_land)
{
  a->done = true;
  return may_land && a->ntargets > 1 ? CLM_REQUESTER_GIVE_UP_AND_RELEASE
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
  return ask_next (a, now);
}

enum clm_requester_action
clm_requester_tick (struct clm_requester *a, clk_ms now)
{
  if (a->done)
    return CLM_REQUESTER_NONE;
  if (now >= a->deadline)
    return give_up (a, a->nresponded < a->ntried);
  if (now < a->next)
    return CLM_REQUESTER_NONE;
  return ask_next (a, now);
}

enum clm_requester_action
clm_requester_target_lost (struct clm_requester *a, clk_ms now)
{
  if (a->ntried < a->ntargets)
    a->next = now;
  return clm_requester_tick (a, now);
}

enum clm_requester_action
clm_requester_unreachable (struct clm_requester *a, clk_ms now)
{
  if (a->done)
    return CLM_REQUESTER_NONE;
  a->nresponded++;
  if (a->ntried == a->ntargets || now >= a->deadline)
    return give_up (a, a->nresponded < a->ntried);
  return ask_next (a, now);
}

enum clm_requester_action
clm_requester_on_verdict (struct clm_requester *a, clk_ms now,
                          enum clm_verdict verdict)
{
  a->nresponded++;
  /* Two nodes may grant the same attempt.  Once one grant was handed on, the
     second must not be taken for a leftover: its release would let a repeat
     run beside the request that is being sent. */
  if (a->done)
    return verdict == CLM_GRANTED && !a->granted ? CLM_REQUESTER_RELEASE
                                                 : CLM_REQUESTER_NONE;
  if (now >= a->deadline && verdict == CLM_GRANTED)
    {
      /* The grant is recorded, and its caller is told that it did not run. */
      a->done = true;
      return CLM_REQUESTER_GIVE_UP_AND_RELEASE;
    }
  if (now >= a->deadline)
    return give_up (a, a->nresponded < a->ntried);
  /* A node does not tell whether it had the ask on its way to the store. */
  if (verdict == CLM_UNAVAILABLE)
    return give_up (a, true);
  a->done = true;
  a->granted = verdict == CLM_GRANTED;
  /* A frozen home that was asked before may wake and record the claim once
     the holder that this verdict is about has released the key.  Nobody will
     send for it, and callers would hear "running" for the whole window; a
     release in the store voids the record whichever lands first. */
  return !a->granted && a->nresponded < a->ntried
             ? CLM_REQUESTER_REPLY_AND_RELEASE
             : CLM_REQUESTER_REPLY;
}
