/*
 * Request dispatcher of a serving node. The script language is described in
 * t/lib-dispatch.h.
 */
#include <criterion/criterion.h>

#include <stdio.h>

#include "serve/dispatch.h"
#include "t/lib-dispatch.h"

/* A stream and a plain request are sent, forwarded and completed. */
Test (dispatch, request_lifecycle)
{
  dispatch_play ("replicas s 1 4\n endpoints p 1 4\n"
                 "submit 1 stream\n sent 1\n ok 1\n event 1\n event 1\n"
                 "complete 1\n submit 2 once\n sent 2\n ok 2\n complete 2\n",
                 "send 1 s1\nforward 1\ncomplete 1\nsend 2 p1\ncomplete 2\n");
}

/*
 * A replica interrupts a stream after some events. The stream is resumed at
 * the other replica, with priority over queued requests. After a second
 * interruption the response is truncated.
 */
Test (dispatch, interrupted_stream_is_resumed_once)
{
  dispatch_play (
      "replicas s 2 4\n submit 1 stream\n sent 1\n ok 1\n event 1\n"
      "interrupted 1\n sent 1\n ok 1\n event 1\n interrupted 1\n",
      "send 1 s1\nforward 1\ncheck s1\ncancel 1\nsend 1 s2 resume p0\n"
      "forward 1\ncheck s2\ncancel 1\ntruncate 1 broken\n");
}

/*
 * The connection breaks after a non-idempotent request was sent. It may have
 * been executed, so it is not retried and not reported as not executed.
 */
Test (dispatch, possibly_executed_request_is_not_retried)
{
  dispatch_play ("endpoints p 2 4\n submit 1 once\n sent 1\n interrupted 1\n",
                 "send 1 p1\ncheck p1\ncancel 1\nerror 1 broken 502\n");
}

/*
 * The connection was never made, or the server reports that it did not execute
 * the request. The request is then sent to the other endpoint. If that fails
 * in the same way, the client gets an error that permits a retry, with a retry
 * delay.
 */
Test (dispatch, unexecuted_request_is_reported)
{
  dispatch_play (
      "endpoints p 2 4\n submit 1 once\n connect-failed 1\n connect-failed 1\n"
      "run 200\n submit 2 once\n sent 2\n not-executed 2\n"
      "sent 2\n not-executed 2\n",
      "send 1 p1\nsend 1 p2\n"
      "error 1 overload 503 retry\n"
      "send 2 p1\ncancel 2\nsend 2 p2\ncancel 2\n"
      "error 2 refused 503 retry\n");
}

/* An idempotent request that gets an error response is retried at the other
   endpoint. A second error response is forwarded unchanged. */
Test (dispatch, idempotent_request_is_retried_after_error)
{
  dispatch_play (
      "endpoints p 2 4\n submit 1 safe\n sent 1\n error 1\n sent 1\n"
      "error 1\n complete 1\n",
      "send 1 p1\ncancel 1\nsend 1 p2\ncomplete 1\n");
}

/* An idempotent request without a response gets a second attempt at another
   endpoint after its latency goal, and the first one ends when that has
   answered. A non-idempotent one waits until its deadline. */
Test (dispatch, overdue_idempotent_request_is_retried)
{
  dispatch_play (
      "endpoints p 2 4\n submit 1 safe\n sent 1\n submit 2 once\n sent 2\n"
      "run 240\n sent 1\n ok 1\n complete 1\n run 2000\n",
      "send 1 p1\nsend 2 p2\nsend 1 p2\ncancel 1.1\ncomplete 1\n"
      "cancel 2\nerror 2 deadline 504\n");
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
  dispatch_play (
      "replicas s 1 2\n submit 1 stream\n submit 2 stream\n"
      "submit-late 3 stream\n submit 4 stream\n submit 5 stream\n"
      "submit 6 stream\n sent 1\n ok 1\n event 1\n complete 1\n"
      "run 60\n",
      "send 1 s1\nsend 2 s1\nsend 4 s1\nforward 1\ncomplete 1\nsend 5 s1\n"
      "error 6 overload 503 retry\n"
      "error 3 overload 503 retry\n");
}

