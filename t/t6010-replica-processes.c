/* Fabric domains with real processes: two control processes of one zone,
   stand-ins of the store and the platform, three VMs of one domain. */
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-control.h"

#define TOKEN "replica-test-token"
#define AUTH "Authorization: Bearer " TOKEN "\r\n"
#define REPLICA "/admin/v1/replicas/r1"

TestSuite (replica_processes, .fini = proc_stop_all, .timeout = 120);

static struct proc *store, *platform, *vms[3], *nodes[2];
static const char *admin[2];

static struct proc *
start_node (const char *name, const char *peers)
{
  char more[128];

  snprintf (more, sizeof more,
            ",\"platform\":\"%s\",\"log\":{\"format\":\"text\","
            "\"level\":\"warn\"}",
            proc_addr (platform, "http"));
  return control_up (
      control_settings (name, proc_addr (store, "http"), peers, more));
}

static void
write_config (void)
{
  proc_file (
      "config/10-all.json",
      "{ \"domains\": { \"d\": { \"zone\": \"hall-a\", \"checks_fence\": "
      "true, \"vms\": {\n"
      "    \"v1\": { \"addr\": \"%s\" },\n"
      "    \"v2\": { \"addr\": \"%s\" },\n"
      "    \"v3\": { \"addr\": \"%s\", \"spare_only\": true } } } },\n"
      "  \"models\": { \"m\": { \"mode\": \"manage\", \"vms\": 2, "
      "\"replicas\": 1, \"weight_gb\": 1, \"capacity\": 4, "
      "\"tokens_per_s\": 100 } },\n"
      "  \"replicas\": { \"r1\": { \"model\": \"m\", \"domain\": "
      "\"d\", \"mode\": \"manage\", \"vms\": [\"v1\", \"v2\"] } },\n"
      "  \"operators\": { \"amina\": { \"role\": \"operator\", "
      "\"token_digest\": \"%s\" } } }\n",
      proc_addr (vms[0], "http"), proc_addr (vms[1], "http"),
      proc_addr (vms[2], "http"), front_digest (TOKEN));
}

static void
wait_for (int node, const char *text)
{
  cr_assert (web_poll_until (admin[node], REPLICA, AUTH, text, 60000),
             "node %d never reported %s", node, text);
}

static void
wait_for_both (const char *text)
{
  wait_for (0, text);
  wait_for (1, text);
}

static void
start_all (void)
{
  store = PROC_START_READY ("standin", "store", "--listen", "127.0.0.1:0");
  platform
      = PROC_START_READY ("standin", "platform", "--listen", "127.0.0.1:0",
                          "--vm", "v1", "--vm", "v2", "--vm", "v3");
  for (int i = 0; i < 3; i++)
    vms[i] = PROC_START_READY ("standin", "model", "--listen", "127.0.0.1:0",
                               "--unloaded", "--load-ms", "200");
  write_config ();
  control_push ("--store", proc_addr (store, "http"));
  nodes[0] = start_node ("n1", "");
  nodes[1] = start_node ("n2", proc_addr (nodes[0], "peer"));
  for (int i = 0; i < 2; i++)
    admin[i] = proc_addr (nodes[i], "admin");
  wait_for_both ("\"whole\":true");
}

static void
post (const char *addr, const char *path, const char *body)
{
  struct web_answer a = { 0 };

  cr_assert (web_call (addr, "POST", path, AUTH, body, &a));
  cr_expect_eq (a.status, 200, "%s: %d %s", path, a.status, buf_c (&a.body));
  web_free (&a);
}

/* Reads the replica's state from a node, or a VM's state from the VM. */
static void
get (const char *addr, const char *path, struct web_answer *a)
{
  cr_assert (web_call (addr, "GET", path, AUTH, NULL, a));
}

/* Index of the node that owns the domain, as node 0 reports it. */
static int
owner_index (void)
{
  struct web_answer a = { 0 };
  int which;

  get (admin[0], REPLICA, &a);
  which = strstr (buf_c (&a.body), "\"owner\":\"n2\"") != NULL;
  web_free (&a);
  return which;
}

/* The number after @p key in a response. */
static long
number_after (const char *addr, const char *path, const char *key)
{
  struct web_answer a = { 0 };
  const char *at;
  long n;

  get (addr, path, &a);
  at = strstr (buf_c (&a.body), key);
  cr_assert_not_null (at, "no %s in %s", key, buf_c (&a.body));
  n = strtol (at + strcspn (at, "0123456789"), NULL, 10);
  web_free (&a);
  return n;
}

