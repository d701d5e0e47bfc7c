/**
 * @file
 * Internal structures of the request dispatcher.
 *
 *   dispatch.c        life cycle of a request, by charts/forward.json
 *   dispatch-request.c  table of open requests
 *   dispatch-code.c   names and HTTP statuses of error codes
 *   dispatch-wait.c   queue of waiting requests and its order
 *   dispatch-place.c  endpoints and the choice among them
 *   dispatch-load.c   load of this node and of its peers at each endpoint
 *   dispatch-health.c failure, ejection and stall detection of endpoints
 *   dispatch-hedge.c  second attempts beside one that is suspected
 *   dispatch-retry.c  this node's share of the fleet's retry budget
 *   dispatch-limit.c  rate limits set by servers
 *   dispatch-avail.c  pauses and shutdowns announced by servers
 *   dispatch-path.c   whether this node reaches servers, proxies if not
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

/** Events of charts/forward.json, in the order of event_names in
    dispatch.c. */
enum dsp_event
{
  DSP_EVENT_WAIT,
  DSP_EVENT_REFUSE,
  DSP_EVENT_CONNECT,
  DSP_EVENT_SENT,
  DSP_EVENT_UNRUN,
  DSP_EVENT_RETRY,
  DSP_EVENT_PASS,
  DSP_EVENT_WHOLE,
  DSP_EVENT_FAIL,
  DSP_EVENT_KEEP,
  DSP_EVENTS
};

/** Failed endpoints recorded for each request. */
#define DSP_FAILED_ENDPOINTS_MAX 8

struct dsp_pool;

struct dsp_endpoint_state
{
  struct dsp_pool *pool;
  char *server;
  int64_t generation;
  uint64_t hash;
  uint64_t process_hash; /**< hash of the server's process: without the
                              generation */
  struct net_addr addr;
  char *zone; /**< NULL: unknown */
  bool same_zone;
  bool is_proxy; /**< another node, which sends requests on to a server */
  bool listed;   /**< in the current list; else kept only until its requests
                      end */
  /** in the list that is being applied; becomes `listed` */
  bool seen_in_list;
  bool accepting;
  bool evacuated; /**< the server, or a member of its replica, is in an
                       evacuated zone */
  unsigned capacity;
  double prefill_per_ms;
  uint32_t own_requests;  /**< requests of this node */
  uint32_t own_streaming; /**< streams among these that have received an
                               event */
  uint32_t peer_requests; /**< requests of the other nodes, as last reported */
  uint32_t peer_streaming; /**< streams among these that have received an
                                event */
  double own_prefill;      /**< prompt tokens of this node's requests that are
                                not yet processed */
  double own_announced;    /**< part of `own_prefill` that was announced to the
                                other nodes by notices */
  double peer_prefill;     /**< pending tokens in the peers' load reports */
  double peer_announced;   /**< tokens announced in notices that have not
                                expired */
  clk_ms last_data_at;     /**< time of the last response bytes */
  clk_ms full_until;       /**< end of the pause after the server reported that
                                   it had no room */
  bool stalled;            /**< no response bytes arrive, though streams are
                                open */
  clk_ms stalled_at;
  /** no requests are sent before this time, because this node has found that
      the process ended */
  clk_ms process_ended_until;
  clk_ms reported_ended_until; /**< no requests are sent before this time,
                                    because another node reported that the
                                    process ended */
  unsigned failures_in_row;
  double failure_rate;        /**< moving average of failures, 0 to 1 */
  double mean_first_event_ms; /**< moving average of the time to the first
                                 event */
  unsigned samples;
  clk_ms ejected_until; /**< 0: not ejected */
  unsigned ejections;   /**< consecutive ejections, for the backoff */
  bool trial_in_flight; /**< one trial request is in flight, to find out
                             whether the endpoint works again */
};

/** Length of the retry budget's history, in seconds; longer windows are cut to
    it. */
#define DSP_BUDGET_SECONDS 32

/** Requests and retries of a service in each second of a sliding window. */
struct dsp_retry_budget
{
  char *service;
  uint32_t requests[DSP_BUDGET_SECONDS];
  uint32_t retries[DSP_BUDGET_SECONDS];
  clk_ms newest_second;
  struct dsp_denied_retries denied; /**< denials not reported yet */
};

