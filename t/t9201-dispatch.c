/*
 * The request core of a node on a platform; see t/lib-dispatch.h for the
 * script.
 */
#include <criterion/criterion.h>

#include "t/lib-dispatch.h"

/* A stream and a call are sent, passed and ended. */
Test (dispatch, life)
{
  dispatch_play ("streams s 1 4\n places p 1 4\n"
                 "ask 1 stream\n sent 1\n good 1\n event 1\n event 1\n"
                 "whole 1\n ask 2 once\n sent 2\n good 2\n whole 2\n",
                 "send 1 s1\npass 1\nend 1\nsend 2 p1\nend 2\n");
}

/*
 * A stream's replica breaks off after some events.  The stream goes on at the
 * other one, ahead of all that wait there; a second break ends it visibly.
 */
Test (dispatch, a_stream_goes_on_elsewhere_once)
{
  dispatch_play ("streams s 2 4\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "broken 1\n sent 1\n good 1\n event 1\n broken 1\n",
                 "send 1 s1\npass 1\ncheck s1\ncancel 1\nsend 1 s2 resume p0\n"
                 "pass 1\ncheck s2\ncancel 1\ncut 1 broken\n");
}

/*
 * A call that must run once was sent, and its connection breaks.  It may have
 * run: it goes nowhere else, and the caller is not told "not run".
 */
Test (dispatch, what_may_have_run_once_is_not_repeated)
{
  dispatch_play ("places p 2 4\n ask 1 once\n sent 1\n broken 1\n",
                 "send 1 p1\ncheck p1\ncancel 1\nanswer 1 broken 502\n");
}

/*
 * The same, but the connection was never made, or the server says that it did
 * not run the call: then it goes to the other one, and when that does not run
 * it either, the caller is told so and when to come back.
 */
Test (dispatch, what_has_not_run_is_told_so)
{
  dispatch_play ("places p 2 4\n ask 1 once\n failed 1\n failed 1\n"
                 "run 200\n ask 2 once\n sent 2\n unrun 2\n"
                 "sent 2\n unrun 2\n",
                 "send 1 p1\nsend 1 p2\n"
                 "answer 1 overload 503 retry\n"
                 "send 2 p1\ncancel 2\nsend 2 p2\ncancel 2\n"
                 "answer 2 refused 503 retry\n");
}

/* An idempotent call meets an error and is tried at the other place; its
   second error is passed on as it is. */
Test (dispatch, an_error_is_tried_elsewhere)
{
  dispatch_play ("places p 2 4\n ask 1 safe\n sent 1\n error 1\n sent 1\n"
                 "error 1\n whole 1\n",
                 "send 1 p1\ncancel 1\nsend 1 p2\nend 1\n");
}

/* An idempotent call without an answer is tried elsewhere once its goal has
   passed; a call that must run once waits to its deadline. */
Test (dispatch, silence)
{
  dispatch_play ("places p 2 4\n ask 1 safe\n sent 1\n ask 2 once\n sent 2\n"
                 "run 240\n sent 1\n good 1\n whole 1\n run 2000\n",
                 "send 1 p1\nsend 2 p2\ncancel 1\nsend 1 p2\nend 1\n"
                 "cancel 2\nanswer 2 deadline 504\n");
}

/*
 * All slots are taken.  One more that can be on time is sent all the same; one
 * whose caller has waited its goal before, and all that come after, wait here
 * for an eighth of their goal.  They are refused as not run while their
 * callers can still come back, but for the first that finds a slot.
 */
Test (dispatch, overload)
{
  dispatch_play ("streams s 1 2\n ask 1 stream\n ask 2 stream\n"
                 "late 3 stream\n ask 4 stream\n ask 5 stream\n"
                 "ask 6 stream\n sent 1\n good 1\n event 1\n whole 1\n"
                 "run 60\n",
                 "send 1 s1\nsend 2 s1\nsend 4 s1\npass 1\nend 1\nsend 5 s1\n"
                 "answer 6 overload 503 retry\n"
                 "answer 3 overload 503 retry\n");
}

/*
 * A replica has lost a member: none of its streams moves.  They go on at the
 * other replica after 400 ms, with those that wait for their first event, and
 * new ones go there too; nobody is sent back before it answers again.
 */
Test (dispatch, a_stalled_replica_is_left)
{
  dispatch_play ("streams s 2 8\n others s2 4 0\n ask 1 stream\n sent 1\n"
                 "good 1\n event 1\n ask 2 stream\n sent 2\n good 2\n"
                 "event 2\n ask 3 stream\n sent 3\n others s1 4 4\n"
                 "run 300\n ask 4 stream\n run 400\n",
                 "send 1 s1\npass 1\nsend 2 s1\npass 2\nsend 3 s1\n"
                 "send 4 s2\nstalled s1\ncancel 3\nsend 3 s2\ncancel 2\n"
                 "send 2 s2 resume p0\ncancel 1\nsend 1 s2 resume p0\n");
}

/*
 * Another node still hears events from that replica: it is slow here by
 * chance, and nothing is moved.
 */
