/**
 * @file
 * Internal structures of the request dispatcher.
 *
 *   dispatch.c        life cycle of a request, by charts/forward.json
 *   dispatch-code.c   names and HTTP statuses of error codes
 *   dispatch-wait.c   queue of waiting requests and its order
 *   dispatch-place.c  endpoints and the choice among them
 *   dispatch-load.c   load of this node and of its peers at each endpoint
 *   dispatch-health.c failure, ejection and stall detection of endpoints
 *   dispatch-retry.c  this node's share of the fleet's retry budget
 *   dispatch-limit.c  rate limits set by servers
 *   dispatch-crash.c  interrupted runs and crash detection
 */
#ifndef LAPISLINE_SERVE_DISPATCH_INT_H
#define LAPISLINE_SERVE_DISPATCH_INT_H

#include "serve/dispatch.h"

/** States of charts/forward.json, in the order in which they are defined
    there. */
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

#define DSP_TRIED 8 /**< tried endpoints remembered for each request */

struct dsp_pool;

/** State of an endpoint. */
struct dsp_server
{
  struct dsp_pool *pool;
  char *id;
  int64_t generation;
  uint64_t hash;
  uint64_t process; /**< hash of the server's process: without the
                         generation */
  struct net_addr addr;
  bool same_zone;
  bool listed; /**< in the current list; else kept only until its requests
                    end */
  bool fresh;  /**< named by the list that is being applied */
  bool accepting;
  unsigned capacity;
  double read_per_ms;
  uint32_t own;          /**< requests of this node */
  uint32_t begun;        /**< streams among these that have received an
                              event */
  uint32_t others;       /**< requests of the other nodes, as last reported */
  uint32_t others_begun; /**< streams among these that have received an
                              event */
  double unread;         /**< prompt tokens of this node's requests that are
                              not yet processed */
  double noticed_own;    /**< part of @p unread that was announced to the other
                              nodes by notices */
  double others_unread;
  double others_noticed; /**< tokens announced in notices that have not
                              expired */
  clk_ms heard;          /**< time of the last response bytes */
  clk_ms full_until;     /**< end of the pause after the server reported
                              that it had no room */
  bool stalled;          /**< no response bytes arrive, though streams are
                              open */
  clk_ms stalled_at;
  clk_ms ended_until; /**< no requests are sent before this time, because
                           this node has found that the process ended */
  clk_ms reported_ended_until; /**< the same, because another node reported
                                    it */
  unsigned bad_run;            /**< consecutive failures */
  double errors;               /**< moving average of failures, 0 to 1 */
  double slow_ms; /**< moving average of the time to the first event */
  unsigned samples;
  clk_ms ejected_until; /**< 0: not ejected */
  unsigned ejections;   /**< consecutive ejections, for the backoff */
  bool probing;         /**< ejected, and one trial request is in flight */
};

/** Seconds that the retry budget counts; longer windows don't fit. */
#define DSP_WINDOW 32

/** Requests and retries of a service in each second of a sliding window. */
struct dsp_budget
{
  char *service;
  uint32_t requests[DSP_WINDOW];
  uint32_t repeats[DSP_WINDOW];
  clk_ms second; /**< the newest second of the window */
};

#define DSP_PRIORITIES 10

/** Moving average of the rate of an event. */
struct dsp_pace
{
  double n; /**< events, weighted by their age */
  clk_ms at;
};

/** Endpoints that can serve the same requests, and the queue for them. */
struct dsp_pool
{
  char *service;
  char *model;
  struct dsp_server **servers;
  size_t n;
  struct dsp_req *first, *last; /**< queued, in the order of arrival */
  size_t waiting;
  double begin_ms; /**< moving average: from sending to the first event */
  double run_ms;   /**< moving average: from sending to the end of the
                        response */
  struct dsp_budget *budget; /**< shared by the pools of a service */
  struct dsp_pace asked[DSP_PRIORITIES]; /**< request rate by priority */
  struct dsp_pace limited; /**< rate of requests rejected because all
                                endpoints are rate-limited */
  clk_ms promised;         /**< time up to which the permitted rate has been
                                given to rejected clients as retry delays */
};