#define DSP_PRIORITIES 10

/** Moving average of the rate of an event. */
struct dsp_rate
{
  double weighted_count; /**< events, weighted by their age */
  clk_ms updated_at;
};

/** Endpoints that can serve the same requests, and the queue for them. */
struct dsp_pool
{
  char *service;
  char *model;
  struct dsp_endpoint_state **endpoints;
  size_t n;
  struct dsp_endpoint_state **proxies;
  size_t nproxies;
  /** queued, in the order of arrival */
  struct dsp_req *queue_head, *queue_tail;
  /** moving average: from sending to the first event */
  double mean_first_event_ms;
  double mean_response_ms; /**< moving average: from sending to the end of the
                           response */
  struct dsp_retry_budget
      *retry_budget;     /**< shared by the pools of a service */
  struct dsp_path *path; /**< likewise */
  /** moving average over the requests of this node; -1: there was none */
  double mean_priority;
  /** indexed by priority */
  struct dsp_rate request_rates[DSP_PRIORITIES];
  struct dsp_rate rejection_rate; /**< rate of requests rejected because all
                                       endpoints are rate-limited or paused */
  clk_ms assigned_until; /**< latest retry time given to a rejected client; the
                              next client gets a later one */
  clk_ms pause_retry_at; /**< retry time of the next client that is rejected
                              because of pauses */
};

/** The first attempt of a hedged request (dispatch-hedge.c), which stays open.
    The request's own fields then describe the hedge; its `endpoint` is NULL
    while the hedge is queued. */
struct dsp_primary
{
  struct dsp_endpoint_state *endpoint; /**< NULL: there is none */
  unsigned attempt;
  clk_ms sent_at, last_data_at, first_event_at;
  bool streaming, success_response, is_trial;
};

struct dsp_req
{
  uint64_t id;
  struct dsp_req *hash_next;   /**< next in the bucket of the hash table */
  struct dsp_req *prev, *next; /**< in the list of open requests */
  struct dsp_req *queue_prev, *queue_next; /**< in the queue of the pool */
  struct dsp_pool *pool;
  struct dsp_endpoint_state *endpoint; /**< of the current attempt */
  struct tbl *config;
  const struct tbl_route *route;
  enum dsp_state state;
  unsigned priority;
  unsigned attempt;      /**< number of the current attempt */
  unsigned last_attempt; /**< number of the latest attempt */
  struct dsp_primary primary;
  bool hedge_denied; /**< the budget has denied it a second attempt */
  bool retry_unused; /**< a retry was taken for a hedge, and nothing sent */
  bool overdue;      /**< its endpoint was found to be late */
  unsigned max_attempts;
  bool proxied;           /**< another node sent it */
  unsigned sent_attempts; /**< attempts whose bytes were sent, including
                               rejected ones */
  unsigned connect_failures;
  clk_ms arrived_at, goal_at, deadline;
  clk_ms sent_at, queued_at;
  clk_ms permit_expires_at; /**< lim_use_permit() of the current attempt */
  clk_ms last_data_at;
  double prompt_tokens;
  struct psn_request poison_ids; /**< owns the list of parts */
  struct psn_id refused_for;  /**< the one of these that it is refused for */
  enum dsp_no_retry no_retry; /**< of the last attempt that failed */
  bool retryable;
  bool queued;
  bool streaming; /**< the current attempt has received its first event */
  clk_ms first_event_at;
  bool partly_forwarded;   /**< part of the response has been forwarded to the
                                client */
  bool is_trial;           /**< the current attempt is a trial request */
  bool prefill_counted;    /**< its prompt is counted in the endpoint's
                                `own_prefill` */
  bool prefill_announced;  /**< its prompt is counted in the endpoint's
                                `own_announced` */
  bool awaits_first_event; /**< sent, and no event received yet */
  bool success_response; /**< the current attempt's response has status 2xx */
  /** hashes of the endpoints at which an attempt failed or was rejected */
  uint64_t failed_endpoints[DSP_FAILED_ENDPOINTS_MAX];
  unsigned nfailed_endpoints;
};

