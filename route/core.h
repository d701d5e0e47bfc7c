/**
 * @file
 * Inner structures of the request core; only route/ and its benches use them.
 *
 *   route.c    events in, actions out, views of targets and servers
 *   admit.c    whether a request comes in
 *   request.c  life cycle of one request by charts/attempt.json
 *   attempt.c  what becomes of one attempt; retries
 *   queue.c    what waits: priority classes, fair shares of accounts
 *   slot.c     asks for slots at a model's home
 *   slots.c    slots of a model's replicas at its home
 *   limit.c    rate and concurrency of an account at this node
 *   load.c     what is known of the servers' load
 *   choose.c   which server gets the next request
 *   retry.c    retry budget and backoff
 *   outlier.c  ejection of servers that do worse than their peers
 *   code.c     names and statuses of outcomes and codes
 */
#ifndef LAPISLINE_ROUTE_CORE_H
#define LAPISLINE_ROUTE_CORE_H

#include "base/chart.h"
#include "route/route.h"

#define RT_CLASSES 4
#define RT_TRIED 4        /**< servers that a request avoids */
#define RT_MAX_ATTEMPTS 4 /**< of one request */
#define RT_HISTORY 32     /**< samples of own load per server */
#define RT_HISTORY_MS 250 /**< apart */

/** States of charts/attempt.json, in the order of rt_state_names. */
enum rt_state
{
  RT_S_RECEIVED,
  RT_S_ADMITTED,
  RT_S_ASKING, /**< the model's home for a slot */
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
enum rt_step
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
  RT_STEPS
};

/** One client account at this node. */
struct rt_account
{
  char *name;
  uint64_t hash;
  double rate_limit; /**< tokens per second over all nodes; 0: none */
  double conc_limit; /**< requests over all nodes; 0: none */
  bool has_share;
  double share_rate;
  double share_conc;
  clk_ms share_until; /**< then the share decays to limit / N */
  double level;       /**< of the token bucket; below 0: in debt */
  clk_ms level_at;
  size_t open;
  double asked; /**< tokens since demand_at, refused ones too */
  size_t asked_peak;
  clk_ms demand_at;
};

/** Load of our own on a server, sampled so that a report can be corrected
    by what it already holds. */
struct rt_history
{
  float tokens[RT_HISTORY];
  clk_ms slot; /**< number of the newest sample */
};

#define RT_WARM 32   /**< prefixes */
#define RT_RECENT 16 /**< grants */

/** What a model's home knows of its own grants on a server. */
struct rt_warm
{
  uint64_t prefixes[RT_WARM]; /**< the last used first */
  clk_ms recent[RT_RECENT];   /**< times of the last grants, a ring */
  unsigned next;
};

/** One replica or one backend server of a plain service. */
struct rt_server
{
  char *name;
  struct str key; /**< its name */
  char *zone;
  uint64_t hash;
  struct net_addr addr;
  int64_t generation;
  bool same_zone;
  bool listed; /**< in the last list; else kept for work in flight only */
  bool fresh;  /**< named by the list that is being read */
  bool whole;
  bool draining;
  bool down;
  bool observe;
  clk_ms valid_until;
  double capacity; /**< requests at once */
  /* What is known of its load. */
  uint32_t in_flight;
  uint32_t pending; /**< of these, sent and without a first byte */
  double own_tokens;
  double others; /**< requests of other gateways at load_at */
  clk_ms load_at;
  struct rt_history history;
  struct rt_candidate *candidate; /**< its place in the target's view */
  /* Outlier detection. */
  uint64_t done, failed;
  unsigned bad_run; /**< failures in a row */
  double first_ms;  /**< moving average of the time to the first byte */
  unsigned first_n;
  clk_ms ejected_until; /**< 0: in */
  unsigned ejections;   /**< in a row, for the backoff */
  bool probing;         /**< ejected, with one request out */
  struct rt_warm *warm; /**< at a model's home only, else NULL */
};

#define RT_RETRY_MS 1000 /* to come back when nothing better is known */

struct rt_req;

/** Waiting requests of one account in one class. */
struct rt_flow
{
  struct rt_account *account;
  double weight;
  double deficit;
  double tokens;
  struct rt_req *head, *tail;
  struct rt_flow *next; /**< in the ring of flows that wait */
  bool active;
};

struct rt_class
{
  struct rt_flow **flows;
  size_t nflows;
  struct rt_flow *first, *last; /**< ring of flows that wait */
  struct rt_req *oldest, *newest;
};

struct rt_queue
{
  struct rt_class classes[RT_CLASSES];
  size_t n;
  double tokens;
  unsigned since_aged; /**< turns since an aged request had one */
};

/** What the choice needs of a server, close together: at 600 of them reading
    the servers themselves would cost more than deciding. */
struct rt_candidate
{
  struct rt_server *server;
  uint64_t hash;
  uint32_t in_flight;
  uint32_t score; /**< in flight, those without a first byte twice */
  float room;     /**< how many of ours it may have */
  float weight;   /**< among those with the same score */
};

