/**
 * @file
 * Callers' HTTP of a gateway, split by job; used by front/ only.
 *
 *   callers.c   paths, bounds, the request core's loop of actions
 *   auth.c      bearer key to account
 *   parse.c     HTTP request to a request of the core
 *   exchange.c  I/O of one request: attempts, what the caller is sent
 *   attempt.c   one attempt at a backend server
 *   notice.c    pauses and shutdowns that backend servers announce
 *   answer.c    answers of our own, with code and outcome
 *   address.c   which address to use
 */
#ifndef LAPISLINE_FRONT_CALLERS_H
#define LAPISLINE_FRONT_CALLERS_H

#include "back/back.h"
#include "front/gateway.h"
#include "front/poison.h"
#include "front/recorder.h"

/** Bodies above this are refused before any configuration is asked. */
#define GW_HARD_MAX_BODY ((size_t)16 << 20)

/** Answers that are not streams are held up to this size, so that their
    outcome is known before the first byte goes out. */
#define GW_HOLD_BYTES ((size_t)65536)

/** Queued bytes at which reading from the backend server stops... */
#define GW_QUEUE_HIGH ((size_t)65536)
/** ...and goes on. */
#define GW_QUEUE_LOW ((size_t)16384)

struct gw_exchange;

/* ---- auth.c ---- */

/** The account of the request's bearer key, or NULL. */
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

/** Methods that a path takes, as in the header Allow; NULL: all. */
const char *gw_path_methods (enum gw_path path);

/** A caller's request, read; it owns its strings. */
struct gw_call
{
  const struct back_kind *kind;
  struct cfg *cfg; /**< a reference: the version it began under */
  const struct cfg_account *account;
  char *target;
  char *path; /**< as forwarded, with the query */
  struct rt_request req;
  struct psn_request poison_ids; /**< owns the list of parts */
};

/** Why a request can't be read: an answer of status 400 to 413. */
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
  const char *allow; /**< methods, of a 405; NULL: none are told */
};

/** Characters of a request id, without the zero. */
#define GW_ID_CHARS 32

/** A new random request id. */
void gw_new_request_id (struct gw *g, char out[GW_ID_CHARS + 1]);

/** Answer with a JSON error body and the headers that go with it. */
void gw_answer_error (struct httpd_req *req, const struct gw_error *e);

/** Answer 200 with a JSON body of ours. */
void gw_answer_json (struct gw *g, struct httpd_req *req, struct str json);

/** Answer a request that never became an exchange: not run. */
void gw_refuse (struct gw *g, struct httpd_req *req, struct gw_error *e);

/** Callers do not repeat what a configuration does not allow, so such an error
    becomes a 503 while a newer configuration may exist. */
void gw_confirm (const struct gw *g, struct gw_error *e);

/** Fill in a refusal of the HTTP server's own: not run. */
void gw_complete_refusal (struct gw *g, int status, struct httpd_refusal *r);

/** Cut a streamed answer visibly, once the caller has what was written. */
void gw_cut (struct httpd_req *req);

/** One sentence for a code of the request core. */
const char *gw_message (enum rt_code code);

/* ---- attempt.c ---- */

/** The head of an answer, owned. */
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
  bool granted; /**< RT_ACT_SEND came */
  bool stopped; /**< cancelled while httpc was calling us */
  bool busy;    /**< httpc is calling us */
  bool passing;
  bool paused;
  bool resumed; /**< its bytes continue an answer already begun */
  struct gw_head head;
  struct buf held; /**< body until RT_ACT_PASS */
  struct back_answer answer;
  clk_ms heard_at;
  clk_ms first_body_at; /**< first bytes of the body; 0: none */
  bool closed; /**< the answer had no length and ended with its connection */
  clk_ms first_byte_ms;
  clk_ms progress_ms;
  char name[64];
  struct net_addr addr;
  int64_t generation; /**< of the replica; 0: none */
  struct trc_id span;
  clk_ms began_at;
};