struct dsp_req
{
  uint64_t id;
  struct dsp_req *chain;          /**< next in the bucket of the hash table */
  struct dsp_req *prev, *next;    /**< in the list of open requests */
  struct dsp_req *before, *after; /**< in the queue of the pool */
  struct dsp_pool *pool;
  struct dsp_server *server; /**< of the current attempt */
  struct tbl *table;
  const struct tbl_route *route;
  enum dsp_state state;
  unsigned priority;
  unsigned attempt; /**< number of the current attempt */
  unsigned sends;   /**< attempts whose bytes were sent, including rejected
                         ones */
  unsigned connects_failed;
  clk_ms arrived, goal, deadline;
  clk_ms sent_at, queued_at;
  clk_ms heard;
  double prompt;
  uint64_t digest;
  bool repeatable;
  bool queued;
  bool begun; /**< the current attempt has received its first event */
  clk_ms begun_at;
  bool passing; /**< part of the response has been forwarded to the client */
  bool probe;
  bool unread;  /**< its prompt is counted in the endpoint's `unread` */
  bool noticed; /**< its prompt is counted in the endpoint's `noticed_own` */
  bool unbegun; /**< sent, and no event received yet */
  bool error;   /**< the current attempt's response is an error */
  uint64_t tried[DSP_TRIED];
  unsigned ntried;
};

/** Load last reported by a peer. */
struct dsp_peer
{
  uint64_t node;
  clk_ms told_at;
  struct dsp_count *counts;
  size_t n;
};

/** A prompt notice received from another node. */
struct dsp_heard_notice
{
  struct dsp_notice n;
  clk_ms until; /**< time at which the prompt counts as processed */
};

#define DSP_NOTICES 256 /**< capacity; the oldest are overwritten */

#define DSP_BREAKS 64     /**< capacity; the oldest are overwritten */
#define DSP_BREAK_RUNS 64 /**< per entry; further runs are not counted */

/** Runs interrupted at one endpoint at about the same time. */
struct dsp_break
{
  uint64_t place; /**< 0: unused */
  clk_ms at;      /**< time of the first */
  bool checked;   /**< @p found is valid */
  enum dsp_liveness found;
  struct psn_update runs[DSP_BREAK_RUNS]; /**< pending until the check is
                                               complete */
  size_t nruns;
};

struct dsp
{
  struct dsp_options opt;
  char *zone;
  struct rng rng;
  clk_ms now;
  clk_ms ticked_at; /**< time of the last tick */
  clk_ms judged_at; /**< last tick, or the time at which the first request
                         was opened */
  bool skipped;     /**< the last tick was too late and checked no timeouts */
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
  struct dsp_heard_notice heard[DSP_NOTICES]; /**< ring buffer */
  size_t heard_first, nheard;
  struct dsp_notice notices[DSP_NOTICES]; /**< not yet announced */
  size_t nnotices;
  struct dsp_break breaks[DSP_BREAKS];
  struct dsp_figures figures;
};

/* dispatch.c */
/** @param q NULL: the action concerns no request */
struct dsp_action *dsp_act (struct dsp *d, enum dsp_action_kind kind,
                            const struct dsp_req *q);
/** Makes a transition of the chart; aborts the process if the chart doesn't
    allow it. */
void dsp_step (struct dsp_req *q, enum dsp_step x);
/** Ends the current attempt and queues the request for a retry, if that is
    allowed; else ends the request with @p code. */
void dsp_attempt_lost (struct dsp *d, struct dsp_req *q, enum dsp_code code);

/** The request, or NULL if @p attempt is not its current attempt. */
struct dsp_req *dsp_find_attempt (const struct dsp *d, uint64_t id,
                                  unsigned attempt);

/** Ends the request with an error: @p unrun if it is certain that it was
    not executed, else @p ran. @param retry_ms delay after which the client
    may retry, sent only with @p unrun; 0: not given */
void dsp_give_up (struct dsp *d, struct dsp_req *q, enum dsp_code unrun,
                  enum dsp_code ran, clk_ms retry_ms);

/* dispatch-wait.c */
void dsp_enqueue (struct dsp *d, struct dsp_req *q, bool front);
/** Removes the request from the queue; does nothing if it isn't queued. */
void dsp_dequeue (struct dsp_req *q);
/** Sends queued requests to endpoints that have room. */
void dsp_pump (struct dsp *d, struct dsp_pool *p);

