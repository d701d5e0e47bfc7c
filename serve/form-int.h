/**
 * @file
 * What the files of the forming core share.
 *
 *   form.c        events, what is known of VMs, taking over
 *   form-group.c  a replica's way from joining to closed
 *   form-plan.c   which replicas a domain's VMs are for
 *   form-place.c  which VMs become which replica, warm spares
 *   form-demand.c what is asked of each model
 *   form-yield.c  replicas that close for one of another model
 *   form-order.c  orders under way, the pace of loads
 *   form-stage.c  weights that hosts load into their memory ahead of need
 */
#ifndef LAPISLINE_SERVE_FORM_INT_H
#define LAPISLINE_SERVE_FORM_INT_H

#include "serve/form.h"

/** After this an order without a sign of its effect is given again. */
#define FRM_RESEND_MS ((clk_ms)1500)
/** An order that was accepted shows in lists that were read so much later, as
    its server reports at once. */
#define FRM_REPORT_DELAY_MS ((clk_ms)1000)
/** Joining or opening that takes longer than expected by this is given up. */
#define FRM_STEP_TIMEOUT_MS ((clk_ms)6000)

/** What the owner knows of one backend server. */
struct frm_vm
{
  char *id;
  char *service;
  char *domain;
  unsigned domain_number; /**< of the service and domain, for quick compares */
  struct bks_entry entry; /**< as reported; strings borrowed from `servers` */
  int64_t started_at;     /**< as in `e`, also while it is not listed */
  char *
      loaded_model; /**< model of its last replica since its start, or NULL: it
                 holds the weights on, also where it reports none any more */
  int64_t blocked_by; /**< generation of the replica of its earlier life, which
                      has to be over before it joins another; 0: none */
  bool listed;        /**< listed; if not, its replica is kept for it */
  bool seen_in_list;  /**< by the list that is being read */
  bool unresponsive;  /**< did not answer when asked; counts as missing */
  unsigned failed_probes; /**< asks in a row */
  clk_ms next_probe_at;
  clk_ms probe_ok_at;   /**< last answer to being asked */
  uint64_t probe_token; /**< token under way; 0: none */
  uint64_t order_token; /**< token under way; 0: none */
  enum frm_order_kind order_kind;
  clk_ms next_order_at;
  enum frm_order_kind accepted_kind; /**< of the last order accepted */
  int64_t accepted_fence;            /**< of the last order that it accepted */
  int64_t accepted_generation;       /**< 0: none was */
  clk_ms accepted_at;
  clk_ms preload_until; /**< its host loads weights on the side, about */
  int64_t released_generation; /**< generations up to this can't open with it
                        as the leader any more */
  clk_ms excluded_until;       /**< it rejected an order; use another */
  struct frm_replica *replica; /**< the replica it is planned for, or none */
};

/** Where a replica is on its way. */
enum frm_phase
{
  FRM_PH_JOINING, /**< members get ready */
  FRM_PH_OPENING, /**< all were ready; the leader is told to open */
  FRM_PH_OPEN,
  FRM_PH_CLOSING,        /**< the leader is told to close */
  FRM_PH_LEAVING,        /**< the leader is told to leave, for good */
  FRM_PH_LEADER_MISSING, /**< its leader is not listed, and may appear */
  FRM_PH_FENCING,        /**< the leader can't be asked; members leave and time
                              passes until it must have given up */
  FRM_PH_ENDED           /**< its members are free */
};

/** One replica, or the members left of one. */
struct frm_replica
{
  char *name;
  char *service;
  char *model;
  int64_t generation;
  enum frm_phase phase;
  clk_ms phase_since;  /**< of the phase */
  bool adopted;        /**< formed by an owner before this one */
  bool spare;          /**< one VM that only loads; never opened */
  bool force;          /**< close without waiting */
  bool may_be_open;    /**< somebody may have told the leader to open */
  bool appeared_late;  /**< it appeared under this owner: its members may have
                    been  given to others, so who is not listed is no member */
  bool member_lost;    /**< a member is gone for good */
  bool stall_reported; /**< callers see nothing move */
  clk_ms stall_reported_at;
  bool close_unanswered; /**< an order to its leader to close was not answered
                          */
  clk_ms close_accepted_at; /**< its leader accepted to close; 0: not yet */
  struct frm_vm *members[FRM_MEMBERS]; /**< by rank; NULL: not known, gone */
  bool leave_accepted[FRM_MEMBERS];    /**< its leave was accepted */
  size_t nmembers;
  unsigned size;  /**< of its model; 0: not known yet, of one that was found */
  clk_ms load_ms; /**< that joining may take */
  clk_ms earliest_ready_at; /**< its members aren't ready before */
};

