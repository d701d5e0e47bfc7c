/**
 * @file
 * Request dispatcher of a serving node (decision core, states in
 * charts/forward.json):
 * chooses the backend server for each request and the time to send it, decides
 * on retries, and determines the outcome.
 *
 * The caller passes events and the current time to the functions below and
 * takes the resulting actions from dsp_next_action(); serve/ingress.c and
 * serve/exchange.c do the I/O. An attempt is identified by (request id,
 * attempt number). Events of an attempt that has ended are ignored, so a late
 * response never reaches the client.
 *
 * A request is reported as not executed only if no attempt was sent, or if the
 * backend server reported for each attempt sent that it did not execute it.
 */
#ifndef LAPISLINE_SERVE_DISPATCH_H
#define LAPISLINE_SERVE_DISPATCH_H

#include "base/rng.h"
#include "net/addr.h"
#include "back/avail.h"
#include "serve/evacuation.h"
#include "serve/limit.h"
#include "serve/poison.h"
#include "serve/table.h"

/** Reason for an error response that this node generates. */
enum dsp_code
{
  DSP_NONE,
  DSP_NO_SERVER,     /**< 503: no usable endpoint is known */
  DSP_OVERLOAD,      /**< 503: no endpoint had a free slot in time */
  DSP_RATE_LIMITED,  /**< 503: all servers have set rate limits, and the limits
                          are used up */
  DSP_PAUSED,        /**< 503: all servers have asked this node for a pause */
  DSP_REFUSED,       /**< 503: every backend server tried reported that it did
                          not execute the request */
  DSP_NO_CONNECTION, /**< 503: no connection to any backend server */
  DSP_SHUTTING_DOWN, /**< 503: this node is shutting down */
  DSP_POISON,        /**< 503: backend servers crash when they execute it */
  DSP_INTERRUPTED,   /**< 502: may have been executed; the response was
                          interrupted */
  DSP_DEADLINE /**< 504: may have been executed; its deadline has passed */
};

/** Why this node ended an attempt that was still open. */
enum dsp_cancel_reason
{
  DSP_CANCEL_FAILED,   /**< its response, or the lack of one, was a failure */
  DSP_CANCEL_DEADLINE, /**< the request's deadline has passed */
  DSP_CANCEL_POISON,   /**< the request crashes servers */
  DSP_CANCEL_NOT_SENT, /**< sending is no longer allowed */
  DSP_CANCEL_CLIENT_GONE,   /**< the client has disconnected */
  DSP_CANCEL_OTHER_ANSWERED /**< another attempt of the request has had an
                                 event or a final answer */
};

/** Why a request got no further attempt. */
enum dsp_no_retry
{
  DSP_RETRY_NOT_TRIED,   /**< it ended for another reason */
  DSP_RETRY_ALLOWED,     /**< it got one, and no endpoint in time */
  DSP_RETRY_UNSAFE,      /**< it must be executed at most once */
  DSP_RETRY_POISON,      /**< it may crash servers */
  DSP_RETRY_ATTEMPTS,    /**< the attempts of its route are used up */
  DSP_RETRY_DEADLINE,    /**< its deadline has passed */
  DSP_RETRY_NO_ENDPOINT, /**< there is no other usable endpoint */
  DSP_RETRY_BUDGET       /**< the retry budget of the service is used up */
};

struct dsp_request
{
  uint64_t id;
  const struct tbl_route *route; /**< belongs to @p config */
  struct tbl *config;            /**< the function takes a reference */
  const struct tbl_service *service;
  struct str model;     /**< empty: the service has no models */
  unsigned priority;    /**< 0 is the highest */
  clk_ms deadline;      /**< absolute: the client's or the route's, whichever
                             is earlier */
  clk_ms waited_ms;     /**< time the client spent waiting for earlier tries of
                             this request */
  double prompt_tokens; /**< prompt length in tokens; 0: unknown */
  double max_output_tokens; /**< limit on generated tokens; 0: unknown */
  uint64_t digest; /**< equal for identical requests of the same client */
  /** ids of the parts of its prompt that other requests may have; copied */
  const uint64_t *parts;
  size_t nparts;
  bool proxied; /**< another node sent it, because it reaches no backend
                     server: one attempt, outside the retry budget */
};

/** A destination for requests: a backend server of a plain service, or the
    leader of a replica of a model. */
struct dsp_endpoint
{
  struct str server;  /**< id of the backend server */
  int64_t start_time; /**< start time of its process; 0: not reported */
  int64_t generation; /**< of the replica that the server leads; 0: none */
  struct str service;
  struct str model;
  struct str zone;
  struct net_addr addr;
  unsigned capacity;
  double prefill_per_ms; /**< prompt tokens processed per ms; 0: unknown */
  bool accepting;        /**< false: requests in flight continue, but no new
                              ones are sent */
  bool evacuated;        /**< the server, or a member of its replica, is in an
                              evacuated zone */
};