/** Servers that may get work, computed now and then and after changes. */
struct rt_view
{
  struct rt_candidate *list;
  size_t n;
  size_t ejected;
  uint32_t outside; /**< own requests on servers that may get no more */
  bool current;
  clk_ms at;
  clk_ms valid_until; /**< of the first evidence that runs out */
  double capacity;    /**< requests */
  double others;      /**< requests of other gateways, as reported */
  double taken;       /**< of these, in slots rather than waiting there */
  double tokens_then; /**< of this gateway when the reports were made */
  double age;         /**< of the reports, summed, ms */
};

/** Model or plain service with its servers and its queue. */
struct rt_target
{
  char *name;
  uint64_t hash;
  bool is_model;
  struct rt_server **servers;
  size_t nservers;
  struct _GHashTable *by_name; /**< the same; key: rt_server.key */
  struct rt_queue queue;
  double mean_cost;    /**< moving average of the requests' cost */
  double mean_others;  /**< of servers' others, for stale reports */
  double ms_per_token; /**< moving average over whole answers */
  uint32_t in_flight;  /**< own requests on all its servers */
  double own_tokens;   /**< and their tokens */
  struct rt_view view;
  clk_ms measured_at; /**< when ms_per_token last changed */
  double median_ms;   /**< over servers, of the time to the first byte */
  clk_ms median_at;
  bool has_home;     /**< its home can be asked for slots */
  unsigned mute;     /**< asks without a word in time, in a row */
  clk_ms mute_until; /**< the home is not asked */
  double retry_budget;
  clk_ms retry_at;
};

struct rt_req
{
  uint64_t id;
  struct rt_req *chain;         /**< in the table */
  struct rt_req *prev, *next;   /**< within its flow */
  struct rt_req *older, *newer; /**< within its class */
  struct rt_flow *flow;
  struct rt_target *target;
  struct rt_account *account;
  struct rt_server *server; /**< of the current attempt */
  struct cfg *cfg;          /**< under which it began */
  const struct cfg_model *model;
  const struct cfg_service *service;
  double cost;
  uint64_t prefix;
  clk_ms arrived;
  clk_ms queued_at;
  clk_ms deadline; /**< 0: none */
  clk_ms started;  /**< RT_ACT_SEND of the current attempt */
  clk_ms granted;  /**< the claim */
  clk_ms first_ms; /**< to the first byte of the current attempt */
  clk_ms timer;
  size_t timer_at; /**< place in the heap */
  size_t passed;   /**< bytes handed to the caller */
  uint64_t tried[RT_TRIED];
  unsigned attempt;
  enum rt_state state;
  uint8_t priority;
  uint8_t ntried;
  bool idempotent;
  bool has_key;
  bool claimed; /**< asked for, perhaps granted */
  bool sent;    /**< some attempt got RT_ACT_SEND */
  bool passing;
  bool charged; /**< to the rate of its account */
  bool waiting; /**< in the queue */
  bool pending; /**< counted in its server's pending */
  bool probe;   /**< of an ejected server */
  bool slot;    /**< the home knows of it */
  bool heard;   /**< it waits at the home */
  bool whole;   /**< the answer is */
  bool lost;    /**< the attempt was, or its connection */
  int status;
};

struct rt;

/** Which of the target's servers gets the request; NULL: none has room.
    Replaceable, so that the bench can measure others with the same core. */
typedef struct rt_server *(*rt_choose_fn) (void *ctx, struct rt *r,
                                           struct rt_target *t,
                                           const struct rt_req *q);

struct rt
{
  char *zone;
  char *node;
  unsigned nodes;
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
  struct rt_req **table;
  size_t table_size;
  size_t open;
  struct rt_req **heap;
  size_t heap_n, heap_cap;
  struct rt_action *actions;
  size_t act_head, act_n, act_cap;
  struct rt_demand *demands;
  struct rt_target_view *views;
  struct rt_slot *slots;
};

/* route.c */
struct rt_action *rt_act (struct rt *r, enum rt_action_kind kind,
                          const struct rt_req *q);
struct rt_target *rt_target (struct rt *r, struct str name, bool is_model);
void rt_req_free (struct rt *r, struct rt_req *q);
void rt_timer (struct rt *r, struct rt_req *q, clk_ms at);
void rt_untimer (struct rt *r, struct rt_req *q);

/* request.c */
void rt_arrive (struct rt *r, const struct rt_request *in);
void rt_attempt_event (struct rt *r, struct rt_req *q,
                       const struct rt_event *ev);
void rt_claimed (struct rt *r, struct rt_req *q, enum clm_verdict verdict,
                 clk_ms retry_ms);
void rt_caller_gone (struct rt *r, struct rt_req *q);
void rt_req_timer (struct rt *r, struct rt_req *q);
/** Send @p q, which waits nowhere, to @p s. */
void rt_dispatch (struct rt *r, struct rt_req *q, struct rt_server *s);
/** Hand waiting requests to servers that have room. */
void rt_pump (struct rt *r, struct rt_target *t);

