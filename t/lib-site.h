/**
 * @file
 * A whole site of real processes: two entry VMs (a control process and a
 * gateway each) before one fabric domain of three VMs, in which the managed
 * replica "r1" of two VMs runs and the third is a spare, and the plain
 * service "soko-api" of two backend servers.
 */
#ifndef LAPISLINE_T_LIB_SITE_H
#define LAPISLINE_T_LIB_SITE_H

#include "t/lib-front.h"

#define SITE_NODES 2
#define SITE_VMS 3
#define SITE_ADMIN "Authorization: Bearer site-token\r\n"

/** Evidence lasts three seconds; a view of it may be one second on its way
    from control to a busy gateway. */
#define SITE_EVIDENCE_MS 4000

enum site_servers
{
  SITE_CHECK_FENCE, /**< backend servers refuse old fencing numbers */
  SITE_IGNORE_FENCE
};

struct site
{
  enum site_servers servers;
  struct proc *store, *platform;
  struct proc *vm[SITE_VMS]; /**< v1 (the leader), v2, v3 (the spare) */
  struct proc *soko[2];
  struct proc *control[SITE_NODES];
  struct proc *gateway[SITE_NODES];
  const char *peer[SITE_NODES];  /**< of control */
  const char *admin[SITE_NODES]; /**< of control */
  const char *http[SITE_NODES];  /**< callers' addresses */
};

/** Start all, and wait until each gateway answers a completion. */
void site_up (struct site *s, enum site_servers servers);

/** Start a control process that was ended again, at its old address. */
void site_restart_control (struct site *s, int node);

/** Start VM number @p vm again: blank, at its old address. */
void site_replace_vm (struct site *s, int vm);

/** One completion at a node: "STATUS OUTCOME CODE". */
const char *site_call (const struct site *s, int node);

/** Call until it is answered so; false when it never is. */
bool site_call_until (const struct site *s, int node, const char *outcome);

/** Wait until a node's control says @p text of the replica. */
void site_until (const struct site *s, int node, const char *text);
void site_until_both (const struct site *s, const char *text);

/** Number of the node that owns the domain. */
int site_owner (const struct site *s);

/** Fencing number of the domain's owner as a node knows it; 0: none. */
long site_fence (const struct site *s, int node);

/** Wait until a node knows of an owner under a number above @p fence. */
void site_until_fence_above (const struct site *s, int node, long fence);

/** Set faults of the store, also while it refuses connections. */
void site_store_fault (const struct site *s, const char *json);

/** Number behind a key of a VM's state, e.g. "\"orders\"". */
long site_vm_number (const struct site *s, int vm, const char *key);

#endif
