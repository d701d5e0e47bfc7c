/**
 * @file
 * Replicas of one fabric domain: assignment, orders and health (decision core,
 * chart "replica").
 *
 * The assignment of the whole domain is one store key, and each change is one
 * compare-and-swap of it, so no VM can be in two replicas.  A VM moves to
 * another replica in two steps: it is released (the old generation is drained
 * and the VM reports that its weights are unloaded), then assigned.  The
 * caller supplies the assignment as read, the probe results, the platform's
 * list of VMs and the store's responses.
 *
 * A replica is complete while each member has responded to a probe within the
 * last REP_PROBE_VALID_MS and reported that it is ready, with the name and
 * generation of this replica.  The states are those of charts/replica.json:
 * absent, forming, loading, whole (complete), degraded, draining, releasing,
 * gone.
 *
 * Callers: control/domains.c, with one core for each fabric domain whose home
 * is its node, and builtin/assign-world.c for `bench assign`.
 */
#ifndef LAPISLINE_REPLICA_REPLICA_H
#define LAPISLINE_REPLICA_REPLICA_H

#include "config/config.h"
#include "store/store.h"

/** How long a probe result is valid; docs/DESIGN.md explains the trade-off. */
#define REP_PROBE_VALID_MS ((clk_ms)3000)
/** Probe interval. */
#define REP_PROBE_MS ((clk_ms)1000)

/** State reported by a VM's backend server (GET /lapis/v1/state). */
struct rep_member_state
{
  struct str replica; /**< empty: none */
  int64_t generation;
  bool ready;
  bool unloaded;            /**< no weights loaded */
  uint32_t inflight_tokens; /**< tokens in flight */
  int64_t fence; /**< highest fencing number seen; 0: the server ignores them
                  */
};

enum rep_event_kind
{
  REP_TICK,
  REP_CONFIG,     /**< cfg */
  REP_ASSIGNMENT, /**< value and mod_rev as read (mod_rev 0: key is absent) */
  REP_PROBED,     /**< vm, member: response to a probe */
  REP_PROBE_FAILED,   /**< vm */
  REP_VM_LISTED,      /**< vm, on: listed as live; off: leaving */
  REP_ORDER_RESPONSE, /**< vm, token; on: the server accepted the order */
  REP_STORE_RESPONSE, /**< token, result */
  REP_OWNER,          /**< on, fence: whether this node owns the domain */
  REP_DRAIN, /**< replica, on: an operator requested a drain; off: ended it */
  REP_MAY_LOAD,      /**< on: this domain may load weights now */
  REP_COMPLETE_COUNT /**< model, ncomplete: number of complete replicas
                    of the model in all domains */
};

struct rep_event
{
  enum rep_event_kind kind;
  const struct cfg *cfg;
  struct str value;
  int64_t mod_rev;
  struct str vm;
  struct str replica;
  struct rep_member_state member;
  uint64_t token;
  const struct store_result *result;
  bool on;
  int64_t fence;
  struct str model;
  unsigned ncomplete;
};

enum rep_order
{
  REP_LOAD, /**< model, replica, generation, rank */
  REP_UNLOAD
};

enum rep_action_kind
{
  REP_PROBE,        /**< vm */
  REP_SEND_ORDER,   /**< vm, order, ...; only if own_may_order() is true */
  REP_STORE_TXN,    /**< token, txn */
  REP_STORE_READ,   /**< token, key */
  REP_VIEWS_CHANGED /**< a replica changed: see rep_views() */
};

/** Strings are valid until the next event, those of txn until its response. */
struct rep_action
{
  enum rep_action_kind kind;
  uint64_t token;
  const struct cfg_vm *vm;
  enum rep_order order;
  struct str model;
  struct str replica;
  int64_t generation;
  unsigned rank;
  unsigned world; /**< number of ranks */
  int64_t fence;
  struct str key;
  struct store_txn txn; /**< owned by the core until the response */
};

struct rep_view
{
  struct str replica;
  struct str model;
  int64_t generation;
  int state; /**< of chart "replica" */
  bool complete;
  bool draining;
  clk_ms probed_at; /**< oldest probe result among its members */
  uint32_t inflight_tokens;
  const struct cfg_vm *leader;
  size_t members;
};

/** Repair policy for a replica that lost a VM. */
enum rep_repair_policy
{
  REP_REPAIR_BY_COST,  /**< lowest expected cost by the configured weights */
  REP_REPAIR_DISSOLVE, /**< for comparison: release its VMs at once */
  REP_REPAIR_WAIT      /**< for comparison: wait until the VM returns */
};

struct rep_options
{
  struct str domain;
  struct str key;       /**< key of the assignment in the store */
  struct str owner_key; /**< owner key of the domain; each change compares its
                           revision with the fencing number */
  enum rep_repair_policy repair_policy;
  bool no_budget; /**< for comparison: load all replicas at the same time */
};

struct rep;

struct rep *rep_new (const struct rep_options *opt, uint64_t seed);
void rep_free (struct rep *r);

/** Process an event.  Its data need not outlive the call (cfg is
    referenced). */
void rep_event (struct rep *r, clk_ms now, const struct rep_event *ev);

/** Fetch the next action; after each event, call it until it returns false. */
bool rep_next (struct rep *r, struct rep_action *out);

/** All replicas of the domain; valid until the next event. */
const struct rep_view *rep_views (struct rep *r, clk_ms now, size_t *n);

/** Total milliseconds of replica downtime, and of VMs held by replicas that
    were not complete. */
void rep_downtime_stats (const struct rep *r, double *downtime,
                         double *stranded);

#endif
