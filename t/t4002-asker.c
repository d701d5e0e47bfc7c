/*
 * Scripts for the asker of one claim.  Steps of a script, one a word:
 *   +MS            time passes
 *   stopped:MS     time passes and the process does not run
 *   granted, running, unavailable   an answer comes
 *   unreachable    the last node asked could not be connected to
 *   silent         the last node asked went away with the ask
 * Each step's action follows it after ">"; without one nothing happens.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim/asker.h"

static const char *const actions[] = { "",        "ask",
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
  if (strcmp (word, "silent") == 0)
    return clm_requester_target_lost (a, *now);
  if (strcmp (word, "granted") == 0)
    return clm_requester_on_verdict (a, *now, CLM_GRANTED);
  if (strcmp (word, "running") == 0)
    return clm_requester_on_verdict (a, *now, CLM_RUNNING);
  cr_assert_str_eq (word, "unavailable");
  return clm_requester_on_verdict (a, *now, CLM_UNAVAILABLE);
}

/** @p expected holds steps and actions; the actions are compared. */
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

/* The home is frozen: after 300 ms the next node is asked, then the own core,
   which is waited for until the caller's patience ends.  The home may have
   recorded the claim, so giving up releases it. */
Test (asker, silent_home)
{
  expect (3, 2000,
          "+299 +1 >ask +299 +1 >ask +1399 +1 >give-up-and-release +1");
  expect (2, 2000, "+300 >ask granted >reply");
}

/* The home can't be connected to: nothing was handed over, so the next one is
   asked at once, and with nobody left there is nothing to release. */
Test (asker, unreachable_home)
{
  expect (2, 2000, "unreachable >ask granted >reply");
  expect (2, 2000, "unreachable >ask unreachable >give-up");
  expect (3, 2000,
          "silent >ask silent >ask silent +2000 "
          ">give-up-and-release");
}

/* The home says that the store is down.  Asking two more nodes would make
   each refused call cost three tries at a store that has trouble already. */
Test (asker, unavailable_is_the_last_word)
{
  expect (3, 2000, "unavailable >give-up-and-release");
  expect (1, 2000, "unavailable >give-up");
}

/* Two nodes grant the same attempt, as they may.  The first grant is being
   sent on when the second one comes; were that one taken for a leftover and
   released, a repeat could run beside it. */
Test (asker, second_grant_is_no_leftover)
{
  expect (2, 2000, "+300 >ask granted >reply granted");
}

/* The first node is frozen with the ask, the next one refuses for a holder
   that releases the key right after.  The first one wakes, finds the key free
   and records a claim that nobody will use; unless it is released, the key
   is refused for the rest of the window though nothing ran. */
Test (asker, refusal_beside_a_silent_home)
{
  expect (2, 2000, "+300 >ask running >reply-and-release granted >release");
  expect (2, 2000, "unreachable >ask running >reply");
  expect (2, 2000, "running >reply");
}

/* A grant that comes after the caller was told "not run" is given back, also
   when the process was stopped and finds it beside the passed deadline. */
Test (asker, late_grant_is_released)
{
  expect (2, 500, "+300 >ask +200 >give-up-and-release granted >release");
  expect (1, 500, "+500 >give-up granted >release");
  expect (2, 500, "stopped:9000 granted >give-up-and-release +1");
}

/* A caller's patience longer than CLM_MAX_WAIT_MS would let a grant outlive
   what the record promises. */
Test (asker, wait_is_bounded) { expect (1, 60000, "+2999 +1 >give-up"); }
