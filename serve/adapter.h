/**
 * @file
 * What a platform's adapter provides: every name, format and call of the
 * platform, in the types of this project.
 *
 * An adapter is one folder that fills struct srv_adapter; platform/ is one.
 * It translates and decides nothing.
 */
#ifndef LAPISLINE_SERVE_ADAPTER_H
#define LAPISLINE_SERVE_ADAPTER_H

#include "base/findings.h"
#include "net/httpc.h"
#include "serve/backends.h"
#include "serve/form.h"
#include "serve/table.h"
#include "store/store.h"

/** Settings of one node. */
struct srv_settings
{
  struct arena text; /**< owns the strings */
  struct str node;
  struct str zone;
  struct str region;
  struct net_addr front;   /**< where callers connect */
  struct net_addr ready;   /**< where the platform asks for readiness */
  struct net_addr address; /**< where callers ask which node to use */
  struct net_addr peer;    /**< where other nodes link to */
  struct net_addr store;
  double store_writes; /**< a second, of all nodes together */
  double store_reads;
  clk_ms lease_least_ms; /**< shortest lease that the store grants */
  clk_ms drain_ms; /**< a leaving backend server gets nothing new after this */
  clk_ms grace_ms; /**< from SIGTERM to SIGKILL */
  clk_ms apply_ms; /**< in which a configuration is in force everywhere */
  clk_ms address_ms; /**< longest life of an address answer */
  clk_ms stall_ms;   /**< a replica that lost a member gives up after this */
  double retry_ratio;
  double retry_slack;
  clk_ms retry_window_ms;
  double ceiling_window_s; /**< of the bound on loads */
  double ceiling_over;
  bool first_start; /**< the whole system starts, and for the first time */
  size_t max_fds;
  double link_bytes_per_s; /**< of this VM; 0: not known */
  double cpu_share;        /**< cores of this VM; 0: not known */
};

/** A caller's request, decoded from its headers. */
struct srv_call
{
  struct str id;
  struct str key;   /**< of its account; empty: none was sent */
  struct str model; /**< empty: none was named */
  struct str last_event;
  clk_ms deadline_ms; /**< how long the caller waits; 0: it does not say */
  double prompt;      /**< tokens to be read; 0: not said */
  double answer;      /**< tokens to be written at most */
};

#define SRV_HEADERS 100

/** Headers to send; all zero is valid, released by srv_headers_free(). */
struct srv_headers
{
  struct http_header list[SRV_HEADERS + 8];
  size_t n;
  struct buf text; /**< of those that are made here */
};

/** What an attempt adds to the caller's headers. */
struct srv_forward
{
  struct str host;
  struct str server;  /**< id of the backend server that is meant */
  struct str account; /**< empty: none */
  clk_ms left_ms;
  int priority;          /**< 0 is first; below 0: not said */
  struct str last_event; /**< resume after it; empty: as the caller sent it */
};

/** Head of a backend server's answer, decoded. */
struct srv_answer
{
  bool same_request; /**< it names the request that was sent */
  bool sealed;       /**< it bears the backend server's signature */
  bool unrun;        /**< it says that the request was not run */
  bool events;       /**< a stream of events */
  bool encoded;      /**< its body is not what the backend server made */
  bool misdirected;  /**< it is not the server that was meant */
  enum lim_says limit;
  double rate; /**< if LIM_SAYS_RATE: requests a second */
  bool has_load;
  unsigned running, waiting, slots;
};

/** A question of the address service. */
struct srv_where
{
  struct str host;
  struct str zone;
};

struct srv_adapter
{
  /** Read and check the settings; @p path NULL: where the platform puts them.
      @return false with every finding */
  bool (*settings) (const char *path, struct srv_settings *out,
                    struct fnd_list *findings);
  struct store *(*store) (uv_loop_t *loop, struct httpc *http,
                          const struct srv_settings *set);

  const char *config_key;     /**< of the store */
  const char *servers_prefix; /**< keys of the listed backend servers */
  const char *own_prefix;     /**< below which this project's keys lie */

  /** The configuration, or NULL with findings. */
  struct tbl *(*table) (struct str text, struct fnd_list *findings);
  /** One listed backend server; strings live in @p text.
      @param wrong  receives the field that can't be read, or NULL
      @return false when it can't be read, and names no server to use */
  bool (*server) (struct str key, struct str value, struct arena *text,
                  struct bks_entry *out, const char **wrong);

  /** Order to a backend server: path and body. */
  const char *order_path;
  void (*order) (const struct frm_action *a, struct buf *body);
  enum frm_result (*order_result) (int status);
  const char *report_path; /**< answers as long as the server lives */
  /** Header that names the backend server that is meant; lower case. */
  const char *expect_header;

  void (*call) (const struct http_header *h, size_t n, struct srv_call *out);
  /** @retval false  too many headers */
  bool (*forward) (const struct http_header *h, size_t n,
                   const struct srv_forward *f, struct srv_headers *out);
  void (*answer) (struct str request_id, int status,
                  const struct http_header *h, size_t n,
                  struct srv_answer *out);
  /** Whether an answer's header goes to the caller. */
  bool (*passes) (const struct http_header *h);
  /** Header of our own answers that says when to come back. */
  void (*retry_after) (clk_ms ms, struct buf *name, struct buf *value);

  const char *ready_path;
  const char *address_path;
  void (*where) (struct str query, struct srv_where *out);
  /** Body of an address answer. */
  void (*addresses) (const struct net_addr *list, size_t n, clk_ms ttl_ms,
                     struct buf *body);
};

void srv_headers_free (struct srv_headers *h);

/** Add one header; @p name must outlive the list, the value is copied. */
void srv_headers_add (struct srv_headers *h, const char *name,
                      struct str value);

#endif
