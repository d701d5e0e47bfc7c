#include <criterion/criterion.h>
#include <string.h>

#include "base/chart.h"

#include "t/lib-domain.h"

#define CONFIG_OF(models, replicas)                                           \
  "{\"domains\":{\"d\":{\"zone\":\"z\",\"checks_fence\":true,\"vms\":{"       \
  "\"v1\":{\"addr\":\"127.0.0.1:1\"},\"v2\":{\"addr\":\"127.0.0.1:2\"},"      \
  "\"v3\":{\"addr\":\"127.0.0.1:3\"},\"v4\":{\"addr\":\"127.0.0.1:4\"},"      \
  "\"v5\":{\"addr\":\"127.0.0.1:5\",\"spare_only\":true}}}},"                 \
  "\"models\":{" models "},"                                                  \
  "\"replicas\":{" replicas "},"                                              \
  "\"policy\":{\"downtime_weight\":3,\"stranded_weight\":1,"                  \
  "\"weight_gb_per_s\":10,\"vm_return_ms\":300000}}"

#define MODEL                                                                 \
  "\"m\":{\"mode\":\"manage\",\"vms\":2,\"replicas\":2,"                      \
  "\"weight_gb\":40,\"capacity\":16,\"tokens_per_s\":900}"

#define CONFIG(replicas) CONFIG_OF (MODEL, replicas)

#define REPLICA(name, mode, vms)                                              \
  "\"" name "\":{\"model\":\"m\",\"domain\":\"d\",\"mode\":\"" mode           \
  "\",\"vms\":[" vms "]}"

static const struct dom_options two_replicas
    = { .config = CONFIG (
            REPLICA ("r1", "manage", "") "," REPLICA ("r2", "manage", "")),
        .checks_fence = true,
        .load_ms = 2000 };

static const struct dom_options unmanaged
    = { .config
        = CONFIG (REPLICA ("r1", "route", "\"v1\",\"v2\"") "," REPLICA (
            "r2", "observe", "\"v3\",\"v4\"")),
        .load_ms = 2000 };

static const struct dom_options one_replica
    = { .config = CONFIG (REPLICA ("r1", "manage", "")),
        .checks_fence = true,
        .load_ms = 2000 };

/* Backend servers that ignore fencing numbers. */
static const struct dom_options unfenced
    = { .config = CONFIG (REPLICA ("r1", "manage", "")), .load_ms = 2000 };

/* The core's state enums must match the order of states in the charts. */
Test (replica, state_enums_match_the_charts)
{
  static const char *const names[]
      = { "absent",   "forming",  "loading",   "whole",
          "degraded", "draining", "releasing", "gone" };
  static const char *const owner_names[]
      = { "idle", "granting", "taking", "waiting", "holding", "lapsed" };

  for (int i = 0; i < 8; i++)
    cr_expect_eq (chart_state (chart_embedded ("replica"), names[i]), i);
  for (int i = 0; i < 6; i++)
    cr_expect_eq (chart_state (chart_embedded ("owner"), owner_names[i]), i);
}

/* One replica is managed; the other one is run by scripts. */
static const struct dom_options partly_managed
    = { .config = CONFIG (REPLICA ("r1", "manage", "") "," REPLICA (
            "r2", "observe", "\"v3\",\"v4\"")),
        .load_ms = 2000 };

static const struct dom_options removing
    = { .config = CONFIG (REPLICA ("r1", "manage", "")),
        .next_config = CONFIG_OF ("", ""),
        .checks_fence = true,
        .load_ms = 2000 };

static const struct dom_options slow_load
    = { .config = CONFIG (REPLICA ("r1", "manage", "")),
        .checks_fence = true,
        .load_ms = 20000 };

