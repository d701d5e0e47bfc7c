/**
 * @file
 * Internal declarations shared by the files of the replica core.
 *
 *   form.c        events, server states, adoption of existing replicas
 *   form-group.c  state machine of one replica, from joining to closed
 *   form-plan.c   how many replicas of each model a domain should have
 *   form-place.c  assignment of VMs to replicas, warm spares
 *   form-demand.c requests of each model
 *   form-alloc.c  plan by demand over all domains, where it is enabled
 *   form-yield.c  reassignment of VMs from one model to another
 *   form-order.c  queue of orders and probes, rate limit of loads
 *   form-stage.c  preloading of weights into host memory
 */
#ifndef LAPISLINE_SERVE_FORM_INT_H
#define LAPISLINE_SERVE_FORM_INT_H

#include "serve/allocation.h"
#include "serve/form.h"

/** An order whose effect has not been reported is sent again after this. */
#define FRM_RESEND_MS ((clk_ms)1500)
/**
 * A list requested this long after an order was accepted shows the order's
 * effect, because servers report a change at once.
 */
#define FRM_REPORT_DELAY_MS ((clk_ms)1000)
/** Joining or opening fails when it takes this much longer than expected. */
#define FRM_STEP_TIMEOUT_MS ((clk_ms)6000)

/**
 * Share of the limit on loads that one leader node uses.  A new leader node
 * does not know which loads its predecessor started in the same window.  As
 * each uses less than half, both together stay below the limit.
 */
#define FRM_LOADS_SHARE 0.45

/** State of one backend server, as this leader node has recorded it. */
struct frm_vm
{
  char *id;
  char *service;
  char *domain;
  /** One number per service and domain, for cheap comparison. */
  unsigned domain_number;
  /** Last report; strings are borrowed from the server list. */
  struct bks_entry entry;
  /** Start time of its process, kept while it is not listed. */
  int64_t started_at;
  /** dsp_endpoint_hash() of its process, without a generation. */
  uint64_t process;
  /**
   * Model of its last replica in this incarnation, or NULL; the VM keeps these
   * weights after it has left the replica.
   */
  char *loaded_model;
  /**
   * Generation of the replica of its previous incarnation, which must end
   * before the VM joins another one; 0: none.
   */
  int64_t blocked_by;
  bool listed;       /**< in the last list; if not, it keeps its replica */
  bool seen_in_list; /**< in the list that is being processed */
  bool unresponsive; /**< failed its probes; counts as removed */
  unsigned failed_probes; /**< consecutive probes without a response */
  clk_ms next_probe_at;
  clk_ms probe_ok_at;   /**< time of the last response to a probe */
  bool serving;         /**< requests ran or waited there at that response */
  clk_ms silent_since;  /**< time of the first of consecutive probes that only
                             connected; 0: the last one did not */
  uint64_t probe_token; /**< probe in flight; 0: none */
  uint64_t order_token; /**< order in flight; 0: none */
  enum frm_order_kind order_kind;
  clk_ms next_order_at; /**< no order is sent to the VM before this */
  /** Kind of the last order that it accepted. */
  enum frm_order_kind accepted_kind;
  /** Fencing token of the last order that it accepted. */
  int64_t accepted_fence;
  /** Replica of the last order that it accepted; 0: none. */
  int64_t accepted_generation;
  clk_ms accepted_at;
  clk_ms preload_until; /**< no preload is ordered before this: expected end of
                           the current one */
  char *preload_model;  /**< model of the last order to preload, or NULL */
  /**
   * Replicas of generations up to this can no longer open with this VM as
   * replica leader, as long as this node leads with the same fencing token.
   */
  int64_t released_generation;
  clk_ms excluded_until; /**< it rejected an order; not used until then */
  struct frm_replica *replica; /**< replica that it is assigned to, or NULL */
};

/** State of a replica.  Comparisons use the order: up to FRM_PH_OPEN a replica
    is being formed or is open, after it the replica is being ended. */
enum frm_phase
{
  FRM_PH_JOINING, /**< members become ready */
  FRM_PH_OPENING, /**< all were ready; its leader is ordered to open */
  FRM_PH_OPEN,
  FRM_PH_CLOSING, /**< its leader is ordered to close */
  /** Its leader is ordered to leave, so that it can't open again. */
  FRM_PH_LEAVING,
  FRM_PH_LEADER_MISSING, /**< its leader is not listed yet */
  /**
   * Its leader is unreachable: the members leave, then the core waits until
   * the leader must have stopped serving.
   */
  FRM_PH_FENCING,
  FRM_PH_ENDED /**< its members are released */
};

