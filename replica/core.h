/**
 * @file
 * Internal declarations of the replica core; callers include replica.h.
 *
 *   replica.c   event dispatch, action queue, configuration, views, statistics
 *   change.c    reading the assignment and changing it by compare-and-swap
 *   evidence.c  probe results: which replicas are complete; chart transitions
 *   orders.c    load and unload orders, repeated until they have taken effect
 *   place.c     forming and adopting replicas, repair after a member was lost
 *   drain.c     drains by operators, replacement of leaving VMs, release
 *   budget.c    limit on concurrent weight loads
 */
#ifndef LAPISLINE_REPLICA_CORE_H
#define LAPISLINE_REPLICA_CORE_H

#include "base/chart.h"
#include "base/rng.h"
#include "replica/assign.h"
#include "replica/replica.h"

/** Consecutive failed probes after which a VM counts as missing. */
#define REP_MAX_FAILURES 2
/** A VM counts as drained after reporting zero load for this long. */
#define REP_IDLE_MS ((clk_ms)3000)
/** Time after which all gateways have received that a replica is draining. */
#define REP_PROPAGATION_MS ((clk_ms)3000)
/** Time that a member may be missing before the assignment changes. */
#define REP_GRACE_MS ((clk_ms)5000)
/** After most VMs of a domain were missing: time without repairs. */
#define REP_OUTAGE_MS ((clk_ms)60000)
/** How long a new owner waits for all members of a running replica. */
#define REP_ADOPT_MS ((clk_ms)60000)
/** Interval of reading the assignment, on the owner and on other nodes. */
#define REP_READ_MS ((clk_ms)2000)
#define REP_NON_OWNER_READ_MS ((clk_ms)10000)
#define REP_ORDER_RETRY_MS ((clk_ms)2000)
#define REP_STORE_RETRY_MS ((clk_ms)1000)
/** Timeout of a store call or an order. */
#define REP_CALL_TIMEOUT_MS ((clk_ms)5000)

/** States of chart "replica", in the order of the chart. */
enum rep_state
{
  RST_ABSENT,
  RST_FORMING,
  RST_LOADING,
  RST_WHOLE,
  RST_DEGRADED,
  RST_DRAINING,
  RST_RELEASING,
  RST_GONE
};

/** A VM of the domain and the last state that it reported. */
struct rep_vm
{
  const struct cfg_vm *cfg;
  bool responded;
  clk_ms responded_at;
  unsigned failures;     /* consecutive */
  clk_ms missing_since;  /* first failed or overdue probe; 0: none */
  clk_ms idle_since;     /* start of the period without load; 0: has load */
  bool leaving_platform; /* absent from the platform's list */
  struct buf replica;
  struct rep_member_state reported; /* its string points into `replica` */
  clk_ms next_probe;
  uint64_t order_token; /* 0: no order in progress */
  clk_ms next_order;
};

struct rep_replica
{
  char *name;
  const struct cfg_replica *cfg; /* NULL: only in the assignment */
  const struct cfg_model *model; /* NULL: no longer configured */
  bool managed;
  int state;
  int64_t generation;
  size_t vms[ASN_MAX_VMS]; /* indexes into rep.vms */
  size_t nvms;
  bool has_all_vms; /* every member is a VM of the domain */
  bool complete;
  bool draining; /* accepts no new requests */
  clk_ms drain_since;
  clk_ms down_since;
  clk_ms probed_at;
  uint32_t inflight_tokens;
  bool has_slot; /* may load weights (load budget) */
  clk_ms slot_since;
  clk_ms expected_load_ms;
};

struct rep_pending_drain
{
  char *name;
  bool on;
};

struct rep_complete_count
{
  char *model;
  unsigned live;
};

enum rep_call
{
  RCALL_NONE,
  RCALL_READ,
  RCALL_CHANGE
};

struct rep
{
  struct rep_options opt;
  struct buf domain, key, owner_key;
  const struct chart *chart;
  struct rng rng;
  struct cfg *cfg;
  const struct cfg_domain *dom;
  struct rep_vm *vms;
  size_t nvms;
  struct rep_replica *replicas;
  size_t nreplicas;