/* Two replicas of one model and, configured last, the only one of another. */
static const struct dom_options two_models
    = { .config = "{\"domains\":{\"d\":{\"zone\":\"z\",\"vms\":{"
                  "\"v1\":{\"addr\":\"127.0.0.1:1\"},"
                  "\"v2\":{\"addr\":\"127.0.0.1:2\"},"
                  "\"v3\":{\"addr\":\"127.0.0.1:3\"}}}},"
                  "\"models\":{\"m\":{\"mode\":\"manage\",\"vms\":1,"
                  "\"replicas\":2,\"weight_gb\":40,\"capacity\":16,"
                  "\"tokens_per_s\":900},\"w\":{\"mode\":\"manage\",\"vms\":1,"
                  "\"replicas\":1,\"weight_gb\":40,\"capacity\":16,"
                  "\"tokens_per_s\":900}},\"replicas\":{"
                  "\"r1\":{\"model\":\"m\",\"domain\":\"d\",\"mode\":"
                  "\"manage\",\"vms\":[]},"
                  "\"r2\":{\"model\":\"m\",\"domain\":\"d\",\"mode\":"
                  "\"manage\",\"vms\":[]},"
                  "\"r3\":{\"model\":\"w\",\"domain\":\"d\",\"mode\":"
                  "\"manage\",\"vms\":[]}}}",
        .load_ms = 6000 };

/* Common start of most logs: the configured replicas are formed. */
#define ONE_LOADS                                                             \
  "0 r1/0 absent\n"                                                           \
  "3000 write r1/1=v1+v2\n"                                                   \
  "3000 r1/1 loading\n"                                                       \
  "3100 load v1: r1/1 0 of 2\n"                                               \
  "3100 load v2: r1/1 1 of 2\n"

#define ONE_WHOLE ONE_LOADS "5200 r1/1 whole serves\n"

#define TWO_WHOLE                                                             \
  "0 r1/0 absent\n"                                                           \
  "0 r2/0 absent\n"                                                           \
  "3000 write r1/1=v1+v2\n"                                                   \
  "3000 r1/1 loading\n"                                                       \
  "3100 load v1: r1/1 0 of 2\n"                                               \
  "3100 load v2: r1/1 1 of 2\n"                                               \
  "3100 write r1/1=v1+v2 r2/2=v3+v4\n"                                        \
  "3100 r2/2 loading\n"                                                       \
  "5200 r1/1 whole serves\n"                                                  \
  "5300 load v3: r2/2 0 of 2\n"                                               \
  "5300 load v4: r2/2 1 of 2\n"                                               \
  "7600 r2/2 whole serves\n"

/* Two replicas of two VMs and a spare: each is formed by one write, and one
   replica at a time loads its weights. */
Test (replica, replicas_load_one_at_a_time)
{
  dom_check (&two_replicas,
             "0 owner 20\n"
             "12000 run\n",
             TWO_WHOLE);
}

/* A member stops responding.  Its replica must be withdrawn within the 3 s of
   REP_PROBE_VALID_MS (here after 2.1 s, as the last response was at 9.1 s);
   after the grace time the spare replaces the member under a new generation.
   When the old VM returns it still reports the old generation and must be
   unloaded. */
Test (replica, unresponsive_member_is_replaced)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "10000 run\n"
             "10000 dead v1\n"
             "30000 run\n"
             "40000 start v1 r1 1\n"
             "50000 run\n",
             ONE_WHOLE "12100 r1/1 degraded\n"
                       "17100 write r1/2=v5+v2\n"
                       "17100 r1/2 loading\n"
                       "17200 load v2: r1/2 1 of 2\n"
                       "17200 load v5: r1/2 0 of 2\n"
                       "19800 r1/2 whole serves\n"
                       "40200 unload v1: r1/1\n");
}

/* A member is restarted quickly and still reports its replica: no order is
   sent and nothing is written. */
Test (replica, member_returns_within_grace_time)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "10000 run\n"
             "10000 kill v1\n"
             "14000 start v1 r1 1\n"
             "20000 run\n",
             ONE_WHOLE "11100 r1/1 degraded\n"
                       "14100 r1/1 whole serves\n");
}

/* The whole domain loses power and returns without weights.  Nothing is
   reassigned during the outage or the return, and the two replicas load one
   after the other instead of both at half the rate. */