/** Load last reported by a peer. */
struct dsp_peer
{
  uint64_t node;
  clk_ms received_at;
  struct dsp_endpoint_load *loads;
  size_t n;
};

/** A prompt notice received from another node. */
struct dsp_received_notice
{
  struct dsp_prompt_notice notice;
  clk_ms expires_at; /**< time at which the prompt counts as processed */
};

#define DSP_NOTICES_MAX 256 /**< capacity; the oldest are overwritten */

#define DSP_INTERRUPTIONS_MAX 64 /**< capacity; the oldest are overwritten */

/** Runs interrupted at one endpoint at about the same time. */
struct dsp_interruption
{
  uint64_t endpoint; /**< 0: unused */
  clk_ms first_at;   /**< time of the first interruption */
  bool checked;      /**< `liveness` is valid */
  clk_ms refused_at; /**< the check's connection was refused then, which is to
                          be confirmed; 0: it was not */
  enum dsp_liveness liveness;
  struct psn_run *runs; /**< pending until the check is complete; each owns its
                             list of parts */
  size_t nruns, runs_capacity;
};

#define DSP_CLOSED_RUNS_MAX 64 /**< capacity; the oldest are overwritten */

/** A run whose response ended with its connection: complete, or interrupted by
    a crash of the server. */
struct dsp_closed_run
{
  clk_ms closed_at;   /**< 0: unused */
  struct psn_run run; /**< owns its list of parts */
};

/** Servers whose failures are recorded in a row. */
#define DSP_PATH_FAILED_MAX 8

/** Evidence of the paths from this node to the servers of a service. */
struct dsp_path
{
  char *service;
  uint64_t service_hash;
  enum dsp_path_state state;
  bool changed; /**< since dsp_next_path_change() returned it */
  /** hashes of server processes to which no connection could be made since one
      was last made */
  uint64_t failed[DSP_PATH_FAILED_MAX];
  size_t nfailed;
  clk_ms first_failed_at;
  /** the same of those that left a request without an answer since any server
      last sent data */
  uint64_t silent[DSP_PATH_FAILED_MAX];
  size_t nsilent;
  clk_ms heard_at;     /**< time of the last data from any server */
  clk_ms connected_at; /**< time of the last answer on a new connection */
  clk_ms next_check_at;
  clk_ms reference_check_at; /**< when a server was last checked to confirm
                                that another one has ended; 0: the next check
                                is due */
};

struct dsp
{
  struct dsp_options opt;
  char *zone;
  struct rng rng;
  clk_ms now;
  clk_ms ticked_at;
  clk_ms last_check_at; /**< last tick, or the time at which the first request
                             was opened */
  bool skipped_tick; /**< the last tick was too late and checked no timeouts */
  unsigned node_count;
  unsigned known_nodes;   /**< nodes that may be running */
  unsigned budget_nodes;  /**< maximum of `known_nodes` in the retry window */
  clk_ms budget_nodes_at; /**< when `known_nodes` last had that value */
  bool shutting_down;
  struct dsp_pool **pools;
  size_t npools;
  struct dsp_retry_budget **budgets;
  size_t nbudgets;
  struct dsp_peer *peers;
  size_t npeers;
  struct dsp_req **buckets;
  size_t nbuckets;
  struct dsp_req *open_list;
  size_t open_count;
  struct dsp_action *actions;
  size_t action_head, action_count, action_capacity;
  struct dsp_endpoint_load *own_loads;
  /** ring buffer */
  struct dsp_received_notice received_notices[DSP_NOTICES_MAX];
  size_t received_first, nreceived;
  /** not yet announced */
  struct dsp_prompt_notice outgoing_notices[DSP_NOTICES_MAX];
  size_t noutgoing;
  struct rng check_rng; /**< so that checks don't change the choice of
                             endpoints */
  struct dsp_path **paths;
  size_t npaths;
  struct dsp_proxy proxies[DSP_PROXIES_MAX];
  size_t nproxies;
  struct dsp_interruption interruptions[DSP_INTERRUPTIONS_MAX];
  struct dsp_closed_run closed_runs[DSP_CLOSED_RUNS_MAX]; /**< a ring */
  size_t next_closed_run;
  struct dsp_stats stats;
};

