/*
 * Tests the formation of replicas by demand over all domains: three domains of
 * 27 VMs, a large model of 12 VMs and a small one of 6, with equal shares, so
 * that each domain holds one large and two small replicas at first.
 */
#include <criterion/criterion.h>

#include "t/lib-form.h"

#define DOMAINS                                                               \
  "no-order-log\n size big 12\n size small 6\n"                               \
  "work-share big 50\n work-share small 50\n host-memory\n"                   \
  "lead 1\n vms a 27\n vms b 27\n vms c 27\n run 9000\n traffic\n"

#define COUNT "count-open a\n count-open b\n count-open c\n"

/*
 * The callers of the small model wait, while the large model is hardly used.
 * One large replica closes, and the hosts of its members hold the weights of
 * the small model: both new replicas are open within 5 s.
 */
Test (demand, an_idle_large_replica_gives_its_vms_to_the_small_model)
{
  form_check (DOMAINS "demand big 4\n demand small 40\n run 5000\n" COUNT,
              "a: 0 big 4 small\n"
              "b: 1 big 2 small\n"
              "c: 1 big 2 small\n");
}

/*
 * The large replica that closes runs requests for another three seconds.
 * Guards against VMs that join the small model's replicas before these
 * requests have ended.
 */
Test (demand, the_new_replicas_wait_for_running_requests)
{
  form_check (DOMAINS "busy a\n demand big 4\n demand small 40\n run 5000\n"
                      "count-open a\n run 3000\n count-open a\n idle a\n"
                      "run 2000\n count-open a\n",
              "a: 0 big 2 small\n"
              "a: 0 big 2 small\n"
              "a: 0 big 4 small\n");
}

/*
 * The leader node changes while the large replica closes.  The new leader node
 * knows nothing of the plan; it continues the close, and no VM is left without
 * a replica.
 */
Test (demand, the_leader_node_changes_halfway)
{
  form_check (DOMAINS "busy a\n demand big 4\n demand small 40\n run 4500\n"
                      "count-open a\n lead-other 2\n run 1000\n idle a\n"
                      "run 12000\n" COUNT,
              "a: 0 big 2 small\n"
              "a: 0 big 4 small\n"
              "b: 1 big 2 small\n"
              "c: 1 big 2 small\n");
}

/*
 * The leader node changes after the change of the plan, right after a member
 * of a new replica has crashed.  Guards against a new leader node that plans
 * by the declared shares and closes what its predecessor has formed.
 */
Test (demand, a_new_leader_node_keeps_the_changed_domain)
{
  form_check (DOMAINS
              "demand big 4\n demand small 40\n run 8000\n restart a1\n"
              "run 200\n lead-other 2\n demand big 20\n"
              "demand small 40\n run 2000\n" COUNT,
              "a: 0 big 4 small\n"
              "b: 1 big 2 small\n"
              "c: 1 big 2 small\n");
}

/*
 * The hosts hold no weights of the other model.  The large replica goes on
 * serving until the hosts of its members have preloaded them.
 */
Test (demand, hosts_without_weights_preload_first)
{
  form_check (DOMAINS "clear-hosts a\n clear-hosts b\n clear-hosts c\n"
                      "demand big 4\n demand small 40\n run 4500\n"
                      "count-open a\n run 3500\n" COUNT,
              "a: 1 big 2 small\n"
              "a: 0 big 4 small\n"
              "b: 1 big 2 small\n"
              "c: 1 big 2 small\n");
}

/*
 * Only the hosts of half of the members hold the weights.  Guards against a
 * close that frees VMs for one of the two new replicas, while the other VMs
 * load the weights for seconds and serve nothing.
 */
Test (demand, a_replica_closes_when_all_its_hosts_are_prepared)
{
  form_check (DOMAINS "clear-host a1\n clear-host a2\n clear-host a3\n"
                      "clear-host b1\n clear-host b2\n clear-host b3\n"
                      "clear-host c1\n clear-host c2\n clear-host c3\n"
                      "clear-host a4\n clear-host a5\n clear-host a6\n"
                      "clear-host b4\n clear-host b5\n clear-host b6\n"
                      "clear-host c4\n clear-host c5\n clear-host c6\n"
                      "demand big 4\n demand small 40\n run 4500\n"
                      "count-open a\n run 3000\n count-open a\n",
              "a: 1 big 2 small\n"
              "a: 0 big 4 small\n");
}

/* The weight store allows few loads.  Guards against preloads beyond its rate:
   twelve of them take more than ten seconds. */
Test (demand, preloads_keep_the_rate_of_the_weight_store)
{
  form_check (DOMAINS "load-rate 2\n clear-hosts a\n clear-hosts b\n"
                      "clear-hosts c\n demand big 4\n demand small 40\n"
                      "run 10000\n count-open a\n run 12000\n"
                      "count-open a\n",
              "a: 1 big 2 small\n"
              "a: 0 big 4 small\n");
}

