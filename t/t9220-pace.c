/*
 * Limiting each replica to the requests that it can serve within its goals:
 * scripts of t/lib-dispatch.h with a model of the replicas.
 */
#include <criterion/criterion.h>

#include "t/lib-dispatch.h"

/** 40 streams per second use half of the slots. */
#define POOL "replicas s 6 24\n prefill 56\n"

#define EQUAL "s1 equal\ns2 equal\ns3 equal\ns4 equal\ns5 equal\ns6 equal\n"

/* A replica at a quarter of its speed, as one of its members is slow: its
   streams are late, and it got as many requests as the others. */
Test (pace, quarter_of_the_speed)
{
  dispatch_play (POOL "gap 200\n traffic 3000 40\n speed s2 4\n"
                      "traffic 1000 40\n slow\n traffic 4000 40\n shares\n"
                      "speed s2 1\n traffic 2500 40\n slow\n"
                      "traffic 2000 40\n shares\n",
                 "slow s2\n"
                 "s1 equal\ns2 few\ns3 equal\ns4 equal\ns5 equal\ns6 equal\n"
                 "recovered s2\n" EQUAL);
}

/* A replica at a twelfth of its speed stalls, and its streams go on elsewhere.
   The trial request that it gets after 5 s doesn't stall: with the first
   event, the replica got all of its requests back. */
Test (pace, twelfth_of_the_speed)
{
  dispatch_play (POOL "gap 200\n traffic 3000 40\n speed s2 12\n"
                      "traffic 1000 40\n slow\n traffic 8000 40\n shares\n"
                      "speed s2 1\n traffic 6000 40\n slow\n"
                      "traffic 2000 40\n shares\n",
                 "stalled s2\nslow s2\nstalled s2\n"
                 "s1 equal\ns2 few\ns3 equal\ns4 equal\ns5 equal\ns6 equal\n"
                 "recovered s2\n" EQUAL);
}

/* All replicas are equally slow, as in a slow hour of their hosts: any limit
   would only reject requests.  The choices are those of a pool without goals.
 */
#define ALL_SLOW                                                              \
  "traffic 3000 30\n speed s1 3\n speed s2 3\n speed s3 3\n speed s4 3\n"     \
  "speed s5 3\n speed s6 3\n traffic 4000 30\n slow\n counts\n"
#define ALL_SLOW_COUNTS "s1 21\ns2 18\ns3 20\ns4 22\ns5 20\ns6 19\n"
Test (pace, all_equally_slow)
{
  dispatch_play (POOL "gap 200\n" ALL_SLOW, ALL_SLOW_COUNTS);
  dispatch_play (POOL ALL_SLOW, ALL_SLOW_COUNTS);
}

/* Long prompts that arrive together at one replica pause its streams for some
   passes, and no other replica: that is load, which must not count as
   slowness. */
Test (pace, long_prompts_are_not_slowness)
{
  dispatch_play (POOL "gap 200\n traffic 3000 40\n prompt 8000\n"
                      "traffic 6000 40\n slow\n",
                 "");
}

/* Two replicas of three are slow: the median is slow too, and a limit would
   send all requests to the third, which has no room for them. */
Test (pace, two_slow_of_three)
{
  dispatch_play ("replicas s 3 24\n gap 200\n traffic 3000 20\n speed s2 4\n"
                 "speed s3 4\n traffic 3000 20\n slow\n",
                 "");
}

/* Of two replicas, the median says nothing: a pool of two is served as
   before. */
Test (pace, pool_of_two)
{
  dispatch_play ("replicas s 2 24\n gap 200\n traffic 3000 10\n speed s2 4\n"
                 "traffic 3000 10\n slow\n",
                 "");
}

/* Without a declared goal for gaps, nothing is compared. */
Test (pace, no_goal)
{
  dispatch_play (
      POOL "traffic 3000 40\n speed s2 4\n traffic 3000 40\n slow\n", "");
}

/* A node of a large fleet has few streams of its own: what the others report
   is enough to avoid a slow replica. */
Test (pace, evidence_of_other_nodes)
{
  dispatch_play ("replicas s 3 8\n gap 200\n submit 1 stream\n"
                 "peer-pace s1 50 3000\n peer-pace s2 50 14000\n"
                 "peer-pace s3 50 3100\n run 200\n slow\n"
                 "submit 2 stream\n submit 3 stream\n submit 4 stream\n"
                 "submit 5 stream\n submit 6 stream\n",
                 "send 1 s3\nslow s2\nsend 2 s1\nsend 3 s1\nsend 4 s3\n"
                 "send 5 s1\nsend 6 s3\n");
}

/* A replica must not stay slow by reports of nodes that have gone: without
   evidence of any replica, all are as before. */