Test (replica, replicas_load_in_turn_after_domain_outage)
{
  dom_check (&two_replicas,
             "0 owner 20\n"
             "12000 run\n"
             "12000 kill v1\n"
             "12000 kill v2\n"
             "12000 kill v3\n"
             "12000 kill v4\n"
             "12000 kill v5\n"
             "100000 blank v1\n"
             "100000 blank v2\n"
             "100000 blank v3\n"
             "100000 blank v4\n"
             "100000 blank v5\n"
             "120000 run\n",
             TWO_WHOLE "13100 r1/1 degraded\n"
                       "13400 r2/2 degraded\n"
                       "100300 load v1: r1/1 0 of 2\n"
                       "100300 load v2: r1/1 1 of 2\n"
                       "103200 r1/1 whole serves\n"
                       "103300 load v3: r2/2 0 of 2\n"
                       "103300 load v4: r2/2 1 of 2\n"
                       "105600 r2/2 whole serves\n");
}

/* Replicas of modes route and observe, which scripts run: configured members
   that report no replica name count, a lost one is detected, and no order or
   write is ever sent. */
Test (replica, unmanaged_replicas_get_no_orders)
{
  dom_check (&unmanaged,
             "0 start v1 - 0\n"
             "0 start v2 - 0\n"
             "0 start v3 - 0\n"
             "0 start v4 - 0\n"
             "0 owner 20\n"
             "12000 kill v1\n"
             "20000 start v1 - 0\n"
             "30000 blank v3\n"
             "40000 run\n",
             "0 r1/0 degraded\n"
             "0 r2/0 degraded\n"
             "200 r1/0 whole serves\n"
             "600 r2/0 whole serves\n"
             "13100 r1/0 degraded\n"
             "20100 r1/0 whole serves\n"
             "30400 r2/0 degraded\n");
}

/* The platform lists a member as leaving while requests run.  The replica
   accepts no new requests and the spare loads meanwhile.  The members change
   only after the last request, and the leaving VM is unloaded. */
Test (replica, leaving_member_is_replaced)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "10000 work v1 5\n"
             "10000 work v2 7\n"
             "11000 leaving v1\n"
             "30000 work v1 0\n"
             "30000 work v2 0\n"
             "50000 run\n",
             ONE_WHOLE "11000 r1/1 draining serves no new work\n"
                       "11100 write r1/1=v1+v2 (v5 for v1)\n"
                       "11200 load v5: r1/2 0 of 2\n"
                       "33200 write r1/2=v5+v2\n"
                       "33200 r1/2 loading\n"
                       "33300 unload v1: r1/1\n"
                       "33300 load v2: r1/2 1 of 2\n"
                       "34200 r1/2 whole serves\n");
}

/* The platform lists the VM again before it was replaced: it stays. */
Test (replica, leaving_is_withdrawn)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "10000 work v1 5\n"
             "11000 leaving v1\n"
             "16000 listed v1\n"
             "25000 run\n",
             ONE_WHOLE "11000 r1/1 draining serves no new work\n"
                       "11100 write r1/1=v1+v2 (v5 for v1)\n"
                       "11200 load v5: r1/2 0 of 2\n"
                       "16000 r1/1 whole serves\n"
                       "16100 write r1/1=v1+v2\n"
                       "16200 unload v5: r1/2\n");
}

/* An operator drains a replica with requests in flight.  Its VMs are released
   only once they report no load and then no weights. */
Test (replica, operator_drain_and_undrain)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "10000 work v1 5\n"
             "11000 drain r1\n"
             "30000 work v1 0\n"
             "50000 undrain r1\n"
             "60000 run\n",
             ONE_WHOLE "11100 write r1/1=v1+v2 drained r1\n"
                       "11100 r1/1 draining serves no new work\n"
                       "33200 write r1/1 releasing=v1+v2 drained r1\n"
                       "33200 r1/1 releasing no new work\n"
                       "33300 unload v1: r1/1\n"
                       "33300 unload v2: r1/1\n"
                       "34300 write drained r1\n"
                       "34300 r1/0 absent no new work\n"
                       "50100 write\n"
                       "50100 r1/0 absent\n"
                       "50200 write r1/2=v1+v2\n"
                       "50200 r1/2 loading\n"
                       "50300 load v1: r1/2 0 of 2\n"
                       "50300 load v2: r1/2 1 of 2\n"
                       "53200 r1/2 whole serves\n");
}

