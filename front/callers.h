/**
 * @file
 * The gateway's HTTP server for callers, used by front/ only.
 *
 *   callers.c   dispatch by path, limits, execution of the request core's
 *               actions
 *   auth.c      lookup of the account by bearer key
 *   parse.c     conversion of an HTTP request to a request of the core
 *   exchange.c  I/O of one request: attempts, response to the caller
 *   attempt.c   one attempt at a backend server
 *   notice.c    pauses and shutdowns that backend servers announce
 *   answer.c    responses that the gateway generates, with code and outcome
 *   address.c   GET /v1/address: which gateways a caller should use
 */
#ifndef LAPISLINE_FRONT_CALLERS_H
#define LAPISLINE_FRONT_CALLERS_H

#include "back/back.h"
#include "front/gateway.h"
#include "front/poison.h"
#include "front/recorder.h"

/** Larger bodies are refused regardless of the configuration. */
#define GW_HARD_MAX_BODY ((size_t)16 << 20)

/** Responses that are not event streams are buffered up to this size, so that
    their outcome is known before the first byte is sent. */
#define GW_BUFFER_BYTES ((size_t)65536)

/** High watermark of the bytes queued for a caller: reading from the backend
    server is paused. */
#define GW_QUEUE_HIGH ((size_t)65536)
/** Low watermark: reading is resumed. */
#define GW_QUEUE_LOW ((size_t)16384)

struct gw_exchange;

/* ---- auth.c ---- */

/** Return the account that the request's bearer key belongs to, or NULL. */
const struct cfg_account *gw_auth (const struct cfg *cfg,
                                   const struct httpd_req *req);

/* ---- parse.c ---- */

enum gw_path
{
  GW_PATH_NONE,
  GW_PATH_HEALTH,
  GW_PATH_METRICS,
  GW_PATH_MODELS,
  GW_PATH_ADDRESS,
  GW_PATH_COMPLETION,
  GW_PATH_SERVICE
};

enum gw_path gw_path_of (struct str path);

/** Methods that a path accepts, as in the header Allow; NULL: all. */
const char *gw_path_methods (enum gw_path path);

/** A parsed request of a caller; it owns its strings. */
struct gw_call
{
  const struct back_kind *kind;
  struct cfg *cfg; /**< a reference: the configuration at its arrival */
  const struct cfg_account *account;
  char *target;
  char *path; /**< as forwarded, with the query */
  struct rt_request req;
  struct psn_request poison_ids; /**< owns the list of parts */
};

/** Why a request can't be parsed: a response with status 400 to 413. */
struct gw_refusal
{
  int status;
  const char *code;
  const char *message;
};

/** @retval false  with the reason in @p why */
bool gw_parse (struct gw *g, struct cfg *cfg,
               const struct cfg_account *account, struct httpd_req *req,
               clk_ms now, struct gw_call *out, struct gw_refusal *why);
void gw_call_free (struct gw_call *c);

/* ---- answer.c ---- */

struct gw_error
{
  int status;
  const char *code;
  const char *message;
  const char *outcome;
  clk_ms retry_ms; /**< 0: no Retry-After */
  struct str request_id;
  const char *allow; /**< methods of a 405; NULL: no header Allow */
};

/** Characters of a request id, without the terminating NUL. */
#define GW_ID_CHARS 32

/** Generate a random request id. */
void gw_new_request_id (struct gw *g, char out[GW_ID_CHARS + 1]);

/** Respond with a JSON error body and the matching headers. */
void gw_answer_error (struct httpd_req *req, const struct gw_error *e);

/** Respond 200 with a JSON body that the gateway generated. */
void gw_answer_json (struct gw *g, struct httpd_req *req, struct str json);

/** Refuse a request that has no exchange; its outcome is "not run". */
void gw_refuse (struct gw *g, struct httpd_req *req, struct gw_error *e);

/** Turn an error that follows from the configuration into a 503 while a newer
    configuration may exist.  Callers don't retry the original error, although
    the newer configuration may allow the request. */
void gw_check_config_recent (const struct gw *g, struct gw_error *e);

/** Add headers and body to a refusal that the HTTP server generates; its
    outcome is "not run". */
void gw_fill_refusal (struct gw *g, int status, struct httpd_refusal *r);

/** Abort a streamed response after the queued bytes have been sent.  The
    caller sees an incomplete response. */
void gw_abort_response (struct httpd_req *req);

/** Error message for a code of the request core. */
const char *gw_error_message (enum rt_code code);

/* ---- attempt.c ---- */

/** Owned copy of a response's status and headers. */
struct gw_head
{
  int status;
  struct http_header *list;
  size_t n;
  struct buf text;
};

/** One attempt of an exchange at one backend server. */
struct gw_attempt
{
  struct gw_exchange *ex;
  struct gw_attempt *next;
  unsigned number;
  struct httpc_call *call;
  bool send_granted; /**< RT_ACT_SEND was received */
  bool stopped;      /**< cancelled within a callback of httpc */
  bool in_callback;  /**< within a callback of httpc */
  bool forwarding;   /**< the body is forwarded to the caller */
  bool paused;
  bool resumed; /**< its body continues a response that an earlier attempt
                     began */
  struct gw_head head;
  struct buf held; /**< body buffered until RT_ACT_PASS */
  struct back_answer answer;
  clk_ms progress_at;   /**< time of the last progress */
  clk_ms first_body_at; /**< first bytes of the body; 0: none */
  bool ended_by_close;  /**< the response had no length and ended when the
                     connection  was closed */
  clk_ms first_byte_ms;
  clk_ms progress_ms;
  char name[64];
  struct net_addr addr;
  int64_t generation; /**< of the replica; 0: none */
  struct trc_id span;
  clk_ms began_at;
};

