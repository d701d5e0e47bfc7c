/**
 * @file
 * Replicas formed from the backend servers of fabric domains by the orders
 * join, open, close and leave (decision core).
 *
 * Where backend servers report their replica, generation and rank by
 * themselves, no assignment has to be stored: what they report is the
 * assignment, and a new owner takes over what it finds.  One node is owner at
 * a time; it feeds the reports in and carries the orders out.
 *
 * What holds:
 *  - a leader is told to open only after every member has reported ready under
 *    this name, generation and list;
 *  - a backend server joins another replica only once the leader of its old
 *    one has closed, is broken, was never open, or is known to be gone: for
 *    one that can't be asked, the members leave, and as long passes as a
 *    leader without its members needs to give up;
 *  - generations rise over all owners, as each begins above its fencing
 *    number, so an order that is carried out late is refused as old;
 *  - loads from the weight store are paced over all replicas.
 */
#ifndef LAPISLINE_SERVE_FORM_H
#define LAPISLINE_SERVE_FORM_H

#include "serve/backends.h"
#include "serve/table.h"

#define FRM_MEMBERS 64 /**< of one replica, at most */

enum frm_order_kind
{
  FRM_JOIN,  /**< replica, generation, model, members */
  FRM_OPEN,  /**< replica, generation */
  FRM_CLOSE, /**< replica, generation, cut */
  FRM_LEAVE, /**< replica, generation */
  FRM_STAGE  /**< model: its host loads the weights into its own memory */
};

/** What became of an order. */
enum frm_result
{
  FRM_ACCEPTED,     /**< it has begun, or holds already */
  FRM_REJECTED,     /**< it will not be carried out */
  FRM_OUTDATED,     /**< a newer owner has given orders */
  FRM_CONN_REFUSED, /**< the connection was refused: no process is there */
  FRM_UNANSWERED    /**< it may be carried out now or later */
};

enum frm_action_kind
{
  FRM_ORDER, /**< vm, token, order, ... */
  FRM_PROBE  /**< vm, token: does it answer? */
};

/** Strings are valid until the next call. */
struct frm_action
{
  enum frm_action_kind kind;
  uint64_t token;
  struct str vm; /**< id of the backend server */
  struct net_addr addr;
  enum frm_order_kind order;
  struct str replica;
  int64_t generation;
  int64_t fence;
  struct str model;
  const struct str *members; /**< ids, the leader first */
  size_t nmembers;
  bool cut; /**< close without waiting for what runs */
};

struct frm_options
{
  clk_ms stall_ms; /**< a leader without a member gives up after this */
  double ceiling_window_s; /**< of the bound on loads */
  double ceiling_over;     /**< factor on the rate of loads */
};

struct frm;

struct frm *frm_new (const struct frm_options *opt);
void frm_free (struct frm *f);

/** This node became owner, or no longer is. */
void frm_owner (struct frm *f, clk_ms now, bool on, int64_t fence);

/**
 * The backend servers as listed, and the table in force.
 * Entries are borrowed: call it again whenever @p servers has changed.
 * @param settled  whether the list is whole: before, who is missing may only
 *                 have lapsed, so nothing is given up or loaded for its sake
 */
void frm_servers (struct frm *f, clk_ms now, const struct bks *servers,
                  const struct tbl *config, bool list_complete);

/** Requests have come: from now on loads take their full time and count. */
void frm_traffic (struct frm *f);

/** So many requests of a model have a slot or wait for one, at all nodes;
    call it each FRM_TICK_MS. */
void frm_demand (struct frm *f, clk_ms now, struct str service,
                 struct str model, double requests);

/** A node sees nothing move at the leader of that place hash. */
void frm_stalled (struct frm *f, clk_ms now, uint64_t endpoint);

void frm_order_done (struct frm *f, clk_ms now, uint64_t token,
                     enum frm_result result);
void frm_asked (struct frm *f, clk_ms now, uint64_t token, bool answered);

/** Time passes; call it every FRM_TICK_MS. */
void frm_tick (struct frm *f, clk_ms now);
#define FRM_TICK_MS ((clk_ms)50)

bool frm_next (struct frm *f, struct frm_action *out);

/** Replicas by state, for metrics and logs. */
struct frm_figures
{
  unsigned forming, open, closing, spares, warm;
  uint64_t loads, orders, formed, lost;
};
/** One model, over all domains. */
struct frm_model
{
  struct str service, name;
  unsigned wanted;  /**< replicas that the plans of all domains have */
  unsigned formed;  /**< open ones, and those on their way */
  double requests;  /**< under way or waiting, averaged over some seconds */
  uint64_t yielded; /**< replicas that closed for one of another model */
};

#define FRM_MODEL_ROWS 16

/** All models of which replicas are formed, at most FRM_MODEL_ROWS.
    @return how many; names are valid until the next table */
size_t frm_models (struct frm *f, struct frm_model *out);

/** Whether a replica is on its way, so that reports should be read often. */
bool frm_busy (const struct frm *f);
const struct frm_figures *frm_figures (struct frm *f);

#endif
