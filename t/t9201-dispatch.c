/*
 * Request dispatcher of a serving node. The script language is described in
 * t/lib-dispatch.h.
 */
#include <criterion/criterion.h>

#include "t/lib-dispatch.h"

/* A stream and a plain request are sent, forwarded and completed. */
Test (dispatch, request_lifecycle)
{
  dispatch_play ("streams s 1 4\n places p 1 4\n"
                 "ask 1 stream\n sent 1\n good 1\n event 1\n event 1\n"
                 "whole 1\n ask 2 once\n sent 2\n good 2\n whole 2\n",
                 "send 1 s1\npass 1\nend 1\nsend 2 p1\nend 2\n");
}

/*
 * A replica breaks off a stream after some events. The stream is resumed at
 * the other replica, with priority over queued requests. A second interruption
 * aborts the response visibly.
 */
Test (dispatch, interrupted_stream_is_resumed_once)
{
  dispatch_play ("streams s 2 4\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "broken 1\n sent 1\n good 1\n event 1\n broken 1\n",
                 "send 1 s1\npass 1\ncheck s1\ncancel 1\nsend 1 s2 resume p0\n"
                 "pass 1\ncheck s2\ncancel 1\ncut 1 broken\n");
}

/*
 * The connection breaks after a non-idempotent request was sent. It may have
 * been executed, so it is not retried and not reported as not executed.
 */
Test (dispatch, possibly_executed_request_is_not_retried)
{
  dispatch_play ("places p 2 4\n ask 1 once\n sent 1\n broken 1\n",
                 "send 1 p1\ncheck p1\ncancel 1\nanswer 1 broken 502\n");
}

/*
 * The connection was never made, or the server reports that it did not execute
 * the request. The request is then sent to the other endpoint. If that fails
 * in the same way, the client gets an error that permits a retry, with a retry
 * delay.
 */
Test (dispatch, unexecuted_request_is_reported)
{
  dispatch_play ("places p 2 4\n ask 1 once\n failed 1\n failed 1\n"
                 "run 200\n ask 2 once\n sent 2\n unrun 2\n"
                 "sent 2\n unrun 2\n",
                 "send 1 p1\nsend 1 p2\n"
                 "answer 1 overload 503 retry\n"
                 "send 2 p1\ncancel 2\nsend 2 p2\ncancel 2\n"
                 "answer 2 refused 503 retry\n");
}

/* An idempotent request that gets an error response is retried at the other
   endpoint. A second error response is forwarded unchanged. */
Test (dispatch, idempotent_request_is_retried_after_error)
{
  dispatch_play ("places p 2 4\n ask 1 safe\n sent 1\n error 1\n sent 1\n"
                 "error 1\n whole 1\n",
                 "send 1 p1\ncancel 1\nsend 1 p2\nend 1\n");
}

/* An idempotent request without a response is retried at another endpoint
   after its latency goal. A non-idempotent one waits until its deadline. */
Test (dispatch, overdue_idempotent_request_is_retried)
{
  dispatch_play ("places p 2 4\n ask 1 safe\n sent 1\n ask 2 once\n sent 2\n"
                 "run 240\n sent 1\n good 1\n whole 1\n run 2000\n",
                 "send 1 p1\nsend 2 p2\ncancel 1\nsend 1 p2\nend 1\n"
                 "cancel 2\nanswer 2 deadline 504\n");
}

/*
 * All slots are taken. One more request that can meet its goal is still sent.
 * A request whose client has already waited as long as its goal, and all later
 * ones, are queued for an eighth of their goal. They are then rejected as not
 * executed, early enough for the client to retry, except the first one that
 * gets a free slot.
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
 * A replica has lost a member, and none of its streams receives events. After
 * 400 ms they are resumed at the other replica, together with the requests
 * that wait for their first event. New requests go there too, and the stalled
 * replica gets none until it responds again.
 */
Test (dispatch, streams_leave_stalled_replica)
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
 * Another node still receives events from the replica, so the silence at this
 * node is not a stall and no stream is moved.
 */
Test (dispatch, peer_events_prevent_stall)
{
  dispatch_play ("streams s 2 8\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "run 300\n others s1 4 4\n run 300\n"
                 "others s1 4 4\n run 300\n",
                 "send 1 s1\npass 1\n");
}

/* The retry budget is shared: with a slack of 10, each of four nodes may make
   2 retries. */
Test (dispatch, retry_budget_is_shared)
{
  dispatch_play ("places p 4 4\n nodes 4\n"
                 "ask 1 safe\n sent 1\n error 1\n sent 1\n good 1\n whole 1\n"
                 "ask 2 safe\n sent 2\n error 2\n sent 2\n good 2\n whole 2\n"
                 "ask 3 safe\n sent 3\n error 3\n sent 3\n good 3\n whole 3\n",
                 "send 1 p3\ncancel 1\nsend 1 p4\nend 1\n"
                 "send 2 p1\ncancel 2\nsend 2 p2\nend 2\n"
                 "send 3 p3\ncancel 3\nanswer 3 broken 502\n");
}

/* The client disconnects: its attempt is canceled at once, also one that has
   not been sent. */
Test (dispatch, client_disconnects)
{
  dispatch_play ("streams s 1 1\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "gone 1\n ask 2 stream\n gone 2\n",
                 "send 1 s1\npass 1\ncancel 1\nsend 2 s1\ncancel 2\n");
}

