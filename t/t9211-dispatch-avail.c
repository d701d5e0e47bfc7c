/*
 * Request dispatcher with backend servers that ask for a pause or announce
 * their shutdown. The script language is described in t/lib-dispatch.h.
 */
#include <criterion/criterion.h>

#include "base/str.h"
#include "t/lib-dispatch.h"

/* Guards against a server that gets first attempts in a pause. */
Test (dispatch_avail, paused_server_gets_no_first_attempts)
{
  dispatch_play (
      "endpoints p 2 4\n submit 1 once\n sent 1\n pause p1 3000\n"
      "not-executed 1\n sent 1\n complete 1\n run 100\n"
      "submit 2 once\n sent 2\n submit 3 once\n sent 3\n"
      "complete 2\n complete 3\n run 2880\n submit 4 once\n sent 4\n"
      "run 20\n submit 5 once\n",
      "send 1 p1\ncancel 1\nsend 1 p2\ncomplete 1\n"
      "send 2 p2\nsend 3 p2\ncomplete 2\ncomplete 3\n"
      "send 4 p2\nsend 5 p1\n");
}

/* Guards against a server that gets second attempts in a pause.  As no other
   endpoint is left, the client gets its response without a wait. */
Test (dispatch_avail, paused_server_gets_no_repeats)
{
  dispatch_play ("endpoints p 2 4\n delays\n pause p2 3000\n submit 1 safe\n"
                 "sent 1\n interrupted 1\n",
                 "send 1 p1\ncheck p1\ncancel 1\nerror 1 broken 502\n");
  dispatch_play ("endpoints p 2 4\n delays\n pause p2 3000\n submit 1 once\n"
                 "sent 1\n not-executed 1\n",
                 "send 1 p1\ncancel 1\nerror 1 overload 503 retry 150\n");
}

/* Guards against a stream that is resumed at a paused server, and against one
   that is resumed at a leaving server. */
Test (dispatch_avail, stream_is_resumed_at_available_server_only)
{
  dispatch_play (
      "replicas s 2 4\n submit 1 stream\n sent 1\n ok 1\n event 1\n"
      "pause s2 3000\n interrupted 1\n",
      "send 1 s1\nforward 1\ncheck s1\ncancel 1\ntruncate 1 broken\n");
  dispatch_play (
      "replicas s 3 4\n leave s2\n submit 1 stream\n sent 1\n ok 1\n event 1\n"
      "interrupted 1\n",
      "send 1 s1\nforward 1\ncheck s1\ncancel 1\nsend 1 s3 resume p0\n");
}

/* Guards against a request that waits for a connection and is sent although
   the server has asked for a pause meanwhile, or leaves. */
Test (dispatch_avail, request_awaiting_connection_is_moved)
{
  dispatch_play ("endpoints p 2 4\n submit 1 once\n pause p1 3000\n sent 1\n"
                 "sent 1\n complete 1\n",
                 "send 1 p1\ncancel 1\nsend 1 p2\ncomplete 1\n");
  dispatch_play ("endpoints p 2 4\n submit 1 once\n leave p1\n sent 1\n"
                 "sent 1\n complete 1\n",
                 "send 1 p1\ncancel 1\nsend 1 p2\ncomplete 1\n");
  dispatch_play ("endpoints p 1 4\n delays\n submit 1 once\n pause p1 3000\n"
                 "sent 1\n",
                 "send 1 p1\ncancel 1\nerror 1 servers-paused 503 retry"
                 " 3000\n");
}

/* Guards against a queued request that waits for a server that will not take
   it in time.  One whose pause ends in time is waited for. */
Test (dispatch_avail, queued_request_does_not_wait_in_vain)
{
  dispatch_play ("replicas s 1 1\n delays\n submit 1 stream\n sent 1\n ok 1\n"
                 "submit 2 stream\n sent 2\n submit 3 stream\n pause s1 3000\n"
                 "run 20\n",
                 "send 1 s1\nsend 2 s1\n"
                 "error 3 servers-paused 503 retry 2980\n");
  dispatch_play ("replicas s 1 2\n pause s1 40\n submit 1 stream\n run 20\n"
                 "run 20\n",
                 "send 1 s1\n");
}

/* Guards against clients that wait although all servers are paused, and
   against clients that are told to return at the same moment, or too early. */
Test (dispatch_avail, all_paused_clients_are_told_when_to_return)
{
  dispatch_play ("endpoints p 2 4\n delays\n submit 1 once\n sent 1\n run 90\n"
                 "complete 1\n pause p1 3000\n pause p2 4000\n"
                 "submit 2 once\n submit 3 once\n submit 4 once\n"
                 "nodes 8\n submit 5 once\n submit 6 once\n run 1000\n"
                 "submit 7 once\n",
                 "send 1 p1\ncomplete 1\n"
                 "error 2 servers-paused 503 retry 3000\n"
                 "error 3 servers-paused 503 retry 3012\n"
                 "error 4 servers-paused 503 retry 3024\n"
                 "error 5 servers-paused 503 retry 3036\n"
                 "error 6 servers-paused 503 retry 3125\n"
                 "error 7 servers-paused 503 retry 2214\n");
}

