/**
 * @file
 * The request core of a gateway: admission, queues, limits, choice of
 * replica, attempts, retries, outcomes (decision core, chart "attempt").
 *
 * Events and time go in, actions come out; the shell in front/ does the I/O.
 * A request is known by the number that the shell gave it, an attempt by
 * (request, attempt number); an event of an attempt that is over is ignored,
 * so a late answer never reaches a caller.
 *
 * Outcomes: `not-run` is only ever given before RT_ACT_SEND of any attempt,
 * or when every attempt that was sent ended with a refusal that the
 * configuration lists as "did not run".
 */
#ifndef LAPISLINE_ROUTE_ROUTE_H
#define LAPISLINE_ROUTE_ROUTE_H

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

/** Stable codes of error answers, see rt_code_name(). */
enum rt_code
{
  RT_CODE_NONE,
  RT_CODE_NO_TARGET,       /**< 404: no such model or service */
  RT_CODE_FORBIDDEN,       /**< 403 */
  RT_CODE_NOT_ROUTED,      /**< 503: mode observe */
  RT_CODE_RATE,            /**< 429: the account's rate */
  RT_CODE_CONCURRENCY,     /**< 429: the account's concurrency */
  RT_CODE_QUEUE_FULL,      /**< 503 */
  RT_CODE_DEADLINE,        /**< 504: would finish too late, or did */
  RT_CODE_NO_REPLICA,      /**< 503: none is whole */
  RT_CODE_LEAVING,         /**< 503: this node is going away */
  RT_CODE_CONNECT,         /**< 503: no backend server could be reached */
  RT_CODE_BROKEN,          /**< 502: the answer was cut */
  RT_CODE_SILENT,          /**< 504: no progress */
  RT_CODE_STORE,           /**< 503: claims can't be recorded now */
  RT_CODE_CLAIM_RUNNING,   /**< 409: the same key is running */
  RT_CODE_CLAIM_UNKNOWN,   /**< 409: the same key was used; its end is not
                                known */
  RT_CODE_CLAIM_MISMATCH,  /**< 422: same key, another request */
  RT_CODE_BACKEND_REFUSED, /**< 503: refused without running */
  RT_CODE_GONE             /**< the caller left */
};

/** One request as it arrives. */
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
  uint8_t attempt_id[16]; /**< random, of this request at this node */
  unsigned priority;      /**< not better than the account's */
  clk_ms deadline;        /**< absolute, or 0 */
  double cost;            /**< estimated tokens */
  uint64_t prefix;        /**< hash of the prompt's head, 0: none */
};

/** Candidate replica of a model, as the view tells. */
struct rt_replica
{
  struct str name;
  struct str model;
  struct str zone;
  struct net_addr addr; /**< of its leader */
  int64_t generation;
  bool whole;
  bool draining;
  clk_ms valid_until; /**< of the evidence that it is whole */
  uint32_t load;      /**< tokens in flight as last reported */
  clk_ms load_at;
};

/** What the home of a model's slots says, see route/slots.h. */
enum rt_slot_word
{
  RT_SLOT_GRANTED, /**< name: the replica */
  RT_SLOT_QUEUED,
  RT_SLOT_REFUSED, /**< code, retry_ms */
  RT_SLOT_WORDS
};

enum rt_event_kind
{
  RT_EV_TICK,
  RT_EV_CONFIG,         /**< cfg; work in flight keeps the one it has */
  RT_EV_REPLICAS,       /**< replicas, n: the whole list */
  RT_EV_BACKEND_DOWN,   /**< name: a probe or the platform says so; on */
  RT_EV_SHARE,          /**< account, tokens_per_s, concurrency, valid_ms */
  RT_EV_LEAVING,        /**< on */
  RT_EV_ARRIVE,         /**< request */
  RT_EV_CLAIM,          /**< id, verdict, retry_ms */
  RT_EV_CONNECTED,      /**< id, attempt */
  RT_EV_CONNECT_FAILED, /**< id, attempt */
  RT_EV_HEAD,           /**< id, attempt, status */
  RT_EV_BODY,           /**< id, attempt, size: first and further bytes */
  RT_EV_WHOLE,          /**< id, attempt, tokens */
  RT_EV_BROKEN,         /**< id, attempt */
  RT_EV_SILENT,         /**< id, attempt */
  RT_EV_CALLER_GONE,    /**< id */
  RT_EV_NODES,          /**< size: gateways of the region, for limit / N */
  RT_EV_SLOT,     /**< id, slot, name, code, retry_ms: word of the home */
  RT_EV_SLOT_HOME /**< name: the model's home can be asked; on */
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
  double tokens_per_s;
  double concurrency;
  clk_ms valid_ms;
  enum clm_verdict verdict;
  clk_ms retry_ms;
  int status;
  size_t size;
  double tokens;
  enum rt_slot_word slot;
  enum rt_code code;
};

