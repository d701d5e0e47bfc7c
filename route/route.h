/**
 * @file
 * Request core of a gateway: admission, queues, limits, choice of server,
 * attempts, retries and outcomes (chart "attempt").
 *
 * The core does no I/O: the caller in front/ passes events with the current
 * time and executes the returned actions. A request is identified by the
 * number that the caller assigned, an attempt by (request, attempt number).
 * Events of an attempt that has ended are ignored, so a late response never
 * reaches a client.
 *
 * Outcomes: `not-run` is reported only if no attempt got RT_ACT_SEND, or if
 * every attempt that was sent ended with a status that the configuration lists
 * in `not_run_status`.
 */
#ifndef LAPISLINE_ROUTE_ROUTE_H
#define LAPISLINE_ROUTE_ROUTE_H

#include "back/avail.h"
#include "base/rng.h"
#include "claim/claim.h"
#include "config/config.h"

enum rt_outcome
{
  RT_DONE,
  RT_NOT_RUN,
  RT_FAILED,
  RT_UNKNOWN
};

/** Stable codes of error responses, see rt_code_name(). */
enum rt_code
{
  RT_CODE_NONE,
  RT_CODE_NO_TARGET,       /**< 404: unknown model or service */
  RT_CODE_FORBIDDEN,       /**< 403 */
  RT_CODE_NOT_ROUTED,      /**< 503: mode observe */
  RT_CODE_RATE,            /**< 429: rate limit of the account */
  RT_CODE_CONCURRENCY,     /**< 429: concurrency limit of the account */
  RT_CODE_QUEUE_FULL,      /**< 503 */
  RT_CODE_DEADLINE,        /**< 504: deadline exceeded or not achievable */
  RT_CODE_NO_REPLICA,      /**< 503: no server is usable */
  RT_CODE_LEAVING,         /**< 503: this node is shutting down */
  RT_CODE_CONNECT,         /**< 503: no backend server could be reached */
  RT_CODE_BROKEN,          /**< 502: the response was truncated */
  RT_CODE_SILENT,          /**< 504: the attempt timed out without progress */
  RT_CODE_STORE,           /**< 503: claims can't be recorded */
  RT_CODE_CLAIM_RUNNING,   /**< 409: a request with the same key is running */
  RT_CODE_CLAIM_UNKNOWN,   /**< 409: key was used, outcome not known */
  RT_CODE_CLAIM_MISMATCH,  /**< 422: the same key with a different request */
  RT_CODE_BACKEND_REFUSED, /**< 503: refused without execution */
  RT_CODE_CALLER_GONE,     /**< the client disconnected */
  RT_CODE_PAUSED, /**< 503: all servers have asked this node for a pause */
  RT_CODE_POISON  /**< 503: backend servers crash when they run the request */
};

/** A request on arrival. */
struct rt_request
{
  uint64_t id;
  struct str account;
  struct str target; /**< model or service */
  bool is_model;
  bool idempotent;
  bool has_key; /**< claim_key and fingerprint are set */
  uint8_t claim_key[16];
  uint8_t fingerprint[16];
  uint8_t attempt_id[16]; /**< random; identifies this request at this node */
  unsigned priority;      /**< 0 is the highest; limited by the account's */
  clk_ms deadline;        /**< absolute, or 0 */
  double cost;            /**< estimated tokens */
  uint64_t prefix;        /**< hash of the prompt's prefix, 0: none */
};

/** Candidate replica of a model, from the replica list. */
struct rt_replica
{
  struct str name;
  struct str model;
  struct str zone;
  struct net_addr addr; /**< of the replica's leader */
  int64_t generation;
  bool whole;
  bool draining;
  clk_ms valid_until; /**< end of validity of `whole` */
  uint32_t load;      /**< tokens in flight as last reported */
  clk_ms load_at;
};

/** Reply of a model's home gateway to a slot request, see route/slots.h. */
enum rt_slot_reply
{
  RT_SLOT_GRANTED, /**< name: the replica */
  RT_SLOT_QUEUED,
  RT_SLOT_REFUSED, /**< code, retry_ms */
  RT_SLOT_REPLIES
};

enum rt_event_kind
{
  RT_EV_TICK,
  RT_EV_CONFIG,       /**< cfg; requests in flight keep their configuration */
  RT_EV_REPLICAS,     /**< replicas, n: the complete list */
  RT_EV_BACKEND_DOWN, /**< name, on: by a health check or the platform
                       */
  RT_EV_SHARE,        /**< account, tokens_per_s, concurrency, valid_ms */
  RT_EV_LEAVING,      /**< on */
  RT_EV_ARRIVE,       /**< request */
  RT_EV_CLAIM,        /**< id, verdict, retry_ms */
  RT_EV_CONNECTED,    /**< id, attempt */
  RT_EV_CONNECT_FAILED, /**< id, attempt */
  RT_EV_HEAD,           /**< id, attempt, status */
  RT_EV_BODY,           /**< id, attempt, size: more bytes of the body */
  RT_EV_WHOLE,          /**< id, attempt, tokens */
  RT_EV_BROKEN,         /**< id, attempt, suspect */
  RT_EV_SILENT,         /**< id, attempt */
  RT_EV_CALLER_GONE,    /**< id */
  RT_EV_NODES,          /**< size: number of gateways in the region */
  RT_EV_SLOT,      /**< id, slot, name, code, retry_ms: reply of the home */
  RT_EV_SLOT_HOME, /**< name, on: whether the model's home is reachable */
  RT_EV_NOTICE,    /**< what a response says of its server: on: it shuts down;
                        retry_ms: pause that it asks for.  Of the response to
                        id, attempt (before its RT_EV_HEAD), or with id 0 of
                        the server at the address `name` */
  RT_EV_POISON     /**< id, retry_ms: the request may crash servers; ends it
                        unless a response has begun */
};