/* dispatch.c */
/** @param q NULL: the action concerns no request */
struct dsp_action *dsp_add_action (struct dsp *d, enum dsp_action_kind kind,
                                   const struct dsp_req *q);
/** Applies an event to the request's state; aborts the process if the chart
    doesn't allow it. */
void dsp_transition (struct dsp_req *q, enum dsp_event event);
/** Ends the current attempt.  A hedged request goes on at its primary; another
    one is queued for a retry, if that is allowed, else it ends with @p code.
 */
void dsp_attempt_failed (struct dsp *d, struct dsp_req *q, enum dsp_code code,
                         enum dsp_cancel_reason why);

/** Ends the request with the error @p if_not_executed if it was certainly not
    executed, else with @p if_executed.
    @param retry_ms delay after which the client may retry; sent only if the
    request was not executed; 0: not given */
void dsp_give_up (struct dsp *d, struct dsp_req *q,
                  enum dsp_code if_not_executed, enum dsp_code if_executed,
                  clk_ms retry_ms);

/** Ends the request, which may crash servers, or its retry. */
void dsp_refuse_poison (struct dsp *d, struct dsp_req *q,
                        const struct psn_refusal *why);

/** Whether the request may have another attempt, apart from the budget. */
enum dsp_no_retry dsp_may_retry (const struct dsp *d, const struct dsp_req *q);
/** Ends the current attempt, if there is one. */
void dsp_cancel_attempt (struct dsp *d, struct dsp_req *q,
                         enum dsp_cancel_reason why);
void dsp_stop_awaiting_first_event (struct dsp_req *q);
/** The server has no room: it gets no request for a moment. */
void dsp_mark_full (const struct dsp *d, struct dsp_endpoint_state *s);
/** The request's next attempt goes to another endpoint. */
void dsp_record_failed_endpoint (struct dsp_req *q);

/* dispatch-hedge.c */
bool dsp_is_hedged (const struct dsp_req *q);
/** The request, or NULL if @p attempt is not its primary. */
struct dsp_req *dsp_find_primary (const struct dsp *d, uint64_t id,
                                  unsigned attempt);
/** Endpoint of an open attempt, current or primary; NULL: it has ended. */
struct dsp_endpoint_state *
dsp_attempt_endpoint (const struct dsp *d, uint64_t id, unsigned attempt);
/** The current attempt is suspected: queues the request for a second one if it
    may have one, and else does nothing. */
void dsp_hedge (struct dsp *d, struct dsp_req *q);
/** Takes a retry from the budget for the hedge of @p q.
    @retval false there is none; the request goes on at its primary */
bool dsp_hedge_may_start (struct dsp *d, struct dsp_req *q);
/** Ends a queued hedge whose reason has gone; to be called with each tick. */
void dsp_check_hedge (struct dsp *d, struct dsp_req *q);
/** Ends the hedge, which may be queued; the primary is the current attempt
    again. */
void dsp_keep_primary (struct dsp *d, struct dsp_req *q,
                       enum dsp_cancel_reason why);
/** Same, as the primary has made progress. */
void dsp_primary_progress (struct dsp *d, struct dsp_req *q);
/** A response head of the primary of @p q, which may be NULL.
    @return the request if the primary is its current attempt again */
struct dsp_req *dsp_primary_head (struct dsp *d, struct dsp_req *q,
                                  enum dsp_response_head head);
/** Same for data. @param event  they complete an event */
struct dsp_req *dsp_primary_data (struct dsp *d, struct dsp_req *q,
                                  bool event);
/** The request of an attempt that makes progress, which is its current attempt
    from now on; NULL: the attempt has ended. */
struct dsp_req *dsp_find_progressing (struct dsp *d, uint64_t id,
                                      unsigned attempt);
/** The primary was interrupted while the hedge goes on. */
void dsp_primary_interrupted (struct dsp *d, struct dsp_req *q);
/** Ends the primary, if there is one. */
void dsp_drop_primary (struct dsp *d, struct dsp_req *q,
                       enum dsp_cancel_reason why);

/* dispatch-request.c */
struct dsp_req *dsp_find_request (const struct dsp *d, uint64_t id);
/** The request, or NULL if @p attempt is not its current attempt. */
struct dsp_req *dsp_find_attempt (const struct dsp *d, uint64_t id,
                                  unsigned attempt);
