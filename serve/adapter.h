/**
 * @file
 * Interface of a platform adapter.  It translates all names, formats and calls
 * of a platform into the types of this project.
 *
 * An adapter is a directory that provides a struct srv_adapter, for example
 * platform/.  It contains translation only and makes no decisions.
 */
#ifndef LAPISLINE_SERVE_ADAPTER_H
#define LAPISLINE_SERVE_ADAPTER_H

#include "base/findings.h"
#include "net/httpc.h"
#include "back/avail.h"
#include "serve/backends.h"
#include "serve/form.h"
#include "serve/table.h"
#include "store/store.h"

/** Settings of a node. */
struct srv_settings
{
  struct arena text; /**< owns the strings */
  struct str node;
  struct str zone;
  struct str region;
  struct net_addr front;   /**< listens for client requests */
  struct net_addr ready;   /**< listens for readiness probes of the platform */
  struct net_addr address; /**< listens for address queries of clients */
  struct net_addr peer;    /**< listens for connections of other nodes */
  struct net_addr store;
  double store_writes; /**< per second, all nodes together */
  double store_reads;  /**< per second, all nodes together */
  clk_ms lease_min_ms; /**< minimum lease that the store grants */
  clk_ms drain_ms;     /**< a backend server that drains gets no new requests
                            after this time */
  clk_ms grace_ms;     /**< from SIGTERM to SIGKILL */
  clk_ms config_apply_ms; /**< maximum time until all nodes use a new
                               configuration */
  clk_ms address_ttl_ms;  /**< maximum TTL of an address response */
  clk_ms stall_ms; /**< a replica that lost a member fails after this time */
  double retry_ratio;
  double retry_slack;
  clk_ms retry_window_ms;
  double ceiling_window_s; /**< window of the limit on model loads */
  double ceiling_over;     /**< factor on the allowed rate of model loads */
  /** Time in which all nodes obey the evacuation of an availability zone; 0:
      the platform evacuates none. */
  clk_ms evacuation_ms;
  /** A cold server may get tbl_service.cold_per_s times cold_over, plus
      cold_slack, requests in any second, from all nodes together.  0: the
      platform sets no such limit. */
  double cold_over;
  double cold_slack;
  bool first_start; /**< first start of the whole system, without any state */
  size_t max_fds;
  double memory_mb;        /**< memory of this VM, in megabytes; 0: unknown */
  double link_bytes_per_s; /**< of this VM; 0: unknown */
  double cpu_share;        /**< cores of this VM; 0: unknown */
};

/** Fields of a client request, decoded from its headers. */
struct srv_request
{
  struct str id;
  struct str key;           /**< API key of the client account; empty: none */
  struct str model;         /**< empty: not specified */
  struct str last_event;    /**< id of the last event received; for resuming */
  clk_ms deadline_ms;       /**< client timeout; 0: not specified */
  double prompt_tokens;     /**< tokens in the prompt; 0: not specified */
  double max_output_tokens; /**< maximum number of output tokens; 0: not
                                 specified */
  /** Ids of the parts of the prompt that other requests may have as well, in
      order; NULL: none.  The owner releases it with free(). */
  uint64_t *shared_parts;
  size_t nshared_parts;
};

/** List of headers to send.  Initialize it with zeros, and release it with
    srv_headers_free(). */
struct srv_headers
{
  struct http_header *list;
  size_t n;
  size_t capacity; /**< of `list` */
  struct buf text; /**< storage for the values that are generated here */
};

/** Values for the headers that an attempt adds to those of the client. */
struct srv_forward_params
{
  struct str host;
  struct str server;     /**< id of the intended backend server */
  struct str account;    /**< empty: none */
  clk_ms left_ms;        /**< time until the deadline of the request */
  int priority;          /**< 0 is the highest; negative: not specified */
  struct str last_event; /**< resume after this event; empty: keep the
                              value from the client */
  bool proxy; /**< the request goes to another node: keep the API key, and
                   name no server, account or priority */
};

/** Header of a request that another node sends because it reaches no backend
    server; lower case.  Its prefix marks headers between nodes, which backend
    servers don't get. */
