/**
 * @file
 * A site of real processes: two entry VMs (a control process and a gateway
 * each), one fabric domain of three VMs, in which the managed replica "r1"
 * runs on two VMs and the third is a spare, and the plain service "soko-api"
 * with two backend servers.
 */
#ifndef LAPISLINE_T_LIB_SITE_H
#define LAPISLINE_T_LIB_SITE_H

#include "t/lib-front.h"

#define SITE_NODES 2
#define SITE_VMS 3
#define SITE_ADMIN "Authorization: Bearer site-token\r\n"

/** Evidence is valid for 3 s and may take another second to reach a
    busy gateway. */
#define SITE_EVIDENCE_MS 4000

enum site_servers
{
  SITE_CHECK_FENCE, /**< backend servers reject old fencing numbers */
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
  const char *http[SITE_NODES];  /**< client addresses */
};

/** Starts all and waits until each gateway serves a completion. */
void site_up (struct site *s, enum site_servers servers);

/** Restarts a control process at its old address once it has exited, for which
    it has been stopped or killed. */
void site_restart_control (struct site *s, int node);

/** Restarts VM number @p vm without weights, at its old address. */
void site_replace_vm (struct site *s, int vm);

/** Requests one completion from a node; returns "STATUS OUTCOME CODE". */
const char *site_call (const struct site *s, int node);

/** Repeats site_call() until it returns @p outcome; false after a minute. */
bool site_call_until (const struct site *s, int node, const char *outcome);

/** Waits until a node's administration API shows @p text for the replica. */
void site_until (const struct site *s, int node, const char *text);
void site_until_both (const struct site *s, const char *text);

/** Returns the number of the node that owns the domain. */
int site_owner (const struct site *s);

/** Returns the owner's fencing number as listed by a node; 0: none. */
long site_fence (const struct site *s, int node);

/** Waits until a node shows a fencing number above @p fence. */
void site_until_fence_above (const struct site *s, int node, long fence);

/** Sets faults of the store, also while it refuses connections. */
void site_store_fault (const struct site *s, const char *json);

/** Returns the number after a key of a VM's state, e.g. "\"orders\"". */
long site_vm_number (const struct site *s, int vm, const char *key);

#endif
