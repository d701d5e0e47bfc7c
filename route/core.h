/**
 * @file
 * Internal structures of the request core, used only by route/ and its
 * benchmarks.
 *
 *   route.c    event dispatch, action queue, targets and servers
 *   admit.c    admission of new requests
 *   request.c  request life cycle by charts/attempt.json
 *   attempt.c  events of one attempt; retries
 *   queue.c    request queue: priority classes, fair queuing by account
 *   slot.c     slot requests to a model's home
 *   slots.c    slots of a model's replicas at its home
 *   limit.c    rate and concurrency of an account at this node
 *   load.c     load estimates of the servers
 *   choose.c   choice of the server
 *   retry.c    retry budget and backoff
 *   outlier.c  ejection of servers that do worse than their peers
 *   avail.c    pauses and shutdowns announced by servers
 *   code.c     names and statuses of outcomes and codes
 */
#ifndef LAPISLINE_ROUTE_CORE_H
#define LAPISLINE_ROUTE_CORE_H

#include "base/chart.h"
#include "route/route.h"

#define RT_CLASSES 4
#define RT_MAX_TRIED 4    /**< failed servers that a request avoids */
#define RT_MAX_ATTEMPTS 4 /**< of one request */
#define RT_HISTORY 32     /**< samples of this gateway's load per server */
#define RT_HISTORY_MS 250 /**< interval of the samples */

/** States of charts/attempt.json, in the order of state_names in
    request.c. */
enum rt_state
{
  RT_S_RECEIVED,
  RT_S_ADMITTED,
  RT_S_ASKING, /**< waiting for a slot reply of the model's home */
  RT_S_QUEUED,
  RT_S_CLAIMING,
  RT_S_CONNECTING,
  RT_S_SENDING,
  RT_S_SENT,
  RT_S_STREAMING,
  RT_S_RETRYING,
  RT_S_RECONNECTING,
  RT_S_RESENDING,
  RT_S_DONE,
  RT_S_NOT_RUN,
  RT_S_FAILED,
  RT_S_UNKNOWN,
  RT_STATES
};

/** Events of charts/attempt.json. */
enum rt_chart_event
{
  RT_X_ADMIT,
  RT_X_REFUSE,
  RT_X_ENQUEUE,
  RT_X_ASK,
  RT_X_CLAIM,
  RT_X_CONNECT,
  RT_X_GRANTED,
  RT_X_REPLAY,
  RT_X_CLAIMED_ELSEWHERE,
  RT_X_SEND,
  RT_X_CONNECT_FAILED,
  RT_X_HEAD,
  RT_X_REFUSED_UNRUN,
  RT_X_REFUSED_FINAL,
  RT_X_RETRY,
  RT_X_FAIL,
  RT_X_LOSE,
  RT_X_BODY,
  RT_X_END,
  RT_CHART_EVENTS
};

/** One client account at this node. */
struct rt_account
{
  char *name;
  uint64_t hash;
  double rate_limit; /**< tokens per second, all nodes; 0: unlimited */
  double conc_limit; /**< concurrent requests, all nodes; 0: unlimited */
  bool has_share;
  double share_rate;
  double share_conc;
  clk_ms share_until;  /**< the share decays to limit / rt.nodes afterwards */
  double bucket_level; /**< tokens in the bucket, may be negative */
  clk_ms bucket_at;
  size_t open_requests;
  double requested_tokens; /**< since demand_at, including refused requests */
  size_t peak_open;
  clk_ms demand_at;
};

/** Samples of this gateway's load on a server, used to subtract it from a
    reported load. */
struct rt_history
{
  float tokens[RT_HISTORY];
  clk_ms newest_index; /**< time of the newest sample / RT_HISTORY_MS */
};

#define RT_MAX_PREFIXES 32    /**< prefixes remembered per server */
#define RT_MAX_GRANT_TIMES 16 /**< grants remembered per server */

