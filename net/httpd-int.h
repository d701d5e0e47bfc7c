/**
 * @file
 * What the files of the HTTP server share: httpd.c holds the listener and
 * its connections, httpd-req.c a request and its answer, httpd-watch.c looks
 * for callers that leave, httpd-refusal.c completes what h2o refuses.
 */
#ifndef LAPISLINE_NET_HTTPD_INT_H
#define LAPISLINE_NET_HTTPD_INT_H

#include <h2o.h>

#include "net/httpd.h"

struct httpd_conn
{
  uv_tcp_t tcp; /**< first: h2o hands back the stream */
  struct httpd *d;
  struct httpd_conn *next;
  struct httpd_conn **prev;
  size_t open; /**< requests being answered */
};

struct httpd
{
  uv_tcp_t listener;
  uv_timer_t sweep;
  clk_ms swept; /**< when the sweep last ran */
  h2o_globalconf_t config;
  h2o_context_t ctx;
  h2o_accept_ctx_t accept_ctx;
  httpd_handler handler;
  void *handler_ctx;
  size_t max_connections;
  size_t nconnections;
  size_t nopen;
  struct httpd_conn *conns;
  struct httpd_req *reqs;
  uv_timer_t watch_timer;
  struct httpd_req *unwatched; /**< oldest first */
  struct httpd_req **last_unwatched;
  uint16_t port;
  int handles;       /**< of our own that are not closed yet */
  bool accept_waits; /**< a connection waits for one to close */
  bool stopped;
  bool freeing;
};

struct httpd_handler_slot
{
  h2o_handler_t super;
  struct httpd *d;
};

struct httpd_refusal_filter
{
  h2o_filter_t super;
  httpd_refused refused;
  void *ctx;
};

struct httpd_req
{
  h2o_generator_t generator; /**< first: h2o hands it back */
  h2o_req_t *req;
  struct httpd *d;
  struct httpd_conn *conn;
  struct httpd_req *next;
  struct httpd_req **prev;
  struct httpd_view view;
  struct http_header *headers;
  size_t nheaders;
  struct buf queued;  /**< not handed to h2o yet */
  struct buf sending; /**< h2o's until it calls proceed */
  size_t length;      /**< of the body when stated, or SIZE_MAX */
  size_t written;
  clk_ms moved; /**< when the caller last took bytes */
  bool begun;
  bool in_flight;
  bool ended; /**< by httpd_end(); the handler's side is gone */
  bool whole;
  bool detached; /**< nothing is to be called any more */
  void (*gone) (void *ctx);
  void *gone_ctx;
  void (*drained) (void *ctx);
  void *drained_ctx;
  struct gone_watch *watch;
  struct httpd_req *next_unwatched;
  struct httpd_req **prev_unwatched; /**< NULL: not in the list */
  clk_ms watch_at;                   /**< loop time */
};

/**
 * Make h2o see a connection as broken, whatever it is doing with it.
 * @param how  as for shutdown()
 */
void httpd_conn_shutdown (const struct httpd_conn *c, int how);

/** Descriptor of a connection, or -1. */
int httpd_conn_fd (const struct httpd_conn *c);

/**
 * Have refusals of h2o's own completed.  It binds a request that it refuses
 * by itself to the fallback path; all others go to the path "/", which is
 * the handler's.
 */
void httpd_refusal_setup (h2o_hostconf_t *host, httpd_refused refused,
                          void *ctx);

/** h2o's handler: make a request of ours and hand it to the server's. */
int httpd_on_req (h2o_handler_t *self, h2o_req_t *req);

/** Get ready to look for callers that leave. */
void httpd_watch_init (struct httpd *d, uv_loop_t *loop);

/** Look for the caller's leaving once the request has been open a while. */
void httpd_watch_later (struct httpd_req *r);

/** Look no more. */
void httpd_watch_stop (struct httpd_req *r);

/** Tell the handler that the caller left. */
void httpd_tell_gone (struct httpd_req *r);

/** End h2o's side of a request that nobody answers any more. */
void httpd_abandon (struct httpd_req *r);

#endif