/*
 * A replica has lost a member, and none of its streams receives events. After
 * 400 ms they are resumed at the other replica, together with the requests
 * that wait for their first event; the first attempts end once the second ones
 * have events. New requests go there too, and the stalled replica gets none
 * until it responds again.
 */
Test (dispatch, streams_leave_stalled_replica)
{
  dispatch_play (
      "replicas s 2 8\n peer-load s2 4 0\n submit 1 stream\n sent 1\n"
      "ok 1\n event 1\n submit 2 stream\n sent 2\n ok 2\n"
      "event 2\n submit 3 stream\n sent 3\n peer-load s1 4 4\n"
      "run 300\n submit 4 stream\n run 400\n"
      "sent 3\n ok 3\n event 3\n sent 2\n ok 2\n event 2\n"
      "sent 1\n ok 1\n event 1\n submit 5 stream\n",
      "send 1 s1\nforward 1\nsend 2 s1\nforward 2\nsend 3 s1\n"
      "send 4 s2\nstalled s1\nsend 1 s2 resume p0\nsend 2 s2 resume p0\n"
      "send 3 s2\ncancel 3.1\nforward 3\ncancel 2.1\nforward 2\n"
      "cancel 1.1\nforward 1\nsend 5 s2\n");
}

/*
 * Another node still receives events from the replica, so the silence at this
 * node is not a stall and no stream is moved.
 */
Test (dispatch, peer_events_prevent_stall)
{
  dispatch_play ("replicas s 2 8\n submit 1 stream\n sent 1\n ok 1\n event 1\n"
                 "run 300\n peer-load s1 4 4\n run 300\n"
                 "peer-load s1 4 4\n run 300\n",
                 "send 1 s1\nforward 1\n");
}

/* The retry budget is shared: with a slack of 10, each of four nodes may make
   2 retries. */
Test (dispatch, retry_budget_is_shared)
{
  dispatch_play (
      "endpoints p 4 4\n nodes 4\n"
      "submit 1 safe\n sent 1\n error 1\n sent 1\n ok 1\n complete 1\n"
      "submit 2 safe\n sent 2\n error 2\n sent 2\n ok 2\n complete 2\n"
      "submit 3 safe\n sent 3\n error 3\n sent 3\n ok 3\n complete 3\n",
      "send 1 p3\ncancel 1\nsend 1 p4\ncomplete 1\n"
      "send 2 p1\ncancel 2\nsend 2 p2\ncomplete 2\n"
      "send 3 p3\ncancel 3\nerror 3 broken 502\n");
}

/* Guards against a node that takes the other nodes' parts of the retry budget
   as soon as its links to them are lost.  They still run, and spend them. */
Test (dispatch, lost_links_do_not_raise_the_retry_budget)
{
  dispatch_play (
      "endpoints p 4 4\n nodes 4\n"
      "submit 1 safe\n sent 1\n error 1\n sent 1\n ok 1\n complete 1\n"
      "submit 2 safe\n sent 2\n error 2\n sent 2\n ok 2\n complete 2\n"
      "nodes 1\n run 2000\n"
      "submit 3 safe\n sent 3\n error 3\n sent 3\n ok 3\n complete 3\n",
      "send 1 p3\ncancel 1\nsend 1 p4\ncomplete 1\n"
      "send 2 p1\ncancel 2\nsend 2 p2\ncomplete 2\n"
      "send 3 p3\ncancel 3\nerror 3 broken 502\n");
}

/* Guards against a node that takes the parts of nodes to which it has had no
   link for longer than the window, though their entries say that they run. */
Test (dispatch, unlinked_nodes_share_the_retry_budget)
{
  dispatch_play (
      "endpoints p 4 4\n nodes 1 4\n run 13000\n"
      "submit 1 safe\n sent 1\n error 1\n sent 1\n ok 1\n complete 1\n"
      "submit 2 safe\n sent 2\n error 2\n sent 2\n ok 2\n complete 2\n"
      "submit 3 safe\n sent 3\n error 3\n sent 3\n ok 3\n complete 3\n",
      "send 1 p3\ncancel 1\nsend 1 p4\ncomplete 1\n"
      "send 2 p1\ncancel 2\nsend 2 p2\ncomplete 2\n"
      "send 3 p3\ncancel 3\nerror 3 broken 502\n");
}

