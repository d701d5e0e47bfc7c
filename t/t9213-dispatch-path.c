/*
 * Request dispatcher of a node that reaches no backend server of a service.
 * The script language is described in t/lib-dispatch.h.
 */
#include <criterion/criterion.h>

#include "base/str.h"
#include "t/lib-dispatch.h"

#define THREE_CONNECTIONS_FAIL                                                \
  "endpoints p 3 4\n proxies 2\n submit 1 once\n connect-failed 1\n"          \
  "connect-failed 1\n connect-failed 1\n"

/* Guards against a request that is refused although another node reaches the
   servers, and against one that tries them again after they all failed. */
Test (dispatch_path, request_is_sent_through_another_node)
{
  dispatch_play (THREE_CONNECTIONS_FAIL
                 "sent 1\n ok 1\n complete 1\n submit 2 safe\n",
                 "send 1 p3\nsend 1 p1\nsend 1 p2\nsend 1 10.0.0.2:80\n"
                 "complete 1\nsend 2 10.0.0.2:80\n");
}

/* Guards against requests that go to and fro between nodes without servers. */
Test (dispatch_path, nodes_do_not_send_on_what_another_sent)
{
  dispatch_play ("endpoints p 3 4\n proxies 2\n proxied\n submit 1 once\n"
                 "connect-failed 1\n connect-failed 1\n connect-failed 1\n"
                 "submit 2 safe\n",
                 "send 1 p3\nsend 1 p1\nsend 1 p2\n"
                 "error 1 no-connection 503 retry\n"
                 "error 2 no-connection 503 retry\n");
  dispatch_play ("endpoints p 3 4\n proxies 2 cut\n submit 1 once\n"
                 "connect-failed 1\n connect-failed 1\n connect-failed 1\n",
                 "send 1 p3\nsend 1 p1\nsend 1 p2\n"
                 "error 1 no-connection 503 retry\n");
}

/* Guards against a request that runs twice because another node broke off
   after it had received it. */
Test (dispatch_path, possibly_executed_request_is_not_sent_again)
{
  dispatch_play (THREE_CONNECTIONS_FAIL "sent 1\n interrupted 1\n",
                 "send 1 p3\nsend 1 p1\nsend 1 p2\nsend 1 10.0.0.2:80\n"
                 "cancel 1\nerror 1 broken 502\n");
}

/* Guards against more attempts than the route allows when other nodes reject
   the request, each of which may have offered it to a server. */
Test (dispatch_path, rejected_request_keeps_to_its_attempts)
{
  dispatch_play (THREE_CONNECTIONS_FAIL
                 "sent 1\n not-executed 1\n sent 1\n not-executed 1\n",
                 "send 1 p3\nsend 1 p1\nsend 1 p2\nsend 1 10.0.0.2:80\n"
                 "cancel 1\nsend 1 10.0.0.1:80\ncancel 1\n"
                 "error 1 refused 503 retry\n");
}

/* Guards against a node that makes several attempts at what another node sent,
   which counts one. */
Test (dispatch_path, proxied_request_has_one_attempt)
{
  dispatch_play ("endpoints p 3 4\n proxied\n submit 1 safe\n sent 1\n"
                 "not-executed 1\n",
                 "send 1 p3\ncancel 1\nerror 1 refused 503 retry\n");
}

/* Guards against a request that still runs behind another node after its
   client has left. */
Test (dispatch_path, disconnect_cancels_the_attempt)
{
  dispatch_play (THREE_CONNECTIONS_FAIL "sent 1\n client-gone 1\n",
                 "send 1 p3\nsend 1 p1\nsend 1 p2\nsend 1 10.0.0.2:80\n"
                 "cancel 1\n");
}

/* Guards against a node that goes on sending its requests through others after
   it reaches a server again. */
Test (dispatch_path, servers_are_used_again)
{
  dispatch_play (THREE_CONNECTIONS_FAIL
                 "sent 1\n run 320\n alive p3\n submit 2 once\n",
                 "send 1 p3\nsend 1 p1\nsend 1 p2\nsend 1 10.0.0.2:80\n"
                 "check p3\nsend 2 p1\n");
}

/* Guards against servers that are taken for ended because one node's
   connections to all of them are reset and refused. */
Test (dispatch_path, resets_of_all_paths_end_no_process)
{
  dispatch_play ("endpoints p 3 4\n proxies 1\n"
                 "submit 1 safe\n sent 1\n submit 2 safe\n sent 2\n"
                 "submit 3 safe\n sent 3\n"
                 "interrupted 1\n interrupted 2\n interrupted 3\n"
                 "refused p1\n refused p2\n refused p3\n run 600\n"
                 "proxies 1 cut\n own-ended\n",
                 "send 1 p3\nsend 2 p1\nsend 3 p2\n"
                 "check p3\ncancel 1\nsend 1 p1\n"
                 "check p1\ncancel 2\nsend 2 p3\n"
                 "check p2\ncancel 3\nsend 3 p1\n"
                 "check p3\ncheck p1\n");
}