/* dispatch-load.c */
/** The endpoint with that hash, or NULL. */
struct dsp_server *dsp_find_place (const struct dsp *d, uint64_t hash);
/** Sums the load reported by the peers again, after the list of endpoints
    has changed. */
void dsp_load_recount (struct dsp *d);
/** Prompt tokens of all nodes' requests that the endpoint has yet to
    process. */
double dsp_load_unread (const struct dsp_server *s);
/** Drops notices that have expired. */
void dsp_load_forget (struct dsp *d);
/** Adds the prompt of @p q to the pending tokens of its endpoint. */
void dsp_prompt_sent (struct dsp *d, struct dsp_req *q);
/** Removes it: the prompt was processed, or the attempt has ended. */
void dsp_prompt_read (struct dsp_req *q);
void dsp_pump_all (struct dsp *d);

/* dispatch-place.c */
struct dsp_pool *dsp_pool_of (struct dsp *d, struct str service,
                              struct str model);
bool dsp_tried (const struct dsp_req *q, const struct dsp_server *s);
/** Whether at least one endpoint of the pool is usable. */
bool dsp_any_place (const struct dsp *d, const struct dsp_pool *p);
/**
 * Endpoint to which @p q can be sent now, or NULL if it has to wait.
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
/** Whether its streams have been silent for long enough that new requests
    should avoid it. */
bool dsp_health_quiet (const struct dsp *d, const struct dsp_server *s);
/** Detects stalled endpoints and moves their requests. */
void dsp_health_tick (struct dsp *d);

/* dispatch-limit.c */
/** Whether the rate limit of the endpoint permits one more request now. */
bool dsp_limit_allows (const struct dsp *d, const struct dsp_server *s);
/** Asks for a permit on behalf of @p q. */
void dsp_limit_want (const struct dsp *d, const struct dsp_server *s,
                     const struct dsp_req *q);
/** Uses up a permit, as a request is sent there. */
void dsp_limit_take (const struct dsp *d, const struct dsp_server *s);
bool dsp_is_limited (const struct dsp *d, const struct dsp_server *s);
/** Slots of the endpoint that can be used under its rate limit. */
double dsp_limit_slots (const struct dsp *d, const struct dsp_server *s);
/** Counts a new request in the pool's rate for its priority. */
void dsp_limit_asked (const struct dsp *d, const struct dsp_req *q);
/** Whether @p q must leave the permitted rate to requests of higher
    priority, because these need all of it. */
bool dsp_limit_yields (const struct dsp *d, const struct dsp_pool *p,
                       const struct dsp_req *q);
/** Whether all usable endpoints of the pool are rate-limited. */
bool dsp_limit_all (const struct dsp *d, const struct dsp_pool *p);
/** Time after which the pool's queue can be sent, if all its usable
    endpoints are rate-limited and have no permits left; else 0. */
clk_ms dsp_limit_wait (const struct dsp *d, const struct dsp_pool *p);
/** Delay after which a client that is rejected by the rate limit may retry;
    counts the rejection. */
clk_ms dsp_limit_refuse (const struct dsp *d, struct dsp_pool *p);
/** Estimated number of slots, at all nodes, that the rejected requests
    would occupy. */
double dsp_limit_demand (const struct dsp *d, const struct dsp_pool *p);

/* dispatch-crash.c */
/** The run of @p q was interrupted. */
void dsp_run_broken (struct dsp *d, const struct dsp_req *q);
/** Whether the endpoint's process is known to have ended. */
bool dsp_has_ended (const struct dsp *d, const struct dsp_server *s);
/** Another node has reported that the process ended. */
void dsp_reported_ended (struct dsp *d, struct dsp_server *s);
/** Whether @p q must not be retried because it may crash servers. */
bool dsp_suspects (const struct dsp *d, const struct dsp_req *q);

/* dispatch-retry.c */
struct dsp_budget *dsp_budget_of (struct dsp *d, const char *service);
void dsp_budget_request (struct dsp *d, struct dsp_pool *p);
/** Uses up one retry. @retval false the retry budget of the service is
    exhausted */
bool dsp_budget_repeat (struct dsp *d, struct dsp_pool *p);

#endif
