/*
 * Parts of prompts that crash backend servers in the request dispatcher, and
 * responses that end with their connection; t/lib-dispatch.h describes the
 * scripts.
 */
#include <criterion/criterion.h>

#include "t/lib-dispatch.h"

/* Guards against a client that crashes one server after another with requests
   that share only a part of their prompts. */
Test (dispatch_poison, part_is_blocked_after_three_crashes)
{
  dispatch_play ("replicas a 1 4\n"
                 "submit 9 stream .A\n sent 9\n ok 9\n event 9\n complete 9\n"
                 "submit 1 stream .AK\n"
                 "sent 1\n"
                 "replicas b 1 4\n"
                 "interrupted 1\n"
                 "crashed a1\n"
                 "close a1\n run 100\n"
                 "sent 1\n"
                 "interrupted 1\n"
                 "crashed b1\n"
                 "close b1\n"
                 "run 100\n"
                 "replicas c 1 4\n"
                 "submit 2 stream .AK\n"
                 "sent 2\n"
                 "replicas d 1 4\n"
                 "interrupted 2\n"
                 "crashed c1\n"
                 "close c1\n"
                 "submit 3 stream .AK\n"
                 "run 400\n"
                 "submit 4 stream .BK\n"
                 "submit 5 stream .AB\n",
                 "send 9 a1\nforward 9\ncomplete 9\n"
                 "send 1 a1\n"
                 "check a1\n"
                 "cancel 1\n"
                 "send 1 b1\n"
                 "check b1\n"
                 "cancel 1\n"
                 "error 1 broken 502\n"
                 "send 2 c1\n"
                 "check c1\n"
                 "cancel 2\n"
                 "error 2 broken 502\n"
                 "error 3 crashes-servers 503 retry\n"
                 "error 4 crashes-servers 503\n"
                 "send 5 d1\n");
}

/* Guards against running a request after one of its parts was blocked: while
   it is queued, while its connection is being made, at a server that has not
   begun it, and on behalf of another node. */
Test (dispatch_poison, block_of_part_ends_runs_without_events)
{
  dispatch_play ("replicas s 1 2\n"
                 "submit 1 stream .K\n sent 1\n ok 1\n event 1\n"
                 "submit 2 stream .KA\n sent 2\n"
                 "submit 3 stream .K\n sent 3\n submit 4 stream .AK\n"
                 "submit 5 stream .A\n block-part K\n"
                 "proxied\n submit 6 stream .K\n",
                 "send 1 s1\nforward 1\nsend 2 s1\nsend 3 s1\n"
                 "error 4 crashes-servers 503\n"
                 "cancel 3\nerror 3 broken 502\nsend 5 s1\n"
                 "cancel 2\nerror 2 broken 502\n"
                 "error 6 crashes-servers 503\n");
}

/* Guards against a stream that is resumed with a part that was blocked since:
   it had begun before, and then lost its server. */
Test (dispatch_poison, blocked_stream_is_not_resumed)
{
  dispatch_play ("replicas s 3 4\n"
                 "submit 1 stream .K\n sent 1\n ok 1\n event 1\n"
                 "block-part K\n interrupted 1\n",
                 "send 1 s3\nforward 1\ncheck s3\ncancel 1\n"
                 "truncate 1 broken\n");
}

/* Guards against sending a request whose part was blocked while its connection
   was being made. */
Test (dispatch_poison, request_is_checked_before_it_is_sent)
{
  dispatch_play ("endpoints p 2 4\n submit 1 once .K\n block-part K\n sent 1\n"
                 "submit 2 once .L\n sent 2\n",
                 "send 1 p1\ncancel 1\nerror 1 crashes-servers 503\n"
                 "send 2 p1\n");
}

/* Guards against clearing a part on responses that don't prove a run: final
   errors, and empty ones. */
Test (dispatch_poison, responses_without_a_run_clear_nothing)
{
  dispatch_play ("endpoints a 1 4\n"
                 "submit 1 once .K\n"
                 "sent 1\n"
                 "interrupted 1\n"
                 "crashed a1\n"
                 "close a1\n run 100\n"
                 "endpoints b 1 4\n"
                 "submit 2 once .K\n"
                 "sent 2\n"
                 "interrupted 2\n"
                 "crashed b1\n"
                 "close b1\n"
                 "run 100\n"
                 "endpoints c 1 4\n"
                 "submit 3 once .K\n"
                 "sent 3\n"
                 "final 3\n"
                 "complete 3\n"
                 "submit 4 once .K\n"
                 "sent 4\n"
                 "ok 4\n"
                 "closed-empty 4\n"
                 "submit 5 once .K\n"
                 "sent 5\n"
                 "interrupted 5\n"
                 "crashed c1\n"
                 "close c1\n"
                 "run 400\n"
                 "endpoints d 1 4\n"
                 "submit 6 once .K\n",
                 "send 1 a1\n"
                 "check a1\n"
                 "cancel 1\n"
                 "error 1 broken 502\n"
                 "send 2 b1\n"
                 "check b1\n"
                 "cancel 2\n"
                 "error 2 broken 502\n"
                 "send 3 c1\n"
                 "complete 3\n"
                 "send 4 c1\n"
                 "complete 4\n"
                 "send 5 c1\n"
                 "check c1\n"
                 "cancel 5\n"
                 "error 5 broken 502\n"
                 "error 6 crashes-servers 503\n");
}