struct rt_event
{
  enum rt_event_kind kind;
  uint64_t id;
  unsigned attempt;
  const struct rt_request *request;
  struct cfg *cfg;
  const struct rt_replica *replicas;
  size_t n;
  struct str name;
  bool on;
  bool suspect; /**< the request may crash servers and is not tried again */
  double tokens_per_s;
  double concurrency;
  clk_ms valid_ms;
  enum clm_verdict verdict;
  clk_ms retry_ms;
  int status;
  size_t size;
  double tokens;
  enum rt_slot_reply slot;
  enum rt_code code;
};

enum rt_action_kind
{
  RT_ACT_CLAIM,   /**< id: request the claim */
  RT_ACT_RELEASE, /**< id: the claim was not used */
  RT_ACT_FINISH,  /**< id, http_status: store the response with the claim;
                     status 0: no response, outcome not known */
  RT_ACT_CONNECT, /**< id, attempt, addr, name, fresh, timeouts */
  RT_ACT_SEND, /**< id, attempt: reply to RT_EV_CONNECTED: send the request */
  RT_ACT_CANCEL, /**< id, attempt: close the attempt's connection */
  RT_ACT_PASS,   /**< id, attempt: forward the body, also what is buffered
                  */
  RT_ACT_ANSWER, /**< id, http_status, code, outcome, retry_ms: final error
                    response generated by the gateway */
  RT_ACT_REPLAY, /**< id: replay the response stored with the claim; its
                    outcome follows from its status */
  RT_ACT_END,    /**< id, outcome: the forwarded response is complete */
  RT_ACT_CUT, /**< id, code, outcome: abort the forwarded response so that the
                 client can detect the truncation */
  RT_ACT_FORGET,     /**< id: no further action follows */
  RT_ACT_SLOT_ASK,   /**< id, slot: request a slot from the model's home */
  RT_ACT_SLOT_TAKEN, /**< id, slot, name: report a local choice */
  RT_ACT_SLOT_DONE   /**< id, slot, first_ms: the slot is no longer needed */
};

/** Properties of a request that its home needs. */
struct rt_slot_ask
{
  struct str model;
  struct str account;
  unsigned priority;
  clk_ms deadline; /**< absolute, or 0 */
  double cost;
  uint64_t prefix;
  bool idempotent;
  clk_ms first_ms; /**< time to the first byte; 0: not complete */
  bool failed;     /**< the attempt failed to connect, broke or timed out */
};

struct rt_action
{
  enum rt_action_kind kind;
  uint64_t id;
  unsigned attempt;
  struct net_addr addr;
  struct str name;    /**< replica or backend server */
  int64_t generation; /**< of the replica; 0: none */
  bool fresh;
  bool resume; /**< continue a stream at `offset` bytes */
  size_t offset;
  clk_ms connect_ms;
  clk_ms first_byte_ms;
  clk_ms progress_ms;
  int http_status;
  enum rt_code code;
  enum rt_outcome outcome;
  clk_ms retry_ms;
  struct rt_slot_ask slot;
};

struct rt;

struct rt_options
{
  struct str zone; /**< availability zone of this gateway */
  struct str node;
  unsigned nodes; /**< number of gateways in the region */
};

struct rt *rt_new (const struct rt_options *opt, uint64_t seed);
void rt_free (struct rt *r);
void rt_event (struct rt *r, clk_ms now, const struct rt_event *ev);
/** Take the next action from the queue; false if there is none. */
bool rt_next (struct rt *r, struct rt_action *out);

/** Whether the server at @p addr has asked this node for a pause. */
bool rt_is_paused (const struct rt *r, clk_ms now,
                   const struct net_addr *addr);
struct avl_stats rt_avail_stats (const struct rt *r);

size_t rt_open_requests (const struct rt *r);

/** Time of the next RT_EV_TICK that the core needs. */
clk_ms rt_wake (const struct rt *r);

/** Demand of an account since the last call, used to divide its limits. */
struct rt_demand
{
  struct str account;
  double tokens_per_s;
  double concurrency;
};
const struct rt_demand *rt_demands (struct rt *r, clk_ms now, size_t *n);

/** A slot that this gateway holds. */
struct rt_slot
{
  uint64_t id;
  struct str replica;
  double cost; /**< tokens */
};

const struct rt_slot *rt_held_slots (struct rt *r, struct str model,
                                     size_t *n);

const char *rt_outcome_name (enum rt_outcome o); /**< "not-run" and so on */
const char *rt_code_name (enum rt_code c);       /**< "queue-full" and so on */
int rt_code_status (enum rt_code c);

/** Outcome of a complete response with this HTTP status. */
enum rt_outcome rt_status_outcome (int http_status);

/** Statistics of a replica or backend server at this gateway. */
struct rt_server_stats
{
  struct str name;
  uint32_t in_flight;
  uint64_t done, failed; /**< attempts */
  bool ejected;
};
const struct rt_server_stats *rt_get_server_stats (struct rt *r, size_t *n);

#endif