/** Recent grants of a model's home on a server. */
struct rt_grant_history
{
  uint64_t prefixes[RT_MAX_PREFIXES]; /**< most recently used first */
  clk_ms times[RT_MAX_GRANT_TIMES];   /**< ring buffer of grant times */
  unsigned next;
};

/** One replica of a model, or one backend server of a service. */
struct rt_server
{
  char *name;
  struct str key; /**< `name`, as key of rt_target.by_name */
  char *zone;
  uint64_t hash;
  struct net_addr addr;
  uint64_t avail_key;   /**< avl_address_key() of `addr` */
  uint64_t leaving_key; /**< rt_leaving_key() */
  int64_t generation;
  bool same_zone;
  bool listed; /**< in the last list; otherwise kept for requests in flight */
  bool in_update; /**< in the list that is being processed */
  bool complete;
  bool draining;
  bool down;
  bool observe; /**< configured to get no requests */
  clk_ms valid_until;
  double capacity; /**< concurrent requests */
  /* Load estimate. */
  uint32_t in_flight;
  uint32_t pending; /**< of these, sent without a first byte yet */
  double own_tokens;
  double other_requests; /**< of other gateways, in the last report */
  clk_ms load_at;
  struct rt_history history;
  struct rt_candidate *candidate;
  /* Outlier detection. */
  uint64_t successes, failures; /**< of attempts */
  unsigned consecutive_failures;
  double first_byte_ms; /**< moving average of the time to the first byte */
  unsigned first_byte_samples;
  clk_ms ejected_until; /**< 0: not ejected */
  unsigned ejections;   /**< consecutive ejections, for the backoff */
  bool probing;         /**< ejected, with a probe request in flight */
  struct rt_grant_history *grants; /**< NULL except at a model's home */
};

#define RT_DEFAULT_RETRY_MS 1000 /* retry_ms without an estimate */

struct rt_req;

/** Waiting requests of one account in one priority class (flow of the
    deficit round-robin). */
struct rt_flow
{
  struct rt_account *account;
  double weight;
  double deficit;
  double tokens; /**< of the queued requests */
  struct rt_req *head, *tail;
  struct rt_flow *next; /**< in the list of active flows */
  bool active;
};

struct rt_class
{
  struct rt_flow **flows;
  size_t nflows;
  struct rt_flow *first, *last; /**< list of active flows */
  struct rt_req *oldest, *newest;
};

struct rt_queue
{
  struct rt_class classes[RT_CLASSES];
  size_t n;
  double tokens;
  unsigned taken_since_aged; /**< since one was preferred by age */
};

/** Compact copy of the fields that the choice reads: with 600 servers,
    reading the servers themselves would cost more than the choice. */
struct rt_candidate
{
  struct rt_server *server;
  uint64_t hash;
  uint32_t in_flight;
  uint32_t score;      /**< in_flight + rt_server.pending */
  float max_in_flight; /**< limit of this gateway's requests on it */
  float weight;        /**< of the random choice among equal scores */
};

/** Servers that accept requests, recomputed periodically and after changes. */
struct rt_view
{
  struct rt_candidate *list;
  size_t n;
  size_t ejected;
  uint32_t outside_requests; /**< of this gateway, on servers not in `list` */
  bool valid;
  clk_ms at;
  clk_ms valid_until;    /**< earliest valid_until of the servers in `list` */
  double capacity;       /**< requests */
  double other_requests; /**< of other gateways, as reported */
  double others_holding_slots; /**< of these, not queued at the server */
  double tokens_at_reports;    /**< of this gateway */
  double total_age;            /**< sum of the reports' ages, ms */
};