/* Between admit.c, request.c and attempt.c. */
void rt_step (struct rt_req *q, enum rt_step x);
void rt_leave_server (struct rt *r, struct rt_req *q);
void rt_refuse (struct rt *r, struct rt_req *q, enum rt_code code,
                clk_ms retry_ms);
void rt_give_up (struct rt *r, struct rt_req *q, enum rt_code code);
void rt_forget (struct rt *r, struct rt_req *q);
bool rt_may_have_run (const struct rt_req *q);
clk_ms rt_clamp_retry (double ms);
void rt_enqueue (struct rt *r, struct rt_req *q, bool front);
clk_ms rt_queue_until (const struct rt_req *q);
bool rt_any_usable (const struct rt *r, const struct rt_target *t);
void rt_start_claim (struct rt *r, struct rt_req *q);
bool rt_grant_fresh (const struct rt *r, const struct rt_req *q);
void rt_settle_pending (struct rt_req *q);
void rt_answer (struct rt *r, struct rt_req *q, enum rt_code code,
                clk_ms retry_ms);
bool rt_in_attempt (const struct rt_req *q);
void rt_abandon (struct rt *r, struct rt_req *q);

/* slot.c */

/** Ask the home for a slot. @retval false  there is none to ask */
bool rt_slot_ask (struct rt *r, struct rt_req *q);
void rt_slot_event (struct rt *r, struct rt_req *q, const struct rt_event *ev);
void rt_slot_home (struct rt *r, struct str model, bool on);
/** The time of a request that asks is over. */
void rt_slot_timer (struct rt *r, struct rt_req *q);
/** The request got a server without the home's doing. */
void rt_slot_taken (struct rt *r, struct rt_req *q);
/** The request no longer needs a slot. */
void rt_slot_done (struct rt *r, struct rt_req *q);

/* queue.c */
void rt_queue_push (struct rt_queue *w, struct rt_req *q, double weight,
                    bool front);
void rt_queue_remove (struct rt_queue *w, struct rt_req *q);
/** The request whose turn it is; it stays in the queue. */
struct rt_req *rt_queue_turn (struct rt_queue *w, clk_ms now);
/** Count the turn of @p q and take it out. */
void rt_queue_take (struct rt_queue *w, struct rt_req *q);
/** The least important waiting request. */
struct rt_req *rt_queue_victim (const struct rt_queue *w);
/** Tokens that go before a request of that account and class, as far as
    fair shares let others go first. */
double rt_queue_ahead (const struct rt_queue *w, unsigned priority,
                       const struct rt_account *a, double weight, double cost);
void rt_queue_clear (struct rt_queue *w);

/* limit.c */
struct rt_account *rt_account (struct rt *r, struct str name);
void rt_limit_config (struct rt *r);
void rt_limit_share (struct rt *r, const struct rt_event *ev);
double rt_limit_rate (const struct rt *r, const struct rt_account *a);
double rt_limit_conc (const struct rt *r, const struct rt_account *a);
/** RT_CODE_NONE when the request may come in; else @p retry_ms is set. */
enum rt_code rt_limit_admit (struct rt *r, struct rt_account *a, double cost,
                             clk_ms *retry_ms);
/** The request turned out to cost @p actual instead of @p cost. */
void rt_limit_settle (struct rt_account *a, double cost, double actual);

/* load.c */
void rt_server_load (struct rt *r, struct rt_target *t, struct rt_server *s,
                     uint32_t load, clk_ms at);
void rt_server_take (struct rt *r, struct rt_target *t, struct rt_server *s,
                     double cost);
void rt_server_drop (struct rt *r, struct rt_target *t, struct rt_server *s,
                     double cost);
/** The server's in_flight or pending changed. */
void rt_server_changed (struct rt_server *s);
const struct rt_view *rt_view (struct rt *r, struct rt_target *t);
/** Own requests on all servers of the view. */
double rt_own_in_view (const struct rt_target *t);
/** Requests of other gateways on all servers of the view, estimated; @p taken
    receives how many of them have slots. */
double rt_others_by_now (const struct rt_target *t, double *taken);
/** Mean time of a request on a server. */
double rt_service_ms (const struct rt_target *t);

/* choose.c */
bool rt_usable (const struct rt *r, const struct rt_server *s);
struct rt_server *rt_choose (void *ctx, struct rt *r, struct rt_target *t,
                             const struct rt_req *q);
bool rt_tried (const struct rt_req *q, const struct rt_server *s);

/* retry.c */
bool rt_retry_spend (struct rt *r, struct rt_target *t);
void rt_retry_earn (struct rt_target *t);
clk_ms rt_retry_backoff (struct rt *r, unsigned attempt);

/* outlier.c */
void rt_outlier_first (struct rt *r, struct rt_target *t, struct rt_server *s,
                       clk_ms ms);
void rt_outlier_good (struct rt *r, struct rt_target *t, struct rt_server *s);
void rt_outlier_bad (struct rt *r, struct rt_target *t, struct rt_server *s);
/** Whether a request may go to the ejected server to see how it does now. */
bool rt_outlier_probe_due (const struct rt *r, const struct rt_server *s);

#endif