/* Guards against the requests of a drained replica being cut because a member
   did not answer its probes for a moment. */
Test (replica, drained_replica_keeps_requests_of_a_silent_member)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "10000 work v1 5\n"
             "10000 work v2 5\n"
             "11000 drain r1\n"
             "20000 dead v2\n"
             "23500 start v2 r1 1\n"
             "23500 work v2 5\n"
             "40000 run\n",
             ONE_WHOLE "11100 write r1/1=v1+v2 drained r1\n"
                       "11100 r1/1 draining serves no new work\n"
                       "22200 r1/1 draining no new work\n"
                       "24200 r1/1 draining serves no new work\n");
}

/* Guards against the requests of a drained replica being cut because the owner
   reached none of its VMs for a while. */
Test (replica, drained_replica_keeps_requests_while_the_owner_is_cut_off)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "10000 work v1 5\n"
             "10000 work v2 5\n"
             "11000 drain r1\n"
             "20000 dead v1\n"
             "20000 dead v2\n"
             "20000 dead v3\n"
             "29000 start v1 r1 1\n"
             "29000 start v2 r1 1\n"
             "29000 start v3 - 0\n"
             "29000 work v1 5\n"
             "29000 work v2 5\n"
             "40000 run\n",
             ONE_WHOLE "11100 write r1/1=v1+v2 drained r1\n"
                       "11100 r1/1 draining serves no new work\n"
                       "22100 r1/1 draining no new work\n"
                       "29200 r1/1 draining serves no new work\n");
}

/* Guards against a drained replica that is never released because a member is
   gone for good. */
Test (replica, drained_replica_without_a_member_is_released)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "10000 work v1 5\n"
             "11000 drain r1\n"
             "20000 dead v2\n"
             "40000 run\n",
             ONE_WHOLE "11100 write r1/1=v1+v2 drained r1\n"
                       "11100 r1/1 draining serves no new work\n"
                       "22200 r1/1 draining no new work\n"
                       "27200 write r1/1 releasing=v1+v2 drained r1\n"
                       "27200 r1/1 releasing no new work\n"
                       "27300 unload v1: r1/1\n"
                       "28200 write drained r1\n"
                       "28200 r1/0 absent no new work\n");
}

/* A new configuration omits a replica and its model while requests run.  The
   replica accepts no new requests, and its VMs are released only once they
   report no load.  Then the domain's assignment is empty, so that the domain
   can be removed as well. */
Test (replica, removed_from_the_configuration)
{
  dom_check (&removing,
             "0 owner 20\n"
             "10000 work v1 5\n"
             "11000 accept\n"
             "30000 work v1 0\n"
             "50000 run\n",
             ONE_WHOLE "11000 r1/1 draining serves no new work\n"
                       "33100 write r1/1 releasing=v1+v2\n"
                       "33100 r1/1 releasing no new work\n"
                       "33200 unload v1: r1/1\n"
                       "33200 unload v2: r1/1\n"
                       "34200 write\n");
}

/* The response to the first write is lost although it was applied; a later
   write conflicts with another writer.  Both times the assignment is read
   again and used. */
Test (replica, lost_response_and_conflict_are_reread)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "2900 store lost\n"
             "6000 kill v1\n"
             "7000 store race\n"
             "16000 run\n",
             "0 r1/0 absent\n"
             "3000 write r1/1=v1+v2 (answer lost)\n"
             "3000 r1/1 loading\n"
             "3100 load v1: r1/1 0 of 2\n"
             "3100 load v2: r1/1 1 of 2\n"
             "5200 r1/1 whole serves\n"
             "7100 r1/1 degraded\n"
             "11100 write r1/2=v5+v2 (conflict)\n"
             "12700 write r1/2=v5+v2\n"
             "12700 r1/2 loading\n"
             "12800 load v2: r1/2 1 of 2\n"
             "12800 load v5: r1/2 0 of 2\n"
             "14800 r1/2 whole serves\n");
}

