/**
 * @file
 * Inner structures of the request core.
 *
 *   dispatch.c        a request's life by charts/forward.json
 *   dispatch-code.c   names and statuses of what becomes of a request
 *   dispatch-wait.c   what waits here, and whose turn it is
 *   dispatch-place.c  places, and which one is next
 *   dispatch-load.c   what this node and the others have there
 *   dispatch-health.c places that fail, stall or fall silent
 *   dispatch-retry.c  the share of the fleet's budget of repeats
 *   dispatch-limit.c  rates that servers ask for
 *   dispatch-crash.c  runs that broke off, and whether their server has ended
 */
#ifndef LAPISLINE_SERVE_DISPATCH_INT_H
#define LAPISLINE_SERVE_DISPATCH_INT_H

#include "serve/dispatch.h"

/** States of charts/forward.json, in the order of their names there. */
enum dsp_state
{
  DSP_S_RECEIVED,
  DSP_S_WAITING,
  DSP_S_CONNECTING,
  DSP_S_SENT,
  DSP_S_REWAITING,
  DSP_S_RECONNECTING,
  DSP_S_RESENT,
  DSP_S_PASSING,
  DSP_S_DONE,
  DSP_S_NOT_RUN,
  DSP_S_FAILED,
  DSP_STATES
};

/** Events of charts/forward.json. */
enum dsp_step
{
  DSP_X_WAIT,
  DSP_X_REFUSE,
  DSP_X_CONNECT,
  DSP_X_SENT,
  DSP_X_UNRUN,
  DSP_X_RETRY,
  DSP_X_PASS,
  DSP_X_WHOLE,
  DSP_X_FAIL,
  DSP_STEPS
};

#define DSP_TRIED 8 /**< places that a request avoids */

struct dsp_pool;

/** A place and what is known of it. */
struct dsp_server
{
  struct dsp_pool *pool;
  char *id;
  int64_t generation;
  uint64_t hash;
  uint64_t process; /**< the same number without the generation */
  struct net_addr addr;
  bool same_zone;
  bool listed; /**< in the last list; else kept for work in flight only */
  bool fresh;  /**< named by the list that is being read */
  bool accepting;
  unsigned capacity;
  double read_per_ms;
  uint32_t own;          /**< requests of this node */
  uint32_t begun;        /**< and streams that have had one */
  uint32_t others;       /**< of the other nodes, as they told last */
  uint32_t others_begun; /**< of others: streams that have had an event */
  double unread;      /**< tokens of prompts of this node's requests that are
                           still to be read there */
  double noticed_own; /**< of these, told to others by a notice */
  double others_unread;
  double others_noticed; /**< by notices that are recent */
  clk_ms heard;          /**< bytes of any answer came */
  clk_ms full_until;     /**< it said that it has no room */
  bool stalled;          /**< nothing moves there */
  clk_ms stalled_at;
  clk_ms ended_until; /**< it gets nothing before, as this node has found its
                           process gone */
  clk_ms reported_ended_until; /**< the same, as others tell */
  unsigned bad_run;            /**< failures in a row */
  double errors;               /**< moving average of failures, 0 to 1 */
  double slow_ms; /**< moving average of the time to the first event */
  unsigned samples;
  clk_ms ejected_until; /**< 0: in */
  unsigned ejections;   /**< in a row, for the backoff */
  bool probing;         /**< ejected, with one request out */
};

/** Seconds that are counted one by one; longer windows don't fit. */
#define DSP_WINDOW 32

/** Requests and repeats of one service in a sliding window, by seconds. */
struct dsp_budget
{
  char *service;
  uint32_t requests[DSP_WINDOW];
  uint32_t repeats[DSP_WINDOW];
  clk_ms second; /**< number of the newest slot */
};

#define DSP_PRIORITIES 10

/** How often something happens, a moving average. */
struct dsp_pace
{
  double n; /**< events, each counting less with its age */
  clk_ms at;
};

/** Places that can serve the same requests, and the requests that wait. */
struct dsp_pool
{
  char *service;
  char *model;
  struct dsp_server **servers;
  size_t n;
  struct dsp_req *first, *last; /**< waiting, in the order of their coming */
  size_t waiting;
  double begin_ms; /**< moving average: from sending to the first event */
  double run_ms;   /**< moving average: from sending to the end */
  struct dsp_budget *budget; /**< shared by the pools of a service */
  struct dsp_pace asked[DSP_PRIORITIES]; /**< requests by priority */
  struct dsp_pace limited; /**< requests refused as all places are limited */
  clk_ms promised; /**< until when what limits allow has been promised to
                        callers that were refused */
};