enum rt_action_kind
{
  RT_ACT_CLAIM,    /**< id: ask for the claim */
  RT_ACT_RELEASE,  /**< id: the claim was not used */
  RT_ACT_FINISH,   /**< id, http_status: keep the whole answer with the claim;
                        status 0: there is none, the end is not known */
  RT_ACT_CONNECT,  /**< id, attempt, addr, name, fresh, timeouts */
  RT_ACT_SEND,     /**< id, attempt: answer to RT_EV_CONNECTED: go on */
  RT_ACT_CANCEL,   /**< id, attempt: close its connection */
  RT_ACT_PASS,     /**< id, attempt: hand head and bytes to the caller from
                        now on (until then they are held by the shell) */
  RT_ACT_ANSWER,   /**< id, http_status, code, outcome, retry_ms: an error
                        answer of our own, final */
  RT_ACT_REPLAY,   /**< id: answer with the kept answer of the claim, whose
                        outcome is that of its status */
  RT_ACT_END,      /**< id, outcome: the passed answer is whole */
  RT_ACT_CUT,      /**< id, code, outcome: end the passed answer visibly cut */
  RT_ACT_FORGET,   /**< id: nothing more will come */
  RT_ACT_SLOT_ASK, /**< id, slot: ask the model's home */
  RT_ACT_SLOT_TAKEN, /**< id, slot, name: tell it of a choice of our own */
  RT_ACT_SLOT_DONE   /**< id, slot, first_ms: no longer needed */
};

/** What a home needs to know of a request. */
struct rt_slot_ask
{
  struct str model;
  struct str account;
  unsigned priority;
  clk_ms deadline; /**< absolute, or 0 */
  double cost;
  uint64_t prefix;
  bool idempotent;
  clk_ms first_ms; /**< of a whole answer; 0: not known */
  bool failed;     /**< no connection, broken or silent */
};

struct rt_action
{
  enum rt_action_kind kind;
  uint64_t id;
  unsigned attempt;
  struct net_addr addr;
  struct str name; /**< replica or backend server */
  bool fresh;
  bool resume; /**< continue a stream from `offset` bytes */
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
  struct str zone; /**< own zone */
  struct str node;
  unsigned nodes; /**< gateways of the region, for limit / N */
};

struct rt *rt_new (const struct rt_options *opt, uint64_t seed);
void rt_free (struct rt *r);
void rt_event (struct rt *r, clk_ms now, const struct rt_event *ev);
bool rt_next (struct rt *r, struct rt_action *out);

/** Requests that have not ended. */
size_t rt_open (const struct rt *r);

/** Earliest time at which a tick may change something. */
clk_ms rt_wake (const struct rt *r);

/** Demand of an account in the last second, for the shares. */
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

/** Requests of a model that have a replica. */
const struct rt_slot *rt_slots (struct rt *r, struct str model, size_t *n);

const char *rt_outcome_name (enum rt_outcome o); /**< "not-run" and so on */
const char *rt_code_name (enum rt_code c);       /**< "queue-full" and so on */
int rt_code_status (enum rt_code c);

/** Outcome of a whole answer with this HTTP status. */
enum rt_outcome rt_status_outcome (int http_status);

/** Own knowledge per replica or backend server, for reports. */
struct rt_target_view
{
  struct str name;
  uint32_t in_flight;
  uint64_t done, failed;
  bool ejected;
};
const struct rt_target_view *rt_targets (struct rt *r, size_t *n);

#endif