/* The store goes down and ownership lapses.  The complete replica stays in
   service, a lost member is detected as usual and no order is sent; once the
   store is back nothing has to be repaired. */
Test (replica, store_down_keeps_serving)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "6000 store down\n"
             "6000 unowner\n"
             "8000 kill v1\n"
             "20000 start v1 r1 1\n"
             "30000 store up\n"
             "30000 owner 30\n"
             "40000 run\n",
             ONE_WHOLE "9100 r1/1 degraded\n"
                       "20100 r1/1 whole serves\n");
}

/* This node starts while the store is down and never read the assignment.  VMs
   that report the same replica and generation serve if their number is the one
   that the model requires; with one less they don't. */
Test (replica, store_down_at_start_serves_by_reports)
{
  dom_check (&one_replica,
             "0 store down\n"
             "0 start v1 r1 4\n"
             "0 start v3 r1 4\n"
             "5000 kill v3\n"
             "12000 run\n",
             "0 r1/0 absent\n"
             "100 r1/4 absent\n"
             "400 r1/4 whole serves\n"
             "6400 r1/4 degraded\n");
}

/* A member is replaced between two probes by a new VM with the same name, so
   no probe fails.  It reports no replica: the replica is incomplete
   immediately, is loaded and is complete again. */
Test (replica, vm_replaced_under_the_same_name)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "6050 blank v2\n"
             "12000 run\n",
             ONE_WHOLE "6200 r1/1 degraded\n"
                       "6300 load v2: r1/1 1 of 2\n"
                       "9200 r1/1 whole serves\n");
}

/* Replicas are running and their VMs report name and generation: they are
   adopted without any order. */
Test (replica, running_replicas_are_adopted)
{
  dom_check (&two_replicas,
             "0 start v1 r1 7\n"
             "0 start v3 r1 7\n"
             "0 start v2 r2 9\n"
             "0 start v4 r2 9\n"
             "0 owner 20\n"
             "70000 run\n",
             "0 r1/0 absent\n"
             "0 r2/0 absent\n"
             "3000 write r1/7=v1+v3\n"
             "3000 r1/7 whole serves\n"
             "3100 write r1/7=v1+v3 r2/9=v2+v4\n"
             "3100 r2/9 whole serves\n");
}

/* A new owner finds only one VM of a running replica.  It must not unload or
   reuse that VM at once, as the other one returns. */
Test (replica, adoption_waits_for_missing_member)
{
  dom_check (&two_replicas,
             "0 start v1 r1 7\n"
             "0 kill v2\n"
             "0 kill v5\n"
             "0 owner 20\n"
             "20000 start v2 r1 7\n"
             "30000 run\n",
             "0 r1/0 absent\n"
             "0 r2/0 absent\n"
             "3000 write r2/1=v3+v4\n"
             "3000 r2/1 loading\n"
             "3100 load v3: r2/1 0 of 2\n"
             "3100 load v4: r2/1 1 of 2\n"
             "5600 r2/1 whole serves\n"
             "20300 write r2/1=v3+v4 r1/7=v1+v2\n"
             "20300 r1/7 whole serves\n");
}

/* Backend servers ignore fencing numbers, and delayed orders of a previous
   owner arrive: one loads a spare, the other sets an old generation on a
   member.  The spare is unloaded, and the replica does not serve until the
   member is loaded again. */
Test (replica, delayed_order_without_fencing)
{
  dom_check (&unfenced,
             "0 owner 20\n"
             "6000 late v3 r1 1 10\n"
             "7000 late v2 r1 0 10\n"
             "16000 run\n",
             ONE_WHOLE "6500 unload v3: r1/1\n"
                       "7200 r1/1 degraded\n"
                       "7300 load v2: r1/1 1 of 2\n"
                       "8200 r1/1 whole serves\n");
}