/** Load that one node has at one endpoint, as exchanged between nodes. */
struct dsp_endpoint_load
{
  uint64_t endpoint;  /**< dsp_endpoint_hash() */
  uint32_t in_flight; /**< requests assigned to the endpoint and not
                           finished */
  uint32_t streaming; /**< those of them that are streams and have received an
                           event */
  uint32_t pending_prefill; /**< prompt tokens not yet processed, except those
                                 of announced prompts */
  clk_ms last_event_at; /**< time of the last event of any of these streams, by
                             the receiving node's clock */
  bool stalled;         /**< the reporting node has detected a stall */
  bool process_ended;   /**< the reporting node has found that the server's
                             process has ended */
};

/** Announces a long prompt that a node has just sent to an endpoint. */
struct dsp_prompt_notice
{
  uint64_t endpoint; /**< dsp_endpoint_hash() */
  uint32_t tokens;
};

/** Hash that identifies an endpoint in messages between nodes. */
uint64_t dsp_endpoint_hash (struct str server, int64_t start_time,
                            int64_t generation);

/** Classification of a response by its head. */
enum dsp_response_head
{
  DSP_RESPONSE_OK,    /**< 2xx */
  DSP_RESPONSE_FINAL, /**< another status that a retry would not change */
  DSP_RESPONSE_ERROR, /**< executed and failed; a retry may succeed */
  DSP_RESPONSE_NOT_EXECUTED /**< the backend server reports that it did not
                                 execute the request */
};

enum dsp_action_kind
{
  DSP_ACT_SEND,   /**< id, attempt, server, addr, duration: connect and send */
  DSP_ACT_CANCEL, /**< id, attempt: close its connection */
  DSP_ACT_FORWARD,  /**< id, attempt: forward events to the client as they
                         arrive */
  DSP_ACT_COMPLETE, /**< id, attempt: the response is complete; deliver the
                         rest */
  DSP_ACT_RESPOND_ERROR, /**< id, code, retry delay: send an error response
                              generated by this node */
  DSP_ACT_TRUNCATE,      /**< id, code: abort the partly forwarded response so
                              that the client can detect it */
  DSP_ACT_RELEASE, /**< id: free the request's resources; no further action
                        names it */
  DSP_ACT_STALLED, /**< server, duration: log that the endpoint has sent
                        nothing for that time; other actions move its
                        requests */
  DSP_ACT_CHECK_PROCESS /**< server, addr, endpoint: responses were interrupted
                             there; find out whether the process has ended,
                             then call dsp_process_checked(), and do the same
                             with `other` at the same time */
};

/** State of a backend server's process. */
enum dsp_liveness
{
  DSP_UNREACHABLE, /**< no connection could be made */
  DSP_ALIVE,
  DSP_ENDED,       /**< another server responded at its address */
  DSP_CONN_REFUSED /**< the connection was refused or reset: the process has
                   ended, unless no server can be reached from this node */
};

/** Whether this node reaches the backend servers of a service. */
enum dsp_path_state
{
  DSP_PATH_OK,
  DSP_PATH_NO_CONNECTIONS, /**< new connections fail, open ones work */
  DSP_PATH_LOST            /**< no server answers */
};

/** Maximum number of proxies. */
#define DSP_PROXIES_MAX 64
/** Maximum number of services that a node reports as unreachable. */
#define DSP_UNREACHABLE_MAX 8

/** Another node that may send requests on to backend servers. */
struct dsp_proxy
{
  struct net_addr front; /**< its address for clients */
  /** hashes of the names of services whose servers it doesn't reach */
  uint64_t unreachable[DSP_UNREACHABLE_MAX];
  size_t nunreachable;
};

struct dsp_path_change
{
  struct str service;
  enum dsp_path_state state;
};

/** A server to be checked. */
struct dsp_check_target
{
  struct net_addr addr;
  struct str server; /**< empty: none; valid until the next event */
  uint64_t endpoint; /**< dsp_endpoint_hash() */
  uint64_t process;  /**< the same without a generation */
};

/** Evidence of a stall: streams at an endpoint that receive nothing. */
struct dsp_silence
{
  unsigned own_streams;  /**< of this node */
  unsigned peer_streams; /**< of the other nodes */
  clk_ms silent_ms;      /**< time since an event of any of them */
};