Test (dispatch, others_hear_it)
{
  dispatch_play ("streams s 2 8\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "run 300\n others s1 4 4\n run 300\n"
                 "others s1 4 4\n run 300\n",
                 "send 1 s1\npass 1\n");
}

/* The budget of repeats is shared: of a slack of 10, four nodes have 2 each.
 */
Test (dispatch, repeats_keep_to_the_budget)
{
  dispatch_play ("places p 4 4\n nodes 4\n"
                 "ask 1 safe\n sent 1\n error 1\n sent 1\n good 1\n whole 1\n"
                 "ask 2 safe\n sent 2\n error 2\n sent 2\n good 2\n whole 2\n"
                 "ask 3 safe\n sent 3\n error 3\n sent 3\n good 3\n whole 3\n",
                 "send 1 p3\ncancel 1\nsend 1 p4\nend 1\n"
                 "send 2 p1\ncancel 2\nsend 2 p2\nend 2\n"
                 "send 3 p3\ncancel 3\nanswer 3 broken 502\n");
}

/* The caller leaves: the attempt ends at once, also one that only waits. */
Test (dispatch, a_caller_that_leaves)
{
  dispatch_play ("streams s 1 1\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "gone 1\n ask 2 stream\n gone 2\n",
                 "send 1 s1\npass 1\ncancel 1\nsend 2 s1\ncancel 2\n");
}

/* A node that stops refuses what comes later as not run. */
Test (dispatch, leaving)
{
  dispatch_play ("places p 1 4\n ask 1 once\n leave\n ask 2 once\n sent 1\n"
                 "good 1\n whole 1\n",
                 "send 1 p1\nanswer 2 leaving 503 retry\nend 1\n");
}

/* Nothing is known that could serve: told after part of the goal. */
Test (dispatch, no_place)
{
  dispatch_play ("ask 1 stream\n run 400\n", "answer 1 no-server 503 retry\n");
}

/*
 * Other streams have events all the time, more often than a tick.  A place
 * where nothing moves is seen all the same; counted from the last event, a
 * tick was never due, and it took seconds.
 */
Test (dispatch, time_is_looked_at_among_many_events)
{
  dispatch_play ("streams s 2 8\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "ask 2 stream\n sent 2\n good 2\n event 2\n"
                 "busy 1000 2\n",
                 "send 1 s1\npass 1\nsend 2 s2\npass 2\nstalled s1\n"
                 "cancel 1\nsend 1 s2 resume p0\n");
}

/* Guards against streams that are taken off all their places, and cut where
   none is left, after a pause of this process. */
Test (dispatch, a_pause_of_this_process_is_no_stall)
{
  dispatch_play ("streams s 2 8\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "ask 2 stream\n sent 2\n good 2\n event 2\n"
                 "run 100\n pause 1500\n event 1\n event 2\n run 20\n"
                 "event 1\n event 2\n whole 1\n whole 2\n",
                 "send 1 s1\npass 1\nsend 2 s2\npass 2\nend 1\nend 2\n");
}

/* Guards against requests that are sent again, or given up, as this process
   goes on after a pause, though their answers wait in its sockets. */
Test (dispatch, an_answer_that_came_in_a_pause_is_passed_on)
{
  dispatch_play ("places p 2 4\n ask 1 safe\n sent 1\n run 40\n pause 1000\n"
                 "good 1\n whole 1\n"
                 "ask 2 once\n sent 2\n run 40\n pause 4000\n good 2\n"
                 "whole 2\n",
                 "send 1 p1\nend 1\nsend 2 p1\nend 2\n");
}

/* Guards against a node with too little processor that gives nothing up. */
Test (dispatch, of_late_ticks_each_second_one_judges)
{
  dispatch_play ("streams s 2 8\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "run 100\n pause 600\n pause 600\n",
                 "send 1 s1\npass 1\nstalled s1\ncancel 1\n"
                 "send 1 s2 resume p0\n");
}

/* Guards against callers that end server after server with the same request,
   and against a refusal that makes them come back for nothing. */
Test (dispatch, what_three_servers_crashed_under_is_refused)
{
  dispatch_play ("streams s 4 4\n"
                 "ask 1 stream 7\n sent 1\n broken 1\n crashed s3\n"
                 "closed s3\n sent 1\n broken 1\n crashed s4\n closed s4\n"
                 "ask 2 stream 7\n sent 2\n broken 2\n crashed s1\n"
                 "closed s1\n ask 3 stream 7\n run 400\n ask 4 stream 7\n"
                 "ask 5 stream 8\n",
                 "send 1 s3\ncheck s3\ncancel 1\nsend 1 s4\ncheck s4\n"
                 "cancel 1\nanswer 1 broken 502\nsend 2 s1\ncheck s1\n"
                 "cancel 2\nanswer 2 broken 502\n"
                 "answer 3 crashes-servers 503 retry\n"
                 "answer 4 crashes-servers 503\nsend 5 s2\n");
}

/* Guards against a block of requests whose connections were reset, or whose
   servers could not be asked: nothing says that they have crashed. */
