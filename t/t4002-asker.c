/*
 * Scripts for the requester of one claim.  Steps, one word each:
 *   +MS            time passes
 *   stopped:MS     time passes while the process is suspended
 *   granted, running, unavailable   a verdict arrives
 *   unreachable    the last target could not be connected to
 *   lost           the last target received the request, then failed
 * The action of a step follows after ">"; without it, there is none.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim/asker.h"

static const char *const actions[] = { "",        "send",
                                       "reply",   "reply-and-release",
                                       "give-up", "give-up-and-release",
                                       "release" };

static enum clm_requester_action
step (struct clm_requester *a, clk_ms *now, const char *word)
{
  if (word[0] == '+')
    {
      *now += atoi (word + 1);
      return clm_requester_tick (a, *now);
    }
  if (strncmp (word, "stopped:", 8) == 0)
    {
      *now += atoi (word + 8);
      return CLM_REQUESTER_NONE;
    }
  if (strcmp (word, "unreachable") == 0)
    return clm_requester_unreachable (a, *now);
  if (strcmp (word, "lost") == 0)
    return clm_requester_target_lost (a, *now);
  if (strcmp (word, "granted") == 0)
    return clm_requester_on_verdict (a, *now, CLM_GRANTED);
  if (strcmp (word, "running") == 0)
    return clm_requester_on_verdict (a, *now, CLM_RUNNING);
  cr_assert_str_eq (word, "unavailable");
  return clm_requester_on_verdict (a, *now, CLM_UNAVAILABLE);
}

/** @p expected contains steps and actions; the actions are compared. */
static void
expect (unsigned targets, clk_ms wait_ms, const char *expected)
{
  struct clm_requester a;
  struct buf log = BUF_INIT;
  char *text = xstrdup (expected);
  char *save = NULL;
  clk_ms now = 1000;

  cr_expect_eq (clm_requester_start (&a, now, wait_ms, targets),
                CLM_REQUESTER_SEND);
  for (char *word = strtok_r (text, " ", &save); word;
       word = strtok_r (NULL, " ", &save))
    {
      if (word[0] == '>')
        continue;
      enum clm_requester_action what = step (&a, &now, word);
      buf_addf (&log, "%s%s%s%s", log.len ? " " : "", word, what ? " >" : "",
                actions[what]);
    }
  cr_expect_str_eq (buf_c (&log), expected);
  buf_free (&log);
  free (text);
}

/* The home is suspended: after 300 ms the next node is tried, then the local
   core until the caller's timeout.  The home may have recorded the claim, so
   giving up releases it. */
Test (requester, unresponsive_home)
{
  expect (3, 2000,
          "+299 +1 >send +299 +1 >send +1399 +1 >give-up-and-release +1");
  expect (2, 2000, "+300 >send granted >reply");
}

/* The home can't be connected to: the request was not delivered, so the next
   target is tried immediately, and with no target left there is nothing to
   release. */
Test (requester, unreachable_home)
{
  expect (2, 2000, "unreachable >send granted >reply");
  expect (2, 2000, "unreachable >send unreachable >give-up");
  expect (3, 2000,
          "lost >send lost >send lost +2000 "
          ">give-up-and-release");
}

/* The home reports that the store is down.  Trying two more nodes would make
   each refused call cost three requests to an already failing store. */
Test (requester, unavailable_is_final)
{
  expect (3, 2000, "unavailable >give-up-and-release");
  expect (1, 2000, "unavailable >give-up");
}

/* Two nodes may grant the same attempt.  The second grant arrives while the
   call is being sent after the first: if it were released, a retry could run
   beside that call. */
Test (requester, second_grant_is_not_released)
{
  expect (2, 2000, "+300 >send granted >reply granted");
}

/* The first node is suspended with the request, and the next one refuses
   because of a holder that releases the key right after.  The first node
   resumes, finds the key free and records a claim that is never used.  Without
   a release the key would be refused for the rest of the window, although no
   call was executed. */
Test (requester, refusal_with_unresponsive_home)
{
  expect (2, 2000, "+300 >send running >reply-and-release granted >release");
  expect (2, 2000, "unreachable >send running >reply");
  expect (2, 2000, "running >reply");
}

/* A grant that arrives after the request was given up is released, also if the
   process was suspended and finds the grant after the deadline. */
Test (requester, late_grant_is_released)
{
  expect (2, 500, "+300 >send +200 >give-up-and-release granted >release");
  expect (1, 500, "+500 >give-up granted >release");
  expect (2, 500, "stopped:9000 granted >give-up-and-release +1");
}

/* With a timeout longer than CLM_MAX_WAIT_MS, a grant could outlive its
   record. */
Test (requester, wait_is_bounded) { expect (1, 60000, "+2999 +1 >give-up"); }