struct dsp_req
{
  uint64_t id;
  struct dsp_req *chain;          /**< in the table */
  struct dsp_req *prev, *next;    /**< of all that are open */
  struct dsp_req *before, *after; /**< of those that wait in its pool */
  struct dsp_pool *pool;
  struct dsp_server *server; /**< of the current attempt */
  struct tbl *table;
  const struct tbl_route *route;
  enum dsp_state state;
  unsigned priority;
  unsigned attempt; /**< number of the current one */
  unsigned sends;   /**< attempts whose bytes went out, refused ones too */
  unsigned connects_failed;
  clk_ms arrived, goal, deadline;
  clk_ms sent_at, queued_at;
  clk_ms heard;
  double prompt;
  uint64_t digest;
  bool repeatable;
  bool queued;
  bool begun; /**< the first event of the current attempt came */
  clk_ms begun_at;
  bool passing; /**< some of the answer is at the caller */
  bool probe;
  bool unread;  /**< its prompt is counted in its server's unread */
  bool noticed; /**< and in its noticed_own */
  bool unbegun; /**< sent, and without a first event */
  bool error;   /**< the current attempt's answer is an error */
  uint64_t tried[DSP_TRIED];
  unsigned ntried;
};

/** What a peer told last. */
struct dsp_peer
{
  uint64_t node;
  clk_ms told_at;
  struct dsp_count *counts;
  size_t n;
};

/** A long prompt of another node. */
struct dsp_heard_notice
{
  struct dsp_notice n;
  clk_ms until; /**< it will have been read by then */
};

#define DSP_NOTICES 256 /**< remembered; older ones go first */

#define DSP_BREAKS 64     /**< remembered; older ones go first */
#define DSP_BREAK_RUNS 64 /**< of one break; more are not counted */

/** Runs that broke off at one place. */
struct dsp_break
{
  uint64_t place; /**< 0: unused */
  clk_ms at;      /**< of the first */
  bool checked;   /**< `found` is known */
  enum dsp_liveness found;
  struct psn_update runs[DSP_BREAK_RUNS]; /**< until it is known */
  size_t nruns;
};

struct dsp
{
  struct dsp_options opt;
  char *zone;
  struct rng rng;
  clk_ms now;
  clk_ms ticked_at; /**< time was looked at last */
  clk_ms judged_at; /**< the same, or since when requests are open */
  bool skipped;     /**< the last tick came too late to judge */
  unsigned nodes;
  bool leaving;
  struct dsp_pool **pools;
  size_t npools;
  struct dsp_budget **budgets;
  size_t nbudgets;
  struct dsp_peer *peers;
  size_t npeers;
  struct dsp_req **table;
  size_t table_size;
  struct dsp_req *open_list;
  size_t open;
  struct dsp_action *actions;
  size_t act_head, act_n, act_cap;
  struct dsp_count *own;
  struct dsp_heard_notice heard[DSP_NOTICES]; /**< a ring */
  size_t heard_first, nheard;
  struct dsp_notice notices[DSP_NOTICES]; /**< to be told */
  size_t nnotices;
  struct dsp_break breaks[DSP_BREAKS];
  struct dsp_figures figures;
};

/* dispatch.c */
/** @param q  NULL: it concerns no request */
struct dsp_action *dsp_act (struct dsp *d, enum dsp_action_kind kind,
                            const struct dsp_req *q);
/** A step of the chart; one that it refuses ends the process. */
void dsp_step (struct dsp_req *q, enum dsp_step x);
/** The attempt is given up; the request goes elsewhere if it may. */
void dsp_attempt_lost (struct dsp *d, struct dsp_req *q, enum dsp_code code);

/** The request, if @p attempt is its current one. */
struct dsp_req *dsp_find_attempt (const struct dsp *d, uint64_t id,
                                  unsigned attempt);

/** Give up with that answer: as not run, where that is sure, else as failed.
    @param retry_ms  when to come back, if it has not run; 0: not said */
void dsp_give_up (struct dsp *d, struct dsp_req *q, enum dsp_code unrun,
                  enum dsp_code ran, clk_ms retry_ms);

/* dispatch-wait.c */
void dsp_enqueue (struct dsp *d, struct dsp_req *q, bool front);
/** Take it out, if it waits. */
void dsp_dequeue (struct dsp_req *q);
/** Hand waiting requests to places that have room. */
void dsp_pump (struct dsp *d, struct dsp_pool *p);