struct dsp_req *dsp_add_request (struct dsp *d, const struct dsp_request *in);
/** Removes the request from the table and frees it; it must not be queued. */
void dsp_free_request (struct dsp *d, struct dsp_req *q);

/* dispatch-wait.c */
void dsp_enqueue (struct dsp *d, struct dsp_req *q, bool front);
/** Removes the request from the queue; does nothing if it isn't queued. */
void dsp_dequeue (struct dsp_req *q);
/** Sends queued requests to endpoints that have room. */
void dsp_send_queued (struct dsp *d, struct dsp_pool *p);

/* dispatch-load.c */
struct dsp_endpoint_state *dsp_find_endpoint (const struct dsp *d,
                                              uint64_t hash);
/** Sums the peers' load reports again after a change of the endpoint list. */
void dsp_load_sum_peers (struct dsp *d);
/** Queued requests that hold no slot: those that are hedged hold one. */
size_t dsp_load_count_waiting (const struct dsp_pool *p);
/** Counts a new request in the mean priority of its pool. */
void dsp_load_count_priority (struct dsp_req *q);
/** Prompt tokens of all nodes' requests that the endpoint has not processed
    yet. */
double dsp_load_pending_prefill (const struct dsp_endpoint_state *s);
/** Removes expired prompt notices: another node announces with a notice that
    it has sent a long prompt to an endpoint. */
void dsp_load_expire_prompt_notices (struct dsp *d);
/** Adds the prompt of @p q to the pending tokens of its endpoint. */
void dsp_load_prompt_sent (struct dsp *d, struct dsp_req *q);
/** Subtracts the prompt of @p q again: it was processed, or the attempt has
    ended. */
void dsp_load_prompt_processed (struct dsp_req *q);
void dsp_send_all_queued (struct dsp *d);

/* dispatch-place.c */
struct dsp_pool *dsp_get_pool (struct dsp *d, struct str service,
                               struct str model);
bool dsp_has_failed_at (const struct dsp_req *q,
                        const struct dsp_endpoint_state *s);
/** Whether dsp_health_allows_requests() holds for any endpoint of the pool. */
bool dsp_any_usable (const struct dsp *d, const struct dsp_pool *p);
/** Whether an endpoint other than the current one could take @p q, now or once
    it has room. */
bool dsp_any_alternative (struct dsp *d, const struct dsp_req *q);
/** Endpoint to which @p q can be sent now, or NULL if it has to wait. */
struct dsp_endpoint_state *dsp_choose_endpoint (struct dsp *d,
                                                struct dsp_pool *p,
                                                const struct dsp_req *q);
void dsp_pool_free (struct dsp_pool *p);
void dsp_endpoint_free (struct dsp_endpoint_state *s);

/* dispatch-path.c */
struct dsp_path *dsp_get_path (struct dsp *d, const char *service);
/** A connection to the server failed.
    @retval true  it is the first failure there since a connection to any
                  server of the service succeeded */
bool dsp_path_connect_failed (struct dsp *d,
                              const struct dsp_endpoint_state *s);
/** A new connection to the server was made and answered. */
void dsp_path_connected (struct dsp *d, const struct dsp_endpoint_state *s);
/** A new connection to the server was made. */
void dsp_path_new_connection (const struct dsp *d,
                              const struct dsp_endpoint_state *s);
/** A request was sent to the endpoint: from the first one on, silence counts.
 */
void dsp_path_request_sent (const struct dsp *d,
                            const struct dsp_endpoint_state *s);
/** The endpoint has not answered a request in time. */
void dsp_path_unanswered (struct dsp *d, const struct dsp_endpoint_state *s);
/** The endpoint has sent data. */
void dsp_path_heard (struct dsp *d, const struct dsp_endpoint_state *s);
void dsp_path_tick (struct dsp *d);
/** Chooses a random server of the service to be checked.
    @param except  hash of the process of one that is left out; 0: none
    @retval false there is none */
bool dsp_path_choose_check (struct dsp *d, const struct dsp_path *p,
                            uint64_t except, struct dsp_check_target *out);