/* Guards against a rejection whose retry delay is shorter than the pause of
   the only server. */
Test (dispatch_avail, rejected_request_is_told_the_end_of_the_pause)
{
  dispatch_play ("endpoints p 1 4\n delays\n submit 1 once\n sent 1\n"
                 "pause p1 2500\n not-executed 1\n",
                 "send 1 p1\ncancel 1\n"
                 "error 1 servers-paused 503 retry 2500\n");
}

/* Guards against new requests to a leaving server; those that it runs go on.
   Its exit is no crash, so nothing is checked. */
Test (dispatch_avail, leaving_server_finishes_its_requests)
{
  dispatch_play (
      "replicas s 2 4\n submit 1 stream\n sent 1\n ok 1\n event 1\n leave s1\n"
      "submit 2 stream\n sent 2\n submit 3 stream\n sent 3\n event 1\n"
      "interrupted 1\n",
      "send 1 s1\nforward 1\nsend 2 s2\nsend 3 s2\n"
      "cancel 1\nsend 1 s2 resume p0\n");
}

/* Guards against a stream being cut because its server's entry expired, or a
   configuration no longer holds its service. */
Test (dispatch_avail, unlisted_server_finishes_its_requests)
{
  dispatch_play (
      "replicas s 2 4\n submit 1 stream\n sent 1\n ok 1\n event 1\n"
      "submit 2 stream\n sent 2\n ok 2\n event 2\n unlist s1\n unlist s2\n"
      "run-events 300 1\n submit 3 stream\n event 2\n complete 2\n"
      "run 200\n event 1\n complete 1\n",
      "send 1 s1\nforward 1\nsend 2 s2\nforward 2\ncomplete 2\n"
      "error 3 no-server 503 retry\ncomplete 1\n");
}

/* Guards against clients that wait although all servers are leaving. */
Test (dispatch_avail, all_leaving_clients_are_rejected_at_once)
{
  dispatch_play ("endpoints p 2 4\n delays\n leave p1\n leave p2\n"
                 "submit 1 once\n",
                 "error 1 no-server 503 retry 2000\n");
}

/* Guards against a pause that is forgotten when the server leads the next
   generation of its replica. */
Test (dispatch_avail, pause_outlasts_the_generation)
{
  dispatch_play ("replicas s 1 4\n delays\n pause s1 3000\n form-again s1\n"
                 "submit 1 stream\n run 3000\n form-again s1\n leave s1\n"
                 "form-again s1\n submit 2 stream\n",
                 "error 1 servers-paused 503 retry 3000\n"
                 "error 2 no-server 503 retry 2000\n");
}

/* Guards against a trial request to an ejected server in its pause, and
   against the choice of last resort among endpoints that failed. */
Test (dispatch_avail, paused_server_gets_no_trial_requests)
{
  dispatch_play (
      "endpoints p 2 4\n peer-load p2 3 0\n submit 1 once\n sent 1\n"
      "interrupted 1\n submit 2 once\n sent 2\n interrupted 2\n"
      "submit 3 once\n sent 3\n interrupted 3\n alive p1\n run 1000\n"
      "pause p1 2000\n run 1500\n submit 4 safe\n sent 4\n complete 4\n"
      "close p2\n submit 5 safe\n run 500\n submit 6 safe\n",
      "send 1 p1\ncheck p1\ncancel 1\nerror 1 broken 502\n"
      "send 2 p1\ncancel 2\nerror 2 broken 502\n"
      "send 3 p1\ncancel 3\nerror 3 broken 502\n"
      "send 4 p2\ncomplete 4\nerror 5 servers-paused 503 retry\n"
      "send 6 p1\n");
}

/* Guards against repeats that are charged to the budget although no endpoint
   is left for them: a later request would be denied its repeat. */
Test (dispatch_avail, vain_repeats_cost_no_budget)
{
  struct buf script = BUF_INIT, expected = BUF_INIT;

  buf_add_c (&script, "endpoints p 2 4\n pause p2 500\n");
  for (int i = 1; i <= 10; i++)
    {
      buf_addf (&script,
                "submit %d once\n sent %d\n not-executed %d\n run 20\n", i, i,
                i);
      buf_addf (&expected,
                "send %d p1\ncancel %d\nerror %d overload 503 retry\n", i, i,
                i);
    }
  buf_add_c (&script, "run 300\n peer-load p2 3 0\n submit 11 once\n sent 11\n"
                      "not-executed 11\n");
  buf_add_c (&expected, "send 11 p1\ncancel 11\nsend 11 p2\n");
  dispatch_play (buf_c (&script), buf_c (&expected));
  buf_free (&script);
  buf_free (&expected);
}