/* dispatch-load.c */
/** The place of that number, or NULL. */
struct dsp_server *dsp_find_place (const struct dsp *d, uint64_t hash);
/** Add up what the other nodes told, after places came or went. */
void dsp_load_recount (struct dsp *d);
/** Tokens of prompts that are to be read there, of all nodes. */
double dsp_load_unread (const struct dsp_server *s);
/** Drop notices of prompts that have been read by now. */
void dsp_load_forget (struct dsp *d);
/** Count the prompt of @p q as to be read at its server. */
void dsp_prompt_sent (struct dsp *d, struct dsp_req *q);
/** It was read, or the attempt is over. */
void dsp_prompt_read (struct dsp_req *q);
void dsp_pump_all (struct dsp *d);

/* dispatch-place.c */
struct dsp_pool *dsp_pool_of (struct dsp *d, struct str service,
                              struct str model);
bool dsp_tried (const struct dsp_req *q, const struct dsp_server *s);
/** Whether any place may take requests of the pool at all. */
bool dsp_any_place (const struct dsp *d, const struct dsp_pool *p);
/**
 * Place for @p q now, or NULL: it waits here.
 */
struct dsp_server *dsp_choose (struct dsp *d, struct dsp_pool *p,
                               const struct dsp_req *q);
void dsp_pool_free (struct dsp_pool *p);

/* dispatch-health.c */
void dsp_health_good (struct dsp *d, struct dsp_server *s);
void dsp_health_bad (struct dsp *d, struct dsp_server *s);
void dsp_health_begun (struct dsp *d, struct dsp_server *s, clk_ms ms);
bool dsp_health_usable (const struct dsp *d, const struct dsp_server *s);
bool dsp_health_probe_due (const struct dsp *d, const struct dsp_server *s);
/** Whether its streams have paused for so long that new requests had better
    go elsewhere. */
bool dsp_health_quiet (const struct dsp *d, const struct dsp_server *s);
/** Look for places where nothing moves any more. */
void dsp_health_tick (struct dsp *d);

/* dispatch-limit.c */
/** Whether the place's limit allows one more request now. */
bool dsp_limit_allows (const struct dsp *d, const struct dsp_server *s);
/** It does not, and the request would go there. */
void dsp_limit_want (const struct dsp *d, const struct dsp_server *s,
                     const struct dsp_req *q);
/** A request is sent there. */
void dsp_limit_take (const struct dsp *d, const struct dsp_server *s);
bool dsp_is_limited (const struct dsp *d, const struct dsp_server *s);
/** Slots of the place that its limit lets be used. */
double dsp_limit_slots (const struct dsp *d, const struct dsp_server *s);
/** A request has come for the pool. */
void dsp_limit_asked (const struct dsp *d, const struct dsp_req *q);
/** Whether it leaves what limits allow to more urgent requests, as these use
    all of it. */
bool dsp_limit_yields (const struct dsp *d, const struct dsp_pool *p,
                       const struct dsp_req *q);
/** Whether all usable places of the pool are limited. */
bool dsp_limit_all (const struct dsp *d, const struct dsp_pool *p);
/** When what waits for the pool can be sent, if all its usable places are
    limited and have no permits left; else 0. */
clk_ms dsp_limit_wait (const struct dsp *d, const struct dsp_pool *p);
/** When a caller that is refused for that may come back; counts it. */
clk_ms dsp_limit_refuse (const struct dsp *d, struct dsp_pool *p);
/** Requests that the refused ones would have under way, all nodes together. */
double dsp_limit_demand (const struct dsp *d, const struct dsp_pool *p);

/* dispatch-crash.c */
/** The run of @p q has broken off at its server. */
void dsp_run_broken (struct dsp *d, const struct dsp_req *q);
/** Whether the process there is known to be gone. */
bool dsp_has_ended (const struct dsp *d, const struct dsp_server *s);
/** Another node has found it gone. */
void dsp_reported_ended (struct dsp *d, struct dsp_server *s);
/** Whether @p q is not worth a further attempt, as it may crash servers. */
bool dsp_suspects (const struct dsp *d, const struct dsp_req *q);

/* dispatch-retry.c */
struct dsp_budget *dsp_budget_of (struct dsp *d, const char *service);
void dsp_budget_request (struct dsp *d, struct dsp_pool *p);
/** @retval false  the budget of the service is spent */
bool dsp_budget_repeat (struct dsp *d, struct dsp_pool *p);

#endif