struct dsp_action
{
  enum dsp_action_kind kind;
  uint64_t id;
  unsigned attempt;
  struct net_addr addr;
  struct str server; /**< valid until the next event */
  uint64_t endpoint; /**< dsp_endpoint_hash() */
  uint64_t process;  /**< CHECK_PROCESS: the same without a generation */
  struct dsp_check_target other; /**< CHECK_PROCESS: another server of the
                                      service; its answer shows that the path
                                      from this node works */
  clk_ms duration_ms;  /**< SEND: time until the request's deadline; STALLED:
                            duration of the silence */
  bool proxy;          /**< SEND: addr is another node, which sends the
                            request on; server is its address */
  bool new_connection; /**< don't reuse an idle connection */
  bool resume;         /**< resume the stream after the last event forwarded */
  unsigned priority;   /**< priority sent to the backend server, 0 (first) to
                            9 */
  enum dsp_code code;
  enum dsp_cancel_reason cancel_reason; /**< CANCEL */
  enum dsp_no_retry no_retry;           /**< RESPOND_ERROR, TRUNCATE */
  /** STALLED: what the stall was derived from; CANCEL: silent_ms is the time
      since the attempt received data */
  struct dsp_silence silence;
  clk_ms retry_after_ms; /**< delay after which the client may retry; 0: not
                              given */
  struct psn_id poison;  /**< DSP_POISON: the request or part that decided */
};

struct dsp_options
{
  struct str zone;
  double retry_ratio; /**< allowed retries as a fraction of the requests, over
                           all nodes */
  double retry_slack; /**< additional retries allowed in each window, over all
                           nodes */
  clk_ms retry_window_ms;
  /** until then, retries of an earlier process of this node may still count in
      the window; 0: there was none */
  clk_ms earlier_retries_until;
  clk_ms stall_ms;    /**< time after which a replica that has lost a member
                           fails */
  struct psn *poison; /**< requests that crash servers; borrowed; NULL: not
                           tracked */
  struct lim *limits; /**< rate limits set by servers; borrowed; NULL: not
                           enforced */
  struct avl *avail;  /**< availability announced by servers; borrowed; NULL:
                           not tracked */
  const struct evc *evacuations; /**< evacuated zones; borrowed; NULL: zones
                                      are not evacuated */
};

struct dsp;

struct dsp *dsp_new (const struct dsp_options *opt, uint64_t seed);
void dsp_free (struct dsp *d);

/** Advances the time and checks timeouts; must be called no later than
    dsp_next_tick(). */
void dsp_tick (struct dsp *d, clk_ms now);

/** Earliest time at which dsp_tick() may have something to do. */
clk_ms dsp_next_tick (const struct dsp *d);

void dsp_set_endpoints (struct dsp *d, clk_ms now,
                        const struct dsp_endpoint *list, size_t n);

/** Sets the number of nodes that share the load, this one included.
    @param known  nodes that may be running: these, and those to which this
   node has no link; they share the retry budget */
void dsp_set_node_count (struct dsp *d, clk_ms now, unsigned n,
                         unsigned known);

/** Replaces the load reported by the node @p peer; @p n is 0 also when the
    peer is gone.
    @param received_at  when the report came, which may be passed on later */
void dsp_set_peer_load (struct dsp *d, clk_ms now, clk_ms received_at,
                        uint64_t peer, const struct dsp_endpoint_load *loads,
                        size_t n);

/** Records long prompts that another node has just sent. */
void dsp_receive_notices (struct dsp *d, clk_ms now,
                          const struct dsp_prompt_notice *list, size_t n);

/** Long prompts sent since the last call, to be announced to the other nodes
    at once; valid until the next event. */
const struct dsp_prompt_notice *dsp_take_notices (struct dsp *d, size_t *n);

/** Sets the other ready nodes. */
void dsp_set_proxies (struct dsp *d, clk_ms now, const struct dsp_proxy *list,
                      size_t n);
/** Hashes of the names of services whose servers this node doesn't reach.
    @return how many */
size_t dsp_unreachable_services (const struct dsp *d, uint64_t *out,
                                 size_t max);
/** Whether this node doesn't reach the servers of a service that another node
    reaches. */
bool dsp_is_cut_off (const struct dsp *d, struct str service);
/** A path that has changed and was not returned yet.
    @retval false there is none */
bool dsp_next_path_change (struct dsp *d, struct dsp_path_change *out);
const char *dsp_path_name (enum dsp_path_state state);

/** Load of this node, to be reported to the others; valid until the next
    event. */
const struct dsp_endpoint_load *dsp_own_load (struct dsp *d, size_t *n);

/** Rejects all new requests from now on. */
void dsp_stop_accepting (struct dsp *d);

void dsp_submit (struct dsp *d, clk_ms now, const struct dsp_request *in);

void dsp_client_disconnected (struct dsp *d, clk_ms now, uint64_t id);

/** The request's bytes are about to be written to the socket.
    @retval false the attempt has ended, its server has asked for a pause or
    announced its shutdown since, or its zone was evacuated since; nothing may
    be written */
