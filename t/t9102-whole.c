/*
 * No request reaches a replica with a VM missing, over a whole site of real
 * processes in mode manage: the replica is formed, loaded, hit, and formed
 * anew.  The judges are the VMs' own counts of runs and orders.
 */
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "t/lib-site.h"

#define LEADER 0
#define MEMBER 1
#define SPARE 2

TestSuite (whole, .fini = proc_stop_all, .timeout = 180);

/** The domain's servers read orders and never act: nothing is repaired. */
static void
no_repair (const struct site *s, bool on)
{
  front_fault (s->vm[LEADER],
               on ? "{\"drop_orders\": true}" : "{\"drop_orders\": false}");
  front_fault (s->vm[SPARE],
               on ? "{\"drop_orders\": true}" : "{\"drop_orders\": false}");
}

/** Past the bound, both gateways refuse and the leader's count stands. */
static void
expect_not_served (const struct site *s)
{
  usleep (SITE_EVIDENCE_MS * 1000);
  int runs = front_count (s->vm[LEADER], "runs");
  for (int i = 0; i < 40; i++)
    cr_expect_str_eq (site_call (s, i % SITE_NODES), "503 not-run no-replica");
  cr_expect_eq (front_count (s->vm[LEADER], "runs"), runs,
                "served with a VM missing");
}

static void
expect_served_again (const struct site *s)
{
  for (int i = 0; i < SITE_NODES; i++)
    cr_expect (site_call_until (s, i, "200 done -"), "entry-%d", i + 1);
}

/* A member is killed.  Callers are refused as not run until the spare has
   loaded the missing part under a new generation; nothing reaches the leader
   in between, though it is well and answers. */
Test (whole, member_killed)
{
  struct site s;

  site_up (&s, SITE_CHECK_FENCE);
  no_repair (&s, true);
  proc_signal (s.vm[MEMBER], SIGKILL);
  expect_not_served (&s);
  no_repair (&s, false);
  expect_served_again (&s);
  cr_expect_gt (site_vm_number (&s, SPARE, "\"generation\""), 1);
}

/* A member is frozen: its connections stay open and say nothing.  It counts
   for as long as its last answer does.  The spare takes its place; awake
   again, the old member is one of no replica, whatever it believes. */
Test (whole, member_frozen_and_awake)
{
  struct site s;

  site_up (&s, SITE_CHECK_FENCE);
  no_repair (&s, true);
  proc_signal (s.vm[MEMBER], SIGSTOP);
  expect_not_served (&s);
  no_repair (&s, false);
  expect_served_again (&s);
  proc_signal (s.vm[MEMBER], SIGCONT);
  cr_expect (web_poll_until (proc_addr (s.vm[MEMBER], "http"),
                             "/lapis/v1/state", NULL, "\"unloaded\": true",
                             60000));
  expect_served_again (&s);
  cr_expect_eq (front_count (s.vm[MEMBER], "runs"), 0);
}

/* A member that is alive and ready reports another generation: its part is
   not that of the others. */
Test (whole, member_of_another_generation)
{
  struct site s;

  site_up (&s, SITE_CHECK_FENCE);
  no_repair (&s, true);
  front_fault (s.vm[MEMBER], "{\"generation\": 7, \"drop_orders\": true}");
  expect_not_served (&s);
  front_fault (s.vm[MEMBER], "{\"drop_orders\": false}");
  no_repair (&s, false);
  expect_served_again (&s);
}

/* A member's VM is replaced within a second: the new one answers under the
   old name and address, and is blank.  Nothing reaches the leader until it
   was told to load, and has. */
Test (whole, member_replaced_under_its_name)
{
  struct site s;

  site_up (&s, SITE_CHECK_FENCE);
  no_repair (&s, true);
  proc_signal (s.vm[MEMBER], SIGKILL);
  cr_assert_eq (proc_wait (s.vm[MEMBER], PROC_WAIT_MS), 128 + SIGKILL);
  site_replace_vm (&s, MEMBER);
  front_fault (s.vm[MEMBER], "{\"drop_orders\": true}");
  expect_not_served (&s);
  front_fault (s.vm[MEMBER], "{\"drop_orders\": false}");
  no_repair (&s, false);
  expect_served_again (&s);
}

/* All control is gone when a member is killed: the gateways probe the
   domain's VMs themselves, and refuse by what they see. */
Test (whole, member_killed_without_control)
{
  struct site s;

  site_up (&s, SITE_CHECK_FENCE);
  for (int i = 0; i < SITE_NODES; i++)
    proc_signal (s.control[i], SIGKILL);
  proc_signal (s.vm[MEMBER], SIGKILL);
  expect_not_served (&s);
}

/* The store is down throughout.  Callers are served for longer than any
   lease lasts; a member that dies ends that within the bound; a replica
   can't be formed anew until the store is back, and then is. */