/* Another node became owner, which this node has not noticed.  The new owner
   has assigned v1 to another replica.  The old owner's orders carry a lower
   number and are refused, and its write fails because it compares the owner
   key. */
Test (replica, superseded_owner_changes_nothing)
{
  dom_check (&one_replica,
             "0 owner 20\n"
             "6000 usurp 30\n"
             "6000 late v1 r9 3 30\n"
             "8000 kill v2\n"
             "15000 run\n",
             ONE_WHOLE "6100 r1/1 degraded\n"
                       "6200 unload v1: r9/3 (refused)\n"
                       "7200 unload v1: r9/3 (refused)\n"
                       "8200 unload v1: r9/3 (refused)\n"
                       "9200 unload v1: r9/3 (refused)\n"
                       "10200 unload v1: r9/3 (refused)\n"
                       "11200 unload v1: r9/3 (refused)\n"
                       "12200 unload v1: r9/3 (refused)\n"
                       "13200 unload v1: r9/3 (refused)\n"
                       "13200 write r1/2=v1+v5 (conflict)\n"
                       "14200 unload v1: r9/3 (refused)\n"
                       "14700 write r1/2=v1+v5 (conflict)\n");
}

/* The scripts restart r2, so its VMs hold no weights for a while, like free
   VMs.  r1 needs a second VM meanwhile and must take the spare, not those. */
Test (replica, unmanaged_vms_are_not_taken)
{
  dom_check (&partly_managed,
             "0 kill v1\n"
             "0 owner 20\n"
             "12000 run\n",
             "0 r1/0 absent\n"
             "0 r2/0 degraded\n"
             "3000 write r1/1=v2+v5\n"
             "3000 r1/1 loading\n"
             "3100 load v2: r1/1 0 of 2\n"
             "3100 load v5: r1/1 1 of 2\n"
             "5800 r1/1 whole serves\n");
}

/* With r1 drained there are enough free VMs for the absent r2, but r2 is only
   observed. */
Test (replica, observed_replica_is_never_formed)
{
  dom_check (&partly_managed,
             "0 drain r1\n"
             "0 owner 20\n"
             "12000 run\n",
             "0 r1/0 absent\n"
             "0 r2/0 degraded\n"
             "0 r1/0 absent no new work\n"
             "200 write drained r1\n");
}

/* The replica has no requests left long before the spare has loaded.  It stays
   ready in case the platform lists the VM again; the members change once the
   spare is ready. */
Test (replica, replacement_waits_for_the_spare)
{
  dom_check (&slow_load,
             "0 owner 20\n"
             "30000 leaving v1\n"
             "70000 run\n",
             ONE_LOADS "23200 r1/1 whole serves\n"
                       "30000 r1/1 draining serves no new work\n"
                       "30100 write r1/1=v1+v2 (v5 for v1)\n"
                       "30200 load v5: r1/2 0 of 2\n"
                       "50900 write r1/2=v5+v2\n"
                       "50900 r1/2 loading\n"
                       "51000 unload v1: r1/1\n"
                       "51000 load v2: r1/2 1 of 2\n"
                       "51200 r1/2 whole serves\n");
}

/* A domain starts without weights.  Once one replica of a model serves, the
   only replica of the other model loads before the second one. */
Test (replica, model_with_fewest_replicas_loads_first)
{
  dom_check (&two_models,
             "0 owner 20\n"
             "40000 run\n",
             "0 r1/0 absent\n"
             "0 r2/0 absent\n"
             "0 r3/0 absent\n"
             "3000 write r1/1=v1\n"
             "3000 r1/1 loading\n"
             "3100 load v1: r1/1 0 of 1\n"
             "3100 write r1/1=v1 r2/2=v2\n"
             "3100 r2/2 loading\n"
             "3200 write r1/1=v1 r2/2=v2 r3/3=v3\n"
             "3200 r3/3 loading\n"
             "7200 load v3: r3/3 0 of 1\n"
             "9100 r1/1 whole serves\n"
             "11300 load v2: r2/2 0 of 1\n"
             "13700 r3/3 whole serves\n"
             "17400 r2/2 whole serves\n");
}
