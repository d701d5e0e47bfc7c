/**
 * @file Routing table: one version of the operators' configuration, indexed
 *   for the lookup of requests.
 *
 * The platform's adapter builds a table; after that it is immutable.  Tables
 * are reference-counted, so a request in flight keeps the version under which
 * it was accepted.
 */
#ifndef LAPISLINE_SERVE_TABLE_H
#define LAPISLINE_SERVE_TABLE_H

#include "base/clock.h"
#include "config/arena.h"

/** Which requests of a route may be run again. */
enum tbl_kind
{
  TBL_IDEMPOTENT,   /**< may run any number of times */
  TBL_AT_MOST_ONCE, /**< runs at most once per request of the client */
  TBL_STREAM /**< a stream of events; as TBL_AT_MOST_ONCE unless resumable */
};

/** A model of a service; each of its replicas consists of several VMs. */
struct tbl_model
{
  struct str name;
  unsigned size;       /**< number of VMs per replica */
  double work_share;   /**< expected share of the service's work, 0 to 1 */
  double time_factor;  /**< factor on processing times; below 1 is faster */
  clk_ms cold_load_ms; /**< load time from the weight store */
  clk_ms warm_load_ms; /**< load time from the memory of the VM's host */
};

struct tbl_service
{
  struct str name;
  struct str health_path;
  struct tbl_model *models; /**< empty: each backend server of the service
                                 takes requests by itself */
  size_t nmodels;
  unsigned capacity;  /**< concurrent requests per replica; 0: as the server
                           reports */
  double kv_tokens;   /**< KV cache of one replica, in tokens; 0: unlimited */
  double loads_per_s; /**< load starts allowed at the weight store */
  unsigned loads_at_once; /**< above this number, concurrent loads share the
                               bandwidth of the weight store */
  unsigned host_cache_models; /**< models that a VM's host keeps in memory */
  clk_ms cold_ms;    /**< a server is cold for this long after its start; 0:
                          its servers are never cold */
  double cold_per_s; /**< requests per second that a cold server tolerates,
                          from all nodes together */
  clk_ms event_interval_ms; /**< interval between two events of a stream on an
                                 idle replica */
  double
      prefill_per_ms; /**< prefill rate, in prompt tokens per ms, of a replica
                           whose model's time factor is 1; 0: unknown */
};

/** A service of a route and its weight in the route's traffic. */
struct tbl_target
{
  const struct tbl_service *service;
  unsigned weight;
};

struct tbl_route
{
  struct str name;
  struct str host;
  struct str prefix; /**< path prefix; begins and ends with a slash */
  enum tbl_kind kind;
  clk_ms timeout_ms;       /**< longest time that a client waits */
  clk_ms latency_goal_ms;  /**< goal for the time to the complete response, or
                                to the first event of a stream */
  clk_ms max_event_gap_ms; /**< longest gap between two events of a stream that
                                counts as on time; 0: no limit declared */
  unsigned priority;       /**< 0 is the highest */
  unsigned max_attempts; /**< limit on the backend servers that one request is
                              sent to */
  bool allows_anonymous; /**< requests need no key */
  bool resumable;        /**< an interrupted stream may continue on another
                              replica */
  const struct tbl_target *targets;
  size_t ntargets;
  unsigned weight_sum;
};

struct tbl_account
{
  struct str name;
  bool has_priority; /**< `priority` overrides the route's */
  unsigned priority;
};

struct tbl_key
{
  struct str key;
  const struct tbl_account *account;
};

/** Limits on requests; 0: no limit. */
struct tbl_limits
{
  size_t max_header;
  size_t max_body;
  clk_ms header_ms; /**< time to send the complete request head */
  clk_ms idle_ms;   /**< time between two requests on one connection */
};

struct tbl
{
  int64_t version;
  struct tbl_route *routes; /**< sorted by host, then longest prefix first */
  size_t nroutes;
  struct tbl_service *services;
  size_t nservices;
  struct tbl_account *accounts;
  size_t naccounts;
  struct tbl_key *keys; /**< sorted by key */
  size_t nkeys;
  bool has_accounts; /**< without accounts, no request needs a key */
  struct tbl_limits limits;
  struct arena arena; /**< owns all strings and arrays above */
  unsigned refs;
};

/** Create an empty table with one reference.  Fill it, then call
    tbl_sort(). */
struct tbl *tbl_new (void);

/** Sort routes and keys; the lookup functions require it. */
void tbl_sort (struct tbl *t);

struct tbl *tbl_ref (struct tbl *t);
void tbl_unref (struct tbl *t);

/** "idempotent", "once" or "stream". */
const char *tbl_kind_name (enum tbl_kind k);

/** The route of @p host with the longest prefix of @p path, or NULL. */
const struct tbl_route *tbl_find_route (const struct tbl *t, struct str host,
                                        struct str path);
const struct tbl_service *tbl_find_service (const struct tbl *t,
                                            struct str name);
const struct tbl_model *tbl_find_model (const struct tbl_service *s,
                                        struct str name);

/** The account to which @p key belongs, or NULL. */
const struct tbl_account *tbl_find_account (const struct tbl *t,
                                            struct str key);

/**
 * Choose one of a route's services at random, by weight.
 * @param x  uniform in [0, 1)
 */
const struct tbl_service *tbl_pick_service (const struct tbl_route *r,
                                            double x);

/** Whether a request of this route may be sent to a second backend server
    after the first one may have run it. */
bool tbl_is_retryable (const struct tbl_route *r);

#endif