/** Start the attempt of an action RT_ACT_CONNECT. */
void gw_attempt_start (struct gw_exchange *ex, const struct rt_action *a);
struct gw_attempt *gw_find_attempt (struct gw_exchange *ex, unsigned number);

/** Close the connection and remove the attempt without an event. */
void gw_attempt_cancel (struct gw_attempt *at);
void gw_attempt_pause (struct gw_attempt *at, bool pause);

/** Close the connection and report a timeout to the request core. */
void gw_attempt_time_out (struct gw_attempt *at);

/** Whether nothing was received for longer than the attempt's limit. */
bool gw_attempt_timed_out (const struct gw_attempt *at, clk_ms now);

/* ---- exchange.c ---- */

enum gw_out
{
  GW_OUT_NONE,
  GW_OUT_BUFFERED, /**< buffered until the outcome is known */
  GW_OUT_STREAM,   /**< status and headers were sent */
  GW_OUT_ENDED     /**< answered, or the caller disconnected */
};

/** One caller's request, from parsing until RT_ACT_FORGET. */
struct gw_exchange
{
  struct gw_callers *c;
  struct gw_exchange *next, *prev;
  uint64_t id;
  struct httpd_req *req; /**< NULL once answered or disconnected */
  struct gw_call call;
  char request_id[33];
  enum gw_out out;
  struct gw_head head; /**< of the response forwarded to the caller */
  struct buf body;     /**< of a buffered response, or to store with a claim */
  bool store_body;     /**< collect body for the claim */
  bool events;         /**< the forwarded response is an event stream */
  struct back_answer passed; /**< of the attempt that was forwarded last */
  int stored_status;         /**< of a response replayed from a claim */
  struct buf stored_response;
  struct gw_attempt *attempts;
  struct trc_id span;
  uint8_t parent[8];
  clk_ms began_at;
  struct trc_id claim_span; /**< of the last claim request */
  clk_ms asked_at;          /**< when the claim was requested; 0: never */
  clk_ms first_byte_at;     /**< 0: none yet */
  bool connected;           /**< an attempt was started: queueing is over */
};

struct gw_exchange *gw_exchange_new (struct gw_callers *c,
                                     struct httpd_req *req,
                                     struct gw_call *call, clk_ms now);
void gw_exchange_free (struct gw_exchange *ex);
void gw_exchange_act (struct gw_exchange *ex, const struct rt_action *a);

/** Forward bytes of an attempt's body to the caller. */
void gw_exchange_body (struct gw_exchange *ex, struct gw_attempt *at,
                       struct str bytes);

/** End an attempt that has timed out. */
void gw_exchange_tick (struct gw_exchange *ex, clk_ms now);

void gw_span (struct gw *g, const struct trc_id *id, const uint8_t parent[8],
              const char *name, struct str detail, clk_ms began_at);

/* ---- callers.c ---- */

struct gw_callers
{
  struct gw *g;
  struct httpd *httpd;
  struct rt *rt;
  struct gw_recorder *recorder; /**< NULL: not recording */
  uv_timer_t wake;
  clk_ms wake_at;
  uv_check_t after_read; /**< runs after the sockets were read, while a late
                              wake-up is deferred */
  bool deferred_wakeup;  /**< a late wake-up is deferred */
  uv_timer_t sweep;
  clk_ms last_sweep;
  bool running_actions; /**< actions of the core are being executed */
  size_t gateways;      /**< as last reported to the core; 0: not yet */
  struct gw_exchange *list;
  struct gw_exchange **slots; /**< by the low half of an id */
  size_t nslots;
  size_t open;
  uint32_t serial;
  struct met_series *m_open;
  struct met_series *m_waiting;
  struct met_series *m_paused, *m_leaving, *m_sent_paused;
  struct met_series *m_left_unread;
  struct met_series *m_first_byte;
  struct met_series *m_latency;
};

/** Pass an event to the request core and execute the resulting actions. */
void gw_callers_event (struct gw_callers *c, const struct rt_event *ev);
struct gw_exchange *gw_callers_find (struct gw_callers *c, uint64_t id);
void gw_callers_add (struct gw_callers *c, struct gw_exchange *ex);
void gw_callers_remove (struct gw_callers *c, struct gw_exchange *ex);

/* ---- notice.c ---- */

/** Log the availability notice of a server's response. */
void gw_log_notice (struct str server, const struct avl_notice *notice);
/** Set the gauges of announced pauses and shutdowns. */
void gw_notice_metrics (struct gw_callers *c);

/* ---- address.c ---- */

/** Respond to GET /v1/address. */
void gw_address (struct gw *g, const struct cfg_account *account,
                 struct httpd_req *req);

#endif