/* The client disconnects: its attempt is canceled at once, also one that has
   not been sent. */
Test (dispatch, client_disconnects)
{
  dispatch_play ("replicas s 1 1\n submit 1 stream\n sent 1\n ok 1\n event 1\n"
                 "client-gone 1\n submit 2 stream\n client-gone 2\n",
                 "send 1 s1\nforward 1\ncancel 1\nsend 2 s1\ncancel 2\n");
}

/* A node that is shutting down rejects new requests as not executed. */
Test (dispatch, shutdown_rejects_new_requests)
{
  dispatch_play (
      "endpoints p 1 4\n submit 1 once\n shutdown\n submit 2 once\n sent 1\n"
      "ok 1\n complete 1\n",
      "send 1 p1\nerror 2 leaving 503 retry\ncomplete 1\n");
}

/* No usable endpoint is known: the request is rejected after part of its
   goal. */
Test (dispatch, no_endpoint)
{
  dispatch_play ("submit 1 stream\n run 400\n",
                 "error 1 no-server 503 retry\n");
}

/*
 * Guards against stall checks that never become due. Other streams receive
 * events more often than the tick interval; when the interval was measured
 * from the last event, it took seconds to detect a stall.
 */
Test (dispatch, ticks_stay_due_among_many_events)
{
  dispatch_play ("replicas s 2 8\n submit 1 stream\n sent 1\n ok 1\n event 1\n"
                 "submit 2 stream\n sent 2\n ok 2\n event 2\n"
                 "run-events 1000 2\n sent 1\n ok 1\n event 1\n",
                 "send 1 s1\nforward 1\nsend 2 s2\nforward 2\nstalled s1\n"
                 "send 1 s2 resume p0\ncancel 1.1\nforward 1\n");
}

/* Guards against a stall that is seen in an old report of another node:
   streams were moved off all replicas when the sums of a large fleet stopped.
 */
Test (dispatch, late_report_is_not_a_stall)
{
  dispatch_play ("replicas s 2 8\n submit 1 stream\n sent 1\n"
                 "peer-load-late s1 6 1000\n run 100\n"
                 "peer-load-late s1 6 300\n run 200\n",
                 "send 1 s1\n");
}

/* Guards against a suspension of this process that is taken for a stall of all
   endpoints: streams were moved off all of them, and aborted as none was
   left. */
Test (dispatch, suspension_is_not_a_stall)
{
  dispatch_play (
      "replicas s 2 8\n submit 1 stream\n sent 1\n ok 1\n event 1\n"
      "submit 2 stream\n sent 2\n ok 2\n event 2\n"
      "run 100\n suspend 1500\n event 1\n event 2\n run 20\n"
      "event 1\n event 2\n complete 1\n complete 2\n",
      "send 1 s1\nforward 1\nsend 2 s2\nforward 2\ncomplete 1\ncomplete 2\n");
}

/* Guards against requests that are retried or given up when this process
   resumes after a suspension, although their responses are waiting in its
   sockets. */
Test (dispatch, response_during_suspension_is_delivered)
{
  dispatch_play (
      "endpoints p 2 4\n submit 1 safe\n sent 1\n run 40\n suspend 1000\n"
      "ok 1\n complete 1\n"
      "submit 2 once\n sent 2\n run 40\n suspend 4000\n ok 2\n"
      "complete 2\n",
      "send 1 p1\ncomplete 1\nsend 2 p1\ncomplete 2\n");
}

/* Guards against a node that is short of CPU time and so never checks
   timeouts. */
Test (dispatch, every_second_late_tick_checks_timeouts)
{
  dispatch_play ("replicas s 2 8\n submit 1 stream\n sent 1\n ok 1\n event 1\n"
                 "run 100\n suspend 600\n suspend 600\n"
                 "sent 1\n ok 1\n event 1\n",
                 "send 1 s1\nforward 1\nstalled s1\n"
                 "send 1 s2 resume p0\ncancel 1.1\nforward 1\n");
}