/** One replica, or the remaining members of one. */
struct frm_replica
{
  char *name;
  char *service;
  char *model;
  int64_t generation;
  enum frm_phase phase;
  clk_ms phase_since;
  bool adopted; /**< formed by an earlier leader node */
  /** Warm spare: a single VM that loads a model and never opens. */
  bool warm_spare;
  bool force;       /**< close without waiting for running requests */
  bool may_be_open; /**< an order to open may have been sent to its leader */
  /**
   * First reported during this leadership: unlisted members may have been
   * assigned elsewhere, so they are not members.
   */
  bool appeared_late;
  bool member_lost;    /**< a member is permanently gone */
  bool member_left;    /**< a member is known to have left, or its process to
                            have ended, so that the leader makes no progress */
  bool stall_reported; /**< a node reported that requests make no progress */
  clk_ms stall_reported_at;
  bool close_unanswered; /**< the order to close got no response */
  /** When its leader accepted the order to close; 0: not yet. */
  clk_ms close_accepted_at;
  struct frm_vm
      *members[FRM_MAX_MEMBERS]; /**< by rank; NULL: unknown or gone */
  /** How often the member accepted an order to leave. */
  unsigned leaves_accepted[FRM_MAX_MEMBERS];
  size_t nmembers;
  /** Members that its model needs; 0: unknown, for an adopted replica. */
  unsigned size;
  clk_ms load_ms;           /**< expected time to load the weights */
  clk_ms earliest_ready_at; /**< members can't be ready before this */
};

struct frm_demand
{
  char *service;
  char *model;
  double requests;
  clk_ms updated_at;   /**< time of the last update; 0: never */
  uint64_t reassigned; /**< replicas closed to free VMs for another model */
  double stored;       /**< mean requests, as in the store; -1: not there */
};

/** Plan by demand of one service. */
struct frm_allocation
{
  char *service;
  struct alc *core;
  uint64_t models; /**< hash of the models that the core has counted */
  double urgency[ALC_MAX_MODELS];
  bool enabled;      /**< at the last update; what was planned stays planned */
  clk_ms changed_at; /**< time of the last change of the plan; 0: never */
  bool reported;     /**< frm_next_plan_change() has returned it */
};

struct frm_alloc_input;

#define FRM_LOAD_RING 512
#define FRM_ENDED_RING 512 /**< ended replicas whose generation is kept */

struct frm
{
  struct frm_options opt;
  bool leading;
  bool adopted;              /**< the reported replicas have been adopted */
  clk_ms leading_since;      /**< start of this leadership */
  bool server_list_complete; /**< the server list is complete: a server missing
                                from it is gone */
  bool had_traffic;          /**< clients have sent requests */
  int64_t fence;
  int64_t last_fence; /**< of this node's last leadership */
  int64_t generation; /**< last one assigned */
  clk_ms now;
  clk_ms last_arrival_at; /**< when the newest VM was first listed */
  /** When the read that first listed it was sent. */
  clk_ms last_arrival_read_at;
  clk_ms first_arrival_at; /**< when this node first listed any VM */
  /** When the read that returned the current list was sent. */
  clk_ms list_read_at;
  const struct bks *servers;
  struct tbl *config;
  struct frm_vm **vms;
  size_t nvms;
  struct _GHashTable *by_id; /**< index of `vms` by id */
  /** Highest domain number in use; the first is 1. */
  unsigned last_domain_number;
  /** By domain number: the highest number of VMs listed at once. */
  unsigned *domain_max_vms;
  size_t ndomain_max_vms;
  struct frm_replica **replicas;
  size_t nreplicas;
  /** Ring of the start times of recent loads. */
  clk_ms load_times[FRM_LOAD_RING];
  size_t nloads;
  /** Ring of the generations of ended replicas. */
  int64_t ended_generations[FRM_ENDED_RING];
  size_t nended;
  struct frm_allocation *allocations;
  size_t nallocations;
  struct frm_alloc_input *alloc_input; /**< while it is collected */
  struct frm_demand *demands;
  size_t ndemands;
  uint64_t tokens;
  struct frm_action *queue;
  size_t head, count, cap;
  struct str ids[FRM_MAX_MEMBERS]; /**< unused */
  struct frm_stats stats;
  struct frm_model *rows; /**< output array of frm_models() while it runs */
  size_t nrows;
};

/* form.c */
/**
 * Whether the VM may be a member: listed, responsive, not draining, not
 * excluded and not blocked by the replica of its previous incarnation.
 */