/** Requests of one model, averaged over some seconds. */
struct frm_demand
{
  char *service;
  char *model;
  double requests;
  clk_ms updated_at;   /**< when it was told last; 0: never */
  uint64_t reassigned; /**< replicas that closed for another model */
};

#define FRM_LOAD_RING 512
#define FRM_ENDED_RING 512 /**< replicas whose end is remembered */

struct frm
{
  struct frm_options opt;
  bool leading;
  bool adopted;       /**< what is there was taken over */
  bool list_complete; /**< the list is whole: who is missing there is gone */
  bool traffic;
  int64_t fence;
  int64_t generation; /**< last one given */
  clk_ms now;
  clk_ms last_arrival_at;           /**< of the newest VM */
  clk_ms last_arrival_requested_at; /**< sending of the read that showed it */
  clk_ms first_arrival_at;  /**< of the first one that this owner saw */
  clk_ms list_requested_at; /**< sending of the read that showed the reports */
  const struct bks *servers;
  struct tbl *config;
  struct frm_vm **vms;
  size_t nvms;
  struct _GHashTable *by_id;   /**< the same by id */
  unsigned last_domain_number; /**< numbers given */
  unsigned *domain_max_vms; /**< by number: the most VMs seen there at once */
  size_t ndomain_max_vms;
  struct frm_replica **replicas;
  size_t nreplicas;
  clk_ms load_times[FRM_LOAD_RING]; /**< when the last ones began, a ring */
  size_t nloads;
  int64_t ended_generations[FRM_ENDED_RING]; /**< generations of replicas that
                                           are over, a ring */
  size_t nended;
  struct frm_demand *demands;
  size_t ndemands;
  uint64_t tokens;
  struct frm_action *queue;
  size_t head, count, cap;
  struct str ids[FRM_MEMBERS]; /**< of the action that was fetched last */
  struct frm_figures stats;
  struct frm_model *rows; /**< that frm_models() fills */
  size_t nrows;
};

/* form.c */
bool frm_is_usable (const struct frm *f, const struct frm_vm *vm);
/** It is a warm spare whose load has ended. */
bool frm_is_ready (const struct frm_vm *vm);
/** It reports this replica and generation, in at least @p part. */
bool frm_reports (const struct frm_vm *vm, const struct frm_replica *r,
                  enum bks_part part);
const struct tbl_service *frm_find_service (const struct frm *f,
                                            const char *name);
struct frm_replica *frm_replica_add (struct frm *f, const char *service,
                                     struct str name, struct str model,
                                     int64_t generation);
void frm_enter_phase (struct frm *f, struct frm_replica *r,
                      enum frm_phase phase);
/** Free its members for others, at once or once that is safe. */
void frm_replica_end (struct frm *f, struct frm_replica *r);
/** Its members are free for others. */
void frm_replica_release (struct frm *f, struct frm_replica *r);

/* form-group.c */
void frm_replica_tick (struct frm *f, struct frm_replica *r);
/** Close it once what runs there has ended, or some seconds have passed. */
void frm_replica_close (struct frm *f, struct frm_replica *r);
void frm_replica_order_done (struct frm *f, struct frm_vm *vm,
                             enum frm_order_kind kind, enum frm_result result);

/* form-place.c */
void frm_assign_vms (struct frm *f);

/* form-demand.c */
void frm_demands_free (struct frm *f);
/** Requests for each slot of @p n replicas of that model; 0: nobody asks. */
double frm_utilization (const struct frm *f, const struct tbl_service *s,
                        size_t model, unsigned n);

/** A replica of that model closes for one of another. */
void frm_count_reassigned (struct frm *f, const struct frm_replica *r);

/* form-yield.c */
/** Close replicas whose VMs another model needs more. */
void frm_reassign (struct frm *f);

/* form-order.c */
bool frm_send_order (struct frm *f, struct frm_vm *vm,
                     enum frm_order_kind kind, struct frm_replica *r);
void frm_send_preload (struct frm *f, struct frm_vm *vm, struct str model);
void frm_probe (struct frm *f, struct frm_vm *vm);
/** Whether @p n loads may begin now. */
bool frm_may_load (const struct frm *f, const struct tbl_service *s,
                   unsigned n);
void frm_count_loads (struct frm *f, unsigned n);
/* form-stage.c */
void frm_preload (struct frm *f);
void frm_preload_done (struct frm *f, struct frm_vm *vm,
                       enum frm_result result);

/** The model whose weights the VM holds, or empty. */
struct str frm_loaded_model (const struct frm_vm *vm);
/** Whether joining for @p model needs no load from the weight store. */
bool frm_is_warm (const struct frm_vm *vm, struct str model);

#endif