  struct asn assignment;
  bool has_assignment;
  bool assignment_fresh;   /* read since this node became owner and since the
                              last write with an unknown outcome */
  bool assignment_invalid; /* no change is written and no order sent */
  int64_t mod_rev;
  clk_ms read_at;
  enum rep_call call;
  uint64_t call_token;
  clk_ms call_at;
  clk_ms next_change;
  struct asn proposed; /* valid until the store's response */
  struct buf proposed_text;
  struct store_compare compares[2];
  struct store_put put;

  bool owner;
  int64_t fence;
  clk_ms settle_until; /* a new owner first probes every VM */
  clk_ms owner_since;
  struct rep_pending_drain *pending_drains;
  size_t npending_drains;

  clk_ms outage_until; /* no repairs until then, as most VMs were missing */
  bool may_load;
  struct rep_complete_count *complete_counts;
  size_t ncomplete_counts;

  uint64_t last_token;
  struct rep_action *queue;
  size_t queue_read, queue_len, queue_cap;
  struct rep_view *views;
  clk_ms stats_at;
  double downtime, stranded;
};

/* replica.c */
struct rep_action *rep_push (struct rep *r, enum rep_action_kind kind);
/** Rebuild replicas and their members from configuration and assignment. */
void rep_rebuild (struct rep *r, clk_ms now);
struct rep_vm *rep_vm_find (const struct rep *r, struct str name);
struct rep_replica *rep_replica_find (const struct rep *r, const char *name);
struct rep_replica *rep_replica_by_name (const struct rep *r, struct str name);

/* change.c */
void chg_set_assignment (struct rep *r, clk_ms now, struct str value,
                         int64_t mod_rev);
void chg_read (struct rep *r, clk_ms now);
void chg_on_response (struct rep *r, clk_ms now, uint64_t token,
                      const struct store_result *res);
/** Time out a pending call; start the next periodic read. */
void chg_tick (struct rep *r, clk_ms now);
/** Decide on drains, releases, repairs and new replicas; write the assignment
    if one of these changes it. */
void chg_decide (struct rep *r, clk_ms now);

/* evidence.c */
/** Responded to a probe recently enough to count as running. */
bool evd_present (const struct rep_vm *vm, clk_ms now);
/** Present, ready, and reporting this replica and generation. */
bool evd_reports_ready (const struct rep_vm *vm, clk_ms now,
                        struct str replica, int64_t generation);
/** Present without loaded weights. */
bool evd_unloaded (const struct rep_vm *vm, clk_ms now);
/** Whether any member of the replica is missing. */
bool evd_member_missing (const struct rep *r, const struct rep_replica *p,
                         clk_ms now);
/** Finds the VMs that report this replica under its highest generation. */
size_t evd_reporting (const struct rep *r, clk_ms now, struct str replica,
                      size_t *vms, int64_t *generation);
/** Recompute the state of one replica or of all; pushes REP_VIEWS_CHANGED on
    change. */
void evd_update (struct rep *r, clk_ms now, struct rep_replica *p);
void evd_update_all (struct rep *r, clk_ms now);
void evd_apply_event (struct rep *r, struct rep_replica *p, const char *event);

/* orders.c */
void ord_tick (struct rep *r, clk_ms now);
void ord_on_response (struct rep *r, clk_ms now, struct rep_vm *vm,
                      uint64_t token, bool ok);

/* place.c: each function returns whether it changed @p next. */
bool plc_repair (struct rep *r, clk_ms now, struct asn *next);
bool plc_form (struct rep *r, clk_ms now, struct asn *next);
/** A VM that can be assigned to a replica now, or NULL. */
struct rep_vm *plc_find_free_vm (const struct rep *r, clk_ms now,
                                 const struct asn *assignment);

/* drain.c: each function returns whether it changed @p next. */
bool drn_apply_requests (struct rep *r, struct asn *next);
bool drn_release (struct rep *r, clk_ms now, struct asn *next);
bool drn_replace_leaving (struct rep *r, clk_ms now, struct asn *next);
/** Recompute p->draining. */
void drn_update (struct rep *r, clk_ms now, struct rep_replica *p);
void drn_request (struct rep *r, struct str replica, bool on);

/* budget.c */
void bud_tick (struct rep *r, clk_ms now);
void bud_set_complete_count (struct rep *r, struct str model,
                             unsigned ncomplete);
/** Time to load all weights of a replica while no other replica loads. */
clk_ms bud_load_ms (const struct rep *r, const struct cfg_model *m);

#endif
