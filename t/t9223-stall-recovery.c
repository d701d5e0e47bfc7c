/*
 * Endpoints that have stalled and go on: when a node that has left them sends
 * requests there again.  The scripts are those of t/lib-dispatch.h.
 */
#include <criterion/criterion.h>

#include "base/str.h"
#include "t/lib-dispatch.h"

TestSuite (stall_recovery);

/** The only stream of this node stalls at the only replica, and its client
    leaves. */
#define LEFT                                                                  \
  "replicas s 1 8\n submit 1 stream\n sent 1\n ok 1\n event 1\n run 940\n"    \
  "client-gone 1\n run 100\n"

/* Guards against a node that rejects requests for five seconds because a
   replica was silent for one: events at another node show that it goes on. */
Test (stall_recovery, events_at_another_node_end_a_stall)
{
  dispatch_play (LEFT "peer-load s1 4 4\n submit 2 stream\n",
                 "send 1 s1\nforward 1\nstalled s1\ncancel 1\nsend 2 s1\n");
}

/* Guards against a stall that ends by a late report of events before it. */
Test (stall_recovery, events_before_the_stall_do_not_end_it)
{
  dispatch_play (LEFT "peer-load-late s1 4 300\n submit 2 stream\n"
                      "run 100\n",
                 "send 1 s1\nforward 1\nstalled s1\ncancel 1\n"
                 "error 2 no-server 503 retry\n");
}

/* Guards against a replica that is never used again after a stall because no
   route allows its requests a second attempt: a request is sent as a trial
   nevertheless, one at a time. */
Test (stall_recovery, stall_ends_without_retryable_requests)
{
  static const char *const routes[] = { "tell", "stream1" };

  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    {
      struct buf script = BUF_INIT;
      buf_addf (&script,
                "replicas s 1 8\n submit 1 %s\n sent 1\n ok 1\n event 1\n"
                "run 940\n client-gone 1\n run 4000\n submit 2 %s\n"
                "run 60\n run 1000\n submit 3 %s\n submit 4 %s\n run 60\n"
                "sent 3\n ok 3\n event 3\n submit 5 %s\n",
                routes[i], routes[i], routes[i], routes[i], routes[i]);
      dispatch_play (buf_c (&script),
                     "send 1 s1\nforward 1\nstalled s1\ncancel 1\n"
                     "error 2 no-server 503 retry\nsend 3 s1\n"
                     "error 4 no-server 503 retry\nforward 3\nsend 5 s1\n");
      buf_free (&script);
    }
}

/** Server p1 of two is ejected; p2 takes all requests. */
#define EJECTED                                                               \
  "endpoints p 2 8\n zone p2 y\n evacuate y\n" LOSE ("1") LOSE ("2")          \
      LOSE ("3") "return y\n"
#define LOSE(id) "submit " id " once1\n sent " id "\n interrupted " id "\n"
#define USE(id)                                                               \
  "submit " id " once1\n sent " id "\n ok " id "\n complete " id "\n"

/* Guards against an ejected server that is never used again because no route
   allows its requests a second attempt. */
Test (stall_recovery, ejection_ends_without_retryable_requests)
{
  dispatch_play (EJECTED "run 5000\n" USE ("4") "run 20000\n" USE ("5"),
                 "send 1 p1\ncheck p1\ncancel 1\nerror 1 broken 502\n"
                 "send 2 p1\ncancel 2\nerror 2 broken 502\n"
                 "send 3 p1\ncancel 3\nerror 3 broken 502\n"
                 "send 4 p2\ncomplete 4\nsend 5 p1\ncomplete 5\n");
}

/** Six streams fill three replicas of two places, and their servers send an
    event every 100 ms, but for the server of streams 2 and 4. */
#define FULL                                                                  \
  "replicas s 3 1\n submit 1 stream\n submit 2 stream\n submit 3 stream\n"    \
  "submit 4 stream\n run 20\n submit 5 stream\n submit 6 stream\n" SIX (      \
      "sent") SIX ("ok") SIX ("event")
#define SIX(x) x " 1\n" x " 2\n" x " 3\n" x " 4\n" x " 5\n" x " 6\n"
#define LIVE "run 100\n event 1\n event 3\n event 5\n event 6\n"

/* Guards against a stream that is cut off because a hedged one, which may go
   on at its own server, takes the place that becomes free. */
