/**
 * @file
 * Adapters to kinds of backend servers: how a caller's request is forwarded
 * and when an answer is whole.  One file a kind; no I/O here.
 *
 *   avail.h    pauses and shutdowns that backend servers announce
 *   headers.c  what is passed on and what is not, both ways
 *   model.c    OpenAI-style HTTP with server-sent events
 *   service.c  plain HTTP as it is
 */
#ifndef LAPISLINE_BACK_BACK_H
#define LAPISLINE_BACK_BACK_H

#include "back/avail.h"
#include "base/trace.h"
#include "net/httpc.h"

/** Headers that are sent, and those of a caller's request: attempts add some.
 */
#define BACK_MAX_HEADERS 100
#define BACK_MAX_CALLER_HEADERS (BACK_MAX_HEADERS - 10)

/** A caller's request as one attempt forwards it. */
struct back_call
{
  struct str method;
  struct str path; /**< with the query */
  const struct http_header *headers;
  size_t nheaders;
  struct str account;
  struct str request_id; /**< the same for all attempts of one request */
  unsigned attempt;
  struct trc_id span; /**< sent as traceparent */
  bool resume;
  size_t offset; /**< bytes of the answer's body already received */
};

/** Headers to send; all zero is valid, released by back_headers_free(). */
struct back_headers
{
  struct http_header list[BACK_MAX_HEADERS];
  size_t n;
  struct buf text; /**< of those that are made here */
};

/** What is known of an answer while its bytes go by. */
struct back_answer
{
  int status;
  bool events; /**< server-sent events */
  size_t bytes;
  unsigned tokens; /**< events seen */
  char tail[16];   /**< last bytes of the body */
  size_t ntail;
};

/** One kind of backend server. */
struct back_kind
{
  const char *name;
  /** Add what this kind needs besides back_headers_common(). */
  void (*headers) (const struct back_call *call, struct back_headers *out);
  /** Whether an answer whose framing was complete is whole. */
  bool (*whole) (const struct back_answer *a);
  /** Tokens that an answer cost. */
  double (*tokens) (const struct back_answer *a, struct str body);
};

extern const struct back_kind back_model;
extern const struct back_kind back_service;

/**
 * Headers of the forwarded request.  Left out: those of the hop, the caller's
 * key (it is meant for us alone), and names that we set ourselves, so that no
 * caller can pose as another request or account.
 * @retval false  more than BACK_MAX_HEADERS
 */
bool back_headers_make (const struct back_kind *kind,
                        const struct back_call *call,
                        struct back_headers *out);
void back_headers_free (struct back_headers *h);

/** Add one header; name must be a literal, the value is copied. */
void back_headers_add (struct back_headers *h, const char *name,
                       struct str value);

/** Whether an answer's header is passed on to the caller. */
bool back_answer_header (const struct http_header *h);

void back_answer_head (struct back_answer *a, int status,
                       const struct http_header *headers, size_t n);
/** What an answer says of its server's availability. */
void back_answer_notice (int status, const struct http_header *headers,
                         size_t n, struct avl_notice *out);
void back_answer_body (struct back_answer *a, struct str bytes);
/** Whether the answer is whole, its framing being complete.
    @param closed  its length was not stated, and the server closed the
                   connection: an answer without a body may be a crash */
bool back_answer_whole (const struct back_kind *kind,
                        const struct back_answer *a, bool closed);

/** Header of that lower-case name, or the empty view. */
struct str back_find (const struct http_header *headers, size_t n,
                      const char *name);

#endif