/** Whether the VM drains: it is listed so, or its server has announced it. */
bool frm_is_leaving (const struct frm *f, const struct frm_vm *vm);
/** Whether the VM's server has asked this node to send it nothing. */
bool frm_is_paused (const struct frm *f, const struct frm_vm *vm);
bool frm_may_be_member (const struct frm *f, const struct frm_vm *vm);
/** Whether the listed VM is in an evacuated zone. */
bool frm_is_evacuated (const struct frm *f, const struct frm_vm *vm);
/** Whether the VM reports a replica that has not ended and that it was not
    released from. */
bool frm_reports_live_replica (const struct frm *f, const struct frm_vm *vm);
/** Whether the VM reports that it is ready in its assigned replica. */
bool frm_is_ready (const struct frm_vm *vm);
/**
 * Whether the VM's last report names this replica and generation, and @p
 * min_state or a later state.
 */
bool frm_reports (const struct frm_vm *vm, const struct frm_replica *r,
                  enum bks_member_state min_state);
const struct tbl_service *frm_find_service (const struct frm *f,
                                            const char *name);
struct frm_replica *frm_replica_add (struct frm *f, const char *service,
                                     struct str name, struct str model,
                                     int64_t generation);
void frm_enter_phase (struct frm *f, struct frm_replica *r,
                      enum frm_phase phase);
/**
 * Ends the replica: releases its members at once if it can't be open any more,
 * otherwise after its leader has left it.
 */
void frm_replica_end (struct frm *f, struct frm_replica *r);
void frm_replica_release (struct frm *f, struct frm_replica *r);
/** Removes a replica whose leader may still serve.  If it is reported again,
   it is adopted like that of an earlier leader node. */
void frm_replica_forget (struct frm *f, struct frm_replica *r);

/* form-group.c */
void frm_replica_tick (struct frm *f, struct frm_replica *r);
/**
 * Closes the replica after its running requests have ended, or after a
 * timeout.
 */
void frm_replica_close (struct frm *f, struct frm_replica *r);
void frm_replica_order_done (struct frm *f, struct frm_vm *vm,
                             enum frm_order_kind kind, enum frm_result result);

/* form-place.c */
void frm_assign_vms (struct frm *f);
/**
 * Whether to wait for more VMs before forming replicas.  If a domain were
 * planned while VMs are still appearing, small replicas would take the VMs of
 * a large one, and no later step returns them.  Before there is traffic, no
 * client waits for a replica.
 */
bool frm_is_settling (const struct frm *f);

/* form-demand.c */
void frm_demands_free (struct frm *f);
struct frm_demand *frm_find_or_add_demand (struct frm *f, struct str service,
                                           struct str model);
/** Requests per slot if the model has @p n replicas; 0: there is no demand. */
double frm_utilization (const struct frm *f, const struct tbl_service *s,
                        size_t model, unsigned n);

/** Counts a replica that closes to free its VMs for another model. */
void frm_record_reassigned (struct frm *f, const struct frm_replica *r);

/* form-alloc.c */
/** Updates the plans by demand, twice a second. */
void frm_allocate (struct frm *f);
/** Passes the requests of a model on to the plan by demand. */
void frm_allocation_demand (struct frm *f, clk_ms now, struct str service,
                            struct str model, double requests);
/** Discards the plans, because another node may have changed the replicas. */
void frm_allocations_reset (struct frm *f);
void frm_allocations_free (struct frm *f);

/* form-yield.c */
/** Closes replicas whose VMs another model needs more. */
void frm_reassign (struct frm *f);

/* form-order.c */
bool frm_send_order (struct frm *f, struct frm_vm *vm,
                     enum frm_order_kind kind, struct frm_replica *r);
void frm_send_preload (struct frm *f, struct frm_vm *vm, struct str model);
void frm_probe (struct frm *f, struct frm_vm *vm);
/** Whether the rate limit lets @p n loads start now. */
bool frm_may_load (const struct frm *f, const struct tbl_service *s,
                   unsigned n);
/** Counts @p n loads that start now against the rate limit. */
void frm_record_loads (struct frm *f, unsigned n);
/* form-stage.c */
void frm_preload (struct frm *f);
void frm_preload_done (struct frm *f, struct frm_vm *vm,
                       enum frm_result result);

/** Model whose weights the VM holds, or empty. */
struct str frm_loaded_model (const struct frm_vm *vm);
/**
 * Whether the VM or its host's memory holds the weights of @p model, so that
 * no load from the weight store is needed.
 */
bool frm_has_weights_in_memory (const struct frm_vm *vm, struct str model);

#endif
