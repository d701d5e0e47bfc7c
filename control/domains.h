/**
 * @file
 * Internal interface of the fabric domains.
 *
 *   domains.c    which domains this node is home of; runs the cores' actions
 *   dom-calls.c  probes, orders and the platform's list over HTTP
 *   dom-avail.c  pauses and shutdowns that VMs announce
 *   dom-store.c  store calls for the cores
 *   dom-view.c   evidence to and from other nodes, and the merged list
 *   dom-turn.c   which domains may load weights at the same time
 *
 * The home of a domain is the node that hashing picks to probe its VMs.  The
 * owner is the home that holds the domain's lease; only it sends orders.
 * Evidence is the state of a domain's replicas that its home sends to the
 * other nodes.  The cores of a domain are the state machines of
 * replica/owner.h and replica/replica.h.
 */
#ifndef LAPISLINE_CONTROL_DOMAINS_H
#define LAPISLINE_CONTROL_DOMAINS_H

#include "back/back.h"
#include "control/control.h"
#include "replica/owner.h"

#include <glib.h>

#define DOM_TICK_MS ((clk_ms)100)
#define DOM_PROBE_TIMEOUT_MS ((clk_ms)800)
#define DOM_ORDER_TIMEOUT_MS ((clk_ms)2000)
#define DOM_LEASE_MS ((clk_ms)6000)
#define DOM_BROADCAST_INTERVAL_MS ((clk_ms)1000)
/** Longest interval between full messages of evidence, which contain names. */
#define DOM_FULL_INTERVAL_MS ((clk_ms)5000)
/** Number of full broadcasts after a peer has linked. */
#define DOM_FULL_AFTER_LINK 3
#define DOM_PLATFORM_INTERVAL_MS ((clk_ms)1000)
/** Number of domains that may load weights at once. */
#define DOM_MAX_LOADING 4
/** A domain that has waited this long may load in any case. */
#define DOM_MAX_LOAD_WAIT_MS (10 * CLK_MINUTE)
#define DOM_LOAD_SCHEDULE_INTERVAL_MS ((clk_ms)1000)
/** Evidence from a home without the lease is accepted once no owner has sent
    any for this long.  Shorter than REP_PROBE_VALID_MS, so that replica states
    don't expire in between. */
#define DOM_OWNER_TIMEOUT_MS ((clk_ms)1500)
/** A new home sends no evidence for this long, unless it finds every replica
    complete earlier. */
#define DOM_PUBLISH_DELAY_MS ((clk_ms)3000)

struct dom;

enum dom_call_kind
{
  DCALL_PROBE,
  DCALL_ORDER,
  DCALL_STORE_OWNER,
  DCALL_STORE_ASSIGNMENT
};

/** A probe, an order or a store call in progress for a domain. */
struct dom_call
{
  struct dom *dom;
  enum dom_call_kind kind;
  struct httpc_call *http; /* NULL for store calls */
  struct buf vm;
  uint64_t server; /* avl_address_key() of the VM's address */
  struct buf body;
  uint64_t token; /* of the core's action */
  int status;
  clk_ms deadline;
  struct dom_call *next;
};

/** The last evidence received about a domain. */
struct dom_remote
{
  int64_t fence;            /* highest received */
  clk_ms owner_received_at; /* when an owner's evidence was last received */
  Lapis__Evidence *evidence;
  clk_ms received_at;
};

/** One fabric domain of the configuration. */
struct dom
{
  struct ctl_domains *domains;
  struct buf name;
  const struct cfg_domain *cfg;
  bool managed; /* has a replica of mode CFG_MANAGE */
  bool home;    /* this node probes it, and owns it if it gets the lease */
  struct buf home_node;
  bool changed;           /* evidence changed since the last tick */
  clk_ms load_wait_since; /* start of its wait to load; 0: none */
  struct own *own;
  struct rep *rep;
  struct dom_call *calls;
  uint64_t seq;      /* random start: no match with another home's full_seq */
  uint64_t full_seq; /* of the last full message */
  size_t sent_replicas; /* their number in the last message */
  int full_remaining;   /* upcoming broadcasts that must be full */
  clk_ms sent_at, full_sent_at;
  clk_ms publish_after; /* 0: dom_may_publish() has returned true */
  struct dom_remote remote;
};

struct ctl_domains
{
  struct ctl *c;
  uv_timer_t timer;
  struct cfg *cfg;
  struct dom **list;
  size_t n;
  struct dom **dom_by_replica; /* in the order of the configuration's
                                  replicas */
  clk_ms next_platform_read;
  clk_ms next_load_schedule;
  struct httpc_call *platform;
  struct buf platform_body;
  int platform_status;
  GPtrArray *leaving; /* backend servers that leave, from the list read here */
  GPtrArray *all_leaving; /* and those from evidence; borrows strings */
  clk_ms platform_deadline;
  struct avl *avail; /* what VMs have announced to this process */
  struct ctl_replica *merged;
  size_t nmerged;
  struct met_series *probes, *orders, *stopped_orders, *evidence_bytes;
  struct met_series *paused, *announced_leaving;
};

/* domains.c */
void dom_run_actions (struct dom *d);
struct dom *dom_find (const struct ctl_domains *domains, struct str name);

/* dom-calls.c */
void dom_probe (struct dom *d, const struct cfg_vm *vm);
void dom_order (struct dom *d, const struct rep_action *a);
/** Fails calls that are past their deadline. */
void dom_calls_tick (struct dom *d, clk_ms now);
/** Cancels every call; their callbacks don't run. */
void dom_calls_cancel (struct dom *d);
struct dom_call *dom_call_new (struct dom *d, enum dom_call_kind kind);
void dom_call_free (struct dom_call *call);
void dom_platform_tick (struct ctl_domains *domains, clk_ms now);
void dom_platform_stop (struct ctl_domains *domains);
bool dom_list_contains (const GPtrArray *names, const char *name);

/* dom-avail.c */
/** Reads what the head of a response says of the VM's availability. */
void dom_avail_response (struct dom_call *call, int status,
                         const struct http_header *headers, size_t n);
/** Whether a connected probe or order may be sent; counts it. */
bool dom_avail_may_send (const struct dom_call *call);
bool dom_avail_is_paused (const struct dom *d, const struct cfg_vm *vm);
/** Whether the VM has announced its shutdown. */
bool dom_avail_is_leaving (const struct ctl_domains *domains, struct str vm);
/** Updates the metrics. */
void dom_avail_tick (struct ctl_domains *domains);

/* dom-store.c */
void dom_store_owner (struct dom *d, const struct own_action *a);
void dom_store_assignment (struct dom *d, const struct rep_action *a);

/* dom-view.c */
void dom_broadcast (struct dom *d, clk_ms now);
/** Whether this home has probed enough to use and send its evidence. */
bool dom_may_publish (struct dom *d, clk_ms now);
void dom_remote_free (struct dom_remote *r);
/** Before the cores stop: hands this owner's evidence on to dom_remote. */
void dom_keep_evidence (struct dom *d, clk_ms now);

/* dom-turn.c */
/** Sets for each core whether it may load weights, and how many replicas of
    each model serve. */
void dom_schedule_loads (struct ctl_domains *domains, clk_ms now);

#endif
