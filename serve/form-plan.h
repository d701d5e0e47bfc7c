/**
 * @file
 * Which replicas a domain's VMs are for (inside the forming core).
 *
 * A domain is a part of the fabric within which the VMs of one service can
 * form replicas.  Its plan says how many replicas of each model it should
 * have; form-place.c chooses their VMs.
 */
#ifndef LAPISLINE_SERVE_FORM_PLAN_H
#define LAPISLINE_SERVE_FORM_PLAN_H

#include "serve/form-int.h"

#define FRM_MAX_MODELS 16 /**< of one service, at most */

/** What it costs to use a VM for a model, least first. */
enum frm_cost
{
  FRM_COST_LOADED,      /**< it is loaded with this model */
  FRM_COST_HOST_MEMORY, /**< its host's memory holds it */
  FRM_COST_EMPTY,       /**< it holds nothing that would be lost */
  FRM_COST_OTHER,       /**< it is warm for another model */
  FRM_COSTS
};

/** A fabric domain of one service, as the decisions below see it. */
struct frm_domain
{
  const struct tbl_service *s;
  const char *service;
  unsigned number;               /**< frm_vm.domain_number */
  unsigned want[FRM_MAX_MODELS]; /**< replicas that its VMs suffice for */
  unsigned have[FRM_MAX_MODELS]; /**< that are there or on their way */
  unsigned
      warm[FRM_MAX_MODELS]; /**< free VMs that hold the model or load it */
  size_t
      dedicated_model; /**< of a domain too small for a replica of each
                 model, the one    that it is for; else the number of models */
};

bool frm_in_domain (const struct frm_vm *vm, const struct frm_domain *d);
/** All its members are of that domain. */
bool frm_replica_in_domain (const struct frm_replica *r,
                            const struct frm_domain *d);
/** It may join a replica: it is in none, and no order to it is open. */
bool frm_is_free (const struct frm *f, const struct frm_vm *vm);
enum frm_cost frm_cost_of (const struct frm_vm *vm, struct str model);
/** The model that a free VM holds or loads, or nmodels. */
size_t frm_loaded_model_index (const struct frm_vm *vm,
                               const struct tbl_service *s);

/** Plan the domain and count what it has. */
void frm_plan_domain (const struct frm *f, struct frm_domain *d);

/** Note how many VMs each domain has had at most. */
void frm_update_domain_sizes (struct frm *f);

/** Call @p fn for each domain of a service whose replicas are formed here. */
void frm_for_each_domain (struct frm *f,
                          void (*fn) (struct frm *f, struct frm_domain *d));

#endif