/* Guards against a crash that is found late: another server goes on, so that
   the paths work. */
Test (dispatch_path, refused_server_has_ended_if_others_answer)
{
  dispatch_play ("endpoints p 3 4\n proxies 1\n"
                 "submit 1 safe\n sent 1\n submit 2 safe\n sent 2\n"
                 "interrupted 1\n refused p3\n own-ended\n run 20\n ok 2\n"
                 "run 20\n own-ended\n",
                 "send 1 p3\nsend 2 p1\ncheck p3\ncancel 1\nsend 1 p2\n"
                 "ended p3\n");
}

/* Guards against a crash that is never found on a node without other requests:
   another server is checked. */
Test (dispatch_path, another_server_is_checked_to_confirm_a_crash)
{
  dispatch_play ("endpoints p 3 4\n proxies 1\n"
                 "submit 1 once\n sent 1\n interrupted 1\n run 20\n"
                 "refused p3\n own-ended\n alive p1\n own-ended\n",
                 "send 1 p3\ncheck p3\ncancel 1\nerror 1 broken 502\n"
                 "ended p3\n");
}

/* Guards against crashes that are found too late to block the request: it has
   crashed several servers at the same time, also those that are checked to
   confirm a crash. */
Test (dispatch_path, crashed_servers_do_not_delay_the_confirmation)
{
  dispatch_play ("endpoints p 6 4\n"
                 "submit 1 once\n sent 1\n interrupted 1\n"
                 "refused p3\n refused p1\n refused p6\n refused p2\n"
                 "own-ended\n alive p5\n own-ended\n",
                 "send 1 p3\ncheck p3\ncancel 1\nerror 1 broken 502\n"
                 "check p6\ncheck p2\ncheck p5\nended p3\n");
}

/* Guards against a leader that hands over because all servers have failed, for
   which no other node is better placed, and against one that stays leader
   although only this node doesn't reach them. */
Test (dispatch_path, node_is_cut_off_if_another_reaches_the_service)
{
  dispatch_play (THREE_CONNECTIONS_FAIL
                 "cut-off app\n cut-off lm\n proxies 2 cut\n cut-off app\n",
                 "send 1 p3\nsend 1 p1\nsend 1 p2\nsend 1 10.0.0.2:80\n"
                 "cut-off yes\ncut-off no\ncut-off no\n");
}

/* Guards against a node that goes on telling others of ended servers when it
   no longer reaches any. */
Test (dispatch_path, node_without_paths_reports_no_ended_server)
{
  dispatch_play ("endpoints p 3 4\n proxies 1\n"
                 "submit 1 once\n sent 1\n interrupted 1\n run 20\n"
                 "refused p3\n alive p1\n own-ended\n"
                 "refused p1\n refused p2\n refused p3\n own-ended\n"
                 "proxies 1 cut\n own-ended\n",
                 "send 1 p3\n"
                 "check p3\n"
                 "cancel 1\n"
                 "error 1 broken 502\n"
                 "ended p3\n"
                 "ended p3\n");
}

/* Guards against a retry budget that grows by requests which the other node
   counts, too. */
Test (dispatch_path, proxied_requests_add_nothing_to_the_budget)
{
  struct buf script = BUF_INIT, expected = BUF_INIT;

  buf_add_c (&script, "endpoints p 1 4\n nodes 4\n proxied\n");
  for (int i = 10; i < 40; i++)
    {
      buf_addf (&script, "submit %d safe\n sent %d\n ok %d\n complete %d\n", i,
                i, i, i);
      buf_addf (&expected, "send %d p1\ncomplete %d\n", i, i);
    }
  buf_add_c (&script, "direct\n endpoints q 3 4\n");
  for (int i = 1; i <= 3; i++)
    buf_addf (&script,
              "submit %d safe\n sent %d\n error %d\n sent %d\n ok %d\n"
              "complete %d\n",
              i, i, i, i, i, i);
  buf_add_c (&expected, "send 1 q3\n"
                        "cancel 1\n"
                        "send 1 p1\n"
                        "complete 1\n"
                        "send 2 p1\n"
                        "cancel 2\n"
                        "send 2 q1\n"
                        "complete 2\n"
                        "send 3 q2\n"
                        "cancel 3\n"
                        "error 3 broken 502\n");
  dispatch_play (buf_c (&script), buf_c (&expected));
  buf_free (&script);
  buf_free (&expected);
}

/* Guards against servers that get nothing after a partition because what broke
   off in it counted as their failures. */
