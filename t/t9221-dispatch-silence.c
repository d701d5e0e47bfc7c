/*
 * Backend servers that fall silent for a second and then go on, as one that
 * collects garbage or waits for storage does.  The scripts are those of
 * t/lib-dispatch.h.
 */
#include <criterion/criterion.h>

#include "t/lib-dispatch.h"

TestSuite (dispatch_silence);

/** Two replicas with four streams each, all with an event. */
#define EIGHT_STREAMS                                                         \
  "replicas s 2 8\n submit 1 stream\n submit 2 stream\n submit 3 stream\n"    \
  "submit 4 stream\n submit 5 stream\n submit 6 stream\n submit 7 stream\n"   \
  "submit 8 stream\n" EIGHT ("sent") EIGHT ("ok") EIGHT ("event")
#define EIGHT(x)                                                              \
  x " 1\n" x " 2\n" x " 3\n" x " 4\n" x " 5\n" x " 6\n" x " 7\n" x " 8\n"
#define EIGHT_BEGIN                                                           \
  "send 1 s1\nsend 2 s2\nsend 3 s1\nsend 4 s2\nsend 5 s1\nsend 6 s2\n"        \
  "send 7 s1\nsend 8 s2\n" EIGHT ("forward")

/* Guards against streams that are cut off although their servers would have
   gone on: all replicas of the model are silent for 1.3 s, and a stream that
   was taken off one has nowhere to go. */
Test (dispatch_silence, all_replicas_go_on)
{
  dispatch_play (
      EIGHT_STREAMS "run 1300\n" EIGHT ("event") EIGHT ("complete"),
      EIGHT_BEGIN
      "stalled s1\nstalled s2\ncheck s1\ncheck s1\n" EIGHT ("complete"));
}

/* Guards against streams that are cut off when the retry budget is spent: this
   node's share is two retries, so two streams of the silent replica get a
   second attempt.  The other two wait.  The replica then goes on with one of
   the first two before its second attempt has begun; the other one is resumed.
 */
Test (dispatch_silence, streams_wait_when_the_budget_is_spent)
{
  dispatch_play (
      "nodes 5\n" EIGHT_STREAMS "run-events 440 2\n"
      "sent 1\n ok 1\n sent 3\n ok 3\n event 3\n run-events 800 2\n"
      "event 1.1\n event 5\n event 7\n" EIGHT ("complete") "complete 1.1\n",
      EIGHT_BEGIN "stalled s1\nsend 1 s2 resume p0\n"
                  "send 3 s2 resume p0\ncancel 3.1\nforward 3\n"
                  "cancel 1\ncomplete 2\ncomplete 3\n"
                  "complete 4\ncomplete 5\ncomplete 6\n"
                  "complete 7\ncomplete 8\ncomplete 1\n");
}

/** A stream whose server is silent, with a second attempt at the other one. */
#define HEDGED                                                                \
  "replicas s 2 8\n submit 1 stream\n sent 1\n ok 1\n event 1\n run 920\n"
#define HEDGED_BEGIN "send 1 s1\nforward 1\nstalled s1\nsend 1 s2 resume p0\n"
/** The same while the other one has no room. */
#define HEDGE_QUEUED                                                          \
  "replicas s 2 1\n peer-load s2 2 0\n submit 1 stream\n sent 1\n ok 1\n"     \
  "event 1\n run 920\n"
#define HEDGE_QUEUED_BEGIN "send 1 s1\nforward 1\nstalled s1\n"
/** An idempotent request that is overdue, with a second attempt. */
#define HEDGED_SAFE "endpoints p 2 4\n submit 1 safe\n sent 1\n run 220\n"
#define HEDGED_SAFE_BEGIN "send 1 p1\nsend 1 p2\n"
/** The primary goes on, and its stream ends. */
#define GOES_ON "event 1.1\n complete 1.1\n"

/* Guards against a stream that is cut off because its second attempt fails
   before it was sent. */