/*
 * After a change, the hosts have lost the weights of the large model.  They
 * preload them again, so that the change is taken back within seconds.
 */
Test (demand, hosts_are_prepared_to_take_a_change_back)
{
  form_check (DOMAINS "demand big 4\n demand small 40\n run 10000\n"
                      "count-open a\n clear-hosts a\n run 10000\n"
                      "drop-all preload\n demand big 20\n demand small 10\n"
                      "run 10000\n count-open a\n",
              "a: 0 big 4 small\n"
              "a: 1 big 2 small\n");
}

/* As before, but no host ever carries out the order to preload: the large
   replica is not closed for nothing. */
Test (demand, hosts_that_preload_nothing_close_no_replica)
{
  form_check (DOMAINS "clear-hosts a\n clear-hosts b\n clear-hosts c\n"
                      "drop-all preload\n demand big 4\n demand small 40\n"
                      "run 20000\n" COUNT,
              "a: 1 big 2 small\n"
              "b: 1 big 2 small\n"
              "c: 1 big 2 small\n");
}

/* Two members of the closing replica crash: their VMs return empty, and the
   spares take their places. */
Test (demand, two_members_crash_during_the_change)
{
  form_check (DOMAINS
              "busy a\n demand big 4\n demand small 40\n run 4500\n"
              "count-open a\n restart a2\n restart a3\n run 1000\n idle a\n"
              "run 4000\n" COUNT,
              "a: 0 big 2 small\n"
              "a: 0 big 4 small\n"
              "b: 1 big 2 small\n"
              "c: 1 big 2 small\n");
}

/*
 * The mix turns around after a change.  Guards against a change that can't be
 * taken back because no host holds the weights of the large model any more.
 */
Test (demand, a_change_is_taken_back)
{
  form_check (DOMAINS "demand big 4\n demand small 40\n run 10000\n" COUNT
                      "demand big 24\n demand small 4\n run 25000\n" COUNT,
              "a: 0 big 4 small\n"
              "b: 1 big 2 small\n"
              "c: 1 big 2 small\n"
              "a: 1 big 2 small\n"
              "b: 2 big 0 small\n"
              "c: 1 big 2 small\n");
}

/* A domain that was changed loses all its VMs, which return without weights;
   their hosts hold what they held before.  It is formed again. */
Test (demand, a_changed_domain_restarts)
{
  form_check (DOMAINS "demand big 4\n demand small 40\n run 10000\n"
                      "restart-domain a\n run 2000\n count-open a\n"
                      "run 8000\n" COUNT,
              "a: 0 big 2 small\n"
              "a: 0 big 4 small\n"
              "b: 1 big 2 small\n"
              "c: 1 big 2 small\n");
}

/* Domains with room for only one replica of each model have nothing to
   exchange: planned by the shares, whatever the demand. */
Test (demand, domains_of_one_replica_of_each_model_stay_as_they_are)
{
  form_check ("no-order-log\n host-memory\n lead 1\n vms a 6\n vms b 6\n"
              "run 9000\n traffic\n demand big 1\n demand small 40\n"
              "run 30000\n count-open a\n count-open b\n",
              "a: 1 big 1 small\n"
              "b: 1 big 1 small\n");
}

/*
 * The store has the mix of an earlier run.  The domains are formed by it at
 * once, not by the shares first, so that no replica closes when requests come.
 */
Test (demand, a_system_starts_with_the_stored_mix)
{
  form_check ("no-order-log\n size big 12\n size small 6\n"
              "work-share big 50\n work-share small 50\n host-memory\n"
              "run 100\n stored-mix big 4\n stored-mix small 40\n"
              "lead 1\n vms a 27\n vms b 27\n vms c 27\n run 3000\n" COUNT
              "traffic\n demand big 4\n demand small 40\n run 20000\n"
              "plan\n",
              "a: 0 big 4 small\n"
              "b: 1 big 2 small\n"
              "c: 1 big 2 small\n"
              "big: wanted 2, formed 2, requests 4, reassigned 0\n"
              "small: wanted 8, formed 8, requests 39, reassigned 0\n");
}

/* Guards against a write to the store for each small change of the mix, and
   against a mix of the first seconds. */
Test (demand, the_mix_is_stored_when_it_has_changed)
{
  form_check (DOMAINS "demand big 8\n demand small 24\n run 5000\n mix\n"
                      "run 10000\n mix\n stored-mix big 8\n"
                      "stored-mix small 24\n mix\n demand big 9\n"
                      "run 40000\n mix\n demand big 10\n run 40000\n mix\n"
                      "stored-mix big 16\n stored-mix small 38\n mix\n",
              "unchanged\n"
              "big 8.0 small 24.0 changed\n"
              "big 8.0 small 24.0 unchanged\n"
              "big 9.0 small 24.0 unchanged\n"
              "big 10.0 small 24.0 changed\n"
              "big 10.0 small 24.0 changed\n");
}