Test (dispatch_path, lost_paths_eject_no_server)
{
  dispatch_play ("endpoints p 3 9\n proxies 1\n"
                 "submit 1 once\n sent 1\n submit 2 once\n sent 2\n"
                 "submit 3 once\n sent 3\n submit 4 once\n sent 4\n"
                 "submit 5 once\n sent 5\n submit 6 once\n sent 6\n"
                 "submit 7 once\n sent 7\n submit 8 once\n sent 8\n"
                 "submit 9 once\n sent 9\n"
                 "refused p1\n refused p2\n refused p3\n"
                 "interrupted 1\n interrupted 2\n interrupted 3\n"
                 "interrupted 4\n interrupted 5\n interrupted 6\n"
                 "interrupted 7\n interrupted 8\n interrupted 9\n"
                 "alive p1\n alive p2\n alive p3\n"
                 "submit 11 once\n submit 12 once\n submit 13 once\n"
                 "submit 14 once\n submit 15 once\n submit 16 once\n",
                 "send 1 p3\n"
                 "send 2 p1\n"
                 "send 3 p2\n"
                 "send 4 p1\n"
                 "send 5 p3\n"
                 "send 6 p2\n"
                 "send 7 p1\n"
                 "send 8 p2\n"
                 "send 9 p3\n"
                 "check p3\n"
                 "cancel 1\n"
                 "error 1 broken 502\n"
                 "check p1\n"
                 "cancel 2\n"
                 "error 2 broken 502\n"
                 "check p2\n"
                 "cancel 3\n"
                 "error 3 broken 502\n"
                 "cancel 4\n"
                 "error 4 broken 502\n"
                 "cancel 5\n"
                 "error 5 broken 502\n"
                 "cancel 6\n"
                 "error 6 broken 502\n"
                 "cancel 7\n"
                 "error 7 broken 502\n"
                 "cancel 8\n"
                 "error 8 broken 502\n"
                 "cancel 9\n"
                 "error 9 broken 502\n"
                 "send 11 p1\n"
                 "send 12 p3\n"
                 "send 13 p2\n"
                 "send 14 p1\n"
                 "send 15 p3\n"
                 "send 16 p1\n");
}

/* Guards against requests that wait for their deadlines at servers none of
   which answers, one after the other. */
Test (dispatch_path, silence_of_all_servers_is_a_lost_path)
{
  dispatch_play ("endpoints p 3 4\n proxies 1\n"
                 "submit 1 once\n sent 1\n submit 2 once\n sent 2\n"
                 "submit 3 once\n sent 3\n run 440\n submit 4 once\n",
                 "send 1 p3\n"
                 "send 2 p1\n"
                 "send 3 p2\n"
                 "send 4 10.0.0.1:80\n");
}

/* Guards against a node that has broken off a request and gets the next one at
   once. */
Test (dispatch_path, failed_proxy_is_left_alone)
{
  dispatch_play ("endpoints p 3 4\n proxies 1\n submit 1 once\n"
                 "connect-failed 1\n connect-failed 1\n connect-failed 1\n"
                 "sent 1\n interrupted 1\n submit 2 safe\n run 520\n"
                 "submit 3 safe\n",
                 "send 1 p3\n"
                 "send 1 p1\n"
                 "send 1 p2\n"
                 "send 1 10.0.0.1:80\n"
                 "cancel 1\n"
                 "error 1 broken 502\n"
                 "send 2 p3\n"
                 "check p3\n"
                 "send 3 10.0.0.1:80\n");
}

/* Guards against a node that is left alone because a server behind it failed a
   request. */
Test (dispatch_path, error_of_a_server_is_not_held_against_the_proxy)
{
  dispatch_play ("endpoints p 3 4\n proxies 1\n submit 1 once\n"
                 "connect-failed 1\n connect-failed 1\n connect-failed 1\n"
                 "sent 1\n error 1\n complete 1\n submit 2 safe\n",
                 "send 1 p3\nsend 1 p1\nsend 1 p2\nsend 1 10.0.0.1:80\n"
                 "complete 1\nsend 2 10.0.0.1:80\n");
}

/* Guards against a request that is blocked as one that crashes servers because
   a lost path broke off its runs. */
Test (dispatch_path, lost_paths_blame_no_request)
{
  dispatch_play ("endpoints p 3 4\n proxies 1\n"
                 "submit 1 once 7\n sent 1\n submit 2 once 7\n sent 2\n"
                 "submit 3 once 7\n sent 3\n"
                 "interrupted 1\n interrupted 2\n interrupted 3\n"
                 "refused p1\n refused p2\n refused p3\n run 600\n"
                 "alive p1\n alive p2\n alive p3\n submit 4 once 7\n",
                 "send 1 p3\n"
                 "send 2 p1\n"
                 "send 3 p2\n"
                 "check p3\n"
                 "cancel 1\n"
                 "error 1 broken 502\n"
                 "check p1\n"
                 "cancel 2\n"
                 "error 2 broken 502\n"
                 "check p2\n"
                 "cancel 3\n"
                 "error 3 broken 502\n"
                 "check p3\n"
                 "check p1\n"
                 "send 4 p1\n");
}