/** Checks a random server of the service. */
void dsp_path_check_server (struct dsp *d, const struct dsp_path *p,
                            uint64_t except);
/** Whether this node doesn't reach the service, but another node does: then
    failures of its servers here say nothing of the servers. */
bool dsp_path_is_own_loss (const struct dsp *d, const struct dsp_path *p);
/** Whether @p q is better sent through another node than to a server. */
bool dsp_prefers_proxy (const struct dsp_req *q);
/** A random proxy; NULL if there is none for @p q. */
struct dsp_endpoint_state *dsp_choose_proxy (struct dsp *d, struct dsp_pool *p,
                                             const struct dsp_req *q);
/** The proxy could not be reached, or has failed a request. */
void dsp_proxy_failed (const struct dsp *d, struct dsp_endpoint_state *s);

/* dispatch-crash.c */
/** Confirms or dismisses refused connections as the end of processes. */
void dsp_crash_tick (struct dsp *d);
/** Whether a refused connection waits for that. */
bool dsp_crash_pending (const struct dsp *d);

/* dispatch-health.c */
void dsp_health_success (struct dsp *d, struct dsp_endpoint_state *s);
void dsp_health_failure (struct dsp *d, struct dsp_endpoint_state *s);
void dsp_health_first_event (struct dsp *d, struct dsp_endpoint_state *s,
                             clk_ms ms);
/** Whether requests other than trial requests may be sent to the endpoint. */
bool dsp_health_allows_requests (const struct dsp *d,
                                 const struct dsp_endpoint_state *s);
bool dsp_health_trial_due (const struct dsp *d,
                           const struct dsp_endpoint_state *s);
/** Whether the trial has been due for so long that any request is used. */
bool dsp_health_trial_overdue (const struct dsp *d,
                               const struct dsp_endpoint_state *s);
/** Whether the endpoint's streams have received nothing for so long that new
    requests should avoid it, although that is too short for a stall.
    @param for_hedge  the new request is a hedge */
bool dsp_health_streams_silent (const struct dsp *d,
                                const struct dsp_endpoint_state *s,
                                bool for_hedge);
/** Another node reports load at the endpoint. */
void dsp_health_peer_load (struct dsp_endpoint_state *s,
                           const struct dsp_endpoint_load *load);
/** Whether a stream of any node had an event there a moment ago. */
bool dsp_health_heard_recently (const struct dsp *d,
                                const struct dsp_endpoint_state *s);
/** Detects stalled endpoints and hedges their requests. */
void dsp_health_tick (struct dsp *d);

/* dispatch-limit.c */
/** Whether the rate limit of the endpoint permits one more request now. */
bool dsp_limit_allows_request (const struct dsp *d,
                               const struct dsp_endpoint_state *s);
void dsp_limit_ask_permit (const struct dsp *d,
                           const struct dsp_endpoint_state *s,
                           const struct dsp_req *q);
/** Uses a permit; returns lim_use_permit(). */
clk_ms dsp_limit_use_permit (const struct dsp *d,
                             const struct dsp_endpoint_state *s);
/** Whether the request may be written to its endpoint now. */
bool dsp_limit_may_write (const struct dsp *d, const struct dsp_req *q);
bool dsp_is_cold (const struct dsp *d, const struct dsp_endpoint_state *s);
bool dsp_has_rate_limit (const struct dsp *d,
                         const struct dsp_endpoint_state *s);
/** Slots of the endpoint that can be used under its rate limit. */
double dsp_limit_slots (const struct dsp *d,
                        const struct dsp_endpoint_state *s);
/** Counts a rejection because of rate limits or pauses, as part of the
    demand. */
void dsp_limit_count_rejection (const struct dsp *d, struct dsp_pool *p);
/** Counts a new request in the pool's rate for its priority. */
void dsp_limit_count_request (const struct dsp *d, const struct dsp_req *q);
/** Whether requests of higher priority need all of the permitted rate, so that
    @p q must wait. */
bool dsp_limit_needed_by_higher_priority (const struct dsp *d,
                                          const struct dsp_pool *p,
                                          const struct dsp_req *q);
/** Whether all usable endpoints of the pool are rate-limited. */
bool dsp_limit_on_all_endpoints (const struct dsp *d,
                                 const struct dsp_pool *p);