/* Guards against a request that is repeated by its client and crashes one
   server after the other, and against a retry delay sent with the final
   rejection, as a retry can't succeed. */
Test (dispatch, request_is_blocked_after_three_crashes)
{
  dispatch_play ("replicas s 4 4\n"
                 "submit 1 stream 7\n sent 1\n interrupted 1\n crashed s3\n"
                 "close s3\n sent 1\n interrupted 1\n crashed s4\n close s4\n"
                 "submit 2 stream 7\n sent 2\n interrupted 2\n crashed s1\n"
                 "close s1\n submit 3 stream 7\n run 400\n submit 4 stream 7\n"
                 "submit 5 stream 8\n",
                 "send 1 s3\ncheck s3\ncancel 1\nsend 1 s4\ncheck s4\n"
                 "cancel 1\nerror 1 broken 502\nsend 2 s1\ncheck s1\n"
                 "cancel 2\nerror 2 broken 502\n"
                 "error 3 crashes-servers 503 retry\n"
                 "error 4 crashes-servers 503\nsend 5 s2\n");
}

/* Guards against blocking a request that may have run for as long as this
   process was suspended before its server crashed. */
Test (dispatch, suspension_counts_as_run_time)
{
  dispatch_play ("replicas s 5 4\n"
                 "submit 1 stream 7\n sent 1\n interrupted 1\n crashed s3\n"
                 "close s3\n sent 1\n interrupted 1\n crashed s5\n close s5\n"
                 "submit 2 stream 7\n sent 2\n ok 2\n event 2\n"
                 "suspend 3000\n interrupted 2\n crashed s1\n close s1\n"
                 "submit 3 stream 7\n run 400\n submit 4 stream 7\n",
                 "send 1 s3\ncheck s3\ncancel 1\nsend 1 s5\ncheck s5\n"
                 "cancel 1\nerror 1 broken 502\nsend 2 s1\nforward 2\n"
                 "check s1\ncancel 2\ntruncate 2 broken\n"
                 "send 3 s2\nsend 4 s4\n");
}

/* Guards against blocking a request because its connections were reset or its
   servers could not be reached: neither proves a crash. */
Test (dispatch, reset_connection_is_not_a_crash)
{
  dispatch_play ("replicas s 3 4\n"
                 "submit 1 stream 7\n sent 1\n interrupted 1\n alive s3\n"
                 "sent 1\n interrupted 1\n unknown s1\n"
                 "submit 2 stream 7\n sent 2\n interrupted 2\n alive s3\n"
                 "sent 2\n interrupted 2\n alive s1\n run 400\n"
                 "submit 3 stream 7\n",
                 "send 1 s3\ncheck s3\ncancel 1\nsend 1 s1\ncheck s1\n"
                 "cancel 1\nerror 1 broken 502\nsend 2 s3\ncheck s3\n"
                 "cancel 2\nsend 2 s1\ncheck s1\ncancel 2\n"
                 "error 2 broken 502\nsend 3 s1\n");
}

/* Guards against counting the end of a draining server as a crash. */
Test (dispatch, draining_server_is_not_checked)
{
  dispatch_play ("replicas s 1 4\n submit 1 stream 7\n sent 1\n close s1\n"
                 "interrupted 1\n run 100\n",
                 "send 1 s1\ncancel 1\nerror 1 broken 502\n");
}

/* Guards against a retry that crashes one more server: after two crashes, a
   request is not retried until its client sends it again. */
Test (dispatch, suspect_is_not_retried)
{
  dispatch_play ("replicas s 4 4\n"
                 "submit 1 stream 7\n sent 1\n interrupted 1\n crashed s3\n"
                 "close s3\n sent 1\n interrupted 1\n crashed s4\n close s4\n"
                 "submit 2 stream 7\n sent 2\n interrupted 2\n",
                 "send 1 s3\ncheck s3\ncancel 1\nsend 1 s4\ncheck s4\n"
                 "cancel 1\nerror 1 broken 502\nsend 2 s1\ncheck s1\n"
                 "cancel 2\nerror 2 broken 502\n");
}