/** Begin what RT_ACT_CONNECT asks for. */
void gw_attempt_start (struct gw_exchange *ex, const struct rt_action *a);
struct gw_attempt *gw_attempt_find (struct gw_exchange *ex, unsigned number);

/** Close its connection and forget it. */
void gw_attempt_cancel (struct gw_attempt *at);
void gw_attempt_pause (struct gw_attempt *at, bool pause);

/** Close its connection and tell the core that it fell silent. */
void gw_attempt_fell_silent (struct gw_attempt *at);

/** Whether it has been silent for longer than its limit. */
bool gw_attempt_silent (const struct gw_attempt *at, clk_ms now);

/* ---- exchange.c ---- */

enum gw_out
{
  GW_OUT_NONE,
  GW_OUT_HELD,   /**< passing, but held until its outcome is known */
  GW_OUT_STREAM, /**< the caller has the head */
  GW_OUT_ENDED   /**< answered, or the caller left */
};

/** One caller's request from its parsing to RT_ACT_FORGET. */
struct gw_exchange
{
  struct gw_callers *c;
  struct gw_exchange *next, *prev;
  uint64_t id;
  struct httpd_req *req; /**< NULL once answered or gone */
  struct gw_call call;
  char request_id[33];
  enum gw_out out;
  struct gw_head head; /**< of the passed answer */
  struct buf body;     /**< of an answer held, or to be kept with a claim */
  bool keep;           /**< collect body for the claim */
  bool events;         /**< the passed answer is a stream of events */
  struct back_answer passed; /**< of the attempt that was passing last */
  int kept_status;           /**< of an answer replayed from a claim */
  struct buf kept;
  struct gw_attempt *attempts;
  struct trc_id span;
  uint8_t parent[8];
  clk_ms began_at;
  struct trc_id claim_span; /**< of the last ask */
  clk_ms asked_at;          /**< of the claim; 0: none */
  clk_ms first_byte_at;     /**< 0: none yet */
  bool connected;           /**< some attempt began: queueing is over */
};

struct gw_exchange *gw_exchange_new (struct gw_callers *c,
                                     struct httpd_req *req,
                                     struct gw_call *call, clk_ms now);
void gw_exchange_free (struct gw_exchange *ex);
void gw_exchange_act (struct gw_exchange *ex, const struct rt_action *a);

/** Bytes of the passing attempt for the caller. */
void gw_exchange_body (struct gw_exchange *ex, struct gw_attempt *at,
                       struct str bytes);

/** End an attempt that has fallen silent. */
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
                              wake-up is left out */
  bool skipped_wake;     /**< a late wake-up is left out */
  uv_timer_t sweep;
  clk_ms swept_at;
  bool pumping;
  size_t gateways; /**< as last told to the core; 0: not yet */
  struct gw_exchange *list;
  struct gw_exchange **slots; /**< by the low half of an id */
  size_t nslots;
  size_t open;
  uint32_t serial;
  struct met_series *m_open;
  struct met_series *m_waiting;
  struct met_series *m_paused, *m_leaving, *m_sent_paused;
  struct met_series *m_first_byte;
  struct met_series *m_latency;
};

/** Feed an event of the request core and do what it asks for. */
void gw_callers_event (struct gw_callers *c, const struct rt_event *ev);
struct gw_exchange *gw_callers_find (struct gw_callers *c, uint64_t id);
void gw_callers_add (struct gw_callers *c, struct gw_exchange *ex);
void gw_callers_remove (struct gw_callers *c, struct gw_exchange *ex);

/* ---- notice.c ---- */

/** Log what a response says of the availability of its server. */
void gw_log_notice (struct str server, const struct avl_notice *notice);
/** Set the gauges of announced pauses and shutdowns. */
void gw_notice_metrics (struct gw_callers *c);

/* ---- address.c ---- */

/** Answer GET /v1/address. */
void gw_address (struct gw *g, const struct cfg_account *account,
                 struct httpd_req *req);

#endif
