/**
 * @file
 * Replicas of one fabric domain: assignment, orders, evidence (decision
 * core, chart "replica").
 *
 * The domain's whole assignment is one store key; each change is one
 * compare-and-swap of it, so no VM can be in two replicas.  A VM changes hands
 * in two steps: released (its old generation drained and its unload seen),
 * then assigned.  The core is fed by the owner's shell: the assignment as
 * read, what each VM answered to probes, the platform's list, store answers.
 *
 * A replica is whole while each member answered a probe within the evidence
 * time with this replica's name and generation and as ready.  Its states are
 * those of charts/replica.json: absent, forming, loading, whole, degraded,
 * draining, releasing, gone.
 *
 * Callers: control/domains.c, one core for each domain that its node is home
 * of, and builtin/assign-world.c for `bench assign`.
 */
#ifndef LAPISLINE_REPLICA_REPLICA_H
#define LAPISLINE_REPLICA_REPLICA_H

#include "config/config.h"
#include "store/store.h"

/** How long an answered probe counts; docs/DESIGN.md weighs it. */
#define REP_PROBE_VALID_MS ((clk_ms)3000)
/** Period of probes. */
#define REP_PROBE_MS ((clk_ms)1000)

/** What a VM's backend server says of itself (GET /lapis/v1/state). */
struct rep_member_state
{
  struct str replica; /**< empty: none */
  int64_t generation;
  bool ready;
  bool unloaded; /**< holds no weights */
  uint32_t load; /**< tokens in flight */
  int64_t fence; /**< highest seen; 0 when it ignores them */
};

enum rep_event_kind
{
  REP_TICK,
  REP_CONFIG,         /**< cfg */
  REP_ASSIGNMENT,     /**< value and mod_rev as read (mod_rev 0: none yet) */
  REP_PROBED,         /**< vm, member: answered */
  REP_PROBE_FAILED,   /**< vm */
  REP_VM_LISTED,      /**< vm, on: listed as live; off: leaving */
  REP_ORDER_RESPONSE, /**< vm, token; on: it was obeyed */
  REP_STORE_RESPONSE, /**< token, result */
  REP_OWNER,          /**< on, fence: this node owns the domain or not */
  REP_DRAIN,          /**< replica, on: operator wants it drained */
  REP_MAY_LOAD,       /**< on: this domain may load weights now */
  REP_LIVE_COUNT      /**< model, live: whole replicas of it anywhere */
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
  unsigned live;
};

enum rep_order
{
  REP_LOAD, /**< model, replica, generation, rank */
  REP_UNLOAD
};

enum rep_action_kind
{
  REP_PROBE,        /**< vm */
  REP_SEND_ORDER,   /**< vm, order, ...; only if own_may_order() says so */
  REP_STORE_TXN,    /**< token, txn */
  REP_STORE_READ,   /**< token, key */
  REP_VIEWS_CHANGED /**< something changed: see rep_views() */
};

/** Strings are valid until the next event, those of a txn until its answer. */
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
  unsigned world;
  int64_t fence;
  struct str key;
  struct store_txn txn; /**< owned by the core until its answer */
};

/** One replica as the core sees it. */
struct rep_view
{
  struct str replica;
  struct str model;
  int64_t generation;
  int state; /**< of chart "replica" */
  bool complete;
  bool draining;
  clk_ms probed_at; /**< oldest answer among its members */
  uint32_t load;
  const struct cfg_vm *leader;
  size_t members;
};

/** What to do about a replica that lost a VM. */
enum rep_repair_policy
{
  REP_REPAIR_BY_COST,  /**< the cheapest by the configuration's weights */
  REP_REPAIR_DISSOLVE, /**< for comparison: give its VMs back at once */
  REP_REPAIR_WAIT      /**< for comparison: until the VM returns */
};

struct rep_options
{
  struct str domain;
  struct str key;       /**< assignment key in the store */
  struct str owner_key; /**< of the domain; each change compares its revision
                             with the fencing number */
  enum rep_repair_policy repair_policy;
  bool no_budget; /**< for comparison: load everything at once */
};

struct rep;

struct rep *rep_new (const struct rep_options *opt, uint64_t seed);
void rep_free (struct rep *r);

/** Something happened; what it refers to need not outlive the call (of the
    configuration a reference is taken). */
void rep_event (struct rep *r, clk_ms now, const struct rep_event *ev);

/** The next action, or false; call it until then after each event. */
bool rep_next (struct rep *r, struct rep_action *out);

/** All replicas of the domain; valid until the next event. */
const struct rep_view *rep_views (struct rep *r, clk_ms now, size_t *n);

/** Milliseconds of group downtime and of stranded accelerators so far. */
void rep_downtime_stats (const struct rep *r, double *downtime,
                         double *stranded);

#endif