Test (stall_recovery, stream_without_an_attempt_comes_first)
{
  dispatch_play (
      FULL LIVE LIVE LIVE LIVE LIVE LIVE LIVE LIVE LIVE LIVE
      "interrupted 6\n complete 5\n run 100\n",
      "send 1 s3\nsend 2 s1\nsend 3 s2\nsend 4 s1\nsend 5 s2\n"
      "send 6 s3\n" SIX ("forward") "stalled s1\ncheck s3\ncancel 6\n"
                                    "complete 5\nsend 6 s2 resume p0\n"
                                    "send 2 s3 resume p0\n");
}

/* Guards against clients that are told to stay away too long: a stream that
   waits for a second attempt counted as one that waits for a slot, at each
   node. */
Test (stall_recovery, waiting_hedge_does_not_delay_clients)
{
  dispatch_play (
      "delays\n nodes 2\n" FULL LIVE LIVE LIVE LIVE LIVE LIVE LIVE LIVE LIVE
          LIVE "complete 5\n submit-late 7 stream\n"
      "run 60\n",
      "send 1 s3\nsend 2 s1\nsend 3 s2\nsend 4 s1\nsend 5 s2\n"
      "send 6 s3\n" SIX ("forward") "stalled s1\ncomplete 5\n"
                                    "send 2 s2 resume p0\n"
                                    "error 7 overload 503 retry 500\n");
}

/* Guards against a request that waits at a stalled server until its deadline,
   as it was still connecting when the stall was found. */
Test (stall_recovery, request_sent_after_the_stall_is_hedged)
{
  dispatch_play ("replicas s 2 8\n submit 1 stream\n submit 2 stream\n"
                 "sent 1\n ok 1\n event 1\n sent 2\n ok 2\n event 2\n"
                 "run-events 880 2\n submit 3 stream\n run-events 60 2\n"
                 "client-gone 1\n sent 3\n run-events 400 2\n complete 2\n"
                 "submit 4 stream\n sent 4\n ok 4\n event 4\n"
                 "run-events 900 4\n",
                 "send 1 s1\nsend 2 s2\nforward 1\nforward 2\nsend 3 s1\n"
                 "stalled s1\nsend 1 s2 resume p0\ncancel 1\ncancel 1.1\n"
                 "complete 2\nsend 4 s2\nforward 4\nsend 3 s2\n");
}

/* Guards against denials that are counted again when one retry becomes free
   and two streams that were denied one ask for it. */
Test (stall_recovery, denials_count_once)
{
  dispatch_play (
      "nodes 40\n replicas s 2 16\n submit 1 stream\n submit 2 stream\n"
      "submit 3 stream\n submit 4 stream\n submit 5 stream\n"
      "submit 6 stream\n submit 7 stream\n submit 8 stream\n" SIX ("sent")
          SIX ("ok") SIX ("event") "run-events 640 2\n denied\n"
                                   "submit 9 stream\n submit 10 stream\n"
                                   "submit 11 stream\n submit 12 stream\n"
                                   "submit 13 stream\n submit 14 stream\n"
                                   "run-events 100 2\n denied\n",
      "send 1 s1\nsend 2 s2\nsend 3 s1\nsend 4 s2\nsend 5 s1\nsend 6 s2\n"
      "send 7 s1\nsend 8 s2\n" SIX (
          "forward") "stalled s1\nsend 1 s2 resume p0\ndenied 2\n"
                     "send 9 s2\nsend 10 s2\nsend 11 s2\nsend 12 s2\n"
                     "send 13 s2\nsend 14 s2\nsend 3 s2 resume p0\n"
                     "denied 2\n");
}

/* Guards against a second attempt that is begun after its reason has gone: the
   replica sends events to another stream again when a place becomes free. */
Test (stall_recovery, queued_hedge_ends_with_the_stall)
{
  dispatch_play (FULL LIVE LIVE LIVE LIVE LIVE LIVE LIVE LIVE LIVE LIVE
                 "event 4.1\n run 20\n complete 5\n run 20\n",
                 "send 1 s3\nsend 2 s1\nsend 3 s2\nsend 4 s1\nsend 5 s2\n"
                 "send 6 s3\n" SIX ("forward") "stalled s1\ncomplete 5\n");
}

/* Guards against a stream that uses up its second attempt at a server that is
   silent as well, which doesn't show as it has no stream: one that has sent an
   event comes first, even if it has more load. */
Test (stall_recovery, hedge_prefers_a_server_that_was_heard)
{
  dispatch_play ("replicas s 3 8\n peer-load s2 9 0\n submit 1 stream\n"
                 "sent 1\n ok 1\n event 1\n submit 2 stream\n sent 2\n ok 2\n"
                 "event 2\n peer-load s2 0 0\n run-events 940 2\n",
                 "send 1 s1\nforward 1\nsend 2 s3\nforward 2\nstalled s1\n"
                 "send 1 s3 resume p0\n");
}