Test (dispatch_silence, hedge_is_not_sent)
{
  dispatch_play (HEDGED "connect-failed 1\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "complete 1\n");
  dispatch_play (HEDGED "pause s2 5000\n sent 1\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED "leave s2\n sent 1\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED "zone s2 y\n evacuate y\n sent 1\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
}

/* Guards against a stream that is cut off because its second attempt fails
   after it was sent. */
Test (dispatch_silence, hedge_fails)
{
  dispatch_play (HEDGED "sent 1\n not-executed 1\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED "sent 1\n error 1\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED "sent 1\n final 1\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED "sent 1\n ok 1\n interrupted 1\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "check s2\ncancel 1\ncomplete 1\n");
  dispatch_play (HEDGED "sent 1\n ok 1\n closed-empty 1\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "check s2\ncancel 1\ncomplete 1\n");
}

/* Guards against a stream that ends with its primary although its second
   attempt goes on, or could begin. */
Test (dispatch_silence, primary_is_interrupted)
{
  dispatch_play (HEDGED
                 "sent 1\n interrupted 1.1\n ok 1\n event 1\n complete 1\n",
                 HEDGED_BEGIN "check s1\ncancel 1.1\nforward 1\ncomplete 1\n");
  dispatch_play (HEDGED
                 "interrupted 1.1\n sent 1\n ok 1\n event 1\n complete 1\n",
                 HEDGED_BEGIN "check s1\ncancel 1.1\nforward 1\ncomplete 1\n");
  dispatch_play (HEDGE_QUEUED "interrupted 1\n peer-load s2 0 0\n sent 1\n"
                              "ok 1\n event 1\n complete 1\n",
                 HEDGE_QUEUED_BEGIN "check s1\ncancel 1\nsend 1 s2 resume p0\n"
                                    "forward 1\ncomplete 1\n");
}

/* Guards against attempts that go on after their client has left. */
Test (dispatch_silence, client_leaves)
{
  dispatch_play (HEDGED "client-gone 1\n",
                 HEDGED_BEGIN "cancel 1\ncancel 1.1\n");
  dispatch_play (HEDGED "sent 1\n ok 1\n client-gone 1\n",
                 HEDGED_BEGIN "cancel 1\ncancel 1.1\n");
  dispatch_play (HEDGE_QUEUED "client-gone 1\n peer-load s2 0 0\n",
                 HEDGE_QUEUED_BEGIN "cancel 1\n");
}

/* Guards against attempts that go on after the deadline. */
Test (dispatch_silence, deadline_passes)
{
  dispatch_play (HEDGED "sent 1\n ok 1\n run 1200\n",
                 HEDGED_BEGIN "cancel 1\ncancel 1.1\ntruncate 1 deadline\n");
  dispatch_play (HEDGE_QUEUED "run 1200\n",
                 HEDGE_QUEUED_BEGIN "cancel 1\ntruncate 1 deadline\n");
}

/* Guards against an overdue idempotent request that is given up because it may
   have no second attempt, and whose denial is counted with every check. */
Test (dispatch_silence, overdue_request_waits)
{
  dispatch_play ("nodes 10\n endpoints p 2 4\n submit 1 safe\n sent 1\n"
                 "run 900\n denied\n ok 1\n complete 1\n",
                 "send 1 p1\ndenied 1\ncomplete 1\n");
  dispatch_play ("endpoints p 1 4\n submit 1 safe\n sent 1\n run 900\n ok 1\n"
                 "complete 1\n",
                 "send 1 p1\ncomplete 1\n");
}

/* Guards against two answers to an overdue idempotent request, and against one
   that is lost with the attempt that fails. */
Test (dispatch_silence, overdue_request_is_answered_once)
{
  dispatch_play (HEDGED_SAFE "sent 1\n ok 1.1\n ok 1\n complete 1.1\n"
                             "complete 1\n",
                 HEDGED_SAFE_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED_SAFE "sent 1\n ok 1.1\n ok 1\n complete 1\n"
                             "complete 1.1\n",
                 HEDGED_SAFE_BEGIN "cancel 1.1\ncomplete 1\n");
  dispatch_play (HEDGED_SAFE "sent 1\n error 1.1\n ok 1\n complete 1\n",
                 HEDGED_SAFE_BEGIN "cancel 1.1\ncomplete 1\n");
  dispatch_play (HEDGED_SAFE
                 "sent 1\n error 1\n complete 1\n ok 1.1\n complete 1.1\n",
                 HEDGED_SAFE_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED_SAFE "sent 1\n final 1.1\n complete 1.1\n",
                 HEDGED_SAFE_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED_SAFE "sent 1\n ok 1.1\n closed 1.1\n",
                 HEDGED_SAFE_BEGIN "cancel 1\ncomplete 1\n");
}

/* Guards against a request that is cut off or runs again because it was found
   to crash servers: what runs goes on, and no second run begins. */
Test (dispatch_silence, hedged_request_is_blocked)
{
  dispatch_play (HEDGED "block 1001\n sent 1\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED "sent 1\n ok 1\n block 1001\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGE_QUEUED
                 "block 1001\n peer-load s2 0 0\n run 100\n" GOES_ON,
                 HEDGE_QUEUED_BEGIN "complete 1\n");
  dispatch_play (HEDGED_SAFE "block 1001\n sent 1\n ok 1.1\n complete 1.1\n",
                 HEDGED_SAFE_BEGIN "cancel 1\ncomplete 1\n");
}

/* Guards against the recorded truncation: the second server is silent as well,
   and both go on later. */
Test (dispatch_silence, second_server_is_silent)
{
  dispatch_play (HEDGED "sent 1\n ok 1\n run 400\n event 1.1\n event 1.2\n"
                        "run 200\n complete 1.1\n",
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED "sent 1\n ok 1\n run 400\n event 1.2\n event 1.1\n"
                        "run 200\n complete 1.2\n",
                 HEDGED_BEGIN "cancel 1.1\nforward 1\ncomplete 1\n");
}

/* Guards against a response that is lost because it ends with its
   connection. */
Test (dispatch_silence, response_ends_with_connection)
{
  dispatch_play (HEDGED "sent 1\n ok 1\n closed 1.1\n",
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED "sent 1\n ok 1\n event 1\n closed 1\n",
                 HEDGED_BEGIN "cancel 1.1\nforward 1\ncomplete 1\n");
  dispatch_play (HEDGE_QUEUED "closed 1\n", HEDGE_QUEUED_BEGIN "complete 1\n");
}

/* Guards against events of an attempt that has ended. */
Test (dispatch_silence, late_events_are_ignored)
{
  dispatch_play (HEDGED "sent 1\n ok 1\n event 1.1\n ok 1.2\n event 1.2\n"
                        "interrupted 1.2\n complete 1.2\n run 100\n" GOES_ON,
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
  dispatch_play (HEDGED "sent 1\n ok 1\n event 1\n event 1.1\n closed 1.1\n"
                        "interrupted 1.1\n complete 1.1\n run 100\n event 1\n"
                        "complete 1\n",
                 HEDGED_BEGIN "cancel 1.1\nforward 1\ncomplete 1\n");
  dispatch_play (HEDGED "event 1.1\n sent 1.2\n connect-failed 1.2\n" GOES_ON,
                 HEDGED_BEGIN "cancel 1\ncomplete 1\n");
}

/* Guards against a second attempt that is ended by bytes that bring the client
   nothing; the server itself gets requests again. */
Test (dispatch_silence, part_of_an_event_decides_nothing)
{
  dispatch_play (HEDGED "sent 1\n ok 1\n bytes 1.1\n peer-load s2 8 0\n"
                        "submit 2 stream\n event 1\n client-gone 1\n"
                        "client-gone 2\n",
                 HEDGED_BEGIN
                 "send 2 s1\ncancel 1.1\nforward 1\ncancel 1\ncancel 2\n");
}

/* Guards against a stream whose events are no longer forwarded: the primary is
   itself a resumed attempt, and it goes on before the third one. */
Test (dispatch_silence, resumed_primary_goes_on)
{
  dispatch_play (
      "replicas s 3 8\n peer-load s3 9 0\n submit 1 stream3\n sent 1\n ok 1\n"
      "event 1\n run 20\n interrupted 1\n peer-load s3 0 0\n sent 1\n"
      "run 1220\n sent 1\n ok 1.2\n event 1.2\n complete 1.2\n",
      "send 1 s1\nforward 1\ncheck s1\ncancel 1\nsend 1 s2 resume p0\n"
      "stalled s2\nsend 1 s3 resume p0\ncancel 1\nforward 1\ncomplete 1\n");
}

/* Guards against an overdue request that is bound to its first server because
   the second one couldn't be reached. */
Test (dispatch_silence, overdue_request_gets_a_third_server)
{
  dispatch_play ("endpoints p 3 4\n peer-load p3 5 0\n submit 1 safe\n"
                 "sent 1\n run 220\n connect-failed 1\n peer-load p3 0 0\n "
                 "run 20\n sent 1\n"
                 "ok 1\n complete 1\n",
                 "send 1 p1\nsend 1 p2\nsend 1 p3\ncancel 1.1\ncomplete 1\n");
}

/* Guards against a retry that finds no server in time although one has room: a
   stream that waits for another server is before it in the queue. */
Test (dispatch_silence, waiting_hedge_holds_up_no_retry)
{
  dispatch_play ("replicas s 4 1\n peer-load s2 2 0\n submit 1 stream\n"
                 "sent 1\n ok 1\n event 1\n run 920\n connect-failed 1\n"
                 "submit 2 stream\n submit 3 stream\n sent 3\n ok 3\n"
                 "event 3\n leave s3\n run 20\n interrupted 3\n",
                 "send 1 s4\nforward 1\nstalled s4\nsend 1 s1 resume p0\n"
                 "send 2 s1\nsend 3 s3\nforward 3\ncancel 3\n"
                 "send 3 s1 resume p0\n");
  dispatch_play ("replicas s 4 1\n peer-load s2 2 0\n submit 1 stream\n"
                 "sent 1\n ok 1\n event 1\n run 920\n connect-failed 1\n"
                 "submit 2 stream\n submit 3 stream\n leave s3\n run 20\n"
                 "connect-failed 3\n",
                 "send 1 s4\nforward 1\nstalled s4\nsend 1 s1 resume p0\n"
                 "send 2 s1\nsend 3 s3\nsend 3 s1\n");
}

/* Guards against a budget that is spent on attempts that no server got. */
Test (dispatch_silence, hedge_that_is_not_sent_costs_no_retry)
{
  dispatch_play ("nodes 5\n endpoints p 3 4\n peer-load p3 5 0\n"
                 "submit 1 safe\n sent 1\n run 220\n connect-failed 1\n"
                 "peer-load p3 0 0\n run 20\n sent 1\n ok 1\n complete 1\n",
                 "send 1 p1\nsend 1 p2\nsend 1 p3\ncancel 1.1\ncomplete 1\n");
}

/* Guards against a trial request that waits until its deadline at a replica
   that has not come back. */
Test (dispatch_silence, trial_at_a_silent_server_is_hedged)
{
  dispatch_play (HEDGED "sent 1\n ok 1\n event 1\n complete 1\n run 5020\n"
                        "submit 2 stream\n sent 2\n run 1240\n sent 2\n ok 2\n"
                        "event 2\n complete 2\n run 5020\n submit 3 stream\n"
                        "client-gone 3\n",
                 HEDGED_BEGIN "cancel 1.1\nforward 1\ncomplete 1\n"
                              "send 2 s1\nsend 2 s2\ncancel 2.1\n"
                              "forward 2\ncomplete 2\nsend 3 s1\ncancel 3\n");
}

/* Guards against a plan that forms replicas for requests that hold a slot:
   each queued one stands for one at every other node, too. */
Test (dispatch_silence, waiting_hedge_adds_no_demand)
{
  dispatch_play ("nodes 8\n" HEDGE_QUEUED "demand\n client-gone 1\n",
                 HEDGE_QUEUED_BEGIN "demand 3.0\ncancel 1\n");
}

/* Guards against a request with three attempts open: its second server is
   silent as well, and a third one has room. */
Test (dispatch_silence, hedged_request_gets_no_other_hedge)
{
  dispatch_play (
      "replicas s 3 8\n peer-load s3 9 0\n submit 1 stream3\n sent 1\n ok 1\n"
      "event 1\n submit 2 stream\n sent 2\n ok 2\n event 2\n run 900\n"
      "event 2\n run 20\n sent 1\n peer-load s3 0 0\n run 920\n"
      "event 1.1\n complete 1.1\n client-gone 2\n",
      "send 1 s1\nforward 1\nsend 2 s2\nforward 2\nstalled s1\n"
      "send 1 s2 resume p0\nstalled s2\nsend 2 s3 resume p0\ncancel 1\n"
      "complete 1\ncancel 2\ncancel 2.1\n");
}

/* Guards against a request that tries to reach the same servers again and
   again. */
Test (dispatch_silence, each_server_is_tried_once)
{
#define FOUR_FAIL                                                             \
  "connect-failed 1\n run 20\n connect-failed 1\n run 20\n"                   \
  "connect-failed 1\n run 20\n connect-failed 1\n run 20\n"
  dispatch_play ("replicas s 7 8\n submit 1 stream\n sent 1\n ok 1\n event 1\n"
                 "run 920\n" FOUR_FAIL FOUR_FAIL GOES_ON,
                 "send 1 s7\nforward 1\nstalled s7\nsend 1 s5 resume p0\n"
                 "send 1 s1 resume p0\nsend 1 s6 resume p0\n"
                 "send 1 s4 resume p0\nsend 1 s2 resume p0\n"
                 "send 1 s3 resume p0\ncomplete 1\n");
  /* Seven, of which the list of failed endpoints has room. */
  dispatch_play ("replicas s 10 8\n submit 1 stream\n sent 1\n ok 1\n"
                 "event 1\n run 920\n" FOUR_FAIL FOUR_FAIL FOUR_FAIL GOES_ON,
                 "send 1 s10\nforward 1\nstalled s10\nsend 1 s1 resume p0\n"
                 "send 1 s8 resume p0\nsend 1 s5 resume p0\n"
                 "send 1 s2 resume p0\nsend 1 s3 resume p0\n"
                 "send 1 s4 resume p0\nsend 1 s6 resume p0\ncomplete 1\n");
}

/* Guards against a second retry that the budget has not granted: this node's
   share is one. */
Test (dispatch_silence, each_hedge_costs_a_retry)
{
  dispatch_play ("nodes 5\n endpoints p 3 4\n submit 1 safe3\n sent 1\n"
                 "run 220\n sent 1\n error 1\n run 100\n ok 1.1\n"
                 "complete 1.1\n",
                 "send 1 p3\nsend 1 p1\ncancel 1\ncomplete 1\n");
}

/* Guards against a stream that uses up its second attempt at a server that is
   silent as well, while another one goes on. */
Test (dispatch_silence, hedge_avoids_silent_servers)
{
  dispatch_play (
      "replicas s 3 8\n peer-load s3 9 0\n submit 1 stream\n sent 1\n ok 1\n"
      "event 1\n submit 2 stream\n sent 2\n ok 2\n event 2\n run 500\n"
      "event 2\n run 420\n peer-load s3 0 0\n sent 1\n ok 1\n event 1\n"
      "complete 1\n client-gone 2\n",
      "send 1 s1\nforward 1\nsend 2 s2\nforward 2\nstalled s1\n"
      "send 1 s3 resume p0\ncancel 1.1\nforward 1\ncomplete 1\ncancel 2\n");
}

/* Guards against an empty response that counts as complete, because the head
   of the primary is forgotten, and against a request of which the client has
   nothing and that is lost with it. */
Test (dispatch_silence, empty_response_of_the_primary)
{
#define TWO_AT_S1                                                             \
  "replicas s 2 8\n peer-load s2 9 0\n submit 1 stream\n sent 1\n ok 1\n"     \
  "event 1\n submit 2 stream\n sent 2\n"
#define TWO_HEDGED "run 920\n peer-load s2 0 0\n"
#define TWO_HEDGED_BEGIN                                                      \
  "send 1 s1\nforward 1\nsend 2 s1\nstalled s1\nsend 1 s2 resume p0\n"        \
  "send 2 s2\n"
  dispatch_play (
      TWO_AT_S1 "ok 2\n" TWO_HEDGED "connect-failed 2\n closed-empty 2.1\n"
                "client-gone 1\n client-gone 2\n",
      TWO_HEDGED_BEGIN "check s1\ncancel 2.1\ncancel 1\ncancel 1.1\n");
  dispatch_play (
      TWO_AT_S1 TWO_HEDGED "ok 2.1\n connect-failed 2\n closed-empty 2.1\n"
                           "client-gone 1\n client-gone 2\n",
      TWO_HEDGED_BEGIN "check s1\ncancel 2.1\ncancel 1\ncancel 1.1\n");
  dispatch_play (TWO_AT_S1 "ok 2\n" TWO_HEDGED
                           "sent 2\n closed-empty 2.1\n ok 2\n event 2\n"
                           "complete 2\n client-gone 1\n",
                 TWO_HEDGED_BEGIN "check s1\ncancel 2.1\nforward 2\n"
                                  "complete 2\ncancel 1\ncancel 1.1\n");
}

/* Guards against a replica that gets no trial request any more after the
   second attempt of one has failed. */
Test (dispatch_silence, trial_can_be_repeated)
{
  dispatch_play (HEDGED "sent 1\n ok 1\n event 1\n complete 1\n run 5020\n"
                        "submit 2 stream\n sent 2\n run 1240\n"
                        "connect-failed 2\n client-gone 2\n run 5020\n"
                        "submit 3 stream\n client-gone 3\n",
                 HEDGED_BEGIN "cancel 1.1\nforward 1\ncomplete 1\n"
                              "send 2 s1\nsend 2 s2\ncancel 2.1\n"
                              "send 3 s1\ncancel 3\n");
}

/* Guards against a run that goes on although it was found to crash servers and
   has not begun: neither attempt has an event. */
Test (dispatch_silence, blocked_before_any_event)
{
  dispatch_play (TWO_AT_S1 TWO_HEDGED "block 1002\n client-gone 1\n",
                 TWO_HEDGED_BEGIN "cancel 2\ncancel 2.1\nerror 2 broken 502\n"
                                  "cancel 1\ncancel 1.1\n");
}

/* Guards against a hedge that goes on beside an answer, and against a request
   that ends with the error of a primary whose hedge is open. */
Test (dispatch_silence, primary_answers_with_an_error)
{
  dispatch_play (TWO_AT_S1 TWO_HEDGED
                 "sent 2\n error 2.1\n ok 2\n event 2\n complete 2\n"
                 "client-gone 1\n",
                 TWO_HEDGED_BEGIN "cancel 2.1\nforward 2\ncomplete 2\n"
                                  "cancel 1\ncancel 1.1\n");
  dispatch_play (TWO_AT_S1 TWO_HEDGED
                 "sent 2\n not-executed 2.1\n ok 2\n event 2\n complete 2\n"
                 "client-gone 1\n",
                 TWO_HEDGED_BEGIN "cancel 2.1\nforward 2\ncomplete 2\n"
                                  "cancel 1\ncancel 1.1\n");
  dispatch_play (TWO_AT_S1 "run 920\n error 2\n peer-load s2 0 0\n sent 2\n"
                           "ok 2\n event 2\n complete 2\n client-gone 1\n",
                 "send 1 s1\nforward 1\nsend 2 s1\nstalled s1\ncancel 2\n"
                 "send 1 s2 resume p0\nsend 2 s2\nforward 2\ncomplete 2\n"
                 "cancel 1\ncancel 1.1\n");
  dispatch_play (TWO_AT_S1 TWO_HEDGED
                 "sent 2\n final 2.1\n complete 2.1\n client-gone 1\n",
                 TWO_HEDGED_BEGIN "cancel 2\ncomplete 2\ncancel 1\n"
                                  "cancel 1.1\n");
}

/* Guards against a stream that stays at its silent server when its second
   attempt has failed and a third is allowed. */
Test (dispatch_silence, failed_hedge_is_followed_by_another)
{
  dispatch_play (
      "replicas s 3 8\n peer-load s3 9 0\n submit 1 stream3\n"
      "sent 1\n ok 1\n event 1\n run 940\n sent 1\n run 40\n"
      "error 1\n peer-load s3 0 0\n run 40\n event 1.2\n sent 1\n ok 1\n"
      "event 1\n complete 1\n",
      "send 1 s1\nforward 1\nstalled s1\nsend 1 s2 resume p0\n"
      "cancel 1\nsend 1 s3 resume p0\ncancel 1.1\nforward 1\n"
      "complete 1\n");
}

/* Guards against a stall that is found only once: the server of a request
   without any event has gone on elsewhere, and is silent again. */
Test (dispatch_silence, server_stalls_again)
{
  dispatch_play ("replicas s 2 8\n submit 1 stream\n sent 1\n run 1220\n"
                 "connect-failed 1\n run 20\n peer-load s1 4 4\n run 400\n"
                 "client-gone 1\n",
                 "send 1 s1\nstalled s1\nsend 1 s2\nstalled s1\n"
                 "cancel 1.1\n");
}

/* Guards against a retry without the budget: the primary fails while its hedge
   is queued, and this node has no share left. */
Test (dispatch_silence, queued_hedge_becomes_a_retry)
{
  dispatch_play ("nodes 10\n endpoints p 2 1\n peer-load p2 2 0\n"
                 "submit 1 safe\n sent 1\n run 220\n error 1\n"
                 "peer-load p2 0 0\n",
                 "send 1 p1\ncancel 1\nerror 1 broken 502\n");
  dispatch_play ("nodes 10\n" HEDGE_QUEUED "interrupted 1\n"
                 "peer-load s2 0 0\n",
                 HEDGE_QUEUED_BEGIN "check s1\ncancel 1\n"
                                    "truncate 1 broken\n");
}

/* Guards against a server that is left out after its silence has ended. */
Test (dispatch_silence, event_readmits_the_server)
{
  dispatch_play (HEDGED "connect-failed 1\n event 1.1\n peer-load s2 9 0\n"
                        "submit 2 stream\n client-gone 1\n client-gone 2\n",
                 HEDGED_BEGIN "send 2 s1\ncancel 1.1\ncancel 2\n");
}

/* Guards against a server that gets requests although it fails them: primaries
   that are interrupted count. */
Test (dispatch_silence, interrupted_primaries_eject_the_server)
{
#define FOUR(x) x " 1\n" x " 2\n" x " 3\n" x " 4\n"
  dispatch_play (
      "replicas s 2 8\n peer-load s2 9 0\n"
      "submit 1 stream\n submit 2 stream\n submit 3 stream\n submit 4 "
      "stream\n" FOUR ("sent") FOUR ("ok") FOUR (
          "event") "run 420\n peer-load s2 0 0\n interrupted 1.1\n"
                   "interrupted 2.1\n interrupted 3.1\n event 4.1\n"
                   "peer-load s2 9 0\n submit 5 stream\n client-gone 5\n",
      "send 1 s1\nsend 2 s1\nsend 3 s1\nsend 4 s1\n" FOUR (
          "forward") "stalled s1\nsend 1 s2 resume p0\nsend 2 s2 resume "
                     "p0\nsend 3 s2 resume p0\nsend 4 s2 resume p0\ncheck "
                     "s1\ncancel 1.1\ncancel 2.1\ncancel 3.1\ncancel 4\n");
}

/* Guards against one late answer that counts as several failures, so that the
   server is ejected. */
Test (dispatch_silence, late_answer_counts_once)
{
  dispatch_play ("nodes 10\n endpoints p 2 4\n submit 1 safe\n sent 1\n"
                 "run 400\n peer-load p2 5 0\n submit 2 safe\n"
                 "client-gone 1\n client-gone 2\n",
                 "send 1 p1\nsend 2 p1\ncancel 1\ncancel 2\n");
}

/* Guards against a hedge of an attempt that is still connecting, and so has
   run nowhere. */
Test (dispatch_silence, connecting_attempt_is_not_hedged)
{
  dispatch_play ("replicas s 3 8\n peer-load s3 9 0\n submit 1 stream3\n"
                 "sent 1\n ok 1\n event 1\n submit 2 stream\n sent 2\n ok 2\n"
                 "event 2\n interrupted 1\n run 920\n client-gone 1\n"
                 "client-gone 2\n",
                 "send 1 s1\nforward 1\nsend 2 s2\nforward 2\ncheck s1\n"
                 "cancel 1\nsend 1 s2 resume p0\nstalled s2\n"
                 "send 2 s1 resume p0\ncancel 1\ncancel 2\ncancel 2.1\n");
}