/** Model, or service without a model, with its servers and its queue. */
struct rt_target
{
  char *name;
  uint64_t hash;
  bool is_model;
  struct rt_server **servers;
  size_t nservers;
  struct _GHashTable *by_name; /**< index of `servers`; key: rt_server.key */
  struct rt_queue queue;
  double mean_cost;           /**< moving average */
  double mean_other_requests; /**< over the servers, for stale reports */
  double ms_per_token;        /**< moving average over complete responses */
  uint32_t in_flight;         /**< requests of this gateway on all servers */
  double own_tokens;          /**< tokens of these */
  struct rt_view view;
  clk_ms measured_at; /**< when ms_per_token last changed */
  double median_ms;   /**< median time to the first byte over the servers */
  clk_ms median_at;
  bool has_home;          /**< the model's home is reachable */
  unsigned slot_timeouts; /**< consecutive slot requests that timed out */
  clk_ms slot_requests_paused_until;
  double retry_budget;
  clk_ms retry_budget_at; /**< last update of retry_budget */
};

/** State of a request (its input: struct rt_request). */
struct rt_req
{
  uint64_t id;
  struct rt_req *hash_next;     /**< next in the bucket of rt.table */
  struct rt_req *prev, *next;   /**< within its flow */
  struct rt_req *older, *newer; /**< within its class */
  struct rt_flow *flow;
  struct rt_target *target;
  struct rt_account *account;
  struct rt_server *server; /**< of the current attempt */
  struct cfg *cfg;          /**< configuration at arrival */
  const struct cfg_model *model;
  const struct cfg_service *service;
  double cost;
  uint64_t prefix;
  clk_ms arrived_at;
  clk_ms queued_at;
  clk_ms deadline;   /**< 0: none */
  clk_ms started_at; /**< RT_ACT_SEND of the current attempt */
  clk_ms granted_at;
  clk_ms first_byte_ms; /**< to the first byte of the current attempt */
  clk_ms timer_due;
  size_t heap_index;
  size_t forwarded_bytes;
  uint64_t tried[RT_MAX_TRIED];
  unsigned attempt;
  enum rt_state state;
  uint8_t priority;
  uint8_t ntried;
  bool idempotent;
  bool has_key;
  bool claim_requested; /**< and not yet released */
  bool sent;            /**< some attempt got RT_ACT_SEND */
  bool forwarding;
  bool charged;            /**< counted against the account's rate limit */
  bool queued;             /**< in the target's queue */
  bool pending;            /**< counted in rt_server.pending */
  bool probe;              /**< it is the probe of an ejected server */
  bool registered_at_home; /**< the home expects RT_ACT_SLOT_DONE */
  bool queued_at_home;
  bool complete;
  bool attempt_failed; /**< the attempt or its connection failed */
  int status;
};

struct rt;

/** Choose a server of @p t for @p q; NULL if none has capacity.
    Replaceable so that benchmarks can compare policies. */
typedef struct rt_server *(*rt_choose_fn) (void *ctx, struct rt *r,
                                           struct rt_target *t,
                                           const struct rt_req *q);

struct rt
{
  char *zone;
  char *node;
  unsigned nodes; /**< gateways of the region */
  struct rng rng;
  clk_ms now;
  bool leaving;
  struct cfg *cfg;
  rt_choose_fn choose;
  void *choose_ctx;
  struct rt_account **accounts;
  size_t naccounts;
  struct rt_target **targets;
  size_t ntargets;
  struct rt_req **table; /**< hash table of the requests, by id */
  size_t table_size;
  size_t open_requests;
  struct rt_req **heap;
  size_t heap_n, heap_cap;
  struct rt_action *actions;
  size_t act_head, act_n, act_cap;
  struct rt_demand *demands;
  struct rt_server_stats *views;
  struct rt_slot *slots;
  struct avl *avail;
};

/* route.c */
struct rt_action *rt_push_action (struct rt *r, enum rt_action_kind kind,
                                  const struct rt_req *q);
struct rt_target *rt_target (struct rt *r, struct str name, bool is_model);
void rt_req_free (struct rt *r, struct rt_req *q);
void rt_set_timer (struct rt *r, struct rt_req *q, clk_ms at);
void rt_cancel_timer (struct rt *r, struct rt_req *q);