#define SRV_H_NODE_PREFIX "lapisline-"
#define SRV_H_PROXIED SRV_H_NODE_PREFIX "proxied"

/** Head of a response from a backend server, decoded. */
struct srv_response
{
  bool same_request;    /**< it belongs to the request that was sent */
  bool sealed;          /**< it carries the seal of the backend server */
  bool not_run;         /**< it states that the request was not run */
  bool is_event_stream; /**< the body is an event stream */
  bool encoded;         /**< encoded body: not as the backend server sent it */
  bool misdirected; /**< it comes from a server other than the intended one */
  enum lim_report_kind limit;
  double rate; /**< if LIM_REPORT_RATE: requests per second */
  struct avl_notice notice;
  bool has_load; /**< the three counts below are set */
  unsigned running, waiting, slots;
};

/** Query to the address service. */
struct srv_address_query
{
  struct str host;
  struct str zone;
};

struct srv_adapter
{
  /** Read and check the settings.
      @param path  NULL: the default location of the platform
      @return false, with all findings, if the settings are invalid */
  bool (*read_settings) (const char *path, struct srv_settings *out,
                         struct fnd_list *findings);
  struct store *(*open_store) (uv_loop_t *loop, struct httpc *http,
                               const struct srv_settings *set);

  const char *config_key; /**< store key of the configuration */
  /** Store prefix of everything that the operators write, the configuration
      included. */
  const char *operator_prefix;
  /** Store prefix of the evacuated availability zones: the rest of a key is
      the name of a zone, which is evacuated as long as the key exists. */
  const char *evacuation_prefix;
  const char *servers_prefix; /**< store prefix of the server list */
  const char *own_prefix; /**< store prefix of the keys that the nodes write */

  /** Parse the configuration.
      @return  NULL, with findings, if it is invalid */
  struct tbl *(*parse_config) (struct str text, struct fnd_list *findings);
  /** Parse one entry of the server list; its strings are stored in @p text.
      @param wrong  receives the name of the invalid field, or NULL
      @return false if the entry is invalid and contains no usable server */
  bool (*parse_server) (struct str key, struct str value, struct arena *text,
                        struct bks_entry *out, const char **wrong);

  /** Path and body of an order to a backend server. */
  const char *order_path;
  void (*format_order) (const struct frm_action *a, struct buf *body);
  enum frm_result (*order_result) (int status);
  const char *report_path; /**< responds while the server process runs */
  /** Whether the response says that requests run or wait at the server. */
  bool (*reports_requests) (struct str body);
  /** Name of the header with the id of the intended backend server, in lower
      case. */
  const char *expect_header;

  void (*parse_request) (const struct http_header *h, size_t n,
                         struct srv_request *out);
  /** Build the headers of an attempt. */
  void (*build_headers) (const struct http_header *h, size_t n,
                         const struct srv_forward_params *f,
                         struct srv_headers *out);
  void (*parse_response) (struct str request_id, int status,
                          const struct http_header *h, size_t n,
                          struct srv_response *out);
  /** Parse what any response of a backend server says of its
      availability. */
  void (*parse_notice) (int status, const struct http_header *h, size_t n,
                        struct avl_notice *out);
  /** Whether a header of a response is forwarded to the client. */
  bool (*forwards_header) (const struct http_header *h);
  /** Name and value of the header that tells the client when to retry, for
      responses generated by this node. */
  void (*format_retry_after) (clk_ms ms, struct buf *name, struct buf *value);

  const char *ready_path;
  const char *address_path;
  void (*parse_address_query) (struct str query,
                               struct srv_address_query *out);
  /** Body of an address response. */
  void (*format_addresses) (const struct net_addr *list, size_t n,
                            clk_ms ttl_ms, struct buf *body);
};

void srv_headers_free (struct srv_headers *h);

/** Add a header that outlives the list. */
void srv_headers_append (struct srv_headers *h,
                         const struct http_header *header);

/** Add a header.  The value is copied; @p name must outlive the list. */
void srv_headers_add (struct srv_headers *h, const char *name,
                      struct str value);

#endif