Test (whole, store_down_throughout)
{
  struct site s;

  site_up (&s, SITE_CHECK_FENCE);
  site_store_fault (&s, "{\"down\": true, \"mode\": \"refuse\"}");
  site_until_both (&s, "\"fence\":0");
  for (int i = 0; i < 100; i++)
    {
      cr_expect_str_eq (site_call (&s, i % SITE_NODES), "200 done -");
      usleep (20000);
    }
  proc_signal (s.vm[MEMBER], SIGKILL);
  expect_not_served (&s);
  site_store_fault (&s, "{\"clear\": true}");
  expect_served_again (&s);
}

/* A whole fabric domain goes dark: every VM of it freezes.  Nobody is served
   and nothing is reassigned, as it may be this side that is cut off.  Back
   again, the replica serves as it was, without an order to any VM. */
Test (whole, domain_dark_and_back)
{
  struct site s;
  long orders = 0;

  site_up (&s, SITE_CHECK_FENCE);
  for (int i = 0; i < SITE_VMS; i++)
    orders += site_vm_number (&s, i, "\"orders\"");
  for (int i = 0; i < SITE_VMS; i++)
    proc_signal (s.vm[i], SIGSTOP);
  usleep (SITE_EVIDENCE_MS * 1000);
  for (int i = 0; i < 40; i++)
    cr_expect_str_eq (site_call (&s, i % SITE_NODES),
                      "503 not-run no-replica");
  for (int i = 0; i < SITE_VMS; i++)
    proc_signal (s.vm[i], SIGCONT);
  expect_served_again (&s);
  for (int i = 0; i < SITE_VMS; i++)
    orders -= site_vm_number (&s, i, "\"orders\"");
  cr_expect_eq (orders, 0, "a VM got an order");
}

/** The owner frozen until the other node has its domain; its number. */
static int
freeze_owner (const struct site *s)
{
  int old = site_owner (s);
  long fence = site_fence (s, old);

  proc_signal (s->control[old], SIGSTOP);
  for (int i = 0; i < 40; i++)
    {
      cr_expect_str_eq (site_call (s, i % SITE_NODES), "200 done -");
      usleep (100000);
    }
  site_until_fence_above (s, !old, fence);
  site_until (s, !old, "\"whole\":true");
  return old;
}

/* The owner is frozen past its lease and the other node takes the domain;
   callers see nothing of it.  A member loses its weights, and the old owner
   wakes and sees the same.  Nobody is served by half of a replica, and the
   order that reaches the member is the new owner's. */
Test (whole, frozen_owner_wakes)
{
  struct site s;

  site_up (&s, SITE_CHECK_FENCE);
  long fence = site_vm_number (&s, MEMBER, "\"fence\"");
  int old = freeze_owner (&s);
  front_fault (s.vm[MEMBER], "{\"unloaded\": true, \"generation\": 0}");
  proc_signal (s.control[old], SIGCONT);
  cr_expect (web_poll_until (proc_addr (s.vm[MEMBER], "http"),
                             "/lapis/v1/state", NULL, "\"unloaded\": false",
                             60000));
  site_until_both (&s, "\"whole\":true");
  expect_served_again (&s);
  cr_expect_eq (site_vm_number (&s, MEMBER, "\"generation\""), 1);
  cr_expect_eq (site_vm_number (&s, MEMBER, "\"old_orders\""), 0);
  cr_expect_gt (site_vm_number (&s, MEMBER, "\"fence\""), fence);
}

/* The backend servers take any order.  While the owner is frozen the other
   node puts the spare in a dead member's place, and a blank VM comes back
   under the member's name.  The old owner wakes and remembers that VM as its
   replica's: it must order nothing by that, or the VM would be in two. */
Test (whole, frozen_owner_wakes_to_another_generation)
{
  struct site s;

  site_up (&s, SITE_IGNORE_FENCE);
  int old = freeze_owner (&s);
  proc_signal (s.vm[MEMBER], SIGKILL);
  cr_assert_eq (proc_wait (s.vm[MEMBER], PROC_WAIT_MS), 128 + SIGKILL);
  site_until (&s, !old, "\"generation\":2");
  site_until (&s, !old, "\"whole\":true");
  site_replace_vm (&s, MEMBER);
  proc_signal (s.control[old], SIGCONT);
  /* The domain goes back to it, which knows of the old generation only. */
  for (int i = 0; i < 200; i++)
    {
      usleep (10000);
      cr_expect_str_eq (site_call (&s, !old), "200 done -");
    }
  site_until_both (&s, "\"generation\":2");
  site_until_both (&s, "\"whole\":true");
  for (int i = 0; i < 60; i++)
    {
      usleep (100000);
      cr_expect_str_eq (site_call (&s, !old), "200 done -");
    }
  expect_served_again (&s);
  cr_expect_eq (site_vm_number (&s, MEMBER, "\"orders\""), 0);
  cr_expect_eq (site_vm_number (&s, LEADER, "\"generation\""), 2);
  cr_expect_eq (site_vm_number (&s, SPARE, "\"generation\""), 2);
}