/* request.c */
void rt_on_arrive (struct rt *r, const struct rt_request *in);
void rt_on_attempt_event (struct rt *r, struct rt_req *q,
                          const struct rt_event *ev);
void rt_on_claim (struct rt *r, struct rt_req *q, enum clm_verdict verdict,
                  clk_ms retry_ms);
void rt_on_caller_gone (struct rt *r, struct rt_req *q);
void rt_on_poison (struct rt *r, struct rt_req *q, clk_ms retry_ms);
void rt_on_timer (struct rt *r, struct rt_req *q);
/** Assign @p q, which must not be queued, to @p s. */
void rt_dispatch (struct rt *r, struct rt_req *q, struct rt_server *s);
/** Assign queued requests to servers with free capacity. */
void rt_dispatch_queued (struct rt *r, struct rt_target *t);

/* Shared by admit.c, request.c and attempt.c. */
void rt_apply_chart_event (struct rt_req *q, enum rt_chart_event x);
void rt_detach_server (struct rt *r, struct rt_req *q);
void rt_refuse (struct rt *r, struct rt_req *q, enum rt_code code,
                clk_ms retry_ms);
void rt_give_up (struct rt *r, struct rt_req *q, enum rt_code code);
void rt_end_request (struct rt *r, struct rt_req *q);
/** End a request whose target has no server left because of announcements. */
void rt_fail_blocked (struct rt *r, struct rt_req *q);
bool rt_may_have_run (const struct rt_req *q);
clk_ms rt_clamp_retry (double ms);
void rt_enqueue (struct rt *r, struct rt_req *q, bool front);
clk_ms rt_queue_deadline (const struct rt_req *q);
bool rt_has_usable_server (const struct rt *r, const struct rt_target *t);
void rt_start_claim (struct rt *r, struct rt_req *q);
bool rt_grant_is_valid (const struct rt *r, const struct rt_req *q);
void rt_clear_pending (struct rt_req *q);
void rt_respond_error (struct rt *r, struct rt_req *q, enum rt_code code,
                       clk_ms retry_ms);
bool rt_has_server (const struct rt_req *q);
void rt_cancel_work (struct rt *r, struct rt_req *q);

/* slot.c */

/** Request a slot from the model's home.
    @retval false  no slot was requested */
bool rt_request_slot (struct rt *r, struct rt_req *q);
void rt_on_slot_reply (struct rt *r, struct rt_req *q,
                       const struct rt_event *ev);
void rt_on_slot_home (struct rt *r, struct str model, bool on);
/** The timer of a request in RT_S_ASKING expired. */
void rt_on_slot_timeout (struct rt *r, struct rt_req *q);
/** Report a server that was chosen without the home. */
void rt_slot_report_local (struct rt *r, struct rt_req *q);
/** Report that the request no longer needs its slot. */
void rt_slot_release (struct rt *r, struct rt_req *q);

/* queue.c */
void rt_queue_push (struct rt_queue *queue, struct rt_req *q, double weight,
                    bool front);
void rt_queue_remove (struct rt_queue *queue, struct rt_req *q);
/** The next request; it stays in the queue. */
struct rt_req *rt_queue_next (struct rt_queue *queue, clk_ms now);
/** Remove @p q, the result of rt_queue_next(), and charge its flow. */
void rt_queue_pop (struct rt_queue *queue, struct rt_req *q);
/** The request to drop first: lowest class, newest of the flow with the
    most tokens for its weight. */
struct rt_req *rt_queue_victim (const struct rt_queue *queue);
/** Tokens that fair queuing serves before a new request of this account
    and class. */
double rt_queue_tokens_ahead (const struct rt_queue *queue, unsigned priority,
                              const struct rt_account *a, double weight,
                              double cost);