/** Time needed to send the pool's queue, if all its usable endpoints are
    rate-limited and have no permits left; else 0. */
clk_ms dsp_limit_wait_ms (const struct dsp *d, const struct dsp_pool *p);
/** Delay after which a client that is rejected by the rate limit may retry;
    counts the rejection. */
clk_ms dsp_limit_reject (const struct dsp *d, struct dsp_pool *p);
/** Estimated number of slots that rejected requests of all nodes would use. */
double dsp_limit_demand (const struct dsp *d, const struct dsp_pool *p);

/* dispatch-avail.c */
/** Whether the endpoint's server takes requests from this node: it has neither
    asked for a pause nor announced that it is shutting down. */
bool dsp_avail_allows (const struct dsp *d,
                       const struct dsp_endpoint_state *s);
bool dsp_avail_is_leaving (const struct dsp *d,
                           const struct dsp_endpoint_state *s);
/** Whether the endpoint gets no requests because of evacuated zones.  Also
    covers endpoints that are no longer listed. */
bool dsp_is_evacuated (const struct dsp *d,
                       const struct dsp_endpoint_state *s);
/** Whether evacuations leave no endpoint of the pool. */
bool dsp_evacuations_leave_none (const struct dsp *d,
                                 const struct dsp_pool *p);
/** Whether announcements and evacuations leave no endpoint that could take
    @p q before @p until. */
bool dsp_avail_none_before (const struct dsp *d, const struct dsp_req *q,
                            clk_ms until);
/** Error code for a request that no endpoint of the pool takes in time. */
enum dsp_code dsp_avail_code (const struct dsp *d, const struct dsp_pool *p);
/** Delay after which a client may retry, if all endpoints are paused, leaving
    or evacuated; else 0. */
clk_ms dsp_avail_retry_ms (struct dsp *d, struct dsp_pool *p);

/* dispatch-crash.c */
/** An attempt of @p q at @p s was interrupted.
    @param ran_ms  since its first event; PSN_NO_EVENT: it had none */
void dsp_run_interrupted (struct dsp *d, const struct dsp_req *q,
                          const struct dsp_endpoint_state *s, clk_ms ran_ms);
/** Duration of a run for dsp_run_interrupted(). */
clk_ms dsp_run_ms (const struct dsp *d, bool streaming, clk_ms first_event_at);
void dsp_crash_free (struct dsp *d);
/** The response ended with its connection. */
void dsp_run_closed (struct dsp *d, const struct dsp_req *q);
/** The server has answered a request that was sent at @p sent_at. */
void dsp_server_answered (struct dsp *d, const struct dsp_endpoint_state *s,
                          clk_ms sent_at);
/** The server can't be reached: checks it if responses ended with their
    connections there. */
void dsp_check_closed_runs (struct dsp *d, const struct dsp_endpoint_state *s);
/** Whether the request must not be run, as it may crash servers.
    @param out  receives the reason */
bool dsp_is_refused (const struct dsp *d, const struct dsp_req *q,
                     struct psn_refusal *out);
/** Whether this node or another one found, a short time ago, that the
    endpoint's process ended. */
bool dsp_process_ended (const struct dsp *d,
                        const struct dsp_endpoint_state *s);
void dsp_peer_reported_ended (struct dsp *d, struct dsp_endpoint_state *s);
/** Whether @p q must not be retried because it may crash servers. */
bool dsp_is_suspect (const struct dsp *d, const struct dsp_req *q);

/* dispatch-retry.c */
struct dsp_retry_budget *dsp_get_budget (struct dsp *d, const char *service);
/** Number of nodes that share the retry budget: it falls only one window after
    other nodes are gone, as their retries count that long. */
unsigned dsp_budget_nodes (struct dsp *d);
void dsp_budget_count_request (struct dsp *d, struct dsp_pool *p);
/** Whether the retry budget has a retry left. */
bool dsp_budget_has_retry (struct dsp *d, struct dsp_pool *p);
/** Uses up one retry.
    @retval false the retry budget of the service is exhausted */
bool dsp_budget_take_retry (struct dsp *d, struct dsp_pool *p);

#endif
