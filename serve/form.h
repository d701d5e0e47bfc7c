/**
 * @file
 * Forms replicas from the backend servers of each fabric domain by sending
 * them the orders join, open, close and leave (decision core, no I/O).
 *
 * Backend servers report their replica, generation and rank, so no assignment
 * is stored: a new leader node rebuilds the assignment from these reports.
 * One node is the leader node at a time; it passes the reports to this core
 * and sends the orders that the core returns.  The member of rank 0 is the
 * replica leader: it accepts the replica's requests.
 *
 * Invariants:
 * - A replica leader receives the order to open only after every member has
 *   reported that it is ready under this name, generation and member list.
 * - A backend server joins another replica only after the leader of its
 *   previous replica has closed, has reported it broken, was never open, or is
 *   known to be gone.  If that leader is unreachable, the core orders the
 *   other members to leave.  It then waits a little longer than stall_ms, the
 *   time after which a replica leader without its members stops serving.
 * - Generations increase across leader nodes, because each leader node starts
 *   above its fencing token times a constant; servers therefore reject an
 *   order that arrives late.
 * - Loads from the weight store are rate limited over all replicas.
 * - A VM in an evacuated zone is assigned to no replica and preloads nothing;
 * a replica that it belongs to stays open.
 */
#ifndef LAPISLINE_SERVE_FORM_H
#define LAPISLINE_SERVE_FORM_H

#include "serve/allocation.h"
#include "serve/backends.h"
#include "serve/table.h"

#define FRM_MAX_MEMBERS 64 /**< members of one replica, at most */

enum frm_order_kind
{
  FRM_JOIN,  /**< uses replica, generation, model, members */
  FRM_OPEN,  /**< uses replica, generation */
  FRM_CLOSE, /**< uses replica, generation and the close mode */
  FRM_LEAVE, /**< uses replica, generation */
  /** Uses model: the host of the VM loads the weights into host memory. */
  FRM_PRELOAD
};

/** Result of an order. */
enum frm_result
{
  FRM_ACCEPTED, /**< in progress, or already in effect */
  FRM_REJECTED, /**< not carried out and will not be */
  FRM_OUTDATED, /**< the server has accepted an order of a newer leader node */
  FRM_CONN_REFUSED, /**< connection refused: no process is running there */
  FRM_UNANSWERED    /**< no response: it may still be carried out */
};

/** Result of a probe. */
enum frm_probe_result
{
  FRM_PROBE_ANSWERED,
  FRM_PROBE_SERVING,    /**< answered, and requests run or wait there */
  FRM_PROBE_SILENT,     /**< connected, but no response: the process may stand
                             still for a moment */
  FRM_PROBE_UNREACHABLE /**< no connection */
};

enum frm_action_kind
{
  FRM_ORDER, /**< send an order; uses vm, token, order and the fields below */
  FRM_PROBE  /**< check whether the server responds; uses vm, token */
};

/**
 * One call to a backend server.  Strings are valid until the next call of this
 * core.  The caller frees the array `members`.
 */
struct frm_action
{
  enum frm_action_kind kind;
  uint64_t token;
  struct str vm; /**< id of the backend server */
  struct net_addr addr;
  uint64_t process; /**< dsp_endpoint_hash() without a generation */
  enum frm_order_kind order;
  struct str replica;
  int64_t generation;
  int64_t fence;
  struct str model;
  const struct str *members; /**< ids, the replica leader first */
  size_t nmembers;
  bool force; /**< close without waiting for running requests */
};

struct frm_options
{
  /** A replica leader stops serving this long after it has lost a member. */
  clk_ms stall_ms;
  double ceiling_window_s; /**< window of the limit on loads */
  double ceiling_over;     /**< factor on the allowed rate of loads */
  const struct avl *avail; /**< availability announced by servers; borrowed;
                                NULL: not tracked */
  const struct evc *evacuations; /**< evacuated zones; borrowed; NULL: zones
                                      are not evacuated */
};

struct frm;

struct frm *frm_new (const struct frm_options *opt);
void frm_free (struct frm *f);

/**
 * This node became the leader node, or stopped being it.
 * @param on  whether this node is the leader node now
 * @param fence  fencing token of this leadership
 */
void frm_set_leading (struct frm *f, clk_ms now, bool on, int64_t fence);

