/**
 * @file
 * One caller's request and its attempts: the I/O of what the request core
 * decides.
 */
#ifndef LAPISLINE_SERVE_EXCHANGE_H
#define LAPISLINE_SERVE_EXCHANGE_H

#include "serve/node-int.h"
#include "serve/split.h"

/** Head of an answer, kept until it is passed on. */
struct srv_response_head
{
  int status;
  struct http_header *list;
  size_t n;
  struct buf text;
};

/** One attempt at a backend server; at most one at a time. */
struct srv_attempt
{
  struct srv_exchange *ex;
  struct srv_attempt *next;
  unsigned number;
  struct httpc_call *call; /**< NULL: it has ended */
  struct srv_response_head head;
  struct srv_answer response;
  struct buf body;  /**< not passed on yet */
  struct spl split; /**< of a stream */
  bool forwarding;
  char *server; /**< id */
  clk_ms started_at;
  clk_ms first_event_at; /**< when its first event came; 0: none has */
};

struct srv_exchange
{
  struct srv *s;
  uint64_t id;
  struct srv_exchange *next, **prev;
  struct httpd_req *req; /**< NULL: the caller has its answer, or left */
  struct srv_call call;  /**< views into the request */
  struct str host;
  struct tbl *table;
  const struct tbl_route *route;
  const struct tbl_account *account; /**< NULL: none */
  uint64_t digest;                   /**< srv_request_digest() */
  char digest_text[17];              /**< in hexadecimal, for the log */
  struct srv_attempt *attempts;
  bool head_sent;     /**< the head of a stream was passed on */
  int status;         /**< that was passed on with it */
  int64_t last_event; /**< that was passed on */
  bool has_event;
  clk_ms since;
  unsigned attempts_sent; /**< attempts that were sent */
  clk_ms first_ms;      /**< to the first event or the whole answer; 0: none */
  clk_ms last_write_at; /**< when the last event went to the caller */
  clk_ms pause_ms;      /**< the longest between two events */
  struct buf servers;   /**< ids of those that were tried */
};

struct srv_exchange *srv_exchange_new (struct srv *s, struct httpd_req *req,
                                       struct tbl *table);
void srv_exchange_act (struct srv_exchange *ex, const struct dsp_action *a);
void srv_exchange_free (struct srv_exchange *ex);

/** Number that is the same whenever the same caller sends the same method,
    path and body to the same host; never 0. */
uint64_t srv_request_digest (const struct srv_exchange *ex);

/** Error answer of this node's own. @p retry_ms 0: nothing to say */
void srv_refuse (struct srv *s, struct httpd_req *req, int status,
                 const char *code, clk_ms retry_ms);

#endif