Test (pace, old_evidence_expires)
{
  dispatch_play ("replicas s 3 8\n gap 200\n submit 1 stream\n"
                 "peer-pace s1 50 3000\n peer-pace s2 50 14000\n"
                 "peer-pace s3 50 3100\n run 200\n slow\n run 2000\n"
                 "slow\n submit 2 stream\n submit 3 stream\n"
                 "submit 4 stream\n submit 5 stream\n submit 6 stream\n"
                 "submit 7 stream\n",
                 "send 1 s3\nslow s2\ncancel 1\nerror 1 overload 503 retry\n"
                 "recovered s2\nsend 2 s1\nsend 3 s3\nsend 4 s1\nsend 5 s3\n"
                 "send 6 s2\nsend 7 s1\n");
}

/* A slow replica of which nothing is known for some seconds, while the others
   go on, gets a request to find out: it must not be left out for ever. */
Test (pace, slow_replica_without_news_is_tried)
{
  dispatch_play (
      "replicas s 4 8\n gap 200\n submit 1 stream\n"
      "peer-pace s1 50 3000\n peer-pace s2 50 40000\n"
      "peer-pace s3 50 3100\n peer-pace s4 50 3000\n run 200\n slow\n"
      "peer-pace s2 0 0\n run 1000\n peer-pace s1 50 3000\n"
      "peer-pace s3 50 3100\n peer-pace s4 50 3000\n run 1000\n"
      "peer-pace s1 50 3000\n peer-pace s3 50 3100\n"
      "peer-pace s4 50 3000\n run 1000\n peer-pace s1 50 3000\n"
      "peer-pace s3 50 3100\n peer-pace s4 50 3000\n run 1000\n"
      "submit 2 stream\n submit 3 stream\n submit 4 stream\n"
      "submit 5 stream\n submit 6 stream\n submit 7 stream\n slow\n",
      "send 1 s3\nslow s2\ncancel 1\nerror 1 overload 503 retry\nsend 2 s3\n"
      "send 3 s2\nsend 4 s1\nsend 5 s1\nsend 6 s4\nsend 7 s3\n");
}

/* A slow replica that has no requests left gets single ones, to find out
   whether it is slow still. */
Test (pace, slow_replica_is_tried)
{
  dispatch_play (POOL "gap 200\n traffic 3000 40\n speed s2 4\n"
                      "traffic 9000 40\n slow\n traffic 6000 40\n tried s2\n",
                 "slow s2\ntried s2\n");
}

/* A slow replica that keeps the goals is not limited, but its requests take up
   their slots for longer: the others must get more. */
Test (pace, slow_replica_within_goals_counts_as_loaded)
{
  dispatch_play ("replicas s 3 8\n gap 2000\n submit 1 stream\n"
                 "peer-pace s1 50 3000\n peer-pace s2 50 12000\n"
                 "peer-pace s3 50 3100\n run 200\n"
                 "submit 2 stream\n submit 3 stream\n submit 4 stream\n"
                 "submit 5 stream\n submit 6 stream\n submit 7 stream\n"
                 "submit 8 stream\n submit 9 stream\n submit 10 stream\n",
                 "send 1 s3\nsend 2 s1\nsend 3 s3\nsend 4 s1\nsend 5 s1\n"
                 "send 6 s1\nsend 7 s3\nsend 8 s1\nsend 9 s3\nsend 10 s1\n");
}

/* A replica at a twelfth of its speed stalls at the nodes that have streams
   there before an interval ends: the others learned nothing, and went on
   sending. */
Test (pace, intervals_cut_off_by_a_stall_are_reported)
{
  dispatch_play (POOL "gap 200\n traffic 3000 40\n own-pace 90\n"
                      "speed s2 12\n traffic 600 40\n own-pace 90\n",
                 "stalled s2\nlate s2\n");
}

/* After a stall, each node sent a trial request when 5 s had passed: dozens at
   the same time, all of them late. */
Test (pace, trial_waits_for_that_of_another_node)
{
  dispatch_play (POOL "gap 200\n traffic 3000 40\n speed s2 12\n"
                      "traffic 1000 40\n slow\n peer-load s2 1 0\n"
                      "traffic 8000 40\n tried s2\n",
                 "stalled s2\nslow s2\nnot-tried s2\n");
}

/* A long pass looks like a stall at a node with few streams there, and the
   replica got nothing from that node for 5 s, though the others saw it at its
   full speed. */
Test (pace, evidence_of_other_nodes_ends_a_stall)
{
  dispatch_play (POOL "gap 200\n traffic 3000 40\n speed s2 12\n"
                      "traffic 600 40\n speed s2 1\n"
                      "peer-pace s2 50 3000\n traffic 500 40\n"
                      "peer-pace s2 50 3000\n traffic 500 40\n"
                      "peer-pace s2 50 3000\n traffic 500 40\n"
                      "peer-pace s2 50 3000\n traffic 1000 40\n"
                      "peer-pace s2 50 3000\n traffic 1000 40\n"
                      "tried s2\n",
                 "stalled s2\ntried s2\n");
}

/* A limit that was set under an earlier configuration must not stay when the
   operators no longer declare the goal. */
Test (pace, goal_is_withdrawn)
{
  dispatch_play (POOL "gap 200\n traffic 3000 40\n speed s2 4\n"
                      "traffic 1000 40\n slow\n gap 0\n traffic 300 40\n"
                      "slow\n",
                 "slow s2\nrecovered s2\n");
}