/**
 * Passes the server list and the configuration in force.  The core borrows the
 * entries: call this function again whenever @p servers has changed.
 * @param list_complete  whether the list is known to be complete.  As long as
 *        it is not, a missing server may only have an expired entry, so the
 *        core neither ends a replica nor loads weights onto other VMs because
 *        of it.
 */
void frm_set_servers (struct frm *f, clk_ms now, const struct bks *servers,
                      const struct tbl *config, bool list_complete);

/**
 * This process has resumed after a pause of @p ms, in which it read no list.
 * The time does not count against servers that have to appear in the list.
 */
void frm_resumed (struct frm *f, clk_ms now, clk_ms ms);

/**
 * Clients have sent requests: from now on loads take their full time and are
 * rate limited.
 */
void frm_traffic_started (struct frm *f);

/**
 * Sets how many requests of a model have a slot or wait for one, over all
 * nodes.  Call it every FRM_TICK_MS.
 */
void frm_demand (struct frm *f, clk_ms now, struct str service,
                 struct str model, double requests);

/**
 * Sets the mean priority of the requests of a model; 0 is the most urgent.
 */
void frm_urgency (struct frm *f, struct str service, struct str model,
                  double priority);

/**
 * A node reports that requests at a replica leader make no progress.
 * @param endpoint  dsp_endpoint_hash() of that leader
 */
void frm_stalled (struct frm *f, clk_ms now, uint64_t endpoint);

void frm_order_done (struct frm *f, clk_ms now, uint64_t token,
                     enum frm_result result);
void frm_probe_done (struct frm *f, clk_ms now, uint64_t token,
                     enum frm_probe_result result);

/** Advances all replicas; call it every FRM_TICK_MS. */
void frm_tick (struct frm *f, clk_ms now);
#define FRM_TICK_MS ((clk_ms)50)

bool frm_next_action (struct frm *f, struct frm_action *out);

/** Replicas by state and totals, for metrics and logs. */
struct frm_stats
{
  /** spares: VMs in no replica; warm: the warm spares among these */
  unsigned forming, open, closing, spares, warm;
  uint64_t loads, orders, formed, lost;
};
/** State of one model over all domains. */
struct frm_model
{
  struct str service, name;
  unsigned planned; /**< replicas that the plans of all domains contain */
  unsigned open_or_forming; /**< replicas that are open or being formed */
  double requests;          /**< running or waiting, moving average */
  double utilization;       /**< alc_utilization() with the planned replicas */
  bool by_demand;      /**< the plan by demand has changed a domain's plan */
  uint64_t reassigned; /**< replicas closed to free VMs for another model */
};

#define FRM_MODEL_ROWS 16

/**
 * Lists the models whose replicas this core forms, at most FRM_MODEL_ROWS.
 * @return number of rows in @p out; names are valid until the configuration
 *        changes
 */
size_t frm_models (struct frm *f, struct frm_model *out);

/**
 * Passes the mean requests of a model in an earlier run, as read from the
 * store.
 * @param requests  0 to 1e6; any other value: unknown
 */
void frm_set_stored_mix (struct frm *f, struct str service, struct str model,
                         double requests);
/** Everything that was in the store is unknown again. */
void frm_clear_stored_mix (struct frm *f);

/** Mean requests of a model. */
struct frm_mix
{
  struct str service, model;
  double requests;
};

/**
 * Lists the mean requests of the models of all services that are planned by
 * demand, at most FRM_MODEL_ROWS.
 * @param changed  receives whether a model's part of the requests of its
 *        service differs from the stored one by a tenth or more, or the sum of
 *        the service by a third
 * @return number of rows in @p out; 0: nothing is known
 */
size_t frm_mix (struct frm *f, clk_ms now, struct frm_mix *out, bool *changed);

/** A change of the plan by demand. */
struct frm_plan_change
{
  struct str service;
  const struct tbl_model *models;
  const struct alc_change *change;
};

/** Returns a change of the plan by demand that was not returned before; valid
    until the next call of this core.
    @retval false  there is none */
bool frm_next_plan_change (struct frm *f, struct frm_plan_change *out);

/**
 * Whether a replica is about to change state, so that the server list should
 * be polled at the fast interval.
 */
bool frm_wants_fast_poll (const struct frm *f);
const struct frm_stats *frm_stats (struct frm *f);

#endif