void rt_queue_clear (struct rt_queue *queue);

/* limit.c */
struct rt_account *rt_account (struct rt *r, struct str name);
void rt_limit_config (struct rt *r);
void rt_limit_share (struct rt *r, const struct rt_event *ev);
double rt_limit_rate (const struct rt *r, const struct rt_account *a);
double rt_limit_conc (const struct rt *r, const struct rt_account *a);
/** RT_CODE_NONE if admitted; otherwise @p retry_ms is set. */
enum rt_code rt_limit_admit (struct rt *r, struct rt_account *a, double cost,
                             clk_ms *retry_ms);
/** Correct the bucket for a request that cost @p actual instead of @p cost. */
void rt_limit_correct (struct rt_account *a, double cost, double actual);

/* load.c */
void rt_server_set_reported_load (struct rt *r, struct rt_target *t,
                                  struct rt_server *s, uint32_t load,
                                  clk_ms at);
void rt_server_add_request (struct rt *r, struct rt_target *t,
                            struct rt_server *s, double cost);
void rt_server_remove_request (struct rt *r, struct rt_target *t,
                               struct rt_server *s, double cost);
/** Call after a change of in_flight or pending. */
void rt_update_candidate (struct rt_server *s);
const struct rt_view *rt_view (struct rt *r, struct rt_target *t);
/** Requests of this gateway on the servers of the view. */
double rt_own_requests (const struct rt_target *t);
/** Estimated requests of other gateways on the servers of the view; @p
    taken receives how many of them hold slots. */
double rt_estimate_others (const struct rt_target *t, double *taken);
/** Mean service time of a request, ms. */
double rt_service_ms (const struct rt_target *t);

/* avail.c */
/** Key of a server's shutdown, from its address and generation. */
uint64_t rt_leaving_key (const struct rt_server *s);
/** Whether the server has neither asked for a pause nor announced its
    shutdown. */
bool rt_avail_allows (const struct rt *r, const struct rt_server *s);
/** Whether announcements leave the target no usable server. */
bool rt_avail_blocks (const struct rt *r, const struct rt_target *t);
/** Code and retry delay for a request to a target that has no server. */
enum rt_code rt_avail_code (struct rt *r, const struct rt_target *t,
                            clk_ms *retry_ms);
/** A response to the current attempt of @p q carries a notice. */
void rt_avail_notice (struct rt *r, struct rt_req *q,
                      const struct rt_event *ev);
/** Same, for a response to a state probe. */
void rt_avail_notice_from (struct rt *r, const struct rt_event *ev);

/* choose.c */
/** Whether the server is listed for requests and valid. */
bool rt_is_offered (const struct rt *r, const struct rt_server *s);
/** Whether requests may be sent to the server now. */
bool rt_is_usable (const struct rt *r, const struct rt_server *s);
struct rt_server *rt_choose (void *ctx, struct rt *r, struct rt_target *t,
                             const struct rt_req *q);
bool rt_was_tried (const struct rt_req *q, const struct rt_server *s);

/* retry.c */
bool rt_retry_spend (struct rt *r, struct rt_target *t);
void rt_retry_credit (struct rt_target *t);
clk_ms rt_retry_backoff (struct rt *r, unsigned attempt);

/* outlier.c */
void rt_outlier_first_byte (struct rt *r, struct rt_target *t,
                            struct rt_server *s, clk_ms ms);
void rt_outlier_success (struct rt *r, struct rt_target *t,
                         struct rt_server *s);
void rt_outlier_failure (struct rt *r, struct rt_target *t,
                         struct rt_server *s);
/** Whether a probe request may be sent to the ejected server. */
bool rt_outlier_probe_due (const struct rt *r, const struct rt_server *s);
/** Whether a probe is due and the request is chosen for it. */
bool rt_outlier_may_probe (const struct rt *r, const struct rt_server *s,
                           const struct rt_req *q);

#endif