/* A node that is shutting down rejects new requests as not executed. */
Test (dispatch, shutdown_rejects_new_requests)
{
  dispatch_play ("places p 1 4\n ask 1 once\n leave\n ask 2 once\n sent 1\n"
                 "good 1\n whole 1\n",
                 "send 1 p1\nanswer 2 leaving 503 retry\nend 1\n");
}

/* No usable endpoint is known: the request is rejected after part of its
   goal. */
Test (dispatch, no_endpoint)
{
  dispatch_play ("ask 1 stream\n run 400\n", "answer 1 no-server 503 retry\n");
}

/*
 * Guards against stall checks that never become due. Other streams receive
 * events more often than the tick interval; when the interval was measured
 * from the last event, it took seconds to detect a stall.
 */
Test (dispatch, ticks_stay_due_among_many_events)
{
  dispatch_play ("streams s 2 8\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "ask 2 stream\n sent 2\n good 2\n event 2\n"
                 "busy 1000 2\n",
                 "send 1 s1\npass 1\nsend 2 s2\npass 2\nstalled s1\n"
                 "cancel 1\nsend 1 s2 resume p0\n");
}

/* Guards against a suspension of this process that is taken for a stall of all
   endpoints: streams were moved off all of them, and aborted as none was
   left. */
Test (dispatch, suspension_is_not_a_stall)
{
  dispatch_play ("streams s 2 8\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "ask 2 stream\n sent 2\n good 2\n event 2\n"
                 "run 100\n pause 1500\n event 1\n event 2\n run 20\n"
                 "event 1\n event 2\n whole 1\n whole 2\n",
                 "send 1 s1\npass 1\nsend 2 s2\npass 2\nend 1\nend 2\n");
}

/* Guards against requests that are retried or given up when this process
   resumes after a suspension, although their responses are waiting in its
   sockets. */
Test (dispatch, response_during_suspension_is_delivered)
{
  dispatch_play ("places p 2 4\n ask 1 safe\n sent 1\n run 40\n pause 1000\n"
                 "good 1\n whole 1\n"
                 "ask 2 once\n sent 2\n run 40\n pause 4000\n good 2\n"
                 "whole 2\n",
                 "send 1 p1\nend 1\nsend 2 p1\nend 2\n");
}

/* Guards against a node that is short of CPU time and so never checks
   timeouts. */
Test (dispatch, every_second_late_tick_checks_timeouts)
{
  dispatch_play ("streams s 2 8\n ask 1 stream\n sent 1\n good 1\n event 1\n"
                 "run 100\n pause 600\n pause 600\n",
                 "send 1 s1\npass 1\nstalled s1\ncancel 1\n"
                 "send 1 s2 resume p0\n");
}

/* Guards against a request that is repeated by its client and crashes one
   server after the other, and against a retry delay sent with the final
   rejection, as a retry would be in vain. */
Test (dispatch, request_is_blocked_after_three_crashes)
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

/* Guards against blocking a request because its connections were reset or its
   servers could not be reached: neither proves a crash. */
Test (dispatch, reset_connection_is_not_a_crash)
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

/* Guards against counting the end of a draining server as a crash. */
Test (dispatch, draining_server_is_not_checked)
{
  dispatch_play ("streams s 1 4\n ask 1 stream 7\n sent 1\n closed s1\n"
                 "broken 1\n run 100\n",
                 "send 1 s1\ncancel 1\nanswer 1 broken 502\n");
}

/* Guards against a retry that crashes one more server: after two crashes, a
   request is not retried until its client sends it again. */
Test (dispatch, suspect_is_not_retried)
{
  dispatch_play ("streams s 4 4\n"
                 "ask 1 stream 7\n sent 1\n broken 1\n crashed s3\n"
                 "closed s3\n sent 1\n broken 1\n crashed s4\n closed s4\n"
                 "ask 2 stream 7\n sent 2\n broken 2\n",
                 "send 1 s3\ncheck s3\ncancel 1\nsend 1 s4\ncheck s4\n"
                 "cancel 1\nanswer 1 broken 502\nsend 2 s1\ncheck s1\n"
                 "cancel 2\nanswer 2 broken 502\n");
}

/* Guards against executing a request after it was blocked, whether it is
   queued here or at a server. A run that has produced events continues,
   because it has not crashed the server. */
Test (dispatch, block_ends_runs_without_events)
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
   process has ended, before its entry in the server list expires. */
Test (dispatch, ended_server_gets_no_requests)
{
  dispatch_play ("streams s 2 9\n ask 1 stream\n sent 1\n broken 1\n"
                 "crashed s1\n ask 2 stream\n ask 3 stream\n ask 4 stream\n"
                 "ask 5 stream\n ask 6 stream\n",
                 "send 1 s1\ncheck s1\ncancel 1\nsend 1 s2\nsend 2 s2\n"
                 "send 3 s2\nsend 4 s2\nsend 5 s2\nsend 6 s2\n");
}

/* Guards against the same at nodes that have not detected the end
   themselves. */
Test (dispatch, server_reported_ended_gets_no_requests)
{
  dispatch_play ("streams s 2 9\n ended s1\n ask 1 stream\n ask 2 stream\n"
                 "ask 3 stream\n ask 4 stream\n ask 5 stream\n run 1600\n"
                 "ask 6 stream\n ask 7 stream\n",
                 "send 1 s2\nsend 2 s2\nsend 3 s2\nsend 4 s2\nsend 5 s2\n"
                 "send 6 s1\nsend 7 s1\n");
}

/* Guards against clearing a suspect on an error response: a server also
   returns one if the request has only waited there. */
Test (dispatch, error_response_does_not_clear_suspect)
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
