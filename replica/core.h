/**
 * @file
 * What the files of the replica core share; callers use replica.h.
 *
 *   replica.c   events in, actions out, configuration, views, measures
 *   change.c    the assignment as read, and its changes by compare-and-swap
 *   evidence.c  which replicas are whole, and the chart's steps
 *   orders.c    load and unload orders, repeated until the VM reports them
 *   place.c     forming, adopting, and what to do about a lost member
 *   drain.c     operators' drains, leaving VMs, releasing
 *   budget.c    whose turn it is to load weights
 */
#ifndef LAPISLINE_REPLICA_CORE_H
#define LAPISLINE_REPLICA_CORE_H

#include "base/chart.h"
#include "base/rng.h"
#include "replica/assign.h"
#include "replica/replica.h"

/** Failed probes in a row after which a VM counts as missing. */
#define REP_FAILURES 2
/** How long a VM must report no load before it counts as drained. */
#define REP_IDLE_MS ((clk_ms)3000)
/** Time for every gateway to hear that a replica takes no new work. */
#define REP_HEARD_MS ((clk_ms)3000)
/** How long a member may be missing before the assignment changes. */
#define REP_GRACE_MS ((clk_ms)5000)
/** How long a domain that was dark may take to come back whole. */
#define REP_DARK_MS ((clk_ms)60000)
/** How long a new owner waits for all members of a running replica. */
#define REP_ADOPT_MS ((clk_ms)60000)
/** Period of reading the assignment, as an owner and otherwise. */
#define REP_READ_MS ((clk_ms)2000)
#define REP_IDLE_READ_MS ((clk_ms)10000)
#define REP_ORDER_RETRY_MS ((clk_ms)2000)
#define REP_STORE_RETRY_MS ((clk_ms)1000)
/** After this a store call or an order without an answer is given up. */
#define REP_ANSWER_MS ((clk_ms)5000)

/** States of chart "replica", in its order. */
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

/** One VM of the domain and what it last said. */
struct rep_vm
{
  const struct cfg_vm *cfg;
  bool answered;
  clk_ms answered_at;
  unsigned failures; /* in a row */
  clk_ms lost_at;    /* first failure after the last answer; 0: none */
  clk_ms idle_since; /* no load since; 0: has load */
  bool leaving;      /* by the platform's list */
  struct buf replica;
  struct rep_member_state said; /* its text is in `replica` */
  clk_ms next_probe;
  uint64_t order_token; /* 0: none under way */
  clk_ms next_order;
};

/** One replica of the domain. */
struct rep_replica
{
  char *name;
  const struct cfg_replica *cfg; /* NULL: only in the assignment */
  const struct cfg_model *model; /* NULL: not configured any more */
  bool managed;
  int state;
  int64_t generation;
  size_t vms[ASN_MAX_VMS]; /* into rep.vms */
  size_t nvms;
  bool declared_all; /* every member is a VM of the domain */
  bool complete;
  bool draining; /* takes no new work, for whatever reason */
  clk_ms drain_since;
  clk_ms down_since;
  clk_ms probed_at;
  uint32_t load;
  bool has_slot; /* of the weight-load budget */
  clk_ms slot_since;
  clk_ms slot_load_ms; /* how long the weight store is busy with it */
};

struct rep_pending_drain
{
  char *name;
  bool on;
};

struct rep_live
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

  struct asn doc;
  bool doc_known;
  bool doc_fresh; /* read since this node became owner, and since a write of
                     unknown outcome: only then it may be acted on */
  bool doc_bad;   /* not readable: nothing is changed or ordered */
  int64_t mod_rev;
  clk_ms read_at;
  enum rep_call call;
  uint64_t call_token;
  clk_ms call_at;
  clk_ms next_change;
  struct asn next; /* proposed, until the store's answer */
  struct buf next_text;
  struct store_compare compares[2];
  struct store_put put;

  bool owner;
  int64_t fence;
  clk_ms settle_until; /* a new owner first probes every VM */
  clk_ms owner_since;
  struct rep_pending_drain *drains;
  size_t ndrains;

  clk_ms dark_until; /* most VMs were missing; no repairs before */
  bool turn;
  struct rep_live *lives;
  size_t nlives;

  uint64_t tokens;
  struct rep_action *queue;
  size_t head, count, cap;
  struct rep_view *views;
  clk_ms measured_at;
  double downtime, stranded;
};

/* replica.c */
struct rep_action *rep_push (struct rep *r, enum rep_action_kind kind);
/** Rebuild replicas and their members from configuration and assignment. */
void rep_rebuild (struct rep *r, clk_ms now);
struct rep_vm *rep_vm_find (const struct rep *r, struct str name);
struct rep_replica *rep_replica_find (const struct rep *r, const char *name);
struct rep_replica *rep_replica_named (const struct rep *r, struct str name);

/* change.c */
void chg_set (struct rep *r, clk_ms now, struct str value, int64_t mod_rev);
void chg_read (struct rep *r, clk_ms now);
void chg_answer (struct rep *r, clk_ms now, uint64_t token,
                 const struct store_result *res);
/** Read again or give up a call, when it is time. */
void chg_tick (struct rep *r, clk_ms now);
/** Write the next assignment when one of the decisions asks for it. */
void chg_decide (struct rep *r, clk_ms now);

/* evidence.c */
bool evd_present (const struct rep_vm *vm, clk_ms now);
/** Present, and reports this replica and generation as ready. */
bool evd_matches (const struct rep_vm *vm, clk_ms now, struct str replica,
                  int64_t generation);
/** Present and holding no weights. */
bool evd_unloaded (const struct rep_vm *vm, clk_ms now);
/** Whether any member of the replica is missing. */
bool evd_member_missing (const struct rep *r, const struct rep_replica *p,
                         clk_ms now);
/** VMs that report this replica under its highest generation. */
size_t evd_reporting (const struct rep *r, clk_ms now, struct str replica,
                      size_t *vms, int64_t *generation);
/** Bring one replica, or all, up to date; pushes REP_VIEWS_CHANGED on change.
 */
void evd_update (struct rep *r, clk_ms now, struct rep_replica *p);
void evd_update_all (struct rep *r, clk_ms now);
void evd_step (struct rep *r, struct rep_replica *p, const char *event);

/* orders.c */
void ord_tick (struct rep *r, clk_ms now);
void ord_done (struct rep *r, clk_ms now, struct rep_vm *vm, uint64_t token,
               bool ok);

/* place.c: each returns whether it changed @p next. */
bool plc_repair (struct rep *r, clk_ms now, struct asn *next);
bool plc_form (struct rep *r, clk_ms now, struct asn *next);
/** A VM that may be given to a replica now, or NULL. */
struct rep_vm *plc_spare (const struct rep *r, clk_ms now,
                          const struct asn *doc);

/* drain.c: each returns whether it changed @p next. */
bool drn_operators (struct rep *r, struct asn *next);
bool drn_release (struct rep *r, clk_ms now, struct asn *next);
bool drn_leaving (struct rep *r, clk_ms now, struct asn *next);
/** Set r->draining of one replica from all reasons that there are. */
void drn_update (struct rep *r, clk_ms now, struct rep_replica *p);
void drn_ask (struct rep *r, struct str replica, bool on);

/* budget.c */
void bud_tick (struct rep *r, clk_ms now);
void bud_live (struct rep *r, struct str model, unsigned live);
/** Time for a replica to load all its weights alone. */
clk_ms bud_load_ms (const struct rep *r, const struct cfg_model *m);

#endif
