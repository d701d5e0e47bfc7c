/**
 * @file
 * Plan of a fabric domain: how many replicas of each model it should have
 * (internal to the replica core).
 *
 * A domain is the part of the fabric within which VMs of one service can form
 * replicas.  The plan of a domain counts replicas; form-place.c assigns VMs to
 * them.
 */
#ifndef LAPISLINE_SERVE_FORM_PLAN_H
#define LAPISLINE_SERVE_FORM_PLAN_H

#include "serve/form-int.h"

#define FRM_MAX_MODELS 16 /**< models of one service, at most */

/** Cost of using a VM for a model, in ascending order. */
enum frm_cost
{
  FRM_COST_LOADED,      /**< the VM holds the model */
  FRM_COST_HOST_MEMORY, /**< its host holds the model in memory */
  FRM_COST_EMPTY,       /**< the VM holds no model */
  FRM_COST_OTHER_MODEL, /**< the VM holds another model, which it would lose */
  FRM_COSTS
};

/** One fabric domain of a service, with its plan and current state. */
struct frm_fabric_domain
{
  const struct tbl_service *s;
  const char *service;
  unsigned number;                  /**< as in frm_vm.domain_number */
  unsigned planned[FRM_MAX_MODELS]; /**< planned replicas of each model */
  /** Replicas of each model that are open or being formed. */
  unsigned open_or_forming[FRM_MAX_MODELS];
  /** Spares (VMs in no replica) that load the model, or hold it in the VM or
      in host memory. */
  unsigned spares_with_model[FRM_MAX_MODELS];
  /**
   * Model that the domain is dedicated to, if it is too small for a replica of
   * each model; otherwise the number of models.
   */
  size_t dedicated_model;
  /**
   * Replicas of each model by the plan by demand when all VMs of the domain
   * are there; NULL: planned by the declared shares.
   */
  const unsigned *target;
};

/** Replicas by the declared shares in @p vms VMs of the domain. */
void frm_plan_by_shares (struct frm_fabric_domain *d, unsigned vms);
/** How many of @p n VMs replicas may use; the rest is kept as a reserve. */
unsigned frm_vms_for_replicas (unsigned n);
unsigned frm_count_eligible_vms (const struct frm *f,
                                 const struct frm_fabric_domain *d);
/** Whether a domain of this many VMs has no room for a replica of each
    model. */
bool frm_is_too_small_for_all_models (const struct frm_fabric_domain *d,
                                      unsigned vms);

/** Plan by demand of the domain, or NULL. */
const unsigned *frm_allocated (const struct frm *f,
                               const struct frm_fabric_domain *d);
/** When the plan by demand of the domain's service last changed; 0: never. */
clk_ms frm_allocation_changed_at (const struct frm *f,
                                  const struct frm_fabric_domain *d);
/**
 * VMs that must hold the weights of model @p receiver so that all its missing
 * replicas can be formed from surplus replicas of model @p donor and free VMs;
 * 0: nothing is missing, or there is no surplus.
 */
unsigned frm_vms_to_prepare (const struct frm *f,
                             const struct frm_fabric_domain *d, size_t donor,
                             size_t receiver);
/** Whether the plan by demand has fewer replicas of the model than the domain
    holds, so that some of them close for other models. */
bool frm_is_giving_up (const struct frm_fabric_domain *d, size_t model);

bool frm_in_domain (const struct frm_vm *vm,
                    const struct frm_fabric_domain *d);
/** Whether all known members are in that domain. */
bool frm_replica_in_domain (const struct frm_replica *r,
                            const struct frm_fabric_domain *d);
/**
 * Whether the VM may join a replica: it is in none (or only a warm spare), and
 * no order to it is in flight.
 */
bool frm_is_assignable (const struct frm *f, const struct frm_vm *vm);
enum frm_cost frm_cost_of (const struct frm_vm *vm, struct str model);
/** Index of the model that a free VM holds or loads, or nmodels. */
size_t frm_held_or_loading_model (const struct frm_vm *vm,
                                  const struct tbl_service *s);

/** Fills in `planned`, `open_or_forming` and `spares_with_model`. */
void frm_plan_and_count (const struct frm *f, struct frm_fabric_domain *d);

/** Updates the highest number of VMs listed in each domain. */
void frm_update_domain_sizes (struct frm *f);

/** Calls @p fn for each domain of a service whose replicas this core forms. */
void frm_for_each_domain (struct frm *f,
                          void (*fn) (struct frm *f,
                                      struct frm_fabric_domain *d));

#endif