bool dsp_request_sent (struct dsp *d, clk_ms now, uint64_t id,
                       unsigned attempt);
void dsp_connect_failed (struct dsp *d, clk_ms now, uint64_t id,
                         unsigned attempt);
void dsp_response_head (struct dsp *d, clk_ms now, uint64_t id,
                        unsigned attempt, enum dsp_response_head head);

/** Applies the rate limit stated in a response head; call it before
    dsp_response_head(). @param rate requests per second */
enum lim_change dsp_response_limit (struct dsp *d, clk_ms now, uint64_t id,
                                    unsigned attempt,
                                    enum lim_report_kind kind, double rate);
/** Hash of the process of the attempt's server: dsp_endpoint_hash() without a
    generation; 0: the attempt has ended. */
uint64_t dsp_attempt_process (const struct dsp *d, uint64_t id,
                              unsigned attempt);
/** Number of requests that this node has sent to the attempt's server while
    that server was rate-limited. */
uint64_t dsp_sent_while_limited (const struct dsp *d, uint64_t id,
                                 unsigned attempt);

/** Permits for rate-limited servers have been granted. */
void dsp_permits_granted (struct dsp *d, clk_ms now);

/** Response bytes have arrived.
    @param event they complete at least one event */
void dsp_data_received (struct dsp *d, clk_ms now, uint64_t id,
                        unsigned attempt, bool event);
void dsp_response_complete (struct dsp *d, clk_ms now, uint64_t id,
                            unsigned attempt);
/**
 * The response, whose length was not stated, ended when the server closed its
 * connection.  A server that crashes closes it as well: the response counts as
 * complete, but its run only once the server has answered a later request.
 * @param empty  there was no content; a stream is then interrupted
 */
void dsp_response_closed (struct dsp *d, clk_ms now, uint64_t id,
                          unsigned attempt, bool empty);
/** The response was interrupted, or none came. */
void dsp_response_interrupted (struct dsp *d, clk_ms now, uint64_t id,
                               unsigned attempt);

/** Reports the result of DSP_ACT_CHECK_PROCESS.
    @return number of interrupted runs that the check covers */
size_t dsp_process_checked (struct dsp *d, clk_ms now, uint64_t endpoint,
                            enum dsp_liveness found);

/** A request or part that crashes servers was blocked: fails the requests that
    are refused from now on and whose execution has not begun. */
void dsp_poison_blocked (struct dsp *d, clk_ms now);

/** Retry budget of a service, as of the last retry that it denied. */
struct dsp_denied_retries
{
  struct str service;
  uint64_t denied;   /**< since the last report */
  uint32_t requests; /**< of this node in the current window */
  uint32_t retries;  /**< of these requests, in the same window */
  double limit;      /**< retries that this node may make in the window */
  unsigned nodes;    /**< nodes that share the constant part of the budget */
};

/** Reports a service whose budget has denied retries since its last report.
    @retval false there is none */
bool dsp_next_denied_retries (struct dsp *d, struct dsp_denied_retries *out);

/** Takes the next action; call it after each event until it returns false. */
bool dsp_next_action (struct dsp *d, struct dsp_action *out);

/** Number of requests that have not ended. */
size_t dsp_count_open (const struct dsp *d);

/** Requests of a model that hold or wait for a slot, estimated for all
    nodes. */
double dsp_demand (const struct dsp *d, struct str service, struct str model);

/** Mean priority of the requests of a model at this node; 0 is the most
    urgent, -1: there was none. */
double dsp_mean_priority (const struct dsp *d, struct str service,
                          struct str model);

const char *dsp_liveness_name (enum dsp_liveness found);
const char *dsp_code_name (enum dsp_code c);
const char *dsp_cancel_reason_name (enum dsp_cancel_reason why);
const char *dsp_no_retry_name (enum dsp_no_retry why);
int dsp_code_status (enum dsp_code c);

/** Counters since the start of the process. */
struct dsp_stats
{
  /** answered: error responses and truncated responses, by enum dsp_code */
  uint64_t arrived, ended, answered[DSP_DEADLINE + 1];
  uint64_t proxied; /**< attempts sent through another node */
  uint64_t sent, retried, retries_denied, resumed, stalls, ejections;
  uint64_t hedged; /**< attempts begun beside one that was suspected */
  uint64_t hedges_unneeded; /**< requests whose suspected attempt went on
                                 first */
  uint64_t evacuated; /**< attempts that were not sent, and requests that were
                           rejected, because zones were evacuated */
  uint64_t servers_ended; /**< servers whose process ended while they executed
                               requests of this node */
};
const struct dsp_stats *dsp_stats (const struct dsp *d);

#endif