Test (dispatch, a_connection_that_breaks_is_no_crash)
{
  dispatch_play ("streams s 3 4\n"
                 "ask 1 stream 7\n sent 1\n broken 1\n alive s3\n"
                 "sent 1\n broken 1\n unknown s1\n"
                 "ask 2 stream 7\n sent 2\n broken 2\n alive s3\n"
                 "sent 2\n broken 2\n alive s1\n run 400\n"
                 "ask 3 stream 7\n",
                 "send 1 s3\ncheck s3\ncancel 1\nsend 1 s1\ncheck s1\n"
                 "cancel 1\nanswer 1 broken 502\nsend 2 s3\ncheck s3\n"
                 "cancel 2\nsend 2 s1\ncheck s1\ncancel 2\n"
                 "answer 2 broken 502\nsend 3 s1\n");
}

/* Guards against blame for the end of a server that was leaving: it ends by
   itself. */
Test (dispatch, a_server_that_leaves_is_not_asked)
{
  dispatch_play ("streams s 1 4\n ask 1 stream 7\n sent 1\n closed s1\n"
                 "broken 1\n run 100\n",
                 "send 1 s1\ncancel 1\nanswer 1 broken 502\n");
}

/* Guards against a further attempt that crashes one more server: a request
   that two servers have crashed under waits for its caller to ask again. */
Test (dispatch, a_suspect_is_not_sent_elsewhere)
{
  dispatch_play ("streams s 4 4\n"
                 "ask 1 stream 7\n sent 1\n broken 1\n crashed s3\n"
                 "closed s3\n sent 1\n broken 1\n crashed s4\n closed s4\n"
                 "ask 2 stream 7\n sent 2\n broken 2\n",
                 "send 1 s3\ncheck s3\ncancel 1\nsend 1 s4\ncheck s4\n"
                 "cancel 1\nanswer 1 broken 502\nsend 2 s1\ncheck s1\n"
                 "cancel 2\nanswer 2 broken 502\n");
}

/* Guards against runs that begin after the verdict, of requests that wait here
   or at a server; what has had events goes on, as it has not crashed. */
Test (dispatch, a_verdict_ends_what_has_not_begun)
{
  dispatch_play ("streams s 1 2\n"
                 "ask 1 stream 7\n sent 1\n good 1\n event 1\n"
                 "ask 2 stream 7\n sent 2\n"
                 "ask 3 stream 7\n sent 3\n ask 4 stream 7\n"
                 "ask 5 stream 8\n blocked 7\n event 1\n whole 1\n",
                 "send 1 s1\npass 1\nsend 2 s1\nsend 3 s1\n"
                 "answer 4 crashes-servers 503\n"
                 "cancel 3\nanswer 3 broken 502\n"
                 "send 5 s1\n"
                 "cancel 2\nanswer 2 broken 502\n"
                 "end 1\n");
}

/* Guards against requests that are lost on connections to a server whose
   process is known to be gone, until its entry lapses. */
Test (dispatch, a_server_that_has_ended_gets_nothing)
{
  dispatch_play ("streams s 2 9\n ask 1 stream\n sent 1\n broken 1\n"
                 "crashed s1\n ask 2 stream\n ask 3 stream\n ask 4 stream\n"
                 "ask 5 stream\n ask 6 stream\n",
                 "send 1 s1\ncheck s1\ncancel 1\nsend 1 s2\nsend 2 s2\n"
                 "send 3 s2\nsend 4 s2\nsend 5 s2\nsend 6 s2\n");
}

/* Guards against the same at nodes that have not met it themselves. */
Test (dispatch, a_server_that_others_found_gone_gets_nothing)
{
  dispatch_play ("streams s 2 9\n ended s1\n ask 1 stream\n ask 2 stream\n"
                 "ask 3 stream\n ask 4 stream\n ask 5 stream\n run 1600\n"
                 "ask 6 stream\n ask 7 stream\n",
                 "send 1 s2\nsend 2 s2\nsend 3 s2\nsend 4 s2\nsend 5 s2\n"
                 "send 6 s1\nsend 7 s1\n");
}

/* Guards against an error, as of a server at which the request waited in vain,
   that clears a request which crashes servers. */
Test (dispatch, an_error_does_not_clear_a_suspect)
{
  dispatch_play ("places p 5 4\n"
                 "ask 1 safe 7\n sent 1\n broken 1\n crashed p3\n"
                 "closed p3\n sent 1\n broken 1\n crashed p5\n closed p5\n"
                 "ask 2 once 7\n sent 2\n error 2\n whole 2\n"
                 "ask 3 once 7\n sent 3\n broken 3\n crashed p1\n"
                 "run 400\n ask 4 once 7\n",
                 "send 1 p3\ncheck p3\ncancel 1\nsend 1 p5\ncheck p5\n"
                 "cancel 1\nanswer 1 broken 502\nsend 2 p1\nend 2\n"
                 "send 3 p1\ncheck p1\ncancel 3\nanswer 3 broken 502\n"
                 "answer 4 crashes-servers 503\n");
}