/* Guards against a server that crashes right after its response head: a stream
   without an event that ends with its connection is not a whole response. */
Test (dispatch_poison, empty_stream_is_interrupted)
{
  dispatch_play ("replicas s 2 4\n submit 1 stream\n sent 1\n ok 1\n"
                 "closed-empty 1\n sent 1\n ok 1\n event 1\n closed 1\n",
                 "send 1 s1\ncheck s1\ncancel 1\nsend 1 s2\nforward 1\n"
                 "complete 1\n");
}

/* Guards against a crash that counts as a completed run: a server that crashes
   closes its connections as one does that ends its response so. */
Test (dispatch_poison, closed_response_is_a_crash_if_the_server_ended)
{
  dispatch_play ("endpoints a 1 4\n"
                 "submit 1 once .K\n"
                 "sent 1\n"
                 "ok 1\n"
                 "closed 1\n"
                 "submit 9 once\n"
                 "endpoints b 1 4\n"
                 "connect-failed 9\n"
                 "crashed a1\n"
                 "close a1\n"
                 "sent 9\n"
                 "ok 9\n"
                 "complete 9\n"
                 "run 100\n"
                 "submit 2 once .K\n"
                 "sent 2\n"
                 "interrupted 2\n"
                 "crashed b1\n"
                 "close b1\n"
                 "run 100\n"
                 "endpoints c 1 4\n"
                 "submit 5 once .K\n"
                 "sent 5\n"
                 "interrupted 5\n"
                 "crashed c1\n"
                 "close c1\n"
                 "run 400\n"
                 "endpoints d 1 4\n"
                 "submit 6 once .K\n",
                 "send 1 a1\n"
                 "complete 1\n"
                 "send 9 a1\n"
                 "check a1\n"
                 "send 9 b1\n"
                 "complete 9\n"
                 "send 2 b1\n"
                 "check b1\n"
                 "cancel 2\n"
                 "error 2 broken 502\n"
                 "send 5 c1\n"
                 "check c1\n"
                 "cancel 5\n"
                 "error 5 broken 502\n"
                 "error 6 crashes-servers 503\n");
}

/* Guards against blocking a part whose runs complete at servers that end their
   responses with the connection. */
Test (dispatch_poison, closed_response_counts_once_the_server_answers_again)
{
  dispatch_play ("endpoints a 1 4\n"
                 "submit 1 once .K\n"
                 "sent 1\n"
                 "ok 1\n"
                 "closed 1\n"
                 "run 20\n"
                 "submit 9 once\n"
                 "sent 9\n"
                 "ok 9\n"
                 "complete 9\n"
                 "submit 2 once .K\n"
                 "sent 2\n"
                 "interrupted 2\n"
                 "crashed a1\n"
                 "close a1\n"
                 "run 100\n"
                 "endpoints b 1 4\n"
                 "submit 3 once .K\n"
                 "sent 3\n"
                 "interrupted 3\n"
                 "crashed b1\n"
                 "close b1\n"
                 "run 100\n"
                 "endpoints c 1 4\n"
                 "submit 5 once .K\n"
                 "sent 5\n"
                 "interrupted 5\n"
                 "crashed c1\n"
                 "close c1\n"
                 "run 400\n"
                 "endpoints d 1 4\n"
                 "submit 6 once .K\n",
                 "send 1 a1\n"
                 "complete 1\n"
                 "send 9 a1\n"
                 "complete 9\n"
                 "send 2 a1\n"
                 "check a1\n"
                 "cancel 2\n"
                 "error 2 broken 502\n"
                 "send 3 b1\n"
                 "check b1\n"
                 "cancel 3\n"
                 "error 3 broken 502\n"
                 "send 5 c1\n"
                 "check c1\n"
                 "cancel 5\n"
                 "error 5 broken 502\n"
                 "send 6 d1\n");
}