static long
vm_number (int vm, const char *key)
{
  return number_after (proc_addr (vms[vm], "http"), "/lapis/v1/state", key);
}

/* Wait until a node's fencing number is above @p fence. */
static void
wait_for_fence_above (int node, long fence)
{
  for (int i = 0; i < 1200; i++)
    {
      if (number_after (admin[node], REPLICA, "\"fence\"") > fence)
        return;
      usleep (50000);
    }
  cr_assert (false, "node %d did not become owner", node);
}

/*
 * The leader's VM is killed.  Both nodes stop reporting the replica as
 * complete, the spare replaces the VM under a new generation, and both report
 * the replica as complete with another leader.
 */
Test (replica_processes, killed_vm_is_replaced)
{
  char leader[64];

  start_all ();
  snprintf (leader, sizeof leader, "\"leader\":\"%s\"",
            proc_addr (vms[0], "http"));
  wait_for_both (leader);
  proc_signal (vms[0], SIGKILL);
  wait_for_both ("\"whole\":false");
  wait_for_both ("\"generation\":2");
  wait_for_both ("\"whole\":true");
  snprintf (leader, sizeof leader, "\"leader\":\"%s\"",
            proc_addr (vms[2], "http"));
  wait_for_both (leader);
}

/*
 * The owner is suspended past its lease and the other node takes the domain.
 * Then a VM loses its weights and the old owner resumes, so both have a reason
 * to send an order.  The VM must receive only orders with a newer fencing
 * number and refuse none.
 */
Test (replica_processes, suspended_owner_resumes)
{
  int old;
  long fence;

  start_all ();
  old = owner_index ();
  fence = vm_number (1, "\"fence\"");
  proc_signal (nodes[old], SIGSTOP);
  wait_for_fence_above (!old, fence);
  wait_for (!old, "\"whole\":true");
  post (proc_addr (vms[1], "http"), "/control/set",
        "{\"unloaded\":true,\"generation\":0}");
  proc_signal (nodes[old], SIGCONT);
  cr_assert (web_poll_until (proc_addr (vms[1], "http"), "/lapis/v1/state",
                             NULL, "\"unloaded\": false", 60000));
  wait_for_both ("\"whole\":true");
  wait_for_both ("\"generation\":1");
  cr_expect_gt (vm_number (1, "\"fence\""), fence);
  cr_expect_eq (vm_number (1, "\"old_orders\""), 0);
}

/* The store stops responding for longer than a lease, and a member is killed.
   Nothing can be reassigned, but both nodes must report the correct state. */
Test (replica_processes, store_suspended)
{
  struct web_answer a = { 0 };

  start_all ();
  proc_signal (store, SIGSTOP);
  wait_for_both ("\"fence\":0");
  get (admin[0], REPLICA, &a);
  cr_expect_not_null (strstr (buf_c (&a.body), "\"whole\":true"));
  web_free (&a);
  proc_signal (vms[1], SIGKILL);
  wait_for_both ("\"whole\":false");
  proc_signal (store, SIGCONT);
  wait_for_both ("\"generation\":2");
  wait_for_both ("\"whole\":true");
}

/* The replica drains, is formed anew, and its former leader is unloaded. */
static void
expect_leader_replaced (void)
{
  wait_for_both ("\"draining\":true");
  wait_for_both ("\"generation\":2");
  wait_for_both ("\"draining\":false");
  wait_for_both ("\"whole\":true");
  cr_expect (web_poll_until (proc_addr (vms[0], "http"), "/lapis/v1/state",
                             NULL, "\"unloaded\": true", PROC_WAIT_MS));
}

/* A member is listed as leaving: the replica accepts no new requests, the
   spare replaces the VM, and the VM ends without weights. */
Test (replica_processes, leaving_vm_is_replaced)
{
  start_all ();
  post (proc_addr (platform, "http"), "/control/set",
        "{\"vms\":{\"v1\":\"leaving\"}}");
  expect_leader_replaced ();
}

/* Guards against a VM that serves on after it has announced its shutdown in
   responses, while the platform still lists it as live. */
Test (replica_processes, vm_that_announces_its_shutdown_is_replaced)
{
  start_all ();
  post (proc_addr (vms[0], "http"), "/control/set", "{\"leaving\":true}");
  expect_leader_replaced ();
}

/* An operator drains the replica through the node that is not the owner. */
Test (replica_processes, operator_drains)
{
  start_all ();
  post (admin[!owner_index ()], REPLICA "/drain", "{}");
  wait_for_both ("\"draining\":true");
  wait_for_both ("\"state\":\"draining\"");
}