/* Guards against executing a request after it was blocked, whether it is
   queued here or at a server. A run that has produced events continues,
   because it has not crashed the server. */
Test (dispatch, block_ends_runs_without_events)
{
  dispatch_play ("replicas s 1 2\n"
                 "submit 1 stream 7\n sent 1\n ok 1\n event 1\n"
                 "submit 2 stream 7\n sent 2\n"
                 "submit 3 stream 7\n sent 3\n submit 4 stream 7\n"
                 "submit 5 stream 8\n block 7\n event 1\n complete 1\n",
                 "send 1 s1\nforward 1\nsend 2 s1\nsend 3 s1\n"
                 "error 4 crashes-servers 503\n"
                 "cancel 3\nerror 3 broken 502\n"
                 "send 5 s1\n"
                 "cancel 2\nerror 2 broken 502\n"
                 "complete 1\n");
}

/* Guards against requests that are lost on connections to a server whose
   process has ended, before its entry in the server list expires. */
Test (dispatch, ended_server_gets_no_requests)
{
  dispatch_play (
      "replicas s 2 9\n submit 1 stream\n sent 1\n interrupted 1\n"
      "crashed s1\n submit 2 stream\n submit 3 stream\n submit 4 stream\n"
      "submit 5 stream\n submit 6 stream\n",
      "send 1 s1\ncheck s1\ncancel 1\nsend 1 s2\nsend 2 s2\n"
      "send 3 s2\nsend 4 s2\nsend 5 s2\nsend 6 s2\n");
}

/* Guards against requests to a server whose end only another node has
   detected. */
Test (dispatch, server_reported_ended_gets_no_requests)
{
  dispatch_play (
      "replicas s 2 9\n peer-ended s1\n submit 1 stream\n submit 2 stream\n"
      "submit 3 stream\n submit 4 stream\n submit 5 stream\n run 1600\n"
      "submit 6 stream\n submit 7 stream\n",
      "send 1 s2\nsend 2 s2\nsend 3 s2\nsend 4 s2\nsend 5 s2\n"
      "send 6 s1\nsend 7 s1\n");
}

/* Guards against clearing a suspect on an error response: a server also
   returns one if the request has only waited there. */
Test (dispatch, error_response_does_not_clear_suspect)
{
  dispatch_play ("endpoints p 5 4\n"
                 "submit 1 safe 7\n sent 1\n interrupted 1\n crashed p3\n"
                 "close p3\n sent 1\n interrupted 1\n crashed p5\n close p5\n"
                 "submit 2 once 7\n sent 2\n error 2\n complete 2\n"
                 "submit 3 once 7\n sent 3\n interrupted 3\n crashed p1\n"
                 "run 400\n submit 4 once 7\n",
                 "send 1 p3\ncheck p3\ncancel 1\nsend 1 p5\ncheck p5\n"
                 "cancel 1\nerror 1 broken 502\nsend 2 p1\ncomplete 2\n"
                 "send 3 p1\ncheck p1\ncancel 3\nerror 3 broken 502\n"
                 "error 4 crashes-servers 503\n");
}

/* Guards against one hash for two endpoints whose servers have short ids and
   were started within a few ms: requests for one are sent to the other. */
Test (dispatch, endpoints_of_short_ids_have_different_hashes)
{
  static const int64_t started_at = 1769777003000;
  char id[2][16];
  int same = 0;

  for (int i = 0; i < 1 << 16; i++)
    {
      int from = i & 15, to = i >> 4 & 15, ms = i >> 8 & 15,
          generation = i >> 12;
      snprintf (id[0], sizeof id[0], "e%d", from);
      snprintf (id[1], sizeof id[1], "e%d", to);
      if (from != to
          && dsp_endpoint_hash (str_from (id[0]), started_at, 1000)
                 == dsp_endpoint_hash (str_from (id[1]), started_at + ms,
                                       1000 + generation))
        same++;
    }
  cr_expect_eq (same, 0, "%d pairs have one hash", same);
}
